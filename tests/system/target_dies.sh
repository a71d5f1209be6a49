#!/bin/sh
# Targets terminate or lose answers while they run requests. A stream that has
# begun ends in an error event and is never continued by another engine; a
# request of whose answer the caller has received nothing is retried at another
# target; a request that must not run twice does not, and its caller gets
# verdict MAY_HAVE_RUN.
set -u
BUILD=$1
. tests/system/lib.sh
small_fleet 3

set_step_ms() { # MS: the time of each step
	for url in $(echo "$engines" | tr ',' ' '); do
		curl -s -o /dev/null -d "{\"step_ms\":$1}" "$url/admin/faults"
	done
}
runs_of() { # REQUEST-ID: number of runs at the engines that are alive
	for url in $(echo "$engines" | tr ',' ' '); do
		curl -s "$url/admin/log"
	done | grep -o "\"request_id\": *\"$1\"" | wc -l
}
# Sets `busy` to the number of an engine that is running a request.
find_busy() {
	for i in 1 2 3; do
		eval "url=\$engine_$i"
		curl -s -m 5 "$url/admin/log" | grep -q '"state": *"running"' ||
		    continue
		busy=$i
		return 0
	done
	return 1
}
kill_busy() {
	eval "kill -KILL \$engine_pid_$busy dead=\$engine_$busy"
	engines=$(echo "$engines" | tr ',' '\n' | grep -vx "$dead" | paste -sd ,)
}
post() { # PATH [CURL OPTIONS...]: sets `status` to the HTTP status
	path_=$1
	shift
	status=$(curl -s -m 30 -o "$STAGE/answer" -D "$STAGE/head" \
	    -w '%{http_code}' -H "Authorization: Bearer $caller_token" "$@" \
	    "$entry_1/services/cedar/book/$path_")
}
verdict_is() {
	grep -qi "^X-Verdict: $1" "$STAGE/head"
}
service_runs() { # PATH
	for url in "$service_1" "$service_2" "$service_3"; do
		curl -s "$url/admin/log"
	done | grep -o "\"path\": *\"/$1\"" | wc -l
}
service_faults() {
	for url in "$service_1" "$service_2" "$service_3"; do
		curl -s -o /dev/null -d "$1" "$url/admin/faults"
	done
}
# Number of connections retained to the services.
retained() {
	for url in "$service_1" "$service_2" "$service_3"; do
		awk -v port=":$(printf %04X "${url##*:}")" \
		    '$3 ~ port "$" && $4 == "01"' /proc/net/tcp
	done | wc -l
}
none_retained() {
	[ "$(retained)" -eq 0 ]
}

# Not a stream: the termination of the engine is invisible to the caller.
set_step_ms 100
curl -s -m 60 -D "$STAGE/head" -H "Authorization: Bearer $caller_token" \
    -d '{"model":"cedar/care","max_tokens":30,"messages":[]}' \
    "$entry_1/v1/chat/completions" >"$STAGE/whole" &
request_pid=$!
eventually "an engine runs the request" find_busy
kill_busy
wait $request_pid
id=$(sed -n 's/^X-Request-Id: \([^\r]*\).*/\1/ip' "$STAGE/head" | tr -d '\r')
check "the answer is complete" grep -q ":$id:29 " "$STAGE/whole"
check "verdict RAN" verdict_is RAN
check "after a second attempt" grep -qi '^X-Attempts: 2' "$STAGE/head"
check "the retry is counted" counter_is_positive "$entry_1" request_retries

# A stream that has begun.
curl -s -m 60 -N -D "$STAGE/head" -H "Authorization: Bearer $caller_token" \
    -d '{"model":"cedar/care","stream":true,"max_tokens":50,"messages":[]}' \
    "$entry_1/v1/chat/completions" >"$STAGE/stream" &
request_pid=$!
begun() {
	[ "$(grep -c '"content"' "$STAGE/stream")" -ge 3 ]
}
eventually "tokens have reached the caller" begun
check "an engine runs the request" find_busy
kill_busy
wait $request_pid
tokens=$(grep -c '"content"' "$STAGE/stream")
id=$(sed -n 's/^X-Request-Id: \([^\r]*\).*/\1/ip' "$STAGE/head" | tr -d '\r')
check "the caller sees an error" grep -q '^event: error' "$STAGE/stream"
check "the error has verdict MAY_HAVE_RUN" grep -q '"verdict":"MAY_HAVE_RUN"' "$STAGE/stream"
check "the stream has no [DONE] event" test "$(grep -c '\[DONE\]' "$STAGE/stream")" -eq 0
grep -o ":$id:[0-9]* " "$STAGE/stream" | cut -d : -f 3 | tr -d ' ' >"$STAGE/indices"
seq 0 $((tokens - 1)) >"$STAGE/wanted"
check "the tokens are the first ones, in order" cmp -s "$STAGE/indices" "$STAGE/wanted"
check "fewer than were requested" test "$tokens" -lt 50
check "no other engine has run it" test "$(runs_of "$id")" -eq 0
set_step_ms 7
check "the remaining engine answers" test -n "$(chat "$entry_1" | grep choices)"

# Plain services. A POST over a retained connection that the service is just
# closing would needlessly get MAY_HAVE_RUN, so each POST opens a new
# connection. The check repeats the POST, since a retained connection would also
# be closed after some idle time.
post_and_none_retained() {
	post own -d x
	none_retained
}
eventually "no connection is retained after a POST" post_and_none_retained
for n in $(seq 12); do
	post "kept-$n"
done
check "a connection is retained after a GET" test "$(retained)" -gt 0

service_faults '{"drop_after_run":1}'
post lost -d x
check "answer lost after the run: may have run" verdict_is MAY_HAVE_RUN
check "the caller gets an error status" test "$status" -ge 500
check "it ran once" test "$(service_runs lost)" -eq 1
service_faults '{"drop_after_run":0,"drop_before_run":1}'
post dropped -d x
check "dropped before the run, which the sender cannot tell: may have run" verdict_is MAY_HAVE_RUN
check "it is not retried" test "$(service_runs dropped)" -eq 0
service_faults '{"drop_before_run":0}'
# answered_by_retry FAULT METHOD: each request is answered, one of them by a
# second attempt. Only one service has the fault; requests are sent until one
# reaches it.
answered_by_retry() {
	curl -s -o /dev/null -d "{\"$1\":1}" "$service_1/admin/faults"
	for n in $(seq 150); do
		post "$1-$n" -X "$2"
		[ "$status" = 200 ] && verdict_is RAN || return 1
		[ "$(service_runs "$1-$n")" -eq 1 ] || return 1
		grep -qi '^X-Attempts: 2' "$STAGE/head" && return 0
	done
	return 1
}
check "a GET dropped before the run is retried" answered_by_retry drop_before_run GET
check "a POST refused, so not run, is retried at another service" answered_by_retry refuse POST

finish
