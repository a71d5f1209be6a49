#ifndef GATEWAY_H
#define GATEWAY_H

/*
 * gateway: the entry process for a deployment whose store names targets and
 * holds the operators' settings. It needs no other process: each gateway
 * watches the store itself and calls targets directly.
 */

#include "platform/adapter.h"
#include "common/evt.h"
#include "serve/fwd.h"
#include "shared/station.h"

struct gateway {
	struct station st;
	struct store *store;
	struct mirror *config, *targets, *versions;
	struct tgt_set *set;
	struct vers *named;
	struct fwd *fwd;
	struct hlimits limits;
	struct hserver *callers, *ready;
	struct dgram *peers;
	struct evl_timer tick, tell;
	uint64_t seed; /* of what this gateway draws among others */
	bool is_ready;
	int64_t stopping_us; /* 0: not asked to stop */
	unsigned int gateways; /* that share the targets, as keepers say */
	int64_t all_away_us; /* a keeper last said that none has the store */
};

/* gateway_peers.c: keepers */
bool gateway_peers_open(struct gateway *g, struct err *err);
/* Once after all events of this wake-up, and on from there. */
void gateway_peers_tell(struct gateway *g);

/* gateway.c */
/* `now` stands where `before` did, NULL: nothing. Kept connections to another
 * start of a target are dead, and answers on them belong to nobody. */
struct tgt *gateway_renew(
    struct gateway *g, const struct tgt *before, struct tgt *now);
int gateway_main(const char *settings);

/* explain.c */
int explain_main(int argc, char **argv);

#endif
