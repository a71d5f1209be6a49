/* The gateway's talk with keepers: who should load what, how full they are. */

#include <arpa/inet.h>
#include <string.h>

#include "entry/gateway.h"
#include "http/sock.h"
#include "serve/side.h"

/* A keeper that starts hears within this what it is to load; the same news
 * go out at once when a version is named. */
#define TELL_US 400000

#define FIRST_VERSION 1 /* of weights; engines may have it unnamed */

/* Engines of one service, as a view lists them. */
struct listing {
	struct gateway *g;
	const struct tgt_service *service;
	GByteArray *peers;
	GString *domains;
	GPtrArray *names; /* of domains, in the order of their index */
	unsigned int port; /* of keepers' peers */
};

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
	if (!sock_address(t->says.address, out))
		return false;
	out->sin_port = htons((uint16_t)port);
	return true;
}

static uint8_t
domain_index(struct listing *l, const char *domain)
{
	guint i;

	for (i = 0; i < l->names->len; i++) {
		if (strcmp(l->names->pdata[i], domain) == 0)
			return (uint8_t)i;
	}
	if (l->domains->len + strlen(domain) + 1 >= SIDE_DOMAINS_MAX)
		return UINT8_MAX;
	g_ptr_array_add(l->names, (gpointer)domain);
	if (l->domains->len > 0)
		g_string_append_c(l->domains, ',');
	g_string_append(l->domains, domain);
	return (uint8_t)i;
}

static void
list_target(struct listing *l, const struct tgt *t)
{
	struct sockaddr_in at;
	uint8_t index;

	if (l->peers->len >= SIDE_PEERS_MAX * SIDE_PEER_BYTES)
		return;
	if (!keeper_address(t, l->port, &at))
		return;
	g_byte_array_append(l->peers, (const guint8 *)&at.sin_addr.s_addr, 4);
	g_byte_array_append(l->peers, (const guint8 *)&at.sin_port, 2);
	index = domain_index(l, t->says.domain);
	g_byte_array_append(l->peers, &index, 1);
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
	return MAX(version, FIRST_VERSION);
}

/* Keepers that read the same digests from the origin before others take them
 * over without reading: a single answer may have been spoilt on its way. */
#define ROOT_VOTES 2

/* The root that enough keepers found; none otherwise. */
static struct digest
agreed_root(const struct tgt_service *service, int64_t version)
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
		if (votes >= ROOT_VOTES)
			return t->root;
	}
	return none;
}

/* Keepers tell the root of the newest version only; that of the one before
 * is kept for those that start now. */
static void
note_agreed(struct tgt_service *service, int64_t version)
{
	struct digest root = agreed_root(service, version);

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
    struct gateway *g, struct tgt_service *service, struct side_view *view)
{
	const struct sv_engine *e = &service->engine;
	int64_t heard_us = vers_heard_us(g->named, e->model);
	const struct sv_service *origin =
	    origin_of(rtab_config(fwd_routes(g->fwd)));
	int64_t now_us = evl_now_us(g->st.loop);

	view->region = slice_str(cfg_str(g->st.cfg, "node.region"));
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
	view->due_ms = (uint64_t)cfg_int(g->st.cfg, "bounds.version_ms");
	if (origin != NULL) {
		view->origin = slice_str(origin->origin);
		view->origin_domain = slice_str(origin->domain);
	}
	view->chunks = e->chunks;
	view->chunk_bytes = e->chunk_bytes;
	view->slots = e->slots;
	view->store_away = store_away_us(g->store) != 0;
	view->may_cut =
	    sv_config_may_cut(rtab_config(fwd_routes(g->fwd)), service->name);
}

static void
send_views(struct listing *l, const struct side_view *view)
{
	const struct tgt *t;
	struct sockaddr_in at;
	char ip[INET_ADDRSTRLEN], to[INET_ADDRSTRLEN + 8];

	TAILQ_FOREACH (t, &l->service->targets, link) {
		if (!keeper_address(t, l->port, &at))
			continue;
		inet_ntop(AF_INET, &at.sin_addr, ip, sizeof(ip));
		g_snprintf(to, sizeof(to), "%s:%u", ip, l->port);
		if (!dgram_send(l->g->peers, to, &side_view_desc, view))
			ctr_add(
			    ctr_get(l->g->st.counters, "views_too_large"), 1);
	}
}

static void
tell_service(struct gateway *g, struct tgt_service *service)
{
	struct listing l = { .g = g,
		.service = service,
		.peers = g_byte_array_new(),
		.domains = g_string_new(NULL),
		.names = g_ptr_array_new(),
		.port = peers_port(g) };
	struct side_view view = { 0 };
	const struct tgt *t;

	ctr_add(ctr_get(g->st.counters, "views_told"), 1);
	TAILQ_FOREACH (t, &service->targets, link)
		list_target(&l, t);
	fill_view(g, service, &view);
	view.domains = slice_str(l.domains->str);
	view.peers = (struct slice){ l.peers->data, l.peers->len };
	send_views(&l, &view);
	g_byte_array_unref(l.peers);
	g_string_free(l.domains, TRUE);
	g_ptr_array_unref(l.names);
}

/*
 * A page of the store's list brings hundreds of targets at once. A view to all
 * keepers for each of them would be their number squared, more than the links
 * between regions carry in the first seconds, and settings would come late.
 */
void
gateway_peers_tell(struct gateway *g)
{
	evl_timer_set(g->st.loop, &g->tell, evl_now_us(g->st.loop));
}

static void
on_tell(struct evl_timer *timer)
{
	struct gateway *g = CONTAINER_OF(timer, struct gateway, tell);
	const struct sv_config *config;
	struct tgt_service *service;
	size_t i;

	evl_timer_set(g->st.loop, timer, evl_now_us(g->st.loop) + TELL_US);
	if (fwd_routes(g->fwd) == NULL)
		return;
	config = rtab_config(fwd_routes(g->fwd));
	for (i = 0; i < config->nservices; i++) {
		service = tgt_service(g->set, config->services[i].name);
		if (service->has_engine && service->engine.chunks > 0)
			tell_service(g, service);
	}
}

/* ------------------------------------------------------------------ */
/* Loads                                                               */
/* ------------------------------------------------------------------ */

static void
note_gateways(struct gateway *g, unsigned int n)
{
	if (n == 0 || n == g->gateways)
		return;
	g->gateways = n;
	tgt_set_policy(g->set)->entries = n;
	fwd_budget(g->fwd)->sharers = n;
}

/* True when the keeper's word on a root is news. */
static bool
note_root(struct tgt *t, const struct side_load *load)
{
	struct digest root;

	if (load->root.len != DIGEST_BYTES)
		return false;
	memcpy(root.bytes, load->root.data, DIGEST_BYTES);
	if (t->root_version == (int64_t)load->wanted &&
	    digest_equal(&t->root, &root))
		return false;
	t->root = root;
	t->root_version = (int64_t)load->wanted;
	return true;
}

/* News of a root go on at once while they decide something. */
static bool
root_matters(struct gateway *g, const struct tgt *t)
{
	struct digest root = agreed_root(t->service, t->root_version);
	const struct tgt *other;
	unsigned int votes = 0;

	if (digest_is_none(&root))
		return false;
	TAILQ_FOREACH (other, &t->service->targets, link)
		votes += other->root_version == t->root_version;
	return votes == ROOT_VOTES;
}

static void
note_engine(struct tgt *t, const struct side_load *load, int64_t now_us)
{
	bool down = load->engine != SIDE_ENGINE_UP;

	if (down != t->side_down || (int64_t)load->version != t->version)
		evt(EVT_SIDE,
		    "target=%s engine=%s version=%" G_GUINT64_FORMAT
		    " running=%" G_GUINT64_FORMAT,
		    t->says.id,
		    load->engine == SIDE_ENGINE_UP            ? "up"
			: load->engine == SIDE_ENGINE_LOADING ? "loading"
							      : "down",
		    load->version, load->running);
	tgt_side(t, down, now_us);
	g_strlcpy(t->model, load->version > 0 ? t->service->engine.model : "",
	    sizeof(t->model));
	t->version = (int64_t)load->version;
	t->pace =
	    load->pace_permille == 0 ? 1 : (double)load->pace_permille / 1000.0;
}

/*
 * A gateway that starts after a version was named does not know when that was
 * and would refuse engines that may still serve; one whose watch is silent
 * does not know of it at all. Keepers have heard of it from the others. The
 * first version was never named: engines have it from the beginning.
 */
static void
note_wanted(struct gateway *g, const struct tgt_service *service,
    const struct side_load *load)
{
	int64_t heard_us =
	    evl_now_us(g->st.loop) - (int64_t)load->wanted_age_ms * 1000;

	if (load->wanted <= FIRST_VERSION)
		return;
	if (vers_told(g->named, service->engine.model, (int64_t)load->wanted,
		heard_us))
		evt(EVT_VERSION,
		    "model=%s version=%" G_GUINT64_FORMAT
		    " from=keeper age_ms=%" G_GUINT64_FORMAT,
		    service->engine.model, load->wanted, load->wanted_age_ms);
}

/* A gateway that alone finds the store away may be cut off itself. */
#define ALL_AWAY_GATEWAYS 2

static void
on_load(const char *from, const struct msg *m, void *ctx)
{
	struct gateway *g = ctx;
	struct side_load load;
	char address[SV_ADDRESS_MAX];
	int64_t now_us = evl_now_us(g->st.loop);
	struct tgt *t;

	if (!msg_read(m, &side_load_desc, &load, NULL))
		return;
	slice_copy(load.address, address, sizeof(address));
	t = tgt_at(g->set, address);
	if (t == NULL)
		return;
	t = gateway_renew(
	    g, t, tgt_side_born(g->set, t, (int64_t)load.born_ms));
	note_engine(t, &load, now_us);
	t->side_us = now_us;
	tgt_load(t, (unsigned int)(load.running + load.waiting), now_us);
	note_gateways(g, (unsigned int)load.gateways);
	if (load.gateways >= ALL_AWAY_GATEWAYS &&
	    load.without_store == load.gateways)
		g->all_away_us = now_us;
	note_wanted(g, t->service, &load);
	if (note_root(t, &load) && root_matters(g, t))
		gateway_peers_tell(g);
	fwd_pump(g->fwd);
}

bool
gateway_peers_open(struct gateway *g, struct err *err)
{
	g->peers = dgram_open(
	    &g->st.node, cfg_str(g->st.cfg, "listen.peers"), on_load, g, err);
	g->tell.fire = on_tell;
	evl_timer_set(g->st.loop, &g->tell, evl_now_us(g->st.loop) + TELL_US);
	return g->peers != NULL;
}
