#ifndef MEM_INTERNAL_H
#define MEM_INTERNAL_H

/*
 * Membership decisions: a SWIM-like protocol without I/O. The owner passes
 * in the time and received messages and sends what `ops->send` is given.
 *
 * Static facts (address, domain, info) travel once per member and receiver:
 * gossip carries short records, a node that lacks the facts asks for them
 * (`want`) or takes over a whole table (sync, by TCP). The datagrams of a
 * node stay within MEM_BYTES_S whatever the number of members.
 */

#include "agree/agree.h"

/* Datagram types; all carry a struct mem_msg. */
enum mem_type {
	MEM_PING = 60,
	MEM_ACK = 61,
	MEM_PING_REQ = 62, /* ping `target` for me and pass its ack on */
	MEM_GOSSIP = 63, /* updates only, nothing is answered */
	MEM_WANT = 64, /* `updates` holds keys whose full records I lack */
};

struct mem_msg {
	uint64_t from; /* key of the sender */
	uint64_t incarnation;
	uint64_t seq;
	uint64_t target; /* ping_req and relayed acks */
	uint64_t settings;
	uint64_t fence;
	uint64_t
	    table_digest; /* digest of the sender's table, see mem_table_digest() */
	uint64_t members; /* that the sender knows, without the dead */
	uint64_t age_ms; /* since a watch of the settings was surely well */
	struct slice updates;
};

/* What a node passes on about objects, not members: the version of a branch
 * or the fencing number of a role. Numbers only grow. */
enum mem_note_kind {
	MEM_NOTE_BRANCH,
	MEM_NOTE_ROLE,
	MEM_NOTE_KINDS,
};

struct mem_note {
	enum mem_note_kind kind;
	char name[INF_BRANCH_MAX + 1];
	uint64_t number;
	char text[MEM_ID_MAX + 1]; /* a role's holder, "" when given up */
};

struct mem_conf {
	struct mem_node self;
	unsigned int gossip_ms; /* one probe a period */
	unsigned int suspect_ms; /* least silence between suspicion and death */
	const char *const *seeds; /* NULL at the end; may be NULL */
	uint64_t seed;
};

struct mem_ops {
	void (*send)(const char *to, enum mem_type type,
	    const struct mem_msg *message, void *ctx);
	/* New, changed state, or (MEM_DEAD) gone. */
	void (*changed)(const struct mem_member *member, void *ctx);
	/* A note with a higher number than any before, or of a branch at
	 * all; `from` is where the teller answers, NULL in a table sync. */
	void (*note_received)(
	    const struct mem_note *note, const char *from, void *ctx);
	/* The peer has other settings than we have. */
	void (*settings_differ)(
	    const char *address, uint64_t settings, void *ctx);
	/* The tables differ: take over what we lack from this address. */
	void (*sync)(const char *address, void *ctx);
};

extern const struct msg_desc *mem_msg_desc(enum mem_type type);

/* `ops` must outlive the result. */
struct mem *mem_new(const struct mem_conf *conf, const struct mem_ops *ops,
    void *ctx, int64_t now_us);
void mem_free(struct mem *mem);
#define MEM_TICK_MS 100
void mem_tick(struct mem *mem, int64_t now_us); /* every MEM_TICK_MS */
void mem_receive(struct mem *mem, int64_t now_us, const char *from,
    enum mem_type type, const struct mem_msg *message);
void mem_leave(struct mem *mem, int64_t now_us);
/* An address that may answer, from the host list. At most one is kept. */
void mem_hint(struct mem *mem, const char *address);
void mem_set_settings(struct mem *mem, uint64_t settings);
/* This node's watch of the settings works at this moment. */
void mem_set_fresh(struct mem *mem, int64_t now_us);
/* Time since a working watch was heard of, over any number of hops. */
int64_t mem_age_ms(const struct mem *mem, int64_t now_us);
/* Passes a note on to all members at once; false when it is not newer. Roles'
 * notes are passed on by all who hear them, branches' only by this call. */
bool mem_note(struct mem *mem, int64_t now_us, const struct mem_note *note);
const struct mem_note *mem_find_note(
    const struct mem *mem, enum mem_note_kind kind, const char *name);
void mem_each(struct mem *mem, mem_each_cb *each, void *ctx);
const struct mem_member *mem_find(const struct mem *mem, const char *id);
const struct mem_member *mem_self(const struct mem *mem);
unsigned int mem_count(const struct mem *mem); /* without the dead */
/* Address of a random live member other than this node, NULL if none. */
const char *mem_random_address(struct mem *mem);
uint64_t mem_table_digest(const struct mem *mem);

/*
 * Taking over a table: the asking node sends its list, the answering node
 * merges it, sends the records that the asker lacks in pages, and the keys
 * that it lacks itself, which the asker answers by pages too.
 */
#define MEM_PAGE_BYTES (64u << 10)
typedef void mem_page_cb(struct slice page, void *ctx);
GByteArray *mem_pack_role_notes(const struct mem *mem); /* notes */
GByteArray *mem_sync_list(struct mem *mem);
GByteArray *mem_sync_answer(struct mem *mem, int64_t now_us, struct slice list,
    mem_page_cb *page, void *ctx);
void mem_sync_records(
    struct mem *mem, struct slice keys, mem_page_cb *page, void *ctx);
void mem_sync_page(struct mem *mem, int64_t now_us, struct slice page);
/* The notes of mem_pack_role_notes() only. */
void mem_sync_roles(struct mem *mem, int64_t now_us, struct slice roles);

/* ------------------------------------------------------------------ */
/* Shared by the mem_*.c files only                                    */
/* ------------------------------------------------------------------ */

/* Order in which updates get the room of a datagram. */
enum mem_class {
	MEM_CLASS_URGENT, /* leaving, refuted */
	MEM_CLASS_FAULT, /* suspect, dead */
	MEM_CLASS_ALIVE,
	MEM_CLASSES,
};

struct mem_entry {
	struct mem_member member;
	uint64_t key;
	int64_t suspect_until_us; /* 0: not suspected */
	/* The update waiting to be passed on; `class` is MEM_CLASSES if none. */
	enum mem_class class;
	unsigned int sends_left;
	TAILQ_ENTRY(mem_entry) update_link;
};
TAILQ_HEAD(mem_entry_list, mem_entry);

struct mem_note_entry {
	struct mem_note note;
	unsigned int sends_left;
	bool urgent;
	LIST_ENTRY(mem_note_entry) link;
};

struct mem_relay { /* a ping sent for somebody else */
	uint64_t seq;
	uint64_t requester_seq;
	char requester[MEM_ADDRESS_MAX + 1];
	int64_t until_us;
	LIST_ENTRY(mem_relay) link;
};

struct mem_probe {
	uint64_t key; /* 0: no probe is running */
	uint64_t seq;
	int64_t indirect_us; /* when others are asked */
	int64_t end_us;
	bool indirect_sent;
};

struct mem {
	struct mem_conf conf;
	char **seeds;
	const struct mem_ops *ops;
	void *ctx;
	struct rng rng;
	struct mem_entry *self;
	GHashTable *by_key;
	GPtrArray *by_id; /* sorted; the dead are in it too */
	unsigned int alive; /* entries that are not dead */
	unsigned int next_dead; /* place in by_id, for probes of the dead */
	uint64_t table_digest;
	int64_t changed_us; /* when it last changed */
	struct mem_entry_list updates[MEM_CLASSES];
	/* Sends left of the map of who has our settings; see mem_in_force.c. */
	unsigned int map_sends_left;
	LIST_HEAD(mem_note_list, mem_note_entry) notes;
	int64_t fresh_us; /* when a watch was last known to work */
	bool urgent; /* an update waits for its fan-out */
	GArray *order; /* keys of the round robin, shuffled */
	unsigned int next;
	struct mem_probe probe;
	uint64_t seq;
	int64_t next_probe_us; /* when the next probe starts */
	int64_t last_tick_us;
	LIST_HEAD(mem_relay_list, mem_relay) relays;
	unsigned int nrelays;
	GHashTable *missing_records; /* key -> address of who told of it */
	int64_t next_want_us; /* no earlier question than this */
	char hint[MEM_ADDRESS_MAX + 1];
	int64_t byte_credit; /* credit for datagrams */
	int64_t credit_us;
	bool joined; /* has taken over a table */
	int64_t sync_started_us; /* when the last sync began; 0: never */
	bool bulk_page; /* a page full of members is being taken */
	unsigned int
	    digest_mismatches; /* grows with each peer of another view */
};

/*
 * An incarnation is the life's start (wall milliseconds) above a count of
 * refutations, so that a short record shows whether the static facts known
 * here are still those of this life.
 */
#define MEM_REFUTES_BITS 16
uint64_t mem_start_ms(uint64_t incarnation);

/* mem.c: the table and its rules */
uint64_t mem_key(const char *id);
struct mem_entry *mem_entry(const struct mem *mem, uint64_t key);
void mem_apply(struct mem *mem, int64_t now_us, uint64_t key,
    uint64_t incarnation, enum mem_state state, const char *from);
void mem_apply_full(struct mem *mem, int64_t now_us,
    const struct mem_node *node, enum mem_state state);
void mem_suspect(struct mem *mem, struct mem_entry *e, int64_t now_us);
unsigned int mem_log2(const struct mem *mem);
bool mem_note_merge(struct mem *mem, const struct mem_note *note);
/* Passes the roles' notes on once more: a peer lacks some. */
void mem_resend_role_notes(struct mem *mem);

void mem_expire(struct mem *mem, int64_t now_us); /* once a period */
void mem_extend_suspicions(struct mem *mem, int64_t paused_us);

struct mem_map { /* borrowed from the blob */
	uint64_t settings;
	struct slice bits;
};

/* mem_wire.c: blobs of updates */
void mem_pack_state(GByteArray *out, const struct mem_entry *e);
void mem_pack_full(GByteArray *out, const struct mem_entry *e);
/* Fills a datagram's room; `about` (may be NULL) goes first. */
void mem_pack_updates(struct mem *mem, GByteArray *out, size_t room,
    struct mem_entry *about, bool urgent);
/* The map of settings in the blob, if any, is left in `map` (may be NULL). */
void mem_apply_updates(struct mem *mem, int64_t now_us, const char *from,
    struct slice updates, struct mem_map *map);

/* mem_in_force.c: who has which settings */
void mem_record_settings(
    struct mem *mem, struct mem_entry *e, uint64_t settings);
void mem_pack_map(struct mem *mem, GByteArray *out, size_t room);
void mem_apply_map(struct mem *mem, uint64_t settings, struct slice map);

/* mem_probe.c */
void mem_flush(struct mem *mem, int64_t now_us); /* urgent news, now */
void mem_send(struct mem *mem, const char *to, enum mem_type type, uint64_t seq,
    uint64_t target, struct mem_entry *about);

#endif
