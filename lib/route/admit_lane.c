/* One lane: the order in which tickets wait, and how many may run. */

#include "route/admit_internal.h"

#define CLASS_WIDTH 64 /* priorities a class; those above the last share it */
/* A class is ahead of the next by so much waiting: long enough to matter in
 * a burst, short enough that the least urgent wait seconds, not for ever. */
#define CLASS_AHEAD_US (G_USEC_PER_SEC / 2)

/* Entries lend each other's slots in steps: between two steps the sides'
 * words about the last one arrive, or each entry would take all the room. */
#define STEP_US (20 * 1000)
#define TRUST_LEAST 100
#define TRUST_GAIN 10 /* a step without a refusal */
#define TRUST_LOSS_PCT 5 /* a step with refusals */

/* ------------------------------------------------------------------ */
/* The order in which tickets wait                                     */
/* ------------------------------------------------------------------ */

static unsigned int
class_of(const struct adm_ticket *ticket)
{
	return MIN(ticket->priority / CLASS_WIDTH, CLASSES - 1);
}

/* All tickets age alike, so the order of two never changes while they wait
 * and each class is a queue. */
int64_t
adm_turn(const struct adm_ticket *ticket)
{
	return ticket->offered_us + class_of(ticket) * CLASS_AHEAD_US;
}

struct adm_ticket *
adm_next(const struct adm_lane *lane)
{
	struct adm_ticket *best = NULL, *head;
	size_t i;

	for (i = 0; i < CLASSES; i++) {
		head = TAILQ_FIRST(&lane->waiting[i]);
		if (head == NULL)
			continue;
		if (best == NULL || adm_turn(head) < adm_turn(best))
			best = head;
	}
	return best;
}

/* Cost of the tickets of a less urgent class whose turn comes before
 * `turn_us`, taking them to have come evenly. */
static uint64_t
aged_before(const struct adm_lane *lane, unsigned int class, int64_t turn_us)
{
	const struct adm_ticket *head = TAILQ_FIRST(&lane->waiting[class]);
	const struct adm_ticket *tail;
	int64_t first_us, last_us;
	uint64_t rest;

	if (head == NULL || adm_turn(head) >= turn_us)
		return 0;
	tail = TAILQ_LAST(&lane->waiting[class], adm_tickets);
	first_us = adm_turn(head);
	last_us = adm_turn(tail);
	if (last_us <= turn_us)
		return lane->cost[class];
	rest = lane->cost[class] - head->cost;
	return head->cost +
	    rest * (uint64_t)(turn_us - first_us) /
	    (uint64_t)(last_us - first_us);
}

uint64_t
adm_ahead_of_new(const struct adm_lane *lane, const struct adm_ticket *ticket)
{
	unsigned int own = class_of(ticket), i;
	uint64_t cost = 0;

	for (i = 0; i < CLASSES; i++) {
		cost += i <= own ? lane->cost[i]
				 : aged_before(lane, i, adm_turn(ticket));
	}
	return cost;
}

void
adm_enqueue(struct adm_lane *lane, struct adm_ticket *ticket, int64_t now_us)
{
	unsigned int class = class_of(ticket);
	int64_t unit_us = est_time_mean(&lane->unit, now_us);
	uint64_t guess = 0;

	if (lane->nwaiting == 0) {
		/* Little's law; the measurement follows. */
		if (unit_us > 0)
			guess = lane->limit * 1000ULL * G_USEC_PER_SEC /
			    (uint64_t)unit_us;
		est_rate_begin(&lane->drain, guess, now_us);
	}
	TAILQ_INSERT_TAIL(&lane->waiting[class], ticket, link);
	lane->cost[class] += ticket->cost;
	lane->nwaiting++;
	lane->team->nwaiting++;
	ticket->state = ADM_WAITING;
}

void
adm_dequeue(struct adm_ticket *ticket)
{
	struct adm_lane *lane = ticket->lane;
	unsigned int class = class_of(ticket);

	TAILQ_REMOVE(&lane->waiting[class], ticket, link);
	lane->cost[class] -= ticket->cost;
	lane->team->nwaiting--;
	if (--lane->nwaiting == 0)
		est_rate_end(&lane->drain);
}

/* ------------------------------------------------------------------ */
/* The limit of a lane                                                 */
/* ------------------------------------------------------------------ */

static unsigned int
counted_slots(const struct adm_lane *lane)
{
	uint64_t slots = (uint64_t)lane->load.slots * lane->trust;

	return (unsigned int)(slots / TRUST_WHOLE);
}

static unsigned int
own_share(const struct adm_lane *lane)
{
	unsigned int entries = MAX(lane->load.entries, 1);

	if (lane->load.slots == 0)
		return 0;
	return MAX(counted_slots(lane) / entries, 1);
}

/* More is running than there are slots, by more than the rounding up of each
 * entry's part explains: another entry takes what is its own. */
static bool
is_over_full(const struct adm_lane *lane)
{
	return lane->load.running > counted_slots(lane) + lane->load.entries;
}

/* What is running here and an equal part of what is free. */
static unsigned int
with_loan(const struct adm_lane *lane)
{
	unsigned int entries = MAX(lane->load.entries, 1);
	unsigned int slots = counted_slots(lane), room = 0;

	if (is_over_full(lane))
		return 0;
	if (lane->load.running < slots)
		room = slots - lane->load.running;
	return MIN(lane->nstarted + (room + entries - 1) / entries, slots);
}

static void
step_trust(struct adm_lane *lane)
{
	if (lane->refusals)
		lane->trust -= lane->trust * TRUST_LOSS_PCT / 100;
	else
		lane->trust += TRUST_GAIN;
	lane->trust = CLAMP(lane->trust, TRUST_LEAST, TRUST_WHOLE);
	lane->refusals = false;
}

void
adm_step_limit(struct adm_lane *lane, int64_t now_us)
{
	int64_t steps = (now_us - lane->stepped_us) / STEP_US;

	if (is_over_full(lane))
		lane->limit = 0; /* the loan ends at once */
	lane->limit = MIN(lane->limit, lane->load.slots);
	lane->limit = MAX(lane->limit, own_share(lane));
	if (steps == 0)
		return;
	lane->stepped_us = now_us;
	for (steps = MIN(steps, TRUST_WHOLE / TRUST_GAIN); steps > 0; steps--)
		step_trust(lane);
	lane->limit = MAX(own_share(lane), with_loan(lane));
}
