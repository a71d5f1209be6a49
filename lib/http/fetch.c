/* An HTTP call whose response is buffered until it is complete. */

#include <string.h>

#include "http/fetch.h"

#define HEADER_MAX 64

struct hfetch {
	struct evl *loop;
	struct hcall *call;
	struct evl_timer timer;
	int64_t arrival_timeout_us, arrival_end_us; /* 0: none */
	unsigned int status;
	struct hbuf body;
	const char *header_name; /* NULL: none is asked for */
	char header[HEADER_MAX];
	hfetch_cb *done;
	void *ctx;
};

static void
finish(struct hfetch *f, const struct hfetch_answer *answer)
{
	evl_timer_stop(f->loop, &f->timer);
	f->done(answer, f->ctx);
	hbuf_free(&f->body);
	g_free(f);
}

/* Bytes of the response have arrived. */
static void
put_off_timeout(struct hfetch *f)
{
	int64_t at_us =
	    MIN(evl_now_us(f->loop) + f->arrival_timeout_us, f->arrival_end_us);

	if (at_us > f->timer.at_us)
		evl_timer_set(f->loop, &f->timer, at_us);
}

static void
on_head(struct hcall *c, const struct hmsg *m, void *ctx)
{
	struct hfetch *f = ctx;
	const struct hheader *h = NULL;

	put_off_timeout(f);
	f->status = m->status;
	if (f->header_name != NULL)
		h = hmsg_find(m, f->header_name);
	if (h == NULL || h->value.n >= sizeof(f->header))
		return;
	memcpy(f->header, h->value.p, h->value.n);
	f->header[h->value.n] = '\0';
}

static void
on_body(struct hcall *c, const void *data, size_t len, void *ctx)
{
	struct hfetch *f = ctx;

	put_off_timeout(f);
	hbuf_add(&f->body, data, len);
}

static void
on_done(struct hcall *c, void *ctx)
{
	struct hfetch *f = ctx;

	finish(f,
	    &(struct hfetch_answer){ .status = f->status,
		.sent = true,
		.body = hbuf_front(&f->body),
		.len = hbuf_left(&f->body),
		.header = f->header });
}

static void
on_failed(struct hcall *c, enum hcall_failure why, bool sent, void *ctx)
{
	finish(ctx,
	    &(struct hfetch_answer){ .sent = sent,
		.error = hcall_failure_name(why),
		.failure = why,
		.header = "" });
}

static const struct hcall_ops ops = {
	.head = on_head,
	.body = on_body,
	.done = on_done,
	.failed = on_failed,
};

static void
on_timeout(struct evl_timer *timer)
{
	struct hfetch *f = CONTAINER_OF(timer, struct hfetch, timer);
	bool sent = hcall_sent(f->call);

	hcall_cancel(f->call);
	finish(f,
	    &(struct hfetch_answer){ .sent = sent,
		.error = "no answer in time",
		.timed_out = true,
		.header = "" });
}

struct hfetch *
hfetch_start(
    struct evl *loop, struct hpool *pool, const struct hfetch_conf *conf)
{
	struct hfetch *f = g_new0(struct hfetch, 1);
	GString *head = g_string_new(NULL);

	g_string_printf(head, "%s %s HTTP/1.1\r\nHost: %s\r\n", conf->method,
	    conf->path, conf->address);
	if (conf->type != NULL)
		g_string_append_printf(
		    head, "Content-Type: %s\r\n", conf->type);
	if (conf->body_len > 0)
		g_string_append_printf(
		    head, "Content-Length: %zu\r\n", conf->body_len);
	if (conf->close)
		g_string_append(head, "Connection: close\r\n");
	g_string_append(head, "\r\n");
	f->loop = loop;
	f->arrival_timeout_us = conf->arrival_timeout_us;
	if (conf->arrival_max_us != 0)
		f->arrival_end_us = evl_now_us(loop) + conf->arrival_max_us;
	f->header_name = conf->header;
	f->done = conf->done;
	f->ctx = conf->ctx;
	f->timer.fire = on_timeout;
	f->call = hcall_start(pool,
	    &(struct hcall_conf){ .address = conf->address,
		.head = head->str,
		.head_len = head->len,
		.body = conf->body,
		.body_len = conf->body_len,
		.body_max = conf->answer_max,
		.ops = &ops,
		.ctx = f });
	if (conf->close)
		hcall_no_reuse(f->call);
	evl_timer_set(loop, &f->timer, evl_now_us(loop) + conf->timeout_us);
	g_string_free(head, TRUE);
	return f;
}

void
hfetch_cancel(struct hfetch *f)
{
	evl_timer_stop(f->loop, &f->timer);
	hcall_cancel(f->call);
	hbuf_free(&f->body);
	g_free(f);
}
