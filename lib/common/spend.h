#ifndef COMMON_SPEND_H
#define COMMON_SPEND_H

/*
 * spend: one process's share of a retry budget. In any window, all processes
 * together may retry at most `ratio` of the requests plus `slack` attempts.
 * The ratio needs no shared counter, since each process applies it to its own
 * requests; the slack is divided by the number of processes. The counts can be
 * copied, so that a process continues those of the one before it. Performs no
 * I/O and reads no clock.
 */

#include <stdbool.h>
#include <stdint.h>

#define SPEND_WINDOW_SLOTS 20 /* time slots per window, expiring one by one */
#define SPEND_SLOTS (SPEND_WINDOW_SLOTS + 1) /* with one that is not over */

struct spend_conf {
	double ratio;
	double slack; /* of all processes together */
	int64_t window_us;
	/* That share the slack; 0: this process must use none of it now. */
	unsigned int processes;
};

struct spend_counts {
	uint32_t requests[SPEND_SLOTS], extra[SPEND_SLOTS];
};

/* Request and retry counts of the window; initialise to zero. */
struct spend {
	struct spend_counts own;
	struct spend_counts inherited; /* from earlier processes */
	int64_t origin_us; /* when slot 0 began */
	int64_t slot; /* number of the current slot */
};

/* The counts of a window, by age. */
struct spend_copy {
	int64_t phase_us; /* since the current slot began */
	struct spend_counts counts; /* [0]: of the current slot */
};

struct spend_usage {
	unsigned int requests, extra;
	double remaining; /* retries that are allowed now; may be negative */
};

/* Counts a request, without its retries. */
void spend_request(
    struct spend *s, const struct spend_conf *conf, int64_t now_us);
/* Number of retries that the share allows now; may be negative. */
double spend_remaining(
    struct spend *s, const struct spend_conf *conf, int64_t now_us);
/* The part of the slack that this process may use. */
double spend_slack(const struct spend_conf *conf);
/* The counts of the window, and what they leave. */
struct spend_usage spend_usage(
    struct spend *s, const struct spend_conf *conf, int64_t now_us);
/* Counts a retry, even if the share is exhausted. */
void spend_add(struct spend *s, const struct spend_conf *conf, int64_t now_us);
/* Counts a retry if the share allows one; otherwise returns false. */
bool spend_take(struct spend *s, const struct spend_conf *conf, int64_t now_us);

/* Copies the counts, inherited ones included. */
void spend_export(struct spend *s, const struct spend_conf *conf,
    int64_t now_us, struct spend_copy *out);
/* Replaces the inherited counts by those of a copy that was made `age_us` ago
 * with the same window. They expire when they would have there. */
void spend_inherit(struct spend *s, const struct spend_conf *conf,
    int64_t now_us, const struct spend_copy *copy, int64_t age_us);

#endif
