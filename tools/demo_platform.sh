#!/bin/sh
# The complete request path against the stand-in for the users' platform: 2
# gateways, 8 sidecars, 6 engines with weights and 2 without, requests
# throughout, some of whose answers engines break off, and a new version during
# them. Last line: `fleet: kept ...`.
set -u
BUILD=${1:-build}
. tools/fleet.sh
fleet_begin "$BUILD/stage-demo-platform" 8 2
"$BUILD/tests/fleet/fleet" --engines 8 --empty 2 --gateways "$gateways" \
    --net "$NET" --rate 80 --broken 10 --http10 8 --seconds "${SECONDS_TO_PLAY:-12}" --bump 3 --seed 1 >"$STAGE/fleet.out"
status=$?
fleet_end || status=1
loaded=$(grep -h 'ev=weights step=done version=2' "$STAGE"/keeper-*.log | wc -l)
echo "demo-platform: version 2 loaded at $loaded of 8 engines"
[ "$loaded" -ge 8 ] || status=1
# Nothing disturbs the gateways, so none may leave a caller without an answer.
grep -q ' broken=0 ' "$STAGE/fleet.out" || status=1
tail -n 1 "$STAGE/fleet.out"
exit $status
