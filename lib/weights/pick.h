#ifndef WEIGHTS_PICK_H
#define WEIGHTS_PICK_H

/*
 * pick: what to fetch next and from whom. State is changed by the events
 * below; pick_next is a pure choice over (state, now, rng). No I/O here.
 *
 * Own failure domain first, then the least loaded peer, then the rarest of
 * its chunks with a seeded tie-break. A chunk is asked from one peer at a
 * time; it is asked again only when that peer failed or brought nothing for
 * the patience measured from earlier answers.
 *
 * The origin is read by the chunk's first reader (rank.h), and only for
 * chunks that nobody is known to have begun. Hosts of rank r step in after
 * r times a silence: no claim by any host of a lower rank among the chunks
 * of that first reader. Claims are passed on between hosts, so that hosts
 * whose views of the members differ still learn what was read.
 */

#include <sys/queue.h>

#include "weights/rank.h"

#define PICK_REQUESTS_MAX 4 /* open at a time; covers round trips and queues */
#define PICK_REQUESTS_PER_PEER 2
#define PICK_FAILURES_LAST_RESORT 2
#define PICK_FAILURES_DROP 3 /* the driver replaces such a peer */
#define PICK_LOAD_MAX 3 /* a peer with so many uploads open is not asked */
/* News cross a rollout in so many intervals: its graph is that wide. */
#define PICK_UPDATE_HOPS 4
#define PICK_RANKS 16 /* higher ranks count as the last */
#define PICK_RANK_UNKNOWN (PICK_RANKS - 1) /* holds nobody back */

enum pick_state {
	PICK_MISSING,
	PICK_REQUESTED, /* of a peer */
	PICK_READING, /* from the origin */
	PICK_VERIFYING, /* all bytes came */
	PICK_HAVE,
};

enum pick_failure { /* why an ask or a read ended without the chunk */
	PICK_REFUSED, /* the peer does not have it */
	PICK_BUSY, /* the peer has enough to do */
	PICK_STALLED, /* nothing came for the patience */
	PICK_CORRUPT, /* the bytes do not match the digest */
	PICK_FAILED, /* the origin did not answer */
	PICK_CANCELLED, /* the connection closed, or no longer wanted */
};

struct pick_peer {
	TAILQ_ENTRY(pick_peer) link;
	uint64_t *bits; /* chunks that it has */
	uint64_t have; /* their number */
	bool same_domain; /* in this host's failure domain */
	unsigned int open_requests; /* asks */
	unsigned int load; /* its uploads to others, as it last said */
	int64_t load_at_us; /* when it said so */
	int64_t backoff_until_us; /* not asked before */
	unsigned int failures; /* failures since the last good chunk */
	void *owner;
};

struct pick_fetch {
	TAILQ_ENTRY(pick_fetch) link;
	uint64_t index;
	struct pick_peer *peer; /* NULL: the origin */
	int64_t start_us;
	int64_t last_byte_us; /* last byte */
	int64_t gap_us; /* longest wait for bytes so far */
};

struct pick_chunk {
	uint8_t state;
	uint8_t reader; /* place of its first reader */
	bool claimed; /* somebody has it, or reads it from the origin */
	bool claim_seen; /* a claim for it was heard, or made here */
	uint8_t corrupt_reads; /* corrupt copies from the origin, here */
	/* The last claim was this host's, and its read failed. */
	bool read_failed;
	uint32_t holders; /* connected peers that have it */
	uint32_t domain_holders; /* of these, in this host's domain */
	/* Hosts of this domain that fetch it from other domains before this
	 * one; and since when some peer in another has it (0: none). */
	uint8_t cross_domain_rank;
	int64_t cross_domain_since_us;
	int64_t claimed_us;
	uint8_t claimed_rank; /* of who did; one behind it takes over */
};

struct pick_conf {
	uint64_t chunks;
	uint64_t chunk_bytes;
	uint64_t rate; /* bytes a second of the download budget */
	int64_t update_interval_us; /* interval at which hosts tell news */
	unsigned int
	    origin_copies; /* from the origin, over all hosts; 0: never */
	unsigned int max_reads; /* of the origin, open at a time; 0: 1 */
	size_t members; /* of the rollout, this host included */
	/*
	 * Links between domains are thin: each chunk is to cross one once a
	 * domain. Its hosts ask other domains in turn, so long after each
	 * other; 0: all at once.
	 */
	int64_t cross_domain_step_us;
	int64_t
	    claim_timeout_min_us; /* 0: the usual; see pick_claim_timeout_us */
};

/* How fast a reader goes through the chunks that it is first for. */
struct pick_reader_rate {
	unsigned int claims;
	int64_t first_us, last_us;
};

struct pick {
	struct pick_conf conf;
	struct rank rank;
	bool ranked;
	struct pick_chunk *chunks;
	uint64_t *need; /* bits of PICK_MISSING chunks */
	uint64_t have; /* count */
	uint64_t unclaimed; /* chunks not known to be read by anyone */
	TAILQ_HEAD(pick_peers, pick_peer) peers;
	TAILQ_HEAD(pick_fetch_list, pick_fetch) fetches;
	unsigned int open_requests, open_reads;
	int64_t start_us;
	/* Last claim by rank, for the chunks of each first reader. */
	int64_t claims_us[RANK_READERS][PICK_RANKS];
	struct pick_reader_rate reader_rates[RANK_READERS];
	int64_t settle_until_us; /* no read of the origin before */
	int64_t next_read_us; /* no chunk may be read before (memo) */
	int64_t read_backoff_until_us; /* back-off of the origin */
	unsigned int read_failures; /* in a row */
	int64_t gap_us; /* average of the longest gaps of good asks */
	int64_t read_time_us; /* average time of a read */
	/*
	 * Part of `rate` that arrives while chunks are under way, moving
	 * average. Well below one, something on the way is narrower than the
	 * budget says; what is under way then stands in the queue of live
	 * traffic, so one chunk at a time is asked for, with pauses.
	 */
	double rate_fraction;
	int64_t pause_until_us; /* nothing is asked before */
	int64_t
	    cross_domain_due_us; /* a chunk may be asked of other domains then */
	uint64_t extra_reads; /* beyond the first copy */
	uint64_t corrupt_read_index; /* last chunk whose origin copy was bad */
	unsigned int corrupt_reads; /* of that chunk; 0: none */
};

enum pick_kind {
	PICK_REQUEST, /* chunk `index` from `peer` */
	PICK_READ, /* chunk `index` from the origin, having rank `rank` */
	PICK_EXPIRE, /* the ask of `index` has stalled */
	PICK_WAIT, /* nothing to do before `until_us` */
	PICK_DONE,
};

struct pick_action {
	enum pick_kind kind;
	struct pick_peer *peer;
	uint64_t index;
	unsigned int rank;
	bool extra; /* a read beyond the first copy */
	int64_t until_us;
	const char *why; /* PICK_WAIT: what for, "" when bytes are coming */
};

struct pick *pick_new(const struct pick_conf *conf, int64_t now_us);
void pick_free(struct pick *p); /* peers must be removed */
/* The members changed, or become known: nothing is read before. */
void pick_set_rank(
    struct pick *p, const struct rank *rank, size_t members, int64_t now_us);
/* Nothing is read before `until_us` (0: at once): peers that have chunks
 * already need a moment to say so. */
void pick_settle(struct pick *p, int64_t until_us);
void pick_set_cross_domain(
    struct pick *p, uint64_t index, unsigned int rank, int64_t step_us);
void pick_set_claim_timeout(struct pick *p, int64_t min_us);
void pick_set_copies(struct pick *p, unsigned int copies);
void pick_set_reads(struct pick *p, unsigned int reads);

void pick_add_peer(struct pick *p, struct pick_peer *peer, bool same_domain);
/* Its asks are ended as PICK_CANCELLED. */
void pick_remove_peer(struct pick *p, struct pick_peer *peer, int64_t now_us);
/* True when it was not known before that anybody has or reads it. */
bool pick_peer_has(
    struct pick *p, struct pick_peer *peer, uint64_t index, int64_t now_us);
void pick_peer_load(struct pick_peer *peer, unsigned int load, int64_t now_us);
/* A host of rank `rank` began to read `index`; true when that is news. */
bool pick_claimed(
    struct pick *p, uint64_t index, unsigned int rank, int64_t now_us);

/* Some host has or reads it, of unknown rank; true when that is news. */
bool pick_mark_known(struct pick *p, uint64_t index, int64_t now_us);

/* `may_fetch`: the link's budget allows another fetch now. */
void pick_next(struct pick *p, bool may_fetch, int64_t now_us, struct rng *rng,
    struct pick_action *out);
/* Records that an ask or a read was started as chosen. */
void pick_begin(struct pick *p, const struct pick_action *a, int64_t now_us);
struct pick_fetch *pick_find(const struct pick *p, uint64_t index);
void pick_progress(struct pick *p, uint64_t index, int64_t now_us);
/* All bytes came: the ask ends, the chunk is being checked. */
void pick_received(struct pick *p, uint64_t index, int64_t now_us);
/* Verified, or held for another version. An open ask for it ends. */
void pick_complete(struct pick *p, uint64_t index);
/* The ask or read ended without the chunk, whole or not. */
void pick_failed(struct pick *p, uint64_t index, struct pick_peer *peer,
    enum pick_failure reason, int64_t now_us);
/* No byte for so long ends an ask; the same for reads. */
int64_t pick_stall_timeout_us(const struct pick *p);
/* What no claim is heard for before the next in rank steps in. */
int64_t pick_claim_timeout_us(const struct pick *p);
/* Missing chunks that are at no connected peer. */
uint64_t pick_count_origin_only(const struct pick *p);
int64_t pick_chunk_us(const struct pick *p); /* a chunk's time on the link */
/* The way here is much narrower than the budget. */
bool pick_is_link_slow(const struct pick *p);

#endif
