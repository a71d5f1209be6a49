#ifndef HTTP_SOCK_H
#define HTTP_SOCK_H

/* Non-blocking IPv4 TCP sockets with keep-alive and user time-outs. */

#include <netinet/in.h>

#include "common/common.h"

/*
 * A peer can stop responding without a reset (a cut cable, a host without
 * power). TCP keep-alive probes after this idle time, and a limit on how long
 * sent bytes stay unacknowledged, turn that into an error within about three
 * seconds.
 */
#define SOCK_PROBE_IDLE_S 1
#define SOCK_PROBE_EVERY_S 1
#define SOCK_PROBE_COUNT 2
#define SOCK_UNACKED_MS 2000

/* Parses "ip:port". */
bool sock_parse(const char *text, struct sockaddr_in *out);
/* Formats an address as "ip:port". */
void sock_format(const struct sockaddr_in *at, char *out, size_t size);
/* sock_dial() and sock_listen() return a descriptor, or -1 with errno set.
 * After sock_dial() the connection may still be in progress. */
int sock_dial(const struct sockaddr_in *to);
int sock_listen(const struct sockaddr_in *at, int backlog);
/* Sets the probes and time-outs above, and TCP_NODELAY. */
void sock_tune(int fd);

#endif
