/* The engine beside: its staging place, its orders, its reports. */

#include <string.h>

#include "side/keeper.h"

#define REPORT_TIMEOUT_US 300000
#define REPORT_MAX (64u << 10)
/* Reports that fail in a row before the engine counts as down: one can be
 * lost to a moment without processor. */
#define REPORT_FAILURES 2
#define CALL_TIMEOUT_US 1500000
#define CALL_REST_US 200000
#define ORDER_TIMEOUT_US 1000000

/* ------------------------------------------------------------------ */
/* Reports                                                             */
/* ------------------------------------------------------------------ */

static void
note_down(struct keeper *k)
{
	k->report_failures++;
	if (k->report_failures < REPORT_FAILURES || !k->stage.up)
		return;
	k->stage.up = false;
	evt(EVT_ENGINE, "state=down version=%" G_GINT64_FORMAT,
	    k->stage.loaded);
	/* It may come back without what it held; its staging place may have
	 * lost pieces, too. */
	k->stage.ordered_us = 0;
	k->stage.checked_us = 0;
}

static void
note_report(struct keeper *k, const struct sv_report *r)
{
	bool same_model = strcmp(r->model, k->model) == 0;
	int64_t loaded = same_model ? r->version : 0;

	if (!k->stage.up || loaded != k->stage.loaded ||
	    r->busy != k->stage.busy)
		evt(EVT_ENGINE,
		    "state=up version=%" G_GINT64_FORMAT
		    " before=%" G_GINT64_FORMAT " busy=%d running=%u",
		    loaded, k->stage.loaded, r->busy, r->running);
	/* The order was carried out, or the engine restarted. */
	if (loaded != k->stage.loaded)
		k->stage.ordered_us = 0;
	k->report_failures = 0;
	k->had_engine = true;
	k->engine = *r;
	k->stage.up = true;
	k->stage.loaded = loaded;
	k->stage.busy = r->busy;
	k->stage.running = r->running + r->waiting;
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
		note_down(k);
	keeper_tell_load(k);
	keeper_step(k);
}

void
keeper_ask_report(struct keeper *k)
{
	if (k->report != NULL || !keeper_is_heard(k))
		return;
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
/* Pieces in the staging place                                         */
/* ------------------------------------------------------------------ */

static void
rest(struct keeper *k, const char *step, const struct hfetch_answer *a)
{
	k->rest_until_us = keeper_now(k) + CALL_REST_US;
	evt(EVT_WEIGHTS, "step=%s outcome=failed status=%u why=%s", step,
	    a->status, a->status == 0 ? a->why : "status");
}

static void
call_piece(struct keeper *k, bool put, hfetch_cb *done)
{
	char *path = adapter_stage_path(k->model, k->index, put);
	GBytes *bytes =
	    put ? wts_chunk(k->wts, &k->version.root, k->index) : NULL;
	gsize len = 0;
	const void *body = bytes == NULL ? NULL : g_bytes_get_data(bytes, &len);

	k->call = hfetch_start(k->st.loop, k->st.pool,
	    &(struct hfetch_conf){
		.address = cfg_str(k->st.cfg, "engine.address"),
		.method = put ? "PUT" : "GET",
		.path = path,
		.type = put ? "application/octet-stream" : NULL,
		.body = body,
		.body_len = len,
		.timeout_us = CALL_TIMEOUT_US,
		.answer_max = k->chunk_bytes + 4096,
		.done = done,
		.ctx = k });
	g_free(path);
}

static void put_next(struct keeper *k);

static void
on_put(const struct hfetch_answer *a, void *ctx)
{
	struct keeper *k = ctx;

	k->call = NULL;
	if (a->status < 200 || a->status >= 300) {
		rest(k, "put", a);
		return;
	}
	k->placed[k->index] = true;
	put_next(k);
}

static void
put_next(struct keeper *k)
{
	uint64_t i;

	for (i = 0; i < k->chunks && k->placed[i]; i++)
		continue;
	if (i == k->chunks) {
		k->stage.put = true;
		keeper_step(k);
		return;
	}
	k->index = i;
	call_piece(k, true, on_put);
}

static bool
piece_is_good(const struct keeper *k, const struct hfetch_answer *a)
{
	const struct digest *digests = g_bytes_get_data(k->list, NULL);
	struct digest got;

	if (a->status != 200)
		return false;
	digest_of(a->body, a->len, &got);
	return digest_equal(&got, &digests[k->index]);
}

static void check_next(struct keeper *k);

static void
on_check(const struct hfetch_answer *a, void *ctx)
{
	struct keeper *k = ctx;

	k->call = NULL;
	if (a->status == 0) {
		rest(k, "check", a);
		return;
	}
	if (!piece_is_good(k, a)) {
		k->placed[k->index] = false;
		k->bad++;
	}
	k->index++;
	check_next(k);
}

static void
check_next(struct keeper *k)
{
	if (k->index < k->chunks) {
		call_piece(k, false, on_check);
		return;
	}
	if (k->bad > 0) {
		evt(EVT_WEIGHTS,
		    "step=check version=%" G_GINT64_FORMAT
		    " outcome=spoilt pieces=%" G_GUINT64_FORMAT,
		    k->stage.wanted, k->bad);
		k->stage.put = false;
	} else
		k->stage.checked_us = keeper_now(k);
	keeper_step(k);
}

/* ------------------------------------------------------------------ */
/* Pieces found there                                                  */
/* ------------------------------------------------------------------ */

static void look_next(struct keeper *k);

static void
on_look(const struct hfetch_answer *a, void *ctx)
{
	struct keeper *k = ctx;
	GBytes *bytes;

	k->call = NULL;
	if (a->status == 0) {
		rest(k, "look", a);
		return;
	}
	if (a->status == 200) {
		bytes = g_bytes_new(a->body, a->len);
		k->placed[k->index] =
		    wts_offer(k->wts, &k->version.root, k->index, bytes);
		g_bytes_unref(bytes);
	}
	if (!k->placed[k->index])
		k->bad++;
	k->index++;
	look_next(k);
}

static void
look_next(struct keeper *k)
{
	/* A first piece that is not there or of another version: so are the
	 * rest. */
	if (k->index < k->chunks && !(k->index == 1 && k->bad == 1)) {
		call_piece(k, false, on_look);
		return;
	}
	k->stage.looked = true;
	evt(EVT_WEIGHTS,
	    "step=look version=%" G_GINT64_FORMAT " found=%" G_GUINT64_FORMAT
	    " of=%" G_GUINT64_FORMAT,
	    k->stage.wanted, k->index - k->bad, k->chunks);
	keeper_set_peers(k);
	keeper_step(k);
}

/* ------------------------------------------------------------------ */
/* Orders                                                              */
/* ------------------------------------------------------------------ */

static void
on_order(const struct hfetch_answer *a, void *ctx)
{
	struct keeper *k = ctx;
	bool accepted = a->status == 200 || a->status == 202;
	bool unknown = a->status == 0 && a->sent;

	k->call = NULL;
	evt(EVT_ORDER,
	    "model=%s version=%" G_GINT64_FORMAT
	    " status=%u outcome=%s age_ms=%" G_GINT64_FORMAT " running=%u",
	    k->model, k->stage.wanted, a->status,
	    accepted      ? "accepted"
		: unknown ? "unknown"
			  : "refused",
	    (keeper_now(k) - k->heard_us) / 1000, k->stage.running);
	/* One that may have been accepted shows in the next reports. */
	if (accepted)
		k->stage.ordered_us = keeper_now(k);
	else
		k->stage.refused_us = keeper_now(k);
	k->stage.checked_us = 0;
	keeper_ask_report(k);
}

static void
give_order(struct keeper *k)
{
	char *body = adapter_order_load(k->model, k->stage.wanted, false);

	k->call = hfetch_start(k->st.loop, k->st.pool,
	    &(struct hfetch_conf){
		.address = cfg_str(k->st.cfg, "engine.address"),
		.method = "POST",
		.path = adapter_order_path,
		.type = "application/json",
		.body = body,
		.body_len = strlen(body),
		.timeout_us = ORDER_TIMEOUT_US,
		.answer_max = REPORT_MAX,
		.done = on_order,
		.ctx = k });
	g_free(body);
}

/* ------------------------------------------------------------------ */
/* Steps                                                               */
/* ------------------------------------------------------------------ */

static void
log_step(struct keeper *k, enum stg_step step)
{
	if (step == k->step)
		return;
	k->step = step;
	evt(EVT_WEIGHTS,
	    "step=%s version=%" G_GINT64_FORMAT " loaded=%" G_GINT64_FORMAT
	    " running=%u age_ms=%" G_GINT64_FORMAT,
	    stg_step_name(step), k->stage.wanted, k->stage.loaded,
	    k->stage.running, (keeper_now(k) - k->heard_us) / 1000);
}

void
keeper_step(struct keeper *k)
{
	enum stg_step step;

	if (k->call != NULL || keeper_now(k) < k->rest_until_us)
		return;
	step = stg_next(&k->stage, keeper_now(k));
	log_step(k, step);
	switch (step) {
	case STG_MANIFEST:
		keeper_learn_digests(k);
		break;
	case STG_LOOK:
		k->index = 0;
		k->bad = 0;
		look_next(k);
		break;
	case STG_PUT:
		put_next(k);
		break;
	case STG_CHECK:
		k->index = 0;
		k->bad = 0;
		check_next(k);
		break;
	case STG_ORDER:
		give_order(k);
		break;
	default:
		break;
	}
}
