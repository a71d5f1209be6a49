#ifndef ADMIT_INTERNAL_H
#define ADMIT_INTERNAL_H

/* Parts that admit.c and admit_lane.c share. */

#include "route/admit.h"
#include "route/estimate.h"

#define CLASSES 16 /* of priority */
#define TRUST_WHOLE 1000 /* permille of the slots that are counted on */

TAILQ_HEAD(adm_tickets, adm_ticket);

struct adm_lane {
	LIST_ENTRY(adm_lane) link;
	struct adm_team *team;
	char *name;
	struct adm_tickets waiting[CLASSES]; /* oldest first */
	uint64_t cost[CLASSES]; /* of those that wait */
	unsigned int nwaiting;
	unsigned int nstarted;
	uint64_t started_cost;
	unsigned int limit;
	struct adm_load load;
	unsigned int trust;
	bool refusals; /* since the last step */
	int64_t stepped_us;
	struct est_rate drain;
	struct est_time unit; /* of a whole answer, for cost 1 */
	struct est_time first; /* until its first byte */
};

struct adm_team {
	LIST_ENTRY(adm_team) link;
	struct adm *adm;
	char *name;
	unsigned int weight;
	unsigned int queue;
	unsigned int nwaiting;
	int64_t virtual_us; /* targets' time used, over the weight */
	LIST_HEAD(adm_lanes, adm_lane) lanes;
};

struct adm {
	const struct adm_ops *ops;
	void *ctx;
	unsigned int capacity;
	unsigned int nstarted;
	int64_t virtual_us; /* of the ticket started last */
	bool pumping;
	struct adm_tickets refused; /* by the adm_expire that runs */
	LIST_HEAD(adm_teams, adm_team) teams;
};

/* When a ticket's turn comes relative to others; lower is earlier. */
int64_t adm_turn(const struct adm_ticket *ticket);
/* The ticket whose turn is next; NULL when none waits. */
struct adm_ticket *adm_next(const struct adm_lane *lane);
/* Cost of the tickets that leave before one that comes now. */
uint64_t adm_ahead_of_new(
    const struct adm_lane *lane, const struct adm_ticket *ticket);
void adm_enqueue(
    struct adm_lane *lane, struct adm_ticket *ticket, int64_t now_us);
void adm_dequeue(struct adm_ticket *ticket);
void adm_step_limit(struct adm_lane *lane, int64_t now_us);

#endif
