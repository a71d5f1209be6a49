/* A cache of the store: paging, watching, lost history, stalled connections. */

#include "bed.h"

#include "store/store.h"

/* A minimal store: lines "NAME REVISION [-]" instead of the deployment's
 * format, after a line "at REVISION [more]". */
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
	char **fields;
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
		fields = g_strsplit(lines[i], " ", -1);
		item = (struct store_item){ .name = g_strdup(fields[0]),
			.revision = g_ascii_strtoll(fields[1], NULL, 10),
			.removed = fields[2] != NULL };
		if (!item.removed && fields[0][0] != '?')
			item.value = g_strdup(fields[0]);
		/* "?NAME": the object NAME is unreadable. */
		if (fields[0][0] == '?')
			memmove(item.name, item.name + 1, strlen(item.name));
		g_array_append_vals(out->items, &item, 1);
		g_strfreev(fields);
	}
	g_strfreev(lines);
	/* cppcheck-suppress memleak ; the page has the items now */
	return true;
}

static const struct store_dialect dialect = {
	.list_path = list_path,
	.history_header = "T-History",
	.watch_path = watch_path,
	.read_page = read_page,
};

static const struct store_kind kind = { .name = "kind", .free = g_free };

static char server_address[32];
static struct evl *loop;
static struct hpool *pool;
static struct hserver *server;
static struct hlimits limits = { 8192, 8192, 5000000, 5000000 };
static struct store *store;
static struct store_cache *cache;
static struct ctr_set *counters;
static struct hreq *call; /* waits for the test's answer */
static bool called, up;
static GString *events; /* what the cache reported, in order */

static void
on_request(struct hreq *r, void *ctx)
{
	call = r;
	called = true;
}

static void
on_disconnected(struct hreq *r, void *ctx)
{
	call = NULL;
}

static const struct hserver_ops ops = {
	.request = on_request,
	.disconnected = on_disconnected,
	.drained = bed_ignore_drained,
	.refused = bed_ignore_refused,
};

static void
on_put(const char *name, void *value, void *ctx)
{
	g_string_append_printf(events, "+%s ", name);
	g_free(value);
}

static void
on_removed(const char *name, bool expired, void *ctx)
{
	g_string_append_printf(events, "%s%s ", expired ? "?" : "-", name);
}

static void
on_synced(void *ctx)
{
	g_string_append(events, "| ");
}

static void
on_link(bool is_up, const char *why, void *ctx)
{
	up = is_up;
	g_string_append(events, is_up ? "up " : "down ");
}

static const struct store_cache_ops cache_ops = {
	.put = on_put,
	.removed = on_removed,
	.synced = on_synced,
	.link = on_link,
};

static struct store *
open_store_as(const char *address, const struct store_dialect *d,
    void (*before_read)(int64_t us, void *ctx))
{
	return store_new(&(struct store_conf){ .loop = loop,
	    .pool = pool,
	    .address = address,
	    .dialect = d,
	    .counters = counters,
	    .seed = 1,
	    .stall_timeout_us = 1200000,
	    .before_read = before_read });
}

static struct store *
open_store(const char *address)
{
	return open_store_as(address, &dialect, NULL);
}

static int
set_up(void **state)
{
	loop = evl_new(clk_system());
	counters = ctr_set_new();
	pool = bed_pool(loop, 200000, 5000000);
	server = bed_server(loop, server_address, &limits, 10, &ops);
	store = open_store(server_address);
	events = g_string_new(NULL);
	called = false;
	cache = store_cache_new(store, &kind, &cache_ops, NULL);
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
	g_string_free(events, TRUE);
	return 0;
}

/* Whether the call that waits is for a path with `part`. */
static bool
is_asked(const char *part)
{
	struct hslice target = hreq_msg(call)->target;

	return memmem(target.p, target.n, part, strlen(part)) != NULL;
}

/* Waits for the cache's next call, whose path must contain `part`, and
 * answers it as a store of that history; "": without the header. */
static void
answer_in(const char *history, const char *part, unsigned int status,
    const char *body)
{
	char headers[64] = "";
	struct hslice target;

	run_until(&called);
	called = false;
	target = hreq_msg(call)->target;
	if (!is_asked(part))
		fail_msg(
		    "wanted %s, asked %.*s", part, (int)target.n, target.p);
	if (history[0] != '\0')
		g_snprintf(
		    headers, sizeof(headers), "T-History: %s\r\n", history);
	hreq_answer(call, status, headers, body, strlen(body));
	run_ms(5);
}

static void
answer(const char *part, unsigned int status, const char *body)
{
	answer_in("", part, status, body);
}

/* Guards against a stale record that replaces the newer one of the same thing
 * because its name comes later. */
static void
test_listing_in_order_of_changes(void **state)
{
	answer("after=", 200, "at 9 more\na 7\nb 3\nc 5\n");
	answer("after=c", 200, "at 9\nd 4\ne 2\n");
	assert_string_equal(events->str, "+b +c +a +e +d | ");
	/* Events have the order in which they occurred. */
	answer("watch=9", 200, "at 12\na 7 -\nf 11\nb 10\n");
	assert_string_equal(events->str, "+b +c +a +e +d | -a +f +b ");
}

static void
test_pages_then_events(void **state)
{
	answer("after=", 200, "at 7 more\na 3\nb 5\n");
	answer("after=b", 200, "at 9\nc 8\n");
	assert_string_equal(events->str, "+a +b +c | ");
	/* From the first page's revision: changes made between the pages
	 * come again and are ignored. */
	answer("watch=7", 200, "at 10\nc 8\na 9\nb 10 -\n");
	assert_string_equal(events->str, "+a +b +c | +a -b ");
	answer("watch=10", 200, "at 10\n");
	answer("watch=10", 200, "at 11\nd 11\n");
	assert_string_equal(events->str, "+a +b +c | +a -b +d ");
}

static int64_t announced_us;

static void
on_before_read(int64_t us, void *ctx)
{
	announced_us = us;
}

#define SLOW_READ_US 40000

static bool
read_page_slowly(const struct store_kind *k, const void *body, size_t len,
    struct store_page *out, struct err *err)
{
	usleep(SLOW_READ_US);
	return read_page(k, body, len, out, err);
}

/* Guards against work that holds the process up and that nobody expects: reading
 * a long answer is announced with the time that the one before it took. */
static void
test_long_read_is_announced(void **state)
{
	static struct store_dialect slow; /* outlives the test */
	char *long_body = g_strnfill(8000, '\n');
	char *body = g_strdup_printf("at 9\na 7\n%s", long_body);

	slow = dialect;
	slow.read_page = read_page_slowly;
	store_free(store);
	run_ms(2);
	called = false;
	store = open_store_as(server_address, &slow, on_before_read);
	cache = store_cache_new(store, &kind, &cache_ops, NULL);
	announced_us = -1;
	answer("after=", 200, body);
	assert_int_equal(announced_us, 0); /* no pace is known yet */
	answer("watch=9", 200, body);
	assert_true(announced_us >= SLOW_READ_US);
	announced_us = -1;
	answer("watch=9", 200, "at 9\n");
	assert_int_equal(announced_us, -1);
	g_free(body);
	g_free(long_body);
}

/* With hundreds of targets some record changes all the time. A watch begins
 * only after the batch delay, so that changes close together cost one call. */
static void
test_changes_are_batched(void **state)
{
	int64_t begun_us;

	store_cache_set_batch_delay(cache, 200000);
	begun_us = clk_now_us(clk_system());
	answer("after=", 200, "at 7\na 3\n");
	answer("watch=7", 200, "at 9\na 8\nb 9\n");
	assert_true(clk_now_us(clk_system()) - begun_us >= 200000);
	assert_string_equal(events->str, "+a | +a +b ");
}

/* The history is gone, and all is listed again. What is missing then is
 * reported as expired; a stale answer is ignored. */
static void
test_history_gone(void **state)
{
	answer("after=", 200, "at 5\na 3\nb 5\n");
	answer("watch=5", 410, "");
	answer("after=", 200, "at 4\na 2\n"); /* a stale answer */
	answer("after=", 200, "at 8\na 3\nc 8\n");
	assert_string_equal(events->str, "+a +b | down up +c ?b | ");
	answer("watch=8", 200, "at 8\n");
}

/* The store refuses calls, then answers again. The cached state stays
 * meanwhile; the watch continues from its revision. */
static void
test_refused_calls(void **state)
{
	answer("after=", 200, "at 5\na 3\n");
	answer("watch=5", 503, "");
	answer("watch=5", 429, "");
	assert_false(up);
	answer("watch=5", 200, "at 6\nb 6\n");
	assert_true(up);
	assert_string_equal(events->str, "+a | down up +b ");
	answer("watch=6", 200, "not a page");
	answer("watch=6", 200, "at 7\nc 7\n");
	assert_string_equal(events->str, "+a | down up +b down up +c ");
}

/*
 * A valid object is overwritten with something unreadable. Its previous value
 * no longer counts, other objects are unaffected, and it counts again as soon
 * as it is readable.
 */
static void
test_object_becomes_unreadable(void **state)
{
	answer("after=", 200, "at 5\na 3\n?b 4\nc 4\n");
	assert_string_equal(events->str, "+a +c | ");
	answer("watch=5", 200, "at 6\n?a 6\n");
	assert_string_equal(events->str, "+a +c | -a ");
	answer("watch=6", 200, "at 8\n?a 7\nb 8\n");
	assert_string_equal(events->str, "+a +c | -a +b ");
	answer("watch=8", 200, "at 9\na 9\n");
	assert_string_equal(events->str, "+a +c | -a +b +a ");
}

/* A connection stalls for good: updates stop without an error, and settings
 * would become stale. The watch times out and is repeated on a new
 * connection. */
static void
test_stalled_connection(void **state)
{
	answer("after=", 200, "at 5\na 3\n");
	run_until(&called);
	called = false;
	run_until(&called); /* repeated without an answer */
	answer("watch=5", 200, "at 6\nb 6\n");
	assert_string_equal(events->str, "+a | down up +b ");
}

/*
 * The store stops answering. One failed call may be lost, or this process
 * stalled; from the second on the store counts as down since its last answer,
 * until the next one.
 */
static void
test_store_outage(void **state)
{
	answer("after=", 200, "at 5\na 3\n");
	run_until(&called);
	assert_int_equal(store_down_since_us(store), 0);
	called = false;
	run_until(&called); /* after one failure */
	assert_int_equal(store_down_since_us(store), 0);
	called = false;
	run_until(&called); /* after two */
	assert_true(store_down_since_us(store) > 0);
	assert_true(store_down_since_us(store) < clk_now_us(clk_system()));
	answer("watch=5", 200, "at 6\nb 6\n");
	assert_int_equal(store_down_since_us(store), 0);
}

/*
 * Processes start while the store does not respond: their first calls hang for
 * good. They must time out soon, as nobody is served before the settings are
 * known.
 */
static void
test_hanging_call_times_out_soon(void **state)
{
	int64_t begun_us;

	run_until(&called);
	called = false;
	begun_us = clk_now_us(clk_system());
	run_until(&called);
	assert_true(clk_now_us(clk_system()) - begun_us < 2 * G_USEC_PER_SEC);
	answer("after=", 200, "at 5\na 3\n");
	assert_string_equal(events->str, "down up +a | ");
}

/* A second store and its server, with caches of the kinds "kind" and "second". */
struct two_caches {
	struct hserver *server;
	struct store *store;
};

static const struct store_kind second = { .name = "second", .free = g_free };

static struct two_caches
open_two(const struct hserver_ops *how, const struct store_kind *first,
    const struct store_kind *next)
{
	struct two_caches two;
	char address[32];

	two.server = bed_server(loop, address, &limits, 10, how);
	two.store = open_store(address);
	(void)store_cache_new(two.store, first, &cache_ops, NULL);
	(void)store_cache_new(two.store, next, &cache_ops, NULL);
	return two;
}

static void
close_two(struct two_caches *two)
{
	store_free(two->store);
	run_ms(2);
	hserver_free(two->server);
}

/* With two caches two calls wait at once; the server distinguishes them. */
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

/* The store refuses all calls. Each is paid for, so only one of two caches
 * retries often; the first answer to it wakes the other at once. */
static void
test_one_cache_retries_for_all(void **state)
{
	static const struct hserver_ops either = { .request = on_either,
		.disconnected = on_disconnected,
		.drained = bed_ignore_drained,
		.refused = bed_ignore_refused };
	struct two_caches two;

	answer_with = 503;
	two = open_two(&either, &second, &kind);
	run_ms(1500);
	assert_true(asked_of[0] + asked_of[1] >= 4);
	assert_in_range(MIN(asked_of[0], asked_of[1]), 1, 2);
	answer_with = 200;
	run_ms(600);
	assert_non_null(strstr(events->str, "up"));
	assert_non_null(strstr(strstr(events->str, "up") + 2, "up"));
	close_two(&two);
}

/*
 * Guards against a list that is read for ever: a page ends with an entry without a
 * name, or the store does not continue after a name, and each further page is one
 * that was read before. What was read is used, nothing counts as removed, and the
 * changes after it are watched.
 */
static void
test_list_without_progress(void **state)
{
	answer("after=", 200, "at 5\na 3\nb 4\n");
	answer("watch=5", 410, "");
	answer("after=", 200, "at 9 more\na 3\nc 6\n");
	answer("after=c", 200, "at 9 more\nd 7\n");
	answer("after=d", 200, "at 9 more\na 3\nc 6\n");
	assert_string_equal(events->str, "+a +b | +c +d ");
	answer("watch=9", 200, "at 10\ne 10\n");
	answer("watch=10", 200, "at 11\na 11 -\n");
	assert_string_equal(events->str, "+a +b | +c +d +e -a ");
}

/* The list is read again after a while, and then in full. */
static void
test_list_is_completed_later(void **state)
{
	int64_t at_us = clk_now_us(clk_system());

	answer("after=", 200, "at 5 more\na 3\n");
	answer("after=a", 200, "at 5 more\n");
	assert_string_equal(events->str, "+a ");
	for (run_until(&called); is_asked("watch=5"); run_until(&called)) {
		if (clk_now_us(clk_system()) - at_us > 20 * G_USEC_PER_SEC)
			fail_msg("the list is not read again");
		run_ms(200);
		answer("watch=5", 200, "at 5\n");
	}
	assert_true(clk_now_us(clk_system()) - at_us > 2 * G_USEC_PER_SEC);
	answer("after=", 200, "at 5 more\na 3\n");
	answer("after=a", 200, "at 6\nb 6\n");
	assert_string_equal(events->str, "+a +b | ");
	answer("watch=5", 410, "");
	answer("after=", 200, "at 7\nb 6\n");
	assert_string_equal(events->str, "+a +b | ?a | ");
}

/* Guards against a gateway that counts as ready without any target, as the first
 * page of its list already leads nowhere. */
static void
test_list_that_brings_nothing(void **state)
{
	answer("after=", 200, "at 5 more\n");
	assert_false(store_cache_synced(cache));
	answer("watch=5", 200, "at 6\na 6\n");
	assert_true(store_cache_synced(cache));
	assert_string_equal(events->str, "+a ");
}

/* ------------------------------------------------------------------ */
/* Histories                                                           */
/* ------------------------------------------------------------------ */

/*
 * Guards against a cache that goes on with what it knew after the store was
 * restored from an older copy: it took all lower revisions for stale answers,
 * and missed every change until the store had counted up again.
 */
static void
test_restored_from_a_copy(void **state)
{
	answer_in("1", "after=", 200, "at 50\na 30\nb 50\n");
	answer_in("1", "watch=50", 410, "");
	answer_in("2", "after=", 200, "at 9\na 4\nc 9\n");
	assert_string_equal(events->str, "+a +b | +a +c ?b | ");
	answer_in("2", "watch=9", 200, "at 10\nb 10\n");
	assert_string_equal(events->str, "+a +b | +a +c ?b | +b ");
}

/* The revision that is watched exists again and stands for something else: the
 * events after it belong to another history, and those before it are lost. */
static void
test_revision_given_out_again(void **state)
{
	answer_in("1", "after=", 200, "at 5\na 3\nb 5\n");
	answer_in("2", "watch=5", 200, "at 7\nd 7\n");
	assert_string_equal(events->str, "+a +b | ");
	answer_in("2", "after=", 200, "at 7\na 3\nb 4\nc 5\nd 7\n");
	assert_string_equal(events->str, "+a +b | +a +b +c +d | ");
}

/* A list is not joined from pages of two histories. */
static void
test_list_across_histories(void **state)
{
	answer_in("1", "after=", 200, "at 50 more\na 30\n");
	answer_in("2", "after=a", 200, "at 9\nc 9\n");
	answer_in("2", "after=", 200, "at 9 more\na 4\n");
	answer_in("3", "after=a", 410, "");
	answer_in("3", "after=", 200, "at 6\nc 6\n");
	assert_string_equal(events->str, "+a +a +c ?a | ");
}

/* A refusal tells of the new history, too; an answer of the older one that
 * comes after it is dropped. One that names none counts as of the present. */
static void
test_answer_of_an_older_history(void **state)
{
	answer_in("1", "after=", 200, "at 50\na 30\n");
	answer_in("2", "watch=50", 503, "");
	answer_in("1", "after=", 200, "at 60\nb 60\n");
	assert_string_equal(events->str, "+a | down ");
	answer_in("2", "after=", 200, "at 9\na 4\n");
	answer_in("2", "watch=9", 200, "at 10\n");
	answer_in("nonsense", "watch=10", 200, "at 11\nc 11\n");
	assert_string_equal(events->str, "+a | down up +a | +c ");
}

/* Twice in a row: also the list of the second history is begun again. */
static void
test_restored_twice(void **state)
{
	answer_in("1", "after=", 200, "at 50\na 30\n");
	answer_in("2", "watch=50", 410, "");
	answer_in("3", "after=", 200, "at 8\na 8\n");
	answer_in("3", "watch=8", 200, "at 9\nb 9\n");
	assert_string_equal(events->str, "+a | +a | +b ");
}

/* Of the kinds "kind" and "second": the call that waits, and the number. */
static struct hreq *call_of[2];
static unsigned int calls_of[2];

static void
on_call_of(struct hreq *r, void *ctx)
{
	struct hslice target = hreq_msg(r)->target;
	int which = memmem(target.p, target.n, "second", 6) != NULL;

	call_of[which] = r;
	calls_of[which]++;
}

static void
on_call_gone(struct hreq *r, void *ctx)
{
	if (call_of[0] == r)
		call_of[0] = NULL;
	if (call_of[1] == r)
		call_of[1] = NULL;
}

static void
answer_of(int which, const char *history, const char *part, const char *body)
{
	struct hreq *r;
	char headers[64];
	int i;

	for (i = 0; i < 2000 && call_of[which] == NULL; i++)
		run_ms(1);
	r = call_of[which];
	assert_non_null(r);
	assert_non_null(memmem(
	    hreq_msg(r)->target.p, hreq_msg(r)->target.n, part, strlen(part)));
	call_of[which] = NULL;
	g_snprintf(headers, sizeof(headers), "T-History: %s\r\n", history);
	hreq_answer(r, 200, headers, body, strlen(body));
	run_ms(5);
}

static const struct hserver_ops by_kind = {
	.request = on_call_of,
	.disconnected = on_call_gone,
	.drained = bed_ignore_drained,
	.refused = bed_ignore_refused,
};

/* The answer to one cache's call makes the others list again at once: their own
 * watches may wait for a long time, from revisions that no longer exist. */
static void
test_all_caches_begin_the_new_history(void **state)
{
	struct two_caches two;

	memset(call_of, 0, sizeof(call_of));
	two = open_two(&by_kind, &kind, &second);
	answer_of(0, "1", "after=", "at 50\na 30\n");
	answer_of(1, "1", "after=", "at 50\nz 40\n");
	answer_of(0, "2", "watch=50", "at 51\nb 51\n");
	answer_of(1, "2", "after=", "at 20\nz 7\n");
	answer_of(0, "2", "after=", "at 20\na 9\n");
	answer_of(1, "2", "watch=20", "at 21\n");
	assert_string_equal(events->str, "+a | +z | +z | +a | ");
	assert_int_equal(store_history(two.store), 2);
	close_two(&two);
}

/* Guards against a watch that waits its time out on a dead connection, although
 * the call of another cache, made at that time, has been found lost. */
static void
test_lost_call_repeats_those_of_its_time(void **state)
{
	struct two_caches two;

	memset(call_of, 0, sizeof(call_of));
	two = open_two(&by_kind, &kind, &second);
	answer_of(0, "1", "after=", "at 5\na 3\n");
	answer_of(1, "1", "after=", "at 5\nz 4\n");
	run_ms(500);
	answer_of(1, "1", "watch=5", "at 5\n");
	run_ms(100);
	/* Both watches wait now; that of the first cache is given up first. */
	memset(calls_of, 0, sizeof(calls_of));
	while (calls_of[0] == 0)
		run_ms(1);
	assert_int_equal(calls_of[1], 0);
	answer_of(0, "1", "watch=5", "at 6\nb 6\n");
	run_ms(50);
	assert_int_equal(calls_of[1], 1);
	answer_of(1, "1", "watch=5", "at 7\ny 7\n");
	assert_non_null(strstr(events->str, "+y"));
	close_two(&two);
}

int
main(void)
{
#define T(f) cmocka_unit_test_setup_teardown(f, set_up, tear_down)
	const struct CMUnitTest tests[] = {
		T(test_listing_in_order_of_changes),
		T(test_pages_then_events),
		T(test_long_read_is_announced),
		T(test_changes_are_batched),
		T(test_history_gone),
		T(test_refused_calls),
		T(test_object_becomes_unreadable),
		T(test_stalled_connection),
		T(test_store_outage),
		T(test_hanging_call_times_out_soon),
		T(test_one_cache_retries_for_all),
		T(test_restored_from_a_copy),
		T(test_revision_given_out_again),
		T(test_list_across_histories),
		T(test_answer_of_an_older_history),
		T(test_restored_twice),
		T(test_all_caches_begin_the_new_history),
		T(test_lost_call_repeats_those_of_its_time),
		T(test_list_without_progress),
		T(test_list_is_completed_later),
		T(test_list_that_brings_nothing),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
