#ifndef COMMON_INTERNAL_H
#define COMMON_INTERNAL_H

/* Shared by the files of the common package only. */

#include <gio/gio.h>

#include "common/common.h"

/* Parses "ip:port" or "[ip6]:port". NULL and an error when malformed. */
GSocketAddress *net_address(const char *text, struct err *err);
/* The reverse; g_free. */
char *net_address_text(GSocketAddress *address);
/* A non-blocking socket of the address's family. */
GSocket *net_socket(GSocketAddress *address, GSocketType type, struct err *err);

#endif
