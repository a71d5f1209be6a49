/* An exchange whose response body is buffered, up to a size limit. */

#include <string.h>

#include "platform/platform_internal.h"

struct fetch {
	struct target_call *call;
	fetch_cb *done;
	void *ctx;
	struct ctr *stalls;
	size_t max_bytes;
	GByteArray *body;
	struct fetch_response response;
};

static void
fetch_free(struct fetch *fetch)
{
	if (fetch->response.headers != NULL)
		soup_message_headers_unref(fetch->response.headers);
	if (fetch->body != NULL)
		g_byte_array_unref(fetch->body);
	g_free(fetch);
}

/* A response larger than the limit is useless to the caller and could be
 * unbounded. */
static void
fail_too_large(struct fetch *fetch)
{
	fetch_cb *done = fetch->done;
	void *ctx = fetch->ctx;
	struct err err;

	err_set(&err, ERR_TOO_LARGE, VERDICT_MAY_HAVE_RUN,
	    "response is larger than %zu bytes", fetch->max_bytes);
	fetch_cancel(fetch);
	done(NULL, &err, ctx);
}

static void
on_head(unsigned int status, SoupMessageHeaders *headers, void *ctx)
{
	struct fetch *fetch = ctx;
	const char *not_run =
	    soup_message_headers_get_one(headers, "X-Not-Run");
	goffset length = 0;

	fetch->response.status = status;
	fetch->response.headers = soup_message_headers_ref(headers);
	fetch->response.not_run = status >= 400 && g_strcmp0(not_run, "1") == 0;
	if (soup_message_headers_get_encoding(headers) ==
	    SOUP_ENCODING_CONTENT_LENGTH)
		length = soup_message_headers_get_content_length(headers);
	if ((guint64)length > fetch->max_bytes) {
		fail_too_large(fetch);
		return;
	}
	fetch->body = g_byte_array_sized_new((guint)length);
}

static void
on_data(const uint8_t *bytes, size_t len, void *ctx)
{
	struct fetch *fetch = ctx;

	if (len > fetch->max_bytes - fetch->body->len) {
		fail_too_large(fetch);
		return;
	}
	g_byte_array_append(fetch->body, bytes, (guint)len);
}

static bool
on_stalled(void *ctx)
{
	struct fetch *fetch = ctx;

	if (fetch->stalls != NULL)
		ctr_add(fetch->stalls, 1);
	return false;
}

static void
on_ended(const struct err *err, void *ctx)
{
	struct fetch *fetch = ctx;
	bool not_run = fetch->response.not_run && fetch->body != NULL;

	fetch->call = NULL;
	if (err_is(err) && !not_run) {
		fetch->done(NULL, err, fetch->ctx);
		fetch_free(fetch);
		return;
	}
	fetch->response.retry_after_ms = err->retry_after_ms;
	fetch->response.body = g_byte_array_free_to_bytes(fetch->body);
	fetch->body = NULL;
	fetch->done(&fetch->response, NULL, fetch->ctx);
	g_bytes_unref(fetch->response.body);
	fetch_free(fetch);
}

static const struct target_ops fetch_ops = {
	.head = on_head,
	.data = on_data,
	.stalled = on_stalled,
	.ended = on_ended,
};

struct fetch *
fetch_start(struct plat *plat, const struct fetch_request *request,
    fetch_cb *done, void *ctx)
{
	struct fetch *fetch = g_new0(struct fetch, 1);
	const char *headers[] = { "Range", request->range, NULL };

	fetch->done = done;
	fetch->ctx = ctx;
	fetch->stalls = request->stalls;
	fetch->max_bytes = request->max_bytes;
	fetch->call = target_call_start(plat,
	    &(struct target_request){
		.base = request->base,
		.method = request->method,
		.path = request->path,
		.headers = request->range != NULL ? headers : NULL,
		.body = request->json,
		.deadline_ms = request->deadline_ms,
		.stall_ms = request->stall_ms,
	    },
	    &fetch_ops, fetch);
	return fetch;
}

void
fetch_cancel(struct fetch *fetch)
{
	if (fetch == NULL)
		return;
	target_call_cancel(fetch->call);
	fetch_free(fetch);
}

static enum err_code
status_to_err_code(unsigned int status)
{
	switch (status) {
	case SOUP_STATUS_UNAUTHORIZED:
	case SOUP_STATUS_FORBIDDEN:
		return ERR_UNAUTHORISED;
	case SOUP_STATUS_NOT_FOUND:
		return ERR_NOT_FOUND;
	case SOUP_STATUS_CONFLICT:
		return ERR_CONFLICT;
	case SOUP_STATUS_REQUEST_ENTITY_TOO_LARGE:
		return ERR_TOO_LARGE;
	case HTTP_TOO_MANY_REQUESTS:
		return ERR_OVERLOADED;
	default:
		return status >= 400 && status < 500 ? ERR_INVALID
						     : ERR_UNAVAILABLE;
	}
}

bool
fetch_status_error(const struct fetch_response *response, struct err *err)
{
	err_set(err, status_to_err_code(response->status),
	    response->not_run ? VERDICT_NOT_RUN : VERDICT_RAN,
	    "response has status %u", response->status);
	if (err != NULL)
		err->retry_after_ms = response->retry_after_ms;
	return false;
}
