/* Membership: probes, responses and the fan-out of urgent updates. */

#include <string.h>

#include "agree/mem_internal.h"

/*
 * Credit for datagrams: together with the responses of other nodes, the bytes
 * sent and received stay below 4 KB per second. Probes and acks are sent even
 * without credit (they are few and small); only the space for updates shrinks.
 */
#define MEM_BYTES_S 1200
#define MEM_BYTES_BURST 2000
#define HEADER_BYTES 96 /* MAC, type, timestamp and numbers of a mem_msg */
#define ROOM_MAX (DGRAM_MAX - HEADER_BYTES)
#define ROOM_MIN 64 /* even without credit: for the update about the receiver */

#define INDIRECT_PROBES 3
/*
 * Each receiver forwards urgent updates to this many members. A share of e^-5
 * is not reached by that and gets the updates with its own next probe.
 */
#define URGENT_FANOUT 5
#define URGENT_ROOM 400
#define DEAD_PROBE_ONE_IN 5 /* periods */
#define MAP_CREDIT 1500
#define HOP_MS 50 /* upper limit of a datagram's transit time between regions */
/* a longer gap between ticks is a pause, not only a busy host */
#define PAUSE_TICKS 5
#define RELAYS_MAX 64
#define WANTS_MAX 8 /* a table sync is used for more records than this */
#define WANT_PAUSE_US (G_USEC_PER_SEC / 2)

/*
 * Table digests also differ while updates are in flight. This many mismatches
 * (less the matches) mean that updates were lost.
 */
#define SYNC_MISMATCHES 8
#define SYNC_PERIODS 5
#define SPREAD_PERIODS 3
#define SYNC_BYTES_S 1000 /* average rate limit of the lists sent */
/* ... while many members are new, as after a cold start */
#define JOIN_BYTES_S 4000

static void
refill(struct mem *mem, int64_t now_us)
{
	int64_t gained = (now_us - mem->credit_us) * MEM_BYTES_S;

	gained /= G_USEC_PER_SEC;
	/* Add whole bytes only; otherwise frequent calls would add nothing. */
	if (gained <= 0)
		return;
	mem->byte_credit = MIN(mem->byte_credit + gained, MEM_BYTES_BURST);
	mem->credit_us = now_us;
}

static void
send_blob(struct mem *mem, const char *to, enum mem_type type, uint64_t seq,
    uint64_t target, GByteArray *blob)
{
	const struct mem_member *self = &mem->self->member;
	struct mem_msg message = {
		.from = mem->self->key,
		.incarnation = self->node.incarnation,
		.seq = seq,
		.target = target,
		.settings = self->settings,
		.fence = self->fence_sum,
		.table_digest = mem->table_digest,
		.members = mem->alive,
		.age_ms = (uint64_t)mem_age_ms(mem, mem->credit_us),
		.updates = { blob->data, blob->len },
	};

	mem->byte_credit -= HEADER_BYTES + blob->len;
	mem->ops->send(to, type, &message, mem->ctx);
}

void
mem_send(struct mem *mem, const char *to, enum mem_type type, uint64_t seq,
    uint64_t target, struct mem_entry *about)
{
	GByteArray *blob = g_byte_array_new();
	/* Use half of the credit, so that the next datagram has space too. */
	int64_t room = CLAMP(mem->byte_credit / 2, ROOM_MIN, ROOM_MAX);

	mem_pack_updates(mem, blob, (size_t)room, about, false);
	send_blob(mem, to, type, seq, target, blob);
	g_byte_array_unref(blob);
}

static void
send_gossip(struct mem *mem, const char *to, GByteArray *blob)
{
	send_blob(mem, to, MEM_GOSSIP, 0, 0, blob);
}

/*
 * A leaving host gets new work until all members know. With one hop per period
 * that would take log2(n) seconds; forwarded at once, it takes as many network
 * delays. The credit limits the bytes when many nodes leave together.
 */
void
mem_flush(struct mem *mem, int64_t now_us)
{
	GByteArray *blob;
	const char *to[URGENT_FANOUT];
	unsigned int n = 0, i;

	refill(mem, now_us);
	if (!mem->urgent ||
	    mem->byte_credit < URGENT_FANOUT * (HEADER_BYTES + URGENT_ROOM) / 2)
		return;
	while (n < URGENT_FANOUT && n + 1 < mem->alive) {
		to[n] = mem_random_address(mem);
		if (to[n] == NULL)
			break;
		for (i = 0; i < n && to[i] != to[n]; i++)
			;
		/*
		 * An address was drawn twice: enough of a small table is
		 * covered.
		 */
		if (i < n && mem->alive <= 2 * URGENT_FANOUT)
			break;
		n++;
	}
	mem->urgent = false;
	blob = g_byte_array_new();
	mem_pack_updates(mem, blob, URGENT_ROOM, NULL, true);
	for (i = 0; i < n && blob->len > 0; i++)
		send_gossip(mem, to[i], blob);
	g_byte_array_unref(blob);
}

/* ------------------------------------------------------------------ */
/* Probes                                                              */
/* ------------------------------------------------------------------ */

static void
shuffle(struct mem *mem)
{
	struct mem_entry *e;
	uint64_t *keys, swap;
	guint i, j;

	g_array_set_size(mem->order, 0);
	mem->next = 0;
	for (i = 0; i < mem->by_id->len; i++) {
		e = g_ptr_array_index(mem->by_id, i);
		if (e != mem->self && e->member.state != MEM_DEAD)
			g_array_append_val(mem->order, e->key);
	}
	keys = (uint64_t *)(void *)mem->order->data;
	for (i = mem->order->len; i > 1; i--) {
		j = (guint)rng_below(&mem->rng, i);
		swap = keys[j];
		keys[j] = keys[i - 1];
		keys[i - 1] = swap;
	}
}

/* Shuffled round robin: every member is probed within n periods. */
static struct mem_entry *
next_probed(struct mem *mem)
{
	struct mem_entry *e;
	int rounds;

	for (rounds = 0; rounds < 2; rounds++) {
		while (mem->next < mem->order->len) {
			e = mem_entry(mem,
			    g_array_index(mem->order, uint64_t, mem->next++));
			if (e != NULL && e->member.state != MEM_DEAD)
				return e;
		}
		shuffle(mem);
	}
	return NULL;
}

/*
 * Returns the update that the probed member must get first, so that it can
 * refute it: that it is suspect or dead. NULL if it is neither.
 */
static struct mem_entry *
refutable_update(struct mem_entry *e)
{
	if (e->member.state == MEM_SUSPECT || e->member.state == MEM_DEAD)
		return e;
	return NULL;
}

static void
start_probe(struct mem *mem, int64_t now_us)
{
	int64_t period_us = (int64_t)mem->conf.gossip_ms * 1000;
	struct mem_entry *e = next_probed(mem);

	mem->probe = (struct mem_probe){ 0 };
	if (e == NULL)
		return;
	mem->probe = (struct mem_probe){
		.key = e->key,
		.seq = ++mem->seq,
		.indirect_us = now_us + period_us * 3 / 10,
		.end_us = now_us + period_us * 9 / 10,
	};
	mem_send(mem, e->member.node.address, MEM_PING, mem->probe.seq, 0,
	    refutable_update(e));
}

/*
 * After a network partition each side considers the other dead; without an
 * occasional probe of dead members the two would never merge again. All nodes
 * together probe each dead member about once per period; with more, an address
 * that was reassigned to another host would get pings from every node.
 */
static void
probe_dead(struct mem *mem)
{
	struct mem_entry *e;
	guint i, n = mem->by_id->len;
	guint dead = n - mem->alive;

	if (rng_below(&mem->rng, MAX(DEAD_PROBE_ONE_IN * dead, mem->alive)) >=
	    dead)
		return;
	for (i = 0; i < n; i++) {
		mem->next_dead = (mem->next_dead + 1) % n;
		e = g_ptr_array_index(mem->by_id, mem->next_dead);
		if (e->member.state != MEM_DEAD)
			continue;
		mem_send(
		    mem, e->member.node.address, MEM_PING, ++mem->seq, 0, e);
		return;
	}
}

static void
ping_address(struct mem *mem, const char *address)
{
	if (strcmp(address, mem->self->member.node.address) != 0)
		mem_send(mem, address, MEM_PING, ++mem->seq, 0, NULL);
}

static bool
is_member(const struct mem *mem, const char *address)
{
	const struct mem_entry *e;
	guint i;

	for (i = 0; i < mem->by_id->len; i++) {
		e = g_ptr_array_index(mem->by_id, i);
		if (e->member.state != MEM_DEAD &&
		    strcmp(e->member.node.address, address) == 0)
			return true;
	}
	return false;
}

/*
 * Seeds are needed if this node knows no other member, or if all known members
 * were replaced. All nodes together ping the seeds that are not members about
 * once per period.
 */
static void
probe_seeds(struct mem *mem)
{
	guint n = mem->seeds == NULL ? 0 : g_strv_length(mem->seeds);
	const char *seed;

	if (mem->hint[0] != '\0') {
		ping_address(mem, mem->hint);
		mem->hint[0] = '\0';
	}
	if (n == 0 || rng_below(&mem->rng, mem->alive) > 0)
		return;
	seed = mem->seeds[rng_below(&mem->rng, n)];
	if (!is_member(mem, seed))
		ping_address(mem, seed);
}

static void
request_indirect_probes(struct mem *mem)
{
	struct mem_entry *e = mem_entry(mem, mem->probe.key);
	const char *to;
	int i;

	mem->probe.indirect_sent = true;
	for (i = 0; i < INDIRECT_PROBES && e != NULL; i++) {
		to = mem_random_address(mem);
		if (to == NULL || strcmp(to, e->member.node.address) == 0)
			continue;
		mem_send(mem, to, MEM_PING_REQ, mem->probe.seq, mem->probe.key,
		    NULL);
	}
}

static void
end_probe(struct mem *mem, int64_t now_us)
{
	struct mem_entry *e = mem_entry(mem, mem->probe.key);

	mem->probe.key = 0;
	if (e != NULL)
		mem_suspect(mem, e, now_us);
}

static void
expire_relays(struct mem *mem, int64_t now_us)
{
	struct mem_relay *r, *next;

	for (r = LIST_FIRST(&mem->relays); r != NULL; r = next) {
		next = LIST_NEXT(r, link);
		if (now_us < r->until_us)
			continue;
		LIST_REMOVE(r, link);
		g_free(r);
		mem->nrelays--;
	}
}

/*
 * Requests the full records of missing members from one of the nodes that sent
 * updates about them.
 */
static void
request_missing(struct mem *mem, int64_t now_us)
{
	GHashTableIter iter;
	gpointer key, from;
	GByteArray *blob;
	char *sender = NULL;
	uint64_t be;

	if (g_hash_table_size(mem->missing_records) == 0 ||
	    now_us < mem->next_want_us)
		return;
	mem->next_want_us = now_us + WANT_PAUSE_US;
	blob = g_byte_array_new();
	g_hash_table_iter_init(&iter, mem->missing_records);
	while (g_hash_table_iter_next(&iter, &key, &from)) {
		if (sender == NULL)
			sender = g_strdup(from);
		if (strcmp(sender, from) != 0)
			continue;
		be = GUINT64_TO_BE(*(uint64_t *)key);
		g_byte_array_append(blob, (guint8 *)&be, sizeof(be));
		g_hash_table_iter_remove(&iter);
		if (blob->len >= WANTS_MAX * sizeof(be))
			break;
	}
	send_blob(mem, sender, MEM_WANT, 0, 0, blob);
	g_byte_array_unref(blob);
	g_free(sender);
}

/*
 * Sends the settings map apart from the probes, so that an operator soon sees
 * where a change is active; it uses only credit that other updates leave.
 */
static void
send_map(struct mem *mem)
{
	const char *to = mem_random_address(mem);

	if (to != NULL)
		mem_send(mem, to, MEM_GOSSIP, 0, 0, NULL);
}

void
mem_tick(struct mem *mem, int64_t now_us)
{
	int64_t period_us = (int64_t)mem->conf.gossip_ms * 1000;
	int64_t gap_us = now_us - mem->last_tick_us;

	refill(mem, now_us);
	mem->last_tick_us = now_us;
	if (gap_us > MAX(period_us, PAUSE_TICKS * MEM_TICK_MS * 1000)) {
		/*
		 * This process was paused: acks are waiting unread, so missing
		 * ones say nothing about the other nodes. Suspecting those
		 * would empty the table.
		 */
		mem_extend_suspicions(mem, gap_us);
		mem->probe.key = 0;
		mem->next_probe_us = now_us + period_us;
		return;
	}
	expire_relays(mem, now_us);
	if (mem->probe.key != 0 && now_us >= mem->probe.end_us)
		end_probe(mem, now_us);
	if (mem->probe.key != 0 && !mem->probe.indirect_sent &&
	    now_us >= mem->probe.indirect_us)
		request_indirect_probes(mem);
	if (now_us >= mem->next_probe_us) {
		mem->next_probe_us += period_us;
		mem_expire(mem, now_us);
		start_probe(mem, now_us);
		probe_dead(mem);
		probe_seeds(mem);
	}
	request_missing(mem, now_us);
	if (mem->map_sends_left > 0 && mem->byte_credit >= MAP_CREDIT)
		send_map(mem);
	mem_flush(mem, now_us);
}

/* ------------------------------------------------------------------ */
/* Received datagrams                                                  */
/* ------------------------------------------------------------------ */

static void
handle_ping_req(
    struct mem *mem, int64_t now_us, const char *from, const struct mem_msg *m)
{
	struct mem_entry *e = mem_entry(mem, m->target);
	struct mem_relay *r;

	if (e == NULL || mem->nrelays >= RELAYS_MAX)
		return;
	r = g_new0(struct mem_relay, 1);
	r->seq = ++mem->seq;
	r->requester_seq = m->seq;
	r->until_us = now_us + (int64_t)mem->conf.gossip_ms * 1000;
	g_strlcpy(r->requester, from, sizeof(r->requester));
	LIST_INSERT_HEAD(&mem->relays, r, link);
	mem->nrelays++;
	mem_send(mem, e->member.node.address, MEM_PING, r->seq, 0,
	    refutable_update(e));
}

static void
handle_ack(struct mem *mem, const struct mem_msg *m)
{
	struct mem_relay *r;

	if (mem->probe.key != 0 && m->seq == mem->probe.seq) {
		mem->probe.key = 0;
		return;
	}
	LIST_FOREACH (r, &mem->relays, link) {
		if (r->seq != m->seq)
			continue;
		mem_send(mem, r->requester, MEM_ACK, r->requester_seq, m->from,
		    NULL);
		LIST_REMOVE(r, link);
		g_free(r);
		mem->nrelays--;
		return;
	}
}

static void
answer_want(struct mem *mem, const char *from, struct slice keys)
{
	GByteArray *blob = g_byte_array_new();
	GByteArray *one = g_byte_array_new();
	const struct mem_entry *e;
	uint64_t key;
	size_t i;

	for (i = 0; i + sizeof(key) <= keys.len; i += sizeof(key)) {
		memcpy(&key, keys.data + i, sizeof(key));
		e = mem_entry(mem, GUINT64_FROM_BE(key));
		if (e == NULL)
			continue;
		g_byte_array_set_size(one, 0);
		mem_pack_full(one, e);
		if (blob->len + one->len > ROOM_MAX)
			break; /* the receiver requests the rest again */
		g_byte_array_append(blob, one->data, one->len);
	}
	if (blob->len > 0)
		send_gossip(mem, from, blob);
	g_byte_array_unref(one);
	g_byte_array_unref(blob);
}

static int64_t
list_bytes(const struct mem *mem)
{
	return (int64_t)mem->by_id->len * 20; /* see mem_pack_state() */
}

/* `many`: the peer knows many members that are missing here. */
static void
request_sync(struct mem *mem, const char *address, int64_t now_us, bool many)
{
	int64_t period_us = (int64_t)mem->conf.gossip_ms * 1000;
	int64_t list_us = list_bytes(mem) * G_USEC_PER_SEC;
	int64_t pause_us;

	if (!mem->joined)
		pause_us = period_us;
	else if (many)
		pause_us = MAX(period_us, list_us / JOIN_BYTES_S);
	else
		pause_us =
		    MAX(SYNC_PERIODS * period_us, list_us / SYNC_BYTES_S);
	/*
	 * Spread by up to a quarter, so that nodes do not all sync at the same
	 * instant.
	 */
	pause_us += pause_us * (int64_t)(mem->self->key % 256) / 1024;
	if (mem->sync_started_us != 0 &&
	    now_us < mem->sync_started_us + pause_us)
		return;
	mem->sync_started_us = now_us;
	mem->digest_mismatches = 0;
	mem->ops->sync(address, mem->ctx);
}

static void
compare_digests(struct mem *mem, const struct mem_entry *e,
    const struct mem_msg *m, int64_t now_us)
{
	bool many;

	if (m->table_digest == mem->table_digest) {
		mem->digest_mismatches -= mem->digest_mismatches > 0;
		return;
	}
	/*
	 * Updates still in flight make the tables differ temporarily, so wait
	 * for some periods; a list that fits into one datagram is too cheap to
	 * be worth waiting.
	 */
	if (list_bytes(mem) <= DGRAM_MAX ||
	    now_us - mem->changed_us >
		SPREAD_PERIODS * (int64_t)mem->conf.gossip_ms * 1000)
		mem->digest_mismatches++;
	many = g_hash_table_size(mem->missing_records) > WANTS_MAX ||
	    m->members > mem->alive + WANTS_MAX;
	if (!mem->joined || mem->digest_mismatches >= SYNC_MISMATCHES || many)
		request_sync(mem, e->member.node.address, now_us, many);
}

/* Applies the facts about the sender that every datagram carries. */
static void
handle_header(struct mem *mem, struct mem_entry *e, const struct mem_msg *m,
    int64_t now_us)
{
	const struct mem_member *self = &mem->self->member;

	if (m->incarnation < e->member.node.incarnation)
		return; /* sent before a restart or a refutation */
	mem_record_settings(mem, e, m->settings);
	/*
	 * Add the transit time, otherwise the age would shrink step by step in
	 * a region that is cut off while its nodes exchange it. A datagram that
	 * was queued here while this process was paused has an unknown age.
	 */
	if (m->age_ms < INT32_MAX &&
	    now_us - mem->last_tick_us <= 2 * MEM_TICK_MS * 1000) {
		mem_set_fresh(
		    mem, now_us - ((int64_t)m->age_ms + HOP_MS) * 1000);
	}
	e->member.fence_sum = MAX(e->member.fence_sum, m->fence);
	if (m->fence < self->fence_sum)
		mem_resend_role_notes(mem);
	if (m->settings > self->settings) {
		mem->ops->settings_differ(
		    e->member.node.address, m->settings, mem->ctx);
	}
	compare_digests(mem, e, m, now_us);
}

static void
handle_unknown_sender(
    struct mem *mem, const char *from, const struct mem_msg *m, int64_t now_us)
{
	uint64_t *wanted = g_new(uint64_t, 1);

	*wanted = m->from;
	g_hash_table_replace(mem->missing_records, wanted, g_strdup(from));
	if (!mem->joined)
		request_sync(mem, from, now_us, true);
}

void
mem_receive(struct mem *mem, int64_t now_us, const char *from,
    enum mem_type type, const struct mem_msg *m)
{
	struct mem_entry *e = mem_entry(mem, m->from);
	struct mem_map map = { 0 };

	if (e == mem->self)
		return; /* from this node itself, by a seed or hint */
	refill(mem, now_us);
	if (type == MEM_WANT)
		answer_want(mem, from, m->updates);
	else
		mem_apply_updates(mem, now_us, from, m->updates, &map);
	e = mem_entry(mem, m->from);
	if (e == NULL ||
	    mem_start_ms(m->incarnation) >
		mem_start_ms(e->member.node.incarnation))
		handle_unknown_sender(mem, from, m, now_us);
	else
		handle_header(mem, e, m, now_us);
	/*
	 * The bits are in member order, which is the same only if the tables
	 * are.
	 */
	if (map.bits.len > 0 && m->table_digest == mem->table_digest)
		mem_apply_map(mem, map.settings, map.bits);
	if (type == MEM_PING)
		mem_send(mem, from, MEM_ACK, m->seq, 0,
		    e == NULL ? NULL : refutable_update(e));
	else if (type == MEM_ACK)
		handle_ack(mem, m);
	else if (type == MEM_PING_REQ)
		handle_ping_req(mem, now_us, from, m);
	mem_flush(mem, now_us);
}
