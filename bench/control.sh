#!/bin/sh
# Control bench: cost and latency of the control plane (settings, membership,
# leases) with real gateways and sidecars on loopback. Prints one line for each
# case; `sh bench/control.sh BUILD`, settings from the environment: fleet sizes
# N ("20 40 80"), CASES (all).
#
#   control case=NAME n=N api_reads_s=R api_writes_s=W refused_writes=F
#   bytes_node_s=B cpu_node_pct=C rss_mb=M p99_ms=T
#
# bytes_node_s is the bytes that one node sends and receives, mean over all
# nodes; p99_ms is the time of the slowest node of all rounds, from the
# timestamps of the events. A figure that a case does not measure is `-`.
set -u
BUILD=$1
STAGE=$BUILD/bench-control
sizes=${N:-20 40 80}
[ -n "$sizes" ] || sizes="20 40 80"
cases=${CASES:-steady settings-change settings-race leaving api-lost-answers api-down lead-paused lead-crash}
entries_n=4
steady_s=3
cd "$(dirname "$0")/.." || exit 1
. tools/stage.sh
ticks_s=$(getconf CLK_TCK)

selected() {
	case " $cases " in *" $1 "*) return 0 ;; esac
	return 1
}

line() { # CASE READS WRITES REFUSED BYTES CPU RSS P99
	echo "control case=$1 n=$n api_reads_s=$2 api_writes_s=$3" \
	    "refused_writes=$4 bytes_node_s=$5 cpu_node_pct=$6 rss_mb=$7" \
	    "p99_ms=$8"
}

# ---------------------------------------------------------------------
# The fleet
# ---------------------------------------------------------------------

# start_fleet N: starts N processes; sets node_pids and node_urls (gateways,
# then the loopback addresses of the sidecars).
start_fleet() {
	n=$1
	stage_begin
	stage_standin objects objects || exit 1
	objects=http://127.0.0.1:$port
	objects_pid=$last_pid
	origin=http://127.0.0.1:1
	hosts=http://127.0.0.1:1
	entries=
	node_pids=
	seeds=
	for i in $(seq $entries_n); do
		next_port
		eval "peer_$i=$stage_port"
		seeds="${seeds:+$seeds, }\"127.0.0.1:$stage_port\""
	done
	started=$(date +%s%3N)
	for i in $(seq $entries_n); do
		eval "stage_entry entry-$i d$((i % 2)) \$peer_$i"
		node_pids="$node_pids $last_pid"
		eval "entry_pid_$i=$last_pid"
	done
	node_urls=$(echo "$entries" | tr ',' ' ')
	for i in $(seq $((n - entries_n))); do
		next_port
		stage_side side-$i d$((i % 2)) $stage_port 10000000 \
		    "{name: engine-$i, kind: engine, url: \"http://127.0.0.1:1\", team: cedar, pool: large}"
		node_pids="$node_pids $last_pid"
		eval "side_pid_$i=$last_pid"
		node_urls="$node_urls http://127.0.0.1:$stage_port"
	done
	for url in $(echo "$entries" | tr ',' ' '); do
		wait_ready "$url" || exit 1
	done
	write_branches
	wait_members "$n"
}

write_branches() {
	cat >"$STAGE/platform.yaml" <<END
team: platform
tokens: {operator: $(sha $root_token)}
teams:
  cedar: {requests_s: 2000, queue: 2000}
END
	cat >"$STAGE/cedar.yaml" <<END
team: cedar
limits: {requests_s: 1000, queue: 1000}
tokens: {operator: $(sha $team_token), caller: $(sha $caller_token)}
END
	operate settings set platform "$STAGE/platform.yaml" >/dev/null
	operate settings set cedar "$STAGE/cedar.yaml" >/dev/null
}

members_at() { # URL: members in state alive, as reported by this gateway
	curl -fs -H "Authorization: Bearer $root_token" "$1/v1/status" |
	    tr '{' '\n' | grep -c '"state":"alive"'
}

wait_members() { # COUNT: at every gateway
	for url in $(echo "$entries" | tr ',' ' '); do
		tries=0
		until [ "$(members_at "$url")" -ge "$1" ]; do
			tries=$((tries + 1))
			[ $tries -gt 300 ] && return 1
			sleep 0.1
		done
	done
}

# ---------------------------------------------------------------------
# Measurements
# ---------------------------------------------------------------------

api_count() { # KEY
	curl -fs "$objects/admin/counts" | tr ',{}' '\n\n\n' |
	    sed -n "s/^\"$1\":\([0-9]*\)$/\1/p"
}

bytes_now() { # datagram and connection bytes, sum over all nodes
	for url in $node_urls; do
		curl -fs "$url/metrics"
	done | awk '/^(dgram|conn)_(sent|received)_bytes / { s += $2 } END { print s + 0 }'
}

cpu_now() { # CPU ticks, sum over all nodes
	for pid in $node_pids; do
		cat "/proc/$pid/stat" 2>/dev/null
	done | awk '{ s += $14 + $15 } END { print s + 0 }'
}

rss_worst() { # largest resident set of a node, MB
	for pid in $node_pids; do
		grep VmRSS "/proc/$pid/status" 2>/dev/null
	done | awk '$2 > m { m = $2 } END { printf "%.1f", m / 1024 }'
}

begin_window() {
	w_reads=$(api_count reads)
	w_writes=$(api_count writes)
	w_refused=$(api_count refused)
	w_bytes=$(bytes_now)
	w_cpu=$(cpu_now)
	w_start=$(date +%s%3N)
}

# Closes the window. Must run before events are collected, as their collection
# itself adds bytes.
close_window() {
	w_ms=$(($(date +%s%3N) - w_start))
	cpu=$(($(cpu_now) - w_cpu))
	bytes=$(($(bytes_now) - w_bytes))
	reads=$(($(api_count reads) - w_reads))
	writes=$(($(api_count writes) - w_writes))
	refused=$(($(api_count refused) - w_refused))
}

# report CASE P99: prints the line of the window closed last.
report() {
	line "$1" \
	    "$(echo "$reads $w_ms" | awk '{ printf "%.2f", $1 * 1000 / $2 }')" \
	    "$(echo "$writes $w_ms" | awk '{ printf "%.2f", $1 * 1000 / $2 }')" \
	    "$refused" \
	    "$(echo "$bytes $w_ms $n" | awk '{ printf "%.0f", $1 * 1000 / $2 / $3 }')" \
	    "$(echo "$cpu $w_ms $n $ticks_s" | awk '{ printf "%.2f", 100 * $1 / $4 * 1000 / $2 / $3 }')" \
	    "$(rss_worst)" "$2"
}

# Prints the events of all processes as `MS NODE KIND SUBJECT TEXT...` lines.
events() {
	operate --json timeline 2>/dev/null | tr -d '\n' | sed 's/{ */\n/g' |
	    sed -n 's/.*"hlc" : \([0-9]*\),.*"node" : "\([^"]*\)",.*"kind" : "\([^"]*\)",.*"subject" : "\([^"]*\)",.*"text" : "\([^"]*\)".*/\1 \2 \3 \4 \5/p' |
	    awk '{ $1 = sprintf("%.0f", $1 / 65536); print }'
}

# in_force_ms VERSION START-MS: prints the time from the start of the operator's
# command until the branch's version was active on the slowest node, and the
# number of nodes on which it is active.
in_force_ms() {
	events | awk -v v="$1" -v t0="$2" '
		$3 == "settings_in_force" && $4 == "cedar" && $5 == "version=" v {
			if ($1 > t) t = $1
			nodes++
		}
		END { print t - t0, nodes + 0 }'
}

# ---------------------------------------------------------------------
# Cases
# ---------------------------------------------------------------------

case_steady() {
	begin_window
	sleep $steady_s
	close_window
	report steady -
}

version_of_cedar() {
	operate settings get cedar | sed -n 's/^# version \([0-9]*\)$/\1/p'
}

set_requests() { # NUMBER
	operate settings get cedar |
	    sed "s/requests_s: [0-9]*/requests_s: $1/" >"$STAGE/change.yaml"
	operate settings set cedar "$STAGE/change.yaml" >/dev/null
}

case_settings_change() {
	worst=0
	short=0
	for round in 1 2; do
		[ $round -eq 1 ] && begin_window
		from=$(date +%s%3N)
		set_requests $((500 + round))
		[ $round -eq 1 ] && close_window
		set -- $(in_force_ms "$(version_of_cedar)" "$from")
		[ "$1" -gt "$worst" ] && worst=$1
		[ "$2" -lt "$n" ] && short=$((n - $2))
	done
	report settings-change $worst
	[ "$short" -eq 0 ] || echo "control note: $short nodes without the last change"
}

case_settings_race() {
	operate settings get cedar >"$STAGE/base.yaml"
	sed 's/requests_s: [0-9]*/requests_s: 601/' "$STAGE/base.yaml" >"$STAGE/a.yaml"
	sed 's/requests_s: [0-9]*/requests_s: 602/' "$STAGE/base.yaml" >"$STAGE/b.yaml"
	begin_window
	operate settings set cedar "$STAGE/a.yaml" >"$STAGE/a.out" 2>&1 &
	first=$!
	operate settings set cedar "$STAGE/b.yaml" >"$STAGE/b.out" 2>&1
	b=$?
	wait $first
	a=$?
	close_window
	report settings-race -
	echo "control note: settings-race exit codes $a and $b, conflicts shown" \
	    "$(cat "$STAGE/a.out" "$STAGE/b.out" | grep -c 'conflict:')"
}

case_leaving() {
	t0=$(date +%s%3N)
	kill -TERM "$side_pid_1"
	sleep 1
	worst=$(events | awk -v t0="$t0" '
		$3 == "member_leaving" && $4 == "side-1" { if ($1 > t) t = $1; k++ }
		END { print t - t0, k + 0 }')
	set -- $worst
	n=$((n - 1))
	node_urls=$(echo "$node_urls" | tr ' ' '\n' |
	    grep -v "$(sed -n 's/.*loopback: "\(.*\)"/\1/p' "$STAGE/side-1.yaml")" |
	    tr '\n' ' ')
	line leaving - - - - - "$(rss_worst)" "$1"
	[ "$2" -ge "$n" ] || echo "control note: leaving received by $2 of $n nodes"
}

case_lost_answers() {
	begin_window
	curl -fs -o /dev/null -d '{"lose_answers":3}' "$objects/admin/faults"
	from=$(date +%s%3N)
	set_requests 700
	close_window
	set -- $(in_force_ms "$(version_of_cedar)" "$from")
	report api-lost-answers "$1"
}

case_api_down() {
	curl -fs -o /dev/null -d '{"down":true}' "$objects/admin/faults"
	begin_window
	sleep 2
	close_window
	report api-down -
	operate --wait-ms 100 settings set cedar "$STAGE/cedar.yaml" >/dev/null 2>&1
	echo "control note: a change while the API is down ends with exit code $?"
	curl -fs -o /dev/null -d '{"down":false}' "$objects/admin/faults"
	sleep 1
}

leader_number() { # index of the gateway that is leader, 0 for none
	i=0
	for url in $(echo "$entries" | tr ',' ' '); do
		i=$((i + 1))
		curl -fs -m 2 -H "Authorization: Bearer $root_token" \
		    "$url/v1/status" | grep -q '"leads_here":\["cedar"\]' &&
		    echo $i && return
	done
	echo 0
}

wait_leader() { # EXCEPT: waits for a leader other than gateway EXCEPT
	tries=0
	while :; do
		leader=$(leader_number)
		[ "$leader" != 0 ] && [ "$leader" != "$1" ] && return 0
		tries=$((tries + 1))
		[ $tries -gt 150 ] && return 1
		sleep 0.1
	done
}

case_lead_paused() {
	wait_leader 0
	old_leader=$leader
	eval "pid=\$entry_pid_$old_leader"
	begin_window
	kill -STOP "$pid"
	t0=$(date +%s%3N)
	wait_leader "$old_leader"
	t1=$(date +%s%3N)
	kill -CONT "$pid"
	sleep 0.5
	close_window
	report lead-paused $((t1 - t0))
	both=0
	for url in $(echo "$entries" | tr ',' ' '); do
		curl -fs -H "Authorization: Bearer $root_token" \
		    "$url/v1/status" | grep -q '"leads_here":\["cedar"\]' &&
		    both=$((both + 1))
	done
	stale=$(for url in $node_urls; do curl -fs "$url/metrics"; done |
	    awk '$1 == "gate_refused" { s += $2 } END { print s + 0 }')
	echo "control note: after the pause $both gateways are leader, the nodes rejected $stale stale orders"
}

case_lead_crash() {
	wait_leader 0
	old_leader=$leader
	eval "pid=\$entry_pid_$old_leader"
	kill -KILL "$pid"
	t0=$(date +%s%3N)
	wait_leader "$old_leader"
	t1=$(date +%s%3N)
	line lead-crash - - - - - "$(rss_worst)" $((t1 - t0))
}

lease_ms=3000
for size in $sizes; do
	start_fleet "$size"
	cold=$(($(date +%s%3N) - started))
	line cold-start - - "$(api_count refused)" - - "$(rss_worst)" $cold
	selected steady && case_steady
	selected settings-change && case_settings_change
	if [ "$size" = "${sizes%% *}" ]; then
		selected settings-race && case_settings_race
		selected api-lost-answers && case_lost_answers
		selected api-down && case_api_down
		selected lead-paused && case_lead_paused
	fi
	selected leaving && case_leaving
	if [ "$size" = "${sizes%% *}" ]; then
		selected lead-crash && case_lead_crash
	fi
	stage_end
done
