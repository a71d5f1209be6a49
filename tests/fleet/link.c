/* Callers' connections to gateways, kept open between calls. Answers are read
 * with raw_answer.h and not with lib/http, which the gateways use. */

#include <errno.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "fleet.h"

#define CONNECT_US 1000000
#define IDLE_US 3000000

struct fleet_link {
	LIST_ENTRY(fleet_link) idle; /* in fleet.idle_links */
	struct evl_fd fd;
	struct evl_timer timer; /* connect or idle time-out */
	struct fleet *f;
	size_t gateway;
	struct fleet_call *call; /* NULL: idle */
	GString *in; /* of the current answer */
	bool connected;
};

static void
link_free(struct fleet_link *l)
{
	if (l->call == NULL)
		LIST_REMOVE(l, idle);
	evl_unwatch(l->f->loop, &l->fd);
	evl_timer_stop(l->f->loop, &l->timer);
	close(l->fd.fd);
	g_string_free(l->in, TRUE);
	g_free(l);
}

static void
call_free(struct fleet_call *c)
{
	g_free(c->request);
	raw_answer_clear(&c->answer);
	g_free(c);
}

static bool
may_be_reused(const struct fleet_link *l)
{
	char *connection = raw_answer_header(&l->call->answer, "Connection");
	bool closes =
	    connection != NULL && g_ascii_strcasecmp(connection, "close") == 0;

	g_free(connection);
	return !closes && l->call->end == RAW_OPEN;
}

static void
call_ended(struct fleet_link *l)
{
	struct fleet_call *c = l->call;

	if (c->answer.complete && may_be_reused(l)) {
		l->call = NULL;
		g_string_truncate(l->in, 0);
		LIST_INSERT_HEAD(&l->f->idle_links, l, idle);
		evl_timer_set(
		    l->f->loop, &l->timer, evl_now_us(l->f->loop) + IDLE_US);
	} else
		link_free(l);
	c->done(c, c->ctx);
	call_free(c);
}

static void
send_request(struct fleet_link *l)
{
	const char *text = l->call->request;

	/* Small enough for the buffer of a connection without output. */
	if (send(l->fd.fd, text, strlen(text), MSG_NOSIGNAL) < 0)
		l->call->end = RAW_RESET;
	else
		l->call->sent = true;
}

static void
read_answer(struct fleet_link *l)
{
	struct fleet_call *c = l->call;
	char buffer[16384];
	ssize_t n = recv(l->fd.fd, buffer, sizeof(buffer), 0);

	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (n > 0)
		g_string_append_len(l->in, buffer, n);
	else
		c->end = n == 0 ? RAW_CLOSED : RAW_RESET;
	raw_answer_parse(&c->answer, l->in, c->end);
	if (c->answer.complete || c->answer.malformed || c->end != RAW_OPEN)
		call_ended(l);
}

static void
on_ready(struct evl_fd *fd, uint32_t events)
{
	struct fleet_link *l = CONTAINER_OF(fd, struct fleet_link, fd);

	/* Closed by the gateway, or bytes that belong to no answer. */
	if (l->call == NULL) {
		link_free(l);
		return;
	}
	if (!l->connected && (events & EPOLLOUT) != 0) {
		l->connected = true;
		evl_timer_stop(l->f->loop, &l->timer);
		send_request(l);
		evl_watch(l->f->loop, &l->fd, EPOLLIN);
	}
	if ((events & (EPOLLIN | EPOLLHUP | EPOLLERR)) != 0)
		read_answer(l);
}

static void
on_timer(struct evl_timer *t)
{
	struct fleet_link *l = CONTAINER_OF(t, struct fleet_link, timer);

	if (l->call == NULL)
		link_free(l);
	else
		call_ended(l);
}

static struct fleet_link *
take_idle(struct fleet *f, size_t gateway)
{
	struct fleet_link *l;

	LIST_FOREACH (l, &f->idle_links, idle) {
		if (l->gateway != gateway)
			continue;
		LIST_REMOVE(l, idle);
		evl_timer_stop(f->loop, &l->timer);
		return l;
	}
	return NULL;
}

static struct fleet_link *
dial(struct fleet *f, size_t gateway)
{
	struct fleet_link *l = g_new0(struct fleet_link, 1);
	struct sockaddr_in at;

	l->f = f;
	l->gateway = gateway;
	l->in = g_string_new(NULL);
	l->timer.fire = on_timer;
	g_assert(sock_parse(f->gateways[gateway], &at));
	l->fd = (struct evl_fd){ .fd = sock_dial(&at), .ready = on_ready };
	g_assert(l->fd.fd >= 0);
	evl_watch(f->loop, &l->fd, EPOLLOUT);
	evl_timer_set(f->loop, &l->timer, evl_now_us(f->loop) + CONNECT_US);
	return l;
}

struct fleet_call *
fleet_call_start(struct fleet *f, size_t gateway, const char *request,
    void (*done)(struct fleet_call *c, void *ctx), void *ctx)
{
	struct fleet_link *l = take_idle(f, gateway);
	struct fleet_call *c = g_new0(struct fleet_call, 1);

	c->request = g_strdup(request);
	c->done = done;
	c->ctx = ctx;
	c->link = l != NULL ? l : dial(f, gateway);
	c->link->call = c;
	raw_answer_init(&c->answer);
	if (l != NULL)
		send_request(l);
	return c;
}

void
fleet_call_cancel(struct fleet_call *c)
{
	link_free(c->link);
	call_free(c);
}
