/*
 * Membership decisions on a fake clock, over a small lossy network in memory
 * that delivers what the shipped code sends. All runs repeat from a seed.
 */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "agree/mem_internal.h"

#define NODES_MAX 300
#define STEP_MS 10
#define DELAY_STEPS 3 /* 10 to 30 ms on the way */
#define PROOF_BYTES 16

struct packet {
	unsigned int from, to;
	enum mem_type type;
	struct mem_msg msg;
	uint8_t *updates;
	struct packet *next;
};

struct node {
	struct mem *mem;
	struct net *net;
	unsigned int number;
	int64_t bytes; /* sent and received, with table syncs */
	bool paused;
	unsigned int deaths; /* that it saw */
};

struct net {
	struct node nodes[NODES_MAX];
	unsigned int n;
	int64_t step;
	struct packet *slots[DELAY_STEPS + 1];
	struct rng rng;
	unsigned int loss_permille;
	bool (*blocked)(unsigned int a, unsigned int b);
	uint64_t incarnation;
};

static int64_t
now_us(const struct net *net)
{
	return (1000 + net->step * STEP_MS) * 1000;
}

static unsigned int
number_of(const char *address)
{
	return (unsigned int)atoi(strchr(address, ':') + 1) - 1000;
}

static bool
passes(struct net *net, unsigned int a, unsigned int b)
{
	if (b >= net->n || net->nodes[b].mem == NULL)
		return false;
	return net->blocked == NULL || !net->blocked(a, b);
}

static void
on_send(const char *to, enum mem_type type, const struct mem_msg *m, void *ctx)
{
	struct node *node = ctx;
	struct net *net = node->net;
	struct packet *p;
	GByteArray *wire = g_byte_array_new();
	unsigned int slot;

	msg_pack(wire, UINT64_MAX, mem_msg_desc(type), m);
	assert_true(wire->len + PROOF_BYTES <= DGRAM_MAX);
	node->bytes += wire->len + PROOF_BYTES;
	if (passes(net, node->number, number_of(to)) &&
	    rng_below(&net->rng, 1000) >= net->loss_permille) {
		p = g_new0(struct packet, 1);
		p->from = node->number;
		p->to = number_of(to);
		p->type = type;
		p->msg = *m;
		p->updates = g_memdup2(m->updates.data, m->updates.len);
		p->msg.updates.data = p->updates;
		slot = (net->step + 1 + rng_below(&net->rng, DELAY_STEPS)) %
		    (DELAY_STEPS + 1);
		p->next = net->slots[slot];
		net->slots[slot] = p;
		net->nodes[p->to].bytes += wire->len + PROOF_BYTES;
	}
	g_byte_array_unref(wire);
}

static void
on_changed(const struct mem_member *member, void *ctx)
{
	struct node *node = ctx;

	node->deaths += member->state == MEM_DEAD;
}

static void
on_noted(const struct mem_note *note, const char *from, void *ctx)
{
}

static void
on_differ(const char *address, uint64_t settings, void *ctx)
{
}

struct page_to {
	struct node *from, *to;
};

static void
give_page(struct slice page, void *ctx)
{
	struct page_to *p = ctx;

	p->from->bytes += (int64_t)page.len;
	p->to->bytes += (int64_t)page.len;
	mem_sync_page(p->to->mem, now_us(p->to->net), page);
}

static void
on_sync(const char *address, void *ctx)
{
	struct node *node = ctx;
	struct net *net = node->net;
	struct node *peer = &net->nodes[number_of(address)];
	struct page_to to_us = { peer, node }, to_peer = { node, peer };
	GByteArray *list, *lacking;

	if (!passes(net, node->number, peer->number) || peer->paused)
		return;
	list = mem_sync_list(node->mem);
	node->bytes += list->len;
	peer->bytes += list->len;
	lacking = mem_sync_answer(peer->mem, now_us(net),
	    (struct slice){ list->data, list->len }, give_page, &to_us);
	mem_sync_records(node->mem,
	    (struct slice){ lacking->data, lacking->len }, give_page, &to_peer);
	g_byte_array_unref(list);
	g_byte_array_unref(lacking);
}

static const struct mem_ops ops = {
	.send = on_send,
	.changed = on_changed,
	.noted = on_noted,
	.settings_differ = on_differ,
	.sync = on_sync,
};

static const char *const seeds[] = { "10.0.0.1:1000", "10.0.0.1:1001", NULL };

static void
start_node(struct net *net, unsigned int i)
{
	struct mem_conf conf = {
		.self = { .incarnation = ++net->incarnation, .domain = "d1" },
		.gossip_ms = 1000,
		.suspect_ms = 4000,
		.seeds = seeds,
		.seed = i + 1,
	};
	struct node *node = &net->nodes[i];

	snprintf(conf.self.id, sizeof(conf.self.id), "host-%03u", i);
	snprintf(conf.self.address, sizeof(conf.self.address), "10.0.0.1:%u",
	    1000 + i);
	snprintf(conf.self.info, sizeof(conf.self.info),
	    "targets of host %u, about as long as a side's are", i);
	node->net = net;
	node->number = i;
	node->mem = mem_new(&conf, &ops, node, now_us(net));
}

static void
deliver(struct net *net)
{
	unsigned int slot = net->step % (DELAY_STEPS + 1);
	struct packet *p = net->slots[slot], *next;
	char from[32];

	net->slots[slot] = NULL;
	for (; p != NULL; p = next) {
		next = p->next;
		snprintf(from, sizeof(from), "10.0.0.1:%u", 1000 + p->from);
		if (net->nodes[p->to].mem != NULL && !net->nodes[p->to].paused)
			mem_take(net->nodes[p->to].mem, now_us(net), from,
			    p->type, &p->msg);
		g_free(p->updates);
		g_free(p);
	}
}

static void
run_ms(struct net *net, int64_t ms)
{
	int64_t end = net->step + ms / STEP_MS;
	unsigned int i;

	for (; net->step < end; net->step++) {
		deliver(net);
		for (i = 0; i < net->n; i++) {
			if (net->nodes[i].mem != NULL &&
			    !net->nodes[i].paused &&
			    (net->step + i) % (MEM_TICK_MS / STEP_MS) == 0)
				mem_tick(net->nodes[i].mem, now_us(net));
		}
	}
}

static unsigned int
seeing(struct net *net, unsigned int about, enum mem_state state)
{
	const struct mem_member *m;
	unsigned int i, count = 0;
	char id[16];

	snprintf(id, sizeof(id), "host-%03u", about);
	for (i = 0; i < net->n; i++) {
		if (i == about || net->nodes[i].mem == NULL)
			continue;
		m = mem_find(net->nodes[i].mem, id);
		count += (m == NULL ? MEM_DEAD : m->state) == state;
	}
	return count;
}

static bool
all_know(struct net *net, unsigned int count)
{
	unsigned int i;

	for (i = 0; i < net->n; i++) {
		if (net->nodes[i].mem != NULL &&
		    mem_count(net->nodes[i].mem) != count)
			return false;
	}
	return true;
}

/* Virtual seconds until all know all; fails the test after `limit_s`. */
static int
settle(struct net *net, unsigned int count, int limit_s)
{
	int s;

	for (s = 0; s < limit_s && !all_know(net, count); s++)
		run_ms(net, 1000);
	assert_true(all_know(net, count));
	return s;
}

static struct net *
start_net(unsigned int n, unsigned int loss_permille)
{
	struct net *net = g_new0(struct net, 1);
	unsigned int i;

	rng_seed(&net->rng, 7);
	net->n = n;
	net->loss_permille = loss_permille;
	for (i = 0; i < n; i++)
		start_node(net, i);
	return net;
}

static void
stop_node(struct net *net, unsigned int i)
{
	mem_free(net->nodes[i].mem);
	net->nodes[i].mem = NULL;
}

static void
end_net(struct net *net)
{
	unsigned int i;

	net->loss_permille = 1000;
	net->step++;
	for (i = 0; i <= DELAY_STEPS; i++, net->step++)
		deliver(net);
	for (i = 0; i < net->n; i++)
		mem_free(net->nodes[i].mem);
	g_free(net);
}

static unsigned int
total_deaths(const struct net *net)
{
	unsigned int i, deaths = 0;

	for (i = 0; i < net->n; i++)
		deaths += net->nodes[i].deaths;
	return deaths;
}

static void
reset_bytes(struct net *net)
{
	unsigned int i;

	for (i = 0; i < net->n; i++)
		net->nodes[i].bytes = 0;
}

static void
bytes_per_s(const struct net *net, int seconds, int64_t *mean, int64_t *worst)
{
	unsigned int i;

	*mean = *worst = 0;
	for (i = 0; i < net->n; i++) {
		*mean += net->nodes[i].bytes;
		*worst = MAX(*worst, net->nodes[i].bytes / seconds);
	}
	*mean /= (int64_t)seconds * net->n;
}

/*
 * All start at once, later one says that it leaves. Its requests stop only
 * where this is known, so all must know within two seconds, with one datagram
 * in fifty lost, and no node may send more because there are many.
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
		assert_int_equal(seeing(net, n / 2, MEM_LEAVING), n - 1);
		end_net(net);
	}
}

static bool
one_link(unsigned int a, unsigned int b)
{
	return (a == 3 && b == 4) || (a == 4 && b == 3);
}

/*
 * The link between two hosts stalls. Each probes the other in vain, asks
 * others, and hears from them that the other lives: nobody is given up.
 */
static void
test_stalled_link_is_not_a_dead_host(void **state)
{
	struct net *net = start_net(12, 0);

	settle(net, 12, 60);
	net->blocked = one_link;
	run_ms(net, 120000);
	assert_int_equal(total_deaths(net), 0);
	assert_int_equal(seeing(net, 3, MEM_ALIVE), 11);
	end_net(net);
}

/*
 * A host dies without a word. It is suspected first, and given up by all
 * some seconds later.
 */
static void
test_dead_host_is_given_up(void **state)
{
	struct net *net = start_net(40, 20);

	settle(net, 40, 60);
	stop_node(net, 5);
	run_ms(net, 3000);
	assert_int_equal(seeing(net, 5, MEM_DEAD), 0);
	run_ms(net, 40000);
	assert_int_equal(seeing(net, 5, MEM_DEAD), 39);
	end_net(net);
}

/*
 * A host pauses for longer than a probe but less than the suspicion. It is
 * suspected, wakes, hears of it and refutes; and does not itself blame those
 * whose answers it did not read.
 */
static void
test_paused_host_refutes(void **state)
{
	struct net *net = start_net(12, 0);

	settle(net, 12, 60);
	net->nodes[2].paused = true;
	run_ms(net, 4500);
	assert_true(seeing(net, 2, MEM_SUSPECT) > 0);
	net->nodes[2].paused = false;
	run_ms(net, 10000);
	assert_int_equal(seeing(net, 2, MEM_ALIVE), 11);
	assert_int_equal(total_deaths(net), 0);
	end_net(net);
}

static bool
region_cut(unsigned int a, unsigned int b)
{
	return (a < 15) != (b < 15);
}

/*
 * A region is cut off for an hour: each part gives the other up and goes on
 * by itself. When the cut heals both must find each other without a restart.
 */
static void
test_cut_region_is_found_again(void **state)
{
	struct net *net = start_net(40, 0);
	int healed;

	settle(net, 40, 60);
	net->blocked = region_cut;
	run_ms(net, 3600 * 1000);
	assert_int_equal(mem_count(net->nodes[0].mem), 15);
	assert_int_equal(mem_count(net->nodes[39].mem), 25);
	net->blocked = NULL;
	healed = settle(net, 40, 60);
	print_message("healed_s=%d\n", healed);
	end_net(net);
}

/*
 * A host restarts under its old name while its old life is still believed
 * alive, or already dead. Old gossip must neither kill nor revive it.
 */
static void
test_restart_is_a_new_life(void **state)
{
	struct net *net = start_net(20, 20);

	settle(net, 20, 60);
	stop_node(net, 7);
	start_node(net, 7);
	settle(net, 20, 60);
	run_ms(net, 30000);
	assert_int_equal(seeing(net, 7, MEM_ALIVE), 19);
	stop_node(net, 7);
	run_ms(net, 40000);
	assert_int_equal(seeing(net, 7, MEM_DEAD), 19);
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
 * A change is in force on all within a moment. Whichever entry the operator
 * asks must soon say so, of all nodes and at no great cost.
 */
static void
test_all_learn_where_settings_are_in_force(void **state)
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

/* A node takes any bytes as updates without harm. */
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
		mem_take(net->nodes[0].mem, now_us(net), "10.0.0.1:1250",
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
		cmocka_unit_test(test_dead_host_is_given_up),
		cmocka_unit_test(test_paused_host_refutes),
		cmocka_unit_test(test_cut_region_is_found_again),
		cmocka_unit_test(test_restart_is_a_new_life),
		cmocka_unit_test(test_all_learn_where_settings_are_in_force),
		cmocka_unit_test(test_malformed_updates_are_ignored),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
