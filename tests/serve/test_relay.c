/* Loads that come by another gateway: on the wire, and whether to believe. */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <string.h>

#include "serve/tgt.h"

#define SECOND 1000000

static struct tgt *
one_target(struct tgt_set *set)
{
	struct sv_target says = { .id = "e1",
		.service = "engines",
		.address = "10.0.0.1:8000",
		.domain = "z2",
		.slots = 8,
		.has_models = true };

	return tgt_put(set, &says, 0);
}

static struct side_relayed
word(uint32_t seq, unsigned int total)
{
	struct side_relayed w = { .seq = seq,
		.total = total,
		.slowdown_permille = 2500,
		.slow_link = true };

	return w;
}

static void
test_entries_on_the_wire(void **state)
{
	GByteArray *entries = g_byte_array_new(), *wire = g_byte_array_new();
	struct side_relayed in = word(UINT32_MAX, 12), out;
	struct side_relay loads, read;
	struct msg m = { 0 };
	unsigned int i;

	for (i = 0; i < SIDE_RELAY_MAX; i++) {
		g_snprintf(
		    in.address, sizeof(in.address), "10.200.3.%u:65535", i + 1);
		assert_true(side_relayed_put(entries, &in));
	}
	g_strlcpy(in.address, "nowhere", sizeof(in.address));
	assert_false(side_relayed_put(entries, &in));
	loads.entries = (struct slice){ entries->data, entries->len };
	msg_pack(wire, 0, &side_relay_desc, &loads);
	assert_true(wire->len + 16 <= DGRAM_MAX);
	assert_true(msg_open(&m, wire->data, wire->len, NULL));
	assert_true(msg_read(&m, &side_relay_desc, &read, NULL));
	assert_int_equal(side_relayed_count(&read), SIDE_RELAY_MAX);
	side_relayed_get(&read, 41, &out);
	assert_string_equal(out.address, "10.200.3.42:65535");
	assert_int_equal(out.seq, UINT32_MAX);
	assert_int_equal(out.total, 12);
	assert_int_equal(out.slowdown_permille, 2500);
	assert_true(out.slow_link);
	msg_close(&m);
	g_byte_array_unref(wire);
	g_byte_array_unref(entries);
}

/*
 * A gateway stands still for seconds and then passes on what it had heard
 * before. Its word comes last and is the oldest: believed, it would show free
 * places that were taken long ago, and send a crowd there.
 */
static void
test_late_word_is_not_believed(void **state)
{
	struct tgt_policy policy = { .gateways = 35 };
	struct tgt_set *set = tgt_set_new("r1", &policy);
	struct tgt *t = one_target(set);
	struct side_relayed late = word(10, 0), fresh = word(12, 8);

	tgt_side_reported(t, 11, SECOND);
	tgt_set_load(t, 7, SECOND);
	assert_false(tgt_relayed(t, &late, 2 * SECOND));
	assert_int_equal(t->reported, 7);
	assert_true(tgt_relayed(t, &fresh, 2 * SECOND));
	assert_int_equal(t->reported, 8);
	assert_int_equal(t->side_report_us, 2 * SECOND);
	assert_true(t->slowdown > 2.4 && t->slowdown < 2.6);
	assert_true(t->slow_link);
	assert_false(tgt_relayed(t, &fresh, 3 * SECOND)); /* the same again */
	tgt_set_free(set);
}

/* The sequence of a keeper that ran for long wraps around. */
static void
test_sequence_wraps(void **state)
{
	assert_true(side_seq_after(3, UINT32_MAX - 2));
	assert_false(side_seq_after(UINT32_MAX - 2, 3));
	assert_false(side_seq_after(5, 5));
}

/*
 * A relayed word tells how full an engine is, not whether it takes requests.
 * One whose keeper was never heard itself may be loading: nothing follows.
 */
static void
test_side_must_have_spoken_itself(void **state)
{
	struct tgt_policy policy = { .gateways = 35 };
	struct tgt_set *set = tgt_set_new("r1", &policy);
	struct tgt *t = one_target(set);
	struct side_relayed w = word(5, 0);

	assert_false(tgt_relayed(t, &w, SECOND));
	assert_int_equal(t->side_report_us, 0);
	assert_int_equal(t->reported_us, 0);
	tgt_set_free(set);
}

/* A keeper that restarts counts from the beginning: its own word holds, and
 * what is relayed goes on from there. */
static void
test_restarted_keeper(void **state)
{
	struct tgt_policy policy = { .gateways = 35 };
	struct tgt_set *set = tgt_set_new("r1", &policy);
	struct tgt *t = one_target(set);
	struct side_relayed w = word(2, 4);

	tgt_side_reported(t, 5000, SECOND);
	assert_false(tgt_relayed(t, &w, SECOND));
	tgt_side_reported(t, 1, 2 * SECOND);
	assert_true(tgt_relayed(t, &w, 2 * SECOND));
	assert_int_equal(t->reported, 4);
	tgt_set_free(set);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_entries_on_the_wire),
		cmocka_unit_test(test_late_word_is_not_believed),
		cmocka_unit_test(test_sequence_wraps),
		cmocka_unit_test(test_side_must_have_spoken_itself),
		cmocka_unit_test(test_restarted_keeper),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
