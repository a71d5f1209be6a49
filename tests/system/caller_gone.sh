#!/bin/sh
# Callers disconnect: during a stream, while they wait for an unstreamed answer,
# and while they wait for admission. The engine's run must be cancelled and its
# slot freed: generating an answer for a disconnected caller delays others.
set -u
BUILD=$1
. tests/system/lib.sh
small_fleet 1

faults() { # JSON
	curl -s -o /dev/null -d "$1" "$engine_1/admin/faults"
}
states() { # STATE: number of runs in that state
	curl -s "$engine_1/admin/log" | grep -o '"state": *"[a-z]*"' | grep -c "$1"
}
running_is() {
	[ "$(states running)" -eq "$1" ]
}
cancelled_is() {
	[ "$(states cancelled)" -eq "$1" ]
}
send_request() { # STREAM FILE: in the background; sets `request_pid`
	curl -s -N -m 60 -H "Authorization: Bearer $caller_token" \
	    -d "{\"model\":\"cedar/care\",\"stream\":$1,\"max_tokens\":1000,\"messages\":[]}" \
	    "$entry_1/v1/chat/completions" >"$2" &
	request_pid=$!
}
no_open_requests() {
	[ "$(counter "$entry_1" entry_open_requests)" -eq 0 ]
}

faults '{"step_ms":50}'
send_request true "$STAGE/stream"
begun() {
	grep -q '"content"' "$STAGE/stream"
}
eventually "a stream has begun" begun
kill -KILL $request_pid
eventually "its run is cancelled" cancelled_is 1
eventually "nothing runs" running_is 0

send_request false "$STAGE/whole"
eventually "an unstreamed answer is being generated" running_is 1
kill -KILL $request_pid
eventually "its run is cancelled too" cancelled_is 2
eventually "nothing runs" running_is 0

# A caller that is killed with unread bytes in its socket resets the connection,
# so the entry's read fails instead of returning end of file. Here the unread
# bytes are the answer to Expect.
body='{"model":"cedar/care","max_tokens":1000,"messages":[]}'
bash -c "exec 3<>/dev/tcp/127.0.0.1/${entry_1##*:} &&
    printf 'POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nAuthorization: Bearer $caller_token\r\nContent-Length: ${#body}\r\n\r\n' >&3 &&
    sleep 1 && printf '%s' '$body' >&3 && exec sleep 60" &
request_pid=$!
eventually "the request runs" running_is 1
kill -KILL $request_pid
eventually "its run is cancelled too" cancelled_is 3
eventually "nothing runs" running_is 0

# More callers than the engine has slots: some wait for admission at the entry.
request_pids=
for i in $(seq 60); do
	send_request true "$STAGE/many-$i"
	request_pids="$request_pids $request_pid"
done
some_run() {
	[ "$(states running)" -gt 0 ]
}
eventually "some of many run" some_run
# shellcheck disable=SC2086
kill -KILL $request_pids
eventually "all are cancelled" running_is 0
eventually "the entry has no open requests" no_open_requests
check "no run was completed for a disconnected caller" test "$(states done)" -eq 0
check "the disconnects are counted" counter_is_positive "$entry_1" request_caller_gone
faults '{"step_ms":7}'
check "the next request is answered" test -n "$(chat "$entry_1" | grep choices)"
finish
