/* Request proxy: forwards requests from gateways to this host's targets. */

#include <string.h>

#include "side/side.h"

#define HEADER_PAIRS_MAX 32

/* One request at a target, from its arrival until it ends. */
struct proxy_stream {
	struct side_peer *peer; /* NULL once the gateway disconnected */
	int64_t number; /* key in peer->streams */
	struct side_target *target;
	struct target_call *call;
	char *request_id;
	bool idempotent;
	bool stall_notice; /* the gateway decides when the target stalls */
	bool refused; /* the target reports that it did not run it */
	unsigned int refused_status;
	int64_t credit; /* bytes that the gateway still accepts */
};

/* ------------------------------------------------------------------ */
/* End of a stream                                                     */
/* ------------------------------------------------------------------ */

static void
send_end(struct side_peer *peer, uint64_t number,
    const struct side_target *target, const struct err *err)
{
	struct rt_end end = {
		.stream = number,
		.code = err->code,
		.verdict = err->verdict,
		.retry_after_ms = err->retry_after_ms,
		.message = slice_str(err->message),
	};

	if (target != NULL) {
		end.running = target->running;
		end.slots = target->slots;
	}
	conn_send(peer->conn, &rt_end_desc, &end);
}

static void
free_stream(struct proxy_stream *s)
{
	if (s->peer != NULL)
		g_hash_table_remove(s->peer->streams, &s->number);
	targets_request_ended(s->target);
	g_free(s->request_id);
	g_free(s);
}

/* Translates a refusal by the target into the error for the gateway. */
static void
set_refusal_err(const struct proxy_stream *s, struct err *out)
{
	if (s->refused_status == 409) {
		err_set(out, ERR_WRONG_VERSION, VERDICT_NOT_RUN,
		    "another version is loaded");
		return;
	}
	err_set(out, ERR_OVERLOADED, VERDICT_NOT_RUN, "refused by target %s",
	    s->target->info.name);
}

/* ------------------------------------------------------------------ */
/* Responses of targets                                                */
/* ------------------------------------------------------------------ */

static bool
is_event_type(const char *type)
{
	return type != NULL && g_str_has_prefix(type, "text/event-stream");
}

static void
on_head(unsigned int status, SoupMessageHeaders *headers, void *ctx)
{
	struct proxy_stream *s = ctx;
	struct rt_head head = { .stream = (uint64_t)s->number,
		.status = status };
	const char *type =
	    soup_message_headers_get_one(headers, "Content-Type");
	const char *digest =
	    soup_message_headers_get_one(headers, "X-Model-Digest");
	char *text;

	if (soup_message_headers_get_one(headers, "X-Not-Run") != NULL) {
		s->refused = true;
		s->refused_status = status;
		return;
	}
	/* The gateway checks the events of a stream. */
	if (s->target->info.kind != RT_ENGINE || is_event_type(type))
		target_call_may_end_by_close(s->call);
	if (s->peer == NULL)
		return;
	if (digest != NULL)
		digest_from_hex(digest, &head.loaded);
	text = g_strdup_printf("Content-Type: %s\n",
	    type == NULL ? "application/octet-stream" : type);
	head.headers = slice_str(text);
	conn_send(s->peer->conn, &rt_head_desc, &head);
	g_free(text);
}

static void
on_data(const uint8_t *bytes, size_t len, void *ctx)
{
	struct proxy_stream *s = ctx;
	struct rt_data data = { .stream = (uint64_t)s->number };

	if (s->refused || s->peer == NULL)
		return;
	wts_live_bytes(s->target->side->wts, len);
	s->credit -= (int64_t)len;
	/* Without credit, nothing more of this response is read from the
	 * target until the caller has consumed what was sent: a slow caller
	 * delays its own stream only. */
	if (s->credit <= 0)
		target_call_pause(s->call, true);
	while (len > 0) {
		data.bytes.data = bytes;
		data.bytes.len = MIN(len, RT_DATA_MAX);
		conn_send(s->peer->conn, &rt_data_desc, &data);
		bytes += data.bytes.len;
		len -= data.bytes.len;
	}
}

static bool
on_stalled(void *ctx)
{
	struct proxy_stream *s = ctx;
	struct rt_stalled stalled = { .stream = (uint64_t)s->number };

	if (!s->stall_notice || s->peer == NULL)
		return false;
	conn_send(s->peer->conn, &rt_stalled_desc, &stalled);
	return true;
}

static void
on_ended(const struct err *err, void *ctx)
{
	struct proxy_stream *s = ctx;
	struct err out = *err;

	s->call = NULL;
	s->target->running--; /* before send_end, which reports it */
	if (s->refused)
		set_refusal_err(s, &out);
	ctr_add(ctr_get(s->target->side->proc.counters,
		    err_is(&out) ? "door_failed" : "door_answered"),
	    1);
	if (s->peer != NULL)
		send_end(s->peer, (uint64_t)s->number, s->target, &out);
	/* Gateways need to know at once whether the engine terminated. */
	if (out.code == ERR_UNAVAILABLE)
		targets_poll(s->target->side);
	free_stream(s);
}

static const struct target_ops call_ops = {
	.head = on_head,
	.data = on_data,
	.stalled = on_stalled,
	.ended = on_ended,
};

/* ------------------------------------------------------------------ */
/* Messages from gateways                                              */
/* ------------------------------------------------------------------ */

/* Makes every check before anything is sent to the target, so that NOT_RUN is
 * true for each of these refusals. */
static bool
check_request(struct side_peer *peer, const struct rt_request *request,
    const struct side_target *target, struct err *err)
{
	int64_t number = (int64_t)request->stream;

	if (g_hash_table_contains(peer->streams, &number)) {
		return err_set(
		    err, ERR_INVALID, VERDICT_NOT_RUN, "stream number in use");
	}
	if (target == NULL) {
		return err_set(
		    err, ERR_NOT_FOUND, VERDICT_NOT_RUN, "no such target");
	}
	if (!targets_accepting(target)) {
		return err_set(err, ERR_LEAVING, VERDICT_NOT_RUN,
		    "target %s accepts no new requests", target->info.name);
	}
	if (target->info.kind == RT_ENGINE &&
	    (digest_is_none(&target->loaded) ||
		(!digest_is_none(&request->expect) &&
		    !digest_equal(&request->expect, &target->loaded)))) {
		return err_set(err, ERR_WRONG_VERSION, VERDICT_NOT_RUN,
		    "the requested version is not loaded");
	}
	if (request->deadline_ms == 0) {
		return err_set(err, ERR_DEADLINE, VERDICT_NOT_RUN,
		    "the deadline has passed");
	}
	return true;
}

/* Splits the header lines of a request into name and value pairs. */
static void
split_headers(char *text, const char **pairs, size_t *n)
{
	char *line, *save = NULL, *colon;

	for (line = strtok_r(text, "\n", &save); line != NULL;
	     line = strtok_r(NULL, "\n", &save)) {
		colon = strstr(line, ": ");
		if (colon == NULL || *n + 2 > 2 * HEADER_PAIRS_MAX)
			continue;
		*colon = '\0';
		pairs[(*n)++] = line;
		pairs[(*n)++] = colon + 2;
	}
}

static void
start_call(struct proxy_stream *s, const struct rt_request *request)
{
	const char *pairs[2 * HEADER_PAIRS_MAX + 16] = { NULL };
	char *method = slice_dup(request->method);
	char *path = slice_dup(request->path);
	char *headers = slice_dup(request->headers);
	char attempt[24], priority[24], expect[DIGEST_HEX];
	struct target_request call = {
		.base = s->target->url,
		.method = method,
		.path = path,
		.headers = pairs,
		.deadline_ms =
		    (unsigned int)MIN(request->deadline_ms, UINT32_MAX),
		.stall_ms = (unsigned int)MIN(request->stall_ms, UINT32_MAX),
		/* If the target closes a reused connection just as the
		 * request is sent, the verdict is MAY_HAVE_RUN, and a request
		 * that is not idempotent must not be retried. */
		.new_connection = !s->idempotent,
	};
	size_t n = 0;

	split_headers(headers, pairs, &n);
	g_snprintf(
	    attempt, sizeof(attempt), "%" G_GUINT64_FORMAT, request->attempt);
	g_snprintf(priority, sizeof(priority), "%" G_GUINT64_FORMAT,
	    request->priority);
	pairs[n++] = "X-Request-Id";
	pairs[n++] = s->request_id;
	pairs[n++] = "X-Attempt";
	pairs[n++] = attempt;
	pairs[n++] = "X-Priority";
	pairs[n++] = priority;
	if (!digest_is_none(&request->expect)) {
		digest_to_hex(&request->expect, expect);
		pairs[n++] = "X-Expect-Digest";
		pairs[n++] = expect;
	}
	pairs[n] = NULL;
	if (request->body.len > 0)
		call.body = g_bytes_new(request->body.data, request->body.len);
	s->call =
	    target_call_start(s->target->side->proc.plat, &call, &call_ops, s);
	if (call.body != NULL)
		g_bytes_unref(call.body);
	g_free(headers);
	g_free(path);
	g_free(method);
}

/* Closes the connection: streams that depend on the unreadable message would
 * stall, whereas a closed connection ends them with a visible error. */
static void
reject_bad_message(struct side_peer *peer)
{
	ctr_add(ctr_get(peer->side->proc.counters, "door_bad_messages"), 1);
	conn_close(peer->conn);
}

void
proxy_request(struct side_peer *peer, const struct msg *m)
{
	struct rt_request request;
	struct side_target *target;
	struct proxy_stream *s;
	struct err err = { 0 };

	if (!msg_read(m, &rt_request_desc, &request, &err)) {
		reject_bad_message(peer);
		return;
	}
	target = targets_find(peer->side, request.target);
	if (!check_request(peer, &request, target, &err)) {
		ctr_add(ctr_get(peer->side->proc.counters, "door_refused"), 1);
		send_end(peer, request.stream, target, &err);
		return;
	}
	s = g_new0(struct proxy_stream, 1);
	s->peer = peer;
	s->number = (int64_t)request.stream;
	s->target = target;
	s->request_id = slice_dup(request.request_id);
	s->idempotent = request.idempotent != 0;
	s->stall_notice = request.stall_notice != 0;
	s->credit = RT_WINDOW_BYTES;
	target->running++;
	g_hash_table_insert(peer->streams, &s->number, s);
	start_call(s, &request);
}

/* Cancels the request at the target and frees the stream; sends no RT_END. */
static void
cancel_stream(struct proxy_stream *s)
{
	target_call_cancel(s->call);
	s->target->running--;
	if (s->target->info.kind == RT_ENGINE)
		engine_cancel(
		    s->target->side->proc.plat, s->target->url, s->request_id);
	free_stream(s);
}

void
proxy_cancel(struct side_peer *peer, const struct msg *m)
{
	struct rt_cancel cancel;
	struct proxy_stream *s;
	int64_t number;

	if (!msg_read(m, &rt_cancel_desc, &cancel, NULL)) {
		reject_bad_message(peer);
		return;
	}
	number = (int64_t)cancel.stream;
	s = g_hash_table_lookup(peer->streams, &number);
	if (s != NULL)
		cancel_stream(s);
}

void
proxy_window_update(struct side_peer *peer, const struct msg *m)
{
	struct rt_window window;
	struct proxy_stream *s;
	int64_t number;

	if (!msg_read(m, &rt_window_desc, &window, NULL)) {
		reject_bad_message(peer);
		return;
	}
	number = (int64_t)window.stream;
	s = g_hash_table_lookup(peer->streams, &number);
	if (s == NULL)
		return;
	s->credit += (int64_t)window.bytes;
	if (s->credit > 0)
		target_call_pause(s->call, false);
}

void
proxy_peer_closed(struct side_peer *peer)
{
	GList *streams = g_hash_table_get_values(peer->streams), *at;

	for (at = streams; at != NULL; at = at->next) {
		struct proxy_stream *s = at->data;

		if (s->idempotent) {
			cancel_stream(s);
			continue;
		}
		/* A request that must not be repeated runs to its end: half
		 * a booking is worse than a complete one whose response
		 * nobody receives. */
		g_hash_table_remove(peer->streams, &s->number);
		s->peer = NULL;
		target_call_pause(s->call, false);
	}
	g_list_free(streams);
}
