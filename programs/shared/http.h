#ifndef HTTP_H
#define HTTP_H

#include <libsoup/soup.h>

#include "common/common.h"

/*
 * Closes each connection that its client has closed between two requests.
 * libsoup 3.2 reads the end of file but neither closes its own side nor reports
 * it: each client that closes its connection would leak a file descriptor, and
 * after about a thousand of them the process accepts no more connections.
 * Closing the socket frees the descriptor; about 2 KB of memory stay allocated.
 */
void http_close_disconnected(SoupServer *server);

/*
 * libsoup itself responds to a request head that it cannot parse, before any
 * handler is called. This sets the verdict NOT_RUN on such a response, as on
 * every other refusal, and counts it in `malformed`.
 */
void http_count_malformed(SoupServer *server, struct ctr *malformed);

/*
 * Adds a handler for the requests of a path that arrived whole. libsoup takes a
 * head that broke off between two lines, and a body that broke off between two
 * chunks, for whole ones. A request whose client has closed its connection or
 * its sending side is refused (400, NOT_RUN), as it looks like one of these.
 */
void http_add_handler(SoupServer *server, const char *path,
    SoupServerCallback handler, gpointer data);

/* The requests of a server; read by its owner. */
struct http_requests {
	unsigned int read; /* completely, since the start */
	unsigned int open; /* of these, those whose response is not sent yet */
	bool closing; /* set by the owner: responses end their connections */
};

/* Counts requests from now on; `requests` must live as long as the server. */
void http_track_requests(SoupServer *server, struct http_requests *requests);

/* Responds with a short text, which is copied. */
void http_answer_text(SoupServerMessage *message, unsigned int status,
    const char *type, const char *text);
/* Responds with all counters, one `name value` per line. */
void http_answer_counters(
    SoupServerMessage *message, const struct ctr_set *counters);

#endif
