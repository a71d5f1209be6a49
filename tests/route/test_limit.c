/* Rate limit of a workspace over several gateways, and the retry budget. */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <string.h>

#include "route/limit.h"

#define MS 1000
#define GATEWAYS 4
#define LIMIT 1000
#define STEP_MS 5
#define DELAY_MS 5 /* of a report between gateways */

struct fleet {
	struct lim *lim[GATEWAYS];
	int64_t now_us;
	bool partitioned; /* no report arrives */
	unsigned int admitted[GATEWAYS];
	double fraction[GATEWAYS]; /* fractions of requests not yet offered */
};

static void
setup(struct fleet *f)
{
	unsigned int i;

	memset(f, 0, sizeof(*f));
	f->now_us = 5000 * MS;
	for (i = 0; i < GATEWAYS; i++) {
		f->lim[i] = lim_new(f->now_us);
		lim_set(f->lim[i], LIMIT, GATEWAYS, f->now_us);
	}
}

static void
teardown(struct fleet *f)
{
	unsigned int i;

	for (i = 0; i < GATEWAYS; i++)
		lim_free(f->lim[i]);
}

static void
exchange_reports(struct fleet *f)
{
	static const char *const names[GATEWAYS] = { "a", "b", "c", "d" };
	unsigned int i, j;

	for (i = 0; i < GATEWAYS; i++) {
		if (!lim_report_due(f->lim[i], f->now_us) || f->partitioned)
			continue;
		for (j = 0; j < GATEWAYS; j++) {
			if (j != i)
				lim_reported(f->lim[j], names[i],
				    lim_demand(f->lim[i], f->now_us),
				    f->now_us + DELAY_MS * MS);
		}
	}
}

/* Offers `demand` requests per second to each gateway for `ms`; returns the
 * number admitted. */
static unsigned int
run(struct fleet *f, const unsigned int demand[GATEWAYS], unsigned int ms)
{
	unsigned int t, i, all = 0;

	memset(f->admitted, 0, sizeof(f->admitted));
	for (t = 0; t < ms; t += STEP_MS) {
		f->now_us += STEP_MS * MS;
		for (i = 0; i < GATEWAYS; i++) {
			f->fraction[i] += demand[i] * STEP_MS / 1000.0;
			for (; f->fraction[i] >= 1; f->fraction[i] -= 1) {
				if (lim_take(f->lim[i], f->now_us, NULL))
					f->admitted[i]++;
			}
		}
		exchange_reports(f);
	}
	for (i = 0; i < GATEWAYS; i++)
		all += f->admitted[i];
	return all;
}

static const unsigned int none[GATEWAYS] = { 0, 0, 0, 0 };
static const unsigned int equal[GATEWAYS] = { 1000, 1000, 1000, 1000 };
static const unsigned int one_gateway[GATEWAYS] = { 3000, 0, 0, 0 };
static const unsigned int uneven[GATEWAYS] = { 3000, 600, 50, 50 };
static const unsigned int steps[GATEWAYS] = { 3000, 300, 50, 50 };
static const unsigned int all_high[GATEWAYS] = { 3000, 3000, 3000, 3000 };

/* With steady demand the limit is admitted, no more and no less. */
static void
test_steady(void **state)
{
	static const unsigned int *const all[] = { equal, one_gateway, uneven };
	struct fleet f;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(all); i++) {
		setup(&f);
		run(&f, all[i], 2000);
		assert_in_range(run(&f, all[i], 4000), LIMIT * 4 * 97 / 100,
		    LIMIT * 4 * 101 / 100);
		teardown(&f);
	}
}

/* A low demand is met in full; the rest of the limit is shared evenly. */
static void
test_max_min_fairness(void **state)
{
	struct fleet f;

	setup(&f);
	run(&f, uneven, 2000);
	run(&f, uneven, 1000);
	assert_in_range(f.admitted[2], 48, 51);
	assert_in_range(f.admitted[1], 430, 470);
	assert_in_range(f.admitted[0], 430, 470);
	/* 300 is above the even share and below the level. */
	run(&f, steps, 2000);
	run(&f, steps, 1000);
	assert_in_range(f.admitted[1], 295, 305);
	assert_in_range(f.admitted[0], 580, 620);
	teardown(&f);
}

/*
 * The bound of the overshoot that limit.h states. At first one gateway uses the
 * whole limit, or there is no demand; then demand starts at all gateways at
 * once.
 */
static void
test_overshoot_is_bounded(void **state)
{
	static const unsigned int *const before[] = { one_gateway, none };
	const unsigned int extra_ms =
	    LIM_REPORT_MIN_MS + LIM_WINDOW_MS + DELAY_MS + STEP_MS;
	const unsigned int max_extra =
	    LIMIT * (GATEWAYS - 1) / GATEWAYS * extra_ms / 1000 +
	    LIMIT * LIM_BURST_MS / 1000;
	struct fleet f;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(before); i++) {
		setup(&f);
		run(&f, before[i], 3000);
		assert_in_range(
		    run(&f, all_high, 2000), 2 * LIMIT, 2 * LIMIT + max_extra);
		assert_in_range(run(&f, all_high, 2000), 2 * LIMIT * 97 / 100,
		    2 * LIMIT * 101 / 100);
		teardown(&f);
	}
}

/* No reports arrive: each gateway admits its even share, all together the
 * limit. */
static void
test_partitioned(void **state)
{
	struct fleet f;

	setup(&f);
	run(&f, one_gateway, 2000);
	f.partitioned = true;
	run(&f, one_gateway, 4000);
	assert_in_range(run(&f, one_gateway, 1000), LIMIT / GATEWAYS * 97 / 100,
	    LIMIT / GATEWAYS * 103 / 100);
	run(&f, all_high, 1000);
	assert_in_range(
	    run(&f, all_high, 1000), LIMIT * 97 / 100, LIMIT * 101 / 100);
	teardown(&f);
}

static void
test_refusal_and_no_limit(void **state)
{
	struct lim *lim = lim_new(0);
	struct err err = { 0 };
	unsigned int i;

	for (i = 0; i < 1000; i++)
		assert_true(lim_take(lim, 0, &err));
	lim_set(lim, 10, 1, 0);
	for (i = 0; i < 2; i++)
		assert_true(lim_take(lim, 0, &err));
	for (i = 0; i < 8 && lim_take(lim, 0, &err); i++)
		continue;
	assert_int_equal(err.code, ERR_OVERLOADED);
	assert_int_equal(err.verdict, VERDICT_NOT_RUN);
	assert_in_range(err.retry_after_ms, 1, 101);
	assert_true(lim_take(lim, err.retry_after_ms * 1000LL, NULL));
	lim_free(lim);
}

/* A limit of one per second over four gateways is one request per 4 s each. */
static void
test_low_limit(void **state)
{
	struct fleet f;
	unsigned int i;

	setup(&f);
	for (i = 0; i < GATEWAYS; i++)
		lim_set(f.lim[i], 1, GATEWAYS, f.now_us);
	run(&f, equal, 8000);
	assert_in_range(run(&f, equal, 40000), 36, 44);
	teardown(&f);
}

static void
test_report_times(void **state)
{
	struct lim *lim = lim_new(1000 * MS);
	unsigned int i;

	lim_set(lim, 100, 2, 1000 * MS);
	assert_true(lim_report_due(lim, 1000 * MS));
	assert_false(lim_report_due(lim, 1400 * MS));
	assert_true(lim_report_due(lim, 1500 * MS));
	for (i = 0; i < 50; i++)
		lim_take(lim, 1510 * MS, NULL);
	assert_false(lim_report_due(lim, 1520 * MS));
	assert_true(lim_report_due(lim, 1600 * MS)); /* demand rose */
	assert_int_equal(lim_demand(lim, 1600 * MS), 100000);
	assert_int_equal(lim_demand(lim, 2600 * MS), 0);
	assert_int_equal(lim_report_ms(4), LIM_REPORT_PERIOD_MS);
	assert_int_equal(lim_report_ms(320), 20 * LIM_REPORT_PERIOD_MS);
	lim_free(lim);
}

/* ------------------------------------------------------------------ */
/* Retry budget                                                        */
/* ------------------------------------------------------------------ */

/* Every attempt fails: without a budget each request would cause four
 * attempts. */
static void
test_retry_storm(void **state)
{
	struct bud bud = { 0 };
	int64_t now_us = 77000 * MS;
	unsigned int requests, i, retries = 0;

	for (requests = 0; requests < 20000; requests++) {
		now_us += 1 * MS;
		bud_request(&bud, now_us);
		for (i = 0; i < 3 && bud_has_room(&bud, 100, now_us); i++) {
			bud_retry(&bud, now_us);
			retries++;
		}
	}
	assert_in_range(retries, 1900, 2000 + 3 * BUD_MIN_RETRIES);
}

static void
test_min_retries(void **state)
{
	struct bud bud = { 0 };
	int64_t now_us = 77000 * MS;
	unsigned int i;

	assert_false(bud_has_room(&bud, 0, now_us));
	for (i = 0; i < BUD_MIN_RETRIES; i++) {
		assert_true(bud_has_room(&bud, 100, now_us));
		bud_retry(&bud, now_us);
	}
	assert_false(bud_has_room(&bud, 100, now_us));
	now_us += (BUD_SLOTS - 1) * BUD_SLOT_MS * MS;
	assert_false(bud_has_room(&bud, 100, now_us));
	/* Those from the end of a time slot expire with its end. */
	now_us += (BUD_SLOT_MS + 500) * MS;
	assert_true(bud_has_room(&bud, 100, now_us));
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_steady),
		cmocka_unit_test(test_max_min_fairness),
		cmocka_unit_test(test_overshoot_is_bounded),
		cmocka_unit_test(test_partitioned),
		cmocka_unit_test(test_refusal_and_no_limit),
		cmocka_unit_test(test_low_limit),
		cmocka_unit_test(test_report_times),
		cmocka_unit_test(test_retry_storm),
		cmocka_unit_test(test_min_retries),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
