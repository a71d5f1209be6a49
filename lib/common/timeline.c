/* Event timeline: a ring buffer of events with hybrid logical timestamps. */

#include <stdarg.h>
#include <stdio.h>

#include "common/common.h"

#define HLC_COUNTER_BITS 16

struct tl {
	const struct clk *clock;
	char *node;
	uint64_t hlc;
	uint64_t next_seq; /* sequence number of the next event, from 1 */
	struct tl_event ring[TL_EVENTS_MAX];
};

struct tl *
tl_new(const struct clk *clock, const char *node)
{
	struct tl *tl = g_new0(struct tl, 1);

	tl->clock = clock;
	tl->node = g_strdup(node);
	tl->next_seq = 1;
	return tl;
}

void
tl_free(struct tl *tl)
{
	if (tl == NULL)
		return;
	g_free(tl->node);
	g_free(tl);
}

const char *
tl_node(const struct tl *tl)
{
	return tl->node;
}

uint64_t
tl_stamp(struct tl *tl)
{
	uint64_t wall = (uint64_t)(clk_wall_us(tl->clock) / 1000)
	    << HLC_COUNTER_BITS;

	tl->hlc = wall > tl->hlc ? wall : tl->hlc + 1;
	return tl->hlc;
}

void
tl_observe(struct tl *tl, uint64_t hlc)
{
	if (hlc > tl->hlc)
		tl->hlc = hlc;
}

void
tl_add(struct tl *tl, const char *kind, const char *subject, const char *format,
    ...)
{
	struct tl_event *event = &tl->ring[tl->next_seq % TL_EVENTS_MAX];
	va_list args;

	event->seq = tl->next_seq++;
	event->hlc = tl_stamp(tl);
	g_strlcpy(event->kind, kind, sizeof(event->kind));
	g_strlcpy(event->subject, subject, sizeof(event->subject));
	va_start(args, format);
	vsnprintf(event->text, sizeof(event->text), format, args);
	va_end(args);
}

uint64_t
tl_each(const struct tl *tl, uint64_t since,
    void (*each)(const struct tl_event *event, void *ctx), void *ctx)
{
	uint64_t seq = since + 1;

	if (tl->next_seq > TL_EVENTS_MAX && seq < tl->next_seq - TL_EVENTS_MAX)
		seq = tl->next_seq - TL_EVENTS_MAX;
	for (; seq < tl->next_seq; seq++)
		each(&tl->ring[seq % TL_EVENTS_MAX], ctx);
	return tl->next_seq - 1;
}
