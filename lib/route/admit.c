/* Admission control at a gateway: start order, fairness, early refusal. */

#include <string.h>

#include "route/admit_internal.h"

/* A waiting ticket is refused early only if it would miss its deadline even at
 * this multiple of the measured dequeue rate, because the estimate changes with
 * each measurement. */
#define RATE_MARGIN_PCT 150
/* A new ticket waits only if it is expected to start within this share of the
 * time to its first-byte deadline: a later refusal would make the caller wait
 * in vain. */
#define MAX_WAIT_PCT 70

#define RETRY_MIN_MS 100
#define RETRY_MAX_MS 60000
#define RETRY_UNKNOWN_MS 1000
#define DEFAULT_WEIGHT 100

/* ------------------------------------------------------------------ */
/* Workspaces and queues                                               */
/* ------------------------------------------------------------------ */

struct adm *
adm_new(unsigned int capacity, const struct adm_ops *ops, void *ctx)
{
	struct adm *adm = g_new0(struct adm, 1);

	adm->ops = ops;
	adm->ctx = ctx;
	adm->capacity = capacity;
	TAILQ_INIT(&adm->refused);
	LIST_INIT(&adm->workspaces);
	return adm;
}

static void
free_workspace(struct adm_workspace *workspace)
{
	struct adm_queue *queue;

	while ((queue = LIST_FIRST(&workspace->queues)) != NULL) {
		g_assert(queue->nwaiting == 0 && queue->nstarted == 0);
		LIST_REMOVE(queue, link);
		g_free(queue->name);
		g_free(queue);
	}
	g_free(workspace->name);
	g_free(workspace);
}

void
adm_free(struct adm *adm)
{
	struct adm_workspace *workspace;

	if (adm == NULL)
		return;
	while ((workspace = LIST_FIRST(&adm->workspaces)) != NULL) {
		LIST_REMOVE(workspace, link);
		free_workspace(workspace);
	}
	g_free(adm);
}

struct adm_workspace *
adm_workspace(struct adm *adm, const char *name)
{
	struct adm_workspace *workspace;

	LIST_FOREACH (workspace, &adm->workspaces, link) {
		if (strcmp(workspace->name, name) == 0)
			return workspace;
	}
	workspace = g_new0(struct adm_workspace, 1);
	workspace->adm = adm;
	workspace->name = g_strdup(name);
	workspace->weight = DEFAULT_WEIGHT;
	LIST_INIT(&workspace->queues);
	LIST_INSERT_HEAD(&adm->workspaces, workspace, link);
	return workspace;
}

struct adm_queue *
adm_queue(struct adm_workspace *workspace, const char *name)
{
	struct adm_queue *queue;
	size_t i;

	LIST_FOREACH (queue, &workspace->queues, link) {
		if (strcmp(queue->name, name) == 0)
			return queue;
	}
	queue = g_new0(struct adm_queue, 1);
	queue->workspace = workspace;
	queue->name = g_strdup(name);
	queue->slot_permille = SLOT_PERMILLE_MAX;
	for (i = 0; i < PRIORITY_CLASSES; i++)
		TAILQ_INIT(&queue->waiting[i]);
	LIST_INSERT_HEAD(&workspace->queues, queue, link);
	return queue;
}

void
adm_workspace_set(struct adm_workspace *workspace, unsigned int weight,
    unsigned int max_waiting)
{
	workspace->weight = MAX(weight, 1);
	workspace->max_waiting = max_waiting;
}

/* ------------------------------------------------------------------ */
/* Starting                                                            */
/* ------------------------------------------------------------------ */

static bool
has_room(const struct adm_queue *queue)
{
	const struct adm *adm = queue->workspace->adm;

	return queue->nstarted < queue->limit && adm->nstarted < adm->capacity;
}

/*
 * Charges the workspace for the target time that it is about to use. A
 * workspace that was idle resumes at the current virtual time: unused share is
 * not saved, or the workspace could starve the others for as long as it was
 * idle.
 */
static void
start_ticket(struct adm_ticket *ticket, int64_t now_us)
{
	struct adm_queue *queue = ticket->queue;
	struct adm_workspace *workspace = queue->workspace;
	struct adm *adm = workspace->adm;

	ticket->state = ADM_STARTED;
	ticket->started_us = now_us;
	ticket->charged_us =
	    MAX(est_time_mean(&queue->unit, now_us) * ticket->cost, 1);
	queue->nstarted++;
	queue->started_cost += ticket->cost;
	queue->load.running++;
	adm->nstarted++;
	workspace->virtual_us = MAX(workspace->virtual_us, adm->virtual_us);
	adm->virtual_us = workspace->virtual_us;
	workspace->virtual_us +=
	    ticket->charged_us * DEFAULT_WEIGHT / workspace->weight;
}

static struct adm_ticket *
next_in_workspace(const struct adm_workspace *workspace)
{
	struct adm_ticket *best = NULL, *next;
	const struct adm_queue *queue;

	LIST_FOREACH (queue, &workspace->queues, link) {
		if (queue->nwaiting == 0 || !has_room(queue))
			continue;
		next = adm_next(queue);
		if (best == NULL || adm_order_key(next) < adm_order_key(best))
			best = next;
	}
	return best;
}

static struct adm_ticket *
next_ticket(const struct adm *adm)
{
	struct adm_ticket *best = NULL, *next;
	const struct adm_workspace *workspace;

	LIST_FOREACH (workspace, &adm->workspaces, link) {
		if (workspace->nwaiting == 0)
			continue;
		next = next_in_workspace(workspace);
		if (next == NULL)
			continue;
		if (best == NULL ||
		    workspace->virtual_us < best->queue->workspace->virtual_us)
			best = next;
	}
	return best;
}

static void
dispatch(struct adm *adm, int64_t now_us)
{
	struct adm_ticket *ticket;

	if (adm->dispatching)
		return; /* called by a callback of the loop below */
	adm->dispatching = true;
	while (adm->nstarted < adm->capacity &&
	    (ticket = next_ticket(adm)) != NULL) {
		est_rate_start(
		    &ticket->queue->dequeue_rate, ticket->cost, now_us);
		adm_dequeue(ticket);
		start_ticket(ticket, now_us);
		adm->ops->start(ticket, adm->ctx);
	}
	adm->dispatching = false;
}

void
adm_set_capacity(struct adm *adm, unsigned int capacity, int64_t now_us)
{
	adm->capacity = capacity;
	dispatch(adm, now_us);
}

void
adm_queue_load(
    struct adm_queue *queue, const struct adm_load *load, int64_t now_us)
{
	queue->load = *load;
	adm_step_limit(queue, now_us);
	dispatch(queue->workspace->adm, now_us);
}

/* ------------------------------------------------------------------ */
/* Refusing                                                            */
/* ------------------------------------------------------------------ */

/* Time until `cost` has left the queue; 0 when unknown. */
static int64_t
wait_us(const struct adm_queue *queue, uint64_t cost, int64_t now_us)
{
	uint64_t rate =
	    est_rate_now(&queue->dequeue_rate, queue->started_cost, now_us);

	if (rate == 0)
		return 0;
	return (int64_t)(cost * 1000ULL * G_USEC_PER_SEC / rate);
}

static enum adm_state
refuse(struct adm_ticket *ticket, enum err_code code, int64_t retry_us,
    struct err *err, const char *why)
{
	int64_t ms = retry_us / 1000;

	ticket->state = ADM_REFUSED;
	ticket->queue = NULL;
	err_set(err, code, VERDICT_NOT_RUN, "%s", why);
	if (err != NULL)
		err->retry_after_ms =
		    (unsigned int)CLAMP(ms, RETRY_MIN_MS, RETRY_MAX_MS);
	return ADM_REFUSED;
}

/* Time until half of the waiting cost has left the queue. */
static int64_t
retry_us(const struct adm_queue *queue, int64_t now_us)
{
	uint64_t cost = 0;
	int64_t us;
	size_t i;

	for (i = 0; i < PRIORITY_CLASSES; i++)
		cost += queue->cost[i];
	us = wait_us(queue, MAX(cost / 2, 1), now_us);

	return us == 0 ? RETRY_UNKNOWN_MS * 1000 : us;
}

/* Whether even a fast response would be late. Such a ticket is refused rather
 * than started, as the slot would be lost to other requests. */
static bool
misses_deadline(const struct adm_ticket *ticket, int64_t wait, int64_t now_us)
{
	const struct adm_queue *queue = ticket->queue;
	int64_t start_us = now_us + wait;

	return start_us + est_time_low(&queue->unit, now_us) * ticket->cost >=
	    ticket->deadline_us;
}

static bool
misses_first_byte(
    const struct adm_ticket *ticket, int64_t start_us, int64_t first_us)
{
	return ticket->first_byte_by_us != 0 &&
	    start_us + first_us > ticket->first_byte_by_us;
}

static enum adm_state
refuse_or_wait(struct adm_ticket *ticket, int64_t now_us, struct err *err)
{
	struct adm_queue *queue = ticket->queue;
	int64_t wait = wait_us(
	    queue, adm_cost_ahead(queue, ticket) + ticket->cost, now_us);
	int64_t service_us = est_time_mean(&queue->unit, now_us) * ticket->cost;

	if (queue->workspace->nwaiting >= queue->workspace->max_waiting)
		return refuse(ticket, ERR_OVERLOADED, retry_us(queue, now_us),
		    err, "the admission queue of the workspace is full");
	if (now_us + wait + service_us >= ticket->deadline_us)
		return refuse(ticket, ERR_DEADLINE, retry_us(queue, now_us),
		    err,
		    "the request would wait too long to meet its deadline");
	if (misses_first_byte(ticket, now_us + wait * 100 / MAX_WAIT_PCT,
		est_time_high(&queue->first, now_us)))
		return refuse(ticket, ERR_OVERLOADED, retry_us(queue, now_us),
		    err, "the first byte would miss its deadline");
	adm_enqueue(queue, ticket, now_us);
	return ADM_WAITING;
}

enum adm_state
adm_submit(struct adm_queue *queue, struct adm_ticket *ticket, int64_t now_us,
    struct err *err)
{
	ticket->queue = queue;
	ticket->submitted_us = now_us;
	ticket->cost = MAX(ticket->cost, 1);
	if (queue->load.slots == 0)
		return refuse(ticket, ERR_UNAVAILABLE, RETRY_UNKNOWN_MS * 1000,
		    err, "no target is available");
	if (misses_deadline(ticket, 0, now_us))
		return refuse(ticket, ERR_DEADLINE, retry_us(queue, now_us),
		    err, "the deadline is shorter than the fastest response");
	if (queue->nwaiting > 0 || !has_room(queue))
		return refuse_or_wait(ticket, now_us, err);
	start_ticket(ticket, now_us);
	return ADM_STARTED;
}

/* Why a waiting ticket with `ahead` cost before it must be refused; ERR_NONE if
 * it may wait on. */
static enum err_code
refusal_of(const struct adm_ticket *ticket, uint64_t ahead, int64_t now_us)
{
	const struct adm_queue *queue = ticket->queue;
	int64_t wait = wait_us(queue, ahead + ticket->cost, now_us) * 100 /
	    RATE_MARGIN_PCT;

	if (misses_deadline(ticket, wait, now_us))
		return ERR_DEADLINE;
	if (misses_first_byte(
		ticket, now_us + wait, est_time_low(&queue->first, now_us)))
		return ERR_OVERLOADED;
	return ERR_NONE;
}

static void
collect_refused(struct adm_queue *queue, int64_t now_us)
{
	struct adm_ticket *ticket, *next;
	uint64_t ahead = 0;
	unsigned int i;

	for (i = 0; i < PRIORITY_CLASSES; i++) {
		for (ticket = TAILQ_FIRST(&queue->waiting[i]); ticket != NULL;
		     ticket = next) {
			next = TAILQ_NEXT(ticket, link);
			ticket->refusal = refusal_of(ticket, ahead, now_us);
			if (ticket->refusal == ERR_NONE) {
				ahead += ticket->cost;
				continue;
			}
			adm_dequeue(ticket);
			ticket->state = ADM_REFUSED;
			TAILQ_INSERT_TAIL(
			    &queue->workspace->adm->refused, ticket, link);
		}
	}
}

static void
refuse_collected(struct adm *adm, struct adm_ticket *ticket, int64_t now_us)
{
	struct err err = { 0 };

	TAILQ_REMOVE(&adm->refused, ticket, link);
	refuse(ticket, ticket->refusal, retry_us(ticket->queue, now_us), &err,
	    ticket->refusal == ERR_DEADLINE
		? "the request waited too long to meet its deadline"
		: "the first byte will miss its deadline");
	adm->ops->refuse(ticket, &err, adm->ctx);
}

void
adm_expire(struct adm *adm, int64_t now_us)
{
	struct adm_ticket *ticket;
	struct adm_workspace *workspace;
	struct adm_queue *queue;

	LIST_FOREACH (workspace, &adm->workspaces, link) {
		LIST_FOREACH (queue, &workspace->queues, link) {
			collect_refused(queue, now_us);
			adm_step_limit(queue, now_us);
		}
	}
	/* Notified after the loops, as the callback may change the queues. */
	while ((ticket = TAILQ_FIRST(&adm->refused)) != NULL)
		refuse_collected(adm, ticket, now_us);
	dispatch(adm, now_us);
}

/* ------------------------------------------------------------------ */
/* Running and ending                                                  */
/* ------------------------------------------------------------------ */

void
adm_first_byte(struct adm_ticket *ticket, int64_t now_us)
{
	if (ticket->state == ADM_STARTED)
		est_time_add(
		    &ticket->queue->first, now_us - ticket->started_us, now_us);
}

void
adm_overloaded(struct adm_ticket *ticket, int64_t now_us)
{
	if (ticket->state != ADM_STARTED)
		return;
	ticket->queue->refusals = true;
	adm_step_limit(ticket->queue, now_us);
}

void
adm_done(struct adm_ticket *ticket, enum adm_outcome outcome, int64_t now_us)
{
	struct adm_queue *queue = ticket->queue;
	struct adm_workspace *workspace = queue->workspace;
	int64_t used_us = now_us - ticket->started_us;

	g_assert(ticket->state == ADM_STARTED);
	if (outcome == ADM_OVERLOADED)
		queue->refusals = true;
	if (outcome == ADM_ANSWERED)
		est_time_add(&queue->unit, used_us / ticket->cost, now_us);
	workspace->virtual_us +=
	    (used_us - ticket->charged_us) * DEFAULT_WEIGHT / workspace->weight;
	ticket->state = ADM_IDLE;
	ticket->queue = NULL;
	queue->nstarted--;
	queue->started_cost -= ticket->cost;
	if (queue->load.running > 0)
		queue->load.running--;
	workspace->adm->nstarted--;
	adm_step_limit(queue, now_us);
	dispatch(workspace->adm, now_us);
}

void
adm_cancel(struct adm_ticket *ticket, int64_t now_us)
{
	switch (ticket->state) {
	case ADM_IDLE:
		return;
	case ADM_WAITING:
		adm_dequeue(ticket);
		break;
	case ADM_STARTED:
		adm_done(ticket, ADM_OTHER, now_us);
		return;
	case ADM_REFUSED:
		if (ticket->queue != NULL) /* still listed by adm_expire */
			TAILQ_REMOVE(&ticket->queue->workspace->adm->refused,
			    ticket, link);
		break;
	}
	ticket->state = ADM_IDLE;
	ticket->queue = NULL;
}

void
adm_queue_stats(
    const struct adm_queue *queue, int64_t now_us, struct adm_queue_stats *out)
{
	*out = (struct adm_queue_stats){
		.limit = queue->limit,
		.started = queue->nstarted,
		.waiting = queue->nwaiting,
		.drain_milli_s = est_rate_now(
		    &queue->dequeue_rate, queue->started_cost, now_us),
		.unit_us = est_time_mean(&queue->unit, now_us),
		.first_us = est_time_mean(&queue->first, now_us),
	};
}
