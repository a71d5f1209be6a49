#!/bin/sh
# Two concurrent requests with one idempotency key, through both entries, for a
# service and for a model. One of them runs; the other waits and gets the same
# outcome, since both entries ask the single owner of the key before anything is
# sent. (claims.sh covers failures of entries and of the object API.)
set -u
BUILD=$1
. tests/system/lib.sh
small_fleet 2

runs() { # URLS PATTERN
	for url in $1; do
		curl -s "$url/admin/log"
	done | grep -o "$2" | wc -l
}
post() { # ENTRY NAME KEY URL-PATH BODY: sends in the background
	curl -s -m 30 -o "$STAGE/answer-$2" -D "$STAGE/head-$2" \
	    -H "Authorization: Bearer $caller_token" \
	    -H "Idempotency-Key: $3" -d "$5" "$1$4" &
	posts="$posts $!"
}
send_both() { # KEY URL-PATH BODY: sends through both entries and waits
	posts=
	post "$entry_1" a "$1" "$2" "$3"
	post "$entry_2" b "$1" "$2" "$3"
	# shellcheck disable=SC2086
	wait $posts
}
both_have_verdict() { # VERDICT
	grep -qi "^X-Verdict: $1" "$STAGE/head-a" &&
	    grep -qi "^X-Verdict: $1" "$STAGE/head-b"
}
one_recorded() {
	[ "$(cat "$STAGE/head-a" "$STAGE/head-b" | grep -ci '^X-Recorded: 1')" -eq 1 ]
}

for url in "$service_1" "$service_2"; do
	curl -s -o /dev/null -d '{"delay_ms":500}' "$url/admin/faults"
done
for i in 1 2 3 4 5; do
	send_both "once-$i" "/services/cedar/book/once-$i" "body $i"
	check "both responses have verdict RAN" both_have_verdict RAN
	check "one of them is the recorded outcome" one_recorded
	check "both get the same answer" cmp -s "$STAGE/answer-a" "$STAGE/answer-b"
	check "it ran once" test \
	    "$(runs "$service_1 $service_2" "\"path\": *\"/once-$i\"")" -eq 1
done

chat_body='{"model":"cedar/care","max_tokens":100,"messages":[]}'
before=$(runs "$engine_1 $engine_2" '"request_id"')
send_both chat-1 /v1/chat/completions "$chat_body"
check "a model: both responses have verdict RAN" both_have_verdict RAN
check "one of them is the recorded outcome" one_recorded
check "it ran once" test \
    "$(runs "$engine_1 $engine_2" '"request_id"')" -eq $((before + 1))
posts=
post "$entry_2" c chat-1 /v1/chat/completions '{"model":"cedar/care","messages":[]}'
# shellcheck disable=SC2086
wait $posts
check "the key with another body is refused" grep -qi '^X-Verdict: NOT_RUN' "$STAGE/head-c"
check "nothing more ran" test \
    "$(runs "$engine_1 $engine_2" '"request_id"')" -eq $((before + 1))
finish
