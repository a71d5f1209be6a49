#ifndef PROOF_H
#define PROOF_H

/*
 * proof: whether an engine holds weights that were loaded from valid chunks.
 *
 * An engine loads what is in its staging area when it accepts an order, and it
 * may accept one long after its sender gave up on it. It counts the orders that
 * it has begun, and reports this sequence. Weights are proved if the last order
 * that changed them was answered while the check before it was still valid, or
 * if a read-back after it found all chunks valid: corrupt chunks recover only if
 * they are written again, so these were valid when they were loaded. While a
 * write is in doubt only the read-back counts: a chunk of another version may
 * arrive between the check and the load. Without a proof the engine must get no
 * requests. Each order states the sequence that it expects, so of those that are
 * in doubt at most one takes effect. Pure.
 */

#include "common/common.h"

#define PRF_NO_SEQUENCE (-1) /* the engine does not report one */

/* Layers [from, to) of a version. */
struct prf_weights {
	int64_t version; /* 0: none */
	unsigned int from, to;
};

/* An engine's report. */
struct prf_report {
	struct prf_weights held;
	int64_t sequence; /* orders begun; PRF_NO_SEQUENCE: not reported */
	bool busy; /* carries out an order */
	int64_t requested_us; /* when the report was requested */
	/* The engine left earlier requests for a report unanswered. */
	bool was_silent;
};

struct prf_order {
	struct prf_weights weights; /* to be loaded */
	int64_t checked_us; /* begin of the read-back before it */
};

enum prf_outcome {
	PRF_BEGUN, /* the engine has begun to carry it out */
	PRF_NOT_BEGUN, /* refused, not sent, or already in effect */
	PRF_UNKNOWN, /* it may still take effect */
};

struct prf {
	bool known; /* a report was read */
	bool unproved; /* something was loaded without a proof */
	bool unprovable; /* and no read-back can prove it */
	bool in_doubt; /* an order may still take effect */
	bool in_flight; /* an order was sent and is not answered yet */
	bool ahead; /* a report shows that the order in flight has begun */
	bool has_begun; /* the last order, by its answer */
	bool reading; /* a read-back is in progress */
	/* A chunk was written since the last order without a doubt. */
	bool rewritten;
	bool rewritten_before; /* the same, as the last order was sent */
	bool write_in_doubt; /* a write may still take effect */
	int64_t sequence; /* as last known */
	struct prf_weights held; /* as last reported */
	/* Layers of the version held last, at most; 0: not known. */
	int64_t most_version;
	unsigned int most;
	/* Of these; or of the last order, until the engine reports them. */
	struct prf_weights proved;
	bool busy;
	/* The sidecar's process before this one ended in doubt; it knew this
	 * version to be proved. */
	bool doubted;
	int64_t doubt_proved;
	struct prf_order order; /* the last one */
	int64_t order_sequence; /* that it expects */
	int64_t answered_us; /* when it was answered; 0: never */
};

/*
 * A load may have a chunk that became corrupt so shortly before: it may happen
 * after the last check.
 */
#define PRF_TOLERANCE_US 3000000

void prf_reported(struct prf *p, const struct prf_report *report);
void prf_restarted(struct prf *p); /* the engine; its next report follows */
/*
 * The process before this one ended while an order of its own was in doubt or the
 * weights were, except those of `proved` (0: none). It may have written chunks
 * since the engine loaded them, so a read-back proves nothing. Only the first
 * call counts.
 */
void prf_doubted(struct prf *p, int64_t proved);
/* Sequence that the order must state, or PRF_NO_SEQUENCE. */
int64_t prf_order_sent(struct prf *p, const struct prf_order *order);
void prf_order_answered(
    struct prf *p, enum prf_outcome outcome, int64_t now_us);
/* A read-back of all chunks of the held version begins, and has ended; `valid`:
 * all of them were. */
void prf_read_back_begun(struct prf *p);
void prf_read_back_ended(struct prf *p, bool valid);
/* A chunk is written to the staging area; the outcome of a write is unknown. */
void prf_write_sent(struct prf *p);
void prf_write_in_doubt(struct prf *p);

/* Number of layers of the version: `layers`, that of the model, or if it is 0 the
 * most that the engine has held of the version; 0: not known. */
unsigned int prf_layers(
    const struct prf *p, int64_t version, unsigned int layers);
/* Version of the held weights if they are complete and proved; 0 otherwise.
 * `layers` is the number of layers of the model; 0: not known. */
int64_t prf_usable(const struct prf *p, unsigned int layers);
/* Whether the engine holds what the last order was to load. */
bool prf_has_loaded(const struct prf *p);
/* Whether the engine may hold, now or as soon as an order takes effect, weights
 * without a proof. */
bool prf_is_uncertain(const struct prf *p);
/* Whether the held weights need a read-back, which can prove them. */
bool prf_needs_read_back(const struct prf *p);
/*
 * What to order next towards a complete load of `version`. An engine that holds
 * the version takes an order for the same layers for one that is in effect. So
 * layers without a proof are dropped first: half of them, then the other half
 * for the first one, which is loaded anew, and then all.
 */
struct prf_weights prf_next(
    const struct prf *p, int64_t version, unsigned int layers);

#endif
