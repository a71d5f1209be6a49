#ifndef LIMIT_H
#define LIMIT_H

/*
 * lim: rate limit of a workspace over all gateways, without a shared counter.
 * bud: retry budget of a workspace at one gateway, a share of its requests.
 *
 * Each gateway reports its demand (requests offered per second) to the others
 * at intervals, and fills a token bucket at its share of the limit:
 *
 * - never less than limit / gateways, so that no gateway has to ask before it
 *   serves a request;
 * - more when the demand of other gateways is below their share: demands are
 *   met up to a common level (max-min fairness), so that an uneven load
 *   balancer does not waste the limit;
 * - a gateway without a recent report is assumed to need its even share.
 *
 * With limit L, n gateways, report period T (lim_report_ms) and report delay D:
 * while demand is steady, no more than L is admitted, except for changes of a
 * gateway's demand within LIM_WINDOW_MS. When gateways without demand start all
 * at once, at most L (n - 1) / n more per second is admitted, for at most
 * LIM_REPORT_MIN_MS + LIM_WINDOW_MS + D, as a rise is reported at once. Each
 * gateway may also admit LIM_BURST_MS of its share as a burst. A partitioned
 * gateway continues at L / n; the others, which no longer count it, share L.
 */

#include "common/common.h"
#include "common/spend.h"

#define LIM_WINDOW_MS 500 /* demand is measured over this window */
#define LIM_BURST_MS 250 /* bucket size, at the share of the gateway */
#define LIM_REPORT_MIN_MS 100
#define LIM_REPORT_PERIOD_MS 500 /* steady demand, few gateways */

struct lim;

struct lim *lim_new(int64_t now_us);
void lim_free(struct lim *lim);
/* `requests_s` 0: no limit. `gateways`: those alive, this one included. */
void lim_set(struct lim *lim, unsigned int requests_s, unsigned int gateways,
    int64_t now_us);
/* True when a request is admitted; it counts as demand in any case. Otherwise
 * ERR_OVERLOADED, NOT_RUN, with retry_after_ms. */
bool lim_take(struct lim *lim, int64_t now_us, struct err *err);
/* Another gateway reported its demand. */
void lim_reported(struct lim *lim, const char *gateway, uint64_t demand_milli_s,
    int64_t now_us);
void lim_remove(struct lim *lim, const char *gateway);

/* Demand to report to the others, in thousandths of a request per second. */
uint64_t lim_demand(const struct lim *lim, int64_t now_us);
/* Whether the demand must be reported now; if so, it is recorded as reported.
 * Call every LIM_TICK_MS, as this also adjusts the share to the demand. */
#define LIM_TICK_MS 20
bool lim_report_due(struct lim *lim, int64_t now_us);
/* Report period; grows with the number of gateways, so that the bytes that each
 * sends per second do not. */
unsigned int lim_report_ms(unsigned int gateways);

/* ------------------------------------------------------------------ */
/* Retry budget                                                        */
/* ------------------------------------------------------------------ */

#define BUD_SLOTS 10
#define BUD_SLOT_MS 1000
/* Retries allowed per window regardless of the requests, so that a workspace
 * with few requests can retry at all. */
#define BUD_MIN_RETRIES 10

/* Embedded in other structures; zero-initialise it. */
struct bud {
	struct spend spend;
};

void bud_request(struct bud *bud, int64_t now_us);
/* Whether one more retry is within `permille` of the requests in the window; 0
 * allows none. */
bool bud_has_room(struct bud *bud, unsigned int permille, int64_t now_us);
void bud_retry(struct bud *bud, int64_t now_us);

#endif
