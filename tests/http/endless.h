#ifndef TESTS_HTTP_ENDLESS_H
#define TESTS_HTTP_ENDLESS_H

/* Answers without end, in a head or a body, and a peer that sends them until
 * its connection is closed. */

#include <errno.h>
#include <stdbool.h>
#include <string.h>
#include <sys/socket.h>

struct endless {
	const char *name;
	const char *begin; /* sent once */
	const char *repeated;
};

#define ENDLESS_64 \
	"0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"
#define ENDLESS_OK "HTTP/1.1 200 OK\r\n"
#define ENDLESS_CHUNKED ENDLESS_OK "Transfer-Encoding: chunked\r\n\r\n"

static const struct endless endless_kinds[] = {
	{ "header line", ENDLESS_OK "X-A: ", ENDLESS_64 },
	{ "headers", ENDLESS_OK, "X-A: " ENDLESS_64 "\r\n" },
	{ "interim answers", "", "HTTP/1.1 102 Processing\r\n\r\n" },
	{ "empty lines", "", "\r\n\r\n\r\n\r\n\r\n\r\n\r\n\r\n" },
	{ "no HTTP", "", ENDLESS_64 },
	{ "extension of a chunk", ENDLESS_CHUNKED "5;a=", ENDLESS_64 },
	{ "size of a chunk", ENDLESS_CHUNKED, "0000000000000000" },
	{ "trailers", ENDLESS_CHUNKED "0\r\n", "X-A: " ENDLESS_64 "\r\n" },
	{ "chunks", ENDLESS_CHUNKED, "40\r\n" ENDLESS_64 "\r\n" },
	{ "body with a length",
	    ENDLESS_OK "Content-Length: 1000000000000\r\n\r\n", ENDLESS_64 },
	{ "body without framing", ENDLESS_OK "\r\n", ENDLESS_64 },
	{ "body of a failure",
	    "HTTP/1.1 500 Internal Server Error\r\n"
	    "Transfer-Encoding: chunked\r\n\r\n",
	    "40\r\n" ENDLESS_64 "\r\n" },
};

#define ENDLESS_KINDS (sizeof(endless_kinds) / sizeof(endless_kinds[0]))
#define ENDLESS_TURN 16384 /* bytes in a turn of the loop, about */

/* What is sent over a connection. */
struct endless_sender {
	int fd;
	const struct endless *kind;
	size_t sent;
	size_t offset; /* in the text that is being sent */
	bool repeats;
	bool closed; /* the peer has closed the connection */
};

/* Sends more bytes, until the socket takes no more in this turn. */
static inline void
endless_send(struct endless_sender *s)
{
	size_t end = s->sent + ENDLESS_TURN;
	const char *text;
	ssize_t n;

	while (!s->closed && s->sent < end) {
		text = s->repeats ? s->kind->repeated : s->kind->begin;
		if (text[s->offset] == '\0') {
			s->repeats = true;
			s->offset = 0;
			continue;
		}
		n = send(s->fd, text + s->offset, strlen(text + s->offset),
		    MSG_NOSIGNAL | MSG_DONTWAIT);
		if (n < 0 && (errno == EAGAIN || errno == EINTR))
			return;
		s->closed = n < 0;
		if (n > 0) {
			s->sent += (size_t)n;
			s->offset += (size_t)n;
		}
	}
}

#endif
