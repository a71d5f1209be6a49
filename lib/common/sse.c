/* Events of a text/event-stream. */

#include <glib.h>
#include <string.h>

#include "common/sse.h"

/* Ends the current line; true if this ends the block as well. */
static bool
end_line(struct sse *s)
{
	enum sse_line line = s->line;

	s->line = SSE_LINE_EMPTY;
	s->after_cr = false;
	switch (line) {
	case SSE_LINE_FIELD:
		s->in_event = true;
		return false;
	case SSE_LINE_COMMENT:
		s->is_event = false;
		return !s->in_event;
	default:
		s->is_event = s->in_event;
		s->in_event = false;
		return true;
	}
}

static size_t
end_block(struct sse *s)
{
	size_t len = s->scanned;

	s->scanned = 0;
	return len;
}

/* Adds a byte to the current line; true if it completes the block. */
static bool
add_byte(struct sse *s, uint8_t byte)
{
	s->scanned++;
	if (byte == '\n')
		return end_line(s);
	if (byte == '\r')
		s->after_cr = true;
	else if (s->line == SSE_LINE_EMPTY)
		s->line = byte == ':' ? SSE_LINE_COMMENT : SSE_LINE_FIELD;
	return false;
}

size_t
sse_next(struct sse *s, const void *data, size_t len)
{
	const uint8_t *bytes = data;

	while (s->scanned < len) {
		if (s->after_cr && bytes[s->scanned] != '\n') {
			s->bare_cr = true;
			if (end_line(s))
				return end_block(s);
		}
		if (add_byte(s, bytes[s->scanned]))
			return end_block(s);
	}
	return 0;
}

bool
sse_may_end(const struct sse *s)
{
	struct sse end = *s;

	/* After a CR a LF may be missing, unless lines end with CR alone. */
	if (s->after_cr)
		return s->bare_cr && end_line(&end);
	return !s->in_event && s->line == SSE_LINE_EMPTY;
}

int64_t
sse_id(const void *event, size_t len)
{
	const char *at = event, *end = at + len;
	const char *line_end;

	while (at < end) {
		line_end = at;
		while (line_end < end && *line_end != '\n' && *line_end != '\r')
			line_end++;
		if (line_end == end)
			break;
		if (line_end - at > 3 && memcmp(at, "id:", 3) == 0)
			return g_ascii_strtoll(at + 3, NULL, 10);
		at = line_end + 1;
	}
	return -1;
}
