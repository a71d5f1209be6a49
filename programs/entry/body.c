/* The body of an answer on its way to the caller: buffering, flow control, and
 * the events of a stream, of which only complete ones are passed on. */

#include <string.h>

#include "entry/request.h"

/* An answer that is not streamed is buffered up to this size until it is
 * complete, so that a failed attempt can be retried unseen by the caller. */
#define BUFFER_MAX RT_WINDOW_BYTES
/* Largest event; a stream with a larger one is broken off. */
#define EVENT_MAX (1u << 20)

void
body_begin(struct request *r)
{
	r->has_events = g_str_has_prefix(r->type, "text/event-stream");
	r->has_end_event = false;
	r->sse = (struct sse){ 0 };
	r->credit_ahead = 0;
	g_byte_array_set_size(r->held_back, 0);
	g_byte_array_set_size(r->buffer, 0);
}

/* ------------------------------------------------------------------ */
/* Flow control                                                        */
/* ------------------------------------------------------------------ */

/* The sidecar may exceed the window by its last read. A message that returns
 * more than one window is malformed: the sidecar would drop it and the stream
 * would stall until its deadline. */
static void
send_window_update(struct request *r, size_t len)
{
	struct rt_window window = { .stream = (uint64_t)r->stream };

	if (r->sidecar == NULL || !r->sidecar->open)
		return;
	for (; len > 0; len -= window.bytes) {
		window.bytes = MIN(len, RT_WINDOW_BYTES);
		conn_send(r->sidecar->conn, &rt_window_desc, &window);
	}
}

/* The bytes of an incomplete event use up credit until it is passed on, and an
 * event may be larger than the window. */
static void
grant_ahead(struct request *r)
{
	size_t held = r->held_back->len;

	if (held < r->credit_ahead + RT_WINDOW_BYTES / 2)
		return;
	send_window_update(r, held - r->credit_ahead);
	r->credit_ahead = held;
}

void
body_written(struct request *r, size_t len)
{
	size_t ahead = MIN(len, r->credit_ahead);

	r->credit_ahead -= ahead;
	send_window_update(r, len - ahead);
	grant_ahead(r);
}

static void
append(struct request *r, const uint8_t *bytes, size_t len)
{
	answer_append(r, bytes, len);
	if (r->exchange_over) /* the caller left: nothing is written */
		body_written(r, len);
}

static void
pass_on(struct request *r, const uint8_t *bytes, size_t len)
{
	if (r->head_sent) {
		append(r, bytes, len);
		return;
	}
	g_byte_array_append(r->buffer, bytes, (guint)len);
	if (r->buffer->len < BUFFER_MAX)
		return;
	/* Too large to buffer. */
	answer_begin(r);
	append(r, r->buffer->data, r->buffer->len);
	g_byte_array_set_size(r->buffer, 0);
	request_step(r, ATT_HEAD);
}

/* ------------------------------------------------------------------ */
/* Events                                                              */
/* ------------------------------------------------------------------ */

/* Whether it is the event with which engines end a stream. */
static bool
is_end_event(const uint8_t *event, size_t len)
{
	static const char *const ends[] = { "data: [DONE]", "data:[DONE]" };
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(ends); i++) {
		if (len > strlen(ends[i]) &&
		    memcmp(event, ends[i], strlen(ends[i])) == 0)
			return true;
	}
	return false;
}

static void
pass_on_events(struct request *r)
{
	GByteArray *held = r->held_back;
	size_t at = 0, n;

	while ((n = sse_next(&r->sse, held->data + at, held->len - at)) > 0) {
		if (sse_is_event(&r->sse) && is_end_event(held->data + at, n))
			r->has_end_event = true;
		pass_on(r, held->data + at, n);
		at += n;
	}
	if (at > 0)
		g_byte_array_remove_range(held, 0, (guint)at);
}

bool
body_add(struct request *r, const uint8_t *bytes, size_t len)
{
	if (!r->has_events) {
		pass_on(r, bytes, len);
		return true;
	}
	g_byte_array_append(r->held_back, bytes, (guint)len);
	pass_on_events(r);
	grant_ahead(r);
	return r->held_back->len <= EVENT_MAX;
}

bool
body_is_complete(const struct request *r)
{
	bool is_success = r->head.status >= 200 && r->head.status < 300;

	if (!r->has_events)
		return true;
	if (r->streamed && is_success && !r->has_end_event)
		return false;
	return sse_may_end(&r->sse);
}
