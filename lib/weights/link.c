/* Token buckets for the two directions of the host's link. */

#include <glib.h>

#include "weights/link.h"

/* Timers fire up to some milliseconds late on a busy host. The saved-up budget
 * compensates for this and is too small to be noticed on a link. */
#define BURST_US 20000
/* Live traffic delays weights by at most this time. */
#define LIVE_DEBT_MAX_US 250000
#define SECOND_US 1000000

void
bucket_init(struct bucket *b, uint64_t rate, int64_t now_us)
{
	g_assert(rate > 0);
	*b = (struct bucket){
		.rate = rate,
		.burst = rate / (SECOND_US / BURST_US),
		.updated_us = now_us,
	};
}

static void
refill(struct bucket *b, int64_t now_us)
{
	/* After this time the bucket is full in any case; the bound also
	 * prevents an overflow in the multiplication below. */
	int64_t passed = MIN(now_us - b->updated_us, 600 * (int64_t)SECOND_US);
	int64_t added;

	if (passed <= 0)
		return;
	added = (int64_t)((double)passed * (double)b->rate / SECOND_US);
	b->tokens = MIN(b->tokens + added, (int64_t)b->burst);
	/* Advances only by the time that the added whole bytes represent;
	 * otherwise frequent calls at a low rate would always add zero
	 * bytes. */
	if (b->tokens < (int64_t)b->burst)
		b->updated_us +=
		    (int64_t)((double)added * SECOND_US / (double)b->rate);
	else
		b->updated_us = now_us;
}

void
bucket_take(struct bucket *b, uint64_t bytes, int64_t now_us)
{
	refill(b, now_us);
	b->tokens -= (int64_t)bytes;
}

void
bucket_take_live(struct bucket *b, uint64_t bytes, int64_t now_us)
{
	int64_t max_debt = (int64_t)(b->rate / (SECOND_US / LIVE_DEBT_MAX_US));

	refill(b, now_us);
	if (b->tokens > -max_debt)
		b->tokens = MAX(b->tokens - (int64_t)bytes, -max_debt);
}

int64_t
bucket_debt_us(struct bucket *b, int64_t now_us)
{
	refill(b, now_us);
	if (b->tokens >= 0)
		return 0;
	return (int64_t)((double)-b->tokens * SECOND_US / (double)b->rate) + 1;
}

int64_t
bucket_ready_us(struct bucket *b, int64_t now_us)
{
	return now_us + bucket_debt_us(b, now_us);
}
