/* One-shot timers on top of GLib's. */

#include "weights/timer.h"

/* Longer waits are shortened; the owner then finds nothing to do and arms the
 * timer again. */
#define WAIT_MAX_MS 3600000

void
timer_init(struct timer *t, const struct clk *clock, void (*fire)(void *ctx),
    void *ctx)
{
	*t = (struct timer){ .clock = clock, .fire = fire, .ctx = ctx };
}

static gboolean
on_timeout(gpointer data)
{
	struct timer *t = data;

	t->source = 0;
	t->fire(t->ctx);
	return G_SOURCE_REMOVE;
}

void
timer_set(struct timer *t, int64_t at_us)
{
	int64_t wait_us = at_us - clk_now_us(t->clock);
	int64_t wait_ms = MAX(wait_us + 999, 0) / 1000;

	if (t->source != 0 && t->at_us == at_us)
		return;
	timer_stop(t);
	t->at_us = at_us;
	t->source =
	    g_timeout_add((guint)MIN(wait_ms, WAIT_MAX_MS), on_timeout, t);
}

void
timer_set_earlier(struct timer *t, int64_t at_us)
{
	if (t->source == 0 || t->at_us > at_us)
		timer_set(t, at_us);
}

void
timer_stop(struct timer *t)
{
	if (t->source != 0)
		g_source_remove(t->source);
	t->source = 0;
}
