/* Calls of operators' commands to a gateway. */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <netinet/in.h>

#include "../http/endless.h"
#include "entry/cli.h"

#define SENT_MAX (32u << 20) /* bytes that may be sent before a call ends */

/* A gateway that sends one kind of answer on each connection. */
struct endless_gateway {
	int listener;
	const struct endless *kind;
	GThread *thread;
	size_t sent; /* on the last connection */
};

static gpointer
answer_without_end(gpointer data)
{
	struct endless_gateway *g = data;
	struct endless_sender sender = { .kind = g->kind };

	sender.fd = accept(g->listener, NULL, NULL);
	while (!sender.closed && sender.sent < SENT_MAX) {
		endless_send(&sender);
		g_usleep(100);
	}
	g->sent = sender.sent;
	close(sender.fd);
	return NULL;
}

static char *
gateway_open(struct endless_gateway *g)
{
	struct sockaddr_in at = { .sin_family = AF_INET,
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
	socklen_t len = sizeof(at);

	g->listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	assert_true(g->listener >= 0);
	assert_int_equal(bind(g->listener, (void *)&at, len), 0);
	assert_int_equal(listen(g->listener, 8), 0);
	assert_int_equal(getsockname(g->listener, (void *)&at, &len), 0);
	return g_strdup_printf("http://127.0.0.1:%u", ntohs(at.sin_port));
}

/* Guards against a command that reads an answer without end for ever. */
static void
test_endless_answers_end_the_call(void **state)
{
	struct endless_gateway g = { 0 };
	struct cli cli = { .token = (char *)"t" };
	unsigned int status;
	struct err err;
	JsonNode *out;
	size_t i;

	cli.entry = gateway_open(&g);
	for (i = 0; i < ENDLESS_KINDS; i++) {
		g.kind = &endless_kinds[i];
		g.thread = g_thread_new("gateway", answer_without_end, &g);
		memset(&err, 0, sizeof(err));
		/* libsoup takes endless trailers for the end of the answer. */
		if (cli_call(&cli, "GET", "/v1/status", NULL, &status, &out,
			&err) != (strcmp(g.kind->name, "trailers") == 0))
			fail_msg("%s: status %u", g.kind->name, status);
		assert_null(out);
		g_thread_join(g.thread);
		if (g.sent >= SENT_MAX)
			fail_msg("%s: %zu bytes sent", g.kind->name, g.sent);
	}
	close(g.listener);
	g_free(cli.entry);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_endless_answers_end_the_call),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
