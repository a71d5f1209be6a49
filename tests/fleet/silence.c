/* Sound engines that fall silent and go on where they were: they write nothing
 * for a while, and neither their runs nor their connections end. At fixed times,
 * or at random with random engines and durations. */

#include <popt.h>

#include "fleet.h"

#define FIRST_US 2000000 /* after the begin of traffic */

#define RANDOM_GAP_US \
	1200000 /* at least, from one random silence to the next */
#define RANDOM_MORE_US 2000000 /* and at most so much more */
#define RANDOM_MIN_MS 300
#define RANDOM_MAX_MS 1500
#define RANDOM_WHOLE_ONE_IN 3

static int gap_ms, for_ms = 1200, count, whole, event_ms = 15, at_random;

static struct poptOption options[] = {
	{ "silent-gap-ms", 0, POPT_ARG_INT, &gap_ms, 0,
	    "time between two silences of engines; 0: none", "N" },
	{ "silent-for-ms", 0, POPT_ARG_INT, &for_ms, 0, "how long each lasts",
	    "N" },
	{ "silent-engines", 0, POPT_ARG_INT, &count, 0,
	    "engines that fall silent at once, one group after the other; "
	    "0: all",
	    "N" },
	{ "silent-whole", 0, POPT_ARG_INT, &whole, 0,
	    "0 or 1: their reports and refusals stop, too", "N" },
	{ "silences", 0, POPT_ARG_INT, &at_random, 0,
	    "0 or 1: random silences of one, some or all engines", "N" },
	{ "event-ms", 0, POPT_ARG_INT, &event_ms, 0,
	    "time between two events of a stream", "N" },
	POPT_TABLEEND
};

static struct evl_timer next_silence, next_random;
static struct evl_timer resume[FLEET_ENGINES_MAX];
static size_t next_engine;
static struct fleet *fleet; /* of the timers */
static struct rng rng;

struct poptOption *
fleet_silence_options(void)
{
	return options;
}

int64_t
fleet_event_us(void)
{
	return (int64_t)event_ms * 1000;
}

static void
on_resume(struct evl_timer *t)
{
	fleet_proxy_set(fleet->proxy[1 + (t - resume)], PROXY_PASS);
}

static void
fall_silent(struct fleet *f, size_t i, int ms, bool reports_stop)
{
	int64_t until_us = evl_now_us(f->loop) + (int64_t)ms * 1000;

	fleet_engine_fall_silent(f, i, until_us);
	if (!reports_stop)
		return;
	fleet_proxy_set(f->proxy[1 + i], PROXY_SILENT);
	resume[i].fire = on_resume;
	evl_timer_set(f->loop, &resume[i], until_us);
}

static void
on_next_silence(struct evl_timer *t)
{
	struct fleet *f = fleet;
	size_t n = count == 0 ? f->nengines : (size_t)count;

	if (f->stopping)
		return;
	while (n-- > 0)
		fall_silent(f, next_engine++ % f->nengines, for_ms, whole != 0);
	evl_timer_set(f->loop, t, evl_now_us(f->loop) + (int64_t)gap_ms * 1000);
}

/* One engine, all, or each with an even chance; on average midway through the
 * streams that run, and before the first byte of those that arrive. */
static void
on_next_random(struct evl_timer *t)
{
	struct fleet *f = fleet;
	uint64_t group = rng_below(&rng, 3);
	size_t one = rng_below(&rng, f->nengines), i;
	int ms = RANDOM_MIN_MS +
	    (int)rng_below(&rng, RANDOM_MAX_MS - RANDOM_MIN_MS + 1);
	bool reports_stop = rng_below(&rng, RANDOM_WHOLE_ONE_IN) == 0;

	if (f->stopping)
		return;
	for (i = 0; i < f->nengines; i++) {
		if (group == 0 ? i == one
			       : group == 1 || rng_below(&rng, 2) == 0)
			fall_silent(f, i, ms, reports_stop);
	}
	evl_timer_set(f->loop, t,
	    evl_now_us(f->loop) + RANDOM_GAP_US +
		(int64_t)rng_below(&rng, RANDOM_MORE_US));
}

void
fleet_silences_start(struct fleet *f, uint64_t seed)
{
	int64_t first_us = evl_now_us(f->loop) + FIRST_US;

	fleet = f;
	rng_seed(&rng, seed);
	next_silence.fire = on_next_silence;
	if (gap_ms > 0)
		evl_timer_set(f->loop, &next_silence, first_us);
	next_random.fire = on_next_random;
	if (at_random)
		evl_timer_set(f->loop, &next_random, first_us);
}
