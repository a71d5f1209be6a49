#ifndef STAGE_H
#define STAGE_H

/*
 * stage: the next step of a sidecar for the engine beside it, until the engine
 * has loaded the wanted version completely and uncorrupted. Pure: the sidecar
 * fills in its state and carries out the step.
 *
 * An engine loads what is in its staging area without a check, and data there
 * can become corrupt. So every chunk is verified against its digest immediately
 * before the order to load.
 */

#include "common/common.h"

enum stg_step {
	STG_IDLE, /* nothing is wanted, or the engine does not answer */
	STG_MANIFEST, /* fetch the digests of the wanted version */
	STG_SCAN, /* look for its chunks in the staging area */
	STG_FETCH, /* chunks are being transferred */
	STG_PUT, /* write chunks to the staging area */
	/* Wait until the scheduled switch time; other engines go first. */
	STG_WAIT_SWITCH,
	STG_DRAIN, /* gateways send it no new requests; its current ones end */
	STG_CHECK, /* read back and verify all chunks */
	STG_ORDER, /* order the engine to load */
	STG_LOADING, /* the order is in progress */
	/* Read back all chunks of what the engine loaded by an order that may
	 * have come late. */
	STG_PROVE,
	STG_DONE, /* the engine has loaded the wanted version */
	STG_STEPS,
};

const char *stg_step_name(enum stg_step step);
/* Whether an order follows within moments: gateways send the engine nothing. */
bool stg_leads_to_order(enum stg_step step);

struct stg_state {
	int64_t wanted; /* version; 0: none */
	/* The engine, as of its last answer. */
	bool up;
	int64_t loaded; /* version, complete and proved; 0: none */
	bool unproved; /* it holds the wanted version, and a read-back may
			* prove it */
	bool busy; /* carries out an order */
	unsigned int running; /* requests */
	/* The wanted version on this host. */
	bool manifest;
	bool scanned; /* the staging area was searched for its chunks */
	bool complete; /* all chunks are stored and verified */
	bool staged; /* all chunks are in the staging area, as far as known */
	/* Begin of the read-back in which all chunks were valid; 0: none. */
	int64_t checked_us;
	int64_t ordered_us; /* an order was accepted; 0: none */
	int64_t refused_us; /* the last order was refused; 0: no */
	unsigned int slots; /* of the engine; 0: not known */
	int64_t drain_us; /* gateways were asked to send nothing; 0: no */
	/* Requests that are cut continue at other engines. */
	bool may_cut;
	/* Time at which it may begin to switch between versions. */
	int64_t switch_us;
};

/* If the first chunk was verified longer ago than this, all are verified again
 * before the order. An order that is answered too late for its check leaves the
 * engine with weights that must be proved (proof.h). */
#define STG_CHECK_VALID_US 1500000
/* Time from a refused order to the next. */
#define STG_ORDER_BACKOFF_US 400000
/* An accepted order without an effect for this long is given again. The
 * engine waits for running streams, which last six seconds at most. */
#define STG_ORDER_TIMEOUT_US 9000000

/*
 * An engine that is ordered to load once its requests have ended is almost
 * empty while the longest of them run: 1.1 to 2.9 s, 2.0 s on average. Where
 * cut requests continue elsewhere, it first gets no new ones, and those still
 * running after this time, or once they take only this share of its slots, are
 * cut. A request that continues elsewhere costs a second reading of its prompt,
 * about as much as its slot is worth in that time.
 */
#define STG_DRAIN_US 800000
#define STG_DRAIN_SHARE 0.25
/* An engine that gateways were asked to avoid and that has no accepted order
 * after this time is made available again: it serves what it has loaded. */
#define STG_DRAIN_MAX_US 3000000

enum stg_step stg_next(const struct stg_state *s, int64_t now_us);

/* Announced versions and their deadlines: the time from which no request may
 * begin on anything older. Zero is empty; stg_deadlines_clear frees. */
struct stg_deadline {
	int64_t version, deadline_us;
};
struct stg_deadlines {
	struct stg_deadline *at; /* oldest first */
	unsigned int n, size;
};

/* Forgets versions whose successor has passed its deadline, except the last
 * two. */
void stg_deadlines_add(struct stg_deadlines *d, int64_t version,
    int64_t deadline_us, int64_t now_us);
void stg_deadlines_clear(struct stg_deadlines *d);
/* Time from which `loaded` may not serve; 0: none is known. */
int64_t stg_deadlines_expiry(const struct stg_deadlines *d, int64_t loaded);
/* The version announced before `version`, and its deadline; 0: not known. */
int64_t stg_deadlines_before(
    const struct stg_deadlines *d, int64_t version, int64_t *deadline_us);
/* Time from which nothing older than `loaded` may serve; 0: not known. */
int64_t stg_deadlines_of(const struct stg_deadlines *d, int64_t loaded);

/* How long inbound traffic may wait at this host behind chunks: the longest time
 * of the last second, since a message that is on its way meets a queue that grew
 * after the last report. */
struct stg_inbound {
	int64_t us;
	int64_t at_us; /* when that was noted */
};

#define STG_INBOUND_HOLD_US 1000000

void stg_inbound_note(struct stg_inbound *in, int64_t us, int64_t now_us);

/* When a sidecar reads a version's digests from the origin itself. */
struct stg_digests {
	unsigned int members; /* sidecars of the model; 0: not known yet */
	unsigned int ahead; /* number of these that rank before this one */
	int64_t asked_us; /* when the digests were first needed */
	int64_t backoff_until_us; /* no request to the origin before then */
};

int64_t stg_digests_read_us(const struct stg_digests *d);

/* Two versions were announced in short succession. */
struct stg_overlap {
	bool older_complete;
	/* Chunks of the older one that no host has yet; all while that is
	 * not known. */
	uint64_t older_left, older_total;
	int64_t loaded; /* 0: the engine serves with neither */
	/* The engine may switch to the older one then. */
	int64_t older_switch_us;
	int64_t older_deadline_us, newest_deadline_us; /* 0: no deadline */
	int64_t newest_announced_us;
	/* Chunks of the newest on this host; 0 of 0: not known. */
	uint64_t have, total;
};

/*
 * Whether a version that is not loaded yet stays wanted when the next one is
 * announced. Not if both announcements arrive at nearly the same time, as at
 * the end of a store outage: the older one would only delay the newest.
 */
bool stg_keeps_older(int64_t older_announced_us, int64_t newest_announced_us);

/*
 * Whether the older one is fetched first: the origin's link is narrow, and two
 * versions that share it are both late. Once hosts have all chunks of the older
 * one, the origin is free for the newest. After the older one's deadline
 * nothing serves until either arrives: the older one goes first if engines
 * serve with it for longer, until the newest's deadline, than it delays the
 * newest.
 */
bool stg_fetches_older(const struct stg_overlap *o, int64_t now_us);

/*
 * Whether the engine switches to the older one first. All engines that skip it
 * must leave their loaded version before the older one's deadline, at nearly
 * the same time if the newest is late. So an engine whose scheduled switch time
 * for the older one comes before the newest can arrive switches to it; fewer
 * engines remain for that moment.
 */
bool stg_prefers_older(const struct stg_overlap *o, int64_t now_us);

struct stg_schedule {
	/* Announcement of the version that engines switch to. */
	int64_t announced_us;
	/* What this engine has loaded may serve until then; 0: no limit. */
	int64_t deadline_us;
	/* Engines with older weights than this one must have switched by
	 * then and go first; 0: there are none. */
	int64_t others_us;
	unsigned int rank, n; /* position of this engine among all */
};

/*
 * When this engine begins to switch: the engines are spread evenly over the
 * time that is left after the chunks have been distributed, so that as few as
 * possible are out of service together.
 */
int64_t stg_switch_us(const struct stg_schedule *s);

#endif
