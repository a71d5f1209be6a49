#ifndef WEIGHTS_LINK_H
#define WEIGHTS_LINK_H

/*
 * link: the budget of this host's link in one direction, as a token bucket that
 * may go into debt. Bytes are taken as they are sent or received; transfers
 * wait while the bucket is in debt. Live traffic takes from the same bucket and
 * never waits, so it has priority over weights.
 */

#include <stdbool.h>
#include <stdint.h>

struct bucket {
	uint64_t rate; /* bytes per second */
	uint64_t burst; /* maximum number of tokens saved up while idle */
	int64_t tokens; /* bytes; negative is debt */
	int64_t updated_us; /* time for which `tokens` is valid */
};

void bucket_init(struct bucket *b, uint64_t rate, int64_t now_us);
void bucket_take(struct bucket *b, uint64_t bytes, int64_t now_us);
/* As bucket_take, but bounds the resulting debt, so that a transfer slows down
 * under live traffic and still completes. */
void bucket_take_live(struct bucket *b, uint64_t bytes, int64_t now_us);
/* Time when the debt is paid: `now_us` or later. */
int64_t bucket_ready_us(struct bucket *b, int64_t now_us);
/* Time until the debt is paid. */
int64_t bucket_debt_us(struct bucket *b, int64_t now_us);

#endif
