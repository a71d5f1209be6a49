#!/bin/sh
# Guards against cut watches that gateways take for an outage of the store: the
# time of a named version then begins anew, and requests begin on withdrawn
# weights. The origin is away until after the due time. In the other direction, the
# store really is away at the due time, and callers go on being served. In the last
# play every watch is cut soon, and settings must be known in time all the same.
set -u
BUILD=$1
FIRST_NET=${NET:-230}
SEEDS=${SEEDS:-1 2 3}
TRAFFIC_S=14
failed=0

play() { # play NAME NET OPTIONS...
	STAGE=$BUILD/stage-watch-cuts-$1
	NET=$2
	shift 2
	. tools/fleet.sh
	fleet_begin "$STAGE" 3 2
	date +%s.%N >"$STAGE/begun"
	fleet_check --engines 3 --empty 0 --rate 40 --seconds $TRAFFIC_S --bump 1 \
	    --origin-first-ms 500 --origin-for-ms 11500 "$@"
}

play_cuts() { # play_cuts SEED
	play "$1" $((FIRST_NET + $1 % 8)) --seed "$1" \
	    --cut-first-ms $((1500 + $1 * 370)) --cut-gap-ms $((100 + $1 * 130))
}

# The fleet counts as stale what begins after the due time, which an outage puts
# off: its verdict does not hold here.
play_outage() { # play_outage HOW NET
	play "$1" "$2" --seed 1 --away-first-ms 4000 --away-for-ms 7000 --away-how "$1" >/dev/null || true
}

# Lines of the gateways from one time of a play to another, in seconds.
lines() { # lines NAME FROM TO PATTERN
	grep -hE "$4" "$BUILD/stage-watch-cuts-$1"/gateway-*.log |
	    awk -v begun="$(cat "$BUILD/stage-watch-cuts-$1/begun")" -v from="$2" -v to="$3" \
		'{ t = substr($1, 3) - begun } t >= from && t < to'
}

pids=
for seed in $SEEDS; do
	play_cuts "$seed" &
	pids="$pids $!"
done
for pid in $pids; do
	wait "$pid" || failed=1
done
for seed in $SEEDS; do
	if lines "$seed" 0 $TRAFFIC_S 'ev=(store_down|deadline)' | tail -n 3 | grep .; then
		echo "seed $seed: cut watches counted as an outage"
		failed=1
	fi
	if [ -z "$(lines "$seed" 0 $TRAFFIC_S 'ev=store_(watch|lost) ')" ]; then
		echo "seed $seed: no watch was cut"
		failed=1
	fi
done

play_outage lose $((FIRST_NET + 8)) &
pids=$!
play_outage refuse $((FIRST_NET + 9)) &
pids="$pids $!"
play renames $((FIRST_NET + 10)) --seed 1 --rename-gap-ms 300 \
    --cut-first-ms 500 --cut-gap-ms 60 || failed=1
for pid in $pids; do
	wait "$pid"
done
for how in lose refuse; do
	put_off=$(lines $how 0 $TRAFFIC_S 'ev=deadline state=put_off' | wc -l)
	if [ "$put_off" -ne 2 ]; then
		echo "$how: $put_off of 2 gateways put the deadline off"
		failed=1
	fi
	if lines $how 5 10.5 'ev=(refused|failed) ' | tail -n 3 | grep .; then
		echo "$how: callers were refused during the outage"
		failed=1
	fi
done
exit $failed
