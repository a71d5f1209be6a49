/*
 * A request that terminates each engine that begins to run it, or a part of
 * prompts that terminates each engine that begins to write an answer to a
 * request with it. The request is sent repeatedly under new ids, and different
 * requests with the part, to any gateway. Once it has terminated three engines,
 * a part five, and the notification has had time to reach all gateways, at most
 * three more sends may reach engines.
 */

#include <string.h>

#include "fleet.h"

#define TERMINATIONS_KNOWN 3 /* of a request */
#define TERMINATIONS_KNOWN_PART 5
#define PROPAGATION_US 1000000 /* the bound `stable_ms` of gateway settings */
#define SENDS_ALLOWED 3
#define DEADLINE_US 4000000

struct fleet_poison {
	struct fleet *f;
	unsigned int number;
	char part[16]; /* its id; "": the request is always the same */
	/* Separate, so that other draws do not depend on poison requests. */
	struct rng rng;
	int64_t gap_us;
	struct evl_timer next;
	unsigned int sent_count, refused, failed;
	unsigned int terminations, sends_after;
	int64_t last_us; /* latest termination; 0: none */
	int64_t known_us; /* third or fifth termination; 0: not yet */
};

struct poison_request {
	struct fleet_poison *p;
	char id[40];
	struct hcall *call;
	struct evl_timer deadline;
	unsigned int status;
};

/* Ids of poison requests are "p0-17-g2": number, attempt, gateway. */
struct fleet_poison *
fleet_poison_of(struct fleet *f, const char *id)
{
	if (id[0] != 'p')
		return NULL;
	return f->poison[(id[1] - '0') % FLEET_POISONS_MAX];
}

void
fleet_poison_arrived(struct fleet_poison *p, const char *id)
{
	struct fleet *f = p->f;

	if (p->known_us == 0 ||
	    evl_now_us(f->loop) - p->known_us < PROPAGATION_US)
		return;
	p->sends_after++;
	g_printerr("at %.3f %s was sent, %" G_GINT64_FORMAT
		   " ms after it was known\n",
	    (double)g_get_real_time() / G_USEC_PER_SEC, id,
	    (evl_now_us(f->loop) - p->known_us) / 1000);
	if (f->check_poison && p->sends_after > SENDS_ALLOWED)
		f->tally.excess_sends++;
}

void
fleet_poison_terminated(struct fleet_poison *p)
{
	p->terminations++;
	p->last_us = evl_now_us(p->f->loop);
	if (p->terminations ==
	    (fleet_poison_is_part(p) ? TERMINATIONS_KNOWN_PART
				     : TERMINATIONS_KNOWN))
		p->known_us = p->last_us;
}

bool
fleet_poison_is_part(const struct fleet_poison *p)
{
	return p->part[0] != '\0';
}

bool
fleet_parts_known(const struct fleet *f, int64_t sent_us)
{
	const struct fleet_poison *p;
	int64_t since_us;
	unsigned int i;

	for (i = 0; i < FLEET_POISONS_MAX; i++) {
		p = f->poison[i];
		if (p == NULL || !fleet_poison_is_part(p))
			continue;
		since_us = p->known_us != 0 ? p->known_us : p->last_us;
		if (since_us == 0 || sent_us < since_us + 2 * PROPAGATION_US)
			return false;
	}
	return true;
}

static void
request_free(struct poison_request *r)
{
	evl_timer_stop(r->p->f->loop, &r->deadline);
	r->p->f->open_calls--;
	g_free(r);
}

static void
on_head(struct hcall *c, const struct hmsg *m, void *ctx)
{
	((struct poison_request *)ctx)->status = m->status;
}

static void
on_body(struct hcall *c, const void *data, size_t len, void *ctx)
{
}

/* Status 503 guarantees that the request did not run. */
static void
on_done(struct hcall *c, void *ctx)
{
	struct poison_request *r = ctx;
	struct fleet *f = r->p->f;

	if (r->status != 503)
		r->p->failed++;
	else if (g_hash_table_contains(f->runs, r->id)) {
		f->tally.false_not_run++;
		g_printerr("lied %s\n", r->id);
	} else
		r->p->refused++;
	request_free(r);
}

static void
on_failed(struct hcall *c, enum hcall_failure why, bool sent, void *ctx)
{
	struct poison_request *r = ctx;

	r->p->failed++;
	request_free(r);
}

static void
on_deadline(struct evl_timer *t)
{
	struct poison_request *r =
	    CONTAINER_OF(t, struct poison_request, deadline);

	hcall_cancel(r->call);
	r->p->failed++;
	request_free(r);
}

static const struct hcall_ops ops = {
	.head = on_head,
	.body = on_body,
	.done = on_done,
	.failed = on_failed,
};

/* Always the same but for its id. */
static char *
same_request(const struct poison_request *r)
{
	const struct fleet_poison *p = r->p;

	return g_strdup_printf("POST %s%u HTTP/1.1\r\nHost: a.example\r\n"
			       "X-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\n"
			       "Authorization: Bearer " FLEET_POISON_KEY
			       "\r\nX-Model: " FLEET_MODEL
			       "\r\nContent-Length: 5\r\n\r\ncrash",
	    p->number % 2 == 0 ? "/chat/again" : "/look/again", p->number,
	    r->id, DEADLINE_US / 1000);
}

/* Different each time but for the part, which may be at any place. Sound
 * requests share its caller and its other parts. */
static char *
request_with_part(const struct poison_request *r)
{
	struct fleet_poison *p = r->p;
	char *parts = fleet_part_list(p->f, 0x1000000 + p->sent_count, p->part,
	    (unsigned int)rng_below(&p->rng, 3));
	char *text = g_strdup_printf(
	    "POST /chat/part%u-%u HTTP/1.1\r\nHost: a.example\r\n"
	    "X-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\n"
	    "Authorization: Bearer " FLEET_KEY "\r\nX-Model: " FLEET_MODEL
	    "\r\nX-Token-Counts: 390,24\r\nX-Prompt-Prefix: %s\r\n"
	    "Content-Length: 5\r\n\r\ncrash",
	    p->number, p->sent_count, r->id, DEADLINE_US / 1000, parts);

	g_free(parts);
	return text;
}

static void
send_request(struct fleet_poison *p)
{
	struct poison_request *r = g_new0(struct poison_request, 1);
	struct fleet *f = p->f;
	size_t gateway = rng_below(&p->rng, f->ngateways);
	char *text;

	r->p = p;
	g_snprintf(r->id, sizeof(r->id), "p%u-%u-g%zu", p->number,
	    p->sent_count++, gateway);
	f->open_calls++;
	text = fleet_poison_is_part(p) ? request_with_part(r) : same_request(r);
	r->deadline.fire = on_deadline;
	evl_timer_set(
	    f->loop, &r->deadline, evl_now_us(f->loop) + DEADLINE_US + 500000);
	fleet_budget_sent(f, text);
	r->call = hcall_start(f->pool,
	    &(struct hcall_conf){ .address = f->gateways[gateway],
		.head = text,
		.head_len = strlen(text),
		.ops = &ops,
		.ctx = r });
	g_free(text);
}

static void
on_next(struct evl_timer *t)
{
	struct fleet_poison *p = CONTAINER_OF(t, struct fleet_poison, next);
	struct fleet *f = p->f;

	if (f->stopping)
		return;
	send_request(p);
	evl_timer_set(f->loop, t, evl_now_us(f->loop) + p->gap_us);
}

static struct fleet_poison *
start_one(struct fleet *f, unsigned int number, int64_t gap_us, int64_t from_us)
{
	struct fleet_poison *p = g_new0(struct fleet_poison, 1);

	p->f = f;
	p->number = number;
	p->gap_us = gap_us;
	p->next.fire = on_next;
	rng_seed(&p->rng, number + 1);
	f->poison[number] = p;
	evl_timer_set(f->loop, &p->next, from_us);
	return p;
}

void
fleet_poisons_start(struct fleet *f, const struct fleet_poison_plan *plan)
{
	unsigned int n = MIN(plan->requests + plan->parts, FLEET_POISONS_MAX);
	struct fleet_poison *p;
	unsigned int i;

	for (i = 0; i < n; i++) {
		p = start_one(f, i, plan->gap_us, plan->from_us);
		if (i < plan->requests)
			continue;
		g_snprintf(p->part, sizeof(p->part), "badc0de%x", i);
		f->part_from_us = plan->from_us;
	}
}

void
fleet_poison_print(const struct fleet *f)
{
	const struct fleet_poison *p;
	unsigned int i;

	for (i = 0; i < FLEET_POISONS_MAX; i++) {
		p = f->poison[i];
		if (p == NULL)
			continue;
		g_print("crashing %s %u: asked=%u refused=%u failed=%u "
			"engines_ended=%u sends_after_%s=%u\n",
		    fleet_poison_is_part(p) ? "part" : "request", i,
		    p->sent_count, p->refused, p->failed, p->terminations,
		    fleet_poison_is_part(p) ? "fifth" : "third",
		    p->sends_after);
	}
}
