/* Parsing of HTTP messages and rejection of invalid or ambiguous ones. */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <glib.h>
#include <string.h>

#include "common/common.h"
#include "http/parse.h"

static GString *body;

static void
on_body(const char *data, size_t len, void *ctx)
{
	g_string_append_len(body, data, (gssize)len);
}

static int
set_up(void **state)
{
	body = g_string_new(NULL);
	return 0;
}

static int
tear_down(void **state)
{
	g_string_free(body, TRUE);
	return 0;
}

/* Feeds `step` bytes at a time and returns the last result. */
static enum hparse_result
feed(struct hparse *p, const char *text, size_t step, size_t *used_out)
{
	size_t len = strlen(text), at = 0, used;
	enum hparse_result r = HPARSE_MORE;

	while (at < len && (r == HPARSE_MORE || r == HPARSE_HEAD)) {
		r = hparse_feed(p, text + at, MIN(step, len - at), &used);
		at += used;
	}
	while (r == HPARSE_HEAD)
		r = hparse_feed(p, text + at, 0, &used);
	if (used_out != NULL)
		*used_out = at;
	return r;
}

static enum hparse_result
parse_once(const char *text)
{
	struct hparse p;
	enum hparse_result r;

	hparse_init(&p, HTTP_REQUEST, 512, on_body, NULL);
	r = feed(&p, text, 1000, NULL);
	hparse_free(&p);
	return r;
}

static void
test_request_in_parts(void **state)
{
	static const char text[] =
	    "POST /a/b?c=1 HTTP/1.1\r\nHost: x.example\r\n"
	    "Content-Length: 5\r\nEmpty:\r\n\r\nhello";
	struct hparse p;
	size_t step;

	for (step = 1; step < sizeof(text); step += 3) {
		g_string_truncate(body, 0);
		hparse_init(&p, HTTP_REQUEST, 512, on_body, NULL);
		assert_int_equal(feed(&p, text, step, NULL), HPARSE_DONE);
		assert_string_equal(p.msg.method, "POST");
		assert_int_equal(p.msg.target.n, strlen("/a/b?c=1"));
		assert_true(
		    hslice_is(hmsg_find(&p.msg, "HOST")->value, "x.example"));
		assert_int_equal(hmsg_find(&p.msg, "empty")->value.n, 0);
		assert_string_equal(body->str, "hello");
		assert_true(p.msg.keep_alive);
		hparse_free(&p);
	}
}

/* Two requests in one buffer: parsing stops at the end of the first. */
static void
test_two_requests(void **state)
{
	static const char text[] = "GET /1 HTTP/1.1\r\nHost: a\r\n\r\n"
				   "GET /2 HTTP/1.1\r\nHost: a\r\n\r\n";
	struct hparse p;
	size_t used;

	hparse_init(&p, HTTP_REQUEST, 512, on_body, NULL);
	assert_int_equal(feed(&p, text, 1000, &used), HPARSE_DONE);
	assert_int_equal(used, strlen(text) / 2);
	hparse_reset(&p);
	assert_int_equal(feed(&p, text + used, 1000, NULL), HPARSE_DONE);
	assert_int_equal(p.msg.target.p[1], '2');
	hparse_free(&p);
}

/*
 * Request smuggling: a caller hides a second request in one that two parsers
 * interpret differently. If it were forwarded, a target would execute a
 * request that was never checked. Each such request must be rejected.
 */
static void
test_ambiguous_requests(void **state)
{
	static const char *const ambiguous[] = {
		"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n"
		"Content-Length: 4\r\n\r\nabcd",
		"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n"
		"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n"
		"Transfer-Encoding: identity\r\n\r\n0\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip\r\n\r\n",
		"GET / HTTP/1.1\nHost: a\n\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: a\r\nX: 1\n\tfolded\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: a\r\nX: 1\r\n folded\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: a\r\nX: 1\rGET /2\r\n\r\n",
		"GET / HTTP/1.1\r\nHost : a\r\n\r\n",
		"GET /\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: -1\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1 2\r\n\r\nab",
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(ambiguous); i++) {
		if (parse_once(ambiguous[i]) != HPARSE_BAD)
			fail_msg("request %zu was not rejected", i);
	}
}

static void
test_head_too_large(void **state)
{
	GString *text = g_string_new("GET / HTTP/1.1\r\nHost: a\r\nX: ");

	while (text->len < 600)
		g_string_append_c(text, 'x');
	assert_int_equal(parse_once(text->str), HPARSE_HEAD_TOO_LARGE);
	g_string_free(text, TRUE);
}

static void
test_chunked_body(void **state)
{
	assert_int_equal(
	    parse_once("POST / HTTP/1.1\r\nHost: a\r\n"
		       "Transfer-Encoding: chunked\r\n\r\n"
		       "3\r\nabc\r\n2\r\nde\r\n0\r\nTrailer: x\r\n\r\n"),
	    HPARSE_DONE);
	assert_string_equal(body->str, "abcde");
}

/* An orderly close completes a response without a length, but neither one with
 * a length nor a chunked one. */
static void
test_responses_ended_by_close(void **state)
{
	struct hparse p;

	hparse_init(&p, HTTP_RESPONSE, 512, on_body, NULL);
	assert_int_equal(
	    feed(&p, "HTTP/1.1 200 OK\r\n\r\nabc", 7, NULL), HPARSE_MORE);
	assert_int_equal(p.msg.framing, HFRAMING_CLOSE);
	assert_true(hparse_eof(&p));
	hparse_reset(&p);
	assert_int_equal(
	    feed(
		&p, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc", 7, NULL),
	    HPARSE_MORE);
	assert_false(hparse_eof(&p));
	hparse_reset(&p);
	assert_int_equal(
	    feed(&p,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
		"3\r\nabc\r\n",
		7, NULL),
	    HPARSE_MORE);
	assert_false(hparse_eof(&p));
	hparse_free(&p);
}

static void
test_slices(void **state)
{
	struct hslice list = { " gzip, Chunked ,x", 17 };
	struct hslice number = { " 42", 3 };
	struct hslice not_number = { "4x", 2 };
	int64_t value;

	assert_true(hslice_has_token(list, "chunked"));
	assert_false(hslice_has_token(list, "chunk"));
	assert_true(hslice_number(number, &value));
	assert_int_equal(value, 42);
	assert_false(hslice_number(not_number, &value));
}

/* A valid message with up to four random bytes: whatever the result, the parser
 * must not read beyond its buffers (checked by the sanitizers). */
static void
test_random_bytes(void **state)
{
	static const char valid[] = "POST /a HTTP/1.1\r\nHost: a\r\n"
				    "Transfer-Encoding: chunked\r\n\r\n"
				    "3\r\nabc\r\n0\r\n\r\n";
	struct rng rng;
	char text[128];
	struct hparse p;
	size_t used, len, n;
	int i;

	rng_seed(&rng, 7);
	for (i = 0; i < 20000; i++) {
		len = sizeof(valid) - 1;
		memcpy(text, valid, len);
		for (n = rng_below(&rng, 5); n > 0; n--)
			text[rng_below(&rng, len)] = (char)rng_next(&rng);
		hparse_init(&p, i % 2 ? HTTP_REQUEST : HTTP_RESPONSE, 64,
		    on_body, NULL);
		for (n = 0; n < len; n += used) {
			enum hparse_result r =
			    hparse_feed(&p, text + n, len - n, &used);

			if (r != HPARSE_HEAD || used == 0)
				break;
		}
		hparse_eof(&p);
		hparse_free(&p);
		g_string_truncate(body, 0);
	}
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(
		    test_request_in_parts, set_up, tear_down),
		cmocka_unit_test_setup_teardown(
		    test_two_requests, set_up, tear_down),
		cmocka_unit_test_setup_teardown(
		    test_ambiguous_requests, set_up, tear_down),
		cmocka_unit_test_setup_teardown(
		    test_head_too_large, set_up, tear_down),
		cmocka_unit_test_setup_teardown(
		    test_chunked_body, set_up, tear_down),
		cmocka_unit_test_setup_teardown(
		    test_responses_ended_by_close, set_up, tear_down),
		cmocka_unit_test(test_slices),
		cmocka_unit_test_setup_teardown(
		    test_random_bytes, set_up, tear_down),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
