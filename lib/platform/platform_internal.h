#ifndef PLATFORM_INTERNAL_H
#define PLATFORM_INTERNAL_H

/* Shared by the files of the platform package only. */

#include <json-glib/json-glib.h>

#include "platform/platform.h"

TAILQ_HEAD(target_calls, target_call);

/*
 * One of the sessions that exchanges are spread over. The work that libsoup
 * does for one exchange grows with the number of those in the same session, so
 * that some hundred streams would take the whole processor.
 */
struct plat_pool {
	SoupSession *session;
	GHashTable *sockets; /* of open connections, by libsoup's number */
	unsigned int running; /* exchanges */
};

#define PLAT_POOLS 64
/* Exchanges in one lane before the next one is taken. */
#define PLAT_POOL_FILL 32

struct plat {
	struct plat_pool pools[PLAT_POOLS];
	const struct clk *clock;
	struct ctr_set *counters;
	struct tl *timeline; /* may be NULL */
	struct target_calls calls; /* running exchanges */
};

/* With at most `conns` connections a lane; for tests of what waits for one. */
struct plat *plat_new_bounded(const struct clk *clock, struct ctr_set *counters,
    struct tl *timeline, unsigned int conns);
/* The lane for an exchange with `base`: the same as before where that is
 * not full, so that connections are used again. */
struct plat_pool *plat_pool(struct plat *plat, const char *base);
/* The socket that a message went over; NULL when it is gone. Borrowed. */
GSocket *plat_socket(const struct plat_pool *pool, SoupMessage *message);

struct ctr *plat_counter(const struct plat *plat, const char *name);
/* Ends every running exchange with ERR_CANCELLED; for plat_free. */
void target_cancel_all(struct plat *plat);

/* ------------------------------------------------------------------ */
/* Fetch: one exchange whose bounded answer is gathered                */
/* ------------------------------------------------------------------ */

/* Largest answer of the object API, the host list and the engines: an object's
 * value of 1 MB with room for JSON's escapes. */
#define FETCH_JSON_MAX (2u << 20)

struct fetch_request {
	const char *base;
	const char *method;
	const char *path;
	const char *range; /* value of a Range header; NULL: none */
	GBytes *json; /* request body; NULL: none */
	unsigned int deadline_ms; /* 0: none */
	unsigned int stall_ms; /* 0: none */
	struct ctr *stalls; /* counts those ended by `stall_ms`; may be NULL */
	size_t max_bytes; /* a larger answer is refused as ERR_TOO_LARGE */
};

/* 429, which libsoup's list lacks. */
#define HTTP_TOO_MANY_REQUESTS 429

struct fetch_response {
	unsigned int status;
	GBytes *body;
	bool not_run; /* the answer says that nothing was run */
	unsigned int retry_after_ms;
	SoupMessageHeaders *headers;
};

/*
 * `err` is NULL for a whole answer of whatever status. Otherwise `answer` is
 * NULL and `err` has the verdict of the exchange.
 */
typedef void fetch_cb(
    const struct fetch_response *response, const struct err *err, void *ctx);

struct fetch;
struct fetch *fetch_start(struct plat *plat,
    const struct fetch_request *request, fetch_cb *done, void *ctx);
/* No callback follows. NULL is allowed. */
void fetch_cancel(struct fetch *fetch);
/* The error that a status outside 200-299 stands for; false. */
bool fetch_status_error(const struct fetch_response *response, struct err *err);

/* ------------------------------------------------------------------ */
/* JSON of answers                                                     */
/* ------------------------------------------------------------------ */

struct reply {
	JsonObject *json; /* the root; borrowed from the parser */
	JsonParser *parser;
};
/* Opens an answer's body. ERR_UNAVAILABLE when it is not one JSON object. */
bool reply_open(struct reply *reply, GBytes *bytes, struct err *err);
/* The same for what a fetch gave, whose error or status other than 200 is the
 * error. */
bool reply_from_fetch(struct reply *reply,
    const struct fetch_response *response, const struct err *failure,
    struct err *err);
void reply_close(struct reply *reply); /* nothing when it was not opened */
/* For an answer that lacks what it should have; returns false. */
bool reply_malformed(struct err *err);
/* False when the member is missing or of another type; no error is set. */
bool reply_u64(JsonObject *object, const char *name, uint64_t *out);
bool reply_str(JsonObject *object, const char *name, const char **out);
bool reply_bool(JsonObject *object, const char *name, bool *out);
bool reply_digest(JsonObject *object, const char *name, struct digest *out);
/* NULL when missing or not a list of objects only. */
JsonArray *reply_objects(JsonObject *object, const char *name);
/* Text of a builder's document; takes the builder. */
GBytes *json_text(JsonBuilder *builder);

/* ------------------------------------------------------------------ */
/* Object API: decisions                                               */
/* ------------------------------------------------------------------ */

/* First and longest back-off. The API answers in milliseconds when it is
 * up; while it is down, a caller a process every second or so is no load. */
#define OBJ_BACKOFF_FIRST_MS 25
#define OBJ_BACKOFF_MAX_MS 2000
/* An attempt that has not been answered for so long is given up, ... */
#define OBJ_ATTEMPT_MAX_MS 5000
/* ... and none is begun with less than this left. */
#define OBJ_ATTEMPT_MIN_MS 5

/* Wait before retry number `failures` (1 for the first): exponential, with
 * full jitter. */
unsigned int obj_backoff_ms(struct rng *rng, unsigned int failures);

/* Times within one call's deadline. */
struct obj_budget {
	int64_t deadline_ms; /* on the monotonic clock */
	unsigned int failures;
};
/* Time for one attempt: half of what is left, so that a lost answer leaves
 * time to learn the outcome. 0 when no attempt is to be begun. */
unsigned int obj_attempt_ms(const struct obj_budget *budget, int64_t now_ms);
/* Counts a failure and gives the wait before the next attempt; false when
 * too little is left for one. */
bool obj_retry_wait(struct obj_budget *budget, int64_t now_ms, struct rng *rng,
    unsigned int *wait_ms);

/* What can happen to a write. */
enum obj_event_kind {
	OBJ_BEGIN,
	OBJ_WRITTEN, /* 200, with the version */
	OBJ_CONFLICT, /* 409, with what is there */
	OBJ_NOT_SENT, /* certain: nothing was applied */
	OBJ_NO_RESPONSE, /* sent, and no usable answer */
	OBJ_REJECTED, /* an answer that repeating does not change */
	OBJ_READ_BACK, /* read back: what is there, version 0 if absent */
	OBJ_READ_FAILED,
	OBJ_WAITED, /* the wait asked for is over */
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
	unsigned int ms; /* limit of the attempt, or length of the wait */
	bool settled; /* OBJ_DO_END: learned from the object itself */
	uint64_t version; /* OBJ_DO_END without error */
	struct err err; /* OBJ_DO_END */
};

struct obj_write {
	char op[OBJ_OP_MAX];
	bool conditional;
	uint64_t if_version;
	bool in_doubt; /* a copy that was sent may have been applied */
	struct obj_budget budget;
};
/* The next step of a write; changes `write` only. */
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
};

/* What gets, lists and puts have in common: a place in the client's list, the
 * exchange or the wait that is going on, and how to end. First member of each.
 */
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
/* Stops what is going on and leaves the list. */
void obj_call_end(struct obj_call *call);
/* Calls `resume` with the call after `ms`. */
void obj_call_wait(struct obj_call *call, unsigned int ms, GSourceFunc resume);
int64_t obj_now_ms(const struct obj *obj);

char *obj_key_path(const char *key); /* g_free */
/* Reads an object out of an answer; `out` borrows from `json`. */
bool obj_parse(JsonObject *json, const char *key, struct obj_object *out);

#endif
