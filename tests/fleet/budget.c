/*
 * Arrivals at targets beyond the first of their request, and the budget that
 * all gateways share for them: in any window, a ratio of the requests for the
 * service and a slack. The requests counted are those of the window, of the one
 * before it or of the one half a window before it, whichever has most.
 *
 * The engines can be made to fail: they answer a share of the requests with a
 * failure of their own.
 */

#include <popt.h>
#include <stdio.h>
#include <string.h>

#include "fleet.h"

#define SERVICES 2 /* of the model engines, and the plain one */
/* As in tools/fleet.sh. */
#define WINDOW_US 10000000
#define RATIO 0.2
#define SLACK 40
#define RANDOM_GAP_US 2000000
#define RANDOM_MORE_US 6000000

static int from_s, permille, at_random;

static struct poptOption options[] = {
	{ "fail-from", 0, POPT_ARG_INT, &from_s, 0,
	    "seconds until engines fail requests", "N" },
	{ "fail-permille", 0, POPT_ARG_INT, &permille, 0,
	    "requests in a thousand that they fail", "N" },
	{ "failures", 0, POPT_ARG_INT, &at_random, 0,
	    "0 or 1: random times in which all engines fail most requests",
	    "N" },
	POPT_TABLEEND
};

static GArray *sent[SERVICES], *beyond[SERVICES]; /* int64_t, ascending */
static GHashTable *arrived; /* ids */
static int64_t begun_us;
static struct evl_timer next_change;
static struct fleet *fleet; /* of the timer */
static struct rng rng, change_rng;
static bool fails;

struct poptOption *
fleet_budget_options(void)
{
	return options;
}

static void
on_change(struct evl_timer *t)
{
	fails = !fails;
	evl_timer_set(fleet->loop, t,
	    evl_now_us(fleet->loop) + RANDOM_GAP_US +
		(int64_t)rng_below(&change_rng, RANDOM_MORE_US));
}

void
fleet_budget_open(struct fleet *f, uint64_t seed)
{
	size_t i;

	for (i = 0; i < SERVICES; i++) {
		sent[i] = g_array_new(FALSE, FALSE, sizeof(int64_t));
		beyond[i] = g_array_new(FALSE, FALSE, sizeof(int64_t));
	}
	arrived = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	rng_seed(&rng, seed);
	rng_seed(&change_rng, seed + 1);
	fleet = f;
}

void
fleet_budget_start(struct fleet *f)
{
	begun_us = evl_now_us(f->loop);
	next_change.fire = on_change;
	if (at_random)
		evl_timer_set(f->loop, &next_change, begun_us + RANDOM_GAP_US);
}

bool
fleet_budget_fails(struct fleet *f)
{
	if (at_random && !fails)
		return false;
	return permille > 0 &&
	    evl_now_us(f->loop) - begun_us >=
	    (int64_t)from_s * G_USEC_PER_SEC &&
	    rng_below(&rng, 1000) < (uint64_t)permille;
}

/* ------------------------------------------------------------------ */
/* Counts                                                              */
/* ------------------------------------------------------------------ */

void
fleet_budget_sent(struct fleet *f, const char *request)
{
	int64_t now_us = evl_now_us(f->loop);

	if (strstr(request, " /chat/") != NULL ||
	    strstr(request, " /tell/") != NULL)
		g_array_append_val(sent[0], now_us);
	else if (strstr(request, " /book/") != NULL ||
	    strstr(request, " /look/") != NULL)
		g_array_append_val(sent[1], now_us);
}

void
fleet_budget_arrived(struct fleet *f, bool is_llm, const char *id)
{
	int64_t now_us = evl_now_us(f->loop);

	if (!g_hash_table_add(arrived, g_strdup(id)))
		g_array_append_val(beyond[!is_llm], now_us);
}

/* Number of times within [from_us, from_us + WINDOW_US). */
static unsigned int
count_from(const GArray *times, int64_t from_us)
{
	unsigned int n = 0;
	guint i;

	for (i = 0; i < times->len; i++) {
		int64_t at_us = g_array_index(times, int64_t, i);

		n += at_us >= from_us && at_us < from_us + WINDOW_US;
	}
	return n;
}

static unsigned int
requests_of(const GArray *times, int64_t from_us)
{
	unsigned int n = count_from(times, from_us);

	n = MAX(n, count_from(times, from_us - WINDOW_US / 2));
	return MAX(n, count_from(times, from_us - WINDOW_US));
}

static void
judge(struct fleet *f, size_t service, int64_t from_us, struct fleet_excess *e)
{
	unsigned int n = count_from(beyond[service], from_us);
	unsigned int requests = requests_of(sent[service], from_us);
	double allowed = RATIO * requests + SLACK;

	if (n > allowed)
		f->tally.over_budget++;
	if (n - allowed > e->beyond - e->allowed)
		*e = (struct fleet_excess){ .beyond = n,
			.requests = requests,
			.allowed = allowed,
			.at_s = (double)(from_us - begun_us) / G_USEC_PER_SEC };
}

/* A window with the most arrivals begins with one of them. */
void
fleet_budget_judge(struct fleet *f)
{
	static const char *const names[SERVICES] = { FLEET_LLM, FLEET_PLAIN };
	size_t i;
	guint k;

	for (i = 0; i < SERVICES; i++) {
		struct fleet_excess e = { .allowed = G_MAXINT };

		for (k = 0; k < beyond[i]->len; k++)
			judge(f, i, g_array_index(beyond[i], int64_t, k), &e);
		printf("beyond the first, %s: %u of %u in 10 s from %.1f s "
		       "on, allowed %.0f; %u in all\n",
		    names[i], e.beyond, e.requests, e.at_s,
		    beyond[i]->len == 0 ? 0 : e.allowed, beyond[i]->len);
	}
}
