/* Rate limit of a workspace over all gateways. */

#include <string.h>

#include "route/limit.h"

#define SLOT_MS 50
#define SLOTS (LIM_WINDOW_MS / SLOT_MS)
#define MILLI 1000
/* A gateway without a report for this many periods is assumed to need its even
 * share. */
#define STALE_PERIODS 3
/* A rise by this percentage of the even share is reported at once. */
#define RISE_PCT 10
#define GATEWAYS_AT_MIN_PERIOD 16

struct lim_peer {
	uint64_t demand;
	int64_t reported_us;
};

struct lim {
	unsigned int requests_s;
	unsigned int gateways;
	GHashTable *peers; /* gateway id -> struct lim_peer */
	unsigned int offered[SLOTS]; /* requests per slot, a ring buffer */
	int64_t slot_number; /* of the newest slot */
	uint64_t share; /* thousandths of a request per second */
	/* Millionths of a request, so that low rates are not rounded to 0. */
	uint64_t tokens;
	int64_t filled_us;
	uint64_t reported_demand;
	int64_t reported_us;
};

#define TOKEN G_USEC_PER_SEC

struct lim *
lim_new(int64_t now_us)
{
	struct lim *lim = g_new0(struct lim, 1);

	lim->gateways = 1;
	lim->peers =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	lim->filled_us = now_us;
	lim->slot_number = now_us / (SLOT_MS * 1000);
	return lim;
}

void
lim_free(struct lim *lim)
{
	if (lim == NULL)
		return;
	g_hash_table_unref(lim->peers);
	g_free(lim);
}

/* ------------------------------------------------------------------ */
/* Demand                                                              */
/* ------------------------------------------------------------------ */

static void
advance_slots(struct lim *lim, int64_t now_us)
{
	int64_t number = now_us / (SLOT_MS * 1000);

	if (number - lim->slot_number >= SLOTS) {
		memset(lim->offered, 0, sizeof(lim->offered));
		lim->slot_number = number;
	}
	while (lim->slot_number < number)
		lim->offered[++lim->slot_number % SLOTS] = 0;
}

uint64_t
lim_demand(const struct lim *lim, int64_t now_us)
{
	int64_t number = now_us / (SLOT_MS * 1000);
	int64_t i = MAX(number - SLOTS + 1, 0);
	uint64_t sum = 0;

	for (; i <= lim->slot_number; i++)
		sum += lim->offered[i % SLOTS];
	return sum * MILLI * 1000 / LIM_WINDOW_MS;
}

/* ------------------------------------------------------------------ */
/* Share of the limit                                                  */
/* ------------------------------------------------------------------ */

unsigned int
lim_report_ms(unsigned int gateways)
{
	unsigned int times =
	    (gateways + GATEWAYS_AT_MIN_PERIOD - 1) / GATEWAYS_AT_MIN_PERIOD;

	return LIM_REPORT_PERIOD_MS * MAX(times, 1);
}

/* Sum and number of the demands of other gateways that are below `level`. Those
 * without a recent report are not included, so they count as at the level. */
static uint64_t
sum_below(
    const struct lim *lim, uint64_t level, unsigned int *n, int64_t now_us)
{
	int64_t oldest =
	    now_us - STALE_PERIODS * lim_report_ms(lim->gateways) * 1000LL;
	GHashTableIter iter;
	gpointer value;
	uint64_t sum = 0;

	*n = 0;
	g_hash_table_iter_init(&iter, lim->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct lim_peer *peer = value;

		if (peer->reported_us < oldest || peer->demand >= level)
			continue;
		sum += peer->demand;
		(*n)++;
	}
	return sum;
}

/*
 * Level up to which demands are met (max-min fairness): what gateways below it
 * do not use is divided among those above. It is raised until no more gateways
 * fall below it, which happens at most once for each.
 */
static uint64_t
level_of(const struct lim *lim, int64_t now_us)
{
	uint64_t limit = (uint64_t)lim->requests_s * MILLI, sum, level;
	unsigned int below = 0, prev;

	level = limit / lim->gateways;
	do {
		prev = below;
		sum = sum_below(lim, level, &below, now_us);
		below = MIN(below, lim->gateways - 1);
		sum = MIN(sum, limit);
		level = (limit - sum) / (lim->gateways - below);
	} while (below > prev);
	return level;
}

/*
 * Rate that this gateway may admit. Where its demand is met, it gets only an
 * equal share of the surplus on top: with the whole surplus, a burst that
 * reaches all n gateways at once after an idle period would be admitted n-fold.
 */
static uint64_t
share_of(const struct lim *lim, int64_t now_us)
{
	uint64_t even_share = (uint64_t)lim->requests_s * MILLI / lim->gateways;
	uint64_t level = level_of(lim, now_us);
	uint64_t demand = lim_demand(lim, now_us);

	if (demand >= level)
		return MAX(level, even_share);
	return MAX(demand + (level - demand) / lim->gateways, even_share);
}

static void
refill(struct lim *lim, int64_t now_us)
{
	uint64_t max_tokens = MAX(lim->share * LIM_BURST_MS, TOKEN);

	lim->tokens +=
	    lim->share * (uint64_t)MAX(now_us - lim->filled_us, 0) / MILLI;
	lim->tokens = MIN(lim->tokens, max_tokens);
	lim->filled_us = now_us;
}

static void
update_share(struct lim *lim, int64_t now_us)
{
	refill(lim, now_us);
	lim->share = share_of(lim, now_us);
}

void
lim_set(struct lim *lim, unsigned int requests_s, unsigned int gateways,
    int64_t now_us)
{
	bool first = lim->requests_s == 0;

	lim->requests_s = requests_s;
	lim->gateways = MAX(gateways, 1);
	update_share(lim, now_us);
	if (first)
		lim->tokens = MAX(lim->share * LIM_BURST_MS, TOKEN);
}

void
lim_reported(struct lim *lim, const char *gateway, uint64_t demand_milli_s,
    int64_t now_us)
{
	struct lim_peer *peer = g_hash_table_lookup(lim->peers, gateway);

	if (peer == NULL) {
		peer = g_new0(struct lim_peer, 1);
		g_hash_table_insert(lim->peers, g_strdup(gateway), peer);
	}
	peer->demand = demand_milli_s;
	peer->reported_us = now_us;
	update_share(lim, now_us);
}

void
lim_remove(struct lim *lim, const char *gateway)
{
	g_hash_table_remove(lim->peers, gateway);
}

/* ------------------------------------------------------------------ */
/* Taking tokens and reporting demand                                  */
/* ------------------------------------------------------------------ */

bool
lim_take(struct lim *lim, int64_t now_us, struct err *err)
{
	uint64_t missing;

	advance_slots(lim, now_us);
	lim->offered[lim->slot_number % SLOTS]++;
	if (lim->requests_s == 0)
		return true;
	refill(lim, now_us);
	if (lim->tokens >= TOKEN) {
		lim->tokens -= TOKEN;
		return true;
	}
	missing = TOKEN - lim->tokens;
	err_set(err, ERR_OVERLOADED, VERDICT_NOT_RUN,
	    "the workspace limit of %u requests per second is reached",
	    lim->requests_s);
	if (err != NULL)
		err->retry_after_ms =
		    (unsigned int)(missing / MAX(lim->share, 1) + 1);
	return false;
}

bool
lim_report_due(struct lim *lim, int64_t now_us)
{
	uint64_t demand = lim_demand(lim, now_us);
	uint64_t even_share = (uint64_t)lim->requests_s * MILLI / lim->gateways;
	int64_t since_ms = (now_us - lim->reported_us) / 1000;
	bool risen =
	    demand > lim->reported_demand + even_share * RISE_PCT / 100;

	advance_slots(lim, now_us);
	/* Reports of other gateways expire without an event. */
	update_share(lim, now_us);
	if (lim->reported_us != 0 && since_ms < lim_report_ms(lim->gateways) &&
	    !(risen && since_ms >= LIM_REPORT_MIN_MS))
		return false;
	lim->reported_demand = demand;
	lim->reported_us = now_us;
	return true;
}
