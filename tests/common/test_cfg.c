/* Settings tree: refused documents, accessors, edits, printing of a schema. */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <string.h>

#include "common/common.h"

static const struct cfg_rule rules[] = {
	{ .path = "node", .type = CFG_MAP, .required = true },
	{ .path = "node.id",
	    .type = CFG_STRING,
	    .required = true,
	    .min = 1,
	    .max = 4,
	    .form = CFG_NAME,
	    .about = "A name." },
	{ .path = "node.key", .type = CFG_STRING, .form = CFG_HEX },
	{ .path = "node.at", .type = CFG_STRING, .form = CFG_ADDRESS },
	{ .path = "node.url", .type = CFG_STRING, .form = CFG_URL },
	{ .path = "node.kind", .type = CFG_STRING, .choices = "fast|slow" },
	{ .path = "node.wait_ms",
	    .type = CFG_INT,
	    .min = 1,
	    .max = 9,
	    .fallback = "5",
	    .unit = "ms" },
	{ .path = "node.free", .type = CFG_INT },
	{ .path = "node.on", .type = CFG_BOOL, .fallback = "true" },
	{ .path = "list", .type = CFG_LIST, .min = 0, .max = 2 },
	{ .path = "list.[]", .type = CFG_MAP },
	{ .path = "list.[].n", .type = CFG_INT, .fallback = "7" },
	{ .path = "any", .type = CFG_MAP },
	{ .path = "any.*", .type = CFG_MAP },
	{ .path = "any.*.n", .type = CFG_INT, .required = true },
};
static const struct cfg_schema schema = { rules, G_N_ELEMENTS(rules) };

static const char valid_document[] = "node:\n"
				     "  id: 'a-1'\n"
				     "  free: -3\n"
				     "list:\n"
				     "  - {n: 1}\n"
				     "  - {}\n"
				     "any: {b: {n: 2}, a: {n: 3}}\n";

static struct cfg *
parse(const char *text, struct err *err)
{
	return cfg_parse("f", text, strlen(text), &schema, err);
}

static struct cfg *
parse_valid(const char *text)
{
	struct err err = { 0 };
	struct cfg *cfg = parse(text, &err);

	assert_string_equal(err.message, "");
	assert_non_null(cfg);
	return cfg;
}

static void
assert_refused(const char *text, size_t len, const char *message)
{
	struct err err = { 0 };

	assert_null(cfg_parse("f", text, len, &schema, &err));
	assert_string_equal(err.message, message);
	assert_int_equal(err.code, ERR_INVALID);
	assert_int_equal(err.verdict, VERDICT_NOT_RUN);
}

/* A text appended to a valid document after the id, and the error for it. */
static const struct {
	const char *text;
	const char *message;
} refusals[] = {
	{ "  wiat_ms: 3",
	    "f:3: key 'node.wiat_ms': unknown key, did you mean "
	    "'wait_ms'?; allowed: id, key, at, url, kind, "
	    "wait_ms, free, on" },
	{ "zz: 1", "f:3: key 'zz': unknown key; allowed: node, list, any" },
	{ "any: {a: {x: 1}}", "f:3: key 'any.a.x': unknown key; allowed: n" },
	{ "list: {}",
	    "f:3: key 'list': wrong type; allowed: a list of 0 to 2 "
	    "entries" },
	{ "any: [1]", "f:3: key 'any': wrong type; allowed: a map" },
	{ "any: 1", "f:3: key 'any': wrong type; allowed: a map" },
	{ "  kind: {}",
	    "f:3: key 'node.kind': wrong type; allowed: fast|slow" },
	{ "  kind: medium",
	    "f:3: key 'node.kind': not one of the choices; allowed: "
	    "fast|slow" },
	{ "  kind: ", "f:3: key 'node.kind': no value; allowed: fast|slow" },
	{ "  wait_ms: 10",
	    "f:3: key 'node.wait_ms': out of bounds; allowed: "
	    "an integer from 1 to 9 ms" },
	{ "  free: x",
	    "f:3: key 'node.free': not an integer; allowed: an integer" },
	{ "  free: 010",
	    "f:3: key 'node.free': not an integer; allowed: an integer" },
	{ "  free: '1'",
	    "f:3: key 'node.free': not an integer; allowed: an integer" },
	{ "  free: 9223372036854775808",
	    "f:3: key 'node.free': not an integer; allowed: an integer" },
	{ "  on: yes",
	    "f:3: key 'node.on': not a boolean; allowed: true or false" },
	{ "  key: abc",
	    "f:3: key 'node.key': malformed; allowed: an even "
	    "number of lower-case hex digits" },
	{ "  at: host:1",
	    "f:3: key 'node.at': malformed; allowed: an address "
	    "as ip:port" },
	{ "  url: https://a",
	    "f:3: key 'node.url': malformed; allowed: a URL "
	    "as http://host:port" },
	{ "list: [{}, {}, {}]",
	    "f:3: key 'list': wrong number of entries; "
	    "allowed: a list of 0 to 2 entries" },
	{ "list:\n- {}\n- {n: x}",
	    "f:5: key 'list.1.n': not an integer; "
	    "allowed: an integer" },
	{ "any:\n  a: {}", "f:4: key 'any.a.n': missing; allowed: an integer" },
	{ "  id: b", "f:3: key 'node.id': given twice; allowed: once" },
	{ "a.b: 1",
	    "f:3: key '': holds a key with a dot; allowed: 1 to 64 "
	    "letters, digits, _ and -" },
	{ "any: {\"a\\0b\": 1}",
	    "f:3: key 'any': holds a malformed key; "
	    "allowed: 1 to 64 letters, digits, _ and -" },
	{ "any: {[a]: 1}",
	    "f:3: key 'any': holds a map or list as a key; "
	    "allowed: 1 to 64 letters, digits, _ and -" },
	{ "  kind: \"fast\\0\"",
	    "f:3: key 'node.kind': holds a NUL "
	    "character; allowed: text without NUL" },
	{ "any: &x {}",
	    "f:3: key 'any': an anchor; allowed: the value itself" },
	{ "any: *x", "f:3: key 'any': an alias; allowed: the value itself" },
	{ "any: !!map {}",
	    "f:3: key 'any': a tag; allowed: a value without a tag" },
	{ "---\nnode: {}",
	    "f:3: key '': a second document; allowed: one document" },
	{ "any: {a: ]",
	    "f:3: key 'any.a': not YAML: did not find expected node content; "
	    "allowed: one YAML document" },
	{ "any: \"\xff\"",
	    "f:3: key '': not UTF-8; allowed: UTF-8 text without NUL" },
};

static void
test_refusals(void **state)
{
	char text[256];
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(refusals); i++) {
		g_snprintf(text, sizeof(text), "node:\n  id: a\n%s\n",
		    refusals[i].text);
		assert_refused(text, strlen(text), refusals[i].message);
	}
}

static void
test_refused_documents(void **state)
{
	static const char missing[] =
	    "f:1: key 'node': missing; allowed: a map";

	assert_refused("", 0, missing);
	assert_refused(NULL, 0, missing);
	assert_refused("# only this", 11, missing);
	assert_refused(
	    "[]", 2, "f:1: key '': the document is not a map; allowed: a map");
	assert_refused("node: {id: ''}", 14,
	    "f:1: key 'node.id': wrong length; allowed: a name of a-z, 0-9 "
	    "and -, of 1 to 4 bytes");
	assert_refused("node: {id: a_1}", 15,
	    "f:1: key 'node.id': malformed; allowed: a name of a-z, 0-9 "
	    "and -, of 1 to 4 bytes");
	assert_refused("node: {id: 'a\0b'}", 17,
	    "f:1: key '': not UTF-8; allowed: UTF-8 text without NUL");
}

/*
 * Guards against documents that exhaust the memory or stack of every process
 * that reads a branch: very long, very deep, or with very many values. Whoever
 * may write one branch can send them. Each bound refuses such a document before
 * its tree is built.
 */
static void
test_bounds(void **state)
{
	GString *text = g_string_new(NULL);
	size_t i;

	for (i = 0; i <= CFG_DOCUMENT_MAX; i++)
		g_string_append_c(text, '#');
	assert_refused(text->str, text->len,
	    "f:1: key '': document too large; allowed: 1048576 bytes");
	g_string_truncate(text, 0);
	for (i = 0; i < 100000; i++)
		g_string_append(text, "[");
	assert_refused(text->str, text->len,
	    "f:1: key '0.0.0.0.0.0.0.0.0.0.0.0.0.0.0': nested too deep; "
	    "allowed: 16 levels");
	g_string_truncate(text, 0);
	g_string_append(text, "any: [");
	for (i = 0; i < CFG_NODES_MAX; i++)
		g_string_append(text, "a,");
	assert_refused(text->str, text->len,
	    "f:1: key 'any': too many values; allowed: at most 65536 values");
	g_string_free(text, TRUE);
}

/*
 * Guards against truncating an error message within a two-byte character, when
 * the document's name or a key is long. The JSON response would be invalid, and
 * the operator would not see the error.
 */
static void
test_long_message_is_valid_utf8(void **state)
{
	char name[ERR_MESSAGE_MAX + 3] = "x";
	struct err err = { 0 };
	size_t i;

	for (i = 1; i + 2 < sizeof(name); i += 2)
		memcpy(name + i, "\xc3\xa9", 2);
	for (i = 0; i < 2; i++) {
		assert_null(cfg_parse(name + i, "", 0, &schema, &err));
		assert_true(g_utf8_validate(err.message, -1, NULL));
		assert_true(g_str_has_suffix(err.message, "..."));
	}
}

static void
test_accessors(void **state)
{
	struct cfg *cfg = parse_valid(valid_document);

	assert_string_equal(cfg_str(cfg, "node.%s", "id"), "a-1");
	assert_int_equal(cfg_int(cfg, "node.free"), -3);
	assert_int_equal(cfg_int(cfg, "node.wait_ms"), 5);
	assert_true(cfg_bool(cfg, "node.on"));
	assert_string_equal(cfg_str(cfg, "node.kind"), "");
	assert_string_equal(cfg_str(cfg, "node"), "");
	assert_int_equal(cfg_count(cfg, "list"), 2);
	assert_int_equal(cfg_count(cfg, "node.id"), 0);
	assert_int_equal(cfg_int(cfg, "list.%d.n", 0), 1);
	assert_int_equal(cfg_int(cfg, "list.%d.n", 1), 7);
	assert_int_equal(cfg_int(cfg, "list.x.n"), 0);
	assert_string_equal(cfg_key(cfg, 0, "any"), "b");
	assert_string_equal(cfg_key(cfg, 1, "any"), "a");
	assert_null(cfg_key(cfg, 2, "any"));
	assert_null(cfg_key(cfg, 0, "list"));
	assert_int_equal(cfg_line(cfg, "any.a.n"), 7);
	assert_int_equal(cfg_line(cfg, "any.c"), 0);
	assert_true(cfg_has(cfg, "any.a"));
	assert_false(cfg_has(cfg, "any.a.n.x"));
	assert_false(cfg_has(cfg, "node.wait_ms"));
	cfg_free(cfg);
}

static char *
edit(const char *text, const char *path, const char *value)
{
	struct cfg *cfg = parse_valid(text);
	struct err err = { 0 };
	char *out = cfg_edit(cfg, path, value, &err);

	assert_string_equal(err.message, "");
	cfg_free(cfg);
	return out;
}

static void
assert_edit(const char *path, const char *value, const char *expected)
{
	char *out =
	    edit("node: {id: a, key: '00'}\nlist: [{n: 1}]\n", path, value);

	assert_string_equal(out, expected);
	g_free(out);
}

static void
test_edit(void **state)
{
	assert_edit(
	    "node.id", "b", "node:\n  id: b\n  key: \"00\"\nlist:\n- n: 1\n");
	assert_edit("node.key", NULL, "node:\n  id: a\nlist:\n- n: 1\n");
	assert_edit("any.x.n", "4",
	    "node:\n  id: a\n  key: \"00\"\nlist:\n- n: 1\nany:\n  x:\n"
	    "    n: 4\n");
	assert_edit(
	    "list.0.n", "2", "node:\n  id: a\n  key: \"00\"\nlist:\n- n: 2\n");
	assert_edit("list.1.n", "2",
	    "node:\n  id: a\n  key: \"00\"\nlist:\n- n: 1\n- n: 2\n");
	assert_edit(
	    "list.0", NULL, "node:\n  id: a\n  key: \"00\"\nlist: []\n");
	assert_edit("any", "{x: {n: 4}}",
	    "node:\n  id: a\n  key: \"00\"\nlist:\n- n: 1\nany:\n  x:\n"
	    "    n: 4\n");
}

static void
assert_edit_refused(const char *path, const char *value, const char *message)
{
	struct cfg *cfg = parse_valid(valid_document);
	struct err err = { 0 };

	assert_null(cfg_edit(cfg, path, value, &err));
	assert_string_equal(err.message, message);
	cfg_free(cfg);
}

static void
test_edit_refused(void **state)
{
	assert_edit_refused("node.key", NULL, "f: no key 'node.key'");
	assert_edit_refused("", NULL, "f: no key ''");
	assert_edit_refused("list.3", "{}",
	    "f:4: key 'list.3': cannot be set; allowed: a key in a map, the "
	    "next index of a list");
	assert_edit_refused("node.id.x", "1",
	    "f:2: key 'node.id.x': cannot be set; allowed: a key in a map, the "
	    "next index of a list");
	assert_edit_refused("node.a b", "1",
	    "f:1: key 'node.a b': cannot be set; allowed: a key in a map, the "
	    "next index of a list");
	assert_edit_refused("node.id", "[",
	    "value:2: key '': not YAML: did not find expected node content; "
	    "allowed: one YAML document");
}

static void
test_load(void **state)
{
	struct err err = { 0 };

	assert_null(cfg_load("/nonexistent/f.yaml", &schema, &err));
	assert_int_equal(err.code, ERR_NOT_FOUND);
	assert_null(cfg_load(SOURCE_DIR, &schema, &err));
	assert_int_equal(err.code, ERR_INVALID);
	assert_null(cfg_load("/dev/zero", &schema, &err));
	assert_int_equal(err.code, ERR_INVALID);
}

static void
test_print_schema(void **state)
{
	const struct cfg_schema two = { rules + 1, 5 };
	GString *out = g_string_new(NULL);

	cfg_print_schema(&two, out);
	assert_non_null(strstr(out->str,
	    "| `node.id` | string |  | required | a name of a-z, 0-9 and -, "
	    "of 1 to 4 bytes | A name. |\n"));
	assert_non_null(strstr(out->str, "| fast\\|slow |"));
	g_string_free(out, TRUE);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_refusals),
		cmocka_unit_test(test_refused_documents),
		cmocka_unit_test(test_bounds),
		cmocka_unit_test(test_long_message_is_valid_utf8),
		cmocka_unit_test(test_accessors),
		cmocka_unit_test(test_edit),
		cmocka_unit_test(test_edit_refused),
		cmocka_unit_test(test_load),
		cmocka_unit_test(test_print_schema),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
