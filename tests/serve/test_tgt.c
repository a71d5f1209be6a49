/* Local state of the targets, and the selection of one. */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "serve/tgt.h"

#define SECOND 1000000

static struct tgt_set *set;

static int
set_up(void **state)
{
	static const struct tgt_policy policy = {
		.beyond_slots = 1, .remote_cost = 2, .gateways = 3
	};

	set = tgt_set_new("here", &policy);
	tgt_set_domain(set, "near", "here");
	tgt_set_domain(set, "far", "there");
	return 0;
}

static int
tear_down(void **state)
{
	tgt_set_free(set);
	return 0;
}

static struct tgt *
put(const char *id, const char *address, const char *domain)
{
	struct sv_target record = { .slots = 4 };

	g_strlcpy(record.id, id, sizeof(record.id));
	g_strlcpy(record.service, "s", sizeof(record.service));
	g_strlcpy(record.address, address, sizeof(record.address));
	g_strlcpy(record.domain, domain, sizeof(record.domain));
	return tgt_put(set, &record, 0);
}

static struct tgt *
choose(int64_t now_us, bool repeatable, enum tgt_reason *why)
{
	struct tgt_criteria criteria = { .repeatable = repeatable };

	return tgt_choose(set, tgt_service(set, "s"), &criteria, now_us, why);
}

/* The other gateways' requests are known from the last report; those that
 * this gateway has sent, or that have ended, since then are added. */
static void
test_estimate(void **state)
{
	struct tgt *t = put("a", "1.1.1.1:1", "near");
	struct tgt_policy *p = tgt_set_policy(set);
	enum tgt_reason why;

	tgt_sent(t, 0);
	/* As much from each of three gateways. */
	assert_true(tgt_estimate(t, p, 0) == 3);
	p->gateways = 1; /* a single gateway: no slot is drawn for */
	tgt_set_load(t, 3, SECOND);
	assert_true(tgt_estimate(t, p, SECOND) == 3);
	tgt_sent(t, SECOND);
	assert_true(tgt_estimate(t, p, SECOND) == 4);
	tgt_set_load(t, 4, SECOND);
	assert_ptr_equal(choose(SECOND, true, &why), t);
	tgt_sent(t, SECOND);
	assert_null(choose(SECOND, true, &why));
	assert_int_equal(why, TGT_FULL);
	tgt_ended(t, SECOND);
	tgt_ended(t, SECOND);
	tgt_ended(t, SECOND);
	assert_true(tgt_estimate(t, p, SECOND) == 2);
}

/* Number of requests that three gateways send to a target over `reports`
 * load reports, each with `taken` slots in use; `most` is the largest number
 * after one report. */
static unsigned int
sent_by_three_gateways(
    struct tgt *t, unsigned int reports, unsigned int taken, unsigned int *most)
{
	struct tgt_policy *p = tgt_set_policy(set);
	unsigned int report, sum = 0, sent;
	int64_t now_us = SECOND;
	enum tgt_reason why;

	*most = 0;
	for (report = 0; report < reports; report++, now_us += 25000) {
		sent = 0;
		for (p->seed = 1; p->seed <= 3; p->seed++) {
			t->side_report_us = now_us;
			tgt_set_load(t, taken, now_us);
			while (choose(now_us, true, &why) != NULL) {
				tgt_sent(t, now_us);
				sent++;
			}
			assert_int_equal(why, TGT_FULL);
			while (t->local_inflight > 0)
				tgt_ended(t, now_us);
		}
		sum += sent;
		*most = MAX(*most, sent);
	}
	return sum;
}

/*
 * An engine comes up without load, and all gateways see its slots at the same
 * moment: together they must not send more than it can take before its next
 * report.
 */
static void
test_free_slots_are_shared(void **state)
{
	struct tgt *t = put("a", "1.1.1.1:1", "near");
	unsigned int most, sum = sent_by_three_gateways(t, 300, 0, &most);

	assert_in_range(sum, 300 * 9 / 2, 300 * 11 / 2); /* five slots */
	assert_in_range(most, 5, 6);
}

/*
 * All engines are full, and one slot becomes free. Every gateway has waiting
 * callers: if each sent one request, they would queue behind the slot, and
 * their first tokens would come after a second.
 */
static void
test_single_slot_is_drawn_for(void **state)
{
	struct tgt *t = put("a", "1.1.1.1:1", "near");
	unsigned int most, sum = sent_by_three_gateways(t, 300, 4, &most);

	/* One per report; three without a draw. */
	assert_in_range(sum, 240, 360);
}

static void
test_local_target_first(void **state)
{
	struct tgt *local = put("n", "1.1.1.1:1", "near");
	struct tgt *remote = put("f", "1.1.1.2:1", "far");
	enum tgt_reason why;

	tgt_set_load(local, 1, SECOND);
	tgt_set_load(remote, 0, SECOND);
	assert_ptr_equal(choose(SECOND, true, &why), local);
	tgt_set_load(local, 4, SECOND);
	assert_ptr_equal(choose(SECOND, true, &why), remote);
}

/*
 * A target stops answering. It gets no requests during its backoff, then one
 * request probes whether it has recovered; until that has ended it gets no
 * other.
 */
static void
test_backoff_and_probe(void **state)
{
	struct tgt *t = put("a", "1.1.1.1:1", "near");
	enum tgt_reason why;
	int64_t later;

	tgt_outcome(t, TGT_LOST, SECOND);
	assert_null(choose(SECOND, true, &why));
	assert_int_equal(why, TGT_NONE);
	later = t->backoff_until_us;
	/* At first only repeatable requests. */
	assert_null(choose(later, false, &why));
	assert_ptr_equal(choose(later, true, &why), t);
	tgt_sent(t, later);
	assert_null(choose(later, true, &why));
	tgt_outcome(t, TGT_TIMEOUT, later);
	tgt_ended(t, later);
	assert_true(t->backoff_until_us - later > later - SECOND);
	later = t->backoff_until_us;
	tgt_sent(t, later);
	tgt_outcome(t, TGT_ANSWERED, later);
	tgt_ended(t, later);
	assert_ptr_equal(choose(later, false, &why), t);
}

/* Many requests that fail at the same moment count as one failure. */
static void
test_concurrent_failures(void **state)
{
	struct tgt *t = put("a", "1.1.1.1:1", "near");
	int i;

	for (i = 0; i < 16; i++)
		tgt_outcome(t, TGT_LOST, SECOND);
	assert_int_equal(t->failures, 1);
}

/* A target with more failures than others gets fewer requests. */
static void
test_failing_target(void **state)
{
	struct tgt *bad = put("a", "1.1.1.1:1", "near");
	struct tgt *good = put("b", "1.1.1.2:1", "near");
	enum tgt_reason why;
	int i;

	for (i = 0; i < 20; i++) {
		tgt_outcome(bad, TGT_ERROR, SECOND);
		tgt_outcome(good, TGT_ANSWERED, SECOND);
	}
	tgt_set_load(bad, 0, SECOND);
	tgt_set_load(good, 2, SECOND);
	assert_ptr_equal(choose(SECOND, true, &why), good);
}

/*
 * Guards against counting the cuts of a planned load as failures: an engine
 * that switches version cuts its streams, which its sidecar announced, and
 * would then get fewer requests than the others for many answers.
 */
static void
test_cut_by_a_planned_load(void **state)
{
	struct tgt *t = put("a", "1.1.1.1:1", "near");
	int i;

	tgt_set_side_down(t, true, SECOND);
	for (i = 0; i < 10; i++)
		tgt_outcome(t, TGT_ERROR, SECOND);
	assert_int_equal(t->answers, 0);
	tgt_set_side_down(t, false, 2 * SECOND);
	tgt_outcome(t, TGT_ERROR, 2 * SECOND);
	assert_int_equal(t->answers, 1);
}

/*
 * Records expire during a store outage, although the targets are up and publish
 * them again within two seconds of its end. They are retained until then; not
 * those that an event removed, nor those that were leaving.
 */
static void
test_expired_targets(void **state)
{
	enum tgt_reason why;

	put("a", "1.1.1.1:1", "near");
	put("b", "1.1.1.2:1", "near");
	tgt_removed(set, "b", false, SECOND);
	assert_null(tgt_find(set, "b"));
	tgt_removed(set, "a", true, SECOND);
	tgt_sweep(set, SECOND + 1000000);
	assert_non_null(choose(2 * SECOND, true, &why));
	put("a", "1.1.1.1:1", "near");
	tgt_sweep(set, 9 * SECOND);
	assert_non_null(tgt_find(set, "a"));
	tgt_removed(set, "a", true, 9 * SECOND);
	tgt_sweep(set, 11 * SECOND);
	assert_null(tgt_find(set, "a"));
}

/* An address is taken over by another target: the previous one is dropped,
 * also for requests that still refer to it. */
static void
test_address_reused(void **state)
{
	struct tgt *previous = tgt_ref(put("a", "1.1.1.1:1", "near"));
	struct tgt *now = put("b", "1.1.1.1:1", "near");

	assert_null(tgt_find(set, "a"));
	assert_ptr_equal(tgt_by_address(set, "1.1.1.1:1"), now);
	assert_true(previous->dropped);
	tgt_unref(previous);
}

/* Guards against requests to an engine that holds a part of the layers. */
static void
test_part_of_the_layers_is_no_version(void **state)
{
	struct sv_target record = { .id = "a",
		.service = "s",
		.address = "1.1.1.1:1",
		.domain = "near",
		.slots = 4,
		.has_models = true,
		.model = "m",
		.model_version = 3,
		.layers = { 0, 8 } };
	struct tgt *t = tgt_put(set, &record, 0);

	assert_int_equal(t->version, 3); /* their number is not known */
	t->service->engine.layers = 16;
	assert_int_equal(tgt_put(set, &record, 0)->version, 0);
	record.layers = (struct sv_layers){ 0, 16 };
	assert_int_equal(tgt_put(set, &record, 0)->version, 3);
	record.layers = (struct sv_layers){ 8, 16 };
	assert_int_equal(tgt_put(set, &record, 0)->version, 0);
}

/* Publishes the record of target "a", with its start time. */
static struct tgt *
put_started(int64_t start_ms, int64_t version, int64_t now_us)
{
	struct sv_target record = { .slots = 4,
		.has_models = true,
		.start_ms = start_ms,
		.model_version = version };

	g_strlcpy(record.id, "a", sizeof(record.id));
	g_strlcpy(record.service, "s", sizeof(record.service));
	g_strlcpy(record.address, "1.1.1.1:1", sizeof(record.address));
	g_strlcpy(record.domain, "near", sizeof(record.domain));
	g_strlcpy(record.model, "m", sizeof(record.model));
	return tgt_put(set, &record, now_us);
}

/*
 * Guards against taking an engine that crashed and restarted quickly under its
 * id for the previous one: it would be in backoff for that one's failures,
 * count as full with that one's requests, and get requests for weights that it
 * no longer has.
 */
static void
test_restarted_target_is_a_new_one(void **state)
{
	struct tgt *previous = tgt_ref(put_started(1000, 3, 0));
	struct tgt *now;

	tgt_sent(previous, 0);
	tgt_set_load(previous, 4, 0);
	tgt_outcome(previous, TGT_LOST, 0);
	assert_ptr_equal(put_started(1000, 3, 1), previous);
	now = put_started(2000, 0, 2);
	assert_ptr_not_equal(now, previous);
	assert_true(previous->dropped);
	assert_int_equal(now->failures, 0);
	assert_int_equal(now->local_inflight, 0);
	assert_int_equal(now->version, 0);
	assert_int_equal(now->service->ntargets, 1);
	assert_ptr_equal(tgt_by_address(set, "1.1.1.1:1"), now);
	/* The request that was sent to the previous start. */
	tgt_ended(previous, 3);
	tgt_unref(previous);
}

/*
 * The sidecar reports the new start before the store's record changes; a record
 * that the previous start wrote late must not restore that one. If the sidecar
 * is not responding the record decides, also after a clock was set back.
 */
static void
test_source_of_a_new_start(void **state)
{
	struct tgt *t = put_started(1000, 3, 0);
	struct tgt *restarted;

	assert_ptr_equal(tgt_side_started(set, t, 1000), t);
	assert_ptr_equal(tgt_side_started(set, t, 0), t);
	tgt_ref(t);
	restarted = tgt_side_started(set, t, 2000);
	assert_ptr_not_equal(restarted, t);
	tgt_unref(t);
	restarted->side_report_us = SECOND;
	assert_ptr_equal(put_started(1000, 3, SECOND), restarted);
	assert_ptr_equal(tgt_side_started(set, restarted, 2000), restarted);
	tgt_ref(restarted);
	assert_ptr_not_equal(put_started(1500, 3, 9 * SECOND), restarted);
	tgt_unref(restarted);
}

/* Guards against requests to an engine that loaded corrupt chunks, as its record
 * names the version and its sidecar has stopped reporting. */
static void
test_record_proves_no_weights(void **state)
{
	struct tgt *t = put_started(1000, 0, 0);

	t->uncertain = true;
	assert_ptr_equal(put_started(1000, 3, 9 * SECOND), t);
	assert_int_equal(t->version, 0);
	t->uncertain = false;
	assert_ptr_equal(put_started(1000, 3, 9 * SECOND), t);
	assert_int_equal(t->version, 3);
}

/* Guards against the same where the record expired while the engine stood still,
 * and is published again. */
static void
test_new_record_waits_for_its_sidecar(void **state)
{
	struct tgt_criteria criteria = { .model = "m" };
	struct tgt *t = put_started(1000, 3, SECOND);
	enum tgt_reason why;

	assert_ptr_equal(
	    tgt_choose(set, t->service, &criteria, SECOND, &why), t);
	t->service->engine.chunks = 64; /* sidecars load the weights */
	assert_null(tgt_choose(set, t->service, &criteria, 2 * SECOND, &why));
	tgt_side_reported(t, 1, 2 * SECOND);
	assert_ptr_equal(
	    tgt_choose(set, t->service, &criteria, 2 * SECOND, &why), t);
	t->side_report_us = 0;
	assert_ptr_equal(
	    tgt_choose(set, t->service, &criteria, 3 * SECOND, &why), t);
}

/* Guards against requests to an engine that loads, as an older report of its
 * sidecar came after the newer one. */
static void
test_outdated_reports(void **state)
{
	struct tgt *t = put("a", "1.1.1.1:1", "near");

	assert_false(tgt_side_is_outdated(t, 7, SECOND));
	tgt_side_reported(t, 7, SECOND);
	assert_true(tgt_side_is_outdated(t, 6, SECOND + 1000));
	assert_true(tgt_side_is_outdated(t, 7, SECOND + 1000));
	assert_false(tgt_side_is_outdated(t, 8, SECOND + 1000));
	/* The sidecar has started again. */
	assert_false(tgt_side_is_outdated(t, 1, 2 * SECOND));
	/* What gateways relay is no report of the state. */
	t->side_seq = 9;
	assert_false(tgt_side_is_outdated(t, 8, SECOND + 1000));
}

/* Guards against requests to an engine that loaded corrupt chunks: its sidecar has
 * started again and does not know yet that an order was in doubt. */
static void
test_starting_sidecar_settles_no_doubt(void **state)
{
	struct tgt *t = put_started(1000, 1, 0);
	struct side_report r = { .version = 1, .uncertain = 1 };

	tgt_side_version(t, &r);
	assert_true(t->uncertain);
	r = (struct side_report){ .version = 2, .starting = 1 };
	tgt_side_version(t, &r);
	assert_true(t->uncertain);
	assert_int_equal(t->version, 1);
	r.starting = 0;
	tgt_side_version(t, &r);
	assert_false(t->uncertain);
	assert_int_equal(t->version, 2);
	r = (struct side_report){ .version = 3, .starting = 1 };
	tgt_side_version(t, &r);
	assert_int_equal(t->version, 3);
}

/* Guards against the same where the record expires while the engine stands still
 * and its sidecar has ended: the doubt must outlast the record. */
static void
test_doubt_outlasts_the_record(void **state)
{
	struct side_report r = { .version = 1, .uncertain = 1 };
	struct tgt *t = put_started(1000, 1, 0);

	g_strlcpy(
	    t->service->engine.model, "m", sizeof(t->service->engine.model));
	tgt_side_reported(t, 1, 0);
	tgt_side_version(t, &r);
	assert_true(t->uncertain);
	assert_null(tgt_removed(set, "a", false, 4 * SECOND));
	t = put_started(1000, 2, 5 * SECOND);
	assert_true(t->uncertain);
	assert_int_equal(t->version, 1);
	assert_string_equal(t->model, "m");
}

/* Guards against an engine that stays out of service: a request to the target
 * as it was listed before must not renew a doubt that is settled since. */
static void
test_settled_doubt_is_not_renewed(void **state)
{
	struct side_report r = { .version = 1, .uncertain = 1 };
	struct tgt *previous = tgt_ref(put_started(1000, 1, 0)), *t;

	tgt_side_reported(previous, 1, 0);
	tgt_side_version(previous, &r);
	assert_null(tgt_removed(set, "a", false, SECOND));
	/* It stays kept beside what an answer announces. */
	assert_true(tgt_asked_retry_after(set, previous, 2 * SECOND, SECOND));
	t = put_started(1000, 2, 2 * SECOND);
	assert_true(t->uncertain);
	r = (struct side_report){ .version = 2 };
	tgt_side_version(t, &r);
	assert_true(tgt_announced_leaving(set, previous, 3 * SECOND));
	assert_true(t->leaving);
	assert_false(t->uncertain);
	assert_int_equal(t->version, 2);
	tgt_unref(previous);
}

/* Guards against an engine that stays out of service after its restart: its order
 * is lost with it, and the doubt with the order. */
static void
test_doubt_ends_with_the_engine(void **state)
{
	struct side_report r = { .version = 1, .uncertain = 1 };
	struct tgt *t = put_started(1000, 1, 0);

	tgt_side_reported(t, 1, 0);
	tgt_side_version(t, &r);
	assert_null(tgt_removed(set, "a", false, 4 * SECOND));
	t = put_started(2000, 0, 5 * SECOND);
	assert_false(t->uncertain);
}

/* A record of an unknown service has the address of a valid target. */
static void
test_unknown_service_takes_no_address(void **state)
{
	struct sv_service known = { .name = (char *)"s" };
	struct sv_config config = { .services = &known, .nservices = 1 };
	struct sv_target record = { .id = "x",
		.service = "unknown",
		.address = "1.1.1.1:1",
		.slots = 1 };
	struct tgt *t;

	tgt_configure(set, &config);
	t = put("a", "1.1.1.1:1", "near");
	tgt_put(set, &record, 0);
	assert_ptr_equal(tgt_find(set, "a"), t);
	assert_ptr_equal(tgt_by_address(set, "1.1.1.1:1"), t);
}

static void
test_only_loaded_versions(void **state)
{
	struct tgt *t = put("a", "1.1.1.1:1", "near");
	struct tgt_criteria criteria = { .model = "m", .version = 2 };
	enum tgt_reason why;

	t->record.has_models = true;
	assert_null(tgt_choose(set, tgt_service(set, "s"), &criteria, 0, &why));
	g_strlcpy(t->model, "m", sizeof(t->model));
	t->version = 1;
	assert_null(tgt_choose(set, tgt_service(set, "s"), &criteria, 0, &why));
	t->version = 2;
	assert_ptr_equal(
	    tgt_choose(set, tgt_service(set, "s"), &criteria, 0, &why), t);
	/* It has just come up with a version close to its deadline: all
	 * gateways send to it at once, and the last request would begin too
	 * late. */
	tgt_set_side_down(t, true, 0);
	tgt_set_side_down(t, false, SECOND);
	criteria.version_fresh = 3;
	assert_null(tgt_choose(
	    set, tgt_service(set, "s"), &criteria, SECOND + 1, &why));
	assert_ptr_equal(tgt_choose(set, tgt_service(set, "s"), &criteria,
			     SECOND + TGT_FRESH_US, &why),
	    t);
	t->side_down = true;
	assert_null(tgt_choose(set, tgt_service(set, "s"), &criteria, 0, &why));
}

/* Guards against sending requests to a silent target, which may be dead, while
 * another one can take them or will. */
static void
test_silent_target_is_avoided(void **state)
{
	struct tgt *silent = put("a", "1.1.1.1:1", "near");
	struct tgt *sound = put("b", "1.1.1.2:1", "near");
	enum tgt_reason why;

	tgt_silent(silent, SECOND / 2, SECOND);
	assert_ptr_equal(choose(SECOND, true, &why), sound);
	tgt_set_load(silent, 0, SECOND);
	tgt_set_load(sound, 100, SECOND);
	assert_null(choose(SECOND, true, &why));
	assert_int_equal(why, TGT_FULL);
}

/* Guards against an empty list of targets while all are silent for a common
 * cause, and against trusting them for longer than a second or so. */
static void
test_all_targets_are_silent(void **state)
{
	struct tgt *a = put("a", "1.1.1.1:1", "near");
	struct tgt *b = put("b", "1.1.1.2:1", "near");
	struct tgt_criteria criteria = { .repeatable = true,
		.not_silent = true };
	enum tgt_reason why;

	tgt_silent(a, SECOND / 2, SECOND);
	tgt_silent(b, SECOND / 2, SECOND);
	assert_non_null(choose(SECOND, true, &why));
	assert_int_equal(why, TGT_CHOSEN);
	/* Not for what could not be sent again if they were dead. */
	assert_null(choose(SECOND, false, &why));
	assert_int_equal(why, TGT_SILENT);
	/* Not in addition to a silent one. */
	assert_null(
	    tgt_choose(set, tgt_service(set, "s"), &criteria, SECOND, &why));
	assert_int_equal(why, TGT_NONE);
	/* From then on they count as failed: one probe each. */
	a->backoff_until_us = b->backoff_until_us = 9 * SECOND;
	assert_null(choose(SECOND / 2 + SV_SILENCE_MAX_US, true, &why));
	assert_int_equal(why, TGT_NONE);
}

/* Guards against a backoff that outlasts the silence. */
static void
test_target_is_heard_again(void **state)
{
	struct tgt *t = put("a", "1.1.1.1:1", "near");
	enum tgt_reason why;

	assert_int_equal(tgt_heard(t, 0), 0);
	tgt_silent(t, SECOND / 2, SECOND);
	assert_int_equal(t->failures, 1);
	assert_int_equal(tgt_heard(t, SECOND), SECOND / 2);
	assert_int_equal(t->failures, 0);
	assert_ptr_equal(choose(SECOND + 1, false, &why), t);
}

/* Guards against taking a target that cannot be reached for a silent one. */
static void
test_silent_target_is_unreachable(void **state)
{
	struct tgt *t = put("a", "1.1.1.1:1", "near");
	enum tgt_reason why;

	tgt_silent(t, SECOND / 2, SECOND);
	tgt_outcome(t, TGT_LOST, SECOND);
	assert_null(choose(SECOND, true, &why));
	assert_int_equal(tgt_heard(t, SECOND), 0);
	assert_int_equal(t->failures, 1);
}

/* The same by the word of sidecars, which ask before any request is late. */
static void
test_target_is_silent_to_its_sidecar(void **state)
{
	struct tgt *silent = put("a", "1.1.1.1:1", "near"), *sound;
	enum tgt_reason why;

	tgt_side_reported(silent, 1, SECOND);
	tgt_set_side_silent(silent, true, SECOND);
	assert_ptr_equal(choose(SECOND, true, &why), silent);
	sound = put("b", "1.1.1.2:1", "near");
	assert_ptr_equal(choose(SECOND, true, &why), sound);
	tgt_set_side_silent(silent, false, SECOND);
	tgt_set_load(sound, 2, SECOND);
	tgt_set_load(silent, 0, SECOND);
	assert_ptr_equal(choose(SECOND, true, &why), silent);
}

/* Guards against a target that is never probed again, as the caller of the last
 * probe left. */
static void
test_abandoned_probe(void **state)
{
	struct tgt *t = put("a", "1.1.1.1:1", "near");
	enum tgt_reason why;
	int64_t later;

	tgt_outcome(t, TGT_LOST, SECOND);
	later = t->backoff_until_us;
	assert_ptr_equal(choose(later, true, &why), t);
	tgt_sent(t, later);
	assert_null(choose(later, true, &why));
	tgt_probe_abandoned(t);
	tgt_ended(t, later);
	assert_ptr_equal(choose(later, true, &why), t);
}

/* Guards against a target that is never used again: the stale record of its
 * start before has the same address and is read after its own. */
static void
test_stale_record_of_an_address(void **state)
{
	struct tgt *restored;
	enum tgt_reason why;

	put("new", "1.1.1.1:1", "near");
	put("stale", "1.1.1.1:1", "near");
	assert_null(tgt_find(set, "new"));
	restored = tgt_removed(set, "stale", false, SECOND);
	assert_non_null(restored);
	assert_ptr_equal(restored, tgt_find(set, "new"));
	assert_ptr_equal(restored, tgt_by_address(set, "1.1.1.1:1"));
	assert_int_equal(tgt_service(set, "s")->ntargets, 1);
	assert_ptr_equal(choose(2 * SECOND, true, &why), restored);
	/* The same when the stale one is found missing. */
	put("stale", "1.1.1.1:1", "near");
	assert_null(tgt_removed(set, "stale", true, 3 * SECOND));
	tgt_sweep(set, 10 * SECOND);
	assert_non_null(tgt_find(set, "new"));
	assert_null(tgt_find(set, "stale"));
}

/* Guards against a target that was removed and comes back. */
static void
test_removed_record_is_not_restored(void **state)
{
	put("old", "1.1.1.1:1", "near");
	put("new", "1.1.1.1:1", "near");
	assert_null(tgt_removed(set, "old", false, SECOND));
	assert_null(tgt_removed(set, "new", false, 2 * SECOND));
	assert_int_equal(tgt_service(set, "s")->ntargets, 0);
	/* Nor one that has moved to another address meanwhile. */
	put("old", "1.1.1.1:1", "near");
	put("new", "1.1.1.1:1", "near");
	put("old", "1.1.1.1:2", "near");
	assert_null(tgt_removed(set, "new", false, 2 * SECOND));
	assert_null(tgt_by_address(set, "1.1.1.1:1"));
	assert_int_equal(tgt_service(set, "s")->ntargets, 1);
}

/* Guards against a record of another writer that claims a version: only what a
 * sidecar reports as loaded counts. */
static void
test_loaded_versions_are_reported(void **state)
{
	struct sv_target record = { .id = "claim",
		.service = "s",
		.address = "1.1.1.1:9",
		.domain = "near",
		.slots = 4,
		.has_models = true,
		.model_version = INT64_MAX / 2 };
	struct tgt *t = put("a", "1.1.1.1:1", "near");

	tgt_put(set, &record, SECOND);
	t->version = 3;
	assert_int_equal(tgt_newest_loaded(tgt_service(set, "s"), SECOND), 0);
	tgt_side_reported(t, 1, SECOND);
	assert_int_equal(tgt_newest_loaded(tgt_service(set, "s"), SECOND), 3);
	assert_int_equal(
	    tgt_newest_loaded(tgt_service(set, "s"), 60 * SECOND), 0);
}

int
main(void)
{
#define T(f) cmocka_unit_test_setup_teardown(f, set_up, tear_down)
	const struct CMUnitTest tests[] = {
		T(test_estimate),
		T(test_stale_record_of_an_address),
		T(test_removed_record_is_not_restored),
		T(test_free_slots_are_shared),
		T(test_single_slot_is_drawn_for),
		T(test_local_target_first),
		T(test_backoff_and_probe),
		T(test_concurrent_failures),
		T(test_failing_target),
		T(test_cut_by_a_planned_load),
		T(test_expired_targets),
		T(test_address_reused),
		T(test_part_of_the_layers_is_no_version),
		T(test_restarted_target_is_a_new_one),
		T(test_source_of_a_new_start),
		T(test_record_proves_no_weights),
		T(test_new_record_waits_for_its_sidecar),
		T(test_outdated_reports),
		T(test_starting_sidecar_settles_no_doubt),
		T(test_doubt_outlasts_the_record),
		T(test_settled_doubt_is_not_renewed),
		T(test_doubt_ends_with_the_engine),
		T(test_unknown_service_takes_no_address),
		T(test_only_loaded_versions),
		T(test_silent_target_is_avoided),
		T(test_all_targets_are_silent),
		T(test_target_is_heard_again),
		T(test_silent_target_is_unreachable),
		T(test_target_is_silent_to_its_sidecar),
		T(test_abandoned_probe),
		T(test_loaded_versions_are_reported),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
