#ifndef ACTIVATE_H
#define ACTIVATE_H

/*
 * act: selects the next load order for a target, so that it comes to serve
 * the wanted version. The holder of a workspace's rollout role calls it for
 * each target in turn. The functions are pure: the calling code checks the
 * fencing number of the role and sends the order.
 *
 * An engine with room for two versions loads the new one beside the old and
 * switches. Any other engine is drained first, on at most `max_unavailable`
 * targets of the model at a time.
 */

#include "common/common.h"

enum act_step {
	ACT_NONE, /* done, or an order is in progress */
	ACT_QUERY, /* ask the sidecar for the transfer progress of the version */
	ACT_DRAIN, /* order: accept no new requests */
	ACT_LOAD, /* order: load the version */
	ACT_ADMIT, /* order: accept requests again */
};

struct act_rules {
	bool room_for_two;
	unsigned int max_unavailable;
	/* Targets of the model that are drained by an order now. */
	unsigned int unavailable;
};

struct act_target {
	bool reachable;
	bool complete; /* its sidecar has verified every chunk */
	bool loaded; /* the engine reported the wanted version */
	bool empty; /* no version is loaded, so no request can be cut off */
	bool drain_ordered; /* an order stops it from accepting requests */
	bool order_pending; /* an order was sent and is not answered yet */
	bool in_backoff; /* a load failed recently */
	unsigned int running; /* requests running there now */
};

enum act_step act_next(
    const struct act_rules *rules, const struct act_target *t);

/* Backoff after the n-th consecutive failed load (n >= 1), so that an engine
 * that cannot load is not drained over and over. */
unsigned int act_backoff_ms(unsigned int failures);

#endif
