/* Next step of a sidecar for its engine. */

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
test_empty_engine_loads_at_once(void **state)
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
	/* Not waited for: the engine serves nothing. */
	s.switch_us = 100 * SECOND;
	assert_int_equal(stg_next(&s, SECOND), STG_CHECK);
	s.checked_us = SECOND;
	assert_int_equal(stg_next(&s, SECOND), STG_ORDER);
	s.ordered_us = SECOND;
	assert_int_equal(stg_next(&s, 2 * SECOND), STG_LOADING);
	s.loaded = 1;
	assert_int_equal(stg_next(&s, 2 * SECOND), STG_DONE);
}

/*
 * Guards against loading chunks that became corrupt in the staging area after
 * their check: the engine loads them as they are, and callers would get answers
 * from corrupt weights. A check that is too old when the engine's switch time
 * comes is repeated.
 */
static void
test_old_check_is_repeated(void **state)
{
	struct stg_state s = serving();

	s.checked_us = SECOND;
	assert_int_equal(stg_next(&s, SECOND + STG_CHECK_VALID_US), STG_ORDER);
	assert_int_equal(
	    stg_next(&s, SECOND + STG_CHECK_VALID_US + 1), STG_CHECK);
}

/* Guards against an engine that stays out of service after an order that may have
 * come late, though its weights can be proved. */
static void
test_unproved_weights_are_read_back(void **state)
{
	struct stg_state s = serving();

	s.loaded = 0;
	s.unproved = true;
	assert_int_equal(stg_next(&s, SECOND), STG_PROVE);
	s.complete = s.staged = false;
	assert_int_equal(stg_next(&s, SECOND), STG_PROVE);
	s.manifest = false;
	assert_int_equal(stg_next(&s, SECOND), STG_MANIFEST);
	s.up = false;
	assert_int_equal(stg_next(&s, SECOND), STG_IDLE);
}

static void
test_serving_engine_waits_for_its_switch_time(void **state)
{
	struct stg_state s = serving();

	s.switch_us = 5 * SECOND;
	assert_int_equal(stg_next(&s, 4 * SECOND), STG_WAIT_SWITCH);
	assert_int_equal(stg_next(&s, 5 * SECOND), STG_CHECK);
	s.running = 0;
	assert_int_equal(stg_next(&s, 4 * SECOND), STG_CHECK);
}

/*
 * Guards against engines that are almost empty during a switch of version while
 * all others are full: such an engine takes no new requests and waits for its
 * longest one. Where cut requests continue elsewhere, gateways first send it
 * nothing more, and the order comes when few requests are left, or after a
 * while.
 */
static void
test_engine_drains_before_its_requests_are_cut(void **state)
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
	/* Nothing to cut, or nothing that may be cut. */
	s.drain_us = 0;
	s.running = 0;
	assert_int_equal(stg_next(&s, SECOND), STG_CHECK);
	s.running = 9;
	s.may_cut = false;
	assert_int_equal(stg_next(&s, SECOND), STG_CHECK);
}

static void
test_refused_and_lost_orders(void **state)
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
test_nothing_while_the_engine_is_down(void **state)
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

/* If the engine has loaded the version, its chunks are read from the staging
 * area, for other sidecars. */
static void
test_loaded_engine_is_a_source(void **state)
{
	struct stg_state s = { .wanted = 1, .up = true, .loaded = 1 };

	assert_int_equal(stg_next(&s, 0), STG_MANIFEST);
	s.manifest = true;
	assert_int_equal(stg_next(&s, 0), STG_SCAN);
	s.scanned = true;
	assert_int_equal(stg_next(&s, 0), STG_DONE);
}

/* Engines switch one after the other, the last well before the deadline. */
static void
test_switch_times_are_spread(void **state)
{
	struct stg_schedule s = {
		.announced_us = 10 * SECOND, .deadline_us = 18 * SECOND, .n = 20
	};
	int64_t last_us = 0, switch_us;

	for (s.rank = 0; s.rank < s.n; s.rank++) {
		switch_us = stg_switch_us(&s);
		assert_true(switch_us > last_us);
		assert_true(switch_us < 17.5 * SECOND);
		last_us = switch_us;
	}
	s.rank = 3;
	s.deadline_us = 12 * SECOND;
	assert_int_equal(stg_switch_us(&s), 10 * SECOND);
	s.deadline_us = 0;
	last_us = stg_switch_us(&s);
	s.rank++;
	assert_true(stg_switch_us(&s) > last_us);
}

/*
 * Guards against nearly all engines switching in the same second, when callers
 * are refused by the hundred. Versions 2 and 3 were announced four seconds
 * apart: engines with 1 must switch before the deadline of 2; those that
 * switched to 2 meanwhile have until the deadline of 3, and wait until the
 * others have switched.
 */
static void
test_engines_with_later_deadlines_switch_later(void **state)
{
	struct stg_deadlines deadlines = { 0 };
	struct stg_schedule s = { .announced_us = 24 * SECOND, .n = 20 };
	int64_t last_of_first;

	stg_deadlines_add(&deadlines, 2, 30 * SECOND, 0);
	stg_deadlines_add(&deadlines, 3, 34 * SECOND, 0);
	/* A repeated announcement has no effect. */
	stg_deadlines_add(&deadlines, 3, 99 * SECOND, 0);
	s.deadline_us = stg_deadlines_expiry(&deadlines, 1);
	s.others_us = stg_deadlines_of(&deadlines, 1);
	assert_int_equal(s.deadline_us, 30 * SECOND);
	assert_int_equal(s.others_us, 0);
	s.rank = 19;
	last_of_first = stg_switch_us(&s);
	assert_true(last_of_first < 29.5 * SECOND);
	s.deadline_us = stg_deadlines_expiry(&deadlines, 2);
	s.others_us = stg_deadlines_of(&deadlines, 2);
	s.rank = 0;
	assert_true(stg_switch_us(&s) > last_of_first);
	s.rank = 19;
	assert_true(stg_switch_us(&s) < 33.5 * SECOND);
	assert_int_equal(stg_deadlines_expiry(&deadlines, 3), 0);
	stg_deadlines_clear(&deadlines);
}

/* Guards against an engine that serves withdrawn weights: the deadline of the
 * first of many versions was forgotten for a later one. */
static void
test_deadlines_are_retained_until_they_pass(void **state)
{
	struct stg_deadlines deadlines = { 0 };
	int64_t v;

	for (v = 2; v < 20; v++)
		stg_deadlines_add(&deadlines, v, v * SECOND, SECOND);
	for (v = 1; v < 19; v++)
		assert_int_equal(
		    stg_deadlines_expiry(&deadlines, v), (v + 1) * SECOND);
	assert_int_equal(deadlines.n, 18);
	/* Versions 2 to 10 have passed: the last of these says so for all. */
	stg_deadlines_add(&deadlines, 20, 20 * SECOND, 10 * SECOND);
	assert_int_equal(deadlines.n, 11);
	assert_int_equal(stg_deadlines_expiry(&deadlines, 1), 10 * SECOND);
	for (v = 9; v < 20; v++)
		assert_int_equal(
		    stg_deadlines_expiry(&deadlines, v), (v + 1) * SECOND);
	/* The last two stay. */
	stg_deadlines_add(&deadlines, 21, 21 * SECOND, 99 * SECOND);
	assert_int_equal(deadlines.n, 2);
	assert_int_equal(stg_deadlines_expiry(&deadlines, 19), 20 * SECOND);
	stg_deadlines_clear(&deadlines);
}

/* A cancel that is on its way meets the queue of the last second, so a report
 * between two chunks does not say that the link is free. */
static void
test_longest_inbound_wait_is_held(void **state)
{
	struct stg_inbound in = { 0 };

	stg_inbound_note(&in, 140000, SECOND);
	stg_inbound_note(&in, 0, 2 * SECOND);
	assert_int_equal(in.us, 140000);
	stg_inbound_note(&in, 270000, 2 * SECOND);
	assert_int_equal(in.us, 270000);
	stg_inbound_note(&in, 30000, 3 * SECOND + 1);
	assert_int_equal(in.us, 30000);
}

/*
 * All sidecars start at once and learn the wanted version a moment before the
 * other sidecars. Guards against each taking itself for the first and reading
 * the digests from the origin, whose link they all need for the chunks.
 */
static void
test_digest_readers(void **state)
{
	struct stg_digests d = { .asked_us = 10 * SECOND };

	assert_true(stg_digests_read_us(&d) > 10 * SECOND + SECOND / 2);
	d.members = 204;
	d.ahead = 3;
	/* One of the few readers. */
	assert_int_equal(stg_digests_read_us(&d), 0);
	d.backoff_until_us = 11 * SECOND; /* a read from the origin failed */
	assert_int_equal(stg_digests_read_us(&d), 11 * SECOND);
	d.ahead = 4;
	assert_true(stg_digests_read_us(&d) > 10 * SECOND + SECOND / 2);
	d.ahead = 203; /* in the end all ask */
	assert_true(stg_digests_read_us(&d) < 13 * SECOND);
}

static void
test_version_announced_before(void **state)
{
	struct stg_deadlines deadlines = { 0 };
	int64_t deadline_us = 0;

	assert_int_equal(stg_deadlines_before(&deadlines, 5, &deadline_us), 0);
	stg_deadlines_add(&deadlines, 3, 7 * SECOND, 0);
	stg_deadlines_add(&deadlines, 5, 9 * SECOND, 0);
	assert_int_equal(stg_deadlines_before(&deadlines, 3, &deadline_us), 0);
	assert_int_equal(stg_deadlines_before(&deadlines, 5, &deadline_us), 3);
	assert_int_equal(deadline_us, 7 * SECOND);
	stg_deadlines_clear(&deadlines);
}

/*
 * At the end of a store outage two versions are announced within moments. If
 * the older one were fetched first, it would delay the newest by seconds and
 * never be loaded.
 */
static void
test_versions_announced_together(void **state)
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
 * Both versions were being distributed when the origin went down for six
 * seconds; it returns 0.5 s after the older one's deadline, so every engine is
 * idle. Five of 96 chunks of the older one are missing: 0.1 s, and engines
 * serve until the newest's deadline. With half of it missing they would hardly
 * serve before that, and the newest would come a second later.
 */
static void
test_almost_complete_version_past_its_deadline(void **state)
{
	/* Not even the digests of the newest are known. */
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
 * An engine that skips the older version switches with all others that did,
 * between the newest's arrival and the older one's deadline. If its switch time
 * comes before the newest can arrive it takes the older one.
 */
static void
test_switch_before_the_newest_arrives(void **state)
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
 * Two versions are announced two seconds apart, then the origin goes down. If
 * the first is complete on its host, the engine must not wait for the second
 * past the deadline of what it has loaded.
 */
static void
test_older_version_when_the_newest_is_late(void **state)
{
	struct stg_overlap r = { .older_complete = true,
		.loaded = 1,
		.older_switch_us = 14 * SECOND,
		.older_deadline_us = 17 * SECOND,
		.newest_announced_us = 12 * SECOND,
		.have = 0,
		.total = 64 };

	assert_false(stg_prefers_older(&r, 13 * SECOND));
	/* In time: switching to the older one would cost more. */
	r.have = 60;
	assert_false(stg_prefers_older(&r, 15 * SECOND));
	r.have = 0;
	assert_true(stg_prefers_older(&r, 16 * SECOND));
	r.older_complete = false;
	assert_false(stg_prefers_older(&r, 16 * SECOND));
}

/* An engine with nothing loaded serves whichever version comes first. */
static void
test_empty_engine_takes_the_older(void **state)
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
		cmocka_unit_test(test_empty_engine_loads_at_once),
		cmocka_unit_test(test_old_check_is_repeated),
		cmocka_unit_test(test_unproved_weights_are_read_back),
		cmocka_unit_test(test_serving_engine_waits_for_its_switch_time),
		cmocka_unit_test(
		    test_engine_drains_before_its_requests_are_cut),
		cmocka_unit_test(test_refused_and_lost_orders),
		cmocka_unit_test(test_nothing_while_the_engine_is_down),
		cmocka_unit_test(test_loaded_engine_is_a_source),
		cmocka_unit_test(test_switch_times_are_spread),
		cmocka_unit_test(test_longest_inbound_wait_is_held),
		cmocka_unit_test(
		    test_engines_with_later_deadlines_switch_later),
		cmocka_unit_test(test_deadlines_are_retained_until_they_pass),
		cmocka_unit_test(test_digest_readers),
		cmocka_unit_test(test_version_announced_before),
		cmocka_unit_test(test_versions_announced_together),
		cmocka_unit_test(
		    test_almost_complete_version_past_its_deadline),
		cmocka_unit_test(test_switch_before_the_newest_arrives),
		cmocka_unit_test(test_older_version_when_the_newest_is_late),
		cmocka_unit_test(test_empty_engine_takes_the_older),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
