/*
 * Admission of callers' requests: the team's limit over all entries, the
 * queues of this entry, the retry budget. The decisions are adm_*, lim_* and
 * bud_*; here they get their clock, their load and their words to the others.
 */

#include <string.h>

#include "entry/entry.h"

/* Requests one entry passes on at a time, whatever the targets could take:
 * bounds its memory (a held answer is up to RT_WINDOW). */
#define OPEN_MAX 4096
#define VERSIONS_MAX 256 /* of a model; the settings allow no more */
#define LOAD_TICK_MS 100

struct gatekeeper {
	struct entry *entry;
	struct adm *adm;
	GHashTable *teams; /* name -> struct gate_team */
	guint adm_timer;
	guint lim_timer;
	guint load_timer;
};

/* What is kept of a team at this entry. */
struct gate_team {
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
/* Lanes                                                               */
/* ------------------------------------------------------------------ */

/* A lane is a model or a plain service of a team: what competes for the same
 * targets. */
struct adm_queue *
gatekeeper_lane(struct entry *entry, const char *team, const char *model,
    const char *service)
{
	char name[2 * RT_NAME_MAX];

	g_snprintf(name, sizeof(name), "%s:%s",
	    service[0] != '\0' ? "service" : "model",
	    service[0] != '\0' ? service : model);
	return adm_queue(adm_workspace(entry->gatekeeper->adm, team), name);
}

static unsigned int
live_entries(struct entry *entry)
{
	return MAX(entry->live_entries, 1);
}

static void
load_lane(
    struct entry *entry, const struct rt_criteria *wish, const char *model)
{
	struct adm_load load = { .gateways = live_entries(entry) };

	rt_fleet_load(entry->fleet, wish, &load.slots, &load.running);
	adm_queue_load(
	    gatekeeper_lane(entry, wish->workspace, model, wish->service),
	    &load, now_us());
}

static void
load_model(struct entry *entry, const struct rt_team *team,
    const struct rt_model *model)
{
	struct digest roots[VERSIONS_MAX];
	struct rt_criteria wish = {
		.kind = RT_ENGINE,
		.workspace = team->name,
		.pool = model->pool,
		.service = "",
		.roots = roots,
	};

	if (model->nversions <= VERSIONS_MAX)
		wish.nroots = rt_model_roots(model, 0, roots, &wish.ranked);
	load_lane(entry, &wish, model->name);
}

static void
load_service(struct entry *entry, const struct rt_team *team,
    const struct rt_service *service)
{
	const struct rt_criteria wish = {
		.kind = RT_SERVICE,
		.workspace = team->name,
		.pool = service->pool,
		.service = service->name,
	};

	load_lane(entry, &wish, "");
}

void
gatekeeper_spoke(struct entry *entry, const struct rt_target *target)
{
	const struct rt_team *team = entry_workspace(entry, target->workspace);
	size_t i;

	if (team == NULL)
		return;
	for (i = 0; i < team->nmodels; i++) {
		if (target->kind == RT_ENGINE &&
		    strcmp(team->models[i].pool, target->pool) == 0)
			load_model(entry, team, &team->models[i]);
	}
	for (i = 0; i < team->nservices; i++) {
		if (target->kind == RT_SERVICE &&
		    strcmp(team->services[i].name, target->service) == 0)
			load_service(entry, team, &team->services[i]);
	}
}

/* What others run fades while their sides are silent: so do the loads. */
static gboolean
on_load_tick(gpointer data)
{
	struct entry *entry = ((struct gatekeeper *)data)->entry;
	const struct rt_team *team;
	GHashTableIter iter;
	gpointer value;
	size_t i;

	rt_fleet_refresh(entry->fleet, now_us());
	g_hash_table_iter_init(&iter, entry->workspaces);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		team = value;
		for (i = 0; i < team->nmodels; i++)
			load_model(entry, team, &team->models[i]);
		for (i = 0; i < team->nservices; i++)
			load_service(entry, team, &team->services[i]);
	}
	return G_SOURCE_CONTINUE;
}

/* ------------------------------------------------------------------ */
/* Teams                                                               */
/* ------------------------------------------------------------------ */

static struct gate_team *
find_team(struct gatekeeper *g, const char *name)
{
	return g_hash_table_lookup(g->teams, name);
}

static void
set_team(struct gatekeeper *g, struct gate_team *t, const struct rt_team *team)
{
	unsigned int entries = live_entries(g->entry);

	t->retry_permille = team->retry_budget_permille;
	lim_set(t->limit, team->requests_s, entries, now_us());
	adm_workspace_set(adm_workspace(g->adm, t->name), team->weight,
	    (team->queue + entries - 1) / entries);
}

void
gatekeeper_team(struct entry *entry, const struct rt_team *team)
{
	struct gatekeeper *g = entry->gatekeeper;
	struct gate_team *t = find_team(g, team->name);

	if (t == NULL) {
		t = g_new0(struct gate_team, 1);
		g_strlcpy(t->name, team->name, sizeof(t->name));
		t->limit = lim_new(now_us());
		g_hash_table_insert(g->teams, t->name, t);
	}
	set_team(g, t, team);
}

/* The number of live entries changed: everybody's part does too. */
void
gatekeeper_members(struct entry *entry)
{
	struct gatekeeper *g = entry->gatekeeper;
	GHashTableIter iter;
	gpointer value;
	const struct rt_team *team;

	g_hash_table_iter_init(&iter, g->teams);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		team =
		    entry_workspace(entry, ((struct gate_team *)value)->name);
		if (team != NULL)
			set_team(g, value, team);
	}
}

void
gatekeeper_entry_gone(struct entry *entry, const char *id)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, entry->gatekeeper->teams);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		lim_remove(((struct gate_team *)value)->limit, id);
}

void
gatekeeper_told(struct entry *entry, const char *from, const struct msg *m)
{
	struct rt_demand demand;
	struct gate_team *t;
	char *name;

	if (!msg_read(m, &rt_demand_desc, &demand, NULL))
		return;
	name = slice_dup(demand.team);
	t = find_team(entry->gatekeeper, name);
	if (t != NULL)
		lim_reported(t->limit, from, demand.demand_milli_s, now_us());
	g_free(name);
}

/* ------------------------------------------------------------------ */
/* Requests                                                            */
/* ------------------------------------------------------------------ */

bool
gatekeeper_take(struct entry *entry, const char *team, struct err *err)
{
	struct gate_team *t = find_team(entry->gatekeeper, team);

	if (t == NULL)
		return true;
	if (!lim_take(t->limit, now_us(), err))
		return false;
	bud_request(&t->budget, now_us());
	return true;
}

bool
gatekeeper_may_retry(struct entry *entry, const char *team)
{
	struct gate_team *t = find_team(entry->gatekeeper, team);

	return t != NULL &&
	    bud_has_room(&t->budget, t->retry_permille, now_us());
}

void
gatekeeper_retried(struct entry *entry, const char *team)
{
	struct gate_team *t = find_team(entry->gatekeeper, team);

	if (t != NULL)
		bud_retry(&t->budget, now_us());
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

	g_hash_table_iter_init(&iter, g->teams);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct gate_team *t = value;
		struct rt_demand demand = { .team = slice_str(t->name) };

		if (!lim_report_due(t->limit, now_us()))
			continue;
		demand.demand_milli_s = lim_demand(t->limit, now_us());
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
	g->teams = g_hash_table_new(g_str_hash, g_str_equal);
	g->adm_timer = g_timeout_add(ADM_TICK_MS, on_adm_tick, g);
	g->lim_timer = g_timeout_add(LIM_TICK_MS, on_lim_tick, g);
	g->load_timer = g_timeout_add(LOAD_TICK_MS, on_load_tick, g);
	entry->gatekeeper = g;
}
