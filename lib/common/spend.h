#ifndef COMMON_SPEND_H
#define COMMON_SPEND_H

/*
 * spend: one process's share of a retry budget. In any window, all processes
 * together may retry at most `ratio` of the requests plus `slack` attempts.
 * The ratio needs no shared counter, since each process applies it to its own
 * requests; the slack is divided by the number of processes. Performs no I/O
 * and reads no clock.
 */

#include <stdbool.h>
#include <stdint.h>

#define SPEND_WINDOW_SLOTS 20 /* time slots per window, expiring one by one */
#define SPEND_SLOTS (SPEND_WINDOW_SLOTS + 1) /* with one that is not over */

struct spend_conf {
	double ratio;
	double slack; /* of all processes together */
	/* Fraction of both that is used. The rest is a margin for processes
	 * that start or stop. */
	double usable;
	int64_t window_us;
	unsigned int processes; /* that share the slack; at least 1 */
};

/* Request and retry counts of the window; initialise to zero. */
struct spend {
	uint32_t requests[SPEND_SLOTS], extra[SPEND_SLOTS];
	int64_t slot; /* number of the current slot, counted from time 0 */
};

struct spend_usage {
	unsigned int requests, extra;
};

/* Counts a request, without its retries. */
void spend_request(
    struct spend *s, const struct spend_conf *conf, int64_t now_us);
/* Number of retries that the share allows now; may be negative. */
double spend_remaining(
    struct spend *s, const struct spend_conf *conf, int64_t now_us);
/* The counts of the window, for logs. */
struct spend_usage spend_usage(
    struct spend *s, const struct spend_conf *conf, int64_t now_us);
/* Counts a retry, even if the share is exhausted. */
void spend_add(struct spend *s, const struct spend_conf *conf, int64_t now_us);
/* Counts a retry if the share allows one; otherwise returns false. */
bool spend_take(struct spend *s, const struct spend_conf *conf, int64_t now_us);

#endif
