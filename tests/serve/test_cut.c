/* Answers of plain services that break off, through a gateway. */

#include "world.h"

#include "../http/cut.h"
#include "../http/odd_heads.h"
#include "../http/raw_answer.h"

#define BODY "{\"a\":123456}"

static const struct cut kinds[] = {
	{ "length", GOOD "Content-Length: 12\r\n\r\n" BODY },
	{ "chunked",
	    GOOD "Transfer-Encoding: chunked\r\n\r\n"
		 "c\r\n" BODY "\r\n0\r\n\r\n" },
	{ "close", GOOD "Connection: close\r\n\r\n" BODY, true },
	{ "interim answer",
	    "HTTP/1.1 102 Processing\r\nX-A: b\r\n\r\n" GOOD
	    "Content-Length: 12\r\n\r\n" BODY },
};

struct way {
	const char *name;
	bool reset, kept;
};

static const struct way ways[] = {
	{ "close" },
	{ "close of a kept connection", .kept = true },
	{ "reset", .reset = true },
	{ "reset of a kept connection", .reset = true, .kept = true },
};

static int
send_call(void)
{
	static const char request[] =
	    "POST /x/1 HTTP/1.1\r\nHost: a.example\r\nT-Id: q1\r\n"
	    "T-Key: Bearer secret\r\nT-Deadline: 3000\r\n\r\n";
	struct sockaddr_in to;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	assert_true(sock_parse(w.address, &to));
	assert_int_equal(connect(fd, (void *)&to, sizeof(to)), 0);
	raw_send(fd, request);
	return fd;
}

/* Reads an answer to the end of its connection, or until it is complete. */
static void
read_answer(int fd, struct raw_answer *a)
{
	GString *bytes = g_string_new(NULL);
	enum raw_end end = RAW_OPEN;
	char buffer[4096];
	ssize_t n;
	int i;

	raw_answer_init(a);
	for (i = 0; i < ITERATIONS_MAX / 4 && end == RAW_OPEN; i++) {
		n = recv(fd, buffer, sizeof(buffer), MSG_DONTWAIT);
		if (n > 0)
			g_string_append_len(bytes, buffer, n);
		else if (n == 0)
			end = RAW_CLOSED;
		else if (errno != EAGAIN)
			end = RAW_RESET;
		raw_answer_parse(a, bytes, end);
		if (a->complete)
			break;
		run_ms(1);
	}
	g_string_free(bytes, TRUE);
	close(fd);
}

static void
cut_at(const struct cut *kind, size_t len, const struct way *way)
{
	struct raw_answer a;
	struct target *t;
	int fd;

	world_open(1, make_config(SV_UNSAFE, 2, 3000));
	fd = send_call();
	t = target_next();
	if (way->kept) {
		raw_send(t->fd, GOOD "Content-Length: 0\r\n\r\n");
		read_answer(fd, &a);
		assert_int_equal(a.status, 200);
		raw_answer_clear(&a);
		fd = send_call();
		g_free(raw_read(t->fd, "\r\n\r\n"));
	}
	assert_int_equal(send(t->fd, kind->text, len, MSG_NOSIGNAL), len);
	if (way->reset) {
		run_ms(1); /* it must not overtake the bytes before it */
		raw_reset(t->fd);
	} else
		close(t->fd);
	t->fd = -1;
	read_answer(fd, &a);
	if (a.status != 502 || !a.complete)
		fail_msg("%s, %zu bytes, %s: status %u, complete %d, %s",
		    kind->name, len, way->name, a.status, a.complete,
		    a.body->str);
	raw_answer_clear(&a);
	assert_true(accept4(t->listener, NULL, NULL, SOCK_NONBLOCK) < 0);
	world_close();
}

/* Guards against an answer that broke off and is passed on as a whole one, and
 * against a second run of its request. */
static void
test_no_beginning_is_passed_on(void **state)
{
	size_t i, j, len, nways;

	for (i = 0; i < G_N_ELEMENTS(kinds); i++) {
		nways = i == 0 ? G_N_ELEMENTS(ways) : 2;
		for (j = 0; j < nways; j++) {
			for (len = 0; len < cut_max(&kinds[i]); len++)
				cut_at(&kinds[i], len, &ways[j]);
		}
	}
}

/* Guards against callers of requests that may run again who get an answer that
 * broke off although another target has a whole one. */
static void
test_another_target_answers(void **state)
{
	struct raw_answer a;
	struct target *t;
	size_t len;
	int fd;

	for (len = 0; len < strlen(kinds[0].text); len++) {
		world_open(2, make_config(SV_SAFE, 2, 3000));
		fd = send_call();
		t = target_next();
		assert_int_equal(
		    send(t->fd, kinds[0].text, len, MSG_NOSIGNAL), len);
		close(t->fd);
		t->fd = -1;
		raw_send(target_next()->fd, kinds[0].text);
		read_answer(fd, &a);
		assert_int_equal(a.status, 200);
		assert_true(a.complete);
		assert_string_equal(a.body->str, BODY);
		raw_answer_clear(&a);
		world_close();
	}
}

/* Guards against a head that is none and reaches callers, or leaves them waiting
 * for another one until their time is over. */
static void
test_odd_heads_are_not_passed_on(void **state)
{
	struct raw_answer a;
	struct target *t;
	int64_t sent_us;
	size_t i;
	int fd;

	for (i = 0; i < ODD_HEADS; i++) {
		world_open(1, make_config(SV_UNSAFE, 2, 3000));
		fd = send_call();
		t = target_next();
		sent_us = now_us();
		raw_send(t->fd, odd_heads[i]);
		read_answer(fd, &a);
		if (a.status != 502 || !a.complete || a.body->len > 0 ||
		    now_us() - sent_us > 2 * G_USEC_PER_SEC)
			fail_msg("%s: status %u, %s", odd_heads[i], a.status,
			    a.body->str);
		raw_answer_clear(&a);
		world_close();
	}
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_no_beginning_is_passed_on),
		cmocka_unit_test(test_another_target_answers),
		cmocka_unit_test(test_odd_heads_are_not_passed_on),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
