/* wts with the platform's origin as its source. */

#include "weights/xfer.h"

static struct origin_read *
start_read(const char *name, uint64_t offset, uint64_t len,
    unsigned int stall_ms, origin_read_cb *done, void *done_ctx, void *ctx)
{
	struct wts *wts = ctx;

	return origin_read_start(wts->conf.plat, wts->conf.origin, name, offset,
	    len, stall_ms, done, done_ctx);
}

static void
cancel_read(struct origin_read *read, void *ctx)
{
	origin_read_cancel(read);
}

struct wts *
wts_new(const struct wts_conf *conf, const struct wts_ops *ops, void *ctx)
{
	struct wts_source source = {
		.start = start_read,
		.cancel = cancel_read,
	};
	struct wts *wts = wts_new_from(conf, ops, ctx, &source);

	wts->source.ctx = wts;
	return wts;
}
