/* Decoding of header fields. */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <json-glib/json-glib.h>
#include <string.h>

#include "platform/adapter.h"

#define PARTS 16

/* The ids that are found, separated by commas. */
static char *
shared_parts(const char *value)
{
	struct slice ids[PARTS];
	GString *found = g_string_new(NULL);
	size_t n = adapter_headers.shared_parts(slice_str(value), ids, PARTS);
	size_t i;

	for (i = 0; i < n; i++)
		g_string_append_printf(found, "%s%.*s", i > 0 ? "," : "",
		    (int)ids[i].len, (const char *)ids[i].data);
	return g_string_free(found, FALSE);
}

static void
expect_parts(const char *value, const char *expected)
{
	char *found = shared_parts(value);

	assert_string_equal(found, expected);
	g_free(found);
}

static void
test_last_part_is_not_shared(void **state)
{
	expect_parts(
	    "5c1e07a2:800,91bd3f06:410,e4402b7d:250", "5c1e07a2,91bd3f06");
	expect_parts("5c1e07a2:800", "");
	expect_parts("", "");
	expect_parts(NULL, "");
}

/* Guards against lists that callers made up. */
static void
test_malformed_parts(void **state)
{
	expect_parts(",,:7,a:1", "");
	expect_parts("a,b:,:,c:1:2,d", "a,b,c");
	expect_parts(" a : 1 ,\tb:2, c", "a,b");
	expect_parts("a:1,a:1,a:1", "a,a");
	expect_parts("a:1,", "a");
}

/* Guards against one part with two names. */
static void
test_leading_zeros_are_dropped(void **state)
{
	expect_parts("00c1:8,000:4,0:1,c1:2,x", "c1,0,0,c1");
}

/* Guards against a caller whose list does not fit. */
static void
test_long_lists_are_cut_off(void **state)
{
	GString *list = g_string_new(NULL);
	char *found;
	int i;

	for (i = 0; i < 10000; i++)
		g_string_append(list, "f:1,");
	found = shared_parts(list->str);
	assert_int_equal(strlen(found), 2 * PARTS - 1);
	g_free(found);
	g_string_free(list, TRUE);
}

#define DIGEST_A \
	"00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff"

/* Whether a list of version 2 with these members can be read; its size of chunks
 * in `chunk_bytes`. */
static bool
manifest_is_read(const char *members, uint64_t *chunk_bytes)
{
	char *body = g_strdup_printf("{\"model\":\"m\",%s}", members);
	GByteArray *list = g_byte_array_new();
	struct err err = { 0 };
	bool read = adapter_manifest_read(
	    body, strlen(body), 2, list, chunk_bytes, &err);

	if (read)
		assert_int_equal(list->len % DIGEST_BYTES, 0);
	else
		assert_string_not_equal(err.message, "");
	g_byte_array_unref(list);
	g_free(body);
	return read;
}

static void
expect_order(const struct sv_load *load, const char *expected)
{
	char *body = adapter_order_load(load);

	assert_string_equal(body, expected);
	g_free(body);
}

static void
test_orders_to_load(void **state)
{
	struct sv_load load = { .model = "m", .version = 2, .sequence = -1 };

	expect_order(&load,
	    "{\"operation\":\"start\",\"model\":\"m\",\"version\":2,"
	    "\"switchMode\":\"queue\"}");
	load.preempt = true;
	load.sequence = 0;
	load.layers = (struct sv_layers){ 8, 16 };
	expect_order(&load,
	    "{\"operation\":\"start\",\"model\":\"m\",\"version\":2,"
	    "\"switchMode\":\"preempt\",\"from\":8,\"to\":16,"
	    "\"precondition\":0}");
}

/* Guards against corrupted lists of digests that are read as valid ones. */
static void
test_corrupted_manifests_are_refused(void **state)
{
	static const char *const corrupted[] = {
		"\"version\":2,\"digests\":[\"" DIGEST_A "\"]",
		"\"version\":2,\"chunkBytes\":0,\"digests\":[\"" DIGEST_A "\"]",
		"\"version\":2,\"chunkBytes\":-32768,\"digests\":[\"" DIGEST_A
		"\"]",
		"\"version\":2,\"chunkBytes\":1e3,\"digests\":[\"" DIGEST_A
		"\"]",
		"\"version\":2,\"chunkBytes\":null,\"digests\":[\"" DIGEST_A
		"\"]",
		"\"version\":2,\"chunkBytes\":\"32768\",\"digests\":[\"" DIGEST_A
		"\"]",
		"\"version\":2,\"chunkBytes\":true,\"digests\":[\"" DIGEST_A
		"\"]",
		"\"version\":2,\"chunkBytes\":32768,\"digests\":[]",
		"\"version\":2,\"chunkBytes\":32768,\"digests\":{}",
		"\"version\":2,\"chunkBytes\":32768,\"digests\":[[]]",
		"\"version\":2,\"chunkBytes\":32768,\"digests\":[7,null]",
		"\"version\":2,\"chunkBytes\":32768,\"digests\":[\"00\"]",
		"\"version\":2,\"chunkBytes\":32768,\"digests\":[\"" DIGEST_A
		"\",{}]",
		"\"version\":3,\"chunkBytes\":32768,\"digests\":[\"" DIGEST_A
		"\"]",
		"\"version\":2.0,\"chunkBytes\":32768,\"digests\":[\"" DIGEST_A
		"\"]",
	};
	uint64_t chunk_bytes = 0;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(corrupted); i++)
		assert_false(manifest_is_read(corrupted[i], &chunk_bytes));
	assert_true(manifest_is_read(
	    "\"version\":2,\"chunkBytes\":72768,\"digests\":[\"" DIGEST_A
	    "\",\"" DIGEST_A "\"]",
	    &chunk_bytes));
	assert_int_equal(chunk_bytes, 72768);
}

/* Names that another writer chose, with characters that have a meaning in a path,
 * a query or a document. */
static const char *const odd_names[] = { "a&b", "a+b", "a#b", "a%b", "a%41b",
	"a b", "a=b", "a/b?c", "a\"b\\c", "a\r\nb", "\303\244", "" };

/* Frees the path, which must consist of `before`, the escaped name and `after`. */
static void
expect_escaped(
    char *path, const char *before, const char *name, const char *after)
{
	char *middle, *decoded;
	size_t end;

	assert_true(g_str_has_prefix(path, before));
	assert_true(g_str_has_suffix(path, after));
	end = strlen(path) - strlen(after);
	middle = g_strndup(path + strlen(before), end - strlen(before));
	if (strspn(middle,
		"abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
		"0123456789-._~%") != strlen(middle))
		fail_msg("not escaped: %s", path);
	decoded = g_uri_unescape_string(middle, NULL);
	assert_string_equal(decoded, name);
	g_free(decoded);
	g_free(middle);
	g_free(path);
}

/* Guards against an entry whose name changes the query of the next page, so that
 * the list is never read to its end. */
static void
test_names_in_list_paths(void **state)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(odd_names); i++)
		expect_escaped(
		    adapter_store.list_path(&adapter_targets, odd_names[i]),
		    "/-/objects/servers?after=", odd_names[i], "");
}

/* The same for the names of models, which versions and engines' reports bring. */
static void
test_names_in_paths_of_weights(void **state)
{
	const char *name;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(odd_names); i++) {
		name = odd_names[i];
		expect_escaped(adapter_stage_path(name, 3, true),
		    "/-/stage-put/", name, "?itemCount=3");
		expect_escaped(adapter_stage_path(name, 3, false),
		    "/-/stage-get/", name, "?itemCount=3");
		expect_escaped(adapter_manifest_path(name, 2), "/-/manifest/",
		    name, "?version=2");
		expect_escaped(adapter_chunk_path(name, 2, 5), "/-/piece/",
		    name, "?itemCount=5&version=2");
	}
}

/* Guards against a model whose name adds members to an order. */
static void
test_names_in_orders(void **state)
{
	struct sv_load load = { .version = 2, .sequence = -1 };
	JsonParser *parser;
	JsonObject *order;
	char *body;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(odd_names); i++) {
		load.model = odd_names[i];
		body = adapter_order_load(&load);
		parser = json_parser_new();
		assert_true(json_parser_load_from_data(parser, body, -1, NULL));
		order = json_node_get_object(json_parser_get_root(parser));
		assert_string_equal(
		    json_object_get_string_member(order, "model"),
		    odd_names[i]);
		assert_int_equal(json_object_get_size(order), 4);
		g_object_unref(parser);
		g_free(body);
	}
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_last_part_is_not_shared),
		cmocka_unit_test(test_malformed_parts),
		cmocka_unit_test(test_leading_zeros_are_dropped),
		cmocka_unit_test(test_long_lists_are_cut_off),
		cmocka_unit_test(test_orders_to_load),
		cmocka_unit_test(test_corrupted_manifests_are_refused),
		cmocka_unit_test(test_names_in_list_paths),
		cmocka_unit_test(test_names_in_paths_of_weights),
		cmocka_unit_test(test_names_in_orders),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
