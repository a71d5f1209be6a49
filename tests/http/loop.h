#ifndef TESTS_HTTP_LOOP_H
#define TESTS_HTTP_LOOP_H

/* Helpers that run the event loop, and a caller on a plain socket. */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <arpa/inet.h>
#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "http/http.h"
#include "http/sock.h"

/* Iterations of about 1 ms before a test fails; not a performance limit. */
#define ITERATIONS_MAX 20000

static inline gboolean
on_tick(gpointer data)
{
	return G_SOURCE_CONTINUE;
}

/* Runs until `*flag` is true; fails the test if that never happens. */
static inline void
run_until(const bool *flag)
{
	guint tick = g_timeout_add(1, on_tick, NULL);
	int i;

	for (i = 0; i < ITERATIONS_MAX && !*flag; i++)
		g_main_context_iteration(NULL, TRUE);
	g_source_remove(tick);
	assert_true(*flag);
}

/* Runs the loop for `ms` milliseconds. */
static inline void
run_ms(int ms)
{
	guint tick = g_timeout_add(1, on_tick, NULL);
	int64_t end_us = g_get_monotonic_time() + ms * 1000;

	while (g_get_monotonic_time() < end_us)
		g_main_context_iteration(NULL, TRUE);
	g_source_remove(tick);
}

static inline unsigned int
free_port(void)
{
	struct sockaddr_in at;
	socklen_t len = sizeof(at);
	int fd;

	assert_true(sock_parse("127.0.0.1:0", &at));
	fd = sock_listen(&at, 1);
	assert_true(fd >= 0);
	assert_int_equal(getsockname(fd, (struct sockaddr *)&at, &len), 0);
	close(fd);
	return ntohs(at.sin_port);
}

/* Listens on a free port of loopback, of which it stores the address. */
static inline int
raw_listen(char address[32])
{
	struct sockaddr_in at;
	int fd;

	g_snprintf(address, 32, "127.0.0.1:%u", free_port());
	assert_true(sock_parse(address, &at));
	fd = sock_listen(&at, 8);
	assert_true(fd >= 0);
	return fd;
}

/* Waits for the next connection. */
static inline int
raw_accept(int listener)
{
	int fd = -1, i;

	for (i = 0; i < ITERATIONS_MAX && fd < 0; i++) {
		fd = accept4(listener, NULL, NULL, SOCK_NONBLOCK);
		run_ms(1);
	}
	assert_true(fd >= 0);
	return fd;
}

static inline int
raw_dial(const char *address)
{
	struct sockaddr_in at;
	int fd;

	assert_true(sock_parse(address, &at));
	fd = sock_dial(&at);
	assert_true(fd >= 0);
	run_ms(5);
	return fd;
}

static inline void
raw_send(int fd, const char *text)
{
	assert_int_equal(
	    send(fd, text, strlen(text), MSG_NOSIGNAL), (ssize_t)strlen(text));
}

/* Closes with a reset instead of in order. */
static inline void
raw_reset(int fd)
{
	struct linger reset = { .l_onoff = 1, .l_linger = 0 };

	assert_int_equal(
	    setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset)), 0);
	close(fd);
}

/* Reads until the text contains `stop` or the peer closes. */
static inline char *
raw_read(int fd, const char *stop)
{
	GString *text = g_string_new(NULL);
	char buffer[4096];
	ssize_t n;
	int i;

	for (i = 0; i < ITERATIONS_MAX / 4; i++) {
		n = recv(fd, buffer, sizeof(buffer), MSG_DONTWAIT);
		if (n == 0 || (n < 0 && errno != EAGAIN))
			break;
		if (n > 0)
			g_string_append_len(text, buffer, n);
		if (stop != NULL && strstr(text->str, stop) != NULL)
			break;
		run_ms(1);
	}
	return g_string_free(text, FALSE);
}

#endif
