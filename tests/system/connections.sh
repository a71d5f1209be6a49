#!/bin/sh
# Callers connect in a burst while the entry is busy, and abandon connections in
# every state. The listen queue must hold the whole burst (a SYN that finds it
# full is retried only after a second), and abandoned connections must be
# closed: otherwise the entry runs out of descriptors after about a thousand
# callers.
set -u
BUILD=$1
. tests/system/lib.sh
small_fleet 1
entry_port=${entry_1##*:}

open_files() {
	find "/proc/$entry_pid_1/fd" -type l | wc -l
}
few_more_files() { # compared with files_before
	[ "$(open_files)" -lt $((files_before + 10)) ]
}
# Length of the listen queue: field rx_queue of the listening socket.
queued() {
	awk -v port=":$(printf %04X "$entry_port")" \
	    '$2 ~ port "$" && $4 == "0A" { split($5, q, ":"); print q[2] }' \
	    /proc/net/tcp
}
many_queued() {
	[ $((0x$(queued))) -ge 100 ]
}

chat "$entry_1" >/dev/null
files_before=$(open_files)

kill -STOP "$entry_pid_1"
callers=
for i in $(seq 100); do
	curl -s -m 60 -o /dev/null -w '%{http_code}\n' "$entry_1/healthz" \
	    >>"$STAGE/codes" &
	callers="$callers $!"
done
eventually "a burst of callers waits in the listen queue" many_queued
kill -CONT "$entry_pid_1"
# shellcheck disable=SC2086
wait $callers
check "each of them is answered" test "$(grep -c '^200$' "$STAGE/codes")" -eq 100
eventually "they leave no descriptors open" few_more_files

# Abandons one connection each: after an answer, within a request head, and
# before the first byte.
for _ in $(seq 30); do
	timeout 20 bash -c "exec 3<>/dev/tcp/127.0.0.1/$entry_port &&
	    printf 'GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n' >&3 &&
	    head -c 20 <&3 >/dev/null"
	timeout 20 bash -c "exec 3<>/dev/tcp/127.0.0.1/$entry_port &&
	    printf 'GET /hea' >&3"
	timeout 20 bash -c "exec 3<>/dev/tcp/127.0.0.1/$entry_port"
done
eventually "connections abandoned by callers are closed" few_more_files
check "a request is answered as before" sh -c \
    "curl -fs '$entry_1/healthz' | grep -q ready"
finish
