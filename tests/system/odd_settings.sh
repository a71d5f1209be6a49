#!/bin/sh
# Guards against settings that no process can apply and that replace those in
# force: callers were refused, or sidecars refused the gateways' messages.
set -u
BUILD=$1
NET=${NET:-245}
. tools/fleet.sh

fleet_begin "$BUILD/stage-odd-settings" 3 2
fleet_check --engines 3 --empty 0 --rate 30 --seconds 14 --bump 7 --odd-settings 2 --seed "${SEED:-1}"
status=$?
refused=$(grep -h 'ev=store_entry kind=config name=main ' "$STAGE"/gateway-*.log | wc -l)
applied=$(grep -h 'ev=config version=1[0-9][0-9][0-9] .*outcome=in_force' "$STAGE"/gateway-*.log | wc -l)
loaded=$(grep -l 'ev=weights step=done version=2' "$STAGE"/keeper-*.log | wc -l)
echo "odd_settings: $refused of 12 refused, $applied in force, version 2 loaded at $loaded of 3 engines"
[ "$refused" -eq 12 ] && [ "$applied" -eq 0 ] && [ "$loaded" -eq 3 ] || status=1
grep -q ' failed=0 ' "$STAGE/fleet.out" || status=1
exit $status
