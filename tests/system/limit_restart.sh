#!/bin/sh
# Guards against a gateway that starts again and sends a plain target that names a
# rate limit what it likes until its first answer from there. Started three times
# in two seconds it brought the target to 25 requests in 4 s where 24 were allowed.
set -u
BUILD=$1
NET=249
. tools/fleet.sh
fleet_begin "$BUILD/stage-limit-restart" 4 3
"$BUILD/tests/fleet/fleet" --engines 4 --empty 0 --gateways "$gateways" --rate 120 --uneven 1 \
    --seconds 12 --bump 0 --limit 2 --seed 1 --net $NET >"$STAGE/fleet.out" 2>"$STAGE/fleet.err" &
fleet=$!
sleep 7
for again in 1 2 3; do
	kill -KILL "$(cat "$STAGE/gateway-1.pid")"
	wait "$(cat "$STAGE/gateway-1.pid")" 2>/dev/null
	fleet_start gateway-1
	sleep 0.7
done
wait $fleet
status=$?
fleet_end || status=1
# The first word on its limit after each start comes from a keeper, before any
# request came back from there.
awk -v plain="address=127.0.$NET.14:8001" '/ ev=start / { starts++; known = 0 }
    / ev=limit / && index($0, plain) && !known { known = 1; if (starts > 1 && /from=keeper/) told++ }
    END { print "told at its start: " told + 0 " of " starts - 1; exit told != 3 }' \
    "$STAGE/gateway-1.log" || status=1
tail -n 3 "$STAGE/fleet.err"
tail -n 2 "$STAGE/fleet.out"
exit $status
