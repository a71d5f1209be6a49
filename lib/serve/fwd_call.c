/* One attempt at a target: sending, timers, outcome. */

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
/* Time before the end of the weights from which the margin is looked at again,
 * and how often: more chunks may be on their way to the target's host now. */
#define RECALL_CHECK_US 1000000
#define RECALL_CHECK_INTERVAL_US 25000

void
fwd_prompt_read(struct fwd_req *r)
{
	if (!r->prompt_pending)
		return;
	r->prompt_pending = false;
	tgt_prefill(r->target, r->prompt, false);
	fwd_pump(r->fwd);
}

static void
stop_timers(struct fwd_req *r)
{
	evl_timer_stop(r->fwd->conf.loop, &r->wait_timer);
	evl_timer_stop(r->fwd->conf.loop, &r->begin_timer);
}

static void
cancel_call(struct fwd_req *r)
{
	if (r->call != NULL)
		hcall_cancel(r->call);
	r->call = NULL;
}

void
fwd_drop_call(struct fwd_req *r)
{
	struct fwd *f = r->fwd;

	stop_timers(r);
	cancel_call(r);
	if (r->headers != NULL) {
		g_string_free(r->headers, TRUE);
		r->headers = NULL;
	}
	hbuf_free(&r->answer);
	if (r->target == NULL)
		return;
	fwd_prompt_read(r);
	tgt_ended(r->target, fwd_now(r));
	tgt_unref(r->target);
	r->target = NULL;
	fwd_count_completion(r->service, fwd_now(r));
	fwd_pump(f);
}

/* ------------------------------------------------------------------ */
/* End of an attempt                                                   */
/* ------------------------------------------------------------------ */

static bool
may_spend(void *ctx)
{
	struct fwd_req *r = ctx;

	return spend_take(
	    &r->service->budget, &r->fwd->conf.budget, fwd_now(r));
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
	[FLOW_STALLED] = TGT_TIMEOUT,
	[FLOW_RECALLED] = TGT_REFUSED, /* no fault of the target */
	[FLOW_FAILURE] = TGT_ERROR,
};

static void
note_outcome(struct fwd_req *r, enum flow_end end)
{
	unsigned int failures = r->target->failures;

	tgt_outcome(r->target, target_outcomes[end], fwd_now(r));
	if (r->target->failures > failures)
		evt(EVT_TARGET_BACKOFF,
		    "target=%s address=%s why=%s failures=%u rest_ms=%" G_GINT64_FORMAT,
		    r->target->record.id, r->target->record.address,
		    end_names[end], r->target->failures,
		    (r->target->backoff_until_us - fwd_now(r)) / 1000);
	if (end != FLOW_REFUSED)
		return;
	if (r->status == 421)
		tgt_wrong_instance(r->target);
	else /* it is fuller than estimated */
		tgt_set_load(r->target,
		    (unsigned int)tgt_limit(
			r->target, tgt_set_policy(r->fwd->conf.targets)),
		    fwd_now(r));
}

static void
retry(struct fwd_req *r, enum flow_end end)
{
	char parts[FWD_PARTS_TEXT];

	fwd_parts_text(r, parts);
	ctr_add(r->fwd->retries, 1);
	if (r->flow.begun)
		ctr_add(r->fwd->resumes, 1);
	evt(EVT_RETRY,
	    "req=%s why=%s target=%s tries=%u runs=%u last_event=%" G_GINT64_FORMAT
	    " ms=%" G_GINT64_FORMAT
	    " framing=%s end=%s rest=%zu silent_ms=%" G_GINT64_FORMAT
	    " content=%016" G_GINT64_MODIFIER "x parts=%s",
	    r->id, end_names[end], r->target->record.id, r->flow.attempts,
	    r->flow.runs, r->last_event, (fwd_now(r) - r->started_us) / 1000,
	    fwd_framing_name(r), r->answer_end, fwd_event_rest(r),
	    fwd_silent_ms(r), r->content, parts);
	fwd_drop_call(r);
	r->state = FWD_WAITING;
	fwd_dispatch(r);
}

static void
attempt_ended(struct fwd_req *r, enum flow_end end)
{
	int64_t until_us;

	stop_timers(r);
	note_outcome(r, end);
	if (end != FLOW_REFUSED && end != FLOW_UNREACHABLE) {
		r->flow.may_have_run = true;
		r->flow.runs++;
	}
	/* Without an id there is no position to resume from. */
	if (r->events > 0 && !r->has_event)
		r->flow.repeatable = false;
	r->flow.has_time = r->deadline_us - fwd_now(r) > ATTEMPT_MIN_US &&
	    r->ntried < FWD_TRIED_MAX;
	r->flow.blocked = fwd_is_blocked(r, &until_us);
	switch (flow_next(&r->flow, end, may_spend, r)) {
	case FLOW_RETRY:
	case FLOW_RESUME:
		retry(r, end);
		break;
	case FLOW_PASS:
		fwd_answer_complete(r);
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

/* ------------------------------------------------------------------ */
/* Callbacks of the call                                               */
/* ------------------------------------------------------------------ */

static void
on_head(struct hcall *c, const struct hmsg *m, void *ctx)
{
	fwd_note_heard(ctx);
	fwd_read_head(ctx, m);
}

static void
on_body(struct hcall *c, const void *data, size_t len, void *ctx)
{
	fwd_note_heard(ctx);
	fwd_read_body(ctx, data, len);
}

static bool
is_failure(const struct fwd_req *r)
{
	return r->status >= 500;
}

/* The target has done the work that it may terminate under. */
static bool
is_success(const struct fwd_req *r)
{
	return r->status >= 200 && r->status < 300;
}

static void
on_done(struct hcall *c, void *ctx)
{
	struct fwd_req *r = ctx;

	r->call = NULL;
	r->answer_end = r->framing == HFRAMING_CLOSE ? "closed" : "whole";
	if (r->not_run)
		attempt_ended(r, FLOW_REFUSED);
	else if (r->unusable)
		attempt_ended(r, FLOW_LOST);
	else if (is_failure(r))
		attempt_ended(r, FLOW_FAILURE);
	else if (!fwd_answer_is_complete(r)) {
		fwd_note_cut(r);
		attempt_ended(r, FLOW_LOST);
	} else {
		tgt_outcome(r->target, TGT_ANSWERED, fwd_now(r));
		if (is_success(r))
			fwd_note_answered(r);
		fwd_answer_complete(r);
	}
}

/* A connection that is refused at once means that no process listens there any
 * more. Where a sidecar reports on the target, it decides instead: the target
 * may only be refusing further connections. */
static void
connection_failed(struct fwd_req *r)
{
	struct fwd *f = r->fwd;
	struct tgt *target = tgt_ref(r->target);
	bool terminated =
	    target->side_report_us == 0 && fwd_now(r) - r->sent_us < REFUSED_US;

	attempt_ended(r, FLOW_UNREACHABLE);
	if (terminated)
		fwd_target_terminated(f, target);
	tgt_unref(target);
}

static void
on_failed(struct hcall *c, enum hcall_failure why, bool sent, void *ctx)
{
	struct fwd_req *r = ctx;

	r->call = NULL;
	r->answer_end = hcall_failure_name(why);
	/* The head of a refusal is enough: it says that the request did not
	 * run, even if the body is incomplete. */
	if (r->not_run)
		attempt_ended(r, FLOW_REFUSED);
	else if (sent) {
		fwd_note_cut(r);
		attempt_ended(r, FLOW_LOST);
	} else
		connection_failed(r);
}

static const struct hcall_ops call_ops = {
	.head = on_head,
	.body = on_body,
	.done = on_done,
	.failed = on_failed,
};

/* ------------------------------------------------------------------ */
/* Sending                                                             */
/* ------------------------------------------------------------------ */

static void
on_stalled(struct evl_timer *timer)
{
	struct fwd_req *r = CONTAINER_OF(timer, struct fwd_req, wait_timer);

	/* Connections usually stall many at a time, and each idle one that
	 * stays in the pool would cost another request a stall timeout. */
	if (r->call != NULL && hcall_is_reused(r->call))
		hpool_close_idle(r->fwd->conf.pool);
	cancel_call(r);
	tgt_silent(r->target, MAX(r->sent_us, r->heard_us));
	attempt_ended(r, FLOW_STALLED);
}

/* Time that a cancel takes to arrive at the target, at most. */
static int64_t
recall_margin_us(const struct fwd_req *r)
{
	const struct tgt *t = r->target;
	int64_t margin_us =
	    t->inbound_us + (t->local ? RECALL_LOCAL_US : RECALL_REMOTE_US);

	if (tgt_path_is_slow(t, fwd_now(r)))
		margin_us = MAX(margin_us, RECALL_SLOW_US);
	return margin_us;
}

/* Time from which the target may not begin the request; 0: none is known. */
static int64_t
weights_end_us(const struct fwd_req *r)
{
	/* While the target loads, its version is 0. */
	return vers_deadline_us(r->fwd->conf.versions, r->model,
	    MAX(r->target->version, r->sent_version));
}

/* Recalls the request if a cancel sent later may arrive too late, or sets the
 * timer to the next look. */
static void
check_recall(struct fwd_req *r)
{
	int64_t end_us = weights_end_us(r), now_us = fwd_now(r);
	int64_t recall_us = end_us - recall_margin_us(r);

	if (end_us == 0)
		return;
	if (now_us >= recall_us) {
		cancel_call(r);
		attempt_ended(r, FLOW_RECALLED);
		return;
	}
	evl_timer_set(r->fwd->conf.loop, &r->begin_timer,
	    MIN(recall_us,
		MAX(end_us - RECALL_CHECK_US,
		    now_us + RECALL_CHECK_INTERVAL_US)));
}

static void
on_begin_deadline(struct evl_timer *timer)
{
	struct fwd_req *r = CONTAINER_OF(timer, struct fwd_req, begin_timer);

	/* The head of the answer has arrived, so the target has begun. */
	if (r->call != NULL && r->status == 0)
		check_recall(r);
}

/* Arms the recall of a request that does not begin in time. This includes
 * resumed streams and last attempts: their callers lose the rest of the answer,
 * which must not be made with withdrawn weights. */
static void
arm_begin_timer(struct fwd_req *r)
{
	int64_t end_us;

	if (r->route->kind != SV_STREAM || !r->flow.repeatable ||
	    !r->target->record.has_models)
		return;
	end_us = weights_end_us(r);
	if (end_us == 0)
		return;
	r->begin_timer.fire = on_begin_deadline;
	evl_timer_set(r->fwd->conf.loop, &r->begin_timer,
	    end_us - MAX(RECALL_CHECK_US, recall_margin_us(r)));
}

/* Arms the stall timer until the target's next event. A request that cannot be
 * sent elsewhere only has its deadline: a stalled target is no reason to end it
 * sooner. */
static void
arm_stall_timer(struct fwd_req *r)
{
	const struct sv_route *route = r->route;
	int64_t wait_us = STALL_DEFAULT_US;

	if (!r->flow.repeatable || r->flow.runs + 1 >= r->flow.max_attempts)
		return;
	if (route->kind != SV_STREAM)
		wait_us =
		    (int64_t)((double)route->timeout_us * STALL_PLAIN_SHARE);
	else if (r->events > 0 && route->gap_us > 0)
		wait_us = STALL_GAP * route->gap_us;
	else if (route->objective_us > 0)
		wait_us = CLAMP(STALL_MEAN * r->service->first_event_us,
		    STALL_FIRST * route->objective_us,
		    STALL_FIRST_MAX * route->objective_us);
	r->wait_timer.fire = on_stalled;
	evl_timer_set(r->fwd->conf.loop, &r->wait_timer, fwd_now(r) + wait_us);
}

void
fwd_note_progress(struct fwd_req *r)
{
	arm_stall_timer(r);
}

static void
reset_answer(struct fwd_req *r)
{
	r->status = 0;
	r->is_matched = false;
	r->answer_end = "cancelled";
	r->not_run = false;
	r->unusable = false;
	r->sealed = false;
	r->has_begun = false;
	r->sse = (struct sse){ 0 };
	hbuf_free(&r->answer);
}

/* Counts first attempts and retries apart: a rate limit applies to both. */
static void
count_limited(struct fwd_req *r)
{
	if (r->target->rate.limit > 0)
		ctr_add(r->flow.attempts > 1 ? r->fwd->limited_again
					     : r->fwd->limited,
		    1);
}

void
fwd_send(struct fwd_req *r, struct tgt *target)
{
	GString *head = fwd_request_head(r, target);
	const void *body;
	size_t len;

	reset_answer(r);
	r->state = r->flow.begun ? FWD_STREAMING : FWD_CALLING;
	r->target = tgt_ref(target);
	r->sent_us = fwd_now(r);
	r->sent_version = target->version;
	if (r->ntried < FWD_TRIED_MAX)
		r->tried[r->ntried++] = target;
	r->flow.attempts++;
	count_limited(r);
	tgt_sent(target, r->sent_us);
	/* Ask now, so that the next request finds a permit. */
	tgt_ask_permit(r->fwd->conf.targets, target, r->sent_us);
	tgt_prefill(target, r->prompt, true);
	r->prompt_pending = true;
	body = hreq_body(r->caller, &len);
	r->call = hcall_start(r->fwd->conf.pool,
	    &(struct hcall_conf){ .address = target->record.address,
		.head = head->str,
		.head_len = head->len,
		.body = body,
		.body_len = len,
		.no_body = strcmp(hreq_msg(r->caller)->method, "HEAD") == 0,
		.ops = &call_ops,
		.ctx = r });
	g_string_free(head, TRUE);
	arm_stall_timer(r);
	arm_begin_timer(r);
}
