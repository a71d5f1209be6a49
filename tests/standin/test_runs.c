/* Tests runs at the model engine and the plain service, and the load
 * generator's validation of answers. */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <string.h>

#include "standin/caller.h"
#include "standin/engine.h"
#include "standin/test_client.h"

#define HEX16 "0123456789abcdef"
#define DIGEST HEX16 HEX16 HEX16 HEX16
#define OTHER "fedcba9876543210" HEX16 HEX16 HEX16
#define LONG_RUN 100000 /* tokens; does not end during a test */

static struct standin *
engine_with(struct engine_options options)
{
	options.loaded = "t/m:v1:" DIGEST;
	return engine_start(&options, NULL);
}

static struct standin *
quick_engine(void)
{
	struct engine_options options = ENGINE_OPTIONS_DEFAULT;

	options.step_ms = 1;
	options.keep_ms = 60000; /* exceeds any test on a busy machine */
	return engine_with(options);
}

static void
begin_chat(struct answer *a, const struct standin *s, const char *id,
    int max_tokens, bool stream)
{
	const char *const headers[] = { "X-Request-Id", id, NULL };
	char *body = g_strdup_printf(
	    "{\"model\":\"t/m\",\"max_tokens\":%d,\"stream\":%s,"
	    "\"messages\":[{\"role\":\"user\",\"content\":\"hello\"}]}",
	    max_tokens, stream ? "true" : "false");

	begin(a, s, "POST", "/v1/chat/completions", body, headers);
	g_free(body);
}

/* Returns the load generator's verdict on an answer. */
static enum outcome
outcome_of(const struct answer *a, const char *id, int max_tokens, bool stream)
{
	struct check check;
	enum outcome outcome;
	size_t len = 0;
	const char *data =
	    a->body == NULL ? "" : g_bytes_get_data(a->body, &len);

	check_init(&check, id, header(a, "X-Model-Digest"), max_tokens);
	if (stream)
		check_stream(&check, data, len);
	else
		check_body(&check, data, len);
	outcome = check_outcome(&check);
	check_clear(&check);
	return outcome;
}

static bool
log_has(const struct standin *s, const char *text)
{
	struct answer a;
	bool found;

	call(&a, s, "GET", "/admin/log", NULL, NULL);
	found = body_has(&a, text);
	answer_clear(&a);
	return found;
}

static void
wait_until_started(const struct standin *s, const char *id)
{
	char *text = g_strdup_printf("\"request_id\":\"%s\"", id);

	wait_for_text(s, "/admin/log", text);
	g_free(text);
}

/* ------------------------------------------------------------------ */
/* Model engine                                                        */
/* ------------------------------------------------------------------ */

static void
test_answers_are_complete(void **state)
{
	struct standin *s = quick_engine();
	struct answer stream, complete;

	begin_chat(&stream, s, "r1", 20, true);
	begin_chat(&complete, s, "r2", 20, false);
	wait_for(&stream.done);
	wait_for(&complete.done);
	assert_string_equal(header(&stream, "X-Model-Digest"), DIGEST);
	assert_int_equal(outcome_of(&stream, "r1", 20, true), OUTCOME_ANSWERED);
	assert_int_equal(
	    outcome_of(&complete, "r2", 20, false), OUTCOME_ANSWERED);
	assert_int_equal(
	    outcome_of(&complete, "r1", 20, false), OUTCOME_SWAPPED);
	answer_clear(&stream);
	answer_clear(&complete);
	assert_true(log_has(s,
	    "{\"request_id\":\"r2\",\"attempt\":1,\"digest\":\"" DIGEST
	    "\",\"tokens\":20,\"max_tokens\":20,\"state\":\"done\""));
	standin_free(s);
}

/* A refused request is answered as not run and is absent from the log. */
static void
test_refusals_did_not_run(void **state)
{
	static const char *const other[] = { "X-Request-Id", "r1",
		"X-Expect-Digest", OTHER, NULL };
	struct engine_options options = ENGINE_OPTIONS_DEFAULT;
	struct standin *s;
	struct answer a, b;

	options.slots = 1;
	options.max_queue = 0;
	s = engine_with(options);
	call(&a, s, "POST", "/v1/chat/completions", "{}", other);
	assert_int_equal(a.status, 409);
	assert_string_equal(header(&a, "X-Not-Run"), "1");
	answer_clear(&a);
	begin_chat(&a, s, "r2", LONG_RUN, false);
	wait_until_started(s, "r2");
	begin_chat(&b, s, "r3", 1, false);
	wait_for(&b.done);
	assert_int_equal(b.status, 503);
	assert_string_equal(header(&b, "X-Not-Run"), "1");
	answer_clear(&b);
	expect(s, "POST", "/v1/cancel", "{\"request_id\":\"r2\"}", 200, NULL);
	wait_for(&a.done);
	answer_clear(&a);
	assert_false(log_has(s, "\"r1\""));
	assert_false(log_has(s, "\"r3\""));
	standin_free(s);
}

/*
 * The connection of a stream fails midway. The engine continues the run for
 * keep_ms; a client that resumes from the first missing token receives each
 * remaining token once, in order, to the end.
 */
static void
test_stream_resumes(void **state)
{
	struct standin *s = quick_engine();
	struct answer broken, rest;

	begin_chat(&broken, s, "r1", 300, true);
	wait_until_started(s, "r1");
	expect(
	    s, "POST", "/admin/faults", "{\"drop_streams\":true}", 200, NULL);
	wait_for(&broken.done);
	/* libsoup treats a truncated chunked body as complete. */
	assert_int_equal(outcome_of(&broken, "r1", 300, true), OUTCOME_CUT);
	answer_clear(&broken);
	run_for_ms(30); /* many steps, none of which ends the run */
	call(&rest, s, "GET", "/v1/streams/r1?from=0", NULL, NULL);
	assert_int_equal(outcome_of(&rest, "r1", 300, true), OUTCOME_ANSWERED);
	answer_clear(&rest);
	call(&rest, s, "GET", "/v1/streams/r1?from=299", NULL, NULL);
	assert_true(body_has(&rest, ":r1:299 "));
	assert_false(body_has(&rest, ":r1:298 "));
	assert_int_equal(outcome_of(&rest, "r1", 300, true), OUTCOME_CUT);
	answer_clear(&rest);
	expect(s, "GET", "/v1/streams/none?from=0", NULL, 404, NULL);
	standin_free(s);
}

/* The old connection is stalled but not closed; the connection that resumes
 * takes over and is the only one to receive the rest. */
static void
test_resume_takes_over(void **state)
{
	struct standin *s = quick_engine();
	struct answer stalled, rest;

	begin_chat(&stalled, s, "r1", 300, true);
	wait_until_started(s, "r1");
	call(&rest, s, "GET", "/v1/streams/r1?from=0", NULL, NULL);
	wait_for(&stalled.done);
	assert_int_equal(outcome_of(&rest, "r1", 300, true), OUTCOME_ANSWERED);
	assert_int_equal(outcome_of(&stalled, "r1", 300, true), OUTCOME_CUT);
	answer_clear(&rest);
	answer_clear(&stalled);
	standin_free(s);
}

/*
 * The caller of a request that waits for a slot disconnects. If the request
 * were started anyway, it would run for no caller, and a retry at another
 * engine would make it run twice.
 */
static void
test_waiting_run_is_dropped_with_its_caller(void **state)
{
	struct engine_options options = ENGINE_OPTIONS_DEFAULT;
	struct answer first, disconnected;
	struct standin *s;

	options.slots = 1;
	options.step_ms = 1;
	s = engine_with(options);
	begin_chat(&first, s, "r1", LONG_RUN, true);
	wait_until_started(s, "r1");
	begin_chat(&disconnected, s, "r2", 1, true);
	run_for_ms(30);
	answer_disconnect(&disconnected);
	run_for_ms(30);
	expect(s, "POST", "/v1/cancel", "{\"request_id\":\"r1\"}", 200,
	    "{\"cancelled\":1}");
	run_for_ms(30);
	assert_false(log_has(s, "\"r2\""));
	wait_for(&first.done);
	answer_clear(&first);
	answer_clear(&disconnected);
	standin_free(s);
}

static void
free_batch(void *batch)
{
	batch_free(batch);
}

/*
 * A request that requires one version waits while the engine loads another.
 * The digest matched when the request arrived; if it were not checked again,
 * the wrong version would answer. The request is refused as not run.
 */
static void
test_waiting_run_checks_the_version_again(void **state)
{
	static const char *const expects[] = { "X-Request-Id", "r2",
		"X-Expect-Digest", DIGEST, NULL };
	const struct weights fresh = { .digest = OTHER };
	struct engine_options options = ENGINE_OPTIONS_DEFAULT;
	struct weights loaded = { .digest = DIGEST };
	struct cache *cache;
	struct batch *batch;
	SoupServer *server = soup_server_new(NULL, NULL);
	struct standin *s;
	struct answer first, second;

	options.slots = 1;
	options.step_ms = 1;
	options.clock = clk_system();
	cache = cache_new(&options);
	batch = batch_new(&options, &loaded, cache);
	soup_server_add_handler(
	    server, "/v1/chat/completions", batch_on_chat, batch, NULL);
	s = standin_new(server, 0, batch, free_batch, NULL);
	begin_chat(&first, s, "r1", 200, true);
	run_for_ms(30);
	begin(&second, s, "POST", "/v1/chat/completions", "{}", expects);
	run_for_ms(30);
	loaded = fresh;
	wait_for(&second.done);
	assert_int_equal(second.status, 409);
	assert_string_equal(header(&second, "X-Not-Run"), "1");
	wait_for(&first.done);
	/* A run that started before the change ends with its first version. */
	assert_int_equal(outcome_of(&first, "r1", 200, true), OUTCOME_ANSWERED);
	answer_clear(&first);
	answer_clear(&second);
	standin_free(s);
	cache_free(cache);
}

/* A cancelled stream ends without `[DONE]`, so that it does not look
 * complete. */
static void
test_cancel_frees_the_slot(void **state)
{
	struct engine_options options = ENGINE_OPTIONS_DEFAULT;
	struct answer first, second;
	struct standin *s;

	options.slots = 1;
	options.step_ms = 1;
	s = engine_with(options);
	begin_chat(&first, s, "r1", LONG_RUN, true);
	wait_until_started(s, "r1");
	begin_chat(&second, s, "r2", 3, true);
	expect(s, "POST", "/v1/cancel", "{\"request_id\":\"r1\",\"attempt\":2}",
	    200, "{\"cancelled\":0}");
	expect(s, "POST", "/v1/cancel", "{\"request_id\":\"r1\"}", 200,
	    "{\"cancelled\":1}");
	wait_for(&first.done);
	assert_int_equal(first.status, 200);
	assert_int_equal(outcome_of(&first, "r1", LONG_RUN, true), OUTCOME_CUT);
	assert_false(body_has(&first, "[DONE]"));
	wait_for(&second.done);
	assert_int_equal(outcome_of(&second, "r2", 3, true), OUTCOME_ANSWERED);
	answer_clear(&first);
	answer_clear(&second);
	assert_true(log_has(s, "\"state\":\"cancelled\""));
	standin_free(s);
}

/* A run whose caller disconnected occupies its slot for keep_ms, and is then
 * cancelled. */
static void
test_lost_run_is_kept_then_cancelled(void **state)
{
	struct engine_options options = ENGINE_OPTIONS_DEFAULT;
	struct clk_fake fake;
	struct answer a;
	struct standin *s;

	options.step_ms = 1;
	options.keep_ms = 50;
	options.clock = &fake.clock;
	clk_fake_init(&fake, 0);
	s = engine_with(options);
	begin_chat(&a, s, "r1", LONG_RUN, true);
	wait_until_started(s, "r1");
	expect(
	    s, "POST", "/admin/faults", "{\"drop_streams\":true}", 200, NULL);
	clk_fake_advance_ms(&fake, 49);
	run_for_ms(30);
	assert_true(log_has(s, "\"state\":\"running\""));
	clk_fake_advance_ms(&fake, 1);
	wait_for_text(s, "/admin/log", "\"state\":\"cancelled\"");
	expect(s, "GET", "/v1/streams/r1?from=0", NULL, 404, NULL);
	wait_for(&a.done);
	answer_clear(&a);
	standin_free(s);
}

static void
test_prefix_is_fnv(void **state)
{
	char longer[PREFIX_BYTES + 1];

	/* Published test vector of 64-bit FNV-1a. */
	assert_true(cache_prefix("foobar", 6) == 0x85944171f73967e8ULL);
	memset(longer, 'a', sizeof(longer));
	assert_true(cache_prefix(longer, PREFIX_BYTES) ==
	    cache_prefix(longer, PREFIX_BYTES + 1));
}

/* Cache events are delayed and every third is omitted. The sequence numbers
 * show the gap; the omitted event may be the one that a client needs. */
static void
test_cache_events_are_late_with_gaps(void **state)
{
	struct clk_fake fake;
	const struct engine_options options = { .cache_tokens = 10,
		.event_lag_ms = 100,
		.event_gap = 3,
		.clock = &fake.clock };
	struct cache *c;
	JsonBuilder *b;
	char *text;
	size_t len;

	clk_fake_init(&fake, 0);
	c = cache_new(&options);
	assert_false(cache_lookup(c, 1));
	cache_add(c, 1, 6); /* event 1 */
	assert_true(cache_lookup(c, 1));
	cache_add(c, 2, 6); /* evicts 1 (event 2); event 3 is omitted */
	assert_false(cache_lookup(c, 1));
	clk_fake_advance_ms(&fake, 99);
	b = json_begin();
	cache_put_events(c, 0, b);
	text = json_end(b, &len);
	assert_string_equal(text, "{\"events\":[],\"next\":0}");
	g_free(text);
	clk_fake_advance_ms(&fake, 1);
	b = json_begin();
	cache_put_events(c, 1, b);
	text = json_end(b, &len);
	assert_string_equal(text,
	    "{\"events\":[{\"seq\":2,\"prefix\":\"0000000000000001\","
	    "\"present\":false}],\"next\":2}");
	g_free(text);
	cache_free(c);
}

/* ------------------------------------------------------------------ */
/* Plain service                                                       */
/* ------------------------------------------------------------------ */

/*
 * Two calls end without an answer: one connection is dropped before the run,
 * one after it. The client cannot tell them apart; only the log shows that the
 * second call took effect.
 */
static void
test_service_drops(void **state)
{
	static const char *const before[] = { "X-Request-Id", "r1", NULL };
	static const char *const after[] = { "X-Request-Id", "r2",
		"Idempotency-Key", "k2", "X-Attempt", "3", NULL };
	const struct service_options options = { .name = "notes" };
	struct standin *s = service_start(&options, NULL);
	struct answer a;

	expect(s, "POST", "/admin/faults",
	    "{\"drop_before_run\":1,\"drop_after_run\":1}", 200, NULL);
	call(&a, s, "POST", "/notes/1", "x", before);
	assert_int_equal(a.status, 0);
	answer_clear(&a);
	call(&a, s, "POST", "/notes/1", "x", after);
	assert_int_equal(a.status, 0);
	answer_clear(&a);
	expect(s, "POST", "/admin/faults", "{\"refuse\":1}", 200, NULL);
	call(&a, s, "POST", "/notes/1", "x", before);
	assert_int_equal(a.status, 503);
	assert_string_equal(header(&a, "X-Not-Run"), "1");
	answer_clear(&a);
	expect(s, "GET", "/admin/log", NULL, 200,
	    "{\"runs\":[{\"request_id\":\"r2\",\"attempt\":3,"
	    "\"method\":\"POST\",\"path\":\"/notes/1\",\"key\":\"k2\"}]}");
	expect(s, "PUT", "/other", "abc", 200,
	    "{\"service\":\"notes\",\"path\":\"/other\",\"run\":2,"
	    "\"body_sha256\":\"ba7816bf8f01cfea414140de5dae2223"
	    "b00361a396177a9cb410ff61f20015ad\"}");
	standin_free(s);
}

/* ------------------------------------------------------------------ */
/* Validation of answers                                               */
/* ------------------------------------------------------------------ */

/* Checks a stream of space-separated tokens, where `D` and `E` stand for two
 * digests, and returns the outcome. */
static enum outcome
outcome_of_tokens(const char *tokens, const char *last)
{
	char **items = g_strsplit(tokens, " ", -1), *event;
	struct check check;
	enum outcome outcome;
	size_t i;

	check_init(&check, "r", DIGEST, 3);
	for (i = 0; items[i] != NULL; i++) {
		event = g_strdup_printf("data: {\"id\":\"r\",\"choices\":[{"
					"\"delta\":{\"content\":\"%s%s \"}}]}"
					"\n\n",
		    items[i][0] == 'D' ? "01234567" : "fedcba98", items[i] + 1);
		check_stream(&check, event, 10); /* split into two reads */
		check_stream(&check, event + 10, strlen(event) - 10);
		g_free(event);
	}
	check_stream(&check, last, strlen(last));
	outcome = check_outcome(&check);
	check_clear(&check);
	g_strfreev(items);
	return outcome;
}

static void
test_check_tells_wrong_answers(void **state)
{
	static const char done[] = "data: [DONE]\n\n";

	assert_int_equal(
	    outcome_of_tokens("D:r:0 D:r:1 D:r:2", done), OUTCOME_ANSWERED);
	assert_int_equal(outcome_of_tokens("D:r:0 D:r:1", done), OUTCOME_CUT);
	assert_int_equal(outcome_of_tokens("D:r:0 D:r:2", done), OUTCOME_CUT);
	assert_int_equal(
	    outcome_of_tokens("D:r:0 D:r:1 D:r:2", ""), OUTCOME_CUT);
	assert_int_equal(
	    outcome_of_tokens("D:r:0", "event: error\ndata: {}\n\n"),
	    OUTCOME_CUT);
	assert_int_equal(
	    outcome_of_tokens("D:r:0 E:r:1 D:r:2", done), OUTCOME_MIXED);
	assert_int_equal(
	    outcome_of_tokens("E:r:0 E:r:1 E:r:2", done), OUTCOME_MIXED);
	assert_int_equal(
	    outcome_of_tokens("D:r:0 D:q:1 D:r:2", done), OUTCOME_SWAPPED);
	assert_int_equal(outcome_of_tokens("D:r:0 D:r:1 D:r:1 D:r:2", done),
	    OUTCOME_DUPLICATED);
	assert_int_equal(outcome_of_tokens("D:r:0 D:r:1 D:r:2 D:r:3", done),
	    OUTCOME_DUPLICATED);
}

static void
test_histogram(void **state)
{
	struct hist *h = g_new0(struct hist, 1);
	int64_t i;

	assert_true(hist_at(h, 500) == 0);
	for (i = 1; i <= 100000; i++)
		hist_add(h, i);
	assert_in_range(hist_at(h, 500), 50000, 51563);
	assert_in_range(hist_at(h, 990), 99000, 100000);
	assert_true(hist_at(h, 1000) == 100000);
	g_free(h);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(
		    test_answers_are_complete, client_setup, client_teardown),
		cmocka_unit_test_setup_teardown(
		    test_refusals_did_not_run, client_setup, client_teardown),
		cmocka_unit_test_setup_teardown(
		    test_stream_resumes, client_setup, client_teardown),
		cmocka_unit_test_setup_teardown(
		    test_resume_takes_over, client_setup, client_teardown),
		cmocka_unit_test_setup_teardown(
		    test_waiting_run_is_dropped_with_its_caller, client_setup,
		    client_teardown),
		cmocka_unit_test_setup_teardown(
		    test_waiting_run_checks_the_version_again, client_setup,
		    client_teardown),
		cmocka_unit_test_setup_teardown(
		    test_cancel_frees_the_slot, client_setup, client_teardown),
		cmocka_unit_test_setup_teardown(
		    test_lost_run_is_kept_then_cancelled, client_setup,
		    client_teardown),
		cmocka_unit_test(test_prefix_is_fnv),
		cmocka_unit_test(test_cache_events_are_late_with_gaps),
		cmocka_unit_test_setup_teardown(
		    test_service_drops, client_setup, client_teardown),
		cmocka_unit_test(test_check_tells_wrong_answers),
		cmocka_unit_test(test_histogram),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
