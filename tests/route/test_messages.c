/* Messages between gateways and sidecars: round trips and bounds. */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <string.h>

#include "route/route.h"

#define STRUCT_MAX 1024

static const struct msg_desc *const descs[] = {
	&rt_request_desc,
	&rt_head_desc,
	&rt_data_desc,
	&rt_end_desc,
	&rt_cancel_desc,
	&rt_window_desc,
	&rt_watch_desc,
	&rt_target_desc,
	&rt_order_desc,
	&rt_order_done_desc,
	&rt_status_get_desc,
	&rt_status_desc,
	&rt_events_get_desc,
	&rt_events_desc,
	&rt_demand_desc,
	&rt_stalled_desc,
	&rt_claim_desc,
	&rt_claim_answer_desc,
	&rt_claim_settle_desc,
};

/* Fills each field with a distinct value within its bound. */
static void
fill(const struct msg_desc *desc, uint8_t *out)
{
	static const char text[] = "abcdefghijklmnopqrstuvwxyz";
	size_t i;

	memset(out, 0, STRUCT_MAX);
	for (i = 0; i < desc->nfields; i++) {
		const struct msg_field *f = &desc->fields[i];
		uint64_t *number = (uint64_t *)(out + f->offset);
		struct slice *slice = (struct slice *)(out + f->offset);

		switch (f->kind) {
		case MSG_U64:
		case MSG_I64:
			*number = f->max == 0 ? 1000 + i : MIN(1 + i, f->max);
			break;
		case MSG_BIN:
		case MSG_STR:
			slice->data = (const uint8_t *)text;
			slice->len = 1 + i;
			break;
		case MSG_DIGEST:
			digest_of(
			    &i, sizeof(i), (struct digest *)(out + f->offset));
			break;
		}
	}
}

static void
assert_same(const struct msg_desc *desc, const uint8_t *a, const uint8_t *b)
{
	size_t i;

	for (i = 0; i < desc->nfields; i++) {
		const struct msg_field *f = &desc->fields[i];
		const struct slice *x = (const struct slice *)(a + f->offset);
		const struct slice *y = (const struct slice *)(b + f->offset);

		if (f->kind == MSG_BIN || f->kind == MSG_STR) {
			assert_int_equal(x->len, y->len);
			assert_memory_equal(x->data, y->data, x->len);
		} else {
			assert_memory_equal(a + f->offset, b + f->offset,
			    f->kind == MSG_DIGEST ? DIGEST_BYTES
						  : sizeof(uint64_t));
		}
	}
}

static bool
send_and_read(const struct msg_desc *desc, const void *sent, uint8_t *got)
{
	GByteArray *bytes = g_byte_array_new();
	struct err err = { 0 };
	struct msg m;
	bool valid;

	msg_pack(bytes, 7, desc, sent);
	assert_true(bytes->len <= FRAME_MAX);
	assert_true(msg_open(&m, bytes->data, bytes->len, &err));
	assert_int_equal(m.type, desc->type);
	valid = msg_read(&m, desc, got, &err);
	if (valid)
		assert_same(desc, sent, got);
	msg_close(&m);
	g_byte_array_unref(bytes);
	return valid;
}

static void
test_round_trip(void **state)
{
	_Alignas(8) uint8_t sent[STRUCT_MAX], got[STRUCT_MAX];
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(descs); i++) {
		assert_true(descs[i]->size <= STRUCT_MAX);
		fill(descs[i], sent);
		assert_true(send_and_read(descs[i], sent, got));
	}
}

/* A number above its bound, used as an index or enum, must be refused. */
static void
test_numbers_out_of_bounds(void **state)
{
	_Alignas(8) uint8_t sent[STRUCT_MAX], got[STRUCT_MAX];
	size_t i, j;

	for (i = 0; i < G_N_ELEMENTS(descs); i++) {
		for (j = 0; j < descs[i]->nfields; j++) {
			const struct msg_field *f = &descs[i]->fields[j];

			if (f->kind != MSG_U64 || f->max == 0)
				continue;
			fill(descs[i], sent);
			*(uint64_t *)(sent + f->offset) = f->max + 1;
			assert_false(send_and_read(descs[i], sent, got));
		}
	}
}

static void
test_types_are_distinct(void **state)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(descs); i++) {
		assert_in_range(descs[i]->type, 20, 39);
		if (i > 0)
			assert_true(descs[i]->type > descs[i - 1]->type);
	}
}

/* A request with all fields at their bounds must fit into a frame. */
static void
test_largest_request(void **state)
{
	char *path = g_strnfill(RT_PATH_MAX, 'p');
	char *headers = g_strnfill(RT_HEADERS_MAX, 'h');
	uint8_t *body = g_malloc0(RT_BODY_MAX);
	struct rt_request sent = {
		.path = slice_str(path),
		.headers = slice_str(headers),
		.body = { body, RT_BODY_MAX },
	};
	_Alignas(8) uint8_t got[STRUCT_MAX];

	assert_true(send_and_read(&rt_request_desc, &sent, got));
	g_free(body);
	g_free(headers);
	g_free(path);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_round_trip),
		cmocka_unit_test(test_numbers_out_of_bounds),
		cmocka_unit_test(test_types_are_distinct),
		cmocka_unit_test(test_largest_request),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
