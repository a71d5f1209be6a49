/*
 * Watch of the object API: long polls that continue until the watch is stopped.
 *
 * Each poll returns the changes after the revision in its query, so no change
 * is lost between two polls. In two cases the watch instead lists the prefix
 * again, reads every object and reports all of them as changed:
 *
 *  - The API restarted with a lower revision. Its new writes would stay below
 *    the watch's revision for a long time and would not be reported.
 *  - The changes exceed the size limit of one response, so every further poll
 *    would fail too.
 */

#include <string.h>

#include "platform/platform_internal.h"

/* How long the API holds an idle poll: each poll counts as a call. A lost one is
 * noticed only after this and the time below, a good part of the 14 s within which
 * changes must be in force. */
#define POLL_WAIT_MS 5000
/* Time allowed for the response after the hold time of a poll has ended. */
#define POLL_GRACE_MS 4000
#define RELIST_DEADLINE_MS 10000
/* Minimum time between the starts of two polls. Without it, a busy prefix or
 * an API that does not hold polls would be polled as fast as it responds. */
#define POLL_SPACING_MS 100

struct obj_watch {
	struct obj *obj;
	char *escaped_prefix; /* for use in a query */
	char *prefix;
	uint64_t since;
	const struct obj_watch_ops *ops;
	void *ctx;
	struct fetch *poll;
	guint timer;
	unsigned int failures;
	bool lost; /* `lost` was called, and `recovered` not since */
	int64_t polled_ms; /* start of the last poll */
	bool poll_at_once; /* ask the API not to hold the next poll */
	/* State of a relist; `keys` is NULL when none is running. */
	GPtrArray *keys;
	guint next_key;
	uint64_t listed_revision;
	unsigned int pending; /* running gets and lists */
	bool in_callback; /* a callback to the owner is running */
	bool stopped;
};

static void watch_poll(struct obj_watch *watch);
static void watch_next(struct obj_watch *watch);

static void
watch_free(struct obj_watch *watch)
{
	if (watch->keys != NULL)
		g_ptr_array_unref(watch->keys);
	g_free(watch->escaped_prefix);
	g_free(watch->prefix);
	g_free(watch);
}

/* True if the watch was stopped; it may then have been freed. */
static bool
check_stopped(struct obj_watch *watch)
{
	if (!watch->stopped)
		return false;
	if (watch->pending == 0 && !watch->in_callback)
		watch_free(watch);
	return true;
}

static bool
notify_lost(struct obj_watch *watch, const struct err *err)
{
	if (watch->lost)
		return true;
	watch->lost = true;
	if (watch->obj->plat->timeline != NULL) {
		tl_add(watch->obj->plat->timeline, "obj_watch_lost",
		    watch->prefix, "%s", err->message);
	}
	if (watch->ops->lost == NULL)
		return true;
	watch->in_callback = true;
	watch->ops->lost(err, watch->ctx);
	watch->in_callback = false;
	return !check_stopped(watch);
}

static bool
notify_recovered(struct obj_watch *watch)
{
	watch->failures = 0;
	watch->poll_at_once = false;
	if (!watch->lost)
		return true;
	watch->lost = false;
	if (watch->obj->plat->timeline != NULL) {
		tl_add(watch->obj->plat->timeline, "obj_watch_found",
		    watch->prefix, "at revision %" G_GUINT64_FORMAT,
		    watch->since);
	}
	if (watch->ops->recovered == NULL)
		return true;
	watch->in_callback = true;
	watch->ops->recovered(watch->ctx);
	watch->in_callback = false;
	return !check_stopped(watch);
}

static bool
notify_changed(
    struct obj_watch *watch, const struct obj_object *objects, size_t n)
{
	if (n == 0)
		return true;
	watch->in_callback = true;
	watch->ops->changed(watch->since, objects, n, watch->ctx);
	watch->in_callback = false;
	return !check_stopped(watch);
}

static gboolean
on_poll_timer(gpointer data)
{
	struct obj_watch *watch = data;

	watch->timer = 0;
	watch_poll(watch);
	return G_SOURCE_REMOVE;
}

static void
watch_failed(struct obj_watch *watch, const struct err *err)
{
	watch->failures++;
	/* The API may have restarted: get its revision without a hold time. */
	watch->poll_at_once = true;
	ctr_add(watch->obj->retries, 1);
	if (!notify_lost(watch, err))
		return;
	watch->timer =
	    g_timeout_add(obj_backoff_ms(&watch->obj->rng, watch->failures),
		on_poll_timer, watch);
}

/* ------------------------------------------------------------------ */
/* Relist                                                              */
/* ------------------------------------------------------------------ */

static void relist_next(struct obj_watch *watch);

static void
relist_end(struct obj_watch *watch)
{
	g_ptr_array_unref(watch->keys);
	watch->keys = NULL;
	if (notify_recovered(watch))
		watch_next(watch);
}

static void
on_relist_object(
    const struct obj_object *object, const struct err *err, void *ctx)
{
	struct obj_watch *watch = ctx;

	watch->pending--;
	if (check_stopped(watch))
		return;
	/* One that is gone or malformed is left out, as the others hold. */
	if (err != NULL && err->code != ERR_NOT_FOUND &&
	    err->code != ERR_CORRUPT) {
		watch_failed(watch, err);
		return;
	}
	if (err == NULL && !notify_changed(watch, object, 1))
		return;
	relist_next(watch);
}

static void
relist_next(struct obj_watch *watch)
{
	const char *key;

	if (watch->next_key == watch->keys->len) {
		relist_end(watch);
		return;
	}
	key = watch->keys->pdata[watch->next_key++];
	watch->pending++;
	obj_get(watch->obj, key, RELIST_DEADLINE_MS, on_relist_object, watch);
}

static void
on_relisted(uint64_t revision, const struct obj_object *objects, size_t n,
    const struct err *err, void *ctx)
{
	struct obj_watch *watch = ctx;
	size_t i;

	watch->pending--;
	if (check_stopped(watch))
		return;
	if (err != NULL) {
		watch_failed(watch, err);
		return;
	}
	/* The next poll returns the changes made while objects are read. */
	watch->since = revision;
	for (i = 0; i < n; i++)
		g_ptr_array_add(watch->keys, g_strdup(objects[i].key));
	relist_next(watch);
}

static void
relist(struct obj_watch *watch)
{
	if (watch->keys != NULL)
		g_ptr_array_unref(watch->keys);
	watch->keys = g_ptr_array_new_with_free_func(g_free);
	watch->next_key = 0;
	watch->pending++;
	obj_list(
	    watch->obj, watch->prefix, RELIST_DEADLINE_MS, on_relisted, watch);
}

/* ------------------------------------------------------------------ */
/* Polls                                                               */
/* ------------------------------------------------------------------ */

static bool
parse_change(JsonObject *json, struct obj_object *out)
{
	return obj_parse(json, NULL, out);
}

static void
apply_changes(struct obj_watch *watch, JsonObject *json)
{
	struct obj_object *objects;
	uint64_t revision;
	struct err err;
	guint n;

	objects = obj_parse_list(watch->obj, json, parse_change, &revision, &n);
	if (objects == NULL) {
		reply_malformed(&err);
		watch_failed(watch, &err);
		return;
	}
	if (revision < watch->since) {
		relist(watch);
	} else {
		watch->since = revision;
		if (notify_recovered(watch) &&
		    notify_changed(watch, objects, n))
			watch_next(watch);
	}
	g_free(objects);
}

static void
on_poll_response(
    const struct fetch_response *response, const struct err *err, void *ctx)
{
	struct obj_watch *watch = ctx;
	struct reply reply;
	struct err why;

	watch->poll = NULL;
	if (err != NULL && err->code == ERR_TOO_LARGE) {
		relist(watch);
	} else if (!reply_from_fetch(&reply, response, err, &why)) {
		watch_failed(watch, &why);
	} else {
		apply_changes(watch, reply.json);
		reply_close(&reply);
	}
}

static void
watch_next(struct obj_watch *watch)
{
	int64_t delay_ms =
	    watch->polled_ms + POLL_SPACING_MS - obj_now_ms(watch->obj);

	watch->timer =
	    g_timeout_add((guint)MAX(0, delay_ms), on_poll_timer, watch);
}

static void
watch_poll(struct obj_watch *watch)
{
	unsigned int wait_ms = watch->poll_at_once ? 0 : POLL_WAIT_MS;
	char *path;

	/* Restart a relist that failed before its end. */
	if (watch->keys != NULL) {
		relist(watch);
		return;
	}
	path = g_strdup_printf("/v1/watch?prefix=%s&since=%" G_GUINT64_FORMAT
			       "&wait_ms=%u",
	    watch->escaped_prefix, watch->since, wait_ms);
	ctr_add(watch->obj->watch_calls, 1);
	watch->polled_ms = obj_now_ms(watch->obj);
	watch->poll = fetch_start(watch->obj->plat,
	    &(struct fetch_request){
		.base = watch->obj->base,
		.method = "GET",
		.path = path,
		.deadline_ms = wait_ms + POLL_GRACE_MS,
		.max_bytes = FETCH_JSON_MAX,
	    },
	    on_poll_response, watch);
	g_free(path);
}

struct obj_watch *
obj_watch_start(struct obj *obj, const char *prefix, uint64_t since,
    const struct obj_watch_ops *ops, void *ctx)
{
	struct obj_watch *watch = g_new0(struct obj_watch, 1);

	watch->obj = obj;
	watch->prefix = g_strdup(prefix);
	watch->escaped_prefix = g_uri_escape_string(prefix, NULL, FALSE);
	watch->since = since;
	watch->ops = ops;
	watch->ctx = ctx;
	/* The first poll is not held: the API may have restarted with a lower
	 * revision since `since` was read. */
	watch->poll_at_once = true;
	obj->watches++;
	watch_poll(watch);
	return watch;
}

void
obj_watch_stop(struct obj_watch *watch)
{
	if (watch->timer != 0)
		g_source_remove(watch->timer);
	fetch_cancel(watch->poll);
	watch->poll = NULL;
	watch->timer = 0;
	watch->obj->watches--;
	watch->stopped = true;
	check_stopped(watch);
}
