#!/bin/sh
# Guards against gateways that ignore the rate limit which an overloaded engine
# announces in its answers, for all gateways together: it got 28 requests in 4 s
# where 11 were allowed, fell behind, and its callers waited. No gateway read
# the field: each one's count of requests to limited targets grew as before, all
# of them first attempts. Here an engine with a sidecar and a plain target
# announce limits while three gateways, the first with half of the traffic,
# serve callers.
set -u
BUILD=$1
. tools/fleet.sh
fleet_begin "$BUILD/stage-limit" 4 3
fleet_check --engines 4 --empty 0 --rate 120 --uneven 1 --seconds 14 --bump 0 --limit 2 --seed 1
