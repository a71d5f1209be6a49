/* Placement: the same hosts for the same members; a loss moves one replica. */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <string.h>

#include "route/route.h"

#define HOSTS 20

static const char *domains[] = { "a", "b", NULL };
static const char *any_domain[] = { NULL };

static struct rt_model
make_model(const char **in, unsigned int hosts)
{
	struct rt_model model = {
		.name = "m", .pool = "large", .domains = in, .hosts = hosts
	};

	return model;
}

/* Offers h0..h19 in steps of `step`, except for `excluded`. */
static GArray *
place(const struct rt_model *model, unsigned int step, unsigned int excluded)
{
	struct rt_place *p = rt_place_new("t", model);
	char id[16], address[32];
	unsigned int i, n;

	for (i = 0; i < HOSTS; i++) {
		n = i * step % HOSTS;
		if (n == excluded)
			continue;
		g_snprintf(id, sizeof(id), "h%u", n);
		g_snprintf(address, sizeof(address), "127.0.0.1:%u", 1000 + n);
		rt_place_add_host(p, id, address, n % 2 == 0 ? "a" : "b",
		    "s,service,t,large,notes;e,engine,t,large,");
	}
	return rt_place_finish(p);
}

static const struct rt_place_host *
at(const GArray *hosts, guint i)
{
	return &g_array_index(hosts, struct rt_place_host, i);
}

static void
test_same_hosts_for_same_members(void **state)
{
	struct rt_model model = make_model(domains, 5);
	GArray *x = place(&model, 1, HOSTS), *y = place(&model, 7, HOSTS);
	guint i;

	assert_int_equal(x->len, 5);
	assert_int_equal(y->len, 5);
	for (i = 0; i < 5; i++)
		assert_string_equal(at(x, i)->id, at(y, i)->id);
	g_array_unref(x);
	g_array_unref(y);
}

static void
test_loss_moves_one_replica(void **state)
{
	struct rt_model model = make_model(domains, 5);
	GArray *before = place(&model, 1, HOSTS), *after;
	unsigned int lost =
	    (unsigned int)g_ascii_strtoull(at(before, 2)->id + 1, NULL, 10);
	guint i, nkept = 0;

	after = place(&model, 1, lost);
	assert_int_equal(after->len, 5);
	for (i = 0; i < 5; i++)
		nkept += rt_place_has(after, at(before, i)->id) ? 1 : 0;
	assert_int_equal(nkept, 4);
	assert_false(rt_place_has(after, at(before, 2)->id));
	g_array_unref(before);
	g_array_unref(after);
}

static void
test_all_eligible_hosts(void **state)
{
	struct rt_model model = make_model(any_domain, 0);
	GArray *hosts = place(&model, 1, HOSTS);

	assert_int_equal(hosts->len, HOSTS);
	g_array_unref(hosts);
	model = make_model(domains, 100);
	hosts = place(&model, 1, HOSTS);
	assert_int_equal(hosts->len, HOSTS);
	g_array_unref(hosts);
}

static void
test_no_eligible_host(void **state)
{
	static const struct {
		const char *domain;
		const char *info;
	} offers[] = {
		{ "c", "e,engine,t,large," },
		{ "a", "e,engine,u,large," },
		{ "a", "e,engine,t,small," },
		{ "a", "e,service,t,large,notes" },
		{ "a", "" },
	};
	struct rt_model model = make_model(domains, 0);
	struct rt_place *p = rt_place_new("t", &model);
	GArray *hosts;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(offers); i++)
		rt_place_add_host(
		    p, "h", "127.0.0.1:1", offers[i].domain, offers[i].info);
	hosts = rt_place_finish(p);
	assert_int_equal(hosts->len, 0);
	g_array_unref(hosts);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_same_hosts_for_same_members),
		cmocka_unit_test(test_loss_moves_one_replica),
		cmocka_unit_test(test_all_eligible_hosts),
		cmocka_unit_test(test_no_eligible_host),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
