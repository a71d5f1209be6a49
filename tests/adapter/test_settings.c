/* Operators' settings with values that no operator means. */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <string.h>

#include "platform/adapter.h"

/* Members that follow the valid ones of each part; of two members with one name,
 * the last counts. */
struct parts {
	const char *root, *route, *share, *service, *engine, *limits, *team;
	const char *name; /* of the entry; NULL: that of the operators' */
};

static char *
page_of(const struct parts *p)
{
#define PART(member) \
	p->member == NULL ? "" : ",", p->member == NULL ? "" : p->member
	return g_strdup_printf("{\"items\":[{\"metadata\":{\"name\":\"%s\","
			       "\"revision\":1},\"spec\":{\"version\":7,"
			       "\"routes\":[{\"name\":\"r\",\"host\":\"h\","
			       "\"pathPrefix\":\"/\",\"timeoutMs\":6000,"
			       "\"maxAttempts\":2,\"priority\":1,"
			       "\"trafficSplit\":[{\"service\":\"x\","
			       "\"weight\":9%s%s}]%s%s}],"
			       "\"services\":[{\"name\":\"x\",\"engine\":{"
			       "\"slots\":16,\"layers\":16,\"chunks\":64,"
			       "\"chunkBytes\":32768,\"models\":[{\"name\":"
			       "\"m\"}]%s%s}%s%s}],"
			       "\"limits\":{\"maxHeaderBytes\":100%s%s},"
			       "\"tenants\":[{\"name\":\"t\",\"apiKeys\":"
			       "[\"k\"]%s%s}]%s%s}}],\"at\":9}",
	    p->name == NULL ? "main" : p->name, PART(share), PART(route),
	    PART(engine), PART(service), PART(limits), PART(team), PART(root));
#undef PART
}

static bool
is_accepted(const struct parts *p)
{
	struct store_page page = { .items = g_array_new(FALSE, FALSE,
				       sizeof(struct store_item)) };
	struct err err = { 0 };
	char *text = page_of(p);
	struct store_item *item;
	bool accepted;

	assert_true(adapter_store.read_page(
	    &adapter_config, text, strlen(text), &page, &err));
	assert_int_equal(page.items->len, 1);
	item = &g_array_index(page.items, struct store_item, 0);
	accepted = item->value != NULL;
	if (accepted)
		adapter_config.free(item->value);
	else
		assert_true(item->why[0] != '\0');
	g_free(item->name);
	g_array_unref(page.items);
	g_free(text);
	return accepted;
}

/* The member of `parts` at `offset` is a number; each odd one is refused. */
static void
assert_odd_numbers_refused(size_t offset, const char *field)
{
	static const char *const numbers[] = { "-1", "-99999999999999999999",
		"18446744073709551617", "9223372036854775807", "1e400",
		"-1e400", "1.7e308", "\"7\"", "[7]", "{}", "true" };
	struct parts p = { 0 };
	char *member;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(numbers); i++) {
		member = g_strdup_printf("\"%s\":%s", field, numbers[i]);
		memcpy((char *)&p + offset, &member, sizeof(member));
		if (is_accepted(&p))
			fail_msg("accepted %s", member);
		g_free(member);
	}
	member = g_strdup_printf("\"%s\":null", field);
	memcpy((char *)&p + offset, &member, sizeof(member));
	assert_true(is_accepted(&p)); /* as an absent one */
	g_free(member);
}

/*
 * Guards against settings in force that no process can apply: 2^32 - 1 slots or
 * 2^64 - 1 chunks were sent to the sidecars, which refused the message and
 * stopped following the gateways.
 */
static void
test_numbers_out_of_range(void **state)
{
	static const struct {
		size_t part;
		const char *field;
	} fields[] = {
		{ offsetof(struct parts, route), "timeoutMs" },
		{ offsetof(struct parts, route), "targetLatencyMs" },
		{ offsetof(struct parts, route), "gapTargetMs" },
		{ offsetof(struct parts, route), "maxAttempts" },
		{ offsetof(struct parts, route), "priority" },
		{ offsetof(struct parts, share), "weight" },
		{ offsetof(struct parts, service), "maxConnections" },
		{ offsetof(struct parts, engine), "slots" },
		{ offsetof(struct parts, engine), "layers" },
		{ offsetof(struct parts, engine), "chunks" },
		{ offsetof(struct parts, engine), "chunkBytes" },
		{ offsetof(struct parts, engine), "read_per_s" },
		{ offsetof(struct parts, limits), "maxHeaderBytes" },
		{ offsetof(struct parts, limits), "maxBodyBytes" },
		{ offsetof(struct parts, limits), "headerTimeoutMs" },
		{ offsetof(struct parts, limits), "idleTimeoutMs" },
		{ offsetof(struct parts, team), "priority" },
	};
	struct parts none = { 0 };
	size_t i;

	assert_true(is_accepted(&none));
	for (i = 0; i < G_N_ELEMENTS(fields); i++)
		assert_odd_numbers_refused(fields[i].part, fields[i].field);
}

/* Guards against settings without routes, services or keys, as these were of
 * another type: all callers were refused. */
static void
test_parts_of_other_types(void **state)
{
	static const struct parts parts[] = {
		{ .root = "\"version\":0" },
		{ .root = "\"version\":18446744073709551617" },
		{ .root = "\"version\":-99999999999999999999" },
		{ .root = "\"version\":1e400" },
		{ .root = "\"version\":\"8\"" },
		{ .root = "\"routes\":{}" },
		{ .root = "\"routes\":7" },
		{ .root = "\"routes\":[7]" },
		{ .root = "\"routes\":[null]" },
		{ .root = "\"services\":\"x\"" },
		{ .root = "\"services\":[[]]" },
		{ .root = "\"tenants\":{}" },
		{ .root = "\"tenants\":[\"t\"]" },
		{ .root = "\"limits\":[]" },
		{ .route = "\"host\":7" },
		{ .route = "\"pathPrefix\":{}" },
		{ .route = "\"kind\":1" },
		{ .route = "\"resumable\":1" },
		{ .route = "\"allowAnonymous\":\"yes\"" },
		{ .route = "\"trafficSplit\":{}" },
		{ .route = "\"trafficSplit\":[7]" },
		{ .share = "\"service\":7" },
		{ .service = "\"engine\":[]" },
		{ .service = "\"engine\":\"e\"" },
		{ .service = "\"origin\":80" },
		{ .engine = "\"models\":\"m\"" },
		{ .team = "\"apiKeys\":\"k\"" },
		{ .team = "\"apiKeys\":[7,\"k\"]" },
		{ .team = "\"apiKeys\":[null,\"k\"]" },
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(parts); i++) {
		if (is_accepted(&parts[i]))
			fail_msg("accepted parts %zu", i);
	}
}

/* Guards against a stack that overflows, and against settings that lack what was
 * nested too deep. A field that nothing reads may hold anything. */
static void
test_deeply_nested(void **state)
{
	GString *deep = g_string_new("\"routes\":");
	GString *unread = g_string_new("\"comment\":");
	struct parts p = { 0 };
	size_t i;

	for (i = 0; i < 60000; i++) {
		g_string_append_c(deep, '[');
		g_string_append_c(unread, '[');
	}
	for (i = 0; i < 60000; i++) {
		g_string_append_c(deep, ']');
		g_string_append_c(unread, ']');
	}
	p.root = deep->str;
	assert_false(is_accepted(&p));
	p.root = unread->str;
	assert_true(is_accepted(&p));
	g_string_free(deep, TRUE);
	g_string_free(unread, TRUE);
}

/* Guards against text of the settings that adds lines to the headers of requests. */
static void
test_control_characters(void **state)
{
	assert_false(
	    is_accepted(&(struct parts){ .team = "\"name\":\"a\\r\\nX: b\"" }));
	assert_false(
	    is_accepted(&(struct parts){ .service = "\"name\":\"a\\nb\"" }));
	assert_true(is_accepted(&(struct parts){ .team = "\"name\":\"a b\"" }));
}

/* Guards against settings of another writer that replace the operators': they have
 * a name of their own, and a higher version. */
static void
test_settings_of_another_writer(void **state)
{
	static const char *const names[] = { "other", "main2", "Main", "",
		"a&b" };
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(names); i++)
		assert_false(is_accepted(&(struct parts){
		    .root = "\"version\":99", .name = names[i] }));
	assert_true(is_accepted(&(struct parts){ .root = "\"version\":99" }));
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_numbers_out_of_range),
		cmocka_unit_test(test_parts_of_other_types),
		cmocka_unit_test(test_deeply_nested),
		cmocka_unit_test(test_control_characters),
		cmocka_unit_test(test_settings_of_another_writer),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
