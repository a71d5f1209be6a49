/* What targets announce about themselves in answers: a planned stop. */

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
	struct sv_target record = { .slots = 2, .start_ms = start_ms };

	g_strlcpy(record.id, t->id, sizeof(record.id));
	g_strlcpy(record.service, SERVICE, sizeof(record.service));
	g_strlcpy(record.address, t->address, sizeof(record.address));
	g_strlcpy(record.domain, "d", sizeof(record.domain));
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
	(void)tgt_announced_leaving(tgt_find(w.set, t->id));
	tgt_removed(w.set, other_than(t)->id, false, now_us());
	g_strlcpy(t->id, "i9", sizeof(t->id));
	announce(t, 2000);
	expect_target(t, true);
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
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
