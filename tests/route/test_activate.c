/* Orders that bring a target to the wanted version. */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include "route/activate.h"

static const struct act_rules roomy = { .room_for_two = true };
static const struct act_rules tight = { .max_unavailable = 1 };
static const struct act_rules taken = { .max_unavailable = 1,
	.unavailable = 1 };

static void
test_beside_the_old_version(void **state)
{
	struct act_target t = { .reachable = true, .running = 5 };

	assert_int_equal(act_next(&roomy, &t), ACT_QUERY);
	t.complete = true;
	assert_int_equal(act_next(&roomy, &t), ACT_LOAD);
	t.order_pending = true;
	assert_int_equal(act_next(&roomy, &t), ACT_NONE);
	t.order_pending = false;
	t.loaded = true;
	assert_int_equal(act_next(&roomy, &t), ACT_NONE);
}

/*
 * The engine holds one version only. Requests that run there would be cut by
 * the load, so it is drained first, and loaded when the last one has ended.
 */
static void
test_drained_first_without_room(void **state)
{
	struct act_target t = {
		.reachable = true, .complete = true, .running = 2
	};

	assert_int_equal(act_next(&tight, &t), ACT_DRAIN);
	t.drain_ordered = true;
	assert_int_equal(act_next(&taken, &t), ACT_NONE);
	t.running = 0;
	assert_int_equal(act_next(&taken, &t), ACT_LOAD);
	t.loaded = true;
	assert_int_equal(act_next(&taken, &t), ACT_ADMIT);
	t.drain_ordered = false;
	assert_int_equal(act_next(&tight, &t), ACT_NONE);
}

/* A new host's engine answers nobody yet, so it waits for nobody's turn. */
static void
test_empty_engine_is_loaded_at_once(void **state)
{
	struct act_target t = {
		.reachable = true, .complete = true, .empty = true
	};

	assert_int_equal(act_next(&taken, &t), ACT_LOAD);
}

/* All targets are whole at once; without the bound all would be drained at
 * once and callers would find nobody. */
static void
test_no_more_than_max_unavailable(void **state)
{
	struct act_target t = { .reachable = true, .complete = true };

	assert_int_equal(act_next(&taken, &t), ACT_NONE);
	assert_int_equal(act_next(&tight, &t), ACT_DRAIN);
}

/* The load fails: the drained target goes back to work with the old version
 * and rests before it is tried again, longer each time. */
static void
test_failed_load_goes_back_to_work(void **state)
{
	struct act_target t = { .reachable = true,
		.complete = true,
		.drain_ordered = true,
		.in_backoff = true };

	assert_int_equal(act_next(&taken, &t), ACT_ADMIT);
	t.drain_ordered = false;
	assert_int_equal(act_next(&tight, &t), ACT_NONE);
	t.in_backoff = false;
	assert_int_equal(act_next(&tight, &t), ACT_DRAIN);
	assert_true(act_backoff_ms(1) < act_backoff_ms(2));
	assert_int_equal(act_backoff_ms(20), act_backoff_ms(30));
}

/* The side restarted empty after the drain: the version is not whole any
 * more, and the target must not wait for it without work. */
static void
test_not_kept_off_for_nothing(void **state)
{
	struct act_target t = { .reachable = true, .drain_ordered = true };

	assert_int_equal(act_next(&taken, &t), ACT_ADMIT);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_beside_the_old_version),
		cmocka_unit_test(test_drained_first_without_room),
		cmocka_unit_test(test_empty_engine_is_loaded_at_once),
		cmocka_unit_test(test_no_more_than_max_unavailable),
		cmocka_unit_test(test_failed_load_goes_back_to_work),
		cmocka_unit_test(test_not_kept_off_for_nothing),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
