# Sourced by the run.sh of the cases 6 to 10: starts gateways and keepers with
# the commands of the deploy file, on loopback addresses of their own, and ends
# them. The settings are those that deploy/settings.yaml gives for a machine of
# the site sohar-weigh.
CASE=$(cd "$(dirname "$0")" && pwd)
ROOT=$(cd "$CASE/../.." && pwd)
NET=127.$((64 + $$ % 128)).$(($$ / 128 % 250))
STAGE=$(mktemp -d)
TROUBLE=${TROUBLE:-1}
pids=

stand_settings() { # stand_settings FILE NODE ZONE IP LINES...
	{
		echo "node: {id: $2, domain: $3, region: $3, key: 63757272616e7463687574652d706c6174666f726d2d7065657273}"
		echo "store: {address: \"$NET.9:8007\"}"
		echo "domains: {z0: z0}"
		echo "limits: {descriptors: 4200, memory_mb: 260, link_mbit: 1000.0, cpu_share: 0.19}"
		echo "bounds: {config_ms: 2000, drain_ms: 2000, grace_s: 8, stable_ms: 3000, version_ms: 8000, retry_ratio: 0.2, retry_slack: 102, retry_window_s: 10}"
	} >"$1"
	shift 4
	printf '%s\n' "$@" >>"$STAGE/$name.yaml"
}

write_gateway_settings() { # write_gateway_settings NUMBER: at NET.(NUMBER + 1)
	name=gateway-$1
	ip=$NET.$(($1 + 1))
	stand_settings "$STAGE/$name.yaml" "$name" z0 "$ip" \
	    "listen: {callers: \"$ip:8005\", ready: \"$ip:8006\", metrics: \"$ip:9464\", peers: \"$ip:7700\"}"
}

start_gateway() { # start_gateway NUMBER: sets `started`
	write_gateway_settings "$1"
	"$ROOT/target/currantchute" gateway --settings "$STAGE/$name.yaml" >"$STAGE/$name.log" 2>&1 &
	started=$!
	pids="$pids $started"
}

write_keeper_settings() { # write_keeper_settings NUMBER: beside the engine at NET.(NUMBER + 10)
	name=keeper-$1
	ip=$NET.$(($1 + 10))
	stand_settings "$STAGE/$name.yaml" "$name" z0 "$ip" \
	    "listen: {metrics: \"$ip:9464\", peers: \"$ip:7700\"}" \
	    "engine: {address: \"$ip:8001\"}"
}

start_keeper() { # start_keeper NUMBER: sets `started`
	write_keeper_settings "$1"
	"$ROOT/target/currantchute-side" keeper --settings "$STAGE/$name.yaml" >"$STAGE/$name.log" 2>&1 &
	started=$!
	pids="$pids $started"
}

end_all() {
	for pid in $pids; do
		kill -CONT "$pid" 2>/dev/null || true
		kill -KILL "$pid" 2>/dev/null || true
	done
	for pid in $pids; do wait "$pid" 2>/dev/null || true; done
	[ -n "${KEEP_LOGS:-}" ] && cp "$STAGE"/*.log "$KEEP_LOGS"/
	rm -rf "$STAGE"
}
trap end_all EXIT
