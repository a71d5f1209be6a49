/* Commands: settings check, get, set. */

#include <stdio.h>
#include <string.h>

#include "entry/cli.h"

/* Precedes the text in the output of `settings get`; read by `settings set`. */
#define VERSION_LINE "# version "

/* The settings file of a process has `node`; the root branch has the workspace
 * `platform`. */
static const struct cfg_schema *
schema_for(const char *text, size_t len)
{
	struct cfg *any = cfg_parse("", text, len, NULL, NULL);
	const struct cfg_schema *schema = &cfg_branch_schema;

	if (any != NULL && cfg_has(any, "node"))
		schema = &cfg_node_schema;
	else if (any != NULL &&
	    strcmp(cfg_str(any, "team"), CFG_ROOT_WORKSPACE) == 0)
		schema = &cfg_root_schema;
	cfg_free(any);
	return schema;
}

static bool
check_text(const char *name, const char *text, size_t len, struct err *err)
{
	const struct cfg_schema *schema = schema_for(text, len);
	struct cfg *cfg = cfg_parse(name, text, len, schema, err);
	bool good = cfg != NULL;

	if (good && schema == &cfg_node_schema)
		good = cfg_check_node(cfg, err);
	else if (good && schema == &cfg_branch_schema)
		good = cfg_check_branch(NULL, cfg, err);
	cfg_free(cfg);
	return good;
}

static bool
read_file(const char *path, char **text, size_t *len, struct err *err)
{
	GError *error = NULL;

	if (g_file_get_contents(path, text, len, &error))
		return true;
	err_set(err, ERR_NOT_FOUND, VERDICT_NOT_RUN, "%s", error->message);
	g_error_free(error);
	return false;
}

int
cli_settings_check(const struct cli *cli, const char **args)
{
	JsonObject *o;
	struct err err = { 0 };
	char *text;
	size_t len;
	bool good;

	if (!read_file(args[0], &text, &len, &err))
		return cli_fail(&err);
	good = check_text(args[0], text, len, &err);
	g_free(text);
	if (!good)
		return cli_fail(&err);
	if (cli->json) {
		o = json_object_new();
		json_object_set_string_member(o, "file", args[0]);
		json_object_set_boolean_member(o, "good", TRUE);
		cli_print_object(o);
	} else {
		printf("%s: good\n", args[0]);
	}
	return EXIT_OK;
}

int
cli_settings_get(const struct cli *cli, const char **args)
{
	char *path = g_strconcat("/v1/settings/", args[0], NULL);
	struct err err = { 0 };
	unsigned int status;
	JsonNode *node;
	int rc = EXIT_OK;

	if (!cli_call(cli, "GET", path, NULL, &status, &node, &err))
		rc = cli_fail(&err);
	else if (status != 200)
		rc = cli_refused(status, node);
	else if (cli->json)
		cli_print_json(node);
	else
		printf(VERSION_LINE "%d\n%s",
		    (int)json_object_get_int_member(
			json_node_get_object(node), "version"),
		    json_object_get_string_member(
			json_node_get_object(node), "yaml"));
	if (node != NULL)
		json_node_unref(node);
	g_free(path);
	return rc;
}

/* The text without the version line of `settings get`. */
static const char *
skip_version_line(const char *text)
{
	const char *end = strchr(text, '\n');

	return g_str_has_prefix(text, VERSION_LINE) && end != NULL ? end + 1
								   : text;
}

/* The version that an edited file is based on: from the first line, which
 * `settings get` writes, or else the current version. */
static bool
base_version(const struct cli *cli, const char *path, const char *text,
    uint64_t *version, struct err *err)
{
	unsigned int status;
	JsonNode *node;

	if (g_str_has_prefix(text, VERSION_LINE)) {
		*version =
		    g_ascii_strtoull(text + strlen(VERSION_LINE), NULL, 10);
		return true;
	}
	if (!cli_call(cli, "GET", path, NULL, &status, &node, err))
		return false;
	*version = status != 200 ? 0
				 : (uint64_t)json_object_get_int_member(
				       json_node_get_object(node), "version");
	if (node != NULL)
		json_node_unref(node);
	return true;
}

/* Prints both texts of a conflict: the current one and the rejected one. */
static int
show_conflict(
    const char *name, const char *rejected, uint64_t base, JsonNode *node)
{
	JsonObject *o = json_node_get_object(node);

	fprintf(stderr,
	    "currantchute: conflict: branch %s changed since version %" G_GUINT64_FORMAT
	    "; nothing was written\n"
	    "--- now, version %d\n%s--- yours\n%s",
	    name, base, (int)json_object_get_int_member(o, "version"),
	    json_object_get_string_member_with_default(o, "yaml", ""),
	    rejected);
	return EXIT_REFUSED;
}

int
cli_settings_set(const struct cli *cli, const char **args)
{
	char *path = g_strconcat("/v1/settings/", args[0], NULL);
	char *text = NULL, *body = NULL;
	struct err err = { 0 };
	unsigned int status = 0;
	JsonNode *node = NULL;
	uint64_t base = 0;
	size_t len;
	int rc;

	if (!read_file(args[1], &text, &len, &err) ||
	    !check_text(args[1], text, len, &err) ||
	    !base_version(cli, path, text, &base, &err)) {
		rc = cli_fail(&err);
	} else {
		body = cli_put_body(skip_version_line(text), base);
		if (!cli_call(cli, "PUT", path, body, &status, &node, &err))
			rc = cli_fail(&err);
		else if (status == 409 && node != NULL)
			rc = show_conflict(args[0], text, base, node);
		else if (status != 200)
			rc = cli_refused(status, node);
		else
			rc = cli_wait_active(cli, args[0],
			    (uint64_t)json_object_get_int_member(
				json_node_get_object(node), "version"));
	}
	if (node != NULL)
		json_node_unref(node);
	g_free(body);
	g_free(text);
	g_free(path);
	return rc;
}
