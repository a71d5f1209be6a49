/*
 * The time line of all processes: every live member is asked for its events
 * over a connection of its own, and they are put in one order by stamp.
 */

#include <json-glib/json-glib.h>
#include <string.h>

#include "entry/entry.h"

#define COLLECT_MS 1500 /* members that have not answered by then are named */

struct collecting;

struct asked {
	TAILQ_ENTRY(asked) link;
	struct collecting *all;
	char id[MEM_ID_MAX + 1];
	struct conn *conn;
	bool answered;
};

TAILQ_HEAD(asked_list, asked);

struct collecting {
	struct entry *entry;
	SoupServerMessage *message;
	struct asked_list asked;
	JsonArray *events;
	unsigned int open; /* connections that have not closed */
	guint timer;
	bool answered; /* the operator has the answer */
};

/* ------------------------------------------------------------------ */
/* The answer                                                          */
/* ------------------------------------------------------------------ */

static gint
by_stamp(gconstpointer a, gconstpointer b)
{
	JsonObject *x = json_node_get_object(*(JsonNode *const *)a);
	JsonObject *y = json_node_get_object(*(JsonNode *const *)b);
	gint64 p = json_object_get_int_member(x, "hlc");
	gint64 q = json_object_get_int_member(y, "hlc");

	if (p != q)
		return p < q ? -1 : 1;
	return strcmp(json_object_get_string_member(x, "node"),
	    json_object_get_string_member(y, "node"));
}

static JsonArray *
sorted(JsonArray *events)
{
	GPtrArray *order = g_ptr_array_new();
	JsonArray *out = json_array_new();
	guint i;

	for (i = 0; i < json_array_get_length(events); i++)
		g_ptr_array_add(order, json_array_get_element(events, i));
	g_ptr_array_sort(order, by_stamp);
	for (i = 0; i < order->len; i++)
		json_array_add_element(out, json_node_copy(order->pdata[i]));
	g_ptr_array_unref(order);
	return out;
}

static void
answer(struct collecting *all)
{
	JsonObject *o = json_object_new();
	JsonArray *silent = json_array_new();
	JsonNode *node = json_node_new(JSON_NODE_OBJECT);
	const struct asked *a;

	TAILQ_FOREACH (a, &all->asked, link) {
		if (!a->answered)
			json_array_add_string_element(silent, a->id);
	}
	json_object_set_array_member(o, "events", sorted(all->events));
	json_object_set_array_member(o, "silent", silent);
	json_node_take_object(node, o);
	answer_json(all->message, SOUP_STATUS_OK, node);
	soup_server_message_unpause(all->message);
	all->answered = true;
}

static void
free_collecting(struct collecting *all)
{
	struct asked *a;

	while ((a = TAILQ_FIRST(&all->asked)) != NULL) {
		TAILQ_REMOVE(&all->asked, a, link);
		g_free(a);
	}
	json_array_unref(all->events);
	g_object_unref(all->message);
	g_free(all);
}

static void
end_if_done(struct collecting *all)
{
	if (all->open > 0)
		return;
	if (all->timer != 0)
		g_source_remove(all->timer);
	if (!all->answered)
		answer(all);
	free_collecting(all);
}

/* ------------------------------------------------------------------ */
/* Asking                                                              */
/* ------------------------------------------------------------------ */

static void
add_events(struct collecting *all, const char *json, gssize len)
{
	JsonParser *parser = json_parser_new();
	JsonArray *events;
	guint i;

	if (json_parser_load_from_data(parser, json, len, NULL) &&
	    JSON_NODE_HOLDS_ARRAY(json_parser_get_root(parser))) {
		events = json_node_get_array(json_parser_get_root(parser));
		for (i = 0; i < json_array_get_length(events); i++) {
			json_array_add_element(all->events,
			    json_node_copy(json_array_get_element(events, i)));
		}
	}
	g_object_unref(parser);
}

static void
on_opened(struct conn *c, void *ctx)
{
	struct rt_events_get get = { 0 };

	conn_send(c, &rt_events_get_desc, &get);
}

static void
on_message(struct conn *c, const struct msg *m, void *ctx)
{
	struct asked *a = ctx;
	struct rt_events events;

	if (!msg_read(m, &rt_events_desc, &events, NULL))
		return;
	a->answered = true;
	add_events(
	    a->all, (const char *)events.json.data, (gssize)events.json.len);
	conn_close(c);
}

static void
on_closed(struct conn *c, const struct err *why, void *ctx)
{
	struct asked *a = ctx;

	a->conn = NULL;
	a->all->open--;
	end_if_done(a->all);
}

static const struct conn_ops ops = {
	.opened = on_opened,
	.message = on_message,
	.closed = on_closed,
};

static void
ask(const struct mem_member *member, void *ctx)
{
	struct collecting *all = ctx;
	struct asked *a;

	if (strcmp(member->node.id, all->entry->proc.node.id) == 0)
		return;
	a = g_new0(struct asked, 1);
	a->all = all;
	g_strlcpy(a->id, member->node.id, sizeof(a->id));
	TAILQ_INSERT_TAIL(&all->asked, a, link);
	all->open++;
	a->conn =
	    conn_dial(&all->entry->proc.node, member->node.address, &ops, a);
}

static gboolean
on_time_up(gpointer data)
{
	struct collecting *all = data;
	struct asked *a;

	all->timer = 0;
	answer(all);
	TAILQ_FOREACH (a, &all->asked, link) {
		if (a->conn != NULL)
			conn_close(a->conn);
	}
	return G_SOURCE_REMOVE;
}

void
timeline_collect(struct entry *entry, SoupServerMessage *message)
{
	struct collecting *all = g_new0(struct collecting, 1);
	uint64_t next;
	char *own = proc_events_json(entry->proc.timeline, 0, &next);

	all->entry = entry;
	all->message = g_object_ref(message);
	all->events = json_array_new();
	TAILQ_INIT(&all->asked);
	soup_server_message_pause(message);
	add_events(all, own, -1);
	g_free(own);
	all->timer = g_timeout_add(COLLECT_MS, on_time_up, all);
	agr_each_member(entry->proc.agr, ask, all);
	end_if_done(all);
}
