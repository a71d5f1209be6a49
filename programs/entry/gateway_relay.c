/* Relays the load of this region's engines to gateways of other regions. */

#include "entry/gateway.h"

/*
 * A region's gateways receive the reports of its sidecars every few
 * milliseconds and take turns in relaying them: some gateway of the region
 * sends this often. Each relays all that it has, so one that is cut off,
 * stalled or behind costs only its own turns; the order needs no agreement.
 */
#define TURN_US 150000
/* Older reports are not relayed, so that remote gateways notice a sidecar that
 * is not responding. Sidecars repeat each report after 0.25 s. */
#define REPORT_MAX_AGE_US 400000
/* A gateway that no sidecar has reported for this long is sent nothing more. */
#define REMOTE_TIMEOUT_US 3000000
/* Random spread of a turn's length, so that gateways that start together do not
 * keep sending together. */
#define TURN_SPREAD 0.2

/* A gateway of a remote region. */
struct gateway_remote {
	int64_t reported_us; /* last report of it by a sidecar */
};

void
gateway_relay_add_gateway(struct gateway *g, const struct side_report *report)
{
	struct gateway_remote *remote;
	char address[SV_ADDRESS_MAX];

	if (report->remote_gateway.len == 0)
		return;
	slice_copy(report->remote_gateway, address, sizeof(address));
	remote = g_hash_table_lookup(g->remote_gateways, address);
	if (remote == NULL) {
		remote = g_new0(struct gateway_remote, 1);
		g_hash_table_insert(
		    g->remote_gateways, g_strdup(address), remote);
	}
	remote->reported_us = evl_now_us(g->st.loop);
}

/* ------------------------------------------------------------------ */
/* Sending                                                             */
/* ------------------------------------------------------------------ */

static gboolean
has_timed_out(gpointer key, gpointer value, gpointer data)
{
	const struct gateway_remote *remote = value;
	const struct gateway *g = data;

	return evl_now_us(g->st.loop) - remote->reported_us > REMOTE_TIMEOUT_US;
}

static void
send_entries(struct gateway *g, GByteArray *entries)
{
	struct side_relay relay = { .entries = {
					entries->data, entries->len } };
	GByteArray *packed;
	GHashTableIter iter;
	gpointer address;

	if (entries->len == 0)
		return;
	packed = dgram_pack(g->peers, &side_relay_desc, &relay);
	g_hash_table_iter_init(&iter, g->remote_gateways);
	while (packed != NULL && g_hash_table_iter_next(&iter, &address, NULL))
		dgram_send_packed(g->peers, address, &side_relay_desc, packed);
	if (packed != NULL)
		g_byte_array_unref(packed);
	g_byte_array_set_size(entries, 0);
}

static void
add_entry(const struct tgt *t, GByteArray *entries)
{
	struct side_relayed entry = {
		.seq = t->side_seq,
		.total = t->reported,
		.slowdown_permille = (unsigned int)(t->slowdown * 1000),
		.slow_link = t->slow_link,
		.inbound_ms = (unsigned int)(t->inbound_us / 1000),
	};

	g_strlcpy(entry.address, t->record.address, sizeof(entry.address));
	side_relayed_put(entries, &entry);
}

static void
relay_service(struct gateway *g, const struct tgt_service *service)
{
	int64_t now_us = evl_now_us(g->st.loop);
	GByteArray *entries = g_byte_array_new();
	const struct tgt *t;

	TAILQ_FOREACH (t, &service->targets, link) {
		if (!t->local || t->side_report_us == 0 ||
		    now_us - t->side_report_us > REPORT_MAX_AGE_US)
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

	return (int64_t)(TURN_US * spread) * (int64_t)MAX(1, g->local_gateways);
}

static void
on_turn(struct evl_timer *timer)
{
	struct gateway *g = CONTAINER_OF(timer, struct gateway, relay_timer);
	const struct sv_config *config;
	const struct tgt_service *service;
	size_t i;

	evl_timer_set(g->st.loop, timer, evl_now_us(g->st.loop) + turn_us(g));
	g_hash_table_foreach_remove(g->remote_gateways, has_timed_out, g);
	if (fwd_routes(g->fwd) == NULL ||
	    g_hash_table_size(g->remote_gateways) == 0)
		return;
	config = rtab_config(fwd_routes(g->fwd));
	for (i = 0; i < config->nservices; i++) {
		service = tgt_service(g->set, config->services[i].name);
		if (service->has_engine)
			relay_service(g, service);
	}
}

/* ------------------------------------------------------------------ */
/* Receiving                                                           */
/* ------------------------------------------------------------------ */

void
gateway_relay_received(struct gateway *g, const struct side_relay *relay)
{
	struct side_relayed entry;
	struct tgt *t;
	size_t i;

	for (i = 0; i < side_relayed_count(relay); i++) {
		side_relayed_get(relay, i, &entry);
		t = tgt_by_address(g->set, entry.address);
		if (t != NULL)
			tgt_relayed(t, &entry, evl_now_us(g->st.loop));
	}
}

void
gateway_relay_open(struct gateway *g)
{
	g->remote_gateways =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	g->local_gateways = 1;
	g->relay_timer.fire = on_turn;
	evl_timer_set(
	    g->st.loop, &g->relay_timer, evl_now_us(g->st.loop) + turn_us(g));
}
