/* The stand-in's store: lists, long-poll watches, and a history that can be
 * discarded. */

#include <stdlib.h>
#include <string.h>

#include "fleet.h"

/* Changes per response, at most so many or one of more than the bytes. */
#define CHANGES_MAX 500
#define CHANGES_BYTES (1u << 20)

struct fleet_object {
	char *kind, *name, *spec;
	int64_t revision;
};

struct fleet_event {
	char *kind, *name, *spec;
	int64_t revision, at_us;
	bool removed;
};

/* A watch request that waits for events. */
struct fleet_watch {
	LIST_ENTRY(fleet_watch) link;
	struct fleet *f;
	struct hreq *r;
	char *kind;
	int64_t since;
	struct evl_timer timer;
};

/* Appends the member of an object's name. */
static void
append_name(GString *out, const char *name)
{
	const char *at;

	if (strcmp(name, FLEET_UNNAMED) == 0)
		return;
	g_string_append(out, "\"name\":\"");
	for (at = name; *at != '\0'; at++) {
		if (*at == '"' || *at == '\\' || g_ascii_iscntrl(*at))
			g_string_append_printf(
			    out, "\\u%04x", (unsigned char)*at);
		else
			g_string_append_c(out, *at);
	}
	g_string_append(out, "\",");
}

static void
append_object(
    GString *out, const char *name, int64_t revision, const char *spec)
{
	g_string_append(out, "{\"metadata\":{");
	append_name(out, name);
	g_string_append_printf(out,
	    "\"revision\":%" G_GINT64_FORMAT
	    ",\"created\":1,\"finalizers\":[],\"deleting\":false},"
	    "\"spec\":%s,\"status\":null}",
	    revision, spec);
}

static void
answer(struct fleet *f, struct hreq *r, unsigned int status, GString *body)
{
	char headers[96];

	g_snprintf(headers, sizeof(headers),
	    "Content-Type: application/json\r\nStore-Era: %" G_GINT64_FORMAT
	    "\r\n",
	    f->era);
	hreq_answer(r, status, headers, body == NULL ? "" : body->str,
	    body == NULL ? 0 : body->len);
	if (body != NULL)
		g_string_free(body, TRUE);
}

/* ------------------------------------------------------------------ */
/* Watches                                                             */
/* ------------------------------------------------------------------ */

/* Events of a kind after `since`, the oldest first; NULL when there are none. */
static GString *
events_since(struct fleet *f, const char *kind, int64_t since)
{
	GString *out = g_string_new("{\"events\":[");
	int64_t at = f->revision;
	unsigned int n = 0;
	guint i;

	for (i = 0; i < f->history->len; i++) {
		const struct fleet_event *e = f->history->pdata[i];

		if (e->revision <= since || strcmp(e->kind, kind) != 0)
			continue;
		if (n >= CHANGES_MAX || out->len >= CHANGES_BYTES) {
			at = e->revision - 1;
			break;
		}
		g_string_append_printf(out,
		    "%s{\"removed\":%s,\"object\":", n++ > 0 ? "," : "",
		    e->removed ? "true" : "false");
		append_object(out, e->name, e->revision, e->spec);
		g_string_append_c(out, '}');
	}
	g_string_append_printf(out, "],\"at\":%" G_GINT64_FORMAT "}", at);
	if (n > 0)
		return out;
	g_string_free(out, TRUE);
	return NULL;
}

static void
watch_free(struct fleet_watch *w)
{
	LIST_REMOVE(w, link);
	evl_timer_stop(w->f->loop, &w->timer);
	g_free(w->kind);
	g_free(w);
}

static void
on_watch_end(struct evl_timer *timer)
{
	struct fleet_watch *w = CONTAINER_OF(timer, struct fleet_watch, timer);
	GString *out = g_string_new(NULL);
	struct hreq *r = w->r;
	struct fleet *f;

	g_string_printf(
	    out, "{\"events\":[],\"at\":%" G_GINT64_FORMAT "}", w->f->revision);
	f = w->f;
	watch_free(w);
	answer(f, r, 200, out);
}

static void
notify_watches(struct fleet *f, const char *kind)
{
	struct fleet_watch *w = LIST_FIRST(&f->watches), *next;

	for (; w != NULL; w = next) {
		struct hreq *r = w->r;
		GString *out;

		next = LIST_NEXT(w, link);
		if (strcmp(w->kind, kind) != 0)
			continue;
		out = events_since(f, kind, w->since);
		if (out == NULL)
			continue;
		watch_free(w);
		answer(f, r, 200, out);
	}
}

/* ------------------------------------------------------------------ */
/* Objects                                                             */
/* ------------------------------------------------------------------ */

static void
append_event(struct fleet *f, const char *kind, const char *name,
    const char *spec, bool removed)
{
	struct fleet_event *e = g_new0(struct fleet_event, 1);

	e->kind = g_strdup(kind);
	e->name = g_strdup(name);
	e->spec = g_strdup(spec);
	e->revision = ++f->revision;
	e->at_us = evl_now_us(f->loop);
	e->removed = removed;
	g_ptr_array_add(f->history, e);
	notify_watches(f, kind);
}

static void
set_object(struct fleet *f, const char *kind, const char *name,
    const char *spec, int64_t revision)
{
	char *key = g_strdup_printf("%s/%s", kind, name);
	struct fleet_object *o = g_hash_table_lookup(f->objects, key);

	if (o == NULL) {
		o = g_new0(struct fleet_object, 1);
		o->kind = g_strdup(kind);
		o->name = g_strdup(name);
		g_hash_table_insert(f->objects, g_strdup(key), o);
	}
	g_free(key);
	g_free(o->spec);
	o->spec = g_strdup(spec);
	o->revision = revision;
}

static bool
remove_object(struct fleet *f, const char *kind, const char *name)
{
	char *key = g_strdup_printf("%s/%s", kind, name);
	bool removed = g_hash_table_remove(f->objects, key);

	g_free(key);
	return removed;
}

void
fleet_store_put(
    struct fleet *f, const char *kind, const char *name, const char *spec)
{
	char *key = g_strdup_printf("%s/%s", kind, name);
	const struct fleet_object *o = g_hash_table_lookup(f->objects, key);

	g_free(key);
	if (o != NULL && strcmp(o->spec, spec) == 0)
		return;
	set_object(f, kind, name, spec, f->revision + 1);
	append_event(f, kind, name, spec, false);
}

void
fleet_store_remove(struct fleet *f, const char *kind, const char *name)
{
	if (remove_object(f, kind, name))
		append_event(f, kind, name, "null", true);
}

void
fleet_store_cut_watches(struct fleet *f, const char *kind, bool within)
{
	struct fleet_watch *w = LIST_FIRST(&f->watches), *next;

	for (; w != NULL; w = next) {
		struct hreq *r = w->r;

		next = LIST_NEXT(w, link);
		if (kind != NULL && strcmp(w->kind, kind) != 0)
			continue;
		watch_free(w);
		if (within) {
			hreq_begin(
			    r, 200, "Content-Type: application/json\r\n");
			hreq_write(r, "{\"events\":[", 11);
		}
		hreq_abort(r);
	}
}

void
fleet_store_discard_history(struct fleet *f)
{
	f->history_from = f->revision;
	fleet_store_cut_watches(f, NULL, false);
}

/* ------------------------------------------------------------------ */
/* Drills                                                              */
/* ------------------------------------------------------------------ */

/* Replaces the state by that of `at_us`; later revisions are given out again. */
static void
restore_copy(struct fleet *f, int64_t at_us)
{
	const struct fleet_event *e;
	guint n;

	g_hash_table_remove_all(f->objects);
	f->revision = 0;
	for (n = 0; n < f->history->len; n++) {
		e = f->history->pdata[n];
		if (e->at_us > at_us)
			break;
		if (e->removed)
			(void)remove_object(f, e->kind, e->name);
		else
			set_object(f, e->kind, e->name, e->spec, e->revision);
		f->revision = e->revision;
	}
	g_ptr_array_set_size(f->history, (gint)n);
	f->history_from = MIN(f->history_from, f->revision);
}

void
fleet_store_end_refusal(struct fleet *f)
{
	f->store_refuses = false;
	f->store_disturbed_us = evl_now_us(f->loop);
}

int64_t
fleet_store_disturbed_us(const struct fleet *f)
{
	if (f->store_refuses)
		return evl_now_us(f->loop);
	return MAX(
	    f->store_disturbed_us, fleet_proxy_disturbed_us(f->proxy[0]));
}

static void
on_drill_end(struct evl_timer *t)
{
	fleet_store_end_refusal(CONTAINER_OF(t, struct fleet, drill_end));
}

void
fleet_store_drill(struct fleet *f, int64_t age_us, int64_t away_us)
{
	int64_t now_us = evl_now_us(f->loop);

	f->era++;
	f->drill_us = now_us;
	f->before_drill_us = fleet_store_disturbed_us(f);
	f->store_refuses = true;
	fleet_store_cut_watches(f, NULL, false);
	restore_copy(f, now_us - age_us);
	g_printerr("drill: back from a copy %" G_GINT64_FORMAT
		   " ms old, revision %" G_GINT64_FORMAT "\n",
	    age_us / 1000, f->revision);
	f->drill_end.fire = on_drill_end;
	evl_timer_set(f->loop, &f->drill_end, now_us + away_us);
}

void
fleet_store_remove_unknown(struct fleet *f)
{
	GList *all = g_hash_table_get_values(f->objects), *at;
	GPtrArray *names = g_ptr_array_new_with_free_func(g_free);
	const struct fleet_object *o;
	size_t i;

	for (at = all; at != NULL; at = at->next) {
		o = at->data;
		for (i = 0; i < f->nengines; i++) {
			if (strcmp(fleet_engine_id(f, i), o->name) == 0)
				break;
		}
		if (i == f->nengines && strcmp(o->kind, "servers") == 0)
			g_ptr_array_add(names, g_strdup(o->name));
	}
	g_list_free(all);
	for (i = 0; i < names->len; i++)
		fleet_store_remove(f, "servers", names->pdata[i]);
	g_ptr_array_unref(names);
}

/* ------------------------------------------------------------------ */
/* Calls                                                               */
/* ------------------------------------------------------------------ */

/* Whether all characters may stand in the path and query of a request. */
static bool
is_valid_target(const char *target)
{
	const char *at;

	for (at = target; *at != '\0'; at++) {
		if (*at == '%' &&
		    (!g_ascii_isxdigit(at[1]) || !g_ascii_isxdigit(at[2])))
			return false;
		if (!g_ascii_isalnum(*at) &&
		    strchr("%-._~!$&'()*+,;=:@/?", *at) == NULL)
			return false;
	}
	return true;
}

/* Decodes a value of a query, in which a blank may be written as '+'. */
static char *
decode_value(const char *text, size_t len)
{
	char *value = g_strndup(text, len), *decoded;

	g_strdelimit(value, "+", ' ');
	decoded = g_uri_unescape_string(value, NULL);
	g_free(value);
	return decoded;
}

static char *
query(const char *target, const char *name)
{
	char *key = g_strdup_printf("%s=", name);
	const char *at = strchr(target, '?');
	char *value = NULL;

	while (at != NULL) {
		at++;
		if (g_str_has_prefix(at, key)) {
			at += strlen(key);
			value = decode_value(at, strcspn(at, "&"));
			break;
		}
		at = strchr(at, '&');
	}
	g_free(key);
	return value;
}

static gint
by_name(gconstpointer a, gconstpointer b)
{
	return strcmp(((const struct fleet_object *)a)->name,
	    ((const struct fleet_object *)b)->name);
}

static void
answer_list(
    struct fleet *f, struct hreq *r, const char *kind, const char *after)
{
	GList *all = g_list_sort(g_hash_table_get_values(f->objects), by_name);
	GString *out = g_string_new("{\"items\":[");
	unsigned int n = 0;
	bool more = false;
	GList *at;

	for (at = all; at != NULL; at = at->next) {
		const struct fleet_object *o = at->data;

		if (strcmp(o->kind, kind) != 0 ||
		    (after != NULL && strcmp(o->name, after) <= 0))
			continue;
		more = n == fleet_odd_page();
		if (more)
			break;
		if (n++ > 0)
			g_string_append_c(out, ',');
		append_object(out, o->name, o->revision, o->spec);
	}
	g_list_free(all);
	g_string_append_printf(out,
	    "],\"hasMore\":%s,\"at\":%" G_GINT64_FORMAT "}",
	    more ? "true" : "false", f->revision);
	answer(f, r, 200, out);
}

static void
answer_watch(struct fleet *f, struct hreq *r, const char *kind, int64_t since,
    int64_t wait_ms)
{
	struct fleet_watch *w;
	GString *out;

	if (since < f->history_from || since > f->revision) {
		answer(f, r, 410, NULL);
		return;
	}
	out = events_since(f, kind, since);
	if (out != NULL) {
		answer(f, r, 200, out);
		return;
	}
	w = g_new0(struct fleet_watch, 1);
	w->f = f;
	w->r = r;
	w->kind = g_strdup(kind);
	w->since = since;
	w->timer.fire = on_watch_end;
	hreq_set_ctx(r, w);
	LIST_INSERT_HEAD(&f->watches, w, link);
	evl_timer_set(f->loop, &w->timer, evl_now_us(f->loop) + wait_ms * 1000);
}

static void
on_request(struct hreq *r, void *ctx)
{
	struct fleet *f = ctx;
	char *target = hslice_dup(hreq_msg(r)->target);
	const char *kind_at = target + strlen("/-/objects/");
	char *kind, *watch, *wait, *after;

	hreq_set_ctx(r, NULL);
	if (!is_valid_target(target)) {
		answer(f, r, 400, NULL);
		g_free(target);
		return;
	}
	if (f->store_refuses) {
		answer(f, r, 503, NULL);
		g_free(target);
		return;
	}
	if (!g_str_has_prefix(target, "/-/objects/")) {
		answer(f, r, 404, NULL);
		g_free(target);
		return;
	}
	kind = g_strndup(kind_at, strcspn(kind_at, "?/"));
	watch = query(target, "watch");
	wait = query(target, "waitMs");
	after = query(target, "after");
	if (watch != NULL)
		answer_watch(
		    f, r, kind, atoll(watch), wait == NULL ? 0 : atoll(wait));
	else
		answer_list(f, r, kind, after);
	g_free(kind);
	g_free(watch);
	g_free(wait);
	g_free(after);
	g_free(target);
}

static void
on_disconnected(struct hreq *r, void *ctx)
{
	struct fleet_watch *w = hreq_ctx(r);

	if (w != NULL)
		watch_free(w);
}

static void
on_drained(struct hreq *r, void *ctx)
{
}

static void
on_refused(unsigned int status, void *ctx)
{
}

static const struct hserver_ops ops = {
	.request = on_request,
	.disconnected = on_disconnected,
	.drained = on_drained,
	.refused = on_refused,
};

static void
object_free(gpointer data)
{
	struct fleet_object *o = data;

	g_free(o->kind);
	g_free(o->name);
	g_free(o->spec);
	g_free(o);
}

static void
event_free(gpointer data)
{
	struct fleet_event *e = data;

	g_free(e->kind);
	g_free(e->name);
	g_free(e->spec);
	g_free(e);
}

bool
fleet_store_open(struct fleet *f, const char *address, struct err *err)
{
	f->objects =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, object_free);
	f->history = g_ptr_array_new_with_free_func(event_free);
	f->renamed_us = g_array_new(FALSE, FALSE, sizeof(int64_t));
	f->era = 1;
	LIST_INIT(&f->watches);
	f->store = hserver_new(&(struct hserver_conf){ .loop = f->loop,
				   .address = address,
				   .limits = &f->limits,
				   .connections_max = 500,
				   .bodies_max = 1 << 20,
				   .ops = &ops,
				   .ctx = f },
	    err);
	return f->store != NULL;
}
