/* The latency histogram of the metrics page. */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "serve/hist.h"

static void
test_histogram(void **state)
{
	struct hist h = { 0 };
	GString *out = g_string_new(NULL);

	hist_add(&h, 900);
	hist_add(&h, 350000);
	hist_add(&h, 99000000);
	hist_print(&h, "x", out);
	assert_non_null(strstr(out->str, "x_bucket{le=\"0.001\"} 1\n"));
	assert_non_null(strstr(out->str, "x_bucket{le=\"0.4\"} 2\n"));
	assert_non_null(strstr(out->str, "x_bucket{le=\"+Inf\"} 3\n"));
	assert_non_null(strstr(out->str, "x_count 3\n"));
	g_string_free(out, TRUE);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_histogram),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
