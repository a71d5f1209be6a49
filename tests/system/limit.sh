#!/bin/sh
# An engine in need names a rate limit in its answers, for all gateways
# together, and gets as many requests as before: 28 in 4 s where 11 were
# allowed. So it falls behind, and its callers wait. No gateway read the field:
# each one's count of requests to limited targets grew as before, all of them
# first sends. Here an engine beside a keeper and a plain target name limits
# while three gateways, the first with half of the traffic, serve callers.
set -u
BUILD=$1
. tools/fleet.sh
fleet_begin "$BUILD/stage-limit" 4 3
"$BUILD/tests/fleet/fleet" --engines 4 --empty 0 --gateways "$gateways" --rate 120 --uneven 1 \
    --seconds 14 --bump 0 --limit 2 --seed 1 >"$STAGE/fleet.out" 2>"$STAGE/fleet.err"
status=$?
fleet_end || status=1
tail -n 3 "$STAGE/fleet.err"
tail -n 2 "$STAGE/fleet.out"
exit $status
