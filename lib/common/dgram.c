/* Datagrams between the system's processes, each proved by the shared key. */

#include <string.h>

#include "common/common_internal.h"

/* Half of the HMAC: a forger has one guess in 2^128 a datagram. */
#define PROOF_BYTES 16
#define READS_PER_TURN 64 /* datagrams taken before other work gets a turn */

struct dgram {
	const struct conn_node *node;
	void (*message)(const char *from, const struct msg *m, void *ctx);
	void *ctx;
	GSocket *socket;
	GSource *source;
};

static void
count(const struct dgram *d, const char *name, int64_t n)
{
	if (d->node->counters != NULL)
		ctr_add(ctr_get(d->node->counters, name), n);
}

static bool
proof_holds(const struct dgram *d, const uint8_t *data, size_t len)
{
	struct digest got = { 0 }, want;

	hmac_of(d->node->key, d->node->key_len, data + PROOF_BYTES,
	    len - PROOF_BYTES, &want);
	memset(want.bytes + PROOF_BYTES, 0, DIGEST_BYTES - PROOF_BYTES);
	memcpy(got.bytes, data, PROOF_BYTES);
	return digest_equal_secret(&got, &want);
}

static void
take(struct dgram *d, GSocketAddress *from, const uint8_t *data, size_t len)
{
	struct msg m = { 0 };
	char *text;

	count(d, "dgram_received_bytes", (int64_t)len);
	if (len <= PROOF_BYTES || !proof_holds(d, data, len)) {
		count(d, "dgram_refused", 1);
		return;
	}
	if (!msg_open(&m, data + PROOF_BYTES, len - PROOF_BYTES, NULL)) {
		count(d, "dgram_refused", 1);
		return;
	}
	if (d->node->timeline != NULL)
		tl_seen(d->node->timeline, m.hlc);
	text = net_address_text(from);
	d->message(text, &m, d->ctx);
	g_free(text);
	msg_close(&m);
}

static gboolean
on_readable(GSocket *socket, GIOCondition cond, gpointer data)
{
	struct dgram *d = data;
	uint8_t buffer[2048];
	GSocketAddress *from;
	gssize n;
	int i;

	for (i = 0; i < READS_PER_TURN; i++) {
		from = NULL;
		n = g_socket_receive_from(
		    socket, &from, (gchar *)buffer, sizeof(buffer), NULL, NULL);
		if (n < 0)
			break;
		take(d, from, buffer, (size_t)n);
		g_clear_object(&from);
	}
	return G_SOURCE_CONTINUE;
}

struct dgram *
dgram_open(const struct conn_node *node, const char *address,
    void (*message)(const char *from, const struct msg *m, void *ctx),
    void *ctx, struct err *err)
{
	GSocketAddress *at = net_address(address, err);
	struct dgram *d;
	GSocket *socket;
	GError *error = NULL;

	if (at == NULL)
		return NULL;
	socket = net_socket(at, G_SOCKET_TYPE_DATAGRAM, err);
	if (socket == NULL) {
		g_object_unref(at);
		return NULL;
	}
	if (!g_socket_bind(socket, at, TRUE, &error)) {
		err_set(err, ERR_UNAVAILABLE, VERDICT_NOT_RUN,
		    "cannot bind %s: %s", address, error->message);
		g_error_free(error);
		g_object_unref(socket);
		g_object_unref(at);
		return NULL;
	}
	g_object_unref(at);
	d = g_new0(struct dgram, 1);
	d->node = node;
	d->message = message;
	d->ctx = ctx;
	d->socket = socket;
	d->source = g_socket_create_source(socket, G_IO_IN, NULL);
	g_source_set_callback(d->source, G_SOURCE_FUNC(on_readable), d, NULL);
	g_source_attach(d->source, NULL);
	return d;
}

bool
dgram_send(struct dgram *d, const char *to, const struct msg_desc *desc,
    const void *message)
{
	GByteArray *out = g_byte_array_new();
	GSocketAddress *address;
	struct digest proof;
	uint64_t hlc;
	bool fits;

	hlc = d->node->timeline == NULL ? 0 : tl_stamp(d->node->timeline);
	g_byte_array_set_size(out, PROOF_BYTES);
	msg_pack(out, hlc, desc, message);
	fits = out->len <= DGRAM_MAX;
	address = fits ? net_address(to, NULL) : NULL;
	if (address != NULL) {
		hmac_of(d->node->key, d->node->key_len, out->data + PROOF_BYTES,
		    out->len - PROOF_BYTES, &proof);
		memcpy(out->data, proof.bytes, PROOF_BYTES);
		g_socket_send_to(d->socket, address, (const gchar *)out->data,
		    out->len, NULL, NULL);
		count(d, "dgram_sent_bytes", out->len);
		g_object_unref(address);
	}
	g_byte_array_unref(out);
	return fits;
}

unsigned int
dgram_port(const struct dgram *d)
{
	GSocketAddress *at = g_socket_get_local_address(d->socket, NULL);
	unsigned int port;

	g_assert(at != NULL);
	port = g_inet_socket_address_get_port(G_INET_SOCKET_ADDRESS(at));
	g_object_unref(at);
	return port;
}

void
dgram_free(struct dgram *d)
{
	if (d == NULL)
		return;
	g_source_destroy(d->source);
	g_source_unref(d->source);
	g_socket_close(d->socket, NULL);
	g_object_unref(d->socket);
	g_free(d);
}
