/* Settings tree: accessors by path. */

#include <stdarg.h>
#include <string.h>

#include "common/cfg_internal.h"

/* Finds a node. If `path_out` is not NULL, it receives the formatted path, to
 * be freed with g_free. */
static struct cfg_node *
find(const struct cfg *cfg, const char *format, va_list args, char **path_out)
{
	char *path = g_strdup_vprintf(format, args);
	struct cfg_node *node = cfg_node_find(cfg, path);

	if (path_out != NULL)
		*path_out = path;
	else
		g_free(path);
	return node;
}

/* Text of the scalar; the rule's fallback if the key is absent; else NULL. */
static const char *
find_text(const struct cfg *cfg, const char *format, va_list args)
{
	const struct cfg_rule *rule;
	char *path;
	const struct cfg_node *node = find(cfg, format, args, &path);

	rule = node == NULL ? cfg_rule_for(cfg->schema, path) : NULL;
	g_free(path);
	if (node != NULL)
		return node->text;
	return rule != NULL ? rule->fallback : NULL;
}

bool
cfg_has(const struct cfg *cfg, const char *format, ...)
{
	const struct cfg_node *node;
	va_list args;

	va_start(args, format);
	node = find(cfg, format, args, NULL);
	va_end(args);
	return node != NULL;
}

const char *
cfg_str(const struct cfg *cfg, const char *format, ...)
{
	const char *text;
	va_list args;

	va_start(args, format);
	text = find_text(cfg, format, args);
	va_end(args);
	return text != NULL ? text : "";
}

int64_t
cfg_int(const struct cfg *cfg, const char *format, ...)
{
	const char *text;
	va_list args;

	va_start(args, format);
	text = find_text(cfg, format, args);
	va_end(args);
	return text != NULL ? g_ascii_strtoll(text, NULL, 10) : 0;
}

double
cfg_num(const struct cfg *cfg, const char *format, ...)
{
	const char *text;
	va_list args;

	va_start(args, format);
	text = find_text(cfg, format, args);
	va_end(args);
	return text != NULL ? g_ascii_strtod(text, NULL) : 0;
}

bool
cfg_bool(const struct cfg *cfg, const char *format, ...)
{
	const char *text;
	va_list args;

	va_start(args, format);
	text = find_text(cfg, format, args);
	va_end(args);
	return g_strcmp0(text, "true") == 0;
}

size_t
cfg_count(const struct cfg *cfg, const char *format, ...)
{
	const struct cfg_node *node;
	va_list args;

	va_start(args, format);
	node = find(cfg, format, args, NULL);
	va_end(args);
	if (node == NULL || node->children == NULL)
		return 0;
	return node->children->len;
}

const char *
cfg_key(const struct cfg *cfg, size_t i, const char *format, ...)
{
	const struct cfg_node *node, *child;
	va_list args;

	va_start(args, format);
	node = find(cfg, format, args, NULL);
	va_end(args);
	if (node == NULL || node->type != CFG_MAP || i >= node->children->len)
		return NULL;
	child = g_ptr_array_index(node->children, i);
	return child->key;
}

int
cfg_line(const struct cfg *cfg, const char *format, ...)
{
	const struct cfg_node *node;
	va_list args;

	va_start(args, format);
	node = find(cfg, format, args, NULL);
	va_end(args);
	return node != NULL ? node->line : 0;
}

bool
cfg_list_has(const struct cfg *cfg, const char *path, const char *item)
{
	size_t n = cfg == NULL ? 0 : cfg_count(cfg, "%s", path), i;

	for (i = 0; i < n; i++) {
		if (strcmp(cfg_str(cfg, "%s.%zu", path, i), item) == 0)
			return true;
	}
	return false;
}
