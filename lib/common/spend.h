#ifndef COMMON_SPEND_H
#define COMMON_SPEND_H

/*
 * spend: a process's share of a retry budget. All processes together may
 * send, in any window, `ratio` of the requests plus `slack` again to a
 * target. The ratio needs no counter that they share: each spends its own.
 * The slack is divided by their number. Pure.
 */

#include <stdbool.h>
#include <stdint.h>

#define SPEND_SLOTS 20 /* of a window; the oldest leaves as a whole */

struct spend_conf {
	double ratio;
	double slack; /* of all processes together */
	/* Part of both that is used: processes that come and go, and windows
	 * that slide between two slots, are within the rest. */
	double used;
	int64_t window_us;
	unsigned int sharers; /* of the slack; at least 1 */
};

/* Zero-initialised it has seen nothing. */
struct spend {
	uint32_t requests[SPEND_SLOTS], extra[SPEND_SLOTS];
	int64_t slot; /* number of the present slot since time 0 */
};

void spend_request(
    struct spend *s, const struct spend_conf *conf, int64_t now_us);
double spend_left(
    struct spend *s, const struct spend_conf *conf, int64_t now_us);
/* Counts one more arrival, whether there is room or not. */
void spend_add(struct spend *s, const struct spend_conf *conf, int64_t now_us);
/* Counts one more arrival if there is room for it. */
bool spend_take(struct spend *s, const struct spend_conf *conf, int64_t now_us);

#endif
