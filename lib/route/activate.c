/* Which order a target gets next. */

#include "route/activate.h"

#define REST_FIRST_MS 2000
#define REST_MOST_MS 60000

static enum act_step
drained_step(const struct act_target *t)
{
	/* Loaded, or the load failed and the old version serves on: the
	 * target is not kept from work for nothing. Also what a new holder
	 * of the role finds when the former one died in between. */
	if (t->loaded || t->resting || !t->whole)
		return ACT_ADMIT;
	return t->running > 0 ? ACT_NONE : ACT_LOAD;
}

enum act_step
act_next(const struct act_rules *rules, const struct act_target *t)
{
	if (!t->reachable || t->order_open)
		return ACT_NONE;
	if (t->ordered_off)
		return drained_step(t);
	if (t->loaded || t->resting)
		return ACT_NONE;
	if (!t->whole)
		return ACT_ASK;
	if (rules->room_for_two || t->empty)
		return ACT_LOAD;
	return rules->unavailable < rules->max_unavailable ? ACT_DRAIN
							   : ACT_NONE;
}

unsigned int
act_rest_ms(unsigned int failures)
{
	unsigned int ms = REST_FIRST_MS;

	g_assert(failures > 0);
	while (--failures > 0 && ms < REST_MOST_MS)
		ms *= 2;
	return MIN(ms, REST_MOST_MS);
}
