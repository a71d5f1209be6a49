#!/bin/sh
# Guards against answers from corrupt chunks that an engine loaded by an order
# which its sidecar had given up: the engine stood still as the order arrived, and
# carried it out when it went on.
set -u
BUILD=$1
NET=${NET:-248}
. tools/fleet.sh

failed=0

play() { # play FOLDER OPTIONS...
	fleet_begin "$BUILD/$1" 2 2
	shift
	fleet_check --engines 2 --empty 0 --rate 30 --bump 2 --seed "${SEED:-1}" "$@" || failed=1
}

loaded() { # loaded VERSION: the engine serves with it in the end
	grep -q "ev=weights step=done version=$1 " "$STAGE/keeper-0.log" || {
		echo "keeper-0 is without version $1"
		failed=1
	}
}

# A chunk turns corrupt while the engine stands still, for longer than allowed.
play stage-late-order --seconds 9 --hold-order-ms 3500
loaded 2
# The same in two parts: while the chunks are read back, and at the order.
play stage-late-order-read --seconds 9 --hold-read-ms 1350 --hold-order-ms 1900
loaded 2
# Nothing turns corrupt: the engine serves with what it has loaded.
play stage-late-order-valid --seconds 9 --hold-order-ms 3500 --hold-corrupted 0
loaded 2
# The settings do not state how many layers the model has.
play stage-late-order-layers --seconds 9 --hold-order-ms 3500 --hold-no-layers 1
loaded 2
# The next version is announced before or after the sidecar gives the order up,
# and its chunks replace the others in the staging area.
play stage-late-order-next --seconds 10 --hold-order-ms 3500 --hold-bump-ms 300
loaded 3
play stage-late-order-older --seconds 10 --hold-order-ms 3500 --hold-bump-ms 1500
loaded 3
exit $failed
