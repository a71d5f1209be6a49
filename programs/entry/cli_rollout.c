/* Commands: model digest, model add, rollout start, rollout status, drain. */

#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "entry/cli.h"
#include "weights/weights.h"

#define POLL_MS 300
#define EDITS_MAX 8
#define CHUNK_BYTES (4u << 20) /* the digest list of 200 GB takes 1.6 MB */

/* ------------------------------------------------------------------ */
/* Names and edits                                                     */
/* ------------------------------------------------------------------ */

/* Splits "TEAM/MODEL"; prints a message and returns false if malformed. */
static bool
split_model(const char *name, char **workspace, char **model)
{
	char **part = g_strsplit(name, "/", 2);

	if (g_strv_length(part) != 2 || !cfg_key_valid(part[0]) ||
	    !cfg_key_valid(part[1])) {
		fprintf(stderr,
		    "currantchute: '%s' is not of the form TEAM/MODEL\n", name);
		g_strfreev(part);
		return false;
	}
	*workspace = g_strdup(part[0]);
	*model = g_strdup(part[1]);
	g_strfreev(part);
	return true;
}

struct model_edit {
	const struct cli *cli;
	const char *model;
	const char *version;
};

static void
add_edit(struct cli_edit *list, size_t *n, char *path, char *value)
{
	g_assert(*n < EDITS_MAX);
	list[(*n)++] = (struct cli_edit){ path, value };
}

/* ------------------------------------------------------------------ */
/* model digest, model add                                             */
/* ------------------------------------------------------------------ */

static void
print_version(
    const struct cli *cli, const char *root, const struct wts_version *v)
{
	JsonObject *o;

	if (!cli->json) {
		printf("root %s bytes %" G_GUINT64_FORMAT
		       " chunk_bytes %" G_GUINT64_FORMAT "\n",
		    root, v->bytes, v->chunk_bytes);
		return;
	}
	o = json_object_new();
	json_object_set_string_member(o, "root", root);
	json_object_set_int_member(o, "bytes", (gint64)v->bytes);
	json_object_set_int_member(o, "chunk_bytes", (gint64)v->chunk_bytes);
	cli_print_object(o);
}

int
cli_model_digest(const struct cli *cli, const char **args)
{
	uint64_t chunk_bytes =
	    cli->chunk_bytes > 0 ? (uint64_t)cli->chunk_bytes : CHUNK_BYTES;
	GByteArray *list = g_byte_array_new();
	struct wts_version version = { 0 };
	struct err err = { 0 };
	GError *error = NULL;
	char hex[DIGEST_HEX];
	int rc = EXIT_OK;

	if (!wts_digest_file(args[0], chunk_bytes, list, &version, &err)) {
		rc = cli_fail(&err);
	} else if (cli->out != NULL &&
	    !g_file_set_contents(cli->out, (const gchar *)list->data,
		(gssize)list->len, &error)) {
		fprintf(stderr, "currantchute: %s\n", error->message);
		g_error_free(error);
		rc = EXIT_USAGE;
	} else {
		digest_to_hex(&version.root, hex);
		print_version(cli, hex, &version);
	}
	g_byte_array_unref(list);
	return rc;
}

static struct cli_edit *
edit_add(const struct cfg *cfg, void *ctx, size_t *n)
{
	const struct model_edit *e = ctx;
	const struct cli *cli = e->cli;
	struct cli_edit *list = g_new0(struct cli_edit, EDITS_MAX);

	add_edit(list, n,
	    g_strdup_printf("models.%s.versions.%s", e->model, e->version),
	    g_strdup_printf("{root: \"%s\", bytes: %lld, chunk_bytes: %lld, "
			    "weights: \"%s\", chunks: \"%s\"}",
		cli->root, cli->bytes, cli->chunk_bytes, cli->weights,
		cli->chunks));
	if (cli->pool != NULL)
		add_edit(list, n,
		    g_strdup_printf("models.%s.place.pool", e->model),
		    g_strdup(cli->pool));
	if (cli->domains != NULL)
		add_edit(list, n,
		    g_strdup_printf("models.%s.place.domains", e->model),
		    g_strdup_printf("[%s]", cli->domains));
	return list;
}

int
cli_model_add(const struct cli *cli, const char **args)
{
	struct model_edit e = { .cli = cli, .version = args[1] };
	char *workspace, *model;
	int rc;

	if (cli->root == NULL || cli->weights == NULL || cli->chunks == NULL ||
	    cli->bytes <= 0 || cli->chunk_bytes <= 0 ||
	    !cfg_key_valid(args[1])) {
		fprintf(stderr,
		    "currantchute: --root, --bytes, --chunk-bytes, --weights "
		    "and --chunks are required; `model digest` prints the first "
		    "three\n");
		return EXIT_USAGE;
	}
	if (!split_model(args[0], &workspace, &model))
		return EXIT_USAGE;
	e.model = model;
	rc = cli_edit_branch(cli, workspace, edit_add, &e);
	g_free(workspace);
	g_free(model);
	return rc;
}

/* ------------------------------------------------------------------ */
/* rollout start, rollout status                                       */
/* ------------------------------------------------------------------ */

static struct cli_edit *
edit_rollout(const struct cfg *cfg, void *ctx, size_t *n)
{
	const struct model_edit *e = ctx;
	const struct cli *cli = e->cli;
	struct cli_edit *list = g_new0(struct cli_edit, EDITS_MAX);
	char *at = g_strdup_printf("models.%s.rollout", e->model);

	add_edit(
	    list, n, g_strconcat(at, ".version", NULL), g_strdup(e->version));
	if (cli->policy != NULL)
		add_edit(list, n, g_strconcat(at, ".policy", NULL),
		    g_strdup(cli->policy));
	if (cli->origin_copies > 0)
		add_edit(list, n, g_strconcat(at, ".origin_copies", NULL),
		    g_strdup_printf("%d", cli->origin_copies));
	if (cli->max_unavailable > 0)
		add_edit(list, n, g_strconcat(at, ".max_unavailable", NULL),
		    g_strdup_printf("%d", cli->max_unavailable));
	g_free(at);
	return list;
}

int
cli_rollout_start(const struct cli *cli, const char **args)
{
	struct model_edit e = { .cli = cli, .version = args[1] };
	char *workspace, *model;
	int rc;

	if (!split_model(args[0], &workspace, &model))
		return EXIT_USAGE;
	e.model = model;
	rc = cli_edit_branch(cli, workspace, edit_rollout, &e);
	g_free(workspace);
	g_free(model);
	if (rc == EXIT_OK && cli->watch)
		rc = cli_rollout_status(cli, args);
	return rc;
}

static double
percent_done(JsonArray *hosts)
{
	guint i, n = json_array_get_length(hosts);
	double have = 0, total = 0;

	for (i = 0; i < n; i++) {
		JsonObject *h = json_array_get_object_element(hosts, i);

		have += (double)json_object_get_int_member(h, "have");
		total += (double)json_object_get_int_member(h, "total");
	}
	return total == 0 ? 0 : 100 * have / total;
}

static void
print_hosts(JsonArray *hosts)
{
	guint i;

	for (i = 0; i < json_array_get_length(hosts); i++) {
		JsonObject *h = json_array_get_object_element(hosts, i);

		if (json_object_get_boolean_member(h, "loaded"))
			continue;
		printf("  %s %s: %s %d/%d %s\n",
		    json_object_get_string_member(h, "host"),
		    json_object_get_string_member(h, "target"),
		    json_object_get_string_member(h, "phase"),
		    (int)json_object_get_int_member(h, "have"),
		    (int)json_object_get_int_member(h, "total"),
		    json_object_get_string_member(h, "why"));
	}
}

/* Prints the progress; true when the version is loaded at every host where it
 * is to run. */
static bool
show_progress(const struct cli *cli, JsonNode *node, bool last)
{
	JsonObject *o = json_node_get_object(node);
	JsonArray *hosts = json_object_get_array_member(o, "hosts");
	int placements = (int)json_object_get_int_member(o, "places");
	int loaded = (int)json_object_get_int_member(o, "loaded");
	bool done = placements > 0 && loaded == placements;
	bool terminal = isatty(STDOUT_FILENO);

	if (cli->json) {
		if (last || done)
			cli_print_json(node);
		return done;
	}
	if (!last && !done && !terminal)
		return false;
	printf("%s%s: loaded %d/%d, %.0f%% of the chunks%s",
	    terminal ? "\r" : "", json_object_get_string_member(o, "version"),
	    loaded, placements, percent_done(hosts), last || done ? "\n" : "");
	fflush(stdout);
	if (last && !done)
		print_hosts(hosts);
	return done;
}

int
cli_rollout_status(const struct cli *cli, const char **args)
{
	char *path = g_strconcat("/v1/rollout/", args[0], NULL);
	int64_t until = g_get_monotonic_time() + cli->wait_ms * 1000LL;
	int rc = EXIT_PENDING;
	bool last = false;

	while (rc == EXIT_PENDING && !last) {
		struct err err = { 0 };
		unsigned int status;
		JsonNode *node = NULL;

		last = !cli->watch || g_get_monotonic_time() >= until;
		if (!cli_call(cli, "GET", path, NULL, &status, &node, &err))
			rc = cli_fail(&err);
		else if (status != 200)
			rc = cli_refused(status, node);
		else if (json_object_has_member(
			     json_node_get_object(node), "hosts") &&
		    show_progress(cli, node, last))
			rc = EXIT_OK;
		if (node != NULL)
			json_node_unref(node);
		if (rc == EXIT_PENDING && !last)
			g_usleep(POLL_MS * 1000);
	}
	g_free(path);
	return rc;
}

/* ------------------------------------------------------------------ */
/* drain                                                               */
/* ------------------------------------------------------------------ */

struct drain_edit {
	const char *list; /* "drain.hosts" */
	const char *name;
	bool undo;
};

static struct cli_edit *
edit_drain(const struct cfg *cfg, void *ctx, size_t *n)
{
	const struct drain_edit *e = ctx;
	struct cli_edit *list = g_new0(struct cli_edit, EDITS_MAX);
	GString *value = g_string_new("[");
	size_t count = cfg_count(cfg, "%s", e->list), i;
	const char *name;

	for (i = 0; i < count; i++) {
		name = cfg_str(cfg, "%s.%zu", e->list, i);
		if (strcmp(name, e->name) != 0)
			g_string_append_printf(
			    value, "%s%s", value->len > 1 ? ", " : "", name);
	}
	if (!e->undo)
		g_string_append_printf(
		    value, "%s%s", value->len > 1 ? ", " : "", e->name);
	g_string_append(value, "]");
	add_edit(list, n, g_strdup(e->list), g_string_free(value, FALSE));
	return list;
}

int
cli_drain(const struct cli *cli, const char **args)
{
	struct drain_edit e = { .name = args[1], .undo = cli->undo != 0 };

	if (strcmp(args[0], "host") == 0)
		e.list = "drain.hosts";
	else if (strcmp(args[0], "domain") == 0)
		e.list = "drain.domains";
	else if (strcmp(args[0], "entry") == 0)
		e.list = "drain.entries";
	if (e.list == NULL || !cfg_key_valid(args[1])) {
		fprintf(stderr,
		    "usage: currantchute drain host|domain|entry NAME\n");
		return EXIT_USAGE;
	}
	return cli_edit_branch(cli, CFG_ROOT_WORKSPACE, edit_drain, &e);
}
