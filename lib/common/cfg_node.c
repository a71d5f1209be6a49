/* Settings tree: nodes and their paths. */

#include <string.h>

#include "common/cfg_internal.h"

struct cfg_node *
cfg_node_new(enum cfg_type type, int line)
{
	struct cfg_node *node = g_new0(struct cfg_node, 1);

	node->type = type;
	node->line = line;
	if (type == CFG_MAP || type == CFG_LIST)
		node->children = g_ptr_array_new();
	if (type == CFG_MAP)
		node->by_key = g_hash_table_new(g_str_hash, g_str_equal);
	return node;
}

void
cfg_node_free(struct cfg_node *node)
{
	guint i;

	if (node == NULL)
		return;
	if (node->by_key != NULL)
		g_hash_table_unref(node->by_key);
	if (node->children != NULL) {
		for (i = 0; i < node->children->len; i++)
			cfg_node_free(g_ptr_array_index(node->children, i));
		g_ptr_array_unref(node->children);
	}
	g_free(node->key);
	g_free(node->text);
	g_free(node);
}

void
cfg_node_add(struct cfg_node *parent, const char *key, struct cfg_node *child)
{
	child->parent = parent;
	child->key = g_strdup(key);
	child->index = parent->children->len;
	g_ptr_array_add(parent->children, child);
	if (key != NULL)
		g_hash_table_insert(parent->by_key, child->key, child);
}

void
cfg_node_remove(struct cfg_node *child)
{
	struct cfg_node *parent = child->parent;
	struct cfg_node *next;
	guint i;

	if (child->key != NULL)
		g_hash_table_remove(parent->by_key, child->key);
	g_ptr_array_remove_index(parent->children, child->index);
	for (i = child->index; i < parent->children->len; i++) {
		next = g_ptr_array_index(parent->children, i);
		next->index = i;
	}
	cfg_node_free(child);
}

static struct cfg_node *
list_item(const struct cfg_node *list, const char *segment)
{
	guint64 index;

	if (!g_ascii_string_to_unsigned(
		segment, 10, 0, CFG_NODES_MAX, &index, NULL))
		return NULL;
	if (index >= list->children->len)
		return NULL;
	return g_ptr_array_index(list->children, index);
}

struct cfg_node *
cfg_node_child(const struct cfg_node *parent, const char *segment)
{
	if (parent->type == CFG_MAP)
		return g_hash_table_lookup(parent->by_key, segment);
	if (parent->type == CFG_LIST)
		return list_item(parent, segment);
	return NULL;
}

struct cfg_node *
cfg_node_find(const struct cfg *cfg, const char *path)
{
	struct cfg_node *node = cfg->root;
	char **segments = g_strsplit(path, ".", -1);
	char **s;

	for (s = segments; *s != NULL && node != NULL; s++)
		node = cfg_node_child(node, *s);
	g_strfreev(segments);
	return node;
}

char *
cfg_node_path(const struct cfg_node *node)
{
	GString *path = g_string_new(NULL);
	char *segment;

	for (; node->parent != NULL; node = node->parent) {
		if (path->len > 0)
			g_string_prepend_c(path, '.');
		if (node->key != NULL) {
			g_string_prepend(path, node->key);
			continue;
		}
		segment = g_strdup_printf("%zu", node->index);
		g_string_prepend(path, segment);
		g_free(segment);
	}
	return g_string_free(path, FALSE);
}

char *
cfg_path_join(const char *parent, const char *key)
{
	if (parent[0] == '\0')
		return g_strdup(key);
	return g_strconcat(parent, ".", key, NULL);
}
