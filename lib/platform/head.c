/* Whether the head of a response is one. */

#include <string.h>

#include "platform/platform_internal.h"

#define TOKEN_CHARACTERS \
	G_CSET_a_2_z G_CSET_A_2_Z G_CSET_DIGITS "!#$%&'*+-.^_`|~"
/* Blanks around values, beyond one for each line, that are taken for such. A line
 * that was left out has more bytes. */
#define BLANKS_MAX 2

static bool
is_token(const char *text)
{
	size_t len = strlen(text);

	return len > 0 && strspn(text, TOKEN_CHARACTERS) == len;
}

static bool
is_text(const char *text)
{
	while (*text == '\t' || (*text != '\0' && !g_ascii_iscntrl(*text)))
		text++;
	return *text == '\0';
}

static bool
status_is_valid(SoupMessage *message)
{
	unsigned int status = soup_message_get_status(message);
	const char *reason = soup_message_get_reason_phrase(message);

	return status >= 200 && status <= 599 &&
	    (reason == NULL || is_text(reason));
}

/* A response that cannot have a body must not announce one. */
static bool
body_is_possible(SoupMessage *message)
{
	SoupMessageHeaders *headers =
	    soup_message_get_response_headers(message);
	const char *length =
	    soup_message_headers_get_one(headers, "Content-Length");

	if (soup_message_get_status(message) != SOUP_STATUS_NO_CONTENT)
		return true;
	return soup_message_headers_get_one(headers, "Transfer-Encoding") ==
	    NULL &&
	    (length == NULL || strcmp(length, "0") == 0);
}

/* Adds up the lines of the head, without blanks around values. False if a name
 * or value cannot be one. */
static bool
lines_are_valid(SoupMessage *message, uint64_t *bytes, unsigned int *lines)
{
	SoupMessageHeadersIter iter;
	const char *name, *value;

	soup_message_headers_iter_init(
	    &iter, soup_message_get_response_headers(message));
	while (soup_message_headers_iter_next(&iter, &name, &value)) {
		if (!is_token(name) || !is_text(value))
			return false;
		*bytes += strlen(name) + strlen(value) + strlen(":\r\n");
		(*lines)++;
	}
	return true;
}

static uint64_t
status_line_bytes(SoupMessage *message)
{
	const char *reason = soup_message_get_reason_phrase(message);
	uint64_t bytes = strlen("HTTP/1.1 200\r\n");

	if (reason != NULL && reason[0] != '\0')
		bytes += strlen(" ") + strlen(reason);
	return bytes;
}

/*
 * libsoup leaves out the lines of a head that it cannot read, such as "A B: c",
 * and what remains is another response: without the line that frames its body,
 * for one. It counts the bytes of all lines, though, except in a head that
 * follows an interim response.
 */
static bool
no_line_was_left_out(SoupMessage *message, uint64_t bytes, unsigned int lines)
{
	uint64_t received =
	    soup_message_metrics_get_response_header_bytes_received(
		soup_message_get_metrics(message));

	return received >= bytes && received <= bytes + lines + BLANKS_MAX;
}

bool
head_is_valid(SoupMessage *message, bool is_after_interim)
{
	uint64_t bytes = status_line_bytes(message) + strlen("\r\n");
	unsigned int lines = 0;

	return status_is_valid(message) && body_is_possible(message) &&
	    lines_are_valid(message, &bytes, &lines) &&
	    (is_after_interim || no_line_was_left_out(message, bytes, lines));
}
