/* Records of a bucket and their JSON text. */

#include <json-glib/json-glib.h>
#include <string.h>

#include "common/jtext.h"
#include "route/claim_internal.h"

static const char *const state_names[CLM_STATES] = {
	[CLM_RUNNING] = "running",
	[CLM_RAN] = "ran",
	[CLM_UNSURE] = "unsure",
};

static void
free_record(gpointer data)
{
	struct clm_record *record = data;

	g_free(record->key);
	g_free(record->claimant);
	g_free(record->type);
	g_free(record->answer);
	g_free(record);
}

GHashTable *
clm_records_new(void)
{
	return g_hash_table_new_full(
	    g_str_hash, g_str_equal, NULL, free_record);
}

struct clm_record *
clm_record_add(
    GHashTable *records, const struct clm_request *request, int64_t now_us)
{
	struct clm_record *record = g_new0(struct clm_record, 1);

	record->key = g_strdup(request->key);
	record->claimant = g_strdup(request->claimant);
	record->body = request->body;
	record->claimed_us = now_us;
	record->keep_s = (request->keep_ms + CLM_RETENTION_MS) / 1000;
	g_hash_table_replace(records, record->key, record);
	return record;
}

static char *
copy_bounded(const char *text, size_t max)
{
	if (text == NULL || strlen(text) > max ||
	    !g_utf8_validate(text, -1, NULL))
		return NULL;
	return g_strdup(text);
}

void
clm_record_settle(struct clm_record *record, const struct clm_outcome *outcome)
{
	g_free(record->type);
	g_free(record->answer);
	record->state = outcome->verdict == VERDICT_RAN ? CLM_RAN : CLM_UNSURE;
	record->status = outcome->status;
	record->type = copy_bounded(outcome->type, CLM_TYPE_MAX);
	record->answer = copy_bounded(outcome->answer, CLM_ANSWER_MAX);
	record->digest = outcome->digest;
}

/* ------------------------------------------------------------------ */
/* Expiry and size                                                     */
/* ------------------------------------------------------------------ */

static int64_t
age_s(const struct clm_record *record, int64_t now_us)
{
	return MAX(now_us - record->claimed_us, 0) / G_USEC_PER_SEC;
}

static gboolean
is_expired(gpointer key, gpointer value, gpointer data)
{
	const struct clm_record *record = value;
	const int64_t *now_us = data;

	return age_s(record, *now_us) > (int64_t)record->keep_s;
}

void
clm_records_prune(GHashTable *records, int64_t now_us)
{
	g_hash_table_foreach_remove(records, is_expired, &now_us);
}

void
clm_records_strip(GHashTable *records)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, records);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct clm_record *record = value;

		g_clear_pointer(&record->answer, g_free);
	}
}

/* ------------------------------------------------------------------ */
/* Printing                                                            */
/* ------------------------------------------------------------------ */

static void
print_string(GString *out, const char *name, const char *text)
{
	g_string_append_printf(out, ",\"%s\":\"", name);
	for (; *text != '\0'; text++) {
		if (*text == '"' || *text == '\\')
			g_string_append_printf(out, "\\%c", *text);
		else if ((unsigned char)*text < ' ')
			g_string_append_printf(out, "\\u%04x", *text);
		else
			g_string_append_c(out, *text);
	}
	g_string_append_c(out, '"');
}

static void
print_record(GString *out, const struct clm_record *record, int64_t now_us)
{
	char hex[DIGEST_HEX];

	g_string_append_printf(out,
	    "{\"age_s\":%" G_GINT64_FORMAT ",\"keep_s\":%" G_GUINT64_FORMAT,
	    age_s(record, now_us), record->keep_s);
	print_string(out, "key", record->key);
	print_string(out, "asker", record->claimant);
	print_string(out, "state", state_names[record->state]);
	digest_to_hex(&record->body, hex);
	print_string(out, "body", hex);
	if (record->state == CLM_RAN) {
		g_string_append_printf(out, ",\"status\":%u", record->status);
		digest_to_hex(&record->digest, hex);
		print_string(out, "digest", hex);
	}
	if (record->type != NULL)
		print_string(out, "type", record->type);
	if (record->answer != NULL)
		print_string(out, "answer", record->answer);
	g_string_append_c(out, '}');
}

char *
clm_records_print(
    GHashTable *records, const char *owner, uint64_t fence, int64_t now_us)
{
	GString *out = g_string_new(NULL);
	GHashTableIter iter;
	gpointer value;
	bool first = true;

	g_string_append_printf(out, "{\"fence\":%" G_GUINT64_FORMAT, fence);
	print_string(out, "owner", owner);
	g_string_append(out, ",\"claims\":[");
	g_hash_table_iter_init(&iter, records);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (!first)
			g_string_append_c(out, ',');
		print_record(out, value, now_us);
		first = false;
	}
	g_string_append(out, "]}");
	return g_string_free(out, FALSE);
}

/* ------------------------------------------------------------------ */
/* Reading                                                             */
/* ------------------------------------------------------------------ */

static const char *
read_text(JsonObject *o, const char *name)
{
	return json_object_get_string_member_with_default(o, name, NULL);
}

static int64_t
read_int(JsonObject *o, const char *name)
{
	return MAX(json_object_get_int_member_with_default(o, name, 0), 0);
}

static bool
read_state(const char *text, enum clm_state *out)
{
	size_t i;

	for (i = 0; text != NULL && i < CLM_STATES; i++) {
		if (strcmp(text, state_names[i]) == 0) {
			*out = (enum clm_state)i;
			return true;
		}
	}
	return false;
}

static bool
read_record(GHashTable *records, JsonObject *o, int64_t now_us)
{
	struct clm_request request = {
		.key = read_text(o, "key"),
		.claimant = read_text(o, "asker"),
	};
	const char *body = read_text(o, "body");
	const char *digest = read_text(o, "digest");
	struct clm_record *record;
	enum clm_state state;

	if (request.key == NULL || request.claimant == NULL || body == NULL ||
	    !digest_from_hex(body, &request.body) ||
	    !read_state(read_text(o, "state"), &state))
		return false;
	record = clm_record_add(
	    records, &request, now_us - read_int(o, "age_s") * G_USEC_PER_SEC);
	record->keep_s = (uint64_t)read_int(o, "keep_s");
	record->state = state;
	record->status = (unsigned int)read_int(o, "status");
	record->type = g_strdup(read_text(o, "type"));
	record->answer = g_strdup(read_text(o, "answer"));
	record->written = true;
	return digest == NULL || digest_from_hex(digest, &record->digest);
}

static bool
read_claims(GHashTable *records, JsonObject *o, int64_t now_us)
{
	JsonNode *node = json_object_get_member(o, "claims");
	JsonArray *claims;
	JsonNode *item;
	guint i;

	if (node == NULL || !JSON_NODE_HOLDS_ARRAY(node))
		return false;
	claims = json_node_get_array(node);
	for (i = 0; i < json_array_get_length(claims); i++) {
		item = json_array_get_element(claims, i);
		if (!JSON_NODE_HOLDS_OBJECT(item) ||
		    !read_record(records, json_node_get_object(item), now_us))
			return false;
	}
	return true;
}

bool
clm_records_parse(GHashTable *records, const char *text, int64_t now_us,
    char **owner, uint64_t *fence)
{
	JsonParser *parser = json_parser_new();
	JsonObject *o = NULL;
	bool valid = false;

	if (jtext_nests_within(text, strlen(text), JTEXT_DEPTH_MAX) &&
	    json_parser_load_from_data(parser, text, -1, NULL) &&
	    json_parser_get_root(parser) != NULL &&
	    JSON_NODE_HOLDS_OBJECT(json_parser_get_root(parser)))
		o = json_node_get_object(json_parser_get_root(parser));
	if (o != NULL && read_text(o, "owner") != NULL &&
	    read_claims(records, o, now_us)) {
		*owner = g_strdup(read_text(o, "owner"));
		*fence = (uint64_t)read_int(o, "fence");
		valid = true;
	}
	g_object_unref(parser);
	return valid;
}
