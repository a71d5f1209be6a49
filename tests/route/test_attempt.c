/* Attempts: the state machine, and the retries that each verdict allows. */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <string.h>

#include "route/route.h"

static struct att_chart *chart;

struct trail { /* records the actions */
	struct att att;
	char actions[128];
};

static void
record(struct trail *trail, const char *what)
{
	if (trail->actions[0] != '\0')
		g_strlcat(trail->actions, " ", sizeof(trail->actions));
	g_strlcat(trail->actions, what, sizeof(trail->actions));
}

static void
on_dispatch(void *ctx)
{
	struct trail *trail = ctx;

	trail->att.facts.attempts++;
	record(trail, "dispatch");
}

#define ACTION(name)                     \
	static void on_##name(void *ctx) \
	{                                \
		record(ctx, #name);      \
	}
ACTION(pass_head)
ACTION(finish)
ACTION(fail)
ACTION(cut)
ACTION(cancel)
ACTION(claim)
ACTION(detach)
ACTION(settle)

static const struct att_ops ops = {
	.claim = on_claim,
	.detach = on_detach,
	.settle = on_settle,
	.dispatch = on_dispatch,
	.pass_head = on_pass_head,
	.finish = on_finish,
	.fail = on_fail,
	.cut = on_cut,
	.cancel = on_cancel,
};

static void
begin(struct trail *trail, const struct att_facts *facts)
{
	memset(trail, 0, sizeof(*trail));
	att_init(&trail->att, chart, &ops, trail);
	trail->att.facts = *facts;
}

#define S ATT_START
#define C ATT_CLAIMED
#define R ATT_REFUSED
#define L ATT_LOST
#define H ATT_HEAD
#define D ATT_DONE
#define T ATT_DEADLINE
#define G ATT_CALLER_GONE
#define END ATT_EVENTS

/*
 * Event sequences of one request each. `idempotent` is 0 or 1 where the cases
 * differ and 2 for both; KEYED: not idempotent, with a key.
 */
#define KEYED 3

static const struct {
	int idempotent;
	enum att_event events[6];
	const char *actions;
	bool over;
	bool may_have_run;
} cases[] = {
	/* Before the first attempt nothing has run. */
	{ 2, { R, END }, "fail", true, false },
	{ 2, { T, END }, "fail", true, false },
	{ 2, { G, END }, "", true, false },
	{ 2, { L, H, D, END }, "", false, false },
	/* A complete answer, streamed or buffered. */
	{ 2, { S, D, END }, "dispatch finish", true, false },
	{ 2, { S, H, D, END }, "dispatch pass_head finish", true, false },
	/* NOT_RUN: any request is retried. */
	{ 2, { S, R, D, END }, "dispatch dispatch finish", true, false },
	{ 2, { S, R, R, R, END }, "dispatch dispatch dispatch fail", true,
	    false },
	/* MAY_HAVE_RUN: only an idempotent request is retried. */
	{ 0, { S, L, END }, "dispatch fail", true, true },
	{ 1, { S, L, D, END }, "dispatch dispatch finish", true, true },
	{ 1, { S, L, L, L, END }, "dispatch dispatch dispatch fail", true,
	    true },
	/* NOT_RUN does not clear MAY_HAVE_RUN of an earlier attempt. */
	{ 1, { S, L, R, R, END }, "dispatch dispatch dispatch fail", true,
	    true },
	{ 0, { S, R, L, END }, "dispatch dispatch fail", true, true },
	/* No retry once the caller has received a byte. */
	{ 2, { S, H, L, END }, "dispatch pass_head cut", true, true },
	{ 2, { S, H, R, END }, "dispatch pass_head cut", true, false },
	{ 2, { S, H, T, END }, "dispatch pass_head cancel cut", true, true },
	{ 2, { S, H, G, END }, "dispatch pass_head cancel", true, true },
	{ 2, { S, H, H, S, D, END }, "dispatch pass_head finish", true, false },
	/* Deadline or disconnect while a target may run the request. */
	{ 2, { S, T, END }, "dispatch cancel fail", true, true },
	{ 2, { S, G, END }, "dispatch cancel", true, true },
	/* With a key nothing is sent before the claim is granted, and the
	 * last action records the outcome. */
	{ KEYED, { S, C, D, END }, "claim dispatch finish settle", true,
	    false },
	{ KEYED, { S, R, END }, "claim fail settle", true, false },
	{ KEYED, { S, T, C, END }, "claim fail settle", true, false },
	{ KEYED, { S, G, C, END }, "claim settle", true, false },
	{ KEYED, { S, L, END }, "claim fail", true, true },
	{ KEYED, { S, D, END }, "claim finish", true, false },
	{ KEYED, { S, C, R, C, D, END },
	    "claim dispatch dispatch finish settle", true, false },
	{ KEYED, { S, C, L, END }, "claim dispatch fail settle", true, true },
	{ KEYED, { S, C, T, END }, "claim dispatch cancel fail settle", true,
	    true },
	{ KEYED, { S, C, H, L, END }, "claim dispatch pass_head cut settle",
	    true, true },
	/* The caller disconnects, and the work goes on. */
	{ KEYED, { S, C, G, D, END }, "claim dispatch detach finish settle",
	    true, false },
	{ KEYED, { S, C, H, G, D, END },
	    "claim dispatch pass_head detach finish settle", true, false },
	/* Events after the end are ignored. */
	{ 2, { S, D, L, H, D, END }, "dispatch finish", true, false },
	{ 2, { S, T, D, R, G, END }, "dispatch cancel fail", true, true },
};

static void
run_case(size_t i, bool idempotent)
{
	struct trail trail;
	const struct att_facts facts = {
		.idempotent = idempotent,
		.keyed = cases[i].idempotent == KEYED,
		.max_attempts = 3,
		.budget = true,
		.time_left = true,
	};
	size_t n;

	begin(&trail, &facts);
	for (n = 0; cases[i].events[n] != END; n++)
		att_step(&trail.att, cases[i].events[n]);
	assert_string_equal(trail.actions, cases[i].actions);
	assert_int_equal(att_is_over(&trail.att), cases[i].over);
	assert_int_equal(trail.att.may_have_run, cases[i].may_have_run);
}

static void
test_event_sequences(void **state)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		if (cases[i].idempotent != 1)
			run_case(i, false);
		if (cases[i].idempotent == 1 || cases[i].idempotent == 2)
			run_case(i, true);
	}
}

/*
 * After an attempt without an answer the request fails at once, with no retry,
 * if any one limit excludes it: the maximum of attempts, the retry budget, the
 * deadline, or a request that must not run twice.
 */
static void
test_limits_of_retry(void **state)
{
	unsigned int bits;
	struct trail trail;
	enum att_event event;

	for (bits = 0; bits < 32; bits++) {
		const struct att_facts facts = {
			.idempotent = (bits & 1) != 0,
			.max_attempts = (bits & 2) != 0 ? 2 : 1,
			.budget = (bits & 4) != 0,
			.time_left = (bits & 8) != 0,
		};
		bool again =
		    facts.max_attempts == 2 && facts.budget && facts.time_left;

		event = (bits & 16) != 0 ? ATT_LOST : ATT_REFUSED;
		if (event == ATT_LOST)
			again = again && facts.idempotent;
		begin(&trail, &facts);
		att_step(&trail.att, ATT_START);
		att_step(&trail.att, event);
		assert_string_equal(trail.actions,
		    again ? "dispatch dispatch" : "dispatch fail");
		assert_int_equal(att_is_over(&trail.att), !again);
	}
}

/*
 * No target could be chosen, and the deadline passes before the attempt is
 * refused. As nothing was sent, the verdict must be NOT_RUN and not
 * MAY_HAVE_RUN.
 */
static void
test_deadline_with_nothing_sent(void **state)
{
	const struct att_facts facts = { .max_attempts = 3 };
	struct trail trail;

	begin(&trail, &facts);
	att_step(&trail.att, ATT_START);
	trail.att.facts.nothing_sent = true;
	att_step(&trail.att, ATT_DEADLINE);
	assert_string_equal(trail.actions, "dispatch fail");
	assert_true(att_is_over(&trail.att));
	assert_false(trail.att.may_have_run);
}

/*
 * A gateway is paused beyond the deadline of a request, and then receives the
 * claim before its deadline timer runs. The request must not be dispatched, as
 * the caller was answered NOT_RUN at the deadline.
 */
static void
test_claimed_too_late(void **state)
{
	const struct att_facts facts = { .max_attempts = 3, .keyed = true };
	struct trail trail;

	begin(&trail, &facts);
	att_step(&trail.att, ATT_START);
	att_step(&trail.att, ATT_CLAIMED);
	assert_string_equal(trail.actions, "claim fail settle");
	assert_true(att_is_over(&trail.att));
	assert_false(trail.att.may_have_run);
}

static void
test_chart_missing(void **state)
{
	struct err err = { 0 };

	assert_null(att_chart_load("/nonexistent", &err));
	assert_true(err_is(&err));
}

static int
load_chart(void **state)
{
	struct err err = { 0 };

	chart = att_chart_load(SOURCE_DIR "/charts", &err);
	assert_string_equal(err.message, "");
	return 0;
}

static int
free_chart(void **state)
{
	att_chart_free(chart);
	return 0;
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_event_sequences),
		cmocka_unit_test(test_limits_of_retry),
		cmocka_unit_test(test_deadline_with_nothing_sent),
		cmocka_unit_test(test_claimed_too_late),
		cmocka_unit_test(test_chart_missing),
	};

	return cmocka_run_group_tests(tests, load_chart, free_chart);
}
