/* What gateways say is wanted, and who else loads it. */

#include <string.h>

#include "http/sock.h"
#include "side/keeper.h"

/*
 * A roster comes within milliseconds of the question; one that was lost is
 * asked for again after this. While a deployment grows it changes with each
 * host, and is asked for this often at most.
 */
#define ASK_AGAIN_US 100000
/* Gateways of the own region speak each 0.4 s. When only another region's
 * knows of a newer roster for longer, they are cut off from the store, and it
 * may cross a thin link. */
#define ASK_FAR_US 600000

/* ------------------------------------------------------------------ */
/* Roster                                                              */
/* ------------------------------------------------------------------ */

static void
read_peer(const struct keeper *k, const struct roster_peer *p,
    struct keeper_peer *out)
{
	struct sockaddr_in at = { .sin_family = AF_INET, .sin_port = p->port };

	memcpy(&at.sin_addr, p->ip, sizeof(p->ip));
	memset(out, 0, sizeof(*out));
	sock_text(&at, out->address, sizeof(out->address));
	g_strlcpy(
	    out->region, keeper_region(k, p->domain), sizeof(out->region));
}

static gint
by_address(gconstpointer a, gconstpointer b)
{
	return strcmp(((const struct keeper_peer *)a)->address,
	    ((const struct keeper_peer *)b)->address);
}

static void
peers_changed(struct keeper_copy *c)
{
	if (c != NULL && (c->scanned || c->keeper->loaded != 0))
		keeper_set_peers(c);
}

static void
take_roster(struct keeper *k)
{
	const GArray *all = roster_peers(k->roster);
	struct keeper_peer peer;
	guint i;

	g_array_set_size(k->peers, 0);
	for (i = 0; i < all->len; i++) {
		read_peer(k, &g_array_index(all, struct roster_peer, i), &peer);
		g_array_append_val(k->peers, peer);
	}
	g_array_sort(k->peers, by_address);
	peers_changed(k->newest);
	peers_changed(k->older);
}

void
keeper_take_page(struct keeper *k, const struct side_roster_page *page)
{
	char model[KEEPER_NAME_MAX];

	slice_copy(page->model, model, sizeof(model));
	if (strcmp(model, k->model) != 0 || !roster_add_page(k->roster, page))
		return;
	k->missing_roster_us = 0;
	take_roster(k);
	keeper_step(k);
}

static void
ask_roster(struct keeper *k, const char *from, const struct side_desired *view,
    bool near)
{
	struct roster_id theirs = { (int64_t)view->roster_revision,
		view->roster_digest, view->roster_count };
	struct roster_id own = roster_id(k->roster);
	struct side_roster_request ask = { .model = view->model };
	int64_t now_us = keeper_now(k);

	if (!roster_is_newer(&theirs, &own))
		return;
	if (k->missing_roster_us == 0)
		k->missing_roster_us = now_us;
	if (!near && keeper_local_gateways(k) > 0 &&
	    now_us - k->missing_roster_us < ASK_FAR_US)
		return;
	if (k->roster_request_us != 0 &&
	    now_us - k->roster_request_us < ASK_AGAIN_US)
		return;
	k->roster_request_us = now_us;
	dgram_send(k->dgram, from, &side_roster_request_desc, &ask);
}

/* ------------------------------------------------------------------ */
/* Views                                                               */
/* ------------------------------------------------------------------ */

static void
want(struct keeper *k, const struct side_desired *view, uint64_t version,
    uint64_t age_ms)
{
	struct keeper_announced named = {
		.version = (int64_t)version,
		.announced_us = keeper_now(k) - (int64_t)age_ms * 1000,
		.chunks = view->chunks,
		.chunk_bytes = view->chunk_bytes,
	};

	if (view->deadline_ms > 0)
		named.deadline_us =
		    named.announced_us + (int64_t)view->deadline_ms * 1000;
	stg_deadlines_add(&k->deadlines, named.version, named.deadline_us);
	keeper_want(k, &named);
}

/* Gateways that were cut off may still tell of an older version. */
static void
take_version(struct keeper *k, const struct side_desired *view)
{
	int64_t version = (int64_t)view->version;

	if (k->newest != NULL && version <= k->newest->version) {
		if (version == k->newest->version)
			k->newest->reported_root = view->root;
		return;
	}
	/* Just started: its part in the older one is waited for, too. */
	if (view->older != 0 && k->newest == NULL) {
		want(k, view, view->older, view->older_age_ms);
		k->newest->reported_root = view->older_root;
	}
	want(k, view, view->version, view->age_ms);
	k->newest->reported_root = view->root;
}

static void
take_model(struct keeper *k, const struct side_desired *view)
{
	char model[KEEPER_NAME_MAX];

	slice_copy(view->model, model, sizeof(model));
	if (strcmp(model, k->model) == 0)
		return;
	g_strlcpy(k->model, model, sizeof(k->model));
	keeper_drop_all(k);
	k->deadlines.n = 0;
	roster_free(k->roster);
	k->roster = roster_new();
	g_array_set_size(k->peers, 0);
	k->roster_request_us = 0;
}

void
keeper_take_desired(
    struct keeper *k, const char *from, const struct side_desired *view)
{
	char domain[KEEPER_NAME_MAX], region[KEEPER_NAME_MAX];

	slice_copy(view->region, region, sizeof(region));
	slice_copy(view->origin, k->origin, sizeof(k->origin));
	slice_copy(view->origin_domain, domain, sizeof(domain));
	g_strlcpy(k->origin_region, keeper_region(k, domain),
	    sizeof(k->origin_region));
	k->slots = (unsigned int)view->slots;
	k->may_cut = view->may_cut != 0;
	take_model(k, view);
	ask_roster(k, from, view,
	    strcmp(region, cfg_str(k->st.cfg, "node.region")) == 0);
	take_version(k, view);
	keeper_step(k);
}
