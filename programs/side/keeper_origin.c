/* Reads of chunks from the origin of weights, for transfers. */

#include <stdlib.h>
#include <string.h>

#include "side/keeper.h"

/* Added to the stall timeout of the transfer, so that an answer in progress is
 * not cut. */
#define READ_SLACK_US 1000000

/* A read in progress; to the transfer it is an opaque handle. */
struct chunk_read {
	struct keeper *k;
	struct hfetch *fetch;
	struct evl_task list_task; /* answers a read of the list */
	GBytes *list;
	origin_read_cb *done;
	void *done_ctx;
};

static struct keeper_copy *
copy_of(struct keeper *k, int64_t version)
{
	if (k->older != NULL && k->older->version == version)
		return k->older;
	return k->newest;
}

static void
on_chunk(const struct hfetch_answer *a, void *ctx)
{
	struct chunk_read *r = ctx;
	struct err err = { 0 };
	GBytes *bytes;

	if (a->status == 200) {
		bytes = g_bytes_new(a->body, a->len);
		r->done(bytes, NULL, r->done_ctx);
		g_bytes_unref(bytes);
	} else {
		err_set(&err, ERR_UNAVAILABLE, VERDICT_NOT_RUN,
		    "origin: read of a chunk failed: status %u %s", a->status,
		    a->status == 0 ? a->error : "");
		evt(EVT_WEIGHTS, "step=piece outcome=failed status=%u why=%s",
		    a->status, a->status == 0 ? a->error : "status");
		r->done(NULL, &err, r->done_ctx);
	}
	g_free(r);
}

static void
on_list(struct evl_task *task)
{
	struct chunk_read *r = CONTAINER_OF(task, struct chunk_read, list_task);
	struct err err = { 0 };

	if (r->list == NULL)
		err_set(&err, ERR_UNAVAILABLE, VERDICT_NOT_RUN,
		    "the chunk list of the version is not known");
	r->done(r->list, r->list == NULL ? &err : NULL, r->done_ctx);
	g_clear_pointer(&r->list, g_bytes_unref);
	g_free(r);
}

static void
fetch_chunk(struct chunk_read *r, int64_t version, uint64_t index, uint64_t len,
    unsigned int stall_ms)
{
	struct keeper *k = r->k;
	char *path = adapter_chunk_path(k->model, version, index);

	r->fetch = hfetch_start(k->st.loop, k->st.pool,
	    &(struct hfetch_conf){ .address = k->origin,
		.method = "GET",
		.path = path,
		.timeout_us = (int64_t)stall_ms * 1000 + READ_SLACK_US,
		.answer_max = len,
		.close = true,
		.done = on_chunk,
		.ctx = r });
	g_free(path);
}

/* `name` is "list/VERSION" or "weights/VERSION". */
static struct origin_read *
start_read(const char *name, uint64_t offset, uint64_t len,
    unsigned int stall_ms, origin_read_cb *done, void *done_ctx, void *ctx)
{
	struct keeper *k = ctx;
	struct chunk_read *r = g_new0(struct chunk_read, 1);
	int64_t version = g_ascii_strtoll(strchr(name, '/') + 1, NULL, 10);
	struct keeper_copy *c = copy_of(k, version);

	r->k = k;
	r->done = done;
	r->done_ctx = done_ctx;
	if (g_str_has_prefix(name, "weights/")) {
		fetch_chunk(r, version, offset / c->chunk_bytes, len, stall_ms);
		return (struct origin_read *)r;
	}
	if (c->list != NULL)
		r->list = g_bytes_ref(c->list);
	r->list_task.run = on_list;
	evl_defer(k->st.loop, &r->list_task);
	return (struct origin_read *)r;
}

static void
cancel_read(struct origin_read *read, void *ctx)
{
	struct chunk_read *r = (struct chunk_read *)read;

	evl_task_cancel(r->k->st.loop, &r->list_task);
	if (r->fetch != NULL)
		hfetch_cancel(r->fetch);
	g_clear_pointer(&r->list, g_bytes_unref);
	g_free(r);
}

const struct wts_source keeper_origin = {
	.start = start_read,
	.cancel = cancel_read,
};
