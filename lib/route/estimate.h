#ifndef ESTIMATE_H
#define ESTIMATE_H

/* Estimates that admission decides by; internal to route. */

#include "common/common.h"

/*
 * A duration as mean and deviation. It fades when no sample comes: an
 * estimate that keeps everything out would otherwise never be corrected.
 */
struct est_time {
	int64_t mean_us;
	int64_t dev_us;
	int64_t seen_us; /* last sample */
	bool known;
};
void est_time_add(struct est_time *e, int64_t sample_us, int64_t now_us);
int64_t est_time_mean(const struct est_time *e, int64_t now_us);
int64_t est_time_low(const struct est_time *e, int64_t now_us);
int64_t est_time_high(const struct est_time *e, int64_t now_us);

/*
 * Cost that starts a second out of a queue, measured only while the queue
 * is not empty: what a queue is left at in quiet times says nothing about
 * what the targets can do. Thousandths a second; 0: unknown.
 */
struct est_rate {
	uint64_t milli_s;
	bool busy;
	int64_t since_us; /* begin of the present window */
	int64_t last_us; /* last start */
	unsigned int starts; /* in the present window */
	uint64_t cost; /* of these */
};
/* The queue is no longer empty. `guess` replaces what was measured in an
 * earlier busy time, unless it is 0. */
void est_rate_begin(struct est_rate *e, uint64_t guess, int64_t now_us);
void est_rate_end(struct est_rate *e);
void est_rate_start(struct est_rate *e, unsigned int cost, int64_t now_us);
/* `running`: cost of what runs; as much may start when all end together. */
uint64_t est_rate_now(
    const struct est_rate *e, uint64_t running, int64_t now_us);

#endif
