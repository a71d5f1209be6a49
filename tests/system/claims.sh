#!/bin/sh
# Requests with a caller's idempotency key must not run twice while entries and
# the object API fail. Each request is retried with the same key, mostly at the
# other entry. Runs are counted from the services' own logs.
set -u
BUILD=$1
. tests/system/lib.sh
small_fleet 2

# book ENTRY KEY PATH BODY [CURL OPTIONS...]: sets `status` to the HTTP status
# and writes the response head and body to files.
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

response_is() { # STATUS VERDICT: whether the last response has both
	[ "$status" = "$1" ] && grep -qi "^X-Verdict: $2" "$STAGE/head"
}

runs() { # PATH: number of runs at all services
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
check "a keyed request is answered" response_is 200 RAN
cp "$STAGE/answer" "$STAGE/first"
book "$entry_2" k1 one '{"dog":1}'
check "the retry gets the recorded outcome" response_is 200 RAN
check "and the body of the first response" cmp -s "$STAGE/answer" "$STAGE/first"
check "and is marked as recorded" grep -qi '^X-Recorded: 1' "$STAGE/head"
book "$entry_2" k1 one '{"dog":2}'
check "the key with another body is refused" response_is 409 NOT_RUN
check "it ran once" ran_once one

faults "$service_1" '{"refuse":2}'
for key2 in k2a k2b; do
	book "$entry_1" $key2 "two-$key2" x
	check "refused by a target, so not run: retried at another" response_is 200 RAN
	check "it ran once" ran_once "two-$key2"
done
faults "$service_1" '{"refuse":0}'

service_faults '{"drop_after_run":1}'
book "$entry_1" k3 three x
check "response lost: may have run" grep -qi '^X-Verdict: MAY_HAVE_RUN' "$STAGE/head"
service_faults '{"drop_after_run":0}'
book "$entry_2" k3 three x
check "the outcome of the retry is unknown" response_is 409 MAY_HAVE_RUN
check "it ran once" ran_once three

faults "$objects" '{"down":true}'
book "$entry_1" k4 four x
check "object API down: refused, not run" grep -qi '^X-Verdict: NOT_RUN' "$STAGE/head"
check "with a Retry-After header" grep -qi '^Retry-After:' "$STAGE/head"
check "nothing ran" test "$(runs four)" -eq 0
check "a request without a key is answered" test -n "$(chat "$entry_1" | grep choices)"
faults "$objects" '{"down":false}'
retry_runs() {
	book "$entry_2" k4 four x
	response_is 200 RAN
}
eventually "the key is free once the API is available again" retry_runs
check "it ran once" ran_once four

faults "$objects" '{"lose_answers":3}'
book "$entry_1" k5 five x
check "responses of the API lost: resolved by reading the object back" response_is 200 RAN
response_is 200 RAN || cat "$STAGE/head" "$STAGE/answer"
faults "$objects" '{"lose_answers":0}'
book "$entry_2" k5 five x
check "the retry gets the outcome" response_is 200 RAN
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
eventually "disconnected callers leave no descriptors open" few_more_files
book "$entry_1" k6 six x -m 1
check "the caller disconnected" test "$status" = 000
book "$entry_2" k6 six x
check "the retry gets the outcome of the first request" response_is 200 RAN
check "it ran once" ran_once six

service_faults '{"delay_ms":3000}'
book "$entry_1" k7 seven x &
request_pid=$!
sleep 1
kill -KILL "$entry_pid_1"
wait "$request_pid"
outcome_unknown() {
	book "$entry_2" k7 seven x
	grep -qi '^X-Verdict: MAY_HAVE_RUN' "$STAGE/head" && [ "$status" = 409 ]
}
eventually "the entry was killed: the outcome of the retry is unknown" outcome_unknown
sleep 3
check "it ran once" ran_once seven
service_faults '{"delay_ms":0}'
book "$entry_2" k8 eight x
check "other keys are served" response_is 200 RAN
check "granted claims are counted" counter_is_positive "$entry_2" claims_granted
finish
