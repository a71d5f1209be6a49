/* HTTP for callers: models, plain services, health, counters, events. */

#include <json-glib/json-glib.h>
#include <string.h>

#include "common/jtext.h"
#include "entry/entry.h"
#include "shared/http.h"

#define NOT_READY_RETRY_MS 1000
#define PRIORITY_DEFAULT 100
#define PRIORITY_MAX 1000
#define TOKENS_DEFAULT 16 /* of a request without max_tokens */
#define TOKENS_MAX 100000
#define SERVICES_PREFIX "/services/"

/* ------------------------------------------------------------------ */
/* Answers                                                             */
/* ------------------------------------------------------------------ */

void
answer_json(SoupServerMessage *message, unsigned int status, JsonNode *node)
{
	char *text = json_to_string(node, FALSE);

	soup_server_message_set_status(message, status, NULL);
	soup_server_message_set_response(
	    message, "application/json", SOUP_MEMORY_TAKE, text, strlen(text));
	json_node_unref(node);
}

void
answer_error(SoupServerMessage *message, const struct err *err)
{
	SoupMessageHeaders *headers =
	    soup_server_message_get_response_headers(message);
	JsonBuilder *b = json_builder_new();
	char seconds[16];

	soup_message_headers_replace(
	    headers, "X-Verdict", verdict_name(err->verdict));
	if (err->retry_after_ms > 0) {
		g_snprintf(seconds, sizeof(seconds), "%u",
		    (err->retry_after_ms + 999) / 1000);
		soup_message_headers_replace(headers, "Retry-After", seconds);
	}
	json_builder_begin_object(b);
	json_builder_set_member_name(b, "error");
	json_builder_begin_object(b);
	json_builder_set_member_name(b, "code");
	json_builder_add_string_value(b, err_code_name(err->code));
	json_builder_set_member_name(b, "message");
	json_builder_add_string_value(b, err->message);
	json_builder_set_member_name(b, "verdict");
	json_builder_add_string_value(b, verdict_name(err->verdict));
	json_builder_end_object(b);
	json_builder_end_object(b);
	answer_json(message, err_http_status(err), json_builder_get_root(b));
	g_object_unref(b);
}

bool
bearer_is(SoupServerMessage *message, const struct digest *want)
{
	const char *text = soup_message_headers_get_one(
	    soup_server_message_get_request_headers(message), "Authorization");
	struct digest got;

	if (text == NULL || !g_str_has_prefix(text, "Bearer "))
		return false;
	digest_of(text + 7, strlen(text + 7), &got);
	return digest_equal_secret(&got, want);
}

/* Answers a request that is refused before it starts: counted, NOT_RUN. */
static void
refuse(struct entry *entry, SoupServerMessage *message, const struct err *err)
{
	ctr_add(ctr_get(entry->proc.counters, "caller_refused"), 1);
	answer_error(message, err);
}

/* ------------------------------------------------------------------ */
/* Reading a request                                                   */
/* ------------------------------------------------------------------ */

static const char *
header(SoupServerMessage *message, const char *name)
{
	return soup_message_headers_get_one(
	    soup_server_message_get_request_headers(message), name);
}

static bool
read_number_header(SoupServerMessage *message, const char *name, guint64 min,
    guint64 max, unsigned int *out, struct err *err)
{
	const char *text = header(message, name);
	guint64 value;

	if (text == NULL)
		return true;
	if (!g_ascii_string_to_unsigned(text, 10, min, max, &value, NULL)) {
		return err_set(err, ERR_INVALID, VERDICT_NOT_RUN,
		    "header %s must be a number from %" G_GUINT64_FORMAT
		    " to %" G_GUINT64_FORMAT,
		    name, min, max);
	}
	*out = (unsigned int)value;
	return true;
}

/* Data key, set on a message whose body was cut off. */
#define TOO_LARGE_KEY "currantchute-too-large"

static bool
is_too_large(SoupServerMessage *message, struct err *err)
{
	if (g_object_get_data(G_OBJECT(message), TOO_LARGE_KEY) == NULL)
		return false;
	err_set(err, ERR_TOO_LARGE, VERDICT_NOT_RUN,
	    "the body is larger than %u bytes", RT_BODY_MAX);
	return true;
}

/* Reads deadline, priority, key and body, for models and services. */
static bool
read_common(
    SoupServerMessage *message, struct request_params *params, struct err *err)
{
	SoupMessageBody *body = soup_server_message_get_request_body(message);

	params->deadline_ms = params->workspace->default_deadline_ms;
	params->priority = PRIORITY_DEFAULT;
	params->key = header(message, "Idempotency-Key");
	/* A deadline above the workspace's maximum is reduced to it and not
	 * refused. */
	if (!read_number_header(message, "X-Deadline-Ms", 1, UINT32_MAX,
		&params->deadline_ms, err) ||
	    !read_number_header(
		message, "X-Priority", 0, PRIORITY_MAX, &params->priority, err))
		return false;
	params->deadline_ms =
	    MIN(params->deadline_ms, params->workspace->max_deadline_ms);
	if (params->key != NULL && strlen(params->key) > RT_NAME_MAX) {
		return err_set(err, ERR_INVALID, VERDICT_NOT_RUN,
		    "header Idempotency-Key is longer than %d bytes",
		    RT_NAME_MAX);
	}
	if (is_too_large(message, err))
		return false;
	params->body = soup_message_body_flatten(body);
	return true;
}

static const struct rt_workspace *
find_workspace(struct entry *entry, SoupServerMessage *message,
    const char *name, struct err *err)
{
	const struct rt_workspace *workspace = entry_workspace(entry, name);

	if (!entry_is_ready(entry) || entry->refusing) {
		err_set(err, ERR_UNAVAILABLE, VERDICT_NOT_RUN, "%s",
		    entry->refusing
			? "this gateway is about to exit"
			: "this gateway has no active settings yet");
		err->retry_after_ms = NOT_READY_RETRY_MS;
		return NULL;
	}
	if (workspace == NULL) {
		err_set(err, ERR_NOT_FOUND, VERDICT_NOT_RUN,
		    "unknown workspace '%.40s'", name);
		return NULL;
	}
	/* A workspace without a caller token accepts no caller. */
	if (digest_is_none(&workspace->caller_token) ||
	    !bearer_is(message, &workspace->caller_token)) {
		ctr_add(ctr_get(entry->proc.counters, "caller_wrong_token"), 1);
		err_set(err, ERR_UNAUTHORISED, VERDICT_NOT_RUN,
		    "a caller token of workspace '%.40s' is required", name);
		return NULL;
	}
	return workspace;
}

/* ------------------------------------------------------------------ */
/* Models                                                              */
/* ------------------------------------------------------------------ */

/* Fields of a chat request's JSON body. */
struct chat {
	char *workspace, *model; /* "model" is WORKSPACE/MODEL */
	bool streamed;
	uint64_t prefix;
	GArray *parts; /* of uint64_t, fingerprints; NULL: none were read */
	unsigned int tokens;
};

#define PARTS_MAX 64 /* of a prompt; further messages are ignored */

static void
read_content(JsonArray *messages, guint i, JsonNode *item, gpointer prefix)
{
	const char *content;

	if (!JSON_NODE_HOLDS_OBJECT(item))
		return;
	content = json_object_get_string_member_with_default(
	    json_node_get_object(item), "content", NULL);
	if (content != NULL)
		rt_prefix_add(prefix, content);
}

static void
read_part(JsonArray *messages, guint i, JsonNode *item, gpointer data)
{
	GArray *parts = data;
	const char *content = NULL;
	struct digest digest;
	char hex[DIGEST_HEX];
	uint64_t part;

	if (JSON_NODE_HOLDS_OBJECT(item))
		content = json_object_get_string_member_with_default(
		    json_node_get_object(item), "content", NULL);
	if (content == NULL || parts->len == PARTS_MAX)
		return;
	digest_of(content, strlen(content), &digest);
	digest_to_hex(&digest, hex);
	part = fpr_of_part(slice_str(hex));
	g_array_append_val(parts, part);
}

/* All messages but the last, which belongs to the request. */
static GArray *
read_parts(JsonObject *o)
{
	JsonNode *messages = json_object_get_member(o, "messages");
	GArray *parts = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	JsonArray *list;
	guint i;

	if (messages == NULL || !JSON_NODE_HOLDS_ARRAY(messages))
		return parts;
	list = json_node_get_array(messages);
	for (i = 0; i + 1 < json_array_get_length(list); i++)
		read_part(list, i, json_array_get_element(list, i), parts);
	return parts;
}

static uint64_t
read_prefix(JsonObject *o)
{
	JsonNode *messages = json_object_get_member(o, "messages");
	struct rt_prefix prefix;

	if (messages == NULL || !JSON_NODE_HOLDS_ARRAY(messages))
		return 0;
	rt_prefix_begin(&prefix);
	json_array_foreach_element(
	    json_node_get_array(messages), read_content, &prefix);
	return rt_prefix_end(&prefix);
}

static bool
read_chat(SoupMessageBody *body, struct chat *chat, struct err *err)
{
	JsonParser *parser = json_parser_new();
	GBytes *bytes = soup_message_body_flatten(body);
	gsize len;
	const char *text = g_bytes_get_data(bytes, &len);
	JsonNode *root = NULL;
	JsonObject *o = NULL;
	const char *name = NULL, *slash;

	if (len > 0 && jtext_nests_within(text, len, JTEXT_DEPTH_MAX) &&
	    json_parser_load_from_data(parser, text, (gssize)len, NULL))
		root = json_parser_get_root(parser);
	if (root != NULL && JSON_NODE_HOLDS_OBJECT(root))
		o = json_node_get_object(root);
	if (o != NULL)
		name =
		    json_object_get_string_member_with_default(o, "model", "");
	slash = name == NULL ? NULL : strchr(name, '/');
	if (o == NULL)
		err_set(err, ERR_INVALID, VERDICT_NOT_RUN,
		    "the body is not a JSON object");
	else if (slash == NULL)
		err_set(err, ERR_INVALID, VERDICT_NOT_RUN,
		    "'model' must be TEAM/MODEL");
	else {
		chat->workspace = g_strndup(name, (gsize)(slash - name));
		chat->model = g_strdup(slash + 1);
		chat->streamed = json_object_get_boolean_member_with_default(
		    o, "stream", FALSE);
		chat->prefix = read_prefix(o);
		chat->parts = read_parts(o);
		chat->tokens =
		    (unsigned int)CLAMP(json_object_get_int_member_with_default(
					    o, "max_tokens", TOKENS_DEFAULT),
			1, TOKENS_MAX);
	}
	g_bytes_unref(bytes);
	g_object_unref(parser);
	return !err_is(err);
}

static void
start_chat(struct entry *entry, SoupServerMessage *message,
    const struct chat *chat, struct err *err)
{
	struct request_params params = {
		.message = message,
		.workspace =
		    find_workspace(entry, message, chat->workspace, err),
		.method = "POST",
		.path = "/v1/chat/completions",
		.streamed = chat->streamed,
		.prefix = chat->prefix,
		.parts = (const uint64_t *)(void *)chat->parts->data,
		.nparts = chat->parts->len,
		.tokens = chat->tokens,
	};

	if (params.workspace == NULL)
		return;
	params.model = rt_workspace_model(params.workspace, chat->model);
	if (params.model == NULL) {
		err_set(err, ERR_NOT_FOUND, VERDICT_NOT_RUN,
		    "unknown model '%.40s' of workspace '%.40s'", chat->model,
		    chat->workspace);
		return;
	}
	if (!read_common(message, &params, err))
		return;
	/* Generating an answer twice is harmless, unless the caller requires
	 * at most one run by sending a key. */
	params.idempotent = params.key == NULL;
	request_start(entry, &params, err);
	g_bytes_unref(params.body);
}

static void
on_chat(SoupServer *server, SoupServerMessage *message, const char *path,
    GHashTable *query, gpointer data)
{
	struct entry *entry = data;
	struct err err = { 0 };
	struct chat chat = { 0 };

	if (strcmp(soup_server_message_get_method(message), "POST") != 0)
		err_set(&err, ERR_INVALID, VERDICT_NOT_RUN,
		    "the method must be POST");
	else if (!is_too_large(message, &err) &&
	    read_chat(
		soup_server_message_get_request_body(message), &chat, &err))
		start_chat(entry, message, &chat, &err);
	if (err_is(&err))
		refuse(entry, message, &err);
	if (chat.parts != NULL)
		g_array_unref(chat.parts);
	g_free(chat.workspace);
	g_free(chat.model);
}

/* ------------------------------------------------------------------ */
/* Plain services                                                      */
/* ------------------------------------------------------------------ */

static void
start_service(struct entry *entry, SoupServerMessage *message,
    const char *workspace, const char *service, const char *rest,
    struct err *err)
{
	const char *query =
	    g_uri_get_query(soup_server_message_get_uri(message));
	char *path = g_strdup_printf("/%s%s%s", rest, query == NULL ? "" : "?",
	    query == NULL ? "" : query);
	struct request_params params = {
		.message = message,
		.workspace = find_workspace(entry, message, workspace, err),
		.method = soup_server_message_get_method(message),
		.path = path,
	};

	if (params.workspace != NULL)
		params.service =
		    rt_workspace_service(params.workspace, service);
	if (params.workspace != NULL && params.service == NULL)
		err_set(err, ERR_NOT_FOUND, VERDICT_NOT_RUN,
		    "unknown service '%.40s' of workspace '%.40s'", service,
		    workspace);
	if (strlen(path) > RT_PATH_MAX)
		err_set(err, ERR_TOO_LARGE, VERDICT_NOT_RUN,
		    "the path is longer than %d bytes", RT_PATH_MAX);
	if (!err_is(err) && read_common(message, &params, err)) {
		params.idempotent =
		    rt_service_is_idempotent(params.service, params.method);
		request_start(entry, &params, err);
		g_bytes_unref(params.body);
	}
	g_free(path);
}

static void
on_service(SoupServer *server, SoupServerMessage *message, const char *path,
    GHashTable *query, gpointer data)
{
	struct entry *entry = data;
	char **part = g_strsplit(path + strlen(SERVICES_PREFIX), "/", 3);
	guint n = g_strv_length(part);
	struct err err = { 0 };

	if (n < 2)
		err_set(&err, ERR_NOT_FOUND, VERDICT_NOT_RUN,
		    "the path must be /services/TEAM/SERVICE/...");
	else
		start_service(entry, message, part[0], part[1],
		    n == 3 ? part[2] : "", &err);
	if (err_is(&err))
		refuse(entry, message, &err);
	g_strfreev(part);
}

/* ------------------------------------------------------------------ */
/* Limit on bodies                                                     */
/* ------------------------------------------------------------------ */

static void
bound_body(SoupServerMessage *message, GBytes *chunk, gpointer data)
{
	SoupMessageBody *body = soup_server_message_get_request_body(message);

	if (body->length <= RT_BODY_MAX)
		return;
	/* A body without Content-Length is cut off here. What was received is
	 * dropped, so that one caller cannot exhaust the memory. */
	soup_message_body_truncate(body);
	soup_message_body_set_accumulate(body, FALSE);
	g_object_set_data(G_OBJECT(message), TOO_LARGE_KEY, message);
}

static void
check_length(SoupServer *server, SoupServerMessage *message, const char *path,
    GHashTable *query, gpointer data)
{
	SoupMessageHeaders *headers =
	    soup_server_message_get_request_headers(message);
	struct err err = { 0 };

	if (soup_message_headers_get_encoding(headers) ==
		SOUP_ENCODING_CONTENT_LENGTH &&
	    soup_message_headers_get_content_length(headers) > RT_BODY_MAX) {
		err_set(&err, ERR_TOO_LARGE, VERDICT_NOT_RUN,
		    "the body is larger than %u bytes", RT_BODY_MAX);
		refuse(data, message, &err);
		return;
	}
	g_signal_connect(message, "got-chunk", G_CALLBACK(bound_body), NULL);
}

/* ------------------------------------------------------------------ */
/* Health, counters, events                                            */
/* ------------------------------------------------------------------ */

static void
on_health(SoupServer *server, SoupServerMessage *message, const char *path,
    GHashTable *query, gpointer data)
{
	struct entry *entry = data;

	if (entry->leaving || entry->draining)
		http_answer_text(message, SOUP_STATUS_SERVICE_UNAVAILABLE,
		    "application/json", "{\"state\":\"draining\"}\n");
	else if (!entry_is_ready(entry))
		http_answer_text(message, SOUP_STATUS_SERVICE_UNAVAILABLE,
		    "application/json", "{\"state\":\"starting\"}\n");
	else
		http_answer_text(message, SOUP_STATUS_OK, "application/json",
		    "{\"state\":\"ready\"}\n");
}

static void
on_metrics(SoupServer *server, SoupServerMessage *message, const char *path,
    GHashTable *query, gpointer data)
{
	struct entry *entry = data;

	ctr_put(ctr_get(entry->proc.counters, "entry_open_requests"),
	    entry->open_requests);
	http_answer_counters(message, entry->proc.counters);
}

static void
on_events(SoupServer *server, SoupServerMessage *message, const char *path,
    GHashTable *query, gpointer data)
{
	struct entry *entry = data;
	const char *text =
	    query == NULL ? NULL : g_hash_table_lookup(query, "since");
	uint64_t next;
	char *events = proc_events_json(entry->proc.timeline,
	    text == NULL ? 0 : g_ascii_strtoull(text, NULL, 10), &next);
	char *json = g_strdup_printf(
	    "{\"next\":%" G_GUINT64_FORMAT ",\"events\":%s}\n", next, events);

	http_answer_text(message, SOUP_STATUS_OK, "application/json", json);
	g_free(json);
	g_free(events);
}

static void
on_unknown_path(SoupServer *server, SoupServerMessage *message,
    const char *path, GHashTable *query, gpointer data)
{
	struct err err = { 0 };

	err_set(&err, ERR_NOT_FOUND, VERDICT_NOT_RUN, "no such path");
	refuse(data, message, &err);
}

/* libsoup runs the handlers of one path only, so the check that bounds bodies
 * is added with every handler. */
void
caller_handle(struct entry *entry, const char *path, SoupServerCallback handler)
{
	soup_server_add_early_handler(
	    entry->http, path, check_length, entry, NULL);
	http_add_handler(entry->http, path, handler, entry);
}

void
caller_open(struct entry *entry)
{
	caller_handle(entry, NULL, on_unknown_path);
	caller_handle(entry, "/v1/chat/completions", on_chat);
	caller_handle(entry, "/services", on_service);
	caller_handle(entry, "/healthz", on_health);
	caller_handle(entry, "/metrics", on_metrics);
	caller_handle(entry, "/events", on_events);
}
