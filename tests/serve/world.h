#ifndef TESTS_SERVE_WORLD_H
#define TESTS_SERVE_WORLD_H

/*
 * A forwarder with its server for callers, and targets whose answers the tests
 * write byte by byte. All of them run in one event loop.
 */

#include "../http/loop.h"

#include "serve/fwd.h"
#include "serve/side.h"

#define SERVICE "engines"
#define MODEL "m"
#define TARGETS 3
#define ANSWERS_MAX (4u << 20)

/* Each id but the last one, which belongs to the request. */
static inline size_t
find_parts(struct slice value, struct slice *ids_out, size_t max)
{
	const uint8_t *at = value.data, *end = value.data + value.len, *comma;
	size_t n = 0;

	while (n < max && at < end) {
		comma = memchr(at, ',', (size_t)(end - at));
		if (comma == NULL)
			break;
		ids_out[n++] = (struct slice){ at, (size_t)(comma - at) };
		at = comma + 1;
	}
	return n;
}

static const struct sv_dialect dialect = {
	.header = {
	    [SV_F_REQUEST_ID] = "T-Id",
	    [SV_F_DEADLINE_MS] = "T-Deadline",
	    [SV_F_SEAL] = "T-Seal",
	    [SV_F_WORKSPACE] = "T-Workspace",
	    [SV_F_KEY] = "T-Key",
	    [SV_F_EXPECT_INSTANCE] = "T-Expect",
	    [SV_F_EXPECT_VERSION] = "T-Expect-Version",
	    [SV_F_URGENCY] = "T-Urgency",
	    [SV_F_LAST_EVENT] = "T-Last",
	    [SV_F_LOAD] = "T-Load",
	    [SV_F_LIMIT] = "T-Limit",
	    [SV_F_LEAVING] = "T-Leaving",
	    [SV_F_RETRY_AFTER] = "T-Retry-After",
	    [SV_F_NOT_RUN] = "T-Not-Run",
	    [SV_F_INSTANCE] = "T-Instance",
	    [SV_F_MODEL] = "T-Model",
	    [SV_F_TOKENS] = "T-Tokens",
	    [SV_F_PREFIX] = "T-Prefix",
	    [SV_F_LENGTH_HINT] = "T-Hint",
	    [SV_F_WEIGHTS] = "T-Weights",
	},
	.key_scheme = "Bearer ",
	.shared_parts = find_parts,
};

/* A target: a listening socket; the test writes its answers. */
struct target {
	char address[32];
	char id[8];
	int listener;
	int fd; /* last accepted connection; -1: none */
};

struct world {
	struct evl *loop;
	struct hpool *pool;
	struct tgt_set *set;
	struct vers *versions;
	struct ctr_set *counters;
	struct fwd *fwd;
	struct hserver *server;
	struct hlimits limits;
	char address[32];
	struct target target[TARGETS];
	size_t ntargets;
	unsigned int account_changes;
};

static struct world w;

static inline int64_t
now_us(void)
{
	return clk_now_us(clk_system());
}

/* ------------------------------------------------------------------ */
/* Targets                                                             */
/* ------------------------------------------------------------------ */

static inline void
target_open(struct target *t, size_t i)
{
	t->listener = raw_listen(t->address);
	g_snprintf(t->id, sizeof(t->id), "i%zu", i);
	t->fd = -1;
}

static inline struct sv_target
target_record(const struct target *t)
{
	struct sv_target record = { .slots = 2 };

	g_strlcpy(record.id, t->id, sizeof(record.id));
	g_strlcpy(record.service, SERVICE, sizeof(record.service));
	g_strlcpy(record.address, t->address, sizeof(record.address));
	g_strlcpy(record.domain, "d", sizeof(record.domain));
	return record;
}

static inline void
target_announce(struct target *t, bool leaving, int64_t version)
{
	struct sv_target record = target_record(t);

	record.leaving = leaving;
	record.has_models = version != 0;
	record.model_version = version;
	if (version != 0)
		g_strlcpy(record.model, MODEL, sizeof(record.model));
	tgt_put(w.set, &record, now_us());
}

/* Waits for the next connection to a target; returns the target and the head of
 * the request. */
static inline struct target *
target_get(char **request_out)
{
	size_t i;
	int turn;

	for (turn = 0; turn < 4000; turn++) {
		for (i = 0; i < w.ntargets; i++) {
			int fd = accept4(
			    w.target[i].listener, NULL, NULL, SOCK_NONBLOCK);

			if (fd < 0)
				continue;
			w.target[i].fd = fd;
			*request_out = raw_read(fd, "\r\n\r\n");
			return &w.target[i];
		}
		run_ms(1);
	}
	*request_out = NULL;
	fail_msg("no target was called");
	return NULL;
}

/* The same without the request. */
static inline struct target *
target_next(void)
{
	char *request;
	struct target *t = target_get(&request);

	g_free(request);
	return t;
}

static inline bool
target_is_called(void)
{
	size_t i;

	run_ms(30);
	for (i = 0; i < w.ntargets; i++) {
		int fd =
		    accept4(w.target[i].listener, NULL, NULL, SOCK_NONBLOCK);

		if (fd >= 0) {
			close(fd);
			return true;
		}
	}
	return false;
}

/* Whether the forwarder closes the connection to the target. */
static inline bool
target_is_disconnected(struct target *t)
{
	char byte;
	int i;

	for (i = 0; i < 2000; i++) {
		if (recv(t->fd, &byte, 1, MSG_DONTWAIT) == 0)
			return true;
		run_ms(1);
	}
	return false;
}

/* ------------------------------------------------------------------ */
/* Setup and teardown                                                  */
/* ------------------------------------------------------------------ */

static inline struct sv_config *
make_config(enum sv_kind kind, unsigned int attempts, int64_t timeout_ms)
{
	struct sv_config *c = g_new0(struct sv_config, 1);
	struct sv_route *r;

	c->version = 1;
	c->nroutes = 1;
	c->routes = g_new0(struct sv_route, 1);
	r = &c->routes[0];
	r->name = g_strdup("route");
	r->host = g_strdup("a.example");
	r->prefix = g_strdup("/x/");
	r->kind = kind;
	r->timeout_us = timeout_ms * 1000;
	r->objective_us = 100000;
	r->gap_us = 100000;
	r->attempts = attempts;
	r->resumable = kind == SV_STREAM;
	r->nshares = 1;
	r->shares = g_new0(struct sv_share, 1);
	r->shares[0].service = g_strdup(SERVICE);
	r->shares[0].weight = 1;
	c->nworkspaces = 1;
	c->workspaces = g_new0(struct sv_workspace, 1);
	c->workspaces[0].name = g_strdup("team");
	c->workspaces[0].priority = INT_MAX;
	c->workspaces[0].keys = g_strsplit("secret", ",", -1);
	return c;
}

static inline void
count_account_change(void *ctx)
{
	w.account_changes++;
}

static inline void
world_open(size_t ntargets, struct sv_config *config)
{
	static const struct tgt_policy policy = {
		.beyond_slots = 1, .remote_cost = 1, .gateways = 1
	};
	struct fwd_conf conf = { 0 };
	struct err err = { 0 };
	size_t i;

	memset(&w, 0, sizeof(w));
	w.loop = evl_new(clk_system());
	w.counters = ctr_set_new();
	w.pool = hpool_new(&(struct hpool_conf){ .loop = w.loop,
	    .idle_max = 4,
	    .connect_us = 300000,
	    .idle_us = 5000000,
	    .head_bytes = 8192 });
	w.set = tgt_set_new("r", &policy);
	tgt_set_domain(w.set, "d", "r");
	w.versions = vers_new(2 * G_USEC_PER_SEC, 0);
	conf = (struct fwd_conf){ .loop = w.loop,
		.pool = w.pool,
		.targets = w.set,
		.versions = w.versions,
		.dialect = &dialect,
		.budget = { .ratio = 1,
		    .slack = 100,
		    .window_us = 10 * G_USEC_PER_SEC,
		    .processes = 1 },
		.answers_max = ANSWERS_MAX,
		.counters = w.counters,
		.seed = 1,
		.account_changed = count_account_change };
	w.fwd = fwd_new(&conf);
	if (config != NULL)
		fwd_set_routes(w.fwd, rtab_new(config));
	w.limits = (struct hlimits){ .head_bytes = 8192,
		.body_bytes = 100000,
		.head_us = 2000000,
		.idle_us = 5000000 };
	g_snprintf(w.address, sizeof(w.address), "127.0.0.1:%u", free_port());
	w.server = hserver_new(&(struct hserver_conf){ .loop = w.loop,
				   .address = w.address,
				   .limits = &w.limits,
				   .connections_max = 20,
				   .bodies_max = 1000000,
				   .ops = &fwd_server_ops,
				   .ctx = w.fwd },
	    &err);
	assert_non_null(w.server);
	w.ntargets = ntargets;
	for (i = 0; i < ntargets; i++) {
		target_open(&w.target[i], i);
		target_announce(&w.target[i], false, 0);
	}
}

static inline void
world_close(void)
{
	size_t i;

	run_ms(2);
	for (i = 0; i < w.ntargets; i++) {
		close(w.target[i].listener);
		if (w.target[i].fd >= 0)
			close(w.target[i].fd);
	}
	hserver_free(w.server);
	run_ms(2);
	fwd_free(w.fwd);
	hpool_free(w.pool);
	tgt_set_free(w.set);
	vers_free(w.versions);
	ctr_set_free(w.counters);
	evl_free(w.loop);
}

/* Opens a caller's connection and sends one request. */
static inline int
send_request(const char *method, const char *path, const char *headers)
{
	int fd = raw_dial(w.address);
	char *text = g_strdup_printf("%s %s HTTP/1.1\r\nHost: A.example:80\r\n"
				     "T-Id: q1\r\nT-Key: Bearer secret\r\n"
				     "%s\r\n",
	    method, path, headers);

	raw_send(fd, text);
	g_free(text);
	run_ms(5);
	return fd;
}

static inline int
send_get(void)
{
	return send_request("GET", "/x/1", "T-Deadline: 3000\r\n");
}

static inline void
expect_answer(int fd, const char *part)
{
	char *answer = raw_read(fd, part);

	if (strstr(answer, part) == NULL)
		fail_msg("wanted %s, got %s", part, answer);
	g_free(answer);
	close(fd);
}

#define GOOD "HTTP/1.1 200 OK\r\nT-Id: q1\r\nT-Seal: s\r\n"
#define ANSWER GOOD "Content-Length: 2\r\n\r\nok"
#define STREAM GOOD "Transfer-Encoding: chunked\r\n\r\n"
#define EVENT(n) "d\r\nid: " n "\ndata:\n\n\r\n"

#endif
