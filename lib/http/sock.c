/* Non-blocking TCP sockets. */

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "http/sock.h"

bool
sock_parse(const char *text, struct sockaddr_in *out)
{
	const char *colon = text == NULL ? NULL : strrchr(text, ':');
	char ip[INET_ADDRSTRLEN];
	guint64 port;

	if (colon == NULL || (size_t)(colon - text) >= sizeof(ip))
		return false;
	if (!g_ascii_string_to_unsigned(colon + 1, 10, 0, 65535, &port, NULL))
		return false;
	memcpy(ip, text, (size_t)(colon - text));
	ip[colon - text] = '\0';
	memset(out, 0, sizeof(*out));
	out->sin_family = AF_INET;
	out->sin_port = htons((uint16_t)port);
	return inet_pton(AF_INET, ip, &out->sin_addr) == 1;
}

void
sock_format(const struct sockaddr_in *at, char *out, size_t size)
{
	char ip[INET_ADDRSTRLEN];

	inet_ntop(AF_INET, &at->sin_addr, ip, sizeof(ip));
	g_snprintf(out, size, "%s:%u", ip, ntohs(at->sin_port));
}

static void
set_option(int fd, int level, int name, int value)
{
	/* Errors are ignored: without the option, a connection still works,
	 * but the loss of its peer is detected later. */
	(void)setsockopt(fd, level, name, &value, sizeof(value));
}

void
sock_tune(int fd)
{
	set_option(fd, IPPROTO_TCP, TCP_NODELAY, 1);
	set_option(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
	set_option(fd, IPPROTO_TCP, TCP_KEEPIDLE, SOCK_PROBE_IDLE_S);
	set_option(fd, IPPROTO_TCP, TCP_KEEPINTVL, SOCK_PROBE_EVERY_S);
	set_option(fd, IPPROTO_TCP, TCP_KEEPCNT, SOCK_PROBE_COUNT);
	set_option(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, SOCK_UNACKED_MS);
}

static int
close_failed(int fd)
{
	int error = errno;

	close(fd);
	errno = error;
	return -1;
}

int
sock_dial(const struct sockaddr_in *to)
{
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	if (fd < 0)
		return -1;
	sock_tune(fd);
	if (connect(fd, (const struct sockaddr *)to, sizeof(*to)) != 0 &&
	    errno != EINPROGRESS)
		return close_failed(fd);
	return fd;
}

int
sock_listen(const struct sockaddr_in *at, int backlog)
{
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	if (fd < 0)
		return -1;
	set_option(fd, SOL_SOCKET, SO_REUSEADDR, 1);
	if (bind(fd, (const struct sockaddr *)at, sizeof(*at)) != 0)
		return close_failed(fd);
	if (listen(fd, backlog) != 0)
		return close_failed(fd);
	return fd;
}
