/* What becomes of a request when an attempt has ended. */

#include "serve/flow.h"

static bool
ran_nowhere(const struct flow_state *s)
{
	return !s->may_have_run;
}

static bool
may_go_on(const struct flow_state *s, enum flow_end end)
{
	if (!s->time || s->tries >= s->attempts + FLOW_REFUSALS_MAX)
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
		return s->begun ? FLOW_RESUME : FLOW_AGAIN;
	if (s->begun)
		return FLOW_BREAK;
	if (end == FLOW_FAILURE)
		return FLOW_PASS;
	return ran_nowhere(s) ? FLOW_REFUSE : FLOW_FAIL;
}
