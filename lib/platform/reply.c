/* Readers of JSON responses; the type of every member is checked. */

#include <string.h>

#include "common/jtext.h"
#include "platform/platform_internal.h"

#define DEPTH_MAX 32 /* valid responses have three levels */

bool
reply_malformed(struct err *err)
{
	return err_set(
	    err, ERR_UNAVAILABLE, VERDICT_MAY_HAVE_RUN, "malformed response");
}

bool
reply_open(struct reply *reply, GBytes *bytes, struct err *err)
{
	gsize len;
	const char *text = g_bytes_get_data(bytes, &len);
	JsonNode *root = NULL;

	reply->parser = json_parser_new();
	if (text != NULL && jtext_nests_within(text, len, DEPTH_MAX) &&
	    jtext_ints_fit(text, len) &&
	    g_utf8_validate(text, (gssize)len, NULL) &&
	    json_parser_load_from_data(reply->parser, text, (gssize)len, NULL))
		root = json_parser_get_root(reply->parser);
	if (root == NULL || !JSON_NODE_HOLDS_OBJECT(root)) {
		reply_close(reply);
		return reply_malformed(err);
	}
	reply->json = json_node_get_object(root);
	return true;
}

bool
reply_from_fetch(struct reply *reply, const struct fetch_response *response,
    const struct err *failure, struct err *err)
{
	if (failure != NULL) {
		if (err != NULL)
			*err = *failure;
		return false;
	}
	if (response->status != SOUP_STATUS_OK)
		return fetch_status_error(response, err);
	return reply_open(reply, response->body, err);
}

void
reply_close(struct reply *reply)
{
	g_clear_object(&reply->parser);
	reply->json = NULL;
}

static JsonNode *
member_of(JsonObject *object, const char *name, GType type)
{
	JsonNode *node = json_object_get_member(object, name);

	if (node == NULL || !JSON_NODE_HOLDS_VALUE(node) ||
	    json_node_get_value_type(node) != type)
		return NULL;
	return node;
}

bool
reply_u64(JsonObject *object, const char *name, uint64_t *out)
{
	JsonNode *node = member_of(object, name, G_TYPE_INT64);
	int64_t value = node == NULL ? -1 : json_node_get_int(node);

	if (value < 0)
		return false;
	*out = (uint64_t)value;
	return true;
}

bool
reply_str(JsonObject *object, const char *name, const char **out)
{
	JsonNode *node = member_of(object, name, G_TYPE_STRING);

	if (node == NULL)
		return false;
	*out = json_node_get_string(node);
	return true;
}

bool
reply_bool(JsonObject *object, const char *name, bool *out)
{
	JsonNode *node = member_of(object, name, G_TYPE_BOOLEAN);

	if (node == NULL)
		return false;
	*out = json_node_get_boolean(node);
	return true;
}

bool
reply_digest(JsonObject *object, const char *name, struct digest *out)
{
	const char *hex;

	return reply_str(object, name, &hex) && digest_from_hex(hex, out);
}

JsonArray *
reply_list(JsonObject *object, const char *name)
{
	JsonNode *node = json_object_get_member(object, name);

	return node != NULL && JSON_NODE_HOLDS_ARRAY(node)
	    ? json_node_get_array(node)
	    : NULL;
}

JsonArray *
reply_objects(JsonObject *object, const char *name)
{
	JsonArray *array = reply_list(object, name);
	guint i;

	if (array == NULL)
		return NULL;
	for (i = 0; i < json_array_get_length(array); i++) {
		if (!JSON_NODE_HOLDS_OBJECT(json_array_get_element(array, i)))
			return NULL;
	}
	return array;
}

GBytes *
json_text(JsonBuilder *builder)
{
	JsonNode *root = json_builder_get_root(builder);
	char *text = json_to_string(root, FALSE);

	json_node_unref(root);
	g_object_unref(builder);
	return g_bytes_new_take(text, strlen(text));
}
