/* Claims: each fault alone, and the answers to the claimants. */

#include "claim_world.h"

/* Concurrent claims are batched into one write and granted after it. */
static void
test_batch(void **state)
{
	struct sim sim;
	struct request t[50];
	char key[50][16], claimant[50][16];
	unsigned int i;

	sim_init(&sim);
	for (i = 0; i < 50; i++) {
		g_snprintf(key[i], 16, "t/s/%u", i);
		g_snprintf(claimant[i], 16, "e1/%u", i);
		request_claim(&sim, 0, &t[i], key[i], claimant[i], "b");
		complete_read(&sim.owner[0]);
		sim.now_us += 100;
	}
	advance(&sim, CLM_BATCH_MS);
	assert_non_null(sim.owner[0].write_value);
	for (i = 0; i < 50; i++)
		assert_int_equal(t[i].result, PENDING);
	complete_write(&sim.owner[0]);
	for (i = 0; i < 50; i++)
		assert_int_equal(t[i].result, CLM_GRANTED);
	assert_int_equal(write_count(&sim, 0), 1);
	/* Outcomes are batched likewise. */
	for (i = 0; i < 50; i++)
		settle(&sim, 0, key[i], claimant[i], VERDICT_RAN);
	run_for(&sim, 1000);
	assert_int_equal(write_count(&sim, 0), 2);
	sim_free(&sim);
}

static void
test_retries(void **state)
{
	struct sim sim;
	struct request first, second, third, other;

	sim_init(&sim);
	request_claim(&sim, 0, &first, "k", "e1/1", "b");
	run_for(&sim, 100);
	assert_int_equal(first.result, CLM_GRANTED);
	request_claim(&sim, 0, &other, "k", "e2/9", "another body");
	assert_int_equal(other.result, CLM_OTHER_BODY);
	/* While the first runs, the second waits, and gets its outcome. */
	request_claim(&sim, 0, &second, "k", "e2/2", "b");
	run_for(&sim, 100);
	assert_int_equal(second.result, PENDING);
	settle(&sim, 0, "k", "e1/1", VERDICT_RAN);
	assert_int_equal(second.result, CLM_RECORDED);
	assert_int_equal(second.outcome.status, 200);
	assert_string_equal(second.answer, "booked \"run\" 7\n");
	run_for(&sim, CLM_OUTCOME_DELAY_MS + 300);
	/* Another owner reads the outcome from the object. */
	stop_owner(&sim, 0);
	request_claim(&sim, 2, &third, "k", "e2/3", "b");
	run_for(&sim, 100);
	assert_int_equal(third.result, CLM_RECORDED);
	assert_string_equal(third.answer, "booked \"run\" 7\n");
	sim_free(&sim);
}

static void
test_doubt(void **state)
{
	struct sim sim;
	struct request first, second;
	struct err err = { 0 };

	sim_init(&sim);
	request_claim(&sim, 0, &first, "k", "e1/1", "b");
	run_for(&sim, 100);
	/* No outcome arrives before the second's wait ends. */
	request_claim(&sim, 0, &second, "k", "e2/2", "b");
	run_for(&sim, 5100);
	assert_int_equal(second.result, CLM_IN_DOUBT);
	clm_error(CLM_IN_DOUBT, &err);
	assert_int_equal(err.code, ERR_IN_DOUBT);
	assert_int_equal(err.verdict, VERDICT_MAY_HAVE_RUN);
	/* The claimant itself reports MAY_HAVE_RUN. */
	settle(&sim, 0, "k", "e1/1", VERDICT_MAY_HAVE_RUN);
	request_claim(&sim, 0, &second, "k", "e2/3", "b");
	run_for(&sim, 100);
	assert_int_equal(second.result, CLM_IN_DOUBT);
	/* A late RAN replaces the doubt, and is final. */
	settle(&sim, 0, "k", "e1/1", VERDICT_RAN);
	settle(&sim, 0, "k", "e1/1", VERDICT_NOT_RUN);
	request_claim(&sim, 0, &second, "k", "e2/4", "b");
	run_for(&sim, 100);
	assert_int_equal(second.result, CLM_RECORDED);
	sim_free(&sim);
}

static void
test_not_run_frees(void **state)
{
	struct sim sim;
	struct request first, second, third;

	sim_init(&sim);
	request_claim(&sim, 0, &first, "k", "e1/1", "b");
	run_for(&sim, 100);
	request_claim(&sim, 0, &second, "k", "e2/2", "b");
	request_claim(&sim, 0, &third, "k", "e2/3", "b");
	settle(&sim, 0, "k", "e2/2", VERDICT_NOT_RUN); /* not the claimant */
	run_for(&sim, 300);
	assert_int_equal(second.result, PENDING);
	settle(&sim, 0, "k", "e1/1", VERDICT_NOT_RUN);
	run_for(&sim, 300);
	assert_int_equal(second.result, CLM_GRANTED);
	assert_int_equal(third.result, PENDING);
	/* NOT_RUN is reported while the claim is being written. */
	request_claim(&sim, 0, &first, "k2", "e1/1", "b");
	advance(&sim, CLM_BATCH_MS);
	settle(&sim, 0, "k2", "e1/1", VERDICT_NOT_RUN);
	run_for(&sim, 100);
	assert_int_equal(first.result, CLM_DOWN);
	sim_free(&sim);
}

/*
 * The claimant's connection breaks after its claim was written, before the
 * grant arrives. It requests again under the same name and is granted its
 * claim; another claimant of the same key is not.
 */
static void
test_grant_lost(void **state)
{
	struct sim sim;
	struct request t, other;

	sim_init(&sim);
	request_claim(&sim, 0, &t, "k", "e1/1", "b");
	run_for(&sim, 10);
	advance(&sim, CLM_BATCH_MS);
	clm_cancel(&t.base);
	run_for(&sim, 100);
	assert_int_equal(t.result, PENDING);
	/* Without a valid lease, only after a write. */
	advance(&sim, CLM_LEASE_MS);
	request_claim(&sim, 0, &t, "k", "e1/1", "b");
	assert_int_equal(t.result, PENDING);
	run_for(&sim, 100);
	assert_int_equal(t.result, CLM_GRANTED);
	request_claim(&sim, 0, &other, "k", "e2/1", "b");
	request_claim(&sim, 0, &t, "k", "e1/1", "b");
	run_for(&sim, 100);
	assert_int_equal(t.result, CLM_GRANTED);
	assert_int_equal(other.result, PENDING);
	/* Not before the write, although the lease is valid. */
	request_claim(&sim, 0, &t, "k2", "e1/2", "b");
	advance(&sim, CLM_BATCH_MS);
	clm_cancel(&t.base);
	request_claim(&sim, 0, &t, "k2", "e1/2", "b");
	assert_int_equal(t.result, PENDING);
	/* The next owner grants it too. */
	stop_owner(&sim, 0);
	request_claim(&sim, 2, &t, "k", "e1/1", "b");
	run_for(&sim, 100);
	assert_int_equal(t.result, CLM_GRANTED);
	sim_free(&sim);
}

/*
 * The answer to a write is lost, whether or not the write took effect. Nothing
 * is granted until the object is read back and a write is confirmed.
 */
static void
test_write_answer_lost(void **state)
{
	struct sim sim;
	struct request t;
	int applied;

	for (applied = 0; applied < 2; applied++) {
		sim_init(&sim);
		request_claim(&sim, 0, &t, "k", "e1/1", "b");
		complete_read(&sim.owner[0]);
		advance(&sim, CLM_BATCH_MS);
		lose_answer(&sim.owner[0], applied != 0);
		assert_int_equal(t.result, PENDING);
		assert_true(sim.owner[0].reading);
		complete_read(&sim.owner[0]);
		assert_int_equal(t.result, PENDING);
		run_for(&sim, 100);
		assert_int_equal(t.result, CLM_GRANTED);
		sim_free(&sim);
	}
}

/*
 * A write whose answer was lost takes effect only after the owner has read the
 * object back and written again: the second write is refused, and the claim is
 * found in the object.
 */
static void
test_write_applied_late(void **state)
{
	struct sim sim;
	struct request t, other;
	char *late;
	uint64_t if_version;

	sim_init(&sim);
	request_claim(&sim, 0, &t, "k", "e1/1", "b");
	complete_read(&sim.owner[0]);
	advance(&sim, CLM_BATCH_MS);
	late = g_strdup(sim.owner[0].write_value);
	if_version = sim.owner[0].if_version;
	lose_answer(&sim.owner[0], false);
	complete_read(&sim.owner[0]);
	advance(&sim, CLM_BATCH_MS);
	assert_true(apply_write(&sim, late, if_version));
	complete_write(&sim.owner[0]);
	assert_int_equal(t.result, PENDING);
	request_claim(&sim, 0, &other, "k", "e2/1", "b");
	run_for(&sim, 100);
	assert_int_equal(t.result, CLM_GRANTED);
	assert_int_equal(other.result, PENDING);
	g_free(late);
	sim_free(&sim);
}

/*
 * The owner is paused beyond its lease during a write, and another gateway
 * takes the bucket over. After the pause the former owner must not grant: its
 * write is refused, as the takeover changed the object.
 */
static void
test_paused_owner(void **state)
{
	struct sim sim;
	struct request t, next;

	sim_init(&sim);
	request_claim(&sim, 0, &t, "k", "e1/1", "b");
	complete_read(&sim.owner[0]);
	advance(&sim, CLM_BATCH_MS);
	assert_non_null(sim.owner[0].write_value);
	sim.owner[0].live = false; /* according to the others */
	request_claim(&sim, 1, &next, "k", "e2/2", "b");
	complete_read(&sim.owner[1]);
	advance(&sim, CLM_BATCH_MS);
	complete_write(&sim.owner[1]);
	assert_int_equal(next.result, CLM_GRANTED);
	sim.owner[0].live = true;
	sim.now_us += 3000 * MS;
	complete_write(&sim.owner[0]);
	complete_read(&sim.owner[0]);
	assert_int_equal(t.result, CLM_MOVED);
	assert_string_equal(t.owner, "e1");
	sim_free(&sim);
}

/*
 * As before, but the write took effect before the owner was paused. The owner
 * does not grant after its lease; the claimant requests again at the new owner,
 * which finds the claim and grants it to this claimant only.
 */
static void
test_paused_owner_after_write(void **state)
{
	struct sim sim;
	struct request t, other;

	sim_init(&sim);
	request_claim(&sim, 0, &t, "k", "e1/1", "b");
	complete_read(&sim.owner[0]);
	advance(&sim, CLM_BATCH_MS);
	assert_true(apply_write(
	    &sim, sim.owner[0].write_value, sim.owner[0].if_version));
	sim.owner[0].live = false;
	request_claim(&sim, 1, &other, "k", "e2/2", "b");
	complete_read(&sim.owner[1]);
	advance(&sim, 100);
	complete_write(&sim.owner[1]);
	assert_int_equal(other.result, PENDING);
	sim.now_us += 3000 * MS;
	sim.owner[0].live = true;
	g_clear_pointer(&sim.owner[0].write_value, g_free);
	clm_write_done(sim.owner[0].clm, CLM_WRITE_APPLIED, 1, sim.now_us);
	assert_int_not_equal(t.result, CLM_GRANTED);
	clm_cancel(&t.base);
	request_claim(&sim, 1, &t, "k", "e1/1", "b");
	run_for(&sim, 100);
	assert_int_equal(t.result, CLM_GRANTED);
	assert_int_equal(other.result, PENDING);
	sim_free(&sim);
}

/* While the API is down claims are refused as NOT_RUN; once it is back the key
 * is free, although the last write had taken effect. */
static void
test_api_down(void **state)
{
	struct sim sim;
	struct request t, next;
	struct err err = { 0 };

	sim_init(&sim);
	sim.down = true;
	request_claim(&sim, 0, &t, "k", "e1/1", "b");
	run_for(&sim, 100);
	assert_int_equal(t.result, CLM_DOWN);
	clm_error(CLM_DOWN, &err);
	assert_int_equal(err.verdict, VERDICT_NOT_RUN);
	assert_int_equal(err.code, ERR_UNAVAILABLE);
	assert_true(err.retry_after_ms > 0);
	sim.down = false;
	request_claim(&sim, 0, &t, "k", "e1/2", "b");
	complete_read(&sim.owner[0]);
	advance(&sim, CLM_BATCH_MS);
	lose_answer(&sim.owner[0], true);
	sim.down = true;
	run_for(&sim, 100);
	assert_int_equal(t.result, CLM_DOWN);
	sim.down = false;
	run_for(&sim, 2000);
	request_claim(&sim, 0, &next, "k", "e2/1", "b");
	run_for(&sim, 100);
	assert_int_equal(next.result, CLM_GRANTED);
	sim_free(&sim);
}

/* If the API does not answer, a request is refused when its wait ends. */
static void
test_api_stalled(void **state)
{
	struct sim sim;
	struct request t, next;

	sim_init(&sim);
	request_claim(&sim, 0, &t, "k", "e1/1", "b");
	complete_read(&sim.owner[0]);
	advance(&sim, CLM_BATCH_MS);
	advance(&sim, 5000);
	assert_int_equal(t.result, CLM_DOWN);
	/* The write succeeds later; the key is freed again. */
	complete_write(&sim.owner[0]);
	request_claim(&sim, 0, &next, "k", "e2/1", "b");
	run_for(&sim, 500);
	assert_int_equal(next.result, CLM_GRANTED);
	sim_free(&sim);
}

static void
test_two_owners_at_once(void **state)
{
	struct sim sim;
	struct request a, b;

	sim_init(&sim);
	request_claim(&sim, 0, &a, "k", "e0/1", "b");
	request_claim(&sim, 1, &b, "k", "e1/1", "b");
	run_for(&sim, 200);
	assert_int_equal(a.result, CLM_GRANTED);
	assert_int_equal(b.result, CLM_MOVED);
	assert_string_equal(b.owner, "e0");
	/* Refused during the lease; then an idle owner loses the bucket. */
	request_claim(&sim, 1, &b, "k2", "e1/1", "b");
	assert_int_equal(b.result, CLM_MOVED);
	sim.owner[0].live = false; /* wrongly suspected for a moment */
	request_claim(&sim, 1, &b, "k2", "e1/1", "b");
	sim.owner[0].live = true;
	run_for(&sim, 100);
	assert_int_equal(b.result, CLM_MOVED);
	run_for(&sim, 3000);
	request_claim(&sim, 1, &b, "k2", "e1/1", "b");
	run_for(&sim, 100);
	assert_int_equal(b.result, CLM_GRANTED);
	/* The former owner does not answer from its outdated records. */
	settle(&sim, 1, "k", "e0/1", VERDICT_RAN);
	request_claim(&sim, 0, &a, "k", "e2/1", "b");
	run_for(&sim, 100);
	assert_int_equal(a.result, CLM_MOVED);
	/* An owner that writes keeps the bucket. */
	request_claim(&sim, 0, &a, "k3", "e0/2", "b");
	run_for(&sim, 100);
	assert_int_equal(a.result, CLM_MOVED);
	run_for(&sim, 1500);
	request_claim(&sim, 1, &b, "k4", "e1/2", "b");
	run_for(&sim, 1000);
	request_claim(&sim, 0, &a, "k3", "e0/2", "b");
	run_for(&sim, 100);
	assert_int_equal(a.result, CLM_MOVED);
	sim_free(&sim);
}

/* The gateway, which also owns the bucket, dies between its claim and the
 * dispatch. Whether the request ran is unknown: never a second run. */
static void
test_gateway_dies_after_claim(void **state)
{
	struct sim sim;
	struct request first, second;
	struct clm_stats stats;

	sim_init(&sim);
	request_claim(&sim, 0, &first, "k", "e0/1", "b");
	run_for(&sim, 100);
	assert_int_equal(first.result, CLM_GRANTED);
	stop_owner(&sim, 0);
	request_claim(&sim, 1, &second, "k", "e1/1", "b");
	run_for(&sim, 100);
	assert_int_equal(second.result, CLM_IN_DOUBT);
	clm_stats(sim.owner[1].clm, &stats);
	assert_int_equal(stats.reads, 1);
	sim_free(&sim);
}

/* The claimant's gateway dies while another claimant waits for the outcome. */
static void
test_gateway_dies_during_wait(void **state)
{
	struct sim sim;
	struct request first, second;

	sim_init(&sim);
	request_claim(&sim, 0, &first, "k", "e1/1", "b");
	run_for(&sim, 100);
	request_claim(&sim, 0, &second, "k", "e2/1", "b");
	run_for(&sim, 100);
	assert_int_equal(second.result, PENDING);
	sim.owner[1].live = false;
	run_for(&sim, 20);
	assert_int_equal(second.result, CLM_IN_DOUBT);
	sim_free(&sim);
}

/* Outcomes are retained until CLM_RETENTION_MS after the deadline at least,
 * also across changes of owner, and are removed later. */
static void
test_prune(void **state)
{
	static const char *const fill[] = { "0", "1", "2", "3", "4", "5" };
	struct sim sim;
	struct request t;
	unsigned int i;

	sim_init(&sim);
	request_claim(&sim, 0, &t, "k", "e1/1", "b");
	run_for(&sim, 100);
	settle(&sim, 0, "k", "e1/1", VERDICT_RAN);
	run_for(&sim, CLM_OUTCOME_DELAY_MS + 300);
	for (i = 0; i < 6; i++) {
		sim.now_us += (CLM_RETENTION_MS + 24000LL) / 6 * MS;
		request_claim(&sim, i % 2, &t, fill[i], "e2/5", "b");
		run_for(&sim, 100);
		stop_owner(&sim, i % 2);
		if (sim.owner[(i + 1) % 2].clm == NULL)
			start_owner(&sim, (i + 1) % 2);
		request_claim(&sim, (i + 1) % 2, &t, "k", "e2/1", "b");
		run_for(&sim, 100);
		assert_int_equal(t.result, CLM_RECORDED);
	}
	sim.now_us += 20000 * MS;
	request_claim(&sim, 0, &t, "last", "e2/6", "b");
	run_for(&sim, 100);
	request_claim(&sim, 0, &t, "k", "e2/1", "b");
	run_for(&sim, 100);
	assert_int_equal(t.result, CLM_GRANTED);
	sim_free(&sim);
}

static void
test_release(void **state)
{
	struct sim sim;
	struct request t;

	sim_init(&sim);
	request_claim(&sim, 0, &t, "k", "e1/1", "b");
	run_for(&sim, 100);
	clm_release(sim.owner[0].clm, sim.now_us);
	run_for(&sim, 50);
	/* The next owner does not wait for the lease to expire. */
	request_claim(&sim, 1, &t, "k2", "e1/2", "b");
	run_for(&sim, 100);
	assert_int_equal(t.result, CLM_GRANTED);
	settle(&sim, 0, "k", "e1/1", VERDICT_RAN);
	run_for(&sim, 100);
	assert_int_equal(sim.owner[0].forwarded, 1);
	sim_free(&sim);
}

/* An object that is not a valid bucket is neither used nor overwritten. */
static void
test_invalid_object(void **state)
{
	static const char *const values[] = { "", "[]", "{}",
		"{\"owner\":\"\",\"claims\":[1]}",
		"{\"owner\":\"\",\"claims\":[{\"key\":\"k\"}]}" };
	struct sim sim;
	struct request t;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(values); i++) {
		sim_init(&sim);
		sim.value = g_strdup(values[i]);
		sim.version = 3;
		request_claim(&sim, 0, &t, "k", "e1/1", "b");
		run_for(&sim, 100);
		assert_int_equal(t.result, CLM_DOWN);
		assert_int_equal(sim.version, 3);
		sim_free(&sim);
	}
	sim_init(&sim);
	request_claim(&sim, 0, &t, "\xff", "e1/1", "b");
	assert_int_equal(t.result, CLM_BAD_KEY);
	sim_free(&sim);
}

#define DEPTH 500000 /* overflows the stack of a parser that recurses */

/* Guards against a process that ends when it reads a bucket. */
static void
test_deeply_nested_object(void **state)
{
	char *deep = g_strnfill(DEPTH, '[');
	struct request t;
	struct sim sim;

	sim_init(&sim);
	sim.value = g_strdup_printf("{\"owner\":\"\",\"claims\":%s", deep);
	sim.version = 3;
	request_claim(&sim, 0, &t, "k", "e1/1", "b");
	run_for(&sim, 100);
	assert_int_equal(t.result, CLM_DOWN);
	assert_int_equal(sim.version, 3);
	sim_free(&sim);
	g_free(deep);
}

#define MANY 4000

/* A full bucket refuses new claims and retains all existing ones. */
static void
test_full(void **state)
{
	struct sim sim;
	struct request *t = g_new0(struct request, MANY);
	char(*key)[200] = g_malloc0(MANY * sizeof(*key));
	unsigned int i, granted = 0;

	sim_init(&sim);
	for (i = 0; i < MANY; i++) {
		g_snprintf(key[i], sizeof(key[i]), "%0150u", i);
		request_claim(&sim, 0, &t[i], key[i], "e1/1", "b");
		if (i % 100 == 99)
			run_for(&sim, 50);
		if (t[i].result == CLM_GRANTED)
			granted++;
	}
	for (i = 0, granted = 0; i < MANY; i++)
		granted += t[i].result == CLM_GRANTED ? 1 : 0;
	assert_in_range(granted, 500, MANY - 100);
	assert_int_equal(t[MANY - 1].result, CLM_FULL);
	request_claim(&sim, 0, &t[0], key[0], "e2/1", "b");
	run_for(&sim, 100);
	assert_int_equal(t[0].result, PENDING); /* still claimed */
	sim_free(&sim);
	g_free(key);
	g_free(t);
}

/* The write rate limit holds, and all claims are granted nevertheless. */
static void
test_write_limit(void **state)
{
	struct sim sim;
	struct request t[1000];
	char key[1000][8];
	unsigned int i;

	sim_init(&sim);
	sim.owner[0].write_limit.writes_s = 20;
	for (i = 0; i < 1000; i++) {
		g_snprintf(key[i], 8, "%u", i);
		request_claim(&sim, 0, &t[i], key[i], "e1/1", "b");
		run_for(&sim, 4);
	}
	assert_in_range(write_count(&sim, 0), 70, 95);
	run_for(&sim, 200);
	for (i = 0; i < 1000; i++)
		assert_int_equal(t[i].result, CLM_GRANTED);
	sim_free(&sim);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_batch),
		cmocka_unit_test(test_retries),
		cmocka_unit_test(test_doubt),
		cmocka_unit_test(test_not_run_frees),
		cmocka_unit_test(test_grant_lost),
		cmocka_unit_test(test_write_answer_lost),
		cmocka_unit_test(test_write_applied_late),
		cmocka_unit_test(test_paused_owner),
		cmocka_unit_test(test_paused_owner_after_write),
		cmocka_unit_test(test_api_down),
		cmocka_unit_test(test_api_stalled),
		cmocka_unit_test(test_two_owners_at_once),
		cmocka_unit_test(test_gateway_dies_after_claim),
		cmocka_unit_test(test_gateway_dies_during_wait),
		cmocka_unit_test(test_prune),
		cmocka_unit_test(test_release),
		cmocka_unit_test(test_invalid_object),
		cmocka_unit_test(test_deeply_nested_object),
		cmocka_unit_test(test_full),
		cmocka_unit_test(test_write_limit),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
