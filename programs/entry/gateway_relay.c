/* How full this region's engines are, told to gateways of other regions. */

#include "entry/gateway.h"

/*
 * A region's gateways hear its keepers each few milliseconds and take turns in
 * telling the others: some gateway of the region speaks this often. Each tells
 * all it knows, so one that is cut off, stands still or lies behind costs its
 * turns and nothing else; who is to speak needs no agreement.
 */
#define TURN_US 150000
/* Words that are older are not passed on: of a keeper that fell silent, others
 * must find out. Keepers tell each load again after 0.25 s. */
#define FRESH_US 400000
/* A gateway that keepers have not named for so long is told nothing more. */
#define MATE_SILENT_US 3000000
/* Spread of a turn's length, so that gateways that start together do not go on
 * speaking together. */
#define TURN_SPREAD 0.2

/* A gateway of another region. */
struct gateway_mate {
	int64_t named_us; /* by a keeper, last */
};

void
gateway_relay_mate(struct gateway *g, const struct side_report *load)
{
	struct gateway_mate *mate;
	char address[SV_ADDRESS_MAX];

	if (load->remote_gateway.len == 0)
		return;
	slice_copy(load->remote_gateway, address, sizeof(address));
	mate = g_hash_table_lookup(g->mates, address);
	if (mate == NULL) {
		mate = g_new0(struct gateway_mate, 1);
		g_hash_table_insert(g->mates, g_strdup(address), mate);
	}
	mate->named_us = evl_now_us(g->st.loop);
}

/* ------------------------------------------------------------------ */
/* Telling                                                             */
/* ------------------------------------------------------------------ */

static gboolean
is_silent(gpointer key, gpointer value, gpointer data)
{
	const struct gateway_mate *mate = value;
	const struct gateway *g = data;

	return evl_now_us(g->st.loop) - mate->named_us > MATE_SILENT_US;
}

static void
send_entries(struct gateway *g, GByteArray *entries)
{
	struct side_relay loads = { .entries = {
					entries->data, entries->len } };
	GByteArray *packed;
	GHashTableIter iter;
	gpointer address;

	if (entries->len == 0)
		return;
	packed = dgram_pack(g->peers, &side_relay_desc, &loads);
	g_hash_table_iter_init(&iter, g->mates);
	while (packed != NULL && g_hash_table_iter_next(&iter, &address, NULL))
		dgram_send_packed(g->peers, address, &side_relay_desc, packed);
	if (packed != NULL)
		g_byte_array_unref(packed);
	g_byte_array_set_size(entries, 0);
}

static void
add_entry(const struct tgt *t, GByteArray *entries)
{
	struct side_relayed one = {
		.seq = t->side_seq,
		.total = t->reported,
		.slowdown_permille = (unsigned int)(t->slowdown * 1000),
		.slow_link = t->slow_link,
	};

	g_strlcpy(one.address, t->record.address, sizeof(one.address));
	side_relayed_put(entries, &one);
}

static void
tell_service(struct gateway *g, const struct tgt_service *service)
{
	int64_t now_us = evl_now_us(g->st.loop);
	GByteArray *entries = g_byte_array_new();
	const struct tgt *t;

	TAILQ_FOREACH (t, &service->targets, link) {
		if (!t->local || t->side_report_us == 0 ||
		    now_us - t->side_report_us > FRESH_US)
			continue;
		add_entry(t, entries);
		if (entries->len == SIDE_RELAY_MAX * SIDE_RELAYED_BYTES)
			send_entries(g, entries);
	}
	send_entries(g, entries);
	g_byte_array_unref(entries);
}

static int64_t
turn_us(struct gateway *g)
{
	double spread = 1 - TURN_SPREAD / 2 + TURN_SPREAD * g_random_double();

	return (int64_t)(TURN_US * spread) * (int64_t)MAX(1, g->near_gateways);
}

static void
on_turn(struct evl_timer *timer)
{
	struct gateway *g = CONTAINER_OF(timer, struct gateway, relay);
	const struct sv_config *config;
	const struct tgt_service *service;
	size_t i;

	evl_timer_set(g->st.loop, timer, evl_now_us(g->st.loop) + turn_us(g));
	g_hash_table_foreach_remove(g->mates, is_silent, g);
	if (fwd_routes(g->fwd) == NULL || g_hash_table_size(g->mates) == 0)
		return;
	config = rtab_config(fwd_routes(g->fwd));
	for (i = 0; i < config->nservices; i++) {
		service = tgt_service(g->set, config->services[i].name);
		if (service->has_engine)
			tell_service(g, service);
	}
}

/* ------------------------------------------------------------------ */
/* Hearing                                                             */
/* ------------------------------------------------------------------ */

void
gateway_relay_take(struct gateway *g, const struct side_relay *loads)
{
	struct side_relayed one;
	struct tgt *t;
	size_t i;

	for (i = 0; i < side_relayed_count(loads); i++) {
		side_relayed_get(loads, i, &one);
		t = tgt_by_address(g->set, one.address);
		if (t != NULL)
			tgt_relayed(t, &one, evl_now_us(g->st.loop));
	}
}

void
gateway_relay_open(struct gateway *g)
{
	g->mates =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	g->near_gateways = 1;
	g->relay.fire = on_turn;
	evl_timer_set(
	    g->st.loop, &g->relay, evl_now_us(g->st.loop) + turn_us(g));
}
