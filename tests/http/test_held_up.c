/* A process that was held up: what arrived in the meantime is read before any
 * timer acts, and no connection is closed with a request in it. */

#include <sys/epoll.h>

#include "loop.h"

#define CONNECTIONS 200 /* more than the loop reads in one pass */
#define IDLE_MS 300
#define BODY_BYTES 60000 /* several reads */
/* Reads of one descriptor before timers fire, and descriptors in a pass. */
#define ROUNDS 16
#define BATCH 64

static struct evl *loop;
static struct hserver *server;
static struct hlimits limits;
static char address[32];
static struct hreq *open_request; /* the last one, if not answered */
static bool answers;
static unsigned int dropped;

static void
on_request(struct hreq *r, void *ctx)
{
	open_request = r;
	if (answers)
		hreq_answer(r, 200, "", "ok", 2);
}

static void
ignore(struct hreq *r, void *ctx)
{
}

static void
on_refused(unsigned int status, void *ctx)
{
}

static void
on_dropped(const char *why, size_t unread, size_t unsent, void *ctx)
{
	dropped++;
}

static const struct hserver_ops ops = {
	.request = on_request,
	.disconnected = ignore,
	.drained = ignore,
	.refused = on_refused,
	.dropped = on_dropped,
};

static int
set_up(void **state)
{
	struct err err = { 0 };

	g_snprintf(address, sizeof(address), "127.0.0.1:%u", free_port());
	limits = (struct hlimits){ .head_bytes = 512,
		.body_bytes = 1000,
		.head_us = 2000000,
		.idle_us = IDLE_MS * 1000 };
	loop = evl_new(clk_system());
	server = hserver_new(&(struct hserver_conf){ .loop = loop,
				 .address = address,
				 .limits = &limits,
				 .connections_max = CONNECTIONS + 1,
				 .bodies_max = 500000,
				 .ops = &ops },
	    &err);
	assert_non_null(server);
	open_request = NULL;
	answers = true;
	dropped = 0;
	return 0;
}

static int
tear_down(void **state)
{
	hserver_free(server);
	evl_free(loop);
	return 0;
}

static void
hold_up_ms(int ms)
{
	g_usleep((gulong)ms * 1000);
}

#define REQUEST "GET / HTTP/1.1\r\nHost: a\r\n\r\n"

static void
expect_ok(int fd)
{
	char *answer = raw_read(fd, "ok");

	if (strstr(answer, "200 OK") == NULL)
		fail_msg("got '%s'", answer);
	g_free(answer);
}

/* Guards against closing idle connections, at the end of their time, whose next
 * request arrived before it and waits to be read. */
static void
test_requests_that_arrived_in_time(void **state)
{
	int fd[CONNECTIONS], i;

	for (i = 0; i < CONNECTIONS; i++) {
		fd[i] = raw_dial(address);
		limits.idle_us = INT64_C(20000000);
		raw_send(fd[i], REQUEST);
	}
	for (i = 0; i < CONNECTIONS; i++)
		expect_ok(fd[i]);
	limits.idle_us = IDLE_MS * 1000;
	for (i = 0; i < CONNECTIONS; i++)
		raw_send(fd[i], REQUEST);
	for (i = 0; i < CONNECTIONS; i++)
		expect_ok(fd[i]);
	for (i = 0; i < CONNECTIONS; i++)
		raw_send(fd[i], REQUEST);
	hold_up_ms(IDLE_MS + 50);
	for (i = 0; i < CONNECTIONS; i++) {
		expect_ok(fd[i]);
		close(fd[i]);
	}
	assert_int_equal(dropped, 0);
}

/* Guards against refusing a request by the time for reading it, although all of
 * it arrived in time: a pass reads only a part of a long one. */
static void
test_long_request_that_arrived_in_time(void **state)
{
	char *body = g_strnfill(BODY_BYTES, 'b'), *head;
	int fd = raw_dial(address);

	limits.body_bytes = 100000;
	limits.head_us = IDLE_MS * 1000;
	head = g_strdup_printf("POST / HTTP/1.1\r\nHost: a\r\n"
			       "Content-Length: %d\r\n\r\n",
	    BODY_BYTES);
	raw_send(fd, head);
	run_ms(20);
	raw_send(fd, body);
	hold_up_ms(IDLE_MS + 50);
	expect_ok(fd);
	g_free(head);
	g_free(body);
	close(fd);
}

struct reader {
	struct evl_fd fd;
	int peer;
};

static unsigned int nread, nread_at_timer;

static void
on_byte(struct evl_fd *fd, uint32_t events)
{
	char byte;

	nread += recv(fd->fd, &byte, 1, MSG_DONTWAIT) == 1;
}

static void
on_timer(struct evl_timer *t)
{
	nread_at_timer = nread;
}

/* Guards against timers that judge peers as silent whose bytes wait to be read,
 * behind those of many others. */
static void
test_timers_after_all_input(void **state)
{
	static struct reader reader[CONNECTIONS];
	struct evl_timer timer = { .fire = on_timer };
	int pair[2], i;

	nread = nread_at_timer = 0;
	for (i = 0; i < CONNECTIONS; i++) {
		assert_int_equal(socketpair(AF_UNIX, SOCK_STREAM, 0, pair), 0);
		reader[i] =
		    (struct reader){ .fd = { .fd = pair[0], .ready = on_byte },
			    .peer = pair[1] };
		evl_watch(loop, &reader[i].fd, EPOLLIN);
		assert_int_equal(send(pair[1], "x", 1, 0), 1);
	}
	evl_timer_set(loop, &timer, 0);
	run_ms(20);
	assert_int_equal(nread_at_timer, CONNECTIONS);
	for (i = 0; i < CONNECTIONS; i++) {
		evl_unwatch(loop, &reader[i].fd);
		close(reader[i].fd.fd);
		close(reader[i].peer);
	}
}

/* A peer that never stops sending must not keep timers from firing. */
static void
on_endless(struct evl_fd *fd, uint32_t events)
{
	nread++;
}

static void
test_endless_input_does_not_delay_timers(void **state)
{
	struct evl_timer timer = { .fire = on_timer };
	struct reader r[CONNECTIONS];
	int pair[2], i;

	nread = nread_at_timer = 0;
	for (i = 0; i < CONNECTIONS; i++) {
		assert_int_equal(socketpair(AF_UNIX, SOCK_STREAM, 0, pair), 0);
		r[i] = (struct reader){ .fd = { .fd = pair[0],
					    .ready = on_endless },
			.peer = pair[1] };
		evl_watch(loop, &r[i].fd, EPOLLIN);
		assert_int_equal(send(pair[1], "x", 1, 0), 1);
	}
	evl_timer_set(loop, &timer, 0);
	run_ms(20);
	assert_in_range(nread_at_timer, 1, ROUNDS * (CONNECTIONS + BATCH));
	for (i = 0; i < CONNECTIONS; i++) {
		evl_unwatch(loop, &r[i].fd);
		close(r[i].fd.fd);
		close(r[i].peer);
	}
}

/* Guards against closing a connection, as the server stops to listen, whose next
 * request has arrived. */
static void
test_request_arrives_before_the_stop(void **state)
{
	int fd = raw_dial(address);
	char *answer;

	raw_send(fd, REQUEST);
	expect_ok(fd);
	raw_send(fd, REQUEST);
	hserver_stop_listening(server);
	answer = raw_read(fd, NULL);
	assert_non_null(strstr(answer, "200 OK"));
	assert_non_null(strstr(answer, "Connection: close"));
	g_free(answer);
	close(fd);
}

/* Guards against dropping a request that was sent behind one whose answer, begun
 * before the stop, did not say that the connection would close. */
static void
test_request_behind_an_answer_at_the_stop(void **state)
{
	int fd = raw_dial(address);
	char *answer;

	answers = false;
	raw_send(fd, REQUEST);
	run_ms(20);
	hreq_begin(open_request, 200, "");
	hreq_write(open_request, "abc", 3);
	run_ms(20);
	raw_send(fd, REQUEST);
	answers = true;
	hserver_stop_listening(server);
	hreq_end(open_request);
	answer = raw_read(fd, NULL);
	assert_non_null(strstr(answer, "abc\r\n0\r\n\r\n"));
	assert_non_null(strstr(answer, "Connection: close"));
	assert_non_null(strstr(answer, "\r\n\r\nok"));
	g_free(answer);
	close(fd);
}

/* Guards against counting the time that a caller takes to read an answer as time
 * in which its connection is idle: the rest of the answer would be lost. */
static void
test_idle_time_begins_after_the_answer(void **state)
{
	enum {
		BYTES = 16 << 20
	};
	int fd = raw_dial(address);
	char *body = g_malloc0(BYTES), buffer[65536];
	size_t got = 0;
	ssize_t n;
	int i;

	answers = false;
	raw_send(fd, REQUEST);
	run_ms(20);
	hreq_answer(open_request, 200, "", body, BYTES);
	run_ms(IDLE_MS + 200);
	for (i = 0; i < 4000 && got < BYTES; i++) {
		n = recv(fd, buffer, sizeof(buffer), MSG_DONTWAIT);
		if (n == 0 || (n < 0 && errno != EAGAIN))
			break;
		if (n > 0)
			got += (size_t)n;
		else
			run_ms(1);
	}
	assert_in_range(got, BYTES, BYTES + 1000);
	g_free(body);
	close(fd);
}

/* Guards against closing a connection by a limit that is no longer in force: its
 * caller goes by the new one. */
static void
test_raised_idle_limit(void **state)
{
	int fd = raw_dial(address);

	raw_send(fd, REQUEST);
	expect_ok(fd);
	limits.idle_us = INT64_C(10000000);
	run_ms(IDLE_MS + 100);
	raw_send(fd, REQUEST);
	expect_ok(fd);
	close(fd);
}

/* The same for the size of a head. */
static void
test_raised_head_limit(void **state)
{
	char *padding = g_strnfill(800, 'x');
	char *text = g_strdup_printf(
	    "GET / HTTP/1.1\r\nHost: a\r\nX: %s\r\n\r\n", padding);
	int fd = raw_dial(address);

	raw_send(fd, REQUEST);
	expect_ok(fd);
	limits.head_bytes = 1024;
	raw_send(fd, text);
	expect_ok(fd);
	close(fd);
	g_free(text);
	g_free(padding);
}

/* Guards against judging a body that is being read by a limit that came after its
 * head. */
static void
test_lowered_body_limit(void **state)
{
	int fd = raw_dial(address);

	raw_send(fd,
	    "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
	    "5\r\nabcde\r\n");
	run_ms(20);
	limits.body_bytes = 8;
	raw_send(fd, "5\r\nabcde\r\n0\r\n\r\n");
	expect_ok(fd);
	close(fd);
}

int
main(void)
{
#define T(f) cmocka_unit_test_setup_teardown(f, set_up, tear_down)
	const struct CMUnitTest tests[] = {
		T(test_requests_that_arrived_in_time),
		T(test_long_request_that_arrived_in_time),
		T(test_timers_after_all_input),
		T(test_endless_input_does_not_delay_timers),
		T(test_request_arrives_before_the_stop),
		T(test_request_behind_an_answer_at_the_stop),
		T(test_idle_time_begins_after_the_answer),
		T(test_raised_idle_limit),
		T(test_raised_head_limit),
		T(test_lowered_body_limit),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
