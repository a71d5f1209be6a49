/* A target's rate limit while no sidecar issues permits for it. */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "serve/tgt_internal.h"

#define SECOND ((int64_t)1000000)
#define LIMIT 5.0 /* requests a second */

/* Requests of one gateway in a minute, at any time that they are allowed. */
static unsigned int
sent_in_a_minute(unsigned int gateways, unsigned int sharers)
{
	struct tgt_policy policy = { .beyond_slots = 1,
		.gateways = gateways,
		.sharers = sharers,
		.seed = 1 };
	struct tgt_set *set = tgt_set_new("r", &policy);
	struct sv_target record = { .id = "a",
		.service = "s",
		.address = "1.1.1.1:1",
		.domain = "d",
		.slots = 4 };
	struct tgt *t = tgt_put(set, &record, 0);
	unsigned int n = 0;
	int64_t now_us;

	(void)tgt_rate_answered(set, t, LIMIT, SECOND, SECOND);
	for (now_us = SECOND; now_us < 61 * SECOND; now_us += 5000) {
		if (!tgt_rate_allows(set, t, now_us))
			continue;
		rate_sent(&t->rate, now_us);
		n++;
	}
	tgt_set_free(set);
	return n;
}

/* Guards against a limit that is exceeded while some gateways are not heard: the
 * others used to divide it by fewer, and those went on. */
static void
test_limit_is_divided_by_silent_gateways(void **state)
{
	unsigned int share = sent_in_a_minute(5, 5);

	assert_in_range(share, 1, LIMIT * 60 / 5);
	assert_int_equal(sent_in_a_minute(2, 5), share);
	assert_int_equal(sent_in_a_minute(5, 0), share);
	assert_true(sent_in_a_minute(2, 0) > share);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_limit_is_divided_by_silent_gateways),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
