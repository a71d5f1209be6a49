/* Connections to the other hosts of a rollout, and updates sent to them. */

#include <string.h>

#include "weights/bits.h"
#include "weights/xfer.h"

/*
 * A host dials as many peers as the number of members has binary digits, and
 * about as many dial it. With fewer connections some hosts of a large rollout
 * lack sources and finish late. Two of the peers are in other domains, so that
 * no domain runs out of chunks that only another one has.
 */
#define DIAL_MIN 4
#define DIAL_CROSS_DOMAIN 2
#define DIAL_ALL 12 /* with fewer members, all hosts connect to each other */
#define PEERS_MAX 40
#define REDIAL_US 250000
#define REDIAL_DOUBLINGS 5
/* Long compared to the time in which other hosts take over the chunks of the
 * refused one, short compared to a rollout, so that a host that was only slow
 * is used again. */
#define REFUSAL_US (10 * (int64_t)1000000)

/* ------------------------------------------------------------------ */
/* Updates                                                             */
/* ------------------------------------------------------------------ */

static void
clear_update(struct peer *peer)
{
	g_byte_array_set_size(peer->gained, 0);
	g_byte_array_set_size(peer->claims, 0);
}

static void
send_update(void *ctx)
{
	struct peer *peer = ctx;
	struct wts *wts = peer->xfer->wts;
	struct proto_update update = {
		.gained = { peer->gained->data, peer->gained->len },
		.claims = { peer->claims->data, peer->claims->len },
		.load = serve_record_load(peer),
	};

	peer->next_update_us =
	    clk_now_us(wts->clock) + peer->xfer->update_interval_us;
	conn_send(peer->conn, &proto_update_desc, &update);
	clear_update(peer);
}

/* The first update is sent at once; changes within the interval are combined
 * into the next. */
static void
schedule_update(struct peer *peer)
{
	if (peer->open)
		timer_set_earlier(&peer->update_timer, peer->next_update_us);
}

void
peers_queue_gained(struct xfer *x, uint64_t index)
{
	struct peer *peer;

	TAILQ_FOREACH (peer, &x->peers, link) {
		/* A peer that has the chunk would only update its count of
		 * holders; this is not worth the bytes. */
		if (!peer->have_sent || bits_get(peer->for_chunks.bits, index))
			continue;
		proto_add_index(peer->gained, (uint32_t)index);
		schedule_update(peer);
	}
}

void
peers_queue_claim(struct xfer *x, uint64_t index, unsigned int rank,
    const struct peer *except)
{
	uint8_t rank8 = (uint8_t)MIN(rank, UINT8_MAX);
	struct peer *peer;

	TAILQ_FOREACH (peer, &x->peers, link) {
		if (peer == except || !peer->open)
			continue;
		proto_add_index(peer->claims, (uint32_t)index);
		g_byte_array_append(peer->claims, &rank8, 1);
		schedule_update(peer);
	}
}

void
peers_queue_idle(struct wts *wts)
{
	struct peer *peer;
	struct xfer *x;

	TAILQ_FOREACH (x, &wts->xfers, link) {
		TAILQ_FOREACH (peer, &x->peers, link) {
			if (peer->sent_load > 0)
				schedule_update(peer);
		}
	}
}

static void
set_bit(GByteArray *bits, uint64_t i)
{
	bits->data[i / 8] |= (uint8_t)(1u << (i % 8));
}

static GByteArray *
new_bits(uint64_t n)
{
	GByteArray *bits = g_byte_array_new();

	g_byte_array_set_size(bits, (guint)((n + 7) / 8));
	memset(bits->data, 0, bits->len);
	return bits;
}

void
peer_send_have(struct peer *peer)
{
	struct xfer *x = peer->xfer;
	uint64_t n = x->pick->conf.chunks;
	GByteArray *bits = new_bits(n);
	GByteArray *known = new_bits(n);
	struct proto_have have;
	uint64_t i;

	for (i = 0; i < n; i++) {
		if (x->pick->chunks[i].state == PICK_HAVE)
			set_bit(bits, i);
		if (x->pick->chunks[i].claimed)
			set_bit(known, i);
	}
	have = (struct proto_have){
		.bits = { bits->data, bits->len },
		.load = serve_record_load(peer),
		.known = { known->data, known->len },
	};
	conn_send(peer->conn, &proto_have_desc, &have);
	peer->have_sent = true;
	clear_update(peer);
	g_byte_array_unref(bits);
	g_byte_array_unref(known);
}

void
peer_join(struct peer *peer)
{
	struct xfer *x = peer->xfer;
	struct proto_join join = {
		.root = x->want.version.root,
		.domain = slice_str(x->wts->conf.domain),
	};

	peer->open = true;
	conn_send(peer->conn, &proto_join_desc, &join);
	if (x->stored != NULL)
		peer_send_have(peer);
}

/* ------------------------------------------------------------------ */
/* Members                                                             */
/* ------------------------------------------------------------------ */

struct member *
peers_member(struct xfer *x, const char *id)
{
	guint i;

	for (i = 0; i < x->members->len; i++) {
		struct member *m = x->members->pdata[i];

		if (strcmp(m->id, id) == 0)
			return m;
	}
	return NULL;
}

static struct peer *
find_peer(struct xfer *x, const char *id)
{
	struct peer *peer;

	TAILQ_FOREACH (peer, &x->peers, link) {
		if (strcmp(peer->id, id) == 0)
			return peer;
	}
	return NULL;
}

static struct peer *
new_peer(struct xfer *x, const char *id, bool same_domain)
{
	struct peer *peer = g_new0(struct peer, 1);
	struct member *m = peers_member(x, id);

	peer->xfer = x;
	peer->id = g_strdup(id);
	peer->same_domain = same_domain;
	peer->gained = g_byte_array_new();
	peer->claims = g_byte_array_new();
	LIST_INIT(&peer->incoming_chunks);
	timer_init(&peer->update_timer, x->wts->clock, send_update, peer);
	peer->for_list.owner = peer;
	peer->for_chunks.owner = peer;
	pick_add_peer(x->list_pick, &peer->for_list, same_domain);
	pick_add_peer(x->pick, &peer->for_chunks, same_domain);
	TAILQ_INSERT_TAIL(&x->peers, peer, link);
	if (m != NULL)
		m->peer = peer;
	return peer;
}

void
peer_drop(struct peer *peer)
{
	struct xfer *x = peer->xfer;
	struct wts *wts = x->wts;
	struct member *m = peers_member(x, peer->id);
	int64_t now_us = clk_now_us(wts->clock);
	struct incoming *chunk;

	serve_cancel(peer);
	while ((chunk = LIST_FIRST(&peer->incoming_chunks)) != NULL)
		incoming_free(chunk);
	pick_remove_peer(x->list_pick, &peer->for_list, now_us);
	pick_remove_peer(x->pick, &peer->for_chunks, now_us);
	timer_stop(&peer->update_timer);
	TAILQ_REMOVE(&x->peers, peer, link);
	if (m != NULL && m->peer == peer) {
		m->peer = NULL;
		m->redial_at_us = now_us +
		    ((int64_t)REDIAL_US << MIN(m->failures, REDIAL_DOUBLINGS));
		m->failures = peer->has_list ? 1 : m->failures + 1;
	}
	if (peer->conn != NULL) {
		g_hash_table_remove(wts->by_conn, peer->conn);
		/* `closed` is called from the main loop, possibly after wts was
		 * freed. */
		if (peer->dialled)
			conn_set_ctx(peer->conn, NULL);
		conn_close(peer->conn);
	}
	g_byte_array_unref(peer->gained);
	g_byte_array_unref(peer->claims);
	g_free(peer->id);
	g_free(peer);
	timer_set_earlier(&x->dial_timer, now_us);
	xfer_pump_soon(x);
}

void
peer_drop_failing(struct peer *peer)
{
	struct xfer *x = peer->xfer;
	struct member *m = peers_member(x, peer->id);
	int64_t until_us = clk_now_us(x->wts->clock) + REFUSAL_US;

	if (MAX(peer->for_list.failures, peer->for_chunks.failures) <
	    PICK_FAILURES_DROP)
		return;
	log_warn("weights: peer %s failed repeatedly; refused temporarily",
	    peer->id);
	peer_drop(peer);
	if (m == NULL)
		return;
	m->redial_at_us = until_us;
	m->refuse_until_us = until_us;
}

void
peers_drop_removed(struct xfer *x)
{
	struct peer *peer = TAILQ_FIRST(&x->peers);

	while (peer != NULL) {
		struct peer *next = TAILQ_NEXT(peer, link);
		struct member *m = peers_member(x, peer->id);

		/* A host that dialled this one may have learned of its
		 * membership earlier. */
		if (m == NULL && peer->dialled)
			peer_drop(peer);
		else if (m != NULL)
			m->peer = peer;
		peer = next;
	}
}

/* ------------------------------------------------------------------ */
/* Dialling                                                            */
/* ------------------------------------------------------------------ */

static void
on_opened(struct conn *c, void *ctx)
{
	struct wts *wts = ctx;
	struct peer *peer;

	if (wts == NULL)
		return;
	peer = g_hash_table_lookup(wts->by_conn, c);
	if (peer == NULL)
		return;
	if (strcmp(conn_peer(c), peer->id) != 0) {
		/* Another host uses the address now. */
		peer_drop(peer);
		return;
	}
	peer_join(peer);
}

static void
on_message(struct conn *c, const struct msg *m, void *ctx)
{
	if (ctx != NULL)
		wts_message(ctx, c, m);
}

static void
on_drained(struct conn *c, void *ctx)
{
	if (ctx != NULL)
		wts_drained(ctx, c);
}

static void
on_closed(struct conn *c, const struct err *why, void *ctx)
{
	if (ctx != NULL)
		wts_closed(ctx, c);
}

static const struct conn_ops dialled_ops = {
	.opened = on_opened,
	.message = on_message,
	.drained = on_drained,
	.closed = on_closed,
};

static void
dial(struct xfer *x, struct member *m)
{
	struct wts *wts = x->wts;
	bool same_domain = strcmp(m->domain, wts->conf.domain) == 0;
	struct peer *peer = new_peer(x, m->id, same_domain);

	peer->dialled = true;
	peer->conn = conn_dial(wts->conf.node, m->address, &dialled_ops, wts);
	g_hash_table_insert(wts->by_conn, peer->conn, peer);
}

/* Number of connections to dial within this host's failure domain and to
 * others. */
struct quota {
	unsigned int same_domain, cross_domain;
};

static bool
in_same_domain(const struct xfer *x, const struct member *m)
{
	return strcmp(m->domain, x->wts->conf.domain) == 0;
}

static unsigned int
dial_count(const struct xfer *x)
{
	return MAX(DIAL_MIN, g_bit_storage(x->members->len));
}

static struct quota
dial_quota(const struct xfer *x)
{
	unsigned int same_domain = 0;
	unsigned int cross_domain = 0;
	unsigned int dials = dial_count(x);
	guint i;

	for (i = 0; i < x->members->len; i++) {
		if (in_same_domain(x, x->members->pdata[i]))
			same_domain++;
		else
			cross_domain++;
	}
	cross_domain = MIN(cross_domain, DIAL_CROSS_DOMAIN);
	same_domain = MIN(same_domain, dials - cross_domain);
	return (struct quota){ same_domain, dials - same_domain };
}

static bool
should_connect(
    const struct xfer *x, const struct member *m, struct quota *remaining)
{
	unsigned int *quota = in_same_domain(x, m) ? &remaining->same_domain
						   : &remaining->cross_domain;

	if (*quota > 0) {
		--*quota;
		return true;
	}
	/* Readers are connected to each other, so that a failed reader is
	 * detected directly by those that take over, independently of the
	 * connection graph. */
	return x->members->len < DIAL_ALL ||
	    (m->reader && x->pick->rank.self != RANK_NONE);
}

void
peers_dial(struct xfer *x)
{
	int64_t now_us = clk_now_us(x->wts->clock);
	struct quota remaining = dial_quota(x);
	guint i;

	for (i = 0; i < x->members->len; i++) {
		struct member *m = x->members->pdata[i];

		/* A member that cannot be reached now is replaced by the
		 * next. */
		if (m->peer == NULL && m->redial_at_us > now_us) {
			timer_set_earlier(&x->dial_timer, m->redial_at_us);
			continue;
		}
		if (should_connect(x, m, &remaining) && m->peer == NULL)
			dial(x, m);
	}
}

bool
peers_all_announced(const struct xfer *x)
{
	const struct peer *peer;
	guint members = x->members->len;
	guint announced = 0;

	TAILQ_FOREACH (peer, &x->peers, link) {
		if (!peer->has_list)
			return false;
		announced++;
	}
	return announced >= (members < DIAL_ALL ? members : dial_count(x));
}

/* ------------------------------------------------------------------ */
/* Accepting                                                           */
/* ------------------------------------------------------------------ */

/* Two hosts that dialled each other keep the connection dialled by the host
 * with the lower id; both ends decide alike. */
static bool
is_replaceable(const struct peer *old, const char *own_id)
{
	return !old->dialled || strcmp(own_id, old->id) > 0;
}

struct peer *
peers_accept(struct xfer *x, struct conn *c)
{
	const char *id = conn_peer(c);
	struct peer *old = find_peer(x, id);
	struct member *m = peers_member(x, id);
	unsigned int n = 0;
	struct peer *peer;

	if (m != NULL && m->refuse_until_us > clk_now_us(x->wts->clock))
		return NULL;
	if (old != NULL) {
		if (!is_replaceable(old, x->wts->conf.id))
			return NULL;
		peer_drop(old);
	}
	TAILQ_FOREACH (peer, &x->peers, link)
		n++;
	if (n >= PEERS_MAX)
		return NULL;
	peer = new_peer(
	    x, id, m != NULL && strcmp(m->domain, x->wts->conf.domain) == 0);
	peer->conn = c;
	g_hash_table_insert(x->wts->by_conn, c, peer);
	peer_join(peer);
	return peer;
}
