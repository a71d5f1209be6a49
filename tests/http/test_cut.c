/* Answers and requests that break off. */

#include "loop.h"

#include "cut.h"
#include "early.h"
#include "http/fetch.h"

#define ANSWER_MAX 65536

static struct evl *loop;
static struct hpool *pool;
static char address[32];
static int listener;
static struct hfetch_answer last;
static bool finished;

static int
set_up(void **state)
{
	listener = raw_listen(address);
	loop = evl_new(clk_system());
	pool = hpool_new(&(struct hpool_conf){ .loop = loop,
	    .idle_max = 2,
	    .connect_us = 300000,
	    .idle_us = 4000000,
	    .head_bytes = 16384 });
	return 0;
}

static int
tear_down(void **state)
{
	hpool_free(pool);
	evl_free(loop);
	close(listener);
	return 0;
}

static void
run_turns(void)
{
	while (g_main_context_iteration(NULL, FALSE))
		continue;
}

/* ------------------------------------------------------------------ */
/* Answers                                                             */
/* ------------------------------------------------------------------ */

static void
on_answer(const struct hfetch_answer *a, void *ctx)
{
	last = *a;
	finished = true;
}

static void
start(void)
{
	finished = false;
	hfetch_start(loop, pool,
	    &(struct hfetch_conf){ .address = address,
		.method = "GET",
		.path = "/",
		.timeout_us = (int64_t)3600 * G_USEC_PER_SEC,
		.answer_max = ANSWER_MAX,
		.done = on_answer });
}

/* The connection of the next call; one that has served a call before, too. */
static int
take_call(bool kept)
{
	int fd;

	start();
	run_turns();
	fd = raw_accept(listener);
	g_free(raw_read(fd, "\r\n\r\n"));
	if (!kept)
		return fd;
	raw_send(fd, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
	run_until(&finished);
	assert_int_equal(last.status, 200);
	start();
	g_free(raw_read(fd, "\r\n\r\n"));
	return fd;
}

static void
cut_each(const struct cut *kind, bool kept, bool reset)
{
	size_t len;
	int fd;

	for (len = 0; len < cut_max(kind); len++) {
		fd = take_call(kept);
		assert_int_equal(send(fd, kind->text, len, MSG_NOSIGNAL), len);
		run_turns(); /* a reset must not overtake the bytes */
		if (reset)
			raw_reset(fd);
		else
			close(fd);
		run_until(&finished);
		if (last.status != 0 || !last.sent || last.timed_out)
			fail_msg("%s, %zu bytes, kept %d, reset %d: status %u",
			    kind->name, len, kept, reset, last.status);
	}
}

static void
cut_all(const struct cut *kinds, size_t n)
{
	size_t i;

	for (i = 0; i < n; i++) {
		cut_each(&kinds[i], false, false);
		cut_each(&kinds[i], false, true);
		cut_each(&kinds[i], true, false);
		cut_each(&kinds[i], true, true);
	}
}

/* Guards against an answer that broke off and is taken for a whole one, or for
 * a request that was not sent. */
static void
test_no_beginning_is_an_answer(void **state)
{
	cut_all(cut_kinds, CUT_KINDS);
	cut_all(cut_empty_kinds, CUT_EMPTY_KINDS);
}

/* Guards against a length without a value or an unknown encoding: the answer
 * would end wherever its connection does, and be passed on with another
 * encoding than its caller is told. */
static void
test_framing_without_a_value(void **state)
{
	static const char *const heads[] = { "Content-Length:",
		"Content-Length: ", "Transfer-Encoding:", "Transfer-Encoding: ",
		"Transfer-Encoding: chunke", "Transfer-Encoding: chunked, x",
		"Transfer-Encoding: gzip, chunked" };
	size_t i;
	int fd;

	for (i = 0; i < G_N_ELEMENTS(heads); i++) {
		fd = take_call(false);
		raw_send(fd, "HTTP/1.1 200 OK\r\n");
		raw_send(fd, heads[i]);
		raw_send(fd, "\r\n\r\nbody");
		close(fd);
		run_until(&finished);
		if (last.status != 0)
			fail_msg("%s: status %u", heads[i], last.status);
	}
}

/* The status of the answer to a long request that a peer answers so; 0: none. */
static unsigned int
early_status(const char *answer)
{
	struct early_peer peer = { .listener = listener, .answer = answer };
	GThread *thread = g_thread_new("peer", early_serve, &peer);
	char *body = g_malloc0(EARLY_REQUEST_BYTES);

	finished = false;
	hfetch_start(loop, pool,
	    &(struct hfetch_conf){ .address = address,
		.method = "POST",
		.path = "/",
		.body = body,
		.body_len = EARLY_REQUEST_BYTES,
		.timeout_us = (int64_t)3600 * G_USEC_PER_SEC,
		.answer_max = ANSWER_MAX,
		.done = on_answer });
	run_until(&finished);
	g_thread_join(thread);
	g_free(body);
	/* cppcheck-suppress memleak ; the thread is joined */
	return last.status;
}

#define EARLY_ROUNDS 50

/* Guards against a reset that is met in writing the request and forgotten: the end
 * of the connection would count as the end of an answer without a length. */
static void
test_reset_while_the_request_is_written(void **state)
{
	unsigned int i;

	for (i = 0; i < EARLY_ROUNDS; i++)
		assert_int_equal(
		    early_status("HTTP/1.1 200 OK\r\n\r\nten bytes."), 0);
	for (i = 0; i < EARLY_ROUNDS; i++)
		assert_int_equal(early_status("HTTP/1.1 200 OK\r\n"
					      "Content-Length: 20\r\n\r\n"
					      "ten bytes."),
		    0);
}

/* The other direction: an early answer that is whole before the reset counts. */
static void
test_early_answer_that_is_whole(void **state)
{
	unsigned int i;

	for (i = 0; i < EARLY_ROUNDS; i++)
		assert_int_equal(early_status("HTTP/1.1 413 Too Large\r\n"
					      "Content-Length: 10\r\n\r\n"
					      "ten bytes."),
		    413);
}

/* ------------------------------------------------------------------ */
/* Requests                                                            */
/* ------------------------------------------------------------------ */

static const struct cut requests[] = {
	{ "GET", "GET / HTTP/1.1\r\nHost: a\r\nX-Deadline: 1234\r\n\r\n" },
	{ "length",
	    "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 12\r\n\r\n"
	    "{\"a\":123456}" },
	{ "chunked",
	    "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
	    "c\r\n{\"a\":123456}\r\n0\r\n\r\n" },
};

static unsigned int delivered;

static void
on_request(struct hreq *r, void *ctx)
{
	delivered++;
	hreq_answer(r, 200, "", "", 0);
}

static void
on_nothing(struct hreq *r, void *ctx)
{
}

static void
on_refused(unsigned int status, void *ctx)
{
}

static const struct hserver_ops server_ops = {
	.request = on_request,
	.disconnected = on_nothing,
	.drained = on_nothing,
	.refused = on_refused,
};

static int
dial(const char *at)
{
	struct sockaddr_in to;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	assert_true(sock_parse(at, &to));
	assert_int_equal(connect(fd, (void *)&to, sizeof(to)), 0);
	return fd;
}

static void
run_until_left(struct hserver *server)
{
	int i;

	for (i = 0; i < ITERATIONS_MAX && hserver_connections(server) > 0; i++)
		g_main_context_iteration(NULL, FALSE);
	run_turns();
	assert_int_equal(hserver_connections(server), 0);
}

static void
request_each(struct hserver *server, const char *at, const struct cut *kind,
    bool reset, bool kept)
{
	static const char first[] = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
	size_t len;
	int fd;

	for (len = 0; len < cut_max(kind); len++) {
		fd = dial(at);
		if (kept) {
			raw_send(fd, first);
			g_free(raw_read(fd, "\r\n\r\n"));
		}
		delivered = 0;
		assert_int_equal(send(fd, kind->text, len, MSG_NOSIGNAL), len);
		run_turns();
		if (reset)
			raw_reset(fd);
		else
			close(fd);
		run_until_left(server);
		if (delivered != 0)
			fail_msg("%s, %zu bytes, reset %d, kept %d", kind->name,
			    len, reset, kept);
	}
}

/* Guards against a request that broke off and is passed on: without its body,
 * or with a shorter one. */
static void
test_no_beginning_is_a_request(void **state)
{
	struct hlimits limits = { 16384, 65536, 4000000, 4000000 };
	struct err err = { 0 };
	struct hserver *server;
	char at[32];
	unsigned int way;
	size_t i;

	g_snprintf(at, sizeof(at), "127.0.0.1:%u", free_port());
	server = hserver_new(&(struct hserver_conf){ .loop = loop,
				 .address = at,
				 .limits = &limits,
				 .connections_max = 100,
				 .bodies_max = 1000000,
				 .ops = &server_ops },
	    &err);
	assert_non_null(server);
	for (way = 0; way < 4; way++) {
		for (i = 0; i < G_N_ELEMENTS(requests); i++)
			request_each(server, at, &requests[i], (way & 1) != 0,
			    (way & 2) != 0);
	}
	hserver_free(server);
}

int
main(void)
{
#define T(f) cmocka_unit_test_setup_teardown(f, set_up, tear_down)
	const struct CMUnitTest tests[] = {
		T(test_no_beginning_is_an_answer),
		T(test_framing_without_a_value),
		T(test_reset_while_the_request_is_written),
		T(test_early_answer_that_is_whole),
		T(test_no_beginning_is_a_request),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
