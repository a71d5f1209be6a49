/* Choice of a target for a request. */

#include <string.h>

#include "route/fleet_internal.h"

/* A target of another domain is preferred only if its load is lower by this
 * share of its slots, in permille: a hop between domains is short, but each has
 * a cost. */
#define REMOTE_PENALTY 100
/* A cached prefix saves the prefill, which justifies a more loaded target but
 * not waiting for one: the load of a full target counts twice. */
#define PREFIX_BONUS 400
#define LOAD_FULL 1000
/* Random draws before all candidates are scanned. */
#define MAX_DRAWS 12
#define ROOTS_MAX 256 /* versions of a model */

/* A target is considered stalled when it has sent no response data for this
 * multiple of the usual time to the first data plus a minimum: a connection can
 * stall without closing. */
#define STALL_FACTOR 4
#define STALL_MIN_US (500 * 1000)

/* The groups that a target is chosen from. */
struct candidates {
	struct rt_group *group[ROOTS_MAX];
	size_t ngroups;
	guint targets;
};

static bool
was_tried(const struct rt_target *target, const struct rt_criteria *criteria)
{
	size_t i;

	for (i = 0; i < criteria->ntried; i++) {
		if (criteria->tried[i] == target)
			return true;
	}
	return false;
}

/* For how long it has owed response data; 0: it does not. */
static int64_t
unanswered_us(const struct rt_target *target, int64_t now_us)
{
	return target->unanswered == 0 ? 0
				       : now_us - target->unanswered_since_us;
}

/*
 * Requests without response data occupy slots of a stalled target, and more
 * would join them until their deadlines expire. No request is sent to it until
 * response data arrives or a request ends, as long as there is another target.
 */
static bool
is_stalled(const struct rt_target *target, int64_t now_us)
{
	const struct est_time *first = &target->group->first;
	int64_t timeout_us =
	    STALL_FACTOR * est_time_high(first, first->updated_us) +
	    STALL_MIN_US;

	return first->known && unanswered_us(target, now_us) > timeout_us;
}

/* Whether a target that is avoided as silent may be chosen. */
static bool
may_be_sound(const struct rt_target *target, int64_t now_us)
{
	return target->backoff_is_silence &&
	    (target->silent_since_us == 0 ||
		now_us - target->silent_since_us < RT_SILENT_MAX_US);
}

/* Whether the target is as silent as the first one, found so or not yet. */
static bool
is_silent(const struct rt_target *target, int64_t limit_us, int64_t now_us)
{
	return (target->found_silent_us != 0 &&
		   now_us - target->found_silent_us < RT_SILENT_MAX_US / 2) ||
	    unanswered_us(target, now_us) >= limit_us;
}

static bool
is_usable(const struct rt_target *target, const struct rt_criteria *criteria,
    int64_t now_us)
{
	if (criteria->silent_limit_us > 0 &&
	    is_silent(target, criteria->silent_limit_us, now_us))
		return false;
	return target->reachable && target->accepting &&
	    (target->backoff_until_us <= now_us ||
		(criteria->silent && may_be_sound(target, now_us))) &&
	    !was_tried(target, criteria);
}

static bool
is_allowed_version(
    const struct rt_target *target, const struct rt_criteria *criteria)
{
	size_t i;

	if (criteria->kind == RT_SERVICE)
		return true;
	for (i = 0; i < criteria->nroots; i++) {
		if (digest_equal(&target->loaded, &criteria->roots[i]))
			return true;
	}
	return false;
}

bool
rt_target_eligible(const struct rt_target *target,
    const struct rt_criteria *criteria, int64_t now_us)
{
	return target->kind == criteria->kind &&
	    strcmp(target->workspace, criteria->workspace) == 0 &&
	    strcmp(target->pool, criteria->pool) == 0 &&
	    strcmp(target->service, criteria->service) == 0 &&
	    is_allowed_version(target, criteria) &&
	    is_usable(target, criteria, now_us);
}

/* Estimated load in permille of the slots. */
static uint64_t
load_of(const struct rt_target *target, const struct rt_criteria *criteria,
    int64_t now_us)
{
	uint64_t running = rt_target_running(target, now_us);
	uint64_t load = running * LOAD_FULL / MAX(target->slots, 1);

	if (load >= LOAD_FULL)
		load *= 2;
	if (strcmp(target->domain, criteria->domain) != 0)
		load += REMOTE_PENALTY;
	return load;
}

/* ------------------------------------------------------------------ */
/* Two random targets                                                  */
/* ------------------------------------------------------------------ */

static void
add_group(struct candidates *candidates, struct rt_fleet *fleet,
    const struct rt_criteria *criteria, const struct digest *root)
{
	struct rt_group *group = rt_group_find(fleet, criteria, root);

	if (group == NULL || candidates->ngroups == ROOTS_MAX)
		return;
	candidates->group[candidates->ngroups++] = group;
	candidates->targets += group->targets->len;
}

static struct rt_target *
target_at(const struct candidates *candidates, uint64_t i)
{
	size_t g;

	for (g = 0; i >= candidates->group[g]->targets->len; g++)
		i -= candidates->group[g]->targets->len;
	return candidates->group[g]->targets->pdata[i];
}

/* Scans all candidates; each usable one is equally likely to be among the two
 * that are returned. Stalled targets are included only if `stalled` is set. */
static size_t
scan(const struct candidates *candidates, const struct rt_criteria *criteria,
    int64_t now_us, struct rng *rng, bool stalled, struct rt_target *out[2])
{
	struct rt_target *t;
	uint64_t nusable = 0, at;
	guint i;

	for (i = 0; i < candidates->targets; i++) {
		t = target_at(candidates, i);
		if (!is_usable(t, criteria, now_us) ||
		    (!stalled && is_stalled(t, now_us)))
			continue;
		nusable++;
		at = nusable <= 2 ? nusable - 1 : rng_below(rng, nusable);
		if (at < 2)
			out[at] = t;
	}
	return (size_t)MIN(nusable, 2);
}

static size_t
draw_two(const struct candidates *candidates,
    const struct rt_criteria *criteria, int64_t now_us, struct rng *rng,
    struct rt_target *out[2])
{
	struct rt_target *t;
	size_t n = 0, i;

	for (i = 0; i < MAX_DRAWS && n < 2 && candidates->targets > 2; i++) {
		t = target_at(candidates, rng_below(rng, candidates->targets));
		if (is_usable(t, criteria, now_us) && !is_stalled(t, now_us) &&
		    (n == 0 || out[0] != t))
			out[n++] = t;
	}
	if (n < 2)
		n = scan(candidates, criteria, now_us, rng, false, out);
	return n > 0 ? n : scan(candidates, criteria, now_us, rng, true, out);
}

/* ------------------------------------------------------------------ */
/* Targets with the prefix cached                                      */
/* ------------------------------------------------------------------ */

static bool
is_candidate(
    const struct candidates *candidates, const struct rt_target *target)
{
	size_t g;

	for (g = 0; g < candidates->ngroups; g++) {
		if (target->group == candidates->group[g])
			return true;
	}
	return false;
}

static struct rt_target *
choose_in(struct rt_fleet *fleet, const struct candidates *candidates,
    const struct rt_criteria *criteria, int64_t now_us, struct rng *rng)
{
	struct rt_target *drawn[2], *holders[PREFIX_HOLDERS], *best = NULL;
	size_t n = draw_two(candidates, criteria, now_us, rng, drawn),
	       nholders = 0, i;
	uint64_t load, least = UINT64_MAX;

	if (n == 0)
		return NULL;
	for (i = 0; i < n; i++) {
		load = load_of(drawn[i], criteria, now_us) + PREFIX_BONUS;
		if (load < least) {
			best = drawn[i];
			least = load;
		}
	}
	if (criteria->prefix != 0)
		nholders = prefix_map_holders(
		    fleet->prefixes, criteria->prefix, now_us, holders);
	for (i = 0; i < nholders; i++) {
		if (!is_candidate(candidates, holders[i]) ||
		    !is_usable(holders[i], criteria, now_us) ||
		    is_stalled(holders[i], now_us))
			continue;
		load = load_of(holders[i], criteria, now_us);
		if (load < least) {
			best = holders[i];
			least = load;
		}
	}
	return best;
}

static struct rt_target *
choose(struct rt_fleet *fleet, const struct rt_criteria *criteria,
    int64_t now_us, struct rng *rng)
{
	struct candidates candidates = { .ngroups = 0 };
	struct rt_target *target = NULL;
	size_t i;

	if (criteria->kind == RT_SERVICE) {
		add_group(&candidates, fleet, criteria, NULL);
		return choose_in(fleet, &candidates, criteria, now_us, rng);
	}
	for (i = 0; i < criteria->nroots && target == NULL; i++) {
		add_group(&candidates, fleet, criteria, &criteria->roots[i]);
		if (!criteria->ranked && i + 1 < criteria->nroots)
			continue;
		target = choose_in(fleet, &candidates, criteria, now_us, rng);
	}
	return target;
}

struct rt_target *
rt_choose(struct rt_fleet *fleet, const struct rt_criteria *criteria,
    int64_t now_us, struct rng *rng)
{
	struct rt_criteria with_silent = *criteria;
	struct rt_target *target = choose(fleet, criteria, now_us, rng);

	if (target != NULL || criteria->silent_limit_us > 0)
		return target;
	with_silent.silent = true;
	return choose(fleet, &with_silent, now_us, rng);
}

int64_t
rt_backoff_ends_us(
    struct rt_fleet *fleet, const struct rt_criteria *criteria, int64_t now_us)
{
	struct candidates candidates = { .ngroups = 0 };
	const struct rt_target *t;
	int64_t first = 0;
	size_t i;

	if (criteria->kind == RT_SERVICE)
		add_group(&candidates, fleet, criteria, NULL);
	for (i = 0; criteria->kind == RT_ENGINE && i < criteria->nroots; i++)
		add_group(&candidates, fleet, criteria, &criteria->roots[i]);
	for (i = 0; i < candidates.targets; i++) {
		t = target_at(&candidates, i);
		if (!t->reachable || !t->accepting ||
		    t->backoff_until_us <= now_us)
			continue;
		if (first == 0 || t->backoff_until_us < first)
			first = t->backoff_until_us;
	}
	return first;
}
