#ifndef SERVE_TGT_H
#define SERVE_TGT_H

/*
 * tgt: what an entry believes of the targets: who there is (from the store),
 * how full each is (from its side, from its answers, from this entry's own
 * requests), whether it can be reached and answers. And the choice of one for
 * a request. Pure: driven by events and a clock.
 */

#include <sys/queue.h>

#include "serve/rate.h"
#include "serve/records.h"
#include "serve/side.h"

struct tgt_service;

struct tgt {
	TAILQ_ENTRY(tgt) link; /* in its service */
	struct tgt_service *service;
	struct sv_target says; /* as in the store */
	bool near; /* in this entry's region */
	bool leaving; /* announced, or its side said so */
	int64_t gone_us; /* dropped then (missing from the store); 0: not */
	/* Load: `seen` of all entries at `seen_us`, when this entry had
	 * `seen_mine` of them under way. */
	unsigned int mine;
	unsigned int seen, seen_mine;
	int64_t seen_us;
	unsigned int sent_since; /* by this entry, since that word */
	uint64_t reading; /* prompt tokens of this entry's, before any answer */
	int64_t side_us; /* last word of its side; 0: never */
	uint32_t side_seq; /* of that word */
	bool greeted; /* its side was told of this entry */
	unsigned int entries_near; /* in its region, by its side; 0: not told */
	int64_t up_us; /* it came up then, by its side; 0: not known */
	bool side_down; /* its side cannot reach it, or it loads weights */
	bool ended; /* of these, the former: its process has ended */
	char model[SV_ID_MAX]; /* loaded; newer of store and side */
	int64_t version;
	/* Root digest that its keeper read of a version's digests. */
	struct digest root;
	int64_t root_version;
	struct rate rate;
	bool slow_link; /* what comes to its host comes slowly, by its side */
	double pace; /* of its steps against the stated; 1: as stated */
	/* Failures without an answer. */
	unsigned int failures; /* in a row */
	int64_t rest_until_us;
	bool probing; /* one request finds out whether it is back */
	/* Answers that were failures, of the last ones: moving averages. */
	double error_share;
	unsigned int answers;
	/* Requests that wait for it to go, freed with the last of them. */
	unsigned int refs;
	bool dropped;
};

TAILQ_HEAD(tgt_list, tgt);

/* Root digest of a version's digests that enough keepers agreed on. */
struct tgt_root {
	int64_t version; /* 0: none */
	struct digest root;
};

struct tgt_service {
	char *name;
	struct tgt_root roots[2]; /* of the last two versions, newest first */
	struct tgt_list targets;
	unsigned int ntargets;
	int64_t side_us; /* last word of any of their sides; 0: never */
	/* From the settings; 0 slots: as each target says. */
	bool configured; /* they have this service */
	bool has_engine;
	struct sv_engine engine;
	unsigned int connections_max;
};

struct tgt_set;

/* What decides how many requests a target gets. */
struct tgt_policy {
	/* Requests beyond its slots that a target holds, so that a slot that
	 * becomes free is taken at once. */
	double beyond_slots;
	/* Load (in requests) that a target in another region must be below a
	 * near one to be chosen: its bytes and round trips cost more. */
	double far_cost;
	/* Longest time that a target may need to read the prompts that it has
	 * before another is sent; 0: no limit. */
	int64_t read_us;
	/* Entries that share a target. */
	unsigned int entries;
	uint64_t seed; /* this entry's own, for its part of a single place */
	/* The side of `at` is to be told of the rate limit of `t`, and asked
	 * for a permit. NULL: there are no sides. */
	void (*tell_rate)(
	    const struct tgt *t, const struct tgt *at, bool ask, void *ctx);
	void *rate_ctx;
};

struct tgt_set *tgt_set_new(const char *region, const struct tgt_policy *p);
void tgt_set_free(struct tgt_set *s);
struct tgt_policy *tgt_set_policy(struct tgt_set *s);
/* Region of a failure domain, for `near`. */
void tgt_set_domain(struct tgt_set *s, const char *domain, const char *region);
struct tgt_service *tgt_service(struct tgt_set *s, const char *name);
/* Takes over engines' figures from the settings. */
void tgt_configure(struct tgt_set *s, const struct sv_config *config);

/*
 * Events from the store. A target that started again under its id is a new one:
 * it holds and knows nothing of before, so neither does this entry of it.
 * Requests that went to the one before keep that one, by their reference.
 */
struct tgt *tgt_put(
    struct tgt_set *s, const struct sv_target *says, int64_t now_us);
/* `lapsed`: missing after a time without news; it may only be late to write
 * again, so it is kept for a moment. */
void tgt_removed(
    struct tgt_set *s, const char *id, bool lapsed, int64_t now_us);
/* Drops what was kept for long enough. */
void tgt_sweep(struct tgt_set *s, int64_t now_us);
/* Targets that name a rate limit. */
unsigned int tgt_limited(struct tgt_set *s);
struct tgt *tgt_find(struct tgt_set *s, const char *id);
struct tgt *tgt_at(struct tgt_set *s, const char *address);

struct tgt *tgt_ref(struct tgt *t);
void tgt_unref(struct tgt *t);

/* Events of requests. */
void tgt_sent(struct tgt *t, int64_t now_us);
/* A prompt was sent, or its answer has begun or ended (`sent` false). */
void tgt_reading(struct tgt *t, uint64_t tokens, bool sent);
void tgt_ended(struct tgt *t, int64_t now_us);
/* An answer's or a side's word about the load over all entries. */
void tgt_load(struct tgt *t, unsigned int total, int64_t now_us);
enum tgt_outcome {
	TGT_ANSWERED, /* well */
	TGT_ERROR, /* an answer, but a failure */
	TGT_REFUSED, /* full or leaving: not run */
	TGT_SILENT, /* no answer in time */
	TGT_LOST, /* unreachable, reset, broken bytes */
};
void tgt_outcome(struct tgt *t, enum tgt_outcome o, int64_t now_us);
/* Its side says whether it takes requests. */
void tgt_side(struct tgt *t, bool down, int64_t now_us);
/* An answer to a request that was sent at `asked_us` names a rate limit, or
 * none (0). True when what this entry holds to has changed. */
bool tgt_answered_rate(struct tgt_set *s, struct tgt *t, double limit,
    int64_t asked_us, int64_t now_us);
/* Asks for a permit, if it has a rate limit. */
void tgt_ask_permit(struct tgt_set *s, struct tgt *t, int64_t now_us);
/* Its side says how slow its steps are; 0: not told. */
void tgt_set_pace(struct tgt *t, uint64_t permille);
/* Its side spoke itself: `seq` counts its words. */
void tgt_side_heard(struct tgt *t, uint32_t seq, int64_t now_us);
/*
 * Its side's word about the load came by an entry of its region. False, and
 * nothing changes, when it is not newer than what is known here: an entry that
 * stood still passes on what it heard before. What never spoke itself is not
 * believed: the word does not say whether the target takes requests.
 */
bool tgt_relayed(
    struct tgt *t, const struct side_relayed *word, int64_t now_us);
/* Its side says when it started; 0: not told. A new start makes a new target,
 * which is returned; otherwise `t`. */
struct tgt *tgt_side_born(struct tgt_set *s, struct tgt *t, int64_t born_ms);
/*
 * Up to `most` targets whose sides are heard, by rendezvous hashing: all
 * entries find mostly the same for a seed. Best first; returns how many.
 */
size_t tgt_sides(struct tgt_set *s, uint64_t seed, int64_t now_us,
    const struct tgt *out[], size_t most);
/* Its address answers as another instance. */
void tgt_mistaken(struct tgt *t);

/* What is sent there, and what takes it back, may be long on its way: its side
 * says so; or its side's words don't come here, while those of others of its
 * service do: lost on a full link, or not yet heard of one that is back. */
bool tgt_way_is_slow(const struct tgt *t, int64_t now_us);

/* Requests under way there, as well as is known. */
double tgt_estimate(
    const struct tgt *t, const struct tgt_policy *p, int64_t now_us);
double tgt_limit(const struct tgt *t, const struct tgt_policy *p);

/*
 * All entries find a target empty that has just come up, and each sends it
 * something, so requests wait there longer than elsewhere.
 */
#define TGT_FRESH_US 1000000

struct tgt_wish {
	const char *model; /* NULL: any */
	int64_t version; /* at least; 0: any that is loaded */
	int64_t version_fresh; /* the same, of one up since TGT_FRESH_US */
	int64_t version_far; /* the same, of one in another region */
	int64_t version_slow; /* the same, of one behind a slow link */
	const struct tgt *const * not ; /* tried before */
	size_t nnot;
	bool repeatable; /* may be the one that finds out */
	double spare_share; /* part of its places that must stay free */
	uint64_t random;
};

enum tgt_why { /* why no target was chosen */
	TGT_CHOSEN,
	TGT_FULL, /* those that could are full */
	TGT_NONE, /* none there can serve it now */
};

struct tgt *tgt_choose(struct tgt_set *s, struct tgt_service *service,
    const struct tgt_wish *wish, int64_t now_us, enum tgt_why *why);
#endif
