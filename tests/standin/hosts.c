/* The host list, served with a configurable lag. */

#include <string.h>

#include "standin/standin.h"

/* The list as set at `set_ms`. */
struct host_list {
	STAILQ_ENTRY(host_list) entry;
	int64_t set_ms;
	JsonObject *body;
};
STAILQ_HEAD(host_lists, host_list);

struct hosts {
	const struct clk *clock;
	int64_t lag_ms;
	struct host_lists lists; /* oldest first */
};

static void
drop_oldest(struct hosts *h)
{
	struct host_list *list = STAILQ_FIRST(&h->lists);

	STAILQ_REMOVE_HEAD(&h->lists, entry);
	json_object_unref(list->body);
	g_free(list);
}

/* Returns the newest list that is at least `lag_ms` old, or NULL; frees the
 * lists before it. */
static struct host_list *
visible_list(struct hosts *h)
{
	int64_t horizon = clk_now_ms(h->clock) - h->lag_ms;
	struct host_list *first = STAILQ_FIRST(&h->lists), *second;

	while (first != NULL) {
		second = STAILQ_NEXT(first, entry);
		if (second == NULL || second->set_ms > horizon)
			break;
		drop_oldest(h);
		first = second;
	}
	return first != NULL && first->set_ms <= horizon ? first : NULL;
}

static void
on_hosts(SoupServer *server, SoupServerMessage *msg, const char *path,
    GHashTable *query, void *ctx)
{
	struct hosts *h = ctx;
	struct host_list *list = visible_list(h);
	JsonNode *node;
	char *text;

	if (list == NULL) {
		text = g_strdup("{\"hosts\":[]}");
	} else {
		node = json_node_init_object(json_node_alloc(), list->body);
		text = json_to_string(node, FALSE);
		json_node_unref(node);
	}
	soup_server_message_set_status(msg, 200, NULL);
	soup_server_message_set_response(
	    msg, "application/json", SOUP_MEMORY_TAKE, text, strlen(text));
}

static bool
host_is_valid(JsonNode *node)
{
	const char *state;
	JsonObject *entry;

	if (!JSON_NODE_HOLDS_OBJECT(node))
		return false;
	entry = json_node_get_object(node);
	state = member_str(entry, "state", "");
	return member_str(entry, "host", NULL) != NULL &&
	    member_str(entry, "address", NULL) != NULL &&
	    member_str(entry, "domain", NULL) != NULL &&
	    (strcmp(state, "live") == 0 || strcmp(state, "leaving") == 0);
}

static bool
list_is_valid(JsonObject *body)
{
	JsonNode *node = json_object_get_member(body, "hosts");
	JsonArray *array;
	guint i;

	if (node == NULL || !JSON_NODE_HOLDS_ARRAY(node))
		return false;
	array = json_node_get_array(node);
	for (i = 0; i < json_array_get_length(array); i++) {
		if (!host_is_valid(json_array_get_element(array, i)))
			return false;
	}
	return true;
}

static void
on_set(SoupServer *server, SoupServerMessage *msg, const char *path,
    GHashTable *query, void *ctx)
{
	struct hosts *h = ctx;
	JsonObject *body = body_object(msg);
	struct host_list *list;

	if (body == NULL)
		return;
	if (!list_is_valid(body)) {
		json_object_unref(body);
		reply_error(msg, 400, "not a list of hosts");
		return;
	}
	list = g_new0(struct host_list, 1);
	list->set_ms = clk_now_ms(h->clock);
	list->body = body;
	STAILQ_INSERT_TAIL(&h->lists, list, entry);
	reply_json(msg, 200, json_begin());
}

static void
hosts_free(void *ctx)
{
	struct hosts *h = ctx;

	while (!STAILQ_EMPTY(&h->lists))
		drop_oldest(h);
	g_free(h);
}

struct standin *
hosts_start(const struct hosts_options *options, struct err *err)
{
	struct hosts *h = g_new0(struct hosts, 1);
	SoupServer *server = soup_server_new(NULL, NULL);

	h->clock = options->clock == NULL ? clk_system() : options->clock;
	h->lag_ms = options->lag_ms;
	STAILQ_INIT(&h->lists);
	soup_server_add_handler(server, "/v1/hosts", on_hosts, h, NULL);
	soup_server_add_handler(server, "/admin/hosts", on_set, h, NULL);
	return standin_new(server, options->port, h, hosts_free, err);
}

int
hosts_main(int argc, const char **argv)
{
	struct hosts_options options = { 0 };
	struct err err = { 0 };
	long long lag_ms = 0;
	int port = 0;
	const struct poptOption table[] = {
		{ "port", 0, POPT_ARG_INT, &port, 0, "port, 0 picks one", "P" },
		{ "lag-ms", 0, POPT_ARG_LONGLONG, &lag_ms, 0,
		    "lag of the served list behind the current one", "MS" },
		POPT_AUTOHELP POPT_TABLEEND,
	};

	if (!standin_options(argc, argv, table))
		return 2;
	options.port = (unsigned int)port;
	options.lag_ms = lag_ms;
	return standin_serve(hosts_start(&options, &err), &err);
}
