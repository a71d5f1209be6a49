/* Retry decisions of the object API client, without I/O. */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <string.h>

#include "platform/platform_internal.h"

/*
 * One history of a write at version 7. `events`: b begin, l no response, n not
 * sent, w waited, r read-back failed, s read back unchanged; the last event may
 * be f read back, d conflict or o written, with `version` and `op`. `steps`
 * has one step for each event: W write, R read, P wait, E end.
 */
struct history {
	const char *events, *steps;
	uint64_t version;
	const char *op;
	enum err_code code;
	enum verdict verdict;
};

/*
 * Either the response to a write is lost or the write itself. The outcome is
 * determined by reading the object back, or by a conflict on the next attempt.
 * The verdict is MAY_HAVE_RUN only if later writes can hide this one: version 8
 * is the only version that this write can create.
 */
static const struct history conditional[] = {
	/* A response at once; the last is a conflict with the own write. */
	{ "bo", "WE", 8, NULL, ERR_NONE, 0 },
	{ "bd", "WE", 9, "other", ERR_CONFLICT, VERDICT_NOT_RUN },
	{ "bd", "WE", 8, "mine", ERR_NONE, 0 },
	/* The response is lost, and the object is read back. */
	{ "blwrwf", "WPRPRE", 8, "mine", ERR_NONE, 0 },
	{ "blwf", "WPRE", 9, "mine", ERR_NONE, 0 },
	{ "blwf", "WPRW", 7, "before", ERR_NONE, 0 },
	{ "blwf", "WPRE", 8, "other", ERR_CONFLICT, VERDICT_NOT_RUN },
	{ "blwf", "WPRE", 9, "other", ERR_CONFLICT, VERDICT_MAY_HAVE_RUN },
	{ "blwf", "WPRE", 6, "other", ERR_CONFLICT, VERDICT_MAY_HAVE_RUN },
	{ "blwf", "WPRE", 0, NULL, ERR_CONFLICT, VERDICT_MAY_HAVE_RUN },
	/* As before, but the object is unchanged: the write is sent again, and
	 * may conflict with the late first copy. */
	{ "blwsd", "WPRWE", 8, "mine", ERR_NONE, 0 },
	{ "blwsd", "WPRWE", 8, "other", ERR_CONFLICT, VERDICT_NOT_RUN },
	{ "blwsd", "WPRWE", 9, "other", ERR_CONFLICT, VERDICT_MAY_HAVE_RUN },
	/* A write that was not sent needs no read-back, unless the response to
	 * an earlier copy was lost. */
	{ "bnwd", "WPWE", 9, "other", ERR_CONFLICT, VERDICT_NOT_RUN },
	{ "blwsnwf", "WPRWPRE", 8, "mine", ERR_NONE, 0 },
};

/* An unconditional write is sent again whatever the version, unless the object
 * has its operation id. */
static const struct history unconditional[] = {
	{ "blwf", "WPRW", 30, "other", ERR_NONE, 0 },
	{ "blwf", "WPRE", 30, "mine", ERR_NONE, 0 },
};

static struct obj_event
event_for(char letter, const struct history *row)
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

	if (letter == 's')
		event.version = 7;
	if (strchr("fdo", letter) != NULL) {
		event.version = row->version;
		event.op = row->op;
	}
	return event;
}

static void
replay(const struct history *row, bool is_conditional)
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
		struct obj_event event = event_for(row->events[i], row);

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
		replay(&conditional[i], true);
	for (i = 0; i < G_N_ELEMENTS(unconditional); i++)
		replay(&unconditional[i], false);
}
/* Whatever fails, every attempt and delay stays within the deadline, and the
 * verdict states whether a copy was sent. */
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
	unsigned int failures, draw, min, max, limit;
	struct rng rng;

	rng_seed(&rng, 3);
	for (failures = 1; failures < 40; failures++) {
		limit = failures < 8 ? OBJ_BACKOFF_FIRST_MS << (failures - 1)
				     : OBJ_BACKOFF_MAX_MS;
		limit = MIN(limit, OBJ_BACKOFF_MAX_MS);
		min = UINT32_MAX;
		max = 0;
		for (draw = 0; draw < 500; draw++) {
			unsigned int ms = obj_backoff_ms(&rng, failures);

			min = MIN(min, ms);
			max = MAX(max, ms);
		}
		assert_true(min <= limit / 10);
		assert_in_range(max, limit * 9 / 10, limit);
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
