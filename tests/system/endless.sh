#!/bin/sh
# Guards against servers whose answers have no end: an engine, the origin of
# weights and the store in turn, twelve kinds each. They must cost no process,
# no more bytes than an answer may have, and none of the other servers' requests.
set -u
BUILD=$1
NET=${NET:-250}
. tools/fleet.sh

PIPES_KB=8192 # what the buffers of a connection may hold
MEMORY_KB=64000 # half of what a sidecar may use

peak_kb() { # peak_kb NAME
	sed -n 's/^VmHWM:[[:space:]]*\([0-9]*\) kB/\1/p' "/proc/$(cat "$STAGE/$1.pid")/status" 2>/dev/null
}

fleet_begin "$BUILD/stage-endless" 4 2
"$BUILD/tests/fleet/fleet" --net "$NET" --gateways "$gateways" --engines 4 --empty 1 --rate 60 --seconds 26 --bump 3 \
    --endless-gap-ms 640 --endless-for-ms 500 --seed "${SEED:-1}" >"$STAGE/fleet.out" 2>"$STAGE/fleet.err"
failed=$?
for name in $names; do
	kb=$(peak_kb "$name")
	[ -n "$kb" ] || {
		echo "$name ended"
		failed=1
		continue
	}
	case $BUILD in *asan*) continue ;; esac # which needs memory of its own
	[ "$kb" -le "$MEMORY_KB" ] || {
		echo "$name: $kb KB of memory"
		failed=1
	}
done
fleet_end || failed=1
# The largest answers: a chunk or a report, a list of digests, a page of the store.
awk -v pipes="$PIPES_KB" '/^endless:/ {
	split($4, engine, "="); split($5, origin, "="); split($6, store, "=")
	print
	if (engine[2] > (1024 + pipes) * 1024 || origin[2] > (1024 + pipes) * 1024 || store[2] > (8192 + pipes) * 1024)
		exit 1
}' "$STAGE/fleet.out" || failed=1
tail -n 1 "$STAGE/fleet.out"
exit $failed
