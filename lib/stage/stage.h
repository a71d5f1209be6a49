#ifndef STAGE_H
#define STAGE_H

/*
 * stage: what a keeper does next for the engine beside it, so that it comes
 * to hold the wanted version whole and unspoilt. Pure: the keeper fills in
 * what it knows and carries out the step.
 *
 * An engine loads what lies in its staging place without checking it, and
 * what lies there can rot. So every piece is checked against its digest right
 * before the order to load.
 */

#include "common/common.h"

enum stg_step {
	STG_IDLE, /* nothing is wanted, or the engine does not answer */
	STG_MANIFEST, /* fetch the digests of the wanted version */
	STG_SCAN, /* look for its pieces in the staging place */
	STG_FETCH, /* pieces are on their way */
	STG_PUT, /* put pieces into the staging place */
	STG_WAIT_SWITCH, /* other engines change version first */
	STG_DRAIN, /* gateways send it nothing more; its requests end */
	STG_CHECK, /* read all pieces back */
	STG_ORDER, /* order the engine to load */
	STG_LOADING, /* the order is being carried out */
	STG_DONE, /* the engine holds the wanted version */
	STG_STEPS,
};

const char *stg_step_name(enum stg_step step);
/* Whether an order follows within moments: the engine is kept closed. */
bool stg_leads_to_order(enum stg_step step);

struct stg_state {
	int64_t wanted; /* version; 0: none */
	/* The engine, as it last answered. */
	bool up;
	int64_t loaded; /* version; 0: none */
	bool busy; /* with an order */
	unsigned int running; /* requests */
	/* The wanted version, here. */
	bool manifest;
	bool scanned; /* the staging place was looked through for it */
	bool complete; /* all pieces are held and checked */
	bool staged; /* all pieces lie in the staging place, as far as known */
	int64_t checked_us; /* all were read back and good; 0: not yet */
	int64_t ordered_us; /* an order was accepted; 0: none */
	int64_t refused_us; /* the last order was refused; 0: no */
	unsigned int slots; /* of the engine; 0: not known */
	int64_t drain_us; /* gateways were told to send nothing; 0: no */
	/* Requests that are cut go on at other engines. */
	bool may_cut;
	/* When it may begin to change from one version to another. */
	int64_t switch_us;
};

/* A piece that turns bad is to be noticed within three seconds: pieces that
 * were checked longer ago are checked again. */
#define STG_CHECK_VALID_US 700000
/* After a refused order, before the next. */
#define STG_ORDER_BACKOFF_US 400000
/* An accepted order that shows no effect for so long is given again. It waits
 * for running streams, which last six seconds at most. */
#define STG_ORDER_TIMEOUT_US 9000000

/*
 * An engine that is ordered to load once its requests have ended stands almost
 * empty while the longest of them run: 1.1 to 2.9 s, 2.0 s in the mean. Where
 * cut requests go on elsewhere, it gets no new ones first, and those that are
 * left after this time, or once only this share of its places is taken, are
 * cut. A request that goes on elsewhere costs a second reading of its prompt,
 * about as much as its place is worth in that time.
 */
#define STG_DRAIN_US 800000
#define STG_DRAIN_SHARE 0.25
/* An engine that gateways were told to leave alone and that still has no
 * accepted order after so long is opened again: it serves what it holds. */
#define STG_DRAIN_MAX_US 3000000

enum stg_step stg_next(const struct stg_state *s, int64_t now_us);

/*
 * Versions that were named, and from when on no request may begin on anything
 * older than each.
 */
#define STG_DEADLINES_MAX 4 /* several may be named before the first is due */

struct stg_deadlines {
	struct {
		int64_t version, due_us;
	} at[STG_DEADLINES_MAX]; /* oldest first */
	unsigned int n;
};

void stg_deadlines_add(
    struct stg_deadlines *d, int64_t version, int64_t due_us);
/* When `loaded` may not serve any more; 0: no such time is known. */
int64_t stg_deadlines_expiry(const struct stg_deadlines *d, int64_t loaded);
/* The one named before `version`, and when it is due; 0: not known. */
int64_t stg_deadlines_before(
    const struct stg_deadlines *d, int64_t version, int64_t *due_us);
/* When everything before `loaded` may not serve any more; 0: not known. */
int64_t stg_deadlines_of(const struct stg_deadlines *d, int64_t loaded);

/* When a keeper reads a version's digests from the origin itself. */
struct stg_digests {
	unsigned int members; /* keepers of the model; 0: not known yet */
	unsigned int ahead; /* of these, before this one */
	int64_t asked_us; /* the digests were needed first */
	int64_t backoff_until_us; /* the origin is not asked before */
};

int64_t stg_digests_read_us(const struct stg_digests *d);

/* Two versions were named one after the other. */
struct stg_overlap {
	bool older_complete;
	/* Pieces of it that are at no host yet; all while that is unknown. */
	uint64_t older_left, older_total;
	int64_t loaded; /* 0: the engine serves with neither */
	int64_t older_switch_us; /* the engine may change to the older then */
	int64_t older_deadline_us, newest_deadline_us; /* 0: no bound */
	int64_t newest_announced_us;
	uint64_t have, total; /* pieces of the newest, here; 0 of 0: unknown */
};

/*
 * Whether a version that is not loaded yet stays wanted when the next is named.
 * Not where both are heard of at nearly the same time, as after the store's
 * return: the older one would only hold up the newest.
 */
bool stg_keeps_older(int64_t older_heard_us, int64_t newest_heard_us);

/*
 * Whether the older one is fetched first: the origin's link is narrow, and two
 * versions that share it are both late. Once hosts have all of its pieces the
 * origin is free for the newest. When the older one is overdue, nothing serves
 * until either comes: it goes first where engines serve with it for longer,
 * until the newest is due, than the newest comes later by it.
 */
bool stg_fetches_older(const struct stg_overlap *r, int64_t now_us);

/*
 * Whether the engine changes to the older one first. All engines that pass
 * over it must leave what they hold before it is due, at nearly the same time
 * when the newest comes late. So an engine whose turn for the older one comes
 * before the newest can be here takes it; those that are left then are fewer.
 */
bool stg_prefers_older(const struct stg_overlap *r, int64_t now_us);

struct stg_schedule {
	int64_t announced_us; /* of the version that engines change to */
	int64_t deadline_us; /* what this one holds serves until then; 0: on */
	/* Engines that hold older weights than this one must have changed by
	 * then and go first; 0: there are none. */
	int64_t others_us;
	unsigned int rank, n; /* this engine among all */
};

/*
 * When this engine begins to change: evenly over the time that is left after
 * the pieces have spread, so that as few as possible are out of service
 * together.
 */
int64_t stg_switch_us(const struct stg_schedule *q);

#endif
