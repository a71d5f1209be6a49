/* When a process may exit in a graceful shutdown. */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "serve/stop.h"

#define SECOND 1000000

/*
 * The last answer is finished, but not all of its bytes are sent, when the
 * first phase of the shutdown ends. The process must not exit before the caller
 * has received them; otherwise the answer is truncated.
 */
static void
test_stop_waits_for_the_last_bytes(void **state)
{
	struct stop_state s = { .since_us = SECOND,
		.grace_us = 8 * SECOND,
		.active = 0,
		.connections = 1 };

	assert_int_equal(stop_next(&s, 2 * SECOND), STOP_SERVE);
	assert_int_equal(stop_next(&s, 4 * SECOND), STOP_REJECT);
	s.connections = 0;
	assert_int_equal(stop_next(&s, 4 * SECOND), STOP_EXIT);
	s.active = 1;
	assert_int_equal(stop_next(&s, 4 * SECOND), STOP_REJECT);
	assert_int_equal(stop_next(&s, 9 * SECOND), STOP_EXIT);
}

/* Guards against a process that is killed while it still takes requests, as its
 * grace period ends before it would stop listening. */
static void
test_short_grace(void **state)
{
	struct stop_state s = { .since_us = SECOND,
		.grace_us = 2 * SECOND,
		.active = 1,
		.connections = 1 };

	assert_int_equal(stop_next(&s, 2 * SECOND), STOP_SERVE);
	assert_int_equal(stop_next(&s, 3 * SECOND), STOP_EXIT);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_stop_waits_for_the_last_bytes),
		cmocka_unit_test(test_short_grace),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
