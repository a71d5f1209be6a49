/* Start, timer and stop of the keeper. */

#include <malloc.h>
#include <stdio.h>
#include <string.h>

#include "shared/proc.h"
#include "side/keeper.h"

/* Time between two polls of the engine's load: a fraction of the time between
 * two requests to the engine, of which it gets about 16 a second. */
#define TICK_US 30000

const char *
keeper_region(const struct keeper *k, const char *domain)
{
	if (!cfg_key_valid(domain) || !cfg_has(k->st.cfg, "domains.%s", domain))
		return domain;
	return cfg_str(k->st.cfg, "domains.%s", domain);
}

#define MMAP_THRESHOLD (24 << 10) /* bytes; chunks have 32 KB */
#define TRIM_THRESHOLD (128 << 10) /* free bytes at the end of the heap */

static void
on_tick(struct evl_timer *timer)
{
	struct keeper *k = CONTAINER_OF(timer, struct keeper, tick);

	keeper_poll_engine(k);
	keeper_step(k);
	keeper_rate_tick(k);
	keeper_terminations_tick(k);
	keeper_send_status(k);
	keeper_log_progress(k);
	evl_timer_set(k->st.loop, timer, keeper_now(k) + TICK_US);
}

/* Stops at once: the keeper handles no callers' requests, and the engine
 * continues without it. */
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
	    "\nkeeper_step %d\nkeeper_engine_up %d\nkeeper_unproved %d\nkeeper_gateways %u\nkeeper_engine_limit %.3f\n",
	    k->newest == NULL ? 0 : k->newest->version, k->loaded, p.have,
	    k->step, k->up, k->proof.unproved, k->gateways->len,
	    k->permits.limit);
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
 * Makes malloc map each chunk separately. Each version allocates and frees
 * hundreds of chunks. On the heap they would leave holes that no other
 * allocation fills, and the process would retain the memory of two versions;
 * a mapped chunk returns to the system as soon as it is freed.
 */
static void
map_chunks(void)
{
	(void)mallopt(M_MMAP_THRESHOLD, MMAP_THRESHOLD);
	(void)mallopt(M_TRIM_THRESHOLD, TRIM_THRESHOLD);
}

int
keeper_main(const char *settings)
{
	struct keeper *k = g_new0(struct keeper, 1);
	struct err err = { 0 };

	map_chunks();
	if (!start(k, settings, &err)) {
		fprintf(stderr, "currantchute-side: %s\n", err.message);
		return EXIT_USAGE;
	}
	daemon_run(&k->st);
	return EXIT_OK;
}
