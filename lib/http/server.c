/* The HTTP server: callers' connections, each with one request at a time. */

#include <errno.h>
#include <poll.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include "http/server_internal.h"
#include "http/sock.h"

#define BACKLOG 512
#define ACCEPTS_PER_WAKEUP 32

static struct hreq *
from_fd(struct evl_fd *fd)
{
	return CONTAINER_OF(fd, struct hreq, fd);
}

static struct hreq *
from_timer(struct evl_timer *t)
{
	return CONTAINER_OF(t, struct hreq, timer);
}

static const struct hlimits *
limits_of(const struct hreq *r)
{
	return r->server->conf.limits;
}

/* Whether one of the poll events holds for the connection now. */
static bool
has_event(const struct hreq *r, short events)
{
	struct pollfd fd = { .fd = r->fd.fd, .events = events };

	return poll(&fd, 1, 0) > 0;
}

bool
hreq_has_input(const struct hreq *r)
{
	return hbuf_left(&r->in) > 0 || has_event(r, POLLIN);
}

static size_t
unread_bytes(const struct hreq *r)
{
	int n = 0;

	if (ioctl(r->fd.fd, FIONREAD, &n) != 0)
		n = 0;
	return (size_t)n + hbuf_left(&r->in);
}

/* ------------------------------------------------------------------ */
/* Closing                                                             */
/* ------------------------------------------------------------------ */

void
hreq_drop_body(struct hreq *r)
{
	r->server->bodies -= r->body_bytes_counted;
	r->body_bytes_counted = 0;
	hbuf_free(&r->body);
}

static void
watch_accepts(struct hserver *s)
{
	bool room = !hserver_is_full(s) || !TAILQ_EMPTY(&s->idle);

	if (s->fd.fd >= 0)
		evl_watch(s->conf.loop, &s->fd, room ? EPOLLIN : 0);
}

void
hreq_set_idle(struct hreq *r, bool idle)
{
	struct hserver *s = r->server;

	if (idle == r->is_idle)
		return;
	r->is_idle = idle;
	if (idle)
		TAILQ_INSERT_TAIL(&s->idle, r, idle_link);
	else
		TAILQ_REMOVE(&s->idle, r, idle_link);
	watch_accepts(s);
}

void
hreq_destroy(struct hreq *r)
{
	struct hserver *s = r->server;

	hreq_set_idle(r, false);
	evl_unwatch(s->conf.loop, &r->fd);
	evl_timer_stop(s->conf.loop, &r->timer);
	evl_task_cancel(s->conf.loop, &r->flush);
	close(r->fd.fd);
	hreq_drop_body(r);
	hparse_free(&r->parse);
	hbuf_free(&r->in);
	hbuf_free(&r->out);
	LIST_REMOVE(r, link);
	s->connections--;
	g_free(r);
	watch_accepts(s);
}

/* Closes a connection by a decision of the server. */
static void
close_connection(struct hreq *r, const char *why)
{
	const struct hserver_conf *conf = &r->server->conf;
	size_t unread = unread_bytes(r), unsent = hbuf_left(&r->out);

	/* After the last response, input is discarded as intended. */
	if (r->state == HREQ_LINGER)
		unread = 0;
	if (conf->ops->dropped != NULL && (unread > 0 || unsent > 0))
		conf->ops->dropped(why, unread, unsent, conf->ctx);
	hreq_destroy(r);
}

void
hreq_disconnected(struct hreq *r)
{
	if (r->state == HREQ_BUSY)
		r->server->conf.ops->disconnected(r, r->server->conf.ctx);
	hreq_destroy(r);
}

void
hreq_watch(struct hreq *r)
{
	uint32_t events = EPOLLRDHUP;

	if (r->state == HREQ_READ)
		events |= EPOLLIN;
	else if (r->state == HREQ_LINGER)
		events = EPOLLIN;
	if (hbuf_left(&r->out) > 0)
		events |= EPOLLOUT;
	evl_watch(hreq_loop(r), &r->fd, events);
}

/* Refuses a request that is incomplete, invalid or over a limit. */
static void
refuse(struct hreq *r, unsigned int status)
{
	r->server->conf.ops->refused(status, r->server->conf.ctx);
	r->state = HREQ_BUSY;
	r->close_after = true;
	hreq_answer(r, status, "", "", 0);
}

/* ------------------------------------------------------------------ */
/* Reading                                                             */
/* ------------------------------------------------------------------ */

static void
on_body(const char *data, size_t len, void *ctx)
{
	struct hreq *r = ctx;

	if (r->body.len + len > r->body_max) {
		r->too_large = true;
		return;
	}
	hbuf_add(&r->body, data, len);
	r->body_bytes_counted += len;
	r->server->bodies += len;
}

static bool
target_is_origin_form(const struct hmsg *m)
{
	return m->target.n > 0 && m->target.p[0] == '/';
}

/* HTTP/1.1 requires exactly one Host header; two would be ambiguous for
 * routing. */
static bool
host_is_single(const struct hmsg *m)
{
	size_t i, n = 0;

	for (i = 0; i < m->nheaders; i++)
		n += hslice_is(m->headers[i].name, "Host");
	return n == 1 || (n == 0 && m->http10);
}

/* False when the request was refused. */
static bool
check_head(struct hreq *r)
{
	const struct hmsg *m = &r->parse.msg;
	const struct hheader *expect = hmsg_find(m, "Expect");

	if (!target_is_origin_form(m) || !host_is_single(m)) {
		refuse(r, 400);
		return false;
	}
	if (m->framing == HFRAMING_LENGTH && m->length > r->body_max) {
		refuse(r, 413);
		return false;
	}
	if (expect != NULL && hslice_is(expect->value, "100-continue") &&
	    !r->parse.complete)
		hreq_continue(r);
	evl_timer_set(hreq_loop(r), &r->timer,
	    evl_now_us(hreq_loop(r)) + limits_of(r)->idle_us);
	return true;
}

void
hreq_await_request(struct hreq *r)
{
	r->idle_since_us = evl_now_us(hreq_loop(r));
	evl_timer_set(
	    hreq_loop(r), &r->timer, r->idle_since_us + limits_of(r)->idle_us);
}

/* Passes a complete request to the owner. */
static void
deliver(struct hreq *r)
{
	evl_timer_stop(hreq_loop(r), &r->timer);
	r->state = HREQ_BUSY;
	hreq_watch(r);
	r->server->conf.ops->request(r, r->server->conf.ctx);
}

/* The first byte of a request was received. */
static void
request_begun(struct hreq *r)
{
	hreq_set_idle(r, false);
	r->started_us = evl_now_us(hreq_loop(r));
	r->parse.head_max = limits_of(r)->head_bytes;
	r->body_max = limits_of(r)->body_bytes;
	evl_timer_set(
	    hreq_loop(r), &r->timer, r->started_us + limits_of(r)->head_us);
}

/* Parses bytes of the current request and returns the number consumed. The
 * request may be answered when this returns; the connection still exists. */
static size_t
parse_input(struct hreq *r, const uint8_t *data, size_t len)
{
	enum hparse_result result;
	size_t used = 0, n;

	while (r->state == HREQ_READ) {
		if (r->started_us == 0 && used < len)
			request_begun(r);
		result = hparse_feed(&r->parse, data + used, len - used, &n);
		used += n;
		if (result == HPARSE_BAD)
			refuse(r, 400);
		else if (result == HPARSE_HEAD_TOO_LARGE)
			refuse(r, 431);
		else if (r->too_large)
			refuse(r, 413);
		else if (r->server->bodies > r->server->conf.bodies_max)
			refuse(r, 503);
		else if (result == HPARSE_HEAD && !check_head(r))
			break;
		else if (result == HPARSE_MORE)
			break;
		else if (result == HPARSE_DONE)
			deliver(r);
	}
	return used;
}

void
hreq_read_ahead(struct hreq *r)
{
	struct hbuf in = r->in;
	size_t used;

	r->in = (struct hbuf){ 0 };
	used = parse_input(r, hbuf_front(&in), hbuf_left(&in));
	if (used < hbuf_left(&in) && r->state != HREQ_FLUSH)
		hbuf_add(&r->in, in.data + in.at + used, hbuf_left(&in) - used);
	hbuf_free(&in);
}

static void
on_readable(struct hreq *r)
{
	size_t size, used;
	uint8_t *buffer = evl_scratch(hreq_loop(r), &size);
	ssize_t n = recv(r->fd.fd, buffer, size, 0);

	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (n <= 0) {
		hreq_disconnected(r);
		return;
	}
	if (r->state != HREQ_READ) /* lingering: discard the input */
		return;
	used = parse_input(r, buffer, (size_t)n);
	if (used < (size_t)n && r->state != HREQ_FLUSH &&
	    r->state != HREQ_LINGER)
		hbuf_add(&r->in, buffer + used, (size_t)n - used);
}

/* Whether the caller disconnected. One that closed only its sending side counts
 * as disconnected, too, until its response is complete. */
static bool
is_disconnected(const struct hreq *r, uint32_t events)
{
	if ((events & (EPOLLERR | EPOLLHUP)) != 0)
		return true;
	return (events & EPOLLRDHUP) != 0 &&
	    (r->state == HREQ_READ || r->state == HREQ_BUSY);
}

static void
on_ready(struct evl_fd *fd, uint32_t events)
{
	struct hreq *r = from_fd(fd);

	/* Input that has not been read is dropped with the connection. */
	if (is_disconnected(r, events)) {
		hreq_disconnected(r);
		return;
	}
	if ((events & EPOLLOUT) != 0)
		evl_defer(hreq_loop(r), &r->flush);
	if ((events & EPOLLIN) != 0 || (events & EPOLLRDHUP) != 0)
		on_readable(r);
}

/* The limit may have been raised since the time-out was set. */
static bool
may_stay_idle(const struct hreq *r)
{
	return evl_now_us(hreq_loop(r)) <
	    r->idle_since_us + limits_of(r)->idle_us;
}

/* The idle time-out. */
static void
idle_time_is_over(struct hreq *r)
{
	if (may_stay_idle(r))
		evl_timer_set(hreq_loop(r), &r->timer,
		    r->idle_since_us + limits_of(r)->idle_us);
	else if (hreq_has_input(r)) /* the next request is about to be read */
		evl_timer_set(hreq_loop(r), &r->timer,
		    evl_now_us(hreq_loop(r)) + limits_of(r)->head_us);
	else
		close_connection(r, "idle");
}

static void
on_timer(struct evl_timer *timer)
{
	struct hreq *r = from_timer(timer);

	if (r->state == HREQ_READ && r->started_us != 0)
		refuse(r, 408);
	else if (hbuf_left(&r->out) > 0) /* nothing could be sent for long */
		close_connection(r, "unsent");
	else if (r->state == HREQ_READ)
		idle_time_is_over(r);
	else /* the end of the linger time */
		close_connection(r, "linger");
}

/* ------------------------------------------------------------------ */
/* Accepting                                                           */
/* ------------------------------------------------------------------ */

static void
accept_one(struct hserver *s, int fd)
{
	struct hreq *r = g_new0(struct hreq, 1);

	sock_tune(fd);
	r->fd = (struct evl_fd){ .fd = fd, .ready = on_ready };
	r->timer.fire = on_timer;
	r->flush.run = hreq_flush;
	r->server = s;
	hparse_init(
	    &r->parse, HTTP_REQUEST, s->conf.limits->head_bytes, on_body, r);
	LIST_INSERT_HEAD(&s->reqs, r, link);
	s->connections++;
	hreq_set_idle(r, true);
	hreq_watch(r);
	hreq_await_request(r);
}

/* An idle connection to close for a new one: the one that has been idle for the
 * longest time, unless its next request was received and not read yet. */
static struct hreq *
find_closable(const struct hserver *s)
{
	struct hreq *r;

	TAILQ_FOREACH (r, &s->idle, idle_link) {
		if (!has_event(r, POLLIN))
			return r;
	}
	return NULL;
}

/* Callers keep connections open that they do not use. While these take up all
 * that may be open, each new one closes one of them. */
static bool
accept_next(struct hserver *s)
{
	struct hreq *closable = NULL;
	int fd;

	if (hserver_is_full(s) && (closable = find_closable(s)) == NULL)
		return false;
	fd = accept4(s->fd.fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
	if (fd < 0)
		return false;
	if (closable != NULL)
		close_connection(closable, "room");
	accept_one(s, fd);
	return true;
}

static void
on_accept(struct evl_fd *efd, uint32_t events)
{
	struct hserver *s = CONTAINER_OF(efd, struct hserver, fd);
	int i;

	for (i = 0; i < ACCEPTS_PER_WAKEUP && accept_next(s); i++)
		continue;
	watch_accepts(s);
}

struct hserver *
hserver_new(const struct hserver_conf *conf, struct err *err)
{
	struct sockaddr_in at;
	struct hserver *s;
	int fd = -1;

	if (sock_parse(conf->address, &at))
		fd = sock_listen(&at, BACKLOG);
	if (fd < 0) {
		err_set(err, ERR_UNAVAILABLE, VERDICT_NOT_RUN,
		    "cannot listen on %s: %s", conf->address,
		    g_strerror(errno));
		return NULL;
	}
	s = g_new0(struct hserver, 1);
	s->conf = *conf;
	LIST_INIT(&s->reqs);
	TAILQ_INIT(&s->idle);
	s->fd = (struct evl_fd){ .fd = fd, .ready = on_accept };
	watch_accepts(s);
	return s;
}

/*
 * Closes a connection that waits for its next request, unless that has arrived:
 * its response closes the connection then. Output of the previous response may
 * still be queued; it is written first, since closing at once would truncate the
 * response during a planned stop.
 */
static void
close_idle(struct hreq *r)
{
	if (hreq_has_input(r))
		return;
	if (hbuf_left(&r->out) > 0)
		hreq_close_after_flush(r);
	else
		close_connection(r, "stop");
}

void
hserver_stop_listening(struct hserver *s)
{
	struct hreq *r, *next;

	s->closing = true;
	if (s->fd.fd < 0)
		return;
	evl_unwatch(s->conf.loop, &s->fd);
	close(s->fd.fd);
	s->fd.fd = -1;
	for (r = LIST_FIRST(&s->reqs); r != NULL; r = next) {
		next = LIST_NEXT(r, link);
		if (r->state == HREQ_READ && r->started_us == 0)
			close_idle(r);
	}
}

void
hserver_set_closing(struct hserver *s, bool closing)
{
	s->closing = closing;
}

unsigned int
hserver_connections(const struct hserver *s)
{
	return s->connections;
}

unsigned int
hserver_idle_connections(const struct hserver *s)
{
	const struct hreq *r;
	unsigned int n = 0;

	TAILQ_FOREACH (r, &s->idle, idle_link)
		n++;
	return n;
}

bool
hserver_is_full(const struct hserver *s)
{
	return s->connections >= s->conf.connections_max;
}

void
hserver_free(struct hserver *s)
{
	struct hreq *r;

	if (s == NULL)
		return;
	hserver_stop_listening(s);
	while ((r = LIST_FIRST(&s->reqs)) != NULL)
		close_connection(r, "exit");
	g_free(s);
}

/* ------------------------------------------------------------------ */
/* Request accessors                                                   */
/* ------------------------------------------------------------------ */

const struct hmsg *
hreq_msg(const struct hreq *r)
{
	return &r->parse.msg;
}

const void *
hreq_body(const struct hreq *r, size_t *len_out)
{
	*len_out = hbuf_left(&r->body);
	return *len_out == 0 ? NULL : hbuf_front(&r->body);
}

bool
hreq_has_left(const struct hreq *r)
{
	return has_event(r, POLLRDHUP);
}

int64_t
hreq_started_us(const struct hreq *r)
{
	return r->started_us;
}

void
hreq_set_ctx(struct hreq *r, void *ctx)
{
	r->ctx = ctx;
}

void *
hreq_ctx(const struct hreq *r)
{
	return r->ctx;
}
