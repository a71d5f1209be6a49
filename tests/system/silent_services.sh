#!/bin/sh
# Guards against requests that are given up because their target was silent for
# longer than `stall_ms`, although it would have answered and no other target
# did. Dead targets must not hold their callers for that.
set -u
BUILD=$1
. tests/system/lib.sh
book_settings="stall_ms: 250"
small_fleet 3

all_services() { # SIGNAL
	kill "-$1" "$service_pid_1" "$service_pid_2" "$service_pid_3"
}
get() { # NAME [CURL OPTIONS...]: writes status, attempts and seconds
	name=$1
	shift
	curl -s -m 30 -o "$STAGE/answer-$name" -D "$STAGE/head-$name" \
	    -w '%{http_code} %{time_total}\n' \
	    -H "Authorization: Bearer $caller_token" "$@" \
	    "$entry_1/services/cedar/book/$name" >"$STAGE/result-$name"
}
get_some() { # NAME COUNT
	asking=
	for n in $(seq "$2"); do
		get "$1-$n" &
		asking="$asking $!"
	done
}
with_status() { # NAME STATUS
	cat "$STAGE"/result-"$1"-* | grep -c "^$2 "
}
slowest_ms() { # NAME
	cat "$STAGE"/result-"$1"-* | awk '$2 > most { most = $2 }
	    END { print int(most * 1000) }'
}

get warm
check "a service answers" grep -q '^200 ' "$STAGE/result-warm"

# All are silent for 1.2 s and go on.
all_services STOP
get_some silent 20
sleep 1.2
all_services CONT
# shellcheck disable=SC2086
wait $asking
echo "$(with_status silent 200) of 20 answered"
check "requests at silent services are answered" test "$(with_status silent 200)" -eq 20

# One is dead: its requests are answered by the others.
sleep 2
kill -STOP "$service_pid_3"
get_some dead 20
# shellcheck disable=SC2086
wait $asking
echo "$(with_status dead 200) of 20 answered, the slowest after $(slowest_ms dead) ms"
check "a dead service is replaced" test "$(with_status dead 200)" -eq 20
check "within the limit on silences" test "$(slowest_ms dead)" -lt 5000

# All are dead: nobody is held until the deadline.
all_services STOP
get_some none 10
# shellcheck disable=SC2086
wait $asking
all_services CONT
echo "the slowest was refused after $(slowest_ms none) ms"
check "requests at dead services fail" test "$(with_status none 200)" -eq 0
check "within the limit on silences" test "$(slowest_ms none)" -lt 5000

# Requests with attempts at several silent services end by their callers, their
# deadlines and the end of a sidecar. The services were dead: a backoff after
# that lasts 2 s at most.
sleep 2.5
all_services STOP
get_some left 10
for n in $(seq 10); do
	get "late-$n" -H 'X-Deadline-Ms: 900' &
	asking="$asking $!"
	get "gone-$n" -m 0.6 &
	asking="$asking $!"
done
sleep 0.8
kill -KILL "$side_pid_1"
sleep 0.5
all_services CONT
# shellcheck disable=SC2086
wait $asking
open_requests_are_0() {
	[ "$(counter "$entry_1" entry_open_requests)" -eq 0 ]
}
eventually "all of them end" open_requests_are_0
# Those at the sidecar that ended may fail, as the retry budget is small.
check "each caller that stayed got a response" test \
    $(($(with_status left 200) + $(with_status left 503))) -eq 10
check "requests elsewhere are answered" test "$(with_status left 200)" -gt 0
finish
