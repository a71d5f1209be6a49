/* Decoding of the platform's bodies into records, and rejection of malformed
 * bodies. */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <string.h>

#include "platform/adapter.h"

static struct store_item *
item(struct store_page *page, guint i)
{
	return &g_array_index(page->items, struct store_item, i);
}

static void
read_into(
    const struct store_kind *kind, const char *text, struct store_page *page)
{
	struct err err = { 0 };

	page->items = g_array_new(FALSE, FALSE, sizeof(struct store_item));
	assert_true(
	    adapter_store.read_page(kind, text, strlen(text), page, &err));
}

static void
free_page(const struct store_kind *kind, struct store_page *page)
{
	guint i;

	for (i = 0; i < page->items->len; i++) {
		g_free(item(page, i)->name);
		if (item(page, i)->value != NULL)
			kind->free(item(page, i)->value);
	}
	g_array_unref(page->items);
}

static void
test_config(void **state)
{
	static const char text[] =
	    "{\"items\":[{\"metadata\":{\"name\":\"main\",\"revision\":12},"
	    "\"spec\":{\"version\":7,\"routes\":[{\"name\":\"r\","
	    "\"host\":\"H.example\",\"pathPrefix\":\"/a/\","
	    "\"kind\":\"streaming\",\"timeoutMs\":6000,"
	    "\"targetLatencyMs\":400,\"priority\":1,\"trafficSplit\":["
	    "{\"service\":\"x\",\"weight\":9},{\"service\":\"y\",\"weight\":1}],"
	    "\"maxAttempts\":2,\"resumable\":true,\"gapTargetMs\":300}],"
	    "\"services\":[{\"name\":\"x\",\"maxConnections\":10,\"engine\":{"
	    "\"slots\":16,\"models\":[{\"name\":\"m\",\"warmS\":0.3}],"
	    "\"chunk\":2048,\"chunks\":64,\"chunkBytes\":32768}},"
	    "{\"name\":\"o\",\"origin\":\"1.2.3.4:5\",\"zone\":\"z\"}],"
	    "\"limits\":{\"maxHeaderBytes\":100},\"tenants\":["
	    "{\"name\":\"t\",\"apiKeys\":[\"k1\",\"k2\"],\"priority\":3}],"
	    "\"unknown\":{\"ignored\":[1]}}}],\"hasMore\":false,\"at\":13}";
	struct store_page page = { 0 };
	const struct sv_config *c;

	read_into(&adapter_config, text, &page);
	assert_int_equal(page.revision, 13);
	assert_false(page.more);
	assert_int_equal(item(&page, 0)->revision, 12);
	c = item(&page, 0)->value;
	assert_non_null(c);
	assert_int_equal(c->version, 7);
	assert_string_equal(c->routes[0].host, "h.example");
	assert_int_equal(c->routes[0].kind, SV_STREAM);
	assert_int_equal(c->routes[0].timeout_us, 6000000);
	assert_int_equal(c->routes[0].nshares, 2);
	assert_true(c->routes[0].resumable);
	assert_false(c->routes[0].anonymous);
	assert_true(c->services[0].has_engine);
	assert_string_equal(c->services[0].engine.model, "m");
	assert_int_equal(c->services[0].engine.prefill_step_max, 2048);
	assert_int_equal(c->services[0].engine.chunks, 64);
	assert_string_equal(c->services[1].origin, "1.2.3.4:5");
	assert_string_equal(c->services[1].domain, "z");
	assert_int_equal(c->head_bytes, 100);
	assert_string_equal(c->workspaces[0].keys[1], "k2");
	free_page(&adapter_config, &page);
}

static void
test_events(void **state)
{
	static const char text[] =
	    "{\"events\":[{\"removed\":true,\"object\":{\"metadata\":{"
	    "\"name\":\"i-1\",\"revision\":4}}},{\"removed\":false,"
	    "\"object\":{\"metadata\":{\"name\":\"i-2\",\"revision\":5},"
	    "\"spec\":{\"service\":\"x\",\"address\":\"1.2.3.4:80\","
	    "\"zone\":\"z\",\"version\":\"v1\",\"slots\":16,\"sequence\":3,"
	    "\"state\":\"draining\",\"born\":1700000000123,\"models\":["
	    "{\"name\":\"m\",\"version\":2,\"layers\":[{\"from\":0,\"to\":8,"
	    "\"version\":2},{\"from\":8,\"to\":16,\"version\":2}]}]}}}],"
	    "\"at\":5}";
	struct store_page page = { 0 };
	const struct sv_target *t;

	read_into(&adapter_targets, text, &page);
	assert_int_equal(page.items->len, 2);
	assert_true(item(&page, 0)->removed);
	t = item(&page, 1)->value;
	assert_string_equal(t->id, "i-2");
	assert_true(t->leaving);
	assert_string_equal(t->model, "m");
	assert_int_equal(t->model_version, 2);
	assert_true(t->start_ms == INT64_C(1700000000123));
	free_page(&adapter_targets, &page);
}

static int64_t
version_of(const char *models)
{
	struct sv_report report;
	struct err err = { 0 };
	char *text = g_strdup_printf("{\"models\":[%s],\"running\":3}", models);

	assert_true(adapter_report_read(text, strlen(text), &report, &err));
	g_free(text);
	assert_int_equal(report.running, 3);
	return report.version;
}

/* A model whose layers have two versions or a gap has no version: it would
 * serve requests from mixed weights. */
static void
test_only_complete_models_count(void **state)
{
	assert_int_equal(version_of("{\"name\":\"m\",\"version\":3}"), 3);
	assert_int_equal(version_of("{\"name\":\"m\",\"version\":3,\"layers\":["
				    "{\"from\":0,\"to\":16,\"version\":3}]}"),
	    3);
	assert_int_equal(version_of("{\"name\":\"m\",\"version\":3,\"layers\":["
				    "{\"from\":0,\"to\":4,\"version\":3},"
				    "{\"from\":8,\"to\":16,\"version\":3}]}"),
	    0);
	assert_int_equal(version_of("{\"name\":\"m\",\"version\":3,\"layers\":["
				    "{\"from\":0,\"to\":8,\"version\":3},"
				    "{\"from\":8,\"to\":16,\"version\":2}]}"),
	    0);
	assert_int_equal(
	    version_of("{\"name\":\"m\",\"version\":3,\"layers\":[]}"), 0);
	assert_int_equal(version_of(""), 0);
	assert_int_equal(version_of("{\"name\":\"m\",\"version\":null}"), 0);
	assert_int_equal(version_of("{\"name\":\"m\"}"), 0);
}

static bool
is_complete(const char *layers, unsigned int n)
{
	char *text = g_strdup_printf(
	    "{\"models\":[{\"name\":\"m\",\"version\":3}],\"layers\":%s}",
	    layers);
	struct sv_report report;
	struct err err = { 0 };

	assert_true(adapter_report_read(text, strlen(text), &report, &err));
	g_free(text);
	return report.version == 3 && sv_layers_complete(&report.layers, n);
}

/* Guards against requests to an engine that holds a part of its model: the layers
 * stand beside the models and were not read. */
static void
test_layers_beside_models(void **state)
{
	assert_true(is_complete("{\"from\":0,\"to\":16,\"version\":3}", 16));
	assert_true(is_complete("{\"from\":0,\"to\":16,\"version\":3}", 0));
	assert_false(is_complete("{\"from\":8,\"to\":16,\"version\":3}", 16));
	assert_false(is_complete("{\"from\":8,\"to\":16,\"version\":3}", 0));
	assert_false(is_complete("{\"from\":0,\"to\":8,\"version\":3}", 16));
	assert_false(is_complete("{\"from\":0,\"to\":16,\"version\":2}", 16));
	assert_false(is_complete("{\"from\":0,\"to\":0,\"version\":3}", 16));
	assert_false(is_complete("{\"from\":-1,\"to\":16}", 16));
	assert_false(is_complete("{\"from\":0,\"to\":4294967312}", 16));
	assert_false(is_complete("null", 16));
	assert_false(is_complete("7", 16));
}

static struct sv_report
report_with(const char *fields)
{
	struct sv_report report;
	struct err err = { 0 };
	char *text = g_strdup_printf("{\"models\":[{\"name\":\"m\","
				     "\"version\":3}],\"running\":3,"
				     "\"waiting\":1,\"pace\":1.5,"
				     "\"sequence\":2,\"born\":7,"
				     "\"kvUsed\":4,\"kvTotal\":5,%s}",
	    fields);

	assert_true(adapter_report_read(text, strlen(text), &report, &err));
	g_free(text);
	return report;
}

/*
 * Guards against an engine that its gateways no longer hear of: a field of its
 * report that is out of range was passed on as it was, and gateways refused the
 * sidecar's reports as a whole. The other fields hold.
 */
static void
test_report_fields_out_of_range(void **state)
{
	static const char *const numbers[] = { "-1", "18446744073709551617",
		"-99999999999999999999", "9223372036854775807", "1e400",
		"-1e400", "1.7e308", "\"7\"", "[7]", "null" };
	struct sv_report r;
	char *fields;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(numbers); i++) {
		fields = g_strdup_printf("\"running\":%s,\"waiting\":%s,"
					 "\"pace\":%s,\"kvUsed\":%s,"
					 "\"kvTotal\":%s",
		    numbers[i], numbers[i], numbers[i], numbers[i], numbers[i]);
		r = report_with(fields);
		g_free(fields);
		assert_int_equal(r.running, 0);
		assert_int_equal(r.waiting, 0);
		assert_true(r.slowdown == 0);
		assert_true(r.memory_used <= INT64_MAX);
		assert_true(r.memory_total <= INT64_MAX);
		assert_int_equal(r.version, 3);
		assert_int_equal(r.sequence, 2);
		assert_int_equal(r.start_ms, 7);
	}
	for (i = 0; i < G_N_ELEMENTS(numbers); i++) {
		if (strcmp(numbers[i], "9223372036854775807") == 0)
			continue;
		fields = g_strdup_printf(
		    "\"sequence\":%s,\"born\":%s", numbers[i], numbers[i]);
		r = report_with(fields);
		g_free(fields);
		assert_int_equal(r.sequence, -1);
		assert_int_equal(r.start_ms, 0);
		assert_int_equal(r.running, 3);
	}
	assert_int_equal(version_of("{\"name\":\"m\",\"version\":-1}"), 0);
	assert_int_equal(
	    version_of("{\"name\":\"m\",\"version\":18446744073709551617}"), 0);
}

static void
test_manifest(void **state)
{
	static const char good[] =
	    "{\"version\":2,\"chunkBytes\":32768,\"digests\":[\""
	    "00112233445566778899aabbccddeeff"
	    "00112233445566778899aabbccddeeff\"]}";
	static const char *const bad[] = { "{\"version\":2,\"digests\":[]}",
		"{\"version\":2,\"digests\":[\"0011\"]}",
		"{\"version\":2,\"digests\":[null]}",
		"{\"version\":2,\"digests\":[7]}", "{\"version\":2}", "[]", "",
		"{\"version\":2,\"dig" };
	GByteArray *list = g_byte_array_new();
	uint64_t chunk_bytes;
	struct err err = { 0 };
	size_t i;

	assert_true(adapter_manifest_read(
	    good, strlen(good), 2, list, &chunk_bytes, &err));
	assert_int_equal(list->len, DIGEST_BYTES);
	assert_int_equal(chunk_bytes, 32768);
	/* The manifest is of a version other than the requested one. */
	g_byte_array_set_size(list, 0);
	assert_false(adapter_manifest_read(
	    good, strlen(good), 3, list, &chunk_bytes, &err));
	for (i = 0; i < G_N_ELEMENTS(bad); i++) {
		g_byte_array_set_size(list, 0);
		assert_false(adapter_manifest_read(
		    bad[i], strlen(bad[i]), 2, list, &chunk_bytes, &err));
	}
	g_byte_array_unref(list);
}

/* Members of unexpected types, missing names and bodies that are not JSON are
 * rejected or skipped, never misread. */
static void
test_hostile_pages(void **state)
{
	static const char *const texts[] = {
		"{\"items\":[7,null,[],{}],\"at\":\"x\"}",
		"{\"items\":[{\"metadata\":[],\"spec\":1}]}",
		"{\"items\":[{\"metadata\":{\"name\":\"a\"},\"spec\":{"
		"\"version\":\"7\",\"routes\":{}}}]}",
		"{\"items\":[{\"metadata\":{\"name\":\"a\",\"revision\":1},"
		"\"spec\":{\"version\":1,\"routes\":[7,{}],\"services\":[null],"
		"\"tenants\":[{\"apiKeys\":[1,null]}]}}]}",
		"{\"events\":[{\"object\":7},7]}",
	};
	struct store_page page = { 0 };
	struct err err = { 0 };
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(texts); i++) {
		read_into(&adapter_config, texts[i], &page);
		free_page(&adapter_config, &page);
		read_into(&adapter_targets, texts[i], &page);
		free_page(&adapter_targets, &page);
		read_into(&adapter_versions, texts[i], &page);
		free_page(&adapter_versions, &page);
	}
	page.items = g_array_new(FALSE, FALSE, sizeof(struct store_item));
	assert_false(
	    adapter_store.read_page(&adapter_config, "{", 1, &page, &err));
	g_array_unref(page.items);
}

/* Guards against each of many changes of the settings being decoded, although one
 * answer has them all and only the newest counts. */
static void
test_replaced_settings_are_not_decoded(void **state)
{
#define SETTINGS(version)                                                    \
	"{\"object\":{\"metadata\":{\"name\":\"main\",\"revision\":" version \
	"},\"spec\":{\"version\":" version                                   \
	",\"routes\":[],\"services\":[],\"tenants\":[],\"limits\":{}}}}"
	static const char text[] = "{\"events\":[" SETTINGS(
	    "7") ",{}," SETTINGS("8") "," SETTINGS("9") "],\"at\":9}";
	const struct sv_config *config;
	struct store_page page = { 0 };

	read_into(&adapter_config, text, &page);
	assert_int_equal(page.items->len, 3);
	assert_true(item(&page, 0)->replaced && item(&page, 1)->replaced);
	assert_null(item(&page, 0)->value);
	assert_null(item(&page, 1)->value);
	assert_false(item(&page, 2)->replaced);
	config = item(&page, 2)->value;
	assert_non_null(config);
	assert_int_equal(config->version, 9);
	free_page(&adapter_config, &page);
}

static bool
page_is_read(const char *text, size_t len)
{
	struct store_page page = { .items = g_array_new(FALSE, FALSE,
				       sizeof(struct store_item)) };
	struct err err = { 0 };
	bool is_read =
	    adapter_store.read_page(&adapter_targets, text, len, &page, &err);

	free_page(&adapter_targets, &page);
	return is_read;
}

static bool
report_is_read(const char *text, size_t len)
{
	struct sv_report report;
	struct err err = { 0 };

	return adapter_report_read(text, len, &report, &err);
}

static bool
manifest_is_read(const char *text, size_t len)
{
	GByteArray *list = g_byte_array_new();
	uint64_t chunk_bytes;
	struct err err = { 0 };
	bool is_read =
	    adapter_manifest_read(text, len, 2, list, &chunk_bytes, &err);

	g_byte_array_unref(list);
	return is_read;
}

/* Guards against an answer without framing that is broken off and read as a
 * shorter list, report or manifest: an entry that is missing from a list counts
 * as gone. */
static void
test_truncated_bodies(void **state)
{
	static const struct {
		bool (*read)(const char *text, size_t len);
		const char *text;
	} bodies[] = {
		{ page_is_read,
		    "{\"items\":[{\"metadata\":{\"name\":\"a\",\"revision\":3},"
		    "\"spec\":{\"service\":\"x\",\"address\":\"1.2.3.4:80\","
		    "\"zone\":\"z\",\"version\":\"v\",\"slots\":16,"
		    "\"state\":\"ready\",\"sequence\":3}},"
		    "{\"metadata\":{\"name\":\"b\",\"revision\":4},"
		    "\"spec\":{}}],\"at\":5}" },
		{ page_is_read,
		    "{\"at\":5,\"events\":[{\"removed\":true,\"object\":"
		    "{\"metadata\":{\"name\":\"b\",\"revision\":4}}}]}" },
		{ report_is_read,
		    "{\"running\":1,\"waiting\":0,\"sequence\":2,"
		    "\"models\":[],\"busy\":false}" },
		{ manifest_is_read,
		    "{\"version\":2,\"chunkBytes\":32768,\"digests\":[\""
		    "00112233445566778899aabbccddeeff"
		    "00112233445566778899aabbccddeeff\"]}" },
	};
	size_t i, len;

	for (i = 0; i < G_N_ELEMENTS(bodies); i++) {
		len = strlen(bodies[i].text);
		assert_true(bodies[i].read(bodies[i].text, len));
		while (len-- > 0) {
			if (bodies[i].read(bodies[i].text, len))
				fail_msg("read %.*s", (int)len, bodies[i].text);
		}
	}
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_replaced_settings_are_not_decoded),
		cmocka_unit_test(test_config),
		cmocka_unit_test(test_events),
		cmocka_unit_test(test_only_complete_models_count),
		cmocka_unit_test(test_layers_beside_models),
		cmocka_unit_test(test_report_fields_out_of_range),
		cmocka_unit_test(test_manifest),
		cmocka_unit_test(test_hostile_pages),
		cmocka_unit_test(test_truncated_bodies),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
