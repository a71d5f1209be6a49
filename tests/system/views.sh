#!/bin/sh
# A gateway starts in a fleet of many engines and gets all of them in one page
# of the store's listing. It must send its desired state to the sidecars once
# for the page and then at its interval, not once for each engine: the number of
# messages would grow with the square of the number of engines, fill the links
# between regions, and delay settings that were just accepted.
set -u
BUILD=$1
NET=252
. tools/fleet.sh
STAGE=$BUILD/stage-views
ENGINES=30
MAX_SENT=12 # 3 s at one per 0.4 s, with a margin for a slow start
rm -rf "$STAGE"
mkdir -p "$STAGE"
"$BUILD/tests/fleet/fleet" --engines $ENGINES --empty 0 --gateways "127.0.$NET.1:8005" \
    --rate 1 --seconds 8 --bump 0 --seed 1 --net $NET >"$STAGE/fleet.out" 2>"$STAGE/fleet.err" &
fleet=$!
sleep 1
names=gateway-1
fleet_settings "$STAGE/gateway-1.yaml" gateway-1 z0 127.0.$NET.1 \
    "listen: {callers: 127.0.$NET.1:8005, ready: 127.0.$NET.1:8006, metrics: 127.0.$NET.1:9464, peers: 127.0.$NET.1:7700}"
fleet_start gateway-1
sent=0
for _ in $(seq 30); do
	sleep 0.1
	sent=$(curl -s "http://127.0.$NET.1:9464/metrics" | sed -n 's/^views_told //p')
	known=$(grep -c 'ev=target ' "$STAGE/gateway-1.log")
	[ "$known" -ge $ENGINES ] && [ "${sent:-0}" -gt 0 ] && break
done
fleet_end
kill $fleet
wait $fleet 2>/dev/null
echo "engines known: $known, desired states sent: ${sent:-none}"
[ "$known" -ge $ENGINES ] && [ "${sent:-0}" -gt 0 ] && [ "$sent" -le $MAX_SENT ]
