/* Parses HTTP messages from a byte stream with http-parser. */

#include <glib.h>
#include <math.h>
#include <string.h>

#include "http/parse.h"

#define HEADERS_INITIAL 16 /* initial capacity of the header array */

/* ------------------------------------------------------------------ */
/* Slices                                                              */
/* ------------------------------------------------------------------ */

bool
hslice_is(struct hslice s, const char *text)
{
	return strlen(text) == s.n && g_ascii_strncasecmp(s.p, text, s.n) == 0;
}

static struct hslice
trim(struct hslice s)
{
	while (s.n > 0 && (s.p[0] == ' ' || s.p[0] == '\t')) {
		s.p++;
		s.n--;
	}
	while (s.n > 0 && (s.p[s.n - 1] == ' ' || s.p[s.n - 1] == '\t'))
		s.n--;
	return s;
}

bool
hslice_has_token(struct hslice list, const char *token)
{
	struct hslice item;
	const char *comma;

	while (list.n > 0) {
		comma = memchr(list.p, ',', list.n);
		item.p = list.p;
		item.n = comma == NULL ? list.n : (size_t)(comma - list.p);
		if (hslice_is(trim(item), token))
			return true;
		if (comma == NULL)
			return false;
		list.n -= item.n + 1;
		list.p = comma + 1;
	}
	return false;
}

bool
hslice_number(struct hslice s, int64_t *out)
{
	int64_t value = 0;
	size_t i;

	s = trim(s);
	if (s.n == 0 || s.n > 18)
		return false;
	for (i = 0; i < s.n; i++) {
		if (!g_ascii_isdigit(s.p[i]))
			return false;
		value = value * 10 + (s.p[i] - '0');
	}
	*out = value;
	return true;
}

bool
hslice_double(struct hslice s, double *out)
{
	char text[32], *end;

	if (s.n == 0 || s.n >= sizeof(text))
		return false;
	memcpy(text, s.p, s.n);
	text[s.n] = '\0';
	*out = g_ascii_strtod(text, &end);
	return *end == '\0' && isfinite(*out);
}

char *
hslice_dup(struct hslice s)
{
	return g_strndup(s.p, s.n);
}

static const char *const framing_names[HFRAMINGS] = {
	[HFRAMING_NO_BODY] = "no_body",
	[HFRAMING_LENGTH] = "length",
	[HFRAMING_CHUNKED] = "chunked",
	[HFRAMING_CLOSE] = "close",
};

const char *
hframing_name(enum hframing f)
{
	return framing_names[f];
}

const struct hheader *
hmsg_find(const struct hmsg *m, const char *name)
{
	size_t i;

	for (i = 0; i < m->nheaders; i++) {
		if (hslice_is(m->headers[i].name, name))
			return &m->headers[i];
	}
	return NULL;
}

/* ------------------------------------------------------------------ */
/* http-parser callbacks                                               */
/* ------------------------------------------------------------------ */

static int
on_url(http_parser *hp, const char *at, size_t len)
{
	struct hparse *p = hp->data;

	p->msg.target = (struct hslice){ at, len };
	return 0;
}

static int
on_field(http_parser *hp, const char *at, size_t len)
{
	struct hparse *p = hp->data;

	/* Also called for trailers of a chunked body, which are dropped. */
	if (p->head_done)
		return 0;
	if (p->msg.nheaders == p->headers_size) {
		p->headers_size = MAX(HEADERS_INITIAL, 2 * p->headers_size);
		p->msg.headers =
		    g_renew(struct hheader, p->msg.headers, p->headers_size);
	}
	p->msg.headers[p->msg.nheaders++] =
	    (struct hheader){ .name = { at, len }, .value = { "", 0 } };
	return 0;
}

static int
on_value(http_parser *hp, const char *at, size_t len)
{
	struct hparse *p = hp->data;

	if (p->head_done)
		return 0;
	p->msg.headers[p->msg.nheaders - 1].value = (struct hslice){ at, len };
	return 0;
}

static bool
status_has_body(unsigned int status)
{
	return status >= 200 && status != 204 && status != 304;
}

static enum hframing
framing_of(const struct hparse *p, const http_parser *hp)
{
	if (p->no_body ||
	    (p->type == HTTP_RESPONSE && !status_has_body(hp->status_code)))
		return HFRAMING_NO_BODY;
	if ((hp->flags & F_CHUNKED) != 0)
		return HFRAMING_CHUNKED;
	if (hp->content_length != UINT64_MAX)
		return HFRAMING_LENGTH;
	return p->type == HTTP_RESPONSE ? HFRAMING_CLOSE : HFRAMING_NO_BODY;
}

static int
on_headers_complete(http_parser *hp)
{
	struct hparse *p = hp->data;

	p->msg.status = hp->status_code;
	p->msg.method = http_method_str(hp->method);
	p->msg.http10 = hp->http_major == 1 && hp->http_minor == 0;
	p->msg.keep_alive = http_should_keep_alive(hp) != 0;
	p->msg.framing = framing_of(p, hp);
	p->msg.length =
	    p->msg.framing == HFRAMING_LENGTH ? hp->content_length : 0;
	/* Protocol upgrades are not supported: parse the bytes that follow as
	 * the next HTTP message. */
	hp->upgrade = 0;
	return p->msg.framing == HFRAMING_NO_BODY ? 1 : 0;
}

static int
on_body(http_parser *hp, const char *at, size_t len)
{
	struct hparse *p = hp->data;

	p->body(at, len, p->ctx);
	return 0;
}

static int
on_complete(http_parser *hp)
{
	struct hparse *p = hp->data;

	p->complete = true;
	http_parser_pause(hp, 1);
	return 0;
}

static const http_parser_settings settings = {
	.on_url = on_url,
	.on_header_field = on_field,
	.on_header_value = on_value,
	.on_headers_complete = on_headers_complete,
	.on_body = on_body,
	.on_message_complete = on_complete,
};

/* ------------------------------------------------------------------ */
/* Parsing                                                             */
/* ------------------------------------------------------------------ */

void
hparse_init(struct hparse *p, enum http_parser_type type, size_t head_max,
    void (*body)(const char *data, size_t len, void *ctx), void *ctx)
{
	memset(p, 0, sizeof(*p));
	p->type = type;
	p->head_max = head_max;
	p->body = body;
	p->ctx = ctx;
	hparse_reset(p);
}

void
hparse_reset(struct hparse *p)
{
	http_parser_init(&p->parser, p->type);
	p->parser.data = p;
	hbuf_free(&p->head);
	g_free(p->msg.headers);
	memset(&p->msg, 0, sizeof(p->msg));
	p->headers_size = 0;
	p->skipped = 0;
	p->head_done = false;
	p->no_body = false;
	p->complete = false;
}

void
hparse_free(struct hparse *p)
{
	hparse_reset(p);
}

/* Rejects NUL, a bare CR or LF, and folded lines. Some parsers end a line at
 * a bare LF and others do not; some join a line that begins with a blank to
 * the line before it. Either can hide a second request in a header. */
static bool
lines_are_valid(const uint8_t *head, size_t len)
{
	size_t i;

	if (memchr(head, '\0', len) != NULL)
		return false;
	for (i = 0; i < len; i++) {
		if (head[i] == '\n' && (i == 0 || head[i - 1] != '\r'))
			return false;
		if (head[i] == '\r' && (i + 1 == len || head[i + 1] != '\n'))
			return false;
		if (head[i] == '\n' && i + 1 < len &&
		    (head[i + 1] == ' ' || head[i + 1] == '\t'))
			return false;
	}
	return true;
}

/* Whether a header that must be unique occurs more than once. */
static bool
is_repeated(const struct hmsg *m, const char *name)
{
	size_t i, n = 0;

	for (i = 0; i < m->nheaders; i++)
		n += hslice_is(m->headers[i].name, name);
	return n > 1;
}

/* Rejects "Name : value": some parsers include the blank in the name. */
static bool
names_are_valid(const struct hmsg *m)
{
	size_t i;

	for (i = 0; i < m->nheaders; i++) {
		struct hslice name = m->headers[i].name;

		if (name.n == 0 || memchr(name.p, ' ', name.n) != NULL ||
		    memchr(name.p, '\t', name.n) != NULL)
			return false;
	}
	return true;
}

/*
 * The library accepts any number as a status, and any reason. A status below 100
 * would count as an interim response, after which another one is awaited. No
 * upgrade is ever asked for, so nothing is known of what follows a 101.
 */
static bool
status_line_is_valid(const struct hbuf *head)
{
	const char *line = (const char *)head->data;
	const char *end = memchr(line, '\r', head->len), *at;

	if (end - line < (ptrdiff_t)strlen("HTTP/1.1 200") || line[8] != ' ' ||
	    line[9] < '1' || line[9] > '5' || !g_ascii_isdigit(line[10]) ||
	    !g_ascii_isdigit(line[11]) || memcmp(line + 9, "101", 3) == 0)
		return false;
	at = line + 12;
	if (at < end && *at != ' ')
		return false;
	while (at < end && (*at == '\t' || !g_ascii_iscntrl(*at)))
		at++;
	return at == end;
}

/* Whether a response that cannot have a body announces one. */
static bool
has_excluded_body(const struct hparse *p)
{
	const struct hheader *length;

	if (p->type != HTTP_RESPONSE ||
	    (p->msg.status != 204 && p->msg.status >= 200))
		return false;
	length = hmsg_find(&p->msg, "Content-Length");
	return hmsg_find(&p->msg, "Transfer-Encoding") != NULL ||
	    (length != NULL && !hslice_is(trim(length->value), "0"));
}

/* "chunked" is the only transfer coding that is decoded here. The header is not
 * passed on, so the body of another one would arrive without its coding. */
static bool
coding_is_known(const struct hmsg *m)
{
	const struct hheader *h = hmsg_find(m, "Transfer-Encoding");

	return h == NULL || hslice_is(trim(h->value), "chunked");
}

static bool
head_is_unambiguous(const struct hparse *p)
{
	if (!names_are_valid(&p->msg))
		return false;
	if (is_repeated(&p->msg, "Content-Length"))
		return false;
	if (is_repeated(&p->msg, "Transfer-Encoding"))
		return false;
	if (!coding_is_known(&p->msg) || has_excluded_body(p))
		return false;
	return (p->parser.flags & F_CHUNKED) == 0 ||
	    hmsg_find(&p->msg, "Content-Length") == NULL;
}

static enum hparse_result
parse_head(struct hparse *p)
{
	size_t n;

	if (!lines_are_valid(p->head.data, p->head.len))
		return HPARSE_BAD;
	if (p->type == HTTP_RESPONSE && !status_line_is_valid(&p->head))
		return HPARSE_BAD;
	/* An empty body completes the message within this call. HPARSE_DONE is
	 * left to the next call, so that the owner sees the head first. */
	n = http_parser_execute(
	    &p->parser, &settings, (const char *)p->head.data, p->head.len);
	if (HTTP_PARSER_ERRNO(&p->parser) == HPE_PAUSED)
		http_parser_pause(&p->parser, 0);
	else if (HTTP_PARSER_ERRNO(&p->parser) != HPE_OK)
		return HPARSE_BAD;
	/* HTTP/0.9 has no headers; no version but HTTP/1.x is supported. */
	if (p->parser.http_major != 1)
		return HPARSE_BAD;
	if (n != p->head.len || !head_is_unambiguous(p))
		return HPARSE_BAD;
	p->head_done = true;
	return HPARSE_HEAD;
}

/* Collects bytes up to the empty line that ends the head. */
static enum hparse_result
collect_head(struct hparse *p, const uint8_t *data, size_t len, size_t *used)
{
	size_t before, from, skipped = 0;
	const uint8_t *end;

	/* Empty lines between messages are ignored. */
	while (p->head.len == 0 && len > 0 &&
	    (data[0] == '\r' || data[0] == '\n')) {
		data++;
		len--;
		skipped++;
	}
	p->skipped += skipped;
	before = p->head.len;
	from = before < 3 ? 0 : before - 3;
	hbuf_add(&p->head, data, MIN(len, p->head_max + 4 - before));
	end = p->head.len == 0
	    ? NULL
	    : memmem(p->head.data + from, p->head.len - from, "\r\n\r\n", 4);
	if (end != NULL) {
		p->head.len = (size_t)(end - p->head.data) + 4;
		*used = skipped + p->head.len - before;
		return parse_head(p);
	}
	*used = skipped + p->head.len - before;
	if (p->head.len > p->head_max || p->skipped > p->head_max)
		return HPARSE_HEAD_TOO_LARGE;
	return HPARSE_MORE;
}

enum hparse_result
hparse_feed(struct hparse *p, const void *data, size_t len, size_t *used)
{
	if (!p->head_done)
		return collect_head(p, data, len, used);
	*used = 0;
	if (!p->complete && len > 0) {
		*used = http_parser_execute(&p->parser, &settings, data, len);
		if (HTTP_PARSER_ERRNO(&p->parser) != HPE_OK &&
		    HTTP_PARSER_ERRNO(&p->parser) != HPE_PAUSED)
			return HPARSE_BAD;
	}
	return p->complete ? HPARSE_DONE : HPARSE_MORE;
}

bool
hparse_eof(struct hparse *p)
{
	if (!p->head_done || p->complete)
		return p->complete;
	http_parser_execute(&p->parser, &settings, NULL, 0);
	return p->complete;
}
