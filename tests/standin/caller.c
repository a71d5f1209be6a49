/*
 * Open-loop load generator: sends requests on a schedule that does not wait
 * for answers, checks every answer, and writes one summary.
 */

#include <glib-unix.h>
#include <math.h>
#include <stdio.h>
#include <string.h>

#include "standin/caller.h"

#define GIVE_UP_S 10 /* wait for open requests after the last is sent */
#define READ_BYTES 16384
#define PERMILLE 1000

struct caller_options {
	char *gateways, *model, *token, *out;
	double rate, seconds; /* seconds == 0: until SIGTERM */
	int streams_permille, max_tokens;
	int prompts, prompt_bytes;
	int key_permille, deadline_ms, priority;
	int list, reuse;
	long long seed;
};

/*
 * Each open request has its own session: libsoup iterates over all requests of
 * a session whenever one starts or ends, which takes all of the CPU time with
 * a thousand open requests. An idle session keeps its connection open.
 */
struct channel {
	SLIST_ENTRY(channel) entry; /* in `idle` */
	SLIST_ENTRY(channel) all;
	SoupSession *session;
};
SLIST_HEAD(channel_list, channel);

struct gateway {
	GUri *uri;
	struct channel_list idle;
	struct channel_list channels;
};

struct caller {
	const struct caller_options *options;
	GMainLoop *loop;
	struct gateway *gateways;
	size_t ngateways;
	size_t next_gateway;
	struct rng rng;
	uint32_t name; /* random, makes the idempotency keys unique */
	struct stats stats;
	GSource *sender;
	int64_t start_us;
	int64_t due_us; /* due time of the next request */
	int64_t end_us; /* when to stop sending; INT64_MAX: on a signal */
	int64_t stopped_us;
	int64_t open;
	bool stopping;
	bool gave_up;
	GCancellable *cancel;
};

struct call {
	struct caller *caller;
	struct gateway *gateway;
	struct channel *channel;
	SoupMessage *msg;
	GInputStream *body;
	GString *text; /* body of an answer that is not a stream */
	bool stream;
	bool refused;
	struct check check;
	int64_t due_us;
	int64_t last_token_us; /* 0 before the first */
};

/* ------------------------------------------------------------------ */
/* Completion of a call                                                */
/* ------------------------------------------------------------------ */

static const char *
header_of(const struct call *call, const char *name)
{
	return soup_message_headers_get_one(
	    soup_message_get_response_headers(call->msg), name);
}

static void
call_free(struct call *call)
{
	struct caller *c = call->caller;

	check_clear(&call->check);
	g_clear_object(&call->body);
	if (call->text != NULL)
		g_string_free(call->text, TRUE);
	g_object_unref(call->msg);
	SLIST_INSERT_HEAD(&call->gateway->idle, call->channel, entry);
	g_free(call);
	c->open--;
	if (c->stopping && c->open == 0)
		g_main_loop_quit(c->loop);
}

static void
call_end(struct call *call, enum outcome outcome)
{
	struct caller *c = call->caller;
	const struct stats_result result = {
		.outcome = c->gave_up ? OUTCOME_UNFINISHED : outcome,
		.check = &call->check,
		.has_id = header_of(call, "X-Request-Id") != NULL,
		.verdict = header_of(call, "X-Verdict"),
		.attempts = header_of(call, "X-Attempts"),
		.took_us = g_get_monotonic_time() - call->due_us,
	};

	stats_add(&c->stats, &result);
	call_free(call);
}

/* Counts the refusal as `STATUS CODE VERDICT`; the code is taken from the
 * error object in the body, if there is one. */
static void
count_refusal(struct call *call)
{
	JsonParser *parser = json_parser_new();
	JsonNode *node = NULL;
	const char *code = "-", *verdict = header_of(call, "X-Verdict");
	char *text;

	if (json_parser_load_from_data(
		parser, call->text->str, (gssize)call->text->len, NULL))
		node = json_parser_get_root(parser);
	if (node != NULL && JSON_NODE_HOLDS_OBJECT(node)) {
		node =
		    json_object_get_member(json_node_get_object(node), "error");
		if (node != NULL && JSON_NODE_HOLDS_OBJECT(node))
			code =
			    member_str(json_node_get_object(node), "code", "-");
	}
	text = g_strdup_printf("%u %s %s", soup_message_get_status(call->msg),
	    code, verdict == NULL ? "-" : verdict);
	stats_error(&call->caller->stats, text);
	g_free(text);
	g_object_unref(parser);
}

static void
body_ended(struct call *call)
{
	if (call->refused) {
		count_refusal(call);
		call_end(call, OUTCOME_REFUSED);
		return;
	}
	if (!call->stream)
		check_body(&call->check, call->text->str, call->text->len);
	call_end(call, check_outcome(&call->check));
}

/* ------------------------------------------------------------------ */
/* Reading                                                             */
/* ------------------------------------------------------------------ */

static void
record_token_latency(struct call *call, size_t n)
{
	struct stats *stats = &call->caller->stats;
	int64_t now = g_get_monotonic_time();

	for (; n > 0; n--) {
		if (call->last_token_us == 0)
			hist_add(&stats->first_token, now - call->due_us);
		else
			hist_add(
			    &stats->between_tokens, now - call->last_token_us);
		call->last_token_us = now;
	}
}

static void
consume_bytes(struct call *call, GBytes *bytes)
{
	size_t len;
	const char *data = g_bytes_get_data(bytes, &len);

	if (call->stream)
		record_token_latency(
		    call, check_stream(&call->check, data, len));
	else
		g_string_append_len(call->text, data, (gssize)len);
}

static void
on_read(GObject *stream, GAsyncResult *result, void *ctx)
{
	struct call *call = ctx;
	GError *error = NULL;
	GBytes *bytes;

	bytes = g_input_stream_read_bytes_finish(
	    G_INPUT_STREAM(stream), result, &error);
	if (bytes == NULL) {
		stats_error(&call->caller->stats, error->message);
		g_error_free(error);
		/* The part received may show a worse fault than
		 * OUTCOME_CUT. */
		body_ended(call);
		return;
	}
	if (g_bytes_get_size(bytes) == 0) {
		g_bytes_unref(bytes);
		body_ended(call);
		return;
	}
	consume_bytes(call, bytes);
	g_bytes_unref(bytes);
	g_input_stream_read_bytes_async(call->body, READ_BYTES,
	    G_PRIORITY_DEFAULT, call->caller->cancel, on_read, call);
}

static void
on_head(GObject *session, GAsyncResult *result, void *ctx)
{
	struct call *call = ctx;
	GError *error = NULL;
	const char *type;

	call->body =
	    soup_session_send_finish(SOUP_SESSION(session), result, &error);
	check_init(&call->check, header_of(call, "X-Request-Id"),
	    header_of(call, "X-Model-Digest"),
	    call->caller->options->max_tokens);
	if (call->body == NULL) {
		stats_error(&call->caller->stats, error->message);
		g_error_free(error);
		call_end(call, OUTCOME_UNANSWERED);
		return;
	}
	type = header_of(call, "Content-Type");
	call->refused = soup_message_get_status(call->msg) != 200;
	call->stream = !call->refused && type != NULL &&
	    g_str_has_prefix(type, "text/event-stream");
	if (!call->stream)
		call->text = g_string_new(NULL);
	g_input_stream_read_bytes_async(call->body, READ_BYTES,
	    G_PRIORITY_DEFAULT, call->caller->cancel, on_read, call);
}

/* ------------------------------------------------------------------ */
/* Sending                                                             */
/* ------------------------------------------------------------------ */

static bool
chance(struct caller *c, int permille)
{
	return (int)rng_below(&c->rng, PERMILLE) < permille;
}

static GBytes *
request_body(struct caller *c)
{
	const struct caller_options *o = c->options;
	bool stream = chance(c, o->streams_permille);
	uint64_t prompt = rng_below(&c->rng, (uint64_t)o->prompts);
	GString *text = g_string_sized_new((gsize)o->prompt_bytes + 256);
	size_t start, len;

	g_string_append_printf(text,
	    "{\"model\":\"%s\",\"stream\":%s,\"max_tokens\":%d,"
	    "\"messages\":[{\"role\":\"user\",\"content\":\"",
	    o->model, stream ? "true" : "false", o->max_tokens);
	/* The prompt number comes first, so that each prompt has its own
	 * prefix in the prefix cache. */
	start = text->len;
	g_string_append_printf(text,
	    "Prompt %" G_GUINT64_FORMAT " of caller seed %lld. ",
	    (guint64)prompt, o->seed);
	while (text->len - start < (size_t)o->prompt_bytes)
		g_string_append_c(text, (char)('a' + (text->len - start) % 26));
	g_string_append(text, "\"}]}");
	len = text->len;
	return g_bytes_new_take(g_string_free(text, FALSE), len);
}

static void
add_headers(struct caller *c, SoupMessage *msg)
{
	const struct caller_options *o = c->options;
	SoupMessageHeaders *h = soup_message_get_request_headers(msg);
	char value[64];

	if (o->token != NULL) {
		char *bearer = g_strconcat("Bearer ", o->token, NULL);

		soup_message_headers_append(h, "Authorization", bearer);
		g_free(bearer);
	}
	if (o->deadline_ms > 0) {
		snprintf(value, sizeof(value), "%d", o->deadline_ms);
		soup_message_headers_append(h, "X-Deadline-Ms", value);
	}
	if (o->priority >= 0) {
		snprintf(value, sizeof(value), "%d", o->priority);
		soup_message_headers_append(h, "X-Priority", value);
	}
	if (chance(c, o->key_permille)) {
		snprintf(value, sizeof(value), "caller-%08x-%lld", c->name,
		    (long long)c->stats.sent);
		soup_message_headers_append(h, "Idempotency-Key", value);
	}
}

static struct channel *
channel_take(struct gateway *gateway)
{
	struct channel *ch = SLIST_FIRST(&gateway->idle);

	if (ch != NULL) {
		SLIST_REMOVE_HEAD(&gateway->idle, entry);
		return ch;
	}
	ch = g_new0(struct channel, 1);
	ch->session = soup_session_new();
	soup_session_set_proxy_resolver(ch->session, NULL);
	soup_session_remove_feature_by_type(
	    ch->session, SOUP_TYPE_CONTENT_DECODER);
	SLIST_INSERT_HEAD(&gateway->channels, ch, all);
	return ch;
}

/* Latency is measured from the due time of the request, so that it includes
 * the delay of a load generator that falls behind its schedule. */
static void
send_request(struct caller *c)
{
	struct gateway *gateway =
	    &c->gateways[c->next_gateway++ % c->ngateways];
	struct call *call = g_new0(struct call, 1);
	GBytes *body = request_body(c);

	call->caller = c;
	call->gateway = gateway;
	call->channel = channel_take(gateway);
	call->due_us = c->due_us;
	call->msg = soup_message_new_from_uri("POST", gateway->uri);
	/* libsoup opens a new connection for each POST unless the message is
	 * flagged as idempotent, which lets libsoup send it again if a reused
	 * connection turns out to be closed. */
	if (c->options->reuse)
		soup_message_add_flags(call->msg, SOUP_MESSAGE_IDEMPOTENT);
	add_headers(c, call->msg);
	soup_message_set_request_body_from_bytes(
	    call->msg, "application/json", body);
	g_bytes_unref(body);
	c->stats.sent++;
	c->open++;
	soup_session_send_async(call->channel->session, call->msg,
	    G_PRIORITY_DEFAULT, c->cancel, on_head, call);
}

static gboolean
on_give_up(void *ctx)
{
	struct caller *c = ctx;

	c->gave_up = true;
	g_cancellable_cancel(c->cancel);
	return G_SOURCE_CONTINUE;
}

static void
stop_sending(struct caller *c)
{
	if (c->stopping)
		return;
	c->stopping = true;
	c->stopped_us = g_get_monotonic_time();
	g_source_set_ready_time(c->sender, -1);
	if (c->open == 0)
		g_main_loop_quit(c->loop);
	else
		g_timeout_add_seconds(GIVE_UP_S, on_give_up, c);
}

/* Exponentially distributed gaps, as between independent callers. */
static int64_t
next_gap_us(struct caller *c)
{
	double u = ((double)(rng_next(&c->rng) >> 11) + 0.5) / 0x1p53;

	return (int64_t)(-log(u) / c->options->rate * 1e6);
}

static gboolean
on_send(void *ctx)
{
	struct caller *c = ctx;
	int64_t now = g_get_monotonic_time();

	while (c->due_us <= now && c->due_us < c->end_us) {
		send_request(c);
		c->due_us += next_gap_us(c);
	}
	g_source_set_ready_time(c->sender, MIN(c->due_us, c->end_us));
	if (now >= c->end_us)
		stop_sending(c);
	return G_SOURCE_CONTINUE;
}

static gboolean
on_signal(void *ctx)
{
	stop_sending(ctx);
	return G_SOURCE_CONTINUE;
}

/* ------------------------------------------------------------------ */
/* Setup and teardown                                                  */
/* ------------------------------------------------------------------ */

static gboolean
dispatch_sender(GSource *source, GSourceFunc callback, void *ctx)
{
	return callback(ctx);
}

static GSourceFuncs sender_funcs = { .dispatch = dispatch_sender };

static bool
open_gateways(struct caller *c)
{
	char **urls = g_strsplit(c->options->gateways, ",", -1);
	bool ok = true;
	size_t i;

	c->ngateways = g_strv_length(urls);
	c->gateways = g_new0(struct gateway, c->ngateways);
	for (i = 0; i < c->ngateways; i++) {
		char *url = g_strconcat(urls[i], "/v1/chat/completions", NULL);
		struct gateway *gateway = &c->gateways[i];

		gateway->uri = g_uri_parse(url, SOUP_HTTP_URI_FLAGS, NULL);
		ok = ok && gateway->uri != NULL;
		g_free(url);
	}
	g_strfreev(urls);
	return ok && c->ngateways > 0;
}

static void
close_gateways(struct caller *c)
{
	struct channel *ch;
	size_t i;

	for (i = 0; i < c->ngateways; i++) {
		while ((ch = SLIST_FIRST(&c->gateways[i].channels)) != NULL) {
			SLIST_REMOVE_HEAD(&c->gateways[i].channels, all);
			soup_session_abort(ch->session);
			g_object_unref(ch->session);
			g_free(ch);
		}
		if (c->gateways[i].uri != NULL)
			g_uri_unref(c->gateways[i].uri);
	}
	g_free(c->gateways);
}

static bool
write_summary(struct caller *c)
{
	char *text =
	    stats_print(&c->stats, (c->stopped_us - c->start_us) / 1000);
	GError *error = NULL;

	if (c->options->out == NULL) {
		printf("%s\n", text);
		fflush(stdout);
	} else {
		g_file_set_contents(c->options->out, text, -1, &error);
	}
	g_free(text);
	if (error == NULL)
		return true;
	fprintf(stderr, "standin: %s\n", error->message);
	g_error_free(error);
	return false;
}

static void
run_schedule(struct caller *c)
{
	const struct caller_options *o = c->options;

	c->start_us = c->due_us = g_get_monotonic_time();
	c->end_us = o->seconds > 0 ? c->start_us + (int64_t)(o->seconds * 1e6)
				   : INT64_MAX;
	c->sender = g_source_new(&sender_funcs, sizeof(GSource));
	g_source_set_callback(c->sender, on_send, c, NULL);
	g_source_set_ready_time(c->sender, 0);
	g_source_attach(c->sender, NULL);
	g_unix_signal_add(SIGTERM, on_signal, c);
	g_unix_signal_add(SIGINT, on_signal, c);
	g_main_loop_run(c->loop);
	g_source_destroy(c->sender);
	g_source_unref(c->sender);
}

static int
caller_run(const struct caller_options *options)
{
	struct caller c = { .options = options };
	int status = 2;

	rng_seed(&c.rng, (uint64_t)options->seed);
	random_bytes(&c.name, sizeof(c.name));
	stats_init(&c.stats, options->list != 0);
	c.loop = g_main_loop_new(NULL, FALSE);
	c.cancel = g_cancellable_new();
	if (open_gateways(&c)) {
		run_schedule(&c);
		status = write_summary(&c) ? 0 : 1;
	} else {
		fprintf(stderr, "standin: bad --entries\n");
	}
	close_gateways(&c);
	stats_clear(&c.stats);
	g_object_unref(c.cancel);
	g_main_loop_unref(c.loop);
	return status;
}

static bool
options_valid(const struct caller_options *o)
{
	if (o->gateways != NULL && o->model != NULL && o->rate > 0 &&
	    o->max_tokens > 0 && o->prompts > 0 && o->prompt_bytes >= 0)
		return true;
	fprintf(stderr,
	    "standin: caller needs --entries, --model and positive "
	    "--rate, --max-tokens and --prompts\n");
	return false;
}

int
caller_main(int argc, const char **argv)
{
	struct caller_options o = { .rate = 10,
		.max_tokens = 16,
		.prompts = 1,
		.prompt_bytes = 64,
		.priority = -1,
		.seed = 1 };
	int status = 2;
	const struct poptOption table[] = {
		{ "entries", 0, POPT_ARG_STRING, &o.gateways, 0,
		    "gateways, used in rotation", "URL[,URL...]" },
		{ "model", 0, POPT_ARG_STRING, &o.model, 0, "requested model",
		    "TEAM/MODEL" },
		{ "token", 0, POPT_ARG_STRING, &o.token, 0, "caller's token",
		    "T" },
		{ "rate", 0, POPT_ARG_DOUBLE, &o.rate, 0,
		    "requests per second (10)", "R" },
		{ "seconds", 0, POPT_ARG_DOUBLE, &o.seconds, 0,
		    "duration of sending; 0 until SIGTERM", "S" },
		{ "streams-permille", 0, POPT_ARG_INT, &o.streams_permille, 0,
		    "streams per 1000 requests (0)", "N" },
		{ "max-tokens", 0, POPT_ARG_INT, &o.max_tokens, 0,
		    "tokens per answer (16)", "N" },
		{ "prompts", 0, POPT_ARG_INT, &o.prompts, 0,
		    "distinct prompts (1)", "N" },
		{ "prompt-bytes", 0, POPT_ARG_INT, &o.prompt_bytes, 0,
		    "minimum length of a prompt (64)", "B" },
		{ "idempotency-key-permille", 0, POPT_ARG_INT, &o.key_permille,
		    0, "requests with a unique key per 1000 (0)", "N" },
		{ "deadline-ms", 0, POPT_ARG_INT, &o.deadline_ms, 0,
		    "X-Deadline-Ms; 0 sends none", "MS" },
		{ "priority", 0, POPT_ARG_INT, &o.priority, 0,
		    "X-Priority; -1 sends none", "N" },
		{ "seed", 0, POPT_ARG_LONGLONG, &o.seed, 0,
		    "seed of the schedule and the random choices (1)", "N" },
		{ "out", 0, POPT_ARG_STRING, &o.out, 0,
		    "file for the summary (default: standard output)", "FILE" },
		{ "list", 0, POPT_ARG_NONE, &o.list, 0,
		    "list every request in the summary", NULL },
		{ "reuse-connections", 0, POPT_ARG_NONE, &o.reuse, 0,
		    "reuse connections; libsoup may then resend a request",
		    NULL },
		POPT_AUTOHELP POPT_TABLEEND,
	};

	if (standin_options(argc, argv, table) && options_valid(&o))
		status = caller_run(&o);
	free(o.gateways);
	free(o.model);
	free(o.token);
	free(o.out);
	return status;
}
