#!/bin/sh
# Requests bench: 2 entries, N engines (12), 3 services on loopback, one line
# a case. `sh bench/requests.sh BUILD`; N, SEED (1), CASES (all) by
# environment. What is counted comes from the engines' and services' own logs
# against what the callers were told (`standin tally`).
#
# Capacity is what the engines can do by their slots and step: N * slots /
# ((tokens + 1) * step) requests a second. The load of most cases is 0.5 of it.
# cut counts answers that broke off; cut_told those of them that ended with a
# visible error; lost those that got no answer at all. After targets-die one
# engine and one side fewer are there until the end.
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

publish() { # VERSION: bytes and chunk list at the origin
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
# Load and figures

# call NAME URLS RATE SECONDS [OPTIONS...]: sends; ends when all is answered.
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

ms() { # NAME HISTOGRAM POINT: of a caller's summary
	grep -o "\"$2\":{[^}]*}" "$STAGE/$1.json" |
	    sed "s/.*\"$3\":\([0-9]*\).*/\1/" | awk '{ printf "%.1f", $1 / 1000 }'
}

minus() {
	awk "BEGIN { printf \"%.1f\", $1 - $2 }"
}

counter_of() { # URL
	curl -s -m 5 "$1/metrics" |
	    awk '$1 == "request_retries" { n = $2 } END { print n + 0 }'
}

retries() { # so far, at the entries that live
	echo $(($(counter_of "$entry_1") + $(counter_of "$entry_2")))
}

cpu_s() { # PID
	awk '{ print ($14 + $15) / 100 }' "/proc/$1/stat"
}

# tell NAME MORE: the line of a case, from the summary of the same name.
tell() {
	"$standin" tally --case "$1" --engines "$engines" \
	    --services "$services" --callers "$STAGE/$1.json" \
	    --retries $(($(retries) - retries_before)) --more "$2" \
	    ${3:+--posts "$3"} || status=1
}

# ---------------------------------------------------------------------
# Cases

case_steady() {
	# One token at a low rate, the prompt in every cache: neither queue nor
	# prefill blurs what we add.
	call warm "$engines" 100 0.5 --max-tokens 1
	call direct "$engines" 60 1 --max-tokens 1
	call through "$entries" 60 1 --max-tokens 1
	cpu_before=$(cpu_s "$entry_pid_1")
	call steady "$entries" "$half" 2
	cpu=$(minus "$(cpu_s "$entry_pid_1")" "$cpu_before")
	sent=$(sed 's/.*"sent":\([0-9]*\).*/\1/' "$STAGE/steady.json" | cut -d , -f 1)
	per_core=$(awk "BEGIN { if ($cpu > 0) printf \"%.0f\", $sent / 2 / $cpu; else print \"unmeasured\" }")
	tell steady "added_p50_ms=$(minus "$(ms through first_token_us p50)" "$(ms direct first_token_us p50)") added_p95_ms=$(minus "$(ms through first_token_us p95)" "$(ms direct first_token_us p95)") requests_s_per_entry_core=$per_core tokens_per_request=$tokens"
}

case_burst_3x() {
	burst_from=$(seconds_now)
	call burst-3x "$entries" "$(awk "BEGIN { print $capacity * 3 }")" 3 \
	    --deadline-ms 3000
	took=$(elapsed "$burst_from" "$(seconds_now)")
	sleep 2
	call after "$entries" "$half" 0.5
	answered=$(sed 's/.*"answered":\([0-9]*\).*/\1/' "$STAGE/burst-3x.json" | cut -d , -f 1)
	tell burst-3x "of_capacity=$(awk "BEGIN { printf \"%.2f\", $answered / ($capacity * $took) }") seconds=$took refusal_p50_ms=$(ms burst-3x refusal_us p50) refusal_p95_ms=$(ms burst-3x refusal_us p95) after_2s_first_token_p95_ms=$(ms after first_token_us p95)"
	for policy in round-robin random least-load; do
		echo "requests case=burst-3x policy=$policy not run (no setting switches the choice)"
	done
}

case_targets_die() {
	call targets-die "$entries" "$half" 2.5 &
	load=$!
	sleep 1
	# The log dies with the engine; it is saved as late as can be. Runs
	# that end within the few ms between are not seen.
	eval "gone=\$engine_$n gone_pid=\$engine_pid_$n"
	curl -s "$gone/admin/log" >"$STAGE/gone.json"
	kill -KILL "$gone_pid"
	engines=$(echo "$engines" | sed "s|$gone|$STAGE/gone.json|")
	sleep 0.7
	eval "kill -KILL \$side_pid_$((n - 1))"
	wait $load
	tell targets-die "killed=engine-$n,side-$((n - 1))"
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
	tell links-stall "stalled=side-$((n - 2)) for_s=1.5"
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
	# when it is in force everywhere.
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
	tell rolling-drain "drained=$drained/$n"
}

case_version_switch() {
	publish v2
	call version-switch "$entries" "$half" 2.5 &
	load=$!
	sleep 0.5
	operate --wait-ms 15000 rollout start cedar/care v2 \
	    >"$STAGE/log/rollout-v2" 2>&1
	wait $load
	tell version-switch "answers_by_version=$(grep -o '"digests":{[^}]*}' \
	    "$STAGE/version-switch.json" | sed 's/"digests"://; s/[{}" ]//g; s/:/=/g')"
}

# A keyed request to a service, tried again at the other entry until it has an
# answer of one: its path names it in the services' logs.
keyed() { # NUMBER
	for url in "$entry_1" "$entry_2" "$entry_2" "$entry_2"; do
		said=$(curl -s -m 5 -o /dev/null -w '%{http_code} %header{x-verdict}' \
		    -H "Authorization: Bearer $caller_token" \
		    -H "Idempotency-Key: bench-$1" -d "number $1" \
		    "$url/services/cedar/book/once-$1")
		case $said in
		"200 "*) break ;;
		esac
		sleep 0.5
	done
	echo "/once-$1 $said" >>"$STAGE/posts"
}

case_entry_dies() {
	: >"$STAGE/posts"
	call entry-dies "$entry_2" "$half" 2.5 &
	load=$!
	for url in $(echo "$services" | tr ',' ' '); do
		curl -s -o /dev/null -d '{"delay_ms":200}' "$url/admin/faults"
	done
	posters=
	for i in $(seq 100); do
		keyed "$i" &
		posters="$posters $!"
		if [ "$i" -eq 50 ]; then
			# Its counter dies with it.
			retries_before=$((retries_before -
			    $(counter_of "$entry_1")))
			kill -KILL "$entry_pid_1"
		fi
		sleep 0.02
	done
	# shellcheck disable=SC2086
	wait $load $posters
	in_doubt=$(grep -c MAY_HAVE_RUN "$STAGE/posts")
	tell entry-dies "keyed=100 in_doubt=$in_doubt" "$STAGE/posts"
	entries=$entry_2
}

case_api_down() {
	curl -s -o /dev/null -d '{"down":true}' "$objects/admin/faults"
	call api-down "$entries" "$half" 2
	curl -s -o /dev/null -d '{"down":false}' "$objects/admin/faults"
	tell api-down "down_s=2"
}

cache() { # hits|misses: over the engines that live
	for url in $(echo "$engines" | tr ',' ' '); do
		case $url in
		http*) curl -s -m 5 "$url/admin/log" ;;
		esac
	done | grep -o "\"cache_$1\": *[0-9]*" | awk -F : '{ n += $2 } END { print n + 0 }'
}

# 120 prompts of 500 tokens; an engine's cache holds 12 of them.
case_prefix() {
	hits=$(cache hits)
	misses=$(cache misses)
	call prefix "$entries" "$half" 2.5 --prompts 120 --prompt-bytes 2000
	hits=$(($(cache hits) - hits))
	misses=$(($(cache misses) - misses))
	tell prefix "cache_hit_ratio=$(awk "BEGIN { printf \"%.2f\", $hits / ($hits + $misses + 1e-9) }") prompts=120"
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
