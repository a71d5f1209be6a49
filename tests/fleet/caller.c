/* The stand-in's callers: they know what each answer must be. */

#include <stdlib.h>
#include <string.h>

#include "fleet.h"

#define EVENTS 12
#define DEADLINE_MS 4000

enum ask_kind {
	ASK_STREAM,
	ASK_UNSAFE,
	ASK_SAFE,
	ASK_KINDS
};

static const char ask_letter[ASK_KINDS] = { 's', 'u', 'g' };
static const char *const ask_path[ASK_KINDS] = { "/chat/", "/book/", "/look/" };

struct ask {
	struct fleet *f;
	enum ask_kind kind;
	char id[40];
	struct hcall *call;
	struct evl_timer deadline;
	unsigned int status;
	bool sealed;
	GString *body;
};

static void
ask_free(struct ask *a)
{
	evl_timer_stop(a->f->loop, &a->deadline);
	g_string_free(a->body, TRUE);
	a->f->open_calls--;
	g_free(a);
}

/* ------------------------------------------------------------------ */
/* Checks                                                              */
/* ------------------------------------------------------------------ */

static bool
stream_is_right(const struct ask *a)
{
	GString *want = g_string_new(NULL);
	unsigned int i;
	bool right;

	for (i = 1; i <= EVENTS; i++)
		g_string_append_printf(
		    want, "id: %u\ndata: %s %u\n\n", i, a->id, i);
	right = strcmp(want->str, a->body->str) == 0;
	g_string_free(want, TRUE);
	return right;
}

static bool
body_is_right(const struct ask *a)
{
	char want[64];

	if (a->kind == ASK_STREAM)
		return stream_is_right(a);
	g_snprintf(want, sizeof(want), "answer to %s", a->id);
	return strcmp(want, a->body->str) == 0;
}

static void
check(struct ask *a)
{
	struct fleet_tally *t = &a->f->tally;

	if (a->status == 200) {
		t->answered++;
		if (!a->sealed || !body_is_right(a)) {
			t->mixed++;
			g_printerr("mixed %s: %s\n", a->id, a->body->str);
		}
	} else if (a->status == 503 || a->status == 429) {
		t->refused++;
		if (a->kind == ASK_UNSAFE &&
		    g_hash_table_contains(a->f->runs, a->id)) {
			t->lied++;
			g_printerr("lied %s\n", a->id);
		}
	} else {
		t->failed++;
		if (a->sealed && a->status != 500)
			t->mixed++;
	}
}

/* What came before a break must be right as far as it goes. */
static void
check_part(struct ask *a)
{
	char *whole;
	unsigned int i;
	GString *want = g_string_new(NULL);

	for (i = 1; i <= EVENTS; i++)
		g_string_append_printf(
		    want, "id: %u\ndata: %s %u\n\n", i, a->id, i);
	whole = want->str;
	if (a->status == 200 && a->kind == ASK_STREAM &&
	    strncmp(whole, a->body->str, a->body->len) != 0) {
		a->f->tally.mixed++;
		g_printerr("mixed part %s: %s\n", a->id, a->body->str);
	}
	g_string_free(want, TRUE);
}

/* ------------------------------------------------------------------ */
/* Calls                                                               */
/* ------------------------------------------------------------------ */

static void
on_head(struct hcall *c, const struct hmsg *m, void *ctx)
{
	struct ask *a = ctx;

	a->status = m->status;
	a->sealed = hmsg_find(m, "X-Response-Seal") != NULL;
}

static void
on_body(struct hcall *c, const void *data, size_t len, void *ctx)
{
	g_string_append_len(((struct ask *)ctx)->body, data, (gssize)len);
}

static void
on_done(struct hcall *c, void *ctx)
{
	check(ctx);
	ask_free(ctx);
}

static void
on_failed(struct hcall *c, enum hcall_failure why, bool sent, void *ctx)
{
	struct ask *a = ctx;

	g_printerr("broken %s: failure %d, sent %d, status %u\n", a->id, why,
	    sent, a->status);
	a->f->tally.broken++;
	check_part(a);
	ask_free(a);
}

static void
on_deadline(struct evl_timer *t)
{
	struct ask *a = CONTAINER_OF(t, struct ask, deadline);

	hcall_cancel(a->call);
	a->f->tally.broken++;
	check_part(a);
	ask_free(a);
}

static const struct hcall_ops ops = {
	.head = on_head,
	.body = on_body,
	.done = on_done,
	.failed = on_failed,
};

/* Unevenly, as a balancer does that goes by the caller: half of what is left
 * goes to the first, and so on. */
static size_t
choose_gateway(struct fleet *f)
{
	size_t i = 0;

	while (f->uneven && i + 1 < f->ngateways && rng_below(&f->rng, 2) == 0)
		i++;
	return f->uneven ? i : rng_below(&f->rng, f->ngateways);
}

static void
start_ask(struct fleet *f)
{
	struct ask *a = g_new0(struct ask, 1);
	size_t gateway = choose_gateway(f);
	char *head;

	a->f = f;
	a->kind = (enum ask_kind)rng_below(&f->rng, ASK_KINDS);
	a->body = g_string_new(NULL);
	g_snprintf(a->id, sizeof(a->id), "%c-%u-%" G_GUINT64_FORMAT "-g%zu",
	    ask_letter[a->kind], f->tally.asked, rng_next(&f->rng) % 100000,
	    gateway);
	f->tally.asked++;
	f->open_calls++;
	head = g_strdup_printf(
	    "POST %s%u HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: %s\r\n"
	    "X-Deadline-Ms: %d\r\nAuthorization: Bearer " FLEET_KEY "\r\n"
	    "X-Tenant: forged\r\n%sContent-Length: 4\r\n\r\nbody",
	    ask_path[a->kind], f->tally.asked, a->id, DEADLINE_MS,
	    a->kind == ASK_STREAM ? "X-Model: " FLEET_MODEL "\r\n" : "");
	a->deadline.fire = on_deadline;
	evl_timer_set(f->loop, &a->deadline,
	    evl_now_us(f->loop) + (DEADLINE_MS + 500) * 1000);
	a->call = hcall_start(f->pool,
	    &(struct hcall_conf){ .address = f->gateways[gateway],
		.head = head,
		.head_len = strlen(head),
		.ops = &ops,
		.ctx = a });
	g_free(head);
}

static void
on_next(struct evl_timer *t)
{
	struct fleet *f = CONTAINER_OF(t, struct fleet, next_request);

	if (f->stopping)
		return;
	start_ask(f);
	evl_timer_set(
	    f->loop, t, evl_now_us(f->loop) + G_USEC_PER_SEC / f->rate);
}

void
fleet_callers_start(struct fleet *f)
{
	f->next_request.fire = on_next;
	evl_timer_set(f->loop, &f->next_request, evl_now_us(f->loop));
}
