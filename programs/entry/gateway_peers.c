/* What keepers tell the gateway: how full engines are, and what they hold. */

#include <string.h>

#include "entry/gateway.h"

static void
note_gateways(struct gateway *g, unsigned int n)
{
	if (n == 0 || n == g->gateways)
		return;
	g->gateways = n;
	tgt_set_policy(g->set)->entries = n;
	fwd_budget(g->fwd)->processes = n;
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
	struct digest root = gateway_agreed_root(t->service, t->root_version);
	const struct tgt *other;
	unsigned int votes = 0;

	if (digest_is_none(&root))
		return false;
	TAILQ_FOREACH (other, &t->service->targets, link)
		votes += other->root_version == t->root_version;
	return votes == GATEWAY_ROOT_VOTES;
}

static void
note_engine(struct gateway *g, struct tgt *t, const struct side_load *load)
{
	int64_t now_us = evl_now_us(g->st.loop);
	bool down = load->engine != SIDE_ENGINE_UP;
	bool had_ended = t->ended;

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
	t->ended = load->engine == SIDE_ENGINE_DOWN;
	if (t->ended && !had_ended)
		fwd_target_ended(g->fwd, t);
	g_strlcpy(t->model, load->version > 0 ? t->service->engine.model : "",
	    sizeof(t->model));
	t->version = (int64_t)load->version;
	tgt_set_pace(t, load->pace_permille);
}

/* A version that keepers have heard of so long ago. The first was never named:
 * engines have it from the beginning. */
static void
note_told(
    struct gateway *g, const char *model, uint64_t version, uint64_t age_ms)
{
	int64_t heard_us = evl_now_us(g->st.loop) - (int64_t)age_ms * 1000;

	if (version <= GATEWAY_FIRST_VERSION)
		return;
	if (vers_told(g->named, model, (int64_t)version, heard_us))
		evt(EVT_VERSION,
		    "model=%s version=%" G_GUINT64_FORMAT
		    " from=keeper age_ms=%" G_GUINT64_FORMAT,
		    model, version, age_ms);
}

/*
 * A gateway that starts after a version was named does not know when that was
 * and would refuse engines that may still serve; of two it knows the newest
 * alone, and would use engines that may not; one whose watch is silent does not
 * know of any. Keepers have heard of them from the others.
 */
static void
note_wanted(struct gateway *g, const struct tgt_service *service,
    const struct side_load *load)
{
	const char *model = service->engine.model;

	note_told(g, model, load->wanted, load->wanted_age_ms);
	note_told(g, model, load->older, load->older_age_ms);
}

/* A gateway that alone finds the store away may be cut off itself. */
#define ALL_AWAY_GATEWAYS 2

static void
take_load(struct gateway *g, const struct side_load *load)
{
	char address[SV_ADDRESS_MAX];
	int64_t now_us = evl_now_us(g->st.loop);
	struct tgt *t;

	slice_copy(load->address, address, sizeof(address));
	t = tgt_at(g->set, address);
	if (t == NULL)
		return;
	t = gateway_renew(
	    g, t, tgt_side_born(g->set, t, (int64_t)load->born_ms));
	note_engine(g, t, load);
	tgt_side_heard(t, (uint32_t)load->seq, now_us);
	tgt_load(t, (unsigned int)(load->running + load->waiting), now_us);
	gateway_rate_load(g, t, load);
	note_gateways(g, (unsigned int)load->gateways);
	t->entries_near = (unsigned int)load->near;
	t->slow_link = load->slow_link != 0;
	if (t->near) {
		g->near_gateways = (unsigned int)load->near;
		gateway_relay_mate(g, load);
	}
	if (load->gateways >= ALL_AWAY_GATEWAYS &&
	    load->without_store == load->gateways)
		g->all_away_us = now_us;
	note_wanted(g, t->service, load);
	if (note_root(t, load) && root_matters(g, t))
		gateway_views_news(g);
}

static void
on_message(const char *from, const struct msg *m, void *ctx)
{
	struct gateway *g = ctx;
	struct side_load load;
	struct side_loads loads;
	struct side_ask ask;
	struct side_permit permit;
	struct side_ends ends;
	struct side_rate rate;

	if (msg_read(m, &side_load_desc, &load, NULL))
		take_load(g, &load);
	else if (msg_read(m, &side_loads_desc, &loads, NULL))
		gateway_relay_take(g, &loads);
	else if (msg_read(m, &side_permit_desc, &permit, NULL))
		gateway_rate_permit(g, &permit);
	else if (msg_read(m, &side_rate_desc, &rate, NULL))
		gateway_rate_told(g, &rate);
	else if (msg_read(m, &side_ends_desc, &ends, NULL))
		gateway_ends_take(g, &ends);
	else if (msg_read(m, &side_ask_desc, &ask, NULL))
		gateway_views_asked(g, from, &ask);
	fwd_pump(g->fwd);
}

bool
gateway_peers_open(struct gateway *g, struct err *err)
{
	g->peers = dgram_open(&g->st.node, cfg_str(g->st.cfg, "listen.peers"),
	    on_message, g, err);
	gateway_views_open(g);
	gateway_relay_open(g);
	gateway_rate_open(g);
	gateway_ends_open(g);
	return g->peers != NULL;
}
