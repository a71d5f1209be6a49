/*
 * Changes of the settings beside traffic: the idle limit of callers'
 * connections, and routes by the hundred. Callers go by the lowest idle limit
 * that their gateway may have in force: a changed one counts once the store has
 * been stable for long enough for all gateways to have heard of it.
 */

#include <popt.h>

#include "fleet.h"

#define FIRST_US 2000000 /* after the begin of traffic */
#define FIRST_RENAME_US 1000000
#define CHECK_US 100000
#define REACTION_US 2000000 /* until gateways have heard of a change */
#define RECONNECT_US 1000000 /* until they ask again after a disturbance */
#define MANY_ROUTES_ONE_IN 3

static int gap_ms, idle_ms = 15000, other_idle_ms, many_routes;
static int rename_gap_ms, always_routes;

static struct poptOption options[] = {
	{ "settings-gap-ms", 0, POPT_ARG_INT, &gap_ms, 0,
	    "time between two changes of the settings; 0: none", "N" },
	{ "idle-ms", 0, POPT_ARG_INT, &idle_ms, 0,
	    "idle time-out of callers' connections in the settings", "N" },
	{ "other-idle-ms", 0, POPT_ARG_INT, &other_idle_ms, 0,
	    "another one, which takes turns with the first; 0: none", "N" },
	{ "many-routes", 0, POPT_ARG_INT, &many_routes, 0,
	    "routes that one in three changes adds, until the next one", "N" },
	{ "rename-gap-ms", 0, POPT_ARG_INT, &rename_gap_ms, 0,
	    "time between two renames of the workspace; 0: none", "N" },
	{ "always-routes", 0, POPT_ARG_INT, &always_routes, 0,
	    "routes that the settings always have beside those in use", "N" },
	POPT_TABLEEND
};

static struct evl_timer next_change, next_rename, check;
static struct fleet *fleet; /* of the timers */
static struct rng rng;
static int safe_ms; /* lowest limit that a gateway may have in force */
static int64_t changed_us, known_drill_us;
static unsigned int more_routes;

struct poptOption *
fleet_settings_options(void)
{
	return options;
}

int
fleet_settings_idle_ms(void)
{
	return idle_ms;
}

unsigned int
fleet_settings_more_routes(void)
{
	return more_routes + (unsigned int)always_routes;
}

int64_t
fleet_settings_safe_idle_us(void)
{
	return (int64_t)(safe_ms == 0 ? idle_ms : MIN(safe_ms, idle_ms)) * 1000;
}

/* Any of the limits may come back with an older copy of the store. */
static void
note_drill(const struct fleet *f)
{
	if (f->drill_us == known_drill_us)
		return;
	known_drill_us = f->drill_us;
	changed_us = evl_now_us(f->loop);
	safe_ms = MIN(idle_ms, other_idle_ms);
}

static void
on_check(struct evl_timer *t)
{
	struct fleet *f = fleet;
	int64_t now_us = evl_now_us(f->loop), from_us;

	note_drill(f);
	from_us = MAX(changed_us, fleet_store_disturbed_us(f) + RECONNECT_US);
	if (now_us - from_us > REACTION_US)
		safe_ms = idle_ms;
	evl_timer_set(f->loop, t, now_us + CHECK_US);
}

static void
change_idle_limit(struct fleet *f)
{
	int before_ms = idle_ms;

	if (other_idle_ms == 0)
		return;
	idle_ms = other_idle_ms;
	other_idle_ms = before_ms;
	safe_ms = MIN(safe_ms, idle_ms);
	changed_us = evl_now_us(f->loop);
}

static void
on_next_change(struct evl_timer *t)
{
	struct fleet *f = fleet;

	if (f->stopping)
		return;
	if (rng_below(&rng, 2) == 0)
		change_idle_limit(f);
	more_routes = 0;
	if (many_routes > 0 && rng_below(&rng, MANY_ROUTES_ONE_IN) == 0)
		more_routes = (unsigned int)many_routes;
	fleet_operator_put_config(f);
	evl_timer_set(f->loop, t, evl_now_us(f->loop) + (int64_t)gap_ms * 1000);
}

static void
on_next_rename(struct evl_timer *t)
{
	struct fleet *f = fleet;

	if (f->stopping)
		return;
	fleet_operator_rename_workspace(f);
	evl_timer_set(
	    f->loop, t, evl_now_us(f->loop) + (int64_t)rename_gap_ms * 1000);
}

void
fleet_settings_start(struct fleet *f, uint64_t seed)
{
	int64_t now_us = evl_now_us(f->loop);

	fleet = f;
	rng_seed(&rng, seed);
	safe_ms = idle_ms;
	next_change.fire = on_next_change;
	if (gap_ms > 0)
		evl_timer_set(f->loop, &next_change, now_us + FIRST_US);
	next_rename.fire = on_next_rename;
	if (rename_gap_ms > 0)
		evl_timer_set(f->loop, &next_rename, now_us + FIRST_RENAME_US);
	check.fire = on_check;
	if (other_idle_ms > 0)
		evl_timer_set(f->loop, &check, now_us + CHECK_US);
}
