#ifndef CLAIM_INTERNAL_H
#define CLAIM_INTERNAL_H

/* A bucket, its records and their serialization; private to clm. */

#include "route/claim.h"

enum clm_state {
	CLM_RUNNING, /* claimed; the request may be running */
	CLM_RAN, /* it ran; the outcome is recorded */
	CLM_UNSURE, /* the claimant reported MAY_HAVE_RUN */
	CLM_STATES,
};

struct clm_record {
	char *key;
	char *claimant;
	struct digest body;
	enum clm_state state;
	/* By the local clock; negative if before the start of that clock. */
	int64_t claimed_us;
	uint64_t keep_s;
	unsigned int status;
	char *type;
	char *answer;
	struct digest digest;
	bool written; /* confirmed to be in the object */
};

/* Maps a key to its struct clm_record; owns both. */
GHashTable *clm_records_new(void);
struct clm_record *clm_record_add(
    GHashTable *records, const struct clm_request *request, int64_t now_us);
void clm_record_settle(
    struct clm_record *record, const struct clm_outcome *outcome);
/* Removes expired records. */
void clm_records_prune(GHashTable *records, int64_t now_us);
/* Removes the stored answers to reduce the size; keeps their digests. */
void clm_records_strip(GHashTable *records);
char *clm_records_print(
    GHashTable *records, const char *owner, uint64_t fence, int64_t now_us);
/* Returns false if the text is not a bucket. The caller frees `owner`. */
bool clm_records_parse(GHashTable *records, const char *text, int64_t now_us,
    char **owner, uint64_t *fence);

/* ------------------------------------------------------------------ */
/* The bucket                                                          */
/* ------------------------------------------------------------------ */

#define NEVER INT64_MAX
/* The lease plus 10%, as the clocks of two hosts may run at different rates. */
#define TAKE_OVER_US (CLM_LEASE_MS * 1100)

enum phase {
	PHASE_IDLE, /* the object's state is unknown */
	PHASE_READING,
	PHASE_OWNED, /* the records are in memory and may be written */
	PHASE_NOT_OWNED, /* another live gateway owns the bucket */
};

/* A reported outcome that is not yet in the object. */
struct report {
	TAILQ_ENTRY(report) link;
	char *key;
	char *claimant;
	char *type;
	char *answer;
	struct clm_outcome outcome;
	bool in_write;
};

TAILQ_HEAD(reports, report);

struct clm {
	char *self;
	struct clm_write_limit *write_limit;
	const struct clm_ops *ops;
	void *ctx;
	enum phase phase;
	GHashTable *records; /* in PHASE_OWNED */
	uint64_t version;
	uint64_t fence; /* increases with each change of owner */
	char *owner; /* as last read or written */
	int64_t seen_us; /* first read of `version`, if not owned */
	int64_t read_us; /* start of the current read */
	int64_t retry_us;
	int64_t lease_until_us;
	bool writing;
	int64_t sent_us; /* start of the current write */
	int64_t due_us; /* earliest time of the next write */
	bool releasing;
	struct clm_requests pending; /* wait for a read or for the next write */
	struct clm_requests inflight; /* in the current write */
	struct clm_requests waiting; /* for the outcome of another claimant */
	struct reports reports; /* oldest first */
	unsigned int nreports;
	struct clm_stats stats;
};

/* claim.c */
void clm_enqueue(struct clm_requests *list, struct clm_request *request);
void clm_move_all(struct clm_requests *from, struct clm_requests *to);
void clm_answer(
    struct clm *clm, struct clm_request *request, enum clm_result result);
void clm_answer_all(
    struct clm *clm, struct clm_requests *list, enum clm_result result);
void clm_schedule_write(struct clm *clm, int64_t at_us);
void clm_free_report(struct clm *clm, struct report *report);
void clm_apply_all(struct clm *clm);
void clm_refuse_unavailable(
    struct clm *clm, struct clm_request *request, int64_t now_us);
void clm_evaluate(struct clm *clm, struct clm_request *request, int64_t now_us);
void clm_evaluate_all(
    struct clm *clm, struct clm_requests *list, int64_t now_us);
/* claim_io.c */
void clm_start_read(struct clm *clm, int64_t now_us);
void clm_step_down(struct clm *clm, int64_t now_us);
void clm_write_if_due(struct clm *clm, int64_t now_us);
void clm_forward_reports(struct clm *clm);

#endif
