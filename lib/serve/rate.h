#ifndef SERVE_RATE_H
#define SERVE_RATE_H

/*
 * rate: the rate limit that a target in need names in its answers: requests a
 * second that it takes from all entries together, for as long as it names it.
 * Pure.
 */

#include <stdbool.h>
#include <stdint.h>

/* A limit of nothing is taken as this many requests a second, so that its end
 * is found out. */
#define RATE_LEAST 0.25

struct rate {
	double limit; /* requests a second; 0: none is named */
	int64_t named_us; /* the last answer that named one */
};

/*
 * An answer came to a request that was sent at `asked_us`. `limit` is what it
 * names; 0: none. True when the limit has changed.
 */
bool rate_answered(
    struct rate *r, double limit, int64_t asked_us, int64_t now_us);

#endif
