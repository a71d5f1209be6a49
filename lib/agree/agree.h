#ifndef AGREE_H
#define AGREE_H

/*
 * agree: what the processes have to agree on without a coordination service
 * of their own. Membership by gossip, settings in force by few watchers and
 * anti-entropy, leased roles by conditional writes to the object API, and
 * the fencing floor behind a side's order gate.
 *
 * mem_*, inf_* and lse_* are decisions over (state, event, now): they do no
 * I/O and hand what is to be done to callbacks. agr_* is the one place that
 * carries it out (datagrams, connections, the object API), one per process.
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
	MEM_SUSPECT, /* silent, not yet given up: still a member */
	MEM_LEAVING, /* said so itself: takes no new work */
	MEM_DEAD,
};

#define MEM_ID_MAX 64
#define MEM_ADDRESS_MAX 48
#define MEM_DOMAIN_MAX 64
#define MEM_INFO_MAX 400 /* so that a datagram holds at least two members */

/* What a node says about itself once per life. */
struct mem_node {
	char id[MEM_ID_MAX + 1];
	char address[MEM_ADDRESS_MAX + 1]; /* "ip:port", TCP and UDP */
	char domain[MEM_DOMAIN_MAX + 1];
	char region[MEM_DOMAIN_MAX + 1];
	enum mem_kind kind;
	/* Grows with every start of the node (wall milliseconds at start) and
	 * when it refutes a suspicion. */
	uint64_t incarnation;
	/* Free text of the owner, e.g. a side's targets; fixed per life. */
	char info[MEM_INFO_MAX + 1];
};

struct mem_member {
	struct mem_node node;
	enum mem_state state;
	/* Digest of the branch versions in force there; see inf_digest(). */
	uint64_t settings;
	/* Sum over the roles of the highest fencing number known there; less
	 * than ours means that news of a role has not arrived there. */
	uint64_t fence_sum;
	int64_t since_us; /* when it came into this state, here */
};

struct mem;
/* Members in a stable order (by id), dead ones left out. */
typedef void mem_each_cb(const struct mem_member *member, void *ctx);

/* ------------------------------------------------------------------ */
/* Settings in force                                                   */
/* ------------------------------------------------------------------ */

#define INF_BRANCH_MAX 64 /* length of a branch name */
#define INF_ROOT_BRANCH "platform"

/* Objects `settings/BRANCH` hold the YAML text of each branch. */
#define INF_KEY_PREFIX "settings/"

struct inf_branch {
	const char *name;
	uint64_t version; /* of the object; only grows on every node */
	const char *yaml;
	const struct cfg *cfg; /* checked by the branch schema */
};

/* ------------------------------------------------------------------ */
/* The node: everything above with its I/O                             */
/* ------------------------------------------------------------------ */

struct agr;

struct agr_conf {
	struct mem_node self; /* incarnation is filled in */
	const char *const *seeds; /* "ip:port", NULL at the end */
	const char *objects; /* base URL of the object API */
	const char *hosts; /* base URL of the host list; NULL: none */
	unsigned int gossip_ms;
	unsigned int suspect_ms;
	unsigned int lease_ms;
	uint64_t seed;
	const struct conn_node *node; /* must outlive agr */
	struct plat *plat;
	const char *charts; /* folder of lease.yaml; NULL: the source tree's */
};

struct agr_ops {
	/* A member came, changed its state or went. */
	void (*member_changed)(const struct mem_member *member, void *ctx);
	/* A branch in force is new or newer. */
	void (*branch_changed)(const struct inf_branch *branch, void *ctx);
	/* The settings were taken from the object API or from peers: the
	 * node may begin to answer. Called once. */
	void (*ready)(void *ctx);
};

struct agr *agr_new(const struct agr_conf *conf, const struct agr_ops *ops,
    void *ctx, struct err *err);
void agr_free(struct agr *agr);

/* Says "leaving" to the members; known everywhere within 2 s. */
void agr_leave(struct agr *agr);
bool agr_is_ready(const struct agr *agr);
/*
 * Time since this node knew, over any number of hops, of a working watch of
 * the settings. A node that is cut off goes on serving what is in force and
 * says so by this age.
 */
int64_t agr_settings_age_ms(const struct agr *agr);

/* A message of type 60-79 on one of the process's connections; accepted
 * connections are the program's, so it hands these over. */
bool agr_message(struct agr *agr, struct conn *c, const struct msg *m);

void agr_each_member(struct agr *agr, mem_each_cb *each, void *ctx);
const struct mem_member *agr_member(struct agr *agr, const char *id);

/* NULL when there is no such branch. Valid until the next change. */
const struct inf_branch *agr_branch(struct agr *agr, const char *name);
void agr_each_branch(struct agr *agr,
    void (*each)(const struct inf_branch *branch, void *ctx), void *ctx);

/*
 * Writes a branch: checked whole, then a conditional write against
 * `if_version` with operation id `op`. On success `version` is the accepted
 * version and it is in force here at once.
 */
typedef void agr_set_cb(uint64_t version, const struct obj_object *now,
    const struct err *err, void *ctx);
void agr_set_branch(struct agr *agr, const char *name, const char *yaml,
    uint64_t if_version, const char *op, agr_set_cb *done, void *ctx);

/* How many live members have the same branch versions in force as this
 * node; `overdue` gets up to `max` ids of the others. */
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
 * A role is one object `leases/ROLE`. Entries compute from the same view who
 * should take it; the conditional write decides. The generation (the
 * object's version at take-over) is the fencing number of the holder's orders.
 */
struct agr_role;
struct agr_role_ops {
	void (*gained)(struct agr_role *role, uint64_t fence, void *ctx);
	void (*lost)(struct agr_role *role, void *ctx);
};
struct agr_role *agr_role_join(struct agr *agr, const char *role,
    const struct agr_role_ops *ops, void *ctx);
/* Planned handover: gives the lease up at once when it is held. */
void agr_role_leave(struct agr_role *role);
/* The fencing number while the lease is surely held by the monotonic clock, else 0.
 * To be asked before every order, as a pause may have ended the lease. */
uint64_t agr_role_fence(struct agr_role *role);
/* Who holds it as far as this node knows; "" when unknown. */
const char *agr_role_holder(struct agr_role *role);

/* ------------------------------------------------------------------ */
/* Order gate                                                          */
/* ------------------------------------------------------------------ */

/*
 * The fencing floor of a side per role. Hosts keep nothing, so after a
 * restart the floor is unknown until it was read from the lease object
 * (or, while the object API is away, taken from the members' highest fence); orders are refused
 * as NOT_RUN until then.
 */
struct agr_fencing;
struct agr_fencing *agr_fencing_new(struct agr *agr);
void agr_fencing_free(struct agr_fencing *gate);
/* True when an order of `role` with fencing number `fence` may pass; raises the floor. ERR_STALE_FENCE,
 * or ERR_UNAVAILABLE with advice to come back while the floor is unknown. */
bool agr_fencing_check(struct agr_fencing *gate, const char *role,
    uint64_t fence, struct err *err);

#endif
