/* Status reports relayed by another gateway: encoding and acceptance. */

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
	struct sv_target record = { .id = "e1",
		.service = "engines",
		.address = "10.0.0.1:8000",
		.domain = "z2",
		.slots = 8,
		.has_models = true };

	return tgt_put(set, &record, 0);
}

static struct side_relayed
report(uint32_t seq, unsigned int total)
{
	struct side_relayed w = { .seq = seq,
		.total = total,
		.slowdown_permille = 2500,
		.slow_link = true,
		.inbound_ms = 150 };

	return w;
}

static void
test_wire_format(void **state)
{
	GByteArray *entries = g_byte_array_new(), *wire = g_byte_array_new();
	struct side_relayed in = report(UINT32_MAX, 12), out;
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
	/* Rounded up: a cancel must not be sent too late. */
	assert_in_range(out.inbound_ms, 150, 150 + SIDE_INBOUND_STEP_MS);
	msg_close(&m);
	g_byte_array_unref(wire);
	g_byte_array_unref(entries);
}

/*
 * A gateway is stalled for seconds and then relays a report that it received
 * before. That report arrives last but is the oldest: if accepted, it would
 * show free slots that were taken long ago, and many requests would be sent
 * there.
 */
static void
test_late_report_is_ignored(void **state)
{
	struct tgt_policy policy = { .gateways = 35 };
	struct tgt_set *set = tgt_set_new("r1", &policy);
	struct tgt *t = one_target(set);
	struct side_relayed late = report(10, 0), fresh = report(12, 8);

	tgt_side_reported(t, 11, SECOND);
	tgt_set_load(t, 7, SECOND);
	assert_false(tgt_relayed(t, &late, 2 * SECOND));
	assert_int_equal(t->reported, 7);
	assert_true(tgt_relayed(t, &fresh, 2 * SECOND));
	assert_int_equal(t->reported, 8);
	assert_int_equal(t->side_report_us, 2 * SECOND);
	assert_true(t->slowdown > 2.4 && t->slowdown < 2.6);
	assert_true(t->slow_link);
	assert_int_equal(t->inbound_us, 150000);
	assert_false(tgt_relayed(t, &fresh, 3 * SECOND)); /* a duplicate */
	tgt_set_free(set);
}

/* The sequence number of a sidecar that has run for long wraps around. */
static void
test_sequence_wraps(void **state)
{
	assert_true(side_seq_after(3, UINT32_MAX - 2));
	assert_false(side_seq_after(UINT32_MAX - 2, 3));
	assert_false(side_seq_after(5, 5));
}

/*
 * A relayed report says how full an engine is, not whether it accepts requests.
 * An engine whose own sidecar has not reported yet may be loading weights, so
 * relayed reports on it are ignored.
 */
static void
test_sidecar_must_have_reported_itself(void **state)
{
	struct tgt_policy policy = { .gateways = 35 };
	struct tgt_set *set = tgt_set_new("r1", &policy);
	struct tgt *t = one_target(set);
	struct side_relayed w = report(5, 0);

	assert_false(tgt_relayed(t, &w, SECOND));
	assert_int_equal(t->side_report_us, 0);
	assert_int_equal(t->reported_us, 0);
	tgt_set_free(set);
}

/* A sidecar that restarts begins a new sequence: its own report resets the
 * sequence number, and relayed reports are compared with that. */
static void
test_restarted_sidecar(void **state)
{
	struct tgt_policy policy = { .gateways = 35 };
	struct tgt_set *set = tgt_set_new("r1", &policy);
	struct tgt *t = one_target(set);
	struct side_relayed w = report(2, 4);

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
		cmocka_unit_test(test_wire_format),
		cmocka_unit_test(test_late_report_is_ignored),
		cmocka_unit_test(test_sequence_wraps),
		cmocka_unit_test(test_sidecar_must_have_reported_itself),
		cmocka_unit_test(test_restarted_sidecar),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
