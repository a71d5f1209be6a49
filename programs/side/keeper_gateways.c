/* Talk with gateways: their views come in, the engine's load goes out. */

#include <arpa/inet.h>
#include <string.h>

#include "serve/side.h"
#include "side/keeper.h"

/* A gateway that has said nothing for so long is told nothing more. */
#define GATEWAY_SILENT_US 3000000
/* A load that has not changed is told again this often, so that its age and
 * the keeper's silence mean something. */
#define TELL_AGAIN_US 250000
/* Least time between two loads for a gateway. Those of other regions choose
 * this engine less, and bytes between regions are dear: all keepers to all
 * gateways at the near rate would be most of what crosses. */
#define TELL_NEAR_US 25000
#define TELL_FAR_US 150000

/* ------------------------------------------------------------------ */
/* Gateways                                                            */
/* ------------------------------------------------------------------ */

static struct keeper_gateway *
gateway_at(struct keeper *k, guint i)
{
	return &g_array_index(k->gateways, struct keeper_gateway, i);
}

static void
note_gateway(struct keeper *k, const char *from, const struct side_view *view)
{
	struct keeper_gateway fresh = { .heard_us = keeper_now(k),
		.store_away = view->store_away != 0 };
	char region[KEEPER_NAME_MAX];
	guint i;

	for (i = 0; i < k->gateways->len; i++) {
		if (strcmp(gateway_at(k, i)->address, from) == 0) {
			gateway_at(k, i)->heard_us = keeper_now(k);
			gateway_at(k, i)->store_away = view->store_away != 0;
			return;
		}
	}
	if (k->gateways->len == KEEPER_GATEWAYS_MAX)
		return;
	slice_copy(view->region, region, sizeof(region));
	fresh.near = strcmp(region, cfg_str(k->st.cfg, "node.region")) == 0;
	g_strlcpy(fresh.address, from, sizeof(fresh.address));
	g_array_append_val(k->gateways, fresh);
}

static void
drop_silent(struct keeper *k)
{
	guint i = 0;

	while (i < k->gateways->len) {
		if (keeper_now(k) - gateway_at(k, i)->heard_us >
		    GATEWAY_SILENT_US)
			g_array_remove_index_fast(k->gateways, i);
		else
			i++;
	}
}

bool
keeper_is_heard(const struct keeper *k)
{
	return k->gateways->len > 0;
}

/* ------------------------------------------------------------------ */
/* Views                                                               */
/* ------------------------------------------------------------------ */

static gint
by_address(gconstpointer a, gconstpointer b)
{
	return strcmp(((const struct keeper_peer *)a)->address,
	    ((const struct keeper_peer *)b)->address);
}

static void
read_peer(const struct keeper *k, const uint8_t *raw, char **domains,
    struct keeper_peer *out)
{
	char ip[INET_ADDRSTRLEN];
	uint16_t port;
	guint n = g_strv_length(domains);

	memcpy(&port, raw + 4, sizeof(port));
	inet_ntop(AF_INET, raw, ip, sizeof(ip));
	memset(out, 0, sizeof(*out));
	g_snprintf(
	    out->address, sizeof(out->address), "%s:%u", ip, ntohs(port));
	g_strlcpy(out->region,
	    raw[6] < n ? keeper_region(k, domains[raw[6]]) : "",
	    sizeof(out->region));
}

/* True when the peers have changed. */
static bool
take_peers(struct keeper *k, const struct side_view *view)
{
	char *names = slice_dup(view->domains);
	char **domains = g_strsplit(names, ",", -1);
	GArray *peers = g_array_new(FALSE, TRUE, sizeof(struct keeper_peer));
	struct keeper_peer peer;
	size_t at;
	bool changed;

	for (at = 0; at + SIDE_PEER_BYTES <= view->peers.len;
	     at += SIDE_PEER_BYTES) {
		read_peer(k, view->peers.data + at, domains, &peer);
		g_array_append_val(peers, peer);
	}
	g_array_sort(peers, by_address);
	changed = peers->len != k->peers->len ||
	    memcmp(peers->data, k->peers->data,
		peers->len * sizeof(struct keeper_peer)) != 0;
	g_array_unref(k->peers);
	k->peers = peers;
	g_strfreev(domains);
	g_free(names);
	return changed;
}

static void
want(struct keeper *k, const struct side_view *view, uint64_t version,
    uint64_t age_ms)
{
	struct keeper_named named = {
		.version = (int64_t)version,
		.heard_us = keeper_now(k) - (int64_t)age_ms * 1000,
		.chunks = view->chunks,
		.chunk_bytes = view->chunk_bytes,
	};

	if (view->due_ms > 0)
		named.due_us = named.heard_us + (int64_t)view->due_ms * 1000;
	stg_dues_add(&k->dues, named.version, named.due_us);
	keeper_want(k, &named);
}

/* Gateways that were cut off may still tell of an older version. */
static void
take_version(struct keeper *k, const struct side_view *view)
{
	int64_t version = (int64_t)view->version;

	if (k->newest != NULL && version <= k->newest->version) {
		if (version == k->newest->version)
			k->newest->told_root = view->root;
		return;
	}
	/* Just started: its part in the older one is waited for, too. */
	if (view->older != 0 && k->newest == NULL) {
		want(k, view, view->older, view->older_age_ms);
		k->newest->told_root = view->older_root;
	}
	want(k, view, view->version, view->age_ms);
	k->newest->told_root = view->root;
}

static void
peers_changed(struct keeper_copy *c)
{
	if (c != NULL && (c->looked || c->keeper->loaded != 0))
		keeper_set_peers(c);
}

static void
take_view(struct keeper *k, const struct side_view *view)
{
	bool changed;
	char model[KEEPER_NAME_MAX], domain[KEEPER_NAME_MAX];

	slice_copy(view->model, model, sizeof(model));
	slice_copy(view->origin, k->origin, sizeof(k->origin));
	slice_copy(view->origin_domain, domain, sizeof(domain));
	g_strlcpy(k->origin_region, keeper_region(k, domain),
	    sizeof(k->origin_region));
	k->slots = (unsigned int)view->slots;
	k->may_cut = view->may_cut != 0;
	changed = take_peers(k, view);
	if (strcmp(model, k->model) != 0) {
		g_strlcpy(k->model, model, sizeof(k->model));
		keeper_forget(k);
		k->dues.n = 0;
	}
	take_version(k, view);
	if (changed) {
		peers_changed(k->newest);
		peers_changed(k->older);
	}
}

static void
on_message(const char *from, const struct msg *m, void *ctx)
{
	struct keeper *k = ctx;
	struct side_view view;

	if (!msg_read(m, &side_view_desc, &view, NULL))
		return;
	note_gateway(k, from, &view);
	take_view(k, &view);
	keeper_step(k);
}

/* ------------------------------------------------------------------ */
/* Loads                                                               */
/* ------------------------------------------------------------------ */

static enum side_engine
engine_state(const struct keeper *k)
{
	if (!k->up)
		return SIDE_ENGINE_DOWN;
	if (k->engine.busy || k->ordered_us != 0 || k->closed_us != 0)
		return SIDE_ENGINE_LOADING;
	return SIDE_ENGINE_UP;
}

static bool
has_own_root(const struct keeper *k)
{
	return k->newest != NULL && k->newest->own_root;
}

/* What a gateway must hear at once: whether requests can go there at all. */
static bool
state_changed(const struct keeper *k)
{
	return k->told.version != k->engine.version ||
	    k->told.busy != k->engine.busy || k->told_step != k->step ||
	    k->told_own_root != has_own_root(k) || k->told_up != k->up ||
	    k->told_closed != (k->closed_us != 0);
}

static bool
load_changed(const struct keeper *k)
{
	return k->told.running != k->engine.running ||
	    k->told.waiting != k->engine.waiting;
}

static bool
is_due(const struct keeper *k, const struct keeper_gateway *g)
{
	int64_t since_us = keeper_now(k) - g->told_us;

	if (state_changed(k))
		return true;
	if (load_changed(k))
		return since_us >= (g->near ? TELL_NEAR_US : TELL_FAR_US);
	return since_us >= TELL_AGAIN_US;
}

static void
note_told(struct keeper *k)
{
	k->told = k->engine;
	k->told_step = k->step;
	k->told_own_root = has_own_root(k);
	k->told_up = k->up;
	k->told_closed = k->closed_us != 0;
}

void
keeper_tell_load(struct keeper *k)
{
	struct side_load load = {
		.address = slice_str(cfg_str(k->st.cfg, "engine.address")),
		.engine = engine_state(k),
		.born_ms = (uint64_t)MAX(0, k->engine.born_ms),
		.running = k->engine.running,
		.waiting = k->engine.waiting,
		.version = (uint64_t)k->loaded,
		.pace_permille = (uint64_t)(k->engine.pace * 1000),
	};
	struct keeper_gateway *g;
	guint i;

	drop_silent(k);
	if (!k->had_engine)
		return;
	load.gateways = k->gateways->len;
	for (i = 0; i < k->gateways->len; i++)
		load.without_store += gateway_at(k, i)->store_away;
	if (k->newest != NULL) {
		load.wanted = (uint64_t)k->newest->version;
		load.wanted_age_ms =
		    (uint64_t)(keeper_now(k) - k->newest->heard_us) / 1000;
	}
	if (has_own_root(k))
		load.root =
		    (struct slice){ k->newest->wts.root.bytes, DIGEST_BYTES };
	for (i = 0; i < k->gateways->len; i++) {
		g = gateway_at(k, i);
		if (!is_due(k, g))
			continue;
		dgram_send(k->dgram, g->address, &side_load_desc, &load);
		g->told_us = keeper_now(k);
	}
	note_told(k);
}

bool
keeper_gateways_open(struct keeper *k, struct err *err)
{
	k->gateways = g_array_new(FALSE, FALSE, sizeof(struct keeper_gateway));
	k->peers = g_array_new(FALSE, TRUE, sizeof(struct keeper_peer));
	k->dgram = dgram_open(&k->st.node, cfg_str(k->st.cfg, "listen.peers"),
	    on_message, k, err);
	return k->dgram != NULL;
}
