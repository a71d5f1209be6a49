/* Admission at an entry: starting, fairness between teams, early refusal. */

#include <string.h>

#include "route/admit_internal.h"

/* A waiting ticket is refused early only if even a drain faster by this much
 * would come too late: its estimate moves with each measurement. */
#define HOPE_PCT 150
/* A new one waits only if it is to start within this part of the time to its
 * goal: refused later, it would have waited for nothing. */
#define GOAL_PART_PCT 70

#define RETRY_LEAST_MS 100
#define RETRY_MOST_MS 60000
#define RETRY_UNKNOWN_MS 1000
#define DEFAULT_WEIGHT 100

/* ------------------------------------------------------------------ */
/* Teams and lanes                                                     */
/* ------------------------------------------------------------------ */

struct adm *
adm_new(unsigned int capacity, const struct adm_ops *ops, void *ctx)
{
	struct adm *adm = g_new0(struct adm, 1);

	adm->ops = ops;
	adm->ctx = ctx;
	adm->capacity = capacity;
	TAILQ_INIT(&adm->refused);
	LIST_INIT(&adm->teams);
	return adm;
}

static void
free_team(struct adm_team *team)
{
	struct adm_lane *lane;

	while ((lane = LIST_FIRST(&team->lanes)) != NULL) {
		g_assert(lane->nwaiting == 0 && lane->nstarted == 0);
		LIST_REMOVE(lane, link);
		g_free(lane->name);
		g_free(lane);
	}
	g_free(team->name);
	g_free(team);
}

void
adm_free(struct adm *adm)
{
	struct adm_team *team;

	if (adm == NULL)
		return;
	while ((team = LIST_FIRST(&adm->teams)) != NULL) {
		LIST_REMOVE(team, link);
		free_team(team);
	}
	g_free(adm);
}

struct adm_team *
adm_team(struct adm *adm, const char *name)
{
	struct adm_team *team;

	LIST_FOREACH (team, &adm->teams, link) {
		if (strcmp(team->name, name) == 0)
			return team;
	}
	team = g_new0(struct adm_team, 1);
	team->adm = adm;
	team->name = g_strdup(name);
	team->weight = DEFAULT_WEIGHT;
	LIST_INIT(&team->lanes);
	LIST_INSERT_HEAD(&adm->teams, team, link);
	return team;
}

struct adm_lane *
adm_lane(struct adm_team *team, const char *name)
{
	struct adm_lane *lane;
	size_t i;

	LIST_FOREACH (lane, &team->lanes, link) {
		if (strcmp(lane->name, name) == 0)
			return lane;
	}
	lane = g_new0(struct adm_lane, 1);
	lane->team = team;
	lane->name = g_strdup(name);
	lane->trust = TRUST_WHOLE;
	for (i = 0; i < CLASSES; i++)
		TAILQ_INIT(&lane->waiting[i]);
	LIST_INSERT_HEAD(&team->lanes, lane, link);
	return lane;
}

void
adm_team_set(struct adm_team *team, unsigned int weight, unsigned int queue)
{
	team->weight = MAX(weight, 1);
	team->queue = queue;
}

/* ------------------------------------------------------------------ */
/* Starting                                                            */
/* ------------------------------------------------------------------ */

static bool
has_room(const struct adm_lane *lane)
{
	const struct adm *adm = lane->team->adm;

	return lane->nstarted < lane->limit && adm->nstarted < adm->capacity;
}

/*
 * Charges the team for the target's time it is about to use. A team that was
 * away begins at the present virtual time: unused shares are not saved up,
 * or it could keep the others out for as long as it was away.
 */
static void
begin(struct adm_ticket *ticket, int64_t now_us)
{
	struct adm_lane *lane = ticket->lane;
	struct adm_team *team = lane->team;
	struct adm *adm = team->adm;

	ticket->state = ADM_STARTED;
	ticket->started_us = now_us;
	ticket->charged_us =
	    MAX(est_time_mean(&lane->unit, now_us) * ticket->cost, 1);
	lane->nstarted++;
	lane->started_cost += ticket->cost;
	lane->load.running++;
	adm->nstarted++;
	team->virtual_us = MAX(team->virtual_us, adm->virtual_us);
	adm->virtual_us = team->virtual_us;
	team->virtual_us += ticket->charged_us * DEFAULT_WEIGHT / team->weight;
}

static struct adm_ticket *
next_of_team(const struct adm_team *team)
{
	struct adm_ticket *best = NULL, *next;
	const struct adm_lane *lane;

	LIST_FOREACH (lane, &team->lanes, link) {
		if (lane->nwaiting == 0 || !has_room(lane))
			continue;
		next = adm_next(lane);
		if (best == NULL || adm_turn(next) < adm_turn(best))
			best = next;
	}
	return best;
}

static struct adm_ticket *
next_of_all(const struct adm *adm)
{
	struct adm_ticket *best = NULL, *next;
	const struct adm_team *team;

	LIST_FOREACH (team, &adm->teams, link) {
		if (team->nwaiting == 0)
			continue;
		next = next_of_team(team);
		if (next == NULL)
			continue;
		if (best == NULL ||
		    team->virtual_us < best->lane->team->virtual_us)
			best = next;
	}
	return best;
}

static void
pump(struct adm *adm, int64_t now_us)
{
	struct adm_ticket *ticket;

	if (adm->pumping)
		return; /* a callback: the loop below goes on */
	adm->pumping = true;
	while (adm->nstarted < adm->capacity &&
	    (ticket = next_of_all(adm)) != NULL) {
		est_rate_start(&ticket->lane->drain, ticket->cost, now_us);
		adm_dequeue(ticket);
		begin(ticket, now_us);
		adm->ops->start(ticket, adm->ctx);
	}
	adm->pumping = false;
}

void
adm_set_capacity(struct adm *adm, unsigned int capacity, int64_t now_us)
{
	adm->capacity = capacity;
	pump(adm, now_us);
}

void
adm_lane_load(
    struct adm_lane *lane, const struct adm_load *load, int64_t now_us)
{
	lane->load = *load;
	adm_step_limit(lane, now_us);
	pump(lane->team->adm, now_us);
}

/* ------------------------------------------------------------------ */
/* Refusing                                                            */
/* ------------------------------------------------------------------ */

/* Until so much cost has left the queue. 0 when nothing is known. */
static int64_t
wait_us(const struct adm_lane *lane, uint64_t cost, int64_t now_us)
{
	uint64_t rate = est_rate_now(&lane->drain, lane->started_cost, now_us);

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
	ticket->lane = NULL;
	err_set(err, code, VERDICT_NOT_RUN, "%s", why);
	if (err != NULL)
		err->retry_after_ms =
		    (unsigned int)CLAMP(ms, RETRY_LEAST_MS, RETRY_MOST_MS);
	return ADM_REFUSED;
}

/* When half of what waits will have gone. */
static int64_t
retry_us(const struct adm_lane *lane, int64_t now_us)
{
	uint64_t cost = 0;
	int64_t us;
	size_t i;

	for (i = 0; i < CLASSES; i++)
		cost += lane->cost[i];
	us = wait_us(lane, MAX(cost / 2, 1), now_us);

	return us == 0 ? RETRY_UNKNOWN_MS * 1000 : us;
}

/* Refused rather than started when not even a quick answer would make it: a
 * slot spent on an answer that nobody waits for is lost to the others. */
static bool
comes_too_late(const struct adm_ticket *ticket, int64_t wait, int64_t now_us)
{
	const struct adm_lane *lane = ticket->lane;
	int64_t start_us = now_us + wait;

	return start_us + est_time_low(&lane->unit, now_us) * ticket->cost >=
	    ticket->deadline_us;
}

static bool
misses_goal(const struct adm_ticket *ticket, int64_t wait, int64_t first)
{
	return ticket->goal_us != 0 && wait + first > ticket->goal_us;
}

static enum adm_state
refuse_or_wait(struct adm_ticket *ticket, int64_t now_us, struct err *err)
{
	struct adm_lane *lane = ticket->lane;
	int64_t wait = wait_us(
	    lane, adm_ahead_of_new(lane, ticket) + ticket->cost, now_us);
	int64_t service_us = est_time_mean(&lane->unit, now_us) * ticket->cost;

	if (lane->team->nwaiting >= lane->team->queue)
		return refuse(ticket, ERR_OVERLOADED, retry_us(lane, now_us),
		    err, "the team's queue is full");
	if (now_us + wait + service_us >= ticket->deadline_us)
		return refuse(ticket, ERR_DEADLINE, retry_us(lane, now_us), err,
		    "its turn would come too late for its deadline");
	if (misses_goal(ticket, now_us + wait * 100 / GOAL_PART_PCT,
		est_time_high(&lane->first, now_us)))
		return refuse(ticket, ERR_OVERLOADED, retry_us(lane, now_us),
		    err, "its first byte would come too late");
	adm_enqueue(lane, ticket, now_us);
	return ADM_WAITING;
}

enum adm_state
adm_offer(struct adm_lane *lane, struct adm_ticket *ticket, int64_t now_us,
    struct err *err)
{
	ticket->lane = lane;
	ticket->offered_us = now_us;
	ticket->cost = MAX(ticket->cost, 1);
	if (lane->load.slots == 0)
		return refuse(ticket, ERR_UNAVAILABLE, RETRY_UNKNOWN_MS * 1000,
		    err, "no target is in service");
	if (comes_too_late(ticket, 0, now_us))
		return refuse(ticket, ERR_DEADLINE, retry_us(lane, now_us), err,
		    "the deadline is shorter than any answer takes");
	if (lane->nwaiting > 0 || !has_room(lane))
		return refuse_or_wait(ticket, now_us, err);
	begin(ticket, now_us);
	return ADM_STARTED;
}

/* Why a ticket with others of cost `ahead` before it is to be given up. */
static enum err_code
loss_of(const struct adm_ticket *ticket, uint64_t ahead, int64_t now_us)
{
	const struct adm_lane *lane = ticket->lane;
	int64_t wait =
	    wait_us(lane, ahead + ticket->cost, now_us) * 100 / HOPE_PCT;

	if (comes_too_late(ticket, wait, now_us))
		return ERR_DEADLINE;
	if (misses_goal(
		ticket, now_us + wait, est_time_low(&lane->first, now_us)))
		return ERR_OVERLOADED;
	return ERR_NONE;
}

static void
collect_lost(struct adm_lane *lane, int64_t now_us)
{
	struct adm_ticket *ticket, *next;
	uint64_t ahead = 0;
	unsigned int i;

	for (i = 0; i < CLASSES; i++) {
		for (ticket = TAILQ_FIRST(&lane->waiting[i]); ticket != NULL;
		     ticket = next) {
			next = TAILQ_NEXT(ticket, link);
			ticket->loss = loss_of(ticket, ahead, now_us);
			if (ticket->loss == ERR_NONE) {
				ahead += ticket->cost;
				continue;
			}
			adm_dequeue(ticket);
			ticket->state = ADM_REFUSED;
			TAILQ_INSERT_TAIL(
			    &lane->team->adm->refused, ticket, link);
		}
	}
}

static void
refuse_lost(struct adm *adm, struct adm_ticket *ticket, int64_t now_us)
{
	struct err err = { 0 };

	TAILQ_REMOVE(&adm->refused, ticket, link);
	refuse(ticket, ticket->loss, retry_us(ticket->lane, now_us), &err,
	    ticket->loss == ERR_DEADLINE
		? "its turn comes too late for its deadline"
		: "its first byte comes too late");
	adm->ops->refuse(ticket, &err, adm->ctx);
}

void
adm_expire(struct adm *adm, int64_t now_us)
{
	struct adm_ticket *ticket;
	struct adm_team *team;
	struct adm_lane *lane;

	LIST_FOREACH (team, &adm->teams, link) {
		LIST_FOREACH (lane, &team->lanes, link) {
			collect_lost(lane, now_us);
			adm_step_limit(lane, now_us);
		}
	}
	/* Told only now, as the owner may do anything in return. */
	while ((ticket = TAILQ_FIRST(&adm->refused)) != NULL)
		refuse_lost(adm, ticket, now_us);
	pump(adm, now_us);
}

/* ------------------------------------------------------------------ */
/* Running and ending                                                  */
/* ------------------------------------------------------------------ */

void
adm_head(struct adm_ticket *ticket, int64_t now_us)
{
	if (ticket->state == ADM_STARTED)
		est_time_add(
		    &ticket->lane->first, now_us - ticket->started_us, now_us);
}

void
adm_overloaded(struct adm_ticket *ticket, int64_t now_us)
{
	if (ticket->state != ADM_STARTED)
		return;
	ticket->lane->refusals = true;
	adm_step_limit(ticket->lane, now_us);
}

void
adm_done(struct adm_ticket *ticket, enum adm_outcome outcome, int64_t now_us)
{
	struct adm_lane *lane = ticket->lane;
	struct adm_team *team = lane->team;
	int64_t used_us = now_us - ticket->started_us;

	g_assert(ticket->state == ADM_STARTED);
	if (outcome == ADM_OVERLOADED)
		lane->refusals = true;
	if (outcome == ADM_ANSWERED)
		est_time_add(&lane->unit, used_us / ticket->cost, now_us);
	team->virtual_us +=
	    (used_us - ticket->charged_us) * DEFAULT_WEIGHT / team->weight;
	ticket->state = ADM_IDLE;
	ticket->lane = NULL;
	lane->nstarted--;
	lane->started_cost -= ticket->cost;
	if (lane->load.running > 0)
		lane->load.running--;
	team->adm->nstarted--;
	adm_step_limit(lane, now_us);
	pump(team->adm, now_us);
}

void
adm_leave(struct adm_ticket *ticket, int64_t now_us)
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
		if (ticket->lane != NULL) /* adm_expire has not come to it */
			TAILQ_REMOVE(
			    &ticket->lane->team->adm->refused, ticket, link);
		break;
	}
	ticket->state = ADM_IDLE;
	ticket->lane = NULL;
}

void
adm_lane_stats(
    const struct adm_lane *lane, int64_t now_us, struct adm_lane_stats *out)
{
	*out = (struct adm_lane_stats){
		.limit = lane->limit,
		.started = lane->nstarted,
		.waiting = lane->nwaiting,
		.drain_milli_s =
		    est_rate_now(&lane->drain, lane->started_cost, now_us),
		.unit_us = est_time_mean(&lane->unit, now_us),
		.first_us = est_time_mean(&lane->first, now_us),
	};
}
