#!/bin/sh
# Guards against requests to an overloaded target that refused with 503 and
# Retry-After, before that time is over: each costs the target and a caller
# time. Here an engine and a plain target refuse all requests for some seconds.
set -u
BUILD=$1
NET=${NET:-62}
. tools/fleet.sh
fleet_begin "$BUILD/stage-retry-after" 4 3
fleet_check --engines 4 --empty 0 --rate 120 --seconds 10 --bump 0 --shed 3 --seed 1
