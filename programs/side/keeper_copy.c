/* Wanted versions, and the transfer of their digests. */

#include <string.h>

#include "side/keeper.h"
#include "stage/digests.h"

#define MANIFEST_TIMEOUT_US 1500000
#define MANIFEST_MAX (1u << 20)
#define MANIFEST_BACKOFF_US 300000
#define ROOT_LOGGED 16 /* hexadecimal digits of a root in log lines */

/* ------------------------------------------------------------------ */
/* Wanted versions                                                     */
/* ------------------------------------------------------------------ */

/* Ends the transfer and cancels its calls. */
static void
copy_stop(struct keeper_copy *c)
{
	struct keeper *k = c->keeper;

	if (k->call_copy == c && k->call != NULL) {
		hfetch_cancel(k->call);
		k->call = NULL;
	}
	if (c->manifest != NULL)
		hfetch_cancel(c->manifest);
	c->manifest = NULL;
	if (c->has_root)
		wts_drop(k->wts, &c->wts.root);
	c->has_root = false;
	c->origin_root = false;
	c->complete = false;
	c->staged = false;
	g_clear_pointer(&c->list, g_bytes_unref);
	g_clear_pointer(&c->chunk_staged, g_free);
}

void
keeper_set_announced_size(
    struct keeper_copy *c, uint64_t chunks, uint64_t chunk_bytes)
{
	if (c->list != NULL ||
	    (c->announced_chunks == chunks &&
		c->announced_chunk_bytes == chunk_bytes))
		return;
	copy_stop(c);
	c->announced_chunks = chunks;
	c->announced_chunk_bytes = chunk_bytes;
	c->chunks = chunks;
	c->chunk_bytes = chunk_bytes;
}

static void
copy_free(struct keeper_copy *c)
{
	if (c == NULL)
		return;
	copy_stop(c);
	g_free(c);
}

static struct keeper_copy *
copy_new(struct keeper *k, const struct keeper_announced *announced)
{
	struct keeper_copy *c = g_new0(struct keeper_copy, 1);

	c->keeper = k;
	c->version = announced->version;
	c->announced_us = announced->announced_us;
	c->deadline_us = announced->deadline_us;
	keeper_set_announced_size(c, announced->chunks, announced->chunk_bytes);
	return c;
}

void
keeper_drop_older(struct keeper *k)
{
	copy_free(k->older);
	k->older = NULL;
}

void
keeper_drop_all(struct keeper *k)
{
	keeper_drop_older(k);
	copy_free(k->newest);
	k->newest = NULL;
}

/*
 * Retains the newest version as the older one if it is not loaded yet: the
 * engine serves with it if the next version arrives late. Of several older
 * versions only the last is retained.
 */
static void
retain_older(struct keeper *k, int64_t announced_us)
{
	if (k->older != NULL && k->older->version <= k->loaded)
		keeper_drop_older(k);
	if (k->newest != NULL && k->newest->version > k->loaded &&
	    stg_keeps_older(k->newest->announced_us, announced_us)) {
		keeper_drop_older(k);
		k->older = k->newest;
	} else
		copy_free(k->newest);
	k->newest = NULL;
}

void
keeper_want(struct keeper *k, const struct keeper_announced *announced)
{
	struct keeper_copy *fresh = copy_new(k, announced);

	evt(EVT_WEIGHTS,
	    "step=wanted model=%s version=%" G_GINT64_FORMAT
	    " before=%" G_GINT64_FORMAT " loaded=%" G_GINT64_FORMAT,
	    k->model, announced->version,
	    k->newest == NULL ? 0 : k->newest->version, k->loaded);
	retain_older(k, announced->announced_us);
	k->newest = fresh;
}

/* ------------------------------------------------------------------ */
/* Digests                                                             */
/* ------------------------------------------------------------------ */

/* The digests are known: chunks can be fetched and verified. */
static void
set_list(struct keeper_copy *c, GBytes *list, const char *from)
{
	struct keeper *k = c->keeper;
	char root[DIGEST_HEX];

	c->list = g_bytes_ref(list);
	digest_to_hex(&c->wts.root, root);
	evt(EVT_WEIGHTS,
	    "step=manifest version=%" G_GINT64_FORMAT
	    " outcome=known from=%s root=%.*s chunks=%" G_GUINT64_FORMAT
	    " chunk_bytes=%" G_GUINT64_FORMAT " announced=%" G_GUINT64_FORMAT
	    "x%" G_GUINT64_FORMAT " age_ms=%" G_GINT64_FORMAT,
	    c->version, from, ROOT_LOGGED, root, c->chunks, c->chunk_bytes,
	    c->announced_chunks, c->announced_chunk_bytes,
	    (keeper_now(k) - c->announced_us) / 1000);
	/* If the engine has loaded no version or this one, its staging area may
	 * contain the chunks. The peers are then set after it was searched, so
	 * that no chunk in it is fetched. */
	if (k->loaded != 0 && k->loaded != c->version)
		keeper_set_peers(c);
}

/* Starts or replaces the transfer. False if its sizes are out of bounds. */
static bool
take_manifest(struct keeper_copy *c, GByteArray *raw)
{
	struct digest root;
	GBytes *list = g_bytes_new(raw->data, raw->len);
	bool taken;

	wts_root(c->chunks * c->chunk_bytes, c->chunk_bytes, raw->data,
	    raw->len, &root);
	/* The root read from the origin overrides that of other keepers. */
	if (c->has_root && !digest_equal(&root, &c->wts.root))
		copy_stop(c);
	if (!c->has_root)
		keeper_begin_transfer(c, &root);
	taken =
	    c->has_root && wts_offer_list(c->keeper->wts, &c->wts.root, list);
	if (taken) {
		c->origin_root = true;
		set_list(c, list, "origin");
	}
	g_bytes_unref(list);
	return taken;
}

/* Compares a list's sizes with the announced ones; sizes that no gateway
 * announced are taken from the list. */
static bool
accept_sizes(struct keeper_copy *c, const struct dgs_size *listed)
{
	const struct dgs_size announced = { c->announced_chunks,
		c->announced_chunk_bytes };
	const char *field = dgs_contradiction(&announced, listed);

	if (field == NULL) {
		c->chunks = listed->chunks;
		c->chunk_bytes = listed->chunk_bytes;
		return true;
	}
	evt(EVT_WEIGHTS,
	    "step=manifest version=%" G_GINT64_FORMAT
	    " outcome=refused why=%s chunks=%" G_GUINT64_FORMAT
	    " chunk_bytes=%" G_GUINT64_FORMAT " announced=%" G_GUINT64_FORMAT
	    "x%" G_GUINT64_FORMAT,
	    c->version, field, listed->chunks, listed->chunk_bytes,
	    announced.chunks, announced.chunk_bytes);
	return false;
}

static void
log_failed_manifest(const struct keeper_copy *c, unsigned int status,
    const char *outcome, const char *why)
{
	evt(EVT_WEIGHTS,
	    "step=manifest version=%" G_GINT64_FORMAT
	    " status=%u outcome=%s why=%s",
	    c->version, status, outcome, why);
}

/* Whether the answer holds a list of digests that can be the version's. */
static bool
read_manifest(struct keeper_copy *c, const struct hfetch_answer *a)
{
	GByteArray *raw = g_byte_array_new();
	struct dgs_size listed = { 0 };
	struct err err = { 0 };
	bool taken = false;

	if (a->status != 200) {
		log_failed_manifest(c, a->status, "failed",
		    a->status == 0 ? a->error : "status");
	} else if (!adapter_manifest_read(a->body, a->len, c->version, raw,
		       &listed.chunk_bytes, &err)) {
		log_failed_manifest(c, a->status, "refused", "unreadable");
	} else {
		listed.chunks = raw->len / DIGEST_BYTES;
		taken = accept_sizes(c, &listed) && take_manifest(c, raw);
	}
	if (a->status == 200 && !taken)
		ctr_add(ctr_get(c->keeper->st.counters, "digests_refused"), 1);
	g_byte_array_unref(raw);
	return taken;
}

static void
on_manifest(const struct hfetch_answer *a, void *ctx)
{
	struct keeper_copy *c = ctx;

	c->manifest = NULL;
	/* Otherwise other keepers have sent the list in the meantime. */
	if (c->list == NULL && !read_manifest(c, a))
		c->manifest_backoff_us =
		    keeper_now(c->keeper) + MANIFEST_BACKOFF_US;
	keeper_step(c->keeper);
}

static void
fetch_manifest(struct keeper_copy *c)
{
	struct keeper *k = c->keeper;
	char *path = adapter_manifest_path(k->model, c->version);

	c->manifest = hfetch_start(k->st.loop, k->st.pool,
	    &(struct hfetch_conf){ .address = k->origin,
		.method = "GET",
		.path = path,
		.timeout_us = MANIFEST_TIMEOUT_US,
		.answer_max = MANIFEST_MAX,
		.close = true,
		.done = on_manifest,
		.ctx = c });
	g_free(path);
}

/* Number of keepers that request the digests from the origin before this one:
 * the keepers of the origin's region come first. */
static unsigned int
manifest_rank(const struct keeper *k)
{
	const char *region =
	    keeper_region(k, cfg_str(k->st.cfg, "node.domain"));
	bool in_origin_region = strcmp(region, k->origin_region) == 0;
	const struct keeper_peer *p;
	unsigned int ahead = 0;
	bool in;
	guint i;

	for (i = 0; i < k->peers->len; i++) {
		p = &g_array_index(k->peers, struct keeper_peer, i);
		in = strcmp(p->region, k->origin_region) == 0;
		if (in != in_origin_region)
			ahead += in;
		else
			ahead += strcmp(p->address, k->st.node.id) < 0;
	}
	return ahead;
}

/* Time at which this keeper requests the digests from the origin. */
static int64_t
manifest_fetch_us(const struct keeper_copy *c)
{
	return stg_digests_read_us(&(struct stg_digests){
	    .members = c->keeper->peers->len,
	    .ahead = manifest_rank(c->keeper),
	    .asked_us = c->needed_us,
	    .backoff_until_us = c->manifest_backoff_us,
	});
}

void
keeper_get_digests(struct keeper_copy *c)
{
	struct keeper *k = c->keeper;
	GBytes *list;

	if (c->needed_us == 0)
		c->needed_us = keeper_now(k);
	if (!c->has_root && !digest_is_none(&c->reported_root) &&
	    c->chunks > 0) {
		keeper_begin_transfer(c, &c->reported_root);
		keeper_set_peers(c);
	}
	list = c->has_root ? wts_known_list(k->wts, &c->wts.root) : NULL;
	if (list != NULL) {
		set_list(c, list, "keepers");
		return;
	}
	if (c->manifest == NULL && k->origin[0] != '\0' &&
	    keeper_now(k) >= manifest_fetch_us(c))
		fetch_manifest(c);
}
