#ifndef WEIGHTS_LINK_H
#define WEIGHTS_LINK_H

/*
 * link: the budget of this host's link in one direction, as a token bucket
 * that may go into debt. Bytes are taken as they are sent or received; work
 * waits while the bucket is in debt. Live traffic takes from the same bucket
 * and never waits, so it goes ahead of weights.
 */

#include <stdbool.h>
#include <stdint.h>

struct bucket {
	uint64_t rate; /* bytes a second */
	uint64_t burst; /* most tokens that an idle link saves up */
	int64_t tokens; /* bytes; negative is debt */
	int64_t at_us; /* when `tokens` was last right */
};

void bucket_init(struct bucket *b, uint64_t rate, int64_t now_us);
void bucket_take(struct bucket *b, uint64_t bytes, int64_t now_us);
/* As bucket_take, but the debt it leaves is bounded, so that a transfer
 * slows under live traffic and yet ends. */
void bucket_take_live(struct bucket *b, uint64_t bytes, int64_t now_us);
/* When the debt is paid: now or a later time. */
int64_t bucket_ready_us(struct bucket *b, int64_t now_us);
/* How long the present debt lasts. */
int64_t bucket_debt_us(struct bucket *b, int64_t now_us);

#endif
