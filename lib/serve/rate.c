/* A target's rate limit, as one entry holds to it. */

#include <math.h>
#include <stddef.h>

#include "serve/rate.h"

#define SECOND_US 1e6
/* After an answer of its own an entry believes that, and not what the side said
 * before it heard of it: a way there and back, and a lost datagram's repeat. */
#define SETTLE_US 300000
/* A permit that is not used by then has lapsed. Longer than the time between
 * two requests at an entry with traffic; what lapses is lost to the others. */
#define PERMIT_US 1000000
/* A question that was lost is asked again after this. */
#define ASK_AGAIN_US 200000
/*
 * Turns by the clock: in each period, entries / limit, an entry may send one
 * request, within a part of the period that is the shorter the more entries
 * there are. Were each to use its turn whenever the next request comes, after a
 * quiet time all would at once. So in any time no more turns are open than the
 * limit allows and these many.
 */
#define SHARE_BURST 2.0
/* Part of the limit that turns use: no entry knows when the others have theirs,
 * and by chance several fall together. */
#define SHARE_USED 0.6
#define SHARE_PART_MAX 0.5

uint64_t
rate_to_milli(double limit)
{
	return (uint64_t)fmin(round(limit * 1000), UINT32_MAX);
}

double
rate_of_milli(uint64_t milli)
{
	return (double)milli / 1000;
}

bool
rate_answered(struct rate *r, double limit, int64_t asked_us, bool side_heard,
    int64_t now_us)
{
	double before = r->limit;

	/* Answers overtake each other: one that names no limit may have been
	 * begun before the limit was. Only a request that was sent after the
	 * limit was last heard of tells that it has ended. */
	if (limit == 0 && asked_us <= r->own_us)
		return false;
	r->own = limit;
	r->own_us = limit > 0 ? now_us : asked_us;
	if (limit > 0 || !side_heard)
		r->limit = limit;
	return r->limit != before;
}

bool
rate_told(struct rate *r, double limit, int64_t now_us)
{
	double before = r->limit;

	r->side_knows = true;
	r->side_limit = limit;
	/* The side has not heard yet of what an answer said here. */
	if (limit == 0 && r->own > 0 && now_us - r->own_us < SETTLE_US)
		return false;
	r->limit = limit;
	return limit != before;
}

bool
rate_heard(struct rate *r, double limit)
{
	if (r->own_us != 0 || limit == r->limit)
		return false;
	r->limit = limit;
	return true;
}

bool
rate_is_news(const struct rate *r)
{
	return r->own_us != 0 && r->own != (r->side_knows ? r->side_limit : 0);
}

static bool
is_in_turn(const struct rate *r, const struct rate_share *share, int64_t now_us)
{
	double period_us = share->entries * SECOND_US / (r->limit * SHARE_USED);
	double part = fmin(SHARE_PART_MAX, SHARE_BURST / share->entries);
	double at_us =
	    fmod((double)now_us + share->phase * period_us, period_us);

	if (at_us >= part * period_us)
		return false;
	return r->sent_us == 0 ||
	    (double)(now_us - r->sent_us) >= period_us / 2;
}

bool
rate_allows(
    const struct rate *r, const struct rate_share *share, int64_t now_us)
{
	if (r->limit == 0 || now_us < r->permit_us)
		return true;
	return share != NULL && is_in_turn(r, share, now_us);
}

void
rate_sent(struct rate *r, int64_t now_us)
{
	r->sent_us = now_us;
	r->permit_us = 0;
}

bool
rate_ask(struct rate *r, int64_t now_us)
{
	if (r->limit == 0 || now_us < r->permit_us)
		return false;
	if (r->asked_us != 0 && now_us - r->asked_us < ASK_AGAIN_US)
		return false;
	r->asked_us = now_us;
	return true;
}

void
rate_permit(struct rate *r, int64_t now_us)
{
	r->permit_us = now_us + PERMIT_US;
	r->asked_us = 0;
}
