#ifndef TESTS_HTTP_EARLY_H
#define TESTS_HTTP_EARLY_H

/*
 * early: a peer that answers at once, reads a part of a long request and resets
 * the connection while the rest is being written. It runs in a thread, as the
 * reset must come between two calls of the client.
 */

#include <glib.h>
#include <netinet/in.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define EARLY_REQUEST_BYTES (8u << 20) /* far above what sockets buffer */
#define EARLY_READ_BYTES (1u << 20)

struct early_peer {
	int listener;
	const char *answer;
};

/* Listens on a free port of loopback; its URL is stored in `base`. */
static inline int
early_listen(char base[40])
{
	struct sockaddr_in at = { .sin_family = AF_INET,
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
	socklen_t len = sizeof(at);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	g_assert(bind(fd, (struct sockaddr *)&at, len) == 0);
	g_assert(listen(fd, 8) == 0);
	g_assert(getsockname(fd, (struct sockaddr *)&at, &len) == 0);
	g_snprintf(base, 40, "http://127.0.0.1:%u", ntohs(at.sin_port));
	return fd;
}

/* Takes one connection; runs in its thread. */
static inline gpointer
early_serve(gpointer data)
{
	const struct early_peer *p = data;
	struct linger reset = { .l_onoff = 1, .l_linger = 0 };
	struct pollfd ready = { .fd = p->listener, .events = POLLIN };
	static char buffer[65536];
	size_t read_bytes = 0;
	ssize_t n = 1;
	int fd;

	poll(&ready, 1, 10000);
	fd = accept(p->listener, NULL, NULL);
	if (fd < 0)
		return NULL;
	while (n > 0 && read_bytes < EARLY_READ_BYTES) {
		n = recv(fd, buffer, sizeof(buffer), 0);
		if (read_bytes == 0)
			n = send(fd, p->answer, strlen(p->answer), 0);
		read_bytes += n > 0 ? (size_t)n : 0;
	}
	setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
	close(fd);
	return NULL;
}

#endif
