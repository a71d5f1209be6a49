/* Settings tree: checks a document against a schema. */

#include <string.h>

#include "common/cfg_internal.h"
#include "common/common_internal.h"

struct checker {
	const struct cfg *cfg;
	const struct cfg_schema *schema;
	struct err *err;
};

static const char *const form_names[] = {
	[CFG_TEXT] = "a string",
	[CFG_NAME] = "a name of a-z, 0-9 and -",
	[CFG_HEX] = "an even number of lower-case hex digits",
	[CFG_ADDRESS] = "an address as ip:port",
	[CFG_URL] = "a URL as http://host:port",
	[CFG_DECIMAL] = "a number such as 0.19",
	[CFG_POSITIVE] = "a number of at least 0.001",
};

/* Last path segment of the rule if it is a direct child of `pattern`, else
 * NULL. */
static const char *
child_segment(const struct cfg_rule *rule, const char *pattern)
{
	size_t len = strlen(pattern);
	const char *rest = rule->path;

	if (len > 0) {
		if (strncmp(rest, pattern, len) != 0 || rest[len] != '.')
			return NULL;
		rest += len + 1;
	}
	return strchr(rest, '.') == NULL ? rest : NULL;
}

/* Returns the rule for `key` in the mapping at `pattern`: the one that names
 * the key, else the wildcard `*`; NULL if there is none. */
static const struct cfg_rule *
child_rule(
    const struct cfg_schema *schema, const char *pattern, const char *key)
{
	const struct cfg_rule *wildcard = NULL;
	const char *segment;
	size_t i;

	for (i = 0; i < schema->nrules; i++) {
		segment = child_segment(&schema->rules[i], pattern);
		if (segment == NULL)
			continue;
		if (strcmp(segment, key) == 0)
			return &schema->rules[i];
		if (strcmp(segment, "*") == 0)
			wildcard = &schema->rules[i];
	}
	return wildcard;
}

static bool
segment_is_index(const char *segment)
{
	return segment[0] != '\0' &&
	    strspn(segment, "0123456789") == strlen(segment);
}

const struct cfg_rule *
cfg_rule_for(const struct cfg_schema *schema, const char *path)
{
	const struct cfg_rule *rule = NULL;
	const char *pattern = "";
	char **segments;
	char **s;

	if (schema == NULL)
		return NULL;
	segments = g_strsplit(path, ".", -1);
	for (s = segments; *s != NULL; s++) {
		if (rule != NULL && rule->type == CFG_LIST)
			rule = segment_is_index(*s)
			    ? child_rule(schema, pattern, "[]")
			    : NULL;
		else
			rule = child_rule(schema, pattern, *s);
		if (rule == NULL)
			break;
		pattern = rule->path;
	}
	g_strfreev(segments);
	return rule;
}

static bool
is_bounded(const struct cfg_rule *rule)
{
	return rule->min != 0 || rule->max != 0;
}

static void
describe_bounds(const struct cfg_rule *rule, const char *unit, GString *out)
{
	if (!is_bounded(rule))
		return;
	if (rule->min == rule->max)
		g_string_append_printf(
		    out, " of %" G_GINT64_FORMAT " %s", rule->min, unit);
	else
		g_string_append_printf(out,
		    " of %" G_GINT64_FORMAT " to %" G_GINT64_FORMAT " %s",
		    rule->min, rule->max, unit);
}

static void
describe_int(const struct cfg_rule *rule, GString *out)
{
	g_string_append(out, "an integer");
	if (is_bounded(rule))
		g_string_append_printf(out,
		    " from %" G_GINT64_FORMAT " to %" G_GINT64_FORMAT,
		    rule->min, rule->max);
	if (rule->unit != NULL)
		g_string_append_printf(out, " %s", rule->unit);
}

static void
describe_string(const struct cfg_rule *rule, GString *out)
{
	if (rule->choices != NULL) {
		g_string_append(out, rule->choices);
		return;
	}
	g_string_append(out, form_names[rule->form]);
	if (is_bounded(rule) && rule->form != CFG_TEXT)
		g_string_append_c(out, ',');
	describe_bounds(rule, "bytes", out);
}

void
cfg_describe(const struct cfg_rule *rule, GString *out)
{
	switch (rule->type) {
	case CFG_MAP:
		g_string_append(out, "a map");
		describe_bounds(rule, "entries", out);
		break;
	case CFG_LIST:
		g_string_append(out, "a list");
		describe_bounds(rule, "entries", out);
		break;
	case CFG_STRING:
		describe_string(rule, out);
		break;
	case CFG_INT:
		describe_int(rule, out);
		break;
	case CFG_BOOL:
		g_string_append(out, "true or false");
		break;
	}
}

static bool
fail_at(const struct checker *c, const struct cfg_node *node, const char *path,
    const struct cfg_rule *rule, const char *what)
{
	GString *allowed = g_string_new(NULL);

	cfg_describe(rule, allowed);
	cfg_fail(c->cfg->name, node->line, path, allowed->str, c->err, what);
	g_string_free(allowed, TRUE);
	return false;
}

static bool
fail(const struct checker *c, const struct cfg_node *node,
    const struct cfg_rule *rule, const char *what)
{
	char *path = cfg_node_path(node);

	fail_at(c, node, path, rule, what);
	g_free(path);
	return false;
}

static bool
in_bounds(const struct cfg_rule *rule, int64_t value)
{
	return !is_bounded(rule) || (value >= rule->min && value <= rule->max);
}

/* Accepts decimal numbers without a leading zero, because YAML 1.1 reads such
 * numbers as octal. */
static bool
read_int(const struct cfg_node *node, int64_t *value)
{
	const char *digits = node->text + (node->text[0] == '-');

	if (node->quoted || (digits[0] == '0' && digits[1] != '\0'))
		return false;
	return g_ascii_isdigit(digits[0]) &&
	    g_ascii_string_to_signed(
		node->text, 10, INT64_MIN, INT64_MAX, value, NULL);
}

static bool
is_choice(const char *choices, const char *text)
{
	char **names = g_strsplit(choices, "|", -1);
	bool found = g_strv_contains((const char *const *)names, text);

	g_strfreev(names);
	return found;
}

static bool
is_name(const char *text)
{
	return strspn(text, "abcdefghijklmnopqrstuvwxyz0123456789-") ==
	    strlen(text);
}

static bool
is_hex(const char *text)
{
	size_t len = strlen(text);

	return len % 2 == 0 && strspn(text, "0123456789abcdef") == len;
}

static bool
is_address(const char *text)
{
	GSocketAddress *address = net_address(text, NULL);
	bool ok = address != NULL;

	g_clear_object(&address);
	return ok;
}

static bool
is_url(const char *text)
{
	GUri *uri = g_uri_parse(text, G_URI_FLAGS_NONE, NULL);
	bool ok = uri != NULL && strcmp(g_uri_get_scheme(uri), "http") == 0 &&
	    g_uri_get_host(uri) != NULL && g_uri_get_host(uri)[0] != '\0';

	g_clear_pointer(&uri, g_uri_unref);
	return ok;
}

static bool
is_decimal(const char *text, double min)
{
	char *end;
	double value = g_ascii_strtod(text, &end);

	return end != text && *end == '\0' && value >= min && value < 1e12;
}

static bool
has_form(enum cfg_form form, const char *text)
{
	switch (form) {
	case CFG_TEXT:
		return true;
	case CFG_NAME:
		return is_name(text);
	case CFG_HEX:
		return is_hex(text);
	case CFG_ADDRESS:
		return is_address(text);
	case CFG_URL:
		return is_url(text);
	case CFG_DECIMAL:
		return is_decimal(text, 0);
	case CFG_POSITIVE:
		return is_decimal(text, 0.001);
	}
	return false;
}

static bool
check_int(const struct checker *c, const struct cfg_node *node,
    const struct cfg_rule *rule)
{
	int64_t value;

	if (!read_int(node, &value))
		return fail(c, node, rule, "not an integer");
	if (!in_bounds(rule, value))
		return fail(c, node, rule, "out of bounds");
	return true;
}

static bool
check_bool(const struct checker *c, const struct cfg_node *node,
    const struct cfg_rule *rule)
{
	if (!node->quoted && is_choice("true|false", node->text))
		return true;
	return fail(c, node, rule, "not a boolean");
}

/* Errors omit the value, because it may be a key or token. */
static bool
check_string(const struct checker *c, const struct cfg_node *node,
    const struct cfg_rule *rule)
{
	if (!node->quoted && node->text[0] == '\0')
		return fail(c, node, rule, "no value");
	if (rule->choices != NULL && !is_choice(rule->choices, node->text))
		return fail(c, node, rule, "not one of the choices");
	if (!in_bounds(rule, strlen(node->text)))
		return fail(c, node, rule, "wrong length");
	if (!has_form(rule->form, node->text))
		return fail(c, node, rule, "malformed");
	return true;
}

static bool
check_scalar(const struct checker *c, const struct cfg_node *node,
    const struct cfg_rule *rule)
{
	if (rule->type == CFG_INT)
		return check_int(c, node, rule);
	if (rule->type == CFG_BOOL)
		return check_bool(c, node, rule);
	return check_string(c, node, rule);
}

/* Levenshtein distance of two keys of at most CFG_KEY_MAX bytes. */
static unsigned int
distance(const char *a, const char *b)
{
	unsigned int row[CFG_KEY_MAX + 1];
	unsigned int diagonal, above;
	size_t i, j;
	size_t len = MIN(strlen(b), CFG_KEY_MAX);

	for (j = 0; j <= len; j++)
		row[j] = j;
	for (i = 1; a[i - 1] != '\0'; i++) {
		diagonal = row[0];
		row[0] = i;
		for (j = 1; j <= len; j++) {
			above = row[j];
			diagonal += a[i - 1] != b[j - 1];
			row[j] = MIN(diagonal, MIN(above, row[j - 1]) + 1);
			diagonal = above;
		}
	}
	return row[len];
}

#define SUGGEST_DISTANCE_MAX 2 /* a larger distance is rarely a typing error */

/* Sets an error that lists the allowed keys and suggests the nearest one. */
static bool
fail_unknown_key(
    const struct checker *c, const struct cfg_node *node, const char *pattern)
{
	GString *allowed = g_string_new(NULL);
	GString *what = g_string_new("unknown key");
	const char *nearest = NULL;
	unsigned int best = SUGGEST_DISTANCE_MAX + 1;
	const char *segment;
	char *path;
	size_t i;

	for (i = 0; i < c->schema->nrules; i++) {
		segment = child_segment(&c->schema->rules[i], pattern);
		if (segment == NULL)
			continue;
		g_string_append_printf(
		    allowed, "%s%s", allowed->len > 0 ? ", " : "", segment);
		if (distance(node->key, segment) < best) {
			best = distance(node->key, segment);
			nearest = segment;
		}
	}
	if (nearest != NULL && best < strlen(nearest))
		g_string_append_printf(what, ", did you mean '%s'?", nearest);
	path = cfg_node_path(node);
	cfg_fail(
	    c->cfg->name, node->line, path, allowed->str, c->err, what->str);
	g_free(path);
	g_string_free(what, TRUE);
	g_string_free(allowed, TRUE);
	return false;
}

static bool
check_required(
    const struct checker *c, const struct cfg_node *map, const char *pattern)
{
	const struct cfg_rule *rule;
	const char *segment;
	char *parent, *path;
	size_t i;

	for (i = 0; i < c->schema->nrules; i++) {
		rule = &c->schema->rules[i];
		segment = child_segment(rule, pattern);
		if (segment == NULL || !rule->required)
			continue;
		if (cfg_node_child(map, segment) != NULL)
			continue;
		parent = cfg_node_path(map);
		path = cfg_path_join(parent, segment);
		fail_at(c, map, path, rule, "missing");
		g_free(path);
		g_free(parent);
		return false;
	}
	return true;
}

static bool check_node(const struct checker *c, const struct cfg_node *node,
    const struct cfg_rule *rule);

static bool
check_children(
    const struct checker *c, const struct cfg_node *node, const char *pattern)
{
	const struct cfg_rule *rule;
	const struct cfg_node *child;
	guint i;

	for (i = 0; i < node->children->len; i++) {
		child = g_ptr_array_index(node->children, i);
		rule = child_rule(
		    c->schema, pattern, child->key != NULL ? child->key : "[]");
		if (rule == NULL)
			return fail_unknown_key(c, child, pattern);
		if (!check_node(c, child, rule))
			return false;
	}
	if (node->type == CFG_LIST)
		return true;
	return check_required(c, node, pattern);
}

static bool
check_node(const struct checker *c, const struct cfg_node *node,
    const struct cfg_rule *rule)
{
	bool nested = rule->type == CFG_MAP || rule->type == CFG_LIST;

	if (nested && node->type != rule->type)
		return fail(c, node, rule, "wrong type");
	if (!nested && node->type != CFG_STRING)
		return fail(c, node, rule, "wrong type");
	if (!nested)
		return check_scalar(c, node, rule);
	if (!in_bounds(rule, node->children->len))
		return fail(c, node, rule, "wrong number of entries");
	return check_children(c, node, rule->path);
}

bool
cfg_check(const struct cfg *cfg, struct err *err)
{
	struct checker c = { .cfg = cfg, .schema = cfg->schema, .err = err };

	if (cfg->root->type != CFG_MAP)
		return cfg_fail(cfg->name, cfg->root->line, "", "a map", err,
		    "the document is not a map");
	if (cfg->schema == NULL)
		return true;
	return check_children(&c, cfg->root, "");
}
