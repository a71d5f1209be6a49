/* The model engine: HTTP handlers, injected faults, log and command line. */

#include <string.h>

#include "standin/engine.h"

struct engine {
	struct weights loaded;
	struct cache *cache;
	struct loader *loader;
	struct batch *batch;
};

static void
on_cache_events(SoupServer *server, SoupServerMessage *msg, const char *path,
    GHashTable *query, void *ctx)
{
	struct engine *e = ctx;
	JsonBuilder *b = json_begin();

	cache_put_events(e->cache, (uint64_t)query_int(query, "since", 0), b);
	reply_json(msg, 200, b);
}

static void
on_faults(SoupServer *server, SoupServerMessage *msg, const char *path,
    GHashTable *query, void *ctx)
{
	struct engine *e = ctx;
	JsonObject *body = body_object(msg);

	if (body == NULL)
		return;
	loader_faults(e->loader, body);
	batch_faults(e->batch, body);
	json_object_unref(body);
	reply_json(msg, 200, json_begin());
}

static void
on_log(SoupServer *server, SoupServerMessage *msg, const char *path,
    GHashTable *query, void *ctx)
{
	struct engine *e = ctx;
	JsonBuilder *b = json_begin();

	batch_put_log(e->batch, b);
	loader_put_log(e->loader, b);
	put_int(b, "cache_hits", cache_hits(e->cache));
	put_int(b, "cache_misses", cache_misses(e->cache));
	reply_json(msg, 200, b);
}

static void
engine_free(void *ctx)
{
	struct engine *e = ctx;

	batch_free(e->batch);
	loader_free(e->loader);
	cache_free(e->cache);
	g_free(e->loaded.model);
	g_free(e->loaded.version);
	g_free(e);
}

/* Parses "MODEL:VERSION:DIGEST"; false if `text` is malformed. */
static bool
preload(struct weights *loaded, const char *text, struct err *err)
{
	char **parts = g_strsplit(text == NULL ? "::" : text, ":", 3);
	struct digest digest;
	bool ok = true;

	if (text != NULL) {
		ok = g_strv_length(parts) == 3 &&
		    digest_from_hex(parts[2], &digest);
	}
	if (ok) {
		loaded->model = g_strdup(parts[0]);
		loaded->version = g_strdup(parts[1]);
	}
	if (ok && text != NULL)
		digest_to_hex(&digest, loaded->digest);
	g_strfreev(parts);
	if (!ok) {
		return err_set(err, ERR_INVALID, VERDICT_NOT_RUN,
		    "not MODEL:VERSION:DIGEST: %s", text);
	}
	return true;
}

static void
add_handlers(struct engine *e, SoupServer *server)
{
	soup_server_add_handler(
	    server, "/v1/chat/completions", batch_on_chat, e->batch, NULL);
	soup_server_add_handler(
	    server, "/v1/cancel", batch_on_cancel, e->batch, NULL);
	soup_server_add_handler(
	    server, "/v1/streams", batch_on_stream, e->batch, NULL);
	soup_server_add_handler(
	    server, "/v1/report", batch_on_report, e->batch, NULL);
	soup_server_add_handler(
	    server, "/v1/load", loader_on_load, e->loader, NULL);
	soup_server_add_handler(
	    server, "/v1/cache_events", on_cache_events, e, NULL);
	soup_server_add_handler(server, "/admin/faults", on_faults, e, NULL);
	soup_server_add_handler(server, "/admin/log", on_log, e, NULL);
}

struct standin *
engine_start(const struct engine_options *options, struct err *err)
{
	struct engine_options o = *options;
	struct engine *e = g_new0(struct engine, 1);
	SoupServer *server;

	if (o.clock == NULL)
		o.clock = clk_system();
	if (!preload(&e->loaded, o.loaded, err)) {
		g_free(e);
		return NULL;
	}
	e->cache = cache_new(&o);
	e->loader = loader_new(&o, &e->loaded);
	e->batch = batch_new(&o, &e->loaded, e->cache);
	server = soup_server_new(NULL, NULL);
	add_handlers(e, server);
	return standin_new(server, o.port, e, engine_free, err);
}

int
engine_main(int argc, const char **argv)
{
	struct engine_options o = ENGINE_OPTIONS_DEFAULT;
	long long prefill = o.prefill_tokens_per_step, cache = o.cache_tokens;
	long long report_lag = 0, event_lag = 0, keep = o.keep_ms;
	int port = 0, check_fence = 0, status;
	struct err err = { 0 };
	char *loaded = NULL;
	const struct poptOption table[] = {
		{ "port", 0, POPT_ARG_INT, &port, 0, "port, 0 picks one", "P" },
		{ "slots", 0, POPT_ARG_INT, &o.slots, 0,
		    "requests that run concurrently (32)", "N" },
		{ "step-ms", 0, POPT_ARG_INT, &o.step_ms, 0,
		    "duration of a step (7)", "MS" },
		{ "max-queue", 0, POPT_ARG_INT, &o.max_queue, 0,
		    "waiting requests before a refusal (64)", "N" },
		{ "prefill-tokens-per-step", 0, POPT_ARG_LONGLONG, &prefill, 0,
		    "uncached prompt tokens processed per step (2048)", "N" },
		{ "cache-tokens", 0, POPT_ARG_LONGLONG, &cache, 0,
		    "prompt tokens the prefix cache holds (262144)", "N" },
		{ "report-lag-ms", 0, POPT_ARG_LONGLONG, &report_lag, 0,
		    "age of the reported state", "MS" },
		{ "event-lag-ms", 0, POPT_ARG_LONGLONG, &event_lag, 0,
		    "delay of a cache event", "MS" },
		{ "event-gap", 0, POPT_ARG_INT, &o.event_gap, 0,
		    "one in N cache events is missing, 0 for none", "N" },
		{ "keep-ms", 0, POPT_ARG_LONGLONG, &keep, 0,
		    "how long a run continues without a connection (3000)",
		    "MS" },
		{ "check-fence", 0, POPT_ARG_NONE, &check_fence, 0,
		    "refuse load orders with an old fencing number", NULL },
		{ "loaded", 0, POPT_ARG_STRING, &loaded, 0,
		    "weights loaded at startup", "MODEL:VERSION:DIGEST" },
		POPT_AUTOHELP POPT_TABLEEND,
	};

	if (!standin_options(argc, argv, table))
		return 2;
	o.port = (unsigned int)port;
	o.prefill_tokens_per_step = prefill;
	o.cache_tokens = cache;
	o.report_lag_ms = report_lag;
	o.event_lag_ms = event_lag;
	o.keep_ms = keep;
	o.check_fence = check_fence != 0;
	o.loaded = loaded;
	status = standin_serve(engine_start(&o, &err), &err);
	free(loaded);
	return status;
}
