#ifndef COMMON_SSE_H
#define COMMON_SSE_H

/*
 * sse: finds the events of a text/event-stream in its bytes as they arrive.
 *
 * The bytes are divided into blocks, each with at most one event: its lines and
 * the empty line that ends it, a comment line outside of events, or an empty
 * line. Lines end with LF, CRLF or CR (WHATWG HTML, "Server-sent events").
 * Does not allocate, and looks at each byte once.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum sse_line {
	SSE_LINE_EMPTY,
	SSE_LINE_COMMENT,
	SSE_LINE_FIELD,
};

/* The position in a stream; zeroed at its beginning. */
struct sse {
	size_t scanned; /* bytes of the current block */
	enum sse_line line; /* the current line so far */
	bool in_event; /* the current event has a complete line */
	bool after_cr; /* a LF would belong to the same line end */
	bool bare_cr; /* lines of this stream end with CR alone */
	bool is_event; /* the last block has an event */
};

/*
 * Returns the length of the first block of `data` once it is complete, or 0 if
 * more bytes are needed. `data` continues where the last block ended, and
 * contains the bytes given to earlier calls that returned 0.
 */
size_t sse_next(struct sse *s, const void *data, size_t len);

/* Whether the block that sse_next() returned last has an event. */
static inline bool
sse_is_event(const struct sse *s)
{
	return s->is_event;
}

/*
 * Whether a stream that ends here ends between two events. Bytes that
 * sse_next() has not returned are then a complete block.
 */
bool sse_may_end(const struct sse *s);

/* The number in the event's "id" field; -1: it has none. */
int64_t sse_id(const void *event, size_t len);

#endif
