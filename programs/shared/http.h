#ifndef HTTP_H
#define HTTP_H

#include <libsoup/soup.h>

#include "common/common.h"

/*
 * Closes a connection that its client has closed between two requests.
 * libsoup 3.2 reads that end and then neither closes its own side nor says
 * so: each client that does not keep its connection would cost a file
 * descriptor for good, and after about a thousand the process takes nobody
 * in. Closing the socket frees the descriptor; some 2 KB of memory stay.
 */
void http_close_left(SoupServer *server);

/*
 * libsoup answers a head that it cannot read by itself, before any handler.
 * Its answer gets the verdict NOT_RUN like every other refusal, and
 * `malformed` counts it.
 */
void http_count_malformed(SoupServer *server, struct ctr *malformed);

/* Answers with a short text, which is copied. */
void http_answer_text(SoupServerMessage *message, unsigned int status,
    const char *type, const char *text);
/* Answers with all counters, one `name value` a line. */
void http_answer_counters(
    SoupServerMessage *message, const struct ctr_set *counters);

#endif
