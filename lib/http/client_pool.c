/* Connections to targets: those in use, and those kept for the next call. */

#include <unistd.h>

#include "http/client_internal.h"

/* ------------------------------------------------------------------ */
/* Connections                                                         */
/* ------------------------------------------------------------------ */

void
hlink_free(struct hlink *l)
{
	if (l->state == LINK_IDLE) {
		TAILQ_REMOVE(&l->place->idle, l, link);
		l->place->nidle--;
	}
	LIST_REMOVE(l, all);
	evl_timer_stop(hlink_loop(l), &l->timer);
	evl_task_cancel(hlink_loop(l), &l->flush);
	if (l->fd.fd >= 0) {
		evl_forget(hlink_loop(l), &l->fd);
		close(l->fd.fd);
	}
	hparse_free(&l->parse);
	hbuf_free(&l->out);
	g_free(l);
}

struct hlink *
hlink_take_idle(struct hplace *place)
{
	struct hlink *l = TAILQ_FIRST(&place->idle);

	if (l == NULL)
		return NULL;
	TAILQ_REMOVE(&place->idle, l, link);
	place->nidle--;
	l->state = LINK_BUSY;
	evl_timer_stop(hlink_loop(l), &l->timer);
	return l;
}

/* ------------------------------------------------------------------ */
/* Pool                                                                */
/* ------------------------------------------------------------------ */

static void
place_free(gpointer data)
{
	struct hplace *place = data;
	struct hlink *l;

	while ((l = LIST_FIRST(&place->all)) != NULL)
		hlink_free(l);
	g_free(place->address);
	g_free(place);
}

struct hplace *
hplace_of(struct hpool *p, const char *address)
{
	struct hplace *place = g_hash_table_lookup(p->places, address);

	if (place != NULL)
		return place;
	place = g_new0(struct hplace, 1);
	place->pool = p;
	place->address = g_strdup(address);
	TAILQ_INIT(&place->idle);
	LIST_INIT(&place->all);
	g_hash_table_insert(p->places, place->address, place);
	return place;
}

struct hpool *
hpool_new(const struct hpool_conf *conf)
{
	struct hpool *p = g_new0(struct hpool, 1);

	p->conf = *conf;
	p->places =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, place_free);
	return p;
}

void
hpool_free(struct hpool *p)
{
	g_hash_table_unref(p->places);
	g_free(p);
}

void
hpool_forget(struct hpool *p, const char *address)
{
	struct hplace *place = g_hash_table_lookup(p->places, address);
	struct hlink *l;

	if (place == NULL)
		return;
	while ((l = TAILQ_FIRST(&place->idle)) != NULL)
		hlink_free(l);
	LIST_FOREACH (l, &place->all, all)
		l->spoilt = true; /* a call is under way: close after it */
	if (LIST_EMPTY(&place->all))
		g_hash_table_remove(p->places, address);
}

void
hpool_forget_idle(struct hpool *p)
{
	GHashTableIter iter;
	gpointer value;
	struct hplace *place;
	struct hlink *l;

	g_hash_table_iter_init(&iter, p->places);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		place = value;
		while ((l = TAILQ_FIRST(&place->idle)) != NULL)
			hlink_free(l);
	}
}

unsigned int
hpool_opened(const struct hpool *p)
{
	return p->opened;
}
