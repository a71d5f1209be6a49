/* The system clock. */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <sys/syscall.h>
#include <time.h>
#include <unistd.h>

#include "common/common.h"

#define SUSPENDED_S 5

static bool was_suspended;

/* Replaces the C library's function: the host was suspended for a while, which
 * only CLOCK_BOOTTIME counts. */
int
clock_gettime(clockid_t id, struct timespec *out)
{
	int status = (int)syscall(SYS_clock_gettime, id, out);

	if (status == 0 && was_suspended && id == CLOCK_BOOTTIME)
		out->tv_sec += SUSPENDED_S;
	return status;
}

/* Guards against an order by a check, a lease or a deadline from before the host
 * was suspended, whose age stood still meanwhile. */
static void
test_clock_counts_suspended_time(void **state)
{
	const struct clk *clock = clk_system();
	int64_t from_us = clk_now_us(clock);

	was_suspended = true;
	assert_true(
	    clk_now_us(clock) - from_us >= SUSPENDED_S * G_USEC_PER_SEC);
	was_suspended = false;
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_clock_counts_suspended_time),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
