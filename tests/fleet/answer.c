/*
 * Answers of the stand-in's engines: with a length, with chunks or with
 * neither, and some of them broken off at any place, in order, early or by a
 * reset. Nothing distinguishes an answer that is broken off in order between
 * two events, or a plain one without framing, from a whole one: there are none
 * of these.
 */

#include <string.h>
#include <sys/socket.h>

#include "fleet.h"
#include "http/server_internal.h"

char *
fleet_event_text(const char *id, unsigned int number)
{
	return g_strdup_printf("id: %u\ndata: %s %u\n\n", number, id, number);
}

static size_t
event_length(const struct fleet_answer *a, unsigned int number)
{
	char *text = fleet_event_text(a->id, number);
	size_t len = strlen(text);

	g_free(text);
	return len;
}

/* Bytes of the event with which the answer breaks off. */
static size_t
broken_length(const struct fleet_answer *a, unsigned int number)
{
	switch (a->place) {
	case FLEET_IN_EVENT:
		return event_length(a, number) / 2;
	case FLEET_IN_EVENT_END:
		return event_length(a, number) - 1;
	default:
		return 0;
	}
}

/* ------------------------------------------------------------------ */
/* What is drawn                                                       */
/* ------------------------------------------------------------------ */

static void
draw_break(struct fleet *f, struct fleet_answer *a, unsigned int events)
{
	a->breaks = true;
	a->end = (enum fleet_end)rng_below(&f->answer_rng, FLEET_ENDS);
	a->place = (enum fleet_place)rng_below(&f->answer_rng, FLEET_PLACES);
	a->events_before = (unsigned int)rng_below(&f->answer_rng, events);
	if (a->framing == FLEET_CLOSE && a->end == FLEET_EARLY)
		a->end = FLEET_RESET; /* an orderly close is not early */
	if (a->end == FLEET_IN_ORDER && a->place == FLEET_BETWEEN_EVENTS)
		a->place = FLEET_IN_EVENT;
}

void
fleet_answer_draw_stream(struct fleet *f, struct fleet_answer *a,
    const char *id, unsigned int from, unsigned int to)
{
	*a = (struct fleet_answer){
		.id = id, .from = from, .to = to, .framing = FLEET_CHUNKED
	};
	/* Without framing, an empty stream is one that was broken off. */
	if (f->broken_one_in == 0 || from >= to)
		return;
	a->framing =
	    (enum fleet_framing)rng_below(&f->answer_rng, FLEET_FRAMINGS);
	if (rng_below(&f->answer_rng, (uint64_t)f->broken_one_in) == 0)
		draw_break(f, a, to - from);
}

void
fleet_answer_draw_plain(struct fleet *f, struct fleet_answer *a)
{
	*a = (struct fleet_answer){ .framing = FLEET_LENGTH };
	if (f->broken_one_in == 0)
		return;
	a->framing =
	    (enum fleet_framing)rng_below(&f->answer_rng, FLEET_FRAMINGS);
	if (rng_below(&f->answer_rng, (uint64_t)f->broken_one_in) == 0)
		draw_break(f, a, 1);
	if (a->end == FLEET_IN_ORDER)
		a->breaks = false;
}

/* ------------------------------------------------------------------ */
/* What is sent                                                        */
/* ------------------------------------------------------------------ */

/* The server frames with chunks, unless its caller speaks HTTP/1.0. */
static void
begin_unchunked(struct hreq *r, const char *headers)
{
	r->parse.msg.http10 = true;
	hreq_begin(r, 200, headers);
}

static void
begin(struct fleet_answer *a, struct hreq *r, const char *headers, size_t len)
{
	char *lines;

	switch (a->framing) {
	case FLEET_CHUNKED:
		hreq_begin(r, 200, headers);
		break;
	case FLEET_LENGTH:
		lines =
		    g_strdup_printf("%sContent-Length: %zu\r\n", headers, len);
		begin_unchunked(r, lines);
		g_free(lines);
		break;
	default:
		begin_unchunked(r, headers);
		break;
	}
}

static size_t
stream_length(const struct fleet_answer *a)
{
	unsigned int last = a->to, i;
	size_t len = 0;

	if (a->breaks && a->end == FLEET_IN_ORDER) {
		last = a->from + a->events_before;
		len = broken_length(a, last + 1);
	}
	for (i = a->from + 1; i <= last; i++)
		len += event_length(a, i);
	return len;
}

static void
break_off(const struct fleet_answer *a, struct hreq *r)
{
	struct linger reset = { .l_onoff = 1, .l_linger = 0 };

	if (a->end == FLEET_RESET) {
		(void)setsockopt(
		    r->fd.fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
		hreq_abort(r);
	} else if (a->end == FLEET_EARLY && a->framing == FLEET_CHUNKED)
		hreq_abort(r);
	else
		hreq_end(r);
}

void
fleet_answer_begin_stream(
    struct fleet_answer *a, struct hreq *r, const char *headers)
{
	begin(a, r, headers, stream_length(a));
}

bool
fleet_answer_next_event(struct fleet_answer *a, struct hreq *r)
{
	unsigned int number = a->from + a->sent + 1;
	char *text;

	if (number > a->to) {
		hreq_end(r);
		return false;
	}
	text = fleet_event_text(a->id, number);
	if (a->breaks && a->sent == a->events_before) {
		hreq_write(r, text, broken_length(a, number));
		break_off(a, r);
		g_free(text);
		return false;
	}
	hreq_write(r, text, strlen(text));
	a->sent++;
	g_free(text);
	return true;
}

void
fleet_answer_plain(struct fleet_answer *a, struct hreq *r, const char *headers,
    const char *body)
{
	size_t len = strlen(body);

	if (!a->breaks && a->framing == FLEET_LENGTH) {
		hreq_answer(r, 200, headers, body, len);
		return;
	}
	begin(a, r, headers, len);
	hreq_write(r, body, a->breaks ? len / 2 : len);
	if (a->breaks)
		break_off(a, r);
	else
		hreq_end(r);
}

void
fleet_answer_truncated(struct hreq *r, const void *body, size_t len)
{
	begin_unchunked(r, "");
	hreq_write(r, body, len / 2);
	hreq_end(r);
}
