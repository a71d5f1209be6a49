/*
 * Rate limits that engines announce, and the check that all gateways together
 * obey them. From three seconds after a limit was first announced, any window
 * of four seconds may contain at most one and a half times the allowed requests
 * plus five. The requests of a gateway count from half a second after the first
 * answer that announced the limit to it.
 */

#include <string.h>

#include "fleet.h"

#define STABLE_US 3000000
#define WINDOW_US 4000000
#define REACTION_US 500000
#define ALLOWED_FACTOR 1.5
#define ALLOWED_EXTRA 5

struct arrival {
	int64_t at_us;
	double limit; /* at that time */
	size_t gateway;
};

void
fleet_limit_set(struct fleet *f, struct fleet_limit *l, double limit)
{
	/* A limit that has ended is not checked; the next starts from zero. */
	if (limit == 0 || l->limit == 0) {
		memset(l->announced_us, 0, sizeof(l->announced_us));
		l->first_us = 0;
		if (l->arrivals != NULL)
			g_array_set_size(l->arrivals, 0);
	}
	l->limit = limit;
}

void
fleet_limit_announced(struct fleet *f, struct fleet_limit *l, const char *id)
{
	size_t gateway = fleet_gateway_of(id);

	if (l->limit == 0)
		return;
	if (l->first_us == 0)
		l->first_us = evl_now_us(f->loop);
	if (l->announced_us[gateway] == 0)
		l->announced_us[gateway] = evl_now_us(f->loop);
}

/* Requests allowed in the window that ends now: the highest limit within it
 * applies, as the limit may have changed. */
static double
allowed(const struct fleet_limit *l)
{
	double most = l->limit;
	guint i;

	for (i = 0; i < l->arrivals->len; i++)
		most = MAX(
		    most, g_array_index(l->arrivals, struct arrival, i).limit);
	return ALLOWED_FACTOR * most * WINDOW_US / G_USEC_PER_SEC +
	    ALLOWED_EXTRA;
}

void
fleet_limit_arrived(struct fleet *f, struct fleet_limit *l, const char *id)
{
	struct arrival now = { .at_us = evl_now_us(f->loop),
		.limit = l->limit,
		.gateway = fleet_gateway_of(id) };
	int64_t announced_us = l->announced_us[now.gateway];

	const struct arrival *arrival;
	guint i;

	if (l->limit == 0 || announced_us == 0 ||
	    now.at_us - announced_us < REACTION_US ||
	    now.at_us - l->first_us < STABLE_US)
		return;
	if (l->arrivals == NULL)
		l->arrivals = g_array_new(FALSE, FALSE, sizeof(struct arrival));
	g_array_append_val(l->arrivals, now);
	while (now.at_us - g_array_index(l->arrivals, struct arrival, 0).at_us >
	    WINDOW_US)
		g_array_remove_index(l->arrivals, 0);
	l->max_in_window = MAX(l->max_in_window, l->arrivals->len);
	if (l->arrivals->len <= allowed(l))
		return;
	f->tally.over_limit++;
	g_printerr("over its limit of %.1f a second: %u requests in 4 s, "
		   "allowed %.0f\n",
	    l->limit, l->arrivals->len, allowed(l));
	for (i = 0; i < l->arrivals->len; i++) {
		arrival = &g_array_index(l->arrivals, struct arrival, i);
		g_printerr(" %zu at %" G_GINT64_FORMAT, arrival->gateway,
		    (arrival->at_us - now.at_us) / 1000);
	}
	g_printerr(" ms\n");
}
