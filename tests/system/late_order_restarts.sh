#!/bin/sh
# Guards against answers from corrupt chunks that an engine loaded by a late order of
# a sidecar that has ended: what gateways remember of the order has to reach its next
# process, and to outlast the engine's record.
set -u
BUILD=$1
NET=${NET:-248}
. tools/fleet.sh

failed=0

# Ends the first sidecar as the engine stands still with its order.
end_sidecar() { # end_sidecar START-AGAIN-AFTER-S (0: never)
	fleet_await_hold
	kill -KILL "$(cat "$STAGE/keeper-0.pid")"
	[ "$1" = 0 ] && return
	sleep "$1"
	fleet_start keeper-0
	wait
}

play_without_sidecar() { # play_without_sidecar FOLDER ENGINES START-AGAIN-AFTER-S OPTIONS...
	fleet_begin "$BUILD/$1" "$2" 2
	end_sidecar "$3" &
	ending=$!
	engines=$2
	shift 3
	fleet_check --engines "$engines" --empty 0 --rate 30 --bump 2 --seed "${SEED:-1}" "$@" || failed=1
	wait $ending
}

# The sidecar ends before its order is answered, and gateways go by the engine's
# record in the store: there is no other engine.
play_without_sidecar stage-late-order-ended 1 0 --seconds 9 --hold-order-ms 3500
# It starts again after the engine has loaded, and finds it idle.
play_without_sidecar stage-late-order-again 2 4 --seconds 10 --hold-order-ms 3500
fleet_loaded 2 || failed=1
# The engine's record expires meanwhile, and every gateway learns of it again.
play_without_sidecar stage-late-order-expired 2 0 --seconds 10 --hold-order-ms 3500 --hold-expire-ms 3000
play_without_sidecar stage-late-order-listed 2 4 --seconds 10 --hold-order-ms 3500 --hold-expire-ms 3000
fleet_loaded 2 || failed=1
exit $failed
