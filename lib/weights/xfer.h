#ifndef WEIGHTS_XFER_H
#define WEIGHTS_XFER_H

/*
 * The driver's shared state: wts (this host) has transfers, one for each wanted
 * version; a transfer has peers, one for each connection, and reads of the
 * origin.
 */

#include "weights/hold.h"
#include "weights/link.h"
#include "weights/mismatch.h"
#include "weights/pick.h"
#include "weights/proto.h"
#include "weights/timer.h"
#include "weights/version.h"

struct counts {
	struct ctr *peer_chunks, *origin_chunks;
	struct ctr *peer_bytes, *cross_domain_bytes, *origin_bytes, *sent_bytes;
	struct ctr *corrupt_peer, *corrupt_origin;
	struct ctr *stalls, *busy, *late_bytes, *out_of_turn, *extra_reads;
};

struct wts {
	struct wts_conf conf;
	struct wts_ops ops;
	void *ctx;
	struct wts_source source;
	const struct clk *clock;
	struct ctr_set *private_counters; /* used if the node has none */
	struct counts counts;
	struct rng rng;
	struct hold *hold;
	struct bucket down, up;
	TAILQ_HEAD(xfer_list, xfer) xfers;
	GHashTable *by_conn; /* struct conn -> struct peer */
	TAILQ_HEAD(upload_list, upload) uploads;
	unsigned int nuploads;
	struct timer serve_timer;
	struct timer resume_timer; /* resumes downloads when the debt is paid */
	bool paused;
};

/* Bytes of one chunk (or the list) being received from one peer, hashed on
 * arrival. */
struct incoming {
	LIST_ENTRY(incoming) link;
	uint64_t index;
	uint64_t len, got;
	uint8_t *buffer;
	struct digest_stream *stream;
};

struct member {
	char *id, *address, *domain;
	uint64_t score; /* determines the order in which this host dials */
	struct peer *peer; /* NULL: not connected */
	bool reader;
	int64_t redial_at_us;
	/* Connections are refused after repeated failures. */
	int64_t refuse_until_us;
	unsigned int failures;
};

struct peer {
	TAILQ_ENTRY(peer) link;
	struct xfer *xfer;
	struct conn *conn;
	char *id;
	bool dialled;
	bool open; /* this host's join was sent */
	bool joined; /* the peer's join was received */
	bool same_domain;
	bool has_list;
	bool have_sent;
	struct pick_peer for_list, for_chunks;
	LIST_HEAD(incoming_list, incoming) incoming_chunks;
	unsigned int nuploads;
	GByteArray *gained, *claims; /* not sent yet */
	unsigned int sent_load; /* uploads to others, as last sent */
	int64_t next_update_us;
	struct timer update_timer;
};

struct read {
	TAILQ_ENTRY(read) link;
	struct xfer *xfer;
	uint64_t index;
	struct origin_read *handle; /* NULL after its completion */
	GBytes *bytes;
	uint64_t hashed;
	struct digest_stream *stream;
	guint idle;
};

struct xfer {
	TAILQ_ENTRY(xfer) link;
	struct wts *wts;
	struct wts_want want;
	enum wts_phase phase;
	GBytes *list;
	struct hold_version *stored;
	struct pick *list_pick; /* treats the list as a rollout of one chunk */
	struct pick *pick;
	struct mismatches *mismatches;
	GPtrArray *members; /* struct member, sorted by score */
	TAILQ_HEAD(peer_list, peer) peers;
	TAILQ_HEAD(read_list, read) reads;
	int64_t update_interval_us;
	struct timer pump_timer;
	struct timer dial_timer;
	guint notify_idle;
	char why[120];
};

/* wts.c */
struct xfer *wts_find(struct wts *wts, const struct digest *root);
/* Frees the chunks of dropped versions, unless some version still waits for its
 * list. */
void wts_release_retired(struct wts *wts);
/* Charges received bytes. When the budget is exceeded, the connections of all
 * peers are paused. */
void wts_received(struct wts *wts, uint64_t bytes);

/* xfer.c */
struct xfer *xfer_new(struct wts *wts, const struct wts_want *want);
void xfer_free(struct xfer *x);
void xfer_set_want(struct xfer *x, const struct wts_want *want);
void xfer_set_members(struct xfer *x, const struct wts_peer *peers, size_t n);
/* Carries out all pending decisions and arms the timer for the next. */
void xfer_pump(struct xfer *x);
/* As xfer_pump, but from the main loop. */
void xfer_pump_soon(struct xfer *x);
/* NULL: invalid index. */
struct pick *xfer_pick_of(struct xfer *x, uint64_t index);
/* The index to use with xfer_pick_of. */
uint64_t xfer_pick_index(uint64_t index);
uint64_t xfer_len_of(const struct xfer *x, uint64_t index);
struct digest_stream *xfer_stream_of(const struct xfer *x, uint64_t index);
/* Handles the complete bytes of `index` with digest `got`, received from `peer`
 * (NULL: the origin). False if the digest is wrong. Takes no reference. */
bool xfer_accept_object(struct xfer *x, uint64_t index, GBytes *bytes,
    const struct digest *got, struct peer *peer);
/* Retries the memory reservation after another version was dropped. */
void xfer_try_reserve(struct xfer *x);

/* read.c */
void read_start(struct xfer *x, uint64_t index);
void read_free(struct read *r);

/* peers.c */
/* Whether all members of the rollout have announced their chunks; of a large one
 * all those that this host connects to. */
bool peers_all_announced(const struct xfer *x);
void peers_dial(struct xfer *x);
void peers_drop_removed(struct xfer *x); /* peers that are no longer members */
struct peer *peers_accept(struct xfer *x, struct conn *c);
/* Closes the connection and frees the peer. */
void peer_drop(struct peer *peer);
/* As peer_drop for a peer that failed too often; it is refused for some
 * time. */
void peer_drop_failing(struct peer *peer);
/* Sends join, and have if the list is known. */
void peer_join(struct peer *peer);
void peer_send_have(struct peer *peer);
void peers_queue_gained(struct xfer *x, uint64_t index);
void peers_queue_claim(struct xfer *x, uint64_t index, unsigned int rank,
    const struct peer *except);
/* Schedules updates when this host has no uploads left. */
void peers_queue_idle(struct wts *wts);
struct member *peers_member(struct xfer *x, const char *id);

/* receive.c */
void peer_message(struct peer *peer, const struct msg *m);
void incoming_free(struct incoming *in);

/* serve.c */
void serve_get(struct peer *peer, const struct proto_get *get);
void serve_run(struct wts *wts);
/* Returns the number of uploads to other peers and records it as sent to
 * `peer`. */
unsigned int serve_record_load(struct peer *peer);
/* Drops peers that do not receive. Must not be called while a peer's message is
 * being handled. */
void serve_drop_stalled(struct wts *wts);
void serve_cancel(struct peer *peer); /* ends its uploads */

#endif
