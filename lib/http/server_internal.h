#ifndef HTTP_SERVER_INTERNAL_H
#define HTTP_SERVER_INTERNAL_H

/* What the files of the server side share: a connection and its request. */

#include "http/http.h"

enum hreq_state {
	HREQ_READ, /* waiting for a request, or reading it */
	HREQ_BUSY, /* the owner has it */
	HREQ_FLUSH, /* answered; closes when all is written */
	HREQ_LINGER, /* written; reads and drops until the caller closes */
};

/* A connection; it stands for its present request. */
struct hreq {
	struct evl_fd fd;
	struct evl_timer timer;
	struct evl_task flush;
	LIST_ENTRY(hreq) link;
	struct hserver *server;
	enum hreq_state state;
	struct hparse parse;
	struct hbuf in; /* read ahead, of the next request */
	struct hbuf body;
	struct hbuf out;
	void *ctx;
	int64_t started_us;
	size_t body_counted; /* of this body in the server's sum */
	bool begun; /* the head of the answer was queued */
	bool chunked; /* the answer's body goes in chunks */
	bool close_after; /* this answer ends the connection */
	bool congested;
	bool too_large;
};

struct hserver {
	struct hserver_conf conf;
	struct evl_fd fd;
	LIST_HEAD(hreqs, hreq) reqs;
	unsigned int connections;
	size_t bodies; /* bytes held over all connections */
	bool closing;
};

static inline struct evl *
hreq_loop(const struct hreq *r)
{
	return r->server->conf.loop;
}

/* server.c */
void hreq_destroy(struct hreq *r);
void hreq_leave(struct hreq *r); /* the caller is gone: its owner is told */
void hreq_watch(struct hreq *r); /* for what its state waits for */
void hreq_read_ahead(struct hreq *r); /* bytes that came with an earlier one */

/* server_answer.c */
void hreq_continue(struct hreq *r); /* "send the body": not the answer */
void hreq_flush(struct evl_task *task);
void hreq_end_written(struct hreq *r); /* closes when all is written */

#endif
