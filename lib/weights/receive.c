/* Handles messages from peers: their state, and bytes that are hashed on
 * arrival. */

#include "weights/bits.h"
#include "weights/xfer.h"

void
incoming_free(struct incoming *in)
{
	LIST_REMOVE(in, link);
	digest_stream_free(in->stream);
	g_free(in->buffer);
	g_free(in);
}

static struct incoming *
find_incoming(struct peer *peer, uint64_t index)
{
	struct incoming *in;

	LIST_FOREACH (in, &peer->incoming_chunks, link) {
		if (in->index == index)
			return in;
	}
	return NULL;
}

static struct pick_peer *
pick_peer_for(struct peer *peer, uint64_t index)
{
	return index == PROTO_LIST ? &peer->for_list : &peer->for_chunks;
}

static void
set_load(struct peer *peer, uint64_t load)
{
	int64_t now_us = clk_now_us(peer->xfer->wts->clock);

	pick_peer_load(&peer->for_list, (unsigned int)load, now_us);
	pick_peer_load(&peer->for_chunks, (unsigned int)load, now_us);
}

/* ------------------------------------------------------------------ */
/* State                                                               */
/* ------------------------------------------------------------------ */

static void
handle_join(struct peer *peer, const struct proto_join *join)
{
	const char *own = peer->xfer->wts->conf.domain;
	char *domain = slice_dup(join->domain);

	/* The peer's chunks have not been counted yet, so its domain can still
	 * be set. */
	if (!peer->joined) {
		peer->joined = true;
		peer->same_domain = strcmp(domain, own) == 0;
		peer->for_list.same_domain = peer->same_domain;
		peer->for_chunks.same_domain = peer->same_domain;
	}
	g_free(domain);
}

static bool
has_bit(struct slice bits, uint64_t i)
{
	return i / 8 < bits.len && (bits.data[i / 8] >> (i % 8) & 1) != 0;
}

static void
handle_have(struct peer *peer, const struct proto_have *have)
{
	struct xfer *x = peer->xfer;
	int64_t now_us = clk_now_us(x->wts->clock);
	uint64_t n = x->pick->conf.chunks;
	uint64_t i;

	peer->has_list = true;
	pick_peer_has(x->list_pick, &peer->for_list, 0, now_us);
	for (i = 0; i < n; i++) {
		bool is_new = false;

		if (has_bit(have->bits, i))
			is_new = pick_peer_has(
			    x->pick, &peer->for_chunks, i, now_us);
		else if (has_bit(have->known, i))
			is_new = pick_mark_known(x->pick, i, now_us);
		if (is_new)
			peers_queue_claim(x, i, PICK_RANK_UNKNOWN, peer);
	}
	set_load(peer, have->load);
}

static void
handle_claims(struct peer *peer, struct slice claims)
{
	struct xfer *x = peer->xfer;
	int64_t now_us = clk_now_us(x->wts->clock);
	uint32_t index;

	while (proto_next_index(&claims, &index) && claims.len > 0) {
		struct pick *pick = xfer_pick_of(x, index);
		unsigned int rank = *claims.data++;

		claims.len--;
		if (pick != NULL &&
		    pick_claimed(pick, xfer_pick_index(index), rank, now_us))
			peers_queue_claim(x, index, rank, peer);
	}
}

static void
handle_update(struct peer *peer, const struct proto_update *update)
{
	struct xfer *x = peer->xfer;
	int64_t now_us = clk_now_us(x->wts->clock);
	struct slice gained = update->gained;
	uint32_t index;

	handle_claims(peer, update->claims);
	while (proto_next_index(&gained, &index)) {
		if (index < x->pick->conf.chunks)
			pick_peer_has(
			    x->pick, &peer->for_chunks, index, now_us);
	}
	set_load(peer, update->load);
}

/* ------------------------------------------------------------------ */
/* Bytes                                                               */
/* ------------------------------------------------------------------ */

/* The open request that these bytes answer, or NULL if it was cancelled. */
static struct pick_fetch *
find_request(struct peer *peer, uint64_t index)
{
	struct pick *pick = xfer_pick_of(peer->xfer, index);
	struct pick_fetch *fetch;

	if (pick == NULL)
		return NULL;
	fetch = pick_find(pick, xfer_pick_index(index));
	if (fetch == NULL || fetch->peer != pick_peer_for(peer, index))
		return NULL;
	return fetch;
}

static struct incoming *
new_incoming(struct peer *peer, uint64_t index)
{
	struct incoming *in = g_new0(struct incoming, 1);

	in->index = index;
	in->len = xfer_len_of(peer->xfer, index);
	in->buffer = g_malloc(in->len);
	in->stream = xfer_stream_of(peer->xfer, index);
	LIST_INSERT_HEAD(&peer->incoming_chunks, in, link);
	return in;
}

static void
finish_incoming(struct peer *peer, struct incoming *in)
{
	struct xfer *x = peer->xfer;
	struct wts *wts = x->wts;
	uint64_t index = in->index;
	struct digest got;
	GBytes *bytes;

	digest_stream_end(g_steal_pointer(&in->stream), &got);
	bytes = g_bytes_new_take(g_steal_pointer(&in->buffer), in->len);
	incoming_free(in);
	pick_received(xfer_pick_of(x, index), xfer_pick_index(index),
	    clk_now_us(wts->clock));
	if (xfer_accept_object(x, index, bytes, &got, peer)) {
		ctr_add(wts->counts.peer_chunks, 1);
		pick_peer_for(peer, index)->failures = 0;
	} else {
		ctr_add(wts->counts.corrupt_peer, 1);
		log_warn("weights: chunk %" G_GUINT64_FORMAT
			 " from %s does not match its digest",
		    index, peer->id);
	}
	g_bytes_unref(bytes);
}

static void
handle_data(struct peer *peer, const struct proto_data *data)
{
	struct xfer *x = peer->xfer;
	struct wts *wts = x->wts;
	struct incoming *in = find_incoming(peer, data->index);

	wts_received(wts, data->bytes.len);
	ctr_add(wts->counts.peer_bytes, (int64_t)data->bytes.len);
	if (!peer->same_domain)
		ctr_add(
		    wts->counts.cross_domain_bytes, (int64_t)data->bytes.len);
	set_load(peer, data->load);
	if (find_request(peer, data->index) == NULL) {
		/* The request was cancelled, or the chunk was received from
		 * elsewhere. */
		ctr_add(wts->counts.late_bytes, (int64_t)data->bytes.len);
		if (in != NULL)
			incoming_free(in);
		return;
	}
	if (in != NULL && data->offset == 0) {
		/* The chunk was requested again after a cancelled request. The
		 * rest of the first answer was dropped; this is the second
		 * answer. */
		incoming_free(in);
		in = NULL;
	}
	if (in == NULL && data->offset == 0)
		in = new_incoming(peer, data->index);
	if (in == NULL || data->offset != in->got ||
	    data->bytes.len > in->len - in->got) {
		ctr_add(wts->counts.late_bytes, (int64_t)data->bytes.len);
		return;
	}
	memcpy(in->buffer + in->got, data->bytes.data, data->bytes.len);
	digest_stream_add(in->stream, data->bytes.data, data->bytes.len);
	in->got += data->bytes.len;
	pick_progress(xfer_pick_of(x, data->index),
	    xfer_pick_index(data->index), clk_now_us(wts->clock));
	if (in->got == in->len)
		finish_incoming(peer, in);
}

static void
handle_none(struct peer *peer, const struct proto_none *none)
{
	struct xfer *x = peer->xfer;

	set_load(peer, none->load);
	if (find_request(peer, none->index) == NULL)
		return;
	ctr_add(x->wts->counts.busy, (int64_t)none->busy);
	pick_failed(xfer_pick_of(x, none->index), xfer_pick_index(none->index),
	    pick_peer_for(peer, none->index),
	    none->busy ? PICK_BUSY : PICK_REFUSED, clk_now_us(x->wts->clock));
}

/* ------------------------------------------------------------------ */
/* Messages                                                            */
/* ------------------------------------------------------------------ */

static bool
dispatch(struct peer *peer, const struct msg *m)
{
	union {
		struct proto_join join;
		struct proto_have have;
		struct proto_update update;
		struct proto_get get;
		struct proto_data data;
		struct proto_none none;
	} u;

	if (m->type == PROTO_JOIN && msg_read(m, &proto_join_desc, &u, NULL))
		handle_join(peer, &u.join);
	else if (!peer->joined)
		return false;
	else if (m->type == PROTO_HAVE &&
	    msg_read(m, &proto_have_desc, &u, NULL))
		handle_have(peer, &u.have);
	else if (m->type == PROTO_UPDATE &&
	    msg_read(m, &proto_update_desc, &u, NULL))
		handle_update(peer, &u.update);
	else if (m->type == PROTO_GET && msg_read(m, &proto_get_desc, &u, NULL))
		serve_get(peer, &u.get);
	else if (m->type == PROTO_DATA &&
	    msg_read(m, &proto_data_desc, &u, NULL))
		handle_data(peer, &u.data);
	else if (m->type == PROTO_NONE &&
	    msg_read(m, &proto_none_desc, &u, NULL))
		handle_none(peer, &u.none);
	else
		return false;
	return true;
}

void
peer_message(struct peer *peer, const struct msg *m)
{
	struct xfer *x = peer->xfer;

	/* `bye` and malformed messages end the connection. Unknown types of
	 * later releases are ignored. */
	if (m->type > PROTO_BYE)
		return;
	if (!dispatch(peer, m))
		peer_drop(peer);
	else
		peer_drop_failing(peer);
	xfer_pump(x);
}
