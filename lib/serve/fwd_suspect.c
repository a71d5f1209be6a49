/* Requests under which targets ended, among those that are forwarded. */

#include <string.h>

#include "serve/fwd_internal.h"

/* Within this a request that ends its target has done so. */
#define CHANCE_US 1000000

static uint64_t
hash_of(const struct tgt *t)
{
	return hash64(0, t->says.id, strlen(t->says.id));
}

static void
tell(struct fwd *f, const struct sus_termination *ends, size_t n)
{
	if (n > 0 && f->conf.publish_terminations != NULL)
		f->conf.publish_terminations(ends, n, f->conf.publish_ctx);
}

/* Another request of the same content was sent and has no answer yet. */
static bool
has_copy_under_way(const struct fwd_req *r)
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
	/* Another chance is for one copy at a time. */
	*until_us = fwd_now(r) + CHANCE_US;
	return sus_was_blocked(s, r->fingerprint) && has_copy_under_way(r);
}

/* A target that was to stop, announced or taken out of the store, or that loads
 * weights cuts what it still has: that says nothing against a request. */
static bool
cuts_by_itself(const struct tgt *t)
{
	return t->leaving || t->dropped || (t->side_down && !t->ended);
}

void
fwd_note_cut(struct fwd_req *r)
{
	struct fwd *f = r->fwd;
	struct sus_termination end = {
		.fingerprint = fwd_fingerprint(r),
		.target = hash_of(r->target),
		.weight = r->has_begun ? SUS_ANSWERING : SUS_SILENT,
		.at_us = fwd_now(r),
	};

	ctr_add(r->has_begun ? f->cut_answering : f->cut_silent, 1);
	if (!cuts_by_itself(r->target) && sus_cut(f->suspects, &end))
		tell(f, &end, 1);
}

void
fwd_note_answered(struct fwd_req *r)
{
	struct sus_termination clear = { .weight = SUS_CLEARED };

	if (sus_is_empty(r->fwd->suspects))
		return;
	clear.fingerprint = fwd_fingerprint(r);
	clear.at_us = fwd_now(r);
	if (!sus_answered(r->fwd->suspects, clear.fingerprint))
		return;
	evt(EVT_SUSPECT, "content=%016" G_GINT64_MODIFIER "x outcome=cleared",
	    clear.fingerprint);
	tell(r->fwd, &clear, 1);
}

/* ------------------------------------------------------------------ */
/* Taking back what is held                                            */
/* ------------------------------------------------------------------ */

static bool
has_content(struct fwd_req *r, uint64_t content)
{
	return fwd_fingerprint(r) == content;
}

/* Its answer may still come whole, and clear it. */
static bool
is_answering(const struct fwd_req *r)
{
	return r->state != FWD_WAITING && r->has_begun;
}

static void
withdraw(struct fwd_req *r, int64_t until_us)
{
	ctr_add(r->fwd->recalled, 1);
	if (r->flow.begun)
		fwd_abort(r, "held");
	else if (r->flow.may_have_run || r->call != NULL)
		fwd_fail(r, 502, "held");
	else
		fwd_refuse_until(r, "held", until_us);
}

/* Copies of a held request that are under way may not have begun yet: taken
 * back in time they end no more targets. */
static void
withdraw_copies(struct fwd *f, uint64_t content)
{
	int64_t now_us = evl_now_us(f->conf.loop), until_us;
	struct fwd_req *r, *next;

	if (sus_judge(f->suspects, content, now_us, &until_us) != SUS_BLOCKED)
		return;
	for (r = TAILQ_FIRST(&f->open); r != NULL; r = next) {
		next = TAILQ_NEXT(r, open);
		if (has_content(r, content) && !is_answering(r))
			withdraw(r, until_us);
	}
}

static void
note_held(struct fwd *f, uint64_t content, bool was_known)
{
	int64_t now_us = evl_now_us(f->conf.loop), until_us = now_us;

	if (was_known || !sus_was_blocked(f->suspects, content))
		return;
	(void)sus_judge(f->suspects, content, now_us, &until_us);
	ctr_add(f->blocked, 1);
	evt(EVT_SUSPECT,
	    "content=%016" G_GINT64_MODIFIER
	    "x outcome=held ms=%" G_GINT64_FORMAT,
	    content, (until_us - now_us) / 1000);
}

/* ------------------------------------------------------------------ */
/* Ends of targets                                                     */
/* ------------------------------------------------------------------ */

void
fwd_target_terminated(struct fwd *f, const struct tgt *t)
{
	GArray *news =
	    g_array_new(FALSE, FALSE, sizeof(struct sus_termination));
	const struct sus_termination *end;
	guint i;

	sus_target_terminated(
	    f->suspects, hash_of(t), evl_now_us(f->conf.loop), news);
	tell(f, (const struct sus_termination *)(void *)news->data, news->len);
	for (i = 0; i < news->len; i++) {
		end = &g_array_index(news, struct sus_termination, i);
		note_held(f, end->fingerprint, false);
		withdraw_copies(f, end->fingerprint);
	}
	g_array_unref(news);
}

void
fwd_report_termination(struct fwd *f, const struct sus_termination *end)
{
	bool was_known = sus_was_blocked(f->suspects, end->fingerprint);

	if (!sus_report(f->suspects, end))
		return;
	note_held(f, end->fingerprint, was_known);
	withdraw_copies(f, end->fingerprint);
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
