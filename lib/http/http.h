#ifndef HTTP_H_PACKAGE
#define HTTP_H_PACKAGE

/*
 * http: an HTTP/1.1 server for callers' requests and a client for calls to
 * targets. All sockets are in one epoll set (evl), http-parser parses the
 * messages, an idle connection holds no buffers, and each connection is
 * written to at most once per wake-up. Time-outs per connection detect peers
 * that stop responding.
 *
 * Single-threaded. This module has no routing policy: its owner answers
 * requests (server) and starts calls (client).
 */

#include "http/evl.h"
#include "http/parse.h"

/* ------------------------------------------------------------------ */
/* Server                                                              */
/* ------------------------------------------------------------------ */

struct hserver;
/* A complete request, until it is answered or its caller disconnects. */
struct hreq;

/* Size and time limits of requests; they can change at any time. */
struct hlimits {
	size_t head_bytes; /* larger heads: 431 */
	size_t body_bytes; /* larger bodies: 413 */
	int64_t head_us; /* from the first to the last byte of a head: 408 */
	int64_t idle_us; /* between requests, and for a body from its head */
};

struct hserver_ops {
	/* A complete request was read. The owner answers now or later. */
	void (*request)(struct hreq *r, void *ctx);
	/* The caller disconnected, or closed its sending side, before the
	 * response was complete. `r` is freed after the callback. A request
	 * whose caller disconnects before it was read is not delivered. */
	void (*disconnected)(struct hreq *r, void *ctx);
	/* The output queued for a congested caller has shrunk: the source of
	 * its response can continue. */
	void (*drained)(struct hreq *r, void *ctx);
	/* The server refused a request before it was complete. */
	void (*refused)(unsigned int status, void *ctx);
	/* The server closed a connection with input that it had not read, or
	 * output that it had not sent, in bytes. NULL: not reported. */
	void (*dropped)(
	    const char *why, size_t unread, size_t unsent, void *ctx);
};

struct hserver_conf {
	struct evl *loop;
	const char *address; /* "ip:port" */
	const struct hlimits *limits; /* must outlive the server */
	unsigned int connections_max;
	/* Bytes of request bodies in memory, all connections; above it: 503. */
	size_t bodies_max;
	const struct hserver_ops *ops;
	void *ctx;
};

struct hserver *hserver_new(const struct hserver_conf *conf, struct err *err);
/* Stops accepting connections. Closes connections without a request at once
 * and the others after their response. */
void hserver_stop_listening(struct hserver *s);
/* Whether each response closes its connection (before a planned stop). */
void hserver_set_closing(struct hserver *s, bool closing);
unsigned int hserver_connections(const struct hserver *s);
/* Connections that wait for their next request, with no output queued. */
unsigned int hserver_idle_connections(const struct hserver *s);
/* Whether `connections_max` is reached: each new connection closes the one that
 * has been idle for the longest time, and waits while none is idle. */
bool hserver_is_full(const struct hserver *s);
void hserver_free(struct hserver *s); /* closes all connections */

const struct hmsg *hreq_msg(const struct hreq *r);
const void *hreq_body(const struct hreq *r, size_t *len_out);
/* Whether the caller has disconnected and the callback is still to come. */
bool hreq_has_left(const struct hreq *r);
int64_t hreq_started_us(const struct hreq *r); /* first byte read */
void hreq_set_ctx(struct hreq *r, void *ctx);
void *hreq_ctx(const struct hreq *r);
/* Frees the body, for use after it was forwarded. */
void hreq_drop_body(struct hreq *r);

/* `headers` are complete lines ("Name: value\r\n"...) without Content-Length,
 * Transfer-Encoding and Connection. hreq_answer(), hreq_end() and hreq_abort()
 * end the request. */
void hreq_answer(struct hreq *r, unsigned int status, const char *headers,
    const void *body, size_t len);
void hreq_begin(struct hreq *r, unsigned int status, const char *headers);
void hreq_write(struct hreq *r, const void *data, size_t len);
void hreq_end(struct hreq *r);
/* Closes the connection without completing the response. */
void hreq_abort(struct hreq *r);
bool hreq_begun(const struct hreq *r);
/* Too much output is queued for the caller: pause the source of the response
 * until `drained` is called. */
bool hreq_congested(const struct hreq *r);

/* ------------------------------------------------------------------ */
/* Client                                                              */
/* ------------------------------------------------------------------ */

struct hpool; /* connections by address, kept alive between calls */
struct hcall; /* one request to a target and its response */

enum hcall_failure {
	HCALL_UNREACHABLE, /* no connection: nothing was sent */
	HCALL_CLOSED, /* closed before the first byte of a response */
	HCALL_TRUNCATED, /* closed in order before the response ended */
	HCALL_RESET, /* connection lost within a response */
	HCALL_MALFORMED, /* not HTTP, or ambiguous */
	HCALL_TOO_LONG, /* more bytes than the call accepts */
	HCALL_FAILURES,
};

const char *hcall_failure_name(enum hcall_failure f);

struct hcall_ops {
	/* The head of a response was parsed. May call hcall_skip() or
	 * hcall_cancel(). */
	void (*head)(struct hcall *c, const struct hmsg *m, void *ctx);
	void (*body)(struct hcall *c, const void *data, size_t len, void *ctx);
	/* The response is complete. The call is freed after the callback. */
	void (*done)(struct hcall *c, void *ctx);
	/* `sent`: the target may have received the request. The call is freed
	 * after the callback. */
	void (*failed)(
	    struct hcall *c, enum hcall_failure why, bool sent, void *ctx);
};

struct hpool_conf {
	struct evl *loop;
	unsigned int idle_max; /* idle connections per address */
	int64_t connect_us; /* connect time-out */
	int64_t idle_us; /* idle connections are closed after this time */
	size_t head_bytes; /* largest head of a response */
};

struct hpool *hpool_new(const struct hpool_conf *conf);
void hpool_free(struct hpool *p); /* requires that no call is open */
/* Closes the connections to an address that is no longer used: idle ones now,
 * the others after their call. */
void hpool_remove_address(struct hpool *p, const char *address);
/* Closes all idle connections. */
void hpool_close_idle(struct hpool *p);
/* Number of connections opened since the pool was created. */
unsigned int hpool_opened(const struct hpool *p);

struct hcall_conf {
	const char *address;
	const void *head; /* request line, headers and empty line */
	size_t head_len;
	const void *body;
	size_t body_len;
	bool no_body; /* a HEAD request: the response has no body */
	size_t body_max; /* bytes; a longer body fails the call. 0: no limit */
	const struct hcall_ops *ops;
	void *ctx;
};

/* Copies the request. Never returns NULL: failures, also immediate ones, are
 * reported by `failed` from the loop. */
struct hcall *hcall_start(struct hpool *p, const struct hcall_conf *conf);
/* Closes the connection, by which the target notices. No callback follows. */
void hcall_cancel(struct hcall *c);
/* From `head`: this response belongs to an earlier request. Discards it and
 * waits for the next one. */
void hcall_skip(struct hcall *c);
/* From `head` or `body`: the rest of the body is of no use. Fails the call once
 * more than `rest` further bytes of it have arrived, and closes the connection
 * after it in any case. */
void hcall_limit_rest(struct hcall *c, size_t rest);
/* Closes the connection after this call instead of reusing it. */
void hcall_no_reuse(struct hcall *c);
/* Stops or resumes reading the response. */
void hcall_pause(struct hcall *c, bool paused);
bool hcall_sent(const struct hcall *c); /* some bytes were sent */
/* Whether the call runs on a connection that served an earlier call. */
bool hcall_is_reused(const struct hcall *c);

#endif
