/* The HTTP server: building and writing responses. */

#include <errno.h>
#include <string.h>
#include <sys/socket.h>

#include "http/server_internal.h"

/* Bytes queued for one caller above which the source of its response is
 * paused. */
#define CONGESTED_BYTES (128u << 10)
/* A caller that takes none of the bytes queued for it for this long after its
 * response has gone. */
#define SEND_TIMEOUT_US 10000000
/* How long input is read and discarded after the last response. Closing a
 * socket with unread input, such as the rest of a refused request, resets the
 * connection, and the caller loses the response. */
#define LINGER_US 1000000

static struct hreq *
from_flush(struct evl_task *t)
{
	return CONTAINER_OF(t, struct hreq, flush);
}

/* ------------------------------------------------------------------ */
/* Writing                                                             */
/* ------------------------------------------------------------------ */

static void
linger(struct hreq *r)
{
	r->state = HREQ_LINGER;
	shutdown(r->fd.fd, SHUT_WR);
	evl_timer_set(
	    hreq_loop(r), &r->timer, evl_now_us(hreq_loop(r)) + LINGER_US);
}

/* Starts the time-out that ends with the next byte sent. */
static void
await_sending(struct hreq *r)
{
	evl_timer_set(hreq_loop(r), &r->timer,
	    evl_now_us(hreq_loop(r)) + SEND_TIMEOUT_US);
}

/* The response is queued completely; no further request has begun. */
static bool
is_answered(const struct hreq *r)
{
	return r->state == HREQ_FLUSH ||
	    (r->state == HREQ_READ && r->started_us == 0);
}

/* Writes queued output. Returns false if the connection was closed. */
static bool
write_out(struct hreq *r)
{
	size_t before = hbuf_left(&r->out);
	ssize_t n;

	while (hbuf_left(&r->out) > 0) {
		n = send(r->fd.fd, hbuf_front(&r->out), hbuf_left(&r->out),
		    MSG_NOSIGNAL);
		if (n < 0 && errno == EINTR)
			continue;
		if (n < 0 && errno == EAGAIN)
			break;
		if (n < 0) {
			hreq_disconnected(r);
			return false;
		}
		hbuf_consume(&r->out, (size_t)n);
	}
	if (is_answered(r) && hbuf_left(&r->out) < before) {
		if (r->state == HREQ_READ && hbuf_left(&r->out) == 0)
			hreq_await_request(r);
		else
			await_sending(r);
	}
	if (r->congested && hbuf_left(&r->out) < CONGESTED_BYTES / 2) {
		r->congested = false;
		if (r->state == HREQ_BUSY)
			r->server->conf.ops->drained(r, r->server->conf.ctx);
	}
	return true;
}

void
hreq_flush(struct evl_task *task)
{
	struct hreq *r = from_flush(task);

	if (!write_out(r))
		return;
	if (r->state == HREQ_FLUSH && hbuf_left(&r->out) == 0)
		linger(r);
	hreq_watch(r);
	if (r->state != HREQ_READ)
		return;
	if (hbuf_left(&r->in) > 0)
		hreq_read_ahead(r);
	else if (r->started_us == 0 && hbuf_left(&r->out) == 0)
		hreq_set_idle(r, true);
}

static void
queue(struct hreq *r, const void *data, size_t len)
{
	hbuf_add(&r->out, data, len);
	if (hbuf_left(&r->out) > CONGESTED_BYTES)
		r->congested = true;
	evl_defer(hreq_loop(r), &r->flush);
}

static void
queue_text(struct hreq *r, const char *text)
{
	queue(r, text, strlen(text));
}

void
hreq_continue(struct hreq *r)
{
	queue_text(r, "HTTP/1.1 100 Continue\r\n\r\n");
}

/* ------------------------------------------------------------------ */
/* Responses                                                           */
/* ------------------------------------------------------------------ */

static void
queue_head(struct hreq *r, unsigned int status, const char *headers)
{
	char line[64];

	g_snprintf(line, sizeof(line), "HTTP/1.1 %u %s\r\n", status,
	    http_status_str(status));
	queue_text(r, line);
	queue_text(r, headers);
	if (r->server->closing || !r->parse.msg.keep_alive)
		r->close_after = true;
	if (r->close_after)
		queue_text(r, "Connection: close\r\n");
	else if (r->parse.msg.http10)
		queue_text(r, "Connection: keep-alive\r\n");
	r->begun = true;
}

void
hreq_close_after_flush(struct hreq *r)
{
	hreq_set_idle(r, false);
	r->state = HREQ_FLUSH;
	hbuf_free(&r->in);
	await_sending(r);
	evl_defer(hreq_loop(r), &r->flush);
}

/* The response is queued completely: wait for the next request, or close. */
static void
finish(struct hreq *r)
{
	hreq_drop_body(r);
	hparse_reset(&r->parse);
	r->begun = false;
	r->ctx = NULL;
	r->congested = false;
	/* A stream that began before the server stopped listening has no
	 * "Connection: close". If the connection stayed open, the caller
	 * could send its next request to a process that is about to exit, and
	 * that request would be lost. One that it has sent already is answered
	 * first. */
	if (r->server->fd.fd < 0 && !hreq_has_input(r))
		r->close_after = true;
	if (r->close_after) {
		hreq_close_after_flush(r);
		return;
	}
	r->state = HREQ_READ;
	r->started_us = 0;
	await_sending(r);
	evl_defer(hreq_loop(r), &r->flush);
}

static bool
status_has_no_body(unsigned int status)
{
	return status == 204 || status == 304;
}

void
hreq_answer(struct hreq *r, unsigned int status, const char *headers,
    const void *body, size_t len)
{
	bool head_only = r->parse.msg.method != NULL &&
	    strcmp(r->parse.msg.method, "HEAD") == 0;
	char line[64];

	g_assert(r->state == HREQ_BUSY && !r->begun);
	queue_head(r, status, headers);
	if (status_has_no_body(status)) {
		queue_text(r, "\r\n");
		finish(r);
		return;
	}
	g_snprintf(line, sizeof(line), "Content-Length: %zu\r\n\r\n", len);
	queue_text(r, line);
	if (!head_only)
		queue(r, body, len);
	finish(r);
}

void
hreq_begin(struct hreq *r, unsigned int status, const char *headers)
{
	g_assert(r->state == HREQ_BUSY && !r->begun);
	/* HTTP/1.0 has no chunked encoding: closing the connection ends the
	 * body. */
	r->chunked = !r->parse.msg.http10;
	if (!r->chunked)
		r->close_after = true;
	queue_head(r, status, headers);
	queue_text(
	    r, r->chunked ? "Transfer-Encoding: chunked\r\n\r\n" : "\r\n");
}

void
hreq_write(struct hreq *r, const void *data, size_t len)
{
	char line[24];

	g_assert(r->state == HREQ_BUSY && r->begun);
	if (len == 0)
		return;
	if (r->chunked) {
		g_snprintf(line, sizeof(line), "%zx\r\n", len);
		queue_text(r, line);
	}
	queue(r, data, len);
	if (r->chunked)
		queue(r, "\r\n", 2);
}

void
hreq_end(struct hreq *r)
{
	g_assert(r->state == HREQ_BUSY && r->begun);
	if (r->chunked)
		queue(r, "0\r\n\r\n", 5);
	finish(r);
}

void
hreq_abort(struct hreq *r)
{
	struct linger reset = { .l_onoff = 1, .l_linger = 0 };

	g_assert(r->state == HREQ_BUSY);
	/* Writes queued output as far as possible. A response without chunks
	 * would look complete after an orderly close, so it ends in a reset. */
	if (hbuf_left(&r->out) > 0)
		(void)send(r->fd.fd, hbuf_front(&r->out), hbuf_left(&r->out),
		    MSG_NOSIGNAL);
	if (r->begun && !r->chunked)
		(void)setsockopt(
		    r->fd.fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
	r->state = HREQ_FLUSH;
	hreq_destroy(r);
}

bool
hreq_begun(const struct hreq *r)
{
	return r->begun;
}

bool
hreq_congested(const struct hreq *r)
{
	return r->congested;
}
