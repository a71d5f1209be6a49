/* Messages, connections and datagrams; wrong keys and malformed frames. */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <arpa/inet.h>
#include <gio/gio.h>
#include <string.h>
#include <unistd.h>

#include "../http/endless.h"
#include "common/common.h"

struct note {
	uint64_t number;
	struct slice text;
	struct digest digest;
};

static const struct msg_field note_fields[] = {
	MSG_FIELD(struct note, number, MSG_U64, 1000),
	MSG_FIELD(struct note, text, MSG_STR, 64),
	MSG_FIELD(struct note, digest, MSG_DIGEST, 0),
};
static const struct msg_desc note_desc =
    MSG_DESC(9, "note", struct note, note_fields);

static const uint8_t shared_key[] = "0123456789abcdef";
static const uint8_t other_key[] = "fedcba9876543210";

struct end {
	struct conn_node node;
	struct conn *conn;
	bool opened, closed;
	struct err why;
	int messages;
	uint64_t last_number;
};

static void
on_opened(struct conn *c, void *ctx)
{
	struct end *e = ctx;

	e->opened = true;
	e->conn = c;
}

static void
on_message(struct conn *c, const struct msg *m, void *ctx)
{
	struct end *e = ctx;
	struct note note;

	assert_true(msg_read(m, &note_desc, &note, NULL));
	e->messages++;
	e->last_number = note.number;
}

static void
on_closed(struct conn *c, const struct err *why, void *ctx)
{
	struct end *e = ctx;

	e->closed = true;
	e->conn = NULL;
	e->why = *why;
}

static const struct conn_ops ops = {
	.opened = on_opened,
	.message = on_message,
	.closed = on_closed,
};

static const struct conn_ops *
accept_end(struct conn *c, void **ctx_out, void *ctx)
{
	*ctx_out = ctx;
	return &ops;
}

static void
init_end(struct end *e, const char *id, const uint8_t *key)
{
	memset(e, 0, sizeof(*e));
	e->node = (struct conn_node){
		.id = id,
		.key = key,
		.key_len = 16,
		.clock = clk_system(),
		.counters = ctr_set_new(),
	};
}

static gboolean
on_timeout(gpointer data)
{
	*(bool *)data = true;
	return G_SOURCE_REMOVE;
}

/* Runs the main loop until `*flag`; fails after ten seconds. */
static void
run_until(const bool *flag)
{
	bool timed_out = false;
	guint timer = g_timeout_add(10000, on_timeout, &timed_out);

	while (!*flag && !timed_out)
		g_main_context_iteration(NULL, TRUE);
	assert_false(timed_out);
	g_source_remove(timer);
}

static struct conn_server *
listen_at(struct end *e, char address[32])
{
	struct conn_server *s =
	    conn_listen(&e->node, "127.0.0.1:0", accept_end, e, NULL);

	assert_non_null(s);
	g_snprintf(address, 32, "127.0.0.1:%u", conn_server_port(s));
	return s;
}

static void
close_end(struct end *e)
{
	if (e->conn != NULL) {
		conn_close(e->conn);
		run_until(&e->closed);
	}
	ctr_set_free(e->node.counters);
}

static void
test_messages_arrive_in_order(void **state)
{
	struct end server, client;
	struct note note = { .text = slice_str("hello") };
	struct conn_server *s;
	char address[32];

	init_end(&server, "server", shared_key);
	init_end(&client, "client", shared_key);
	s = listen_at(&server, address);
	conn_dial(&client.node, address, &ops, &client);
	run_until(&client.opened);
	assert_string_equal(conn_peer(client.conn), "server");
	for (note.number = 1; note.number <= 1000; note.number++)
		conn_send(client.conn, &note_desc, &note);
	while (server.messages < 1000)
		g_main_context_iteration(NULL, TRUE);
	assert_int_equal(server.last_number, 1000);
	conn_close(client.conn);
	run_until(&server.closed);
	run_until(&client.closed);
	conn_server_free(s);
	close_end(&server);
	close_end(&client);
}

/*
 * An unknown peer with another key connects. Neither end opens the connection;
 * the refusal is counted, and the peer observes only that the connection is
 * closed.
 */
static void
test_wrong_key_is_refused(void **state)
{
	struct end server, client;
	struct conn_server *s;
	char address[32];

	init_end(&server, "server", shared_key);
	init_end(&client, "client", other_key);
	s = listen_at(&server, address);
	conn_dial(&client.node, address, &ops, &client);
	run_until(&client.closed);
	assert_false(client.opened);
	assert_false(server.opened);
	assert_int_equal(client.why.verdict, VERDICT_NOT_RUN);
	while (ctr_read(server.node.counters, "conn_refused_keys") == 0 &&
	    ctr_read(client.node.counters, "conn_refused_keys") == 0)
		g_main_context_iteration(NULL, TRUE);
	conn_server_free(s);
	close_end(&server);
	close_end(&client);
}

/* Sends bytes that are not a frame and reads the reply, at most a second. */
static void
send_raw(const char *address, const void *data, size_t len)
{
	GSocketClient *client = g_socket_client_new();
	GSocketConnection *c =
	    g_socket_client_connect_to_host(client, address, 0, NULL, NULL);
	char buffer[512];

	assert_non_null(c);
	g_output_stream_write_all(g_io_stream_get_output_stream(G_IO_STREAM(c)),
	    data, len, NULL, NULL, NULL);
	g_socket_set_timeout(g_socket_connection_get_socket(c), 1);
	while (g_main_context_iteration(NULL, FALSE))
		;
	g_input_stream_read(g_io_stream_get_input_stream(G_IO_STREAM(c)),
	    buffer, sizeof(buffer), NULL, NULL);
	g_object_unref(c);
	g_object_unref(client);
}

/* Malformed frames close the connection and are counted; nothing crashes. */
static void
test_bad_frames_are_counted(void **state)
{
	static const uint8_t oversize[] = { 0x7f, 0xff, 0xff, 0xff };
	static const uint8_t garbage[] = { 0, 0, 0, 3, 0xc1, 0xc1, 0xc1 };
	struct end server;
	struct conn_server *s;
	char address[32];

	init_end(&server, "server", shared_key);
	s = listen_at(&server, address);
	send_raw(address, oversize, sizeof(oversize));
	send_raw(address, garbage, sizeof(garbage));
	while (ctr_read(server.node.counters, "conn_oversize_frames") == 0 ||
	    ctr_read(server.node.counters, "conn_bad_frames") == 0)
		g_main_context_iteration(NULL, TRUE);
	while (g_main_context_iteration(NULL, FALSE))
		;
	conn_server_free(s);
	close_end(&server);
}

/* Dials a listener that answers without end; returns the bytes that it sent
 * before the connection was closed. */
static size_t
dial_endless(const struct endless *kind)
{
	struct sockaddr_in at = { .sin_family = AF_INET,
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
	socklen_t len = sizeof(at);
	int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	struct endless_sender s = { .kind = kind };
	struct end client;
	char address[32];

	assert_int_equal(bind(listener, (struct sockaddr *)&at, len), 0);
	assert_int_equal(listen(listener, 1), 0);
	assert_int_equal(
	    getsockname(listener, (struct sockaddr *)&at, &len), 0);
	g_snprintf(
	    address, sizeof(address), "127.0.0.1:%u", ntohs(at.sin_port));
	init_end(&client, "client", shared_key);
	client.conn = conn_dial(&client.node, address, &ops, &client);
	assert_non_null(client.conn);
	s.fd = accept(listener, NULL, NULL);
	while (!client.closed && s.sent < 1 << 20) {
		endless_send(&s);
		g_main_context_iteration(NULL, FALSE);
	}
	assert_true(client.closed);
	assert_false(client.opened);
	close(s.fd);
	close(listener);
	close_end(&client);
	return s.sent;
}

/* Guards against a host that reads from a peer without end before it knows who
 * that is. */
static void
test_peer_without_end_is_dropped(void **state)
{
	size_t i;

	for (i = 0; i < ENDLESS_KINDS; i++)
		assert_in_range(
		    dial_endless(&endless_kinds[i]), 1, (1 << 20) - 1);
}

/* Passes bytes on between a client and a server. */
struct relay {
	int listener, client, server;
	char address[32];
	size_t passed, max; /* of the client's bytes */
};

static int
relay_socket(struct sockaddr_in *at)
{
	at->sin_family = AF_INET;
	at->sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	return socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
}

static void
relay_listen(struct relay *r)
{
	struct sockaddr_in at = { 0 };
	socklen_t len = sizeof(at);

	r->listener = relay_socket(&at);
	assert_int_equal(bind(r->listener, (struct sockaddr *)&at, len), 0);
	assert_int_equal(listen(r->listener, 1), 0);
	assert_int_equal(
	    getsockname(r->listener, (struct sockaddr *)&at, &len), 0);
	g_snprintf(
	    r->address, sizeof(r->address), "127.0.0.1:%u", ntohs(at.sin_port));
}

static void
relay_connect(struct relay *r, unsigned int port)
{
	struct sockaddr_in at = { .sin_port = htons((uint16_t)port) };

	r->client = accept(r->listener, NULL, NULL);
	r->server = relay_socket(&at);
	assert_int_equal(
	    connect(r->server, (struct sockaddr *)&at, sizeof(at)), 0);
}

static size_t
relay_pass(int from, int to, size_t max)
{
	uint8_t buffer[4096];
	ssize_t n = recv(from, buffer, MIN(max, sizeof(buffer)), MSG_DONTWAIT);

	if (n <= 0)
		return 0;
	assert_int_equal(send(to, buffer, (size_t)n, MSG_NOSIGNAL), n);
	return (size_t)n;
}

#define NOTES 3

/* Sends notes of which the server gets the first bytes; returns how many notes
 * it handles. */
static int
send_cut(size_t max, size_t *passed)
{
	struct relay r = { .max = max };
	struct end server, client;
	struct note note = { .text = slice_str("hello") };
	struct conn_server *s;
	char address[32];
	int messages;

	init_end(&server, "server", shared_key);
	init_end(&client, "client", shared_key);
	s = listen_at(&server, address);
	relay_listen(&r);
	conn_dial(&client.node, r.address, &ops, &client);
	relay_connect(&r, conn_server_port(s));
	while (r.passed < r.max && server.messages < NOTES) {
		g_main_context_iteration(NULL, FALSE);
		while (client.opened && note.number < NOTES) {
			note.number++;
			conn_send(client.conn, &note_desc, &note);
		}
		r.passed += relay_pass(r.client, r.server, r.max - r.passed);
		relay_pass(r.server, r.client, G_MAXSIZE);
	}
	close(r.server);
	close(r.client);
	close(r.listener);
	run_until(&client.closed);
	if (server.opened)
		run_until(&server.closed);
	while (g_main_context_iteration(NULL, FALSE))
		;
	assert_int_equal(server.last_number, (uint64_t)server.messages);
	assert_true(!server.opened || server.why.code == ERR_UNAVAILABLE);
	*passed = r.passed;
	messages = server.messages;
	conn_server_free(s);
	close_end(&server);
	close_end(&client);
	return messages;
}

/* Guards against a frame that broke off, in its length or its data, and is
 * handled. */
static void
test_cut_frames_are_not_handled(void **state)
{
	size_t total, passed, i;
	int messages, before = 0;

	assert_int_equal(send_cut(G_MAXSIZE, &total), NOTES);
	for (i = 1; i < total; i++) {
		messages = send_cut(i, &passed);
		assert_int_equal(passed, i);
		assert_in_range(messages, before, before + 1);
		assert_true(messages < NOTES);
		before = messages;
	}
	assert_int_equal(before, NOTES - 1);
}

static void
test_codec_checks_bounds(void **state)
{
	struct note note = { .number = 1001, .text = slice_str("x") }, got;
	GByteArray *bytes = g_byte_array_new();
	struct err err = { 0 };
	struct msg m = { 0 };

	msg_pack(bytes, 5, &note_desc, &note);
	assert_true(msg_open(&m, bytes->data, bytes->len, &err));
	assert_int_equal(m.type, 9);
	assert_int_equal(m.hlc, 5);
	assert_false(msg_read(&m, &note_desc, &got, &err));
	assert_int_equal(err.code, ERR_INVALID);
	assert_int_equal(err.verdict, VERDICT_NOT_RUN);
	msg_close(&m);
	/* Truncated at any length, it is refused and not read past its end. */
	while (bytes->len > 0) {
		g_byte_array_set_size(bytes, bytes->len - 1);
		assert_false(msg_open(&m, bytes->data, bytes->len, &err));
	}
	g_byte_array_unref(bytes);
}

/*
 * Guards against five bytes that claim an array of two thousand million
 * elements, alone or inside a valid message: the msgpack library would allocate
 * 34 GB. Such input must be refused before the library parses it.
 */
static void
test_codec_refuses_claimed_sizes(void **state)
{
	static const uint8_t bare[] = { 0xdd, 0x7f, 0xff, 0xff, 0xff };
	static const uint8_t nested[] = { 0x93, 9, 0, 0xdd, 0x7f, 0xff, 0xff,
		0xff };
	static const uint8_t map[] = { 0x93, 9, 0, 0xdf, 0x7f, 0xff, 0xff,
		0xff };
	static const uint8_t text[] = { 0x93, 9, 0, 0xdb, 0x7f, 0xff, 0xff,
		0xff };
	struct err err = { 0 };
	struct msg m = { 0 };

	assert_false(msg_open(&m, bare, sizeof(bare), &err));
	assert_false(msg_open(&m, nested, sizeof(nested), &err));
	assert_false(msg_open(&m, map, sizeof(map), &err));
	assert_false(msg_open(&m, text, sizeof(text), &err));
}

struct received {
	bool any;
	uint64_t number;
};

static void
on_datagram(const char *from, const struct msg *m, void *ctx)
{
	struct received *received = ctx;
	struct note note;

	assert_true(msg_read(m, &note_desc, &note, NULL));
	received->any = true;
	received->number = note.number;
}

static void
test_datagrams(void **state)
{
	struct end a, b, unknown;
	struct received received = { 0 }, none = { 0 };
	struct note note = { .number = 7, .text = slice_str("x") };
	struct dgram *da, *db, *ds;
	char to[32];

	init_end(&a, "a", shared_key);
	init_end(&b, "b", shared_key);
	init_end(&unknown, "s", other_key);
	da = dgram_open(&a.node, "127.0.0.1:0", on_datagram, &none, NULL);
	db = dgram_open(&b.node, "127.0.0.1:0", on_datagram, &received, NULL);
	ds = dgram_open(&unknown.node, "127.0.0.1:0", on_datagram, &none, NULL);
	g_snprintf(to, sizeof(to), "127.0.0.1:%u", dgram_port(db));
	note.number = 666;
	assert_true(dgram_send(ds, to, &note_desc, &note));
	note.number = 7;
	assert_true(dgram_send(da, to, &note_desc, &note));
	run_until(&received.any);
	assert_int_equal(received.number, 7);
	assert_int_equal(ctr_read(b.node.counters, "dgram_refused"), 1);
	dgram_free(da);
	dgram_free(db);
	dgram_free(ds);
	close_end(&a);
	close_end(&b);
	close_end(&unknown);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_messages_arrive_in_order),
		cmocka_unit_test(test_wrong_key_is_refused),
		cmocka_unit_test(test_bad_frames_are_counted),
		cmocka_unit_test(test_peer_without_end_is_dropped),
		cmocka_unit_test(test_cut_frames_are_not_handled),
		cmocka_unit_test(test_codec_checks_bounds),
		cmocka_unit_test(test_codec_refuses_claimed_sizes),
		cmocka_unit_test(test_datagrams),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
