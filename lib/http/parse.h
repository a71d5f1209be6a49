#ifndef HTTP_PARSE_H
#define HTTP_PARSE_H

/*
 * hparse: one HTTP/1.1 message after the other out of a byte stream. The
 * library http-parser reads the bytes; this module collects the head in one
 * block, so that header slices stay valid for the message's life, and
 * refuses what two readers could understand differently (request smuggling):
 * bare line feeds, folded lines, NUL, two lengths, a length beside chunks.
 */

#include <http_parser.h>
#include <stdbool.h>

#include "http/buf.h"

/* Borrowed text, not terminated. */
struct hslice {
	const char *p;
	size_t n;
};

struct hheader {
	struct hslice name, value;
};

/* A parsed head. Slices point into the parser's block. */
struct hmsg {
	unsigned int status; /* of a response */
	const char *method; /* of a request */
	struct hslice target; /* of a request: as sent, origin form */
	struct hheader *headers;
	size_t nheaders;
	bool http10;
	bool keep_alive; /* the sender keeps the connection */
	bool has_length; /* of a response: it says where its body ends */
	bool chunked;
	uint64_t length; /* valid with has_length and not chunked */
};

enum hparse_result {
	HPARSE_MORE, /* all bytes used, the message goes on */
	HPARSE_HEAD, /* the head is whole; feed the rest again */
	HPARSE_DONE, /* the message is whole; bytes may be left */
	HPARSE_BAD, /* not HTTP, or ambiguous */
	HPARSE_HEAD_TOO_LARGE,
};

struct hparse {
	http_parser parser;
	enum http_parser_type type;
	struct hbuf head;
	size_t head_max;
	struct hmsg msg;
	bool head_done;
	bool no_body; /* set by the owner before the head: answer to HEAD */
	bool complete;
	bool value_open; /* the last header has its value */
	size_t headers_size;
	/* Body bytes as they come. */
	void (*body)(const char *data, size_t len, void *ctx);
	void *ctx;
};

void hparse_init(struct hparse *p, enum http_parser_type type, size_t head_max,
    void (*body)(const char *data, size_t len, void *ctx), void *ctx);
/* Ready for the next message; drops the head's memory. */
void hparse_reset(struct hparse *p);
void hparse_free(struct hparse *p);
/* Feeds bytes; `used` says how many were taken. */
enum hparse_result hparse_feed(
    struct hparse *p, const void *data, size_t len, size_t *used);
/* The peer closed in order. True when that ends the message as whole. */
bool hparse_eof(struct hparse *p);

/* First header of that name (any case), or NULL. */
const struct hheader *hmsg_find(const struct hmsg *m, const char *name);
bool hslice_is(struct hslice s, const char *text); /* any case */
/* Whether a comma-separated list holds the token (any case). */
bool hslice_has_token(struct hslice list, const char *token);
/* A whole number of at most 18 digits; false when it is not one. */
bool hslice_number(struct hslice s, int64_t *out);
char *hslice_dup(struct hslice s); /* g_free */

#endif
