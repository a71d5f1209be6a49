/* Errors, digests, random numbers, counters, event timeline. */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <string.h>

#include "common/common.h"

static void
test_error_names(void **state)
{
	int code;

	for (code = 0; code < ERR_CODES; code++) {
		assert_int_equal(err_code_from_name(err_code_name(code)), code);
	}
	assert_int_equal(err_code_from_name("no such"), ERR_INTERNAL);
	/* An unknown verdict must not be interpreted as "not run". */
	assert_int_equal(verdict_from_name("?"), VERDICT_MAY_HAVE_RUN);
	assert_int_equal(verdict_from_name("NOT_RUN"), VERDICT_NOT_RUN);
}

static void
test_clock_late(void **state)
{
	struct clk_fake fake;

	clk_fake_init(&fake, 1000000);
	assert_false(clk_is_late(&fake.clock, 1000000));
	clk_fake_advance_ms(&fake, 2);
	assert_false(clk_is_late(&fake.clock, 1000000));
	clk_fake_advance_ms(&fake, 18);
	assert_true(clk_is_late(&fake.clock, 1000000));
}

/* Guards against a deadline that ends a request whose input, larger than the
 * buffers of its connection, still arrives after the process was held up. */
static void
test_clock_catch_up(void **state)
{
	struct clk_catch_up c = { 0 };
	int64_t now_us = 0;
	uint64_t n = 0;

	assert_false(clk_catch_up(&c, 1000, 0, 0)); /* in time */
	assert_true(clk_catch_up(&c, 300000, 0, 1));
	assert_true(clk_catch_up(&c, 550000, 0, 1)); /* nothing arrives */
	assert_true(clk_catch_up(&c, 599000, 0, 2));
	assert_true(clk_catch_up(&c, 898000, 0, 2));
	assert_false(clk_catch_up(&c, 899000, 0, 2));

	/* A short delay, and input without end. */
	c = (struct clk_catch_up){ 0 };
	while (clk_catch_up(&c, now_us, -10000, n)) {
		now_us += CLK_READ_MS * 1000;
		n++;
	}
	assert_int_equal(n, 2000 / CLK_READ_MS);
}

static void
test_digest(void **state)
{
	static const char abc[] = "ba7816bf8f01cfea414140de5dae2223"
				  "b00361a396177a9cb410ff61f20015ad";
	struct digest_stream *stream = digest_stream_new();
	struct digest whole, sliced, read;
	char hex[DIGEST_HEX];

	digest_of("abc", 3, &whole);
	digest_to_hex(&whole, hex);
	assert_string_equal(hex, abc);
	digest_stream_add(stream, "a", 1);
	digest_stream_add(stream, "bc", 2);
	digest_stream_end(stream, &sliced);
	assert_true(digest_equal(&whole, &sliced));
	assert_true(digest_from_hex(hex, &read));
	assert_true(digest_equal(&whole, &read));
	assert_false(digest_from_hex("ab", &read));
	hex[3] = 'x';
	assert_false(digest_from_hex(hex, &read));
}

static void
test_rng_repeats(void **state)
{
	struct rng a, b;
	int i;

	rng_seed(&a, 7);
	rng_seed(&b, 7);
	for (i = 0; i < 100; i++)
		assert_true(rng_next(&a) == rng_next(&b));
}

static void
test_counters(void **state)
{
	struct ctr_set *set = ctr_set_new();
	GString *out = g_string_new(NULL);

	ctr_add(ctr_get(set, "b_total"), 2);
	ctr_add(ctr_get(set, "b_total"), 3);
	ctr_put(ctr_get(set, "a_now"), -1);
	assert_int_equal(ctr_read(set, "b_total"), 5);
	assert_int_equal(ctr_read(set, "absent"), 0);
	ctr_print(set, out);
	assert_string_equal(out->str, "a_now -1\nb_total 5\n");
	g_string_free(out, TRUE);
	ctr_set_free(set);
}

static void
count_event(const struct tl_event *event, void *ctx)
{
	uint64_t *last = ctx;

	assert_true(event->seq > *last);
	*last = event->seq;
}

static void
test_timeline_keeps_newest(void **state)
{
	struct clk_fake fake;
	struct tl *tl;
	uint64_t last = 0;
	int i;

	clk_fake_init(&fake, 1000000);
	tl = tl_new(&fake.clock, "n1");
	for (i = 0; i < TL_EVENTS_MAX + 10; i++)
		tl_add(tl, "kind", "subject", "%d", i);
	assert_int_equal(
	    tl_each(tl, 0, count_event, &last), TL_EVENTS_MAX + 10);
	assert_int_equal(last, TL_EVENTS_MAX + 10);
	tl_free(tl);
}

/*
 * Host B's clock is an hour behind host A's. B receives a message from A and
 * records an event; sorted by timestamp, B's event must come after A's.
 */
static void
test_timeline_order_survives_skew(void **state)
{
	struct clk_fake clock_a, clock_b;
	struct tl *a, *b;
	uint64_t sent;

	clk_fake_init(&clock_a, 7200LL * 1000000);
	clk_fake_init(&clock_b, 3600LL * 1000000);
	a = tl_new(&clock_a.clock, "a");
	b = tl_new(&clock_b.clock, "b");
	sent = tl_stamp(a);
	assert_true(tl_stamp(b) < sent);
	tl_observe(b, sent);
	assert_true(tl_stamp(b) > sent);
	tl_free(a);
	tl_free(b);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_error_names),
		cmocka_unit_test(test_clock_late),
		cmocka_unit_test(test_clock_catch_up),
		cmocka_unit_test(test_digest),
		cmocka_unit_test(test_rng_repeats),
		cmocka_unit_test(test_counters),
		cmocka_unit_test(test_timeline_keeps_newest),
		cmocka_unit_test(test_timeline_order_survives_skew),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
