/*
 * Admission of callers' requests: the workspace's rate limit over all gateways,
 * the admission queues and the retry budget of this gateway. The decisions are
 * made by adm_*, lim_* and bud_*; this file provides the clock and the load and
 * exchanges messages with the other gateways.
 */

#include <string.h>

#include "entry/entry.h"

/* Requests in progress at one gateway, whatever the capacity of the targets:
 * bounds its memory (a buffered answer takes up to RT_WINDOW_BYTES). */
#define OPEN_MAX 4096
#define VERSIONS_MAX 256 /* per model; the settings allow no more */
#define LOAD_TICK_MS 100

struct gatekeeper {
	struct entry *entry;
	struct adm *adm;
	GHashTable *workspaces; /* name -> struct gate_workspace */
	guint adm_timer;
	guint lim_timer;
	guint load_timer;
};

/* Admission state of a workspace at this gateway. */
struct gate_workspace {
	char name[RT_NAME_MAX + 1];
	struct lim *limit;
	struct bud budget;
	unsigned int retry_permille;
};

static int64_t
now_us(void)
{
	return clk_now_us(clk_system());
}

/* ------------------------------------------------------------------ */
/* Admission queues                                                    */
/* ------------------------------------------------------------------ */

/* One admission queue per model or plain service of a workspace: its requests
 * compete for the same targets. */
struct adm_queue *
gatekeeper_queue(struct entry *entry, const char *workspace, const char *model,
    const char *service)
{
	char name[2 * RT_NAME_MAX];

	g_snprintf(name, sizeof(name), "%s:%s",
	    service[0] != '\0' ? "service" : "model",
	    service[0] != '\0' ? service : model);
	return adm_queue(
	    adm_workspace(entry->gatekeeper->adm, workspace), name);
}

static unsigned int
live_gateways(struct entry *entry)
{
	return MAX(entry->live_gateways, 1);
}

static void
update_queue(
    struct entry *entry, const struct rt_criteria *criteria, const char *model)
{
	struct adm_load load = { .gateways = live_gateways(entry) };

	rt_fleet_load(entry->fleet, criteria, &load.slots, &load.running);
	adm_queue_load(gatekeeper_queue(entry, criteria->workspace, model,
			   criteria->service),
	    &load, now_us());
}

static void
update_model(struct entry *entry, const struct rt_workspace *workspace,
    const struct rt_model *model)
{
	struct digest roots[VERSIONS_MAX];
	struct rt_criteria criteria = {
		.kind = RT_ENGINE,
		.workspace = workspace->name,
		.pool = model->pool,
		.service = "",
		.roots = roots,
	};

	if (model->nversions <= VERSIONS_MAX)
		criteria.nroots =
		    rt_model_roots(model, 0, roots, &criteria.ranked);
	update_queue(entry, &criteria, model->name);
}

static void
update_service(struct entry *entry, const struct rt_workspace *workspace,
    const struct rt_service *service)
{
	const struct rt_criteria criteria = {
		.kind = RT_SERVICE,
		.workspace = workspace->name,
		.pool = service->pool,
		.service = service->name,
	};

	update_queue(entry, &criteria, "");
}

void
gatekeeper_target_changed(struct entry *entry, const struct rt_target *target)
{
	const struct rt_workspace *workspace =
	    entry_workspace(entry, target->workspace);
	size_t i;

	if (workspace == NULL)
		return;
	for (i = 0; i < workspace->nmodels; i++) {
		if (target->kind == RT_ENGINE &&
		    strcmp(workspace->models[i].pool, target->pool) == 0)
			update_model(entry, workspace, &workspace->models[i]);
	}
	for (i = 0; i < workspace->nservices; i++) {
		if (target->kind == RT_SERVICE &&
		    strcmp(workspace->services[i].name, target->service) == 0)
			update_service(
			    entry, workspace, &workspace->services[i]);
	}
}

/* The estimated number of requests of other gateways decays while sidecars are
 * not responding; passes the resulting load on to the queues. */
static gboolean
on_load_tick(gpointer data)
{
	struct entry *entry = ((struct gatekeeper *)data)->entry;
	const struct rt_workspace *workspace;
	GHashTableIter iter;
	gpointer value;
	size_t i;

	rt_fleet_refresh(entry->fleet, now_us());
	g_hash_table_iter_init(&iter, entry->workspaces);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		workspace = value;
		for (i = 0; i < workspace->nmodels; i++)
			update_model(entry, workspace, &workspace->models[i]);
		for (i = 0; i < workspace->nservices; i++)
			update_service(
			    entry, workspace, &workspace->services[i]);
	}
	return G_SOURCE_CONTINUE;
}

/* ------------------------------------------------------------------ */
/* Workspaces                                                          */
/* ------------------------------------------------------------------ */

static struct gate_workspace *
find_workspace(struct gatekeeper *g, const char *name)
{
	return g_hash_table_lookup(g->workspaces, name);
}

static void
set_workspace(struct gatekeeper *g, struct gate_workspace *w,
    const struct rt_workspace *workspace)
{
	unsigned int gateways = live_gateways(g->entry);

	w->retry_permille = workspace->retry_budget_permille;
	lim_set(w->limit, workspace->requests_s, gateways, now_us());
	adm_workspace_set(adm_workspace(g->adm, w->name), workspace->weight,
	    (workspace->queue + gateways - 1) / gateways);
}

void
gatekeeper_set_workspace(
    struct entry *entry, const struct rt_workspace *workspace)
{
	struct gatekeeper *g = entry->gatekeeper;
	struct gate_workspace *w = find_workspace(g, workspace->name);

	if (w == NULL) {
		w = g_new0(struct gate_workspace, 1);
		g_strlcpy(w->name, workspace->name, sizeof(w->name));
		w->limit = lim_new(now_us());
		g_hash_table_insert(g->workspaces, w->name, w);
	}
	set_workspace(g, w, workspace);
}

/* The number of live gateways changed, and with it the share of each. */
void
gatekeeper_members_changed(struct entry *entry)
{
	struct gatekeeper *g = entry->gatekeeper;
	GHashTableIter iter;
	gpointer value;
	const struct rt_workspace *workspace;

	g_hash_table_iter_init(&iter, g->workspaces);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		workspace = entry_workspace(
		    entry, ((struct gate_workspace *)value)->name);
		if (workspace != NULL)
			set_workspace(g, value, workspace);
	}
}

void
gatekeeper_gateway_removed(struct entry *entry, const char *id)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, entry->gatekeeper->workspaces);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		lim_remove(((struct gate_workspace *)value)->limit, id);
}

void
gatekeeper_demand_received(
    struct entry *entry, const char *from, const struct msg *m)
{
	struct rt_demand demand;
	struct gate_workspace *w;
	char *name;

	if (!msg_read(m, &rt_demand_desc, &demand, NULL))
		return;
	name = slice_dup(demand.workspace);
	w = find_workspace(entry->gatekeeper, name);
	if (w != NULL)
		lim_reported(w->limit, from, demand.demand_milli_s, now_us());
	g_free(name);
}

/* ------------------------------------------------------------------ */
/* Requests                                                            */
/* ------------------------------------------------------------------ */

bool
gatekeeper_take(struct entry *entry, const char *workspace, struct err *err)
{
	struct gate_workspace *w = find_workspace(entry->gatekeeper, workspace);

	if (w == NULL)
		return true;
	if (!lim_take(w->limit, now_us(), err))
		return false;
	bud_request(&w->budget, now_us());
	return true;
}

bool
gatekeeper_may_retry(struct entry *entry, const char *workspace)
{
	struct gate_workspace *w = find_workspace(entry->gatekeeper, workspace);

	return w != NULL &&
	    bud_has_room(&w->budget, w->retry_permille, now_us());
}

void
gatekeeper_retried(struct entry *entry, const char *workspace)
{
	struct gate_workspace *w = find_workspace(entry->gatekeeper, workspace);

	if (w != NULL)
		bud_retry(&w->budget, now_us());
}

/* ------------------------------------------------------------------ */
/* Time                                                                */
/* ------------------------------------------------------------------ */

static gboolean
on_adm_tick(gpointer data)
{
	struct gatekeeper *g = data;

	adm_expire(g->adm, now_us());
	return G_SOURCE_CONTINUE;
}

static gboolean
on_lim_tick(gpointer data)
{
	struct gatekeeper *g = data;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, g->workspaces);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct gate_workspace *w = value;
		struct rt_demand demand = { .workspace = slice_str(w->name) };

		if (!lim_report_due(w->limit, now_us()))
			continue;
		demand.demand_milli_s = lim_demand(w->limit, now_us());
		peers_send_all(g->entry, &rt_demand_desc, &demand);
	}
	return G_SOURCE_CONTINUE;
}

void
gatekeeper_open(struct entry *entry)
{
	struct gatekeeper *g = g_new0(struct gatekeeper, 1);

	g->entry = entry;
	g->adm = adm_new(OPEN_MAX, request_adm_ops(), NULL);
	g->workspaces = g_hash_table_new(g_str_hash, g_str_equal);
	g->adm_timer = g_timeout_add(ADM_TICK_MS, on_adm_tick, g);
	g->lim_timer = g_timeout_add(LIM_TICK_MS, on_lim_tick, g);
	g->load_timer = g_timeout_add(LOAD_TICK_MS, on_load_tick, g);
	entry->gatekeeper = g;
}
