/* Requests through the forwarder: what callers get when targets misbehave. */

#include <stdlib.h>

#include "world.h"

#include "serve/fingerprint.h"

static int
tear_down(void **state)
{
	world_close();
	return 0;
}

/* ------------------------------------------------------------------ */
/* The plain way                                                       */
/* ------------------------------------------------------------------ */

/* What is the caller's goes on, what is this system's is set here, the key
 * stays here. */
static void
test_what_a_target_gets(void **state)
{
	char *request, *left;
	struct target *t;
	int fd;

	world_open(1, make_config(SV_UNSAFE, 1, 2000));
	fd = ask_with("POST", "/x/1?q=2",
	    "T-Deadline: 900\r\nT-Workspace: forged\r\nT-Expect: forged\r\n"
	    "X-Own: kept\r\nConnection: keep-alive, X-Hop\r\nX-Hop: 1\r\n"
	    "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n");
	t = target_get(&request);
	assert_true(g_str_has_prefix(request, "POST /x/1?q=2 HTTP/1.1\r\n"));
	assert_non_null(strstr(request, "X-Own: kept\r\n"));
	assert_non_null(strstr(request, "T-Id: q1\r\n"));
	assert_non_null(strstr(request, "T-Workspace: team\r\n"));
	assert_non_null(strstr(request, "T-Expect: i0\r\n"));
	assert_non_null(strstr(request, "Content-Length: 3\r\n"));
	left = strstr(request, "T-Deadline: ");
	assert_non_null(left);
	assert_in_range(atoi(left + strlen("T-Deadline: ")), 1, 900);
	assert_null(strstr(request, "secret"));
	assert_null(strstr(request, "forged"));
	assert_null(strstr(request, "X-Hop"));
	assert_null(strstr(request, "chunked"));
	g_free(request);
	raw_send(t->fd, WHOLE);
	expect_answer(fd, "\r\n\r\nok");
}

static void
test_no_settings_no_route_no_key(void **state)
{
	int fd;

	world_open(1, NULL);
	expect_answer(ask(), "503 ");
	fwd_set_routes(w.fwd, rtab_new(make_config(SV_SAFE, 2, 2000)));
	expect_answer(ask_with("GET", "/y/1", ""), "404 ");
	fd = raw_dial(w.address);
	raw_send(fd,
	    "GET /x/1 HTTP/1.1\r\nHost: a.example\r\n"
	    "T-Key: Bearer wrong\r\n\r\n");
	expect_answer(fd, "401 ");
	assert_false(target_is_called());
}

/* ------------------------------------------------------------------ */
/* Answers that are not what they seem                                 */
/* ------------------------------------------------------------------ */

/*
 * A target answers an earlier request late, on the connection of this one.
 * The caller must get its own answer, and never the other's.
 */
static void
test_answer_to_another_request(void **state)
{
	char *request;
	struct target *t;
	int fd;

	world_open(1, make_config(SV_UNSAFE, 1, 2000));
	fd = ask();
	t = target_get(&request);
	g_free(request);
	raw_send(t->fd,
	    "HTTP/1.1 200 OK\r\nT-Id: q0\r\nT-Seal: s\r\n"
	    "Content-Length: 5\r\n\r\nother" WHOLE);
	expect_answer(fd, "\r\n\r\nok");
	assert_int_equal(ctr_read(w.counters, "answers_not_ours"), 1);
}

static void
expect_bad_gateway(const char *answer)
{
	char *request;
	struct target *t;
	int fd;

	world_open(1, make_config(SV_UNSAFE, 1, 2000));
	fd = ask();
	t = target_get(&request);
	g_free(request);
	raw_send(t->fd, answer);
	shutdown(t->fd, SHUT_RDWR);
	expect_answer(fd, "502 ");
	assert_false(target_is_called());
	world_close();
}

/* A success that is not proved, encoded, or not whole is no success; and what
 * may have run is not said not to have. */
static void
test_answers_that_are_no_success(void **state)
{
	expect_bad_gateway("HTTP/1.1 200 OK\r\nT-Id: q1\r\n"
			   "Content-Length: 2\r\n\r\nok");
	expect_bad_gateway(
	    GOOD "Content-Encoding: gzip\r\nContent-Length: 2\r\n\r\nok");
	expect_bad_gateway(GOOD "Content-Length: 9\r\n\r\nok");
	expect_bad_gateway("HTTP/1.1 200 OK\r\nT-Seal: s\r\n"
			   "Content-Length: 2\r\n\r\nok");
	expect_bad_gateway("nonsense");
	expect_bad_gateway("");
	/* It does not say that it did not run: no promise is passed on. */
	expect_bad_gateway("HTTP/1.1 503 Busy\r\nT-Id: q1\r\nT-Seal: s\r\n"
			   "Content-Length: 0\r\n\r\n");
	world_open(1, NULL);
}

static void
test_failure_is_passed_on_as_it_is(void **state)
{
	char *request;
	struct target *t;
	int fd;

	world_open(1, make_config(SV_UNSAFE, 1, 2000));
	fd = ask();
	t = target_get(&request);
	g_free(request);
	raw_send(t->fd,
	    "HTTP/1.1 500 Oops\r\nT-Id: q1\r\nT-Seal: s5\r\n"
	    "Content-Length: 3\r\n\r\nbad");
	expect_answer(fd, "T-Seal: s5\r\nContent-Length: 3\r\n\r\nbad");
}

/* ------------------------------------------------------------------ */
/* Another target                                                      */
/* ------------------------------------------------------------------ */

/* A target that refuses has run nothing: even what may run once goes on. */
static void
test_refusal_goes_elsewhere(void **state)
{
	char *request;
	struct target *first, *second;
	int fd;

	world_open(2, make_config(SV_UNSAFE, 1, 2000));
	fd = ask();
	first = target_get(&request);
	g_free(request);
	raw_send(first->fd,
	    "HTTP/1.1 503 Full\r\nT-Not-Run: 1\r\n"
	    "Content-Length: 0\r\n\r\n");
	second = target_get(&request);
	g_free(request);
	assert_ptr_not_equal(first, second);
	raw_send(second->fd, WHOLE);
	expect_answer(fd, "\r\n\r\nok");
}

/* Nobody takes it: the caller hears that it did not run, and when to come
 * back. */
static void
test_refused_by_all(void **state)
{
	char *request, *answer;
	struct target *t;
	int fd, i;

	world_open(2, make_config(SV_UNSAFE, 1, 2000));
	fd = ask();
	for (i = 0; i < 2; i++) {
		t = target_get(&request);
		g_free(request);
		raw_send(t->fd,
		    "HTTP/1.1 421 Other\r\nT-Instance: z\r\n"
		    "Content-Length: 0\r\n\r\n");
	}
	answer = raw_read(fd, "\r\n\r\n");
	assert_non_null(strstr(answer, "503 "));
	assert_non_null(strstr(answer, "Retry-After: "));
	assert_null(strstr(answer, "T-Seal"));
	g_free(answer);
	close(fd);
}

/* The connection is reset after the request was sent. A request that may run
 * more than once is tried elsewhere; see above for the other kind. */
static void
test_reset_is_repeated_when_it_may_be(void **state)
{
	char *request;
	struct target *t;
	int fd;

	world_open(2, make_config(SV_SAFE, 2, 2000));
	fd = ask();
	t = target_get(&request);
	g_free(request);
	shutdown(t->fd, SHUT_RDWR);
	t = target_get(&request);
	g_free(request);
	raw_send(t->fd, WHOLE);
	expect_answer(fd, "\r\n\r\nok");
}

/* The route's time is over: the answer is due at that moment, and the target
 * is told to stop. */
static void
test_timeout(void **state)
{
	char *request;
	struct target *t;
	int64_t begun_us = now_us();
	int fd;

	world_open(1, make_config(SV_UNSAFE, 1, 150));
	fd = ask();
	t = target_get(&request);
	g_free(request);
	expect_answer(fd, "504 ");
	assert_in_range(now_us() - begun_us, 150000, 10000000);
	assert_true(target_is_left(t));
}

/* A caller leaves: its target must not work for nobody. */
static void
test_caller_leaves(void **state)
{
	char *request;
	struct target *t;
	int fd;

	world_open(1, make_config(SV_UNSAFE, 1, 2000));
	fd = ask();
	t = target_get(&request);
	g_free(request);
	close(fd);
	assert_true(target_is_left(t));
	assert_int_equal(fwd_active(w.fwd), 0);
}

/* ------------------------------------------------------------------ */
/* Streams                                                             */
/* ------------------------------------------------------------------ */

/*
 * A target dies in the middle of an event. The caller must see each event
 * once, whole and in order: half an event is held back, and the stream goes on
 * at another target after the last one that was passed on.
 */
static void
test_stream_goes_on_elsewhere(void **state)
{
	char *request, *answer;
	struct target *t;
	int fd;

	world_open(2, make_config(SV_STREAM, 2, 3000));
	fd = ask();
	t = target_get(&request);
	g_free(request);
	raw_send(t->fd, STREAM EVENT("1") EVENT("2") "9\r\nid: 3\ndat\r\n");
	turn_ms(10);
	shutdown(t->fd, SHUT_RDWR);
	t = target_get(&request);
	assert_non_null(strstr(request, "T-Last: 2\r\n"));
	g_free(request);
	/* One that was passed on already comes again: it is left out. */
	raw_send(t->fd, STREAM EVENT("2") EVENT("3") "0\r\n\r\n");
	answer = raw_read(fd, "0\r\n\r\n");
	assert_non_null(
	    strstr(answer, EVENT("1") EVENT("2") EVENT("3") "0\r\n\r\n"));
	g_free(answer);
	close(fd);
}

/*
 * A stream is cut midway while the only other target is full. New requests are
 * refused after a moment of waiting; the stream, whose caller has had half an
 * answer and waits on, gets the place that becomes free later than that.
 */
static void
test_cut_stream_waits_longer(void **state)
{
	char *request, *answer;
	struct target *t;
	int fd;

	world_open(2, make_config(SV_STREAM, 2, 3000));
	fd = ask();
	t = target_get(&request);
	g_free(request);
	raw_send(t->fd, STREAM EVENT("1"));
	turn_ms(10);
	target_say(&w.target[t == &w.target[0]], true, 0); /* leaving */
	shutdown(t->fd, SHUT_RDWR);
	turn_ms(400); /* a new request has a place within 30 ms or none */
	assert_int_equal(fwd_waiting(w.fwd), 1);
	target_say(&w.target[t == &w.target[0]], false, 0);
	fwd_pump(w.fwd);
	t = target_get(&request);
	assert_non_null(strstr(request, "T-Last: 1\r\n"));
	g_free(request);
	raw_send(t->fd, STREAM EVENT("2") "0\r\n\r\n");
	answer = raw_read(fd, "0\r\n\r\n");
	assert_non_null(strstr(answer, EVENT("1") EVENT("2") "0\r\n\r\n"));
	g_free(answer);
	close(fd);
}

/* Nobody can go on: the stream ends visibly broken off. */
static void
test_stream_that_cannot_go_on(void **state)
{
	char *request, *answer;
	struct target *t;
	int fd;

	world_open(1, make_config(SV_STREAM, 2, 3000));
	fd = ask();
	t = target_get(&request);
	g_free(request);
	raw_send(t->fd, STREAM EVENT("1"));
	turn_ms(10);
	shutdown(t->fd, SHUT_RDWR);
	answer = raw_read(fd, NULL);
	assert_non_null(strstr(answer, EVENT("1")));
	assert_null(strstr(answer, "0\r\n\r\n"));
	g_free(answer);
	close(fd);
}

/* A target that falls silent in a stream is left for another while the caller
 * still waits. */
static void
test_silent_stream(void **state)
{
	char *request, *answer;
	struct target *t;
	int fd;

	world_open(2, make_config(SV_STREAM, 2, 3000));
	fd = ask();
	t = target_get(&request);
	g_free(request);
	raw_send(t->fd, STREAM EVENT("1"));
	t = target_get(&request);
	assert_non_null(strstr(request, "T-Last: 1\r\n"));
	g_free(request);
	raw_send(t->fd, STREAM EVENT("2") "0\r\n\r\n");
	answer = raw_read(fd, "0\r\n\r\n");
	assert_non_null(strstr(answer, EVENT("1") EVENT("2") "0\r\n\r\n"));
	g_free(answer);
	close(fd);
}

/* ------------------------------------------------------------------ */
/* Places                                                              */
/* ------------------------------------------------------------------ */

/* A caller's request that a target has taken; its connection in `busy`. */
static int
take_place(const char *headers, int *busy)
{
	int fd = ask_with("GET", "/x/1", headers);
	char *request = NULL;

	*busy = target_get(&request)->fd;
	g_free(request);
	return fd;
}

/* A target is full: whoever waits gets the place that becomes free. */
static void
test_waiting_for_a_place(void **state)
{
	int fd[4], busy[3], i;

	world_open(1, make_config(SV_UNSAFE, 1, 2000));
	for (i = 0; i < 3; i++) /* two slots and one beyond */
		fd[i] = take_place("T-Deadline: 3000\r\n", &busy[i]);
	fd[3] = ask();
	assert_int_equal(fwd_waiting(w.fwd), 1);
	raw_send(busy[0], WHOLE);
	expect_answer(fd[0], "\r\n\r\nok");
	turn_ms(10);
	assert_int_equal(fwd_waiting(w.fwd), 0);
	for (i = 1; i < 3; i++)
		close(busy[i]);
	for (i = 1; i < 4; i++)
		close(fd[i]);
}

/*
 * All targets are full and many requests wait; keepers speak hundreds of times
 * a second. Were each word to have all targets looked through for each request
 * that waits, a gateway beside 200 engines had no time left for those whose
 * place is free. One look tells for all of a kind.
 */
static void
test_one_look_for_all_that_wait(void **state)
{
	enum {
		WAITING = 6
	};
	int fd[3 + WAITING], busy[3], i;
	int64_t before;
	struct sv_config *config = make_config(SV_UNSAFE, 1, 3000);

	config->routes[0].objective_us = 3000000; /* they wait for long */
	world_open(1, config);
	for (i = 0; i < 3; i++)
		fd[i] = take_place("T-Deadline: 3000\r\n", &busy[i]);
	for (i = 3; i < 3 + WAITING; i++)
		fd[i] = ask();
	assert_int_equal(fwd_waiting(w.fwd), WAITING);
	before = ctr_read(w.counters, "target_choices");
	fwd_pump(w.fwd);
	turn_ms(1);
	assert_int_equal(ctr_read(w.counters, "target_choices") - before, 1);
	raw_send(busy[0], WHOLE);
	expect_answer(fd[0], "\r\n\r\nok");
	turn_ms(10);
	assert_int_equal(fwd_waiting(w.fwd), WAITING - 1);
	for (i = 1; i < 3; i++)
		close(busy[i]);
	for (i = 1; i < 3 + WAITING; i++)
		close(fd[i]);
}

/* No place within its share of the objective: refused at once, with advice,
 * rather than held until the caller gives up. */
static void
test_refused_for_want_of_a_place(void **state)
{
	char *answer;
	int fd[4], busy[3], i;
	int64_t begun_us;

	world_open(1, make_config(SV_UNSAFE, 1, 2000));
	for (i = 0; i < 3; i++)
		fd[i] = take_place("T-Deadline: 3000\r\n", &busy[i]);
	begun_us = now_us();
	fd[3] = ask();
	answer = raw_read(fd[3], "\r\n\r\n");
	assert_non_null(strstr(answer, "503 "));
	assert_non_null(strstr(answer, "Retry-After: "));
	assert_true(now_us() - begun_us < 1500000);
	g_free(answer);
	for (i = 0; i < 3; i++)
		close(busy[i]);
	for (i = 0; i < 4; i++)
		close(fd[i]);
}

#define CAME_BACK "T-Deadline: 1200\r\n" /* of the route's 2000 ms */

/*
 * In an overload that lasts, callers that were refused come back and take the
 * places of new ones: both end late. A place is left for a new caller, and who
 * came back is refused at once, with a time after the crowd of that moment.
 */
static void
test_new_callers_before_those_that_come_back(void **state)
{
	char *answer;
	int fd[5], busy[3], i;

	world_open(1, make_config(SV_UNSAFE, 1, 2000));
	for (i = 0; i < 3; i++) /* two slots; one place beyond */
		fd[i] = take_place("T-Deadline: 3000\r\n", &busy[i]);
	fd[3] = ask(); /* a new caller finds all taken, and is refused */
	answer = raw_read(fd[3], "\r\n\r\n");
	assert_non_null(strstr(answer, "503 "));
	g_free(answer);
	raw_send(busy[2], WHOLE); /* one place becomes free */
	expect_answer(fd[2], "\r\n\r\nok");
	fd[2] = ask_with("GET", "/x/1", CAME_BACK);
	answer = raw_read(fd[2], "\r\n\r\n");
	assert_non_null(strstr(answer, "503 "));
	assert_true(
	    g_ascii_strtod(strstr(answer, "Retry-After: ") + 13, NULL) >= 0.9);
	g_free(answer);
	fd[4] = ask();
	turn_ms(30);
	assert_int_equal(fwd_waiting(w.fwd), 0); /* on the kept connection */
	for (i = 0; i < 3; i++)
		close(busy[i]);
	for (i = 0; i < 5; i++)
		close(fd[i]);
}

/* While new callers find places, those that come back get the last one, too. */
static void
test_places_are_kept_only_while_they_are_short(void **state)
{
	int fd[3], busy[3], i;

	world_open(1, make_config(SV_UNSAFE, 1, 2000));
	for (i = 0; i < 3; i++)
		fd[i] = take_place(i < 2 ? "" : CAME_BACK, &busy[i]);
	for (i = 0; i < 3; i++) {
		close(busy[i]);
		close(fd[i]);
	}
}

/* Where all callers bring less time than their route allows, it says nothing
 * about them: all places are theirs. */
static void
test_callers_that_always_bring_less_time(void **state)
{
	int fd, i, busy[3], asked[3];

	world_open(1, make_config(SV_UNSAFE, 1, 2000));
	for (i = 0; i < 100; i++) {
		fd = take_place(CAME_BACK, &busy[0]);
		raw_send(busy[0],
		    GOOD "Connection: close\r\n"
			 "Content-Length: 2\r\n\r\nok");
		expect_answer(fd, "\r\n\r\nok");
		close(busy[0]);
	}
	for (i = 0; i < 3; i++)
		asked[i] = take_place(CAME_BACK, &busy[i]);
	for (i = 0; i < 3; i++) {
		close(busy[i]);
		close(asked[i]);
	}
}

/* A target announced its leaving, or lacks the model: it gets nothing. */
static void
test_leaving_and_empty_targets(void **state)
{
	world_open(2, make_config(SV_UNSAFE, 1, 2000));
	target_say(&w.target[0], true, 0);
	tgt_find(w.set, "i1")->says.has_models = true;
	expect_answer(
	    ask_with("GET", "/x/1", "T-Model: " MODEL "\r\n"), "503 ");
	assert_false(target_is_called());
}

/* ------------------------------------------------------------------ */
/* Weights that are about to be too old                                */
/* ------------------------------------------------------------------ */

/* Version 2 was named so long ago that it is due in `left_ms`. */
static void
name_version(int64_t left_ms)
{
	struct sv_version named = { .model = MODEL, .version = 2 };
	int64_t due_us = now_us() + left_ms * 1000;

	vers_named(w.versions, &named, false, due_us - 2 * G_USEC_PER_SEC);
}

static int
ask_model(void)
{
	return ask_with("GET", "/x/1", "T-Deadline: 3000\r\nT-Model: m\r\n");
}

/*
 * A caller's stream waits in the queue of an engine that holds version 1, and
 * half a second later version 2 is due. Left there it would be run on weights
 * that the operators have withdrawn. It is taken back before that moment and
 * answered by an engine with version 2.
 */
static void
test_queued_request_is_withdrawn_before_its_weights_are_due(void **state)
{
	char *request;
	struct target *old, *fresh;
	int64_t due_us;
	int fd;

	world_open(2, make_config(SV_STREAM, 2, 3000));
	target_say(&w.target[0], false, 1);
	name_version(500);
	due_us = now_us() + 500000;
	target_say(&w.target[1], true, 2); /* takes nothing yet */
	fd = ask_model();
	old = target_get(&request);
	g_free(request);
	assert_ptr_equal(old, &w.target[0]);
	target_say(&w.target[1], false, 2);
	assert_true(target_is_left(old));
	assert_true(now_us() < due_us);
	fresh = target_get(&request);
	g_free(request);
	assert_ptr_equal(fresh, &w.target[1]);
	raw_send(fresh->fd, STREAM EVENT("1") "0\r\n\r\n");
	expect_answer(fd, "id: 1");
}

/* The same, but the engine has begun to answer in time: it goes on. */
static void
test_begun_request_stays_when_its_weights_become_due(void **state)
{
	char *request;
	struct target *t;
	int fd;

	world_open(1, make_config(SV_STREAM, 2, 3000));
	target_say(&w.target[0], false, 1);
	name_version(400);
	fd = ask_model();
	t = target_get(&request);
	g_free(request);
	raw_send(t->fd, STREAM EVENT("1"));
	turn_ms(200);
	raw_send(t->fd, EVENT("2"));
	turn_ms(250);
	raw_send(t->fd, EVENT("3") "0\r\n\r\n");
	expect_answer(fd, "id: 3");
}

/*
 * Version 2 is due in 0.7 s. A request that may run once cannot be taken back
 * from a queue, in which 1.1 s were seen, so it does not go to version 1 any
 * more. One that may be repeated still does, and none does in the last 0.3 s.
 */
static void
test_who_may_still_go_to_older_weights(void **state)
{
	char *request;

	world_open(1, make_config(SV_UNSAFE, 1, 3000));
	target_say(&w.target[0], false, 1);
	name_version(700);
	expect_answer(ask_model(), "503 ");
	assert_false(target_is_called());
	world_close();

	world_open(1, make_config(SV_STREAM, 2, 3000));
	target_say(&w.target[0], false, 1);
	name_version(700);
	close(ask_model());
	(void)target_get(&request);
	g_free(request);
	world_close();

	world_open(1, make_config(SV_STREAM, 2, 3000));
	target_say(&w.target[0], false, 1);
	name_version(250);
	expect_answer(ask_model(), "503 ");
	assert_false(target_is_called());
}

/*
 * Version 2 is due in 1.5 s. Pieces of it fill the link of one engine, so that
 * a request takes a second to it and the closing of its connection another: it
 * would be begun on version 1 when that is withdrawn. So it goes elsewhere.
 */
static void
test_no_older_weights_behind_a_slow_link(void **state)
{
	char *request;
	struct target *t;

	world_open(1, make_config(SV_STREAM, 2, 3000));
	target_say(&w.target[0], false, 1);
	tgt_find(w.set, "i0")->slow_link = true;
	name_version(1500);
	expect_answer(ask_model(), "503 ");
	assert_false(target_is_called());
	world_close();

	world_open(2, make_config(SV_STREAM, 2, 3000));
	target_say(&w.target[0], false, 1);
	target_say(&w.target[1], false, 1);
	tgt_find(w.set, "i0")->slow_link = true;
	name_version(1500);
	close(ask_model());
	t = target_get(&request);
	g_free(request);
	assert_ptr_equal(t, &w.target[1]);
}

/* The same when the link is so full that the words of the engine's side are lost,
 * and with them that it is slow. */
static void
test_no_older_weights_while_the_side_is_silent(void **state)
{
	struct tgt *t;

	world_open(1, make_config(SV_STREAM, 2, 3000));
	target_say(&w.target[0], false, 1);
	t = tgt_find(w.set, "i0");
	tgt_side_heard(t, 1, now_us() - 1200000);
	name_version(1500);
	expect_answer(ask_model(), "503 ");
	assert_false(target_is_called());
	/* It is back under its id, and its side was not heard yet. */
	tgt_removed(w.set, "i0", false, now_us());
	target_say(&w.target[0], false, 1);
	expect_answer(ask_model(), "503 ");
	assert_false(target_is_called());
}

/* One that was sent there in time and has not begun is taken back so early that
 * the close arrives before the weights are withdrawn. */
static void
test_withdrawn_early_over_a_slow_link(void **state)
{
	char *request;
	struct target *t;
	struct sv_config *config = make_config(SV_STREAM, 2, 3000);
	int64_t sent_us;
	int fd;

	config->routes[0].objective_us = 1000000; /* it is not silent so soon */
	world_open(1, config);
	target_say(&w.target[0], false, 1);
	tgt_find(w.set, "i0")->slow_link = true;
	name_version(1900);
	sent_us = now_us();
	fd = ask_model();
	t = target_get(&request);
	g_free(request);
	assert_true(target_is_left(t));
	assert_in_range(now_us() - sent_us, 700000, 1100000);
	expect_answer(fd, "502 ");
}

/* Guards against a stream that is resumed, waits in the queue of an engine
 * until its weights are withdrawn, and is begun on them. */
static void
test_resumed_stream_is_withdrawn_before_its_weights_are_due(void **state)
{
	char *request;
	struct target *t;
	int64_t due_us;
	int fd;

	world_open(2, make_config(SV_STREAM, 2, 4000));
	target_say(&w.target[0], false, 1);
	target_say(&w.target[1], false, 1);
	name_version(1600);
	due_us = now_us() + 1600000;
	fd = ask_model();
	t = target_get(&request);
	g_free(request);
	raw_send(t->fd, STREAM EVENT("1"));
	turn_ms(10);
	shutdown(t->fd, SHUT_RDWR);
	t = target_get(&request);
	assert_non_null(strstr(request, "T-Last: 1\r\n"));
	g_free(request);
	assert_true(target_is_left(t));
	assert_in_range(due_us - now_us(), 30000, 200000);
	request = raw_read(fd, NULL); /* visibly broken off */
	assert_non_null(strstr(request, "id: 1"));
	assert_null(strstr(request, "0\r\n\r\n"));
	g_free(request);
	close(fd);
}

/* Guards against the same of a request's last attempt. */
static void
test_last_attempt_is_withdrawn_before_its_weights_are_due(void **state)
{
	char *request;
	struct target *t;
	int64_t due_us;
	int fd;

	world_open(1, make_config(SV_STREAM, 1, 4000));
	target_say(&w.target[0], false, 1);
	name_version(1500);
	due_us = now_us() + 1500000;
	fd = ask_model();
	t = target_get(&request);
	g_free(request);
	assert_true(target_is_left(t));
	assert_in_range(due_us - now_us(), 30000, 200000);
	expect_answer(fd, "502 ");
}

/* Guards against a cancel that is longer on its way to another region than the
 * weights have left. */
static void
test_withdrawn_earlier_from_another_region(void **state)
{
	char *request;
	struct target *t;
	struct sv_config *config = make_config(SV_STREAM, 2, 4000);
	int64_t due_us;
	int fd;

	config->routes[0].objective_us = 1000000; /* it is not silent so soon */
	world_open(1, config);
	target_say(&w.target[0], false, 1);
	tgt_find(w.set, "i0")->near = false;
	name_version(900);
	due_us = now_us() + 900000;
	fd = ask_model();
	t = target_get(&request);
	g_free(request);
	assert_true(target_is_left(t));
	assert_in_range(due_us - now_us(), 350000, 500000);
	close(fd);
	world_close();

	world_open(1, make_config(SV_STREAM, 2, 3000));
	target_say(&w.target[0], false, 1);
	tgt_find(w.set, "i0")->near = false;
	name_version(550);
	expect_answer(ask_model(), "503 ");
	assert_false(target_is_called());
}

/* ------------------------------------------------------------------ */
/* Requests under which targets end                                    */
/* ------------------------------------------------------------------ */

/* The process of the target that a request went to ends under it. */
static struct target *
end_under_request(void)
{
	char *request;
	struct target *t = target_get(&request);

	g_free(request);
	shutdown(t->fd, SHUT_RDWR);
	turn_ms(5);
	return t;
}

static int
ask_path(const char *path)
{
	return ask_with("GET", path, "T-Deadline: 3000\r\n");
}

/* Others tell that so many targets ended under the request for /x/1. */
static void
told_of_ends(uint64_t n)
{
	struct sus_termination end = { .weight = SUS_SILENT };

	end.fingerprint = fpr_of(&(struct fpr_content){ .host = "a.example",
	    .target = { "/x/1", 4 },
	    .workspace = "team" });
	for (end.target = 1; end.target <= n; end.target++) {
		end.at_us = now_us();
		fwd_report_termination(w.fwd, &end);
	}
}

/* Guards against a request that ends one target after the other: it is not
 * sent a third time, and refused at once when it comes again. */
static void
test_held_after_two_targets_ended(void **state)
{
	char *request, *answer;
	struct target *t;
	int fd;

	world_open(3, make_config(SV_STREAM, 3, 3000));
	fd = ask_path("/x/1");
	t = end_under_request();
	fwd_target_terminated(w.fwd, tgt_find(w.set, t->id));
	t = end_under_request();
	expect_answer(fd, "502 ");
	fwd_target_terminated(w.fwd, tgt_find(w.set, t->id));
	fd = ask_path("/x/1");
	answer = raw_read(fd, "\r\n\r\n");
	assert_non_null(strstr(answer, "503 "));
	/* Not before its next chance. */
	assert_in_range(
	    atoi(strstr(answer, "Retry-After: ") + strlen("Retry-After: ")), 9,
	    20);
	g_free(answer);
	close(fd);
	assert_false(target_is_called());
	fd = ask_path("/x/2"); /* another request */
	t = target_get(&request);
	g_free(request);
	raw_send(t->fd, STREAM EVENT("1") "0\r\n\r\n");
	expect_answer(fd, "0\r\n\r\n");
}

/* Guards against copies that are under way elsewhere when it becomes known
 * what they do. */
static void
test_copies_under_way_are_withdrawn(void **state)
{
	char *request;
	struct target *t;
	int fd, other;

	world_open(1, make_config(SV_STREAM, 2, 3000));
	fd = ask_path("/x/1");
	t = target_get(&request);
	g_free(request);
	told_of_ends(2);
	assert_true(target_is_left(t));
	expect_answer(fd, "502 "); /* it may have run */
	other = ask_path("/x/2");
	t = target_get(&request);
	g_free(request);
	close(t->fd);
	t->fd = -1;
	close(other);
}

/* A copy whose answer has begun goes on: it may come whole and clear it. */
static void
test_whole_answer_ends_the_hold(void **state)
{
	char *request;
	struct target *t;
	int fd;

	world_open(1, make_config(SV_STREAM, 2, 3000));
	fd = ask_path("/x/1");
	t = target_get(&request);
	g_free(request);
	raw_send(t->fd, STREAM EVENT("1"));
	turn_ms(10);
	told_of_ends(2);
	expect_answer(ask_path("/x/1"), "503 ");
	raw_send(t->fd, EVENT("2") "0\r\n\r\n");
	expect_answer(fd, "0\r\n\r\n");
	fd = ask_path("/x/1");
	request = raw_read(t->fd, "\r\n\r\n"); /* on the kept connection */
	assert_non_null(request);
	g_free(request);
	raw_send(t->fd, STREAM EVENT("1") "0\r\n\r\n");
	expect_answer(fd, "0\r\n\r\n");
}

/* Guards against holding what planned stops and loads of weights cut. */
static void
test_cuts_by_planned_work_say_nothing(void **state)
{
	struct target *t;
	struct tgt *target;
	int fd, i;

	world_open(3, make_config(SV_STREAM, 3, 3000));
	/* One end more would hold it. */
	told_of_ends(1);
	fd = ask_path("/x/1");
	for (i = 0; i < 3; i++) {
		char *request;

		t = target_get(&request);
		g_free(request);
		target = tgt_ref(tgt_find(w.set, t->id));
		if (i == 0)
			target_say(t, true, 0);
		else if (i == 1)
			tgt_side(target, true, now_us());
		else
			tgt_removed(w.set, t->id, false, now_us());
		shutdown(t->fd, SHUT_RDWR);
		turn_ms(5);
		fwd_target_terminated(w.fwd, target);
		tgt_unref(target);
	}
	expect_answer(fd, "502 ");
	for (i = 0; i < 3; i++) {
		target_say(&w.target[i], false, 0);
		tgt_side(tgt_find(w.set, w.target[i].id), false, now_us());
		tgt_find(w.set, w.target[i].id)->failures = 0;
	}
	fd = ask_path("/x/1");
	assert_true(target_is_called());
	close(fd);
}

int
main(void)
{
#define T(f) cmocka_unit_test_teardown(f, tear_down)
	const struct CMUnitTest tests[] = {
		T(test_what_a_target_gets),
		T(test_no_settings_no_route_no_key),
		T(test_answer_to_another_request),
		T(test_answers_that_are_no_success),
		T(test_failure_is_passed_on_as_it_is),
		T(test_refusal_goes_elsewhere),
		T(test_refused_by_all),
		T(test_reset_is_repeated_when_it_may_be),
		T(test_timeout),
		T(test_caller_leaves),
		T(test_stream_goes_on_elsewhere),
		T(test_cut_stream_waits_longer),
		T(test_stream_that_cannot_go_on),
		T(test_silent_stream),
		T(test_waiting_for_a_place),
		T(test_one_look_for_all_that_wait),
		T(test_refused_for_want_of_a_place),
		T(test_new_callers_before_those_that_come_back),
		T(test_places_are_kept_only_while_they_are_short),
		T(test_callers_that_always_bring_less_time),
		T(test_leaving_and_empty_targets),
		T(test_queued_request_is_withdrawn_before_its_weights_are_due),
		T(test_begun_request_stays_when_its_weights_become_due),
		T(test_who_may_still_go_to_older_weights),
		T(test_no_older_weights_behind_a_slow_link),
		T(test_no_older_weights_while_the_side_is_silent),
		T(test_withdrawn_early_over_a_slow_link),
		T(test_resumed_stream_is_withdrawn_before_its_weights_are_due),
		T(test_last_attempt_is_withdrawn_before_its_weights_are_due),
		T(test_withdrawn_earlier_from_another_region),
		T(test_held_after_two_targets_ended),
		T(test_copies_under_way_are_withdrawn),
		T(test_whole_answer_ends_the_hold),
		T(test_cuts_by_planned_work_say_nothing),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
