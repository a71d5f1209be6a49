/* What a keeper does next for its engine. */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "stage/stage.h"

#define SECOND 1000000

static struct stg_state
serving(void)
{
	return (struct stg_state){ .wanted = 2,
		.up = true,
		.loaded = 1,
		.running = 9,
		.manifest = true,
		.complete = true,
		.staged = true };
}

static void
test_an_empty_engine_loads_at_once(void **state)
{
	struct stg_state s = { .wanted = 1, .up = true };

	assert_int_equal(stg_next(&s, 0), STG_MANIFEST);
	s.manifest = true;
	assert_int_equal(stg_next(&s, 0), STG_SCAN);
	s.scanned = true;
	assert_int_equal(stg_next(&s, 0), STG_FETCH);
	s.complete = true;
	assert_int_equal(stg_next(&s, 0), STG_PUT);
	s.staged = true;
	s.switch_us = 100 * SECOND; /* not waited for: nothing is lost */
	assert_int_equal(stg_next(&s, SECOND), STG_CHECK);
	s.checked_us = SECOND;
	assert_int_equal(stg_next(&s, SECOND), STG_ORDER);
	s.ordered_us = SECOND;
	assert_int_equal(stg_next(&s, 2 * SECOND), STG_LOADING);
	s.loaded = 1;
	assert_int_equal(stg_next(&s, 2 * SECOND), STG_DONE);
}

/*
 * Pieces in the staging place rot without notice, and the engine loads them
 * as they are: callers would get answers of spoilt weights. A check that has
 * grown old while the engine waited for its turn is made again.
 */
static void
test_an_old_check_does_not_count(void **state)
{
	struct stg_state s = serving();

	s.checked_us = SECOND;
	assert_int_equal(stg_next(&s, SECOND + STG_CHECK_VALID_US), STG_ORDER);
	assert_int_equal(
	    stg_next(&s, SECOND + STG_CHECK_VALID_US + 1), STG_CHECK);
}

static void
test_a_serving_engine_waits_for_its_turn(void **state)
{
	struct stg_state s = serving();

	s.switch_us = 5 * SECOND;
	assert_int_equal(stg_next(&s, 4 * SECOND), STG_WAIT_SWITCH);
	assert_int_equal(stg_next(&s, 5 * SECOND), STG_CHECK);
	s.running = 0;
	assert_int_equal(stg_next(&s, 4 * SECOND), STG_CHECK);
}

/*
 * Callers meet full engines everywhere while one that changes its version
 * stands almost empty: it takes nothing new and waits for its longest request.
 * Where cut requests go on elsewhere, gateways leave the engine alone first,
 * and the order comes when few requests are left, or after a while.
 */
static void
test_an_engine_is_closed_before_its_requests_are_cut(void **state)
{
	struct stg_state s = serving();

	s.may_cut = true;
	s.slots = 10;
	assert_int_equal(stg_next(&s, SECOND), STG_DRAIN);
	s.drain_us = SECOND;
	assert_int_equal(stg_next(&s, SECOND + 1000), STG_DRAIN);
	assert_int_equal(stg_next(&s, SECOND + STG_DRAIN_US), STG_CHECK);
	s.running = 2;
	assert_int_equal(stg_next(&s, SECOND + 1000), STG_CHECK);
	/* Nothing to cut, or nothing that may be. */
	s.drain_us = 0;
	s.running = 0;
	assert_int_equal(stg_next(&s, SECOND), STG_CHECK);
	s.running = 9;
	s.may_cut = false;
	assert_int_equal(stg_next(&s, SECOND), STG_CHECK);
}

static void
test_orders_that_are_refused_or_lost(void **state)
{
	struct stg_state s = serving();

	s.checked_us = SECOND;
	s.refused_us = SECOND;
	assert_int_equal(stg_next(&s, SECOND + 1), STG_LOADING);
	s.checked_us = SECOND + STG_ORDER_BACKOFF_US;
	assert_int_equal(
	    stg_next(&s, SECOND + STG_ORDER_BACKOFF_US), STG_ORDER);
	s.ordered_us = SECOND;
	assert_int_equal(stg_next(&s, 2 * SECOND), STG_LOADING);
	assert_int_equal(
	    stg_next(&s, SECOND + STG_ORDER_TIMEOUT_US), STG_CHECK);
}

static void
test_nothing_while_the_engine_is_away(void **state)
{
	struct stg_state s = serving();

	s.up = false;
	assert_int_equal(stg_next(&s, 0), STG_IDLE);
	s.up = true;
	s.busy = true;
	assert_int_equal(stg_next(&s, 0), STG_LOADING);
	s.wanted = 0;
	assert_int_equal(stg_next(&s, 0), STG_IDLE);
}

/* Beside an engine that has the version its pieces are taken from the staging
 * place, for other keepers. */
static void
test_a_loaded_engine_is_a_source(void **state)
{
	struct stg_state s = { .wanted = 1, .up = true, .loaded = 1 };

	assert_int_equal(stg_next(&s, 0), STG_MANIFEST);
	s.manifest = true;
	assert_int_equal(stg_next(&s, 0), STG_SCAN);
	s.scanned = true;
	assert_int_equal(stg_next(&s, 0), STG_DONE);
}

/* Engines change one after the other, the last well before the due time. */
static void
test_turns_are_spread(void **state)
{
	struct stg_schedule q = {
		.announced_us = 10 * SECOND, .deadline_us = 18 * SECOND, .n = 20
	};
	int64_t before = 0, turn;

	for (q.rank = 0; q.rank < q.n; q.rank++) {
		turn = stg_switch_us(&q);
		assert_true(turn > before);
		assert_true(turn < 17.5 * SECOND);
		before = turn;
	}
	q.rank = 3;
	q.deadline_us = 12 * SECOND;
	assert_int_equal(stg_switch_us(&q), 10 * SECOND);
	q.deadline_us = 0;
	before = stg_switch_us(&q);
	q.rank++;
	assert_true(stg_switch_us(&q) > before);
}

/*
 * Callers are refused by the hundred when nearly all engines change version in
 * the same second. Versions 2 and 3 were named four seconds apart: engines
 * with 1 must have left it before 2 is due; those that took 2 meanwhile have
 * until 3 is due, and wait until the others are through.
 */
static void
test_engines_with_more_time_go_later(void **state)
{
	struct stg_deadlines dues = { 0 };
	struct stg_schedule q = { .announced_us = 24 * SECOND, .n = 20 };
	int64_t last_of_first;

	stg_deadlines_add(&dues, 2, 30 * SECOND);
	stg_deadlines_add(&dues, 3, 34 * SECOND);
	stg_deadlines_add(&dues, 3, 99 * SECOND); /* heard again: no news */
	q.deadline_us = stg_deadlines_expiry(&dues, 1);
	q.others_us = stg_deadlines_of(&dues, 1);
	assert_int_equal(q.deadline_us, 30 * SECOND);
	assert_int_equal(q.others_us, 0);
	q.rank = 19;
	last_of_first = stg_switch_us(&q);
	assert_true(last_of_first < 29.5 * SECOND);
	q.deadline_us = stg_deadlines_expiry(&dues, 2);
	q.others_us = stg_deadlines_of(&dues, 2);
	q.rank = 0;
	assert_true(stg_switch_us(&q) > last_of_first);
	q.rank = 19;
	assert_true(stg_switch_us(&q) < 33.5 * SECOND);
	assert_int_equal(stg_deadlines_expiry(&dues, 3), 0);
}

static void
test_only_the_last_due_times_are_kept(void **state)
{
	struct stg_deadlines dues = { 0 };
	int64_t v;

	for (v = 2; v < 20; v++)
		stg_deadlines_add(&dues, v, v * SECOND);
	assert_int_equal(
	    stg_deadlines_expiry(&dues, 1), (20 - STG_DEADLINES_MAX) * SECOND);
	assert_int_equal(stg_deadlines_expiry(&dues, 18), 19 * SECOND);
}

/*
 * All keepers start at once and are told what is wanted a moment before they
 * are told who else there is. Each would take itself for the first and read the
 * digests from the origin, whose link they all need for the pieces.
 */
static void
test_who_reads_digests(void **state)
{
	struct stg_digests d = { .asked_us = 10 * SECOND };

	assert_true(stg_digests_read_us(&d) > 10 * SECOND + SECOND / 2);
	d.members = 204;
	d.ahead = 3;
	assert_int_equal(stg_digests_read_us(&d), 0); /* one of the few */
	d.backoff_until_us = 11 * SECOND; /* the origin failed it */
	assert_int_equal(stg_digests_read_us(&d), 11 * SECOND);
	d.ahead = 4;
	assert_true(stg_digests_read_us(&d) > 10 * SECOND + SECOND / 2);
	d.ahead = 203; /* in the end all ask */
	assert_true(stg_digests_read_us(&d) < 13 * SECOND);
}

static void
test_the_one_named_before(void **state)
{
	struct stg_deadlines dues = { 0 };
	int64_t due_us = 0;

	assert_int_equal(stg_deadlines_before(&dues, 5, &due_us), 0);
	stg_deadlines_add(&dues, 3, 7 * SECOND);
	stg_deadlines_add(&dues, 5, 9 * SECOND);
	assert_int_equal(stg_deadlines_before(&dues, 3, &due_us), 0);
	assert_int_equal(stg_deadlines_before(&dues, 5, &due_us), 3);
	assert_int_equal(due_us, 7 * SECOND);
}

/*
 * After the store's return two versions are heard of within moments. Fetched
 * first, the older one holds the newest up by seconds, and is never loaded.
 */
static void
test_an_older_version_heard_of_together(void **state)
{
	struct stg_overlap r = { .loaded = 1,
		.older_left = 5,
		.older_deadline_us = 36 * SECOND,
		.newest_announced_us = 26 * SECOND };

	assert_false(stg_keeps_older(26 * SECOND - 75000, 26 * SECOND));
	assert_true(stg_keeps_older(24 * SECOND, 26 * SECOND));
	assert_true(stg_fetches_older(&r, 26 * SECOND));
	assert_false(stg_fetches_older(&r, 36 * SECOND));
	r.older_left = 0;
	assert_false(stg_fetches_older(&r, 26 * SECOND));
	r.older_left = 5;
	r.older_complete = true;
	assert_false(stg_fetches_older(&r, 26 * SECOND));
}

/*
 * Both versions were on their way when the origin went away for six seconds;
 * it is back 0.5 s after the older one was due, so every engine stands idle.
 * Five of 96 pieces of the older one are left: 0.1 s, and engines serve until
 * the newest is due. With half of it left they would hardly serve before that,
 * and the newest would come a second later.
 */
static void
test_an_overdue_version_that_is_almost_here(void **state)
{
	/* Of the newest not even the digests are known. */
	struct stg_overlap r = { .older_left = 5,
		.older_total = 96,
		.older_deadline_us = 26 * SECOND,
		.newest_deadline_us = 28 * SECOND,
		.newest_announced_us = 20 * SECOND };

	assert_true(stg_fetches_older(&r, 26.5 * SECOND));
	assert_false(stg_fetches_older(&r, 27.5 * SECOND));
	r.older_left = 48;
	assert_false(stg_fetches_older(&r, 26.5 * SECOND));
	r.older_left = UINT64_MAX; /* not known here */
	assert_false(stg_fetches_older(&r, 26.5 * SECOND));
}

/*
 * An engine that passes over the older version changes with all others that
 * did, in the moments between the newest's arrival and the older one's due
 * time. Where its turn comes before the newest can be here it takes the older.
 */
static void
test_a_turn_before_the_newest_is_used(void **state)
{
	struct stg_overlap r = { .older_complete = true,
		.loaded = 1,
		.older_switch_us = 25 * SECOND,
		.older_deadline_us = 30 * SECOND,
		.newest_announced_us = 24 * SECOND,
		.total = 64 };

	assert_false(stg_prefers_older(&r, 24 * SECOND));
	assert_true(stg_prefers_older(&r, 25 * SECOND));
	r.older_switch_us = 28 * SECOND;
	r.have = 60;
	assert_false(stg_prefers_older(&r, 28 * SECOND));
}

/*
 * Two versions are named two seconds apart, then the origin goes away. The
 * engine must not wait for the second beyond the moment from which what it
 * holds may not serve, when the first is whole beside it.
 */
static void
test_the_older_version_when_the_newest_is_late(void **state)
{
	struct stg_overlap r = { .older_complete = true,
		.loaded = 1,
		.older_switch_us = 14 * SECOND,
		.older_deadline_us = 17 * SECOND,
		.newest_announced_us = 12 * SECOND,
		.have = 0,
		.total = 64 };

	assert_false(stg_prefers_older(&r, 13 * SECOND));
	/* In time: the change to the older would cost more. */
	r.have = 60;
	assert_false(stg_prefers_older(&r, 15 * SECOND));
	r.have = 0;
	assert_true(stg_prefers_older(&r, 16 * SECOND));
	r.older_complete = false;
	assert_false(stg_prefers_older(&r, 16 * SECOND));
}

/* An engine that holds nothing serves with whatever comes first. */
static void
test_an_empty_engine_takes_the_older(void **state)
{
	struct stg_overlap r = { .older_complete = true,
		.loaded = 0,
		.newest_announced_us = 10 * SECOND,
		.have = 0,
		.total = 64 };

	assert_true(stg_prefers_older(&r, 10 * SECOND));
	r.have = 64;
	assert_false(stg_prefers_older(&r, 14 * SECOND));
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_an_empty_engine_loads_at_once),
		cmocka_unit_test(test_an_old_check_does_not_count),
		cmocka_unit_test(test_a_serving_engine_waits_for_its_turn),
		cmocka_unit_test(
		    test_an_engine_is_closed_before_its_requests_are_cut),
		cmocka_unit_test(test_orders_that_are_refused_or_lost),
		cmocka_unit_test(test_nothing_while_the_engine_is_away),
		cmocka_unit_test(test_a_loaded_engine_is_a_source),
		cmocka_unit_test(test_turns_are_spread),
		cmocka_unit_test(test_engines_with_more_time_go_later),
		cmocka_unit_test(test_only_the_last_due_times_are_kept),
		cmocka_unit_test(test_who_reads_digests),
		cmocka_unit_test(test_the_one_named_before),
		cmocka_unit_test(test_an_older_version_heard_of_together),
		cmocka_unit_test(test_an_overdue_version_that_is_almost_here),
		cmocka_unit_test(test_a_turn_before_the_newest_is_used),
		cmocka_unit_test(
		    test_the_older_version_when_the_newest_is_late),
		cmocka_unit_test(test_an_empty_engine_takes_the_older),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
