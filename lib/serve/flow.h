#ifndef SERVE_FLOW_H
#define SERVE_FLOW_H

/*
 * flow: the next step for a request when an attempt at a target has ended.
 * Does no I/O. The rules: a request that is not repeatable is sent again only
 * if it certainly did not run; 503 is answered only for a request that did not
 * run and will not; an answer is relayed completely or visibly cut off.
 */

#include <stdbool.h>

#include "common/common.h"

enum flow_end { /* how an attempt ended */
	FLOW_REFUSED, /* the target says that it did not run it */
	FLOW_UNREACHABLE, /* nothing was sent */
	FLOW_LOST, /* sent; no answer or an incomplete one */
	FLOW_STALLED, /* sent; cancelled because the target did not respond */
	FLOW_RECALLED, /* sent; cancelled before the answer began */
	FLOW_FAILURE, /* a complete answer with a failure status */
};

enum flow_step {
	FLOW_RETRY, /* to another target, from the start */
	FLOW_RESUME, /* to another target, after the last event relayed */
	FLOW_PASS, /* relay the target's failure unchanged */
	FLOW_REFUSE, /* 503: it did not run */
	FLOW_FAIL, /* 502: it may have run */
	FLOW_ABORT, /* the answer has begun: close the connection early */
};

struct flow_state {
	bool repeatable; /* safe to run more than once */
	bool begun; /* part of an answer was sent to the caller */
	bool may_have_run; /* at this or an earlier target */
	unsigned int runs; /* attempts that may have run */
	unsigned int attempts; /* in all, runs or not */
	unsigned int max_attempts; /* maximum of `runs`, from the route */
	bool has_time; /* enough time is left for another attempt */
	bool blocked; /* it may have caused terminations of targets */
};

/* Attempts allowed after refusals beyond the maximum of the route: a refused
 * request has not run, but each attempt is charged to the retry budget. */
#define FLOW_REFUSALS_MAX 2

/* `may_spend` charges the retry budget; called only when a retry needs it. */
enum flow_step flow_next(const struct flow_state *s, enum flow_end end,
    bool (*may_spend)(void *ctx), void *ctx);

/* Whether the request may be sent to one more target while those that have it are
 * silent; they count as `runs`. The retry budget is charged separately. */
bool flow_may_hedge(const struct flow_state *s);

/*
 * Retry-After for a refused caller, in seconds. `wait_s` is the expected wait
 * for a slot now; `random`, in [0, 1), spreads out callers that are refused at
 * the same time.
 */
double flow_retry_after_s(double wait_s, double random);

#endif
