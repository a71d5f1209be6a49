#ifndef FLEET_H
#define FLEET_H

/*
 * The targets an entry knows, what it believes of each, and the choice of
 * one for a request.
 *
 * Reports of load lag, so an estimate is kept: what a side last said is
 * running, moved by what this entry has sent and seen ended since. What
 * others run is forgotten by halves while the side is silent, or a target that was
 * once full would be avoided for ever.
 *
 * Targets alike in team, kind, pool, service and loaded version form a
 * group. A choice looks at a few of a group's targets, however many it has.
 */

#include "common/common.h"

#define RT_NAME_MAX 64 /* a team, model, version, pool, target or service */

enum rt_target_kind {
	RT_ENGINE,
	RT_SERVICE,
};

struct rt_group;

struct rt_target {
	TAILQ_ENTRY(rt_target) link;
	char side[RT_NAME_MAX + 1];
	char domain[RT_NAME_MAX + 1];
	char name[RT_NAME_MAX + 1];
	enum rt_target_kind kind;
	char team[RT_NAME_MAX + 1];
	char pool[RT_NAME_MAX + 1];
	char service[RT_NAME_MAX + 1];
	struct digest loaded;
	bool reachable; /* the connection to its side is open */
	bool told_accepting; /* as its side last said */
	bool ordered_off; /* not accepting by order of a rollout */
	bool accepting; /* told so, and its host is not leaving */
	unsigned int slots;
	void *owner; /* the program's connection to its side */

	/* Kept by the fleet. */
	unsigned int told_running; /* when the side last spoke */
	unsigned int own_running; /* sent by this entry and not ended */
	unsigned int own_when_told;
	int64_t told_us;
	unsigned int fails; /* in a row */
	int64_t resting_until_us;
	unsigned int unheard; /* sent since it last gave a sign */
	int64_t unheard_since_us;
	uint32_t cache; /* grows when its cache was lost */
	struct rt_group *group;
	guint place; /* in the group */
	unsigned int counted_slots, counted_running;
};

TAILQ_HEAD(rt_targets, rt_target);

/* Targets are the caller's and live as long as the fleet. */
struct rt_fleet;
struct rt_fleet *rt_fleet_new(void);
void rt_fleet_free(struct rt_fleet *fleet);
/* Lets time pass for the sums of rt_fleet_load; to be called now and then. */
void rt_fleet_refresh(struct rt_fleet *fleet, int64_t now_us);

/* A target is new, or one of its fields above `told_running` changed. */
void rt_fleet_update(struct rt_fleet *fleet, struct rt_target *target);
/* Its side said how many run there, all entries' requests together. */
void rt_target_told(
    struct rt_target *target, unsigned int running, int64_t now_us);
void rt_target_sent(struct rt_target *target, int64_t now_us);
/* A sign of life on a request sent at `sent_us`; `first`: its first. */
void rt_target_heard(
    struct rt_target *target, bool first, int64_t sent_us, int64_t now_us);
/* A request sent there is over; `err` says how, ERR_NONE for answered. A
 * refusal or failure lets the target rest, longer with each in a row. */
void rt_target_ended(
    struct rt_target *target, const struct err *err, int64_t now_us);
/* The link is gone with all that ran there. */
void rt_target_lost(struct rt_fleet *fleet, struct rt_target *target);
/* Estimate of what is running there. */
unsigned int rt_target_running(const struct rt_target *target, int64_t now_us);

/* What a request may go to. */
struct rt_wish {
	enum rt_target_kind kind;
	const char *team;
	const char *pool;
	const char *service; /* "" for engines */
	const struct digest *roots; /* versions allowed; engines only */
	size_t nroots;
	bool ranked; /* a version is used only if the ones before cannot */
	const char *domain; /* of the entry: nearer targets go first */
	uint64_t prefix; /* of the prompt; 0: none. See rt_prefix_of */
	const struct rt_target *const *tried; /* not again */
	size_t ntried;
};

/*
 * Two usable targets at random and those believed to hold the prefix: the one
 * with the lowest estimated load wins, where a held prefix and the own domain
 * count as less load. NULL when none may be used now. Pure but for `rng`.
 */
struct rt_target *rt_choose(struct rt_fleet *fleet, const struct rt_wish *wish,
    int64_t now_us, struct rng *rng);
bool rt_may_use(
    const struct rt_target *target, const struct rt_wish *wish, int64_t now_us);
/* When the first of the resting targets may be used again; 0 when none
 * rests. For Retry-After. */
int64_t rt_rest_ends_us(
    struct rt_fleet *fleet, const struct rt_wish *wish, int64_t now_us);
/* Slots and estimated load of all that may be used but for rest; for
 * adm_lane_load. */
void rt_fleet_load(struct rt_fleet *fleet, const struct rt_wish *wish,
    unsigned int *slots, unsigned int *running);

/* ------------------------------------------------------------------ */
/* Prefixes                                                            */
/* ------------------------------------------------------------------ */

/*
 * The hash that engines name prefixes by in their cache events: FNV-1a 64
 * over the first RT_PREFIX_BYTES of the contents of the messages.
 */
#define RT_PREFIX_BYTES 256
struct rt_prefix {
	uint64_t hash;
	size_t len;
};
void rt_prefix_begin(struct rt_prefix *prefix);
void rt_prefix_add(struct rt_prefix *prefix, const char *content);
/* 0 when the contents are too short for a cache to matter. */
#define RT_PREFIX_LEAST 64
uint64_t rt_prefix_end(const struct rt_prefix *prefix);

/*
 * Who holds which prefix, as far as known: from what was sent there and from cache
 * events, which come late and with gaps. Beliefs age out, so that a lost
 * "gone" event does no lasting harm.
 */
void rt_fleet_prefix_sent(struct rt_fleet *fleet, struct rt_target *target,
    uint64_t prefix, int64_t now_us);
void rt_fleet_prefix_event(struct rt_fleet *fleet, struct rt_target *target,
    uint64_t prefix, bool present, int64_t now_us);

/* ------------------------------------------------------------------ */
/* Which sides an entry connects to                                    */
/* ------------------------------------------------------------------ */

struct rt_peer {
	const char *id;
	const char *region;
	const char *info; /* sides: their targets, see rt_info_append */
	bool wanted; /* sides: the answer */
};

/*
 * Each side is wanted by the RT_SUBSET_ENTRIES entries that rank first for
 * it, those of its own region before the others, so that sides have about
 * equally many connections whatever the numbers; an entry takes more sides
 * until it has RT_SUBSET_SIDES for each group of targets. All
 * entries with the same view compute it alike; one that leaves moves only
 * what it had.
 */
#define RT_SUBSET_ENTRIES 32
#define RT_SUBSET_SIDES 16
void rt_subset(const char *self, const struct rt_peer *entries, size_t nentries,
    struct rt_peer *sides, size_t nsides);

#endif
