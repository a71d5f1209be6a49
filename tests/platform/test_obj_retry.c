/* Decisions of the object API's client, without any input or output. */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <string.h>

#include "platform/platform_internal.h"

/*
 * One history of a write from version 7. `events`: b begin, l answer lost,
 * n not sent, w waited, r reading back failed; the last may be f found,
 * d differs or o written, with `version` and `op`. `steps`, one each: W
 * write, R read, P wait, E end.
 */
struct history {
	const char *events, *steps;
	uint64_t version;
	const char *op;
	enum err_code code;
	enum verdict verdict;
};

/*
 * The API applies a write and its answer is lost, or the write was lost on the
 * way there. What the object shows when read back decides, or a conflict when
 * it is sent again. Only where others' writes may hide ours does the caller
 * hear MAY_HAVE_RUN: version 8 is the only one that ours could have made.
 */
static const struct history conditional[] = {
	/* Answered at once; then with our own write, applied earlier. */
	{ "bo", "WE", 8, NULL, ERR_NONE, 0 },
	{ "bd", "WE", 9, "other", ERR_CONFLICT, VERDICT_NOT_RUN },
	{ "bd", "WE", 8, "mine", ERR_NONE, 0 },
	/* Lost and read back. */
	{ "blwrwf", "WPRPRE", 8, "mine", ERR_NONE, 0 },
	{ "blwf", "WPRE", 9, "mine", ERR_NONE, 0 },
	{ "blwf", "WPRW", 7, "before", ERR_NONE, 0 },
	{ "blwf", "WPRE", 8, "other", ERR_CONFLICT, VERDICT_NOT_RUN },
	{ "blwf", "WPRE", 9, "other", ERR_CONFLICT, VERDICT_MAY_HAVE_RUN },
	{ "blwf", "WPRE", 6, "other", ERR_CONFLICT, VERDICT_MAY_HAVE_RUN },
	{ "blwf", "WPRE", 0, NULL, ERR_CONFLICT, VERDICT_MAY_HAVE_RUN },
	/* Lost, found untouched, sent again, and the first came late. */
	{ "blwsd", "WPRWE", 8, "mine", ERR_NONE, 0 },
	{ "blwsd", "WPRWE", 8, "other", ERR_CONFLICT, VERDICT_NOT_RUN },
	{ "blwsd", "WPRWE", 9, "other", ERR_CONFLICT, VERDICT_MAY_HAVE_RUN },
	/* What was not sent needs no reading back; what was lost before does.
	 */
	{ "bnwd", "WPWE", 9, "other", ERR_CONFLICT, VERDICT_NOT_RUN },
	{ "blwsnwf", "WPRWPRE", 8, "mine", ERR_NONE, 0 },
};

/* An unconditional write is sent again whatever is there by now. */
static const struct history unconditional[] = {
	{ "blwf", "WPRW", 30, "other", ERR_NONE, 0 },
	{ "blwf", "WPRE", 30, "mine", ERR_NONE, 0 },
};

static struct obj_event
event_of(char letter, const struct history *row)
{
	static const enum obj_event_kind kinds[128] = {
		['b'] = OBJ_BEGIN,
		['l'] = OBJ_NO_RESPONSE,
		['n'] = OBJ_NOT_SENT,
		['w'] = OBJ_WAITED,
		['r'] = OBJ_READ_FAILED,
		['f'] = OBJ_READ_BACK,
		['s'] = OBJ_READ_BACK,
		['d'] = OBJ_CONFLICT,
		['o'] = OBJ_WRITTEN,
	};
	struct obj_event event = { .kind = kinds[(int)letter] };

	if (letter == 's') /* found as it was */
		event.version = 7;
	if (strchr("fdo", letter) != NULL) {
		event.version = row->version;
		event.op = row->op;
	}
	return event;
}

static void
play(const struct history *row, bool is_conditional)
{
	struct obj_write write = {
		.op = "mine", .conditional = is_conditional, .if_version = 7
	};
	struct obj_action action = { .step = OBJ_DO_END };
	struct clk_fake clock;
	struct rng rng;
	size_t i;

	rng_seed(&rng, 1);
	clk_fake_init(&clock, 1000000);
	write.budget.deadline_ms = clk_now_ms(&clock.clock) + 10000;
	for (i = 0; row->events[i] != '\0'; i++) {
		struct obj_event event = event_of(row->events[i], row);

		action = obj_write_next(
		    &write, &event, clk_now_ms(&clock.clock), &rng);
		assert_int_equal("WRPE"[action.step], row -> steps[i]);
		clk_fake_advance_ms(&clock, 1);
	}
	assert_string_equal(
	    err_code_name(action.err.code), err_code_name(row->code));
	if (row->code != ERR_NONE)
		assert_int_equal(action.err.verdict, row->verdict);
	else if (action.step == OBJ_DO_END)
		assert_int_equal(action.version, row->version);
}

static void
test_histories(void **state)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(conditional); i++)
		play(&conditional[i], true);
	for (i = 0; i < G_N_ELEMENTS(unconditional); i++)
		play(&unconditional[i], false);
}
/* Every attempt and wait stays within the deadline, whatever fails, and the
 * end tells whether anything was sent. */
static void
test_deadline_bounds_all(void **state)
{
	static const enum obj_event_kind failures[] = { OBJ_NOT_SENT,
		OBJ_NO_RESPONSE };
	static const enum verdict verdicts[] = { VERDICT_NOT_RUN,
		VERDICT_MAY_HAVE_RUN };
	struct obj_event event;
	struct obj_action action;
	struct clk_fake clock;
	struct rng rng;
	unsigned int i, steps;

	rng_seed(&rng, 7);
	for (i = 0; i < 2; i++) {
		struct obj_write write = { .op = "mine",
			.budget = { .deadline_ms = 6000 } };

		clk_fake_init(&clock, 1000000);
		event = (struct obj_event){ .kind = OBJ_BEGIN };
		for (steps = 0; steps < 1000; steps++) {
			action = obj_write_next(
			    &write, &event, clk_now_ms(&clock.clock), &rng);
			if (action.step == OBJ_DO_END)
				break;
			clk_fake_advance_ms(&clock, action.ms);
			assert_true(clk_now_ms(&clock.clock) <= 6000);
			event.kind = action.step == OBJ_DO_WAIT ? OBJ_WAITED
			    : action.step == OBJ_DO_READ ? OBJ_READ_FAILED
							 : failures[i];
		}
		assert_in_range(steps, 4, 100);
		assert_int_equal(action.err.code, ERR_UNAVAILABLE);
		assert_int_equal(action.err.verdict, verdicts[i]);
		assert_true(clk_now_ms(&clock.clock) > 5900);
	}
}

static void
test_backoff_has_full_jitter(void **state)
{
	unsigned int failures, draw, least, most, limit;
	struct rng rng;

	rng_seed(&rng, 3);
	for (failures = 1; failures < 40; failures++) {
		limit = failures < 8 ? OBJ_BACKOFF_FIRST_MS << (failures - 1)
				     : OBJ_BACKOFF_MAX_MS;
		limit = MIN(limit, OBJ_BACKOFF_MAX_MS);
		least = UINT32_MAX;
		most = 0;
		for (draw = 0; draw < 500; draw++) {
			unsigned int ms = obj_backoff_ms(&rng, failures);

			least = MIN(least, ms);
			most = MAX(most, ms);
		}
		assert_true(least <= limit / 10);
		assert_in_range(most, limit * 9 / 10, limit);
	}
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_histories),
		cmocka_unit_test(test_deadline_bounds_all),
		cmocka_unit_test(test_backoff_has_full_jitter),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
