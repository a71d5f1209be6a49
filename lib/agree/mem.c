/* Membership: the member table and the rules by which it changes. */

#include <string.h>

#include "agree/mem_internal.h"

/*
 * Dead members stay in the table for this time: otherwise gossip still in
 * flight would revive them, and a region that was cut off for hours would not
 * be found again.
 */
#define TOMBSTONE_US (INT64_C(6) * 3600 * G_USEC_PER_SEC)
#define NOTES_MAX 256 /* branches and roles; more than any present user has */

uint64_t
mem_key(const char *id)
{
	uint64_t key = hash64(0, id, strlen(id));

	return key == 0 ? 1 : key; /* key 0 stands for no member */
}

uint64_t
mem_start_ms(uint64_t incarnation)
{
	return incarnation >> MEM_REFUTES_BITS;
}

struct mem_entry *
mem_entry(const struct mem *mem, uint64_t key)
{
	return g_hash_table_lookup(mem->by_key, &key);
}

unsigned int
mem_log2(const struct mem *mem)
{
	return g_bit_storage(mem->alive + 1);
}

/* ------------------------------------------------------------------ */
/* Order by id                                                         */
/* ------------------------------------------------------------------ */

static guint
index_of(const struct mem *mem, const char *id)
{
	guint low = 0, high = mem->by_id->len, middle;
	const struct mem_entry *e;

	while (low < high) {
		middle = (low + high) / 2;
		e = g_ptr_array_index(mem->by_id, middle);
		if (strcmp(e->member.node.id, id) < 0)
			low = middle + 1;
		else
			high = middle;
	}
	return low;
}

/* ------------------------------------------------------------------ */
/* Changes of one entry                                                */
/* ------------------------------------------------------------------ */

static uint64_t
member_digest(const struct mem_entry *e)
{
	uint64_t facts[2] = { e->member.node.incarnation,
		e->member.state == MEM_LEAVING };

	if (e->member.state == MEM_DEAD)
		return 0;
	return hash64(e->key, facts, sizeof(facts));
}

/*
 * A refutation is urgent: it must overtake the suspicion, which was sent
 * earlier.
 */
static enum mem_class
class_of(enum mem_state before, enum mem_state state)
{
	switch (state) {
	case MEM_LEAVING:
		return MEM_CLASS_URGENT;
	case MEM_SUSPECT:
	case MEM_DEAD:
		return MEM_CLASS_FAULT;
	case MEM_ALIVE:
		break;
	}
	return before == MEM_SUSPECT ? MEM_CLASS_URGENT : MEM_CLASS_ALIVE;
}

/*
 * Queues an update of the member; it replaces an older one that was not sent
 * yet.
 */
static void
queue_update(struct mem *mem, struct mem_entry *e, enum mem_class class)
{
	if (e->class != MEM_CLASSES)
		TAILQ_REMOVE(&mem->updates[e->class], e, update_link);
	e->class = MEM_CLASSES;
	if (mem->bulk_page && class == MEM_CLASS_ALIVE)
		return;
	e->class = class;
	/*
	 * An update about a new member may arrive late: a table sync fills the
	 * gaps.
	 */
	e->sends_left = e->class == MEM_CLASS_ALIVE ? 2 + mem_log2(mem) / 2
						    : 3 + mem_log2(mem);
	TAILQ_INSERT_HEAD(&mem->updates[e->class], e, update_link);
	if (class == MEM_CLASS_URGENT)
		mem->urgent = true;
}

static int64_t
suspicion_timeout_us(const struct mem *mem)
{
	/* A refutation needs about log2(n) periods to arrive. */
	int64_t spread_ms = (int64_t)mem->conf.gossip_ms * mem_log2(mem) / 2;

	return (mem->conf.suspect_ms + spread_ms) * 1000;
}

static void
set_state(struct mem *mem, struct mem_entry *e, int64_t now_us,
    uint64_t incarnation, enum mem_state state)
{
	enum mem_state before = e->member.state;

	mem->table_digest ^= member_digest(e);
	e->member.node.incarnation = incarnation;
	e->member.state = state;
	mem->table_digest ^= member_digest(e);
	mem->changed_us = now_us;
	mem->alive += (before == MEM_DEAD) - (state == MEM_DEAD);
	e->suspect_until_us =
	    state == MEM_SUSPECT ? now_us + suspicion_timeout_us(mem) : 0;
	queue_update(mem, e, class_of(before, state));
	if (state == before)
		return;
	e->member.since_us = now_us;
	mem->ops->changed(&e->member, mem->ctx);
}

/*
 * Another node considers this one suspect or dead (because of a stalled link, a
 * pause or an earlier start). Without a refutation this node would be dropped
 * while it still serves. A higher incarnation overrides what the others have
 * received.
 */
static void
refute(struct mem *mem, int64_t now_us, uint64_t incarnation)
{
	struct mem_entry *self = mem->self;
	uint64_t start_ms = mem_start_ms(self->member.node.incarnation);

	if (mem_start_ms(incarnation) > start_ms) {
		/*
		 * An earlier start of this node had a clock ahead of the
		 * present one: the static facts must count as newer too.
		 */
		incarnation = (mem_start_ms(incarnation) + 1)
		    << MEM_REFUTES_BITS;
	} else {
		incarnation++;
	}
	set_state(mem, self, now_us, incarnation, self->member.state);
	queue_update(mem, self, MEM_CLASS_URGENT);
}

static bool
is_newer(const struct mem_entry *e, uint64_t incarnation, enum mem_state state)
{
	uint64_t known = e->member.node.incarnation;

	return incarnation > known ||
	    (incarnation == known && state > e->member.state);
}

void
mem_apply(struct mem *mem, int64_t now_us, uint64_t key, uint64_t incarnation,
    enum mem_state state, const char *from)
{
	struct mem_entry *e = mem_entry(mem, key);
	uint64_t *wanted;

	if (e != NULL && !is_newer(e, incarnation, state))
		return;
	if (e != NULL && e == mem->self) {
		refute(mem, now_us, incarnation);
		return;
	}
	if (e != NULL &&
	    (mem_start_ms(incarnation) ==
		    mem_start_ms(e->member.node.incarnation) ||
		state == MEM_DEAD)) {
		set_state(mem, e, now_us, incarnation, state);
		return;
	}
	/*
	 * A member, or a restart of one, whose address is not known here:
	 * request its record from the sender of the update.
	 */
	if (state == MEM_DEAD || from == NULL)
		return;
	wanted = g_new(uint64_t, 1);
	*wanted = key;
	g_hash_table_replace(mem->missing_records, wanted, g_strdup(from));
}

static struct mem_entry *
add_entry(struct mem *mem, const struct mem_node *node, int64_t now_us)
{
	struct mem_entry *e = g_new0(struct mem_entry, 1);

	e->key = mem_key(node->id);
	e->member.node = *node;
	e->member.state = MEM_DEAD;
	e->member.since_us = now_us;
	e->class = MEM_CLASSES;
	g_hash_table_insert(mem->by_key, &e->key, e);
	g_ptr_array_insert(mem->by_id, (gint)index_of(mem, node->id), e);
	return e;
}

void
mem_apply_full(struct mem *mem, int64_t now_us, const struct mem_node *node,
    enum mem_state state)
{
	uint64_t key = mem_key(node->id);
	uint64_t incarnation = node->incarnation;
	struct mem_entry *e = mem_entry(mem, key);
	uint64_t known;

	if (e == mem->self) {
		mem_apply(mem, now_us, key, incarnation, state, NULL);
		return;
	}
	if (e == NULL) {
		if (state == MEM_DEAD)
			return;
		e = add_entry(mem, node, now_us);
		g_hash_table_remove(mem->missing_records, &key);
		set_state(mem, e, now_us, incarnation, state);
		return;
	}
	known = e->member.node.incarnation;
	if (mem_start_ms(incarnation) > mem_start_ms(known)) {
		mem->table_digest ^= member_digest(e);
		e->member.node = *node;
		mem->table_digest ^= member_digest(e);
		e->member.settings = 0;
		g_hash_table_remove(mem->missing_records, &key);
		/* A new address is a change even if the state is the same. */
		if (e->member.state == state && state != MEM_DEAD)
			mem->ops->changed(&e->member, mem->ctx);
		set_state(mem, e, now_us, incarnation, state);
		return;
	}
	if (is_newer(e, incarnation, state))
		set_state(mem, e, now_us, incarnation, state);
}

void
mem_suspect(struct mem *mem, struct mem_entry *e, int64_t now_us)
{
	if (e->member.state == MEM_ALIVE) {
		set_state(
		    mem, e, now_us, e->member.node.incarnation, MEM_SUSPECT);
	} else if (e->member.state == MEM_LEAVING && e->suspect_until_us == 0) {
		/*
		 * It stays "leaving" for all nodes until it is declared dead.
		 */
		e->suspect_until_us = now_us + suspicion_timeout_us(mem);
	}
}

void
mem_expire(struct mem *mem, int64_t now_us)
{
	struct mem_entry *e;
	guint i;

	for (i = mem->by_id->len; i > 0; i--) {
		e = g_ptr_array_index(mem->by_id, i - 1);
		if (e->suspect_until_us != 0 && now_us > e->suspect_until_us) {
			set_state(mem, e, now_us, e->member.node.incarnation,
			    MEM_DEAD);
		}
		if (e->member.state != MEM_DEAD || e == mem->self ||
		    now_us - e->member.since_us < TOMBSTONE_US)
			continue;
		if (e->class != MEM_CLASSES)
			TAILQ_REMOVE(&mem->updates[e->class], e, update_link);
		g_ptr_array_remove_index(mem->by_id, i - 1);
		g_hash_table_remove(mem->by_key, &e->key);
	}
}

/*
 * Extends the timeouts of suspicions by a pause of this node: other members
 * could not refute them meanwhile.
 */
void
mem_extend_suspicions(struct mem *mem, int64_t paused_us)
{
	struct mem_entry *e;
	guint i;

	for (i = 0; i < mem->by_id->len; i++) {
		e = g_ptr_array_index(mem->by_id, i);
		if (e->suspect_until_us != 0)
			e->suspect_until_us += paused_us;
	}
}

/* ------------------------------------------------------------------ */
/* Notes                                                               */
/* ------------------------------------------------------------------ */

void
mem_set_fresh(struct mem *mem, int64_t now_us)
{
	mem->fresh_us = MAX(mem->fresh_us, now_us);
}

int64_t
mem_age_ms(const struct mem *mem, int64_t now_us)
{
	return MAX(now_us - mem->fresh_us, 0) / 1000;
}

static struct mem_note_entry *
find_note_entry(
    const struct mem *mem, enum mem_note_kind kind, const char *name)
{
	struct mem_note_entry *n;

	LIST_FOREACH (n, &mem->notes, link) {
		if (n->note.kind == kind && strcmp(n->note.name, name) == 0)
			return n;
	}
	return NULL;
}

/* The release of a role carries the same number as its holder did. */
static bool
is_newer_note(const struct mem_note *note, const struct mem_note *known)
{
	return note->number > known->number ||
	    (note->number == known->number && note->text[0] == '\0' &&
		known->text[0] != '\0');
}

bool
mem_note_merge(struct mem *mem, const struct mem_note *note)
{
	struct mem_note_entry *n = find_note_entry(mem, note->kind, note->name);
	unsigned int known = 0;
	const struct mem_note_entry *each;

	if (n != NULL && !is_newer_note(note, &n->note))
		return false;
	if (n == NULL) {
		LIST_FOREACH (each, &mem->notes, link)
			known++;
		if (known >= NOTES_MAX)
			return false;
		n = g_new0(struct mem_note_entry, 1);
		LIST_INSERT_HEAD(&mem->notes, n, link);
	}
	if (note->kind == MEM_NOTE_ROLE)
		mem->self->member.fence_sum += note->number - n->note.number;
	n->note = *note;
	n->sends_left = 3 + mem_log2(mem);
	n->urgent = true;
	mem->urgent = true;
	return true;
}

void
mem_resend_role_notes(struct mem *mem)
{
	struct mem_note_entry *n;

	LIST_FOREACH (n, &mem->notes, link) {
		if (n->note.kind == MEM_NOTE_ROLE && n->sends_left == 0)
			n->sends_left = 1;
	}
}

bool
mem_note(struct mem *mem, int64_t now_us, const struct mem_note *note)
{
	bool newer = mem_note_merge(mem, note);

	if (newer)
		mem_flush(mem, now_us);
	return newer;
}

const struct mem_note *
mem_find_note(const struct mem *mem, enum mem_note_kind kind, const char *name)
{
	struct mem_note_entry *n = find_note_entry(mem, kind, name);

	return n == NULL ? NULL : &n->note;
}

/* ------------------------------------------------------------------ */
/* Creation and shutdown                                               */
/* ------------------------------------------------------------------ */

struct mem *
mem_new(const struct mem_conf *conf, const struct mem_ops *ops, void *ctx,
    int64_t now_us)
{
	struct mem *mem = g_new0(struct mem, 1);
	struct mem_node self = conf->self;
	int i;

	mem->conf = *conf;
	mem->seeds = g_strdupv((char **)conf->seeds);
	mem->ops = ops;
	mem->ctx = ctx;
	rng_seed(&mem->rng, conf->seed);
	mem->by_key =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	mem->by_id = g_ptr_array_new();
	mem->missing_records =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	mem->order = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	for (i = 0; i < MEM_CLASSES; i++)
		TAILQ_INIT(&mem->updates[i]);
	LIST_INIT(&mem->notes);
	LIST_INIT(&mem->relays);
	self.incarnation <<= MEM_REFUTES_BITS;
	mem->self = add_entry(mem, &self, now_us);
	mem->self->member.state = MEM_ALIVE;
	mem->table_digest = member_digest(mem->self);
	mem->alive = 1;
	queue_update(mem, mem->self, MEM_CLASS_ALIVE);
	mem->last_tick_us = now_us;
	mem->credit_us = now_us;
	mem->fresh_us = now_us;
	/* Nodes that start together must not all probe at the same instant. */
	mem->next_probe_us =
	    now_us + (int64_t)rng_below(&mem->rng, conf->gossip_ms * 250 + 1);
	return mem;
}

void
mem_free(struct mem *mem)
{
	struct mem_note_entry *n;
	struct mem_relay *r;

	if (mem == NULL)
		return;
	while ((n = LIST_FIRST(&mem->notes)) != NULL) {
		LIST_REMOVE(n, link);
		g_free(n);
	}
	while ((r = LIST_FIRST(&mem->relays)) != NULL) {
		LIST_REMOVE(r, link);
		g_free(r);
	}
	g_hash_table_unref(mem->by_key);
	g_hash_table_unref(mem->missing_records);
	g_ptr_array_unref(mem->by_id);
	g_array_unref(mem->order);
	g_strfreev(mem->seeds);
	g_free(mem);
}

void
mem_leave(struct mem *mem, int64_t now_us)
{
	struct mem_entry *self = mem->self;

	if (self->member.state == MEM_LEAVING)
		return;
	set_state(
	    mem, self, now_us, self->member.node.incarnation, MEM_LEAVING);
	mem_flush(mem, now_us);
}

void
mem_hint(struct mem *mem, const char *address)
{
	g_strlcpy(mem->hint, address, sizeof(mem->hint));
}

/* ------------------------------------------------------------------ */
/* Accessors                                                           */
/* ------------------------------------------------------------------ */

void
mem_each(struct mem *mem, mem_each_cb *each, void *ctx)
{
	const struct mem_entry *e;
	guint i;

	for (i = 0; i < mem->by_id->len; i++) {
		e = g_ptr_array_index(mem->by_id, i);
		if (e->member.state != MEM_DEAD)
			each(&e->member, ctx);
	}
}

const struct mem_member *
mem_find(const struct mem *mem, const char *id)
{
	const struct mem_entry *e = mem_entry(mem, mem_key(id));

	if (e == NULL || e->member.state == MEM_DEAD)
		return NULL;
	return &e->member;
}

const struct mem_member *
mem_self(const struct mem *mem)
{
	return &mem->self->member;
}

unsigned int
mem_count(const struct mem *mem)
{
	return mem->alive;
}

uint64_t
mem_table_digest(const struct mem *mem)
{
	return mem->table_digest;
}

const char *
mem_random_address(struct mem *mem)
{
	guint start, i;
	const struct mem_entry *e;

	start = (guint)rng_below(&mem->rng, mem->by_id->len);
	for (i = 0; i < mem->by_id->len; i++) {
		e = g_ptr_array_index(
		    mem->by_id, (start + i) % mem->by_id->len);
		if (e != mem->self && e->member.state < MEM_DEAD &&
		    e->member.state != MEM_SUSPECT)
			return e->member.node.address;
	}
	return NULL;
}
