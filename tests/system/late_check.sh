#!/bin/sh
# Guards against an order to load a chunk that turned corrupt while the others
# were verified: a slow engine, or a sidecar that was held up, takes seconds.
set -u
BUILD=$1
NET=${NET:-249}
. tools/fleet.sh

fleet_begin "$BUILD/stage-late-check" 3 2
fleet_check --engines 3 --empty 0 --rate 30 --seconds 16 --bump 2 --late-reads 3 --seed "${SEED:-1}"
status=$?
grep -q ' unwhole=0 ' "$STAGE/fleet.out" || status=1
grep -h 'ev=weights step=check .*outcome=spoilt' "$STAGE/keeper-0.log" || {
	echo "the chunk that turned corrupt was not found"
	status=1
}
grep -q 'ev=weights step=done version=2' "$STAGE/keeper-0.log" || {
	echo "keeper-0 is without version 2"
	status=1
}
exit $status
