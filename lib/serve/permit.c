/* Permits for requests to a target with a rate limit. */

#include "serve/permit.h"

/* Unrequested permits accumulate up to those of this time, or one if that is
 * more. They come on top of the limit. */
#define ACCUMULATE_S 0.5
/* A gateway that needs a permit repeats its request after 0.2 s; an older
 * request has been abandoned. */
#define REQUEST_EXPIRES_US 300000
/*
 * When an answer no longer states a limit, the rate of permits doubles after
 * each such time until it exceeds what an engine can use. One answer may be
 * wrong, as a gateway that stalled reports it seconds late; the next answer
 * then states the limit again before much was sent. And the target's traffic
 * returns gradually, not from all gateways at once.
 */
#define LIFT_STEP_US 400000
#define LIFTED_RATE 100.0 /* requests a second */

struct permit_request {
	char gateway[PERMIT_GATEWAY_MAX];
	int64_t asked_us;
};

void
permits_init(struct permits *p)
{
	*p = (struct permits){ .requests = g_array_new(FALSE, FALSE,
				   sizeof(struct permit_request)) };
}

void
permits_clear(struct permits *p)
{
	g_array_unref(p->requests);
}

void
permits_reset(struct permits *p)
{
	permits_clear(p);
	permits_init(p);
}

/* ------------------------------------------------------------------ */
/* Limit                                                               */
/* ------------------------------------------------------------------ */

/* Permits a second. */
static double
rate_of(const struct permits *p, int64_t now_us)
{
	double rate = p->limit;
	int64_t us;

	if (p->ended_us == 0)
		return rate;
	for (us = now_us - p->ended_us; us >= 0 && rate < LIFTED_RATE;
	     us -= LIFT_STEP_US)
		rate *= 2;
	return rate;
}

static void
refill(struct permits *p, int64_t now_us)
{
	double rate = rate_of(p, now_us);

	p->tokens += rate * (double)(now_us - p->filled_us) / G_USEC_PER_SEC;
	p->tokens = MIN(p->tokens, MAX(1, rate * ACCUMULATE_S));
	p->filled_us = now_us;
}

static void
set_limit(struct permits *p, double limit, int64_t now_us)
{
	/* Gateways were not limited until now: nothing has accumulated. */
	if (p->limit == 0)
		p->tokens = 0;
	else
		refill(p, now_us);
	p->filled_us = now_us;
	p->limit = limit;
	p->ended_us = 0;
	p->tokens = MIN(p->tokens, MAX(1, limit * ACCUMULATE_S));
}

bool
permits_reported(
    struct permits *p, const struct permit_report *report, int64_t now_us)
{
	bool was_known = p->known;
	double before = p->limit;

	/* A report that another gateway relays from here is older than the
	 * state here. */
	if (was_known && (!report->direct || report->since_us <= p->since_us))
		return false;
	p->known = true;
	p->since_us = report->since_us;
	if (report->limit > 0)
		set_limit(p, report->limit, now_us);
	else if (p->limit > 0 && p->ended_us == 0)
		p->ended_us = now_us;
	return !was_known || p->limit != before;
}

bool
permits_advance(struct permits *p, int64_t now_us)
{
	if (p->ended_us == 0 || rate_of(p, now_us) < LIFTED_RATE)
		return false;
	p->limit = 0;
	p->ended_us = 0;
	g_array_set_size(p->requests, 0);
	return true;
}

/* ------------------------------------------------------------------ */
/* Permits                                                             */
/* ------------------------------------------------------------------ */

void
permits_ask(struct permits *p, const char *gateway, int64_t now_us)
{
	struct permit_request request = { .asked_us = now_us }, *other;
	guint i;

	for (i = 0; i < p->requests->len; i++) {
		other = &g_array_index(p->requests, struct permit_request, i);
		if (g_strcmp0(other->gateway, gateway) == 0) {
			other->asked_us = now_us; /* it retains its position */
			return;
		}
	}
	g_strlcpy(request.gateway, gateway, sizeof(request.gateway));
	g_array_append_val(p->requests, request);
}

bool
permits_next(
    struct permits *p, char gateway[PERMIT_GATEWAY_MAX], int64_t now_us)
{
	struct permit_request request;

	if (p->limit == 0)
		return false;
	refill(p, now_us);
	while (p->requests->len > 0 && p->tokens >= 1) {
		request = g_array_index(p->requests, struct permit_request, 0);
		g_array_remove_index(p->requests, 0);
		if (now_us - request.asked_us > REQUEST_EXPIRES_US)
			continue;
		g_strlcpy(gateway, request.gateway, PERMIT_GATEWAY_MAX);
		p->tokens--;
		return true;
	}
	return false;
}
