#!/bin/sh
# Guards against one request that terminates engine after engine: clients retry
# it under new ids at any gateway, and no gateway learns from terminations that
# other gateways saw, nor from its own after a restart or stall of the gateway
# or of the sidecars.
set -u
BUILD=$1
NET=251
. tools/fleet.sh

restart_all() { # restart_all PREFIX
	for name in $names; do
		case $name in $1*)
			kill -KILL "$(cat "$STAGE/$name.pid")"
			wait "$(cat "$STAGE/$name.pid")" 2>/dev/null
			fleet_start "$name"
			;;
		esac
	done
}

fleet_begin "$BUILD/stage-crash" 6 3
"$BUILD/tests/fleet/fleet" --engines 6 --empty 0 --gateways "$gateways" --rate 60 --seconds 18 \
    --bump 0 --poison 3 --poisons 2 --seed 1 --net $NET --ends-judged 0 >"$STAGE/fleet.out" 2>"$STAGE/fleet.err" &
fleet=$!
sleep 7
restart_all gateway-
sleep 4
restart_all keeper-
sleep 2
kill -STOP "$(cat "$STAGE/gateway-1.pid")"
sleep 2
kill -CONT "$(cat "$STAGE/gateway-1.pid")"
wait $fleet
status=$?
fleet_end || status=1
# A restarted gateway must be notified of blocked requests before it sends one
# of them itself.
for log in "$STAGE"/gateway-*.log; do
	awk '/ ev=start / { starts++ }
	    starts < 2 || !match($0, /content=[0-9a-f]+/) { next }
	    { content = substr($0, RSTART, RLENGTH) }
	    / ev=suspect / { known[content] = 1 }
	    / req=p/ && / ev=(retry|failed) / && !known[content] { print "sent before notification:", $0; bad = 1 }
	    END { exit bad }' "$log" || status=1
done
grep ' was sent, ' "$STAGE/fleet.err" | tail -n 4
tail -n 4 "$STAGE/fleet.out"
exit $status
