/* One candidate of a leased role. */

#include <string.h>

#include "agree/lse_internal.h"
#include "replay/replay.h"

#define LEASE_MS 3000

struct state {
	struct chart *chart;
	struct lse *lse;
	struct step *step;
};

static void
on_read(void *ctx)
{
	struct state *s = ctx;

	add_action(s->step, "read");
}

static void
on_write(
    const char *value, uint64_t if_version, unsigned int limit_ms, void *ctx)
{
	struct state *s = ctx;
	struct lse_value v;

	if (!lse_value_parse(value, &v))
		bad_input(s->step, "the value written is not a lease");
	add_action(s->step,
	    "write %s fence=%" G_GUINT64_FORMAT " if=%" G_GUINT64_FORMAT,
	    v.handed_over ? "handed_over" : v.holder, v.fence, if_version);
}

static void
on_gained(uint64_t fence, void *ctx)
{
	struct state *s = ctx;

	add_action(s->step, "gained %" G_GUINT64_FORMAT, fence);
}

static void
on_lost(void *ctx)
{
	struct state *s = ctx;

	add_action(s->step, "lost");
}

static void
on_publish(uint64_t fence, const char *holder, void *ctx)
{
	struct state *s = ctx;

	add_action(s->step, "tell %" G_GUINT64_FORMAT " %s", fence,
	    holder[0] == '\0' ? "free" : holder);
}

static void
on_left(void *ctx)
{
	struct state *s = ctx;

	add_action(s->step, "left");
}

static const struct lse_ops ops = {
	.read = on_read,
	.write = on_write,
	.gained = on_gained,
	.lost = on_lost,
	.publish = on_publish,
	.left = on_left,
};

static void *
begin(void)
{
	const struct lse_conf conf = {
		.self = "me",
		.incarnation = 1,
		.lease_ms = LEASE_MS,
	};
	struct state *s = g_new0(struct state, 1);
	struct err err = { 0 };

	s->chart = lse_chart(SOURCE_DIR "/charts", &err);
	if (s->chart == NULL)
		g_error("%s", err.message);
	s->lse = lse_new(s->chart, &conf, &ops, s);
	return s;
}

static void
end(void *state)
{
	struct state *s = state;

	lse_free(s->lse);
	chart_free(s->chart);
	g_free(s);
}

/* Builds the object's text from the input: holder=ID fence=N life=N. */
static char *
object_of(const struct step *step)
{
	struct lse_value v = {
		.incarnation = number_of(step, "life", 1),
		.fence = number_of(step, "fence", 0),
		.lease_ms = LEASE_MS,
		.handed_over = has_flag(step, "handed_over"),
	};

	g_strlcpy(v.holder, value_of(step, "holder", ""), sizeof(v.holder));
	return lse_value_format(&v);
}

static bool
apply_answer(struct state *s, const struct step *step)
{
	uint64_t version = number_of(step, "version", 0);
	int64_t now_us = step->now_us;
	char *value = object_of(step);
	bool known = true;

	if (is_token(step, 0, "found"))
		lse_read_done(s->lse, now_us, true, version, value);
	else if (is_token(step, 0, "absent"))
		lse_read_done(s->lse, now_us, true, 0, NULL);
	else if (is_token(step, 0, "unread"))
		lse_read_done(s->lse, now_us, false, 0, NULL);
	else if (is_token(step, 0, "written"))
		lse_write_done(s->lse, now_us, LSE_WRITTEN, version, NULL);
	else if (is_token(step, 0, "refused"))
		lse_write_done(s->lse, now_us, LSE_REFUSED, version, value);
	else if (is_token(step, 0, "failed"))
		lse_write_done(s->lse, now_us, LSE_FAILED, 0, NULL);
	else
		known = false;
	g_free(value);
	return known;
}

static void
apply(void *state, struct step *step)
{
	struct state *s = state;

	s->step = step;
	if (apply_answer(s, step))
		return;
	if (is_token(step, 0, "tick"))
		lse_tick(s->lse, step->now_us);
	else if (is_token(step, 0, "rank"))
		lse_set_rank(s->lse, step->now_us, number_of(step, "place", 0));
	else if (is_token(step, 0, "hint"))
		lse_hint(s->lse, step->now_us, number_of(step, "fence", 0));
	else if (is_token(step, 0, "leave"))
		lse_leave(s->lse, step->now_us);
	else if (is_token(step, 0, "order"))
		add_action(step, "fence %" G_GUINT64_FORMAT,
		    lse_fence(s->lse, step->now_us));
	else
		bad_input(step, "unknown input");
}

const struct player lease_player = { "lease", begin, apply, end };
