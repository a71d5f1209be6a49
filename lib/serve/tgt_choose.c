/* Load estimate of the targets, and the selection of one. */

#include <math.h>
#include <string.h>

#include "serve/tgt_internal.h"

/* A load report older than this is ignored: a request on an engine takes one
 * to two seconds. */
#define LOAD_FRESH_US 600000
/* Additional backoff before a request that must not be repeated may probe a
 * target. */
#define PROBE_UNSAFE_US 1000000
/* Number of answers from which the error rate is used. */
#define ERROR_ANSWERS 8
/*
 * Gateways prefer targets of their own region while these have free slots. The
 * gateways of a target's region share this part of its free slots; the rest is
 * left to all others, whose local targets are full.
 */
#define LOCAL_SHARE 0.8
/* Share of the gateways that send to one target while the number in its
 * region is not known. */
#define READ_SHARERS 0.4
/* A target at its prompt reading limit costs as much as this many requests. */
#define READ_COST 4.0
/* Targets whose costs differ by less than this, in requests, are chosen at
 * random. */
#define TIE_COST 0.5
/* Cost, in slots, of an error rate above the service's baseline. */
#define ERROR_COST 12.0

/* ------------------------------------------------------------------ */
/* Load estimate                                                       */
/* ------------------------------------------------------------------ */

/* Number of gateways that share the target's slots, from the point of view of
 * this one. */
static double
sharers(const struct tgt *t, const struct tgt_policy *p)
{
	unsigned int remote;

	if (t->region_gateways == 0)
		return MAX(1, p->gateways);
	if (t->local)
		return MAX(1, t->region_gateways / LOCAL_SHARE);
	remote = p->gateways - MIN(p->gateways, t->region_gateways);
	return MAX(1, remote / (1 - LOCAL_SHARE));
}

double
tgt_estimate(const struct tgt *t, const struct tgt_policy *p, int64_t now_us)
{
	double others;

	if (t->reported_us == 0 || now_us - t->reported_us > LOAD_FRESH_US)
		return (double)t->local_inflight * sharers(t, p);
	/* The others' requests at the time of the report, plus the current
	 * local ones. */
	others = (double)t->reported - (double)t->reported_local;
	return MAX(0, others) + t->local_inflight;
}

static unsigned int
slot_count(const struct tgt *t)
{
	if (t->record.slots > 0)
		return t->record.slots;
	return MAX(1, t->service->engine.slots);
}

double
tgt_limit(const struct tgt *t, const struct tgt_policy *p)
{
	return slot_count(t) + p->beyond_slots;
}

/* ------------------------------------------------------------------ */
/* Selection                                                           */
/* ------------------------------------------------------------------ */

static bool
is_excluded(const struct tgt *t, const struct tgt_criteria *criteria)
{
	size_t i;

	for (i = 0; i < criteria->nexclude; i++) {
		if (criteria->exclude[i] == t)
			return true;
	}
	return false;
}

/* Minimum version for a target whose inbound traffic waits behind chunks. */
static int64_t
version_behind_chunks(const struct tgt *t, const struct tgt_criteria *criteria)
{
	int64_t begin_us =
	    t->local ? criteria->begin_us : criteria->begin_remote_us;

	if (t->inbound_us == 0 || criteria->versions == NULL)
		return 0;
	return vers_min(
	    criteria->versions, criteria->model, begin_us + t->inbound_us);
}

/* For so long a target's sidecar is expected to report once the target is known. */
#define RECORD_WAIT_US 2000000

/* The record states which version is loaded. Whether its chunks were valid, only
 * the sidecar reports; one that does not report in time counts as gone. */
static bool
knows_weights(const struct tgt *t, int64_t now_us)
{
	return t->side_report_us != 0 || t->service->engine.chunks == 0 ||
	    now_us - t->known_us >= RECORD_WAIT_US;
}

static bool
has_weights(
    const struct tgt *t, const struct tgt_criteria *criteria, int64_t now_us)
{
	int64_t least = criteria->version;

	if (criteria->model == NULL || !t->record.has_models)
		return true;
	if (!knows_weights(t, now_us))
		return false;
	if (t->up_us != 0 && now_us - t->up_us < TGT_FRESH_US)
		least = MAX(least, criteria->version_fresh);
	if (!t->local)
		least = MAX(least, criteria->version_remote);
	if (tgt_path_is_slow(t, now_us))
		least = MAX(least, criteria->version_slow);
	least = MAX(least, version_behind_chunks(t, criteria));
	return t->version > 0 && t->version >= least &&
	    strcmp(t->model, criteria->model) == 0;
}

/* A number in [0, 1) that stays the same until the next load report and
 * differs between gateways. */
static double
random_fraction(const struct tgt *t, const struct tgt_policy *p)
{
	uint64_t bits =
	    hash64(p->seed, &t->reported_us, sizeof(t->reported_us));

	bits = hash64(bits, t->record.id, strlen(t->record.id));
	return tgt_unit_hash(bits);
}

/*
 * All gateways see the free slots of a load report at once. If each took them
 * all, a target that has just come up would get its free slots times the number
 * of gateways, and most requests would queue there for seconds. So until the
 * next report each gateway takes only its share. While the sidecar is alive a
 * fractional share is rounded up or down at random: with one request each,
 * nineteen gateways kept some six requests waiting at every engine where two
 * were intended, and six in ten first tokens were late.
 */
static bool
took_its_share(const struct tgt *t, const struct tgt_policy *p, int64_t now_us)
{
	double free_slots = tgt_limit(t, p) - t->reported;
	double share = free_slots / sharers(t, p);

	if (t->reported_us == 0 || now_us - t->reported_us > LOAD_FRESH_US)
		/* The estimate already includes the others' shares. */
		return false;
	if (!tgt_side_is_alive(t, now_us))
		return t->sent_since >= MAX(1, ceil(share));
	return t->sent_since >= floor(share + random_fraction(t, p));
}

/* Time that the target needs to read its queued prompts: those of this
 * gateway, and as many of each other gateway that sends to it. */
static int64_t
read_us(const struct tgt *t, const struct tgt_policy *p)
{
	double rate = t->service->engine.prefill_per_s;
	double sharers = MAX(1, p->gateways * READ_SHARERS);

	if (rate <= 0)
		return 0;
	return (int64_t)((double)t->prefill_tokens * sharers * G_USEC_PER_SEC /
	    rate);
}

/*
 * A target reads a prompt before it writes the first token, and the queued ones
 * before that. On a target with many prompts to read, a request gets its slot
 * at once but its first token late: after its objective, or from weights that
 * have become too old meanwhile.
 */
static bool
prompt_queue_is_full(const struct tgt *t, const struct tgt_policy *p)
{
	return p->prefill_max_us > 0 && read_us(t, p) >= p->prefill_max_us;
}

/* A target that failed gets one probing request at a time, after the
 * backoff; at first only requests that may be repeated elsewhere. */
static bool
may_probe(
    const struct tgt *t, const struct tgt_criteria *criteria, int64_t now_us)
{
	int64_t probe_from_us = t->backoff_until_us;

	if (!criteria->repeatable)
		probe_from_us += PROBE_UNSAFE_US;
	return now_us >= probe_from_us && !t->probing;
}

/* Silent, and not for so long that it counts as failed. */
static bool
is_only_silent(const struct tgt *t, int64_t now_us)
{
	return t->silent_us != 0
	    ? now_us - t->silent_us < SV_SILENCE_MAX_US
	    : tgt_is_silent_to_side(t, now_us) && t->failures == 0;
}

static bool
can_serve(
    const struct tgt *t, const struct tgt_criteria *criteria, int64_t now_us)
{
	if (t->leaving || t->side_down || !has_weights(t, criteria, now_us) ||
	    is_excluded(t, criteria))
		return false;
	if (tgt_is_silent_to_side(t, now_us))
		return false;
	return t->failures == 0 || may_probe(t, criteria, now_us);
}

/* The same where no target can serve: one that is silent may go on any moment,
 * and all may be silent for a common cause. */
static bool
may_go_on(
    const struct tgt *t, const struct tgt_criteria *criteria, int64_t now_us)
{
	return !t->leaving && !t->side_down &&
	    has_weights(t, criteria, now_us) && !is_excluded(t, criteria) &&
	    is_only_silent(t, now_us);
}

typedef bool eligible(
    const struct tgt *t, const struct tgt_criteria *criteria, int64_t now_us);

static bool
is_deferred(const struct tgt *t, int64_t now_us)
{
	return now_us < t->retry_after_us;
}

/* The earlier of `soonest_us` (0: none) and the end of the target's deferral, if
 * it is deferred. */
static int64_t
earlier_us(int64_t soonest_us, const struct tgt *t, int64_t now_us)
{
	if (!is_deferred(t, now_us) ||
	    (soonest_us != 0 && soonest_us <= t->retry_after_us))
		return soonest_us;
	return t->retry_after_us;
}

int64_t
tgt_soonest_us(const struct tgt_service *service,
    const struct tgt_criteria *criteria, int64_t now_us)
{
	const struct tgt *t;
	int64_t soonest_us = 0;

	TAILQ_FOREACH (t, &service->targets, link) {
		if (can_serve(t, criteria, now_us))
			soonest_us = earlier_us(soonest_us, t, now_us);
	}
	return soonest_us;
}

int64_t
tgt_set_soonest_us(const struct tgt_set *s, int64_t now_us)
{
	int64_t soonest_us = 0;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, s->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		soonest_us = earlier_us(soonest_us, value, now_us);
	return soonest_us;
}

/* Baseline error rate among the service's targets. The median would be
 * better; the minimum is simpler and never hides a bad target. */
static double
baseline_errors(const struct tgt_service *service)
{
	const struct tgt *t;
	double least = 1;

	TAILQ_FOREACH (t, &service->targets, link) {
		if (t->answers >= ERROR_ANSWERS)
			least = MIN(least, t->error_rate);
	}
	return least;
}

static double
target_cost(const struct tgt *t, const struct tgt_policy *p, double baseline,
    int64_t now_us)
{
	double cost = tgt_estimate(t, p, now_us) / slot_count(t);

	/* Queued prompts count as much as slots: READ_COST at the limit. */
	if (p->prefill_max_us > 0)
		cost += (double)read_us(t, p) / (double)p->prefill_max_us *
		    READ_COST / slot_count(t);
	if (!t->local)
		cost += p->remote_cost / slot_count(t);
	if (t->answers >= ERROR_ANSWERS && t->error_rate > baseline)
		cost += (t->error_rate - baseline) * ERROR_COST / slot_count(t);
	if (t->side_report_us != 0 && !tgt_side_is_alive(t, now_us))
		/* Last choice, but not excluded: only the sidecar may have
		 * failed. */
		cost += 1;
	return cost;
}

/* `*sound` is set if an eligible target is neither silent nor in backoff. */
static struct tgt *
choose_among(eligible *is_eligible, struct tgt_set *s,
    struct tgt_service *service, const struct tgt_criteria *criteria,
    int64_t now_us, enum tgt_reason *why, bool *sound)
{
	double baseline = baseline_errors(service), cost;
	double best_cost = INFINITY, limited_cost = INFINITY;
	struct tgt *t, *best = NULL, *limited = NULL;
	struct rng rng;

	rng_seed(&rng, criteria->random);
	*why = TGT_NONE;
	TAILQ_FOREACH (t, &service->targets, link) {
		if (!is_eligible(t, criteria, now_us))
			continue;
		*sound = *sound ||
		    (t->failures == 0 && !tgt_is_silent_to_side(t, now_us));
		if (is_deferred(t, now_us)) {
			if (*why == TGT_NONE)
				*why = TGT_RETRY_LATER;
			continue;
		}
		if (tgt_estimate(t, &s->policy, now_us) + 1 >
			tgt_limit(t, &s->policy) -
			    criteria->reserve_share * slot_count(t) ||
		    took_its_share(t, &s->policy, now_us) ||
		    prompt_queue_is_full(t, &s->policy)) {
			*why = TGT_FULL;
			continue;
		}
		cost = target_cost(t, &s->policy, baseline, now_us);
		/* Random tie-break: gateways with the same figures would
		 * otherwise all choose the same of equal targets. */
		cost +=
		    TIE_COST * tgt_unit_hash(rng_next(&rng)) / slot_count(t);
		if (!tgt_rate_allows(s, t, now_us)) {
			*why = TGT_FULL;
			if (cost < limited_cost) {
				limited = t;
				limited_cost = cost;
			}
		} else if (cost < best_cost) {
			best = t;
			best_cost = cost;
		}
	}
	if (limited != NULL && limited_cost < best_cost)
		tgt_ask_permit(s, limited, now_us);
	if (best != NULL)
		*why = TGT_CHOSEN;
	return best;
}

struct tgt *
tgt_choose(struct tgt_set *s, struct tgt_service *service,
    const struct tgt_criteria *criteria, int64_t now_us, enum tgt_reason *why)
{
	enum tgt_reason why_silent;
	bool sound = false;
	struct tgt *t =
	    choose_among(can_serve, s, service, criteria, now_us, why, &sound);

	if (t != NULL || sound || criteria->not_silent)
		return t;
	t = choose_among(
	    may_go_on, s, service, criteria, now_us, &why_silent, &sound);
	if (why_silent == TGT_NONE || why_silent == TGT_RETRY_LATER)
		return NULL;
	if (criteria->repeatable) {
		*why = why_silent;
		return t;
	}
	/* Refused, its caller may come back; lost, it may not. */
	*why = TGT_SILENT;
	return NULL;
}
