#ifndef ENTRY_H
#define ENTRY_H

/*
 * The entry process, a gateway: accepts callers' HTTP requests, chooses a
 * target, forwards through the target's sidecar and tracks the verdict; serves
 * the operators' HTTP; holds leased roles.
 */

#include <json-glib/json-glib.h>

#include "agree/agree.h"
#include "route/admit.h"
#include "route/limit.h"
#include "route/route.h"
#include "serve/suspect.h"
#include "shared/http.h"
#include "shared/proc.h"
#include "weights/weights.h"

struct entry;
struct claims;
struct entry_peer;
struct gatekeeper;
struct rollout_leader;
struct request;

/* A sidecar as known at this gateway. */
struct entry_sidecar {
	TAILQ_ENTRY(entry_sidecar) link;
	struct entry *entry;
	char id[RT_NAME_MAX + 1];
	char address[MEM_ADDRESS_MAX + 1];
	char domain[RT_NAME_MAX + 1];
	char info[MEM_INFO_MAX + 1];
	struct conn *conn; /* NULL between connection attempts */
	bool open;
	bool leaving; /* by its membership state */
	guint retry_timer;
	unsigned int retry_ms;
	GHashTable *streams; /* stream number -> struct request */
	GHashTable *statuses; /* struct digest -> struct version_status */
	/* struct digest -> time (us) of the last status request. */
	GHashTable *status_requested_us;
};

/* Transfer of a version to a sidecar's host, as last reported. */
struct version_status {
	struct digest root;
	enum wts_phase phase;
	uint64_t have, total;
	char why[120];
};

TAILQ_HEAD(entry_sidecars, entry_sidecar);
TAILQ_HEAD(entry_peers, entry_peer);

struct entry {
	struct proc proc;
	SoupServer *http;
	struct http_requests http_requests;
	struct conn_server *server;
	struct att_chart *attempts;
	struct entry_sidecars sidecars;
	struct entry_peers peers;
	struct gatekeeper *gatekeeper;
	struct claims *claims;
	GHashTable *pending_claims; /* number -> struct claim */
	uint64_t next_claim;
	unsigned int live_gateways; /* gateways, this one included */
	struct rt_targets targets;
	struct rt_fleet *fleet; /* index of `targets`, for the choice */
	GHashTable *workspaces; /* branch name -> struct rt_workspace */
	struct cfg *root; /* the root branch; NULL before it is active */
	struct rng rng;
	uint64_t next_stream;
	uint64_t next_request;
	uint32_t run_id; /* random; ids must differ after a restart */
	unsigned int open_requests;
	struct sus *suspects;
	GHashTable *leaders; /* workspace name -> struct rollout_leader */
	guint leader_idle;
	bool leaving; /* a planned stop is under way */
	bool refusing; /* late in it: new requests are refused */
	bool draining; /* the settings drain this process */
	guint stop_timer;
};

/* serve.c */
int serve_main(const char *settings);
bool entry_is_ready(const struct entry *entry);
const struct rt_workspace *entry_workspace(
    const struct entry *entry, const char *name);

/* sides.c: connections to the sidecars and their messages. */
void sidecars_member_changed(
    struct entry *entry, const struct mem_member *member);
struct entry_sidecar *sidecars_find(struct entry *entry, const char *id);
/* To be called when the drain settings change. */
void sidecars_apply_drain(struct entry *entry);

/* request.c: one caller's request and its attempts. */
struct request_params { /* borrowed; copied by request_start */
	SoupServerMessage *message;
	const struct rt_workspace *workspace;
	/* One of these two is set. */
	const struct rt_model *model;
	const struct rt_service *service;
	const char *method;
	const char *path;
	const char *key; /* Idempotency-Key; NULL: none */
	GBytes *body;
	bool streamed; /* server-sent events, forwarded as they arrive */
	bool idempotent;
	unsigned int deadline_ms;
	unsigned int priority;
	uint64_t prefix; /* hash of the prompt's first bytes; 0: none */
	/* Fingerprints of the messages that other prompts may share. */
	const uint64_t *parts;
	size_t nparts;
	unsigned int tokens; /* requested; 0: not a request to a model */
};
/* Returns false when the request is refused before it starts; `err` is then to
 * be sent to the caller. */
bool request_start(
    struct entry *entry, const struct request_params *params, struct err *err);
/* Callbacks of admission for the tickets in requests. */
const struct adm_ops *request_adm_ops(void);
void request_head(struct request *r, const struct rt_head *head);
void request_data(struct request *r, const uint8_t *bytes, size_t len);
/* The target of an attempt has sent nothing for the stall limit. */
void request_stalled(struct request *r, int64_t stream);
/* The attempt has ended; may free the request, as may the others. */
void request_end(struct request *r, int64_t stream, const struct err *err);
struct rt_target *request_target(struct request *r, int64_t stream);
/* Cancels an attempt whose answer has not begun, and ends the request. */
void request_recall(struct request *r);

/* suspects.c: requests under which engines terminated */
void suspects_open(struct entry *entry);
/* Whether the request must not be sent now; `err` then says until when. */
bool suspects_block(struct request *r, struct err *err);
void suspects_note_sent(struct request *r); /* see sus_sent() */
void suspects_void_probe(struct request *r); /* see sus_void_probe() */
/* The attempt was cut off by its target, which had a complete answer or not. */
void suspects_note_cut(struct request *r);
void suspects_note_answered(struct request *r);
void suspects_target_terminated(struct entry *entry, const struct rt_target *t);
/* Sends all that is blocked to a gateway that may have started just now. */
void suspects_send_blocked(struct entry *entry, const char *to);
/* SIDE_TERMINATIONS from another gateway. */
void suspects_message(struct entry *entry, const struct msg *m);

/* peers.c: connections to the other gateways. */
void peers_member_changed(struct entry *entry, const struct mem_member *member);
/* Returns false when there is no open connection; nothing is queued. */
bool peers_send(struct entry *entry, const char *id,
    const struct msg_desc *desc, const void *message);
void peers_send_all(
    struct entry *entry, const struct msg_desc *desc, const void *message);

/* claims.c: the buckets of claims, at their owner. */
void claims_open(struct entry *entry);
/* Handles a claim request of this or another gateway (`from`), which receives
 * the answer by claim_answered. */
void claims_request(
    struct entry *entry, const char *from, const struct rt_claim *claim);
void claims_settle(struct entry *entry, const struct rt_claim_settle *settle);
/* RT_CLAIM and RT_CLAIM_SETTLE from another gateway. */
void claims_message(struct entry *entry, const char *from, const struct msg *m);
/* The gateway that should own a bucket: the same at all gateways that know the
 * same members. */
const char *claims_owner(struct entry *entry, unsigned int bucket);
void claims_members_changed(struct entry *entry);
void claims_gateway_removed(struct entry *entry, const char *id);
/* Planned stop: releases all buckets at once, so that others can own them. */
void claims_leave(struct entry *entry);

/* claim_ask.c: the claim of one request, requested from the bucket's owner. */
struct claim;
struct claim_params { /* copied */
	const char *key;
	struct digest body;
	const char *claimant; /* "GATEWAY/REQUEST", the ids of both */
	unsigned int keep_ms;
	int64_t until_us;
};
/* Called once, from the main loop; the claim is freed after it. */
typedef void claim_cb(
    enum clm_result result, const struct clm_outcome *outcome, void *ctx);
struct claim *claim_start(struct entry *entry,
    const struct claim_params *params, claim_cb *done, void *ctx);
/* Cancels the callback. The key, which may have been claimed, is still to be
 * settled by claim_settle. */
void claim_cancel(struct claim *c);
void claim_settle(struct entry *entry, const char *key, const char *claimant,
    const struct clm_outcome *outcome);
void claim_answered(struct entry *entry, const struct rt_claim_answer *answer);
/* RT_CLAIM_ANSWER from another gateway. */
void claim_answer_message(struct entry *entry, const struct msg *m);

/* gatekeeper.c: rate limits, admission queues and the retry budget. */
void gatekeeper_open(struct entry *entry);
void gatekeeper_set_workspace(
    struct entry *entry, const struct rt_workspace *workspace);
void gatekeeper_members_changed(struct entry *entry);
void gatekeeper_gateway_removed(struct entry *entry, const char *id);
void gatekeeper_demand_received(
    struct entry *entry, const char *from, const struct msg *m);
/* To be called when the state of a target changed. */
void gatekeeper_target_changed(
    struct entry *entry, const struct rt_target *target);
struct adm_queue *gatekeeper_queue(struct entry *entry, const char *workspace,
    const char *model, const char *service);
/* Counts a request against the workspace's limit; ERR_OVERLOADED above it. */
bool gatekeeper_take(
    struct entry *entry, const char *workspace, struct err *err);
bool gatekeeper_may_retry(struct entry *entry, const char *workspace);
void gatekeeper_retried(struct entry *entry, const char *workspace);

/* caller.c: HTTP for callers, health, counters, events. */
void caller_open(struct entry *entry);
/* Adds a handler together with the check that bounds bodies. */
void caller_handle(
    struct entry *entry, const char *path, SoupServerCallback handler);
/* Answers with a JSON error object, the header X-Verdict (whether the request
 * may have run, enum verdict) and, if known, Retry-After. */
void answer_error(SoupServerMessage *message, const struct err *err);
void answer_json(
    SoupServerMessage *message, unsigned int status, JsonNode *node);
/* True when the request's bearer token has the digest `want`. */
bool bearer_is(SoupServerMessage *message, const struct digest *want);

/* ops.c: HTTP for operators. */
void ops_open(struct entry *entry);

/* lead.c: the leased role whose holder gives a workspace's load orders. */
void leader_workspaces_changed(struct entry *entry);
void leader_wake(struct entry *entry);
void leader_order_done(struct entry *entry, struct entry_sidecar *sidecar,
    const struct rt_order_done *done);
/* Planned stop: gives the role up at once. */
void leader_resign(struct rollout_leader *leader);
/* Whether this gateway holds the role of a workspace. */
bool leader_is_local(const struct entry *entry, const char *workspace);

/* timeline.c: the events of all processes, in the order of their
 * hybrid logical clocks. */
void timeline_collect(struct entry *entry, SoupServerMessage *message);

/* cli.c: operators' commands, over HTTP to any gateway. */
int cli_main(int argc, const char **argv);

#endif
