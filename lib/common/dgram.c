/* Datagrams between processes, each authenticated with the shared key. */

#include <arpa/inet.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>

#include "common/common_internal.h"

/* Half of the HMAC: a forged datagram passes with a probability of 2^-128. */
#define PROOF_BYTES 16
#define READS_PER_TURN 64 /* datagrams per loop iteration, for fairness */

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
proof_is_valid(const struct dgram *d, const uint8_t *data, size_t len)
{
	struct digest received = { 0 }, expected;

	hmac_of(d->node->key, d->node->key_len, data + PROOF_BYTES,
	    len - PROOF_BYTES, &expected);
	memset(expected.bytes + PROOF_BYTES, 0, DIGEST_BYTES - PROOF_BYTES);
	memcpy(received.bytes, data, PROOF_BYTES);
	return digest_equal_secret(&received, &expected);
}

/* Formats an address without GLib objects: at hundreds of datagrams per second
 * these would cost more than handling the message. */
static void
address_text(const struct sockaddr_storage *from, char *out, size_t size)
{
	const struct sockaddr_in *v4 = (const struct sockaddr_in *)from;
	const struct sockaddr_in6 *v6 = (const struct sockaddr_in6 *)from;
	char ip[INET6_ADDRSTRLEN];

	if (from->ss_family == AF_INET6) {
		inet_ntop(AF_INET6, &v6->sin6_addr, ip, sizeof(ip));
		snprintf(out, size, "[%s]:%u", ip, ntohs(v6->sin6_port));
		return;
	}
	inet_ntop(AF_INET, &v4->sin_addr, ip, sizeof(ip));
	snprintf(out, size, "%s:%u", ip, ntohs(v4->sin_port));
}

static void
handle_datagram(struct dgram *d, const struct sockaddr_storage *from,
    const uint8_t *data, size_t len)
{
	struct msg m = { 0 };
	char text[INET6_ADDRSTRLEN + sizeof("[]:65535")];

	count(d, "dgram_received_bytes", (int64_t)len);
	if (len <= PROOF_BYTES || !proof_is_valid(d, data, len)) {
		count(d, "dgram_refused", 1);
		return;
	}
	if (!msg_open(&m, data + PROOF_BYTES, len - PROOF_BYTES, NULL)) {
		count(d, "dgram_refused", 1);
		return;
	}
	if (d->node->timeline != NULL)
		tl_observe(d->node->timeline, m.hlc);
	address_text(from, text, sizeof(text));
	d->message(text, &m, d->ctx);
	msg_close(&m);
}

static gboolean
on_readable(GSocket *socket, GIOCondition cond, gpointer data)
{
	struct dgram *d = data;
	struct sockaddr_storage from;
	socklen_t from_len;
	uint8_t buffer[2048];
	ssize_t n;
	int i;

	for (i = 0; i < READS_PER_TURN; i++) {
		from_len = sizeof(from);
		n = recvfrom(g_socket_get_fd(socket), buffer, sizeof(buffer),
		    MSG_DONTWAIT, (struct sockaddr *)&from, &from_len);
		if (n < 0)
			break;
		handle_datagram(d, &from, buffer, (size_t)n);
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

GByteArray *
dgram_pack(struct dgram *d, const struct msg_desc *desc, const void *message)
{
	GByteArray *out = g_byte_array_new();
	struct digest proof;
	uint64_t hlc;

	hlc = d->node->timeline == NULL ? 0 : tl_stamp(d->node->timeline);
	g_byte_array_set_size(out, PROOF_BYTES);
	msg_pack(out, hlc, desc, message);
	if (out->len > DGRAM_MAX) {
		g_byte_array_unref(out);
		return NULL;
	}
	hmac_of(d->node->key, d->node->key_len, out->data + PROOF_BYTES,
	    out->len - PROOF_BYTES, &proof);
	memcpy(out->data, proof.bytes, PROOF_BYTES);
	return out;
}

static void
count_sent(const struct dgram *d, const char *kind, size_t len)
{
	char name[64];

	count(d, "dgram_sent_bytes", (int64_t)len);
	snprintf(name, sizeof(name), "dgram_sent_%s", kind);
	count(d, name, 1);
	snprintf(name, sizeof(name), "dgram_sent_%s_bytes", kind);
	count(d, name, (int64_t)len);
}

void
dgram_send_packed(struct dgram *d, const char *to, const struct msg_desc *desc,
    const GByteArray *packed)
{
	GSocketAddress *address = net_address(to, NULL);
	struct sockaddr_storage raw;

	if (address == NULL)
		return;
	if (g_socket_address_to_native(address, &raw, sizeof(raw), NULL)) {
		sendto(g_socket_get_fd(d->socket), packed->data, packed->len,
		    MSG_DONTWAIT, (const struct sockaddr *)&raw,
		    (socklen_t)g_socket_address_get_native_size(address));
		count_sent(d, desc->name, packed->len);
	}
	g_object_unref(address);
}

bool
dgram_send(struct dgram *d, const char *to, const struct msg_desc *desc,
    const void *message)
{
	GByteArray *packed = dgram_pack(d, desc, message);

	if (packed == NULL)
		return false;
	dgram_send_packed(d, to, desc, packed);
	g_byte_array_unref(packed);
	return true;
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
