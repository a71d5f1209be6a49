# Sourced by the tests that run real processes: a small fleet, and checks whose
# failures are counted. Usage in a test: BUILD=$1, then `. tests/system/lib.sh`.

STAGE=$BUILD/stage-$(basename "$0" .sh)
. tools/stage.sh
checks=0
failures=0

# check TEXT COMMAND...: the command must succeed.
check() {
	text=$1
	shift
	checks=$((checks + 1))
	if "$@"; then
		echo "ok: $text"
	else
		failures=$((failures + 1))
		echo "FAILED: $text"
	fi
}

# eventually TEXT COMMAND...: the command must succeed within half a minute. The
# limit is a timeout, not a performance requirement.
eventually() {
	text=$1
	shift
	for _ in $(seq 150); do
		if "$@" >/dev/null 2>&1; then
			check "$text" true
			return 0
		fi
		sleep 0.2
	done
	check "$text" false
}

finish() {
	stage_end
	# Includes processes that the test's own checks do not cover.
	check "no process was reported by a sanitizer or an assertion" \
	    no_reports
	echo "$checks checks, $failures failed"
	if [ "$failures" -gt 0 ]; then
		tail -n 20 "$STAGE"/log/*.err
		exit 1
	fi
	exit 0
}

no_reports() {
	! grep -lE 'ERROR: AddressSanitizer|runtime error:|ERROR:.*assertion failed' \
	    "$STAGE"/log/*.err
}

give_up() {
	check "$1" false
	finish
}

# counter URL NAME: the counter's value on /metrics, 0 when absent.
counter() {
	curl -fs "$1/metrics" | awk -v n="$2" '$1 == n { v = $2 } END { print v + 0 }'
}

counter_is_positive() {
	[ "$(counter "$1" "$2")" -gt 0 ]
}

# small_fleet SIDES: starts the platform's stand-ins, 2 entries and SIDES
# sidecars with an engine and a service each, sets both branches of settings,
# and rolls out model cedar/care at version v1. `book_settings` adds settings of
# the service.
small_fleet() {
	stage_begin
	stage_platform 50000000 || give_up "stand-ins start"
	entries=
	next_port
	peer_a=$stage_port
	next_port
	peer_b=$stage_port
	seeds="\"127.0.0.1:$peer_a\", \"127.0.0.1:$peer_b\""
	stage_entry entry-1 north $peer_a
	entry_pid_1=$last_pid
	stage_entry entry-2 south $peer_b
	entry_pid_2=$last_pid
	entry_1=$(echo "$entries" | cut -d , -f 1)
	entry_2=$(echo "$entries" | cut -d , -f 2)
	engines=
	for i in $(seq "$1"); do
		stage_standin engine-$i engine || give_up "engine $i starts"
		engine_port=$port
		eval "engine_$i=http://127.0.0.1:$port engine_pid_$i=$last_pid"
		engines="${engines:+$engines,}http://127.0.0.1:$port"
		stage_standin service-$i service --name book ||
		    give_up "service $i starts"
		eval "service_$i=http://127.0.0.1:$port service_pid_$i=$last_pid"
		domain=north
		[ $((i % 2)) -eq 0 ] && domain=south
		next_port
		eval "side_peer_$i=$stage_port"
		stage_side side-$i $domain $stage_port 50000000 \
		    "{name: engine-$i, kind: engine, url: \"http://127.0.0.1:$engine_port\", team: cedar, pool: large}" \
		    "{name: book-$i, kind: service, url: \"http://127.0.0.1:$port\", team: cedar, service: book}"
		eval "side_pid_$i=$last_pid"
	done
	wait_ready "$entry_1" || give_up "entry 1 is ready"
	wait_ready "$entry_2" || give_up "entry 2 is ready"
	cat >"$STAGE/platform.yaml" <<END
team: platform
tokens: {operator: $(sha $root_token)}
teams:
  cedar: {requests_s: 2000, queue: 2000}
END
	cat >"$STAGE/cedar.yaml" <<END
team: cedar
limits: {requests_s: 1000, queue: 1000}
tokens: {operator: $(sha $team_token), caller: $(sha $caller_token)}
services:
  book: {idempotent_methods: [GET]${book_settings:+, $book_settings}}
END
	operate settings set platform "$STAGE/platform.yaml" ||
	    give_up "root branch"
	operate settings set cedar "$STAGE/cedar.yaml" || give_up "branch"
	publish_version v1 2097152
	start_rollout v1
	eventually "v1 is loaded everywhere" operate rollout status cedar/care
}

# publish_version NAME BYTES: publishes random weights at the origin and adds
# the version; sets `root`.
publish_version() {
	head -c "$2" /dev/urandom >"$STAGE/origin/$1.bin"
	root=$("$bin/entry/currantchute" model digest "$STAGE/origin/$1.bin" \
	    --chunk-bytes 65536 --out "$STAGE/origin/$1.chunks" |
	    sed -n 's/^root \([0-9a-f]*\) .*/\1/p')
	operate model add cedar/care "$1" --root "$root" --bytes "$2" \
	    --chunk-bytes 65536 --weights "$1.bin" --chunks "$1.chunks" \
	    --pool large || give_up "model add $1"
}

start_rollout() {
	operate rollout start cedar/care "$1" || give_up "rollout start $1"
}

# chat ENTRY [CURL OPTIONS...]: sends one request for the model and prints the
# answer.
chat() {
	url=$1
	shift
	curl -s -m 60 -H "Authorization: Bearer $caller_token" "$@" \
	    -d '{"model":"cedar/care","max_tokens":8,"messages":[{"role":"user","content":"hello"}]}' \
	    "$url/v1/chat/completions"
}
