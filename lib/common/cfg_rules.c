/* Settings: checks over several keys, and the text of docs/SETTINGS.md. */

#include <string.h>

#include "common/common.h"

static bool
check_target(const struct cfg *node, size_t i, struct err *err)
{
	char *path = g_strdup_printf("side.targets.%zu", i);
	const char *name = cfg_str(node, "%s.name", path);
	bool ok = true;
	size_t j;

	if (strcmp(cfg_str(node, "%s.kind", path), "service") == 0 &&
	    !cfg_has(node, "%s.service", path))
		ok = cfg_refuse(node, path, "a key `service`", err,
		    "a service without its name");
	for (j = 0; ok && j < i; j++) {
		if (strcmp(cfg_str(node, "side.targets.%zu.name", j), name) ==
		    0)
			ok = cfg_refuse(node, path, "each name once", err,
			    "target '%s' is given twice", name);
	}
	g_free(path);
	return ok;
}

bool
cfg_check_node(const struct cfg *node, struct err *err)
{
	int64_t gossip_ms = cfg_int(node, "timing.gossip_ms");
	size_t i;

	/* With a shorter time, one lost datagram would make a peer suspect. */
	if (cfg_int(node, "timing.suspect_ms") < 2 * gossip_ms)
		return cfg_refuse(node, "timing.suspect_ms",
		    "at least twice timing.gossip_ms", err, "too short");
	for (i = 0; i < cfg_count(node, "side.targets"); i++) {
		if (!check_target(node, i, err))
			return false;
	}
	return true;
}

static bool
check_version(const struct cfg *branch, const char *model, const char *path,
    struct err *err)
{
	const char *version = cfg_str(branch, "%s", path);

	/* A name with a dot would address a key below a version. */
	if (cfg_key_valid(version) &&
	    cfg_has(branch, "models.%s.versions.%s", model, version))
		return true;
	return cfg_refuse(branch, path, "a key of the model's `versions`", err,
	    "unknown version '%s'", version);
}

static bool
check_rollout(const struct cfg *branch, const char *model, struct err *err)
{
	char *path = g_strdup_printf("models.%s.rollout.version", model);
	bool ok = true;

	if (cfg_has(branch, "%s", path))
		ok = check_version(branch, model, path, err);
	g_free(path);
	return ok;
}

static bool
check_weights(const struct cfg *branch, const char *model, struct err *err)
{
	size_t n = cfg_count(branch, "models.%s.rules", model);
	int64_t sum = 0;
	bool ok = true;
	char *path;
	size_t i;

	for (i = 0; ok && i < n; i++) {
		path = g_strdup_printf("models.%s.rules.%zu.version", model, i);
		ok = check_version(branch, model, path, err);
		sum += cfg_int(branch, "models.%s.rules.%zu.weight", model, i);
		g_free(path);
	}
	if (!ok || n == 0 || sum > 0)
		return ok;
	path = g_strdup_printf("models.%s.rules", model);
	cfg_refuse(
	    branch, path, "a weight above 0", err, "no rule takes any request");
	g_free(path);
	return false;
}

static bool
check_models(const struct cfg *branch, struct err *err)
{
	const char *model;
	size_t i;

	for (i = 0; (model = cfg_key(branch, i, "models")) != NULL; i++) {
		if (!check_rollout(branch, model, err) ||
		    !check_weights(branch, model, err))
			return false;
	}
	return true;
}

static bool
check_bound(const struct cfg *root, const struct cfg *branch, const char *what,
    struct err *err)
{
	int64_t bound =
	    cfg_int(root, "teams.%s.%s", cfg_str(branch, "team"), what);
	char *path = g_strdup_printf("limits.%s", what);
	char *allowed = g_strdup_printf("at most %" G_GINT64_FORMAT, bound);
	bool ok = true;

	if (cfg_int(branch, "%s", path) > bound)
		ok = cfg_refuse(branch, path, allowed, err,
		    "above the root branch's bound");
	g_free(allowed);
	g_free(path);
	return ok;
}

static bool
check_root_bounds(
    const struct cfg *root, const struct cfg *branch, struct err *err)
{
	const char *workspace = cfg_str(branch, "team");

	if (!cfg_has(root, "teams.%s", workspace))
		return cfg_refuse(branch, "team",
		    "a key of the root branch's `teams`", err,
		    "unknown team '%s'", workspace);
	return check_bound(root, branch, "requests_s", err) &&
	    check_bound(root, branch, "queue", err);
}

bool
cfg_check_branch(
    const struct cfg *root, const struct cfg *branch, struct err *err)
{
	if (strcmp(cfg_str(branch, "team"), CFG_ROOT_WORKSPACE) == 0)
		return cfg_refuse(branch, "team", "a team's own name", err,
		    "the root branch's name");
	if (cfg_int(branch, "limits.default_deadline_ms") >
	    cfg_int(branch, "limits.max_deadline_ms"))
		return cfg_refuse(branch, "limits.default_deadline_ms",
		    "at most limits.max_deadline_ms", err, "too long");
	if (root != NULL && !check_root_bounds(root, branch, err))
		return false;
	return check_models(branch, err);
}

void
cfg_print_settings(GString *out)
{
	g_string_append(out,
	    "# Settings\n\n"
	    "Generated from the schemas in `lib/common/cfg_schema*.c` by "
	    "`make settings-page`; edit those.\n\n"
	    "Settings are YAML: one document, without anchors, aliases or "
	    "tags. Keys are 1 to 64 letters, digits, `_` and `-`.\n"
	    "In the tables `*` matches any key and `[]` each item of a list. "
	    "A `required` key is mandatory if its parent is\npresent. The "
	    "whole document is checked before any of it is used; an error has "
	    "the form\n"
	    "`FILE:LINE: key 'a.b': what is wrong; allowed: ...`. Examples "
	    "are in `docs/examples`.\n\n"
	    "## A process's file\n\n"
	    "In addition to the table: `timing.suspect_ms` is at least twice "
	    "`timing.gossip_ms`, target names are unique, and\na target of "
	    "kind `service` has the key `service`.\n\n");
	cfg_print_schema(&cfg_node_schema, out);
	g_string_append(out,
	    "\n## The file of a `gateway` or `keeper`\n\n"
	    "These processes read the operators' settings from the "
	    "deployment's object store; the file gives its address, the\n"
	    "process's resources and the bounds that the deployment "
	    "guarantees.\n\n");
	cfg_print_schema(&cfg_serve_schema, out);
	g_string_append(out,
	    "\n## A workspace's branch\n\n"
	    "In addition to the table: `team` is a key of the root branch's "
	    "`teams` and `limits` are within the bounds there,\n"
	    "`limits.default_deadline_ms` does not exceed "
	    "`limits.max_deadline_ms`, each version in `rollout` and `rules` "
	    "is a key of\nthe model's `versions`, and at least one rule, if "
	    "there are any, has a weight above 0.\n\n");
	cfg_print_schema(&cfg_branch_schema, out);
	g_string_append(out, "\n## The root branch (`platform`)\n\n");
	cfg_print_schema(&cfg_root_schema, out);
}
