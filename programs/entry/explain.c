/*
 * `currantchute explain ID FILE...`: prints the log lines of several processes
 * that explain the outcome of one request: every line about the request, and
 * the changes of its targets and settings that its gateways logged shortly
 * before and during it.
 */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "entry/cli.h"
#include "shared/proc.h"

/* Lines logged up to this long before the request began may explain it. */
#define CONTEXT_S 3.0
#define LINE_BYTES 1024

struct line {
	double t;
	char *node, *ev, *text;
	bool names_request;
};

struct explanation {
	const char *id;
	GPtrArray *lines; /* struct line */
	GHashTable *targets; /* named in the lines about the request */
	/* Fingerprints, as log lines have them, that blocked the request. */
	GHashTable *blocked_by;
	GHashTable *nodes; /* that logged them */
	double from, to; /* times of the first and last line about it */
};

static void
line_free(gpointer data)
{
	struct line *l = data;

	g_free(l->node);
	g_free(l->ev);
	g_free(l->text);
	g_free(l);
}

/* Value of "key=" in a line; NULL if absent. Free with g_free(). */
static char *
value_of(const char *text, const char *key)
{
	char *pattern = g_strdup_printf(" %s=", key);
	const char *start = strstr(text, pattern);
	char *value = NULL;

	if (start != NULL) {
		start += strlen(pattern);
		value = g_strndup(start, strcspn(start, " \r\n"));
	}
	g_free(pattern);
	return value;
}

/* Parses a line, without the prefix that a log collector may have added. */
static struct line *
read_line(const char *raw, const char *id)
{
	const char *start = strstr(raw, "t=");
	struct line *l;
	char *req, *copy;

	if (start == NULL || strstr(start, " ev=") == NULL)
		return NULL;
	l = g_new0(struct line, 1);
	l->t = g_ascii_strtod(start + 2, NULL);
	copy = g_strndup(start, strcspn(start, "\r\n"));
	l->text = copy;
	l->node = value_of(copy, "node");
	l->ev = value_of(copy, "ev");
	req = value_of(copy, "req");
	l->names_request = g_strcmp0(req, id) == 0;
	g_free(req);
	return l;
}

static bool
read_file(struct explanation *s, const char *path)
{
	FILE *file = fopen(path, "r");
	char raw[LINE_BYTES];
	struct line *l;

	if (file == NULL) {
		fprintf(stderr, "currantchute: cannot read %s\n", path);
		return false;
	}
	while (fgets(raw, sizeof(raw), file) != NULL) {
		l = read_line(raw, s->id);
		if (l != NULL)
			g_ptr_array_add(s->lines, l);
	}
	fclose(file);
	return true;
}

/* Its form is KIND:FINGERPRINT or KIND:FINGERPRINT:ID. */
static void
note_blocked_by(struct explanation *s, const struct line *l)
{
	char *by = value_of(l->text, "by");
	char **fields = g_strsplit(by == NULL ? "" : by, ":", 3);

	if (g_strv_length(fields) >= 2)
		g_hash_table_add(s->blocked_by, g_strdup(fields[1]));
	g_strfreev(fields);
	g_free(by);
}

/* Collects the nodes, targets and times of the lines about the request. */
static void
note_request_lines(struct explanation *s)
{
	char *target;
	guint i;

	for (i = 0; i < s->lines->len; i++) {
		const struct line *l = s->lines->pdata[i];

		if (!l->names_request)
			continue;
		s->from = s->from == 0 ? l->t : MIN(s->from, l->t);
		s->to = MAX(s->to, l->t);
		g_hash_table_add(s->nodes, g_strdup(l->node));
		target = value_of(l->text, "target");
		if (target != NULL)
			g_hash_table_add(s->targets, target);
		note_blocked_by(s, l);
	}
}

static bool
is_process_event(const char *ev)
{
	static const char *const names[] = { "start", "stop", "reload",
		"store_lost", "store_back", "store_watch", "store_down",
		"deadline", "store_stale", "store_history", "config", "version",
		"ready", "notice", "lines_dropped" };
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(names); i++) {
		if (strcmp(ev, names[i]) == 0)
			return true;
	}
	return false;
}

/* It may have been blocked long before, and first by another process. */
static bool
names_blocked_identity(const struct explanation *s, const struct line *l)
{
	char *part = value_of(l->text, "part");
	char *fingerprint = part != NULL ? part : value_of(l->text, "content");
	bool names = strcmp(l->ev, "suspect") == 0 && fingerprint != NULL &&
	    g_hash_table_contains(s->blocked_by, fingerprint);

	g_free(fingerprint);
	return names;
}

static bool
is_relevant(const struct explanation *s, const struct line *l)
{
	bool is_recent = l->t >= s->from - CONTEXT_S;
	char *target, *req;
	bool relevant;

	if (l->names_request || (l->t <= s->to && names_blocked_identity(s, l)))
		return true;
	if (l->t > s->to || !g_hash_table_contains(s->nodes, l->node))
		return false;
	if (is_recent && is_process_event(l->ev))
		return true;
	/* A target's announcement may hold for longer than the context. */
	if (!is_recent && strcmp(l->ev, "notice") != 0)
		return false;
	req = value_of(l->text, "req");
	target = value_of(l->text, "target");
	relevant = req == NULL && target != NULL &&
	    g_hash_table_contains(s->targets, target);
	g_free(req);
	g_free(target);
	return relevant;
}

static gint
by_time(gconstpointer a, gconstpointer b)
{
	const struct line *x = *(const struct line *const *)a;
	const struct line *y = *(const struct line *const *)b;

	return (x->t > y->t) - (x->t < y->t);
}

static void
print_lines(const struct explanation *s)
{
	guint i;

	for (i = 0; i < s->lines->len; i++) {
		const struct line *l = s->lines->pdata[i];

		if (is_relevant(s, l))
			printf("%c %+8.3f %s\n", l->names_request ? '*' : ' ',
			    l->t - s->from, l->text);
	}
}

int
explain_main(int argc, char **argv)
{
	struct explanation s = { 0 };
	int i, rc = EXIT_OK;

	if (argc < 4) {
		fprintf(stderr,
		    "usage: currantchute explain ID FILE...\n"
		    "example: currantchute explain 9c41d07be2a35f68 "
		    "gateway-1.log gateway-2.log\n");
		return EXIT_USAGE;
	}
	s.id = argv[2];
	s.lines = g_ptr_array_new_with_free_func(line_free);
	s.targets =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	s.blocked_by =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	s.nodes = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	for (i = 3; i < argc; i++) {
		if (!read_file(&s, argv[i]))
			rc = EXIT_USAGE;
	}
	g_ptr_array_sort(s.lines, by_time);
	note_request_lines(&s);
	if (g_hash_table_size(s.nodes) == 0) {
		fprintf(stderr,
		    "currantchute: no log line names the request %s\n", s.id);
		rc = EXIT_REFUSED;
	} else
		print_lines(&s);
	g_ptr_array_unref(s.lines);
	g_hash_table_unref(s.targets);
	g_hash_table_unref(s.blocked_by);
	g_hash_table_unref(s.nodes);
	return rc;
}
