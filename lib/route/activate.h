#ifndef ACTIVATE_H
#define ACTIVATE_H

/*
 * act: which order a target gets next, so that it serves the wanted version.
 * Decided by the holder of a team's rollout role for each target in turn;
 * pure, the role's fence and the sending are the caller's.
 *
 * Where the engine has room for two versions it loads the new one beside the
 * old and switches. Where not, its requests are let run out first, on at most
 * `max_unavailable` targets of the model at a time.
 */

#include "common/common.h"

enum act_step {
	ACT_NONE, /* done, or something is under way */
	ACT_ASK, /* ask the side how far the version has come */
	ACT_DRAIN, /* order: no new work */
	ACT_LOAD, /* order: load the version */
	ACT_ADMIT, /* order: take work again */
};

struct act_rules {
	bool room_for_two;
	unsigned int max_unavailable;
	/* Targets of the model that an order keeps from work now. */
	unsigned int unavailable;
};

struct act_target {
	bool reachable;
	bool whole; /* its side has every chunk verified */
	bool loaded; /* the engine named the wanted version */
	bool empty; /* the engine holds no version: nothing to be cut */
	bool ordered_off; /* an order keeps it from new work */
	bool order_open; /* an order is sent and not answered */
	bool resting; /* a load failed not long ago */
	unsigned int running; /* requests there now */
};

enum act_step act_next(
    const struct act_rules *rules, const struct act_target *target);

/* How long a target rests after its n-th failed load in a row (n >= 1): an
 * engine that cannot load is not drained for it again and again. */
unsigned int act_rest_ms(unsigned int failures);

#endif
