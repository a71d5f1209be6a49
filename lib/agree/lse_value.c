/* Encodes and parses the JSON value of a lease object. */

#include <json-glib/json-glib.h>
#include <string.h>

#include "agree/lse_internal.h"
#include "common/jtext.h"

char *
lse_value_format(const struct lse_value *value)
{
	JsonBuilder *b = json_builder_new();
	JsonNode *root;
	char *text;

	json_builder_begin_object(b);
	json_builder_set_member_name(b, "holder");
	json_builder_add_string_value(b, value->holder);
	json_builder_set_member_name(b, "life");
	json_builder_add_int_value(b, (gint64)value->incarnation);
	json_builder_set_member_name(b, "fence");
	json_builder_add_int_value(b, (gint64)value->fence);
	json_builder_set_member_name(b, "lease_ms");
	json_builder_add_int_value(b, (gint64)value->lease_ms);
	json_builder_set_member_name(b, "handed_over");
	json_builder_add_boolean_value(b, value->handed_over);
	json_builder_end_object(b);
	root = json_builder_get_root(b);
	text = json_to_string(root, FALSE);
	json_node_unref(root);
	g_object_unref(b);
	return text;
}

#define LEASE_MAX_MS 60000 /* as in the settings */
/* The next holder's number is one higher and must be readable, too. */
#define FENCE_MAX (INT64_MAX / 2)

static bool
read_number(JsonObject *o, const char *name, int64_t max, uint64_t *out)
{
	JsonNode *node = json_object_get_member(o, name);

	if (node == NULL || !JSON_NODE_HOLDS_VALUE(node) ||
	    json_node_get_value_type(node) != G_TYPE_INT64 ||
	    json_node_get_int(node) < 0 || json_node_get_int(node) > max)
		return false;
	*out = (uint64_t)json_node_get_int(node);
	return true;
}

static bool
read_object(JsonObject *o, struct lse_value *out)
{
	JsonNode *holder = json_object_get_member(o, "holder");
	JsonNode *handed_over = json_object_get_member(o, "handed_over");

	if (holder == NULL || json_node_get_value_type(holder) != G_TYPE_STRING)
		return false;
	out->handed_over = handed_over != NULL &&
	    json_node_get_value_type(handed_over) == G_TYPE_BOOLEAN &&
	    json_node_get_boolean(handed_over);
	return g_strlcpy(out->holder, json_node_get_string(holder),
		   sizeof(out->holder)) < sizeof(out->holder) &&
	    read_number(o, "life", INT64_MAX, &out->incarnation) &&
	    read_number(o, "fence", FENCE_MAX, &out->fence) &&
	    read_number(o, "lease_ms", LEASE_MAX_MS, &out->lease_ms);
}

bool
lse_value_parse(const char *text, struct lse_value *out)
{
	JsonParser *parser = json_parser_new();
	JsonNode *root;
	bool ok = false;

	*out = (struct lse_value){ 0 };
	if (jtext_nests_within(text, strlen(text), JTEXT_DEPTH_MAX) &&
	    jtext_ints_fit(text, strlen(text)) &&
	    json_parser_load_from_data(parser, text, -1, NULL)) {
		root = json_parser_get_root(parser);
		ok = root != NULL && JSON_NODE_HOLDS_OBJECT(root) &&
		    read_object(json_node_get_object(root), out);
	}
	g_object_unref(parser);
	return ok;
}
