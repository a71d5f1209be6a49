/* Beliefs about targets, and the choice of one. */

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
	struct sv_target says = { .slots = 4 };

	g_strlcpy(says.id, id, sizeof(says.id));
	g_strlcpy(says.service, "s", sizeof(says.service));
	g_strlcpy(says.address, address, sizeof(says.address));
	g_strlcpy(says.domain, domain, sizeof(says.domain));
	return tgt_put(set, &says, 0);
}

static struct tgt *
choose(int64_t now_us, bool repeatable, enum tgt_reason *why)
{
	struct tgt_criteria wish = { .repeatable = repeatable };

	return tgt_choose(set, tgt_service(set, "s"), &wish, now_us, why);
}

/* What the others have is known from the last word; what this gateway has
 * sent or got back since is added. */
static void
test_estimate(void **state)
{
	struct tgt *t = put("a", "1.1.1.1:1", "near");
	struct tgt_policy *p = tgt_set_policy(set);
	enum tgt_reason why;

	tgt_sent(t, 0);
	assert_true(tgt_estimate(t, p, 0) == 3); /* three gateways alike */
	p->gateways = 1; /* all places are this one's, none is drawn for */
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

/* What three gateways send to a target in all, of `words` words about its
 * load that each shows `taken` places taken; the most after one word. */
static unsigned int
sent_by_three(
    struct tgt *t, unsigned int words, unsigned int taken, unsigned int *most)
{
	struct tgt_policy *p = tgt_set_policy(set);
	unsigned int word, sum = 0, sent;
	int64_t now_us = SECOND;
	enum tgt_reason why;

	*most = 0;
	for (word = 0; word < words; word++, now_us += 25000) {
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
 * An engine comes up empty. All gateways see its places at the same moment;
 * together they must not send it more than it can take before its next word.
 */
static void
test_free_places_are_shared(void **state)
{
	struct tgt *t = put("a", "1.1.1.1:1", "near");
	unsigned int most, sum = sent_by_three(t, 300, 0, &most);

	assert_in_range(sum, 300 * 9 / 2, 300 * 11 / 2); /* five places */
	assert_in_range(most, 5, 6);
}

/*
 * All engines are full, and one place becomes free. Every gateway has callers
 * that wait for it; were each to send one, requests would pile up behind the
 * place, and their first tokens come after a second.
 */
static void
test_a_single_place_is_drawn_for(void **state)
{
	struct tgt *t = put("a", "1.1.1.1:1", "near");
	unsigned int most, sum = sent_by_three(t, 300, 4, &most);

	assert_in_range(sum, 240, 360); /* one a word, three without a draw */
}

static void
test_near_first(void **state)
{
	struct tgt *near = put("n", "1.1.1.1:1", "near");
	struct tgt *far = put("f", "1.1.1.2:1", "far");
	enum tgt_reason why;

	tgt_set_load(near, 1, SECOND);
	tgt_set_load(far, 0, SECOND);
	assert_ptr_equal(choose(SECOND, true, &why), near);
	tgt_set_load(near, 4, SECOND);
	assert_ptr_equal(choose(SECOND, true, &why), far);
}

/*
 * A target stops answering. It gets nothing while it rests, then one request
 * shows whether it is back; until that has ended nobody else goes there.
 */
static void
test_rest_and_probe(void **state)
{
	struct tgt *t = put("a", "1.1.1.1:1", "near");
	enum tgt_reason why;
	int64_t later;

	tgt_outcome(t, TGT_LOST, SECOND);
	assert_null(choose(SECOND, true, &why));
	assert_int_equal(why, TGT_NONE);
	later = t->backoff_until_us;
	assert_null(choose(later, false, &why)); /* first what may repeat */
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

/* Many requests that fail at the same moment are one failure. */
static void
test_failures_together(void **state)
{
	struct tgt *t = put("a", "1.1.1.1:1", "near");
	int i;

	for (i = 0; i < 16; i++)
		tgt_outcome(t, TGT_LOST, SECOND);
	assert_int_equal(t->failures, 1);
}

/* A target that answers with failures while others do not gets less. */
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
 * An engine that changes its version cuts the streams that it has. Its side
 * said so before; were they counted as failures, the engine would come up on
 * the new version and get fewer requests than the others for many answers.
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
 * Entries lapse while the store is away, though the targets live: they write
 * again within two seconds of its return. Until then they are kept; those told
 * to be gone are not, nor those that were leaving.
 */
static void
test_lapsed_targets(void **state)
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

/* An address passes on to another target: the one before is no more, also for
 * requests that still refer to it. */
static void
test_address_used_again(void **state)
{
	struct tgt *before = tgt_ref(put("a", "1.1.1.1:1", "near"));
	struct tgt *now = put("b", "1.1.1.1:1", "near");

	assert_null(tgt_find(set, "a"));
	assert_ptr_equal(tgt_by_address(set, "1.1.1.1:1"), now);
	assert_true(before->dropped);
	tgt_unref(before);
}

/* What target "a" says of itself, by its own start time. */
static struct tgt *
put_started(int64_t born_ms, int64_t version, int64_t now_us)
{
	struct sv_target says = { .slots = 4,
		.has_models = true,
		.start_ms = born_ms,
		.model_version = version };

	g_strlcpy(says.id, "a", sizeof(says.id));
	g_strlcpy(says.service, "s", sizeof(says.service));
	g_strlcpy(says.address, "1.1.1.1:1", sizeof(says.address));
	g_strlcpy(says.domain, "near", sizeof(says.domain));
	g_strlcpy(says.model, "m", sizeof(says.model));
	return tgt_put(set, &says, now_us);
}

/*
 * An engine crashes under load and starts again under its id, faster than
 * anybody could miss it. Believed to be the one before, it would be rested for
 * that one's failures, counted as full of that one's requests, and sent
 * requests for weights that it no longer holds.
 */
static void
test_a_target_that_started_again_is_another(void **state)
{
	struct tgt *before = tgt_ref(put_started(1000, 3, 0));
	struct tgt *now;

	tgt_sent(before, 0);
	tgt_set_load(before, 4, 0);
	tgt_outcome(before, TGT_LOST, 0);
	assert_ptr_equal(put_started(1000, 3, 1), before);
	now = put_started(2000, 0, 2);
	assert_ptr_not_equal(now, before);
	assert_true(before->dropped);
	assert_int_equal(now->failures, 0);
	assert_int_equal(now->local_inflight, 0);
	assert_int_equal(now->version, 0);
	assert_int_equal(now->service->ntargets, 1);
	assert_ptr_equal(tgt_by_address(set, "1.1.1.1:1"), now);
	tgt_ended(before, 3); /* the request that went to the one before */
	tgt_unref(before);
}

/*
 * The side tells of the new start before the store's entry has changed; an
 * entry that the one before wrote late must not bring that one back. When the
 * side is not heard the entry decides, also after a clock that was set back.
 */
static void
test_who_tells_of_a_new_start(void **state)
{
	struct tgt *t = put_started(1000, 3, 0);
	struct tgt *again;

	assert_ptr_equal(tgt_side_started(set, t, 1000), t);
	assert_ptr_equal(tgt_side_started(set, t, 0), t);
	tgt_ref(t);
	again = tgt_side_started(set, t, 2000);
	assert_ptr_not_equal(again, t);
	tgt_unref(t);
	again->side_report_us = SECOND;
	assert_ptr_equal(put_started(1000, 3, SECOND), again);
	assert_ptr_equal(tgt_side_started(set, again, 2000), again);
	tgt_ref(again);
	assert_ptr_not_equal(put_started(1500, 3, 9 * SECOND), again);
	tgt_unref(again);
}

/* An entry of a service that nobody knows bears a good target's address. */
static void
test_an_unknown_service_takes_no_address(void **state)
{
	struct sv_service known = { .name = (char *)"s" };
	struct sv_config config = { .services = &known, .nservices = 1 };
	struct sv_target says = { .id = "x",
		.service = "unknown",
		.address = "1.1.1.1:1",
		.slots = 1 };
	struct tgt *t;

	tgt_configure(set, &config);
	t = put("a", "1.1.1.1:1", "near");
	tgt_put(set, &says, 0);
	assert_ptr_equal(tgt_find(set, "a"), t);
	assert_ptr_equal(tgt_by_address(set, "1.1.1.1:1"), t);
}

static void
test_only_loaded_versions(void **state)
{
	struct tgt *t = put("a", "1.1.1.1:1", "near");
	struct tgt_criteria wish = { .model = "m", .version = 2 };
	enum tgt_reason why;

	t->record.has_models = true;
	assert_null(tgt_choose(set, tgt_service(set, "s"), &wish, 0, &why));
	g_strlcpy(t->model, "m", sizeof(t->model));
	t->version = 1;
	assert_null(tgt_choose(set, tgt_service(set, "s"), &wish, 0, &why));
	t->version = 2;
	assert_ptr_equal(
	    tgt_choose(set, tgt_service(set, "s"), &wish, 0, &why), t);
	/* It has just come up on what is about to be past its due: all
	 * gateways send to it at once, and the last would begin too late. */
	tgt_set_side_down(t, true, 0);
	tgt_set_side_down(t, false, SECOND);
	wish.version_fresh = 3;
	assert_null(
	    tgt_choose(set, tgt_service(set, "s"), &wish, SECOND + 1, &why));
	assert_ptr_equal(tgt_choose(set, tgt_service(set, "s"), &wish,
			     SECOND + TGT_FRESH_US, &why),
	    t);
	t->side_down = true;
	assert_null(tgt_choose(set, tgt_service(set, "s"), &wish, 0, &why));
}

int
main(void)
{
#define T(f) cmocka_unit_test_setup_teardown(f, set_up, tear_down)
	const struct CMUnitTest tests[] = {
		T(test_estimate),
		T(test_free_places_are_shared),
		T(test_a_single_place_is_drawn_for),
		T(test_near_first),
		T(test_rest_and_probe),
		T(test_failures_together),
		T(test_failing_target),
		T(test_cut_by_a_planned_load),
		T(test_lapsed_targets),
		T(test_address_used_again),
		T(test_a_target_that_started_again_is_another),
		T(test_who_tells_of_a_new_start),
		T(test_an_unknown_service_takes_no_address),
		T(test_only_loaded_versions),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
