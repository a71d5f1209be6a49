#!/bin/sh
# Guards against requests that fail at their deadline because their gateway was
# held up, although their answers had arrived in time: the timers of many
# requests are due at once then, and must not act before the input is read.
set -u
BUILD=$1
. tests/system/lib.sh
small_fleet 2
next_port
stage_entry entry-3 north "$stage_port"
entry_pid_3=$last_pid
entry_3=$(echo "$entries" | cut -d , -f 3)
knows_targets() { # ENTRY
	[ "$(curl -s -H "Authorization: Bearer $root_token" "$1/v1/status" |
	    grep -o '"reachable":true' | wc -l)" -eq 4 ]
}

REQUESTS=10 # fewer than the slots of one of three gateways, so that none waits
ask_all() { # ENTRY DEADLINE-MS
	rm -f "$STAGE"/status-* "$STAGE"/answer-*
	asking=
	for n in $(seq $REQUESTS); do
		curl -s -m 30 -o "$STAGE/answer-$n" -w '%{http_code}\n' \
		    -H "Authorization: Bearer $caller_token" \
		    -H "X-Deadline-Ms: $2" \
		    "$1/services/cedar/book/$n" >"$STAGE/status-$n" &
		asking="$asking $!"
	done
}
hold_up() { # ENTRY-PID SECONDS
	kill -STOP "$1"
	sleep "$2"
	kill -CONT "$1"
	# shellcheck disable=SC2086
	wait $asking
}
with_status() {
	cat "$STAGE"/status-* | grep -c "^$1\$"
}
# An entry's own deadline and that of its sidecar have different messages.
show() {
	echo "$(with_status 200) answered, $(with_status 504) with the deadline expired"
	sed -n 's/^{"error":.*"message":\("[^"]*"\).*/\1/p' "$STAGE"/answer-* | sort | uniq -c
}
faults() {
	for url in "$service_1" "$service_2"; do
		curl -s -o /dev/null -d "$1" "$url/admin/faults"
	done
}
# Requests are at their services, not only at the gateway or a sidecar.
running() { # RUNS: of all steps so far
	[ "$(curl -s "$service_1/admin/log" "$service_2/admin/log" | grep -o '"path"' | wc -l)" -eq "$1" ]
}

# The answers arrive while the gateway stands still, and its deadlines pass.
faults '{"delay_ms":1000,"answer_bytes":240000}'
ask_all "$entry_1" 2000
eventually "all requests run" running $REQUESTS
hold_up "$entry_pid_1" 2.2
show
check "answers that arrived in time are delivered" test "$(with_status 200)" -eq $REQUESTS

# The sidecars, to which the answers have come, stand still as well and go on a
# little later than the gateway. Each gateway is used once: estimates of the
# answers' time would refuse requests.
eventually "the third gateway knows all targets" knows_targets "$entry_3"
ask_all "$entry_3" 2000
eventually "all requests run" running $((2 * REQUESTS))
kill -STOP "$entry_pid_3" "$side_pid_1" "$side_pid_2"
sleep 2.6
kill -CONT "$entry_pid_3"
sleep 0.3
kill -CONT "$side_pid_1" "$side_pid_2"
# shellcheck disable=SC2086
wait $asking
show
check "the rest of answers is awaited" test "$(with_status 200)" -eq $REQUESTS

# No answer arrives in time: the deadline holds.
faults '{"delay_ms":20000}'
ask_all "$entry_2" 1500
eventually "all requests run" running $((3 * REQUESTS))
from=$(date +%s)
hold_up "$entry_pid_2" 1.8
show
check "requests without an answer end at their deadline" test "$(with_status 504)" -eq $REQUESTS
check "soon after the process goes on" test $(($(date +%s) - from)) -lt 15
finish
