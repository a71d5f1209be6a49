#ifndef HTTP_CLIENT_INTERNAL_H
#define HTTP_CLIENT_INTERNAL_H

/* Connections to targets (client_pool.c) and calls on them (client.c). */

#include "http/http.h"

enum link_state {
	LINK_CONNECTING,
	LINK_BUSY,
	LINK_IDLE,
};

/* A connection to a target. */
struct hlink {
	struct evl_fd fd;
	struct evl_timer timer; /* connect or idle time-out */
	struct evl_task flush;
	TAILQ_ENTRY(hlink) link; /* in the `idle` list of the endpoint */
	LIST_ENTRY(hlink) all; /* in the `all` list of the endpoint */
	struct hendpoint *endpoint;
	enum link_state state;
	struct hparse parse;
	struct hbuf out;
	struct hcall *call;
	int64_t keep_alive_us; /* how long it may stay idle */
	bool no_reuse; /* close after the call */
	bool reused; /* it served an earlier call */
	bool reset; /* found in writing; reading ends as after a close */
};

/* An address and the connections to it. */
struct hendpoint {
	struct hpool *pool;
	char *address;
	TAILQ_HEAD(hlinks, hlink) idle; /* most recently used first */
	LIST_HEAD(hlinks_all, hlink) all;
	unsigned int nidle;
};

struct hpool {
	struct hpool_conf conf;
	GHashTable *endpoints; /* address -> struct hendpoint */
	unsigned int opened;
};

struct hcall {
	struct hlink *link;
	const struct hcall_ops *ops;
	void *ctx;
	bool no_body;
	bool sent;
	bool response_begun; /* a byte of the response was received */
	bool in_callback; /* `head` or `body` is being called */
	bool skip_response; /* discard the current response */
	bool cancelled; /* by the owner, from within a callback */
	bool paused;
	uint64_t body_max, body_bytes; /* of the current response */
	size_t received; /* bytes of all responses, discarded ones included */
	bool too_long; /* a limit was exceeded */
};

static inline struct evl *
hlink_loop(const struct hlink *l)
{
	return l->endpoint->pool->conf.loop;
}

/* Closes the connection; no call may be in progress on it. */
void hlink_free(struct hlink *l);
/* Takes an idle connection from the pool; NULL if there is none. */
struct hlink *hlink_take_idle(struct hendpoint *endpoint);
/* Finds or creates the endpoint of an address. */
struct hendpoint *hendpoint_get(struct hpool *p, const char *address);

#endif
