#!/bin/sh
# A version is rolled out under live requests while things fail: chunks come
# corrupted from the origin, a load fails at one engine, a side dies in the
# middle and comes back empty, the object API goes away. Callers see none of
# it: every answer is whole and of one version, since a version is loaded only
# when every chunk is verified, and the old one serves until then.
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

# Over all sides; a side's counters end with its process.
corrupt_noticed() { # AT-LEAST
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
# All of them, before a side takes what it counted with it.
eventually "corrupt bytes were noticed" corrupt_noticed 3
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
check "the load had failed once" grep -q load_failed "$STAGE/timeline.txt"
number() { # KEY of the caller's summary
	tr ',{' '\n\n' <"$STAGE/caller.json" | sed -n "s/^\"$1\":\([0-9]*\).*/\1/p" |
	    head -n 1
}
check "callers were answered" [ "$(number answered)" -gt 0 ]
check "no answer of mixed versions" [ "$(number mixed)" = 0 ]
check "no swapped answer" [ "$(number swapped)" = 0 ]
check "no cut answer that looks whole" [ "$(number cut)" = "$(number cut_with_error)" ]
finish
