#!/bin/sh
# Callers hang up: within a stream, while they wait for a whole answer, while
# they wait for admission. The engine's run is cancelled and its slot is free
# again, as an answer that nobody hears would keep others waiting.
set -u
BUILD=$1
. tests/system/lib.sh
small_fleet 1

faults() { # JSON
	curl -s -o /dev/null -d "$1" "$engine_1/admin/faults"
}
states() { # STATE: number of runs
	curl -s "$engine_1/admin/log" | grep -o '"state": *"[a-z]*"' | grep -c "$1"
}
running_is() {
	[ "$(states running)" -eq "$1" ]
}
cancelled_is() {
	[ "$(states cancelled)" -eq "$1" ]
}
ask() { # STREAM FILE: in the background, its pid into `asked`
	curl -s -N -m 60 -H "Authorization: Bearer $caller_token" \
	    -d "{\"model\":\"cedar/care\",\"stream\":$1,\"max_tokens\":1000,\"messages\":[]}" \
	    "$entry_1/v1/chat/completions" >"$2" &
	asked=$!
}
none_open() {
	[ "$(counter "$entry_1" entry_open_requests)" -eq 0 ]
}

faults '{"step_ms":50}'
ask true "$STAGE/stream"
begun() {
	grep -q '"content"' "$STAGE/stream"
}
eventually "a stream has begun" begun
kill -KILL $asked
eventually "its run is cancelled" cancelled_is 1
eventually "nothing runs" running_is 0

ask false "$STAGE/whole"
eventually "a whole answer is made" running_is 1
kill -KILL $asked
eventually "its run is cancelled too" cancelled_is 2
eventually "nothing runs" running_is 0

# A caller that dies with unread bytes resets its connection: reading it is an
# error then, not an end. Here they are the answer to Expect.
body='{"model":"cedar/care","max_tokens":1000,"messages":[]}'
bash -c "exec 3<>/dev/tcp/127.0.0.1/${entry_1##*:} &&
    printf 'POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nAuthorization: Bearer $caller_token\r\nContent-Length: ${#body}\r\n\r\n' >&3 &&
    sleep 1 && printf '%s' '$body' >&3 && exec sleep 60" &
asked=$!
eventually "it runs" running_is 1
kill -KILL $asked
eventually "its run is cancelled too" cancelled_is 3
eventually "nothing runs" running_is 0

# More callers than the engine has slots: some wait at the entry.
askers=
for i in $(seq 60); do
	ask true "$STAGE/many-$i"
	askers="$askers $asked"
done
some_run() {
	[ "$(states running)" -gt 0 ]
}
eventually "some of many run" some_run
# shellcheck disable=SC2086
kill -KILL $askers
eventually "all are cancelled" running_is 0
eventually "the entry has none open" none_open
check "none was finished for nobody" test "$(states done)" -eq 0
check "counted" counter_is_positive "$entry_1" request_caller_gone
faults '{"step_ms":7}'
check "the next request is answered" test -n "$(chat "$entry_1" | grep choices)"
finish
