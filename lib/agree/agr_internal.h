#ifndef AGR_INTERNAL_H
#define AGR_INTERNAL_H

/*
 * Internal declarations of agr_*.c, which perform the I/O for the decisions of
 * mem_*, inf_* and lse_*.
 */

#include "agree/agree.h"
#include "agree/inf_internal.h"
#include "agree/lse_internal.h"
#include "agree/mem_internal.h"

/* A connection that this node opened to fetch state from a peer. */
enum pull_kind {
	PULL_SETTINGS,
	PULL_MEMBERS,
};

struct pull {
	struct agr *agr; /* NULL after agr_free() */
	enum pull_kind kind;
	char address[MEM_ADDRESS_MAX + 1];
	struct conn *conn;
	guint timer;
	LIST_ENTRY(pull) link;
};

struct agr_role {
	struct agr *agr;
	char *name;
	char *key; /* key of the lease object */
	const struct agr_role_ops *ops;
	void *ctx;
	struct lse *lse;
	char op[OBJ_OP_MAX];
	unsigned int calls; /* object API calls in progress */
	bool closed;
	LIST_ENTRY(agr_role) link;
};

struct agr {
	struct agr_conf conf;
	char **seeds;
	const struct agr_ops *ops;
	void *ctx;
	const struct clk *clock;
	struct mem *mem;
	struct inf *inf;
	struct chart *lease_chart;
	struct obj *obj;
	struct dgram *dgram;
	struct rng rng;
	guint timer;
	bool closing;
	bool members_changed; /* ranks must be recomputed */

	/* Distribution of the settings */
	bool ready;
	int64_t started_us;
	struct inf_start start;
	/* addresses of ready peers that answered a pull */
	GHashTable *answered_peers;
	bool listing;
	/* reads of listed objects not yet answered */
	unsigned int pending_reads;
	bool read_failed;
	int64_t next_list_us; /* earliest time of the next list call */
	unsigned int list_deadline_ms;
	struct obj_watch *watch;
	bool watch_works;
	uint64_t revision;
	/* earliest time of the next pull caused by a differing digest */
	int64_t next_digest_pull_us;
	struct { /* last note received while the maximum of pulls was running */
		char address[MEM_ADDRESS_MAX + 1];
		char branch[INF_BRANCH_MAX + 1];
		uint64_t version;
	} queued_note;
	/* earliest time of the next call to the host list */
	int64_t next_hosts_us;
	struct agr **hosts_call; /* context of the call in progress, or NULL */

	LIST_HEAD(pull_list, pull) pulls;
	LIST_HEAD(agr_role_list, agr_role) roles;
	LIST_HEAD(agr_fencing_list, agr_fencing) fencings;

	struct ctr *pulls_count, *refused_branches, *sync_count, *members,
	    *age_ms, *lease_refused;
};

int64_t agr_now_us(const struct agr *agr);

struct agr_fencing { /* state of the fencing check, see gate.c */
	struct agr *agr;
	int64_t started_us; /* when agr_fencing_new() was called */
	GHashTable *floors;
	LIST_ENTRY(agr_fencing) link;
};

/* agr_pull.c */
void agr_pull(struct agr *agr, enum pull_kind kind, const char *address);
unsigned int agr_pulls(const struct agr *agr, enum pull_kind kind);
void agr_pulls_drop(struct agr *agr);

/* agr_settings.c */
void agr_settings_tick(struct agr *agr, int64_t now_us);
/* To be called after a membership change. */
void agr_settings_members_changed(struct agr *agr);
void agr_settings_on_note(
    struct agr *agr, const struct mem_note *note, const char *from);
void agr_settings_digest_differs(struct agr *agr, const char *from);
void agr_settings_peer_answered(
    struct agr *agr, const char *address, bool ready);
/* To be called when a pull has ended. */
void agr_settings_pull_ended(struct agr *agr);
void agr_settings_stop(struct agr *agr);
void agr_offer_branch(struct agr *agr, const char *name, uint64_t version,
    const char *yaml, const char *source);

/* agr_role.c */
void agr_roles_tick(struct agr *agr, int64_t now_us);
void agr_roles_members_changed(struct agr *agr);
void agr_roles_on_note(struct agr *agr, const struct mem_note *note);
void agr_roles_leave(struct agr *agr);
void agr_roles_free(struct agr *agr);

/* gate.c */
void agr_fencing_peers_answered(struct agr *agr);
void agr_fencing_stop(struct agr *agr);

/* rank.c: ranks that all nodes with the same member table compute alike */
unsigned int rank_for_role(
    struct mem *mem, const char *role, const char *holder, const char *self);
bool rank_is_watcher(struct mem *mem, const char *self);

#endif
