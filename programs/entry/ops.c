/* HTTP for operators: settings, status, rollouts, the timeline. */

#include <json-glib/json-glib.h>
#include <string.h>

#include "common/jtext.h"
#include "entry/entry.h"

#define SETTINGS_PREFIX "/v1/settings/"
#define ROLLOUT_PREFIX "/v1/rollout/"
#define OVERDUE_MAX 20 /* names listed; the count covers all */
#define STATUS_WAIT_MS 250 /* for the sidecars' status answers */

/* ------------------------------------------------------------------ */
/* Tokens                                                              */
/* ------------------------------------------------------------------ */

/* The root operator's token is valid for every branch, a workspace's operator
 * token for its own branch only. */
static bool
is_authorised(
    struct entry *entry, SoupServerMessage *message, const char *branch)
{
	const struct rt_workspace *workspace = entry_workspace(entry, branch);
	struct digest want;

	if (digest_from_hex(cfg_str(entry->proc.cfg, "node.operator"), &want) &&
	    bearer_is(message, &want))
		return true;
	return workspace != NULL &&
	    !digest_is_none(&workspace->operator_token) &&
	    bearer_is(message, &workspace->operator_token);
}

static void
refuse(struct entry *entry, SoupServerMessage *message, const struct err *err)
{
	ctr_add(ctr_get(entry->proc.counters, "ops_refused"), 1);
	answer_error(message, err);
}

static void
refuse_token(struct entry *entry, SoupServerMessage *message)
{
	struct err err = { 0 };

	ctr_add(ctr_get(entry->proc.counters, "ops_wrong_token"), 1);
	err_set(&err, ERR_UNAUTHORISED, VERDICT_NOT_RUN,
	    "an operator token for this branch is required");
	refuse(entry, message, &err);
}

/* ------------------------------------------------------------------ */
/* Settings                                                            */
/* ------------------------------------------------------------------ */

static void
put_string(JsonBuilder *b, const char *name, const char *value)
{
	json_builder_set_member_name(b, name);
	json_builder_add_string_value(b, value);
}

static void
put_int(JsonBuilder *b, const char *name, gint64 value)
{
	json_builder_set_member_name(b, name);
	json_builder_add_int_value(b, value);
}

static void
finish(SoupServerMessage *message, unsigned int status, JsonBuilder *b)
{
	json_builder_end_object(b);
	answer_json(message, status, json_builder_get_root(b));
	g_object_unref(b);
}

static void
get_settings(struct entry *entry, SoupServerMessage *message, const char *name)
{
	const struct inf_branch *branch = agr_branch(entry->proc.agr, name);
	const char *overdue[OVERDUE_MAX];
	struct agr_active_count state;
	JsonBuilder *b = json_builder_new();
	size_t n = 0, i;

	agr_active_count(entry->proc.agr, &state, overdue, OVERDUE_MAX, &n);
	json_builder_begin_object(b);
	put_string(b, "branch", name);
	put_int(b, "version", branch == NULL ? 0 : (gint64)branch->version);
	put_string(b, "yaml", branch == NULL ? "" : branch->yaml);
	put_int(b, "in_force", state.active);
	put_int(b, "nodes", state.nodes);
	json_builder_set_member_name(b, "overdue");
	json_builder_begin_array(b);
	for (i = 0; i < n; i++)
		json_builder_add_string_value(b, overdue[i]);
	json_builder_end_array(b);
	finish(message, SOUP_STATUS_OK, b);
}

/* A settings write that the object API has not answered. */
struct settings_write {
	struct entry *entry;
	SoupServerMessage *message;
	char *name;
};

static void
on_settings_written(uint64_t version, const struct obj_object *now,
    const struct err *err, void *ctx)
{
	struct settings_write *s = ctx;
	JsonBuilder *b;

	if (err == NULL) {
		tl_add(s->entry->proc.timeline, "settings_accepted", s->name,
		    "version %" G_GUINT64_FORMAT, version);
		b = json_builder_new();
		json_builder_begin_object(b);
		put_int(b, "version", (gint64)version);
		finish(s->message, SOUP_STATUS_OK, b);
	} else if (err->code == ERR_CONFLICT && now != NULL) {
		b = json_builder_new();
		json_builder_begin_object(b);
		put_string(b, "error", err->message);
		put_string(b, "verdict", verdict_name(err->verdict));
		put_int(b, "version", (gint64)now->version);
		put_string(b, "yaml", now->value == NULL ? "" : now->value);
		finish(s->message, SOUP_STATUS_CONFLICT, b);
	} else {
		refuse(s->entry, s->message, err);
	}
	soup_server_message_unpause(s->message);
	g_object_unref(s->message);
	g_free(s->name);
	g_free(s);
}

static JsonObject *
read_object(JsonParser *parser, SoupServerMessage *message, struct err *err)
{
	GBytes *bytes = soup_message_body_flatten(
	    soup_server_message_get_request_body(message));
	gsize len;
	const char *text = g_bytes_get_data(bytes, &len);
	JsonObject *o = NULL;

	if (len > 0 && jtext_nests_within(text, len, JTEXT_DEPTH_MAX) &&
	    json_parser_load_from_data(parser, text, (gssize)len, NULL) &&
	    JSON_NODE_HOLDS_OBJECT(json_parser_get_root(parser)))
		o = json_node_get_object(json_parser_get_root(parser));
	else
		err_set(err, ERR_INVALID, VERDICT_NOT_RUN,
		    "the body is not a JSON object");
	g_bytes_unref(bytes);
	return o;
}

static void
put_settings(struct entry *entry, SoupServerMessage *message, const char *name)
{
	JsonParser *parser = json_parser_new();
	struct err err = { 0 };
	JsonObject *o = read_object(parser, message, &err);
	struct settings_write *s;
	const char *yaml, *op;

	if (o == NULL) {
		refuse(entry, message, &err);
		g_object_unref(parser);
		return;
	}
	yaml = json_object_get_string_member_with_default(o, "yaml", "");
	op = json_object_get_string_member_with_default(o, "op", "");
	if (op[0] == '\0' || strlen(op) >= OBJ_OP_MAX ||
	    !json_object_has_member(o, "if_version")) {
		err_set(&err, ERR_INVALID, VERDICT_NOT_RUN,
		    "'op', 'if_version' and 'yaml' are required");
		refuse(entry, message, &err);
		g_object_unref(parser);
		return;
	}
	s = g_new0(struct settings_write, 1);
	s->entry = entry;
	s->message = g_object_ref(message);
	s->name = g_strdup(name);
	soup_server_message_pause(message);
	agr_set_branch(entry->proc.agr, name, yaml,
	    (uint64_t)json_object_get_int_member_with_default(
		o, "if_version", 0),
	    op, on_settings_written, s);
	g_object_unref(parser);
}

static bool
is_branch_name(const char *name)
{
	size_t len = strlen(name);

	return len > 0 && len <= INF_BRANCH_MAX &&
	    strspn(name, "abcdefghijklmnopqrstuvwxyz0123456789-_") == len;
}

static void
on_settings(SoupServer *server, SoupServerMessage *message, const char *path,
    GHashTable *query, gpointer data)
{
	struct entry *entry = data;
	const char *name = strlen(path) > strlen(SETTINGS_PREFIX)
	    ? path + strlen(SETTINGS_PREFIX)
	    : "";
	const char *method = soup_server_message_get_method(message);
	struct err err = { 0 };

	if (!is_branch_name(name))
		err_set(&err, ERR_NOT_FOUND, VERDICT_NOT_RUN,
		    "the path must be /v1/settings/BRANCH");
	else if (!is_authorised(entry, message, name))
		refuse_token(entry, message);
	else if (strcmp(method, "GET") == 0)
		get_settings(entry, message, name);
	else if (strcmp(method, "PUT") == 0)
		put_settings(entry, message, name);
	else
		err_set(&err, ERR_INVALID, VERDICT_NOT_RUN,
		    "the method must be GET or PUT");
	if (err_is(&err))
		refuse(entry, message, &err);
}

/* ------------------------------------------------------------------ */
/* Status                                                              */
/* ------------------------------------------------------------------ */

static const char *const state_names[] = {
	[MEM_ALIVE] = "alive",
	[MEM_SUSPECT] = "suspect",
	[MEM_LEAVING] = "leaving",
	[MEM_DEAD] = "dead",
};

static void
add_member(const struct mem_member *member, void *ctx)
{
	JsonBuilder *b = ctx;

	json_builder_begin_object(b);
	put_string(b, "id", member->node.id);
	put_string(
	    b, "kind", member->node.kind == MEM_GATEWAY ? "entry" : "side");
	put_string(b, "domain", member->node.domain);
	put_string(b, "state", state_names[member->state]);
	json_builder_end_object(b);
}

static void
add_target(JsonBuilder *b, const struct rt_target *t)
{
	char hex[DIGEST_HEX];

	digest_to_hex(&t->loaded, hex);
	json_builder_begin_object(b);
	put_string(b, "target", t->name);
	put_string(b, "host", t->sidecar);
	put_string(b, "team", t->workspace);
	put_string(b, "loaded", digest_is_none(&t->loaded) ? "" : hex);
	json_builder_set_member_name(b, "accepting");
	json_builder_add_boolean_value(b, t->accepting);
	json_builder_set_member_name(b, "reachable");
	json_builder_add_boolean_value(b, t->reachable);
	put_int(b, "running", rt_target_running(t, clk_now_us(clk_system())));
	put_int(b, "slots", t->slots);
	json_builder_end_object(b);
}

static void
on_status(SoupServer *server, SoupServerMessage *message, const char *path,
    GHashTable *query, gpointer data)
{
	struct entry *entry = data;
	JsonBuilder *b;
	struct rt_target *t;
	GHashTableIter iter;
	gpointer workspace;

	if (!is_authorised(entry, message, INF_ROOT_BRANCH)) {
		refuse_token(entry, message);
		return;
	}
	b = json_builder_new();
	json_builder_begin_object(b);
	json_builder_set_member_name(b, "members");
	json_builder_begin_array(b);
	agr_each_member(entry->proc.agr, add_member, b);
	json_builder_end_array(b);
	json_builder_set_member_name(b, "targets");
	json_builder_begin_array(b);
	TAILQ_FOREACH (t, &entry->targets, link) {
		add_target(b, t);
	}
	json_builder_end_array(b);
	json_builder_set_member_name(b, "leads_here");
	json_builder_begin_array(b);
	g_hash_table_iter_init(&iter, entry->workspaces);
	while (g_hash_table_iter_next(&iter, &workspace, NULL)) {
		if (leader_is_local(entry, workspace))
			json_builder_add_string_value(b, workspace);
	}
	json_builder_end_array(b);
	finish(message, SOUP_STATUS_OK, b);
}

/* ------------------------------------------------------------------ */
/* Rollouts                                                            */
/* ------------------------------------------------------------------ */

static const char *const phase_names[] = {
	[WTS_UNKNOWN] = "unknown",
	[WTS_LIST] = "list",
	[WTS_FETCHING] = "fetching",
	[WTS_COMPLETE] = "whole",
	[WTS_NO_ROOM] = "no_room",
};

/* A rollout query that waits for the sidecars' status answers. */
struct rollout_query {
	struct entry *entry;
	SoupServerMessage *message;
	char *workspace;
	char *model;
};

static void
add_host(JsonBuilder *b, const struct rt_target *t, const struct rt_version *v)
{
	struct entry_sidecar *sidecar = t->owner;
	const struct version_status *s =
	    g_hash_table_lookup(sidecar->statuses, &v->root);

	json_builder_begin_object(b);
	put_string(b, "host", sidecar->id);
	put_string(b, "target", t->name);
	json_builder_set_member_name(b, "loaded");
	json_builder_add_boolean_value(b, digest_equal(&t->loaded, &v->root));
	put_string(b, "phase",
	    !t->reachable   ? "unreachable"
		: s == NULL ? "unknown"
			    : phase_names[s->phase]);
	put_int(b, "have", s == NULL ? 0 : (gint64)s->have);
	put_int(b, "total", s == NULL ? 0 : (gint64)s->total);
	put_string(b, "why", s == NULL ? "" : s->why);
	json_builder_end_object(b);
}

static void
add_hosts(JsonBuilder *b, struct entry *entry,
    const struct rt_workspace *workspace, const struct rt_model *model)
{
	const struct rt_version *v = model->rollout;
	const struct rt_target *t;
	unsigned int placed = 0, loaded = 0;

	put_string(b, "version", v->name);
	json_builder_set_member_name(b, "hosts");
	json_builder_begin_array(b);
	TAILQ_FOREACH (t, &entry->targets, link) {
		if (t->kind != RT_ENGINE ||
		    strcmp(t->workspace, workspace->name) != 0 ||
		    !rt_model_placed(model, t->pool, t->domain))
			continue;
		placed++;
		if (t->reachable && digest_equal(&t->loaded, &v->root))
			loaded++;
		add_host(b, t, v);
	}
	json_builder_end_array(b);
	put_int(b, "places", placed);
	put_int(b, "loaded", loaded);
}

static gboolean
answer_rollout(gpointer data)
{
	struct rollout_query *a = data;
	const struct rt_workspace *workspace =
	    entry_workspace(a->entry, a->workspace);
	const struct rt_model *model =
	    workspace == NULL ? NULL : rt_workspace_model(workspace, a->model);
	JsonBuilder *b = json_builder_new();

	json_builder_begin_object(b);
	if (model != NULL && model->rollout != NULL)
		add_hosts(b, a->entry, workspace, model);
	finish(a->message, SOUP_STATUS_OK, b);
	soup_server_message_unpause(a->message);
	g_object_unref(a->message);
	g_free(a->workspace);
	g_free(a->model);
	g_free(a);
	return G_SOURCE_REMOVE;
}

static void
request_statuses(struct entry *entry, const struct digest *root)
{
	struct rt_status_get get = { .root = *root };
	struct entry_sidecar *sidecar;

	TAILQ_FOREACH (sidecar, &entry->sidecars, link) {
		if (sidecar->open)
			conn_send(sidecar->conn, &rt_status_get_desc, &get);
	}
}

static void
start_rollout_query(struct entry *entry, SoupServerMessage *message,
    const char *workspace_name, const char *model_name)
{
	const struct rt_workspace *workspace =
	    entry_workspace(entry, workspace_name);
	const struct rt_model *model = workspace == NULL
	    ? NULL
	    : rt_workspace_model(workspace, model_name);
	struct err err = { 0 };
	struct rollout_query *a;

	if (model == NULL || model->rollout == NULL) {
		err_set(&err, ERR_NOT_FOUND, VERDICT_NOT_RUN,
		    "no rollout of %.40s/%.40s", workspace_name, model_name);
		refuse(entry, message, &err);
		return;
	}
	request_statuses(entry, &model->rollout->root);
	a = g_new0(struct rollout_query, 1);
	a->entry = entry;
	a->message = g_object_ref(message);
	a->workspace = g_strdup(workspace_name);
	a->model = g_strdup(model_name);
	soup_server_message_pause(message);
	g_timeout_add(STATUS_WAIT_MS, answer_rollout, a);
	/* cppcheck-suppress memleak ; answer_rollout frees it */
}

static void
on_rollout(SoupServer *server, SoupServerMessage *message, const char *path,
    GHashTable *query, gpointer data)
{
	struct entry *entry = data;
	char **part = g_strsplit(strlen(path) > strlen(ROLLOUT_PREFIX)
		? path + strlen(ROLLOUT_PREFIX)
		: "",
	    "/", 2);
	struct err err = { 0 };

	if (g_strv_length(part) != 2) {
		err_set(&err, ERR_NOT_FOUND, VERDICT_NOT_RUN,
		    "the path must be /v1/rollout/TEAM/MODEL");
		refuse(entry, message, &err);
	} else if (!is_authorised(entry, message, part[0])) {
		refuse_token(entry, message);
	} else {
		start_rollout_query(entry, message, part[0], part[1]);
	}
	g_strfreev(part);
}

static void
on_timeline(SoupServer *server, SoupServerMessage *message, const char *path,
    GHashTable *query, gpointer data)
{
	struct entry *entry = data;

	if (!is_authorised(entry, message, INF_ROOT_BRANCH))
		refuse_token(entry, message);
	else
		timeline_collect(entry, message);
}

void
ops_open(struct entry *entry)
{
	caller_handle(entry, "/v1/settings", on_settings);
	caller_handle(entry, "/v1/status", on_status);
	caller_handle(entry, "/v1/rollout", on_rollout);
	caller_handle(entry, "/v1/timeline", on_timeline);
}
