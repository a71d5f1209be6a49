/* The public interface of the package: this host's transfers and its link. */

#include <string.h>

#include "weights/xfer.h"

/* Debt of the download budget from which connections of peers are paused, so
 * that TCP slows them down. A smaller debt, of a slice or two, evens out by
 * itself. */
#define PAUSE_DEBT_US 30000

/* ------------------------------------------------------------------ */
/* Setup                                                               */
/* ------------------------------------------------------------------ */

static void
init_counters(struct wts *wts)
{
	struct ctr_set *set = wts->conf.node->counters;

	if (set == NULL) {
		wts->private_counters = ctr_set_new();
		set = wts->private_counters;
	}
	wts->counts = (struct counts){
		.peer_chunks = ctr_get(set, "wts_peer_chunks"),
		.origin_chunks = ctr_get(set, "wts_origin_chunks"),
		.peer_bytes = ctr_get(set, "wts_peer_bytes"),
		.cross_domain_bytes = ctr_get(set, "wts_cross_domain_bytes"),
		.origin_bytes = ctr_get(set, "wts_origin_bytes"),
		.sent_bytes = ctr_get(set, "wts_sent_bytes"),
		.corrupt_peer = ctr_get(set, "wts_corrupt_from_peers"),
		.corrupt_origin = ctr_get(set, "wts_corrupt_from_origin"),
		.stalls = ctr_get(set, "wts_stalls"),
		.busy = ctr_get(set, "wts_busy_answers"),
		.late_bytes = ctr_get(set, "wts_late_bytes"),
		.out_of_turn = ctr_get(set, "wts_reads_out_of_turn"),
		.extra_reads = ctr_get(set, "wts_extra_reads"),
	};
}

static void
on_serve(void *ctx)
{
	serve_drop_stalled(ctx);
	serve_run(ctx);
}

static void
set_paused(struct wts *wts, bool paused)
{
	GHashTableIter iter;
	gpointer c, peer;

	wts->paused = paused;
	g_hash_table_iter_init(&iter, wts->by_conn);
	while (g_hash_table_iter_next(&iter, &c, &peer)) {
		/* A connection whose handshake is not complete carries few
		 * bytes. */
		if (((struct peer *)peer)->open)
			conn_pause(c, paused);
	}
}

static void
on_resume(void *ctx)
{
	set_paused(ctx, false);
}

void
wts_received(struct wts *wts, uint64_t bytes)
{
	int64_t now_us = clk_now_us(wts->clock);

	bucket_take(&wts->down, bytes, now_us);
	if (wts->paused || bucket_debt_us(&wts->down, now_us) < PAUSE_DEBT_US)
		return;
	set_paused(wts, true);
	timer_set(&wts->resume_timer, bucket_ready_us(&wts->down, now_us));
}

struct wts *
wts_new_from(const struct wts_conf *conf, const struct wts_ops *ops, void *ctx,
    const struct wts_source *source)
{
	struct wts *wts = g_new0(struct wts, 1);
	int64_t now_us;

	wts->conf = *conf;
	wts->conf.id = g_strdup(conf->id);
	wts->conf.domain = g_strdup(conf->domain);
	wts->conf.origin = g_strdup(conf->origin);
	wts->ops = *ops;
	wts->ctx = ctx;
	wts->source = *source;
	wts->clock = conf->node->clock;
	now_us = clk_now_us(wts->clock);
	init_counters(wts);
	rng_seed(&wts->rng, conf->seed ^ hash64(0, conf->id, strlen(conf->id)));
	wts->hold = hold_new(conf->memory_bytes);
	bucket_init(&wts->down, conf->download_bytes_s, now_us);
	bucket_init(&wts->up, conf->upload_bytes_s, now_us);
	TAILQ_INIT(&wts->xfers);
	TAILQ_INIT(&wts->uploads);
	wts->by_conn = g_hash_table_new(NULL, NULL);
	timer_init(&wts->serve_timer, wts->clock, on_serve, wts);
	timer_init(&wts->resume_timer, wts->clock, on_resume, wts);
	return wts;
}

static void
drop_xfer(struct xfer *x)
{
	struct wts *wts = x->wts;

	TAILQ_REMOVE(&wts->xfers, x, link);
	xfer_free(x);
}

void
wts_free(struct wts *wts)
{
	struct xfer *x;

	if (wts == NULL)
		return;
	while ((x = TAILQ_FIRST(&wts->xfers)) != NULL)
		drop_xfer(x);
	timer_stop(&wts->serve_timer);
	timer_stop(&wts->resume_timer);
	g_hash_table_unref(wts->by_conn);
	hold_free(wts->hold);
	ctr_set_free(wts->private_counters);
	g_free((char *)wts->conf.id);
	g_free((char *)wts->conf.domain);
	g_free((char *)wts->conf.origin);
	g_free(wts);
}

/* ------------------------------------------------------------------ */
/* Transfers                                                           */
/* ------------------------------------------------------------------ */

struct xfer *
wts_find(struct wts *wts, const struct digest *root)
{
	struct xfer *x;

	TAILQ_FOREACH (x, &wts->xfers, link) {
		if (digest_equal(&x->want.version.root, root))
			return x;
	}
	return NULL;
}

bool
wts_want(struct wts *wts, const struct wts_want *want, struct err *err)
{
	struct xfer *x = wts_find(wts, &want->version.root);

	if (!version_is_sane(&want->version)) {
		return err_set(err, ERR_INVALID, VERDICT_NOT_RUN,
		    "bytes or chunk_bytes of the version is out of bounds");
	}
	if (x == NULL) {
		x = xfer_new(wts, want);
		TAILQ_INSERT_TAIL(&wts->xfers, x, link);
	}
	xfer_set_want(x, want);
	return true;
}

/* A version whose list has not arrived yet may share chunks of dropped
 * versions. */
void
wts_release_retired(struct wts *wts)
{
	struct xfer *x;

	TAILQ_FOREACH (x, &wts->xfers, link) {
		if (x->phase == WTS_LIST)
			return;
	}
	hold_release_retired(wts->hold);
}

void
wts_drop(struct wts *wts, const struct digest *root)
{
	struct xfer *x = wts_find(wts, root);

	if (x == NULL)
		return;
	drop_xfer(x);
	TAILQ_FOREACH (x, &wts->xfers, link)
		xfer_try_reserve(x);
}

bool
wts_offer_list(struct wts *wts, const struct digest *root, GBytes *list)
{
	struct xfer *x = wts_find(wts, root);
	struct digest_stream *stream;
	struct digest got;
	gsize len;
	const void *raw = g_bytes_get_data(list, &len);

	if (x == NULL || len != version_list_len(&x->want.version))
		return false;
	if (x->list != NULL)
		return true;
	stream = xfer_stream_of(x, PROTO_LIST);
	digest_stream_add(stream, raw, len);
	digest_stream_end(stream, &got);
	if (!xfer_accept_object(x, PROTO_LIST, list, &got, NULL))
		return false;
	xfer_pump_soon(x);
	return true;
}

bool
wts_offer(
    struct wts *wts, const struct digest *root, uint64_t index, GBytes *bytes)
{
	struct xfer *x = wts_find(wts, root);
	struct digest got;
	gsize len;
	const void *raw = g_bytes_get_data(bytes, &len);

	if (x == NULL || x->stored == NULL || index >= x->pick->conf.chunks ||
	    len != xfer_len_of(x, index))
		return false;
	digest_of(raw, len, &got);
	if (!digest_equal(&got, version_chunk_digest(x->list, index)))
		return false;
	if (hold_has(x->stored, index))
		return true;
	hold_put(x->stored, index, bytes);
	xfer_pump_soon(x);
	return true;
}

bool
wts_worst_mismatch(
    struct wts *wts, const struct digest *root, struct wts_mismatch *out)
{
	struct xfer *x = wts_find(wts, root);

	return x != NULL && mismatches_worst(x->mismatches, out);
}

bool
wts_explains_mismatches(
    struct wts *wts, const struct digest *root, GBytes *list)
{
	struct xfer *x = wts_find(wts, root);

	return x != NULL &&
	    g_bytes_get_size(list) == version_list_len(&x->want.version) &&
	    mismatches_explained(x->mismatches, list);
}

void
wts_set_peers(struct wts *wts, const struct digest *root,
    const struct wts_peer *peers, size_t n)
{
	struct xfer *x = wts_find(wts, root);

	if (x != NULL)
		xfer_set_members(x, peers, n);
}

void
wts_progress(
    struct wts *wts, const struct digest *root, struct wts_progress *out)
{
	struct xfer *x = wts_find(wts, root);

	memset(out, 0, sizeof(*out));
	if (x == NULL)
		return;
	out->phase = x->phase;
	out->have = x->pick->have;
	out->total = x->pick->conf.chunks;
	g_strlcpy(out->why, x->why, sizeof(out->why));
}

uint64_t
wts_count_origin_only(struct wts *wts, const struct digest *root)
{
	struct xfer *x = wts_find(wts, root);

	return x == NULL ? UINT64_MAX : pick_count_origin_only(x->pick);
}

bool
wts_is_link_slow(const struct wts *wts)
{
	const struct xfer *x;

	TAILQ_FOREACH (x, &wts->xfers, link) {
		if (x->phase != WTS_COMPLETE &&
		    pick_arrives_slowly(x->pick, clk_now_us(wts->clock)))
			return true;
	}
	return false;
}

int64_t
wts_inbound_us(const struct wts *wts)
{
	const struct xfer *x;
	int64_t sum_us = 0;

	TAILQ_FOREACH (x, &wts->xfers, link)
		sum_us += pick_inbound_us(x->pick, clk_now_us(wts->clock));
	return sum_us;
}

void
wts_live_bytes(struct wts *wts, uint64_t bytes)
{
	int64_t now_us = clk_now_us(wts->clock);

	bucket_take_live(&wts->down, bytes, now_us);
	bucket_take_live(&wts->up, bytes, now_us);
}

GBytes *
wts_known_list(struct wts *wts, const struct digest *root)
{
	struct xfer *x = wts_find(wts, root);

	return x == NULL ? NULL : x->list;
}

GBytes *
wts_list(struct wts *wts, const struct digest *root)
{
	struct xfer *x = wts_find(wts, root);

	return x != NULL && x->phase == WTS_COMPLETE ? x->list : NULL;
}

GBytes *
wts_chunk(struct wts *wts, const struct digest *root, uint64_t index)
{
	struct xfer *x = wts_find(wts, root);

	if (x == NULL || x->phase != WTS_COMPLETE ||
	    index >= x->pick->conf.chunks)
		return NULL;
	return hold_get(x->stored, index);
}

/* ------------------------------------------------------------------ */
/* Connections                                                         */
/* ------------------------------------------------------------------ */

/* Handles the first message on an accepted connection. */
static struct peer *
accept_peer(struct wts *wts, struct conn *c, const struct msg *m)
{
	struct proto_join join;
	struct proto_bye bye = { 0 };
	struct xfer *x = NULL;
	struct peer *peer = NULL;

	if (msg_read(m, &proto_join_desc, &join, NULL))
		x = wts_find(wts, &join.root);
	if (x != NULL)
		peer = peers_accept(x, c);
	if (peer == NULL) {
		conn_send(c, &proto_bye_desc, &bye);
		conn_close(c);
	}
	return peer;
}

bool
wts_message(struct wts *wts, struct conn *c, const struct msg *m)
{
	struct peer *peer = g_hash_table_lookup(wts->by_conn, c);

	if (m->type < PROTO_FIRST || m->type > PROTO_LAST)
		return false;
	if (peer == NULL)
		peer = accept_peer(wts, c, m);
	if (peer != NULL)
		peer_message(peer, m);
	return true;
}

void
wts_drained(struct wts *wts, struct conn *c)
{
	if (g_hash_table_contains(wts->by_conn, c))
		serve_run(wts);
}

void
wts_closed(struct wts *wts, struct conn *c)
{
	struct peer *peer = g_hash_table_lookup(wts->by_conn, c);

	if (peer == NULL)
		return;
	g_hash_table_remove(wts->by_conn, c);
	peer->conn = NULL;
	peer_drop(peer);
}
