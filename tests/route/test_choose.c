/* Choice of a target: who may be used, and which of two is taken. */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <string.h>

#include "route/route.h"

#define NOW 1000000

struct fleet {
	struct rt_targets list;
	struct rt_target target[8];
	struct digest root;
	struct rng rng;
	struct rt_wish wish;
};

static void
make_fleet(struct fleet *f, size_t n)
{
	size_t i;

	memset(f, 0, sizeof(*f));
	TAILQ_INIT(&f->list);
	digest_of("v1", 2, &f->root);
	rng_seed(&f->rng, 1);
	for (i = 0; i < n; i++) {
		f->target[i] = (struct rt_target){
			.domain = "a",
			.team = "t",
			.pool = "p",
			.loaded = f->root,
			.reachable = true,
			.accepting = true,
			.slots = 10,
		};
		TAILQ_INSERT_TAIL(&f->list, &f->target[i], link);
	}
	f->wish = (struct rt_wish){
		.team = "t",
		.pool = "p",
		.roots = &f->root,
		.nroots = 1,
		.domain = "a",
	};
}

static bool
may(const struct fleet *f)
{
	return rt_may_use(&f->target[0], &f->wish, NOW);
}

static void
test_may_use(void **state)
{
	struct fleet f;
	const struct rt_target *tried[1] = { &f.target[0] };

	make_fleet(&f, 1);
	assert_true(may(&f));
	f.target[0].reachable = false;
	assert_false(may(&f));
	make_fleet(&f, 1);
	f.target[0].accepting = false;
	assert_false(may(&f));
	make_fleet(&f, 1);
	f.target[0].resting_until_us = NOW + 1;
	assert_false(may(&f));
	f.target[0].resting_until_us = NOW;
	assert_true(may(&f));
	f.wish.tried = tried;
	f.wish.ntried = 1;
	assert_false(may(&f));
	make_fleet(&f, 1);
	f.wish.team = "u";
	assert_false(may(&f));
	make_fleet(&f, 1);
	f.wish.pool = "q";
	assert_false(may(&f));
	make_fleet(&f, 1);
	digest_of("v2", 2, &f.target[0].loaded);
	assert_false(may(&f));
	make_fleet(&f, 1);
	f.wish.nroots = 0;
	assert_false(may(&f));
}

static void
test_may_use_service(void **state)
{
	struct fleet f;

	make_fleet(&f, 1);
	f.wish.service = "notes";
	assert_false(may(&f)); /* an engine */
	f.target[0].kind = RT_SERVICE;
	g_strlcpy(f.target[0].service, "notes", sizeof(f.target[0].service));
	assert_true(may(&f));
	f.wish.pool = "q"; /* a team may run a service in several pools */
	assert_false(may(&f));
	f.wish.pool = "p";
	f.wish.service = "other";
	assert_false(may(&f));
	f.wish.service = NULL;
	assert_false(may(&f)); /* a model's request */
}

static struct rt_target *
choose(struct fleet *f)
{
	return rt_choose(&f->list, &f->wish, NOW, &f->rng);
}

static void
test_none_and_one(void **state)
{
	struct fleet f;

	make_fleet(&f, 0);
	assert_null(choose(&f));
	make_fleet(&f, 3);
	f.target[0].accepting = false;
	f.target[2].reachable = false;
	assert_ptr_equal(choose(&f), &f.target[1]);
}

static void
test_lower_load_wins(void **state)
{
	struct fleet f;
	int i;

	make_fleet(&f, 2);
	f.target[0].told_running = 5;
	f.target[1].own_running = 4;
	for (i = 0; i < 20; i++)
		assert_ptr_equal(choose(&f), &f.target[1]);
	/* Relative to the slots. */
	f.target[0].slots = 100;
	for (i = 0; i < 20; i++)
		assert_ptr_equal(choose(&f), &f.target[0]);
}

static void
test_own_domain_first(void **state)
{
	struct fleet f;
	int i;

	make_fleet(&f, 2);
	g_strlcpy(f.target[0].domain, "b", sizeof(f.target[0].domain));
	for (i = 0; i < 20; i++)
		assert_ptr_equal(choose(&f), &f.target[1]);
	f.target[1].own_running = 5;
	for (i = 0; i < 20; i++)
		assert_ptr_equal(choose(&f), &f.target[0]);
}

/* Equal targets get equal shares: the draw leaves none out. */
static void
test_spread(void **state)
{
	struct fleet f;
	unsigned int got[8] = { 0 };
	int i;

	make_fleet(&f, 8);
	for (i = 0; i < 8000; i++)
		got[choose(&f) - f.target]++;
	for (i = 0; i < 8; i++)
		assert_in_range(got[i], 700, 1300);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_may_use),
		cmocka_unit_test(test_may_use_service),
		cmocka_unit_test(test_none_and_one),
		cmocka_unit_test(test_lower_load_wins),
		cmocka_unit_test(test_own_domain_first),
		cmocka_unit_test(test_spread),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
