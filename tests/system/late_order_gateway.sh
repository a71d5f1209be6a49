#!/bin/sh
# Guards against answers from corrupt chunks that an engine loaded by a late order of
# a sidecar that has ended, through a gateway that has started as late as the next
# sidecar: the others remember the order, and it does not.
set -u
BUILD=$1
NET=${NET:-248}
. tools/fleet.sh

failed=0

# The gateway starts again as the engine goes on, just before the sidecar does.
end_sidecar_and_gateway() {
	fleet_await_hold
	kill -KILL "$(cat "$STAGE/keeper-0.pid")" "$(cat "$STAGE/gateway-1.pid")"
	sleep 3.7
	fleet_start gateway-1
	sleep 0.15
	fleet_start keeper-0
	wait
}

fleet_begin "$BUILD/stage-late-order-gateway" 2 2
end_sidecar_and_gateway &
ending=$!
fleet_check --engines 2 --empty 0 --rate 30 --bump 2 --seed "${SEED:-1}" --seconds 10 --hold-order-ms 3500 || failed=1
wait $ending
fleet_loaded 2 || failed=1
exit $failed
