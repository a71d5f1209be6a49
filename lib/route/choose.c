/* Choice of a target. */

#include <string.h>

#include "route/route.h"

/* A target of another domain must be emptier by this share of its slots, in
 * percent, before it is preferred: the hop is short, but each one costs. */
#define REMOTE_PENALTY_PCT 10

static bool
was_tried(const struct rt_target *target, const struct rt_wish *wish)
{
	size_t i;

	for (i = 0; i < wish->ntried; i++) {
		if (wish->tried[i] == target)
			return true;
	}
	return false;
}

static bool
has_allowed_version(const struct rt_target *target, const struct rt_wish *wish)
{
	size_t i;

	for (i = 0; i < wish->nroots; i++) {
		if (digest_equal(&target->loaded, &wish->roots[i]))
			return true;
	}
	return false;
}

bool
rt_may_use(
    const struct rt_target *target, const struct rt_wish *wish, int64_t now_us)
{
	if (!target->reachable || !target->accepting ||
	    target->resting_until_us > now_us)
		return false;
	if (strcmp(target->team, wish->team) != 0 || was_tried(target, wish))
		return false;
	if (strcmp(target->pool, wish->pool) != 0)
		return false;
	if (wish->service != NULL) {
		return target->kind == RT_SERVICE &&
		    strcmp(target->service, wish->service) == 0;
	}
	return target->kind == RT_ENGINE && has_allowed_version(target, wish);
}

/* Estimated load in thousandths of the slots. */
static uint64_t
load_of(const struct rt_target *target, const struct rt_wish *wish)
{
	uint64_t running =
	    MAX(target->told_running + target->sent_since, target->own_running);
	uint64_t load = running * 1000 / MAX(target->slots, 1);

	if (strcmp(target->domain, wish->domain) != 0)
		load += REMOTE_PENALTY_PCT * 10;
	return load;
}

/* The i-th usable target in list order. */
static struct rt_target *
usable_at(const struct rt_targets *targets, const struct rt_wish *wish,
    int64_t now_us, uint64_t i)
{
	struct rt_target *t;

	TAILQ_FOREACH (t, targets, link) {
		if (rt_may_use(t, wish, now_us) && i-- == 0)
			return t;
	}
	return NULL;
}

struct rt_target *
rt_choose(const struct rt_targets *targets, const struct rt_wish *wish,
    int64_t now_us, struct rng *rng)
{
	struct rt_target *t, *a, *b;
	uint64_t n = 0, first, second;

	TAILQ_FOREACH (t, targets, link) {
		if (rt_may_use(t, wish, now_us))
			n++;
	}
	if (n == 0)
		return NULL;
	first = rng_below(rng, n);
	a = usable_at(targets, wish, now_us, first);
	if (n == 1)
		return a;
	second = rng_below(rng, n - 1);
	if (second >= first)
		second++;
	b = usable_at(targets, wish, now_us, second);
	return load_of(a, wish) <= load_of(b, wish) ? a : b;
}
