#!/bin/sh
# Guards against corrupted lists of digests, by which sidecars ended themselves
# at the first staged chunk, or stayed without the version.
set -u
BUILD=$1
NET=${NET:-251}
. tools/fleet.sh

failed=0

play() { # play FOLDER OPTIONS...
	fleet_begin "$BUILD/$1" 4 2
	shift
	fleet_check --engines 4 --empty 1 --rate 40 --seconds 14 --bump 3 --seed "${SEED:-1}" "$@" || failed=1
	for e in 0 1 2 3; do
		# The second version is complete and loaded at each engine.
		grep -q 'ev=weights step=done version=2' "$STAGE/keeper-$e.log" || {
			echo "keeper-$e is without version 2"
			failed=1
		}
	done
}

expect() { # expect NUMBER PATTERN: as many lines of sidecars have it, at least
	found=$(cat "$STAGE"/keeper-*.log | grep -c "step=manifest .*$2")
	echo "$2: $found"
	[ "$found" -ge "$1" ] || failed=1
}

# Another size of chunks.
play stage-digests-size --bad-sizes 6
expect 6 'outcome=refused why=chunk_bytes'
# One wrong digit in the first list that each sidecar reads of each version.
play stage-digests-digit --bad-digests 4
expect 1 'outcome=doubted'
expect 4 'outcome=replaced'
exit $failed
