/* The server side: limits, slow and leaving callers, answers, the stop. */

#include "loop.h"

static struct evl *loop;
static struct hserver *server;
static struct hlimits limits;
static char address[32];
static struct hreq *held; /* the last request handed over */
static bool got, left;
static unsigned int refused;

static void
on_request(struct hreq *r, void *ctx)
{
	held = r;
	got = true;
}

static void
on_left(struct hreq *r, void *ctx)
{
	held = NULL;
	left = true;
}

static void
on_drained(struct hreq *r, void *ctx)
{
}

static void
on_refused(unsigned int status, void *ctx)
{
	refused = status;
}

static const struct hserver_ops ops = {
	.request = on_request,
	.left = on_left,
	.drained = on_drained,
	.refused = on_refused,
};

static int
set_up(void **state)
{
	struct err err = { 0 };

	g_snprintf(address, sizeof(address), "127.0.0.1:%u", free_port());
	limits = (struct hlimits){ .head_bytes = 512,
		.body_bytes = 1000,
		.head_us = 60000,
		.idle_us = 120000 };
	loop = evl_new(clk_system());
	server = hserver_new(&(struct hserver_conf){ .loop = loop,
				 .address = address,
				 .limits = &limits,
				 .connections_max = 4,
				 .bodies_max = 5000,
				 .ops = &ops },
	    &err);
	assert_non_null(server);
	held = NULL;
	got = left = false;
	refused = 0;
	return 0;
}

static int
tear_down(void **state)
{
	hserver_free(server);
	evl_free(loop);
	return 0;
}

/* Two requests sent at once are answered one after the other, in order. */
static void
test_requests_in_a_row(void **state)
{
	int fd = raw_dial(address);
	char *answer;

	raw_send(fd,
	    "GET /1 HTTP/1.1\r\nHost: a\r\n\r\n"
	    "GET /2 HTTP/1.1\r\nHost: a\r\n\r\n");
	turn_until(&got);
	assert_int_equal(hreq_msg(held)->target.p[1], '1');
	got = false;
	hreq_answer(held, 200, "X: 1\r\n", "one", 3);
	turn_until(&got);
	assert_int_equal(hreq_msg(held)->target.p[1], '2');
	hreq_answer(held, 503, "", "", 0);
	answer = raw_read(fd, "503");
	assert_non_null(strstr(answer, "one"));
	assert_non_null(strstr(answer, "Content-Length: 3"));
	g_free(answer);
	close(fd);
}

static void
expect_refusal(const char *text, unsigned int status)
{
	int fd = raw_dial(address);
	char *answer, want[16];

	raw_send(fd, text);
	answer = raw_read(fd, NULL);
	g_snprintf(want, sizeof(want), "HTTP/1.1 %u", status);
	if (!g_str_has_prefix(answer, want))
		fail_msg("%s: answered %s", text, answer);
	assert_non_null(strstr(answer, "Connection: close"));
	assert_int_equal(refused, status);
	assert_false(got);
	g_free(answer);
	close(fd);
}

static void
test_refusals(void **state)
{
	GString *large = g_string_new("GET / HTTP/1.1\r\nHost: a\r\nX: ");

	while (large->len < 700)
		g_string_append_c(large, 'x');
	expect_refusal("GET / HTTP/1.1\r\n\r\n", 400);
	expect_refusal("GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", 400);
	expect_refusal("GET http://a/ HTTP/1.1\r\nHost: a\r\n\r\n", 400);
	expect_refusal("nonsense\r\n\r\n", 400);
	expect_refusal(large->str, 431);
	expect_refusal("POST / HTTP/1.1\r\nHost: a\r\n"
		       "Content-Length: 5000\r\n\r\n",
	    413);
	g_string_free(large, TRUE);
}

/* A head that trickles in holds a connection for its time only. */
static void
test_slow_head(void **state)
{
	expect_refusal("GET / HTTP/1.1\r\nHo", 408);
}

/*
 * A caller leaves while its request runs. Who works for it must hear so at
 * once, or a target goes on for nobody.
 */
static void
test_caller_leaves(void **state)
{
	int fd = raw_dial(address);

	raw_send(fd, "GET / HTTP/1.1\r\nHost: a\r\n\r\n");
	turn_until(&got);
	close(fd);
	turn_until(&left);
	assert_int_equal(hserver_connections(server), 0);
}

/* An answer that is broken off must not look whole: its last chunk lacks. */
static void
test_broken_stream(void **state)
{
	int fd = raw_dial(address);
	char *answer;

	raw_send(fd, "GET / HTTP/1.1\r\nHost: a\r\n\r\n");
	turn_until(&got);
	hreq_begin(held, 200, "");
	hreq_write(held, "abc", 3);
	turn_ms(2);
	hreq_abort(held);
	answer = raw_read(fd, NULL);
	assert_non_null(strstr(answer, "3\r\nabc\r\n"));
	assert_null(strstr(answer, "0\r\n\r\n"));
	g_free(answer);
	close(fd);
}

/* A caller that does not read holds its own answer, and little memory. */
static void
test_slow_reader_is_congested(void **state)
{
	int fd = raw_dial(address);
	char block[16384];
	int i;

	memset(block, 'x', sizeof(block));
	raw_send(fd, "GET / HTTP/1.1\r\nHost: a\r\n\r\n");
	turn_until(&got);
	hreq_begin(held, 200, "");
	for (i = 0; i < 2000 && !hreq_congested(held); i++) {
		hreq_write(held, block, sizeof(block));
		turn_ms(0);
	}
	assert_true(hreq_congested(held));
	close(fd);
	turn_until(&left);
}

/*
 * A planned stop: idle connections close, new ones are not taken, the request
 * under way is answered and its connection ends with it.
 */
static void
test_stop(void **state)
{
	int idle = raw_dial(address);
	int busy = raw_dial(address);
	char *answer;

	raw_send(busy, "GET / HTTP/1.1\r\nHost: a\r\n\r\n");
	turn_until(&got);
	hserver_stop_listening(server);
	answer = raw_read(idle, NULL);
	assert_string_equal(answer, "");
	g_free(answer);
	hreq_answer(held, 200, "", "ok", 2);
	answer = raw_read(busy, NULL);
	assert_non_null(strstr(answer, "Connection: close"));
	assert_non_null(strstr(answer, "ok"));
	g_free(answer);
	close(idle);
	close(busy);
}

/* A caller has had the first part of its stream. Only the stop ends it. */
static int
begin_stream(void)
{
	int fd;

	limits.idle_us = 30000000;
	fd = raw_dial(address);
	raw_send(fd, "GET / HTTP/1.1\r\nHost: a\r\n\r\n");
	turn_until(&got);
	hreq_begin(held, 200, "");
	hreq_write(held, "abc", 3);
	turn_ms(5);
	return fd;
}

/*
 * A stream begins, then the process is asked to stop, then the stream ends.
 * Its caller was not told that the connection would close; it must not stay
 * open, or the next request is lost with the process.
 */
static void
test_stream_over_the_stop(void **state)
{
	int fd = begin_stream();
	char *answer;

	hserver_stop_listening(server);
	hreq_end(held);
	answer = raw_read(fd, "0\r\n\r\n");
	assert_true(g_str_has_suffix(answer, "0\r\n\r\n"));
	g_free(answer);
	got = false;
	(void)send(fd, "GET / HTTP/1.1\r\nHost: a\r\n\r\n", 27, MSG_NOSIGNAL);
	turn_ms(20);
	assert_false(got);
	close(fd);
}

/*
 * A stream that began before the stop ends in the same wake-up in which the
 * process stops to listen, as happens when reading new settings held the loop
 * up. Its last bytes are queued and not written yet; its connection looks idle.
 * Closed at once, the caller would have an answer that breaks off.
 */
static void
test_stream_ends_as_listening_stops(void **state)
{
	int fd = begin_stream();
	char *answer;

	hreq_write(held, "def", 3);
	hreq_end(held);
	hserver_stop_listening(server);
	answer = raw_read(fd, NULL); /* to the connection's end */
	assert_true(g_str_has_suffix(answer, "def\r\n0\r\n\r\n"));
	g_free(answer);
	close(fd);
}

static void
test_http10(void **state)
{
	int fd = raw_dial(address);
	char *answer;

	raw_send(fd, "GET / HTTP/1.0\r\n\r\n");
	turn_until(&got);
	hreq_begin(held, 200, "");
	hreq_write(held, "abc", 3);
	hreq_end(held);
	answer = raw_read(fd, NULL);
	assert_null(strstr(answer, "chunked"));
	assert_true(g_str_has_suffix(answer, "\r\n\r\nabc"));
	g_free(answer);
	close(fd);
}

int
main(void)
{
#define T(f) cmocka_unit_test_setup_teardown(f, set_up, tear_down)
	const struct CMUnitTest tests[] = {
		T(test_requests_in_a_row),
		T(test_refusals),
		T(test_slow_head),
		T(test_caller_leaves),
		T(test_broken_stream),
		T(test_slow_reader_is_congested),
		T(test_stop),
		T(test_stream_over_the_stop),
		T(test_stream_ends_as_listening_stops),
		T(test_http10),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
