/* State machine of a request's attempts, defined by charts/attempt.yaml. */

#include "route/route.h"

struct att_chart {
	struct chart *chart;
	int events[ATT_EVENTS];
};

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

/* ------------------------------------------------------------------ */
/* Guards and actions                                                  */
/* ------------------------------------------------------------------ */

/* The attempt did not run: any request may be retried within the limits. */
static bool
may_try_again(void *ctx, const void *event_data)
{
	const struct att *att = ctx;

	return att->facts.attempts < att->facts.max_attempts &&
	    att->facts.budget && att->facts.time_left;
}

/*
 * The attempt may have run: only an idempotent request is retried. A second run
 * of any other would repeat its effect, such as a booking or a sent note.
 */
static bool
may_run_again(void *ctx, const void *event_data)
{
	const struct att *att = ctx;

	return att->facts.idempotent && may_try_again(ctx, event_data);
}

/* The deadline passed between two attempts: earlier losses are recorded, and
 * recording another would turn a correct NOT_RUN into MAY_HAVE_RUN. */
static bool
nothing_sent(void *ctx, const void *event_data)
{
	const struct att *att = ctx;

	return att->facts.nothing_sent;
}

static bool
keyed(void *ctx, const void *event_data)
{
	const struct att *att = ctx;

	return att->facts.keyed;
}

/* A gateway that was paused may receive its claim after the deadline, when the
 * caller has already been answered NOT_RUN. */
static bool
time_left(void *ctx, const void *event_data)
{
	const struct att *att = ctx;

	return att->facts.time_left;
}

static void
do_dispatch(void *ctx, const void *event_data)
{
	struct att *att = ctx;

	att->ops->dispatch(att->ctx);
}

static void
do_pass_head(void *ctx, const void *event_data)
{
	struct att *att = ctx;

	att->ops->pass_head(att->ctx);
}

static void
do_finish(void *ctx, const void *event_data)
{
	struct att *att = ctx;

	att->ops->finish(att->ctx);
}

static void
do_fail(void *ctx, const void *event_data)
{
	struct att *att = ctx;

	att->ops->fail(att->ctx);
}

static void
do_cut(void *ctx, const void *event_data)
{
	struct att *att = ctx;

	att->ops->cut(att->ctx);
}

static void
do_cancel(void *ctx, const void *event_data)
{
	struct att *att = ctx;

	att->ops->cancel(att->ctx);
}

static void
do_claim(void *ctx, const void *event_data)
{
	struct att *att = ctx;

	att->ops->claim(att->ctx);
}

static void
do_detach(void *ctx, const void *event_data)
{
	struct att *att = ctx;

	att->ops->detach(att->ctx);
}

static void
do_settle(void *ctx, const void *event_data)
{
	struct att *att = ctx;

	if (att->facts.keyed)
		att->ops->settle(att->ctx);
}

static void
do_note_may_have_run(void *ctx, const void *event_data)
{
	struct att *att = ctx;

	att->may_have_run = true;
}

static const struct chart_guard guards[] = {
	{ "may_try_again", may_try_again },
	{ "may_run_again", may_run_again },
	{ "nothing_sent", nothing_sent },
	{ "keyed", keyed },
	{ "time_left", time_left },
	{ NULL, NULL },
};

static const struct chart_action actions[] = {
	{ "dispatch", do_dispatch },
	{ "pass_head", do_pass_head },
	{ "finish", do_finish },
	{ "fail", do_fail },
	{ "cut", do_cut },
	{ "cancel", do_cancel },
	{ "claim", do_claim },
	{ "detach", do_detach },
	{ "settle", do_settle },
	{ "note_may_have_run", do_note_may_have_run },
	{ NULL, NULL },
};

static const struct chart_binding binding = {
	.guards = guards,
	.actions = actions,
};

/* ------------------------------------------------------------------ */
/* The chart and its steps                                             */
/* ------------------------------------------------------------------ */

struct att_chart *
att_chart_load(const char *charts_dir, struct err *err)
{
	struct chart *chart = chart_load(charts_dir, "attempt", &binding, err);
	struct att_chart *out;
	int i;

	if (chart == NULL)
		return NULL;
	out = g_new0(struct att_chart, 1);
	out->chart = chart;
	for (i = 0; i < ATT_EVENTS; i++) {
		out->events[i] = chart_event(chart, event_names[i]);
		if (out->events[i] < 0) {
			err_set(err, ERR_INVALID, VERDICT_NOT_RUN,
			    "chart attempt has no event '%s'", event_names[i]);
			att_chart_free(out);
			return NULL;
		}
	}
	return out;
}

void
att_chart_free(struct att_chart *chart)
{
	if (chart == NULL)
		return;
	chart_free(chart->chart);
	g_free(chart);
}

void
att_init(struct att *att, const struct att_chart *chart,
    const struct att_ops *ops, void *ctx)
{
	att->chart = chart;
	att->ops = ops;
	att->ctx = ctx;
	att->state = chart_start(chart->chart);
}

void
att_step(struct att *att, enum att_event event)
{
	g_assert(!att->in_step);
	att->in_step = true;
	att->state = chart_step(att->chart->chart, att->state,
	    att->chart->events[event], att, NULL);
	att->in_step = false;
}

bool
att_is_over(const struct att *att)
{
	return chart_is_final(att->chart->chart, att->state);
}
