/* The retry accounts of a forwarder: what is charged, copied and continued. */

#include "world.h"

#define FAILURE                                            \
	"HTTP/1.1 500 Failed\r\nT-Id: q1\r\nT-Seal: s\r\n" \
	"Content-Length: 0\r\n\r\n"

static unsigned int requests, retries;

static void
add_up(const char *service, const struct spend_copy *copy, void *ctx)
{
	int i;

	assert_string_equal(service, SERVICE);
	for (i = 0; i < SPEND_SLOTS; i++) {
		requests += copy->counts.requests[i];
		retries += copy->counts.extra[i];
	}
}

static void
read_accounts(void)
{
	requests = retries = 0;
	fwd_each_account(w.fwd, add_up, NULL);
}

static int
set_up(void **state)
{
	world_open(2, make_config(SV_SAFE, 2, 3000));
	return 0;
}

static int
tear_down(void **state)
{
	world_close();
	return 0;
}

/* An attempt beyond the first is charged and announced for a copy; the first one
 * is not. */
static void
test_retry_is_charged(void **state)
{
	int fd = send_get();
	struct target *t = target_next();

	read_accounts();
	assert_int_equal(requests, 1);
	assert_int_equal(retries, 0);
	assert_int_equal(w.account_changes, 0);
	raw_send(t->fd, FAILURE);
	t = target_next();
	read_accounts();
	assert_int_equal(requests, 1);
	assert_int_equal(retries, 1);
	assert_int_equal(w.account_changes, 1);
	raw_send(t->fd, ANSWER);
	expect_answer(fd, "ok");
}

/* Guards against a process that retries on top of what the one before it has
 * used: the retry is denied, and the caller gets the target's failure. */
static void
test_account_is_continued(void **state)
{
	struct spend_copy copy = { .counts.extra[2] = 200 };
	struct target *t;
	int fd;

	fwd_inherit_account(w.fwd, SERVICE, &copy, 0);
	fd = send_get();
	t = target_next();
	raw_send(t->fd, FAILURE);
	expect_answer(fd, "500 ");
	assert_false(target_is_called());
	assert_int_equal(ctr_read(w.counters, "retries_denied"), 1);
	assert_int_equal(w.account_changes, 0);
}

/* Guards against a copy without the retries of requests that have expired: the
 * next process would retry on top of them. */
static void
test_retries_outlast_requests(void **state)
{
	struct spend_copy copy = { .counts.extra[2] = 3 };

	fwd_inherit_account(w.fwd, SERVICE, &copy, 0);
	read_accounts();
	assert_int_equal(requests, 0);
	assert_int_equal(retries, 3);
}

/* Nor does the slack help while this process must not use it. */
static void
test_no_share(void **state)
{
	struct target *t;
	int fd;

	fwd_budget(w.fwd)->processes = 0;
	fwd_budget(w.fwd)->ratio = 0.5;
	fd = send_get();
	t = target_next();
	raw_send(t->fd, FAILURE);
	expect_answer(fd, "500 ");
	assert_false(target_is_called());
}

#define TEST(f) cmocka_unit_test_setup_teardown(f, set_up, tear_down)

int
main(void)
{
	const struct CMUnitTest tests[] = {
		TEST(test_retry_is_charged),
		TEST(test_account_is_continued),
		TEST(test_retries_outlast_requests),
		TEST(test_no_share),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
