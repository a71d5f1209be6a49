/* Checks that an answer is complete, comes from one version and belongs to the
 * request, token by token. */

#include <string.h>

#include "standin/caller.h"

const char *
outcome_name(enum outcome outcome)
{
	static const char *const names[OUTCOMES] = {
		[OUTCOME_ANSWERED] = "answered",
		[OUTCOME_REFUSED] = "refused",
		[OUTCOME_CUT] = "cut",
		[OUTCOME_MIXED] = "mixed",
		[OUTCOME_SWAPPED] = "swapped",
		[OUTCOME_DUPLICATED] = "duplicates",
		[OUTCOME_UNANSWERED] = "unanswered",
		[OUTCOME_UNFINISHED] = "unfinished",
	};

	return names[outcome];
}

void
check_init(struct check *c, const char *request_id, const char *model_digest,
    int64_t max_tokens)
{
	*c = (struct check){
		.request_id = g_strdup(request_id),
		.max_tokens = max_tokens,
		.line = g_string_new(NULL),
		.parser = json_parser_new_immutable(),
	};
	if (model_digest != NULL)
		g_strlcpy(c->digest, model_digest, sizeof(c->digest));
}

void
check_clear(struct check *c)
{
	g_free(c->request_id);
	if (c->line != NULL)
		g_string_free(c->line, TRUE);
	g_clear_object(&c->parser);
}

static void
check_digest(struct check *c, const char *digest)
{
	if (c->digest[0] == '\0')
		memcpy(c->digest, digest, CHECK_DIGEST);
	else if (strncmp(c->digest, digest, CHECK_DIGEST) != 0)
		c->mixed = true;
}

static void
check_id(struct check *c, const char *id, size_t len)
{
	if (c->request_id == NULL)
		c->request_id = g_strndup(id, len);
	else if (strlen(c->request_id) != len ||
	    strncmp(c->request_id, id, len) != 0)
		c->swapped = true;
}

static void
check_index(struct check *c, int64_t index)
{
	if (index < c->next || index >= c->max_tokens)
		c->duplicated = true;
	else if (index > c->next)
		c->gap = true;
	c->next = MAX(c->next, index + 1);
}

/* A token has the form `DIGEST:ID:INDEX`; other text counts as a gap. */
static void
check_token(struct check *c, const char *text, size_t len)
{
	const char *id = text + CHECK_DIGEST + 1, *colon;
	char *end;
	int64_t index;

	colon = g_strrstr_len(text, (gssize)len, ":");
	if (colon == NULL || colon < id || text[CHECK_DIGEST] != ':') {
		c->gap = true;
		return;
	}
	index = g_ascii_strtoll(colon + 1, &end, 10);
	if (end != text + len || end == colon + 1) {
		c->gap = true;
		return;
	}
	check_digest(c, text);
	check_id(c, id, (size_t)(colon - id));
	check_index(c, index);
}

/* Checks all tokens of a text, each terminated by a space; returns their
 * number. */
static size_t
check_text(struct check *c, const char *text)
{
	const char *space;
	size_t n = 0;

	while ((space = strchr(text, ' ')) != NULL) {
		check_token(c, text, (size_t)(space - text));
		text = space + 1;
		n++;
	}
	if (*text != '\0')
		c->gap = true; /* the last token is incomplete */
	return n;
}

/* Returns the content of the first choice's member `inner`, or NULL. */
static const char *
choice_text(JsonObject *object, const char *inner)
{
	JsonNode *node = json_object_get_member(object, "choices");
	JsonArray *choices;

	if (node == NULL || !JSON_NODE_HOLDS_ARRAY(node))
		return NULL;
	choices = json_node_get_array(node);
	if (json_array_get_length(choices) == 0)
		return NULL;
	node = json_array_get_element(choices, 0);
	if (!JSON_NODE_HOLDS_OBJECT(node))
		return NULL;
	node = json_object_get_member(json_node_get_object(node), inner);
	if (node == NULL || !JSON_NODE_HOLDS_OBJECT(node))
		return NULL;
	return member_str(json_node_get_object(node), "content", NULL);
}

static JsonObject *
parse_object(struct check *c, const char *data, size_t len)
{
	JsonNode *root;

	if (!json_parser_load_from_data(c->parser, data, (gssize)len, NULL))
		return NULL;
	root = json_parser_get_root(c->parser);
	if (root == NULL || !JSON_NODE_HOLDS_OBJECT(root))
		return NULL;
	return json_node_get_object(root);
}

static size_t
check_event(struct check *c, const char *data, size_t len)
{
	JsonObject *object;
	const char *text, *id;

	if (strcmp(data, "[DONE]") == 0) {
		c->done = true;
		return 0;
	}
	object = parse_object(c, data, len);
	text = object == NULL ? NULL : choice_text(object, "delta");
	if (text == NULL)
		return 0; /* no text, as in a chunk with only the role */
	id = member_str(object, "id", NULL);
	if (id != NULL)
		check_id(c, id, strlen(id));
	if (member_int(object, "index", c->next) != c->next)
		c->gap = true;
	return check_text(c, text);
}

static size_t
check_line(struct check *c, const char *line, size_t len)
{
	if (g_str_has_prefix(line, "event: error")) {
		c->error = true;
	} else if (g_str_has_prefix(line, "data: ") && !c->error) {
		return check_event(
		    c, line + strlen("data: "), len - strlen("data: "));
	}
	return 0;
}

size_t
check_stream(struct check *c, const char *data, size_t len)
{
	const char *end = data + len, *newline;
	size_t n = 0;

	while (data < end) {
		newline = memchr(data, '\n', (size_t)(end - data));
		if (newline == NULL) {
			g_string_append_len(c->line, data, end - data);
			break;
		}
		g_string_append_len(c->line, data, newline - data);
		n += check_line(c, c->line->str, c->line->len);
		g_string_truncate(c->line, 0);
		data = newline + 1;
	}
	return n;
}

void
check_body(struct check *c, const char *data, size_t len)
{
	JsonObject *object = parse_object(c, data, len);
	const char *text =
	    object == NULL ? NULL : choice_text(object, "message");

	if (text == NULL)
		return;
	check_text(c, text);
	c->done = true;
}

/* Returns the most severe fault found, or OUTCOME_ANSWERED. */
enum outcome
check_outcome(const struct check *c)
{
	if (c->swapped)
		return OUTCOME_SWAPPED;
	if (c->mixed)
		return OUTCOME_MIXED;
	if (c->duplicated)
		return OUTCOME_DUPLICATED;
	if (c->gap || c->error || !c->done || c->next < c->max_tokens)
		return OUTCOME_CUT;
	return OUTCOME_ANSWERED;
}
