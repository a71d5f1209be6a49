/* Blocks of an event stream, and where it may end. */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include <glib.h>
#include <string.h>

#include "common/common.h"
#include "common/sse.h"

/* Divides a stream that arrives in parts of up to `most` bytes; events are put
 * in "()", other blocks in "[]", and the rest stands at the end. */
static char *
divide(struct sse *s, const char *stream, size_t len, size_t most)
{
	GString *buffer = g_string_new(NULL), *out = g_string_new(NULL);
	size_t at, n, block;

	*s = (struct sse){ 0 };
	for (at = 0; at < len; at += n) {
		n = MIN(most, len - at);
		g_string_append_len(buffer, stream + at, (gssize)n);
		while ((block = sse_next(s, buffer->str, buffer->len)) > 0) {
			g_string_append_c(out, sse_is_event(s) ? '(' : '[');
			g_string_append_len(out, buffer->str, (gssize)block);
			g_string_append_c(out, sse_is_event(s) ? ')' : ']');
			g_string_erase(buffer, 0, (gssize)block);
		}
	}
	g_string_append(out, buffer->str);
	g_string_free(buffer, TRUE);
	return g_string_free(out, FALSE);
}

static void
expect_blocks(const char *stream, const char *wanted, bool may_end)
{
	size_t most, len = strlen(stream);
	struct sse s;
	char *got;

	for (most = 1; most <= len; most++) {
		got = divide(&s, stream, len, most);
		assert_string_equal(got, wanted);
		assert_int_equal(sse_may_end(&s), may_end);
		g_free(got);
	}
}

static void
test_line_ends(void **state)
{
	expect_blocks("id: 1\ndata:\n\ndata: b\n\n",
	    "(id: 1\ndata:\n\n)(data: b\n\n)", true);
	expect_blocks("id: 1\r\ndata:\r\n\r\ndata: b\r\n\r\n",
	    "(id: 1\r\ndata:\r\n\r\n)(data: b\r\n\r\n)", true);
	expect_blocks("id: 1\rdata:\r\rdata: b\r\r",
	    "(id: 1\rdata:\r\r)data: b\r\r", true);
	expect_blocks("data: a\n\r\ndata: b\r\n\n",
	    "(data: a\n\r\n)(data: b\r\n\n)", true);
}

static void
test_comments_and_empty_lines(void **state)
{
	expect_blocks(": x\ndata: a\n: y\n\n: z\n\n\n",
	    "[: x\n](data: a\n: y\n\n)[: z\n][\n][\n]", true);
	expect_blocks(
	    "data: a\r\n\r\n: z\r\n", "(data: a\r\n\r\n)[: z\r\n]", true);
}

static void
test_cut_inside(void **state)
{
	expect_blocks("data: a\n\nda", "(data: a\n\n)da", false);
	expect_blocks("data: a\n\ndata: b\n", "(data: a\n\n)data: b\n", false);
	expect_blocks(
	    "data: a\n\ndata: b\n: c\n", "(data: a\n\n)data: b\n: c\n", false);
	expect_blocks("data: a\n\n: c", "(data: a\n\n): c", false);
	expect_blocks("data: a\r\n", "data: a\r\n", false);
	expect_blocks("data: a\r\n\r", "data: a\r\n\r", false);
	expect_blocks("data: a\rdata: b\r", "data: a\rdata: b\r", false);
	expect_blocks("data: a\r", "data: a\r", false);
}

static void
test_id(void **state)
{
#define ID(text) sse_id(text, strlen(text))
	assert_int_equal(ID("id: 7\ndata:\n\n"), 7);
	assert_int_equal(ID("data: x\r\nid:12\r\n\r\n"), 12);
	assert_int_equal(ID("data: id: 7\n\n"), -1);
	assert_int_equal(ID("id: 7"), -1); /* not complete */
	assert_int_equal(ID(""), -1);
}

/* Wherever a stream is cut, it may end there only if all of its bytes are in
 * complete blocks. */
static void
test_random_streams(void **state)
{
	static const char alphabet[] = "\n\n\r:i1";
	char stream[24];
	struct rng rng;
	struct sse s;
	size_t len, i;
	char *got;
	int n;

	rng_seed(&rng, 11);
	for (n = 0; n < 20000; n++) {
		len = 1 + rng_below(&rng, sizeof(stream) - 1);
		for (i = 0; i < len; i++)
			stream[i] =
			    alphabet[rng_below(&rng, sizeof(alphabet) - 1)];
		got = divide(&s, stream, len, 1 + rng_below(&rng, len));
		if (!s.bare_cr && !s.after_cr)
			assert_int_equal(sse_may_end(&s),
			    strchr(")]", got[strlen(got) - 1]) != NULL);
		g_free(got);
	}
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_line_ends),
		cmocka_unit_test(test_comments_and_empty_lines),
		cmocka_unit_test(test_cut_inside),
		cmocka_unit_test(test_id),
		cmocka_unit_test(test_random_streams),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
