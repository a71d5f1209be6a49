/* Caches that have missed changes: the store has one object of the kind, the
 * value of which changes often, and sends a bounded number of changes a call. */

#include "bed.h"

#include <stdlib.h>

#include "store/store.h"

#define PAGE_MAX 10 /* changes per answer */

static struct evl *loop;
static struct hpool *pool;
static struct hserver *server;
static struct hlimits limits = { 8192, 8192, 5000000, 5000000 };
static struct store *store;
static struct ctr_set *counters;
static struct hreq *watch; /* waits for a change */
static int64_t newest; /* revision and value of the object */
static int64_t known; /* of the cache */
static bool store_is_away;
static unsigned int refused; /* calls while the store was away */
static unsigned int lists; /* answered */
static unsigned int values; /* that the cache reported */
static unsigned int answers; /* calls answered since the changes */

static char *
list_path(const struct store_kind *kind, const char *after)
{
	return g_strdup("/list");
}

static char *
watch_path(const struct store_kind *kind, int64_t since, int64_t wait_ms)
{
	return g_strdup_printf("/watch=%" G_GINT64_FORMAT, since);
}

/* The body has the first and the last of the values that it holds. */
static bool
read_page(const struct store_kind *kind, const void *body, size_t len,
    struct store_page *out, struct err *err)
{
	char *text = g_strndup(body, len), *end;
	int64_t value = strtoll(text, &end, 10);
	struct store_item item = { 0 };

	out->revision = strtoll(end, NULL, 10);
	g_free(text);
	for (; value <= out->revision; value++) {
		item.name = g_strdup("main");
		item.revision = value;
		item.replaced = value < out->revision;
		if (!item.replaced)
			item.value = g_memdup2(&value, sizeof(value));
		g_array_append_vals(out->items, &item, 1);
	}
	/* cppcheck-suppress memleak ; the page has the items now */
	return true;
}

static const struct store_dialect dialect = {
	.list_path = list_path,
	.watch_path = watch_path,
	.read_page = read_page,
};

static const struct store_kind kind = {
	.name = "kind",
	.newest_only = true,
	.batch_delay_us = 20000,
	.free = g_free,
};

static void
answer_values(struct hreq *r, int64_t first, int64_t last)
{
	char body[64];

	answers++;
	g_snprintf(body, sizeof(body), "%" G_GINT64_FORMAT " %" G_GINT64_FORMAT,
	    first, last);
	hreq_answer(r, 200, "", body, strlen(body));
}

static void
answer_watch(struct hreq *r, int64_t since)
{
	if (since < newest)
		answer_values(r, since + 1, MIN(newest, since + PAGE_MAX));
	else
		watch = r;
}

static void
answer_list(struct hreq *r)
{
	lists++;
	answer_values(r, newest, newest);
}

static void
on_request(struct hreq *r, void *ctx)
{
	char *target = hslice_dup(hreq_msg(r)->target);
	const char *since = strchr(target, '=');

	if (store_is_away) {
		refused++;
		hreq_answer(r, 503, "", "", 0);
	} else if (since != NULL)
		answer_watch(r, strtoll(since + 1, NULL, 10));
	else
		answer_list(r);
	g_free(target);
}

static void
on_disconnected(struct hreq *r, void *ctx)
{
	if (watch == r)
		watch = NULL;
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
	known = *(int64_t *)value;
	values++;
	g_free(value);
}

static const struct store_cache_ops ops = {
	.put = on_put,
	.removed = bed_ignore_removed,
};

static int
set_up(void **state)
{
	char address[32];

	newest = 1;
	known = 0;
	store_is_away = false;
	watch = NULL;
	lists = 0;
	loop = evl_new(clk_system());
	counters = ctr_set_new();
	pool = bed_pool(loop, 200000, 5000000);
	server = bed_server(loop, address, &limits, 10, &server_ops);
	store = store_new(&(struct store_conf){ .loop = loop,
	    .pool = pool,
	    .address = address,
	    .dialect = &dialect,
	    .counters = counters,
	    .seed = 1,
	    .stall_timeout_us = 3000000 });
	return 0;
}

static int
tear_down(void **state)
{
	store_free(store);
	run_ms(2);
	hserver_free(server);
	hpool_free(pool);
	ctr_set_free(counters);
	evl_free(loop);
	return 0;
}

/* Runs until the cache waits for the next change. */
static void
run_until_watching(void)
{
	int i;

	for (i = 0; i < 10000 && watch == NULL; i++)
		run_ms(1);
	assert_non_null(watch);
}

/* The store is away while the object changes `changes` times. */
static void
be_away(int64_t changes)
{
	struct hreq *r = watch;
	int i;

	store_is_away = true;
	watch = NULL;
	refused = 0;
	hreq_abort(r);
	for (i = 0; i < 10000 && refused == 0; i++)
		run_ms(1);
	assert_true(refused > 0);
	newest += changes;
	answers = 0;
	store_is_away = false;
}

static void
run_until_newest(void)
{
	int i;

	for (i = 0; i < 10000 && known < newest; i++)
		run_ms(1);
	assert_int_equal(known, newest);
}

/* Guards against a cache that replays the changes of an outage, the oldest first:
 * its value stays old for longer, the longer the outage was. */
static void
test_first_answer_after_an_outage_has_the_newest(void **state)
{
	store_cache_new(store, &kind, &ops, NULL);
	run_until_watching();
	be_away(500);
	run_until_newest();
	assert_int_equal(answers, 1);
}

/* Guards against the same replay without an outage, where the process stood still
 * or reads more slowly than the object changes: one answer shows that it is
 * behind, the next one has the newest. */
static void
test_process_that_was_held_up_lists(void **state)
{
	store_cache_new(store, &kind, &ops, NULL);
	run_until_watching();
	newest++;
	answers = 0;
	values = 0;
	answer_values(watch, newest, newest);
	newest += 500;
	run_until_newest();
	assert_int_equal(answers, 3);
	/* Of ten values in an answer only the newest is put into force. */
	assert_int_equal(values, 3);
}

/* The other direction: changes that come one by one are not listed. */
static void
test_single_changes_are_watched(void **state)
{
	int i;

	store_cache_new(store, &kind, &ops, NULL);
	for (i = 0; i < 5; i++) {
		run_until_watching();
		newest++;
		answer_values(watch, newest, newest);
		watch = NULL;
		run_until_newest();
	}
	run_until_watching();
	assert_int_equal(lists, 1);
}

int
main(void)
{
#define T(f) cmocka_unit_test_setup_teardown(f, set_up, tear_down)
	const struct CMUnitTest tests[] = {
		T(test_first_answer_after_an_outage_has_the_newest),
		T(test_process_that_was_held_up_lists),
		T(test_single_changes_are_watched),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
