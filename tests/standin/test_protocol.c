/* Tests the stand-ins' implementation of docs/INTERFACES.md section 1, with
 * all of them in one process. */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <glib/gstdio.h>
#include <string.h>

#include "standin/test_client.h"

#define WEIGHTS_BYTES 300001
#define CHUNK_BYTES 65536

/* ------------------------------------------------------------------ */
/* Object API                                                          */
/* ------------------------------------------------------------------ */

static void
test_objects_conditions(void **state)
{
	const struct objects_options options = { 0 };
	struct standin *s = objects_start(&options, NULL);

	expect(s, "GET", "/v1/objects/team/a", NULL, 404, NULL);
	expect(s, "PUT", "/v1/objects/team/a",
	    "{\"op\":\"o1\",\"if_version\":0,\"value\":\"x\"}", 200,
	    "{\"version\":1}");
	expect(s, "PUT", "/v1/objects/team/a",
	    "{\"op\":\"o2\",\"if_version\":0,\"value\":\"y\"}", 409,
	    "{\"version\":1,\"op\":\"o1\",\"value\":\"x\"}");
	expect(s, "PUT", "/v1/objects/team/a",
	    "{\"op\":\"o3\",\"value\":\"z\"}", 200, "{\"version\":2}");
	expect(s, "GET", "/v1/objects/team/a", NULL, 200,
	    "{\"key\":\"team/a\",\"version\":2,\"op\":\"o3\",\"value\":\"z\"}");
	expect(s, "GET", "/v1/list?prefix=team/", NULL, 200,
	    "{\"revision\":2,\"objects\":[{\"key\":\"team/a\",\"version\":2}]}");
	expect(s, "GET", "/admin/counts", NULL, 200,
	    "{\"reads\":2,\"writes\":3,\"refused\":1,\"watches\":0,"
	    "\"lists\":1}");
	standin_free(s);
}

/*
 * A write takes effect, but its connection ends without an answer. The object
 * has the operation id of the write, so the writer can find out. A writer that
 * assumes a failure would write twice or give up a lease that it has.
 */
static void
test_objects_lost_answer(void **state)
{
	const struct objects_options options = { 0 };
	struct standin *s = objects_start(&options, NULL);
	struct answer a;

	expect(s, "POST", "/admin/faults", "{\"lose_answers\":1}", 200, NULL);
	call(&a, s, "PUT", "/v1/objects/k", "{\"op\":\"o1\",\"value\":\"x\"}",
	    NULL);
	assert_int_equal(a.status, 0);
	answer_clear(&a);
	expect(s, "GET", "/v1/objects/k", NULL, 200,
	    "{\"key\":\"k\",\"version\":1,\"op\":\"o1\",\"value\":\"x\"}");
	expect(s, "PUT", "/v1/objects/k", "{\"op\":\"o2\",\"value\":\"y\"}",
	    200, "{\"version\":2}");
	standin_free(s);
}

/* A delayed write takes effect while the writer still waits for the answer. */
static void
test_objects_delay(void **state)
{
	const struct objects_options options = { 0 };
	struct standin *s = objects_start(&options, NULL);
	struct answer slow;

	expect(s, "POST", "/admin/faults", "{\"delay_ms\":60000}", 200, NULL);
	begin(&slow, s, "PUT", "/v1/objects/k",
	    "{\"op\":\"o1\",\"value\":\"x\"}", NULL);
	wait_for_text(s, "/admin/counts", "\"writes\":1");
	expect(s, "POST", "/admin/faults", "{\"delay_ms\":0}", 200, NULL);
	expect(s, "GET", "/v1/objects/k", NULL, 200, NULL);
	assert_false(slow.done);
	answer_disconnect(&slow);
	answer_clear(&slow);
	standin_free(s);
}

static void
test_objects_watch(void **state)
{
	const struct objects_options options = { 0 };
	struct standin *s = objects_start(&options, NULL);
	struct answer watch;

	begin(&watch, s, "GET", "/v1/watch?prefix=a/&since=0&wait_ms=30000",
	    NULL, NULL);
	expect(s, "PUT", "/v1/objects/b/1", "{\"op\":\"o\",\"value\":\"\"}",
	    200, NULL);
	run_for_ms(20);
	assert_false(watch.done); /* another prefix */
	expect(s, "PUT", "/v1/objects/a/1", "{\"op\":\"o\",\"value\":\"v\"}",
	    200, NULL);
	wait_for(&watch.done);
	assert_true(body_has(&watch,
	    "{\"revision\":2,\"objects\":[{\"key\":\"a/1\",\"version\":1,"
	    "\"op\":\"o\",\"value\":\"v\"}]}"));
	answer_clear(&watch);
	expect(s, "GET", "/v1/watch?prefix=a/&since=2&wait_ms=10", NULL, 200,
	    "{\"revision\":2,\"objects\":[]}");
	expect(s, "GET", "/v1/watch?prefix=&since=1&wait_ms=30000", NULL, 200,
	    "{\"revision\":2,\"objects\":[{\"key\":\"a/1\",\"version\":1,"
	    "\"op\":\"o\",\"value\":\"v\"}]}");
	standin_free(s);
}

/* An outage that starts while a watch waits ends the watch at once with 503;
 * all calls get 503 until the outage ends. Earlier writes survive it. */
static void
test_objects_down(void **state)
{
	const struct objects_options options = { 0 };
	struct standin *s = objects_start(&options, NULL);
	struct answer watch;

	expect(s, "PUT", "/v1/objects/k", "{\"op\":\"o\",\"value\":\"v\"}", 200,
	    NULL);
	begin(&watch, s, "GET", "/v1/watch?since=1&wait_ms=30000", NULL, NULL);
	run_for_ms(20);
	expect(s, "POST", "/admin/faults", "{\"down\":true}", 200, NULL);
	wait_for(&watch.done);
	assert_int_equal(watch.status, 503);
	answer_clear(&watch);
	expect(s, "GET", "/v1/objects/k", NULL, 503, NULL);
	expect(s, "PUT", "/v1/objects/k", "{\"op\":\"p\",\"value\":\"w\"}", 503,
	    NULL);
	expect(s, "POST", "/admin/faults", "{\"down\":false}", 200, NULL);
	expect(s, "GET", "/v1/objects/k", NULL, 200,
	    "{\"key\":\"k\",\"version\":1,\"op\":\"o\",\"value\":\"v\"}");
	standin_free(s);
}

/* ------------------------------------------------------------------ */
/* Origin                                                              */
/* ------------------------------------------------------------------ */

struct folder {
	char *dir;
	uint8_t data[WEIGHTS_BYTES];
	struct digest root;
	char root_hex[DIGEST_HEX];
};

static void
folder_write(
    const struct folder *f, const char *name, const void *data, size_t len)
{
	char *path = g_build_filename(f->dir, name, NULL);

	assert_true(g_file_set_contents(path, data, (gssize)len, NULL));
	g_free(path);
}

/* Weights with their list of chunk digests and the root digest, computed as
 * docs/INTERFACES.md defines it. */
static struct folder *
folder_new(void)
{
	struct folder *f = g_new0(struct folder, 1);
	GByteArray *text = g_byte_array_new();
	struct digest digest;
	size_t i, head;
	char *first;

	f->dir = g_dir_make_tmp("standin-XXXXXX", NULL);
	assert_non_null(f->dir);
	for (i = 0; i < WEIGHTS_BYTES; i++)
		f->data[i] = (uint8_t)(i * 7 + i / 251);
	first = g_strdup_printf(
	    "currantchute-version-1\n%d\n%d\n", WEIGHTS_BYTES, CHUNK_BYTES);
	head = strlen(first);
	g_byte_array_append(text, (const guint8 *)first, (guint)head);
	for (i = 0; i < WEIGHTS_BYTES; i += CHUNK_BYTES) {
		digest_of(
		    f->data + i, MIN(CHUNK_BYTES, WEIGHTS_BYTES - i), &digest);
		g_byte_array_append(text, digest.bytes, DIGEST_BYTES);
	}
	digest_of(text->data, text->len, &f->root);
	digest_to_hex(&f->root, f->root_hex);
	folder_write(f, "v1", f->data, WEIGHTS_BYTES);
	folder_write(f, "v1.chunks", text->data + head, text->len - head);
	g_byte_array_free(text, TRUE);
	g_free(first);
	return f;
}

static void
folder_free(struct folder *f)
{
	static const char *const names[] = { "v1", "v1.chunks", "bad" };
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(names); i++) {
		char *path = g_build_filename(f->dir, names[i], NULL);

		g_remove(path);
		g_free(path);
	}
	g_rmdir(f->dir);
	g_free(f->dir);
	g_free(f);
}

static size_t
differences(const struct answer *a, const uint8_t *data)
{
	size_t len, i, n = 0;
	const uint8_t *got = g_bytes_get_data(a->body, &len);

	for (i = 0; i < len; i++)
		n += got[i] != data[i] ? 1 : 0;
	return n;
}

static void
test_origin_ranges_and_faults(void **state)
{
	static const char *const range[] = { "Range", "bytes=5-99999", NULL };
	struct folder *f = folder_new();
	const struct origin_options options = { .dir = f->dir,
		.bytes_s = 10000000 };
	struct standin *s = origin_start(&options, NULL);
	struct answer a;

	call(&a, s, "GET", "/v1/weights/v1", NULL, NULL);
	assert_int_equal(a.status, 200);
	assert_int_equal(body_len(&a), WEIGHTS_BYTES);
	assert_int_equal(differences(&a, f->data), 0);
	answer_clear(&a);
	call(&a, s, "GET", "/v1/weights/v1", NULL, range);
	assert_int_equal(a.status, 206);
	assert_int_equal(body_len(&a), 99995);
	assert_int_equal(differences(&a, f->data + 5), 0);
	answer_clear(&a);
	expect(s, "POST", "/admin/faults", "{\"corrupt_next\":1}", 200, NULL);
	call(&a, s, "GET", "/v1/weights/v1", NULL, range);
	assert_int_equal(differences(&a, f->data + 5), 1);
	answer_clear(&a);
	expect(s, "GET", "/v1/weights/none", NULL, 404, NULL);
	expect(s, "GET", "/admin/counts", NULL, 200,
	    "{\"requests\":4,\"bytes_sent\":499991,"
	    "\"by_name\":{\"v1\":499991}}");
	standin_free(s);
	folder_free(f);
}

static int64_t
bytes_sent(const struct standin *s)
{
	struct answer a;
	const char *data, *found;
	size_t len;
	int64_t n;

	call(&a, s, "GET", "/admin/counts", NULL, NULL);
	data = g_bytes_get_data(a.body, &len);
	found = g_strstr_len(data, (gssize)len, "\"bytes_sent\":");
	assert_non_null(found);
	n = g_ascii_strtoll(found + strlen("\"bytes_sent\":"), NULL, 10);
	answer_clear(&a);
	return n;
}

/* Two readers share one rate limit: by the origin's clock, the bytes sent are
 * exactly what the rate allows, however often the timer fires. */
static void
test_origin_pace(void **state)
{
	struct folder *f = folder_new();
	struct clk_fake fake;
	const struct origin_options options = {
		.dir = f->dir, .bytes_s = 1000000, .clock = &fake.clock
	};
	struct answer a, b;
	struct standin *s;
	int i;

	clk_fake_init(&fake, 0);
	s = origin_start(&options, NULL);
	begin(&a, s, "GET", "/v1/weights/v1", NULL, NULL);
	begin(&b, s, "GET", "/v1/weights/v1", NULL, NULL);
	run_for_ms(50);
	assert_int_equal(bytes_sent(s), 0);
	for (i = 1; i <= 5; i++) {
		clk_fake_advance_ms(&fake, 20);
		while (bytes_sent(s) < i * 20000)
			run_for_ms(1);
		run_for_ms(25);
		assert_int_equal(bytes_sent(s), i * 20000);
	}
	answer_disconnect(&a);
	answer_disconnect(&b);
	answer_clear(&a);
	answer_clear(&b);
	standin_free(s);
	folder_free(f);
}

/* A stalled transfer: half of the answer arrives, then nothing, and the
 * connection stays open. */
static void
test_origin_stall(void **state)
{
	struct folder *f = folder_new();
	const struct origin_options options = { .dir = f->dir };
	struct standin *s = origin_start(&options, NULL);
	struct answer a;

	expect(s, "POST", "/admin/faults", "{\"stall_next\":1}", 200, NULL);
	begin(&a, s, "GET", "/v1/weights/v1", NULL, NULL);
	while (bytes_sent(s) < WEIGHTS_BYTES / 2)
		run_for_ms(1);
	run_for_ms(50);
	assert_int_equal(bytes_sent(s), WEIGHTS_BYTES / 2);
	assert_false(a.done);
	answer_disconnect(&a);
	answer_clear(&a);
	standin_free(s);
	folder_free(f);
}

/* ------------------------------------------------------------------ */
/* Host list                                                           */
/* ------------------------------------------------------------------ */

static void
test_hosts_lag(void **state)
{
	static const char live[] =
	    "{\"hosts\":[{\"host\":\"h\",\"address\":\"127.0.0.1:1\","
	    "\"domain\":\"d\",\"state\":\"live\"}]}";
	struct clk_fake fake;
	struct hosts_options options = { .lag_ms = 1000, .clock = &fake.clock };
	struct standin *s;

	clk_fake_init(&fake, 0);
	s = hosts_start(&options, NULL);
	expect(s, "POST", "/admin/hosts", "{\"hosts\":[{}]}", 400, NULL);
	expect(s, "POST", "/admin/hosts", live, 200, NULL);
	clk_fake_advance_ms(&fake, 999);
	expect(s, "GET", "/v1/hosts", NULL, 200, "{\"hosts\":[]}");
	clk_fake_advance_ms(&fake, 1);
	expect(s, "POST", "/admin/hosts", "{\"hosts\":[]}", 200, NULL);
	expect(s, "GET", "/v1/hosts", NULL, 200, live);
	clk_fake_advance_ms(&fake, 1000);
	expect(s, "GET", "/v1/hosts", NULL, 200, "{\"hosts\":[]}");
	standin_free(s);
}

/* ------------------------------------------------------------------ */
/* Model engine: loads                                                 */
/* ------------------------------------------------------------------ */

static void
begin_order(struct answer *a, const struct standin *engine,
    const struct standin *origin, const char *source, const char *digest,
    int fence)
{
	char *body = g_strdup_printf(
	    "{\"model\":\"t/m\",\"version\":\"v1\",\"digest\":\"%s\","
	    "\"bytes\":%d,\"chunk_bytes\":%d,\"fence\":%d,\"order_id\":\"o%d\","
	    "\"chunks_url\":\"http://127.0.0.1:%u/v1/weights/v1.chunks\","
	    "\"source\":\"http://127.0.0.1:%u/v1/weights/%s\"}",
	    digest, WEIGHTS_BYTES, CHUNK_BYTES, fence, fence, origin->port,
	    origin->port, source);

	begin(a, engine, "POST", "/v1/load", body, NULL);
	g_free(body);
}

static void
order(const struct standin *engine, const struct standin *origin,
    const char *source, const char *digest, int fence, unsigned int status)
{
	struct answer a;

	begin_order(&a, engine, origin, source, digest, fence);
	wait_for(&a.done);
	assert_int_equal(a.status, status);
	answer_clear(&a);
}

static void
loaded_is(const struct standin *engine, const char *digest, int fence)
{
	char *text = g_strdup_printf("{\"model\":\"%s\",\"version\":\"%s\","
				     "\"digest\":\"%s\",\"fence\":%d}",
	    *digest == '\0' ? "" : "t/m", *digest == '\0' ? "" : "v1", digest,
	    fence);

	expect(engine, "GET", "/v1/load", NULL, 200, text);
	g_free(text);
}

/*
 * One byte of the weights is corrupted, or the order has another root digest.
 * The engine answers 502 and retains the loaded weights; it reports a digest
 * as loaded only after hashing all bytes itself.
 */
static void
test_engine_root_digest(void **state)
{
	static const char other[] = "0000000000000000000000000000000000000000"
				    "000000000000000000000001";
	struct engine_options options = ENGINE_OPTIONS_DEFAULT;
	struct folder *f = folder_new();
	const struct origin_options files = { .dir = f->dir };
	struct standin *origin = origin_start(&files, NULL);
	struct standin *engine = engine_start(&options, NULL);

	f->data[WEIGHTS_BYTES - 1] ^= 1;
	folder_write(f, "bad", f->data, WEIGHTS_BYTES);
	order(engine, origin, "bad", f->root_hex, 1, 502);
	order(engine, origin, "v1", other, 2, 502);
	order(engine, origin, "none", f->root_hex, 3, 502);
	loaded_is(engine, "", 0);
	order(engine, origin, "v1", f->root_hex, 4, 200);
	loaded_is(engine, f->root_hex, 4);
	order(engine, origin, "bad", f->root_hex, 5, 200); /* already loaded */
	standin_free(engine);
	standin_free(origin);
	folder_free(f);
}

/*
 * A lease holder that was paused sends an order after its successor did. An
 * engine that checks fencing numbers refuses the lower number and retains the
 * successor's version; one that does not check executes the order, which is why
 * the sidecar's fencing check must block it.
 */
static void
test_engine_fence(void **state)
{
	struct engine_options options = ENGINE_OPTIONS_DEFAULT;
	struct folder *f = folder_new();
	const struct origin_options files = { .dir = f->dir };
	struct standin *origin = origin_start(&files, NULL);
	struct standin *checks, *ignores;

	options.check_fence = true;
	checks = engine_start(&options, NULL);
	options.check_fence = false;
	ignores = engine_start(&options, NULL);
	order(checks, origin, "v1", f->root_hex, 8, 200);
	order(checks, origin, "v1", f->root_hex, 7, 409);
	loaded_is(checks, f->root_hex, 8);
	order(ignores, origin, "v1", f->root_hex, 8, 200);
	order(ignores, origin, "v1", f->root_hex, 7, 200);
	loaded_is(ignores, f->root_hex, 7);
	standin_free(checks);
	standin_free(ignores);
	standin_free(origin);
	folder_free(f);
}

/*
 * The order of a lease's successor arrives while the engine loads the order of
 * the previous holder. The previous order had a valid fencing number when it
 * arrived; if the engine did not check again at the end of the load, it would
 * activate the outdated order. It refuses it instead.
 */
static void
test_engine_fence_during_load(void **state)
{
	struct engine_options options = ENGINE_OPTIONS_DEFAULT;
	struct folder *f = folder_new();
	struct clk_fake fake;
	const struct origin_options files = {
		.dir = f->dir, .bytes_s = 1000000, .clock = &fake.clock
	};
	struct standin *origin, *engine;
	struct answer old, fresh;

	clk_fake_init(&fake, 0);
	origin = origin_start(&files, NULL);
	options.check_fence = true;
	engine = engine_start(&options, NULL);
	begin_order(&old, engine, origin, "v1", f->root_hex, 7);
	while (bytes_sent(origin) < 20000) {
		clk_fake_advance_ms(&fake, 1);
		run_for_ms(1);
	}
	begin_order(&fresh, engine, origin, "v1", f->root_hex, 8);
	wait_for_text(engine, "/admin/log", "\"o8\"");
	while (!old.done || !fresh.done) {
		clk_fake_advance_ms(&fake, 5);
		run_for_ms(1);
	}
	assert_int_equal(old.status, 409);
	assert_int_equal(fresh.status, 200);
	loaded_is(engine, f->root_hex, 8);
	answer_clear(&old);
	answer_clear(&fresh);
	standin_free(engine);
	standin_free(origin);
	folder_free(f);
}

/* A load that hangs gets no answer; when its client disconnects, the engine
 * executes the next order. */
static void
test_engine_load_faults(void **state)
{
	struct engine_options options = ENGINE_OPTIONS_DEFAULT;
	struct folder *f = folder_new();
	const struct origin_options files = { .dir = f->dir };
	struct standin *origin = origin_start(&files, NULL);
	struct standin *engine = engine_start(&options, NULL);
	struct answer hung, next;

	expect(engine, "POST", "/admin/faults",
	    "{\"load_fail\":1,\"load_hang\":1}", 200, NULL);
	order(engine, origin, "v1", f->root_hex, 1, 502);
	begin_order(&hung, engine, origin, "v1", f->root_hex, 2);
	wait_for_text(engine, "/admin/log", "\"o2\"");
	begin_order(&next, engine, origin, "v1", f->root_hex, 3);
	run_for_ms(50);
	assert_false(hung.done);
	assert_false(next.done);
	answer_disconnect(&hung);
	wait_for(&next.done);
	assert_int_equal(next.status, 200);
	loaded_is(engine, f->root_hex, 3);
	answer_clear(&hung);
	answer_clear(&next);
	standin_free(engine);
	standin_free(origin);
	folder_free(f);
}

/* ------------------------------------------------------------------ */
/* Program                                                             */
/* ------------------------------------------------------------------ */

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(
		    test_objects_conditions, client_setup, client_teardown),
		cmocka_unit_test_setup_teardown(
		    test_objects_lost_answer, client_setup, client_teardown),
		cmocka_unit_test_setup_teardown(
		    test_objects_delay, client_setup, client_teardown),
		cmocka_unit_test_setup_teardown(
		    test_objects_watch, client_setup, client_teardown),
		cmocka_unit_test_setup_teardown(
		    test_objects_down, client_setup, client_teardown),
		cmocka_unit_test_setup_teardown(test_origin_ranges_and_faults,
		    client_setup, client_teardown),
		cmocka_unit_test_setup_teardown(
		    test_origin_pace, client_setup, client_teardown),
		cmocka_unit_test_setup_teardown(
		    test_origin_stall, client_setup, client_teardown),
		cmocka_unit_test_setup_teardown(
		    test_hosts_lag, client_setup, client_teardown),
		cmocka_unit_test_setup_teardown(
		    test_engine_root_digest, client_setup, client_teardown),
		cmocka_unit_test_setup_teardown(
		    test_engine_fence, client_setup, client_teardown),
		cmocka_unit_test_setup_teardown(test_engine_fence_during_load,
		    client_setup, client_teardown),
		cmocka_unit_test_setup_teardown(
		    test_engine_load_faults, client_setup, client_teardown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
