/* Admission: limits, fairness, early refusal, several entries. */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <string.h>

#include "route/admit.h"

#define MS 1000
#define FAR (1000LL * G_USEC_PER_SEC)
#define TICKETS 400

struct gate {
	struct adm *adm;
	struct adm_queue *lane;
	int64_t now_us;
	unsigned int started, refused;
	struct adm_ticket *last; /* started by the queue */
	struct err err; /* of the last refusal */
	bool end_at_once;
	unsigned int depth, deepest; /* of calls within calls */
	struct adm_ticket ticket[TICKETS];
};

static void
on_start(struct adm_ticket *ticket, void *ctx)
{
	struct gate *g = ctx;

	g->started++;
	g->last = ticket;
	g->depth++;
	g->deepest = MAX(g->deepest, g->depth);
	if (g->end_at_once)
		adm_done(ticket, ADM_OTHER, g->now_us);
	g->depth--;
}

static void
on_refuse(struct adm_ticket *ticket, const struct err *err, void *ctx)
{
	struct gate *g = ctx;

	g->refused++;
	g->err = *err;
}

static const struct adm_ops ops = { .start = on_start, .refuse = on_refuse };

static void
load(struct gate *g, unsigned int slots, unsigned int running,
    unsigned int entries)
{
	const struct adm_load told = { slots, running, entries };

	adm_queue_load(g->lane, &told, g->now_us);
}

static struct gate *
open_gate(unsigned int slots)
{
	struct gate *g = g_new0(struct gate, 1);
	struct adm_workspace *team;

	g->now_us = 1000 * MS;
	g->adm = adm_new(1000, &ops, g);
	team = adm_workspace(g->adm, "t");
	adm_workspace_set(team, 100, 100);
	g->lane = adm_queue(team, "p");
	load(g, slots, 0, 1);
	return g;
}

static void
close_gate(struct gate *g)
{
	size_t i;

	for (i = 0; i < TICKETS; i++)
		adm_cancel(&g->ticket[i], g->now_us);
	adm_free(g->adm);
	g_free(g);
}

static enum adm_state
offer(struct gate *g, unsigned int i, unsigned int priority, int64_t goal_ms,
    int64_t deadline_ms)
{
	struct adm_ticket *t = &g->ticket[i];

	t->priority = priority;
	t->first_byte_by_us = goal_ms == 0 ? 0 : g->now_us + goal_ms * MS;
	t->deadline_us = g->now_us + deadline_ms * MS;
	memset(&g->err, 0, sizeof(g->err));
	return adm_submit(g->lane, t, g->now_us, &g->err);
}

static enum adm_state
offer_plain(struct gate *g, unsigned int i)
{
	return offer(g, i, 100, 0, FAR / MS);
}

static void
test_limit_and_queue(void **state)
{
	struct gate *g = open_gate(2);
	unsigned int i;

	for (i = 0; i < 2; i++)
		assert_int_equal(offer_plain(g, i), ADM_STARTED);
	for (; i < 102; i++)
		assert_int_equal(offer_plain(g, i), ADM_WAITING);
	assert_int_equal(offer_plain(g, i), ADM_REFUSED);
	assert_int_equal(g->err.code, ERR_OVERLOADED);
	assert_int_equal(g->err.verdict, VERDICT_NOT_RUN);
	assert_true(g->err.retry_after_ms > 0);
	adm_done(&g->ticket[1], ADM_ANSWERED, g->now_us);
	assert_ptr_equal(g->last, &g->ticket[2]);
	adm_cancel(&g->ticket[3], g->now_us);
	adm_done(&g->ticket[0], ADM_ANSWERED, g->now_us);
	assert_ptr_equal(g->last, &g->ticket[4]);
	assert_int_equal(g->started, 2);
	assert_int_equal(offer_plain(g, 110), ADM_WAITING);
	close_gate(g);
}

static void
test_no_target(void **state)
{
	struct gate *g = open_gate(0);

	assert_int_equal(offer_plain(g, 0), ADM_REFUSED);
	assert_int_equal(g->err.code, ERR_UNAVAILABLE);
	assert_int_equal(g->err.verdict, VERDICT_NOT_RUN);
	assert_true(g->err.retry_after_ms > 0);
	close_gate(g);
}

/* The urgent go first, but what has waited for a second longer than they
 * have goes before them. */
static void
test_priority_ages(void **state)
{
	struct gate *g = open_gate(1);
	static const unsigned int order[] = { 2, 1, 3, 4 };
	size_t i;

	offer_plain(g, 0);
	offer(g, 1, 128, 0, FAR / MS);
	offer(g, 2, 0, 0, FAR / MS);
	g->now_us += 2000 * MS;
	offer(g, 3, 0, 0, FAR / MS);
	offer(g, 4, 1000, 0, FAR / MS);
	g->last = &g->ticket[0];
	for (i = 0; i < G_N_ELEMENTS(order); i++) {
		adm_done(g->last, ADM_OTHER, g->now_us);
		assert_ptr_equal(g->last, &g->ticket[order[i]]);
	}
	close_gate(g);
}

/*
 * Two teams always wait; the entry itself is the bottleneck. The first has
 * weight 100. Returns the second's requests over the first's, in percent.
 */
static unsigned int
run_two_teams(unsigned int weight, const unsigned int answer_ms[2],
    enum adm_outcome outcome)
{
	struct gate *g = open_gate(1000);
	struct adm_workspace *second = adm_workspace(g->adm, "u");
	struct adm_queue *lane[2] = { g->lane, adm_queue(second, "p") };
	const struct adm_load told = { 1000, 0, 1 };
	unsigned int got[2] = { 0 }, i, n;

	adm_workspace_set(second, weight, 1000);
	adm_queue_load(lane[1], &told, g->now_us);
	adm_set_capacity(g->adm, 1, g->now_us);
	g->last = &g->ticket[0];
	for (i = 0; i < TICKETS; i++) {
		struct adm_ticket *t = &g->ticket[i];

		t->deadline_us = g->now_us + FAR;
		if (i < 2) {
			adm_submit(lane[i], t, g->now_us, NULL);
			continue;
		}
		n = g->last->queue == lane[1];
		got[n]++;
		adm_submit(lane[n], t, g->now_us, NULL);
		g->now_us += answer_ms[n] * MS;
		adm_done(g->last, outcome, g->now_us);
	}
	close_gate(g);
	return got[1] * 100 / got[0];
}

static void
test_fair_by_weight(void **state)
{
	static const unsigned int alike[2] = { 10, 10 };
	static const unsigned int longer[2] = { 10, 30 };

	assert_in_range(run_two_teams(100, alike, ADM_ANSWERED), 95, 105);
	assert_in_range(run_two_teams(300, alike, ADM_ANSWERED), 280, 320);
	/* What counts is the targets' time, also of attempts that failed. */
	assert_in_range(run_two_teams(100, longer, ADM_ANSWERED), 30, 37);
	assert_in_range(run_two_teams(100, longer, ADM_OTHER), 30, 37);
}

/* A team that asked for nothing for a long time gets its share when it comes
 * back, and not all that it left to the others meanwhile. */
static void
test_idle_share_is_not_saved(void **state)
{
	struct gate *g = open_gate(1000);
	struct adm_queue *other = adm_queue(adm_workspace(g->adm, "u"), "p");
	const struct adm_load told = { 1000, 0, 1 };
	unsigned int i, own = 0;

	adm_workspace_set(adm_workspace(g->adm, "u"), 100, 1000);
	adm_queue_load(other, &told, g->now_us);
	adm_set_capacity(g->adm, 1, g->now_us);
	for (i = 0; i < 50; i++) {
		offer_plain(g, i);
		g->now_us += 10 * MS;
		adm_done(&g->ticket[i], ADM_ANSWERED, g->now_us);
	}
	offer_plain(g, 0);
	for (i = 1; i <= 40; i++) {
		offer_plain(g, i);
		g->ticket[100 + i].deadline_us = g->now_us + FAR;
		adm_submit(other, &g->ticket[100 + i], g->now_us, NULL);
	}
	g->last = &g->ticket[0];
	for (i = 0; i < 40; i++) {
		own += g->last->queue == g->lane ? 1 : 0;
		g->now_us += 10 * MS;
		adm_done(g->last, ADM_ANSWERED, g->now_us);
	}
	assert_in_range(own, 18, 22);
	close_gate(g);
}

/* Answers of 100 ms, `slots` at a time, for `ms`; the queue is kept full. */
static void
run_busy(struct gate *g, unsigned int slots, unsigned int ms)
{
	unsigned int i, t;

	for (i = 0; i < 3 * slots; i++)
		offer_plain(g, i);
	for (t = 0; t < ms; t += 10) {
		g->now_us += 10 * MS;
		for (i = 0; i < 3 * slots; i++) {
			struct adm_ticket *ticket = &g->ticket[i];

			if (ticket->state != ADM_STARTED ||
			    g->now_us - ticket->started_us < 100 * MS)
				continue;
			adm_first_byte(ticket, g->now_us - 50 * MS);
			adm_done(ticket, ADM_ANSWERED, g->now_us);
			offer_plain(g, i);
		}
	}
}

static void
test_early_refusal(void **state)
{
	struct gate *g = open_gate(4);
	struct adm_queue_stats stats;

	run_busy(g, 4, 2000);
	adm_queue_stats(g->lane, g->now_us, &stats);
	assert_in_range(stats.drain_milli_s, 36000, 44000);
	assert_in_range(stats.unit_us, 90 * MS, 110 * MS);
	/* Eight wait: a new one starts in 225 ms, ends in 325 ms. */
	assert_int_equal(offer(g, 20, 100, 0, 290), ADM_REFUSED);
	assert_int_equal(g->err.code, ERR_DEADLINE);
	assert_int_equal(g->err.verdict, VERDICT_NOT_RUN);
	assert_in_range(g->err.retry_after_ms, 100, 300);
	assert_int_equal(offer(g, 20, 100, 0, 400), ADM_WAITING);
	assert_int_equal(offer(g, 21, 100, 240, 5000), ADM_REFUSED);
	assert_int_equal(g->err.code, ERR_OVERLOADED);
	assert_int_equal(offer(g, 21, 100, 1500, 5000), ADM_WAITING);
	/* The urgent one does not wait behind the others. */
	assert_int_equal(offer(g, 22, 0, 0, 290), ADM_WAITING);
	close_gate(g);
}

/* What was learned from short answers serves for the first long ones. */
static void
test_cost(void **state)
{
	struct gate *g = open_gate(4);
	struct adm_queue_stats stats;
	unsigned int i;

	run_busy(g, 4, 2000); /* 40 of cost 1 a second, 8 wait */
	for (i = 20; i < 23; i++)
		g->ticket[i].cost = 40;
	assert_int_equal(offer(g, 20, 100, 1500, 20000), ADM_REFUSED);
	assert_int_equal(offer(g, 20, 100, 0, 5000), ADM_REFUSED);
	assert_int_equal(offer(g, 20, 100, 0, 7000), ADM_WAITING);
	g->ticket[21].cost = 1;
	assert_int_equal(offer(g, 21, 100, 1000, 20000), ADM_REFUSED);
	close_gate(g);
	g = open_gate(1);
	g->ticket[0].cost = 10;
	offer_plain(g, 0);
	g->now_us += 1000 * MS;
	adm_done(&g->ticket[0], ADM_ANSWERED, g->now_us);
	adm_queue_stats(g->lane, g->now_us, &stats);
	assert_int_equal(stats.unit_us, 100 * MS);
	close_gate(g);
}

/* Requests that began together end together: the silence between is no
 * reason to give up those that wait. */
static void
test_batches(void **state)
{
	struct gate *g = open_gate(8);
	unsigned int round, i;

	for (i = 0; i < 24; i++)
		offer(g, i, 100, 0, 4000);
	for (round = 0; round < 3; round++) {
		for (i = 0; i < 45; i++) {
			g->now_us += 20 * MS;
			adm_expire(g->adm, g->now_us);
		}
		for (i = 8 * round; i < 8 * round + 8; i++)
			adm_done(&g->ticket[i], ADM_ANSWERED, g->now_us);
	}
	assert_int_equal(g->refused, 0);
	close_gate(g);
}

/*
 * The caller hears at once that its request was not run, long before its own
 * deadline. The targets freeze while it waits; no start tells the entry so, only
 * time that passes without any.
 */
static void
test_frozen_targets(void **state)
{
	struct gate *g = open_gate(4);
	unsigned int ms;

	run_busy(g, 4, 2000);
	assert_int_equal(offer(g, 20, 100, 0, 8000), ADM_WAITING);
	for (ms = 0; ms < 4000 && g->refused == 0; ms += 20) {
		g->now_us += 20 * MS;
		adm_expire(g->adm, g->now_us);
	}
	assert_int_equal(g->ticket[20].state, ADM_REFUSED);
	assert_int_equal(g->err.code, ERR_DEADLINE);
	assert_int_equal(g->err.verdict, VERDICT_NOT_RUN);
	assert_true(g->err.retry_after_ms > 0);
	close_gate(g);
}

static void
test_waiting_past_its_time(void **state)
{
	struct gate *g = open_gate(1);

	offer_plain(g, 0);
	assert_int_equal(offer(g, 1, 100, 0, 100), ADM_WAITING);
	assert_int_equal(offer(g, 2, 100, 200, 10000), ADM_WAITING);
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
	close_gate(g);
}

/*
 * After one slow spell callers would be refused for ever: the estimate says
 * that no deadline can be met, so nothing starts, so the estimate never
 * learns better. It fades instead.
 */
static void
test_refusals_end(void **state)
{
	struct gate *g = open_gate(1);

	offer_plain(g, 0);
	g->now_us += 20000 * MS;
	adm_done(&g->ticket[0], ADM_ANSWERED, g->now_us);
	offer_plain(g, 0);
	g->now_us += 20000 * MS;
	adm_done(&g->ticket[0], ADM_ANSWERED, g->now_us);
	assert_int_equal(offer(g, 1, 100, 0, 1000), ADM_REFUSED);
	assert_int_equal(g->err.code, ERR_DEADLINE);
	g->now_us += 30000 * MS;
	assert_int_equal(offer(g, 1, 100, 0, 1000), ADM_STARTED);
	close_gate(g);
}

/* A whole queue whose starts fail within the callback ends, and not by a
 * call within a call for each. */
static void
test_end_within_start(void **state)
{
	struct gate *g = open_gate(1);
	unsigned int i;

	for (i = 0; i < 50; i++)
		offer_plain(g, i);
	g->end_at_once = true;
	adm_done(&g->ticket[0], ADM_ANSWERED, g->now_us);
	assert_int_equal(g->started, 49);
	assert_int_equal(g->deepest, 1);
	close_gate(g);
}

static void
test_refusals_by_targets(void **state)
{
	struct gate *g = open_gate(100);
	struct adm_queue_stats stats;
	unsigned int i;

	offer_plain(g, 0);
	for (i = 0; i < 20; i++) {
		g->now_us += 20 * MS;
		adm_overloaded(&g->ticket[0], g->now_us);
	}
	adm_queue_stats(g->lane, g->now_us, &stats);
	assert_in_range(stats.limit, 30, 45);
	for (i = 0; i < 100; i++) {
		g->now_us += 20 * MS;
		adm_expire(g->adm, g->now_us);
	}
	adm_queue_stats(g->lane, g->now_us, &stats);
	assert_int_equal(stats.limit, 100);
	close_gate(g);
}

/* ------------------------------------------------------------------ */
/* Several entries, one set of slots                                   */
/* ------------------------------------------------------------------ */

#define ENTRIES 3
#define SLOTS 60
#define WORD_MS 20 /* how old the sides' word is */

struct shared {
	struct gate *gate[ENTRIES];
	unsigned int told;
	unsigned int most;
};

static unsigned int
running_at(const struct gate *g)
{
	unsigned int n = 0, i;

	for (i = 0; i < TICKETS; i++)
		n += g->ticket[i].state == ADM_STARTED ? 1 : 0;
	return n;
}

/* Each entry `wants` so many requests of 200 ms at a time. */
static void
run_shared(struct shared *s, const unsigned int wants[ENTRIES], unsigned int ms)
{
	unsigned int t, e, i, running;

	for (t = 0; t < ms; t += 5) {
		running = 0;
		for (e = 0; e < ENTRIES; e++) {
			struct gate *g = s->gate[e];

			g->now_us += 5 * MS;
			for (i = 0; i < TICKETS; i++) {
				if (g->ticket[i].state == ADM_STARTED &&
				    g->now_us - g->ticket[i].started_us >=
					200 * MS)
					adm_done(&g->ticket[i], ADM_ANSWERED,
					    g->now_us);
			}
			if (t % WORD_MS == 0)
				load(g, SLOTS, s->told, ENTRIES);
			for (i = 0; i < wants[e]; i++) {
				if (g->ticket[i].state != ADM_STARTED &&
				    g->ticket[i].state != ADM_WAITING)
					offer_plain(g, i);
			}
			running += running_at(g);
		}
		s->most = MAX(s->most, running);
		if (t % WORD_MS == 0)
			s->told = running;
	}
}

/*
 * An uneven balancer must not leave slots unused, and an entry that gets
 * requests later gets its part. First all callers come to one entry, then to two more;
 * no entry sees another's numbers, only what the sides say, 20 ms late.
 */
static void
test_entries_share_slots(void **state)
{
	static const unsigned int one[ENTRIES] = { 100, 0, 0 };
	static const unsigned int all[ENTRIES] = { 100, 100, 100 };
	struct shared s = { 0 };
	unsigned int e;

	for (e = 0; e < ENTRIES; e++)
		s.gate[e] = open_gate(SLOTS);
	run_shared(&s, one, 1000);
	assert_in_range(running_at(s.gate[0]), SLOTS * 9 / 10, SLOTS);
	s.most = 0;
	run_shared(&s, all, 1000);
	/* While the loan is paid back: the others' own shares on top. */
	assert_in_range(s.most, SLOTS, SLOTS + SLOTS * 2 / 3);
	s.most = 0;
	run_shared(&s, all, 1000);
	assert_in_range(s.most, SLOTS * 9 / 10, SLOTS + 2 * ENTRIES);
	for (e = 0; e < ENTRIES; e++) {
		assert_in_range(
		    running_at(s.gate[e]), SLOTS / 3 - 4, SLOTS / 3 + 4);
		close_gate(s.gate[e]);
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
		cmocka_unit_test(test_waiting_past_its_time),
		cmocka_unit_test(test_refusals_end),
		cmocka_unit_test(test_end_within_start),
		cmocka_unit_test(test_refusals_by_targets),
		cmocka_unit_test(test_entries_share_slots),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
