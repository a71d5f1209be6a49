#ifndef HTTP_SERVER_INTERNAL_H
#define HTTP_SERVER_INTERNAL_H

/* Connections and requests, shared by server.c and server_answer.c. */

#include "http/http.h"

enum hreq_state {
	HREQ_READ, /* waiting for a request, or reading it */
	HREQ_BUSY, /* delivered to the owner, not answered yet */
	HREQ_FLUSH, /* answered; closes once all output is written */
	HREQ_LINGER, /* discards input until the caller closes */
};

/* A connection and its current request. */
struct hreq {
	struct evl_fd fd;
	struct evl_timer timer;
	struct evl_task flush;
	LIST_ENTRY(hreq) link;
	TAILQ_ENTRY(hreq) idle_link;
	bool is_idle; /* in hserver.idle */
	struct hserver *server;
	enum hreq_state state;
	struct hparse parse;
	struct hbuf in; /* bytes already read of the next request */
	struct hbuf body;
	struct hbuf out;
	void *ctx;
	int64_t started_us;
	int64_t idle_since_us; /* the last response was sent, or accepted */
	size_t body_max; /* as the limits were when the request began */
	size_t body_bytes_counted; /* bytes included in hserver.bodies */
	bool begun; /* the head of the response was queued */
	bool chunked; /* the response uses chunked encoding */
	bool close_after; /* close after the response */
	bool congested;
	bool too_large;
};

struct hserver {
	struct hserver_conf conf;
	struct evl_fd fd;
	LIST_HEAD(hreqs, hreq) reqs;
	/* Connections that wait for their next request, with no output queued;
	 * the one that has waited for the longest time first. */
	TAILQ_HEAD(hreqs_idle, hreq) idle;
	unsigned int connections;
	size_t bodies; /* bytes of request bodies in memory */
	bool closing;
};

static inline struct evl *
hreq_loop(const struct hreq *r)
{
	return r->server->conf.loop;
}

/* server.c */
void hreq_set_idle(struct hreq *r, bool idle);
void hreq_destroy(struct hreq *r);
/* The caller disconnected: calls hserver_ops.disconnected, if the owner has not
 * answered the request completely, and frees the request. The callback is
 * called once, as the request is freed after it. */
void hreq_disconnected(struct hreq *r);
/* Sets the events to wait for according to the state. */
void hreq_watch(struct hreq *r);
/* Parses bytes that were received together with an earlier request. */
void hreq_read_ahead(struct hreq *r);

/* Whether input waits to be read or parsed; the end of the input counts. */
bool hreq_has_input(const struct hreq *r);
/* The connection waits for its next request: starts the idle time-out. */
void hreq_await_request(struct hreq *r);

/* server_answer.c */
void hreq_continue(struct hreq *r); /* sends "100 Continue" */
void hreq_flush(struct evl_task *task);
/* Closes the connection once all output is written. */
void hreq_close_after_flush(struct hreq *r);

#endif
