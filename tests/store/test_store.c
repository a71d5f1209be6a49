/* A mirror of the store: paging, watching, lost history, silence. */

#include "../http/loop.h"

#include "store/store.h"

/* A tiny store: lines "NAME REVISION [-]" instead of the deployment's form,
 * after a line "at REVISION [more]". */
static char *
list_path(const struct store_kind *kind, const char *after)
{
	return g_strdup_printf(
	    "/%s?after=%s", kind->name, after == NULL ? "" : after);
}

static char *
watch_path(const struct store_kind *kind, int64_t since, int64_t wait_ms)
{
	return g_strdup_printf(
	    "/%s?watch=%" G_GINT64_FORMAT, kind->name, since);
}

static bool
read_page(const struct store_kind *kind, const void *body, size_t len,
    struct store_page *out, struct err *err)
{
	char *text = g_strndup(body, len);
	char **lines = g_strsplit(text, "\n", -1);
	struct store_item item;
	char **words;
	int i;

	g_free(text);
	if (!g_str_has_prefix(lines[0], "at ")) {
		g_strfreev(lines);
		return err_set(
		    err, ERR_INVALID, VERDICT_MAY_HAVE_RUN, "no revision");
	}
	out->revision = g_ascii_strtoll(lines[0] + 3, NULL, 10);
	out->more = strstr(lines[0], "more") != NULL;
	for (i = 1; lines[i] != NULL && lines[i][0] != '\0'; i++) {
		words = g_strsplit(lines[i], " ", -1);
		item = (struct store_item){ .name = g_strdup(words[0]),
			.revision = g_ascii_strtoll(words[1], NULL, 10),
			.removed = words[2] != NULL };
		if (!item.removed && words[0][0] != '?')
			item.value = g_strdup(words[0]);
		if (words[0][0] == '?') /* "?NAME": NAME cannot be read */
			memmove(item.name, item.name + 1, strlen(item.name));
		g_array_append_vals(out->items, &item, 1);
		g_strfreev(words);
	}
	g_strfreev(lines);
	/* cppcheck-suppress memleak ; the page has the items now */
	return true;
}

static const struct store_dialect dialect = {
	.list_path = list_path,
	.watch_path = watch_path,
	.read_page = read_page,
};

static const struct store_kind kind = { .name = "kind", .free = g_free };

static struct evl *loop;
static struct hpool *pool;
static struct hserver *server;
static struct hlimits limits = { 8192, 8192, 5000000, 5000000 };
static struct store *store;
static struct store_cache *store_cache;
static struct ctr_set *counters;
static struct hreq *call; /* that waits for the test's answer */
static bool called, up;
static GString *seen; /* what the mirror told, in order */

static void
on_request(struct hreq *r, void *ctx)
{
	call = r;
	called = true;
}

static void
on_left(struct hreq *r, void *ctx)
{
	call = NULL;
}

static void
on_drained(struct hreq *r, void *ctx)
{
}

static void
on_refused(unsigned int status, void *ctx)
{
}

static const struct hserver_ops ops = {
	.request = on_request,
	.left = on_left,
	.drained = on_drained,
	.refused = on_refused,
};

static void
on_put(const char *name, void *value, void *ctx)
{
	g_string_append_printf(seen, "+%s ", name);
	g_free(value);
}

static void
on_removed(const char *name, bool lapsed, void *ctx)
{
	g_string_append_printf(seen, "%s%s ", lapsed ? "?" : "-", name);
}

static void
on_synced(void *ctx)
{
	g_string_append(seen, "| ");
}

static void
on_link(bool is_up, const char *why, void *ctx)
{
	up = is_up;
	g_string_append(seen, is_up ? "up " : "down ");
}

static const struct store_cache_ops store_cache_ops = {
	.put = on_put,
	.removed = on_removed,
	.synced = on_synced,
	.link = on_link,
};

static struct hserver *
open_server(const char *address, const struct hserver_ops *how)
{
	struct err err = { 0 };
	struct hserver *s = hserver_new(&(struct hserver_conf){ .loop = loop,
					    .address = address,
					    .limits = &limits,
					    .connections_max = 10,
					    .bodies_max = 10000,
					    .ops = how },
	    &err);

	assert_non_null(s);
	return s;
}

static struct store *
open_store(const char *address)
{
	return store_new(&(struct store_conf){ .loop = loop,
	    .pool = pool,
	    .address = address,
	    .dialect = &dialect,
	    .counters = counters,
	    .seed = 1,
	    .stall_timeout_us = 1200000 });
}

static int
set_up(void **state)
{
	static char address[32];

	g_snprintf(address, sizeof(address), "127.0.0.1:%u", free_port());
	loop = evl_new(clk_system());
	counters = ctr_set_new();
	pool = hpool_new(&(struct hpool_conf){ .loop = loop,
	    .idle_max = 4,
	    .connect_us = 200000,
	    .idle_us = 5000000,
	    .head_bytes = 4096 });
	server = open_server(address, &ops);
	store = open_store(address);
	seen = g_string_new(NULL);
	called = false;
	store_cache = store_cache_new(store, &kind, &store_cache_ops, NULL);
	return 0;
}

static int
tear_down(void **state)
{
	store_free(store);
	turn_ms(2);
	hserver_free(server);
	hpool_free(pool);
	ctr_set_free(counters);
	evl_free(loop);
	g_string_free(seen, TRUE);
	return 0;
}

/* Waits for the mirror's next call, whose path holds `part`; answers it. */
static void
answer(const char *part, unsigned int status, const char *body)
{
	struct hslice target;

	turn_until(&called);
	called = false;
	target = hreq_msg(call)->target;
	if (memmem(target.p, target.n, part, strlen(part)) == NULL)
		fail_msg(
		    "wanted %s, asked %.*s", part, (int)target.n, target.p);
	hreq_answer(call, status, "", body, strlen(body));
	turn_ms(5);
}

static void
test_pages_then_events(void **state)
{
	answer("after=", 200, "at 7 more\na 3\nb 5\n");
	answer("after=b", 200, "at 9\nc 8\n");
	assert_string_equal(seen->str, "+a +b +c | ");
	/* From the first page's revision: what changed between the pages
	 * comes again and is passed over. */
	answer("watch=7", 200, "at 10\nc 8\na 9\nb 10 -\n");
	assert_string_equal(seen->str, "+a +b +c | +a -b ");
	answer("watch=10", 200, "at 10\n");
	answer("watch=10", 200, "at 11\nd 11\n");
	assert_string_equal(seen->str, "+a +b +c | +a -b +d ");
}

/* Some target of hundreds changes all the time. A watch begins only when what
 * changes together has gathered, so that it is paid for as one call. */
static void
test_changes_gather(void **state)
{
	int64_t begun_us;

	store_cache_set_batch_delay(store_cache, 200000);
	answer("after=", 200, "at 7\na 3\n");
	begun_us = clk_now_us(clk_system());
	answer("watch=7", 200, "at 9\na 8\nb 9\n");
	assert_true(clk_now_us(clk_system()) - begun_us >= 150000);
	assert_string_equal(seen->str, "+a | +a +b ");
}

/* The history is gone: all is listed anew. What is missing then is told as
 * such, and what an older answer says is not believed. */
static void
test_history_gone(void **state)
{
	answer("after=", 200, "at 5\na 3\nb 5\n");
	answer("watch=5", 410, "");
	answer("after=", 200, "at 4\na 2\n"); /* a stale answer */
	answer("after=", 200, "at 8\na 3\nc 8\n");
	assert_string_equal(seen->str, "+a +b | down up +c ?b | ");
	answer("watch=8", 200, "at 8\n");
}

/*
 * The store refuses, then answers again. What is known stays meanwhile; the
 * watch goes on from where it was.
 */
static void
test_refused_for_a_while(void **state)
{
	answer("after=", 200, "at 5\na 3\n");
	answer("watch=5", 503, "");
	answer("watch=5", 429, "");
	assert_false(up);
	answer("watch=5", 200, "at 6\nb 6\n");
	assert_true(up);
	assert_string_equal(seen->str, "+a | down up +b ");
	answer("watch=6", 200, "not a page");
	answer("watch=6", 200, "at 7\nc 7\n");
	assert_string_equal(seen->str, "+a | down up +b down up +c ");
}

/*
 * An entry that was good is overwritten by something else. What it said before
 * is not believed any longer, the others hold, and it counts again as soon as
 * it can be read.
 */
static void
test_an_entry_that_can_no_longer_be_read(void **state)
{
	answer("after=", 200, "at 5\na 3\n?b 4\nc 4\n");
	assert_string_equal(seen->str, "+a +c | ");
	answer("watch=5", 200, "at 6\n?a 6\n");
	assert_string_equal(seen->str, "+a +c | -a ");
	answer("watch=6", 200, "at 8\n?a 7\nb 8\n");
	assert_string_equal(seen->str, "+a +c | -a +b ");
	answer("watch=8", 200, "at 9\na 9\n");
	assert_string_equal(seen->str, "+a +c | -a +b +a ");
}

/*
 * A connection falls silent for good: the store's news stop without an error,
 * and settings would grow old. The watch gives up when its answer is overdue
 * and asks on a fresh connection.
 */
static void
test_silent_connection(void **state)
{
	answer("after=", 200, "at 5\na 3\n");
	turn_until(&called);
	called = false;
	turn_until(&called); /* asked again, though nobody answered */
	answer("watch=5", 200, "at 6\nb 6\n");
	assert_string_equal(seen->str, "+a | down up +b ");
}

/*
 * The store stops answering. One call without an answer may be lost, or this
 * process stood still; from the second on the store is away since its last
 * answer, and until the next.
 */
static void
test_when_the_store_is_away(void **state)
{
	answer("after=", 200, "at 5\na 3\n");
	turn_until(&called);
	assert_int_equal(store_down_since_us(store), 0);
	called = false;
	turn_until(&called); /* after one failure */
	assert_int_equal(store_down_since_us(store), 0);
	called = false;
	turn_until(&called); /* after two */
	assert_true(store_down_since_us(store) > 0);
	assert_true(store_down_since_us(store) < clk_now_us(clk_system()));
	answer("watch=5", 200, "at 6\nb 6\n");
	assert_int_equal(store_down_since_us(store), 0);
}

/*
 * Processes start while the store is silent: their first calls hang for good.
 * They are given up soon, as nobody is served before the settings are known.
 */
static void
test_a_call_that_hangs_is_given_up_soon(void **state)
{
	int64_t begun_us;

	turn_until(&called);
	called = false;
	begun_us = clk_now_us(clk_system());
	turn_until(&called);
	assert_true(clk_now_us(clk_system()) - begun_us < 2 * G_USEC_PER_SEC);
	answer("after=", 200, "at 5\na 3\n");
	assert_string_equal(seen->str, "down up +a | ");
}

/* With two mirrors two calls wait at once; the server tells them apart. */
static unsigned int asked_of[2];
static unsigned int answer_with;

static void
on_either(struct hreq *r, void *ctx)
{
	struct hslice target = hreq_msg(r)->target;
	const char *body = "at 5\n";

	asked_of[memmem(target.p, target.n, "second", 6) != NULL]++;
	hreq_answer(r, answer_with, "", body, strlen(body));
}

/*
 * The store refuses all calls. Each is paid for, so only one of two mirrors
 * tries often; the first answer to it wakes the other at once.
 */
static void
test_one_mirror_tries_for_all(void **state)
{
	static const struct store_kind second = { .name = "second",
		.free = g_free };
	static const struct hserver_ops either = { .request = on_either,
		.left = on_left,
		.drained = on_drained,
		.refused = on_refused };
	char address[32];
	struct hserver *two;
	struct store *both;

	g_snprintf(address, sizeof(address), "127.0.0.1:%u", free_port());
	two = open_server(address, &either);
	both = open_store(address);
	answer_with = 503;
	(void)store_cache_new(both, &second, &store_cache_ops, NULL);
	(void)store_cache_new(both, &kind, &store_cache_ops, NULL);
	turn_ms(1500);
	assert_true(asked_of[0] + asked_of[1] >= 4);
	assert_in_range(MIN(asked_of[0], asked_of[1]), 1, 2);
	answer_with = 200;
	turn_ms(600);
	assert_non_null(strstr(seen->str, "up"));
	assert_non_null(strstr(strstr(seen->str, "up") + 2, "up"));
	store_free(both);
	turn_ms(2);
	hserver_free(two);
}

int
main(void)
{
#define T(f) cmocka_unit_test_setup_teardown(f, set_up, tear_down)
	const struct CMUnitTest tests[] = {
		T(test_pages_then_events),
		T(test_changes_gather),
		T(test_history_gone),
		T(test_refused_for_a_while),
		T(test_an_entry_that_can_no_longer_be_read),
		T(test_silent_connection),
		T(test_when_the_store_is_away),
		T(test_a_call_that_hangs_is_given_up_soon),
		T(test_one_mirror_tries_for_all),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
