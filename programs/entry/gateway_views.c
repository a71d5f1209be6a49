/* Messages to sidecars: the desired state of their engines, and rosters. */

#include <string.h>

#include "entry/gateway.h"
#include "http/sock.h"

/*
 * Without a change each gateway repeats the desired state to each sidecar at
 * these intervals, as a sign of life and to make up for lost messages. It does
 * so less often to remote regions, as these messages cross a slow link for
 * every pair of a gateway and a sidecar; sidecars report to each gateway that
 * they received one from in the last three seconds.
 */
#define DESIRED_LOCAL_US 400000
#define DESIRED_REMOTE_US 1000000

/* ------------------------------------------------------------------ */
/* Rosters                                                             */
/* ------------------------------------------------------------------ */

static unsigned int
peers_port(const struct gateway *g)
{
	struct sockaddr_in at;

	if (!sock_parse(cfg_str(g->st.cfg, "listen.peers"), &at))
		return 0;
	return ntohs(at.sin_port);
}

/* A sidecar runs on the host of its engine and listens on the peers' port. */
static bool
sidecar_address(const struct tgt *t, unsigned int port, struct sockaddr_in *out)
{
	if (!sock_parse(t->record.address, out))
		return false;
	out->sin_port = htons((uint16_t)port);
	return true;
}

bool
gateway_sidecar_address(
    const struct gateway *g, const struct tgt *t, char to[SV_ADDRESS_MAX])
{
	struct sockaddr_in at;

	if (!sidecar_address(t, peers_port(g), &at))
		return false;
	sock_format(&at, to, SV_ADDRESS_MAX);
	return true;
}

static struct roster *
roster_of(struct gateway *g, const struct tgt_service *service)
{
	struct roster *r =
	    g_hash_table_lookup(g->rosters, service->engine.model);

	if (r == NULL) {
		r = roster_new();
		g_hash_table_insert(
		    g->rosters, g_strdup(service->engine.model), r);
	}
	return r;
}

static void
update_roster(struct gateway *g, const struct tgt_service *service)
{
	GArray *peers = g_array_new(FALSE, TRUE, sizeof(struct roster_peer));
	unsigned int port = peers_port(g);
	const struct tgt *t;
	struct sockaddr_in at;

	TAILQ_FOREACH (t, &service->targets, link) {
		struct roster_peer peer = { 0 };

		if (!sidecar_address(t, port, &at))
			continue;
		memcpy(peer.ip, &at.sin_addr.s_addr, sizeof(peer.ip));
		peer.port = at.sin_port;
		g_strlcpy(peer.domain, t->record.domain, sizeof(peer.domain));
		g_array_append_val(peers, peer);
	}
	roster_set(roster_of(g, service), peers, store_history(g->store),
	    store_cache_revision(g->targets));
}

void
gateway_roster_requested(struct gateway *g, const char *from,
    const struct side_roster_request *request)
{
	GByteArray *bytes = g_byte_array_new();
	struct side_roster_page page;
	struct roster *r;
	char model[SV_ID_MAX];
	unsigned int i;

	slice_copy(request->model, model, sizeof(model));
	r = g_hash_table_lookup(g->rosters, model);
	for (i = 0; r != NULL && i < roster_pages(r); i++) {
		roster_page(r, i, bytes, &page);
		page.model = slice_str(model);
		if (!dgram_send(g->peers, from, &side_roster_page_desc, &page))
			ctr_add(ctr_get(g->st.counters, "pages_too_large"), 1);
	}
	g_byte_array_unref(bytes);
}

/* ------------------------------------------------------------------ */
/* Desired state                                                       */
/* ------------------------------------------------------------------ */

/* The service that is the origin of weights; NULL: there is none. */
static const struct sv_service *
find_origin(const struct sv_config *config)
{
	size_t i;

	for (i = 0; i < config->nservices; i++) {
		if (config->services[i].origin != NULL)
			return &config->services[i];
	}
	return NULL;
}

/*
 * Entries of targets do not count: another writer of the store can claim any
 * version there. Sidecars ignore versions older than the newest that they have
 * received, so they would ignore the announced ones from then on.
 */
static int64_t
desired_version(struct gateway *g, const struct tgt_service *service)
{
	return vers_desired(g->announced, service->engine.model,
	    store_cache_synced(g->versions),
	    tgt_newest_loaded(service, evl_now_us(g->st.loop)));
}

/* The root on which enough sidecars agree; none otherwise. */
struct digest
gateway_agreed_root(const struct tgt_service *service, int64_t version)
{
	struct digest none = { 0 };
	const struct tgt *t, *other;
	unsigned int votes;

	TAILQ_FOREACH (t, &service->targets, link) {
		if (t->root_version != version || digest_is_none(&t->root))
			continue;
		votes = 0;
		TAILQ_FOREACH (other, &service->targets, link)
			votes += other->root_version == version &&
			    digest_equal(&t->root, &other->root);
		if (votes >= GATEWAY_ROOT_VOTES)
			return t->root;
	}
	return none;
}

/* Sidecars report only the root of the newest version; the root of the previous
 * one is retained for sidecars that start now. */
static void
update_agreed_root(struct tgt_service *service, int64_t version)
{
	struct digest root = gateway_agreed_root(service, version);

	if (digest_is_none(&root))
		return;
	if (service->roots[0].version < version)
		service->roots[1] = service->roots[0];
	service->roots[0] = (struct tgt_root){ version, root };
}

static struct digest
known_root(const struct tgt_service *service, int64_t version)
{
	struct digest none = { 0 };
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(service->roots); i++) {
		if (service->roots[i].version == version)
			return service->roots[i].root;
	}
	return none;
}

static void
fill_desired(struct gateway *g, struct tgt_service *service,
    struct side_desired *desired)
{
	const struct sv_engine *e = &service->engine;
	int64_t announced_us = vers_announced_us(g->announced, e->model);
	const struct sv_service *origin =
	    find_origin(rtab_config(fwd_routes(g->fwd)));
	int64_t now_us = evl_now_us(g->st.loop);
	struct roster_id roster = roster_id(roster_of(g, service));

	desired->region = slice_str(cfg_str(g->st.cfg, "node.region"));
	desired->start = g->seed;
	desired->model = slice_str(e->model);
	desired->version = (uint64_t)desired_version(g, service);
	update_agreed_root(service, (int64_t)desired->version);
	desired->root = known_root(service, (int64_t)desired->version);
	desired->age_ms =
	    announced_us == 0 ? 0 : (uint64_t)(now_us - announced_us) / 1000;
	desired->older = (uint64_t)vers_pending(
	    g->announced, e->model, now_us, &announced_us);
	if (desired->older != 0)
		desired->older_age_ms =
		    (uint64_t)(now_us - announced_us) / 1000;
	desired->older_root = known_root(service, (int64_t)desired->older);
	desired->deadline_ms =
	    (uint64_t)cfg_int(g->st.cfg, "bounds.version_ms");
	if (origin != NULL) {
		desired->origin = slice_str(origin->origin);
		desired->origin_domain = slice_str(origin->domain);
	}
	desired->chunks = e->chunks;
	desired->chunk_bytes = e->chunk_bytes;
	desired->slots = e->slots;
	desired->layers = e->layers;
	desired->store_down = g->outage.down;
	desired->may_cut =
	    sv_config_may_cut(rtab_config(fwd_routes(g->fwd)), service->name);
	desired->roster_revision = (uint64_t)roster.revision;
	desired->roster_digest = roster.digest;
	desired->roster_count = roster.count;
	desired->roster_history = (uint64_t)roster.history;
	desired->wants_account = gateway_account_is_wanted(g);
	desired->may_remember = tgt_has_predecessors(g->set, service, now_us);
}

/* Regions whose sidecars are sent the desired state now, in addition to
 * sidecars that were never sent it. */
struct recipients {
	bool local, remote;
};

/* The same state for a sidecar that last reported a doubt. */
static void
send_doubted(struct gateway *g, const struct tgt *t, const char *to,
    const struct side_desired *desired)
{
	struct side_desired own = *desired;

	own.doubted = 1;
	own.proved = (uint64_t)t->version;
	dgram_send(g->peers, to, &side_desired_desc, &own);
}

static void
send_desired(struct gateway *g, struct tgt_service *service,
    const struct recipients *recipients, const struct side_desired *desired,
    const GByteArray *packed)
{
	unsigned int port = peers_port(g);
	struct sockaddr_in at;
	struct tgt *t;
	char to[SV_ADDRESS_MAX];

	TAILQ_FOREACH (t, &service->targets, link) {
		if (t->gateway_announced &&
		    !(t->local ? recipients->local : recipients->remote))
			continue;
		if (!sidecar_address(t, port, &at))
			continue;
		sock_format(&at, to, sizeof(to));
		if (t->uncertain)
			send_doubted(g, t, to, desired);
		else
			dgram_send_packed(
			    g->peers, to, &side_desired_desc, packed);
		t->gateway_announced = true;
	}
}

static void
publish_service(struct gateway *g, struct tgt_service *service,
    const struct recipients *recipients)
{
	struct side_desired desired = { 0 };
	GByteArray *packed;

	ctr_add(ctr_get(g->st.counters, "views_told"), 1);
	update_roster(g, service);
	fill_desired(g, service, &desired);
	packed = dgram_pack(g->peers, &side_desired_desc, &desired);
	if (packed == NULL) {
		ctr_add(ctr_get(g->st.counters, "views_too_large"), 1);
		return;
	}
	send_desired(g, service, recipients, &desired, packed);
	g_byte_array_unref(packed);
}

static struct recipients
next_recipients(struct gateway *g)
{
	int64_t now_us = evl_now_us(g->st.loop);
	struct recipients recipients = {
		.local = g->desired_changed ||
		    now_us - g->desired_local_us >= DESIRED_LOCAL_US,
		.remote = g->desired_changed ||
		    now_us - g->desired_remote_us >= DESIRED_REMOTE_US,
	};

	g->desired_changed = false;
	if (recipients.local)
		g->desired_local_us = now_us;
	if (recipients.remote)
		g->desired_remote_us = now_us;
	return recipients;
}

static void
on_desired_timer(struct evl_timer *timer)
{
	struct gateway *g = CONTAINER_OF(timer, struct gateway, desired_timer);
	const struct sv_config *config;
	struct tgt_service *service;
	struct recipients recipients;
	size_t i;

	evl_timer_set(
	    g->st.loop, timer, evl_now_us(g->st.loop) + DESIRED_LOCAL_US);
	if (fwd_routes(g->fwd) == NULL)
		return;
	recipients = next_recipients(g);
	config = rtab_config(fwd_routes(g->fwd));
	for (i = 0; i < config->nservices; i++) {
		service = tgt_service(g->set, config->services[i].name);
		if (service->has_engine && service->engine.chunks > 0)
			publish_service(g, service, &recipients);
	}
}

/*
 * A page of the store's list contains hundreds of targets. Sending the desired
 * state to all sidecars for each of them would take the square of their number
 * in messages, more than the links between regions carry in the first seconds,
 * and settings would arrive late. So messages wait for the end of the wake-up,
 * and a new target causes one to its own sidecar only; the others learn of the
 * target from the roster in the next periodic message.
 */
void
gateway_desired_new_target(struct gateway *g)
{
	evl_timer_set(g->st.loop, &g->desired_timer, evl_now_us(g->st.loop));
}

void
gateway_desired_changed(struct gateway *g)
{
	g->desired_changed = true;
	gateway_desired_new_target(g);
}

static void
free_roster(gpointer roster)
{
	roster_free(roster);
}

void
gateway_desired_open(struct gateway *g)
{
	g->rosters =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_roster);
	g->desired_timer.fire = on_desired_timer;
	evl_timer_set(g->st.loop, &g->desired_timer,
	    evl_now_us(g->st.loop) + DESIRED_LOCAL_US);
}
