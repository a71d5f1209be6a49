#ifndef OBJECTS_H
#define OBJECTS_H

/* A small in-memory object API on the test's own event loop. */

#include <json-glib/json-glib.h>

#include "../platform/server.h"

struct stored {
	uint64_t version, revision;
	char *op, *value;
};

struct objects {
	struct server server;
	GHashTable *by_key;
	uint64_t revision;
	/* peers with an open watch and nothing to report yet */
	GPtrArray *waiting;
	bool down; /* every call gets 503 */
	unsigned int refused, reads, writes, lists, watches;
};

static inline void
stored_free(gpointer data)
{
	struct stored *s = data;

	g_free(s->op);
	g_free(s->value);
	g_free(s);
}

static inline void
add_string(GString *out, const char *text)
{
	char *escaped = g_strescape(text, NULL);

	g_string_append_printf(out, "\"%s\"", escaped);
	g_free(escaped);
}

static inline void
add_stored(
    GString *out, const char *key, const struct stored *s, bool with_value)
{
	g_string_append_printf(out,
	    "{\"key\":\"%s\",\"version\":%" G_GUINT64_FORMAT, key, s->version);
	/* Objects of other writers have no operation id. */
	if (with_value && s->op != NULL) {
		g_string_append(out, ",\"op\":");
		add_string(out, s->op);
		g_string_append(out, ",\"value\":");
		add_string(out, s->value);
	}
	g_string_append(out, "}");
}

/* Answers with the objects after revision `since` and returns their number. */
static inline unsigned int
answer_objects(
    struct objects *o, struct peer *peer, uint64_t since, bool with_value)
{
	const char *at = strstr(peer->path, "prefix=");
	char *prefix = g_strndup(at + 7, strcspn(at + 7, "&"));
	char *plain = g_uri_unescape_string(prefix, NULL);
	GString *out = g_string_new(NULL);
	GHashTableIter iter;
	gpointer key, value;
	unsigned int n = 0;

	g_string_printf(out,
	    "{\"revision\":%" G_GUINT64_FORMAT ",\"objects\":[", o->revision);
	g_hash_table_iter_init(&iter, o->by_key);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		const struct stored *s = value;

		if (!g_str_has_prefix(key, plain) || s->revision <= since)
			continue;
		if (n++ > 0)
			g_string_append(out, ",");
		add_stored(out, key, s, with_value);
	}
	g_string_append(out, "]}");
	if (n > 0 || !with_value)
		peer_answer(peer, 200, "", out->str);
	g_string_free(out, TRUE);
	g_free(plain);
	g_free(prefix);
	return n;
}

static inline void
serve_watch(struct objects *o, struct peer *peer)
{
	const char *since = strstr(peer->path, "since=");

	if (answer_objects(
		o, peer, g_ascii_strtoull(since + 6, NULL, 10), true) == 0)
		g_ptr_array_add(o->waiting, peer);
}

static inline void
wake_watches(struct objects *o)
{
	guint i;

	for (i = o->waiting->len; i > 0; i--) {
		struct peer *peer = o->waiting->pdata[i - 1];

		g_ptr_array_remove_index(o->waiting, i - 1);
		if (peer->open)
			serve_watch(o, peer);
	}
}

static inline void
store(struct objects *o, const char *key, const char *op, const char *value)
{
	struct stored *s = g_hash_table_lookup(o->by_key, key);

	if (s == NULL) {
		s = g_new0(struct stored, 1);
		g_hash_table_insert(o->by_key, g_strdup(key), s);
	}
	g_free(s->op);
	g_free(s->value);
	s->op = g_strdup(op);
	s->value = g_strdup(value);
	s->version++;
	s->revision = ++o->revision;
	wake_watches(o);
}

static inline void
serve_put(struct objects *o, struct peer *peer, const char *key)
{
	struct stored *s = g_hash_table_lookup(o->by_key, key);
	JsonParser *parser = json_parser_new();
	JsonObject *body;
	GString *out = g_string_new(NULL);
	gint64 version = s == NULL ? 0 : (gint64)s->version;

	assert_true(json_parser_load_from_data(parser, peer->body, -1, NULL));
	body = json_node_get_object(json_parser_get_root(parser));
	if (json_object_has_member(body, "if_version") &&
	    json_object_get_int_member(body, "if_version") != version) {
		o->refused++;
		if (s == NULL)
			g_string_append(
			    out, "{\"version\":0,\"op\":\"\",\"value\":\"\"}");
		else
			add_stored(out, key, s, true);
		peer_answer(peer, 409, "", out->str);
	} else {
		o->writes++;
		g_string_printf(
		    out, "{\"version\":%" G_GINT64_FORMAT "}", version + 1);
		peer_answer(peer, 200, "", out->str);
		store(o, key, json_object_get_string_member(body, "op"),
		    json_object_get_string_member(body, "value"));
	}
	g_string_free(out, TRUE);
	g_object_unref(parser);
}

static inline void
serve_get(struct objects *o, struct peer *peer, const char *key)
{
	const struct stored *s = g_hash_table_lookup(o->by_key, key);
	GString *out = g_string_new(NULL);

	o->reads++;
	if (s != NULL)
		add_stored(out, key, s, true);
	peer_answer(peer, s == NULL ? 404 : 200, "",
	    s == NULL ? "{\"error\":{}}" : out->str);
	g_string_free(out, TRUE);
}

static inline void
serve_objects(struct peer *peer, void *ctx)
{
	struct objects *o = ctx;
	const char *key = peer->path + strlen("/v1/objects/");

	if (o->down) {
		peer_answer(peer, 503, "", "{\"error\":{}}");
	} else if (g_str_has_prefix(peer->path, "/v1/list")) {
		o->lists++;
		answer_objects(o, peer, 0, false);
	} else if (g_str_has_prefix(peer->path, "/v1/watch")) {
		o->watches++;
		serve_watch(o, peer);
	} else if (strcmp(peer->method, "PUT") == 0) {
		serve_put(o, peer, key);
	} else {
		serve_get(o, peer, key);
	}
}

static inline void
objects_start(struct objects *o)
{
	memset(o, 0, sizeof(*o));
	o->by_key =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, stored_free);
	o->waiting = g_ptr_array_new();
	server_start(&o->server, serve_objects, o);
}

/* Open watches fail as in an outage of the API. */
static inline void
objects_down(struct objects *o, bool down)
{
	guint i;

	o->down = down;
	for (i = 0; down && i < o->waiting->len; i++)
		peer_answer(o->waiting->pdata[i], 503, "", "{\"error\":{}}");
	if (down)
		g_ptr_array_set_size(o->waiting, 0);
}

static inline void
objects_stop(struct objects *o)
{
	server_stop(&o->server);
	g_ptr_array_unref(o->waiting);
	g_hash_table_unref(o->by_key);
}

#endif
