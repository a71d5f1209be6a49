/* What targets announce about themselves in answers: a planned stop, and when
 * they take requests again. */

#include <stdlib.h>

#include "world.h"

#define OK_CLOSE GOOD "Connection: close\r\nContent-Length: 2\r\n\r\nok"
#define LEAVING_CLOSE \
	GOOD "T-Leaving: 1\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok"

static int
tear_down(void **state)
{
	world_close();
	return 0;
}

/* Sends a request; returns the target that gets it. */
static struct target *
send_to_any(int *caller)
{
	struct target *t;
	char *request;

	*caller = send_get();
	t = target_get(&request);
	g_free(request);
	return t;
}

static void
finish(struct target *t, int caller, const char *answer)
{
	raw_send(t->fd, answer);
	expect_answer(caller, "ok");
	close(t->fd);
	t->fd = -1;
}

static void
expect_target(const struct target *expected, bool is_expected)
{
	struct target *t;
	int caller, i;

	for (i = 0; i < 6; i++) {
		t = send_to_any(&caller);
		assert_true((t == expected) == is_expected);
		finish(t, caller, OK_CLOSE);
	}
}

/* The other one of two targets. */
static struct target *
other_than(const struct target *t)
{
	return t == &w.target[0] ? &w.target[1] : &w.target[0];
}

static void
announce(const struct target *t, int64_t start_ms)
{
	struct sv_target record = target_record(t);

	record.start_ms = start_ms;
	tgt_put(w.set, &record, now_us());
}

/* ------------------------------------------------------------------ */
/* A planned stop                                                      */
/* ------------------------------------------------------------------ */

/* Guards against requests to a target that announced its stop in an answer
 * while the store lists it as ready. */
static void
test_leaving_target_gets_no_request(void **state)
{
	struct target *t;
	int caller;

	world_open(2, make_config(SV_UNSAFE, 1, 2000));
	t = send_to_any(&caller);
	finish(t, caller, LEAVING_CLOSE);
	expect_target(t, false);
	target_announce(t, false, 0); /* an older record, read later */
	expect_target(t, false);
}

/* The announcement counts from the head of a stream on, while the stream goes
 * on for a long time. */
static void
test_leaving_is_read_with_the_head(void **state)
{
	struct target *t;
	int caller;

	world_open(2, make_config(SV_STREAM, 1, 2000));
	t = send_to_any(&caller);
	raw_send(t->fd,
	    GOOD
	    "T-Leaving: 1\r\nTransfer-Encoding: chunked\r\n\r\n" EVENT("1"));
	run_ms(10);
	assert_true(tgt_find(w.set, t->id)->leaving);
	raw_send(t->fd, "0\r\n\r\n");
	expect_answer(caller, "id: 1");
}

/* Sends one answer and returns whether its target then counts as leaving. */
static bool
leaves_after(const char *answer)
{
	struct target *t;
	bool leaving;
	int caller;

	world_open(1, make_config(SV_UNSAFE, 1, 2000));
	t = send_to_any(&caller);
	raw_send(t->fd, answer);
	run_ms(10);
	leaving = tgt_find(w.set, t->id)->leaving;
	close(caller);
	world_close();
	return leaving;
}

/* Refusals, failures and late answers to earlier requests announce a stop as
 * well; any value but 1 does not. */
static void
test_which_answers_announce_a_stop(void **state)
{
	assert_true(leaves_after("HTTP/1.1 503 Full\r\nT-Not-Run: 1\r\n"
				 "T-Leaving: 1\r\nContent-Length: 0\r\n\r\n"));
	assert_true(
	    leaves_after("HTTP/1.1 500 Error\r\nT-Id: q1\r\nT-Seal: s\r\n"
			 "T-Leaving: 1\r\nContent-Length: 0\r\n\r\n"));
	assert_true(leaves_after("HTTP/1.1 200 OK\r\nT-Id: q0\r\nT-Seal: s\r\n"
				 "T-Leaving: 1\r\nContent-Length: 0\r\n\r\n"));
	assert_false(
	    leaves_after(GOOD "T-Leaving: 0\r\nContent-Length: 0\r\n\r\n"));
	assert_false(
	    leaves_after(GOOD "T-Leaving: \r\nContent-Length: 0\r\n\r\n"));
	assert_false(leaves_after(GOOD "Content-Length: 0\r\n\r\n"));
	world_open(1, make_config(SV_UNSAFE, 1, 2000));
}

/* Guards against forgetting the announcement when the store does not list the
 * target for a moment and then lists it again with an older record. Another
 * start of the target, or another target at its address, is not bound by it. */
static void
test_leaving_holds_for_one_start(void **state)
{
	struct target *t;
	int caller;

	world_open(2, make_config(SV_UNSAFE, 1, 2000));
	announce(&w.target[0], 1000);
	announce(&w.target[1], 1000);
	t = send_to_any(&caller);
	finish(t, caller, LEAVING_CLOSE);
	tgt_removed(w.set, t->id, true, now_us());
	assert_null(tgt_find(w.set, t->id));
	announce(t, 1000);
	expect_target(t, false);
	tgt_removed(w.set, t->id, false, now_us());
	announce(t, 0); /* the start is not known */
	expect_target(t, false);
	announce(t, 2000);
	assert_false(tgt_find(w.set, t->id)->leaving);
	(void)tgt_announced_leaving(w.set, tgt_find(w.set, t->id), now_us());
	tgt_removed(w.set, other_than(t)->id, false, now_us());
	g_strlcpy(t->id, "i9", sizeof(t->id));
	announce(t, 2000);
	expect_target(t, true);
}

/* Guards against losing what the answer of a target says that was dropped and
 * listed again while the request was under way. */
static void
test_answer_of_a_target_listed_again(void **state)
{
	struct target *t;
	int caller;

	world_open(2, make_config(SV_UNSAFE, 1, 2000));
	announce(&w.target[0], 1000);
	announce(&w.target[1], 1000);
	t = send_to_any(&caller);
	tgt_removed(w.set, t->id, false, now_us());
	announce(t, 1000);
	finish(t, caller, LEAVING_CLOSE);
	expect_target(t, false);
	t = send_to_any(&caller);
	tgt_removed(w.set, t->id, false, now_us());
	announce(t, 2000); /* another start */
	finish(t, caller, LEAVING_CLOSE);
	assert_false(tgt_find(w.set, t->id)->leaving);
	t = send_to_any(&caller);
	tgt_removed(w.set, t->id, false, now_us());
	finish(t, caller, LEAVING_CLOSE);
	announce(t, 2000); /* listed after the answer */
	assert_true(tgt_find(w.set, t->id)->leaving);
}

/* ------------------------------------------------------------------ */
/* A store that was restored from an older copy                        */
/* ------------------------------------------------------------------ */

/* Guards against an older record that undoes a planned stop: the record of the
 * stop is lost with the store's last seconds, and comes again later. */
static void
test_recorded_stop_survives_an_older_record(void **state)
{
	const struct target *t = &w.target[0];

	world_open(2, make_config(SV_UNSAFE, 1, 2000));
	announce(t, 1000);
	target_announce(&w.target[0], true, 0);
	tgt_restored(w.set, now_us());
	announce(t, 1000);
	expect_target(t, false);
	tgt_removed(w.set, t->id, false, now_us());
	announce(t, 1000);
	expect_target(t, false);
	announce(t, 2000);
	assert_false(tgt_find(w.set, t->id)->leaving);
	/* Dropped before the store was restored. */
	target_announce(&w.target[0], true, 0);
	tgt_removed(w.set, t->id, false, now_us());
	tgt_restored(w.set, now_us());
	announce(t, 2000);
	assert_true(tgt_find(w.set, t->id)->leaving);
}

/* Guards against requests to a target that the store had removed, when an older
 * copy lists it again: it gets none until its removal had time to be repeated.
 * One that the store lists again in the same history is back at once. */
static void
test_removed_target_in_an_older_copy(void **state)
{
	const struct target *t = &w.target[0];

	world_open(2, make_config(SV_UNSAFE, 1, 2000));
	announce(t, 1000);
	tgt_removed(w.set, t->id, false, now_us());
	announce(t, 1000);
	assert_int_equal(tgt_find(w.set, t->id)->retry_after_us, 0);
	tgt_removed(w.set, t->id, false, now_us());
	tgt_restored(w.set, now_us());
	announce(t, 1000);
	assert_in_range(tgt_find(w.set, t->id)->retry_after_us - now_us(),
	    1000000, 3000000);
	expect_target(t, false);
	/* One that the gateway did not know before is new. */
	tgt_removed(w.set, other_than(t)->id, false, now_us());
	g_strlcpy(w.target[1].id, "i9", sizeof(w.target[1].id));
	announce(&w.target[1], 1000);
	expect_target(&w.target[1], true);
}

/* ------------------------------------------------------------------ */
/* Retry-After                                                         */
/* ------------------------------------------------------------------ */

#define REFUSAL(value)                                               \
	"HTTP/1.1 503 Full\r\nT-Not-Run: 1\r\nT-Retry-After: " value \
	"\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

/* Sends a request; the target that gets it refuses. */
static struct target *
refuse_one(int *caller, const char *refusal)
{
	struct target *t = send_to_any(caller);

	raw_send(t->fd, refusal);
	run_ms(10);
	return t;
}

/* Guards against requests to an overloaded target before the time that its
 * refusal asked for is over. Another start of the target takes requests. */
static void
test_deferred_target_gets_no_request(void **state)
{
	struct target *t, *other;
	char *request;
	int caller;

	world_open(2, make_config(SV_UNSAFE, 1, 2000));
	announce(&w.target[0], 1000);
	announce(&w.target[1], 1000);
	t = refuse_one(&caller, REFUSAL("60"));
	other = target_get(&request);
	assert_ptr_equal(other, other_than(t));
	g_free(request);
	finish(other, caller, OK_CLOSE);
	expect_target(t, false);
	announce(t, 1000); /* a record does not end it */
	tgt_removed(w.set, t->id, false, now_us());
	announce(t, 1000);
	expect_target(t, false);
	tgt_removed(w.set, other->id, false, now_us());
	announce(t, 2000);
	expect_target(t, true);
}

/* The time is over: the target takes requests as before. It is longer than that
 * for which a refusal alone counts as a full target. */
static void
test_deferral_ends(void **state)
{
	struct target *t;
	int caller;

	world_open(1, make_config(SV_UNSAFE, 1, 2000));
	t = refuse_one(&caller, REFUSAL("0.7"));
	expect_answer(caller, "503 ");
	run_ms(800);
	expect_target(t, true);
}

/* Guards against ending the time by the answer to a request that was sent
 * before, or by a later refusal that asks for less. */
static void
test_deferral_is_never_shortened(void **state)
{
	struct target *t;
	int first, second, third, fd[3];
	int64_t until_us;

	world_open(1, make_config(SV_UNSAFE, 1, 2000));
	t = send_to_any(&first);
	fd[0] = t->fd;
	(void)send_to_any(&second);
	fd[1] = t->fd;
	(void)send_to_any(&third);
	fd[2] = t->fd;
	raw_send(fd[0], REFUSAL("60"));
	run_ms(10);
	until_us = tgt_find(w.set, t->id)->retry_after_us;
	assert_in_range(until_us - now_us(), 59000000, 60000000);
	raw_send(fd[1], OK_CLOSE);
	expect_answer(second, "ok");
	raw_send(fd[2], REFUSAL("1"));
	run_ms(10);
	assert_int_equal(tgt_find(w.set, t->id)->retry_after_us, until_us);
	close(first);
	close(third);
}

/* Time in ms that an answer defers its target for; 0: it does not. */
static int64_t
deferred_ms(const char *answer)
{
	struct target *t;
	int64_t left_us;
	int caller;

	world_open(1, make_config(SV_UNSAFE, 1, 2000));
	t = refuse_one(&caller, answer);
	left_us = tgt_find(w.set, t->id)->retry_after_us;
	left_us = left_us == 0 ? 0 : left_us - now_us();
	close(caller);
	world_close();
	return left_us / 1000;
}

static void
test_which_values_defer(void **state)
{
	assert_in_range(deferred_ms(REFUSAL("20")), 10000, 20000);
	assert_in_range(deferred_ms(REFUSAL("20.9")), 20001, 20900);
	assert_in_range(deferred_ms(REFUSAL("86400")), 86390000, 86400000);
	assert_in_range(
	    deferred_ms(REFUSAL("99999999999999")), 604790000, 604800000);
	assert_in_range(deferred_ms("HTTP/1.1 429 Busy\r\nT-Not-Run: 1\r\n"
				    "T-Retry-After: 20\r\n"
				    "Content-Length: 0\r\n\r\n"),
	    10000, 20000);
	assert_int_equal(deferred_ms(REFUSAL("0")), 0);
	assert_int_equal(deferred_ms(REFUSAL("")), 0);
	assert_int_equal(deferred_ms(REFUSAL("-3")), 0);
	assert_int_equal(deferred_ms(REFUSAL("soon")), 0);
	assert_int_equal(deferred_ms(REFUSAL("1e9")), 0);
	assert_int_equal(deferred_ms(REFUSAL("1.2.3")), 0);
	assert_int_equal(
	    deferred_ms(REFUSAL("Thu, 03 Dec 2026 13:00:00 GMT")), 0);
	assert_int_equal(deferred_ms(GOOD "T-Retry-After: 2\r\n"
					  "Content-Length: 0\r\n\r\n"),
	    0);
	world_open(1, make_config(SV_UNSAFE, 1, 2000));
}

/* All targets ask for no requests: the caller is refused at once, and told when
 * the first of them takes requests again. */
static void
test_all_deferred_refuses_at_once(void **state)
{
	char *answer, *retry_after;
	int64_t started_us;
	int caller;

	world_open(1, make_config(SV_UNSAFE, 1, 3000));
	(void)refuse_one(&caller, REFUSAL("60"));
	expect_answer(caller, "503 ");
	started_us = now_us();
	caller = send_get();
	answer = raw_read(caller, "\r\n\r\n");
	assert_true(now_us() - started_us < 1500000);
	assert_non_null(strstr(answer, "503 "));
	retry_after = strstr(answer, "Retry-After: ");
	assert_non_null(retry_after);
	assert_true(atof(retry_after + strlen("Retry-After: ")) > 50);
	assert_true(atof(retry_after + strlen("Retry-After: ")) < 60.5);
	assert_false(target_is_called());
	g_free(answer);
	close(caller);
}

/* The target takes requests again within the time that a request may wait: the
 * request waits for it, and no other event is needed to send it. */
static void
test_waits_for_a_short_deferral(void **state)
{
	struct sv_config *config = make_config(SV_UNSAFE, 1, 3000);
	struct target *t;
	char *request;
	int first, second;

	config->routes[0].objective_us = 6000000;
	world_open(1, config);
	(void)refuse_one(&first, REFUSAL("1"));
	expect_answer(first, "503 ");
	second = send_get();
	assert_int_equal(fwd_waiting(w.fwd), 1);
	assert_false(target_is_called());
	t = target_get(&request);
	g_free(request);
	finish(t, second, OK_CLOSE);
}

#define T(name) cmocka_unit_test_teardown(name, tear_down)

int
main(void)
{
	const struct CMUnitTest tests[] = {
		T(test_leaving_target_gets_no_request),
		T(test_leaving_is_read_with_the_head),
		T(test_which_answers_announce_a_stop),
		T(test_leaving_holds_for_one_start),
		T(test_answer_of_a_target_listed_again),
		T(test_recorded_stop_survives_an_older_record),
		T(test_removed_target_in_an_older_copy),
		T(test_deferred_target_gets_no_request),
		T(test_deferral_ends),
		T(test_deferral_is_never_shortened),
		T(test_which_values_defer),
		T(test_all_deferred_refuses_at_once),
		T(test_waits_for_a_short_deferral),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
