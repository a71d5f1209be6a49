/* Load estimates of targets, the choice of a target, subsets of sidecars. */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <string.h>

#include "route/route.h"

#define MS 1000
#define TARGETS 10

struct fixture {
	struct rt_fleet *fleet;
	struct rt_target target[TARGETS];
	struct digest roots[2];
	struct rng rng;
	struct rt_criteria criteria;
	int64_t now_us;
};

static void
setup(struct fixture *f, size_t n)
{
	size_t i;

	memset(f, 0, sizeof(*f));
	f->fleet = rt_fleet_new();
	f->now_us = 1000 * MS;
	digest_of("v1", 2, &f->roots[0]);
	digest_of("v2", 2, &f->roots[1]);
	rng_seed(&f->rng, 1);
	for (i = 0; i < n; i++) {
		f->target[i] = (struct rt_target){
			.domain = "a",
			.workspace = "t",
			.pool = "p",
			.loaded = f->roots[0],
			.reachable = true,
			.accepting = true,
			.slots = 10,
		};
		rt_fleet_update(f->fleet, &f->target[i]);
	}
	f->criteria = (struct rt_criteria){
		.kind = RT_ENGINE,
		.workspace = "t",
		.pool = "p",
		.service = "",
		.roots = f->roots,
		.nroots = 1,
		.domain = "a",
	};
}

/* Index of the chosen target; -1: none. */
static int
choose(struct fixture *f)
{
	struct rt_target *t =
	    rt_choose(f->fleet, &f->criteria, f->now_us, &f->rng);

	return t == NULL ? -1 : (int)(t - f->target);
}

static void
assert_always(struct fixture *f, int want)
{
	int i;

	for (i = 0; i < 20; i++)
		assert_int_equal(choose(f), want);
}

/* Number of times that target `i` is chosen in 1000 calls. */
static unsigned int
count_chosen(struct fixture *f, int i)
{
	unsigned int n = 0, k;

	for (k = 0; k < 1000; k++)
		n += choose(f) == i ? 1 : 0;
	return n;
}

static void
report(struct fixture *f, int i, unsigned int running)
{
	rt_target_reported(&f->target[i], running, f->now_us);
}

static void
end(struct fixture *f, int i, enum err_code code)
{
	const struct err err = { .code = code };

	rt_target_sent(&f->target[i], f->now_us);
	rt_target_ended(&f->target[i], &err, f->now_us);
}

/* Each of these conditions alone excludes the only target. */
static void
test_excluded(void **state)
{
	const struct rt_target *tried[1];
	struct fixture f;
	int condition;

	for (condition = 0; condition < 9; condition++) {
		setup(&f, 1);
		assert_int_equal(choose(&f), 0);
		switch (condition) {
		case 0:
			f.target[0].reachable = false;
			break;
		case 1:
			f.target[0].accepting = false;
			break;
		case 2:
			f.target[0].loaded = f.roots[1];
			break;
		case 3:
			end(&f, 0, ERR_UNAVAILABLE);
			break;
		case 4:
			tried[0] = &f.target[0];
			f.criteria.tried = tried;
			f.criteria.ntried = 1;
			break;
		case 5:
			f.criteria.workspace = "u";
			break;
		case 6:
			f.criteria.pool = "q";
			break;
		case 7:
			f.criteria.kind = RT_SERVICE;
			break;
		case 8:
			rt_target_disconnected(f.fleet, &f.target[0]);
			break;
		}
		rt_fleet_update(f.fleet, &f.target[0]);
		assert_int_equal(choose(&f), -1);
		assert_false(
		    rt_target_eligible(&f.target[0], &f.criteria, f.now_us));
		rt_fleet_free(f.fleet);
	}
}

static void
test_service(void **state)
{
	struct fixture f;

	setup(&f, 2);
	f.target[1].kind = RT_SERVICE;
	g_strlcpy(f.target[1].service, "notes", RT_NAME_MAX);
	rt_fleet_update(f.fleet, &f.target[1]);
	assert_always(&f, 0);
	f.criteria.kind = RT_SERVICE;
	f.criteria.service = "notes";
	assert_always(&f, 1);
	f.criteria.service = "other";
	assert_int_equal(choose(&f), -1);
	rt_fleet_free(f.fleet);
}

static void
test_versions(void **state)
{
	struct fixture f;

	setup(&f, 3);
	f.target[2].loaded = f.roots[1];
	rt_fleet_update(f.fleet, &f.target[2]);
	assert_in_range(count_chosen(&f, 2), 0, 0);
	/* Unranked versions are equal; ranked, the first usable one. */
	f.criteria.nroots = 2;
	assert_in_range(count_chosen(&f, 2), 200, 450);
	f.criteria.ranked = true;
	assert_in_range(count_chosen(&f, 2), 0, 0);
	end(&f, 0, ERR_OVERLOADED);
	end(&f, 1, ERR_OVERLOADED);
	assert_always(&f, 2);
	assert_int_equal(rt_backoff_ends_us(f.fleet, &f.criteria, f.now_us),
	    f.target[0].backoff_until_us);
	rt_fleet_free(f.fleet);
}

static void
test_lower_load_wins(void **state)
{
	struct fixture f;
	int i;

	setup(&f, 2);
	report(&f, 0, 5);
	for (i = 0; i < 4; i++)
		rt_target_sent(&f.target[1], f.now_us);
	assert_always(&f, 1);
	f.target[0].slots = 100; /* load is relative to the slots */
	assert_always(&f, 0);
	f.target[0].slots = 10;
	report(&f, 0, 4);
	g_strlcpy(f.target[0].domain, "b", RT_NAME_MAX);
	assert_always(&f, 1); /* the local domain */
	report(&f, 0, 0);
	assert_always(&f, 0); /* unless its load is much higher */
	rt_fleet_free(f.fleet);
}

/* Equal targets get equal shares, also when most are in backoff. */
static void
test_spread(void **state)
{
	struct fixture f;
	int i;

	setup(&f, TARGETS);
	for (i = 0; i < TARGETS; i++)
		assert_in_range(count_chosen(&f, i), 60, 140);
	for (i = 3; i < TARGETS; i++)
		end(&f, i, ERR_UNAVAILABLE);
	for (i = 0; i < 3; i++)
		assert_in_range(count_chosen(&f, i), 260, 400);
	rt_fleet_free(f.fleet);
}

/* The reported load is adjusted by the requests sent and ended since; the part
 * of other gateways decays while no report arrives. */
static void
test_estimate(void **state)
{
	const struct err none = { 0 };
	struct fixture f;
	struct rt_target *t = &f.target[0];
	unsigned int slots, running;

	setup(&f, 2);
	rt_target_sent(t, f.now_us);
	rt_target_sent(t, f.now_us);
	report(&f, 0, 6);
	assert_int_equal(rt_target_running(t, f.now_us), 6);
	rt_target_sent(t, f.now_us);
	assert_int_equal(rt_target_running(t, f.now_us), 7);
	rt_target_ended(t, &none, f.now_us);
	rt_target_ended(t, &none, f.now_us);
	assert_int_equal(rt_target_running(t, f.now_us), 5);
	rt_fleet_load(f.fleet, &f.criteria, &slots, &running);
	assert_int_equal(slots, 20);
	assert_int_equal(running, 5);
	f.now_us += 1000 * MS;
	assert_int_equal(rt_target_running(t, f.now_us), 2);
	rt_fleet_refresh(f.fleet, f.now_us);
	rt_fleet_load(f.fleet, &f.criteria, &slots, &running);
	assert_int_equal(running, 2);
	t->accepting = false;
	rt_fleet_update(f.fleet, t);
	rt_fleet_load(f.fleet, &f.criteria, &slots, &running);
	assert_int_equal(slots, 10);
	assert_int_equal(running, 0);
	rt_fleet_free(f.fleet);
}

/* Backoff grows with consecutive refusals, is bounded, and is reset by a
 * response. */
static void
test_backoff(void **state)
{
	struct fixture f;
	struct rt_target *t = &f.target[0];
	int64_t before = 0, backoff;
	int i;

	setup(&f, 1);
	for (i = 0; i < 12; i++) {
		end(&f, 0, ERR_OVERLOADED);
		end(&f, 0, ERR_OVERLOADED); /* simultaneous: counts once */
		backoff = t->backoff_until_us - f.now_us;
		assert_true(backoff > before || backoff == 2000 * MS);
		assert_true(before == 0 || backoff <= 2 * before);
		assert_int_equal(choose(&f), -1);
		f.now_us += backoff;
		assert_int_equal(choose(&f), 0);
		before = backoff;
	}
	end(&f, 0, ERR_NONE);
	end(&f, 0, ERR_CANCELLED);
	assert_int_equal(choose(&f), 0);
	end(&f, 0, ERR_OVERLOADED);
	assert_true(t->backoff_until_us - f.now_us < 100 * MS);
	rt_fleet_free(f.fleet);
}

/* Guards against requests to a target before its Retry-After is over: one that
 * is longer than the longest backoff, or that comes during a backoff, holds as
 * stated. */
static void
test_retry_after(void **state)
{
	struct fixture f;
	const struct err asked = { .code = ERR_OVERLOADED,
		.retry_after_ms = 30000 };

	setup(&f, 1);
	end(&f, 0, ERR_OVERLOADED);
	rt_target_sent(&f.target[0], f.now_us);
	rt_target_ended(&f.target[0], &asked, f.now_us);
	end(&f, 0, ERR_NONE);
	f.now_us += 29999 * MS;
	assert_int_equal(choose(&f), -1);
	f.now_us += 1 * MS;
	assert_int_equal(choose(&f), 0);
	rt_fleet_free(f.fleet);
}

/*
 * Guards against requests that are refused as if no target lived, because all
 * targets were silent for a moment and callers with short deadlines left. Silent
 * targets are avoided, but chosen if there is no other.
 */
static void
test_silent_targets(void **state)
{
	struct fixture f;

	setup(&f, 2);
	rt_target_sent(&f.target[0], f.now_us);
	f.now_us += 300 * MS;
	rt_target_silent(&f.target[0], f.now_us);
	assert_always(&f, 1);
	end(&f, 1, ERR_DEADLINE);
	assert_true(choose(&f) >= 0);
	f.criteria.silent_limit_us = 300 * MS;
	f.now_us += 900 * MS;
	assert_int_equal(choose(&f), -1);
	f.now_us += 200 * MS;
	assert_true(choose(&f) >= 0);
	f.now_us -= 1100 * MS;
	f.criteria.silent_limit_us = 0;
	/* A failure is no silence. */
	end(&f, 1, ERR_NONE);
	end(&f, 1, ERR_UNAVAILABLE);
	assert_always(&f, 0);
	/* Any response ends the silence, and the target is not avoided. */
	end(&f, 1, ERR_NONE);
	f.now_us += 50 * MS;
	rt_target_responded(&f.target[0], false, 0, f.now_us);
	assert_true(count_chosen(&f, 0) > 0);
	rt_fleet_free(f.fleet);
}

/* Guards against a retry budget that is used up while all targets are silent:
 * no request is tried again at a target whose silence is about to be found. */
static void
test_silence_not_found_yet(void **state)
{
	struct fixture f;

	setup(&f, 2);
	rt_target_sent(&f.target[0], f.now_us);
	rt_target_sent(&f.target[1], f.now_us);
	f.now_us += 250 * MS;
	rt_target_silent(&f.target[0], f.now_us);
	f.criteria.silent_limit_us = 250 * MS;
	assert_int_equal(choose(&f), -1);
	/* It has answered, or is younger. */
	rt_target_responded(&f.target[1], true, 0, f.now_us);
	assert_always(&f, 1);
	rt_target_sent(&f.target[1], f.now_us);
	f.now_us += 249 * MS;
	assert_always(&f, 1);
	rt_fleet_free(f.fleet);
}

/* A target that is silent for long is dead: it gets no request in a backoff,
 * also if requests that were sent later have the shorter silences. */
static void
test_dead_targets(void **state)
{
	struct fixture f;
	int i;

	setup(&f, 1);
	for (i = 0; i < 7; i++) {
		rt_target_sent(&f.target[0], f.now_us);
		f.now_us += 300 * MS;
		end(&f, 0, ERR_DEADLINE);
	}
	assert_int_equal(choose(&f), -1);
	f.now_us = f.target[0].backoff_until_us;
	assert_int_equal(choose(&f), 0);
	rt_fleet_free(f.fleet);
}

/* A target is not silent while it has no request. */
static void
test_idle_is_not_silent(void **state)
{
	const struct err cancelled = { .code = ERR_CANCELLED };
	struct fixture f;

	setup(&f, 1);
	rt_target_sent(&f.target[0], f.now_us);
	rt_target_ended(&f.target[0], &cancelled, f.now_us);
	f.now_us += 60000 * MS;
	rt_target_sent(&f.target[0], f.now_us);
	f.now_us += 300 * MS;
	rt_target_silent(&f.target[0], f.now_us);
	assert_int_equal(choose(&f), 0);
	rt_fleet_free(f.fleet);
}

/*
 * A connection stalls without closing, so requests there hang until their
 * deadlines. A target that sends no response data for much longer than usual
 * must get no more requests as long as there is another.
 */
static void
test_stalled(void **state)
{
	const struct err cancelled = { .code = ERR_CANCELLED };
	const struct err none = { 0 };
	struct fixture f;
	int i;

	setup(&f, 3);
	for (i = 0; i < 3; i++) {
		rt_target_sent(&f.target[i], f.now_us);
		rt_target_responded(
		    &f.target[i], true, f.now_us - 20 * MS, f.now_us);
		rt_target_ended(&f.target[i], &none, f.now_us);
	}
	for (i = 0; i < 3; i++)
		rt_target_sent(&f.target[i], f.now_us);
	rt_target_responded(&f.target[0], false, 0, f.now_us);
	rt_target_responded(&f.target[2], false, 0, f.now_us);
	f.now_us += 400 * MS;
	assert_true(count_chosen(&f, 1) > 0);
	f.now_us += 600 * MS;
	assert_int_equal(count_chosen(&f, 1), 0);
	/* No request is left that could be answered. */
	rt_target_ended(&f.target[1], &cancelled, f.now_us);
	assert_true(count_chosen(&f, 1) > 0);
	rt_target_sent(&f.target[1], f.now_us);
	f.now_us += 1000 * MS;
	assert_int_equal(count_chosen(&f, 1), 0);
	rt_target_responded(&f.target[1], false, 0, f.now_us);
	assert_true(count_chosen(&f, 1) > 0);
	/* All are stalled: one of them is still chosen. */
	for (i = 0; i < 3; i++)
		rt_target_sent(&f.target[i], f.now_us);
	f.now_us += 1000 * MS;
	assert_true(choose(&f) >= 0);
	rt_fleet_free(f.fleet);
}

/* ------------------------------------------------------------------ */
/* Prefixes                                                            */
/* ------------------------------------------------------------------ */

static void
test_prefix_hash(void **state)
{
	char *text = g_strnfill(200, 'x');
	struct rt_prefix single, parts, other;

	rt_prefix_begin(&single);
	rt_prefix_add(&single, "a");
	assert_int_equal(single.hash, 0xaf63dc4c8601ec8cULL); /* FNV-1a 64 */
	assert_int_equal(rt_prefix_end(&single), 0);
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
	struct fixture f;
	int i;

	setup(&f, TARGETS);
	f.criteria.prefix = 42;
	rt_fleet_prefix_sent(f.fleet, &f.target[3], 42, f.now_us);
	report(&f, 3, 3);
	assert_always(&f, 3); /* higher load, but the prefix is cached */
	/* Full: not chosen while the others have free slots. */
	for (i = 0; i < TARGETS; i++)
		report(&f, i, i == 3 ? 10 : 7);
	assert_int_equal(count_chosen(&f, 3), 0);
	for (i = 0; i < TARGETS; i++)
		report(&f, i, i == 3 ? 3 : 0);
	f.criteria.prefix = 43;
	assert_int_equal(count_chosen(&f, 3), 0);
	rt_fleet_prefix_event(f.fleet, &f.target[5], 43, true, f.now_us);
	assert_always(&f, 5);
	rt_fleet_prefix_event(f.fleet, &f.target[5], 43, false, f.now_us);
	assert_true(count_chosen(&f, 5) < 200);
	/* Another version, a new connection or expiry ends the entry. */
	f.criteria.prefix = 42;
	f.target[3].loaded = f.roots[1];
	rt_fleet_update(f.fleet, &f.target[3]);
	f.target[3].loaded = f.roots[0];
	rt_fleet_update(f.fleet, &f.target[3]);
	assert_int_equal(count_chosen(&f, 3), 0);
	rt_fleet_prefix_sent(f.fleet, &f.target[3], 42, f.now_us);
	assert_always(&f, 3);
	f.now_us += 200000 * MS;
	assert_true(count_chosen(&f, 3) < 200);
	rt_fleet_free(f.fleet);
}

/* The map is bounded and evicts the least recently used prefix. */
static void
test_prefix_bound(void **state)
{
	struct fixture f;
	uint64_t i;

	setup(&f, TARGETS);
	for (i = 1; i < 40000; i++) {
		rt_fleet_prefix_sent(f.fleet, &f.target[i % 2], i, f.now_us);
		f.criteria.prefix = 4;
		assert_true(choose(&f) == 0 || i < 4);
	}
	f.criteria.prefix = 6;
	assert_true(count_chosen(&f, 0) < 200);
	rt_fleet_free(f.fleet);
}

/* ------------------------------------------------------------------ */
/* Subsets                                                             */
/* ------------------------------------------------------------------ */

#define GATEWAYS 80
#define SIDECARS 300

struct net {
	char id[GATEWAYS + SIDECARS][8];
	struct rt_peer gateway[GATEWAYS];
	struct rt_peer sidecar[SIDECARS];
};

static void
make_net(struct net *net)
{
	static const char *const regions[] = { "r0", "r1", "r2" };
	static const char *const infos[] = { "e,engine,t,p,",
		"e,engine,t,p,;s,service,t,q,notes" };
	size_t i;

	for (i = 0; i < GATEWAYS + SIDECARS; i++) {
		struct rt_peer *p = i < GATEWAYS ? &net->gateway[i]
						 : &net->sidecar[i - GATEWAYS];

		g_snprintf(net->id[i], 8, "n%zu", i);
		*p = (struct rt_peer){
			.id = net->id[i],
			.region = regions[i % 3],
			.info = infos[i % 15 == 0],
		};
	}
}

/* Number of sidecars wanted by gateway `g` of the first `n`; counts each of
 * them in `per_sidecar`. */
static unsigned int
subset(struct net *net, size_t g, size_t n, unsigned int *per_sidecar)
{
	unsigned int wanted = 0, services = 0;
	size_t i;

	rt_subset(net->id[g], net->gateway, n, net->sidecar, SIDECARS);
	for (i = 0; i < SIDECARS; i++) {
		if (!net->sidecar[i].wanted)
			continue;
		wanted++;
		services += strstr(net->sidecar[i].info, "notes") != NULL;
		per_sidecar[i]++;
	}
	assert_true(services >= RT_SUBSET_SIDECARS);
	return wanted;
}

static void
test_subset(void **state)
{
	struct net *net = g_new0(struct net, 1);
	unsigned int per_sidecar[SIDECARS] = { 0 }, before, i;
	bool wanted_before[SIDECARS];

	make_net(net);
	/* Few gateways: all sidecars. */
	assert_int_equal(subset(net, 0, 3, per_sidecar), SIDECARS);
	memset(per_sidecar, 0, sizeof(per_sidecar));
	for (i = 0; i < GATEWAYS; i++)
		assert_in_range(subset(net, i, GATEWAYS, per_sidecar),
		    RT_SUBSET_SIDECARS,
		    SIDECARS * RT_SUBSET_GATEWAYS * 2 / GATEWAYS);
	for (i = 0; i < SIDECARS; i++)
		assert_in_range(per_sidecar[i], RT_SUBSET_GATEWAYS,
		    strstr(net->sidecar[i].info, "notes") != NULL
			? GATEWAYS /* there are few such sidecars */
			: RT_SUBSET_GATEWAYS * 5 / 4);
	/* A gateway leaves: the others keep their sidecars. */
	before = subset(net, 0, GATEWAYS, per_sidecar);
	for (i = 0; i < SIDECARS; i++)
		wanted_before[i] = net->sidecar[i].wanted;
	assert_true(subset(net, 0, GATEWAYS - 1, per_sidecar) >= before);
	for (i = 0; i < SIDECARS; i++)
		assert_true(net->sidecar[i].wanted || !wanted_before[i]);
	g_free(net);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_excluded),
		cmocka_unit_test(test_service),
		cmocka_unit_test(test_versions),
		cmocka_unit_test(test_lower_load_wins),
		cmocka_unit_test(test_spread),
		cmocka_unit_test(test_estimate),
		cmocka_unit_test(test_backoff),
		cmocka_unit_test(test_retry_after),
		cmocka_unit_test(test_silent_targets),
		cmocka_unit_test(test_silence_not_found_yet),
		cmocka_unit_test(test_dead_targets),
		cmocka_unit_test(test_idle_is_not_silent),
		cmocka_unit_test(test_stalled),
		cmocka_unit_test(test_prefix_hash),
		cmocka_unit_test(test_prefix_affinity),
		cmocka_unit_test(test_prefix_bound),
		cmocka_unit_test(test_subset),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
