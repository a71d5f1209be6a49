#ifndef FLEET_H
#define FLEET_H

/*
 * fleet: a stand-in for the users' platform, for tests and the demo: its
 * store, model engines with a staging place, a plain service, the origin of
 * weights, callers that check what they get, and a proxy before each engine
 * and the store that misbehaves when told to. One process, on loopback
 * addresses: engine i is at 127.0.NET.(10 + i).
 */

#include "http/fetch.h"
#include "http/http.h"
#include "http/sock.h"

#define FLEET_ENGINES_MAX 40
#define FLEET_GATEWAYS_MAX 8
#define FLEET_POISONS_MAX 4
#define FLEET_CHUNKS 16
#define FLEET_CHUNK_BYTES 8192
#define FLEET_MODEL "m0"
#define FLEET_LLM "llm"
#define FLEET_PLAIN "plain"
#define FLEET_KEY "key-of-team"
#define FLEET_VERSION_MS 8000

struct fleet_proxy;
struct fleet_engine;
struct fleet_poison;

/* What was seen, over all callers and engines. */
struct fleet_tally {
	unsigned int asked, answered, refused, failed, broken;
	unsigned int twice; /* ran again what may run once */
	unsigned int mixed; /* an answer that is not the request's own */
	unsigned int lied; /* "not run" of what had run */
	unsigned int unwhole; /* loaded with a spoilt or missing piece */
	unsigned int stale; /* begun on a version that was past its due */
	unsigned int over; /* more than the limit that the engine named */
	unsigned int stranger; /* a run without a proper workspace or id */
	unsigned int spread; /* sends of what had ended three engines */
};

/* A rate limit that an engine names in its answers. */
struct fleet_limit {
	double limit; /* requests a second; 0: none */
	int64_t first_us; /* first named */
	int64_t
	    told_us[FLEET_GATEWAYS_MAX]; /* first told to each; 0: not yet */
	GArray *arrivals; /* of the last four seconds that count */
	guint most; /* of them, ever */
};

struct fleet {
	struct evl *loop;
	struct hpool *pool;
	struct hlimits limits;
	struct fleet_tally tally;
	GHashTable *runs; /* request id -> times run */
	struct rng rng;
	/* Store. */
	struct hserver *store;
	GHashTable *objects; /* "kind/name" -> struct fleet_object */
	GPtrArray *history; /* struct fleet_event */
	int64_t revision, history_from;
	LIST_HEAD(fleet_watches, fleet_watch) watches;
	bool store_refuses;
	/* Engines. */
	struct fleet_engine *engine[FLEET_ENGINES_MAX];
	size_t nengines;
	int64_t version, named_us; /* newest, and since when */
	int64_t version_before;
	/* Origin. */
	struct hserver *origin;
	/* Callers. */
	char *gateways[FLEET_GATEWAYS_MAX];
	size_t ngateways;
	bool uneven; /* over the gateways */
	unsigned int rate; /* requests a second */
	struct evl_timer next_request, beat, fault;
	unsigned int open_calls;
	bool stopping;
	bool judges_poison; /* else its sends are only told */
	struct fleet_poison *poison[FLEET_POISONS_MAX]; /* NULL: none */
	/* Proxies. */
	struct fleet_proxy *proxy[FLEET_ENGINES_MAX + 1];
	size_t nproxies;
};

/* store.c */
bool fleet_store_open(struct fleet *f, const char *address, struct err *err);
void fleet_store_put(
    struct fleet *f, const char *kind, const char *name, const char *spec);
void fleet_store_remove(struct fleet *f, const char *kind, const char *name);
void fleet_store_forget_history(struct fleet *f);

/* engine.c */
bool fleet_engine_open(struct fleet *f, size_t i, const char *address,
    const char *advertised, bool llm, bool empty, struct err *err);
void fleet_engine_beat(struct fleet *f, size_t i); /* writes its entry */
/* As it stands in the store. */
const char *fleet_engine_id(const struct fleet *f, size_t i);
/* It starts again, with nothing loaded, under its id or another. */
void fleet_engine_crash(
    struct fleet *f, size_t i, bool keeps_id); /* and starts again */
/* Its process ends: all is cut, and nobody listens for a while. Then it starts
 * again under another id, with nothing loaded. */
void fleet_engine_end(struct fleet *f, size_t i);
void fleet_engine_rot(struct fleet *f, size_t i); /* spoils a staged piece */
/* Bytes of a piece of a version; both engines and origin use them. */
void fleet_piece(int64_t version, uint64_t index, uint8_t *out);
bool fleet_origin_open(struct fleet *f, const char *address, struct err *err);

/* 0: it names none any more. */
void fleet_engine_limit(struct fleet *f, size_t i, double limit);
/* The most requests in four seconds that its limits were judged by. */
unsigned int fleet_engine_most(const struct fleet *f, size_t i);

/* limit.c */
void fleet_limit_set(struct fleet *f, struct fleet_limit *l, double limit);
/* Request `id` arrived; its answer bears the limit. */
void fleet_limit_arrived(
    struct fleet *f, struct fleet_limit *l, const char *id);
void fleet_limit_named(struct fleet *f, struct fleet_limit *l, const char *id);

/* caller.c */
void fleet_callers_start(struct fleet *f);

/* poison.c: a request that ends the engines that run it */
/* The first is a stream, the second a plain request, and so on in turn. */
void fleet_poisons_start(
    struct fleet *f, unsigned int n, int64_t gap_us, int64_t from_us);
/* NULL: an ordinary request. */
struct fleet_poison *fleet_poison_of(struct fleet *f, const char *id);
void fleet_poison_arrived(struct fleet_poison *p, const char *id);
void fleet_poison_ended(struct fleet_poison *p); /* an engine, under it */
void fleet_poison_tell(const struct fleet *f);

/* proxy.c */
enum proxy_mode {
	PROXY_PASS,
	PROXY_SILENT, /* bytes are held, both ways */
	PROXY_ONE_WAY, /* answers are held */
	PROXY_DELAY, /* bytes come later */
};
struct fleet_proxy *fleet_proxy_open(
    struct fleet *f, const char *address, const char *to, struct err *err);
void fleet_proxy_set(struct fleet_proxy *p, enum proxy_mode mode);
void fleet_proxy_reset(struct fleet_proxy *p); /* all its connections */
/* Whether it accepts connections: not while what it stands for is gone. */
void fleet_proxy_listen(struct fleet_proxy *p, bool listen);

#endif
