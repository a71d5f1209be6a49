#ifndef CFG_INTERNAL_H
#define CFG_INTERNAL_H

/* Nodes of the settings tree; internal to the cfg files. */

#include "common/common.h"

struct cfg_node {
	enum cfg_type type; /* CFG_MAP, CFG_LIST, or CFG_STRING for a scalar */
	struct cfg_node *parent; /* NULL at the root */
	char *key; /* if the parent is a map; NULL otherwise */
	size_t index; /* in the parent's children */
	int line;
	char *text; /* of a scalar */
	bool quoted; /* quoted or block scalar, which is never a number */
	GPtrArray *children; /* of a map or list, in document order */
	GHashTable *by_key; /* of a map; keys and values are the children's */
};

struct cfg {
	char *name;
	struct cfg_node *root; /* always a map */
	const struct cfg_schema *schema; /* may be NULL */
};

struct cfg_node *cfg_node_new(enum cfg_type type, int line);
void cfg_node_free(struct cfg_node *node);
/* Appends `child` and passes its ownership to `parent`. `key` is NULL for a
 * list. */
void cfg_node_add(
    struct cfg_node *parent, const char *key, struct cfg_node *child);
/* Removes the child from its parent and frees it. */
void cfg_node_remove(struct cfg_node *child);
struct cfg_node *cfg_node_child(
    const struct cfg_node *parent, const char *segment);
struct cfg_node *cfg_node_find(const struct cfg *cfg, const char *path);
char *cfg_node_path(const struct cfg_node *node); /* g_free */
char *cfg_path_join(const char *parent, const char *key); /* g_free */

/* Parses a document whose root may be any value, not only a map. */
struct cfg_node *cfg_build(
    const char *name, const char *text, size_t len, struct err *err);
bool cfg_check(const struct cfg *cfg, struct err *err);
/* Finds the rule of a concrete path such as "rules.0.weight", or NULL. */
const struct cfg_rule *cfg_rule_for(
    const struct cfg_schema *schema, const char *path);
/* Appends the values that a rule allows, e.g. "an integer from 1 to 9 ms". */
void cfg_describe(const struct cfg_rule *rule, GString *out);
/* Sets an error about the key at `path`. Always returns false. */
bool cfg_fail(const char *name, int line, const char *path, const char *allowed,
    struct err *err, const char *what);

#endif
