/* Log lines: their form, their bounded volume, and a reader that is slow. */

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

static int own_stdout, pipe_read;
static struct clk_fake fake;

static int
set_up(void **state)
{
	int fds[2];

	assert_int_equal(pipe(fds), 0);
	pipe_read = fds[0];
	assert_int_equal(fcntl(pipe_read, F_SETFL, O_NONBLOCK), 0);
	fflush(stdout);
	own_stdout = dup(STDOUT_FILENO);
	assert_true(dup2(fds[1], STDOUT_FILENO) >= 0);
	close(fds[1]);
	clk_fake_init(&fake, 1000000);
	evt_open(&fake.clock, "test", "node-1");
	return 0;
}

static int
tear_down(void **state)
{
	evt_close();
	assert_true(dup2(own_stdout, STDOUT_FILENO) >= 0);
	close(own_stdout);
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
test_form(void **state)
{
	GString *out;

	evt(EVT_REFUSED, "req=%s status=%d why=full", "q1", 503);
	out = read_all();
	/* cmocka's own lines may stand before it. */
	assert_non_null(strstr(out->str,
	    "t=1.000 node=node-1 ev=refused req=q1 status=503 why=full\n"));
	assert_int_equal(count_lines(out, "ev="), 1);
	g_string_free(out, TRUE);
}

/*
 * A burst of failures: lines stay within the class's rate, other classes keep
 * their own, and what was left out is told with the next line.
 */
static void
test_bounded_volume(void **state)
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

/* Nobody reads: lines are lost and counted, and nothing waits. */
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
		cmocka_unit_test(test_form),
		cmocka_unit_test(test_bounded_volume),
		cmocka_unit_test(test_full_pipe),
	};

	/* The sink is opened once a process; cmocka's own lines go to where
	 * it reports in the end. */
	return cmocka_run_group_tests(tests, set_up, tear_down);
}
