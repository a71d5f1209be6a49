#ifndef STORE_H
#define STORE_H

/*
 * store: the client of the deployment's object store. A mirror holds one
 * kind of objects as the store has them: it lists (page by page), then
 * watches from the revision of the list, lists again when the history is
 * gone, and keeps its last state while the store is away. It only reads:
 * nothing that these processes know has to outlive them.
 *
 * Paths and bodies are the dialect's; waiting, backing off and what is
 * believed are decided here.
 */

#include "common/common.h"
#include "http/http.h"

/* One object of a page or an event. */
struct store_item {
	char *name;
	int64_t revision;
	bool removed;
	void *value; /* decoded spec; NULL when removed or not readable */
	char why[96]; /* not readable */
};

struct store_kind {
	const char *name; /* in paths */
	/* Least time from one answer to the next watch, where nobody sets it:
	 * see store_cache_set_batch_delay. */
	int64_t batch_delay_us;
	/* Decodes one object; `node` is the dialect's. NULL on refusal. */
	void *(*decode)(const char *name, void *node, struct err *err);
	void (*free)(void *value);
};

struct store_page {
	GArray *items; /* struct store_item */
	bool more; /* pages follow, from `items`' last name */
	int64_t revision; /* the store's revision */
};

struct store_dialect {
	/* Paths; g_free. `after` may be NULL. */
	char *(*list_path)(const struct store_kind *kind, const char *after);
	char *(*watch_path)(
	    const struct store_kind *kind, int64_t since, int64_t wait_ms);
	/* An answer to either: a page of objects, or of events. */
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
	uint64_t seed; /* of the spread of retries */
	/* A connection that falls silent is to be found within this. */
	int64_t stall_timeout_us;
};

struct store *store_new(const struct store_conf *conf);
void store_free(struct store *s);
void store_set_address(struct store *s, const char *address);
/* Time of the last answer, or of the mirrors' making when there was none, while
 * the store answers nothing that is asked of it and this is no matter of one
 * lost call; 0: it answers. */
int64_t store_down_since_us(const struct store *s);

/* ------------------------------------------------------------------ */
/* Mirrors                                                             */
/* ------------------------------------------------------------------ */

struct store_cache_ops {
	/* An object is new or has changed. Takes the value. One that was
	 * readable and no longer is counts as removed. */
	void (*put)(const char *name, void *value, void *ctx);
	/* `lapsed`: found missing on a fresh list after a time without news,
	 * rather than told by an event. */
	void (*removed)(const char *name, bool lapsed, void *ctx);
	/* All of the kind is known, as of now. May be NULL. */
	void (*synced)(void *ctx);
	/* The store stopped answering, or answers again. May be NULL. */
	void (*link)(bool up, const char *why, void *ctx);
};

struct store_cache;
struct store_cache *store_cache_new(struct store *s,
    const struct store_kind *kind, const struct store_cache_ops *ops,
    void *ctx);
/*
 * Least time from one answer to the next watch: changes that come close
 * together are paid for as one call. Part of the time in which they must be in
 * force; the rest is for an answer that is lost and the next call.
 */
void store_cache_set_batch_delay(struct store_cache *m, int64_t gather_us);
bool store_cache_synced(const struct store_cache *m); /* has been whole once */
/* Time of the last word from the store about this kind; 0: none yet. */
int64_t store_cache_answered_us(const struct store_cache *m);
int64_t store_cache_revision(const struct store_cache *m);

#endif
