/* What a gateway believes of an engine after it missed reports of its sidecar. */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "one_model.h"

static const struct tgt_policy policy = { .beyond_slots = 1, .gateways = 3 };
static struct tgt_set *set;

/* An engine whose sidecar has reported version 1, and nothing since. */
static struct tgt *
put_reported(void)
{
	struct side_report r = { .version = 1 };
	struct tgt_criteria criteria = { .model = "m" };
	enum tgt_reason why;
	struct tgt *t;

	set = tgt_set_new("here", &policy);
	t = put_model(set);
	tgt_side_version(t, &r);
	tgt_side_reported(t, 9, SECOND);
	assert_ptr_equal(
	    tgt_choose(set, t->service, &criteria, SECOND, &why), t);
	return t;
}

/* Guards against requests to an engine that loaded corrupt chunks by a late order: the
 * gateway missed that it was sent, and the next sidecar has just started. */
static void
test_starting_sidecar_after_missed_reports(void **state)
{
	struct tgt_criteria criteria = { .model = "m" };
	struct side_report r = { .version = 2, .starting = 1 };
	struct tgt *t = put_reported();
	enum tgt_reason why;

	tgt_side_version(t, &r);
	tgt_side_reported(t, 1, 9 * SECOND);
	assert_null(tgt_choose(set, t->service, &criteria, 9 * SECOND, &why));
	r.starting = 0;
	tgt_side_version(t, &r);
	tgt_side_reported(t, 2, 9 * SECOND);
	assert_ptr_equal(
	    tgt_choose(set, t->service, &criteria, 9 * SECOND, &why), t);
	tgt_set_free(set);
}

/* Guards against the same where no sidecar is heard: the record names the version. */
static void
test_record_after_missed_reports(void **state)
{
	struct tgt_criteria criteria = { .model = "m" };
	struct tgt *t = put_reported();
	enum tgt_reason why;

	t = put_model_at(set, 9 * SECOND);
	assert_null(tgt_choose(set, t->service, &criteria, 9 * SECOND, &why));
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
