/*
 * One HTTP exchange with a target, with a streamed response.
 *
 * A call is in one of three states: an asynchronous libsoup operation is
 * running (`busy`), the call is paused, or it has ended. A deadline, a stall or
 * a cancellation cancels the running operation, whose completion then ends and
 * frees the call.
 */

#include <errno.h>
#include <string.h>
#include <sys/socket.h>

#include "platform/platform_internal.h"

/* Token events have some hundred bytes, chunks of weights are large. Each of
 * some thousand open streams has a buffer of this size. */
#define READ_BYTES (16u << 10)

#define INTERIM_MAX 100 /* responses before the final one */

struct target_call {
	TAILQ_ENTRY(target_call) link;
	struct plat *plat; /* NULL once detached */
	struct plat_pool *pool;
	struct target_ops ops;
	void *ctx;
	SoupMessage *message;
	GInputStream *body;
	GCancellable *cancel;
	guint deadline_timer, stall_timer, idle;
	unsigned int stall_ms;
	int64_t last_byte_us, deadline_us;
	struct clk_catch_up catch_up; /* of deadline_timer */
	bool stall_was_late; /* see stall_is_late() */
	bool busy; /* an operation or a callback is running */
	bool paused;
	bool abandoned; /* no more callbacks; freed on completion */
	bool sent; /* libsoup began to write the request */
	bool not_run; /* an error response with `X-Not-Run: 1` */
	bool new_connection; /* close the connection after the exchange */
	bool reusable; /* the response was read completely */
	bool may_end_by_close; /* see target_call_may_end_by_close() */
	uint64_t received; /* bytes of the response body */
	unsigned int interim; /* responses before the final one */
	struct err why; /* why the call was aborted, if it was */
	uint8_t buffer[READ_BYTES];
};

/* Hop-by-hop headers, and others that belong to one connection. */
static const char *const hop_headers[] = { "Connection", "Keep-Alive",
	"Proxy-Connection", "TE", "Trailer", "Transfer-Encoding", "Upgrade",
	"Content-Length", "Host", "Expect", NULL };

static bool
is_hop_header(const char *name)
{
	size_t i;

	for (i = 0; hop_headers[i] != NULL; i++) {
		if (g_ascii_strcasecmp(name, hop_headers[i]) == 0)
			return true;
	}
	return false;
}

static void
stop_timer(guint *timer)
{
	if (*timer != 0)
		g_source_remove(*timer);
	*timer = 0;
}

/* Stops the timers and removes the call from the list of running calls. */
static void
detach(struct target_call *call)
{
	if (call->plat == NULL)
		return;
	stop_timer(&call->deadline_timer);
	stop_timer(&call->stall_timer);
	stop_timer(&call->idle);
	TAILQ_REMOVE(&call->plat->calls, call, link);
	call->pool->running--;
	call->plat = NULL;
}

/*
 * A body stream that is closed or freed before its end first reads the rest of
 * the response and blocks the loop for as long as the target sends. With a
 * cancelled cancellable, it closes the connection instead.
 */
static void
close_body(struct target_call *call)
{
	if (call->body == NULL)
		return;
	if (!call->reusable)
		g_cancellable_cancel(call->cancel);
	g_input_stream_close_async(
	    call->body, G_PRIORITY_DEFAULT, call->cancel, NULL, NULL);
	g_clear_object(&call->body);
}

static void
call_free(struct target_call *call)
{
	detach(call);
	close_body(call);
	if (call->message != NULL) {
		g_signal_handlers_disconnect_by_data(call->message, call);
		g_object_unref(call->message);
	}
	g_object_unref(call->cancel);
	g_free(call);
}

static void
finish(struct target_call *call, const struct err *err)
{
	struct target_ops ops = call->ops;
	struct err final = *err;
	void *ctx = call->ctx;

	call_free(call);
	ops.ended(&final, ctx);
}

/* Nothing can have run before the first byte of the request was written. */
static enum verdict
verdict_now(const struct target_call *call)
{
	if (call->not_run || !call->sent)
		return VERDICT_NOT_RUN;
	return VERDICT_MAY_HAVE_RUN;
}

static void
finish_failed(struct target_call *call, const GError *error)
{
	if (!err_is(&call->why)) {
		err_set(&call->why, ERR_UNAVAILABLE, VERDICT_MAY_HAVE_RUN, "%s",
		    error != NULL ? error->message : "no response");
	}
	call->why.verdict = verdict_now(call);
	finish(call, &call->why);
}

static enum err_code
refusal_code(unsigned int status)
{
	switch (status) {
	case SOUP_STATUS_CONFLICT:
		return ERR_WRONG_VERSION;
	case HTTP_TOO_MANY_REQUESTS:
		return ERR_OVERLOADED;
	default:
		return ERR_UNAVAILABLE;
	}
}

static unsigned int
retry_after_ms(SoupMessageHeaders *headers)
{
	const char *text = soup_message_headers_get_one(headers, "Retry-After");
	guint64 seconds;

	if (text == NULL ||
	    !g_ascii_string_to_unsigned(text, 10, 0, 3600, &seconds, NULL))
		return 0;
	return (unsigned int)seconds * 1000;
}

/*
 * libsoup treats a chunked response that was truncated between two chunks as
 * complete, so a stream whose target terminates between two tokens would seem
 * to end normally. In that case libsoup has read the end of the connection, and
 * the socket stays at end of file. After a complete response the connection is
 * still open, because the requests never ask for it to be closed. A target that
 * nevertheless closes it right after the last chunk cannot be distinguished
 * from one that terminated.
 */
static bool
is_connection_open(GSocket *socket)
{
	char byte;
	ssize_t n;

	if (socket == NULL || g_socket_is_closed(socket))
		return false;
	n = recv(g_socket_get_fd(socket), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
	return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

static bool
has_no_body(const struct target_call *call)
{
	unsigned int status = soup_message_get_status(call->message);

	return soup_message_get_method(call->message) == SOUP_METHOD_HEAD ||
	    status == SOUP_STATUS_NO_CONTENT ||
	    status == SOUP_STATUS_NOT_MODIFIED;
}

/*
 * Whether a head that no body follows is complete. libsoup treats one that was
 * truncated between two lines as complete, and has read the end of the
 * connection then. A target that announced the close cannot be distinguished
 * from one that terminated after it.
 */
static bool
head_is_complete(const struct target_call *call)
{
	SoupMessageHeaders *headers =
	    soup_message_get_response_headers(call->message);

	return soup_message_get_http_version(call->message) == SOUP_HTTP_1_0 ||
	    soup_message_headers_header_contains(
		headers, "Connection", "close") ||
	    is_connection_open(plat_socket(call->pool, call->message));
}

/*
 * A response with neither a length nor chunked encoding looks the same whether
 * or not the target terminated before its end, unless its connection was reset.
 * In addition, libsoup treats a response shorter than its Content-Length as
 * complete if the target announced that it closes the connection, and a head
 * that was truncated between two lines as complete: it has no length then, and
 * its body is empty.
 */
static bool
is_complete(const struct target_call *call)
{
	SoupMessageHeaders *headers =
	    soup_message_get_response_headers(call->message);
	uint64_t length;

	if (has_no_body(call))
		return head_is_complete(call);
	switch (soup_message_headers_get_encoding(headers)) {
	case SOUP_ENCODING_CHUNKED:
		return is_connection_open(
		    plat_socket(call->pool, call->message));
	case SOUP_ENCODING_CONTENT_LENGTH:
		length =
		    (uint64_t)soup_message_headers_get_content_length(headers);
		return call->received == length &&
		    (length > 0 || head_is_complete(call));
	case SOUP_ENCODING_EOF:
		return call->may_end_by_close && call->received > 0;
	default:
		return false;
	}
}

static void
finish_body(struct target_call *call)
{
	struct err err = { .code = ERR_NONE, .verdict = VERDICT_RAN };
	unsigned int status = soup_message_get_status(call->message);

	bool complete = is_complete(call);

	call->reusable = complete && !call->new_connection;
	if (!complete) {
		err_set(&err, ERR_UNAVAILABLE, VERDICT_MAY_HAVE_RUN,
		    "the response was truncated");
	}
	if (call->not_run) {
		err_set(&err, refusal_code(status), VERDICT_NOT_RUN,
		    "the target refused with status %u", status);
		err.retry_after_ms = retry_after_ms(
		    soup_message_get_response_headers(call->message));
	}
	finish(call, &err);
}

/* Suppresses further callbacks; completion of the running operation frees the
 * call. */
static void
abandon(struct target_call *call)
{
	detach(call);
	call->abandoned = true;
	g_cancellable_cancel(call->cancel);
}

static void
abort_call(struct target_call *call, enum err_code code, const char *message)
{
	struct target_ops ops = call->ops;
	void *ctx = call->ctx;
	struct err why;

	if (err_is(&call->why))
		return;
	err_set(&call->why, code, verdict_now(call), "%s", message);
	if (!call->busy) {
		finish_failed(call, NULL);
	} else if (call->sent) {
		g_cancellable_cancel(call->cancel);
	} else {
		/* libsoup ignores the cancellable while a message waits for
		 * a connection, so the call would end long after its
		 * deadline. libsoup checks it before it writes. */
		why = call->why;
		abandon(call);
		ops.ended(&why, ctx);
	}
}

static gboolean
on_deadline(gpointer data)
{
	struct target_call *call = data;

	call->deadline_timer = 0;
	if (clk_catch_up(&call->catch_up, clk_now_us(call->plat->clock),
		call->deadline_us, call->received)) {
		call->deadline_timer =
		    g_timeout_add(CLK_READ_MS, on_deadline, call);
		return G_SOURCE_REMOVE;
	}
	abort_call(call, ERR_DEADLINE, "the deadline of the exchange passed");
	return G_SOURCE_REMOVE;
}

/* Whether the stall timer that was due at `due_us` has to wait until the input
 * that arrived before is read. It waits only once, so that a process that is
 * held up often ends its calls, too. */
static bool
stall_is_late(struct target_call *call, int64_t due_us)
{
	if (call->stall_was_late || !clk_is_late(call->plat->clock, due_us))
		return false;
	call->stall_was_late = true;
	return true;
}

static gboolean on_stall(gpointer data);

/* Starts the timer for the stall limit. It is restarted only when it fires, not
 * at each read. */
static void
start_stall_timer(struct target_call *call)
{
	int64_t left_us = call->last_byte_us + call->stall_ms * (int64_t)1000 -
	    clk_now_us(call->plat->clock);

	call->stall_timer =
	    g_timeout_add((guint)MAX(1, left_us / 1000 + 1), on_stall, call);
}

static gboolean
on_stall(gpointer data)
{
	struct target_call *call = data;
	int64_t now_us = clk_now_us(call->plat->clock);

	call->stall_timer = 0;
	if (call->paused)
		call->last_byte_us = now_us;
	if (now_us - call->last_byte_us < call->stall_ms * (int64_t)1000) {
		call->stall_was_late = false;
		start_stall_timer(call);
		return G_SOURCE_REMOVE;
	}
	if (stall_is_late(
		call, call->last_byte_us + call->stall_ms * (int64_t)1000)) {
		call->stall_timer = g_timeout_add(CLK_READ_MS, on_stall, call);
		return G_SOURCE_REMOVE;
	}
	if (call->ops.stalled != NULL && call->ops.stalled(call->ctx)) {
		if (call->abandoned)
			return G_SOURCE_REMOVE;
		call->stall_timer =
		    g_timeout_add(call->stall_ms, on_stall, call);
		return G_SOURCE_REMOVE;
	}
	abort_call(call, ERR_UNAVAILABLE, "the target stalled");
	return G_SOURCE_REMOVE;
}

static void on_read(GObject *source, GAsyncResult *result, gpointer data);

static void
read_next(struct target_call *call)
{
	if (call->paused || call->busy || call->body == NULL)
		return;
	call->busy = true;
	g_input_stream_read_async(call->body, call->buffer,
	    sizeof(call->buffer), G_PRIORITY_DEFAULT, call->cancel, on_read,
	    call);
}

static void
on_read(GObject *source, GAsyncResult *result, gpointer data)
{
	struct target_call *call = data;
	GError *error = NULL;
	gssize n =
	    g_input_stream_read_finish(G_INPUT_STREAM(source), result, &error);

	if (call->abandoned) {
		call_free(call);
	} else if (n < 0) {
		finish_failed(call, error);
	} else if (n == 0) {
		finish_body(call);
	} else {
		call->last_byte_us = clk_now_us(call->plat->clock);
		call->received += (uint64_t)n;
		call->ops.data(call->buffer, (size_t)n, call->ctx);
		call->busy = false;
		if (call->abandoned)
			call_free(call);
		else
			read_next(call);
	}
	g_clear_error(&error);
}

static void
handle_head(struct target_call *call)
{
	SoupMessageHeaders *headers =
	    soup_message_get_response_headers(call->message);
	unsigned int status = soup_message_get_status(call->message);
	const char *not_run =
	    soup_message_headers_get_one(headers, "X-Not-Run");

	if (!head_is_valid(call->message, call->interim > 0)) {
		err_set(&call->why, ERR_UNAVAILABLE, VERDICT_MAY_HAVE_RUN,
		    "the head of the response is malformed");
		finish_failed(call, NULL);
		return;
	}
	call->last_byte_us = clk_now_us(call->plat->clock);
	call->not_run = status >= 400 && g_strcmp0(not_run, "1") == 0;
	call->ops.head(status, headers, call->ctx);
	call->busy = false;
	if (call->abandoned)
		call_free(call);
	else
		read_next(call);
}

static void
on_response(GObject *source, GAsyncResult *result, gpointer data)
{
	struct target_call *call = data;
	GError *error = NULL;

	call->body =
	    soup_session_send_finish(SOUP_SESSION(source), result, &error);
	if (call->abandoned)
		call_free(call);
	else if (call->body == NULL)
		finish_failed(call, error);
	else
		handle_head(call);
	g_clear_error(&error);
}

static void
on_starting(SoupMessage *message, gpointer data)
{
	struct target_call *call = data;

	call->sent = true;
}

/*
 * libsoup resends an idempotent request (GET, PUT, DELETE and the like) when a
 * reused connection closes before the first byte of the response. The target
 * may have run the request already and would run it twice in one attempt,
 * uncounted. libsoup emits `restarted` before it requests another connection,
 * and does not resend a message that is cancelled by then.
 */
static void
on_restarted(SoupMessage *message, gpointer data)
{
	struct target_call *call = data;

	if (!call->abandoned)
		abort_call(call, ERR_UNAVAILABLE,
		    "the connection was closed before a response");
}

/* libsoup bounds each head, but not the number of interim responses. */
static void
on_informational(SoupMessage *message, gpointer data)
{
	struct target_call *call = data;

	if (call->abandoned)
		return;
	if (soup_message_get_status(message) == SOUP_STATUS_SWITCHING_PROTOCOLS)
		abort_call(call, ERR_UNAVAILABLE,
		    "the target switches to a protocol not asked for");
	else if (++call->interim > INTERIM_MAX)
		abort_call(call, ERR_UNAVAILABLE,
		    "the target sent interim responses without end");
}

static void
add_headers(struct target_call *call, const struct target_request *request)
{
	SoupMessageHeaders *headers =
	    soup_message_get_request_headers(call->message);
	const char *const *h;

	for (h = request->headers; h != NULL && h[0] != NULL; h += 2) {
		if (!is_hop_header(h[0]))
			soup_message_headers_append(headers, h[0], h[1]);
	}
}

static void
add_body(struct target_call *call, const struct target_request *request)
{
	SoupMessageHeaders *headers =
	    soup_message_get_request_headers(call->message);
	char *type;

	if (request->body == NULL)
		return;
	type = g_strdup(soup_message_headers_get_one(headers, "Content-Type"));
	soup_message_set_request_body_from_bytes(call->message,
	    type != NULL ? type : "application/json", request->body);
	g_free(type);
}

/*
 * Connections are reused, also for POST. libsoup does this only for messages
 * that are marked idempotent; the mark does not make it resend a POST.
 */
static SoupMessage *
new_message(const struct target_request *request)
{
	char *uri = g_strconcat(request->base, request->path, NULL);
	SoupMessageFlags flags = SOUP_MESSAGE_NO_REDIRECT |
	    SOUP_MESSAGE_COLLECT_METRICS |
	    (request->new_connection ? SOUP_MESSAGE_NEW_CONNECTION
				     : SOUP_MESSAGE_IDEMPOTENT);
	SoupMessage *message = soup_message_new(request->method, uri);

	g_free(uri);
	if (message != NULL)
		soup_message_add_flags(message, flags);
	return message;
}

static gboolean
on_invalid_url(gpointer data)
{
	struct target_call *call = data;

	call->idle = 0;
	abort_call(call, ERR_INVALID, "malformed target address");
	return G_SOURCE_REMOVE;
}

static void
start_timers(struct target_call *call, const struct target_request *request)
{
	if (request->deadline_ms != 0) {
		call->deadline_us = clk_now_us(call->plat->clock) +
		    request->deadline_ms * (int64_t)1000;
		call->deadline_timer =
		    g_timeout_add(request->deadline_ms, on_deadline, call);
	}
	call->stall_ms = request->stall_ms;
	call->last_byte_us = clk_now_us(call->plat->clock);
	if (call->stall_ms != 0)
		start_stall_timer(call);
}

static void
send_message(struct target_call *call, const struct target_request *request)
{
	add_headers(call, request);
	add_body(call, request);
	g_signal_connect(
	    call->message, "starting", G_CALLBACK(on_starting), call);
	g_signal_connect(
	    call->message, "restarted", G_CALLBACK(on_restarted), call);
	g_signal_connect(call->message, "got-informational",
	    G_CALLBACK(on_informational), call);
	start_timers(call, request);
	call->busy = true;
	soup_session_send_async(call->pool->session, call->message,
	    G_PRIORITY_DEFAULT, call->cancel, on_response, call);
}

struct target_call *
target_call_start(struct plat *plat, const struct target_request *request,
    const struct target_ops *ops, void *ctx)
{
	struct target_call *call = g_new0(struct target_call, 1);

	call->plat = plat;
	call->ops = *ops;
	call->ctx = ctx;
	call->new_connection = request->new_connection;
	call->cancel = g_cancellable_new();
	call->pool = plat_pool(plat, request->base);
	call->pool->running++;
	TAILQ_INSERT_TAIL(&plat->calls, call, link);
	call->message = new_message(request);
	if (call->message == NULL)
		call->idle = g_idle_add(on_invalid_url, call);
	else
		send_message(call, request);
	return call;
}

void
target_call_pause(struct target_call *call, bool paused)
{
	if (call->paused == paused)
		return;
	call->paused = paused;
	if (paused)
		return;
	call->last_byte_us = clk_now_us(call->plat->clock);
	read_next(call);
}

void
target_call_may_end_by_close(struct target_call *call)
{
	call->may_end_by_close = true;
}

void
target_call_cancel(struct target_call *call)
{
	if (call->busy) {
		abandon(call);
		return;
	}
	call_free(call);
}

void
target_cancel_all(struct plat *plat)
{
	struct target_call *call;
	struct err err;

	while ((call = TAILQ_FIRST(&plat->calls)) != NULL) {
		struct target_ops ops = call->ops;
		void *ctx = call->ctx;

		err_set(&err, ERR_CANCELLED, verdict_now(call),
		    "the session was closed");
		target_call_cancel(call);
		ops.ended(&err, ctx);
	}
}
