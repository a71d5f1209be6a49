#!/bin/sh
# A randomized soak: soak.sh BUILD SEED SECONDS. Real gateways and keepers
# against the stand-in, whose proxies delay, silence, cut one way and reset
# connections, whose store refuses and forgets, whose engines crash and whose
# staged pieces rot; meanwhile processes here are stopped, killed, asked to
# stop and restarted by signals, one after the other and together. The
# stand-in checks every answer and every run. The last line begins with
# `soak: kept` or `soak: BROKEN`; logs stay in BUILD/stage-soak-SEED.
set -u
BUILD=$1
SEED=$2
SECONDS_TO_PLAY=${3:-20}
NET=$((SEED % 250 + 1)) # several seeds can be played at once
. tools/fleet.sh

# Numbers 0..N-1 from the seed, one a call: every run of a seed draws the same.
draws=0
draw() { # draw N: the result is in $drawn
	draws=$((draws + 1))
	drawn=$(awk -v s="$SEED" -v d="$draws" -v n="$1" \
	    'BEGIN { srand(s * 7919 + d * 104729); rand(); print int(rand() * n) }')
}

restart() { # restart NAME SIGNAL
	pid=$(cat "$STAGE/$1.pid")
	kill -CONT "$pid" 2>/dev/null
	kill "-$2" "$pid" 2>/dev/null
	if [ "$2" = TERM ]; then
		(sleep 5 && kill -KILL "$pid" 2>/dev/null) &
	fi
	wait "$pid" 2>/dev/null
	code=$?
	# Ended by our signal, or in order after SIGTERM; anything else is a crash.
	case $code in
	0 | 137 | 143) ;;
	*) echo "soak: $1 ended with $code" | tee -a "$STAGE/crashes" ;;
	esac
	fleet_start "$1"
}

# A process that is gone though nothing here ended it has crashed.
check_alive() { # check_alive NAME
	kill -0 "$(cat "$STAGE/$1.pid")" 2>/dev/null && return 0
	wait "$(cat "$STAGE/$1.pid")" 2>/dev/null
	echo "soak: $1 was gone, code $?" | tee -a "$STAGE/crashes"
	fleet_start "$1"
	return 1
}

pause() { # pause NAME TENTHS
	pid=$(cat "$STAGE/$1.pid")
	kill -STOP "$pid"
	(sleep "$(awk -v t="$2" 'BEGIN { print t / 10 }')" && kill -CONT "$pid" 2>/dev/null) &
}

disturb() {
	set -- $names
	draw $#
	shift "$drawn"
	target=$1
	check_alive "$target" || return 0
	draw 6
	case $drawn in
	0) draw 25 && pause "$target" "$drawn" ;;
	1) restart "$target" KILL ;;
	2) restart "$target" TERM ;;
	3) kill -HUP "$(cat "$STAGE/$target.pid")" ;;
	4) echo "# changed" >>"$STAGE/$target.yaml" ;;
	5) restart "$target" KILL && draw 25 && pause "$target" "$drawn" ;;
	esac
}

fleet_begin "$BUILD/stage-soak-$SEED" 6 3
"$BUILD/tests/fleet/fleet" --engines 6 --empty 1 --gateways "$gateways" \
    --rate 60 --seconds "$SECONDS_TO_PLAY" --bump 4 --seed "$SEED" --net "$NET" --faults 1 \
    >"$STAGE/fleet.out" 2>"$STAGE/fleet.err" &
fleet=$!
sleep 3
while [ "$(ps -o etimes= -p $fleet | tr -d ' ')" -lt "$((SECONDS_TO_PLAY - 1))" ] 2>/dev/null; do
	disturb
	sleep 0.6
done
wait $fleet
status=$?
fleet_end || status=1
[ -s "$STAGE/crashes" ] && status=1
sed -n 's/^fleet: /soak: /p' "$STAGE/fleet.out"
exit $status
