/* The keeper: set-up, time, stop. */

#include <malloc.h>
#include <stdio.h>
#include <string.h>

#include "shared/proc.h"
#include "side/keeper.h"

/* How often the engine is asked how full it is: a fraction of the time
 * between two requests that it gets (some 16 a second). */
#define TICK_US 30000

const char *
keeper_region(const struct keeper *k, const char *domain)
{
	if (!cfg_key_valid(domain) || !cfg_has(k->st.cfg, "domains.%s", domain))
		return domain;
	return cfg_str(k->st.cfg, "domains.%s", domain);
}

#define PIECE_MAPPED_FROM (24 << 10) /* bytes; pieces are of 32 KB */
#define HEAP_KEPT (128 << 10) /* free bytes at the end of the heap */

static void
on_tick(struct evl_timer *timer)
{
	struct keeper *k = CONTAINER_OF(timer, struct keeper, tick);

	keeper_ask_report(k);
	keeper_step(k);
	keeper_rate_tick(k);
	keeper_ends_tick(k);
	keeper_tell_load(k);
	keeper_log_progress(k);
	evl_timer_set(k->st.loop, timer, keeper_now(k) + TICK_US);
}

/* Nothing here serves callers: the engine goes on without its keeper. */
static void
on_stop(void *ctx)
{
	struct keeper *k = ctx;

	evt(EVT_STOP, "outcome=ended step=%s", stg_step_name(k->step));
	daemon_quit(&k->st);
}

static void
on_reload(void *ctx)
{
}

static void
on_print(void *ctx, GString *out)
{
	struct keeper *k = ctx;
	struct wts_progress p = { 0 };

	if (k->newest != NULL && k->newest->has_root)
		wts_progress(k->wts, &k->newest->wts.root, &p);
	g_string_append_printf(out,
	    "keeper_wanted_version %" G_GINT64_FORMAT
	    "\nkeeper_loaded_version %" G_GINT64_FORMAT
	    "\nkeeper_chunks_held %" G_GUINT64_FORMAT
	    "\nkeeper_step %d\nkeeper_engine_up %d\nkeeper_gateways %u\nkeeper_engine_limit %.3f\n",
	    k->newest == NULL ? 0 : k->newest->version, k->loaded, p.have,
	    k->step, k->up, k->gateways->len, k->permits.limit);
}

static bool
start(struct keeper *k, const char *settings, struct err *err)
{
	if (!daemon_load(&k->st, settings, err))
		return false;
	if (!cfg_has(k->st.cfg, "engine.address"))
		return err_set(err, ERR_INVALID, VERDICT_NOT_RUN,
		    "%s: key 'engine.address': missing; allowed: ip:port",
		    settings);
	k->st.stop = on_stop;
	k->st.reload = on_reload;
	k->st.print_metrics = on_print;
	k->st.ctx = k;
	if (!daemon_open(&k->st, "keeper", err))
		return false;
	if (!keeper_weights_open(k, err) || !keeper_gateways_open(k, err))
		return false;
	k->tick.fire = on_tick;
	evl_timer_set(k->st.loop, &k->tick, keeper_now(k) + TICK_US);
	evt(EVT_START, "program=keeper domain=%s engine=%s",
	    cfg_str(k->st.cfg, "node.domain"),
	    cfg_str(k->st.cfg, "engine.address"));
	return true;
}

/*
 * Pieces come and go by the hundred with each version. From the heap they
 * would leave holes that nothing else fills, and the process would keep the
 * memory of two versions for good; mapped one by one they go back at once.
 */
static void
map_pieces(void)
{
	(void)mallopt(M_MMAP_THRESHOLD, PIECE_MAPPED_FROM);
	(void)mallopt(M_TRIM_THRESHOLD, HEAP_KEPT);
}

int
keeper_main(const char *settings)
{
	struct keeper *k = g_new0(struct keeper, 1);
	struct err err = { 0 };

	map_pieces();
	if (!start(k, settings, &err)) {
		fprintf(stderr, "currantchute-side: %s\n", err.message);
		return EXIT_USAGE;
	}
	daemon_run(&k->st);
	return EXIT_OK;
}
