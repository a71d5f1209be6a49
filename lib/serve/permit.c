/* Permits for the requests that a target with a rate limit takes. */

#include "serve/permit.h"

/* Permits that gather while none is asked for: those of this time, one at
 * least. They come on top of what the limit allows. */
#define GATHER_S 0.5
/* An entry that wants one asks again after 0.2 s. One that has not, does not. */
#define ASK_LAPSES_US 300000
/*
 * When an answer names no limit any more, permits are given at twice the rate
 * after each such time until there are more than an engine has use for. One
 * answer may be wrong: an entry that stood still tells of it seconds later. The
 * next one then names the limit again, before much was sent. And the target
 * gets its traffic back by degrees, not from all entries at once.
 */
#define LIFT_STEP_US 400000
#define LIFTED_RATE 100.0 /* requests a second */

struct permit_ask {
	char entry[PERMIT_ENTRY_MAX];
	int64_t asked_us;
};

void
permits_init(struct permits *p)
{
	*p = (struct permits){ .asks = g_array_new(
				   FALSE, FALSE, sizeof(struct permit_ask)) };
}

void
permits_clear(struct permits *p)
{
	g_array_unref(p->asks);
}

void
permits_forget(struct permits *p)
{
	permits_clear(p);
	permits_init(p);
}

/* ------------------------------------------------------------------ */
/* The limit                                                           */
/* ------------------------------------------------------------------ */

/* Permits a second. */
static double
rate_of(const struct permits *p, int64_t now_us)
{
	double rate = p->limit;
	int64_t us;

	if (p->ended_us == 0)
		return rate;
	for (us = now_us - p->ended_us; us >= 0 && rate < LIFTED_RATE;
	     us -= LIFT_STEP_US)
		rate *= 2;
	return rate;
}

static void
fill(struct permits *p, int64_t now_us)
{
	double rate = rate_of(p, now_us);

	p->tokens += rate * (double)(now_us - p->filled_us) / G_USEC_PER_SEC;
	p->tokens = MIN(p->tokens, MAX(1, rate * GATHER_S));
	p->filled_us = now_us;
}

static void
set_limit(struct permits *p, double limit, int64_t now_us)
{
	/* Entries have just sent what they liked: nothing is left over. */
	if (p->limit == 0)
		p->tokens = 0;
	else
		fill(p, now_us);
	p->filled_us = now_us;
	p->limit = limit;
	p->ended_us = 0;
	p->tokens = MIN(p->tokens, MAX(1, limit * GATHER_S));
}

bool
permits_heard(struct permits *p, const struct permit_word *word, int64_t now_us)
{
	bool knew = p->knows;
	double before = p->limit;

	/* What others heard here comes back later than it was said. */
	if (knew && (!word->own || word->since_us <= p->since_us))
		return false;
	p->knows = true;
	p->since_us = word->since_us;
	if (word->limit > 0)
		set_limit(p, word->limit, now_us);
	else if (p->limit > 0 && p->ended_us == 0)
		p->ended_us = now_us;
	return !knew || p->limit != before;
}

bool
permits_settle(struct permits *p, int64_t now_us)
{
	if (p->ended_us == 0 || rate_of(p, now_us) < LIFTED_RATE)
		return false;
	p->limit = 0;
	p->ended_us = 0;
	g_array_set_size(p->asks, 0);
	return true;
}

/* ------------------------------------------------------------------ */
/* Permits                                                             */
/* ------------------------------------------------------------------ */

void
permits_ask(struct permits *p, const char *entry, int64_t now_us)
{
	struct permit_ask ask = { .asked_us = now_us }, *other;
	guint i;

	for (i = 0; i < p->asks->len; i++) {
		other = &g_array_index(p->asks, struct permit_ask, i);
		if (g_strcmp0(other->entry, entry) == 0) {
			other->asked_us = now_us; /* its turn stays */
			return;
		}
	}
	g_strlcpy(ask.entry, entry, sizeof(ask.entry));
	g_array_append_val(p->asks, ask);
}

bool
permits_next(struct permits *p, char entry[PERMIT_ENTRY_MAX], int64_t now_us)
{
	struct permit_ask ask;

	if (p->limit == 0)
		return false;
	fill(p, now_us);
	while (p->asks->len > 0 && p->tokens >= 1) {
		ask = g_array_index(p->asks, struct permit_ask, 0);
		g_array_remove_index(p->asks, 0);
		if (now_us - ask.asked_us > ASK_LAPSES_US)
			continue;
		g_strlcpy(entry, ask.entry, PERMIT_ENTRY_MAX);
		p->tokens--;
		return true;
	}
	return false;
}
