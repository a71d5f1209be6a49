/* Which offered settings are accepted, when a node may serve, and ranks. */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <stdio.h>
#include <string.h>

#include "agree/agr_internal.h"

static const char v1[] = "team: konya\nlimits: {requests_s: 1}\n";
static const char v2[] = "team: konya\nlimits: {requests_s: 2}\n";
static const char broken[] = "team: konya\nlimits: {requests_s: many}\n";
static const char root[] = "team: platform\n"
			   "teams:\n"
			   "  konya: {requests_s: 10, queue: 9000}\n";

static int64_t
active_limit(struct inf *inf)
{
	return cfg_int(inf_find(inf, "konya")->cfg, "limits.requests_s");
}

/*
 * A watcher that resumes after a pause, a peer from a region that was cut off
 * or a delayed response offers a version that was active long ago. Accepting it
 * would revert an accepted change on all nodes that get it from here.
 */
static void
test_versions_only_grow(void **state)
{
	struct inf *inf = inf_new();
	uint64_t digest, before = inf_digest(inf);

	assert_int_equal(inf_offer(inf, "konya", 7, v2, NULL), INF_ACCEPTED);
	digest = inf_digest(inf);
	assert_true(digest > before);
	assert_int_equal(inf_offer(inf, "konya", 6, v1, NULL), INF_STALE);
	assert_int_equal(inf_offer(inf, "konya", 7, v1, NULL), INF_STALE);
	assert_int_equal(active_limit(inf), 2);
	assert_true(inf_digest(inf) == digest);
	/* A rollback is a new version. */
	assert_int_equal(inf_offer(inf, "konya", 8, v1, NULL), INF_ACCEPTED);
	assert_int_equal(active_limit(inf), 1);
	assert_true(inf_digest(inf) > digest);
	inf_free(inf);
}

/*
 * A text that fails validation is refused once and not pulled again and again.
 */
static void
test_invalid_text_keeps_active_version(void **state)
{
	struct inf *inf = inf_new();
	struct err err = { 0 };

	inf_offer(inf, "konya", 1, v1, NULL);
	assert_int_equal(inf_offer(inf, "konya", 2, broken, &err), INF_REFUSED);
	assert_non_null(strstr(err.message, "requests_s"));
	assert_int_equal(active_limit(inf), 1);
	assert_false(inf_is_newer(inf, "konya", 2));
	assert_int_equal(inf_offer(inf, "a.b", 1, v1, &err), INF_REFUSED);
	assert_int_equal(inf_offer(inf, "konya", 3, v2, NULL), INF_ACCEPTED);
	inf_free(inf);
}

/* The root branch limits the others, whichever of the two is written. */
static void
test_writes_are_checked_against_the_tree(void **state)
{
	struct inf *inf = inf_new();

	inf_offer(inf, INF_ROOT_BRANCH, 1, root, NULL);
	assert_true(inf_check_write(inf, "konya", v2, NULL));
	assert_false(inf_check_write(
	    inf, "konya", "team: konya\nlimits: {requests_s: 11}\n", NULL));
	inf_offer(inf, "konya", 1, v2, NULL);
	assert_false(inf_check_write(inf, INF_ROOT_BRANCH,
	    "team: platform\nteams:\n  konya: {requests_s: 1, queue: 9000}\n",
	    NULL));
	assert_true(inf_check_write(inf, INF_ROOT_BRANCH, root, NULL));
	inf_free(inf);
}

static void
offer_to(const struct inf_branch *branch, void *ctx)
{
	inf_offer(ctx, branch->name, branch->version, branch->yaml, NULL);
}

/* Two partitions that accepted different changes converge after a merge. */
static void
test_pulls_both_ways_converge(void **state)
{
	struct inf *a = inf_new(), *b = inf_new();
	GByteArray *known;

	inf_offer(a, INF_ROOT_BRANCH, 3, root, NULL);
	inf_offer(a, "konya", 1, v1, NULL);
	inf_offer(b, INF_ROOT_BRANCH, 2, root, NULL);
	inf_offer(b, "konya", 2, v2, NULL);
	known = inf_pack_versions(a);
	inf_each_newer(
	    b, (struct slice){ known->data, known->len }, offer_to, a);
	g_byte_array_unref(known);
	known = inf_pack_versions(b);
	inf_each_newer(
	    a, (struct slice){ known->data, known->len }, offer_to, b);
	g_byte_array_unref(known);
	assert_true(inf_digest(a) == inf_digest(b));
	assert_int_equal(active_limit(a), 2);
	assert_int_equal(inf_find(b, INF_ROOT_BRANCH)->version, 3);
	inf_free(a);
	inf_free(b);
}

/*
 * A node that serves before it knows what was accepted would serve an outdated
 * state: it waits for the API or for several peers that are ready.
 */
static void
test_start_waits_for_api_or_peers(void **state)
{
	struct inf_start s = { 0 };

	assert_false(inf_may_serve(&s));
	s.api_failed = true;
	s.waited_us = G_USEC_PER_SEC * INT64_C(3600);
	/* a node without peers needs the API's list */
	assert_false(inf_may_serve(&s));
	s.peers_known = 5;
	assert_false(inf_may_serve(&s));
	s.peers_answered = INF_PEERS_REQUIRED;
	assert_true(inf_may_serve(&s));
	s = (struct inf_start){ .api_read = true };
	assert_true(inf_may_serve(&s)); /* the first node of all */
	s.peers_known = 5;
	assert_false(inf_may_serve(&s));
	s.waited_us = G_USEC_PER_SEC;
	assert_true(inf_may_serve(&s));
}

static void
no_send(const char *to, enum mem_type type, const struct mem_msg *m, void *ctx)
{
}

static void
no_change(const struct mem_member *member, void *ctx)
{
}

static const struct mem_ops no_ops = { .send = no_send, .changed = no_change };

/*
 * Builds the member table of node `self` of `n` live nodes in three domains;
 * the first `gateways` nodes are gateways.
 */
static struct mem *
build_table(unsigned int self, unsigned int n, unsigned int gateways)
{
	struct mem_conf conf = { .gossip_ms = 1000, .suspect_ms = 1000 };
	struct mem *mem = NULL;
	struct mem_node node;
	unsigned int i, order;

	for (order = 0; order <= n; order++) {
		i = order == 0 ? self : order - 1;
		node = (struct mem_node){
			.kind = i < gateways ? MEM_GATEWAY : MEM_SIDECAR,
			.incarnation = UINT64_C(1) << MEM_REFUTES_BITS,
		};
		snprintf(node.id, sizeof(node.id), "host-%u", i);
		snprintf(node.domain, sizeof(node.domain), "d%u", i % 3);
		conf.self = node;
		if (mem == NULL)
			mem = mem_new(&conf, &no_ops, NULL, 0);
		else
			mem_apply_full(mem, 0, &node, MEM_ALIVE);
	}
	return mem;
}

/*
 * Each node computes its own rank, and each rank must belong to one node: two
 * first ranks would write against each other, none would leave a role unheld.
 */
static void
test_ranks_are_unique(void **state)
{
	const unsigned int n = 40, gateways = 8;
	unsigned int ranks[8] = { 0 }, firsts[8] = { 0 };
	unsigned int i, r, rank, watchers = 0;
	struct mem *mem;
	char id[16], role[16];

	for (i = 0; i < n; i++) {
		mem = build_table(i, n, gateways);
		snprintf(id, sizeof(id), "host-%u", i);
		watchers += rank_is_watcher(mem, id);
		if (i < gateways) {
			rank = rank_for_role(mem, "lead", "", id);
			assert_true(rank < gateways);
			ranks[rank]++;
			assert_int_equal(rank_for_role(mem, "lead", id, id), 0);
		}
		for (r = 0; r < 64 && i < gateways; r++) {
			snprintf(role, sizeof(role), "claims-%u", r);
			firsts[i] += rank_for_role(mem, role, "", id) == 0;
		}
		mem_free(mem);
	}
	for (i = 0; i < gateways; i++) {
		assert_int_equal(ranks[i], 1);
		/* spread over the nodes, though not evenly */
		assert_in_range(firsts[i], 1, 24);
	}
	assert_int_equal(watchers, 3); /* one per domain */
}

/*
 * Watchers are the nodes that watch the object API for new settings. In a
 * domain without gateways a sidecar is the watcher; a single domain has three
 * watchers, so that one that is paused does not delay updates.
 */
static void
test_watchers_in_every_domain(void **state)
{
	unsigned int i, watchers = 0, alone = 0;
	struct mem *mem;
	char id[16];

	for (i = 0; i < 30; i++) {
		mem = build_table(i, 30, 2); /* gateways in d0 and d1 only */
		snprintf(id, sizeof(id), "host-%u", i);
		watchers += rank_is_watcher(mem, id);
		alone += rank_is_watcher(mem, id) && i % 3 == 2;
		mem_free(mem);
	}
	assert_int_equal(watchers, 3);
	assert_int_equal(alone, 1);
}

int
main(void)
{
	static const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_versions_only_grow),
		cmocka_unit_test(test_invalid_text_keeps_active_version),
		cmocka_unit_test(test_writes_are_checked_against_the_tree),
		cmocka_unit_test(test_pulls_both_ways_converge),
		cmocka_unit_test(test_start_waits_for_api_or_peers),
		cmocka_unit_test(test_ranks_are_unique),
		cmocka_unit_test(test_watchers_in_every_domain),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
