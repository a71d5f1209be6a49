/*
 * Which versions the settings place on this host, and which other hosts
 * transfer them too. Each sidecar computes this by itself from the active
 * settings and the members.
 */

#include <string.h>

#include "side/side.h"

/* Changes of members come in bursts; one pass handles a whole burst. */
#define PLACE_DELAY_MS 50

/* ------------------------------------------------------------------ */
/* Wanted versions                                                     */
/* ------------------------------------------------------------------ */

struct placement_pass {
	struct side *side;
	struct rt_place *place;
	GHashTable *wanted; /* struct digest -> itself */
};

static void
add_host(const struct mem_member *member, void *ctx)
{
	struct placement_pass *pass = ctx;
	const struct mem_node *node = &member->node;

	if (node->kind == MEM_SIDECAR && member->state != MEM_LEAVING)
		rt_place_add_host(pass->place, node->id, node->address,
		    node->domain, node->info);
}

/* Sets the other hosts of the rollout as peers of the transfer. */
static void
set_transfer_peers(struct side *side, const struct digest *root, GArray *hosts)
{
	GArray *peers = g_array_new(FALSE, FALSE, sizeof(struct wts_peer));
	guint i;

	for (i = 0; i < hosts->len; i++) {
		struct rt_place_host *h =
		    &g_array_index(hosts, struct rt_place_host, i);
		struct wts_peer peer = { h->id, h->address, h->domain };

		if (strcmp(h->id, side->proc.node.id) != 0)
			g_array_append_val(peers, peer);
	}
	wts_set_peers(
	    side->wts, root, (struct wts_peer *)peers->data, peers->len);
	g_array_unref(peers);
}

static void
want_version(
    struct placement_pass *pass, const struct rt_model *model, GArray *hosts)
{
	const struct rt_version *v = model->rollout;
	struct wts_want w = {
		.version = {
			.root = v->root,
			.bytes = v->bytes,
			.chunk_bytes = v->chunk_bytes,
		},
		.policy = model->time_first ? WTS_TIME_FIRST
					    : WTS_ORIGIN_FIRST,
		.origin_copies = model->origin_copies,
	};
	struct err err = { 0 };

	g_strlcpy(w.version.weights, v->weights, sizeof(w.version.weights));
	g_strlcpy(w.version.chunks, v->chunks, sizeof(w.version.chunks));
	if (!wts_want(pass->side->wts, &w, &err)) {
		log_warn(
		    "version %s of %s: %s", v->name, model->name, err.message);
		return;
	}
	set_transfer_peers(pass->side, &v->root, hosts);
	g_hash_table_add(pass->wanted, g_memdup2(&v->root, sizeof(v->root)));
}

static void
place_model(struct placement_pass *pass, const struct rt_workspace *workspace,
    const struct rt_model *model)
{
	GArray *hosts;

	if (model->rollout == NULL)
		return;
	pass->place = rt_place_new(workspace->name, model);
	agr_each_member(pass->side->proc.agr, add_host, pass);
	hosts = rt_place_finish(pass->place);
	if (rt_place_has(hosts, pass->side->proc.node.id))
		want_version(pass, model, hosts);
	g_array_unref(hosts);
}

/* ------------------------------------------------------------------ */
/* Unwanted versions                                                   */
/* ------------------------------------------------------------------ */

static bool
is_loaded(const struct side *side, const struct digest *root)
{
	const struct side_target *t;

	TAILQ_FOREACH (t, &side->targets, link) {
		if (digest_equal(&t->loaded, root) || (t->loading != NULL))
			return true;
	}
	return false;
}

/* Drops each version that is neither wanted nor loaded. One that an engine
 * still serves is retained, since the next version may share its chunks and a
 * failed load falls back to it. */
static void
drop_unwanted(struct placement_pass *pass)
{
	struct side *side = pass->side;
	GHashTableIter iter;
	gpointer root;

	g_hash_table_iter_init(&iter, side->requested);
	while (g_hash_table_iter_next(&iter, &root, NULL)) {
		if (g_hash_table_contains(pass->wanted, root) ||
		    is_loaded(side, root))
			continue;
		wts_drop(side->wts, root);
		g_hash_table_iter_remove(&iter);
	}
	g_hash_table_iter_init(&iter, pass->wanted);
	while (g_hash_table_iter_next(&iter, &root, NULL)) {
		if (!g_hash_table_contains(side->requested, root))
			g_hash_table_add(side->requested,
			    g_memdup2(root, sizeof(struct digest)));
	}
}

static gboolean
run_placement(gpointer data)
{
	struct side *side = data;
	struct placement_pass pass = {
		.side = side,
		.wanted = g_hash_table_new_full(
		    digest_hash, digest_equal_ptr, g_free, NULL),
	};
	GHashTableIter iter;
	gpointer value;
	size_t i;

	side->place_timer = 0;
	g_hash_table_iter_init(&iter, side->workspaces);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct rt_workspace *workspace = value;

		for (i = 0; i < workspace->nmodels; i++)
			place_model(&pass, workspace, &workspace->models[i]);
	}
	drop_unwanted(&pass);
	g_hash_table_unref(pass.wanted);
	return G_SOURCE_REMOVE;
}

void
place_schedule(struct side *side)
{
	if (side->place_timer == 0)
		side->place_timer =
		    g_timeout_add(PLACE_DELAY_MS, run_placement, side);
}

/* ------------------------------------------------------------------ */
/* Settings                                                            */
/* ------------------------------------------------------------------ */

static void
apply_root_branch(struct side *side, const struct cfg *cfg)
{
	const char *domain = cfg_str(side->proc.cfg, "node.domain");

	side->draining = cfg_list_has(cfg, "drain.hosts", side->proc.node.id) ||
	    cfg_list_has(cfg, "drain.domains", domain);
	targets_announce(side);
}

void
place_branch(struct side *side, const struct inf_branch *branch)
{
	struct cfg *cfg;
	struct err err = { 0 };

	if (strcmp(branch->name, INF_ROOT_BRANCH) == 0) {
		apply_root_branch(side, branch->cfg);
		return;
	}
	cfg = cfg_parse(branch->name, branch->yaml, strlen(branch->yaml),
	    &cfg_branch_schema, &err);
	if (cfg == NULL) {
		log_warn("branch %s: %s", branch->name, err.message);
		return;
	}
	g_hash_table_replace(side->workspaces, g_strdup(branch->name),
	    rt_workspace_read(cfg, branch->version));
	place_schedule(side);
}

static void
send_status(struct side_peer *peer, const struct digest *root)
{
	struct wts_progress progress = { 0 };
	struct rt_status status;

	wts_progress(peer->side->wts, root, &progress);
	status = (struct rt_status){
		.root = *root,
		.phase = progress.phase,
		.have = progress.have,
		.total = progress.total,
		.why = slice_str(progress.why),
	};
	conn_send(peer->conn, &rt_status_desc, &status);
}

void
place_notify(struct side *side, const struct digest *root)
{
	struct side_peer *peer;

	TAILQ_FOREACH (peer, &side->peers, link) {
		if (peer->watching)
			send_status(peer, root);
	}
}

void
place_status(struct side_peer *peer, const struct msg *m)
{
	struct rt_status_get get;

	if (msg_read(m, &rt_status_get_desc, &get, NULL))
		send_status(peer, &get.root);
}
