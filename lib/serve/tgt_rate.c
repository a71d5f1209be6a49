/* Rate limits of targets: the sidecar that issues permits, and reports to
 * it. */

#include <string.h>

#include "serve/tgt_internal.h"

#define SIDES_MAX 8

struct ranked_side {
	const struct tgt *t;
	uint64_t hash;
};

/* Inserts `one` into the `most` best, best first; returns their number. */
static size_t
insert_ranked(struct ranked_side *best, size_t n, size_t most,
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
		if (!tgt_side_is_alive(one.t, now_us))
			continue;
		one.hash = hash64(
		    seed, one.t->record.address, strlen(one.t->record.address));
		n = insert_ranked(best, n, most, &one);
	}
	for (i = 0; i < n; i++)
		out[i] = best[i].t;
	return n;
}

/*
 * The sidecar that issues permits for `t`: its own; where it has none, one of
 * all live sidecars, selected by rendezvous hashing so that all gateways select
 * the same. NULL while the target's own sidecar is not responding: other
 * gateways may still receive its reports, and a second pool would issue as many
 * permits again.
 */
static const struct tgt *
permit_issuer(struct tgt_set *s, const struct tgt *t, int64_t now_us)
{
	uint64_t seed = hash64(0, t->record.address, strlen(t->record.address));
	const struct tgt *best = NULL;

	if (t->side_report_us != 0)
		return tgt_side_is_alive(t, now_us) ? t : NULL;
	(void)tgt_sides(s, seed, now_us, &best, 1);
	return best;
}

bool
tgt_has_sides(struct tgt_set *s, int64_t now_us)
{
	const struct tgt_service *service;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, s->services);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		service = value;
		if (service->side_report_us != 0 &&
		    now_us - service->side_report_us <= TGT_SIDE_TIMEOUT_US)
			return true;
	}
	return false;
}

/* Whether any sidecar issues permits for `t`: cheaper than finding out
 * which. */
static bool
permits_are_issued(struct tgt_set *s, const struct tgt *t, int64_t now_us)
{
	if (t->side_report_us != 0)
		return tgt_side_is_alive(t, now_us);
	return tgt_has_sides(s, now_us);
}

static void
report_rate(struct tgt_set *s, const struct tgt *t, bool ask, int64_t now_us)
{
	const struct tgt *at;

	if (s->policy.report_rate == NULL)
		return;
	at = permit_issuer(s, t, now_us);
	if (at != NULL)
		s->policy.report_rate(t, at, ask, s->policy.rate_ctx);
}

bool
tgt_rate_answered(struct tgt_set *s, struct tgt *t, double limit,
    int64_t asked_us, int64_t now_us)
{
	bool changed = rate_answered(
	    &t->rate, limit, asked_us, tgt_side_is_alive(t, now_us), now_us);

	if (rate_needs_report(&t->rate))
		report_rate(s, t, false, now_us);
	return changed;
}

/*
 * An overloaded target states in its answers how many requests it takes from
 * all gateways together. If the limit is ignored, it falls further behind and
 * its callers wait. If each gateway applied the limit by itself, all together
 * would send a multiple of it. So a request is sent there only with a permit,
 * which one sidecar issues for all gateways; while that is not responding, in
 * this gateway's time slots.
 */
bool
tgt_rate_allows(struct tgt_set *s, const struct tgt *t, int64_t now_us)
{
	struct rate_share share = {
		.gateways = MAX(1, MAX(s->policy.gateways, s->policy.sharers)),
	};

	if (t->rate.limit == 0)
		return true;
	share.phase = tgt_unit_hash(
	    hash64(s->policy.seed, t->record.id, strlen(t->record.id)));
	return rate_allows(
	    &t->rate, permits_are_issued(s, t, now_us) ? NULL : &share, now_us);
}

void
tgt_ask_permit(struct tgt_set *s, struct tgt *t, int64_t now_us)
{
	if (rate_ask(&t->rate, now_us))
		report_rate(s, t, true, now_us);
}
