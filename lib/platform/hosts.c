/* The platform's list of hosts. The list lags behind the real state, so callers
 * treat it as a hint. */

#include <string.h>

#include "platform/platform_internal.h"

struct hosts_call {
	hosts_cb *done;
	void *ctx;
};

static bool
parse_host(JsonObject *item, struct hosts_entry *entry)
{
	const char *state;

	if (!reply_str(item, "host", &entry->host) ||
	    !reply_str(item, "address", &entry->address) ||
	    !reply_str(item, "domain", &entry->domain) ||
	    !reply_str(item, "state", &state))
		return false;
	/* Treat an unknown state as leaving: the host gets no new work. */
	entry->leaving = strcmp(state, "live") != 0;
	return true;
}

/* Other writers can add entries to the list: one that is malformed is left out.
 * NULL if there is no list, or none of its entries is a host. */
static struct hosts_entry *
parse_hosts(JsonObject *json, guint *n)
{
	JsonNode *list = json_object_get_member(json, "hosts");
	struct hosts_entry *hosts;
	JsonArray *array;
	JsonNode *item;
	guint i, total;

	if (list == NULL || !JSON_NODE_HOLDS_ARRAY(list))
		return NULL;
	array = json_node_get_array(list);
	total = json_array_get_length(array);
	hosts = g_new0(struct hosts_entry, total + 1);
	*n = 0;
	for (i = 0; i < total; i++) {
		item = json_array_get_element(array, i);
		if (JSON_NODE_HOLDS_OBJECT(item) &&
		    parse_host(json_node_get_object(item), &hosts[*n]))
			(*n)++;
	}
	if (*n == 0 && total > 0)
		g_clear_pointer(&hosts, g_free);
	return hosts;
}

static void
on_hosts(
    const struct fetch_response *response, const struct err *err, void *ctx)
{
	struct hosts_call call = *(struct hosts_call *)ctx;
	struct hosts_entry *hosts = NULL;
	struct reply reply;
	struct err why;
	guint n = 0;

	g_free(ctx);
	if (!reply_from_fetch(&reply, response, err, &why)) {
		call.done(NULL, 0, &why, call.ctx);
		return;
	}
	hosts = parse_hosts(reply.json, &n);
	if (hosts == NULL) {
		reply_malformed(&why);
		call.done(NULL, 0, &why, call.ctx);
	} else {
		call.done(hosts, n, NULL, call.ctx);
	}
	g_free(hosts);
	reply_close(&reply);
}

void
hosts_get(struct plat *plat, const char *base, unsigned int deadline_ms,
    hosts_cb *done, void *ctx)
{
	struct hosts_call *call = g_new0(struct hosts_call, 1);

	call->done = done;
	call->ctx = ctx;
	fetch_start(plat,
	    &(struct fetch_request){
		.base = base,
		.method = "GET",
		.path = "/v1/hosts",
		.deadline_ms = deadline_ms,
		.max_bytes = FETCH_JSON_MAX,
	    },
	    on_hosts, call);
}
