/* Wanted versions. */

#include "side/keeper.h"

void
keeper_stop_copy(struct keeper_copy *c)
{
	struct keeper *k = c->keeper;

	if (k->call_copy == c && k->call != NULL)
		keeper_abandon_call(k);
	if (c->manifest != NULL)
		hfetch_cancel(c->manifest);
	c->manifest = NULL;
	if (c->has_root)
		wts_drop(k->wts, &c->wts.root);
	c->has_root = false;
	c->origin_root = false;
	c->doubted = false;
	c->complete = false;
	c->staged = false;
	c->scanned = false;
	c->checked_us = 0;
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
	keeper_stop_copy(c);
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
	keeper_stop_copy(c);
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
