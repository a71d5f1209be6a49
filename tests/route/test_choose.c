/* What is believed of targets, the choice of one, and subsets of sides. */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <string.h>

#include "route/route.h"

#define MS 1000
#define MANY 10

struct bed {
	struct rt_fleet *fleet;
	struct rt_target target[MANY];
	struct digest roots[2];
	struct rng rng;
	struct rt_criteria wish;
	int64_t now_us;
};

static void
make(struct bed *b, size_t n)
{
	size_t i;

	memset(b, 0, sizeof(*b));
	b->fleet = rt_fleet_new();
	b->now_us = 1000 * MS;
	digest_of("v1", 2, &b->roots[0]);
	digest_of("v2", 2, &b->roots[1]);
	rng_seed(&b->rng, 1);
	for (i = 0; i < n; i++) {
		b->target[i] = (struct rt_target){
			.domain = "a",
			.workspace = "t",
			.pool = "p",
			.loaded = b->roots[0],
			.reachable = true,
			.accepting = true,
			.slots = 10,
		};
		rt_fleet_update(b->fleet, &b->target[i]);
	}
	b->wish = (struct rt_criteria){
		.kind = RT_ENGINE,
		.workspace = "t",
		.pool = "p",
		.service = "",
		.roots = b->roots,
		.nroots = 1,
		.domain = "a",
	};
}

/* Index of the target chosen; -1: none. */
static int
choose(struct bed *b)
{
	struct rt_target *t = rt_choose(b->fleet, &b->wish, b->now_us, &b->rng);

	return t == NULL ? -1 : (int)(t - b->target);
}

static void
assert_always(struct bed *b, int want)
{
	int i;

	for (i = 0; i < 20; i++)
		assert_int_equal(choose(b), want);
}

/* How often target `i` is chosen in a thousand times. */
static unsigned int
share(struct bed *b, int i)
{
	unsigned int n = 0, k;

	for (k = 0; k < 1000; k++)
		n += choose(b) == i ? 1 : 0;
	return n;
}

static void
told(struct bed *b, int i, unsigned int running)
{
	rt_target_reported(&b->target[i], running, b->now_us);
}

static void
ended(struct bed *b, int i, enum err_code code)
{
	const struct err err = { .code = code };

	rt_target_sent(&b->target[i], b->now_us);
	rt_target_ended(&b->target[i], &err, b->now_us);
}

/* Each of these alone rules the only target out. */
static void
test_ruled_out(void **state)
{
	const struct rt_target *tried[1];
	struct bed b;
	int way;

	for (way = 0; way < 9; way++) {
		make(&b, 1);
		assert_int_equal(choose(&b), 0);
		switch (way) {
		case 0:
			b.target[0].reachable = false;
			break;
		case 1:
			b.target[0].accepting = false;
			break;
		case 2:
			b.target[0].loaded = b.roots[1];
			break;
		case 3:
			ended(&b, 0, ERR_UNAVAILABLE);
			break;
		case 4:
			tried[0] = &b.target[0];
			b.wish.tried = tried;
			b.wish.ntried = 1;
			break;
		case 5:
			b.wish.workspace = "u";
			break;
		case 6:
			b.wish.pool = "q";
			break;
		case 7:
			b.wish.kind = RT_SERVICE;
			break;
		case 8:
			rt_target_disconnected(b.fleet, &b.target[0]);
			break;
		}
		rt_fleet_update(b.fleet, &b.target[0]);
		assert_int_equal(choose(&b), -1);
		assert_false(
		    rt_target_eligible(&b.target[0], &b.wish, b.now_us));
		rt_fleet_free(b.fleet);
	}
}

static void
test_service(void **state)
{
	struct bed b;

	make(&b, 2);
	b.target[1].kind = RT_SERVICE;
	g_strlcpy(b.target[1].service, "notes", RT_NAME_MAX);
	rt_fleet_update(b.fleet, &b.target[1]);
	assert_always(&b, 0);
	b.wish.kind = RT_SERVICE;
	b.wish.service = "notes";
	assert_always(&b, 1);
	b.wish.service = "other";
	assert_int_equal(choose(&b), -1);
	rt_fleet_free(b.fleet);
}

static void
test_versions(void **state)
{
	struct bed b;

	make(&b, 3);
	b.target[2].loaded = b.roots[1];
	rt_fleet_update(b.fleet, &b.target[2]);
	assert_in_range(share(&b, 2), 0, 0);
	/* Without rules all alike, with them the first that can. */
	b.wish.nroots = 2;
	assert_in_range(share(&b, 2), 200, 450);
	b.wish.ranked = true;
	assert_in_range(share(&b, 2), 0, 0);
	ended(&b, 0, ERR_OVERLOADED);
	ended(&b, 1, ERR_OVERLOADED);
	assert_always(&b, 2);
	assert_int_equal(rt_backoff_ends_us(b.fleet, &b.wish, b.now_us),
	    b.target[0].backoff_until_us);
	rt_fleet_free(b.fleet);
}

static void
test_lower_load_wins(void **state)
{
	struct bed b;
	int i;

	make(&b, 2);
	told(&b, 0, 5);
	for (i = 0; i < 4; i++)
		rt_target_sent(&b.target[1], b.now_us);
	assert_always(&b, 1);
	b.target[0].slots = 100; /* load is relative to the slots */
	assert_always(&b, 0);
	b.target[0].slots = 10;
	told(&b, 0, 4);
	g_strlcpy(b.target[0].domain, "b", RT_NAME_MAX);
	assert_always(&b, 1); /* the own domain */
	told(&b, 0, 0);
	assert_always(&b, 0); /* unless it is much fuller */
	rt_fleet_free(b.fleet);
}

/* Equal targets get equal shares, also when most rest. */
static void
test_spread(void **state)
{
	struct bed b;
	int i;

	make(&b, MANY);
	for (i = 0; i < MANY; i++)
		assert_in_range(share(&b, i), 60, 140);
	for (i = 3; i < MANY; i++)
		ended(&b, i, ERR_UNAVAILABLE);
	for (i = 0; i < 3; i++)
		assert_in_range(share(&b, i), 260, 400);
	rt_fleet_free(b.fleet);
}

/* What the side said moves with what was sent and ended since; what others
 * run is forgotten when the side is silent. */
static void
test_estimate(void **state)
{
	const struct err none = { 0 };
	struct bed b;
	struct rt_target *t = &b.target[0];
	unsigned int slots, running;

	make(&b, 2);
	rt_target_sent(t, b.now_us);
	rt_target_sent(t, b.now_us);
	told(&b, 0, 6);
	assert_int_equal(rt_target_running(t, b.now_us), 6);
	rt_target_sent(t, b.now_us);
	assert_int_equal(rt_target_running(t, b.now_us), 7);
	rt_target_ended(t, &none, b.now_us);
	rt_target_ended(t, &none, b.now_us);
	assert_int_equal(rt_target_running(t, b.now_us), 5);
	rt_fleet_load(b.fleet, &b.wish, &slots, &running);
	assert_int_equal(slots, 20);
	assert_int_equal(running, 5);
	b.now_us += 1000 * MS;
	assert_int_equal(rt_target_running(t, b.now_us), 2);
	rt_fleet_refresh(b.fleet, b.now_us);
	rt_fleet_load(b.fleet, &b.wish, &slots, &running);
	assert_int_equal(running, 2);
	t->accepting = false;
	rt_fleet_update(b.fleet, t);
	rt_fleet_load(b.fleet, &b.wish, &slots, &running);
	assert_int_equal(slots, 10);
	assert_int_equal(running, 0);
	rt_fleet_free(b.fleet);
}

/* Rest grows with refusals in a row, is bounded, and ends with an answer. */
static void
test_rest(void **state)
{
	struct bed b;
	struct rt_target *t = &b.target[0];
	int64_t before = 0, rest;
	int i;

	make(&b, 1);
	for (i = 0; i < 12; i++) {
		ended(&b, 0, ERR_OVERLOADED);
		ended(&b, 0, ERR_OVERLOADED); /* at once: counts once */
		rest = t->backoff_until_us - b.now_us;
		assert_true(rest > before || rest == 2000 * MS);
		assert_true(before == 0 || rest <= 2 * before);
		assert_int_equal(choose(&b), -1);
		b.now_us += rest;
		assert_int_equal(choose(&b), 0);
		before = rest;
	}
	ended(&b, 0, ERR_NONE);
	ended(&b, 0, ERR_CANCELLED);
	assert_int_equal(choose(&b), 0);
	ended(&b, 0, ERR_OVERLOADED);
	assert_true(t->backoff_until_us - b.now_us < 100 * MS);
	rt_fleet_free(b.fleet);
}

/*
 * A link stalls without closing: callers' requests there hang until their
 * deadlines. The target that gives no sign for much longer than usual gets
 * no more of them, as long as there is another.
 */
static void
test_silent(void **state)
{
	const struct err cancelled = { .code = ERR_CANCELLED };
	const struct err none = { 0 };
	struct bed b;
	int i;

	make(&b, 3);
	for (i = 0; i < 3; i++) {
		rt_target_sent(&b.target[i], b.now_us);
		rt_target_responded(
		    &b.target[i], true, b.now_us - 20 * MS, b.now_us);
		rt_target_ended(&b.target[i], &none, b.now_us);
	}
	for (i = 0; i < 3; i++)
		rt_target_sent(&b.target[i], b.now_us);
	rt_target_responded(&b.target[0], false, 0, b.now_us);
	rt_target_responded(&b.target[2], false, 0, b.now_us);
	b.now_us += 400 * MS;
	assert_true(share(&b, 1) > 0);
	b.now_us += 600 * MS;
	assert_int_equal(share(&b, 1), 0);
	/* Nothing is left that could give a sign. */
	rt_target_ended(&b.target[1], &cancelled, b.now_us);
	assert_true(share(&b, 1) > 0);
	rt_target_sent(&b.target[1], b.now_us);
	b.now_us += 1000 * MS;
	assert_int_equal(share(&b, 1), 0);
	rt_target_responded(&b.target[1], false, 0, b.now_us);
	assert_true(share(&b, 1) > 0);
	/* All silent: better than none. */
	for (i = 0; i < 3; i++)
		rt_target_sent(&b.target[i], b.now_us);
	b.now_us += 1000 * MS;
	assert_true(choose(&b) >= 0);
	rt_fleet_free(b.fleet);
}

/* ------------------------------------------------------------------ */
/* Prefixes                                                            */
/* ------------------------------------------------------------------ */

static void
test_prefix_hash(void **state)
{
	char *text = g_strnfill(200, 'x');
	struct rt_prefix whole, parts, other;

	rt_prefix_begin(&whole);
	rt_prefix_add(&whole, "a");
	assert_int_equal(whole.hash, 0xaf63dc4c8601ec8cULL); /* FNV-1a 64 */
	assert_int_equal(rt_prefix_end(&whole), 0);
	rt_prefix_begin(&parts);
	rt_prefix_add(&parts, text);
	rt_prefix_add(&parts, text);
	other = parts;
	rt_prefix_add(&other, "what comes after 256 bytes");
	assert_true(rt_prefix_end(&parts) != 0);
	assert_int_equal(rt_prefix_end(&parts), rt_prefix_end(&other));
	g_free(text);
}

static void
test_prefix_affinity(void **state)
{
	struct bed b;
	int i;

	make(&b, MANY);
	b.wish.prefix = 42;
	rt_fleet_prefix_sent(b.fleet, &b.target[3], 42, b.now_us);
	told(&b, 3, 3);
	assert_always(&b, 3); /* somewhat fuller, and holds it */
	/* Full: not worth the wait while the others are not. */
	for (i = 0; i < MANY; i++)
		told(&b, i, i == 3 ? 10 : 7);
	assert_int_equal(share(&b, 3), 0);
	for (i = 0; i < MANY; i++)
		told(&b, i, i == 3 ? 3 : 0);
	b.wish.prefix = 43;
	assert_int_equal(share(&b, 3), 0);
	rt_fleet_prefix_event(b.fleet, &b.target[5], 43, true, b.now_us);
	assert_always(&b, 5);
	rt_fleet_prefix_event(b.fleet, &b.target[5], 43, false, b.now_us);
	assert_true(share(&b, 5) < 200);
	/* Another version, a new link, or long ago: no longer believed. */
	b.wish.prefix = 42;
	b.target[3].loaded = b.roots[1];
	rt_fleet_update(b.fleet, &b.target[3]);
	b.target[3].loaded = b.roots[0];
	rt_fleet_update(b.fleet, &b.target[3]);
	assert_int_equal(share(&b, 3), 0);
	rt_fleet_prefix_sent(b.fleet, &b.target[3], 42, b.now_us);
	assert_always(&b, 3);
	b.now_us += 200000 * MS;
	assert_true(share(&b, 3) < 200);
	rt_fleet_free(b.fleet);
}

/* The map is bounded: what was used lately stays. */
static void
test_prefix_bound(void **state)
{
	struct bed b;
	uint64_t i;

	make(&b, MANY);
	for (i = 1; i < 40000; i++) {
		rt_fleet_prefix_sent(b.fleet, &b.target[i % 2], i, b.now_us);
		b.wish.prefix = 4;
		assert_true(choose(&b) == 0 || i < 4);
	}
	b.wish.prefix = 6;
	assert_true(share(&b, 0) < 200);
	rt_fleet_free(b.fleet);
}

/* ------------------------------------------------------------------ */
/* Subsets                                                             */
/* ------------------------------------------------------------------ */

#define ENTRIES 80
#define SIDES 300

struct net {
	char id[ENTRIES + SIDES][8];
	struct rt_peer entry[ENTRIES];
	struct rt_peer side[SIDES];
};

static void
make_net(struct net *net)
{
	static const char *const regions[] = { "r0", "r1", "r2" };
	static const char *const infos[] = { "e,engine,t,p,",
		"e,engine,t,p,;s,service,t,q,notes" };
	size_t i;

	for (i = 0; i < ENTRIES + SIDES; i++) {
		struct rt_peer *p =
		    i < ENTRIES ? &net->entry[i] : &net->side[i - ENTRIES];

		g_snprintf(net->id[i], 8, "n%zu", i);
		*p = (struct rt_peer){
			.id = net->id[i],
			.region = regions[i % 3],
			.info = infos[i % 15 == 0],
		};
	}
}

/* Sides wanted by entry `e` of the first `n`, and added to `per_side`. */
static unsigned int
subset(struct net *net, size_t e, size_t n, unsigned int *per_side)
{
	unsigned int wanted = 0, services = 0;
	size_t i;

	rt_subset(net->id[e], net->entry, n, net->side, SIDES);
	for (i = 0; i < SIDES; i++) {
		if (!net->side[i].wanted)
			continue;
		wanted++;
		services += strstr(net->side[i].info, "notes") != NULL;
		per_side[i]++;
	}
	assert_true(services >= RT_SUBSET_SIDECARS);
	return wanted;
}

static void
test_subset(void **state)
{
	struct net *net = g_new0(struct net, 1);
	unsigned int per_side[SIDES] = { 0 }, before, i;
	bool was[SIDES];

	make_net(net);
	/* Few entries: all sides. */
	assert_int_equal(subset(net, 0, 3, per_side), SIDES);
	memset(per_side, 0, sizeof(per_side));
	for (i = 0; i < ENTRIES; i++)
		assert_in_range(subset(net, i, ENTRIES, per_side),
		    RT_SUBSET_SIDECARS,
		    SIDES * RT_SUBSET_GATEWAYS * 2 / ENTRIES);
	for (i = 0; i < SIDES; i++)
		assert_in_range(per_side[i], RT_SUBSET_GATEWAYS,
		    strstr(net->side[i].info, "notes") != NULL
			? ENTRIES /* there are few of these */
			: RT_SUBSET_GATEWAYS * 5 / 4);
	/* An entry goes: the others keep what they had. */
	before = subset(net, 0, ENTRIES, per_side);
	for (i = 0; i < SIDES; i++)
		was[i] = net->side[i].wanted;
	assert_true(subset(net, 0, ENTRIES - 1, per_side) >= before);
	for (i = 0; i < SIDES; i++)
		assert_true(net->side[i].wanted || !was[i]);
	g_free(net);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_ruled_out),
		cmocka_unit_test(test_service),
		cmocka_unit_test(test_versions),
		cmocka_unit_test(test_lower_load_wins),
		cmocka_unit_test(test_spread),
		cmocka_unit_test(test_estimate),
		cmocka_unit_test(test_rest),
		cmocka_unit_test(test_silent),
		cmocka_unit_test(test_prefix_hash),
		cmocka_unit_test(test_prefix_affinity),
		cmocka_unit_test(test_prefix_bound),
		cmocka_unit_test(test_subset),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
