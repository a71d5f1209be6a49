#ifndef ROUTE_H
#define ROUTE_H

/*
 * route: routing of a caller's request to the target that answers it. This
 * header declares the messages between gateways and sidecars, the traffic
 * split between model versions, and the state machine of a request's attempts
 * (charts/attempt.yaml). Targets, admission, limits and claims have headers of
 * their own, included here.
 *
 * The functions take the state, an event and the current time, and do no I/O;
 * programs/entry and programs/side carry out what they decide.
 */

#include "chart/chart.h"
#include "common/common.h"
#include "route/admit.h"
#include "route/claim.h"
#include "route/fleet.h"
#include "route/limit.h"

/* ------------------------------------------------------------------ */
/* Messages of gateways and sidecars (types 20-39)                     */
/* ------------------------------------------------------------------ */

#define RT_PATH_MAX 2048
#define RT_HEADERS_MAX (16u << 10)
#define RT_BODY_MAX (1u << 20)
#define RT_DATA_MAX (64u << 10) /* bounded so that streams share the link */
#define RT_WINDOW_BYTES (256u << 10) /* flow-control window of one stream */

enum rt_type {
	RT_REQUEST = 20,
	RT_HEAD,
	RT_DATA,
	RT_END,
	RT_CANCEL,
	RT_WINDOW_UPDATE,
	RT_WATCH,
	RT_TARGET,
	RT_ORDER,
	RT_ORDER_DONE,
	RT_STATUS_GET,
	RT_STATUS,
	RT_EVENTS_GET,
	RT_EVENTS,
	RT_DEMAND, /* from here on between gateways */
	RT_STALLED, /* sidecar to gateway */
	RT_CLAIM = 36,
	RT_CLAIM_ANSWER,
	RT_CLAIM_SETTLE,
};

/* Gateway to sidecar: run this request at the named target. */
struct rt_request {
	uint64_t stream; /* chosen by the gateway, unique per connection */
	struct slice request_id;
	uint64_t attempt;
	uint64_t deadline_ms; /* time remaining: the hosts' clocks differ */
	struct slice target;
	struct slice method;
	struct slice path;
	struct slice headers; /* "Name: value\n" lines */
	struct slice body;
	struct digest expect; /* required loaded version; zero: any */
	uint64_t idempotent;
	uint64_t priority;
	uint64_t stall_ms; /* abort if the target sends nothing for this long */
	uint64_t stall_notice; /* send rt_stalled instead, each `stall_ms` */
};

/* Sidecar to gateway: status and headers of the target's answer. */
struct rt_head {
	uint64_t stream;
	uint64_t status;
	struct slice headers;
	struct digest loaded; /* version that the engine's answer names */
};

struct rt_data {
	uint64_t stream;
	struct slice bytes;
};

/* Sidecar to gateway: last message of a stream; also carries the load. */
struct rt_end {
	uint64_t stream;
	uint64_t code; /* enum err_code */
	uint64_t verdict; /* enum verdict */
	uint64_t retry_after_ms;
	struct slice message;
	uint64_t running; /* requests at the target, as the sidecar counts */
	uint64_t slots;
};

struct rt_cancel {
	uint64_t stream;
};

/* The target has sent nothing for `stall_ms`; the request goes on. */
struct rt_stalled {
	uint64_t stream;
};

/* Gateway to sidecar: window update; the caller consumed this many bytes. */
struct rt_window {
	uint64_t stream;
	uint64_t bytes;
};

/* Gateway to sidecar: send all targets now and each one that changes. */
struct rt_watch {
	uint64_t ignored;
};

struct rt_target_msg {
	struct slice name;
	uint64_t kind;
	struct slice workspace;
	struct slice pool;
	struct slice service;
	struct digest loaded;
	uint64_t accepting;
	uint64_t running;
	uint64_t slots;
	uint64_t count; /* total number of targets of this sidecar */
	uint64_t drain_ordered; /* an RT_ORDER_DRAIN is active */
};

enum rt_order_kind {
	RT_ORDER_LOAD, /* load this version into the engine */
	RT_ORDER_DRAIN, /* accept no new requests at this target */
	RT_ORDER_ADMIT, /* accept requests again */
};

/* Holder of a leased role to sidecar; subject to the fencing check. */
struct rt_order {
	struct slice role;
	uint64_t fence;
	struct slice order_id;
	uint64_t kind;
	struct slice target;
	struct slice model;
	struct slice version;
	struct digest root;
	uint64_t bytes;
	uint64_t chunk_bytes;
};

struct rt_order_done {
	struct slice order_id;
	uint64_t code;
	uint64_t verdict;
	struct slice message;
	struct digest loaded;
};

/* Asks a sidecar for the transfer progress of a version. */
struct rt_status_get {
	struct digest root;
};

struct rt_status {
	struct digest root;
	uint64_t phase; /* enum wts_phase */
	uint64_t have;
	uint64_t total;
	struct slice why;
};

struct rt_events_get {
	uint64_t since;
};

struct rt_events {
	uint64_t next;
	struct slice json; /* an array of events */
};

/* Gateway to gateway: a workspace's local demand; see lim_reported(). */
struct rt_demand {
	struct slice workspace;
	uint64_t demand_milli_s;
};

/* Gateway to the owner of a bucket of claims; see clm_request(). */
struct rt_claim {
	uint64_t number; /* chosen by the sender, unique per connection */
	struct slice key;
	struct slice claimant;
	struct digest body;
	uint64_t keep_ms;
	uint64_t wait_ms; /* time remaining: the hosts' clocks differ */
};

struct rt_claim_answer {
	uint64_t number;
	uint64_t result; /* enum clm_result */
	struct slice owner;
	uint64_t status;
	struct slice type;
	struct slice answer;
	uint64_t has_answer; /* 0: only the digest was retained */
	struct digest digest;
};

/* Outcome of a claimed request; see clm_settle(). Has no reply. */
struct rt_claim_settle {
	struct slice key;
	struct slice claimant;
	uint64_t verdict;
	uint64_t status;
	struct slice type;
	struct slice answer;
	uint64_t has_answer;
	struct digest digest;
};

extern const struct msg_desc rt_request_desc;
extern const struct msg_desc rt_head_desc;
extern const struct msg_desc rt_data_desc;
extern const struct msg_desc rt_end_desc;
extern const struct msg_desc rt_cancel_desc;
extern const struct msg_desc rt_stalled_desc;
extern const struct msg_desc rt_window_desc;
extern const struct msg_desc rt_watch_desc;
extern const struct msg_desc rt_target_desc;
extern const struct msg_desc rt_order_desc;
extern const struct msg_desc rt_order_done_desc;
extern const struct msg_desc rt_status_get_desc;
extern const struct msg_desc rt_status_desc;
extern const struct msg_desc rt_events_get_desc;
extern const struct msg_desc rt_events_desc;
extern const struct msg_desc rt_demand_desc;
extern const struct msg_desc rt_claim_desc;
extern const struct msg_desc rt_claim_answer_desc;
extern const struct msg_desc rt_claim_settle_desc;

/* ------------------------------------------------------------------ */
/* Catalogue: a workspace's settings branch in typed form              */
/* ------------------------------------------------------------------ */

struct rt_version {
	char name[RT_NAME_MAX + 1];
	struct digest root;
	uint64_t bytes;
	uint64_t chunk_bytes;
	const char *weights; /* names at the origin, borrowed from the branch */
	const char *chunks;
	unsigned int weight; /* traffic share; 0 for all versions: no rules */
};

struct rt_model {
	char name[RT_NAME_MAX + 1];
	char pool[RT_NAME_MAX + 1];
	const char **domains; /* NULL-terminated; empty: any domain */
	unsigned int hosts; /* 0: all hosts of the pool */
	struct rt_version *versions;
	size_t nversions;
	const struct rt_version *rollout; /* version to roll out, or NULL */
	bool time_first;
	unsigned int origin_copies;
	unsigned int max_unavailable;
	bool room_for_two; /* two versions fit in the engine during a load */
};

struct rt_service {
	char name[RT_NAME_MAX + 1];
	char pool[RT_NAME_MAX + 1];
	const char **idempotent_methods; /* NULL-terminated */
	unsigned int stall_ms;
};

struct rt_workspace {
	char name[RT_NAME_MAX + 1];
	uint64_t version; /* of the branch */
	struct cfg *cfg; /* owns the strings borrowed below */
	unsigned int requests_s; /* 0: no limit */
	unsigned int queue;
	unsigned int weight;
	unsigned int default_deadline_ms, max_deadline_ms;
	unsigned int retry_budget_permille;
	struct digest caller_token, operator_token; /* zero: not set */
	struct rt_model *models;
	size_t nmodels;
	struct rt_service *services;
	size_t nservices;
};

/* Reads a validated branch; takes ownership of `cfg`. */
struct rt_workspace *rt_workspace_read(struct cfg *cfg, uint64_t version);
void rt_workspace_free(struct rt_workspace *workspace);
const struct rt_model *rt_workspace_model(
    const struct rt_workspace *workspace, const char *name);
const struct rt_service *rt_workspace_service(
    const struct rt_workspace *workspace, const char *name);
bool rt_service_is_idempotent(
    const struct rt_service *service, const char *method);
/* Whether the model may be placed on a target of this pool and domain. */
bool rt_model_placed(
    const struct rt_model *model, const char *pool, const char *domain);
const struct rt_version *rt_model_version(
    const struct rt_model *model, const struct digest *root);
/*
 * Returns the number of versions that may answer a request and stores their
 * digest roots, the preferred one first; `roots` has room for
 * model->nversions. With traffic rules, the first is drawn by weight from
 * `draw` (the request's hash), the others of non-zero weight are fallbacks
 * where it is not in service, and `ranked` is set. Without rules all versions
 * are equivalent: the old one serves until that of the rollout is loaded.
 */
size_t rt_model_roots(const struct rt_model *model, uint64_t draw,
    struct digest *roots, bool *ranked);

/*
 * A sidecar's targets as text in its membership record, from which other nodes
 * compute placement: "NAME,engine|service,TEAM,POOL,SERVICE;...". TEAM is the
 * workspace.
 */
struct rt_target_info {
	char name[RT_NAME_MAX + 1];
	enum rt_target_kind kind;
	char workspace[RT_NAME_MAX + 1];
	char pool[RT_NAME_MAX + 1];
	char service[RT_NAME_MAX + 1];
};
void rt_info_append(GString *out, const struct rt_target_info *target);
/* Calls `each` for each target in the text; skips malformed elements. */
void rt_info_each(const char *info,
    void (*each)(const struct rt_target_info *target, void *ctx), void *ctx);

/*
 * Placement of a model on hosts, equal on all nodes with the same membership:
 * all hosts that have a target of the model's pool in its domains or, with
 * rt_model.hosts set, that many of them by rendezvous hash of model and host,
 * so that the loss of a host moves one replica only.
 */
struct rt_place_host {
	char id[RT_NAME_MAX + 1];
	char address[RT_NAME_MAX + 1];
	char domain[RT_NAME_MAX + 1];
	uint64_t rank;
};

struct rt_place; /* a placement that is being computed */
struct rt_place *rt_place_new(
    const char *workspace, const struct rt_model *model);
/* Adds a live host with its target text; ignores it if none is eligible. */
void rt_place_add_host(struct rt_place *place, const char *id,
    const char *address, const char *domain, const char *info);
/* Returns the hosts by rank and frees `place`. Free with g_array_unref. */
GArray *rt_place_finish(struct rt_place *place);
bool rt_place_has(const GArray *hosts, const char *id);

/* ------------------------------------------------------------------ */
/* Attempts                                                            */
/* ------------------------------------------------------------------ */

/*
 * State machine of one request over all its attempts, defined by
 * charts/attempt.yaml. Events come from connections and the clock; actions are
 * carried out through the callbacks.
 */
enum att_event {
	ATT_START, /* admitted */
	ATT_CLAIMED, /* the key's claim was granted */
	ATT_REFUSED, /* attempt ended with verdict NOT_RUN */
	ATT_LOST, /* attempt or connection ended with MAY_HAVE_RUN */
	ATT_HEAD, /* first byte of an answer */
	ATT_DONE, /* complete answer, verdict RAN */
	ATT_DEADLINE,
	ATT_CALLER_GONE,
	ATT_EVENTS,
};

struct att_facts {
	bool idempotent; /* may run more than once */
	unsigned int attempts; /* started so far */
	unsigned int max_attempts;
	bool budget; /* the retry budget allows a retry */
	bool time_left; /* the deadline allows a retry */
	bool nothing_sent; /* no target has received the current attempt */
	bool keyed; /* requires a claim and a recorded outcome */
};

struct att_ops {
	void (*dispatch)(void *ctx); /* choose a target and send */
	void (*pass_head)(void *ctx); /* start the answer to the caller */
	void (*finish)(void *ctx); /* complete the answer */
	void (*fail)(void *ctx); /* final error, with the verdict */
	void (*cut)(void *ctx); /* visible error inside a started answer */
	void (*cancel)(void *ctx); /* cancel the work at the target */
	/* For keyed requests only; NULL where there are none. */
	void (*claim)(void *ctx); /* request the claim */
	void (*detach)(void *ctx); /* the caller disconnected; work goes on */
	/* Records the outcome from `may_have_run` and the answer; the last
	 * action of each keyed request that requested a claim. */
	void (*settle)(void *ctx);
};

struct att_chart; /* the chart and its event numbers, one per process */
struct att_chart *att_chart_load(const char *charts_dir, struct err *err);
void att_chart_free(struct att_chart *chart);

struct att {
	const struct att_chart *chart;
	const struct att_ops *ops;
	void *ctx;
	int state;
	struct att_facts facts;
	bool may_have_run; /* an attempt may have run; final verdict */
	/* Set during a step: an action must not deliver an event, as the
	 * outer step would overwrite the state that the inner one set. */
	bool in_step;
};
void att_init(struct att *att, const struct att_chart *chart,
    const struct att_ops *ops, void *ctx);
void att_step(struct att *att, enum att_event event);
bool att_is_over(const struct att *att);

#endif
