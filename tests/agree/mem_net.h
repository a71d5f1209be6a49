#ifndef MEM_NET_H
#define MEM_NET_H

/*
 * A small in-memory network with packet loss and a virtual clock for tests of
 * membership; it carries what the code under test sends. Include after
 * cmocka.h.
 */

#include <stdio.h>
#include <string.h>

#include "agree/mem_internal.h"

#define NODES_MAX 300
#define STEP_MS 10
#define DELAY_STEPS 3 /* transit time of 10 to 30 ms */
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
	int64_t bytes; /* sent and received, including table syncs */
	bool paused, pause_at_ping;
	unsigned int deaths, suspicions; /* that this node observed */
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

static inline int64_t
now_us(const struct net *net)
{
	return (1000 + net->step * STEP_MS) * 1000;
}

static inline unsigned int
number_of(const char *address)
{
	return (unsigned int)atoi(strchr(address, ':') + 1) - 1000;
}

static inline bool
passes(struct net *net, unsigned int a, unsigned int b)
{
	if (b >= net->n || net->nodes[b].mem == NULL)
		return false;
	return net->blocked == NULL || !net->blocked(a, b);
}

static inline void
on_send(const char *to, enum mem_type type, const struct mem_msg *m, void *ctx)
{
	struct node *node = ctx;
	struct net *net = node->net;
	struct packet *p;
	GByteArray *wire = g_byte_array_new();
	unsigned int slot;

	if (type == MEM_PING && node->pause_at_ping)
		node->paused = true;
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

static inline void
on_changed(const struct mem_member *member, void *ctx)
{
	struct node *node = ctx;

	node->deaths += member->state == MEM_DEAD;
	node->suspicions += member->state == MEM_SUSPECT;
}

static inline void
on_note(const struct mem_note *note, const char *from, void *ctx)
{
}

static inline void
on_settings_differ(const char *address, uint64_t settings, void *ctx)
{
}

struct page_to {
	struct node *from, *to;
};

static inline void
deliver_page(struct slice page, void *ctx)
{
	struct page_to *p = ctx;

	p->from->bytes += (int64_t)page.len;
	p->to->bytes += (int64_t)page.len;
	mem_sync_page(p->to->mem, now_us(p->to->net), page);
}

static inline void
on_sync(const char *address, void *ctx)
{
	struct node *node = ctx;
	struct net *net = node->net;
	struct node *peer = &net->nodes[number_of(address)];
	struct page_to to_us = { peer, node }, to_peer = { node, peer };
	GByteArray *list, *missing;

	if (!passes(net, node->number, peer->number) || peer->paused)
		return;
	list = mem_sync_list(node->mem);
	node->bytes += list->len;
	peer->bytes += list->len;
	missing = mem_sync_answer(peer->mem, now_us(net),
	    (struct slice){ list->data, list->len }, deliver_page, &to_us);
	mem_sync_records(node->mem,
	    (struct slice){ missing->data, missing->len }, deliver_page,
	    &to_peer);
	g_byte_array_unref(list);
	g_byte_array_unref(missing);
}

static const struct mem_ops ops = {
	.send = on_send,
	.changed = on_changed,
	.note_received = on_note,
	.settings_differ = on_settings_differ,
	.sync = on_sync,
};

static const char *const seeds[] = { "10.0.0.1:1000", "10.0.0.1:1001", NULL };

static inline void
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

static inline void
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
			mem_receive(net->nodes[p->to].mem, now_us(net), from,
			    p->type, &p->msg);
		g_free(p->updates);
		g_free(p);
	}
}

static inline void
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

static inline unsigned int
count_seeing(struct net *net, unsigned int about, enum mem_state state)
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

static inline bool
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

/*
 * Runs until every node knows `count` members and returns the virtual seconds
 * that this took; fails the test after `limit_s`.
 */
static inline int
settle(struct net *net, unsigned int count, int limit_s)
{
	int s;

	for (s = 0; s < limit_s && !all_know(net, count); s++)
		run_ms(net, 1000);
	assert_true(all_know(net, count));
	return s;
}

static inline struct net *
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

static inline void
stop_node(struct net *net, unsigned int i)
{
	mem_free(net->nodes[i].mem);
	net->nodes[i].mem = NULL;
}

static inline void
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

static inline unsigned int
total_deaths(const struct net *net)
{
	unsigned int i, deaths = 0;

	for (i = 0; i < net->n; i++)
		deaths += net->nodes[i].deaths;
	return deaths;
}

static inline void
reset_bytes(struct net *net)
{
	unsigned int i;

	for (i = 0; i < net->n; i++)
		net->nodes[i].bytes = 0;
}

static inline void
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

#endif
