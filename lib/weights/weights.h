#ifndef WEIGHTS_H
#define WEIGHTS_H

/*
 * weights: brings the bytes of a version to this host, whole and verified,
 * from peers and (rarely) from the origin, holds them in memory and serves them to
 * peers and to the engine beside. Chunks are keyed by their digest, so two
 * versions can never mix and an unchanged chunk of the next version costs nothing.
 *
 * pick_* are decisions over (state, event, now); wts_* carries them out.
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
/* Root of a chunk list; `list` holds 32 raw bytes a chunk. */
void wts_root(uint64_t bytes, uint64_t chunk_bytes, const uint8_t *list,
    size_t list_len, struct digest *out);
/* Computes list and root of a local file (operator command `model digest`). */
bool wts_digest_file(const char *path, uint64_t chunk_bytes,
    GByteArray *list_out, struct wts_version *version_out, struct err *err);

/* ------------------------------------------------------------------ */
/* The transfer                                                        */
/* ------------------------------------------------------------------ */

enum wts_policy {
	WTS_TIME_FIRST, /* several origin copies allowed */
	WTS_ORIGIN_FIRST, /* one origin copy in all */
	WTS_PEERS_ONLY, /* this host never reads the origin */
};

enum wts_phase {
	WTS_UNKNOWN, /* not wanted here */
	WTS_LIST, /* fetching the chunk list */
	WTS_FETCHING,
	WTS_COMPLETE, /* every chunk verified */
	WTS_NO_ROOM, /* does not fit the memory budget */
};

struct wts_progress {
	enum wts_phase phase;
	uint64_t have, total; /* chunks */
	char why[120]; /* what it waits for, "" when it moves on */
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

/*
 * Where the origin's bytes come from, when it is not the one of platform.h:
 * `name`, `offset` and `len` are those of a version's `weights` and `chunks`.
 * `done` is called from the loop, once, unless the read is cancelled.
 */
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
	 * Where links between domains are thin: so long after each other the
	 * hosts of a domain ask others for a chunk that theirs lacks; and the
	 * origin's own domain, whose hosts read it. 0 and "": no difference is
	 * made between domains beyond asking near hosts first.
	 */
	unsigned int cross_domain_step_ms;
	char origin_domain[64];
	/* Reads of the origin that a reader has open at a time; 0: 1. A reader
	 * that dies loses as many. */
	unsigned int max_reads;
	/* Least silence of a reader after which the next steps in; 0: 1 s. */
	unsigned int claim_timeout_ms;
};
/* Starts, or goes on with changed terms; idempotent. Chunks held for other
 * versions are reused. ERR_INVALID for sizes out of bounds. Nothing is
 * fetched before wts_set_peers was called once. */
bool wts_want(struct wts *wts, const struct wts_want *want, struct err *err);
/* Stops and forgets; its chunks go unless another version has them. When a
 * version takes the place of another, want the new one first: chunks of the
 * old one are then kept until the new one's list has come. */
void wts_drop(struct wts *wts, const struct digest *root);
/* The chunk list, and a chunk, of a wanted version that were found on this
 * host. False when they are not what the version's digests say. */
bool wts_offer_list(struct wts *wts, const struct digest *root, GBytes *list);
bool wts_offer(
    struct wts *wts, const struct digest *root, uint64_t index, GBytes *bytes);
/* The chunk list as soon as it is known and verified; NULL before. Borrowed. */
GBytes *wts_known_list(struct wts *wts, const struct digest *root);
/* Who else takes part now (live or suspected members, not this host). Given
 * again whenever it changes; peers gone are closed. */
void wts_set_peers(struct wts *wts, const struct digest *root,
    const struct wts_peer *peers, size_t n);
void wts_progress(
    struct wts *wts, const struct digest *root, struct wts_progress *out);
/* Missing chunks of a wanted version that are at no connected peer: they are
 * still to come from the origin. UINT64_MAX: the version is not wanted. */
uint64_t wts_count_origin_only(struct wts *wts, const struct digest *root);
/* Chunks of some wanted version come much slower than this host's budget. */
bool wts_is_link_slow(const struct wts *wts);
/* Live traffic asks for the link: uploads and downloads shrink meanwhile. */
void wts_live_bytes(struct wts *wts, uint64_t bytes);

/* Connections accepted by the program: a peer's first message of type 40-59
 * makes it ours (false: not a message of this package). The program tells when it closes. */
bool wts_message(struct wts *wts, struct conn *c, const struct msg *m);
void wts_drained(struct wts *wts, struct conn *c);
void wts_closed(struct wts *wts, struct conn *c);

/* For the engine beside: the chunk list and the chunks of a whole version.
 * NULL unless the version is whole. Borrowed until the version is dropped. */
GBytes *wts_list(struct wts *wts, const struct digest *root);
GBytes *wts_chunk(struct wts *wts, const struct digest *root, uint64_t index);

#endif
