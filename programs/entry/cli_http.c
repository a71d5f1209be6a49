/* HTTP calls of operators' commands to a gateway, and edits of a branch. */

#include <libsoup/soup.h>
#include <stdio.h>
#include <string.h>

#include "common/jtext.h"
#include "entry/cli.h"

#define CALL_TIMEOUT_S 10
#define ANSWER_MAX (8u << 20) /* bytes */
#define INTERIM_MAX 100 /* responses before the final one */
#define STATUS_MAX 599
#define READ_BYTES (64u << 10)
/* An edit conflicts if another operator writes between its read and write. */
#define EDIT_ATTEMPTS 5
#define POLL_MS 200

/* ------------------------------------------------------------------ */
/* Calls                                                               */
/* ------------------------------------------------------------------ */

/* The answer's JSON object, or NULL. */
static JsonNode *
read_object(GBytes *bytes)
{
	JsonParser *parser = json_parser_new();
	JsonNode *root = NULL;
	gsize len;
	const char *text = g_bytes_get_data(bytes, &len);

	if (len > 0 && jtext_nests_within(text, len, JTEXT_DEPTH_MAX) &&
	    json_parser_load_from_data(parser, text, (gssize)len, NULL) &&
	    JSON_NODE_HOLDS_OBJECT(json_parser_get_root(parser)))
		root = json_parser_steal_root(parser);
	g_object_unref(parser);
	return root;
}

/* A call to one gateway. */
struct cli_exchange {
	GCancellable *cancel;
	unsigned int interim; /* responses before the final one */
};

static void
on_interim(SoupMessage *message, gpointer data)
{
	struct cli_exchange *x = data;

	if (++x->interim > INTERIM_MAX)
		g_cancellable_cancel(x->cancel);
}

/* Returns NULL if the answer has an error or more than ANSWER_MAX bytes. */
static GBytes *
read_answer(GInputStream *stream, GCancellable *cancel, GError **error)
{
	GByteArray *answer = g_byte_array_new();
	guint8 *slice = g_malloc(READ_BYTES);
	gssize n;

	while ((n = g_input_stream_read(
		    stream, slice, READ_BYTES, cancel, error)) > 0) {
		if (answer->len + (gsize)n > ANSWER_MAX) {
			g_set_error(error, G_IO_ERROR, G_IO_ERROR_FAILED,
			    "the answer is too long");
			n = -1;
			break;
		}
		g_byte_array_append(answer, slice, (guint)n);
	}
	g_free(slice);
	if (n == 0)
		return g_byte_array_free_to_bytes(answer);
	/* Otherwise closing the stream reads the rest of the answer. */
	g_cancellable_cancel(cancel);
	g_byte_array_unref(answer);
	return NULL;
}

static GBytes *
exchange(SoupSession *session, SoupMessage *message, GError **error)
{
	struct cli_exchange x = { .cancel = g_cancellable_new() };
	GInputStream *stream;
	GBytes *answer = NULL;
	gulong signal = g_signal_connect(
	    message, "got-informational", G_CALLBACK(on_interim), &x);

	stream = soup_session_send(session, message, x.cancel, error);
	if (stream != NULL) {
		answer = read_answer(stream, x.cancel, error);
		g_input_stream_close(stream, x.cancel, NULL);
		g_object_unref(stream);
	}
	if (answer == NULL && x.interim > INTERIM_MAX) {
		g_clear_error(error);
		g_set_error(error, G_IO_ERROR, G_IO_ERROR_FAILED,
		    "interim responses without end");
	}
	g_signal_handler_disconnect(message, signal);
	g_object_unref(x.cancel);
	return answer;
}

static bool
try_entry(const struct cli *cli, SoupSession *session, const char *base,
    const char *method, const char *path, const char *body,
    unsigned int *status, JsonNode **out, struct err *err)
{
	char *url = g_strconcat(base, path, NULL);
	SoupMessage *message = soup_message_new(method, url);
	GError *error = NULL;
	GBytes *answer = NULL, *sent;
	bool is_final, answered;
	char *bearer;

	g_free(url);
	if (message == NULL) {
		return err_set(err, ERR_INVALID, VERDICT_NOT_RUN,
		    "'%s' is not a valid URL of an entry", base);
	}
	bearer = g_strconcat("Bearer ", cli->token, NULL);
	soup_message_headers_replace(
	    soup_message_get_request_headers(message), "Authorization", bearer);
	g_free(bearer);
	if (body != NULL) {
		sent = g_bytes_new(body, strlen(body));
		soup_message_set_request_body_from_bytes(
		    message, "application/json", sent);
		g_bytes_unref(sent);
	}
	answer = exchange(session, message, &error);
	/* libsoup takes a head that broke off between two lines for a whole
	 * one with an empty body, and any three digits for a status. */
	*status = soup_message_get_status(message);
	is_final = answer != NULL && *status >= 200 && *status <= STATUS_MAX;
	if (is_final)
		*out = read_object(answer);
	g_bytes_unref(answer);
	answered = is_final && (*status != SOUP_STATUS_OK || *out != NULL);
	if (!answered)
		err_set(err, ERR_UNAVAILABLE, VERDICT_MAY_HAVE_RUN, "%s: %s",
		    base,
		    error != NULL ? error->message : "the answer is malformed");
	g_clear_error(&error);
	g_object_unref(message);
	return answered;
}

bool
cli_call(const struct cli *cli, const char *method, const char *path,
    const char *body, unsigned int *status, JsonNode **out, struct err *err)
{
	SoupSession *session = soup_session_new_with_options(
	    "timeout", CALL_TIMEOUT_S, "proxy-resolver", NULL, NULL);
	char **gateways = g_strsplit(cli->entry, ",", 0);
	bool answered = false;
	size_t i;

	*out = NULL;
	/* A write may be sent to the next gateway although the first may have
	 * accepted it: both have the same operation id and condition. */
	for (i = 0; gateways[i] != NULL && !answered; i++)
		answered = try_entry(cli, session, gateways[i], method, path,
		    body, status, out, err);
	if (i == 0)
		err_set(err, ERR_INVALID, VERDICT_NOT_RUN, "no --entry given");
	g_strfreev(gateways);
	g_object_unref(session);
	return answered;
}

/* ------------------------------------------------------------------ */
/* Printing of results and errors                                      */
/* ------------------------------------------------------------------ */

void
cli_print_json(JsonNode *node)
{
	char *text;

	if (node == NULL)
		return;
	text = json_to_string(node, TRUE);
	puts(text);
	g_free(text);
}

void
cli_print_object(JsonObject *object)
{
	JsonNode *node = json_node_new(JSON_NODE_OBJECT);

	json_node_take_object(node, object);
	cli_print_json(node);
	json_node_unref(node);
}

int
cli_fail(const struct err *err)
{
	fprintf(stderr, "currantchute: %s\n", err->message);
	return err->code == ERR_UNAVAILABLE ? EXIT_UNREACHABLE : EXIT_USAGE;
}

int
cli_refused(unsigned int status, JsonNode *node)
{
	JsonObject *o = node != NULL && JSON_NODE_HOLDS_OBJECT(node)
	    ? json_node_get_object(node)
	    : NULL;
	JsonNode *member =
	    o == NULL ? NULL : json_object_get_member(o, "error");

	if (member != NULL && JSON_NODE_HOLDS_OBJECT(member)) {
		o = json_node_get_object(member);
		fprintf(stderr, "currantchute: refused (%s): %s\n",
		    json_object_get_string_member_with_default(
			o, "verdict", "?"),
		    json_object_get_string_member_with_default(
			o, "message", "?"));
	} else {
		fprintf(
		    stderr, "currantchute: refused with status %u\n", status);
	}
	return EXIT_REFUSED;
}

/* ------------------------------------------------------------------ */
/* Waiting and editing                                                 */
/* ------------------------------------------------------------------ */

static void
print_active(JsonObject *o, uint64_t version)
{
	JsonArray *overdue = json_object_get_array_member(o, "overdue");
	guint i;

	printf("version %" G_GUINT64_FORMAT " accepted, active at %d/%d",
	    version, (int)json_object_get_int_member(o, "in_force"),
	    (int)json_object_get_int_member(o, "nodes"));
	for (i = 0; i < json_array_get_length(overdue); i++)
		printf("%s%s", i == 0 ? ", overdue: " : " ",
		    json_array_get_string_element(overdue, i));
	printf("\n");
}

int
cli_wait_active(const struct cli *cli, const char *branch, uint64_t version)
{
	char *path = g_strconcat("/v1/settings/", branch, NULL);
	int64_t until = g_get_monotonic_time() + cli->wait_ms * 1000LL;
	int rc = EXIT_PENDING;
	bool last = false;

	while (rc == EXIT_PENDING && !last) {
		struct err err = { 0 };
		unsigned int status;
		JsonNode *node = NULL;
		JsonObject *o;

		last = g_get_monotonic_time() >= until;
		if (!cli_call(cli, "GET", path, NULL, &status, &node, &err)) {
			rc = cli_fail(&err);
			break;
		}
		if (status != SOUP_STATUS_OK) {
			rc = cli_refused(status, node);
		} else {
			o = json_node_get_object(node);
			if ((uint64_t)json_object_get_int_member(
				o, "version") >= version &&
			    json_object_get_int_member(o, "in_force") ==
				json_object_get_int_member(o, "nodes"))
				rc = EXIT_OK;
			if ((rc == EXIT_OK || last) && cli->json)
				cli_print_json(node);
			else if (rc == EXIT_OK || last)
				print_active(o, version);
		}
		json_node_unref(node);
		if (rc == EXIT_PENDING && !last)
			g_usleep(POLL_MS * 1000);
	}
	g_free(path);
	return rc;
}

static char *
apply_edits(const char *branch, const char *yaml,
    struct cli_edit *(*edits)(const struct cfg *cfg, void *ctx, size_t *n),
    void *ctx, struct err *err)
{
	char *text = yaml[0] != '\0' ? g_strdup(yaml)
				     : g_strdup_printf("team: %s\n", branch);
	struct cfg *cfg = cfg_parse(branch, text, strlen(text), NULL, err);
	struct cli_edit *list;
	size_t n = 0, i;

	if (cfg == NULL) {
		g_free(text);
		return NULL;
	}
	list = edits(cfg, ctx, &n);
	for (i = 0; i < n && cfg != NULL; i++) {
		g_free(text);
		text = cfg_edit(cfg, list[i].path, list[i].value, err);
		cfg_free(cfg);
		cfg = text == NULL
		    ? NULL
		    : cfg_parse(branch, text, strlen(text), NULL, err);
	}
	for (i = 0; i < n; i++) {
		g_free((char *)list[i].path);
		g_free((char *)list[i].value);
	}
	g_free(list);
	cfg_free(cfg);
	return text;
}

char *
cli_put_body(const char *yaml, uint64_t if_version)
{
	JsonObject *o = json_object_new();
	JsonNode *node = json_node_new(JSON_NODE_OBJECT);
	uint64_t id;
	char op[OBJ_OP_MAX], *text;

	random_bytes(&id, sizeof(id));
	g_snprintf(op, sizeof(op), "cli-%016" G_GINT64_MODIFIER "x", id);
	json_object_set_string_member(o, "op", op);
	json_object_set_int_member(o, "if_version", (gint64)if_version);
	json_object_set_string_member(o, "yaml", yaml);
	json_node_take_object(node, o);
	text = json_to_string(node, FALSE);
	json_node_unref(node);
	return text;
}

/* One read and one conditional write; false after a conflict, otherwise true
 * with the exit code in `rc`. */
static bool
edit_once(const struct cli *cli, const char *branch, const char *path,
    struct cli_edit *(*edits)(const struct cfg *cfg, void *ctx, size_t *n),
    void *ctx, int *rc)
{
	struct err err = { 0 };
	unsigned int status = 0;
	JsonNode *node = NULL;
	JsonObject *o;
	char *yaml, *body;
	uint64_t version;

	if (!cli_call(cli, "GET", path, NULL, &status, &node, &err)) {
		*rc = cli_fail(&err);
		return true;
	}
	if (status != SOUP_STATUS_OK) {
		*rc = cli_refused(status, node);
		json_node_unref(node);
		return true;
	}
	o = json_node_get_object(node);
	version = (uint64_t)json_object_get_int_member(o, "version");
	yaml = apply_edits(
	    branch, json_object_get_string_member(o, "yaml"), edits, ctx, &err);
	json_node_unref(node);
	if (yaml == NULL) {
		*rc = cli_fail(&err);
		return true;
	}
	body = cli_put_body(yaml, version);
	g_free(yaml);
	if (!cli_call(cli, "PUT", path, body, &status, &node, &err)) {
		*rc = cli_fail(&err);
	} else if (status == SOUP_STATUS_OK) {
		version = (uint64_t)json_object_get_int_member(
		    json_node_get_object(node), "version");
		*rc = cli_wait_active(cli, branch, version);
	} else if (status != SOUP_STATUS_CONFLICT) {
		*rc = cli_refused(status, node);
	}
	g_free(body);
	if (node != NULL)
		json_node_unref(node);
	return status != SOUP_STATUS_CONFLICT;
}

int
cli_edit_branch(const struct cli *cli, const char *branch,
    struct cli_edit *(*edits)(const struct cfg *cfg, void *ctx, size_t *n),
    void *ctx)
{
	char *path = g_strconcat("/v1/settings/", branch, NULL);
	int rc = EXIT_REFUSED, attempts = 0;

	while (!edit_once(cli, branch, path, edits, ctx, &rc)) {
		if (++attempts < EDIT_ATTEMPTS)
			continue;
		fprintf(stderr,
		    "currantchute: branch %s changed during each "
		    "attempt; nothing was written\n",
		    branch);
		break;
	}
	g_free(path);
	return rc;
}
