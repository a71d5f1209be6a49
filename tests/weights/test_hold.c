/* Versions, the chunk store and the link's budgets. */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <glib/gstdio.h>
#include <string.h>

#include "weights/hold.h"
#include "weights/link.h"
#include "weights/proto.h"
#include "weights/version.h"

#define CHUNK WTS_CHUNK_MIN

static uint8_t bytes[4 * CHUNK];

/* Four chunks, the last one short; 1 and 2 are equal. */
static GBytes *
make_list(struct wts_version *v)
{
	struct digest digests[4];
	uint64_t i;

	memset(v, 0, sizeof(*v));
	v->bytes = sizeof(bytes) - 1000;
	v->chunk_bytes = CHUNK;
	for (i = 0; i < sizeof(bytes); i++)
		bytes[i] = (uint8_t)(i / CHUNK == 2 ? 1 : i / CHUNK);
	for (i = 0; i < 4; i++)
		digest_of(
		    bytes + i * CHUNK, version_chunk_len(v, i), &digests[i]);
	return g_bytes_new(digests, sizeof(digests));
}

static void
note_filled(struct hold_version *version, uint64_t index, void *ctx)
{
	*(unsigned int *)ctx |= 1u << index;
}

static GBytes *
chunk_of(const struct wts_version *v, uint64_t index)
{
	return g_bytes_new(bytes + index * CHUNK, version_chunk_len(v, index));
}

static void
test_chunks_are_shared_and_freed_with_last_use(void **state)
{
	struct hold *hold = hold_new(1 << 20);
	unsigned int filled_a = 0, filled_b = 0;
	struct hold_version *a, *b;
	struct wts_version v;
	GBytes *list = make_list(&v);
	GBytes *chunk = chunk_of(&v, 1);

	a = hold_open(hold, &v, list, note_filled, &filled_a, NULL);
	b = hold_open(hold, &v, list, note_filled, &filled_b, NULL);
	assert_int_equal(hold_reserved(hold), v.bytes - CHUNK);
	hold_put(a, 1, chunk);
	g_bytes_unref(chunk);
	assert_int_equal(filled_a, 1u << 1 | 1u << 2);
	assert_int_equal(filled_b, 1u << 1 | 1u << 2);
	hold_close(a);
	assert_true(hold_has(b, 2));
	assert_false(hold_has(b, 0));
	hold_retire(b);
	b = hold_open(hold, &v, list, note_filled, &filled_b, NULL);
	assert_true(hold_has(b, 1));
	hold_release_retired(hold);
	assert_true(hold_has(b, 1));
	hold_close(b);
	assert_int_equal(hold_reserved(hold), 0);
	g_bytes_unref(list);
	hold_free(hold);
}

/* Guards against a chunk that ends the process: two versions have its digest in
 * their lists, at places of different lengths. */
static void
test_chunks_of_other_lengths_are_not_shared(void **state)
{
	struct hold *hold = hold_new(1 << 20);
	struct wts_version a_version = { .bytes = CHUNK, .chunk_bytes = CHUNK };
	struct wts_version b_version = { .bytes = 100, .chunk_bytes = CHUNK };
	GBytes *chunk = g_bytes_new_static(bytes, CHUNK);
	unsigned int filled = 0;
	struct digest digest;
	GBytes *list;
	struct hold_version *a, *b;

	digest_of(bytes, CHUNK, &digest);
	list = g_bytes_new(&digest, sizeof(digest));
	b = hold_open(hold, &b_version, list, note_filled, &filled, NULL);
	a = hold_open(hold, &a_version, list, note_filled, &filled, NULL);
	assert_int_equal(hold_reserved(hold), CHUNK + 100);
	hold_put(a, 0, chunk);
	assert_ptr_equal(hold_get(a, 0), chunk);
	assert_false(hold_has(b, 0));
	hold_retire(b);
	hold_close(a);
	hold_release_retired(hold);
	assert_int_equal(hold_reserved(hold), 0);
	g_bytes_unref(list);
	g_bytes_unref(chunk);
	hold_free(hold);
}

/* A version that does not fit is refused before any chunk of it is fetched;
 * chunks retained for a dropped version are freed first. */
static void
test_memory_budget(void **state)
{
	struct hold *hold = hold_new(3 * CHUNK);
	struct hold_version *a, *b;
	struct wts_version v, other;
	GBytes *list = make_list(&v);
	struct digest digest = { { 1 } };
	GBytes *one = g_bytes_new(&digest, sizeof(digest));
	uint64_t missing = 0;

	a = hold_open(hold, &v, list, note_filled, NULL, NULL);
	assert_non_null(a);
	other = (struct wts_version){ .bytes = CHUNK, .chunk_bytes = CHUNK };
	b = hold_open(hold, &other, one, note_filled, NULL, &missing);
	assert_null(b);
	assert_int_equal(missing, CHUNK - 1000);
	hold_retire(a);
	b = hold_open(hold, &other, one, note_filled, NULL, &missing);
	assert_non_null(b);
	hold_close(b);
	g_bytes_unref(list);
	g_bytes_unref(one);
	hold_free(hold);
}

static void
test_digest_of_a_file(void **state)
{
	char *path = NULL;
	int fd = g_file_open_tmp("weights-XXXXXX", &path, NULL);
	GByteArray *got = g_byte_array_new();
	struct wts_version v, read;
	GBytes *list = make_list(&v);
	struct digest root;
	struct err err;

	assert_true(fd >= 0);
	g_close(fd, NULL);
	g_file_set_contents(path, (const char *)bytes, (gssize)v.bytes, NULL);
	assert_true(wts_digest_file(path, CHUNK, got, &read, &err));
	assert_int_equal(read.bytes, v.bytes);
	assert_int_equal(got->len, g_bytes_get_size(list));
	assert_memory_equal(got->data, g_bytes_get_data(list, NULL), got->len);
	wts_root(v.bytes, CHUNK, got->data, got->len, &root);
	assert_true(digest_equal(&root, &read.root));
	/* The same list with another chunk size is another version. */
	wts_root(v.bytes, 2 * CHUNK, got->data, got->len, &root);
	assert_false(digest_equal(&root, &read.root));
	assert_false(wts_digest_file(path, 1, got, &read, &err));
	assert_int_equal(err.code, ERR_INVALID);
	g_unlink(path);
	assert_false(wts_digest_file(path, CHUNK, got, &read, &err));
	assert_int_equal(err.code, ERR_NOT_FOUND);
	g_byte_array_unref(got);
	g_bytes_unref(list);
	g_free(path);
}

static void
test_index_encoding(void **state)
{
	static const uint32_t some[] = { 0, 127, 128, 50000, 2000000,
		PROTO_LIST };
	GByteArray *out = g_byte_array_new();
	struct slice in;
	uint32_t got;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(some); i++)
		proto_add_index(out, some[i]);
	assert_int_equal(out->len, 1 + 1 + 2 + 3 + 3 + 5);
	in = (struct slice){ out->data, out->len };
	for (i = 0; i < G_N_ELEMENTS(some); i++) {
		assert_true(proto_next_index(&in, &got));
		assert_int_equal(got, some[i]);
	}
	assert_false(proto_next_index(&in, &got));
	/* Input ends within an index. */
	in = (struct slice){ out->data + 2, 1 };
	assert_false(proto_next_index(&in, &got));
	g_byte_array_unref(out);
}

/* Bytes are sent at the configured rate, whatever the intervals at which the
 * clock is read; an idle link saves up almost nothing. */
static void
test_bucket_keeps_the_rate(void **state)
{
	struct bucket b;
	int64_t now = 0;
	uint64_t sent = 0;

	bucket_init(&b, 1000000, 0);
	now = 10 * 1000000;
	while (now < 11 * 1000000) {
		if (bucket_ready_us(&b, now) <= now) {
			bucket_take(&b, 5000, now);
			sent += 5000;
		}
		now += 7;
	}
	assert_in_range(sent, 1000000, 1000000 + 20000 + 5000);
}

/* Live traffic takes from the budget at once, and weights wait; but a burst
 * delays them by at most a quarter of a second. */
static void
test_live_traffic_has_priority(void **state)
{
	struct bucket b;

	bucket_init(&b, 1000000, 0);
	bucket_take_live(&b, 100000, 0);
	assert_in_range(bucket_ready_us(&b, 0), 99000, 101000);
	bucket_take_live(&b, 100000000, 0);
	assert_in_range(bucket_ready_us(&b, 0), 249000, 251000);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(
		    test_chunks_are_shared_and_freed_with_last_use),
		cmocka_unit_test(test_chunks_of_other_lengths_are_not_shared),
		cmocka_unit_test(test_memory_budget),
		cmocka_unit_test(test_digest_of_a_file),
		cmocka_unit_test(test_index_encoding),
		cmocka_unit_test(test_bucket_keeps_the_rate),
		cmocka_unit_test(test_live_traffic_has_priority),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
