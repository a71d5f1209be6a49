#!/bin/sh
# Capacity: measures the slopes from which docs/CAPACITY.md is computed, and
# prints its tables. `sh bench/capacity.sh BUILD`; settings from the
# environment: PARTS (all). Runs real processes on loopback, at most 100 at a
# time; `make capacity` ends within 10 minutes.
#
# A line `point part=P ...` is a measured point. A line `fit of=Y on=X a=A
# b=B r2=R points=N` is the least-squares line Y = A + B X through at least
# three points. The tables at the end are computed from these fits alone, with
# the formula beside each figure that was not measured.
set -u
BUILD=$1
STAGE=$BUILD/stage-capacity
parts=${PARTS:-members route sides entries load fan keyed lead weights}
cd "$(dirname "$0")/.." || exit 1
. tools/stage.sh
# The shipped defaults, because the budgets in bytes per second apply to them.
gossip_ms=1000
lease_ms=6000
suspect_ms=5000
window_s=${WINDOW_S:-6}
# Time before a fleet counts as idle: new members first copy the member tables
# and gossip about the other members for some seconds.
settle_s=${SETTLE_S:-8}
ticks_s=$(getconf CLK_TCK)
base_port=$stage_port
points=$BUILD/capacity.points
began=$(date +%s)
mkdir -p "$BUILD"
: >"$points"

selected() {
	case " $parts " in *" $1 "*) return 0 ;; esac
	return 1
}

point() {
	echo "point $*" | tee -a "$points"
}

fail() {
	echo "capacity: failed ($1)"
	stage_end
	exit 1
}

# ---------------------------------------------------------------------
# A fleet of E gateways and S sidecars
# ---------------------------------------------------------------------

# start_fleet ENTRIES SIDES [engines]: starts gateways and sidecars, with an
# engine for each sidecar if `engines` is given. Sets entry_pids, entry_urls,
# side_pids, side_urls and objects.
start_fleet() {
	e=$1
	s=$2
	stage_port=$base_port
	stage_begin
	stage_platform 50000000 || fail stand-ins
	entries=
	seeds=
	entry_pids=
	side_pids=
	side_urls=
	for i in $(seq "$e"); do
		next_port
		eval "peer_$i=$stage_port"
		[ "$i" -le 4 ] && seeds="${seeds:+$seeds, }\"127.0.0.1:$stage_port\""
	done
	start_entries
	for i in $(seq "$s"); do
		url=http://127.0.0.1:1
		if [ "${3:-}" = engines ]; then
			stage_standin "engine-$i" engine --slots 64 \
			    --step-ms 20 || fail "engine $i"
			url=http://127.0.0.1:$port
		fi
		next_port
		stage_side "side-$i" d$((i % 2)) "$stage_port" "${link_rate:-50000000}" \
		    "{name: engine-$i, kind: engine, url: \"$url\", team: cedar, pool: large}"
		side_pids="$side_pids $last_pid"
		side_urls="$side_urls http://127.0.0.1:$stage_port"
	done
	wait_entries || fail "gateways not ready"
	write_branches
	wait_members $((e + s)) || fail "members not alive at every gateway"
}

start_entries() {
	entries=
	entry_pids=
	for i in $(seq "$e"); do
		eval "stage_entry entry-$i d$((i % 2)) \$peer_$i"
		entry_pids="$entry_pids $last_pid"
	done
	entry_urls=$(echo "$entries" | tr ',' ' ')
}

wait_entries() {
	for url in $entry_urls; do
		wait_ready "$url" || return 1
	done
}

write_branches() {
	cat >"$STAGE/platform.yaml" <<END
team: platform
tokens: {operator: $(sha $root_token)}
teams:
  cedar: {requests_s: 20000, queue: 20000}
END
	cat >"$STAGE/cedar.yaml" <<END
team: cedar
limits: {requests_s: 10000, queue: 10000}
tokens: {operator: $(sha $team_token), caller: $(sha $caller_token)}
END
	operate settings set platform "$STAGE/platform.yaml" >/dev/null ||
	    fail "root branch"
	operate settings set cedar "$STAGE/cedar.yaml" >/dev/null ||
	    fail branch
}

wait_members() { # COUNT: at every gateway
	for url in $entry_urls; do
		tries=0
		until [ "$(curl -fs -H "Authorization: Bearer $root_token" \
		    "$url/v1/status" | tr '{' '\n' |
		    grep -c '"state":"alive"')" -ge "$1" ]; do
			tries=$((tries + 1))
			[ $tries -gt 300 ] && return 1
			sleep 0.2
		done
	done
}

publish() { # VERSION
	head -c 1048576 /dev/urandom >"$STAGE/origin/$1.bin"
	root=$("$bin/entry/currantchute" model digest "$STAGE/origin/$1.bin" \
	    --chunk-bytes 65536 --out "$STAGE/origin/$1.chunks" |
	    sed -n 's/^root \([0-9a-f]*\) .*/\1/p')
	operate model add cedar/care "$1" --root "$root" --bytes 1048576 \
	    --chunk-bytes 65536 --weights "$1.bin" --chunks "$1.chunks" \
	    --pool large >/dev/null || fail "model add"
	operate --wait-ms 30000 rollout start cedar/care "$1" --watch \
	    >"$STAGE/log/rollout" 2>&1 || fail rollout
}

# ---------------------------------------------------------------------
# Resource usage of processes
# ---------------------------------------------------------------------

cpu_ms() { # PIDS: user and system time, sum
	for pid in $1; do
		cat "/proc/$pid/stat" 2>/dev/null
	done | awk -v t="$ticks_s" '{ s += $14 + $15 } END { print s * 1000 / t + 0 }'
}

rss_kb() { # PIDS: resident set, mean
	for pid in $1; do
		grep VmRSS "/proc/$pid/status" 2>/dev/null
	done | awk '{ s += $2 } END { if (NR) printf "%.0f", s / NR }'
}

open_files() { # PIDS: open files, mean
	for pid in $1; do
		find "/proc/$pid/fd" -mindepth 1 2>/dev/null | wc -l
	done | awk '{ s += $1 } END { if (NR) printf "%.1f", s / NR }'
}

metric() { # REGEX URLS: sum of the matching metrics
	for url in $2; do
		curl -fs "$url/metrics"
	done | awk -v r="^($1)$" '$1 ~ r { s += $2 } END { printf "%.0f", s + 0 }'
}

api_count() { # KEY
	curl -fs "$objects/admin/counts" | tr ',{}' '\n\n\n' |
	    sed -n "s/^\"$1\":\([0-9]*\)$/\1/p"
}

ratio() { # EXPRESSION DIVISOR
	awk "BEGIN { printf \"%.3f\", ($1) / ($2) }"
}

open_window() {
	w_reads=$(api_count reads)
	w_writes=$(api_count writes)
	w_ed=$(metric 'dgram_.*_bytes' "$entry_urls")
	w_ec=$(metric 'conn_.*_bytes' "$entry_urls")
	w_sd=$(metric 'dgram_.*_bytes' "$side_urls")
	w_sc=$(metric 'conn_.*_bytes' "$side_urls")
	w_ecpu=$(cpu_ms "$entry_pids")
	w_scpu=$(cpu_ms "$side_pids")
	w_start=$(date +%s%3N)
}

close_window() {
	w_s=$(ratio "$(date +%s%3N) - $w_start" 1000)
	ecpu=$(ratio "$(cpu_ms "$entry_pids") - $w_ecpu" 1)
	scpu=$(ratio "$(cpu_ms "$side_pids") - $w_scpu" 1)
	reads=$(ratio "$(api_count reads) - $w_reads" "$w_s")
	writes=$(ratio "$(api_count writes) - $w_writes" "$w_s")
	ed=$(ratio "$(metric 'dgram_.*_bytes' "$entry_urls") - $w_ed" "$w_s * $e")
	ec=$(ratio "$(metric 'conn_.*_bytes' "$entry_urls") - $w_ec" "$w_s * $e")
	sd=$(ratio "$(metric 'dgram_.*_bytes' "$side_urls") - $w_sd" "$w_s * $s")
	sc=$(ratio "$(metric 'conn_.*_bytes' "$side_urls") - $w_sc" "$w_s * $s")
	ecore=$(ratio "$ecpu" "$w_s * 10 * $e")
	score=$(ratio "$scpu" "$w_s * 10 * $s")
}

# ---------------------------------------------------------------------
# Parts
# ---------------------------------------------------------------------

# Membership on a simulated clock, from the output of the test agree-mem.
part_members() {
	build_out=$("$BUILD/tests/agree-mem" 2>&1)
	echo "$build_out" | sed -n 's/^n=\([0-9]*\) joined_s=\([0-9]*\) steady bytes_s mean=\([0-9]*\) worst=\([0-9]*\)/\1 \2 \3 \4/p' |
	    while read -r size joined mean worst; do
		point part=members n="$size" joined_s="$joined" \
		    bytes_s="$mean" worst_bytes_s="$worst"
	done
	fit members n bytes_s
	fit members n worst_bytes_s
}

part_route() {
	"$BUILD/bench/route_bench" | while read -r _ name targets op _; do
		point part=route "$name" "$targets" "$op"
	done
}

# Measures an idle fleet; change_point, restart_point and away_point measure a
# change of settings and the timeline, a restart of all gateways, and an outage
# and return of the API. The bytes and calls are valid on a busy machine too.
fleet_point() { # PART
	sleep "$settle_s"
	open_window
	sleep "$window_s"
	close_window
	point part="$1" entries="$e" sides="$s" entry_dgram_s="$ed" \
	    entry_conn_s="$ec" side_dgram_s="$sd" side_conn_s="$sc" \
	    entry_cpu_pct="$ecore" side_cpu_pct="$score" \
	    entry_rss_kb="$(rss_kb "$entry_pids")" \
	    side_rss_kb="$(rss_kb "$side_pids")" \
	    entry_files="$(open_files "$entry_pids")" \
	    side_files="$(open_files "$side_pids")" \
	    api_reads_s="$reads" api_writes_s="$writes"
}

change_point() {
	operate settings get cedar | grep -v '^#' |
	    sed "s/requests_s: [0-9]*/requests_s: 9000/" >"$STAGE/change.yaml"
	version=$(operate settings get cedar | sed -n 's/^# version //p')
	[ -n "$version" ] && sed -i "1i # version $version" "$STAGE/change.yaml"
	r0=$(api_count reads)
	b0=$(metric '.*_(sent|received)_bytes' "$entry_urls $side_urls")
	t0=$(date +%s%3N)
	operate settings set cedar "$STAGE/change.yaml" \
	    >"$STAGE/log/change" 2>&1 || echo "note: change ended with $?"
	took=$(($(date +%s%3N) - t0))
	sleep 1
	b1=$(metric '.*_(sent|received)_bytes' "$entry_urls $side_urls")
	r1=$(api_count reads)
	point part=change entries="$e" sides="$s" n=$((e + s)) \
	    in_force_ms=$took api_reads=$((r1 - r0)) \
	    node_bytes="$(ratio "$b1 - $b0" "$e + $s")"
	t0=$(date +%s%3N)
	bytes=$(operate --json timeline 2>/dev/null | wc -c)
	point part=timeline n=$((e + s)) ms=$(($(date +%s%3N) - t0)) \
	    bytes="$bytes"
}

restart_point() { # PART
	r0=$(api_count reads)
	t0=$(date +%s%3N)
	for pid in $entry_pids; do
		kill -KILL "$pid"
	done
	stage_port=$((base_port + e))
	start_entries
	wait_entries || fail "gateways not ready after the restart"
	ready=$(($(date +%s%3N) - t0))
	wait_members $((e + s)) || fail "members not alive at every gateway after the restart"
	point part="$1" entries="$e" sides="$s" n=$((e + s)) \
	    ready_ms=$ready all_known_ms=$(($(date +%s%3N) - t0)) \
	    api_reads=$(($(api_count reads) - r0)) \
	    side_rss_kb="$(rss_kb "$side_pids")"
}

away_point() {
	curl -fs -o /dev/null -d '{"down":true}' "$objects/admin/faults"
	c0=$(api_count refused)
	sleep 4
	c1=$(api_count refused)
	curl -fs -o /dev/null -d '{"down":false}' "$objects/admin/faults"
	c2=$(($(api_count reads) + $(api_count writes)))
	sleep 3
	c3=$(($(api_count reads) + $(api_count writes)))
	point part=away entries="$e" sides="$s" n=$((e + s)) \
	    calls_s_down="$(ratio "$c1 - $c0" 4)" \
	    calls_s_return="$(ratio "$c3 - $c2" 3)"
}

part_sides() {
	for size in ${SIDES:-10 20 40}; do
		start_fleet 4 $size
		fleet_point sides
		change_point
		away_point
		restart_point restart
		stage_end
	done
	for y in entry_dgram_s entry_conn_s entry_cpu_pct entry_rss_kb \
	    entry_files side_dgram_s side_conn_s side_cpu_pct side_rss_kb \
	    side_files api_reads_s api_writes_s; do
		fit sides sides $y
	done
	fit change n in_force_ms
	fit change n api_reads
	fit change n node_bytes
	fit timeline n ms
	fit timeline n bytes
	fit restart n ready_ms
	fit restart n all_known_ms
	fit restart n api_reads
	fit away n calls_s_down
	fit away n calls_s_return
}

part_entries() {
	for size in 2 6 16; do
		start_fleet $size 10
		fleet_point entries
		restart_point restart_e
		stage_end
	done
	for y in entry_dgram_s entry_conn_s entry_cpu_pct entry_rss_kb \
	    entry_files side_dgram_s side_conn_s side_cpu_pct side_rss_kb \
	    side_files api_reads_s api_writes_s; do
		fit entries entries $y
	done
	fit restart_e entries ready_ms
	fit restart_e entries api_reads
}

summary() { # HISTOGRAM POINT: percentile from the caller's last summary, ms
	grep -o "\"$1\":{[^}]*}" "$STAGE/load.json" |
	    sed "s/.*\"$2\":\([0-9]*\).*/\1/" | awk '{ printf "%.1f", $1 / 1000 }'
}

count_of() { # KEY: count from the caller's last summary
	sed "s/.*\"$1\":\([0-9]*\).*/\1/" "$STAGE/load.json" | head -n 1
}

load_point() { # PART RATE TOKENS [OPTIONS...]
	load_part=$1
	rate=$2
	tokens=$3
	shift 3
	open_window
	"$standin" caller --entries "$entries" --model cedar/care \
	    --token $caller_token --rate "$rate" --seconds 4 \
	    --streams-permille 1000 --max-tokens "$tokens" --seed 1 \
	    --list --out "$STAGE/load.json" "$@" 2>>"$STAGE/log/caller.err" &
	load=$!
	sleep 3
	rss=$(rss_kb "$entry_pids")
	open=$(metric entry_open_requests "$entry_urls")
	wait $load
	close_window
	sent=$(count_of sent)
	point part="$load_part" sides="$s" rate="$rate" tokens="$tokens" sent="$sent" \
	    answered="$(count_of answered)" \
	    tokens_sent=$((sent * tokens)) seconds="$w_s" \
	    entry_cpu_ms="$ecpu" side_cpu_ms="$scpu" \
	    entry_cpu_ms_s="$(ratio "$ecpu" "$w_s")" \
	    side_cpu_ms_s="$(ratio "$scpu" "$w_s")" \
	    entry_bytes_s="$(ratio "$ec * $e" 1)" open="$(ratio "$open" "$e")" \
	    entry_rss_kb="$rss" api_reads_s="$reads" api_writes_s="$writes" \
	    first_p95_ms="$(summary first_token_us p95)" \
	    between_p95_ms="$(summary between_tokens_us p95)"
}

part_load() {
	start_fleet 2 4 engines
	publish v1
	for rate in 10 20 40; do
		load_point load $rate 16
	done
	for rate in 5 10 20; do
		load_point load $rate 96
	done
	# Many requests open at a time, to measure the memory of one.
	for rate in 10 30 60; do
		load_point open $rate 180
	done
	stage_end
	fit2 load entry_cpu_ms
	fit2 load side_cpu_ms
	fit open open entry_rss_kb
}

# The same load over more sidecars: the cost that a connection adds to a token.
part_fan() {
	for size in 4 16 32; do
		start_fleet 2 $size engines
		publish v1
		load_point fan 20 96
		stage_end
	done
	fit fan sides entry_cpu_ms_s
}

claim_bytes() { # size of all bucket objects, as returned by the API
	for i in $(seq 0 15); do
		curl -fs "$objects/v1/objects/claims/$(printf %02d "$i")"
	done | wc -c
}

part_keyed() {
	all=0
	start_fleet 2 4 engines
	publish v1
	for rate in 10 20 40 80; do
		load_point keyed $rate 1 --idempotency-key-permille 1000
		all=$((all + sent))
		point part=claim_objects records=$all \
		    bytes="$(claim_bytes)"
	done
	stage_end
	fit claim_objects records bytes
	fit keyed rate api_writes_s
	fit keyed rate api_reads_s
	fit keyed sent entry_cpu_ms
}

# Traffic between the leader and the sidecars while weights are transferred:
# 16 MB over links of 2 MB/s take at least 8 s, so the window of 1 s to 5 s lies
# within the transfer.
part_lead() {
	link_rate=2000000
	for size in 5 10 20; do
		start_fleet 2 $size engines
		head -c 16777216 /dev/urandom >"$STAGE/origin/v1.bin"
		root=$("$bin/entry/currantchute" model digest \
		    "$STAGE/origin/v1.bin" --chunk-bytes 262144 \
		    --out "$STAGE/origin/v1.chunks" |
		    sed -n 's/^root \([0-9a-f]*\) .*/\1/p')
		operate model add cedar/care v1 --root "$root" \
		    --bytes 16777216 --chunk-bytes 262144 --weights v1.bin \
		    --chunks v1.chunks --pool large >/dev/null ||
		    fail "model add"
		operate rollout start cedar/care v1 >/dev/null ||
		    fail rollout
		sleep 1
		open_window
		sleep 4
		close_window
		point part=lead sides="$size" \
		    lead_bytes_s="$(ratio "$ec * $e" 1)" \
		    lead_bytes_s_side="$(ratio "$ec * $e" "$size")" \
		    entries_cpu_ms_s="$(ratio "$ecpu" "$w_s")" \
		    side_cpu_pct="$score" loaded="$(operate status 2>/dev/null |
		    grep -c "$root")"
		stage_end
	done
	link_rate=
	fit lead sides lead_bytes_s
	fit lead sides lead_bytes_s_side
	fit lead sides entries_cpu_ms_s
}

part_weights() {
	for size in 10 20 40; do
		N=$size CASES=swarm sh bench/weights.sh "$BUILD" 2>&1 |
		    grep 'case=swarm' >"$BUILD/capacity.weights" ||
		    echo "note: swarm n=$size failed"
		# shellcheck disable=SC2046
		point part=weights $(sed 's/^weights //' "$BUILD/capacity.weights")
	done
	fit weights n time_ratio
	fit weights n control_bytes_s
	fit weights n rss_control_mb
}

# ---------------------------------------------------------------------
# Fits
# ---------------------------------------------------------------------

fit() { # PART X Y
	awk -v part="part=$1" -v x="$2" -v y="$3" '
	$1 == "point" && $2 == part {
		split("", f)
		for (i = 3; i <= NF; i++) {
			split($i, p, "=")
			f[p[1]] = p[2]
		}
		if (!(x in f) || !(y in f) || f[y] == "" || f[y] == "none")
			next
		n++
		sx += f[x]; sy += f[y]
		sxx += f[x] * f[x]; sxy += f[x] * f[y]; syy += f[y] * f[y]
	}
	END {
		d = n * sxx - sx * sx
		if (n < 3 || d == 0) {
			printf "note: fit %s of %s on %s: %d points\n",
			    part, y, x, n
			exit
		}
		b = (n * sxy - sx * sy) / d
		a = (sy - b * sx) / n
		v = n * syy - sy * sy
		r2 = v == 0 ? 1 : (n * sxy - sx * sy) ^ 2 / (d * v)
		printf "fit %s of=%s on=%s a=%.4f b=%.4f r2=%.3f points=%d\n",
		    part, y, x, a, b, r2, n
	}' "$points" | tee -a "$points"
}

# Fits Y = idle * seconds + R * requests + T * tokens by the normal equations,
# over the points of a part and those of part open.
fit2() { # PART Y
	awk -v part="part=$1" -v y="$2" '
	$1 == "point" && ($2 == part || $2 == "part=open") {
		for (i = 3; i <= NF; i++) {
			split($i, p, "=")
			f[p[1]] = p[2]
		}
		v[1] = f["seconds"]; v[2] = f["sent"]; v[3] = f["tokens_sent"]
		for (i = 1; i <= 3; i++) {
			for (j = 1; j <= 3; j++)
				m[i, j] += v[i] * v[j]
			m[i, 4] += v[i] * f[y]
		}
		n++
	}
	END {
		for (k = 1; k <= 3; k++) {
			if (m[k, k] == 0)
				exit
			for (i = 1; i <= 3; i++) {
				if (i == k)
					continue
				q = m[i, k] / m[k, k]
				for (j = k; j <= 4; j++)
					m[i, j] -= q * m[k, j]
			}
		}
		printf "fit %s of=%s on=seconds,requests,tokens idle_ms_s=%.3f " \
		    "request_us=%.1f token_us=%.2f points=%d\n", part, y,
		    m[1, 4] / m[1, 1], 1000 * m[2, 4] / m[2, 2],
		    1000 * m[3, 4] / m[3, 3], n
	}' "$points" | tee -a "$points"
}

for part in $parts; do
	"part_$part"
done
sh bench/capacity_tables.sh "$points"
echo "capacity: load average $(cut -d ' ' -f 1-3 /proc/loadavg) on $(nproc) processors at the end, $(($(date +%s) - began)) s"
