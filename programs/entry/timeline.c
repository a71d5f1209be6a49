/*
 * The timeline of all processes: requests the events of every live member over
 * a separate connection, and sorts them by their hybrid logical clock.
 */

#include <json-glib/json-glib.h>
#include <string.h>

#include "common/jtext.h"
#include "entry/entry.h"

/* Members that have not answered after this time are listed as such. */
#define COLLECT_MS 1500

struct collection;

struct member_query {
	TAILQ_ENTRY(member_query) link;
	struct collection *all;
	char id[MEM_ID_MAX + 1];
	struct conn *conn;
	bool answered;
};

TAILQ_HEAD(member_queries, member_query);

struct collection {
	struct entry *entry;
	SoupServerMessage *message;
	struct member_queries queries;
	JsonArray *events;
	unsigned int open; /* connections not closed yet */
	guint timer;
	bool answered; /* the operator's request */
};

/* ------------------------------------------------------------------ */
/* Answer                                                              */
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
answer(struct collection *all)
{
	JsonObject *o = json_object_new();
	JsonArray *unresponsive = json_array_new();
	JsonNode *node = json_node_new(JSON_NODE_OBJECT);
	const struct member_query *query;

	TAILQ_FOREACH (query, &all->queries, link) {
		if (!query->answered)
			json_array_add_string_element(unresponsive, query->id);
	}
	json_object_set_array_member(o, "events", sorted(all->events));
	json_object_set_array_member(o, "silent", unresponsive);
	json_node_take_object(node, o);
	answer_json(all->message, SOUP_STATUS_OK, node);
	soup_server_message_unpause(all->message);
	all->answered = true;
}

static void
free_collection(struct collection *all)
{
	struct member_query *query;

	while ((query = TAILQ_FIRST(&all->queries)) != NULL) {
		TAILQ_REMOVE(&all->queries, query, link);
		g_free(query);
	}
	json_array_unref(all->events);
	g_object_unref(all->message);
	g_free(all);
}

static void
finish_if_done(struct collection *all)
{
	if (all->open > 0)
		return;
	if (all->timer != 0)
		g_source_remove(all->timer);
	if (!all->answered)
		answer(all);
	free_collection(all);
}

/* ------------------------------------------------------------------ */
/* Queries to members                                                  */
/* ------------------------------------------------------------------ */

static void
add_events(struct collection *all, const char *json, gssize len)
{
	JsonParser *parser = json_parser_new();
	JsonArray *events;
	guint i;

	if (jtext_nests_within(json, (size_t)len, JTEXT_DEPTH_MAX) &&
	    json_parser_load_from_data(parser, json, len, NULL) &&
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
	struct member_query *query = ctx;
	struct rt_events events;

	if (!msg_read(m, &rt_events_desc, &events, NULL))
		return;
	query->answered = true;
	add_events(query->all, (const char *)events.json.data,
	    (gssize)events.json.len);
	conn_close(c);
}

static void
on_closed(struct conn *c, const struct err *why, void *ctx)
{
	struct member_query *query = ctx;

	query->conn = NULL;
	query->all->open--;
	finish_if_done(query->all);
}

static const struct conn_ops ops = {
	.opened = on_opened,
	.message = on_message,
	.closed = on_closed,
};

static void
query_member(const struct mem_member *member, void *ctx)
{
	struct collection *all = ctx;
	struct member_query *query;

	if (strcmp(member->node.id, all->entry->proc.node.id) == 0)
		return;
	query = g_new0(struct member_query, 1);
	query->all = all;
	g_strlcpy(query->id, member->node.id, sizeof(query->id));
	TAILQ_INSERT_TAIL(&all->queries, query, link);
	all->open++;
	query->conn = conn_dial(
	    &all->entry->proc.node, member->node.address, &ops, query);
}

static gboolean
on_timeout(gpointer data)
{
	struct collection *all = data;
	struct member_query *query;

	all->timer = 0;
	answer(all);
	TAILQ_FOREACH (query, &all->queries, link) {
		if (query->conn != NULL)
			conn_close(query->conn);
	}
	return G_SOURCE_REMOVE;
}

void
timeline_collect(struct entry *entry, SoupServerMessage *message)
{
	struct collection *all = g_new0(struct collection, 1);
	uint64_t next;
	char *local = proc_events_json(entry->proc.timeline, 0, &next);

	all->entry = entry;
	all->message = g_object_ref(message);
	all->events = json_array_new();
	TAILQ_INIT(&all->queries);
	soup_server_message_pause(message);
	add_events(all, local, (gssize)strlen(local));
	g_free(local);
	all->timer = g_timeout_add(COLLECT_MS, on_timeout, all);
	agr_each_member(entry->proc.agr, query_member, all);
	finish_if_done(all);
}
