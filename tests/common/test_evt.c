/* Structured log lines: format, rate limit and a full pipe. */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <fcntl.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "common/evt.h"

static int saved_stdout, pipe_read;
static struct clk_fake fake;

static int
set_up(void **state)
{
	int fds[2];

	assert_int_equal(pipe(fds), 0);
	pipe_read = fds[0];
	assert_int_equal(fcntl(pipe_read, F_SETFL, O_NONBLOCK), 0);
	fflush(stdout);
	saved_stdout = dup(STDOUT_FILENO);
	assert_true(dup2(fds[1], STDOUT_FILENO) >= 0);
	close(fds[1]);
	clk_fake_init(&fake, 1000000);
	log_open("test"); /* as programs do: one name for both */
	evt_open(&fake.clock, "node-1");
	return 0;
}

static int
tear_down(void **state)
{
	evt_close();
	assert_true(dup2(saved_stdout, STDOUT_FILENO) >= 0);
	close(saved_stdout);
	close(pipe_read);
	return 0;
}

static GString *
read_all(void)
{
	GString *out = g_string_new(NULL);
	char buffer[4096];
	ssize_t n;

	while ((n = read(pipe_read, buffer, sizeof(buffer))) > 0)
		g_string_append_len(out, buffer, n);
	return out;
}

static unsigned int
count_lines(const GString *s, const char *part)
{
	unsigned int n = 0;
	const char *at = s->str;

	while ((at = strstr(at, part)) != NULL) {
		n++;
		at++;
	}
	return n;
}

static void
test_format(void **state)
{
	GString *out;

	evt(EVT_REFUSED, "req=%s status=%d why=full", "q1", 503);
	out = read_all();
	/* cmocka's output may precede the line. */
	assert_non_null(strstr(out->str,
	    "t=1.000 node=node-1 ev=refused req=q1 status=503 why=full\n"));
	assert_int_equal(count_lines(out, "ev="), 1);
	g_string_free(out, TRUE);
}

/* Guards against a warning that the next line is appended to, so that readers of
 * the lines miss an event. */
static void
test_warning_is_a_line(void **state)
{
	GString *out;
	const char *event;

	log_warn("store: %s", "odd");
	evt(EVT_START, "program=x");
	out = read_all();
	event = strstr(out->str, "t=1.000 node=node-1 ev=start");
	assert_non_null(event);
	assert_true(event == out->str || event[-1] == '\n');
	g_string_free(out, TRUE);
}

/* Guards against a value from outside that is read as an event of its own. */
static void
test_value_adds_no_line(void **state)
{
	GString *out;

	evt(EVT_TARGET, "target=%s state=ready",
	    "a\nt=1 node=x ev=done\r\033[2J\177");
	out = read_all();
	assert_int_equal(count_lines(out, "\nt=1 node=x"), 0);
	assert_non_null(strstr(out->str,
	    "ev=target target=a?t=1 node=x ev=done??[2J? state=ready\n"));
	g_string_free(out, TRUE);
}

/*
 * A burst of failures: the lines stay within their class's rate limit, other
 * classes are not affected, and the number of dropped lines is logged before
 * the next line.
 */
static void
test_rate_limit(void **state)
{
	GString *out;
	int i;

	for (i = 0; i < 5000; i++)
		evt(EVT_REFUSED, "req=%d", i);
	evt(EVT_START, "program=x");
	out = read_all();
	assert_in_range(count_lines(out, "ev=refused"), 100, 400);
	assert_int_equal(count_lines(out, "ev=start"), 1);
	assert_int_equal(count_lines(out, "ev=lines_dropped count=4"), 1);
	g_string_free(out, TRUE);
	clk_fake_advance_ms(&fake, 1000);
	evt(EVT_REFUSED, "req=later");
	out = read_all();
	assert_int_equal(count_lines(out, "req=later"), 1);
	g_string_free(out, TRUE);
}

/* Without a reader lines are dropped and counted, and evt does not block. */
static void
test_full_pipe(void **state)
{
	int64_t dropped = evt_dropped();
	int i;

	for (i = 0; i < 2000; i++) {
		clk_fake_advance_ms(&fake, 100);
		evt(EVT_DONE, "req=%d text=%0200d", i, 0);
	}
	assert_true(evt_dropped() > dropped);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_format),
		cmocka_unit_test(test_warning_is_a_line),
		cmocka_unit_test(test_value_adds_no_line),
		cmocka_unit_test(test_rate_limit),
		cmocka_unit_test(test_full_pipe),
	};

	/* evt_open is called once per process, hence a group fixture; cmocka's
	 * summary is printed after standard output is restored. */
	return cmocka_run_group_tests(tests, set_up, tear_down);
}
