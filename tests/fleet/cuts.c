/* A store that ends watches early while it answers all other calls: no fault. */

#include <popt.h>

#include "fleet.h"

static int first_ms = 3000, gap_ms;

static struct poptOption options[] = {
	{ "cut-first-ms", 0, POPT_ARG_INT, &first_ms, 0,
	    "begin of the series of cut watches, in traffic", "N" },
	{ "cut-gap-ms", 0, POPT_ARG_INT, &gap_ms, 0,
	    "longest time between two cuts; 0: there are none", "N" },
	POPT_TABLEEND
};

static const char *const kinds[] = { "servers", "config", "versions" };

static struct evl_timer next_cut;
static struct fleet *fleet; /* of the timers */
static struct rng rng;

struct poptOption *
fleet_cuts_options(void)
{
	return options;
}

/* Ends the watches of all kinds, any of them first. */
static void
on_next_cut(struct evl_timer *t)
{
	struct fleet *f = fleet;
	uint64_t first = rng_below(&rng, G_N_ELEMENTS(kinds));
	size_t i;

	if (f->stopping)
		return;
	for (i = 0; i < G_N_ELEMENTS(kinds); i++)
		fleet_store_cut_watches(f,
		    kinds[(first + i) % G_N_ELEMENTS(kinds)],
		    rng_below(&rng, 3) == 0);
	evl_timer_set(f->loop, t,
	    evl_now_us(f->loop) +
		(int64_t)rng_below(&rng, (uint64_t)gap_ms * 1000));
}

void
fleet_cuts_start(struct fleet *f, uint64_t seed)
{
	fleet = f;
	rng_seed(&rng, seed);
	next_cut.fire = on_next_cut;
	if (gap_ms > 0)
		evl_timer_set(f->loop, &next_cut,
		    evl_now_us(f->loop) + (int64_t)first_ms * 1000);
}
