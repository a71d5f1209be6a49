/* What the gateway tells keepers: what to load, and who else loads it. */

#include <string.h>

#include "entry/gateway.h"
#include "http/sock.h"

/*
 * Without news a keeper hears this often from each gateway, to know that it
 * lives and to make up for lost news. Gateways of other regions speak less:
 * keepers tell their load to whom they heard in the last three seconds, and
 * each view more crosses a thin link for every pair of the two.
 */
#define TELL_NEAR_US 400000
#define TELL_FAR_US 1000000

/* ------------------------------------------------------------------ */
/* Rosters                                                             */
/* ------------------------------------------------------------------ */

static unsigned int
peers_port(const struct gateway *g)
{
	struct sockaddr_in at;

	if (!sock_address(cfg_str(g->st.cfg, "listen.peers"), &at))
		return 0;
	return ntohs(at.sin_port);
}

/* A keeper stands beside its engine: same host, the port of peers. */
static bool
keeper_address(const struct tgt *t, unsigned int port, struct sockaddr_in *out)
{
	if (!sock_address(t->record.address, out))
		return false;
	out->sin_port = htons((uint16_t)port);
	return true;
}

bool
gateway_keeper_of(
    const struct gateway *g, const struct tgt *t, char to[SV_ADDRESS_MAX])
{
	struct sockaddr_in at;

	if (!keeper_address(t, peers_port(g), &at))
		return false;
	sock_text(&at, to, SV_ADDRESS_MAX);
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
renew_roster(struct gateway *g, const struct tgt_service *service)
{
	GArray *peers = g_array_new(FALSE, TRUE, sizeof(struct roster_peer));
	unsigned int port = peers_port(g);
	const struct tgt *t;
	struct sockaddr_in at;

	TAILQ_FOREACH (t, &service->targets, link) {
		struct roster_peer peer = { 0 };

		if (!keeper_address(t, port, &at))
			continue;
		memcpy(peer.ip, &at.sin_addr.s_addr, sizeof(peer.ip));
		peer.port = at.sin_port;
		g_strlcpy(peer.domain, t->record.domain, sizeof(peer.domain));
		g_array_append_val(peers, peer);
	}
	roster_set(
	    roster_of(g, service), peers, store_cache_revision(g->targets));
}

void
gateway_views_asked(
    struct gateway *g, const char *from, const struct side_roster_request *ask)
{
	GByteArray *bytes = g_byte_array_new();
	struct side_roster_page page;
	struct roster *r;
	char model[SV_ID_MAX];
	unsigned int i;

	slice_copy(ask->model, model, sizeof(model));
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
/* Views                                                               */
/* ------------------------------------------------------------------ */

/* The service that is the weights' origin; NULL: there is none. */
static const struct sv_service *
origin_of(const struct sv_config *config)
{
	size_t i;

	for (i = 0; i < config->nservices; i++) {
		if (config->services[i].origin != NULL)
			return &config->services[i];
	}
	return NULL;
}

/* The newest that was named, or else the newest that any engine has. */
static int64_t
version_wanted(struct gateway *g, const struct tgt_service *service)
{
	int64_t version = vers_newest(g->named, service->engine.model);
	const struct tgt *t;

	TAILQ_FOREACH (t, &service->targets, link) {
		if (strcmp(t->model, service->engine.model) == 0)
			version = MAX(version, t->version);
	}
	return MAX(version, GATEWAY_FIRST_VERSION);
}

/* The root that enough keepers found; none otherwise. */
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

/* Keepers tell the root of the newest version only; that of the one before
 * is kept for those that start now. */
static void
note_agreed(struct tgt_service *service, int64_t version)
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
fill_view(
    struct gateway *g, struct tgt_service *service, struct side_desired *view)
{
	const struct sv_engine *e = &service->engine;
	int64_t heard_us = vers_announced_us(g->named, e->model);
	const struct sv_service *origin =
	    origin_of(rtab_config(fwd_routes(g->fwd)));
	int64_t now_us = evl_now_us(g->st.loop);
	struct roster_id roster = roster_id(roster_of(g, service));

	view->region = slice_str(cfg_str(g->st.cfg, "node.region"));
	view->start = g->seed;
	view->model = slice_str(e->model);
	view->version = (uint64_t)version_wanted(g, service);
	note_agreed(service, (int64_t)view->version);
	view->root = known_root(service, (int64_t)view->version);
	view->age_ms = heard_us == 0 ? 0 : (uint64_t)(now_us - heard_us) / 1000;
	view->older =
	    (uint64_t)vers_pending(g->named, e->model, now_us, &heard_us);
	if (view->older != 0)
		view->older_age_ms = (uint64_t)(now_us - heard_us) / 1000;
	view->older_root = known_root(service, (int64_t)view->older);
	view->deadline_ms = (uint64_t)cfg_int(g->st.cfg, "bounds.version_ms");
	if (origin != NULL) {
		view->origin = slice_str(origin->origin);
		view->origin_domain = slice_str(origin->domain);
	}
	view->chunks = e->chunks;
	view->chunk_bytes = e->chunk_bytes;
	view->slots = e->slots;
	view->store_down = g->store_away;
	view->may_cut =
	    sv_config_may_cut(rtab_config(fwd_routes(g->fwd)), service->name);
	view->roster_revision = (uint64_t)roster.revision;
	view->roster_digest = roster.digest;
	view->roster_count = roster.count;
}

/* Which keepers are told at this moment, beside those that never were. */
struct due {
	bool near, far;
};

static void
send_views(struct gateway *g, struct tgt_service *service,
    const struct due *due, const GByteArray *packed)
{
	unsigned int port = peers_port(g);
	struct sockaddr_in at;
	struct tgt *t;
	char to[SV_ADDRESS_MAX];

	TAILQ_FOREACH (t, &service->targets, link) {
		if (t->gateway_announced && !(t->local ? due->near : due->far))
			continue;
		if (!keeper_address(t, port, &at))
			continue;
		sock_text(&at, to, sizeof(to));
		dgram_send_packed(g->peers, to, &side_desired_desc, packed);
		t->gateway_announced = true;
	}
}

static void
tell_service(
    struct gateway *g, struct tgt_service *service, const struct due *due)
{
	struct side_desired view = { 0 };
	GByteArray *packed;

	ctr_add(ctr_get(g->st.counters, "views_told"), 1);
	renew_roster(g, service);
	fill_view(g, service, &view);
	packed = dgram_pack(g->peers, &side_desired_desc, &view);
	if (packed == NULL) {
		ctr_add(ctr_get(g->st.counters, "views_too_large"), 1);
		return;
	}
	send_views(g, service, due, packed);
	g_byte_array_unref(packed);
}

static struct due
take_due(struct gateway *g)
{
	int64_t now_us = evl_now_us(g->st.loop);
	struct due due = {
		.near = g->news || now_us - g->told_near_us >= TELL_NEAR_US,
		.far = g->news || now_us - g->told_far_us >= TELL_FAR_US,
	};

	g->news = false;
	if (due.near)
		g->told_near_us = now_us;
	if (due.far)
		g->told_far_us = now_us;
	return due;
}

static void
on_tell(struct evl_timer *timer)
{
	struct gateway *g = CONTAINER_OF(timer, struct gateway, tell);
	const struct sv_config *config;
	struct tgt_service *service;
	struct due due;
	size_t i;

	evl_timer_set(g->st.loop, timer, evl_now_us(g->st.loop) + TELL_NEAR_US);
	if (fwd_routes(g->fwd) == NULL)
		return;
	due = take_due(g);
	config = rtab_config(fwd_routes(g->fwd));
	for (i = 0; i < config->nservices; i++) {
		service = tgt_service(g->set, config->services[i].name);
		if (service->has_engine && service->engine.chunks > 0)
			tell_service(g, service, &due);
	}
}

/*
 * A page of the store's list brings hundreds of targets at once. A view for
 * each of them to all keepers would be their number squared, more than the
 * links between regions carry in the first seconds, and settings would come
 * late. So views wait for the end of the wake-up; and of a target that is new
 * only its own keeper hears at once, the others by the next view's roster.
 */
void
gateway_views_greet(struct gateway *g)
{
	evl_timer_set(g->st.loop, &g->tell, evl_now_us(g->st.loop));
}

void
gateway_views_news(struct gateway *g)
{
	g->news = true;
	gateway_views_greet(g);
}

static void
free_roster(gpointer roster)
{
	roster_free(roster);
}

void
gateway_views_open(struct gateway *g)
{
	g->rosters =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_roster);
	g->tell.fire = on_tell;
	evl_timer_set(
	    g->st.loop, &g->tell, evl_now_us(g->st.loop) + TELL_NEAR_US);
}
