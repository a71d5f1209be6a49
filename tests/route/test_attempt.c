/* Attempts: every event in every state, and what the verdict allows. */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <string.h>

#include "route/route.h"

static struct att_chart *chart;

struct trail { /* what the callbacks saw */
	struct att att;
	char ran[128];
};

static void
note(struct trail *trail, const char *what)
{
	if (trail->ran[0] != '\0')
		g_strlcat(trail->ran, " ", sizeof(trail->ran));
	g_strlcat(trail->ran, what, sizeof(trail->ran));
}

static void
on_dispatch(void *ctx)
{
	struct trail *trail = ctx;

	trail->att.facts.attempts++;
	note(trail, "dispatch");
}

#define RECORDER(name)                   \
	static void on_##name(void *ctx) \
	{                                \
		note(ctx, #name);        \
	}
RECORDER(pass_head)
RECORDER(finish)
RECORDER(fail)
RECORDER(cut)
RECORDER(cancel)
RECORDER(claim)
RECORDER(detach)
RECORDER(settle)

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
 * One request each. `idempotent` 0 and 1 are given apart where they differ;
 * 2 stands for both; KEYED is not idempotent and has a key.
 */
#define KEYED 3

static const struct {
	int idempotent;
	enum att_event events[6];
	const char *ran;
	bool over;
	bool may_have_run;
} lives[] = {
	/* Before the first attempt nothing has run. */
	{ 2, { R, END }, "fail", true, false },
	{ 2, { T, END }, "fail", true, false },
	{ 2, { G, END }, "", true, false },
	{ 2, { L, H, D, END }, "", false, false },
	/* A whole answer, passed on at once or held. */
	{ 2, { S, D, END }, "dispatch finish", true, false },
	{ 2, { S, H, D, END }, "dispatch pass_head finish", true, false },
	/* NOT_RUN: both kinds are tried again. */
	{ 2, { S, R, D, END }, "dispatch dispatch finish", true, false },
	{ 2, { S, R, R, R, END }, "dispatch dispatch dispatch fail", true,
	    false },
	/* MAY_HAVE_RUN: only what is idempotent runs again. */
	{ 0, { S, L, END }, "dispatch fail", true, true },
	{ 1, { S, L, D, END }, "dispatch dispatch finish", true, true },
	{ 1, { S, L, L, L, END }, "dispatch dispatch dispatch fail", true,
	    true },
	/* A sure refusal after a loss does not make the request NOT_RUN. */
	{ 1, { S, L, R, R, END }, "dispatch dispatch dispatch fail", true,
	    true },
	{ 0, { S, R, L, END }, "dispatch dispatch fail", true, true },
	/* Nothing is run again once the caller has seen a byte. */
	{ 2, { S, H, L, END }, "dispatch pass_head cut", true, true },
	{ 2, { S, H, R, END }, "dispatch pass_head cut", true, false },
	{ 2, { S, H, T, END }, "dispatch pass_head cancel cut", true, true },
	{ 2, { S, H, G, END }, "dispatch pass_head cancel", true, true },
	{ 2, { S, H, H, S, D, END }, "dispatch pass_head finish", true, false },
	/* Time up or caller gone while a target may be at it. */
	{ 2, { S, T, END }, "dispatch cancel fail", true, true },
	{ 2, { S, G, END }, "dispatch cancel", true, true },
	/* With a key nothing is sent before the claim, and how it ended is
	 * the last thing done. */
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
	/* The caller goes, the work does not stop. */
	{ KEYED, { S, C, G, D, END }, "claim dispatch detach finish settle",
	    true, false },
	{ KEYED, { S, C, H, G, D, END },
	    "claim dispatch pass_head detach finish settle", true, false },
	/* What comes after the end is dropped. */
	{ 2, { S, D, L, H, D, END }, "dispatch finish", true, false },
	{ 2, { S, T, D, R, G, END }, "dispatch cancel fail", true, true },
};

static void
run_life(size_t i, bool idempotent)
{
	struct trail trail;
	const struct att_facts facts = {
		.idempotent = idempotent,
		.keyed = lives[i].idempotent == KEYED,
		.max_attempts = 3,
		.budget = true,
		.time_left = true,
	};
	size_t n;

	begin(&trail, &facts);
	for (n = 0; lives[i].events[n] != END; n++)
		att_take(&trail.att, lives[i].events[n]);
	assert_string_equal(trail.ran, lives[i].ran);
	assert_int_equal(att_is_over(&trail.att), lives[i].over);
	assert_int_equal(trail.att.may_have_run, lives[i].may_have_run);
}

static void
test_lives(void **state)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(lives); i++) {
		if (lives[i].idempotent != 1)
			run_life(i, false);
		if (lives[i].idempotent == 1 || lives[i].idempotent == 2)
			run_life(i, true);
	}
}

/*
 * The caller gets an error at once and not a second run. The first attempt
 * ends without an answer; a further one is out of tries, budget or time, or
 * the request must not run twice. Each limit alone is enough.
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
		att_take(&trail.att, ATT_START);
		att_take(&trail.att, event);
		assert_string_equal(
		    trail.ran, again ? "dispatch dispatch" : "dispatch fail");
		assert_int_equal(att_is_over(&trail.att), !again);
	}
}

/*
 * The caller is told NOT_RUN, and that is true. No target could be chosen, so
 * the attempt is about to be refused, when the deadline passes: nothing was
 * sent and the verdict must not say that something may have run.
 */
static void
test_deadline_with_nothing_sent(void **state)
{
	const struct att_facts facts = { .max_attempts = 3 };
	struct trail trail;

	begin(&trail, &facts);
	att_take(&trail.att, ATT_START);
	trail.att.facts.nothing_sent = true;
	att_take(&trail.att, ATT_DEADLINE);
	assert_string_equal(trail.ran, "dispatch fail");
	assert_true(att_is_over(&trail.att));
	assert_false(trail.att.may_have_run);
}

/*
 * The caller was told NOT_RUN at its deadline while the entry was paused. On
 * waking, the entry hears of its claim before its own timer runs.
 */
static void
test_claimed_too_late(void **state)
{
	const struct att_facts facts = { .max_attempts = 3, .keyed = true };
	struct trail trail;

	begin(&trail, &facts);
	att_take(&trail.att, ATT_START);
	att_take(&trail.att, ATT_CLAIMED);
	assert_string_equal(trail.ran, "claim fail settle");
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
		cmocka_unit_test(test_lives),
		cmocka_unit_test(test_limits_of_retry),
		cmocka_unit_test(test_deadline_with_nothing_sent),
		cmocka_unit_test(test_claimed_too_late),
		cmocka_unit_test(test_chart_missing),
	};

	return cmocka_run_group_tests(tests, load_chart, free_chart);
}
