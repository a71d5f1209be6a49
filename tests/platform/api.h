#ifndef API_H
#define API_H

/* A fake object API with fault injection, and a client of it. */

#include "platform/platform_internal.h"
#include "server.h"

struct stored {
	char *key, *op, *value;
	uint64_t version, revision;
};

struct api {
	struct server server;
	GPtrArray *objects;
	uint64_t revision;
	/* Faults; a number counts the next requests that have the fault. */
	unsigned int lose_responses; /* apply the write, close the connection */
	unsigned int drop_requests; /* apply nothing, close the connection */
	unsigned int unavailable; /* respond with 503 */
	unsigned int hang_requests; /* do not respond */
	unsigned int malformed; /* apply the write, respond malformed */
	const char *other_writer; /* operation id of a write after a lost one */
	bool oversized_polls; /* respond to polls with more than the limit */
	bool never_hold_polls; /* respond to polls at once */
	const char *odd_key; /* this object has no operation id */
	unsigned int early_gets; /* respond with 425 */
	struct peer *held_poll; /* an idle poll */
	unsigned int puts, gets, polls;
	char last_poll[200];
	struct ctr_set *counters;
	struct plat *plat;
	struct obj *obj;
	/* Result of the last call. */
	bool done;
	uint64_t version;
	struct err err;
	char value[64], now_op[64];
	size_t listed;
	/* Reports of the watch. */
	GString *changes;
	unsigned int lost, recovered;
	bool changed;
};

static inline void
stored_free(gpointer data)
{
	struct stored *s = data;

	g_free(s->key);
	g_free(s->op);
	g_free(s->value);
	g_free(s);
}

static inline struct stored *
stored_find(struct api *api, const char *key)
{
	guint i;

	for (i = 0; i < api->objects->len; i++) {
		struct stored *s = api->objects->pdata[i];

		if (strcmp(s->key, key) == 0)
			return s;
	}
	return NULL;
}

static inline struct stored *
store(struct api *api, const char *key, const char *op, const char *value)
{
	struct stored *s = stored_find(api, key);

	if (s == NULL) {
		s = g_new0(struct stored, 1);
		s->key = g_strdup(key);
		g_ptr_array_add(api->objects, s);
	}
	g_free(s->op);
	g_free(s->value);
	s->op = g_strdup(op);
	s->value = g_strdup(value);
	s->version++;
	s->revision = ++api->revision;
	return s;
}

/* The values and keys of these tests need no JSON escapes. */
static inline void
respond_json(struct peer *peer, unsigned int status, const char *format, ...)
{
	va_list args;
	char *text;

	va_start(args, format);
	text = g_strdup_vprintf(format, args);
	va_end(args);
	peer_answer(peer, status, "", text);
	g_free(text);
}

static inline void
respond_object(struct peer *peer, const struct api *api, unsigned int status,
    const struct stored *s)
{
	if (s == NULL)
		respond_json(peer, 404, "{}");
	else if (g_strcmp0(s->key, api->odd_key) == 0)
		respond_json(peer, status, "{\"version\":-1}");
	else
		respond_json(peer, status,
		    "{\"key\":\"%s\",\"version\":%u,\"op\":\"%s\","
		    "\"value\":\"%s\"}",
		    s->key, (unsigned int)s->version, s->op, s->value);
}

static inline void
respond_changes(
    struct peer *peer, struct api *api, uint64_t since, bool with_values)
{
	GString *text = g_string_new(NULL);
	guint i;

	for (i = 0; i < api->objects->len; i++) {
		struct stored *s = api->objects->pdata[i];

		if (s->revision <= since)
			continue;
		g_string_append_printf(text, "%s{\"key\":\"%s\",\"version\":%u",
		    text->len > 0 ? "," : "", s->key, (unsigned int)s->version);
		if (with_values && g_strcmp0(s->key, api->odd_key) != 0)
			g_string_append_printf(text,
			    ",\"op\":\"%s\",\"value\":\"%s\"", s->op, s->value);
		g_string_append(text, "}");
	}
	if (api->odd_key != NULL)
		g_string_append(text, text->len > 0 ? ",7,{}" : "7,{}");
	respond_json(peer, 200, "{\"revision\":%u,\"objects\":[%s]}",
	    (unsigned int)api->revision, text->str);
	g_string_free(text, TRUE);
}

static inline void
serve_put(struct peer *peer, struct api *api, const char *key)
{
	struct stored *s = stored_find(api, key);
	uint64_t version = s == NULL ? 0 : s->version, if_version;
	const char *op = NULL, *value = NULL;
	struct reply reply;
	GBytes *body = g_bytes_new(peer->body, strlen(peer->body));

	assert_true(reply_open(&reply, body, NULL));
	assert_true(reply_str(reply.json, "op", &op));
	assert_true(reply_str(reply.json, "value", &value));
	api->puts++;
	if (reply_u64(reply.json, "if_version", &if_version) &&
	    if_version != version) {
		respond_object(peer, api, 409, s);
	} else {
		s = store(api, key, op, value);
		if (api->lose_responses > 0) {
			api->lose_responses--;
			if (api->other_writer != NULL)
				store(api, key, api->other_writer, "theirs");
			peer_close(peer);
		} else {
			respond_json(peer, 200, "{\"version\":%u}",
			    (unsigned int)s->version);
		}
	}
	reply_close(&reply);
	g_bytes_unref(body);
}

static inline gboolean
send_more(GSocket *socket, GIOCondition condition, gpointer data)
{
	struct peer *peer = data;
	char *spaces;

	if (!peer->open)
		return G_SOURCE_REMOVE;
	spaces = g_strnfill(0x8000, ' ');
	peer_text(peer, "8000\r\n");
	peer_text(peer, spaces);
	peer_text(peer, "\r\n");
	g_free(spaces);
	return G_SOURCE_CONTINUE;
}

/* Sends an endless response. */
static inline void
respond_endlessly(struct peer *peer)
{
	GSocket *socket = g_socket_connection_get_socket(peer->conn);
	GSource *source =
	    g_socket_create_source(socket, G_IO_OUT, peer->server->stop);

	peer_text(
	    peer, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
	g_source_set_callback(source, G_SOURCE_FUNC(send_more), peer, NULL);
	g_source_attach(source, NULL);
	g_source_unref(source);
}

static inline void
serve_poll(struct peer *peer, struct api *api)
{
	uint64_t since =
	    g_ascii_strtoull(strstr(peer->path, "since=") + 6, NULL, 10);

	api->polls++;
	g_strlcpy(api->last_poll, peer->path, sizeof(api->last_poll));
	if (api->oversized_polls) {
		respond_endlessly(peer);
	} else if (api->revision > since || api->never_hold_polls ||
	    strstr(peer->path, "wait_ms=0") != NULL) {
		respond_changes(peer, api, since, true);
	} else {
		api->held_poll = peer;
	}
}

static inline bool
take_fault(unsigned int *count)
{
	if (*count == 0)
		return false;
	(*count)--;
	return true;
}

static inline void
serve(struct peer *peer, void *ctx)
{
	struct api *api = ctx;
	bool get = strcmp(peer->method, "GET") == 0;

	if (take_fault(&api->hang_requests))
		return;
	if (take_fault(&api->drop_requests)) {
		peer_close(peer);
	} else if (take_fault(&api->unavailable)) {
		respond_json(peer, 503, "{}");
	} else if (take_fault(&api->malformed)) {
		if (!get)
			store(api, peer->path + 12, "mine", "v");
		peer_answer(peer, 200, "", "{\"version\":\"x\"");
	} else if (g_str_has_prefix(peer->path, "/v1/list")) {
		respond_changes(peer, api, 0, false);
	} else if (g_str_has_prefix(peer->path, "/v1/watch")) {
		serve_poll(peer, api);
	} else if (get) {
		api->gets++;
		if (take_fault(&api->early_gets)) {
			respond_json(peer, 425, "{}");
			return;
		}
		respond_object(
		    peer, api, 200, stored_find(api, peer->path + 12));
	} else {
		serve_put(peer, api, peer->path + 12);
	}
}

static inline int
setup(void **state)
{
	struct api *api = g_new0(struct api, 1);

	api->objects = g_ptr_array_new_with_free_func(stored_free);
	api->changes = g_string_new(NULL);
	server_start(&api->server, serve, api);
	api->counters = ctr_set_new();
	api->plat = plat_new(clk_system(), api->counters, NULL);
	api->obj = obj_new(api->plat, api->server.base);
	*state = api;
	return 0;
}

static inline int
teardown(void **state)
{
	struct api *api = *state;

	obj_free(api->obj);
	plat_free(api->plat);
	run_for(10);
	server_stop(&api->server);
	ctr_set_free(api->counters);
	g_ptr_array_unref(api->objects);
	g_string_free(api->changes, TRUE);
	g_free(api);
	return 0;
}

#endif
