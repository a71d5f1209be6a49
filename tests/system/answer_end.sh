#!/bin/sh
# Answers whose message ends in order. A stream is complete only with its [DONE]
# event: otherwise its caller gets an error event after complete events, and no
# part of the one that was broken off. Answers with neither a length nor chunks
# are complete when their connection is closed.
set -u
BUILD=$1
. tests/system/lib.sh
small_fleet 2

engine_faults() { # JSON
	for url in "$engine_1" "$engine_2"; do
		curl -s -o /dev/null -d "$1" "$url/admin/faults"
	done
}
stream() { # sets `ended` to curl's status: 0 when the framing is complete
	curl -s -m 60 -N -D "$STAGE/head" -H "Authorization: Bearer $caller_token" \
	    -d '{"model":"cedar/care","stream":true,"max_tokens":8,"messages":[]}' \
	    "$entry_1/v1/chat/completions" >"$STAGE/stream"
	ended=$?
}
tokens() {
	grep -c '"content"' "$STAGE/stream"
}
has_done() {
	grep -q '^data: \[DONE\]' "$STAGE/stream"
}
# Each line of a field is one that an engine or a gateway sends in one piece.
lines_are_whole() {
	! grep -vE '^(data: \{.*\}|data: \[DONE\]|event: error|)$' "$STAGE/stream"
}
expect_broken_off() { # TEXT
	check "$1: the caller sees an error" grep -q '^event: error' "$STAGE/stream"
	check "$1: and no [DONE]" test "$(grep -c DONE "$STAGE/stream")" -eq 0
	check "$1: no part of an event" lines_are_whole
}

stream
check "a stream is complete" has_done
for unframed in 0 2; do
	engine_faults "{\"break_in_event\":2,\"unframed\":$unframed}"
	stream
	expect_broken_off "broken off in an event, $unframed unframed"
	check "three tokens came before" test "$(tokens)" -eq 3
	engine_faults '{"break_in_event":0,"unframed":0}'
done
# Each of the two engines may be in backoff, for 2 s at most.
sleep 2
engine_faults '{"unframed":2}'
stream
check "a stream without framing is complete" has_done
check "with all tokens" test "$(tokens)" -eq 8
check "and whole lines" lines_are_whole
check "and no error" test "$(grep -c '^event: error' "$STAGE/stream")" -eq 0
engine_faults '{"unframed":0,"step_ms":500}'

# A cancelled stream ends in order, between two events.
rm "$STAGE/stream" "$STAGE/head" # those of the stream before
stream &
stream_pid=$!
begun() {
	[ -f "$STAGE/stream" ] && [ "$(tokens)" -ge 2 ]
}
eventually "tokens have reached the caller" begun
id=$(sed -n 's/^X-Request-Id: \([^\r]*\).*/\1/ip' "$STAGE/head" | tr -d '\r')
for url in "$engine_1" "$engine_2"; do
	curl -s -o /dev/null -d "{\"request_id\":\"$id\"}" "$url/v1/cancel"
done
wait $stream_pid
expect_broken_off "ended between two events without [DONE]"

for url in "$service_1" "$service_2"; do
	curl -s -o /dev/null -d '{"unframed":1000}' "$url/admin/faults"
done
for method in GET POST; do
	status=$(curl -s -m 30 -o "$STAGE/answer" -D "$STAGE/head" -w '%{http_code}' \
	    -H "Authorization: Bearer $caller_token" -X $method -d x \
	    "$entry_1/services/cedar/book/plain")
	check "$method without framing is answered" test "$status" = 200
	check "$method has verdict RAN" grep -qi '^X-Verdict: RAN' "$STAGE/head"
	check "$method: the answer is whole" grep -q '"body_sha256"' "$STAGE/answer"
	check "$method: in one attempt" grep -qi '^X-Attempts: 1' "$STAGE/head"
done

# An answer that breaks off in its head, which libsoup reads as an empty one.
for url in "$service_1" "$service_2"; do
	curl -s -o /dev/null -d '{"unframed":0,"cut_head":1}' "$url/admin/faults"
done
status=$(curl -s -m 30 -o "$STAGE/answer" -D "$STAGE/head" -w '%{http_code}' \
    -H "Authorization: Bearer $caller_token" -X POST -d x \
    "$entry_1/services/cedar/book/cut")
check "a head that breaks off is no answer" test "$status" -ge 500
check "its verdict is MAY_HAVE_RUN" \
    grep -qi '^X-Verdict: MAY_HAVE_RUN' "$STAGE/head"

finish
