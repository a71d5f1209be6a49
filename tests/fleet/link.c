/* Callers' connections to gateways, kept open between calls. The one that was
 * used last is reused first; some are left idle for longer, up to four fifths of
 * their gateway's idle limit, and those of the crowd are apart. Answers are read
 * with raw_answer.h and not with lib/http, which the gateways use. */

#include <errno.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "fleet.h"

#define CONNECT_US 1000000
#define IDLE_US 3000000
/* Idleness up to which a connection may be reused, and bounds of that after
 * which a late one is, as parts of the gateway's limit. */
#define REUSE_PERCENT 80
#define LATE_MIN_PERCENT 50
#define LATE_MAX_PERCENT 76

struct fleet_link {
	LIST_ENTRY(fleet_link) idle; /* in fleet.idle_links */
	struct evl_fd fd;
	struct evl_timer timer; /* connect or idle time-out */
	struct fleet *f;
	size_t gateway;
	struct fleet_call *call; /* NULL: idle */
	GString *in; /* of the current answer */
	bool connected, crowd;
	bool kept; /* has been idle since its first call */
	int64_t reuse_us; /* not before; 0: at any time */
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
	g_free(c->id);
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

/* Draws whether the connection is reused late, and when. */
static void
draw_reuse(struct fleet_link *l, int64_t limit_us)
{
	struct fleet *f = l->f;
	int64_t percent;

	l->reuse_us = 0;
	if (l->crowd || f->late_one_in == 0 ||
	    rng_below(&f->late_rng, (uint64_t)f->late_one_in) != 0)
		return;
	percent = LATE_MIN_PERCENT +
	    (int64_t)rng_below(
		&f->late_rng, LATE_MAX_PERCENT - LATE_MIN_PERCENT + 1);
	l->reuse_us = evl_now_us(f->loop) + limit_us * percent / 100;
}

static void
keep(struct fleet_link *l)
{
	int64_t limit_us = fleet_settings_safe_idle_us();
	bool is_late;

	l->call = NULL;
	l->kept = true;
	g_string_truncate(l->in, 0);
	LIST_INSERT_HEAD(&l->f->idle_links, l, idle);
	draw_reuse(l, limit_us);
	is_late = l->crowd || l->reuse_us != 0;
	evl_timer_set(l->f->loop, &l->timer,
	    evl_now_us(l->f->loop) + (is_late ? limit_us : IDLE_US));
}

static void
check_unread(const struct fleet_link *l)
{
	const struct fleet_call *c = l->call;

	if (c->sent && c->idle_us >= 0 && l->in->len == 0 && c->end != RAW_OPEN)
		fleet_ends_unread(
		    l->f, c->id, l->gateway, c->sent_us, c->idle_us, c->end);
}

static void
call_ended(struct fleet_link *l)
{
	struct fleet_call *c = l->call;

	check_unread(l);
	if (c->answer.complete && may_be_reused(l))
		keep(l);
	else
		link_free(l);
	c->done(c, c->ctx);
	call_free(c);
}

/* Since the last byte arrived, as the kernel says: this process may read late
 * itself. */
static int64_t
idle_us(const struct fleet_link *l)
{
	struct tcp_info info = { 0 };
	socklen_t len = sizeof(info);

	g_assert(getsockopt(l->fd.fd, IPPROTO_TCP, TCP_INFO, &info, &len) == 0);
	return (int64_t)info.tcpi_last_data_recv * 1000;
}

static bool
is_idle_too_long(const struct fleet_link *l)
{
	return idle_us(l) > fleet_settings_safe_idle_us() * REUSE_PERCENT / 100;
}

static void
send_request(struct fleet_link *l)
{
	struct fleet_call *c = l->call;
	const char *text = c->request;

	/* Small enough for the buffer of a connection without output. */
	if (send(l->fd.fd, text, strlen(text), MSG_NOSIGNAL) < 0)
		c->end = RAW_RESET;
	else
		c->sent = true;
	c->sent_us = evl_now_us(l->f->loop);
	c->idle_us = l->kept && !is_idle_too_long(l) ? idle_us(l) : -1;
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

/* As callers do before they reuse a connection. */
static bool
is_closed_or_stale(const struct fleet_link *l)
{
	char byte;
	ssize_t n = recv(l->fd.fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);

	return n >= 0 || errno != EAGAIN || is_idle_too_long(l);
}

static bool
is_eligible(const struct fleet_link *l, size_t gateway, bool crowd)
{
	return l->gateway == gateway && l->crowd == crowd &&
	    l->reuse_us <= evl_now_us(l->f->loop);
}

/* Late ones first. */
static struct fleet_link *
find_idle(struct fleet *f, size_t gateway, bool crowd)
{
	struct fleet_link *l, *found = NULL;

	LIST_FOREACH (l, &f->idle_links, idle) {
		if (!is_eligible(l, gateway, crowd))
			continue;
		if (l->reuse_us != 0)
			return l;
		if (found == NULL)
			found = l;
	}
	return found;
}

static struct fleet_link *
take_idle(struct fleet *f, size_t gateway, bool crowd)
{
	struct fleet_link *l;

	while (
	    (l = find_idle(f, gateway, crowd)) != NULL && is_closed_or_stale(l))
		link_free(l);
	if (l == NULL)
		return NULL;
	LIST_REMOVE(l, idle);
	evl_timer_stop(f->loop, &l->timer);
	return l;
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
fleet_call_start(struct fleet *f, const struct fleet_call_conf *conf)
{
	struct fleet_link *l = take_idle(f, conf->gateway, conf->crowd);
	struct fleet_call *c = g_new0(struct fleet_call, 1);

	c->id = g_strdup(conf->id);
	c->request = g_strdup(conf->request);
	c->done = conf->done;
	c->ctx = conf->ctx;
	c->link = l != NULL ? l : dial(f, conf->gateway);
	c->link->crowd = conf->crowd;
	c->link->call = c;
	raw_answer_init(&c->answer);
	fleet_budget_sent(f, conf->request);
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
