#ifndef ADMIT_H
#define ADMIT_H

/*
 * adm: admission at one entry. A request takes a ticket; the ticket starts,
 * waits or is refused. Refused is what cannot be served in time, at once and
 * as NOT_RUN, with advice when to come back.
 *
 * A lane is what requests compete for: the targets of one pool or service of
 * one team. Its limit needs no counter shared between entries:
 *
 *   limit = max(slots / entries, running here + room / entries)
 *
 * where room is what the sides say is free of the slots, whoever uses them.
 * The first part is each entry's own and adds up to the slots; the second
 * lends what the others leave unused, and is taken back as soon as the sides say that
 * more is running than there are slots. Refusals by targets lower the slots
 * that are counted on, and time without refusals raises them again.
 *
 * Waiting tickets leave by class of priority, a more urgent class being ahead by a
 * fixed time, so that the others age and are served too; between teams by
 * start-time fair queueing over the targets' time used, by weight. How long
 * a wait will be is told from the cost of what waits ahead and the rate that
 * cost leaves the queue at.
 *
 * No allocation after a lane is made. Times are monotonic microseconds.
 */

#include "common/common.h"

struct adm;
struct adm_team;
struct adm_lane;

enum adm_state {
	ADM_IDLE,
	ADM_WAITING,
	ADM_STARTED,
	ADM_REFUSED,
};

/* Embedded in the request; zero it, then set the first part. */
struct adm_ticket {
	unsigned int priority; /* 0 is most urgent */
	/* Expected work relative to others of the lane, e.g. the tokens asked
	 * for: what is known of short answers then serves for long ones. 0
	 * counts as 1. */
	unsigned int cost;
	int64_t deadline_us; /* of the whole answer */
	int64_t goal_us; /* first byte wanted by then; 0: no such goal */

	/* Used by adm. */
	TAILQ_ENTRY(adm_ticket) link;
	struct adm_lane *lane;
	enum adm_state state;
	int64_t offered_us;
	int64_t started_us;
	int64_t charged_us;
	enum err_code loss;
};

struct adm_ops {
	/* A ticket that waited starts. May call adm_done. */
	void (*start)(struct adm_ticket *ticket, void *ctx);
	/* A ticket that waited is given up; the caller is to be told at
	 * once. The ticket is no longer known when this is called. */
	void (*refuse)(
	    struct adm_ticket *ticket, const struct err *err, void *ctx);
};

/* `capacity` bounds the requests started over all lanes. */
struct adm *adm_new(
    unsigned int capacity, const struct adm_ops *ops, void *ctx);
/* Tickets must be gone. */
void adm_free(struct adm *adm);
void adm_set_capacity(struct adm *adm, unsigned int capacity, int64_t now_us);

/* Both are made when missing and live as long as `adm`. */
struct adm_team *adm_team(struct adm *adm, const char *name);
struct adm_lane *adm_lane(struct adm_team *team, const char *name);
/* `queue` is this entry's part of the requests that may wait. */
void adm_team_set(
    struct adm_team *team, unsigned int weight, unsigned int queue);

/*
 * What the sides say of the lane's targets: to be called when one of them
 * has spoken. `running` counts all entries' requests, with those that this entry
 * has sent since the sides spoke. May start waiting tickets.
 */
struct adm_load {
	unsigned int slots; /* of the targets that may be used now */
	unsigned int running;
	unsigned int entries; /* live entries that share them, this included */
};
void adm_lane_load(
    struct adm_lane *lane, const struct adm_load *load, int64_t now_us);

/*
 * ADM_STARTED, ADM_WAITING (`start` or `refuse` follows) or ADM_REFUSED with
 * `err`: ERR_DEADLINE, ERR_OVERLOADED or, when the lane has no targets,
 * ERR_UNAVAILABLE; the verdict is NOT_RUN and retry_after_ms is set.
 */
enum adm_state adm_offer(struct adm_lane *lane, struct adm_ticket *ticket,
    int64_t now_us, struct err *err);
/* The first byte of the answer came. */
void adm_head(struct adm_ticket *ticket, int64_t now_us);

enum adm_outcome {
	ADM_ANSWERED, /* whole: its time counts for the estimates */
	ADM_OVERLOADED, /* a target refused it for want of room */
	ADM_OTHER,
};
/* A refusal that is tried again elsewhere: the ticket goes on. */
void adm_overloaded(struct adm_ticket *ticket, int64_t now_us);
/* Ends a started ticket. May start waiting ones. */
void adm_done(
    struct adm_ticket *ticket, enum adm_outcome outcome, int64_t now_us);
/* The caller went away; for a ticket in any state. */
void adm_leave(struct adm_ticket *ticket, int64_t now_us);

/* Refuses the waiting tickets whose time is up or will be before their turn
 * comes. To be called every ADM_TICK_MS. */
#define ADM_TICK_MS 20
void adm_expire(struct adm *adm, int64_t now_us);

struct adm_lane_stats {
	unsigned int limit, started, waiting;
	uint64_t
	    drain_milli_s; /* thousandths of cost 1 a second; 0: not known */
	int64_t unit_us, first_us; /* mean for cost 1; 0: not known */
};
void adm_lane_stats(
    const struct adm_lane *lane, int64_t now_us, struct adm_lane_stats *out);

#endif
