/* Minimum versions of the weights, and the deadlines of older ones. */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "serve/vers.h"

#define SECOND 1000000

static void
test_deadlines(void **state)
{
	struct vers *v = vers_new(8 * SECOND, 0);
	struct sv_version announced = { .model = "m", .version = 2 };
	int64_t grace_us = 8 * SECOND;

	assert_int_equal(vers_min(v, "m", 0), 0);
	assert_true(vers_announced(v, &announced, false, SECOND));
	assert_false(vers_announced(v, &announced, false, 2 * SECOND));
	announced.version = 5;
	assert_true(vers_announced(v, &announced, false, 3 * SECOND));
	assert_int_equal(vers_min(v, "m", SECOND + grace_us - 1), 0);
	assert_int_equal(vers_min(v, "m", SECOND + grace_us), 2);
	assert_int_equal(vers_min(v, "m", 3 * SECOND + grace_us), 5);
	assert_int_equal(vers_newest(v, "m"), 5);
	assert_int_equal(vers_deadline_us(v, "m", 1), SECOND + grace_us);
	assert_int_equal(vers_deadline_us(v, "m", 2), 3 * SECOND + grace_us);
	assert_int_equal(vers_deadline_us(v, "m", 5), 0);
	assert_int_equal(vers_min(v, "other", 99 * SECOND), 0);
	assert_int_equal(vers_min(v, NULL, 99 * SECOND), 0);
	vers_free(v);
}

/*
 * Guards against sidecars that restart while two versions are being distributed
 * and learn only the newest: they are the origin's readers of some chunks, and
 * for those of the version that is wanted first all would wait until others
 * step in.
 */
static void
test_version_before_the_newest(void **state)
{
	struct vers *v = vers_new(8 * SECOND, 0);
	struct sv_version announced = { .model = "m", .version = 2 };
	int64_t announced_us = 0;

	assert_int_equal(vers_pending(v, "m", SECOND, &announced_us), 0);
	vers_announced(v, &announced, false, SECOND);
	assert_int_equal(vers_pending(v, "m", SECOND, &announced_us), 0);
	announced.version = 3;
	vers_announced(v, &announced, false, 3 * SECOND);
	assert_int_equal(vers_pending(v, "m", 3 * SECOND, &announced_us), 2);
	assert_int_equal(announced_us, SECOND);
	assert_int_equal(vers_pending(v, "m", 9 * SECOND, &announced_us), 0);
	vers_free(v);
}

/* A gateway that starts does not know when a version was announced: its
 * deadline has passed. */
static void
test_versions_older_than_the_process(void **state)
{
	struct vers *v = vers_new(8 * SECOND, 0);
	struct sv_version announced = { .model = "m", .version = 2 };

	assert_true(vers_announced(v, &announced, true, SECOND));
	assert_int_equal(vers_min(v, "m", SECOND), 2);
	vers_free(v);
}

/*
 * All processes are killed at once, and engines have an older version than the
 * newest. For a while after its start a gateway does not enforce deadlines: it
 * serves from what is loaded instead of refusing all requests until the newest
 * version is everywhere. Then the deadlines of the versions that it found have
 * passed.
 */
static void
test_no_deadline_right_after_the_start(void **state)
{
	struct vers *v = vers_new(8 * SECOND, 14 * SECOND);
	struct sv_version announced = { .model = "m", .version = 2 };

	assert_true(vers_announced(v, &announced, true, 11 * SECOND));
	assert_int_equal(vers_min(v, "m", 11 * SECOND), 0);
	assert_int_equal(vers_min(v, "m", 14 * SECOND - 1), 0);
	assert_int_equal(vers_min(v, "m", 14 * SECOND), 2);
	vers_free(v);
}

/*
 * A gateway is restarted two seconds after an announcement. Other gateways know
 * its time, and sidecars have it from them: engines that may still serve are
 * not refused. A report that would make the deadline earlier is ignored.
 */
static void
test_sidecars_know_announcement_times(void **state)
{
	struct vers *v = vers_new(8 * SECOND, 0);
	struct sv_version announced = { .model = "m", .version = 2 };

	assert_true(vers_announced(v, &announced, true, 12 * SECOND));
	assert_int_equal(vers_min(v, "m", 12 * SECOND), 2);
	assert_true(vers_reported(v, "m", 2, 10 * SECOND));
	assert_int_equal(vers_min(v, "m", 12 * SECOND), 0);
	assert_int_equal(vers_min(v, "m", 18 * SECOND), 2);
	assert_false(vers_reported(v, "m", 2, 11 * SECOND)); /* already known */
	assert_int_equal(vers_min(v, "m", 18 * SECOND), 2);
	/* The store's own update has not arrived: its watch is stalled. */
	assert_true(vers_reported(v, "m", 3, 13 * SECOND));
	assert_int_equal(vers_newest(v, "m"), 3);
	assert_false(vers_reported(v, "m", 2, 15 * SECOND));
	vers_free(v);
}

/*
 * Versions 2 and 3 are announced two seconds apart, and then a gateway is
 * replaced. The store shows it only version 3. At the deadline of version 2
 * some engines still have version 1, and without the sidecars, which know both,
 * this gateway alone would serve from it for two seconds more, until the
 * deadline of version 3.
 */
static void
test_gateway_starts_between_two_deadlines(void **state)
{
	struct vers *v = vers_new(10 * SECOND, 26 * SECOND);
	struct sv_version announced = { .model = "m", .version = 3 };

	assert_true(vers_announced(v, &announced, true, 21 * SECOND));
	assert_true(vers_reported(v, "m", 3, 20 * SECOND));
	assert_true(vers_reported(v, "m", 2, 18 * SECOND));
	assert_false(vers_reported(v, "m", 2, 18 * SECOND));
	assert_int_equal(vers_min(v, "m", 28 * SECOND - 1), 0);
	assert_int_equal(vers_min(v, "m", 28 * SECOND), 2);
	assert_int_equal(vers_min(v, "m", 30 * SECOND), 3);
	assert_int_equal(vers_deadline_us(v, "m", 1), 28 * SECOND);
	assert_int_equal(vers_newest(v, "m"), 3);
	vers_free(v);

	/* A process that has just started does not enforce deadlines yet. */
	v = vers_new(10 * SECOND, 29 * SECOND);
	assert_true(vers_announced(v, &announced, true, 24 * SECOND));
	assert_true(vers_reported(v, "m", 3, 20 * SECOND));
	assert_true(vers_reported(v, "m", 2, 18 * SECOND));
	assert_int_equal(vers_deadline_us(v, "m", 1), 29 * SECOND);
	vers_free(v);

	/* A version whose deadline is not before the next one's has no
	 * effect. */
	v = vers_new(10 * SECOND, 0);
	assert_true(vers_announced(v, &announced, false, 20 * SECOND));
	assert_false(vers_reported(v, "m", 2, 20 * SECOND));
	assert_int_equal(vers_deadline_us(v, "m", 1), 30 * SECOND);
	vers_free(v);
}

/*
 * A version is announced, and two seconds later the store stops answering all
 * processes, for eight seconds. Engines may or may not get the version
 * meanwhile, and nobody could announce another. Its grace time begins again
 * when the store returns. Deadlines that passed before the outage still hold,
 * and so do those of versions found at a start.
 */
static void
test_deadlines_during_a_store_outage(void **state)
{
	struct vers *v = vers_new(8 * SECOND, 0);
	struct sv_version announced = { .model = "m", .version = 2 };
	int64_t at;

	assert_true(vers_announced(v, &announced, false, SECOND));
	announced.version = 3;
	assert_true(vers_announced(v, &announced, false, 10 * SECOND));
	for (at = 12 * SECOND; at <= 20 * SECOND; at += SECOND)
		vers_extend(v, 12 * SECOND, at);
	assert_int_equal(vers_min(v, "m", 28 * SECOND - 1), 2);
	assert_int_equal(vers_min(v, "m", 28 * SECOND), 3);
	vers_extend(v, 12 * SECOND, 19 * SECOND); /* never earlier */
	assert_int_equal(vers_min(v, "m", 28 * SECOND), 3);
	vers_free(v);

	v = vers_new(8 * SECOND, 14 * SECOND);
	assert_true(vers_announced(v, &announced, true, 11 * SECOND));
	vers_extend(v, 12 * SECOND, 20 * SECOND);
	assert_int_equal(vers_min(v, "m", 14 * SECOND), 3);
	vers_free(v);
}

/* Guards against requests that begin on withdrawn weights: the first of many
 * versions named within the grace time was forgotten for a later one. */
static void
test_many_versions_before_the_first_deadline(void **state)
{
	struct vers *v = vers_new(8 * SECOND, 0);
	struct sv_version announced = { .model = "m" };
	int64_t at_us, n;

	for (n = 2; n < 42; n++) {
		announced.version = n;
		assert_true(
		    vers_announced(v, &announced, false, n * SECOND / 8));
	}
	assert_int_equal(vers_deadline_us(v, "m", 1), 8 * SECOND + SECOND / 4);
	for (n = 2; n < 42; n++) {
		at_us = 8 * SECOND + n * SECOND / 8;
		assert_int_equal(
		    vers_min(v, "m", at_us - 1), n == 2 ? 0 : n - 1);
		assert_int_equal(vers_min(v, "m", at_us), n);
		assert_int_equal(vers_deadline_us(v, "m", n - 1), at_us);
	}
	/* Of those that have passed, the last one is enough. */
	announced.version = 42;
	assert_true(vers_announced(v, &announced, false, 100 * SECOND));
	assert_int_equal(vers_min(v, "m", 100 * SECOND), 41);
	assert_true(vers_deadline_us(v, "m", 1) <= 100 * SECOND);
	assert_int_equal(vers_deadline_us(v, "m", 41), 108 * SECOND);
	vers_free(v);
}

/* A sidecar tells of versions in between, in any number. */
static void
test_many_older_versions_are_inserted(void **state)
{
	struct vers *v = vers_new(8 * SECOND, 0);
	struct sv_version announced = { .model = "m", .version = 20 };
	int64_t n;

	assert_true(vers_announced(v, &announced, false, 20 * SECOND));
	for (n = 19; n > 1; n--)
		assert_true(vers_reported(v, "m", n, n * SECOND));
	for (n = 2; n < 20; n++)
		assert_int_equal(
		    vers_deadline_us(v, "m", n - 1), (n + 8) * SECOND);
	vers_free(v);
}

/* Guards against sidecars that are told to load a version that nobody announced,
 * as a target claims to have it: they ignore older versions from then on. */
static void
test_only_announced_versions_are_desired(void **state)
{
	struct vers *v = vers_new(8 * SECOND, 0);
	struct sv_version announced = { .model = "m", .version = 2 };
	int64_t claimed = INT64_MAX / 2;

	assert_int_equal(vers_desired(v, "m", true, 0), VERS_FIRST);
	assert_int_equal(vers_desired(v, "m", true, claimed), VERS_FIRST);
	/* A gateway that cannot read the announcements. */
	assert_int_equal(vers_desired(v, "m", false, 0), VERS_FIRST);
	assert_int_equal(vers_desired(v, "m", false, 3), 3);
	assert_true(vers_announced(v, &announced, false, SECOND));
	assert_int_equal(vers_desired(v, "m", false, claimed), 2);
	assert_int_equal(vers_desired(v, "m", true, claimed), 2);
	vers_free(v);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_deadlines),
		cmocka_unit_test(test_version_before_the_newest),
		cmocka_unit_test(test_versions_older_than_the_process),
		cmocka_unit_test(test_no_deadline_right_after_the_start),
		cmocka_unit_test(test_sidecars_know_announcement_times),
		cmocka_unit_test(test_gateway_starts_between_two_deadlines),
		cmocka_unit_test(test_deadlines_during_a_store_outage),
		cmocka_unit_test(test_many_versions_before_the_first_deadline),
		cmocka_unit_test(test_many_older_versions_are_inserted),
		cmocka_unit_test(test_only_announced_versions_are_desired),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
