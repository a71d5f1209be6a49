/*
 * The leased role of a team's rollouts: its holder gives the load orders,
 * fenced by the lease's generation. Sides fetch by themselves; the lead only
 * says when a version that is whole may be loaded.
 */

#include <string.h>

#include "entry/entry.h"
#include "route/activate.h"

#define LEAD_TICK_MS 250
#define ASK_MS 60000 /* 1,000 hosts at 60 bytes: 1 KB/s */

/* An order sent and not answered. */
struct lead_order {
	char id[RT_NAME_MAX];
	struct rt_target *target;
	enum rt_order_kind kind;
};

/* A target whose load failed. */
struct lead_rest {
	unsigned int failures; /* in a row */
	int64_t until_us;
};

struct lead {
	struct entry *entry;
	char team[RT_NAME_MAX + 1];
	char role_name[RT_NAME_MAX + 1];
	struct agr_role *role; /* NULL once it was handed over */
	guint timer; /* runs while the role is held */
	uint64_t next_order;
	GHashTable *orders; /* order id -> struct lead_order */
	GHashTable *rests; /* target -> struct lead_rest */
	GHashTable *done; /* model name -> root last reported as done */
};

/* ------------------------------------------------------------------ */
/* Orders                                                              */
/* ------------------------------------------------------------------ */

static bool
has_order(const struct lead *lead, const struct rt_target *target)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, lead->orders);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (((struct lead_order *)value)->target == target)
			return true;
	}
	return false;
}

static bool
rests(const struct lead *lead, const struct rt_target *target)
{
	const struct lead_rest *rest = g_hash_table_lookup(lead->rests, target);

	return rest != NULL && rest->until_us > clk_now_us(clk_system());
}

static void
send_order(struct lead *lead, struct rt_target *target,
    const struct rt_model *model, enum rt_order_kind kind)
{
	static const char *const kinds[] = {
		[RT_ORDER_LOAD] = "load",
		[RT_ORDER_DRAIN] = "drain",
		[RT_ORDER_ADMIT] = "admit",
	};
	const struct rt_version *v = model->rollout;
	struct entry_side *side = target->owner;
	/* Asked at the last moment: a pause may have ended the lease. */
	uint64_t fence = agr_role_fence(lead->role);
	struct lead_order *order;
	struct rt_order message;

	if (fence == 0)
		return;
	order = g_new0(struct lead_order, 1);
	g_snprintf(order->id, sizeof(order->id),
	    "%.20s-%08x-%" G_GUINT64_FORMAT, lead->entry->proc.node.id,
	    lead->entry->run_id, ++lead->next_order);
	order->target = target;
	order->kind = kind;
	g_hash_table_insert(lead->orders, order->id, order);
	message = (struct rt_order){
		.role = slice_str(lead->role_name),
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
	conn_send(side->conn, &rt_order_desc, &message);
	ctr_add(ctr_get(lead->entry->proc.counters, "lead_orders"), 1);
	tl_add(lead->entry->proc.timeline, "order_sent", target->name,
	    "%s %s, fence %" G_GUINT64_FORMAT, kinds[kind], v->name, fence);
}

static gboolean
is_of_side(gpointer key, gpointer value, gpointer side)
{
	return ((struct lead_order *)value)->target->owner == side;
}

/* The link is gone and with it the answers to what was asked over it; the
 * orders are idempotent and are given again. */
static void
forget_lost_orders(struct lead *lead)
{
	struct entry_side *side;

	TAILQ_FOREACH (side, &lead->entry->sides, link) {
		if (!side->open)
			g_hash_table_foreach_remove(
			    lead->orders, is_of_side, side);
	}
}

/* The load failed: the target rests, longer after each failure in a row. */
static void
note_failure(struct lead *lead, struct rt_target *target)
{
	struct lead_rest *rest = g_hash_table_lookup(lead->rests, target);

	ctr_add(ctr_get(lead->entry->proc.counters, "lead_orders_failed"), 1);
	if (rest == NULL) {
		rest = g_new0(struct lead_rest, 1);
		g_hash_table_insert(lead->rests, target, rest);
	}
	rest->failures++;
	rest->until_us =
	    clk_now_us(clk_system()) + act_backoff_ms(rest->failures) * 1000LL;
}

static void
end_order(struct lead *lead, const char *id, const struct rt_order_done *done)
{
	struct lead_order *order = g_hash_table_lookup(lead->orders, id);

	if (order == NULL)
		return;
	if (done->code != ERR_NONE)
		note_failure(lead, order->target);
	else if (order->kind == RT_ORDER_LOAD)
		g_hash_table_remove(lead->rests, order->target);
	g_hash_table_remove(lead->orders, id);
}

void
lead_order_done(struct entry *entry, struct entry_side *side,
    const struct rt_order_done *done)
{
	char *id = slice_dup(done->order_id);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, entry->leads);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		end_order(value, id, done);
	g_free(id);
	lead_wake(entry);
}

/* ------------------------------------------------------------------ */
/* One pass over a model                                               */
/* ------------------------------------------------------------------ */

static bool
is_place(const struct rt_target *t, const struct lead *lead,
    const struct rt_model *model, const GArray *hosts)
{
	return t->kind == RT_ENGINE && strcmp(t->workspace, lead->team) == 0 &&
	    rt_model_placed(model, t->pool, t->domain) &&
	    rt_place_has(hosts, t->sidecar);
}

/* Sides tell each change of a version's phase by themselves; the question is
 * for what was told before we watched, and goes again only now and then. */
static void
ask_status(struct entry_side *side, const struct digest *root)
{
	struct rt_status_get get = { .root = *root };
	int64_t *asked_us = g_hash_table_lookup(side->asked, root);
	int64_t now_us = clk_now_us(clk_system());

	if (!side->open ||
	    (asked_us != NULL && now_us - *asked_us < ASK_MS * 1000LL))
		return;
	asked_us = g_new(int64_t, 1);
	*asked_us = now_us;
	g_hash_table_replace(
	    side->asked, g_memdup2(root, sizeof(*root)), asked_us);
	conn_send(side->conn, &rt_status_get_desc, &get);
}

static struct act_target
facts_of(const struct lead *lead, const struct rt_target *t,
    const struct digest *root)
{
	const struct entry_side *side = t->owner;
	const struct side_status *status =
	    g_hash_table_lookup(side->statuses, root);

	return (struct act_target){
		.reachable = t->reachable,
		.complete = status != NULL && status->phase == WTS_COMPLETE,
		.loaded = digest_equal(&t->loaded, root),
		.empty = digest_is_none(&t->loaded),
		.drain_ordered = t->drain_ordered,
		.order_pending = has_order(lead, t),
		.in_backoff = rests(lead, t),
		.running = t->reported_running,
	};
}

static void
look_at_target(struct lead *lead, struct rt_target *t,
    const struct rt_model *model, struct act_rules *rules)
{
	struct act_target facts = facts_of(lead, t, &model->rollout->root);

	switch (act_next(rules, &facts)) {
	case ACT_NONE:
		break;
	case ACT_QUERY:
		ask_status(t->owner, &model->rollout->root);
		break;
	case ACT_DRAIN:
		rules->unavailable++;
		send_order(lead, t, model, RT_ORDER_DRAIN);
		break;
	case ACT_LOAD:
		send_order(lead, t, model, RT_ORDER_LOAD);
		break;
	case ACT_ADMIT:
		send_order(lead, t, model, RT_ORDER_ADMIT);
		break;
	}
}

static void
note_done(struct lead *lead, const struct rt_model *model, unsigned int n)
{
	struct digest *root = g_hash_table_lookup(lead->done, model->name);

	if (root != NULL && digest_equal(root, &model->rollout->root))
		return;
	g_hash_table_replace(lead->done, g_strdup(model->name),
	    g_memdup2(&model->rollout->root, sizeof(*root)));
	tl_add(lead->entry->proc.timeline, "rollout_done", model->name,
	    "%s on %u targets", model->rollout->name, n);
	log_info("rollout of %s %s done on %u targets", model->name,
	    model->rollout->name, n);
}

struct offering {
	struct rt_place *place;
};

static void
offer(const struct mem_member *member, void *ctx)
{
	struct offering *offering = ctx;
	const struct mem_node *node = &member->node;

	if (node->kind == MEM_SIDECAR && member->state != MEM_LEAVING)
		rt_place_add_host(offering->place, node->id, node->address,
		    node->domain, node->info);
}

static GArray *
hosts_of(struct lead *lead, const struct rt_model *model)
{
	struct offering offering = { rt_place_new(lead->team, model) };

	agr_each_member(lead->entry->proc.agr, offer, &offering);
	return rt_place_finish(offering.place);
}

static unsigned int
count_unavailable(
    const struct lead *lead, const struct rt_model *model, const GArray *hosts)
{
	const struct rt_target *t;
	unsigned int n = 0;

	TAILQ_FOREACH (t, &lead->entry->targets, link) {
		if (is_place(t, lead, model, hosts) && t->drain_ordered)
			n++;
	}
	return n;
}

static void
look_at_model(struct lead *lead, const struct rt_model *model)
{
	GArray *hosts = hosts_of(lead, model);
	struct act_rules rules = {
		.room_for_two = model->room_for_two,
		.max_unavailable = model->max_unavailable,
		.unavailable = count_unavailable(lead, model, hosts),
	};
	struct rt_target *t;
	unsigned int places = 0, loaded = 0;

	TAILQ_FOREACH (t, &lead->entry->targets, link) {
		if (!is_place(t, lead, model, hosts))
			continue;
		places++;
		look_at_target(lead, t, model, &rules);
		if (t->reachable &&
		    digest_equal(&t->loaded, &model->rollout->root))
			loaded++;
	}
	if (places > 0 && places == loaded && places >= hosts->len)
		note_done(lead, model, places);
	g_array_unref(hosts);
}

static void
tick(struct lead *lead)
{
	const struct rt_workspace *team = entry_team(lead->entry, lead->team);
	size_t i;

	if (team == NULL || lead->role == NULL ||
	    agr_role_fence(lead->role) == 0)
		return;
	forget_lost_orders(lead);
	for (i = 0; i < team->nmodels; i++) {
		if (team->models[i].rollout != NULL)
			look_at_model(lead, &team->models[i]);
	}
}

static gboolean
on_tick(gpointer data)
{
	struct lead *lead = data;

	tick(lead);
	return G_SOURCE_CONTINUE;
}

static gboolean
on_wake(gpointer data)
{
	struct entry *entry = data;
	GHashTableIter iter;
	gpointer value;

	entry->lead_idle = 0;
	g_hash_table_iter_init(&iter, entry->leads);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		tick(value);
	return G_SOURCE_REMOVE;
}

void
lead_wake(struct entry *entry)
{
	/* News comes in bursts; one pass when the loop is idle serves all. */
	if (entry->lead_idle == 0)
		entry->lead_idle = g_idle_add(on_wake, entry);
}

/* ------------------------------------------------------------------ */
/* The role                                                            */
/* ------------------------------------------------------------------ */

static void
on_gained(struct agr_role *role, uint64_t fence, void *ctx)
{
	struct lead *lead = ctx;

	tl_add(lead->entry->proc.timeline, "lease_gained", lead->role_name,
	    "fence %" G_GUINT64_FORMAT, fence);
	log_info(
	    "holds %s with fence %" G_GUINT64_FORMAT, lead->role_name, fence);
	g_hash_table_remove_all(lead->orders);
	if (lead->timer == 0)
		lead->timer = g_timeout_add(LEAD_TICK_MS, on_tick, lead);
}

static void
on_lost(struct agr_role *role, void *ctx)
{
	struct lead *lead = ctx;

	tl_add(lead->entry->proc.timeline, "lease_lost", lead->role_name,
	    "no more orders from here");
	log_info("lost %s", lead->role_name);
	if (lead->timer != 0)
		g_source_remove(lead->timer);
	lead->timer = 0;
}

static void
add_lead(struct entry *entry, const char *team)
{
	static const struct agr_role_ops ops = {
		.gained = on_gained,
		.lost = on_lost,
	};
	struct lead *lead = g_new0(struct lead, 1);

	lead->entry = entry;
	g_strlcpy(lead->team, team, sizeof(lead->team));
	g_snprintf(
	    lead->role_name, sizeof(lead->role_name), "rollout-%.50s", team);
	lead->orders =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	lead->rests = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	lead->done =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	g_hash_table_insert(entry->leads, lead->team, lead);
	lead->role =
	    agr_role_join(entry->proc.agr, lead->role_name, &ops, lead);
}

void
lead_teams_changed(struct entry *entry)
{
	GHashTableIter iter;
	gpointer name;

	if (entry->leaving)
		return;
	g_hash_table_iter_init(&iter, entry->teams);
	while (g_hash_table_iter_next(&iter, &name, NULL)) {
		if (!g_hash_table_contains(entry->leads, name))
			add_lead(entry, name);
	}
}

void
lead_hand_over(struct lead *lead)
{
	/* The role may be gone after this; passes that are still due, while
	 * the last requests end, must not ask it. */
	agr_role_leave(lead->role);
	lead->role = NULL;
}

bool
lead_holds(const struct entry *entry, const char *team)
{
	struct lead *lead = g_hash_table_lookup(entry->leads, team);

	return lead != NULL && lead->role != NULL &&
	    agr_role_fence(lead->role) != 0;
}
