/* What becomes of a request when an attempt has ended. */

#include "serve/flow.h"

/*
 * Whoever was refused misses its objective in any case, so it may as well come
 * when the crowd of that moment is gone, and late enough that its time tells it
 * from new callers. Between two versions and after a start of everything nobody
 * can be served for 1 to 1.5 s: told 0.9 to 1.5 s, one in five of those refused
 * in 1.5 s came back too soon, was refused again and gave up; told 1.24 to
 * 1.86 s, one in thirty. Callers wait for a third of their time at most, so
 * more than the bound is no use.
 */
#define RETURN_BASE_S 1.55
#define RETURN_SPREAD 0.4
#define RETURN_MAX_S 1.9

static bool
ran_nowhere(const struct flow_state *s)
{
	return !s->may_have_run;
}

static bool
may_go_on(const struct flow_state *s, enum flow_end end)
{
	if (s->blocked || !s->has_time ||
	    s->tries >= s->attempts + FLOW_REFUSALS_MAX)
		return false;
	if (s->runs >= s->attempts)
		return false;
	return s->repeatable || ran_nowhere(s);
}

enum flow_step
flow_next(const struct flow_state *s, enum flow_end end,
    bool (*may_spend)(void *ctx), void *ctx)
{
	/* A try at which nothing was sent is no arrival: it costs nothing. */
	if (may_go_on(s, end) && (end == FLOW_UNREACHABLE || may_spend(ctx)))
		return s->begun ? FLOW_RESUME : FLOW_RETRY;
	if (s->begun)
		return FLOW_ABORT;
	if (end == FLOW_FAILURE)
		return FLOW_PASS;
	return ran_nowhere(s) ? FLOW_REFUSE : FLOW_FAIL;
}

double
flow_retry_after_s(double wait_s, double random)
{
	double spread = 1 - RETURN_SPREAD / 2 + RETURN_SPREAD * random;
	double s = (RETURN_BASE_S + wait_s) * spread;

	return s < RETURN_MAX_S ? s : RETURN_MAX_S;
}
