/* A store whose answers have no end. */

#include "bed.h"

#include "../http/endless.h"
#include "store/store.h"

#define SENT_MAX (24u << 20) /* bytes; a page may have 8 MB */

static struct evl *loop;
static struct hpool *pool;
static struct ctr_set *counters;
static struct store *store;
static int listener;
static bool synced, down;

static char *
list_path(const struct store_kind *kind, const char *after)
{
	return g_strdup("/list");
}

static char *
watch_path(const struct store_kind *kind, int64_t since, int64_t wait_ms)
{
	return g_strdup("/watch");
}

static bool
read_page(const struct store_kind *kind, const void *body, size_t len,
    struct store_page *out, struct err *err)
{
	out->revision = 1;
	return len == 2;
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
	g_free(value);
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
	.removed = bed_ignore_removed,
	.synced = on_synced,
	.link = on_link,
};

static int
next_call(void)
{
	int fd = raw_accept(listener);

	g_free(raw_read(fd, "\r\n\r\n"));
	return fd;
}

static void
open_all(void)
{
	static char address[32];
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
}

static void
close_all(void)
{
	store_free(store);
	run_ms(2);
	hpool_free(pool);
	ctr_set_free(counters);
	evl_free(loop);
	close(listener);
}

/* Guards against a client that reads a page without end as long as its call
 * lasts, and against one that does not come back to a sound store. */
static void
test_endless_page(void **state)
{
	struct endless_sender s;
	size_t i;

	for (i = 0; i < ENDLESS_KINDS; i++) {
		open_all();
		synced = down = false;
		s = (struct endless_sender){ next_call(), &endless_kinds[i] };
		while (!s.closed && s.sent < SENT_MAX) {
			endless_send(&s);
			g_main_context_iteration(NULL, FALSE);
		}
		if (!s.closed)
			fail_msg("%s: %zu bytes sent", s.kind->name, s.sent);
		close(s.fd);
		run_until(&down);
		s.fd = next_call();
		raw_send(s.fd, ENDLESS_OK "Content-Length: 2\r\n\r\nok");
		run_until(&synced);
		assert_false(down);
		close(s.fd);
		close_all();
	}
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_endless_page),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
