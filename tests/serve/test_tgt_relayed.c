/* The choice of targets whose sidecars are heard through other gateways only. */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "serve/side.h"
#include "serve/tgt.h"

#define SECOND 1000000

/* Guards against avoiding a target for good that its sidecar called silent before
 * the direct way to the sidecar failed. */
static void
test_relayed_after_silent(void **state)
{
	static const struct tgt_policy policy = { .beyond_slots = 1,
		.gateways = 1 };
	struct tgt_set *set = tgt_set_new("here", &policy);
	struct sv_target record = { .id = "a",
		.service = "s",
		.address = "1.1.1.1:1",
		.domain = "near",
		.slots = 4 };
	struct tgt_criteria criteria = { .repeatable = true,
		.not_silent = true };
	struct side_relayed relayed = { .total = 0, .slowdown_permille = 1000 };
	int64_t now_us = SECOND;
	enum tgt_reason why;
	bool chosen;
	unsigned int i;
	struct tgt *t;

	t = tgt_put(set, &record, 0);
	tgt_side_reported(t, 1, now_us);
	tgt_set_side_silent(t, true, SECOND);
	tgt_set_load(t, 4, now_us);
	for (i = 2; i < 42; i++) {
		now_us += 250000;
		relayed.seq = i;
		assert_true(tgt_relayed(t, &relayed, now_us));
	}
	chosen = tgt_choose(set, tgt_service(set, "s"), &criteria, now_us,
		     &why) != NULL;
	tgt_set_free(set);
	assert_true(chosen);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_relayed_after_silent),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
