/* Copies that contradict the chunk list. */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include "nodes.h"
#include "weights/mismatch.h"

static const struct digest one = { { 1 } }, two = { { 2 } };

/* Guards against a sound list that is doubted for corrupt copies. */
static void
test_different_copies_are_no_contradiction(void **state)
{
	struct mismatches *m = mismatches_new();
	struct wts_mismatch worst;

	mismatches_add(m, 7, &one);
	mismatches_add(m, 7, &two);
	mismatches_add(m, 7, &one);
	mismatches_add(m, 8, &one);
	assert_false(mismatches_worst(m, &worst));
	mismatches_free(m);
}

/* Guards against two corrupt digests whose chunks are read in turn. */
static void
test_chunks_are_counted_separately(void **state)
{
	struct mismatches *m = mismatches_new();
	struct wts_mismatch worst;

	mismatches_add(m, 7, &one);
	mismatches_add(m, 8, &two);
	mismatches_add(m, 7, &one);
	assert_true(mismatches_worst(m, &worst));
	assert_int_equal(worst.index, 7);
	assert_int_equal(worst.copies, 2);
	mismatches_add(m, 8, &two);
	mismatches_add(m, 8, &two);
	assert_true(mismatches_worst(m, &worst));
	assert_int_equal(worst.index, 8);
	assert_int_equal(worst.copies, 3);
	mismatches_remove(m, 8);
	assert_true(mismatches_worst(m, &worst));
	assert_int_equal(worst.index, 7);
	mismatches_free(m);
}

/* Guards against a corrupt list that is replaced by another corrupt one. */
static void
test_list_must_match_all_copies(void **state)
{
	struct digest digests[3] = { { { 0 } }, one, one };
	GBytes *list = g_bytes_new_static(digests, sizeof(digests));
	struct mismatches *m = mismatches_new();

	mismatches_add(m, 0, &two); /* a single copy decides nothing */
	assert_false(mismatches_explained(m, list));
	mismatches_add(m, 1, &one);
	mismatches_add(m, 1, &one);
	assert_true(mismatches_explained(m, list));
	mismatches_add(m, 2, &two);
	mismatches_add(m, 2, &two);
	assert_false(mismatches_explained(m, list));
	/* The chunks have arrived meanwhile: the list in use is right. */
	mismatches_remove(m, 1);
	mismatches_remove(m, 2);
	assert_false(mismatches_explained(m, list));
	g_bytes_unref(list);
	mismatches_free(m);
}

static bool
has_mismatch(const struct nodes *s, const struct model *m)
{
	struct wts_mismatch worst;

	return wts_worst_mismatch(s->node[0].wts, &m->version.root, &worst);
}

/* Guards against a transfer that reads a chunk again and again, and does not
 * report that its digest is wrong. */
static void
test_transfer_reports_a_corrupt_digest(void **state)
{
	struct nodes s = { .rate = 4 << 20, .memory = 1 << 20 };
	struct wts_mismatch worst;
	struct model m;
	struct digest sound;
	GBytes *corrupt;

	model_init(&m, "m", 8, 1);
	model_compute_root(&m);
	sound = ((struct digest *)m.list->data)[3];
	m.list->data[3 * DIGEST_BYTES] ^= 1;
	wts_root(m.version.bytes, m.version.chunk_bytes, m.list->data,
	    m.list->len, &m.version.root);
	s.origin.models = &m;
	s.origin.nmodels = 1;
	nodes_start(&s, 1);
	nodes_want_all(&s, &m, 1);
	nodes_run_until(&s, has_mismatch, &m);
	assert_true(wts_worst_mismatch(s.node[0].wts, &m.version.root, &worst));
	assert_int_equal(worst.index, 3);
	assert_true(digest_equal(&worst.digest, &sound));
	corrupt = g_bytes_new(m.list->data, m.list->len);
	assert_false(
	    wts_explains_mismatches(s.node[0].wts, &m.version.root, corrupt));
	g_bytes_unref(corrupt);
	nodes_stop(&s);
	model_free(&m);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_different_copies_are_no_contradiction),
		cmocka_unit_test(test_chunks_are_counted_separately),
		cmocka_unit_test(test_list_must_match_all_copies),
		cmocka_unit_test(test_transfer_reports_a_corrupt_digest),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
