#!/bin/sh
# Guards against gateways that hear of an engine no more because some numbers of
# its report are out of range: they refused its sidecar's reports as a whole.
set -u
BUILD=$1
NET=${NET:-246}
. tools/fleet.sh

fleet_begin "$BUILD/stage-odd-report" 3 2
fleet_check --engines 3 --empty 0 --rate 30 --seconds 14 --bump 4 --odd-report 2 --seed "${SEED:-1}"
status=$?
heard=$(grep -l 'ev=side target=i-0-1 engine=up version=2' "$STAGE"/gateway-*.log | wc -l)
echo "odd_report: $heard of 2 gateways heard of version 2 from its sidecar"
[ "$heard" -eq 2 ] || status=1
exit $status
