/* Requests through the forwarder, with targets that misbehave. */

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
/* Plain requests                                                      */
/* ------------------------------------------------------------------ */

/* The caller's own headers are forwarded, the gateway's headers are set
 * whatever the caller sent, and the key is not forwarded. */
static void
test_what_a_target_gets(void **state)
{
	char *request, *deadline;
	struct target *t;
	int fd;

	world_open(1, make_config(SV_UNSAFE, 1, 2000));
	fd = send_request("POST", "/x/1?q=2",
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
	deadline = strstr(request, "T-Deadline: ");
	assert_non_null(deadline);
	assert_in_range(atoi(deadline + strlen("T-Deadline: ")), 1, 900);
	assert_null(strstr(request, "secret"));
	assert_null(strstr(request, "forged"));
	assert_null(strstr(request, "X-Hop"));
	assert_null(strstr(request, "chunked"));
	g_free(request);
	raw_send(t->fd, ANSWER);
	expect_answer(fd, "\r\n\r\nok");
}

static void
test_no_settings_no_route_no_key(void **state)
{
	int fd;

	world_open(1, NULL);
	expect_answer(send_get(), "503 ");
	fwd_set_routes(w.fwd, rtab_new(make_config(SV_SAFE, 2, 2000)));
	expect_answer(send_request("GET", "/y/1", ""), "404 ");
	fd = raw_dial(w.address);
	raw_send(fd,
	    "GET /x/1 HTTP/1.1\r\nHost: a.example\r\n"
	    "T-Key: Bearer wrong\r\n\r\n");
	expect_answer(fd, "401 ");
	assert_false(target_is_called());
}

/* ------------------------------------------------------------------ */
/* Mismatched and unusable answers                                     */
/* ------------------------------------------------------------------ */

/*
 * A target answers an earlier request late, on the connection of this one. The
 * caller must get the answer to its own request.
 */
static void
test_answer_to_another_request(void **state)
{
	char *request;
	struct target *t;
	int fd;

	world_open(1, make_config(SV_UNSAFE, 1, 2000));
	fd = send_get();
	t = target_get(&request);
	g_free(request);
	raw_send(t->fd,
	    "HTTP/1.1 200 OK\r\nT-Id: q0\r\nT-Seal: s\r\n"
	    "Content-Length: 5\r\n\r\nother" ANSWER);
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
	fd = send_get();
	t = target_get(&request);
	g_free(request);
	raw_send(t->fd, answer);
	shutdown(t->fd, SHUT_RDWR);
	expect_answer(fd, "502 ");
	assert_false(target_is_called());
	world_close();
}

/* A success without the seal or the request id, or one that is encoded or
 * truncated, is not relayed. The caller gets 502 and not 503, as the request
 * may have run. */
static void
test_unusable_answers(void **state)
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
	/* 503 without the not-run header does not prove that it did not run. */
	expect_bad_gateway("HTTP/1.1 503 Busy\r\nT-Id: q1\r\nT-Seal: s\r\n"
			   "Content-Length: 0\r\n\r\n");
	world_open(1, NULL);
}

static void
test_failure_is_relayed_unchanged(void **state)
{
	char *request;
	struct target *t;
	int fd;

	world_open(1, make_config(SV_UNSAFE, 1, 2000));
	fd = send_get();
	t = target_get(&request);
	g_free(request);
	raw_send(t->fd,
	    "HTTP/1.1 500 Oops\r\nT-Id: q1\r\nT-Seal: s5\r\n"
	    "Content-Length: 3\r\n\r\nbad");
	expect_answer(fd, "T-Seal: s5\r\nContent-Length: 3\r\n\r\nbad");
}

/* ------------------------------------------------------------------ */
/* Retries at another target                                           */
/* ------------------------------------------------------------------ */

/* A refused request did not run: it is sent elsewhere, repeatable or not. */
static void
test_refused_request_is_sent_elsewhere(void **state)
{
	char *request;
	struct target *first, *second;
	int fd;

	world_open(2, make_config(SV_UNSAFE, 1, 2000));
	fd = send_get();
	first = target_get(&request);
	g_free(request);
	raw_send(first->fd,
	    "HTTP/1.1 503 Full\r\nT-Not-Run: 1\r\n"
	    "Content-Length: 0\r\n\r\n");
	second = target_get(&request);
	g_free(request);
	assert_ptr_not_equal(first, second);
	raw_send(second->fd, ANSWER);
	expect_answer(fd, "\r\n\r\nok");
}

/* All targets refuse: the caller is told that the request did not run, and when
 * to retry. */
static void
test_refused_by_all(void **state)
{
	char *request, *answer;
	struct target *t;
	int fd, i;

	world_open(2, make_config(SV_UNSAFE, 1, 2000));
	fd = send_get();
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

/* The connection is reset after the request was sent. A repeatable request is
 * sent elsewhere; test_unusable_answers has the other kind. */
static void
test_reset_is_retried_if_repeatable(void **state)
{
	char *request;
	struct target *t;
	int fd;

	world_open(2, make_config(SV_SAFE, 2, 2000));
	fd = send_get();
	t = target_get(&request);
	g_free(request);
	shutdown(t->fd, SHUT_RDWR);
	t = target_get(&request);
	g_free(request);
	raw_send(t->fd, ANSWER);
	expect_answer(fd, "\r\n\r\nok");
}

/* The route's timeout expires: the caller is answered at that time, and the
 * call to the target is cancelled. */
static void
test_timeout(void **state)
{
	char *request;
	struct target *t;
	int64_t started_us = now_us();
	int fd;

	world_open(1, make_config(SV_UNSAFE, 1, 150));
	fd = send_get();
	t = target_get(&request);
	g_free(request);
	expect_answer(fd, "504 ");
	assert_in_range(now_us() - started_us, 150000, 10000000);
	assert_true(target_is_disconnected(t));
}

/* A target sends the first half of its answer, and the process is held up beyond
 * the timeout. */
static struct target *
hold_up_within_an_answer(int *fd)
{
	struct target *t;

	world_open(1, make_config(SV_UNSAFE, 1, 150));
	*fd = send_get();
	t = target_next();
	raw_send(t->fd, GOOD "Content-Length: 2\r\n\r\no");
	g_usleep(500 * 1000);
	return t;
}

/* Guards against a timeout that ends an answer whose rest arrives, which the
 * target could not send while this process was held up. */
static void
test_rest_of_an_answer_after_a_hold_up(void **state)
{
	int fd;
	struct target *t = hold_up_within_an_answer(&fd);

	run_ms(3 * CLK_READ_MS);
	raw_send(t->fd, "k");
	expect_answer(fd, "\r\n\r\nok");
}

/* The rest never arrives: the timeout holds. */
static void
test_timeout_within_an_answer(void **state)
{
	int fd;

	hold_up_within_an_answer(&fd);
	expect_answer(fd, "504 ");
}

/* Guards against ending callers' connections without a byte when the process
 * exits: the one whose request was not sent learns that it did not run. */
static void
test_process_exits(void **state)
{
	int running[3], waiting, i;
	char *request;

	world_open(1, make_config(SV_UNSAFE, 1, 2000));
	for (i = 0; i < 3; i++) { /* two slots and one beyond */
		running[i] = send_get();
		target_get(&request);
		g_free(request);
	}
	waiting = send_get();
	assert_int_equal(fwd_waiting(w.fwd), 1);
	fwd_end_all(w.fwd);
	assert_int_equal(fwd_active(w.fwd), 0);
	expect_answer(waiting, "503 ");
	for (i = 0; i < 3; i++)
		expect_answer(running[i], "502 ");
}

/* A caller disconnects: the call to its target must be cancelled. */
static void
test_caller_disconnects(void **state)
{
	char *request;
	struct target *t;
	int fd;

	world_open(1, make_config(SV_UNSAFE, 1, 2000));
	fd = send_get();
	t = target_get(&request);
	g_free(request);
	close(fd);
	assert_true(target_is_disconnected(t));
	assert_int_equal(fwd_active(w.fwd), 0);
}

/* ------------------------------------------------------------------ */
/* Streams                                                             */
/* ------------------------------------------------------------------ */

/*
 * A target terminates in the middle of an event. The caller must see each event
 * once, complete and in order: an incomplete event is not relayed, and the
 * stream is resumed at another target after the last relayed event.
 */
static void
test_stream_is_resumed_elsewhere(void **state)
{
	char *request, *answer;
	struct target *t;
	int fd;

	world_open(2, make_config(SV_STREAM, 2, 3000));
	fd = send_get();
	t = target_get(&request);
	g_free(request);
	raw_send(t->fd, STREAM EVENT("1") EVENT("2") "9\r\nid: 3\ndat\r\n");
	run_ms(10);
	shutdown(t->fd, SHUT_RDWR);
	t = target_get(&request);
	assert_non_null(strstr(request, "T-Last: 2\r\n"));
	g_free(request);
	/* An event that was relayed already is dropped. */
	raw_send(t->fd, STREAM EVENT("2") EVENT("3") "0\r\n\r\n");
	answer = raw_read(fd, "0\r\n\r\n");
	assert_non_null(
	    strstr(answer, EVENT("1") EVENT("2") EVENT("3") "0\r\n\r\n"));
	g_free(answer);
	close(fd);
}

/* Guards against streams whose lines end with CRLF, or which carry comments,
 * being held back until they end. */
static void
test_events_are_relayed_as_they_arrive(void **state)
{
	static const char *const blocks[] = { ": hello\n",
		"id: 1\r\ndata: a\r\n\r\n", "id: 2\ndata: b\n\n" };
	char *request, *answer;
	struct target *t;
	size_t i;
	int fd;

	world_open(2, make_config(SV_STREAM, 2, 3000));
	fd = send_get();
	t = target_get(&request);
	g_free(request);
	raw_send(t->fd, STREAM);
	for (i = 0; i < G_N_ELEMENTS(blocks); i++) {
		char *chunk = g_strdup_printf(
		    "%zx\r\n%s\r\n", strlen(blocks[i]), blocks[i]);

		raw_send(t->fd, chunk);
		answer = raw_read(fd, chunk);
		assert_non_null(strstr(answer, chunk));
		g_free(answer);
		g_free(chunk);
	}
	raw_send(t->fd, "5\r\nid: 3\r\n");
	run_ms(10);
	shutdown(t->fd, SHUT_RDWR);
	t = target_get(&request);
	assert_non_null(strstr(request, "T-Last: 2\r\n"));
	g_free(request);
	raw_send(t->fd, STREAM "0\r\n\r\n");
	expect_answer(fd, "0\r\n\r\n");
	assert_int_equal(ctr_read(w.counters, "streams_resumed"), 1);
}

/*
 * A stream is cut off midway while the only other target accepts nothing. A new
 * request would be refused after a short wait; the stream, whose caller has
 * half an answer, waits longer and gets a slot that becomes free later.
 */
static void
test_cut_stream_waits_longer(void **state)
{
	char *request, *answer;
	struct target *t;
	int fd;

	world_open(2, make_config(SV_STREAM, 2, 3000));
	fd = send_get();
	t = target_get(&request);
	g_free(request);
	raw_send(t->fd, STREAM EVENT("1"));
	run_ms(10);
	target_announce(&w.target[t == &w.target[0]], true, 0); /* leaving */
	shutdown(t->fd, SHUT_RDWR);
	run_ms(400); /* a new request waits at most 30 ms for a slot */
	assert_int_equal(fwd_waiting(w.fwd), 1);
	target_announce(&w.target[t == &w.target[0]], false, 0);
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

/* No target can resume it: the stream ends visibly truncated. */
static void
test_stream_that_cannot_be_resumed(void **state)
{
	char *request, *answer;
	struct target *t;
	int fd;

	world_open(1, make_config(SV_STREAM, 2, 3000));
	fd = send_get();
	t = target_get(&request);
	g_free(request);
	raw_send(t->fd, STREAM EVENT("1"));
	run_ms(10);
	shutdown(t->fd, SHUT_RDWR);
	answer = raw_read(fd, NULL);
	assert_non_null(strstr(answer, EVENT("1")));
	assert_null(strstr(answer, "0\r\n\r\n"));
	g_free(answer);
	close(fd);
}

/* A stream whose target stalls is resumed at another target while the caller is
 * still waiting. */
static void
test_stalled_stream(void **state)
{
	char *request, *answer;
	struct target *t;
	int fd;

	world_open(2, make_config(SV_STREAM, 2, 3000));
	fd = send_get();
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
/* Slots                                                               */
/* ------------------------------------------------------------------ */

/* Sends a request that takes a slot; `busy` is the target's connection. */
static int
take_slot(const char *headers, int *busy)
{
	int fd = send_request("GET", "/x/1", headers);
	char *request = NULL;

	*busy = target_get(&request)->fd;
	g_free(request);
	return fd;
}

/* A target is full: a queued request gets the slot that becomes free. */
static void
test_waiting_for_a_slot(void **state)
{
	int fd[4], busy[3], i;

	world_open(1, make_config(SV_UNSAFE, 1, 2000));
	for (i = 0; i < 3; i++) /* two slots and one beyond */
		fd[i] = take_slot("T-Deadline: 3000\r\n", &busy[i]);
	fd[3] = send_get();
	assert_int_equal(fwd_waiting(w.fwd), 1);
	raw_send(busy[0], ANSWER);
	expect_answer(fd[0], "\r\n\r\nok");
	run_ms(10);
	assert_int_equal(fwd_waiting(w.fwd), 0);
	for (i = 1; i < 3; i++)
		close(busy[i]);
	for (i = 1; i < 4; i++)
		close(fd[i]);
}

/*
 * All targets are full, many requests are queued, and the sidecars send
 * hundreds of reports a second. If each report caused a scan over all targets
 * for each queued request, a gateway with 200 engines would have no time left
 * for requests that have a slot. One scan holds for all requests of a kind.
 */
static void
test_one_scan_for_all_queued_requests(void **state)
{
	enum {
		WAITING = 6
	};
	int fd[3 + WAITING], busy[3], i;
	int64_t before;
	struct sv_config *config = make_config(SV_UNSAFE, 1, 3000);

	config->routes[0].objective_us = 3000000; /* they may wait long */
	world_open(1, config);
	for (i = 0; i < 3; i++)
		fd[i] = take_slot("T-Deadline: 3000\r\n", &busy[i]);
	for (i = 3; i < 3 + WAITING; i++)
		fd[i] = send_get();
	assert_int_equal(fwd_waiting(w.fwd), WAITING);
	before = ctr_read(w.counters, "target_choices");
	fwd_pump(w.fwd);
	run_ms(1);
	assert_int_equal(ctr_read(w.counters, "target_choices") - before, 1);
	raw_send(busy[0], ANSWER);
	expect_answer(fd[0], "\r\n\r\nok");
	run_ms(10);
	assert_int_equal(fwd_waiting(w.fwd), WAITING - 1);
	for (i = 1; i < 3; i++)
		close(busy[i]);
	for (i = 1; i < 3 + WAITING; i++)
		close(fd[i]);
}

/* No slot becomes free within a share of the objective: the request is refused
 * early with a Retry-After, not queued until the caller gives up. */
static void
test_refused_without_a_free_slot(void **state)
{
	char *answer;
	int fd[4], busy[3], i;
	int64_t started_us;

	world_open(1, make_config(SV_UNSAFE, 1, 2000));
	for (i = 0; i < 3; i++)
		fd[i] = take_slot("T-Deadline: 3000\r\n", &busy[i]);
	started_us = now_us();
	fd[3] = send_get();
	answer = raw_read(fd[3], "\r\n\r\n");
	assert_non_null(strstr(answer, "503 "));
	assert_non_null(strstr(answer, "Retry-After: "));
	assert_true(now_us() - started_us < 1500000);
	g_free(answer);
	for (i = 0; i < 3; i++)
		close(busy[i]);
	for (i = 0; i < 4; i++)
		close(fd[i]);
}

#define RETRY_DEADLINE "T-Deadline: 1200\r\n" /* of the route's 2000 ms */

/*
 * In a lasting overload, refused callers retry and take the slots of new ones,
 * so that both are late. A slot stays reserved for new callers, and a client
 * retry is refused at once with a Retry-After beyond the burst.
 */
static void
test_new_callers_before_client_retries(void **state)
{
	char *answer;
	int fd[5], busy[3], i;

	world_open(1, make_config(SV_UNSAFE, 1, 2000));
	for (i = 0; i < 3; i++) /* two slots and one beyond */
		fd[i] = take_slot("T-Deadline: 3000\r\n", &busy[i]);
	/* A new caller finds all slots taken and is refused. */
	fd[3] = send_get();
	answer = raw_read(fd[3], "\r\n\r\n");
	assert_non_null(strstr(answer, "503 "));
	g_free(answer);
	raw_send(busy[2], ANSWER); /* one slot becomes free */
	expect_answer(fd[2], "\r\n\r\nok");
	fd[2] = send_request("GET", "/x/1", RETRY_DEADLINE);
	answer = raw_read(fd[2], "\r\n\r\n");
	assert_non_null(strstr(answer, "503 "));
	assert_true(
	    g_ascii_strtod(strstr(answer, "Retry-After: ") + 13, NULL) >= 0.9);
	g_free(answer);
	fd[4] = send_get();
	run_ms(30);
	assert_int_equal(fwd_waiting(w.fwd), 0); /* on the idle connection */
	for (i = 0; i < 3; i++)
		close(busy[i]);
	for (i = 0; i < 5; i++)
		close(fd[i]);
}

/* While new callers find slots, client retries may take the last one. */
static void
test_slots_are_reserved_only_while_full(void **state)
{
	int fd[3], busy[3], i;

	world_open(1, make_config(SV_UNSAFE, 1, 2000));
	for (i = 0; i < 3; i++)
		fd[i] = take_slot(i < 2 ? "" : RETRY_DEADLINE, &busy[i]);
	for (i = 0; i < 3; i++) {
		close(busy[i]);
		close(fd[i]);
	}
}

/* Where all callers set less time than their route allows, that does not mark
 * them as client retries: no slots are reserved. */
static void
test_callers_that_always_set_less_time(void **state)
{
	int fd, i, busy[3], callers[3];

	world_open(1, make_config(SV_UNSAFE, 1, 2000));
	for (i = 0; i < 100; i++) {
		fd = take_slot(RETRY_DEADLINE, &busy[0]);
		raw_send(busy[0],
		    GOOD "Connection: close\r\n"
			 "Content-Length: 2\r\n\r\nok");
		expect_answer(fd, "\r\n\r\nok");
		close(busy[0]);
	}
	for (i = 0; i < 3; i++)
		callers[i] = take_slot(RETRY_DEADLINE, &busy[i]);
	for (i = 0; i < 3; i++) {
		close(busy[i]);
		close(callers[i]);
	}
}

/* A target that is leaving, or that lacks the model, gets no requests. */
static void
test_leaving_targets_and_targets_without_model(void **state)
{
	world_open(2, make_config(SV_UNSAFE, 1, 2000));
	target_announce(&w.target[0], true, 0);
	tgt_find(w.set, "i1")->record.has_models = true;
	expect_answer(
	    send_request("GET", "/x/1", "T-Model: " MODEL "\r\n"), "503 ");
	assert_false(target_is_called());
}

/* ------------------------------------------------------------------ */
/* Weights that are about to expire                                    */
/* ------------------------------------------------------------------ */

/* Announces version 2 so that its deadline is in `left_ms`. */
static void
announce_version(int64_t left_ms)
{
	struct sv_version announced = { .model = MODEL, .version = 2 };
	int64_t deadline_us = now_us() + left_ms * 1000;

	vers_announced(
	    w.versions, &announced, false, deadline_us - 2 * G_USEC_PER_SEC);
}

static int
send_model_request(void)
{
	return send_request(
	    "GET", "/x/1", "T-Deadline: 3000\r\nT-Model: m\r\n");
}

/*
 * A stream is queued at an engine with version 1, half a second before the
 * deadline of version 2. If it stayed there it would run on weights that the
 * operators have withdrawn. It must be recalled before the deadline and
 * answered by an engine with version 2.
 */
static void
test_queued_request_is_recalled_before_its_weights_expire(void **state)
{
	char *request;
	struct target *old, *fresh;
	int64_t deadline_us;
	int fd;

	world_open(2, make_config(SV_STREAM, 2, 3000));
	target_announce(&w.target[0], false, 1);
	announce_version(500);
	deadline_us = now_us() + 500000;
	target_announce(&w.target[1], true, 2); /* accepts nothing yet */
	fd = send_model_request();
	old = target_get(&request);
	g_free(request);
	assert_ptr_equal(old, &w.target[0]);
	target_announce(&w.target[1], false, 2);
	assert_true(target_is_disconnected(old));
	assert_true(now_us() < deadline_us);
	fresh = target_get(&request);
	g_free(request);
	assert_ptr_equal(fresh, &w.target[1]);
	raw_send(fresh->fd, STREAM EVENT("1") "0\r\n\r\n");
	expect_answer(fd, "id: 1");
}

/* The same, but the engine has begun to answer in time: it is not recalled. */
static void
test_begun_request_stays_when_its_weights_expire(void **state)
{
	char *request;
	struct target *t;
	int fd;

	world_open(1, make_config(SV_STREAM, 2, 3000));
	target_announce(&w.target[0], false, 1);
	announce_version(400);
	fd = send_model_request();
	t = target_get(&request);
	g_free(request);
	raw_send(t->fd, STREAM EVENT("1"));
	run_ms(200);
	raw_send(t->fd, EVENT("2"));
	run_ms(250);
	raw_send(t->fd, EVENT("3") "0\r\n\r\n");
	expect_answer(fd, "id: 3");
}

/*
 * Guards against answers from corrupt weights: an order to load that was given up
 * may take effect at any time, after which the engine must refuse the request.
 */
static void
test_version_is_expected_while_an_order_is_in_doubt(void **state)
{
	char *request;
	bool uncertain;

	for (uncertain = false;; uncertain = true) {
		world_open(1, make_config(SV_STREAM, 1, 3000));
		target_announce(&w.target[0], false, 1);
		tgt_find(w.set, "i0")->uncertain = uncertain;
		close(send_model_request());
		(void)target_get(&request);
		assert_int_equal(
		    strstr(request, "T-Expect-Version: 1\r\n") != NULL,
		    uncertain);
		g_free(request);
		if (uncertain)
			break;
		world_close();
	}
}

/*
 * Guards against an engine that stays out of service: it refused a request for the
 * version that it had before, and its record, which names the new one already,
 * does not change again.
 */
static void
test_refused_version_ends_with_the_next_report(void **state)
{
	struct side_report r = { .version = 1, .uncertain = 1 };
	struct tgt *t;
	struct target *engine;
	char *request;
	int fd;

	world_open(1, make_config(SV_STREAM, 1, 3000));
	target_announce(&w.target[0], false, 1);
	t = tgt_find(w.set, "i0");
	g_strlcpy(
	    t->service->engine.model, MODEL, sizeof(t->service->engine.model));
	tgt_side_reported(t, 1, now_us());
	tgt_side_version(t, &r);
	target_announce(&w.target[0], false, 2);
	fd = send_model_request();
	engine = target_get(&request);
	assert_non_null(strstr(request, "T-Expect-Version: 1\r\n"));
	g_free(request);
	raw_send(engine->fd,
	    "HTTP/1.1 421 Other\r\nT-Instance: i0\r\n"
	    "Content-Length: 0\r\n\r\n");
	run_ms(50);
	close(fd);
	r = (struct side_report){ .version = 2 };
	tgt_side_reported(t, 2, now_us());
	tgt_side_version(t, &r);
	assert_int_equal(t->version, 2);
	assert_false(t->leaving);
}

/*
 * The deadline of version 2 is in 0.7 s. A request that is not repeatable
 * cannot be recalled from an engine's queue, in which waits of 1.1 s were
 * observed, so it is not sent to version 1. A repeatable one still is, but none
 * is in the last 0.3 s.
 */
static void
test_which_requests_may_use_older_weights(void **state)
{
	char *request;

	world_open(1, make_config(SV_UNSAFE, 1, 3000));
	target_announce(&w.target[0], false, 1);
	announce_version(700);
	expect_answer(send_model_request(), "503 ");
	assert_false(target_is_called());
	world_close();

	world_open(1, make_config(SV_STREAM, 2, 3000));
	target_announce(&w.target[0], false, 1);
	announce_version(700);
	close(send_model_request());
	(void)target_get(&request);
	g_free(request);
	world_close();

	world_open(1, make_config(SV_STREAM, 2, 3000));
	target_announce(&w.target[0], false, 1);
	announce_version(250);
	expect_answer(send_model_request(), "503 ");
	assert_false(target_is_called());
}

/*
 * The deadline of version 2 is in 1.5 s. Its chunks fill the link of one
 * engine, so that a request takes a second to arrive there and the close of its
 * connection another second: it would be begun on version 1 after that is
 * withdrawn. So it is sent elsewhere.
 */
static void
test_no_older_weights_behind_a_slow_link(void **state)
{
	char *request;
	struct target *t;

	world_open(1, make_config(SV_STREAM, 2, 3000));
	target_announce(&w.target[0], false, 1);
	tgt_find(w.set, "i0")->slow_link = true;
	announce_version(1500);
	expect_answer(send_model_request(), "503 ");
	assert_false(target_is_called());
	world_close();

	world_open(2, make_config(SV_STREAM, 2, 3000));
	target_announce(&w.target[0], false, 1);
	target_announce(&w.target[1], false, 1);
	tgt_find(w.set, "i0")->slow_link = true;
	announce_version(1500);
	close(send_model_request());
	t = target_get(&request);
	g_free(request);
	assert_ptr_equal(t, &w.target[1]);
}

/* The same when the link is so full that the status reports of the engine's
 * sidecar are lost, which would say that the link is slow. */
static void
test_no_older_weights_without_status_reports(void **state)
{
	struct tgt *t;

	world_open(1, make_config(SV_STREAM, 2, 3000));
	target_announce(&w.target[0], false, 1);
	t = tgt_find(w.set, "i0");
	tgt_side_reported(t, 1, now_us() - 1200000);
	announce_version(1500);
	expect_answer(send_model_request(), "503 ");
	assert_false(target_is_called());
	/* It restarted under its id, and its sidecar has not reported yet. */
	tgt_removed(w.set, "i0", false, now_us());
	target_announce(&w.target[0], false, 1);
	expect_answer(send_model_request(), "503 ");
	assert_false(target_is_called());
}

/* The time left until the deadline, at a recall: more by as much as the gateway
 * has been late before. */
static void
expect_time_left(int64_t deadline_us, int64_t least_us, int64_t most_us)
{
	assert_in_range(deadline_us - now_us(), least_us,
	    most_us + MIN(evl_late(w.loop).us, G_USEC_PER_SEC));
}

/* Opens a world with one target, which has version 1, and in which no stall
 * timeout comes before a recall. */
static struct tgt *
open_for_recall(int64_t timeout_ms)
{
	struct sv_config *config = make_config(SV_STREAM, 2, timeout_ms);

	config->routes[0].objective_us = 1000000;
	world_open(1, config);
	target_announce(&w.target[0], false, 1);
	return tgt_find(w.set, "i0");
}

/* Sends a request for the model; returns the target that it reaches. */
static struct target *
send_to_model(int *caller_out)
{
	struct target *t;
	char *request;

	*caller_out = send_model_request();
	t = target_get(&request);
	g_free(request);
	return t;
}

/* A request that was sent over a slow link in time and has not begun is
 * recalled so early that the close arrives before the weights are withdrawn. */
static void
test_recalled_early_over_a_slow_link(void **state)
{
	struct target *t;
	int64_t sent_us;
	int fd;

	open_for_recall(3000)->slow_link = true;
	announce_version(2100);
	sent_us = now_us();
	t = send_to_model(&fd);
	assert_true(target_is_disconnected(t));
	assert_in_range(
	    now_us() - sent_us, 900000 - evl_late(w.loop).us, 1300000);
	expect_answer(fd, "502 ");
}

/* Chunks that the target's host has requested fill its link, after the request
 * was sent. Guards against a cancel that waits behind them and arrives when the
 * request has begun on withdrawn weights. */
static void
test_recalled_earlier_behind_chunks(void **state)
{
	struct tgt *known = open_for_recall(3000);
	struct target *t;
	int64_t deadline_us;
	int fd;

	announce_version(900);
	deadline_us = now_us() + 900000;
	t = send_to_model(&fd);
	known->inbound_us = 400000;
	assert_true(target_is_disconnected(t));
	expect_time_left(deadline_us, 400000, 520000);
	close(fd);
}

/* The same chunks delay requests: one that would have to be recalled before it
 * arrives is not sent. */
static void
test_no_older_weights_behind_chunks(void **state)
{
	char *request;
	struct target *t;

	world_open(2, make_config(SV_STREAM, 2, 3000));
	target_announce(&w.target[0], false, 1);
	target_announce(&w.target[1], false, 1);
	tgt_find(w.set, "i0")->inbound_us = 400000;
	announce_version(550);
	close(send_model_request());
	t = target_get(&request);
	g_free(request);
	assert_ptr_equal(t, &w.target[1]);
	run_ms(5);
	tgt_find(w.set, "i1")->inbound_us = 400000;
	expect_answer(send_model_request(), "503 ");
}

/* Guards against a resumed stream that is queued at an engine until the
 * engine's weights are withdrawn, and is begun on them. */
static void
test_resumed_stream_is_recalled_before_its_weights_expire(void **state)
{
	char *request;
	struct target *t;
	int64_t deadline_us;
	int fd;

	world_open(2, make_config(SV_STREAM, 2, 4000));
	target_announce(&w.target[0], false, 1);
	target_announce(&w.target[1], false, 1);
	announce_version(1600);
	deadline_us = now_us() + 1600000;
	fd = send_model_request();
	t = target_get(&request);
	g_free(request);
	raw_send(t->fd, STREAM EVENT("1"));
	run_ms(10);
	shutdown(t->fd, SHUT_RDWR);
	t = target_get(&request);
	assert_non_null(strstr(request, "T-Last: 1\r\n"));
	g_free(request);
	assert_true(target_is_disconnected(t));
	expect_time_left(deadline_us, 30000, 200000);
	request = raw_read(fd, NULL); /* visibly truncated */
	assert_non_null(strstr(request, "id: 1"));
	assert_null(strstr(request, "0\r\n\r\n"));
	g_free(request);
	close(fd);
}

/* Guards against the same for the last attempt of a request. */
static void
test_last_attempt_is_recalled_before_its_weights_expire(void **state)
{
	struct target *t;
	int64_t deadline_us;
	int fd;

	world_open(1, make_config(SV_STREAM, 1, 4000));
	target_announce(&w.target[0], false, 1);
	announce_version(1500);
	deadline_us = now_us() + 1500000;
	t = send_to_model(&fd);
	assert_true(target_is_disconnected(t));
	expect_time_left(deadline_us, 30000, 200000);
	expect_answer(fd, "502 ");
}

/* Guards against a cancel that arrives in another region after the weights are
 * withdrawn. */
static void
test_recalled_earlier_from_another_region(void **state)
{
	struct target *t;
	int64_t deadline_us;
	int fd;

	open_for_recall(4000)->local = false;
	announce_version(900);
	deadline_us = now_us() + 900000;
	t = send_to_model(&fd);
	assert_true(target_is_disconnected(t));
	expect_time_left(deadline_us, 350000, 500000);
	close(fd);
	world_close();

	world_open(1, make_config(SV_STREAM, 2, 3000));
	target_announce(&w.target[0], false, 1);
	tgt_find(w.set, "i0")->local = false;
	announce_version(550);
	expect_answer(send_model_request(), "503 ");
	assert_false(target_is_called());
}

/* ------------------------------------------------------------------ */
/* Requests under which targets terminate                              */
/* ------------------------------------------------------------------ */

/* Terminates the target that the next request is sent to. */
static struct target *
terminate_under_request(void)
{
	char *request;
	struct target *t = target_get(&request);

	g_free(request);
	shutdown(t->fd, SHUT_RDWR);
	run_ms(5);
	return t;
}

static int
send_path(const char *path)
{
	return send_request("GET", path, "T-Deadline: 3000\r\n");
}

/* Reports, as another process, `n` terminations under an identity. */
static void
report_terminations_at(uint64_t fingerprint, uint64_t n, int64_t at_us)
{
	struct sus_termination termination = { .fingerprint = fingerprint,
		.weight = SUS_UNANSWERED,
		.at_us = at_us };

	for (termination.target = 1; termination.target <= n;
	     termination.target++)
		fwd_report_termination(w.fwd, &termination);
}

static void
report_terminations_of(uint64_t fingerprint, uint64_t n)
{
	report_terminations_at(fingerprint, n, now_us());
}

/* The request for /x/1. */
static uint64_t
first_content(void)
{
	return fpr_of(&(struct fpr_content){ .host = "a.example",
	    .target = { "/x/1", 4 },
	    .workspace = "team" });
}

static void
report_terminations(uint64_t n)
{
	report_terminations_of(first_content(), n);
}

static uint64_t
part(const char *id)
{
	return fpr_of_part(slice_str(id));
}

static int
send_with_parts(const char *path, const char *parts)
{
	char *headers =
	    g_strdup_printf("T-Deadline: 3000\r\nT-Prefix: %s\r\n", parts);
	int fd = send_request("GET", path, headers);

	g_free(headers);
	return fd;
}

/* The request is sent; its target answers it. */
static void
expect_sent(int fd)
{
	char *request;
	struct target *t = target_get(&request);

	g_free(request);
	raw_send(t->fd, STREAM EVENT("1") "0\r\n\r\n");
	expect_answer(fd, "0\r\n\r\n");
	close(t->fd);
	t->fd = -1;
	run_ms(5);
}

/* Guards against a part of prompts that terminates one target after the other,
 * under requests that differ in all else. */
static void
test_part_blocked_after_three_terminations(void **state)
{
	static const char *const parts[] = { "a,p,1", "p,b,2", "a,b,P,3" };
	struct target *t;
	char path[8];
	int fd, i;

	world_open(3, make_config(SV_STREAM, 1, 3000));
	for (i = 0; i < 3; i++) {
		g_snprintf(path, sizeof(path), "/x/%d", i);
		fd = send_with_parts(path, parts[i]);
		t = terminate_under_request();
		expect_answer(fd, "502 ");
		fwd_target_terminated(w.fwd, tgt_find(w.set, t->id));
		tgt_removed(w.set, t->id, false, now_us());
	}
	for (i = 0; i < 3; i++)
		target_announce(&w.target[i], false, 0);
	expect_answer(send_with_parts("/x/7", "c,p,4"), "503 ");
	assert_false(target_is_called());
	expect_sent(send_with_parts("/x/8", "a,b,5"));
	/* The last part belongs to the request alone. */
	expect_sent(send_with_parts("/x/9", "a,p"));
}

/* Guards against a part that is split over several headers, or that others have
 * in front of it. */
static void
test_part_is_found_at_any_place(void **state)
{
	GString *many = g_string_new(NULL);
	int i;

	world_open(1, make_config(SV_STREAM, 1, 3000));
	report_terminations_of(part("p"), 3);
	expect_answer(
	    send_with_parts("/x/1", "a,b\r\nT-Prefix: p\r\nT-Prefix: c"),
	    "503 ");
	for (i = 0; i < 60; i++)
		g_string_append_printf(many, "%x,", i);
	g_string_append(many, "p,own");
	expect_answer(send_with_parts("/x/1", many->str), "503 ");
	g_string_free(many, TRUE);
	expect_sent(send_with_parts("/x/1", "a,,,x"));
	expect_sent(send_with_parts("/x/1", ""));
}

/* Guards against refusing all callers that share a part, for terminations that
 * it did not cause: it was answered just before. */
static void
test_answered_part_is_not_blocked(void **state)
{
	world_open(1, make_config(SV_STREAM, 1, 3000));
	expect_sent(send_with_parts("/x/1", "a,b,1"));
	report_terminations_of(part("a"), 5);
	expect_sent(send_with_parts("/x/2", "a,b,2"));
	/* Parts of which nothing is known are blocked. */
	report_terminations_of(part("c"), 5);
	expect_answer(send_with_parts("/x/3", "a,c,3"), "503 ");
}

/* Guards against clearing a request by an answer for which the target did no
 * work: it says nothing on what the work does. */
static void
test_rejection_does_not_clear(void **state)
{
	char *request;
	struct target *t;
	int fd;

	world_open(1, make_config(SV_STREAM, 1, 3000));
	report_terminations(1);
	fd = send_path("/x/1");
	t = target_get(&request);
	g_free(request);
	raw_send(t->fd,
	    "HTTP/1.1 404 Not Found\r\nT-Id: q1\r\nT-Seal: s\r\n"
	    "Content-Length: 0\r\n\r\n");
	expect_answer(fd, "404 ");
	report_terminations(2);
	expect_answer(send_path("/x/1"), "503 ");
}

/* The request for /x/1 is refused, and its caller may return after the block. */
static void
expect_blocked_until_next_probe(void)
{
	int fd = send_path("/x/1");
	char *answer = raw_read(fd, "\r\n\r\n");

	assert_non_null(strstr(answer, "503 "));
	assert_in_range(
	    atoi(strstr(answer, "Retry-After: ") + strlen("Retry-After: ")), 9,
	    20);
	g_free(answer);
	close(fd);
	assert_false(target_is_called());
}

/* Guards against a request that terminates one target after the other: it is
 * not sent a third time, and is refused at once when the caller retries. */
static void
test_blocked_after_two_terminations(void **state)
{
	char *request;
	struct target *t;
	int fd;

	world_open(3, make_config(SV_STREAM, 3, 3000));
	fd = send_path("/x/1");
	t = terminate_under_request();
	fwd_target_terminated(w.fwd, tgt_find(w.set, t->id));
	t = terminate_under_request();
	expect_answer(fd, "502 ");
	fwd_target_terminated(w.fwd, tgt_find(w.set, t->id));
	expect_blocked_until_next_probe();
	fd = send_path("/x/2"); /* another request */
	t = target_get(&request);
	g_free(request);
	raw_send(t->fd, STREAM EVENT("1") "0\r\n\r\n");
	expect_answer(fd, "0\r\n\r\n");
}

#define FAILURE                                            \
	"HTTP/1.1 500 Failed\r\nT-Id: q1\r\nT-Seal: s\r\n" \
	"Content-Length: 0\r\n\r\n"

/* The request for /x/1 was blocked for a time that is over. */
static void
open_for_a_probe(size_t ntargets)
{
	world_open(ntargets, make_config(SV_STREAM, 2, 3000));
	report_terminations_at(first_content(), 2, now_us() - 21000000);
}

/* Answers the next request on the kept connection. */
static void
answer_on_idle(struct target *t)
{
	char *request = raw_read(t->fd, "\r\n\r\n");

	assert_non_null(request);
	g_free(request);
	raw_send(t->fd, STREAM EVENT("1") "0\r\n\r\n");
}

/* Guards against copies that follow a probe which its target fails: neither the
 * gateway nor the caller may send it once more before the next probe. */
static void
test_failed_probe_is_the_only_one(void **state)
{
	struct target *t;
	int fd;

	open_for_a_probe(3);
	fd = send_path("/x/1");
	t = target_next();
	/* While it runs, others are told to come back soon. */
	expect_answer(send_path("/x/1"), "Retry-After: 1");
	raw_send(t->fd, FAILURE);
	expect_answer(fd, "500 ");
	expect_blocked_until_next_probe();
}

static void
report_probe_at(int64_t at_us)
{
	struct sus_termination probe = { .fingerprint = first_content(),
		.weight = SUS_PROBE,
		.at_us = at_us };

	fwd_report_termination(w.fwd, &probe);
}

/* Guards against a probe of each gateway. */
static void
test_probe_of_another_gateway(void **state)
{
	open_for_a_probe(2);
	report_probe_at(now_us());
	expect_blocked_until_next_probe();
}

/* Guards against a probe that is ended, as another gateway sends one as well: its
 * answer clears the request. */
static void
test_probe_beside_another_is_answered(void **state)
{
	struct target *t;
	int fd;

	open_for_a_probe(2);
	fd = send_path("/x/1");
	t = target_next();
	report_probe_at(now_us() + 3000000);
	raw_send(t->fd, STREAM EVENT("1") "0\r\n\r\n");
	expect_answer(fd, "0\r\n\r\n");
	fd = send_path("/x/1");
	answer_on_idle(t);
	expect_answer(fd, "0\r\n\r\n");
}

/* A probe that did not run is sent to another target, and clears the request
 * there. */
static void
test_refused_probe_is_repeated(void **state)
{
	struct target *t;
	int fd;

	open_for_a_probe(2);
	fd = send_path("/x/1");
	raw_send(target_next()->fd,
	    "HTTP/1.1 503 Full\r\nT-Id: q1\r\nT-Not-Run: 1\r\n"
	    "Content-Length: 0\r\n\r\n");
	t = target_next();
	raw_send(t->fd, STREAM EVENT("1") "0\r\n\r\n");
	expect_answer(fd, "0\r\n\r\n");
	fd = send_path("/x/1");
	answer_on_idle(t);
	expect_answer(fd, "0\r\n\r\n");
}

/* Guards against copies that wait for a slot while a probe is sent. */
static void
test_queued_copy_of_a_probe(void **state)
{
	int busy[3], at[3], fd, copy, i;

	open_for_a_probe(1);
	for (i = 0; i < 3; i++) { /* two slots and one beyond */
		busy[i] = send_path("/x/2");
		at[i] = target_next()->fd;
	}
	fd = send_path("/x/1");
	copy = send_path("/x/1");
	assert_int_equal(fwd_waiting(w.fwd), 2);
	for (i = 0; i < 2; i++)
		raw_send(at[i], STREAM EVENT("1") "0\r\n\r\n");
	expect_answer(copy, "Retry-After: 1");
	for (i = 0; i < 3; i++)
		close(busy[i]);
	close(fd);
	run_ms(10);
	close(at[0]);
	close(at[1]);
}

/* Guards against copies that are in flight elsewhere when the request is
 * blocked. */
static void
test_copies_in_flight_are_recalled(void **state)
{
	char *request;
	struct target *t;
	int fd, other;

	world_open(1, make_config(SV_STREAM, 2, 3000));
	fd = send_path("/x/1");
	t = target_get(&request);
	g_free(request);
	report_terminations(2);
	assert_true(target_is_disconnected(t));
	expect_answer(fd, "502 "); /* it may have run */
	other = send_path("/x/2");
	t = target_get(&request);
	g_free(request);
	close(t->fd);
	t->fd = -1;
	close(other);
}

/* Begins an answer; the request is then blocked by terminations elsewhere. */
static struct target *
answer_and_block(int *fd, const char *begin)
{
	char *request;
	struct target *t;

	world_open(1, make_config(SV_STREAM, 2, 3000));
	*fd = send_path("/x/1");
	t = target_get(&request);
	g_free(request);
	raw_send(t->fd, begin);
	run_ms(10);
	report_terminations(2);
	return t;
}

/* A copy whose answer has begun continues: a complete answer clears it. */
static void
test_complete_answer_unblocks(void **state)
{
	int fd;
	struct target *t = answer_and_block(&fd, STREAM EVENT("1"));

	expect_answer(send_path("/x/1"), "503 ");
	raw_send(t->fd, EVENT("2") "0\r\n\r\n");
	expect_answer(fd, "0\r\n\r\n");
	fd = send_path("/x/1");
	answer_on_idle(t);
	expect_answer(fd, "0\r\n\r\n");
}

/* Guards against clearing a request by an answer whose end is only that of its
 * connection: a target that terminates closes it, too. */
static void
test_end_of_connection_does_not_unblock(void **state)
{
	int fd;
	struct target *t = answer_and_block(&fd, GOOD "\r\nid: 1\ndata:\n\n");

	shutdown(t->fd, SHUT_RDWR);
	expect_answer(fd, "0\r\n\r\n");
	expect_answer(send_path("/x/1"), "503 ");
	assert_false(target_is_called());
}

/* Guards against blocking requests that are cut off by planned shutdowns or by
 * the loading of weights. */
static void
test_planned_cut_offs_do_not_block(void **state)
{
	struct target *t;
	struct tgt *target;
	int fd, i;

	world_open(3, make_config(SV_STREAM, 3, 3000));
	/* One more termination would block it. */
	report_terminations(1);
	fd = send_path("/x/1");
	for (i = 0; i < 3; i++) {
		char *request;

		t = target_get(&request);
		g_free(request);
		target = tgt_ref(tgt_find(w.set, t->id));
		if (i == 0)
			target_announce(t, true, 0);
		else if (i == 1)
			tgt_set_side_down(target, true, now_us());
		else
			tgt_removed(w.set, t->id, false, now_us());
		shutdown(t->fd, SHUT_RDWR);
		run_ms(5);
		fwd_target_terminated(w.fwd, target);
		tgt_unref(target);
	}
	expect_answer(fd, "502 ");
	for (i = 0; i < 3; i++) {
		target_announce(&w.target[i], false, 0);
		tgt_set_side_down(
		    tgt_find(w.set, w.target[i].id), false, now_us());
		tgt_find(w.set, w.target[i].id)->failures = 0;
	}
	fd = send_path("/x/1");
	assert_true(target_is_called());
	close(fd);
}

/* ------------------------------------------------------------------ */
/* Callers who left                                                    */
/* ------------------------------------------------------------------ */

static int queued_caller;

/* Runs before the deferred pass over the queue, in the same wake-up. */
static void
leave_as_a_target_comes(struct evl_task *task)
{
	close(queued_caller);
	target_announce(&w.target[1], false, 0);
	fwd_pump(w.fwd);
}

/* A slot comes free in the wake-up in which the caller of a queued request
 * leaves. If it were sent all the same, the target would work for nobody. */
static void
test_caller_of_a_queued_request_leaves(void **state)
{
	struct sv_config *config = make_config(SV_SAFE, 2, 2000);
	struct evl_task task = { .run = leave_as_a_target_comes };
	int fd[3];
	size_t i;

	config->routes[0].objective_us = 5000000;
	world_open(2, config);
	target_announce(&w.target[1], true, 0);
	for (i = 0; i < G_N_ELEMENTS(fd); i++)
		fd[i] = send_get();
	queued_caller = send_get();
	assert_int_equal(fwd_waiting(w.fwd), 1);
	evl_defer(w.loop, &task);
	run_ms(20);
	assert_int_equal(
	    accept4(w.target[1].listener, NULL, NULL, SOCK_NONBLOCK), -1);
	assert_int_equal(fwd_active(w.fwd), G_N_ELEMENTS(fd));
	for (i = 0; i < G_N_ELEMENTS(fd); i++)
		close(fd[i]);
}

int
main(void)
{
#define T(f) cmocka_unit_test_teardown(f, tear_down)
	const struct CMUnitTest tests[] = {
		T(test_what_a_target_gets),
		T(test_no_settings_no_route_no_key),
		T(test_answer_to_another_request),
		T(test_unusable_answers),
		T(test_failure_is_relayed_unchanged),
		T(test_refused_request_is_sent_elsewhere),
		T(test_refused_by_all),
		T(test_reset_is_retried_if_repeatable),
		T(test_timeout),
		T(test_rest_of_an_answer_after_a_hold_up),
		T(test_timeout_within_an_answer),
		T(test_process_exits),
		T(test_caller_disconnects),
		T(test_stream_is_resumed_elsewhere),
		T(test_events_are_relayed_as_they_arrive),
		T(test_cut_stream_waits_longer),
		T(test_stream_that_cannot_be_resumed),
		T(test_stalled_stream),
		T(test_waiting_for_a_slot),
		T(test_caller_of_a_queued_request_leaves),
		T(test_one_scan_for_all_queued_requests),
		T(test_refused_without_a_free_slot),
		T(test_new_callers_before_client_retries),
		T(test_slots_are_reserved_only_while_full),
		T(test_callers_that_always_set_less_time),
		T(test_leaving_targets_and_targets_without_model),
		T(test_queued_request_is_recalled_before_its_weights_expire),
		T(test_version_is_expected_while_an_order_is_in_doubt),
		T(test_refused_version_ends_with_the_next_report),
		T(test_begun_request_stays_when_its_weights_expire),
		T(test_which_requests_may_use_older_weights),
		T(test_no_older_weights_behind_a_slow_link),
		T(test_no_older_weights_without_status_reports),
		T(test_recalled_early_over_a_slow_link),
		T(test_recalled_earlier_behind_chunks),
		T(test_no_older_weights_behind_chunks),
		T(test_resumed_stream_is_recalled_before_its_weights_expire),
		T(test_last_attempt_is_recalled_before_its_weights_expire),
		T(test_recalled_earlier_from_another_region),
		T(test_part_blocked_after_three_terminations),
		T(test_part_is_found_at_any_place),
		T(test_answered_part_is_not_blocked),
		T(test_rejection_does_not_clear),
		T(test_blocked_after_two_terminations),
		T(test_failed_probe_is_the_only_one),
		T(test_probe_of_another_gateway),
		T(test_probe_beside_another_is_answered),
		T(test_refused_probe_is_repeated),
		T(test_queued_copy_of_a_probe),
		T(test_copies_in_flight_are_recalled),
		T(test_complete_answer_unblocks),
		T(test_end_of_connection_does_not_unblock),
		T(test_planned_cut_offs_do_not_block),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
