#!/bin/sh
# Guards against requests to a target that announced its stop in an answer
# while the store still lists it as ready: the target ends under them. Here an
# engine and a plain target announce it in answers only.
set -u
BUILD=$1
NET=${NET:-61}
. tools/fleet.sh
fleet_begin "$BUILD/stage-leaving" 4 3
fleet_check --engines 4 --empty 0 --rate 120 --seconds 10 --bump 0 --leave 3 --seed 1
