/* Calls whose answer is buffered: answers without end. */

#include "loop.h"

#include "endless.h"
#include "http/fetch.h"

#define ANSWER_MAX 65536
#define READ_MAX (1u << 20) /* bytes that may be sent before the call fails */

static struct evl *loop;
static struct hpool *pool;
static char address[32];
static int listener;
static struct hfetch_answer last;
static bool finished;

static void
on_answer(const struct hfetch_answer *a, void *ctx)
{
	last = *a;
	finished = true;
}

static int
set_up(void **state)
{
	listener = raw_listen(address);
	loop = evl_new(clk_system());
	pool = hpool_new(&(struct hpool_conf){ .loop = loop,
	    .idle_max = 2,
	    .connect_us = 300000,
	    .idle_us = 400000,
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

/* Starts a call that no time-out ends within the test. */
static int
start(void)
{
	int fd;

	finished = false;
	hfetch_start(loop, pool,
	    &(struct hfetch_conf){ .address = address,
		.method = "GET",
		.path = "/",
		.timeout_us = (int64_t)3600 * G_USEC_PER_SEC,
		.answer_max = ANSWER_MAX,
		.done = on_answer });
	fd = raw_accept(listener);
	g_free(raw_read(fd, "\r\n\r\n"));
	return fd;
}

/* Guards against a call that reads an answer without end until its time is
 * over. */
static void
test_endless_answers_end_the_call(void **state)
{
	struct endless_sender s;
	size_t i;

	for (i = 0; i < ENDLESS_KINDS; i++) {
		s = (struct endless_sender){ start(), &endless_kinds[i] };
		while (!finished && s.sent < READ_MAX) {
			endless_send(&s);
			run_ms(0);
			g_main_context_iteration(NULL, FALSE);
		}
		if (!finished)
			fail_msg("%s: %zu bytes sent", s.kind->name, s.sent);
		assert_int_equal(last.status, 0);
		assert_true(last.sent);
		assert_false(last.timed_out);
		close(s.fd);
	}
}

/* Guards against taking the first bytes of a longer body for all of it, and
 * against refusing one of exactly the largest size. */
static void
test_largest_body(void **state)
{
	char *body = g_strnfill(ANSWER_MAX, 'a');
	char *head = g_strdup_printf(
	    "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: %d\r\n\r\n",
	    ANSWER_MAX);
	int fd = start();

	raw_send(fd, head);
	raw_send(fd, body);
	run_until(&finished);
	assert_int_equal(last.status, 200);
	assert_int_equal(last.len, ANSWER_MAX);

	close(fd);
	fd = start();
	raw_send(fd, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n");
	raw_send(fd, body);
	raw_send(fd, "a");
	run_until(&finished);
	assert_int_equal(last.status, 0);
	assert_int_equal(last.failure, HCALL_TOO_LONG);
	close(fd);
	g_free(head);
	g_free(body);
}

/* Guards against refusing an answer for the interim ones before it. */
static void
test_few_interim_answers(void **state)
{
	int fd = start(), i;

	for (i = 0; i < 20; i++)
		raw_send(fd, "HTTP/1.1 102 Processing\r\n\r\n");
	raw_send(fd, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
	run_until(&finished);
	assert_int_equal(last.status, 200);
	close(fd);
}

int
main(void)
{
#define T(f) cmocka_unit_test_setup_teardown(f, set_up, tear_down)
	const struct CMUnitTest tests[] = {
		T(test_endless_answers_end_the_call),
		T(test_largest_body),
		T(test_few_interim_answers),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
