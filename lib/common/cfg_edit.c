/* Settings tree: copies a document with one value changed and prints it. */

#include <string.h>
#include <yaml.h>

#include "common/cfg_internal.h"

static int
append_text(void *ctx, unsigned char *data, size_t len)
{
	g_string_append_len(ctx, (const char *)data, len);
	return 1;
}

static void
emit(yaml_emitter_t *emitter, yaml_event_t *event, int initialised)
{
	/* The tree is well-formed: only a failed allocation is possible. */
	if (initialised == 0 || yaml_emitter_emit(emitter, event) == 0)
		g_error("yaml: %s",
		    emitter->problem != NULL ? emitter->problem : "no memory");
}

static void
emit_scalar(yaml_emitter_t *emitter, const char *text, bool quoted)
{
	yaml_event_t event;
	int ok;

	ok = yaml_scalar_event_initialize(&event, NULL, NULL,
	    (const yaml_char_t *)text, strlen(text), !quoted, 1,
	    quoted ? YAML_DOUBLE_QUOTED_SCALAR_STYLE : YAML_PLAIN_SCALAR_STYLE);
	emit(emitter, &event, ok);
}

static void emit_node(yaml_emitter_t *emitter, const struct cfg_node *node);

static void
emit_children(yaml_emitter_t *emitter, const struct cfg_node *node)
{
	const struct cfg_node *child;
	guint i;

	for (i = 0; i < node->children->len; i++) {
		child = g_ptr_array_index(node->children, i);
		if (child->key != NULL)
			emit_scalar(emitter, child->key, false);
		emit_node(emitter, child);
	}
}

static void
emit_node(yaml_emitter_t *emitter, const struct cfg_node *node)
{
	yaml_event_t event;
	int ok;

	switch (node->type) {
	case CFG_MAP:
		ok = yaml_mapping_start_event_initialize(
		    &event, NULL, NULL, 1, YAML_ANY_MAPPING_STYLE);
		emit(emitter, &event, ok);
		emit_children(emitter, node);
		ok = yaml_mapping_end_event_initialize(&event);
		emit(emitter, &event, ok);
		break;
	case CFG_LIST:
		ok = yaml_sequence_start_event_initialize(
		    &event, NULL, NULL, 1, YAML_ANY_SEQUENCE_STYLE);
		emit(emitter, &event, ok);
		emit_children(emitter, node);
		ok = yaml_sequence_end_event_initialize(&event);
		emit(emitter, &event, ok);
		break;
	default:
		emit_scalar(emitter, node->text, node->quoted);
		break;
	}
}

static char *
print_document(const struct cfg_node *root)
{
	GString *out = g_string_new(NULL);
	yaml_emitter_t emitter;
	yaml_event_t event;
	int ok;

	if (yaml_emitter_initialize(&emitter) == 0)
		g_error("yaml: out of memory");
	yaml_emitter_set_output(&emitter, append_text, out);
	yaml_emitter_set_unicode(&emitter, 1);
	yaml_emitter_set_width(&emitter, -1);
	ok = yaml_stream_start_event_initialize(&event, YAML_UTF8_ENCODING);
	emit(&emitter, &event, ok);
	ok = yaml_document_start_event_initialize(&event, NULL, NULL, NULL, 1);
	emit(&emitter, &event, ok);
	emit_node(&emitter, root);
	ok = yaml_document_end_event_initialize(&event, 1);
	emit(&emitter, &event, ok);
	ok = yaml_stream_end_event_initialize(&event);
	emit(&emitter, &event, ok);
	yaml_emitter_delete(&emitter);
	return g_string_free(out, FALSE);
}

static struct cfg_node *
copy_node(const struct cfg_node *node)
{
	struct cfg_node *copy = cfg_node_new(node->type, node->line);
	const struct cfg_node *child;
	guint i;

	copy->text = g_strdup(node->text);
	copy->quoted = node->quoted;
	for (i = 0; node->children != NULL && i < node->children->len; i++) {
		child = g_ptr_array_index(node->children, i);
		cfg_node_add(copy, child->key, copy_node(child));
	}
	return copy;
}

static struct cfg_node *
value_node(const char *value, struct err *err)
{
	struct cfg_node *node;

	if (value[0] != '\0')
		return cfg_build("value", value, strlen(value), err);
	node = cfg_node_new(CFG_STRING, 1);
	node->text = g_strdup("");
	node->quoted = true;
	return node;
}

/* Adds `child` to `parent` at the path segment. If that is neither a valid key
 * of a map nor the next index of a list, frees `child` and fails. */
static bool
add_child(const struct cfg *cfg, struct cfg_node *parent, const char *segment,
    struct cfg_node *child, const char *path, struct err *err)
{
	char next_index[24];

	g_snprintf(next_index, sizeof(next_index), "%zu",
	    parent->children != NULL ? (size_t)parent->children->len : 0);
	if (parent->type == CFG_MAP && cfg_key_valid(segment)) {
		cfg_node_add(parent, segment, child);
		return true;
	}
	if (parent->type == CFG_LIST && strcmp(segment, next_index) == 0) {
		cfg_node_add(parent, NULL, child);
		return true;
	}
	cfg_node_free(child);
	return cfg_refuse(cfg, path, "a key in a map, the next index of a list",
	    err, "cannot be set");
}

/* Replaces a node at its position, which preserves the order and indices. */
static void
replace_node(struct cfg_node *old, struct cfg_node *value)
{
	struct cfg_node *parent = old->parent;

	value->parent = parent;
	value->index = old->index;
	value->key = g_steal_pointer(&old->key);
	parent->children->pdata[old->index] = value;
	if (value->key != NULL)
		g_hash_table_replace(parent->by_key, value->key, value);
	cfg_node_free(old);
}

/* Type of a missing parent with the path of the first `n` segments. */
static enum cfg_type
parent_type(const struct cfg *cfg, char **segments, guint n)
{
	const struct cfg_rule *rule;
	char *rest = segments[n];
	char *path;

	segments[n] = NULL;
	path = g_strjoinv(".", segments);
	segments[n] = rest;
	rule = cfg_rule_for(cfg->schema, path);
	g_free(path);
	return rule != NULL && rule->type == CFG_LIST ? CFG_LIST : CFG_MAP;
}

/* Returns the parent of the last path segment. Missing nodes on the way are
 * created. */
static struct cfg_node *
ensure_parent(const struct cfg *cfg, struct cfg_node *root, char **segments,
    const char *path, struct err *err)
{
	struct cfg_node *node = root;
	struct cfg_node *child;
	guint i;

	for (i = 0; segments[i] != NULL && segments[i + 1] != NULL; i++) {
		child = cfg_node_child(node, segments[i]);
		if (child == NULL) {
			child =
			    cfg_node_new(parent_type(cfg, segments, i + 1), 1);
			if (!add_child(
				cfg, node, segments[i], child, path, err))
				return NULL;
		}
		node = child;
	}
	return node;
}

static bool
set_value(const struct cfg *cfg, struct cfg_node *root, const char *path,
    const char *value, struct err *err)
{
	char **segments = g_strsplit(path, ".", CFG_DEPTH_MAX + 1);
	guint last = g_strv_length(segments);
	struct cfg_node *parent, *old;
	struct cfg_node *node = NULL;
	bool ok = false;

	parent = ensure_parent(cfg, root, segments, path, err);
	if (parent != NULL)
		node = value_node(value, err);
	if (node != NULL) {
		const char *name = last > 0 ? segments[last - 1] : "";

		old = cfg_node_child(parent, name);
		ok = old != NULL ||
		    add_child(cfg, parent, name, node, path, err);
		if (old != NULL)
			replace_node(old, node);
	}
	g_strfreev(segments);
	return ok;
}

static bool
remove_value(const struct cfg *copy, const char *path, struct err *err)
{
	struct cfg_node *node = cfg_node_find(copy, path);

	if (node == NULL || node->parent == NULL)
		return err_set(err, ERR_NOT_FOUND, VERDICT_NOT_RUN,
		    "%s: no key '%s'", copy->name, path);
	cfg_node_remove(node);
	return true;
}

char *
cfg_edit(
    const struct cfg *cfg, const char *path, const char *value, struct err *err)
{
	struct cfg copy = {
		.name = cfg->name,
		.root = copy_node(cfg->root),
		.schema = cfg->schema,
	};
	char *text = NULL;
	bool ok;

	if (value != NULL)
		ok = set_value(cfg, copy.root, path, value, err);
	else
		ok = remove_value(&copy, path, err);
	if (ok)
		text = print_document(copy.root);
	cfg_node_free(copy.root);
	return text;
}
