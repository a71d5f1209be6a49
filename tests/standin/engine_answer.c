/* Parsing of chat requests and writing of their answers. */

#include <string.h>

#include "standin/engine_run.h"

#define MAX_TOKENS_DEFAULT 16
#define PRIORITY_DEFAULT 5
#define BREAK_TOKENS 3 /* sent before a stream breaks off */
/* Request ids are copied unescaped into JSON and into the text of tokens. */
#define ID_CHARS                                                         \
	"abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789" \
	"-_.@/"

/* ------------------------------------------------------------------ */
/* Request                                                             */
/* ------------------------------------------------------------------ */

static void
add_content(JsonArray *array, guint i, JsonNode *node, void *ctx)
{
	GString *text = ctx;

	if (JSON_NODE_HOLDS_OBJECT(node)) {
		g_string_append(text,
		    member_str(json_node_get_object(node), "content", ""));
	}
}

static void
read_prompt(struct run *run, JsonObject *body)
{
	JsonNode *node = json_object_get_member(body, "messages");
	GString *text = g_string_new(NULL);

	if (node != NULL && JSON_NODE_HOLDS_ARRAY(node)) {
		json_array_foreach_element(
		    json_node_get_array(node), add_content, text);
	}
	run->prefix = cache_prefix(text->str, text->len);
	run->prompt_tokens =
	    (int64_t)(text->len + TOKEN_BYTES - 1) / TOKEN_BYTES;
	g_string_free(text, TRUE);
}

static char *
read_id(struct batch *b, SoupServerMessage *msg)
{
	const char *id = soup_message_headers_get_one(
	    soup_server_message_get_request_headers(msg), "X-Request-Id");

	if (id == NULL) {
		return g_strdup_printf(
		    "unnamed-%" G_GUINT64_FORMAT, (guint64)++b->generated_ids);
	}
	if (*id == '\0' || id[strspn(id, ID_CHARS)] != '\0')
		return NULL;
	return g_strdup(id);
}

struct run *
run_parse(struct batch *b, SoupServerMessage *msg)
{
	JsonObject *body = body_object(msg);
	const char *expected_digest = soup_message_headers_get_one(
	    soup_server_message_get_request_headers(msg), "X-Expect-Digest");
	struct run *run;

	if (body == NULL)
		return NULL;
	run = g_new0(struct run, 1);
	run->batch = b;
	run->id = read_id(b, msg);
	run->attempt = header_int(msg, "X-Attempt", 1);
	run->priority = header_int(msg, "X-Priority", PRIORITY_DEFAULT);
	run->stream = member_bool(body, "stream", false);
	run->max_tokens = member_int(body, "max_tokens", MAX_TOKENS_DEFAULT);
	if (expected_digest != NULL)
		g_strlcpy(run->expected_digest, expected_digest,
		    sizeof(run->expected_digest));
	read_prompt(run, body);
	run->crashes = b->crash_on != NULL &&
	    strstr(soup_server_message_get_request_body(msg)->data,
		b->crash_on) != NULL;
	json_object_unref(body);
	if (run->id == NULL || run->max_tokens < 1) {
		reply_not_run(msg, 400, "bad request id or max_tokens");
		run_free(run);
		return NULL;
	}
	return run;
}

void
run_free(struct run *run)
{
	deferred_free(run->deferred);
	g_free(run->id);
	g_free(run);
}

/* ------------------------------------------------------------------ */
/* Answer                                                              */
/* ------------------------------------------------------------------ */

void
run_refuse(struct run *run, unsigned int status, const char *why)
{
	if (run->deferred == NULL)
		return;
	reply_not_run(deferred_msg(run->deferred), status, why);
	deferred_write(run->deferred);
	deferred_free(run->deferred);
	run->deferred = NULL;
}

void
run_send_head(struct run *run)
{
	SoupServerMessage *msg = deferred_msg(run->deferred);
	SoupMessageHeaders *out = soup_server_message_get_response_headers(msg);

	soup_message_headers_replace(out, "X-Model-Digest", run->digest);
	if (!run->stream)
		return;
	run->breaks = consume_fault(&run->batch->break_in_event);
	soup_server_message_set_status(msg, 200, NULL);
	soup_message_headers_set_content_type(out, "text/event-stream", NULL);
	if (consume_fault(&run->batch->unframed))
		end_by_close(msg);
	else
		soup_message_headers_set_encoding(out, SOUP_ENCODING_CHUNKED);
	soup_message_body_set_accumulate(
	    soup_server_message_get_response_body(msg), FALSE);
	deferred_write(run->deferred);
}

static void
append_token(GString *out, const struct run *run, int64_t i)
{
	g_string_append_len(out, run->digest, DIGEST_SHORT);
	g_string_append_printf(out, ":%s:%" G_GINT64_FORMAT " ", run->id, i);
}

static void
append_text(SoupMessageBody *body, GString *text)
{
	size_t len = text->len;

	soup_message_body_append_take(
	    body, (guchar *)g_string_free(text, FALSE), len);
}

static void
send_event(SoupMessageBody *body, const struct run *run, int64_t i)
{
	GString *event = g_string_sized_new(256);

	g_string_append_printf(event,
	    "data: {\"id\":\"%s\",\"object\":\"chat.completion.chunk\","
	    "\"index\":%" G_GINT64_FORMAT
	    ",\"choices\":[{\"index\":0,\"delta\":{\"content\":\"",
	    run->id, i);
	append_token(event, run, i);
	g_string_append(event, "\"},\"finish_reason\":null}]}\n\n");
	append_text(body, event);
}

/* Ends the body in order in the middle of an event. */
static void
break_off(struct run *run, SoupMessageBody *body)
{
	append_text(body, g_string_new("data: {\"id\":\"brok"));
	soup_message_body_complete(body);
	deferred_write(run->deferred);
	deferred_free(run->deferred);
	run->deferred = NULL;
}

/* A cancelled stream ends without `[DONE]`, so that the client does not treat
 * it as complete. */
static void
send_events(struct run *run)
{
	SoupMessageBody *body =
	    soup_server_message_get_response_body(deferred_msg(run->deferred));

	for (; run->sent < run->tokens; run->sent++) {
		if (run->breaks && run->sent == BREAK_TOKENS) {
			break_off(run, body);
			return;
		}
		send_event(body, run, run->sent);
	}
	if (run->state == RUN_DONE)
		append_text(body, g_string_new("data: [DONE]\n\n"));
	if (run->state != RUN_RUNNING)
		soup_message_body_complete(body);
	deferred_write(run->deferred);
}

static void
send_complete(struct run *run)
{
	SoupServerMessage *msg = deferred_msg(run->deferred);
	GString *text = g_string_new(NULL);
	int64_t i;

	if (run->state == RUN_CANCELLED) {
		reply_error(msg, 503, "cancelled");
		g_string_free(text, TRUE);
		deferred_write(run->deferred);
		return;
	}
	g_string_append_printf(text,
	    "{\"id\":\"%s\",\"object\":\"chat.completion\",\"choices\":"
	    "[{\"index\":0,\"message\":{\"role\":\"assistant\","
	    "\"content\":\"",
	    run->id);
	for (i = 0; i < run->tokens; i++)
		append_token(text, run, i);
	g_string_append_printf(text,
	    "\"},\"finish_reason\":\"stop\"}],\"usage\":{\"prompt_tokens\":"
	    "%" G_GINT64_FORMAT ",\"completion_tokens\":%" G_GINT64_FORMAT "}}",
	    run->prompt_tokens, run->tokens);
	soup_server_message_set_status(msg, 200, NULL);
	soup_message_headers_set_content_type(
	    soup_server_message_get_response_headers(msg), "application/json",
	    NULL);
	append_text(soup_server_message_get_response_body(msg), text);
	deferred_write(run->deferred);
}

void
run_send(struct run *run)
{
	if (run->deferred == NULL)
		return;
	if (run->stream)
		send_events(run);
	else if (run->state != RUN_RUNNING)
		send_complete(run);
	if (run->deferred != NULL && run->state != RUN_RUNNING) {
		deferred_free(run->deferred);
		run->deferred = NULL;
	}
}
