/* The choice of targets that their sidecars report as silent. */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "serve/tgt.h"

#define SECOND 1000000
#define REPORT_US 250000 /* between two reports of a sidecar */

/* Guards against taking the load of a silent target, which its sidecar repeats as
 * of the last answer, for a new one: what was sent since then would count as
 * part of it, so that each report makes room for more. */
static void
test_repeated_load_of_a_silent_target(void **state)
{
	static const struct tgt_policy policy = { .beyond_slots = 1,
		.gateways = 1 };
	struct tgt_set *set = tgt_set_new("here", &policy);
	struct sv_target record = { .id = "a",
		.service = "s",
		.address = "1.1.1.1:1",
		.domain = "near",
		.slots = 4 };
	struct tgt_criteria criteria = { .repeatable = true };
	unsigned int sent = 0, report;
	int64_t now_us = SECOND;
	enum tgt_reason why;
	struct tgt *t;

	tgt_set_domain(set, "near", "here");
	t = tgt_put(set, &record, 0);
	tgt_set_side_silent(t, true, SECOND);
	for (report = 0; report < 6; report++, now_us += REPORT_US) {
		tgt_side_reported(t, report + 1, now_us);
		tgt_set_load(t, 4, now_us); /* others' requests */
		while (tgt_choose(set, tgt_service(set, "s"), &criteria, now_us,
			   &why) != NULL) {
			tgt_sent(t, now_us);
			sent++;
		}
	}
	while (t->local_inflight > 0)
		tgt_ended(t, now_us);
	tgt_set_free(set);
	assert_in_range(sent, 0, 1); /* the place beyond its slots */
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_repeated_load_of_a_silent_target),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
