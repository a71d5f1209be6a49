/* Settings tree: builds the tree from YAML text. */

#include <errno.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <yaml.h>

#include "common/cfg_internal.h"

struct builder {
	yaml_parser_t parser;
	const char *name;
	struct cfg_node *root;
	struct cfg_node *open; /* innermost open map or list, or NULL */
	char *key; /* last key read, until its value is read; or NULL */
	int key_line;
	unsigned int depth;
	unsigned int nodes;
	struct err *err;
};

#define KEY_ALLOWED "1 to 64 letters, digits, _ and -"

/* Truncates a long message at a character boundary. err_set would truncate it
 * within a UTF-8 character, and clients would refuse the JSON response that
 * contains it. */
static void
truncate_message(GString *text)
{
	size_t len = ERR_MESSAGE_MAX - sizeof("...");

	if (text->len < ERR_MESSAGE_MAX)
		return;
	while ((text->str[len] & 0xc0) == 0x80)
		len--;
	g_string_truncate(text, len);
	g_string_append(text, "...");
}

bool
cfg_fail(const char *name, int line, const char *path, const char *allowed,
    struct err *err, const char *what)
{
	GString *text = g_string_new(NULL);

	g_string_printf(text, "%s:%d: key '%s': %s", name, line, path, what);
	if (allowed != NULL)
		g_string_append_printf(text, "; allowed: %s", allowed);
	truncate_message(text);
	err_set(err, ERR_INVALID, VERDICT_NOT_RUN, "%s", text->str);
	g_string_free(text, TRUE);
	return false;
}

bool
cfg_key_valid(const char *key)
{
	size_t i;

	for (i = 0; key[i] != '\0'; i++) {
		if (i == CFG_KEY_MAX)
			return false;
		if (!g_ascii_isalnum(key[i]) && key[i] != '_' && key[i] != '-')
			return false;
	}
	return i > 0;
}

static int
mark_line(yaml_mark_t mark)
{
	return (int)mark.line + 1;
}

/* Sets an error about the key or value that is being read. */
static bool
build_fail(
    struct builder *b, yaml_mark_t mark, const char *allowed, const char *what)
{
	char *parent = b->open != NULL ? cfg_node_path(b->open) : g_strdup("");
	char *path =
	    b->key != NULL ? cfg_path_join(parent, b->key) : g_strdup(parent);

	cfg_fail(b->name, mark_line(mark), path, allowed, b->err, what);
	g_free(path);
	g_free(parent);
	return false;
}

static bool
syntax_fail(struct builder *b)
{
	const char *problem = b->parser.problem;
	char *what = g_strdup_printf(
	    "not YAML: %s", problem != NULL ? problem : "unreadable");

	build_fail(b, b->parser.problem_mark, "one YAML document", what);
	g_free(what);
	return false;
}

/* Refuses anchors, because their aliases can expand a small document without
 * bound, and tags. */
static bool
check_plain(struct builder *b, const yaml_event_t *event,
    const yaml_char_t *anchor, const yaml_char_t *tag)
{
	if (anchor != NULL)
		return build_fail(
		    b, event->start_mark, "the value itself", "an anchor");
	if (tag != NULL)
		return build_fail(
		    b, event->start_mark, "a value without a tag", "a tag");
	return true;
}

static bool
attach(struct builder *b, struct cfg_node *node, yaml_mark_t mark)
{
	if (b->nodes == CFG_NODES_MAX) {
		cfg_node_free(node);
		return build_fail(
		    b, mark, "at most 65536 values", "too many values");
	}
	b->nodes++;
	if (b->open == NULL) {
		b->root = node;
		return true;
	}
	if (b->key != NULL) /* a block value starts on a later line */
		node->line = b->key_line;
	cfg_node_add(b->open, b->key, node);
	g_clear_pointer(&b->key, g_free);
	return true;
}

static bool
expects_key(const struct builder *b)
{
	return b->open != NULL && b->open->type == CFG_MAP && b->key == NULL;
}

static bool
add_key(struct builder *b, const yaml_event_t *event)
{
	const char *key = (const char *)event->data.scalar.value;

	/* An embedded NUL would truncate the key. */
	if (strlen(key) != event->data.scalar.length || !cfg_key_valid(key))
		return build_fail(b, event->start_mark, KEY_ALLOWED,
		    strchr(key, '.') != NULL ? "holds a key with a dot"
					     : "holds a malformed key");
	b->key = g_strdup(key);
	b->key_line = mark_line(event->start_mark);
	if (g_hash_table_contains(b->open->by_key, key))
		return build_fail(b, event->start_mark, "once", "given twice");
	return true;
}

static bool
add_scalar(struct builder *b, const yaml_event_t *event)
{
	const char *text = (const char *)event->data.scalar.value;
	struct cfg_node *node;

	if (!check_plain(
		b, event, event->data.scalar.anchor, event->data.scalar.tag))
		return false;
	if (expects_key(b))
		return add_key(b, event);
	if (strlen(text) != event->data.scalar.length)
		return build_fail(b, event->start_mark, "text without NUL",
		    "holds a NUL character");
	node = cfg_node_new(CFG_STRING, mark_line(event->start_mark));
	node->text = g_strdup(text);
	node->quoted = event->data.scalar.style != YAML_PLAIN_SCALAR_STYLE;
	return attach(b, node, event->start_mark);
}

static bool
open_container(struct builder *b, const yaml_event_t *event, enum cfg_type type)
{
	struct cfg_node *node;

	if (expects_key(b))
		return build_fail(b, event->start_mark, KEY_ALLOWED,
		    "holds a map or list as a key");
	/* The tree is traversed recursively: without a depth limit a document
	 * of opening brackets would overflow the stack. */
	if (b->depth == CFG_DEPTH_MAX)
		return build_fail(
		    b, event->start_mark, "16 levels", "nested too deep");
	node = cfg_node_new(type, mark_line(event->start_mark));
	if (!attach(b, node, event->start_mark))
		return false;
	b->open = node;
	b->depth++;
	return true;
}

static void
close_container(struct builder *b)
{
	b->open = b->open->parent;
	b->depth--;
}

static bool
check_single_document(struct builder *b, const yaml_event_t *event)
{
	if (b->root != NULL)
		return build_fail(
		    b, event->start_mark, "one document", "a second document");
	return true;
}

static bool
handle_event(struct builder *b, const yaml_event_t *event)
{
	switch (event->type) {
	case YAML_DOCUMENT_START_EVENT:
		return check_single_document(b, event);
	case YAML_SCALAR_EVENT:
		return add_scalar(b, event);
	case YAML_MAPPING_START_EVENT:
		return check_plain(b, event, event->data.mapping_start.anchor,
			   event->data.mapping_start.tag) &&
		    open_container(b, event, CFG_MAP);
	case YAML_SEQUENCE_START_EVENT:
		return check_plain(b, event, event->data.sequence_start.anchor,
			   event->data.sequence_start.tag) &&
		    open_container(b, event, CFG_LIST);
	case YAML_MAPPING_END_EVENT:
	case YAML_SEQUENCE_END_EVENT:
		close_container(b);
		return true;
	case YAML_ALIAS_EVENT:
		return build_fail(
		    b, event->start_mark, "the value itself", "an alias");
	default:
		return true;
	}
}

static bool
read_events(struct builder *b)
{
	yaml_event_t event;
	bool ended = false;
	bool ok = true;

	while (ok && !ended) {
		if (yaml_parser_parse(&b->parser, &event) == 0)
			return syntax_fail(b);
		ended = event.type == YAML_STREAM_END_EVENT;
		ok = handle_event(b, &event);
		yaml_event_delete(&event);
	}
	return ok;
}

static bool
check_text(const char *name, const char *text, size_t len, struct err *err)
{
	const char *bad, *c;
	int line = 1;

	if (len > CFG_DOCUMENT_MAX)
		return cfg_fail(
		    name, 1, "", "1048576 bytes", err, "document too large");
	if (g_utf8_validate_len(text, len, &bad))
		return true;
	for (c = text; c < bad; c++)
		line += *c == '\n';
	return cfg_fail(
	    name, line, "", "UTF-8 text without NUL", err, "not UTF-8");
}

struct cfg_node *
cfg_build(const char *name, const char *text, size_t len, struct err *err)
{
	struct builder b = { .name = name, .err = err };
	bool ok;

	if (text == NULL)
		text = "";
	if (!check_text(name, text, len, err))
		return NULL;
	if (yaml_parser_initialize(&b.parser) == 0)
		g_error("yaml: out of memory");
	yaml_parser_set_encoding(&b.parser, YAML_UTF8_ENCODING);
	yaml_parser_set_input_string(
	    &b.parser, (const unsigned char *)text, len);
	ok = read_events(&b);
	yaml_parser_delete(&b.parser);
	g_free(b.key);
	if (ok && b.root == NULL) /* an empty document or only comments */
		b.root = cfg_node_new(CFG_MAP, 1);
	if (ok)
		return b.root;
	cfg_node_free(b.root);
	return NULL;
}

struct cfg *
cfg_parse(const char *name, const char *text, size_t len,
    const struct cfg_schema *schema, struct err *err)
{
	struct cfg_node *root = cfg_build(name, text, len, err);
	struct cfg *cfg;

	if (root == NULL)
		return NULL;
	cfg = g_new0(struct cfg, 1);
	cfg->name = g_strdup(name);
	cfg->root = root;
	cfg->schema = schema;
	if (cfg_check(cfg, err))
		return cfg;
	cfg_free(cfg);
	return NULL;
}

/* Reads at most one byte more than CFG_DOCUMENT_MAX, so that cfg_parse detects
 * and refuses a file that is too large. */
static char *
read_file(const char *path, size_t *len, struct err *err)
{
	FILE *file = fopen(path, "re");
	char *text;
	bool failed;

	if (file == NULL) {
		err_set(err, errno == ENOENT ? ERR_NOT_FOUND : ERR_INVALID,
		    VERDICT_NOT_RUN, "%s: %s", path, g_strerror(errno));
		return NULL;
	}
	text = g_malloc(CFG_DOCUMENT_MAX + 1);
	*len = fread(text, 1, CFG_DOCUMENT_MAX + 1, file);
	failed = ferror(file) != 0;
	fclose(file);
	if (!failed)
		return text;
	g_free(text);
	err_set(err, ERR_INVALID, VERDICT_NOT_RUN, "%s: cannot be read", path);
	return NULL;
}

struct cfg *
cfg_load(const char *path, const struct cfg_schema *schema, struct err *err)
{
	struct cfg *cfg;
	size_t len;
	char *text = read_file(path, &len, err);

	if (text == NULL)
		return NULL;
	cfg = cfg_parse(path, text, len, schema, err);
	g_free(text);
	return cfg;
}

void
cfg_free(struct cfg *cfg)
{
	if (cfg == NULL)
		return;
	cfg_node_free(cfg->root);
	g_free(cfg->name);
	g_free(cfg);
}

/* Line of the node at `path` or of its nearest present parent. */
static int
nearest_line(const struct cfg *cfg, const char *path)
{
	char *prefix = g_strdup(path);
	struct cfg_node *node = cfg_node_find(cfg, prefix);
	char *dot;

	while (node == NULL && (dot = strrchr(prefix, '.')) != NULL) {
		*dot = '\0';
		node = cfg_node_find(cfg, prefix);
	}
	g_free(prefix);
	return node != NULL ? node->line : cfg->root->line;
}

bool
cfg_refuse(const struct cfg *cfg, const char *path, const char *allowed,
    struct err *err, const char *format, ...)
{
	va_list args;
	char *what;

	va_start(args, format);
	what = g_strdup_vprintf(format, args);
	va_end(args);
	cfg_fail(cfg->name, nearest_line(cfg, path), path, allowed, err, what);
	g_free(what);
	return false;
}
