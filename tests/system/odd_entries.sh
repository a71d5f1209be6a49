#!/bin/sh
# Guards against one entry of another writer in the list of engines that claims
# a version nobody announced: sidecars would pursue it and ignore the versions
# that operators announce.
set -u
BUILD=$1
NET=${NET:-247}
. tools/fleet.sh

fleet_begin "$BUILD/stage-odd-entries" 3 2
fleet_check --engines 3 --empty 0 --rate 30 --seconds 16 --bump 4 --odd-claim 2 --seed "${SEED:-1}"
status=$?
loaded=$(grep -l 'ev=weights step=done version=2' "$STAGE"/keeper-*.log | wc -l)
echo "odd_entries: version 2 loaded at $loaded of 3 engines"
[ "$loaded" -eq 3 ] || status=1
exit $status
