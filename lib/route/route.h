#ifndef ROUTE_H
#define ROUTE_H

/*
 * route: from a caller's request to the target that answers it. The messages
 * between entry and side, the split between versions, and the life of an
 * attempt (charts/attempt.yaml). Targets, admission, limits and claims have
 * headers of their own, included here.
 *
 * Everything here decides over (state, event, now); programs/entry and
 * programs/side carry it out.
 */

#include "chart/chart.h"
#include "common/common.h"
#include "route/admit.h"
#include "route/claim.h"
#include "route/fleet.h"
#include "route/limit.h"

/* ------------------------------------------------------------------ */
/* Messages of entries and sides (types 20-39)                         */
/* ------------------------------------------------------------------ */

#define RT_PATH_MAX 2048
#define RT_HEADERS_MAX (16u << 10)
#define RT_BODY_MAX (1u << 20)
#define RT_DATA_MAX (64u << 10) /* so that streams take turns on the link */
#define RT_WINDOW (256u << 10) /* unread bytes of one stream in flight */

enum rt_type {
	RT_REQUEST = 20,
	RT_HEAD,
	RT_DATA,
	RT_END,
	RT_CANCEL,
	RT_WINDOW_MORE,
	RT_WATCH,
	RT_TARGET,
	RT_ORDER,
	RT_ORDER_DONE,
	RT_STATUS_GET,
	RT_STATUS,
	RT_EVENTS_GET,
	RT_EVENTS,
	RT_DEMAND, /* between entries from here on */
	RT_CLAIM = 36,
	RT_CLAIM_ANSWER,
	RT_CLAIM_SETTLE,
};

/* Entry to side: run this at your target. */
struct rt_request {
	uint64_t stream; /* chosen by the entry, unique per connection */
	struct slice request_id;
	uint64_t attempt;
	uint64_t deadline_ms; /* left, not absolute: clocks differ */
	struct slice target;
	struct slice method;
	struct slice path;
	struct slice headers; /* "Name: value\n" lines */
	struct slice body;
	struct digest expect; /* version that must be loaded; zero: any */
	uint64_t idempotent;
	uint64_t priority;
	uint64_t stall_ms; /* no byte from the target for so long ends it */
};

/* Side to entry: the target began to answer. */
struct rt_head {
	uint64_t stream;
	uint64_t status;
	struct slice headers;
	struct digest loaded; /* named by the engine in its answer */
};

struct rt_data {
	uint64_t stream;
	struct slice bytes;
};

/* Side to entry: last message of a stream. Load rides on it. */
struct rt_end {
	uint64_t stream;
	uint64_t code; /* enum err_code */
	uint64_t verdict; /* enum verdict */
	uint64_t retry_after_ms;
	struct slice message;
	uint64_t running; /* at the target now, as the side counts them */
	uint64_t slots;
};

struct rt_cancel {
	uint64_t stream;
};

/* Entry to side: the caller took so many bytes more. */
struct rt_window {
	uint64_t stream;
	uint64_t bytes;
};

/* Entry to side: tell me your targets now and at every change. */
struct rt_watch {
	uint64_t ignored;
};

struct rt_target_msg {
	struct slice name;
	uint64_t kind;
	struct slice team;
	struct slice pool;
	struct slice service;
	struct digest loaded;
	uint64_t accepting;
	uint64_t running;
	uint64_t slots;
	uint64_t count; /* targets of this side in all */
	uint64_t ordered_off; /* an order keeps it from new work */
};

enum rt_order_kind {
	RT_ORDER_LOAD, /* load this version into the engine */
	RT_ORDER_DRAIN, /* take no new work on this target */
	RT_ORDER_ADMIT, /* take work again */
};

/* Holder of a leased role to side; passes the order gate or is refused. */
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

/* How far a version has come at a side. */
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

/* Entry to entry: what is asked of me for this team; see lim_reported(). */
struct rt_demand {
	struct slice team;
	uint64_t demand_milli_s;
};

/* Entry to the owner of a bucket of claims; see clm_ask(). */
struct rt_claim {
	uint64_t number; /* chosen by the asker, unique per connection */
	struct slice key;
	struct slice asker;
	struct digest body;
	uint64_t keep_ms;
	uint64_t wait_ms; /* left, not absolute: clocks differ */
};

struct rt_claim_answer {
	uint64_t number;
	uint64_t result; /* enum clm_result */
	struct slice owner;
	uint64_t status;
	struct slice type;
	struct slice answer;
	uint64_t has_answer; /* else only its digest was kept */
	struct digest digest;
};

/* How a claim ended; see clm_settle(). Not answered. */
struct rt_claim_settle {
	struct slice key;
	struct slice asker;
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
/* Catalogue: a team's branch in typed form                            */
/* ------------------------------------------------------------------ */

struct rt_version {
	char name[RT_NAME_MAX + 1];
	struct digest root;
	uint64_t bytes;
	uint64_t chunk_bytes;
	const char *weights; /* names at the origin, borrowed from the branch */
	const char *chunks;
	unsigned int weight; /* share of live traffic; all 0: no rules */
};

struct rt_model {
	char name[RT_NAME_MAX + 1];
	char pool[RT_NAME_MAX + 1];
	const char **domains; /* NULL-terminated; empty: everywhere */
	unsigned int hosts; /* 0: all hosts of the pool */
	struct rt_version *versions;
	size_t nversions;
	const struct rt_version *rollout; /* version wanted; NULL: none */
	bool time_first;
	unsigned int origin_copies;
	unsigned int max_unavailable;
	bool room_for_two; /* the engine holds two versions while it loads */
};

struct rt_service {
	char name[RT_NAME_MAX + 1];
	char pool[RT_NAME_MAX + 1];
	const char **idempotent_methods; /* NULL-terminated */
	unsigned int stall_ms;
};

struct rt_team {
	char name[RT_NAME_MAX + 1];
	uint64_t version; /* of the branch */
	struct cfg *cfg; /* owned copy the borrowed strings live in */
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

/* Reads a checked branch; takes over `cfg`. */
struct rt_team *rt_team_read(struct cfg *cfg, uint64_t version);
void rt_team_free(struct rt_team *team);
const struct rt_model *rt_team_model(
    const struct rt_team *team, const char *name);
const struct rt_service *rt_team_service(
    const struct rt_team *team, const char *name);
bool rt_service_is_idempotent(
    const struct rt_service *service, const char *method);
/* Whether a target of this pool in this domain is a place for the model. */
bool rt_model_placed(
    const struct rt_model *model, const char *pool, const char *domain);
const struct rt_version *rt_model_version(
    const struct rt_model *model, const struct digest *root);
/*
 * The versions a request may be answered from, best first; `roots` has room
 * for model->nversions. With rules the first is drawn by weight from `draw`
 * (the request's hash), the others that have a weight stand in where it is
 * not in service, and `ranked` is set; without rules every version goes
 * alike: the old one serves until the rollout's is loaded.
 */
size_t rt_model_roots(const struct rt_model *model, uint64_t draw,
    struct digest *roots, bool *ranked);

/*
 * A side's targets as text in its membership record, so that others know
 * what it is a place for: "NAME,engine|service,TEAM,POOL,SERVICE;...".
 */
struct rt_target_info {
	char name[RT_NAME_MAX + 1];
	enum rt_target_kind kind;
	char team[RT_NAME_MAX + 1];
	char pool[RT_NAME_MAX + 1];
	char service[RT_NAME_MAX + 1];
};
void rt_info_append(GString *out, const struct rt_target_info *target);
/* Calls `each` for each target in the text; malformed parts are skipped. */
void rt_info_each(const char *info,
    void (*each)(const struct rt_target_info *target, void *ctx), void *ctx);

/*
 * The hosts that a model is placed on, the same on every node with the same
 * view: all that have a target of its pool in its domains, or, with
 * `hosts` set, the first so many by a hash of model and host, so that a
 * host lost moves one replica and no other.
 */
struct rt_place_host {
	char id[RT_NAME_MAX + 1];
	char address[RT_NAME_MAX + 1];
	char domain[RT_NAME_MAX + 1];
	uint64_t rank;
};

struct rt_place; /* under construction */
struct rt_place *rt_place_new(const char *team, const struct rt_model *model);
/* Offers a live host with its target text; ignored when it has no place. */
void rt_place_offer(struct rt_place *place, const char *id, const char *address,
    const char *domain, const char *info);
/* The hosts chosen, by rank; frees `place`. Free with g_array_unref. */
GArray *rt_place_end(struct rt_place *place);
bool rt_place_has(const GArray *hosts, const char *id);

/* ------------------------------------------------------------------ */
/* Attempts                                                            */
/* ------------------------------------------------------------------ */

/*
 * The life of one request over its attempts, as charts/attempt.yaml says. The events come
 * from the connection and the clock; the actions are carried out through the callbacks.
 */
enum att_event {
	ATT_START, /* admitted */
	ATT_CLAIMED, /* the key's claim was granted */
	ATT_REFUSED, /* ended with verdict NOT_RUN */
	ATT_LOST, /* ended, or link gone, with MAY_HAVE_RUN */
	ATT_HEAD, /* first byte of an answer */
	ATT_DONE, /* whole answer, verdict RAN */
	ATT_DEADLINE,
	ATT_CALLER_GONE,
	ATT_EVENTS,
};

struct att_facts {
	bool idempotent; /* may run more than once without harm */
	unsigned int attempts; /* begun so far */
	unsigned int max_attempts;
	bool budget; /* the retry budget has room */
	bool time_left; /* the deadline leaves room for another try */
	bool nothing_sent; /* no target has the present attempt */
	bool keyed; /* must be claimed first, and its outcome recorded */
};

struct att_ops {
	void (*dispatch)(void *ctx); /* choose a target and send */
	void (*pass_head)(void *ctx); /* begin to answer the caller */
	void (*finish)(void *ctx); /* end the answer, whole */
	void (*fail)(void *ctx); /* final error with the verdict of `last` */
	void (*cut)(void *ctx); /* visible error inside a begun answer */
	void (*cancel)(void *ctx); /* stop the work at the target */
	/* Of keyed requests only; NULL where there are none. */
	void (*claim)(void *ctx); /* ask for the claim */
	void (*detach)(void *ctx); /* the caller is gone, the work goes on */
	/* The last action, in every keyed life that asked for the claim:
	 * record how it ended, as `may_have_run` and the answer say. */
	void (*settle)(void *ctx);
};

struct att_chart; /* the chart and its numbers, one per process */
struct att_chart *att_chart_load(const char *charts_dir, struct err *err);
void att_chart_free(struct att_chart *chart);

struct att {
	const struct att_chart *chart;
	const struct att_ops *ops;
	void *ctx;
	int state;
	struct att_facts facts;
	bool may_have_run; /* some attempt may have run: the final verdict */
	/* Set while a step runs: an action must not feed an event back from
	 * within, or the outer step would overwrite the inner one's state. */
	bool busy;
};
void att_init(struct att *att, const struct att_chart *chart,
    const struct att_ops *ops, void *ctx);
void att_take(struct att *att, enum att_event event);
bool att_is_over(const struct att *att);

#endif
