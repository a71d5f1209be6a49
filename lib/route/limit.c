/* A team's requests a second over all entries. */

#include <string.h>

#include "route/limit.h"

#define SLOT_MS 50
#define SLOTS (LIM_WINDOW_MS / SLOT_MS)
#define MILLI 1000
#define HEARD_PERIODS 3 /* silent for longer: taken to need its whole part */
/* A rise by this share of the even part is told at once. */
#define RISE_PCT 10
#define ENTRIES_AT_LEAST_PERIOD 16

struct lim_other {
	uint64_t demand;
	int64_t told_us;
};

struct lim {
	unsigned int requests_s;
	unsigned int entries;
	GHashTable *others; /* entry id -> struct lim_other */
	unsigned int asked[SLOTS]; /* a ring */
	int64_t slot_number; /* of the newest slot */
	uint64_t part; /* thousandths of a request a second */
	uint64_t tokens; /* millionths, so that low rates do not round away */
	int64_t filled_us;
	uint64_t told_demand;
	int64_t told_us;
};

#define TOKEN G_USEC_PER_SEC

struct lim *
lim_new(int64_t now_us)
{
	struct lim *lim = g_new0(struct lim, 1);

	lim->entries = 1;
	lim->others =
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
	g_hash_table_unref(lim->others);
	g_free(lim);
}

/* ------------------------------------------------------------------ */
/* Demand                                                              */
/* ------------------------------------------------------------------ */

static void
turn_slots(struct lim *lim, int64_t now_us)
{
	int64_t number = now_us / (SLOT_MS * 1000);

	if (number - lim->slot_number >= SLOTS) {
		memset(lim->asked, 0, sizeof(lim->asked));
		lim->slot_number = number;
	}
	while (lim->slot_number < number)
		lim->asked[++lim->slot_number % SLOTS] = 0;
}

uint64_t
lim_demand(const struct lim *lim, int64_t now_us)
{
	int64_t number = now_us / (SLOT_MS * 1000);
	int64_t i = MAX(number - SLOTS + 1, 0);
	uint64_t sum = 0;

	for (; i <= lim->slot_number; i++)
		sum += lim->asked[i % SLOTS];
	return sum * MILLI * 1000 / LIM_WINDOW_MS;
}

/* ------------------------------------------------------------------ */
/* The part of the limit                                               */
/* ------------------------------------------------------------------ */

unsigned int
lim_report_ms(unsigned int entries)
{
	unsigned int times =
	    (entries + ENTRIES_AT_LEAST_PERIOD - 1) / ENTRIES_AT_LEAST_PERIOD;

	return LIM_REPORT_PERIOD_MS * MAX(times, 1);
}

/* Demands of the others that count: how many are below `level` and their
 * sum, with the silent ones as asking for their whole part. */
static uint64_t
sum_below(
    const struct lim *lim, uint64_t level, unsigned int *n, int64_t now_us)
{
	int64_t oldest =
	    now_us - HEARD_PERIODS * lim_report_ms(lim->entries) * 1000LL;
	GHashTableIter iter;
	gpointer value;
	uint64_t sum = 0;

	*n = 0;
	g_hash_table_iter_init(&iter, lim->others);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct lim_other *other = value;

		if (other->told_us < oldest || other->demand >= level)
			continue;
		sum += other->demand;
		(*n)++;
	}
	return sum;
}

/*
 * The level up to which demands are met: those below it leave their rest to
 * those above. Raised until no more entries fall below, at most once for each.
 */
static uint64_t
level_of(const struct lim *lim, int64_t now_us)
{
	uint64_t limit = (uint64_t)lim->requests_s * MILLI, sum, level;
	unsigned int below = 0, before;

	level = limit / lim->entries;
	do {
		before = below;
		sum = sum_below(lim, level, &below, now_us);
		below = MIN(below, lim->entries - 1);
		sum = MIN(sum, limit);
		level = (limit - sum) / (lim->entries - below);
	} while (below > before);
	return level;
}

/*
 * What this entry may admit. Where its own demand is met, an equal part of
 * what is over on top: were it all of it, a burst that comes to all entries
 * at once after a quiet time would be let in n-fold.
 */
static uint64_t
part_of(const struct lim *lim, int64_t now_us)
{
	uint64_t even = (uint64_t)lim->requests_s * MILLI / lim->entries;
	uint64_t level = level_of(lim, now_us);
	uint64_t demand = lim_demand(lim, now_us);

	if (demand >= level)
		return MAX(level, even);
	return MAX(demand + (level - demand) / lim->entries, even);
}

static void
fill(struct lim *lim, int64_t now_us)
{
	uint64_t most = MAX(lim->part * LIM_BURST_MS, TOKEN);

	lim->tokens +=
	    lim->part * (uint64_t)MAX(now_us - lim->filled_us, 0) / MILLI;
	lim->tokens = MIN(lim->tokens, most);
	lim->filled_us = now_us;
}

static void
settle(struct lim *lim, int64_t now_us)
{
	fill(lim, now_us);
	lim->part = part_of(lim, now_us);
}

void
lim_set(struct lim *lim, unsigned int requests_s, unsigned int entries,
    int64_t now_us)
{
	bool first = lim->requests_s == 0;

	lim->requests_s = requests_s;
	lim->entries = MAX(entries, 1);
	settle(lim, now_us);
	if (first)
		lim->tokens = MAX(lim->part * LIM_BURST_MS, TOKEN);
}

void
lim_reported(
    struct lim *lim, const char *entry, uint64_t demand_milli_s, int64_t now_us)
{
	struct lim_other *other = g_hash_table_lookup(lim->others, entry);

	if (other == NULL) {
		other = g_new0(struct lim_other, 1);
		g_hash_table_insert(lim->others, g_strdup(entry), other);
	}
	other->demand = demand_milli_s;
	other->told_us = now_us;
	settle(lim, now_us);
}

void
lim_remove(struct lim *lim, const char *entry)
{
	g_hash_table_remove(lim->others, entry);
}

/* ------------------------------------------------------------------ */
/* Taking and telling                                                  */
/* ------------------------------------------------------------------ */

bool
lim_take(struct lim *lim, int64_t now_us, struct err *err)
{
	uint64_t missing;

	turn_slots(lim, now_us);
	lim->asked[lim->slot_number % SLOTS]++;
	if (lim->requests_s == 0)
		return true;
	fill(lim, now_us);
	if (lim->tokens >= TOKEN) {
		lim->tokens -= TOKEN;
		return true;
	}
	missing = TOKEN - lim->tokens;
	err_set(err, ERR_OVERLOADED, VERDICT_NOT_RUN,
	    "the team's limit of %u requests a second is reached",
	    lim->requests_s);
	if (err != NULL)
		err->retry_after_ms =
		    (unsigned int)(missing / MAX(lim->part, 1) + 1);
	return false;
}

bool
lim_report_due(struct lim *lim, int64_t now_us)
{
	uint64_t demand = lim_demand(lim, now_us);
	uint64_t even = (uint64_t)lim->requests_s * MILLI / lim->entries;
	int64_t since_ms = (now_us - lim->told_us) / 1000;
	bool risen = demand > lim->told_demand + even * RISE_PCT / 100;

	turn_slots(lim, now_us);
	/* Others' words grow old without a sound. */
	settle(lim, now_us);
	if (lim->told_us != 0 && since_ms < lim_report_ms(lim->entries) &&
	    !(risen && since_ms >= LIM_REPORT_MIN_MS))
		return false;
	lim->told_demand = demand;
	lim->told_us = now_us;
	return true;
}
