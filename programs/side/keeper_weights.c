/* Transfers of wanted versions between keepers. */

#include <stdio.h>
#include <string.h>

#include "side/keeper.h"

/* Share of the host's link for chunks. The rest is for headers and for callers'
 * requests to the engine and its answers, which take about a twentieth. */
#define LINK_SHARE 0.9
#define MEMORY_MIN (8u << 20)
/*
 * Regions are connected by narrow links that carry callers' requests, too, so
 * one host fetches a chunk for its region. A chunk takes 35 ms on a host's
 * link, and such a host has four in flight. After this time the next host of
 * the region requests the chunk.
 */
#define CROSS_DOMAIN_STEP_MS 400
/* A host that reads from the origin is replaced if it does not respond for this
 * time plus the time that updates and chunks take: a second copy of a few
 * chunks costs less than a second in which engines wait. */
#define CLAIM_TIMEOUT_MS 250

/*
 * Reads of the origin that a host has open at a time. The last bytes of a read
 * queue behind peers' chunks on this host's link, and with a single read the
 * origin is idle in that time: its link was used for 0.78 of the time that a
 * version takes, with two reads for 0.94. With three, a chunk takes so long to
 * be complete that hosts have nothing to pass on, and all finish later.
 */
#define ORIGIN_READS 2

void
keeper_set_peers(struct keeper_copy *c)
{
	struct keeper *k = c->keeper;
	struct wts_peer *peers;
	struct keeper_peer *p;
	size_t n = 0;
	guint i;

	if (!c->has_root)
		return;
	peers = g_new0(struct wts_peer, k->peers->len + 1);
	for (i = 0; i < k->peers->len; i++) {
		p = &g_array_index(k->peers, struct keeper_peer, i);
		if (strcmp(p->address, k->st.node.id) != 0)
			peers[n++] = (struct wts_peer){ .id = p->address,
				.address = p->address,
				.domain = p->region };
	}
	wts_set_peers(k->wts, &c->wts.root, peers, n);
	g_free(peers);
}

void
keeper_begin_transfer(struct keeper_copy *c, const struct digest *root)
{
	struct keeper *k = c->keeper;
	struct wts_want want = { .policy = WTS_ORIGIN_FIRST };
	struct err err = { 0 };

	c->wts = (struct wts_version){ .root = *root,
		.bytes = c->chunks * c->chunk_bytes,
		.chunk_bytes = c->chunk_bytes };
	snprintf(c->wts.weights, sizeof(c->wts.weights),
	    "weights/%" G_GINT64_FORMAT, c->version);
	snprintf(c->wts.chunks, sizeof(c->wts.chunks), "list/%" G_GINT64_FORMAT,
	    c->version);
	want.version = c->wts;
	want.origin_copies =
	    (unsigned int)cfg_int(k->st.cfg, "policy.origin_copies");
	if (want.origin_copies > 1)
		want.policy = WTS_TIME_FIRST;
	want.cross_domain_step_ms = CROSS_DOMAIN_STEP_MS;
	want.claim_timeout_ms = CLAIM_TIMEOUT_MS;
	want.max_reads = ORIGIN_READS;
	g_strlcpy(
	    want.origin_domain, k->origin_region, sizeof(want.origin_domain));
	c->has_root = wts_want(k->wts, &want, &err);
	if (!c->has_root) {
		log_warn("weights: transfer not started: %s", err.message);
		return;
	}
	c->chunk_staged = g_new0(bool, c->chunks);
}

static void
note_phase(struct keeper_copy *c, const struct wts_version *version,
    const struct wts_progress *p)
{
	if (c == NULL || !c->has_root ||
	    !digest_equal(&version->root, &c->wts.root))
		return;
	evt(EVT_WEIGHTS,
	    "step=transfer version=%" G_GINT64_FORMAT
	    " phase=%d have=%" G_GUINT64_FORMAT " of=%" G_GUINT64_FORMAT
	    " origin_chunks=%" G_GINT64_FORMAT " age_ms=%" G_GINT64_FORMAT,
	    c->version, p->phase, p->have, p->total,
	    ctr_read(c->keeper->st.counters, "wts_origin_chunks"),
	    (keeper_now(c->keeper) - c->announced_us) / 1000);
	c->complete = p->phase == WTS_COMPLETE;
}

/* A version takes three to six seconds: about ten log lines each. */
#define PROGRESS_US 500000

static void
log_progress(struct keeper_copy *c)
{
	struct keeper *k;
	struct wts_progress p;

	if (c == NULL || !c->has_root || c->complete)
		return;
	k = c->keeper;
	wts_progress(k->wts, &c->wts.root, &p);
	if (p.have == c->logged_chunks ||
	    keeper_now(k) - c->logged_us < PROGRESS_US)
		return;
	evt(EVT_WEIGHTS,
	    "step=progress version=%" G_GINT64_FORMAT " have=%" G_GUINT64_FORMAT
	    " of=%" G_GUINT64_FORMAT " origin_chunks=%" G_GINT64_FORMAT
	    " inbound_ms=%" G_GINT64_FORMAT " age_ms=%" G_GINT64_FORMAT,
	    c->version, p.have, p.total,
	    ctr_read(k->st.counters, "wts_origin_chunks"),
	    wts_inbound_us(k->wts) / 1000,
	    (keeper_now(k) - c->announced_us) / 1000);
	c->logged_chunks = p.have;
	c->logged_us = keeper_now(k);
}

void
keeper_log_progress(struct keeper *k)
{
	log_progress(k->newest);
	log_progress(k->older);
}

static void
on_phase(const struct wts_version *version, const struct wts_progress *progress,
    void *ctx)
{
	struct keeper *k = ctx;

	note_phase(k->newest, version, progress);
	note_phase(k->older, version, progress);
	keeper_step(k);
}

/* ------------------------------------------------------------------ */
/* Connections of other keepers                                        */
/* ------------------------------------------------------------------ */

static void
on_message(struct conn *c, const struct msg *m, void *ctx)
{
	wts_message(((struct keeper *)ctx)->wts, c, m);
}

static void
on_drained(struct conn *c, void *ctx)
{
	wts_drained(((struct keeper *)ctx)->wts, c);
}

static void
on_closed(struct conn *c, const struct err *why, void *ctx)
{
	wts_closed(((struct keeper *)ctx)->wts, c);
}

static const struct conn_ops conn_ops = {
	.message = on_message,
	.drained = on_drained,
	.closed = on_closed,
};

static const struct conn_ops *
on_accepted(struct conn *c, void **ctx_out, void *ctx)
{
	*ctx_out = ctx;
	return &conn_ops;
}

bool
keeper_weights_open(struct keeper *k, struct err *err)
{
	static const struct wts_ops ops = { .phase = on_phase };
	const struct cfg *cfg = k->st.cfg;
	uint64_t link =
	    (uint64_t)(cfg_num(cfg, "limits.link_mbit") * 1e6 / 8 * LINK_SHARE);
	struct wts_conf conf = {
		.id = k->st.node.id,
		.domain = cfg_str(cfg, "node.region"),
		.origin = "",
		.download_bytes_s = link,
		.upload_bytes_s = link,
		.memory_bytes = MAX(MEMORY_MIN,
		    (uint64_t)cfg_int(cfg, "limits.memory_mb") * 1000000 / 2),
		.node = &k->st.node,
	};
	struct wts_source source = keeper_origin;

	source.ctx = k;
	random_bytes(&conf.seed, sizeof(conf.seed));
	k->wts = wts_new_from(&conf, &ops, k, &source);
	k->server = conn_listen(
	    &k->st.node, cfg_str(cfg, "listen.peers"), on_accepted, k, err);
	return k->server != NULL;
}
