/* Forwarded requests under which targets terminated. */

#include <string.h>

#include "serve/fwd_internal.h"

/* A request that terminates its target does so within this time. */
#define PROBE_US 1000000

static uint64_t
target_hash(const struct tgt *t)
{
	return hash64(0, t->record.id, strlen(t->record.id));
}

static void
publish(struct fwd *f, const struct sus_termination *ends, size_t n)
{
	if (n > 0 && f->conf.publish_terminations != NULL)
		f->conf.publish_terminations(ends, n, f->conf.publish_ctx);
}

/* Another request with the same fingerprint is in flight. */
static bool
has_copy_in_flight(const struct fwd_req *r)
{
	const struct fwd_req *other;

	TAILQ_FOREACH (other, &r->fwd->open, open) {
		if (other != r && other->fingerprint == r->fingerprint &&
		    other->call != NULL)
			return true;
	}
	return false;
}

bool
fwd_is_blocked(struct fwd_req *r, int64_t *until_us)
{
	struct sus *s = r->fwd->suspects;

	if (sus_is_empty(s))
		return false;
	if (sus_judge(s, fwd_fingerprint(r), fwd_now(r), until_us) ==
	    SUS_BLOCKED)
		return true;
	/* Only one copy at a time is sent as a probe. */
	*until_us = fwd_now(r) + PROBE_US;
	return sus_was_blocked(s, r->fingerprint) && has_copy_in_flight(r);
}

/* A target that shuts down (announced, or removed from the store) or that loads
 * weights closes its connections itself. That is no evidence against a
 * request. */
static bool
is_planned_cut(const struct tgt *t)
{
	return t->leaving || t->dropped || (t->side_down && !t->terminated);
}

void
fwd_note_cut(struct fwd_req *r)
{
	struct fwd *f = r->fwd;
	struct sus_termination termination = {
		.fingerprint = fwd_fingerprint(r),
		.target = target_hash(r->target),
		.weight = r->has_begun ? SUS_ANSWERING : SUS_UNANSWERED,
		.at_us = fwd_now(r),
	};

	ctr_add(r->has_begun ? f->cut_midway : f->cut_before_answer, 1);
	if (!is_planned_cut(r->target) && sus_cut(f->suspects, &termination))
		publish(f, &termination, 1);
}

void
fwd_note_answered(struct fwd_req *r)
{
	struct sus_termination cleared = { .weight = SUS_CLEARED };

	if (sus_is_empty(r->fwd->suspects))
		return;
	cleared.fingerprint = fwd_fingerprint(r);
	cleared.at_us = fwd_now(r);
	if (!sus_answered(r->fwd->suspects, cleared.fingerprint))
		return;
	evt(EVT_SUSPECT, "content=%016" G_GINT64_MODIFIER "x outcome=cleared",
	    cleared.fingerprint);
	publish(r->fwd, &cleared, 1);
}

/* ------------------------------------------------------------------ */
/* Recalling blocked requests                                          */
/* ------------------------------------------------------------------ */

static bool
has_fingerprint(struct fwd_req *r, uint64_t fingerprint)
{
	return fwd_fingerprint(r) == fingerprint;
}

/* The rest of its answer may still arrive, which clears it. */
static bool
is_answering(const struct fwd_req *r)
{
	return r->state != FWD_WAITING && r->has_begun;
}

static void
recall(struct fwd_req *r, int64_t until_us)
{
	ctr_add(r->fwd->recalled, 1);
	if (r->flow.begun)
		fwd_abort(r, "held");
	else if (r->flow.may_have_run || r->call != NULL)
		fwd_fail(r, 502, "held");
	else
		fwd_refuse_until(r, "held", until_us);
}

/* Copies of a blocked request that are in flight may not have begun to run:
 * recalled in time, they terminate no further targets. */
static void
recall_copies(struct fwd *f, uint64_t fingerprint)
{
	int64_t now_us = evl_now_us(f->conf.loop), until_us;
	struct fwd_req *r, *next;

	if (sus_judge(f->suspects, fingerprint, now_us, &until_us) !=
	    SUS_BLOCKED)
		return;
	for (r = TAILQ_FIRST(&f->open); r != NULL; r = next) {
		next = TAILQ_NEXT(r, open);
		if (has_fingerprint(r, fingerprint) && !is_answering(r))
			recall(r, until_us);
	}
}

static void
note_blocked(struct fwd *f, uint64_t fingerprint, bool was_known)
{
	int64_t now_us = evl_now_us(f->conf.loop), until_us = now_us;

	if (was_known || !sus_was_blocked(f->suspects, fingerprint))
		return;
	(void)sus_judge(f->suspects, fingerprint, now_us, &until_us);
	ctr_add(f->blocked, 1);
	evt(EVT_SUSPECT,
	    "content=%016" G_GINT64_MODIFIER
	    "x outcome=held ms=%" G_GINT64_FORMAT,
	    fingerprint, (until_us - now_us) / 1000);
}

/* ------------------------------------------------------------------ */
/* Terminations of targets                                             */
/* ------------------------------------------------------------------ */

void
fwd_target_terminated(struct fwd *f, const struct tgt *t)
{
	GArray *confirmed =
	    g_array_new(FALSE, FALSE, sizeof(struct sus_termination));
	const struct sus_termination *termination;
	guint i;

	sus_target_terminated(
	    f->suspects, target_hash(t), evl_now_us(f->conf.loop), confirmed);
	publish(f, (const struct sus_termination *)(void *)confirmed->data,
	    confirmed->len);
	for (i = 0; i < confirmed->len; i++) {
		termination =
		    &g_array_index(confirmed, struct sus_termination, i);
		note_blocked(f, termination->fingerprint, false);
		recall_copies(f, termination->fingerprint);
	}
	g_array_unref(confirmed);
}

void
fwd_report_termination(struct fwd *f, const struct sus_termination *termination)
{
	bool was_known = sus_was_blocked(f->suspects, termination->fingerprint);

	if (!sus_report(f->suspects, termination))
		return;
	note_blocked(f, termination->fingerprint, was_known);
	recall_copies(f, termination->fingerprint);
}

void
fwd_blocked_terminations(const struct fwd *f, GArray *out)
{
	sus_blocked_terminations(f->suspects, out);
}

void
fwd_sweep(struct fwd *f)
{
	sus_sweep(f->suspects, evl_now_us(f->conf.loop));
}
