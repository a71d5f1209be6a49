/* Claims: each fault, and what the askers are told. */

#include "claim_world.h"

/* Claims that come together cost one write and are granted after it. */
static void
test_group(void **state)
{
	struct world w;
	struct try t[50];
	char key[50][16], asker[50][16];
	unsigned int i;

	open_world(&w);
	for (i = 0; i < 50; i++) {
		g_snprintf(key[i], 16, "t/s/%u", i);
		g_snprintf(asker[i], 16, "e1/%u", i);
		ask(&w, 0, &t[i], key[i], asker[i], "b");
		serve_read(&w.owner[0]);
		w.now_us += 100;
	}
	pass(&w, CLM_GROUP_MS);
	assert_non_null(w.owner[0].writes);
	for (i = 0; i < 50; i++)
		assert_int_equal(t[i].result, PENDING);
	serve_write(&w.owner[0]);
	for (i = 0; i < 50; i++)
		assert_int_equal(t[i].result, CLM_GRANTED);
	assert_int_equal(writes(&w, 0), 1);
	/* Outcomes too. */
	for (i = 0; i < 50; i++)
		settle(&w, 0, key[i], asker[i], VERDICT_RAN);
	run(&w, 1000);
	assert_int_equal(writes(&w, 0), 2);
	close_world(&w);
}

static void
test_second_tries(void **state)
{
	struct world w;
	struct try first, second, third, other;

	open_world(&w);
	ask(&w, 0, &first, "k", "e1/1", "b");
	run(&w, 100);
	assert_int_equal(first.result, CLM_GRANTED);
	ask(&w, 0, &other, "k", "e2/9", "another body");
	assert_int_equal(other.result, CLM_OTHER_BODY);
	/* The first is at it: the second waits and gets its outcome. */
	ask(&w, 0, &second, "k", "e2/2", "b");
	run(&w, 100);
	assert_int_equal(second.result, PENDING);
	settle(&w, 0, "k", "e1/1", VERDICT_RAN);
	assert_int_equal(second.result, CLM_RECORDED);
	assert_int_equal(second.outcome.status, 200);
	assert_string_equal(second.answer, "booked \"run\" 7\n");
	run(&w, CLM_OUTCOME_MS + 300);
	/* Also from the object alone, at another owner. */
	stop_owner(&w, 0);
	ask(&w, 2, &third, "k", "e2/3", "b");
	run(&w, 100);
	assert_int_equal(third.result, CLM_RECORDED);
	assert_string_equal(third.answer, "booked \"run\" 7\n");
	close_world(&w);
}

static void
test_doubt(void **state)
{
	struct world w;
	struct try first, second;
	struct err err = { 0 };

	open_world(&w);
	ask(&w, 0, &first, "k", "e1/1", "b");
	run(&w, 100);
	/* No outcome comes for as long as the second may wait. */
	ask(&w, 0, &second, "k", "e2/2", "b");
	run(&w, 5100);
	assert_int_equal(second.result, CLM_IN_DOUBT);
	clm_error(CLM_IN_DOUBT, &err);
	assert_int_equal(err.code, ERR_IN_DOUBT);
	assert_int_equal(err.verdict, VERDICT_MAY_HAVE_RUN);
	/* The asker itself does not know. */
	settle(&w, 0, "k", "e1/1", VERDICT_MAY_HAVE_RUN);
	ask(&w, 0, &second, "k", "e2/3", "b");
	run(&w, 100);
	assert_int_equal(second.result, CLM_IN_DOUBT);
	/* A late answer settles it after all, and stands. */
	settle(&w, 0, "k", "e1/1", VERDICT_RAN);
	settle(&w, 0, "k", "e1/1", VERDICT_NOT_RUN);
	ask(&w, 0, &second, "k", "e2/4", "b");
	run(&w, 100);
	assert_int_equal(second.result, CLM_RECORDED);
	close_world(&w);
}

static void
test_not_run_frees(void **state)
{
	struct world w;
	struct try first, second, third;

	open_world(&w);
	ask(&w, 0, &first, "k", "e1/1", "b");
	run(&w, 100);
	ask(&w, 0, &second, "k", "e2/2", "b");
	ask(&w, 0, &third, "k", "e2/3", "b");
	settle(&w, 0, "k", "e2/2", VERDICT_NOT_RUN); /* not its claim */
	run(&w, 300);
	assert_int_equal(second.result, PENDING);
	settle(&w, 0, "k", "e1/1", VERDICT_NOT_RUN);
	run(&w, 300);
	assert_int_equal(second.result, CLM_GRANTED);
	assert_int_equal(third.result, PENDING);
	/* Said while its claim is on the way. */
	ask(&w, 0, &first, "k2", "e1/1", "b");
	pass(&w, CLM_GROUP_MS);
	settle(&w, 0, "k2", "e1/1", VERDICT_NOT_RUN);
	run(&w, 100);
	assert_int_equal(first.result, CLM_DOWN);
	close_world(&w);
}

/*
 * The asker's link breaks after its claim was written, before it heard so.
 * It asks again under the same name and is granted its own claim; another
 * asker with the same key is not.
 */
static void
test_grant_lost(void **state)
{
	struct world w;
	struct try t, other;

	open_world(&w);
	ask(&w, 0, &t, "k", "e1/1", "b");
	run(&w, 10);
	pass(&w, CLM_GROUP_MS);
	clm_forget(&t.ask);
	run(&w, 100);
	assert_int_equal(t.result, PENDING);
	/* Without the lease only by a write. */
	pass(&w, CLM_LEASE_MS);
	ask(&w, 0, &t, "k", "e1/1", "b");
	assert_int_equal(t.result, PENDING);
	run(&w, 100);
	assert_int_equal(t.result, CLM_GRANTED);
	ask(&w, 0, &other, "k", "e2/1", "b");
	ask(&w, 0, &t, "k", "e1/1", "b");
	run(&w, 100);
	assert_int_equal(t.result, CLM_GRANTED);
	assert_int_equal(other.result, PENDING);
	/* Not before the write, though the lease holds. */
	ask(&w, 0, &t, "k2", "e1/2", "b");
	pass(&w, CLM_GROUP_MS);
	clm_forget(&t.ask);
	ask(&w, 0, &t, "k2", "e1/2", "b");
	assert_int_equal(t.result, PENDING);
	/* Also by the next owner. */
	stop_owner(&w, 0);
	ask(&w, 2, &t, "k", "e1/1", "b");
	run(&w, 100);
	assert_int_equal(t.result, CLM_GRANTED);
	close_world(&w);
}

/*
 * A write takes effect while its answer is lost, or does not. Either way
 * nothing is granted until the object was read back and a write is in.
 */
static void
test_write_answer_lost(void **state)
{
	struct world w;
	struct try t;
	int lands;

	for (lands = 0; lands < 2; lands++) {
		open_world(&w);
		ask(&w, 0, &t, "k", "e1/1", "b");
		serve_read(&w.owner[0]);
		pass(&w, CLM_GROUP_MS);
		lose_answer(&w.owner[0], lands != 0);
		assert_int_equal(t.result, PENDING);
		assert_true(w.owner[0].reads);
		serve_read(&w.owner[0]);
		assert_int_equal(t.result, PENDING);
		run(&w, 100);
		assert_int_equal(t.result, CLM_GRANTED);
		close_world(&w);
	}
}

/*
 * The lost write takes effect only after the owner has read back and written
 * anew: its second write fails, and the claim is found in place.
 */
static void
test_write_lands_late(void **state)
{
	struct world w;
	struct try t, other;
	char *late;
	uint64_t if_version;

	open_world(&w);
	ask(&w, 0, &t, "k", "e1/1", "b");
	serve_read(&w.owner[0]);
	pass(&w, CLM_GROUP_MS);
	late = g_strdup(w.owner[0].writes);
	if_version = w.owner[0].if_version;
	lose_answer(&w.owner[0], false);
	serve_read(&w.owner[0]);
	pass(&w, CLM_GROUP_MS);
	assert_true(land(&w, late, if_version));
	serve_write(&w.owner[0]);
	assert_int_equal(t.result, PENDING);
	ask(&w, 0, &other, "k", "e2/1", "b");
	run(&w, 100);
	assert_int_equal(t.result, CLM_GRANTED);
	assert_int_equal(other.result, PENDING);
	g_free(late);
	close_world(&w);
}

/*
 * The owner stops for longer than its lease with a write under way. Another
 * entry has taken the bucket over; the paused one wakes up and must not grant:
 * its write is refused, as the take-over changed the object.
 */
static void
test_paused_owner(void **state)
{
	struct world w;
	struct try t, next;

	open_world(&w);
	ask(&w, 0, &t, "k", "e1/1", "b");
	serve_read(&w.owner[0]);
	pass(&w, CLM_GROUP_MS);
	assert_non_null(w.owner[0].writes);
	w.owner[0].live = false; /* as the others see it */
	ask(&w, 1, &next, "k", "e2/2", "b");
	serve_read(&w.owner[1]);
	pass(&w, CLM_GROUP_MS);
	serve_write(&w.owner[1]);
	assert_int_equal(next.result, CLM_GRANTED);
	w.owner[0].live = true;
	w.now_us += 3000 * MS;
	serve_write(&w.owner[0]);
	serve_read(&w.owner[0]);
	assert_int_equal(t.result, CLM_MOVED);
	assert_string_equal(t.owner, "e1");
	close_world(&w);
}

/*
 * As before, but the paused owner's write was in before it stopped. It does
 * not grant after its lease; the asker asks the new owner, which finds the
 * claim and grants it to this asker and no other.
 */
static void
test_paused_owner_whose_write_was_in(void **state)
{
	struct world w;
	struct try t, other;

	open_world(&w);
	ask(&w, 0, &t, "k", "e1/1", "b");
	serve_read(&w.owner[0]);
	pass(&w, CLM_GROUP_MS);
	assert_true(land(&w, w.owner[0].writes, w.owner[0].if_version));
	w.owner[0].live = false;
	ask(&w, 1, &other, "k", "e2/2", "b");
	serve_read(&w.owner[1]);
	pass(&w, 100);
	serve_write(&w.owner[1]);
	assert_int_equal(other.result, PENDING);
	w.now_us += 3000 * MS;
	w.owner[0].live = true;
	g_clear_pointer(&w.owner[0].writes, g_free);
	clm_write_done(w.owner[0].clm, CLM_WRITE_IN, 1, w.now_us);
	assert_int_not_equal(t.result, CLM_GRANTED);
	clm_forget(&t.ask);
	ask(&w, 1, &t, "k", "e1/1", "b");
	run(&w, 100);
	assert_int_equal(t.result, CLM_GRANTED);
	assert_int_equal(other.result, PENDING);
	close_world(&w);
}

/* The API is down: refused as NOT_RUN, nothing dispatched, and the key is
 * free once the API is back although the last write had taken effect. */
static void
test_api_down(void **state)
{
	struct world w;
	struct try t, next;
	struct err err = { 0 };

	open_world(&w);
	w.down = true;
	ask(&w, 0, &t, "k", "e1/1", "b");
	run(&w, 100);
	assert_int_equal(t.result, CLM_DOWN);
	clm_error(CLM_DOWN, &err);
	assert_int_equal(err.verdict, VERDICT_NOT_RUN);
	assert_int_equal(err.code, ERR_UNAVAILABLE);
	assert_true(err.retry_after_ms > 0);
	w.down = false;
	ask(&w, 0, &t, "k", "e1/2", "b");
	serve_read(&w.owner[0]);
	pass(&w, CLM_GROUP_MS);
	lose_answer(&w.owner[0], true);
	w.down = true;
	run(&w, 100);
	assert_int_equal(t.result, CLM_DOWN);
	w.down = false;
	run(&w, 2000);
	ask(&w, 0, &next, "k", "e2/1", "b");
	run(&w, 100);
	assert_int_equal(next.result, CLM_GRANTED);
	close_world(&w);
}

/* An API that does not answer holds a request no longer than it may wait. */
static void
test_api_silent(void **state)
{
	struct world w;
	struct try t, next;

	open_world(&w);
	ask(&w, 0, &t, "k", "e1/1", "b");
	serve_read(&w.owner[0]);
	pass(&w, CLM_GROUP_MS);
	pass(&w, 5000);
	assert_int_equal(t.result, CLM_DOWN);
	/* The write ends well after all; the key is free again. */
	serve_write(&w.owner[0]);
	ask(&w, 0, &next, "k", "e2/1", "b");
	run(&w, 500);
	assert_int_equal(next.result, CLM_GRANTED);
	close_world(&w);
}

static void
test_two_owners_at_once(void **state)
{
	struct world w;
	struct try a, b;

	open_world(&w);
	ask(&w, 0, &a, "k", "e0/1", "b");
	ask(&w, 1, &b, "k", "e1/1", "b");
	run(&w, 200);
	assert_int_equal(a.result, CLM_GRANTED);
	assert_int_equal(b.result, CLM_MOVED);
	assert_string_equal(b.owner, "e0");
	/* Kept out for a lease; then an idle owner loses the bucket. */
	ask(&w, 1, &b, "k2", "e1/1", "b");
	assert_int_equal(b.result, CLM_MOVED);
	w.owner[0].live = false; /* a wrong suspicion, taken back */
	ask(&w, 1, &b, "k2", "e1/1", "b");
	w.owner[0].live = true;
	run(&w, 100);
	assert_int_equal(b.result, CLM_MOVED);
	run(&w, 3000);
	ask(&w, 1, &b, "k2", "e1/1", "b");
	run(&w, 100);
	assert_int_equal(b.result, CLM_GRANTED);
	/* What the former owner remembers is not the last word. */
	settle(&w, 1, "k", "e0/1", VERDICT_RAN);
	ask(&w, 0, &a, "k", "e2/1", "b");
	run(&w, 100);
	assert_int_equal(a.result, CLM_MOVED);
	/* An owner that writes does not. */
	ask(&w, 0, &a, "k3", "e0/2", "b");
	run(&w, 100);
	assert_int_equal(a.result, CLM_MOVED);
	run(&w, 1500);
	ask(&w, 1, &b, "k4", "e1/2", "b");
	run(&w, 1000);
	ask(&w, 0, &a, "k3", "e0/2", "b");
	run(&w, 100);
	assert_int_equal(a.result, CLM_MOVED);
	close_world(&w);
}

/* The entry dies between its claim and the dispatch, and it owned the
 * bucket too. Nobody can know that nothing ran: in doubt, never a run. */
static void
test_entry_dies_after_claim(void **state)
{
	struct world w;
	struct try first, second;
	struct clm_stats stats;

	open_world(&w);
	ask(&w, 0, &first, "k", "e0/1", "b");
	run(&w, 100);
	assert_int_equal(first.result, CLM_GRANTED);
	stop_owner(&w, 0);
	ask(&w, 1, &second, "k", "e1/1", "b");
	run(&w, 100);
	assert_int_equal(second.result, CLM_IN_DOUBT);
	clm_stats(w.owner[1].clm, &stats);
	assert_int_equal(stats.reads, 1);
	close_world(&w);
}

/* While another waits for its outcome. */
static void
test_entry_dies_meanwhile(void **state)
{
	struct world w;
	struct try first, second;

	open_world(&w);
	ask(&w, 0, &first, "k", "e1/1", "b");
	run(&w, 100);
	ask(&w, 0, &second, "k", "e2/1", "b");
	run(&w, 100);
	assert_int_equal(second.result, PENDING);
	w.owner[1].live = false;
	run(&w, 20);
	assert_int_equal(second.result, CLM_IN_DOUBT);
	close_world(&w);
}

/* Outcomes are kept for the deadline and CLM_KEEP_MS on top at least, also
 * when owners change; then they go. */
static void
test_prune(void **state)
{
	static const char *const fill[] = { "0", "1", "2", "3", "4", "5" };
	struct world w;
	struct try t;
	unsigned int i;

	open_world(&w);
	ask(&w, 0, &t, "k", "e1/1", "b");
	run(&w, 100);
	settle(&w, 0, "k", "e1/1", VERDICT_RAN);
	run(&w, CLM_OUTCOME_MS + 300);
	for (i = 0; i < 6; i++) {
		w.now_us += (CLM_KEEP_MS + 24000LL) / 6 * MS;
		ask(&w, i % 2, &t, fill[i], "e2/5", "b");
		run(&w, 100);
		stop_owner(&w, i % 2);
		if (w.owner[(i + 1) % 2].clm == NULL)
			start_owner(&w, (i + 1) % 2);
		ask(&w, (i + 1) % 2, &t, "k", "e2/1", "b");
		run(&w, 100);
		assert_int_equal(t.result, CLM_RECORDED);
	}
	w.now_us += 20000 * MS;
	ask(&w, 0, &t, "last", "e2/6", "b");
	run(&w, 100);
	ask(&w, 0, &t, "k", "e2/1", "b");
	run(&w, 100);
	assert_int_equal(t.result, CLM_GRANTED);
	close_world(&w);
}

static void
test_give_up(void **state)
{
	struct world w;
	struct try t;

	open_world(&w);
	ask(&w, 0, &t, "k", "e1/1", "b");
	run(&w, 100);
	clm_give_up(w.owner[0].clm, w.now_us);
	run(&w, 50);
	/* The next owner need not wait for the lease. */
	ask(&w, 1, &t, "k2", "e1/2", "b");
	run(&w, 100);
	assert_int_equal(t.result, CLM_GRANTED);
	settle(&w, 0, "k", "e1/1", VERDICT_RAN);
	run(&w, 100);
	assert_int_equal(w.owner[0].passed_on, 1);
	close_world(&w);
}

/* What is not a bucket is neither used nor overwritten. */
static void
test_foreign_object(void **state)
{
	static const char *const values[] = { "", "[]", "{}",
		"{\"owner\":\"\",\"claims\":[1]}",
		"{\"owner\":\"\",\"claims\":[{\"key\":\"k\"}]}" };
	struct world w;
	struct try t;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(values); i++) {
		open_world(&w);
		w.value = g_strdup(values[i]);
		w.version = 3;
		ask(&w, 0, &t, "k", "e1/1", "b");
		run(&w, 100);
		assert_int_equal(t.result, CLM_DOWN);
		assert_int_equal(w.version, 3);
		close_world(&w);
	}
	open_world(&w);
	ask(&w, 0, &t, "\xff", "e1/1", "b");
	assert_int_equal(t.result, CLM_BAD_KEY);
	close_world(&w);
}

#define MANY 4000

/* A full bucket refuses new claims and forgets none. */
static void
test_full(void **state)
{
	struct world w;
	struct try *t = g_new0(struct try, MANY);
	char(*key)[200] = g_malloc0(MANY * sizeof(*key));
	unsigned int i, granted = 0;

	open_world(&w);
	for (i = 0; i < MANY; i++) {
		g_snprintf(key[i], sizeof(key[i]), "%0150u", i);
		ask(&w, 0, &t[i], key[i], "e1/1", "b");
		if (i % 100 == 99)
			run(&w, 50);
		if (t[i].result == CLM_GRANTED)
			granted++;
	}
	for (i = 0, granted = 0; i < MANY; i++)
		granted += t[i].result == CLM_GRANTED ? 1 : 0;
	assert_in_range(granted, 500, MANY - 100);
	assert_int_equal(t[MANY - 1].result, CLM_FULL);
	ask(&w, 0, &t[0], key[0], "e2/1", "b");
	run(&w, 100);
	assert_int_equal(t[0].result, PENDING); /* still claimed */
	close_world(&w);
	g_free(key);
	g_free(t);
}

/* Buckets of one entry share its writes. */
static void
test_pace(void **state)
{
	struct world w;
	struct try t[1000];
	char key[1000][8];
	unsigned int i;

	open_world(&w);
	w.owner[0].pace.writes_s = 20;
	for (i = 0; i < 1000; i++) {
		g_snprintf(key[i], 8, "%u", i);
		ask(&w, 0, &t[i], key[i], "e1/1", "b");
		run(&w, 4);
	}
	assert_in_range(writes(&w, 0), 70, 95);
	run(&w, 200);
	for (i = 0; i < 1000; i++)
		assert_int_equal(t[i].result, CLM_GRANTED);
	close_world(&w);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_group),
		cmocka_unit_test(test_second_tries),
		cmocka_unit_test(test_doubt),
		cmocka_unit_test(test_not_run_frees),
		cmocka_unit_test(test_grant_lost),
		cmocka_unit_test(test_write_answer_lost),
		cmocka_unit_test(test_write_lands_late),
		cmocka_unit_test(test_paused_owner),
		cmocka_unit_test(test_paused_owner_whose_write_was_in),
		cmocka_unit_test(test_api_down),
		cmocka_unit_test(test_api_silent),
		cmocka_unit_test(test_two_owners_at_once),
		cmocka_unit_test(test_entry_dies_after_claim),
		cmocka_unit_test(test_entry_dies_meanwhile),
		cmocka_unit_test(test_prune),
		cmocka_unit_test(test_give_up),
		cmocka_unit_test(test_foreign_object),
		cmocka_unit_test(test_full),
		cmocka_unit_test(test_pace),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
