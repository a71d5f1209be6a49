#ifndef SERVE_RECORDS_H
#define SERVE_RECORDS_H

/*
 * Typed records of operators' settings, targets and engines' reports. The
 * adapter of a deployment decodes its own names and formats into these; the
 * rest of the program uses only these records.
 */

#include "common/common.h"

/* ------------------------------------------------------------------ */
/* Operators' settings                                                 */
/* ------------------------------------------------------------------ */

enum sv_kind {
	SV_SAFE, /* may run more than once */
	SV_UNSAFE, /* at most one run */
	SV_STREAM, /* a stream of events; at most one run unless resumable */
};

/* One of the services that share a route's requests. */
struct sv_share {
	char *service;
	unsigned int weight;
};

struct sv_route {
	char *name;
	char *host;
	char *prefix; /* of the path; begins and ends with a slash */
	enum sv_kind kind;
	int64_t timeout_us; /* time limit for an answer; 504 after it */
	/* An answer (for a stream, its beginning) by then has full value. */
	int64_t objective_us;
	int64_t gap_us; /* objective for the gap between events; 0: none */
	int priority; /* 0 is the most urgent */
	unsigned int attempts; /* targets that one request may be sent to */
	bool anonymous; /* needs no key */
	bool resumable; /* a stream may continue at another target */
	struct sv_share *shares;
	size_t nshares;
};

/* Timing model of an engine's batch. */
struct sv_engine {
	char model[64]; /* that it serves; "": not specified */
	unsigned int slots;
	double step_us; /* base time of a token step */
	double sequence_us; /* added to a step for each sequence */
	/* Added to a step for each 1,000 tokens of context. */
	double context_us;
	double prefill_per_s; /* prompt tokens read per second */
	double pairs_us; /* for each million pairs of prompt tokens */
	unsigned int prefill_step_max; /* prompt tokens read in a step */
	unsigned int stride; /* steps per pass while any output is written */
	unsigned int mean_prompt, mean_answer; /* mean numbers of tokens */
	unsigned int layers;
	double warm_us; /* loading all layers from the staging area */
	uint64_t chunks, chunk_bytes; /* of a version's weights */
};

struct sv_service {
	char *name;
	char *health_path;
	/* That a target accepts from all callers. */
	unsigned int connections_max;
	char *origin; /* address of the weights' origin, or NULL */
	char *domain; /* of the origin, or NULL */
	bool has_engine;
	struct sv_engine engine;
};

struct sv_workspace {
	char *name;
	int priority; /* INT_MAX: none is set */
	char **keys; /* NULL-terminated */
};

struct sv_config {
	int64_t version; /* increases with each change */
	struct sv_route *routes;
	size_t nroutes;
	struct sv_service *services;
	size_t nservices;
	struct sv_workspace *workspaces;
	size_t nworkspaces;
	size_t head_bytes, body_bytes; /* limits for callers' requests */
	int64_t head_us, idle_us;
};

void sv_config_free(struct sv_config *c);
const struct sv_service *sv_config_service(
    const struct sv_config *c, const char *name);
/* Whether every request to the service can continue at another target when
 * it is cut: all its routes carry resumable streams. */
bool sv_config_may_cut(const struct sv_config *c, const char *service);

/* ------------------------------------------------------------------ */
/* Targets and versions                                                */
/* ------------------------------------------------------------------ */

#define SV_ID_MAX 64

/* A sound target may be silent for a second or so; one that is silent for longer
 * counts as failed. */
#define SV_SILENCE_MAX_US 2000000
#define SV_ADDRESS_MAX 24 /* fits "ip:port" */

/* Loaded layers [from, to) of a model. */
struct sv_layers {
	unsigned int from, to; /* to: 0: not reported, taken for all */
};

/* Whether these are all `n` layers; n: 0: not known. */
bool sv_layers_complete(const struct sv_layers *l, unsigned int n);

/* A target's own record in the store, under its instance id. */
struct sv_target {
	char id[SV_ID_MAX];
	char service[SV_ID_MAX];
	char address[SV_ADDRESS_MAX];
	char domain[SV_ID_MAX]; /* failure domain */
	/* Start of the target, Unix time; 0: not known. A target that
	 * restarts may keep its id: with another start time it is another
	 * target. */
	int64_t start_ms;
	unsigned int slots;
	bool leaving; /* announced a planned stop */
	bool has_models; /* it reports models at all */
	char model[SV_ID_MAX]; /* "" when none is loaded */
	int64_t model_version; /* 0: none, or several */
	struct sv_layers layers; /* of the model */
};

/* New weights, announced by an operator. */
struct sv_version {
	char model[SV_ID_MAX];
	int64_t version;
};

/* An order to load the staged chunks of a version. */
struct sv_load {
	const char *model;
	int64_t version;
	struct sv_layers layers; /* to: 0: all */
	/* Orders that the engine must have begun, or it refuses; -1: any. */
	int64_t sequence;
	/* The engine aborts its running requests; otherwise it finishes them
	 * before it loads. */
	bool preempt;
};

/* An engine's answer to a status request. */
struct sv_report {
	char model[SV_ID_MAX]; /* "" when none is loaded */
	int64_t version; /* 0: none, or several */
	struct sv_layers layers; /* of the model */
	int64_t sequence; /* orders begun since its start; -1: not reported */
	int64_t start_ms; /* its start, Unix time; 0: not known */
	bool busy; /* an order is in progress */
	unsigned int running, waiting;
	uint64_t memory_used, memory_total; /* in the engine's units */
	/* Step time relative to the configured one, over 1: slower; 0: not
	 * known. */
	double slowdown;
};

/* ------------------------------------------------------------------ */
/* Header fields of requests and answers                               */
/* ------------------------------------------------------------------ */

enum sv_field {
	SV_F_REQUEST_ID, /* of one attempt by the caller; echoed */
	SV_F_DEADLINE_MS, /* time left until the caller's deadline */
	SV_F_SEAL, /* the target's authentication of its answer */
	SV_F_WORKSPACE, /* sent to the target, never accepted from callers */
	SV_F_KEY, /* the caller's key, never sent to the target */
	SV_F_EXPECT_INSTANCE,
	SV_F_EXPECT_VERSION, /* of weights */
	SV_F_URGENCY, /* 0 is the most urgent */
	SV_F_LAST_EVENT, /* a stream continues after this event */
	SV_F_LOAD, /* running, waiting, slots */
	/* Requests a second that the target takes from all gateways. */
	SV_F_LIMIT,
	SV_F_LEAVING, /* "1": the target is about to stop */
	SV_F_RETRY_AFTER, /* seconds, in a refusal */
	SV_F_NOT_RUN, /* the target refused the request before it began */
	SV_F_INSTANCE,
	SV_F_MODEL,
	SV_F_TOKENS, /* of the prompt, and at most of the answer */
	SV_F_PREFIX, /* parts of the prompt */
	SV_F_LENGTH_HINT, /* the caller's estimate of answer tokens */
	SV_F_WEIGHTS, /* version that produced the answer */
	SV_FIELDS,
};

/* A deployment's names of the fields. */
struct sv_dialect {
	const char *header[SV_FIELDS];
	const char *key_scheme; /* precedes the key, with a trailing space */
	/* Finds the ids of the parts of a prompt that several requests may
	 * share, in the value of SV_F_PREFIX. They point into `value`. Returns
	 * their number, at most `max`. NULL: prompts have no such parts. */
	size_t (*shared_parts)(
	    struct slice value, struct slice *ids_out, size_t max);
};

#endif
