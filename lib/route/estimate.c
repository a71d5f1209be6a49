/* Estimates that admission decides by. */

#include "route/estimate.h"

#define GAIN 8 /* a sample moves the mean by an eighth, as TCP's RTT does */
#define DEV_GAIN 4
#define SPREAD 2 /* deviations between the mean and a low or high value */
#define FADE_US (5 * G_USEC_PER_SEC) /* halved for each time without samples */
#define FADE_MOST 30 /* halvings; more would shift everything out */

/* A window has at least so many starts or lasts so long, so that slow lanes
 * are not measured by one or two. */
#define WINDOW_US (G_USEC_PER_SEC / 4)
#define WINDOW_STARTS 8
#define WINDOW_LONGEST_US (2 * G_USEC_PER_SEC)
#define MILLI_US (1000ULL * G_USEC_PER_SEC)

/* ------------------------------------------------------------------ */
/* Durations                                                           */
/* ------------------------------------------------------------------ */

void
est_time_add(struct est_time *e, int64_t sample_us, int64_t now_us)
{
	int64_t error = sample_us - e->mean_us;

	if (e->known) {
		e->mean_us += error / GAIN;
		e->dev_us += (ABS(error) - e->dev_us) / DEV_GAIN;
	} else {
		e->mean_us = sample_us;
		e->dev_us = sample_us / 2;
		e->known = true;
	}
	e->seen_us = now_us;
}

static int64_t
fade(const struct est_time *e, int64_t value_us, int64_t now_us)
{
	int64_t halvings = MAX(now_us - e->seen_us, 0) / FADE_US;

	return MAX(value_us, 0) >> MIN(halvings, FADE_MOST);
}

int64_t
est_time_mean(const struct est_time *e, int64_t now_us)
{
	return fade(e, e->mean_us, now_us);
}

int64_t
est_time_low(const struct est_time *e, int64_t now_us)
{
	return fade(e, e->mean_us - SPREAD * e->dev_us, now_us);
}

int64_t
est_time_high(const struct est_time *e, int64_t now_us)
{
	return fade(e, e->mean_us + SPREAD * e->dev_us, now_us);
}

/* ------------------------------------------------------------------ */
/* Rates                                                               */
/* ------------------------------------------------------------------ */

void
est_rate_begin(struct est_rate *e, uint64_t guess, int64_t now_us)
{
	if (guess > 0)
		e->milli_s = guess;
	e->busy = true;
	e->since_us = now_us;
	e->last_us = now_us;
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
	if (elapsed_us < WINDOW_US)
		return false;
	return e->starts >= WINDOW_STARTS || elapsed_us >= WINDOW_LONGEST_US;
}

void
est_rate_start(struct est_rate *e, unsigned int cost, int64_t now_us)
{
	int64_t elapsed_us = now_us - e->since_us;
	uint64_t measured;

	if (!e->busy)
		return;
	e->starts++;
	e->cost += cost;
	e->last_us = now_us;
	if (!window_is_over(e, elapsed_us))
		return;
	measured = e->cost * MILLI_US / (uint64_t)elapsed_us;
	e->milli_s = e->milli_s == 0 ? measured : (e->milli_s + measured) / 2;
	e->since_us = now_us;
	e->starts = 0;
	e->cost = 0;
}

uint64_t
est_rate_now(const struct est_rate *e, uint64_t running, int64_t now_us)
{
	int64_t silent_us = now_us - e->last_us;
	uint64_t most;

	if (!e->busy || silent_us < WINDOW_US)
		return e->milli_s;
	/* Targets that froze start nothing and close no window: the time
	 * without a start bounds the rate by itself. Requests that began
	 * together end together, and as much may start at once. */
	most = MAX(running, 1) * MILLI_US / (uint64_t)silent_us;
	return e->milli_s == 0 ? most : MIN(e->milli_s, most);
}
