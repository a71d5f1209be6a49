#!/bin/sh
# Guards against a restarted gateway that sends requests without a limit to a
# plain target, which has announced a rate limit, until the target's first
# answer. Restarted three times in two seconds, the gateway brought the target
# to 25 requests in 4 s where 24 were allowed.
set -u
BUILD=$1
NET=249
. tools/fleet.sh
fleet_begin "$BUILD/stage-limit-restart" 4 3
"$BUILD/tests/fleet/fleet" --engines 4 --empty 0 --gateways "$gateways" --rate 120 --uneven 1 \
    --seconds 12 --bump 0 --limit 2 --seed 1 --net $NET --ends-judged 0 >"$STAGE/fleet.out" 2>"$STAGE/fleet.err" &
fleet=$!
sleep 7
for _ in 1 2 3; do
	kill -KILL "$(cat "$STAGE/gateway-1.pid")"
	wait "$(cat "$STAGE/gateway-1.pid")" 2>/dev/null
	fleet_start gateway-1
	sleep 0.7
done
wait $fleet
status=$?
fleet_end || status=1
# After each restart, the first report of the target's limit comes from a
# sidecar, before any answer from the target.
awk -v plain="address=127.0.$NET.14:8001" '/ ev=start / { starts++; known = 0 }
    / ev=limit / && index($0, plain) && !known { known = 1; if (starts > 1 && /from=keeper/) reported++ }
    END { print "limit reported at restart: " reported + 0 " of " starts - 1; exit reported != 3 }' \
    "$STAGE/gateway-1.log" || status=1
tail -n 3 "$STAGE/fleet.err"
tail -n 2 "$STAGE/fleet.out"
exit $status
