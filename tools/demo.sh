#!/bin/sh
# The demo: a version is distributed to 8 hosts while live requests are
# answered, the next version replaces it, and a host is drained. The last line
# compares the stand-ins' own logs with what the callers received.
set -u
cd "$(dirname "$0")/.."
BUILD=${1:-build}
STAGE=out/demo
. tools/stage.sh

size=16777216
chunk=262144
origin_rate=20000000
link_rate=10000000

fail() {
	echo "demo: failed ($1)"
	stage_end
	exit 1
}

publish() { # VERSION: weights and chunk list at the origin; sets `root`
	head -c "$size" /dev/urandom >"$STAGE/origin/$1.bin"
	root=$("$bin/entry/currantchute" model digest "$STAGE/origin/$1.bin" \
	    --chunk-bytes "$chunk" --out "$STAGE/origin/$1.chunks" |
	    sed -n 's/^root \([0-9a-f]*\) .*/\1/p')
	[ -n "$root" ] || fail "no digest of $1"
}

roll_out() { # VERSION: adds the version and waits until it is loaded
	operate model add cedar/care "$1" --root "$root" --bytes "$size" \
	    --chunk-bytes "$chunk" --weights "$1.bin" --chunks "$1.chunks" \
	    --pool large || fail "model add $1"
	from=$(seconds_now)
	operate --wait-ms 30000 rollout start cedar/care "$1" --watch \
	    --policy origin_first || fail "rollout of $1"
	took=$(elapsed "$from" "$(seconds_now)")
	echo "rolled out $1 in $took s"
}

stage_begin
stage_platform $origin_rate || fail "stand-ins"

entries=
next_port
peer_a=$stage_port
next_port
peer_b=$stage_port
seeds="\"127.0.0.1:$peer_a\", \"127.0.0.1:$peer_b\""
stage_entry entry-1 north $peer_a
stage_entry entry-2 south $peer_b

engines=
for i in 1 2 3 4 5 6 7 8; do
	stage_standin engine-$i engine || fail "engine $i"
	engines="${engines:+$engines,}http://127.0.0.1:$port"
	domain=north
	[ $i -gt 4 ] && domain=south
	next_port
	stage_side side-$i $domain $stage_port $link_rate \
	    "{name: engine-$i, kind: engine, url: \"http://127.0.0.1:$port\", team: cedar, pool: large}"
	eval "side_pid_$i=$last_pid"
done
for url in $(echo "$entries" | tr ',' ' '); do
	wait_ready "$url" || fail "entry $url is not ready"
done

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
operate settings set platform "$STAGE/platform.yaml" || fail "root branch"
operate settings set cedar "$STAGE/cedar.yaml" || fail "workspace's branch"

publish v1
roll_out v1

"$standin" caller --entries "$entries" --model cedar/care \
    --token $caller_token --rate 60 --seconds 0 --streams-permille 500 \
    --max-tokens 24 --list --out "$STAGE/caller.json" \
    2>"$STAGE/log/caller.err" &
caller=$!
stage_pids="$stage_pids $caller"
sleep 2

publish v2
roll_out v2

operate drain host side-3 || fail "drain"
sleep 2
kill -TERM "$side_pid_3" # a graceful shutdown under load
sleep 2

kill -TERM $caller
tries=0
until [ -s "$STAGE/caller.json" ]; do
	tries=$((tries + 1))
	[ "$tries" -gt 300 ] && fail "the caller has not ended"
	sleep 0.1
done
operate timeline >"$STAGE/timeline.txt" 2>/dev/null
"$standin" truth --engines "$engines" --origin "$origin" \
    --caller "$STAGE/caller.json" --digest "$root" --name v2.bin \
    --bytes $size --seconds "$took" >"$STAGE/result.txt"
status=$?
stage_end
cat "$STAGE/result.txt"
exit $status
