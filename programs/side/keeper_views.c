/* The gateways' desired state, and the roster of keepers. */

#include <string.h>

#include "http/sock.h"
#include "side/keeper.h"

/*
 * A roster arrives within milliseconds of the request; if it is lost, it is
 * requested again after this time. While a deployment grows, the roster changes
 * with each host and is requested at most once in this time.
 */
#define ROSTER_RETRY_US 100000
/*
 * Gateways of the local region send their desired state every 0.4 s. If only
 * remote gateways have a newer roster for longer than that, the local ones are
 * cut off from the store, and the roster may cross a narrow link between
 * regions.
 */
#define ROSTER_REMOTE_US 600000
/* By then all gateways have sent a desired state: those of remote regions send it
 * every second. */
#define SETTLE_US 1500000
/* By then those of the local region have, and the others if all processes have
 * started together, so that none remembers anything. */
#define SETTLE_ALONE_US 500000

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
	sock_format(&at, out->address, sizeof(out->address));
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
request_roster(struct keeper *k, const char *from,
    const struct side_desired *desired, bool local)
{
	struct roster_id announced_id = { (int64_t)desired->roster_history,
		(int64_t)desired->roster_revision, desired->roster_digest,
		desired->roster_count };
	struct roster_id local_id = roster_id(k->roster);
	struct side_roster_request request = { .model = desired->model };
	int64_t now_us = keeper_now(k);

	if (!roster_is_newer(&announced_id, &local_id))
		return;
	if (k->missing_roster_us == 0)
		k->missing_roster_us = now_us;
	if (!local && keeper_local_gateways(k) > 0 &&
	    now_us - k->missing_roster_us < ROSTER_REMOTE_US)
		return;
	if (k->roster_request_us != 0 &&
	    now_us - k->roster_request_us < ROSTER_RETRY_US)
		return;
	k->roster_request_us = now_us;
	dgram_send(k->dgram, from, &side_roster_request_desc, &request);
}

/* ------------------------------------------------------------------ */
/* Desired state                                                       */
/* ------------------------------------------------------------------ */

bool
keeper_is_starting(const struct keeper *k)
{
	return k->settled_us == 0 || keeper_now(k) < k->settled_us;
}

static void
add_wanted(struct keeper *k, const struct side_desired *desired,
    uint64_t version, uint64_t age_ms)
{
	struct keeper_announced announced = {
		.version = (int64_t)version,
		.announced_us = keeper_now(k) - (int64_t)age_ms * 1000,
		.chunks = desired->chunks,
		.chunk_bytes = desired->chunk_bytes,
	};

	if (desired->deadline_ms > 0)
		announced.deadline_us = announced.announced_us +
		    (int64_t)desired->deadline_ms * 1000;
	stg_deadlines_add(&k->deadlines, announced.version,
	    announced.deadline_us, keeper_now(k));
	keeper_want(k, &announced);
}

/* Ignores versions older than the newest: gateways that were cut off may still
 * announce one. */
static void
take_version(struct keeper *k, const struct side_desired *desired)
{
	int64_t version = (int64_t)desired->version;

	if (k->newest != NULL && version <= k->newest->version) {
		if (version == k->newest->version) {
			k->newest->reported_root = desired->root;
			keeper_set_announced_size(
			    k->newest, desired->chunks, desired->chunk_bytes);
		}
		return;
	}
	/* This keeper has just started: other keepers need its part in the
	 * transfer of the older version, too. */
	if (desired->older != 0 && k->newest == NULL) {
		add_wanted(k, desired, desired->older, desired->older_age_ms);
		k->newest->reported_root = desired->older_root;
	}
	add_wanted(k, desired, desired->version, desired->age_ms);
	k->newest->reported_root = desired->root;
}

static void
take_model(struct keeper *k, const struct side_desired *desired)
{
	char model[KEEPER_NAME_MAX];

	slice_copy(desired->model, model, sizeof(model));
	if (strcmp(model, k->model) == 0)
		return;
	g_strlcpy(k->model, model, sizeof(k->model));
	keeper_drop_all(k);
	k->proof = (struct prf){ 0 };
	k->layers = 0;
	keeper_proof_changed(k);
	stg_deadlines_clear(&k->deadlines);
	roster_free(k->roster);
	k->roster = roster_new();
	g_array_set_size(k->peers, 0);
	k->roster_request_us = 0;
}

/* Until gateways are sent a doubt of this process, `doubted` is about the process
 * before it. The message of a gateway that was stalled may arrive after this process
 * has settled. */
static void
take_doubt(struct keeper *k, const struct side_desired *desired)
{
	if (k->settled_us == 0) {
		k->desired_us = keeper_now(k);
		k->settled_us = k->desired_us + SETTLE_ALONE_US;
	}
	if (desired->may_remember && keeper_is_starting(k))
		k->settled_us = k->desired_us + SETTLE_US;
	if (!desired->doubted || k->has_doubted)
		return;
	prf_doubted(&k->proof, (int64_t)desired->proved);
	keeper_proof_changed(k);
}

void
keeper_take_desired(
    struct keeper *k, const char *from, const struct side_desired *desired)
{
	char domain[KEEPER_NAME_MAX], region[KEEPER_NAME_MAX];

	slice_copy(desired->region, region, sizeof(region));
	slice_copy(desired->origin, k->origin, sizeof(k->origin));
	slice_copy(desired->origin_domain, domain, sizeof(domain));
	g_strlcpy(k->origin_region, keeper_region(k, domain),
	    sizeof(k->origin_region));
	k->slots = (unsigned int)desired->slots;
	k->may_cut = desired->may_cut != 0;
	take_model(k, desired);
	if (desired->layers != 0)
		k->layers = (unsigned int)desired->layers;
	take_doubt(k, desired);
	request_roster(k, from, desired,
	    strcmp(region, cfg_str(k->st.cfg, "node.region")) == 0);
	take_version(k, desired);
	keeper_step(k);
}
