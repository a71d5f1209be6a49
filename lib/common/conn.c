/*
 * Framed TCP connections between the system's processes. The ends
 * authenticate each other with the shared key before other messages.
 */

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>

#include "common/common_internal.h"

#define FRAME_HEADER 4
#define HANDSHAKE_FRAME_MAX 512 /* buffer limit, unauthenticated peer */
#define HANDSHAKE_MS 5000 /* timeout of connecting and authentication */
#define READ_SLICE (256u << 10) /* per loop iteration, for fairness */
#define LISTEN_BACKLOG 512

enum conn_state {
	CONN_CONNECTING,
	CONN_HELLO, /* waiting for the peer's hello */
	CONN_PROOF, /* waiting for the peer's proof */
	CONN_OPEN,
	CONN_CLOSING, /* `closed` is scheduled */
};

struct out_buffer {
	TAILQ_ENTRY(out_buffer) link;
	GByteArray *bytes;
	size_t sent;
};

struct conn {
	const struct conn_node *node;
	const struct conn_ops *ops;
	void *ctx;
	struct conn_server *server; /* NULL if dialled or already accepted */
	enum conn_state state;
	bool dialled;
	bool paused;
	char peer[CONN_ID_MAX + 1];
	uint8_t nonce[CONN_NONCE_BYTES];
	uint8_t peer_nonce[CONN_NONCE_BYTES];
	GSocket *socket;
	GSource *in_source;
	GSource *out_source;
	guint timer; /* handshake timeout; 0 if none is scheduled */
	guint resume_idle; /* 0 if none is scheduled */
	struct err why;
	uint64_t received; /* bytes */
	uint8_t *in;
	size_t in_len, in_size;
	TAILQ_HEAD(out_list, out_buffer) out;
	size_t queued;
};

struct conn_server {
	const struct conn_node *node;
	const struct conn_ops *(*accepted)(
	    struct conn *c, void **ctx_out, void *ctx);
	void *ctx;
	GSocket *socket;
	GSource *source;
	/* Connections in the handshake, whose `server` points here. */
	GHashTable *handshaking;
};

/* ------------------------------------------------------------------ */
/* Closing                                                             */
/* ------------------------------------------------------------------ */

static void
drop_source(GSource **source)
{
	if (*source == NULL)
		return;
	g_source_destroy(*source);
	g_source_unref(*source);
	*source = NULL;
}

static void
count(const struct conn *c, const char *name, int64_t n)
{
	if (c->node->counters != NULL)
		ctr_add(ctr_get(c->node->counters, name), n);
}

static gboolean
finish_close(gpointer data)
{
	struct conn *c = data;
	struct out_buffer *b;

	if (c->ops != NULL)
		c->ops->closed(c, &c->why, c->ctx);
	if (c->server != NULL)
		g_hash_table_remove(c->server->handshaking, c);
	while ((b = TAILQ_FIRST(&c->out)) != NULL) {
		TAILQ_REMOVE(&c->out, b, link);
		g_byte_array_unref(b->bytes);
		g_free(b);
	}
	g_clear_object(&c->socket);
	g_free(c->in);
	g_free(c);
	return G_SOURCE_REMOVE;
}

static void
fail(struct conn *c, enum err_code code, const char *message)
{
	if (c->state == CONN_CLOSING)
		return;
	err_set(&c->why, code, VERDICT_MAY_HAVE_RUN, "peer %s: %s",
	    c->peer[0] == '\0' ? "(unknown)" : c->peer, message);
	if (c->state != CONN_OPEN)
		c->why.verdict = VERDICT_NOT_RUN;
	c->state = CONN_CLOSING;
	drop_source(&c->in_source);
	drop_source(&c->out_source);
	if (c->timer != 0)
		g_source_remove(c->timer);
	c->timer = 0;
	if (c->socket != NULL)
		g_socket_close(c->socket, NULL);
	if (c->resume_idle != 0)
		g_source_remove(c->resume_idle);
	c->resume_idle = 0;
	g_idle_add_full(G_PRIORITY_DEFAULT, finish_close, c, NULL);
}

void
conn_close(struct conn *c)
{
	fail(c, ERR_CANCELLED, "closed by this process");
}

static gboolean
handshake_timeout(gpointer data)
{
	struct conn *c = data;

	c->timer = 0;
	count(c, "conn_handshake_timeouts", 1);
	fail(c, ERR_UNAVAILABLE, "handshake timed out");
	return G_SOURCE_REMOVE;
}

/* ------------------------------------------------------------------ */
/* Sending                                                             */
/* ------------------------------------------------------------------ */

static gboolean on_writable(GSocket *socket, GIOCondition cond, gpointer data);

/* Sends queued bytes until the socket would block. Returns false if the
 * connection failed. */
static bool
flush(struct conn *c)
{
	struct out_buffer *b;
	GError *error = NULL;
	gssize n;

	while ((b = TAILQ_FIRST(&c->out)) != NULL) {
		n = g_socket_send(c->socket,
		    (const gchar *)b->bytes->data + b->sent,
		    b->bytes->len - b->sent, NULL, &error);
		if (n < 0) {
			bool again = g_error_matches(
			    error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK);

			if (!again)
				fail(c, ERR_UNAVAILABLE, error->message);
			g_error_free(error);
			return again;
		}
		b->sent += (size_t)n;
		c->queued -= (size_t)n;
		if (b->sent < b->bytes->len)
			continue;
		TAILQ_REMOVE(&c->out, b, link);
		g_byte_array_unref(b->bytes);
		g_free(b);
	}
	return true;
}

static void
watch_writable(struct conn *c)
{
	if (c->out_source != NULL || c->state == CONN_CLOSING)
		return;
	c->out_source = g_socket_create_source(c->socket, G_IO_OUT, NULL);
	g_source_set_callback(
	    c->out_source, G_SOURCE_FUNC(on_writable), c, NULL);
	g_source_attach(c->out_source, NULL);
}

void
conn_send(struct conn *c, const struct msg_desc *desc, const void *message)
{
	struct out_buffer *b;
	uint32_t len;
	uint64_t hlc;

	if (c->state == CONN_CLOSING)
		return;
	g_assert(c->state != CONN_CONNECTING);
	hlc = c->node->timeline == NULL ? 0 : tl_stamp(c->node->timeline);
	b = g_new0(struct out_buffer, 1);
	b->bytes = g_byte_array_new();
	g_byte_array_set_size(b->bytes, FRAME_HEADER);
	msg_pack(b->bytes, hlc, desc, message);
	g_assert(b->bytes->len <= FRAME_MAX);
	len = GUINT32_TO_BE(b->bytes->len - FRAME_HEADER);
	memcpy(b->bytes->data, &len, FRAME_HEADER);
	TAILQ_INSERT_TAIL(&c->out, b, link);
	c->queued += b->bytes->len;
	count(c, "conn_sent_bytes", b->bytes->len);
	if (c->out_source == NULL && flush(c) && c->queued > 0)
		watch_writable(c);
}

/* ------------------------------------------------------------------ */
/* Receiving                                                           */
/* ------------------------------------------------------------------ */

static void
send_hello(struct conn *c)
{
	struct conn_hello hello = {
		.id = slice_str(c->node->id),
		.nonce = { c->nonce, CONN_NONCE_BYTES },
	};

	random_bytes(c->nonce, CONN_NONCE_BYTES);
	conn_send(c, &conn_hello_desc, &hello);
}

static void
handle_hello(struct conn *c, const struct msg *m)
{
	struct conn_hello hello;
	struct conn_proof proof;

	if (!msg_read(m, &conn_hello_desc, &hello, NULL) || hello.id.len == 0 ||
	    hello.nonce.len != CONN_NONCE_BYTES) {
		fail(c, ERR_INVALID, "malformed hello message");
		return;
	}
	memcpy(c->peer, hello.id.data, hello.id.len);
	memcpy(c->peer_nonce, hello.nonce.data, CONN_NONCE_BYTES);
	conn_make_proof(c->node, c->dialled, c->node->id, c->nonce, c->peer,
	    c->peer_nonce, &proof.proof);
	c->state = CONN_PROOF;
	conn_send(c, &conn_proof_desc, &proof);
}

static void
handle_proof(struct conn *c, const struct msg *m)
{
	struct conn_proof proof;
	struct digest expected;

	conn_make_proof(c->node, !c->dialled, c->peer, c->peer_nonce,
	    c->node->id, c->nonce, &expected);
	if (!msg_read(m, &conn_proof_desc, &proof, NULL) ||
	    !digest_equal_secret(&proof.proof, &expected)) {
		count(c, "conn_refused_keys", 1);
		fail(c, ERR_UNAUTHORISED,
		    "authentication failed: wrong shared key");
		return;
	}
	g_source_remove(c->timer);
	c->timer = 0;
	c->state = CONN_OPEN;
	if (c->server != NULL) {
		struct conn_server *s = c->server;

		g_hash_table_remove(s->handshaking, c);
		c->server = NULL;
		c->ops = s->accepted(c, &c->ctx, s->ctx);
		g_assert(c->ops != NULL);
	}
	if (c->ops->opened != NULL)
		c->ops->opened(c, c->ctx);
}

static void
handle_frame(struct conn *c, const uint8_t *data, size_t len)
{
	struct msg m = { 0 };

	if (!msg_open(&m, data, len, NULL)) {
		count(c, "conn_bad_frames", 1);
		fail(c, ERR_INVALID, "malformed frame");
		return;
	}
	if (c->node->timeline != NULL && c->state == CONN_OPEN)
		tl_observe(c->node->timeline, m.hlc);
	if (c->state == CONN_HELLO)
		handle_hello(c, &m);
	else if (c->state == CONN_PROOF)
		handle_proof(c, &m);
	else
		c->ops->message(c, &m, c->ctx);
	msg_close(&m);
}

/* Handles all complete frames in the input buffer. */
static void
parse_input(struct conn *c)
{
	size_t at = 0;
	uint32_t len;
	size_t max;

	while (c->state != CONN_CLOSING && !c->paused &&
	    c->in_len - at >= FRAME_HEADER) {
		memcpy(&len, c->in + at, FRAME_HEADER);
		len = GUINT32_FROM_BE(len);
		max = c->state == CONN_OPEN ? FRAME_MAX : HANDSHAKE_FRAME_MAX;
		if (len > max) {
			count(c, "conn_oversize_frames", 1);
			fail(c, ERR_TOO_LARGE, "frame exceeds the size limit");
			return;
		}
		if (c->in_len - at < FRAME_HEADER + len)
			break;
		handle_frame(c, c->in + at + FRAME_HEADER, len);
		at += FRAME_HEADER + len;
	}
	memmove(c->in, c->in + at, c->in_len - at);
	c->in_len -= at;
}

static gboolean
on_readable(GSocket *socket, GIOCondition cond, gpointer data)
{
	struct conn *c = data;
	GError *error = NULL;
	gssize n;

	if (c->in_size - c->in_len < READ_SLICE) {
		c->in_size = c->in_len + 2 * READ_SLICE;
		c->in = g_realloc(c->in, c->in_size);
	}
	n = g_socket_receive(
	    c->socket, (gchar *)c->in + c->in_len, READ_SLICE, NULL, &error);
	if (n < 0) {
		if (!g_error_matches(error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK))
			fail(c, ERR_UNAVAILABLE, error->message);
		g_error_free(error);
		return G_SOURCE_CONTINUE;
	}
	if (n == 0) {
		fail(c, ERR_UNAVAILABLE, "closed by the peer");
		return G_SOURCE_CONTINUE;
	}
	c->in_len += (size_t)n;
	c->received += (uint64_t)n;
	count(c, "conn_received_bytes", n);
	parse_input(c);
	return G_SOURCE_CONTINUE;
}

static void
watch_readable(struct conn *c)
{
	c->in_source = g_socket_create_source(c->socket, G_IO_IN, NULL);
	g_source_set_callback(
	    c->in_source, G_SOURCE_FUNC(on_readable), c, NULL);
	g_source_attach(c->in_source, NULL);
}

static gboolean
resume_input(gpointer data)
{
	struct conn *c = data;

	c->resume_idle = 0;
	if (c->state == CONN_OPEN && !c->paused) {
		parse_input(c);
		if (c->state == CONN_OPEN && !c->paused && c->in_source == NULL)
			watch_readable(c);
	}
	return G_SOURCE_REMOVE;
}

void
conn_pause(struct conn *c, bool paused)
{
	if (c->state == CONN_CLOSING || c->paused == paused)
		return;
	c->paused = paused;
	if (paused) {
		drop_source(&c->in_source);
		return;
	}
	/* Frames that are already buffered are handled from the main loop, so
	 * that no callback runs within this call. */
	if (c->resume_idle == 0) {
		c->resume_idle =
		    g_idle_add_full(G_PRIORITY_DEFAULT, resume_input, c, NULL);
	}
}

/* ------------------------------------------------------------------ */
/* Opening                                                             */
/* ------------------------------------------------------------------ */

static struct conn *
conn_new(const struct conn_node *node)
{
	struct conn *c = g_new0(struct conn, 1);

	g_assert(strlen(node->id) <= CONN_ID_MAX);
	c->node = node;
	TAILQ_INIT(&c->out);
	c->timer = g_timeout_add(HANDSHAKE_MS, handshake_timeout, c);
	return c;
}

static void
begin_handshake(struct conn *c)
{
	g_socket_set_option(c->socket, IPPROTO_TCP, TCP_NODELAY, 1, NULL);
	c->state = CONN_HELLO;
	watch_readable(c);
	send_hello(c);
}

static gboolean
on_writable(GSocket *socket, GIOCondition cond, gpointer data)
{
	struct conn *c = data;
	GError *error = NULL;
	bool was_low;

	if (c->state == CONN_CONNECTING) {
		drop_source(&c->out_source);
		if (g_socket_check_connect_result(socket, &error)) {
			begin_handshake(c);
		} else {
			fail(c, ERR_UNAVAILABLE, error->message);
			g_error_free(error);
		}
		return G_SOURCE_REMOVE;
	}
	was_low = c->queued < CONN_LOW_WATER;
	if (!flush(c))
		return G_SOURCE_REMOVE;
	if (c->queued == 0)
		drop_source(&c->out_source);
	if (!was_low && c->queued < CONN_LOW_WATER && c->state == CONN_OPEN &&
	    c->ops->drained != NULL)
		c->ops->drained(c, c->ctx);
	return G_SOURCE_CONTINUE;
}

struct conn *
conn_dial(const struct conn_node *node, const char *address,
    const struct conn_ops *ops, void *ctx)
{
	struct conn *c = conn_new(node);
	struct err err = { 0 };
	GSocketAddress *to = net_address(address, &err);
	GError *error = NULL;

	c->ops = ops;
	c->ctx = ctx;
	c->dialled = true;
	c->state = CONN_CONNECTING;
	if (to != NULL)
		c->socket = net_socket(to, G_SOCKET_TYPE_STREAM, &err);
	if (c->socket == NULL) {
		fail(c, err.code, err.message);
	} else if (g_socket_connect(c->socket, to, NULL, &error)) {
		begin_handshake(c);
	} else if (g_error_matches(error, G_IO_ERROR, G_IO_ERROR_PENDING)) {
		watch_writable(c);
	} else {
		fail(c, ERR_UNAVAILABLE, error->message);
	}
	g_clear_error(&error);
	g_clear_object(&to);
	return c;
}

static gboolean
on_accept(GSocket *socket, GIOCondition cond, gpointer data)
{
	struct conn_server *s = data;
	GSocket *accepted = g_socket_accept(socket, NULL, NULL);
	struct conn *c;

	if (accepted == NULL)
		return G_SOURCE_CONTINUE;
	g_socket_set_blocking(accepted, FALSE);
	c = conn_new(s->node);
	c->server = s;
	c->socket = accepted;
	g_hash_table_add(s->handshaking, c);
	begin_handshake(c);
	return G_SOURCE_CONTINUE;
}

struct conn_server *
conn_listen(const struct conn_node *node, const char *address,
    const struct conn_ops *(*accepted)(
	struct conn *c, void **ctx_out, void *ctx),
    void *ctx, struct err *err)
{
	GSocketAddress *at = net_address(address, err);
	struct conn_server *s;
	GSocket *socket;
	GError *error = NULL;

	if (at == NULL)
		return NULL;
	socket = net_socket(at, G_SOCKET_TYPE_STREAM, err);
	if (socket == NULL) {
		g_object_unref(at);
		return NULL;
	}
	g_socket_set_listen_backlog(socket, LISTEN_BACKLOG);
	if (!g_socket_bind(socket, at, TRUE, &error) ||
	    !g_socket_listen(socket, &error)) {
		err_set(err, ERR_UNAVAILABLE, VERDICT_NOT_RUN,
		    "cannot listen on %s: %s", address, error->message);
		g_error_free(error);
		g_object_unref(socket);
		g_object_unref(at);
		return NULL;
	}
	g_object_unref(at);
	s = g_new0(struct conn_server, 1);
	s->node = node;
	s->accepted = accepted;
	s->ctx = ctx;
	s->socket = socket;
	s->handshaking = g_hash_table_new(NULL, NULL);
	s->source = g_socket_create_source(socket, G_IO_IN, NULL);
	g_source_set_callback(s->source, G_SOURCE_FUNC(on_accept), s, NULL);
	g_source_attach(s->source, NULL);
	return s;
}

unsigned int
conn_server_port(const struct conn_server *s)
{
	GSocketAddress *at = g_socket_get_local_address(s->socket, NULL);
	unsigned int port;

	g_assert(at != NULL);
	port = g_inet_socket_address_get_port(G_INET_SOCKET_ADDRESS(at));
	g_object_unref(at);
	return port;
}

void
conn_server_free(struct conn_server *s)
{
	GHashTableIter iter;
	gpointer c;

	if (s == NULL)
		return;
	g_hash_table_iter_init(&iter, s->handshaking);
	while (g_hash_table_iter_next(&iter, &c, NULL)) {
		((struct conn *)c)->server = NULL;
		fail(c, ERR_CANCELLED, "listener closed");
	}
	g_hash_table_unref(s->handshaking);
	drop_source(&s->source);
	g_socket_close(s->socket, NULL);
	g_object_unref(s->socket);
	g_free(s);
}

/* ------------------------------------------------------------------ */
/* Accessors                                                           */
/* ------------------------------------------------------------------ */

size_t
conn_queued(const struct conn *c)
{
	return c->queued;
}

uint64_t
conn_received(const struct conn *c)
{
	return c->received;
}

const char *
conn_peer(const struct conn *c)
{
	return c->peer;
}

bool
conn_is_open(const struct conn *c)
{
	return c->state == CONN_OPEN;
}

void
conn_set_ctx(struct conn *c, void *ctx)
{
	c->ctx = ctx;
}
