#ifndef TESTS_HTTP_RAW_ANSWER_H
#define TESTS_HTTP_RAW_ANSWER_H

/*
 * raw_answer: reads one HTTP answer as a caller would, without the parser of
 * lib/http, so that a fault of that parser does not hide on both sides.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

enum raw_end {
	RAW_OPEN, /* the connection is open */
	RAW_CLOSED, /* it was closed in order */
	RAW_RESET,
};

struct raw_answer {
	unsigned int status; /* 0: the head is incomplete */
	GString *head; /* with its empty line */
	GString *body; /* without chunk headers */
	/* All of the answer has arrived: its length, its last chunk, or, with
	 * neither, an orderly end of the connection. */
	bool complete;
	bool malformed;
};

static inline void
raw_answer_init(struct raw_answer *a)
{
	*a = (struct raw_answer){ .head = g_string_new(NULL),
		.body = g_string_new(NULL) };
}

static inline void
raw_answer_clear(struct raw_answer *a)
{
	g_string_free(a->head, TRUE);
	g_string_free(a->body, TRUE);
}

/* The value of a header, for g_free(); NULL: there is none. */
static inline char *
raw_answer_header(const struct raw_answer *a, const char *name)
{
	char **lines = g_strsplit(a->head->str, "\r\n", -1), *value = NULL;
	size_t len = strlen(name);
	int i;

	for (i = 1; lines[0] != NULL && lines[i] != NULL; i++) {
		if (value == NULL &&
		    g_ascii_strncasecmp(lines[i], name, len) == 0 &&
		    lines[i][len] == ':')
			value = g_strstrip(g_strdup(lines[i] + len + 1));
	}
	g_strfreev(lines);
	return value;
}

/* Appends the chunks of a body; sets `complete` after the last one. */
static inline void
raw_answer_chunks(struct raw_answer *a, const char *at, size_t left)
{
	const char *line_end;
	char *end;
	size_t size, line;

	while ((line_end = g_strstr_len(at, (gssize)left, "\r\n")) != NULL) {
		size = g_ascii_strtoull(at, &end, 16);
		line = (size_t)(line_end - at) + 2;
		a->malformed |= end == at;
		if (a->malformed || size == 0) {
			a->complete = !a->malformed && left >= line + 2 &&
			    memcmp(at + line, "\r\n", 2) == 0;
			return;
		}
		g_string_append_len(
		    a->body, at + line, (gssize)MIN(size, left - line));
		if (left < line + size + 2)
			return;
		a->malformed |= memcmp(at + line + size, "\r\n", 2) != 0;
		at += line + size + 2;
		left -= line + size + 2;
	}
}

/* Parses all bytes received so far, from the first one. */
static inline void
raw_answer_parse(struct raw_answer *a, const GString *bytes, enum raw_end end)
{
	const char *head_end =
	    g_strstr_len(bytes->str, (gssize)bytes->len, "\r\n\r\n");
	const char *at;
	char *length, *encoding;
	size_t left;

	g_string_truncate(a->body, 0);
	a->status = 0;
	a->complete = a->malformed = false;
	if (head_end == NULL)
		return;
	at = head_end + 4;
	left = bytes->len - (size_t)(at - bytes->str);
	g_string_truncate(a->head, 0);
	g_string_append_len(a->head, bytes->str, (gssize)(at - bytes->str));
	a->status = (unsigned int)atoi(a->head->str + strlen("HTTP/1.1 "));
	length = raw_answer_header(a, "Content-Length");
	encoding = raw_answer_header(a, "Transfer-Encoding");
	if (encoding != NULL) {
		a->malformed = length != NULL ||
		    g_ascii_strcasecmp(encoding, "chunked") != 0;
		raw_answer_chunks(a, at, left);
	} else {
		g_string_append_len(a->body, at, (gssize)left);
		a->complete = length == NULL
		    ? end == RAW_CLOSED
		    : left == g_ascii_strtoull(length, NULL, 10);
	}
	g_free(length);
	g_free(encoding);
}

#endif
