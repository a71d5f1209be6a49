#ifndef ADMIT_INTERNAL_H
#define ADMIT_INTERNAL_H

/* Definitions shared by admit.c and admit_lane.c. */

#include "route/admit.h"
#include "route/estimate.h"

#define PRIORITY_CLASSES 16
#define SLOT_PERMILLE_MAX 1000 /* all slots are used for the limit */

TAILQ_HEAD(adm_tickets, adm_ticket);

struct adm_queue {
	LIST_ENTRY(adm_queue) link;
	struct adm_workspace *workspace;
	char *name;
	struct adm_tickets waiting[PRIORITY_CLASSES]; /* oldest first */
	uint64_t cost[PRIORITY_CLASSES]; /* of the waiting tickets */
	unsigned int nwaiting;
	unsigned int nstarted;
	uint64_t started_cost;
	unsigned int limit;
	struct adm_load load;
	/* Share of the slots used for the limit; lowered by refusals. */
	unsigned int slot_permille;
	bool refusals; /* by targets, since the last step */
	int64_t last_step_us;
	struct est_rate dequeue_rate;
	struct est_time unit; /* until the response is complete, for cost 1 */
	struct est_time first; /* until the first byte of the response */
};

struct adm_workspace {
	LIST_ENTRY(adm_workspace) link;
	struct adm *adm;
	char *name;
	unsigned int weight;
	unsigned int max_waiting;
	unsigned int nwaiting;
	int64_t virtual_us; /* target time used, divided by the weight */
	LIST_HEAD(adm_queues, adm_queue) queues;
};

struct adm {
	const struct adm_ops *ops;
	void *ctx;
	unsigned int capacity;
	unsigned int nstarted;
	int64_t virtual_us; /* of the ticket started last */
	bool dispatching;
	struct adm_tickets refused; /* by the adm_expire call in progress */
	LIST_HEAD(adm_workspaces, adm_workspace) workspaces;
};

/* Key of the order in which tickets start; the lowest starts first. */
int64_t adm_order_key(const struct adm_ticket *ticket);
/* The ticket that starts next; NULL when none waits. */
struct adm_ticket *adm_next(const struct adm_queue *queue);
/* Cost of the tickets that start before one submitted now. */
uint64_t adm_cost_ahead(
    const struct adm_queue *queue, const struct adm_ticket *ticket);
void adm_enqueue(
    struct adm_queue *queue, struct adm_ticket *ticket, int64_t now_us);
void adm_dequeue(struct adm_ticket *ticket);
void adm_step_limit(struct adm_queue *queue, int64_t now_us);

#endif
