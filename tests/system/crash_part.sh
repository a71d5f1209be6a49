#!/bin/sh
# Guards against one part of prompts that terminates engine after engine: the
# requests with it differ, so that none of them is sent often.
set -u
BUILD=$1
NET=${NET:-253}
. tools/fleet.sh

fleet_begin "$BUILD/stage-crash-part" 6 3
fleet_check --engines 6 --empty 0 --rate 60 --seconds 18 --bump 0 --poison 4 --poisons 0 \
    --poison-parts 2 --seed "${SEED:-1}"
status=$?
grep -E '^(crashing|sound)' "$STAGE/fleet.out"
# What blocked a request is named in its line, and explained by its id.
held=$(grep -h ' ev=refused .* why=held .* by=part:[0-9a-f]*:badc0de' "$STAGE"/gateway-*.log |
    sed -n 's/.* req=\([^ ]*\) .*/\1/p' | tail -n 1)
"$BUILD/programs/entry/currantchute" explain "$held" "$STAGE"/gateway-*.log "$STAGE"/keeper-*.log |
    grep -q ' ev=suspect part=.* outcome=held' || {
	echo "the request '$held' is not explained"
	status=1
}
exit $status
