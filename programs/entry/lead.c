/*
 * Leader of a workspace's rollouts: the holder of a leased role gives the load
 * orders, fenced by the lease's generation. Sidecars fetch weights on their
 * own; the leader only decides when a complete version may be loaded.
 */

#include <string.h>

#include "entry/entry.h"
#include "route/activate.h"

#define TICK_MS 250
#define STATUS_REQUEST_MS 60000 /* 1,000 hosts at 60 bytes: 1 KB/s */

/* An order that was sent and not yet answered. */
struct order {
	char id[RT_NAME_MAX];
	struct rt_target *target;
	enum rt_order_kind kind;
};

/* Backoff of a target whose load failed. */
struct target_backoff {
	unsigned int failures; /* in a row */
	int64_t until_us;
};

struct rollout_leader {
	struct entry *entry;
	char workspace[RT_NAME_MAX + 1];
	char role_name[RT_NAME_MAX + 1];
	struct agr_role *role; /* NULL once it was given up */
	guint timer; /* runs while the role is held */
	uint64_t next_order;
	GHashTable *orders; /* order id -> struct order */
	GHashTable *backoffs; /* target -> struct target_backoff */
	GHashTable *done; /* model name -> root last reported as done */
};

/* ------------------------------------------------------------------ */
/* Orders                                                              */
/* ------------------------------------------------------------------ */

static bool
has_order(const struct rollout_leader *leader, const struct rt_target *target)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, leader->orders);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (((struct order *)value)->target == target)
			return true;
	}
	return false;
}

static bool
in_backoff(const struct rollout_leader *leader, const struct rt_target *target)
{
	const struct target_backoff *backoff =
	    g_hash_table_lookup(leader->backoffs, target);

	return backoff != NULL && backoff->until_us > clk_now_us(clk_system());
}

static void
send_order(struct rollout_leader *leader, struct rt_target *target,
    const struct rt_model *model, enum rt_order_kind kind)
{
	static const char *const kinds[] = {
		[RT_ORDER_LOAD] = "load",
		[RT_ORDER_DRAIN] = "drain",
		[RT_ORDER_ADMIT] = "admit",
	};
	const struct rt_version *v = model->rollout;
	struct entry_sidecar *sidecar = target->owner;
	/* Read just before sending: the lease may have expired while this
	 * process was paused. */
	uint64_t fence = agr_role_fence(leader->role);
	struct order *order;
	struct rt_order message;

	if (fence == 0)
		return;
	order = g_new0(struct order, 1);
	g_snprintf(order->id, sizeof(order->id),
	    "%.20s-%08x-%" G_GUINT64_FORMAT, leader->entry->proc.node.id,
	    leader->entry->run_id, ++leader->next_order);
	order->target = target;
	order->kind = kind;
	g_hash_table_insert(leader->orders, order->id, order);
	message = (struct rt_order){
		.role = slice_str(leader->role_name),
		.fence = fence,
		.order_id = slice_str(order->id),
		.kind = kind,
		.target = slice_str(target->name),
		.model = slice_str(model->name),
		.version = slice_str(v->name),
		.root = v->root,
		.bytes = v->bytes,
		.chunk_bytes = v->chunk_bytes,
	};
	conn_send(sidecar->conn, &rt_order_desc, &message);
	ctr_add(ctr_get(leader->entry->proc.counters, "lead_orders"), 1);
	tl_add(leader->entry->proc.timeline, "order_sent", target->name,
	    "%s %s, fence %" G_GUINT64_FORMAT, kinds[kind], v->name, fence);
}

static gboolean
is_of_sidecar(gpointer key, gpointer value, gpointer sidecar)
{
	return ((struct order *)value)->target->owner == sidecar;
}

/* The answers to orders sent over a connection that was closed are lost. Orders
 * are idempotent and are sent again. */
static void
drop_lost_orders(struct rollout_leader *leader)
{
	struct entry_sidecar *sidecar;

	TAILQ_FOREACH (sidecar, &leader->entry->sidecars, link) {
		if (!sidecar->open)
			g_hash_table_foreach_remove(
			    leader->orders, is_of_sidecar, sidecar);
	}
}

/* The load failed: the target enters backoff, which grows with each consecutive
 * failure. */
static void
start_backoff(struct rollout_leader *leader, struct rt_target *target)
{
	struct target_backoff *backoff =
	    g_hash_table_lookup(leader->backoffs, target);

	ctr_add(ctr_get(leader->entry->proc.counters, "lead_orders_failed"), 1);
	if (backoff == NULL) {
		backoff = g_new0(struct target_backoff, 1);
		g_hash_table_insert(leader->backoffs, target, backoff);
	}
	backoff->failures++;
	backoff->until_us = clk_now_us(clk_system()) +
	    act_backoff_ms(backoff->failures) * 1000LL;
}

static void
finish_order(struct rollout_leader *leader, const char *id,
    const struct rt_order_done *done)
{
	struct order *order = g_hash_table_lookup(leader->orders, id);

	if (order == NULL)
		return;
	if (done->code != ERR_NONE)
		start_backoff(leader, order->target);
	else if (order->kind == RT_ORDER_LOAD)
		g_hash_table_remove(leader->backoffs, order->target);
	g_hash_table_remove(leader->orders, id);
}

void
leader_order_done(struct entry *entry, struct entry_sidecar *sidecar,
    const struct rt_order_done *done)
{
	char *id = slice_dup(done->order_id);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, entry->leaders);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		finish_order(value, id, done);
	g_free(id);
	leader_wake(entry);
}

/* ------------------------------------------------------------------ */
/* Orders due for a model                                              */
/* ------------------------------------------------------------------ */

static bool
is_placed(const struct rt_target *t, const struct rollout_leader *leader,
    const struct rt_model *model, const GArray *hosts)
{
	return t->kind == RT_ENGINE &&
	    strcmp(t->workspace, leader->workspace) == 0 &&
	    rt_model_placed(model, t->pool, t->domain) &&
	    rt_place_has(hosts, t->sidecar);
}

/* Sidecars report each change of a version's phase unasked. This requests what
 * they reported before this gateway watched them, and is repeated every
 * STATUS_REQUEST_MS only. */
static void
request_status(struct entry_sidecar *sidecar, const struct digest *root)
{
	struct rt_status_get get = { .root = *root };
	int64_t *requested_us =
	    g_hash_table_lookup(sidecar->status_requested_us, root);
	int64_t now_us = clk_now_us(clk_system());

	if (!sidecar->open ||
	    (requested_us != NULL &&
		now_us - *requested_us < STATUS_REQUEST_MS * 1000LL))
		return;
	requested_us = g_new(int64_t, 1);
	*requested_us = now_us;
	g_hash_table_replace(sidecar->status_requested_us,
	    g_memdup2(root, sizeof(*root)), requested_us);
	conn_send(sidecar->conn, &rt_status_get_desc, &get);
}

static struct act_target
target_facts(const struct rollout_leader *leader, const struct rt_target *t,
    const struct digest *root)
{
	const struct entry_sidecar *sidecar = t->owner;
	const struct version_status *status =
	    g_hash_table_lookup(sidecar->statuses, root);

	return (struct act_target){
		.reachable = t->reachable,
		.complete = status != NULL && status->phase == WTS_COMPLETE,
		.loaded = digest_equal(&t->loaded, root),
		.empty = digest_is_none(&t->loaded),
		.drain_ordered = t->drain_ordered,
		.order_pending = has_order(leader, t),
		.in_backoff = in_backoff(leader, t),
		.running = t->reported_running,
	};
}

static void
step_target(struct rollout_leader *leader, struct rt_target *t,
    const struct rt_model *model, struct act_rules *rules)
{
	struct act_target facts =
	    target_facts(leader, t, &model->rollout->root);

	switch (act_next(rules, &facts)) {
	case ACT_NONE:
		break;
	case ACT_QUERY:
		request_status(t->owner, &model->rollout->root);
		break;
	case ACT_DRAIN:
		rules->unavailable++;
		send_order(leader, t, model, RT_ORDER_DRAIN);
		break;
	case ACT_LOAD:
		send_order(leader, t, model, RT_ORDER_LOAD);
		break;
	case ACT_ADMIT:
		send_order(leader, t, model, RT_ORDER_ADMIT);
		break;
	}
}

static void
report_done(
    struct rollout_leader *leader, const struct rt_model *model, unsigned int n)
{
	struct digest *root = g_hash_table_lookup(leader->done, model->name);

	if (root != NULL && digest_equal(root, &model->rollout->root))
		return;
	g_hash_table_replace(leader->done, g_strdup(model->name),
	    g_memdup2(&model->rollout->root, sizeof(*root)));
	tl_add(leader->entry->proc.timeline, "rollout_done", model->name,
	    "%s on %u targets", model->rollout->name, n);
	log_info("rollout of %s to %s complete on %u targets", model->name,
	    model->rollout->name, n);
}

struct host_list {
	struct rt_place *place;
};

static void
add_host(const struct mem_member *member, void *ctx)
{
	struct host_list *list = ctx;
	const struct mem_node *node = &member->node;

	if (node->kind == MEM_SIDECAR && member->state != MEM_LEAVING)
		rt_place_add_host(list->place, node->id, node->address,
		    node->domain, node->info);
}

static GArray *
hosts_of(struct rollout_leader *leader, const struct rt_model *model)
{
	struct host_list list = { rt_place_new(leader->workspace, model) };

	agr_each_member(leader->entry->proc.agr, add_host, &list);
	return rt_place_finish(list.place);
}

static unsigned int
count_unavailable(const struct rollout_leader *leader,
    const struct rt_model *model, const GArray *hosts)
{
	const struct rt_target *t;
	unsigned int n = 0;

	TAILQ_FOREACH (t, &leader->entry->targets, link) {
		if (is_placed(t, leader, model, hosts) && t->drain_ordered)
			n++;
	}
	return n;
}

static void
step_model(struct rollout_leader *leader, const struct rt_model *model)
{
	GArray *hosts = hosts_of(leader, model);
	struct act_rules rules = {
		.room_for_two = model->room_for_two,
		.max_unavailable = model->max_unavailable,
		.unavailable = count_unavailable(leader, model, hosts),
	};
	struct rt_target *t;
	unsigned int placed = 0, loaded = 0;

	TAILQ_FOREACH (t, &leader->entry->targets, link) {
		if (!is_placed(t, leader, model, hosts))
			continue;
		placed++;
		step_target(leader, t, model, &rules);
		if (t->reachable &&
		    digest_equal(&t->loaded, &model->rollout->root))
			loaded++;
	}
	if (placed > 0 && placed == loaded && placed >= hosts->len)
		report_done(leader, model, placed);
	g_array_unref(hosts);
}

static void
tick(struct rollout_leader *leader)
{
	const struct rt_workspace *workspace =
	    entry_workspace(leader->entry, leader->workspace);
	size_t i;

	if (workspace == NULL || leader->role == NULL ||
	    agr_role_fence(leader->role) == 0)
		return;
	drop_lost_orders(leader);
	for (i = 0; i < workspace->nmodels; i++) {
		if (workspace->models[i].rollout != NULL)
			step_model(leader, &workspace->models[i]);
	}
}

static gboolean
on_tick(gpointer data)
{
	struct rollout_leader *leader = data;

	tick(leader);
	return G_SOURCE_CONTINUE;
}

static gboolean
on_wake(gpointer data)
{
	struct entry *entry = data;
	GHashTableIter iter;
	gpointer value;

	entry->leader_idle = 0;
	g_hash_table_iter_init(&iter, entry->leaders);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		tick(value);
	return G_SOURCE_REMOVE;
}

void
leader_wake(struct entry *entry)
{
	/* Changes come in bursts; one pass when the main loop is idle handles
	 * them all. */
	if (entry->leader_idle == 0)
		entry->leader_idle = g_idle_add(on_wake, entry);
}

/* ------------------------------------------------------------------ */
/* The role                                                            */
/* ------------------------------------------------------------------ */

static void
on_gained(struct agr_role *role, uint64_t fence, void *ctx)
{
	struct rollout_leader *leader = ctx;

	tl_add(leader->entry->proc.timeline, "lease_gained", leader->role_name,
	    "fence %" G_GUINT64_FORMAT, fence);
	log_info("gained lease %s with fence %" G_GUINT64_FORMAT,
	    leader->role_name, fence);
	g_hash_table_remove_all(leader->orders);
	if (leader->timer == 0)
		leader->timer = g_timeout_add(TICK_MS, on_tick, leader);
}

static void
on_lost(struct agr_role *role, void *ctx)
{
	struct rollout_leader *leader = ctx;

	tl_add(leader->entry->proc.timeline, "lease_lost", leader->role_name,
	    "this process sends no more orders");
	log_info("lost lease %s", leader->role_name);
	if (leader->timer != 0)
		g_source_remove(leader->timer);
	leader->timer = 0;
}

static void
join_role(struct entry *entry, const char *workspace)
{
	static const struct agr_role_ops ops = {
		.gained = on_gained,
		.lost = on_lost,
	};
	struct rollout_leader *leader = g_new0(struct rollout_leader, 1);

	leader->entry = entry;
	g_strlcpy(leader->workspace, workspace, sizeof(leader->workspace));
	g_snprintf(leader->role_name, sizeof(leader->role_name),
	    "rollout-%.50s", workspace);
	leader->orders =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	leader->backoffs = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	leader->done =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	g_hash_table_insert(entry->leaders, leader->workspace, leader);
	leader->role =
	    agr_role_join(entry->proc.agr, leader->role_name, &ops, leader);
}

void
leader_workspaces_changed(struct entry *entry)
{
	GHashTableIter iter;
	gpointer name;

	if (entry->leaving)
		return;
	g_hash_table_iter_init(&iter, entry->workspaces);
	while (g_hash_table_iter_next(&iter, &name, NULL)) {
		if (!g_hash_table_contains(entry->leaders, name))
			join_role(entry, name);
	}
}

void
leader_resign(struct rollout_leader *leader)
{
	/* The role may be freed after this. Ticks that still run while the last
	 * requests end must not use it. */
	agr_role_leave(leader->role);
	leader->role = NULL;
}

bool
leader_is_local(const struct entry *entry, const char *workspace)
{
	struct rollout_leader *leader =
	    g_hash_table_lookup(entry->leaders, workspace);

	return leader != NULL && leader->role != NULL &&
	    agr_role_fence(leader->role) != 0;
}
