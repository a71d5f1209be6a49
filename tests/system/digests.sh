#!/bin/sh
# Guards against lists of digests with another size of chunks, by which sidecars
# ended themselves at the first staged chunk, or stayed without the version.
set -u
BUILD=$1
NET=${NET:-251}
. tools/fleet.sh

fleet_begin "$BUILD/stage-digests" 4 2
fleet_check --engines 4 --empty 1 --rate 40 --seconds 14 --bump 3 --bad-sizes 6 --seed "${SEED:-1}"
status=$?
for e in 0 1 2 3; do
	log=$STAGE/keeper-$e.log
	# The second version is complete and loaded at each engine.
	grep -q 'ev=weights step=done version=2' "$log" || {
		echo "keeper-$e is without version 2"
		status=1
	}
done
refused=$(cat "$STAGE"/keeper-*.log | grep -c 'outcome=refused why=chunk_bytes')
echo "lists refused: $refused of 6"
[ "$refused" -eq 6 ] || status=1
exit $status
