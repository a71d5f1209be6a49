/* One attempt at a target. */

#include <string.h>

#include "serve/fwd_internal.h"

/* An engine that has said nothing for so many objectives is taken as silent:
 * three times the objective is late already, and the caller gives up on a
 * stream after four. */
#define SILENT_FIRST 3
/*
 * Under load first events come late everywhere, and a request that is sent
 * again makes two of the work. So many times what is usual now are waited
 * for, as long as the caller still waits.
 */
#define SILENT_USUAL 3
#define SILENT_FIRST_MAX 5
/* The same between events, in objectives for the pause. */
#define SILENT_GAP 3
#define SILENT_DEFAULT_US 1200000
/* A plain request that may be repeated is tried elsewhere after this share of
 * its route's time, so that the second try still fits. */
#define SILENT_PLAIN_SHARE 0.5
/* A connection that fails sooner was refused by the target's host. */
#define REFUSED_US 100000
/* Least time that another attempt needs. */
#define ATTEMPT_MIN_US 60000

/*
 * A request that waits at its target until the target's weights are too old is
 * run on them all the same: its caller gets an answer that the operators have
 * withdrawn. What has not begun so long before that moment is cancelled and
 * goes on elsewhere; a target drops what its caller has left. Longer than a
 * cancel takes to get there beside other work, 20 to 40 ms.
 */
#define WITHDRAW_US 80000
/* The same to another region, over a link that others fill. */
#define WITHDRAW_FAR_US 400000
/* The same over a slow link, where the cancel itself takes up to a second. */
#define WITHDRAW_SLOW_US 980000

void
fwd_prompt_read(struct fwd_req *r)
{
	if (!r->reading)
		return;
	r->reading = false;
	tgt_reading(r->target, r->prompt, false);
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
/* The end of an attempt                                               */
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

static const enum tgt_outcome outcomes[] = {
	[FLOW_REFUSED] = TGT_REFUSED,
	[FLOW_UNREACHABLE] = TGT_LOST,
	[FLOW_LOST] = TGT_ERROR,
	[FLOW_STALLED] = TGT_SILENT,
	[FLOW_RECALLED] = TGT_REFUSED, /* says nothing against it */
	[FLOW_FAILURE] = TGT_ERROR,
};

static void
note_outcome(struct fwd_req *r, enum flow_end end)
{
	unsigned int failures = r->target->failures;

	tgt_outcome(r->target, outcomes[end], fwd_now(r));
	if (r->target->failures > failures)
		evt(EVT_TARGET_REST,
		    "target=%s address=%s why=%s failures=%u rest_ms=%" G_GINT64_FORMAT,
		    r->target->says.id, r->target->says.address, end_names[end],
		    r->target->failures,
		    (r->target->rest_until_us - fwd_now(r)) / 1000);
	if (end != FLOW_REFUSED)
		return;
	if (r->status == 421)
		tgt_mistaken(r->target);
	else /* it is fuller than was thought */
		tgt_load(r->target,
		    (unsigned int)tgt_limit(
			r->target, tgt_set_policy(r->fwd->conf.targets)),
		    fwd_now(r));
}

static void
go_on(struct fwd_req *r, enum flow_end end)
{
	ctr_add(r->fwd->retries, 1);
	if (r->flow.begun)
		ctr_add(r->fwd->resumes, 1);
	evt(EVT_RETRY,
	    "req=%s why=%s target=%s tries=%u runs=%u last_event=%" G_GINT64_FORMAT
	    " ms=%" G_GINT64_FORMAT " content=%016" G_GINT64_MODIFIER "x",
	    r->id, end_names[end], r->target->says.id, r->flow.tries,
	    r->flow.runs, r->last_event, (fwd_now(r) - r->started_us) / 1000,
	    r->fingerprint);
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
	r->flow.has_time = r->deadline_us - fwd_now(r) > ATTEMPT_MIN_US &&
	    r->ntried < FWD_TRIED_MAX;
	r->flow.blocked = fwd_is_blocked(r, &until_us);
	switch (flow_next(&r->flow, end, may_spend, r)) {
	case FLOW_RETRY:
	case FLOW_RESUME:
		go_on(r, end);
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
/* Events of the call                                                  */
/* ------------------------------------------------------------------ */

static void
on_head(struct hcall *c, const struct hmsg *m, void *ctx)
{
	fwd_read_head(ctx, m);
}

static void
on_body(struct hcall *c, const void *data, size_t len, void *ctx)
{
	fwd_read_body(ctx, data, len);
}

static bool
is_failure(const struct fwd_req *r)
{
	return r->status >= 500;
}

static void
on_done(struct hcall *c, void *ctx)
{
	struct fwd_req *r = ctx;

	r->call = NULL;
	if (r->not_run)
		attempt_ended(r, FLOW_REFUSED);
	else if (r->unusable)
		attempt_ended(r, FLOW_LOST);
	else if (is_failure(r))
		attempt_ended(r, FLOW_FAILURE);
	else {
		tgt_outcome(r->target, TGT_ANSWERED, fwd_now(r));
		fwd_note_answered(r);
		fwd_answer_complete(r);
	}
}

/* A connection that is refused at once: nobody listens there any more. A side
 * knows better: its target may only refuse more connections. */
static void
connection_failed(struct fwd_req *r)
{
	struct fwd *f = r->fwd;
	struct tgt *target = tgt_ref(r->target);
	bool ended =
	    target->side_us == 0 && fwd_now(r) - r->sent_us < REFUSED_US;

	attempt_ended(r, FLOW_UNREACHABLE);
	if (ended)
		fwd_target_terminated(f, target);
	tgt_unref(target);
}

static void
on_failed(struct hcall *c, enum hcall_failure why, bool sent, void *ctx)
{
	struct fwd_req *r = ctx;

	r->call = NULL;
	/* A refusal was read whole enough: its head says that it did not
	 * run, whatever became of its body. */
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
on_silent(struct evl_timer *timer)
{
	struct fwd_req *r = CONTAINER_OF(timer, struct fwd_req, wait_timer);

	/* When connections fall silent they do so many at a time, and each
	 * kept one would cost another request. */
	if (r->call != NULL && hcall_kept(r->call))
		hpool_forget_idle(r->fwd->conf.pool);
	cancel_call(r);
	attempt_ended(r, FLOW_STALLED);
}

static void
on_begin_due(struct evl_timer *timer)
{
	struct fwd_req *r = CONTAINER_OF(timer, struct fwd_req, begin_timer);

	/* The head of its answer came: it has begun. */
	if (r->call == NULL || r->status != 0)
		return;
	cancel_call(r);
	attempt_ended(r, FLOW_RECALLED);
}

static int64_t
withdraw_us(const struct fwd_req *r)
{
	if (tgt_way_is_slow(r->target, fwd_now(r)))
		return WITHDRAW_SLOW_US;
	return r->target->near ? WITHDRAW_US : WITHDRAW_FAR_US;
}

/* Also of a stream that has begun elsewhere, and of a last attempt: their
 * callers lose the rest, which withdrawn weights must not make. */
static void
expect_begin(struct fwd_req *r)
{
	int64_t end_us;

	if (r->route->kind != SV_STREAM || !r->flow.repeatable ||
	    !r->target->says.has_models)
		return;
	end_us =
	    vers_end_us(r->fwd->conf.versions, r->model, r->target->version);
	if (end_us == 0)
		return;
	r->begin_timer.fire = on_begin_due;
	evl_timer_set(
	    r->fwd->conf.loop, &r->begin_timer, end_us - withdraw_us(r));
}

/* Waits for the target's next word. A request that cannot go elsewhere is
 * left to its due time: its silence is no reason to end it sooner. */
static void
expect_word(struct fwd_req *r)
{
	const struct sv_route *route = r->route;
	int64_t wait_us = SILENT_DEFAULT_US;

	if (!r->flow.repeatable || r->flow.runs + 1 >= r->flow.attempts)
		return;
	if (route->kind != SV_STREAM)
		wait_us =
		    (int64_t)((double)route->timeout_us * SILENT_PLAIN_SHARE);
	else if (r->state == FWD_STREAMING && route->gap_us > 0)
		wait_us = SILENT_GAP * route->gap_us;
	else if (route->objective_us > 0)
		wait_us = CLAMP(SILENT_USUAL * r->service->first_event_us,
		    SILENT_FIRST * route->objective_us,
		    SILENT_FIRST_MAX * route->objective_us);
	r->wait_timer.fire = on_silent;
	evl_timer_set(r->fwd->conf.loop, &r->wait_timer, fwd_now(r) + wait_us);
}

void
fwd_note_progress(struct fwd_req *r)
{
	expect_word(r);
}

static void
reset_answer(struct fwd_req *r)
{
	r->status = 0;
	r->is_matched = false;
	r->not_run = false;
	r->unusable = false;
	r->sealed = false;
	r->has_begun = false;
	hbuf_free(&r->answer);
}

/* First sends and repeats apart: a limit binds both. */
static void
count_limited(struct fwd_req *r)
{
	if (r->target->rate.limit > 0)
		ctr_add(
		    r->flow.tries > 1 ? r->fwd->limited_again : r->fwd->limited,
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
	if (r->ntried < FWD_TRIED_MAX)
		r->tried[r->ntried++] = target;
	r->flow.tries++;
	count_limited(r);
	tgt_sent(target, r->sent_us);
	/* The next request finds its permit there. */
	tgt_ask_permit(r->fwd->conf.targets, target, r->sent_us);
	tgt_reading(target, r->prompt, true);
	r->reading = true;
	body = hreq_body(r->caller, &len);
	r->call = hcall_start(r->fwd->conf.pool,
	    &(struct hcall_conf){ .address = target->says.address,
		.head = head->str,
		.head_len = head->len,
		.body = body,
		.body_len = len,
		.no_body = strcmp(hreq_msg(r->caller)->method, "HEAD") == 0,
		.ops = &call_ops,
		.ctx = r });
	g_string_free(head, TRUE);
	expect_word(r);
	expect_begin(r);
}
