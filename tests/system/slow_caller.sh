#!/bin/sh
# A caller requests a large answer and stops reading. Back pressure must stall
# only its own stream: the entry and the sidecar buffer a bounded part of it,
# and other callers of the same entry, sidecar and service are answered
# meanwhile. When the caller resumes reading, it gets the complete answer.
set -u
BUILD=$1
# The address sanitizer keeps freed memory back, up to 256 MB by default, and the
# checks below would count it as buffered.
ASAN_OPTIONS=${ASAN_OPTIONS:+$ASAN_OPTIONS:}quarantine_size_mb=1
export ASAN_OPTIONS
. tests/system/lib.sh
small_fleet 1
answer_bytes=50000000
most_growth_kb=20000 # the flow control window, socket buffers and slack

rss_kb() { # PID
	awk '/^VmRSS/ { print $2 }' "/proc/$1/status"
}
grew_little() { # PID KB-BEFORE
	growth_kb=$(($(rss_kb "$1") - $2))
	echo "grew by $growth_kb KB"
	[ $growth_kb -lt $most_growth_kb ]
}
book() { # PATH
	curl -s -m 20 -H "Authorization: Bearer $caller_token" \
	    "$entry_1/services/cedar/book/$1"
}
received() {
	[ -s "$STAGE/large" ]
}

# Answers of about the window's size and well above, read without a pause.
answer_is_complete() { # BYTES
	curl -s -o /dev/null -d "{\"answer_bytes\":$1}" "$service_1/admin/faults"
	[ "$(book "whole-$1" | wc -c)" -gt "$1" ]
}
for bytes in 200000 262000 300000 1000000 5000000; do
	check "an answer of $bytes bytes is complete" answer_is_complete $bytes
done
curl -s -o /dev/null -d '{"answer_bytes":0}' "$service_1/admin/faults"

chat "$entry_1" >/dev/null
book warm >/dev/null
entry_before=$(rss_kb "$entry_pid_1")
side_before=$(rss_kb "$side_pid_1")
curl -s -o /dev/null -d "{\"answer_bytes\":$answer_bytes}" "$service_1/admin/faults"
# The rate limit makes sure that curl is stopped in the middle of the answer.
curl -s -m 120 --limit-rate 400k -H "Authorization: Bearer $caller_token" \
    "$entry_1/services/cedar/book/large" >"$STAGE/large" &
slow=$!
stage_pids="$stage_pids $slow"
eventually "the answer has begun" received
kill -STOP $slow
curl -s -o /dev/null -d '{"answer_bytes":0}' "$service_1/admin/faults"

answered=0
for i in $(seq 20); do
	book "other-$i" | grep -q body_sha256 && answered=$((answered + 1))
	chat "$entry_1" | grep -q choices && answered=$((answered + 1))
done
check "other callers are answered meanwhile" test "$answered" -eq 40
sleep 2 # time for an unbounded buffer to grow
check "the entry buffers a bounded part" grew_little "$entry_pid_1" "$entry_before"
check "the sidecar buffers a bounded part" grew_little "$side_pid_1" "$side_before"
check "the caller has not received the complete answer" test "$(wc -c <"$STAGE/large")" -lt $answer_bytes
kill -CONT $slow
kill -TERM $slow
wait $slow 2>/dev/null
check "the entry still answers" test -n "$(chat "$entry_1" | grep choices)"

curl -s -o /dev/null -d "{\"answer_bytes\":$answer_bytes}" "$service_1/admin/faults"
: >"$STAGE/large" # otherwise the first answer counts as the begin of this one
curl -s -m 60 -H "Authorization: Bearer $caller_token" \
    "$entry_1/services/cedar/book/again" >"$STAGE/large" &
slow=$!
stage_pids="$stage_pids $slow"
eventually "another large answer has begun" received
kill -STOP $slow
curl -s -o /dev/null -d '{"answer_bytes":0}' "$service_1/admin/faults"
chat "$entry_1" >/dev/null
kill -CONT $slow
wait $slow
check "a caller that resumes reading gets the complete answer" sh -c \
    "[ \$(wc -c <'$STAGE/large') -gt $answer_bytes ] && tail -c 3 '$STAGE/large' | grep -q '\"}'"
finish
