/* How full targets are, and the choice of one. */

#include <math.h>
#include <string.h>

#include "serve/tgt_internal.h"

/* Word about the load that is older than this says nothing: a request on an
 * engine takes one to two seconds. */
#define LOAD_FRESH_US 600000
/* Longer rest before a request that may not be repeated is risked on it. */
#define PROBE_UNSAFE_US 1000000
/* Answers before the share of failures is believed. */
#define ERROR_ANSWERS 8
/*
 * Entries send to targets of their own region while these have places, so a
 * target's places are shared by its region's entries. This part of its free
 * places is drawn for by these; the rest is left to all others, whose own
 * targets are taken.
 */
#define NEAR_PART 0.8
/* Part of the entries that send to one target, where its region's are not
 * told. */
#define READ_SHARERS 0.4
/* A target at its limit of reading costs as much as so many requests. */
#define READ_COST 4.0
/* Targets this close, in requests, take turns by chance. */
#define TIE_COST 0.5
/* Failures beyond the service's usual share cost so many places. */
#define ERROR_COST 12.0

/* ------------------------------------------------------------------ */
/* How full                                                            */
/* ------------------------------------------------------------------ */

/* Entries that draw for the target's places, as this one must count them. */
static double
sharers(const struct tgt *t, const struct tgt_policy *p)
{
	unsigned int far;

	if (t->entries_near == 0)
		return MAX(1, p->entries);
	if (t->near)
		return MAX(1, t->entries_near / NEAR_PART);
	far = p->entries - MIN(p->entries, t->entries_near);
	return MAX(1, far / (1 - NEAR_PART));
}

double
tgt_estimate(const struct tgt *t, const struct tgt_policy *p, int64_t now_us)
{
	double others;

	if (t->seen_us == 0 || now_us - t->seen_us > LOAD_FRESH_US)
		return (double)t->mine * sharers(t, p);
	/* What the others had then, and what this entry has now. */
	others = (double)t->seen - (double)t->seen_mine;
	return MAX(0, others) + t->mine;
}

static unsigned int
slots_of(const struct tgt *t)
{
	if (t->says.slots > 0)
		return t->says.slots;
	return MAX(1, t->service->engine.slots);
}

double
tgt_limit(const struct tgt *t, const struct tgt_policy *p)
{
	return slots_of(t) + p->beyond_slots;
}

/* ------------------------------------------------------------------ */
/* Choice                                                              */
/* ------------------------------------------------------------------ */

static bool
was_tried(const struct tgt *t, const struct tgt_wish *wish)
{
	size_t i;

	for (i = 0; i < wish->nnot; i++) {
		if (wish->not [i] == t)
			return true;
	}
	return false;
}

static bool
has_weights(const struct tgt *t, const struct tgt_wish *wish, int64_t now_us)
{
	int64_t least = wish->version;

	if (wish->model == NULL || !t->says.has_models)
		return true;
	if (t->up_us != 0 && now_us - t->up_us < TGT_FRESH_US)
		least = MAX(least, wish->version_fresh);
	if (!t->near)
		least = MAX(least, wish->version_far);
	if (tgt_way_is_slow(t, now_us))
		least = MAX(least, wish->version_slow);
	return t->version > 0 && t->version >= least &&
	    strcmp(t->model, wish->model) == 0;
}

/* A number from 0 up to 1, the same until the next word about the load, and
 * another one at each entry. */
static double
draw_of(const struct tgt *t, const struct tgt_policy *p)
{
	uint64_t bits = hash64(p->seed, &t->seen_us, sizeof(t->seen_us));

	bits = hash64(bits, t->says.id, strlen(t->says.id));
	return tgt_part_of(bits);
}

/*
 * Places that a word about the load shows free are seen by all entries at
 * once. Were each to take them all, a target that has just come up would get
 * as many requests as there are entries times its places, and most would wait
 * there for seconds. Until the next word each takes its part. Where that is less
 * than one request and a side gives words often, it is drawn who sends: with
 * one each, nineteen entries kept some six requests waiting at every engine
 * where two were meant to, and six in ten first tokens came late.
 */
static bool
took_its_part(const struct tgt *t, const struct tgt_policy *p, int64_t now_us)
{
	double free_then = tgt_limit(t, p) - t->seen;
	double part = free_then / sharers(t, p);

	if (t->seen_us == 0 || now_us - t->seen_us > LOAD_FRESH_US)
		return false; /* the estimate has the others' parts in it */
	if (!tgt_side_is_heard(t, now_us))
		return t->sent_since >= MAX(1, ceil(part));
	return t->sent_since >= floor(part + draw_of(t, p));
}

/* Time in which the target reads the prompts that wait there: this entry's,
 * and as many of each other that sends to it. */
static int64_t
read_us(const struct tgt *t, const struct tgt_policy *p)
{
	double rate = t->service->engine.read_per_s;
	double sharers = MAX(1, p->entries * READ_SHARERS);

	if (rate <= 0)
		return 0;
	return (int64_t)((double)t->reading * sharers * G_USEC_PER_SEC / rate);
}

/*
 * A prompt is read before its first token, and those of others as well. Sent
 * to a target that has many to read, a request has its place at once and its
 * first token late: after its objective, or on weights that have become too
 * old meanwhile.
 */
static bool
reads_enough(const struct tgt *t, const struct tgt_policy *p)
{
	return p->read_us > 0 && read_us(t, p) >= p->read_us;
}

/* A target that failed gets one request at a time to show that it is back,
 * first such as may be repeated elsewhere. */
static bool
may_probe(const struct tgt *t, const struct tgt_wish *wish, int64_t now_us)
{
	int64_t from_us = t->rest_until_us;

	if (!wish->repeatable)
		from_us += PROBE_UNSAFE_US;
	return now_us >= from_us && !t->probing;
}

static bool
can_serve(const struct tgt *t, const struct tgt_wish *wish, int64_t now_us)
{
	if (t->leaving || t->side_down || !has_weights(t, wish, now_us))
		return false;
	if (t->failures > 0 && !may_probe(t, wish, now_us))
		return false;
	return !was_tried(t, wish);
}

/* Share of failures that is usual among the service's targets: the median
 * would be better, the smallest is simpler and never hides a bad target. */
static double
usual_errors(const struct tgt_service *service)
{
	const struct tgt *t;
	double least = 1;

	TAILQ_FOREACH (t, &service->targets, link) {
		if (t->answers >= ERROR_ANSWERS)
			least = MIN(least, t->error_share);
	}
	return least;
}

static double
cost_of(const struct tgt *t, const struct tgt_policy *p, double usual,
    int64_t now_us)
{
	double cost = tgt_estimate(t, p, now_us) / slots_of(t);

	/* What it has to read counts as much as its places: whole at the
	 * limit. */
	if (p->read_us > 0)
		cost += (double)read_us(t, p) / (double)p->read_us * READ_COST /
		    slots_of(t);
	if (!t->near)
		cost += p->far_cost / slots_of(t);
	if (t->answers >= ERROR_ANSWERS && t->error_share > usual)
		cost += (t->error_share - usual) * ERROR_COST / slots_of(t);
	if (t->side_us != 0 && !tgt_side_is_heard(t, now_us))
		cost += 1; /* last choice, not none: the side may be ill */
	return cost;
}

struct tgt *
tgt_choose(struct tgt_set *s, struct tgt_service *service,
    const struct tgt_wish *wish, int64_t now_us, enum tgt_why *why)
{
	double usual = usual_errors(service), cost;
	double best_cost = INFINITY, limited_cost = INFINITY;
	struct tgt *t, *best = NULL, *limited = NULL;
	struct rng rng;

	rng_seed(&rng, wish->random);
	*why = TGT_NONE;
	TAILQ_FOREACH (t, &service->targets, link) {
		if (!can_serve(t, wish, now_us))
			continue;
		if (tgt_estimate(t, &s->policy, now_us) + 1 >
			tgt_limit(t, &s->policy) -
			    wish->spare_share * slots_of(t) ||
		    took_its_part(t, &s->policy, now_us) ||
		    reads_enough(t, &s->policy)) {
			*why = TGT_FULL;
			continue;
		}
		cost = cost_of(t, &s->policy, usual, now_us);
		/* Entries that see the same figures would all choose the same
		 * of equal targets. */
		cost += TIE_COST * tgt_part_of(rng_next(&rng)) / slots_of(t);
		if (!tgt_rate_is_left(s, t, now_us)) {
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
