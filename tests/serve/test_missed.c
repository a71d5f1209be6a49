/* What a gateway believes of an engine after it missed reports of its sidecar. */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "one_model.h"

static struct tgt_set *set;

/* An engine whose sidecar has reported version 1, and nothing since. */
static struct tgt *
put_reported(void)
{
	struct side_report r = { .version = 1 };
	struct tgt *t;

	set = open_set();
	t = put_model(set);
	report(t, &r, 9, SECOND);
	assert_ptr_equal(choose(set, t, SECOND), t);
	return t;
}

/* Guards against requests to an engine that loaded corrupt chunks by a late order: the
 * gateway missed that it was sent, and the next sidecar has just started. */
static void
test_starting_sidecar_after_missed_reports(void **state)
{
	struct side_report r = { .version = 2, .starting = 1 };
	struct tgt *t = put_reported();

	report(t, &r, 1, 9 * SECOND);
	assert_null(choose(set, t, 9 * SECOND));
	r.starting = 0;
	report(t, &r, 2, 9 * SECOND);
	assert_ptr_equal(choose(set, t, 9 * SECOND), t);
	tgt_set_free(set);
}

/* Guards against the same where no sidecar is heard: the record names the version. */
static void
test_record_after_missed_reports(void **state)
{
	struct tgt *t = put_reported();

	t = put_model_at(set, 9 * SECOND);
	assert_null(choose(set, t, 9 * SECOND));
	tgt_set_free(set);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_starting_sidecar_after_missed_reports),
		cmocka_unit_test(test_record_after_missed_reports),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
