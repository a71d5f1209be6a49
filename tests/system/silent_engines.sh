#!/bin/sh
# Guards against requests that are refused as if no target lived, because all
# engines were silent for a second while callers with short deadlines left.
set -u
BUILD=$1
. tests/system/lib.sh
small_fleet 3

all_engines() { # SIGNAL
	kill "-$1" "$engine_pid_1" "$engine_pid_2" "$engine_pid_3"
}
ask() { # NAME DEADLINE-MS: writes the HTTP status
	chat "$entry_1" -o "$STAGE/answer-$1" -w '%{http_code}\n' \
	    -H "X-Deadline-Ms: $2" >"$STAGE/status-$1"
}
# Each 50 ms for 1.4 s, one request that cannot be answered before its deadline
# and one that can.
ask_during_silence() { # ROUND
	all_engines STOP
	for n in $(seq 28); do
		ask "short-$1-$n" 300 &
		asking="$asking $!"
		ask "long-$1-$n" 8000 &
		asking="$asking $!"
		sleep 0.05
	done
	all_engines CONT
	sleep 0.4
}
with_status() { # NAME STATUS
	cat "$STAGE"/status-"$1"-* | grep -c "^$2\$"
}

check "an engine answers" test -n "$(chat "$entry_1" | grep choices)"
asking=
for round in 1 2; do
	ask_during_silence $round
done
# shellcheck disable=SC2086
wait $asking
echo "$(with_status long 200) of 56 answered, $(with_status long 503) refused"
check "requests that had time are answered" test "$(with_status long 200)" -eq 56
check "none of the others is refused as if no engine lived" test \
    "$(with_status short 503)" -eq 0
check "some of them met their deadlines" test "$(with_status short 504)" -gt 0
finish
