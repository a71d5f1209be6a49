/* Whether an engine's weights were loaded from valid chunks. */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "stage/proof.h"

#define SECOND 1000000
#define LAYERS 16

static struct prf p;
static int64_t now_us;

static void
report_at(
    int64_t requested_us, int64_t sequence, struct prf_weights held, bool busy)
{
	prf_reported(&p,
	    &(struct prf_report){ .held = held,
		.sequence = sequence,
		.busy = busy,
		.requested_us = requested_us });
}

static void
report(int64_t sequence, int64_t version, bool busy)
{
	struct prf_weights held = { version, 0, version == 0 ? 0 : LAYERS };

	now_us += SECOND / 100;
	report_at(now_us, sequence, held, busy);
}

/* Sends what is to be ordered next, after a check that has just begun. */
static int64_t
order(int64_t version)
{
	struct prf_order o = { .weights = prf_next(&p, version, LAYERS),
		.checked_us = now_us };

	return prf_order_sent(&p, &o);
}

static void
answer(enum prf_outcome outcome, int64_t after_us)
{
	now_us += after_us;
	prf_order_answered(&p, outcome, now_us);
}

static int
set_up(void **state)
{
	p = (struct prf){ 0 };
	now_us = 100 * SECOND;
	report(0, 1, false);
	return 0;
}

static void
read_back(bool valid)
{
	prf_read_back_begun(&p);
	prf_read_back_ended(&p, valid);
}

static void
test_order_in_time_proves(void **state)
{
	assert_int_equal(prf_usable(&p, LAYERS), 1);
	assert_int_equal(order(2), 0);
	answer(PRF_BEGUN, SECOND);
	report(1, 0, true);
	assert_int_equal(prf_usable(&p, LAYERS), 0);
	report(1, 2, false);
	assert_int_equal(prf_usable(&p, LAYERS), 2);
	assert_false(prf_is_uncertain(&p));
	assert_true(prf_has_loaded(&p));
}

/* Guards against requests by the engine's record where the sidecar ends before its
 * order is answered: gateways heard of no doubt. */
static void
test_order_in_flight_is_uncertain(void **state)
{
	assert_false(prf_is_uncertain(&p));
	order(2);
	assert_true(prf_is_uncertain(&p));
	assert_int_equal(prf_usable(&p, LAYERS), 1);
	answer(PRF_BEGUN, SECOND);
	assert_false(prf_is_uncertain(&p));
}

/* Guards against tokens from a chunk that turned corrupt after its check: the
 * order was answered too late for it. */
static void
test_late_answer_does_not_prove(void **state)
{
	order(2);
	answer(PRF_BEGUN, PRF_TOLERANCE_US + 1);
	report(1, 2, false);
	assert_int_equal(prf_usable(&p, LAYERS), 0);
	assert_true(prf_needs_read_back(&p));
	read_back(true);
	assert_int_equal(prf_usable(&p, LAYERS), 2);
}

/* Guards against tokens from a chunk that turned corrupt while an engine stood
 * still: it carries out an order that was given up. */
static void
test_order_that_was_given_up(void **state)
{
	order(2);
	answer(PRF_UNKNOWN, SECOND);
	assert_true(prf_is_uncertain(&p));
	report(0, 1, false);
	assert_int_equal(prf_usable(&p, LAYERS), 1); /* no order has begun */
	report(1, 0, true);
	assert_int_equal(prf_usable(&p, LAYERS), 0);
	assert_false(prf_needs_read_back(&p)); /* it is still loading */
	report(1, 2, false);
	assert_int_equal(prf_usable(&p, LAYERS), 0);
	read_back(true);
	assert_int_equal(prf_usable(&p, LAYERS), 2);
	assert_false(prf_is_uncertain(&p));
}

/* Of two orders that expect the same sequence one takes effect, so the answer to
 * the second one tells which. */
static void
test_second_order_settles_the_first(void **state)
{
	order(2);
	answer(PRF_UNKNOWN, SECOND);
	report(0, 1, false);
	assert_int_equal(order(2), 0);
	answer(PRF_BEGUN, 1000);
	assert_false(prf_is_uncertain(&p));
	report(1, 2, false);
	assert_int_equal(prf_usable(&p, LAYERS), 2);
}

static void
test_refused_order_leaves_the_first_in_doubt(void **state)
{
	order(2);
	answer(PRF_UNKNOWN, SECOND);
	report(0, 1, false);
	order(2);
	answer(PRF_NOT_BEGUN, 1000);
	assert_true(prf_is_uncertain(&p));
	report(1, 2, false);
	assert_int_equal(prf_usable(&p, LAYERS), 0);
}

/* Guards against a read-back that proves a load from corrupt chunks, as these
 * were written again meanwhile. */
static void
test_repaired_chunks_prove_nothing(void **state)
{
	order(2);
	answer(PRF_UNKNOWN, SECOND);
	prf_write_sent(&p);
	report(1, 2, false);
	assert_false(prf_needs_read_back(&p));
	assert_int_equal(prf_usable(&p, LAYERS), 0);
	read_back(true);
	assert_int_equal(prf_usable(&p, LAYERS), 0);
}

/* Guards against a load that a read-back proves although its corrupt chunk was
 * written again: an order of the sidecar's earlier process takes effect, and the
 * engine refuses that of the next one. */
static void
test_order_refused_for_another(void **state)
{
	prf_write_sent(&p);
	order(2);
	report(1, 0, true);
	answer(PRF_NOT_BEGUN, 1000);
	report(1, 2, false);
	assert_int_equal(prf_usable(&p, LAYERS), 0);
	assert_false(prf_needs_read_back(&p));
	order(2);
	answer(PRF_NOT_BEGUN, 1000);
	assert_int_equal(prf_usable(&p, LAYERS), 0);
}

static void
test_write_in_doubt_proves_nothing(void **state)
{
	prf_write_sent(&p);
	prf_write_in_doubt(&p);
	order(2);
	answer(PRF_UNKNOWN, SECOND);
	report(1, 2, false);
	assert_false(prf_needs_read_back(&p));
}

/* Guards against tokens from a chunk of an older version: its write was given up,
 * and took effect between the check and an order that was answered in time. */
static void
test_write_in_doubt_after_the_check(void **state)
{
	prf_write_sent(&p);
	prf_write_in_doubt(&p);
	order(2);
	answer(PRF_BEGUN, 1000);
	assert_false(prf_needs_read_back(&p)); /* it is loading */
	report(1, 0, true);
	report(1, 2, false);
	assert_int_equal(prf_usable(&p, LAYERS), 0);
	assert_true(prf_needs_read_back(&p));
	read_back(true);
	assert_int_equal(prf_usable(&p, LAYERS), 2);
	assert_false(prf_is_uncertain(&p));
	order(3);
	answer(PRF_BEGUN, 1000);
	report(2, 3, false);
	read_back(false);
	assert_int_equal(prf_usable(&p, LAYERS), 0);
	assert_false(prf_needs_read_back(&p));
}

static bool
next_is(unsigned int from, unsigned int to)
{
	struct prf_weights next = prf_next(&p, 2, LAYERS);

	return next.version == 2 && next.from == from && next.to == to;
}

static void
carry_out(int64_t after_us)
{
	struct prf_weights next = prf_next(&p, 2, LAYERS);
	int64_t sequence = order(2);

	answer(PRF_BEGUN, after_us);
	now_us += SECOND / 10;
	report_at(now_us, sequence + 1, next, false);
}

/* Guards against an engine that stays out of service: it takes an order for the
 * layers that it holds for one that is in effect. */
static void
test_unprovable_weights_are_loaded_again(void **state)
{
	order(2);
	answer(PRF_UNKNOWN, SECOND);
	report(1, 2, false);
	read_back(false);
	assert_true(next_is(8, 16)); /* gives up the lower half */
	carry_out(1000);
	assert_false(prf_needs_read_back(&p)); /* it is of the same load */
	assert_true(next_is(0, 8)); /* gives up the upper half */
	carry_out(1000);
	assert_int_equal(prf_usable(&p, LAYERS), 0);
	assert_false(prf_is_uncertain(&p));
	assert_true(next_is(0, 16)); /* the upper half in addition */
	carry_out(1000);
	assert_int_equal(prf_usable(&p, LAYERS), 2);
}

/* Guards against the same where the settings do not state the number of layers. */
static void
test_unknown_number_of_layers_is_that_of_the_held(void **state)
{
	struct prf_weights next;

	order(2);
	answer(PRF_UNKNOWN, SECOND);
	report(1, 2, false);
	read_back(false);
	next = prf_next(&p, 2, 0);
	assert_int_equal(next.from, LAYERS / 2);
	assert_int_equal(next.to, LAYERS);
}

/* Guards against loading without end, or half of a model that serves, where the
 * settings do not state the number of layers: once a half is given up, only what
 * was held before tells it. */
static void
test_unknown_number_of_layers_while_loading_again(void **state)
{
	const unsigned int half = LAYERS / 2;
	const struct prf_weights steps[] = { { 2, half, LAYERS },
		{ 2, 0, half }, { 2, 0, LAYERS } };
	struct prf_order o;
	unsigned int i;

	order(2);
	answer(PRF_UNKNOWN, SECOND);
	report(1, 2, false);
	read_back(false);
	for (i = 0; i < G_N_ELEMENTS(steps); i++) {
		assert_int_equal(prf_usable(&p, 0), 0);
		o = (struct prf_order){ .weights = prf_next(&p, 2, 0),
			.checked_us = now_us };
		assert_int_equal(o.weights.from, steps[i].from);
		assert_int_equal(o.weights.to, steps[i].to);
		assert_int_equal(prf_layers(&p, 2, 0), LAYERS);
		prf_order_sent(&p, &o);
		answer(PRF_BEGUN, 1000);
		report_at(now_us + 1, 2 + (int64_t)i, (struct prf_weights){ 0 },
		    true);
		report_at(now_us + 2, 2 + (int64_t)i, steps[i], false);
	}
	assert_int_equal(prf_usable(&p, 0), 2);
}

/* Guards against one order after the other, each of which is in effect already. */
static void
test_order_in_effect_has_loaded_nothing(void **state)
{
	order(1);
	answer(PRF_NOT_BEGUN, 1000);
	report(0, 1, false);
	assert_false(prf_has_loaded(&p));
}

/* The same while orders are answered late: it ends once they are in time. */
static void
test_late_orders_while_loading_again(void **state)
{
	unsigned int i;

	order(2);
	answer(PRF_UNKNOWN, SECOND);
	prf_write_sent(&p);
	report(1, 2, false);
	for (i = 0; i < 6; i++) {
		carry_out(PRF_TOLERANCE_US + 1);
		assert_int_equal(prf_usable(&p, LAYERS), 0);
	}
	for (i = 0; i < 5 && prf_usable(&p, LAYERS) == 0; i++)
		carry_out(1000);
	assert_int_equal(prf_usable(&p, LAYERS), 2);
}

/* Reports overtake answers, and are overtaken. */
static void
test_reports_around_an_answer(void **state)
{
	struct prf_weights one = { 1, 0, LAYERS }, two = { 2, 0, LAYERS };
	int64_t before_us = now_us;

	order(2);
	report(1, 0, true); /* the order has begun; its answer follows */
	assert_int_equal(prf_usable(&p, LAYERS), 0);
	answer(PRF_BEGUN, 1000);
	report_at(before_us, 0, one, false); /* requested before the answer */
	assert_int_equal(prf_usable(&p, LAYERS), 0);
	report_at(now_us + 1, 1, two, false);
	assert_int_equal(prf_usable(&p, LAYERS), 2);
}

/* Guards against an answer that is lost after a report has shown the load. */
static void
test_report_before_a_lost_answer(void **state)
{
	order(2);
	report(1, 2, false);
	answer(PRF_UNKNOWN, SECOND);
	assert_int_equal(prf_usable(&p, LAYERS), 0);
	report(1, 2, false);
	assert_true(prf_needs_read_back(&p));
}

static void
test_restarted_engine(void **state)
{
	order(2);
	answer(PRF_BEGUN, 1000);
	report(1, 2, false);
	/* It shows by the sequence, or is known by its start. */
	report(0, 0, false);
	assert_false(prf_is_uncertain(&p));
	assert_int_equal(order(2), 0);
	answer(PRF_BEGUN, 1000);
	report(1, 2, false);
	assert_int_equal(prf_usable(&p, LAYERS), 2);
	prf_restarted(&p);
	report(1, 2, false);
	assert_int_equal(prf_usable(&p, LAYERS), 0);
	assert_true(prf_needs_read_back(&p));
}

/* Guards against trust in what an engine holds as a sidecar starts beside it: an
 * order of the sidecar's earlier process may just have taken effect. */
static void
test_start_beside_a_loading_or_silent_engine(void **state)
{
	struct prf_report r = { .held = { 2, 0, LAYERS }, .sequence = 1 };

	p = (struct prf){ 0 };
	prf_reported(&p, &r);
	assert_int_equal(prf_usable(&p, LAYERS), 2);
	p = (struct prf){ 0 };
	r.was_silent = true;
	prf_reported(&p, &r);
	assert_int_equal(prf_usable(&p, LAYERS), 0);
	read_back(true);
	assert_int_equal(prf_usable(&p, LAYERS), 2);
	p = (struct prf){ 0 };
	r.was_silent = false;
	r.busy = true;
	prf_reported(&p, &r);
	assert_int_equal(prf_usable(&p, LAYERS), 0);
}

/* Guards against tokens from a chunk that turned corrupt before an order took
 * effect whose sidecar ended: the next process finds the engine idle. */
static void
test_doubt_of_the_process_before(void **state)
{
	bool told_first;

	for (told_first = false;; told_first = true) {
		p = (struct prf){ 0 };
		if (told_first)
			prf_doubted(&p, 1);
		report(1, 2, false);
		if (!told_first)
			prf_doubted(&p, 1);
		assert_int_equal(prf_usable(&p, LAYERS), 0);
		assert_true(prf_is_uncertain(&p));
		/* Chunks may have been written since. */
		assert_false(prf_needs_read_back(&p));
		if (told_first)
			break;
	}
}

/* The order has not taken effect yet: what was proved before stays in use. */
static void
test_doubt_about_the_next_order(void **state)
{
	p = (struct prf){ 0 };
	prf_doubted(&p, 1);
	report(0, 1, false);
	assert_int_equal(prf_usable(&p, LAYERS), 1);
	assert_true(prf_is_uncertain(&p));
	report(1, 2, false);
	assert_int_equal(prf_usable(&p, LAYERS), 0);
	p = (struct prf){ 0 };
	prf_doubted(&p, 0);
	report(0, 0, false); /* nothing is loaded */
	order(2);
	answer(PRF_BEGUN, 1000);
	report(1, 2, false);
	assert_int_equal(prf_usable(&p, LAYERS), 2);
	assert_false(prf_is_uncertain(&p));
}

/* An order takes effect while a read-back runs: it proves nothing. */
static void
test_order_during_a_read_back(void **state)
{
	order(2);
	answer(PRF_UNKNOWN, SECOND);
	report(1, 2, false);
	prf_read_back_begun(&p);
	report(2, 3, false);
	prf_read_back_ended(&p, true);
	assert_int_equal(prf_usable(&p, LAYERS), 0);
}

/* Without a sequence a change of what the engine holds shows the order. */
static void
test_engine_without_a_sequence(void **state)
{
	p = (struct prf){ 0 };
	report(PRF_NO_SEQUENCE, 1, false);
	assert_int_equal(order(2), PRF_NO_SEQUENCE);
	answer(PRF_BEGUN, 1000);
	report(PRF_NO_SEQUENCE, 2, false);
	assert_int_equal(prf_usable(&p, LAYERS), 2);
	order(3);
	answer(PRF_UNKNOWN, SECOND);
	report(PRF_NO_SEQUENCE, 2, false);
	assert_int_equal(prf_usable(&p, LAYERS), 2);
	report(PRF_NO_SEQUENCE, 3, false);
	assert_int_equal(prf_usable(&p, LAYERS), 0);
}

static void
test_number_of_layers_is_not_known(void **state)
{
	struct prf_weights all = prf_next(&p, 2, 0);

	prf_order_sent(
	    &p, &(struct prf_order){ .weights = all, .checked_us = now_us });
	answer(PRF_BEGUN, 1000);
	report(1, 2, false);
	assert_int_equal(prf_usable(&p, 0), 2);
	assert_int_equal(prf_usable(&p, LAYERS), 2);
	assert_int_equal(prf_usable(&p, LAYERS + 1), 0);
}

#define T(test) cmocka_unit_test_setup(test, set_up)

int
main(void)
{
	const struct CMUnitTest tests[] = {
		T(test_order_in_time_proves),
		T(test_order_in_flight_is_uncertain),
		T(test_late_answer_does_not_prove),
		T(test_order_that_was_given_up),
		T(test_second_order_settles_the_first),
		T(test_refused_order_leaves_the_first_in_doubt),
		T(test_repaired_chunks_prove_nothing),
		T(test_order_refused_for_another),
		T(test_write_in_doubt_proves_nothing),
		T(test_write_in_doubt_after_the_check),
		T(test_unprovable_weights_are_loaded_again),
		T(test_unknown_number_of_layers_is_that_of_the_held),
		T(test_unknown_number_of_layers_while_loading_again),
		T(test_order_in_effect_has_loaded_nothing),
		T(test_late_orders_while_loading_again),
		T(test_reports_around_an_answer),
		T(test_report_before_a_lost_answer),
		T(test_restarted_engine),
		T(test_start_beside_a_loading_or_silent_engine),
		T(test_doubt_of_the_process_before),
		T(test_doubt_about_the_next_order),
		T(test_order_during_a_read_back),
		T(test_engine_without_a_sequence),
		T(test_number_of_layers_is_not_known),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
