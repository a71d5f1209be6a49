/* The stand-in's callers: each answer is compared with the expected one. */

#include <stdlib.h>
#include <string.h>

#include "fleet.h"

#define EVENTS 12
#define DEADLINE_MS 4000

enum request_kind {
	REQUEST_STREAM,
	REQUEST_UNSAFE,
	REQUEST_SAFE,
	REQUEST_KINDS
};

static const char request_letter[REQUEST_KINDS] = { 's', 'u', 'g' };
static const char *const request_path[REQUEST_KINDS] = { "/chat/", "/book/",
	"/look/" };

struct request {
	struct fleet *f;
	enum request_kind kind;
	char id[40];
	struct hcall *call;
	struct evl_timer deadline;
	unsigned int status;
	bool sealed;
	GString *body;
};

static void
request_free(struct request *r)
{
	evl_timer_stop(r->f->loop, &r->deadline);
	g_string_free(r->body, TRUE);
	r->f->open_calls--;
	g_free(r);
}

size_t
fleet_gateway_of(const char *id)
{
	const char *at = strrchr(id, 'g');

	if (at == NULL)
		return 0;
	return (size_t)g_ascii_strtoull(at + 1, NULL, 10) % FLEET_GATEWAYS_MAX;
}

/* ------------------------------------------------------------------ */
/* Checks                                                              */
/* ------------------------------------------------------------------ */

static bool
stream_matches(const struct request *r)
{
	GString *expected = g_string_new(NULL);
	unsigned int i;
	bool matches;

	for (i = 1; i <= EVENTS; i++)
		g_string_append_printf(
		    expected, "id: %u\ndata: %s %u\n\n", i, r->id, i);
	matches = strcmp(expected->str, r->body->str) == 0;
	g_string_free(expected, TRUE);
	return matches;
}

static bool
body_matches(const struct request *r)
{
	char expected[64];

	if (r->kind == REQUEST_STREAM)
		return stream_matches(r);
	g_snprintf(expected, sizeof(expected), "answer to %s", r->id);
	return strcmp(expected, r->body->str) == 0;
}

static void
check_answer(struct request *r)
{
	struct fleet_tally *t = &r->f->tally;

	if (r->status == 200) {
		t->answered++;
		if (!r->sealed || !body_matches(r)) {
			t->wrong_answers++;
			g_printerr("mixed %s: %s\n", r->id, r->body->str);
		}
	} else if (r->status == 503 || r->status == 429) {
		t->refused++;
		if (r->kind == REQUEST_UNSAFE &&
		    g_hash_table_contains(r->f->runs, r->id)) {
			t->false_not_run++;
			g_printerr("lied %s\n", r->id);
		}
	} else {
		t->failed++;
		if (r->sealed && r->status != 500)
			t->wrong_answers++;
	}
}

/* The part of an answer that arrived before a failure must be a prefix of the
 * expected answer. */
static void
check_partial_answer(struct request *r)
{
	char *whole;
	unsigned int i;
	GString *expected = g_string_new(NULL);

	for (i = 1; i <= EVENTS; i++)
		g_string_append_printf(
		    expected, "id: %u\ndata: %s %u\n\n", i, r->id, i);
	whole = expected->str;
	if (r->status == 200 && r->kind == REQUEST_STREAM &&
	    strncmp(whole, r->body->str, r->body->len) != 0) {
		r->f->tally.wrong_answers++;
		g_printerr("mixed part %s: %s\n", r->id, r->body->str);
	}
	g_string_free(expected, TRUE);
}

/* ------------------------------------------------------------------ */
/* Calls                                                               */
/* ------------------------------------------------------------------ */

static void
on_head(struct hcall *c, const struct hmsg *m, void *ctx)
{
	struct request *r = ctx;
	const struct hheader *seal = hmsg_find(m, "X-Response-Seal");
	char *text;

	r->status = m->status;
	r->sealed = seal != NULL;
	if (!r->sealed || hmsg_find(m, "Server-Leaving") == NULL)
		return;
	text = hslice_dup(seal->value);
	fleet_engine_relayed(r->f, text, r->id);
	g_free(text);
}

static void
on_body(struct hcall *c, const void *data, size_t len, void *ctx)
{
	g_string_append_len(((struct request *)ctx)->body, data, (gssize)len);
}

static void
on_done(struct hcall *c, void *ctx)
{
	check_answer(ctx);
	request_free(ctx);
}

static void
on_failed(struct hcall *c, enum hcall_failure why, bool sent, void *ctx)
{
	struct request *r = ctx;

	g_printerr("broken %s: failure %d, sent %d, status %u\n", r->id, why,
	    sent, r->status);
	r->f->tally.broken++;
	check_partial_answer(r);
	request_free(r);
}

static void
on_deadline(struct evl_timer *t)
{
	struct request *r = CONTAINER_OF(t, struct request, deadline);

	hcall_cancel(r->call);
	r->f->tally.broken++;
	check_partial_answer(r);
	request_free(r);
}

static const struct hcall_ops ops = {
	.head = on_head,
	.body = on_body,
	.done = on_done,
	.failed = on_failed,
};

/* The uneven distribution is like that of a load balancer that hashes by
 * caller: half of the requests go to the first gateway, half of the remaining
 * ones to the second, and so on. */
static size_t
choose_gateway(struct fleet *f)
{
	size_t i = 0;

	while (f->uneven && i + 1 < f->ngateways && rng_below(&f->rng, 2) == 0)
		i++;
	return f->uneven ? i : rng_below(&f->rng, f->ngateways);
}

static void
start_request(struct fleet *f)
{
	struct request *r = g_new0(struct request, 1);
	size_t gateway = choose_gateway(f);
	int64_t sent_us;
	char *head;

	r->f = f;
	r->kind = (enum request_kind)rng_below(&f->rng, REQUEST_KINDS);
	r->body = g_string_new(NULL);
	g_snprintf(r->id, sizeof(r->id), "%c-%u-%" G_GUINT64_FORMAT "-g%zu",
	    request_letter[r->kind], f->tally.sent_count,
	    rng_next(&f->rng) % 100000, gateway);
	f->tally.sent_count++;
	f->open_calls++;
	sent_us = evl_now_us(f->loop);
	g_hash_table_insert(
	    f->sent, g_strdup(r->id), g_memdup2(&sent_us, sizeof(sent_us)));
	head = g_strdup_printf(
	    "POST %s%u HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: %s\r\n"
	    "X-Deadline-Ms: %d\r\nAuthorization: Bearer " FLEET_KEY "\r\n"
	    "X-Tenant: forged\r\n%sContent-Length: 4\r\n\r\nbody",
	    request_path[r->kind], f->tally.sent_count, r->id, DEADLINE_MS,
	    r->kind == REQUEST_STREAM ? "X-Model: " FLEET_MODEL "\r\n" : "");
	r->deadline.fire = on_deadline;
	evl_timer_set(f->loop, &r->deadline,
	    evl_now_us(f->loop) + (DEADLINE_MS + 500) * 1000);
	r->call = hcall_start(f->pool,
	    &(struct hcall_conf){ .address = f->gateways[gateway],
		.head = head,
		.head_len = strlen(head),
		.ops = &ops,
		.ctx = r });
	g_free(head);
}

static void
on_next(struct evl_timer *t)
{
	struct fleet *f = CONTAINER_OF(t, struct fleet, next_request);

	if (f->stopping)
		return;
	start_request(f);
	evl_timer_set(
	    f->loop, t, evl_now_us(f->loop) + G_USEC_PER_SEC / f->rate);
}

void
fleet_callers_start(struct fleet *f)
{
	f->next_request.fire = on_next;
	evl_timer_set(f->loop, &f->next_request, evl_now_us(f->loop));
}
