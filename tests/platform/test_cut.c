/* Answers that break off, to the clients of the own interface. */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include "../http/cut.h"
#include "../http/early.h"
#include "../http/odd_heads.h"
#include "platform/platform_internal.h"
#include "server.h"

struct fixture {
	struct server server;
	struct ctr_set *counters;
	struct plat *plat;
	const struct cut *kind;
	size_t len; /* of the beginning that is sent */
	size_t sent; /* of it, where it is sent in pieces */
	bool reset;
	bool kept; /* on a connection that has served a request */
	bool first; /* the next request opens its connection */
	bool whole; /* the connection is kept open */
	bool may_end_by_close;
	struct target_call *call;
	struct err err;
	bool ended;
};

static int
set_up(void **state)
{
	static struct fixture f;

	f = (struct fixture){ .counters = ctr_set_new() };
	f.plat = plat_new(clk_system(), f.counters, NULL);
	*state = &f;
	return 0;
}

static int
tear_down(void **state)
{
	struct fixture *f = *state;

	plat_free(f->plat);
	run_for(10);
	server_stop(&f->server);
	ctr_set_free(f->counters);
	return 0;
}

static gboolean
end_answer(gpointer data)
{
	struct peer *peer = data;
	struct fixture *f = peer->server->ctx;

	if (f->reset)
		peer_reset(peer);
	else
		peer_close(peer);
	return G_SOURCE_REMOVE;
}

static void
serve(struct peer *peer, void *ctx)
{
	struct fixture *f = ctx;

	if (f->first) {
		f->first = false;
		peer_answer(peer, 200, "", "{}");
		return;
	}
	peer_raw(peer, f->kind->text, f->len);
	if (f->whole)
		return;
	if (f->reset) /* must not overtake the bytes before it */
		g_timeout_add(1, end_answer, peer);
	else
		end_answer(peer);
}

static void
on_head(unsigned int status, SoupMessageHeaders *headers, void *ctx)
{
	struct fixture *f = ctx;

	if (f->may_end_by_close)
		target_call_may_end_by_close(f->call);
}

static void
on_data(const uint8_t *bytes, size_t len, void *ctx)
{
}

static void
on_ended(const struct err *err, void *ctx)
{
	struct fixture *f = ctx;

	f->ended = true;
	f->err = *err;
}

static const struct target_ops ops = {
	.head = on_head,
	.data = on_data,
	.ended = on_ended,
};

static void
exchange(struct fixture *f)
{
	f->ended = false;
	f->call = target_call_start(f->plat,
	    &(struct target_request){ .base = f->server.base,
		.method = "POST",
		.path = "/",
		.deadline_ms = 5000 },
	    &ops, f);
	run_until(&f->ended);
}

static bool
has_refusal(const struct fixture *f)
{
	return g_strstr_len(
		   f->kind->text, (gssize)f->len, "X-Not-Run: 1\r\n") != NULL;
}

static void
cut_each(struct fixture *f, const struct cut *kind)
{
	enum verdict verdict;

	f->kind = kind;
	for (f->len = 0; f->len < cut_max(kind); f->len++) {
		f->first = f->kept;
		if (f->kept) {
			exchange(f);
			assert_false(err_is(&f->err));
		}
		exchange(f);
		/* A reset can overtake the line that refuses. */
		verdict = f->err.verdict;
		if (!err_is(&f->err) || verdict == VERDICT_RAN ||
		    (verdict == VERDICT_NOT_RUN && !has_refusal(f)))
			fail_msg("%s, %zu bytes, reset %d, kept %d: %s %s",
			    kind->name, f->len, f->reset, f->kept,
			    verdict_name(verdict), f->err.message);
	}
}

static void
cut_all(struct fixture *f, const struct cut *kinds, size_t n)
{
	unsigned int way;
	size_t i;

	server_start(&f->server, serve, f);
	for (way = 0; way < 4; way++) {
		f->reset = (way & 1) != 0;
		f->kept = (way & 2) != 0;
		for (i = 0; i < n; i++)
			cut_each(f, &kinds[i]);
	}
}

/* Guards against an answer that broke off and is taken for a whole one. */
static void
test_no_beginning_is_an_answer(void **state)
{
	cut_all(*state, cut_kinds, CUT_KINDS);
}

/* Guards against a head that broke off between two lines and is taken for one
 * of an answer without a length, whose body is empty then. */
static void
test_no_beginning_ends_by_close(void **state)
{
	struct fixture *f = *state;

	f->may_end_by_close = true;
	cut_all(f, cut_kinds, CUT_KINDS);
}

/* Guards against a head that broke off and is taken for a whole one, as no body
 * follows it. */
static void
test_no_beginning_is_an_answer_without_body(void **state)
{
	struct fixture *f = *state;
	size_t i;

	cut_all(f, cut_empty_kinds, CUT_EMPTY_KINDS);
	f->whole = true;
	for (i = 0; i < CUT_EMPTY_KINDS; i++) {
		f->kind = &cut_empty_kinds[i];
		f->len = strlen(f->kind->text);
		exchange(f);
		assert_false(err_is(&f->err));
	}
}

#define EARLY_ROUNDS 20

/* Guards against a part of an answer that counts as whole: its target resets the
 * connection while a long request is being written. */
static void
test_reset_while_the_request_is_written(void **state)
{
	struct fixture *f = *state;
	struct early_peer peer = { .answer =
				       "HTTP/1.1 200 OK\r\n\r\nten bytes." };
	GBytes *body = g_bytes_new_take(
	    g_malloc0(EARLY_REQUEST_BYTES), EARLY_REQUEST_BYTES);
	char base[40];
	GThread *thread;
	unsigned int i;

	f->may_end_by_close = true;
	server_start(&f->server, serve, f); /* for tear_down */
	peer.listener = early_listen(base);
	for (i = 0; i < EARLY_ROUNDS; i++) {
		thread = g_thread_new("peer", early_serve, &peer);
		f->ended = false;
		f->call = target_call_start(f->plat,
		    &(struct target_request){ .base = base,
			.method = "POST",
			.path = "/",
			.body = body,
			.deadline_ms = 5000 },
		    &ops, f);
		run_until(&f->ended);
		g_thread_join(thread);
		assert_true(err_is(&f->err));
		assert_int_equal(f->err.verdict, VERDICT_MAY_HAVE_RUN);
	}
	close(peer.listener);
	g_bytes_unref(body);
}

/* Guards against a head of a faulty target that counts as that of an answer, or
 * whose odd line is left out: what remains is another answer. */
static void
test_odd_heads(void **state)
{
	struct fixture *f = *state;
	unsigned int way, bad = 0;
	struct cut kind = { 0 };
	size_t i;

	server_start(&f->server, serve, f);
	f->kind = &kind;
	for (way = 0; way < 4; way++) {
		f->whole = (way & 1) != 0;
		f->may_end_by_close = (way & 2) != 0;
		for (i = 0; i < ODD_HEADS; i++) {
			kind.text = odd_heads[i];
			f->len = strlen(kind.text);
			exchange(f);
			if (err_is(&f->err) && f->err.code != ERR_DEADLINE &&
			    f->err.verdict == VERDICT_MAY_HAVE_RUN)
				continue;
			print_message("way %u: %s\n", way, odd_heads[i]);
			bad++;
		}
	}
	assert_int_equal(bad, 0);
}

/* Sends the next byte of the answer. */
static gboolean
send_byte(gpointer data)
{
	struct peer *peer = data;
	struct fixture *f = peer->server->ctx;

	if (!peer->open || f->sent == f->len)
		return G_SOURCE_REMOVE;
	peer_raw(peer, f->kind->text + f->sent++, 1);
	return G_SOURCE_CONTINUE;
}

static void
serve_in_pieces(struct peer *peer, void *ctx)
{
	struct fixture *f = ctx;

	f->sent = 0;
	g_timeout_add(1, send_byte, peer);
}

/* Guards against a valid head that counts as odd as it arrives in pieces. */
static void
test_heads_in_pieces(void **state)
{
	struct fixture *f = *state;
	size_t i;

	server_start(&f->server, serve_in_pieces, f);
	for (i = 0; i < CUT_KINDS; i++) {
		if (cut_kinds[i].ends_by_close)
			continue;
		f->kind = &cut_kinds[i];
		f->len = strlen(f->kind->text);
		exchange(f);
		if (err_is(&f->err) && f->err.verdict != VERDICT_NOT_RUN)
			fail_msg("%s: %s", f->kind->name, f->err.message);
	}
}

/* The other direction: heads that look odd and are valid. */
static void
test_unusual_heads(void **state)
{
	static const char *const valid[] = {
		"HTTP/1.1 200 OK\r\nX-A:b\r\nContent-Length:2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nX-A: \tb \r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 200\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 200 \r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 599 Odd\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 102 Processing\r\nX-A: b\r\nX-C: d\r\n\r\n"
		"HTTP/1.1 100 Continue\r\n\r\n"
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nX-!#$%&'*+-.^_`|~9: \"\303\244\"\r\n"
		"X-A: b\r\nX-A: c\r\nX-Empty:\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 304 Not Modified\r\nContent-Length: 12\r\n\r\n",
	};
	struct fixture *f = *state;
	struct cut kind = { 0 };
	size_t i;

	server_start(&f->server, serve, f);
	f->kind = &kind;
	f->whole = true;
	for (i = 0; i < G_N_ELEMENTS(valid); i++) {
		kind.text = valid[i];
		f->len = strlen(kind.text);
		exchange(f);
		if (err_is(&f->err))
			fail_msg("%s: %s", valid[i], f->err.message);
	}
}

int
main(void)
{
#define T(f) cmocka_unit_test_setup_teardown(f, set_up, tear_down)
	const struct CMUnitTest tests[] = {
		T(test_no_beginning_is_an_answer),
		T(test_no_beginning_ends_by_close),
		T(test_no_beginning_is_an_answer_without_body),
		T(test_reset_while_the_request_is_written),
		T(test_odd_heads),
		T(test_heads_in_pieces),
		T(test_unusual_heads),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
