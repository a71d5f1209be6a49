/* Checks of JSON text. */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <string.h>

#include "common/jtext.h"

static bool
is_within(const char *text, unsigned int max)
{
	return jtext_nests_within(text, strlen(text), max);
}

static void
test_levels(void **state)
{
	assert_true(is_within("", 0));
	assert_true(is_within("7", 0));
	assert_false(is_within("[]", 0));
	assert_true(is_within("[{\"a\":[]},{},[[]]]", 3));
	assert_false(is_within("[{\"a\":[]},{},[[]]]", 2));
	assert_false(is_within("[[[[", 3));
	/* Ends of what was never begun give no further levels. */
	assert_false(is_within("]]]][[[[", 3));
}

/* Guards against a document that hides its levels behind a string. */
static void
test_strings(void **state)
{
	assert_true(is_within("[\"[[[[\"]", 1));
	assert_true(is_within("[\"\\\"[[[[\"]", 1));
	assert_true(is_within("[\"\\\\\\\"[[[[\"]", 1));
	assert_false(is_within("[\"\\\\\",[[[[", 1));
	assert_false(is_within("[\"\",[[[[", 1));
	assert_true(is_within("[\"\\", 1));
}

static bool
fits(const char *text)
{
	return jtext_ints_fit(text, strlen(text));
}

/* Guards against an integer that is read as another one. */
static void
test_integers(void **state)
{
	assert_true(fits(""));
	assert_true(fits("[9223372036854775807,-9223372036854775808,1e400]"));
	assert_true(fits("{\"a\":1.00000000000000000000000000001}"));
	assert_true(
	    fits("[\"99999999999999999999\",\"\\\"99999999999999999999\"]"));
	assert_false(fits("9223372036854775808"));
	assert_false(fits("{\"a\":[1,-9223372036854775809]}"));
	assert_false(fits("{\"a\":-99999999999999999999}"));
	assert_false(fits("[\"\\\\\",18446744073709551617]"));
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_levels),
		cmocka_unit_test(test_strings),
		cmocka_unit_test(test_integers),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
