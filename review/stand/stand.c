/*
 * A small stand-in for the users' platform, for the scripts beside it: its
 * store, two model engines with a staging area, the origin of weights, and
 * clients that send streams to two gateways. One process, on loopback addresses:
 *
 *   stand MODE TROUBLE NET SECONDS FOLDER
 *
 * MODE is `freeze`, `manifest`, `size` or `reborn` (one engine of a service without
 * weights, in place of the two); with TROUBLE 0 nothing is disturbed.
 * NET makes the addresses 127.0.NET.x. FOLDER holds the process ids of the
 * keepers. SIGUSR1: all machines lose power; SIGUSR2: they are back. All that is
 * sent, run and answered goes to standard output. The exit code is 1 if the rule
 * of the mode was broken, 0 if it held, 2 if the case could not run.
 */

#include <glib-unix.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "http/http.h"

#define MODEL "m0"
#define SERVICE "writer"
#define CHUNKS 64
#define CHUNK_BYTES 32768
#define ENGINES 2
#define GATEWAYS 2
#define SLOTS 16
#define EVENTS 6
#define EVENT_US 40000
#define LOAD_US 300000
#define ASK_US 50000
#define DEADLINE_MS 6000
#define KEY "key-of-desk"
/* RULES.md, WHOLE: "not if it had turned bad there in the last 3 s". */
#define BAD_EXCUSED_US 3000000
/* The site file: node_freeze, on = "side", for_s = 4.0. */
#define FREEZE_US 4000000
/* The chunk during whose check the keeper freezes. */
#define FREEZE_AT 40
/* Three lists of digests of each keeper. */
#define SPOILT_SIZES (3 * ENGINES)
#define NAMES_MAX 5
#define NAME_GAP_US 1000000
#define NAMING_US 5000000
#define SIZE_NAMING_US 3500000
/* An entry is removed "after three status report intervals of silence", of
 * 1.2 s each; here counted from the last report half an interval before. */
#define EXPIRE_US 3000000
#define RECOVER_US 12000000 /* recoverS of the sheet */

struct object {
	char *kind, *name, *spec; /* spec NULL: removed */
	int64_t revision;
};

struct watch {
	LIST_ENTRY(watch) link;
	struct hreq *r;
	char *kind;
	int64_t since;
	struct evl_timer timer;
};

struct engine;

struct run {
	LIST_ENTRY(run) link;
	struct engine *e;
	struct hreq *r;
	char id[32];
	int next;
	int64_t version;
	struct evl_timer timer;
};

struct engine {
	unsigned int number, starts;
	char id[24], address[32];
	bool has_power;
	int64_t version, loading;
	bool holds_bad, loads_bad;
	uint8_t *staged[CHUNKS];
	int64_t bad_since_us[CHUNKS]; /* 0: it is as it was put */
	struct evl_timer load;
	LIST_HEAD(runs, run) runs;
	unsigned int nruns;
	uint64_t sequence;
};

struct ask {
	struct hcall *call;
	char id[32];
	int64_t sent_us;
	unsigned int status;
	GString *body;
};

static struct evl *loop;
static GMainLoop *main_loop;
static struct hpool *pool;
static struct hlimits limits = { 16384, 1 << 20, 3000000, 15000000 };
static GPtrArray *objects;
static int64_t revision = 7;
static LIST_HEAD(, watch) watches;
static struct engine engines[ENGINES];
static const char *mode, *folder;
static bool trouble;
static int net;
static int64_t begun_us, back_us;
static unsigned int asked, served, late_asked, late_served, before_asked,
    before_served;
static unsigned int origin_answers, origin_spoilt, manifests;
static unsigned int bad_tokens, tokens, next_id, config_version = 1;
static int64_t named = 1;
static bool froze;
static struct evl_timer asking, ending, thawing, naming, expiring;
static unsigned int nengines = ENGINES;
static char gone_id[24];

static int64_t
now_us(void)
{
	return evl_now_us(loop);
}

static void note(const char *format, ...) G_GNUC_PRINTF(1, 2);

static void
note(const char *format, ...)
{
	va_list args;

	printf("%9.3f ", (double)(now_us() - begun_us) / G_USEC_PER_SEC);
	va_start(args, format);
	vprintf(format, args);
	va_end(args);
	putchar('\n');
	fflush(stdout);
}

static void
address_of(char *out, size_t size, int host, int port)
{
	g_snprintf(out, size, "127.0.%d.%d:%d", net, host, port);
}

static void
ignore(struct hreq *r, void *ctx)
{
}

static void
ignore_refused(unsigned int status, void *ctx)
{
}

static bool
find_text(struct hreq *r, const char *name, char *out, size_t size)
{
	const struct hheader *h = hmsg_find(hreq_msg(r), name);
	size_t n = h == NULL ? 0 : MIN(h->value.n, size - 1);

	if (n > 0)
		memcpy(out, h->value.p, n);
	out[n] = '\0';
	return h != NULL;
}

/* ------------------------------------------------------------------ */
/* The store                                                           */
/* ------------------------------------------------------------------ */

static void
append_object(GString *out, const struct object *o)
{
	g_string_append_printf(out,
	    "{\"metadata\":{\"name\":\"%s\",\"revision\":%" G_GINT64_FORMAT
	    ",\"created\":1,\"finalizers\":[],\"deleting\":false},"
	    "\"spec\":%s,\"status\":null}",
	    o->name, o->revision, o->spec == NULL ? "null" : o->spec);
}

static void
answer_json(struct hreq *r, GString *body)
{
	hreq_answer(
	    r, 200, "Content-Type: application/json\r\n", body->str, body->len);
	g_string_free(body, TRUE);
}

static GString *
events_since(const char *kind, int64_t since, unsigned int *n)
{
	GString *out = g_string_new("{\"events\":[");
	const struct object *o;
	guint i;

	*n = 0;
	for (i = 0; i < objects->len; i++) {
		o = objects->pdata[i];
		if (o->revision <= since || strcmp(o->kind, kind) != 0)
			continue;
		g_string_append_printf(out,
		    "%s{\"removed\":%s,\"object\":", (*n)++ > 0 ? "," : "",
		    o->spec == NULL ? "true" : "false");
		append_object(out, o);
		g_string_append_c(out, '}');
	}
	g_string_append_printf(out, "],\"at\":%" G_GINT64_FORMAT "}", revision);
	return out;
}

static void
watch_end(struct watch *w, GString *body)
{
	struct hreq *r = w->r;

	LIST_REMOVE(w, link);
	evl_timer_stop(loop, &w->timer);
	g_free(w->kind);
	g_free(w);
	if (body != NULL)
		answer_json(r, body);
}

static void
on_watch_time(struct evl_timer *t)
{
	struct watch *w = CONTAINER_OF(t, struct watch, timer);
	unsigned int n;

	watch_end(w, events_since(w->kind, w->since, &n));
}

static void
store_put(const char *kind, const char *name, const char *spec)
{
	struct object *o = g_new0(struct object, 1);
	struct watch *w, *next;
	unsigned int n;

	o->kind = g_strdup(kind);
	o->name = g_strdup(name);
	o->spec = g_strdup(spec);
	o->revision = ++revision;
	g_ptr_array_add(objects, o);
	for (w = LIST_FIRST(&watches); w != NULL; w = next) {
		next = LIST_NEXT(w, link);
		if (strcmp(w->kind, kind) == 0)
			watch_end(w, events_since(kind, w->since, &n));
	}
}

static gint
by_name(gconstpointer a, gconstpointer b)
{
	return strcmp((*(const struct object *const *)a)->name,
	    (*(const struct object *const *)b)->name);
}

static bool
is_last(guint i)
{
	const struct object *o = objects->pdata[i], *other;

	for (i++; i < objects->len; i++) {
		other = objects->pdata[i];
		if (strcmp(o->kind, other->kind) == 0 &&
		    strcmp(o->name, other->name) == 0)
			return false;
	}
	return true;
}

/* Sorted by name, as a list is continued after a name. */
static void
answer_list(struct hreq *r, const char *kind)
{
	GString *out = g_string_new("{\"items\":[");
	GPtrArray *all = g_ptr_array_new();
	struct object *o;
	guint i;

	for (i = 0; i < objects->len; i++) {
		o = objects->pdata[i];
		if (strcmp(o->kind, kind) == 0 && o->spec != NULL && is_last(i))
			g_ptr_array_add(all, o);
	}
	g_ptr_array_sort(all, by_name);
	for (i = 0; i < all->len; i++) {
		if (i > 0)
			g_string_append_c(out, ',');
		append_object(out, all->pdata[i]);
	}
	g_ptr_array_unref(all);
	g_string_append_printf(
	    out, "],\"hasMore\":false,\"at\":%" G_GINT64_FORMAT "}", revision);
	answer_json(r, out);
}

static int64_t
query(const char *target, const char *name)
{
	const char *at = strstr(target, name);

	return at == NULL ? -1 : g_ascii_strtoll(at + strlen(name), NULL, 10);
}

static void
on_store(struct hreq *r, void *ctx)
{
	char *target = hslice_dup(hreq_msg(r)->target);
	const char *prefix = "/-/objects/";
	int64_t since = query(target, "watch=");
	struct watch *w;
	GString *out;
	unsigned int n;
	char *kind;

	hreq_set_ctx(r, NULL);
	if (!g_str_has_prefix(target, prefix)) {
		hreq_answer(r, 404, "", "", 0);
		g_free(target);
		return;
	}
	kind = g_strndup(
	    target + strlen(prefix), strcspn(target + strlen(prefix), "?/"));
	if (since < 0) {
		answer_list(r, kind);
	} else {
		out = events_since(kind, since, &n);
		if (n > 0) {
			answer_json(r, out);
		} else {
			g_string_free(out, TRUE);
			w = g_new0(struct watch, 1);
			w->r = r;
			w->kind = g_strdup(kind);
			w->since = since;
			w->timer.fire = on_watch_time;
			hreq_set_ctx(r, w);
			LIST_INSERT_HEAD(&watches, w, link);
			evl_timer_set(loop, &w->timer,
			    now_us() + query(target, "waitMs=") * 1000);
		}
	}
	g_free(kind);
	g_free(target);
}

static void
on_store_left(struct hreq *r, void *ctx)
{
	if (hreq_ctx(r) != NULL)
		watch_end(hreq_ctx(r), NULL);
}

static const struct hserver_ops store_ops = {
	.request = on_store,
	.disconnected = on_store_left,
	.drained = ignore,
	.refused = ignore_refused,
};

/* ------------------------------------------------------------------ */
/* The operator                                                        */
/* ------------------------------------------------------------------ */

static void
put_plain_config(void)
{
	char *spec = g_strdup_printf(
	    "{\"version\":%u,\"routes\":[{\"name\":\"book\","
	    "\"host\":\"a.example\",\"pathPrefix\":\"/chat/\","
	    "\"kind\":\"unsafe\",\"timeoutMs\":1500,"
	    "\"targetLatencyMs\":300,\"maxAttempts\":2,\"priority\":2,"
	    "\"service\":\"" SERVICE "\"}],\"services\":[{\"name\":\"" SERVICE
	    "\",\"healthPath\":\"/health\",\"maxConnections\":48}],"
	    "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
	    "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},"
	    "\"tenants\":[{\"name\":\"desk\",\"apiKeys\":[\"" KEY "\"]}]}",
	    config_version++);

	store_put("config", "main", spec);
	g_free(spec);
}

static bool
is_plain(void)
{
	return strcmp(mode, "reborn") == 0;
}

static void
put_config(void)
{
	char *spec = g_strdup_printf(
	    "{\"version\":%u,\"routes\":[{\"name\":\"chat\","
	    "\"host\":\"a.example\",\"pathPrefix\":\"/chat/\","
	    "\"kind\":\"streaming\",\"timeoutMs\":6000,"
	    "\"targetLatencyMs\":400,\"maxAttempts\":2,\"resumable\":true,"
	    "\"gapTargetMs\":300,\"priority\":1,\"sticky\":true,"
	    "\"service\":\"" SERVICE "\"}],\"services\":[{\"name\":\"" SERVICE
	    "\",\"healthPath\":\"/health\",\"maxConnections\":364,"
	    "\"engine\":{\"slots\":%d,\"models\":[{\"name\":\"" MODEL
	    "\",\"warmS\":0.3}],\"layers\":16,\"chunks\":%d,"
	    "\"chunkBytes\":%d}},{\"name\":\"ledger\","
	    "\"healthPath\":\"/health\",\"maxConnections\":48,"
	    "\"origin\":\"127.0.%d.8:8000\",\"zone\":\"z0\"}],"
	    "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
	    "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},"
	    "\"tenants\":[{\"name\":\"desk\",\"apiKeys\":[\"" KEY "\"]}]}",
	    config_version++, SLOTS, CHUNKS, CHUNK_BYTES, net);

	store_put("config", "main", spec);
	g_free(spec);
}

static void
on_name_version(struct evl_timer *t)
{
	char *spec;

	named++;
	spec = g_strdup_printf("{\"model\":\"" MODEL
			       "\",\"version\":%" G_GINT64_FORMAT "}",
	    named);
	store_put("versions", MODEL, spec);
	g_free(spec);
	note("named version=%" G_GINT64_FORMAT, named);
	if (strcmp(mode, "size") == 0 && named < NAMES_MAX)
		evl_timer_set(loop, t, now_us() + NAME_GAP_US);
}

/* ------------------------------------------------------------------ */
/* Weights                                                             */
/* ------------------------------------------------------------------ */

static void
make_chunk(int64_t version, int index, uint8_t *out)
{
	struct rng rng;
	uint64_t word;
	size_t i;

	rng_seed(&rng, (uint64_t)version * 1000 + (uint64_t)index);
	for (i = 0; i < CHUNK_BYTES; i += sizeof(word)) {
		word = rng_next(&rng);
		memcpy(out + i, &word, sizeof(word));
	}
}

/* RULES.md, WHOLE: a piece that is missing, spoilt or of another version, but
 * for one that turned bad in the last three seconds. */
static unsigned int
count_bad(const struct engine *e, int64_t version)
{
	static uint8_t expected[CHUNK_BYTES];
	unsigned int bad = 0;
	int i;

	for (i = 0; i < CHUNKS; i++) {
		make_chunk(version, i, expected);
		if (e->staged[i] != NULL &&
		    memcmp(e->staged[i], expected, CHUNK_BYTES) == 0)
			continue;
		note("engine=%s version=%" G_GINT64_FORMAT
		     " piece=%d bad_for_ms=%" G_GINT64_FORMAT,
		    e->id, version, i,
		    e->bad_since_us[i] == 0
			? -1
			: (now_us() - e->bad_since_us[i]) / 1000);
		bad += e->bad_since_us[i] == 0 ||
		    now_us() - e->bad_since_us[i] > BAD_EXCUSED_US;
	}
	return bad;
}

/* ------------------------------------------------------------------ */
/* Engines: record, runs                                               */
/* ------------------------------------------------------------------ */

static void
append_models(const struct engine *e, GString *out)
{
	g_string_append(out, "\"stage\":\"colocated\",\"models\":[");
	if (e->version > 0)
		g_string_append_printf(out,
		    "{\"name\":\"" MODEL "\",\"version\":%" G_GINT64_FORMAT
		    ",\"adapters\":[],\"layers\":[{\"from\":0,\"to\":16,"
		    "\"version\":%" G_GINT64_FORMAT "}]}",
		    e->version, e->version);
	g_string_append_c(out, ']');
}

static void
publish(const struct engine *e)
{
	GString *spec = g_string_new(NULL);

	g_string_printf(spec,
	    "{\"service\":\"" SERVICE "\",\"address\":\"%s\",\"zone\":\"z0\","
	    "\"version\":\"v1\",\"slots\":%d,\"state\":\"ready\","
	    "\"coldMs\":0,\"sequence\":%" G_GUINT64_FORMAT,
	    e->address, SLOTS, e->sequence);
	if (!is_plain()) {
		g_string_append_c(spec, ',');
		append_models(e, spec);
	}
	g_string_append_c(spec, '}');
	store_put("servers", e->id, spec->str);
	g_string_free(spec, TRUE);
}

static void
run_free(struct run *run)
{
	LIST_REMOVE(run, link);
	run->e->nruns--;
	evl_timer_stop(loop, &run->timer);
	g_free(run);
}

static void
cut_runs(struct engine *e)
{
	struct run *run;
	struct hreq *r;

	while ((run = LIST_FIRST(&e->runs)) != NULL) {
		r = run->r;
		run_free(run);
		hreq_abort(r);
	}
}

static void
on_token(struct evl_timer *t)
{
	struct run *run = CONTAINER_OF(t, struct run, timer);
	struct engine *e = run->e;
	struct hreq *r = run->r;
	char text[160];

	if (!hreq_begun(r)) {
		g_snprintf(text, sizeof(text),
		    "X-Attempt-Id: %s\r\nX-Response-Seal: seal-%s\r\n"
		    "Content-Type: text/event-stream\r\n"
		    "X-Weight-Versions: %" G_GINT64_FORMAT "\r\n",
		    run->id, run->id, run->version);
		hreq_begin(r, 200, text);
	}
	if (run->next > EVENTS) {
		note("ran id=%s engine=%s version=%" G_GINT64_FORMAT, run->id,
		    e->id, run->version);
		run_free(run);
		hreq_end(r);
		return;
	}
	g_snprintf(text, sizeof(text), "id: %d\ndata: %s %d\n\n", run->next,
	    run->id, run->next);
	run->next++;
	tokens++;
	if (e->holds_bad && bad_tokens++ < 20)
		note("BAD TOKEN id=%s engine=%s version=%" G_GINT64_FORMAT,
		    run->id, e->id, e->version);
	hreq_write(r, text, strlen(text));
	evl_timer_set(loop, t, now_us() + EVENT_US);
}

static void
refuse(struct hreq *r, unsigned int status)
{
	hreq_answer(r, status, "X-Not-Executed: 1\r\n", "", 0);
}

static void
begin_run(struct engine *e, struct hreq *r)
{
	struct run *run = g_new0(struct run, 1);
	char last[24];

	run->e = e;
	run->r = r;
	run->version = e->version;
	find_text(r, "X-Attempt-Id", run->id, sizeof(run->id));
	run->next = 1;
	if (find_text(r, "Last-Event-Id", last, sizeof(last)))
		run->next = atoi(last) + 1;
	run->timer.fire = on_token;
	LIST_INSERT_HEAD(&e->runs, run, link);
	e->nruns++;
	hreq_set_ctx(r, run);
	evl_timer_set(loop, &run->timer, now_us() + EVENT_US);
}

static void
answer_plain(const struct engine *e, struct hreq *r)
{
	char id[32], head[120], body[64];

	find_text(r, "X-Attempt-Id", id, sizeof(id));
	note("ran id=%s engine=%s", id, e->id);
	g_snprintf(head, sizeof(head),
	    "X-Attempt-Id: %s\r\nX-Response-Seal: seal-%s\r\n", id, id);
	g_snprintf(body, sizeof(body), "data: %s %d\n\n", id, EVENTS);
	hreq_answer(r, 200, head, body, strlen(body));
}

static void
handle_request(struct engine *e, struct hreq *r)
{
	char text[32];

	if (find_text(r, "X-Expect-Instance", text, sizeof(text)) &&
	    strcmp(text, e->id) != 0)
		refuse(r, 421);
	else if (find_text(r, "X-Expect-Version", text, sizeof(text)) &&
	    atoll(text) != e->version)
		refuse(r, 421);
	else if (is_plain())
		answer_plain(e, r);
	else if (e->version == 0 || e->loading != 0 || e->nruns >= SLOTS)
		refuse(r, 503);
	else
		begin_run(e, r);
}

/* ------------------------------------------------------------------ */
/* Engines: staging and orders                                         */
/* ------------------------------------------------------------------ */

static pid_t
keeper_pid(unsigned int number)
{
	char *path = g_strdup_printf("%s/keeper-%u.pid", folder, number);
	char *text = NULL;
	pid_t pid = 0;

	if (g_file_get_contents(path, &text, NULL, NULL))
		pid = (pid_t)atoi(text);
	g_free(text);
	g_free(path);
	return pid;
}

static void
on_thaw(struct evl_timer *t)
{
	note("keeper 0 goes on");
	if (keeper_pid(0) > 0)
		kill(keeper_pid(0), SIGCONT);
}

/* The host of engine 0 freezes while its keeper reads version 2 back; a piece
 * that was read already has turned bad. */
static void
freeze(struct engine *e)
{
	if (keeper_pid(0) <= 0)
		return;
	froze = true;
	e->staged[0][17] ^= 1;
	e->bad_since_us[0] = now_us();
	kill(keeper_pid(0), SIGSTOP);
	note("engine=%s piece=0 turns bad; keeper 0 freezes", e->id);
	thawing.fire = on_thaw;
	evl_timer_set(loop, &thawing, now_us() + FREEZE_US);
}

static bool
holds_version(const struct engine *e, int64_t version)
{
	static uint8_t expected[CHUNK_BYTES];

	/* The last one that a keeper puts shows that all were put. */
	make_chunk(version, CHUNKS - 1, expected);
	return e->staged[CHUNKS - 1] != NULL &&
	    memcmp(e->staged[CHUNKS - 1], expected, CHUNK_BYTES) == 0;
}

static void
handle_staging(struct engine *e, struct hreq *r, const char *target, bool put)
{
	int64_t i = query(target, "itemCount=");
	const void *body;
	size_t len;

	body = hreq_body(r, &len);
	if (i < 0 || i >= CHUNKS || (put && len != CHUNK_BYTES)) {
		hreq_answer(r, 400, "", "", 0);
	} else if (put) {
		g_free(e->staged[i]);
		e->staged[i] = g_memdup2(body, len);
		e->bad_since_us[i] = 0;
		hreq_answer(r, 200, "", "", 0);
	} else if (e->staged[i] == NULL) {
		hreq_answer(r, 404, "", "", 0);
	} else {
		hreq_answer(r, 200, "", e->staged[i], CHUNK_BYTES);
	}
	if (!put && trouble && !froze && strcmp(mode, "freeze") == 0 &&
	    e->number == 0 && named > 1 && i == FREEZE_AT &&
	    holds_version(e, named))
		freeze(e);
}

static void
on_loaded(struct evl_timer *t)
{
	struct engine *e = CONTAINER_OF(t, struct engine, load);

	if (e->nruns > 0) {
		evl_timer_set(loop, t, now_us() + LOAD_US / 10);
		return;
	}
	e->version = e->loading;
	e->holds_bad = e->loads_bad;
	e->loading = 0;
	note("loaded engine=%s version=%" G_GINT64_FORMAT " whole=%d", e->id,
	    e->version, !e->holds_bad);
	publish(e);
}

static void
handle_order(struct engine *e, struct hreq *r)
{
	size_t len;
	const char *body = hreq_body(r, &len);
	char *text = g_strndup(body == NULL ? "" : body, len);
	int64_t version = query(text, "\"version\":");
	bool cuts = strstr(text, "\"preempt\"") != NULL;

	g_free(text);
	if (version == e->version || version == e->loading) {
		hreq_answer(r, 200, "", "", 0);
		return;
	}
	if (version <= 0 || e->loading != 0) {
		hreq_answer(r, 409, "", "", 0);
		return;
	}
	e->sequence++;
	e->loading = version;
	e->loads_bad = count_bad(e, version) > 0;
	note("order engine=%s version=%" G_GINT64_FORMAT " whole=%d", e->id,
	    version, !e->loads_bad);
	e->load.fire = on_loaded;
	evl_timer_set(loop, &e->load, now_us() + LOAD_US);
	if (cuts)
		cut_runs(e);
	hreq_answer(r, 202, "", "", 0);
}

static void
answer_report(struct engine *e, struct hreq *r)
{
	GString *out = g_string_new("{");

	append_models(e, out);
	g_string_append_printf(out,
	    ",\"busy\":%s,\"sequence\":%" G_GUINT64_FORMAT
	    ",\"waiting\":0,\"running\":%u,\"kvUsed\":0,"
	    "\"kvTotal\":1640000,\"handles\":0,\"pace\":1}",
	    e->loading != 0 ? "true" : "false", e->sequence, e->nruns);
	answer_json(r, out);
}

static void
on_engine(struct hreq *r, void *ctx)
{
	struct engine *e = ctx;
	char *target = hslice_dup(hreq_msg(r)->target);

	hreq_set_ctx(r, NULL);
	if (!e->has_power)
		hreq_answer(r, 503, "X-Not-Executed: 1\r\n", "", 0);
	else if (g_str_has_prefix(target, "/-/report"))
		answer_report(e, r);
	else if (g_str_has_prefix(target, "/-/order"))
		handle_order(e, r);
	else if (g_str_has_prefix(target, "/-/stage-put/"))
		handle_staging(e, r, target, true);
	else if (g_str_has_prefix(target, "/-/stage-get/"))
		handle_staging(e, r, target, false);
	else
		handle_request(e, r);
	g_free(target);
}

static void
on_engine_left(struct hreq *r, void *ctx)
{
	if (hreq_ctx(r) != NULL)
		run_free(hreq_ctx(r));
}

static const struct hserver_ops engine_ops = {
	.request = on_engine,
	.disconnected = on_engine_left,
	.drained = ignore,
	.refused = ignore_refused,
};

/* ------------------------------------------------------------------ */
/* The origin                                                          */
/* ------------------------------------------------------------------ */

static void
answer_manifest(struct hreq *r, int64_t version)
{
	static uint8_t chunk[CHUNK_BYTES];
	GString *out = g_string_new(NULL);
	struct digest digest;
	char hex[DIGEST_HEX], *at;
	int i;

	g_string_printf(out,
	    "{\"model\":\"" MODEL "\",\"version\":%" G_GINT64_FORMAT
	    ",\"chunkBytes\":%d,\"layers\":16,\"digests\":[",
	    version, CHUNK_BYTES);
	for (i = 0; i < CHUNKS; i++) {
		make_chunk(version, i, chunk);
		digest_of(chunk, sizeof(chunk), &digest);
		digest_to_hex(&digest, hex);
		g_string_append_printf(out, "%s\"%s\"", i > 0 ? "," : "", hex);
	}
	g_string_append(out, "]}");
	manifests++;
	if (trouble && strcmp(mode, "manifest") == 0 && back_us != 0 &&
	    manifests <= ENGINES) {
		/* One digit of one digest. */
		at = strstr(out->str, "\"digests\":[") + 40 + 67 * manifests;
		*at = *at == '3' ? '7' : '3';
		origin_spoilt++;
		note("origin spoils a digit of a list of digests");
	}
	if (trouble && strcmp(mode, "size") == 0 && manifests <= SPOILT_SIZES) {
		at = strstr(out->str, "32768");
		*at = '7'; /* one bit of one digit */
		origin_spoilt++;
		note("origin spoils a digit of the size of the pieces");
	}
	answer_json(r, out);
}

static void
on_origin(struct hreq *r, void *ctx)
{
	static uint8_t chunk[CHUNK_BYTES];
	char *target = hslice_dup(hreq_msg(r)->target);
	int64_t version = query(target, "version=");
	int64_t i = query(target, "itemCount=");

	origin_answers++;
	if (version < 0)
		version = named;
	if (version > named || version < 1) {
		hreq_answer(r, 404, "", "", 0);
	} else if (named - version >= 2) {
		hreq_answer(r, 410, "", "", 0);
	} else if (g_str_has_prefix(target, "/-/manifest/")) {
		answer_manifest(r, version);
	} else if (i >= 0 && i < CHUNKS) {
		make_chunk(version, (int)i, chunk);
		hreq_answer(r, 200, "", chunk, sizeof(chunk));
	} else {
		hreq_answer(r, 404, "", "", 0);
	}
	g_free(target);
}

static const struct hserver_ops origin_ops = {
	.request = on_origin,
	.disconnected = ignore,
	.drained = ignore,
	.refused = ignore_refused,
};

/* ------------------------------------------------------------------ */
/* Clients                                                             */
/* ------------------------------------------------------------------ */

static void
ask_end(struct ask *a, const char *how)
{
	char last[64];
	bool whole;

	g_snprintf(last, sizeof(last), "data: %s %d\n\n", a->id, EVENTS);
	whole = a->status == 200 && g_str_has_suffix(a->body->str, last);
	note("answer id=%s status=%u whole=%d end=%s", a->id, a->status, whole,
	    how);
	served += whole;
	if (back_us == 0)
		before_served += whole;
	else if (a->sent_us > back_us + RECOVER_US)
		late_served += whole;
	g_string_free(a->body, TRUE);
	g_free(a);
}

static void
on_ask_head(struct hcall *c, const struct hmsg *m, void *ctx)
{
	((struct ask *)ctx)->status = m->status;
}

static void
on_ask_body(struct hcall *c, const void *data, size_t len, void *ctx)
{
	g_string_append_len(((struct ask *)ctx)->body, data, (gssize)len);
}

static void
on_ask_done(struct hcall *c, void *ctx)
{
	ask_end(ctx, "answered");
}

static void
on_ask_failed(struct hcall *c, enum hcall_failure why, bool sent, void *ctx)
{
	((struct ask *)ctx)->status = 0;
	ask_end(ctx, hcall_failure_name(why));
}

static const struct hcall_ops ask_ops = {
	.head = on_ask_head,
	.body = on_ask_body,
	.done = on_ask_done,
	.failed = on_ask_failed,
};

static void
on_ask(struct evl_timer *t)
{
	struct ask *a = g_new0(struct ask, 1);
	char to[32], *head;

	g_snprintf(a->id, sizeof(a->id), "%016x", ++next_id);
	a->sent_us = now_us();
	a->body = g_string_new(NULL);
	address_of(to, sizeof(to), 2 + (int)(next_id % GATEWAYS), 8005);
	head = g_strdup_printf(
	    "POST /chat/a HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: %s\r\n"
	    "X-Model: " MODEL "\r\nX-Token-Counts: 100,36\r\n"
	    "X-Prompt-Prefix: 5c1e07a2:40,%x:60\r\nX-Deadline-Ms: %d\r\n"
	    "Authorization: Bearer " KEY "\r\nContent-Length: 4\r\n\r\nask\n",
	    a->id, next_id, DEADLINE_MS);
	note("sent id=%s to=%s", a->id, to);
	asked++;
	before_asked += back_us == 0;
	late_asked += back_us != 0 && a->sent_us > back_us + RECOVER_US;
	a->call = hcall_start(pool,
	    &(struct hcall_conf){ .address = to,
		.head = head,
		.head_len = strlen(head),
		.ops = &ask_ops,
		.ctx = a });
	g_free(head);
	evl_timer_set(loop, t, now_us() + ASK_US);
}

/* ------------------------------------------------------------------ */
/* Start, loss of power, end                                           */
/* ------------------------------------------------------------------ */

static void
start_engine(struct engine *e)
{
	/* Ids are of no order. Those of `reborn` fall, as every second pair
	 * of random ones does. */
	g_snprintf(e->id, sizeof(e->id), "i-%u%08x", e->number,
	    is_plain() ? 0x8c41d07b / ++e->starts : ++e->starts * 7919);
	e->has_power = true;
	publish(e);
}

static void
on_expired(struct evl_timer *t)
{
	note("entry of engine=%s expires", gone_id);
	store_put("servers", gone_id, NULL);
}

static void
expire_later(const struct engine *e)
{
	g_strlcpy(gone_id, e->id, sizeof(gone_id));
	expiring.fire = on_expired;
	evl_timer_set(loop, &expiring, now_us() + EXPIRE_US);
}

static gboolean
on_power_off(gpointer data)
{
	struct engine *e;
	int i;

	if (is_plain())
		put_plain_config();
	else
		put_config(); /* the fault comes right after it was acknowledged */
	note("all machines lose power");
	for (e = engines; e < engines + nengines; e++) {
		cut_runs(e);
		evl_timer_stop(loop, &e->load);
		if (is_plain())
			expire_later(e);
		else
			store_put("servers", e->id, NULL);
		e->has_power = false;
		e->version = e->loading = 0;
		e->sequence = 0;
		for (i = 0; i < CHUNKS; i++)
			g_clear_pointer(&e->staged[i], g_free);
	}
	manifests = origin_answers = 0;
	return G_SOURCE_CONTINUE;
}

static gboolean
on_power_back(gpointer data)
{
	struct engine *e;

	note("all machines are back");
	back_us = now_us();
	for (e = engines; e < engines + nengines; e++)
		start_engine(e);
	return G_SOURCE_CONTINUE;
}

static int
judge(void)
{
	note("asked=%u served=%u tokens=%u bad_tokens=%u origin_answers=%u "
	     "origin_spoilt=%u",
	    asked, served, tokens, bad_tokens, origin_answers, origin_spoilt);
	if (strcmp(mode, "freeze") == 0) {
		if (served * 2 < asked || engines[0].version < 2 ||
		    (trouble && !froze))
			return 2;
		return bad_tokens > 0;
	}
	if (!trouble && is_plain())
		return served * 4 < asked;
	if (strcmp(mode, "manifest") == 0 || is_plain()) {
		note("before the fault: asked=%u served=%u; later than 12 s "
		     "after it: asked=%u served=%u",
		    before_asked, before_served, late_asked, late_served);
		if (before_served * 4 < before_asked || late_asked < 50)
			return 2;
		return late_served * 4 < late_asked;
	}
	return served * 4 < asked ? 2 : 0;
}

static void
on_end(struct evl_timer *t)
{
	g_main_loop_quit(main_loop);
}

static bool
serve(const char *address, const struct hserver_ops *ops, void *ctx)
{
	struct err err = { 0 };

	if (hserver_new(&(struct hserver_conf){ .loop = loop,
			    .address = address,
			    .limits = &limits,
			    .connections_max = 400,
			    .bodies_max = 16 << 20,
			    .ops = ops,
			    .ctx = ctx },
		&err) != NULL)
		return true;
	fprintf(stderr, "%s\n", err.message);
	return false;
}

static bool
open_all(void)
{
	char store[32], origin[32];
	struct engine *e;
	unsigned int n;
	int i;

	address_of(store, sizeof(store), 9, 8007);
	address_of(origin, sizeof(origin), 8, 8000);
	if (!serve(store, &store_ops, NULL) ||
	    !serve(origin, &origin_ops, NULL))
		return false;
	if (is_plain()) {
		nengines = 1;
		put_plain_config();
	} else {
		put_config();
	}
	for (n = 0; n < nengines; n++) {
		e = &engines[n];
		e->number = n;
		LIST_INIT(&e->runs);
		address_of(e->address, sizeof(e->address), 10 + (int)n, 8001);
		e->version = 1;
		for (i = 0; i < CHUNKS; i++) {
			e->staged[i] = g_malloc(CHUNK_BYTES);
			make_chunk(1, i, e->staged[i]);
		}
		if (!serve(e->address, &engine_ops, e))
			return false;
		start_engine(e);
	}
	return true;
}

int
main(int argc, char **argv)
{
	int64_t seconds;

	if (argc != 6)
		return 2;
	mode = argv[1];
	trouble = atoi(argv[2]) != 0;
	net = atoi(argv[3]);
	seconds = atoi(argv[4]);
	folder = argv[5];
	objects = g_ptr_array_new();
	main_loop = g_main_loop_new(NULL, FALSE);
	loop = evl_new(clk_system());
	begun_us = now_us();
	pool = hpool_new(&(struct hpool_conf){ .loop = loop,
	    .idle_max = 32,
	    .connect_us = 1000000,
	    .idle_us = 5000000,
	    .head_bytes = 65536 });
	if (!open_all())
		return 2;
	g_unix_signal_add(SIGUSR1, on_power_off, NULL);
	g_unix_signal_add(SIGUSR2, on_power_back, NULL);
	asking.fire = on_ask;
	evl_timer_set(loop, &asking, begun_us + 2 * G_USEC_PER_SEC);
	naming.fire = on_name_version;
	if (strcmp(mode, "freeze") == 0 || strcmp(mode, "size") == 0)
		evl_timer_set(loop, &naming,
		    begun_us +
			(strcmp(mode, "size") == 0 ? SIZE_NAMING_US
						   : NAMING_US));
	ending.fire = on_end;
	evl_timer_set(loop, &ending, begun_us + seconds * G_USEC_PER_SEC);
	printf("ready\n");
	fflush(stdout);
	g_main_loop_run(main_loop);
	return judge();
}
