#ifndef MEM_INTERNAL_H
#define MEM_INTERNAL_H

/*
 * Membership decisions: a SWIM-like protocol without I/O. The caller passes in
 * the time and the received messages and sends what `ops->send` is given.
 *
 * Static facts (address, domain, info) are sent once per member and receiver:
 * gossip carries short records; a node that is missing the facts requests them
 * (MEM_WANT) or fetches a whole table (a sync over TCP). The datagrams of a
 * node stay within MEM_BYTES_S, whatever the number of members.
 */

#include "agree/agree.h"

/* Datagram types; all of them carry a struct mem_msg. */
enum mem_type {
	MEM_PING = 60,
	MEM_ACK = 61,
	/* requests a ping of `target` and the relay of its ack */
	MEM_PING_REQ = 62,
	MEM_GOSSIP = 63, /* updates only; no response */
	/* `updates` holds the keys of the records that the sender is missing */
	MEM_WANT = 64,
};

struct mem_msg {
	uint64_t from; /* key of the sender */
	uint64_t incarnation;
	uint64_t seq;
	uint64_t target; /* in MEM_PING_REQ and in relayed acks */
	uint64_t settings;
	uint64_t fence;
	uint64_t table_digest; /* the sender's mem_table_digest() */
	/* number of members that the sender knows, without dead ones */
	uint64_t members;
	/* since a watch of the settings was certainly working */
	uint64_t age_ms;
	struct slice updates;
};

/*
 * Gossip about an object rather than a member: the version of a branch or the
 * fencing number of a role. The numbers only grow.
 */
enum mem_note_kind {
	MEM_NOTE_BRANCH,
	MEM_NOTE_ROLE,
	MEM_NOTE_KINDS,
};

struct mem_note {
	enum mem_note_kind kind;
	char name[INF_BRANCH_MAX + 1];
	uint64_t number;
	char text[MEM_ID_MAX + 1]; /* a role's holder, "" after a release */
};

struct mem_conf {
	struct mem_node self;
	unsigned int gossip_ms; /* one probe per period */
	unsigned int suspect_ms; /* shortest time from suspicion to death */
	const char *const *seeds; /* terminated by NULL; may be NULL */
	uint64_t seed;
};

struct mem_ops {
	void (*send)(const char *to, enum mem_type type,
	    const struct mem_msg *message, void *ctx);
	/* A member is new, changed its state or, with MEM_DEAD, was removed. */
	void (*changed)(const struct mem_member *member, void *ctx);
	/*
	 * A note about a role has a higher number than any before, or a note is
	 * about a branch (whatever its number). `from` is the sender's address,
	 * NULL in a table sync.
	 */
	void (*note_received)(
	    const struct mem_note *note, const char *from, void *ctx);
	/* The peer has newer settings than this node. */
	void (*settings_differ)(
	    const char *address, uint64_t settings, void *ctx);
	/*
	 * The member tables differ: fetch what is missing here from this
	 * address.
	 */
	void (*sync)(const char *address, void *ctx);
};

extern const struct msg_desc *mem_msg_desc(enum mem_type type);

/* `ops` must outlive the result. */
struct mem *mem_new(const struct mem_conf *conf, const struct mem_ops *ops,
    void *ctx, int64_t now_us);
void mem_free(struct mem *mem);
#define MEM_TICK_MS 100
/* To be called every MEM_TICK_MS. */
void mem_tick(struct mem *mem, int64_t now_us);
void mem_receive(struct mem *mem, int64_t now_us, const char *from,
    enum mem_type type, const struct mem_msg *m);
void mem_leave(struct mem *mem, int64_t now_us);
/*
 * Sets an address from the host list to be probed once; only the last one is
 * retained.
 */
void mem_hint(struct mem *mem, const char *address);
void mem_set_settings(struct mem *mem, uint64_t settings);
/* The watch of the settings at this node is working at this moment. */
void mem_set_fresh(struct mem *mem, int64_t now_us);
/* Time since a watch was known to work, here or over any number of hops. */
int64_t mem_age_ms(const struct mem *mem, int64_t now_us);
/*
 * Sends a note to all members at once; returns false if it is not newer. A note
 * about a role is forwarded by all receivers, one about a branch only by this
 * call.
 */
bool mem_note(struct mem *mem, int64_t now_us, const struct mem_note *note);
const struct mem_note *mem_find_note(
    const struct mem *mem, enum mem_note_kind kind, const char *name);
void mem_each(struct mem *mem, mem_each_cb *each, void *ctx);
const struct mem_member *mem_find(const struct mem *mem, const char *id);
const struct mem_member *mem_self(const struct mem *mem);
unsigned int mem_count(const struct mem *mem); /* without dead members */
/* Returns the address of a random live member other than this node, or NULL. */
const char *mem_random_address(struct mem *mem);
uint64_t mem_table_digest(const struct mem *mem);

/*
 * Table sync: the requesting node sends its list; the answering node merges it,
 * sends in pages the records that the requester is missing, and then the keys
 * that it is missing itself, which the requester answers with pages too.
 */
#define MEM_PAGE_BYTES (64u << 10)
typedef void mem_page_cb(struct slice page, void *ctx);
/* Packs the notes about roles. */
GByteArray *mem_pack_role_notes(const struct mem *mem);
GByteArray *mem_sync_list(struct mem *mem);
GByteArray *mem_sync_answer(struct mem *mem, int64_t now_us, struct slice list,
    mem_page_cb *page, void *ctx);
void mem_sync_records(
    struct mem *mem, struct slice keys, mem_page_cb *page, void *ctx);
void mem_sync_page(struct mem *mem, int64_t now_us, struct slice page);
/* Applies the result of mem_pack_role_notes(). */
void mem_sync_roles(struct mem *mem, int64_t now_us, struct slice roles);

/* ------------------------------------------------------------------ */
/* Shared by the mem_*.c files only                                    */
/* ------------------------------------------------------------------ */

/* Priority of updates for the space in a datagram. */
enum mem_class {
	MEM_CLASS_URGENT, /* leaving or refuted */
	MEM_CLASS_FAULT, /* suspect or dead */
	MEM_CLASS_ALIVE,
	MEM_CLASSES,
};

struct mem_entry {
	struct mem_member member;
	uint64_t key;
	int64_t suspect_until_us; /* 0: not suspected */
	/*
	 * The update queued for sending; `class` is MEM_CLASSES if there is
	 * none.
	 */
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

struct mem_relay { /* a ping sent on behalf of another node */
	uint64_t seq;
	uint64_t requester_seq;
	char requester[MEM_ADDRESS_MAX + 1];
	int64_t until_us;
	LIST_ENTRY(mem_relay) link;
};

struct mem_probe {
	uint64_t key; /* 0: no probe is running */
	uint64_t seq;
	int64_t indirect_us; /* when other members are asked to ping */
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
	GPtrArray *by_id; /* sorted; includes the dead */
	unsigned int alive; /* number of entries that are not dead */
	/* index into by_id of the next probe of a dead member */
	unsigned int next_dead;
	uint64_t table_digest;
	int64_t changed_us; /* when table_digest last changed */
	struct mem_entry_list updates[MEM_CLASSES];
	/* Remaining sends of the settings map; see mem_in_force.c. */
	unsigned int map_sends_left;
	LIST_HEAD(mem_note_list, mem_note_entry) notes;
	int64_t fresh_us; /* when a watch was last known to work */
	bool urgent; /* an urgent update waits for its fan-out */
	GArray *order; /* keys in probing order, shuffled */
	unsigned int next;
	struct mem_probe probe;
	uint64_t seq;
	int64_t next_probe_us; /* when the next probe starts */
	int64_t last_tick_us;
	LIST_HEAD(mem_relay_list, mem_relay) relays;
	unsigned int nrelays;
	/* key -> address of the sender of the update */
	GHashTable *missing_records;
	int64_t next_want_us; /* earliest time of the next MEM_WANT */
	char hint[MEM_ADDRESS_MAX + 1];
	int64_t byte_credit; /* credit for datagrams, see MEM_BYTES_S */
	int64_t credit_us;
	bool joined; /* has fetched a table from a peer */
	int64_t sync_started_us; /* when the last sync started; 0: never */
	bool bulk_page; /* a sync page with many members is being applied */
	/* datagrams with another table digest, less those with the same one */
	unsigned int digest_mismatches;
};

/*
 * An incarnation is the node's start time (wall clock milliseconds) in the
 * upper bits and a count of refutations in the lower ones, so that a short
 * record shows whether the static facts known here are those of the present
 * start.
 */
#define MEM_REFUTES_BITS 16
uint64_t mem_start_ms(uint64_t incarnation);

/* mem.c: the member table and its rules */
uint64_t mem_key(const char *id);
struct mem_entry *mem_entry(const struct mem *mem, uint64_t key);
void mem_apply(struct mem *mem, int64_t now_us, uint64_t key,
    uint64_t incarnation, enum mem_state state, const char *from);
void mem_apply_full(struct mem *mem, int64_t now_us,
    const struct mem_node *node, enum mem_state state);
void mem_suspect(struct mem *mem, struct mem_entry *e, int64_t now_us);
unsigned int mem_log2(const struct mem *mem);
bool mem_note_merge(struct mem *mem, const struct mem_note *note);
/* Sends the notes about roles once more, as a peer is missing some. */
void mem_resend_role_notes(struct mem *mem);

/* To be called once per period. */
void mem_expire(struct mem *mem, int64_t now_us);
void mem_extend_suspicions(struct mem *mem, int64_t paused_us);

struct mem_map { /* refers to the memory of the blob */
	uint64_t settings;
	struct slice bits;
};

/* mem_wire.c: encoding of updates */
void mem_pack_state(GByteArray *out, const struct mem_entry *e);
void mem_pack_full(GByteArray *out, const struct mem_entry *e);
/* Packs updates up to `room` bytes; `about` (may be NULL) is packed first. */
void mem_pack_updates(struct mem *mem, GByteArray *out, size_t room,
    struct mem_entry *about, bool urgent);
/* `map` (may be NULL) gets the settings map if the blob contains one. */
void mem_apply_updates(struct mem *mem, int64_t now_us, const char *from,
    struct slice updates, struct mem_map *map);

/* mem_in_force.c: which members have which settings */
void mem_record_settings(
    struct mem *mem, struct mem_entry *e, uint64_t settings);
void mem_pack_map(struct mem *mem, GByteArray *out, size_t room);
void mem_apply_map(struct mem *mem, uint64_t settings, struct slice map);

/* mem_probe.c */
/* Sends urgent updates at once. */
void mem_flush(struct mem *mem, int64_t now_us);
void mem_send(struct mem *mem, const char *to, enum mem_type type, uint64_t seq,
    uint64_t target, struct mem_entry *about);

#endif
