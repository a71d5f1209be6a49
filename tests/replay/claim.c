/* Owners of one bucket of claims, and its object. The first token of an input
 * is the owner that receives it. */

#include <string.h>

#include "replay/replay.h"
#include "route/claim.h"

#define OWNERS 2
#define REQUESTS 8
#define WAIT_US (60 * G_USEC_PER_SEC)

static const char *const result_names[CLM_RESULTS] = {
	[CLM_GRANTED] = "GRANTED",
	[CLM_RECORDED] = "RECORDED",
	[CLM_IN_DOUBT] = "IN_DOUBT",
	[CLM_OTHER_BODY] = "OTHER_BODY",
	[CLM_FULL] = "FULL",
	[CLM_DOWN] = "DOWN",
	[CLM_MOVED] = "MOVED",
	[CLM_BAD_KEY] = "BAD_KEY",
};

struct owner {
	struct state *state;
	char id[8];
	bool live;
	struct clm *clm;
	struct clm_write_limit write_limit;
	char *write; /* in progress, or abandoned and possibly applied later */
	uint64_t if_version;
};

struct request {
	struct clm_request base; /* first: the callback casts its address */
	char name[32];
};

struct state {
	struct step *step;
	uint64_t version;
	char *value;
	struct owner owners[OWNERS];
	struct request requests[REQUESTS];
	size_t nrequests;
};

static void
on_read(struct clm *clm, void *ctx)
{
	struct owner *o = ctx;

	add_action(o->state->step, "%s reads", o->id);
}

static void
on_write(struct clm *clm, const char *value, uint64_t if_version, void *ctx)
{
	struct owner *o = ctx;

	g_free(o->write);
	o->write = g_strdup(value);
	o->if_version = if_version;
	add_action(o->state->step, "%s writes if=%" G_GUINT64_FORMAT, o->id,
	    if_version);
}

static void
on_answer(struct clm_request *request, enum clm_result result,
    const struct clm_outcome *outcome, const char *owner, void *ctx)
{
	struct owner *o = ctx;

	add_action(o->state->step, "%s %s", ((struct request *)request)->name,
	    result_names[result]);
}

static bool
on_is_live(const char *gateway, void *ctx)
{
	struct owner *o = ctx;
	size_t i;

	for (i = 0; i < OWNERS; i++) {
		if (strcmp(o->state->owners[i].id, gateway) == 0)
			return o->state->owners[i].live;
	}
	return false;
}

static void
on_forward(const char *key, const char *claimant,
    const struct clm_outcome *outcome, const char *owner, void *ctx)
{
	struct owner *o = ctx;

	add_action(o->state->step, "passes on %s", claimant);
}

static const struct clm_ops ops = {
	.read = on_read,
	.write = on_write,
	.answer = on_answer,
	.is_live = on_is_live,
	.forward = on_forward,
};

static void *
begin(void)
{
	struct state *s = g_new0(struct state, 1);
	struct owner *o;
	size_t i;

	for (i = 0; i < OWNERS; i++) {
		o = &s->owners[i];
		o->state = s;
		o->live = true;
		o->write_limit.writes_s = CLM_WRITES_S;
		g_snprintf(o->id, sizeof(o->id), "e%zu", i);
		o->clm = clm_new(o->id, &o->write_limit, &ops, o);
	}
	return s;
}

static void
end(void *state)
{
	struct state *s = state;
	size_t i;

	for (i = 0; i < OWNERS; i++) {
		clm_free(s->owners[i].clm);
		g_free(s->owners[i].write);
	}
	g_free(s->value);
	g_free(s);
}

/* ------------------------------------------------------------------ */
/* Inputs                                                              */
/* ------------------------------------------------------------------ */

/* `ask NAME`: NAME, such as "e0/1", is also the claimant. */
static void
request_claim(struct state *s, struct owner *o, struct step *step)
{
	struct request *t;
	const char *body = value_of(step, "body", "book");

	g_assert(s->nrequests < REQUESTS);
	t = &s->requests[s->nrequests++];
	g_strlcpy(t->name, token(step, 2), sizeof(t->name));
	t->base.key = "t/s/k";
	t->base.claimant = t->name;
	t->base.keep_ms = 1000;
	t->base.until_us = step->now_us + WAIT_US;
	digest_of(body, strlen(body), &t->base.body);
	clm_request(o->clm, &t->base, step->now_us);
}

static void
settle(struct owner *o, struct step *step)
{
	struct clm_outcome outcome = { .status = 200, .answer = "booked" };

	if (is_token(step, 3, "RAN"))
		outcome.verdict = VERDICT_RAN;
	else if (is_token(step, 3, "NOT_RUN"))
		outcome.verdict = VERDICT_NOT_RUN;
	else
		outcome.verdict = VERDICT_MAY_HAVE_RUN;
	clm_settle(o->clm, "t/s/k", token(step, 2), &outcome, step->now_us);
}

/* Applies the write if its version matches; returns whether it did. */
static bool
apply_write(struct state *s, struct owner *o, struct step *step)
{
	if (o->write == NULL) {
		bad_input(step, "no write in progress");
		return false;
	}
	if (o->if_version != s->version) {
		g_clear_pointer(&o->write, g_free);
		return false;
	}
	g_free(s->value);
	s->value = g_steal_pointer(&o->write);
	s->version++;
	return true;
}

static bool
apply_io(struct state *s, struct owner *o, struct step *step)
{
	bool applied;

	if (is_token(step, 1, "read")) {
		clm_read_done(
		    o->clm, false, s->version, s->value, step->now_us);
	} else if (is_token(step, 1, "read_fails")) {
		clm_read_done(o->clm, true, 0, NULL, step->now_us);
	} else if (is_token(step, 1, "write")) {
		applied = apply_write(s, o, step);
		clm_write_done(o->clm,
		    applied ? CLM_WRITE_APPLIED : CLM_WRITE_CONFLICT,
		    s->version, step->now_us);
	} else if (is_token(step, 1, "write_answer_lost")) {
		apply_write(s, o, step);
		clm_write_done(o->clm, CLM_WRITE_UNKNOWN, 0, step->now_us);
	} else if (is_token(step, 1, "write_given_up")) {
		clm_write_done(o->clm, CLM_WRITE_UNKNOWN, 0, step->now_us);
	} else if (is_token(step, 1, "write_lands_late")) {
		add_action(
		    step, "%s", apply_write(s, o, step) ? "in" : "refused");
	} else {
		return false;
	}
	return true;
}

static void
apply(void *state, struct step *step)
{
	struct state *s = state;
	struct owner *o = is_token(step, 0, "e1") ? &s->owners[1] : s->owners;

	s->step = step;
	if (!is_token(step, 0, o->id)) {
		bad_input(step, "unknown owner");
		return;
	}
	if (apply_io(s, o, step))
		return;
	if (is_token(step, 1, "ask"))
		request_claim(s, o, step);
	else if (is_token(step, 1, "settle"))
		settle(o, step);
	else if (is_token(step, 1, "tick"))
		clm_tick(o->clm, step->now_us);
	else if (is_token(step, 1, "is_dead"))
		o->live = false;
	else
		bad_input(step, "unknown input");
}

const struct player claim_player = { "claim", begin, apply, end };
