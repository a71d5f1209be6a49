/* Depth of JSON documents. */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <string.h>

#include "common/nest.h"

static bool
is_within(const char *text, unsigned int max)
{
	return nest_within(text, strlen(text), max);
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

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_levels),
		cmocka_unit_test(test_strings),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
