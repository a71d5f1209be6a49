/* The HTTP client: calls to targets over pooled connections. */

#include <errno.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "http/client_internal.h"
#include "http/sock.h"

/* An idle connection is reused only within this share of the keep-alive time
 * that its target announced. If a request and the target's close cross, it is
 * unknown whether the target executed the request. */
#define KEEP_ALIVE_PERCENT 60
#define KEEP_ALIVE_MAX_S 3600 /* far above any idle time-out */

/* Interim responses and late ones to earlier requests are discarded, up to this
 * number of bytes in a call: a faulty target may send them without end. */
#define DISCARD_MAX (256u << 10)

static const char *const failure_names[HCALL_FAILURES] = {
	[HCALL_UNREACHABLE] = "unreachable",
	[HCALL_CLOSED] = "closed",
	[HCALL_TRUNCATED] = "truncated",
	[HCALL_RESET] = "reset",
	[HCALL_MALFORMED] = "malformed",
	[HCALL_TOO_LONG] = "too_long",
};

const char *
hcall_failure_name(enum hcall_failure f)
{
	return failure_names[f];
}

static struct hlink *
from_fd(struct evl_fd *fd)
{
	return CONTAINER_OF(fd, struct hlink, fd);
}

/* ------------------------------------------------------------------ */
/* End of a call                                                       */
/* ------------------------------------------------------------------ */

/* `why` applies once a response has begun. */
static void
call_failed(struct hlink *l, enum hcall_failure why)
{
	struct hcall *c = l->call;

	if (!c->response_begun)
		why = c->sent ? HCALL_CLOSED : HCALL_UNREACHABLE;
	l->call = NULL;
	hlink_free(l);
	c->link = NULL;
	c->ops->failed(c, why, c->sent, c->ctx);
	g_free(c);
}

static void
link_lost(struct hlink *l, enum hcall_failure why)
{
	if (l->call != NULL)
		call_failed(l, why);
	else
		hlink_free(l);
}

static void
release_link(struct hlink *l)
{
	struct hendpoint *endpoint = l->endpoint;

	if (l->no_reuse || l->keep_alive_us <= 0 ||
	    endpoint->nidle >= endpoint->pool->conf.idle_max) {
		hlink_free(l);
		return;
	}
	hparse_reset(&l->parse);
	l->state = LINK_IDLE;
	l->reused = true;
	TAILQ_INSERT_HEAD(&endpoint->idle, l, link);
	endpoint->nidle++;
	evl_watch(hlink_loop(l), &l->fd, EPOLLIN | EPOLLRDHUP);
	evl_timer_set(hlink_loop(l), &l->timer,
	    evl_now_us(hlink_loop(l)) + l->keep_alive_us);
}

static void
call_done(struct hlink *l)
{
	struct hcall *c = l->call;

	if (hbuf_left(&l->out) > 0) /* response before the request was read */
		l->no_reuse = true;
	l->call = NULL;
	c->link = NULL;
	release_link(l);
	c->ops->done(c, c->ctx);
	g_free(c);
}

void
hcall_cancel(struct hcall *c)
{
	if (c->in_callback || c->cancelled) {
		c->cancelled = true;
		return;
	}
	if (c->link != NULL) {
		c->link->call = NULL;
		hlink_free(c->link);
	}
	g_free(c);
}

/* ------------------------------------------------------------------ */
/* Writing                                                             */
/* ------------------------------------------------------------------ */

static void
watch(struct hlink *l)
{
	uint32_t events = l->call != NULL && l->call->paused ? 0 : EPOLLIN;

	if (hbuf_left(&l->out) > 0)
		events |= EPOLLOUT;
	evl_watch(hlink_loop(l), &l->fd, events);
}

static void
on_flush(struct evl_task *task)
{
	struct hlink *l = CONTAINER_OF(task, struct hlink, flush);
	ssize_t n;

	while (hbuf_left(&l->out) > 0) {
		n = send(l->fd.fd, hbuf_front(&l->out), hbuf_left(&l->out),
		    MSG_NOSIGNAL);
		if (n < 0 && errno == EINTR)
			continue;
		if (n < 0 && errno == EAGAIN)
			break;
		if (n < 0) {
			/* A response may be readable: a target can refuse a
			 * request before it has read a long body. The socket
			 * reports the error once only. */
			l->no_reuse = true;
			l->reset = true;
			hbuf_free(&l->out);
			break;
		}
		if (l->call != NULL)
			l->call->sent = true;
		hbuf_consume(&l->out, (size_t)n);
	}
	watch(l);
}

/* ------------------------------------------------------------------ */
/* Reading                                                             */
/* ------------------------------------------------------------------ */

static void
on_body(const char *data, size_t len, void *ctx)
{
	struct hlink *l = ctx;
	struct hcall *c = l->call;

	if (c->skip_response || c->cancelled || c->too_long)
		return;
	c->body_bytes += len;
	if (c->body_bytes > c->body_max) {
		c->too_long = true;
		return;
	}
	c->in_callback = true;
	c->ops->body(c, data, len, c->ctx);
	c->in_callback = false;
}

static void
set_keep_alive(struct hlink *l)
{
	const struct hheader *h = hmsg_find(&l->parse.msg, "Keep-Alive");
	const struct hpool_conf *conf = &l->endpoint->pool->conf;
	const char *timeout;
	int64_t seconds;

	l->keep_alive_us = conf->idle_us;
	if (!l->parse.msg.keep_alive)
		l->no_reuse = true;
	if (h == NULL)
		return;
	timeout = memmem(h->value.p, h->value.n, "timeout=", 8);
	if (timeout == NULL)
		return;
	seconds =
	    CLAMP(g_ascii_strtoll(timeout + 8, NULL, 10), 0, KEEP_ALIVE_MAX_S);
	l->keep_alive_us = MIN(
	    conf->idle_us, seconds * G_USEC_PER_SEC * KEEP_ALIVE_PERCENT / 100);
}

static void
on_head(struct hlink *l)
{
	struct hcall *c = l->call;

	if (l->parse.msg.status < 200) /* interim: "100 Continue" */
		c->skip_response = true;
	else
		set_keep_alive(l);
	if (c->skip_response)
		return;
	c->in_callback = true;
	c->ops->head(c, &l->parse.msg, c->ctx);
	c->in_callback = false;
	/* A long body that was announced need not arrive first. */
	if (!c->skip_response && l->parse.msg.length > c->body_max)
		c->too_long = true;
}

/* Prepares for the next response after a skipped one is complete. */
static void
next_response(struct hlink *l)
{
	hparse_reset(&l->parse);
	l->parse.no_body = l->call->no_body;
	l->call->skip_response = false;
	l->call->response_begun = false;
}

static bool
is_too_long(const struct hcall *c)
{
	return c->too_long || (c->skip_response && c->received > DISCARD_MAX);
}

static void
free_cancelled(struct hlink *l)
{
	struct hcall *c = l->call;

	l->call = NULL;
	hlink_free(l);
	g_free(c);
}

/* Parses received bytes. Returns false once the call has ended; the link may
 * be freed then. */
static bool
parse_input(struct hlink *l, const uint8_t *data, size_t len)
{
	enum hparse_result result;
	size_t used = 0, n;

	while (l->call != NULL) {
		if (used < len)
			l->call->response_begun = true;
		result = hparse_feed(&l->parse, data + used, len - used, &n);
		used += n;
		l->call->received += n;
		if (result == HPARSE_HEAD)
			on_head(l);
		if (l->call->cancelled) {
			free_cancelled(l);
			return false;
		}
		if (is_too_long(l->call)) {
			call_failed(l, HCALL_TOO_LONG);
			return false;
		}
		if (result == HPARSE_BAD || result == HPARSE_HEAD_TOO_LARGE) {
			call_failed(l,
			    result == HPARSE_BAD ? HCALL_MALFORMED
						 : HCALL_TOO_LONG);
			return false;
		}
		if (result == HPARSE_MORE)
			return true;
		if (result != HPARSE_DONE)
			continue;
		if (l->call->skip_response) {
			next_response(l);
			continue;
		}
		/* Bytes after the response belong to no request. */
		if (used < len)
			l->no_reuse = true;
		call_done(l);
		return false;
	}
	return true;
}

static void
on_eof(struct hlink *l)
{
	struct hcall *c = l->call;

	l->no_reuse = true;
	if (l->reset) {
		link_lost(l, HCALL_RESET);
		return;
	}
	if (c != NULL && c->response_begun && !c->skip_response &&
	    hparse_eof(&l->parse)) {
		if (c->cancelled)
			free_cancelled(l);
		else
			call_done(l);
		return;
	}
	link_lost(l, HCALL_TRUNCATED);
}

static void
on_readable(struct hlink *l)
{
	size_t size;
	uint8_t *buffer = evl_scratch(hlink_loop(l), &size);
	ssize_t n = recv(l->fd.fd, buffer, size, 0);

	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	/* Bytes on an idle link belong to no request. */
	if (l->state == LINK_IDLE || n < 0)
		link_lost(l, HCALL_RESET);
	else if (n == 0)
		on_eof(l);
	else
		parse_input(l, buffer, (size_t)n);
}

static void
on_connected(struct hlink *l)
{
	int error = 0;
	socklen_t len = sizeof(error);

	getsockopt(l->fd.fd, SOL_SOCKET, SO_ERROR, &error, &len);
	if (error != 0) {
		link_lost(l, HCALL_RESET);
		return;
	}
	l->state = LINK_BUSY;
	evl_timer_stop(hlink_loop(l), &l->timer);
	on_flush(&l->flush);
}

static void
on_ready(struct evl_fd *fd, uint32_t events)
{
	struct hlink *l = from_fd(fd);

	if (l->state == LINK_CONNECTING) {
		on_connected(l);
		return;
	}
	/* recv() returns the bytes that arrived before an error, then the
	 * error. */
	if ((events & (EPOLLIN | EPOLLRDHUP | EPOLLERR | EPOLLHUP)) != 0) {
		on_readable(l);
		return;
	}
	if ((events & EPOLLOUT) != 0)
		evl_defer(hlink_loop(l), &l->flush);
}

/* Connect time-out or idle time-out. */
static void
on_timer(struct evl_timer *t)
{
	struct hlink *l = CONTAINER_OF(t, struct hlink, timer);

	link_lost(l, HCALL_RESET);
}

/* ------------------------------------------------------------------ */
/* Calls                                                               */
/* ------------------------------------------------------------------ */

static struct hlink *
link_new(struct hendpoint *endpoint)
{
	struct hpool *p = endpoint->pool;
	struct hlink *l = g_new0(struct hlink, 1);
	struct sockaddr_in to;

	l->endpoint = endpoint;
	l->state = LINK_CONNECTING;
	l->timer.fire = on_timer;
	l->flush.run = on_flush;
	l->fd = (struct evl_fd){ .fd = -1, .ready = on_ready };
	hparse_init(&l->parse, HTTP_RESPONSE, p->conf.head_bytes, on_body, l);
	LIST_INSERT_HEAD(&endpoint->all, l, all);
	if (sock_parse(endpoint->address, &to))
		l->fd.fd = sock_dial(&to);
	if (l->fd.fd < 0) /* the timer reports the failure from the loop */
		evl_timer_set(p->conf.loop, &l->timer, 0);
	else {
		evl_watch(p->conf.loop, &l->fd, EPOLLOUT);
		evl_timer_set(p->conf.loop, &l->timer,
		    evl_now_us(p->conf.loop) + p->conf.connect_us);
	}
	p->opened++;
	return l;
}

struct hcall *
hcall_start(struct hpool *p, const struct hcall_conf *conf)
{
	struct hendpoint *endpoint = hendpoint_get(p, conf->address);
	struct hcall *c = g_new0(struct hcall, 1);
	struct hlink *l = hlink_take_idle(endpoint);

	if (l == NULL)
		l = link_new(endpoint);
	c->link = l;
	c->ops = conf->ops;
	c->ctx = conf->ctx;
	c->no_body = conf->no_body;
	c->body_max = conf->body_max == 0 ? UINT64_MAX : conf->body_max;
	l->call = c;
	l->parse.no_body = conf->no_body;
	hbuf_add(&l->out, conf->head, conf->head_len);
	hbuf_add(&l->out, conf->body, conf->body_len);
	if (l->state == LINK_BUSY)
		evl_defer(p->conf.loop, &l->flush);
	return c;
}

void
hcall_skip(struct hcall *c)
{
	c->skip_response = true;
	c->link->no_reuse = true;
}

void
hcall_limit_rest(struct hcall *c, size_t rest)
{
	c->body_max = MIN(c->body_max, c->body_bytes + rest);
	if (c->link != NULL)
		c->link->no_reuse = true;
}

void
hcall_no_reuse(struct hcall *c)
{
	if (c->link != NULL)
		c->link->no_reuse = true;
}

void
hcall_pause(struct hcall *c, bool paused)
{
	if (c->paused == paused || c->link == NULL)
		return;
	c->paused = paused;
	if (c->link->state == LINK_BUSY)
		watch(c->link);
}

bool
hcall_sent(const struct hcall *c)
{
	return c->sent;
}

bool
hcall_is_reused(const struct hcall *c)
{
	return c->link != NULL && c->link->reused;
}
