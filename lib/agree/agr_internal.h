#ifndef AGR_INTERNAL_H
#define AGR_INTERNAL_H

/* Shared by the agr_*.c files: the node that carries the decisions out. */

#include "agree/agree.h"
#include "agree/inf_internal.h"
#include "agree/lse_internal.h"
#include "agree/mem_internal.h"

/* A connection that this node dialled to take something over. */
enum pull_kind {
	PULL_SETTINGS,
	PULL_MEMBERS,
};

struct pull {
	struct agr *agr; /* NULL once the node is gone */
	enum pull_kind kind;
	char address[MEM_ADDRESS_MAX + 1];
	struct conn *conn;
	guint timer;
	LIST_ENTRY(pull) link;
};

struct agr_role {
	struct agr *agr;
	char *name;
	char *key; /* of the lease object */
	const struct agr_role_ops *ops;
	void *ctx;
	struct lse *lse;
	char op[OBJ_OP_MAX];
	unsigned int calls; /* object API calls under way */
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
	bool members_changed; /* ranks are to be computed anew */

	/* Settings */
	bool ready;
	int64_t started_us;
	struct inf_start start;
	GHashTable
	    *answered_peers; /* addresses of ready peers that answered a pull */
	bool listing;
	unsigned int pending_reads; /* objects of the list still to come */
	bool read_failed;
	int64_t next_list_us; /* no earlier list than this */
	unsigned int list_deadline_ms;
	struct obj_watch *watch;
	bool watch_works;
	uint64_t revision;
	int64_t
	    next_digest_pull_us; /* no earlier pull for a differing digest */
	struct { /* news heard while pulls were under way */
		char address[MEM_ADDRESS_MAX + 1];
		char branch[INF_BRANCH_MAX + 1];
		uint64_t version;
	} queued_note;
	int64_t next_hosts_us; /* no earlier call than this */
	struct agr **hosts_call; /* its context while one is under way */

	LIST_HEAD(pull_list, pull) pulls;
	LIST_HEAD(agr_role_list, agr_role) roles;
	LIST_HEAD(agr_gate_list, agr_fencing) gates;

	struct ctr *pulls_count, *refused_branches, *sync_count, *members,
	    *age_ms, *lease_refused;
};

int64_t agr_now_us(const struct agr *agr);

struct agr_fencing { /* see gate.c */
	struct agr *agr;
	int64_t started_us; /* of this life of the host */
	GHashTable *floors;
	LIST_ENTRY(agr_fencing) link;
};

/* agr_pull.c */
void agr_pull(struct agr *agr, enum pull_kind kind, const char *address);
unsigned int agr_pulls(const struct agr *agr, enum pull_kind kind);
void agr_pulls_drop(struct agr *agr);

/* agr_settings.c */
void agr_settings_tick(struct agr *agr, int64_t now_us);
void agr_settings_members_changed(struct agr *agr); /* members changed */
void agr_settings_on_note(
    struct agr *agr, const struct mem_note *note, const char *from);
void agr_settings_digest_differs(struct agr *agr, const char *from);
void agr_settings_peer_answered(
    struct agr *agr, const char *address, bool ready);
void agr_settings_pull_ended(struct agr *agr); /* a pull ended */
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
void agr_gates_told(struct agr *agr);
void agr_gates_stop(struct agr *agr);

/* rank.c: places that all nodes with the same view compute alike */
unsigned int rank_for_role(
    struct mem *mem, const char *role, const char *holder, const char *self);
bool rank_is_watcher(struct mem *mem, const char *self);

#endif
