#!/bin/sh
# Guards against ending requests whose sound targets are silent for a second and
# go on, all of them at once, beside changes of the settings and reloads; and
# against refusing new ones as if no target lived. In the second run engines
# leave the reports of their sidecars unanswered, too.
set -u
BUILD=$1
NET=${NET:-253}
. tools/fleet.sh

reload_gateways() {
	for name in $names; do
		case $name in gateway-*) kill -HUP "$(cat "$STAGE/$name.pid")" ;; esac
	done
}

play() { # play FOLDER OPTIONS...
	folder=$1
	shift
	fleet_begin "$folder" 6 3
	"$BUILD/tests/fleet/fleet" --engines 6 --empty 0 --gateways "$gateways" --net "$NET" \
	    --rate 60 --seconds 12 --bump 0 --seed "${SEED:-1}" --event-ms 60 \
	    --silent-gap-ms 4000 --silent-for-ms 1200 --settings-gap-ms 500 "$@" \
	    >"$STAGE/fleet.out" 2>"$STAGE/fleet.err" &
	fleet=$!
	started=$(date +%s.%N)
	for pause in 4 2 2 2; do
		sleep $pause
		reload_gateways
	done
	wait $fleet || failed=1
	fleet_end || failed=1
	grep -q ' failed=0 broken=0 late=0 cut=0 ' "$STAGE/fleet.out" || failed=1
	# The first silence comes 2 s after the begin of traffic, when gateways have
	# heard of all targets; the engines answer for 18 s.
	if grep -hE 'why=no_target|ev=suspect|ev=engine state=down' "$STAGE"/*.log |
	    awk -v start="$started" '{ t = substr($1, 3) - start } t > 2 && t < 17' | tail -n 3 | grep .; then
		echo "silent targets were taken for dead ones"
		failed=1
	fi
	tail -n 1 "$STAGE/fleet.out"
}

failed=0
play "$BUILD/stage-silence"
play "$BUILD/stage-silence-whole" --silent-whole 1
exit $failed
