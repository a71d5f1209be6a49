/* What a caller gets: head, pieces, end, errors. */

#include <string.h>

#include "entry/request.h"

static SoupMessageBody *
body_of(struct request *r)
{
	return soup_server_message_get_response_body(r->message);
}

static void
put_headers(struct request *r, enum verdict verdict)
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
put_type(struct request *r)
{
	soup_message_headers_replace(
	    soup_server_message_get_response_headers(r->message),
	    "Content-Type", r->type);
}

/* While it runs the verdict can only be MAY_HAVE_RUN; the whole answer says
 * RAN. */
void
answer_begin(struct request *r)
{
	r->begun = true;
	if (r->gone)
		return;
	soup_server_message_set_status(r->message, (guint)r->head.status, NULL);
	put_headers(r, VERDICT_MAY_HAVE_RUN);
	put_type(r);
	soup_message_headers_set_encoding(
	    soup_server_message_get_response_headers(r->message),
	    SOUP_ENCODING_CHUNKED);
	soup_message_body_set_accumulate(body_of(r), FALSE);
}

void
answer_append(struct request *r, const uint8_t *bytes, size_t len)
{
	if (len == 0 || r->gone)
		return;
	soup_message_body_append(body_of(r), SOUP_MEMORY_COPY, bytes, len);
	soup_server_message_unpause(r->message);
}

void
answer_finish(struct request *r)
{
	request_count(r, "request_answered");
	r->told = true;
	if (r->gone)
		return;
	if (r->begun) {
		soup_message_body_complete(body_of(r));
	} else {
		soup_server_message_set_status(
		    r->message, (guint)r->head.status, NULL);
		put_headers(r, VERDICT_RAN);
		put_type(r);
		soup_message_body_append(
		    body_of(r), SOUP_MEMORY_COPY, r->held->data, r->held->len);
		soup_message_body_complete(body_of(r));
	}
	soup_server_message_unpause(r->message);
}

/* Kept answers are told as they were; of longer ones the caller gets the
 * digest, by which it can tell what it has. */
void
answer_recorded(struct request *r)
{
	const struct clm_outcome *o = r->recorded;
	SoupMessageHeaders *headers;
	char hex[DIGEST_HEX], *text;

	request_count(r, "request_recorded");
	r->told = true;
	if (r->gone)
		return;
	headers = soup_server_message_get_response_headers(r->message);
	put_headers(r, VERDICT_RAN);
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
	    body_of(r), SOUP_MEMORY_TAKE, text, strlen(text));
	soup_message_body_complete(body_of(r));
	soup_server_message_unpause(r->message);
}

void
answer_fail(struct request *r)
{
	/* One attempt that may have run makes the whole request so, even
	 * when a later attempt was surely refused. */
	if (r->att.may_have_run)
		r->last.verdict = VERDICT_MAY_HAVE_RUN;
	request_count(r,
	    r->last.verdict == VERDICT_NOT_RUN ? "request_not_run"
					       : "request_may_have_run");
	r->told = true;
	if (r->gone)
		return;
	put_headers(r, r->last.verdict);
	answer_error(r->message, &r->last);
	soup_server_message_unpause(r->message);
}

/*
 * The answer broke after it began to reach the caller. It must not look
 * whole: a stream of events gets an error event and no [DONE]; anything else is
 * closed without the end that HTTP calls for.
 */
void
answer_cut(struct request *r)
{
	GSocket *socket;
	char *event;

	request_count(r, "request_cut");
	tl_add(r->entry->proc.timeline, "answer_cut", r->id, "%s",
	    r->last.message);
	r->told = true;
	if (r->gone)
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
	    err_code_name(r->last.code), verdict_name(VERDICT_MAY_HAVE_RUN));
	answer_append(r, (const uint8_t *)event, strlen(event));
	soup_message_body_complete(body_of(r));
	soup_server_message_unpause(r->message);
	g_free(event);
}

/* A message that stays paused keeps its connection open for ever, as nobody
 * looks at its socket any more. Let go, it ends with the first write. */
void
answer_let_go(struct request *r)
{
	if (r->gone || r->told)
		return;
	soup_server_message_set_status(
	    r->message, SOUP_STATUS_SERVICE_UNAVAILABLE, NULL);
	soup_message_headers_replace(
	    soup_server_message_get_response_headers(r->message), "Connection",
	    "close");
	soup_server_message_unpause(r->message);
}
