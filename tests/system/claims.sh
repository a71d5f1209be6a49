#!/bin/sh
# Requests that must not run twice, with a caller's key, while entries and the
# object API fail. Each is tried again with the same key, mostly at the other
# entry. What ran is counted from the services' own logs.
set -u
BUILD=$1
. tests/system/lib.sh
small_fleet 2

# book ENTRY KEY PATH BODY [CURL OPTIONS...]: status into `status`, head and
# answer into files.
book() {
	at=$1
	key_=$2
	path_=$3
	body_=$4
	shift 4
	status=$(curl -s -m 30 -o "$STAGE/answer" -D "$STAGE/head" \
	    -w '%{http_code}' -H "Authorization: Bearer $caller_token" \
	    -H "Idempotency-Key: $key_" "$@" -d "$body_" \
	    "$at/services/cedar/book/$path_")
}

said() { # STATUS VERDICT: of the last answer
	[ "$status" = "$1" ] && grep -qi "^X-Verdict: $2" "$STAGE/head"
}

runs() { # PATH: at all services
	for url in "$service_1" "$service_2"; do
		curl -s "$url/admin/log"
	done | grep -o "\"path\": *\"/$1\"" | wc -l
}

ran_once() {
	[ "$(runs "$1")" -eq 1 ]
}

faults() { # URL JSON
	curl -s -o /dev/null -d "$2" "$1/admin/faults"
}

service_faults() {
	faults "$service_1" "$1"
	faults "$service_2" "$1"
}

book "$entry_1" k1 one '{"dog":1}'
check "a keyed request is answered" said 200 RAN
cp "$STAGE/answer" "$STAGE/first"
book "$entry_2" k1 one '{"dog":1}'
check "the second try gets the recorded outcome" said 200 RAN
check "and the answer of the first" cmp -s "$STAGE/answer" "$STAGE/first"
check "and says so" grep -qi '^X-Recorded: 1' "$STAGE/head"
book "$entry_2" k1 one '{"dog":2}'
check "the key with another body is refused" said 409 NOT_RUN
check "it ran once" ran_once one

faults "$service_1" '{"refuse":2}'
for key2 in k2a k2b; do
	book "$entry_1" $key2 "two-$key2" x
	check "refused by a target, not run: tried elsewhere" said 200 RAN
	check "it ran once" ran_once "two-$key2"
done
faults "$service_1" '{"refuse":0}'

service_faults '{"drop_after_run":1}'
book "$entry_1" k3 three x
check "an answer lost: may have run" grep -qi '^X-Verdict: MAY_HAVE_RUN' "$STAGE/head"
service_faults '{"drop_after_run":0}'
book "$entry_2" k3 three x
check "the second try is in doubt" said 409 MAY_HAVE_RUN
check "it ran once" ran_once three

faults "$objects" '{"down":true}'
book "$entry_1" k4 four x
check "object API down: refused, not run" grep -qi '^X-Verdict: NOT_RUN' "$STAGE/head"
check "with advice when to come back" grep -qi '^Retry-After:' "$STAGE/head"
check "nothing ran" test "$(runs four)" -eq 0
check "without a key the work goes on" test -n "$(chat "$entry_1" | grep choices)"
faults "$objects" '{"down":false}'
again() {
	book "$entry_2" k4 four x
	said 200 RAN
}
eventually "the key is free once the API is back" again
check "it ran once" ran_once four

faults "$objects" '{"lose_answers":3}'
book "$entry_1" k5 five x
check "answers of the API lost: settled by reading back" said 200 RAN
faults "$objects" '{"lose_answers":0}'
book "$entry_2" k5 five x
check "the second try gets the outcome" said 200 RAN
check "it ran once" ran_once five

service_faults '{"delay_ms":1500}'
open_files() {
	find "/proc/$entry_pid_1/fd" -type l | wc -l
}
few_more_files() {
	[ "$(open_files)" -lt $((files_before + 10)) ]
}
files_before=$(open_files)
for _ in $(seq 30); do
	curl -s -m 0.3 -o /dev/null -H "Authorization: Bearer $caller_token" \
	    -d x "$entry_1/services/cedar/book/gone" &
	callers="${callers-} $!"
done
# shellcheck disable=SC2086
wait $callers
eventually "callers that hung up leave nothing open" few_more_files
book "$entry_1" k6 six x -m 1
check "the caller hung up" test "$status" = 000
book "$entry_2" k6 six x
check "the second try gets the outcome of the first" said 200 RAN
check "it ran once" ran_once six

service_faults '{"delay_ms":3000}'
book "$entry_1" k7 seven x &
tried=$!
sleep 1
kill -KILL "$entry_pid_1"
wait "$tried"
in_doubt() {
	book "$entry_2" k7 seven x
	grep -qi '^X-Verdict: MAY_HAVE_RUN' "$STAGE/head" && [ "$status" = 409 ]
}
eventually "the entry died: the second try is in doubt" in_doubt
sleep 3
check "it ran once" ran_once seven
service_faults '{"delay_ms":0}'
book "$entry_2" k8 eight x
check "other keys go on" said 200 RAN
check "grants were counted" counter_is_positive "$entry_2" claims_granted
finish
