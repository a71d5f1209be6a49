#ifndef CFG_INTERNAL_H
#define CFG_INTERNAL_H

/* The settings tree's nodes, shared by the cfg files only. */

#include "common/common.h"

struct cfg_node {
	enum cfg_type type; /* CFG_MAP, CFG_LIST; CFG_STRING: any scalar */
	struct cfg_node *parent; /* NULL at the root */
	char *key; /* in a map; NULL otherwise */
	size_t index; /* in the parent's children */
	int line;
	char *text; /* of a scalar */
	bool quoted; /* a scalar in quotes or block form: never a number */
	GPtrArray *children; /* of a map or list, in the document's order */
	GHashTable *by_key; /* of a map; borrows from the children */
};

struct cfg {
	char *name;
	struct cfg_node *root; /* always a map */
	const struct cfg_schema *schema; /* may be NULL */
};

struct cfg_node *cfg_node_new(enum cfg_type type, int line);
void cfg_node_free(struct cfg_node *node);
/* The parent owns the child. `key` is NULL for a list. */
void cfg_node_add(
    struct cfg_node *parent, const char *key, struct cfg_node *child);
void cfg_node_remove(struct cfg_node *child); /* from its parent; frees */
struct cfg_node *cfg_node_child(
    const struct cfg_node *parent, const char *segment);
struct cfg_node *cfg_node_find(const struct cfg *cfg, const char *path);
char *cfg_node_path(const struct cfg_node *node); /* g_free */
char *cfg_path_join(const char *parent, const char *key); /* g_free */

/* Any value, not only a map, as the document's root. */
struct cfg_node *cfg_build(
    const char *name, const char *text, size_t len, struct err *err);
bool cfg_check(const struct cfg *cfg, struct err *err);
/* The rule of a concrete path such as "rules.0.weight"; NULL if none. */
const struct cfg_rule *cfg_rule_for(
    const struct cfg_schema *schema, const char *path);
/* Appends what a rule allows, e.g. "an integer from 1 to 9 ms". */
void cfg_describe(const struct cfg_rule *rule, GString *out);
bool cfg_fail(const char *name, int line, const char *path, const char *allowed,
    struct err *err, const char *what);

#endif
