#ifndef PLATFORM_H
#define PLATFORM_H

/*
 * platform: client adapters for the systems outside: the object API, the
 * origin of weights, the host list, model engines and plain services. All
 * are HTTP through libsoup, asynchronous on the default main loop.
 * docs/INTERFACES.md, section 1 is the protocol.
 *
 * Callbacks run from the loop, never from within the call that starts the
 * work, exactly once, also after a deadline. `err` is NULL on success.
 * Pointers handed to a callback are valid during it only.
 */

#include <libsoup/soup.h>

#include "common/common.h"

/* The HTTP sessions shared by the adapters of a process. */
struct plat;
/* Exchanges that are running at plat_free end with ERR_CANCELLED from within
 * it; a client of the object API is freed before. */
struct plat *plat_new(
    const struct clk *clock, struct ctr_set *counters, struct tl *timeline);
void plat_free(struct plat *plat);
/* One of its sessions, for a use that the adapters do not cover. */
SoupSession *plat_session(struct plat *plat);

/* ------------------------------------------------------------------ */
/* Object API                                                          */
/* ------------------------------------------------------------------ */

/*
 * Every call has a deadline; within it reads are repeated, and writes are
 * settled, after a back-off with jitter. A write whose answer is lost is
 * settled by reading the object back: it took effect if the object carries the
 * write's operation id. Only when that cannot be learned within the deadline
 * does a write end as ERR_UNAVAILABLE with VERDICT_MAY_HAVE_RUN. Counters:
 * obj_reads, obj_writes, obj_refused_writes, obj_watches, obj_retries,
 * obj_settled_writes, obj_errors.
 */
#define OBJ_VALUE_MAX (1u << 20)
#define OBJ_KEY_MAX 200
#define OBJ_OP_MAX 64

struct obj; /* the client */

struct obj_object {
	const char *key;
	uint64_t version; /* grows by one a write; 0: absent */
	const char *op; /* operation id of the last write */
	const char *value; /* NULL where only versions were asked for */
};

typedef void obj_get_cb(
    const struct obj_object *object, const struct err *err, void *ctx);
/* `version` is the object's after a successful write; on ERR_CONFLICT `now` is
 * what is there. */
typedef void obj_put_cb(uint64_t version, const struct obj_object *now,
    const struct err *err, void *ctx);
typedef void obj_list_cb(uint64_t revision, const struct obj_object *objects,
    size_t n, const struct err *err, void *ctx);

/* `base` is "http://ip:port". */
struct obj *obj_new(struct plat *plat, const char *base);
/* Pending callbacks get ERR_CANCELLED, from within the call; watches have
 * been stopped before. */
void obj_free(struct obj *obj);

/* ERR_NOT_FOUND when absent. */
void obj_get(struct obj *obj, const char *key, unsigned int deadline_ms,
    obj_get_cb *done, void *ctx);
/* A fresh operation id: node, time and a random part. */
void obj_new_op(struct obj *obj, const char *node, char out[OBJ_OP_MAX]);

struct obj_put {
	const char *key;
	const char *op; /* required */
	const char *value;
	bool conditional; /* only if the version is `if_version` (0: absent) */
	uint64_t if_version;
	unsigned int deadline_ms;
};
void obj_put(
    struct obj *obj, const struct obj_put *put, obj_put_cb *done, void *ctx);
void obj_list(struct obj *obj, const char *prefix, unsigned int deadline_ms,
    obj_list_cb *done, void *ctx);

/*
 * A long-poll watch that goes on until stopped, with back-off while the API is
 * down. `changed` gets objects changed since the last call; `lost` (may be
 * NULL) is called when the watch begins to fail and `found` when it works
 * again. When the API restarted with a lower revision, or changes do not fit
 * into one answer, all objects under the prefix are read anew and given to
 * `changed` one by one, with the revision of the list: a caller ignores
 * versions that it has. `ops` outlives the watch.
 */
struct obj_watch_ops {
	void (*changed)(uint64_t revision, const struct obj_object *objects,
	    size_t n, void *ctx);
	void (*lost)(const struct err *err, void *ctx);
	void (*found)(void *ctx);
};
struct obj_watch;
struct obj_watch *obj_watch_start(struct obj *obj, const char *prefix,
    uint64_t since, const struct obj_watch_ops *ops, void *ctx);
void obj_watch_stop(struct obj_watch *watch);

/* ------------------------------------------------------------------ */
/* Origin                                                              */
/* ------------------------------------------------------------------ */

/*
 * Reads bytes [offset, offset + len) of a name at the origin. A read that
 * brings no byte for `stall_ms` ends as ERR_UNAVAILABLE. Counters:
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
	const char *address; /* "ip:port" of our process there */
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
 * One HTTP exchange with a target, its answer handed over piece by piece and
 * never gathered. The verdict in `ended`: NOT_RUN when the connection was
 * refused or the target said `X-Not-Run: 1`; RAN when the answer came whole;
 * MAY_HAVE_RUN for everything else. An answer without a length, or one in
 * chunks whose connection the target closes at once, cannot be told from a cut
 * one: MAY_HAVE_RUN. No request is sent twice. A pointer to a call is invalid
 * from `ended` on; one more piece may arrive after a pause.
 */
struct target_call;
struct target_request {
	const char *base; /* "http://ip:port" */
	const char *method;
	const char *path; /* with query */
	const char *const *headers; /* name, value, ..., NULL */
	GBytes *body; /* may be NULL */
	unsigned int deadline_ms; /* for the whole exchange; 0: none */
	unsigned int stall_ms; /* no byte for so long ends it; 0: none */
	/* Not over a connection kept from before: a target that is just
	 * closing one makes a request MAY_HAVE_RUN that it never saw. For
	 * requests that are not repeated; costs a round trip. */
	bool own_connection;
};
struct target_ops {
	void (*head)(
	    unsigned int status, SoupMessageHeaders *headers, void *ctx);
	void (*data)(const uint8_t *bytes, size_t len, void *ctx);
	/* No byte came for `stall_ms`; `ended` follows. For counting only:
	 * it must not cancel the call. May be NULL. */
	void (*stalled)(void *ctx);
	/* Last call; `err` holds the verdict, ERR_NONE and RAN on success. */
	void (*ended)(const struct err *err, void *ctx);
};
struct target_call *target_call_start(struct plat *plat,
    const struct target_request *request, const struct target_ops *ops,
    void *ctx);
/* Holds back reading, so that a slow caller holds back only its stream. */
void target_call_pause(struct target_call *call, bool paused);
/* Closes the exchange; `ended` does not follow. */
void target_call_cancel(struct target_call *call);

struct engine_load {
	const char *model;
	const char *version;
	struct digest root;
	uint64_t bytes;
	uint64_t chunk_bytes;
	const char *chunks_url; /* at the side process, on loopback */
	const char *source;
	uint64_t fence;
	const char *order_id;
};
/* `loaded` is the digest that the engine says it loaded. ERR_STALE_FENCE,
 * ERR_CORRUPT (the engine's own check failed) or ERR_UNAVAILABLE /
 * ERR_DEADLINE otherwise. */
typedef void engine_load_cb(
    const struct digest *loaded, const struct err *err, void *ctx);
void engine_load(struct plat *plat, const char *base,
    const struct engine_load *order, unsigned int deadline_ms,
    engine_load_cb *done, void *ctx);
/* What is loaded now; a zero digest when nothing is. */
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
/* Best effort; the answer is not waited for. */
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
