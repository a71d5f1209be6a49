#ifndef SERVE_TGT_H
#define SERVE_TGT_H

/*
 * tgt: a gateway's local state of the targets: which exist (from the store),
 * how loaded each is (from its sidecar, its answers and this gateway's own
 * requests), and whether it can be reached and answers; and the selection of a
 * target for a request. Pure: driven by events and a clock.
 */

#include <sys/queue.h>

#include "serve/rate.h"
#include "serve/records.h"
#include "serve/side.h"
#include "serve/vers.h"

struct tgt_service;

struct tgt {
	TAILQ_ENTRY(tgt) link; /* in its service */
	struct tgt_service *service;
	struct sv_target record; /* as published in the store */
	bool local; /* in this gateway's region */
	/* A planned stop was announced, or the sidecar reported it. */
	bool leaving;
	int64_t known_us; /* since when */
	/* Time at which to drop it, as it is missing from the store; 0: no. */
	int64_t drop_us;
	/* Load: this gateway's requests in flight now; and `reported` of all
	 * gateways at `reported_us`, when `reported_local` were this
	 * gateway's. */
	unsigned int local_inflight;
	unsigned int reported, reported_local;
	int64_t reported_us;
	unsigned int sent_since; /* by this gateway, since that report */
	/* Prompt tokens of this gateway's requests without an answer yet. */
	uint64_t prefill_tokens;
	int64_t side_report_us; /* last report of its sidecar; 0: none */
	uint32_t side_seq; /* of that report */
	/* The last report that came directly from the sidecar. */
	uint32_t direct_seq;
	int64_t direct_us; /* 0: none */
	/* Its sidecar was sent this gateway's address. */
	bool gateway_announced;
	/* Gateways in its region, as its sidecar reported; 0: not known. */
	unsigned int region_gateways;
	/* Last time its sidecar reported it up again; 0: not known. */
	int64_t up_us;
	bool side_down; /* the sidecar cannot reach it, or it loads weights */
	bool terminated; /* with `side_down`: its process has terminated */
	/* Its sidecar reported last that it may hold weights which were not
	 * loaded from valid chunks. */
	bool uncertain;
	/* Its sidecar has reported after it received the doubts that any gateway had
	 * about its weights. A target that is new to this set may still have such a
	 * doubt, as its record may have been missing when the set was created. */
	bool weights_known;
	/* Loaded; from the store or the sidecar, whichever is newer. */
	char model[SV_ID_MAX];
	int64_t version;
	/* Loaded, as known when it answered as another instance or with another
	 * version than was stated; 0: it did not. */
	int64_t refused_version;
	/* Root digest that its sidecar read for `root_version`. */
	struct digest root;
	int64_t root_version;
	struct rate rate;
	/* Inbound traffic of its host is slow, as its sidecar reported. */
	bool slow_link;
	/* How long it may wait there behind chunks of weights. */
	int64_t inbound_us;
	/* Step time relative to the configured one; 1: as configured. */
	double slowdown;
	/* It announced its stop in an answer, or in a record that an older one
	 * may follow. Ends only with this start of the target. */
	bool announced_leaving;
	/* Time before which it gets no requests of this gateway, as its
	 * refusals stated or as it may be gone; 0: none. */
	int64_t retry_after_us;
	int64_t removed_us; /* by the store; 0: not removed */
	/* Start of the silence for which a request reached its stall timeout;
	 * 0: the target has sent something to this gateway since, or failed. */
	int64_t silent_us;
	/* Its sidecar said so far that it leaves reports unanswered; last at
	 * this time. 0: it does not. */
	int64_t side_silent_us;
	/* Failures without an answer. */
	unsigned int failures; /* consecutive */
	int64_t backoff_until_us;
	/* One request in flight probes whether it has recovered. */
	bool probing;
	/* Moving average of the share of answers that were failures. */
	double error_rate;
	unsigned int answers;
	/* Number of requests that hold a reference; the last one frees a
	 * dropped target. */
	unsigned int refs;
	bool dropped;
};

TAILQ_HEAD(tgt_list, tgt);

/* Root digest of a version on which enough sidecars agreed. */
struct tgt_root {
	int64_t version; /* 0: none */
	struct digest root;
};

struct tgt_service {
	char *name;
	struct tgt_root roots[2]; /* of the last two versions, newest first */
	struct tgt_list targets;
	unsigned int ntargets;
	/* Last report of any of their sidecars; 0: none. */
	int64_t side_report_us;
	bool side_settled; /* one reported that it is not starting */
	/* From the settings; 0 slots: as published by each target. */
	bool configured; /* the settings contain this service */
	bool has_engine;
	struct sv_engine engine;
	unsigned int connections_max;
};

struct tgt_set;

/* Parameters of how many requests a target gets. */
struct tgt_policy {
	/* Requests that a target may hold beyond its slots, so that a freed
	 * slot is filled at once. */
	double beyond_slots;
	/* Penalty, in requests, for a target in a remote region: its
	 * transfers and round trips cost more. */
	double remote_cost;
	/* Longest time that a target may need to read its queued prompts
	 * before it gets another; 0: no limit. */
	int64_t prefill_max_us;
	/* Gateways that share a target. */
	unsigned int gateways;
	/* The same with those that sent something in the last minute, as they
	 * may only be cut off: together they must not exceed a target's rate
	 * limit. */
	unsigned int sharers;
	/* Differs between gateways; decides which one takes a single free
	 * slot. */
	uint64_t seed;
	/* Reports the rate limit of `t` to the sidecar of `at`, and requests
	 * a permit if `ask` is set. NULL: there are no sidecars. */
	void (*report_rate)(
	    const struct tgt *t, const struct tgt *at, bool ask, void *ctx);
	void *rate_ctx;
};

struct tgt_set *tgt_set_new(const char *region, const struct tgt_policy *p);
void tgt_set_free(struct tgt_set *s);
struct tgt_policy *tgt_set_policy(struct tgt_set *s);
/* Maps a failure domain to its region. */
void tgt_set_domain(struct tgt_set *s, const char *domain, const char *region);
struct tgt_service *tgt_service(struct tgt_set *s, const char *name);
/* Applies the engines' parameters from the settings. */
void tgt_configure(struct tgt_set *s, const struct sv_config *config);

/*
 * Events from the store. A target that restarted under its id counts as a new
 * one, as it has lost all state. Requests that were sent to the previous start
 * retain it by their reference.
 */
struct tgt *tgt_put(
    struct tgt_set *s, const struct sv_target *record, int64_t now_us);
/* `expired`: found missing after an interruption of the updates. The target
 * may only be late to publish its record again, so it is retained for a
 * moment. Returns the target that gets the address back, or NULL: its record
 * was not removed, and the removed one had taken over its address. */
struct tgt *tgt_removed(
    struct tgt_set *s, const char *id, bool expired, int64_t now_us);
/* The store was restored from an older copy: records that come now may be older
 * than those before. They undo no planned stop, and a target that was removed
 * before gets no requests until its removal had time to be repeated. */
void tgt_restored(struct tgt_set *s, int64_t now_us);
/* Drops expired targets whose retention time has passed. */
void tgt_sweep(struct tgt_set *s, int64_t now_us);
/* Number of targets with a rate limit. */
unsigned int tgt_limited(struct tgt_set *s);
struct tgt *tgt_find(struct tgt_set *s, const char *id);
struct tgt *tgt_by_address(struct tgt_set *s, const char *address);
/* Newest version of the service's model that live sidecars report as loaded;
 * 0: none. */
int64_t tgt_newest_loaded(const struct tgt_service *service, int64_t now_us);

struct tgt *tgt_ref(struct tgt *t);
void tgt_unref(struct tgt *t);

/* Events of requests. */
void tgt_sent(struct tgt *t, int64_t now_us);
/* A prompt was sent; or its answer began or ended (`sent` false). */
void tgt_prefill(struct tgt *t, uint64_t tokens, bool sent);
void tgt_ended(struct tgt *t, int64_t now_us);
/* Total load over all gateways, as reported by an answer or a sidecar. */
void tgt_set_load(struct tgt *t, unsigned int total, int64_t now_us);
enum tgt_outcome {
	TGT_ANSWERED, /* successful */
	TGT_ERROR, /* answered with a failure */
	TGT_REFUSED, /* full or leaving; the request was not run */
	TGT_TIMEOUT, /* timed out without an answer */
	TGT_LOST, /* unreachable, connection reset, or malformed answer */
};
void tgt_outcome(struct tgt *t, enum tgt_outcome o, int64_t now_us);
/*
 * A request has reached its stall timeout: the target has sent nothing for it
 * since `since_us`. That is no evidence of a failure yet: a sound target may be silent for a
 * second or so. Requests avoid it while any other target can serve them.
 */
void tgt_silent(struct tgt *t, int64_t since_us, int64_t now_us);
/* The target has sent something, so it lives. Returns for how long it had been
 * silent if tgt_silent() was called meanwhile; otherwise 0. */
int64_t tgt_heard(struct tgt *t, int64_t now_us);
/* Its sidecar reported whether it leaves reports unanswered. */
void tgt_set_side_silent(struct tgt *t, bool silent, int64_t now_us);
/* The word of its sidecar, until it is too old. */
bool tgt_is_silent_to_side(const struct tgt *t, int64_t now_us);
/* A probe ended without an outcome, as its caller has left or was answered by
 * another target. */
void tgt_probe_abandoned(struct tgt *t);
/* An answer announced the target's planned stop. True if that is new. */
bool tgt_announced_leaving(struct tgt_set *s, struct tgt *t, int64_t now_us);
/* A refusal asked for no requests before `until_us`. Never shortens the time
 * that an earlier one asked for. True if there was none under way. */
bool tgt_asked_retry_after(
    struct tgt_set *s, struct tgt *t, int64_t until_us, int64_t now_us);
/* The sidecar reported whether the target takes requests. */
void tgt_set_side_down(struct tgt *t, bool down, int64_t now_us);
/* An answer to a request sent at `asked_us` carries a rate limit, or none
 * (0). True if the limit applied here changed. */
bool tgt_rate_answered(struct tgt_set *s, struct tgt *t, double limit,
    int64_t asked_us, int64_t now_us);
/* Requests a permit if the target has a rate limit. */
void tgt_ask_permit(struct tgt_set *s, struct tgt *t, int64_t now_us);
/* Step time in thousandths of the configured one, as reported by the
 * sidecar; 0: not known. */
void tgt_set_slowdown(struct tgt *t, uint64_t permille);
/* Whether a report that came directly from the sidecar was sent before the last
 * one. A sidecar that starts again counts anew. */
bool tgt_side_is_outdated(const struct tgt *t, uint32_t seq, int64_t now_us);
/* A report came directly from the sidecar; `seq` is its sequence number. */
void tgt_side_reported(struct tgt *t, uint32_t seq, int64_t now_us);
/* What the target has loaded, and whether it is proved. */
void tgt_side_version(struct tgt *t, const struct side_report *report);
/* Whether processes are known that did not start together with this one, so that
 * they may remember doubts. */
bool tgt_has_predecessors(
    const struct tgt_set *s, const struct tgt_service *service, int64_t now_us);
/*
 * A load report of the sidecar was relayed by a gateway of the target's region.
 * Ignored (false) unless newer than the last known report, as a gateway that
 * stalled relays old reports; and ignored while no direct report has come in,
 * as a relayed one does not tell whether the target takes requests.
 */
bool tgt_relayed(
    struct tgt *t, const struct side_relayed *report, int64_t now_us);
/* Start time of the target as reported by its sidecar; 0: not known. Returns
 * `t`, or a new target if the start time changed. */
struct tgt *tgt_side_started(
    struct tgt_set *s, struct tgt *t, int64_t start_ms);
/*
 * Selects up to `most` targets with a live sidecar by rendezvous hashing, best
 * first, so that all gateways select mostly the same for a seed. Returns their
 * number.
 */
size_t tgt_sides(struct tgt_set *s, uint64_t seed, int64_t now_us,
    const struct tgt *out[], size_t most);
/* Whether any target has a live sidecar. */
bool tgt_has_sides(struct tgt_set *s, int64_t now_us);
/* Another instance answers at its address, or it has loaded another version: it
 * gets no requests until its record changes, or its sidecar reports another version. */
void tgt_wrong_instance(struct tgt *t);

/* Whether requests, and messages that cancel them, may be delayed on the way
 * to the target: its sidecar reported a slow link; or the sidecar's reports
 * do not arrive while those of others of its service do, as they are lost on
 * a full link or the host has only just become reachable again. */
bool tgt_path_is_slow(const struct tgt *t, int64_t now_us);

/* Estimated number of requests in flight at the target. */
double tgt_estimate(
    const struct tgt *t, const struct tgt_policy *p, int64_t now_us);
double tgt_limit(const struct tgt *t, const struct tgt_policy *p);

/* All gateways see a target that has just come up as empty and send to it at
 * once, so requests queue there for longer than elsewhere. */
#define TGT_FRESH_US 1000000

struct tgt_criteria {
	const char *model; /* NULL: any model */
	int64_t version; /* minimum; 0: any loaded version */
	/* Minimum for a target up for less than TGT_FRESH_US. */
	int64_t version_fresh;
	int64_t version_remote; /* minimum for a target in a remote region */
	int64_t version_slow; /* minimum for a target behind a slow link */
	/* The same for a target whose inbound traffic waits: the minimum when
	 * that time is added to `begin_us`, or to `begin_remote_us` in another
	 * region. NULL: not considered. */
	const struct vers *versions;
	int64_t begin_us, begin_remote_us;
	const struct tgt *const *exclude; /* targets tried before */
	size_t nexclude;
	bool repeatable; /* may probe a target that failed */
	/* No target that is silent, unless as a probe after its backoff;
	 * otherwise such a target is chosen if no other is eligible and the
	 * request may be repeated. */
	bool not_silent;
	double reserve_share; /* share of the slots that must stay free */
	uint64_t random;
};

enum tgt_reason { /* outcome of a choice */
	TGT_CHOSEN,
	TGT_FULL, /* all eligible targets are full */
	/* All eligible targets asked for no requests until later. */
	TGT_RETRY_LATER,
	/* All eligible targets are silent, and the request could not be sent
	 * again if they were dead. */
	TGT_SILENT,
	TGT_NONE, /* no target is eligible now */
};

/* Earliest time at which a target that meets the criteria, and asked for no
 * requests until then, takes some again; 0: there is none. */
int64_t tgt_soonest_us(const struct tgt_service *service,
    const struct tgt_criteria *criteria, int64_t now_us);
/* The same for any target of the set. */
int64_t tgt_set_soonest_us(const struct tgt_set *s, int64_t now_us);
struct tgt *tgt_choose(struct tgt_set *s, struct tgt_service *service,
    const struct tgt_criteria *criteria, int64_t now_us, enum tgt_reason *why);
#endif
