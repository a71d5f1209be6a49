/* Servers whose answers have no end: an engine or a plain target, the origin and
 * the store in turn, each time of another kind. */

#include <popt.h>

#include "fleet.h"

#define FIRST_US 2000000 /* after the begin of traffic */
#define VICTIMS 3 /* kinds of servers */

static int gap_ms, for_ms = 1500;
static struct evl_timer next, restore;
static struct fleet *fleet; /* of the timers */
static struct fleet_proxy *victim;
static unsigned int turn;

struct poptOption *
fleet_endless_options(void)
{
	static struct poptOption options[] = {
		{ "endless-gap-ms", 0, POPT_ARG_INT, &gap_ms, 0,
		    "time between two servers that answer without end; 0: none",
		    "N" },
		{ "endless-for-ms", 0, POPT_ARG_INT, &for_ms, 0,
		    "how long each does", "N" },
		POPT_TABLEEND
	};

	return options;
}

static void
on_restore(struct evl_timer *t)
{
	fleet_proxy_set(victim, PROXY_PASS);
}

static void
on_next(struct evl_timer *t)
{
	struct fleet *f = fleet;
	int64_t now_us = evl_now_us(f->loop);

	if (f->stopping)
		return;
	if (turn % VICTIMS == 0)
		victim = f->proxy[1 + turn / VICTIMS % f->nengines];
	else if (turn % VICTIMS == 1)
		victim = f->origin_proxy;
	else
		victim = f->proxy[0];
	/* Each kind of server meets each kind of answer. */
	fleet_proxy_set_endless(victim, turn / VICTIMS);
	turn++;
	evl_timer_set(f->loop, &restore, now_us + (int64_t)for_ms * 1000);
	evl_timer_set(f->loop, t, now_us + (int64_t)gap_ms * 1000);
}

void
fleet_endless_start(struct fleet *f)
{
	fleet = f;
	next.fire = on_next;
	restore.fire = on_restore;
	if (gap_ms > 0)
		evl_timer_set(f->loop, &next, evl_now_us(f->loop) + FIRST_US);
}

void
fleet_endless_print(const struct fleet *f)
{
	size_t most = 0, i;

	if (gap_ms == 0)
		return;
	for (i = 0; i < f->nengines; i++)
		most = MAX(most, fleet_proxy_endless_most(f->proxy[1 + i]));
	printf("endless: servers=%u most: engine=%zu origin=%zu store=%zu\n",
	    turn, most, fleet_proxy_endless_most(f->origin_proxy),
	    fleet_proxy_endless_most(f->proxy[0]));
}
