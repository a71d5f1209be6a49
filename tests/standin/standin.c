/* Shared code of the stand-ins: listening, options, JSON, deferred answers. */

#include <gio/gio.h>
#include <glib-unix.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>

#include "standin/standin.h"

/* Many callers may connect at the same time; with GIO's default of 10 the
 * kernel drops some of the connections and the callers retry after one
 * second. */
#define LISTEN_BACKLOG 1024

/* ------------------------------------------------------------------ */
/* A running stand-in                                                  */
/* ------------------------------------------------------------------ */

static GSocket *
listen_socket(unsigned int port, GError **error)
{
	GSocket *socket = g_socket_new(G_SOCKET_FAMILY_IPV4,
	    G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, error);
	GSocketAddress *address;
	bool ok;

	if (socket == NULL)
		return NULL;
	address = g_inet_socket_address_new_from_string("127.0.0.1", port);
	g_socket_set_blocking(socket, FALSE);
	g_socket_set_listen_backlog(socket, LISTEN_BACKLOG);
	/* Accepted connections inherit the option. Without it, Nagle's
	 * algorithm would delay tokens until earlier data is acknowledged. */
	g_socket_set_option(socket, IPPROTO_TCP, TCP_NODELAY, 1, NULL);
	ok = g_socket_bind(socket, address, TRUE, error) &&
	    g_socket_listen(socket, error);
	g_object_unref(address);
	if (!ok)
		g_clear_object(&socket);
	return socket;
}

static unsigned int
socket_port(GSocket *socket)
{
	GSocketAddress *address = g_socket_get_local_address(socket, NULL);
	unsigned int port;

	port = g_inet_socket_address_get_port(G_INET_SOCKET_ADDRESS(address));
	g_object_unref(address);
	return port;
}

struct standin *
standin_new(SoupServer *server, unsigned int port, void *ctx,
    void (*ctx_free)(void *ctx), struct err *err)
{
	struct standin *s = g_new0(struct standin, 1);
	GError *error = NULL;
	GSocket *socket;

	s->server = server;
	s->ctx = ctx;
	s->ctx_free = ctx_free;
	socket = listen_socket(port, &error);
	if (socket != NULL) {
		s->port = socket_port(socket);
		soup_server_listen_socket(server, socket, 0, &error);
		g_object_unref(socket);
	}
	if (error != NULL) {
		err_set(err, ERR_UNAVAILABLE, VERDICT_NOT_RUN, "port %u: %s",
		    port, error->message);
		g_error_free(error);
		standin_free(s);
		return NULL;
	}
	return s;
}

void
standin_free(struct standin *s)
{
	if (s == NULL)
		return;
	soup_server_disconnect(s->server);
	s->ctx_free(s->ctx);
	g_object_unref(s->server);
	g_free(s);
}

static gboolean
on_signal(void *loop)
{
	g_main_loop_quit(loop);
	return G_SOURCE_CONTINUE;
}

int
standin_serve(struct standin *s, const struct err *err)
{
	GMainLoop *loop;

	if (s == NULL) {
		fprintf(stderr, "standin: %s\n", err->message);
		return 1;
	}
	loop = g_main_loop_new(NULL, FALSE);
	g_unix_signal_add(SIGTERM, on_signal, loop);
	g_unix_signal_add(SIGINT, on_signal, loop);
	printf("ready %u\n", s->port);
	fflush(stdout);
	g_main_loop_run(loop);
	standin_free(s);
	g_main_loop_unref(loop);
	return 0;
}

bool
standin_options(int argc, const char **argv, const struct poptOption *table)
{
	poptContext context = poptGetContext("standin", argc, argv, table, 0);
	const char *rest;
	int rc = poptGetNextOpt(context);
	bool ok = true;

	rest = poptGetArg(context);
	if (rc < -1) {
		fprintf(stderr, "standin: %s: %s\n",
		    poptBadOption(context, POPT_BADOPTION_NOALIAS),
		    poptStrerror(rc));
		ok = false;
	} else if (rest != NULL) {
		fprintf(stderr, "standin: unexpected argument %s\n", rest);
		ok = false;
	}
	poptFreeContext(context);
	return ok;
}

/* ------------------------------------------------------------------ */
/* JSON                                                                */
/* ------------------------------------------------------------------ */

JsonObject *
body_object(SoupServerMessage *msg)
{
	SoupMessageBody *body = soup_server_message_get_request_body(msg);
	JsonParser *parser = json_parser_new_immutable();
	JsonObject *object = NULL;
	JsonNode *root;

	if (json_parser_load_from_data(
		parser, body->data, body->length, NULL)) {
		root = json_parser_get_root(parser);
		if (root != NULL && JSON_NODE_HOLDS_OBJECT(root))
			object = json_node_dup_object(root);
	}
	g_object_unref(parser);
	if (object == NULL)
		reply_error(msg, 400, "the body is no JSON object");
	return object;
}

static JsonNode *
member_of(JsonObject *object, const char *name, GType type)
{
	JsonNode *node = json_object_get_member(object, name);

	if (node == NULL || !JSON_NODE_HOLDS_VALUE(node))
		return NULL;
	return json_node_get_value_type(node) == type ? node : NULL;
}

int64_t
member_int(JsonObject *object, const char *name, int64_t fallback)
{
	JsonNode *node = member_of(object, name, G_TYPE_INT64);

	return node == NULL ? fallback : json_node_get_int(node);
}

bool
member_bool(JsonObject *object, const char *name, bool fallback)
{
	JsonNode *node = member_of(object, name, G_TYPE_BOOLEAN);

	return node == NULL ? fallback : json_node_get_boolean(node);
}

const char *
member_str(JsonObject *object, const char *name, const char *fallback)
{
	JsonNode *node = member_of(object, name, G_TYPE_STRING);

	return node == NULL ? fallback : json_node_get_string(node);
}

void
member_int_into(JsonObject *object, const char *name, int64_t *value)
{
	*value = member_int(object, name, *value);
}

bool
consume_fault(int64_t *count)
{
	if (*count <= 0)
		return false;
	(*count)--;
	return true;
}

JsonBuilder *
json_begin(void)
{
	JsonBuilder *b = json_builder_new();

	json_builder_begin_object(b);
	return b;
}

void
put_int(JsonBuilder *b, const char *name, int64_t value)
{
	json_builder_set_member_name(b, name);
	json_builder_add_int_value(b, value);
}

void
put_bool(JsonBuilder *b, const char *name, bool value)
{
	json_builder_set_member_name(b, name);
	json_builder_add_boolean_value(b, value);
}

void
put_str(JsonBuilder *b, const char *name, const char *value)
{
	json_builder_set_member_name(b, name);
	json_builder_add_string_value(b, value);
}

char *
json_end(JsonBuilder *b, size_t *len)
{
	JsonNode *root;
	char *text;

	json_builder_end_object(b);
	root = json_builder_get_root(b);
	text = json_to_string(root, FALSE);
	json_node_unref(root);
	g_object_unref(b);
	*len = strlen(text);
	return text;
}

/* ------------------------------------------------------------------ */
/* HTTP                                                                */
/* ------------------------------------------------------------------ */

void
reply_json(SoupServerMessage *msg, unsigned int status, JsonBuilder *b)
{
	size_t len;
	char *text = json_end(b, &len);

	soup_server_message_set_status(msg, status, NULL);
	soup_server_message_set_response(
	    msg, "application/json", SOUP_MEMORY_TAKE, text, len);
}

void
reply_error(SoupServerMessage *msg, unsigned int status, const char *text)
{
	JsonBuilder *b = json_begin();

	put_str(b, "error", text);
	reply_json(msg, status, b);
}

void
reply_not_run(SoupServerMessage *msg, unsigned int status, const char *text)
{
	soup_message_headers_replace(
	    soup_server_message_get_response_headers(msg), "X-Not-Run", "1");
	reply_error(msg, status, text);
}

const char *
query_str(GHashTable *query, const char *name, const char *fallback)
{
	const char *value = NULL;

	if (query != NULL)
		value = g_hash_table_lookup(query, name);
	return value == NULL ? fallback : value;
}

int64_t
query_int(GHashTable *query, const char *name, int64_t fallback)
{
	const char *value = query_str(query, name, NULL);

	return value == NULL ? fallback : g_ascii_strtoll(value, NULL, 10);
}

int64_t
header_int(SoupServerMessage *msg, const char *name, int64_t fallback)
{
	const char *value = soup_message_headers_get_one(
	    soup_server_message_get_request_headers(msg), name);

	return value == NULL ? fallback : g_ascii_strtoll(value, NULL, 10);
}

bool
is_method(SoupServerMessage *msg, const char *method)
{
	return strcmp(soup_server_message_get_method(msg), method) == 0;
}

void
end_by_close(SoupServerMessage *msg)
{
	SoupMessageHeaders *out = soup_server_message_get_response_headers(msg);

	soup_message_headers_set_encoding(out, SOUP_ENCODING_EOF);
	soup_message_headers_replace(out, "Connection", "close");
}

void
hang_up(SoupServerMessage *msg)
{
	GIOStream *stream = soup_server_message_steal_connection(msg);

	if (stream == NULL)
		return;
	g_io_stream_close(stream, NULL, NULL);
	g_object_unref(stream);
}

/* ------------------------------------------------------------------ */
/* Deferred answers                                                    */
/* ------------------------------------------------------------------ */

struct deferred {
	SoupServerMessage *msg;
	GSource *watch; /* NULL once the connection is not watched */
	gulong on_finished;
	deferred_closed *on_closed;
	void *ctx;
};

static void
stop_watching(struct deferred *d)
{
	if (d->watch == NULL)
		return;
	g_source_destroy(d->watch);
	g_source_unref(d->watch);
	d->watch = NULL;
}

static void
connection_closed(struct deferred *d)
{
	deferred_closed *on_closed = d->on_closed;

	stop_watching(d);
	d->on_closed = NULL;
	if (on_closed != NULL)
		on_closed(d->ctx);
}

static void
on_finished(SoupServerMessage *msg, void *ctx)
{
	connection_closed(ctx);
}

/* A socket that is readable without data was closed by the peer. */
static gboolean
on_readable(GSocket *socket, GIOCondition condition, void *ctx)
{
	struct deferred *d = ctx;
	char byte;
	ssize_t n;

	n = recv(g_socket_get_fd(socket), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
	if (n > 0) { /* a pipelined request arrived: stop watching */
		stop_watching(d);
		return G_SOURCE_REMOVE;
	}
	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return G_SOURCE_CONTINUE;
	g_signal_handler_disconnect(d->msg, d->on_finished);
	d->on_finished = 0;
	hang_up(d->msg);
	connection_closed(d);
	return G_SOURCE_REMOVE;
}

struct deferred *
deferred_new(SoupServerMessage *msg, deferred_closed *on_closed, void *ctx)
{
	struct deferred *d = g_new0(struct deferred, 1);
	GSocket *socket = soup_server_message_get_socket(msg);

	/* libsoup reads the remote address when a connection is stolen and
	 * logs a warning if the peer has disconnected; this call caches it. */
	soup_server_message_get_remote_address(msg);
	d->msg = g_object_ref(msg);
	d->on_closed = on_closed;
	d->ctx = ctx;
	d->on_finished =
	    g_signal_connect(msg, "finished", G_CALLBACK(on_finished), d);
	if (socket != NULL) {
		d->watch = g_socket_create_source(socket, G_IO_IN, NULL);
		g_source_set_callback(
		    d->watch, G_SOURCE_FUNC(on_readable), d, NULL);
		g_source_attach(d->watch, NULL);
	}
	soup_server_message_pause(msg);
	return d;
}

SoupServerMessage *
deferred_msg(const struct deferred *d)
{
	return d->msg;
}

void
deferred_write(struct deferred *d)
{
	soup_server_message_unpause(d->msg);
}

void
deferred_free(struct deferred *d)
{
	if (d == NULL)
		return;
	stop_watching(d);
	if (d->on_finished != 0)
		g_signal_handler_disconnect(d->msg, d->on_finished);
	g_object_unref(d->msg);
	g_free(d);
}

void
deferred_hang_up(struct deferred *d)
{
	SoupServerMessage *msg = g_object_ref(d->msg);

	deferred_free(d);
	hang_up(msg);
	g_object_unref(msg);
}
