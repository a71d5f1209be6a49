#!/bin/sh
# Guards against requests that terminate engine after engine: the same one again,
# at any entry, or different ones that have a message of their prompts in common.
set -u
BUILD=$1
. tests/system/lib.sh
small_fleet 8

for url in $(echo "$engines" | tr ',' ' '); do
	curl -s -o /dev/null -d '{"crash_on":"boom"}' "$url/admin/faults"
done
ended() {
	n=0
	for i in 1 2 3 4 5 6 7 8; do
		eval "kill -0 \$engine_pid_$i" 2>/dev/null || n=$((n + 1))
	done
	echo $n
}
ask() { # ENTRY SHARED OWN [STREAM]: prints the HTTP status
	curl -s -m 30 -o "$STAGE/answer" -D "$STAGE/head" -w '%{http_code}' \
	    -H "Authorization: Bearer $caller_token" \
	    ${deadline_ms:+-H "X-Deadline-Ms: $deadline_ms"} \
	    -d "{\"model\":\"cedar/care\",\"max_tokens\":8,\"stream\":${4:-false},\"messages\":[{\"role\":\"system\",\"content\":\"guide\"},{\"role\":\"system\",\"content\":\"$2\"},{\"role\":\"user\",\"content\":\"$3\"}]}" \
	    "$1/v1/chat/completions"
}
answered() { # ENTRY SHARED OWN
	[ "$(ask "$1" "$2" "$3")" = 200 ]
}

check "a sound request is answered" answered "$entry_1" calm one
status=$(ask "$entry_1" calm "boom 1")
check "the request that crashes engines gets an error" test "$status" -ge 500
check "one request ends two engines at most" test "$(ended)" -le 2
check "it may have run" grep -qi '^X-Verdict: MAY_HAVE_RUN' "$STAGE/head"
before=$(ended)
status=$(ask "$entry_2" calm "boom 1")
check "again at the other entry, it is refused" test "$status" = 503
check "and has not run" grep -qi '^X-Verdict: NOT_RUN' "$STAGE/head"
check "its caller is told when to return" grep -qi '^Retry-After: ' "$STAGE/head"
check "no further engine has ended" test "$(ended)" -eq "$before"
check "the part it shares is served here" answered "$entry_1" calm two
check "and there" answered "$entry_2" calm three

# Different requests with one message in common, to both entries, streams too,
# until both refuse them. Five engines are the number by which such a message
# counts as known.
refused() { # NUMBER
	[ "$(ask "$entry_1" boom "plain $1")" = 503 ] &&
	    [ "$(ask "$entry_2" boom "stream $1" true)" = 503 ]
}
n=0
until refused $n || [ $n -ge 8 ]; do n=$((n + 1)); done
known=$(ended)
echo "$((known - before)) engines ended by a shared message"
check "a shared message ends five engines at most" test $((known - before)) -le 5
for n in 11 12 13 14; do refused $n || echo "request $n was not refused"; done
check "once it is known, it ends none" test "$(ended)" -eq "$known"
check "requests with it are refused" test "$(ask "$entry_2" boom last)" = 503
check "other requests are answered here" answered "$entry_1" calm four
check "and there" answered "$entry_2" calm five

# The first request may be sent again after a time. The engines end under no
# request any more, but are too slow to answer, which is no evidence.
for url in $(echo "$engines" | tr ',' ' '); do
	curl -s -o /dev/null -d '{"crash_on":"none","step_ms":400}' "$url/admin/faults"
done
deadline_ms=1500
is_sent() {
	[ "$(ask "$entry_1" calm "boom 1")" = 504 ]
}
is_held() {
	[ "$(ask "$entry_1" calm "boom 1")" = 503 ] &&
	    grep -q "engines terminated under" "$STAGE/answer"
}
eventually "a request that was refused is sent again" is_sent
for n in 1 2 3; do
	check "copy $n after it is refused" is_held
done

finish
