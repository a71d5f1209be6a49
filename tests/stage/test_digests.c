/* Checks of a list of digests. */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include "stage/digests.h"

static const struct dgs_size announced = { .chunks = 64, .chunk_bytes = 32768 };

static const char *
contradiction(uint64_t chunks, uint64_t chunk_bytes)
{
	const struct dgs_size listed = { chunks, chunk_bytes };

	return dgs_contradiction(&announced, &listed);
}

/* Guards against the size of chunks in a corrupted list, by which staged chunks
 * were stored and ended the process. */
static void
test_size_of_chunks_is_compared(void **state)
{
	static const uint64_t corrupted[] = { 0, 1, 22768, 32767, 32769, 72768,
		2147483648, INT64_MAX, UINT64_MAX };
	size_t i;

	assert_null(contradiction(64, 32768));
	for (i = 0; i < G_N_ELEMENTS(corrupted); i++)
		assert_string_equal(
		    contradiction(64, corrupted[i]), "chunk_bytes");
}

/* Guards against a list that lost or gained digests. */
static void
test_number_of_chunks_is_compared(void **state)
{
	assert_string_equal(contradiction(0, 32768), "chunks");
	assert_string_equal(contradiction(63, 32768), "chunks");
	assert_string_equal(contradiction(65, 32768), "chunks");
}

/* A size that was not announced contradicts nothing. */
static void
test_unknown_size_is_not_compared(void **state)
{
	const struct dgs_size none = { 0, 0 };
	const struct dgs_size listed = { 12, 4096 };

	assert_null(dgs_contradiction(&none, &listed));
}

/* Guards against a list that is never read again, and against one that is read
 * all the time. */
static void
test_contradicted_list_is_reread_with_pauses(void **state)
{
	struct dgs_doubt d = { .contradicted = false };
	int64_t now_us = 1000000, first_us = 0;
	unsigned int i;

	assert_false(dgs_is_reread(&d, now_us));
	d.contradicted = true;
	assert_true(dgs_is_reread(&d, now_us));
	for (i = 0; i < 10; i++) {
		d.reread_us = now_us;
		assert_false(dgs_is_reread(&d, now_us + 299999));
		while (!dgs_is_reread(&d, now_us))
			now_us += 1000;
		if (i == 0)
			first_us = now_us - d.reread_us;
		d.rereads++;
	}
	assert_int_equal(first_us, 300000);
	assert_int_equal(now_us - d.reread_us, 5000000);
}

/* Guards against a host that stays alone with a corrupt list. */
static void
test_others_outweigh_one_read(void **state)
{
	const struct digest one = { { 1 } }, two = { { 2 } };
	struct dgs_roots r = { .own = one };

	assert_false(dgs_follows_others(&r));
	r.agreed = one;
	assert_false(dgs_follows_others(&r));
	r.agreed = two;
	assert_true(dgs_follows_others(&r));
	/* Chunks have contradicted it. */
	r.rejected = two;
	assert_false(dgs_follows_others(&r));
	r.own = (struct digest){ 0 };
	r.rejected = one;
	assert_false(dgs_follows_others(&r));
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_size_of_chunks_is_compared),
		cmocka_unit_test(test_number_of_chunks_is_compared),
		cmocka_unit_test(test_unknown_size_is_not_compared),
		cmocka_unit_test(test_contradicted_list_is_reread_with_pauses),
		cmocka_unit_test(test_others_outweigh_one_read),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
