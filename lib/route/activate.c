/* Selection of the next load order for a target. */

#include "route/activate.h"

#define BACKOFF_MIN_MS 2000
#define BACKOFF_MAX_MS 60000

static enum act_step
drained_step(const struct act_target *t)
{
	/* The version is loaded, or the load failed and the old version is
	 * still there: there is no reason to keep the target drained. A new
	 * holder of the role also finds this when the former one died between
	 * the drain and the load. */
	if (t->loaded || t->in_backoff || !t->complete)
		return ACT_ADMIT;
	return t->running > 0 ? ACT_NONE : ACT_LOAD;
}

enum act_step
act_next(const struct act_rules *rules, const struct act_target *t)
{
	if (!t->reachable || t->order_pending)
		return ACT_NONE;
	if (t->drain_ordered)
		return drained_step(t);
	if (t->loaded || t->in_backoff)
		return ACT_NONE;
	if (!t->complete)
		return ACT_QUERY;
	if (rules->room_for_two || t->empty)
		return ACT_LOAD;
	return rules->unavailable < rules->max_unavailable ? ACT_DRAIN
							   : ACT_NONE;
}

unsigned int
act_backoff_ms(unsigned int failures)
{
	unsigned int ms = BACKOFF_MIN_MS;

	g_assert(failures > 0);
	while (--failures > 0 && ms < BACKOFF_MAX_MS)
		ms *= 2;
	return MIN(ms, BACKOFF_MAX_MS);
}
