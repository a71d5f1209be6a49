#ifndef CLAIM_INTERNAL_H
#define CLAIM_INTERNAL_H

/* A bucket, its records and their text; internal to route. */

#include "route/claim.h"

enum clm_state {
	CLM_RUNNING, /* claimed; its asker may be at it */
	CLM_RAN,
	CLM_UNSURE, /* its asker does not know */
	CLM_STATES,
};

struct clm_record {
	char *key;
	char *asker;
	struct digest body;
	enum clm_state state;
	int64_t claimed_us; /* by this owner's clock; may be before its start */
	uint64_t keep_s;
	unsigned int status;
	char *type;
	char *answer;
	struct digest digest;
	bool written; /* in the object for certain */
};

/* key -> struct clm_record, both owned. */
GHashTable *clm_records_new(void);
struct clm_record *clm_record_add(
    GHashTable *records, const struct clm_ask *ask, int64_t now_us);
void clm_record_settle(
    struct clm_record *record, const struct clm_outcome *outcome);
/* Drops the records whose time is over. */
void clm_records_prune(GHashTable *records, int64_t now_us);
/* Drops the kept answers, to make room. */
void clm_records_strip(GHashTable *records);
char *clm_records_print(
    GHashTable *records, const char *owner, uint64_t fence, int64_t now_us);
/* `owner` is to be freed. False when the text is not a bucket. */
bool clm_records_parse(GHashTable *records, const char *text, int64_t now_us,
    char **owner, uint64_t *fence);

/* ------------------------------------------------------------------ */
/* The bucket                                                          */
/* ------------------------------------------------------------------ */

#define NEVER INT64_MAX
/* A lease and a tenth: clocks of two hosts may run at different rates. */
#define TAKE_OVER_US (CLM_LEASE_MS * 1100)

enum phase {
	PHASE_IDLE, /* nothing known of the object */
	PHASE_READING,
	PHASE_HELD, /* the records are here; writes are ours to try */
	PHASE_FOREIGN, /* a live entry owns it */
};

/* An asker's word that is not yet in the object. */
struct settle {
	TAILQ_ENTRY(settle) link;
	char *key;
	char *asker;
	char *type;
	char *answer;
	struct clm_outcome outcome;
	bool in_write;
};

TAILQ_HEAD(settles, settle);

struct clm {
	char *self;
	struct clm_pace *pace;
	const struct clm_ops *ops;
	void *ctx;
	enum phase phase;
	GHashTable *records; /* while held */
	uint64_t version;
	uint64_t fence; /* grows with each change of owner */
	char *owner; /* as the object says */
	int64_t seen_us; /* when `version` was first seen, while foreign */
	int64_t read_us; /* begin of the present read */
	int64_t retry_us;
	int64_t lease_until_us;
	bool writing;
	int64_t sent_us; /* begin of the present write */
	int64_t due_us; /* of the next write */
	bool giving_up;
	struct clm_asks pending; /* need a write, or the records */
	struct clm_asks inflight; /* in the present write */
	struct clm_asks waiting; /* for another asker's outcome */
	struct settles settles;
	unsigned int nsettles;
	struct clm_stats stats;
};

/* claim.c */
void clm_put_in(struct clm_asks *list, struct clm_ask *ask);
void clm_move_all(struct clm_asks *from, struct clm_asks *to);
void clm_answer(struct clm *clm, struct clm_ask *ask, enum clm_result result);
void clm_answer_all(
    struct clm *clm, struct clm_asks *list, enum clm_result result);
void clm_be_due(struct clm *clm, int64_t at_us);
void clm_free_settle(struct clm *clm, struct settle *s);
void clm_apply_all(struct clm *clm);
void clm_refuse_down(struct clm *clm, struct clm_ask *ask, int64_t now_us);
void clm_consider(struct clm *clm, struct clm_ask *ask, int64_t now_us);
void clm_consider_all(struct clm *clm, struct clm_asks *list, int64_t now_us);
/* claim_io.c */
void clm_start_read(struct clm *clm, int64_t now_us);
void clm_step_down(struct clm *clm, int64_t now_us);
void clm_write_if_due(struct clm *clm, int64_t now_us);
void clm_pass_on_settles(struct clm *clm);

#endif
