/* Attempts: an input is an event and the facts that hold from then on. */

#include <string.h>

#include "replay/replay.h"
#include "route/route.h"

static const char *const event_names[ATT_EVENTS] = {
	[ATT_START] = "start",
	[ATT_CLAIMED] = "claimed",
	[ATT_REFUSED] = "refused",
	[ATT_LOST] = "lost",
	[ATT_HEAD] = "head",
	[ATT_DONE] = "done",
	[ATT_DEADLINE] = "deadline",
	[ATT_CALLER_GONE] = "caller_gone",
};

struct state {
	struct att_chart *chart;
	struct att att;
	struct step *step; /* current step */
	bool finished;
	bool was_over;
};

#define ACTION(name)                              \
	static void on_##name(void *ctx)          \
	{                                         \
		struct state *s = ctx;            \
                                                  \
		add_action(s->step, "%s", #name); \
	}

ACTION(pass_head)
ACTION(fail)
ACTION(cut)
ACTION(cancel)
ACTION(claim)
ACTION(detach)
ACTION(settle)

static void
on_dispatch(void *ctx)
{
	struct state *s = ctx;

	s->att.facts.attempts++;
	add_action(s->step, "dispatch");
}

static void
on_finish(void *ctx)
{
	struct state *s = ctx;

	s->finished = true;
	add_action(s->step, "finish");
}

static const struct att_ops ops = {
	.dispatch = on_dispatch,
	.pass_head = on_pass_head,
	.finish = on_finish,
	.fail = on_fail,
	.cut = on_cut,
	.cancel = on_cancel,
	.claim = on_claim,
	.detach = on_detach,
	.settle = on_settle,
};

static void *
begin(void)
{
	struct state *s = g_new0(struct state, 1);
	struct err err = { 0 };

	s->chart = att_chart_load(SOURCE_DIR "/charts", &err);
	if (s->chart == NULL)
		g_error("%s", err.message);
	att_init(&s->att, s->chart, &ops, s);
	return s;
}

static void
end(void *state)
{
	struct state *s = state;

	att_chart_free(s->chart);
	g_free(s);
}

/* Sets all facts at the start of a request, and only variable ones later. */
static void
set_facts(struct state *s, const struct step *step)
{
	struct att_facts *f = &s->att.facts;

	if (is_token(step, 0, "start")) {
		f->idempotent = has_flag(step, "idempotent");
		f->keyed = has_flag(step, "keyed");
		f->max_attempts = number_of(step, "attempts", 3);
	}
	f->budget = !has_flag(step, "no_budget");
	f->time_left = !has_flag(step, "no_time");
	f->nothing_sent = has_flag(step, "nothing_sent");
}

static enum verdict
verdict_of(const struct state *s)
{
	if (s->finished)
		return VERDICT_RAN;
	return s->att.may_have_run ? VERDICT_MAY_HAVE_RUN : VERDICT_NOT_RUN;
}

static void
apply(void *state, struct step *step)
{
	struct state *s = state;
	int event;

	for (event = 0; event < ATT_EVENTS; event++) {
		if (is_token(step, 0, event_names[event]))
			break;
	}
	if (event == ATT_EVENTS) {
		bad_input(step, "unknown event");
		return;
	}
	s->step = step;
	set_facts(s, step);
	att_step(&s->att, event);
	if (att_is_over(&s->att) && !s->was_over)
		add_action(step, "over %s", verdict_name(verdict_of(s)));
	s->was_over = att_is_over(&s->att);
}

const struct player attempt_player = { "attempt", begin, apply, end };
