/* Silent targets: what follows when one of a request's attempts ends. */

#include "world.h"

#define TIMEOUT_MS 1000 /* of plain routes; half of it is the stall timeout */
#define STALL_PLAIN_MS 500
#define SLACK_MS 200 /* for a busy machine */

static int
tear_down(void **state)
{
	world_close();
	return 0;
}

static void
open_plain(size_t ntargets)
{
	world_open(ntargets, make_config(SV_SAFE, 2, TIMEOUT_MS));
}

/* Guards against taking the end of a silent target's connection, without a byte,
 * for a sign of life: it ends the backoff, and new requests go to the target. */
static void
test_cut_does_not_end_the_backoff(void **state)
{
	struct target *first, *second, *third;
	int fd, later;

	open_plain(2);
	fd = send_get();
	first = target_next();
	second = target_next(); /* after the stall timeout */
	assert_ptr_not_equal(first, second);
	shutdown(first->fd, SHUT_RDWR);
	run_ms(10);
	later = send_get();
	third = target_next();
	close(fd);
	close(later);
	run_ms(20);
	assert_ptr_equal(third, second);
}

/* The same where targets in a row are cut: a silent one that is cut must not be
 * counted as silent since then, when it falls silent much later. */
static void
test_silence_after_a_cut_is_a_new_one(void **state)
{
	struct target *t;
	bool is_taken;
	int fd, later;

	open_plain(1);
	fd = send_get();
	t = target_next();
	run_ms(STALL_PLAIN_MS + 50);
	shutdown(t->fd, SHUT_RDWR);
	expect_answer(fd, "HTTP/1.1 50");
	run_ms(2200);
	fd = send_get();
	t = target_next();
	run_ms(STALL_PLAIN_MS + 50);
	later = send_get();
	is_taken = target_is_called();
	raw_send(t->fd, ANSWER);
	expect_answer(fd, "\r\n\r\nok");
	close(later);
	run_ms(20);
	assert_true(is_taken);
}

/* Guards against replacing the failure that an engine answered with by one of the
 * gateway's own, because the silent target never answered. */
static void
test_failure_of_the_second_target_is_kept(void **state)
{
	struct target *first, *second;
	int fd;

	open_plain(2);
	fd = send_get();
	first = target_next();
	second = target_next();
	assert_ptr_not_equal(first, second);
	raw_send(second->fd,
	    "HTTP/1.1 500 Bad\r\nT-Id: q1\r\nT-Seal: s\r\n"
	    "Content-Length: 3\r\n\r\nbad");
	expect_answer(fd, "\r\n\r\nbad");
}

/* Guards against a second probe of a dead target while one is in flight, because
 * an attempt that had been a probe before is dropped. */
static void
test_one_probe_at_a_time(void **state)
{
	struct target *dead, *sound;
	struct tgt *t;
	bool is_probing;
	int a, b, c;

	open_plain(2);
	a = send_get();
	dead = target_next();
	sound = target_next();
	raw_send(sound->fd, ANSWER);
	expect_answer(a, "\r\n\r\nok");
	t = tgt_find(w.set, dead->id);
	assert_int_equal(t->failures, 1);
	/* A probe: the sound target takes nothing meanwhile. */
	run_ms(300);
	target_announce(sound, true, 0);
	b = send_get();
	assert_ptr_equal(target_next(), dead);
	assert_true(t->probing);
	run_ms(STALL_PLAIN_MS + 20);
	assert_int_equal(t->failures, 2);
	assert_false(t->probing);
	/* The next probe, after the backoff of 0.5 s. */
	run_ms(SLACK_MS);
	t->backoff_until_us = now_us();
	c = send_get();
	assert_ptr_equal(target_next(), dead);
	assert_true(t->probing);
	close(b); /* the caller of the former probe leaves */
	run_ms(20);
	is_probing = t->probing;
	close(c);
	run_ms(20);
	assert_true(is_probing);
}

/* Guards against holding a request for two targets that terminate at once after a
 * silence, which it was in flight at only because of that silence. */
static void
test_common_end_of_silent_targets(void **state)
{
	struct target *first, *second, *third;
	int fd;

	world_open(3, make_config(SV_STREAM, 3, 6000));
	fd = send_get();
	first = target_next();
	second = target_next();
	shutdown(first->fd, SHUT_RDWR);
	shutdown(second->fd, SHUT_RDWR);
	third = target_next();
	fwd_target_terminated(w.fwd, tgt_find(w.set, first->id));
	fwd_target_terminated(w.fwd, tgt_find(w.set, second->id));
	run_ms(20);
	send(third->fd, STREAM EVENT("1") "0\r\n\r\n",
	    strlen(STREAM EVENT("1") "0\r\n\r\n"), MSG_NOSIGNAL);
	expect_answer(fd, EVENT("1") "0\r\n\r\n");
}

/* Guards against scans over all targets for each request that looks for a second
 * one, at each load report, for as long as its target is silent. */
static void
test_one_scan_for_all_that_seek_a_second_target(void **state)
{
	enum {
		REQUESTS = 6,
		PUMPS = 50
	};
	struct ctr *choices;
	int64_t before, after;
	int fd[REQUESTS], i;

	world_open(TARGETS, make_config(SV_STREAM, 2, 6000));
	for (i = 0; i < REQUESTS; i++)
		fd[i] = send_get();
	for (i = 0; i < TARGETS; i++)
		tgt_set_side_silent(
		    tgt_find(w.set, w.target[i].id), true, now_us());
	run_ms(400);
	choices = ctr_get(w.counters, "target_choices");
	before = ctr_value(choices);
	for (i = 0; i < PUMPS; i++) {
		fwd_pump(w.fwd);
		run_ms(1);
	}
	after = ctr_value(choices);
	for (i = 0; i < REQUESTS; i++)
		close(fd[i]);
	run_ms(20);
	assert_in_range(after - before, 0, 2 * PUMPS);
}

int
main(void)
{
#define T(f) cmocka_unit_test_teardown(f, tear_down)
	const struct CMUnitTest tests[] = {
		T(test_cut_does_not_end_the_backoff),
		T(test_silence_after_a_cut_is_a_new_one),
		T(test_failure_of_the_second_target_is_kept),
		T(test_one_probe_at_a_time),
		T(test_common_end_of_silent_targets),
		T(test_one_scan_for_all_that_seek_a_second_target),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
