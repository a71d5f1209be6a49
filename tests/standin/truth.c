/*
 * truth: compares the logs of the stand-ins with the answers that the callers
 * received. Prints one line for the demo; exits 1 if an answer is missing,
 * truncated, mixed or in no engine's log, if a request finished twice, if a
 * replica has not loaded the version, or if the data cannot be read.
 */

#include <stdio.h>
#include <string.h>

#include "standin/standin.h"

#define TIMEOUT_S 10

struct comparison {
	GHashTable *done_runs; /* request id -> number of finished runs */
	int64_t mixed;
	int64_t twice;
	unsigned int engines, loaded;
};

JsonNode *
standin_fetch(SoupSession *session, const char *base, const char *path)
{
	char *url = g_strconcat(base, path, NULL);
	SoupMessage *message = soup_message_new("GET", url);
	GBytes *bytes = message == NULL
	    ? NULL
	    : soup_session_send_and_read(session, message, NULL, NULL);
	JsonParser *parser = json_parser_new();
	JsonNode *node = NULL;
	gsize len;
	const char *text;

	if (bytes != NULL) {
		text = g_bytes_get_data(bytes, &len);
		if (json_parser_load_from_data(parser, text, (gssize)len, NULL))
			node = json_parser_steal_root(parser);
		g_bytes_unref(bytes);
	}
	if (node == NULL || !JSON_NODE_HOLDS_OBJECT(node)) {
		fprintf(stderr, "truth: no answer from %s\n", url);
		g_clear_pointer(&node, json_node_unref);
	}
	g_clear_object(&message);
	g_object_unref(parser);
	g_free(url);
	return node;
}

/* ------------------------------------------------------------------ */
/* Engines                                                             */
/* ------------------------------------------------------------------ */

static void
add_run(struct comparison *t, JsonObject *run)
{
	const char *id = member_str(run, "request_id", "");
	gpointer n;

	if (strcmp(member_str(run, "state", ""), "done") != 0)
		return;
	n = g_hash_table_lookup(t->done_runs, id);
	if (n != NULL)
		t->twice++;
	g_hash_table_replace(t->done_runs, g_strdup(id),
	    GSIZE_TO_POINTER(GPOINTER_TO_SIZE(n) + 1));
}

static bool
add_engine(struct comparison *t, SoupSession *session, const char *base,
    const char *want)
{
	JsonNode *log = standin_fetch(session, base, "/admin/log");
	JsonNode *load = standin_fetch(session, base, "/v1/load");
	JsonArray *runs;
	guint i;

	t->engines++;
	if (log != NULL) {
		runs = json_object_get_array_member(
		    json_node_get_object(log), "runs");
		for (i = 0; i < json_array_get_length(runs); i++)
			add_run(t, json_array_get_object_element(runs, i));
		t->mixed += member_int(json_node_get_object(log), "mixed", 0);
	}
	if (load != NULL &&
	    strcmp(member_str(json_node_get_object(load), "digest", ""),
		want) == 0)
		t->loaded++;
	if (log != NULL && load != NULL) {
		json_node_unref(log);
		json_node_unref(load);
		return true;
	}
	g_clear_pointer(&log, json_node_unref);
	g_clear_pointer(&load, json_node_unref);
	return false;
}

/* ------------------------------------------------------------------ */
/* Comparison with the engines' logs                                   */
/* ------------------------------------------------------------------ */

/* Counts complete answers to requests that no engine logged as finished. */
static int64_t
count_without_run(const struct comparison *t, JsonObject *caller)
{
	JsonArray *list = json_object_get_array_member(caller, "list");
	int64_t without_run = 0;
	guint i;

	for (i = 0; list != NULL && i < json_array_get_length(list); i++) {
		JsonObject *r = json_array_get_object_element(list, i);

		if (strcmp(member_str(r, "outcome", ""), "answered") == 0 &&
		    !g_hash_table_contains(
			t->done_runs, member_str(r, "request_id", "")))
			without_run++;
	}
	return without_run;
}

static double
origin_copies(
    SoupSession *session, const char *origin, const char *name, int64_t bytes)
{
	JsonNode *node = standin_fetch(session, origin, "/admin/counts");
	JsonObject *names;
	double copies = -1;

	if (node == NULL)
		return copies;
	names = json_object_get_object_member(
	    json_node_get_object(node), "by_name");
	copies = (double)member_int(names, name, 0) / (double)bytes;
	json_node_unref(node);
	return copies;
}

int
truth_main(int argc, const char **argv)
{
	char *engines = NULL, *origin = NULL, *caller = NULL, *digest = NULL;
	char *name = NULL, *seconds = NULL;
	long long bytes = 0;
	const struct poptOption options[] = {
		{ "engines", 0, POPT_ARG_STRING, &engines, 0,
		    "engines, comma-separated", "URLS" },
		{ "origin", 0, POPT_ARG_STRING, &origin, 0, "origin", "URL" },
		{ "caller", 0, POPT_ARG_STRING, &caller, 0,
		    "summary written by the caller with --list", "FILE" },
		{ "digest", 0, POPT_ARG_STRING, &digest, 0,
		    "root digest that all engines should have loaded", "HEX" },
		{ "name", 0, POPT_ARG_STRING, &name, 0,
		    "name of the version's file at the origin", "NAME" },
		{ "bytes", 0, POPT_ARG_LONGLONG, &bytes, 0,
		    "size of the version", "N" },
		{ "seconds", 0, POPT_ARG_STRING, &seconds, 0,
		    "measured duration of the rollout, copied to the output",
		    "S" },
		POPT_AUTOHELP POPT_TABLEEND,
	};
	struct comparison t = { .done_runs = g_hash_table_new_full(
				    g_str_hash, g_str_equal, g_free, NULL) };
	SoupSession *session;
	JsonParser *parser = json_parser_new();
	JsonObject *c;
	char **urls;
	int64_t answered, offered, cut, mixed, without_run;
	double copies;
	bool ok = true;
	size_t i;

	if (!standin_options(argc, argv, options))
		return 2;
	if (engines == NULL || origin == NULL || caller == NULL ||
	    digest == NULL || name == NULL || bytes <= 0 || seconds == NULL ||
	    !json_parser_load_from_file(parser, caller, NULL)) {
		printf("demo: failed (nothing to count)\n");
		return 1;
	}
	session = soup_session_new_with_options("timeout", TIMEOUT_S, NULL);
	urls = g_strsplit(engines, ",", 0);
	for (i = 0; urls[i] != NULL; i++)
		ok = add_engine(&t, session, urls[i], digest) && ok;
	copies = origin_copies(session, origin, name, bytes);
	c = json_node_get_object(json_parser_get_root(parser));
	answered = member_int(c, "answered", 0);
	offered = member_int(c, "sent", 0);
	cut = member_int(c, "cut", 0);
	mixed =
	    t.mixed + member_int(c, "mixed", 0) + member_int(c, "swapped", 0);
	without_run = count_without_run(&t, c);
	ok = ok && t.loaded == t.engines && answered == offered &&
	    offered > 0 && cut == 0 && mixed == 0 && t.twice == 0 &&
	    without_run == 0 && copies > 0;
	printf("demo: %s replicas=%u/%u seconds=%s origin_copies=%.2f "
	       "answered=%" G_GINT64_FORMAT "/%" G_GINT64_FORMAT
	       " cut=%" G_GINT64_FORMAT " mixed=%" G_GINT64_FORMAT
	       " twice=%" G_GINT64_FORMAT "\n",
	    ok ? "ok" : "failed", t.loaded, t.engines, seconds, copies,
	    answered, offered, cut, mixed, t.twice);
	g_strfreev(urls);
	g_object_unref(session);
	g_object_unref(parser);
	g_hash_table_unref(t.done_runs);
	return ok ? 0 : 1;
}
