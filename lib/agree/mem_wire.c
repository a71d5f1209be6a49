/* Membership: encoding of updates in datagrams, and table syncs. */

#include <msgpack.h>
#include <string.h>

#include "agree/mem_internal.h"

/*
 * A blob is a sequence of msgpack arrays, distinguished by their length:
 *   2  [settings digest, bits]: which members have it, see mem_in_force.c
 *   3  [key, incarnation, state]
 *   4  [note kind, name, number, text]
 *   8  [incarnation, state, id, address, domain, region, kind, info]
 */
#define STATE_BYTES 20 /* largest encoding */
#define NOTE_BYTES (2 + 9 + 2 + INF_BRANCH_MAX + 2 + MEM_ID_MAX)
/*
 * The members in a larger page of a sync are known to the other nodes already:
 * forwarding them would fill all datagrams for minutes after a cold start.
 */
#define BULK_PAGE_BYTES 1500

static const struct msg_field mem_fields[] = {
	MSG_FIELD(struct mem_msg, from, MSG_U64, 0),
	MSG_FIELD(struct mem_msg, incarnation, MSG_U64, 0),
	MSG_FIELD(struct mem_msg, seq, MSG_U64, 0),
	MSG_FIELD(struct mem_msg, target, MSG_U64, 0),
	MSG_FIELD(struct mem_msg, settings, MSG_U64, 0),
	MSG_FIELD(struct mem_msg, fence, MSG_U64, 0),
	MSG_FIELD(struct mem_msg, table_digest, MSG_U64, 0),
	MSG_FIELD(struct mem_msg, members, MSG_U64, 0),
	MSG_FIELD(struct mem_msg, age_ms, MSG_U64, 0),
	MSG_FIELD(struct mem_msg, updates, MSG_BIN, DGRAM_MAX),
};

static const struct msg_desc mem_descs[] = {
	MSG_DESC(MEM_PING, "mem_ping", struct mem_msg, mem_fields),
	MSG_DESC(MEM_ACK, "mem_ack", struct mem_msg, mem_fields),
	MSG_DESC(MEM_PING_REQ, "mem_ping_req", struct mem_msg, mem_fields),
	MSG_DESC(MEM_GOSSIP, "mem_gossip", struct mem_msg, mem_fields),
	MSG_DESC(MEM_WANT, "mem_want", struct mem_msg, mem_fields),
};

const struct msg_desc *
mem_msg_desc(enum mem_type type)
{
	if (type < MEM_PING || type > MEM_WANT)
		return NULL;
	return &mem_descs[type - MEM_PING];
}

/* ------------------------------------------------------------------ */
/* Writing                                                             */
/* ------------------------------------------------------------------ */

static int
append(void *data, const char *bytes, size_t len)
{
	g_byte_array_append(data, (const guint8 *)bytes, (guint)len);
	return 0;
}

static void
pack_text(msgpack_packer *pk, const char *text)
{
	size_t len = strlen(text);

	msgpack_pack_str(pk, len);
	msgpack_pack_str_body(pk, text, len);
}

void
mem_pack_state(GByteArray *out, const struct mem_entry *e)
{
	msgpack_packer pk;

	msgpack_packer_init(&pk, out, append);
	msgpack_pack_array(&pk, 3);
	msgpack_pack_uint64(&pk, e->key);
	msgpack_pack_uint64(&pk, e->member.node.incarnation);
	msgpack_pack_unsigned_int(&pk, e->member.state);
}

void
mem_pack_full(GByteArray *out, const struct mem_entry *e)
{
	const struct mem_node *node = &e->member.node;
	msgpack_packer pk;

	msgpack_packer_init(&pk, out, append);
	msgpack_pack_array(&pk, 8);
	msgpack_pack_uint64(&pk, node->incarnation);
	msgpack_pack_unsigned_int(&pk, e->member.state);
	pack_text(&pk, node->id);
	pack_text(&pk, node->address);
	pack_text(&pk, node->domain);
	pack_text(&pk, node->region);
	msgpack_pack_unsigned_int(&pk, node->kind);
	pack_text(&pk, node->info);
}

static void
pack_note(GByteArray *out, const struct mem_note *note)
{
	msgpack_packer pk;

	msgpack_packer_init(&pk, out, append);
	msgpack_pack_array(&pk, 4);
	msgpack_pack_unsigned_int(&pk, note->kind);
	pack_text(&pk, note->name);
	msgpack_pack_uint64(&pk, note->number);
	pack_text(&pk, note->text);
}

static void
pack_class(struct mem *mem, GByteArray *out, size_t room, enum mem_class class)
{
	struct mem_entry_list *queue = &mem->updates[class];
	struct mem_entry *e, *last = TAILQ_LAST(queue, mem_entry_list);

	while ((e = TAILQ_FIRST(queue)) != NULL &&
	    out->len + STATE_BYTES <= room) {
		mem_pack_state(out, e);
		TAILQ_REMOVE(queue, e, update_link);
		if (--e->sends_left > 0)
			TAILQ_INSERT_TAIL(queue, e, update_link);
		else
			e->class = MEM_CLASSES;
		if (e == last)
			break;
	}
}

static void
pack_notes(struct mem *mem, GByteArray *out, size_t room)
{
	struct mem_note_entry *n;

	LIST_FOREACH (n, &mem->notes, link) {
		if (n->sends_left == 0 || out->len + NOTE_BYTES > room)
			continue;
		pack_note(out, &n->note);
		n->sends_left--;
	}
}

void
mem_pack_updates(struct mem *mem, GByteArray *out, size_t room,
    struct mem_entry *about, bool urgent)
{
	if (about != NULL)
		mem_pack_state(out, about);
	pack_class(mem, out, room, MEM_CLASS_URGENT);
	pack_notes(mem, out, room);
	if (urgent)
		return;
	pack_class(mem, out, room, MEM_CLASS_FAULT);
	pack_class(mem, out, room, MEM_CLASS_ALIVE);
	mem_pack_map(mem, out, room);
}

/* ------------------------------------------------------------------ */
/* Reading                                                             */
/* ------------------------------------------------------------------ */

static bool
get_number(const msgpack_object *o, uint64_t max, uint64_t *out)
{
	if (o->type != MSGPACK_OBJECT_POSITIVE_INTEGER || o->via.u64 > max)
		return false;
	*out = o->via.u64;
	return true;
}

/* `out` has `max` + 1 bytes. */
static bool
get_text(const msgpack_object *o, size_t max, char *out)
{
	if (o->type != MSGPACK_OBJECT_STR || o->via.str.size > max ||
	    memchr(o->via.str.ptr, '\0', o->via.str.size) != NULL)
		return false;
	memcpy(out, o->via.str.ptr, o->via.str.size);
	out[o->via.str.size] = '\0';
	return true;
}

static void
apply_state(struct mem *mem, int64_t now_us, const char *from,
    const msgpack_object *field)
{
	uint64_t key, incarnation, state;

	if (get_number(&field[0], UINT64_MAX, &key) &&
	    get_number(&field[1], UINT64_MAX, &incarnation) &&
	    get_number(&field[2], MEM_DEAD, &state))
		mem_apply(mem, now_us, key, incarnation, state, from);
}

static void
apply_full(struct mem *mem, int64_t now_us, const msgpack_object *field)
{
	struct mem_node node = { 0 };
	uint64_t state, kind;

	if (!get_number(&field[0], UINT64_MAX, &node.incarnation) ||
	    !get_number(&field[1], MEM_DEAD, &state) ||
	    !get_text(&field[2], MEM_ID_MAX, node.id) ||
	    !get_text(&field[3], MEM_ADDRESS_MAX, node.address) ||
	    !get_text(&field[4], MEM_DOMAIN_MAX, node.domain) ||
	    !get_text(&field[5], MEM_DOMAIN_MAX, node.region) ||
	    !get_number(&field[6], MEM_SIDECAR, &kind) ||
	    !get_text(&field[7], MEM_INFO_MAX, node.info))
		return;
	node.kind = (enum mem_kind)kind;
	mem_apply_full(mem, now_us, &node, state);
}

static void
read_map(const msgpack_object *field, struct mem_map *map)
{
	if (map == NULL || field[1].type != MSGPACK_OBJECT_BIN ||
	    !get_number(&field[0], UINT64_MAX, &map->settings))
		return;
	map->bits = (struct slice){ (const uint8_t *)field[1].via.bin.ptr,
		field[1].via.bin.size };
}

static void
apply_note(struct mem *mem, const char *from, const msgpack_object *field)
{
	struct mem_note note = { 0 };
	uint64_t kind;

	if (!get_number(&field[0], MEM_NOTE_KINDS - 1, &kind) ||
	    !get_text(&field[1], INF_BRANCH_MAX, note.name) ||
	    !get_number(&field[2], UINT64_MAX, &note.number) ||
	    !get_text(&field[3], MEM_ID_MAX, note.text))
		return;
	note.kind = (enum mem_note_kind)kind;
	/*
	 * A note about a branch is forwarded only once the branch is stored
	 * here; otherwise its receivers would request the branch from this node
	 * in vain.
	 */
	if (note.kind == MEM_NOTE_BRANCH)
		mem->ops->note_received(&note, from, mem->ctx);
	else if (mem_note_merge(mem, &note))
		mem->ops->note_received(&note, from, mem->ctx);
}

void
mem_apply_updates(struct mem *mem, int64_t now_us, const char *from,
    struct slice updates, struct mem_map *map)
{
	msgpack_unpacked got;
	size_t at = 0;
	const msgpack_object *o = &got.data;
	const msgpack_object *field;

	if (!msg_bounded(updates))
		return;
	msgpack_unpacked_init(&got);
	while (msgpack_unpack_next(&got, (const char *)updates.data,
		   updates.len, &at) == MSGPACK_UNPACK_SUCCESS) {
		if (o->type != MSGPACK_OBJECT_ARRAY)
			break;
		field = o->via.array.ptr;
		switch (o->via.array.size) {
		case 2:
			read_map(field, map);
			break;
		case 3:
			apply_state(mem, now_us, from, field);
			break;
		case 4:
			apply_note(mem, from, field);
			break;
		case 8:
			apply_full(mem, now_us, field);
			break;
		default: /* array of a newer release */
			break;
		}
	}
	msgpack_unpacked_destroy(&got);
}

/* ------------------------------------------------------------------ */
/* Table sync                                                          */
/* ------------------------------------------------------------------ */

static void
pack_roles(const struct mem *mem, GByteArray *out)
{
	const struct mem_note_entry *n;

	LIST_FOREACH (n, &mem->notes, link) {
		if (n->note.kind == MEM_NOTE_ROLE)
			pack_note(out, &n->note);
	}
}

GByteArray *
mem_pack_role_notes(const struct mem *mem)
{
	GByteArray *out = g_byte_array_new();

	pack_roles(mem, out);
	return out;
}

GByteArray *
mem_sync_list(struct mem *mem)
{
	GByteArray *out = g_byte_array_new();
	guint i;

	for (i = 0; i < mem->by_id->len; i++)
		mem_pack_state(out, g_ptr_array_index(mem->by_id, i));
	pack_roles(mem, out);
	return out;
}

struct pages {
	GByteArray *bytes;
	mem_page_cb *page;
	void *ctx;
};

static void
end_page(struct pages *p)
{
	if (p->bytes->len > 0) {
		p->page(
		    (struct slice){ p->bytes->data, p->bytes->len }, p->ctx);
	}
	g_byte_array_set_size(p->bytes, 0);
}

static void
pack_record(struct pages *p, const struct mem_entry *e)
{
	mem_pack_full(p->bytes, e);
	if (p->bytes->len >= MEM_PAGE_BYTES)
		end_page(p);
}

struct listed {
	uint64_t key, incarnation, state;
};

/* Maps key -> struct listed, which holds the key. */
static GHashTable *
read_list(struct slice list)
{
	GHashTable *known =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	msgpack_unpacked got;
	size_t at = 0;
	const msgpack_object *field;
	struct listed l;
	struct listed *stored;

	if (!msg_bounded(list))
		return known;
	msgpack_unpacked_init(&got);
	while (msgpack_unpack_next(&got, (const char *)list.data, list.len,
		   &at) == MSGPACK_UNPACK_SUCCESS) {
		field = got.data.via.array.ptr;
		if (got.data.type != MSGPACK_OBJECT_ARRAY ||
		    got.data.via.array.size != 3 ||
		    !get_number(&field[0], UINT64_MAX, &l.key) ||
		    !get_number(&field[1], UINT64_MAX, &l.incarnation) ||
		    !get_number(&field[2], MEM_DEAD, &l.state))
			continue;
		stored = g_memdup2(&l, sizeof(l));
		g_hash_table_replace(known, &stored->key, stored);
	}
	msgpack_unpacked_destroy(&got);
	return known;
}

static void
pack_missing(struct mem *mem, GHashTable *known, struct pages *p)
{
	const struct mem_entry *e;
	const struct listed *theirs;
	uint64_t incarnation;
	guint i;

	for (i = 0; i < mem->by_id->len; i++) {
		e = g_ptr_array_index(mem->by_id, i);
		theirs = g_hash_table_lookup(known, &e->key);
		incarnation = e->member.node.incarnation;
		if (e->member.state == MEM_DEAD && theirs == NULL)
			continue;
		if (theirs == NULL ||
		    mem_start_ms(theirs->incarnation) <
			mem_start_ms(incarnation))
			pack_record(p, e);
		else if (theirs->incarnation < incarnation ||
		    (theirs->incarnation == incarnation &&
			theirs->state < e->member.state))
			mem_pack_state(p->bytes, e);
	}
	pack_roles(mem, p->bytes);
}

GByteArray *
mem_sync_answer(struct mem *mem, int64_t now_us, struct slice list,
    mem_page_cb *page, void *ctx)
{
	GByteArray *missing = g_byte_array_new();
	GHashTable *known = read_list(list);
	struct pages p = { g_byte_array_new(), page, ctx };
	GHashTableIter iter;
	gpointer value;
	const struct listed *theirs;
	const struct mem_entry *e;
	uint64_t be;

	/*
	 * `from` is NULL, so that no record is requested from it: the missing
	 * ones are requested over this connection.
	 */
	mem_apply_updates(mem, now_us, NULL, list, NULL);
	pack_missing(mem, known, &p);
	end_page(&p);
	g_hash_table_iter_init(&iter, known);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		theirs = value;
		e = mem_entry(mem, theirs->key);
		if (theirs->state == MEM_DEAD ||
		    (e != NULL &&
			mem_start_ms(theirs->incarnation) <=
			    mem_start_ms(e->member.node.incarnation)))
			continue;
		be = GUINT64_TO_BE(theirs->key);
		g_byte_array_append(missing, (guint8 *)&be, sizeof(be));
	}
	g_hash_table_unref(known);
	g_byte_array_unref(p.bytes);
	return missing;
}

void
mem_sync_records(
    struct mem *mem, struct slice keys, mem_page_cb *page, void *ctx)
{
	struct pages p = { g_byte_array_new(), page, ctx };
	const struct mem_entry *e;
	uint64_t key;
	size_t i;

	for (i = 0; i + sizeof(key) <= keys.len; i += sizeof(key)) {
		memcpy(&key, keys.data + i, sizeof(key));
		e = mem_entry(mem, GUINT64_FROM_BE(key));
		if (e != NULL && e->member.state != MEM_DEAD)
			pack_record(&p, e);
	}
	end_page(&p);
	g_byte_array_unref(p.bytes);
}

void
mem_sync_page(struct mem *mem, int64_t now_us, struct slice page)
{
	mem->joined = true;
	mem->bulk_page = page.len > BULK_PAGE_BYTES;
	mem_apply_updates(mem, now_us, NULL, page, NULL);
	mem->bulk_page = false;
}

void
mem_sync_roles(struct mem *mem, int64_t now_us, struct slice roles)
{
	mem_apply_updates(mem, now_us, NULL, roles, NULL);
}
