/* Which requests are blocked after terminations of targets, and how long. */

#include "../http/loop.h"

#include "common/common.h"
#include "serve/suspect.h"

#define S ((int64_t)G_USEC_PER_SEC)
#define T0 (100 * S)
#define MS 1000

static struct sus *s;
static GArray *confirmed;

static int
set_up(void **state)
{
	s = sus_new(1);
	confirmed = g_array_new(FALSE, FALSE, sizeof(struct sus_termination));
	return 0;
}

static int
tear_down(void **state)
{
	sus_free(s);
	g_array_unref(confirmed);
	return 0;
}

static struct sus_termination
termination_of(
    uint64_t fingerprint, uint64_t target, unsigned int weight, int64_t at_us)
{
	return (struct sus_termination){ fingerprint, target, weight, at_us };
}

static void
cut(uint64_t fingerprint, uint64_t target, unsigned int weight, int64_t at_us)
{
	struct sus_termination termination =
	    termination_of(fingerprint, target, weight, at_us);

	sus_cut(s, &termination);
}

static bool
report(struct sus *by, uint64_t fingerprint, uint64_t target,
    unsigned int weight, int64_t at_us)
{
	struct sus_termination termination =
	    termination_of(fingerprint, target, weight, at_us);

	return sus_report(by, &termination);
}

static enum sus_verdict
judge(uint64_t fingerprint, int64_t now_us)
{
	int64_t until_us = 0;

	return sus_judge(s, fingerprint, now_us, &until_us);
}

static int64_t
blocked_until(struct sus *by, uint64_t fingerprint, int64_t now_us)
{
	int64_t until_us = 0;

	assert_int_equal(
	    sus_judge(by, fingerprint, now_us, &until_us), SUS_BLOCKED);
	return until_us;
}

/* Guards against a request that terminates one target after the other. */
static void
test_blocked_after_two_terminations_without_answer(void **state)
{
	assert_int_equal(judge(7, T0), SUS_NONE);
	cut(7, 1, SUS_UNANSWERED, T0);
	sus_target_terminated(s, 1, T0 + 40 * MS, confirmed);
	assert_int_equal(confirmed->len, 1);
	assert_int_equal(judge(7, T0 + 50 * MS), SUS_SUSPECT);
	cut(7, 2, SUS_UNANSWERED, T0 + 300 * MS);
	/* Blocked before it is known that the second target terminated. */
	assert_int_equal(judge(7, T0 + 300 * MS), SUS_BLOCKED);
	sus_target_terminated(s, 2, T0 + 340 * MS, confirmed);
	assert_int_equal(confirmed->len, 2);
	assert_true(blocked_until(s, 7, T0 + 400 * MS) > T0 + 10 * S);
	assert_true(sus_was_blocked(s, 7));
}

/* Guards against blocking a request whose target is still running. */
static void
test_cut_off_by_running_target_is_refuted(void **state)
{
	cut(7, 1, SUS_UNANSWERED, T0);
	cut(7, 2, SUS_UNANSWERED, T0 + 100 * MS);
	assert_int_equal(judge(7, T0 + 100 * MS), SUS_BLOCKED);
	assert_int_equal(judge(7, T0 + 500 * MS), SUS_SUSPECT);
	sus_sweep(s, T0 + 2 * S);
	assert_true(sus_is_empty(s));
	/* A termination much later is unrelated. */
	cut(7, 1, SUS_UNANSWERED, T0 + 3 * S);
	sus_target_terminated(s, 1, T0 + 5 * S, confirmed);
	assert_int_equal(confirmed->len, 0);
}

/* The sidecar may report the termination before the cut-off is read here. */
static void
test_termination_known_before_the_cut_off(void **state)
{
	struct sus_termination termination =
	    termination_of(7, 1, SUS_UNANSWERED, T0 + 20 * MS);

	sus_target_terminated(s, 1, T0, confirmed);
	assert_int_equal(confirmed->len, 0);
	assert_true(sus_cut(s, &termination));
}

/* Guards against blocking innocent requests, which most of those in flight at a
 * terminated target are. */
static void
test_innocent_requests_are_not_blocked(void **state)
{
	uint64_t fingerprint;

	for (fingerprint = 10; fingerprint < 30; fingerprint++)
		cut(fingerprint, 1, SUS_UNANSWERED, T0);
	sus_target_terminated(s, 1, T0 + 40 * MS, confirmed);
	for (fingerprint = 10; fingerprint < 30; fingerprint++)
		assert_int_equal(judge(fingerprint, T0 + S), SUS_SUSPECT);
	/* Cut off midway at all three. */
	report(s, 40, 1, SUS_ANSWERING, T0);
	report(s, 40, 2, SUS_ANSWERING, T0 + S);
	report(s, 40, 3, SUS_ANSWERING, T0 + 2 * S);
	assert_int_equal(judge(40, T0 + 2 * S), SUS_SUSPECT);
	/* Midway, then before the stream was resumed elsewhere. */
	report(s, 41, 1, SUS_ANSWERING, T0);
	report(s, 41, 2, SUS_UNANSWERED, T0 + S);
	assert_int_equal(judge(41, T0 + S), SUS_SUSPECT);
}

/* Guards against a request that terminates targets after their first event. */
static void
test_blocked_after_four_terminations_midway(void **state)
{
	uint64_t target;

	for (target = 1; target <= 4; target++)
		report(s, 7, target, SUS_ANSWERING, T0 + (int64_t)target * S);
	assert_int_equal(judge(7, T0 + 5 * S), SUS_BLOCKED);
}

static void
test_reports_of_one_termination_count_once(void **state)
{
	assert_true(report(s, 7, 1, SUS_UNANSWERED, T0));
	assert_false(report(s, 7, 1, SUS_UNANSWERED, T0 + 30 * MS));
	cut(7, 1, SUS_UNANSWERED, T0 + 10 * MS);
	assert_int_equal(judge(7, T0 + 50 * MS), SUS_SUSPECT);
	/* The target has restarted under the same id. */
	assert_true(report(s, 7, 1, SUS_UNANSWERED, T0 + 5 * S));
	assert_int_equal(judge(7, T0 + 5 * S), SUS_BLOCKED);
}

static void
test_complete_answer_clears(void **state)
{
	report(s, 7, 1, SUS_UNANSWERED, T0);
	assert_true(sus_answered(s, 7));
	assert_int_equal(judge(7, T0 + S), SUS_NONE);
	assert_false(sus_answered(s, 7));
	cut(8, 1, SUS_UNANSWERED, T0); /* not published yet */
	assert_false(sus_answered(s, 8));
	/* The same, reported by another process. */
	report(s, 9, 1, SUS_UNANSWERED, T0);
	report(s, 9, 2, SUS_UNANSWERED, T0);
	assert_true(report(s, 9, 0, SUS_CLEARED, T0));
	assert_int_equal(judge(9, T0 + S), SUS_NONE);
}

/* Guards against probes that cost a target every few seconds indefinitely. */
static void
test_each_termination_blocks_for_longer(void **state)
{
	int64_t now_us = T0, least_s[] = { 10, 300, 3600, 24 * 3600 }, until_us;
	uint64_t target;

	report(s, 7, 1, SUS_UNANSWERED, now_us);
	for (target = 2; target <= 5; target++) {
		report(s, 7, target, SUS_UNANSWERED, now_us);
		until_us = blocked_until(s, 7, now_us);
		assert_in_range((until_us - now_us) / S, least_s[target - 2],
		    2 * least_s[target - 2]);
		sus_sweep(s, until_us);
		assert_int_equal(judge(7, until_us), SUS_SUSPECT);
		now_us = until_us;
	}
}

/* Guards against all gateways probing a request at the same time. */
static void
test_gateways_probe_at_different_times(void **state)
{
	int64_t first_us = INT64_MAX, last_us = 0, until_us;
	struct sus *other;
	uint64_t seed;

	for (seed = 10; seed < 45; seed++) {
		other = sus_new(seed);
		report(other, 7, 1, SUS_UNANSWERED, T0);
		report(other, 7, 2, SUS_UNANSWERED, T0);
		until_us = blocked_until(other, 7, T0);
		first_us = MIN(first_us, until_us);
		last_us = MAX(last_us, until_us);
		sus_free(other);
	}
	assert_true(last_us - first_us > 7 * S);
}

/* Guards against blocked requests being evicted by many other suspects. */
static void
test_blocked_requests_are_not_evicted(void **state)
{
	uint64_t fingerprint;

	report(s, 7, 1, SUS_UNANSWERED, T0);
	report(s, 7, 2, SUS_UNANSWERED, T0);
	for (fingerprint = 100; fingerprint < 5000; fingerprint++)
		report(s, fingerprint, 3, SUS_UNANSWERED, T0 + S);
	assert_int_equal(judge(7, T0 + 2 * S), SUS_BLOCKED);
	assert_int_equal(sus_count_blocked(s), 1);
	sus_blocked_terminations(s, confirmed);
	assert_int_equal(confirmed->len, 2);
	assert_int_equal(judge(100, T0 + 2 * S), SUS_NONE); /* evicted */
	sus_sweep(s, T0 + 90 * S);
	assert_true(sus_is_empty(s));
}

/* Guards against a restarted gateway sending what the others have blocked. */
static void
test_published_terminations_block_elsewhere(void **state)
{
	struct sus *other = sus_new(2);
	const struct sus_termination *termination;
	guint i;

	report(s, 7, 1, SUS_UNANSWERED, T0);
	report(s, 7, 2, SUS_UNANSWERED, T0 + S);
	report(s, 7, 3, SUS_UNANSWERED, T0 + 2 * S);
	report(s, 8, 3, SUS_UNANSWERED,
	    T0 + 2 * S); /* a single one is not published */
	sus_blocked_terminations(s, confirmed);
	assert_int_equal(confirmed->len, 3);
	for (i = 0; i < confirmed->len; i++) {
		termination =
		    &g_array_index(confirmed, struct sus_termination, i);
		assert_true(sus_report(other, termination));
	}
	assert_true(blocked_until(other, 7, T0 + 200 * S) > T0 + 300 * S);
	sus_free(other);
}

int
main(void)
{
#define TEST(f) cmocka_unit_test_setup_teardown(f, set_up, tear_down)
	const struct CMUnitTest tests[] = {
		TEST(test_blocked_after_two_terminations_without_answer),
		TEST(test_cut_off_by_running_target_is_refuted),
		TEST(test_termination_known_before_the_cut_off),
		TEST(test_innocent_requests_are_not_blocked),
		TEST(test_blocked_after_four_terminations_midway),
		TEST(test_reports_of_one_termination_count_once),
		TEST(test_complete_answer_clears),
		TEST(test_each_termination_blocks_for_longer),
		TEST(test_gateways_probe_at_different_times),
		TEST(test_blocked_requests_are_not_evicted),
		TEST(test_published_terminations_block_elsewhere),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
