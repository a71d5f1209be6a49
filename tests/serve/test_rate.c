/* A target's rate limit, as its answers tell it. */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "serve/rate.h"

/*
 * A target names a limit, and a longer answer that it had begun before comes
 * in after. Taken as the limit's end, that would let everything through again.
 */
static void
test_an_answer_from_before_ends_nothing(void **state)
{
	struct rate r = { 0 };

	assert_true(rate_answered(&r, 2.5, 1000, 5000));
	assert_false(rate_answered(&r, 0, 4000, 6000));
	assert_true(r.limit == 2.5);
	assert_false(rate_answered(&r, 2.5, 4500, 7000));
	assert_false(rate_answered(&r, 0, 6500, 8000));
	assert_true(rate_answered(&r, 0, 7500, 9000));
	assert_true(r.limit == 0);
}

static void
test_a_limit_that_changes(void **state)
{
	struct rate r = { 0 };

	assert_true(rate_answered(&r, 4, 0, 1));
	assert_true(rate_answered(&r, 0.5, 0, 2));
	assert_true(r.limit == 0.5);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_an_answer_from_before_ends_nothing),
		cmocka_unit_test(test_a_limit_that_changes),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
