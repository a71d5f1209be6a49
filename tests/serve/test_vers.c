/* Which version of the weights may serve, and from when on no older one. */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "serve/vers.h"

#define SECOND 1000000

static void
test_versions_become_due(void **state)
{
	struct vers *v = vers_new(8 * SECOND, 0);
	struct sv_version named = { .model = "m", .version = 2 };
	int64_t due_us = 8 * SECOND;

	assert_int_equal(vers_min(v, "m", 0), 0);
	assert_true(vers_announced(v, &named, false, SECOND));
	assert_false(vers_announced(v, &named, false, 2 * SECOND));
	named.version = 5;
	assert_true(vers_announced(v, &named, false, 3 * SECOND));
	assert_int_equal(vers_min(v, "m", SECOND + due_us - 1), 0);
	assert_int_equal(vers_min(v, "m", SECOND + due_us), 2);
	assert_int_equal(vers_min(v, "m", 3 * SECOND + due_us), 5);
	assert_int_equal(vers_newest(v, "m"), 5);
	assert_int_equal(vers_deadline_us(v, "m", 1), SECOND + due_us);
	assert_int_equal(vers_deadline_us(v, "m", 2), 3 * SECOND + due_us);
	assert_int_equal(vers_deadline_us(v, "m", 5), 0);
	assert_int_equal(vers_min(v, "other", 99 * SECOND), 0);
	assert_int_equal(vers_min(v, NULL, 99 * SECOND), 0);
	vers_free(v);
}

/*
 * Keepers that restart while two versions are on their way must hear of both:
 * they are the origin's readers of some pieces, and for those that are wanted
 * first everybody would wait until others step in.
 */
static void
test_the_version_before_the_newest(void **state)
{
	struct vers *v = vers_new(8 * SECOND, 0);
	struct sv_version named = { .model = "m", .version = 2 };
	int64_t heard_us = 0;

	assert_int_equal(vers_pending(v, "m", SECOND, &heard_us), 0);
	vers_announced(v, &named, false, SECOND);
	assert_int_equal(vers_pending(v, "m", SECOND, &heard_us), 0);
	named.version = 3;
	vers_announced(v, &named, false, 3 * SECOND);
	assert_int_equal(vers_pending(v, "m", 3 * SECOND, &heard_us), 2);
	assert_int_equal(heard_us, SECOND);
	assert_int_equal(vers_pending(v, "m", 9 * SECOND, &heard_us), 0);
	vers_free(v);
}

/* A gateway that starts does not know when a version was named: it is due. */
static void
test_versions_from_before_the_start(void **state)
{
	struct vers *v = vers_new(8 * SECOND, 0);
	struct sv_version named = { .model = "m", .version = 2 };

	assert_true(vers_announced(v, &named, true, SECOND));
	assert_int_equal(vers_min(v, "m", SECOND), 2);
	vers_free(v);
}

/*
 * All processes are killed at once, and engines hold a version older than the
 * newest. For a while after its start a gateway is not bound by due times: it
 * serves with what is loaded instead of refusing everybody until the newest is
 * everywhere. Then what it found is due.
 */
static void
test_no_version_is_due_right_after_the_start(void **state)
{
	struct vers *v = vers_new(8 * SECOND, 14 * SECOND);
	struct sv_version named = { .model = "m", .version = 2 };

	assert_true(vers_announced(v, &named, true, 11 * SECOND));
	assert_int_equal(vers_min(v, "m", 11 * SECOND), 0);
	assert_int_equal(vers_min(v, "m", 14 * SECOND - 1), 0);
	assert_int_equal(vers_min(v, "m", 14 * SECOND), 2);
	vers_free(v);
}

/*
 * A gateway is restarted two seconds after a version was named. Other gateways
 * know when that was, and keepers have it from them: engines that may still
 * serve are not refused. A word that would make it due earlier is no news.
 */
static void
test_keepers_know_when_a_version_was_named(void **state)
{
	struct vers *v = vers_new(8 * SECOND, 0);
	struct sv_version named = { .model = "m", .version = 2 };

	assert_true(vers_announced(v, &named, true, 12 * SECOND));
	assert_int_equal(vers_min(v, "m", 12 * SECOND), 2);
	assert_true(vers_reported(v, "m", 2, 10 * SECOND));
	assert_int_equal(vers_min(v, "m", 12 * SECOND), 0);
	assert_int_equal(vers_min(v, "m", 18 * SECOND), 2);
	assert_false(vers_reported(v, "m", 2, 11 * SECOND)); /* known by now */
	assert_int_equal(vers_min(v, "m", 18 * SECOND), 2);
	/* The store's own news have not come: its watch is silent. */
	assert_true(vers_reported(v, "m", 3, 13 * SECOND));
	assert_int_equal(vers_newest(v, "m"), 3);
	assert_false(vers_reported(v, "m", 2, 15 * SECOND));
	vers_free(v);
}

/*
 * Versions 2 and 3 are named two seconds apart, and then a gateway is replaced.
 * The store names only version 3 to it. When version 2 is due some engines
 * still have version 1, and its callers alone are served with that for two
 * seconds more, until version 3 is due. Keepers know both.
 */
static void
test_a_gateway_that_starts_between_two_due_times(void **state)
{
	struct vers *v = vers_new(10 * SECOND, 26 * SECOND);
	struct sv_version named = { .model = "m", .version = 3 };

	assert_true(vers_announced(v, &named, true, 21 * SECOND));
	assert_true(vers_reported(v, "m", 3, 20 * SECOND));
	assert_true(vers_reported(v, "m", 2, 18 * SECOND));
	assert_false(vers_reported(v, "m", 2, 18 * SECOND));
	assert_int_equal(vers_min(v, "m", 28 * SECOND - 1), 0);
	assert_int_equal(vers_min(v, "m", 28 * SECOND), 2);
	assert_int_equal(vers_min(v, "m", 30 * SECOND), 3);
	assert_int_equal(vers_deadline_us(v, "m", 1), 28 * SECOND);
	assert_int_equal(vers_newest(v, "m"), 3);
	vers_free(v);

	/* One that has just started is not bound before its time. */
	v = vers_new(10 * SECOND, 29 * SECOND);
	assert_true(vers_announced(v, &named, true, 24 * SECOND));
	assert_true(vers_reported(v, "m", 3, 20 * SECOND));
	assert_true(vers_reported(v, "m", 2, 18 * SECOND));
	assert_int_equal(vers_deadline_us(v, "m", 1), 29 * SECOND);
	vers_free(v);

	/* Nothing follows from one that is due no sooner than the next. */
	v = vers_new(10 * SECOND, 0);
	assert_true(vers_announced(v, &named, false, 20 * SECOND));
	assert_false(vers_reported(v, "m", 2, 20 * SECOND));
	assert_int_equal(vers_deadline_us(v, "m", 1), 30 * SECOND);
	vers_free(v);
}

/*
 * Version 2 is named, two seconds later the store falls silent for all, for
 * eight seconds. Engines could still get version 2 or not; nobody could name
 * another. Its eight seconds begin again with the store's return. What was due
 * before the silence stays due, and so does what was found at a start.
 */
static void
test_no_version_becomes_due_while_the_store_is_away(void **state)
{
	struct vers *v = vers_new(8 * SECOND, 0);
	struct sv_version named = { .model = "m", .version = 2 };
	int64_t at;

	assert_true(vers_announced(v, &named, false, SECOND));
	named.version = 3;
	assert_true(vers_announced(v, &named, false, 10 * SECOND));
	for (at = 12 * SECOND; at <= 20 * SECOND; at += SECOND)
		vers_extend(v, 12 * SECOND, at);
	assert_int_equal(vers_min(v, "m", 28 * SECOND - 1), 2);
	assert_int_equal(vers_min(v, "m", 28 * SECOND), 3);
	vers_extend(v, 12 * SECOND, 19 * SECOND); /* never back */
	assert_int_equal(vers_min(v, "m", 28 * SECOND), 3);
	vers_free(v);

	v = vers_new(8 * SECOND, 14 * SECOND);
	assert_true(vers_announced(v, &named, true, 11 * SECOND));
	vers_extend(v, 12 * SECOND, 20 * SECOND);
	assert_int_equal(vers_min(v, "m", 14 * SECOND), 3);
	vers_free(v);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_versions_become_due),
		cmocka_unit_test(test_the_version_before_the_newest),
		cmocka_unit_test(test_versions_from_before_the_start),
		cmocka_unit_test(test_no_version_is_due_right_after_the_start),
		cmocka_unit_test(test_keepers_know_when_a_version_was_named),
		cmocka_unit_test(
		    test_a_gateway_that_starts_between_two_due_times),
		cmocka_unit_test(
		    test_no_version_becomes_due_while_the_store_is_away),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
