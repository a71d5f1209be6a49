#ifndef ADMIT_H
#define ADMIT_H

/*
 * adm: admission control at one gateway. A request is submitted as a ticket,
 * which starts, waits or is refused. A ticket that cannot be served in time is
 * refused at once as NOT_RUN, with a Retry-After value.
 *
 * An admission queue holds the requests for the targets of one pool or service
 * of one workspace. Its concurrency limit needs no counter that the gateways
 * share:
 *
 *   limit = max(slots / gateways, running here + room / gateways)
 *
 * where room is the number of slots that the sidecars report as free, whichever
 * gateway uses the others. The first term is the even share of this gateway;
 * the even shares add up to the slots. The second term borrows slots that other
 * gateways leave unused. When as many requests run as there are slots, room is
 * zero: this gateway gets no more than its even share or what it already runs.
 * When the excess of running requests over slots is larger than the number of
 * gateways (the rounding of their shares explains no more), the second term is
 * dropped and only the even share remains, as another gateway is reclaiming its
 * own. Refusals by targets lower the number of slots that is used for the
 * limit, and time without refusals raises it again.
 *
 * Within a queue, tickets start by priority class. A class has a fixed head
 * start over the next one, so that less urgent tickets age and are served too.
 * Between workspaces, start-time fair queueing over the target time used
 * applies, by weight. The expected wait is the cost of the tickets ahead,
 * divided by the rate at which cost leaves the queue.
 *
 * Nothing is allocated once a queue exists. Times are monotonic microseconds.
 */

#include "common/common.h"

struct adm;
struct adm_workspace;
struct adm_queue;

enum adm_state {
	ADM_IDLE,
	ADM_WAITING,
	ADM_STARTED,
	ADM_REFUSED,
};

/* Embedded in the request; zero it, then set the public members. */
struct adm_ticket {
	unsigned int priority; /* 0 is most urgent */
	/* Expected work relative to other tickets of the queue, e.g. the
	 * number of tokens requested, so that the times measured on short
	 * responses also predict long ones. 0 counts as 1. */
	unsigned int cost;
	int64_t deadline_us; /* of the complete response */
	int64_t first_byte_by_us; /* deadline of the first byte; 0: none */

	/* Private to adm. */
	TAILQ_ENTRY(adm_ticket) link;
	struct adm_queue *queue;
	enum adm_state state;
	int64_t submitted_us;
	int64_t started_us;
	int64_t charged_us;
	enum err_code refusal;
};

struct adm_ops {
	/* A ticket that waited starts. May call adm_done. */
	void (*start)(struct adm_ticket *ticket, void *ctx);
	/* A waiting ticket is refused; the caller must be answered at once.
	 * adm holds no reference to the ticket any more. */
	void (*refuse)(
	    struct adm_ticket *ticket, const struct err *err, void *ctx);
};

/* `capacity` bounds the requests in progress over all queues. */
struct adm *adm_new(
    unsigned int capacity, const struct adm_ops *ops, void *ctx);
/* No ticket may be waiting or started. */
void adm_free(struct adm *adm);
void adm_set_capacity(struct adm *adm, unsigned int capacity, int64_t now_us);

/* Both are created on first use and live as long as `adm`. */
struct adm_workspace *adm_workspace(struct adm *adm, const char *name);
struct adm_queue *adm_queue(struct adm_workspace *workspace, const char *name);
/* `max_waiting`: this gateway's share of the requests that may wait. */
void adm_workspace_set(struct adm_workspace *workspace, unsigned int weight,
    unsigned int max_waiting);

/*
 * Load that the sidecars report for the targets of the queue; call on each
 * status report. `running` counts the requests of all gateways, including those
 * that this gateway has sent since the reports. May start waiting tickets.
 */
struct adm_load {
	unsigned int slots; /* of the targets that are usable now */
	unsigned int running;
	unsigned int gateways; /* live, sharing the slots; at least this one */
};
void adm_queue_load(
    struct adm_queue *queue, const struct adm_load *load, int64_t now_us);

/*
 * ADM_STARTED, ADM_WAITING (`start` or `refuse` follows) or ADM_REFUSED with
 * `err`: ERR_DEADLINE, ERR_OVERLOADED or, when the queue has no targets,
 * ERR_UNAVAILABLE; the verdict is NOT_RUN and retry_after_ms is set.
 */
enum adm_state adm_submit(struct adm_queue *queue, struct adm_ticket *ticket,
    int64_t now_us, struct err *err);
/* The first byte of the response arrived. */
void adm_first_byte(struct adm_ticket *ticket, int64_t now_us);

enum adm_outcome {
	ADM_ANSWERED, /* complete response: its duration feeds the estimates */
	ADM_OVERLOADED, /* a target refused it because it was full */
	ADM_OTHER,
};
/* A target refused the request, which is retried on another target: the ticket
 * remains started. */
void adm_overloaded(struct adm_ticket *ticket, int64_t now_us);
/* Ends a started ticket. May start waiting ones. */
void adm_done(
    struct adm_ticket *ticket, enum adm_outcome outcome, int64_t now_us);
/* The caller disconnected; allowed for a ticket in any state. */
void adm_cancel(struct adm_ticket *ticket, int64_t now_us);

/* Refuses the waiting tickets that have missed a deadline or are expected to
 * miss one before they start. Call every ADM_TICK_MS. */
#define ADM_TICK_MS 20
void adm_expire(struct adm *adm, int64_t now_us);

struct adm_queue_stats {
	unsigned int limit, started, waiting;
	uint64_t drain_milli_s; /* thousandths of cost a second; 0: unknown */
	int64_t unit_us, first_us; /* mean for cost 1; 0: unknown */
};
void adm_queue_stats(
    const struct adm_queue *queue, int64_t now_us, struct adm_queue_stats *out);

#endif
