/* Settings: example files, checks over several keys, docs/SETTINGS.md. */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <string.h>

#include "common/common.h"

#define EXAMPLES SOURCE_DIR "/docs/examples/"

static struct cfg *
load_valid(const char *path, const struct cfg_schema *schema)
{
	struct err err = { 0 };
	struct cfg *cfg = cfg_load(path, schema, &err);

	assert_string_equal(err.message, "");
	assert_non_null(cfg);
	return cfg;
}

/* Returns `cfg` with one value changed, which must conform to the schema. */
static struct cfg *
change(const struct cfg *cfg, const struct cfg_schema *schema, const char *path,
    const char *value)
{
	struct err err = { 0 };
	char *text = cfg_edit(cfg, path, value, &err);
	struct cfg *changed;

	assert_string_equal(err.message, "");
	changed = cfg_parse("f", text, strlen(text), schema, &err);
	assert_string_equal(err.message, "");
	g_free(text);
	return changed;
}

struct change {
	const char *path;
	const char *value;
	const char *refusal; /* message after the line number; NULL: accepted */
};

static void
assert_outcome(const struct change *c, bool ok, const struct err *err)
{
	const char *at = strstr(err->message, ": ");

	if (c->refusal == NULL) {
		assert_string_equal(err->message, "");
		assert_true(ok);
		return;
	}
	assert_false(ok);
	assert_non_null(at);
	assert_string_equal(at + 2, c->refusal);
	assert_int_equal(err->code, ERR_INVALID);
	assert_int_equal(err->verdict, VERDICT_NOT_RUN);
}

static const struct change node_changes[] = {
	{ "timing.gossip_ms", "2500", NULL },
	{ "timing.gossip_ms", "2501",
	    "key 'timing.suspect_ms': too short; allowed: at least twice "
	    "timing.gossip_ms" },
	{ "side.targets.1.name", "engine-1",
	    "key 'side.targets.1': target 'engine-1' is given twice; allowed: "
	    "each name once" },
	{ "side.targets.1.service", NULL,
	    "key 'side.targets.1': a service without its name; allowed: a key "
	    "`service`" },
	{ "side", NULL, NULL },
};

static void
test_node(void **state)
{
	struct cfg *node = load_valid(EXAMPLES "side.yaml", &cfg_node_schema);
	struct cfg *changed;
	struct err err;
	size_t i;

	assert_int_equal(cfg_int(node, "side.memory_bytes"), 64000000000);
	assert_string_equal(cfg_str(node, "node.charts"), "charts");
	for (i = 0; i < G_N_ELEMENTS(node_changes); i++) {
		memset(&err, 0, sizeof(err));
		changed = change(node, &cfg_node_schema, node_changes[i].path,
		    node_changes[i].value);
		assert_outcome(
		    &node_changes[i], cfg_check_node(changed, &err), &err);
		cfg_free(changed);
	}
	cfg_free(node);
}

static const struct change branch_changes[] = {
	{ "limits.requests_s", "2000", NULL },
	{ "limits.requests_s", "2001",
	    "key 'limits.requests_s': above the root branch's bound; allowed: "
	    "at most 2000" },
	{ "limits.queue", "4001",
	    "key 'limits.queue': above the root branch's bound; allowed: at "
	    "most 4000" },
	{ "limits", NULL, NULL },
	{ "team", "other",
	    "key 'team': unknown team 'other'; allowed: a key of the root "
	    "branch's `teams`" },
	{ "team", "platform",
	    "key 'team': the root branch's name; allowed: a team's own name" },
	{ "limits.default_deadline_ms", "300001",
	    "key 'limits.default_deadline_ms': too long; allowed: at most "
	    "limits.max_deadline_ms" },
	{ "models.inspect.rollout.version", "v3",
	    "key 'models.inspect.rollout.version': unknown version 'v3'; "
	    "allowed: a key of the model's `versions`" },
	{ "models.inspect.rollout.version", "v1.root",
	    "key 'models.inspect.rollout.version': unknown version 'v1.root'; "
	    "allowed: a key of the model's `versions`" },
	{ "models.inspect.rules.1.version", "v3",
	    "key 'models.inspect.rules.1.version': unknown version 'v3'; "
	    "allowed: a key of the model's `versions`" },
	{ "models.inspect.rules", "[{version: v1, weight: 0}]",
	    "key 'models.inspect.rules': no rule takes any request; allowed: "
	    "a weight above 0" },
	{ "models.inspect.rules", "[]", NULL },
	{ "models.inspect.rules", NULL, NULL },
	{ "models.inspect.rollout", NULL, NULL },
	{ "models", NULL, NULL },
};

static void
test_branch(void **state)
{
	struct cfg *root =
	    load_valid(EXAMPLES "platform.yaml", &cfg_root_schema);
	struct cfg *branch =
	    load_valid(EXAMPLES "konya.yaml", &cfg_branch_schema);
	struct cfg *changed;
	struct err err;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(branch_changes); i++) {
		memset(&err, 0, sizeof(err));
		changed = change(branch, &cfg_branch_schema,
		    branch_changes[i].path, branch_changes[i].value);
		assert_outcome(&branch_changes[i],
		    cfg_check_branch(root, changed, &err), &err);
		cfg_free(changed);
	}
	cfg_free(branch);
	cfg_free(root);
}

static void
test_branch_without_root(void **state)
{
	struct cfg *branch =
	    load_valid(EXAMPLES "konya.yaml", &cfg_branch_schema);
	struct cfg *changed =
	    change(branch, &cfg_branch_schema, "limits.requests_s", "900000");
	struct err err = { 0 };

	assert_true(cfg_check_branch(NULL, changed, &err));
	cfg_free(changed);
	cfg_free(branch);
}

static void
assert_fallback(const struct cfg_rule *rule)
{
	static const char *const forms[] = {
		[CFG_STRING] = "v: '%s'",
		[CFG_INT] = "v: %s",
		[CFG_BOOL] = "v: %s",
	};
	struct cfg_rule single = *rule;
	struct cfg_schema schema = { .rules = &single, .nrules = 1 };
	struct err err = { 0 };
	struct cfg *cfg;
	char *text;

	single.path = "v";
	text = g_strdup_printf(forms[rule->type], rule->fallback);
	cfg = cfg_parse(rule->path, text, strlen(text), &schema, &err);
	assert_string_equal(err.message, "");
	cfg_free(cfg);
	g_free(text);
}

/* Default values are not checked at run time, hence here. */
static void
test_fallbacks_are_allowed(void **state)
{
	const struct cfg_schema *const schemas[] = {
		&cfg_node_schema,
		&cfg_branch_schema,
		&cfg_root_schema,
	};
	size_t i, j;

	for (i = 0; i < G_N_ELEMENTS(schemas); i++) {
		for (j = 0; j < schemas[i]->nrules; j++) {
			assert_non_null(schemas[i]->rules[j].about);
			if (schemas[i]->rules[j].fallback != NULL)
				assert_fallback(&schemas[i]->rules[j]);
		}
	}
}

static void
test_page_is_current(void **state)
{
	GString *printed = g_string_new(NULL);
	char *page;

	assert_true(g_file_get_contents(
	    SOURCE_DIR "/docs/SETTINGS.md", &page, NULL, NULL));
	cfg_print_settings(printed);
	/* `make settings-page` updates the page. */
	assert_string_equal(page, printed->str);
	g_string_free(printed, TRUE);
	g_free(page);
}

/* Guards against a sidecar that ends itself, as the bandwidth of its link is the
 * divisor of each transfer's time. */
static void
test_link_has_bandwidth(void **state)
{
	static const char *const refused[] = { "0", "0.0", "1e-9", "0.0009",
		"-1", "nan" };
	static const char format[] =
	    "node: {id: a, domain: z, region: r, "
	    "key: 63757272616e746368757465746573747065657273}\n"
	    "store: {address: 127.0.0.1:80}\n"
	    "listen: {metrics: 127.0.0.1:81, peers: 127.0.0.1:82}\n"
	    "limits: {link_mbit: %s}\n";
	struct err err = { 0 };
	struct cfg *cfg;
	char *text;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(refused); i++) {
		text = g_strdup_printf(format, refused[i]);
		cfg =
		    cfg_parse("f", text, strlen(text), &cfg_serve_schema, &err);
		assert_null(cfg);
		if (strstr(err.message, "at least 0.001") == NULL)
			fail_msg("%s: %s", refused[i], err.message);
		g_free(text);
	}
	text = g_strdup_printf(format, "7.6");
	err = (struct err){ 0 };
	cfg = cfg_parse("f", text, strlen(text), &cfg_serve_schema, &err);
	assert_string_equal(err.message, "");
	assert_true(cfg_num(cfg, "limits.link_mbit") > 7.5);
	cfg_free(cfg);
	g_free(text);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_node),
		cmocka_unit_test(test_branch),
		cmocka_unit_test(test_branch_without_root),
		cmocka_unit_test(test_fallbacks_are_allowed),
		cmocka_unit_test(test_page_is_current),
		cmocka_unit_test(test_link_has_bandwidth),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
