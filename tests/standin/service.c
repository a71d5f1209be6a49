/* A plain service: runs every request and logs each run. */

#include <string.h>

#include "standin/standin.h"

struct run {
	STAILQ_ENTRY(run) entry;
	char *request_id;
	char *method;
	char *path;
	char *key;
	int64_t attempt;
};
STAILQ_HEAD(run_list, run);

/* An answer delayed by the injected fault `delay_ms`. */
struct delayed {
	TAILQ_ENTRY(delayed) entry;
	struct service *service;
	struct deferred *deferred;
	guint timer;
};
TAILQ_HEAD(delayed_list, delayed);

struct service {
	char *name;
	struct run_list runs;
	struct delayed_list delayed;
	int64_t nruns;
	/* Injected faults. */
	int64_t delay_ms, drop_before_run, drop_after_run, refuse;
	int64_t answer_bytes; /* padding added to each answer */
	int64_t unframed; /* answers with neither a length nor chunks */
	int64_t cut_head; /* answers that end after their first line */
};

/* ------------------------------------------------------------------ */
/* Runs                                                                */
/* ------------------------------------------------------------------ */

static void
delayed_free(struct delayed *d)
{
	TAILQ_REMOVE(&d->service->delayed, d, entry);
	if (d->timer != 0)
		g_source_remove(d->timer);
	deferred_free(d->deferred);
	g_free(d);
}

static void
on_delayed_closed(void *ctx)
{
	delayed_free(ctx);
}

static gboolean
on_delay_over(void *ctx)
{
	struct delayed *d = ctx;

	d->timer = 0;
	deferred_write(d->deferred);
	delayed_free(d);
	return G_SOURCE_REMOVE;
}

/* Delays the answer only: the run has already finished. */
static void
delay_answer(struct service *s, SoupServerMessage *msg)
{
	struct delayed *d = g_new0(struct delayed, 1);

	d->service = s;
	d->deferred = deferred_new(msg, on_delayed_closed, d);
	d->timer = g_timeout_add((guint)s->delay_ms, on_delay_over, d);
	TAILQ_INSERT_TAIL(&s->delayed, d, entry);
}

static char *
header_dup(SoupServerMessage *msg, const char *name)
{
	const char *value = soup_message_headers_get_one(
	    soup_server_message_get_request_headers(msg), name);

	return g_strdup(value == NULL ? "" : value);
}

static void
record_run(struct service *s, SoupServerMessage *msg, const char *path)
{
	struct run *run = g_new0(struct run, 1);

	run->request_id = header_dup(msg, "X-Request-Id");
	run->key = header_dup(msg, "Idempotency-Key");
	run->attempt = header_int(msg, "X-Attempt", 0);
	run->method = g_strdup(soup_server_message_get_method(msg));
	run->path = g_strdup(path);
	STAILQ_INSERT_TAIL(&s->runs, run, entry);
	s->nruns++;
}

static void
answer_run(struct service *s, SoupServerMessage *msg, const char *path)
{
	SoupMessageBody *body = soup_server_message_get_request_body(msg);
	char hex[DIGEST_HEX];
	struct digest digest;
	JsonBuilder *b = json_begin();
	char *pad;

	digest_of(body->data, (size_t)body->length, &digest);
	digest_to_hex(&digest, hex);
	put_str(b, "service", s->name);
	put_str(b, "path", path);
	put_int(b, "run", s->nruns);
	put_str(b, "body_sha256", hex);
	if (s->answer_bytes > 0) {
		pad = g_strnfill((gsize)s->answer_bytes, 'x');
		put_str(b, "pad", pad);
		g_free(pad);
	}
	reply_json(msg, 200, b);
}

static void
cut_head(SoupServerMessage *msg)
{
	static const char line[] = "HTTP/1.1 200 OK\r\n";

	g_socket_send(soup_server_message_get_socket(msg), line, strlen(line),
	    NULL, NULL);
	hang_up(msg);
}

static void
on_any(SoupServer *server, SoupServerMessage *msg, const char *path,
    GHashTable *query, void *ctx)
{
	struct service *s = ctx;

	if (consume_fault(&s->refuse)) {
		reply_not_run(msg, 503, "refused");
		return;
	}
	if (consume_fault(&s->drop_before_run)) {
		hang_up(msg);
		return;
	}
	record_run(s, msg, path);
	answer_run(s, msg, path);
	if (consume_fault(&s->unframed)) {
		end_by_close(msg);
		soup_message_body_complete(
		    soup_server_message_get_response_body(msg));
	}
	if (consume_fault(&s->cut_head))
		cut_head(msg);
	else if (consume_fault(&s->drop_after_run))
		hang_up(msg);
	else if (s->delay_ms > 0)
		delay_answer(s, msg);
}

/* ------------------------------------------------------------------ */
/* Faults and log                                                      */
/* ------------------------------------------------------------------ */

static void
on_faults(SoupServer *server, SoupServerMessage *msg, const char *path,
    GHashTable *query, void *ctx)
{
	struct service *s = ctx;
	JsonObject *body = body_object(msg);

	if (body == NULL)
		return;
	member_int_into(body, "delay_ms", &s->delay_ms);
	member_int_into(body, "drop_before_run", &s->drop_before_run);
	member_int_into(body, "drop_after_run", &s->drop_after_run);
	member_int_into(body, "refuse", &s->refuse);
	member_int_into(body, "answer_bytes", &s->answer_bytes);
	member_int_into(body, "unframed", &s->unframed);
	member_int_into(body, "cut_head", &s->cut_head);
	json_object_unref(body);
	reply_json(msg, 200, json_begin());
}

static void
on_log(SoupServer *server, SoupServerMessage *msg, const char *path,
    GHashTable *query, void *ctx)
{
	struct service *s = ctx;
	JsonBuilder *b = json_begin();
	struct run *run;

	json_builder_set_member_name(b, "runs");
	json_builder_begin_array(b);
	STAILQ_FOREACH (run, &s->runs, entry) {
		json_builder_begin_object(b);
		put_str(b, "request_id", run->request_id);
		put_int(b, "attempt", run->attempt);
		put_str(b, "method", run->method);
		put_str(b, "path", run->path);
		put_str(b, "key", run->key);
		json_builder_end_object(b);
	}
	json_builder_end_array(b);
	reply_json(msg, 200, b);
}

/* ------------------------------------------------------------------ */
/* Setup and teardown                                                  */
/* ------------------------------------------------------------------ */

static void
service_free(void *ctx)
{
	struct service *s = ctx;
	struct run *run;

	while (!TAILQ_EMPTY(&s->delayed))
		delayed_free(TAILQ_FIRST(&s->delayed));
	while ((run = STAILQ_FIRST(&s->runs)) != NULL) {
		STAILQ_REMOVE_HEAD(&s->runs, entry);
		g_free(run->request_id);
		g_free(run->method);
		g_free(run->path);
		g_free(run->key);
		g_free(run);
	}
	g_free(s->name);
	g_free(s);
}

struct standin *
service_start(const struct service_options *options, struct err *err)
{
	struct service *s = g_new0(struct service, 1);
	SoupServer *server = soup_server_new(NULL, NULL);

	s->name = g_strdup(options->name);
	STAILQ_INIT(&s->runs);
	TAILQ_INIT(&s->delayed);
	soup_server_add_handler(server, NULL, on_any, s, NULL);
	soup_server_add_handler(server, "/admin/faults", on_faults, s, NULL);
	soup_server_add_handler(server, "/admin/log", on_log, s, NULL);
	return standin_new(server, options->port, s, service_free, err);
}

int
service_main(int argc, const char **argv)
{
	struct service_options options = { 0 };
	struct err err = { 0 };
	char *name = NULL;
	int port = 0, status;
	const struct poptOption table[] = {
		{ "port", 0, POPT_ARG_INT, &port, 0, "port, 0 picks one", "P" },
		{ "name", 0, POPT_ARG_STRING, &name, 0, "name told in answers",
		    "NAME" },
		POPT_AUTOHELP POPT_TABLEEND,
	};

	if (!standin_options(argc, argv, table))
		return 2;
	options.port = (unsigned int)port;
	options.name = name == NULL ? "service" : name;
	status = standin_serve(service_start(&options, &err), &err);
	free(name);
	return status;
}
