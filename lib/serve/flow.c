/* The next step for a request when an attempt has ended. */

#include "serve/flow.h"

/*
 * A refused caller misses its objective in any case, so it should retry only
 * when the burst is over, and late enough that its remaining time distinguishes
 * it from new callers. Between two versions, and after all targets start at
 * once, no request can be served for 1 to 1.5 s. With a Retry-After of 0.9 to
 * 1.5 s, one in five of the callers refused within 1.5 s retried too soon, was
 * refused again and gave up; with 1.24 to 1.86 s, one in thirty did. Callers
 * wait for at most a third of their time, so a value above the maximum would be
 * of no use.
 */
#define RETRY_BASE_S 1.55
#define RETRY_SPREAD 0.4
#define RETRY_MAX_S 1.9

static bool
certainly_not_run(const struct flow_state *s)
{
	return !s->may_have_run;
}

static bool
may_retry(const struct flow_state *s, enum flow_end end)
{
	if (s->blocked || !s->has_time ||
	    s->attempts >= s->max_attempts + FLOW_REFUSALS_MAX)
		return false;
	if (s->runs >= s->max_attempts)
		return false;
	return s->repeatable || certainly_not_run(s);
}

enum flow_step
flow_next(const struct flow_state *s, enum flow_end end,
    bool (*may_spend)(void *ctx), void *ctx)
{
	/* An attempt at which nothing was sent is not charged to the budget. */
	if (may_retry(s, end) && (end == FLOW_UNREACHABLE || may_spend(ctx)))
		return s->begun ? FLOW_RESUME : FLOW_RETRY;
	if (s->begun)
		return FLOW_ABORT;
	if (end == FLOW_FAILURE)
		return FLOW_PASS;
	return certainly_not_run(s) ? FLOW_REFUSE : FLOW_FAIL;
}

bool
flow_may_hedge(const struct flow_state *s)
{
	return s->repeatable && may_retry(s, FLOW_STALLED);
}

double
flow_retry_after_s(double wait_s, double random)
{
	double spread = 1 - RETRY_SPREAD / 2 + RETRY_SPREAD * random;
	double s = (RETRY_BASE_S + wait_s) * spread;

	return s < RETRY_MAX_S ? s : RETRY_MAX_S;
}
