#!/bin/sh
# Guards against gateways that notice a lost answer of the store only when the
# time of a long watch is over: the store is silent for 0.15 s, again and again,
# and what it sent meanwhile is lost. Settings must be known two seconds after the
# silence; half a second more is for a busy machine.
set -u
BUILD=$1
NET=${NET:-67}
STABLE_MS=3000
. tools/fleet.sh
fleet_begin "$BUILD/stage-settings-after-silence" 4 3
fleet_check --engines 4 --empty 0 --rate 240 --seconds 24 --bump 0 --seed 1 \
    --rename-gap-ms 150 \
    --away-first-ms 3000 --away-for-ms 150 --away-gap-ms 3600 --away-stable-ms 2500
