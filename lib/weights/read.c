/* Reads of the origin, hashed in slices from the main loop. */

#include "weights/xfer.h"

/* Bytes hashed per iteration of the main loop: well under a millisecond. */
#define HASH_SLICE (256u << 10)
#define STALL_MIN_MS 1000

static unsigned int
stall_ms(const struct xfer *x)
{
	return STALL_MIN_MS +
	    (unsigned int)(pick_claim_timeout_us(x->pick) / 2000);
}

void
read_free(struct read *r)
{
	struct wts *wts = r->xfer->wts;

	TAILQ_REMOVE(&r->xfer->reads, r, link);
	if (r->handle != NULL)
		wts->source.cancel(r->handle, wts->source.ctx);
	if (r->idle != 0)
		g_source_remove(r->idle);
	g_clear_pointer(&r->bytes, g_bytes_unref);
	digest_stream_free(r->stream);
	g_free(r);
}

static void
finish(struct read *r)
{
	struct xfer *x = r->xfer;
	struct digest got;

	digest_stream_end(g_steal_pointer(&r->stream), &got);
	if (xfer_accept_object(x, r->index, r->bytes, &got, NULL))
		ctr_add(x->wts->counts.origin_chunks, 1);
	else
		ctr_add(x->wts->counts.corrupt_origin, 1);
	read_free(r);
	xfer_pump(x);
}

static gboolean
hash_slice(gpointer data)
{
	struct read *r = data;
	gsize len;
	const uint8_t *bytes = g_bytes_get_data(r->bytes, &len);
	gsize n = MIN(HASH_SLICE, len - r->hashed);

	digest_stream_add(r->stream, bytes + r->hashed, n);
	r->hashed += n;
	if (r->hashed < len)
		return G_SOURCE_CONTINUE;
	r->idle = 0;
	finish(r);
	return G_SOURCE_REMOVE;
}

static void
fail(struct read *r, enum pick_failure reason)
{
	struct xfer *x = r->xfer;
	struct pick *pick = xfer_pick_of(x, r->index);

	pick_failed(pick, xfer_pick_index(r->index), NULL, reason,
	    clk_now_us(x->wts->clock));
	read_free(r);
	xfer_pump(x);
}

static void
on_read(GBytes *bytes, const struct err *err, void *ctx)
{
	struct read *r = ctx;
	struct xfer *x = r->xfer;
	gsize len = bytes == NULL ? 0 : g_bytes_get_size(bytes);

	r->handle = NULL;
	ctr_add(x->wts->counts.origin_bytes, (int64_t)len);
	if (pick_find(xfer_pick_of(x, r->index), xfer_pick_index(r->index)) ==
	    NULL) {
		/* The chunk was received from a peer in the meantime. */
		read_free(r);
		return;
	}
	if (err != NULL || len != xfer_len_of(x, r->index)) {
		fail(r, PICK_FAILED);
		return;
	}
	wts_received(x->wts, len);
	pick_received(xfer_pick_of(x, r->index), xfer_pick_index(r->index),
	    clk_now_us(x->wts->clock));
	r->bytes = g_bytes_ref(bytes);
	r->stream = xfer_stream_of(x, r->index);
	r->idle = g_idle_add_full(G_PRIORITY_DEFAULT, hash_slice, r, NULL);
	xfer_pump(x);
}

void
read_start(struct xfer *x, uint64_t index)
{
	const struct wts_version *v = &x->want.version;
	struct wts *wts = x->wts;
	bool list = index == PROTO_LIST;
	struct read *r = g_new0(struct read, 1);

	r->xfer = x;
	r->index = index;
	TAILQ_INSERT_TAIL(&x->reads, r, link);
	r->handle = wts->source.start(list ? v->chunks : v->weights,
	    list ? 0 : index * v->chunk_bytes, xfer_len_of(x, index),
	    stall_ms(x), on_read, r, wts->source.ctx);
}
