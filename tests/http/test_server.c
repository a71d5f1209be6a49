/* HTTP server: limits, slow and disconnecting callers, responses, stopping. */

#include "loop.h"

#define CONNECTIONS_MAX 4

static struct evl *loop;
static struct hserver *server;
static struct hlimits limits;
static char address[32];
static struct hreq *request; /* the last request delivered */
static bool delivered, disconnected;
static unsigned int refused;

static void
on_request(struct hreq *r, void *ctx)
{
	request = r;
	delivered = true;
}

static void
on_disconnected(struct hreq *r, void *ctx)
{
	request = NULL;
	disconnected = true;
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
	.disconnected = on_disconnected,
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
				 .connections_max = CONNECTIONS_MAX,
				 .bodies_max = 5000,
				 .ops = &ops },
	    &err);
	assert_non_null(server);
	request = NULL;
	delivered = disconnected = false;
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

/* Two pipelined requests are delivered and answered one at a time, in order. */
static void
test_pipelined_requests(void **state)
{
	int fd = raw_dial(address);
	char *answer;

	raw_send(fd,
	    "GET /1 HTTP/1.1\r\nHost: a\r\n\r\n"
	    "GET /2 HTTP/1.1\r\nHost: a\r\n\r\n");
	run_until(&delivered);
	assert_int_equal(hreq_msg(request)->target.p[1], '1');
	delivered = false;
	hreq_answer(request, 200, "X: 1\r\n", "one", 3);
	run_until(&delivered);
	assert_int_equal(hreq_msg(request)->target.p[1], '2');
	hreq_answer(request, 503, "", "", 0);
	answer = raw_read(fd, "503");
	assert_non_null(strstr(answer, "one"));
	assert_non_null(strstr(answer, "Content-Length: 3"));
	g_free(answer);
	close(fd);
}

/* A request with neither a length nor chunks has no body, whatever follows: its
 * end is never that of its connection. */
static void
test_request_without_framing(void **state)
{
	int fd = raw_dial(address);
	size_t len;

	raw_send(fd,
	    "POST /1 HTTP/1.1\r\nHost: a\r\n\r\n"
	    "GET /2 HTTP/1.1\r\nHost: a\r\n\r\n");
	run_until(&delivered);
	assert_null(hreq_body(request, &len));
	assert_int_equal(len, 0);
	delivered = false;
	hreq_answer(request, 200, "", "", 0);
	run_until(&delivered);
	assert_int_equal(hreq_msg(request)->target.p[1], '2');
	hreq_answer(request, 200, "", "", 0);
	run_ms(5);
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
	assert_false(delivered);
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

/* An incomplete head occupies a connection for `head_us` only. */
static void
test_slow_head(void **state)
{
	expect_refusal("GET / HTTP/1.1\r\nHo", 408);
}

/*
 * A caller disconnects while its request runs. The owner must be notified at
 * once, or a target keeps working on a request that nobody waits for.
 */
static void
test_caller_disconnects(void **state)
{
	int fd = raw_dial(address);

	raw_send(fd, "GET / HTTP/1.1\r\nHost: a\r\n\r\n");
	run_until(&delivered);
	close(fd);
	run_until(&disconnected);
	assert_int_equal(hserver_connections(server), 0);
}

#define GET "GET / HTTP/1.1\r\nHost: a\r\n\r\n"

/* A caller that is not accepted in time gives up. If its request were delivered
 * when request and close are read together, a target would work for nobody. */
static void
test_caller_leaves_before_its_request_is_read(void **state)
{
	int fd = raw_dial(address);

	raw_send(fd, GET);
	close(fd);
	run_ms(20);
	assert_false(delivered);
	assert_int_equal(hserver_connections(server), 0);
}

/* The same for the second request on a kept connection, and for a body that
 * ends with the close. */
static void
test_caller_leaves_with_a_later_request(void **state)
{
	int fd = raw_dial(address);
	char *answer;

	raw_send(fd, GET);
	run_until(&delivered);
	hreq_answer(request, 200, "", "one", 3);
	answer = raw_read(fd, "one");
	g_free(answer);
	delivered = false;
	raw_send(fd, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\n");
	run_ms(2);
	raw_send(fd, "abc");
	close(fd);
	run_ms(20);
	assert_false(delivered);
	assert_int_equal(hserver_connections(server), 0);
}

/* A caller that closes its sending side counts as disconnected, whether its
 * request was read before or is read with the close. */
static void
test_caller_half_closes(void **state)
{
	int early = raw_dial(address);
	int late = raw_dial(address);

	raw_send(early, GET);
	shutdown(early, SHUT_WR);
	run_ms(20);
	assert_false(delivered);
	raw_send(late, GET);
	run_until(&delivered);
	shutdown(late, SHUT_WR);
	run_until(&disconnected);
	assert_int_equal(hserver_connections(server), 0);
	close(early);
	close(late);
}

/* ------------------------------------------------------------------ */
/* All connections in use                                              */
/* ------------------------------------------------------------------ */

static void
dial_all(int fd[CONNECTIONS_MAX])
{
	int i;

	limits.idle_us = 30000000;
	for (i = 0; i < CONNECTIONS_MAX; i++)
		fd[i] = raw_dial(address);
	assert_true(hserver_is_full(server));
}

static bool
is_open(int fd)
{
	char byte;

	return recv(fd, &byte, 1, MSG_DONTWAIT) < 0 && errno == EAGAIN;
}

static void
close_all(const int fd[CONNECTIONS_MAX])
{
	int i;

	for (i = 0; i < CONNECTIONS_MAX; i++)
		close(fd[i]);
}

/* Callers keep connections that they do not use. If these took up all that the
 * server accepts, the next caller would wait for an idle time-out. */
static void
test_idle_connections_make_room(void **state)
{
	int fd[CONNECTIONS_MAX], next;

	dial_all(fd);
	next = raw_dial(address);
	raw_send(next, GET);
	run_until(&delivered);
	assert_false(is_open(fd[0])); /* idle for the longest time */
	assert_true(is_open(fd[1]));
	assert_int_equal(hserver_connections(server), CONNECTIONS_MAX);
	close(next);
	close_all(fd);
}

/* A connection with a request that was received and not read yet is not closed
 * for another caller: its request would be lost. */
static void
test_connection_with_unread_request_is_kept(void **state)
{
	int fd[CONNECTIONS_MAX], next = -1;
	struct sockaddr_in at;

	dial_all(fd);
	assert_true(sock_parse(address, &at));
	next = sock_dial(&at);
	raw_send(fd[0], GET); /* both are seen in the same wake-up */
	run_until(&delivered);
	run_ms(5);
	assert_true(is_open(fd[0]));
	assert_false(is_open(fd[1]));
	close(next);
	close_all(fd);
}

/* Connections with requests under way are not closed for new callers, who wait
 * until one of them is answered. */
static void
test_busy_connections_are_kept(void **state)
{
	struct hreq *busy[CONNECTIONS_MAX];
	int fd[CONNECTIONS_MAX], next, i;

	dial_all(fd);
	for (i = 0; i < CONNECTIONS_MAX; i++) {
		delivered = false;
		raw_send(fd[i], GET);
		run_until(&delivered);
		busy[i] = request;
	}
	delivered = false;
	next = raw_dial(address);
	raw_send(next, GET);
	run_ms(20);
	assert_false(delivered);
	hreq_answer(busy[2], 200, "", "", 0);
	run_until(&delivered);
	for (i = 0; i < CONNECTIONS_MAX; i++) {
		if (i != 2)
			assert_true(is_open(fd[i]));
	}
	close(next);
	close_all(fd);
}

/* An aborted response must not look complete: the last chunk is missing. */
static void
test_aborted_stream(void **state)
{
	int fd = raw_dial(address);
	char *answer;

	raw_send(fd, "GET / HTTP/1.1\r\nHost: a\r\n\r\n");
	run_until(&delivered);
	hreq_begin(request, 200, "");
	hreq_write(request, "abc", 3);
	run_ms(2);
	hreq_abort(request);
	answer = raw_read(fd, NULL);
	assert_non_null(strstr(answer, "3\r\nabc\r\n"));
	assert_null(strstr(answer, "0\r\n\r\n"));
	g_free(answer);
	close(fd);
}

/* A caller that does not read its response is reported as congested, which
 * bounds the memory for its output. */
static void
test_slow_reader_is_congested(void **state)
{
	int fd = raw_dial(address);
	char block[16384];
	int i;

	memset(block, 'x', sizeof(block));
	raw_send(fd, "GET / HTTP/1.1\r\nHost: a\r\n\r\n");
	run_until(&delivered);
	hreq_begin(request, 200, "");
	for (i = 0; i < 2000 && !hreq_congested(request); i++) {
		hreq_write(request, block, sizeof(block));
		run_ms(0);
	}
	assert_true(hreq_congested(request));
	close(fd);
	run_until(&disconnected);
}

/*
 * A planned stop: idle connections close and no new ones are accepted. The
 * request in progress is answered, then its connection closes.
 */
static void
test_stop(void **state)
{
	int idle = raw_dial(address);
	int busy = raw_dial(address);
	char *answer;

	raw_send(busy, "GET / HTTP/1.1\r\nHost: a\r\n\r\n");
	run_until(&delivered);
	hserver_stop_listening(server);
	answer = raw_read(idle, NULL);
	assert_string_equal(answer, "");
	g_free(answer);
	hreq_answer(request, 200, "", "ok", 2);
	answer = raw_read(busy, NULL);
	assert_non_null(strstr(answer, "Connection: close"));
	assert_non_null(strstr(answer, "ok"));
	g_free(answer);
	close(idle);
	close(busy);
}

/* Sends the first part of a stream. The idle time-out is long, so that only
 * the stop closes the connection. */
static int
begin_stream(void)
{
	int fd;

	limits.idle_us = 30000000;
	fd = raw_dial(address);
	raw_send(fd, "GET / HTTP/1.1\r\nHost: a\r\n\r\n");
	run_until(&delivered);
	hreq_begin(request, 200, "");
	hreq_write(request, "abc", 3);
	run_ms(5);
	return fd;
}

/*
 * A stream begins, the server stops listening, then the stream ends. Its head
 * did not announce that the connection closes. If the connection stayed open,
 * the caller's next request would be lost when the process exits.
 */
static void
test_stream_ends_after_stop(void **state)
{
	int fd = begin_stream();
	char *answer;

	hserver_stop_listening(server);
	hreq_end(request);
	answer = raw_read(fd, "0\r\n\r\n");
	assert_true(g_str_has_suffix(answer, "0\r\n\r\n"));
	g_free(answer);
	delivered = false;
	(void)send(fd, "GET / HTTP/1.1\r\nHost: a\r\n\r\n", 27, MSG_NOSIGNAL);
	run_ms(20);
	assert_false(delivered);
	close(fd);
}

/*
 * A stream that began before the stop ends in the same wake-up in which the
 * server stops listening, as happens when reading new settings delayed the
 * loop. Its last bytes are queued but not written, and its connection looks
 * idle. If it were closed at once, the response would be truncated.
 */
static void
test_stream_ends_as_listening_stops(void **state)
{
	int fd = begin_stream();
	char *answer;

	hreq_write(request, "def", 3);
	hreq_end(request);
	hserver_stop_listening(server);
	answer = raw_read(fd, NULL); /* until the connection closes */
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
	run_until(&delivered);
	hreq_begin(request, 200, "");
	hreq_write(request, "abc", 3);
	hreq_end(request);
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
		T(test_pipelined_requests),
		T(test_request_without_framing),
		T(test_refusals),
		T(test_slow_head),
		T(test_caller_disconnects),
		T(test_caller_leaves_before_its_request_is_read),
		T(test_caller_leaves_with_a_later_request),
		T(test_caller_half_closes),
		T(test_idle_connections_make_room),
		T(test_connection_with_unread_request_is_kept),
		T(test_busy_connections_are_kept),
		T(test_aborted_stream),
		T(test_slow_reader_is_congested),
		T(test_stop),
		T(test_stream_ends_after_stop),
		T(test_stream_ends_as_listening_stops),
		T(test_http10),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
