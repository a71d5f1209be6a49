/* The engine's continuous batching: slots, steps, queue, cancel, resume. */

#include <string.h>
#include <unistd.h>

#include "standin/engine_run.h"

#define CRASH_STATUS 9

/* ------------------------------------------------------------------ */
/* Reports                                                             */
/* ------------------------------------------------------------------ */

static void
drop_snapshot(struct batch *b)
{
	struct snapshot *s = STAILQ_FIRST(&b->snapshots);

	STAILQ_REMOVE_HEAD(&b->snapshots, entry);
	g_free(s);
}

/* Returns the newest snapshot that is at least `report_lag_ms` old, or the
 * oldest if none is; frees the snapshots before it. */
static const struct snapshot *
reported_snapshot(struct batch *b)
{
	int64_t horizon = clk_now_ms(b->clock) - b->report_lag_ms;
	struct snapshot *first = STAILQ_FIRST(&b->snapshots), *second;

	while (first != NULL) {
		second = STAILQ_NEXT(first, entry);
		if (second == NULL || second->at_ms > horizon)
			break;
		drop_snapshot(b);
		first = second;
	}
	return first;
}

static void
take_snapshot(struct batch *b)
{
	struct snapshot *s = g_new0(struct snapshot, 1);

	s->at_ms = clk_now_ms(b->clock);
	s->running = b->nrunning;
	s->waiting = b->nwaiting;
	s->cache_tokens = cache_tokens(b->cache);
	s->step_ms = b->step_ms;
	STAILQ_INSERT_TAIL(&b->snapshots, s, entry);
	reported_snapshot(b);
}

void
batch_on_report(SoupServer *server, SoupServerMessage *msg, const char *path,
    GHashTable *query, void *ctx)
{
	struct batch *b = ctx;
	const struct snapshot *s = reported_snapshot(b);
	JsonBuilder *json = json_begin();

	put_int(json, "running", s->running);
	put_int(json, "waiting", s->waiting);
	put_int(json, "slots", b->slots);
	put_int(json, "cache_tokens", s->cache_tokens);
	put_int(json, "step_ms", s->step_ms);
	reply_json(msg, 200, json);
}

/* ------------------------------------------------------------------ */
/* Start and end of runs                                               */
/* ------------------------------------------------------------------ */

static void
run_forget(struct run *run)
{
	struct batch *b = run->batch;

	if (g_hash_table_lookup(b->by_id, run->id) == run)
		g_hash_table_remove(b->by_id, run->id);
	run_free(run);
}

/* A waiting run is not logged, because it did not run. */
static void
drop_waiting(struct run *run)
{
	TAILQ_REMOVE(&run->batch->waiting, run, entry);
	run->batch->nwaiting--;
	run_forget(run);
}

static void
run_end(struct run *run, enum run_state state)
{
	struct batch *b = run->batch;

	TAILQ_REMOVE(&b->running, run, entry);
	b->nrunning--;
	run->state = state;
	run->end_ms = clk_wall_us(b->clock) / 1000;
	/* The stream can be resumed for `keep_ms` from now. */
	run->detached_ms = clk_now_ms(b->clock);
	run_send(run);
}

static bool
digest_matches(const struct batch *b, const struct run *run)
{
	return run->expected_digest[0] == '\0' ||
	    strcmp(run->expected_digest, b->loaded->digest) == 0;
}

/* Checks the digest again: the loaded weights may have changed while the run
 * was waiting. */
static void
run_begin(struct run *run)
{
	struct batch *b = run->batch;

	if (!digest_matches(b, run)) {
		run_refuse(run, 409, "another digest is loaded");
		drop_waiting(run);
		return;
	}
	TAILQ_REMOVE(&b->waiting, run, entry);
	b->nwaiting--;
	TAILQ_INSERT_TAIL(&b->running, run, entry);
	b->nrunning++;
	STAILQ_INSERT_TAIL(&b->log, run, logged);
	run->state = RUN_RUNNING;
	run->start_ms = clk_wall_us(b->clock) / 1000;
	memcpy(run->digest, b->loaded->digest, sizeof(run->digest));
	if (!cache_lookup(b->cache, run->prefix))
		run->prefill_left = run->prompt_tokens;
	run_send_head(run);
}

/* ------------------------------------------------------------------ */
/* Steps                                                               */
/* ------------------------------------------------------------------ */

static void
prefill(struct run *run, int64_t *budget)
{
	int64_t n = MIN(*budget, run->prefill_left);

	*budget -= n;
	run->prefill_left -= n;
	if (run->prefill_left == 0)
		cache_add(run->batch->cache, run->prefix, run->prompt_tokens);
}

static void
run_step(struct run *run, int64_t *budget, int64_t now_ms)
{
	if (run->deferred == NULL &&
	    now_ms - run->detached_ms >= run->batch->keep_ms) {
		run_end(run, RUN_CANCELLED);
	} else if (run->prefill_left > 0) {
		prefill(run, budget);
	} else if (run->crashes) {
		_exit(CRASH_STATUS);
	} else if (++run->tokens < run->max_tokens) {
		if (run->stream)
			run_send(run);
	} else {
		run_end(run, RUN_DONE);
	}
}

static void
step(struct batch *b)
{
	int64_t now_ms = clk_now_ms(b->clock);
	int64_t budget = b->prefill_tokens_per_step;
	struct run *run, *next;

	while (b->nrunning < b->slots && !TAILQ_EMPTY(&b->waiting))
		run_begin(TAILQ_FIRST(&b->waiting));
	for (run = TAILQ_FIRST(&b->running); run != NULL; run = next) {
		next = TAILQ_NEXT(run, entry);
		run_step(run, &budget, now_ms);
	}
	take_snapshot(b);
}

static bool
is_idle(const struct batch *b)
{
	return TAILQ_EMPTY(&b->running) && TAILQ_EMPTY(&b->waiting);
}

/* The next step is scheduled relative to the due time of the last one, so that
 * the rate does not drift; steps missed by a late main loop are skipped. */
static void
schedule(struct batch *b)
{
	int64_t now_us = g_get_monotonic_time();
	int64_t frozen_us = b->frozen_until_ms * 1000;

	if (is_idle(b)) {
		b->next_step_us = 0;
		g_source_set_ready_time(b->stepper, -1);
		return;
	}
	b->next_step_us += b->step_ms * 1000;
	if (b->next_step_us < now_us)
		b->next_step_us = now_us + b->step_ms * 1000;
	b->next_step_us = MAX(b->next_step_us, frozen_us);
	g_source_set_ready_time(b->stepper, b->next_step_us);
}

static gboolean
on_step(void *ctx)
{
	struct batch *b = ctx;

	if (g_get_monotonic_time() >= b->frozen_until_ms * 1000)
		step(b);
	schedule(b);
	return G_SOURCE_CONTINUE;
}

/* ------------------------------------------------------------------ */
/* HTTP handlers                                                       */
/* ------------------------------------------------------------------ */

static void
on_run_closed(void *ctx)
{
	struct run *run = ctx;

	deferred_free(run->deferred);
	run->deferred = NULL;
	run->detached_ms = clk_now_ms(run->batch->clock);
	if (run->state == RUN_WAITING)
		drop_waiting(run);
}

static void
enqueue(struct batch *b, struct run *run)
{
	struct run *other;

	TAILQ_FOREACH (other, &b->waiting, entry) {
		if (other->priority > run->priority)
			break;
	}
	if (other != NULL)
		TAILQ_INSERT_BEFORE(other, run, entry);
	else
		TAILQ_INSERT_TAIL(&b->waiting, run, entry);
	b->nwaiting++;
	g_hash_table_replace(b->by_id, run->id, run);
	take_snapshot(b);
	if (b->next_step_us == 0)
		schedule(b);
}

/* False after refusing the request as not run. */
static bool
admit_run(struct batch *b, SoupServerMessage *msg, const struct run *run)
{
	bool full = b->nwaiting >= b->max_queue + b->slots - b->nrunning;

	if (b->refuse)
		reply_not_run(msg, 503, "told to refuse");
	else if (b->loaded->digest[0] == '\0')
		reply_not_run(msg, 503, "no model is loaded");
	else if (!digest_matches(b, run))
		reply_not_run(msg, 409, "another digest is loaded");
	else if (full)
		reply_not_run(msg, 503, "the queue is full");
	else
		return true;
	return false;
}

void
batch_on_chat(SoupServer *server, SoupServerMessage *msg, const char *path,
    GHashTable *query, void *ctx)
{
	struct batch *b = ctx;
	struct run *run = run_parse(b, msg);

	if (run == NULL)
		return;
	if (!admit_run(b, msg, run)) {
		run_free(run);
		return;
	}
	run->deferred = deferred_new(msg, on_run_closed, run);
	enqueue(b, run);
}

static int64_t
cancel(struct run *run)
{
	if (run == NULL)
		return 0;
	if (run->state == RUN_WAITING) {
		run_refuse(run, 503, "cancelled");
		drop_waiting(run);
	} else if (run->state == RUN_RUNNING) {
		run_end(run, RUN_CANCELLED);
	} else {
		return 0;
	}
	return 1;
}

/* If the body has an `attempt`, only that attempt is cancelled: the cancel of
 * an earlier attempt may arrive after the next one has started. */
void
batch_on_cancel(SoupServer *server, SoupServerMessage *msg, const char *path,
    GHashTable *query, void *ctx)
{
	struct batch *b = ctx;
	JsonObject *body = body_object(msg);
	JsonBuilder *json;
	struct run *run;

	if (body == NULL)
		return;
	run = g_hash_table_lookup(b->by_id, member_str(body, "request_id", ""));
	if (run != NULL &&
	    member_int(body, "attempt", run->attempt) != run->attempt)
		run = NULL;
	json_object_unref(body);
	json = json_begin();
	put_int(json, "cancelled", cancel(run));
	reply_json(msg, 200, json);
}

/* True for a run that is running, or that was done less than `keep_ms` ago. */
static bool
can_resume(const struct batch *b, const struct run *run)
{
	if (run == NULL)
		return false;
	if (run->state == RUN_RUNNING)
		return true;
	return run->state == RUN_DONE &&
	    clk_now_ms(b->clock) - run->detached_ms < b->keep_ms;
}

void
batch_on_stream(SoupServer *server, SoupServerMessage *msg, const char *path,
    GHashTable *query, void *ctx)
{
	struct batch *b = ctx;
	struct run *run = NULL;

	if (g_str_has_prefix(path, "/v1/streams/")) {
		run = g_hash_table_lookup(
		    b->by_id, path + strlen("/v1/streams/"));
	}
	if (!can_resume(b, run)) {
		reply_error(msg, 404, "no such stream");
		return;
	}
	/* The old connection may be stalled without having been closed. */
	if (run->deferred != NULL)
		deferred_hang_up(run->deferred);
	run->deferred = deferred_new(msg, on_run_closed, run);
	run->stream = true;
	run->sent = MAX(query_int(query, "from", 0), 0);
	run_send_head(run);
	run_send(run);
}

/* ------------------------------------------------------------------ */
/* Faults and log                                                      */
/* ------------------------------------------------------------------ */

static void
drop_streams(struct batch *b)
{
	struct run *run;

	TAILQ_FOREACH (run, &b->running, entry) {
		if (!run->stream || run->deferred == NULL)
			continue;
		deferred_hang_up(run->deferred);
		run->deferred = NULL;
		run->detached_ms = clk_now_ms(b->clock);
	}
}

void
batch_faults(struct batch *b, JsonObject *body)
{
	int64_t freeze_ms = member_int(body, "freeze_ms", 0);
	int64_t step_ms = member_int(body, "step_ms", 0);

	if (freeze_ms > 0) {
		b->frozen_until_ms = g_get_monotonic_time() / 1000 + freeze_ms;
	}
	if (step_ms > 0)
		b->step_ms = step_ms;
	b->refuse = member_bool(body, "refuse", b->refuse);
	member_int_into(body, "unframed", &b->unframed);
	member_int_into(body, "break_in_event", &b->break_in_event);
	if (member_bool(body, "drop_streams", false))
		drop_streams(b);
	if (json_object_has_member(body, "crash_on")) {
		g_free(b->crash_on);
		b->crash_on =
		    g_strdup(json_object_get_string_member(body, "crash_on"));
	}
}

static const char *
state_name(enum run_state state)
{
	switch (state) {
	case RUN_DONE:
		return "done";
	case RUN_CANCELLED:
		return "cancelled";
	default:
		return "running";
	}
}

void
batch_put_log(const struct batch *b, JsonBuilder *json)
{
	const struct run *run;

	json_builder_set_member_name(json, "runs");
	json_builder_begin_array(json);
	STAILQ_FOREACH (run, &b->log, logged) {
		json_builder_begin_object(json);
		put_str(json, "request_id", run->id);
		put_int(json, "attempt", run->attempt);
		put_str(json, "digest", run->digest);
		put_int(json, "tokens", run->tokens);
		put_int(json, "max_tokens", run->max_tokens);
		put_str(json, "state", state_name(run->state));
		put_int(json, "start_ms", run->start_ms);
		put_int(json, "end_ms", run->end_ms);
		json_builder_end_object(json);
	}
	json_builder_end_array(json);
	/* Always 0: a run keeps the digest it started with until it ends. */
	put_int(json, "mixed", 0);
}

/* ------------------------------------------------------------------ */
/* Setup and teardown                                                  */
/* ------------------------------------------------------------------ */

static gboolean
dispatch_stepper(GSource *source, GSourceFunc callback, void *ctx)
{
	return callback(ctx);
}

static GSourceFuncs stepper_funcs = { .dispatch = dispatch_stepper };

struct batch *
batch_new(const struct engine_options *options, const struct weights *loaded,
    struct cache *cache)
{
	struct batch *b = g_new0(struct batch, 1);

	b->clock = options->clock;
	b->loaded = loaded;
	b->cache = cache;
	b->slots = options->slots;
	b->max_queue = options->max_queue;
	b->step_ms = options->step_ms;
	b->prefill_tokens_per_step = options->prefill_tokens_per_step;
	b->keep_ms = options->keep_ms;
	b->report_lag_ms = options->report_lag_ms;
	b->by_id = g_hash_table_new(g_str_hash, g_str_equal);
	TAILQ_INIT(&b->waiting);
	TAILQ_INIT(&b->running);
	STAILQ_INIT(&b->log);
	STAILQ_INIT(&b->snapshots);
	b->stepper = g_source_new(&stepper_funcs, sizeof(GSource));
	g_source_set_callback(b->stepper, on_step, b, NULL);
	g_source_attach(b->stepper, NULL);
	take_snapshot(b);
	return b;
}

void
batch_free(struct batch *b)
{
	struct run *run;

	g_source_destroy(b->stepper);
	g_source_unref(b->stepper);
	while (!TAILQ_EMPTY(&b->waiting))
		drop_waiting(TAILQ_FIRST(&b->waiting));
	while ((run = STAILQ_FIRST(&b->log)) != NULL) {
		STAILQ_REMOVE_HEAD(&b->log, logged);
		run_free(run);
	}
	while (!STAILQ_EMPTY(&b->snapshots))
		drop_snapshot(b);
	g_hash_table_destroy(b->by_id);
	g_free(b->crash_on);
	g_free(b);
}
