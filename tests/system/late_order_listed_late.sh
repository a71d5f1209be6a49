#!/bin/sh
# Guards against answers from corrupt chunks that an engine loaded by a late order,
# through a gateway that started while the engine's record was away: it learns of the
# engine as late as the next sidecar starts, and remembers no doubt.
set -u
BUILD=$1
NET=${NET:-248}
. tools/fleet.sh

failed=0

# The other gateway is held up for a moment as the sidecar starts.
end_sidecar_and_gateway() {
	fleet_await_hold
	kill -KILL "$(cat "$STAGE/gateway-1.pid")" "$(cat "$STAGE/keeper-0.pid")"
	sleep 3.2
	fleet_start gateway-1
	sleep 3.95
	kill -STOP "$(cat "$STAGE/gateway-2.pid")"
	fleet_start keeper-0
	sleep 0.9
	kill -CONT "$(cat "$STAGE/gateway-2.pid")"
	wait
}

fleet_begin "$BUILD/stage-late-order-listed-late" 2 2
end_sidecar_and_gateway &
ending=$!
fleet_check --ends-judged 0 --engines 2 --empty 0 --rate 60 --bump 2 --seed "${SEED:-1}" --seconds 10 --hold-order-ms 7000 --hold-expire-ms 3000 || failed=1
wait $ending
fleet_ends_kept 0 || failed=1
fleet_loaded 2 || failed=1
exit $failed
