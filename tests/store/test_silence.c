/*
 * Caches beside a store that is silent: what it is asked or would send meanwhile
 * is lost, and its connections stay open. Many clients at once, so that all
 * phases of their calls occur. The settings change before, during and after.
 */

#include "bed.h"

#include <stdlib.h>

#define CLIENTS 40
#define CLIENT_GAP_MS 55 /* between the starts of two clients */
#define CHANGE_GAP_US 150000

struct waiting {
	LIST_ENTRY(waiting) link;
	struct hreq *r;
	struct evl_timer end;
	bool is_config;
	bool lost;
};

struct client {
	struct hpool *pool;
	struct store *store;
	int64_t known; /* version of the settings */
};

static struct evl *loop;
static struct ctr_set *counters;
static struct hserver *server;
static struct hlimits limits = { 8192, 8192, 60000000, 60000000 };
static char address[32];
static LIST_HEAD(, waiting) watches;
static struct evl_timer change;
static bool is_silent;
static int64_t newest;
static struct client clients[CLIENTS];
static unsigned int calls;

/* The body has the version of the settings and says whether one is enclosed. */
static bool
read_page(const struct store_kind *kind, const void *body, size_t len,
    struct store_page *out, struct err *err)
{
	char *text = g_strndup(body, len), *end;

	out->revision = strtoll(text, &end, 10);
	if (*end == '+')
		bed_add_object(out, out->revision);
	g_free(text);
	return true;
}

static const struct store_dialect dialect = {
	.list_path = bed_list_path,
	.watch_path = bed_watch_path,
	.read_page = read_page,
};

static void
answer(struct hreq *r, bool with_settings)
{
	char body[32];

	g_snprintf(body, sizeof(body), "%" G_GINT64_FORMAT "%s", newest,
	    with_settings ? "+" : "-");
	hreq_answer(r, 200, "", body, strlen(body));
}

static void
waiting_free(struct waiting *w)
{
	LIST_REMOVE(w, link);
	evl_timer_stop(loop, &w->end);
	g_free(w);
}

static void
answer_waiting(struct waiting *w, bool with_settings)
{
	struct hreq *r = w->r;

	if (is_silent) {
		w->lost = true;
		evl_timer_stop(loop, &w->end);
		return;
	}
	hreq_set_ctx(r, NULL);
	waiting_free(w);
	answer(r, with_settings);
}

static void
on_wait_end(struct evl_timer *t)
{
	answer_waiting(CONTAINER_OF(t, struct waiting, end), false);
}

static void
on_change(struct evl_timer *t)
{
	struct waiting *w = LIST_FIRST(&watches), *next;

	newest++;
	for (; w != NULL; w = next) {
		next = LIST_NEXT(w, link);
		if (w->is_config && !w->lost)
			answer_waiting(w, true);
	}
	evl_timer_set(loop, t, evl_now_us(loop) + CHANGE_GAP_US);
}

static void
on_request(struct hreq *r, void *ctx)
{
	struct bed_call call = bed_call_of(r);
	bool is_config = call.kind == BED_CONFIG;
	struct waiting *w;

	calls++;
	hreq_set_ctx(r, NULL);
	if (!is_silent &&
	    (!call.is_watch || (is_config && call.since < newest))) {
		answer(r, is_config);
		return;
	}
	w = g_new0(struct waiting, 1);
	w->r = r;
	w->is_config = is_config;
	w->lost = is_silent;
	w->end.fire = on_wait_end;
	hreq_set_ctx(r, w);
	LIST_INSERT_HEAD(&watches, w, link);
	if (!is_silent)
		evl_timer_set(loop, &w->end, evl_now_us(loop) + call.wait_us);
}

static void
on_disconnected(struct hreq *r, void *ctx)
{
	if (hreq_ctx(r) != NULL)
		waiting_free(hreq_ctx(r));
}

static const struct hserver_ops server_ops = {
	.request = on_request,
	.disconnected = on_disconnected,
	.drained = bed_ignore_drained,
	.refused = bed_ignore_refused,
};

static void
on_put(const char *name, void *value, void *ctx)
{
	struct client *c = ctx;

	c->known = *(int64_t *)value;
	g_free(value);
}

static const struct store_cache_ops cache_ops = {
	.put = on_put,
	.removed = bed_ignore_removed,
};

static void
start_client(struct client *c, uint64_t seed)
{
	struct store_cache *config;

	c->pool = bed_pool(loop, 700000, 60000000);
	c->store = store_new(&(struct store_conf){ .loop = loop,
	    .pool = c->pool,
	    .address = address,
	    .dialect = &dialect,
	    .counters = counters,
	    .seed = seed,
	    .stall_timeout_us = BED_STALL_TIMEOUT_US });
	(void)store_cache_new(c->store, &bed_kinds[BED_SERVERS], &cache_ops, c);
	config =
	    store_cache_new(c->store, &bed_kinds[BED_CONFIG], &cache_ops, c);
	store_cache_set_change_bound(config, BED_CHANGE_BOUND_US);
	(void)store_cache_new(
	    c->store, &bed_kinds[BED_VERSIONS], &cache_ops, c);
}

static int
set_up(void **state)
{
	size_t i;

	loop = evl_new(clk_system());
	counters = ctr_set_new();
	LIST_INIT(&watches);
	server = bed_server(loop, address, &limits, 3000, &server_ops);
	is_silent = false;
	newest = 1;
	calls = 0;
	change.fire = on_change;
	evl_timer_set(loop, &change, evl_now_us(loop) + CHANGE_GAP_US);
	memset(clients, 0, sizeof(clients));
	for (i = 0; i < CLIENTS; i++) {
		start_client(&clients[i], i + 1);
		run_ms(CLIENT_GAP_MS);
	}
	return 0;
}

static int
tear_down(void **state)
{
	size_t i;

	for (i = 0; i < CLIENTS; i++)
		store_free(clients[i].store);
	evl_timer_stop(loop, &change);
	run_ms(2);
	hserver_free(server);
	for (i = 0; i < CLIENTS; i++)
		hpool_free(clients[i].pool);
	ctr_set_free(counters);
	evl_free(loop);
	return 0;
}

static void
be_silent(int ms)
{
	is_silent = true;
	run_ms(ms);
	is_silent = false;
}

/* Within the bound after a silence, each client knows settings that were written
 * after it began. */
static void
assert_known_in_time(int64_t version_at_end)
{
	int64_t end_us = clk_now_us(clk_system()), us = 0;
	size_t i, n = 0;

	while (us < BED_CHANGE_BOUND_US && n < CLIENTS) {
		run_ms(2);
		us = clk_now_us(clk_system()) - end_us;
		for (i = 0, n = 0; i < CLIENTS; i++)
			n += clients[i].known >= version_at_end;
	}
	print_message("%zu of %d clients know after %.2f s, %u calls\n", n,
	    CLIENTS, (double)us / G_USEC_PER_SEC, calls);
	assert_int_equal(n, CLIENTS);
}

/* Guards against a lost answer that is noticed only when the time of a long watch
 * is over, as it looks like one to a watch without changes. */
static void
test_short_silences(void **state)
{
	int i;

	for (i = 0; i < 4; i++) {
		be_silent(150 + 40 * i);
		assert_known_in_time(newest);
		run_ms(1300);
	}
}

/* Guards against a call that was lost just before the store's return, and is
 * waited for as long as for a slow store. */
static void
test_long_silence(void **state)
{
	be_silent(15000);
	assert_known_in_time(newest);
}

int
main(void)
{
#define T(f) cmocka_unit_test_setup_teardown(f, set_up, tear_down)
	const struct CMUnitTest tests[] = {
		T(test_short_silences),
		T(test_long_silence),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
