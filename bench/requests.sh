#!/bin/sh
# Requests bench: 2 gateways, N engines (12) and 3 services on loopback; prints
# one line for each case. `sh bench/requests.sh BUILD`; settings from the
# environment: N, SEED (1), CASES (all). The counts compare the logs of the
# engines and services with the responses that the callers received
# (`standin tally`).
#
# Capacity is computed from the engines' slots and step time: N * slots /
# ((tokens + 1) * step) requests per second. Most cases run at half of it.
# cut counts truncated responses, cut_told those of them that ended with a
# visible error, lost the requests without any response. After targets-die one
# engine and one sidecar are missing until the end.
set -u
cd "$(dirname "$0")/.."
BUILD=${1:-build}
STAGE=$BUILD/stage-bench-requests
n=${N:-12}
[ -n "$n" ] || n=12
seed=${SEED:-1}
cases=${CASES:-steady burst-3x targets-die links-stall rolling-drain version-switch entry-dies api-down prefix}
. tools/stage.sh
gossip_ms=100
lease_ms=1500
suspect_ms=1000
slots=8
step_ms=20
tokens=32
cache_tokens=6000
capacity=$(awk "BEGIN { printf \"%.1f\", $n * $slots * 1000 / (($tokens + 1) * $step_ms) }")
half=$(awk "BEGIN { print $capacity / 2 }")
status=0

fail() {
	echo "requests: failed ($1)"
	tail -n 5 "$STAGE"/log/*.err >&2
	stage_end
	exit 1
}

# ---------------------------------------------------------------------
# Set-up

publish() { # VERSION: puts weights and chunk list on the origin
	head -c 1048576 /dev/urandom >"$STAGE/origin/$1.bin"
	root=$("$bin/entry/currantchute" model digest "$STAGE/origin/$1.bin" \
	    --chunk-bytes 65536 --out "$STAGE/origin/$1.chunks" |
	    sed -n 's/^root \([0-9a-f]*\) .*/\1/p')
	operate model add cedar/care "$1" --root "$root" --bytes 1048576 \
	    --chunk-bytes 65536 --weights "$1.bin" --chunks "$1.chunks" \
	    --pool large >/dev/null || fail "model add $1"
}

start_targets() {
	engines=
	services=
	for i in $(seq "$n"); do
		stage_standin "engine-$i" engine --slots $slots \
		    --step-ms $step_ms --cache-tokens $cache_tokens \
		    --prefill-tokens-per-step 256 || fail "engine $i"
		eval "engine_$i=http://127.0.0.1:$port engine_pid_$i=$last_pid"
		engines="${engines:+$engines,}http://127.0.0.1:$port"
		set -- "{name: engine-$i, kind: engine, url: \"http://127.0.0.1:$port\", team: cedar, pool: large}"
		if [ "$i" -le 3 ]; then
			stage_standin "service-$i" service --name book ||
			    fail "service $i"
			services="${services:+$services,}http://127.0.0.1:$port"
			set -- "$1" "{name: book-$i, kind: service, url: \"http://127.0.0.1:$port\", team: cedar, service: book}"
		fi
		domain=north
		[ $((i % 2)) -eq 0 ] && domain=south
		next_port
		stage_side "side-$i" $domain "$stage_port" 50000000 "$@"
		eval "side_pid_$i=$last_pid"
	done
}

start_all() {
	stage_begin
	stage_platform 50000000 || fail "stand-ins"
	entries=
	next_port
	peer_a=$stage_port
	next_port
	peer_b=$stage_port
	seeds="\"127.0.0.1:$peer_a\", \"127.0.0.1:$peer_b\""
	stage_entry entry-1 north "$peer_a"
	entry_pid_1=$last_pid
	stage_entry entry-2 south "$peer_b"
	entry_pid_2=$last_pid
	entry_1=${entries%,*}
	entry_2=${entries#*,}
	start_targets
	wait_ready "$entry_1" || fail "entry 1"
	wait_ready "$entry_2" || fail "entry 2"
	cat >"$STAGE/platform.yaml" <<END
team: platform
tokens: {operator: $(sha $root_token)}
teams:
  cedar: {requests_s: 20000, queue: 20000}
END
	cat >"$STAGE/cedar.yaml" <<END
team: cedar
limits: {requests_s: 10000, queue: 10000, default_deadline_ms: 10000}
tokens: {operator: $(sha $team_token), caller: $(sha $caller_token)}
services:
  book: {idempotent_methods: [GET]}
END
	operate settings set platform "$STAGE/platform.yaml" >/dev/null ||
	    fail "root branch"
	operate settings set cedar "$STAGE/cedar.yaml" >/dev/null ||
	    fail "branch"
	publish v1
	operate --wait-ms 15000 rollout start cedar/care v1 --watch \
	    >"$STAGE/log/rollout-v1" 2>&1 || fail "rollout of v1"
}

# ---------------------------------------------------------------------
# Load and measurements

# call NAME URLS RATE SECONDS [OPTIONS...]: sends requests and returns when all
# are answered.
call() {
	call_name=$1
	call_urls=$2
	call_rate=$3
	call_s=$4
	shift 4
	"$standin" caller --entries "$call_urls" --model cedar/care \
	    --token $caller_token --rate "$call_rate" --seconds "$call_s" \
	    --streams-permille 1000 --max-tokens $tokens --seed "$seed" \
	    --list --out "$STAGE/$call_name.json" "$@" \
	    2>>"$STAGE/log/caller.err"
}

ms() { # NAME HISTOGRAM POINT: percentile from a caller's summary
	grep -o "\"$2\":{[^}]*}" "$STAGE/$1.json" |
	    sed "s/.*\"$3\":\([0-9]*\).*/\1/" | awk '{ printf "%.1f", $1 / 1000 }'
}

minus() {
	awk "BEGIN { printf \"%.1f\", $1 - $2 }"
}

retries_at() { # URL
	curl -s -m 5 "$1/metrics" |
	    awk '$1 == "request_retries" { n = $2 } END { print n + 0 }'
}

retries() { # total at the live gateways
	echo $(($(retries_at "$entry_1") + $(retries_at "$entry_2")))
}

cpu_s() { # PID
	awk '{ print ($14 + $15) / 100 }' "/proc/$1/stat"
}

# report NAME MORE [POSTS]: prints the line of a case from the caller summary of
# the same name.
report() {
	"$standin" tally --case "$1" --engines "$engines" \
	    --services "$services" --callers "$STAGE/$1.json" \
	    --retries $(($(retries) - retries_before)) --more "$2" \
	    ${3:+--posts "$3"} || status=1
}

# ---------------------------------------------------------------------
# Cases

case_steady() {
	# Uses one token at a low rate, with the prompt in every cache, so that
	# neither queueing nor prefill hides the latency added by the gateway.
	call warm "$engines" 100 0.5 --max-tokens 1
	call direct "$engines" 60 1 --max-tokens 1
	call through "$entries" 60 1 --max-tokens 1
	cpu_before=$(cpu_s "$entry_pid_1")
	call steady "$entries" "$half" 2
	cpu=$(minus "$(cpu_s "$entry_pid_1")" "$cpu_before")
	sent=$(sed 's/.*"sent":\([0-9]*\).*/\1/' "$STAGE/steady.json" | cut -d , -f 1)
	per_core=$(awk "BEGIN { if ($cpu > 0) printf \"%.0f\", $sent / 2 / $cpu; else print \"unmeasured\" }")
	report steady "added_p50_ms=$(minus "$(ms through first_token_us p50)" "$(ms direct first_token_us p50)") added_p95_ms=$(minus "$(ms through first_token_us p95)" "$(ms direct first_token_us p95)") requests_s_per_entry_core=$per_core tokens_per_request=$tokens"
}

case_burst_3x() {
	burst_from=$(seconds_now)
	call burst-3x "$entries" "$(awk "BEGIN { print $capacity * 3 }")" 3 \
	    --deadline-ms 3000
	took=$(elapsed "$burst_from" "$(seconds_now)")
	sleep 2
	call after "$entries" "$half" 0.5
	answered=$(sed 's/.*"answered":\([0-9]*\).*/\1/' "$STAGE/burst-3x.json" | cut -d , -f 1)
	report burst-3x "of_capacity=$(awk "BEGIN { printf \"%.2f\", $answered / ($capacity * $took) }") seconds=$took refusal_p50_ms=$(ms burst-3x refusal_us p50) refusal_p95_ms=$(ms burst-3x refusal_us p95) after_2s_first_token_p95_ms=$(ms after first_token_us p95)"
	for policy in round-robin random least-load; do
		echo "requests case=burst-3x policy=$policy not run (no setting switches the choice)"
	done
}

case_targets_die() {
	call targets-die "$entries" "$half" 2.5 &
	load=$!
	sleep 1
	# The engine's log is lost when it is killed, so the log is saved just
	# before. Requests that end in the few ms between are not counted.
	eval "killed_url=\$engine_$n killed_pid=\$engine_pid_$n"
	curl -s "$killed_url/admin/log" >"$STAGE/killed.json"
	kill -KILL "$killed_pid"
	engines=$(echo "$engines" | sed "s|$killed_url|$STAGE/killed.json|")
	sleep 0.7
	eval "kill -KILL \$side_pid_$((n - 1))"
	wait $load
	report targets-die "killed=engine-$n,side-$((n - 1))"
}

case_links_stall() {
	call links-stall "$entries" "$half" 2.5 &
	load=$!
	sleep 1
	eval "stalled=\$side_pid_$((n - 2))"
	kill -STOP "$stalled"
	sleep 1.5
	kill -CONT "$stalled"
	wait $load
	report links-stall "stalled=side-$((n - 2)) for_s=1.5"
}

case_rolling_drain() {
	"$standin" caller --entries "$entries" --model cedar/care \
	    --token $caller_token --rate "$half" --seconds 0 \
	    --streams-permille 1000 --max-tokens $tokens --seed "$seed" \
	    --list --out "$STAGE/rolling-drain.json" &
	load=$!
	stage_pids="$stage_pids $load"
	drained=0
	# One edit moves the drain from a host to the next; the command returns
	# when the settings are active everywhere.
	for i in $(seq "$n"); do
		{
			cat "$STAGE/platform.yaml"
			echo "drain: {hosts: [side-$i]}"
		} >"$STAGE/drain.yaml"
		operate settings set platform "$STAGE/drain.yaml" \
		    >>"$STAGE/log/drain" 2>&1 && drained=$((drained + 1))
		sleep 0.1
	done
	operate settings set platform "$STAGE/platform.yaml" >/dev/null
	kill -TERM $load
	wait $load
	report rolling-drain "drained=$drained/$n"
}

case_version_switch() {
	publish v2
	call version-switch "$entries" "$half" 2.5 &
	load=$!
	sleep 0.5
	operate --wait-ms 15000 rollout start cedar/care v2 \
	    >"$STAGE/log/rollout-v2" 2>&1
	wait $load
	report version-switch "answers_by_version=$(grep -o '"digests":{[^}]*}' \
	    "$STAGE/version-switch.json" | sed 's/"digests"://; s/[{}" ]//g; s/:/=/g')"
}

# Sends a keyed request to a service and retries it at the other gateway until
# one of them answers it. The path identifies the request in the services' logs.
keyed() { # NUMBER
	for url in "$entry_1" "$entry_2" "$entry_2" "$entry_2"; do
		result=$(curl -s -m 5 -o /dev/null -w '%{http_code} %header{x-verdict}' \
		    -H "Authorization: Bearer $caller_token" \
		    -H "Idempotency-Key: bench-$1" -d "number $1" \
		    "$url/services/cedar/book/once-$1")
		case $result in
		"200 "*) break ;;
		esac
		sleep 0.5
	done
	echo "/once-$1 $result" >>"$STAGE/posts"
}

case_entry_dies() {
	: >"$STAGE/posts"
	call entry-dies "$entry_2" "$half" 2.5 &
	load=$!
	for url in $(echo "$services" | tr ',' ' '); do
		curl -s -o /dev/null -d '{"delay_ms":200}' "$url/admin/faults"
	done
	poster_pids=
	for i in $(seq 100); do
		keyed "$i" &
		poster_pids="$poster_pids $!"
		if [ "$i" -eq 50 ]; then
			# The gateway's counter is lost with it.
			retries_before=$((retries_before -
			    $(retries_at "$entry_1")))
			kill -KILL "$entry_pid_1"
		fi
		sleep 0.02
	done
	# shellcheck disable=SC2086
	wait $load $poster_pids
	in_doubt=$(grep -c MAY_HAVE_RUN "$STAGE/posts")
	report entry-dies "keyed=100 in_doubt=$in_doubt" "$STAGE/posts"
	entries=$entry_2
}

case_api_down() {
	curl -s -o /dev/null -d '{"down":true}' "$objects/admin/faults"
	call api-down "$entries" "$half" 2
	curl -s -o /dev/null -d '{"down":false}' "$objects/admin/faults"
	report api-down "down_s=2"
}

cache() { # hits|misses: total over the live engines
	for url in $(echo "$engines" | tr ',' ' '); do
		case $url in
		http*) curl -s -m 5 "$url/admin/log" ;;
		esac
	done | grep -o "\"cache_$1\": *[0-9]*" | awk -F : '{ n += $2 } END { print n + 0 }'
}

# Uses 120 prompts of 500 tokens; the cache of an engine holds 12 of them.
case_prefix() {
	hits=$(cache hits)
	misses=$(cache misses)
	call prefix "$entries" "$half" 2.5 --prompts 120 --prompt-bytes 2000
	hits=$(($(cache hits) - hits))
	misses=$(($(cache misses) - misses))
	report prefix "cache_hit_ratio=$(awk "BEGIN { printf \"%.2f\", $hits / ($hits + $misses + 1e-9) }") prompts=120"
	for policy in round-robin random least-load; do
		echo "requests case=prefix policy=$policy not run (no setting switches the choice)"
	done
}

from=$(seconds_now)
start_all
echo "requests: set up in $(elapsed "$from" "$(seconds_now)") s"
for name in $cases; do
	retries_before=$(retries)
	"case_$(echo "$name" | tr - _)"
done
stage_end
echo "requests: took $(elapsed "$from" "$(seconds_now)") s"
exit $status
