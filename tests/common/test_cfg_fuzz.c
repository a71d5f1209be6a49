/* Settings tree: malformed documents are refused without other effects. */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <string.h>

#include "common/common.h"

#define SEED 1
#define ROUNDS 6000
#define MUTATIONS_MAX 4 /* per document */

static const struct cfg_rule rules[] = {
	{ .path = "a", .type = CFG_MAP },
	{ .path = "a.id", .type = CFG_STRING, .max = 20 },
	{ .path = "a.n", .type = CFG_INT, .fallback = "3" },
	{ .path = "a.on", .type = CFG_BOOL },
	{ .path = "m", .type = CFG_MAP },
	{ .path = "m.*", .type = CFG_MAP },
	{ .path = "m.*.at", .type = CFG_STRING, .form = CFG_ADDRESS },
	{ .path = "m.*.url", .type = CFG_STRING, .form = CFG_URL },
	{ .path = "l", .type = CFG_LIST },
	{ .path = "l.[]", .type = CFG_STRING },
};
static const struct cfg_schema schema = { rules, G_N_ELEMENTS(rules) };

static const char *const documents[] = {
	"a:\n  id: name # comment\n  n: -12\n  on: true\n"
	"m:\n  x: {at: '127.0.0.1:80', url: \"http://h:1\"}\n  y: {}\n"
	"l:\n  - one\n  - |\n    two\n    lines\n  - >-\n    folded\n",
	"{a: {id: \"\\u00e9\\n\", n: 0}, l: [a, 'b''c', ~], m: {}}\n",
};

static const char *const fragments[] = {
	"&a ",
	"*a",
	"---\n",
	"...\n",
	"[",
	"]",
	"{",
	"}",
	": ",
	"- ",
	"\t",
	"\xff",
	"\xc3",
	"\n",
	"\n  ",
	"\"",
	"'",
	"|\n",
	"!!int ",
	"%YAML 1.1\n",
	"? ",
	"<<: ",
	"a.b: 1\n",
	"\\x00",
	"\xef\xbb\xbf",
	"#",
	",",
	"@",
	"`",
	"\\u0000",
	"99999999999999999999",
	"l: ",
};

static void
mutate(GString *text, struct rng *rng)
{
	gsize at = rng_below(rng, text->len + 1);
	gsize len = rng_below(rng, text->len - at + 1);
	char *copy;

	switch (rng_below(rng, 5)) {
	case 0:
		if (at < text->len)
			text->str[at] = (char)rng_below(rng, 256);
		break;
	case 1:
		g_string_insert(text, at,
		    fragments[rng_below(rng, G_N_ELEMENTS(fragments))]);
		break;
	case 2:
		g_string_erase(text, at, len);
		break;
	case 3:
		copy = g_strndup(text->str + at, len);
		g_string_insert(text, rng_below(rng, text->len + 1), copy);
		g_free(copy);
		break;
	default:
		g_string_truncate(text, at);
		break;
	}
}

/* An accepted document must be editable, and its edited copy be accepted. */
static void
check_accepted(const struct cfg *cfg)
{
	struct err err = { 0 };
	struct cfg *again;
	size_t i;
	char *text;

	for (i = 0; i < cfg_count(cfg, "m"); i++)
		cfg_str(cfg, "m.%s.at", cfg_key(cfg, i, "m"));
	for (i = 0; i < cfg_count(cfg, "l"); i++)
		cfg_str(cfg, "l.%zu", i);
	text = cfg_edit(cfg, "a.n", "5", &err);
	assert_non_null(text);
	again = cfg_parse("again", text, strlen(text), &schema, &err);
	assert_string_equal(err.message, "");
	assert_int_equal(cfg_int(again, "a.n"), 5);
	assert_int_equal(cfg_count(again, "l"), cfg_count(cfg, "l"));
	for (i = 0; i < cfg_count(cfg, "l"); i++)
		assert_string_equal(
		    cfg_str(cfg, "l.%zu", i), cfg_str(again, "l.%zu", i));
	cfg_free(again);
	g_free(text);
}

static bool
try_document(const GString *text)
{
	struct err err = { 0 };
	struct cfg *cfg = cfg_parse("f", text->str, text->len, &schema, &err);

	if (cfg != NULL) {
		assert_false(err_is(&err));
		check_accepted(cfg);
		cfg_free(cfg);
		return true;
	}
	assert_int_equal(err.code, ERR_INVALID);
	assert_int_equal(err.verdict, VERDICT_NOT_RUN);
	assert_memory_equal(err.message, "f:", 2);
	assert_non_null(strstr(err.message, ": key '"));
	assert_true(g_utf8_validate(err.message, -1, NULL));
	return false;
}

/*
 * Guards against crashes on malformed branches, written by an operator or with
 * a stolen token. Every process reads a branch, so a crash would take down the
 * whole fleet at once; the parser may only refuse the document.
 */
static void
test_mutated_documents(void **state)
{
	unsigned int accepted = 0;
	unsigned int round, mutations;
	struct rng rng;
	GString *text;

	rng_seed(&rng, SEED);
	for (round = 0; round < ROUNDS; round++) {
		text = g_string_new(
		    documents[rng_below(&rng, G_N_ELEMENTS(documents))]);
		for (mutations = rng_below(&rng, MUTATIONS_MAX + 1);
		     mutations > 0; mutations--)
			mutate(text, &rng);
		accepted += try_document(text);
		g_string_free(text, TRUE);
	}
	print_message("%u of %u accepted\n", accepted, ROUNDS);
	/* Both outcomes must occur, or the mutations test nothing. */
	assert_in_range(accepted, ROUNDS / 20, ROUNDS - ROUNDS / 20);
}

static struct cfg *
parse_text(const char *text)
{
	struct err err = { 0 };

	return cfg_parse("f", text, strlen(text), &schema, &err);
}

static bool
accepts(const char *path, const char *value)
{
	char *text = g_strdup_printf(path, value);
	struct cfg *cfg = parse_text(text);
	bool accepted = cfg != NULL;

	cfg_free(cfg);
	g_free(text);
	return accepted;
}

/* Guards against a number or an address that is read as another one: settings
 * with an odd value are refused, and those in force stay. */
static void
test_odd_values(void **state)
{
	static const char *const numbers[] = { "9223372036854775808",
		"18446744073709551617", "-99999999999999999999", "1e400", "1e5",
		"1.5", "0x10", "''", "' 7'", "[7]", "{}", "~", "true" };
	static const char *const addresses[] = { "127.0.0.1:-1",
		"127.0.0.1:70000", "127.0.0.1:65536",
		"127.0.0.1:18446744073709551617", "127.0.0.1:", "127.0.0.1",
		":80", "127.0.0.400:80", "127.0.0.1:80x", "127.0.0.1: 80",
		"127.0.0.1:+80", "example.org:80", "80", "[]", "{}" };
	static const char *const urls[] = { "http://h:-1", "http://h:70000",
		"http://h:18446744073709551617", "http://:80", "http://",
		"h:80", "https://h:80", "7", "[]" };
	size_t i;

	assert_true(accepts("a: {n: %s}\n", "9223372036854775807"));
	for (i = 0; i < G_N_ELEMENTS(numbers); i++) {
		if (accepts("a: {n: %s}\n", numbers[i]))
			fail_msg("accepted the number %s", numbers[i]);
	}
	for (i = 0; i < G_N_ELEMENTS(addresses); i++) {
		if (accepts("m: {x: {at: %s}}\n", addresses[i]) ||
		    accepts("m: {x: {at: '%s'}}\n", addresses[i]))
			fail_msg("accepted the address %s", addresses[i]);
	}
	for (i = 0; i < G_N_ELEMENTS(urls); i++) {
		if (accepts("m: {x: {url: '%s'}}\n", urls[i]))
			fail_msg("accepted the URL %s", urls[i]);
	}
}

/* Guards against a stack that overflows. */
static void
test_deeply_nested(void **state)
{
	static const char *const kinds[] = { "[", "{a: ", "- ", "? " };
	GString *text;
	size_t i, n;

	for (i = 0; i < G_N_ELEMENTS(kinds); i++) {
		text = g_string_new("a: {id: name}\nl:\n  ");
		for (n = 0; n < 60000; n++)
			g_string_append(text, kinds[i]);
		assert_null(parse_text(text->str));
		g_string_free(text, TRUE);
	}
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_mutated_documents),
		cmocka_unit_test(test_odd_values),
		cmocka_unit_test(test_deeply_nested),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
