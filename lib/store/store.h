#ifndef STORE_H
#define STORE_H

/*
 * store: the client of the deployment's object store. A cache holds the objects
 * of one kind as the store has them: it lists them page by page, then watches
 * from the revision of the list, lists again when the history from there on is
 * gone, and retains its last state while the store is down. A list whose pages
 * lead nowhere is used as far as it was read, and tried again. It only reads: no
 * state of these processes has to outlive them.
 *
 * Revisions are comparable within one history only. A store that is restored
 * from an older copy begins a new history and gives revisions out again; it
 * numbers its histories in a header of its answers. All caches then forget their
 * revisions, but not their objects, and list again.
 *
 * Paths and bodies are the dialect's; timeouts, backoff and the validity of
 * answers are decided here.
 */

#include "common/common.h"
#include "http/http.h"

/* One object of a page or an event. */
struct store_item {
	char *name;
	int64_t revision;
	bool removed;
	/* A later item of the page has a newer value of this object, of a kind
	 * of which only that counts: this one is not decoded. */
	bool replaced;
	void *value; /* decoded spec; NULL if removed or unreadable */
	char why[96]; /* why it is unreadable */
};

struct store_kind {
	const char *name; /* in paths */
	/* Default of store_cache_set_batch_delay. */
	int64_t batch_delay_us;
	/* Only the newest value of an object counts, and a list has not much
	 * more than a few changes do. */
	bool newest_only;
	/* Decodes one object; `node` is the dialect's. NULL if it is
	 * invalid. */
	void *(*decode)(const char *name, void *node, struct err *err);
	void (*free)(void *value);
};

struct store_page {
	GArray *items; /* struct store_item */
	bool more; /* more pages follow, after the last name in `items` */
	int64_t revision; /* the store's revision */
};

struct store_dialect {
	/* Header with the number of the store's history; NULL: there is none. */
	const char *history_header;
	/* Paths, to be freed with g_free. `after` may be NULL. */
	char *(*list_path)(const struct store_kind *kind, const char *after);
	char *(*watch_path)(
	    const struct store_kind *kind, int64_t since, int64_t wait_ms);
	/* Decodes an answer to either: a page of objects, or of events. */
	bool (*read_page)(const struct store_kind *kind, const void *body,
	    size_t len, struct store_page *out, struct err *err);
};

struct store;
struct store_conf {
	struct evl *loop;
	struct hpool *pool;
	const char *address; /* "ip:port" */
	const struct store_dialect *dialect;
	struct ctr_set *counters;
	uint64_t seed; /* of the jitter of retries */
	/* Time within which a stalled connection is to be detected. */
	int64_t stall_timeout_us;
	/* An answer will be read now, which takes some `us` by the pace of
	 * earlier ones. NULL: nobody needs to know. */
	void (*before_read)(int64_t us, void *ctx);
	void *ctx;
};

struct store *store_new(const struct store_conf *conf);
void store_free(struct store *s);
void store_set_address(struct store *s, const char *address);
/* Number of the store's newest known history; 0: not known. */
int64_t store_history(const struct store *s);
/* Time from which the store is known to answer no call: the first missing answer
 * was due then, and no answer has arrived since. 0: the store answers, or only one
 * answer is missing. */
int64_t store_down_since_us(const struct store *s);

/* ------------------------------------------------------------------ */
/* Caches                                                              */
/* ------------------------------------------------------------------ */

struct store_cache_ops {
	/* An object is new or has changed. Takes ownership of the value. An
	 * object that becomes unreadable counts as removed. */
	void (*put)(const char *name, void *value, void *ctx);
	/* `expired`: found missing from a new list after an interruption of
	 * the updates, rather than removed by an event. */
	void (*removed)(const char *name, bool expired, void *ctx);
	/* The store was restored from an older copy: what is put or removed
	 * from now on may be older than what was before. A new list follows.
	 * May be NULL. */
	void (*restored)(void *ctx);
	/* A list is complete. May be NULL. */
	void (*synced)(void *ctx);
	/* The store stopped answering, or answers again; the times of the cache
	 * are those of the last answer before. May be NULL. */
	void (*link)(bool up, const char *why, void *ctx);
};

struct store_cache;
struct store_cache *store_cache_new(struct store *s,
    const struct store_kind *kind, const struct store_cache_ops *ops,
    void *ctx);
/*
 * Minimum time from one answer to the next watch: changes that come close
 * together cost one call. It is part of the time in which changes must become
 * active; the rest is for a lost answer and the next call.
 */
void store_cache_set_batch_delay(struct store_cache *c, int64_t batch_delay_us);
/* Time within which a change must be known, also when the answer with it was
 * lost; without one, or if that is less, the store's stall timeout is. */
void store_cache_set_change_bound(struct store_cache *c, int64_t bound_us);
/* Has been complete once, or holds what could be read of a list that leads to no
 * end. */
bool store_cache_synced(const struct store_cache *c);
/* Time of the store's last answer about this kind; 0: none yet. */
int64_t store_cache_answered_us(const struct store_cache *c);
/* Begin of the last call about this kind, answered or not. */
int64_t store_cache_called_us(const struct store_cache *c);
/* How long the store was to hold that call without an answer; 0: not at all. */
int64_t store_cache_wait_ms(const struct store_cache *c);
int64_t store_cache_revision(const struct store_cache *c);

#endif
