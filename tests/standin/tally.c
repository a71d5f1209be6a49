/*
 * tally: prints one line for a bench case, from a comparison of the answers
 * that callers received with the runs that the engines and services logged.
 */

#include <stdio.h>
#include <string.h>

#include "standin/standin.h"

#define TIMEOUT_S 10
#define US_PER_MS 1000.0

/* Runs of one request, from the logs of the targets. */
struct request_runs {
	int64_t done, started; /* numbers of runs */
	GHashTable *attempts; /* attempt numbers with a finished run */
	bool attempt_twice; /* an attempt number finished twice */
};

struct tally {
	GHashTable *runs; /* request id -> struct request_runs */
	GHashTable *posts; /* path -> number of runs at the services */
	int64_t engines_mixed;
	int64_t offered, goodput, refused, cut, cut_with_error, lost;
	int64_t wrong_verdict, twice, mixed;
	double first_token_p95_ms, between_tokens_p95_ms;
};

/* ------------------------------------------------------------------ */
/* The targets' logs                                                   */
/* ------------------------------------------------------------------ */

static void
request_runs_free(void *data)
{
	struct request_runs *runs = data;

	g_hash_table_unref(runs->attempts);
	g_free(runs);
}

static struct request_runs *
runs_of(struct tally *t, const char *id)
{
	struct request_runs *runs = g_hash_table_lookup(t->runs, id);

	if (runs != NULL)
		return runs;
	runs = g_new0(struct request_runs, 1);
	runs->attempts = g_hash_table_new(NULL, NULL);
	g_hash_table_insert(t->runs, g_strdup(id), runs);
	return runs;
}

static void
add_engine_run(struct tally *t, JsonObject *run)
{
	struct request_runs *runs =
	    runs_of(t, member_str(run, "request_id", ""));
	const char *state = member_str(run, "state", "");

	/* Cancelled without a token: counts as cancelled while waiting for a
	 * slot, hence as not run. */
	if (strcmp(state, "cancelled") == 0 &&
	    member_int(run, "tokens", 0) == 0)
		return;
	runs->started++;
	if (strcmp(state, "done") != 0)
		return;
	runs->done++;
	if (!g_hash_table_add(runs->attempts,
		GSIZE_TO_POINTER(member_int(run, "attempt", 0))))
		runs->attempt_twice = true;
}

static void
add_service_run(struct tally *t, JsonObject *run)
{
	const char *path = member_str(run, "path", "");
	gsize n = GPOINTER_TO_SIZE(g_hash_table_lookup(t->posts, path));

	if (strcmp(member_str(run, "method", ""), "POST") == 0)
		g_hash_table_replace(
		    t->posts, g_strdup(path), GSIZE_TO_POINTER(n + 1));
}

/* Reads the log of a running stand-in from its URL, or of one that has exited
 * from the file where it was saved. */
static JsonNode *
read_log(SoupSession *session, const char *from)
{
	JsonParser *parser;
	JsonNode *node = NULL;

	if (g_str_has_prefix(from, "http"))
		return standin_fetch(session, from, "/admin/log");
	parser = json_parser_new();
	if (json_parser_load_from_file(parser, from, NULL))
		node = json_parser_steal_root(parser);
	g_object_unref(parser);
	return node;
}

static bool
add_logs(struct tally *t, SoupSession *session, const char *list,
    void (*add)(struct tally *, JsonObject *))
{
	char **from = g_strsplit(list == NULL ? "" : list, ",", 0);
	JsonArray *runs;
	JsonNode *log;
	bool ok = true;
	size_t i;
	guint at;

	for (i = 0; from[i] != NULL; i++) {
		log = read_log(session, from[i]);
		if (log == NULL) {
			fprintf(stderr, "tally: no log from %s\n", from[i]);
			ok = false;
			continue;
		}
		t->engines_mixed +=
		    member_int(json_node_get_object(log), "mixed", 0);
		runs = json_object_get_array_member(
		    json_node_get_object(log), "runs");
		for (at = 0; at < json_array_get_length(runs); at++)
			add(t, json_array_get_object_element(runs, at));
		json_node_unref(log);
	}
	g_strfreev(from);
	return ok;
}

/* ------------------------------------------------------------------ */
/* Answers that the callers received                                   */
/* ------------------------------------------------------------------ */

static void
compare_answer(struct tally *t, JsonObject *answer)
{
	const struct request_runs *runs =
	    g_hash_table_lookup(t->runs, member_str(answer, "request_id", ""));
	bool not_run =
	    strcmp(member_str(answer, "verdict", ""), "NOT_RUN") == 0;
	int64_t attempts =
	    g_ascii_strtoll(member_str(answer, "attempts", ""), NULL, 10);

	if (runs == NULL)
		return;
	if (not_run && runs->started > 0)
		t->wrong_verdict++;
	/* X-Attempts is sent with the headers, so it counts the attempts up to
	 * the answered one, and each of these may have finished a run. */
	if (runs->attempt_twice || runs->done > MAX(attempts, 1))
		t->twice++;
}

static double
p95_ms(JsonObject *summary, const char *name)
{
	JsonObject *hist = json_object_get_object_member(summary, name);

	return (double)member_int(hist, "p95", 0) / US_PER_MS;
}

static bool
add_caller(struct tally *t, const char *file)
{
	JsonParser *parser = json_parser_new();
	JsonObject *c;
	JsonArray *list;
	guint i;

	if (!json_parser_load_from_file(parser, file, NULL)) {
		fprintf(stderr, "tally: cannot read a summary from %s\n", file);
		g_object_unref(parser);
		return false;
	}
	c = json_node_get_object(json_parser_get_root(parser));
	t->offered += member_int(c, "sent", 0);
	t->goodput += member_int(c, "answered", 0);
	t->refused += member_int(c, "refused", 0);
	t->cut += member_int(c, "cut", 0);
	t->cut_with_error += member_int(c, "cut_with_error", 0);
	t->lost +=
	    member_int(c, "unanswered", 0) + member_int(c, "unfinished", 0);
	t->mixed += member_int(c, "mixed", 0) + member_int(c, "swapped", 0) +
	    member_int(c, "duplicates", 0);
	t->first_token_p95_ms =
	    MAX(t->first_token_p95_ms, p95_ms(c, "first_token_us"));
	t->between_tokens_p95_ms =
	    MAX(t->between_tokens_p95_ms, p95_ms(c, "between_tokens_us"));
	list = json_object_get_array_member(c, "list");
	for (i = 0; list != NULL && i < json_array_get_length(list); i++)
		compare_answer(t, json_array_get_object_element(list, i));
	g_object_unref(parser);
	return list != NULL;
}

/* Reads a line `PATH STATUS VERDICT` for each request with an idempotency key
 * to a service: the answer to the last attempt. */
static bool
add_posts(struct tally *t, const char *file)
{
	char *text, **lines, **fields;
	gsize runs;
	size_t i;

	if (!g_file_get_contents(file, &text, NULL, NULL))
		return false;
	lines = g_strsplit(g_strstrip(text), "\n", 0);
	for (i = 0; lines[i] != NULL && lines[i][0] != '\0'; i++) {
		fields = g_strsplit(lines[i], " ", 3);
		runs =
		    GPOINTER_TO_SIZE(g_hash_table_lookup(t->posts, fields[0]));
		t->offered++;
		if (g_strv_length(fields) < 3 || fields[2][0] == '\0')
			t->lost++;
		else if (strcmp(fields[1], "200") == 0)
			t->goodput++;
		else
			t->refused++;
		if (runs > 1)
			t->twice++;
		if (runs > 0 && fields[1] != NULL && fields[2] != NULL &&
		    strcmp(fields[2], "NOT_RUN") == 0)
			t->wrong_verdict++;
		g_strfreev(fields);
	}
	g_strfreev(lines);
	g_free(text);
	return true;
}

static bool
add_callers(struct tally *t, const char *files, const char *posts)
{
	char **file = g_strsplit(files == NULL ? "" : files, ",", 0);
	bool ok = true;
	size_t i;

	for (i = 0; file[i] != NULL; i++)
		ok = add_caller(t, file[i]) && ok;
	g_strfreev(file);
	return (posts == NULL || add_posts(t, posts)) && ok;
}

static void
print_line(const struct tally *t, const char *name, long long retries,
    const char *more)
{
	printf("requests case=%s offered=%" G_GINT64_FORMAT
	       " goodput=%" G_GINT64_FORMAT " first_token_p95_ms=%.1f"
	       " between_tokens_p95_ms=%.1f refused=%" G_GINT64_FORMAT
	       " wrong_verdict=%" G_GINT64_FORMAT " twice=%" G_GINT64_FORMAT
	       " mixed=%" G_GINT64_FORMAT " cut=%" G_GINT64_FORMAT
	       " retry_ratio=%.4f cut_told=%" G_GINT64_FORMAT
	       " lost=%" G_GINT64_FORMAT "%s%s\n",
	    name, t->offered, t->goodput, t->first_token_p95_ms,
	    t->between_tokens_p95_ms, t->refused, t->wrong_verdict, t->twice,
	    t->mixed + t->engines_mixed, t->cut,
	    t->offered == 0 ? 0 : (double)retries / (double)t->offered,
	    t->cut_with_error, t->lost, more == NULL ? "" : " ",
	    more == NULL ? "" : more);
}

int
tally_main(int argc, const char **argv)
{
	char *name = NULL, *engines = NULL, *services = NULL, *callers = NULL;
	char *posts = NULL, *more = NULL;
	long long retries = 0;
	const struct poptOption options[] = {
		{ "case", 0, POPT_ARG_STRING, &name, 0, "name of the case",
		    "NAME" },
		{ "engines", 0, POPT_ARG_STRING, &engines, 0,
		    "engines, or files of their logs", "URL[,URL...]" },
		{ "services", 0, POPT_ARG_STRING, &services, 0,
		    "services, or files of their logs", "URL[,URL...]" },
		{ "callers", 0, POPT_ARG_STRING, &callers, 0,
		    "summaries written with --list", "FILE[,FILE...]" },
		{ "posts", 0, POPT_ARG_STRING, &posts, 0,
		    "a line PATH STATUS VERDICT for each request with a key",
		    "FILE" },
		{ "retries", 0, POPT_ARG_LONGLONG, &retries, 0,
		    "retries counted by the gateways during the case", "N" },
		{ "more", 0, POPT_ARG_STRING, &more, 0,
		    "text appended to the line", "TEXT" },
		POPT_AUTOHELP POPT_TABLEEND,
	};
	struct tally t = {
		.runs = g_hash_table_new_full(
		    g_str_hash, g_str_equal, g_free, request_runs_free),
		.posts = g_hash_table_new_full(
		    g_str_hash, g_str_equal, g_free, NULL),
	};
	SoupSession *session;
	bool ok;

	if (!standin_options(argc, argv, options) || name == NULL)
		return 2;
	session = soup_session_new_with_options("timeout", TIMEOUT_S, NULL);
	ok = add_logs(&t, session, engines, add_engine_run);
	ok = add_logs(&t, session, services, add_service_run) && ok;
	ok = add_callers(&t, callers, posts) && ok;
	if (ok)
		print_line(&t, name, retries, more);
	else
		printf("requests case=%s failed (not all could be counted)\n",
		    name);
	g_object_unref(session);
	g_hash_table_unref(t.runs);
	g_hash_table_unref(t.posts);
	return ok && t.wrong_verdict == 0 && t.twice == 0 &&
		t.mixed + t.engines_mixed == 0
	    ? 0
	    : 1;
}
