#ifndef HTTP_H_PACKAGE
#define HTTP_H_PACKAGE

/*
 * http: the lean HTTP/1.1 path for callers' requests and for calls to
 * targets. Sockets behind one epoll set (evl), http-parser for the bytes, no
 * allocation while a connection is idle, one write per connection and
 * wake-up. Connections that fall silent are found by their own time-outs.
 *
 * One thread. Nothing here decides what to serve: the owner answers requests
 * (server) and starts calls (client).
 */

#include "http/evl.h"
#include "http/parse.h"

/* ------------------------------------------------------------------ */
/* Server                                                              */
/* ------------------------------------------------------------------ */

struct hserver;
struct hreq; /* a whole request, until it is answered or its caller left */

/* What a caller may send and how long it may take; can change at any time. */
struct hlimits {
	size_t head_bytes; /* beyond it: 431 */
	size_t body_bytes; /* beyond it: 413 */
	int64_t head_us; /* from the head's first byte to its last: 408 */
	int64_t idle_us; /* between requests, and between bytes of a body */
};

struct hserver_ops {
	/* A request has been read whole. Answer now or later. */
	void (*request)(struct hreq *r, void *ctx);
	/* The caller left before its answer was whole; `r` is freed after. */
	void (*left)(struct hreq *r, void *ctx);
	/* Bytes queued for a congested caller have gone out. */
	void (*drained)(struct hreq *r, void *ctx);
	/* A request was refused here before it was whole. */
	void (*refused)(unsigned int status, void *ctx);
};

struct hserver_conf {
	struct evl *loop;
	const char *address; /* "ip:port" */
	const struct hlimits *limits; /* must outlive the server */
	unsigned int connections_max;
	/* Bodies being held over all connections; beyond it: 503. */
	size_t bodies_max;
	const struct hserver_ops *ops;
	void *ctx;
};

struct hserver *hserver_new(const struct hserver_conf *conf, struct err *err);
/* No new connections from now on. Those on which no request is under way are
 * closed, the others after their answer. */
void hserver_stop_listening(struct hserver *s);
/* From now on each answer ends its connection (a planned stop). */
void hserver_set_closing(struct hserver *s, bool closing);
unsigned int hserver_connections(const struct hserver *s);
void hserver_free(struct hserver *s); /* resets what is open */

const struct hmsg *hreq_msg(const struct hreq *r);
const void *hreq_body(const struct hreq *r, size_t *len_out);
int64_t hreq_started_us(const struct hreq *r); /* its first byte was read */
void hreq_set_ctx(struct hreq *r, void *ctx);
void *hreq_ctx(const struct hreq *r);
/* Lets go of the body's memory, once it was sent on. */
void hreq_drop_body(struct hreq *r);

/* `headers` are whole lines ("Name: value\r\n"...), without length and
 * connection. Each of these ends the request but hreq_begin and hreq_write. */
void hreq_answer(struct hreq *r, unsigned int status, const char *headers,
    const void *body, size_t len);
void hreq_begin(struct hreq *r, unsigned int status, const char *headers);
void hreq_write(struct hreq *r, const void *data, size_t len);
void hreq_end(struct hreq *r);
/* Closes the connection without the end of the answer. */
void hreq_abort(struct hreq *r);
bool hreq_begun(const struct hreq *r);
/* Too much is queued for the caller: hold the source until `drained`. */
bool hreq_congested(const struct hreq *r);

/* ------------------------------------------------------------------ */
/* Client                                                              */
/* ------------------------------------------------------------------ */

struct hpool; /* kept connections by address */
struct hcall; /* one request to a target and its answer */

enum hcall_failure {
	HCALL_UNREACHABLE, /* no connection: nothing was sent */
	HCALL_CLOSED, /* the connection ended before the answer's first byte */
	HCALL_BROKEN, /* bytes that are no answer, or an answer cut short */
	HCALL_FAILURES,
};

const char *hcall_failure_name(enum hcall_failure f);

struct hcall_ops {
	/* The head of an answer is there. May call hcall_skip or _cancel. */
	void (*head)(struct hcall *c, const struct hmsg *m, void *ctx);
	void (*body)(struct hcall *c, const void *data, size_t len, void *ctx);
	/* The answer is whole. The call is freed after. */
	void (*done)(struct hcall *c, void *ctx);
	/* `sent`: the target may have seen the request. Freed after. */
	void (*failed)(
	    struct hcall *c, enum hcall_failure why, bool sent, void *ctx);
};

struct hpool_conf {
	struct evl *loop;
	unsigned int idle_max; /* kept connections an address */
	int64_t connect_us; /* longest wait for a connection */
	int64_t idle_us; /* use none that was idle for longer */
	size_t head_bytes; /* largest head of an answer */
};

struct hpool *hpool_new(const struct hpool_conf *conf);
void hpool_free(struct hpool *p); /* no calls may be open */
/* Closes the kept connections to an address that is not used any more. */
void hpool_forget(struct hpool *p, const char *address);
/* Closes all kept connections on which no call is under way. */
void hpool_forget_idle(struct hpool *p);
unsigned int hpool_opened(const struct hpool *p); /* connections ever dialled */

struct hcall_conf {
	const char *address;
	const void *head; /* request line and headers with the empty line */
	size_t head_len;
	const void *body;
	size_t body_len;
	bool no_body; /* a HEAD request: the answer has no body */
	const struct hcall_ops *ops;
	void *ctx;
};

/* Copies the request. Never NULL; failures come by `failed` from the loop. */
struct hcall *hcall_start(struct hpool *p, const struct hcall_conf *conf);
/* Closes the connection, which tells the target; no callback follows. */
void hcall_cancel(struct hcall *c);
/* In `head`: this answer belongs to an earlier request; wait for the next. */
void hcall_skip(struct hcall *c);
/* The connection is not to be used again after this call. */
void hcall_spoil(struct hcall *c);
void hcall_pause(struct hcall *c, bool paused);
bool hcall_sent(const struct hcall *c); /* some bytes were handed over */
bool hcall_kept(const struct hcall *c); /* runs on a kept connection */

#endif
