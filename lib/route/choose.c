/* Choice of a target. */

#include <string.h>

#include "route/fleet_internal.h"

/* A target of another domain must be emptier by this share of its slots, in
 * permille, before it is preferred: the hop is short, but each one costs. */
#define REMOTE_PENALTY 100
/* A held prefix saves the prefill, which is worth a fuller target but not a
 * wait: one that is full counts as twice as full. */
#define PREFIX_BONUS 400
#define FULL 1000
/* Draws before all targets of a wish are looked at one by one. */
#define DRAWS 12
#define ROOTS_MAX 256 /* versions a model may have */

/* A target that owes a first sign for this many times the usual time, and at
 * least so long, is taken to be stuck: links stall without closing. */
#define SILENT_TIMES 4
#define SILENT_LEAST_US (500 * 1000)

/* The groups a choice is drawn from. */
struct field {
	struct rt_group *group[ROOTS_MAX];
	size_t ngroups;
	guint targets;
};

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

/*
 * Requests that got no sign hold their slots there, and more would follow
 * them until the deadlines pass: none is sent until one gives a sign or ends,
 * as long as there is another target.
 */
static bool
is_silent(const struct rt_target *target, int64_t now_us)
{
	const struct est_time *first = &target->group->first;
	int64_t patience_us =
	    SILENT_TIMES * est_time_high(first, first->seen_us) +
	    SILENT_LEAST_US;

	return target->unheard > 0 && first->known &&
	    now_us - target->unheard_since_us > patience_us;
}

static bool
is_usable(
    const struct rt_target *target, const struct rt_wish *wish, int64_t now_us)
{
	return target->reachable && target->accepting &&
	    target->resting_until_us <= now_us && !was_tried(target, wish);
}

static bool
is_allowed_version(const struct rt_target *target, const struct rt_wish *wish)
{
	size_t i;

	if (wish->kind == RT_SERVICE)
		return true;
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
	return target->kind == wish->kind &&
	    strcmp(target->team, wish->team) == 0 &&
	    strcmp(target->pool, wish->pool) == 0 &&
	    strcmp(target->service, wish->service) == 0 &&
	    is_allowed_version(target, wish) && is_usable(target, wish, now_us);
}

/* Estimated load in permille of the slots. */
static uint64_t
load_of(
    const struct rt_target *target, const struct rt_wish *wish, int64_t now_us)
{
	uint64_t running = rt_target_running(target, now_us);
	uint64_t load = running * FULL / MAX(target->slots, 1);

	if (load >= FULL)
		load *= 2;
	if (strcmp(target->domain, wish->domain) != 0)
		load += REMOTE_PENALTY;
	return load;
}

/* ------------------------------------------------------------------ */
/* Two at random                                                       */
/* ------------------------------------------------------------------ */

static void
add_group(struct field *field, struct rt_fleet *fleet,
    const struct rt_wish *wish, const struct digest *root)
{
	struct rt_group *group = rt_group_find(fleet, wish, root);

	if (group == NULL || field->ngroups == ROOTS_MAX)
		return;
	field->group[field->ngroups++] = group;
	field->targets += group->targets->len;
}

static struct rt_target *
target_at(const struct field *field, uint64_t i)
{
	size_t g;

	for (g = 0; i >= field->group[g]->targets->len; g++)
		i -= field->group[g]->targets->len;
	return field->group[g]->targets->pdata[i];
}

/* All usable ones looked at: each has the same chance to be among the two.
 * Silent ones only when there is no other. */
static size_t
scan(const struct field *field, const struct rt_wish *wish, int64_t now_us,
    struct rng *rng, bool silent, struct rt_target *out[2])
{
	struct rt_target *t;
	uint64_t seen = 0, at;
	guint i;

	for (i = 0; i < field->targets; i++) {
		t = target_at(field, i);
		if (!is_usable(t, wish, now_us) ||
		    (!silent && is_silent(t, now_us)))
			continue;
		seen++;
		at = seen <= 2 ? seen - 1 : rng_below(rng, seen);
		if (at < 2)
			out[at] = t;
	}
	return (size_t)MIN(seen, 2);
}

static size_t
draw_two(const struct field *field, const struct rt_wish *wish, int64_t now_us,
    struct rng *rng, struct rt_target *out[2])
{
	struct rt_target *t;
	size_t n = 0, i;

	for (i = 0; i < DRAWS && n < 2 && field->targets > 2; i++) {
		t = target_at(field, rng_below(rng, field->targets));
		if (is_usable(t, wish, now_us) && !is_silent(t, now_us) &&
		    (n == 0 || out[0] != t))
			out[n++] = t;
	}
	if (n < 2)
		n = scan(field, wish, now_us, rng, false, out);
	return n > 0 ? n : scan(field, wish, now_us, rng, true, out);
}

/* ------------------------------------------------------------------ */
/* With the holders of the prefix                                      */
/* ------------------------------------------------------------------ */

static bool
is_in(const struct field *field, const struct rt_target *target)
{
	size_t g;

	for (g = 0; g < field->ngroups; g++) {
		if (target->group == field->group[g])
			return true;
	}
	return false;
}

static struct rt_target *
choose_in(struct rt_fleet *fleet, const struct field *field,
    const struct rt_wish *wish, int64_t now_us, struct rng *rng)
{
	struct rt_target *two[2], *holders[PREFIX_HOLDERS], *best = NULL;
	size_t n = draw_two(field, wish, now_us, rng, two), nholders = 0, i;
	uint64_t load, least = UINT64_MAX;

	if (n == 0)
		return NULL;
	for (i = 0; i < n; i++) {
		load = load_of(two[i], wish, now_us) + PREFIX_BONUS;
		if (load < least) {
			best = two[i];
			least = load;
		}
	}
	if (wish->prefix != 0)
		nholders = prefix_map_holders(
		    fleet->prefixes, wish->prefix, now_us, holders);
	for (i = 0; i < nholders; i++) {
		if (!is_in(field, holders[i]) ||
		    !is_usable(holders[i], wish, now_us) ||
		    is_silent(holders[i], now_us))
			continue;
		load = load_of(holders[i], wish, now_us);
		if (load < least) {
			best = holders[i];
			least = load;
		}
	}
	return best;
}

struct rt_target *
rt_choose(struct rt_fleet *fleet, const struct rt_wish *wish, int64_t now_us,
    struct rng *rng)
{
	struct field field = { .ngroups = 0 };
	struct rt_target *target = NULL;
	size_t i;

	if (wish->kind == RT_SERVICE) {
		add_group(&field, fleet, wish, NULL);
		return choose_in(fleet, &field, wish, now_us, rng);
	}
	for (i = 0; i < wish->nroots && target == NULL; i++) {
		add_group(&field, fleet, wish, &wish->roots[i]);
		if (!wish->ranked && i + 1 < wish->nroots)
			continue;
		target = choose_in(fleet, &field, wish, now_us, rng);
	}
	return target;
}

int64_t
rt_rest_ends_us(
    struct rt_fleet *fleet, const struct rt_wish *wish, int64_t now_us)
{
	struct field field = { .ngroups = 0 };
	const struct rt_target *t;
	int64_t first = 0;
	size_t i;

	if (wish->kind == RT_SERVICE)
		add_group(&field, fleet, wish, NULL);
	for (i = 0; wish->kind == RT_ENGINE && i < wish->nroots; i++)
		add_group(&field, fleet, wish, &wish->roots[i]);
	for (i = 0; i < field.targets; i++) {
		t = target_at(&field, i);
		if (!t->reachable || !t->accepting ||
		    t->resting_until_us <= now_us)
			continue;
		if (first == 0 || t->resting_until_us < first)
			first = t->resting_until_us;
	}
	return first;
}
