/* Matching requests to routes and services. */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <string.h>

#include "serve/rtab.h"

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
 * The requests of an engine may be cut off for a change of version only if
 * every route to its service carries streams that can be resumed at another
 * target; any other caller would see a truncated answer.
 */
static void
test_which_services_may_be_cut_off(void **state)
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
	assert_false(sv_config_may_cut(c, "a")); /* in both routes */
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

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_which_services_may_be_cut_off),
		cmocka_unit_test(test_longest_prefix),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
