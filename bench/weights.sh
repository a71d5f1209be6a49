#!/bin/sh
# Weights bench: N real processes on loopback with rate-limited links and an
# origin; prints one line for each case. `sh bench/weights.sh BUILD`; settings
# from the environment: N (60), SEED (1), CASES (all).
#
# For a version of S bytes and a window W, the origin sends 4 S in W and a
# host's link carries 2 S each way. time_ratio is the time until every live host
# has verified the version, divided by the bound W/2. The cases that would take
# long (origin-only, chain, tree) run with smaller S and W in the same
# proportions.
set -eu
build=$1
n=${N:-60}
[ -n "$n" ] || n=60
seed=${SEED:-1}
cases=${CASES:-origin-only chain tree swarm time-first faults-10pct superseded}
standin=${STANDIN:-$build/tests/standin/standin}
domains=3
chunks=256
chunk_kb=128
window_ms=8000
limit_s=60 # a case that takes longer is reported as incomplete
dir=$(mktemp -d)
pids=
origin_pid=

stop_all() {
	# shellcheck disable=SC2086
	[ -z "$pids" ] || kill -KILL $pids 2>/dev/null || true
	[ -z "$origin_pid" ] || kill "$origin_pid" 2>/dev/null || true
	wait 2>/dev/null || true
	pids=
	origin_pid=
}
trap 'stop_all; rm -rf "$dir"' EXIT
trap 'exit 1' INT TERM

now_ms() {
	date +%s%3N
}

# set_size CHUNK_KB WINDOW_MS: sets S, the window and the rates of a case.
set_size() {
	chunk=$(($1 * 1024))
	bytes=$((chunk * chunks))
	window=$2
	link=$((bytes * 2 * 1000 / window))
	origin_rate=$((bytes * 4 * 1000 / window))
}

make_models() {
	rm -rf "$dir/o" "$dir/run"
	mkdir "$dir/o" "$dir/run"
	{
		"$build/bench/weights_model" "$dir/o" v1 $bytes $chunk "$seed"
		"$build/bench/weights_model" "$dir/o" v2 $bytes $chunk "$seed" 10
	} >"$dir/versions"
}

start_origin() {
	"$standin" origin --dir "$dir/o" --bytes-s $origin_rate --port 0 \
	    >"$dir/origin" 2>"$dir/origin.err" &
	origin_pid=$!
	until grep -q '^ready' "$dir/origin"; do sleep 0.05; done
	origin=http://127.0.0.1:$(awk '/^ready/ { print $2 }' "$dir/origin")
}

# start_node I MEMBERS COPIES [OPTION...]: starts host I.
start_node() {
	i=$1
	members=$2
	copies=$3
	shift 3
	"$build/bench/weights_node" --id "h$(printf %04d "$i")" \
	    --domain "d$((i % domains))" --origin "$origin" \
	    --members "$members" --versions "$dir/versions" --rate $link \
	    --copies "$copies" --seed "$seed" "$@" \
	    >"$dir/run/$i" 2>"$dir/run/$i.err" &
	pids="$pids $!"
}

# start_nodes COPIES [OPTION...]: starts N nodes that all know one another.
start_nodes() {
	copies_all=$1
	shift
	i=1
	while [ $i -le "$n" ]; do
		start_node $i "$dir/members" "$copies_all" "$@"
		i=$((i + 1))
	done
	wait_ready
	cat "$dir"/run/*[0-9] | awk '/^ready/ { print $2, $3, $4 }' >"$dir/members"
}

wait_ready() {
	until [ "$(cat "$dir"/run/*[0-9] | grep -c '^ready')" -ge "$n" ]; do
		sleep 0.1
	done
}

# begin SIGNAL: makes every live host request a version.
begin() {
	begin_ms=$(now_ms)
	# shellcheck disable=SC2086
	kill "-$1" $pids
}

# wait_complete VERSION HOSTS: waits until HOSTS have the complete version.
wait_complete() {
	until=$(($(now_ms) + limit_s * 1000))
	while [ "$(cat "$dir"/run/*[0-9] |
	    grep -c "^whole .*version=$1 ")" -lt "$2" ]; do
		[ "$(now_ms)" -lt $until ] || break
		sleep 0.1
	done
}

origin_sent() {
	"$build/bench/http_call" GET "$origin/admin/counts" |
	    sed 's/.*"bytes_sent" *: *\([0-9]*\).*/\1/'
}

# report CASE VERSION HOSTS BOUND_MS: prints the line of a case. A host's
# counters are read when the host completes the version, minus their values
# when it completed version `base_version`; origin bytes are reported minus
# `base_sent`.
base_version=-1
base_sent=0
report() {
	sent=$(($(origin_sent) - base_sent))
	cat "$dir"/run/*[0-9] | awk -v name="$1" -v version="$2" -v hosts="$3" \
	    -v bound="$4" -v begin="$begin_ms" -v bytes=$bytes -v sent=$sent \
	    -v base="$base_version" -v n="$n" '
	/^whole/ {
		for (i = 2; i <= NF; i++) {
			split($i, part, "=")
			f[part[1]] = part[2]
		}
	}
	/^whole/ && f["version"] == base {
		far -= f["far_bytes"]
		base_control[f["id"]] = f["control_bytes"]
	}
	/^whole/ && f["version"] == version {
		done++
		t = f["at_ms"] - begin
		if (t > last)
			last = t
		far += f["far_bytes"]
		control += (f["control_bytes"] - base_control[f["id"]]) * 1000 / t
		rss = f["rss"] - f["held"]
		if (rss > most)
			most = rss
	}
	/^corrupt_loaded/ { corrupt++ }
	END {
		ratio = done < hosts ? "none" : sprintf("%.3f", last / bound)
		spent = done > 0 ? control / done : 0
		printf "weights case=%s n=%d done=%d/%d time_ratio=%s " \
		    "origin_copies=%.3f cross_domain_copies=%.2f " \
		    "corrupt_loaded=%d control_bytes_s=%d " \
		    "rss_control_mb=%.1f\n", name, n, done, hosts,
		    ratio, sent / bytes, far / bytes, corrupt, spent, most / 1e6
		exit (done < hosts)
	}' || print_incomplete
}

# Prints the hosts that did not complete the version, with their progress and
# reason.
print_incomplete() {
	# shellcheck disable=SC2086
	kill -TERM $pids 2>/dev/null || true
	sleep 0.5
	cat "$dir"/run/*[0-9] | awk '
	/^end/ {
		for (i = 2; i <= NF; i++) {
			split($i, part, "=")
			f[part[1]] = part[2]
		}
		split(f["have"], have, "/")
		sub(/.*why=/, "")
		if (have[1] != have[2])
			printf "  %s has %s: %s\n", f["id"], f["have"], $0
	}'
	cat "$dir"/run/*.err | sort | uniq -c | sort -rn | head -n 5 >&2
}

case_origin_only() {
	set_size $((chunk_kb / 16)) $((window_ms / 16))
	make_models
	start_origin
	: >"$dir/none"
	i=1
	while [ $i -le "$n" ]; do
		start_node $i "$dir/none" 1
		i=$((i + 1))
	done
	wait_ready
	begin USR1
	wait_complete 0 "$n"
	report origin-only 0 "$n" $((window / 2))
}

# case_fixed CASE FANOUT: host I receives everything from host
# (I - 2) / FANOUT + 1.
case_fixed() {
	set_size $((chunk_kb / 2)) $((window_ms / 2))
	make_models
	start_origin
	: >"$dir/none"
	start_node 1 "$dir/none" 1
	i=2
	while [ $i -le "$n" ]; do
		start_node $i "$dir/run/members.$i.txt" 0
		i=$((i + 1))
	done
	wait_ready
	i=2
	while [ $i -le "$n" ]; do
		awk '/^ready/ { print $2, $3, $4 }' \
		    "$dir/run/$(((i - 2) / $2 + 1))" >"$dir/run/members.$i.txt"
		i=$((i + 1))
	done
	begin USR1
	wait_complete 0 "$n"
	report "$1" 0 "$n" $((window / 2))
}

# Also distributes the next version, of which a tenth of the chunks are new.
case_swarm() {
	set_size $chunk_kb $window_ms
	make_models
	start_origin
	start_nodes 1
	begin USR1
	wait_complete 0 "$n"
	report swarm 0 "$n" $((window / 2))
	base_version=0
	base_sent=$(origin_sent)
	begin USR2
	wait_complete 1 "$n"
	report next-version-10pct-changed 1 "$n" $((window / 20))
	base_version=-1
	base_sent=0
}

case_time_first() {
	set_size $chunk_kb $window_ms
	make_models
	start_origin
	start_nodes 4
	begin USR1
	wait_complete 0 "$n"
	report time-first 0 "$n" $((window / 2))
}

# A tenth of the hosts die or stall after a third of the expected transfer time;
# one chunk in a hundred is corrupted on every path. The members list is updated
# two seconds later.
case_faults() {
	set_size $chunk_kb $window_ms
	make_models
	start_origin
	"$build/bench/http_call" POST "$origin/admin/faults" \
	    '{"corrupt_permille":10}' >/dev/null
	start_nodes 1 --corrupt-permille 10
	begin USR1
	sleep "$(awk -v w=$window 'BEGIN { print w / 6000 }')"
	lost=$(((n + 9) / 10))
	k=0
	live=
	failed=
	for pid in $pids; do
		k=$((k + 1))
		if [ $((k % 10)) -ne 1 ]; then
			live="$live $pid"
			continue
		fi
		failed="$failed $k"
		if [ $((k % 20)) -eq 1 ]; then
			kill -KILL "$pid"
		else
			kill -STOP "$pid"
		fi
	done
	sleep 2
	for k in $failed; do
		sed -i "/^h$(printf %04d "$k") /d" "$dir/members"
	done
	# shellcheck disable=SC2086
	kill -HUP $live
	wait_complete 0 $((n - lost))
	all=$pids
	pids=$live
	report faults-10pct 0 $((n - lost)) $((window / 2))
	pids=$all
}

# Halfway through the transfer, a version with a tenth of the chunks changed
# supersedes the first one.
case_superseded() {
	set_size $chunk_kb $window_ms
	make_models
	start_origin
	start_nodes 1
	begin USR1
	first_ms=$begin_ms
	sleep "$(awk -v w=$window 'BEGIN { print w / 4000 }')"
	begin USR2
	begin_ms=$first_ms
	wait_complete 1 "$n"
	report superseded 1 "$n" $((window / 2))
}

for c in $cases; do
	case $c in
	origin-only) case_origin_only ;;
	chain) case_fixed chain 1 ;;
	tree) case_fixed tree 2 ;;
	swarm) case_swarm ;;
	time-first) case_time_first ;;
	faults-10pct) case_faults ;;
	superseded) case_superseded ;;
	*) echo "no case $c" >&2 && exit 2 ;;
	esac
	stop_all
done
