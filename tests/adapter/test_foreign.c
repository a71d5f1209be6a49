/* Entries that another writer put into the store, or that were corrupted. */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <string.h>

#include "platform/adapter.h"

#define GOOD                                                                  \
	"\"service\":\"x\",\"address\":\"1.2.3.4:80\",\"zone\":\"z\","        \
	"\"version\":\"v1\",\"slots\":16,\"sequence\":3,\"state\":\"ready\"," \
	"\"coldMs\":0,\"born\":1700000000123"

/* JSON of a store object with this spec. */
#define OBJECT(name, spec)                                                    \
	"{\"metadata\":{\"name\":\"" name "\",\"revision\":7},\"spec\":" spec \
	"}"

struct counts {
	guint good, bad;
	char last_good[SV_ID_MAX];
};

static bool
read_page(const struct store_kind *kind, const char *text, size_t len,
    struct counts *counts)
{
	struct store_page page = { 0 };
	struct store_item *item;
	struct err err = { 0 };
	bool ok;
	guint i;

	memset(counts, 0, sizeof(*counts));
	page.items = g_array_new(FALSE, FALSE, sizeof(struct store_item));
	ok = adapter_store.read_page(kind, text, len, &page, &err);
	for (i = 0; i < page.items->len; i++) {
		item = &g_array_index(page.items, struct store_item, i);
		if (item->value != NULL) {
			counts->good++;
			g_strlcpy(counts->last_good, item->name, SV_ID_MAX);
			kind->free(item->value);
		} else if (!item->removed) {
			counts->bad++;
			assert_true(item->why[0] != '\0');
		}
		g_free(item->name);
	}
	g_array_unref(page.items);
	return ok;
}

/* Reads a page with one entry of this spec between two valid ones. */
static void
read_between(const struct store_kind *kind, const char *good, const char *spec,
    struct counts *counts)
{
	char *text = g_strdup_printf(
	    "{\"items\":[{\"metadata\":{\"name\":\"a\",\"revision\":1},"
	    "\"spec\":{%s}},{\"metadata\":{\"name\":\"b\",\"revision\":2},"
	    "\"spec\":%s},{\"metadata\":{\"name\":\"c\",\"revision\":3},"
	    "\"spec\":{%s}}],\"hasMore\":false,\"at\":9}",
	    good, spec, good);

	assert_true(read_page(kind, text, strlen(text), counts));
	g_free(text);
}

/* Asserts that each of the specs is rejected, and that the valid entries in the
 * same page are read. */
static void
assert_rejected(const struct store_kind *kind, const char *good,
    const char *const *specs, size_t n)
{
	struct counts counts;
	size_t i;

	for (i = 0; i < n; i++) {
		read_between(kind, good, specs[i], &counts);
		if (counts.good != 2 || counts.bad != 1)
			fail_msg("accepted an invalid entry: %s", specs[i]);
	}
}

/*
 * An operator's script writes an entry without a state into the list of
 * engines. Read with defaults, it would be a ready engine with one slot, and
 * requests would be sent to whatever process listens at its address. Each of
 * these entries must be rejected, without the two valid ones in its page.
 */
static void
test_invalid_targets(void **state)
{
	static const char *const specs[] = {
		"null",
		"true",
		"17",
		"\"engine\"",
		"[]",
		"{}",
		"[[[[{}]]]]",
		/* a field is missing */
		"{\"service\":\"x\",\"address\":\"1.2.3.4:80\",\"zone\":\"z\","
		"\"version\":\"v1\",\"slots\":16,\"sequence\":3}",
		"{\"service\":\"x\",\"address\":\"1.2.3.4:80\",\"zone\":\"z\","
		"\"version\":\"v1\",\"sequence\":3,\"state\":\"ready\"}",
		"{\"service\":\"x\",\"address\":\"1.2.3.4:80\","
		"\"version\":\"v1\",\"slots\":16,\"sequence\":3,"
		"\"state\":\"ready\"}",
		/* a field is of another type or out of range (of two members
		 * with one name, the last counts) */
		"{" GOOD ",\"slots\":\"16\"}",
		"{" GOOD ",\"slots\":16.5}",
		"{" GOOD ",\"slots\":0}",
		"{" GOOD ",\"slots\":-3}",
		"{" GOOD ",\"slots\":99999999}",
		"{" GOOD ",\"slots\":true}",
		"{" GOOD ",\"slots\":[16]}",
		"{" GOOD ",\"slots\":18446744073709551632}",
		"{" GOOD ",\"slots\":-99999999999999999999}",
		"{" GOOD ",\"slots\":1e400}",
		"{" GOOD ",\"sequence\":-99999999999999999999}",
		"{" GOOD ",\"sequence\":1.7e308}",
		"{" GOOD ",\"born\":-99999999999999999999}",
		"{" GOOD ",\"born\":-1}",
		"{" GOOD ",\"service\":7}",
		"{" GOOD ",\"service\":\"\"}",
		"{" GOOD ",\"zone\":{}}",
		"{" GOOD ",\"version\":1}",
		"{" GOOD ",\"sequence\":\"3\"}",
		"{" GOOD ",\"born\":\"today\"}",
		"{" GOOD ",\"born\":1.5}",
		"{" GOOD ",\"models\":\"m\"}",
		/* the state or the address is invalid */
		"{" GOOD ",\"state\":\"melting\"}",
		"{" GOOD ",\"state\":1}",
		"{" GOOD ",\"address\":\"1.2.3.4\"}",
		"{" GOOD ",\"address\":\"1.2.3.4:0\"}",
		"{" GOOD ",\"address\":\"1.2.3.4:-1\"}",
		"{" GOOD ",\"address\":\"1.2.3.4:65536\"}",
		"{" GOOD ",\"address\":\"1.2.3.4:70000\"}",
		"{" GOOD ",\"address\":\"1.2.3.4:18446744073709551617\"}",
		"{" GOOD ",\"address\":\"1.2.3.400:80\"}",
		"{" GOOD ",\"address\":80}",
		"{" GOOD ",\"address\":\"1.2.3.4:80x\"}",
		"{" GOOD ",\"address\":\"example.org:80\"}",
		"{" GOOD ",\"address\":\"1.2.3.4.5.6.7.8.9.10.11:80\"}",
	};
	struct counts counts;

	assert_rejected(&adapter_targets, GOOD, specs, G_N_ELEMENTS(specs));
	read_between(&adapter_targets, GOOD, "{" GOOD "}", &counts);
	assert_int_equal(counts.good, 3);
}

/* Whether an entry of a ready engine is read as a target under this name, which is
 * JSON text. */
static bool
name_is_read(const char *name)
{
	char *text = g_strdup_printf(
	    "{\"items\":[{\"metadata\":{\"name\":\"%s\",\"revision\":1},"
	    "\"spec\":{" GOOD "}}],\"hasMore\":false,\"at\":9}",
	    name);
	struct counts counts;

	assert_true(read_page(&adapter_targets, text, strlen(text), &counts));
	g_free(text);
	return counts.good == 1;
}

/*
 * Guards against an entry of another writer that counts as an engine: its name is
 * sent in a header and stands in log lines, and no engine has such an id.
 */
static void
test_names_that_are_no_ids(void **state)
{
	static const char *const odd[] = { "", "a b", "a&b", "a+b", "a#b",
		"a%b", "a%41b", "a=b", "a\\nX-Tenant: b", "a\\r\\nb", "a\\tb",
		"a\\u0001b", "a\\u007fb", "a\\\"b", "a\\\\b", "\303\244", "a,b",
		"a;b" };
	static const char *const ids[] = { "i-7f3a91c2", "0", "10.1.2.3:8001",
		"engine_4.north~2", "north/engine-4" };
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(odd); i++) {
		if (name_is_read(odd[i]))
			fail_msg("read as an engine: '%s'", odd[i]);
	}
	for (i = 0; i < G_N_ELEMENTS(ids); i++)
		assert_true(name_is_read(ids[i]));
}

/* Guards against text of an entry that adds lines to a log. */
static void
test_control_characters(void **state)
{
	static const char *const targets[] = {
		"{" GOOD ",\"service\":\"x\\ny\"}",
		"{" GOOD ",\"zone\":\"z\\u007f\"}",
	};
	static const char version[] = "\"model\":\"m\",\"version\":2";
	static const char *const versions[] = {
		"{\"model\":\"m\\nt=1 ev=version\",\"version\":2}",
	};
	assert_rejected(&adapter_targets, GOOD, targets, G_N_ELEMENTS(targets));
	assert_rejected(&adapter_versions, version, versions, 1);
}

/*
 * Guards against an entry whose version of the weights is out of range: 2^64 + 1
 * was read as -1, and -10^20 as 1, and the entry counted as a ready target.
 */
static void
test_versions_of_weights_out_of_range(void **state)
{
	static const char *const versions[] = { "18446744073709551617",
		"9223372036854775808", "-99999999999999999999", "-1", "1e400",
		"1.7e308", "-1e400", "2.5", "\"2\"", "true", "[2]" };
	struct counts counts;
	char *spec;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(versions); i++) {
		spec = g_strdup_printf("{" GOOD ",\"models\":[{\"name\":\"m\","
				       "\"version\":%s}]}",
		    versions[i]);
		assert_rejected(
		    &adapter_targets, GOOD, (const char *const[]){ spec }, 1);
		g_free(spec);
	}
	read_between(&adapter_targets, GOOD,
	    "{" GOOD ",\"models\":[{\"name\":\"m\","
	    "\"version\":9223372036854775807}]}",
	    &counts);
	assert_int_equal(counts.good, 3);
}

/* Guards against an engine that gets no requests for a field that has no part
 * in any decision. */
static void
test_field_that_is_not_read(void **state)
{
	static const char *const values[] = { "1e400", "1.7e308",
		"18446744073709551617", "-99999999999999999999", "\"x\"",
		"{}" };
	struct counts counts;
	char *spec;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(values); i++) {
		spec = g_strdup_printf("{" GOOD ",\"coldMs\":%s}", values[i]);
		read_between(&adapter_targets, GOOD, spec, &counts);
		assert_int_equal(counts.good, 3);
		g_free(spec);
	}
}

static void
test_invalid_versions(void **state)
{
	static const char good[] = "\"model\":\"m\",\"version\":2";
	static const char *const specs[] = { "{}", "[]", "{\"model\":\"m\"}",
		"{\"version\":3}", "{\"model\":7,\"version\":3}",
		"{\"model\":\"m\",\"version\":\"3\"}",
		"{\"model\":\"m\",\"version\":3.5}",
		"{\"model\":\"m\",\"version\":0}",
		"{\"model\":\"m\",\"version\":-1}",
		"{\"model\":\"m\",\"version\":9223372036854775808}",
		"{\"model\":\"m\",\"version\":18446744073709551618}",
		"{\"model\":\"m\",\"version\":-99999999999999999999}",
		"{\"model\":\"m\",\"version\":1e400}",
		"{\"model\":\"m\",\"version\":1.7e308}" };

	assert_rejected(&adapter_versions, good, specs, G_N_ELEMENTS(specs));
}

/*
 * A parser rejects bytes that are not UTF-8, and overflows its stack on a value
 * of half a million brackets. In both cases, a single unusable entry would
 * leave a gateway without any engine.
 */
static void
test_unreadable_entries(void **state)
{
	GString *deep = g_string_new("{" GOOD ",\"models\":");
	struct counts counts;
	size_t i;

	read_between(&adapter_targets, GOOD, "\"\xff\xfe\x80\"", &counts);
	assert_int_equal(counts.good, 2);
	for (i = 0; i < 500000; i++)
		g_string_append_c(deep, '[');
	g_string_append(deep, "\"]\\\"{\"");
	for (i = 0; i < 500000; i++)
		g_string_append_c(deep, ']');
	g_string_append_c(deep, '}');
	read_between(&adapter_targets, GOOD, deep->str, &counts);
	assert_true(counts.good >= 2);
	assert_string_equal(counts.last_good, "c");
	g_string_free(deep, TRUE);
}

/* Arbitrary bytes may be rejected, but must cause no crash and no read past
 * their end. */
static void
test_corrupt_pages(void **state)
{
	static const char *const pages[] = {
		"{\"items\":[" OBJECT("a", "{" GOOD "}") "],\"at\":5}",
		"{\"events\":[{\"removed\":false,\"object\":" OBJECT("a",
		    "{\"model\":\"m\",\"version\":2,\"routes\":[{\"name\":"
		    "\"r\",\"trafficSplit\":[{\"service\":\"s\",\"weight\":9}"
		    "]}],\"services\":[{\"name\":\"s\",\"engine\":{\"models\":"
		    "[{\"name\":\"m\"}]}}],\"tenants\":[{\"apiKeys\":[\"k\"]}"
		    "]}") "}],\"at\":5}",
	};
	const struct store_kind *const kinds[] = { &adapter_targets,
		&adapter_versions, &adapter_config };
	struct counts counts;
	struct rng rng;
	int round;

	rng_seed(&rng, 17);
	for (round = 0; round < 6000; round++) {
		char *text = g_strdup(pages[round % 2]);
		size_t len = strlen(text);
		uint64_t hits = 1 + rng_below(&rng, 6);

		while (hits-- > 0)
			text[rng_below(&rng, len)] =
			    "{}[]\",:0-.e\\nt\x80\x01"[rng_below(&rng, 17)];
		read_page(
		    kinds[round % 3], text, len - rng_below(&rng, 3), &counts);
		g_free(text);
	}
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_invalid_targets),
		cmocka_unit_test(test_names_that_are_no_ids),
		cmocka_unit_test(test_control_characters),
		cmocka_unit_test(test_versions_of_weights_out_of_range),
		cmocka_unit_test(test_field_that_is_not_read),
		cmocka_unit_test(test_invalid_versions),
		cmocka_unit_test(test_unreadable_entries),
		cmocka_unit_test(test_corrupt_pages),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
