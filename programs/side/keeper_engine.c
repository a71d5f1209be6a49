/* The engine's reports, and the next step towards the wanted version. */

#include <string.h>

#include "serve/side.h"
#include "side/keeper.h"

#define REPORT_TIMEOUT_US 300000
#define REPORT_MAX (64u << 10)
/* Consecutive failed reports after which the engine counts as down, or as silent
 * if it only left them unanswered. A single one can time out while a process
 * gets no processor time. */
#define REPORT_FAILURES 2

/* ------------------------------------------------------------------ */
/* Reports                                                             */
/* ------------------------------------------------------------------ */

/* Staged chunks may have changed with the engine's state since they were
 * verified. */
static void
invalidate_checks(struct keeper *k)
{
	if (k->newest != NULL)
		k->newest->checked_us = 0;
	if (k->older != NULL)
		k->older->checked_us = 0;
}

/* Requests that an engine runs while it answers no report, or without end, may
 * still be answered, and none of them has terminated it. */
static bool
is_only_silent(const struct keeper *k, const struct hfetch_answer *a)
{
	return (a->timed_out || a->failure == HCALL_TOO_LONG) &&
	    keeper_now(k) - k->answered_us < SV_SILENCE_MAX_US;
}

static void
note_report_failure(struct keeper *k, const struct hfetch_answer *a)
{
	bool was_silent = k->silent;

	k->report_failures++;
	k->reports_unanswered = a->timed_out ? k->reports_unanswered + 1 : 0;
	if (k->report_failures < REPORT_FAILURES || !k->up)
		return;
	k->silent = is_only_silent(k, a);
	if (k->silent) {
		if (!was_silent)
			evt(EVT_ENGINE,
			    "state=silent version=%" G_GINT64_FORMAT,
			    k->loaded);
		return;
	}
	k->up = false;
	evt(EVT_ENGINE, "state=down version=%" G_GINT64_FORMAT, k->loaded);
	permits_reset(&k->permits);
	/* The engine may restart without its weights, and its staging area may
	 * have lost chunks. */
	k->ordered_us = 0;
	k->drain_us = 0;
	invalidate_checks(k);
}

static void
invalidate_staged(struct keeper_copy *c)
{
	if (c == NULL || c->chunk_staged == NULL)
		return;
	memset(c->chunk_staged, 0, c->chunks * sizeof(c->chunk_staged[0]));
	c->staged = false;
	c->scanned = false;
	c->checked_us = 0;
}

/*
 * The engine restarted between two reports. An order that it accepted before is
 * lost, and waiting for it would take nine seconds (STG_ORDER_TIMEOUT_US). A
 * power failure may have erased the staging area.
 */
static void
note_restart(struct keeper *k)
{
	evt(EVT_ENGINE, "state=started_again version=%" G_GINT64_FORMAT,
	    k->loaded);
	k->ordered_us = 0;
	k->refused_us = 0;
	k->drain_us = 0;
	permits_reset(&k->permits);
	if (k->call != NULL)
		hfetch_cancel(k->call);
	k->call = NULL;
	prf_restarted(&k->proof);
	invalidate_staged(k->newest);
	invalidate_staged(k->older);
}

/* What the engine holds of the model. */
static struct prf_weights
held_weights(const struct keeper *k, const struct sv_report *r)
{
	struct prf_weights held = { r->version, r->layers.from, r->layers.to };

	if (strcmp(r->model, k->model) != 0 || r->version == 0)
		return (struct prf_weights){ 0 };
	if (held.to == 0)
		held.to = k->layers == 0 ? UINT_MAX : k->layers;
	return held;
}

static void
log_proof(struct keeper *k)
{
	const struct prf *now = &k->proof, *before = &k->proof_logged;
	const char *outcome = "none";

	if (now->unproved == before->unproved &&
	    now->unprovable == before->unprovable &&
	    now->in_doubt == before->in_doubt)
		return;
	if (!now->unproved)
		outcome = now->in_doubt ? "order_in_doubt" : "proved";
	else if (now->unprovable)
		outcome = "unprovable";
	ctr_add(ctr_get(k->st.counters, "proof_changes"), 1);
	evt(EVT_WEIGHTS,
	    "step=proof version=%" G_GINT64_FORMAT
	    " outcome=%s seq=%" G_GINT64_FORMAT,
	    now->held.version, outcome, now->sequence);
	k->proof_logged = *now;
}

void
keeper_proof_changed(struct keeper *k)
{
	k->loaded = prf_usable(&k->proof, k->layers);
	log_proof(k);
}

static bool
holds_same(const struct sv_report *a, const struct sv_report *b)
{
	return a->version == b->version && a->layers.from == b->layers.from &&
	    a->layers.to == b->layers.to && strcmp(a->model, b->model) == 0;
}

static void
note_report(struct keeper *k, const struct sv_report *r)
{
	int64_t before = k->loaded;

	if (k->had_engine && k->engine.start_ms != 0 && r->start_ms != 0 &&
	    k->engine.start_ms != r->start_ms)
		note_restart(k);
	prf_reported(&k->proof,
	    &(struct prf_report){ .held = held_weights(k, r),
		.sequence = r->sequence,
		.busy = r->busy,
		.requested_us = k->report_requested_us,
		.was_silent = k->reports_unanswered >= REPORT_FAILURES });
	keeper_proof_changed(k);

	if (!k->up || k->silent || k->loaded != before ||
	    r->busy != k->engine.busy || r->sequence != k->engine.sequence)
		evt(EVT_ENGINE,
		    "state=up version=%" G_GINT64_FORMAT
		    " before=%" G_GINT64_FORMAT
		    " busy=%d running=%u seq=%" G_GINT64_FORMAT,
		    k->loaded, before, r->busy, r->running, r->sequence);
	/* The engine has carried out the order, or has restarted. */
	if (!r->busy &&
	    (!holds_same(r, &k->engine) || prf_has_loaded(&k->proof))) {
		k->ordered_us = 0;
		k->drain_us = 0;
	}
	k->report_failures = 0;
	k->reports_unanswered = 0;
	/* A drain that began before a silence has drained nothing. */
	if (k->silent)
		k->drain_us = 0;
	k->answered_us = keeper_now(k);
	k->silent = false;
	k->had_engine = true;
	k->engine = *r;
	k->up = true;
}

static void
on_report(const struct hfetch_answer *a, void *ctx)
{
	struct keeper *k = ctx;
	struct sv_report report;
	struct err err = { 0 };

	k->report = NULL;
	if (a->status == 200 &&
	    adapter_report_read(a->body, a->len, &report, &err))
		note_report(k, &report);
	else
		note_report_failure(k, a);
	keeper_send_status(k);
	keeper_step(k);
}

void
keeper_poll_engine(struct keeper *k)
{
	if (k->report != NULL || !keeper_has_gateways(k))
		return;
	k->report_requested_us = keeper_now(k);
	k->report = hfetch_start(k->st.loop, k->st.pool,
	    &(struct hfetch_conf){
		.address = cfg_str(k->st.cfg, "engine.address"),
		.method = "GET",
		.path = adapter_report_path,
		.timeout_us = REPORT_TIMEOUT_US,
		.answer_max = REPORT_MAX,
		.done = on_report,
		.ctx = k });
}

/* ------------------------------------------------------------------ */
/* Which version, which step                                           */
/* ------------------------------------------------------------------ */

static unsigned int
own_rank(const struct keeper *k)
{
	guint i;

	for (i = 0; i < k->peers->len; i++) {
		if (strcmp(
			g_array_index(k->peers, struct keeper_peer, i).address,
			k->st.node.id) == 0)
			return i;
	}
	return 0;
}

/* Time at which the engine may begin to switch to `c`. */
static int64_t
switch_us(const struct keeper *k, const struct keeper_copy *c)
{
	struct stg_schedule q = {
		.announced_us = c->announced_us,
		.deadline_us = stg_deadlines_expiry(&k->deadlines, k->loaded),
		.others_us = stg_deadlines_of(&k->deadlines, k->loaded),
		.rank = own_rank(k),
		.n = k->peers->len,
	};

	return stg_switch_us(&q);
}

static struct stg_state
state_of(const struct keeper *k, const struct keeper_copy *c)
{
	return (struct stg_state){
		.wanted = c->version,
		.up = k->up && !k->silent,
		.loaded = k->loaded,
		.unproved = prf_needs_read_back(&k->proof) &&
		    k->proof.held.version == c->version,
		.busy = k->engine.busy,
		.running = k->engine.running + k->engine.waiting,
		.manifest = c->list != NULL,
		.scanned = c->scanned,
		.complete = c->complete,
		.staged = c->staged,
		.checked_us = c->checked_us,
		.ordered_us = k->ordered_us,
		.refused_us = k->refused_us,
		.slots = k->slots,
		.drain_us = k->drain_us,
		.may_cut = k->may_cut,
		.switch_us = switch_us(k, c),
	};
}

static struct stg_overlap
overlap_of(const struct keeper *k)
{
	struct wts_progress p = { 0 };

	if (k->newest->has_root)
		wts_progress(k->wts, &k->newest->wts.root, &p);
	return (struct stg_overlap){
		.older_complete = k->older->complete,
		.older_left = k->older->has_root
		    ? wts_count_origin_only(k->wts, &k->older->wts.root)
		    : UINT64_MAX,
		.older_total = k->older->chunks,
		.loaded = k->loaded,
		.older_switch_us = switch_us(k, k->older),
		.newest_announced_us = k->newest->announced_us,
		.older_deadline_us = k->older->deadline_us,
		.newest_deadline_us = k->newest->deadline_us,
		.have = p.have,
		.total = p.total,
	};
}

/* Whether an older version is wanted and `rule` holds for it. */
static bool
older_satisfies(const struct keeper *k,
    bool (*rule)(const struct stg_overlap *r, int64_t now_us))
{
	struct stg_overlap overlap;

	if (k->older == NULL || k->loaded >= k->older->version)
		return false;
	overlap = overlap_of(k);
	return rule(&overlap, keeper_now(k));
}

static bool
newest_waits(const struct keeper *k)
{
	return older_satisfies(k, stg_fetches_older);
}

/* The version that the engine is to load next. */
static struct keeper_copy *
choose_copy(struct keeper *k)
{
	if (k->older != NULL &&
	    (k->newest->complete || k->loaded >= k->newest->version))
		keeper_drop_older(k);
	if (k->older != NULL && prf_needs_read_back(&k->proof) &&
	    k->proof.held.version == k->older->version)
		return k->older;
	if (newest_waits(k) || older_satisfies(k, stg_prefers_older))
		return k->older;
	return k->newest;
}

static void
log_step(struct keeper *k, const struct keeper_copy *c, enum stg_step step)
{
	if (step == k->step)
		return;
	k->step = step;
	evt(EVT_WEIGHTS,
	    "step=%s version=%" G_GINT64_FORMAT " loaded=%" G_GINT64_FORMAT
	    " running=%u age_ms=%" G_GINT64_FORMAT,
	    stg_step_name(step), c->version, k->loaded, k->engine.running,
	    (keeper_now(k) - c->announced_us) / 1000);
}

static void
carry_out(struct keeper_copy *c, enum stg_step step)
{
	switch (step) {
	case STG_MANIFEST:
		keeper_get_digests(c);
		break;
	case STG_SCAN:
		keeper_scan(c);
		break;
	case STG_PUT:
		keeper_put(c);
		break;
	case STG_DRAIN:
		keeper_drain(c->keeper);
		break;
	case STG_CHECK:
		keeper_check(c);
		break;
	case STG_PROVE:
		keeper_prove(c);
		break;
	case STG_ORDER:
		keeper_order(c);
		break;
	case STG_IDLE:
	case STG_FETCH:
	case STG_WAIT_SWITCH:
	case STG_LOADING:
	case STG_DONE:
	case STG_STEPS:
		break;
	}
}

void
keeper_step(struct keeper *k)
{
	struct keeper_copy *c;
	struct stg_state state;
	enum stg_step step;

	if (k->newest != NULL)
		keeper_check_digests(k->newest);
	if (k->older != NULL)
		keeper_check_digests(k->older);
	if (k->newest == NULL || k->call != NULL ||
	    keeper_now(k) < k->backoff_until_us)
		return;
	if (k->drain_us != 0 && k->ordered_us == 0 &&
	    keeper_now(k) - k->drain_us > STG_DRAIN_MAX_US)
		keeper_undrain(k, "no_order_accepted");
	c = choose_copy(k);
	/* While the engine is to load the older version, the newest one is
	 * transferred, too. */
	if (c != k->newest && k->newest->list == NULL && !newest_waits(k))
		keeper_get_digests(k->newest);
	state = state_of(k, c);
	step = stg_next(&state, keeper_now(k));
	log_step(k, c, step);
	/* For example, a newer version was announced while the engine drained,
	 * and is not complete yet. */
	if (k->drain_us != 0 && k->ordered_us == 0 && !stg_leads_to_order(step))
		keeper_undrain(k, stg_step_name(step));
	carry_out(c, step);
}
