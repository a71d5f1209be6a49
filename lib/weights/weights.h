#ifndef WEIGHTS_H
#define WEIGHTS_H

/*
 * weights: transfers all bytes of a version to this host, from peers and, as
 * rarely as possible, from the origin. Verifies them, stores them in memory and
 * serves them to peers and to the engine on this host. Chunks are keyed by
 * their digest, so versions cannot be mixed up, and a chunk that is unchanged
 * in the next version is not fetched again.
 *
 * pick_* functions decide over (state, event, now); wts_* functions carry out
 * the decisions.
 */

#include "common/common.h"
#include "platform/platform.h"

/* ------------------------------------------------------------------ */
/* Versions                                                            */
/* ------------------------------------------------------------------ */

#define WTS_NAME_MAX 512 /* of an object at the origin */
#define WTS_CHUNK_MIN (4u << 10)
#define WTS_CHUNK_MAX (64u << 20)

struct wts_version {
	struct digest root; /* docs/INTERFACES.md, "Root digest" */
	uint64_t bytes;
	uint64_t chunk_bytes; /* the last chunk may be shorter */
	char weights[WTS_NAME_MAX + 1]; /* names at the origin */
	char chunks[WTS_NAME_MAX + 1];
};

uint64_t wts_chunk_count(const struct wts_version *v);
/* Computes the root of a chunk list; `list` holds 32 raw bytes per chunk. */
void wts_root(uint64_t bytes, uint64_t chunk_bytes, const uint8_t *list,
    size_t list_len, struct digest *out);
/* Computes the list and root of a local file (operator command `model
 * digest`). */
bool wts_digest_file(const char *path, uint64_t chunk_bytes,
    GByteArray *list_out, struct wts_version *version_out, struct err *err);

/* ------------------------------------------------------------------ */
/* The transfer                                                        */
/* ------------------------------------------------------------------ */

enum wts_policy {
	WTS_TIME_FIRST, /* several origin copies allowed */
	WTS_ORIGIN_FIRST, /* one origin copy over all hosts */
	WTS_PEERS_ONLY, /* this host never reads the origin */
};

enum wts_phase {
	WTS_UNKNOWN, /* not wanted on this host */
	WTS_LIST, /* fetching the chunk list */
	WTS_FETCHING,
	WTS_COMPLETE, /* every chunk verified */
	WTS_NO_ROOM, /* does not fit the memory budget */
};

struct wts_progress {
	enum wts_phase phase;
	uint64_t have, total; /* chunks */
	char why[120]; /* what it waits for, "" while it makes progress */
};

/* A host that takes part in the same rollout. */
struct wts_peer {
	const char *id;
	const char *address;
	const char *domain;
};

struct wts_conf {
	const char *id;
	const char *domain;
	const char *origin; /* base URL */
	uint64_t download_bytes_s; /* budget of this host's link */
	uint64_t upload_bytes_s;
	uint64_t memory_bytes;
	uint64_t seed;
	const struct conn_node *node; /* must outlive wts */
	struct plat *plat;
};

struct wts_ops {
	/* The phase of a wanted version changed. */
	void (*phase)(const struct wts_version *version,
	    const struct wts_progress *progress, void *ctx);
};

/* Reads the origin in place of the functions of platform.h: `name`, `offset`
 * and `len` refer to a version's `weights` and `chunks`. `done` is called once
 * from the main loop, unless the read is cancelled. */
struct wts_source {
	struct origin_read *(*start)(const char *name, uint64_t offset,
	    uint64_t len, unsigned int stall_ms, origin_read_cb *done,
	    void *done_ctx, void *ctx);
	void (*cancel)(struct origin_read *read, void *ctx);
	void *ctx;
};

struct wts;
struct wts *wts_new(
    const struct wts_conf *conf, const struct wts_ops *ops, void *ctx);
struct wts *wts_new_from(const struct wts_conf *conf, const struct wts_ops *ops,
    void *ctx, const struct wts_source *source);
void wts_free(struct wts *wts);

struct wts_want {
	struct wts_version version;
	enum wts_policy policy;
	unsigned int origin_copies; /* over all hosts; WTS_TIME_FIRST only */
	/*
	 * For slow links between domains: the interval at which the hosts of a
	 * domain, one after another, request a chunk that no host of the domain
	 * has from other domains; and the domain of the origin, whose hosts
	 * read it. 0 and "": domains only matter in that peers of the same
	 * domain are asked first.
	 */
	unsigned int cross_domain_step_ms;
	char origin_domain[64];
	/* Origin reads that a reader has open at a time; 0: 1. The failure of a
	 * reader loses as many. */
	unsigned int max_reads;
	/* Minimum time without a claim of a reader after which the next one
	 * takes over; 0: 1 s. */
	unsigned int claim_timeout_ms;
};
/*
 * Starts the transfer of a version, or continues it with changed parameters;
 * idempotent. Chunks stored for other versions are reused. ERR_INVALID if sizes
 * are out of bounds. Nothing is fetched before the first call of wts_set_peers.
 */
bool wts_want(struct wts *wts, const struct wts_want *want, struct err *err);
/*
 * Cancels the transfer. Its chunks are freed unless another version uses them.
 * To replace a version by another, call wts_want for the new one first: chunks
 * of the old one are then retained until the list of the new one has arrived.
 */
void wts_drop(struct wts *wts, const struct digest *root);
/* Supply the chunk list or a chunk of a wanted version that was found on this
 * host. False if it does not match the sizes and digests of the version. */
bool wts_offer_list(struct wts *wts, const struct digest *root, GBytes *list);
bool wts_offer(
    struct wts *wts, const struct digest *root, uint64_t index, GBytes *bytes);
/* A missing chunk of which the origin sent the same bytes repeatedly, although
 * they do not match the list. */
#define WTS_MISMATCH_COPIES 2
struct wts_mismatch {
	uint64_t index;
	struct digest digest; /* of these bytes */
	unsigned int copies;
};
/* The chunk with the most such copies. False if there is none. */
bool wts_worst_mismatch(
    struct wts *wts, const struct digest *root, struct wts_mismatch *out);
/* Whether there are such chunks, and another list of the same length has the
 * digests of their copies. */
bool wts_explains_mismatches(
    struct wts *wts, const struct digest *root, GBytes *list);
/* The chunk list once it is known and verified, or else NULL. Borrowed. */
GBytes *wts_known_list(struct wts *wts, const struct digest *root);
/* Sets the other participants (live or suspected members, without this host).
 * Called again on every change; connections to removed peers are closed. */
void wts_set_peers(struct wts *wts, const struct digest *root,
    const struct wts_peer *peers, size_t n);
void wts_progress(
    struct wts *wts, const struct digest *root, struct wts_progress *out);
/* Number of missing chunks of a wanted version that no connected peer has and
 * that must still be read from the origin. UINT64_MAX: the version is not
 * wanted. */
uint64_t wts_count_origin_only(struct wts *wts, const struct digest *root);
/* Chunks of a wanted version arrive much slower than this host's budget. */
bool wts_is_link_slow(const struct wts *wts);
/* Time, at most, that other inbound traffic of this host waits behind the chunks
 * that were requested and have not arrived, of all versions together. */
int64_t wts_inbound_us(const struct wts *wts);
/* Charges live traffic to the link budgets; uploads and downloads slow down
 * meanwhile. */
void wts_live_bytes(struct wts *wts, uint64_t bytes);

/* Connections accepted by the program. A peer's first message of type 40-59
 * assigns the connection to this package (false: not a message of this
 * package). The program reports when it closes. */
bool wts_message(struct wts *wts, struct conn *c, const struct msg *m);
void wts_drained(struct wts *wts, struct conn *c);
void wts_closed(struct wts *wts, struct conn *c);

/* The chunk list and the chunks of a complete version, for the engine on this
 * host. NULL unless the version is complete. Borrowed until the version is
 * dropped. */
GBytes *wts_list(struct wts *wts, const struct digest *root);
GBytes *wts_chunk(struct wts *wts, const struct digest *root, uint64_t index);

#endif
