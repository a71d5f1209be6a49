#ifndef HTTP_SOCK_H
#define HTTP_SOCK_H

/* Non-blocking TCP sockets by IP number, with time-outs of their own. */

#include <netinet/in.h>

#include "common/common.h"

/*
 * A connection can fall silent for good without a reset (a cut cable, a host
 * without power). Probes after this pause, and a bound on unacknowledged
 * bytes, turn that into an error within about three seconds.
 */
#define SOCK_PROBE_IDLE_S 1
#define SOCK_PROBE_EVERY_S 1
#define SOCK_PROBE_COUNT 2
#define SOCK_UNACKED_MS 2000

bool sock_address(const char *text, struct sockaddr_in *out);
/* The reverse, "ip:port". */
void sock_text(const struct sockaddr_in *at, char *out, size_t size);
/* Both return a descriptor, or -1 with errno. */
int sock_dial(const struct sockaddr_in *to); /* may still be connecting */
int sock_listen(const struct sockaddr_in *at, int backlog);
/* Probes and time-outs as above, no delay of small writes. */
void sock_tune(int fd);

#endif
