#!/bin/sh
# Guards against gateways that retry more than the budget of all of them allows:
# a gateway that started again had a whole share of the slack anew, and the
# others divided the slack by fewer while one was silent. Engines fail most
# requests while gateways are killed, stopped and paused in series.
set -u
BUILD=$1
NET=245
. tools/fleet.sh

restart() { # restart SIGNAL NAME...
	signal=$1
	shift
	for name; do kill "-$signal" "$(cat "$STAGE/$name.pid")"; done
	for name; do wait "$(cat "$STAGE/$name.pid")" 2>/dev/null; done
	for name; do fleet_start "$name"; done
}

all="gateway-1 gateway-2 gateway-3 gateway-4"
fleet_begin "$BUILD/stage-retry_budget" 6 4
"$BUILD/tests/fleet/fleet" --engines 6 --empty 0 --gateways "$gateways" --rate 50 --seconds 31 \
    --bump 0 --fail-from 11 --fail-permille 900 --seed 1 --net $NET --ends-judged 0 \
    >"$STAGE/fleet.out" 2>"$STAGE/fleet.err" &
fleet=$!
sleep 12
for _ in 1 2 3; do
	# shellcheck disable=SC2086
	restart KILL $all
	sleep 1.5
done
for _ in 1 2; do
	for name in $all; do
		restart KILL "$name"
		sleep 0.6
	done
done
for name in gateway-1 gateway-2; do kill -STOP "$(cat "$STAGE/$name.pid")"; done
sleep 4
for name in gateway-1 gateway-2; do kill -CONT "$(cat "$STAGE/$name.pid")"; done
# shellcheck disable=SC2086
restart TERM $all
wait $fleet
status=$?
fleet_end || status=1
grep '^beyond' "$STAGE/fleet.out"
tail -n 1 "$STAGE/fleet.out"
exit $status
