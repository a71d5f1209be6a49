/* Range reads at the origin of weights. */

#include <string.h>

#include "platform/platform_internal.h"

struct origin_read {
	struct plat *plat;
	struct fetch *fetch;
	uint64_t offset, len;
	origin_read_cb *done;
	void *ctx;
};

/* Checks that the response covers the requested range. A wrong range would fail
 * the digest check, but would be counted as corruption. */
static bool
is_requested_range(
    const struct origin_read *read, const struct fetch_response *response)
{
	goffset start, last;

	if (g_bytes_get_size(response->body) != read->len)
		return false;
	if (response->status == SOUP_STATUS_OK)
		return read->offset == 0;
	return soup_message_headers_get_content_range(
		   response->headers, &start, &last, NULL) &&
	    (uint64_t)start == read->offset;
}

static void
finish(struct origin_read *read, GBytes *bytes, const struct err *err)
{
	struct origin_read copy = *read;

	if (err != NULL)
		ctr_add(plat_counter(read->plat, "origin_errors"), 1);
	g_free(read);
	copy.done(bytes, err, copy.ctx);
}

static void
on_response(
    const struct fetch_response *response, const struct err *err, void *ctx)
{
	struct origin_read *read = ctx;
	struct err why;

	if (err != NULL) {
		finish(read, NULL, err);
		return;
	}
	ctr_add(plat_counter(read->plat, "origin_bytes"),
	    (int64_t)g_bytes_get_size(response->body));
	if (response->status != SOUP_STATUS_OK &&
	    response->status != SOUP_STATUS_PARTIAL_CONTENT) {
		fetch_status_error(response, &why);
		finish(read, NULL, &why);
	} else if (!is_requested_range(read, response)) {
		err_set(&why, ERR_INVALID, VERDICT_RAN,
		    "the origin sent a range that was not requested");
		finish(read, NULL, &why);
	} else {
		finish(read, response->body, NULL);
	}
}

struct origin_read *
origin_read_start(struct plat *plat, const char *base, const char *name,
    uint64_t offset, uint64_t len, unsigned int stall_ms, origin_read_cb *done,
    void *ctx)
{
	struct origin_read *read = g_new0(struct origin_read, 1);
	char *escaped = g_uri_escape_string(name, "/", FALSE);
	char *path = g_strconcat("/v1/weights/", escaped, NULL);
	char range[64];

	g_assert(len > 0);
	g_snprintf(range, sizeof(range),
	    "bytes=%" G_GUINT64_FORMAT "-%" G_GUINT64_FORMAT, offset,
	    offset + len - 1);
	read->plat = plat;
	read->offset = offset;
	read->len = len;
	read->done = done;
	read->ctx = ctx;
	ctr_add(plat_counter(plat, "origin_reads"), 1);
	read->fetch = fetch_start(plat,
	    &(struct fetch_request){
		.base = base,
		.method = "GET",
		.path = path,
		.range = range,
		.stall_ms = stall_ms,
		.stalls = plat_counter(plat, "origin_stalls"),
		.max_bytes = len,
	    },
	    on_response, read);
	g_free(path);
	g_free(escaped);
	return read;
}

void
origin_read_cancel(struct origin_read *read)
{
	fetch_cancel(read->fetch);
	g_free(read);
}
