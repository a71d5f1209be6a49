#!/bin/sh
# A version is rolled out under live requests while components fail: the origin
# returns corrupted chunks, a load fails at one engine, a sidecar is killed
# during the rollout and restarts without weights, the object API is down for a
# while. No caller must notice: every answer is complete and of one version,
# since a version is loaded only when every chunk is verified, and the old one
# serves until then.
set -u
BUILD=$1
. tests/system/lib.sh
small_fleet 3

fault() { # URL JSON
	curl -fs -o /dev/null -d "$2" "$1/admin/faults"
}

loaded_everywhere() { # DIGEST
	for url in $(echo "$engines" | tr ',' ' '); do
		curl -fs "$url/v1/load" | grep -q "$1" || return 1
	done
}

"$standin" caller --entries "$entries" --model cedar/care \
    --token $caller_token --rate 20 --seconds 0 --streams-permille 500 \
    --max-tokens 12 --list --out "$STAGE/caller.json" \
    2>"$STAGE/log/caller.err" &
caller=$!
stage_pids="$stage_pids $caller"

# Summed over all sidecars; a sidecar's counters are lost with its process.
corrupt_detected() { # AT-LEAST
	sum=0
	for port in $(sed -n 's/.*loopback: .127.0.0.1:\([0-9]*\).*/\1/p' \
	    "$STAGE"/side-*.yaml); do
		for n in $(curl -fs "http://127.0.0.1:$port/metrics" |
		    sed -n 's/.*corrupt[a-z_]* \([0-9]*\)$/\1/p'); do
			sum=$((sum + n))
		done
	done
	[ "$sum" -ge "$1" ]
}

publish_version v2 4194304
fault "$origin" '{"corrupt_next":3}'
fault "$engine_1" '{"load_fail":1}'
start_rollout v2
# Wait for all three before a sidecar is killed and its counters are lost.
eventually "corrupt chunks were detected" corrupt_detected 3
kill -KILL "$side_pid_2"
fault "$objects" '{"down":true}'
sleep 1
"$bin/side/currantchute-side" --settings "$STAGE/side-2.yaml" \
    >"$STAGE/log/side-2b.out" 2>"$STAGE/log/side-2b.err" &
stage_pids="$stage_pids $!"
sleep 1
fault "$objects" '{"down":false}'
eventually "v2 is loaded on all three engines" loaded_everywhere "$root"
eventually "the rollout is reported as done" operate rollout status cedar/care

kill -TERM $caller
eventually "the caller has ended" test -s "$STAGE/caller.json"
operate timeline >"$STAGE/timeline.txt" 2>/dev/null
check "one load has failed" grep -q load_failed "$STAGE/timeline.txt"
number() { # KEY of the caller's summary
	tr ',{' '\n\n' <"$STAGE/caller.json" | sed -n "s/^\"$1\":\([0-9]*\).*/\1/p" |
	    head -n 1
}
check "callers were answered" [ "$(number answered)" -gt 0 ]
check "no answer of mixed versions" [ "$(number mixed)" = 0 ]
check "no answer to another request" [ "$(number swapped)" = 0 ]
check "no truncated answer that looks complete" [ "$(number cut)" = "$(number cut_with_error)" ]
finish
