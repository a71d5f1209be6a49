/* HTTP client: reuse of connections, unexpected responses, failures. */

#include "loop.h"

#include "odd_heads.h"

static struct evl *loop;
static struct hpool *pool;
static char address[32];
static int listener;
static unsigned int heads, dones, failures, failures_sent;
static enum hcall_failure last_failure;
static bool finished, skip_first;

static void
on_head(struct hcall *c, const struct hmsg *m, void *ctx)
{
	heads++;
	if (skip_first && heads == 1)
		hcall_skip(c);
}

static void
on_body(struct hcall *c, const void *data, size_t len, void *ctx)
{
}

static void
on_done(struct hcall *c, void *ctx)
{
	dones++;
	finished = true;
}

static void
on_failed(struct hcall *c, enum hcall_failure why, bool sent, void *ctx)
{
	failures++;
	failures_sent += sent;
	last_failure = why;
	finished = true;
}

static const struct hcall_ops ops = {
	.head = on_head,
	.body = on_body,
	.done = on_done,
	.failed = on_failed,
};

static int
set_up(void **state)
{
	listener = raw_listen(address);
	loop = evl_new(clk_system());
	pool = hpool_new(&(struct hpool_conf){ .loop = loop,
	    .idle_max = 2,
	    .connect_us = 300000,
	    .idle_us = 400000,
	    .head_bytes = 4096 });
	heads = dones = failures = failures_sent = 0;
	finished = skip_first = false;
	return 0;
}

static int
tear_down(void **state)
{
	hpool_free(pool);
	evl_free(loop);
	if (listener >= 0)
		close(listener);
	return 0;
}

static struct hcall *
start(void)
{
	static const char head[] = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";

	finished = false;
	return hcall_start(pool,
	    &(struct hcall_conf){ .address = address,
		.head = head,
		.head_len = strlen(head),
		.ops = &ops });
}

#define OK "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"

static void
test_connection_is_reused(void **state)
{
	int fd;

	start();
	fd = raw_accept(listener);
	raw_send(fd, OK "\r\nok");
	run_until(&finished);
	start();
	g_free(raw_read(fd, "\r\n\r\n"));
	raw_send(fd, OK "\r\nok");
	run_until(&finished);
	assert_int_equal(dones, 2);
	assert_int_equal(hpool_opened(pool), 1);
	close(fd);
}

/* A connection is not reused when its keep-alive time is over or the target
 * announced its close: a request could cross the close. */
static void
test_keep_alive_limits_reuse(void **state)
{
	int fd;

	start();
	fd = raw_accept(listener);
	raw_send(fd, OK "Keep-Alive: timeout=0\r\n\r\nok");
	run_until(&finished);
	close(fd);
	start();
	fd = raw_accept(listener);
	raw_send(fd, OK "Connection: close\r\n\r\nok");
	run_until(&finished);
	assert_int_equal(hpool_opened(pool), 2);
	close(fd);
}

/* Guards against an overflow in the keep-alive time that a target announces. */
static void
test_longest_keep_alive(void **state)
{
	int fd;

	start();
	fd = raw_accept(listener);
	raw_send(fd, OK "Keep-Alive: timeout=9223372036854775807\r\n\r\nok");
	run_until(&finished);
	start();
	g_free(raw_read(fd, "\r\n\r\n"));
	raw_send(fd, OK "Keep-Alive: timeout=-9223372036854775808\r\n\r\nok");
	run_until(&finished);
	assert_int_equal(dones, 2);
	assert_int_equal(hpool_opened(pool), 1);
	close(fd);
}

/* Bytes after a response or on an idle connection belong to no request: the
 * connection is closed. */
static void
test_stray_bytes(void **state)
{
	int fd;

	start();
	fd = raw_accept(listener);
	raw_send(fd, OK "\r\nok" OK "\r\nno");
	run_until(&finished);
	start();
	close(fd);
	fd = raw_accept(listener);
	raw_send(fd, OK "\r\nok");
	run_until(&finished);
	raw_send(fd, OK "\r\nno");
	run_ms(20);
	start();
	close(fd);
	fd = raw_accept(listener);
	raw_send(fd, OK "\r\nok");
	run_until(&finished);
	assert_int_equal(dones, 3);
	assert_int_equal(hpool_opened(pool), 3);
	close(fd);
}

static void
test_skipped_response(void **state)
{
	int fd;

	skip_first = true;
	start();
	fd = raw_accept(listener);
	raw_send(fd, OK "\r\nno");
	run_ms(5);
	assert_false(finished);
	raw_send(fd, OK "\r\nok");
	run_until(&finished);
	assert_int_equal(heads, 2);
	assert_int_equal(dones, 1);
	close(fd);
}

/* Starts a call, and answers it with these bytes once its request was read. */
static int
start_answered(const char *bytes)
{
	int fd;

	start();
	fd = raw_accept(listener);
	g_free(raw_read(fd, "\r\n\r\n"));
	raw_send(fd, bytes);
	run_ms(5);
	return fd;
}

static void
test_failure_reasons(void **state)
{
	int fd;

	close(start_answered(""));
	run_until(&finished);
	assert_int_equal(last_failure, HCALL_CLOSED);
	assert_int_equal(failures_sent, 1);
	close(start_answered(OK "\r\no"));
	run_until(&finished);
	assert_int_equal(last_failure, HCALL_TRUNCATED);
	raw_reset(start_answered(OK "\r\no"));
	run_until(&finished);
	assert_int_equal(last_failure, HCALL_RESET);
	fd = start_answered("HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n");
	run_until(&finished);
	assert_int_equal(last_failure, HCALL_MALFORMED);
	close(fd);
	close(listener);
	listener = -1;
	start();
	run_until(&finished);
	assert_int_equal(last_failure, HCALL_UNREACHABLE);
	assert_int_equal(failures_sent, 4); /* nothing was sent this time */
}

/* Guards against a head of a faulty target that counts as that of an answer, or
 * whose call waits for another one on a connection that stays open. */
static void
test_odd_heads(void **state)
{
	size_t i;
	int fd;

	for (i = 0; i < ODD_HEADS; i++) {
		fd = start_answered(odd_heads[i]);
		if (!finished || dones > 0 || heads > 0 ||
		    last_failure != HCALL_MALFORMED)
			fail_msg("%s: finished %d, answers %u, heads %u",
			    odd_heads[i], finished, dones, heads);
		close(fd);
	}
}

/* The other direction: heads that look odd and are valid. */
static void
test_unusual_heads(void **state)
{
	static const char *const valid[] = {
		"HTTP/1.1 599 Odd\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 \r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.0 200 OK\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 204 No\tContent \303\244\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 304 Not Modified\r\nContent-Length: 12\r\n\r\n",
		"HTTP/1.1 304 Not Modified\r\nTransfer-Encoding: chunked\r\n"
		"\r\n",
		"HTTP/1.1 100 Continue\r\n\r\n" OK "\r\nok",
		"HTTP/1.1 199 Odd\r\nX: y\r\n\r\n" OK "\r\nok",
		OK "X-!#$%&'*+-.^_`|~9: \"\303\244\"\r\n\r\nok",
	};
	unsigned int i;
	int fd;

	for (i = 0; i < G_N_ELEMENTS(valid); i++) {
		fd = start_answered(valid[i]);
		run_until(&finished);
		if (dones != i + 1)
			fail_msg("%s", valid[i]);
		close(fd);
		run_ms(5); /* it is not reused */
	}
}

/* Guards against reusing a connection whose end delimited a response, and
 * against a reset that passes for that end. */
static void
test_response_until_close(void **state)
{
	close(start_answered(
	    "HTTP/1.1 200 OK\r\nConnection: keep-alive\r\n\r\nall"));
	run_until(&finished);
	assert_int_equal(dones, 1);
	raw_reset(start_answered("HTTP/1.1 200 OK\r\n\r\nhal"));
	run_until(&finished);
	assert_int_equal(dones, 1);
	assert_int_equal(last_failure, HCALL_RESET);
}

/* Cancelling a call closes the connection to the target. */
static void
test_cancel(void **state)
{
	struct hcall *c = start();
	char byte;
	int fd = raw_accept(listener), i;

	g_free(raw_read(fd, "\r\n\r\n"));
	hcall_cancel(c);
	for (i = 0; i < 200 && recv(fd, &byte, 1, MSG_DONTWAIT) != 0; i++)
		run_ms(1);
	assert_true(i < 200);
	assert_false(finished);
	close(fd);
}

int
main(void)
{
#define T(f) cmocka_unit_test_setup_teardown(f, set_up, tear_down)
	const struct CMUnitTest tests[] = {
		T(test_connection_is_reused),
		T(test_keep_alive_limits_reuse),
		T(test_longest_keep_alive),
		T(test_stray_bytes),
		T(test_skipped_response),
		T(test_failure_reasons),
		T(test_odd_heads),
		T(test_unusual_heads),
		T(test_response_until_close),
		T(test_cancel),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
