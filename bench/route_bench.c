/*
 * Cost of each decision on the request path, measured in isolation on one
 * core. Prints one line for each decision:
 * `route name=NAME targets=N ns_op=T ops_s=R`. No limit is enforced; the
 * figures are published and serve as the baseline for the next change.
 */

#include <stdio.h>
#include <string.h>

#include "route/route.h"

#define RUN_US (300 * 1000) /* duration of each case */
#define BATCH 1000
#define TARGETS 600
#define TICKETS 2000
#define SLOTS 16

static struct rt_target targets[TARGETS];
static struct digest root;
static struct rng rng;

static void
report(const char *name, size_t n, int64_t ops, int64_t us)
{
	printf("route name=%s targets=%zu ns_op=%.0f ops_s=%.0f\n", name, n,
	    (double)us * 1000 / (double)ops, (double)ops * 1e6 / (double)us);
}

/* ------------------------------------------------------------------ */
/* Target selection                                                    */
/* ------------------------------------------------------------------ */

static struct rt_fleet *
make_fleet(size_t n)
{
	struct rt_fleet *fleet = rt_fleet_new();
	size_t i;

	memset(targets, 0, sizeof(targets));
	for (i = 0; i < n; i++) {
		targets[i] = (struct rt_target){
			.domain = "a",
			.workspace = "team",
			.pool = "large",
			.loaded = root,
			.reachable = true,
			.accepting = true,
			.slots = SLOTS,
		};
		rt_fleet_update(fleet, &targets[i]);
	}
	return fleet;
}

/* Selects a target and records the request as sent, reported and ended. */
static void
bench_choose(const char *name, size_t n, unsigned int backoff_pct, bool prefix)
{
	struct rt_fleet *fleet = make_fleet(n);
	struct rt_criteria criteria = {
		.kind = RT_ENGINE,
		.workspace = "team",
		.pool = "large",
		.service = "",
		.roots = &root,
		.nroots = 1,
		.domain = "a",
	};
	const struct err none = { 0 };
	int64_t start_us = clk_now_us(clk_system()), now_us, ops = 0;
	struct rt_target *t;
	size_t i;

	for (i = 0; i < n * backoff_pct / 100; i++)
		targets[i].backoff_until_us = INT64_MAX;
	do {
		now_us = clk_now_us(clk_system());
		for (i = 0; i < BATCH; i++, ops++) {
			criteria.prefix =
			    prefix ? 1 + rng_below(&rng, 5000) : 0;
			t = rt_choose(fleet, &criteria, now_us, &rng);
			rt_fleet_prefix_sent(fleet, t, criteria.prefix, now_us);
			rt_target_sent(t, now_us);
			rt_target_reported(
			    t, (unsigned int)(i % SLOTS), now_us);
			rt_target_ended(t, &none, now_us);
		}
	} while (now_us - start_us < RUN_US);
	report(name, n, ops, clk_now_us(clk_system()) - start_us);
	rt_fleet_free(fleet);
}

/* ------------------------------------------------------------------ */
/* Admission                                                           */
/* ------------------------------------------------------------------ */

static void
on_start(struct adm_ticket *ticket, void *ctx)
{
}

static void
on_refuse(struct adm_ticket *ticket, const struct err *err, void *ctx)
{
}

/* With all slots taken and half of the tickets queued, ends one request, starts
 * the next one from the queue and submits another. */
static void
bench_admit(void)
{
	static const struct adm_ops ops = { on_start, on_refuse };
	static struct adm_ticket ticket[TICKETS];
	const struct adm_load load = { TICKETS / 2, 0, 1 };
	struct adm *adm = adm_new(TICKETS, &ops, NULL);
	struct adm_workspace *workspace = adm_workspace(adm, "team");
	struct adm_queue *queue = adm_queue(workspace, "large");
	int64_t start_us = clk_now_us(clk_system()), now_us = start_us, n = 0;
	size_t i;

	adm_workspace_set(workspace, 100, TICKETS);
	adm_queue_load(queue, &load, now_us);
	for (i = 0; i < TICKETS; i++) {
		ticket[i].priority = (unsigned int)(i % 3) * 100;
		ticket[i].deadline_us = INT64_MAX / 2;
		adm_submit(queue, &ticket[i], now_us, NULL);
	}
	do {
		now_us = clk_now_us(clk_system());
		for (i = 0; i < TICKETS; i++) {
			if (ticket[i].state != ADM_STARTED)
				continue;
			adm_done(&ticket[i], ADM_OTHER, now_us);
			adm_submit(queue, &ticket[i], now_us, NULL);
			n++;
		}
	} while (now_us - start_us < RUN_US);
	report("admit", 0, n, clk_now_us(clk_system()) - start_us);
	for (i = 0; i < TICKETS; i++)
		adm_cancel(&ticket[i], now_us);
	adm_free(adm);
}

/* ------------------------------------------------------------------ */
/* Attempts and request limits                                         */
/* ------------------------------------------------------------------ */

static void
ignore(void *ctx)
{
}

static void
bench_attempt(const char *charts)
{
	static const struct att_ops ops = { ignore, ignore, ignore, ignore,
		ignore, ignore, ignore, ignore, ignore };
	struct err err = { 0 };
	struct att_chart *chart = att_chart_load(charts, &err);
	int64_t start_us = clk_now_us(clk_system()), now_us, n = 0;
	struct att att;
	size_t i;

	if (chart == NULL) {
		fprintf(stderr, "%s\n", err.message);
		return;
	}
	do {
		for (i = 0; i < BATCH; i++, n++) {
			memset(&att, 0, sizeof(att));
			att_init(&att, chart, &ops, NULL);
			att_step(&att, ATT_START);
			att_step(&att, ATT_HEAD);
			att_step(&att, ATT_DONE);
		}
		now_us = clk_now_us(clk_system());
	} while (now_us - start_us < RUN_US);
	report("attempt", 0, n, now_us - start_us);
	att_chart_free(chart);
}

static void
bench_limit(void)
{
	int64_t start_us = clk_now_us(clk_system()), now_us = start_us, n = 0;
	struct lim *lim = lim_new(now_us);
	size_t i;

	lim_set(lim, 1000000, 4, now_us);
	do {
		now_us = clk_now_us(clk_system());
		for (i = 0; i < BATCH; i++, n++)
			lim_take(lim, now_us, NULL);
	} while (now_us - start_us < RUN_US);
	report("limit", 0, n, clk_now_us(clk_system()) - start_us);
	lim_free(lim);
}

int
main(void)
{
	digest_of("v1", 2, &root);
	rng_seed(&rng, 1);
	bench_choose("choose", 12, 0, false);
	bench_choose("choose", TARGETS, 0, false);
	bench_choose("choose_prefix", TARGETS, 0, true);
	bench_choose("choose_half_rest", TARGETS, 50, false);
	bench_choose("choose_most_rest", TARGETS, 99, false);
	bench_admit();
	bench_attempt(SOURCE_DIR "/charts");
	bench_limit();
	return 0;
}
