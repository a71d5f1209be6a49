/* One process's share of a retry budget over a sliding window. */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <string.h>

#include "common/spend.h"

#define SECOND ((int64_t)1000000)

static const struct spend_conf conf = {
	.ratio = 0.16, .slack = 80, .window_us = 10 * SECOND, .processes = 5
};

static unsigned int
take_all(struct spend *s, int64_t now_us)
{
	unsigned int n = 0;

	while (spend_take(s, &conf, now_us))
		n++;
	return n;
}

/* One of five processes: a fifth of the slack and of its own requests, so that
 * all five together do not exceed the budget. */
static void
test_share(void **state)
{
	struct spend s = { 0 };
	unsigned int i;

	assert_int_equal(take_all(&s, SECOND), 16);
	for (i = 0; i < 100; i++)
		spend_request(&s, &conf, SECOND);
	assert_int_equal(take_all(&s, SECOND), 16);
	assert_false(spend_take(&s, &conf, 10 * SECOND));
	assert_int_equal(take_all(&s, 12 * SECOND), 16);
}

/* No window of the budget's length has more retries than the share, whenever in
 * a time slot the retries begin. Those from late in a slot used to expire with
 * its beginning, so that a window had twice the share. */
static void
test_any_window(void **state)
{
	static int64_t taken[4000];
	int64_t begin_us, now_us;
	size_t n, first, i;

	for (begin_us = 0; begin_us < SECOND; begin_us += 70000) {
		struct spend s = { 0 };

		n = first = 0;
		for (now_us = begin_us; now_us < 60 * SECOND; now_us += 7000) {
			if (n < 4000 && spend_take(&s, &conf, now_us))
				taken[n++] = now_us;
		}
		for (i = 0; i < n; i++) {
			while (taken[i] - taken[first] >= 10 * SECOND)
				first++;
			assert_true(i - first < 16);
		}
	}
}

/* Another process continues the counts of a copy: what was taken expires no
 * earlier than a window after it was, and at most a time slot later. */
static void
test_inherited(void **state)
{
	int64_t phase_us, at_us, until_us;
	struct spend_copy copy;

	for (at_us = 100 * SECOND; at_us < 101 * SECOND; at_us += 70000) {
		for (phase_us = 0; phase_us < SECOND; phase_us += 90000) {
			struct spend before = { 0 }, after = { 0 };

			assert_int_equal(take_all(&before, at_us), 16);
			spend_export(&before, &conf, at_us + phase_us, &copy);
			/* The clock of the next process differs. */
			spend_inherit(&after, &conf, 7 * SECOND + phase_us,
			    &copy, 300000);
			until_us = 7 * SECOND - 300000 + 10 * SECOND;
			assert_int_equal(take_all(&after, until_us - 1), 0);
			assert_int_equal(
			    take_all(&after, until_us + SECOND / 2), 16);
		}
	}
}

/* Guards against counts that become younger with each restart: requests would
 * allow retries for longer, and retries deny them for longer. */
static void
test_inherited_many_times(void **state)
{
	int64_t now_us = 100 * SECOND + 10000, until_us = now_us + 10 * SECOND;
	struct spend before = { 0 }, after;
	struct spend_copy copy;
	unsigned int i;

	for (i = 0; i < 100; i++)
		spend_request(&before, &conf, now_us);
	assert_int_equal(take_all(&before, now_us), 32);
	while (now_us + 310000 < until_us) {
		spend_export(&before, &conf, now_us, &copy);
		now_us += 310000;
		memset(&after, 0, sizeof(after));
		spend_inherit(&after, &conf, now_us, &copy, 310000);
		before = after;
	}
	assert_int_equal(spend_usage(&before, &conf, until_us - 1).extra, 32);
	assert_int_equal(
	    spend_usage(&before, &conf, until_us + SECOND / 2).requests, 0);
	assert_int_equal(
	    spend_usage(&before, &conf, until_us + SECOND / 2).extra, 0);
}

/* A newer copy replaces the inherited counts; its own stay. */
static void
test_inherited_again(void **state)
{
	struct spend before = { 0 }, after = { 0 };
	struct spend_copy copy;
	unsigned int i;

	for (i = 0; i < 4; i++)
		spend_add(&before, &conf, 20 * SECOND);
	for (i = 0; i < 50; i++)
		spend_request(&before, &conf, 20 * SECOND);
	spend_export(&before, &conf, 20 * SECOND, &copy);
	spend_inherit(&after, &conf, 20 * SECOND, &copy, 0);
	spend_add(&after, &conf, 20 * SECOND);
	spend_inherit(&after, &conf, 20 * SECOND, &copy, 0);
	assert_int_equal(spend_usage(&after, &conf, 20 * SECOND).extra, 4 + 1);
	assert_int_equal(spend_usage(&after, &conf, 20 * SECOND).requests, 50);
	assert_int_equal(take_all(&after, 20 * SECOND), 16 + 8 - 5);
}

/* Without a known number of processes there is no share of the slack. */
static void
test_no_share(void **state)
{
	struct spend_conf alone = conf;
	struct spend s = { 0 };
	unsigned int i;

	alone.processes = 0;
	assert_false(spend_take(&s, &alone, SECOND));
	for (i = 0; i < 7; i++)
		spend_request(&s, &alone, SECOND);
	assert_true(spend_take(&s, &alone, SECOND));
	assert_false(spend_take(&s, &alone, SECOND));
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_share),
		cmocka_unit_test(test_any_window),
		cmocka_unit_test(test_inherited),
		cmocka_unit_test(test_inherited_many_times),
		cmocka_unit_test(test_inherited_again),
		cmocka_unit_test(test_no_share),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
