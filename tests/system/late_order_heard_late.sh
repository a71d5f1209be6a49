#!/bin/sh
# Guards against answers from corrupt chunks that an engine loaded by a late order of
# a sidecar that has ended, where the only gateway that remembers the order is held up
# as the next sidecar starts.
set -u
BUILD=$1
NET=${NET:-248}
. tools/fleet.sh

failed=0

# HELD=0: the gateway that has started is not held up, and may believe the sidecar
# until it hears of the doubt (KNOWN-RED.txt).
HELD=${HELD:-1}

# Both sidecars and the other gateway start again as the engine goes on. That gateway
# sends them their desired state, and is held up as well from before they settle until
# they know of the doubt.
end_all_but_a_gateway() {
	fleet_await_hold
	kill -KILL "$(cat "$STAGE/gateway-1.pid")"
	kill -KILL "$(cat "$STAGE/keeper-0.pid")" "$(cat "$STAGE/keeper-1.pid")"
	sleep 3.7
	fleet_start gateway-1
	kill -STOP "$(cat "$STAGE/gateway-2.pid")"
	sleep 0.15
	fleet_start keeper-0
	fleet_start keeper-1
	sleep 0.4
	[ "$HELD" = 0 ] || kill -STOP "$(cat "$STAGE/gateway-1.pid")"
	sleep 0.55
	kill -CONT "$(cat "$STAGE/gateway-2.pid")"
	sleep 0.5
	kill -CONT "$(cat "$STAGE/gateway-1.pid")"
	wait
}

fleet_begin "$BUILD/stage-late-order-heard-late" 2 2
end_all_but_a_gateway &
ending=$!
fleet_check --ends-judged 0 --engines 2 --empty 0 --rate 30 --bump 2 --seed "${SEED:-1}" --seconds 10 --hold-order-ms 3500 || failed=1
wait $ending
fleet_ends_kept 0 || failed=1
fleet_loaded 2 || failed=1
exit $failed
