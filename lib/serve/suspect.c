/* Requests under which targets ended. */

#include <string.h>

#include "common/common.h"
#include "serve/suspect.h"

#define ENTRIES_MAX 2048
#define ENDS_KEPT 6 /* of one request; the oldest goes first */
#define ENDED_KEPT 32 /* targets that ended lately */

#define HELD_AT 4 /* in weights: two targets without an answer */
/* A cut counts so long while nobody knows whether its target ended. Its side
 * notices within 0.1 s. */
#define PENDING_US 300000
/* The end of a target is the cause of a cut if they lie so close together. */
#define CONFIRM_US 1000000
/* Words of several entries on one target this close tell of the same end; one
 * that starts again under its id takes longer. */
#define SAME_END_US 2000000
#define SUSPECT_US 60000000 /* one end says nothing after so long */

/* Held for so long after the second, third, ... end. */
static const int64_t hold_us[] = {
	10 * G_USEC_PER_SEC,
	300 * (int64_t)G_USEC_PER_SEC,
	3600 * (int64_t)G_USEC_PER_SEC,
	24 * 3600 * (int64_t)G_USEC_PER_SEC,
};

struct end {
	uint64_t target;
	unsigned int weight;
	int64_t at_us;
	bool confirmed; /* the target is known to have ended */
};

struct entry {
	uint64_t content; /* key */
	struct end ends[ENDS_KEPT];
	unsigned int nends;
	int64_t last_us; /* latest end */
	int64_t held_until_us; /* 0: not held */
};

struct ended {
	uint64_t target;
	int64_t at_us;
};

struct sus {
	uint64_t seed;
	GHashTable *entries; /* content -> struct entry */
	struct ended ended[ENDED_KEPT]; /* a ring */
	unsigned int next_ended;
};

struct sus *
sus_new(uint64_t seed)
{
	struct sus *s = g_new0(struct sus, 1);

	s->seed = seed;
	s->entries =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	return s;
}

void
sus_free(struct sus *s)
{
	if (s == NULL)
		return;
	g_hash_table_unref(s->entries);
	g_free(s);
}

bool
sus_is_empty(const struct sus *s)
{
	return g_hash_table_size(s->entries) == 0;
}

/* ------------------------------------------------------------------ */
/* What is said against a request                                      */
/* ------------------------------------------------------------------ */

static unsigned int
confirmed_weight(const struct entry *e)
{
	unsigned int weight = 0, i;

	for (i = 0; i < e->nends; i++)
		weight += e->ends[i].confirmed ? e->ends[i].weight : 0;
	return weight;
}

static unsigned int
pending_weight(const struct entry *e, int64_t now_us)
{
	unsigned int weight = 0, i;

	for (i = 0; i < e->nends; i++) {
		if (!e->ends[i].confirmed &&
		    now_us - e->ends[i].at_us < PENDING_US)
			weight += e->ends[i].weight;
	}
	return weight;
}

/* Entries give other chances at different moments: those that the request
 * reaches at once would otherwise all send it together. */
static int64_t
hold_span_us(const struct sus *s, const struct entry *e, unsigned int weight)
{
	size_t step =
	    MIN((weight - HELD_AT) / SUS_SILENT, G_N_ELEMENTS(hold_us) - 1);
	uint64_t bits = hash64(s->seed, &e->content, sizeof(e->content));
	double draw = (double)(bits >> 11) / (double)(UINT64_C(1) << 53);

	return (int64_t)((double)hold_us[step] * (1 + draw));
}

static void
hold_if_known(const struct sus *s, struct entry *e)
{
	unsigned int weight = confirmed_weight(e);

	if (weight >= HELD_AT)
		e->held_until_us = MAX(
		    e->held_until_us, e->last_us + hold_span_us(s, e, weight));
}

/* ------------------------------------------------------------------ */
/* Entries                                                             */
/* ------------------------------------------------------------------ */

static struct entry *
find(const struct sus *s, uint64_t content)
{
	return g_hash_table_lookup(s->entries, &content);
}

static bool
is_less_suspect(const struct entry *a, const struct entry *b)
{
	bool a_held = a->held_until_us != 0, b_held = b->held_until_us != 0;

	return a_held != b_held ? b_held : a->last_us < b->last_us;
}

static void
make_room(struct sus *s)
{
	struct entry *e, *least = NULL;
	GHashTableIter iter;
	gpointer value;

	if (g_hash_table_size(s->entries) < ENTRIES_MAX)
		return;
	g_hash_table_iter_init(&iter, s->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		e = value;
		if (least == NULL || is_less_suspect(e, least))
			least = e;
	}
	g_hash_table_remove(s->entries, &least->content);
}

static struct entry *
get(struct sus *s, uint64_t content)
{
	struct entry *e = find(s, content);

	if (e != NULL)
		return e;
	make_room(s);
	e = g_new0(struct entry, 1);
	e->content = content;
	g_hash_table_insert(s->entries, &e->content, e);
	return e;
}

static struct end *
find_end(struct entry *e, const struct sus_termination *end)
{
	unsigned int i;

	for (i = 0; i < e->nends; i++) {
		if (e->ends[i].target == end->target &&
		    ABS(e->ends[i].at_us - end->at_us) < SAME_END_US)
			return &e->ends[i];
	}
	return NULL;
}

static void
remove_end(struct entry *e, unsigned int i)
{
	e->nends--;
	memmove(
	    &e->ends[i], &e->ends[i + 1], (e->nends - i) * sizeof(e->ends[0]));
}

/* True: it is new, or stands firmer than before. */
static bool
add_end(struct sus *s, const struct sus_termination *end, bool confirmed)
{
	struct entry *e = get(s, end->fingerprint);
	struct end *known = find_end(e, end);
	bool is_news;

	if (known == NULL) {
		if (e->nends == ENDS_KEPT)
			remove_end(e, 0);
		known = &e->ends[e->nends++];
		*known =
		    (struct end){ .target = end->target, .at_us = end->at_us };
	}
	is_news = known->weight < end->weight || known->confirmed < confirmed;
	known->weight = MAX(known->weight, end->weight);
	known->confirmed |= confirmed;
	e->last_us = MAX(e->last_us, end->at_us);
	hold_if_known(s, e);
	return is_news;
}

/* ------------------------------------------------------------------ */
/* Events                                                              */
/* ------------------------------------------------------------------ */

static bool
has_ended(const struct sus *s, uint64_t target, int64_t now_us)
{
	unsigned int i;

	for (i = 0; i < ENDED_KEPT; i++) {
		if (s->ended[i].target == target && s->ended[i].at_us != 0 &&
		    now_us - s->ended[i].at_us < CONFIRM_US)
			return true;
	}
	return false;
}

bool
sus_cut(struct sus *s, const struct sus_termination *end)
{
	bool confirmed = has_ended(s, end->target, end->at_us);

	return add_end(s, end, confirmed) && confirmed;
}

static void
confirm(struct sus *s, struct entry *e, uint64_t target, int64_t now_us,
    GArray *news)
{
	struct sus_termination end;
	unsigned int i;

	for (i = 0; i < e->nends; i++) {
		if (e->ends[i].target != target || e->ends[i].confirmed ||
		    now_us - e->ends[i].at_us > CONFIRM_US)
			continue;
		e->ends[i].confirmed = true;
		end = (struct sus_termination){ .fingerprint = e->content,
			.target = target,
			.weight = e->ends[i].weight,
			.at_us = e->ends[i].at_us };
		g_array_append_val(news, end);
	}
	hold_if_known(s, e);
}

void
sus_target_terminated(
    struct sus *s, uint64_t target, int64_t now_us, GArray *news)
{
	GHashTableIter iter;
	gpointer entry;

	s->ended[s->next_ended] = (struct ended){ target, now_us };
	s->next_ended = (s->next_ended + 1) % ENDED_KEPT;
	g_hash_table_iter_init(&iter, s->entries);
	while (g_hash_table_iter_next(&iter, NULL, &entry))
		confirm(s, entry, target, now_us, news);
}

bool
sus_report(struct sus *s, const struct sus_termination *end)
{
	if (end->weight == SUS_CLEARED)
		return g_hash_table_remove(s->entries, &end->fingerprint);
	return add_end(s, end, true);
}

bool
sus_answered(struct sus *s, uint64_t content)
{
	struct entry *e = find(s, content);
	bool was_told;

	if (e == NULL)
		return false;
	was_told = confirmed_weight(e) > 0;
	g_hash_table_remove(s->entries, &content);
	return was_told;
}

/* ------------------------------------------------------------------ */
/* Verdicts                                                            */
/* ------------------------------------------------------------------ */

enum sus_verdict
sus_judge(struct sus *s, uint64_t content, int64_t now_us, int64_t *until_us)
{
	const struct entry *e = find(s, content);
	unsigned int pending;

	if (e == NULL)
		return SUS_NONE;
	if (e->held_until_us > now_us) {
		*until_us = e->held_until_us;
		return SUS_BLOCKED;
	}
	pending = pending_weight(e, now_us);
	if (pending > 0 && confirmed_weight(e) + pending >= HELD_AT) {
		*until_us = now_us + PENDING_US;
		return SUS_BLOCKED;
	}
	return SUS_SUSPECT;
}

bool
sus_was_blocked(const struct sus *s, uint64_t content)
{
	const struct entry *e = find(s, content);

	return e != NULL && e->held_until_us != 0;
}

static void
append_ends(const struct entry *e, GArray *out)
{
	struct sus_termination end = { .fingerprint = e->content };
	unsigned int i;

	for (i = 0; i < e->nends; i++) {
		if (!e->ends[i].confirmed)
			continue;
		end.target = e->ends[i].target;
		end.weight = e->ends[i].weight;
		end.at_us = e->ends[i].at_us;
		g_array_append_val(out, end);
	}
}

void
sus_terminations_of(const struct sus *s, uint64_t content, GArray *out)
{
	const struct entry *e = find(s, content);

	if (e != NULL)
		append_ends(e, out);
}

void
sus_blocked_terminations(const struct sus *s, GArray *out)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, s->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (((const struct entry *)value)->held_until_us != 0)
			append_ends(value, out);
	}
}

unsigned int
sus_count_blocked(const struct sus *s)
{
	GHashTableIter iter;
	gpointer value;
	unsigned int n = 0;

	g_hash_table_iter_init(&iter, s->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		n += ((const struct entry *)value)->held_until_us != 0;
	return n;
}

/* ------------------------------------------------------------------ */
/* Forgetting                                                          */
/* ------------------------------------------------------------------ */

/* Cuts whose target did not end. */
static void
drop_refuted(struct entry *e, int64_t now_us)
{
	unsigned int i = 0;

	while (i < e->nends) {
		if (!e->ends[i].confirmed &&
		    now_us - e->ends[i].at_us > CONFIRM_US)
			remove_end(e, i);
		else
			i++;
	}
}

/* What was held stays known for as long again as it was held: the next end
 * counts on top of those before. */
static bool
is_old(const struct entry *e, int64_t now_us)
{
	int64_t keep_us = MAX(SUSPECT_US, e->held_until_us - e->last_us);

	return e->nends == 0 ||
	    now_us - MAX(e->last_us, e->held_until_us) > keep_us;
}

void
sus_sweep(struct sus *s, int64_t now_us)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, s->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		drop_refuted(value, now_us);
		if (is_old(value, now_us))
			g_hash_table_iter_remove(&iter);
	}
}
