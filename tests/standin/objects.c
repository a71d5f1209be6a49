/* The object API: versions, conditional writes, long-poll watches. */

#include <string.h>

#include "standin/standin.h"

#define VALUE_MAX (1u << 20)

/* Objects are listed in the order of their last change, newest last, so that a
 * watch visits only the objects that it has to report. */
struct object {
	TAILQ_ENTRY(object) entry;
	char *key;
	char *op;
	char *value;
	uint64_t version;
	uint64_t revision;
};
TAILQ_HEAD(object_list, object);

struct watch {
	TAILQ_ENTRY(watch) entry;
	struct objects *api;
	struct deferred *deferred;
	char *prefix;
	uint64_t since;
	guint timer;
};
TAILQ_HEAD(watch_list, watch);

/* An answer delayed by the injected fault `delay_ms`. */
struct delayed {
	TAILQ_ENTRY(delayed) entry;
	struct objects *api;
	struct deferred *deferred;
	guint timer;
};
TAILQ_HEAD(delayed_list, delayed);

struct objects {
	GHashTable *by_key;
	struct object_list changes;
	struct watch_list watches;
	struct delayed_list delayed;
	uint64_t revision;
	int64_t reads, writes, refused, watched, lists;
	/* Injected faults. */
	bool down;
	int64_t delay_ms;
	int64_t lose_answers;
};

static void
object_free(void *data)
{
	struct object *o = data;

	g_free(o->key);
	g_free(o->op);
	g_free(o->value);
	g_free(o);
}

static void
refuse(struct objects *api, SoupServerMessage *msg, unsigned int status,
    const char *text)
{
	api->refused++;
	reply_error(msg, status, text);
}

/* ------------------------------------------------------------------ */
/* Delayed answers                                                     */
/* ------------------------------------------------------------------ */

static void
delayed_free(struct delayed *d)
{
	TAILQ_REMOVE(&d->api->delayed, d, entry);
	if (d->timer != 0)
		g_source_remove(d->timer);
	deferred_free(d->deferred);
	g_free(d);
}

static gboolean
on_delay_over(void *ctx)
{
	struct delayed *d = ctx;

	d->timer = 0;
	deferred_write(d->deferred);
	delayed_free(d);
	return G_SOURCE_REMOVE;
}

/* Delays the answer only: the request has already taken effect. */
static void
delay_answer(struct objects *api, SoupServerMessage *msg)
{
	struct delayed *d;

	if (api->delay_ms <= 0)
		return;
	d = g_new0(struct delayed, 1);
	d->api = api;
	d->deferred = deferred_new(msg, NULL, NULL);
	d->timer = g_timeout_add((guint)api->delay_ms, on_delay_over, d);
	TAILQ_INSERT_TAIL(&api->delayed, d, entry);
}

/* ------------------------------------------------------------------ */
/* Watches                                                             */
/* ------------------------------------------------------------------ */

static void
put_object(JsonBuilder *b, const struct object *o)
{
	json_builder_begin_object(b);
	put_str(b, "key", o->key);
	put_int(b, "version", (int64_t)o->version);
	put_str(b, "op", o->op);
	put_str(b, "value", o->value);
	json_builder_end_object(b);
}

/* Returns the first object changed after revision `since`, or NULL. */
static struct object *
first_after(struct objects *api, uint64_t since)
{
	struct object *o = TAILQ_LAST(&api->changes, object_list);
	struct object *first = NULL;

	while (o != NULL && o->revision > since) {
		first = o;
		o = TAILQ_PREV(o, object_list, entry);
	}
	return first;
}

static void
answer_changes(struct objects *api, SoupServerMessage *msg, const char *prefix,
    uint64_t since)
{
	JsonBuilder *b = json_begin();
	struct object *o;

	put_int(b, "revision", (int64_t)api->revision);
	json_builder_set_member_name(b, "objects");
	json_builder_begin_array(b);
	for (o = first_after(api, since); o != NULL; o = TAILQ_NEXT(o, entry)) {
		if (g_str_has_prefix(o->key, prefix))
			put_object(b, o);
	}
	json_builder_end_array(b);
	reply_json(msg, 200, b);
}

static void
watch_free(struct watch *w)
{
	TAILQ_REMOVE(&w->api->watches, w, entry);
	if (w->timer != 0)
		g_source_remove(w->timer);
	deferred_free(w->deferred);
	g_free(w->prefix);
	g_free(w);
}

static void
watch_answer(struct watch *w)
{
	answer_changes(w->api, deferred_msg(w->deferred), w->prefix, w->since);
	deferred_write(w->deferred);
	watch_free(w);
}

static gboolean
on_watch_timeout(void *ctx)
{
	struct watch *w = ctx;

	w->timer = 0;
	watch_answer(w);
	return G_SOURCE_REMOVE;
}

static void
on_watch_closed(void *ctx)
{
	watch_free(ctx);
}

static bool
has_change_after(struct objects *api, const char *prefix, uint64_t since)
{
	struct object *o = first_after(api, since);

	for (; o != NULL; o = TAILQ_NEXT(o, entry)) {
		if (g_str_has_prefix(o->key, prefix))
			return true;
	}
	return false;
}

static void
wake_watches(struct objects *api, const struct object *changed)
{
	struct watch *w, *next;

	for (w = TAILQ_FIRST(&api->watches); w != NULL; w = next) {
		next = TAILQ_NEXT(w, entry);
		if (g_str_has_prefix(changed->key, w->prefix))
			watch_answer(w);
	}
}

/* Answers all waiting watches with 503 when an outage starts. */
static void
refuse_watches(struct objects *api)
{
	struct watch *w;

	while ((w = TAILQ_FIRST(&api->watches)) != NULL) {
		refuse(api, deferred_msg(w->deferred), 503, "down");
		deferred_write(w->deferred);
		watch_free(w);
	}
}

static void
on_watch(SoupServer *server, SoupServerMessage *msg, const char *path,
    GHashTable *query, void *ctx)
{
	struct objects *api = ctx;
	const char *prefix = query_str(query, "prefix", "");
	uint64_t since = (uint64_t)query_int(query, "since", 0);
	int64_t wait_ms = query_int(query, "wait_ms", 0);
	struct watch *w;

	api->reads++;
	api->watched++;
	if (api->down) {
		refuse(api, msg, 503, "down");
		return;
	}
	if (wait_ms <= 0 || has_change_after(api, prefix, since)) {
		answer_changes(api, msg, prefix, since);
		delay_answer(api, msg);
		return;
	}
	w = g_new0(struct watch, 1);
	w->api = api;
	w->prefix = g_strdup(prefix);
	w->since = since;
	w->deferred = deferred_new(msg, on_watch_closed, w);
	w->timer = g_timeout_add((guint)wait_ms, on_watch_timeout, w);
	TAILQ_INSERT_TAIL(&api->watches, w, entry);
}

/* ------------------------------------------------------------------ */
/* Objects                                                             */
/* ------------------------------------------------------------------ */

static void
get_object(struct objects *api, SoupServerMessage *msg, const char *key)
{
	struct object *o = g_hash_table_lookup(api->by_key, key);
	JsonBuilder *b;

	if (o == NULL) {
		reply_error(msg, 404, "no such object");
		return;
	}
	b = json_begin();
	put_str(b, "key", o->key);
	put_int(b, "version", (int64_t)o->version);
	put_str(b, "op", o->op);
	put_str(b, "value", o->value);
	reply_json(msg, 200, b);
}

static void
answer_conflict(
    struct objects *api, SoupServerMessage *msg, const struct object *o)
{
	JsonBuilder *b = json_begin();

	api->refused++;
	put_int(b, "version", o == NULL ? 0 : (int64_t)o->version);
	put_str(b, "op", o == NULL ? "" : o->op);
	put_str(b, "value", o == NULL ? "" : o->value);
	reply_json(msg, 409, b);
}

static struct object *
store(struct objects *api, struct object *o, const char *key, const char *op,
    const char *value)
{
	if (o == NULL) {
		o = g_new0(struct object, 1);
		o->key = g_strdup(key);
		g_hash_table_insert(api->by_key, o->key, o);
	} else {
		TAILQ_REMOVE(&api->changes, o, entry);
	}
	TAILQ_INSERT_TAIL(&api->changes, o, entry);
	g_free(o->op);
	g_free(o->value);
	o->op = g_strdup(op);
	o->value = g_strdup(value);
	o->version++;
	o->revision = ++api->revision;
	return o;
}

static void
apply_write(struct objects *api, SoupServerMessage *msg, const char *key,
    JsonObject *body)
{
	struct object *o = g_hash_table_lookup(api->by_key, key);
	int64_t present = o == NULL ? 0 : (int64_t)o->version;
	const char *value = member_str(body, "value", NULL);
	JsonBuilder *b;

	if (value == NULL) {
		reply_error(msg, 400, "no value");
		return;
	}
	if (strlen(value) > VALUE_MAX) {
		refuse(api, msg, 413, "value above 1 MB");
		return;
	}
	if (member_int(body, "if_version", present) != present) {
		answer_conflict(api, msg, o);
		return;
	}
	o = store(api, o, key, member_str(body, "op", ""), value);
	b = json_begin();
	put_int(b, "version", (int64_t)o->version);
	reply_json(msg, 200, b);
	wake_watches(api, o);
	if (api->lose_answers > 0) {
		api->lose_answers--;
		hang_up(msg);
		return;
	}
	delay_answer(api, msg);
}

static void
handle_put(struct objects *api, SoupServerMessage *msg, const char *key)
{
	JsonObject *body;

	api->writes++;
	if (api->down) {
		refuse(api, msg, 503, "down");
		return;
	}
	body = body_object(msg);
	if (body == NULL)
		return;
	apply_write(api, msg, key, body);
	json_object_unref(body);
}

static void
on_object(SoupServer *server, SoupServerMessage *msg, const char *path,
    GHashTable *query, void *ctx)
{
	struct objects *api = ctx;
	const char *key = path + strlen("/v1/objects/");

	if (!g_str_has_prefix(path, "/v1/objects/") || *key == '\0') {
		reply_error(msg, 404, "no key");
	} else if (is_method(msg, "PUT")) {
		handle_put(api, msg, key);
	} else if (!is_method(msg, "GET")) {
		reply_error(msg, 405, "GET or PUT");
	} else {
		api->reads++;
		if (api->down) {
			refuse(api, msg, 503, "down");
			return;
		}
		get_object(api, msg, key);
		delay_answer(api, msg);
	}
}

static int
compare_keys(gconstpointer a, gconstpointer b)
{
	const struct object *const *x = a, *const *y = b;

	return strcmp((*x)->key, (*y)->key);
}

static void
on_list(SoupServer *server, SoupServerMessage *msg, const char *path,
    GHashTable *query, void *ctx)
{
	struct objects *api = ctx;
	const char *prefix = query_str(query, "prefix", "");
	GPtrArray *found;
	JsonBuilder *b;
	struct object *o;
	guint i;

	api->lists++;
	if (api->down) {
		refuse(api, msg, 503, "down");
		return;
	}
	found = g_ptr_array_new();
	TAILQ_FOREACH (o, &api->changes, entry) {
		if (g_str_has_prefix(o->key, prefix))
			g_ptr_array_add(found, o);
	}
	g_ptr_array_sort(found, compare_keys);
	b = json_begin();
	put_int(b, "revision", (int64_t)api->revision);
	json_builder_set_member_name(b, "objects");
	json_builder_begin_array(b);
	for (i = 0; i < found->len; i++) {
		o = found->pdata[i];
		json_builder_begin_object(b);
		put_str(b, "key", o->key);
		put_int(b, "version", (int64_t)o->version);
		json_builder_end_object(b);
	}
	json_builder_end_array(b);
	g_ptr_array_free(found, TRUE);
	reply_json(msg, 200, b);
	delay_answer(api, msg);
}

/* ------------------------------------------------------------------ */
/* Faults and counts                                                   */
/* ------------------------------------------------------------------ */

static void
on_faults(SoupServer *server, SoupServerMessage *msg, const char *path,
    GHashTable *query, void *ctx)
{
	struct objects *api = ctx;
	JsonObject *body = body_object(msg);

	if (body == NULL)
		return;
	api->down = member_bool(body, "down", api->down);
	member_int_into(body, "delay_ms", &api->delay_ms);
	member_int_into(body, "lose_answers", &api->lose_answers);
	json_object_unref(body);
	if (api->down)
		refuse_watches(api);
	reply_json(msg, 200, json_begin());
}

static void
on_counts(SoupServer *server, SoupServerMessage *msg, const char *path,
    GHashTable *query, void *ctx)
{
	struct objects *api = ctx;
	JsonBuilder *b = json_begin();

	put_int(b, "reads", api->reads);
	put_int(b, "writes", api->writes);
	put_int(b, "refused", api->refused);
	put_int(b, "watches", api->watched);
	put_int(b, "lists", api->lists);
	reply_json(msg, 200, b);
}

static void
on_reset(SoupServer *server, SoupServerMessage *msg, const char *path,
    GHashTable *query, void *ctx)
{
	struct objects *api = ctx;

	api->reads = api->writes = api->refused = 0;
	api->watched = api->lists = 0;
	reply_json(msg, 200, json_begin());
}

/* ------------------------------------------------------------------ */
/* Setup and teardown                                                  */
/* ------------------------------------------------------------------ */

static void
objects_free(void *ctx)
{
	struct objects *api = ctx;

	while (!TAILQ_EMPTY(&api->watches))
		watch_free(TAILQ_FIRST(&api->watches));
	while (!TAILQ_EMPTY(&api->delayed))
		delayed_free(TAILQ_FIRST(&api->delayed));
	g_hash_table_destroy(api->by_key);
	g_free(api);
}

struct standin *
objects_start(const struct objects_options *options, struct err *err)
{
	struct objects *api = g_new0(struct objects, 1);
	SoupServer *server = soup_server_new(NULL, NULL);

	api->by_key =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, object_free);
	TAILQ_INIT(&api->changes);
	TAILQ_INIT(&api->watches);
	TAILQ_INIT(&api->delayed);
	soup_server_add_handler(server, "/v1/objects", on_object, api, NULL);
	soup_server_add_handler(server, "/v1/list", on_list, api, NULL);
	soup_server_add_handler(server, "/v1/watch", on_watch, api, NULL);
	soup_server_add_handler(server, "/admin/faults", on_faults, api, NULL);
	soup_server_add_handler(server, "/admin/counts", on_counts, api, NULL);
	soup_server_add_handler(
	    server, "/admin/reset_counts", on_reset, api, NULL);
	return standin_new(server, options->port, api, objects_free, err);
}

int
objects_main(int argc, const char **argv)
{
	struct objects_options options = { 0 };
	struct err err = { 0 };
	int port = 0;
	const struct poptOption table[] = {
		{ "port", 0, POPT_ARG_INT, &port, 0, "port, 0 picks one", "P" },
		POPT_AUTOHELP POPT_TABLEEND,
	};

	if (!standin_options(argc, argv, table))
		return 2;
	options.port = (unsigned int)port;
	return standin_serve(objects_start(&options, &err), &err);
}
