#ifndef HTTP_EVL_H
#define HTTP_EVL_H

/*
 * evl: an event loop with one epoll set and one timer heap, attached to the
 * GLib main loop as a single source. With a thousand connections GLib polls
 * one source instead of a thousand, and a timer costs a heap element instead
 * of a source. Descriptors and timers are intrusive: their owner embeds them.
 *
 * A timer fires only after the input that arrived before its time was handled, up
 * to 256 KB of each descriptor.
 * evl_defer() queues work to run once after the events of a pass, such as
 * writing the output that they produced.
 */

#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>

#include "common/common.h"

struct evl;

/* A watched descriptor. `ready` is called with EPOLL* bits. */
struct evl_fd {
	int fd;
	uint32_t events;
	bool added;
	void (*ready)(struct evl_fd *fd, uint32_t events);
};

/* A timer. Zero-initialized, it is not set. */
struct evl_timer {
	int64_t at_us;
	int64_t due_us; /* the same, or when it was set if that is later */
	size_t slot; /* index in the heap plus one; 0: not set */
	void (*fire)(struct evl_timer *timer);
};

/* Work deferred to the end of the wake-up. Zero-initialized, it is not
 * queued. */
struct evl_task {
	TAILQ_ENTRY(evl_task) link;
	bool queued;
	void (*run)(struct evl_task *task);
};

/* Attaches to the default GLib context. The clock must outlive the loop. */
struct evl *evl_new(const struct clk *clock);
void evl_free(struct evl *e);

/* Monotonic time, read once per pass over the descriptors. */
int64_t evl_now_us(const struct evl *e);
/* The same, read now: later by what the pass has done so far, and by the time for
 * which the process did not run meanwhile. */
int64_t evl_clock_us(const struct evl *e);

/* How late the loop ran: the longest time of the last five seconds or more, from
 * when a timer was due, or from the reading of evl_now_us(), to the end of the
 * work that was done then. */
struct evl_late {
	int64_t us;
	int64_t at_us; /* when it was measured; 0: not yet */
};

struct evl_late evl_late(const struct evl *e);
/* The same in microseconds, with what the current pass has taken so far. */
int64_t evl_late_us(const struct evl *e);
/* Time at which input that is handled now may have arrived, at the earliest: it
 * waits while the process does not run. */
int64_t evl_heard_us(const struct evl *e);

/* Adds `fd` with `events`, or changes its events. */
void evl_watch(struct evl *e, struct evl_fd *fd, uint32_t events);
/* Removes `fd` and discards its events in the current batch. Call this before
 * close(). */
void evl_unwatch(struct evl *e, struct evl_fd *fd);

void evl_timer_set(struct evl *e, struct evl_timer *t, int64_t at_us);
void evl_timer_stop(struct evl *e, struct evl_timer *t);

void evl_defer(struct evl *e, struct evl_task *task);
void evl_task_cancel(struct evl *e, struct evl_task *task);

/* A read buffer shared by all callbacks of the loop: a callback must consume
 * or copy the bytes before it returns. */
uint8_t *evl_scratch(struct evl *e, size_t *size_out);

#endif
