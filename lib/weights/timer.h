#ifndef WEIGHTS_TIMER_H
#define WEIGHTS_TIMER_H

/* A one-shot timer of the main loop that can be rescheduled. */

#include "common/common.h"

struct timer {
	guint source; /* 0: not armed */
	int64_t at_us;
	const struct clk *clock;
	void (*fire)(void *ctx);
	void *ctx;
};

void timer_init(struct timer *t, const struct clk *clock,
    void (*fire)(void *ctx), void *ctx);
/* Fires at `at_us` or shortly after; never from within this call. */
void timer_set(struct timer *t, int64_t at_us);
/* As timer_set, unless the timer is armed for an earlier time. */
void timer_set_earlier(struct timer *t, int64_t at_us);
void timer_stop(struct timer *t);

#endif
