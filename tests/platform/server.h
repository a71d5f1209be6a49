#ifndef SERVER_H
#define SERVER_H

/*
 * A scripted HTTP server on the main loop of the test. It uses raw sockets, so
 * that a test can close the connection, truncate a response or delay it at any
 * byte. Include after cmocka.h.
 */

#include <gio/gio.h>
#include <string.h>
#include <sys/socket.h>

#include "platform/platform.h"

struct peer { /* one connection and the last request read from it */
	struct server *server;
	GSocketConnection *conn;
	GString *in;
	char *method, *path, *body;
	const char *head; /* request line and headers */
	unsigned int requests; /* on this connection */
	bool open;
};

struct server {
	GSocketListener *listener;
	GCancellable *stop;
	char base[40]; /* "http://127.0.0.1:PORT" */
	void (*serve)(struct peer *peer, void *ctx);
	void *ctx;
	unsigned int requests, conns;
	unsigned int hangups; /* connections closed by the client */
	GPtrArray *peers;
};

static inline void
peer_raw(struct peer *peer, const char *bytes, size_t len)
{
	GOutputStream *out =
	    g_io_stream_get_output_stream(G_IO_STREAM(peer->conn));

	g_output_stream_write_all(out, bytes, len, NULL, NULL, NULL);
}

static inline void
peer_text(struct peer *peer, const char *text)
{
	peer_raw(peer, text, strlen(text));
}

/* Sends a complete response; `headers` is "" or lines that end in CRLF. */
static inline void
peer_answer(struct peer *peer, unsigned int status, const char *headers,
    const char *body)
{
	GString *text = g_string_new(NULL);

	g_string_printf(text,
	    "HTTP/1.1 %u X\r\nContent-Length: %zu\r\n%s\r\n%s", status,
	    strlen(body), headers, body);
	peer_raw(peer, text->str, text->len);
	g_string_free(text, TRUE);
}

static inline void
peer_close(struct peer *peer)
{
	peer->open = false;
	g_io_stream_close(G_IO_STREAM(peer->conn), NULL, NULL);
}

static inline void
peer_reset(struct peer *peer)
{
	struct linger reset = { .l_onoff = 1, .l_linger = 0 };

	setsockopt(g_socket_get_fd(g_socket_connection_get_socket(peer->conn)),
	    SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
	peer_close(peer);
}

static inline void
peer_free(gpointer data)
{
	struct peer *peer = data;

	g_object_unref(peer->conn);
	g_string_free(peer->in, TRUE);
	g_free(peer->method);
	g_free(peer->path);
	g_free(peer->body);
	g_free(peer);
}

/* Serves one complete request and removes it from the input buffer; false if
 * the buffer holds none. */
static inline bool
peer_parse(struct peer *peer)
{
	char *end = strstr(peer->in->str, "\r\n\r\n");
	const char *length;
	size_t head_len, body_len = 0;
	char **words;

	if (end == NULL)
		return false;
	head_len = (size_t)(end - peer->in->str) + 4;
	length = strcasestr(peer->in->str, "\r\nContent-Length: ");
	if (length != NULL && length < end)
		body_len = g_ascii_strtoull(length + 18, NULL, 10);
	if (peer->in->len < head_len + body_len)
		return false;
	words = g_strsplit(peer->in->str, " ", 3);
	g_free(peer->method);
	g_free(peer->path);
	g_free(peer->body);
	peer->method = g_strdup(words[0]);
	peer->path = g_strdup(words[1]);
	peer->body = g_strndup(peer->in->str + head_len, body_len);
	peer->head = peer->in->str;
	g_strfreev(words);
	peer->requests++;
	peer->server->requests++;
	peer->server->serve(peer, peer->server->ctx);
	g_string_erase(peer->in, 0, (gssize)(head_len + body_len));
	return true;
}

static inline gboolean
peer_readable(GSocket *socket, GIOCondition condition, gpointer data)
{
	struct peer *peer = data;
	char buffer[65536];
	gssize n;

	if (!peer->open)
		return G_SOURCE_REMOVE;
	n = g_socket_receive(socket, buffer, sizeof(buffer), NULL, NULL);
	if (n <= 0) {
		peer->server->hangups++;
		peer_close(peer);
		return G_SOURCE_REMOVE;
	}
	g_string_append_len(peer->in, buffer, n);
	while (peer->open && peer_parse(peer))
		continue;
	return G_SOURCE_CONTINUE;
}

static inline void
on_accepted(GObject *source, GAsyncResult *result, gpointer data)
{
	GSocketConnection *conn = g_socket_listener_accept_finish(
	    G_SOCKET_LISTENER(source), result, NULL, NULL);
	struct server *server = data;
	struct peer *peer;
	GSource *watch;

	if (conn == NULL)
		return;
	peer = g_new0(struct peer, 1);
	peer->server = server;
	peer->conn = conn;
	peer->in = g_string_new(NULL);
	peer->open = true;
	server->conns++;
	g_ptr_array_add(server->peers, peer);
	watch = g_socket_create_source(
	    g_socket_connection_get_socket(conn), G_IO_IN, server->stop);
	g_source_set_callback(watch, G_SOURCE_FUNC(peer_readable), peer, NULL);
	g_source_attach(watch, NULL);
	g_source_unref(watch);
	g_socket_listener_accept_async(
	    server->listener, server->stop, on_accepted, server);
}

static inline void
server_start(struct server *server, void (*serve)(struct peer *peer, void *ctx),
    void *ctx)
{
	guint16 port;

	memset(server, 0, sizeof(*server));
	server->serve = serve;
	server->ctx = ctx;
	server->stop = g_cancellable_new();
	server->peers = g_ptr_array_new_with_free_func(peer_free);
	server->listener = g_socket_listener_new();
	port =
	    g_socket_listener_add_any_inet_port(server->listener, NULL, NULL);
	assert_int_not_equal(port, 0);
	g_snprintf(
	    server->base, sizeof(server->base), "http://127.0.0.1:%u", port);
	g_socket_listener_accept_async(
	    server->listener, server->stop, on_accepted, server);
}

static inline void
server_stop(struct server *server)
{
	g_cancellable_cancel(server->stop);
	g_socket_listener_close(server->listener);
	while (g_main_context_iteration(NULL, FALSE))
		continue;
	g_ptr_array_unref(server->peers);
	g_object_unref(server->listener);
	g_object_unref(server->stop);
}

static inline gboolean
set_flag(gpointer data)
{
	*(bool *)data = true;
	return G_SOURCE_REMOVE;
}

/* Runs the loop until `*flag` is set; fails the test after ten seconds. */
static inline void
run_until(const bool *flag)
{
	bool late = false;
	guint timer = g_timeout_add(10000, set_flag, &late);

	while (!*flag && !late)
		g_main_context_iteration(NULL, TRUE);
	assert_false(late);
	g_source_remove(timer);
}

/* Runs the loop for `ms`, so that timers fire and pending I/O completes. */
static inline void
run_for(unsigned int ms)
{
	bool over = false;

	g_timeout_add(ms, set_flag, &over);
	while (!over)
		g_main_context_iteration(NULL, TRUE);
}

/*
 * Writes a base URL at which no process listens. The port stays bound until the
 * test ends: a released port can be assigned to the next server that binds one,
 * also in a test that runs at the same time.
 */
static inline void
closed_base(char out[40])
{
	GSocket *socket = g_socket_new(G_SOCKET_FAMILY_IPV4,
	    G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, NULL);
	GInetAddress *ip = g_inet_address_new_loopback(G_SOCKET_FAMILY_IPV4);
	GSocketAddress *at = g_inet_socket_address_new(ip, 0);
	GSocketAddress *bound;
	static GSocket *bound_socket;

	assert_true(g_socket_bind(socket, at, FALSE, NULL));
	bound = g_socket_get_local_address(socket, NULL);
	g_snprintf(out, 40, "http://127.0.0.1:%u",
	    g_inet_socket_address_get_port(G_INET_SOCKET_ADDRESS(bound)));
	g_object_unref(bound);
	g_object_unref(at);
	g_object_unref(ip);
	g_clear_object(&bound_socket);
	bound_socket = socket;
}

#endif
