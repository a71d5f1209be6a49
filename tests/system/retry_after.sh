#!/bin/sh
# Guards against requests to an overloaded target that refused with 503 and
# Retry-After, before that time is over: each costs the target and a caller
# time. Here an engine and a plain target refuse all requests for some seconds.
set -u
BUILD=$1
NET=${NET:-62}
. tools/fleet.sh
fleet_begin "$BUILD/stage-retry-after" 4 3
"$BUILD/tests/fleet/fleet" --net "$NET" --engines 4 --empty 0 --gateways "$gateways" --rate 120 \
    --seconds 10 --bump 0 --shed 3 --seed 1 >"$STAGE/fleet.out" 2>"$STAGE/fleet.err"
status=$?
fleet_end || status=1
tail -n 3 "$STAGE/fleet.err"
tail -n 1 "$STAGE/fleet.out"
exit $status
