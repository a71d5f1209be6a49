/* Silent targets: backoff, probes, and the search for a second target. */

#include "world.h"

static int
tear_down(void **state)
{
	world_close();
	return 0;
}

/* Guards against a target that is never probed again, as a request that was sent to
 * it during its backoff has stalled, too. */
static void
test_probe_that_stalls_in_backoff(void **state)
{
	struct tgt *t;
	int a, b, c;
	bool probing, called;

	world_open(1, make_config(SV_SAFE, 2, 300));
	a = send_get();
	target_next();
	t = tgt_find(w.set, "i0");
	run_ms(165);
	assert_int_equal(t->failures, 1);
	b = send_get();
	target_next();
	assert_true(t->probing);
	run_ms(700);
	assert_int_equal(t->local_inflight, 0);
	probing = t->probing;
	run_ms(3000);
	c = send_get();
	called = target_is_called();
	close(a);
	close(b);
	close(c);
	run_ms(20);
	assert_true(called);
	assert_false(probing);
}

/* Guards against a silent target that ends its own backoff by cutting off a request
 * which has not waited for long. */
static void
test_cut_of_a_younger_attempt(void **state)
{
	struct target *first;
	struct tgt *t;
	unsigned int before, after;
	int a, b, fa, fb;

	world_open(2, make_config(SV_SAFE, 2, 1000));
	target_announce(&w.target[1], true, 0);
	a = send_get();
	first = target_next();
	fa = first->fd;
	first->fd = -1;
	run_ms(350);
	b = send_get();
	assert_ptr_equal(target_next(), first);
	fb = first->fd;
	target_announce(&w.target[1], false, 0);
	run_ms(200);
	t = tgt_find(w.set, first->id);
	before = t->failures;
	shutdown(fa, SHUT_RDWR);
	run_ms(5);
	shutdown(fb, SHUT_RDWR);
	run_ms(10);
	after = t->failures;
	close(fa);
	close(a);
	close(b);
	run_ms(20);
	assert_int_equal(before, 1);
	assert_true(after > 0);
}

/* Two requests are silent at a target each, and one of the targets is heard. */
static void
expect_second_attempt(int heard)
{
	int fd[2], i;
	struct target *at[2];
	bool called;

	world_open(2, make_config(SV_STREAM, 2, 6000));
	for (i = 0; i < 2; i++) {
		fd[i] = send_get();
		at[i] = target_next();
	}
	assert_ptr_not_equal(at[0], at[1]);
	for (i = 0; i < 2; i++) {
		tgt_side_reported(tgt_find(w.set, at[i]->id), 1, now_us());
		tgt_set_side_silent(tgt_find(w.set, at[i]->id), true, now_us());
	}
	run_ms(400);
	for (i = 0; i < 2; i++) {
	}
	tgt_heard(tgt_find(w.set, at[heard]->id), now_us());
	fwd_pump(w.fwd);
	called = target_is_called();
	for (i = 0; i < 2; i++)
		close(fd[i]);
	run_ms(20);
	assert_true(called);
}

/* Guards against a request that starves behind one which has tried another target.
 */
static void
test_first_hedge(void **state)
{
	expect_second_attempt(1);
}

static void
test_second_hedge(void **state)
{
	expect_second_attempt(0);
}

/* A whole answer that cannot be used, after a silence: the target was heard. */
static void
test_unusable_after_silence(void **state)
{
	struct target *first;
	struct tgt *t;
	unsigned int after;
	int a;

	world_open(1, make_config(SV_SAFE, 2, 1000));
	a = send_get();
	first = target_next();
	run_ms(550);
	t = tgt_find(w.set, first->id);
	raw_send(first->fd, "HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n");
	run_ms(10);
	after = t->failures;
	close(a);
	run_ms(20);
	assert_int_equal(after, 0);
}

/* A request that a target refused (not run), and that waits when the process
 * ends, has not run. */
static void
test_end_of_a_refused_one(void **state)
{
	struct target *first;
	int a;

	world_open(1, make_config(SV_SAFE, 2, 1000));
	a = send_get();
	first = target_next();
	raw_send(first->fd,
	    "HTTP/1.1 503 No\r\nT-Id: q1\r\nT-Not-Run: 1\r\nContent-Length: 0\r\n\r\n");
	run_ms(10);
	fwd_end_all(w.fwd);
	expect_answer(a, "HTTP/1.1 503");
}

int
main(void)
{
#define T(f) cmocka_unit_test_teardown(f, tear_down)
	const struct CMUnitTest tests[] = {
		T(test_probe_that_stalls_in_backoff),
		T(test_cut_of_a_younger_attempt),
		T(test_first_hedge),
		T(test_second_hedge),
		T(test_unusable_after_silence),
		T(test_end_of_a_refused_one),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
