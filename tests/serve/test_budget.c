/* The retry budget of all gateways, while they start, stop and lose contact. */

#include "budget_world.h"

static struct budget_world w;

/* A gateway that starts again has its previous process's retries to answer for:
 * four starts in a window used to spend the share of the slack four times. */
static void
test_restarted_one_by_one(void **state)
{
	unsigned int i;

	world_open(&w, 5, 4, 10);
	for (i = 0; i < 25; i++) {
		run_for(&w, 800000);
		kill_gateway(&w, i % 5, 500000);
	}
	assert_within_budget(&w);
	world_close(&w);
}

/* The same where all of them start again at once. */
static void
test_restarted_together(void **state)
{
	unsigned int i, g;

	world_open(&w, 5, 4, 10);
	for (i = 0; i < 8; i++) {
		run_for(&w, 2300000);
		for (g = 0; g < w.ngateways; g++)
			kill_gateway(&w, g, 500000);
	}
	assert_within_budget(&w);
	world_close(&w);
}

/* What a silent gateway has spent stays in the window: the others used to divide
 * the slack by fewer as soon as sidecars had not heard it for three seconds. */
static void
test_silent_gateways(void **state)
{
	unsigned int g;

	world_open(&w, 5, 4, 10);
	run_for(&w, 2 * SECOND);
	for (g = 0; g < 3; g++)
		kill_gateway(&w, g, 6 * SECOND);
	run_for(&w, 20 * SECOND);
	assert_within_budget(&w);
	world_close(&w);
}

/* A sidecar hears only some gateways for a while: each of them used to divide
 * the slack by their number. */
static void
test_divided(void **state)
{
	unsigned int g, s;

	world_open(&w, 6, 4, 10);
	for (g = 0; g < w.ngateways; g++) {
		for (s = 0; s < w.nsides; s++)
			w.cut[g][s] = g % 2 != s % 2;
	}
	run_for(&w, 25 * SECOND);
	assert_within_budget(&w);
	world_close(&w);
}

/* A gateway that no sidecar has answered used to divide the slack by a number
 * from its settings. */
static void
test_number_unknown(void **state)
{
	unsigned int g, s;

	world_open(&w, 8, 2, 10);
	run_for(&w, SECOND);
	for (g = 0; g < w.ngateways; g++) {
		kill_gateway(&w, g, 500000);
		for (s = 0; s < w.nsides; s++)
			w.cut[g][s] = true;
	}
	run_for(&w, 25 * SECOND);
	assert_within_budget(&w);
	world_close(&w);
}

/* ------------------------------------------------------------------ */
/* What a restart costs callers                                        */
/* ------------------------------------------------------------------ */

/* Guards against a gateway that has no slack for a window after each start:
 * what its earlier process has not used is there at once. */
static void
test_restart_keeps_the_slack(void **state)
{
	unsigned int g;

	world_open(&w, 5, 4, 0);
	for (g = 0; g < w.ngateways; g++) {
		kill_gateway(&w, g, 500000);
		w.gateway[g].requests_s = 40;
	}
	run_for(&w, 2 * SECOND);
	assert_true(w.retries->len >= SLACK_USED * SLACK);
	assert_within_budget(&w);
	world_close(&w);
}

static unsigned int
retries_with(unsigned int killed, bool together)
{
	unsigned int g, n;

	world_open(&w, 5, 4, 10);
	run_for(&w, 5 * SECOND);
	for (g = 0; g < killed; g++) {
		kill_gateway(&w, g, 500000);
		if (!together)
			run_for(&w, 2 * SECOND);
	}
	run_for(&w, (together ? 20 : 20 - 2 * killed) * SECOND);
	assert_within_budget(&w);
	n = w.retries->len;
	world_close(&w);
	return n;
}

/* Guards against an account that a restart makes smaller than it was: one
 * restart of each gateway, in turn or together, costs no more retries than
 * requests came while they were down. */
static void
test_single_restart(void **state)
{
	unsigned int undisturbed = retries_with(0, true);
	unsigned int missed = 5 * 5;

	assert_true(retries_with(1, true) + missed / 5 >= undisturbed);
	assert_true(retries_with(5, true) + missed >= undisturbed);
	assert_true(retries_with(5, false) + missed >= undisturbed);
}

/* Guards against gateways that never use the slack again: all of them start
 * again every few seconds, the first time with nobody who knows. */
static void
test_restarted_before_known(void **state)
{
	unsigned int i, g, s;

	world_open(&w, 5, 4, 0);
	for (s = 0; s < w.nsides; s++)
		side_start(&w.side[s]);
	for (i = 0; i < 4; i++) {
		for (g = 0; g < w.ngateways; g++)
			kill_gateway(&w, g, 500000);
		run_for(&w, 4 * SECOND);
	}
	for (g = 0; g < w.ngateways; g++)
		w.gateway[g].requests_s = 40;
	run_for(&w, 2 * SECOND);
	assert_true(w.retries->len >= SLACK_USED * SLACK);
	assert_within_budget(&w);
	world_close(&w);
}

/* A gateway at a new address shares the slack once the others, who may have
 * used all of it, know of it. */
static void
test_added_gateway(void **state)
{
	world_open(&w, 4, 4, 10);
	run_for(&w, 5 * SECOND);
	w.ngateways = 5;
	gateway_start(&w, 4);
	w.gateway[4].requests_s = 10;
	run_for(&w, 4 * SECOND);
	assert_true(w.gateway[4].retries > 0);
	assert_true(w.gateway[4].retries <= RATIO_USED * RATIO * 40);
	run_for(&w, 20 * SECOND);
	assert_int_equal(w.gateway[0].conf.processes, 5);
	assert_int_equal(w.gateway[4].conf.processes, 5);
	assert_within_budget(&w);
	world_close(&w);
}

/* A gateway without a sidecar that could take copies uses no slack, and some
 * again as soon as one responds. */
static void
test_no_sidecar(void **state)
{
	unsigned int s, n;

	world_open(&w, 2, 2, 0);
	for (s = 0; s < w.nsides; s++)
		w.cut[0][s] = true;
	run_for(&w, 2 * SECOND);
	w.gateway[0].requests_s = 10;
	run_for(&w, SECOND);
	n = w.gateway[0].retries;
	assert_true(n <= RATIO_USED * RATIO * 10);
	w.cut[0][1] = false;
	run_for(&w, SECOND);
	assert_true(w.gateway[0].retries - n >= 9);
	world_close(&w);
}

/* ------------------------------------------------------------------ */
/* Random schedules                                                    */
/* ------------------------------------------------------------------ */

#define SEEDS 2000
#define EVENTS 40

static void
cut_randomly(struct rng *rng, unsigned int g)
{
	uint64_t how = rng_below(rng, 3);
	unsigned int s;

	for (s = 0; s < w.nsides; s++)
		w.cut[g][s] = how == 0 || (how == 1 && rng_below(rng, 2) == 0);
}

static void
disturb_gateway(struct rng *rng, unsigned int g)
{
	switch (rng_below(rng, 4)) {
	case 0: /* killed, or stopped as planned */
		kill_gateway(&w, g, 300000 + (int64_t)rng_below(rng, SECOND));
		break;
	case 1: /* without power */
		kill_gateway(
		    &w, g, SECOND + (int64_t)rng_below(rng, 8 * SECOND));
		break;
	case 2:
		w.gateway[g].paused_us =
		    w.now_us + (int64_t)rng_below(rng, 5 * SECOND);
		break;
	case 3:
		cut_randomly(rng, g);
		break;
	}
}

static void
disturb_side(struct rng *rng, unsigned int s)
{
	if (rng_below(rng, 2) == 0)
		side_start(&w.side[s]);
	else
		w.side[s].paused_us =
		    w.now_us + (int64_t)rng_below(rng, 5 * SECOND);
}

static void
disturb(struct rng *rng)
{
	unsigned int g, one = (unsigned int)rng_below(rng, w.ngateways);
	uint64_t which = rng_below(rng, 6);

	if (which == 0)
		disturb_side(rng, (unsigned int)rng_below(rng, w.nsides));
	for (g = 0; g < w.ngateways; g++) {
		if (which == 1 || (which == 2 && rng_below(rng, 2) == 0) ||
		    (which > 2 && g == one))
			disturb_gateway(rng, g);
	}
}

/* Whatever starts, stops, stands still or loses contact: in every window all
 * retries together stay within the budget. */
static void
test_any_schedule(void **state)
{
	unsigned int seed, i, broken = 0;
	double worst = 0;
	struct rng rng;

	for (seed = 1; seed <= SEEDS; seed++) {
		rng_seed(&rng, seed);
		world_open(&w, 2 + (unsigned int)rng_below(&rng, 7),
		    1 + (unsigned int)rng_below(&rng, SIDES_MAX),
		    1 + (unsigned int)rng_below(&rng, 40));
		for (i = 0; i < EVENTS; i++) {
			disturb(&rng);
			run_for(&w, (int64_t)rng_below(&rng, 1500000));
		}
		if (worst_excess(&w) > 0)
			broken++;
		worst = MAX(worst, worst_excess(&w));
		world_close(&w);
	}
	if (broken > 0)
		fail_msg("%u of %u schedules beyond the budget, by up to %.0f",
		    broken, SEEDS, worst);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_restarted_one_by_one),
		cmocka_unit_test(test_restarted_together),
		cmocka_unit_test(test_silent_gateways),
		cmocka_unit_test(test_divided),
		cmocka_unit_test(test_number_unknown),
		cmocka_unit_test(test_restart_keeps_the_slack),
		cmocka_unit_test(test_single_restart),
		cmocka_unit_test(test_restarted_before_known),
		cmocka_unit_test(test_added_gateway),
		cmocka_unit_test(test_no_sidecar),
		cmocka_unit_test(test_any_schedule),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
