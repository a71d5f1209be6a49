/* Next steps after an attempt, and Retry-After of refused callers. */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "serve/flow.h"

/* ------------------------------------------------------------------ */
/* Refused callers                                                     */
/* ------------------------------------------------------------------ */

/*
 * No engine can serve for 1.5 s: the weights of all are too old, or all were
 * started at once. Callers that are refused in that time retry once, after
 * their Retry-After. At most one in 20 may be refused again, and at most one in
 * ten may retry within the same 100 ms.
 */
static void
test_refused_callers_retry_after_the_gap(void **state)
{
	enum {
		CALLERS = 1500
	};
	const double gap_s = 1.5;
	unsigned int refused_again = 0, i, in_100_ms[40] = { 0 }, most = 0;
	struct rng rng;

	rng_seed(&rng, 1);
	for (i = 0; i < CALLERS; i++) {
		double at_s = gap_s * i / CALLERS;
		double retry_s = at_s +
		    flow_retry_after_s(0, (double)rng_below(&rng, 1000) / 1000);

		refused_again += retry_s < gap_s;
		in_100_ms[(unsigned int)(retry_s * 10)]++;
	}
	for (i = 0; i < G_N_ELEMENTS(in_100_ms); i++)
		most = MAX(most, in_100_ms[i]);
	assert_true(refused_again <= CALLERS / 20);
	assert_true(most <= CALLERS / 10);
	/* A caller waits for a third of its time, which is some 6 s. */
	assert_true(flow_retry_after_s(5, 0.5) <= 1.9);
}

/* ------------------------------------------------------------------ */
/* Attempts                                                            */
/* ------------------------------------------------------------------ */

static bool
yes(void *ctx)
{
	(*(unsigned int *)ctx)++;
	return true;
}

static bool
no(void *ctx)
{
	return false;
}

static void
test_next_step_after_attempt(void **state)
{
	struct flow_state s = {
		.max_attempts = 2, .has_time = true, .attempts = 1
	};
	unsigned int charged = 0;

	/* Not repeatable, but it certainly did not run: sent again. */
	assert_int_equal(
	    flow_next(&s, FLOW_REFUSED, yes, &charged), FLOW_RETRY);
	assert_int_equal(flow_next(&s, FLOW_REFUSED, no, NULL), FLOW_REFUSE);
	/* Nothing was sent, so the retry budget is not charged. */
	charged = 0;
	assert_int_equal(
	    flow_next(&s, FLOW_UNREACHABLE, yes, &charged), FLOW_RETRY);
	assert_int_equal(charged, 0);
	/* It may have run: neither sent again nor answered with 503. */
	s.may_have_run = true;
	s.runs = 1;
	assert_int_equal(flow_next(&s, FLOW_LOST, yes, &charged), FLOW_FAIL);
	assert_int_equal(flow_next(&s, FLOW_REFUSED, yes, &charged), FLOW_FAIL);
	assert_int_equal(flow_next(&s, FLOW_FAILURE, yes, &charged), FLOW_PASS);
	/* Repeatable, within its attempts. */
	s.repeatable = true;
	assert_int_equal(flow_next(&s, FLOW_LOST, yes, &charged), FLOW_RETRY);
	s.begun = true;
	assert_int_equal(flow_next(&s, FLOW_LOST, yes, &charged), FLOW_RESUME);
	assert_int_equal(flow_next(&s, FLOW_LOST, no, NULL), FLOW_ABORT);
	s.runs = 2;
	assert_int_equal(
	    flow_next(&s, FLOW_STALLED, yes, &charged), FLOW_ABORT);
	/* No time for another attempt. */
	s = (struct flow_state){ .repeatable = true, .max_attempts = 3 };
	assert_int_equal(
	    flow_next(&s, FLOW_REFUSED, yes, &charged), FLOW_REFUSE);
	/* The number of attempts after refusals is bounded. */
	s.has_time = true;
	s.attempts = 3 + FLOW_REFUSALS_MAX;
	assert_int_equal(
	    flow_next(&s, FLOW_REFUSED, yes, &charged), FLOW_REFUSE);
}

/* Guards against one attempt more than the route allows, beside silent ones. */
static void
test_attempt_beside_silent_ones(void **state)
{
	struct flow_state s = { .repeatable = true,
		.max_attempts = 2,
		.runs = 1,
		.attempts = 1,
		.has_time = true };

	assert_true(flow_may_hedge(&s));
	s.runs = 2;
	assert_false(flow_may_hedge(&s));
	s.runs = 1;
	s.blocked = true;
	assert_false(flow_may_hedge(&s));
	s.blocked = false;
	/* Not even while it has certainly not run: it may run later. */
	s.repeatable = false;
	assert_false(flow_may_hedge(&s));
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_refused_callers_retry_after_the_gap),
		cmocka_unit_test(test_next_step_after_attempt),
		cmocka_unit_test(test_attempt_beside_silent_ones),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
