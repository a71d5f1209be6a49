#ifndef PLATFORM_H
#define PLATFORM_H

/*
 * platform: clients of the external systems: the object API, the origin of
 * weights, the host list, model engines and plain services. All use HTTP
 * through libsoup, asynchronously on the default main loop. The protocol is
 * docs/INTERFACES.md, section 1.
 *
 * A callback runs exactly once, from the loop and never from within the call
 * that starts the operation, also after a deadline. `err` is NULL on success.
 * Pointers passed to a callback are valid only until it returns.
 */

#include <libsoup/soup.h>

#include "common/common.h"

/* The HTTP sessions shared by the adapters of a process. */
struct plat;
/* plat_free ends running exchanges with ERR_CANCELLED, from within the call.
 * Free the clients of the object API before it. */
struct plat *plat_new(
    const struct clk *clock, struct ctr_set *counters, struct tl *timeline);
void plat_free(struct plat *plat);
/* One of the sessions, for uses that the adapters do not cover. */
SoupSession *plat_session(struct plat *plat);

/* ------------------------------------------------------------------ */
/* Object API                                                          */
/* ------------------------------------------------------------------ */

/*
 * Every call has a deadline, within which failed reads and writes are retried
 * after a backoff with jitter. If the response to a write is lost, the client
 * reads the object back: the write was applied if the object has its operation
 * id. A write ends as ERR_UNAVAILABLE with VERDICT_MAY_HAVE_RUN only if its
 * outcome cannot be determined within the deadline. Counters: obj_reads,
 * obj_writes, obj_refused_writes, obj_watches, obj_retries, obj_settled_writes,
 * obj_errors.
 */
#define OBJ_VALUE_MAX (1u << 20)
#define OBJ_KEY_MAX 200
#define OBJ_OP_MAX 64

struct obj; /* the client */

struct obj_object {
	const char *key;
	uint64_t version; /* incremented by each write; 0: absent */
	const char *op; /* operation id of the last write */
	const char *value; /* NULL in a list, which holds versions only */
};

typedef void obj_get_cb(
    const struct obj_object *object, const struct err *err, void *ctx);
/* After a successful write, `version` is the new version of the object; on
 * ERR_CONFLICT, `now` is the current object. */
typedef void obj_put_cb(uint64_t version, const struct obj_object *now,
    const struct err *err, void *ctx);
typedef void obj_list_cb(uint64_t revision, const struct obj_object *objects,
    size_t n, const struct err *err, void *ctx);

/* `base` is "http://ip:port". */
struct obj *obj_new(struct plat *plat, const char *base);
/* Ends pending calls with ERR_CANCELLED, from within obj_free. Stop the
 * watches before it. */
void obj_free(struct obj *obj);

/* Ends with ERR_NOT_FOUND if the object is absent. */
void obj_get(struct obj *obj, const char *key, unsigned int deadline_ms,
    obj_get_cb *done, void *ctx);
/* Creates an operation id of the node, the time and a random number. */
void obj_new_op(struct obj *obj, const char *node, char out[OBJ_OP_MAX]);

struct obj_put {
	const char *key;
	const char *op; /* required */
	const char *value;
	bool conditional; /* write only at version `if_version` (0: absent) */
	uint64_t if_version;
	unsigned int deadline_ms;
};
void obj_put(
    struct obj *obj, const struct obj_put *put, obj_put_cb *done, void *ctx);
void obj_list(struct obj *obj, const char *prefix, unsigned int deadline_ms,
    obj_list_cb *done, void *ctx);

/*
 * A long-poll watch that runs until stopped, with a backoff while the API is
 * down. `changed` gets the objects changed since its last call. `lost` is
 * called when the watch begins to fail and `recovered` when it works again;
 * both may be NULL. If the API restarted with a lower revision, or the changes
 * do not fit into one response, all objects under the prefix are read again and
 * passed to `changed` one by one with the revision of the list, and the owner
 * of the watch ignores versions that it has already. `ops` outlives the watch.
 */
struct obj_watch_ops {
	void (*changed)(uint64_t revision, const struct obj_object *objects,
	    size_t n, void *ctx);
	void (*lost)(const struct err *err, void *ctx);
	void (*recovered)(void *ctx);
};
struct obj_watch;
struct obj_watch *obj_watch_start(struct obj *obj, const char *prefix,
    uint64_t since, const struct obj_watch_ops *ops, void *ctx);
void obj_watch_stop(struct obj_watch *watch);

/* ------------------------------------------------------------------ */
/* Origin                                                              */
/* ------------------------------------------------------------------ */

/*
 * Reads bytes [offset, offset + len) of the object `name` at the origin. A read
 * that receives no byte for `stall_ms` ends as ERR_UNAVAILABLE. Counters:
 * origin_reads, origin_bytes, origin_stalls, origin_errors.
 */
typedef void origin_read_cb(GBytes *bytes, const struct err *err, void *ctx);
struct origin_read; /* a running read */
struct origin_read *origin_read_start(struct plat *plat, const char *base,
    const char *name, uint64_t offset, uint64_t len, unsigned int stall_ms,
    origin_read_cb *done, void *ctx);
/* No callback follows. */
void origin_read_cancel(struct origin_read *read);

/* ------------------------------------------------------------------ */
/* Host list                                                           */
/* ------------------------------------------------------------------ */

struct hosts_entry {
	const char *host;
	const char *address; /* "ip:port" of the process on the host */
	const char *domain;
	bool leaving;
};
typedef void hosts_cb(const struct hosts_entry *hosts, size_t n,
    const struct err *err, void *ctx);
void hosts_get(struct plat *plat, const char *base, unsigned int deadline_ms,
    hosts_cb *done, void *ctx);

/* ------------------------------------------------------------------ */
/* Engines and plain services                                          */
/* ------------------------------------------------------------------ */

/*
 * One HTTP exchange with a target. The response is streamed to the callbacks
 * and never buffered as a whole. The verdict in `ended` is NOT_RUN if the
 * connection was refused or the target sent `X-Not-Run: 1`, RAN if the response
 * was complete, and MAY_HAVE_RUN otherwise. That includes a response without a
 * length, and a chunked one whose connection the target closes right after it:
 * both cannot be distinguished from a truncated response. No request is sent
 * twice. A pointer to a call is invalid once `ended` was called. `data` may be
 * called once more after a pause.
 */
struct target_call;
struct target_request {
	const char *base; /* "http://ip:port" */
	const char *method;
	const char *path; /* with query */
	const char *const *headers; /* name, value, ..., NULL */
	GBytes *body; /* may be NULL */
	unsigned int deadline_ms; /* for the whole exchange; 0: none */
	unsigned int stall_ms; /* longest time without a byte; 0: none */
	/* Open a new connection. On a reused one that the target is closing, a
	 * request ends as MAY_HAVE_RUN although the target never received it.
	 * For requests that must not be repeated; costs a round trip. */
	bool new_connection;
};
struct target_ops {
	void (*head)(
	    unsigned int status, SoupMessageHeaders *headers, void *ctx);
	void (*data)(const uint8_t *bytes, size_t len, void *ctx);
	/* No byte was received for `stall_ms`. If it returns true, the call
	 * goes on, and it is called again after the same time; otherwise
	 * `ended` follows. It must not cancel the call. NULL: ends it. */
	bool (*stalled)(void *ctx);
	/* The last callback. `err` is never NULL: it holds the verdict, with
	 * ERR_NONE and RAN on success. */
	void (*ended)(const struct err *err, void *ctx);
};
struct target_call *target_call_start(struct plat *plat,
    const struct target_request *request, const struct target_ops *ops,
    void *ctx);
/* Pauses or resumes reading, so that a slow caller delays only its own
 * stream. */
void target_call_pause(struct target_call *call, bool paused);
/* From `head`: a response with neither a length nor chunked encoding counts as
 * complete when its connection is closed in order, and not as truncated, unless
 * its body is empty. For bodies that are checked otherwise, or whose end nothing
 * else can tell. */
void target_call_may_end_by_close(struct target_call *call);
/* Ends the exchange; `ended` is not called. */
void target_call_cancel(struct target_call *call);

struct engine_load {
	const char *model;
	const char *version;
	struct digest root;
	uint64_t bytes;
	uint64_t chunk_bytes;
	const char *chunks_url; /* at the sidecar, on loopback */
	const char *source;
	uint64_t fence;
	const char *order_id;
};
/* `loaded` is the digest that the engine reports as loaded. Errors are
 * ERR_STALE_FENCE, ERR_CORRUPT (the engine's own check failed), ERR_UNAVAILABLE
 * and ERR_DEADLINE. */
typedef void engine_load_cb(
    const struct digest *loaded, const struct err *err, void *ctx);
void engine_load(struct plat *plat, const char *base,
    const struct engine_load *order, unsigned int deadline_ms,
    engine_load_cb *done, void *ctx);
/* Reads the loaded version and its digest, which is zero if none is loaded. */
typedef void engine_loaded_cb(const char *version, const struct digest *loaded,
    uint64_t fence, const struct err *err, void *ctx);
void engine_loaded(struct plat *plat, const char *base,
    unsigned int deadline_ms, engine_loaded_cb *done, void *ctx);

struct engine_report {
	unsigned int running, waiting, slots;
	unsigned int step_ms;
	uint64_t cache_tokens;
};
typedef void engine_report_cb(
    const struct engine_report *report, const struct err *err, void *ctx);
void engine_report(struct plat *plat, const char *base,
    unsigned int deadline_ms, engine_report_cb *done, void *ctx);
/* Best effort: the outcome is not reported. */
void engine_cancel(struct plat *plat, const char *base, const char *request_id);

struct engine_cache_event {
	uint64_t seq;
	uint64_t prefix;
	bool present;
};
typedef void engine_cache_cb(uint64_t next,
    const struct engine_cache_event *events, size_t n, const struct err *err,
    void *ctx);
void engine_cache_events(struct plat *plat, const char *base, uint64_t since,
    unsigned int deadline_ms, engine_cache_cb *done, void *ctx);

#endif
