/* A target's rate limit, as its answers state it. */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "common/common.h"
#include "serve/rate.h"

#define SECOND 1000000

/*
 * Guards against taking a longer answer, which began before the limit was
 * stated and arrives after it, for the end of the limit: all requests would be
 * admitted again.
 */
static void
test_earlier_answer_does_not_end_a_limit(void **state)
{
	struct rate r = { 0 };

	assert_true(rate_answered(&r, 2.5, 1000, false, 5000));
	assert_false(rate_answered(&r, 0, 4000, false, 6000));
	assert_true(r.limit == 2.5);
	assert_false(rate_answered(&r, 2.5, 4500, false, 7000));
	assert_false(rate_answered(&r, 0, 6500, false, 8000));
	assert_true(rate_answered(&r, 0, 7500, false, 9000));
	assert_true(r.limit == 0);
}

static void
test_limit_changes(void **state)
{
	struct rate r = { 0 };

	assert_true(rate_answered(&r, 4, 0, false, 1));
	assert_true(rate_answered(&r, 0.5, 0, false, 2));
	assert_true(r.limit == 0.5);
}

/*
 * A gateway without traffic learns a limit, and its end, from the sidecar. A
 * report that the sidecar sent before it knew of an answer to this gateway does
 * not end the limit.
 */
static void
test_sidecar_reports_limit(void **state)
{
	struct rate r = { 0 };

	assert_true(rate_side_reported(&r, 3, SECOND));
	assert_true(rate_side_reported(&r, 0, 2 * SECOND));
	assert_true(rate_answered(&r, 3, 0, true, 3 * SECOND));
	assert_true(rate_needs_report(&r));
	assert_false(rate_side_reported(&r, 0, 3 * SECOND + 100000));
	assert_true(r.limit == 3);
	assert_false(rate_side_reported(&r, 3, 3 * SECOND + 200000));
	assert_false(rate_needs_report(&r));
	/* An answer to this gateway states no limit: the sidecar gets a
	 * report, and lifts the limit. */
	assert_false(rate_answered(&r, 0, 4 * SECOND, true, 5 * SECOND));
	assert_true(r.limit == 3);
	assert_true(rate_needs_report(&r));
	assert_true(rate_side_reported(&r, 0, 6 * SECOND));
}

static void
test_one_request_per_permit(void **state)
{
	struct rate r = { 0 };

	assert_true(rate_allows(&r, NULL, SECOND));
	assert_false(rate_ask(&r, SECOND)); /* no limit, no permit */
	rate_side_reported(&r, 1, SECOND);
	assert_false(rate_allows(&r, NULL, SECOND));
	assert_true(rate_ask(&r, SECOND));
	assert_false(rate_ask(&r, SECOND + 100000));
	/* The first request was lost. */
	assert_true(rate_ask(&r, SECOND + 200000));
	rate_permit(&r, 2 * SECOND);
	assert_true(rate_allows(&r, NULL, 2 * SECOND + 900000));
	assert_false(rate_allows(&r, NULL, 2 * SECOND + 1100000)); /* expired */
	rate_permit(&r, 3 * SECOND);
	rate_sent(&r, 3 * SECOND);
	assert_false(rate_allows(&r, NULL, 3 * SECOND));
}

/* Requests of `n` gateways in time slots, each with one to send at any
 * moment from `from_us` on: the most in any four seconds, and all in 60 s. */
static unsigned int
sent_in_time_slots(
    unsigned int n, double limit, uint64_t seed, unsigned int *all)
{
	struct rate *r = g_new0(struct rate, n);
	GArray *sent = g_array_new(FALSE, FALSE, sizeof(int64_t));
	struct rate_share share = { .gateways = n };
	unsigned int most = 0, i;
	int64_t from_us = 1000 * SECOND + (int64_t)seed * 777777;
	int64_t now_us, end_us = from_us + 60 * SECOND;
	guint first = 0;
	struct rng rng;

	for (now_us = from_us; now_us < end_us; now_us += 10000) {
		rng_seed(&rng, seed);
		for (i = 0; i < n; i++) {
			r[i].limit = limit;
			share.phase = (double)rng_below(&rng, 1000) / 1000;
			if (!rate_allows(&r[i], &share, now_us))
				continue;
			rate_sent(&r[i], now_us);
			g_array_append_val(sent, now_us);
		}
		while (first < sent->len &&
		    now_us - g_array_index(sent, int64_t, first) > 4 * SECOND)
			first++;
		most = MAX(most, sent->len - first);
	}
	*all = sent->len;
	g_array_unref(sent);
	g_free(r);
	return most;
}

/*
 * A target without a sidecar states a limit, and each gateway has sent it no
 * request for long: if each sent one at once, 35 would arrive where 11 are
 * allowed.
 */
static void
test_time_slots(void **state)
{
	static const unsigned int gateways[] = { 1, 5, 9, 35, 100 };
	static const double limits[] = { 0.25, 1, 2.2, 10, 40 };
	unsigned int most, all;
	size_t i, j;

	for (i = 0; i < G_N_ELEMENTS(gateways); i++) {
		for (j = 0; j < G_N_ELEMENTS(limits); j++) {
			most = sent_in_time_slots(
			    gateways[i], limits[j], 1 + i * 10 + j, &all);
			assert_true(most <= 1.5 * 4 * limits[j] + 5);
			/* And the limit is used. */
			assert_true(all >= 0.5 * 60 * limits[j] - gateways[i]);
		}
	}
}

/* A limit must survive its encoding exactly. Otherwise each answer would
 * seem to state another limit than the sidecar reported. */
static void
test_limit_encoding(void **state)
{
	static const double limits[] = { 0.25, 0.29, 1.1, 2.2, 4.35, 1000.001 };
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(limits); i++)
		assert_true(
		    rate_of_milli(rate_to_milli(limits[i])) == limits[i]);
	assert_int_equal(rate_to_milli(1e12), UINT32_MAX);
}

/* Guards against a process that does not know a limit from its start until
 * its first answer. Answers to this gateway take precedence over relayed
 * limits. */
static void
test_relayed_limit_until_first_answer(void **state)
{
	struct rate r = { 0 };

	assert_true(rate_relayed(&r, 2.0));
	assert_false(rate_relayed(&r, 2.0));
	assert_true(r.limit == 2.0);
	rate_answered(&r, 0, 100 * G_USEC_PER_SEC, false, 101 * G_USEC_PER_SEC);
	assert_true(r.limit == 0);
	assert_false(rate_relayed(&r, 2.0));
	assert_true(r.limit == 0);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_earlier_answer_does_not_end_a_limit),
		cmocka_unit_test(test_limit_changes),
		cmocka_unit_test(test_sidecar_reports_limit),
		cmocka_unit_test(test_one_request_per_permit),
		cmocka_unit_test(test_time_slots),
		cmocka_unit_test(test_limit_encoding),
		cmocka_unit_test(test_relayed_limit_until_first_answer),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
