/* What follows an attempt, and when a refused caller is to come back. */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "serve/flow.h"

/* ------------------------------------------------------------------ */
/* Callers that are refused                                            */
/* ------------------------------------------------------------------ */

/*
 * For 1.5 s no engine may serve: the weights of all have become too old, or all
 * were started at once. Callers are refused all through it and come back once,
 * at the time that they are told. Hardly one finds nobody again, and they do
 * not come all in one moment.
 */
static void
test_refused_callers_return_after_the_gap(void **state)
{
	enum {
		CALLERS = 1500
	};
	const double gap_s = 1.5;
	unsigned int again = 0, i, in_100_ms[40] = { 0 }, most = 0;
	struct rng rng;

	rng_seed(&rng, 1);
	for (i = 0; i < CALLERS; i++) {
		double at_s = gap_s * i / CALLERS;
		double back_s = at_s +
		    flow_retry_after_s(0, (double)rng_below(&rng, 1000) / 1000);

		again += back_s < gap_s;
		in_100_ms[(unsigned int)(back_s * 10)]++;
	}
	for (i = 0; i < G_N_ELEMENTS(in_100_ms); i++)
		most = MAX(most, in_100_ms[i]);
	assert_true(again <= CALLERS / 20);
	assert_true(most <= CALLERS / 10);
	/* A caller waits for a third of its time, and that is some six seconds. */
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
test_what_follows_an_attempt(void **state)
{
	struct flow_state s = { .attempts = 2, .has_time = true, .tries = 1 };
	unsigned int asked = 0;

	/* May run once, and certainly did not: on it goes. */
	assert_int_equal(flow_next(&s, FLOW_REFUSED, yes, &asked), FLOW_RETRY);
	assert_int_equal(flow_next(&s, FLOW_REFUSED, no, NULL), FLOW_REFUSE);
	/* Nothing was sent: no arrival, so nothing is spent. */
	asked = 0;
	assert_int_equal(
	    flow_next(&s, FLOW_UNREACHABLE, yes, &asked), FLOW_RETRY);
	assert_int_equal(asked, 0);
	/* It may have run: never again, and never "not run". */
	s.may_have_run = true;
	s.runs = 1;
	assert_int_equal(flow_next(&s, FLOW_LOST, yes, &asked), FLOW_FAIL);
	assert_int_equal(flow_next(&s, FLOW_REFUSED, yes, &asked), FLOW_FAIL);
	assert_int_equal(flow_next(&s, FLOW_FAILURE, yes, &asked), FLOW_PASS);
	/* May be repeated, within its attempts. */
	s.repeatable = true;
	assert_int_equal(flow_next(&s, FLOW_LOST, yes, &asked), FLOW_RETRY);
	s.begun = true;
	assert_int_equal(flow_next(&s, FLOW_LOST, yes, &asked), FLOW_RESUME);
	assert_int_equal(flow_next(&s, FLOW_LOST, no, NULL), FLOW_ABORT);
	s.runs = 2;
	assert_int_equal(flow_next(&s, FLOW_STALLED, yes, &asked), FLOW_ABORT);
	/* No time left. */
	s = (struct flow_state){ .repeatable = true, .attempts = 3 };
	assert_int_equal(flow_next(&s, FLOW_REFUSED, yes, &asked), FLOW_REFUSE);
	/* Refusals do not go round for ever. */
	s.has_time = true;
	s.tries = 3 + FLOW_REFUSALS_MAX;
	assert_int_equal(flow_next(&s, FLOW_REFUSED, yes, &asked), FLOW_REFUSE);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_refused_callers_return_after_the_gap),
		cmocka_unit_test(test_what_follows_an_attempt),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
