/* Retry accounts that outlive a gateway's process: which copy is continued. */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <string.h>

#include "serve/acct.h"

#define SECOND ((int64_t)1000000)
#define WINDOW_US (10 * SECOND)
#define NOW_US (100 * SECOND)
#define GATEWAY "10.0.0.1:7700"

static struct acct_copies copies;

static void
put(uint64_t start, uint64_t seq, int64_t now_us)
{
	struct side_account message = { .start = start,
		.seq = seq,
		.entries = { (const uint8_t *)"abc", 3 } };

	acct_copies_put(&copies, GATEWAY, &message, now_us);
}

static int
set_up(void **state)
{
	acct_copies_init(&copies);
	return 0;
}

static int
tear_down(void **state)
{
	acct_copies_clear(&copies);
	return 0;
}

/* A process gets the copy of the one before it, with its age, and never its
 * own. */
static void
test_copy_of_the_process_before(void **state)
{
	struct side_account copy;

	assert_false(acct_copies_get(&copies, GATEWAY, 2, NOW_US, &copy));
	put(1, 7, NOW_US);
	assert_false(acct_copies_get(&copies, GATEWAY, 1, NOW_US, &copy));
	assert_true(
	    acct_copies_get(&copies, GATEWAY, 2, NOW_US + SECOND, &copy));
	assert_int_equal(copy.start, 1);
	assert_int_equal(copy.seq, 7);
	assert_int_equal(copy.age_ms, 1000);
	assert_true(copy.current);
	assert_int_equal(copy.entries.len, 3);
	assert_memory_equal(copy.entries.data, "abc", 3);
}

/* A datagram that arrives late does not replace a newer copy. */
static void
test_copies_in_order(void **state)
{
	struct side_account copy;

	put(1, 7, NOW_US);
	put(1, 6, NOW_US + 1000);
	assert_true(acct_copies_get(&copies, GATEWAY, 2, NOW_US, &copy));
	assert_int_equal(copy.seq, 7);
}

/* A copy may lack retries if the process went on without sending more to this
 * sidecar, or if it was out of reach for long. */
static void
test_copy_that_lacks_retries(void **state)
{
	struct side_account copy;

	put(1, 1, NOW_US);
	acct_copies_heard(&copies, GATEWAY, 1, NOW_US + 3 * SECOND);
	assert_true(
	    acct_copies_get(&copies, GATEWAY, 2, NOW_US + 3 * SECOND, &copy));
	assert_false(copy.current);
	put(1, 2, NOW_US + 3 * SECOND);
	assert_true(
	    acct_copies_get(&copies, GATEWAY, 2, NOW_US + 4 * SECOND, &copy));
	assert_true(copy.current);
	assert_true(
	    acct_copies_get(&copies, GATEWAY, 2, NOW_US + 9 * SECOND, &copy));
	assert_false(copy.current);
}

/* A sign of life of the next process says nothing of the copy's. */
static void
test_heard_of_the_next_process(void **state)
{
	struct side_account copy;

	put(1, 1, NOW_US);
	acct_copies_heard(&copies, GATEWAY, 2, NOW_US + 3 * SECOND);
	assert_true(
	    acct_copies_get(&copies, GATEWAY, 2, NOW_US + 3 * SECOND, &copy));
	assert_true(copy.current);
}

/* A gateway that is no longer heard shares the slack for a while. */
static void
test_sharers(void **state)
{
	acct_copies_heard(&copies, "a", 1, NOW_US);
	acct_copies_heard(&copies, "b", 1, NOW_US + 50 * SECOND);
	assert_int_equal(acct_copies_sharers(&copies, NOW_US + 59 * SECOND), 2);
	assert_int_equal(acct_copies_sharers(&copies, NOW_US + 62 * SECOND), 1);
}

/* A lower number of sharers, as a sidecar reports that has just started, applies
 * only once none has reported more for a while; a higher one at once. */
static void
test_lower_number_of_sharers(void **state)
{
	struct acct a;

	acct_start(&a, NOW_US);
	assert_true(acct_reported(&a, 5, NOW_US));
	assert_false(acct_reported(&a, 1, NOW_US + SECOND));
	assert_int_equal(a.sharers, 5);
	assert_true(acct_reported(&a, 6, NOW_US + 2 * SECOND));
	assert_false(acct_reported(&a, 4, NOW_US + 60 * SECOND));
	assert_true(acct_reported(&a, 4, NOW_US + 63 * SECOND));
	assert_int_equal(a.sharers, 4);
}

/* The newest copy is continued, and the slack is used from a current one on. */
static void
test_newest_copy(void **state)
{
	struct acct_origin old = { .start = 1, .seq = 9, .made_us = NOW_US };
	struct acct_origin newer = {
		.start = 2, .seq = 3, .made_us = NOW_US + SECOND, .sharers = 5
	};
	struct acct a;

	acct_start(&a, NOW_US + 2 * SECOND);
	assert_true(acct_offered(&a, &old, false, NOW_US + 2 * SECOND));
	assert_int_equal(
	    acct_state(&a, WINDOW_US, true, NOW_US + 2 * SECOND), ACCT_UNKNOWN);
	assert_true(acct_offered(&a, &newer, false, NOW_US + 2 * SECOND));
	assert_false(acct_offered(&a, &old, true, NOW_US + 2 * SECOND));
	assert_int_equal(
	    acct_state(&a, WINDOW_US, true, NOW_US + 2 * SECOND), ACCT_UNKNOWN);
	assert_false(acct_offered(&a, &newer, true, NOW_US + 2 * SECOND));
	assert_int_equal(
	    acct_state(&a, WINDOW_US, true, NOW_US + 2 * SECOND), ACCT_USABLE);
	assert_int_equal(a.sharers, 5);
	assert_int_equal(
	    acct_state(&a, WINDOW_US, false, NOW_US + 2 * SECOND), ACCT_ALONE);
}

/* Guards against a gateway that never uses the slack as it starts again within
 * each window: what is known goes back to the first of its processes. */
static void
test_known_since_an_earlier_process(void **state)
{
	struct acct_origin copy = { .start = 1,
		.seq = 1,
		.made_us = NOW_US,
		.known_us = NOW_US - 8 * SECOND,
		.sharers = 2 };
	struct acct a;

	acct_start(&a, NOW_US + SECOND);
	assert_true(acct_offered(&a, &copy, true, NOW_US + SECOND));
	assert_int_equal(
	    acct_state(&a, WINDOW_US, true, NOW_US + SECOND), ACCT_UNKNOWN);
	assert_int_equal(
	    acct_state(&a, WINDOW_US, true, NOW_US + 2 * SECOND + 1),
	    ACCT_USABLE);
}

/* A process sends no copy while it may still get that of the one before. */
static void
test_first_copy(void **state)
{
	struct acct_origin copy = { .start = 1,
		.seq = 1,
		.made_us = NOW_US,
		.known_us = NOW_US - WINDOW_US };
	struct acct a;

	acct_start(&a, NOW_US);
	assert_false(acct_may_copy(&a, WINDOW_US, NOW_US + SECOND - 1));
	assert_true(acct_may_copy(&a, WINDOW_US, NOW_US + SECOND));
	assert_true(acct_offered(&a, &copy, true, NOW_US + 1));
	assert_true(acct_may_copy(&a, WINDOW_US, NOW_US + 1));
}

/* Without a copy, the slack is used after a window, by a known number. */
static void
test_no_copy(void **state)
{
	struct acct a;

	acct_start(&a, NOW_US);
	assert_int_equal(
	    acct_state(&a, WINDOW_US, true, NOW_US + WINDOW_US), ACCT_UNKNOWN);
	assert_int_equal(
	    acct_state(&a, WINDOW_US, true, NOW_US + WINDOW_US + 1),
	    ACCT_NOT_COUNTED);
	assert_true(acct_reported(&a, 3, NOW_US + WINDOW_US));
	assert_int_equal(
	    acct_state(&a, WINDOW_US, true, NOW_US + WINDOW_US + 1),
	    ACCT_USABLE);
}

#define TEST(f) cmocka_unit_test_setup_teardown(f, set_up, tear_down)

int
main(void)
{
	const struct CMUnitTest tests[] = {
		TEST(test_copy_of_the_process_before),
		TEST(test_copies_in_order),
		TEST(test_copy_that_lacks_retries),
		TEST(test_heard_of_the_next_process),
		TEST(test_sharers),
		TEST(test_lower_number_of_sharers),
		TEST(test_newest_copy),
		TEST(test_known_since_an_earlier_process),
		TEST(test_first_copy),
		TEST(test_no_copy),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
