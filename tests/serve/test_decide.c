/* The pure decisions of the data path: routes, attempts, versions, targets. */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <string.h>

#include "serve/flow.h"
#include "serve/hist.h"
#include "serve/rtab.h"
#include "serve/stop.h"
#include "serve/tgt.h"
#include "serve/vers.h"

#define SECOND 1000000

/* ------------------------------------------------------------------ */
/* Routes                                                              */
/* ------------------------------------------------------------------ */

static void
add_route(struct sv_config *c, const char *host, const char *prefix)
{
	struct sv_route *r = &c->routes[c->nroutes++];

	r->name = g_strdup(prefix);
	r->host = g_strdup(host);
	r->prefix = g_strdup(prefix);
	r->nshares = 2;
	r->shares = g_new0(struct sv_share, 2);
	r->shares[0] = (struct sv_share){ g_strdup("a"), 9 };
	r->shares[1] = (struct sv_share){ g_strdup("b"), 1 };
}

static struct hslice
slice(const char *s)
{
	return (struct hslice){ s, strlen(s) };
}

static const char *
match(struct rtab *t, const char *host, const char *path)
{
	const struct sv_route *r = rtab_route(t, slice(host), slice(path));

	return r == NULL ? NULL : r->name;
}

/*
 * An engine's requests may be cut for a change of version only when every
 * route to its service carries streams that go on at another target: a caller
 * of any other kind would see a broken answer.
 */
static void
test_which_services_may_be_cut(void **state)
{
	struct sv_config *c = g_new0(struct sv_config, 1);

	c->routes = g_new0(struct sv_route, 2);
	add_route(c, "h.example", "/a/");
	add_route(c, "h.example", "/b/");
	c->routes[0].kind = SV_STREAM;
	c->routes[0].resumable = true;
	c->routes[0].attempts = 2;
	c->routes[1] = (struct sv_route){ .name = c->routes[1].name,
		.host = c->routes[1].host,
		.prefix = c->routes[1].prefix,
		.kind = SV_UNSAFE,
		.shares = c->routes[1].shares,
		.nshares = 1 };
	c->nroutes = 2;
	assert_true(sv_config_may_cut(c, "b"));
	assert_false(sv_config_may_cut(c, "a")); /* the second route's, too */
	c->routes[0].attempts = 1;
	assert_false(sv_config_may_cut(c, "b"));
	c->routes[0].attempts = 2;
	c->routes[0].resumable = false;
	assert_false(sv_config_may_cut(c, "b"));
	c->routes[1].nshares = 2;
	sv_config_free(c);
}

static void
test_longest_prefix(void **state)
{
	struct sv_config *c = g_new0(struct sv_config, 1);
	struct rtab *t;
	unsigned int i, b = 0;

	c->routes = g_new0(struct sv_route, 3);
	add_route(c, "h.example", "/a/");
	add_route(c, "h.example", "/a/b/");
	add_route(c, "other.example", "/");
	t = rtab_new(c);
	assert_string_equal(match(t, "h.example", "/a/x"), "/a/");
	assert_string_equal(match(t, "H.Example:8080", "/a/b/x?/c/"), "/a/b/");
	assert_string_equal(match(t, "h.example", "/a/b?x=/a/b/"), "/a/");
	assert_null(match(t, "h.example", "/ab"));
	assert_null(match(t, "h.example", "/a?/"));
	assert_null(match(t, "x.example", "/a/"));
	for (i = 0; i < 100; i++)
		b += strcmp(rtab_pick_service(&c->routes[0], i), "b") == 0;
	assert_int_equal(b, 10);
	rtab_unref(t);
}

/* ------------------------------------------------------------------ */
/* Callers that are refused                                            */
/* ------------------------------------------------------------------ */

/*
 * For 1.5 s no engine may serve: the weights of all have become too old, or all
 * were started at once. Callers are refused all through it and come back once,
 * at the time that they are told. Hardly one finds nobody again, and they do
 * not come all in one moment.
 */
static void
test_refused_callers_return_after_the_gap(void **state)
{
	enum {
		CALLERS = 1500
	};
	const double gap_s = 1.5;
	unsigned int again = 0, i, in_100_ms[40] = { 0 }, most = 0;
	struct rng rng;

	rng_seed(&rng, 1);
	for (i = 0; i < CALLERS; i++) {
		double at_s = gap_s * i / CALLERS;
		double back_s = at_s +
		    flow_return_s(0, (double)rng_below(&rng, 1000) / 1000);

		again += back_s < gap_s;
		in_100_ms[(unsigned int)(back_s * 10)]++;
	}
	for (i = 0; i < G_N_ELEMENTS(in_100_ms); i++)
		most = MAX(most, in_100_ms[i]);
	assert_true(again <= CALLERS / 20);
	assert_true(most <= CALLERS / 10);
	/* A caller waits for a third of its time, and that is some six seconds. */
	assert_true(flow_return_s(5, 0.5) <= 1.9);
}

/* ------------------------------------------------------------------ */
/* Attempts                                                            */
/* ------------------------------------------------------------------ */

static bool
yes(void *ctx)
{
	(*(unsigned int *)ctx)++;
	return true;
}

static bool
no(void *ctx)
{
	return false;
}

static void
test_what_follows_an_attempt(void **state)
{
	struct flow_state s = { .attempts = 2, .time = true, .tries = 1 };
	unsigned int asked = 0;

	/* May run once, and certainly did not: on it goes. */
	assert_int_equal(flow_next(&s, FLOW_REFUSED, yes, &asked), FLOW_AGAIN);
	assert_int_equal(flow_next(&s, FLOW_REFUSED, no, NULL), FLOW_REFUSE);
	/* Nothing was sent: no arrival, so nothing is spent. */
	asked = 0;
	assert_int_equal(
	    flow_next(&s, FLOW_UNREACHABLE, yes, &asked), FLOW_AGAIN);
	assert_int_equal(asked, 0);
	/* It may have run: never again, and never "not run". */
	s.may_have_run = true;
	s.runs = 1;
	assert_int_equal(flow_next(&s, FLOW_LOST, yes, &asked), FLOW_FAIL);
	assert_int_equal(flow_next(&s, FLOW_REFUSED, yes, &asked), FLOW_FAIL);
	assert_int_equal(flow_next(&s, FLOW_FAILURE, yes, &asked), FLOW_PASS);
	/* May be repeated, within its attempts. */
	s.repeatable = true;
	assert_int_equal(flow_next(&s, FLOW_LOST, yes, &asked), FLOW_AGAIN);
	s.begun = true;
	assert_int_equal(flow_next(&s, FLOW_LOST, yes, &asked), FLOW_RESUME);
	assert_int_equal(flow_next(&s, FLOW_LOST, no, NULL), FLOW_BREAK);
	s.runs = 2;
	assert_int_equal(flow_next(&s, FLOW_SILENT, yes, &asked), FLOW_BREAK);
	/* No time left. */
	s = (struct flow_state){ .repeatable = true, .attempts = 3 };
	assert_int_equal(flow_next(&s, FLOW_REFUSED, yes, &asked), FLOW_REFUSE);
	/* Refusals do not go round for ever. */
	s.time = true;
	s.tries = 3 + FLOW_REFUSALS_MAX;
	assert_int_equal(flow_next(&s, FLOW_REFUSED, yes, &asked), FLOW_REFUSE);
}

/* ------------------------------------------------------------------ */
/* Versions                                                            */
/* ------------------------------------------------------------------ */

static void
test_versions_become_due(void **state)
{
	struct vers *v = vers_new(8 * SECOND, 0);
	struct sv_version named = { .model = "m", .version = 2 };
	int64_t due_us = 8 * SECOND;

	assert_int_equal(vers_least(v, "m", 0), 0);
	assert_true(vers_named(v, &named, false, SECOND));
	assert_false(vers_named(v, &named, false, 2 * SECOND));
	named.version = 5;
	assert_true(vers_named(v, &named, false, 3 * SECOND));
	assert_int_equal(vers_least(v, "m", SECOND + due_us - 1), 0);
	assert_int_equal(vers_least(v, "m", SECOND + due_us), 2);
	assert_int_equal(vers_least(v, "m", 3 * SECOND + due_us), 5);
	assert_int_equal(vers_newest(v, "m"), 5);
	assert_int_equal(vers_end_us(v, "m", 1), SECOND + due_us);
	assert_int_equal(vers_end_us(v, "m", 2), 3 * SECOND + due_us);
	assert_int_equal(vers_end_us(v, "m", 5), 0);
	assert_int_equal(vers_least(v, "other", 99 * SECOND), 0);
	assert_int_equal(vers_least(v, NULL, 99 * SECOND), 0);
	vers_free(v);
}

/*
 * Keepers that restart while two versions are on their way must hear of both:
 * they are the origin's readers of some pieces, and for those that are wanted
 * first everybody would wait until others step in.
 */
static void
test_the_version_before_the_newest(void **state)
{
	struct vers *v = vers_new(8 * SECOND, 0);
	struct sv_version named = { .model = "m", .version = 2 };
	int64_t heard_us = 0;

	assert_int_equal(vers_pending(v, "m", SECOND, &heard_us), 0);
	vers_named(v, &named, false, SECOND);
	assert_int_equal(vers_pending(v, "m", SECOND, &heard_us), 0);
	named.version = 3;
	vers_named(v, &named, false, 3 * SECOND);
	assert_int_equal(vers_pending(v, "m", 3 * SECOND, &heard_us), 2);
	assert_int_equal(heard_us, SECOND);
	assert_int_equal(vers_pending(v, "m", 9 * SECOND, &heard_us), 0);
	vers_free(v);
}

/* A gateway that starts does not know when a version was named: it is due. */
static void
test_versions_from_before_the_start(void **state)
{
	struct vers *v = vers_new(8 * SECOND, 0);
	struct sv_version named = { .model = "m", .version = 2 };

	assert_true(vers_named(v, &named, true, SECOND));
	assert_int_equal(vers_least(v, "m", SECOND), 2);
	vers_free(v);
}

/*
 * All processes are killed at once, and engines hold a version older than the
 * newest. For a while after its start a gateway is not bound by due times: it
 * serves with what is loaded instead of refusing everybody until the newest is
 * everywhere. Then what it found is due.
 */
static void
test_no_version_is_due_right_after_the_start(void **state)
{
	struct vers *v = vers_new(8 * SECOND, 14 * SECOND);
	struct sv_version named = { .model = "m", .version = 2 };

	assert_true(vers_named(v, &named, true, 11 * SECOND));
	assert_int_equal(vers_least(v, "m", 11 * SECOND), 0);
	assert_int_equal(vers_least(v, "m", 14 * SECOND - 1), 0);
	assert_int_equal(vers_least(v, "m", 14 * SECOND), 2);
	vers_free(v);
}

/*
 * A gateway is restarted two seconds after a version was named. Other gateways
 * know when that was, and keepers have it from them: engines that may still
 * serve are not refused. A word that would make it due earlier is no news.
 */
static void
test_keepers_know_when_a_version_was_named(void **state)
{
	struct vers *v = vers_new(8 * SECOND, 0);
	struct sv_version named = { .model = "m", .version = 2 };

	assert_true(vers_named(v, &named, true, 12 * SECOND));
	assert_int_equal(vers_least(v, "m", 12 * SECOND), 2);
	assert_true(vers_told(v, "m", 2, 10 * SECOND));
	assert_int_equal(vers_least(v, "m", 12 * SECOND), 0);
	assert_int_equal(vers_least(v, "m", 18 * SECOND), 2);
	assert_false(vers_told(v, "m", 2, 11 * SECOND)); /* known by now */
	assert_int_equal(vers_least(v, "m", 18 * SECOND), 2);
	/* The store's own news have not come: its watch is silent. */
	assert_true(vers_told(v, "m", 3, 13 * SECOND));
	assert_int_equal(vers_newest(v, "m"), 3);
	assert_false(vers_told(v, "m", 2, 15 * SECOND));
	vers_free(v);
}

/*
 * Versions 2 and 3 are named two seconds apart, and then a gateway is replaced.
 * The store names only version 3 to it. When version 2 is due some engines
 * still have version 1, and its callers alone are served with that for two
 * seconds more, until version 3 is due. Keepers know both.
 */
static void
test_a_gateway_that_starts_between_two_due_times(void **state)
{
	struct vers *v = vers_new(10 * SECOND, 26 * SECOND);
	struct sv_version named = { .model = "m", .version = 3 };

	assert_true(vers_named(v, &named, true, 21 * SECOND));
	assert_true(vers_told(v, "m", 3, 20 * SECOND));
	assert_true(vers_told(v, "m", 2, 18 * SECOND));
	assert_false(vers_told(v, "m", 2, 18 * SECOND));
	assert_int_equal(vers_least(v, "m", 28 * SECOND - 1), 0);
	assert_int_equal(vers_least(v, "m", 28 * SECOND), 2);
	assert_int_equal(vers_least(v, "m", 30 * SECOND), 3);
	assert_int_equal(vers_end_us(v, "m", 1), 28 * SECOND);
	assert_int_equal(vers_newest(v, "m"), 3);
	vers_free(v);

	/* One that has just started is not bound before its time. */
	v = vers_new(10 * SECOND, 29 * SECOND);
	assert_true(vers_named(v, &named, true, 24 * SECOND));
	assert_true(vers_told(v, "m", 3, 20 * SECOND));
	assert_true(vers_told(v, "m", 2, 18 * SECOND));
	assert_int_equal(vers_end_us(v, "m", 1), 29 * SECOND);
	vers_free(v);

	/* Nothing follows from one that is due no sooner than the next. */
	v = vers_new(10 * SECOND, 0);
	assert_true(vers_named(v, &named, false, 20 * SECOND));
	assert_false(vers_told(v, "m", 2, 20 * SECOND));
	assert_int_equal(vers_end_us(v, "m", 1), 30 * SECOND);
	vers_free(v);
}

/*
 * Version 2 is named, two seconds later the store falls silent for all, for
 * eight seconds. Engines could still get version 2 or not; nobody could name
 * another. Its eight seconds begin again with the store's return. What was due
 * before the silence stays due, and so does what was found at a start.
 */
static void
test_no_version_becomes_due_while_the_store_is_away(void **state)
{
	struct vers *v = vers_new(8 * SECOND, 0);
	struct sv_version named = { .model = "m", .version = 2 };
	int64_t at;

	assert_true(vers_named(v, &named, false, SECOND));
	named.version = 3;
	assert_true(vers_named(v, &named, false, 10 * SECOND));
	for (at = 12 * SECOND; at <= 20 * SECOND; at += SECOND)
		vers_hold(v, 12 * SECOND, at);
	assert_int_equal(vers_least(v, "m", 28 * SECOND - 1), 2);
	assert_int_equal(vers_least(v, "m", 28 * SECOND), 3);
	vers_hold(v, 12 * SECOND, 19 * SECOND); /* never back */
	assert_int_equal(vers_least(v, "m", 28 * SECOND), 3);
	vers_free(v);

	v = vers_new(8 * SECOND, 14 * SECOND);
	assert_true(vers_named(v, &named, true, 11 * SECOND));
	vers_hold(v, 12 * SECOND, 20 * SECOND);
	assert_int_equal(vers_least(v, "m", 14 * SECOND), 3);
	vers_free(v);
}

/* ------------------------------------------------------------------ */
/* Targets                                                             */
/* ------------------------------------------------------------------ */

static struct tgt_set *set;

static int
set_up(void **state)
{
	static const struct tgt_policy policy = {
		.beyond_slots = 1, .far_cost = 2, .entries = 3
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
choose(int64_t now_us, bool repeatable, enum tgt_why *why)
{
	struct tgt_wish wish = { .repeatable = repeatable };

	return tgt_choose(set, tgt_service(set, "s"), &wish, now_us, why);
}

/* What the others have is known from the last word; what this gateway has
 * sent or got back since is added. */
static void
test_estimate(void **state)
{
	struct tgt *t = put("a", "1.1.1.1:1", "near");
	struct tgt_policy *p = tgt_set_policy(set);
	enum tgt_why why;

	tgt_sent(t, 0);
	assert_true(tgt_estimate(t, p, 0) == 3); /* three gateways alike */
	p->entries = 1; /* all places are this one's, none is drawn for */
	tgt_load(t, 3, SECOND);
	assert_true(tgt_estimate(t, p, SECOND) == 3);
	tgt_sent(t, SECOND);
	assert_true(tgt_estimate(t, p, SECOND) == 4);
	tgt_load(t, 4, SECOND);
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
	enum tgt_why why;

	*most = 0;
	for (word = 0; word < words; word++, now_us += 25000) {
		sent = 0;
		for (p->seed = 1; p->seed <= 3; p->seed++) {
			t->side_us = now_us;
			tgt_load(t, taken, now_us);
			while (choose(now_us, true, &why) != NULL) {
				tgt_sent(t, now_us);
				sent++;
			}
			assert_int_equal(why, TGT_FULL);
			while (t->mine > 0)
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
	enum tgt_why why;

	tgt_load(near, 1, SECOND);
	tgt_load(far, 0, SECOND);
	assert_ptr_equal(choose(SECOND, true, &why), near);
	tgt_load(near, 4, SECOND);
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
	enum tgt_why why;
	int64_t later;

	tgt_outcome(t, TGT_LOST, SECOND);
	assert_null(choose(SECOND, true, &why));
	assert_int_equal(why, TGT_NONE);
	later = t->rest_until_us;
	assert_null(choose(later, false, &why)); /* first what may repeat */
	assert_ptr_equal(choose(later, true, &why), t);
	tgt_sent(t, later);
	assert_null(choose(later, true, &why));
	tgt_outcome(t, TGT_SILENT, later);
	tgt_ended(t, later);
	assert_true(t->rest_until_us - later > later - SECOND);
	later = t->rest_until_us;
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
	enum tgt_why why;
	int i;

	for (i = 0; i < 20; i++) {
		tgt_outcome(bad, TGT_ERROR, SECOND);
		tgt_outcome(good, TGT_ANSWERED, SECOND);
	}
	tgt_load(bad, 0, SECOND);
	tgt_load(good, 2, SECOND);
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

	tgt_side(t, true, SECOND);
	for (i = 0; i < 10; i++)
		tgt_outcome(t, TGT_ERROR, SECOND);
	assert_int_equal(t->answers, 0);
	tgt_side(t, false, 2 * SECOND);
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
	enum tgt_why why;

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
	assert_ptr_equal(tgt_at(set, "1.1.1.1:1"), now);
	assert_true(before->dropped);
	tgt_unref(before);
}

/* What target "a" says of itself, by its own start time. */
static struct tgt *
put_started(int64_t born_ms, int64_t version, int64_t now_us)
{
	struct sv_target says = { .slots = 4,
		.has_models = true,
		.born_ms = born_ms,
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
	tgt_load(before, 4, 0);
	tgt_outcome(before, TGT_LOST, 0);
	assert_ptr_equal(put_started(1000, 3, 1), before);
	now = put_started(2000, 0, 2);
	assert_ptr_not_equal(now, before);
	assert_true(before->dropped);
	assert_int_equal(now->failures, 0);
	assert_int_equal(now->mine, 0);
	assert_int_equal(now->version, 0);
	assert_int_equal(now->service->ntargets, 1);
	assert_ptr_equal(tgt_at(set, "1.1.1.1:1"), now);
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

	assert_ptr_equal(tgt_side_born(set, t, 1000), t);
	assert_ptr_equal(tgt_side_born(set, t, 0), t);
	tgt_ref(t);
	again = tgt_side_born(set, t, 2000);
	assert_ptr_not_equal(again, t);
	tgt_unref(t);
	again->side_us = SECOND;
	assert_ptr_equal(put_started(1000, 3, SECOND), again);
	assert_ptr_equal(tgt_side_born(set, again, 2000), again);
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
	assert_ptr_equal(tgt_at(set, "1.1.1.1:1"), t);
}

static void
test_only_loaded_versions(void **state)
{
	struct tgt *t = put("a", "1.1.1.1:1", "near");
	struct tgt_wish wish = { .model = "m", .version = 2 };
	enum tgt_why why;

	t->says.has_models = true;
	assert_null(tgt_choose(set, tgt_service(set, "s"), &wish, 0, &why));
	g_strlcpy(t->model, "m", sizeof(t->model));
	t->version = 1;
	assert_null(tgt_choose(set, tgt_service(set, "s"), &wish, 0, &why));
	t->version = 2;
	assert_ptr_equal(
	    tgt_choose(set, tgt_service(set, "s"), &wish, 0, &why), t);
	/* It has just come up on what is about to be past its due: all
	 * gateways send to it at once, and the last would begin too late. */
	tgt_side(t, true, 0);
	tgt_side(t, false, SECOND);
	wish.version_fresh = 3;
	assert_null(
	    tgt_choose(set, tgt_service(set, "s"), &wish, SECOND + 1, &why));
	assert_ptr_equal(tgt_choose(set, tgt_service(set, "s"), &wish,
			     SECOND + TGT_FRESH_US, &why),
	    t);
	t->side_down = true;
	assert_null(tgt_choose(set, tgt_service(set, "s"), &wish, 0, &why));
}

/*
 * The last answer is made and its bytes wait to go out when the stop's first
 * part is over. The process must not end before its caller has them: the
 * answer would be cut in the middle.
 */
static void
test_stop_waits_for_the_last_bytes(void **state)
{
	struct stop_state s = { .since_us = SECOND,
		.grace_us = 8 * SECOND,
		.active = 0,
		.connections = 1 };

	assert_int_equal(stop_next(&s, 2 * SECOND), STOP_SERVE);
	assert_int_equal(stop_next(&s, 4 * SECOND), STOP_TURN_AWAY);
	s.connections = 0;
	assert_int_equal(stop_next(&s, 4 * SECOND), STOP_END);
	s.active = 1;
	assert_int_equal(stop_next(&s, 4 * SECOND), STOP_TURN_AWAY);
	assert_int_equal(stop_next(&s, 9 * SECOND), STOP_END);
}

static void
test_histogram(void **state)
{
	struct hist h = { 0 };
	GString *out = g_string_new(NULL);

	hist_add(&h, 900);
	hist_add(&h, 350000);
	hist_add(&h, 99000000);
	hist_print(&h, "x", out);
	assert_non_null(strstr(out->str, "x_bucket{le=\"0.001\"} 1\n"));
	assert_non_null(strstr(out->str, "x_bucket{le=\"0.4\"} 2\n"));
	assert_non_null(strstr(out->str, "x_bucket{le=\"+Inf\"} 3\n"));
	assert_non_null(strstr(out->str, "x_count 3\n"));
	g_string_free(out, TRUE);
}

int
main(void)
{
#define T(f) cmocka_unit_test_setup_teardown(f, set_up, tear_down)
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_which_services_may_be_cut),
		cmocka_unit_test(test_longest_prefix),
		cmocka_unit_test(test_refused_callers_return_after_the_gap),
		cmocka_unit_test(test_what_follows_an_attempt),
		cmocka_unit_test(test_versions_become_due),
		cmocka_unit_test(test_the_version_before_the_newest),
		cmocka_unit_test(test_versions_from_before_the_start),
		cmocka_unit_test(test_no_version_is_due_right_after_the_start),
		cmocka_unit_test(test_keepers_know_when_a_version_was_named),
		cmocka_unit_test(
		    test_a_gateway_that_starts_between_two_due_times),
		cmocka_unit_test(
		    test_no_version_becomes_due_while_the_store_is_away),
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
		cmocka_unit_test(test_stop_waits_for_the_last_bytes),
		cmocka_unit_test(test_histogram),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
