#ifndef ENTRY_H
#define ENTRY_H

/*
 * The entry process: takes callers' HTTP, chooses a target, forwards through
 * the target's side process and keeps the verdict; answers operators; holds
 * leased roles.
 */

#include <json-glib/json-glib.h>

#include "agree/agree.h"
#include "route/admit.h"
#include "route/limit.h"
#include "route/route.h"
#include "shared/proc.h"
#include "weights/weights.h"

struct entry;
struct claims;
struct entry_peer;
struct gatekeeper;
struct lead;
struct request;

/* A side process as this entry knows it. */
struct entry_side {
	TAILQ_ENTRY(entry_side) link;
	struct entry *entry;
	char id[RT_NAME_MAX + 1];
	char address[MEM_ADDRESS_MAX + 1];
	char domain[RT_NAME_MAX + 1];
	char info[MEM_INFO_MAX + 1];
	struct conn *conn; /* NULL between tries */
	bool open;
	bool leaving; /* said so by membership */
	guint retry_timer;
	unsigned int retry_ms;
	GHashTable *streams; /* stream number -> struct request */
	GHashTable *statuses; /* struct digest -> struct side_status */
	GHashTable *asked; /* struct digest -> time (us) the lead last asked */
};

/* How far a version has come at a side, as it last said. */
struct side_status {
	struct digest root;
	enum wts_phase phase;
	uint64_t have, total;
	char why[120];
};

TAILQ_HEAD(entry_sides, entry_side);
TAILQ_HEAD(entry_peers, entry_peer);

struct entry {
	struct proc proc;
	SoupServer *http;
	struct conn_server *server;
	struct att_chart *attempts;
	struct entry_sides sides;
	struct entry_peers peers;
	struct gatekeeper *gatekeeper;
	struct claims *claims;
	GHashTable *asking; /* number -> struct claim */
	uint64_t next_claim;
	unsigned int live_entries; /* this one included */
	struct rt_targets targets;
	struct rt_fleet *fleet; /* the same targets, to choose from */
	GHashTable *teams; /* branch name -> struct rt_workspace */
	struct cfg *root; /* the root branch; NULL before it is in force */
	struct rng rng;
	uint64_t next_stream;
	uint64_t next_request;
	uint32_t run_id; /* so that ids differ from those before a restart */
	unsigned int open_requests;
	GHashTable *leads; /* team name -> struct lead */
	guint lead_idle;
	bool leaving; /* told to stop */
	bool draining; /* the settings drain this entry */
	guint stop_timer;
};

/* serve.c */
int serve_main(const char *settings);
bool entry_takes_work(const struct entry *entry);
const struct rt_workspace *entry_team(
    const struct entry *entry, const char *name);

/* sides.c: connections to the sides and what they say. */
void sides_member(struct entry *entry, const struct mem_member *member);
struct entry_side *sides_find(struct entry *entry, const char *id);
/* The drain settings changed. */
void sides_apply_drain(struct entry *entry);

/* request.c: one caller's request over its attempts. */
struct request_ask { /* borrowed; copied by request_start */
	SoupServerMessage *message;
	const struct rt_workspace *team;
	const struct rt_model *model; /* or */
	const struct rt_service *service;
	const char *method;
	const char *path;
	const char *key; /* Idempotency-Key; NULL: none */
	GBytes *body;
	bool streamed; /* server-sent events, passed on piece by piece */
	bool idempotent;
	unsigned int deadline_ms;
	unsigned int priority;
	uint64_t prefix; /* hash of the prompt's begin; 0: none */
	unsigned int tokens; /* asked for; 0: not a model's request */
};
/* False when it is refused before it is begun; the caller is to be told. */
bool request_start(
    struct entry *entry, const struct request_ask *ask, struct err *err);
/* What admission does with the tickets inside requests. */
const struct adm_ops *request_adm_ops(void);
void request_head(struct request *r, const struct rt_head *head);
void request_data(struct request *r, const uint8_t *bytes, size_t len);
void request_end(struct request *r, const struct err *err);
/* Of the attempt that runs now. */
struct rt_target *request_target(const struct request *r);

/* peers.c: connections to the other entries. */
void peers_member(struct entry *entry, const struct mem_member *member);
/* False when there is no connection now; nothing is kept for later. */
bool peers_send(struct entry *entry, const char *id,
    const struct msg_desc *desc, const void *message);
void peers_send_all(
    struct entry *entry, const struct msg_desc *desc, const void *message);

/* claims.c: the buckets of claims, as their owner sees them. */
void claims_open(struct entry *entry);
/* An ask by this or another entry; claim_take_answer there follows. */
void claims_ask(
    struct entry *entry, const char *from, const struct rt_claim *claim);
void claims_settle(struct entry *entry, const struct rt_claim_settle *settle);
/* RT_CLAIM and RT_CLAIM_SETTLE from another entry. */
void claims_message(struct entry *entry, const char *from, const struct msg *m);
/* Who should own a bucket: the same on all entries with the same view. */
const char *claims_owner(struct entry *entry, unsigned int bucket);
void claims_members(struct entry *entry);
void claims_entry_gone(struct entry *entry, const char *id);
/* Planned stop: the buckets go to others at once. */
void claims_leave(struct entry *entry);

/* claim_ask.c: the claim of one request, asked of the bucket's owner. */
struct claim;
struct claim_wish { /* copied */
	const char *key;
	struct digest body;
	const char *asker; /* "ENTRY/..." */
	unsigned int keep_ms;
	int64_t until_us;
};
/* From the loop, once; the claim is gone after it. */
typedef void claim_cb(
    enum clm_result result, const struct clm_outcome *outcome, void *ctx);
struct claim *claim_start(struct entry *entry, const struct claim_wish *wish,
    claim_cb *done, void *ctx);
/* No callback follows. What was claimed is to be settled by claim_settle. */
void claim_drop(struct claim *claim);
void claim_settle(struct entry *entry, const char *key, const char *asker,
    const struct clm_outcome *outcome);
void claim_take_answer(
    struct entry *entry, const struct rt_claim_answer *answer);
void claim_message(struct entry *entry, const struct msg *m); /* its frame */

/* gatekeeper.c: limits, queues and the retry budget. */
void gatekeeper_open(struct entry *entry);
void gatekeeper_set_workspace(
    struct entry *entry, const struct rt_workspace *team);
void gatekeeper_members_changed(struct entry *entry);
void gatekeeper_entry_gone(struct entry *entry, const char *id);
void gatekeeper_demand_received(
    struct entry *entry, const char *from, const struct msg *m);
/* A target's side said something new of it. */
void gatekeeper_target_changed(
    struct entry *entry, const struct rt_target *target);
struct adm_queue *gatekeeper_queue(struct entry *entry, const char *team,
    const char *model, const char *service);
/* Takes one request from the team's limit; ERR_OVERLOADED when over it. */
bool gatekeeper_take(struct entry *entry, const char *team, struct err *err);
bool gatekeeper_may_retry(struct entry *entry, const char *team);
void gatekeeper_retried(struct entry *entry, const char *team);

/* caller.c: HTTP for callers, health, counters, events. */
void caller_open(struct entry *entry);
/* Adds a handler together with the check that bounds bodies. */
void caller_handle(
    struct entry *entry, const char *path, SoupServerCallback handler);
/* Answers with an error object, its verdict and Retry-After. */
void answer_error(SoupServerMessage *message, const struct err *err);
void answer_json(
    SoupServerMessage *message, unsigned int status, JsonNode *node);
/* True when the request's bearer token has the digest `want`. */
bool bearer_is(SoupServerMessage *message, const struct digest *want);

/* ops.c: HTTP for operators. */
void ops_open(struct entry *entry);

/* lead.c: the leased role that gives a team's load orders. */
void lead_teams_changed(struct entry *entry);
void lead_wake(struct entry *entry);
void lead_order_done(struct entry *entry, struct entry_side *side,
    const struct rt_order_done *done);
/* Planned stop: gives the role up at once. */
void lead_hand_over(struct lead *lead);
/* Whether this entry holds the role of a team. */
bool lead_holds(const struct entry *entry, const char *team);

/* timeline.c: the events of all processes in one order. */
void timeline_collect(struct entry *entry, SoupServerMessage *message);

/* cli.c: operators' commands over HTTP to any entry. */
int cli_main(int argc, const char **argv);

#endif
