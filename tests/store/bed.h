#ifndef TESTS_STORE_BED_H
#define TESTS_STORE_BED_H

/* Set-up that tests of the store's client share: a server in the test's loop that
 * takes the place of the store, and the pool of the client. */

#include "../http/loop.h"
#include "store/store.h"

/* The bounds of the users' deployments: within these a stalled connection is
 * detected, and a change of the settings is known. */
#define BED_STALL_TIMEOUT_US 3000000
#define BED_CHANGE_BOUND_US 2000000

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

/* Listens on this address. `limits` is borrowed, `ctx` is that of `ops`. */
static inline struct hserver *
bed_server_at(struct evl *loop, const char *address, struct hlimits *limits,
    unsigned int connections_max, const struct hserver_ops *ops, void *ctx)
{
	struct err err = { 0 };
	struct hserver *s;

	s = hserver_new(&(struct hserver_conf){ .loop = loop,
			    .address = address,
			    .limits = limits,
			    .connections_max = connections_max,
			    .bodies_max = 10000,
			    .ops = ops,
			    .ctx = ctx },
	    &err);
	assert_non_null(s);
	return s;
}

/* The same on a free port, of which it stores the address. */
static inline struct hserver *
bed_server(struct evl *loop, char address[32], struct hlimits *limits,
    unsigned int connections_max, const struct hserver_ops *ops)
{
	g_snprintf(address, 32, "127.0.0.1:%u", free_port());
	return bed_server_at(loop, address, limits, connections_max, ops, NULL);
}

/* ------------------------------------------------------------------ */
/* A store of the users' kinds, with one object each                   */
/* ------------------------------------------------------------------ */

enum bed_kind {
	BED_SERVERS,
	BED_CONFIG,
	BED_VERSIONS,
	BED_KINDS
};

static const struct store_kind bed_kinds[BED_KINDS] = {
	[BED_SERVERS] = { .name = "servers",
	    .batch_delay_us = 400000,
	    .free = g_free },
	[BED_CONFIG] = { .name = "config",
	    .newest_only = true,
	    .batch_delay_us = 150000,
	    .free = g_free },
	[BED_VERSIONS] = { .name = "versions",
	    .batch_delay_us = 100000,
	    .free = g_free },
};

static inline char *
bed_list_path(const struct store_kind *kind, const char *after)
{
	return g_strdup_printf("/%s", kind->name);
}

static inline char *
bed_watch_path(const struct store_kind *kind, int64_t since, int64_t wait_ms)
{
	return g_strdup_printf("/%s?watch=%" G_GINT64_FORMAT
			       "&wait=%" G_GINT64_FORMAT,
	    kind->name, since, wait_ms);
}

/* A call with one of these paths. */
struct bed_call {
	enum bed_kind kind;
	bool is_watch;
	int64_t since, wait_us; /* of a watch */
};

static inline struct bed_call
bed_call_of(const struct hreq *r)
{
	char *target = hslice_dup(hreq_msg(r)->target);
	const char *since = strstr(target, "watch=");
	const char *wait = strstr(target, "wait=");
	struct bed_call call = { .is_watch = since != NULL };

	while (call.kind < BED_KINDS - 1 &&
	    !g_str_has_prefix(target + 1, bed_kinds[call.kind].name))
		call.kind++;
	if (call.is_watch) {
		call.since = g_ascii_strtoll(since + 6, NULL, 10);
		call.wait_us = g_ascii_strtoll(wait + 5, NULL, 10) * 1000;
	}
	g_free(target);
	return call;
}

/* Appends the object of a kind, whose value is its revision. */
static inline void
bed_add_object(struct store_page *out, int64_t revision)
{
	struct store_item item = { .name = g_strdup("main"),
		.revision = revision,
		.value = g_memdup2(&revision, sizeof(revision)) };

	g_array_append_vals(out->items, &item, 1);
	/* cppcheck-suppress memleak ; the page has the item now */
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
