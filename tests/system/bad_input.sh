#!/bin/sh
# A caller, an operator or an unknown peer sends input that is malformed, too
# large or not permitted. Each gets an error answer with verdict NOT_RUN, a
# counter grows, no state changes, and the next valid request is answered as
# before.
set -u
BUILD=$1
. tests/system/lib.sh
small_fleet 1

auth="Authorization: Bearer $caller_token"
chat_url=$entry_1/v1/chat/completions

# refused STATUS CURL-OPTIONS...: the answer has that status and verdict
# NOT_RUN.
refused() {
	want=$1
	shift
	got=$(curl -s -m 20 -o /dev/null -D "$STAGE/head" -w '%{http_code}' "$@")
	[ "$got" = "$want" ] && grep -qi '^X-Verdict: NOT_RUN' "$STAGE/head"
}

send_raw() { # PORT BYTES: sends the bytes unchanged over a TCP connection
	timeout 5 bash -c "exec 3<>/dev/tcp/127.0.0.1/$1 && printf '$2' >&3 && cat <&3" \
	    >/dev/null 2>&1
	return 0
}

# malformed_head BYTES: the HTTP parser rejects them before any handler runs.
malformed_head() {
	timeout 3 bash -c "exec 3<>/dev/tcp/127.0.0.1/${entry_1##*:} && \
	    printf '$1' >&3 && cat <&3" >"$STAGE/head" 2>/dev/null
	grep -q '^HTTP/1.[01] 400' "$STAGE/head" &&
	    grep -qi '^X-Verdict: NOT_RUN' "$STAGE/head"
}

check "input that is not HTTP" malformed_head 'GARBAGE\r\n\r\n'
check "malformed header" malformed_head \
    'GET / HTTP/1.1\r\nHost x\r\n\r\n'
check "malformed Content-Length" malformed_head \
    'POST / HTTP/1.1\r\nContent-Length: zz\r\n\r\n{}'
check "malformed heads are counted" counter_is_positive "$entry_1" caller_malformed
check "malformed JSON" refused 400 -H "$auth" -d '{"model":' "$chat_url"
check "JSON that is not an object" refused 400 -H "$auth" -d '[1]' "$chat_url"
# A parser that calls itself for each level would overflow the stack.
{
	printf '{"model":"cedar/care","messages":'
	head -c 900000 /dev/zero | tr '\0' '['
} >"$STAGE/nested"
check "JSON nested too deep" refused 400 -H "$auth" -H "Expect:" \
    --data-binary "@$STAGE/nested" "$chat_url"
check "settings: JSON nested too deep" refused 400 -H "Expect:" \
    -H "Authorization: Bearer $root_token" -X PUT --data-binary "@$STAGE/nested" \
    "$entry_1/v1/settings/cedar"
check "model without a workspace" refused 400 -H "$auth" -d '{"model":"care"}' "$chat_url"
check "model of a wrong type" refused 400 -H "$auth" -d '{"model":7}' "$chat_url"
check "unknown workspace" refused 404 -H "$auth" -d '{"model":"nobody/care"}' "$chat_url"
check "unknown model" refused 404 -H "$auth" -d '{"model":"cedar/none"}' "$chat_url"
check "unknown service" refused 404 -H "$auth" "$entry_1/services/cedar/none/x"
check "unknown path" refused 404 -H "$auth" "$entry_1/nothing"
check "wrong method" refused 400 -H "$auth" "$chat_url"
check "no token" refused 401 -d '{"model":"cedar/care"}' "$chat_url"
check "wrong token" refused 401 -H "Authorization: Bearer x" \
    -d '{"model":"cedar/care"}' "$chat_url"
check "deadline that is not a number" refused 400 -H "$auth" \
    -H "X-Deadline-Ms: soon" -d '{"model":"cedar/care"}' "$chat_url"
check "a deadline above the workspace's maximum is lowered to it" sh -c \
    "curl -fs -H '$auth' -H 'X-Deadline-Ms: 999999999' \
    -d '{\"model\":\"cedar/care\",\"max_tokens\":2}' '$chat_url' | grep -q content"
check "idempotency key too long" refused 400 -H "$auth" \
    -H "Idempotency-Key: $(printf 'k%.0s' $(seq 100))" \
    -d '{"model":"cedar/care"}' "$chat_url"
head -c 1200000 /dev/zero | tr '\0' x >"$STAGE/large"
check "oversize body with Content-Length" refused 413 -H "$auth" -H "Expect:" \
    --data-binary "@$STAGE/large" "$chat_url"
check "oversize body in chunked encoding" refused 413 -H "$auth" -H "Expect:" \
    -H "Transfer-Encoding: chunked" --data-binary "@$STAGE/large" "$chat_url"
check "refused callers are counted" counter_is_positive "$entry_1" caller_refused
check "wrong tokens are counted" counter_is_positive "$entry_1" caller_wrong_token

settings=$entry_1/v1/settings/cedar
root_auth="Authorization: Bearer $root_token"
before=$(curl -s -H "$root_auth" "$settings")
check "settings: wrong token" refused 401 -H "Authorization: Bearer x" "$settings"
check "settings: a workspace's token gives no access to another branch" refused 401 \
    -H "Authorization: Bearer $team_token" "$entry_1/v1/settings/platform"
check "settings: body is not JSON" refused 400 -H "$root_auth" -X PUT -d 'x' "$settings"
check "settings: operation id missing" refused 400 -H "$root_auth" -X PUT \
    -d '{"if_version":1,"yaml":"team: cedar"}' "$settings"
check "settings: malformed YAML" refused 400 -H "$root_auth" -X PUT \
    -d '{"op":"a","if_version":1,"yaml":"team: [cedar"}' "$settings"
check "settings: unknown key" refused 400 -H "$root_auth" -X PUT \
    -d '{"op":"b","if_version":1,"yaml":"team: cedar\ncolour: red"}' "$settings"
check "settings: nothing changed" [ "$before" = "$(curl -s -H "$root_auth" "$settings")" ]
check "refused operator requests are counted" counter_is_positive "$entry_1" ops_refused

operate settings get cedar >"$STAGE/now.yaml"
printf 'team: cedar\nmodels:\n  care: {verzions: {}}\n' >"$STAGE/bad.yaml"
check "command: refused with file, line and key" sh -c "'$bin/entry/currantchute' \
    settings check '$STAGE/bad.yaml' 2>&1 | grep -q 'bad.yaml:3: key .*verzions'"

send_raw "$peer_a" '\000\000\000\005\335\177\377\377\377'
send_raw "$peer_a" '\177\377\377\377'
send_raw "$side_peer_1" 'GET / HTTP/1.1\r\n\r\n'
check "malformed frames are counted" counter_is_positive "$entry_1" conn_bad_frames
check "oversize frames are counted" counter_is_positive "$entry_1" conn_oversize_frames

check "command: a valid file, as JSON" sh -c "'$bin/entry/currantchute' --json \
    settings check '$STAGE/cedar.yaml' | grep -q '\"good\" : true'"
check "command: a digest, as JSON" sh -c "'$bin/entry/currantchute' --json \
    model digest '$STAGE/cedar.yaml' | grep -q '\"root\" : \"'"
check "command: a change, as JSON" sh -c "'$bin/entry/currantchute' --json \
    --entry '$entry_1' --token '$root_token' settings set cedar '$STAGE/now.yaml' |
    grep -q '\"in_force\" : '"
check "a valid request is answered as before" sh -c \
    "curl -fs -H '$auth' -d '{\"model\":\"cedar/care\",\"max_tokens\":2}' '$chat_url' | grep -q '$(printf %.8s "$root"):'"
finish
