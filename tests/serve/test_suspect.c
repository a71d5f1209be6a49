/* Requests under which targets ended: which are held, when and for how long. */

#include "../http/loop.h"

#include "common/common.h"
#include "serve/suspect.h"

#define S ((int64_t)G_USEC_PER_SEC)
#define T0 (100 * S)
#define MS 1000

static struct sus *s;
static GArray *news;

static int
set_up(void **state)
{
	s = sus_new(1);
	news = g_array_new(FALSE, FALSE, sizeof(struct sus_termination));
	return 0;
}

static int
tear_down(void **state)
{
	sus_free(s);
	g_array_unref(news);
	return 0;
}

static struct sus_termination
end_of(uint64_t content, uint64_t target, unsigned int weight, int64_t at_us)
{
	return (struct sus_termination){ content, target, weight, at_us };
}

static void
cut(uint64_t content, uint64_t target, unsigned int weight, int64_t at_us)
{
	struct sus_termination end = end_of(content, target, weight, at_us);

	sus_cut(s, &end);
}

static bool
told(struct sus *by, uint64_t content, uint64_t target, unsigned int weight,
    int64_t at_us)
{
	struct sus_termination end = end_of(content, target, weight, at_us);

	return sus_report(by, &end);
}

static enum sus_verdict
judge(uint64_t content, int64_t now_us)
{
	int64_t until_us = 0;

	return sus_judge(s, content, now_us, &until_us);
}

static int64_t
held_until(struct sus *by, uint64_t content, int64_t now_us)
{
	int64_t until_us = 0;

	assert_int_equal(
	    sus_judge(by, content, now_us, &until_us), SUS_BLOCKED);
	return until_us;
}

/* Guards against a request that ends target after target. */
static void
test_held_after_two_targets_ended_without_an_answer(void **state)
{
	assert_int_equal(judge(7, T0), SUS_NONE);
	cut(7, 1, SUS_SILENT, T0);
	sus_target_terminated(s, 1, T0 + 40 * MS, news);
	assert_int_equal(news->len, 1);
	assert_int_equal(judge(7, T0 + 50 * MS), SUS_SUSPECT);
	cut(7, 2, SUS_SILENT, T0 + 300 * MS);
	/* At once, before it is known that the second ended. */
	assert_int_equal(judge(7, T0 + 300 * MS), SUS_BLOCKED);
	sus_target_terminated(s, 2, T0 + 340 * MS, news);
	assert_int_equal(news->len, 2);
	assert_true(held_until(s, 7, T0 + 400 * MS) > T0 + 10 * S);
	assert_true(sus_was_blocked(s, 7));
}

/* Guards against holding a request whose target is alive. */
static void
test_cut_by_a_target_that_goes_on_is_refuted(void **state)
{
	cut(7, 1, SUS_SILENT, T0);
	cut(7, 2, SUS_SILENT, T0 + 100 * MS);
	assert_int_equal(judge(7, T0 + 100 * MS), SUS_BLOCKED);
	assert_int_equal(judge(7, T0 + 500 * MS), SUS_SUSPECT);
	sus_sweep(s, T0 + 2 * S);
	assert_true(sus_is_empty(s));
	/* An end much later is another matter. */
	cut(7, 1, SUS_SILENT, T0 + 3 * S);
	sus_target_terminated(s, 1, T0 + 5 * S, news);
	assert_int_equal(news->len, 0);
}

/* The side may notice the end before the cut is read here. */
static void
test_end_known_before_the_cut(void **state)
{
	struct sus_termination end = end_of(7, 1, SUS_SILENT, T0 + 20 * MS);

	sus_target_terminated(s, 1, T0, news);
	assert_int_equal(news->len, 0);
	assert_true(sus_cut(s, &end));
}

/* Guards against holding the innocent: most of those at an ended target are. */
static void
test_bystanders_are_not_held(void **state)
{
	uint64_t content;

	for (content = 10; content < 30; content++)
		cut(content, 1, SUS_SILENT, T0);
	sus_target_terminated(s, 1, T0 + 40 * MS, news);
	for (content = 10; content < 30; content++)
		assert_int_equal(judge(content, T0 + S), SUS_SUSPECT);
	/* Cut midway at both. */
	told(s, 40, 1, SUS_ANSWERING, T0);
	told(s, 40, 2, SUS_ANSWERING, T0 + S);
	told(s, 40, 3, SUS_ANSWERING, T0 + 2 * S);
	assert_int_equal(judge(40, T0 + 2 * S), SUS_SUSPECT);
	/* Midway, then before the stream went on elsewhere. */
	told(s, 41, 1, SUS_ANSWERING, T0);
	told(s, 41, 2, SUS_SILENT, T0 + S);
	assert_int_equal(judge(41, T0 + S), SUS_SUSPECT);
}

/* Guards against targets that end after their first event, one by one. */
static void
test_held_after_four_targets_ended_midway(void **state)
{
	uint64_t target;

	for (target = 1; target <= 4; target++)
		told(s, 7, target, SUS_ANSWERING, T0 + (int64_t)target * S);
	assert_int_equal(judge(7, T0 + 5 * S), SUS_BLOCKED);
}

static void
test_several_words_on_one_end_count_once(void **state)
{
	assert_true(told(s, 7, 1, SUS_SILENT, T0));
	assert_false(told(s, 7, 1, SUS_SILENT, T0 + 30 * MS));
	cut(7, 1, SUS_SILENT, T0 + 10 * MS);
	assert_int_equal(judge(7, T0 + 50 * MS), SUS_SUSPECT);
	/* Its next start, under the same id. */
	assert_true(told(s, 7, 1, SUS_SILENT, T0 + 5 * S));
	assert_int_equal(judge(7, T0 + 5 * S), SUS_BLOCKED);
}

static void
test_whole_answer_clears(void **state)
{
	told(s, 7, 1, SUS_SILENT, T0);
	assert_true(sus_answered(s, 7));
	assert_int_equal(judge(7, T0 + S), SUS_NONE);
	assert_false(sus_answered(s, 7));
	cut(8, 1, SUS_SILENT, T0); /* told to nobody yet */
	assert_false(sus_answered(s, 8));
	/* The same by others. */
	told(s, 9, 1, SUS_SILENT, T0);
	told(s, 9, 2, SUS_SILENT, T0);
	assert_true(told(s, 9, 0, SUS_CLEARED, T0));
	assert_int_equal(judge(9, T0 + S), SUS_NONE);
}

/* Guards against chances that cost a target each few seconds for good. */
static void
test_each_end_more_holds_for_longer(void **state)
{
	int64_t now_us = T0, least_s[] = { 10, 300, 3600, 24 * 3600 }, until_us;
	uint64_t target;

	told(s, 7, 1, SUS_SILENT, now_us);
	for (target = 2; target <= 5; target++) {
		told(s, 7, target, SUS_SILENT, now_us);
		until_us = held_until(s, 7, now_us);
		assert_in_range((until_us - now_us) / S, least_s[target - 2],
		    2 * least_s[target - 2]);
		sus_sweep(s, until_us);
		assert_int_equal(judge(7, until_us), SUS_SUSPECT);
		now_us = until_us;
	}
}

/* Guards against all entries that give another chance at one moment. */
static void
test_entries_give_chances_at_different_moments(void **state)
{
	int64_t first_us = INT64_MAX, last_us = 0, until_us;
	struct sus *other;
	uint64_t seed;

	for (seed = 10; seed < 45; seed++) {
		other = sus_new(seed);
		told(other, 7, 1, SUS_SILENT, T0);
		told(other, 7, 2, SUS_SILENT, T0);
		until_us = held_until(other, 7, T0);
		first_us = MIN(first_us, until_us);
		last_us = MAX(last_us, until_us);
		sus_free(other);
	}
	assert_true(last_us - first_us > 7 * S);
}

/* Guards against a flood of contents that washes out what is held. */
static void
test_bounded_and_the_held_stay(void **state)
{
	uint64_t content;

	told(s, 7, 1, SUS_SILENT, T0);
	told(s, 7, 2, SUS_SILENT, T0);
	for (content = 100; content < 5000; content++)
		told(s, content, 3, SUS_SILENT, T0 + S);
	assert_int_equal(judge(7, T0 + 2 * S), SUS_BLOCKED);
	assert_int_equal(sus_count_blocked(s), 1);
	sus_blocked_terminations(s, news);
	assert_int_equal(news->len, 2);
	assert_int_equal(judge(100, T0 + 2 * S), SUS_NONE); /* forgotten */
	sus_sweep(s, T0 + 90 * S);
	assert_true(sus_is_empty(s));
}

/* Guards against a gateway that starts and sends what the others hold. */
static void
test_what_is_known_makes_another_know(void **state)
{
	struct sus *other = sus_new(2);
	const struct sus_termination *end;
	guint i;

	told(s, 7, 1, SUS_SILENT, T0);
	told(s, 7, 2, SUS_SILENT, T0 + S);
	told(s, 7, 3, SUS_SILENT, T0 + 2 * S);
	told(s, 8, 3, SUS_SILENT, T0 + 2 * S); /* once: others need not know */
	sus_blocked_terminations(s, news);
	assert_int_equal(news->len, 3);
	for (i = 0; i < news->len; i++) {
		end = &g_array_index(news, struct sus_termination, i);
		assert_true(sus_report(other, end));
	}
	assert_true(held_until(other, 7, T0 + 200 * S) > T0 + 300 * S);
	sus_free(other);
}

int
main(void)
{
#define TEST(f) cmocka_unit_test_setup_teardown(f, set_up, tear_down)
	const struct CMUnitTest tests[] = {
		TEST(test_held_after_two_targets_ended_without_an_answer),
		TEST(test_cut_by_a_target_that_goes_on_is_refuted),
		TEST(test_end_known_before_the_cut),
		TEST(test_bystanders_are_not_held),
		TEST(test_held_after_four_targets_ended_midway),
		TEST(test_several_words_on_one_end_count_once),
		TEST(test_whole_answer_clears),
		TEST(test_each_end_more_holds_for_longer),
		TEST(test_entries_give_chances_at_different_moments),
		TEST(test_bounded_and_the_held_stay),
		TEST(test_what_is_known_makes_another_know),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
