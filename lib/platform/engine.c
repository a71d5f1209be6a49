/* Load and cancel orders to a model engine, and the engine's reports. */

#include <string.h>

#include "platform/platform_internal.h"

#define CANCEL_DEADLINE_MS 5000

/* One running call. Exactly one callback is set, according to the kind. */
struct engine_call {
	engine_load_cb *load;
	engine_loaded_cb *loaded;
	engine_report_cb *report;
	engine_cache_cb *cache;
	void *ctx;
};

static void
call_start(struct plat *plat, const struct fetch_request *request,
    fetch_cb *on_response, const struct engine_call *call)
{
	struct fetch_request bounded = *request;

	bounded.max_bytes = FETCH_JSON_MAX;
	fetch_start(
	    plat, &bounded, on_response, g_memdup2(call, sizeof(*call)));
}

static struct engine_call
call_consume(void *ctx)
{
	struct engine_call call = *(struct engine_call *)ctx;

	g_free(ctx);
	return call;
}

static bool
parse_uint(JsonObject *json, const char *name, unsigned int *out)
{
	uint64_t value;

	if (!reply_u64(json, name, &value) || value > UINT32_MAX)
		return false;
	*out = (unsigned int)value;
	return true;
}

/* ------------------------------------------------------------------ */
/* Loading                                                             */
/* ------------------------------------------------------------------ */

/* Statuses 409 and 502 of a load order have special meanings; see
 * docs/INTERFACES.md. */
static void
map_load_error(const struct fetch_response *response, struct err *why)
{
	if (response == NULL)
		return;
	if (response->status == SOUP_STATUS_CONFLICT)
		err_set(why, ERR_STALE_FENCE, VERDICT_NOT_RUN,
		    "the engine has seen a higher fencing number");
	else if (response->status == SOUP_STATUS_BAD_GATEWAY)
		err_set(why, ERR_CORRUPT, VERDICT_RAN,
		    "the digest of the bytes that the engine read does not "
		    "match");
}

static void
on_load(const struct fetch_response *response, const struct err *err, void *ctx)
{
	struct engine_call call = call_consume(ctx);
	struct digest loaded;
	struct reply reply;
	struct err why;
	bool ok;

	if (!reply_from_fetch(&reply, response, err, &why)) {
		map_load_error(response, &why);
		call.load(NULL, &why, call.ctx);
		return;
	}
	ok = reply_digest(reply.json, "digest", &loaded) ||
	    reply_malformed(&why);
	call.load(ok ? &loaded : NULL, ok ? NULL : &why, call.ctx);
	reply_close(&reply);
}

static void
add_str(JsonBuilder *b, const char *name, const char *value)
{
	json_builder_set_member_name(b, name);
	json_builder_add_string_value(b, value);
}

static void
add_int(JsonBuilder *b, const char *name, uint64_t value)
{
	json_builder_set_member_name(b, name);
	json_builder_add_int_value(b, (gint64)value);
}

static GBytes *
load_json(const struct engine_load *order)
{
	JsonBuilder *b = json_builder_new();
	char hex[DIGEST_HEX];

	digest_to_hex(&order->root, hex);
	json_builder_begin_object(b);
	add_str(b, "model", order->model);
	add_str(b, "version", order->version);
	add_str(b, "digest", hex);
	add_int(b, "bytes", order->bytes);
	add_int(b, "chunk_bytes", order->chunk_bytes);
	add_str(b, "chunks_url", order->chunks_url);
	add_str(b, "source", order->source);
	add_int(b, "fence", order->fence);
	add_str(b, "order_id", order->order_id);
	json_builder_end_object(b);
	return json_text(b);
}

void
engine_load(struct plat *plat, const char *base,
    const struct engine_load *order, unsigned int deadline_ms,
    engine_load_cb *done, void *ctx)
{
	GBytes *json = load_json(order);

	call_start(plat,
	    &(struct fetch_request){
		.base = base,
		.method = "POST",
		.path = "/v1/load",
		.json = json,
		.deadline_ms = deadline_ms,
	    },
	    on_load, &(struct engine_call){ .load = done, .ctx = ctx });
	g_bytes_unref(json);
}

static bool
parse_loaded(JsonObject *json, const char **version, struct digest *digest,
    uint64_t *fence)
{
	const char *hex;

	memset(digest, 0, sizeof(*digest));
	if (!reply_str(json, "version", version) ||
	    !reply_str(json, "digest", &hex) ||
	    !reply_u64(json, "fence", fence))
		return false;
	return hex[0] == '\0' || digest_from_hex(hex, digest);
}

static void
on_loaded(
    const struct fetch_response *response, const struct err *err, void *ctx)
{
	struct engine_call call = call_consume(ctx);
	const char *version = NULL;
	struct digest digest;
	struct reply reply;
	uint64_t fence = 0;
	struct err why;

	if (!reply_from_fetch(&reply, response, err, &why)) {
		call.loaded(NULL, NULL, 0, &why, call.ctx);
		return;
	}
	if (parse_loaded(reply.json, &version, &digest, &fence)) {
		call.loaded(version, &digest, fence, NULL, call.ctx);
	} else {
		reply_malformed(&why);
		call.loaded(NULL, NULL, 0, &why, call.ctx);
	}
	reply_close(&reply);
}

void
engine_loaded(struct plat *plat, const char *base, unsigned int deadline_ms,
    engine_loaded_cb *done, void *ctx)
{
	call_start(plat,
	    &(struct fetch_request){
		.base = base,
		.method = "GET",
		.path = "/v1/load",
		.deadline_ms = deadline_ms,
	    },
	    on_loaded, &(struct engine_call){ .loaded = done, .ctx = ctx });
}

/* ------------------------------------------------------------------ */
/* Reports                                                             */
/* ------------------------------------------------------------------ */

static void
on_report(
    const struct fetch_response *response, const struct err *err, void *ctx)
{
	struct engine_call call = call_consume(ctx);
	struct engine_report report;
	struct reply reply;
	struct err why;
	bool ok;

	if (!reply_from_fetch(&reply, response, err, &why)) {
		call.report(NULL, &why, call.ctx);
		return;
	}
	ok = (parse_uint(reply.json, "running", &report.running) &&
		 parse_uint(reply.json, "waiting", &report.waiting) &&
		 parse_uint(reply.json, "slots", &report.slots) &&
		 parse_uint(reply.json, "step_ms", &report.step_ms) &&
		 reply_u64(reply.json, "cache_tokens", &report.cache_tokens)) ||
	    reply_malformed(&why);
	call.report(ok ? &report : NULL, ok ? NULL : &why, call.ctx);
	reply_close(&reply);
}

void
engine_report(struct plat *plat, const char *base, unsigned int deadline_ms,
    engine_report_cb *done, void *ctx)
{
	call_start(plat,
	    &(struct fetch_request){
		.base = base,
		.method = "GET",
		.path = "/v1/report",
		.deadline_ms = deadline_ms,
	    },
	    on_report, &(struct engine_call){ .report = done, .ctx = ctx });
}

static void
on_cancelled(
    const struct fetch_response *response, const struct err *err, void *ctx)
{
}

void
engine_cancel(struct plat *plat, const char *base, const char *request_id)
{
	JsonBuilder *b = json_builder_new();
	GBytes *json;

	json_builder_begin_object(b);
	add_str(b, "request_id", request_id);
	json_builder_end_object(b);
	json = json_text(b);
	fetch_start(plat,
	    &(struct fetch_request){
		.base = base,
		.method = "POST",
		.path = "/v1/cancel",
		.json = json,
		.deadline_ms = CANCEL_DEADLINE_MS,
		.max_bytes = FETCH_JSON_MAX,
	    },
	    on_cancelled, NULL);
	g_bytes_unref(json);
}

static bool
parse_event(JsonObject *item, struct engine_cache_event *event)
{
	const char *hex;
	guint64 prefix;

	if (!reply_u64(item, "seq", &event->seq) ||
	    !reply_str(item, "prefix", &hex) ||
	    !reply_bool(item, "present", &event->present) ||
	    !g_ascii_string_to_unsigned(hex, 16, 0, G_MAXUINT64, &prefix, NULL))
		return false;
	event->prefix = prefix;
	return true;
}

static struct engine_cache_event *
parse_events(JsonObject *json, uint64_t *next, guint *n)
{
	JsonArray *array = reply_objects(json, "events");
	struct engine_cache_event *events;
	guint i;

	if (array == NULL || !reply_u64(json, "next", next))
		return NULL;
	*n = json_array_get_length(array);
	events = g_new0(struct engine_cache_event, *n + 1);
	for (i = 0; i < *n; i++) {
		JsonObject *item = json_array_get_object_element(array, i);

		if (!parse_event(item, &events[i])) {
			g_free(events);
			return NULL;
		}
	}
	return events;
}

static void
on_events(
    const struct fetch_response *response, const struct err *err, void *ctx)
{
	struct engine_call call = call_consume(ctx);
	struct engine_cache_event *events;
	struct reply reply;
	uint64_t next = 0;
	struct err why;
	guint n = 0;

	if (!reply_from_fetch(&reply, response, err, &why)) {
		call.cache(0, NULL, 0, &why, call.ctx);
		return;
	}
	events = parse_events(reply.json, &next, &n);
	if (events == NULL) {
		reply_malformed(&why);
		call.cache(0, NULL, 0, &why, call.ctx);
	} else {
		call.cache(next, events, n, NULL, call.ctx);
	}
	g_free(events);
	reply_close(&reply);
}

void
engine_cache_events(struct plat *plat, const char *base, uint64_t since,
    unsigned int deadline_ms, engine_cache_cb *done, void *ctx)
{
	char path[64];

	g_snprintf(path, sizeof(path),
	    "/v1/cache_events?since=%" G_GUINT64_FORMAT, since);
	call_start(plat,
	    &(struct fetch_request){
		.base = base,
		.method = "GET",
		.path = path,
		.deadline_ms = deadline_ms,
	    },
	    on_events, &(struct engine_call){ .cache = done, .ctx = ctx });
}
