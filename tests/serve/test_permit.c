/* Permits under a target's rate limit, for many gateways, in simulated time. */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <string.h>

#include "common/common.h"
#include "serve/permit.h"
#include "serve/rate.h"

#define SECOND INT64_C(1000000)
#define MS INT64_C(1000)

static bool
report(struct permits *p, double limit, int64_t since_us, bool direct,
    int64_t at_us)
{
	return permits_reported(p,
	    &(struct permit_report){
		.limit = limit, .since_us = since_us, .direct = direct },
	    at_us);
}

/* ------------------------------------------------------------------ */
/* Permit pool                                                         */
/* ------------------------------------------------------------------ */

static void
test_permits_in_request_order(void **state)
{
	char gateway[PERMIT_GATEWAY_MAX];
	struct permits p;

	permits_init(&p);
	report(&p, 1, SECOND, true, SECOND);
	permits_ask(&p, "a", SECOND);
	permits_ask(&p, "b", SECOND);
	permits_ask(&p, "a", SECOND + 900 * MS);
	permits_ask(&p, "b", SECOND + 900 * MS);
	assert_false(permits_next(&p, gateway, SECOND + 900 * MS));
	assert_true(permits_next(&p, gateway, 2 * SECOND));
	assert_string_equal(gateway, "a");
	assert_false(permits_next(&p, gateway, 2 * SECOND));
	/* An abandoned request gets no permit. */
	permits_ask(&p, "c", 3 * SECOND);
	assert_true(permits_next(&p, gateway, 3 * SECOND));
	assert_string_equal(gateway, "c");
	permits_clear(&p);
}

/* Guards against ending a limit by an answer that began before the limit was
 * stated, or by a late report of a gateway that stalled. */
static void
test_older_reports_are_ignored(void **state)
{
	struct permits p;

	permits_init(&p);
	assert_true(report(&p, 2, 5 * SECOND, true, 5 * SECOND));
	assert_false(report(&p, 0, 4 * SECOND, true, 5 * SECOND + 100 * MS));
	assert_false(permits_advance(&p, 9 * SECOND));
	/* A relayed report is ignored once the limit is known. */
	assert_false(report(&p, 7, 6 * SECOND, false, 6 * SECOND));
	assert_true(p.limit == 2);
	permits_clear(&p);
}

/* The sidecar restarts without any state: it accepts any gateway's report. */
static void
test_new_pool_accepts_relayed_reports(void **state)
{
	struct permits p;

	permits_init(&p);
	assert_true(report(&p, 3, SECOND, false, SECOND));
	assert_true(p.limit == 3);
	assert_true(report(&p, 1, 2 * SECOND, true, 2 * SECOND));
	permits_clear(&p);
}

static void
test_ended_limit_is_lifted_in_steps(void **state)
{
	struct permits p;

	permits_init(&p);
	report(&p, 2, SECOND, true, SECOND);
	assert_false(report(&p, 0, 2 * SECOND, true, 3 * SECOND));
	assert_false(permits_advance(&p, 3 * SECOND + 400 * MS));
	assert_true(p.limit == 2);
	/* It has not ended: the next answer states it again. */
	assert_false(report(&p, 2, 4 * SECOND, true, 4 * SECOND));
	assert_false(permits_advance(&p, 20 * SECOND));
	report(&p, 0, 21 * SECOND, true, 21 * SECOND);
	assert_true(permits_advance(&p, 24 * SECOND));
	assert_true(p.limit == 0);
	permits_clear(&p);
}

/* ------------------------------------------------------------------ */
/* Gateways that share one target                                      */
/* ------------------------------------------------------------------ */

#define GATEWAYS_MAX 35
#define STEP 5 * MS
#define DELAY 2 * MS
#define ANSWER_DELAY 150 * MS
#define SIDECAR_INTERVAL 30 * MS
#define REPORT_INTERVAL 250 * MS
#define REPORT_TIMEOUT 900 * MS

enum message_kind {
	MESSAGE_ANSWER,
	MESSAGE_RATE,
	MESSAGE_STATUS,
	MESSAGE_PERMIT
};

struct message { /* in transit */
	int64_t at_us;
	enum message_kind kind;
	unsigned int gateway;
	int64_t sent_us;
	double limit;
	bool known, ask;
	struct permit_report report;
};

struct sim_gateway {
	struct rate rate;
	double phase, demand; /* requests a second */
	int64_t report_us; /* last report of the sidecar */
	int64_t stalled_until_us;
	int64_t learned_us; /* an answer first stated the limit; 0: none did */
};

struct sim {
	int64_t now_us;
	unsigned int n;
	struct sim_gateway gateway[GATEWAYS_MAX];
	struct permits permits;
	bool sidecar_down;
	double limit, reported_limit;
	int64_t first_stated_us; /* the limit was first stated */
	GArray *messages, *arrivals;
	unsigned int sent, over, most;
	struct rng rng;
};

static struct sim s;

static void
post(struct message message, int64_t delay_us)
{
	message.at_us = s.now_us + delay_us;
	/* One datagram in twenty is lost. */
	if (message.kind == MESSAGE_ANSWER || rng_below(&s.rng, 20) > 0)
		g_array_append_val(s.messages, message);
}

static bool
sidecar_is_alive(const struct sim_gateway *e)
{
	return e->report_us != 0 && s.now_us - e->report_us <= REPORT_TIMEOUT;
}

static void
send_rate(unsigned int i, bool ask)
{
	const struct rate *r = &s.gateway[i].rate;
	bool direct = r->local_us != 0 && (r->local_limit > 0 || !ask);

	post((struct message){ .kind = MESSAGE_RATE,
		 .gateway = i,
		 .ask = ask,
		 .report = { .limit = direct ? r->local_limit : r->limit,
		     .direct = direct,
		     .since_us = direct ? r->local_us : s.now_us } },
	    DELAY);
}

/* The requirement: at most one and a half times the limit, plus five, from
 * gateways that learned it at least half a second ago, from three seconds
 * after it was first stated. */
static void
check_limit(const struct sim_gateway *e)
{
	s.sent++;
	if (e->learned_us == 0 || s.now_us - e->learned_us < SECOND / 2 ||
	    s.now_us - s.first_stated_us < 3 * SECOND || s.limit == 0)
		return;
	g_array_append_val(s.arrivals, s.now_us);
	while (s.now_us - g_array_index(s.arrivals, int64_t, 0) > 4 * SECOND)
		g_array_remove_index(s.arrivals, 0);
	s.most = MAX(s.most, s.arrivals->len);
	s.over += s.arrivals->len > 1.5 * 4 * s.limit + 5;
}

static void
request(unsigned int i)
{
	struct sim_gateway *e = &s.gateway[i];
	struct rate_share share = { .gateways = s.n, .phase = e->phase };

	if (rate_allows(
		&e->rate, sidecar_is_alive(e) ? NULL : &share, s.now_us)) {
		rate_sent(&e->rate, s.now_us);
		check_limit(e);
		post((struct message){ .kind = MESSAGE_ANSWER,
			 .gateway = i,
			 .limit = s.limit,
			 .sent_us = s.now_us },
		    ANSWER_DELAY);
	}
	if (sidecar_is_alive(e) && rate_ask(&e->rate, s.now_us))
		send_rate(i, true);
}

static void
handle_answer(const struct message *m)
{
	struct sim_gateway *e = &s.gateway[m->gateway];

	if (m->limit > 0 && e->learned_us == 0)
		e->learned_us = s.now_us;
	if (m->limit > 0 && s.first_stated_us == 0)
		s.first_stated_us = s.now_us;
	rate_answered(
	    &e->rate, m->limit, m->sent_us, sidecar_is_alive(e), s.now_us);
	if (rate_needs_report(&e->rate))
		send_rate(m->gateway, false);
}

static void
handle_rate(const struct message *m)
{
	char text[PERMIT_GATEWAY_MAX];

	if (s.sidecar_down)
		return;
	permits_reported(&s.permits, &m->report, s.now_us);
	g_snprintf(text, sizeof(text), "%u", m->gateway);
	if (m->ask)
		permits_ask(&s.permits, text, s.now_us);
}

static void
handle(const struct message *m)
{
	struct sim_gateway *e = &s.gateway[m->gateway];

	switch (m->kind) {
	case MESSAGE_ANSWER:
		handle_answer(m);
		break;
	case MESSAGE_RATE:
		handle_rate(m);
		break;
	case MESSAGE_STATUS:
		e->report_us = s.now_us;
		if (m->known)
			rate_side_reported(&e->rate, m->limit, s.now_us);
		break;
	case MESSAGE_PERMIT:
		rate_permit(&e->rate, s.now_us);
		break;
	}
}

static void
deliver(void)
{
	struct message m;
	guint i = 0;

	while (i < s.messages->len) {
		m = g_array_index(s.messages, struct message, i);
		if (m.at_us > s.now_us ||
		    (m.kind != MESSAGE_RATE &&
			s.gateway[m.gateway].stalled_until_us > s.now_us)) {
			i++;
			continue;
		}
		g_array_remove_index(s.messages, i);
		handle(&m);
	}
}

static void
run_sidecar(void)
{
	char text[PERMIT_GATEWAY_MAX];
	bool report_due = s.now_us % REPORT_INTERVAL < STEP;
	unsigned int i;

	if (s.sidecar_down || s.now_us % SIDECAR_INTERVAL >= STEP)
		return;
	permits_advance(&s.permits, s.now_us);
	while (permits_next(&s.permits, text, s.now_us))
		post((struct message){ .kind = MESSAGE_PERMIT,
			 .gateway = (unsigned int)atoi(text) },
		    DELAY);
	if (!report_due && s.permits.limit == s.reported_limit)
		return;
	s.reported_limit = s.permits.limit;
	for (i = 0; i < s.n; i++)
		post((struct message){ .kind = MESSAGE_STATUS,
			 .gateway = i,
			 .known = s.permits.known,
			 .limit = s.permits.limit },
		    DELAY);
}

static void
run_until(int64_t end_us)
{
	unsigned int i;

	for (; s.now_us < end_us; s.now_us += STEP) {
		deliver();
		run_sidecar();
		for (i = 0; i < s.n; i++) {
			if (s.gateway[i].stalled_until_us <= s.now_us &&
			    (double)rng_below(&s.rng, 1000000) <
				s.gateway[i].demand * STEP)
				request(i);
		}
	}
}

/* Half of the demand arrives at the first gateway, a quarter at the second. */
static void
sim_open(unsigned int n, double demand, uint64_t seed)
{
	unsigned int i;

	memset(&s, 0, sizeof(s));
	rng_seed(&s.rng, seed);
	permits_init(&s.permits);
	s.messages = g_array_new(FALSE, FALSE, sizeof(struct message));
	s.arrivals = g_array_new(FALSE, FALSE, sizeof(int64_t));
	s.n = n;
	s.now_us = 1000 * SECOND;
	for (i = 0; i < n; i++) {
		s.gateway[i].phase = (double)rng_below(&s.rng, 1000) / 1000;
		s.gateway[i].demand =
		    i < 2 ? demand / (2 << i) : demand / 4 / (n - 2);
	}
}

static void
sim_close(void)
{
	permits_clear(&s.permits);
	g_array_unref(s.messages);
	g_array_unref(s.arrivals);
}

static void
restart_gateway(unsigned int i)
{
	s.gateway[i].rate = (struct rate){ 0 };
	s.gateway[i].report_us = 0;
	s.gateway[i].learned_us = 0;
}

/*
 * Many gateways send to an overloaded engine, unevenly, and each knows only its
 * own requests; without a common pool the engine gets several times its limit.
 * With one pool the gateways together stay within the limit and use it.
 */
static void
test_many_gateways_share_one_limit(void **state)
{
	static const unsigned int gateways[] = { 3, 5, 35 };
	static const double limits[] = { 0.25, 1, 2.2, 10, 50 };
	unsigned int before;
	size_t i, j;

	for (i = 0; i < G_N_ELEMENTS(gateways); i++) {
		for (j = 0; j < G_N_ELEMENTS(limits); j++) {
			sim_open(gateways[i], 400, i * 10 + j);
			run_until(s.now_us + 2 * SECOND);
			s.limit = limits[j];
			run_until(s.now_us + 4 * SECOND);
			before = s.sent;
			run_until(s.now_us + 40 * SECOND);
			assert_int_equal(s.over, 0);
			/* Four fifths of the limit are used. */
			assert_true(
			    s.sent - before + 1 >= 0.8 * 40 * limits[j]);
			sim_close();
		}
	}
}

/* Meanwhile gateways restart without state or stall and resume with old
 * messages, the sidecar stops and restarts, and the limit changes and ends. */
static void
test_limit_under_faults(void **state)
{
	unsigned int seed, i;
	double limit;

	for (seed = 1; seed <= 60; seed++) {
		sim_open(seed % 2 == 0 ? 5 : 35, 200, seed);
		run_until(s.now_us + SECOND);
		limit = s.limit = 0.5 + (double)rng_below(&s.rng, 60) / 10;
		run_until(s.now_us + 4 * SECOND);
		for (i = 0; i < 20; i++) {
			unsigned int one = (unsigned int)rng_below(&s.rng, s.n);

			switch (rng_below(&s.rng, 4)) {
			case 0:
				restart_gateway(one);
				break;
			case 1:
				s.gateway[one].stalled_until_us = s.now_us +
				    (int64_t)rng_below(&s.rng, 3000) * MS;
				break;
			case 2:
				s.sidecar_down = !s.sidecar_down;
				break;
			case 3:
				permits_reset(&s.permits);
				break;
			}
			run_until(
			    s.now_us + (int64_t)rng_below(&s.rng, 2000) * MS);
		}
		assert_int_equal(s.over, 0);
		/* The limit ends, and the target's traffic returns. */
		s.sidecar_down = false;
		s.limit = 0;
		run_until(s.now_us + 15 * SECOND);
		i = s.sent;
		run_until(s.now_us + 2 * SECOND);
		assert_true(s.sent - i > 200);
		/* A lower limit than before. */
		s.first_stated_us = 0;
		g_array_set_size(s.arrivals, 0);
		for (i = 0; i < s.n; i++)
			s.gateway[i].learned_us = 0;
		s.limit = limit / 4;
		run_until(s.now_us + 10 * SECOND);
		assert_int_equal(s.over, 0);
		sim_close();
	}
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_permits_in_request_order),
		cmocka_unit_test(test_older_reports_are_ignored),
		cmocka_unit_test(test_new_pool_accepts_relayed_reports),
		cmocka_unit_test(test_ended_limit_is_lifted_in_steps),
		cmocka_unit_test(test_many_gateways_share_one_limit),
		cmocka_unit_test(test_limit_under_faults),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
