/* The first engine stands still as its sidecar gives it an order to load, or reads
 * its staging area back, and carries everything out when it goes on, whether the
 * sidecar still waits or not. A staged chunk turns corrupt meanwhile. */

#include <popt.h>
#include <stdio.h>

#include "fleet.h"

#define ORDER_BEGIN "POST /-/order"
/* The second chunk: the first one has been read. */
#define READ_BEGIN "GET /-/stage-get/" FLEET_MODEL "?itemCount=1 "
#define WRITE_BEGIN "PUT /-/stage-put/"
#define ORDER_DELAY_US 50000 /* behind the write that arrives with it */
#define LATE_US 100000 /* after it goes on: what it received is carried out */

static int order_ms, orders = 1, read_ms, write_ms, corrupt_ms = 20;
static int write_late, corrupted = 1, bump_ms, crash_ms, same_start;
static int expire_ms, no_layers;
static struct fleet *fleet; /* of the timers */
static struct evl_timer release, corrupt, bump, restart, expire;
static int held_orders;
static bool held_read, held_write;
static int64_t held_until_us;

struct poptOption *
fleet_held_options(void)
{
	static struct poptOption options[] = {
		{ "hold-order-ms", 0, POPT_ARG_INT, &order_ms, 0,
		    "how long it stands still as an order reaches it; 0: not",
		    "N" },
		{ "hold-orders", 0, POPT_ARG_INT, &orders, 0,
		    "number of such orders", "N" },
		{ "hold-read-ms", 0, POPT_ARG_INT, &read_ms, 0,
		    "the same before that, once, as the second chunk of a newer "
		    "version is read back",
		    "N" },
		{ "hold-write-ms", 0, POPT_ARG_INT, &write_ms, 0,
		    "the same, once, as a chunk of a newer version is written",
		    "N" },
		{ "hold-write-late", 0, POPT_ARG_INT, &write_late, 0,
		    "0 or 1: only the write of a chunk is held, and arrives "
		    "just before an order to load the next version",
		    "N" },
		{ "hold-corrupt-ms", 0, POPT_ARG_INT, &corrupt_ms, 0,
		    "from then to the corruption of a chunk", "N" },
		{ "hold-corrupted", 0, POPT_ARG_INT, &corrupted, 0,
		    "number of chunks that turn corrupt, one at each hold",
		    "N" },
		{ "hold-bump-ms", 0, POPT_ARG_INT, &bump_ms, 0,
		    "from the first held order or write to the announcement of "
		    "another version; 0: none",
		    "N" },
		{ "hold-crash-ms", 0, POPT_ARG_INT, &crash_ms, 0,
		    "from the same to a restart of the engine; 0: none", "N" },
		{ "hold-expire-ms", 0, POPT_ARG_INT, &expire_ms, 0,
		    "from the same until its record expires, which it writes "
		    "again when it has loaded; 0: it does not expire",
		    "N" },
		{ "hold-no-layers", 0, POPT_ARG_INT, &no_layers, 0,
		    "0 or 1: the settings do not state the number of layers",
		    "N" },
		{ "hold-same-start", 0, POPT_ARG_INT, &same_start, 0,
		    "0 or 1: the engine then reports the start time of before",
		    "N" },
		POPT_TABLEEND
	};

	return options;
}

static void
on_release(struct evl_timer *t)
{
	fleet_engine_expect_late(fleet, 0, evl_now_us(fleet->loop) + LATE_US);
	fleet_proxy_set(fleet->proxy[1], PROXY_PASS);
}

/* Another chunk each time: a second flip of the same bit would repair it. */
static void
on_corrupt(struct evl_timer *t)
{
	static int done;

	if (done < corrupted)
		fleet_engine_corrupt(fleet, 0, (uint64_t)done++);
}

static void
on_bump(struct evl_timer *t)
{
	fleet_operator_announce_version(fleet);
}

/* What was sent to the process before is lost with its connections. */
static void
on_crash(struct evl_timer *t)
{
	fleet_proxy_reset(fleet->proxy[1]);
	fleet_proxy_set(fleet->proxy[1], PROXY_PASS);
	fleet->keeps_start = same_start != 0;
	fleet_engine_crash(fleet, 0, true);
}

static void
on_expire(struct evl_timer *t)
{
	fleet_store_remove(fleet, "servers", fleet_engine_id(fleet, 0));
}

/* What follows the first order or write that is held. */
static void
schedule_changes(void)
{
	static bool done;
	int64_t now_us = evl_now_us(fleet->loop);

	if (!done && bump_ms > 0)
		evl_timer_set(
		    fleet->loop, &bump, now_us + (int64_t)bump_ms * 1000);
	if (!done && crash_ms > 0)
		evl_timer_set(
		    fleet->loop, &restart, now_us + (int64_t)crash_ms * 1000);
	if (!done && expire_ms > 0)
		evl_timer_set(
		    fleet->loop, &expire, now_us + (int64_t)expire_ms * 1000);
	done = true;
}

static void
hold(int ms)
{
	int64_t now_us = evl_now_us(fleet->loop);

	held_until_us = now_us + (int64_t)ms * 1000;
	fleet_proxy_set(fleet->proxy[1], PROXY_HELD);
	evl_timer_set(fleet->loop, &release, held_until_us);
	if (corrupted)
		evl_timer_set(
		    fleet->loop, &corrupt, now_us + (int64_t)corrupt_ms * 1000);
	printf("held for %d ms\n", ms);
	fflush(stdout);
}

static bool
may_hold(void)
{
	return !fleet->stopping && fleet->version >= 2 &&
	    evl_now_us(fleet->loop) >= held_until_us;
}

/* The write of an older version's chunk arrives after the check of the newer one.
 */
static void
deliver_write(void)
{
	int64_t at_us = evl_now_us(fleet->loop) + ORDER_DELAY_US;

	if (!held_write || fleet->version < 3)
		return;
	held_write = false;
	fleet_proxy_release_requests(fleet->proxy[1]);
	fleet_proxy_hold_request(fleet->proxy[1], at_us);
	fleet_engine_expect_late(fleet, 0, at_us + LATE_US);
}

static void
on_order(void *ctx)
{
	if (write_late)
		deliver_write();
	if (order_ms <= 0 || held_orders >= orders || !may_hold())
		return;
	held_orders++;
	schedule_changes();
	hold(order_ms);
}

static void
on_read(void *ctx)
{
	if (read_ms <= 0 || held_read || !may_hold())
		return;
	held_read = true;
	hold(read_ms);
}

static void
on_late_write(void)
{
	static bool done;

	if (done || !may_hold())
		return;
	done = held_write = true;
	fleet_proxy_hold_request(fleet->proxy[1], 0);
	schedule_changes();
}

static void
on_write(void *ctx)
{
	if (write_late)
		on_late_write();
	if (write_ms <= 0 || held_write || !may_hold())
		return;
	held_write = true;
	schedule_changes();
	hold(write_ms);
}

static const struct fleet_proxy_watch watches[] = {
	{ .begin = ORDER_BEGIN, .seen = on_order },
	{ .begin = READ_BEGIN, .seen = on_read },
	{ .begin = WRITE_BEGIN, .seen = on_write },
	{ .begin = NULL },
};

static bool
is_used(void)
{
	return order_ms > 0 || read_ms > 0 || write_ms > 0 || write_late;
}

const char *
fleet_held_layers(void)
{
	return no_layers ? "" : "\"layers\":4,";
}

void
fleet_held_start(struct fleet *f)
{
	fleet = f;
	release.fire = on_release;
	corrupt.fire = on_corrupt;
	bump.fire = on_bump;
	restart.fire = on_crash;
	expire.fire = on_expire;
	if (is_used())
		fleet_proxy_watch_requests(f->proxy[1], watches);
}

void
fleet_held_print(const struct fleet *f)
{
	if (is_used())
		printf("held orders %d, loads of a corrupt chunk by them %u, "
		       "events made with one %u\n",
		    held_orders, f->tally.late_loads, f->tally.unsound_events);
}
