/* A target's rate limit. */

#include "serve/rate.h"

bool
rate_answered(struct rate *r, double limit, int64_t asked_us, int64_t now_us)
{
	double before = r->limit;

	/* Answers overtake each other: one that names no limit may have been
	 * begun before the limit was. Only a request that was sent after the
	 * limit was last heard of tells that it has ended. */
	if (limit == 0 && asked_us <= r->named_us)
		return false;
	if (limit > 0)
		r->named_us = now_us;
	r->limit = limit;
	return limit != before;
}
