/* Uploads to peers: few at a time, limited by the upload budget. */

#include "weights/xfer.h"

/* Open uploads of this host. Further requests are refused as busy, so that a
 * peer does not wait here while other holders of the chunk are idle. */
#define UPLOADS_MAX PICK_LOAD_MAX
/*
 * Chunks with fewer copies are sent first, so that a host with several new
 * chunks sends each once before it sends one twice. Above this number the peer
 * with the fewest chunks goes first, so that all finish at about the same time.
 */
#define COPIES_ENOUGH 3
#define SLICE_MIN (16u << 10)
#define SLICE_US 20000 /* duration of a slice at the rate of the budget */
#define SECOND_US 1000000
/* A receiver that accepts no bytes for this time is dropped. */
#define UPLOAD_STALL_US (10 * (int64_t)SECOND_US)

struct upload {
	TAILQ_ENTRY(upload) link;
	struct peer *to;
	uint64_t index;
	GBytes *bytes;
	uint64_t sent;
	/* Chunks that the receiver had when it sent the request. */
	uint64_t have;
	int64_t progress_us;
};

static void
end_upload(struct upload *u)
{
	struct wts *wts = u->to->xfer->wts;

	TAILQ_REMOVE(&wts->uploads, u, link);
	wts->nuploads--;
	u->to->nuploads--;
	g_bytes_unref(u->bytes);
	g_free(u);
}

void
serve_cancel(struct peer *peer)
{
	struct upload *u = TAILQ_FIRST(&peer->xfer->wts->uploads);

	while (u != NULL) {
		struct upload *next = TAILQ_NEXT(u, link);

		if (u->to == peer)
			end_upload(u);
		u = next;
	}
}

unsigned int
serve_record_load(struct peer *peer)
{
	peer->sent_load = peer->xfer->wts->nuploads - peer->nuploads;
	return peer->sent_load;
}

static GBytes *
bytes_of(struct xfer *x, uint64_t index)
{
	if (index == PROTO_LIST)
		return x->list;
	if (x->stored == NULL || index >= x->pick->conf.chunks)
		return NULL;
	return hold_get(x->stored, index);
}

static void
refuse(struct peer *peer, uint64_t index, bool busy)
{
	struct proto_none none = {
		.index = index,
		.busy = busy,
		.load = serve_record_load(peer),
	};

	conn_send(peer->conn, &proto_none_desc, &none);
}

/* Number of copies of the chunk that this host knows of. */
static uint32_t
known_copies(const struct upload *u)
{
	if (u->index == PROTO_LIST)
		return 0;
	return u->to->xfer->pick->chunks[u->index].holders;
}

/* Whether to send `u` before `other`; neither has been started. */
static bool
precedes(const struct upload *u, const struct upload *other)
{
	uint32_t copies = MIN(known_copies(u), COPIES_ENOUGH);
	uint32_t other_copies = MIN(known_copies(other), COPIES_ENOUGH);

	if (copies != other_copies)
		return copies < other_copies;
	return u->have < other->have;
}

/* The upload that would be sent last, among those not started. */
static struct upload *
find_last_waiting(struct wts *wts)
{
	struct upload *last = NULL;
	struct upload *u;

	TAILQ_FOREACH (u, &wts->uploads, link) {
		if (u->sent == 0 && (last == NULL || !precedes(u, last)))
			last = u;
	}
	return last;
}

/* Refuses a waiting upload if `u` precedes it. */
static bool
displace(struct wts *wts, const struct upload *u)
{
	struct upload *last = find_last_waiting(wts);

	if (last == NULL || !precedes(u, last))
		return false;
	refuse(last->to, last->index, true);
	end_upload(last);
	return true;
}

void
serve_get(struct peer *peer, const struct proto_get *get)
{
	struct wts *wts = peer->xfer->wts;
	GBytes *bytes = bytes_of(peer->xfer, get->index);
	struct upload u = {
		.to = peer,
		.index = get->index,
		.have = get->have,
		.progress_us = clk_now_us(wts->clock),
	};
	struct upload *queued;

	if (bytes == NULL) {
		refuse(peer, get->index, false);
		return;
	}
	/* On a slow link an upload delays the engine's responses, and the peer
	 * waits long: other holders of the chunk can serve it better. */
	if (pick_is_link_slow(peer->xfer->pick) && known_copies(&u) > 0) {
		refuse(peer, get->index, true);
		return;
	}
	if (peer->nuploads >= PICK_REQUESTS_PER_PEER ||
	    (wts->nuploads >= UPLOADS_MAX && !displace(wts, &u))) {
		refuse(peer, get->index, true);
		return;
	}
	queued = g_memdup2(&u, sizeof(u));
	queued->bytes = g_bytes_ref(bytes);
	peer->nuploads++;
	wts->nuploads++;
	TAILQ_INSERT_TAIL(&wts->uploads, queued, link);
	serve_run(wts);
}

/* The upload to continue: one that has been started, or else the first by
 * precedes(). Uploads are sent one after another: in parallel all would finish
 * late, and no receiver could forward anything until then. */
static struct upload *
next_upload(struct wts *wts)
{
	struct upload *best = NULL;
	struct upload *u;

	TAILQ_FOREACH (u, &wts->uploads, link) {
		if (conn_queued(u->to->conn) >= CONN_LOW_WATER)
			continue;
		if (u->sent > 0)
			return u;
		if (best == NULL || precedes(u, best))
			best = u;
	}
	return best;
}

/* Divides `len` into slices of equal length, so that the last one is not
 * tiny. */
static size_t
slice_len(const struct wts *wts, size_t len)
{
	uint64_t max_len = wts->conf.upload_bytes_s / (SECOND_US / SLICE_US);
	size_t n;

	max_len = CLAMP(max_len, SLICE_MIN, PROTO_SLICE_MAX);
	n = (len + max_len - 1) / max_len;
	return (len + n - 1) / n;
}

/* True if this was the last slice. */
static bool
send_slice(struct upload *u, int64_t now_us)
{
	struct wts *wts = u->to->xfer->wts;
	gsize len;
	const uint8_t *data = g_bytes_get_data(u->bytes, &len);
	size_t n = MIN(slice_len(wts, len), len - u->sent);
	bool last = u->sent + n == len;
	struct proto_data slice = {
		.index = u->index,
		.offset = u->sent,
		.load = serve_record_load(u->to),
		.bytes = { data + u->sent, n },
	};

	conn_send(u->to->conn, &proto_data_desc, &slice);
	bucket_take(&wts->up, n, now_us);
	ctr_add(wts->counts.sent_bytes, (int64_t)n);
	u->sent += n;
	u->progress_us = now_us;
	return last;
}

/* Without this, peers that have stopped reading would eventually occupy all
 * uploads. */
void
serve_drop_stalled(struct wts *wts)
{
	int64_t now_us = clk_now_us(wts->clock);
	struct upload *u = TAILQ_FIRST(&wts->uploads);

	while (u != NULL) {
		struct peer *peer = u->to;

		if (conn_queued(peer->conn) < CONN_LOW_WATER ||
		    now_us - u->progress_us < UPLOAD_STALL_US) {
			u = TAILQ_NEXT(u, link);
			continue;
		}
		ctr_add(wts->counts.stalls, 1);
		peer_drop(peer);
		u = TAILQ_FIRST(&wts->uploads);
	}
}

void
serve_run(struct wts *wts)
{
	int64_t now_us = clk_now_us(wts->clock);
	bool was_busy = wts->nuploads > 0;
	struct upload *u;

	while ((u = next_upload(wts)) != NULL) {
		int64_t ready_us = bucket_ready_us(&wts->up, now_us);

		if (ready_us > now_us) {
			timer_set_earlier(&wts->serve_timer, ready_us);
			return;
		}
		if (send_slice(u, now_us))
			end_upload(u);
	}
	if (wts->nuploads > 0)
		timer_set_earlier(&wts->serve_timer, now_us + UPLOAD_STALL_US);
	else if (was_busy)
		peers_queue_idle(wts);
}
