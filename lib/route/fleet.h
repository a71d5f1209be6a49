#ifndef FLEET_H
#define FLEET_H

/*
 * The targets that a gateway knows, an estimate of the load of each, and the
 * choice of one for a request.
 *
 * Status reports lag, so the load is estimated: the number of running requests
 * last reported by the sidecar, plus those that this gateway has sent and minus
 * those that ended here since. The part that other gateways run halves at
 * intervals while no report arrives, or a target that was once full would be
 * avoided forever.
 *
 * Targets with the same workspace, kind, pool, service and loaded version form
 * a group. A choice compares a few targets of a group, whatever its size.
 */

#include "common/common.h"

#define RT_NAME_MAX 64 /* workspace, model, version, pool, target or service */

enum rt_target_kind {
	RT_ENGINE,
	RT_SERVICE,
};

struct rt_group;

struct rt_target {
	TAILQ_ENTRY(rt_target) link;
	char sidecar[RT_NAME_MAX + 1];
	char domain[RT_NAME_MAX + 1];
	char name[RT_NAME_MAX + 1];
	enum rt_target_kind kind;
	char workspace[RT_NAME_MAX + 1];
	char pool[RT_NAME_MAX + 1];
	char service[RT_NAME_MAX + 1];
	struct digest loaded;
	bool reachable; /* the connection to its sidecar is open */
	bool reported_accepting; /* as last reported by its sidecar */
	bool drain_ordered; /* not accepting, by an order of a rollout */
	bool accepting; /* reported as accepting, and its host is not leaving */
	unsigned int slots;
	void *owner; /* the caller's connection object for the sidecar */

	/* Private to the fleet. */
	unsigned int reported_running; /* as last reported by the sidecar */
	unsigned int local_inflight; /* sent by this gateway and not ended */
	unsigned int local_at_report; /* local_inflight at the last report */
	int64_t reported_us;
	unsigned int consecutive_failures;
	int64_t backoff_until_us;
	bool backoff_is_silence; /* may be chosen if no other is usable */
	int64_t sent_us; /* the last request */
	/* The first request since it sent anything; 0: none. */
	int64_t silent_since_us;
	int64_t found_silent_us; /* last; 0: it has sent something since */
	unsigned int unanswered; /* sent since the last response data from it */
	int64_t unanswered_since_us;
	uint32_t cache_epoch; /* incremented when its cache is lost */
	struct rt_group *group;
	guint group_index;
	unsigned int counted_slots, counted_running;
};

TAILQ_HEAD(rt_targets, rt_target);

/* The caller owns the targets, which must live as long as the fleet. */
struct rt_fleet;
struct rt_fleet *rt_fleet_new(void);
void rt_fleet_free(struct rt_fleet *fleet);
/* Updates the sums of rt_fleet_load to `now_us`; call periodically. */
void rt_fleet_refresh(struct rt_fleet *fleet, int64_t now_us);

/* Call for a new target, and when one of its non-private fields changed. */
void rt_fleet_update(struct rt_fleet *fleet, struct rt_target *target);
/* The sidecar reported the number of requests there, of all gateways. */
void rt_target_reported(
    struct rt_target *target, unsigned int running, int64_t now_us);
void rt_target_sent(struct rt_target *target, int64_t now_us);
/* Response data arrived for a request sent at `sent_us`; `first`: the first. */
void rt_target_responded(
    struct rt_target *target, bool first, int64_t sent_us, int64_t now_us);
/* A request there is without a response for too long. This is no failure: the
 * target is avoided as after one, but chosen if no other is usable, unless it
 * has been silent for RT_SILENT_MAX_US. */
#define RT_SILENT_MAX_US (2 * G_USEC_PER_SEC)
void rt_target_silent(struct rt_target *target, int64_t now_us);
/* A request sent there ended with `err`, ERR_NONE if it was answered. A refusal
 * or failure puts the target in backoff, longer with each consecutive one. A
 * deadline of the caller that expired counts as silence. */
void rt_target_ended(
    struct rt_target *target, const struct err *err, int64_t now_us);
/* The connection is lost, with all requests that ran there. */
void rt_target_disconnected(struct rt_fleet *fleet, struct rt_target *target);
/* Estimated number of requests running there. */
unsigned int rt_target_running(const struct rt_target *target, int64_t now_us);

/* The targets that a request may be sent to. */
struct rt_criteria {
	enum rt_target_kind kind;
	const char *workspace;
	const char *pool;
	const char *service; /* "" for engines */
	const struct digest *roots; /* versions allowed; engines only */
	size_t nroots;
	bool ranked; /* use a version only if no earlier one is usable */
	const char *domain; /* of the gateway; targets in it are preferred */
	uint64_t prefix; /* result of rt_prefix_end; 0: none */
	const struct rt_target *const *tried; /* not to be chosen again */
	size_t ntried;
	bool silent; /* include targets that are avoided as silent */
	/* For an attempt beside one that has been silent for this long: exclude
	 * targets that owe a response for as long, and those found silent in
	 * the last RT_SILENT_MAX_US / 2, also after the backoff. 0: no such
	 * attempt. */
	int64_t silent_limit_us;
};

/*
 * Compares two random usable targets and those assumed to have the prefix
 * cached, and returns the one with the lowest estimated load; a cached prefix
 * and the local domain count as less load. NULL when no target is usable now.
 * Pure except for `rng`.
 */
struct rt_target *rt_choose(struct rt_fleet *fleet,
    const struct rt_criteria *criteria, int64_t now_us, struct rng *rng);
bool rt_target_eligible(const struct rt_target *target,
    const struct rt_criteria *criteria, int64_t now_us);
/* Time at which the first target in backoff is usable again; 0 when none is in
 * backoff. For Retry-After. */
int64_t rt_backoff_ends_us(
    struct rt_fleet *fleet, const struct rt_criteria *criteria, int64_t now_us);
/* Slots and estimated load of all eligible targets, including those in backoff;
 * for adm_queue_load. */
void rt_fleet_load(struct rt_fleet *fleet, const struct rt_criteria *criteria,
    unsigned int *slots, unsigned int *running);

/* ------------------------------------------------------------------ */
/* Prefixes                                                            */
/* ------------------------------------------------------------------ */

/*
 * The hash that identifies a prefix in the cache events of engines: FNV-1a 64
 * over the first RT_PREFIX_BYTES of the concatenated message contents.
 */
#define RT_PREFIX_BYTES 256
struct rt_prefix {
	uint64_t hash;
	size_t len;
};
void rt_prefix_begin(struct rt_prefix *prefix);
void rt_prefix_add(struct rt_prefix *prefix, const char *content);
/* 0 when the contents are too short for caching to matter. */
#define RT_PREFIX_MIN_BYTES 64
uint64_t rt_prefix_end(const struct rt_prefix *prefix);

/*
 * Which targets have which prefix cached, inferred from the requests sent and
 * from cache events, which may be late or lost. Entries expire, so that a lost
 * removal event has no lasting effect.
 */
void rt_fleet_prefix_sent(struct rt_fleet *fleet, struct rt_target *target,
    uint64_t prefix, int64_t now_us);
void rt_fleet_prefix_event(struct rt_fleet *fleet, struct rt_target *target,
    uint64_t prefix, bool present, int64_t now_us);

/* ------------------------------------------------------------------ */
/* The sidecars that a gateway connects to                             */
/* ------------------------------------------------------------------ */

struct rt_peer {
	const char *id;
	const char *region;
	const char *info; /* of a sidecar: its targets, see rt_info_append */
	bool wanted; /* of a sidecar: the result */
};

/*
 * Subset by rendezvous hashing. Each sidecar is connected by the
 * RT_SUBSET_GATEWAYS gateways that rank first for it, those of its own region
 * before the others, so that all sidecars have about the same number of
 * connections at any scale. A gateway adds sidecars until it has
 * RT_SUBSET_SIDECARS for each group of targets. Gateways with the same member
 * list compute the same result, and one that leaves moves only its own
 * connections.
 */
#define RT_SUBSET_GATEWAYS 32
#define RT_SUBSET_SIDECARS 16
void rt_subset(const char *self, const struct rt_peer *gateways,
    size_t ngateways, struct rt_peer *sidecars, size_t nsidecars);

#endif
