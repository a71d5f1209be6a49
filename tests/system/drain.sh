#!/bin/sh
# Under load, a host is drained and then a sidecar and an entry are shut down
# gracefully. No caller must see a truncated or refused answer: running requests
# finish where they run, and new requests go to other targets, because all
# entries know of the drain before it is reported as active.
set -u
BUILD=$1
. tests/system/lib.sh
small_fleet 3

runs_at() { # ENGINE-URL [STATE]
	curl -s "$1/admin/log" | grep -o '"state": *"[a-z]*"' |
	    grep -c "${2-.}"
}
idle() {
	[ "$(runs_at "$1" running)" -eq 0 ]
}
has_more() { # ENGINE-URL COUNT
	[ "$(runs_at "$1")" -gt "$2" ]
}
start_load() { # NAME URLS
	"$standin" caller --entries "$2" --model cedar/care \
	    --token $caller_token --rate 40 --seconds 0 \
	    --streams-permille 500 --max-tokens 60 --list \
	    --out "$STAGE/$1.json" 2>"$STAGE/log/$1.err" &
	load=$!
	stage_pids="$stage_pids $load"
}
value() { # NAME KEY
	grep -o "\"$2\":[0-9]*" "$STAGE/$1.json" | head -n 1 | cut -d : -f 2
}
all_answered() { # NAME
	[ "$(value "$1" sent)" -gt 0 ] &&
	    [ "$(value "$1" sent)" -eq "$(value "$1" answered)" ]
}
# Compares every answer with the engines' logs; no request may have run twice.
matches_logs() { # NAME
	"$standin" tally --case "$1" --engines "$engines" \
	    --callers "$STAGE/$1.json" | tee "$STAGE/line" &&
	    grep -q ' wrong_verdict=0 twice=0 mixed=0 cut=0 ' "$STAGE/line"
}

start_load load "$entries"
eventually "engine 1 has work" has_more "$engine_1" 5
check "its host is drained" operate drain host side-1
eventually "running requests there finish" idle "$engine_1"
before=$(runs_at "$engine_1")
others=$(runs_at "$engine_2")
eventually "other engines take new work" has_more "$engine_2" $((others + 60))
check "no new work has started there" test "$(runs_at "$engine_1")" -eq "$before"
check "nothing was cancelled there" test "$(runs_at "$engine_1" cancelled)" -eq 0
check "the drain is undone" operate drain host side-1 --undo
eventually "engine 1 has work again" has_more "$engine_1" "$before"

kill -TERM "$side_pid_2"
wait "$side_pid_2"
check "a sidecar shuts down with status 0" test $? -eq 0
check "nothing runs at its engine" idle "$engine_2"
check "nothing was cancelled there" test "$(runs_at "$engine_2" cancelled)" -eq 0
before=$(runs_at "$engine_3")
eventually "other engines take new work" has_more "$engine_3" $((before + 40))
kill -TERM "$load"
wait "$load"
check "each request was answered completely" all_answered load
check "the engines' logs agree" matches_logs load

# An entry gets SIGTERM while long streams run through it.
streams=
for i in 1 2 3 4 5; do
	curl -s -m 60 -H "Authorization: Bearer $caller_token" -d \
	    '{"model":"cedar/care","stream":true,"max_tokens":400,"messages":[]}' \
	    "$entry_1/v1/chat/completions" >"$STAGE/stream-$i" &
	streams="$streams $!"
done
five_run() {
	[ $(($(runs_at "$engine_1" running) + $(runs_at "$engine_3" running))) -eq 5 ]
}
reports_leaving() {
	[ "$(curl -s -o /dev/null -w '%{http_code}' "$entry_1/healthz")" != 200 ]
}
eventually "five streams run" five_run
kill -TERM "$entry_pid_1"
eventually "its health check reports that it is leaving" reports_leaving
# shellcheck disable=SC2086
wait $streams
check "each stream is complete" test \
    "$(cat "$STAGE"/stream-? | grep -c '^data: \[DONE\]')" -eq 5
check "with every token" test \
    "$(cat "$STAGE"/stream-? | grep -c '"content"')" -eq 2000
wait "$entry_pid_1"
check "an entry shuts down with status 0" test $? -eq 0
check "the other entry answers" test -n "$(chat "$entry_2" | grep choices)"
finish
