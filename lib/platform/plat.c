/*
 * HTTP sessions shared by the adapters of a process, and the sockets of their
 * connections. libsoup does not expose the sockets; target.c inspects them to
 * distinguish a complete response from a truncated one.
 */

#include <string.h>

#include "platform/platform_internal.h"

/* A gateway has some thousand streams open at once, many of them to one engine,
 * and a request that waits in the session's queue would spend its deadline
 * there. Admission control limits the load, so the session must not. */
#define CONNS_MAX 4096
/* Idle connections are closed well before the one-minute limit of most servers,
 * so that few requests use a connection that the server is closing. */
#define IDLE_TIMEOUT_S 20

struct plat_socket {
	struct plat_pool *pool;
	guint64 id; /* libsoup's connection id; key of the table */
	GSocket *socket; /* weak */
};

static void
on_socket_finalized(gpointer data, GObject *socket)
{
	struct plat_socket *entry = data;

	g_hash_table_remove(entry->pool->sockets, &entry->id);
}

static void
on_network_event(SoupMessage *message, GSocketClientEvent event,
    GIOStream *stream, gpointer data)
{
	struct plat_pool *pool = data;
	struct plat_socket *entry;

	if (event != G_SOCKET_CLIENT_CONNECTED)
		return;
	entry = g_new0(struct plat_socket, 1);
	entry->pool = pool;
	entry->id = soup_message_get_connection_id(message);
	entry->socket =
	    g_socket_connection_get_socket(G_SOCKET_CONNECTION(stream));
	g_object_weak_ref(G_OBJECT(entry->socket), on_socket_finalized, entry);
	g_hash_table_insert(pool->sockets, &entry->id, entry);
}

static void
on_queued(SoupSession *session, SoupMessage *message, gpointer data)
{
	g_signal_connect(
	    message, "network-event", G_CALLBACK(on_network_event), data);
}

/* Disconnects the handler, because a message may outlive the pool. */
static void
on_unqueued(SoupSession *session, SoupMessage *message, gpointer data)
{
	g_signal_handlers_disconnect_by_func(
	    message, G_CALLBACK(on_network_event), data);
}

GSocket *
plat_socket(const struct plat_pool *pool, SoupMessage *message)
{
	guint64 id = soup_message_get_connection_id(message);
	const struct plat_socket *entry =
	    g_hash_table_lookup(pool->sockets, &id);

	return entry == NULL ? NULL : entry->socket;
}

static void
pool_open(struct plat_pool *pool, unsigned int conns)
{
	pool->sockets =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	pool->session = soup_session_new_with_options("max-conns", conns,
	    "max-conns-per-host", conns, "proxy-resolver", NULL, "timeout", 0,
	    "idle-timeout", IDLE_TIMEOUT_S, NULL);
	g_signal_connect(
	    pool->session, "request-queued", G_CALLBACK(on_queued), pool);
	g_signal_connect(
	    pool->session, "request-unqueued", G_CALLBACK(on_unqueued), pool);
	/* Bodies are passed on undecoded, and no request is repeated with
	 * credentials. */
	soup_session_remove_feature_by_type(
	    pool->session, SOUP_TYPE_CONTENT_DECODER);
	soup_session_remove_feature_by_type(
	    pool->session, SOUP_TYPE_AUTH_MANAGER);
}

static void
pool_close(struct plat_pool *pool)
{
	GHashTableIter iter;
	gpointer value;

	soup_session_abort(pool->session);
	g_signal_handlers_disconnect_by_data(pool->session, pool);
	g_hash_table_iter_init(&iter, pool->sockets);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct plat_socket *entry = value;

		g_object_weak_unref(
		    G_OBJECT(entry->socket), on_socket_finalized, entry);
	}
	g_hash_table_unref(pool->sockets);
	g_object_unref(pool->session);
}

struct plat_pool *
plat_pool(struct plat *plat, const char *base)
{
	size_t first = hash64(0, base, strlen(base)) % PLAT_POOLS;
	struct plat_pool *least_loaded = &plat->pools[first];
	size_t i;

	for (i = 0; i < PLAT_POOLS; i++) {
		struct plat_pool *pool = &plat->pools[(first + i) % PLAT_POOLS];

		if (pool->running < PLAT_POOL_FILL)
			return pool;
		if (pool->running < least_loaded->running)
			least_loaded = pool;
	}
	return least_loaded;
}

struct plat *
plat_new_bounded(const struct clk *clock, struct ctr_set *counters,
    struct tl *timeline, unsigned int conns)
{
	struct plat *plat = g_new0(struct plat, 1);
	size_t i;

	plat->clock = clock;
	plat->counters = counters;
	plat->timeline = timeline;
	TAILQ_INIT(&plat->calls);
	for (i = 0; i < PLAT_POOLS; i++)
		pool_open(&plat->pools[i], conns);
	return plat;
}

struct plat *
plat_new(const struct clk *clock, struct ctr_set *counters, struct tl *timeline)
{
	return plat_new_bounded(clock, counters, timeline, CONNS_MAX);
}

void
plat_free(struct plat *plat)
{
	size_t i;

	if (plat == NULL)
		return;
	target_cancel_all(plat);
	for (i = 0; i < PLAT_POOLS; i++)
		pool_close(&plat->pools[i]);
	g_free(plat);
}

SoupSession *
plat_session(struct plat *plat)
{
	return plat->pools[0].session;
}

struct ctr *
plat_counter(const struct plat *plat, const char *name)
{
	return ctr_get(plat->counters, name);
}
