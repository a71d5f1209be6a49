/* The gateway: set-up, beliefs from the store, readiness, stop. */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "entry/gateway.h"
#include "serve/stop.h"
#include "shared/proc.h"

#define TICK_US 100000
/* Part of the retry budget that is used; the rest is for gateways that start
 * or stop, and for windows that do not begin with this process's slots. */
#define BUDGET_USED 0.8
/* Descriptors left for files and for calls to targets. */
#define DESCRIPTORS_KEPT 1200
/* Share of the memory that bodies of requests may hold. */
#define BODIES_SHARE 0.25
/* ------------------------------------------------------------------ */
/* Beliefs from the store                                              */
/* ------------------------------------------------------------------ */

static void
on_link(struct gateway *g, const char *kind, bool up, const char *why)
{
	evt(up ? EVT_STORE_BACK : EVT_STORE_LOST, "kind=%s why=%s", kind, why);
}

static void
config_put(const char *name, void *value, void *ctx)
{
	struct gateway *g = ctx;
	struct sv_config *config = value;
	struct rtab *before = fwd_routes(g->fwd);

	if (before != NULL && rtab_config(before)->version >= config->version) {
		/* Settings never go back. */
		evt(EVT_CONFIG,
		    "version=%" G_GINT64_FORMAT
		    " outcome=older_than_%" G_GINT64_FORMAT,
		    config->version, rtab_config(before)->version);
		sv_config_free(config);
		return;
	}
	g->limits = (struct hlimits){ .head_bytes = config->head_bytes,
		.body_bytes = config->body_bytes,
		.head_us = config->head_us,
		.idle_us = config->idle_us };
	tgt_configure(g->set, config);
	evt(EVT_CONFIG,
	    "version=%" G_GINT64_FORMAT
	    " routes=%zu workspaces=%zu outcome=in_force",
	    config->version, config->nroutes, config->nworkspaces);
	fwd_set_routes(g->fwd, rtab_new(config));
	/* Views that fell due before were not sent: keepers that have just
	 * started would wait for the next, up to 0.4 s. */
	if (before == NULL)
		gateway_views_news(g);
}

static void
config_removed(const char *name, bool lapsed, void *ctx)
{
	/* The operators' settings are never taken away whole; what is known
	 * stays in force. */
	evt(EVT_CONFIG, "outcome=removed_ignored");
}

static void
config_link(bool up, const char *why, void *ctx)
{
	on_link(ctx, "config", up, why);
}

static const struct store_cache_ops config_ops = {
	.put = config_put,
	.removed = config_removed,
	.link = config_link,
};

struct tgt *
gateway_renew(struct gateway *g, const struct tgt *before, struct tgt *now)
{
	if (before == NULL || before == now)
		return now;
	hpool_forget(g->st.pool, now->record.address);
	evt(EVT_TARGET, "target=%s address=%s state=started_again",
	    now->record.id, now->record.address);
	return now;
}

static void
target_put(const char *name, void *value, void *ctx)
{
	struct gateway *g = ctx;
	struct sv_target *says = value;
	const struct tgt *before = tgt_find(g->set, says->id);
	bool is_new = before == NULL;

	gateway_renew(g, before, tgt_put(g->set, says, evl_now_us(g->st.loop)));
	evt(EVT_TARGET,
	    "target=%s service=%s address=%s state=%s model_version=%" G_GINT64_FORMAT
	    " revision=%" G_GINT64_FORMAT,
	    says->id, says->service, says->address,
	    says->leaving ? "leaving" : "ready", says->model_version,
	    store_cache_revision(g->targets));
	if (is_new)
		gateway_views_greet(g);
	g_free(says);
	fwd_pump(g->fwd);
}

static void
target_removed(const char *name, bool lapsed, void *ctx)
{
	struct gateway *g = ctx;

	evt(EVT_TARGET_GONE, "target=%s how=%s", name,
	    lapsed ? "missing_after_silence" : "told");
	tgt_removed(g->set, name, lapsed, evl_now_us(g->st.loop));
}

static void
targets_link(bool up, const char *why, void *ctx)
{
	on_link(ctx, "targets", up, why);
}

static const struct store_cache_ops target_ops = {
	.put = target_put,
	.removed = target_removed,
	.link = targets_link,
};

static void
version_put(const char *name, void *value, void *ctx)
{
	struct gateway *g = ctx;
	struct sv_version *v = value;

	if (vers_announced(g->named, v,
		g->versions == NULL || !store_cache_synced(g->versions),
		evl_now_us(g->st.loop)))
		evt(EVT_VERSION, "model=%s version=%" G_GINT64_FORMAT, v->model,
		    v->version);
	g_free(v);
	gateway_views_news(g);
}

static void
version_removed(const char *name, bool lapsed, void *ctx)
{
	evt(EVT_VERSION, "model=%s outcome=removed_ignored", name);
}

static void
versions_link(bool up, const char *why, void *ctx)
{
	on_link(ctx, "versions", up, why);
}

static const struct store_cache_ops version_ops = {
	.put = version_put,
	.removed = version_removed,
	.link = versions_link,
};

/* ------------------------------------------------------------------ */
/* Readiness                                                           */
/* ------------------------------------------------------------------ */

static bool
should_be_ready(const struct gateway *g)
{
	return g->stopping_us == 0 && fwd_routes(g->fwd) != NULL &&
	    store_cache_synced(g->targets) && store_cache_synced(g->versions);
}

static void
check_ready(struct gateway *g)
{
	bool ready = should_be_ready(g);

	if (ready == g->is_ready)
		return;
	g->is_ready = ready;
	evt(EVT_READY, "ready=%d stopping=%d", ready, g->stopping_us != 0);
}

static void
on_ready_asked(struct hreq *r, void *ctx)
{
	struct gateway *g = ctx;

	check_ready(g);
	hreq_answer(r, g->is_ready ? 200 : 503, "", "", 0);
}

static void
on_nothing(struct hreq *r, void *ctx)
{
}

static void
on_refused(unsigned int status, void *ctx)
{
	struct gateway *g = ctx;

	ctr_add(ctr_get(g->st.counters, "ready_refused"), 1);
}

static const struct hserver_ops ready_ops = {
	.request = on_ready_asked,
	.left = on_nothing,
	.drained = on_nothing,
	.refused = on_refused,
};

/* ------------------------------------------------------------------ */
/* Time                                                                */
/* ------------------------------------------------------------------ */

/* A word of keepers on the store's silence is believed for so long: they hear
 * of it at once and tell their region's gateways every 0.25 s. */
#define ALL_AWAY_FRESH_US 1000000

/* Keepers count the gateways that the store does not answer. */
static void
tell_store_away(struct gateway *g)
{
	bool away = store_down_since_us(g->store) != 0;

	if (away == g->store_away)
		return;
	g->store_away = away;
	gateway_views_news(g);
}

/*
 * While the store answers none of the gateways, no operator can name, halt or
 * replace a version, and the time until one is due does not run. Were it to,
 * engines whose next weights come late would be left alone by all gateways,
 * and callers refused, for a moment that does not bind: in outages of 8 s with
 * a version on its way, two thirds of the callers of 6 to 8 s. One gateway's
 * word is not enough: a cut between it and the store is no outage.
 */
static void
hold_due_times(struct gateway *g, int64_t now_us)
{
	int64_t away_us = store_down_since_us(g->store);

	if (away_us != 0 && g->all_away_us != 0 &&
	    now_us - g->all_away_us < ALL_AWAY_FRESH_US)
		vers_extend(g->named, away_us, now_us);
}

static int64_t
grace_us(const struct gateway *g)
{
	return (int64_t)(cfg_num(g->st.cfg, "bounds.grace_s") * G_USEC_PER_SEC);
}

static void
check_stop(struct gateway *g, int64_t now_us)
{
	struct stop_state state = {
		.since_us = g->stopping_us,
		.grace_us = grace_us(g),
		.active = fwd_active(g->fwd),
		.connections = hserver_connections(g->callers),
	};
	enum stop_step step = stop_next(&state, now_us);

	if (step == STOP_SERVE)
		return;
	hserver_stop_listening(g->callers);
	if (step != STOP_EXIT)
		return;
	evt(EVT_STOP,
	    "outcome=ended active=%u connections=%u ms=%" G_GINT64_FORMAT,
	    state.active, state.connections, (now_us - g->stopping_us) / 1000);
	daemon_quit(&g->st);
}

static void
on_tick(struct evl_timer *timer)
{
	struct gateway *g = CONTAINER_OF(timer, struct gateway, tick);
	int64_t now_us = evl_now_us(g->st.loop);

	tgt_sweep(g->set, now_us);
	fwd_sweep(g->fwd);
	tell_store_away(g);
	hold_due_times(g, now_us);
	check_ready(g);
	fwd_pump(g->fwd);
	if (g->stopping_us != 0)
		check_stop(g, now_us);
	evl_timer_set(g->st.loop, timer, now_us + TICK_US);
}

static void
on_stop(void *ctx)
{
	struct gateway *g = ctx;

	g->stopping_us = evl_now_us(g->st.loop);
	check_ready(g);
	hserver_set_closing(g->callers, true);
	evt(EVT_STOP, "outcome=begun active=%u", fwd_active(g->fwd));
}

/* ------------------------------------------------------------------ */
/* Settings                                                            */
/* ------------------------------------------------------------------ */

static void
apply_settings(struct gateway *g)
{
	const struct cfg *cfg = g->st.cfg;
	struct tgt_policy *policy = tgt_set_policy(g->set);
	struct spend_conf *budget = fwd_budget(g->fwd);
	const char *domain;
	size_t i;

	policy->beyond_slots = cfg_num(cfg, "policy.beyond_slots");
	policy->remote_cost = cfg_num(cfg, "policy.far_cost");
	policy->prefill_max_us = cfg_int(cfg, "policy.read_ms") * 1000;
	policy->gateways = g->gateways;
	policy->seed = g->seed;
	budget->ratio = cfg_num(cfg, "bounds.retry_ratio");
	budget->slack = cfg_num(cfg, "bounds.retry_slack");
	budget->window_us =
	    (int64_t)(cfg_num(cfg, "bounds.retry_window_s") * G_USEC_PER_SEC);
	budget->sharers = g->gateways;
	budget->used = BUDGET_USED;
	for (i = 0; (domain = cfg_key(cfg, i, "domains")) != NULL; i++)
		tgt_set_domain(
		    g->set, domain, cfg_str(cfg, "domains.%s", domain));
}

/*
 * Part of the time in which a target's leaving must be heeded that news of
 * targets gather. Each engine's entry changes when it comes, loads a version or
 * goes: in a deployment of hundreds there is always one, and each gateway would
 * pay for a call as often as calls can be made. Twice 0.6 s for an answer that
 * is lost and the next still fit beside it.
 */
#define TARGETS_GATHER_SHARE 0.2

static void
apply_gather(struct gateway *g)
{
	int64_t drain_us = cfg_int(g->st.cfg, "bounds.drain_ms") * 1000;

	store_cache_set_batch_delay(
	    g->targets, (int64_t)((double)drain_us * TARGETS_GATHER_SHARE));
}

static void
on_reload(void *ctx)
{
	struct gateway *g = ctx;

	apply_settings(g);
	apply_gather(g);
	store_set_address(g->store, cfg_str(g->st.cfg, "store.address"));
}

static void
on_print(void *ctx, GString *out)
{
	struct gateway *g = ctx;
	int64_t now_us = evl_now_us(g->st.loop);

	fwd_print(g->fwd, out);
	g_string_append_printf(out,
	    "gateway_ready %d\nconfig_version %" G_GINT64_FORMAT
	    "\nconfig_heard_age_ms %" G_GINT64_FORMAT
	    "\ntargets_heard_age_ms %" G_GINT64_FORMAT
	    "\ncaller_connections %u\ntargets_limited %u\n",
	    g->is_ready,
	    fwd_routes(g->fwd) == NULL
		? 0
		: rtab_config(fwd_routes(g->fwd))->version,
	    (now_us - store_cache_answered_us(g->config)) / 1000,
	    (now_us - store_cache_answered_us(g->targets)) / 1000,
	    hserver_connections(g->callers), tgt_limited(g->set));
}

/* ------------------------------------------------------------------ */
/* Start                                                               */
/* ------------------------------------------------------------------ */

static void
open_decisions(struct gateway *g)
{
	const struct cfg *cfg = g->st.cfg;
	static const struct tgt_policy none;
	struct fwd_conf conf = {
		.loop = g->st.loop,
		.pool = g->st.pool,
		.dialect = &adapter_headers,
		.counters = g->st.counters,
	};

	g->gateways = (unsigned int)cfg_int(cfg, "policy.gateways");
	g->set = tgt_set_new(cfg_str(cfg, "node.region"), &none);
	g->named = vers_new(cfg_int(cfg, "bounds.version_ms") * 1000,
	    evl_now_us(g->st.loop) + cfg_int(cfg, "bounds.stable_ms") * 1000);
	conf.targets = g->set;
	conf.versions = g->named;
	random_bytes(&conf.seed, sizeof(conf.seed));
	random_bytes(&g->seed, sizeof(g->seed));
	conf.publish_terminations = gateway_ends_tell;
	conf.publish_ctx = g;
	g->fwd = fwd_new(&conf);
	apply_settings(g);
}

static void
open_store(struct gateway *g)
{
	struct store_conf conf = {
		.loop = g->st.loop,
		.pool = g->st.pool,
		.address = cfg_str(g->st.cfg, "store.address"),
		.dialect = &adapter_store,
		.counters = g->st.counters,
		.stall_timeout_us =
		    cfg_int(g->st.cfg, "bounds.stable_ms") * 1000,
	};

	random_bytes(&conf.seed, sizeof(conf.seed));
	g->store = store_new(&conf);
	g->config = store_cache_new(g->store, &adapter_config, &config_ops, g);
	g->targets =
	    store_cache_new(g->store, &adapter_targets, &target_ops, g);
	g->versions =
	    store_cache_new(g->store, &adapter_versions, &version_ops, g);
	apply_gather(g);
}

static bool
open_servers(struct gateway *g, struct err *err)
{
	const struct cfg *cfg = g->st.cfg;
	int64_t descriptors = cfg_int(cfg, "limits.descriptors");
	struct hserver_conf conf = {
		.loop = g->st.loop,
		.address = cfg_str(cfg, "listen.callers"),
		.limits = &g->limits,
		.connections_max = (unsigned int)MAX(
		    descriptors / 2, descriptors - DESCRIPTORS_KEPT),
		.bodies_max =
		    (size_t)((double)cfg_int(cfg, "limits.memory_mb") * 1e6 *
			BODIES_SHARE),
		.ops = &fwd_server_ops,
		.ctx = g->fwd,
	};

	/* Until the operators' limits are known. */
	g->limits = (struct hlimits){ .head_bytes = 16384,
		.body_bytes = 4 << 20,
		.head_us = 3000000,
		.idle_us = 15000000 };
	g->callers = hserver_new(&conf, err);
	if (g->callers == NULL)
		return false;
	conf.address = cfg_str(cfg, "listen.ready");
	conf.ops = &ready_ops;
	conf.ctx = g;
	conf.connections_max = 64;
	g->ready = hserver_new(&conf, err);
	return g->ready != NULL;
}

static bool
start(struct gateway *g, const char *settings, struct err *err)
{
	if (!daemon_load(&g->st, settings, err))
		return false;
	g->st.stop = on_stop;
	g->st.reload = on_reload;
	g->st.print_metrics = on_print;
	g->st.ctx = g;
	if (!daemon_open(&g->st, "gateway", err))
		return false;
	open_decisions(g);
	if (!open_servers(g, err) || !gateway_peers_open(g, err))
		return false;
	open_store(g);
	g->tick.fire = on_tick;
	evl_timer_set(g->st.loop, &g->tick, evl_now_us(g->st.loop) + TICK_US);
	evt(EVT_START, "program=gateway domain=%s region=%s callers=%s",
	    cfg_str(g->st.cfg, "node.domain"),
	    cfg_str(g->st.cfg, "node.region"),
	    cfg_str(g->st.cfg, "listen.callers"));
	return true;
}

int
gateway_main(const char *settings)
{
	struct gateway *g = g_new0(struct gateway, 1);
	struct err err = { 0 };

	if (!start(g, settings, &err)) {
		fprintf(stderr, "currantchute: %s\n", err.message);
		return EXIT_USAGE;
	}
	daemon_run(&g->st);
	return EXIT_OK;
}
