#!/bin/sh
# Targets die or lose answers while they work. A stream that has begun ends in
# a visible error and is never continued by another engine; an answer of which
# the caller has seen nothing is run again elsewhere; what must not run twice
# does not, and its caller is told that it may have run.
set -u
BUILD=$1
. tests/system/lib.sh
small_fleet 3

slow() { # MS a step
	for url in $(echo "$engines" | tr ',' ' '); do
		curl -s -o /dev/null -d "{\"step_ms\":$1}" "$url/admin/faults"
	done
}
runs_of() { # REQUEST-ID: at the engines that live
	for url in $(echo "$engines" | tr ',' ' '); do
		curl -s "$url/admin/log"
	done | grep -o "\"request_id\": *\"$1\"" | wc -l
}
# The engine that runs something now, as its number into `busy`.
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
post() { # PATH [CURL OPTIONS...]: status into `status`
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
# Connections that are kept to the services.
kept() {
	for url in "$service_1" "$service_2" "$service_3"; do
		awk -v port=":$(printf %04X "${url##*:}")" \
		    '$3 ~ port "$" && $4 == "01"' /proc/net/tcp
	done | wc -l
}
none_kept() {
	[ "$(kept)" -eq 0 ]
}

# Not a stream: the caller sees no trace of the engine that died.
slow 100
curl -s -m 60 -D "$STAGE/head" -H "Authorization: Bearer $caller_token" \
    -d '{"model":"cedar/care","max_tokens":30,"messages":[]}' \
    "$entry_1/v1/chat/completions" >"$STAGE/whole" &
asked=$!
eventually "an engine runs it" find_busy
kill_busy
wait $asked
id=$(sed -n 's/^X-Request-Id: \([^\r]*\).*/\1/ip' "$STAGE/head" | tr -d '\r')
check "the whole answer came" grep -q ":$id:29 " "$STAGE/whole"
check "verdict RAN" verdict_is RAN
check "after a second attempt" grep -qi '^X-Attempts: 2' "$STAGE/head"
check "counted" counter_is_positive "$entry_1" request_retries

# A stream that has begun.
curl -s -m 60 -N -D "$STAGE/head" -H "Authorization: Bearer $caller_token" \
    -d '{"model":"cedar/care","stream":true,"max_tokens":50,"messages":[]}' \
    "$entry_1/v1/chat/completions" >"$STAGE/stream" &
asked=$!
begun() {
	[ "$(grep -c '"content"' "$STAGE/stream")" -ge 3 ]
}
eventually "tokens have reached the caller" begun
check "an engine runs it" find_busy
kill_busy
wait $asked
tokens=$(grep -c '"content"' "$STAGE/stream")
id=$(sed -n 's/^X-Request-Id: \([^\r]*\).*/\1/ip' "$STAGE/head" | tr -d '\r')
check "the caller sees an error" grep -q '^event: error' "$STAGE/stream"
check "which says that it may have run" grep -q '"verdict":"MAY_HAVE_RUN"' "$STAGE/stream"
check "and no end of a whole answer" test "$(grep -c '\[DONE\]' "$STAGE/stream")" -eq 0
grep -o ":$id:[0-9]* " "$STAGE/stream" | cut -d : -f 3 | tr -d ' ' >"$STAGE/indices"
seq 0 $((tokens - 1)) >"$STAGE/wanted"
check "the tokens are the first ones, in order" cmp -s "$STAGE/indices" "$STAGE/wanted"
check "fewer than were asked for" test "$tokens" -lt 50
check "no other engine has run it" test "$(runs_of "$id")" -eq 0
slow 7
check "the engine that is left answers" test -n "$(chat "$entry_1" | grep choices)"

# Plain services. A POST over a kept connection that the service is just
# closing would be MAY_HAVE_RUN for nothing: each has a connection of its own.
# Posting goes on, as a kept one would be closed after some idle time too.
post_and_none_kept() {
	post own -d x
	none_kept
}
eventually "no connection is kept after a POST" post_and_none_kept
for n in $(seq 12); do
	post "kept-$n"
done
check "one is after a GET" test "$(kept)" -gt 0

service_faults '{"drop_after_run":1}'
post lost -d x
check "its answer lost after the run: may have run" verdict_is MAY_HAVE_RUN
check "refused visibly" test "$status" -ge 500
check "it ran once" test "$(service_runs lost)" -eq 1
service_faults '{"drop_after_run":0,"drop_before_run":1}'
post dropped -d x
check "dropped before the run, which nobody can know" verdict_is MAY_HAVE_RUN
check "it is not tried again" test "$(service_runs dropped)" -eq 0
service_faults '{"drop_before_run":0}'
# One service only fails; requests follow until one has met it.
fails_once() { # FAULT METHOD: each is answered, one by a second attempt
	curl -s -o /dev/null -d "{\"$1\":1}" "$service_1/admin/faults"
	for n in $(seq 150); do
		post "$1-$n" -X "$2"
		[ "$status" = 200 ] && verdict_is RAN || return 1
		[ "$(service_runs "$1-$n")" -eq 1 ] || return 1
		grep -qi '^X-Attempts: 2' "$STAGE/head" && return 0
	done
	return 1
}
check "a GET dropped before the run is tried again" fails_once drop_before_run GET
check "a POST refused, so not run, is tried elsewhere" fails_once refuse POST

finish
