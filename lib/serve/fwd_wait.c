/* Queueing requests for a slot at a target. */

#include <string.h>

#include "serve/fwd_internal.h"

/*
 * Share of a request's objective that it may spend in the queue. An engine
 * needs the rest to produce its first token (some 300 of 400 ms when it is
 * full): a request that waits longer is served late, and the slot is better
 * used for one that can still be in time.
 */
#define QUEUE_SHARE 0.3
#define QUEUE_MIN_US 20000
/* A stream that was cut off midway waits longer for its next target: its caller
 * gives up after a pause of two seconds, and then the part of the answer that
 * it has received is wasted. */
#define QUEUE_RESUME_US 1500000
/* For routes without an objective. */
#define QUEUE_DEFAULT_US 200000
#define RATE_SPAN_US 2000000 /* time span of the average completion rate */
/* Weight of one request in the moving average of the client retry share. */
#define RETRY_WEIGHT 0.02
/* Above this share the callers' deadlines do not indicate retries: these
 * callers always set less time than their routes allow. */
#define RETRY_SHARE_MAX 0.6
/*
 * Share of a target's slots that is reserved for new callers. Client retries
 * are late already, and each slot that they take makes a new caller late: in a
 * lasting overload a quarter of the engines' work went into late answers, and
 * half of the answers that could have been in time were late.
 */
#define RESERVED_SHARE 0.3
/* Slots are reserved only for this long after a new caller found all of them
 * taken. Longer than the time between two callers at a gateway in a burst. */
#define RESERVE_US 500000
/* Callers that are refused until a target takes requests again return within
 * this time after it. */
#define DEFERRED_SPREAD_US 300000

/* ------------------------------------------------------------------ */
/* Rate at which slots become free                                     */
/* ------------------------------------------------------------------ */

void
fwd_count_completion(struct fwd_service *service, int64_t now_us)
{
	int64_t span_us = now_us - service->rate_updated_us;
	double rate, weight;

	service->completed++;
	if (span_us < RATE_SPAN_US / 8)
		return;
	rate = (double)service->completed * G_USEC_PER_SEC / (double)span_us;
	weight = MIN(1, (double)span_us / RATE_SPAN_US);
	service->completion_rate += (rate - service->completion_rate) * weight;
	service->rate_updated_us = now_us;
	service->completed = 0;
}

static double
expected_wait_s(const struct fwd_service *service, unsigned int ahead)
{
	if (service->completion_rate <= 0)
		return 0;
	return (ahead + 1) / service->completion_rate;
}

double
fwd_retry_after(struct fwd_req *r)
{
	double wait_s = expected_wait_s(r->service, r->service->nwaiting);

	return flow_retry_after_s(
	    wait_s, (double)rng_below(&r->fwd->rng, 1000) / 1000.0);
}

/* ------------------------------------------------------------------ */
/* Client retries                                                      */
/* ------------------------------------------------------------------ */

void
fwd_note_client_retry(struct fwd_req *r)
{
	struct fwd_service *service = r->service;

	service->retry_share +=
	    ((r->is_client_retry ? 1 : 0) - service->retry_share) *
	    RETRY_WEIGHT;
	if (service->retry_share > RETRY_SHARE_MAX)
		r->is_client_retry = false;
}

/* ------------------------------------------------------------------ */
/* Queue                                                               */
/* ------------------------------------------------------------------ */

static int64_t
wait_limit_us(const struct fwd_req *r)
{
	if (r->route->objective_us <= 0)
		return QUEUE_DEFAULT_US;
	return MAX(QUEUE_MIN_US,
	    (int64_t)((double)r->route->objective_us * QUEUE_SHARE));
}

static void
on_wait_timeout(struct evl_timer *timer)
{
	struct fwd_req *r = CONTAINER_OF(timer, struct fwd_req, wait_timer);

	if (r->flow.begun)
		fwd_abort(r, "no_target_to_resume");
	else if (r->flow.may_have_run)
		fwd_fail(r, 502, "no_target_to_repeat");
	else
		fwd_refuse(r, "no_place");
}

/* It looks for a target beside those that have it and are silent. */
static bool
is_hedge(const struct fwd_req *r)
{
	return !TAILQ_EMPTY(&r->attempts);
}

void
fwd_dequeue(struct fwd_req *r)
{
	if (!r->queued)
		return;
	TAILQ_REMOVE(&r->service->waiting, r, link);
	r->queued = false;
	r->service->nwaiting -= !r->queued_as_hedge;
	r->fwd->waiting--;
}

/* Queue order: begun streams first, then by priority, new callers before client
 * retries, oldest first. */
static bool
goes_before(const struct fwd_req *a, const struct fwd_req *b)
{
	if (a->flow.begun != b->flow.begun)
		return a->flow.begun;
	if (a->priority != b->priority)
		return a->priority < b->priority;
	if (a->is_client_retry != b->is_client_retry)
		return b->is_client_retry;
	return a->started_us < b->started_us;
}

static void
enqueue(struct fwd_req *r)
{
	struct fwd_service *service = r->service;
	struct fwd_req *other;

	r->queued = true;
	TAILQ_FOREACH (other, &service->waiting, link) {
		if (goes_before(r, other))
			break;
	}
	if (other != NULL)
		TAILQ_INSERT_BEFORE(other, r, link);
	else
		TAILQ_INSERT_TAIL(&service->waiting, r, link);
	r->queued_as_hedge = is_hedge(r);
	service->nwaiting += !r->queued_as_hedge;
	r->fwd->waiting++;
}

/* Whether it must leave the reserved slots to new callers. */
static bool
yields_to_new(const struct fwd_req *r)
{
	return r->is_client_retry && !r->flow.begun &&
	    r->service->full_us != 0 &&
	    fwd_now(r) - r->service->full_us < RESERVE_US;
}

/*
 * A target may accept a request and begin it later, on weights that have become
 * too old meanwhile. So some time before the deadline of a new version,
 * requests go only to targets that have it. For a request that can be recalled
 * this lead time is short: the time in which a target with a free slot begins
 * it, under 0.1 s, and the time to recall it. For any other it is the longest
 * time observed in a target's queue: 1.1 s, and up to 1.8 s at a target that
 * has just started. Where weights arrive late, the shorter lead time keeps
 * targets in service for 0.8 to 1.5 s longer.
 */
#define LEAD_RECALL_US 300000
/* The part of it in which the request begins and is recalled; where inbound
 * traffic waits at the target, that time is added. */
#define LEAD_BEGIN_US 180000
#define LEAD_QUEUE_US 1100000
#define LEAD_REMOTE_US 320000 /* in addition, to another region */
#define LEAD_FRESH_US 700000 /* in addition, for a target just started */
/*
 * Over a slow link, filled by transfers of weights, a request takes a second or
 * more to reach its target, and so does the close of the connection that
 * recalls it. A request was begun that way on weights that had been withdrawn
 * half a second before. The request must arrive before it is recalled, and the
 * recall must arrive before the deadline of the new version.
 */
#define LEAD_SLOW_US 1800000

bool
fwd_may_recall(const struct fwd_req *r)
{
	return r->route->kind == SV_STREAM && r->flow.repeatable &&
	    !r->flow.begun && r->flow.runs + 1 < r->flow.max_attempts;
}

static struct tgt_criteria
criteria_of(struct fwd_req *r)
{
	struct fwd *f = r->fwd;
	bool may_queue = !fwd_may_recall(r);
	/* The request may leave this process late, or be recalled earlier. */
	int64_t sent_us = fwd_now(r) + fwd_late_us(f);
	int64_t begin_us =
	    sent_us + (may_queue ? LEAD_QUEUE_US : LEAD_RECALL_US);
	int64_t behind_chunks_us =
	    sent_us + (may_queue ? LEAD_QUEUE_US : LEAD_BEGIN_US);
	int64_t fresh_us = begin_us + (may_queue ? LEAD_FRESH_US : 0);

	return (struct tgt_criteria){
		.model = r->model,
		.version = vers_min(f->conf.versions, r->model, begin_us),
		.version_fresh = vers_min(f->conf.versions, r->model, fresh_us),
		.version_remote = vers_min(
		    f->conf.versions, r->model, begin_us + LEAD_REMOTE_US),
		.version_slow = vers_min(
		    f->conf.versions, r->model, sent_us + LEAD_SLOW_US),
		.versions = f->conf.versions,
		.begin_us = behind_chunks_us,
		.begin_remote_us = behind_chunks_us + LEAD_REMOTE_US,
		.exclude = r->tried,
		.nexclude = r->ntried,
		.repeatable = r->flow.repeatable,
		.not_silent = is_hedge(r),
		.reserve_share = yields_to_new(r) ? RESERVED_SHARE : 0,
		.random = rng_next(&f->rng),
	};
}

static struct tgt *
choose(struct fwd_req *r, const struct tgt_criteria *criteria,
    enum tgt_reason *why)
{
	struct fwd *f = r->fwd;

	ctr_add(f->choices, 1);
	return tgt_choose(
	    f->conf.targets, r->service->targets, criteria, fwd_now(r), why);
}

/* Whether slots become free fast enough for the request to get one in time. A
 * client retry would be late in any case, and delay new callers. */
static bool
worth_waiting(const struct fwd_req *r)
{
	double wait_us =
	    expected_wait_s(r->service, r->service->nwaiting) * G_USEC_PER_SEC;

	return !r->is_client_retry && wait_us <= (double)wait_limit_us(r);
}

/* All eligible targets asked for no requests. Waits for the first of them only
 * if it takes requests in time; the caller's Retry-After is spread, as all that
 * are refused now would otherwise return at once. Returns whether it refused
 * the request. */
static bool
refuse_deferred(struct fwd_req *r, const struct tgt_criteria *criteria)
{
	int64_t soonest_us =
	    tgt_soonest_us(r->service->targets, criteria, fwd_now(r));

	if (!r->is_client_retry &&
	    soonest_us < r->started_us + wait_limit_us(r))
		return false;
	fwd_refuse_until(r, "retry_after",
	    soonest_us + (int64_t)rng_below(&r->fwd->rng, DEFERRED_SPREAD_US));
	return true;
}

static const char *const refusal_names[] = {
	[TGT_FULL] = "full",
	[TGT_SILENT] = "all_silent",
	[TGT_NONE] = "no_target",
};

/* Refuses a request that has not run where waiting is of no use. Returns
 * whether it did. */
static bool
refuse_early(
    struct fwd_req *r, const struct tgt_criteria *criteria, enum tgt_reason why)
{
	if (r->flow.begun || r->flow.may_have_run)
		return false;
	if (why == TGT_RETRY_LATER)
		return refuse_deferred(r, criteria);
	if (why == TGT_FULL && worth_waiting(r))
		return false;
	fwd_refuse(r, refusal_names[why]);
	return true;
}

/* Sends a new or queued request, unless its caller has left meanwhile; then
 * on_disconnected() ends it. */
static void
send_chosen(struct fwd_req *r, struct tgt *target)
{
	bool has_waited = r->queued;
	int64_t until_us;

	if (hreq_has_left(r->caller))
		return;
	fwd_dequeue(r);
	if (is_hedge(r) && !(fwd_may_hedge(r) && fwd_may_spend(r))) {
		fwd_hedge_later(r);
		return;
	}
	/* Another one with its identity may have been sent meanwhile. */
	if (has_waited && !is_hedge(r) && fwd_is_blocked(r, &until_us)) {
		fwd_end_blocked(r, until_us);
		return;
	}
	evl_timer_stop(r->fwd->conf.loop, &r->wait_timer);
	if (!is_hedge(r))
		hist_add(&r->fwd->wait, fwd_now(r) - r->started_us);
	fwd_send(r, target);
}

void
fwd_dispatch(struct fwd_req *r)
{
	struct tgt_criteria criteria = criteria_of(r);
	enum tgt_reason why;
	struct tgt *target = choose(r, &criteria, &why);
	int64_t until_us;

	if (target != NULL) {
		send_chosen(r, target);
		return;
	}
	if (is_hedge(r)) {
		enqueue(r);
		return;
	}
	if (!r->is_client_retry && why == TGT_FULL)
		r->service->full_us = fwd_now(r);
	if (refuse_early(r, &criteria, why))
		return;
	enqueue(r);
	until_us = fwd_now(r) + wait_limit_us(r);
	if (r->flow.begun)
		until_us = fwd_now(r) + QUEUE_RESUME_US;
	else if (!r->flow.may_have_run)
		until_us = r->started_us + wait_limit_us(r);
	r->wait_timer.fire = on_wait_timeout;
	evl_timer_set(r->fwd->conf.loop, &r->wait_timer, until_us);
}

/*
 * A kind of request for which a scan found no slot. While all targets are full,
 * each load report would otherwise cause a scan over all of them for each
 * queued request: 20 requests and 200 targets that send 600 reports per second
 * make 2.4 million checks per second, more than the share of a core on a small
 * host. One scan holds for all requests of a kind.
 */
struct full_kind {
	const char *model; /* NULL: no model is requested */
	bool may_recall, repeatable;
	bool is_hedge;
	bool is_set;
};

#define FULL_KINDS 8 /* further kinds are scanned for each time */

/* A recorded kind is the least restricted of its kind: any other request of it
 * can only have fewer candidates, because of targets that it was sent to before
 * or slots that are reserved for new callers. */
static bool
is_known_full(const struct full_kind *kinds, const struct fwd_req *r)
{
	unsigned int i;

	for (i = 0; i < FULL_KINDS && kinds[i].is_set; i++) {
		if (kinds[i].is_hedge == is_hedge(r) &&
		    kinds[i].may_recall == fwd_may_recall(r) &&
		    kinds[i].repeatable == r->flow.repeatable &&
		    g_strcmp0(kinds[i].model, r->model) == 0)
			return true;
	}
	return false;
}

static void
note_full(struct full_kind *kinds, const struct fwd_req *r)
{
	unsigned int i = 0;

	if ((r->ntried > 0 && !is_hedge(r)) || yields_to_new(r))
		return;
	while (i < FULL_KINDS && kinds[i].is_set)
		i++;
	if (i < FULL_KINDS)
		kinds[i] = (struct full_kind){ .model = r->model,
			.may_recall = fwd_may_recall(r),
			.repeatable = r->flow.repeatable,
			.is_hedge = is_hedge(r),
			.is_set = true };
}

/* Assigns free slots to queued requests, most urgent first. */
static void
pump_service(struct fwd_service *service)
{
	struct full_kind kinds[FULL_KINDS] = { 0 };
	struct tgt_criteria criteria;
	struct fwd_req *r, *next;
	struct tgt *target;
	enum tgt_reason why;

	for (r = TAILQ_FIRST(&service->waiting); r != NULL; r = next) {
		next = TAILQ_NEXT(r, link);
		if (is_known_full(kinds, r))
			continue;
		criteria = criteria_of(r);
		if (is_hedge(r)) /* each has tried other targets */
			criteria.nexclude = 0;
		target = choose(r, &criteria, &why);
		if (target == NULL) {
			note_full(kinds, r);
			continue;
		}
		if (is_hedge(r)) {
			criteria = criteria_of(r);
			target = choose(r, &criteria, &why);
		}
		if (target != NULL)
			send_chosen(r, target);
	}
}

static void
on_pump(struct evl_task *task)
{
	struct fwd *f = CONTAINER_OF(task, struct fwd, pump);
	GHashTableIter iter;
	gpointer service;

	g_hash_table_iter_init(&iter, f->services);
	while (g_hash_table_iter_next(&iter, NULL, &service))
		pump_service(service);
}

void
fwd_pump(struct fwd *f)
{
	if (f->waiting == 0)
		return;
	f->pump.run = on_pump;
	evl_defer(f->conf.loop, &f->pump);
}

static void
on_pump_timer(struct evl_timer *timer)
{
	struct fwd *f = CONTAINER_OF(timer, struct fwd, pump_timer);
	int64_t now_us = evl_now_us(f->conf.loop);
	int64_t next_us = tgt_set_soonest_us(f->conf.targets, now_us);

	fwd_pump(f);
	if (next_us != 0)
		evl_timer_set(f->conf.loop, timer, next_us);
}

void
fwd_pump_at(struct fwd *f, int64_t at_us)
{
	if (f->pump_timer.slot != 0 && f->pump_timer.at_us <= at_us)
		return;
	f->pump_timer.fire = on_pump_timer;
	evl_timer_set(f->conf.loop, &f->pump_timer, at_us);
}
