#ifndef SERVE_FLOW_H
#define SERVE_FLOW_H

/*
 * flow: what becomes of a request when an attempt at a target has ended. Pure.
 * The rules behind it: a request that may run once is sent again only when it
 * certainly did not run; 503 is said only of what did not run and will not; an
 * answer is passed on whole or visibly broken off.
 */

#include <stdbool.h>

#include "common/common.h"

enum flow_end { /* how an attempt ended */
	FLOW_REFUSED, /* the target says that it did not run it */
	FLOW_UNREACHABLE, /* nothing was sent */
	FLOW_LOST, /* sent, and no answer or no whole one */
	FLOW_STALLED, /* sent, and given up here for its silence */
	FLOW_RECALLED, /* sent, and taken back before its answer began */
	FLOW_FAILURE, /* a whole answer that says failure */
};

enum flow_step {
	FLOW_RETRY, /* to another target, from the start */
	FLOW_RESUME, /* to another target, after the last event passed on */
	FLOW_PASS, /* pass the target's failure on as it is */
	FLOW_REFUSE, /* 503: it did not run */
	FLOW_FAIL, /* 502: it may have run */
	FLOW_ABORT, /* the answer has begun: close without its end */
};

struct flow_state {
	bool repeatable; /* may run more than once */
	bool begun; /* bytes of an answer have gone to the caller */
	bool may_have_run; /* at this or an earlier target */
	unsigned int runs; /* targets at which it may have run */
	unsigned int tries; /* targets that it was sent to */
	unsigned int attempts; /* runs that its route allows */
	bool has_time; /* enough is left for another attempt */
	bool blocked; /* it may be what ended its targets */
};

/* Tries beyond the route's attempts that refusals may use up: a refusal runs
 * nothing, but each try is an arrival that the retry budget pays for. */
#define FLOW_REFUSALS_MAX 2

/* `may_spend` asks the retry budget, and only when it is needed. */
enum flow_step flow_next(const struct flow_state *s, enum flow_end end,
    bool (*may_spend)(void *ctx), void *ctx);

/*
 * When a refused caller is told to come back, in seconds: `wait_s` is expected
 * for a place now, `random` is from 0 up to 1 and spreads those refused
 * together.
 */
double flow_retry_after_s(double wait_s, double random);

#endif
