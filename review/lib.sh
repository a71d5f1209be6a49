# Sourced by the scripts run.sh, which set `trouble`: begin NET MODE SECONDS; start NAME. Two gateways and
# two keepers with the commands of the deploy file, on addresses 127.0.NET.x, with
# the bounds of the sheet of Cedar Hollow. Only processes that were started here
# are signalled, by their ids.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
work=$(mktemp -d) || exit 2
names="gateway-0 gateway-1 keeper-0 keeper-1"

settings() { # settings NAME LINES...
	name=$1
	shift
	{
		echo "node: {id: $name, domain: z0, region: r0, key: 63757272616e7463687574652d706c6174666f726d2d7065657273}"
		echo "store: {address: 127.0.$NET.9:8007}"
		echo "domains: {z0: r0}"
		echo "bounds: {drain_ms: 2000, grace_s: 8, stable_ms: 3000, version_ms: 8000, retry_ratio: 0.2, retry_slack: 104, retry_window_s: 10}"
		printf '%s\n' "$@"
	} >"$work/$name.yaml"
}

write_settings() {
	for i in 0 1; do
		ip=127.0.$NET.$((i + 2))
		settings gateway-$i "limits: {descriptors: 4100, memory_mb: 260, link_mbit: 1000}" \
		    "listen: {callers: $ip:8005, ready: $ip:8006, metrics: $ip:9464, peers: $ip:7700}"
		ip=127.0.$NET.$((i + 10))
		settings keeper-$i "limits: {descriptors: 2048, memory_mb: 128, link_mbit: 40}" \
		    "listen: {metrics: $ip:9464, peers: $ip:7700}" "engine: {address: $ip:8001}"
	done
}

# begin NET MODE SECONDS: starts the stand-in; takes the next NET where an address
# is in use.
begin() {
	trap end_all EXIT
	trap 'exit 2' INT TERM
	for NET in $(seq "$1" $(($1 + 20))); do
		target/review/stand "$2" "$trouble" "$NET" "$3" "$work" >"$here/record.txt" 2>"$work/stand.err" &
		stand=$!
		for _ in 1 2 3 4 5 6 7 8 9 10 11 12 13 14 15 16 17 18 19 20; do
			grep -q ready "$here/record.txt" && write_settings && return 0
			kill -0 "$stand" 2>/dev/null || break
			sleep 0.1
		done
	done
	cat "$work/stand.err"
	exit 2
}

start() { # start NAME
	case $1 in
	gateway-*) target/currantchute gateway --settings "$work/$1.yaml" ;;
	*) target/currantchute-side keeper --settings "$work/$1.yaml" ;;
	esac >>"$work/$1.log" 2>>"$work/$1.err" &
	echo $! >"$work/$1.pid"
}

end_all() {
	kill -TERM "$stand" 2>/dev/null
	for name in $names; do
		[ -f "$work/$name.pid" ] || continue
		kill -CONT "$(cat "$work/$name.pid")" 2>/dev/null
		kill -KILL "$(cat "$work/$name.pid")" 2>/dev/null
	done
	wait 2>/dev/null
	[ -n "${KEEP:-}" ] && cp "$work"/*.log "$work"/*.err "$KEEP"
	rm -rf "$work"
}
