/* The client side: calls to targets on kept connections. */

#include <errno.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "http/client_internal.h"
#include "http/sock.h"

/* A kept connection is used for this share of the time after which its target
 * closes it: a request that crosses the close may or may not have run. */
#define KEEP_SHARE_PERCENT 60

static const char *const failure_names[HCALL_FAILURES] = {
	[HCALL_UNREACHABLE] = "unreachable",
	[HCALL_CLOSED] = "closed",
	[HCALL_BROKEN] = "broken",
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
/* Ends                                                                */
/* ------------------------------------------------------------------ */

static void
call_failed(struct hlink *l)
{
	struct hcall *c = l->call;
	enum hcall_failure why = HCALL_CLOSED;

	if (c->got)
		why = HCALL_BROKEN;
	else if (!c->sent)
		why = HCALL_UNREACHABLE;
	l->call = NULL;
	hlink_free(l);
	c->link = NULL;
	c->ops->failed(c, why, c->sent, c->ctx);
	g_free(c);
}

static void
link_lost(struct hlink *l)
{
	if (l->call != NULL)
		call_failed(l);
	else
		hlink_free(l);
}

static void
keep_or_close(struct hlink *l)
{
	struct hplace *place = l->place;

	if (l->spoilt || l->keep_us <= 0 ||
	    place->nidle >= place->pool->conf.idle_max) {
		hlink_free(l);
		return;
	}
	hparse_reset(&l->parse);
	l->state = LINK_IDLE;
	l->kept = true;
	TAILQ_INSERT_HEAD(&place->idle, l, link);
	place->nidle++;
	evl_watch(hlink_loop(l), &l->fd, EPOLLIN | EPOLLRDHUP);
	evl_timer_set(
	    hlink_loop(l), &l->timer, evl_now_us(hlink_loop(l)) + l->keep_us);
}

static void
call_done(struct hlink *l)
{
	struct hcall *c = l->call;

	if (hbuf_left(&l->out) > 0) /* answered before it read all of it */
		l->spoilt = true;
	l->call = NULL;
	c->link = NULL;
	keep_or_close(l);
	c->ops->done(c, c->ctx);
	g_free(c);
}

void
hcall_cancel(struct hcall *c)
{
	if (c->in_head || c->cancelled) {
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
			/* An answer may already wait to be read: a target
			 * can refuse before it has read a long body. */
			l->spoilt = true;
			hbuf_free(&l->out);
			break;
		}
		if (l->call != NULL)
			l->call->sent = true;
		hbuf_use(&l->out, (size_t)n);
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

	if (c->skip || c->cancelled)
		return;
	c->in_head = true;
	c->ops->body(c, data, len, c->ctx);
	c->in_head = false;
}

static void
note_keep_alive(struct hlink *l)
{
	const struct hheader *h = hmsg_find(&l->parse.msg, "Keep-Alive");
	const struct hpool_conf *conf = &l->place->pool->conf;
	const char *timeout;
	int64_t seconds;

	l->keep_us = conf->idle_us;
	if (!l->parse.msg.keep_alive)
		l->spoilt = true;
	if (h == NULL)
		return;
	timeout = memmem(h->value.p, h->value.n, "timeout=", 8);
	if (timeout == NULL)
		return;
	seconds = g_ascii_strtoll(timeout + 8, NULL, 10);
	l->keep_us = MIN(
	    conf->idle_us, seconds * G_USEC_PER_SEC * KEEP_SHARE_PERCENT / 100);
}

static void
on_head(struct hlink *l)
{
	struct hcall *c = l->call;

	if (l->parse.msg.status < 200) /* "100 Continue": the answer follows */
		c->skip = true;
	else
		note_keep_alive(l);
	if (c->skip)
		return;
	c->in_head = true;
	c->ops->head(c, &l->parse.msg, c->ctx);
	c->in_head = false;
}

/* The answer that was skipped is whole: ours comes next. */
static void
next_answer(struct hlink *l)
{
	hparse_reset(&l->parse);
	l->parse.no_body = l->call->no_body;
	l->call->skip = false;
	l->call->got = false;
}

static void
cancel_now(struct hlink *l)
{
	struct hcall *c = l->call;

	l->call = NULL;
	hlink_free(l);
	g_free(c);
}

/* False when the link is gone. */
static bool
take(struct hlink *l, const uint8_t *data, size_t len)
{
	enum hparse_result result;
	size_t used = 0, n;

	while (l->call != NULL) {
		if (used < len)
			l->call->got = true;
		result = hparse_feed(&l->parse, data + used, len - used, &n);
		used += n;
		if (result == HPARSE_HEAD)
			on_head(l);
		if (l->call->cancelled) {
			cancel_now(l);
			return false;
		}
		if (result == HPARSE_BAD || result == HPARSE_HEAD_TOO_LARGE) {
			call_failed(l);
			return false;
		}
		if (result == HPARSE_MORE)
			return true;
		if (result != HPARSE_DONE)
			continue;
		if (l->call->skip) {
			next_answer(l);
			continue;
		}
		/* Bytes after the answer belong to no request of ours. */
		if (used < len)
			l->spoilt = true;
		call_done(l);
		return false;
	}
	return true;
}

static void
on_eof(struct hlink *l)
{
	struct hcall *c = l->call;

	l->spoilt = true;
	if (c != NULL && c->got && !c->skip && hparse_eof(&l->parse)) {
		if (c->cancelled)
			cancel_now(l);
		else
			call_done(l);
		return;
	}
	link_lost(l);
}

static void
on_readable(struct hlink *l)
{
	size_t size;
	uint8_t *buffer = evl_scratch(hlink_loop(l), &size);
	ssize_t n = recv(l->fd.fd, buffer, size, 0);

	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (l->state == LINK_IDLE || n < 0)
		link_lost(l); /* bytes on an idle link belong to nobody */
	else if (n == 0)
		on_eof(l);
	else
		take(l, buffer, (size_t)n);
}

static void
on_connected(struct hlink *l)
{
	int error = 0;
	socklen_t len = sizeof(error);

	getsockopt(l->fd.fd, SOL_SOCKET, SO_ERROR, &error, &len);
	if (error != 0) {
		link_lost(l);
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
	/* An error shows by reading, after the bytes that came before it. */
	if ((events & (EPOLLIN | EPOLLRDHUP | EPOLLERR | EPOLLHUP)) != 0) {
		on_readable(l);
		return;
	}
	if ((events & EPOLLOUT) != 0)
		evl_later(hlink_loop(l), &l->flush);
}

/* Not connected in time, or kept for long enough. */
static void
on_timer(struct evl_timer *t)
{
	struct hlink *l = CONTAINER_OF(t, struct hlink, timer);

	link_lost(l);
}

/* ------------------------------------------------------------------ */
/* Calls                                                               */
/* ------------------------------------------------------------------ */

static struct hlink *
link_new(struct hplace *place)
{
	struct hpool *p = place->pool;
	struct hlink *l = g_new0(struct hlink, 1);
	struct sockaddr_in to;

	l->place = place;
	l->state = LINK_CONNECTING;
	l->timer.fire = on_timer;
	l->flush.run = on_flush;
	l->fd = (struct evl_fd){ .fd = -1, .ready = on_ready };
	hparse_init(&l->parse, HTTP_RESPONSE, p->conf.head_bytes, on_body, l);
	LIST_INSERT_HEAD(&place->all, l, all);
	if (sock_address(place->address, &to))
		l->fd.fd = sock_dial(&to);
	if (l->fd.fd < 0) /* fails by its timer, from the loop */
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
	struct hplace *place = hplace_of(p, conf->address);
	struct hcall *c = g_new0(struct hcall, 1);
	struct hlink *l = hlink_take_idle(place);

	if (l == NULL)
		l = link_new(place);
	c->link = l;
	c->ops = conf->ops;
	c->ctx = conf->ctx;
	c->no_body = conf->no_body;
	l->call = c;
	l->parse.no_body = conf->no_body;
	hbuf_add(&l->out, conf->head, conf->head_len);
	hbuf_add(&l->out, conf->body, conf->body_len);
	if (l->state == LINK_BUSY)
		evl_later(p->conf.loop, &l->flush);
	return c;
}

void
hcall_skip(struct hcall *c)
{
	c->skip = true;
	c->link->spoilt = true;
}

void
hcall_spoil(struct hcall *c)
{
	if (c->link != NULL)
		c->link->spoilt = true;
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
hcall_kept(const struct hcall *c)
{
	return c->link != NULL && c->link->kept;
}
