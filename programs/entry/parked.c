/*
 * Attempts whose targets are silent. A silent target may be sound, so that its
 * attempt is cancelled only once another one answers: it is parked, and the
 * request tries another target meanwhile. The first answer that begins is taken.
 * Only attempts without a response of requests that may run more than once are
 * parked. While a request has parked attempts, it has a current one as well.
 */

#include "entry/request.h"

static struct parked *
find(struct request *r, int64_t stream)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(r->parked); i++) {
		if (r->parked[i].sidecar != NULL &&
		    r->parked[i].stream == stream)
			return &r->parked[i];
	}
	return NULL;
}

bool
parked_any(const struct request *r)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(r->parked); i++) {
		if (r->parked[i].sidecar != NULL)
			return true;
	}
	return false;
}

int64_t
parked_since_us(const struct request *r)
{
	int64_t since_us = r->sent_us;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(r->parked); i++) {
		if (r->parked[i].sidecar != NULL)
			since_us = MIN(since_us, r->parked[i].sent_us);
	}
	return since_us;
}

static void
release(struct parked *p, const struct err *err)
{
	g_hash_table_remove(p->sidecar->streams, &p->stream);
	p->sidecar = NULL;
	rt_target_ended(p->target, err, clk_now_us(clk_system()));
}

void
parked_cancel(struct request *r)
{
	const struct err cancelled = { .code = ERR_CANCELLED };
	struct rt_cancel cancel;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(r->parked); i++) {
		struct parked *p = &r->parked[i];

		if (p->sidecar == NULL)
			continue;
		cancel.stream = (uint64_t)p->stream;
		if (p->sidecar->open)
			conn_send(p->sidecar->conn, &rt_cancel_desc, &cancel);
		release(p, &cancelled);
	}
}

void
parked_add(struct request *r)
{
	struct parked *p = r->parked;

	while (p->sidecar != NULL)
		p++; /* there is room for each attempt */
	g_hash_table_remove(r->sidecar->streams, &r->stream);
	*p = (struct parked){
		.sidecar = r->sidecar,
		.target = r->target,
		.stream = r->stream,
		.sent_us = r->sent_us,
	};
	g_hash_table_insert(p->sidecar->streams, &p->stream, r);
	r->sidecar = NULL;
}

/* Makes a parked attempt the current one; there must be no other. */
static void
resume(struct request *r, struct parked *p)
{
	g_hash_table_remove(p->sidecar->streams, &p->stream);
	r->sidecar = p->sidecar;
	r->target = p->target;
	r->stream = p->stream;
	r->sent_us = p->sent_us;
	r->responded = false;
	r->answering = false;
	p->sidecar = NULL;
	g_hash_table_insert(r->sidecar->streams, &r->stream, r);
}

void
parked_resume(struct request *r)
{
	struct parked *p = r->parked;

	while (p->sidecar == NULL)
		p++;
	resume(r, p);
}

void
parked_responded(struct request *r, int64_t stream)
{
	struct parked *p = find(r, stream);

	if (p != NULL) {
		parked_add(r); /* there is room for each attempt */
		resume(r, p);
	}
	parked_cancel(r);
}

bool
parked_ended(struct request *r, int64_t stream, const struct err *err)
{
	struct parked *p = find(r, stream);

	if (p == NULL)
		return false;
	release(p, err);
	return true;
}

struct rt_target *
parked_target(struct request *r, int64_t stream)
{
	struct parked *p = find(r, stream);

	return p != NULL ? p->target : r->target;
}
