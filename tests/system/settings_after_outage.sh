#!/bin/sh
# Guards against gateways that replay, the oldest first, all changes of large
# settings that they missed while the store was away: each page of 1 MB has ten
# of them and is followed by a batch delay, so they act by old settings for the
# longer, the longer the store was away.
set -u
BUILD=$1
NET=${NET:-66}
STABLE_MS=3000
. tools/fleet.sh
fleet_begin "$BUILD/stage-settings-after-outage" 4 3
fleet_check --engines 4 --empty 0 --rate 120 --seconds 22 --bump 0 --seed 1 \
    --rename-gap-ms 50 --always-routes 600 \
    --away-first-ms 3000 --away-for-ms 10000 --away-how refuse
