#ifndef INF_INTERNAL_H
#define INF_INTERNAL_H

/*
 * Active settings of this node, without I/O: which offered versions of a branch
 * are accepted and when the node may start to serve. The version of a branch
 * only grows, in whatever order the watch of the object API, the peers and
 * local writes offer versions.
 */

#include "agree/agree.h"

enum inf_outcome {
	INF_ACCEPTED,
	INF_STALE, /* not newer than the active version */
	INF_REFUSED, /* failed validation; the active version is unchanged */
};

struct inf;
typedef void inf_each_cb(const struct inf_branch *branch, void *ctx);

struct inf *inf_new(void);
void inf_free(struct inf *inf);
/* `err` gets the reason if a branch is refused. */
enum inf_outcome inf_offer(struct inf *inf, const char *name, uint64_t version,
    const char *yaml, struct err *err);
/* Returns whether the version is newer than the active and any refused one. */
bool inf_is_newer(const struct inf *inf, const char *name, uint64_t version);
const struct inf_branch *inf_find(const struct inf *inf, const char *name);
void inf_each(const struct inf *inf, inf_each_cb *each, void *ctx);
unsigned int inf_count(const struct inf *inf);
/*
 * 64 bits over all (branch, version): the sum of the versions in the upper
 * half, a hash in the lower half. Of two digests of one node the greater is the
 * later.
 */
uint64_t inf_digest(const struct inf *inf);

/*
 * Validates a write before it is sent: against its schema, a branch against the
 * root branch, and a root branch against all other branches.
 */
bool inf_check_write(
    const struct inf *inf, const char *name, const char *yaml, struct err *err);

/* Names and versions of the local branches, for a pull request to a peer. */
GByteArray *inf_pack_versions(const struct inf *inf);
/* Calls `each` for the branches that are newer here than in `known`. */
void inf_each_newer(
    const struct inf *inf, struct slice known, inf_each_cb *each, void *ctx);

/* Progress of a starting node. */
struct inf_start {
	bool api_read; /* the list and all objects in it were read */
	bool api_failed; /* the last attempt failed; further ones follow */
	unsigned int peers_known; /* members other than this node */
	/* that are ready and answered a pull completely */
	unsigned int peers_answered;
	int64_t waited_us;
};
/*
 * A node must not serve an old version as the newest. With the object API's
 * list it has all that was accepted until then. Without the list, several peers
 * without newer versions are enough; without the list and without peers the
 * node waits.
 */
bool inf_may_serve(const struct inf_start *start);
/* Enough members that are ready have answered a pull. */
bool inf_enough_peers(const struct inf_start *start);
#define INF_PEERS_REQUIRED 3

#endif
