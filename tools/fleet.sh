# Sourced by scripts that run gateways and sidecars against the stand-in fleet:
#   fleet_begin FOLDER ENGINES GATEWAYS; tests/fleet/fleet OPTIONS...; fleet_end
# or, where nothing happens beside the fleet: fleet_begin ...; fleet_check OPTIONS...
# Each "host" has its own loopback address, 127.0.NET.x; runs with different
# NETs are independent. Only processes started here are signalled, by their ids.
NET=${NET:-0}

fleet_settings() { # fleet_settings FILE ID DOMAIN IP LINES...
	{
		echo "node: {id: $2, domain: $3, region: $3, key: 63757272616e746368757465746573747065657273}"
		echo "store: {address: 127.0.$NET.9:8007}"
		echo "domains: {z0: z0, z1: z1}"
		echo "limits: {link_mbit: 40}"
		# stable_ms at its minimum, unless a script sets it, so that
		# deadlines are enforced from the start.
		echo "bounds: {version_ms: 8000, stable_ms: ${STABLE_MS:-1000}, grace_s: 4, retry_ratio: 0.2, retry_slack: 40}"
	} >"$1"
	file=$1
	shift 4
	printf '%s\n' "$@" >>"$file"
}

fleet_start() { # fleet_start NAME: starts or restarts the process
	case $1 in
	gateway-*) $BUILD/programs/entry/currantchute gateway --settings $STAGE/$1.yaml ;;
	*) $BUILD/programs/side/currantchute-side keeper --settings $STAGE/$1.yaml ;;
	esac >>"$STAGE/$1.log" 2>>"$STAGE/$1.err" &
	echo $! >"$STAGE/$1.pid"
}

fleet_begin() { # fleet_begin FOLDER ENGINES GATEWAYS
	STAGE=$1
	rm -rf "$STAGE"
	mkdir -p "$STAGE"
	names=
	gateways=
	for g in $(seq "$3"); do
		ip=127.0.$NET.$((g + 1))
		fleet_settings "$STAGE/gateway-$g.yaml" "gateway-$g" "z$(((g - 1) % 2))" $ip \
		    "listen: {callers: $ip:8005, ready: $ip:8006, metrics: $ip:9464, peers: $ip:7700}"
		names="$names gateway-$g"
		gateways="$gateways,$ip:8005"
	done
	for e in $(seq 0 $(($2 - 1))); do
		ip=127.0.$NET.$((e + 10))
		fleet_settings "$STAGE/keeper-$e.yaml" "keeper-$e" "z$((e % 2))" $ip \
		    "listen: {metrics: $ip:9464, peers: $ip:7700}" \
		    "engine: {address: $ip:8001}"
		names="$names keeper-$e"
	done
	gateways=${gateways#,}
	for name in $names; do fleet_start "$name"; done
}

fleet_end() {
	for name in $names; do kill -CONT "$(cat "$STAGE/$name.pid")" 2>/dev/null; done
	for name in $names; do kill -TERM "$(cat "$STAGE/$name.pid")" 2>/dev/null; done
	for name in $names; do wait "$(cat "$STAGE/$name.pid")" 2>/dev/null; done
	! grep -lE 'ERROR: AddressSanitizer|runtime error:|ERROR:.*assertion failed' "$STAGE"/*.err
}

# Runs the fleet, ends the processes and prints the last lines; the status tells
# whether all invariants held.
fleet_check() { # fleet_check OPTIONS...
	"$BUILD/tests/fleet/fleet" --net "$NET" --gateways "$gateways" "$@" \
	    >"$STAGE/fleet.out" 2>"$STAGE/fleet.err"
	status=$?
	fleet_end || status=1
	tail -n 3 "$STAGE/fleet.err"
	tail -n 2 "$STAGE/fleet.out"
	return $status
}

# Waits, 10 s at most, until the fleet's first engine stands still (tests/fleet/held.c).
fleet_await_hold() {
	tries=0
	until grep -q '^held for' "$STAGE/fleet.out" 2>/dev/null || [ $tries -ge 200 ]; do
		sleep 0.05
		tries=$((tries + 1))
	done
}

# Whether the first engine has served with the version.
fleet_loaded() { # fleet_loaded VERSION
	grep -q "ev=weights step=done version=$1 " "$STAGE/keeper-0.log" && return
	echo "keeper-0 is without version $1"
	return 1
}

# Whether only gateways that this script killed ended requests without an answer:
# of a kept connection, or whose runs were sound. For runs with --ends-judged 0.
fleet_ends_kept() { # fleet_ends_kept NUMBER-OF-THE-KILLED-GATEWAY (from 0)
	! grep -E '^(unread|given_up) ' "$STAGE/fleet.err" | grep -v " gateway $1 "
}
