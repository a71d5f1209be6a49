#!/bin/sh
# Guards against gateways that go on with what they knew when the store comes
# back from an older copy: they took its lower revisions for stale answers and
# missed all changes until it had counted up again. Here settings and records
# change before a drill, whose copy lacks that, and again after it.
set -u
BUILD=$1
NET=${NET:-63}
. tools/fleet.sh
fleet_begin "$BUILD/stage-store-drill" 4 3
fleet_check --engines 4 --empty 0 --rate 120 --seconds 14 --bump 0 --drill 3 --seed 1
