/* Numeric socket addresses; host names are not resolved. */

#include <string.h>

#include "common/common_internal.h"

GSocketAddress *
net_address(const char *text, struct err *err)
{
	const char *colon = text == NULL ? NULL : strrchr(text, ':');
	GSocketAddress *address = NULL;
	guint64 port;
	char *ip;

	if (colon != NULL &&
	    g_ascii_string_to_unsigned(colon + 1, 10, 0, 65535, &port, NULL)) {
		if (text[0] == '[' && colon > text + 2 && colon[-1] == ']')
			ip = g_strndup(text + 1, (gsize)(colon - text - 2));
		else
			ip = g_strndup(text, (gsize)(colon - text));
		address =
		    g_inet_socket_address_new_from_string(ip, (guint)port);
		g_free(ip);
	}
	if (address == NULL) {
		err_set(err, ERR_INVALID, VERDICT_NOT_RUN,
		    "'%s' is not a numeric address such as 192.0.2.1:7000",
		    text == NULL ? "" : text);
	}
	return address;
}

GSocket *
net_socket(GSocketAddress *address, GSocketType type, struct err *err)
{
	GError *error = NULL;
	GSocket *socket = g_socket_new(g_socket_address_get_family(address),
	    type, G_SOCKET_PROTOCOL_DEFAULT, &error);

	if (socket == NULL) {
		err_set(err, ERR_UNAVAILABLE, VERDICT_NOT_RUN, "socket: %s",
		    error->message);
		g_error_free(error);
		return NULL;
	}
	g_socket_set_blocking(socket, FALSE);
	return socket;
}
