/*
 * A store that is away for a while, again and again, in one of several ways,
 * while the settings change. What gateways then use is judged as ever
 * (notice.c). And an origin of weights that is away once.
 */

#include <popt.h>
#include <string.h>

#include "fleet.h"

static int first_ms = 4000, for_ms, gap_ms, stable_ms = 3000;
static int origin_first_ms = 1000, origin_for_ms;
static char *how;

static struct poptOption options[] = {
	{ "away-first-ms", 0, POPT_ARG_INT, &first_ms, 0,
	    "begin of the first absence of the store, in traffic", "N" },
	{ "away-for-ms", 0, POPT_ARG_INT, &for_ms, 0,
	    "how long an absence lasts; 0: there is none", "N" },
	{ "away-gap-ms", 0, POPT_ARG_INT, &gap_ms, 0,
	    "from the end of one to the begin of the next; 0: one only", "N" },
	{ "away-stable-ms", 0, POPT_ARG_INT, &stable_ms, 0,
	    "time after an absence from which the settings in use are judged",
	    "N" },
	{ "away-how", 0, POPT_ARG_STRING, &how, 0,
	    "'lose': what is sent meanwhile, and all that follows on its "
	    "connection, is lost (the default); 'refuse': calls get 503",
	    "HOW" },
	{ "origin-first-ms", 0, POPT_ARG_INT, &origin_first_ms, 0,
	    "begin of the origin's absence, in traffic", "N" },
	{ "origin-for-ms", 0, POPT_ARG_INT, &origin_for_ms, 0,
	    "how long it lasts; 0: there is none", "N" },
	POPT_TABLEEND
};

static struct evl_timer begin, end, origin_begin, origin_end;
static struct fleet *fleet; /* of the timers */

struct poptOption *
fleet_away_options(void)
{
	return options;
}

int64_t
fleet_away_stable_us(void)
{
	return (int64_t)stable_ms * 1000;
}

static bool
refuses(void)
{
	return how != NULL && strcmp(how, "refuse") == 0;
}

static void
on_end(struct evl_timer *t)
{
	struct fleet *f = fleet;
	int64_t now_us = evl_now_us(f->loop);

	fleet_proxy_set(f->proxy[0], PROXY_PASS);
	fleet_store_end_refusal(f);
	if (gap_ms > 0)
		evl_timer_set(f->loop, &begin, now_us + (int64_t)gap_ms * 1000);
}

static void
on_begin(struct evl_timer *t)
{
	struct fleet *f = fleet;

	if (refuses())
		f->store_refuses = true;
	else
		fleet_proxy_set(f->proxy[0], PROXY_LOSE);
	evl_timer_set(
	    f->loop, &end, evl_now_us(f->loop) + (int64_t)for_ms * 1000);
}

static void
on_origin_end(struct evl_timer *t)
{
	fleet_proxy_set(fleet->origin_proxy, PROXY_PASS);
}

static void
on_origin_begin(struct evl_timer *t)
{
	fleet_proxy_set(fleet->origin_proxy, PROXY_STALL);
	evl_timer_set(fleet->loop, &origin_end,
	    evl_now_us(fleet->loop) + (int64_t)origin_for_ms * 1000);
}

void
fleet_away_start(struct fleet *f)
{
	int64_t now_us = evl_now_us(f->loop);

	fleet = f;
	begin.fire = on_begin;
	end.fire = on_end;
	if (for_ms > 0)
		evl_timer_set(
		    f->loop, &begin, now_us + (int64_t)first_ms * 1000);
	origin_begin.fire = on_origin_begin;
	origin_end.fire = on_origin_end;
	if (origin_for_ms > 0)
		evl_timer_set(f->loop, &origin_begin,
		    now_us + (int64_t)origin_first_ms * 1000);
}
