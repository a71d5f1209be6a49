/* Waiting for a place at a target. */

#include <string.h>

#include "serve/fwd_internal.h"

/*
 * Share of a request's objective that it may wait for a place. The rest is
 * what an engine takes to its first token (some 300 of 400 ms when it is
 * full): whoever waits longer is served late, and its place is better used by
 * one that is not.
 */
#define WAIT_SHARE 0.3
#define WAIT_MIN_US 20000
/* A stream that was cut midway waits longer for its next target: its caller
 * gives up after a pause of two seconds, and what it has had is lost then. */
#define WAIT_RESUME_US 1500000
/* A service of no known objective. */
#define WAIT_DEFAULT_US 200000
#define RATE_SPAN_US 2000000 /* of the moving average of ends a second */
/* Weight of one request in the moving share of those that came back. */
#define BACK_WEIGHT 0.02
/* With more than this share, times left say nothing: these callers always
 * bring less than their routes allow. */
#define BACK_SHARE_MAX 0.6
/*
 * Part of a target's places that is kept from callers that came back. They are
 * late already, and each place that they take makes a new caller late: in an
 * overload that lasted, a quarter of the engines' work went into late answers,
 * and every second answer that could have been in time was not.
 */
#define BACK_SPARE_SHARE 0.3
/* They are kept only while new callers lack them: so long after one found all
 * taken. Longer than the time between two callers at a gateway in a burst. */
#define PRESSED_US 500000

/* ------------------------------------------------------------------ */
/* How fast places become free                                         */
/* ------------------------------------------------------------------ */

void
fwd_count_completion(struct fwd_service *service, int64_t now_us)
{
	int64_t span_us = now_us - service->rate_us;
	double rate, weight;

	service->completed++;
	if (span_us < RATE_SPAN_US / 8)
		return;
	rate = (double)service->completed * G_USEC_PER_SEC / (double)span_us;
	weight = MIN(1, (double)span_us / RATE_SPAN_US);
	service->rate += (rate - service->rate) * weight;
	service->rate_us = now_us;
	service->completed = 0;
}

static double
expected_wait_s(const struct fwd_service *service, unsigned int ahead)
{
	if (service->rate <= 0)
		return 0;
	return (ahead + 1) / service->rate;
}

double
fwd_retry_after(struct fwd_req *r)
{
	double wait_s = expected_wait_s(r->service, r->service->nwaiting);

	return flow_retry_after_s(
	    wait_s, (double)rng_below(&r->fwd->rng, 1000) / 1000.0);
}

/* ------------------------------------------------------------------ */
/* Callers that come back                                              */
/* ------------------------------------------------------------------ */

void
fwd_note_client_retry(struct fwd_req *r)
{
	struct fwd_service *service = r->service;

	service->retry_share +=
	    ((r->is_client_retry ? 1 : 0) - service->retry_share) * BACK_WEIGHT;
	if (service->retry_share > BACK_SHARE_MAX)
		r->is_client_retry = false;
}

/* ------------------------------------------------------------------ */
/* The waiting                                                         */
/* ------------------------------------------------------------------ */

static int64_t
wait_limit_us(const struct fwd_req *r)
{
	if (r->route->objective_us <= 0)
		return WAIT_DEFAULT_US;
	return MAX(WAIT_MIN_US,
	    (int64_t)((double)r->route->objective_us * WAIT_SHARE));
}

static void
on_waited(struct evl_timer *timer)
{
	struct fwd_req *r = CONTAINER_OF(timer, struct fwd_req, wait_timer);

	if (r->flow.begun)
		fwd_abort(r, "no_target_to_resume");
	else if (r->flow.may_have_run)
		fwd_fail(r, 502, "no_target_to_repeat");
	else
		fwd_refuse(r, "no_place");
}

void
fwd_dequeue(struct fwd_req *r)
{
	if (r->state != FWD_WAITING || r->link.tqe_prev == NULL)
		return;
	TAILQ_REMOVE(&r->service->waiting, r, link);
	r->link.tqe_prev = NULL;
	r->service->nwaiting--;
	r->fwd->waiting--;
}

/* Before those that are less urgent; a stream that has begun comes first. */
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

	r->state = FWD_WAITING;
	TAILQ_FOREACH (other, &service->waiting, link) {
		if (goes_before(r, other))
			break;
	}
	if (other != NULL)
		TAILQ_INSERT_BEFORE(other, r, link);
	else
		TAILQ_INSERT_TAIL(&service->waiting, r, link);
	service->nwaiting++;
	r->fwd->waiting++;
}

/* Leaves the last places to new callers. */
static bool
gives_way(const struct fwd_req *r)
{
	return r->is_client_retry && !r->flow.begun &&
	    r->service->full_us != 0 &&
	    fwd_now(r) - r->service->full_us < PRESSED_US;
}

/*
 * A target may take a request in and begin it later, on weights that have
 * become too old meanwhile. So requests go only to targets with a new version
 * some time before it is due. One that can be withdrawn needs little: what a
 * target with a free place takes to begin, under 0.1 s, and the time in which
 * it is withdrawn. Any other needs what was seen in a queue: 1.1 s, and up to
 * 1.8 s at a target that has just come up. Where weights come late, the lesser
 * one keeps targets in service for 0.8 to 1.5 s more.
 */
#define LEAD_WITHDRAWN_US 300000
#define LEAD_QUEUE_US 1100000
#define LEAD_FAR_US 320000 /* beyond it, in another region: a longer way */
#define LEAD_HERD_US 700000 /* beyond it, for a target just up */
/*
 * Over a slow link, filled by weights, a request takes a second and more to its
 * target, and so does the closing of the connection that is to take it back: it
 * was begun on weights that had been withdrawn half a second before. It must
 * have arrived by when it is taken back, and be taken back by when it is due.
 */
#define LEAD_SLOW_US 1800000

bool
fwd_may_recall(const struct fwd_req *r)
{
	return r->route->kind == SV_STREAM && r->flow.repeatable &&
	    !r->flow.begun && r->flow.runs + 1 < r->flow.attempts;
}

static struct tgt *
choose(struct fwd_req *r, enum tgt_why *why)
{
	struct fwd *f = r->fwd;
	bool queues = !fwd_may_recall(r);
	int64_t begin_us =
	    fwd_now(r) + (queues ? LEAD_QUEUE_US : LEAD_WITHDRAWN_US);
	int64_t fresh_us = begin_us + (queues ? LEAD_HERD_US : 0);
	struct tgt_wish wish = {
		.model = r->model,
		.version = vers_least(f->conf.versions, r->model, begin_us),
		.version_fresh =
		    vers_least(f->conf.versions, r->model, fresh_us),
		.version_far = vers_least(
		    f->conf.versions, r->model, begin_us + LEAD_FAR_US),
		.version_slow = vers_least(
		    f->conf.versions, r->model, fwd_now(r) + LEAD_SLOW_US),
		.not = r->tried,
		.nnot = r->ntried,
		.repeatable = r->flow.repeatable,
		.spare_share = gives_way(r) ? BACK_SPARE_SHARE : 0,
		.random = rng_next(&f->rng),
	};

	ctr_add(f->choices, 1);
	return tgt_choose(
	    f->conf.targets, r->service->targets, &wish, fwd_now(r), why);
}

/* Whether waiting has a chance: places free fast enough for its turn. Whoever
 * came back would be late all the same, and stand before new callers. */
static bool
worth_waiting(const struct fwd_req *r)
{
	double wait_us =
	    expected_wait_s(r->service, r->service->nwaiting) * G_USEC_PER_SEC;

	return !r->is_client_retry && wait_us <= (double)wait_limit_us(r);
}

void
fwd_dispatch(struct fwd_req *r)
{
	enum tgt_why why;
	struct tgt *target = choose(r, &why);
	int64_t until_us;

	if (target != NULL) {
		hist_add(&r->fwd->wait, fwd_now(r) - r->started_us);
		fwd_send(r, target);
		return;
	}
	if (!r->is_client_retry && why == TGT_FULL)
		r->service->full_us = fwd_now(r);
	if (!r->flow.begun && !r->flow.may_have_run &&
	    (why == TGT_NONE || !worth_waiting(r))) {
		fwd_refuse(r, why == TGT_NONE ? "no_target" : "full");
		return;
	}
	enqueue(r);
	until_us = fwd_now(r) + wait_limit_us(r);
	if (r->flow.begun)
		until_us = fwd_now(r) + WAIT_RESUME_US;
	else if (!r->flow.may_have_run)
		until_us = r->started_us + wait_limit_us(r);
	r->wait_timer.fire = on_waited;
	evl_timer_set(r->fwd->conf.loop, &r->wait_timer, until_us);
}

/*
 * What was found to have no place. While all targets are full, each word about a
 * load would have all of them looked through for each request that waits: with
 * 20 waiting beside 200 targets that speak 600 times a second, 2.4 million looks
 * a second, more than a thin host's share of a core. One look tells for all of
 * a kind.
 */
struct full {
	const char *model; /* NULL: no model is asked for */
	bool may_withdraw, repeatable;
	bool is_set;
};

#define FULL_KINDS 8 /* more are looked for each time */

/* Another request of the same kind has no place, either: it can only be more
 * particular, by targets that it was sent to and places left to others. */
static bool
is_known_full(const struct full *full, const struct fwd_req *r)
{
	unsigned int i;

	for (i = 0; i < FULL_KINDS && full[i].is_set; i++) {
		if (full[i].may_withdraw == fwd_may_recall(r) &&
		    full[i].repeatable == r->flow.repeatable &&
		    g_strcmp0(full[i].model, r->model) == 0)
			return true;
	}
	return false;
}

static void
note_full(struct full *full, const struct fwd_req *r)
{
	unsigned int i = 0;

	if (r->ntried > 0 || gives_way(r))
		return;
	while (i < FULL_KINDS && full[i].is_set)
		i++;
	if (i < FULL_KINDS)
		full[i] = (struct full){ .model = r->model,
			.may_withdraw = fwd_may_recall(r),
			.repeatable = r->flow.repeatable,
			.is_set = true };
}

/* Gives free places to those that wait, most urgent first. */
static void
pump_service(struct fwd_service *service)
{
	struct full full[FULL_KINDS] = { 0 };
	struct fwd_req *r, *next;
	struct tgt *target;
	enum tgt_why why;

	for (r = TAILQ_FIRST(&service->waiting); r != NULL; r = next) {
		next = TAILQ_NEXT(r, link);
		if (is_known_full(full, r))
			continue;
		target = choose(r, &why);
		if (target == NULL) {
			note_full(full, r);
			continue;
		}
		fwd_dequeue(r);
		evl_timer_stop(r->fwd->conf.loop, &r->wait_timer);
		hist_add(&r->fwd->wait, fwd_now(r) - r->started_us);
		fwd_send(r, target);
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
	evl_later(f->conf.loop, &f->pump);
}
