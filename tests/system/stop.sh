#!/bin/sh
# Guards against callers whose requests are lost in a planned stop of a gateway:
# a request that arrived over a kept connection before the gateway ends, and an
# answer that its caller is still reading.
set -u
BUILD=$1
. tests/system/lib.sh
small_fleet 1

CONNECTIONS=10
entry_port=${entry_1##*:}
head='GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n'
book='GET /services/cedar/book/late HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer '$caller_token'\r\n\r\n'
# Opens a connection, sends FIRST, reads its answer if it is not empty, and sends
# LATE when the file `go` exists.
ask_late() { # NUMBER FIRST LATE
	timeout 30 bash -c "exec 3<>/dev/tcp/127.0.0.1/$entry_port
	    printf '$2' >&3
	    [ -z '$2' ] || read -r first <&3
	    touch $STAGE/open-$1
	    while [ ! -e $STAGE/go ]; do sleep 0.05; done
	    printf '$3' >&3
	    touch $STAGE/sent-$1
	    cat <&3 >$STAGE/late-$1" 2>/dev/null
}
all() { # NAME COUNT: so many connections have written their files of this name
	[ "$(find "$STAGE" -name "$1-*" | wc -l)" -eq "$2" ]
}
answered() {
	cat "$STAGE"/late-* | grep -c 'body_sha256\|draining'
}
faults() {
	curl -s -o /dev/null -d "$1" "$service_1/admin/faults"
}
book() { # ENTRY PATH [CURL OPTIONS...]
	url=$1/services/cedar/book/$2
	shift 2
	curl -s -m 60 -H "Authorization: Bearer $caller_token" "$@" "$url"
}
runs() { # ENTRY
	[ "$(counter "$1" entry_open_requests)" -eq 1 ]
}
leaving() { # ENTRY
	curl -s "$1/healthz" | grep -q draining
}
ended() { # PID
	! kill -0 "$1" 2>/dev/null
}

# The gateway stops as soon as its last request has ended. It stands still while
# that happens, and requests arrive over kept connections.
faults '{"delay_ms":2500}'
late=
for n in $(seq $((CONNECTIONS / 2))); do
	ask_late "$n" "$head" "$head" &
	late="$late $!"
done
eventually "connections are kept" all open $((CONNECTIONS / 2))
book "$entry_1" last >"$STAGE/last" &
last=$!
eventually "the last request runs" runs "$entry_1"
kill -TERM "$entry_pid_1"
for n in $(seq $((CONNECTIONS / 2 + 1)) $CONNECTIONS); do
	ask_late "$n" "" "$book" &
	late="$late $!"
done
eventually "others are new" all open $CONNECTIONS
faults '{"delay_ms":100}'
sleep 1
kill -STOP "$entry_pid_1"
touch "$STAGE/go"
eventually "requests are sent" all sent $CONNECTIONS
sleep 1.5
kill -CONT "$entry_pid_1"
# shellcheck disable=SC2086
wait $late $last
echo "$(answered) of $CONNECTIONS answered"
check "the last request is answered" grep -q body_sha256 "$STAGE/last"
check "requests that arrived before the end are answered" test "$(answered)" -eq $CONNECTIONS
check "their connections are closed in order" test \
    "$(cat "$STAGE"/late-* | grep -ci '^Connection: close')" -eq $CONNECTIONS
eventually "the gateway has stopped" ended "$entry_pid_1"

# The caller reads its answer slowly, so that the gateway has received all of it
# long before.
faults '{"delay_ms":0,"answer_bytes":14000000}'
book "$entry_2" slow --limit-rate 2M >"$STAGE/slow" &
slow=$!
eventually "the answer has begun" test -s "$STAGE/slow"
kill -TERM "$entry_pid_2"
check "the other gateway is leaving" leaving "$entry_2"
# A caller that goes on sending must not hold the gateway up.
while curl -s -o /dev/null "$entry_2/healthz"; do :; done &
wait $slow
check "a caller that reads slowly gets its whole answer" test \
    "$(wc -c <"$STAGE/slow")" -gt 14000000
eventually "the other gateway has stopped" ended "$entry_pid_2"
finish
