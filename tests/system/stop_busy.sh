#!/bin/sh
# Guards against requests that a stopping gateway of the own interface takes so late
# that they are cut when it ends: while open requests hold it up, later ones must be
# refused as not run.
set -u
BUILD=$1
. tests/system/lib.sh
small_fleet 1

LATEST_S=45 # of the 60 s that it waits for open requests

book() { # PATH [CURL OPTIONS...]
	path=$1
	shift
	curl -s -m 60 -H "Authorization: Bearer $caller_token" "$@" "$entry_1/services/cedar/book/$path"
}
keep_busy() { # one open request after the other, taken or not
	until [ -e "$STAGE/stop" ]; do
		book busy
		sleep 0.1
	done
}

curl -s -o /dev/null -d '{"delay_ms":4000}' "$service_1/admin/faults"
keep_busy >/dev/null &
busy=$!
sleep 2
keep_busy >/dev/null &
busy="$busy $!"
sleep 0.5
begun=$(date +%s)
kill -TERM "$entry_pid_1"
sleep 1
check "a request that comes early is answered" grep -q body_sha256 <<END
$(book early)
END
late=
until echo "$late" | grep -q '^HTTP/1.1 503 ' || [ "$(date +%s)" -ge $((begun + LATEST_S)) ]; do
	late=$(book late -i -d '{}')
done
check "one that comes late is refused" test "$(echo "$late" | grep -c '^HTTP/1.1 503 ')" -eq 1
check "and not run" test "$(echo "$late" | grep -ci '^X-Verdict: NOT_RUN')" -eq 1
check "with a time to come back" test "$(echo "$late" | grep -ci '^Retry-After: ')" -eq 1
touch "$STAGE/stop"
# shellcheck disable=SC2086
wait $busy
ended() {
	! kill -0 "$entry_pid_1" 2>/dev/null
}
eventually "the gateway has stopped" ended
finish
