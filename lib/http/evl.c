/* An epoll set and a timer heap in a single GLib source. */

#include <string.h>
#include <sys/epoll.h>
#include <unistd.h>

#include "http/evl.h"

#define BATCH 64 /* events per pass */
/* Reads of one descriptor before timers that are due fire. */
#define ROUNDS_MAX 16
/* Time after which these reads end, as timers matter most under load. */
#define ROUNDS_US 50000
/* Size of one read. Connections with more input are read in turn. */
#define SCRATCH_BYTES (16u << 10)
/* Time for which a hold-up counts, at least; twice that at most. */
#define LATE_HOLD_US 5000000

struct evl {
	GSource source; /* first member: GLib allocates the struct */
	const struct clk *clock;
	int epoll;
	int64_t now_us; /* valid during a wake-up */
	bool in_wakeup;
	/* The longest of this window of LATE_HOLD_US, and of the one before. */
	struct evl_late late[2];
	int64_t window_us; /* begin of this window */
	struct epoll_event batch[BATCH];
	int batch_len, batch_at;
	unsigned int nwatched; /* descriptors */
	GPtrArray *heap; /* of struct evl_timer; min-heap by at_us */
	TAILQ_HEAD(evl_tasks, evl_task) tasks;
	uint8_t scratch[SCRATCH_BYTES];
};

/* ------------------------------------------------------------------ */
/* Timers                                                              */
/* ------------------------------------------------------------------ */

static struct evl_timer *heap_at(const struct evl *e, size_t i);

/* GLib's clock does not advance while the host is suspended, so it differs from
 * the loop's by the sum of such times. */
static int64_t
glib_time_us(const struct evl *e, int64_t at_us)
{
	return g_get_monotonic_time() + MAX(0, at_us - clk_now_us(e->clock));
}

/* Sets the time at which GLib dispatches the source next: immediately for work
 * that was deferred between two wake-ups, else at the earliest timer. */
static void
set_ready_time(struct evl *e)
{
	int64_t at_us = -1;

	if (e->in_wakeup)
		return; /* dispatch() calls this at the end of the wake-up */
	if (!TAILQ_EMPTY(&e->tasks))
		at_us = 0;
	else if (e->heap->len > 0)
		at_us = glib_time_us(e, heap_at(e, 0)->at_us);
	g_source_set_ready_time(&e->source, at_us);
}

static struct evl_timer *
heap_at(const struct evl *e, size_t i)
{
	return g_ptr_array_index(e->heap, i);
}

static void
heap_put(struct evl *e, size_t i, struct evl_timer *t)
{
	e->heap->pdata[i] = t;
	t->slot = i + 1;
}

static void
heap_up(struct evl *e, size_t i)
{
	struct evl_timer *t = heap_at(e, i);

	while (i > 0 && heap_at(e, (i - 1) / 2)->at_us > t->at_us) {
		heap_put(e, i, heap_at(e, (i - 1) / 2));
		i = (i - 1) / 2;
	}
	heap_put(e, i, t);
}

static void
heap_down(struct evl *e, size_t i)
{
	struct evl_timer *t = heap_at(e, i);
	size_t child, n = e->heap->len;

	while ((child = 2 * i + 1) < n) {
		if (child + 1 < n &&
		    heap_at(e, child + 1)->at_us < heap_at(e, child)->at_us)
			child++;
		if (heap_at(e, child)->at_us >= t->at_us)
			break;
		heap_put(e, i, heap_at(e, child));
		i = child;
	}
	heap_put(e, i, t);
}

void
evl_timer_stop(struct evl *e, struct evl_timer *t)
{
	struct evl_timer *last;
	size_t i;

	if (t->slot == 0)
		return;
	i = t->slot - 1;
	t->slot = 0;
	last = heap_at(e, e->heap->len - 1);
	g_ptr_array_set_size(e->heap, (gint)e->heap->len - 1);
	if (last == t)
		return;
	heap_put(e, i, last);
	heap_up(e, i);
	heap_down(e, last->slot - 1);
}

void
evl_timer_set(struct evl *e, struct evl_timer *t, int64_t at_us)
{
	evl_timer_stop(e, t);
	t->at_us = at_us;
	t->due_us = MAX(at_us, evl_now_us(e));
	g_ptr_array_add(e->heap, t);
	t->slot = e->heap->len;
	heap_up(e, e->heap->len - 1);
	if (t->slot == 1)
		set_ready_time(e);
}

static void
fire_timers(struct evl *e)
{
	struct evl_timer *t;

	while (e->heap->len > 0 && (t = heap_at(e, 0))->at_us <= e->now_us) {
		evl_timer_stop(e, t);
		t->fire(t);
	}
}

/* ------------------------------------------------------------------ */
/* Descriptors                                                         */
/* ------------------------------------------------------------------ */

void
evl_watch(struct evl *e, struct evl_fd *fd, uint32_t events)
{
	struct epoll_event event = { .events = events, .data.ptr = fd };

	if (fd->added && fd->events == events)
		return;
	if (epoll_ctl(e->epoll, fd->added ? EPOLL_CTL_MOD : EPOLL_CTL_ADD,
		fd->fd, &event) != 0) {
		log_warn("epoll_ctl of descriptor %d: %s", fd->fd,
		    g_strerror(errno));
		return;
	}
	e->nwatched += !fd->added;
	fd->added = true;
	fd->events = events;
}

void
evl_unwatch(struct evl *e, struct evl_fd *fd)
{
	int i;

	if (!fd->added)
		return;
	epoll_ctl(e->epoll, EPOLL_CTL_DEL, fd->fd, NULL);
	fd->added = false;
	e->nwatched--;
	/* The owner may free `fd` now; events later in the current batch can
	 * still point to it. */
	for (i = e->batch_at; i < e->batch_len; i++) {
		if (e->batch[i].data.ptr == fd)
			e->batch[i].data.ptr = NULL;
	}
}

static void
note_late(struct evl *e, int64_t due_us)
{
	int64_t now_us = clk_now_us(e->clock);
	struct evl_late late = { .us = now_us - due_us, .at_us = now_us };
	static const struct evl_late none;

	if (now_us - e->window_us > LATE_HOLD_US) {
		e->late[1] = now_us - e->window_us > 2 * LATE_HOLD_US
		    ? none
		    : e->late[0];
		e->late[0] = none;
		e->window_us = now_us;
	}
	if (late.us > e->late[0].us)
		e->late[0] = late;
}

/* Returns the number of descriptors that were ready, BATCH at most. */
static int
dispatch_batch(struct evl *e)
{
	struct evl_fd *fd;
	int n;

	e->now_us = clk_now_us(e->clock);
	e->batch_len = epoll_wait(e->epoll, e->batch, BATCH, 0);
	n = e->batch_len;
	for (e->batch_at = 0; e->batch_at < e->batch_len;) {
		fd = e->batch[e->batch_at].data.ptr;
		e->batch_at++;
		if (fd != NULL)
			fd->ready(fd, e->batch[e->batch_at - 1].events);
	}
	e->batch_len = 0;
	note_late(e, e->now_us);
	return n;
}

/* ------------------------------------------------------------------ */
/* Deferred work                                                       */
/* ------------------------------------------------------------------ */

void
evl_defer(struct evl *e, struct evl_task *task)
{
	if (task->queued)
		return;
	task->queued = true;
	TAILQ_INSERT_TAIL(&e->tasks, task, link);
	set_ready_time(e);
}

void
evl_task_cancel(struct evl *e, struct evl_task *task)
{
	if (!task->queued)
		return;
	task->queued = false;
	TAILQ_REMOVE(&e->tasks, task, link);
}

static void
run_tasks(struct evl *e)
{
	struct evl_task *task;

	while ((task = TAILQ_FIRST(&e->tasks)) != NULL) {
		evl_task_cancel(e, task);
		task->run(task);
	}
}

/* Handles each descriptor that is ready, once: those that stay ready are
 * returned in turn. Returns whether there were any. */
static bool
dispatch_round(struct evl *e)
{
	unsigned int passes = e->nwatched / BATCH + 1;
	int n = dispatch_batch(e);
	bool any = n > 0;

	while (n == BATCH && --passes > 0) {
		run_tasks(e);
		n = dispatch_batch(e);
	}
	return any;
}

static bool
timer_is_due(const struct evl *e)
{
	return e->heap->len > 0 && heap_at(e, 0)->at_us <= e->now_us;
}

/*
 * Handles input before any timer: after a hold-up of the process, a timer would
 * otherwise act on a peer whose input waits to be read, behind that of others or
 * behind the first part of its own. Bounded, as peers may never stop sending.
 */
static void
dispatch_events(struct evl *e)
{
	int64_t until_us = clk_now_us(e->clock) + ROUNDS_US;
	unsigned int rounds = ROUNDS_MAX;

	while (dispatch_round(e) && timer_is_due(e) && --rounds > 0 &&
	    e->now_us < until_us)
		run_tasks(e);
}

/* ------------------------------------------------------------------ */
/* GLib source                                                         */
/* ------------------------------------------------------------------ */

static gboolean
dispatch(GSource *source, GSourceFunc callback, gpointer data)
{
	struct evl *e = (struct evl *)source;
	int64_t due_us;

	e->in_wakeup = true;
	dispatch_events(e);
	due_us = timer_is_due(e) ? heap_at(e, 0)->due_us : e->now_us;
	fire_timers(e);
	run_tasks(e);
	note_late(e, due_us);
	e->in_wakeup = false;
	set_ready_time(e);
	return G_SOURCE_CONTINUE;
}

static GSourceFuncs source_funcs = { .dispatch = dispatch };

struct evl *
evl_new(const struct clk *clock)
{
	struct evl *e =
	    (struct evl *)g_source_new(&source_funcs, sizeof(struct evl));

	e->clock = clock;
	e->epoll = epoll_create1(EPOLL_CLOEXEC);
	g_assert(e->epoll >= 0);
	e->heap = g_ptr_array_new();
	e->now_us = clk_now_us(clock);
	TAILQ_INIT(&e->tasks);
	g_source_add_unix_fd(&e->source, e->epoll, G_IO_IN);
	g_source_attach(&e->source, NULL);
	return e;
}

void
evl_free(struct evl *e)
{
	close(e->epoll);
	g_ptr_array_unref(e->heap);
	g_source_destroy(&e->source);
	g_source_unref(&e->source);
}

int64_t
evl_now_us(const struct evl *e)
{
	/* Other GLib sources call this between wake-ups: read the clock. */
	return e->in_wakeup ? e->now_us : clk_now_us(e->clock);
}

int64_t
evl_clock_us(const struct evl *e)
{
	return clk_now_us(e->clock);
}

struct evl_late
evl_late(const struct evl *e)
{
	int64_t age_us = clk_now_us(e->clock) - e->window_us;
	struct evl_late late = { 0 };

	if (age_us <= 2 * LATE_HOLD_US)
		late = e->late[0];
	if (age_us <= LATE_HOLD_US && e->late[1].us > late.us)
		late = e->late[1];
	return late;
}

int64_t
evl_late_us(const struct evl *e)
{
	int64_t pass_us = clk_now_us(e->clock) - evl_now_us(e);

	return MAX(evl_late(e).us, pass_us);
}

int64_t
evl_heard_us(const struct evl *e)
{
	return evl_now_us(e) - evl_late(e).us;
}

uint8_t *
evl_scratch(struct evl *e, size_t *size_out)
{
	*size_out = sizeof(e->scratch);
	return e->scratch;
}
