/* Complete rollouts between a few hosts, without faults. */

#include "nodes.h"

static void
test_all_complete_with_one_origin_copy(void **state)
{
	struct nodes s = { .rate = 4 << 20, .memory = 1 << 20 };
	struct model m;
	size_t i;

	model_init(&m, "m", 60, 1);
	model_compute_root(&m);
	s.origin.models = &m;
	s.origin.nmodels = 1;
	nodes_start(&s, 8);
	nodes_want_all(&s, &m, 1);
	nodes_run_until(&s, nodes_complete, &m);
	for (i = 0; i < s.n; i++)
		node_check(&s.node[i], &m);
	assert_int_equal(s.origin.bytes_sent, m.version.bytes);
	assert_int_equal(nodes_count(&s, "wts_reads_out_of_turn"), 0);
	nodes_stop(&s);
	model_free(&m);
}

/* Guards against an engine that loads a chunk of an older version. Local copies
 * are offered while chunks are being received; a chunk received meanwhile
 * proves nothing about the offered bytes. */
static void
test_offer_verifies_offered_bytes(void **state)
{
	struct nodes s = { .rate = 4 << 20, .memory = 1 << 20 };
	struct model m;
	GBytes *good, *other;

	model_init(&m, "m", 8, 1);
	model_compute_root(&m);
	s.origin.models = &m;
	s.origin.nmodels = 1;
	nodes_start(&s, 2);
	nodes_want_all(&s, &m, 1);
	nodes_run_until(&s, nodes_complete, &m);
	good = g_bytes_new(m.bytes->data, WTS_CHUNK_MIN);
	other = g_bytes_new(m.bytes->data + WTS_CHUNK_MIN, WTS_CHUNK_MIN);
	assert_true(wts_offer(s.node[0].wts, &m.version.root, 0, good));
	assert_false(wts_offer(s.node[0].wts, &m.version.root, 0, other));
	node_check(&s.node[0], &m);
	g_bytes_unref(good);
	g_bytes_unref(other);
	nodes_stop(&s);
	model_free(&m);
}

/* Guards against a staged chunk that ends the process: its digest is in the
 * list, and its length is not that of a chunk. */
static void
test_offer_verifies_length(void **state)
{
	struct nodes s = { .rate = 4 << 20, .memory = 1 << 20 };
	struct wts_want want = { .policy = WTS_PEERS_ONLY };
	struct model m;
	struct err err = { 0 };
	GBytes *list, *shorter;

	model_init(&m, "m", 8, 1);
	model_compute_root(&m);
	digest_of(m.bytes->data, 100, (struct digest *)m.list->data);
	wts_root(m.version.bytes, m.version.chunk_bytes, m.list->data,
	    m.list->len, &m.version.root);
	nodes_start(&s, 1);
	want.version = m.version;
	assert_true(wts_want(s.node[0].wts, &want, &err));
	list = g_bytes_new(m.list->data, m.list->len);
	assert_true(wts_offer_list(s.node[0].wts, &m.version.root, list));
	shorter = g_bytes_new(m.bytes->data, 100);
	assert_false(wts_offer(s.node[0].wts, &m.version.root, 0, shorter));
	g_bytes_unref(shorter);
	g_bytes_unref(list);
	nodes_stop(&s);
	model_free(&m);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_all_complete_with_one_origin_copy),
		cmocka_unit_test(test_offer_verifies_offered_bytes),
		cmocka_unit_test(test_offer_verifies_length),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
