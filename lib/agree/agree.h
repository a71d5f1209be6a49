#ifndef AGREE_H
#define AGREE_H

/*
 * agree: the state that the processes have to agree on without a coordination
 * service of their own. Membership by gossip; distribution of the active
 * settings by a few watchers and anti-entropy; leased roles by conditional
 * writes to the object API; and the fencing floor that a sidecar checks orders
 * against.
 *
 * mem_*, inf_* and lse_* decide over (state, event, now): they do no I/O and
 * pass the resulting actions to callbacks. agr_* performs all I/O (datagrams,
 * connections, the object API); a process has one instance.
 */

#include "common/common.h"
#include "platform/platform.h"

/* ------------------------------------------------------------------ */
/* Membership                                                          */
/* ------------------------------------------------------------------ */

enum mem_kind {
	MEM_GATEWAY,
	MEM_SIDECAR,
};

enum mem_state {
	MEM_ALIVE,
	MEM_SUSPECT, /* not responding, not yet declared dead: still a member */
	/* the node announced that it leaves: it takes no new work */
	MEM_LEAVING,
	MEM_DEAD,
};

#define MEM_ID_MAX 64
#define MEM_ADDRESS_MAX 48
#define MEM_DOMAIN_MAX 64
#define MEM_INFO_MAX 400 /* so that a datagram holds at least two members */

/* What a node publishes about itself, once per start. */
struct mem_node {
	char id[MEM_ID_MAX + 1];
	char address[MEM_ADDRESS_MAX + 1]; /* "ip:port", TCP and UDP */
	char domain[MEM_DOMAIN_MAX + 1];
	char region[MEM_DOMAIN_MAX + 1];
	enum mem_kind kind;
	/*
	 * Grows with every start of the node (wall clock milliseconds at start)
	 * and each time that the node refutes a suspicion.
	 */
	uint64_t incarnation;
	/*
	 * Free text of the program, e.g. a sidecar's targets; fixed from start
	 * to exit.
	 */
	char info[MEM_INFO_MAX + 1];
};

struct mem_member {
	struct mem_node node;
	enum mem_state state;
	/*
	 * Digest of the active branch versions at that node; see inf_digest().
	 */
	uint64_t settings;
	/*
	 * Sum over the roles of the highest fencing number known at that node.
	 * If it is less than the sum here, that node is missing an update of a
	 * role.
	 */
	uint64_t fence_sum;
	int64_t since_us; /* when this node set the present state */
};

struct mem;
/* Called for the members in a stable order (by id), without dead ones. */
typedef void mem_each_cb(const struct mem_member *member, void *ctx);

/* ------------------------------------------------------------------ */
/* Active settings                                                     */
/* ------------------------------------------------------------------ */

#define INF_BRANCH_MAX 64 /* length of a branch name */
#define INF_ROOT_BRANCH "platform"

/* Objects `settings/BRANCH` hold the YAML text of each branch. */
#define INF_KEY_PREFIX "settings/"

struct inf_branch {
	const char *name;
	uint64_t version; /* of the object; only grows, on every node */
	const char *yaml;
	const struct cfg *cfg; /* validated against the branch schema */
};

/* ------------------------------------------------------------------ */
/* The node: all of the above with its I/O                             */
/* ------------------------------------------------------------------ */

struct agr;

struct agr_conf {
	struct mem_node self; /* agr_new() fills in the incarnation */
	const char *const *seeds; /* "ip:port", terminated by NULL */
	const char *objects; /* base URL of the object API */
	const char *hosts; /* base URL of the host list; NULL: none */
	unsigned int gossip_ms;
	unsigned int suspect_ms;
	unsigned int lease_ms;
	uint64_t seed;
	const struct conn_node *node; /* must outlive agr */
	struct plat *plat;
	/* folder of lease.yaml; NULL: that of the source tree */
	const char *charts;
};

struct agr_ops {
	/* A member joined, changed its state or was removed. */
	void (*member_changed)(const struct mem_member *member, void *ctx);
	/* A branch or a newer version of a branch became active. */
	void (*branch_changed)(const struct inf_branch *branch, void *ctx);
	/*
	 * The settings were read from the object API or from peers: the node
	 * may start to serve. Called once.
	 */
	void (*ready)(void *ctx);
};

struct agr *agr_new(const struct agr_conf *conf, const struct agr_ops *ops,
    void *ctx, struct err *err);
void agr_free(struct agr *agr);

/* Announces "leaving" to the members; all of them know within 2 s. */
void agr_leave(struct agr *agr);
bool agr_is_ready(const struct agr *agr);
/*
 * Time since a watch of the settings was known to work, at this node or, over
 * any number of hops, at another. A node that is cut off continues to serve its
 * active settings and reports their staleness by this age.
 */
int64_t agr_settings_age_ms(const struct agr *agr);

/*
 * Handles a message of type 60-79. The program accepts the connections and
 * passes these messages on.
 */
bool agr_message(struct agr *agr, struct conn *c, const struct msg *m);

void agr_each_member(struct agr *agr, mem_each_cb *each, void *ctx);
const struct mem_member *agr_member(struct agr *agr, const char *id);

/* Returns NULL if there is no such branch. Valid until the next change. */
const struct inf_branch *agr_branch(struct agr *agr, const char *name);
void agr_each_branch(struct agr *agr,
    void (*each)(const struct inf_branch *branch, void *ctx), void *ctx);

/*
 * Writes a branch: validates all of it, then makes a conditional write against
 * `if_version` with operation id `op`. On success `version` is the accepted
 * version, and it is already active on this node.
 */
typedef void agr_set_cb(uint64_t version, const struct obj_object *now,
    const struct err *err, void *ctx);
void agr_set_branch(struct agr *agr, const char *name, const char *yaml,
    uint64_t if_version, const char *op, agr_set_cb *done, void *ctx);

/*
 * Counts the live members with the same active branch versions as this node or
 * newer ones; `overdue` gets up to `max` ids of the other members.
 */
struct agr_active_count {
	unsigned int nodes;
	unsigned int active;
};
void agr_active_count(struct agr *agr, struct agr_active_count *out,
    const char **overdue, size_t max, size_t *n_overdue);

/* ------------------------------------------------------------------ */
/* Leased roles                                                        */
/* ------------------------------------------------------------------ */

/*
 * A role is one object `leases/ROLE`. Gateways with the same member table
 * compute the same next holder; the conditional write decides. The generation
 * (the object's version at take-over) is the fencing number of the holder's
 * orders.
 */
struct agr_role;
struct agr_role_ops {
	void (*gained)(struct agr_role *role, uint64_t fence, void *ctx);
	void (*lost)(struct agr_role *role, void *ctx);
};
struct agr_role *agr_role_join(struct agr *agr, const char *name,
    const struct agr_role_ops *ops, void *ctx);
/* Planned handover: releases the lease at once if this node holds it. */
void agr_role_leave(struct agr_role *role);
/*
 * Returns the fencing number while the lease is certainly valid by the
 * monotonic clock, else 0. Must be called before every order, as the lease may
 * have expired during a pause of the process.
 */
uint64_t agr_role_fence(struct agr_role *role);
/* Returns the holder as far as this node knows; "" if unknown. */
const char *agr_role_holder(struct agr_role *role);

/* ------------------------------------------------------------------ */
/* Fencing check                                                       */
/* ------------------------------------------------------------------ */

/*
 * The fencing floor of a sidecar for each role. Hosts keep no state, so after a
 * restart the floor is unknown until it was read from the lease object (or,
 * while the object API is unavailable, taken from the highest fencing number
 * that members report); until then orders are rejected with VERDICT_NOT_RUN.
 */
struct agr_fencing;
struct agr_fencing *agr_fencing_new(struct agr *agr);
void agr_fencing_free(struct agr_fencing *fencing);
/*
 * Returns true and raises the floor if an order of `role` with fencing number
 * `fence` may pass. Otherwise sets ERR_STALE_FENCE or, while the floor is
 * unknown, ERR_UNAVAILABLE with a retry delay.
 */
bool agr_fencing_check(struct agr_fencing *fencing, const char *role,
    uint64_t fence, struct err *err);

#endif
