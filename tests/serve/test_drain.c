/* Requests at a gateway that drains before it exits. */

#include "world.h"

static int
tear_down(void **state)
{
	world_close();
	return 0;
}

#define REFUSAL "Retry-After: 0.00\r\n"

/* Guards against a request that begins so late that its answer is cut when the
 * process exits. */
static void
test_request_that_comes_late(void **state)
{
	char *answer;
	int fd;

	world_open(1, make_config(SV_UNSAFE, 1, 3000));
	fd = raw_dial(w.address);
	raw_send(fd,
	    "POST /x/1 HTTP/1.1\r\nHost: a.example\r\nT-Id: q1\r\n"
	    "T-Key: Bearer secret\r\nContent-Length: 4\r\n\r\nbo");
	run_ms(20);
	hserver_stop_listening(w.server);
	fwd_drain(w.fwd);
	raw_send(fd, "dy");
	answer = raw_read(fd, NULL);
	assert_true(g_str_has_prefix(answer, "HTTP/1.1 503 "));
	assert_non_null(strstr(answer, REFUSAL));
	assert_non_null(strstr(answer, "T-Id: q1\r\n"));
	assert_non_null(strstr(answer, "Connection: close\r\n"));
	assert_false(target_is_called());
	g_free(answer);
	close(fd);
}

/* Guards against a request that waits for a slot, and gets one too late. */
static void
test_queued_request(void **state)
{
	struct sv_config *config = make_config(SV_UNSAFE, 1, 3000);
	struct target *t;
	int first[3], queued;
	unsigned int i;

	config->routes[0].objective_us = 20 * G_USEC_PER_SEC;
	world_open(1, config);
	for (i = 0; i < G_N_ELEMENTS(first); i++)
		first[i] = send_get();
	queued = send_get();
	assert_int_equal(fwd_waiting(w.fwd), 1);
	fwd_drain(w.fwd);
	expect_answer(queued, REFUSAL);
	assert_int_equal(fwd_active(w.fwd), 3);
	/* Those in flight are answered. */
	for (i = 0; i < G_N_ELEMENTS(first); i++) {
		t = target_next();
		raw_send(t->fd, ANSWER);
		expect_answer(first[i], "\r\n\r\nok");
	}
	assert_false(target_is_called());
}

/* Guards against a second attempt of a request that has not run: its caller is
 * served elsewhere, with more time. */
static void
test_request_that_its_target_refuses(void **state)
{
	struct target *t;
	int fd;

	world_open(2, make_config(SV_UNSAFE, 2, 3000));
	fd = send_get();
	t = target_next();
	fwd_drain(w.fwd);
	raw_send(t->fd,
	    "HTTP/1.1 503 Busy\r\nT-Id: q1\r\nT-Not-Run: 1\r\n"
	    "Content-Length: 0\r\n\r\n");
	expect_answer(fd, REFUSAL);
	assert_false(target_is_called());
}

/* The other direction: the alternative to a second attempt is a failure here. */
static void
test_request_whose_answer_is_lost(void **state)
{
	struct target *t;
	int fd;

	world_open(2, make_config(SV_SAFE, 2, 3000));
	fd = send_get();
	t = target_next();
	fwd_drain(w.fwd);
	raw_reset(t->fd);
	t->fd = -1;
	raw_send(target_next()->fd, ANSWER);
	expect_answer(fd, "\r\n\r\nok");
}

/* The same for a stream of which its caller has a part. */
static void
test_stream_that_breaks_off(void **state)
{
	struct target *t;
	int fd;

	world_open(2, make_config(SV_STREAM, 2, 3000));
	fd = send_get();
	t = target_next();
	raw_send(t->fd, STREAM EVENT("1"));
	run_ms(20);
	fwd_drain(w.fwd);
	raw_reset(t->fd);
	t->fd = -1;
	raw_send(target_next()->fd, STREAM EVENT("2") "0\r\n\r\n");
	expect_answer(fd, "id: 2\n");
}

int
main(void)
{
#define T(f) cmocka_unit_test_teardown(f, tear_down)
	const struct CMUnitTest tests[] = {
		T(test_request_that_comes_late),
		T(test_queued_request),
		T(test_request_that_its_target_refuses),
		T(test_request_whose_answer_is_lost),
		T(test_stream_that_breaks_off),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
