/* The stand-in's callers: each answer is compared with the expected one. */

#include <stdlib.h>
#include <string.h>

#include "fleet.h"

#define DEADLINE_MS 4000
#define PLAIN_TIMEOUT_MS 1500 /* of their routes (operator.c) */
#define ONCE_ONE_IN 4 /* streams that may not be resumed */

enum request_kind {
	REQUEST_STREAM,
	REQUEST_UNSAFE,
	REQUEST_SAFE,
	REQUEST_KINDS,
	/* Drawn in place of REQUEST_STREAM. */
	REQUEST_STREAM_ONCE = REQUEST_KINDS,
};

static const char request_letter[] = { 's', 'u', 'g', 'o' };
static const char *const request_path[] = { "/chat/", "/book/", "/look/",
	"/tell/" };

struct request {
	struct fleet *f;
	enum request_kind kind;
	char id[40];
	struct fleet_call *call;
	int64_t sent_us;
	struct evl_timer deadline;
};

static void
request_free(struct request *r)
{
	evl_timer_stop(r->f->loop, &r->deadline);
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
is_stream(const struct request *r)
{
	return r->kind == REQUEST_STREAM || r->kind == REQUEST_STREAM_ONCE;
}

/* The complete body; the caller frees it. */
static char *
expected_body(const struct request *r)
{
	GString *body = g_string_new(NULL);
	char *event;
	unsigned int i;

	if (!is_stream(r))
		g_string_printf(body, "answer to %s", r->id);
	for (i = 1; is_stream(r) && i <= FLEET_EVENTS; i++) {
		event = fleet_event_text(r->id, i);
		g_string_append(body, event);
		g_free(event);
	}
	return g_string_free(body, FALSE);
}

static void
count_wrong(struct request *r, const char *what, const GString *body)
{
	r->f->tally.wrong_answers++;
	g_printerr("mixed %s: %s: %s\n", r->id, what, body->str);
}

static bool
has_header(const struct raw_answer *a, const char *name)
{
	char *value = raw_answer_header(a, name);
	bool has = value != NULL;

	g_free(value);
	return has;
}

static void
check_success(struct request *r, const struct raw_answer *a)
{
	char *expected = expected_body(r);

	r->f->tally.answered++;
	if (!has_header(a, "X-Response-Seal") ||
	    strcmp(expected, a->body->str) != 0)
		count_wrong(r, "complete", a->body);
	g_free(expected);
}

/* Neither an answer nor a refusal came, or none in time. */
static void
check_unanswered(struct request *r, const struct raw_answer *a)
{
	int64_t time_us =
	    (is_stream(r) ? DEADLINE_MS : PLAIN_TIMEOUT_MS) * INT64_C(1000);

	fleet_ends_unanswered(r->f, r->id, r->sent_us, time_us, a->status);
}

static void
check_answer(struct request *r, const struct raw_answer *a)
{
	struct fleet_tally *t = &r->f->tally;

	if (a->status == 200) {
		check_success(r, a);
	} else if (a->status == 503 || a->status == 429) {
		t->refused++;
		if ((r->kind == REQUEST_UNSAFE ||
			r->kind == REQUEST_STREAM_ONCE) &&
		    g_hash_table_contains(r->f->runs, r->id)) {
			t->false_not_run++;
			g_printerr("lied %s\n", r->id);
		}
	} else {
		t->failed++;
		t->relayed_failures +=
		    a->status == 500 && has_header(a, "X-Response-Seal");
		check_unanswered(r, a);
		if (has_header(a, "X-Response-Seal") && a->status != 500)
			count_wrong(r, "failure", a->body);
	}
}

/* What arrived of an answer that ended early: the beginning of the expected
 * one, and of a stream complete events only. The caller may have given up
 * while a chunk was on its way, so the last event may be incomplete then. */
static void
check_partial_answer(
    struct request *r, const struct raw_answer *a, bool gave_up)
{
	char *expected = expected_body(r);
	const GString *body = a->body;

	if (a->malformed)
		count_wrong(r, "malformed", body);
	else if (a->status == 200 &&
	    strncmp(expected, body->str, body->len) != 0)
		count_wrong(r, "part", body);
	else if (a->status == 200 && is_stream(r) && !gave_up &&
	    body->len > 0 && !g_str_has_suffix(body->str, "\n\n"))
		count_wrong(r, "part of an event", body);
	g_free(expected);
}

/* ------------------------------------------------------------------ */
/* Calls                                                               */
/* ------------------------------------------------------------------ */

/* The engine announced its stop in an answer that reached its caller. */
static void
note_notice(struct request *r, const struct raw_answer *a)
{
	char *seal = raw_answer_header(a, "X-Response-Seal");

	if (seal != NULL && has_header(a, "Server-Leaving"))
		fleet_engine_relayed(r->f, seal, r->id);
	g_free(seal);
}

static void
note_begun(const struct request *r, const struct raw_answer *a)
{
	if (is_stream(r))
		fleet_part_answered(r->f, r->sent_us, a->status == 200);
}

static void
on_done(struct fleet_call *c, void *ctx)
{
	struct request *r = ctx;

	note_notice(r, &c->answer);
	note_begun(r, &c->answer);
	if (c->answer.complete && !c->answer.malformed)
		check_answer(r, &c->answer);
	else {
		check_partial_answer(r, &c->answer, false);
		check_unanswered(r, &c->answer);
		if (c->answer.status == 0) {
			r->f->tally.broken++;
			g_printerr("broken %s: end %d, sent %d\n", r->id,
			    c->end, c->sent);
		} else
			r->f->tally.cut++;
	}
	request_free(r);
}

static void
on_deadline(struct evl_timer *t)
{
	struct request *r = CONTAINER_OF(t, struct request, deadline);

	r->f->tally.late++;
	g_printerr("late %s: no answer in time, status %u\n", r->id,
	    r->call->answer.status);
	check_partial_answer(r, &r->call->answer, true);
	check_unanswered(r, &r->call->answer);
	note_begun(r, &r->call->answer);
	fleet_call_cancel(r->call);
	request_free(r);
}

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

static enum request_kind
choose_kind(struct fleet *f)
{
	enum request_kind kind =
	    (enum request_kind)rng_below(&f->rng, REQUEST_KINDS);

	if (kind == REQUEST_STREAM && f->broken_one_in > 0 &&
	    rng_below(&f->caller_rng, ONCE_ONE_IN) == 0)
		kind = REQUEST_STREAM_ONCE;
	return kind;
}

static bool
uses_http10(struct fleet *f)
{
	return f->http10_one_in > 0 &&
	    rng_below(&f->caller_rng, (uint64_t)f->http10_one_in) == 0;
}

static char *
stream_headers(const struct request *r)
{
	char *parts = fleet_part_list(r->f, r->f->tally.sent_count, NULL, 0);
	char *headers = g_strdup_printf("X-Model: " FLEET_MODEL "\r\n"
					"X-Token-Counts: 290,24\r\n"
					"X-Prompt-Prefix: %s\r\n",
	    parts);

	g_free(parts);
	return headers;
}

static char *
request_text(const struct request *r)
{
	char *headers = is_stream(r) ? stream_headers(r) : g_strdup("");
	char *text = g_strdup_printf(
	    "POST %s%u HTTP/1.%d\r\nHost: a.example\r\nX-Attempt-Id: %s\r\n"
	    "X-Deadline-Ms: %d\r\nAuthorization: Bearer " FLEET_KEY "\r\n"
	    "X-Tenant: forged\r\n%sContent-Length: 4\r\n\r\nbody",
	    request_path[r->kind], r->f->tally.sent_count, !uses_http10(r->f),
	    r->id, DEADLINE_MS, headers);

	g_free(headers);
	return text;
}

static void
start_request(struct fleet *f)
{
	struct request *r = g_new0(struct request, 1);
	size_t gateway = choose_gateway(f);
	char *text;

	r->f = f;
	r->kind = choose_kind(f);
	g_snprintf(r->id, sizeof(r->id), "%c-%u-%" G_GUINT64_FORMAT "-g%zu",
	    request_letter[r->kind], f->tally.sent_count,
	    rng_next(&f->rng) % 100000, gateway);
	f->tally.sent_count++;
	f->open_calls++;
	r->sent_us = evl_now_us(f->loop);
	g_hash_table_insert(f->sent, g_strdup(r->id),
	    g_memdup2(&r->sent_us, sizeof(r->sent_us)));
	r->deadline.fire = on_deadline;
	evl_timer_set(f->loop, &r->deadline,
	    evl_now_us(f->loop) + (DEADLINE_MS + 500) * 1000);
	text = request_text(r);
	r->call = fleet_call_start(f,
	    &(struct fleet_call_conf){ .gateway = gateway,
		.id = r->id,
		.request = text,
		.done = on_done,
		.ctx = r });
	g_free(text);
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
