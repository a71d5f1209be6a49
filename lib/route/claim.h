#ifndef CLAIM_H
#define CLAIM_H

/*
 * clm: durable claims on idempotency keys. A request that is not idempotent
 * and carries a key runs at most once, whichever gateways its retries reach.
 *
 * A claim is a record in a bucket, which is an object at the object API. One
 * gateway at a time owns a bucket and writes it for all gateways. Claims that
 * arrive within CLM_BATCH_MS, or during a write, are batched into one write,
 * and a rate limit bounds the writes independently of the request rate.
 *
 * This module does no I/O: reads, writes and answers go to callbacks. It
 * guarantees under all failures:
 *
 * - Every write is conditional on the version read or written last. A write
 *   by another owner changes that version, so the writes of a former owner
 *   are refused; this fencing needs no clock.
 * - A claim is granted only once the write that contains it is confirmed, and
 *   within the owner's lease, which starts before that write is sent. After a
 *   write of unknown outcome the bucket is read back before the records in
 *   memory are used again.
 * - A claim is granted to one claimant, named in the record. A repeated
 *   request of the same claimant is granted again, as the first answer may
 *   have been lost; any other claimant receives the outcome, waits for it, or
 *   is answered CLM_IN_DOUBT.
 * - A record is removed only when its claimant reports NOT_RUN, or by age:
 *   CLM_RETENTION_MS after the deadline of the request. The age is measured
 *   by the owners' monotonic clocks and written with the record; a change of
 *   owner can make it lag but never run ahead.
 * - Without the object API no claim is granted: the request is refused as
 *   NOT_RUN.
 */

#include "common/common.h"

/* As the total write rate is bounded, fewer buckets are written more often,
 * but more buckets can store more claims. */
#define CLM_BUCKETS 16
#define CLM_KEY_MAX 320 /* WORKSPACE/SERVICE/KEY */
#define CLM_CLAIMANT_MAX 128
#define CLM_ANSWER_MAX 1024 /* longer answers are stored as a digest only */
#define CLM_TYPE_MAX 64
#define CLM_VALUE_MAX (900u << 10) /* object size; the API limit is 1 MB */

#define CLM_BATCH_MS 20
#define CLM_OUTCOME_DELAY_MS \
	500 /* delay of outcomes, to batch them with claims */
#define CLM_LEASE_MS 2000
#define CLM_RETENTION_MS (300 * 1000)
/* Writes per second over all buckets and gateways; the API supports several
 * hundred for all its uses. */
#define CLM_WRITES_S 200

/* The bucket of a key, equal on all gateways. */
unsigned int clm_bucket_of(const char *key);

enum clm_result {
	CLM_GRANTED, /* run the request */
	CLM_RECORDED, /* the request ran; its outcome is passed */
	CLM_IN_DOUBT, /* it may have run; its outcome is not known */
	CLM_OTHER_BODY, /* the key was used with a different request */
	CLM_FULL, /* the bucket is full */
	CLM_DOWN, /* the object API is unavailable */
	CLM_MOVED, /* retry at the owner that is passed */
	CLM_BAD_KEY, /* key or claimant is not UTF-8 or too long */
	CLM_RESULTS,
};
/* Sets the error that the caller receives for a result that is no grant. */
void clm_error(enum clm_result result, struct err *out);

struct clm_outcome {
	enum verdict verdict; /* MAY_HAVE_RUN: permanently in doubt */
	unsigned int status;
	const char *type; /* media type of the answer; may be NULL */
	const char *answer; /* NULL: too long to store, or not UTF-8 */
	struct digest digest; /* of the answer */
};

/* A pending request for a claim, embedded by its user: zero it and set the
 * first group of members, whose strings must remain valid until the answer. */
struct clm_request {
	const char *key;
	struct digest body;
	const char *claimant; /* "GATEWAY/...": unique to a caller's request */
	unsigned int keep_ms; /* until the request's deadline */
	int64_t until_us; /* latest time of the answer */

	/* Private to clm. */
	TAILQ_ENTRY(clm_request) link;
	struct clm_requests *list;
	bool maybe_written; /* was part of a write, so it may be stored */
	bool reread; /* the bucket was read again for this request */
};
TAILQ_HEAD(clm_requests, clm_request);

struct clm; /* one bucket */

/* Only `answer` may call functions of the bucket. */
struct clm_ops {
	/* Reads the object; completed by clm_read_done. */
	void (*read)(struct clm *clm, void *ctx);
	/* Writes if the version is `if_version` (0: absent); completed by
	 * clm_write_done. */
	void (*write)(
	    struct clm *clm, const char *value, uint64_t if_version, void *ctx);
	/* Answers and releases `request`. `outcome` is set with CLM_RECORDED,
	 * `owner` with CLM_MOVED ("": no owner yet). */
	void (*answer)(struct clm_request *request, enum clm_result result,
	    const struct clm_outcome *outcome, const char *owner, void *ctx);
	bool (*is_live)(const char *gateway, void *ctx);
	/* Forwards an outcome to clm_settle at `owner`. */
	void (*forward)(const char *key, const char *claimant,
	    const struct clm_outcome *outcome, const char *owner, void *ctx);
};

/* Rate limit of the writes of all buckets of one gateway; zero it and set
 * writes_s. Rotate the order in which the buckets are ticked, or the first ones
 * use up the rate. */
struct clm_write_limit {
	unsigned int writes_s; /* this gateway's share of CLM_WRITES_S */
	int64_t next_us;
};

/* `self` is this gateway's id; `limit` is shared and outlives the bucket. */
struct clm *clm_new(const char *self, struct clm_write_limit *limit,
    const struct clm_ops *ops, void *ctx);
void clm_free(struct clm *clm); /* drops pending requests unanswered */

void clm_request(struct clm *clm, struct clm_request *request, int64_t now_us);
/* Drops a pending request without an answer. A stored claim remains. */
void clm_cancel(struct clm_request *request);
/* Records the outcome that the claimant reports. NOT_RUN frees the key, also
 * before the claim was granted. */
void clm_settle(struct clm *clm, const char *key, const char *claimant,
    const struct clm_outcome *outcome, int64_t now_us);

/* `value` NULL with version 0: the object is absent; `failed`: not read. */
void clm_read_done(struct clm *clm, bool failed, uint64_t version,
    const char *value, int64_t now_us);
enum clm_write_result {
	CLM_WRITE_APPLIED, /* confirmed */
	CLM_WRITE_CONFLICT, /* refused: the version differs */
	CLM_WRITE_UNKNOWN, /* may have been applied, or may be applied later */
};
void clm_write_done(struct clm *clm, enum clm_write_result result,
    uint64_t version, int64_t now_us);
/* Releases the bucket to another gateway with the next write. */
void clm_release(struct clm *clm, int64_t now_us);
/* Runs due work; to be called every CLM_TICK_MS. */
#define CLM_TICK_MS 10
void clm_tick(struct clm *clm, int64_t now_us);

struct clm_stats {
	uint64_t reads, writes, granted, takeovers;
	unsigned int records, unwritten; /* unwritten: outcomes */
	bool owned;
};
void clm_stats(const struct clm *clm, struct clm_stats *out);

#endif
