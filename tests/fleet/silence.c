/* Sound engines that fall silent and go on where they were: they write nothing
 * for a while, and neither their runs nor their connections end. */

#include <popt.h>

#include "fleet.h"

#define FIRST_US 2000000 /* after the begin of traffic */

static int gap_ms, for_ms = 1200, count, whole, settings_gap_ms, event_ms = 15;
static int idle_ms = 15000;

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
	{ "settings-gap-ms", 0, POPT_ARG_INT, &settings_gap_ms, 0,
	    "time between two changes of the settings; 0: none", "N" },
	{ "event-ms", 0, POPT_ARG_INT, &event_ms, 0,
	    "time between two events of a stream", "N" },
	{ "idle-ms", 0, POPT_ARG_INT, &idle_ms, 0,
	    "idle time-out of callers' connections in the settings", "N" },
	POPT_TABLEEND
};

static struct evl_timer next_silence, next_settings;
static struct evl_timer resume[FLEET_ENGINES_MAX];
static size_t next_engine;
static struct fleet *fleet; /* of the timers */

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

int
fleet_idle_ms(void)
{
	return idle_ms;
}

static void
on_resume(struct evl_timer *t)
{
	fleet_proxy_set(fleet->proxy[1 + (t - resume)], PROXY_PASS);
}

static void
fall_silent(struct fleet *f, size_t i)
{
	int64_t until_us = evl_now_us(f->loop) + (int64_t)for_ms * 1000;

	fleet_engine_fall_silent(f, i, until_us);
	if (!whole)
		return;
	fleet_proxy_set(f->proxy[1 + i], PROXY_STALL_RESPONSES);
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
		fall_silent(f, next_engine++ % f->nengines);
	evl_timer_set(f->loop, t, evl_now_us(f->loop) + (int64_t)gap_ms * 1000);
}

static void
on_next_settings(struct evl_timer *t)
{
	struct fleet *f = fleet;

	if (f->stopping)
		return;
	fleet_operator_put_config(f);
	evl_timer_set(
	    f->loop, t, evl_now_us(f->loop) + (int64_t)settings_gap_ms * 1000);
}

void
fleet_silences_start(struct fleet *f)
{
	int64_t first_us = evl_now_us(f->loop) + FIRST_US;

	fleet = f;
	next_silence.fire = on_next_silence;
	if (gap_ms > 0)
		evl_timer_set(f->loop, &next_silence, first_us);
	next_settings.fire = on_next_settings;
	if (settings_gap_ms > 0)
		evl_timer_set(f->loop, &next_settings, first_us);
}
