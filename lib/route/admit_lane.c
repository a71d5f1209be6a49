/* One admission queue: order of the tickets and concurrency limit. */

#include "route/admit_internal.h"

/* Priorities per class; the last class also takes all higher values. */
#define CLASS_WIDTH 64
/* Head start of a class over the next one: long enough to matter in a burst,
 * short enough that the least urgent tickets wait for seconds rather than
 * starve. */
#define CLASS_HEAD_START_US (G_USEC_PER_SEC / 2)

/* Gateways borrow unused slots in steps. The interval lets the status reports
 * on one step arrive before the next, or each gateway would take all free
 * slots. */
#define STEP_US (20 * 1000)
#define SLOT_PERMILLE_MIN 100
#define SLOT_PERMILLE_GAIN 10 /* per step without a refusal */
#define SLOT_LOSS_PCT 5 /* per step with refusals */

/* ------------------------------------------------------------------ */
/* The order in which tickets wait                                     */
/* ------------------------------------------------------------------ */

static unsigned int
class_of(const struct adm_ticket *ticket)
{
	return MIN(ticket->priority / CLASS_WIDTH, PRIORITY_CLASSES - 1);
}

/* All tickets age at the same rate, so the order of two tickets never changes
 * while they wait, and each class is a FIFO. */
int64_t
adm_order_key(const struct adm_ticket *ticket)
{
	return ticket->submitted_us + class_of(ticket) * CLASS_HEAD_START_US;
}

struct adm_ticket *
adm_next(const struct adm_queue *queue)
{
	struct adm_ticket *best = NULL, *head;
	size_t i;

	for (i = 0; i < PRIORITY_CLASSES; i++) {
		head = TAILQ_FIRST(&queue->waiting[i]);
		if (head == NULL)
			continue;
		if (best == NULL || adm_order_key(head) < adm_order_key(best))
			best = head;
	}
	return best;
}

/* Cost of the tickets of a less urgent class whose order key is below `key_us`,
 * assuming that they were submitted at an even rate. */
static uint64_t
cost_aged_before(
    const struct adm_queue *queue, unsigned int class, int64_t key_us)
{
	const struct adm_ticket *head = TAILQ_FIRST(&queue->waiting[class]);
	const struct adm_ticket *tail;
	int64_t first_us, last_us;
	uint64_t remaining;

	if (head == NULL || adm_order_key(head) >= key_us)
		return 0;
	tail = TAILQ_LAST(&queue->waiting[class], adm_tickets);
	first_us = adm_order_key(head);
	last_us = adm_order_key(tail);
	if (last_us <= key_us)
		return queue->cost[class];
	remaining = queue->cost[class] - head->cost;
	return head->cost +
	    remaining * (uint64_t)(key_us - first_us) /
	    (uint64_t)(last_us - first_us);
}

uint64_t
adm_cost_ahead(const struct adm_queue *queue, const struct adm_ticket *ticket)
{
	unsigned int class = class_of(ticket), i;
	uint64_t cost = 0;

	for (i = 0; i < PRIORITY_CLASSES; i++) {
		cost += i <= class ? queue->cost[i]
				   : cost_aged_before(
					 queue, i, adm_order_key(ticket));
	}
	return cost;
}

void
adm_enqueue(struct adm_queue *queue, struct adm_ticket *ticket, int64_t now_us)
{
	unsigned int class = class_of(ticket);
	int64_t unit_us = est_time_mean(&queue->unit, now_us);
	uint64_t initial = 0;

	if (queue->nwaiting == 0) {
		/* Little's law, until a rate is measured. */
		if (unit_us > 0)
			initial = queue->limit * 1000ULL * G_USEC_PER_SEC /
			    (uint64_t)unit_us;
		est_rate_begin(&queue->dequeue_rate, initial, now_us);
	}
	TAILQ_INSERT_TAIL(&queue->waiting[class], ticket, link);
	queue->cost[class] += ticket->cost;
	queue->nwaiting++;
	queue->workspace->nwaiting++;
	ticket->state = ADM_WAITING;
}

void
adm_dequeue(struct adm_ticket *ticket)
{
	struct adm_queue *queue = ticket->queue;
	unsigned int class = class_of(ticket);

	TAILQ_REMOVE(&queue->waiting[class], ticket, link);
	queue->cost[class] -= ticket->cost;
	queue->workspace->nwaiting--;
	if (--queue->nwaiting == 0)
		est_rate_end(&queue->dequeue_rate);
}

/* ------------------------------------------------------------------ */
/* Concurrency limit of a queue                                        */
/* ------------------------------------------------------------------ */

static unsigned int
usable_slots(const struct adm_queue *queue)
{
	uint64_t slots = (uint64_t)queue->load.slots * queue->slot_permille;

	return (unsigned int)(slots / SLOT_PERMILLE_MAX);
}

static unsigned int
even_share(const struct adm_queue *queue)
{
	unsigned int gateways = MAX(queue->load.gateways, 1);

	if (queue->load.slots == 0)
		return 0;
	return MAX(usable_slots(queue) / gateways, 1);
}

/* More requests run than there are slots, by more than the rounding up of each
 * gateway's share explains: another gateway is reclaiming its own share. */
static bool
is_oversubscribed(const struct adm_queue *queue)
{
	return queue->load.running > usable_slots(queue) + queue->load.gateways;
}

/* Requests running here plus an equal share of the free slots. */
static unsigned int
limit_with_borrowed(const struct adm_queue *queue)
{
	unsigned int gateways = MAX(queue->load.gateways, 1);
	unsigned int slots = usable_slots(queue), room = 0;

	if (is_oversubscribed(queue))
		return 0;
	if (queue->load.running < slots)
		room = slots - queue->load.running;
	return MIN(queue->nstarted + (room + gateways - 1) / gateways, slots);
}

static void
step_slot_permille(struct adm_queue *queue)
{
	if (queue->refusals)
		queue->slot_permille -=
		    queue->slot_permille * SLOT_LOSS_PCT / 100;
	else
		queue->slot_permille += SLOT_PERMILLE_GAIN;
	queue->slot_permille =
	    CLAMP(queue->slot_permille, SLOT_PERMILLE_MIN, SLOT_PERMILLE_MAX);
	queue->refusals = false;
}

void
adm_step_limit(struct adm_queue *queue, int64_t now_us)
{
	int64_t steps = (now_us - queue->last_step_us) / STEP_US;

	if (is_oversubscribed(queue))
		queue->limit = 0; /* stop borrowing at once */
	queue->limit = MIN(queue->limit, queue->load.slots);
	queue->limit = MAX(queue->limit, even_share(queue));
	if (steps == 0)
		return;
	queue->last_step_us = now_us;
	for (steps = MIN(steps, SLOT_PERMILLE_MAX / SLOT_PERMILLE_GAIN);
	     steps > 0; steps--)
		step_slot_permille(queue);
	queue->limit = MAX(even_share(queue), limit_with_borrowed(queue));
}
