#ifndef WEIGHTS_PICK_H
#define WEIGHTS_PICK_H

/*
 * pick: chooses the next chunk to fetch and its source. The events below change
 * the state; pick_next is a pure function of (state, now, rng). No I/O here.
 *
 * Peers in this host's failure domain are preferred, then the least loaded
 * peer, then the rarest of its chunks; ties are broken by a seeded generator. A
 * chunk is requested from one peer at a time. It is requested again only after
 * that peer failed, or sent nothing for the stall timeout, which is derived
 * from earlier responses.
 *
 * The origin is read by the chunk's first reader (rank.h), and only for chunks
 * that no host is known to have claimed. A host of rank r takes over after r
 * times the claim timeout, that is, the time without a claim by a host of lower
 * rank for any chunk of that first reader. Claims are forwarded, so that hosts
 * with different member lists still learn which chunks have been read.
 */

#include <sys/queue.h>

#include "weights/rank.h"

/* Open at a time; covers round trips and queueing. */
#define PICK_REQUESTS_MAX 4
#define PICK_REQUESTS_PER_PEER 2
/* Consecutive failures after which a peer is asked only when no request is open
 * and no other peer can be asked. */
#define PICK_FAILURES_LAST_RESORT 2
#define PICK_FAILURES_DROP 3 /* the driver drops the peer */
#define PICK_LOAD_MAX 3 /* uploads at which a peer is not asked */
/* Update intervals until all hosts of a rollout are reached: the diameter of
 * its connection graph. */
#define PICK_UPDATE_HOPS 4
#define PICK_RANKS 16 /* higher ranks are counted as the last */
#define PICK_RANK_UNKNOWN (PICK_RANKS - 1) /* delays no other host */

enum pick_state {
	PICK_MISSING,
	PICK_REQUESTED, /* from a peer */
	PICK_READING, /* from the origin */
	PICK_VERIFYING, /* all bytes have arrived */
	PICK_HAVE, /* verified and stored */
};

enum pick_failure { /* why a request or a read ended without the chunk */
	PICK_REFUSED, /* the peer does not have it */
	PICK_BUSY, /* the peer has too many open uploads */
	PICK_STALLED, /* no bytes within the stall timeout */
	PICK_CORRUPT, /* the bytes do not match the digest */
	PICK_FAILED, /* the origin did not respond */
	/* The connection closed, or the chunk is no longer needed. */
	PICK_CANCELLED,
};

struct pick_peer {
	TAILQ_ENTRY(pick_peer) link;
	uint64_t *bits; /* chunks that the peer has */
	uint64_t have; /* number of set bits */
	bool same_domain; /* in this host's failure domain */
	unsigned int open_requests;
	unsigned int load; /* its reported uploads to other hosts */
	int64_t load_at_us; /* time of that report */
	int64_t backoff_until_us; /* no request to it before */
	unsigned int failures; /* since the last valid chunk */
	void *owner;
};

struct pick_fetch {
	TAILQ_ENTRY(pick_fetch) link;
	uint64_t index;
	struct pick_peer *peer; /* NULL: the origin */
	int64_t start_us;
	int64_t last_byte_us;
	int64_t gap_us; /* longest interval without bytes so far */
};

struct pick_chunk {
	uint8_t state;
	uint8_t reader; /* index of its first reader */
	bool claimed; /* some host has it or reads it from the origin */
	bool claim_seen; /* a claim for it was received or made by this host */
	/* Corrupt copies read from the origin by this host. */
	uint8_t corrupt_reads;
	bool read_failed; /* this host's last read of it from the origin */
	uint32_t holders; /* connected peers that have it */
	uint32_t domain_holders; /* holders in this host's domain */
	/* Number of hosts in this domain that fetch the chunk from other
	 * domains before this one, and the time since which a peer in another
	 * domain has had it (0: none has). */
	uint8_t cross_domain_rank;
	int64_t cross_domain_since_us;
	int64_t claimed_us;
	/* Rank of the claiming host; a host of higher rank takes over. */
	uint8_t claimed_rank;
};

struct pick_conf {
	uint64_t chunks;
	uint64_t chunk_bytes;
	uint64_t rate; /* download budget in bytes per second */
	int64_t update_interval_us; /* between updates that hosts send */
	unsigned int origin_copies; /* over all hosts; 0: no origin reads */
	unsigned int max_reads; /* origin reads open at a time; 0: 1 */
	size_t members; /* hosts in the rollout, including this one */
	/* Links between domains are slow, so each chunk should enter a domain
	 * only once. The hosts of a domain request it from other domains one
	 * after another, at this interval. 0: no delay. */
	int64_t cross_domain_step_us;
	/* 0: default; see pick_claim_timeout_us */
	int64_t claim_timeout_min_us;
};

/* The rate at which a reader reads its own chunks. */
struct pick_reader_rate {
	unsigned int claims;
	int64_t first_us, last_us;
};

struct pick {
	struct pick_conf conf;
	struct rank rank;
	bool ranked;
	struct pick_chunk *chunks;
	uint64_t *need; /* bitmap of PICK_MISSING chunks */
	uint64_t have; /* number of chunks */
	uint64_t unclaimed; /* chunks that no host is known to have or read */
	TAILQ_HEAD(pick_peers, pick_peer) peers;
	TAILQ_HEAD(pick_fetch_list, pick_fetch) fetches;
	unsigned int open_requests, open_reads;
	int64_t start_us;
	/* Time of the last claim, by first reader of the chunk and rank. */
	int64_t claims_us[RANK_READERS][PICK_RANKS];
	struct pick_reader_rate reader_rates[RANK_READERS];
	int64_t settle_until_us; /* the origin isn't read before */
	int64_t next_read_us; /* no chunk may be read before (cached) */
	int64_t read_backoff_until_us; /* backoff of reads from the origin */
	unsigned int read_failures; /* consecutive */
	int64_t gap_us; /* average of the longest gap in successful requests */
	int64_t read_time_us; /* average duration of a read */
	/*
	 * Fraction of `rate` that is received while requests are open, moving
	 * average. Well below one, the path is slower than the budget, and
	 * requested chunks queue together with live traffic. Requests are then
	 * sent one at a time, with pauses.
	 */
	double rate_fraction;
	int64_t pause_until_us; /* no request before */
	/* Time when a chunk may be requested from another domain. */
	int64_t cross_domain_due_us;
	uint64_t extra_reads; /* reads beyond the first copy */
	/* Last chunk that was read corrupt from the origin. */
	uint64_t corrupt_read_index;
	unsigned int corrupt_reads; /* of that chunk; 0: none */
};

enum pick_kind {
	PICK_REQUEST, /* chunk `index` from `peer` */
	PICK_READ, /* chunk `index` from the origin, with rank `rank` */
	PICK_EXPIRE, /* the request for `index` has stalled */
	PICK_WAIT, /* nothing to do until `until_us` */
	PICK_DONE,
};

struct pick_action {
	enum pick_kind kind;
	struct pick_peer *peer;
	uint64_t index;
	unsigned int rank;
	bool extra; /* a read beyond the first copy */
	int64_t until_us;
	/* PICK_WAIT: the reason; "" while chunks are being received. */
	const char *why;
};

struct pick *pick_new(const struct pick_conf *conf, int64_t now_us);
void pick_free(struct pick *p); /* peers must have been removed */
/* Sets the ranking when the members change or become known. The origin isn't
 * read before the first call. */
void pick_set_rank(
    struct pick *p, const struct rank *rank, size_t members, int64_t now_us);
/* The origin isn't read before `until_us` (0: no delay), so that peers can
 * report the chunks that they have already. */
void pick_settle(struct pick *p, int64_t until_us);
void pick_set_cross_domain(
    struct pick *p, uint64_t index, unsigned int rank, int64_t step_us);
void pick_set_claim_timeout(struct pick *p, int64_t min_us);
void pick_set_copies(struct pick *p, unsigned int copies);
void pick_set_reads(struct pick *p, unsigned int reads);

void pick_add_peer(struct pick *p, struct pick_peer *peer, bool same_domain);
/* Its requests end as PICK_CANCELLED. */
void pick_remove_peer(struct pick *p, struct pick_peer *peer, int64_t now_us);
/* True if no host was known to have or read the chunk before. */
bool pick_peer_has(
    struct pick *p, struct pick_peer *peer, uint64_t index, int64_t now_us);
void pick_peer_load(struct pick_peer *peer, unsigned int load, int64_t now_us);
/* A host of rank `rank` began to read `index`. True if the claim is new. */
bool pick_claimed(
    struct pick *p, uint64_t index, unsigned int rank, int64_t now_us);

/* Some host of unknown rank has or reads the chunk. True if this is new. */
bool pick_mark_known(struct pick *p, uint64_t index, int64_t now_us);

/* `may_fetch`: the link's budget allows another fetch now. */
void pick_next(struct pick *p, bool may_fetch, int64_t now_us, struct rng *rng,
    struct pick_action *out);
/* Records that a request or a read was started as chosen. */
void pick_begin(struct pick *p, const struct pick_action *a, int64_t now_us);
struct pick_fetch *pick_find(const struct pick *p, uint64_t index);
void pick_progress(struct pick *p, uint64_t index, int64_t now_us);
/* All bytes have arrived: the request ends and the chunk is being verified. */
void pick_received(struct pick *p, uint64_t index, int64_t now_us);
/* The chunk was verified, or is stored for another version. Ends an open
 * request for it. */
void pick_complete(struct pick *p, uint64_t index);
/* The request or read ended without a valid chunk. */
void pick_failed(struct pick *p, uint64_t index, struct pick_peer *peer,
    enum pick_failure reason, int64_t now_us);
/* A request or a read ends after this time without a byte. */
int64_t pick_stall_timeout_us(const struct pick *p);
/* Time without a claim after which the host of the next rank takes over. */
int64_t pick_claim_timeout_us(const struct pick *p);
/* Number of missing chunks that no connected peer has. */
uint64_t pick_count_origin_only(const struct pick *p);
/* Transfer time of a chunk at `rate`. */
int64_t pick_chunk_us(const struct pick *p);
/* The path to this host is much slower than the download budget. */
bool pick_is_link_slow(const struct pick *p);
/* Chunks arrive much more slowly than that now: by the open requests as well, also
 * while not even one chunk is complete. */
bool pick_arrives_slowly(const struct pick *p, int64_t now_us);
/* Time that the chunks requested and not yet received take on this host's link,
 * at most: other inbound traffic waits that long behind them. */
int64_t pick_inbound_us(const struct pick *p, int64_t now_us);

#endif
