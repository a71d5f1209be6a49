/* Targets whose answers have no end. */

#include "world.h"

#include "../http/endless.h"

#define READ_MAX \
	(16u << 20) /* bytes that may be sent before the attempt ends */

static const struct endless sealed_kinds[] = {
	{ "refusal",
	    "HTTP/1.1 503 Service Unavailable\r\nT-Id: q1\r\nT-Not-Run: 1\r\n"
	    "Transfer-Encoding: chunked\r\n\r\n",
	    "40\r\n" ENDLESS_64 "\r\n" },
	{ "answer without a seal",
	    ENDLESS_OK "T-Id: q1\r\nTransfer-Encoding: chunked\r\n\r\n",
	    "40\r\n" ENDLESS_64 "\r\n" },
	{ "sealed answer", GOOD "Transfer-Encoding: chunked\r\n\r\n",
	    "40\r\n" ENDLESS_64 "\r\n" },
	{ "sealed answer until the close", GOOD "\r\n", ENDLESS_64 },
	{ "answer to an earlier request",
	    ENDLESS_OK "T-Id: q0\r\nT-Seal: s\r\n"
		       "Transfer-Encoding: chunked\r\n\r\n",
	    "40\r\n" ENDLESS_64 "\r\n" },
};

/* Answers the next request without end, until the forwarder closes. Returns the
 * target. */
static struct target *
answer_without_end(const struct endless *kind)
{
	struct target *t = target_next();
	struct endless_sender s = { .fd = t->fd, .kind = kind };

	while (!s.closed && s.sent < READ_MAX) {
		endless_send(&s);
		run_ms(0);
		g_main_context_iteration(NULL, FALSE);
	}
	if (!s.closed)
		fail_msg("%s: %zu bytes sent", kind->name, s.sent);
	close(t->fd);
	t->fd = -1;
	return t;
}

/* A request that may run twice is answered by the second target although the
 * first one's answer has no end. */
static void
expect_second_target(enum sv_kind route, const struct endless *kind)
{
	struct target *first, *second;
	int fd;

	world_open(2, make_config(route, 2, 60000));
	fd = send_request("GET", "/x/1", "T-Deadline: 60000\r\n");
	first = answer_without_end(kind);
	second = target_next();
	assert_ptr_not_equal(first, second);
	if (route == SV_STREAM)
		raw_send(second->fd, STREAM EVENT("1") "0\r\n\r\n");
	else
		raw_send(second->fd, ANSWER);
	expect_answer(fd, route == SV_STREAM ? "id: 1" : "ok");
	world_close();
}

/* Guards against callers who wait for their deadline while a target's answer
 * goes on. */
static void
test_plain_request_moves_on(void **state)
{
	size_t i;

	for (i = 0; i < ENDLESS_KINDS; i++)
		expect_second_target(SV_SAFE, &endless_kinds[i]);
	for (i = 0; i < G_N_ELEMENTS(sealed_kinds); i++)
		expect_second_target(SV_SAFE, &sealed_kinds[i]);
}

/* The same for streams; an event that does not end is no event. */
static void
test_stream_moves_on(void **state)
{
	size_t i;

	for (i = 0; i < ENDLESS_KINDS; i++)
		expect_second_target(SV_STREAM, &endless_kinds[i]);
	for (i = 0; i < G_N_ELEMENTS(sealed_kinds); i++)
		expect_second_target(SV_STREAM, &sealed_kinds[i]);
}

/* Guards against a second run of a request that may run once: only a refusal
 * says that it has not run. */
static void
test_request_that_may_run_once(void **state)
{
	int fd;

	world_open(2, make_config(SV_UNSAFE, 2, 60000));
	fd = send_request("POST", "/x/1", "T-Deadline: 60000\r\n");
	answer_without_end(&sealed_kinds[2]);
	expect_answer(fd, "HTTP/1.1 502");
	assert_false(target_is_called());
	world_close();
	world_open(2, make_config(SV_UNSAFE, 2, 60000));
	fd = send_request("POST", "/x/1", "T-Deadline: 60000\r\n");
	answer_without_end(&sealed_kinds[0]);
	raw_send(target_next()->fd, ANSWER);
	expect_answer(fd, "ok");
	world_close();
}

#define MANY 6

static size_t
buffered_bytes(void)
{
	static const char name[] = "answers_buffered_bytes ";
	GString *page = g_string_new(NULL);
	const char *at;
	size_t bytes;

	fwd_print(w.fwd, page);
	at = strstr(page->str, name);
	assert_non_null(at);
	bytes = (size_t)g_ascii_strtoull(at + strlen(name), NULL, 10);
	g_string_free(page, TRUE);
	return bytes;
}

/* Guards against a process whose memory ends while many targets answer without
 * end, each within the size that one answer may have. */
static void
test_many_targets_at_a_time(void **state)
{
	struct endless_sender s[MANY] = { 0 };
	size_t most = 0, sent = 0, closed = 0, i;
	int fd[MANY];

	world_open(3, make_config(SV_UNSAFE, 1, 60000));
	for (i = 0; i < MANY; i++) {
		fd[i] = send_request("POST", "/x/1", "T-Deadline: 60000\r\n");
		s[i].kind = &sealed_kinds[2];
		s[i].fd = target_next()->fd;
	}
	while (closed < MANY && sent < MANY * READ_MAX) {
		for (closed = sent = i = 0; i < MANY; i++) {
			endless_send(&s[i]);
			closed += s[i].closed;
			sent += s[i].sent;
		}
		run_ms(0);
		g_main_context_iteration(NULL, FALSE);
		most = MAX(most, buffered_bytes());
	}
	assert_int_equal(closed, MANY);
	assert_in_range(most, ANSWERS_MAX / 2, ANSWERS_MAX + (1 << 20));
	for (i = 0; i < MANY; i++) {
		close(s[i].fd);
		expect_answer(fd[i], "HTTP/1.1 502");
	}
	w.target[0].fd = w.target[1].fd = w.target[2].fd = -1;
	assert_int_equal(buffered_bytes(), 0);
	world_close();
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_plain_request_moves_on),
		cmocka_unit_test(test_stream_moves_on),
		cmocka_unit_test(test_request_that_may_run_once),
		cmocka_unit_test(test_many_targets_at_a_time),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
