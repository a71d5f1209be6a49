/*
 * Lease decisions of three candidates on a virtual clock, against an in-memory
 * object whose calls take time, fail, or lose their responses.
 */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <stdio.h>
#include <string.h>

#include "agree/lse_internal.h"

#define NODES 3
#define LEASE_MS 3000
#define STEP_MS 20

struct call {
	bool running;
	bool is_write;
	char *value;
	uint64_t if_version;
	int64_t apply_ms, answer_ms;
	enum lse_outcome outcome;
	bool read_ok;
	uint64_t version;
	char *found;
};

struct candidate {
	struct sim *sim;
	struct lse *lse;
	char id[8];
	struct call calls[2]; /* at most one read and one write */
	int64_t paused_until_ms;
	bool cut; /* cut off from the object API */
	int64_t apply_ms, answer_ms; /* of its calls; 0: at random */
	/* number of next writes whose responses are lost */
	unsigned int lose_writes;
	unsigned int gained, lost;
	uint64_t last_fence;
	bool left;
};

struct sim {
	struct chart *chart;
	struct candidate nodes[NODES];
	int64_t now_ms;
	uint64_t version;
	char *value;
	bool down;
	unsigned int lose_permille;
	unsigned int delay_ms; /* upper limit */
	struct rng rng;
	uint64_t highest; /* highest fencing number assigned */
	unsigned int reads, writes, refused;
};

/* Most calls are quick, one in eight may take up to `delay_ms`. */
static int64_t
delay_ms(struct sim *w)
{
	uint64_t bound = rng_below(&w->rng, 8) == 0 ? w->delay_ms : 20;

	return (int64_t)rng_below(&w->rng, bound);
}

static void
begin(struct candidate *c, struct call *call)
{
	struct sim *w = c->sim;

	assert_false(call->running);
	call->running = true;
	call->apply_ms =
	    w->now_ms + (c->apply_ms != 0 ? c->apply_ms : delay_ms(w));
	call->answer_ms = call->apply_ms +
	    (c->answer_ms != 0 ? c->answer_ms : 1 + delay_ms(w));
}

static void
on_read(void *ctx)
{
	struct candidate *c = ctx;

	c->calls[0].is_write = false;
	begin(c, &c->calls[0]);
}

static void
on_write(
    const char *value, uint64_t if_version, unsigned int limit_ms, void *ctx)
{
	struct candidate *c = ctx;
	struct call *call = &c->calls[1];

	call->is_write = true;
	call->value = g_strdup(value);
	call->if_version = if_version;
	begin(c, call);
}

static void
on_gained(uint64_t fence, void *ctx)
{
	struct candidate *c = ctx;

	assert_true(fence > c->sim->highest);
	c->sim->highest = fence;
	c->last_fence = fence;
	c->gained++;
}

static void
on_lost(void *ctx)
{
	struct candidate *c = ctx;

	c->lost++;
}

static void
on_publish(uint64_t fence, const char *holder, void *ctx)
{
	struct candidate *c = ctx, *other;
	struct sim *w = c->sim;
	int i;

	for (i = 0; i < NODES; i++) {
		other = &w->nodes[i];
		if (other != c && w->now_ms >= other->paused_until_ms)
			lse_hint(other->lse, w->now_ms * 1000, fence);
	}
}

static void
on_left(void *ctx)
{
	struct candidate *c = ctx;

	c->left = true;
}

static const struct lse_ops ops = {
	.read = on_read,
	.write = on_write,
	.gained = on_gained,
	.lost = on_lost,
	.publish = on_publish,
	.left = on_left,
};

static void
apply(struct candidate *c, struct call *call)
{
	struct sim *w = c->sim;

	call->apply_ms = INT64_MAX;
	call->read_ok = !w->down && !c->cut;
	call->outcome = LSE_FAILED;
	if (!call->read_ok)
		return;
	if (call->is_write && call->if_version == w->version) {
		g_free(w->value);
		w->value = g_strdup(call->value);
		w->version++;
		w->writes++;
		call->outcome = LSE_WRITTEN;
	} else if (call->is_write) {
		w->refused++;
		call->outcome = LSE_REFUSED;
	} else {
		w->reads++;
	}
	call->version = w->version;
	call->found = g_strdup(w->value);
	if (rng_below(&w->rng, 1000) < w->lose_permille ||
	    (call->is_write && c->lose_writes > 0 && c->lose_writes--)) {
		call->outcome = LSE_FAILED;
		call->read_ok = false;
	}
}

static void
answer(struct candidate *c, struct call *call)
{
	int64_t now_us = c->sim->now_ms * 1000;
	char *found = call->found, *value = call->value;

	call->running = false;
	call->found = call->value = NULL;
	if (call->is_write)
		lse_write_done(
		    c->lse, now_us, call->outcome, call->version, found);
	else
		lse_read_done(
		    c->lse, now_us, call->read_ok, call->version, found);
	g_free(found);
	g_free(value);
}

static unsigned int
holders(struct sim *w)
{
	unsigned int i, n = 0;

	for (i = 0; i < NODES; i++)
		n += lse_fence(w->nodes[i].lse, w->now_ms * 1000) != 0;
	return n;
}

static void
run_ms(struct sim *w, int64_t ms)
{
	int64_t end = w->now_ms + ms;
	struct candidate *c;
	int i, j;

	for (; w->now_ms < end; w->now_ms += STEP_MS) {
		for (i = 0; i < NODES; i++) {
			c = &w->nodes[i];
			for (j = 0; j < 2; j++) {
				if (c->calls[j].running &&
				    w->now_ms >= c->calls[j].apply_ms)
					apply(c, &c->calls[j]);
			}
			if (w->now_ms < c->paused_until_ms)
				continue;
			for (j = 0; j < 2; j++) {
				if (c->calls[j].running &&
				    w->now_ms >= c->calls[j].answer_ms)
					answer(c, &c->calls[j]);
			}
			lse_tick(c->lse, w->now_ms * 1000);
		}
		assert_true(holders(w) <= 1);
	}
}

static struct sim *
sim_new(uint64_t seed)
{
	struct sim *w = g_new0(struct sim, 1);
	struct err err = { 0 };
	struct lse_conf conf;
	int i;

	w->chart = lse_chart(SOURCE_DIR "/charts", &err);
	if (w->chart == NULL)
		fail_msg("%s", err.message);
	w->delay_ms = 20;
	w->now_ms = 100000;
	rng_seed(&w->rng, seed);
	for (i = 0; i < NODES; i++) {
		w->nodes[i].sim = w;
		snprintf(w->nodes[i].id, sizeof(w->nodes[i].id), "e%d", i);
		conf = (struct lse_conf){
			.self = w->nodes[i].id,
			.incarnation = 7,
			.lease_ms = LEASE_MS,
		};
		w->nodes[i].lse = lse_new(w->chart, &conf, &ops, &w->nodes[i]);
		lse_set_rank(w->nodes[i].lse, w->now_ms * 1000, (unsigned)i);
	}
	return w;
}

static void
sim_free(struct sim *w)
{
	int i, j;

	for (i = 0; i < NODES; i++) {
		for (j = 0; j < 2; j++) {
			g_free(w->nodes[i].calls[j].found);
			g_free(w->nodes[i].calls[j].value);
		}
		lse_free(w->nodes[i].lse);
	}
	chart_free(w->chart);
	g_free(w->value);
	g_free(w);
}

/* Sets the ranks as the member tables do when node `holder` is the holder. */
static void
set_ranks_for_holder(struct sim *w, int holder)
{
	int i;
	unsigned int rank = 0;

	for (i = 0; i < NODES; i++) {
		lse_set_rank(w->nodes[i].lse, w->now_ms * 1000,
		    i == holder ? 0 : rank++);
	}
}

/* The first in rank claims, and no write is refused while nothing fails. */
static void
test_steady_state_refuses_nothing(void **state)
{
	struct sim *w = sim_new(1);

	run_ms(w, 3000);
	assert_int_equal(w->nodes[0].gained, 1);
	set_ranks_for_holder(w, 0);
	run_ms(w, 60000);
	assert_int_equal(w->nodes[0].gained, 1);
	assert_int_equal(w->nodes[0].lost, 0);
	assert_int_equal(w->refused, 0);
	print_message("steady 60 s: reads=%u writes=%u\n", w->reads, w->writes);
	assert_true(w->writes < 70);
	sim_free(w);
}

/*
 * The holder crashes, and its orders stop. The next in rank must wait until the
 * holder would certainly know that the lease has expired, and take over within
 * a second after that.
 */
static void
test_crash_costs_one_lease_and_a_second(void **state)
{
	struct sim *w;
	uint64_t seed;

	for (seed = 1; seed <= 50; seed++) {
		w = sim_new(seed);
		run_ms(w, 3000);
		set_ranks_for_holder(w, 0);
		run_ms(w, 2000 + (int64_t)seed * 37);
		w->nodes[0].paused_until_ms = INT64_MAX;
		run_ms(w, LEASE_MS + 1000);
		assert_int_equal(w->nodes[1].gained, 1);
		assert_int_equal(w->refused, 0);
		sim_free(w);
	}
}

/* The holder leaves: the next in rank has the role within 300 ms. */
static void
test_planned_handover_is_immediate(void **state)
{
	struct sim *w = sim_new(1);

	run_ms(w, 3000);
	set_ranks_for_holder(w, 0);
	run_ms(w, 5000);
	lse_leave(w->nodes[0].lse, w->now_ms * 1000);
	assert_int_equal(lse_fence(w->nodes[0].lse, w->now_ms * 1000), 0);
	run_ms(w, 300);
	assert_true(w->nodes[0].left);
	assert_int_equal(w->nodes[1].gained, 1);
	assert_int_equal(w->refused, 0);
	sim_free(w);
}

/*
 * The holder is paused until after its lease has expired and still has the
 * state of a holder when it resumes. lse_fence() must return 0 even before the
 * first event.
 */
static void
test_paused_holder_has_no_fence(void **state)
{
	struct sim *w = sim_new(1);
	uint64_t fence;

	run_ms(w, 3000);
	set_ranks_for_holder(w, 0);
	fence = lse_fence(w->nodes[0].lse, w->now_ms * 1000);
	assert_int_equal(fence, 1);
	w->nodes[0].paused_until_ms = w->now_ms + 10000;
	run_ms(w, 9900);
	assert_int_equal(lse_fence(w->nodes[0].lse, w->now_ms * 1000), 0);
	assert_int_equal(w->nodes[1].last_fence, 2);
	run_ms(w, 5000);
	assert_int_equal(w->nodes[0].lost, 1);
	assert_int_equal(w->nodes[0].gained, 1);
	assert_int_equal(w->refused, 0); /* it reads before it writes */
	sim_free(w);
}

/*
 * A renewal takes effect at once but its response is late; then the holder is
 * cut off from the API. Counted from the response, its lease would outlast the
 * time that the others wait (asserted in run_ms).
 */
static void
test_late_answer_does_not_lengthen_the_lease(void **state)
{
	struct sim *w = sim_new(1);

	run_ms(w, 3000);
	set_ranks_for_holder(w, 0);
	w->nodes[0].apply_ms = 1;
	w->nodes[0].answer_ms = 1500;
	run_ms(w, 1200);
	w->nodes[0].cut = true;
	w->nodes[0].answer_ms = 1;
	run_ms(w, 10000);
	assert_int_equal(w->nodes[1].gained, 1);
	sim_free(w);
}

/*
 * Claims fail at once, as if nothing listened at the API's address. The
 * candidate must limit its rate, or it would keep the event loop and the API
 * busy.
 */
static void
test_failed_claims_are_paced(void **state)
{
	struct sim *w = sim_new(1);

	run_ms(w, 3000);
	w->nodes[0].lose_writes = 1000;
	w->nodes[0].paused_until_ms = w->now_ms + LEASE_MS;
	set_ranks_for_holder(w, 0);
	w->nodes[1].cut = w->nodes[2].cut = true;
	run_ms(w, 13000);
	assert_true(1000 - w->nodes[0].lose_writes < 30);
	sim_free(w);
}

/*
 * The response of a renewal is lost. The next renewal is refused, as this
 * node's own write has changed the version: no reason to give the role up.
 */
static void
test_lost_renewal_answer_keeps_the_role(void **state)
{
	struct sim *w = sim_new(1);

	run_ms(w, 3000);
	set_ranks_for_holder(w, 0);
	w->nodes[0].lose_writes = 1;
	run_ms(w, 10000);
	assert_int_equal(w->nodes[0].lose_writes, 0);
	assert_int_equal(w->nodes[0].lost, 0);
	assert_int_equal(w->nodes[0].gained, 1);
	sim_free(w);
}

/*
 * Gateways that have just joined have different member tables: for a moment
 * each one considers itself first. Claims wait until the rank is stable.
 */
static void
test_claims_wait_until_ranks_settle(void **state)
{
	struct sim *w = sim_new(1);
	int i;

	for (i = 0; i < NODES; i++)
		lse_set_rank(w->nodes[i].lse, w->now_ms * 1000, 0);
	run_ms(w, 500);
	for (i = 0; i < NODES; i++)
		lse_set_rank(w->nodes[i].lse, w->now_ms * 1000, (unsigned)i);
	run_ms(w, 5000);
	assert_int_equal(w->nodes[0].gained, 1);
	assert_int_equal(w->refused, 0);
	sim_free(w);
}

/*
 * A candidate is paused while the holder renews. When it resumes, the version
 * that it last read has long expired by its clock: it must read before it
 * claims.
 */
static void
test_resumed_candidate_reads_first(void **state)
{
	struct sim *w = sim_new(1);

	run_ms(w, 3000);
	set_ranks_for_holder(w, 0);
	run_ms(w, 2000);
	w->nodes[1].paused_until_ms = w->now_ms + 10000;
	run_ms(w, 15000);
	assert_int_equal(w->nodes[0].lost, 0);
	assert_int_equal(w->refused, 0);
	sim_free(w);
}

/*
 * The object API is unavailable for longer than the lease. The holder stops in
 * time, nobody takes over meanwhile, and one node does after the outage.
 */
static void
test_api_outage_expires_lease_and_recovers(void **state)
{
	struct sim *w = sim_new(1);

	run_ms(w, 3000);
	set_ranks_for_holder(w, 0);
	w->down = true;
	run_ms(w, 20000);
	assert_int_equal(holders(w), 0);
	w->down = false;
	run_ms(w, 3000);
	assert_int_equal(holders(w), 1);
	assert_true(w->refused <= 1);
	sim_free(w);
}

/*
 * Random pauses, slow calls, lost responses, API outages and rank changes:
 * never two holders (asserted at each step in run_ms), and never a fencing
 * number assigned twice (asserted in on_gained).
 */
static void
test_never_two_holders(void **state)
{
	struct sim *w;
	uint64_t seed;
	int round, i;

	for (seed = 1; seed <= 60; seed++) {
		w = sim_new(seed);
		w->delay_ms = 1 + (unsigned)rng_below(&w->rng, 3000);
		w->lose_permille = 200;
		for (round = 0; round < 60; round++) {
			i = (int)rng_below(&w->rng, NODES);
			if (rng_below(&w->rng, 2) == 0)
				w->nodes[i].paused_until_ms = w->now_ms +
				    (int64_t)rng_below(&w->rng, 8000);
			w->down = rng_below(&w->rng, 8) == 0;
			set_ranks_for_holder(w, (int)rng_below(&w->rng, NODES));
			run_ms(w, (int64_t)rng_below(&w->rng, 6000));
		}
		w->down = false;
		w->lose_permille = 0;
		w->delay_ms = 20;
		run_ms(w, 30000);
		assert_int_equal(holders(w), 1);
		sim_free(w);
	}
}

#define DEPTH 500000 /* overflows the stack of a parser that recurses */

/* Guards against a process that ends when it reads a role's object, which another
 * writer of the object API has written. */
static void
test_deeply_nested_value(void **state)
{
	char *deep = g_strnfill(DEPTH, '[');
	char *text = g_strdup_printf("{\"holder\":%s", deep);
	struct lse_value value;

	assert_false(lse_value_parse(text, &value));
	assert_false(lse_value_parse(deep, &value));
	g_free(text);
	g_free(deep);
}

static bool
is_lease(const char *life, const char *fence, const char *lease_ms)
{
	char *text = g_strdup_printf("{\"holder\":\"a\",\"life\":%s,"
				     "\"fence\":%s,\"lease_ms\":%s,"
				     "\"handed_over\":false}",
	    life, fence, lease_ms);
	struct lse_value value;
	bool valid = lse_value_parse(text, &value);

	g_free(text);
	return valid;
}

/* Guards against a role that nobody takes over: a lease of another writer that
 * lasts for ever, or whose end overflows. */
static void
test_numbers_out_of_range(void **state)
{
	static const char *const odd[] = { "-1", "9223372036854775808",
		"18446744073709551617", "-99999999999999999999", "1e400", "1.5",
		"\"7\"", "[7]", "null" };
	size_t i;

	assert_true(is_lease("1", "1", "6000"));
	assert_true(is_lease("9223372036854775807", "9", "60000"));
	for (i = 0; i < G_N_ELEMENTS(odd); i++) {
		if (is_lease(odd[i], "1", "6000") ||
		    is_lease("1", odd[i], "6000") || is_lease("1", "1", odd[i]))
			fail_msg("read %s", odd[i]);
	}
	assert_false(is_lease("1", "1", "9223372036854775807"));
	assert_false(is_lease("1", "1", "9223372036854775"));
	assert_false(is_lease("1", "9223372036854775807", "6000"));
}

int
main(void)
{
	static const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_steady_state_refuses_nothing),
		cmocka_unit_test(test_crash_costs_one_lease_and_a_second),
		cmocka_unit_test(test_planned_handover_is_immediate),
		cmocka_unit_test(test_paused_holder_has_no_fence),
		cmocka_unit_test(test_late_answer_does_not_lengthen_the_lease),
		cmocka_unit_test(test_failed_claims_are_paced),
		cmocka_unit_test(test_lost_renewal_answer_keeps_the_role),
		cmocka_unit_test(test_claims_wait_until_ranks_settle),
		cmocka_unit_test(test_resumed_candidate_reads_first),
		cmocka_unit_test(test_api_outage_expires_lease_and_recovers),
		cmocka_unit_test(test_never_two_holders),
		cmocka_unit_test(test_deeply_nested_value),
		cmocka_unit_test(test_numbers_out_of_range),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
