#!/bin/sh
# Guards against answers from corrupt chunks that an engine loaded by a late order of
# a sidecar that has ended, through a gateway that has started as late as the next
# sidecar: the others remember the order, and it does not.
set -u
BUILD=$1
NET=${NET:-248}
. tools/fleet.sh

failed=0

# The gateway starts again as the engine goes on, just before the sidecars do.
end_sidecars_and_gateway() { # end_sidecars_and_gateway SIDECAR...
	fleet_await_hold
	kill -KILL "$(cat "$STAGE/gateway-1.pid")"
	for name; do kill -KILL "$(cat "$STAGE/$name.pid")"; done
	sleep 3.7
	fleet_start gateway-1
	sleep 0.15
	for name; do fleet_start "$name"; done
	wait
}

play() { # play FOLDER SIDECAR...
	fleet_begin "$BUILD/$1" 2 2
	shift
	end_sidecars_and_gateway "$@" &
	ending=$!
	fleet_check --ends-judged 0 --engines 2 --empty 0 --rate 30 --bump 2 --seed "${SEED:-1}" --seconds 10 --hold-order-ms 3500 || failed=1
	wait $ending
	fleet_ends_kept 0 || failed=1
	fleet_loaded 2 || failed=1
}

play stage-late-order-gateway keeper-0
# No sidecar tells the gateway that others run for longer than it does.
play stage-late-order-sidecars keeper-0 keeper-1
exit $failed
