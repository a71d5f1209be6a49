#ifndef INF_INTERNAL_H
#define INF_INTERNAL_H

/*
 * Settings in force on this node, without I/O: which offered branch is taken
 * and when the node may begin to answer. Versions only grow here, whatever
 * order the API's watch, the peers and own writes bring them in.
 */

#include "agree/agree.h"

enum inf_outcome {
	INF_ACCEPTED,
	INF_STALE, /* not newer than what is in force */
	INF_REFUSED, /* fails its check; the version in force stays */
};

struct inf;
typedef void inf_each_cb(const struct inf_branch *branch, void *ctx);

struct inf *inf_new(void);
void inf_free(struct inf *inf);
/* `err` tells why a branch was refused. */
enum inf_outcome inf_offer(struct inf *inf, const char *name, uint64_t version,
    const char *yaml, struct err *err);
/* Whether an offer of this version would be news. */
bool inf_is_newer(const struct inf *inf, const char *name, uint64_t version);
const struct inf_branch *inf_find(const struct inf *inf, const char *name);
void inf_each(const struct inf *inf, inf_each_cb *each, void *ctx);
unsigned int inf_count(const struct inf *inf);
/*
 * 64 bits over all (branch, version): the sum of the versions above a hash,
 * so that digests of one node compare as its states do in time.
 */
uint64_t inf_digest(const struct inf *inf);

/* A write is checked whole before it is sent: against its schema, against
 * the root branch, and a root branch against all the others. */
bool inf_check_write(
    const struct inf *inf, const char *name, const char *yaml, struct err *err);

/* What a peer is told when asked for news: names and versions. */
GByteArray *inf_pack_versions(const struct inf *inf);
/* Branches that a peer with `known` lacks. */
void inf_each_newer(
    const struct inf *inf, struct slice known, inf_each_cb *each, void *ctx);

/* How far a starting node has come. */
struct inf_start {
	bool api_read; /* the list and all that it named */
	bool api_failed; /* the last try; it goes on */
	unsigned int peers_known; /* members other than this node */
	unsigned int peers_answered; /* that answered whole */
	int64_t waited_us;
};
/*
 * An old version must not be taken for the newest: with the API's list the
 * node has what was accepted until then. Without it several peers that do
 * not know newer either stand in; alone and without it the node waits.
 */
bool inf_may_serve(const struct inf_start *start);
/* Several members that have begun have told what they know. */
bool inf_enough_peers(const struct inf_start *start);
#define INF_PEERS_REQUIRED 3

#endif
