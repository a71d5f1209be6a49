/* Calls of operators' commands to a gateway. */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <netinet/in.h>

#include "../http/cut.h"
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
		if (cli_call(
			&cli, "GET", "/v1/status", NULL, &status, &out, &err))
			fail_msg("%s: status %u", g.kind->name, status);
		assert_null(out);
		g_thread_join(g.thread);
		if (g.sent >= SENT_MAX)
			fail_msg("%s: %zu bytes sent", g.kind->name, g.sent);
	}
	close(g.listener);
	g_free(cli.entry);
}

/* A gateway that sends the beginning of an answer on each connection. */
struct cut_gateway {
	struct endless_gateway at;
	const struct cut *kind;
	size_t len;
	GThread *thread;
};

static gpointer
answer_in_part(gpointer data)
{
	struct cut_gateway *g = data;
	int fd = accept(g->at.listener, NULL, NULL);
	char request[4096];

	assert_true(recv(fd, request, sizeof(request), 0) > 0);
	assert_int_equal(
	    send(fd, g->kind->text, g->len, MSG_NOSIGNAL), (ssize_t)g->len);
	close(fd);
	return NULL;
}

static bool
is_whole(JsonNode *node)
{
	return node != NULL && JSON_NODE_HOLDS_OBJECT(node) &&
	    json_object_get_int_member_with_default(
		json_node_get_object(node), "a", 0) == CUT_NUMBER;
}

/* Whether the call takes a beginning of an answer for one with status 200. The
 * last chunk may be missing after a whole document. */
static bool
is_taken(const struct cli *cli, struct cut_gateway *g)
{
	unsigned int status = 0;
	struct err err = { 0 };
	JsonNode *out;
	bool answered, whole;

	g->thread = g_thread_new("gateway", answer_in_part, g);
	answered = cli_call(cli, "POST", "/v1/x", NULL, &status, &out, &err);
	g_thread_join(g->thread);
	assert_true(answered || err.verdict == VERDICT_MAY_HAVE_RUN);
	whole = is_whole(out);
	if (out != NULL)
		json_node_unref(out);
	return answered && status == 200 && !whole;
}

/* Guards against a command that ends in a crash, or reads an empty document,
 * as an answer broke off. */
static void
test_no_beginning_is_an_answer(void **state)
{
	struct cut_gateway g = { 0 };
	struct cli cli = { .token = (char *)"t" };
	const struct cut *k;

	cli.entry = gateway_open(&g.at);
	for (k = cut_kinds; k < cut_kinds + CUT_KINDS; k++) {
		g.kind = k;
		for (g.len = 0; g.len < cut_max(k); g.len++) {
			if (is_taken(&cli, &g))
				fail_msg("%s, %zu bytes", k->name, g.len);
		}
	}
	close(g.at.listener);
	g_free(cli.entry);
}

/* Guards against a command that reports an answer without a status as a refusal,
 * although the gateway may have carried it out. */
static void
test_no_status_is_no_answer(void **state)
{
	static const char *const statuses[] = { "000", "099", "600", "999" };
	struct cut_gateway g = { 0 };
	struct cli cli = { .token = (char *)"t" };
	struct cut kind = { 0 };
	unsigned int status, bad = 0;
	struct err err;
	JsonNode *out;
	size_t i;

	cli.entry = gateway_open(&g.at);
	g.kind = &kind;
	for (i = 0; i < G_N_ELEMENTS(statuses); i++) {
		char *text = g_strdup_printf(
		    "HTTP/1.1 %s Odd\r\nContent-Length: 12\r\n\r\n"
		    "{\"a\":123456}",
		    statuses[i]);

		kind.text = text;
		g.len = strlen(text);
		err = (struct err){ 0 };
		g.thread = g_thread_new("gateway", answer_in_part, &g);
		if (cli_call(
			&cli, "POST", "/v1/x", NULL, &status, &out, &err) ||
		    out != NULL || err.verdict != VERDICT_MAY_HAVE_RUN) {
			print_message("%s: status %u\n", statuses[i], status);
			bad++;
		}
		g_thread_join(g.thread);
		if (out != NULL)
			json_node_unref(out);
		g_free(text);
	}
	assert_int_equal(bad, 0);
	close(g.at.listener);
	g_free(cli.entry);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_endless_answers_end_the_call),
		cmocka_unit_test(test_no_beginning_is_an_answer),
		cmocka_unit_test(test_no_status_is_no_answer),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
