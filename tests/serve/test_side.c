/* Encoding of terminations between processes. */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <string.h>

#include "serve/side.h"

#define NOW_US (G_GINT64_CONSTANT(1000) * G_USEC_PER_SEC)

static struct sus_termination
pass_on(const struct sus_termination *termination)
{
	GByteArray *entries = g_byte_array_new();
	struct side_terminations message;
	struct sus_termination out;

	side_termination_put(entries, termination, NOW_US);
	assert_int_equal(entries->len, SIDE_TERMINATION_BYTES);
	message.entries = (struct slice){ entries->data, entries->len };
	assert_int_equal(side_terminations_count(&message), 1);
	side_termination_get(&message, 0, NOW_US, &out);
	g_byte_array_unref(entries);
	return out;
}

static void
test_termination_is_passed_on(void **state)
{
	static const unsigned int weights[] = { SUS_CLEARED, SUS_ANSWERING,
		SUS_UNANSWERED, SUS_PROBE };
	struct sus_termination in = { .fingerprint = UINT64_MAX - 1,
		.target = 7,
		.at_us = NOW_US - 1500000,
		.in_flight_us = 41000 },
			       out;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(weights); i++) {
		in.weight = weights[i];
		out = pass_on(&in);
		assert_true(out.fingerprint == in.fingerprint);
		assert_int_equal(out.target, in.target);
		assert_int_equal(out.weight, in.weight);
		assert_int_equal(out.at_us, in.at_us);
		assert_int_equal(out.in_flight_us, 40000);
	}
}

/* Guards against a long time in flight that changes the weight. */
static void
test_long_time_in_flight(void **state)
{
	struct sus_termination in = { .fingerprint = 1,
		.target = 2,
		.weight = SUS_ANSWERING,
		.at_us = NOW_US,
		.in_flight_us = 60 * G_USEC_PER_SEC };
	struct sus_termination out = pass_on(&in);

	assert_int_equal(out.weight, SUS_ANSWERING);
	assert_true(out.in_flight_us >= 200000);
	in.in_flight_us = -1;
	assert_int_equal(pass_on(&in).in_flight_us, 0);
}

/* Accounts of several services come back as they were put in; what does not fit
 * or is cut off is left out. */
static void
test_accounts(void **state)
{
	static struct spend_copy one, other, out;
	GByteArray *entries = g_byte_array_new();
	struct side_account message = { 0 };
	char service[SV_ID_MAX], long_name[SV_ID_MAX];
	size_t at = 0;
	int i;

	one.phase_us = 1234;
	for (i = 0; i < SPEND_SLOTS; i++) {
		one.counts.requests[i] = (uint32_t)i * 1000;
		one.counts.extra[i] = (uint32_t)i;
		other.counts.extra[i] = 70000;
	}
	memset(long_name, 'x', sizeof(long_name));
	long_name[SV_ID_MAX - 1] = '\0';
	assert_true(side_account_put(entries, "one", &one));
	assert_true(side_account_put(entries, long_name, &other));
	message.entries = (struct slice){ entries->data, entries->len };
	assert_true(side_account_get(&message, &at, service, &out));
	assert_string_equal(service, "one");
	assert_int_equal(out.phase_us, 1234);
	assert_memory_equal(&out.counts, &one.counts, sizeof(out.counts));
	assert_true(side_account_get(&message, &at, service, &out));
	assert_string_equal(service, long_name);
	assert_int_equal(out.counts.extra[3], UINT16_MAX);
	assert_false(side_account_get(&message, &at, service, &out));
	at = 0;
	message.entries.len -= 1;
	assert_true(side_account_get(&message, &at, service, &out));
	assert_false(side_account_get(&message, &at, service, &out));
	for (i = 0; side_account_put(entries, "more", &one); i++)
		assert_true(entries->len <= SIDE_ACCOUNT_ENTRIES_MAX);
	g_byte_array_unref(entries);
}

/* Whether a message with all 64-bit fields at zero but the one at `offset` is
 * read. */
static bool
is_read_with(const struct msg_desc *desc, size_t offset, uint64_t value)
{
	GByteArray *wire = g_byte_array_new();
	void *message = g_malloc0(desc->size), *read = g_malloc0(desc->size);
	struct msg m = { 0 };
	bool is_read;

	memcpy((char *)message + offset, &value, sizeof(value));
	msg_pack(wire, 0, desc, message);
	assert_true(msg_open(&m, wire->data, wire->len, NULL));
	is_read = msg_read(&m, desc, read, NULL);
	msg_close(&m);
	g_byte_array_unref(wire);
	g_free(message);
	g_free(read);
	return is_read;
}

/*
 * Guards against times that overflow: a deadline of 292,000 years after the
 * announcement lay in the past as a sum, so that engines counted as expired.
 */
static void
test_longest_times(void **state)
{
	static const uint64_t year_ms = UINT64_C(365) * 24 * 3600 * 1000;
	static const struct {
		const struct msg_desc *desc;
		size_t offset;
	} times[] = {
		{ &side_desired_desc, offsetof(struct side_desired, age_ms) },
		{ &side_desired_desc,
		    offsetof(struct side_desired, deadline_ms) },
		{ &side_desired_desc,
		    offsetof(struct side_desired, older_age_ms) },
		{ &side_report_desc,
		    offsetof(struct side_report, wanted_age_ms) },
		{ &side_report_desc,
		    offsetof(struct side_report, older_age_ms) },
		{ &side_rate_desc, offsetof(struct side_rate, age_ms) },
		{ &side_account_desc,
		    offsetof(struct side_account, window_ms) },
		{ &side_account_desc, offsetof(struct side_account, known_ms) },
		{ &side_account_desc, offsetof(struct side_account, age_ms) },
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(times); i++) {
		assert_true(
		    is_read_with(times[i].desc, times[i].offset, year_ms));
		if (is_read_with(
			times[i].desc, times[i].offset, INT64_MAX / 1000) ||
		    is_read_with(times[i].desc, times[i].offset, UINT64_MAX))
			fail_msg("read a time out of range, %zu", i);
	}
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_termination_is_passed_on),
		cmocka_unit_test(test_long_time_in_flight),
		cmocka_unit_test(test_accounts),
		cmocka_unit_test(test_longest_times),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
