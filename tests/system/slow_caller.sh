#!/bin/sh
# A caller asks for a large answer and stops reading. Its own stream waits at
# the service; the entry and the side hold a bounded part of it, and the other
# callers of the same entry, side and service are answered meanwhile. When it
# reads on it gets the whole answer.
set -u
BUILD=$1
. tests/system/lib.sh
small_fleet 1
answer_bytes=50000000
most_growth_kb=20000 # the window, socket buffers and some slack

rss_kb() { # PID
	awk '/^VmRSS/ { print $2 }' "/proc/$1/status"
}
grew_little() { # PID KB-BEFORE
	[ $(($(rss_kb "$1") - $2)) -lt $most_growth_kb ]
}
book() { # PATH
	curl -s -m 20 -H "Authorization: Bearer $caller_token" \
	    "$entry_1/services/cedar/book/$1"
}
received() {
	[ -s "$STAGE/large" ]
}

# Answers about the size of the window and well above, read at once.
whole() { # BYTES
	curl -s -o /dev/null -d "{\"answer_bytes\":$1}" "$service_1/admin/faults"
	[ "$(book "whole-$1" | wc -c)" -gt "$1" ]
}
for bytes in 200000 262000 300000 1000000 5000000; do
	check "an answer of $bytes bytes comes whole" whole $bytes
done
curl -s -o /dev/null -d '{"answer_bytes":0}' "$service_1/admin/faults"

chat "$entry_1" >/dev/null
book warm >/dev/null
entry_before=$(rss_kb "$entry_pid_1")
side_before=$(rss_kb "$side_pid_1")
curl -s -o /dev/null -d "{\"answer_bytes\":$answer_bytes}" "$service_1/admin/faults"
# The rate makes sure that it is caught in the middle.
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
check "others are answered meanwhile" test "$answered" -eq 40
sleep 2 # time for a part to grow that is not bounded
check "the entry holds a bounded part" grew_little "$entry_pid_1" "$entry_before"
check "the side holds a bounded part" grew_little "$side_pid_1" "$side_before"
check "the caller has not got it all" test "$(wc -c <"$STAGE/large")" -lt $answer_bytes
kill -CONT $slow
kill -TERM $slow
wait $slow 2>/dev/null
check "then the entry still answers" test -n "$(chat "$entry_1" | grep choices)"

curl -s -o /dev/null -d "{\"answer_bytes\":$answer_bytes}" "$service_1/admin/faults"
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
check "one that reads on gets all of it" sh -c \
    "[ \$(wc -c <'$STAGE/large') -gt $answer_bytes ] && tail -c 3 '$STAGE/large' | grep -q '\"}'"
finish
