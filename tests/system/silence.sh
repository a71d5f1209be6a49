#!/bin/sh
# Guards against ending requests whose sound targets are silent for a second and
# go on, all of them at once, beside changes of the settings and reloads; and
# against refusing new ones as if no target lived.
set -u
BUILD=$1
NET=${NET:-253}
. tools/fleet.sh

fleet_begin "$BUILD/stage-silence" 6 3
"$BUILD/tests/fleet/fleet" --engines 6 --empty 0 --gateways "$gateways" --net "$NET" \
    --rate 60 --seconds 14 --bump 0 --seed "${SEED:-1}" --event-ms 60 \
    --silent-gap-ms 4000 --silent-for-ms 1200 --settings-gap-ms 500 \
    >"$STAGE/fleet.out" 2>"$STAGE/fleet.err" &
fleet=$!
sleep 4
for i in 1 2 3 4; do
	for name in $names; do
		case $name in gateway-*) kill -HUP "$(cat "$STAGE/$name.pid")" ;; esac
	done
	sleep 2
done
wait $fleet
status=$?
fleet_end || status=1
grep -q ' failed=0 broken=0 late=0 cut=0 ' "$STAGE/fleet.out" || status=1
if grep -h 'why=no_target' "$STAGE"/gateway-*.log | tail -n 3 | grep .; then
	echo "requests were refused or failed for want of a target"
	status=1
fi
tail -n 1 "$STAGE/fleet.out"
exit $status
