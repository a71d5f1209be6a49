/* Entries that another writer put into the store, or that were spoilt there. */

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

/* An object of the store with this spec. */
#define OBJECT(name, spec)                                                    \
	"{\"metadata\":{\"name\":\"" name "\",\"revision\":7},\"spec\":" spec \
	"}"

struct seen {
	guint good, bad;
	char last_good[SV_ID_MAX];
};

static bool
read_text(const struct store_kind *kind, const char *text, size_t len,
    struct seen *seen)
{
	struct store_page page = { 0 };
	struct store_item *item;
	struct err err = { 0 };
	bool ok;
	guint i;

	memset(seen, 0, sizeof(*seen));
	page.items = g_array_new(FALSE, FALSE, sizeof(struct store_item));
	ok = adapter_store.read_page(kind, text, len, &page, &err);
	for (i = 0; i < page.items->len; i++) {
		item = &g_array_index(page.items, struct store_item, i);
		if (item->value != NULL) {
			seen->good++;
			g_strlcpy(seen->last_good, item->name, SV_ID_MAX);
			kind->free(item->value);
		} else if (!item->removed) {
			seen->bad++;
			assert_true(item->why[0] != '\0');
		}
		g_free(item->name);
	}
	g_array_unref(page.items);
	return ok;
}

/* A page with one entry of this spec between two good ones. */
static void
read_between(const struct store_kind *kind, const char *good, const char *spec,
    struct seen *seen)
{
	char *text = g_strdup_printf(
	    "{\"items\":[{\"metadata\":{\"name\":\"a\",\"revision\":1},"
	    "\"spec\":{%s}},{\"metadata\":{\"name\":\"b\",\"revision\":2},"
	    "\"spec\":%s},{\"metadata\":{\"name\":\"c\",\"revision\":3},"
	    "\"spec\":{%s}}],\"hasMore\":false,\"at\":9}",
	    good, spec, good);

	assert_true(read_text(kind, text, strlen(text), seen));
	g_free(text);
}

/* None of these entries names anything, and those beside it hold. */
static void
expect_foreign(const struct store_kind *kind, const char *good,
    const char *const *specs, size_t n)
{
	struct seen seen;
	size_t i;

	for (i = 0; i < n; i++) {
		read_between(kind, good, specs[i], &seen);
		if (seen.good != 2 || seen.bad != 1)
			fail_msg("taken for one of ours: %s", specs[i]);
	}
}

/*
 * An operator's script writes an entry without a state beside the engines'
 * own. Read with a fallback it is a ready engine with one place, and callers'
 * requests go to whatever stands at its address. None of these names an
 * engine; the two entries beside it hold.
 */
static void
test_entries_that_name_no_target(void **state)
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
		/* or of another type (the last of two members counts) */
		"{" GOOD ",\"slots\":\"16\"}",
		"{" GOOD ",\"slots\":16.5}",
		"{" GOOD ",\"slots\":0}",
		"{" GOOD ",\"slots\":-3}",
		"{" GOOD ",\"slots\":99999999}",
		"{" GOOD ",\"slots\":true}",
		"{" GOOD ",\"slots\":[16]}",
		"{" GOOD ",\"service\":7}",
		"{" GOOD ",\"service\":\"\"}",
		"{" GOOD ",\"zone\":{}}",
		"{" GOOD ",\"version\":1}",
		"{" GOOD ",\"sequence\":\"3\"}",
		"{" GOOD ",\"born\":\"today\"}",
		"{" GOOD ",\"born\":1.5}",
		"{" GOOD ",\"models\":\"m\"}",
		/* no state or address of ours */
		"{" GOOD ",\"state\":\"melting\"}",
		"{" GOOD ",\"state\":1}",
		"{" GOOD ",\"address\":\"1.2.3.4\"}",
		"{" GOOD ",\"address\":\"1.2.3.4:0\"}",
		"{" GOOD ",\"address\":\"1.2.3.4:80x\"}",
		"{" GOOD ",\"address\":\"example.org:80\"}",
		"{" GOOD ",\"address\":\"1.2.3.4.5.6.7.8.9.10.11:80\"}",
	};
	struct seen seen;

	expect_foreign(&adapter_targets, GOOD, specs, G_N_ELEMENTS(specs));
	read_between(&adapter_targets, GOOD, "{" GOOD "}", &seen);
	assert_int_equal(seen.good, 3);
}

static void
test_entries_that_name_no_version(void **state)
{
	static const char good[] = "\"model\":\"m\",\"version\":2";
	static const char *const specs[] = { "{}", "[]", "{\"model\":\"m\"}",
		"{\"version\":3}", "{\"model\":7,\"version\":3}",
		"{\"model\":\"m\",\"version\":\"3\"}",
		"{\"model\":\"m\",\"version\":3.5}",
		"{\"model\":\"m\",\"version\":0}",
		"{\"model\":\"m\",\"version\":-1}" };

	expect_foreign(&adapter_versions, good, specs, G_N_ELEMENTS(specs));
}

/*
 * Bytes that are no UTF-8, and a value of half a million brackets: a parser
 * refuses the one and overflows its stack on the other. Either way a gateway
 * would know no engine at all, for one entry that it has no use for.
 */
static void
test_bytes_that_cannot_be_read(void **state)
{
	GString *deep = g_string_new("{" GOOD ",\"models\":");
	struct seen seen;
	size_t i;

	read_between(&adapter_targets, GOOD, "\"\xff\xfe\x80\"", &seen);
	assert_int_equal(seen.good, 2);
	for (i = 0; i < 500000; i++)
		g_string_append_c(deep, '[');
	g_string_append(deep, "\"]\\\"{\"");
	for (i = 0; i < 500000; i++)
		g_string_append_c(deep, ']');
	g_string_append_c(deep, '}');
	read_between(&adapter_targets, GOOD, deep->str, &seen);
	assert_true(seen.good >= 2);
	assert_string_equal(seen.last_good, "c");
	g_string_free(deep, TRUE);
}

/* Any bytes at all may be refused, but neither crash nor be read beyond. */
static void
test_spoilt_pages(void **state)
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
	struct seen seen;
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
		read_text(
		    kinds[round % 3], text, len - rng_below(&rng, 3), &seen);
		g_free(text);
	}
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_entries_that_name_no_target),
		cmocka_unit_test(test_entries_that_name_no_version),
		cmocka_unit_test(test_bytes_that_cannot_be_read),
		cmocka_unit_test(test_spoilt_pages),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
