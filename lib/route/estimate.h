#ifndef ESTIMATE_H
#define ESTIMATE_H

/* Estimates used by admission and target choice; internal to route. */

#include "common/common.h"

/*
 * Estimated duration, as mean and mean deviation. It decays while no sample
 * arrives: an estimate that causes every request to be refused would otherwise
 * never be corrected.
 */
struct est_time {
	int64_t mean_us;
	int64_t dev_us;
	int64_t updated_us; /* time of the last sample */
	bool known;
};
void est_time_add(struct est_time *e, int64_t sample_us, int64_t now_us);
int64_t est_time_mean(const struct est_time *e, int64_t now_us);
int64_t est_time_low(const struct est_time *e, int64_t now_us);
int64_t est_time_high(const struct est_time *e, int64_t now_us);

/*
 * Cost per second that leaves a queue, measured only while the queue is not
 * empty: the rate of an idle queue says nothing about the capacity of the
 * targets. In thousandths per second; 0: unknown.
 */
struct est_rate {
	uint64_t milli_s;
	bool busy;
	int64_t window_start_us; /* start of the current window */
	int64_t last_start_us; /* time of the last start */
	unsigned int starts; /* in the current window */
	uint64_t cost; /* of these starts */
};
/* The queue is no longer empty. `initial` replaces the rate measured in an
 * earlier busy period, unless it is 0. */
void est_rate_begin(struct est_rate *e, uint64_t initial, int64_t now_us);
void est_rate_end(struct est_rate *e);
void est_rate_start(struct est_rate *e, unsigned int cost, int64_t now_us);
/* `running`: cost in progress, which bounds what can start at once when all
 * requests end together. */
uint64_t est_rate_now(
    const struct est_rate *e, uint64_t running, int64_t now_us);

#endif
