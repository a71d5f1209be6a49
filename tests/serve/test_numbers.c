/* Numbers in requests that are larger than any that callers mean. */

#include "world.h"

#define LARGEST "999999999999999999" /* that is read as a number */
#define CALLERS 20

/* Guards against a process that ends itself when the sum of the prompts at one
 * target exceeds what its type holds. */
static void
test_sum_of_prompts(void **state)
{
	struct sv_target record;
	int fd[CALLERS], at_target[CALLERS], i;

	world_open(1, make_config(SV_UNSAFE, 1, 20000));
	record = target_record(&w.target[0]);
	record.slots = 2 * CALLERS;
	tgt_put(w.set, &record, now_us());
	for (i = 0; i < CALLERS; i++) {
		fd[i] = send_request("POST", "/x/1",
		    "T-Deadline: 20000\r\nT-Tokens: " LARGEST ",1\r\n");
		at_target[i] = target_next()->fd;
	}
	for (i = 0; i < CALLERS; i++) {
		raw_send(at_target[i], ANSWER);
		expect_answer(fd[i], "ok");
		close(at_target[i]);
	}
	w.target[0].fd = -1;
	world_close();
}

/* Guards against an overflow in a duration; the route's time holds. */
static void
test_longest_deadline(void **state)
{
	int fd;

	world_open(1, make_config(SV_UNSAFE, 1, 20000));
	fd = send_request("POST", "/x/1", "T-Deadline: " LARGEST "\r\n");
	raw_send(target_next()->fd, ANSWER);
	expect_answer(fd, "ok");
	world_close();
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_sum_of_prompts),
		cmocka_unit_test(test_longest_deadline),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
