#ifndef CLAIM_H
#define CLAIM_H

/*
 * clm: durable claims, so that a request that must not run twice, and whose
 * caller gave it a key, runs at most once whichever entry its tries come to.
 *
 * A claim is a record in a bucket, an object at the object API. One entry
 * owns a bucket at a time and writes it for all; claims that arrive within
 * CLM_GROUP_MS, or while a write is under way, go into one write, and a
 * pace bounds the writes, so that they don't grow with the requests.
 *
 * The decisions here do no I/O: what is to be read, written or answered is
 * handed to callbacks. What holds whatever fails:
 *
 * - Every write is conditional on the version read or written last. A write
 *   by another owner changes it, so what a former owner still sends is refused; this is the
 *   fence, and it needs no clock.
 * - A claim is granted only when the write that holds it is known to be in,
 *   and the owner's lease, counted from before that write was sent, still runs. After a write
 *   whose answer is unknown nothing is taken from memory: the bucket is read back first.
 * - A grant goes to one asker, named in the record. The same asker asking
 *   again is granted again, as its first answer may have been lost; any
 *   other gets the outcome, waits for it, or is told that it is in doubt.
 * - A record goes only by its asker's word that nothing ran, or by age:
 *   CLM_KEEP_MS after the request's own deadline. Age is counted by the
 *   owners' monotonic clocks and written with the record; a change of owner
 *   can make it run slow, never fast.
 * - Without the object API nothing is granted: refused as NOT_RUN.
 */

#include "common/common.h"

/* All writes together are bounded, so a bucket's turn comes the sooner the
 * fewer there are; the most claims that can be kept grow with them. */
#define CLM_BUCKETS 16
#define CLM_KEY_MAX 320 /* TEAM/SERVICE/KEY */
#define CLM_ASKER_MAX 128
#define CLM_ANSWER_MAX 1024 /* longer answers are kept as a digest only */
#define CLM_TYPE_MAX 64
#define CLM_VALUE_MAX (900u << 10) /* of the object; the API takes 1 MB */

#define CLM_GROUP_MS 20
#define CLM_OUTCOME_MS 500 /* outcomes wait so long for claims to go with */
#define CLM_LEASE_MS 2000
#define CLM_KEEP_MS (300 * 1000)
/* Writes a second over all buckets and entries; the API takes several
 * hundred for everything. */
#define CLM_WRITES_S 200

/* The bucket of a key, the same on all entries. */
unsigned int clm_bucket_of(const char *key);

enum clm_result {
	CLM_GRANTED, /* run it */
	CLM_RECORDED, /* it ran; the outcome is given */
	CLM_IN_DOUBT, /* it may have run and nobody will say */
	CLM_OTHER_BODY, /* the key was used for another request */
	CLM_FULL, /* the bucket has no room */
	CLM_DOWN, /* the object API cannot be used */
	CLM_MOVED, /* ask the owner that is given */
	CLM_BAD_KEY, /* not text, or too long */
	CLM_RESULTS,
};
/* What a refused result means for the caller. */
void clm_error(enum clm_result result, struct err *out);

struct clm_outcome {
	enum verdict verdict; /* MAY_HAVE_RUN: in doubt for good */
	unsigned int status;
	const char *type; /* media type of the answer; may be NULL */
	const char *answer; /* NULL: too long to be kept, or not text */
	struct digest digest; /* of the answer */
};

/* Embedded by who asks; zero it and set the first part, whose strings must
 * live until the answer. */
struct clm_ask {
	const char *key;
	struct digest body;
	const char *asker; /* "ENTRY/...": unique for one caller's request */
	unsigned int keep_ms; /* until the request's deadline */
	int64_t until_us; /* give up waiting for another's outcome */

	/* Used by clm. */
	TAILQ_ENTRY(clm_ask) link;
	struct clm_asks *list;
	bool tried; /* was in a write: the claim may be in */
	bool reread; /* the bucket was read again for it */
};
TAILQ_HEAD(clm_asks, clm_ask);

struct clm; /* one bucket */

/* None of these may call back into the bucket, but for `answer`. */
struct clm_ops {
	/* Read the object; clm_read_done follows. */
	void (*read)(struct clm *clm, void *ctx);
	/* Write if the version is `if_version` (0: absent); clm_write_done
	 * follows. */
	void (*write)(
	    struct clm *clm, const char *value, uint64_t if_version, void *ctx);
	/* The ask is no longer known. `outcome` with CLM_RECORDED, `owner`
	 * with CLM_MOVED ("": nobody yet). */
	void (*answer)(struct clm_ask *ask, enum clm_result result,
	    const struct clm_outcome *outcome, const char *owner, void *ctx);
	bool (*is_live)(const char *entry, void *ctx);
	/* A word for clm_settle that `owner` is to hear instead. */
	void (*pass_on)(const char *key, const char *asker,
	    const struct clm_outcome *outcome, const char *owner, void *ctx);
};

/* Bounds the writes of all buckets of one entry; zero it and set the first
 * part. Tick the buckets in turns, so that the first ones don't use it up. */
struct clm_pace {
	unsigned int writes_s; /* this entry's part of CLM_WRITES_S */
	int64_t next_us;
};

/* `self` is this entry's id; `pace` is shared and must outlive it. */
struct clm *clm_new(const char *self, struct clm_pace *pace,
    const struct clm_ops *ops, void *ctx);
void clm_free(struct clm *clm); /* asks are forgotten */

void clm_ask(struct clm *clm, struct clm_ask *ask, int64_t now_us);
/* Nobody waits for the answer any more. A claim that was made stays. */
void clm_forget(struct clm_ask *ask);
/* The asker's word on how it ended. NOT_RUN frees the key, also before the
 * claim was granted. */
void clm_settle(struct clm *clm, const char *key, const char *asker,
    const struct clm_outcome *outcome, int64_t now_us);

/* `value` NULL with version 0: absent; `failed`: it could not be read. */
void clm_read_done(struct clm *clm, bool failed, uint64_t version,
    const char *value, int64_t now_us);
enum clm_write_end {
	CLM_WRITE_IN, /* known to be in */
	CLM_WRITE_LOST, /* refused: the version differs */
	CLM_WRITE_UNKNOWN, /* may be in, or come in later */
};
void clm_write_done(
    struct clm *clm, enum clm_write_end end, uint64_t version, int64_t now_us);
/* Another entry is to own the bucket now: the next write says so. */
void clm_give_up(struct clm *clm, int64_t now_us);
/* What is due; to be called every CLM_TICK_MS. */
#define CLM_TICK_MS 10
void clm_tick(struct clm *clm, int64_t now_us);

struct clm_stats {
	uint64_t reads, writes, granted, takeovers;
	unsigned int records, unwritten; /* outcomes not yet written */
	bool held;
};
void clm_stats(const struct clm *clm, struct clm_stats *out);

#endif
