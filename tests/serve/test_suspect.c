/* Which requests are blocked after terminations of targets, and how long. */

#include "../http/loop.h"

#include "common/common.h"
#include "serve/fingerprint.h"
#include "serve/suspect.h"

#define S ((int64_t)G_USEC_PER_SEC)
#define T0 (100 * S)
#define MS 1000

static struct sus *s;
static GArray *confirmed;

static int
set_up(void **state)
{
	s = sus_new(1);
	confirmed = g_array_new(FALSE, FALSE, sizeof(struct sus_termination));
	return 0;
}

static int
tear_down(void **state)
{
	sus_free(s);
	g_array_unref(confirmed);
	return 0;
}

static struct sus_termination
termination_of(
    uint64_t fingerprint, uint64_t target, unsigned int weight, int64_t at_us)
{
	return (struct sus_termination){ .fingerprint = fingerprint,
		.target = target,
		.weight = weight,
		.at_us = at_us };
}

static void
cut(uint64_t fingerprint, uint64_t target, unsigned int weight, int64_t at_us)
{
	struct sus_termination termination =
	    termination_of(fingerprint, target, weight, at_us);

	sus_cut(s, &termination);
}

static bool
report(struct sus *by, uint64_t fingerprint, uint64_t target,
    unsigned int weight, int64_t at_us)
{
	struct sus_termination termination =
	    termination_of(fingerprint, target, weight, at_us);

	return sus_report(by, &termination, at_us) == SUS_NEW;
}

static enum sus_verdict
judge(uint64_t fingerprint, int64_t now_us)
{
	int64_t until_us = 0;

	return sus_judge(s, fingerprint, now_us, &until_us);
}

static int64_t
blocked_until(struct sus *by, uint64_t fingerprint, int64_t now_us)
{
	int64_t until_us = 0;

	assert_int_equal(
	    sus_judge(by, fingerprint, now_us, &until_us), SUS_BLOCKED);
	return until_us;
}

static uint64_t
part(const char *id)
{
	return fpr_of_part(slice_str(id));
}

/* Reports terminations under the part, one second apart. */
static void
report_part(const char *id, uint64_t n, int64_t from_us)
{
	uint64_t i;

	for (i = 0; i < n; i++)
		report(s, part(id), 1 + i, SUS_UNANSWERED,
		    from_us + (int64_t)i * S);
}

/* Guards against a request that terminates one target after the other. */
static void
test_blocked_after_two_terminations_without_answer(void **state)
{
	assert_int_equal(judge(7, T0), SUS_NONE);
	cut(7, 1, SUS_UNANSWERED, T0);
	sus_target_terminated(s, 1, T0 + 40 * MS, confirmed);
	assert_int_equal(confirmed->len, 1);
	assert_int_equal(judge(7, T0 + 50 * MS), SUS_SUSPECT);
	cut(7, 2, SUS_UNANSWERED, T0 + 300 * MS);
	/* Blocked before it is known that the second target terminated. */
	assert_int_equal(judge(7, T0 + 300 * MS), SUS_BLOCKED);
	sus_target_terminated(s, 2, T0 + 340 * MS, confirmed);
	assert_int_equal(confirmed->len, 2);
	assert_true(blocked_until(s, 7, T0 + 400 * MS) > T0 + 10 * S);
	assert_true(sus_was_blocked(s, 7));
}

/* Guards against blocking a request whose target is still running. */
static void
test_cut_off_by_running_target_is_refuted(void **state)
{
	cut(7, 1, SUS_UNANSWERED, T0);
	cut(7, 2, SUS_UNANSWERED, T0 + 100 * MS);
	assert_int_equal(judge(7, T0 + 100 * MS), SUS_BLOCKED);
	assert_int_equal(judge(7, T0 + 500 * MS), SUS_SUSPECT);
	sus_sweep(s, T0 + 2 * S, NULL);
	assert_true(sus_is_empty(s));
	/* A termination much later is unrelated. */
	cut(7, 1, SUS_UNANSWERED, T0 + 3 * S);
	sus_target_terminated(s, 1, T0 + 5 * S, confirmed);
	assert_int_equal(confirmed->len, 0);
}

/* The sidecar may report the termination before the cut-off is read here. */
static void
test_termination_known_before_the_cut_off(void **state)
{
	struct sus_termination termination =
	    termination_of(7, 1, SUS_UNANSWERED, T0 + 20 * MS);

	sus_target_terminated(s, 1, T0, confirmed);
	assert_int_equal(confirmed->len, 0);
	assert_true(sus_cut(s, &termination));
}

/* Guards against blocking innocent requests, which most of those in flight at a
 * terminated target are. */
static void
test_innocent_requests_are_not_blocked(void **state)
{
	uint64_t fingerprint;

	for (fingerprint = 10; fingerprint < 30; fingerprint++)
		cut(fingerprint, 1, SUS_UNANSWERED, T0);
	sus_target_terminated(s, 1, T0 + 40 * MS, confirmed);
	for (fingerprint = 10; fingerprint < 30; fingerprint++)
		assert_int_equal(judge(fingerprint, T0 + S), SUS_SUSPECT);
	/* Cut off midway at all three. */
	report(s, 40, 1, SUS_ANSWERING, T0);
	report(s, 40, 2, SUS_ANSWERING, T0 + S);
	report(s, 40, 3, SUS_ANSWERING, T0 + 2 * S);
	assert_int_equal(judge(40, T0 + 2 * S), SUS_SUSPECT);
	/* Midway, then before the stream was resumed elsewhere. */
	report(s, 41, 1, SUS_ANSWERING, T0);
	report(s, 41, 2, SUS_UNANSWERED, T0 + S);
	assert_int_equal(judge(41, T0 + S), SUS_SUSPECT);
}

/* Guards against a request that terminates targets after their first event. */
static void
test_blocked_after_four_terminations_midway(void **state)
{
	uint64_t target;

	for (target = 1; target <= 4; target++)
		report(s, 7, target, SUS_ANSWERING, T0 + (int64_t)target * S);
	assert_int_equal(judge(7, T0 + 5 * S), SUS_BLOCKED);
}

static void
test_reports_of_one_termination_count_once(void **state)
{
	assert_true(report(s, 7, 1, SUS_UNANSWERED, T0));
	assert_false(report(s, 7, 1, SUS_UNANSWERED, T0 + 30 * MS));
	cut(7, 1, SUS_UNANSWERED, T0 + 10 * MS);
	assert_int_equal(judge(7, T0 + 50 * MS), SUS_SUSPECT);
	/* The target has restarted under the same id. */
	assert_true(report(s, 7, 1, SUS_UNANSWERED, T0 + 5 * S));
	assert_int_equal(judge(7, T0 + 5 * S), SUS_BLOCKED);
}

static void
test_complete_answer_clears(void **state)
{
	report(s, 7, 1, SUS_UNANSWERED, T0);
	assert_true(sus_answered(s, 7, T0));
	assert_int_equal(judge(7, T0 + S), SUS_NONE);
	assert_false(sus_answered(s, 7, T0));
	cut(8, 1, SUS_UNANSWERED, T0); /* not published yet */
	assert_false(sus_answered(s, 8, T0));
	/* The same, reported by another process. */
	report(s, 9, 1, SUS_UNANSWERED, T0);
	report(s, 9, 2, SUS_UNANSWERED, T0);
	assert_true(report(s, 9, 0, SUS_CLEARED, T0));
	assert_int_equal(judge(9, T0 + S), SUS_NONE);
}

/* Guards against probes that cost a target every few seconds indefinitely. */
static void
test_each_termination_blocks_for_longer(void **state)
{
	int64_t now_us = T0, least_s[] = { 10, 300, 3600, 24 * 3600 }, until_us;
	uint64_t target;

	report(s, 7, 1, SUS_UNANSWERED, now_us);
	for (target = 2; target <= 5; target++) {
		report(s, 7, target, SUS_UNANSWERED, now_us);
		until_us = blocked_until(s, 7, now_us);
		assert_in_range((until_us - now_us) / S, least_s[target - 2],
		    2 * least_s[target - 2]);
		sus_sweep(s, until_us, NULL);
		assert_int_equal(judge(7, until_us), SUS_SUSPECT);
		now_us = until_us;
	}
}

/* Guards against further copies after a probe whose end is no evidence, as its
 * target fails it: the identity stays blocked until a complete answer clears it. */
static void
test_probe_without_an_answer(void **state)
{
	int64_t now_us = T0, until_us;
	int i;

	report(s, 7, 1, SUS_UNANSWERED, now_us);
	sus_sent(s, 7, now_us); /* not blocked yet */
	assert_int_equal(judge(7, now_us), SUS_SUSPECT);
	report(s, 7, 2, SUS_UNANSWERED, now_us);
	for (i = 0; i < 5; i++) {
		now_us = blocked_until(s, 7, now_us);
		sus_sweep(s, now_us, NULL);
		assert_int_equal(judge(7, now_us), SUS_SUSPECT);
		sus_sent(s, 7, now_us);
		until_us = blocked_until(s, 7, now_us);
		assert_in_range((until_us - now_us) / S, 10, 20);
	}
	sus_void_probe(s, 7, now_us); /* it did not run */
	assert_int_equal(judge(7, now_us), SUS_SUSPECT);
	sus_sent(s, 7, now_us);
	report(s, 7, 3, SUS_UNANSWERED, now_us); /* another one's probe */
	sus_void_probe(s, 7, now_us);
	assert_true(blocked_until(s, 7, now_us) - now_us >= 300 * S);
	sus_sent(s, 7, now_us + 600 * S);
	sus_answered(s, 7, now_us + 600 * S);
	assert_int_equal(judge(7, now_us + 600 * S), SUS_NONE);
}

/* Guards against a copy to a failing target from each gateway, and from each process
 * that starts later: one probe blocks the identity for all of them. */
static void
test_probe_blocks_elsewhere(void **state)
{
	GArray *known =
	    g_array_new(FALSE, FALSE, sizeof(struct sus_termination));
	struct sus *other = sus_new(2), *late = sus_new(3);
	int64_t probed_us;
	guint i;

	assert_false(report(other, 7, 0, SUS_PROBE, T0)); /* not blocked */
	for (i = 1; i <= 2; i++) {
		report(s, 7, i, SUS_UNANSWERED, T0);
		report(other, 7, i, SUS_UNANSWERED, T0);
	}
	probed_us = MAX(blocked_until(s, 7, T0), blocked_until(other, 7, T0));
	assert_true(sus_sent(s, 7, probed_us));
	assert_true(report(other, 7, 0, SUS_PROBE, probed_us));
	assert_false(report(other, 7, 0, SUS_PROBE, probed_us + 50 * MS));
	assert_in_range(
	    (blocked_until(other, 7, probed_us) - probed_us) / S, 10, 20);
	sus_blocked_terminations(other, known);
	assert_int_equal(known->len, 3);
	for (i = 0; i < known->len; i++)
		sus_report(late,
		    &g_array_index(known, struct sus_termination, i),
		    probed_us + S);
	assert_in_range(
	    (blocked_until(late, 7, probed_us + S) - probed_us) / S, 10, 20);
	/* Its own report coming back does not undo that the probe is void. */
	sus_void_probe(s, 7, probed_us);
	assert_false(report(s, 7, 0, SUS_PROBE, probed_us + 50 * MS));
	assert_int_equal(judge(7, probed_us), SUS_SUSPECT);
	sus_free(other);
	sus_free(late);
	g_array_unref(known);
}

/* Guards against probes that count as evidence: a process of older software passes
 * them on as terminations, which then have no target. */
static void
test_termination_without_target_is_none(void **state)
{
	report(s, 7, 1, SUS_UNANSWERED, T0);
	assert_false(report(s, 7, 0, SUS_UNANSWERED, T0 + 5 * S));
	assert_int_equal(judge(7, T0 + 5 * S), SUS_SUSPECT);
}

/* Guards against blocking a request again by a report that was on its way when its
 * probe was answered. */
static void
test_report_beside_an_answered_probe(void **state)
{
	GArray *late =
	    g_array_new(FALSE, FALSE, sizeof(struct sus_termination));
	int64_t probed_us = T0 + 30 * S;
	guint i;

	report(s, 7, 1, SUS_UNANSWERED, T0);
	report(s, 7, 2, SUS_UNANSWERED, T0);
	report(s, 7, 0, SUS_PROBE, probed_us);
	sus_blocked_terminations(s, late);
	assert_true(report(s, 7, 0, SUS_CLEARED, probed_us + S));
	for (i = 0; i < late->len; i++)
		sus_report(s, &g_array_index(late, struct sus_termination, i),
		    probed_us + S + 10 * MS);
	assert_int_not_equal(judge(7, probed_us + 2 * S), SUS_BLOCKED);
	g_array_unref(late);
}

/* Guards against blocking an innocent request, which is sent as a poison part
 * explains its terminations, once that part is gone. */
static void
test_explained_request_is_no_probe(void **state)
{
	report_part("p", 3, T0);
	report(s, 7, 1, SUS_UNANSWERED, T0);
	report(s, 7, 2, SUS_UNANSWERED, T0 + S);
	assert_int_equal(judge(7, T0 + 30 * S), SUS_SUSPECT);
	assert_false(sus_sent(s, 7, T0 + 30 * S));
	sus_answered(s, part("p"), T0 + 31 * S);
	assert_int_equal(judge(7, T0 + 31 * S), SUS_SUSPECT);
}

#define GATEWAYS 5

static void
report_to_all(
    struct sus **gateways, uint64_t target, unsigned int weight, int64_t at_us)
{
	size_t i;

	for (i = 0; i < GATEWAYS; i++)
		report(gateways[i], 7, target, weight, at_us);
}

/* Opens gateways that have blocked identity 7. Returns the one that may probe it
 * first. */
static size_t
open_gateways(struct sus **gateways, uint64_t seed)
{
	size_t i, first = 0;

	for (i = 0; i < GATEWAYS; i++)
		gateways[i] = sus_new(seed + i);
	report_to_all(gateways, 1, SUS_UNANSWERED, T0);
	report_to_all(gateways, 2, SUS_UNANSWERED, T0);
	for (i = 1; i < GATEWAYS; i++) {
		if (blocked_until(gateways[i], 7, T0) <
		    blocked_until(gateways[first], 7, T0))
			first = i;
	}
	return first;
}

/* Time until the identity is answered, which callers send to each gateway all the
 * time: the first one to probe gets no answers, the others do. */
static int64_t
until_answered(uint64_t seed, bool runs)
{
	struct sus *gateways[GATEWAYS];
	size_t cut_off = open_gateways(gateways, seed), i;
	int64_t now_us, until_us;
	bool answered = false;

	for (now_us = T0; !answered && now_us < T0 + 1000 * S;
	     now_us += 10 * MS) {
		for (i = 0; i < GATEWAYS && !answered; i++) {
			if (sus_judge(gateways[i], 7, now_us, &until_us) ==
			    SUS_BLOCKED)
				continue;
			if (sus_sent(gateways[i], 7, now_us))
				report_to_all(gateways, 0, SUS_PROBE, now_us);
			if (i == cut_off && !runs)
				sus_void_probe(gateways[i], 7, now_us);
			answered = i != cut_off;
		}
	}
	for (i = 0; i < GATEWAYS; i++)
		sus_free(gateways[i]);
	return now_us - T0;
}

/* Guards against a gateway whose probes all fail, and which is always the first to
 * send one: the others could clear the identity. */
static void
test_failing_gateway_probes_in_turn(void **state)
{
	uint64_t seed;

	for (seed = 1; seed < 50; seed++)
		assert_true(until_answered(seed * GATEWAYS, true) < 100 * S);
}

/* Guards against a gateway that reaches no target, whose probes do not run: it must
 * not block the identity at the others again and again. */
static void
test_void_probes_block_once(void **state)
{
	uint64_t seed;

	for (seed = 1; seed < 50; seed++)
		assert_true(until_answered(seed * GATEWAYS, false) < 100 * S);
}

/* Guards against all gateways probing a request at the same time. */
static void
test_gateways_probe_at_different_times(void **state)
{
	int64_t first_us = INT64_MAX, last_us = 0, until_us;
	struct sus *other;
	uint64_t seed;

	for (seed = 10; seed < 45; seed++) {
		other = sus_new(seed);
		report(other, 7, 1, SUS_UNANSWERED, T0);
		report(other, 7, 2, SUS_UNANSWERED, T0);
		until_us = blocked_until(other, 7, T0);
		first_us = MIN(first_us, until_us);
		last_us = MAX(last_us, until_us);
		sus_free(other);
	}
	assert_true(last_us - first_us > 7 * S);
}

/* Guards against blocked requests being evicted by many other suspects. */
static void
test_blocked_requests_are_not_evicted(void **state)
{
	uint64_t fingerprint;

	report(s, 7, 1, SUS_UNANSWERED, T0);
	report(s, 7, 2, SUS_UNANSWERED, T0);
	for (fingerprint = 100; fingerprint < 5000; fingerprint++)
		report(s, fingerprint, 3, SUS_UNANSWERED, T0 + S);
	assert_int_equal(judge(7, T0 + 2 * S), SUS_BLOCKED);
	assert_int_equal(sus_count_blocked(s, FPR_CONTENT), 1);
	sus_blocked_terminations(s, confirmed);
	assert_int_equal(confirmed->len, 2);
	assert_int_equal(judge(100, T0 + 2 * S), SUS_NONE); /* evicted */
	sus_sweep(s, T0 + 90 * S, NULL);
	assert_true(sus_is_empty(s));
}

/* Guards against a restarted gateway sending what the others have blocked. */
static void
test_published_terminations_block_elsewhere(void **state)
{
	struct sus *other = sus_new(2);
	const struct sus_termination *termination;
	guint i;

	report(s, 7, 1, SUS_UNANSWERED, T0);
	report(s, 7, 2, SUS_UNANSWERED, T0 + S);
	report(s, 7, 3, SUS_UNANSWERED, T0 + 2 * S);
	report(s, 8, 3, SUS_UNANSWERED,
	    T0 + 2 * S); /* a single one is not published */
	sus_blocked_terminations(s, confirmed);
	assert_int_equal(confirmed->len, 3);
	for (i = 0; i < confirmed->len; i++) {
		termination =
		    &g_array_index(confirmed, struct sus_termination, i);
		assert_int_equal(
		    sus_report(other, termination, T0 + 3 * S), SUS_NEW);
	}
	assert_true(blocked_until(other, 7, T0 + 200 * S) > T0 + 300 * S);
	sus_free(other);
}

/* ------------------------------------------------------------------ */
/* Parts of prompts                                                    */
/* ------------------------------------------------------------------ */

/* Guards against blocking a part as soon as a request: many more callers share
 * it. */
static void
test_part_needs_three_terminations(void **state)
{
	report_part("p", 2, T0);
	assert_int_equal(judge(part("p"), T0 + S), SUS_SUSPECT);
	report_part("p", 3, T0);
	assert_int_equal(judge(part("p"), T0 + 2 * S), SUS_BLOCKED);
	assert_int_equal(judge(part("q"), T0 + 2 * S), SUS_NONE);
}

/* Guards against blocking a part in wide use when many targets terminate at
 * once by no request's fault. */
static void
test_part_in_use_is_not_suspected(void **state)
{
	uint64_t target;

	sus_answered(s, part("p"), T0);
	for (target = 1; target <= 8; target++) {
		cut(part("p"), target, SUS_UNANSWERED, T0 + 2 * S);
		sus_target_terminated(s, target, T0 + 2 * S, confirmed);
	}
	assert_int_equal(confirmed->len, 0);
	assert_int_equal(judge(part("p"), T0 + 2 * S), SUS_NONE);
	assert_true(sus_is_empty(s));
}

/* Guards against trusting a part for long that was sound and is no more. */
static void
test_part_that_turns_bad_is_blocked(void **state)
{
	sus_answered(s, part("p"), T0);
	report_part("p", 6, T0 + S); /* the first three do not count */
	assert_int_equal(judge(part("p"), T0 + 6 * S), SUS_BLOCKED);
}

/* Guards against blocking a part for the loss of power of many targets: these
 * have one cause, and a part may be in flight at all of them. */
static void
test_terminations_at_once_count_once(void **state)
{
	struct sus_termination termination =
	    termination_of(part("p"), 0, SUS_UNANSWERED, T0);
	int i;

	termination.in_flight_us = 200 * MS;
	for (i = 0; i < 20; i++) {
		termination.target = (uint64_t)i + 1;
		termination.at_us = T0 + i / 10 * 5 * S + i % 10 * MS;
		sus_report(s, &termination, termination.at_us);
	}
	assert_int_equal(judge(part("p"), T0 + 6 * S), SUS_SUSPECT);
	/* A third time is no coincidence. */
	report(s, part("p"), 30, SUS_UNANSWERED, T0 + 6 * S);
	assert_int_equal(judge(part("p"), T0 + 6 * S), SUS_BLOCKED);
}

/* Guards against missing a part that terminates its targets within milliseconds:
 * it was sent to each after the one before had terminated. */
static void
test_terminations_in_a_row_count_each(void **state)
{
	struct sus_termination termination =
	    termination_of(part("p"), 0, SUS_UNANSWERED, T0);
	int i;

	termination.in_flight_us = 8 * MS;
	for (i = 0; i < 3; i++) {
		termination.target = (uint64_t)i + 1;
		termination.at_us = T0 + i * 10 * MS;
		sus_report(s, &termination, termination.at_us);
	}
	assert_int_equal(judge(part("p"), T0 + 100 * MS), SUS_BLOCKED);
}

/* Guards against parts without an answer that speaks for them, where all answers
 * end with their connections. */
static void
test_closed_answer_counts_if_target_lives(void **state)
{
	report_part("p", 3, T0);
	sus_closed(s, part("p"), 40, T0 + 3 * S);
	sus_sweep(s, T0 + 3 * S + 500 * MS, confirmed);
	assert_int_equal(judge(part("p"), T0 + 4 * S), SUS_BLOCKED);
	sus_sweep(s, T0 + 5 * S, confirmed);
	assert_int_equal(confirmed->len, 1);
	assert_int_equal(judge(part("p"), T0 + 5 * S), SUS_NONE);
	/* It speaks for the part from its end on, not from the sweep. */
	report_part("p", 1, T0 + 5 * S);
	assert_int_equal(judge(part("p"), T0 + 5 * S), SUS_NONE);
	report_part("p", 1, T0 + 7 * S);
	assert_int_equal(judge(part("p"), T0 + 7 * S), SUS_SUSPECT);
}

/* Guards against taking the end of a target for that of its answer. */
static void
test_closed_answer_of_terminated_target_is_none(void **state)
{
	report_part("p", 3, T0);
	sus_closed(s, part("p"), 40, T0 + 3 * S);
	sus_target_terminated(s, 40, T0 + 3 * S + 100 * MS, confirmed);
	sus_sweep(s, T0 + 5 * S, confirmed);
	assert_int_equal(confirmed->len, 0);
	assert_int_equal(judge(part("p"), T0 + 5 * S), SUS_BLOCKED);
}

/* Guards against clearing a part by an answer from before the terminations. */
static void
test_old_answer_does_not_clear(void **state)
{
	report_part("p", 3, T0);
	report(s, part("p"), 0, SUS_CLEARED, T0 - 4 * S);
	assert_int_equal(judge(part("p"), T0 + 2 * S), SUS_BLOCKED);
}

/* Guards against a part that some processes know to be sound and others block:
 * the former refute the report, and the refutation clears it everywhere. */
static void
test_report_is_refuted(void **state)
{
	struct sus_termination termination =
	    termination_of(part("p"), 1, SUS_UNANSWERED, T0 + S);
	struct sus *other = sus_new(2);
	struct sus_termination refutation;

	report_part("p", 3, T0);
	sus_answered(other, part("p"), T0 + 2 * S);
	assert_int_equal(
	    sus_report(other, &termination, T0 + 3 * S), SUS_REFUTED);
	/* Reports that arrive together are refuted once. */
	assert_int_equal(
	    sus_report(other, &termination, T0 + 3 * S), SUS_KNOWN);
	assert_int_equal(
	    sus_report(other, &termination, T0 + 4 * S), SUS_REFUTED);
	refutation = sus_refutation(other, part("p"));
	assert_int_equal(sus_report(s, &refutation, T0 + 4 * S), SUS_NEW);
	assert_int_equal(judge(part("p"), T0 + 4 * S), SUS_NONE);
	/* A repeated report of a process that does not know yet. */
	report_part("p", 3, T0);
	assert_int_equal(judge(part("p"), T0 + 4 * S), SUS_NONE);
	sus_free(other);
}

/* Guards against blocking what was in flight beside a poison part: a termination
 * has one cause. */
static void
test_blocked_part_explains_terminations(void **state)
{
	report_part("p", 3, T0);
	report(s, 7, 1, SUS_UNANSWERED, T0);
	report(s, 7, 2, SUS_UNANSWERED, T0 + S);
	assert_int_equal(judge(7, T0 + 2 * S), SUS_SUSPECT);
	/* The part explains only the first of these. */
	report(s, 8, 2, SUS_UNANSWERED, T0 + S);
	report(s, 8, 8, SUS_UNANSWERED, T0 + 2 * S);
	assert_int_equal(judge(8, T0 + 2 * S), SUS_SUSPECT);
	report(s, 8, 9, SUS_UNANSWERED, T0 + 2 * S);
	assert_int_equal(judge(8, T0 + 2 * S), SUS_BLOCKED);
	/* If the part is not at fault, it explains nothing. */
	report(s, 9, 1, SUS_UNANSWERED, T0);
	report(s, 9, 3, SUS_UNANSWERED, T0 + 2 * S);
	assert_int_equal(judge(9, T0 + 2 * S), SUS_SUSPECT);
	sus_answered(s, part("p"), T0 + 3 * S);
	assert_int_equal(judge(9, T0 + 3 * S), SUS_BLOCKED);
}

/* Guards against releasing a poison request because a poison part, or what is
 * taken for one, was in flight at the same targets. */
static void
test_certain_suspect_is_not_explained(void **state)
{
	uint64_t target;

	report_part("p", 4, T0);
	report_part("q", 6, T0);
	for (target = 1; target <= 2; target++)
		report(s, 7, target, SUS_UNANSWERED, T0);
	assert_int_equal(judge(7, T0 + 5 * S), SUS_SUSPECT);
	/* Before it is known that the third target terminated, and after. */
	cut(7, 3, SUS_UNANSWERED, T0 + 2 * S);
	assert_int_equal(judge(7, T0 + 2 * S), SUS_BLOCKED);
	sus_target_terminated(s, 3, T0 + 2 * S, confirmed);
	assert_int_equal(judge(7, T0 + 5 * S), SUS_BLOCKED);
	assert_int_equal(judge(part("p"), T0 + 5 * S), SUS_SUSPECT);
	report_part("p", 5, T0);
	assert_int_equal(judge(part("p"), T0 + 5 * S), SUS_BLOCKED);
}

/* Two parts that come together only: either may be at fault. */
static void
test_equal_evidence_explains_nothing(void **state)
{
	report_part("p", 3, T0);
	report_part("q", 3, T0);
	assert_int_equal(judge(part("p"), T0 + 2 * S), SUS_BLOCKED);
	assert_int_equal(judge(part("q"), T0 + 2 * S), SUS_BLOCKED);
	sus_answered(s, part("q"), T0 + 3 * S);
	assert_int_equal(judge(part("p"), T0 + 3 * S), SUS_BLOCKED);
	assert_int_equal(judge(part("q"), T0 + 3 * S), SUS_NONE);
}

/* Guards against a caller who evicts the evidence by requests of many parts. */
static void
test_flood_does_not_evict_evidence(void **state)
{
	char id[16];
	unsigned int i;

	report_part("p", 2, T0);
	for (i = 0; i < 5000; i++) {
		g_snprintf(id, sizeof(id), "%x", i);
		report(s, part(id), 9, SUS_UNANSWERED, T0 + 3 * S);
	}
	report(s, part("p"), 3, SUS_UNANSWERED, T0 + 4 * S);
	assert_int_equal(judge(part("p"), T0 + 4 * S), SUS_BLOCKED);
}

int
main(void)
{
#define TEST(f) cmocka_unit_test_setup_teardown(f, set_up, tear_down)
	const struct CMUnitTest tests[] = {
		TEST(test_blocked_after_two_terminations_without_answer),
		TEST(test_cut_off_by_running_target_is_refuted),
		TEST(test_termination_known_before_the_cut_off),
		TEST(test_innocent_requests_are_not_blocked),
		TEST(test_blocked_after_four_terminations_midway),
		TEST(test_reports_of_one_termination_count_once),
		TEST(test_complete_answer_clears),
		TEST(test_each_termination_blocks_for_longer),
		TEST(test_probe_without_an_answer),
		TEST(test_probe_blocks_elsewhere),
		TEST(test_termination_without_target_is_none),
		TEST(test_report_beside_an_answered_probe),
		TEST(test_explained_request_is_no_probe),
		TEST(test_failing_gateway_probes_in_turn),
		TEST(test_void_probes_block_once),
		TEST(test_gateways_probe_at_different_times),
		TEST(test_blocked_requests_are_not_evicted),
		TEST(test_published_terminations_block_elsewhere),
		TEST(test_part_needs_three_terminations),
		TEST(test_part_in_use_is_not_suspected),
		TEST(test_part_that_turns_bad_is_blocked),
		TEST(test_terminations_at_once_count_once),
		TEST(test_terminations_in_a_row_count_each),
		TEST(test_closed_answer_counts_if_target_lives),
		TEST(test_closed_answer_of_terminated_target_is_none),
		TEST(test_old_answer_does_not_clear),
		TEST(test_report_is_refuted),
		TEST(test_blocked_part_explains_terminations),
		TEST(test_certain_suspect_is_not_explained),
		TEST(test_equal_evidence_explains_nothing),
		TEST(test_flood_does_not_evict_evidence),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
