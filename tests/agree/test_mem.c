/*
 * Membership decisions on a virtual clock, over a small in-memory network with
 * packet loss that delivers what the code under test sends. All runs are
 * reproducible from a seed.
 */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <inttypes.h>
#include "mem_net.h"

/*
 * All nodes start at once; later one announces that it leaves. It gets new
 * requests from every node that does not know yet, so all nodes must know
 * within two seconds, with one datagram in fifty lost, and the bytes that a
 * node sends must not grow with the number of nodes.
 */
static void
test_leaving_is_known_within_two_seconds(void **state)
{
	static const unsigned int sizes[] = { 20, 80, 300 };
	int64_t mean, worst;
	struct net *net;
	unsigned int n;
	int joined;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(sizes); i++) {
		n = sizes[i];
		net = start_net(n, 20);
		joined = settle(net, n, 120);
		run_ms(net, 30000);
		reset_bytes(net);
		run_ms(net, 20000);
		bytes_per_s(net, 20, &mean, &worst);
		print_message("n=%u joined_s=%d steady bytes_s mean=%" PRId64
			      " worst=%" PRId64 "\n",
		    n, joined, mean, worst);
		assert_true(worst < 1500);
		assert_int_equal(total_deaths(net), 0);
		mem_leave(net->nodes[n / 2].mem, now_us(net));
		run_ms(net, 2000);
		assert_int_equal(count_seeing(net, n / 2, MEM_LEAVING), n - 1);
		end_net(net);
	}
}

static bool
one_link(unsigned int a, unsigned int b)
{
	return (a == 3 && b == 4) || (a == 4 && b == 3);
}

/*
 * The link between two hosts stalls. Each probes the other without success,
 * asks other members, and learns from them that the other is alive: no host is
 * declared dead.
 */
static void
test_stalled_link_is_not_a_dead_host(void **state)
{
	struct net *net = start_net(12, 0);

	settle(net, 12, 60);
	net->blocked = one_link;
	run_ms(net, 120000);
	assert_int_equal(total_deaths(net), 0);
	assert_int_equal(net->nodes[3].suspicions, 0);
	assert_int_equal(net->nodes[4].suspicions, 0);
	assert_int_equal(count_seeing(net, 3, MEM_ALIVE), 11);
	end_net(net);
}

/*
 * A host crashes. It is first suspected, and declared dead by all nodes some
 * seconds later.
 */
static void
test_crashed_host_is_declared_dead(void **state)
{
	struct net *net = start_net(40, 20);

	settle(net, 40, 60);
	stop_node(net, 5);
	run_ms(net, 3000);
	assert_int_equal(count_seeing(net, 5, MEM_DEAD), 0);
	run_ms(net, 40000);
	assert_int_equal(count_seeing(net, 5, MEM_DEAD), 39);
	end_net(net);
}

/*
 * A host is paused right after a probe, for less than the suspicion timeout. It
 * is suspected, resumes, receives the suspicion and refutes it; it must not
 * suspect the member whose ack it did not read.
 */
static void
test_paused_host_refutes(void **state)
{
	struct net *net = start_net(12, 0);

	settle(net, 12, 60);
	net->nodes[2].pause_at_ping = true;
	run_ms(net, 5000);
	assert_true(count_seeing(net, 2, MEM_SUSPECT) > 0);
	net->nodes[2].pause_at_ping = net->nodes[2].paused = false;
	run_ms(net, 10000);
	assert_int_equal(net->nodes[2].suspicions, 0);
	assert_int_equal(count_seeing(net, 2, MEM_ALIVE), 11);
	assert_int_equal(total_deaths(net), 0);
	end_net(net);
}

static bool
region_cut(unsigned int a, unsigned int b)
{
	return (a < 15) != (b < 15);
}

/*
 * A region is cut off for an hour: each partition declares the other dead and
 * continues, and the seeds die meanwhile. When the partition heals the two must
 * merge without a restart.
 */
static void
test_partitions_merge(void **state)
{
	struct net *net = start_net(40, 0);
	int healed;

	settle(net, 40, 60);
	net->blocked = region_cut;
	run_ms(net, 3600 * 1000);
	assert_int_equal(mem_count(net->nodes[2].mem), 15);
	assert_int_equal(mem_count(net->nodes[39].mem), 25);
	stop_node(net, 0);
	stop_node(net, 1);
	run_ms(net, 30000);
	net->blocked = NULL;
	healed = settle(net, 38, 60);
	print_message("healed_s=%d\n", healed);
	end_net(net);
}

/*
 * A host restarts under the same id while its earlier start is still considered
 * alive, or already dead. Old gossip must neither kill nor revive it.
 */
static void
test_restart_overrides_old_state(void **state)
{
	struct net *net = start_net(20, 20);

	settle(net, 20, 60);
	stop_node(net, 7);
	start_node(net, 7);
	settle(net, 20, 60);
	run_ms(net, 30000);
	assert_int_equal(count_seeing(net, 7, MEM_ALIVE), 19);
	stop_node(net, 7);
	run_ms(net, 40000);
	assert_int_equal(count_seeing(net, 7, MEM_DEAD), 19);
	start_node(net, 7);
	settle(net, 20, 60);
	end_net(net);
}

static void
count_settings(const struct mem_member *member, void *ctx)
{
	*(unsigned int *)ctx += member->settings == 42;
}

/*
 * A change becomes active on all nodes almost at once. Any gateway that an
 * operator asks must soon report so for all nodes, within the byte limit.
 */
static void
test_all_learn_where_settings_are_active(void **state)
{
	struct net *net = start_net(150, 20);
	unsigned int i, seen;
	int64_t mean, worst;

	settle(net, 150, 60);
	run_ms(net, 30000);
	reset_bytes(net);
	for (i = 0; i < net->n; i++)
		mem_set_settings(net->nodes[i].mem, 42);
	run_ms(net, 5000);
	for (i = 0; i < net->n; i++) {
		seen = 0;
		mem_each(net->nodes[i].mem, count_settings, &seen);
		assert_int_equal(seen, net->n);
	}
	bytes_per_s(net, 5, &mean, &worst);
	print_message("change: bytes_s mean=%" PRId64 " worst=%" PRId64 "\n",
	    mean, worst);
	assert_true(worst < 4096);
	end_net(net);
}

/*
 * Only node 0 watches the settings. A region that is cut off gets no changes;
 * it continues to serve and must see by the growing age that its settings may
 * be outdated, while no other node raises a false alarm.
 */
static void
test_cut_off_nodes_know_their_age(void **state)
{
	struct net *net = start_net(40, 20);
	int64_t oldest = 0;
	unsigned int i;
	int s;

	settle(net, 40, 60);
	for (s = 0; s < 60; s++) {
		mem_set_fresh(net->nodes[0].mem, now_us(net));
		if (s == 20)
			net->blocked = region_cut;
		run_ms(net, 1000);
	}
	for (i = 0; i < 15; i++)
		oldest =
		    MAX(oldest, mem_age_ms(net->nodes[i].mem, now_us(net)));
	print_message("oldest beside the watcher: %" PRId64 " ms\n", oldest);
	assert_true(oldest < 15000);
	for (; i < 40; i++)
		assert_true(mem_age_ms(net->nodes[i].mem, now_us(net)) > 39000);
	end_net(net);
}

/*
 * A host has died. A table from a node that was away still lists it as alive:
 * it must stay dead, or work would be sent to it.
 */
static void
test_old_table_does_not_revive(void **state)
{
	struct net *net = start_net(6, 0);
	GByteArray *old;

	settle(net, 6, 60);
	old = mem_sync_list(net->nodes[1].mem);
	stop_node(net, 5);
	run_ms(net, 40000);
	assert_int_equal(count_seeing(net, 5, MEM_DEAD), 5);
	mem_sync_page(net->nodes[0].mem, now_us(net),
	    (struct slice){ old->data, old->len });
	assert_int_equal(count_seeing(net, 5, MEM_DEAD), 5);
	g_byte_array_unref(old);
	end_net(net);
}

/*
 * Many nodes leave at once, as when a domain is drained. Their updates are
 * urgent, but no node may exceed its byte limit for them.
 */
static void
test_many_leaving_stay_within_the_budget(void **state)
{
	struct net *net = start_net(150, 20);
	int64_t mean, worst;
	unsigned int i;

	settle(net, 150, 60);
	run_ms(net, 30000);
	reset_bytes(net);
	for (i = 50; i < 100; i++)
		mem_leave(net->nodes[i].mem, now_us(net));
	run_ms(net, 5000);
	bytes_per_s(net, 5, &mean, &worst);
	print_message("50 leave: bytes_s mean=%" PRId64 " worst=%" PRId64 "\n",
	    mean, worst);
	assert_true(worst < 4096);
	assert_int_equal(count_seeing(net, 70, MEM_LEAVING), 149);
	end_net(net);
}

/*
 * The bits of the settings map are in member order. Applied from a node with
 * another table, the map would mark a node as up to date that is not.
 */
static void
test_map_of_another_table_is_ignored(void **state)
{
	struct net *net = start_net(3, 0);
	struct mem *a, *b;
	GByteArray *blob = g_byte_array_new();
	struct mem_msg m;

	settle(net, 3, 60);
	run_ms(net, 5000);
	a = net->nodes[0].mem;
	b = net->nodes[1].mem;
	mem_set_settings(b, 42);
	mem_record_settings(b, mem_entry(b, mem_key("host-002")), 42);
	mem_pack_map(b, blob, 200);
	m = (struct mem_msg){
		.from = mem_key("host-001"),
		.incarnation = mem_self(b)->node.incarnation,
		.table_digest = mem_table_digest(a) ^ 1,
		.updates = { blob->data, blob->len },
	};
	mem_receive(a, now_us(net), "10.0.0.1:1001", MEM_GOSSIP, &m);
	assert_int_equal(mem_find(a, "host-002")->settings, 0);
	m.table_digest = mem_table_digest(a);
	mem_receive(a, now_us(net), "10.0.0.1:1001", MEM_GOSSIP, &m);
	assert_int_equal(mem_find(a, "host-002")->settings, 42);
	g_byte_array_unref(blob);
	end_net(net);
}

/* Arbitrary bytes as updates do no harm to a node. */
static void
test_malformed_updates_are_ignored(void **state)
{
	struct net *net = start_net(2, 0);
	uint8_t junk[200];
	struct mem_msg m = { .from = 99 };
	struct rng rng;
	size_t i;
	int round;

	settle(net, 2, 20);
	rng_seed(&rng, 3);
	for (round = 0; round < 2000; round++) {
		for (i = 0; i < sizeof(junk); i++)
			junk[i] = (uint8_t)rng_next(&rng);
		junk[0] = 0x90 | rng_below(&rng, 10);
		m.updates = (struct slice){ junk, rng_below(&rng, 200) };
		mem_receive(net->nodes[0].mem, now_us(net), "10.0.0.1:1250",
		    MEM_GOSSIP, &m);
	}
	assert_int_equal(mem_count(net->nodes[0].mem), 2);
	end_net(net);
}

int
main(void)
{
	static const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_leaving_is_known_within_two_seconds),
		cmocka_unit_test(test_stalled_link_is_not_a_dead_host),
		cmocka_unit_test(test_crashed_host_is_declared_dead),
		cmocka_unit_test(test_paused_host_refutes),
		cmocka_unit_test(test_partitions_merge),
		cmocka_unit_test(test_restart_overrides_old_state),
		cmocka_unit_test(test_all_learn_where_settings_are_active),
		cmocka_unit_test(test_cut_off_nodes_know_their_age),
		cmocka_unit_test(test_old_table_does_not_revive),
		cmocka_unit_test(test_many_leaving_stay_within_the_budget),
		cmocka_unit_test(test_map_of_another_table_is_ignored),
		cmocka_unit_test(test_malformed_updates_are_ignored),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
