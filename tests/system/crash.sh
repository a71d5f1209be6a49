#!/bin/sh
# Guards against one request that ends engine after engine: it comes again under
# new ids at any gateway, and none of them learns from the others' losses.
set -u
BUILD=$1
NET=251
. tools/fleet.sh
fleet_begin "$BUILD/stage-crash" 6 3
"$BUILD/tests/fleet/fleet" --engines 6 --empty 0 --gateways "$gateways" --rate 60 \
    --seconds 12 --bump 0 --poison 3 --seed 1 --net $NET >"$STAGE/fleet.out" 2>"$STAGE/fleet.err"
status=$?
fleet_end || status=1
tail -n 3 "$STAGE/fleet.err"
tail -n 2 "$STAGE/fleet.out"
exit $status
