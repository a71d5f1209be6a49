/* The engine's staging area, and orders to load the chunks in it. */

#include <string.h>

#include "side/keeper.h"

#define CALL_TIMEOUT_US 1500000
#define CALL_BACKOFF_US 200000
#define ORDER_TIMEOUT_US 1000000
#define ORDER_ANSWER_MAX (64u << 10)
#define ANSWER_SLACK 4096 /* an error response may be longer than a chunk */

static void
back_off(struct keeper *k, const char *step, const struct hfetch_answer *a)
{
	k->backoff_until_us = keeper_now(k) + CALL_BACKOFF_US;
	evt(EVT_WEIGHTS, "step=%s outcome=failed status=%u why=%s", step,
	    a->status, a->status == 0 ? a->error : "status");
}

static void
call_engine(struct keeper_copy *c, enum keeper_call kind,
    const struct hfetch_conf *what)
{
	struct keeper *k = c->keeper;
	struct hfetch_conf conf = *what;

	conf.address = cfg_str(k->st.cfg, "engine.address");
	conf.ctx = c;
	k->call_copy = c;
	k->call_kind = kind;
	k->call = hfetch_start(k->st.loop, k->st.pool, &conf);
}

void
keeper_abandon_call(struct keeper *k)
{
	hfetch_cancel(k->call);
	k->call = NULL;
	if (k->call_kind == KEEPER_WRITE)
		prf_write_in_doubt(&k->proof);
	if (k->call_kind != KEEPER_ORDER)
		return;
	evt(EVT_ORDER,
	    "model=%s version=%" G_GINT64_FORMAT
	    " status=0 outcome=unknown timed_out=0 seq=%" G_GINT64_FORMAT,
	    k->model, k->call_copy->version, k->engine.sequence);
	prf_order_answered(&k->proof, PRF_UNKNOWN, keeper_now(k));
	keeper_proof_changed(k);
}

static void
call_for_chunk(struct keeper_copy *c, bool put, hfetch_cb *done)
{
	struct keeper *k = c->keeper;
	char *path = adapter_stage_path(k->model, k->call_chunk, put);
	GBytes *bytes =
	    put ? wts_chunk(k->wts, &c->wts.root, k->call_chunk) : NULL;
	gsize len = 0;
	const void *body = bytes == NULL ? NULL : g_bytes_get_data(bytes, &len);

	call_engine(c, put ? KEEPER_WRITE : KEEPER_READ,
	    &(struct hfetch_conf){ .method = put ? "PUT" : "GET",
		.path = path,
		.type = put ? "application/octet-stream" : NULL,
		.body = body,
		.body_len = len,
		.timeout_us = CALL_TIMEOUT_US,
		.answer_max = c->chunk_bytes + ANSWER_SLACK,
		.done = done });
	g_free(path);
}

/* ------------------------------------------------------------------ */
/* Writing                                                             */
/* ------------------------------------------------------------------ */

static void
on_put(const struct hfetch_answer *a, void *ctx)
{
	struct keeper_copy *c = ctx;
	struct keeper *k = c->keeper;

	k->call = NULL;
	if (a->status == 0 && a->sent)
		prf_write_in_doubt(&k->proof);
	if (a->status < 200 || a->status >= 300) {
		back_off(k, "put", a);
		return;
	}
	c->chunk_staged[k->call_chunk] = true;
	keeper_put(c);
}

void
keeper_put(struct keeper_copy *c)
{
	uint64_t i;

	for (i = 0; i < c->chunks && c->chunk_staged[i]; i++)
		continue;
	if (i == c->chunks) {
		c->staged = true;
		keeper_step(c->keeper);
		return;
	}
	c->keeper->call_chunk = i;
	prf_write_sent(&c->keeper->proof);
	call_for_chunk(c, true, on_put);
}

/* ------------------------------------------------------------------ */
/* Verification                                                        */
/* ------------------------------------------------------------------ */

static bool
chunk_is_valid(const struct keeper_copy *c, const struct hfetch_answer *a)
{
	const struct digest *digests = g_bytes_get_data(c->list, NULL);
	struct digest got;

	if (a->status != 200)
		return false;
	digest_of(a->body, a->len, &got);
	return digest_equal(&got, &digests[c->keeper->call_chunk]);
}

static void check_next(struct keeper_copy *c);

static void
on_check(const struct hfetch_answer *a, void *ctx)
{
	struct keeper_copy *c = ctx;
	struct keeper *k = c->keeper;

	k->call = NULL;
	if (a->status == 0) {
		back_off(k, "check", a);
		return;
	}
	if (!chunk_is_valid(c, a)) {
		c->chunk_staged[k->call_chunk] = false;
		k->bad_chunks++;
	}
	k->call_chunk++;
	check_next(c);
}

static void
check_next(struct keeper_copy *c)
{
	struct keeper *k = c->keeper;

	if (k->call_chunk < c->chunks) {
		call_for_chunk(c, false, on_check);
		return;
	}
	if (k->bad_chunks > 0) {
		evt(EVT_WEIGHTS,
		    "step=check version=%" G_GINT64_FORMAT
		    " outcome=spoilt pieces=%" G_GUINT64_FORMAT,
		    c->version, k->bad_chunks);
		c->staged = false;
	} else {
		c->checked_us = k->pass_us;
		evt(EVT_WEIGHTS,
		    "step=check version=%" G_GINT64_FORMAT
		    " outcome=valid ms=%" G_GINT64_FORMAT,
		    c->version, (keeper_now(k) - k->pass_us) / 1000);
	}
	if (k->proving) {
		prf_read_back_ended(&k->proof, k->bad_chunks == 0);
		keeper_proof_changed(k);
	}
	keeper_step(k);
}

static void
begin_check(struct keeper_copy *c, bool proving)
{
	c->keeper->pass_us = keeper_now(c->keeper);
	c->keeper->call_chunk = 0;
	c->keeper->bad_chunks = 0;
	c->keeper->proving = proving;
	check_next(c);
}

void
keeper_check(struct keeper_copy *c)
{
	begin_check(c, false);
}

void
keeper_prove(struct keeper_copy *c)
{
	prf_read_back_begun(&c->keeper->proof);
	begin_check(c, true);
}

/* ------------------------------------------------------------------ */
/* Search for chunks that are staged already                           */
/* ------------------------------------------------------------------ */

static void scan_next(struct keeper_copy *c);

static void
on_scan(const struct hfetch_answer *a, void *ctx)
{
	struct keeper_copy *c = ctx;
	struct keeper *k = c->keeper;
	GBytes *bytes;

	k->call = NULL;
	if (a->status == 0) {
		back_off(k, "look", a);
		return;
	}
	if (a->status == 200) {
		bytes = g_bytes_new(a->body, a->len);
		c->chunk_staged[k->call_chunk] =
		    wts_offer(k->wts, &c->wts.root, k->call_chunk, bytes);
		g_bytes_unref(bytes);
	}
	if (!c->chunk_staged[k->call_chunk])
		k->bad_chunks++;
	k->call_chunk++;
	scan_next(c);
}

static void
scan_next(struct keeper_copy *c)
{
	struct keeper *k = c->keeper;

	/* If the first chunk is missing or belongs to another version, so do
	 * the others: the search ends. */
	if (k->call_chunk < c->chunks &&
	    !(k->call_chunk == 1 && k->bad_chunks == 1)) {
		call_for_chunk(c, false, on_scan);
		return;
	}
	c->scanned = true;
	/* All chunks were read back and are valid, which counts as a check.
	 * After a restart engines have no weights, and a second read of all
	 * chunks would keep each engine out of service for 0.07 s more. */
	if (k->bad_chunks == 0)
		c->checked_us = k->pass_us;
	evt(EVT_WEIGHTS,
	    "step=look version=%" G_GINT64_FORMAT " found=%" G_GUINT64_FORMAT
	    " of=%" G_GUINT64_FORMAT,
	    c->version, k->call_chunk - k->bad_chunks, c->chunks);
	keeper_set_peers(c);
	keeper_step(k);
}

void
keeper_scan(struct keeper_copy *c)
{
	c->keeper->pass_us = keeper_now(c->keeper);
	c->keeper->call_chunk = 0;
	c->keeper->bad_chunks = 0;
	scan_next(c);
}

/* ------------------------------------------------------------------ */
/* Orders                                                              */
/* ------------------------------------------------------------------ */

void
keeper_drain(struct keeper *k)
{
	if (k->drain_us != 0)
		return;
	k->drain_us = keeper_now(k);
	keeper_send_status(k);
}

void
keeper_undrain(struct keeper *k, const char *why)
{
	evt(EVT_ENGINE,
	    "state=reopened version=%" G_GINT64_FORMAT
	    " closed_ms=%" G_GINT64_FORMAT " why=%s",
	    k->loaded, (keeper_now(k) - k->drain_us) / 1000, why);
	k->drain_us = 0;
	keeper_send_status(k);
}

static void
on_order(const struct hfetch_answer *a, void *ctx)
{
	struct keeper_copy *c = ctx;
	struct keeper *k = c->keeper;
	bool accepted = a->status == 200 || a->status == 202;
	const char *outcome = "refused";
	enum prf_outcome begun = PRF_NOT_BEGUN;

	k->call = NULL;
	if (accepted)
		outcome = "accepted";
	else if (a->status == 0 && a->sent)
		outcome = "unknown"; /* the next reports show it */
	if (a->status == 202)
		begun = PRF_BEGUN;
	else if (a->status == 0 && a->sent)
		begun = PRF_UNKNOWN;
	prf_order_answered(&k->proof, begun, keeper_now(k));
	evt(EVT_ORDER,
	    "model=%s version=%" G_GINT64_FORMAT
	    " status=%u outcome=%s age_ms=%" G_GINT64_FORMAT
	    " running=%u checked_ms=%" G_GINT64_FORMAT
	    " timed_out=%d seq=%" G_GINT64_FORMAT,
	    k->model, c->version, a->status, outcome,
	    (keeper_now(k) - c->announced_us) / 1000, k->engine.running,
	    (keeper_now(k) - c->checked_us) / 1000, a->timed_out,
	    k->engine.sequence);
	if (accepted)
		k->ordered_us = keeper_now(k);
	else
		k->refused_us = keeper_now(k);
	c->checked_us = 0;
	keeper_proof_changed(k);
	keeper_poll_engine(k);
}

void
keeper_order(struct keeper_copy *c)
{
	struct keeper *k = c->keeper;
	struct prf_order order = {
		.weights = prf_next(&k->proof, c->version, k->layers),
		.checked_us = c->checked_us,
	};
	struct sv_load load = { .model = k->model,
		.version = c->version,
		.sequence = prf_order_sent(&k->proof, &order),
		/* Answers from weights without a proof may be wrong. */
		.preempt = k->may_cut || k->proof.unproved };
	char *body;

	if (order.weights.from > 0 ||
	    order.weights.to < prf_layers(&k->proof, c->version, k->layers))
		load.layers =
		    (struct sv_layers){ order.weights.from, order.weights.to };
	/* If this process ends before the answer, gateways know of the order. */
	keeper_send_status(k);
	body = adapter_order_load(&load);
	call_engine(c, KEEPER_ORDER,
	    &(struct hfetch_conf){ .method = "POST",
		.path = adapter_order_path,
		.type = "application/json",
		.body = body,
		.body_len = strlen(body),
		.timeout_us = ORDER_TIMEOUT_US,
		.answer_max = ORDER_ANSWER_MAX,
		.done = on_order });
	g_free(body);
}
