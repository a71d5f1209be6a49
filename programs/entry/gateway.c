/* The gateway: set-up, local copies of the store, readiness, planned stop. */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "entry/gateway.h"
#include "serve/stop.h"
#include "shared/proc.h"

#define TICK_US 100000
/* Period in which a process gets its share of a CPU, at once if it needs it; the
 * default of the kernel's bandwidth control. */
#define CPU_PERIOD_US 100000
/* Longer hold-ups are logged: shorter than the part of a CPU period that a small
 * share leaves out. */
#define HELD_UP_US 40000
/*
 * Fractions of the retry budget that are used. A process applies the ratio to the
 * requests of the last window at the time of the retry, and of bursts fewer may
 * lie in a window of the budget. Retries may be held up on the way, so that more
 * of them arrive in a window than were sent in one.
 */
#define RATIO_USED 0.8
#define SLACK_USED 0.9
/* Descriptors reserved for files and for calls to targets. */
#define DESCRIPTORS_RESERVED 1200
/* Shares of the memory that request bodies and buffered answers may take. */
#define BODIES_SHARE 0.25
#define ANSWERS_SHARE 0.125

/* ------------------------------------------------------------------ */
/* Updates from the store                                              */
/* ------------------------------------------------------------------ */

/* Time since `at_us` in milliseconds; -1: never. */
static int64_t
age_ms(int64_t now_us, int64_t at_us)
{
	return at_us == 0 ? -1 : (now_us - at_us) / 1000;
}

static void
on_link(struct gateway *g, const char *kind, const struct store_cache *cache,
    bool up, const char *why)
{
	int64_t now_us = evl_now_us(g->st.loop);

	evt(up ? EVT_STORE_BACK : EVT_STORE_LOST,
	    "kind=%s why=%s age_ms=%" G_GINT64_FORMAT
	    " call_ms=%" G_GINT64_FORMAT " wait_ms=%" G_GINT64_FORMAT,
	    kind, why, age_ms(now_us, store_cache_answered_us(cache)),
	    age_ms(now_us, store_cache_called_us(cache)),
	    store_cache_wait_ms(cache));
}

static void
config_put(const char *name, void *value, void *ctx)
{
	struct gateway *g = ctx;
	struct sv_config *config = value;
	struct rtab *before = fwd_routes(g->fwd);

	if (before != NULL && rtab_config(before)->version >= config->version) {
		/* Settings never revert to an older version. */
		if (rtab_config(before)->version > config->version)
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
	    " routes=%zu workspaces=%zu idle_ms=%" G_GINT64_FORMAT
	    " head_ms=%" G_GINT64_FORMAT " outcome=in_force",
	    config->version, config->nroutes, config->nworkspaces,
	    config->idle_us / 1000, config->head_us / 1000);
	fwd_set_routes(g->fwd, rtab_new(config));
	/* Without settings no desired state was sent: sidecars that have just
	 * started would wait for the next periodic one, up to 0.4 s. */
	if (before == NULL)
		gateway_desired_changed(g);
}

static void
config_removed(const char *name, bool expired, void *ctx)
{
	/* Operators never remove the settings as a whole: the known version
	 * stays active. */
	evt(EVT_CONFIG, "outcome=removed_ignored");
}

static void
config_link(bool up, const char *why, void *ctx)
{
	struct gateway *g = ctx;

	on_link(g, "config", g->config, up, why);
}

static const struct store_cache_ops config_ops = {
	.put = config_put,
	.removed = config_removed,
	.link = config_link,
};

struct tgt *
gateway_target_replaced(
    struct gateway *g, const struct tgt *before, struct tgt *now)
{
	if (before == NULL || before == now)
		return now;
	hpool_remove_address(g->st.pool, now->record.address);
	evt(EVT_TARGET, "target=%s address=%s state=started_again",
	    now->record.id, now->record.address);
	return now;
}

static const char *
target_state(const struct gateway *g, const struct tgt *t)
{
	if (t->leaving)
		return "leaving";
	return t->retry_after_us > evl_now_us(g->st.loop) ? "deferred"
							  : "ready";
}

static void
target_put(const char *name, void *value, void *ctx)
{
	struct gateway *g = ctx;
	struct sv_target *record = value;
	const struct tgt *before = tgt_find(g->set, record->id);
	bool is_new = before == NULL;
	/* All records come again when the store has a new history. */
	bool is_known =
	    !is_new && memcmp(&before->record, record, sizeof(*record)) == 0;
	const struct tgt *t = gateway_target_replaced(
	    g, before, tgt_put(g->set, record, evl_now_us(g->st.loop)));

	if (!is_known)
		evt(EVT_TARGET,
		    "target=%s service=%s address=%s state=%s model_version=%" G_GINT64_FORMAT
		    " revision=%" G_GINT64_FORMAT,
		    record->id, record->service, record->address,
		    target_state(g, t), record->model_version,
		    store_cache_revision(g->targets));
	if (is_new)
		gateway_desired_new_target(g);
	g_free(record);
	fwd_pump(g->fwd);
}

static void
target_removed(const char *name, bool expired, void *ctx)
{
	struct gateway *g = ctx;
	const struct tgt *restored;

	evt(EVT_TARGET_REMOVED, "target=%s how=%s", name,
	    expired ? "missing_after_silence" : "told");
	restored = tgt_removed(g->set, name, expired, evl_now_us(g->st.loop));
	if (restored != NULL) {
		evt(EVT_TARGET, "target=%s address=%s state=restored",
		    restored->record.id, restored->record.address);
		gateway_desired_new_target(g);
	}
}

static void
targets_restored(void *ctx)
{
	struct gateway *g = ctx;

	tgt_restored(g->set, evl_now_us(g->st.loop));
}

static void
targets_link_changed(bool up, const char *why, void *ctx)
{
	struct gateway *g = ctx;

	on_link(g, "targets", g->targets, up, why);
}

static const struct store_cache_ops target_ops = {
	.put = target_put,
	.removed = target_removed,
	.restored = targets_restored,
	.link = targets_link_changed,
};

static void
version_put(const char *name, void *value, void *ctx)
{
	struct gateway *g = ctx;
	struct sv_version *v = value;

	if (vers_announced(g->announced, v,
		g->versions == NULL || !store_cache_synced(g->versions),
		evl_heard_us(g->st.loop)))
		evt(EVT_VERSION, "model=%s version=%" G_GINT64_FORMAT, v->model,
		    v->version);
	g_free(v);
	fwd_versions_changed(g->fwd);
	gateway_desired_changed(g);
}

static void
version_removed(const char *name, bool expired, void *ctx)
{
	evt(EVT_VERSION, "model=%s outcome=removed_ignored", name);
}

static void
versions_link_changed(bool up, const char *why, void *ctx)
{
	struct gateway *g = ctx;

	on_link(g, "versions", g->versions, up, why);
}

static const struct store_cache_ops version_ops = {
	.put = version_put,
	.removed = version_removed,
	.link = versions_link_changed,
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
on_ready_request(struct hreq *r, void *ctx)
{
	struct gateway *g = ctx;

	check_ready(g);
	hreq_answer(r, g->is_ready ? 200 : 503, "", "", 0);
}

static void
ignore_request(struct hreq *r, void *ctx)
{
}

static void
on_refused(unsigned int status, void *ctx)
{
	struct gateway *g = ctx;

	ctr_add(ctr_get(g->st.counters, "ready_refused"), 1);
}

static const struct hserver_ops ready_ops = {
	.request = on_ready_request,
	.disconnected = ignore_request,
	.drained = ignore_request,
	.refused = on_refused,
};

/* ------------------------------------------------------------------ */
/* Time                                                                */
/* ------------------------------------------------------------------ */

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
	fwd_drain(g->fwd);
	if (step != STOP_EXIT)
		return;
	evt(EVT_STOP,
	    "outcome=ended active=%u connections=%u ms=%" G_GINT64_FORMAT,
	    state.active, state.connections, (now_us - g->stopping_us) / 1000);
	fwd_end_all(g->fwd);
	daemon_quit(&g->st);
}

static void
log_callers(struct gateway *g)
{
	bool full = hserver_is_full(g->callers);

	if (full == g->callers_full)
		return;
	g->callers_full = full;
	evt(EVT_CALLERS, "state=%s connections=%u idle=%u requests=%u",
	    full ? "full" : "open", hserver_connections(g->callers),
	    hserver_idle_connections(g->callers), fwd_active(g->fwd));
}

/* What is late here looks like silence of targets and of callers. */
static void
note_held_up(struct gateway *g)
{
	struct evl_late late = evl_late(g->st.loop);

	if (late.at_us == g->held_up_us)
		return;
	g->held_up_us = late.at_us;
	hist_add(&g->late, late.us);
	if (late.us >= HELD_UP_US)
		evt(EVT_HELD_UP, "ms=%" G_GINT64_FORMAT " active=%u",
		    late.us / 1000, fwd_active(g->fwd));
}

static void
on_tick(struct evl_timer *timer)
{
	struct gateway *g = CONTAINER_OF(timer, struct gateway, tick);
	int64_t now_us = evl_now_us(g->st.loop);

	note_held_up(g);
	tgt_sweep(g->set, now_us);
	fwd_sweep(g->fwd);
	gateway_outage_update(g);
	check_ready(g);
	log_callers(g);
	gateway_account_update(g);
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

static int64_t
pause_us(const struct cfg *cfg)
{
	double share = cfg_num(cfg, "limits.cpu_share");

	return share >= 1 ? 0 : (int64_t)((1 - share) * CPU_PERIOD_US);
}

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
	fwd_set_pause(g->fwd, pause_us(cfg));
	budget->ratio = RATIO_USED * cfg_num(cfg, "bounds.retry_ratio");
	budget->slack = SLACK_USED * cfg_num(cfg, "bounds.retry_slack");
	budget->window_us =
	    (int64_t)(cfg_num(cfg, "bounds.retry_window_s") * G_USEC_PER_SEC);
	for (i = 0; (domain = cfg_key(cfg, i, "domains")) != NULL; i++)
		tgt_set_domain(
		    g->set, domain, cfg_str(cfg, "domains.%s", domain));
}

/*
 * Batch delay of target updates as a share of the time within which a target
 * that leaves must get no more requests. An engine's record changes whenever it
 * starts, loads a version or stops: among hundreds of engines there is always
 * one that does, and each gateway would call the store again as soon as the
 * last call returns. The rest of the time is for the call. A lost answer is
 * noticed within the store's stall timeout, in which the bound does not apply.
 */
#define TARGETS_BATCH_SHARE 0.2

static void
apply_store_bounds(struct gateway *g)
{
	int64_t drain_us = cfg_int(g->st.cfg, "bounds.drain_ms") * 1000;

	store_cache_set_change_bound(
	    g->config, cfg_int(g->st.cfg, "bounds.config_ms") * 1000);
	store_cache_set_batch_delay(
	    g->targets, (int64_t)((double)drain_us * TARGETS_BATCH_SHARE));
}

static void
on_reload(void *ctx)
{
	struct gateway *g = ctx;

	apply_settings(g);
	apply_store_bounds(g);
	store_set_address(g->store, cfg_str(g->st.cfg, "store.address"));
}

static void
on_print(void *ctx, GString *out)
{
	struct gateway *g = ctx;
	int64_t now_us = evl_now_us(g->st.loop);

	fwd_print(g->fwd, out);
	hist_print(&g->late, "loop_late_seconds", out);
	g_string_append_printf(out,
	    "gateway_ready %d\nconfig_version %" G_GINT64_FORMAT
	    "\nconfig_heard_age_ms %" G_GINT64_FORMAT
	    "\ntargets_heard_age_ms %" G_GINT64_FORMAT
	    "\nversions_heard_age_ms %" G_GINT64_FORMAT
	    "\nconfig_call_age_ms %" G_GINT64_FORMAT
	    "\nstore_down %d\ndeadlines_put_off_ms %" G_GINT64_FORMAT
	    "\ncaller_connections %u\ntargets_limited %u\n",
	    g->is_ready,
	    fwd_routes(g->fwd) == NULL
		? 0
		: rtab_config(fwd_routes(g->fwd))->version,
	    age_ms(now_us, store_cache_answered_us(g->config)),
	    age_ms(now_us, store_cache_answered_us(g->targets)),
	    age_ms(now_us, store_cache_answered_us(g->versions)),
	    age_ms(now_us, store_cache_called_us(g->config)), g->outage.down,
	    g->outage.total_us / 1000, hserver_connections(g->callers),
	    tgt_limited(g->set));
}

/* ------------------------------------------------------------------ */
/* Start                                                               */
/* ------------------------------------------------------------------ */

static size_t
memory_share(const struct cfg *cfg, double share)
{
	return (size_t)((double)cfg_int(cfg, "limits.memory_mb") * 1e6 * share);
}

static void
open_routing(struct gateway *g)
{
	const struct cfg *cfg = g->st.cfg;
	static const struct tgt_policy none;
	struct fwd_conf conf = {
		.loop = g->st.loop,
		.pool = g->st.pool,
		.dialect = &adapter_headers,
		.answers_max = memory_share(cfg, ANSWERS_SHARE),
		.counters = g->st.counters,
	};

	g->gateways = (unsigned int)cfg_int(cfg, "policy.gateways");
	g->set = tgt_set_new(cfg_str(cfg, "node.region"), &none);
	g->announced = vers_new(cfg_int(cfg, "bounds.version_ms") * 1000,
	    evl_now_us(g->st.loop) + cfg_int(cfg, "bounds.stable_ms") * 1000);
	conf.targets = g->set;
	conf.versions = g->announced;
	random_bytes(&conf.seed, sizeof(conf.seed));
	random_bytes(&g->seed, sizeof(g->seed));
	conf.publish_terminations = gateway_terminations_send;
	conf.account_changed = gateway_account_changed;
	conf.publish_ctx = g;
	g->fwd = fwd_new(&conf);
	apply_settings(g);
}

static void
on_store_read(int64_t us, void *ctx)
{
	struct gateway *g = ctx;

	fwd_expect_hold_up(g->fwd, us);
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
		.before_read = on_store_read,
		.ctx = g,
	};

	random_bytes(&conf.seed, sizeof(conf.seed));
	g->store = store_new(&conf);
	/* After an outage the second cache finds the store back first. */
	g->targets =
	    store_cache_new(g->store, &adapter_targets, &target_ops, g);
	g->config = store_cache_new(g->store, &adapter_config, &config_ops, g);
	g->versions =
	    store_cache_new(g->store, &adapter_versions, &version_ops, g);
	apply_store_bounds(g);
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
		    descriptors / 2, descriptors - DESCRIPTORS_RESERVED),
		.bodies_max = memory_share(cfg, BODIES_SHARE),
		.ops = &fwd_server_ops,
		.ctx = g->fwd,
	};

	/* Defaults until the operators' settings have arrived. */
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
	open_routing(g);
	if (!open_servers(g, err) || !gateway_peers_open(g, err))
		return false;
	open_store(g);
	g->tick.fire = on_tick;
	evl_timer_set(g->st.loop, &g->tick, evl_now_us(g->st.loop) + TICK_US);
	evt(EVT_START,
	    "program=gateway domain=%s region=%s callers=%s start=%016" G_GINT64_MODIFIER
	    "x",
	    cfg_str(g->st.cfg, "node.domain"),
	    cfg_str(g->st.cfg, "node.region"),
	    cfg_str(g->st.cfg, "listen.callers"), g->seed);
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
