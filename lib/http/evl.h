#ifndef HTTP_EVL_H
#define HTTP_EVL_H

/*
 * evl: one epoll set and one heap of timers behind a single source of the
 * GLib loop. A process with a thousand connections costs GLib one source to
 * poll instead of a thousand, and a timer costs a heap entry instead of a
 * source. Descriptors and timers are intrusive: their owner embeds them.
 *
 * Work that should happen once after all events of a wake-up (writing what
 * they produced) is put off by evl_later().
 */

#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>

#include "common/common.h"

struct evl;

/* A watched descriptor. `ready` gets EPOLL* bits. */
struct evl_fd {
	int fd;
	uint32_t events;
	bool added;
	void (*ready)(struct evl_fd *fd, uint32_t events);
};

/* A timer; zero-initialised it is unset. */
struct evl_timer {
	int64_t at_us;
	size_t slot; /* place in the heap plus one; 0: unset */
	void (*fire)(struct evl_timer *timer);
};

/* Work put off to the end of the wake-up; zero-initialised it is not queued. */
struct evl_task {
	TAILQ_ENTRY(evl_task) link;
	bool queued;
	void (*run)(struct evl_task *task);
};

/* The clock must outlive the loop. Runs on the default GLib context. */
struct evl *evl_new(const struct clk *clock);
void evl_free(struct evl *e);

/* Monotonic time, read once a wake-up. */
int64_t evl_now_us(const struct evl *e);

/* Adds `fd` with `events`, or changes what is waited for. */
void evl_watch(struct evl *e, struct evl_fd *fd, uint32_t events);
/* Forgets `fd`, also in the batch under way; to be called before close(). */
void evl_forget(struct evl *e, struct evl_fd *fd);

void evl_timer_set(struct evl *e, struct evl_timer *t, int64_t at_us);
void evl_timer_stop(struct evl *e, struct evl_timer *t);

void evl_later(struct evl *e, struct evl_task *task);
void evl_task_cancel(struct evl *e, struct evl_task *task);

/* A buffer shared by all readers of the loop: bytes read into it must be
 * used up or copied before the reader returns. */
uint8_t *evl_scratch(struct evl *e, size_t *size_out);

#endif
