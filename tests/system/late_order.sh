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

# A chunk turns corrupt while the engine stands still, for longer than allowed.
play stage-late-order --seconds 9 --hold-order-ms 3500
fleet_loaded 2 || failed=1
# The same in two parts: while the chunks are read back, and at the order.
play stage-late-order-read --seconds 9 --hold-read-ms 1350 --hold-order-ms 1900
fleet_loaded 2 || failed=1
# Nothing turns corrupt: the engine serves with what it has loaded.
play stage-late-order-valid --seconds 9 --hold-order-ms 3500 --hold-corrupted 0
fleet_loaded 2 || failed=1
# The settings do not state how many layers the model has.
play stage-late-order-layers --seconds 9 --hold-order-ms 3500 --hold-no-layers 1
fleet_loaded 2 || failed=1
# The next version is announced before or after the sidecar gives the order up,
# and its chunks replace the others in the staging area.
play stage-late-order-next --seconds 10 --hold-order-ms 3500 --hold-bump-ms 300
fleet_loaded 3 || failed=1
play stage-late-order-older --seconds 10 --hold-order-ms 3500 --hold-bump-ms 1500
fleet_loaded 3 || failed=1
exit $failed
