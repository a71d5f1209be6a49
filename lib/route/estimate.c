/* Decaying estimates of durations and dequeue rates. */

#include "route/estimate.h"

/* A sample moves the mean by an eighth and the deviation by a quarter of the
 * error, as in the round-trip time estimate of TCP. */
#define MEAN_DIVISOR 8
#define DEV_DIVISOR 4
#define DEVIATIONS 2 /* between the mean and a low or high value */
#define HALF_LIFE_US (5 * G_USEC_PER_SEC) /* while no sample arrives */
#define HALVINGS_MAX 30 /* more would shift all bits out */

/* A window ends after WINDOW_MIN_US with WINDOW_MIN_STARTS starts, or after
 * WINDOW_MAX_US with any number, so that the rate of a slow queue is not
 * computed from one or two starts. */
#define WINDOW_MIN_US (G_USEC_PER_SEC / 4)
#define WINDOW_MIN_STARTS 8
#define WINDOW_MAX_US (2 * G_USEC_PER_SEC)
#define MILLI_US (1000ULL * G_USEC_PER_SEC)

/* ------------------------------------------------------------------ */
/* Durations                                                           */
/* ------------------------------------------------------------------ */

void
est_time_add(struct est_time *e, int64_t sample_us, int64_t now_us)
{
	int64_t error = sample_us - e->mean_us;

	if (e->known) {
		e->mean_us += error / MEAN_DIVISOR;
		e->dev_us += (ABS(error) - e->dev_us) / DEV_DIVISOR;
	} else {
		e->mean_us = sample_us;
		e->dev_us = sample_us / 2;
		e->known = true;
	}
	e->updated_us = now_us;
}

static int64_t
decay(const struct est_time *e, int64_t value_us, int64_t now_us)
{
	int64_t halvings = MAX(now_us - e->updated_us, 0) / HALF_LIFE_US;

	return MAX(value_us, 0) >> MIN(halvings, HALVINGS_MAX);
}

int64_t
est_time_mean(const struct est_time *e, int64_t now_us)
{
	return decay(e, e->mean_us, now_us);
}

int64_t
est_time_low(const struct est_time *e, int64_t now_us)
{
	return decay(e, e->mean_us - DEVIATIONS * e->dev_us, now_us);
}

int64_t
est_time_high(const struct est_time *e, int64_t now_us)
{
	return decay(e, e->mean_us + DEVIATIONS * e->dev_us, now_us);
}

/* ------------------------------------------------------------------ */
/* Rates                                                               */
/* ------------------------------------------------------------------ */

void
est_rate_begin(struct est_rate *e, uint64_t initial, int64_t now_us)
{
	if (initial > 0)
		e->milli_s = initial;
	e->busy = true;
	e->window_start_us = now_us;
	e->last_start_us = now_us;
	e->starts = 0;
	e->cost = 0;
}

void
est_rate_end(struct est_rate *e)
{
	e->busy = false;
}

static bool
window_is_over(const struct est_rate *e, int64_t elapsed_us)
{
	if (elapsed_us < WINDOW_MIN_US)
		return false;
	return e->starts >= WINDOW_MIN_STARTS || elapsed_us >= WINDOW_MAX_US;
}

void
est_rate_start(struct est_rate *e, unsigned int cost, int64_t now_us)
{
	int64_t elapsed_us = now_us - e->window_start_us;
	uint64_t measured;

	if (!e->busy)
		return;
	e->starts++;
	e->cost += cost;
	e->last_start_us = now_us;
	if (!window_is_over(e, elapsed_us))
		return;
	measured = e->cost * MILLI_US / (uint64_t)elapsed_us;
	e->milli_s = e->milli_s == 0 ? measured : (e->milli_s + measured) / 2;
	e->window_start_us = now_us;
	e->starts = 0;
	e->cost = 0;
}

uint64_t
est_rate_now(const struct est_rate *e, uint64_t running, int64_t now_us)
{
	int64_t idle_us = now_us - e->last_start_us;
	uint64_t bound;

	if (!e->busy || idle_us < WINDOW_MIN_US)
		return e->milli_s;
	/* When the targets are frozen, no request starts and no window ends,
	 * so the time since the last start bounds the rate. Requests that
	 * started together may end together, and the same cost then starts at
	 * once; hence `running` in the bound. */
	bound = MAX(running, 1) * MILLI_US / (uint64_t)idle_us;
	return e->milli_s == 0 ? bound : MIN(e->milli_s, bound);
}
