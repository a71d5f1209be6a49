#ifndef TESTS_STORE_BED_H
#define TESTS_STORE_BED_H

/* Set-up that tests of the store's client share: a server in the test's loop that
 * takes the place of the store, and the pool of the client. */

#include "../http/loop.h"

static inline void
bed_ignore_drained(struct hreq *r, void *ctx)
{
}

static inline void
bed_ignore_refused(unsigned int status, void *ctx)
{
}

static inline void
bed_ignore_removed(const char *name, bool expired, void *ctx)
{
}

/* Listens on a free port, of which it stores the address. `limits` is borrowed. */
static inline struct hserver *
bed_server(struct evl *loop, char address[32], struct hlimits *limits,
    unsigned int connections_max, const struct hserver_ops *ops)
{
	struct err err = { 0 };
	struct hserver *s;

	g_snprintf(address, 32, "127.0.0.1:%u", free_port());
	s = hserver_new(&(struct hserver_conf){ .loop = loop,
			    .address = address,
			    .limits = limits,
			    .connections_max = connections_max,
			    .bodies_max = 10000,
			    .ops = ops },
	    &err);
	assert_non_null(s);
	return s;
}

static inline struct hpool *
bed_pool(struct evl *loop, int64_t connect_us, int64_t idle_us)
{
	return hpool_new(&(struct hpool_conf){ .loop = loop,
	    .idle_max = 4,
	    .connect_us = connect_us,
	    .idle_us = idle_us,
	    .head_bytes = 4096 });
}

#endif
