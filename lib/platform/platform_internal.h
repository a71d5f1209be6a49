#ifndef PLATFORM_INTERNAL_H
#define PLATFORM_INTERNAL_H

/* Shared by the files of lib/platform and its tests only. */

#include <json-glib/json-glib.h>

#include "platform/platform.h"

TAILQ_HEAD(target_calls, target_call);

/*
 * One of the sessions over which exchanges are distributed. libsoup's work for
 * one exchange grows with the number of exchanges in its session, so that some
 * hundred streams in one session would take a whole processor.
 */
struct plat_pool {
	SoupSession *session;
	GHashTable *sockets; /* of open connections, by libsoup's id */
	unsigned int running; /* number of running exchanges */
};

#define PLAT_POOLS 64
/* Exchanges in one pool before the next pool is used. */
#define PLAT_POOL_FILL 32

struct plat {
	struct plat_pool pools[PLAT_POOLS];
	const struct clk *clock;
	struct ctr_set *counters;
	struct tl *timeline; /* may be NULL */
	struct target_calls calls; /* running exchanges */
};

/* With at most `conns` connections per pool; for tests of exchanges that wait
 * for a connection. */
struct plat *plat_new_bounded(const struct clk *clock, struct ctr_set *counters,
    struct tl *timeline, unsigned int conns);
/* The pool for an exchange with `base`: the same one for each exchange while it
 * is not full, so that connections are reused. */
struct plat_pool *plat_pool(struct plat *plat, const char *base);
/* The socket of a message's connection, borrowed; NULL if it was freed. */
GSocket *plat_socket(const struct plat_pool *pool, SoupMessage *message);

struct ctr *plat_counter(const struct plat *plat, const char *name);
/* Ends every running exchange with ERR_CANCELLED; for plat_free. */
void target_cancel_all(struct plat *plat);

/* Whether the head of the final response is valid and none of its lines is
 * missing; what is missing after an interim response is not noticed. The message
 * collects metrics. */
bool head_is_valid(SoupMessage *message, bool is_after_interim);

/* ------------------------------------------------------------------ */
/* Fetch: one exchange whose response is buffered, up to a limit       */
/* ------------------------------------------------------------------ */

/* Largest response of the object API, the host list and the engines: an object
 * value of 1 MB, with room for JSON escapes. */
#define FETCH_JSON_MAX (2u << 20)

struct fetch_request {
	const char *base;
	const char *method;
	const char *path;
	const char *range; /* value of a Range header; NULL: none */
	GBytes *json; /* request body; NULL: none */
	unsigned int deadline_ms; /* 0: none */
	unsigned int stall_ms; /* 0: none */
	struct ctr *stalls; /* counts exchanges that stalled; may be NULL */
	size_t max_bytes; /* a larger response ends as ERR_TOO_LARGE */
};

/* Missing in libsoup's list of statuses. */
#define HTTP_TOO_MANY_REQUESTS 429

struct fetch_response {
	unsigned int status;
	GBytes *body;
	bool not_run; /* an error response with `X-Not-Run: 1` */
	unsigned int retry_after_ms;
	SoupMessageHeaders *headers;
};

/*
 * `err` is NULL for a complete response of any status. Otherwise `response` is
 * NULL and `err` holds the verdict of the exchange.
 */
typedef void fetch_cb(
    const struct fetch_response *response, const struct err *err, void *ctx);

struct fetch;
struct fetch *fetch_start(struct plat *plat,
    const struct fetch_request *request, fetch_cb *done, void *ctx);
/* No callback follows. NULL is allowed. */
void fetch_cancel(struct fetch *fetch);
/* Sets the error for a status outside 200-299; returns false. */
bool fetch_status_error(const struct fetch_response *response, struct err *err);

/* ------------------------------------------------------------------ */
/* JSON responses                                                      */
/* ------------------------------------------------------------------ */

struct reply {
	JsonObject *json; /* the root; borrowed from the parser */
	JsonParser *parser;
};
/* Parses a response body. ERR_UNAVAILABLE if it is not one JSON object. */
bool reply_open(struct reply *reply, GBytes *bytes, struct err *err);
/* Parses the result of a fetch. Its error, or a status other than 200, is
 * reported in `err`. */
bool reply_from_fetch(struct reply *reply,
    const struct fetch_response *response, const struct err *failure,
    struct err *err);
void reply_close(struct reply *reply); /* no-op if it is not open */
/* Sets the error for a response with missing members; returns false. */
bool reply_malformed(struct err *err);
/* False if the member is missing or of another type; no error is set. */
bool reply_u64(JsonObject *object, const char *name, uint64_t *out);
bool reply_str(JsonObject *object, const char *name, const char **out);
bool reply_bool(JsonObject *object, const char *name, bool *out);
bool reply_digest(JsonObject *object, const char *name, struct digest *out);
/* NULL if the member is missing or is not a list. */
JsonArray *reply_list(JsonObject *object, const char *name);
/* NULL if the member is missing or is not a list of objects only. */
JsonArray *reply_objects(JsonObject *object, const char *name);
/* Serializes the builder's document; takes ownership of the builder. */
GBytes *json_text(JsonBuilder *builder);

/* ------------------------------------------------------------------ */
/* Object API: decisions                                               */
/* ------------------------------------------------------------------ */

/* First and longest backoff. The API responds within milliseconds when it is
 * up. While it is down, one call per process every second or so is a negligible
 * load. */
#define OBJ_BACKOFF_FIRST_MS 25
#define OBJ_BACKOFF_MAX_MS 2000
/* Longest time that an attempt waits for its response. */
#define OBJ_ATTEMPT_MAX_MS 5000
/* No attempt is started with less time than this left. */
#define OBJ_ATTEMPT_MIN_MS 5

/* Delay before retry number `failures` (1 for the first): exponential backoff
 * with full jitter. */
unsigned int obj_backoff_ms(struct rng *rng, unsigned int failures);

/* Time budget of one call. */
struct obj_budget {
	int64_t deadline_ms; /* on the monotonic clock */
	unsigned int failures;
};
/* Timeout of one attempt: half of the time left, so that after a lost response
 * there is time to determine the outcome. 0 if no attempt should start. */
unsigned int obj_attempt_ms(const struct obj_budget *budget, int64_t now_ms);
/* Counts a failure and sets the delay before the next attempt; false if too
 * little time is left for one. */
bool obj_retry_wait(struct obj_budget *budget, int64_t now_ms, struct rng *rng,
    unsigned int *wait_ms);

/* Events of a write. */
enum obj_event_kind {
	OBJ_BEGIN,
	OBJ_WRITTEN, /* 200, with the version */
	OBJ_CONFLICT, /* 409, with the current object */
	OBJ_NOT_SENT, /* known not to have been applied */
	OBJ_NO_RESPONSE, /* sent, without a usable response */
	OBJ_REJECTED, /* an error that a retry would not change */
	OBJ_READ_BACK, /* the object was read back; version 0 if absent */
	OBJ_READ_FAILED,
	OBJ_WAITED, /* the delay of OBJ_DO_WAIT is over */
};
struct obj_event {
	enum obj_event_kind kind;
	uint64_t version;
	const char *op; /* may be NULL */
	const struct err *err; /* of OBJ_REJECTED */
};

enum obj_step {
	OBJ_DO_WRITE,
	OBJ_DO_READ,
	OBJ_DO_WAIT,
	OBJ_DO_END,
};
struct obj_action {
	enum obj_step step;
	unsigned int ms; /* timeout of the attempt, or length of the delay */
	bool settled; /* OBJ_DO_END: the outcome was read from the object */
	uint64_t version; /* OBJ_DO_END without error */
	struct err err; /* OBJ_DO_END */
};

struct obj_write {
	char op[OBJ_OP_MAX];
	bool conditional;
	uint64_t if_version;
	bool in_doubt; /* a copy already sent may have been applied */
	struct obj_budget budget;
};
/* Returns the next step of a write; changes only `write` and `rng`. */
struct obj_action obj_write_next(struct obj_write *write,
    const struct obj_event *event, int64_t now_ms, struct rng *rng);

/* ------------------------------------------------------------------ */
/* Object API: the client's parts                                      */
/* ------------------------------------------------------------------ */

struct obj_call; /* a running get, list or put */
TAILQ_HEAD(obj_calls, obj_call);

struct obj {
	struct plat *plat;
	char *base;
	struct rng rng;
	struct obj_calls calls;
	unsigned int watches; /* running; must be none at obj_free */
	struct ctr *reads, *writes, *refused_writes, *watch_calls, *retries,
	    *settled_writes, *errors;
	struct ctr *unreadable; /* objects of lists and polls */
};

/* Common part of gets, lists and puts, and the first member of each: the entry
 * in the client's list, the running exchange or delay, and how to fail. */
struct obj_call {
	TAILQ_ENTRY(obj_call) link;
	struct obj *obj;
	struct fetch *fetch;
	guint timer;
	/* Reports the error to the caller and frees the call. */
	void (*fail)(struct obj_call *call, const struct err *err);
};
void obj_call_init(struct obj_call *call, struct obj *obj,
    void (*fail)(struct obj_call *call, const struct err *err));
/* Stops the exchange or the delay and removes the call from the list. */
void obj_call_end(struct obj_call *call);
/* Calls `resume` with the call after a delay of `ms`. */
void obj_call_wait(struct obj_call *call, unsigned int ms, GSourceFunc resume);
int64_t obj_now_ms(const struct obj *obj);

char *obj_key_path(const char *key); /* g_free */
/* Reads an object from a response; `out` borrows from `json`. With a NULL `key`
 * the key is read from `json` too. */
bool obj_parse(JsonObject *json, const char *key, struct obj_object *out);
/*
 * Reads the objects of a list or a poll; NULL if the response holds none. Other
 * writers can add objects: what `parse` cannot read is left out and counted, as
 * the others hold. The objects borrow from `json`; release with g_free().
 */
struct obj_object *obj_parse_list(const struct obj *obj, JsonObject *json,
    bool (*parse)(JsonObject *json, struct obj_object *out), uint64_t *revision,
    guint *n);

#endif
