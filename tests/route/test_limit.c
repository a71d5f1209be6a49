/* A team's limit over several entries, and the retry budget. */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <string.h>

#include "route/limit.h"

#define MS 1000
#define ENTRIES 4
#define LIMIT 1000
#define STEP_MS 5
#define DELAY_MS 5 /* of a word between entries */

struct fleet {
	struct lim *lim[ENTRIES];
	int64_t now_us;
	bool cut_off; /* no word arrives */
	unsigned int got[ENTRIES];
	double owed[ENTRIES]; /* fractions of requests still to be asked */
};

static void
make(struct fleet *f)
{
	unsigned int i;

	memset(f, 0, sizeof(*f));
	f->now_us = 5000 * MS;
	for (i = 0; i < ENTRIES; i++) {
		f->lim[i] = lim_new(f->now_us);
		lim_set(f->lim[i], LIMIT, ENTRIES, f->now_us);
	}
}

static void
unmake(struct fleet *f)
{
	unsigned int i;

	for (i = 0; i < ENTRIES; i++)
		lim_free(f->lim[i]);
}

static void
spread_words(struct fleet *f)
{
	static const char *const names[ENTRIES] = { "a", "b", "c", "d" };
	unsigned int i, j;

	for (i = 0; i < ENTRIES; i++) {
		if (!lim_report_due(f->lim[i], f->now_us) || f->cut_off)
			continue;
		for (j = 0; j < ENTRIES; j++) {
			if (j != i)
				lim_reported(f->lim[j], names[i],
				    lim_demand(f->lim[i], f->now_us),
				    f->now_us + DELAY_MS * MS);
		}
	}
}

/* Requests a second asked of each entry for `ms`; returns those admitted. */
static unsigned int
run(struct fleet *f, const unsigned int asked[ENTRIES], unsigned int ms)
{
	unsigned int t, i, all = 0;

	memset(f->got, 0, sizeof(f->got));
	for (t = 0; t < ms; t += STEP_MS) {
		f->now_us += STEP_MS * MS;
		for (i = 0; i < ENTRIES; i++) {
			f->owed[i] += asked[i] * STEP_MS / 1000.0;
			for (; f->owed[i] >= 1; f->owed[i] -= 1) {
				if (lim_take(f->lim[i], f->now_us, NULL))
					f->got[i]++;
			}
		}
		spread_words(f);
	}
	for (i = 0; i < ENTRIES; i++)
		all += f->got[i];
	return all;
}

static const unsigned int none[ENTRIES] = { 0, 0, 0, 0 };
static const unsigned int even[ENTRIES] = { 1000, 1000, 1000, 1000 };
static const unsigned int one[ENTRIES] = { 3000, 0, 0, 0 };
static const unsigned int uneven[ENTRIES] = { 3000, 600, 50, 50 };
static const unsigned int steps[ENTRIES] = { 3000, 300, 50, 50 };
static const unsigned int others[ENTRIES] = { 3000, 3000, 3000, 3000 };

/* Steady demands: no more than the limit, and no less. */
static void
test_steady(void **state)
{
	static const unsigned int *const all[] = { even, one, uneven };
	struct fleet f;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(all); i++) {
		make(&f);
		run(&f, all[i], 2000);
		assert_in_range(run(&f, all[i], 4000), LIMIT * 4 * 97 / 100,
		    LIMIT * 4 * 101 / 100);
		unmake(&f);
	}
}

/* Who asks for little gets it whole; the rest is levelled. */
static void
test_levelled(void **state)
{
	struct fleet f;

	make(&f);
	run(&f, uneven, 2000);
	run(&f, uneven, 1000);
	assert_in_range(f.got[2], 48, 51);
	assert_in_range(f.got[1], 430, 470);
	assert_in_range(f.got[0], 430, 470);
	/* 300 is above the even part and below the level. */
	run(&f, steps, 2000);
	run(&f, steps, 1000);
	assert_in_range(f.got[1], 295, 305);
	assert_in_range(f.got[0], 580, 620);
	unmake(&f);
}

/*
 * The bound of the overshoot as the header states it. One entry uses the
 * whole limit, or none is asked for anything; then all the others begin, or
 * all do, at once.
 */
static void
test_overshoot_is_bounded(void **state)
{
	static const unsigned int *const before[] = { one, none };
	const unsigned int extra_ms =
	    LIM_REPORT_MIN_MS + LIM_WINDOW_MS + DELAY_MS + STEP_MS;
	const unsigned int bound =
	    LIMIT * (ENTRIES - 1) / ENTRIES * extra_ms / 1000 +
	    LIMIT * LIM_BURST_MS / 1000;
	struct fleet f;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(before); i++) {
		make(&f);
		run(&f, before[i], 3000);
		assert_in_range(
		    run(&f, others, 2000), 2 * LIMIT, 2 * LIMIT + bound);
		assert_in_range(run(&f, others, 2000), 2 * LIMIT * 97 / 100,
		    2 * LIMIT * 101 / 100);
		unmake(&f);
	}
}

/* Nobody is heard: each keeps to its own part, and the sum to the limit. */
static void
test_cut_off(void **state)
{
	struct fleet f;

	make(&f);
	run(&f, one, 2000);
	f.cut_off = true;
	run(&f, one, 4000);
	assert_in_range(run(&f, one, 1000), LIMIT / ENTRIES * 97 / 100,
	    LIMIT / ENTRIES * 103 / 100);
	run(&f, others, 1000);
	assert_in_range(
	    run(&f, others, 1000), LIMIT * 97 / 100, LIMIT * 101 / 100);
	unmake(&f);
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

/* A limit of one a second over four entries is a request every 4 s each. */
static void
test_low_limit(void **state)
{
	struct fleet f;
	unsigned int i;

	make(&f);
	for (i = 0; i < ENTRIES; i++)
		lim_set(f.lim[i], 1, ENTRIES, f.now_us);
	run(&f, even, 8000);
	assert_in_range(run(&f, even, 40000), 36, 44);
	unmake(&f);
}

static void
test_telling(void **state)
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
	assert_true(lim_report_due(lim, 1600 * MS)); /* it rose */
	assert_int_equal(lim_demand(lim, 1600 * MS), 100000);
	assert_int_equal(lim_demand(lim, 2600 * MS), 0);
	assert_int_equal(lim_report_ms(4), LIM_REPORT_PERIOD_MS);
	assert_int_equal(lim_report_ms(320), 20 * LIM_REPORT_PERIOD_MS);
	lim_free(lim);
}

/* ------------------------------------------------------------------ */
/* Retry budget                                                        */
/* ------------------------------------------------------------------ */

/* Every attempt fails: without a budget each request would be four. */
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
test_retry_floor(void **state)
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
	now_us += BUD_SLOT_MS * MS;
	assert_true(bud_has_room(&bud, 100, now_us));
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_steady),
		cmocka_unit_test(test_levelled),
		cmocka_unit_test(test_overshoot_is_bounded),
		cmocka_unit_test(test_cut_off),
		cmocka_unit_test(test_refusal_and_no_limit),
		cmocka_unit_test(test_low_limit),
		cmocka_unit_test(test_telling),
		cmocka_unit_test(test_retry_storm),
		cmocka_unit_test(test_retry_floor),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
