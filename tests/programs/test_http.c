/* The HTTP server of the own interface. */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "../http/cut.h"
#include "shared/http.h"

static const struct cut requests[] = {
	{ "GET", "GET /a HTTP/1.1\r\nHost: a\r\nX-Deadline: 1\r\n\r\n" },
	{ "PUT",
	    "PUT /a HTTP/1.1\r\nHost: a\r\nContent-Length: 12\r\n\r\n"
	    "{\"a\":123456}" },
	{ "chunked",
	    "POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
	    "c\r\n{\"a\":123456}\r\n0\r\n\r\n" },
};

struct fixture {
	SoupServer *server;
	struct sockaddr_in at;
	struct ctr_set *counters;
	unsigned int handled;
};

static void
on_request(SoupServer *server, SoupServerMessage *message, const char *path,
    GHashTable *query, gpointer data)
{
	struct fixture *f = data;

	f->handled++;
	http_answer_text(message, 200, "text/plain", "ok");
}

static int
set_up(void **state)
{
	static struct fixture f;
	GSList *uris;

	f = (struct fixture){ .counters = ctr_set_new() };
	f.server = soup_server_new(NULL, NULL);
	http_close_disconnected(f.server);
	http_count_malformed(f.server, ctr_get(f.counters, "malformed"));
	http_add_handler(f.server, NULL, on_request, &f);
	assert_true(soup_server_listen_local(
	    f.server, 0, SOUP_SERVER_LISTEN_IPV4_ONLY, NULL));
	uris = soup_server_get_uris(f.server);
	f.at = (struct sockaddr_in){ .sin_family = AF_INET,
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK),
		.sin_port = htons((uint16_t)g_uri_get_port(uris->data)) };
	g_slist_free_full(uris, (GDestroyNotify)g_uri_unref);
	*state = &f;
	return 0;
}

static int
tear_down(void **state)
{
	struct fixture *f = *state;

	g_object_unref(f->server);
	ctr_set_free(f->counters);
	return 0;
}

static gboolean
on_tick(gpointer data)
{
	return G_SOURCE_CONTINUE;
}

/* Runs the loop until the peer's answer or end arrives, which it discards. */
static void
run_until_answered(int fd)
{
	guint tick = g_timeout_add(1, on_tick, NULL);
	char buffer[4096];
	ssize_t n = -1;
	int turn;

	for (turn = 0; turn < 2000 && n < 0; turn++) {
		g_main_context_iteration(NULL, TRUE);
		n = recv(fd, buffer, sizeof(buffer), MSG_DONTWAIT);
	}
	g_source_remove(tick);
	assert_true(n >= 0);
}

static void
cut_at(struct fixture *f, const struct cut *kind, size_t len, bool kept)
{
	static const char first[] = "GET /a HTTP/1.1\r\nHost: a\r\n\r\n";
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	f->handled = 0;
	assert_int_equal(connect(fd, (void *)&f->at, sizeof(f->at)), 0);
	if (kept) {
		assert_true(send(fd, first, strlen(first), 0) > 0);
		run_until_answered(fd);
		assert_int_equal(f->handled, 1);
	}
	f->handled = 0;
	assert_int_equal(send(fd, kind->text, len, MSG_NOSIGNAL), len);
	shutdown(fd, SHUT_WR);
	run_until_answered(fd);
	close(fd);
	if (f->handled > 0)
		fail_msg("%s, %zu bytes, kept %d\n", kind->name, len, kept);
}

/* Guards against a request that broke off and is passed on: without its body,
 * or without some of its headers. */
static void
test_no_beginning_is_a_request(void **state)
{
	const struct cut *k;
	size_t len;

	for (k = requests; k < requests + G_N_ELEMENTS(requests); k++) {
		for (len = 0; len < cut_max(k); len++) {
			cut_at(*state, k, len, false);
			cut_at(*state, k, len, true);
		}
	}
}

int
main(void)
{
#define T(f) cmocka_unit_test_setup_teardown(f, set_up, tear_down)
	const struct CMUnitTest tests[] = {
		T(test_no_beginning_is_a_request),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
