#!/bin/sh
# Guards against blocking a part of prompts for the terminations of engines that
# no request caused: parts are shared by many, and all of them would be refused.
set -u
BUILD=$1
NET=${NET:-254}
. tools/fleet.sh

fleet_begin "$BUILD/stage-engine-ends" 6 3
fleet_check --engines 6 --empty 0 --rate 60 --seconds 12 --bump 0 --end-gap-ms 1000 --seed "${SEED:-1}"
status=$?
if grep -h 'ev=suspect part=.*outcome=held' "$STAGE"/*.log; then
	echo "a part of prompts was blocked"
	status=1
fi
exit $status
