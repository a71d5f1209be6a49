#ifndef LIMIT_H
#define LIMIT_H

/*
 * lim: a team's requests a second, held over all entries without a shared
 * counter. bud: a team's retries at one entry, held to a part of its requests.
 *
 * Each entry tells the others now and then what is asked of it, and fills a
 * token bucket at its part of the limit:
 *
 * - never less than limit / entries, so that no entry has to ask before it
 *   may serve;
 * - more when the others ask for less than theirs: demands are met up to a
 *   common level, so that an uneven balancer does not waste the limit;
 * - an entry that was not heard lately is taken to need its whole part.
 *
 * With the limit L, n entries, period T (lim_report_ms) and delay D of a word:
 * while demands are steady, no more than L is admitted, give or take what an
 * entry's demand moves within LIM_WINDOW_MS. When entries that had no demand
 * begin all at once, at most L (n - 1) / n more a second is admitted, for
 * LIM_REPORT_MIN_MS + LIM_WINDOW_MS + D at most, as a rise is told at once. On top comes
 * LIM_BURST_MS of each part in a burst. A cut-off entry goes on with its
 * L / n; the others, who no longer count it, share L between them.
 */

#include "common/common.h"
#include "common/spend.h"

#define LIM_WINDOW_MS 500 /* over which demand is measured */
#define LIM_BURST_MS 250 /* of its part an entry may admit at once */
#define LIM_REPORT_MIN_MS 100
#define LIM_REPORT_PERIOD_MS 500 /* while demand is steady, few entries */

struct lim;

struct lim *lim_new(int64_t now_us);
void lim_free(struct lim *lim);
/* `requests_s` 0: no limit. `entries` are those alive, this one included. */
void lim_set(struct lim *lim, unsigned int requests_s, unsigned int entries,
    int64_t now_us);
/* True when a request may go on; it counts as demand in any case. Else
 * ERR_OVERLOADED, NOT_RUN, with advice when to come back. */
bool lim_take(struct lim *lim, int64_t now_us, struct err *err);
/* Another entry said what is asked of it. */
void lim_reported(struct lim *lim, const char *entry, uint64_t demand_milli_s,
    int64_t now_us);
void lim_remove(struct lim *lim, const char *entry);

/* What to tell the others: thousandths of a request a second. */
uint64_t lim_demand(const struct lim *lim, int64_t now_us);
/* Whether to tell it now; if so, it is taken as told. To be asked every
 * LIM_TICK_MS, as it also moves the part to the demand. */
#define LIM_TICK_MS 20
bool lim_report_due(struct lim *lim, int64_t now_us);
/* Period of telling: grows with the entries, so that each sends no more
 * bytes a second to many than to few. */
unsigned int lim_report_ms(unsigned int entries);

/* ------------------------------------------------------------------ */
/* Retry budget                                                        */
/* ------------------------------------------------------------------ */

#define BUD_SLOTS 10
#define BUD_SLOT_MS 1000
/* Retries in a window whatever the requests, so that a team with few of
 * them is not without any retry. */
#define BUD_MIN_RETRIES 10

/* Embedded where it is used; zero it first. */
struct bud {
	struct spend spend;
};

void bud_request(struct bud *bud, int64_t now_us);
/* Whether a retry is within `permille` of the requests in the window. 0
 * allows none at all. */
bool bud_has_room(struct bud *bud, unsigned int permille, int64_t now_us);
void bud_retry(struct bud *bud, int64_t now_us);

#endif
