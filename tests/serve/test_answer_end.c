/* How answers of targets end, and what their callers get: every framing with
 * every end, byte by byte. */

#include <poll.h>

#include "world.h"

#include "../http/raw_answer.h"

enum framing {
	LENGTH,
	CHUNKED,
	NONE, /* neither: the end of the connection ends the answer */
	FRAMINGS
};

enum end {
	IN_ORDER, /* with the end of the framing, if there is any */
	EARLY, /* an orderly close before it */
	RESET,
	ENDS
};

enum place {
	BEFORE_FIRST,
	INSIDE, /* an event */
	BETWEEN_NEWLINES, /* of the end of an event */
	BETWEEN, /* two events */
	PLACES
};

static const char *const framing_names[] = { "length", "chunked", "none" };
static const char *const end_names[] = { "in order", "early", "reset" };

static const char *const place_bytes[] = {
	[BEFORE_FIRST] = "",
	[INSIDE] = "id: 1\ndata: a\n\nid: 2\ndat",
	[BETWEEN_NEWLINES] = "id: 1\ndata: a\n\nid: 2\ndata: b\n",
	[BETWEEN] = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n",
};

/* The complete events of these. */
static const char *const place_events[] = {
	[BEFORE_FIRST] = "",
	[INSIDE] = "id: 1\ndata: a\n\n",
	[BETWEEN_NEWLINES] = "id: 1\ndata: a\n\n",
	[BETWEEN] = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n",
};

static const char *const place_last_id[] = {
	[BEFORE_FIRST] = NULL,
	[INSIDE] = "T-Last: 1\r\n",
	[BETWEEN_NEWLINES] = "T-Last: 1\r\n",
	[BETWEEN] = "T-Last: 2\r\n",
};

static char *label; /* of the current case, for failures */
static unsigned int failures;

static int
set_up(void **state)
{
	failures = 0;
	return 0;
}

static int
tear_down(void **state)
{
	g_free(label);
	label = NULL;
	return 0;
}

/* Prints a failure; the other cases still run. */
static void
check(bool holds, const char *what)
{
	if (holds)
		return;
	print_error("%s: %s\n", label, what);
	failures++;
}

/* ------------------------------------------------------------------ */
/* The target's side                                                   */
/* ------------------------------------------------------------------ */

static void
end_connection(struct target *t, enum end end)
{
	run_ms(3); /* a reset must not overtake the bytes before it */
	if (end == RESET)
		raw_reset(t->fd);
	else
		close(t->fd);
	t->fd = -1;
}

/* Answers with these bytes as a body or as its beginning, after a head that may
 * have further lines. */
static void
answer_typed(struct target *t, const char *lines, enum framing framing,
    enum end end, const char *bytes)
{
	GString *text = g_string_new(GOOD);
	size_t len = strlen(bytes), more = end == IN_ORDER ? 0 : 100;

	g_string_append(text, lines);
	if (framing == LENGTH)
		g_string_append_printf(
		    text, "Content-Length: %zu\r\n\r\n%s", len + more, bytes);
	else if (framing == NONE)
		g_string_append_printf(text, "\r\n%s", bytes);
	else {
		g_string_append(text, "Transfer-Encoding: chunked\r\n\r\n");
		if (len > 0)
			g_string_append_printf(
			    text, "%zx\r\n%s\r\n", len, bytes);
		if (end == IN_ORDER)
			g_string_append(text, "0\r\n\r\n");
	}
	raw_send(t->fd, text->str);
	g_string_free(text, TRUE);
	end_connection(t, end);
}

static void
answer(struct target *t, enum framing framing, enum end end, const char *bytes)
{
	answer_typed(t, "", framing, end, bytes);
}

/* ------------------------------------------------------------------ */
/* The caller's side                                                   */
/* ------------------------------------------------------------------ */

static int
send_as(bool http10)
{
	int fd = raw_dial(w.address);
	char *text = g_strdup_printf("GET /x/1 HTTP/1.%d\r\nHost: a.example\r\n"
				     "T-Id: q1\r\nT-Key: Bearer secret\r\n"
				     "T-Deadline: 3000\r\n\r\n",
	    http10 ? 0 : 1);

	raw_send(fd, text);
	g_free(text);
	return fd;
}

/* Reads until the answer is complete or the connection has ended. */
static enum raw_end
read_answer(int fd, struct raw_answer *a)
{
	GString *bytes = g_string_new(NULL);
	enum raw_end end = RAW_OPEN;
	char buffer[4096];
	ssize_t n;
	int i;

	raw_answer_init(a);
	for (i = 0; i < ITERATIONS_MAX / 4 && end == RAW_OPEN; i++) {
		n = recv(fd, buffer, sizeof(buffer), MSG_DONTWAIT);
		if (n > 0)
			g_string_append_len(bytes, buffer, n);
		else if (n == 0)
			end = RAW_CLOSED;
		else if (errno != EAGAIN)
			end = RAW_RESET;
		raw_answer_parse(a, bytes, end);
		if (a->complete)
			break;
		run_ms(1);
	}
	g_string_free(bytes, TRUE);
	close(fd);
	check(!a->malformed, "the caller gets malformed framing");
	return end;
}

static void
expect_whole(int fd, const char *body)
{
	struct raw_answer a;

	read_answer(fd, &a);
	check(a.status == 200, "the caller gets no answer");
	check(a.complete, "the caller's answer ends early");
	check(strcmp(a.body->str, body) == 0, "the caller gets another body");
	raw_answer_clear(&a);
}

/* Nothing was relayed: an error. Otherwise an end that the caller recognises,
 * after complete events only. */
static void
expect_broken_off(int fd, const char *events)
{
	struct raw_answer a;
	enum raw_end end = read_answer(fd, &a);

	if (events[0] == '\0')
		check(a.status == 502 && a.complete, "the caller gets no 502");
	else {
		check(a.status == 200, "the caller gets no answer");
		check(!a.complete, "the caller's answer looks complete");
		check(end != RAW_OPEN, "the caller's connection stays open");
		check(strcmp(a.body->str, events) == 0,
		    "the caller gets part of an event");
	}
	raw_answer_clear(&a);
}

/* ------------------------------------------------------------------ */
/* Event streams                                                       */
/* ------------------------------------------------------------------ */

struct stream_case {
	enum framing framing;
	enum end end;
	bool http10; /* the caller */
	const char *bytes; /* of the first target */
	const char *events; /* the complete ones of these */
	const char *last_id; /* header to resume with; NULL: none */
	bool whole; /* they are an answer */
};

/* Nothing can resume the stream. */
static void
check_alone(const struct stream_case *c, bool resumable, unsigned int attempts)
{
	struct sv_config *config = make_config(SV_STREAM, attempts, 3000);
	struct target *t;
	char *request;
	int fd;

	config->routes[0].resumable = resumable;
	world_open(1, config);
	fd = send_as(c->http10);
	t = target_get(&request);
	g_free(request);
	answer(t, c->framing, c->end, c->bytes);
	if (c->whole)
		expect_whole(fd, c->events);
	else
		expect_broken_off(fd, c->events);
	world_close();
}

/* Waits until a connection to a target is to be accepted. */
static bool
is_called(void)
{
	struct pollfd fds[TARGETS];
	size_t i;
	int turn;

	for (i = 0; i < w.ntargets; i++)
		fds[i] = (struct pollfd){ w.target[i].listener, POLLIN, 0 };
	for (turn = 0; turn < 1000; turn++) {
		if (poll(fds, w.ntargets, 0) > 0)
			return true;
		run_ms(1);
	}
	return false;
}

static void
check_resumed(const struct stream_case *c)
{
	static const char rest[] = "id: 9\ndata: z\n\n";
	struct target *t;
	char *request, *body;
	int fd;

	world_open(2, make_config(SV_STREAM, 2, 3000));
	fd = send_as(c->http10);
	t = target_get(&request);
	g_free(request);
	answer(t, c->framing, c->end, c->bytes);
	if (c->whole) {
		expect_whole(fd, c->events);
		check(!target_is_called(), "a whole stream is sent again");
	} else if (!is_called()) {
		check(false, "the stream is not resumed");
		close(fd);
	} else {
		t = target_get(&request);
		check(c->last_id == NULL ? strstr(request, "T-Last: ") == NULL
					 : strstr(request, c->last_id) != NULL,
		    "the stream is resumed after another event");
		g_free(request);
		answer(t, CHUNKED, IN_ORDER, rest);
		body = g_strconcat(c->events, rest, NULL);
		expect_whole(fd, body);
		g_free(body);
	}
	world_close();
}

static void
set_label(const struct stream_case *c)
{
	char *bytes = g_strescape(c->bytes, NULL);

	g_free(label);
	label = g_strdup_printf("framing %s, ended %s, after '%s', HTTP/1.%d",
	    framing_names[c->framing], end_names[c->end], bytes, !c->http10);
	g_free(bytes);
}

static void
check_stream(const struct stream_case *c)
{
	set_label(c);
	check_alone(c, false, 2);
	check_alone(c, true, 1);
	check_resumed(c);
}

/* Without framing, an orderly close cannot be early. */
static bool
may_happen(enum framing framing, enum end end)
{
	return framing != NONE || end != EARLY;
}

/* What the framing says is a statement on the bytes. The answer is whole only
 * if it also ends between two events; without framing, nothing but an event
 * tells that there is an answer. */
static bool
is_whole(enum framing framing, enum end end, enum place place)
{
	if (end != IN_ORDER)
		return false;
	return place == BETWEEN || (place == BEFORE_FIRST && framing != NONE);
}

static void
check_places(bool http10)
{
	enum framing framing;
	enum place place;
	enum end end;

	for (framing = 0; framing < FRAMINGS; framing++) {
		for (end = 0; end < ENDS; end++) {
			for (place = 0; place < PLACES; place++) {
				if (!may_happen(framing, end))
					continue;
				check_stream(&(struct stream_case){
				    .framing = framing,
				    .end = end,
				    .http10 = http10,
				    .bytes = place_bytes[place],
				    .events = place_events[place],
				    .last_id = place_last_id[place],
				    .whole = is_whole(framing, end, place) });
			}
		}
	}
}

/* Guards against a stream that was broken off and looks complete to its
 * caller, or that reaches it with part of an event. */
static void
test_broken_off_stream_is_not_complete(void **state)
{
	check_places(false);
	assert_int_equal(failures, 0);
}

/* The same for callers whose answer ends with its connection. */
static void
test_broken_off_stream_is_reset_for_http10(void **state)
{
	check_places(true);
	assert_int_equal(failures, 0);
}

/* The same for a stream that waits in vain for a target to resume it. */
static void
test_broken_off_stream_without_a_target(void **state)
{
	struct stream_case c = { .framing = NONE,
		.end = IN_ORDER,
		.bytes = place_bytes[INSIDE],
		.events = place_events[INSIDE] };

	set_label(&c);
	check_alone(&c, true, 2);
	c.http10 = true;
	set_label(&c);
	check_alone(&c, true, 2);
	assert_int_equal(failures, 0);
}

/* Lines that end with CRLF, and what may follow the last event. */
static void
test_where_a_stream_may_end(void **state)
{
	static const struct {
		const char *bytes, *events;
		bool whole;
	} ends[] = {
		{ "id: 1\r\ndata: a\r\n\r\n", "id: 1\r\ndata: a\r\n\r\n",
		    true },
		{ "id: 1\ndata: a\n\n\n", "id: 1\ndata: a\n\n\n", true },
		{ "id: 1\ndata: a\n\n: bye\n", "id: 1\ndata: a\n\n: bye\n",
		    true },
		{ "id: 1\ndata: a\n\n: by", "id: 1\ndata: a\n\n", false },
		{ "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n",
		    "id: 1\ndata: a\n\n", false },
		{ "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r",
		    "id: 1\ndata: a\n\n", false },
	};
	enum framing framing;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(ends); i++) {
		for (framing = 0; framing < FRAMINGS; framing++)
			check_stream(&(struct stream_case){ .framing = framing,
			    .end = IN_ORDER,
			    .bytes = ends[i].bytes,
			    .events = ends[i].events,
			    .last_id = "T-Last: 1\r\n",
			    .whole = ends[i].whole });
	}
	assert_int_equal(failures, 0);
}

/* Guards against events that come twice: a stream without ids would be resumed
 * from its beginning. */
static void
test_stream_without_ids_is_not_resumed(void **state)
{
	static const char events[] = "data: a\n\n";
	struct target *t;
	char *request;
	int fd;

	set_label(&(struct stream_case){ .bytes = events });
	world_open(2, make_config(SV_STREAM, 2, 3000));
	fd = send_as(false);
	t = target_get(&request);
	g_free(request);
	answer(t, CHUNKED, EARLY, events);
	expect_broken_off(fd, events);
	check(!target_is_called(), "the stream is sent again");
	world_close();
	assert_int_equal(failures, 0);
}

/* Guards against the answer of a second target that is no stream being appended
 * to the events of the first, as the end of the answer. */
static void
test_resumed_by_another_answer(void **state)
{
	static const char *const heads[] = { "HTTP/1.1 404 No\r\n",
		"HTTP/1.1 500 Oops\r\n",
		"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n" };
	struct target *t;
	char *request, *text;
	size_t i;
	int fd;

	for (i = 0; i < G_N_ELEMENTS(heads); i++) {
		set_label(&(struct stream_case){ .bytes = heads[i] });
		world_open(2, make_config(SV_STREAM, 2, 3000));
		fd = send_as(false);
		t = target_get(&request);
		g_free(request);
		answer(t, CHUNKED, EARLY, place_bytes[BETWEEN]);
		t = target_get(&request);
		g_free(request);
		text = g_strconcat(heads[i],
		    "T-Id: q1\r\nT-Seal: s\r\nContent-Length: 2\r\n\r\n{}",
		    NULL);
		raw_send(t->fd, text);
		g_free(text);
		expect_broken_off(fd, place_events[BETWEEN]);
		world_close();
	}
	assert_int_equal(failures, 0);
}

/* On a route of streams, an answer of another type may end anywhere. */
static void
test_other_type_on_a_stream_route(void **state)
{
	static const char body[] = "{\"a\": 1}";
	enum framing framing;
	struct target *t;
	char *request;
	int fd;

	for (framing = 0; framing < FRAMINGS; framing++) {
		set_label(
		    &(struct stream_case){ .framing = framing, .bytes = body });
		world_open(1, make_config(SV_STREAM, 2, 3000));
		fd = send_as(false);
		t = target_get(&request);
		g_free(request);
		answer_typed(t, "Content-Type: application/json\r\n", framing,
		    IN_ORDER, body);
		expect_whole(fd, body);
		world_close();
	}
	assert_int_equal(failures, 0);
}

/* ------------------------------------------------------------------ */
/* Plain answers                                                       */
/* ------------------------------------------------------------------ */

static void
check_plain(enum framing framing, enum end end, bool http10, bool repeatable)
{
	static const char body[] = "all of it";
	struct target *t;
	char *request;
	int fd;

	set_label(&(struct stream_case){
	    .framing = framing, .end = end, .http10 = http10, .bytes = body });
	world_open(2, make_config(repeatable ? SV_SAFE : SV_UNSAFE, 2, 3000));
	fd = send_as(http10);
	t = target_get(&request);
	g_free(request);
	answer(t, framing, end, body);
	if (end != IN_ORDER && repeatable) {
		t = target_get(&request);
		g_free(request);
		answer(t, LENGTH, IN_ORDER, body);
	}
	if (end == IN_ORDER || repeatable)
		expect_whole(fd, body);
	else
		expect_broken_off(fd, "");
	check(!target_is_called(), "the request is sent again");
	world_close();
}

/* Guards against a plain answer that was broken off and looks complete. Without
 * framing, an orderly close is all that its target can say about the end. */
static void
test_broken_off_plain_answer(void **state)
{
	enum framing framing;
	enum end end;
	unsigned int i;

	for (framing = 0; framing < FRAMINGS; framing++) {
		for (end = 0; end < ENDS; end++) {
			for (i = 0; i < 4 && may_happen(framing, end); i++)
				check_plain(framing, end, i & 1, i & 2);
		}
	}
	assert_int_equal(failures, 0);
}

int
main(void)
{
#define T(f) cmocka_unit_test_setup_teardown(f, set_up, tear_down)
	const struct CMUnitTest tests[] = {
		T(test_broken_off_stream_is_not_complete),
		T(test_broken_off_stream_is_reset_for_http10),
		T(test_broken_off_stream_without_a_target),
		T(test_where_a_stream_may_end),
		T(test_stream_without_ids_is_not_resumed),
		T(test_resumed_by_another_answer),
		T(test_other_type_on_a_stream_route),
		T(test_broken_off_plain_answer),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
