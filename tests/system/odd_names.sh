#!/bin/sh
# Guards against one entry in the list of engines that ends the service once all
# processes start again: with an odd name, or none, on a page of its own, it must not
# keep gateways from being ready, nor add lines to their logs.
set -u
BUILD=$1
NET=${NET:-242}
. tools/fleet.sh

failed=0

restart_all() {
	for name in $names; do kill -KILL "$(cat "$STAGE/$name.pid")"; done
	for name in $names; do
		wait "$(cat "$STAGE/$name.pid")" 2>/dev/null
		fleet_start "$name"
	done
}

play() { # play FOLDER OPTIONS...: most requests must be answered after the restart
	fleet_begin "$BUILD/$1" 5 2
	shift
	"$BUILD/tests/fleet/fleet" --net "$NET" --gateways "$gateways" --engines 5 --empty 0 --rate 30 --bump 0 \
	    --seconds 10 --ends-judged 0 --page 1 --seed "${SEED:-1}" "$@" >"$STAGE/fleet.out" 2>"$STAGE/fleet.err" &
	fleet=$!
	sleep 3
	restart_all
	wait $fleet || failed=1
	fleet_end || failed=1
	tail -n 1 "$STAGE/fleet.out"
	for log in "$STAGE"/gateway-*.log; do
		[ "$(grep -c 'ev=ready ready=1' "$log")" = 2 ] && continue
		echo "$(basename "$log" .log) is not ready after the restart"
		failed=1
	done
	if grep -h '^t=1 node=x' "$STAGE"/*.log; then
		echo "a name was read as a line of the log"
		failed=1
	fi
}

play stage-odd-names --odd-names 1
play stage-odd-unnamed --odd-names 2
exit $failed
