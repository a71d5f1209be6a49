/* Identities of requests under which targets terminated. */

#include <string.h>

#include "common/common.h"
#include "serve/suspect.h"

#define SUSPECTS_MAX 2048
#define TERMINATIONS_MAX 8 /* of an identity */
#define ENDED_TARGETS_MAX 256 /* recently terminated targets */
#define ANSWERS_MAX 4096
#define CLOSED_MAX 4096

/* A cut-off counts this long while it is not known whether its target
 * terminated. The target's sidecar detects that within 0.1 s. */
#define PENDING_US 300000
/* A cut-off within this time of its target's termination is due to it. */
#define CONFIRM_US 1000000
/* Reports by several gateways on one target within this time are of the same
 * termination; a target that restarts under its id takes longer. */
#define SAME_END_US 2000000
#define SUSPECT_US 60000000 /* after which a single termination expires */
/* Longer than gateways take to repeat what they have blocked, so that an old
 * report is refuted. */
#define ANSWER_US 10000000
/* Interval at which reports on the same identity are refuted. */
#define REFUTE_US 500000

#define BLOCK_STEPS 4
#define S G_GINT64_CONSTANT(1000000)

/* How an identity of a kind is judged. */
struct policy {
	unsigned int block_weight; /* sum of weights from which it is blocked */
	/* From this sum on also where another identity explains it. */
	unsigned int certain_weight;
	/* Time blocked at that weight and for each two more. */
	int64_t block_us[BLOCK_STEPS];
	/* Terminations this long after a complete answer do not count. */
	int64_t trust_us;
	/* Targets that terminate within this time count as one, unless the
	 * request was sent to one of them after the other had terminated: they
	 * may have a cause in common, such as a loss of power. */
	int64_t same_cause_us;
};

/*
 * Two targets without an answer block a request, and three a part. A part that
 * is in flight at three targets at once is answered more often than once in
 * three seconds, unless it is at fault.
 */
static const struct policy policies[FPR_KINDS] = {
	[FPR_CONTENT] = { .block_weight = 2 * SUS_UNANSWERED,
	    .certain_weight = 3 * SUS_UNANSWERED,
	    .block_us = { 10 * S, 300 * S, 3600 * S, 24 * 3600 * S } },
	[FPR_PART] = { .block_weight = 3 * SUS_UNANSWERED,
	    .certain_weight = 5 * SUS_UNANSWERED,
	    .block_us = { 10 * S, 60 * S, 600 * S, 24 * 3600 * S },
	    .trust_us = 3 * S,
	    .same_cause_us = 100000 },
};

struct termination {
	uint64_t target;
	unsigned int weight;
	int64_t at_us, sent_us;
	bool confirmed; /* the target is known to have terminated */
};

struct suspect {
	uint64_t fingerprint; /* key */
	struct termination terminations[TERMINATIONS_MAX];
	unsigned int nterminations;
	int64_t last_us; /* latest termination */
	int64_t blocked_until_us; /* 0: never blocked */
	/* blocked_until_us before the last probe here; 0: no such probe. */
	int64_t before_probe_us;
	int64_t probed_us; /* last probe of any process; 0: none */
	/* Until when the last probe published here blocks it elsewhere. */
	int64_t published_until_us;
};

/* The latest complete answer of a request with the identity. */
struct answer {
	uint64_t fingerprint; /* key */
	int64_t at_us;
	int64_t refuted_us; /* last time that a report was refuted; 0: never */
};

/* An answer that ended with its connection, by a target that may have
 * terminated. */
struct closed_answer {
	uint64_t fingerprint, target;
	int64_t at_us;
};

struct ended_target {
	uint64_t target;
	int64_t at_us;
};

struct sus {
	uint64_t seed;
	GHashTable *suspects; /* fingerprint -> struct suspect */
	GHashTable *answers; /* fingerprint -> struct answer */
	GArray *closed; /* struct closed_answer, oldest first */
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
	s->answers =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	s->closed = g_array_new(FALSE, FALSE, sizeof(struct closed_answer));
	return s;
}

void
sus_free(struct sus *s)
{
	if (s == NULL)
		return;
	g_hash_table_unref(s->suspects);
	g_hash_table_unref(s->answers);
	g_array_unref(s->closed);
	g_free(s);
}

bool
sus_is_empty(const struct sus *s)
{
	return g_hash_table_size(s->suspects) == 0;
}

static int64_t
in_flight_us(const struct termination *t)
{
	return t->at_us - t->sent_us;
}

static const struct policy *
policy_of(uint64_t fingerprint)
{
	return &policies[fpr_kind_of(fingerprint)];
}

/* ------------------------------------------------------------------ */
/* Complete answers                                                    */
/* ------------------------------------------------------------------ */

static struct answer *
find_answer(const struct sus *s, uint64_t fingerprint)
{
	return g_hash_table_lookup(s->answers, &fingerprint);
}

static void
drop_old_answers(struct sus *s, int64_t now_us)
{
	const struct answer *answer;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, s->answers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		answer = value;
		if (now_us - answer->at_us > ANSWER_US)
			g_hash_table_iter_remove(&iter);
	}
}

/* The answer of an identity without `trust_us` is kept only if it was blocked: it
 * refutes late reports of the terminations before. */
static void
note_answer(struct sus *s, uint64_t fingerprint, int64_t at_us)
{
	struct answer *answer = find_answer(s, fingerprint);

	if (policy_of(fingerprint)->trust_us == 0 &&
	    !sus_was_blocked(s, fingerprint))
		return;
	if (answer == NULL && g_hash_table_size(s->answers) >= ANSWERS_MAX)
		drop_old_answers(s, at_us);
	if (answer == NULL && g_hash_table_size(s->answers) >= ANSWERS_MAX)
		return;
	if (answer == NULL) {
		answer = g_new0(struct answer, 1);
		answer->fingerprint = fingerprint;
		g_hash_table_insert(s->answers, &answer->fingerprint, answer);
	}
	answer->at_us = MAX(answer->at_us, at_us);
}

/* Whether a complete answer speaks against this termination as evidence. */
static bool
is_refuted(const struct sus *s, const struct sus_termination *termination)
{
	const struct answer *answer = find_answer(s, termination->fingerprint);

	return answer != NULL &&
	    termination->at_us <=
	    answer->at_us + policy_of(termination->fingerprint)->trust_us;
}

/* ------------------------------------------------------------------ */
/* Evidence against an identity                                        */
/* ------------------------------------------------------------------ */

/* Selects terminations of a suspect. */
typedef bool filter(const struct sus *s, const struct suspect *sp,
    const struct termination *t, int64_t now_us);

static bool
is_confirmed(const struct sus *s, const struct suspect *sp,
    const struct termination *t, int64_t now_us)
{
	return t->confirmed;
}

static bool
may_have_same_cause(const struct suspect *sp, const struct termination *a,
    const struct termination *b)
{
	return ABS(a->at_us - b->at_us) <
	    policy_of(sp->fingerprint)->same_cause_us &&
	    a->sent_us < b->at_us && b->sent_us < a->at_us;
}

/* One with the same cause is counted: an earlier one of at least its weight, or
 * a later one of greater weight. */
static bool
is_counted_by_other(const struct sus *s, const struct suspect *sp,
    const struct termination *t, filter *select, int64_t now_us)
{
	const struct termination *other;
	unsigned int i;

	for (i = 0; i < sp->nterminations; i++) {
		other = &sp->terminations[i];
		if (other == t || !may_have_same_cause(sp, t, other))
			continue;
		if ((other->weight > t->weight ||
			(other->weight == t->weight && other < t)) &&
		    select(s, sp, other, now_us))
			return true;
	}
	return false;
}

static unsigned int
sum_weights(const struct sus *s, const struct suspect *sp, filter *select,
    int64_t now_us)
{
	const struct termination *t;
	unsigned int weight = 0, i;

	for (i = 0; i < sp->nterminations; i++) {
		t = &sp->terminations[i];
		if (select(s, sp, t, now_us) &&
		    !is_counted_by_other(s, sp, t, select, now_us))
			weight += t->weight;
	}
	return weight;
}

static unsigned int
confirmed_weight(const struct sus *s, const struct suspect *sp)
{
	return sum_weights(s, sp, is_confirmed, 0);
}

/* Differs between gateways, so that they probe at different times: requests
 * that reach several gateways at once would otherwise all be sent. Drawn again
 * after each probe (at `probed_us`; 0: none), so that a gateway whose probes fail
 * is not always the first. */
static int64_t
block_span_us(const struct sus *s, const struct suspect *sp,
    unsigned int weight, int64_t probed_us)
{
	const struct policy *policy = policy_of(sp->fingerprint);
	size_t step = MIN(
	    (weight - policy->block_weight) / SUS_UNANSWERED, BLOCK_STEPS - 1);
	uint64_t key[] = { sp->fingerprint, (uint64_t)probed_us };
	uint64_t bits = hash64(s->seed, key, sizeof(key));
	double fraction = (double)(bits >> 11) / (double)(UINT64_C(1) << 53);

	return (int64_t)((double)policy->block_us[step] * (1 + fraction));
}

static void
block_if_confirmed(const struct sus *s, struct suspect *sp)
{
	unsigned int weight = confirmed_weight(s, sp);

	if (weight >= policy_of(sp->fingerprint)->block_weight)
		sp->blocked_until_us = MAX(sp->blocked_until_us,
		    sp->last_us + block_span_us(s, sp, weight, 0));
}

/* A probe blocks for as long again as the terminations. Returns false without
 * enough of them. */
static bool
block_by_probe(const struct sus *s, struct suspect *sp, int64_t probed_us)
{
	unsigned int weight = confirmed_weight(s, sp);

	if (weight < policy_of(sp->fingerprint)->block_weight)
		return false;
	sp->blocked_until_us = MAX(sp->blocked_until_us,
	    probed_us + block_span_us(s, sp, weight, probed_us));
	return true;
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
is_less_suspect(
    const struct sus *s, const struct suspect *a, const struct suspect *b)
{
	bool a_blocked = a->blocked_until_us != 0,
	     b_blocked = b->blocked_until_us != 0;
	unsigned int a_weight = confirmed_weight(s, a),
		     b_weight = confirmed_weight(s, b);

	if (a_blocked != b_blocked)
		return b_blocked;
	return a_weight != b_weight ? a_weight < b_weight
				    : a->last_us < b->last_us;
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
		if (least == NULL || is_less_suspect(s, sp, least))
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
find_termination(struct suspect *sp, uint64_t target, int64_t at_us)
{
	unsigned int i;

	for (i = 0; i < sp->nterminations; i++) {
		if (sp->terminations[i].target == target &&
		    ABS(sp->terminations[i].at_us - at_us) < SAME_END_US)
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

/* One that does not count beside another, or the oldest. */
static unsigned int
least_informative(const struct sus *s, const struct suspect *sp)
{
	unsigned int i;

	for (i = 0; i < sp->nterminations; i++) {
		if (is_counted_by_other(
			s, sp, &sp->terminations[i], is_confirmed, 0))
			return i;
	}
	return 0;
}

/* Returns true if it is new, now confirmed, or of greater weight. */
static bool
add_termination(
    struct sus *s, const struct sus_termination *termination, bool confirmed)
{
	struct termination *known;
	struct suspect *sp;
	bool is_new;

	if (is_refuted(s, termination))
		return false;
	sp = get(s, termination->fingerprint);
	known = find_termination(sp, termination->target, termination->at_us);
	if (known == NULL) {
		if (sp->nterminations == TERMINATIONS_MAX)
			remove_termination(sp, least_informative(s, sp));
		known = &sp->terminations[sp->nterminations++];
		*known = (struct termination){ .target = termination->target,
			.at_us = termination->at_us,
			.sent_us = termination->at_us };
	}
	known->sent_us =
	    MIN(known->sent_us, termination->at_us - termination->in_flight_us);
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

/* Whether the target terminated shortly before or after `at_us`. */
static bool
has_terminated(const struct sus *s, uint64_t target, int64_t at_us)
{
	unsigned int i;

	for (i = 0; i < ENDED_TARGETS_MAX; i++) {
		if (s->ended_targets[i].target == target &&
		    s->ended_targets[i].at_us != 0 &&
		    ABS(at_us - s->ended_targets[i].at_us) < CONFIRM_US)
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
		termination = (struct sus_termination){ .fingerprint =
							    sp->fingerprint,
			.target = target,
			.weight = sp->terminations[i].weight,
			.at_us = sp->terminations[i].at_us,
			.in_flight_us = in_flight_us(&sp->terminations[i]) };
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

/* Removes the terminations that the answer refutes. Returns whether one of them
 * was confirmed. */
static bool
clear(struct sus *s, uint64_t fingerprint, int64_t answered_us)
{
	int64_t until_us = answered_us + policy_of(fingerprint)->trust_us;
	struct suspect *sp = find(s, fingerprint);
	bool was_confirmed = false;
	unsigned int i = 0;

	if (sp == NULL)
		return false;
	while (i < sp->nterminations) {
		if (sp->terminations[i].at_us > until_us) {
			i++;
			continue;
		}
		was_confirmed |= sp->terminations[i].confirmed;
		remove_termination(sp, i);
	}
	sp->blocked_until_us = sp->before_probe_us = sp->probed_us = 0;
	sp->published_until_us = 0;
	block_if_confirmed(s, sp);
	if (sp->nterminations == 0)
		g_hash_table_remove(s->suspects, &fingerprint);
	return was_confirmed;
}

bool
sus_answered(struct sus *s, uint64_t fingerprint, int64_t now_us)
{
	note_answer(s, fingerprint, now_us);
	return clear(s, fingerprint, now_us);
}

void
sus_closed(struct sus *s, uint64_t fingerprint, uint64_t target, int64_t now_us)
{
	struct closed_answer closed = { fingerprint, target, now_us };

	if (s->closed->len < CLOSED_MAX)
		g_array_append_val(s->closed, closed);
}

/* Appends the closed answers of targets that have not terminated since. */
static void
accept_closed(struct sus *s, int64_t now_us, GArray *cleared)
{
	const struct closed_answer *closed;
	struct sus_termination clear_one = { .weight = SUS_CLEARED };
	guint i;

	for (i = 0; i < s->closed->len; i++) {
		closed = &g_array_index(s->closed, struct closed_answer, i);
		if (now_us - closed->at_us < CONFIRM_US)
			break;
		if (has_terminated(s, closed->target, closed->at_us))
			continue;
		clear_one.fingerprint = closed->fingerprint;
		clear_one.at_us = closed->at_us;
		if (sus_answered(s, closed->fingerprint, closed->at_us))
			g_array_append_val(cleared, clear_one);
	}
	g_array_remove_range(s->closed, 0, i);
}

/* Several processes report the same; one refutation in a while is enough. */
static bool
may_refute(struct sus *s, uint64_t fingerprint, int64_t now_us)
{
	struct answer *answer = find_answer(s, fingerprint);

	if (answer->refuted_us != 0 && now_us - answer->refuted_us < REFUTE_US)
		return false;
	answer->refuted_us = now_us;
	return true;
}

static enum sus_news
report_probe(struct sus *s, const struct sus_termination *probe)
{
	struct suspect *sp = find(s, probe->fingerprint);

	if (sp == NULL ||
	    (sp->probed_us != 0 &&
		probe->at_us - sp->probed_us < SAME_END_US) ||
	    !block_by_probe(s, sp, probe->at_us))
		return SUS_KNOWN;
	sp->probed_us = probe->at_us;
	sp->before_probe_us = 0;
	return SUS_NEW;
}

enum sus_news
sus_report(
    struct sus *s, const struct sus_termination *termination, int64_t now_us)
{
	uint64_t fingerprint = termination->fingerprint;
	bool is_new;

	if (termination->weight == SUS_PROBE)
		return report_probe(s, termination);
	/* Older software passes a probe on as a termination. */
	if (termination->weight != SUS_CLEARED && termination->target == 0)
		return SUS_KNOWN;
	if (termination->weight == SUS_CLEARED)
		is_new = sus_answered(s, fingerprint, termination->at_us);
	else if (is_refuted(s, termination))
		return may_refute(s, fingerprint, now_us) ? SUS_REFUTED
							  : SUS_KNOWN;
	else
		is_new = add_termination(s, termination, true);
	return is_new ? SUS_NEW : SUS_KNOWN;
}

struct sus_termination
sus_refutation(const struct sus *s, uint64_t fingerprint)
{
	const struct answer *answer = find_answer(s, fingerprint);

	return (struct sus_termination){ .fingerprint = fingerprint,
		.weight = SUS_CLEARED,
		.at_us = answer == NULL ? 0 : answer->at_us };
}

/* ------------------------------------------------------------------ */
/* Verdicts                                                            */
/* ------------------------------------------------------------------ */

static bool
is_explained_by(const struct sus *s, struct suspect *other,
    const struct suspect *sp, const struct termination *termination)
{
	return other != sp && other->blocked_until_us != 0 &&
	    confirmed_weight(s, other) > confirmed_weight(s, sp) &&
	    find_termination(other, termination->target, termination->at_us) !=
	    NULL;
}

static bool
is_explained(const struct sus *s, const struct suspect *sp,
    const struct termination *termination)
{
	GHashTableIter iter;
	gpointer other;

	g_hash_table_iter_init(&iter, s->suspects);
	while (g_hash_table_iter_next(&iter, NULL, &other)) {
		if (is_explained_by(s, other, sp, termination))
			return true;
	}
	return false;
}

/* No other blocked identity is at fault. */
static bool
is_unexplained(const struct sus *s, const struct suspect *sp,
    const struct termination *t, int64_t now_us)
{
	return t->confirmed && !is_explained(s, sp, t);
}

/* The same, and cut-offs whose targets may have terminated. */
static bool
is_unexplained_or_pending(const struct sus *s, const struct suspect *sp,
    const struct termination *t, int64_t now_us)
{
	return t->confirmed ? is_unexplained(s, sp, t, now_us)
			    : now_us - t->at_us < PENDING_US;
}

static bool
has_pending(const struct suspect *sp, int64_t now_us)
{
	unsigned int i;

	for (i = 0; i < sp->nterminations; i++) {
		if (!sp->terminations[i].confirmed &&
		    now_us - sp->terminations[i].at_us < PENDING_US)
			return true;
	}
	return false;
}

static bool
is_confirmed_or_pending(const struct sus *s, const struct suspect *sp,
    const struct termination *t, int64_t now_us)
{
	return t->confirmed || now_us - t->at_us < PENDING_US;
}

static bool
is_evident(const struct sus *s, const struct suspect *sp, filter *all,
    filter *unexplained, int64_t now_us)
{
	const struct policy *policy = policy_of(sp->fingerprint);

	return sum_weights(s, sp, all, now_us) >= policy->certain_weight ||
	    sum_weights(s, sp, unexplained, now_us) >= policy->block_weight;
}

enum sus_verdict
sus_judge(
    struct sus *s, uint64_t fingerprint, int64_t now_us, int64_t *until_us)
{
	const struct suspect *sp = find(s, fingerprint);

	if (sp == NULL)
		return SUS_NONE;
	if (sp->blocked_until_us > now_us &&
	    is_evident(s, sp, is_confirmed, is_unexplained, now_us)) {
		*until_us = sp->blocked_until_us;
		return SUS_BLOCKED;
	}
	if (has_pending(sp, now_us) &&
	    is_evident(s, sp, is_confirmed_or_pending,
		is_unexplained_or_pending, now_us)) {
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

bool
sus_sent(struct sus *s, uint64_t fingerprint, int64_t now_us)
{
	struct suspect *sp = find(s, fingerprint);
	int64_t before_us;

	if (sp == NULL || sp->blocked_until_us == 0)
		return false;
	before_us = sp->blocked_until_us;
	/* Explained by another identity, it is sent as any request is. */
	if (!is_evident(s, sp, is_confirmed, is_unexplained, now_us) ||
	    !block_by_probe(s, sp, now_us))
		return false;
	sp->before_probe_us = before_us;
	/* The one before was void: published each time, they would block it
	 * elsewhere for as long as this process reaches no target. */
	if (now_us < sp->published_until_us)
		return false;
	sp->probed_us = now_us;
	sp->published_until_us = sp->blocked_until_us;
	return true;
}

void
sus_void_probe(struct sus *s, uint64_t fingerprint, int64_t now_us)
{
	struct suspect *sp = find(s, fingerprint);

	if (sp == NULL || sp->before_probe_us == 0)
		return;
	sp->blocked_until_us = sp->before_probe_us;
	sp->before_probe_us = 0;
	block_if_confirmed(s, sp);
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
		termination.in_flight_us = in_flight_us(&sp->terminations[i]);
		g_array_append_val(out, termination);
	}
	if (sp->probed_us == 0)
		return;
	termination = (struct sus_termination){ .fingerprint = sp->fingerprint,
		.weight = SUS_PROBE,
		.at_us = sp->probed_us };
	g_array_append_val(out, termination);
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
sus_count_blocked(const struct sus *s, enum fpr_kind kind)
{
	const struct suspect *sp;
	GHashTableIter iter;
	gpointer value;
	unsigned int n = 0;

	g_hash_table_iter_init(&iter, s->suspects);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		sp = value;
		n += sp->blocked_until_us != 0 &&
		    fpr_kind_of(sp->fingerprint) == kind;
	}
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
sus_sweep(struct sus *s, int64_t now_us, GArray *cleared)
{
	GHashTableIter iter;
	gpointer value;

	if (cleared != NULL)
		accept_closed(s, now_us, cleared);
	g_hash_table_iter_init(&iter, s->suspects);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		drop_refuted(value, now_us);
		if (is_expired(value, now_us))
			g_hash_table_iter_remove(&iter);
	}
	drop_old_answers(s, now_us);
}
