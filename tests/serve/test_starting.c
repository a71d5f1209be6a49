/* What gateways believe of a sidecar that has just started. */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "one_model.h"

/* Guards against requests to an engine that loaded corrupt chunks, through a gateway
 * that has started as late as the engine's sidecar: the others may not have sent the
 * sidecar yet that an order was in doubt. */
static void
test_starting_sidecar_proves_no_weights(void **state)
{
	struct tgt_set *set = open_set();
	struct side_report r = { .version = 2, .starting = 1 };
	struct tgt *t = put_model(set);

	report(t, &r, 1, SECOND);
	assert_null(choose(set, t, SECOND));
	r.starting = 0;
	tgt_side_version(t, &r);
	assert_ptr_equal(choose(set, t, 3 * SECOND), t);
	tgt_set_free(set);
}

/* Guards against the same once the sidecar has not reported for two seconds since the
 * gateway learned of its target. */
static void
test_late_starting_sidecar_proves_no_weights(void **state)
{
	struct tgt_set *set = open_set();
	struct side_report r = { .version = 2, .starting = 1 };
	struct tgt *t = put_model(set);

	report(t, &r, 1, 4 * SECOND);
	assert_null(choose(set, t, 4 * SECOND));
	tgt_set_free(set);
}

/* Guards against engines without requests for seconds after only their sidecars have
 * started again, at a gateway that would remember a doubt. */
static void
test_starting_sidecar_at_a_gateway_that_knows(void **state)
{
	struct tgt_set *set = open_set();
	struct side_report r = { .version = 2 };
	struct tgt *t = put_model(set);

	report(t, &r, 1, SECOND);
	r.starting = 1;
	report(t, &r, 1, 3 * SECOND);
	assert_ptr_equal(choose(set, t, 3 * SECOND), t);
	tgt_set_free(set);
}

/* Guards against requests to an engine that loaded corrupt chunks, through a gateway
 * that started while the engine's record was away: it learns of the engine late, and
 * together with its sidecar. */
static void
test_starting_sidecar_of_a_late_record(void **state)
{
	struct tgt_set *set = open_set();
	struct side_report r = { .version = 2, .starting = 1 };
	struct tgt *t = put_model(set);

	assert_null(tgt_removed(set, "a", false, 2 * SECOND));
	t = put_model_at(set, 9 * SECOND);
	report(t, &r, 1, 9 * SECOND);
	assert_null(choose(set, t, 9 * SECOND));
	/* It has been told of the doubts, and of none. */
	r.starting = 0;
	report(t, &r, 2, 9 * SECOND);
	assert_ptr_equal(choose(set, t, 9 * SECOND), t);
	tgt_set_free(set);
}

/* Guards against the same once all sidecars have started again: those that hear only
 * of processes as young as they are wait for less. */
static void
test_predecessors(void **state)
{
	struct tgt_set *set = open_set();
	struct side_report r = { .version = 2, .starting = 1 };
	struct tgt *t = put_model(set);

	tgt_side_version(t, &r);
	assert_false(tgt_has_predecessors(set, t->service, 2 * SECOND));
	assert_true(tgt_has_predecessors(set, t->service, 9 * SECOND));
	r.starting = 0;
	tgt_side_version(t, &r);
	assert_true(tgt_has_predecessors(set, t->service, 2 * SECOND));
	tgt_set_free(set);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_starting_sidecar_proves_no_weights),
		cmocka_unit_test(test_late_starting_sidecar_proves_no_weights),
		cmocka_unit_test(test_starting_sidecar_at_a_gateway_that_knows),
		cmocka_unit_test(test_starting_sidecar_of_a_late_record),
		cmocka_unit_test(test_predecessors),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
