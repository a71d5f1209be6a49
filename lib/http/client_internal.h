#ifndef HTTP_CLIENT_INTERNAL_H
#define HTTP_CLIENT_INTERNAL_H

/* Connections to targets (client_pool.c) and the calls on them (client.c). */

#include "http/http.h"

enum link_state {
	LINK_CONNECTING,
	LINK_BUSY,
	LINK_IDLE,
};

/* A connection to a target. */
struct hlink {
	struct evl_fd fd;
	struct evl_timer timer; /* connecting, or idle for too long */
	struct evl_task flush;
	TAILQ_ENTRY(hlink) link; /* in the idle list of its place */
	LIST_ENTRY(hlink) all; /* in its place */
	struct hplace *place;
	enum link_state state;
	struct hparse parse;
	struct hbuf out;
	struct hcall *call;
	int64_t keep_us; /* how long its target keeps it when idle */
	bool spoilt; /* not to be used again */
	bool kept; /* it served a call before */
};

/* One address. */
struct hplace {
	struct hpool *pool;
	char *address;
	TAILQ_HEAD(hlinks, hlink) idle; /* last used first */
	LIST_HEAD(hlinks_all, hlink) all;
	unsigned int nidle;
};

struct hpool {
	struct hpool_conf conf;
	GHashTable *places; /* address -> struct hplace */
	unsigned int opened;
};

struct hcall {
	struct hlink *link;
	const struct hcall_ops *ops;
	void *ctx;
	bool no_body;
	bool sent;
	bool got; /* a byte of an answer came */
	bool in_head; /* `head` is being called */
	bool skip; /* the present answer is not ours */
	bool cancelled; /* by its owner, from within a callback */
	bool paused;
};

static inline struct evl *
hlink_loop(const struct hlink *l)
{
	return l->place->pool->conf.loop;
}

/* Its connection is closed; a call on it must have ended. */
void hlink_free(struct hlink *l);
/* A kept connection, taken into use; NULL: there is none. */
struct hlink *hlink_take_idle(struct hplace *place);
struct hplace *hplace_of(struct hpool *p, const char *address);

#endif
