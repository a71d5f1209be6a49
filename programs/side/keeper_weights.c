/* The wanted version's digests and pieces: from the origin and by the swarm. */

#include <stdlib.h>
#include <string.h>

#include "side/keeper.h"

#define MANIFEST_TIMEOUT_US 1500000
#define MANIFEST_MAX (1u << 20)
#define MANIFEST_REST_US 300000
/*
 * The origin takes few connections and is slow: this many keepers read a
 * version's digests there; the others wait for these to agree and take them
 * from peers, and ask the origin only when that has not come about.
 */
#define MANIFEST_READERS 4
#define MANIFEST_ALONE_US 700000
#define MANIFEST_STEP_US 50000
#define MANIFEST_SPREAD_US 2000000
/* Share of the host's link for pieces; the rest is for control. */
#define LINK_SHARE 0.95
/* Versions that may be held at once: the loaded, the wanted, one between. */
#define VERSIONS_HELD 3
#define MEMORY_MIN (8u << 20)
/*
 * Regions are joined by thin links that carry callers' requests, too. A piece
 * takes 35 ms on a host's link; a host that fetches for its region has four
 * under way. After this the next host of the region tries.
 */
#define FAR_STEP_MS 400
/* A reader of the origin that is silent for this and the time that news and
 * pieces take is replaced: a second copy of a few pieces costs less than a
 * second in which engines wait. */
#define SILENCE_MS 250
/* Names under which the transfer asks for bytes. */
#define NAME_LIST "list"
#define NAME_WEIGHTS "weights"

/* ------------------------------------------------------------------ */
/* Reads of the origin                                                 */
/* ------------------------------------------------------------------ */

/* A running read; the transfer holds it as an opaque handle. */
struct piece_read {
	struct keeper *k;
	struct hfetch *fetch;
	struct evl_task later; /* of a list, which is here already */
	origin_read_cb *done;
	void *done_ctx;
};

static void
on_piece(const struct hfetch_answer *a, void *ctx)
{
	struct piece_read *r = ctx;
	struct err err = { 0 };
	GBytes *bytes;

	if (a->status == 200) {
		bytes = g_bytes_new(a->body, a->len);
		r->done(bytes, NULL, r->done_ctx);
		g_bytes_unref(bytes);
	} else {
		err_set(&err, ERR_UNAVAILABLE, VERDICT_NOT_RUN,
		    "origin: status %u %s", a->status,
		    a->status == 0 ? a->why : "");
		evt(EVT_WEIGHTS, "step=piece outcome=failed status=%u",
		    a->status);
		r->done(NULL, &err, r->done_ctx);
	}
	g_free(r);
}

static void
on_list(struct evl_task *task)
{
	struct piece_read *r = (struct piece_read *)((char *)task -
	    offsetof(struct piece_read, later));

	r->done(r->k->list, NULL, r->done_ctx);
	g_free(r);
}

static struct origin_read *
start_read(const char *name, uint64_t offset, uint64_t len,
    unsigned int stall_ms, origin_read_cb *done, void *done_ctx, void *ctx)
{
	struct keeper *k = ctx;
	struct piece_read *r = g_new0(struct piece_read, 1);
	char *path;

	r->k = k;
	r->done = done;
	r->done_ctx = done_ctx;
	if (strcmp(name, NAME_LIST) == 0) {
		r->later.run = on_list;
		evl_later(k->st.loop, &r->later);
		return (struct origin_read *)r;
	}
	path = adapter_piece_path(
	    k->model, k->stage.wanted, offset / k->chunk_bytes);
	r->fetch = hfetch_start(k->st.loop, k->st.pool,
	    &(struct hfetch_conf){ .address = k->origin,
		.method = "GET",
		.path = path,
		.timeout_us = (int64_t)stall_ms * 1000 + 1000000,
		.answer_max = len,
		.close = true,
		.done = on_piece,
		.ctx = r });
	g_free(path);
	return (struct origin_read *)r;
}

static void
cancel_read(struct origin_read *read, void *ctx)
{
	struct piece_read *r = (struct piece_read *)read;

	evl_task_cancel(r->k->st.loop, &r->later);
	if (r->fetch != NULL)
		hfetch_cancel(r->fetch);
	g_free(r);
}

/* ------------------------------------------------------------------ */
/* The wanted version                                                  */
/* ------------------------------------------------------------------ */

static void
forget_version(struct keeper *k)
{
	if (k->has_root)
		wts_drop(k->wts, &k->version.root);
	k->has_root = false;
	k->own_root = false;
	g_clear_pointer(&k->list, g_bytes_unref);
	g_clear_pointer(&k->placed, g_free);
	if (k->call != NULL)
		hfetch_cancel(k->call);
	if (k->manifest != NULL)
		hfetch_cancel(k->manifest);
	k->call = NULL;
	k->manifest = NULL;
}

void
keeper_want(struct keeper *k, int64_t version)
{
	k->wanted_us = keeper_now(k);
	memset(&k->told_root, 0, sizeof(k->told_root));
	evt(EVT_WEIGHTS,
	    "step=wanted model=%s version=%" G_GINT64_FORMAT
	    " before=%" G_GINT64_FORMAT " loaded=%" G_GINT64_FORMAT,
	    k->model, version, k->stage.wanted, k->stage.loaded);
	forget_version(k);
	k->stage = (struct stg_state){
		.wanted = version,
		.up = k->stage.up,
		.loaded = k->stage.loaded,
		.busy = k->stage.busy,
		.running = k->stage.running,
	};
	k->rest_until_us = 0;
	k->manifest_rest_us = 0;
}

void
keeper_set_peers(struct keeper *k)
{
	struct wts_peer *peers;
	struct keeper_peer *p;
	size_t n = 0;
	guint i;

	if (!k->has_root)
		return;
	peers = g_new0(struct wts_peer, k->peers->len + 1);
	for (i = 0; i < k->peers->len; i++) {
		p = &g_array_index(k->peers, struct keeper_peer, i);
		if (strcmp(p->address, k->st.node.id) != 0)
			peers[n++] = (struct wts_peer){ .id = p->address,
				.address = p->address,
				.domain = p->region };
	}
	wts_set_peers(k->wts, &k->version.root, peers, n);
	g_free(peers);
}

static void
begin_transfer(struct keeper *k, const struct digest *root)
{
	struct wts_want want = { .policy = WTS_ORIGIN_FIRST };
	struct err err = { 0 };

	k->version = (struct wts_version){ .root = *root,
		.bytes = k->chunks * k->chunk_bytes,
		.chunk_bytes = k->chunk_bytes,
		.weights = NAME_WEIGHTS,
		.chunks = NAME_LIST };
	k->placed = g_new0(bool, k->chunks);
	want.version = k->version;
	want.origin_copies =
	    (unsigned int)cfg_int(k->st.cfg, "policy.origin_copies");
	if (want.origin_copies > 1)
		want.policy = WTS_TIME_FIRST;
	want.far_step_ms = FAR_STEP_MS;
	want.silence_ms = SILENCE_MS;
	g_strlcpy(
	    want.origin_domain, k->origin_region, sizeof(want.origin_domain));
	k->has_root = wts_want(k->wts, &want, &err);
	if (!k->has_root) {
		log_warn("weights: %s", err.message);
		forget_version(k);
	}
}

/* The digests are here, from wherever: pieces can be fetched and checked. */
static void
take_list(struct keeper *k, GBytes *list, const char *from)
{
	k->list = g_bytes_ref(list);
	k->stage.manifest = true;
	evt(EVT_WEIGHTS,
	    "step=manifest version=%" G_GINT64_FORMAT
	    " outcome=known from=%s age_ms=%" G_GINT64_FORMAT,
	    k->stage.wanted, from, (keeper_now(k) - k->heard_us) / 1000);
	/* Peers come after the look at the staging place: what lies there
	 * must not be fetched. */
	if (k->stage.loaded != 0 && k->stage.loaded != k->stage.wanted)
		keeper_set_peers(k);
}

static void
take_manifest(struct keeper *k, GByteArray *raw, uint64_t chunk_bytes)
{
	struct digest root;
	GBytes *list = g_bytes_new(raw->data, raw->len);

	k->chunk_bytes = chunk_bytes;
	k->chunks = raw->len / DIGEST_BYTES;
	wts_root(
	    k->chunks * chunk_bytes, chunk_bytes, raw->data, raw->len, &root);
	/* What other keepers agreed on gives way to what was read here. */
	if (k->has_root && !digest_equal(&root, &k->version.root))
		forget_version(k);
	if (!k->has_root)
		begin_transfer(k, &root);
	if (k->has_root && wts_offer_list(k->wts, &k->version.root, list)) {
		k->own_root = true;
		take_list(k, list, "origin");
	}
	g_bytes_unref(list);
}

static void
on_manifest(const struct hfetch_answer *a, void *ctx)
{
	struct keeper *k = ctx;
	GByteArray *raw = g_byte_array_new();
	uint64_t chunk_bytes = 0;
	struct err err = { 0 };

	k->manifest = NULL;
	if (k->list != NULL) {
		/* It came from other keepers meanwhile. */
	} else if (a->status == 200 &&
	    adapter_manifest_read(
		a->body, a->len, k->stage.wanted, raw, &chunk_bytes, &err)) {
		take_manifest(k, raw, chunk_bytes);
	} else {
		k->manifest_rest_us = keeper_now(k) + MANIFEST_REST_US;
		evt(EVT_WEIGHTS,
		    "step=manifest version=%" G_GINT64_FORMAT
		    " status=%u outcome=failed why=%s",
		    k->stage.wanted, a->status,
		    a->status == 0 ? a->why : "unreadable");
	}
	g_byte_array_unref(raw);
	keeper_step(k);
}

static void
ask_manifest(struct keeper *k)
{
	char *path = adapter_manifest_path(k->model, k->stage.wanted);

	k->manifest = hfetch_start(k->st.loop, k->st.pool,
	    &(struct hfetch_conf){ .address = k->origin,
		.method = "GET",
		.path = path,
		.timeout_us = MANIFEST_TIMEOUT_US,
		.answer_max = MANIFEST_MAX,
		.close = true,
		.done = on_manifest,
		.ctx = k });
	g_free(path);
}

/* Keepers before this one in asking the origin: those of its region first. */
static unsigned int
manifest_rank(const struct keeper *k)
{
	const char *own = keeper_region(k, cfg_str(k->st.cfg, "node.domain"));
	bool own_in = strcmp(own, k->origin_region) == 0;
	const struct keeper_peer *p;
	unsigned int ahead = 0;
	bool in;
	guint i;

	for (i = 0; i < k->peers->len; i++) {
		p = &g_array_index(k->peers, struct keeper_peer, i);
		in = strcmp(p->region, k->origin_region) == 0;
		if (in != own_in)
			ahead += in;
		else
			ahead += strcmp(p->address, k->st.node.id) < 0;
	}
	return ahead;
}

/* When this keeper asks the origin itself. One that starts beside an engine
 * with weights looks at these with the digests, and nothing hurries. */
static int64_t
manifest_due_us(const struct keeper *k)
{
	unsigned int rank = manifest_rank(k);
	int64_t wait_us;

	if (rank < MANIFEST_READERS)
		return k->manifest_rest_us;
	wait_us = MANIFEST_ALONE_US +
	    MIN((int64_t)rank * MANIFEST_STEP_US, MANIFEST_SPREAD_US);
	return MAX(k->manifest_rest_us, k->asked_us + wait_us);
}

void
keeper_learn_digests(struct keeper *k)
{
	GBytes *list;

	if (k->asked_us < k->wanted_us)
		k->asked_us = keeper_now(k);
	if (!k->has_root && !digest_is_none(&k->told_root) && k->chunks > 0) {
		begin_transfer(k, &k->told_root);
		keeper_set_peers(k);
	}
	list = k->has_root ? wts_known_list(k->wts, &k->version.root) : NULL;
	if (list != NULL) {
		take_list(k, list, "keepers");
		return;
	}
	if (k->manifest == NULL && k->origin[0] != '\0' &&
	    keeper_now(k) >= manifest_due_us(k))
		ask_manifest(k);
}

/* ------------------------------------------------------------------ */
/* The swarm                                                           */
/* ------------------------------------------------------------------ */

static void
on_phase(const struct wts_version *version, const struct wts_progress *progress,
    void *ctx)
{
	struct keeper *k = ctx;

	if (!k->has_root || !digest_equal(&version->root, &k->version.root))
		return;
	evt(EVT_WEIGHTS,
	    "step=transfer version=%" G_GINT64_FORMAT
	    " phase=%d have=%" G_GUINT64_FORMAT " of=%" G_GUINT64_FORMAT
	    " origin_chunks=%" G_GINT64_FORMAT " age_ms=%" G_GINT64_FORMAT,
	    k->stage.wanted, progress->phase, progress->have, progress->total,
	    ctr_read(k->st.counters, "wts_origin_chunks"),
	    (keeper_now(k) - k->heard_us) / 1000);
	k->stage.whole = progress->phase == WTS_WHOLE;
	keeper_step(k);
}

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

const struct conn_ops keeper_conn_ops = {
	.message = on_message,
	.drained = on_drained,
	.closed = on_closed,
};

static const struct conn_ops *
on_accepted(struct conn *c, void **ctx_out, void *ctx)
{
	*ctx_out = ctx;
	return &keeper_conn_ops;
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
	struct wts_source source = {
		.start = start_read,
		.cancel = cancel_read,
		.ctx = k,
	};

	random_bytes(&conf.seed, sizeof(conf.seed));
	k->wts = wts_new_from(&conf, &ops, k, &source);
	k->server = conn_listen(
	    &k->st.node, cfg_str(cfg, "listen.peers"), on_accepted, k, err);
	return k->server != NULL;
}
