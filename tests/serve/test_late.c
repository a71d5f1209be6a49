/* Recalls by a gateway that does not run all the time. */

#include "world.h"

#define GRACE_US (2 * G_USEC_PER_SEC)
#define LEFT_US 900000 /* until the weights are withdrawn */
#define HELD_UP_US 150000
#define FIRST_HELD_UP_US 100000 /* after the request was sent */

/* A request that waits at an engine whose weights are about to be withdrawn. */
struct waiting {
	struct target *at;
	int caller;
	int64_t sent_us, deadline_us;
};

static void
open_old_engine(void)
{
	struct sv_config *config = make_config(SV_STREAM, 2, 3000);

	config->routes[0].objective_us = G_USEC_PER_SEC;
	world_open(1, config);
	target_announce(&w.target[0], false, 1);
}

static struct waiting
send_waiting(int64_t deadline_us)
{
	struct waiting wait = { .deadline_us = deadline_us };
	char *request;

	wait.sent_us = now_us();
	wait.caller =
	    send_request("GET", "/x/1", "T-Deadline: 3000\r\nT-Model: m\r\n");
	wait.at = target_get(&request);
	g_free(request);
	return wait;
}

static struct waiting
send_to_old_engine_for(int64_t left_us)
{
	struct sv_version announced = { .model = MODEL, .version = 2 };
	int64_t deadline_us;

	open_old_engine();
	deadline_us = now_us() + left_us;
	vers_announced(w.versions, &announced, false, deadline_us - GRACE_US);
	return send_waiting(deadline_us);
}

static struct waiting
send_to_old_engine(void)
{
	return send_to_old_engine_for(LEFT_US);
}

static void
on_hold_up(struct evl_timer *t)
{
	usleep(HELD_UP_US);
}

static bool
is_closed(const struct waiting *wait)
{
	char byte;

	return recv(wait->at->fd, &byte, 1, MSG_DONTWAIT) == 0;
}

static void
run_until_us(int64_t at_us)
{
	while (now_us() < at_us)
		run_ms(1);
}

/* The request must have been recalled when so much time is left. */
static void
expect_recalled(const struct waiting *wait, int64_t left_us)
{
	run_until_us(wait->deadline_us - left_us);
	assert_true(is_closed(wait));
	close(wait->caller);
	world_close();
}

/*
 * Guards against a request that begins on withdrawn weights since its gateway does
 * not run when it is to be recalled: the process is held up for longer than a
 * cancel is given, each second or so, as by settings that it reads on a small share
 * of a CPU.
 */
static void
test_recalled_before_the_gateway_is_held_up_again(void **state)
{
	struct waiting wait = send_to_old_engine();
	struct evl_timer hold_up = { .fire = on_hold_up };

	evl_timer_set(w.loop, &hold_up, wait.sent_us + FIRST_HELD_UP_US);
	expect_recalled(&wait, HELD_UP_US - 20000);
}

/*
 * Guards against a request that begins on withdrawn weights since its gateway reads
 * settings when it is to be recalled, for the first time in a while. What is not
 * due by the end of that work is left where it is.
 */
static void
test_recalled_before_long_work_begins(void **state)
{
	struct waiting wait = send_to_old_engine();

	fwd_expect_hold_up(w.fwd, HELD_UP_US);
	run_ms(5);
	assert_false(is_closed(&wait));
	run_until_us(wait.deadline_us - 3 * HELD_UP_US);
	fwd_expect_hold_up(w.fwd, HELD_UP_US);
	run_ms(5);
	if (evl_late(w.loop).us < HELD_UP_US) /* of this loop, under load */
		assert_false(is_closed(&wait));
	run_until_us(wait.deadline_us - HELD_UP_US + 20000);
	fwd_expect_hold_up(w.fwd, HELD_UP_US);
	assert_true(is_closed(&wait));
	expect_answer(wait.caller, "502 ");
	world_close();
}

#define CPU_PAUSE_US 95000

/*
 * Guards against a request that begins on withdrawn weights since the share of a
 * CPU that its gateway gets is used up when it is to be recalled: the process is
 * stopped for the rest of the period, for the first time in a while.
 */
static void
test_recalled_before_the_share_of_a_cpu_is_used_up(void **state)
{
	struct waiting wait = send_to_old_engine();

	fwd_set_pause(w.fwd, CPU_PAUSE_US);
	expect_recalled(&wait, CPU_PAUSE_US - 5000);
}

/* Guards against a request that begins on withdrawn weights since its gateway heard
 * of their successor after it had sent the request. */
static void
test_recalled_when_the_version_is_heard_of_later(void **state)
{
	struct waiting wait;

	open_old_engine();
	wait = send_waiting(0);
	wait.deadline_us = now_us() + 3 * HELD_UP_US;
	(void)vers_reported(w.versions, MODEL, 2, wait.deadline_us - GRACE_US);
	fwd_versions_changed(w.fwd);
	expect_recalled(&wait, 20000);
}

#define LONG_LEFT_US 1900000
#define LATE_US 500000

/* Guards against the same where the way to the target turns slow after the request
 * was sent, so that the recall is due before the margin is looked at again. */
static void
test_recalled_when_its_way_turns_slow(void **state)
{
	struct waiting wait = send_to_old_engine_for(LONG_LEFT_US);

	tgt_find(w.set, "i0")->slow_link = true;
	fwd_set_pause(w.fwd, LATE_US);
	expect_recalled(&wait, 1300000);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(
		    test_recalled_before_the_gateway_is_held_up_again),
		cmocka_unit_test(test_recalled_before_long_work_begins),
		cmocka_unit_test(
		    test_recalled_before_the_share_of_a_cpu_is_used_up),
		cmocka_unit_test(
		    test_recalled_when_the_version_is_heard_of_later),
		cmocka_unit_test(test_recalled_when_its_way_turns_slow),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
