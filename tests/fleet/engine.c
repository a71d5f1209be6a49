/* The stand-in's engines, with their staging areas, and the origin. */

#include <stdlib.h>
#include <string.h>

#include "fleet.h"

#define SLOTS 8
#define QUEUE 8
#define PLAIN_US 10000
#define LOAD_US 200000
#define LATE_READ_US 1200000 /* within the time of a sidecar's call */
#define DOWN_US 1500000 /* from termination to restart */
#define LEAVE_US 5000000 /* from the announcement of a stop to the restart */
#define SHED_US 6000000
/* From the head of an answer to the termination by a part of the prompt. */
#define CRASH_US 60000
/* The platform allows a load with a chunk that was corrupted so shortly before:
 * it may happen after the last check. */
#define UNNOTICED_US 3000000

struct fleet_run; /* a request that an engine runs */

struct fleet_engine {
	struct fleet *f;
	size_t i;
	char id[24];
	char real[32]; /* address that the engine listens on */
	char advertised[32];
	unsigned int starts;
	struct evl_timer restart;
	bool llm;
	struct hserver *server;
	int64_t version; /* loaded; 0: none */
	unsigned int from, to; /* the layers of it */
	int64_t loading; /* version being loaded; 0: none */
	unsigned int loading_from, loading_to;
	struct evl_timer load;
	uint8_t *staged[FLEET_CHUNKS];
	unsigned int sequence;
	int64_t started_ms;
	LIST_HEAD(fleet_runs, fleet_run) runs;
	unsigned int nruns;
	/* Last corruption of each staged chunk; `at_us` 0: none since it was
	 * put. */
	struct {
		int64_t at_us;
		size_t offset; /* of the byte whose lowest bit was flipped */
	} corrupted[FLEET_CHUNKS];
	struct fleet_limit limit;
	struct fleet_notice notice;
	bool draining; /* as its record says */
	struct evl_timer leave, shed;
	int64_t silent_until_us; /* its runs write nothing until then */
	/* A read of its staging area that is answered late. */
	struct {
		struct hreq *r; /* NULL: none */
		uint64_t chunk;
		struct evl_timer timer;
	} late;
	unsigned int late_reads;
	int64_t late_until_us; /* orders until then were held up */
	/* Layers that were loaded, or are being loaded, with a chunk that was
	 * corrupt for longer than UNNOTICED_US. */
	bool unsound[FLEET_LAYERS], loads_unsound[FLEET_LAYERS];
};

struct fleet_run {
	LIST_ENTRY(fleet_run) link;
	struct fleet_engine *e;
	struct hreq *r;
	char id[40];
	struct fleet_answer answer;
	int64_t version, begun_us;
	struct evl_timer timer;
};

void
fleet_chunk(int64_t version, uint64_t index, uint8_t *out)
{
	struct rng rng;
	size_t i;

	rng_seed(&rng, (uint64_t)version * 1000 + index);
	for (i = 0; i < FLEET_CHUNK_BYTES; i += 8) {
		uint64_t word = rng_next(&rng);

		memcpy(out + i, &word, 8);
	}
}

/* ------------------------------------------------------------------ */
/* Its record in the store                                             */
/* ------------------------------------------------------------------ */

static void
append_models(const struct fleet_engine *e, GString *out)
{
	if (e->version == 0) {
		g_string_append(out, "\"models\":[],\"layers\":null");
		return;
	}
	g_string_append_printf(out,
	    "\"models\":[{\"name\":\"" FLEET_MODEL
	    "\",\"version\":%" G_GINT64_FORMAT ",\"adapters\":[]}],"
	    "\"layers\":{\"from\":%u,\"to\":%u,\"version\":%" G_GINT64_FORMAT
	    "}",
	    e->version, e->from, e->to, e->version);
}

void
fleet_engine_publish(struct fleet *f, size_t i)
{
	const struct fleet_engine *e = f->engine[i];
	GString *spec = g_string_new(NULL);

	g_string_printf(spec,
	    "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"z%zu\","
	    "\"version\":\"v1\",\"slots\":%d,\"state\":\"%s\","
	    "\"coldMs\":0,\"sequence\":%u,\"born\":%" G_GINT64_FORMAT,
	    e->llm ? FLEET_LLM : FLEET_PLAIN, e->advertised, i % 2, SLOTS,
	    e->draining ? "draining" : "ready", e->sequence, e->started_ms);
	if (e->llm) {
		g_string_append_c(spec, ',');
		append_models(e, spec);
	}
	g_string_append_c(spec, '}');
	fleet_store_put(f, "servers", e->id, spec->str);
	g_string_free(spec, TRUE);
}

/* ------------------------------------------------------------------ */
/* Runs                                                                */
/* ------------------------------------------------------------------ */

static void
run_free(struct fleet_run *run)
{
	LIST_REMOVE(run, link);
	run->e->nruns--;
	evl_timer_stop(run->e->f->loop, &run->timer);
	g_free(run);
}

static char *
response_head(const struct fleet_run *run)
{
	struct fleet_engine *e = run->e;
	GString *head = g_string_new(NULL);

	g_string_printf(head,
	    "X-Attempt-Id: %s\r\nX-Response-Seal: seal-%s-%s\r\n"
	    "X-Server-Load: %u,0,%d\r\nX-Weight-Versions: %" G_GINT64_FORMAT
	    "\r\n",
	    run->id, e->id, run->id, e->nruns, SLOTS, run->version);
	fleet_limit_announced(e->f, &e->limit, run->id);
	if (e->limit.limit > 0)
		g_string_append_printf(
		    head, "Server-Limit: %.1f\r\n", e->limit.limit);
	if (e->notice.leaving)
		g_string_append(head, "Server-Leaving: 1\r\n");
	return g_string_free(head, FALSE);
}

static bool
is_withdrawn(const struct fleet *f, int64_t version)
{
	return version < f->version &&
	    evl_now_us(f->loop) - f->announced_us > FLEET_VERSION_MS * 1000;
}

/* A request that has waited begins with its first event. */
static void
begin_answer(struct fleet_run *run)
{
	char *head = response_head(run);
	struct fleet *f = run->e->f;

	if (run->e->llm && is_withdrawn(f, run->version) &&
	    run->begun_us - f->announced_us <= FLEET_VERSION_MS * 1000)
		f->tally.stale++;
	fleet_answer_begin_stream(&run->answer, run->r, head);
	g_free(head);
}

/* Terminates the engine's process and returns true when the run is of a poison
 * request; where the poison is a part of the prompt, only after the answer has
 * begun. */
static bool
terminates_engine(struct fleet_run *run)
{
	struct fleet_engine *e = run->e;
	struct fleet_poison *poison = fleet_poison_of(e->f, run->id);

	if (poison == NULL)
		return false;
	if (fleet_poison_is_part(poison) && !hreq_begun(run->r)) {
		begin_answer(run);
		evl_timer_set(
		    e->f->loop, &run->timer, evl_now_us(e->f->loop) + CRASH_US);
		return true;
	}
	fleet_poison_terminated(poison);
	fleet_engine_terminate(e->f, e->i);
	return true;
}

/* Postpones what the run does next until its engine goes on. */
static bool
stays_silent(struct fleet_run *run)
{
	const struct fleet_engine *e = run->e;

	if (evl_now_us(e->f->loop) >= e->silent_until_us)
		return false;
	evl_timer_set(e->f->loop, &run->timer, e->silent_until_us);
	return true;
}

static bool
is_unsound(const struct fleet_engine *e)
{
	unsigned int l;

	for (l = e->from; l < e->to; l++) {
		if (e->unsound[l])
			return true;
	}
	return false;
}

static void
on_event(struct evl_timer *timer)
{
	struct fleet_run *run = CONTAINER_OF(timer, struct fleet_run, timer);
	struct hreq *r = run->r;
	struct fleet *f = run->e->f;

	if (stays_silent(run) || terminates_engine(run))
		return;
	if (!hreq_begun(r))
		begin_answer(run);
	if (is_unsound(run->e))
		f->tally.unsound_events++;
	if (fleet_answer_next_event(&run->answer, r)) {
		evl_timer_set(
		    f->loop, timer, evl_now_us(f->loop) + fleet_event_us());
		return;
	}
	if (run->answer.breaks)
		fleet_run_broke(f, run->id);
	run_free(run);
}

static void
on_plain(struct evl_timer *timer)
{
	struct fleet_run *run = CONTAINER_OF(timer, struct fleet_run, timer);
	struct fleet_answer answer = run->answer;
	struct hreq *r = run->r;
	char body[64], *head;

	if (stays_silent(run) || terminates_engine(run))
		return;
	if (answer.breaks)
		fleet_run_broke(run->e->f, run->id);
	head = response_head(run);
	g_snprintf(body, sizeof(body), "answer to %s", run->id);
	run_free(run);
	fleet_answer_plain(&answer, r, head, body);
	g_free(head);
}

static const char *
header(struct hreq *r, const char *name, char *out, size_t size)
{
	const struct hheader *h = hmsg_find(hreq_msg(r), name);
	size_t n = h == NULL ? 0 : MIN(h->value.n, size - 1);

	if (n > 0)
		memcpy(out, h->value.p, n);
	out[n] = '\0';
	return out;
}

static void
refuse(struct fleet_engine *e, struct hreq *r, unsigned int status)
{
	GString *headers = g_string_new(NULL);

	g_string_printf(
	    headers, "X-Not-Executed: 1\r\nX-Instance-Id: %s\r\n", e->id);
	if (e->notice.leaving)
		g_string_append(headers, "Server-Leaving: 1\r\n");
	if (status == 503 && e->notice.retry_after_s > 0)
		g_string_append_printf(
		    headers, "Retry-After: %g\r\n", e->notice.retry_after_s);
	hreq_answer(r, status, headers->str, "", 0);
	g_string_free(headers, TRUE);
}

/* Counts runs over all engines; ids of requests that may run only once begin
 * with `u` or `o`. */
static void
count_run(struct fleet_engine *e, struct hreq *r, const char *id)
{
	struct fleet *f = e->f;
	const struct fleet_poison *poison = fleet_poison_of(f, id);
	bool is_guest = poison != NULL && !fleet_poison_is_part(poison);
	unsigned int n = GPOINTER_TO_UINT(g_hash_table_lookup(f->runs, id)) + 1;
	char workspace[32], key[32];

	g_hash_table_replace(f->runs, g_strdup(id), GUINT_TO_POINTER(n));
	if (n > 1 && (id[0] == 'u' || id[0] == 'o'))
		f->tally.ran_twice++;
	header(r, "X-Tenant", workspace, sizeof(workspace));
	header(r, "Authorization", key, sizeof(key));
	if (!g_str_has_prefix(workspace, is_guest ? "guest" : "team") ||
	    key[0] != '\0' || id[0] == '\0')
		f->tally.bad_identity++;
	else
		fleet_settings_used(
		    f, (unsigned int)atoi(workspace + strlen("team")), id);
	if (e->llm &&
	    (e->version < f->previous_version || is_withdrawn(f, e->version)))
		f->tally.stale++;
}

/* Ends the run with a failure of the engine, which states what all its answers
 * do. */
static void
fail_run(struct fleet_run *run)
{
	char *head = response_head(run);
	struct hreq *r = run->r;

	fleet_run_broke(run->e->f, run->id);
	run_free(run);
	hreq_set_ctx(r, NULL);
	hreq_answer(r, 500, head, "", 0);
	g_free(head);
}

static void
begin_run(struct fleet_engine *e, struct hreq *r, const char *id)
{
	struct fleet_run *run = g_new0(struct fleet_run, 1);
	char last[24];

	count_run(e, r, id);
	run->e = e;
	run->r = r;
	g_strlcpy(run->id, id, sizeof(run->id));
	run->version = e->version;
	run->begun_us = evl_now_us(e->f->loop);
	header(r, "Last-Event-Id", last, sizeof(last));
	if (e->llm)
		fleet_answer_draw_stream(e->f, &run->answer, run->id,
		    (unsigned int)atoi(last), FLEET_EVENTS);
	else
		fleet_answer_draw_plain(e->f, &run->answer);
	run->timer.fire = e->llm ? on_event : on_plain;
	LIST_INSERT_HEAD(&e->runs, run, link);
	e->nruns++;
	hreq_set_ctx(r, run);
	if (fleet_budget_fails(e->f)) {
		fail_run(run);
		return;
	}
	evl_timer_set(e->f->loop, &run->timer,
	    evl_now_us(e->f->loop) + (e->llm ? fleet_event_us() : PLAIN_US));
}

/* It holds a part of the model, or another version than the request expects. */
static bool
has_other_weights(const struct fleet_engine *e, struct hreq *r)
{
	char expect[24];

	header(r, "X-Expect-Version", expect, sizeof(expect));
	if (!e->llm || e->version == 0)
		return false;
	return e->from != 0 || e->to != FLEET_LAYERS ||
	    (expect[0] != '\0' && atoll(expect) != e->version);
}

static void
handle_request(struct fleet_engine *e, struct hreq *r)
{
	char id[40], expect[24];
	bool wrong_engine;

	header(r, "X-Attempt-Id", id, sizeof(id));
	header(r, "X-Expect-Instance", expect, sizeof(expect));
	fleet_budget_arrived(e->f, e->llm, id);
	if (fleet_poison_of(e->f, id) != NULL)
		fleet_poison_arrived(fleet_poison_of(e->f, id), id);
	fleet_limit_arrived(e->f, &e->limit, id);
	wrong_engine = expect[0] != '\0' && strcmp(expect, e->id) != 0;
	fleet_notice_arrived(
	    e->f, &e->notice, e->f->proxy[e->i + 1], id, wrong_engine);
	if (wrong_engine || has_other_weights(e, r)) {
		refuse(e, r, 421);
		return;
	}
	if (e->notice.retry_after_s > 0) {
		fleet_notice_refused(e->f, &e->notice, id);
		refuse(e, r, 503);
		return;
	}
	if (e->llm && (e->version == 0 || e->loading != 0)) {
		refuse(e, r, 503);
		return;
	}
	if (e->nruns >= SLOTS + QUEUE) {
		refuse(e, r, 503);
		return;
	}
	begin_run(e, r, id);
}

/* ------------------------------------------------------------------ */
/* Staging, load orders, reports                                       */
/* ------------------------------------------------------------------ */

static uint64_t
index_of(const char *target)
{
	const char *at = strstr(target, "itemCount=");

	return at == NULL ? FLEET_CHUNKS : (uint64_t)atoll(at + 10);
}

/* Whether the chunk is the expected one, but for a corruption that came too late
 * to be noticed before the order. */
static bool
staged_is_valid(
    const struct fleet_engine *e, uint64_t i, const uint8_t *expected)
{
	int64_t at_us = e->corrupted[i].at_us;
	uint8_t chunk[FLEET_CHUNK_BYTES];

	if (e->staged[i] == NULL)
		return false;
	memcpy(chunk, e->staged[i], sizeof(chunk));
	if (at_us != 0 && evl_now_us(e->f->loop) - at_us < UNNOTICED_US)
		chunk[e->corrupted[i].offset] ^= 1;
	return memcmp(expected, chunk, sizeof(chunk)) == 0;
}

#define LAYER_CHUNKS (FLEET_CHUNKS / FLEET_LAYERS)

static bool
layer_is_complete(
    const struct fleet_engine *e, int64_t version, unsigned int layer)
{
	uint8_t expected[FLEET_CHUNK_BYTES];
	uint64_t i;

	for (i = layer * LAYER_CHUNKS; i < (layer + 1) * LAYER_CHUNKS; i++) {
		fleet_chunk(version, i, expected);
		if (!staged_is_valid(e, i, expected))
			return false;
	}
	return true;
}

static bool
staged_is_complete(const struct fleet_engine *e, int64_t version)
{
	unsigned int l;

	for (l = 0; l < FLEET_LAYERS; l++) {
		if (!layer_is_complete(e, version, l))
			return false;
	}
	return true;
}

static void
corrupt_staged(struct fleet_engine *e, uint64_t chunk, size_t offset)
{
	e->staged[chunk][offset] ^= 1;
	e->corrupted[chunk].at_us = evl_now_us(e->f->loop);
	e->corrupted[chunk].offset = offset;
}

static void
on_late_read(struct evl_timer *t)
{
	struct fleet_engine *e =
	    CONTAINER_OF(t, struct fleet_engine, late.timer);
	struct hreq *r = e->late.r;

	e->late.r = NULL;
	hreq_answer(r, 200, "", e->staged[e->late.chunk], FLEET_CHUNK_BYTES);
}

/* Reads of the second and the following chunks of a version that is complete are
 * answered late, as often as set; the first chunk, read before, turns corrupt. */
static bool
answers_late(struct fleet_engine *e, struct hreq *r, uint64_t i)
{
	if (e->i != 0 || i == 0 || e->f->version < 2 || e->late.r != NULL ||
	    e->late_reads >= (unsigned int)e->f->late_reads ||
	    (e->late_reads == 0 && !staged_is_complete(e, e->f->version)))
		return false;
	if (e->late_reads++ == 0)
		corrupt_staged(e, 0, 0);
	e->late.r = r;
	e->late.chunk = i;
	e->late.timer.fire = on_late_read;
	evl_timer_set(
	    e->f->loop, &e->late.timer, evl_now_us(e->f->loop) + LATE_READ_US);
	return true;
}

static void
handle_staging(
    struct fleet_engine *e, struct hreq *r, const char *target, bool put)
{
	uint64_t i = index_of(target);
	const void *body;
	size_t len;

	body = hreq_body(r, &len);
	if (i >= FLEET_CHUNKS || (put && len != FLEET_CHUNK_BYTES)) {
		hreq_answer(r, 400, "", "", 0);
		return;
	}
	if (put) {
		g_free(e->staged[i]);
		e->staged[i] = g_memdup2(body, len);
		e->corrupted[i].at_us = 0;
		hreq_answer(r, 200, "", "", 0);
	} else if (e->staged[i] == NULL) {
		hreq_answer(r, 404, "", "", 0);
	} else if (!answers_late(e, r, i)) {
		hreq_answer(r, 200, "", e->staged[i], FLEET_CHUNK_BYTES);
	}
}

static void
finish_load(struct fleet_engine *e)
{
	e->version = e->loading;
	e->from = e->loading_from;
	e->to = e->loading_to;
	memcpy(e->unsound, e->loads_unsound, sizeof(e->unsound));
	e->loading = 0;
	fleet_engine_publish(e->f, e->i);
}

static void
on_loaded(struct evl_timer *timer)
{
	struct fleet_engine *e = CONTAINER_OF(timer, struct fleet_engine, load);

	if (e->nruns > 0) { /* wait for the running requests */
		evl_timer_set(
		    e->f->loop, timer, evl_now_us(e->f->loop) + LOAD_US / 4);
		return;
	}
	finish_load(e);
}

/* Aborts all runs, on a preempting order or a crash; gateways resume the
 * streams at other engines. */
static void
cut_runs(struct fleet_engine *e)
{
	struct fleet_run *run;
	struct hreq *r;

	while ((run = LIST_FIRST(&e->runs)) != NULL) {
		r = run->r;
		fleet_run_broke(e->f, run->id);
		run_free(run);
		hreq_abort(r);
	}
}

static void
note_unsound_load(struct fleet_engine *e, int64_t version)
{
	bool late = evl_now_us(e->f->loop) < e->late_until_us;

	if (late)
		e->f->tally.late_loads++;
	else
		e->f->tally.incomplete++;
	g_printerr("unwhole %s version %" G_GINT64_FORMAT "%s\n", e->id,
	    version, late ? " late" : "");
}

/* A number of the order, or `fallback` if it is not stated. */
static int64_t
order_number(const char *order, const char *field, int64_t fallback)
{
	char *name = g_strdup_printf("\"%s\":", field);
	const char *at = strstr(order, name);
	int64_t value = at == NULL ? fallback : atoll(at + strlen(name));

	g_free(name);
	return value;
}

struct fleet_order {
	int64_t version;
	unsigned int from, to;
	bool preempts;
};

/* Whether the layer stays as it is: those of the same version do. */
static bool
keeps_layer(const struct fleet_engine *e, const struct fleet_order *o,
    unsigned int layer)
{
	return e->version == o->version && layer >= e->from && layer < e->to &&
	    MAX(e->from, o->from) < MIN(e->to, o->to);
}

/* Loads the staged chunks as they are now. False: nothing is to be loaded, some
 * layers are given up. */
static bool
begin_load(struct fleet_engine *e, const struct fleet_order *o)
{
	bool loads = false, unsound = false;
	unsigned int l;

	e->loading = o->version;
	e->loading_from = o->from;
	e->loading_to = o->to;
	for (l = 0; l < FLEET_LAYERS; l++) {
		e->loads_unsound[l] = e->unsound[l];
		if (l < o->from || l >= o->to || keeps_layer(e, o, l))
			continue;
		loads = true;
		e->loads_unsound[l] = !layer_is_complete(e, o->version, l);
		unsound = unsound || e->loads_unsound[l];
	}
	if (unsound)
		note_unsound_load(e, o->version);
	return loads;
}

/* 202, or the status of an order that begins nothing. */
static unsigned int
order_status(
    const struct fleet_engine *e, const struct fleet_order *o, int64_t sequence)
{
	if (sequence != e->sequence)
		return 409;
	if (o->version == e->loading ||
	    (o->version == e->version && e->loading == 0 &&
		o->from == e->from && o->to == e->to))
		return 200;
	if (o->version <= 0 || o->from >= o->to || o->to > FLEET_LAYERS ||
	    e->loading != 0)
		return 409;
	return 202;
}

static void
handle_order(struct fleet_engine *e, struct hreq *r)
{
	size_t len;
	const char *body = hreq_body(r, &len);
	char *text = g_strndup(body == NULL ? "" : body, len);
	struct fleet_order o = {
		.version = order_number(text, "version", 0),
		.from = (unsigned int)order_number(text, "from", 0),
		.to = (unsigned int)order_number(text, "to", FLEET_LAYERS),
		.preempts = strstr(text, "\"preempt\"") != NULL,
	};
	unsigned int status = order_status(
	    e, &o, order_number(text, "precondition", e->sequence));

	g_free(text);
	if (status != 202) {
		hreq_answer(r, status, "", "", 0);
		return;
	}
	e->sequence++;
	if (begin_load(e, &o)) {
		e->load.fire = on_loaded;
		evl_timer_set(
		    e->f->loop, &e->load, evl_now_us(e->f->loop) + LOAD_US);
	} else
		finish_load(e);
	if (o.preempts)
		cut_runs(e);
	hreq_answer(r, 202, "", "", 0);
}

static void
answer_report(struct fleet_engine *e, struct hreq *r)
{
	GString *out = g_string_new("{\"stage\":\"colocated\",");

	append_models(e, out);
	g_string_append_printf(out,
	    ",\"busy\":%s,\"born\":%" G_GINT64_FORMAT
	    ",\"sequence\":%u,\"waiting\":%u,\"running\":%u%s}",
	    e->loading != 0 ? "true" : "false", e->started_ms, e->sequence,
	    e->nruns > SLOTS ? e->nruns - SLOTS : 0, MIN(e->nruns, SLOTS),
	    fleet_odd_report(e->i));
	hreq_answer(
	    r, 200, "Content-Type: application/json\r\n", out->str, out->len);
	g_string_free(out, TRUE);
}

static void
on_request(struct hreq *r, void *ctx)
{
	struct fleet_engine *e = ctx;
	char *target = hslice_dup(hreq_msg(r)->target);

	hreq_set_ctx(r, NULL);
	if (g_str_has_prefix(target, "/-/report"))
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

/* Its gateway cancelled the run, or the way to it failed. */
static void
note_cancelled(const struct fleet_run *run)
{
	struct fleet_engine *e = run->e;

	if (fleet_proxy_faulty_us(e->f->proxy[e->i + 1]) >= run->begun_us)
		fleet_run_broke(e->f, run->id);
	else if (!run->answer.breaks)
		fleet_run_cancelled(e->f, run->id, e->i);
}

static void
on_disconnected(struct hreq *r, void *ctx)
{
	struct fleet_run *run = hreq_ctx(r);
	struct fleet_engine *e = ctx;

	if (r == e->late.r) {
		e->late.r = NULL;
		evl_timer_stop(e->f->loop, &e->late.timer);
	}
	if (run == NULL)
		return;
	note_cancelled(run);
	run_free(run);
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
assign_id(struct fleet_engine *e)
{
	g_snprintf(e->id, sizeof(e->id), "i-%zu-%u", e->i, ++e->starts);
}

static void
set_started(struct fleet_engine *e)
{
	if (e->f->keeps_start && e->started_ms != 0)
		return;
	e->started_ms = g_get_real_time() / 1000;
}

static bool
start_server(struct fleet_engine *e, struct err *err)
{
	e->server = hserver_new(&(struct hserver_conf){ .loop = e->f->loop,
				    .address = e->real,
				    .limits = &e->f->limits,
				    .connections_max = 200,
				    .bodies_max = 16 << 20,
				    .ops = &ops,
				    .ctx = e },
	    err);
	return e->server != NULL;
}

bool
fleet_engine_open(struct fleet *f, size_t i, const char *address,
    const char *advertised, bool llm, bool empty, struct err *err)
{
	struct fleet_engine *e = g_new0(struct fleet_engine, 1);
	uint64_t c;

	e->f = f;
	e->i = i;
	e->llm = llm;
	g_strlcpy(e->real, address, sizeof(e->real));
	g_strlcpy(e->advertised, advertised, sizeof(e->advertised));
	LIST_INIT(&e->runs);
	assign_id(e);
	set_started(e);
	for (c = 0; llm && !empty && c < FLEET_CHUNKS; c++) {
		e->staged[c] = g_malloc(FLEET_CHUNK_BYTES);
		fleet_chunk(1, c, e->staged[c]);
	}
	e->version = llm && !empty ? 1 : 0;
	e->to = FLEET_LAYERS;
	f->engine[i] = e;
	return start_server(e, err);
}

bool
fleet_engine_is_llm(const struct fleet *f, size_t i)
{
	return f->engine[i]->llm;
}

const char *
fleet_engine_id(const struct fleet *f, size_t i)
{
	return f->engine[i]->id;
}

void
fleet_engine_crash(struct fleet *f, size_t i, bool keeps_id)
{
	struct fleet_engine *e = f->engine[i];

	cut_runs(e);
	evl_timer_stop(f->loop, &e->load);
	e->loading = 0;
	e->version = 0;
	memset(e->unsound, 0, sizeof(e->unsound));
	e->sequence = 0;
	if (!keeps_id) {
		fleet_store_remove(f, "servers", e->id);
		assign_id(e);
	}
	set_started(e);
	fleet_engine_set_limit(f, i, 0);
	evl_timer_stop(f->loop, &e->leave);
	evl_timer_stop(f->loop, &e->shed);
	e->notice = (struct fleet_notice){ 0 };
	e->draining = false;
	fleet_engine_publish(f, i);
}

static void
on_left(struct evl_timer *t)
{
	struct fleet_engine *e = CONTAINER_OF(t, struct fleet_engine, leave);

	fleet_engine_crash(e->f, e->i, false);
}

static bool
begin_to_leave(struct fleet_engine *e)
{
	if (e->server == NULL || e->notice.leaving || e->draining)
		return false;
	e->leave.fire = on_left;
	evl_timer_set(e->f->loop, &e->leave, evl_now_us(e->f->loop) + LEAVE_US);
	return true;
}

void
fleet_engine_leave(struct fleet *f, size_t i, bool silent)
{
	struct fleet_engine *e = f->engine[i];

	if (!begin_to_leave(e))
		return;
	e->notice.leaving = true;
	e->draining = !silent;
	fleet_engine_publish(f, i);
}

void
fleet_engine_drain(struct fleet *f, size_t i)
{
	struct fleet_engine *e = f->engine[i];

	if (!begin_to_leave(e))
		return;
	e->draining = true;
	e->notice.drained_us = evl_now_us(f->loop);
	fleet_engine_publish(f, i);
}

void
fleet_engine_fall_silent(struct fleet *f, size_t i, int64_t until_us)
{
	f->engine[i]->silent_until_us = until_us;
}

static void
on_shed_end(struct evl_timer *t)
{
	struct fleet_engine *e = CONTAINER_OF(t, struct fleet_engine, shed);

	e->notice.retry_after_s = 0;
}

void
fleet_engine_shed(struct fleet *f, size_t i, double retry_after_s)
{
	struct fleet_engine *e = f->engine[i];

	e->notice.retry_after_s = retry_after_s;
	e->shed.fire = on_shed_end;
	evl_timer_set(f->loop, &e->shed, evl_now_us(f->loop) + SHED_US);
}

void
fleet_engine_relayed(struct fleet *f, const char *seal, const char *id)
{
	struct fleet_engine *e;
	size_t i;

	for (i = 0; i < f->nengines; i++) {
		e = f->engine[i];
		if (g_str_has_prefix(seal, "seal-") &&
		    g_str_has_prefix(seal + strlen("seal-"), e->id))
			fleet_notice_relayed(f, &e->notice, id);
	}
}

static void
on_restart(struct evl_timer *t)
{
	struct fleet_engine *e = CONTAINER_OF(t, struct fleet_engine, restart);
	struct err err = { 0 };

	if (!start_server(e, &err))
		g_error("engine %zu: %s", e->i, err.message);
	fleet_proxy_listen(e->f->proxy[e->i + 1], true);
	fleet_engine_crash(e->f, e->i, false);
}

void
fleet_engine_terminate(struct fleet *f, size_t i)
{
	struct fleet_engine *e = f->engine[i];

	if (e->server == NULL)
		return;
	cut_runs(e);
	fleet_proxy_listen(f->proxy[i + 1], false); /* proxy 0 is the store's */
	fleet_proxy_reset(f->proxy[i + 1]);
	hserver_free(e->server);
	e->server = NULL;
	e->restart.fire = on_restart;
	evl_timer_set(f->loop, &e->restart, evl_now_us(f->loop) + DOWN_US);
}

void
fleet_engine_set_limit(struct fleet *f, size_t i, double limit)
{
	fleet_limit_set(f, &f->engine[i]->limit, limit);
}

unsigned int
fleet_engine_max_in_window(const struct fleet *f, size_t i)
{
	return f->engine[i]->limit.max_in_window;
}

void
fleet_engine_corrupt_chunk(struct fleet *f, size_t i)
{
	struct fleet_engine *e = f->engine[i];
	uint64_t chunk = rng_below(&f->rng, FLEET_CHUNKS);

	if (e->staged[chunk] != NULL)
		corrupt_staged(
		    e, chunk, (size_t)rng_below(&f->rng, FLEET_CHUNK_BYTES));
}

void
fleet_engine_corrupt(struct fleet *f, size_t i, uint64_t chunk)
{
	if (f->engine[i]->staged[chunk] != NULL)
		corrupt_staged(f->engine[i], chunk, 0);
}

void
fleet_engine_expect_late(struct fleet *f, size_t i, int64_t until_us)
{
	f->engine[i]->late_until_us = until_us;
}

/* ------------------------------------------------------------------ */
/* The origin                                                          */
/* ------------------------------------------------------------------ */

/* Corrupts one answer in twenty, and truncates another. */
static void
on_origin(struct hreq *r, void *ctx)
{
	struct fleet *f = ctx;
	char *target = hslice_dup(hreq_msg(r)->target);
	const char *at = strstr(target, "version=");
	int64_t version = at == NULL ? f->version : atoll(at + 8);
	uint64_t i = index_of(target);
	uint8_t chunk[FLEET_CHUNK_BYTES];

	if (g_str_has_prefix(target, "/-/manifest/")) {
		fleet_manifest_answer(r, version);
	} else if (i < FLEET_CHUNKS) {
		fleet_chunk(version, i, chunk);
		if (rng_below(&f->rng, 20) == 0)
			chunk[7] ^= 1;
		if (f->broken_one_in > 0 && rng_below(&f->answer_rng, 20) == 0)
			fleet_answer_truncated(r, chunk, sizeof(chunk));
		else
			hreq_answer(r, 200, "", chunk, sizeof(chunk));
	} else {
		hreq_answer(r, 404, "", "", 0);
	}
	g_free(target);
}

static void
on_origin_disconnected(struct hreq *r, void *ctx)
{
}

static const struct hserver_ops origin_ops = {
	.request = on_origin,
	.disconnected = on_origin_disconnected,
	.drained = on_drained,
	.refused = on_refused,
};

bool
fleet_origin_open(struct fleet *f, const char *address, struct err *err)
{
	f->origin = hserver_new(&(struct hserver_conf){ .loop = f->loop,
				    .address = address,
				    .limits = &f->limits,
				    .connections_max = 48,
				    .bodies_max = 1 << 16,
				    .ops = &origin_ops,
				    .ctx = f },
	    err);
	return f->origin != NULL;
}
