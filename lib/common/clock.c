/* Implementations of the clock interface: system clock and fake clock. */

#include <time.h>

#include "common/common.h"

/* Timers of a loop that is not held up fire within 2 ms. */
#define LATE_US (5 * 1000)
/* Longest pause in the input, and longest wait, after a late timer. */
#define QUIET_MAX_US G_USEC_PER_SEC
#define CATCH_UP_MAX_US (2 * G_USEC_PER_SEC)

/* CLOCK_MONOTONIC does not advance while the host is suspended. */
static int64_t
system_monotonic(void *ctx)
{
	struct timespec now;

	(void)clock_gettime(CLOCK_BOOTTIME, &now);
	return (int64_t)now.tv_sec * G_USEC_PER_SEC + now.tv_nsec / 1000;
}

static int64_t
system_wall(void *ctx)
{
	return g_get_real_time();
}

static const struct clk system_clock = {
	.monotonic_us = system_monotonic,
	.wall_us = system_wall,
};

const struct clk *
clk_system(void)
{
	return &system_clock;
}

int64_t
clk_now_us(const struct clk *clock)
{
	return clock->monotonic_us(clock->ctx);
}

int64_t
clk_now_ms(const struct clk *clock)
{
	return clk_now_us(clock) / 1000;
}

int64_t
clk_wall_us(const struct clk *clock)
{
	return clock->wall_us(clock->ctx);
}

bool
clk_is_late(const struct clk *clock, int64_t due_us)
{
	return clk_now_us(clock) - due_us >= LATE_US;
}

/* The sender may have been held up for as long as this process, so pauses of that
 * length do not end the wait. */
bool
clk_catch_up(
    struct clk_catch_up *c, int64_t now_us, int64_t due_us, uint64_t received)
{
	if (c->quiet_us == 0) {
		if (now_us - due_us < LATE_US)
			return false;
		c->quiet_us =
		    CLAMP(now_us - due_us, CLK_READ_MS * 1000, QUIET_MAX_US);
		c->end_us = now_us + CATCH_UP_MAX_US;
		c->heard_us = now_us;
	} else if (c->received != received)
		c->heard_us = now_us;
	c->received = received;
	return now_us < c->end_us && now_us - c->heard_us < c->quiet_us;
}

static int64_t
fake_now(void *ctx)
{
	const struct clk_fake *fake = ctx;

	return fake->now_us;
}

void
clk_fake_init(struct clk_fake *fake, int64_t now_us)
{
	fake->now_us = now_us;
	fake->clock = (struct clk){
		.monotonic_us = fake_now,
		.wall_us = fake_now,
		.ctx = fake,
	};
}

void
clk_fake_advance_ms(struct clk_fake *fake, int64_t ms)
{
	g_assert(ms >= 0);
	fake->now_us += ms * 1000;
}
