/* Catalogue: the example branch, traffic splits and target text. */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <string.h>

#include "route/route.h"

static struct rt_workspace *
read_workspace(const char *path, const char *value)
{
	struct err err = { 0 };
	struct cfg *cfg = cfg_load(
	    SOURCE_DIR "/docs/examples/konya.yaml", &cfg_branch_schema, &err);
	struct cfg *changed = cfg;
	char *text;

	assert_string_equal(err.message, "");
	if (path != NULL) {
		text = cfg_edit(cfg, path, value, &err);
		assert_string_equal(err.message, "");
		changed = cfg_parse(
		    "f", text, strlen(text), &cfg_branch_schema, &err);
		assert_string_equal(err.message, "");
		g_free(text);
		cfg_free(cfg);
	}
	return rt_workspace_read(changed, 5);
}

static void
test_branch(void **state)
{
	struct rt_workspace *workspace = read_workspace(NULL, NULL);
	const struct rt_model *model = rt_workspace_model(workspace, "inspect");
	const struct rt_service *service =
	    rt_workspace_service(workspace, "notes");
	struct digest other;

	assert_string_equal(workspace->name, "konya");
	assert_int_equal(workspace->version, 5);
	assert_int_equal(workspace->requests_s, 1500);
	assert_int_equal(workspace->queue, 3000);
	assert_int_equal(workspace->weight, 200);
	assert_int_equal(workspace->default_deadline_ms, 30000);
	assert_int_equal(workspace->max_deadline_ms, 300000);
	assert_int_equal(workspace->retry_budget_permille, 100);
	assert_false(digest_is_none(&workspace->caller_token));
	assert_false(digest_is_none(&workspace->operator_token));
	assert_null(rt_workspace_model(workspace, "absent"));
	assert_non_null(model);
	assert_int_equal(model->nversions, 2);
	assert_ptr_equal(model->rollout, &model->versions[1]);
	assert_string_equal(model->rollout->weights, "inspect/v2.bin");
	assert_string_equal(model->rollout->chunks, "inspect/v2.chunks");
	assert_int_equal(model->rollout->chunk_bytes, 4194304);
	assert_int_equal(model->rollout->weight, 100);
	assert_false(model->time_first);
	assert_true(model->room_for_two);
	assert_int_equal(model->max_unavailable, 2);
	assert_ptr_equal(rt_model_version(model, &model->versions[0].root),
	    &model->versions[0]);
	digest_of("x", 1, &other);
	assert_null(rt_model_version(model, &other));
	assert_true(rt_model_placed(model, "large", "hall-b"));
	assert_false(rt_model_placed(model, "large", "hall-d"));
	assert_false(rt_model_placed(model, "small", "hall-b"));
	assert_null(rt_workspace_service(workspace, "absent"));
	assert_string_equal(service->pool, "default");
	assert_int_equal(service->stall_ms, 5000);
	assert_true(rt_service_is_idempotent(service, "GET"));
	assert_false(rt_service_is_idempotent(service, "POST"));
	rt_workspace_free(workspace);
}

static void
test_minimal_branch(void **state)
{
	struct rt_workspace *workspace = read_workspace("models",
	    "{m: {versions: {v1: {bytes: 1, chunk_bytes: 65536, weights: w, "
	    "chunks: c, root: "
	    "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08"
	    "}}}}");
	const struct rt_model *model = rt_workspace_model(workspace, "m");
	struct digest roots[1];
	bool ranked;

	assert_non_null(model);
	assert_null(model->rollout);
	assert_true(rt_model_placed(model, "default", "anywhere"));
	assert_int_equal(rt_model_roots(model, 3, roots, &ranked), 1);
	rt_workspace_free(workspace);
	rt_workspace_free(NULL);
}

#define DRAWS 10000

static void
test_split_by_weight(void **state)
{
	struct rt_workspace *workspace = read_workspace(NULL, NULL);
	const struct rt_model *model = rt_workspace_model(workspace, "inspect");
	struct digest roots[2];
	unsigned int old = 0, i;
	bool ranked;

	for (i = 0; i < DRAWS; i++) {
		/* The other version is the fallback. */
		assert_int_equal(rt_model_roots(model, hash64(1, &i, sizeof(i)),
				     roots, &ranked),
		    2);
		assert_true(ranked);
		if (digest_equal(&roots[0], &model->versions[0].root))
			old++;
	}
	/* 900 of 1000; the standard deviation at 10,000 draws is 0.3%. */
	assert_in_range(old, DRAWS * 88 / 100, DRAWS * 92 / 100);
	rt_workspace_free(workspace);
}

static void
test_zero_weight(void **state)
{
	struct rt_workspace *workspace = read_workspace("models.inspect.rules",
	    "[{version: v2, weight: 0}, {version: v1, weight: 1}]");
	const struct rt_model *model = rt_workspace_model(workspace, "inspect");
	struct digest roots[2];
	uint64_t draw;
	bool ranked;

	for (draw = 0; draw < 5; draw++) {
		assert_int_equal(
		    rt_model_roots(model, draw, roots, &ranked), 1);
		assert_true(digest_equal(&roots[0], &model->versions[0].root));
	}
	rt_workspace_free(workspace);
}

/* The version of the rollout comes first, and the old one is a fallback. */
static void
test_no_rules(void **state)
{
	struct rt_workspace *workspace =
	    read_workspace("models.inspect.rules", NULL);
	const struct rt_model *model = rt_workspace_model(workspace, "inspect");
	struct digest roots[2];
	bool ranked;

	assert_int_equal(rt_model_roots(model, 3, roots, &ranked), 2);
	assert_false(ranked);
	assert_true(digest_equal(&roots[0], &model->versions[1].root));
	assert_true(digest_equal(&roots[1], &model->versions[0].root));
	rt_workspace_free(workspace);
}

static void
print_target(const struct rt_target_info *t, void *ctx)
{
	g_string_append_printf(ctx, "[%s %d %s %s %s]", t->name, t->kind,
	    t->workspace, t->pool, t->service);
}

static void
assert_read(const char *text, const char *want)
{
	GString *got = g_string_new(NULL);

	rt_info_each(text, print_target, got);
	assert_string_equal(got->str, want);
	g_string_free(got, TRUE);
}

static void
test_target_text(void **state)
{
	const struct rt_target_info engine = {
		.name = "e1", .kind = RT_ENGINE, .workspace = "t", .pool = "p"
	};
	const struct rt_target_info service = { .name = "s1",
		.kind = RT_SERVICE,
		.workspace = "t",
		.pool = "q",
		.service = "notes" };
	GString *text = g_string_new(NULL);

	rt_info_append(text, &engine);
	rt_info_append(text, &service);
	assert_string_equal(text->str, "e1,engine,t,p,;s1,service,t,q,notes");
	assert_read(text->str, "[e1 0 t p ][s1 1 t q notes]");
	assert_read("", "");
	assert_read(";;a,b;e1,engine,t,p;e2,engine,t,p,", "[e2 0 t p ]");
	assert_read("e1,lathe,t,p,;e2,engine,t,p,", "[e2 0 t p ]");
	g_string_free(text, TRUE);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_branch),
		cmocka_unit_test(test_minimal_branch),
		cmocka_unit_test(test_split_by_weight),
		cmocka_unit_test(test_zero_weight),
		cmocka_unit_test(test_no_rules),
		cmocka_unit_test(test_target_text),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
