/* Requests under which targets terminated. */

#include <string.h>

#include "common/common.h"
#include "serve/suspect.h"

#define SUSPECTS_MAX 2048
#define TERMINATIONS_MAX 6 /* of a request; the oldest is dropped first */
#define ENDED_TARGETS_MAX 32 /* recently terminated targets */

#define BLOCK_WEIGHT 4 /* sum of weights: two targets without an answer */
/* A cut-off counts this long while it is not known whether its target
 * terminated. The target's sidecar detects that within 0.1 s. */
#define PENDING_US 300000
/* A cut-off within this time of its target's termination is due to it. */
#define CONFIRM_US 1000000
/* Reports by several gateways on one target within this time are of the same
 * termination; a target that restarts under its id takes longer. */
#define SAME_END_US 2000000
#define SUSPECT_US 60000000 /* after which a single termination expires */

/* Time blocked after the second, third, ... termination without an answer. */
static const int64_t block_us[] = {
	10 * G_USEC_PER_SEC,
	300 * (int64_t)G_USEC_PER_SEC,
	3600 * (int64_t)G_USEC_PER_SEC,
	24 * 3600 * (int64_t)G_USEC_PER_SEC,
};

struct termination {
	uint64_t target;
	unsigned int weight;
	int64_t at_us;
	bool confirmed; /* the target is known to have terminated */
};

struct suspect {
	uint64_t fingerprint; /* key */
	struct termination terminations[TERMINATIONS_MAX];
	unsigned int nterminations;
	int64_t last_us; /* latest termination */
	int64_t blocked_until_us; /* 0: never blocked */
};

struct ended_target {
	uint64_t target;
	int64_t at_us;
};

struct sus {
	uint64_t seed;
	GHashTable *suspects; /* fingerprint -> struct suspect */
	struct ended_target ended_targets[ENDED_TARGETS_MAX]; /* ring buffer */
	unsigned int next_ended;
};

struct sus *
sus_new(uint64_t seed)
{
	struct sus *s = g_new0(struct sus, 1);

	s->seed = seed;
	s->suspects =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	return s;
}

void
sus_free(struct sus *s)
{
	if (s == NULL)
		return;
	g_hash_table_unref(s->suspects);
	g_free(s);
}

bool
sus_is_empty(const struct sus *s)
{
	return g_hash_table_size(s->suspects) == 0;
}

/* ------------------------------------------------------------------ */
/* Evidence against a request                                          */
/* ------------------------------------------------------------------ */

static unsigned int
confirmed_weight(const struct suspect *sp)
{
	unsigned int weight = 0, i;

	for (i = 0; i < sp->nterminations; i++)
		weight += sp->terminations[i].confirmed
		    ? sp->terminations[i].weight
		    : 0;
	return weight;
}

static unsigned int
pending_weight(const struct suspect *sp, int64_t now_us)
{
	unsigned int weight = 0, i;

	for (i = 0; i < sp->nterminations; i++) {
		if (!sp->terminations[i].confirmed &&
		    now_us - sp->terminations[i].at_us < PENDING_US)
			weight += sp->terminations[i].weight;
	}
	return weight;
}

/* Differs between gateways, so that they probe at different times: copies
 * of the request that reach several gateways at once would otherwise all be
 * sent. */
static int64_t
block_span_us(
    const struct sus *s, const struct suspect *sp, unsigned int weight)
{
	size_t step = MIN((weight - BLOCK_WEIGHT) / SUS_UNANSWERED,
	    G_N_ELEMENTS(block_us) - 1);
	uint64_t bits =
	    hash64(s->seed, &sp->fingerprint, sizeof(sp->fingerprint));
	double fraction = (double)(bits >> 11) / (double)(UINT64_C(1) << 53);

	return (int64_t)((double)block_us[step] * (1 + fraction));
}

static void
block_if_confirmed(const struct sus *s, struct suspect *sp)
{
	unsigned int weight = confirmed_weight(sp);

	if (weight >= BLOCK_WEIGHT)
		sp->blocked_until_us = MAX(sp->blocked_until_us,
		    sp->last_us + block_span_us(s, sp, weight));
}

/* ------------------------------------------------------------------ */
/* Suspects                                                            */
/* ------------------------------------------------------------------ */

static struct suspect *
find(const struct sus *s, uint64_t fingerprint)
{
	return g_hash_table_lookup(s->suspects, &fingerprint);
}

static bool
is_less_suspect(const struct suspect *a, const struct suspect *b)
{
	bool a_blocked = a->blocked_until_us != 0,
	     b_blocked = b->blocked_until_us != 0;

	return a_blocked != b_blocked ? b_blocked : a->last_us < b->last_us;
}

static void
make_room(struct sus *s)
{
	struct suspect *sp, *least = NULL;
	GHashTableIter iter;
	gpointer value;

	if (g_hash_table_size(s->suspects) < SUSPECTS_MAX)
		return;
	g_hash_table_iter_init(&iter, s->suspects);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		sp = value;
		if (least == NULL || is_less_suspect(sp, least))
			least = sp;
	}
	g_hash_table_remove(s->suspects, &least->fingerprint);
}

static struct suspect *
get(struct sus *s, uint64_t fingerprint)
{
	struct suspect *sp = find(s, fingerprint);

	if (sp != NULL)
		return sp;
	make_room(s);
	sp = g_new0(struct suspect, 1);
	sp->fingerprint = fingerprint;
	g_hash_table_insert(s->suspects, &sp->fingerprint, sp);
	return sp;
}

static struct termination *
find_termination(struct suspect *sp, const struct sus_termination *termination)
{
	unsigned int i;

	for (i = 0; i < sp->nterminations; i++) {
		if (sp->terminations[i].target == termination->target &&
		    ABS(sp->terminations[i].at_us - termination->at_us) <
			SAME_END_US)
			return &sp->terminations[i];
	}
	return NULL;
}

static void
remove_termination(struct suspect *sp, unsigned int i)
{
	sp->nterminations--;
	memmove(&sp->terminations[i], &sp->terminations[i + 1],
	    (sp->nterminations - i) * sizeof(sp->terminations[0]));
}

/* Returns true if it is new, now confirmed, or of greater weight. */
static bool
add_termination(
    struct sus *s, const struct sus_termination *termination, bool confirmed)
{
	struct suspect *sp = get(s, termination->fingerprint);
	struct termination *known = find_termination(sp, termination);
	bool is_new;

	if (known == NULL) {
		if (sp->nterminations == TERMINATIONS_MAX)
			remove_termination(sp, 0);
		known = &sp->terminations[sp->nterminations++];
		*known = (struct termination){ .target = termination->target,
			.at_us = termination->at_us };
	}
	is_new =
	    known->weight < termination->weight || known->confirmed < confirmed;
	known->weight = MAX(known->weight, termination->weight);
	known->confirmed |= confirmed;
	sp->last_us = MAX(sp->last_us, termination->at_us);
	block_if_confirmed(s, sp);
	return is_new;
}

/* ------------------------------------------------------------------ */
/* Events                                                              */
/* ------------------------------------------------------------------ */

static bool
has_terminated(const struct sus *s, uint64_t target, int64_t now_us)
{
	unsigned int i;

	for (i = 0; i < ENDED_TARGETS_MAX; i++) {
		if (s->ended_targets[i].target == target &&
		    s->ended_targets[i].at_us != 0 &&
		    now_us - s->ended_targets[i].at_us < CONFIRM_US)
			return true;
	}
	return false;
}

bool
sus_cut(struct sus *s, const struct sus_termination *termination)
{
	bool confirmed =
	    has_terminated(s, termination->target, termination->at_us);

	return add_termination(s, termination, confirmed) && confirmed;
}

static void
confirm(struct sus *s, struct suspect *sp, uint64_t target, int64_t now_us,
    GArray *confirmed)
{
	struct sus_termination termination;
	unsigned int i;

	for (i = 0; i < sp->nterminations; i++) {
		if (sp->terminations[i].target != target ||
		    sp->terminations[i].confirmed ||
		    now_us - sp->terminations[i].at_us > CONFIRM_US)
			continue;
		sp->terminations[i].confirmed = true;
		termination =
		    (struct sus_termination){ .fingerprint = sp->fingerprint,
			    .target = target,
			    .weight = sp->terminations[i].weight,
			    .at_us = sp->terminations[i].at_us };
		g_array_append_val(confirmed, termination);
	}
	block_if_confirmed(s, sp);
}

void
sus_target_terminated(
    struct sus *s, uint64_t target, int64_t now_us, GArray *confirmed)
{
	GHashTableIter iter;
	gpointer suspect;

	s->ended_targets[s->next_ended] =
	    (struct ended_target){ target, now_us };
	s->next_ended = (s->next_ended + 1) % ENDED_TARGETS_MAX;
	g_hash_table_iter_init(&iter, s->suspects);
	while (g_hash_table_iter_next(&iter, NULL, &suspect))
		confirm(s, suspect, target, now_us, confirmed);
}

bool
sus_report(struct sus *s, const struct sus_termination *termination)
{
	if (termination->weight == SUS_CLEARED)
		return g_hash_table_remove(
		    s->suspects, &termination->fingerprint);
	return add_termination(s, termination, true);
}

bool
sus_answered(struct sus *s, uint64_t fingerprint)
{
	struct suspect *sp = find(s, fingerprint);
	bool was_published;

	if (sp == NULL)
		return false;
	was_published = confirmed_weight(sp) > 0;
	g_hash_table_remove(s->suspects, &fingerprint);
	return was_published;
}

/* ------------------------------------------------------------------ */
/* Verdicts                                                            */
/* ------------------------------------------------------------------ */

enum sus_verdict
sus_judge(
    struct sus *s, uint64_t fingerprint, int64_t now_us, int64_t *until_us)
{
	const struct suspect *sp = find(s, fingerprint);
	unsigned int pending;

	if (sp == NULL)
		return SUS_NONE;
	if (sp->blocked_until_us > now_us) {
		*until_us = sp->blocked_until_us;
		return SUS_BLOCKED;
	}
	pending = pending_weight(sp, now_us);
	if (pending > 0 && confirmed_weight(sp) + pending >= BLOCK_WEIGHT) {
		*until_us = now_us + PENDING_US;
		return SUS_BLOCKED;
	}
	return SUS_SUSPECT;
}

bool
sus_was_blocked(const struct sus *s, uint64_t fingerprint)
{
	const struct suspect *sp = find(s, fingerprint);

	return sp != NULL && sp->blocked_until_us != 0;
}

static void
append_terminations(const struct suspect *sp, GArray *out)
{
	struct sus_termination termination = { .fingerprint = sp->fingerprint };
	unsigned int i;

	for (i = 0; i < sp->nterminations; i++) {
		if (!sp->terminations[i].confirmed)
			continue;
		termination.target = sp->terminations[i].target;
		termination.weight = sp->terminations[i].weight;
		termination.at_us = sp->terminations[i].at_us;
		g_array_append_val(out, termination);
	}
}

void
sus_terminations_of(const struct sus *s, uint64_t fingerprint, GArray *out)
{
	const struct suspect *sp = find(s, fingerprint);

	if (sp != NULL)
		append_terminations(sp, out);
}

void
sus_blocked_terminations(const struct sus *s, GArray *out)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, s->suspects);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (((const struct suspect *)value)->blocked_until_us != 0)
			append_terminations(value, out);
	}
}

unsigned int
sus_count_blocked(const struct sus *s)
{
	GHashTableIter iter;
	gpointer value;
	unsigned int n = 0;

	g_hash_table_iter_init(&iter, s->suspects);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		n += ((const struct suspect *)value)->blocked_until_us != 0;
	return n;
}

/* ------------------------------------------------------------------ */
/* Expiry                                                              */
/* ------------------------------------------------------------------ */

/* Drops cut-offs whose target did not terminate. */
static void
drop_refuted(struct suspect *sp, int64_t now_us)
{
	unsigned int i = 0;

	while (i < sp->nterminations) {
		if (!sp->terminations[i].confirmed &&
		    now_us - sp->terminations[i].at_us > CONFIRM_US)
			remove_termination(sp, i);
		else
			i++;
	}
}

/* A suspect that was blocked is retained for as long again as it was blocked,
 * so that the next termination adds to the earlier ones. */
static bool
is_expired(const struct suspect *sp, int64_t now_us)
{
	int64_t keep_us = MAX(SUSPECT_US, sp->blocked_until_us - sp->last_us);

	return sp->nterminations == 0 ||
	    now_us - MAX(sp->last_us, sp->blocked_until_us) > keep_us;
}

void
sus_sweep(struct sus *s, int64_t now_us)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, s->suspects);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		drop_refuted(value, now_us);
		if (is_expired(value, now_us))
			g_hash_table_iter_remove(&iter);
	}
}
