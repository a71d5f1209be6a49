/* Timers of the event loop. */

#include <sys/syscall.h>
#include <time.h>

#include "loop.h"

#define SUSPENDED_S 500
#define TIMER_US 20000
#define WAIT_MS 300
#define WORK_US 60000

/* Replaces the C library's function on a host that was suspended before, which
 * only CLOCK_BOOTTIME counts. */
int
clock_gettime(clockid_t id, struct timespec *out)
{
	int status = (int)syscall(SYS_clock_gettime, id, out);

	if (status == 0 && id == CLOCK_BOOTTIME)
		out->tv_sec += SUSPENDED_S;
	return status;
}

static bool has_fired;

static void
on_fire(struct evl_timer *t)
{
	has_fired = true;
}

/* Guards against timers that are late by all the time for which the host was
 * suspended. */
static void
test_timer_after_a_suspension(void **state)
{
	struct evl *loop = evl_new(clk_system());
	struct evl_timer timer = { .fire = on_fire };

	evl_timer_set(loop, &timer, evl_now_us(loop) + TIMER_US);
	run_ms(WAIT_MS);
	assert_true(has_fired);
	evl_free(loop);
}

static void
on_long_work(struct evl_timer *t)
{
	usleep(WORK_US);
	has_fired = true;
}

/* Guards against a process that was stopped within a pass and counts as one that
 * ran on time, as its timers fired when they were due. */
static void
test_stop_within_a_pass_counts_as_late(void **state)
{
	struct evl *loop = evl_new(clk_system());
	struct evl_timer timer = { .fire = on_long_work };

	has_fired = false;
	run_ms(5);
	assert_true(evl_late(loop).us < WORK_US);
	evl_timer_set(loop, &timer, evl_now_us(loop));
	while (!has_fired)
		run_ms(1);
	assert_true(evl_late(loop).us >= WORK_US);
	evl_free(loop);
}

/* The same for a process that is stopped between two passes. */
static void
test_stop_between_passes_counts_as_late(void **state)
{
	struct evl *loop = evl_new(clk_system());
	struct evl_timer timer = { .fire = on_fire };

	has_fired = false;
	evl_timer_set(loop, &timer, evl_now_us(loop));
	usleep(WORK_US);
	while (!has_fired)
		run_ms(1);
	assert_true(evl_late(loop).us >= WORK_US);
	evl_free(loop);
}

/* Guards against a timer that is set to a time that has passed, and makes the
 * process look late by that. */
static void
test_timer_set_to_the_past_is_not_late(void **state)
{
	struct evl *loop = evl_new(clk_system());
	struct evl_timer timer = { .fire = on_fire };

	has_fired = false;
	run_ms(5);
	evl_timer_set(loop, &timer, evl_now_us(loop) - G_USEC_PER_SEC);
	while (!has_fired)
		run_ms(1);
	assert_true(evl_late(loop).us < G_USEC_PER_SEC);
	evl_free(loop);
}

static struct clk_fake fake;

static void
on_fake_work(struct evl_timer *t)
{
	clk_fake_advance_ms(&fake, t->at_us % G_USEC_PER_SEC == 0 ? 300 : 200);
	has_fired = true;
}

static void
work_at(struct evl *loop, int64_t at_us)
{
	struct evl_timer timer = { .fire = on_fake_work };

	fake.now_us = at_us;
	has_fired = false;
	evl_timer_set(loop, &timer, at_us);
	while (!has_fired)
		run_ms(1);
}

/* Guards against a hold-up that is forgotten at once, as a longer one before it
 * no longer counts; and against input that is taken for as new as its handling. */
static void
test_hold_up_counts_after_a_longer_one(void **state)
{
	int64_t begun_us = 100 * G_USEC_PER_SEC;
	struct evl *loop;

	clk_fake_init(&fake, begun_us);
	loop = evl_new(&fake.clock);
	work_at(loop, begun_us);
	assert_int_equal(evl_late(loop).us, 300000);
	work_at(loop, begun_us + 4900000);
	fake.now_us = begun_us + 5500000;
	assert_true(evl_late(loop).us >= 200000);
	assert_true(evl_heard_us(loop) <= fake.now_us - 200000);
	fake.now_us = begun_us + 9000000;
	assert_true(evl_late(loop).us >= 200000);
	fake.now_us = begun_us + 30000000;
	assert_int_equal(evl_late(loop).us, 0);
	evl_free(loop);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_timer_after_a_suspension),
		cmocka_unit_test(test_stop_within_a_pass_counts_as_late),
		cmocka_unit_test(test_stop_between_passes_counts_as_late),
		cmocka_unit_test(test_timer_set_to_the_past_is_not_late),
		cmocka_unit_test(test_hold_up_counts_after_a_longer_one),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
