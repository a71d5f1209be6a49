/* Pool of connections to targets: in use, or idle until the next call. */

#include <unistd.h>

#include "http/client_internal.h"

/* ------------------------------------------------------------------ */
/* Connections                                                         */
/* ------------------------------------------------------------------ */

void
hlink_free(struct hlink *l)
{
	if (l->state == LINK_IDLE) {
		TAILQ_REMOVE(&l->endpoint->idle, l, link);
		l->endpoint->nidle--;
	}
	LIST_REMOVE(l, all);
	evl_timer_stop(hlink_loop(l), &l->timer);
	evl_task_cancel(hlink_loop(l), &l->flush);
	if (l->fd.fd >= 0) {
		evl_unwatch(hlink_loop(l), &l->fd);
		close(l->fd.fd);
	}
	hparse_free(&l->parse);
	hbuf_free(&l->out);
	g_free(l);
}

struct hlink *
hlink_take_idle(struct hendpoint *endpoint)
{
	struct hlink *l = TAILQ_FIRST(&endpoint->idle);

	if (l == NULL)
		return NULL;
	TAILQ_REMOVE(&endpoint->idle, l, link);
	endpoint->nidle--;
	l->state = LINK_BUSY;
	evl_timer_stop(hlink_loop(l), &l->timer);
	return l;
}

/* ------------------------------------------------------------------ */
/* Pool                                                                */
/* ------------------------------------------------------------------ */

static void
endpoint_free(gpointer data)
{
	struct hendpoint *endpoint = data;
	struct hlink *l;

	while ((l = LIST_FIRST(&endpoint->all)) != NULL)
		hlink_free(l);
	g_free(endpoint->address);
	g_free(endpoint);
}

struct hendpoint *
hendpoint_get(struct hpool *p, const char *address)
{
	struct hendpoint *endpoint = g_hash_table_lookup(p->endpoints, address);

	if (endpoint != NULL)
		return endpoint;
	endpoint = g_new0(struct hendpoint, 1);
	endpoint->pool = p;
	endpoint->address = g_strdup(address);
	TAILQ_INIT(&endpoint->idle);
	LIST_INIT(&endpoint->all);
	g_hash_table_insert(p->endpoints, endpoint->address, endpoint);
	return endpoint;
}

struct hpool *
hpool_new(const struct hpool_conf *conf)
{
	struct hpool *p = g_new0(struct hpool, 1);

	p->conf = *conf;
	p->endpoints =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, endpoint_free);
	return p;
}

void
hpool_free(struct hpool *p)
{
	g_hash_table_unref(p->endpoints);
	g_free(p);
}

void
hpool_remove_address(struct hpool *p, const char *address)
{
	struct hendpoint *endpoint = g_hash_table_lookup(p->endpoints, address);
	struct hlink *l;

	if (endpoint == NULL)
		return;
	while ((l = TAILQ_FIRST(&endpoint->idle)) != NULL)
		hlink_free(l);
	LIST_FOREACH (l, &endpoint->all, all)
		l->no_reuse = true; /* in use: close it after its call */
	if (LIST_EMPTY(&endpoint->all))
		g_hash_table_remove(p->endpoints, address);
}

void
hpool_close_idle(struct hpool *p)
{
	GHashTableIter iter;
	gpointer value;
	struct hendpoint *endpoint;
	struct hlink *l;

	g_hash_table_iter_init(&iter, p->endpoints);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		endpoint = value;
		while ((l = TAILQ_FIRST(&endpoint->idle)) != NULL)
			hlink_free(l);
	}
}

unsigned int
hpool_opened(const struct hpool *p)
{
	return p->opened;
}
