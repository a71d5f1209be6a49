#!/bin/sh
# Guards against requests that are lost, and an engine that stays unused, when
# another writer overwrites the entry of an engine that serves.
set -u
BUILD=$1
NET=${NET:-244}
. tools/fleet.sh

fleet_begin "$BUILD/stage-odd-own" 3 2
fleet_check --engines 3 --empty 0 --rate 30 --seconds 14 --bump 9 --odd-own 3 --seed "${SEED:-1}"
status=$?
grep -q ' failed=0 broken=0 ' "$STAGE/fleet.out" || status=1
for g in 1 2; do
	log=$STAGE/gateway-$g.log
	removed=$(grep -c 'ev=target_gone target=i-0-1 ' "$log")
	# From the line on that shows the engine's own entry again.
	served=$(awk '/ev=target_gone target=i-0-1 /  { removed = 1; back = 0 }
	    / ev=target target=i-0-1 / && removed { back = 1 }
	    back && / ev=done .* target=i-0-1 / { n++ } END { print n + 0 }' "$log")
	echo "odd_own: gateway $g removed the engine $removed times, sent it $served requests afterwards"
	[ "$removed" -gt 0 ] && [ "$served" -gt 0 ] || status=1
done
loaded=$(grep -l 'ev=weights step=done version=2' "$STAGE"/keeper-*.log | wc -l)
echo "odd_own: version 2 loaded at $loaded of 3 engines"
[ "$loaded" -eq 3 ] || status=1
exit $status
