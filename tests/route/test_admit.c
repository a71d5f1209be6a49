/* Admission: limits, fairness, early refusal, several gateways. */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <string.h>

#include "route/admit.h"

#define MS 1000
#define LONG_DEADLINE_US (1000LL * G_USEC_PER_SEC)
#define TICKETS 400

struct fixture {
	struct adm *adm;
	struct adm_queue *queue;
	int64_t now_us;
	unsigned int started, refused;
	struct adm_ticket *last; /* last one started from the queue */
	struct err err; /* of the last refusal */
	bool end_in_start;
	unsigned int depth, max_depth; /* of nested callbacks */
	struct adm_ticket ticket[TICKETS];
};

static void
on_start(struct adm_ticket *ticket, void *ctx)
{
	struct fixture *g = ctx;

	g->started++;
	g->last = ticket;
	g->depth++;
	g->max_depth = MAX(g->max_depth, g->depth);
	if (g->end_in_start)
		adm_done(ticket, ADM_OTHER, g->now_us);
	g->depth--;
}

static void
on_refuse(struct adm_ticket *ticket, const struct err *err, void *ctx)
{
	struct fixture *g = ctx;

	g->refused++;
	g->err = *err;
}

static const struct adm_ops ops = { .start = on_start, .refuse = on_refuse };

static void
load(struct fixture *g, unsigned int slots, unsigned int running,
    unsigned int gateways)
{
	const struct adm_load reported = { slots, running, gateways };

	adm_queue_load(g->queue, &reported, g->now_us);
}

static struct fixture *
setup(unsigned int slots)
{
	struct fixture *g = g_new0(struct fixture, 1);
	struct adm_workspace *workspace;

	g->now_us = 1000 * MS;
	g->adm = adm_new(1000, &ops, g);
	workspace = adm_workspace(g->adm, "t");
	adm_workspace_set(workspace, 100, 100);
	g->queue = adm_queue(workspace, "p");
	load(g, slots, 0, 1);
	return g;
}

static void
teardown(struct fixture *g)
{
	size_t i;

	for (i = 0; i < TICKETS; i++)
		adm_cancel(&g->ticket[i], g->now_us);
	adm_free(g->adm);
	g_free(g);
}

static enum adm_state
submit(struct fixture *g, unsigned int i, unsigned int priority,
    int64_t first_byte_ms, int64_t deadline_ms)
{
	struct adm_ticket *t = &g->ticket[i];

	t->priority = priority;
	t->first_byte_by_us =
	    first_byte_ms == 0 ? 0 : g->now_us + first_byte_ms * MS;
	t->deadline_us = g->now_us + deadline_ms * MS;
	memset(&g->err, 0, sizeof(g->err));
	return adm_submit(g->queue, t, g->now_us, &g->err);
}

static enum adm_state
submit_plain(struct fixture *g, unsigned int i)
{
	return submit(g, i, 100, 0, LONG_DEADLINE_US / MS);
}

static void
test_limit_and_queue(void **state)
{
	struct fixture *g = setup(2);
	unsigned int i;

	for (i = 0; i < 2; i++)
		assert_int_equal(submit_plain(g, i), ADM_STARTED);
	for (; i < 102; i++)
		assert_int_equal(submit_plain(g, i), ADM_WAITING);
	assert_int_equal(submit_plain(g, i), ADM_REFUSED);
	assert_int_equal(g->err.code, ERR_OVERLOADED);
	assert_int_equal(g->err.verdict, VERDICT_NOT_RUN);
	assert_true(g->err.retry_after_ms > 0);
	adm_done(&g->ticket[1], ADM_ANSWERED, g->now_us);
	assert_ptr_equal(g->last, &g->ticket[2]);
	adm_cancel(&g->ticket[3], g->now_us);
	adm_done(&g->ticket[0], ADM_ANSWERED, g->now_us);
	assert_ptr_equal(g->last, &g->ticket[4]);
	assert_int_equal(g->started, 2);
	assert_int_equal(submit_plain(g, 110), ADM_WAITING);
	teardown(g);
}

static void
test_no_target(void **state)
{
	struct fixture *g = setup(0);

	assert_int_equal(submit_plain(g, 0), ADM_REFUSED);
	assert_int_equal(g->err.code, ERR_UNAVAILABLE);
	assert_int_equal(g->err.verdict, VERDICT_NOT_RUN);
	assert_true(g->err.retry_after_ms > 0);
	teardown(g);
}

/* Urgent tickets start first, unless a less urgent one has waited longer by
 * more than the head start of the classes between them. */
static void
test_priority_ages(void **state)
{
	struct fixture *g = setup(1);
	static const unsigned int order[] = { 2, 1, 3, 4 };
	size_t i;

	submit_plain(g, 0);
	submit(g, 1, 128, 0, LONG_DEADLINE_US / MS);
	submit(g, 2, 0, 0, LONG_DEADLINE_US / MS);
	g->now_us += 2000 * MS;
	submit(g, 3, 0, 0, LONG_DEADLINE_US / MS);
	submit(g, 4, 1000, 0, LONG_DEADLINE_US / MS);
	g->last = &g->ticket[0];
	for (i = 0; i < G_N_ELEMENTS(order); i++) {
		adm_done(g->last, ADM_OTHER, g->now_us);
		assert_ptr_equal(g->last, &g->ticket[order[i]]);
	}
	teardown(g);
}

/*
 * Two workspaces always have waiting tickets; the capacity of the gateway is
 * the bottleneck. The first has weight 100. Returns the requests of the second
 * in percent of those of the first.
 */
static unsigned int
run_two_workspaces(unsigned int weight, const unsigned int answer_ms[2],
    enum adm_outcome outcome)
{
	struct fixture *g = setup(1000);
	struct adm_workspace *second = adm_workspace(g->adm, "u");
	struct adm_queue *queue[2] = { g->queue, adm_queue(second, "p") };
	const struct adm_load reported = { 1000, 0, 1 };
	unsigned int nstarted[2] = { 0 }, i, n;

	adm_workspace_set(second, weight, 1000);
	adm_queue_load(queue[1], &reported, g->now_us);
	adm_set_capacity(g->adm, 1, g->now_us);
	g->last = &g->ticket[0];
	for (i = 0; i < TICKETS; i++) {
		struct adm_ticket *t = &g->ticket[i];

		t->deadline_us = g->now_us + LONG_DEADLINE_US;
		if (i < 2) {
			adm_submit(queue[i], t, g->now_us, NULL);
			continue;
		}
		n = g->last->queue == queue[1];
		nstarted[n]++;
		adm_submit(queue[n], t, g->now_us, NULL);
		g->now_us += answer_ms[n] * MS;
		adm_done(g->last, outcome, g->now_us);
	}
	teardown(g);
	return nstarted[1] * 100 / nstarted[0];
}

static void
test_fair_by_weight(void **state)
{
	static const unsigned int equal[2] = { 10, 10 };
	static const unsigned int longer[2] = { 10, 30 };

	assert_in_range(run_two_workspaces(100, equal, ADM_ANSWERED), 95, 105);
	assert_in_range(run_two_workspaces(300, equal, ADM_ANSWERED), 280, 320);
	/* The target time is charged, also that of failed attempts. */
	assert_in_range(run_two_workspaces(100, longer, ADM_ANSWERED), 30, 37);
	assert_in_range(run_two_workspaces(100, longer, ADM_OTHER), 30, 37);
}

/* A workspace that resumes after a long idle time gets its share, but not also
 * the share that it left to others meanwhile. */
static void
test_idle_share_is_not_saved(void **state)
{
	struct fixture *g = setup(1000);
	struct adm_queue *other = adm_queue(adm_workspace(g->adm, "u"), "p");
	const struct adm_load reported = { 1000, 0, 1 };
	unsigned int i, nfirst = 0;

	adm_workspace_set(adm_workspace(g->adm, "u"), 100, 1000);
	adm_queue_load(other, &reported, g->now_us);
	adm_set_capacity(g->adm, 1, g->now_us);
	for (i = 0; i < 50; i++) {
		submit_plain(g, i);
		g->now_us += 10 * MS;
		adm_done(&g->ticket[i], ADM_ANSWERED, g->now_us);
	}
	submit_plain(g, 0);
	for (i = 1; i <= 40; i++) {
		submit_plain(g, i);
		g->ticket[100 + i].deadline_us = g->now_us + LONG_DEADLINE_US;
		adm_submit(other, &g->ticket[100 + i], g->now_us, NULL);
	}
	g->last = &g->ticket[0];
	for (i = 0; i < 40; i++) {
		nfirst += g->last->queue == g->queue ? 1 : 0;
		g->now_us += 10 * MS;
		adm_done(g->last, ADM_ANSWERED, g->now_us);
	}
	assert_in_range(nfirst, 18, 22);
	teardown(g);
}

/* Runs 100 ms requests, `slots` at a time, for `ms`; the queue stays full. */
static void
run_busy(struct fixture *g, unsigned int slots, unsigned int ms)
{
	unsigned int i, t;

	for (i = 0; i < 3 * slots; i++)
		submit_plain(g, i);
	for (t = 0; t < ms; t += 10) {
		g->now_us += 10 * MS;
		for (i = 0; i < 3 * slots; i++) {
			struct adm_ticket *ticket = &g->ticket[i];

			if (ticket->state != ADM_STARTED ||
			    g->now_us - ticket->started_us < 100 * MS)
				continue;
			adm_first_byte(ticket, g->now_us - 50 * MS);
			adm_done(ticket, ADM_ANSWERED, g->now_us);
			submit_plain(g, i);
		}
	}
}

static void
test_early_refusal(void **state)
{
	struct fixture *g = setup(4);
	struct adm_queue_stats stats;

	run_busy(g, 4, 2000);
	adm_queue_stats(g->queue, g->now_us, &stats);
	assert_in_range(stats.drain_milli_s, 36000, 44000);
	assert_in_range(stats.unit_us, 90 * MS, 110 * MS);
	/* Eight tickets wait: a new one starts in 225 ms, ends in 325 ms. */
	assert_int_equal(submit(g, 20, 100, 0, 290), ADM_REFUSED);
	assert_int_equal(g->err.code, ERR_DEADLINE);
	assert_int_equal(g->err.verdict, VERDICT_NOT_RUN);
	assert_in_range(g->err.retry_after_ms, 100, 300);
	assert_int_equal(submit(g, 20, 100, 0, 400), ADM_WAITING);
	assert_int_equal(submit(g, 21, 100, 240, 5000), ADM_REFUSED);
	assert_int_equal(g->err.code, ERR_OVERLOADED);
	assert_int_equal(submit(g, 21, 100, 1500, 5000), ADM_WAITING);
	/* An urgent ticket does not wait behind the others. */
	assert_int_equal(submit(g, 22, 0, 0, 290), ADM_WAITING);
	teardown(g);
}

/* Estimates measured on short responses predict the first long ones. */
static void
test_cost(void **state)
{
	struct fixture *g = setup(4);
	struct adm_queue_stats stats;
	unsigned int i;

	run_busy(g, 4, 2000); /* 40 of cost 1 per second, 8 wait */
	for (i = 20; i < 23; i++)
		g->ticket[i].cost = 40;
	assert_int_equal(submit(g, 20, 100, 1500, 20000), ADM_REFUSED);
	assert_int_equal(submit(g, 20, 100, 0, 5000), ADM_REFUSED);
	assert_int_equal(submit(g, 20, 100, 0, 7000), ADM_WAITING);
	g->ticket[21].cost = 1;
	assert_int_equal(submit(g, 21, 100, 1000, 20000), ADM_REFUSED);
	teardown(g);
	g = setup(1);
	g->ticket[0].cost = 10;
	submit_plain(g, 0);
	g->now_us += 1000 * MS;
	adm_done(&g->ticket[0], ADM_ANSWERED, g->now_us);
	adm_queue_stats(g->queue, g->now_us, &stats);
	assert_int_equal(stats.unit_us, 100 * MS);
	teardown(g);
}

/* Requests that start together end together. The time without starts between
 * two batches must not cause the waiting tickets to be refused. */
static void
test_batches(void **state)
{
	struct fixture *g = setup(8);
	unsigned int round, i;

	for (i = 0; i < 24; i++)
		submit(g, i, 100, 0, 4000);
	for (round = 0; round < 3; round++) {
		for (i = 0; i < 45; i++) {
			g->now_us += 20 * MS;
			adm_expire(g->adm, g->now_us);
		}
		for (i = 8 * round; i < 8 * round + 8; i++)
			adm_done(&g->ticket[i], ADM_ANSWERED, g->now_us);
	}
	assert_int_equal(g->refused, 0);
	teardown(g);
}

/*
 * The targets freeze while a request waits. The gateway notices this only by
 * the time without starts. It must refuse the request as NOT_RUN long before
 * the deadline of the request.
 */
static void
test_frozen_targets(void **state)
{
	struct fixture *g = setup(4);
	unsigned int ms;

	run_busy(g, 4, 2000);
	assert_int_equal(submit(g, 20, 100, 0, 8000), ADM_WAITING);
	for (ms = 0; ms < 4000 && g->refused == 0; ms += 20) {
		g->now_us += 20 * MS;
		adm_expire(g->adm, g->now_us);
	}
	assert_int_equal(g->ticket[20].state, ADM_REFUSED);
	assert_int_equal(g->err.code, ERR_DEADLINE);
	assert_int_equal(g->err.verdict, VERDICT_NOT_RUN);
	assert_true(g->err.retry_after_ms > 0);
	teardown(g);
}

static void
test_waiting_past_deadline(void **state)
{
	struct fixture *g = setup(1);

	submit_plain(g, 0);
	assert_int_equal(submit(g, 1, 100, 0, 100), ADM_WAITING);
	assert_int_equal(submit(g, 2, 100, 200, 10000), ADM_WAITING);
	g->now_us += 90 * MS;
	adm_expire(g->adm, g->now_us);
	assert_int_equal(g->refused, 0);
	g->now_us += 10 * MS;
	adm_expire(g->adm, g->now_us);
	assert_int_equal(g->refused, 1);
	assert_int_equal(g->err.code, ERR_DEADLINE);
	g->now_us += 101 * MS;
	adm_expire(g->adm, g->now_us);
	assert_int_equal(g->refused, 2);
	assert_int_equal(g->err.code, ERR_OVERLOADED);
	teardown(g);
}

/*
 * After slow responses the estimate predicts that no deadline can be met, so no
 * request starts and no sample corrects the estimate. Without its decay, all
 * requests would be refused forever.
 */
static void
test_estimate_decays(void **state)
{
	struct fixture *g = setup(1);

	submit_plain(g, 0);
	g->now_us += 20000 * MS;
	adm_done(&g->ticket[0], ADM_ANSWERED, g->now_us);
	submit_plain(g, 0);
	g->now_us += 20000 * MS;
	adm_done(&g->ticket[0], ADM_ANSWERED, g->now_us);
	assert_int_equal(submit(g, 1, 100, 0, 1000), ADM_REFUSED);
	assert_int_equal(g->err.code, ERR_DEADLINE);
	g->now_us += 30000 * MS;
	assert_int_equal(submit(g, 1, 100, 0, 1000), ADM_STARTED);
	teardown(g);
}

/* Every started ticket ends within the start callback. The queue is emptied by
 * a loop, not by one nested call per ticket. */
static void
test_end_within_start(void **state)
{
	struct fixture *g = setup(1);
	unsigned int i;

	for (i = 0; i < 50; i++)
		submit_plain(g, i);
	g->end_in_start = true;
	adm_done(&g->ticket[0], ADM_ANSWERED, g->now_us);
	assert_int_equal(g->started, 49);
	assert_int_equal(g->max_depth, 1);
	teardown(g);
}

static void
test_refusals_by_targets(void **state)
{
	struct fixture *g = setup(100);
	struct adm_queue_stats stats;
	unsigned int i;

	submit_plain(g, 0);
	for (i = 0; i < 20; i++) {
		g->now_us += 20 * MS;
		adm_overloaded(&g->ticket[0], g->now_us);
	}
	adm_queue_stats(g->queue, g->now_us, &stats);
	assert_in_range(stats.limit, 30, 45);
	for (i = 0; i < 100; i++) {
		g->now_us += 20 * MS;
		adm_expire(g->adm, g->now_us);
	}
	adm_queue_stats(g->queue, g->now_us, &stats);
	assert_int_equal(stats.limit, 100);
	teardown(g);
}

/* ------------------------------------------------------------------ */
/* Several gateways, one set of slots                                  */
/* ------------------------------------------------------------------ */

#define GATEWAYS 3
#define SLOTS 60
#define REPORT_MS 20 /* interval and age of the status reports */

struct shared {
	struct fixture *gateway[GATEWAYS];
	unsigned int reported;
	unsigned int max_running;
};

static unsigned int
running_at(const struct fixture *g)
{
	unsigned int n = 0, i;

	for (i = 0; i < TICKETS; i++)
		n += g->ticket[i].state == ADM_STARTED ? 1 : 0;
	return n;
}

/* Keeps `demand` requests of 200 ms submitted at each gateway. */
static void
run_shared(
    struct shared *s, const unsigned int demand[GATEWAYS], unsigned int ms)
{
	unsigned int t, e, i, running;

	for (t = 0; t < ms; t += 5) {
		running = 0;
		for (e = 0; e < GATEWAYS; e++) {
			struct fixture *g = s->gateway[e];

			g->now_us += 5 * MS;
			for (i = 0; i < TICKETS; i++) {
				if (g->ticket[i].state == ADM_STARTED &&
				    g->now_us - g->ticket[i].started_us >=
					200 * MS)
					adm_done(&g->ticket[i], ADM_ANSWERED,
					    g->now_us);
			}
			if (t % REPORT_MS == 0)
				load(g, SLOTS, s->reported, GATEWAYS);
			for (i = 0; i < demand[e]; i++) {
				if (g->ticket[i].state != ADM_STARTED &&
				    g->ticket[i].state != ADM_WAITING)
					submit_plain(g, i);
			}
			running += running_at(g);
		}
		s->max_running = MAX(s->max_running, running);
		if (t % REPORT_MS == 0)
			s->reported = running;
	}
}

/*
 * An uneven load balancer must not leave slots unused, and a gateway that
 * receives requests later must get its share. At first all requests arrive at
 * one gateway, then also at two others. No gateway knows the counts of another,
 * only the status reports of the sidecars, which are 20 ms old.
 */
static void
test_gateways_share_slots(void **state)
{
	static const unsigned int one[GATEWAYS] = { 100, 0, 0 };
	static const unsigned int all[GATEWAYS] = { 100, 100, 100 };
	struct shared s = { 0 };
	unsigned int e;

	for (e = 0; e < GATEWAYS; e++)
		s.gateway[e] = setup(SLOTS);
	run_shared(&s, one, 1000);
	assert_in_range(running_at(s.gateway[0]), SLOTS * 9 / 10, SLOTS);
	s.max_running = 0;
	run_shared(&s, all, 1000);
	/* While borrowed slots drain, the other gateways use their shares. */
	assert_in_range(s.max_running, SLOTS, SLOTS + SLOTS * 2 / 3);
	s.max_running = 0;
	run_shared(&s, all, 1000);
	assert_in_range(s.max_running, SLOTS * 9 / 10, SLOTS + 2 * GATEWAYS);
	for (e = 0; e < GATEWAYS; e++) {
		assert_in_range(
		    running_at(s.gateway[e]), SLOTS / 3 - 4, SLOTS / 3 + 4);
		teardown(s.gateway[e]);
	}
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_limit_and_queue),
		cmocka_unit_test(test_no_target),
		cmocka_unit_test(test_priority_ages),
		cmocka_unit_test(test_fair_by_weight),
		cmocka_unit_test(test_idle_share_is_not_saved),
		cmocka_unit_test(test_early_refusal),
		cmocka_unit_test(test_cost),
		cmocka_unit_test(test_batches),
		cmocka_unit_test(test_frozen_targets),
		cmocka_unit_test(test_waiting_past_deadline),
		cmocka_unit_test(test_estimate_decays),
		cmocka_unit_test(test_end_within_start),
		cmocka_unit_test(test_refusals_by_targets),
		cmocka_unit_test(test_gateways_share_slots),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
