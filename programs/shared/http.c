/* Workarounds for libsoup's HTTP server, and simple responses. */

#include <string.h>
#include <errno.h>
#include <sys/socket.h>

#include "shared/http.h"

static bool
is_at_end(GSocket *socket)
{
	char byte;
	ssize_t n =
	    recv(g_socket_get_fd(socket), &byte, 1, MSG_PEEK | MSG_DONTWAIT);

	return n == 0 || (n < 0 && errno != EAGAIN);
}

static gboolean
on_readable(GSocket *socket, GIOCondition cond, gpointer data)
{
	if (is_at_end(socket))
		g_socket_close(socket, NULL);
	return G_SOURCE_REMOVE; /* attached again after the next request */
}

static void
on_request_finished(
    SoupServer *server, SoupServerMessage *message, gpointer data)
{
	GSocket *socket = soup_server_message_get_socket(message);
	GSource *source;

	if (socket == NULL || g_socket_is_closed(socket))
		return;
	source = g_socket_create_source(socket, G_IO_IN, NULL);
	g_source_set_callback(source, G_SOURCE_FUNC(on_readable), NULL, NULL);
	g_source_attach(source, NULL);
	g_source_unref(source);
}

void
http_close_disconnected(SoupServer *server)
{
	g_signal_connect(
	    server, "request-finished", G_CALLBACK(on_request_finished), NULL);
}

static void
on_head_read(SoupServerMessage *message, gpointer data)
{
	/* The head was parsed: handlers set the verdict from here on. An early
	 * handler may have refused the request already. */
	if (soup_server_message_get_status(message) == 0)
		soup_message_headers_remove(
		    soup_server_message_get_response_headers(message),
		    "X-Verdict");
	g_object_set_data(G_OBJECT(message), "head-read", message);
}

static void
on_started(SoupServer *server, SoupServerMessage *message, gpointer data)
{
	soup_message_headers_replace(
	    soup_server_message_get_response_headers(message), "X-Verdict",
	    "NOT_RUN");
	g_signal_connect(
	    message, "got-headers", G_CALLBACK(on_head_read), NULL);
}

static void
on_finished(SoupServer *server, SoupServerMessage *message, gpointer data)
{
	if (soup_server_message_get_status(message) >= 400 &&
	    g_object_get_data(G_OBJECT(message), "head-read") == NULL)
		ctr_add(data, 1);
}

void
http_count_malformed(SoupServer *server, struct ctr *malformed)
{
	g_signal_connect(
	    server, "request-started", G_CALLBACK(on_started), NULL);
	g_signal_connect(
	    server, "request-finished", G_CALLBACK(on_finished), malformed);
}

struct http_handler {
	SoupServerCallback call;
	gpointer data;
};

static void
on_request(SoupServer *server, SoupServerMessage *message, const char *path,
    GHashTable *query, gpointer data)
{
	struct http_handler *handler = data;
	GSocket *socket = soup_server_message_get_socket(message);
	SoupMessageHeaders *headers;

	if (socket != NULL && !g_socket_is_closed(socket) &&
	    !is_at_end(socket)) {
		handler->call(server, message, path, query, handler->data);
		return;
	}
	headers = soup_server_message_get_response_headers(message);
	soup_message_headers_replace(headers, "X-Verdict", "NOT_RUN");
	soup_message_headers_replace(headers, "Connection", "close");
	http_answer_text(message, SOUP_STATUS_BAD_REQUEST, "text/plain",
	    "the connection was closed in the request\n");
}

void
http_add_handler(SoupServer *server, const char *path,
    SoupServerCallback handler, gpointer data)
{
	struct http_handler *h = g_new0(struct http_handler, 1);

	h->call = handler;
	h->data = data;
	soup_server_add_handler(server, path, on_request, h, g_free);
}

static void
on_read(SoupServer *server, SoupServerMessage *message, gpointer data)
{
	struct http_requests *requests = data;

	requests->read++;
	requests->open++;
	g_object_set_data(G_OBJECT(message), "tracked", message);
	if (requests->closing)
		soup_message_headers_replace(
		    soup_server_message_get_response_headers(message),
		    "Connection", "close");
}

static void
on_sent(SoupServer *server, SoupServerMessage *message, gpointer data)
{
	struct http_requests *requests = data;

	if (g_object_get_data(G_OBJECT(message), "tracked") != NULL)
		requests->open--;
}

void
http_track_requests(SoupServer *server, struct http_requests *requests)
{
	g_signal_connect(server, "request-read", G_CALLBACK(on_read), requests);
	g_signal_connect(
	    server, "request-finished", G_CALLBACK(on_sent), requests);
	g_signal_connect(
	    server, "request-aborted", G_CALLBACK(on_sent), requests);
}

void
http_answer_text(SoupServerMessage *message, unsigned int status,
    const char *type, const char *text)
{
	soup_server_message_set_status(message, status, NULL);
	soup_server_message_set_response(
	    message, type, SOUP_MEMORY_COPY, text, strlen(text));
}

void
http_answer_counters(SoupServerMessage *message, const struct ctr_set *counters)
{
	GString *text = g_string_new(NULL);

	ctr_print(counters, text);
	http_answer_text(message, SOUP_STATUS_OK, "text/plain", text->str);
	g_string_free(text, TRUE);
}
