#!/bin/sh
# A stream is interrupted when its engine crashes and no other engine can resume
# it: the third example of docs/OPERATIONS.md. Logs stay in
# BUILD/stage-story-cut.
set -u
BUILD=${1:-build}
. tools/fleet.sh
fleet_begin "$BUILD/stage-story-cut" 1 1
"$BUILD/tests/fleet/fleet" --engines 1 --empty 0 --gateways "$gateways" \
    --rate 40 --seconds 5 --bump 0 --crash 3 --seed 1 >"$STAGE/fleet.out" 2>&1
fleet_end
id=$(grep -h "ev=failed.*status=0" "$STAGE"/gateway-*.log | head -n 1 | grep -o 'req=[^ ]*')
[ -n "$id" ] || exit 1
"$BUILD/programs/entry/currantchute" explain "${id#req=}" "$STAGE"/gateway-*.log "$STAGE"/keeper-*.log
