#!/bin/sh
# A randomized soak: soak.sh BUILD SEED SECONDS. Runs real gateways and sidecars
# against the stand-in, whose proxies delay, stall, block one direction of and
# reset connections, whose store refuses requests and discards its history,
# whose engines crash, break off answers and frame them in every way, whose
# origin truncates chunks and whose staged chunks get corrupted; meanwhile this
# script stops, kills, terminates and restarts processes by signals, one after
# the other and together. The stand-in checks every answer and every run. From
# seed 200 on, two requests terminate the engines that run them; from seed 400
# on, engines announce that they stop or when to retry; from seed 600 on, the
# store comes back from older copies, settings change and engines announce their
# stop in their records; from seed 800 on, two parts of prompts terminate
# engines, too, and engines terminate by no request; from seed 1000 on, sound
# engines fall silent and go on, callers reuse kept connections late and hundreds
# of them at once, the idle limit changes, settings grow by hundreds of routes,
# and gateways are paused and reloaded in series; from seed 1100 on, there are
# more processes; from seed 1200 on, all engines fail most requests, from a time
# on or for seconds at a time, and gateways are killed, stopped and paused in
# series as well; from seed 1400 on, engines fail as before 1200, lists of digests
# are corrupted, and engines, the origin and the store answer without end; from
# seed 2000 on, large settings change several times a second beside silences of the
# store that lose what it sends, or longer times in which it refuses all calls; from
# seed 2300 on, the store cuts watches again and again.
# Requests that a gateway ended without an answer are broken
# (tests/fleet/ends.c), as is a window with more retries of all gateways than
# their budget (tests/fleet/budget.c). The last line begins with `soak: kept` or `soak: BROKEN`;
# logs stay in BUILD/stage-soak-SEED.
set -u
BUILD=$1
SEED=$2
SECONDS_TO_PLAY=${3:-20}
NET=${NET:-$((SEED % 250 + 1))} # allows runs of several seeds at once
. tools/fleet.sh

# Pseudo-random numbers 0..N-1, one a call; each run of a seed draws the same
# sequence.
draws=0
draw() { # draw N: the result is in $drawn
	draws=$((draws + 1))
	drawn=$(awk -v s="$SEED" -v d="$draws" -v n="$1" \
	    'BEGIN { srand(s * 7919 + d * 104729); rand(); print int(rand() * n) }')
}

# The same for what was added from seed 1000 on; does not shift other draws.
more_draws=0
draw_more() { # draw_more N: the result is in $drawn
	more_draws=$((more_draws + 1))
	drawn=$(awk -v s="$SEED" -v d="$more_draws" -v n="$1" \
	    'BEGIN { srand(s * 6133 + d * 350377); rand(); print int(rand() * n) }')
}

# Sends of a gateway are not counted until one second after a disturbance of it.
note_disturbed() { # note_disturbed NAME SECONDS [paused]
	case $1 in
	gateway-*) echo "${1#gateway-} $(date +%s.%N) $2 ${3:-ended}" >>"$STAGE/disturbed" ;;
	esac
}

# The same for the whole time since BEGUN, in which a process ended and started
# again: on a busy machine that takes longer than a second.
note_restarted() { # note_restarted NAME BEGUN
	case $1 in
	gateway-*) echo "${1#gateway-} $2 $(date +%s.%N | awk -v begun="$2" '{ print $1 - begun }') ended" >>"$STAGE/disturbed" ;;
	esac
}

# For awk: reads the table of disturbances, and tells whether the gateway was
# disturbed between two times.
DISTURBED='NR == FNR { n++; gateway[n] = $1 - 1; from[n] = $2; to[n] = $2 + $3 + 1; next }
    function disturbed(g, since, at,   i) {
	for (i = 1; i <= n; i++)
		if (gateway[i] == g && from[i] <= at && to[i] >= since) return 1
	return 0
    }'

# The fleet prints each send of a poison request that comes after its third
# termination. Prints these from the fourth on, as the fleet allows three; sends
# by gateways that were disturbed at the time are not counted.
print_excess_sends() {
	awk "$DISTURBED"'
	    / was sent, / {
		split($3, part, "-"); sub(/^g/, "", part[3])
		if (!disturbed(part[3], $2, $2) && ++sends[part[1]] > 3) print
	    }' "$STAGE/disturbed" "$STAGE/fleet.err"
}

# Prints the requests that gateways sent despite an engine's announcement, or by
# older settings than the store had acknowledged; not those of a gateway that
# was disturbed since it was told, as it may have forgotten the announcement or
# held the request back.
print_unheeded() {
	awk "$DISTURBED"'
	    /^unheeded / && !disturbed($5, $7 + 0, $3)' "$STAGE/disturbed" "$STAGE/fleet.err"
}

# Prints the requests that gateways gave up although their runs were sound; not
# those of a gateway that was disturbed in their time.
print_given_up() {
	awk "$DISTURBED"'
	    /^given_up / && !disturbed($5, $7 + 0, $3)' "$STAGE/disturbed" "$STAGE/fleet.err"
}

# Prints the requests whose kept connection ended without a byte; not those of a
# gateway that was stopped or killed at that time. A pause or a reload is no
# excuse.
print_unread() {
	grep -v ' paused$' "$STAGE/disturbed" >"$STAGE/ended"
	awk "$DISTURBED"'
	    /^unread / && !disturbed($5, $7 + 0, $3)' "$STAGE/ended" "$STAGE/fleet.err"
}

restart() { # restart NAME SIGNAL
	begun=$(date +%s.%N)
	note_disturbed "$1" "$([ "$2" = TERM ] && echo 5 || echo 0)"
	pid=$(cat "$STAGE/$1.pid")
	kill -CONT "$pid" 2>/dev/null
	kill "-$2" "$pid" 2>/dev/null
	if [ "$2" = TERM ]; then
		(sleep 5 && kill -KILL "$pid" 2>/dev/null) &
	fi
	wait "$pid" 2>/dev/null
	code=$?
	# Terminated by the signal above, or exited with 0 after SIGTERM; any
	# other status is a crash.
	case $code in
	0 | 137 | 143) ;;
	*) echo "soak: $1 ended with $code" | tee -a "$STAGE/crashes" ;;
	esac
	fleet_start "$1"
	note_restarted "$1" "$begun"
}

# A process that has exited without a signal from this script has crashed.
check_alive() { # check_alive NAME
	kill -0 "$(cat "$STAGE/$1.pid")" 2>/dev/null && return 0
	wait "$(cat "$STAGE/$1.pid")" 2>/dev/null
	echo "soak: $1 was gone, code $?" | tee -a "$STAGE/crashes"
	fleet_start "$1"
	return 1
}

pause() { # pause NAME TENTHS
	pid=$(cat "$STAGE/$1.pid")
	note_disturbed "$1" "$(awk -v t="$2" 'BEGIN { print t / 10 }')" paused
	kill -STOP "$pid"
	(sleep "$(awk -v t="$2" 'BEGIN { print t / 10 }')" && kill -CONT "$pid" 2>/dev/null) &
}

# Whether the process ignores or handles SIGHUP. When it is paused before it has
# set that up, the signal's default action would terminate it.
takes_hup() { # takes_hup NAME
	awk '/^Sig(Ign|Cgt):/ && $2 ~ /[13579bdf]$/ { yes = 1 } END { exit !yes }' \
	    "/proc/$(cat "$STAGE/$1.pid")/status"
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
	3) takes_hup "$target" && kill -HUP "$(cat "$STAGE/$target.pid")" ;;
	4) echo "# changed" >>"$STAGE/$target.yaml" ;;
	5) restart "$target" KILL && draw 25 && pause "$target" "$drawn" ;;
	esac
}

# A reload of all gateways, or a pause of one.
disturb_gateways() {
	draw_more 3
	case $drawn in
	0)
		for name in $names; do
			case $name in gateway-*) takes_hup "$name" && kill -HUP "$(cat "$STAGE/$name.pid")" ;; esac
		done
		;;
	1)
		draw_more "$n_gateways"
		target=gateway-$((drawn + 1))
		draw_more 12
		kill -0 "$(cat "$STAGE/$target.pid")" 2>/dev/null && pause "$target" $((drawn + 4))
		;;
	esac
}

# Restarts all of the gateways at once. One that does not stop is killed.
restart_together() { # restart_together SIGNAL NAME...
	signal=$1
	shift
	begun=$(date +%s.%N)
	for name; do
		pid=$(cat "$STAGE/$name.pid")
		note_disturbed "$name" "$([ "$signal" = TERM ] && echo 5 || echo 0)"
		kill -CONT "$pid" 2>/dev/null
		kill "-$signal" "$pid" 2>/dev/null
		[ "$signal" = TERM ] && (sleep 5 && kill -KILL "$pid" 2>/dev/null) &
	done
	for name; do
		wait "$(cat "$STAGE/$name.pid")" 2>/dev/null
		code=$?
		case $code in
		0 | 137 | 143) ;;
		*) echo "soak: $name ended with $code" | tee -a "$STAGE/crashes" ;;
		esac
		fleet_start "$name"
		note_restarted "$name" "$begun"
	done
}

# In one of two turns: kills, stops or pauses some or all gateways.
disturb_many() {
	draw_more 2
	[ "$drawn" -eq 0 ] || return 0
	draw_more 4
	how=$drawn
	draw_more 3
	part=$drawn # 0: all
	chosen=
	for name in $names; do
		case $name in gateway-*) ;; *) continue ;; esac
		draw_more 2
		[ "$part" -gt 0 ] && [ "$drawn" -eq 0 ] && continue
		check_alive "$name" && chosen="$chosen $name"
	done
	# shellcheck disable=SC2086
	case $how in
	0 | 3) restart_together KILL $chosen ;;
	1) restart_together TERM $chosen ;;
	2)
		for name in $chosen; do
			draw_more 40
			pause "$name" $((drawn + 4))
		done
		;;
	esac
}

n_engines=6
n_gateways=3
rate=60
more=
if [ "$SEED" -ge 1000 ]; then
	more="--plain 4 --silences 1 --event-ms 40 --late 3 --crowd 80
	    --settings-gap-ms 1900 --idle-ms 5000 --other-idle-ms 2000 --many-routes 500"
fi
if [ "$SEED" -ge 1100 ]; then
	n_engines=20
	n_gateways=6
	rate=120
fi
parts=$((SEED >= 800 ? 2 : 0))
if [ "$SEED" -ge 1400 ]; then
	draw_more 4
	more="$more --bad-sizes $((drawn * 3)) --endless-gap-ms 1100 --endless-for-ms 500"
	draw_more 4
	more="$more --bad-digests $drawn"
elif [ "$SEED" -ge 1200 ]; then
	draw_more 2
	# From when a whole window has passed, or for seconds at a time.
	more="$more --fail-permille 900 --fail-from 11 --failures $drawn"
	# Their check asks for streams that begin, which most do not here.
	parts=0
	rate=40 # so little that the slack is most of the retry budget
fi
if [ "$SEED" -ge 2000 ]; then
	draw_more 400
	more="$more --rename-gap-ms $((100 + drawn)) --always-routes $drawn"
	draw_more 4
	if [ "$drawn" -eq 0 ]; then
		draw_more 8000
		more="$more --away-how refuse --away-for-ms $((2000 + drawn)) --away-gap-ms 6000"
	else
		draw_more 350
		more="$more --away-for-ms $((100 + drawn)) --away-gap-ms $((3500 + drawn * 3))"
	fi
fi
if [ "$SEED" -ge 2300 ]; then
	draw_more 1500
	more="$more --cut-gap-ms $((50 + drawn))"
fi
fleet_begin "$BUILD/stage-soak-$SEED" $n_engines $n_gateways
# Of no gateway: awk tells the files below apart by a line in the first one.
echo "0 0 0 ended" >"$STAGE/disturbed"
# shellcheck disable=SC2086
"$BUILD/tests/fleet/fleet" --engines $n_engines --empty 1 --gateways "$gateways" \
    --rate $rate $more --seconds "$SECONDS_TO_PLAY" --bump 4 --seed "$SEED" --net "$NET" --faults 1 \
    --poison $((SEED >= 200 ? 4 : 0)) --poisons 2 --poison-judged 0 \
    --poison-parts $parts --end-gap-ms $((SEED >= 800 ? 2500 : 0)) \
    --broken 12 --ends-judged 0 \
    --notices $((SEED >= 400)) --notices-judged 0 --drills $((SEED >= 600)) \
    >"$STAGE/fleet.out" 2>"$STAGE/fleet.err" &
fleet=$!
sleep 3
while [ "$(ps -o etimes= -p $fleet | tr -d ' ')" -lt "$((SECONDS_TO_PLAY - 1))" ] 2>/dev/null; do
	disturb
	[ "$SEED" -ge 1000 ] && disturb_gateways
	[ "$SEED" -ge 1200 ] && disturb_many
	sleep 0.6
done
wait $fleet
status=$?
fleet_end || status=1
verdict=kept
[ -s "$STAGE/crashes" ] && status=1 verdict=BROKEN
print_excess_sends >"$STAGE/spread"
print_unheeded >"$STAGE/unheeded"
print_given_up >"$STAGE/given_up"
print_unread >"$STAGE/unread"
for broken in spread unheeded given_up unread; do
	[ -s "$STAGE/$broken" ] || continue
	cat "$STAGE/$broken"
	status=1
	verdict=BROKEN
done
grep -E '^(crashing|sound|beyond)' "$STAGE/fleet.out"
sed -n "s/^fleet: kept/soak: $verdict/p; s/^fleet: BROKEN/soak: BROKEN/p" "$STAGE/fleet.out"
exit $status
