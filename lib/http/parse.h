#ifndef HTTP_PARSE_H
#define HTTP_PARSE_H

/*
 * hparse: parses consecutive HTTP/1.1 messages from a byte stream with the
 * library http-parser. This module collects the head in one block, so that
 * header slices stay valid for the lifetime of the message, and rejects heads
 * that two parsers could interpret differently (request smuggling): bare line
 * feeds, folded lines, NUL, two lengths, a length together with chunked
 * encoding. Empty lines before a head count against its largest size.
 */

#include <http_parser.h>
#include <stdbool.h>

#include "http/buf.h"

/* Borrowed text, not NUL-terminated. */
struct hslice {
	const char *p;
	size_t n;
};

struct hheader {
	struct hslice name, value;
};

/* What delimits the body of a message. */
enum hframing {
	HFRAMING_NO_BODY,
	HFRAMING_LENGTH,
	HFRAMING_CHUNKED,
	HFRAMING_CLOSE, /* of a response: the end of its connection */
	HFRAMINGS,
};

/* A parsed head. Slices point into the parser's block. */
struct hmsg {
	unsigned int status; /* of a response */
	const char *method; /* of a request */
	struct hslice target; /* of a request: as received, origin form */
	struct hheader *headers;
	size_t nheaders;
	bool http10;
	bool keep_alive; /* the sender keeps the connection open */
	enum hframing framing;
	uint64_t length; /* valid with HFRAMING_LENGTH */
};

enum hparse_result {
	HPARSE_MORE, /* all bytes were consumed; the message is incomplete */
	HPARSE_HEAD, /* the head is complete; feed the remaining bytes */
	HPARSE_DONE, /* the message is complete; bytes may remain */
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
	bool no_body; /* set before the head is parsed: response to HEAD */
	bool complete;
	size_t skipped; /* empty lines before the head, in bytes */
	size_t headers_size;
	/* Called with body bytes as they are parsed. */
	void (*body)(const char *data, size_t len, void *ctx);
	void *ctx;
};

void hparse_init(struct hparse *p, enum http_parser_type type, size_t head_max,
    void (*body)(const char *data, size_t len, void *ctx), void *ctx);
/* Prepares for the next message and frees the head. */
void hparse_reset(struct hparse *p);
void hparse_free(struct hparse *p);
/* Parses bytes; `used` is set to the number consumed. */
enum hparse_result hparse_feed(
    struct hparse *p, const void *data, size_t len, size_t *used);
/* Reports an orderly close by the peer. True if the message is complete: a
 * response without a length ends with its connection. */
bool hparse_eof(struct hparse *p);

const char *hframing_name(enum hframing f);
/* The first header of that name (case-insensitive), or NULL. */
const struct hheader *hmsg_find(const struct hmsg *m, const char *name);
bool hslice_is(struct hslice s, const char *text); /* case-insensitive */
/* Whether a comma-separated list has the token (case-insensitive). */
bool hslice_has_token(struct hslice list, const char *token);
/* Parses a decimal integer of at most 18 digits; false on other text. */
bool hslice_number(struct hslice s, int64_t *out);
/* Parses a finite number, which may have a fraction, of at most 31 characters;
 * false on other text. */
bool hslice_double(struct hslice s, double *out);
char *hslice_dup(struct hslice s); /* release with g_free() */

#endif
