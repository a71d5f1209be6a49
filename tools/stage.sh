# Sourced by the demo, the system tests and the benchmarks: a set-up of
# stand-ins, entries and sidecars on loopback. stage_end stops every process
# started here.
#
# Set before sourcing: BUILD (build folder), STAGE (scratch folder).

bin=$BUILD/programs
standin=$BUILD/tests/standin/standin
root_token=root-operator-token
team_token=cedar-operator-token
caller_token=cedar-caller-token
key=000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f
stage_pids=
# Below the ephemeral range; different for set-ups that run concurrently.
stage_port=$((15000 + ($$ % 150) * 100))

sha() {
	printf %s "$1" | sha256sum | cut -d ' ' -f 1
}

next_port() {
	stage_port=$((stage_port + 1))
}

stage_begin() {
	rm -rf "$STAGE"
	mkdir -p "$STAGE/origin" "$STAGE/log"
	trap 'stage_end; exit 130' INT TERM
}

stage_end() {
	for pid in $stage_pids; do
		kill -TERM "$pid" 2>/dev/null
	done
	sleep 0.3
	for pid in $stage_pids; do
		kill -KILL "$pid" 2>/dev/null
	done
	wait 2>/dev/null
	stage_pids=
}

# stage_standin NAME ARGUMENTS...: starts a stand-in and sets `port`.
stage_standin() {
	name=$1
	shift
	"$standin" "$@" --port 0 >"$STAGE/log/$name.out" \
	    2>"$STAGE/log/$name.err" &
	last_pid=$!
	stage_pids="$stage_pids $last_pid"
	port=
	tries=0
	while [ -z "$port" ]; do
		port=$(sed -n 's/^ready \([0-9]*\)$/\1/p' "$STAGE/log/$name.out")
		tries=$((tries + 1))
		[ "$tries" -gt 200 ] && {
			echo "$name did not start" >&2
			cat "$STAGE/log/$name.err" >&2
			return 1
		}
		[ -n "$port" ] || sleep 0.05
	done
}

# stage_platform ORIGIN-BYTES-S: starts the object API, the origin and the host
# list.
stage_platform() {
	stage_standin objects objects || return 1
	objects=http://127.0.0.1:$port
	stage_standin origin origin --dir "$STAGE/origin" --bytes-s "$1" ||
	    return 1
	origin=http://127.0.0.1:$port
	stage_standin hosts hosts || return 1
	hosts=http://127.0.0.1:$port
}

node_settings() { # ID DOMAIN PEER-PORT
	cat <<END
node:
  id: $1
  domain: $2
  region: valley
  peer: "127.0.0.1:$3"
  seeds: [$seeds]
  key: $key
  operator: $(sha $root_token)
  charts: charts
END
}

platform_settings() {
	cat <<END
platform:
  objects: $objects
  hosts: $hosts
  origin: $origin
timing: {gossip_ms: ${gossip_ms:-500}, lease_ms: ${lease_ms:-3000}, suspect_ms: ${suspect_ms:-2500}}
END
}

# stage_entry ID DOMAIN PEER-PORT: starts an entry and adds its URL to
# `entries`.
stage_entry() {
	next_port
	{
		node_settings "$1" "$2" "$3"
		echo "  http: \"127.0.0.1:$stage_port\""
		platform_settings
	} >"$STAGE/$1.yaml"
	"$bin/entry/currantchute" entry --settings "$STAGE/$1.yaml" \
	    >"$STAGE/log/$1.out" 2>"$STAGE/log/$1.err" &
	last_pid=$!
	stage_pids="$stage_pids $last_pid"
	entries="${entries:+$entries,}http://127.0.0.1:$stage_port"
}

# stage_side ID DOMAIN PEER-PORT LINK-BYTES-S TARGET...: starts a sidecar; each
# target is a YAML flow mapping as in docs/SETTINGS.md.
stage_side() {
	side_id=$1
	next_port
	{
		node_settings "$1" "$2" "$3"
		platform_settings
		cat <<END
side:
  loopback: "127.0.0.1:$stage_port"
  download_bytes_s: $4
  upload_bytes_s: $4
  memory_bytes: ${side_memory:-400000000}
  targets:
END
		shift 4
		for target in "$@"; do
			echo "    - $target"
		done
	} >"$STAGE/$side_id.yaml"
	"$bin/side/currantchute-side" --settings "$STAGE/$side_id.yaml" \
	    >"$STAGE/log/$side_id.out" 2>"$STAGE/log/$side_id.err" &
	last_pid=$!
	stage_pids="$stage_pids $last_pid"
}

# operate COMMAND...: runs an operator's command with the root operator's token.
operate() {
	"$bin/entry/currantchute" --entry "$entries" --token "$root_token" \
	    "$@"
}

# wait_ready URL: waits until an entry accepts requests.
wait_ready() {
	tries=0
	until curl -fs -o /dev/null "$1/healthz"; do
		tries=$((tries + 1))
		[ "$tries" -gt 300 ] && return 1
		sleep 0.1
	done
}

seconds_now() {
	date +%s.%N
}

elapsed() { # FROM TO, in seconds with two decimals
	echo "$1 $2" | awk '{ printf "%.2f", $2 - $1 }'
}
