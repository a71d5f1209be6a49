#ifndef SERVE_RECORDS_H
#define SERVE_RECORDS_H

/*
 * Typed records of what operators, targets and engines say. The adapter of a
 * deployment decodes its own names and formats into these; everything else
 * works with these alone.
 */

#include "common/common.h"

/* ------------------------------------------------------------------ */
/* Settings by operators                                               */
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
	int64_t timeout_us; /* an answer is due: 504 at this moment */
	int64_t objective_us; /* full value if answered (begun) by then */
	int64_t gap_us; /* objective for the pause between events; 0: none */
	int priority; /* 0 first */
	unsigned int attempts; /* targets that one request may be sent to */
	bool anonymous; /* needs no key */
	bool resumable; /* a stream may go on at another target */
	struct sv_share *shares;
	size_t nshares;
};

/* How an engine's batch takes its time. */
struct sv_engine {
	char model[64]; /* that it serves; "": none is named */
	unsigned int slots;
	double step_us; /* a token step */
	double sequence_us; /* more a step for each sequence */
	double context_us; /* more a step for each 1,000 tokens of context */
	double prefill_per_s; /* prompt tokens */
	double pairs_us; /* for each million pairs of prompt tokens */
	unsigned int prefill_step_max; /* prompt tokens read a step */
	unsigned int stride; /* steps a pass, while anything is written */
	unsigned int mean_prompt, mean_answer; /* tokens, mean */
	unsigned int layers;
	double warm_us; /* loading of all layers from the staging place */
	uint64_t chunks, chunk_bytes; /* of a version's weights */
};

struct sv_service {
	char *name;
	char *health_path;
	unsigned int connections_max; /* a target takes, from all callers */
	char *origin; /* address of the weights' origin, or NULL */
	char *domain; /* that the origin is in, or NULL */
	bool has_engine;
	struct sv_engine engine;
};

struct sv_workspace {
	char *name;
	int priority; /* INT_MAX: none of its own */
	char **keys; /* NULL-terminated */
};

struct sv_config {
	int64_t version; /* grows */
	struct sv_route *routes;
	size_t nroutes;
	struct sv_service *services;
	size_t nservices;
	struct sv_workspace *workspaces;
	size_t nworkspaces;
	size_t head_bytes, body_bytes; /* what callers may send */
	int64_t head_us, idle_us;
};

void sv_config_free(struct sv_config *c);
const struct sv_service *sv_config_service(
    const struct sv_config *c, const char *name);
/* Whether every request that the service gets can go on at another target
 * when it is cut: all its routes carry streams that may be resumed. */
bool sv_config_may_cut(const struct sv_config *c, const char *service);

/* ------------------------------------------------------------------ */
/* Targets and versions                                                */
/* ------------------------------------------------------------------ */

#define SV_ID_MAX 64
#define SV_ADDRESS_MAX 24 /* "ip:port" with room */

/* What a target says of itself in the store, under its instance id. */
struct sv_target {
	char id[SV_ID_MAX];
	char service[SV_ID_MAX];
	char address[SV_ADDRESS_MAX];
	char domain[SV_ID_MAX]; /* failure domain */
	/* Start of the target, Unix time; 0: not told. One that starts again
	 * may keep its id: with another start it is another target. */
	int64_t start_ms;
	unsigned int slots;
	bool leaving; /* announced a planned stop */
	bool has_models; /* it lists models at all */
	char model[SV_ID_MAX]; /* "" when none is loaded */
	int64_t model_version; /* 0 when none is loaded whole */
};

/* New weights, named by an operator. */
struct sv_version {
	char model[SV_ID_MAX];
	int64_t version;
};

/* What an engine answers about itself. */
struct sv_report {
	char model[SV_ID_MAX]; /* "" when none is loaded */
	int64_t version; /* 0 when none is loaded whole */
	int64_t start_ms; /* its start, Unix time; 0: not told */
	bool busy; /* an order is being carried out */
	unsigned int running, waiting;
	uint64_t memory_used, memory_total; /* units of the engine */
	double slowdown; /* over 1: slower than stated; 0: not told */
};

/* ------------------------------------------------------------------ */
/* Fields in heads of requests and answers                             */
/* ------------------------------------------------------------------ */

enum sv_field {
	SV_F_REQUEST_ID, /* of one attempt by the caller; echoed */
	SV_F_DEADLINE_MS, /* what is left of the caller's time */
	SV_F_SEAL, /* the target's proof of its answer */
	SV_F_WORKSPACE, /* told to the target, never taken from callers */
	SV_F_KEY, /* the caller's key, never told to the target */
	SV_F_EXPECT_INSTANCE,
	SV_F_EXPECT_VERSION, /* of weights */
	SV_F_URGENCY, /* 0 first */
	SV_F_LAST_EVENT, /* a stream goes on after this event */
	SV_F_LOAD, /* running, waiting, slots */
	SV_F_LIMIT, /* requests a second that it takes from all entries */
	SV_F_NOT_RUN, /* the target refused before it began */
	SV_F_INSTANCE,
	SV_F_MODEL,
	SV_F_TOKENS, /* of the prompt, at most of the answer */
	SV_F_PREFIX, /* parts of the prompt */
	SV_F_LENGTH_HINT, /* the caller's estimate of tokens out */
	SV_F_WEIGHTS, /* version that made the answer */
	SV_FIELDS,
};

/* How a deployment spells the fields. */
struct sv_dialect {
	const char *header[SV_FIELDS];
	const char *key_scheme; /* before the key, with a blank after it */
};

#endif
