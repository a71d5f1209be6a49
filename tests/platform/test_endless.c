/* Answers without end to the clients of the own interface. */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include "../http/endless.h"
#include "platform/platform_internal.h"
#include "server.h"

#define ANSWER_MAX 65536
#define SENT_MAX (4u << 20) /* bytes that may be sent before a call fails */

struct fixture {
	struct server server;
	struct endless_sender sender;
	struct err err;
	bool called, ended;
};

static void
serve(struct peer *peer, void *ctx)
{
	struct fixture *f = ctx;

	f->sender.fd =
	    g_socket_get_fd(g_socket_connection_get_socket(peer->conn));
	f->called = true;
}

static void
on_answer(const struct fetch_response *r, const struct err *err, void *ctx)
{
	struct fixture *f = ctx;

	f->ended = true;
	f->err = *err;
}

/* Bytes that are sent of an answer until the call ends. */
static size_t
call_endless(struct fixture *f, struct plat *plat, const struct endless *kind)
{
	f->sender = (struct endless_sender){ .kind = kind };
	f->called = f->ended = false;
	fetch_start(plat,
	    &(struct fetch_request){ .base = f->server.base,
		.method = "GET",
		.path = "/",
		.deadline_ms = 3600000,
		.max_bytes = ANSWER_MAX },
	    on_answer, f);
	run_until(&f->called);
	while (!f->ended && f->sender.sent < SENT_MAX) {
		endless_send(&f->sender);
		g_main_context_iteration(NULL, FALSE);
	}
	if (!f->ended)
		fail_msg("%s: %zu bytes sent", kind->name, f->sender.sent);
	return f->sender.sent;
}

/* Guards against a call that reads an answer without end until its deadline. */
static void
test_endless_answers_end_the_call(void **state)
{
	struct fixture f = { 0 };
	struct ctr_set *counters = ctr_set_new();
	struct plat *plat = plat_new(clk_system(), counters, NULL);
	size_t i;

	server_start(&f.server, serve, &f);
	for (i = 0; i < ENDLESS_KINDS; i++) {
		call_endless(&f, plat, &endless_kinds[i]);
		assert_true(err_is(&f.err));
	}
	plat_free(plat);
	run_for(10);
	server_stop(&f.server);
	ctr_set_free(counters);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_endless_answers_end_the_call),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
