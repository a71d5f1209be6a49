/* A store whose answers break off. */

#include "bed.h"

#include "store/store.h"

#define HEAD(length)                               \
	"HTTP/1.1 200 OK\r\nConnection: close\r\n" \
	"Content-Length: " length "\r\n\r\n"
/* What the dialect of this test reads: '+' an object, '-' none. */
#define OBJECT HEAD("10") "+         "
#define EMPTY HEAD("10") "-         "

/* Bytes of an answer that arrive; each failure has a backoff. http-cut tries
 * all places. */
static const size_t places[] = {
	0, /* no answer */
	5, /* in the status line */
	sizeof("HTTP/1.1 200 OK"), /* between CR and LF */
	sizeof("HTTP/1.1 200 OK\r\n") - 1,
	sizeof(HEAD("1")) - sizeof("\r\n\r\n"), /* in the length */
	sizeof(HEAD("10")) - sizeof("\r\n\r\n"), /* after it */
	sizeof(HEAD("10")) - sizeof("\r\n"), /* before the empty line */
	sizeof(HEAD("10")) - sizeof("\n"), /* in it */
	sizeof(HEAD("10")) - 1, /* after the head */
	sizeof(EMPTY) - 2, /* all but a byte */
};

static struct evl *loop;
static struct hpool *pool;
static struct ctr_set *counters;
static struct store *store;
static char address[32];
static int listener;
static unsigned int objects;
static bool synced, down;
static int64_t revision;

static char *
list_path(const struct store_kind *kind, const char *after)
{
	return g_strdup("/list");
}

static char *
watch_path(const struct store_kind *kind, int64_t since, int64_t wait_ms)
{
	return g_strdup(wait_ms > 0 ? "/watch" : "/watch-now");
}

/* Accepts shorter bodies, too: only whole answers may come here. */
static bool
read_page(const struct store_kind *kind, const void *body, size_t len,
    struct store_page *out, struct err *err)
{
	struct store_item item = { .name = g_strdup("a") };

	item.revision = out->revision = ++revision;
	if (len > 0 && *(const char *)body == '+') {
		item.value = g_strdup("");
		g_array_append_val(out->items, item);
	} else
		g_free(item.name);
	return true;
}

static const struct store_dialect dialect = {
	.list_path = list_path,
	.watch_path = watch_path,
	.history_header = "T-History",
	.read_page = read_page,
};

static const struct store_kind kind = { .name = "kind", .free = g_free };

static void
on_put(const char *name, void *value, void *ctx)
{
	objects = 1;
	g_free(value);
}

static void
on_removed(const char *name, bool expired, void *ctx)
{
	objects = 0;
}

static void
on_synced(void *ctx)
{
	synced = true;
}

static void
on_link(bool is_up, const char *why, void *ctx)
{
	down = !is_up;
}

static const struct store_cache_ops ops = {
	.put = on_put,
	.removed = on_removed,
	.synced = on_synced,
	.link = on_link,
};

static int
set_up(void **state)
{
	synced = down = false;
	objects = 0;
	revision = 0;
	listener = raw_listen(address);
	loop = evl_new(clk_system());
	counters = ctr_set_new();
	pool = bed_pool(loop, 200000, 5000000);
	store = store_new(&(struct store_conf){ .loop = loop,
	    .pool = pool,
	    .address = address,
	    .dialect = &dialect,
	    .counters = counters,
	    .seed = 1,
	    .stall_timeout_us = 1200000 });
	store_cache_new(store, &kind, &ops, NULL);
	return 0;
}

static int
tear_down(void **state)
{
	store_free(store);
	run_ms(2);
	hpool_free(pool);
	ctr_set_free(counters);
	evl_free(loop);
	close(listener);
	return 0;
}

/* Answers the next call, of this path, with the first bytes of an answer. */
static void
answer(const char *path, const char *text, size_t len, bool reset)
{
	int fd = raw_accept(listener);
	char *request = raw_read(fd, "\r\n\r\n");

	if (strstr(request, path) == NULL)
		fail_msg("%s asked for, not %s", request, path);
	g_free(request);
	assert_int_equal(send(fd, text, len, MSG_NOSIGNAL), len);
	if (reset) {
		run_ms(1); /* it must not overtake the bytes before it */
		raw_reset(fd);
	} else
		close(fd);
}

static void
list_the_object(void)
{
	synced = false;
	answer("/list", OBJECT, strlen(OBJECT), false);
	run_until(&synced);
	assert_int_equal(objects, 1);
}

/* Guards against a watch that broke off and counts as news, or ends what is
 * known: one that waited, and the one that asks at once whether the store
 * answers. Only the latter shows that it does not. */
static void
test_watch_breaks_off(void **state)
{
	size_t i;

	list_the_object();
	for (i = 0; i < G_N_ELEMENTS(places); i++) {
		down = false;
		answer("/watch ", EMPTY, places[i], i % 2 == 1);
		answer("/watch-now ", EMPTY, places[i], i % 2 == 0);
		assert_false(down);
		run_until(&down);
		assert_int_equal(objects, 1);
		/* A whole answer ends the backoff. */
		answer("/watch-now ", EMPTY, strlen(EMPTY), false);
	}
}

/* Guards against a list that broke off and reads as an empty one: every target
 * would be removed. */
static void
test_list_breaks_off(void **state)
{
	static const char gone[] = "HTTP/1.1 410 Gone\r\nConnection: close\r\n"
				   "Content-Length: 0\r\n\r\n";
	size_t i;

	list_the_object();
	for (i = 0; i < G_N_ELEMENTS(places); i++) {
		answer("/watch", gone, strlen(gone), false);
		down = false;
		answer("/list", EMPTY, places[i], i % 2 == 1);
		run_until(&down);
		assert_int_equal(objects, 1);
		list_the_object();
	}
	answer("/watch", gone, strlen(gone), false);
	synced = false;
	answer("/list", EMPTY, strlen(EMPTY), false);
	run_until(&synced);
	assert_int_equal(objects, 0);
}

/* Guards against a list that is given up while it arrives, as it takes longer than
 * an answer may take to begin: each further call would read as much in vain. */
static void
test_slow_list_is_read(void **state)
{
	int fd = raw_accept(listener), i;

	g_free(raw_read(fd, "\r\n\r\n"));
	raw_send(fd, HEAD("10"));
	raw_send(fd, "+");
	for (i = 0; i < 9; i++) {
		run_ms(150);
		raw_send(fd, " ");
	}
	run_until(&synced);
	assert_false(down);
	assert_int_equal(objects, 1);
	close(fd);
}

/* The other direction: one that stops arriving is given up, and so is one that
 * arrives without ever being complete. */
static void
test_stalled_list_is_given_up(void **state)
{
	int fd = raw_accept(listener), i;

	g_free(raw_read(fd, "\r\n\r\n"));
	raw_send(fd, HEAD("10"));
	raw_send(fd, "+");
	run_until(&down);
	close(fd);
	down = false;
	fd = raw_accept(listener);
	g_free(raw_read(fd, "\r\n\r\n"));
	raw_send(fd, HEAD("1000"));
	for (i = 0; i < 200 && send(fd, " ", 1, MSG_NOSIGNAL) == 1; i++)
		run_ms(100);
	assert_true(i < 200);
	assert_false(synced);
	close(fd);
}

int
main(void)
{
#define T(f) cmocka_unit_test_setup_teardown(f, set_up, tear_down)
	const struct CMUnitTest tests[] = {
		T(test_watch_breaks_off),
		T(test_list_breaks_off),
		T(test_slow_list_is_read),
		T(test_stalled_list_is_given_up),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
