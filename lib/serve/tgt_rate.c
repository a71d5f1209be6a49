/* Rate limits of targets: who gives permits, and who is told. */

#include <string.h>

#include "serve/tgt_internal.h"

#define SIDES_MAX 8

struct ranked_side {
	const struct tgt *t;
	uint64_t hash;
};

/* Keeps the `most` best, best first. */
static size_t
rank_side(struct ranked_side *best, size_t n, size_t most,
    const struct ranked_side *one)
{
	size_t at = n;

	while (at > 0 && best[at - 1].hash < one->hash)
		at--;
	if (at == most)
		return n;
	if (n < most)
		n++;
	memmove(&best[at + 1], &best[at], (n - at - 1) * sizeof(best[0]));
	best[at] = *one;
	return n;
}

size_t
tgt_sides(struct tgt_set *s, uint64_t seed, int64_t now_us,
    const struct tgt *out[], size_t most)
{
	struct ranked_side best[SIDES_MAX], one;
	GHashTableIter iter;
	gpointer value;
	size_t n = 0, i;

	g_assert(most <= SIDES_MAX);
	g_hash_table_iter_init(&iter, s->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		one.t = value;
		if (!tgt_side_is_heard(one.t, now_us))
			continue;
		one.hash = hash64(
		    seed, one.t->says.address, strlen(one.t->says.address));
		n = rank_side(best, n, most, &one);
	}
	for (i = 0; i < n; i++)
		out[i] = best[i].t;
	return n;
}

/* The side that gives permits for `t`: its own; where it has none, one of all that
 * are heard, by rendezvous hashing, so that all entries find the same. NULL while
 * its own is silent: others may still hear that, and a second pool would give as
 * much again. */
static const struct tgt *
permits_at(struct tgt_set *s, const struct tgt *t, int64_t now_us)
{
	uint64_t seed = hash64(0, t->says.address, strlen(t->says.address));
	const struct tgt *best = NULL;

	if (t->side_us != 0)
		return tgt_side_is_heard(t, now_us) ? t : NULL;
	(void)tgt_sides(s, seed, now_us, &best, 1);
	return best;
}

/* Whether some side gives permits for `t`: cheaper than to find out which. */
static bool
permits_are_given(struct tgt_set *s, const struct tgt *t, int64_t now_us)
{
	const struct tgt_service *service;
	GHashTableIter iter;
	gpointer value;

	if (t->side_us != 0)
		return tgt_side_is_heard(t, now_us);
	g_hash_table_iter_init(&iter, s->services);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		service = value;
		if (service->side_us != 0 &&
		    now_us - service->side_us <= TGT_SIDE_SILENT_US)
			return true;
	}
	return false;
}

static void
tell_rate(struct tgt_set *s, const struct tgt *t, bool ask, int64_t now_us)
{
	const struct tgt *at;

	if (s->policy.tell_rate == NULL)
		return;
	at = permits_at(s, t, now_us);
	if (at != NULL)
		s->policy.tell_rate(t, at, ask, s->policy.rate_ctx);
}

bool
tgt_answered_rate(struct tgt_set *s, struct tgt *t, double limit,
    int64_t asked_us, int64_t now_us)
{
	bool changed = rate_answered(
	    &t->rate, limit, asked_us, tgt_side_is_heard(t, now_us), now_us);

	if (rate_is_news(&t->rate))
		tell_rate(s, t, false, now_us);
	return changed;
}

/*
 * A target in need names how many requests it takes from all entries together.
 * Passed over, it gets as many as before, falls further behind, and its callers
 * wait. Were each entry to hold to the limit, all together would send so many
 * times as much. So a request goes there only with a permit, which one side
 * gives for all entries; while that is silent, in this entry's turns.
 */
bool
tgt_rate_is_left(struct tgt_set *s, const struct tgt *t, int64_t now_us)
{
	struct rate_share share = { .entries = MAX(1, s->policy.entries) };

	if (t->rate.limit == 0)
		return true;
	share.phase =
	    tgt_part_of(hash64(s->policy.seed, t->says.id, strlen(t->says.id)));
	return rate_allows(
	    &t->rate, permits_are_given(s, t, now_us) ? NULL : &share, now_us);
}

void
tgt_ask_permit(struct tgt_set *s, struct tgt *t, int64_t now_us)
{
	if (rate_ask(&t->rate, now_us))
		tell_rate(s, t, true, now_us);
}
