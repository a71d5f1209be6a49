/* Exchanges with a target: streaming, pause, time limits, and the verdict of
 * each outcome. */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include "platform/platform_internal.h"
#include "server.h"

struct fixture {
	struct server server;
	struct ctr_set *counters;
	struct plat *plat;
	struct target_call *call;
	unsigned int status;
	GString *data;
	bool ended;
	struct err err;
	bool cancel_in_head, may_end_by_close;
};

static void
on_head(unsigned int status, SoupMessageHeaders *headers, void *ctx)
{
	struct fixture *f = ctx;

	f->status = status;
	if (f->cancel_in_head)
		target_call_cancel(f->call);
	else if (f->may_end_by_close)
		target_call_may_end_by_close(f->call);
}

static void
on_data(const uint8_t *bytes, size_t len, void *ctx)
{
	struct fixture *f = ctx;

	g_string_append_len(f->data, (const char *)bytes, (gssize)len);
}

static void
on_ended(const struct err *err, void *ctx)
{
	struct fixture *f = ctx;

	assert_false(f->ended);
	f->ended = true;
	f->err = *err;
}

static const struct target_ops ops = {
	.head = on_head,
	.data = on_data,
	.ended = on_ended,
};

static void
serve(struct peer *peer, void *ctx)
{
	const char *path = peer->path;

	if (strcmp(path, "/close") == 0) {
		peer_close(peer);
	} else if (strcmp(path, "/chunks") == 0) {
		peer_text(peer,
		    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
		    "3\r\none\r\n3\r\ntwo\r\n0\r\n\r\n");
	} else if (strcmp(path, "/stream") == 0) {
		peer_text(peer,
		    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
		    "3\r\none\r\n");
	} else if (strcmp(path, "/cut") == 0) {
		peer_text(
		    peer, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf");
		peer_close(peer);
	} else if (strcmp(path, "/cut-close") == 0) {
		peer_text(peer,
		    "HTTP/1.1 200 OK\r\nConnection: close\r\n"
		    "Content-Length: 9\r\n\r\nhalf");
		peer_close(peer);
	} else if (strcmp(path, "/cut-chunk") == 0) {
		peer_text(peer,
		    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
		    "3\r\non");
		peer_close(peer);
	} else if (strcmp(path, "/cut-chunks") == 0) {
		peer_text(peer,
		    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
		    "3\r\none\r\n");
		peer_close(peer);
	} else if (strcmp(path, "/unframed") == 0) {
		peer_text(peer, "HTTP/1.1 200 OK\r\n\r\nall or half");
		peer_close(peer);
	} else if (strcmp(path, "/unframed-reset") == 0) {
		peer_text(peer, "HTTP/1.1 200 OK\r\n\r\nhalf");
		peer_reset(peer);
	} else if (strcmp(path, "/refuse") == 0) {
		peer_answer(
		    peer, 503, "X-Not-Run: 1\r\nRetry-After: 2\r\n", "full");
	} else if (strcmp(path, "/fail") == 0) {
		peer_answer(peer, 503, "", "down");
	} else if (strcmp(path, "/redirect") == 0) {
		peer_answer(peer, 302, "Location: /ok\r\n", "");
	} else if (strcmp(path, "/login") == 0) {
		peer_answer(
		    peer, 401, "WWW-Authenticate: Basic realm=\"x\"\r\n", "");
	} else if (strcmp(path, "/zip") == 0) {
		peer_answer(
		    peer, 200, "Content-Encoding: gzip\r\n", "not gzip");
	} else if (strcmp(path, "/head") == 0) {
		peer_answer(peer, 200, "", peer->head);
	} else if (strcmp(path, "/hang") != 0) {
		peer_answer(peer, 200, "", peer->body);
	}
}

static int
setup(void **state)
{
	struct fixture *f = g_new0(struct fixture, 1);

	f->counters = ctr_set_new();
	f->plat = plat_new(clk_system(), f->counters, NULL);
	f->data = g_string_new(NULL);
	server_start(&f->server, serve, f);
	*state = f;
	return 0;
}

static int
teardown(void **state)
{
	struct fixture *f = *state;

	plat_free(f->plat);
	run_for(10);
	server_stop(&f->server);
	ctr_set_free(f->counters);
	g_string_free(f->data, TRUE);
	g_free(f);
	return 0;
}

static void
start(struct fixture *f, struct target_request request)
{
	GBytes *body = g_bytes_new_static("hello", 5);

	if (request.base == NULL)
		request.base = f->server.base;
	if (request.method == NULL)
		request.method = "POST";
	if (strcmp(request.method, "POST") == 0)
		request.body = body;
	f->ended = false;
	g_string_truncate(f->data, 0);
	f->call = target_call_start(f->plat, &request, &ops, f);
	assert_false(f->ended);
	g_bytes_unref(body);
}

static void
exchange(struct fixture *f, const char *method, const char *path)
{
	start(f, (struct target_request){ .method = method, .path = path });
	run_until(&f->ended);
}

static void
assert_result(const struct fixture *f, enum err_code code, enum verdict verdict)
{
	assert_string_equal(err_code_name(f->err.code), err_code_name(code));
	assert_string_equal(
	    verdict_name(f->err.verdict), verdict_name(verdict));
}

static void
test_complete_responses(void **state)
{
	struct fixture *f = *state;

	exchange(f, "POST", "/echo");
	assert_result(f, ERR_NONE, VERDICT_RAN);
	assert_int_equal(f->status, 200);
	assert_string_equal(f->data->str, "hello");
	exchange(f, "GET", "/chunks");
	assert_result(f, ERR_NONE, VERDICT_RAN);
	assert_string_equal(f->data->str, "onetwo");
}

/* A response of any status is passed on unchanged: redirects, authentication
 * challenges, content encodings and errors are not acted on. */
static void
test_responses_are_passed_through(void **state)
{
	static const struct {
		const char *path;
		unsigned int status;
	} rows[] = { { "/fail", 503 }, { "/redirect", 302 }, { "/login", 401 },
		{ "/zip", 200 } };
	struct fixture *f = *state;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		exchange(f, "GET", rows[i].path);
		assert_result(f, ERR_NONE, VERDICT_RAN);
		assert_int_equal(f->status, rows[i].status);
		assert_int_equal(f->server.requests, i + 1);
	}
	assert_string_equal(f->data->str, "not gzip");
	exchange(f, "GET", "/head");
	assert_null(strcasestr(f->data->str, "Accept-Encoding"));
}

/* With credentials in the URL, libsoup by default repeats the request after a
 * 401. */
static void
test_no_retry_with_credentials(void **state)
{
	struct fixture *f = *state;
	char *base = g_strdup_printf("http://u:p@%s", f->server.base + 7);

	start(f, (struct target_request){ .base = base, .path = "/login" });
	run_until(&f->ended);
	assert_result(f, ERR_NONE, VERDICT_RAN);
	assert_int_equal(f->server.requests, 1);
	g_free(base);
}

/*
 * No process listens at the address, so no byte of the request was sent. With
 * the verdict NOT_RUN, the caller can safely repeat even an unsafe request
 * elsewhere.
 */
static void
test_connection_refused_is_not_run(void **state)
{
	struct fixture *f = *state;
	char base[40];

	closed_base(base);
	start(f, (struct target_request){ .base = base, .path = "/" });
	run_until(&f->ended);
	assert_result(f, ERR_UNAVAILABLE, VERDICT_NOT_RUN);
	start(f, (struct target_request){ .base = "nonsense", .path = "/" });
	run_until(&f->ended);
	assert_result(f, ERR_INVALID, VERDICT_NOT_RUN);
}

static void
test_rejection_by_target_is_not_run(void **state)
{
	struct fixture *f = *state;

	exchange(f, "POST", "/refuse");
	assert_result(f, ERR_UNAVAILABLE, VERDICT_NOT_RUN);
	assert_int_equal(f->err.retry_after_ms, 2000);
	assert_int_equal(f->status, 503);
	assert_string_equal(f->data->str, "full");
}

/*
 * The target terminates within a response, or ends it in a way that does not
 * distinguish a complete response from a truncated one. The caller must get an
 * error, never a truncated response that seems complete. libsoup by default
 * treats as complete both `/cut-close` and `/cut-chunks`, a stream whose target
 * terminates between two tokens.
 */
static void
test_truncated_responses_may_have_run(void **state)
{
	static const char *const paths[] = { "/cut", "/cut-close",
		"/cut-chunks", "/cut-chunk", "/unframed" };
	struct fixture *f = *state;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(paths); i++) {
		exchange(f, "POST", paths[i]);
		assert_result(f, ERR_UNAVAILABLE, VERDICT_MAY_HAVE_RUN);
		exchange(f, "GET", paths[i]);
		assert_result(f, ERR_UNAVAILABLE, VERDICT_MAY_HAVE_RUN);
	}
}

/* Guards against a plain service whose answers without framing all fail, and
 * against a truncated answer that passes for one of these. */
static void
test_responses_that_end_by_close(void **state)
{
	static const char *const truncated[] = { "/cut", "/cut-close",
		"/cut-chunks", "/cut-chunk", "/unframed-reset" };
	struct fixture *f = *state;
	size_t i;

	f->may_end_by_close = true;
	for (i = 0; i < G_N_ELEMENTS(truncated); i++) {
		exchange(f, "GET", truncated[i]);
		assert_result(f, ERR_UNAVAILABLE, VERDICT_MAY_HAVE_RUN);
	}
	exchange(f, "POST", "/unframed");
	assert_result(f, ERR_NONE, VERDICT_RAN);
	assert_string_equal(f->data->str, "all or half");
	exchange(f, "GET", "/echo");
	assert_result(f, ERR_NONE, VERDICT_RAN);
}

/*
 * A target reads a request on a reused connection and terminates before its
 * response. libsoup by default resends a GET, PUT or DELETE in this case, and
 * the target would run it twice in one attempt. The verdict must be
 * MAY_HAVE_RUN, and the target must receive the request once.
 */
static void
test_no_request_is_resent(void **state)
{
	static const char *const methods[] = { "GET", "PUT", "DELETE", "HEAD",
		"OPTIONS", "POST", "PATCH" };
	struct fixture *f = *state;
	unsigned int before;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(methods); i++) {
		exchange(f, "GET", "/warm");
		before = f->server.requests;
		exchange(f, methods[i], "/close");
		assert_result(f, ERR_UNAVAILABLE, VERDICT_MAY_HAVE_RUN);
		run_for(20);
		assert_int_equal(f->server.requests, before + 1);
	}
}

/* One connection per request would cost a round trip each, and many at once
 * overflow the accept queue of a target. */
static void
test_connections_are_reused(void **state)
{
	struct fixture *f = *state;

	exchange(f, "POST", "/echo");
	exchange(f, "GET", "/chunks");
	exchange(f, "POST", "/chunks");
	assert_int_equal(f->server.conns, 1);
	start(f,
	    (struct target_request){ .path = "/echo", .new_connection = true });
	run_until(&f->ended);
	assert_result(f, ERR_NONE, VERDICT_RAN);
	run_for(20);
	assert_int_equal(f->server.conns, 2);
	assert_int_equal(f->server.hangups, 1);
}

/*
 * Some hundred streams are open to one target. In a single libsoup session, the
 * work for each exchange grows with their number, and the main loop falls
 * behind. The streams are distributed over pools, and a pool is used again once
 * it has room.
 */
static void
test_streams_are_distributed(void **state)
{
	struct target_call *calls[3 * PLAT_POOL_FILL];
	struct fixture *f = *state;
	struct plat_pool *first = plat_pool(f->plat, f->server.base);
	unsigned int running = 0;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(calls); i++) {
		start(f, (struct target_request){ .path = "/hang" });
		calls[i] = f->call;
	}
	for (i = 0; i < PLAT_POOLS; i++) {
		assert_true(f->plat->pools[i].running <= PLAT_POOL_FILL);
		running += f->plat->pools[i].running;
	}
	assert_int_equal(running, G_N_ELEMENTS(calls));
	assert_ptr_not_equal(plat_pool(f->plat, f->server.base), first);
	for (i = 0; i < G_N_ELEMENTS(calls); i++)
		target_call_cancel(calls[i]);
	assert_int_equal(first->running, 0);
	assert_ptr_equal(plat_pool(f->plat, f->server.base), first);
}

static void
test_deadline(void **state)
{
	struct fixture *f = *state;

	start(f, (struct target_request){ .path = "/hang", .deadline_ms = 30 });
	run_until(&f->ended);
	assert_result(f, ERR_DEADLINE, VERDICT_MAY_HAVE_RUN);
	start(
	    f, (struct target_request){ .path = "/stream", .deadline_ms = 60 });
	run_until(&f->ended);
	assert_result(f, ERR_DEADLINE, VERDICT_MAY_HAVE_RUN);
	assert_string_equal(f->data->str, "one");
	run_for(20);
	assert_int_equal(f->server.hangups, 2);
}

/*
 * All connections are in use, and the deadline passes before one is free. The
 * call ends at once with NOT_RUN. Neither this request nor a cancelled one is
 * sent later, when a connection becomes free.
 */
static void
test_deadline_before_a_connection(void **state)
{
	struct fixture *f = *state;
	struct target_call *hanging;

	plat_free(f->plat);
	f->plat = plat_new_bounded(clk_system(), f->counters, NULL, 1);
	start(f, (struct target_request){ .path = "/hang" });
	hanging = f->call;
	run_for(20);
	start(f, (struct target_request){ .path = "/echo", .deadline_ms = 50 });
	run_until(&f->ended);
	assert_result(f, ERR_DEADLINE, VERDICT_NOT_RUN);
	start(f, (struct target_request){ .path = "/echo" });
	target_call_cancel(f->call);
	target_call_cancel(hanging);
	run_for(50);
	assert_int_equal(f->server.requests, 1);
}

/*
 * The connection stalls without closing, and the caller would wait for the full
 * deadline. The exchange ends after the stall limit, both before the response
 * headers and within the body, and the connection is closed.
 */
static void
test_stall(void **state)
{
	static const char *const paths[] = { "/hang", "/stream" };
	struct fixture *f = *state;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(paths); i++) {
		start(f,
		    (struct target_request){ .path = paths[i],
			.stall_ms = 40,
			.deadline_ms = 60000 });
		run_until(&f->ended);
		assert_result(f, ERR_UNAVAILABLE, VERDICT_MAY_HAVE_RUN);
	}
	assert_string_equal(f->data->str, "one");
	run_for(20);
	assert_int_equal(f->server.hangups, 2);
}

/* Sends bytes on the last connection. */
static void
send_last(struct fixture *f, const char *text)
{
	peer_text(
	    g_ptr_array_index(f->server.peers, f->server.peers->len - 1), text);
}

/* Answers the hanging request of the last connection, or the rest of its
 * stream, while the process is held up for longer than the time limit. */
static void
arrive_during_hold_up(struct fixture *f, const char *text)
{
	run_for(10);
	send_last(f, text);
	g_usleep(150 * 1000);
	run_until(&f->ended);
}

/*
 * The process was held up, and a time limit expires before what has arrived in
 * time is read. The timer must not end the exchange then, before the response
 * headers or within the body.
 */
static void
test_input_before_timers(void **state)
{
	static const struct target_request limits[] = {
		{ .stall_ms = 100 },
		{ .deadline_ms = 100 },
		{ .stall_ms = 100, .deadline_ms = 120 },
	};
	struct fixture *f = *state;
	struct target_request request;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(limits); i++) {
		request = limits[i];
		request.path = "/hang";
		start(f, request);
		arrive_during_hold_up(
		    f, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\none");
		assert_result(f, ERR_NONE, VERDICT_RAN);
		assert_string_equal(f->data->str, "one");
		request.path = "/stream";
		start(f, request);
		arrive_during_hold_up(f, "3\r\ntwo\r\n0\r\n\r\n");
		assert_result(f, ERR_NONE, VERDICT_RAN);
		assert_string_equal(f->data->str, "onetwo");
	}
}

static gboolean
send_rest(gpointer data)
{
	send_last(data, "ne");
	return G_SOURCE_REMOVE;
}

/* Guards against a deadline that ends the exchange while the rest of a response
 * arrives, which the target could not send while the process was held up. */
static void
test_rest_after_a_hold_up(void **state)
{
	struct fixture *f = *state;

	start(
	    f, (struct target_request){ .path = "/hang", .deadline_ms = 100 });
	run_for(10);
	send_last(f, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\no");
	g_usleep(500 * 1000);
	g_timeout_add(3 * CLK_READ_MS, send_rest, f);
	run_until(&f->ended);
	assert_result(f, ERR_NONE, VERDICT_RAN);
	assert_string_equal(f->data->str, "one");
}

/* The process was held up, but nothing has arrived: the time limits hold. */
static void
test_timers_without_input(void **state)
{
	struct fixture *f = *state;
	int64_t from_us;

	start(f, (struct target_request){ .path = "/hang", .stall_ms = 100 });
	run_for(10);
	g_usleep(150 * 1000);
	from_us = g_get_monotonic_time();
	run_until(&f->ended);
	assert_result(f, ERR_UNAVAILABLE, VERDICT_MAY_HAVE_RUN);
	assert_true(g_get_monotonic_time() - from_us < 5 * G_USEC_PER_SEC);
	start(
	    f, (struct target_request){ .path = "/hang", .deadline_ms = 100 });
	run_for(10);
	g_usleep(150 * 1000);
	run_until(&f->ended);
	assert_result(f, ERR_DEADLINE, VERDICT_MAY_HAVE_RUN);
}

/*
 * A slow caller pauses its stream. The time without reads is not caused by the
 * target and is no stall; the deadline still applies.
 */
static void
test_pause_is_not_a_stall(void **state)
{
	struct fixture *f = *state;

	start(f, (struct target_request){ .path = "/chunks", .stall_ms = 20 });
	target_call_pause(f->call, true);
	run_for(100);
	assert_false(f->ended);
	assert_int_equal(f->status, 200);
	assert_int_equal(f->data->len, 0);
	target_call_pause(f->call, false);
	run_until(&f->ended);
	assert_result(f, ERR_NONE, VERDICT_RAN);
	assert_string_equal(f->data->str, "onetwo");
	start(
	    f, (struct target_request){ .path = "/chunks", .deadline_ms = 40 });
	target_call_pause(f->call, true);
	run_until(&f->ended);
	assert_result(f, ERR_DEADLINE, VERDICT_MAY_HAVE_RUN);
}

/*
 * The caller disconnects. The target has to see the connection close, or its
 * slot keeps working on a response that no one reads. libsoup by default reads
 * the response to its end.
 */
static void
test_cancel_closes_the_connection(void **state)
{
	static const char *const paths[] = { "/hang", "/stream" };
	struct fixture *f = *state;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(paths); i++) {
		start(f, (struct target_request){ .path = paths[i] });
		run_for(50);
		target_call_cancel(f->call);
		run_for(50);
		assert_false(f->ended);
		assert_int_equal(f->server.hangups, i + 1);
	}
	start(f, (struct target_request){ .path = "/stream" });
	target_call_pause(f->call, true);
	run_for(50);
	target_call_cancel(f->call);
	run_for(50);
	assert_int_equal(f->server.hangups, 3);
	f->cancel_in_head = true;
	start(f, (struct target_request){ .path = "/stream" });
	run_for(50);
	assert_int_equal(f->server.hangups, 4);
	assert_false(f->ended);
}

/* Calls that are running when the process stops end once, with a verdict. */
static void
test_session_closed(void **state)
{
	struct fixture *f = *state;

	start(f, (struct target_request){ .path = "/hang" });
	run_for(50);
	plat_free(f->plat);
	f->plat = NULL;
	assert_true(f->ended);
	assert_result(f, ERR_CANCELLED, VERDICT_MAY_HAVE_RUN);
	run_for(50);
	assert_int_equal(f->server.hangups, 1);
}

/*
 * Headers that belong to the caller's connection would break the connection to
 * the target: `Expect` delays the body, and an unrelated Content-Length
 * truncates it.
 */
static void
test_hop_headers_are_removed(void **state)
{
	static const char *const headers[] = { "X-Request-Id", "r1",
		"Content-Length", "999", "Transfer-Encoding", "chunked",
		"Upgrade", "websocket", "Keep-Alive", "timeout=1", NULL };
	struct fixture *f = *state;

	start(
	    f, (struct target_request){ .path = "/head", .headers = headers });
	run_until(&f->ended);
	assert_result(f, ERR_NONE, VERDICT_RAN);
	assert_non_null(strstr(f->data->str, "X-Request-Id: r1\r\n"));
	assert_non_null(strstr(f->data->str, "Content-Length: 5\r\n"));
	assert_null(strstr(f->data->str, "websocket"));
	assert_null(strstr(f->data->str, "timeout"));
}

#define SERVED(test) cmocka_unit_test_setup_teardown(test, setup, teardown)

int
main(void)
{
	const struct CMUnitTest tests[] = {
		SERVED(test_complete_responses),
		SERVED(test_responses_are_passed_through),
		SERVED(test_no_retry_with_credentials),
		SERVED(test_connection_refused_is_not_run),
		SERVED(test_rejection_by_target_is_not_run),
		SERVED(test_truncated_responses_may_have_run),
		SERVED(test_responses_that_end_by_close),
		SERVED(test_no_request_is_resent),
		SERVED(test_connections_are_reused),
		SERVED(test_streams_are_distributed),
		SERVED(test_deadline),
		SERVED(test_deadline_before_a_connection),
		SERVED(test_stall),
		SERVED(test_input_before_timers),
		SERVED(test_rest_after_a_hold_up),
		SERVED(test_timers_without_input),
		SERVED(test_pause_is_not_a_stall),
		SERVED(test_cancel_closes_the_connection),
		SERVED(test_session_closed),
		SERVED(test_hop_headers_are_removed),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
