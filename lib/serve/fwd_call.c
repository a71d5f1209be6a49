/* Attempts at targets: sending, timers, outcome. */

#include <string.h>

#include "serve/fwd_internal.h"

/* Stall timeout until the first event, in units of the route's objective.
 * After three times the objective the answer is late already, and the caller
 * gives up on a stream after four. */
#define STALL_FIRST 3
/*
 * Under load first events are late at all targets, and sending a request again
 * doubles its work. So the timeout is at least this multiple of the current
 * average time to the first event, up to a limit (in objectives) by which the
 * caller gives up.
 */
#define STALL_MEAN 3
#define STALL_FIRST_MAX 5
/* Stall timeout between events, in units of the route's gap objective. */
#define STALL_GAP 3
#define STALL_DEFAULT_US 1200000
/* A repeatable request that is not a stream is sent elsewhere after this share
 * of its route's timeout, so that there is time for the second attempt. */
#define STALL_PLAIN_SHARE 0.5
/* A connection that fails sooner than this was refused by the target's host. */
#define REFUSED_US 100000
/* Minimum remaining time for another attempt. */
#define ATTEMPT_MIN_US 60000

/*
 * A request that is queued at its target when the target's weights become too
 * old is still run on them, and its caller gets an answer from weights that the
 * operators have withdrawn. So a request that has not begun this long before
 * that time is cancelled and sent elsewhere; a target drops queued requests
 * whose connection is closed. Must exceed the time that a cancel takes to
 * arrive beside other work, 20 to 40 ms.
 */
#define RECALL_LOCAL_US 80000
/* The same for a target in another region, over a shared, congested link. */
#define RECALL_REMOTE_US 400000
/* The same over a slow link, where a cancel takes up to one second. */
#define RECALL_SLOW_US 980000
/* Upper limit of the lateness that is added. */
#define LATE_MAX_US 1000000
/* Time before the end of the weights from which the margin is looked at again, as
 * more chunks may be on their way to the target's host now, its link may turn slow
 * and this process late; and how often: each share of the time that is left. */
#define RECALL_CHECK_US 3000000
#define RECALL_CHECK_SHARE 0.05
#define RECALL_CHECK_INTERVAL_US 25000 /* at least */

void
fwd_prompt_read(struct fwd_attempt *a)
{
	if (!a->prompt_pending)
		return;
	a->prompt_pending = false;
	tgt_prefill(a->target, a->req->prompt, false);
	fwd_pump(a->req->fwd);
}

static struct evl *
loop_of(const struct fwd_attempt *a)
{
	return a->req->fwd->conf.loop;
}

static void
cancel_call(struct fwd_attempt *a)
{
	if (a->call != NULL)
		hcall_cancel(a->call);
	a->call = NULL;
}

static void
keep_for_log(struct fwd_attempt *a)
{
	struct fwd_req *r = a->req;

	g_strlcpy(r->last_target, a->target->record.id, sizeof(r->last_target));
	r->last_version = a->sent_version;
	r->last_end = a->end;
	r->last_framing = fwd_framing_name(a);
	r->last_rest = fwd_event_rest(a);
}

/* Cancels the attempt if it has not ended, and frees its slot. */
static void
end_attempt(struct fwd_attempt *a)
{
	struct fwd_req *r = a->req;

	TAILQ_REMOVE(&r->attempts, a, link);
	evl_timer_stop(loop_of(a), &a->stall_timer);
	evl_timer_stop(loop_of(a), &a->begin_timer);
	cancel_call(a);
	fwd_prompt_read(a);
	if (a->is_probe)
		tgt_probe_abandoned(a->target);
	tgt_ended(a->target, fwd_now(r));
	fwd_count_completion(r->service, fwd_now(r));
	fwd_pump(r->fwd);
}

static void
attempt_free(struct fwd_attempt *a)
{
	if (a->headers != NULL)
		g_string_free(a->headers, TRUE);
	fwd_drop_answer(a);
	tgt_unref(a->target);
	g_free(a);
}

static void
drop_attempt(struct fwd_attempt *a)
{
	keep_for_log(a);
	end_attempt(a);
	attempt_free(a);
}

static void
drop_failure(struct fwd_req *r)
{
	if (r->failure != NULL)
		attempt_free(r->failure);
	r->failure = NULL;
}

void
fwd_drop_attempts(struct fwd_req *r)
{
	struct fwd_attempt *a;

	while ((a = TAILQ_FIRST(&r->attempts)) != NULL)
		drop_attempt(a);
	drop_failure(r);
}

/* Retains a target's failure, to be relayed if no other target answers. */
static void
keep_failure(struct fwd_attempt *a)
{
	end_attempt(a);
	drop_failure(a->req);
	a->req->failure = a;
}

static bool
is_only_attempt(const struct fwd_attempt *a)
{
	return TAILQ_FIRST(&a->req->attempts) == a &&
	    TAILQ_NEXT(a, link) == NULL;
}

void
fwd_choose_attempt(struct fwd_attempt *a)
{
	struct fwd_req *r = a->req;
	struct fwd_attempt *other, *next;

	if (is_only_attempt(a) && !r->queued)
		return;
	fwd_dequeue(r);
	for (other = TAILQ_FIRST(&r->attempts); other != NULL; other = next) {
		next = TAILQ_NEXT(other, link);
		if (other == a)
			continue;
		/* not counted yet */
		if (!other->silent &&
		    (other->call != NULL || other->closed_us != 0))
			r->flow.runs++;
		drop_attempt(other);
	}
	keep_for_log(a);
}

/* ------------------------------------------------------------------ */
/* End of an attempt                                                   */
/* ------------------------------------------------------------------ */

static bool
may_spend(void *ctx)
{
	return fwd_may_spend(ctx);
}

static const char *const end_names[] = {
	[FLOW_REFUSED] = "target_refused",
	[FLOW_UNREACHABLE] = "target_unreachable",
	[FLOW_LOST] = "answer_lost",
	[FLOW_STALLED] = "target_silent",
	[FLOW_RECALLED] = "weights_too_old",
	[FLOW_FAILURE] = "target_failed",
};

static const enum tgt_outcome target_outcomes[] = {
	[FLOW_REFUSED] = TGT_REFUSED,
	[FLOW_UNREACHABLE] = TGT_LOST,
	[FLOW_LOST] = TGT_ERROR,
	[FLOW_RECALLED] = TGT_REFUSED, /* no fault of the target */
	[FLOW_FAILURE] = TGT_ERROR,
};

static void
log_backoff(const struct fwd_attempt *a, enum flow_end end)
{
	const struct tgt *t = a->target;

	evt(EVT_TARGET_BACKOFF,
	    "target=%s address=%s why=%s failures=%u rest_ms=%" G_GINT64_FORMAT,
	    t->record.id, t->record.address, end_names[end], t->failures,
	    (t->backoff_until_us - fwd_now(a->req)) / 1000);
}

/* A target in backoff that closes the connection of an attempt to which it has
 * sent nothing, or nothing since the stall timeout, does not count as alive,
 * unless it loads weights. */
static enum tgt_outcome
outcome_of(const struct fwd_attempt *a, enum flow_end end)
{
	bool is_unheard = a->silent || a->heard_us == 0;

	if (end == FLOW_LOST && is_unheard && !a->unusable &&
	    a->target->failures > 0 && !a->target->side_down)
		return TGT_LOST;
	return target_outcomes[end];
}

static void
note_outcome(struct fwd_attempt *a, enum flow_end end)
{
	struct fwd *f = a->req->fwd;
	struct tgt *t = a->target;
	unsigned int failures = t->failures;

	tgt_outcome(t, outcome_of(a, end), fwd_now(a->req));
	if (t->failures > failures)
		log_backoff(a, end);
	if (end != FLOW_REFUSED)
		return;
	if (a->status == 421)
		tgt_wrong_instance(t);
	else /* it is fuller than estimated */
		tgt_set_load(t,
		    (unsigned int)tgt_limit(t, tgt_set_policy(f->conf.targets)),
		    fwd_now(a->req));
}

static void
count_retry(struct fwd_req *r)
{
	ctr_add(r->fwd->retries, 1);
	if (r->flow.begun)
		ctr_add(r->fwd->resumes, 1);
}

static void
log_retry(const struct fwd_attempt *a, enum flow_end end)
{
	struct fwd_req *r = a->req;
	char parts[FWD_PARTS_TEXT];

	fwd_parts_text(r, parts);
	evt(EVT_RETRY,
	    "req=%s why=%s target=%s tries=%u runs=%u last_event=%" G_GINT64_FORMAT
	    " ms=%" G_GINT64_FORMAT
	    " framing=%s end=%s rest=%zu silent_ms=%" G_GINT64_FORMAT
	    " content=%016" G_GINT64_MODIFIER "x parts=%s",
	    r->id, end_names[end], a->target->record.id, r->flow.attempts,
	    r->flow.runs, r->last_event, (fwd_now(r) - r->started_us) / 1000,
	    fwd_framing_name(a), a->end, fwd_event_rest(a), fwd_silent_ms(r),
	    r->content, parts);
}

/* Updates what the next step depends on. */
static void
update_flow(struct fwd_req *r)
{
	int64_t until_us;

	/* Without an id there is no position to resume from. */
	if (r->events > 0 && !r->has_event)
		r->flow.repeatable = false;
	r->flow.has_time = r->deadline_us - fwd_now(r) > ATTEMPT_MIN_US &&
	    r->ntried < FWD_TRIED_MAX;
	r->flow.blocked = fwd_is_blocked(r, &until_us);
}

/* Counts the attempt as one that may have run, once. */
static void
count_run(struct fwd_attempt *a, enum flow_end end)
{
	struct fwd_req *r = a->req;
	bool may_have_run = end != FLOW_REFUSED && end != FLOW_UNREACHABLE;

	if (may_have_run && end != FLOW_STALLED)
		r->flow.may_have_run = true;
	if (may_have_run && !a->silent)
		r->flow.runs++;
	else if (!may_have_run && a->silent)
		r->flow.runs--;
}

/* The only attempt has ended. */
static void
last_attempt_ended(struct fwd_attempt *a, enum flow_end end)
{
	struct fwd_req *r = a->req;

	if (fwd_refuse_if_draining(r))
		return;
	switch (flow_next(&r->flow, end, may_spend, r)) {
	case FLOW_RETRY:
	case FLOW_RESUME:
		count_retry(r);
		log_retry(a, end);
		drop_attempt(a);
		fwd_dispatch(r);
		break;
	case FLOW_PASS:
		fwd_answer_complete(a);
		break;
	case FLOW_REFUSE:
		fwd_refuse(r, end_names[end]);
		break;
	case FLOW_FAIL:
		fwd_fail(r, 502, end_names[end]);
		break;
	case FLOW_ABORT:
		fwd_abort(r, end_names[end]);
		break;
	}
}

/* The target did not run it: it refused it, was not reached, or the request was
 * cancelled before it began. */
static bool
voids_probe(enum flow_end end)
{
	return end == FLOW_REFUSED || end == FLOW_UNREACHABLE ||
	    end == FLOW_RECALLED;
}

static void seek_second_target(struct fwd_req *r);

static void
attempt_ended(struct fwd_attempt *a, enum flow_end end)
{
	struct fwd_req *r = a->req;

	note_outcome(a, end);
	count_run(a, end);
	if (voids_probe(end))
		fwd_void_probe(r);
	update_flow(r);
	if (is_only_attempt(a)) {
		fwd_dequeue(r);
		last_attempt_ended(a, end);
		return;
	}
	log_retry(a, end);
	if (end == FLOW_FAILURE)
		keep_failure(a);
	else
		drop_attempt(a);
	seek_second_target(r);
}

/* ------------------------------------------------------------------ */
/* Silent targets                                                      */
/* ------------------------------------------------------------------ */

bool
fwd_may_hedge(struct fwd_req *r)
{
	update_flow(r);
	return flow_may_hedge(&r->flow);
}

/* All targets that have the request are silent. */
static bool
all_are_silent(const struct fwd_req *r)
{
	const struct fwd_attempt *a;

	TAILQ_FOREACH (a, &r->attempts, link) {
		if (!a->silent)
			return false;
	}
	return true;
}

/* Looks for a target that takes the request beside those that are silent. They
 * keep it, as a sound target goes on after a second or so. */
static void
seek_second_target(struct fwd_req *r)
{
	if (!r->queued && all_are_silent(r) && fwd_may_hedge(r))
		fwd_dispatch(r);
}

static void
note_silence(struct fwd_attempt *a)
{
	struct fwd_req *r = a->req;
	unsigned int failures = a->target->failures;

	if (!a->silent)
		count_run(a, FLOW_STALLED);
	a->silent = true;
	if (a->is_probe) /* it has an outcome now */
		tgt_probe_abandoned(a->target);
	a->is_probe = false;
	tgt_silent(a->target, MAX(a->sent_us, a->heard_us), fwd_now(r));
	if (a->target->failures > failures)
		log_backoff(a, FLOW_STALLED);
}

static void
on_stalled(struct evl_timer *timer)
{
	struct fwd_attempt *a =
	    CONTAINER_OF(timer, struct fwd_attempt, stall_timer);

	/* Connections usually stall many at a time, and each idle one that
	 * stays in the pool would cost another request a stall timeout. */
	if (!a->silent && hcall_is_reused(a->call))
		hpool_close_idle(a->req->fwd->conf.pool);
	note_silence(a);
	seek_second_target(a->req);
}

/* The target has sent something. */
static void
note_heard(struct fwd_attempt *a)
{
	struct fwd_req *r = a->req;
	int64_t silent_us = tgt_heard(a->target, fwd_now(r));

	a->heard_us = r->heard_us = fwd_now(r);
	if (silent_us == 0)
		return;
	evt(EVT_TARGET_HEARD,
	    "target=%s address=%s req=%s ms=%" G_GINT64_FORMAT,
	    a->target->record.id, a->target->record.address, r->id,
	    silent_us / 1000);
	fwd_pump(r->fwd);
}

/* ------------------------------------------------------------------ */
/* Callbacks of the call                                               */
/* ------------------------------------------------------------------ */

static void
on_head(struct hcall *c, const struct hmsg *m, void *ctx)
{
	note_heard(ctx);
	fwd_read_head(ctx, m);
}

static void
on_body(struct hcall *c, const void *data, size_t len, void *ctx)
{
	note_heard(ctx);
	fwd_read_body(ctx, data, len);
}

static bool
is_failure(const struct fwd_attempt *a)
{
	return a->status >= 500;
}

/* The target has done the work that it may terminate under. */
static bool
is_success(const struct fwd_attempt *a)
{
	return a->status >= 200 && a->status < 300;
}

static void
on_done(struct hcall *c, void *ctx)
{
	struct fwd_attempt *a = ctx;

	a->call = NULL;
	a->end = a->framing == HFRAMING_CLOSE ? "closed" : "whole";
	if (a->not_run)
		attempt_ended(a, FLOW_REFUSED);
	else if (a->unusable)
		attempt_ended(a, FLOW_LOST);
	else if (is_failure(a))
		attempt_ended(a, FLOW_FAILURE);
	else if (!fwd_answer_is_complete(a)) {
		fwd_note_cut(a);
		attempt_ended(a, FLOW_LOST);
	} else {
		tgt_outcome(a->target, TGT_ANSWERED, fwd_now(a->req));
		if (is_success(a))
			fwd_note_answered(a);
		fwd_answer_complete(a);
	}
}

/* A connection that is refused at once means that no process listens there any
 * more. Where a sidecar reports on the target, it decides instead: the target
 * may only be refusing further connections. */
static void
connection_failed(struct fwd_attempt *a)
{
	struct fwd *f = a->req->fwd;
	struct tgt *target = tgt_ref(a->target);
	bool terminated = target->side_report_us == 0 &&
	    fwd_now(a->req) - a->sent_us < REFUSED_US;

	attempt_ended(a, FLOW_UNREACHABLE);
	if (terminated)
		fwd_target_terminated(f, target);
	tgt_unref(target);
}

static void
on_failed(struct hcall *c, enum hcall_failure why, bool sent, void *ctx)
{
	struct fwd_attempt *a = ctx;

	a->call = NULL;
	a->end = hcall_failure_name(why);
	/* The head of a refusal is enough: it says that the request did not
	 * run, even if the body is incomplete. */
	if (a->not_run)
		attempt_ended(a, FLOW_REFUSED);
	else if (sent) {
		fwd_note_cut(a);
		attempt_ended(a, FLOW_LOST);
	} else
		connection_failed(a);
}

static const struct hcall_ops call_ops = {
	.head = on_head,
	.body = on_body,
	.done = on_done,
	.failed = on_failed,
};

/* ------------------------------------------------------------------ */
/* Recall                                                              */
/* ------------------------------------------------------------------ */

int64_t
fwd_late_us(const struct fwd *f)
{
	return MAX(f->pause_us, MIN(evl_late_us(f->conf.loop), LATE_MAX_US));
}

void
fwd_set_pause(struct fwd *f, int64_t us)
{
	f->pause_us = us;
}

/* Time that a cancel takes to arrive at the target, at most. */
static int64_t
cancel_us(const struct fwd_attempt *a)
{
	const struct tgt *t = a->target;
	int64_t way_us =
	    t->inbound_us + (t->local ? RECALL_LOCAL_US : RECALL_REMOTE_US);

	if (tgt_path_is_slow(t, fwd_now(a->req)))
		way_us = MAX(way_us, RECALL_SLOW_US);
	return way_us;
}

static int64_t
recall_margin_us(const struct fwd_attempt *a)
{
	return fwd_late_us(a->req->fwd) + cancel_us(a);
}

/* Time from which the target may not begin the request; 0: none is known. */
static int64_t
weights_end_us(const struct fwd_attempt *a)
{
	/* While the target loads, its version is 0. */
	return vers_deadline_us(a->req->fwd->conf.versions, a->req->model,
	    MAX(a->target->version, a->sent_version));
}

static void
log_recall(const struct fwd_attempt *a)
{
	const struct evl *loop = a->req->fwd->conf.loop;
	const struct tgt *t = a->target;
	int64_t end_us = weights_end_us(a), now_us = fwd_now(a->req);

	evt(EVT_RECALL,
	    "req=%s target=%s version=%" G_GINT64_FORMAT
	    " deadline_ms=%" G_GINT64_FORMAT " closed_ms=%" G_GINT64_FORMAT
	    " margin_ms=%" G_GINT64_FORMAT " inbound_ms=%" G_GINT64_FORMAT
	    " slow=%d local=%d loop_late_ms=%" G_GINT64_FORMAT
	    " sent_ms=%" G_GINT64_FORMAT,
	    a->req->id, t->record.id, a->sent_version, (end_us - now_us) / 1000,
	    (end_us - a->closed_us) / 1000, recall_margin_us(a) / 1000,
	    t->inbound_us / 1000, tgt_path_is_slow(t, now_us), t->local,
	    evl_late(loop).us / 1000, (now_us - a->sent_us) / 1000);
}

static bool
may_be_recalled(const struct fwd_attempt *a)
{
	/* The head of the answer has arrived when the target has begun. */
	return a->begin_timer.fire != NULL && a->call != NULL && a->status == 0;
}

/* Time at which the request is to be recalled; INT64_MAX: it stays. */
static int64_t
recall_us(const struct fwd_attempt *a)
{
	int64_t end_us = weights_end_us(a);

	return end_us == 0 ? INT64_MAX : end_us - recall_margin_us(a);
}

static void
cancel_for_recall(struct fwd_attempt *a)
{
	cancel_call(a);
	a->closed_us = evl_clock_us(loop_of(a));
	evl_timer_stop(loop_of(a), &a->stall_timer);
	evl_timer_set(loop_of(a), &a->begin_timer, fwd_now(a->req));
}

/* Cancels all requests whose recall is due by then. Only after the last of them
 * is decided where they go, as the search takes time, too. */
static void
cancel_due(struct fwd *f, int64_t until_us)
{
	struct fwd_attempt *a;
	struct fwd_req *r;

	TAILQ_FOREACH (r, &f->open, open) {
		TAILQ_FOREACH (a, &r->attempts, link) {
			if (may_be_recalled(a) && recall_us(a) <= until_us)
				cancel_for_recall(a);
		}
	}
}

void
fwd_expect_hold_up(struct fwd *f, int64_t us)
{
	cancel_due(f, evl_clock_us(f->conf.loop) + us);
}

/* Recalls the request if a cancel sent later may arrive too late, or sets the
 * timer to the next look. */
static void
check_recall(struct fwd_attempt *a)
{
	int64_t end_us = weights_end_us(a), now_us = fwd_now(a->req);
	int64_t next_us, at_us = recall_us(a);

	if (end_us == 0)
		return;
	if (now_us >= at_us) {
		cancel_for_recall(a);
		cancel_due(a->req->fwd, now_us);
		return;
	}
	next_us = MAX(RECALL_CHECK_INTERVAL_US,
	    (int64_t)((double)(end_us - now_us) * RECALL_CHECK_SHARE));
	evl_timer_set(loop_of(a), &a->begin_timer,
	    MIN(at_us, MAX(end_us - RECALL_CHECK_US, now_us + next_us)));
}

void
fwd_versions_changed(struct fwd *f)
{
	struct fwd_attempt *a;
	struct fwd_req *r;

	TAILQ_FOREACH (r, &f->open, open) {
		TAILQ_FOREACH (a, &r->attempts, link) {
			if (may_be_recalled(a))
				check_recall(a);
		}
	}
}

static void
on_begin_deadline(struct evl_timer *timer)
{
	struct fwd_attempt *a =
	    CONTAINER_OF(timer, struct fwd_attempt, begin_timer);

	if (a->closed_us != 0) {
		log_recall(a);
		attempt_ended(a, FLOW_RECALLED);
	} else if (may_be_recalled(a))
		check_recall(a);
}

/* Arms the recall of a request that does not begin in time. This includes
 * resumed streams and last attempts: their callers lose the rest of the answer,
 * which must not be made with withdrawn weights. */
static void
arm_begin_timer(struct fwd_attempt *a)
{
	const struct fwd_req *r = a->req;
	int64_t end_us;

	if (r->route->kind != SV_STREAM || !r->flow.repeatable ||
	    !a->target->record.has_models)
		return;
	a->begin_timer.fire = on_begin_deadline;
	end_us = weights_end_us(a);
	if (end_us != 0)
		evl_timer_set(loop_of(a), &a->begin_timer,
		    end_us - MAX(RECALL_CHECK_US, recall_margin_us(a)));
}

/* ------------------------------------------------------------------ */
/* Sending                                                             */
/* ------------------------------------------------------------------ */

static int64_t
stall_timeout_us(const struct fwd_req *r)
{
	const struct sv_route *route = r->route;

	if (route->kind != SV_STREAM)
		return (int64_t)((double)route->timeout_us * STALL_PLAIN_SHARE);
	if (r->events > 0 && route->gap_us > 0)
		return STALL_GAP * route->gap_us;
	if (route->objective_us > 0)
		return CLAMP(STALL_MEAN * r->service->first_event_us,
		    STALL_FIRST * route->objective_us,
		    STALL_FIRST_MAX * route->objective_us);
	return STALL_DEFAULT_US;
}

/* Arms the stall timer until the target's next event, where the request may be
 * sent elsewhere then. */
static void
arm_stall_timer(struct fwd_attempt *a)
{
	const struct fwd_req *r = a->req;

	if (!r->flow.repeatable || r->flow.runs + 1 >= r->flow.max_attempts)
		return;
	a->stall_timer.fire = on_stalled;
	evl_timer_set(
	    loop_of(a), &a->stall_timer, fwd_now(r) + stall_timeout_us(r));
}

void
fwd_note_progress(struct fwd_attempt *a)
{
	struct fwd_req *r = a->req;

	if (a->silent)
		r->flow.runs--;
	a->silent = false;
	fwd_dequeue(r); /* no second target is needed */
	/* Nothing is read while the caller is slow. */
	if (hreq_congested(r->caller))
		evl_timer_stop(loop_of(a), &a->stall_timer);
	else
		arm_stall_timer(a);
}

void
fwd_resume_reading(struct fwd_req *r)
{
	struct fwd_attempt *a;

	TAILQ_FOREACH (a, &r->attempts, link) {
		if (a->call == NULL)
			continue;
		hcall_pause(a->call, false);
		fwd_note_progress(a);
	}
}

void
fwd_hedge_later(struct fwd_req *r)
{
	struct fwd_attempt *a = TAILQ_LAST(&r->attempts, fwd_attempts);

	if (a != NULL)
		evl_timer_set(loop_of(a), &a->stall_timer,
		    fwd_now(r) + stall_timeout_us(r));
}

/* Counts first attempts and retries apart: a rate limit applies to both. */
static void
count_limited(struct fwd_attempt *a)
{
	struct fwd_req *r = a->req;

	if (a->target->rate.limit > 0)
		ctr_add(r->flow.attempts > 1 ? r->fwd->limited_again
					     : r->fwd->limited,
		    1);
}

static struct fwd_attempt *
attempt_new(struct fwd_req *r, struct tgt *target)
{
	struct fwd_attempt *a = g_new0(struct fwd_attempt, 1);

	a->req = r;
	a->target = tgt_ref(target);
	a->end = "cancelled";
	a->sent_us = r->sent_us = fwd_now(r);
	a->sent_version = target->version;
	a->is_probe = target->failures > 0;
	if (r->ntried < FWD_TRIED_MAX)
		r->tried[r->ntried++] = target;
	r->flow.attempts++;
	TAILQ_INSERT_TAIL(&r->attempts, a, link);
	return a;
}

void
fwd_send(struct fwd_req *r, struct tgt *target)
{
	struct fwd_attempt *silent = TAILQ_LAST(&r->attempts, fwd_attempts);
	GString *head = fwd_request_head(r, target);
	struct fwd_attempt *a;
	const void *body;
	size_t len;

	if (silent != NULL) {
		count_retry(r);
		log_retry(silent, FLOW_STALLED);
	}
	a = attempt_new(r, target);
	count_limited(a);
	tgt_sent(target, a->sent_us);
	fwd_note_sent(r);
	/* Ask now, so that the next request finds a permit. */
	tgt_ask_permit(r->fwd->conf.targets, target, a->sent_us);
	tgt_prefill(target, r->prompt, true);
	a->prompt_pending = true;
	body = hreq_body(r->caller, &len);
	a->call = hcall_start(r->fwd->conf.pool,
	    &(struct hcall_conf){ .address = target->record.address,
		.head = head->str,
		.head_len = head->len,
		.body = body,
		.body_len = len,
		.no_body = strcmp(hreq_msg(r->caller)->method, "HEAD") == 0,
		.ops = &call_ops,
		.ctx = a });
	g_string_free(head, TRUE);
	arm_stall_timer(a);
	arm_begin_timer(a);
}
