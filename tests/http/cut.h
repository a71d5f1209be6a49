#ifndef TESTS_HTTP_CUT_H
#define TESTS_HTTP_CUT_H

#define CUT_NUMBER 123456 /* the member "a" of their bodies */

/* Whole answers, of which tests send each beginning. */

#include <glib.h>
#include <stdbool.h>
#include <string.h>

struct cut {
	const char *name;
	const char *text;
	bool ends_by_close; /* complete from the end of its head on */
};

static const struct cut cut_kinds[] = {
	{ "length",
	    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
	    "Content-Length: 12\r\n\r\n{\"a\":123456}" },
	{ "chunked",
	    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	    "c\r\n{\"a\":123456}\r\n0\r\n\r\n" },
	{ "length and close",
	    "HTTP/1.1 200 OK\r\nConnection: close\r\n"
	    "Content-Length: 12\r\n\r\n{\"a\":123456}" },
	{ "close", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n{\"a\":123456}",
	    true },
	{ "interim answer",
	    "HTTP/1.1 102 Processing\r\nX-A: b\r\n\r\n"
	    "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n{\"a\":123456}" },
	{ "refusal",
	    "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\n"
	    "Retry-After: 30\r\nContent-Length: 2\r\n\r\n{}" },
};

/* Their heads are all of them. */
static const struct cut cut_empty_kinds[] = {
	{ "no content", "HTTP/1.1 204 No Content\r\nX-A: b\r\nX-C: d\r\n\r\n" },
	{ "length 0",
	    "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-A: b\r\n\r\n" },
};

#define CUT_KINDS (sizeof(cut_kinds) / sizeof(cut_kinds[0]))
#define CUT_EMPTY_KINDS (sizeof(cut_empty_kinds) / sizeof(cut_empty_kinds[0]))

/* The lengths to try: all but those with which the answer is complete. */
static inline size_t
cut_max(const struct cut *c)
{
	return c->ends_by_close
	    ? (size_t)(strstr(c->text, "\r\n\r\n") + 4 - c->text)
	    : strlen(c->text);
}

#endif
