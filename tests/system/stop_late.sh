#!/bin/sh
# Guards against requests that come late in the grace of a planned stop, over
# connections from before it, and are cut at its end with a part of their answer or
# none: they must be refused, and not run. Those that come early are answered.
set -u
BUILD=$1
NET=${NET:-243}
. tools/fleet.sh

EARLY_S=0.5
EVENT_MS=180 # an answer of 12 events takes 2.2 s
KEPT=3 # connections of each kind
failed=0

# Opens a connection, sends the first part of a request, and the rest once the file
# GO exists.
ask_in_parts() { # ask_in_parts NAME GO FIRST REST
	timeout 20 bash -c "exec 3<>/dev/tcp/127.0.$NET.2/8005
	    printf '$3' >&3
	    touch $STAGE/open-$1
	    while [ ! -e $STAGE/$2 ]; do sleep 0.02; done
	    printf '$4' >&3
	    cat <&3 >$STAGE/answer-$1" 2>/dev/null
}

await_open() { # await_open COUNT
	tries=0
	until [ "$(find "$STAGE" -name 'open-*' | wc -l)" -ge "$1" ] || [ $tries -ge 500 ]; do
		sleep 0.02
		tries=$((tries + 1))
	done
}

# The gateway takes no new connections late in the grace.
await_end_of_listening() {
	tries=0
	while bash -c "exec 3<>/dev/tcp/127.0.$NET.2/8005" 2>/dev/null && [ $tries -lt 500 ]; do
		sleep 0.02
		tries=$((tries + 1))
	done
}

expect() { # expect COUNT TEXT FILE...: each of so many answers has the text
	count=$1
	text=$2
	shift 2
	found=$(grep -l "$text" "$@" 2>/dev/null | wc -l)
	[ "$found" -eq "$count" ] && return
	echo "FAILED: '$text' in $found of $count answers"
	failed=1
}

fleet_begin "$BUILD/stage-stop-late" 5 1
"$BUILD/tests/fleet/fleet" --net "$NET" --gateways "$gateways" --engines 5 --empty 0 --rate 4 --bump 0 --seconds 12 \
    --event-ms $EVENT_MS --ends-judged 0 --seed "${SEED:-1}" >"$STAGE/fleet.out" 2>"$STAGE/fleet.err" &
fleet=$!
tries=0
until grep -q 'ev=ready ready=1' "$STAGE/gateway-1.log" 2>/dev/null || [ $tries -ge 200 ]; do
	sleep 0.05
	tries=$((tries + 1))
done
sleep 1
head='Host: a.example\r\nX-Deadline-Ms: 4000\r\nAuthorization: Bearer key-of-team\r\nX-Model: m0\r\nX-Token-Counts: 290,24\r\nContent-Length: 4\r\n'
asking=
for n in $(seq $KEPT); do
	for when in early late; do
		first="POST /tell/$n HTTP/1.1\r\nX-Attempt-Id: o-$when-head-$n\r\n"
		ask_in_parts "$when-head-$n" $when "$first" "$head\r\nbody" &
		asking="$asking $!"
		first="POST /tell/$n HTTP/1.1\r\nX-Attempt-Id: o-$when-body-$n\r\n$head\r\n"
		ask_in_parts "$when-body-$n" $when "${first}bo" "dy" &
		asking="$asking $!"
	done
done
await_open $((4 * KEPT))
kill -TERM "$(cat "$STAGE/gateway-1.pid")"
sleep $EARLY_S
touch "$STAGE/early"
await_end_of_listening
touch "$STAGE/late"
# shellcheck disable=SC2086
wait $asking
wait $fleet
fleet_end || failed=1
expect $((2 * KEPT)) '^HTTP/1.1 200 ' "$STAGE"/answer-early-*
expect $((2 * KEPT)) 'id: 12' "$STAGE"/answer-early-*
expect $((2 * KEPT)) '^HTTP/1.1 503 ' "$STAGE"/answer-late-*
expect $((2 * KEPT)) '^Retry-After: ' "$STAGE"/answer-late-*
expect $((2 * KEPT)) '^Connection: close' "$STAGE"/answer-late-*
grep -c 'why=stopping' "$STAGE/gateway-1.log" | sed 's/^/lines of requests that the stop ended: /'
tail -n 1 "$STAGE/fleet.out"
grep -q ' mixed=0 lied=0 ' "$STAGE/fleet.out" || failed=1
exit $failed
