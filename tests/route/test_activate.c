/* Load orders that bring a target to the wanted version. */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include "route/activate.h"

static const struct act_rules room_for_two = { .room_for_two = true };
static const struct act_rules room_for_one = { .max_unavailable = 1 };
static const struct act_rules at_max_unavailable = { .max_unavailable = 1,
	.unavailable = 1 };

static void
test_load_beside_old_version(void **state)
{
	struct act_target t = { .reachable = true, .running = 5 };

	assert_int_equal(act_next(&room_for_two, &t), ACT_QUERY);
	t.complete = true;
	assert_int_equal(act_next(&room_for_two, &t), ACT_LOAD);
	t.order_pending = true;
	assert_int_equal(act_next(&room_for_two, &t), ACT_NONE);
	t.order_pending = false;
	t.loaded = true;
	assert_int_equal(act_next(&room_for_two, &t), ACT_NONE);
}

/*
 * The engine has room for one version only, so a load would cut off the running
 * requests. It is drained first and loaded when the last request has ended.
 */
static void
test_drain_first_without_room(void **state)
{
	struct act_target t = {
		.reachable = true, .complete = true, .running = 2
	};

	assert_int_equal(act_next(&room_for_one, &t), ACT_DRAIN);
	t.drain_ordered = true;
	assert_int_equal(act_next(&at_max_unavailable, &t), ACT_NONE);
	t.running = 0;
	assert_int_equal(act_next(&at_max_unavailable, &t), ACT_LOAD);
	t.loaded = true;
	assert_int_equal(act_next(&at_max_unavailable, &t), ACT_ADMIT);
	t.drain_ordered = false;
	assert_int_equal(act_next(&room_for_one, &t), ACT_NONE);
}

/* The engine of a new host serves no requests yet, so max_unavailable does not
 * apply to its load. */
static void
test_empty_engine_loads_at_once(void **state)
{
	struct act_target t = {
		.reachable = true, .complete = true, .empty = true
	};

	assert_int_equal(act_next(&at_max_unavailable, &t), ACT_LOAD);
}

/* All targets have the complete version at the same time. Without the bound all
 * would be drained together and no target would be left for callers. */
static void
test_max_unavailable(void **state)
{
	struct act_target t = { .reachable = true, .complete = true };

	assert_int_equal(act_next(&at_max_unavailable, &t), ACT_NONE);
	assert_int_equal(act_next(&room_for_one, &t), ACT_DRAIN);
}

/* After a failed load the drained target accepts requests again with the old
 * version, and the load is retried after a backoff that grows. */
static void
test_failed_load_readmits(void **state)
{
	struct act_target t = { .reachable = true,
		.complete = true,
		.drain_ordered = true,
		.in_backoff = true };

	assert_int_equal(act_next(&at_max_unavailable, &t), ACT_ADMIT);
	t.drain_ordered = false;
	assert_int_equal(act_next(&room_for_one, &t), ACT_NONE);
	t.in_backoff = false;
	assert_int_equal(act_next(&room_for_one, &t), ACT_DRAIN);
	assert_true(act_backoff_ms(1) < act_backoff_ms(2));
	assert_int_equal(act_backoff_ms(20), act_backoff_ms(30));
}

/* The sidecar restarted without data after the drain, so the version is no
 * longer complete. The target must not stay drained during the transfer. */
static void
test_incomplete_version_readmits(void **state)
{
	struct act_target t = { .reachable = true, .drain_ordered = true };

	assert_int_equal(act_next(&at_max_unavailable, &t), ACT_ADMIT);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_load_beside_old_version),
		cmocka_unit_test(test_drain_first_without_room),
		cmocka_unit_test(test_empty_engine_loads_at_once),
		cmocka_unit_test(test_max_unavailable),
		cmocka_unit_test(test_failed_load_readmits),
		cmocka_unit_test(test_incomplete_version_readmits),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
