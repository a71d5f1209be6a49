/* Targets that fall silent: sound ones go on later and keep their requests, and
 * dead ones hold no request up for longer than the stall timeout. */

#include "world.h"

#define TIMEOUT_MS 1000 /* of plain routes; half of it is the stall timeout */
#define STALL_PLAIN_MS 500
#define STALL_MS 300 /* of streams: three times the objective, or the gap */
#define SLACK_MS 200 /* for a busy machine */

static int
tear_down(void **state)
{
	world_close();
	return 0;
}

static void
open_plain(size_t ntargets)
{
	world_open(ntargets, make_config(SV_SAFE, 2, TIMEOUT_MS));
}

static void
open_streams(size_t ntargets)
{
	world_open(ntargets, make_config(SV_STREAM, 2, 6000));
}

static void
expect_stream(int fd, const char *events)
{
	char *answer = raw_read(fd, "0\r\n\r\n");

	if (strstr(answer, events) == NULL)
		fail_msg("wanted %s, got %s", events, answer);
	g_free(answer);
	close(fd);
}

/* ------------------------------------------------------------------ */
/* Sound targets                                                       */
/* ------------------------------------------------------------------ */

/* Guards against failing a request because its target is silent and there is no
 * other one. */
static void
test_only_target_goes_on(void **state)
{
	struct target *t;
	int fd;

	open_plain(1);
	fd = send_get();
	t = target_next();
	run_ms(STALL_PLAIN_MS + SLACK_MS);
	raw_send(t->fd, ANSWER);
	expect_answer(fd, "\r\n\r\nok");
}

/* The same before the first event of a stream. */
static void
test_only_target_begins_late(void **state)
{
	struct target *t;
	int fd;

	open_streams(1);
	fd = send_get();
	t = target_next();
	run_ms(1200);
	raw_send(t->fd, STREAM EVENT("1") "0\r\n\r\n");
	expect_stream(fd, EVENT("1") "0\r\n\r\n");
}

/* Guards against cutting off a stream whose target pauses longer than the search
 * for another one lasts. */
static void
test_only_target_goes_on_midway(void **state)
{
	struct target *t;
	int fd;

	open_streams(1);
	fd = send_get();
	t = target_next();
	raw_send(t->fd, STREAM EVENT("1"));
	run_ms(STALL_MS + 2000);
	raw_send(t->fd, EVENT("2") "0\r\n\r\n");
	expect_stream(fd, EVENT("1") EVENT("2") "0\r\n\r\n");
}

/* Guards against dropping the first target's answer for a second target that is
 * silent, too. */
static void
test_first_of_two_silent_targets_goes_on(void **state)
{
	struct target *first, *second;
	int fd;

	open_streams(2);
	fd = send_get();
	first = target_next();
	raw_send(first->fd, STREAM EVENT("1"));
	second = target_next();
	assert_ptr_not_equal(first, second);
	run_ms(STALL_MS + SLACK_MS);
	raw_send(first->fd, EVENT("2") EVENT("3") "0\r\n\r\n");
	expect_stream(fd, EVENT("1") EVENT("2") EVENT("3") "0\r\n\r\n");
	assert_true(target_is_disconnected(second));
}

/* The same for a second target that refuses the request. */
static void
test_second_target_refuses(void **state)
{
	struct target *first, *second;
	int fd;

	open_plain(2);
	fd = send_get();
	first = target_next();
	second = target_next();
	raw_send(second->fd,
	    "HTTP/1.1 503 Full\r\nT-Not-Run: 1\r\nContent-Length: 0\r\n\r\n");
	run_ms(SLACK_MS);
	raw_send(first->fd, ANSWER);
	expect_answer(fd, "\r\n\r\nok");
}

/* The same for a second target that fails. */
static void
test_second_target_fails(void **state)
{
	struct target *first, *second;
	int fd;

	open_streams(2);
	fd = send_get();
	first = target_next();
	second = target_next();
	shutdown(second->fd, SHUT_RDWR);
	run_ms(SLACK_MS);
	raw_send(first->fd, STREAM EVENT("1") "0\r\n\r\n");
	expect_stream(fd, EVENT("1") "0\r\n\r\n");
}

/* The first target ends while the second has not begun: that one still answers.
 */
static void
test_first_target_fails_later(void **state)
{
	struct target *first, *second;
	int fd;

	open_streams(2);
	fd = send_get();
	first = target_next();
	raw_send(first->fd, STREAM EVENT("1"));
	second = target_next();
	shutdown(first->fd, SHUT_RDWR);
	run_ms(SLACK_MS);
	raw_send(second->fd, STREAM EVENT("2") "0\r\n\r\n");
	expect_stream(fd, EVENT("1") EVENT("2") "0\r\n\r\n");
}

/* Guards against giving up the only attempt for a second one that the retry
 * budget does not allow. */
static void
test_no_retry_budget(void **state)
{
	struct target *t;
	int fd;

	open_streams(2);
	fwd_budget(w.fwd)->ratio = 0;
	fwd_budget(w.fwd)->slack = 0;
	fd = send_get();
	t = target_next();
	raw_send(t->fd, STREAM EVENT("1"));
	run_ms(STALL_MS + SLACK_MS);
	assert_false(target_is_called());
	raw_send(t->fd, EVENT("2") "0\r\n\r\n");
	expect_stream(fd, EVENT("1") EVENT("2") "0\r\n\r\n");
}

/* Guards against an empty list of targets while all of them are silent for a
 * shared cause: new requests are refused although every target lives. */
static void
test_all_silent_targets_take_requests(void **state)
{
	struct target *t;
	int fd, later;

	open_plain(1);
	fd = send_get();
	t = target_next();
	run_ms(STALL_PLAIN_MS + 50);
	later = send_get();
	raw_send(t->fd, ANSWER);
	expect_answer(fd, "\r\n\r\nok");
	raw_send(target_next()->fd, ANSWER);
	expect_answer(later, "\r\n\r\nok");
}

/* Guards against leaving a target alone after it went on. */
static void
test_target_that_went_on_takes_requests(void **state)
{
	struct target *t, *other;
	int fd, later;

	open_streams(2);
	fd = send_get();
	t = target_next();
	raw_send(t->fd, STREAM EVENT("1"));
	other = target_next();
	raw_send(t->fd, EVENT("2"));
	assert_true(target_is_disconnected(other));
	target_announce(other, true, 0); /* leaving */
	later = send_get();
	other = target_next();
	assert_ptr_equal(other, t);
	raw_send(other->fd, STREAM EVENT("1") "0\r\n\r\n");
	expect_stream(later, EVENT("1") "0\r\n\r\n");
	close(fd);
}

static void
send_all(int fd, const char *data, size_t len)
{
	ssize_t n;
	int i;

	for (i = 0; len > 0 && i < 200; i++) {
		n = send(fd, data, len, MSG_NOSIGNAL | MSG_DONTWAIT);
		if (n > 0) {
			data += n;
			len -= (size_t)n;
		} else
			run_ms(1);
	}
}

/* Guards against taking a target for silent while nothing is read from it, as its
 * caller is slow. */
static void
test_slow_caller_is_no_silence(void **state)
{
	enum {
		EVENT_BYTES = 64 << 10,
		EVENTS = 256
	};
	struct target *t;
	GString *event;
	int fd, i;

	open_streams(2);
	fd = send_get();
	t = target_next();
	raw_send(t->fd, STREAM);
	for (i = 1; i <= EVENTS; i++) {
		event = g_string_new(NULL);
		g_string_printf(event, "id: %d\ndata: ", i);
		while (event->len < EVENT_BYTES - 2)
			g_string_append_c(event, 'x');
		g_string_append(event, "\n\n\r\n");
		g_string_prepend(event, "10000\r\n");
		send_all(t->fd, event->str, event->len);
		g_string_free(event, TRUE);
	}
	run_ms(STALL_MS + SLACK_MS);
	assert_false(target_is_called());
	close(fd);
}

/* ------------------------------------------------------------------ */
/* Dead targets                                                        */
/* ------------------------------------------------------------------ */

/* Guards against waiting longer for a dead target than the stall timeout, before
 * the first event. */
static void
test_dead_target_before_the_answer(void **state)
{
	struct target *first, *second;
	int64_t sent_us;
	int fd;

	open_streams(2);
	fd = send_get();
	first = target_next();
	sent_us = now_us();
	second = target_next();
	assert_in_range(
	    now_us() - sent_us, 0, (STALL_MS + SLACK_MS) * INT64_C(1000));
	raw_send(second->fd, STREAM EVENT("1") "0\r\n\r\n");
	expect_stream(fd, EVENT("1") "0\r\n\r\n");
	assert_true(target_is_disconnected(first));
}

/* The same between two events. */
static void
test_dead_target_midway(void **state)
{
	struct target *first, *second;
	int64_t sent_us;
	int fd;

	open_streams(2);
	fd = send_get();
	first = target_next();
	raw_send(first->fd, STREAM EVENT("1"));
	sent_us = now_us();
	second = target_next();
	assert_in_range(
	    now_us() - sent_us, 0, (STALL_MS + SLACK_MS) * INT64_C(1000));
	raw_send(second->fd, STREAM EVENT("2") "0\r\n\r\n");
	expect_stream(fd, EVENT("1") EVENT("2") "0\r\n\r\n");
	assert_true(target_is_disconnected(first));
}

/* Guards against sending new requests to a dead target while another one takes
 * them. */
static void
test_dead_target_is_avoided(void **state)
{
	struct target *second;
	int fd, i;

	open_plain(2);
	fd = send_get();
	target_next();
	second = target_next();
	raw_send(second->fd, ANSWER);
	expect_answer(fd, "\r\n\r\nok");
	for (i = 0; i < 4; i++) {
		fd = send_get();
		/* On a kept connection, so it is not accepted anew. */
		run_ms(5);
		raw_send(second->fd, ANSWER);
		expect_answer(fd, "\r\n\r\nok");
	}
}

/* The target dies while it is the only one: its caller is answered at the
 * timeout, as for a request that must not be repeated. */
static void
test_dead_target_alone(void **state)
{
	int64_t sent_us;
	int fd;

	open_plain(1);
	sent_us = now_us();
	fd = send_get();
	target_next();
	expect_answer(fd, "504 ");
	assert_in_range(now_us() - sent_us, TIMEOUT_MS * INT64_C(1000),
	    (TIMEOUT_MS + SLACK_MS) * INT64_C(1000));
}

/* A caller leaves while two targets have its request: both are told. */
static void
test_caller_leaves_both(void **state)
{
	struct target *first, *second;
	int fd;

	open_streams(2);
	fd = send_get();
	first = target_next();
	second = target_next();
	close(fd);
	assert_true(target_is_disconnected(first));
	assert_true(target_is_disconnected(second));
	assert_int_equal(fwd_active(w.fwd), 0);
}

int
main(void)
{
#define T(f) cmocka_unit_test_teardown(f, tear_down)
	const struct CMUnitTest tests[] = {
		T(test_only_target_goes_on),
		T(test_only_target_begins_late),
		T(test_only_target_goes_on_midway),
		T(test_first_of_two_silent_targets_goes_on),
		T(test_second_target_refuses),
		T(test_second_target_fails),
		T(test_first_target_fails_later),
		T(test_no_retry_budget),
		T(test_all_silent_targets_take_requests),
		T(test_target_that_went_on_takes_requests),
		T(test_slow_caller_is_no_silence),
		T(test_dead_target_before_the_answer),
		T(test_dead_target_midway),
		T(test_dead_target_is_avoided),
		T(test_dead_target_alone),
		T(test_caller_leaves_both),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
