/* Writes the answer to the caller: head, body chunks, end, errors. */

#include <string.h>

#include "entry/request.h"

static SoupMessageBody *
response_body(struct request *r)
{
	return soup_server_message_get_response_body(r->message);
}

static void
set_common_headers(struct request *r, enum verdict verdict)
{
	SoupMessageHeaders *h =
	    soup_server_message_get_response_headers(r->message);
	char digest[DIGEST_HEX], attempts[16];

	g_snprintf(attempts, sizeof(attempts), "%u", r->att.facts.attempts);
	soup_message_headers_replace(h, "X-Request-Id", r->id);
	soup_message_headers_replace(h, "X-Attempts", attempts);
	soup_message_headers_replace(h, "X-Verdict", verdict_name(verdict));
	if (!digest_is_none(&r->head.loaded)) {
		digest_to_hex(&r->head.loaded, digest);
		soup_message_headers_replace(h, "X-Model-Digest", digest);
	}
}

static void
set_content_type(struct request *r)
{
	soup_message_headers_replace(
	    soup_server_message_get_response_headers(r->message),
	    "Content-Type", r->type);
}

/* The head is sent while the request still runs, so its verdict can only be
 * MAY_HAVE_RUN; an answer that is sent when complete has RAN. */
void
answer_begin(struct request *r)
{
	r->head_sent = true;
	if (r->exchange_over)
		return;
	soup_server_message_set_status(r->message, (guint)r->head.status, NULL);
	set_common_headers(r, VERDICT_MAY_HAVE_RUN);
	set_content_type(r);
	soup_message_headers_set_encoding(
	    soup_server_message_get_response_headers(r->message),
	    SOUP_ENCODING_CHUNKED);
	soup_message_body_set_accumulate(response_body(r), FALSE);
}

void
answer_append(struct request *r, const uint8_t *bytes, size_t len)
{
	if (len == 0 || r->exchange_over)
		return;
	soup_message_body_append(
	    response_body(r), SOUP_MEMORY_COPY, bytes, len);
	soup_server_message_unpause(r->message);
}

void
answer_finish(struct request *r)
{
	request_count(r, "request_answered");
	r->answer_sent = true;
	if (r->exchange_over)
		return;
	if (r->head_sent) {
		soup_message_body_complete(response_body(r));
	} else {
		soup_server_message_set_status(
		    r->message, (guint)r->head.status, NULL);
		set_common_headers(r, VERDICT_RAN);
		set_content_type(r);
		soup_message_body_append(response_body(r), SOUP_MEMORY_COPY,
		    r->buffer->data, r->buffer->len);
		soup_message_body_complete(response_body(r));
	}
	soup_server_message_unpause(r->message);
}

/* A recorded answer is repeated byte for byte. Of one that was recorded as a
 * digest only the caller gets the digest, to compare with what it received. */
void
answer_recorded(struct request *r)
{
	const struct clm_outcome *o = r->recorded;
	SoupMessageHeaders *headers;
	char hex[DIGEST_HEX], *text;

	request_count(r, "request_recorded");
	r->answer_sent = true;
	if (r->exchange_over)
		return;
	headers = soup_server_message_get_response_headers(r->message);
	set_common_headers(r, VERDICT_RAN);
	soup_message_headers_replace(headers, "X-Recorded", "1");
	soup_message_headers_replace(headers, "Content-Type",
	    o->answer != NULL ? o->type : "application/json");
	digest_to_hex(&o->digest, hex);
	text = o->answer != NULL
	    ? g_strdup(o->answer)
	    : g_strdup_printf(
		  "{\"recorded\":{\"status\":%u,\"sha256\":\"%s\"}}\n",
		  o->status, hex);
	soup_server_message_set_status(r->message, o->status, NULL);
	soup_message_body_append(
	    response_body(r), SOUP_MEMORY_TAKE, text, strlen(text));
	soup_message_body_complete(response_body(r));
	soup_server_message_unpause(r->message);
}

void
answer_fail(struct request *r)
{
	/* If any attempt may have run, so may the request, even when a later
	 * attempt was refused for certain. */
	if (r->att.may_have_run)
		r->last_err.verdict = VERDICT_MAY_HAVE_RUN;
	request_count(r,
	    r->last_err.verdict == VERDICT_NOT_RUN ? "request_not_run"
						   : "request_may_have_run");
	r->answer_sent = true;
	if (r->exchange_over)
		return;
	set_common_headers(r, r->last_err.verdict);
	answer_error(r->message, &r->last_err);
	soup_server_message_unpause(r->message);
}

/*
 * The answer failed after a part of it was sent. It must not look complete: an
 * event stream gets an error event and no [DONE]; for anything else the
 * connection is closed without the terminator that HTTP requires.
 */
void
answer_abort(struct request *r)
{
	GSocket *socket;
	char *event;

	request_count(r, "request_cut");
	tl_add(r->entry->proc.timeline, "answer_cut", r->id, "%s",
	    r->last_err.message);
	r->answer_sent = true;
	if (r->exchange_over)
		return;
	if (!r->streamed) {
		socket = soup_server_message_get_socket(r->message);
		if (socket != NULL)
			g_socket_shutdown(socket, TRUE, TRUE, NULL);
		soup_server_message_unpause(r->message);
		return;
	}
	event = g_strdup_printf("event: error\ndata: {\"error\":{\"code\":"
				"\"%s\",\"message\":\"the answer broke off\","
				"\"verdict\":\"%s\"}}\n\n",
	    err_code_name(r->last_err.code),
	    verdict_name(VERDICT_MAY_HAVE_RUN));
	answer_append(r, (const uint8_t *)event, strlen(event));
	soup_message_body_complete(response_body(r));
	soup_server_message_unpause(r->message);
	g_free(event);
}

/* A paused message keeps its connection open for ever, because libsoup no
 * longer polls its socket. Unpaused, it ends with the first write. */
void
answer_release(struct request *r)
{
	if (r->exchange_over || r->answer_sent)
		return;
	soup_server_message_set_status(
	    r->message, SOUP_STATUS_SERVICE_UNAVAILABLE, NULL);
	soup_message_headers_replace(
	    soup_server_message_get_response_headers(r->message), "Connection",
	    "close");
	soup_server_message_unpause(r->message);
}
