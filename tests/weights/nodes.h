#ifndef TESTS_WEIGHTS_NODES_H
#define TESTS_WEIGHTS_NODES_H

/*
 * Small rollouts in one process for the tests of the driver: real connections
 * on loopback and an origin that responds from memory.
 */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <gio/gio.h>
#include <stdio.h>
#include <string.h>

#include "weights/xfer.h"

#define NODES_MAX 16
#define TIMEOUT_MS 20000 /* a test that hangs fails after this time */

/* A model of `chunks` chunks of 4 KB; `seed` decides the bytes. */
struct model {
	struct wts_version version;
	GByteArray *bytes;
	GByteArray *list;
};

struct origin_read {
	TAILQ_ENTRY(origin_read) link;
	struct fake_origin *origin;
	origin_read_cb *done;
	void *ctx;
	GBytes *bytes;
	guint source;
	char name[WTS_NAME_MAX + 1];
	uint64_t offset;
};

struct fake_origin {
	const struct model *models;
	size_t nmodels;
	unsigned int delay_ms; /* average delay of a response */
	struct rng rng;
	unsigned int corrupt; /* number of next responses to corrupt */
	bool down;
	bool hold_weights; /* reads of weights are not answered while set */
	uint64_t bytes_sent; /* bytes of weights, without lists */
	unsigned int reads;
	TAILQ_HEAD(open_list, origin_read) open;
};

struct node {
	char id[16];
	char domain[8];
	char address[32];
	struct conn_node self;
	struct conn_server *server;
	GHashTable *conns; /* accepted and open */
	struct wts *wts;
	/* In place of `wts`: a host that violates the protocol. */
	void (*fake)(struct node *n, struct conn *c, const struct msg *m);
	void *fake_ctx;
};

struct nodes {
	struct fake_origin origin;
	struct node node[NODES_MAX];
	size_t n;
	uint64_t rate; /* bytes per second of each link */
	uint64_t memory;
};

static const uint8_t nodes_key[] = "0123456789abcdef";

static inline void
model_init(struct model *m, const char *name, uint64_t chunks, uint64_t seed)
{
	struct rng rng;
	uint64_t i;

	memset(m, 0, sizeof(*m));
	m->bytes = g_byte_array_new();
	m->list = g_byte_array_new();
	rng_seed(&rng, seed);
	/* The last chunk is short. */
	for (i = 0; i < chunks * WTS_CHUNK_MIN - 100; i += 4) {
		uint32_t word = (uint32_t)rng_next(&rng);

		g_byte_array_append(m->bytes, (guint8 *)&word, sizeof(word));
	}
	m->version.bytes = m->bytes->len;
	m->version.chunk_bytes = WTS_CHUNK_MIN;
	snprintf(m->version.weights, WTS_NAME_MAX, "%s.weights", name);
	snprintf(m->version.chunks, WTS_NAME_MAX, "%s.chunks", name);
}

static inline void
model_compute_root(struct model *m)
{
	uint64_t i;

	g_byte_array_set_size(m->list, 0);
	for (i = 0; i < wts_chunk_count(&m->version); i++) {
		struct digest digest;

		digest_of(m->bytes->data + i * WTS_CHUNK_MIN,
		    version_chunk_len(&m->version, i), &digest);
		g_byte_array_append(m->list, digest.bytes, DIGEST_BYTES);
	}
	wts_root(m->version.bytes, m->version.chunk_bytes, m->list->data,
	    m->list->len, &m->version.root);
}

static inline void
model_free(struct model *m)
{
	g_byte_array_unref(m->bytes);
	g_byte_array_unref(m->list);
}

/* ------------------------------------------------------------------ */
/* Origin                                                              */
/* ------------------------------------------------------------------ */

static inline void
fake_free(struct origin_read *r)
{
	TAILQ_REMOVE(&r->origin->open, r, link);
	if (r->source != 0)
		g_source_remove(r->source);
	g_clear_pointer(&r->bytes, g_bytes_unref);
	g_free(r);
}

static inline gboolean
fake_answer(gpointer data)
{
	struct origin_read *r = data;
	origin_read_cb *done = r->done;
	void *ctx = r->ctx;
	struct err err;
	GBytes *bytes;

	if (r->origin->hold_weights && g_str_has_suffix(r->name, ".weights"))
		return G_SOURCE_CONTINUE;
	bytes = g_steal_pointer(&r->bytes);

	r->source = 0;
	err_set(&err, ERR_UNAVAILABLE, VERDICT_NOT_RUN, "down");
	if (r->origin->down)
		g_clear_pointer(&bytes, g_bytes_unref);
	fake_free(r);
	done(bytes, bytes == NULL ? &err : NULL, ctx);
	g_clear_pointer(&bytes, g_bytes_unref);
	return G_SOURCE_REMOVE;
}

static inline GBytes *
fake_bytes(const struct fake_origin *o, const char *name, uint64_t offset,
    uint64_t len)
{
	size_t i;

	for (i = 0; i < o->nmodels; i++) {
		const struct model *m = &o->models[i];

		if (strcmp(m->version.weights, name) == 0)
			return g_bytes_new(m->bytes->data + offset, len);
		if (strcmp(m->version.chunks, name) == 0)
			return g_bytes_new(m->list->data + offset, len);
	}
	fail_msg("no object %s", name);
	return NULL;
}

static inline struct origin_read *
fake_start(const char *name, uint64_t offset, uint64_t len,
    unsigned int stall_ms, origin_read_cb *done, void *done_ctx, void *ctx)
{
	struct fake_origin *o = ctx;
	struct origin_read *r = g_new0(struct origin_read, 1);

	r->origin = o;
	r->done = done;
	r->ctx = done_ctx;
	r->offset = offset;
	g_strlcpy(r->name, name, sizeof(r->name));
	r->bytes = fake_bytes(o, name, offset, len);
	if (o->corrupt > 0) {
		gsize n;
		uint8_t *data = g_bytes_unref_to_data(r->bytes, &n);

		data[n / 2] ^= 1;
		r->bytes = g_bytes_new_take(data, n);
		o->corrupt--;
	}
	o->reads++;
	if (!o->down && g_str_has_suffix(name, ".weights"))
		o->bytes_sent += len;
	TAILQ_INSERT_TAIL(&o->open, r, link);
	/* Varied delays; with equal ones all hosts would choose their next
	 * chunk at the same time, before the others' claims arrive. */
	r->source = g_timeout_add(
	    o->delay_ms / 2 + (guint)rng_below(&o->rng, o->delay_ms + 1),
	    fake_answer, r);
	return r;
}

static inline void
fake_cancel(struct origin_read *read, void *ctx)
{
	fake_free(read);
}

/* ------------------------------------------------------------------ */
/* Nodes                                                               */
/* ------------------------------------------------------------------ */

static inline void
node_message(struct conn *c, const struct msg *m, void *ctx)
{
	struct node *n = ctx;

	if (n->wts != NULL)
		assert_true(wts_message(n->wts, c, m));
	else if (n->fake != NULL)
		n->fake(n, c, m);
}

static inline void
node_drained(struct conn *c, void *ctx)
{
	struct node *n = ctx;

	if (n->wts != NULL)
		wts_drained(n->wts, c);
}

static inline void
node_closed(struct conn *c, const struct err *why, void *ctx)
{
	struct node *n = ctx;

	g_hash_table_remove(n->conns, c);
	if (n->wts != NULL)
		wts_closed(n->wts, c);
}

static const struct conn_ops node_ops = {
	.message = node_message,
	.drained = node_drained,
	.closed = node_closed,
};

static inline const struct conn_ops *
node_accepted(struct conn *c, void **ctx_out, void *ctx)
{
	struct node *n = ctx;

	g_hash_table_add(n->conns, c);
	*ctx_out = n;
	return &node_ops;
}

static inline void
node_start(struct nodes *s, size_t i)
{
	struct node *n = &s->node[i];
	struct wts_ops ops = { 0 };
	struct wts_source source = {
		.start = fake_start,
		.cancel = fake_cancel,
		.ctx = &s->origin,
	};
	struct wts_conf conf = {
		.id = n->id,
		.domain = n->domain,
		.origin = "",
		.download_bytes_s = s->rate,
		.upload_bytes_s = s->rate,
		.memory_bytes = s->memory,
		.seed = 1,
		.node = &n->self,
	};

	n->wts = wts_new_from(&conf, &ops, n, &source);
}

static inline void
nodes_start(struct nodes *s, size_t count)
{
	size_t i;

	s->n = count;
	TAILQ_INIT(&s->origin.open);
	for (i = 0; i < count; i++) {
		struct node *n = &s->node[i];

		snprintf(n->id, sizeof(n->id), "h%02zu", i);
		snprintf(n->domain, sizeof(n->domain), "d%zu", i % 3);
		n->self = (struct conn_node){
			.id = n->id,
			.key = nodes_key,
			.key_len = 16,
			.clock = clk_system(),
			.counters = ctr_set_new(),
		};
		n->conns = g_hash_table_new(NULL, NULL);
		n->server = conn_listen(
		    &n->self, "127.0.0.1:0", node_accepted, n, NULL);
		assert_non_null(n->server);
		snprintf(n->address, sizeof(n->address), "127.0.0.1:%u",
		    conn_server_port(n->server));
		node_start(s, i);
	}
}

/* Simulates the failure of a host: its connections close, and its state is
 * lost. */
static inline void
node_kill(struct node *n)
{
	GHashTableIter iter;
	gpointer c;

	if (n->wts != NULL)
		wts_free(g_steal_pointer(&n->wts));
	g_hash_table_iter_init(&iter, n->conns);
	while (g_hash_table_iter_next(&iter, &c, NULL))
		conn_close(c);
}

static inline void
nodes_want(struct nodes *s, size_t i, const struct model *m,
    unsigned int copies, size_t nmembers)
{
	struct wts_want want = {
		.version = m->version,
		.policy = copies > 1 ? WTS_TIME_FIRST : WTS_ORIGIN_FIRST,
		.origin_copies = copies,
	};
	struct wts_peer peers[NODES_MAX];
	size_t k;

	for (k = 0; k < nmembers; k++) {
		peers[k] = (struct wts_peer){ s->node[k].id, s->node[k].address,
			s->node[k].domain };
	}
	assert_true(wts_want(s->node[i].wts, &want, NULL));
	wts_set_peers(s->node[i].wts, &m->version.root, peers, nmembers);
}

static inline void
nodes_want_all(struct nodes *s, const struct model *m, unsigned int copies)
{
	size_t i;

	for (i = 0; i < s->n; i++) {
		if (s->node[i].wts != NULL)
			nodes_want(s, i, m, copies, s->n);
	}
}

static inline bool
node_complete(const struct node *n, const struct model *m)
{
	struct wts_progress p;

	wts_progress(n->wts, &m->version.root, &p);
	return p.phase == WTS_COMPLETE;
}

static inline bool
nodes_complete(const struct nodes *s, const struct model *m)
{
	size_t i;

	for (i = 0; i < s->n; i++) {
		if (s->node[i].wts != NULL && !node_complete(&s->node[i], m))
			return false;
	}
	return true;
}

static inline gboolean
nodes_on_timeout(gpointer data)
{
	*(bool *)data = true;
	return G_SOURCE_REMOVE;
}

/* Runs the loop until `done`; fails the test if that takes too long. */
static inline void
nodes_run_until(struct nodes *s,
    bool (*done)(const struct nodes *s, const struct model *m),
    const struct model *m)
{
	bool timed_out = false;
	guint timer = g_timeout_add(TIMEOUT_MS, nodes_on_timeout, &timed_out);
	struct wts_progress p;
	size_t i;

	while (!done(s, m) && !timed_out)
		g_main_context_iteration(NULL, TRUE);
	if (!timed_out) {
		g_source_remove(timer);
		return;
	}
	for (i = 0; i < s->n; i++) {
		if (s->node[i].wts == NULL)
			continue;
		wts_progress(s->node[i].wts, &m->version.root, &p);
		print_message("%s phase %d, %d of %d: %s\n", s->node[i].id,
		    p.phase, (int)p.have, (int)p.total, p.why);
	}
	fail_msg("not done in time");
}

/* The bytes for the engine on the host are identical to the origin's. */
static inline void
node_check(const struct node *n, const struct model *m)
{
	uint64_t i;

	for (i = 0; i < wts_chunk_count(&m->version); i++) {
		GBytes *chunk = wts_chunk(n->wts, &m->version.root, i);

		assert_non_null(chunk);
		assert_int_equal(
		    g_bytes_get_size(chunk), version_chunk_len(&m->version, i));
		assert_memory_equal(g_bytes_get_data(chunk, NULL),
		    m->bytes->data + i * WTS_CHUNK_MIN,
		    g_bytes_get_size(chunk));
	}
}

static inline int64_t
nodes_count(const struct nodes *s, const char *counter)
{
	int64_t sum = 0;
	size_t i;

	for (i = 0; i < s->n; i++)
		sum += ctr_read(s->node[i].self.counters, counter);
	return sum;
}

static inline void
nodes_stop(struct nodes *s)
{
	size_t i;

	for (i = 0; i < s->n; i++)
		node_kill(&s->node[i]);
	while (g_main_context_iteration(NULL, FALSE))
		;
	for (i = 0; i < s->n; i++) {
		conn_server_free(s->node[i].server);
		g_hash_table_unref(s->node[i].conns);
	}
	while (g_main_context_iteration(NULL, FALSE))
		;
	for (i = 0; i < s->n; i++)
		ctr_set_free(s->node[i].self.counters);
	assert_true(TAILQ_EMPTY(&s->origin.open));
}

#endif
