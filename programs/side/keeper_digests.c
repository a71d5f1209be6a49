/* Digests of wanted versions: from other keepers, or read from the origin. */

#include <string.h>

#include "side/keeper.h"
#include "stage/digests.h"

#define MANIFEST_TIMEOUT_US 1500000
#define MANIFEST_MAX (1u << 20)
#define MANIFEST_BACKOFF_US 300000
#define ROOT_TEXT 17 /* log lines have the first digits of a root */

static const char *
root_text(const struct keeper_copy *c, char out[ROOT_TEXT])
{
	char hex[DIGEST_HEX];

	digest_to_hex(&c->wts.root, hex);
	g_strlcpy(out, hex, ROOT_TEXT);
	return out;
}

static void
count(const struct keeper_copy *c, const char *counter)
{
	ctr_add(ctr_get(c->keeper->st.counters, counter), 1);
}

/* ------------------------------------------------------------------ */
/* Lists that were received                                            */
/* ------------------------------------------------------------------ */

/* The digests are known: chunks can be fetched and verified. */
static void
set_list(struct keeper_copy *c, GBytes *list, const char *from)
{
	struct keeper *k = c->keeper;
	char root[ROOT_TEXT];

	c->list = g_bytes_ref(list);
	evt(EVT_WEIGHTS,
	    "step=manifest version=%" G_GINT64_FORMAT
	    " outcome=known from=%s root=%s chunks=%" G_GUINT64_FORMAT
	    " chunk_bytes=%" G_GUINT64_FORMAT " announced=%" G_GUINT64_FORMAT
	    "x%" G_GUINT64_FORMAT " age_ms=%" G_GINT64_FORMAT,
	    c->version, from, root_text(c, root), c->chunks, c->chunk_bytes,
	    c->announced_chunks, c->announced_chunk_bytes,
	    (keeper_now(k) - c->announced_us) / 1000);
	/* If the engine has loaded no version or this one, its staging area may
	 * contain the chunks. The peers are then set after it was searched, so
	 * that no chunk in it is fetched. */
	if (k->loaded != 0 && k->loaded != c->version)
		keeper_set_peers(c);
}

/* The list in use is about to be replaced. */
static void
note_replaced(struct keeper_copy *c, const char *why)
{
	char root[ROOT_TEXT];

	evt(EVT_WEIGHTS,
	    "step=manifest version=%" G_GINT64_FORMAT
	    " outcome=replaced why=%s root=%s",
	    c->version, why, root_text(c, root));
	count(c, "digests_replaced");
	c->rejected_root = c->wts.root;
}

/* Starts or replaces the transfer. False if its sizes are out of bounds. */
static bool
use_list(struct keeper_copy *c, const struct digest *root, GBytes *list)
{
	/* The root read from the origin overrides that of other keepers. */
	if (c->has_root && !digest_equal(root, &c->wts.root))
		keeper_stop_copy(c);
	if (!c->has_root)
		keeper_begin_transfer(c, root);
	if (!c->has_root || !wts_offer_list(c->keeper->wts, root, list))
		return false;
	c->origin_root = true;
	set_list(c, list, "origin");
	return true;
}

/* A list was read again because copies of a chunk contradict the one in use. It
 * replaces that one if it has the digests of these copies. */
static bool
compare_list(struct keeper_copy *c, const struct digest *root, GBytes *list)
{
	char root_hex[ROOT_TEXT];

	if (digest_equal(root, &c->wts.root)) {
		evt(EVT_WEIGHTS,
		    "step=manifest version=%" G_GINT64_FORMAT
		    " outcome=confirmed root=%s",
		    c->version, root_text(c, root_hex));
		c->origin_root = true;
		return true;
	}
	if (!wts_explains_mismatches(c->keeper->wts, &c->wts.root, list)) {
		evt(EVT_WEIGHTS,
		    "step=manifest version=%" G_GINT64_FORMAT
		    " outcome=refused why=digest root=%s",
		    c->version, root_text(c, root_hex));
		return false;
	}
	note_replaced(c, "digest");
	return use_list(c, root, list);
}

static bool
take_manifest(struct keeper_copy *c, GByteArray *raw)
{
	struct digest root;
	GBytes *list = g_bytes_new(raw->data, raw->len);
	bool taken;

	wts_root(c->chunks * c->chunk_bytes, c->chunk_bytes, raw->data,
	    raw->len, &root);
	if (c->list == NULL)
		taken = use_list(c, &root, list);
	else
		taken = compare_list(c, &root, list);
	g_bytes_unref(list);
	return taken;
}

/* Compares a list's sizes with the announced ones, or with those of the list in
 * use. Sizes that are not known are taken from the list. */
static bool
accept_sizes(struct keeper_copy *c, const struct dgs_size *listed)
{
	struct dgs_size announced = { c->announced_chunks,
		c->announced_chunk_bytes };
	const char *field;

	if (c->list != NULL)
		announced = (struct dgs_size){ c->chunks, c->chunk_bytes };
	field = dgs_contradiction(&announced, listed);
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
		count(c, "digests_refused");
	g_byte_array_unref(raw);
	return taken;
}

static void
on_manifest(const struct hfetch_answer *a, void *ctx)
{
	struct keeper_copy *c = ctx;

	c->manifest = NULL;
	/* Otherwise other keepers have sent the list in the meantime. */
	if ((c->list == NULL || c->doubted) && !read_manifest(c, a))
		c->manifest_backoff_us =
		    keeper_now(c->keeper) + MANIFEST_BACKOFF_US;
	c->doubted = false;
	keeper_step(c->keeper);
}

/* ------------------------------------------------------------------ */
/* Reads from the origin                                               */
/* ------------------------------------------------------------------ */

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

/* ------------------------------------------------------------------ */
/* Lists in doubt                                                      */
/* ------------------------------------------------------------------ */

/* Continues with the root on which other keepers agree. */
static void
follow_others(struct keeper_copy *c)
{
	struct digest agreed = c->reported_root;

	note_replaced(c, "others_agree");
	keeper_stop_copy(c);
	keeper_begin_transfer(c, &agreed);
	keeper_set_peers(c);
	/* They send the list sooner than the origin. */
	c->manifest_backoff_us = keeper_now(c->keeper) + MANIFEST_BACKOFF_US;
}

static bool
others_disagree(const struct keeper_copy *c)
{
	return dgs_follows_others(&(struct dgs_roots){
	    .own = c->wts.root,
	    .agreed = c->reported_root,
	    .rejected = c->rejected_root,
	});
}

static void
read_again(struct keeper_copy *c, const struct wts_mismatch *mismatch)
{
	char root[ROOT_TEXT];

	c->rereads++;
	c->reread_us = keeper_now(c->keeper);
	c->doubted = true;
	count(c, "digests_doubted");
	evt(EVT_WEIGHTS,
	    "step=manifest version=%" G_GINT64_FORMAT
	    " outcome=doubted root=%s chunk=%" G_GUINT64_FORMAT
	    " copies=%u reads=%u",
	    c->version, root_text(c, root), mismatch->index, mismatch->copies,
	    c->rereads);
	fetch_manifest(c);
}

void
keeper_check_digests(struct keeper_copy *c)
{
	struct keeper *k = c->keeper;
	struct wts_mismatch mismatch = { 0 };

	if (!c->has_root || c->complete)
		return;
	if (others_disagree(c)) {
		follow_others(c);
		return;
	}
	if (c->list == NULL || c->manifest != NULL || k->origin[0] == '\0')
		return;
	if (dgs_is_reread(
		&(struct dgs_doubt){
		    .contradicted =
			wts_worst_mismatch(k->wts, &c->wts.root, &mismatch),
		    .rereads = c->rereads,
		    .reread_us = c->reread_us,
		},
		keeper_now(k)))
		read_again(c, &mismatch);
}
