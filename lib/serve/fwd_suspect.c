/* Forwarded requests under which targets terminated. */

#include <string.h>

#include "serve/fwd_internal.h"

/* A request that terminates its target does so within this time. */
#define PROBE_US 1000000
/* Targets that cut one request off within this time may have a common cause. */
#define COMMON_CAUSE_US 100000

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

/* Another request with the identity is in flight. */
static bool
is_other_in_flight(const struct fwd_req *r, uint64_t fingerprint)
{
	struct fwd_req *other;

	TAILQ_FOREACH (other, &r->fwd->open, open) {
		if (other != r && !TAILQ_EMPTY(&other->attempts) &&
		    fwd_has_identity(other, fingerprint))
			return true;
	}
	return false;
}

static bool
is_identity_blocked(
    const struct fwd_req *r, uint64_t fingerprint, int64_t *until_us)
{
	struct sus *s = r->fwd->suspects;
	bool is_blocked =
	    sus_judge(s, fingerprint, fwd_now(r), until_us) == SUS_BLOCKED;

	/* Only one request at a time is sent as a probe, which may clear it. */
	if (sus_was_blocked(s, fingerprint) &&
	    is_other_in_flight(r, fingerprint)) {
		*until_us = fwd_now(r) + PROBE_US;
		return true;
	}
	return is_blocked;
}

bool
fwd_is_blocked(struct fwd_req *r, int64_t *until_us)
{
	uint64_t identities[FWD_IDENTITIES_MAX];
	int64_t identity_until_us;
	size_t n, i;

	r->blocked_by = 0;
	if (sus_is_empty(r->fwd->suspects))
		return false;
	n = fwd_identities(r, identities);
	for (i = 0; i < n; i++) {
		if (!is_identity_blocked(r, identities[i], &identity_until_us))
			continue;
		if (r->blocked_by != 0 && identity_until_us <= *until_us)
			continue;
		r->blocked_by = identities[i];
		*until_us = identity_until_us;
	}
	return r->blocked_by != 0;
}

static void
each_identity(struct fwd_req *r,
    void (*note)(struct fwd *f, uint64_t fingerprint, int64_t now_us))
{
	uint64_t identities[FWD_IDENTITIES_MAX];
	size_t n, i;

	if (sus_is_empty(r->fwd->suspects))
		return;
	n = fwd_identities(r, identities);
	for (i = 0; i < n; i++)
		note(r->fwd, identities[i], fwd_now(r));
}

static void
note_identity_sent(struct fwd *f, uint64_t fingerprint, int64_t now_us)
{
	struct sus_termination probe = {
		.fingerprint = fingerprint, .weight = SUS_PROBE, .at_us = now_us
	};

	if (!sus_sent(f->suspects, fingerprint, now_us))
		return;
	evt(EVT_SUSPECT, "%s=%016" G_GINT64_MODIFIER "x outcome=probed",
	    fpr_kind_name(fingerprint), fingerprint);
	publish(f, &probe, 1);
}

static void
void_identity_probe(struct fwd *f, uint64_t fingerprint, int64_t now_us)
{
	sus_void_probe(f->suspects, fingerprint, now_us);
}

void
fwd_note_sent(struct fwd_req *r)
{
	each_identity(r, note_identity_sent);
}

void
fwd_void_probe(struct fwd_req *r)
{
	each_identity(r, void_identity_probe);
}

/* A target that shuts down (announced, or removed from the store) or that loads
 * weights closes its connections itself. That is no evidence against a
 * request. */
static bool
is_planned_cut(const struct tgt *t)
{
	return t->leaving || t->dropped || (t->side_down && !t->terminated);
}

/* Several targets had the request at a time, as they were silent, and cut it off
 * at once: that counts once, as they may have a cause in common. */
static bool
has_common_cause(const struct fwd_attempt *a)
{
	const struct fwd_req *r = a->req;

	return a->sent_us < r->cut_us &&
	    fwd_now(r) - r->cut_us < COMMON_CAUSE_US;
}

void
fwd_note_cut(struct fwd_attempt *a)
{
	struct fwd_req *r = a->req;
	struct fwd *f = r->fwd;
	struct sus_termination termination = {
		.target = target_hash(a->target),
		.weight = a->has_begun ? SUS_ANSWERING : SUS_UNANSWERED,
		.at_us = fwd_now(r),
		.in_flight_us = fwd_now(r) - a->sent_us,
	};
	uint64_t identities[FWD_IDENTITIES_MAX];
	size_t n, i;

	ctr_add(a->has_begun ? f->cut_midway : f->cut_before_answer, 1);
	if (is_planned_cut(a->target)) {
		fwd_void_probe(r);
		return;
	}
	if (has_common_cause(a))
		return;
	r->cut_us = fwd_now(r);
	n = fwd_identities(r, identities);
	for (i = 0; i < n; i++) {
		termination.fingerprint = identities[i];
		if (sus_cut(f->suspects, &termination))
			publish(f, &termination, 1);
	}
}

static void
log_cleared(uint64_t fingerprint)
{
	evt(EVT_SUSPECT, "%s=%016" G_GINT64_MODIFIER "x outcome=cleared",
	    fpr_kind_name(fingerprint), fingerprint);
}

static void
note_identity_answered(struct fwd_attempt *a, uint64_t fingerprint)
{
	struct fwd_req *r = a->req;
	struct fwd *f = r->fwd;
	bool was_blocked = sus_was_blocked(f->suspects, fingerprint);
	struct sus_termination cleared = { .fingerprint = fingerprint,
		.weight = SUS_CLEARED,
		.at_us = fwd_now(r) };

	/* A target that terminates closes its connections, too. */
	if (a->framing == HFRAMING_CLOSE) {
		sus_closed(f->suspects, fingerprint, target_hash(a->target),
		    cleared.at_us);
		return;
	}
	if (!sus_answered(f->suspects, fingerprint, cleared.at_us))
		return;
	if (was_blocked)
		log_cleared(fingerprint);
	publish(f, &cleared, 1);
}

/* Answers speak for parts also before any target has terminated; the content's
 * fingerprint, which costs more, is computed only after that. */
void
fwd_note_answered(struct fwd_attempt *a)
{
	struct fwd_req *r = a->req;
	bool is_suspected = !sus_is_empty(r->fwd->suspects);
	size_t i;

	fwd_read_parts(r);
	for (i = 0; i < r->nparts; i++)
		note_identity_answered(a, r->parts[i]);
	if (is_suspected)
		note_identity_answered(a, fwd_content(r));
}

/* ------------------------------------------------------------------ */
/* Recalling blocked requests                                          */
/* ------------------------------------------------------------------ */

/* The rest of its answer may still arrive, which clears it. */
static bool
is_answering(const struct fwd_req *r)
{
	const struct fwd_attempt *a;

	TAILQ_FOREACH (a, &r->attempts, link) {
		if (a->has_begun)
			return true;
	}
	return false;
}

void
fwd_end_blocked(struct fwd_req *r, int64_t until_us)
{
	if (r->flow.begun)
		fwd_abort(r, "held");
	else if (r->flow.may_have_run || !TAILQ_EMPTY(&r->attempts))
		fwd_fail(r, 502, "held");
	else
		fwd_refuse_until(r, "held", until_us);
}

/* Requests with a blocked identity that are in flight may not have begun to run:
 * recalled in time, they terminate no further targets. */
static void
recall_all(struct fwd *f, uint64_t fingerprint)
{
	int64_t now_us = evl_now_us(f->conf.loop), until_us;
	struct fwd_req *r, *next;

	if (sus_judge(f->suspects, fingerprint, now_us, &until_us) !=
	    SUS_BLOCKED)
		return;
	for (r = TAILQ_FIRST(&f->open); r != NULL; r = next) {
		next = TAILQ_NEXT(r, open);
		if (is_answering(r) || !fwd_has_identity(r, fingerprint))
			continue;
		r->blocked_by = fingerprint;
		ctr_add(f->recalled, 1);
		fwd_end_blocked(r, until_us);
	}
}

static void
note_blocked(struct fwd *f, uint64_t fingerprint, bool was_known)
{
	int64_t now_us = evl_now_us(f->conf.loop), until_us;

	if (was_known ||
	    sus_judge(f->suspects, fingerprint, now_us, &until_us) !=
		SUS_BLOCKED)
		return;
	ctr_add(f->blocked[fpr_kind_of(fingerprint)], 1);
	evt(EVT_SUSPECT,
	    "%s=%016" G_GINT64_MODIFIER "x outcome=held ms=%" G_GINT64_FORMAT,
	    fpr_kind_name(fingerprint), fingerprint,
	    (until_us - now_us) / 1000);
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
		recall_all(f, termination->fingerprint);
	}
	g_array_unref(confirmed);
}

void
fwd_report_termination(struct fwd *f, const struct sus_termination *termination)
{
	uint64_t fingerprint = termination->fingerprint;
	bool was_known = sus_was_blocked(f->suspects, fingerprint);
	struct sus_termination refutation;

	switch (
	    sus_report(f->suspects, termination, evl_now_us(f->conf.loop))) {
	case SUS_KNOWN:
		break;
	case SUS_NEW:
		note_blocked(f, fingerprint, was_known);
		/* A probe in flight here may still be answered. */
		if (termination->weight != SUS_PROBE)
			recall_all(f, fingerprint);
		break;
	case SUS_REFUTED:
		refutation = sus_refutation(f->suspects, fingerprint);
		publish(f, &refutation, 1);
		break;
	}
}

void
fwd_blocked_terminations(const struct fwd *f, GArray *out)
{
	sus_blocked_terminations(f->suspects, out);
}

void
fwd_sweep(struct fwd *f)
{
	GArray *cleared =
	    g_array_new(FALSE, FALSE, sizeof(struct sus_termination));

	sus_sweep(f->suspects, evl_now_us(f->conf.loop), cleared);
	publish(f, (const struct sus_termination *)(void *)cleared->data,
	    cleared->len);
	g_array_unref(cleared);
}
