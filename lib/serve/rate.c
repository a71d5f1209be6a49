/* A target's rate limit, as one gateway applies it. */

#include <math.h>
#include <stddef.h>

#include "serve/rate.h"

#define SECOND_US 1e6
/* For this long after an answer to it, a gateway trusts the answer over the
 * sidecar's reports, which may predate it: one round trip and the retry of a
 * lost datagram. */
#define REPORT_DELAY_US 300000
/* An unused permit expires after this. Longer than the time between two
 * requests at a gateway with traffic; an expired permit is lost to the
 * others. */
#define PERMIT_LIFETIME_US 1000000
/* A request for a permit without an answer is repeated after this. */
#define PERMIT_RETRY_US 200000
/*
 * Time slots: in each period of gateways / limit seconds a gateway may send one
 * request, within a part of the period that is shorter the more gateways there
 * are. If each could use its slot whenever its next request arrives, all would
 * send at once after a quiet time. So the number of slots open at any time is
 * bounded by the limit and this burst.
 */
#define SLOT_BURST 2.0
/* Share of the limit that time slots use: no gateway knows when the others
 * have theirs, and by chance several coincide. */
#define SLOT_LIMIT_SHARE 0.6
#define SLOT_PERIOD_SHARE_MAX 0.5

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
rate_answered(struct rate *r, double limit, int64_t asked_us, bool side_alive,
    int64_t now_us)
{
	double before = r->limit;

	/* Answers may arrive out of order: one without a limit may have
	 * begun before the limit was set. Only a request that was sent after
	 * the limit was last stated shows that it has ended. */
	if (limit == 0 && asked_us <= r->local_us)
		return false;
	r->local_limit = limit;
	r->local_us = limit > 0 ? now_us : asked_us;
	if (limit > 0 || !side_alive)
		r->limit = limit;
	return r->limit != before;
}

bool
rate_side_reported(struct rate *r, double limit, int64_t now_us)
{
	double before = r->limit;

	r->side_known = true;
	r->side_limit = limit;
	/* The sidecar does not know yet of the limit that an answer stated
	 * to this gateway. */
	if (limit == 0 && r->local_limit > 0 &&
	    now_us - r->local_us < REPORT_DELAY_US)
		return false;
	r->limit = limit;
	return limit != before;
}

bool
rate_relayed(struct rate *r, double limit)
{
	if (r->local_us != 0 || limit == r->limit)
		return false;
	r->limit = limit;
	return true;
}

bool
rate_needs_report(const struct rate *r)
{
	return r->local_us != 0 &&
	    r->local_limit != (r->side_known ? r->side_limit : 0);
}

static bool
is_in_time_slot(
    const struct rate *r, const struct rate_share *share, int64_t now_us)
{
	double period_us =
	    share->gateways * SECOND_US / (r->limit * SLOT_LIMIT_SHARE);
	double open_share =
	    fmin(SLOT_PERIOD_SHARE_MAX, SLOT_BURST / share->gateways);
	double at_us =
	    fmod((double)now_us + share->phase * period_us, period_us);

	if (at_us >= open_share * period_us)
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
	return share != NULL && is_in_time_slot(r, share, now_us);
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
	if (r->asked_us != 0 && now_us - r->asked_us < PERMIT_RETRY_US)
		return false;
	r->asked_us = now_us;
	return true;
}

void
rate_permit(struct rate *r, int64_t now_us)
{
	r->permit_us = now_us + PERMIT_LIFETIME_US;
	r->asked_us = 0;
}
