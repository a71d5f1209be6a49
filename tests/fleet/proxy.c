/* A loopback proxy that delays or stalls traffic, stalls responses only, loses
 * it and everything after it on the same connection, and resets connections;
 * answers in place of its target, without end; or holds its target as one that
 * stands still: what arrives meanwhile is carried out when it goes on, also for
 * callers that have closed their connections. */

#include <errno.h>
#include <string.h>
#include <sys/epoll.h>
#include <unistd.h>

#include "fleet.h"

#include "../http/endless.h"

#define DELAY_US 250000
#define BUFFERED_MAX (1u << 20)

struct fleet_pipe;

/* The connection to the caller or to the target. */
struct fleet_conn {
	struct evl_fd fd;
	struct fleet_pipe *pipe;
	struct hbuf out; /* bytes to send to it */
	struct evl_timer delay;
};

struct fleet_pipe {
	LIST_ENTRY(fleet_pipe) link;
	struct fleet_proxy *proxy;
	struct fleet_conn caller, target;
	bool target_ended; /* in order; its bytes are still to be delivered */
	bool caller_ended; /* the same, while the target is held */
	bool held; /* its request is, and arrives later */
	bool lost; /* bytes of it were: it stays open, and silent for good */
	struct evl_timer release;
	struct endless_sender endless; /* with a kind: answers the caller */
};

struct fleet_proxy {
	struct fleet *f;
	struct evl_fd listener;
	struct sockaddr_in at, to;
	enum proxy_mode mode;
	int64_t disturbed_us; /* when it last was not passing */
	int64_t faulty_us; /* the same without silences */
	unsigned int endless_kind; /* of the next answer without end */
	size_t endless_most; /* bytes of the longest one */
	const struct fleet_proxy_watch *watches; /* NULL: none */
	struct fleet_pipe *noted; /* the request that a watch sees now */
	LIST_HEAD(fleet_pipes, fleet_pipe) pipes;
};

static void
pipe_close(struct fleet_pipe *p, bool reset)
{
	struct linger now = { .l_onoff = 1, .l_linger = 0 };
	struct fleet_conn *conns[] = { &p->caller, &p->target };
	size_t i;

	p->proxy->endless_most = MAX(p->proxy->endless_most, p->endless.sent);
	for (i = 0; i < 2; i++) {
		if (reset)
			(void)setsockopt(conns[i]->fd.fd, SOL_SOCKET, SO_LINGER,
			    &now, sizeof(now));
		evl_unwatch(p->proxy->f->loop, &conns[i]->fd);
		evl_timer_stop(p->proxy->f->loop, &conns[i]->delay);
		evl_timer_stop(p->proxy->f->loop, &p->release);
		close(conns[i]->fd.fd);
		hbuf_free(&conns[i]->out);
	}
	LIST_REMOVE(p, link);
	g_free(p);
}

static bool
is_stalled(const struct fleet_conn *c)
{
	enum proxy_mode mode = c->pipe->proxy->mode;

	if (c->pipe->held && c == &c->pipe->target)
		return true;
	if (mode == PROXY_STALL || mode == PROXY_HELD)
		return true;
	return (mode == PROXY_STALL_RESPONSES || mode == PROXY_SILENT) &&
	    c == &c->pipe->caller;
}

/* Sends the buffered bytes; false when the pipe was closed. */
static bool
flush(struct fleet_conn *c)
{
	struct fleet_pipe *p = c->pipe;
	ssize_t n;

	if (c == &p->target && p->target_ended)
		return true;

	while (hbuf_left(&c->out) > 0 && !is_stalled(c)) {
		n = send(c->fd.fd, hbuf_front(&c->out), hbuf_left(&c->out),
		    MSG_NOSIGNAL);
		if (n < 0 &&
		    (errno == EAGAIN || errno == EINPROGRESS ||
			errno == ENOTCONN))
			break;
		if (n < 0) {
			pipe_close(p, true);
			return false;
		}
		hbuf_consume(&c->out, (size_t)n);
	}
	if (p->target_ended && hbuf_left(&c->out) == 0) {
		pipe_close(p, false);
		return false;
	}
	evl_watch(p->proxy->f->loop, &c->fd,
	    EPOLLIN |
		(hbuf_left(&c->out) > 0 && !is_stalled(c) ? EPOLLOUT : 0u));
	return true;
}

static void
on_delay(struct evl_timer *t)
{
	flush(CONTAINER_OF(t, struct fleet_conn, delay));
}

/* One side closed in order. What a target sent before reaches the caller first;
 * a target works for no caller that has left. */
static void
end_pipe(struct fleet_conn *c)
{
	struct fleet_pipe *p = c->pipe;

	if (c == &p->caller && (p->held || p->proxy->mode == PROXY_HELD)) {
		p->caller_ended = true;
		evl_unwatch(p->proxy->f->loop, &p->caller.fd);
		return;
	}
	if (c == &p->caller || hbuf_left(&p->caller.out) == 0) {
		pipe_close(p, false);
		return;
	}
	p->target_ended = true;
	evl_unwatch(p->proxy->f->loop, &p->target.fd);
	if (p->proxy->mode != PROXY_DELAY)
		flush(&p->caller);
}

/* The caller has sent a request. */
static void
begin_endless(struct fleet_pipe *p)
{
	p->endless = (struct endless_sender){ .fd = p->caller.fd.fd,
		.kind = &endless_kinds[p->proxy->endless_kind] };
	evl_unwatch(p->proxy->f->loop, &p->target.fd);
	evl_watch(p->proxy->f->loop, &p->caller.fd, EPOLLOUT);
}

static void
go_on_endless(struct fleet_pipe *p)
{
	endless_send(&p->endless);
	if (p->endless.closed)
		pipe_close(p, true);
}

/* Tells the watches of a request whose head begins these bytes. */
static void
note_request(struct fleet_pipe *p, const uint8_t *data, size_t len)
{
	const struct fleet_proxy_watch *w = p->proxy->watches;

	p->proxy->noted = p;
	for (; w != NULL && w->begin != NULL; w++) {
		if (len >= strlen(w->begin) &&
		    memcmp(data, w->begin, strlen(w->begin)) == 0)
			w->seen(w->ctx);
	}
	p->proxy->noted = NULL;
}

static void
on_ready(struct evl_fd *fd, uint32_t events)
{
	struct fleet_conn *c = (struct fleet_conn *)fd;
	struct fleet_pipe *p = c->pipe;
	struct fleet_conn *other = c == &p->caller ? &p->target : &p->caller;
	struct fleet *f = p->proxy->f;
	uint8_t buffer[16384];
	ssize_t n;

	if (p->endless.kind != NULL) {
		go_on_endless(p);
		return;
	}
	if ((events & EPOLLOUT) != 0 && !flush(c))
		return;
	if ((events & (EPOLLIN | EPOLLHUP | EPOLLERR)) == 0)
		return;
	n = recv(c->fd.fd, buffer, sizeof(buffer), 0);
	if (n < 0 && errno == EAGAIN)
		return;
	if (n > 0 && p->proxy->mode == PROXY_LOSE)
		p->lost = true;
	if (p->lost && n > 0)
		return;
	if (p->lost && c == &p->target) {
		evl_unwatch(f->loop, &p->target.fd);
		return;
	}
	if (n < 0 && c == &p->caller &&
	    (p->held || p->proxy->mode == PROXY_HELD))
		n = 0;
	if (n < 0 || hbuf_left(&other->out) + (size_t)n > BUFFERED_MAX) {
		pipe_close(p, true);
		return;
	}
	if (n == 0) {
		end_pipe(c);
		return;
	}
	/* The request was carried out; nobody waits for the answer. */
	if (p->caller_ended) {
		pipe_close(p, false);
		return;
	}
	if (p->proxy->mode == PROXY_ENDLESS && c == &p->caller) {
		begin_endless(p);
		return;
	}
	hbuf_add(&other->out, buffer, (size_t)n);
	if (c == &p->caller)
		note_request(p, buffer, (size_t)n);
	if (p->proxy->mode == PROXY_DELAY) {
		other->delay.fire = on_delay;
		evl_timer_set(
		    f->loop, &other->delay, evl_now_us(f->loop) + DELAY_US);
		return;
	}
	flush(other);
}

static void
on_accept(struct evl_fd *fd, uint32_t events)
{
	struct fleet_proxy *proxy =
	    CONTAINER_OF(fd, struct fleet_proxy, listener);
	struct fleet_pipe *p;
	int caller = accept4(fd->fd, NULL, NULL, SOCK_NONBLOCK);
	int target;

	if (caller < 0)
		return;
	target = sock_dial(&proxy->to);
	if (target < 0) {
		close(caller);
		return;
	}
	p = g_new0(struct fleet_pipe, 1);
	p->proxy = proxy;
	p->caller.pipe = p->target.pipe = p;
	p->caller.fd = (struct evl_fd){ .fd = caller, .ready = on_ready };
	p->target.fd = (struct evl_fd){ .fd = target, .ready = on_ready };
	LIST_INSERT_HEAD(&proxy->pipes, p, link);
	evl_watch(proxy->f->loop, &p->caller.fd, EPOLLIN);
	evl_watch(proxy->f->loop, &p->target.fd, EPOLLIN);
}

struct fleet_proxy *
fleet_proxy_open(
    struct fleet *f, const char *address, const char *to, struct err *err)
{
	struct fleet_proxy *proxy = g_new0(struct fleet_proxy, 1);
	int fd = -1;

	if (sock_parse(address, &proxy->at) && sock_parse(to, &proxy->to))
		fd = sock_listen(&proxy->at, 200);
	if (fd < 0) {
		err_set(err, ERR_UNAVAILABLE, VERDICT_NOT_RUN,
		    "cannot listen on %s", address);
		g_free(proxy);
		return NULL;
	}
	proxy->f = f;
	LIST_INIT(&proxy->pipes);
	proxy->listener = (struct evl_fd){ .fd = fd, .ready = on_accept };
	evl_watch(f->loop, &proxy->listener, EPOLLIN);
	return proxy;
}

void
fleet_proxy_listen(struct fleet_proxy *proxy, bool listen)
{
	if (!listen) {
		evl_unwatch(proxy->f->loop, &proxy->listener);
		close(proxy->listener.fd);
		return;
	}
	proxy->listener.fd = sock_listen(&proxy->at, 200);
	g_assert(proxy->listener.fd >= 0);
	evl_watch(proxy->f->loop, &proxy->listener, EPOLLIN);
}

static bool
is_faulty(enum proxy_mode mode)
{
	return mode != PROXY_PASS && mode != PROXY_SILENT && mode != PROXY_HELD;
}

void
fleet_proxy_set(struct fleet_proxy *proxy, enum proxy_mode mode)
{
	struct fleet_pipe *p = LIST_FIRST(&proxy->pipes), *next;

	if (proxy->mode != PROXY_PASS || mode != PROXY_PASS)
		proxy->disturbed_us = evl_now_us(proxy->f->loop);
	if (is_faulty(proxy->mode) || is_faulty(mode))
		proxy->faulty_us = evl_now_us(proxy->f->loop);
	proxy->mode = mode;
	for (; p != NULL; p = next) {
		next = LIST_NEXT(p, link);
		if (p->endless.kind != NULL)
			pipe_close(p, true);
		else if (p->caller_ended && hbuf_left(&p->target.out) == 0)
			pipe_close(p, false);
		else if (p->caller_ended)
			flush(&p->target);
		else if (flush(&p->caller))
			flush(&p->target);
	}
}

static void
on_release(struct evl_timer *t)
{
	struct fleet_pipe *p = CONTAINER_OF(t, struct fleet_pipe, release);

	p->held = false;
	flush(&p->target);
}

void
fleet_proxy_hold_request(struct fleet_proxy *proxy, int64_t until_us)
{
	struct fleet_pipe *p = proxy->noted;

	p->held = true;
	p->release.fire = on_release;
	if (until_us != 0)
		evl_timer_set(proxy->f->loop, &p->release, until_us);
}

void
fleet_proxy_release_requests(struct fleet_proxy *proxy)
{
	struct fleet_pipe *p;

	LIST_FOREACH (p, &proxy->pipes, link) {
		if (p->held)
			evl_timer_set(proxy->f->loop, &p->release,
			    evl_now_us(proxy->f->loop));
	}
}

void
fleet_proxy_reset(struct fleet_proxy *proxy)
{
	struct fleet_pipe *p;

	proxy->disturbed_us = evl_now_us(proxy->f->loop);
	proxy->faulty_us = proxy->disturbed_us;
	while ((p = LIST_FIRST(&proxy->pipes)) != NULL)
		pipe_close(p, true);
}

int64_t
fleet_proxy_disturbed_us(const struct fleet_proxy *proxy)
{
	return proxy->mode == PROXY_PASS ? proxy->disturbed_us
					 : evl_now_us(proxy->f->loop);
}

int64_t
fleet_proxy_faulty_us(const struct fleet_proxy *proxy)
{
	return is_faulty(proxy->mode) ? evl_now_us(proxy->f->loop)
				      : proxy->faulty_us;
}

void
fleet_proxy_set_endless(struct fleet_proxy *proxy, unsigned int kind)
{
	proxy->endless_kind = kind % ENDLESS_KINDS;
	fleet_proxy_set(proxy, PROXY_ENDLESS);
}

void
fleet_proxy_watch_requests(
    struct fleet_proxy *proxy, const struct fleet_proxy_watch *watches)
{
	proxy->watches = watches;
}

size_t
fleet_proxy_endless_most(const struct fleet_proxy *proxy)
{
	return proxy->endless_most;
}
