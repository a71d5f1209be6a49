/*
 * Membership: which members have which active settings.
 *
 * After a change each node has an update for each other node; sent one by one
 * these would be n * n updates. Instead a datagram carries one bit per member,
 * "has the sender's settings or newer ones", and receivers merge the bits, so
 * that after log2(n) rounds all nodes know the state of all. The bits are in
 * the order of the ids, which is the same wherever the member tables are the
 * same.
 */

#include <msgpack.h>
#include <string.h>

#include "agree/mem_internal.h"

#define MAP_HEADER_BYTES (1 + 9 + 3)

static void
resend_map(struct mem *mem)
{
	mem->map_sends_left = 3 + mem_log2(mem);
}

void
mem_record_settings(struct mem *mem, struct mem_entry *e, uint64_t settings)
{
	/*
	 * Digests grow with the versions, see inf_digest(); a delayed older
	 * digest must not overwrite a newer one.
	 */
	if (settings <= e->member.settings)
		return;
	e->member.settings = settings;
	if (settings >= mem->self->member.settings)
		resend_map(mem);
}

void
mem_set_settings(struct mem *mem, uint64_t settings)
{
	mem_record_settings(mem, mem->self, settings);
}

static int
append(void *data, const char *bytes, size_t len)
{
	g_byte_array_append(data, (const guint8 *)bytes, (guint)len);
	return 0;
}

void
mem_pack_map(struct mem *mem, GByteArray *out, size_t room)
{
	uint64_t settings = mem->self->member.settings;
	size_t len = (mem->alive + 7) / 8, bit = 0;
	const struct mem_entry *e;
	msgpack_packer pk;
	uint8_t *bits;
	guint i;

	if (mem->map_sends_left == 0 ||
	    out->len + MAP_HEADER_BYTES + len > room)
		return;
	mem->map_sends_left--;
	bits = g_malloc0(len);
	for (i = 0; i < mem->by_id->len; i++) {
		e = g_ptr_array_index(mem->by_id, i);
		if (e->member.state == MEM_DEAD)
			continue;
		if (e->member.settings >= settings)
			bits[bit / 8] |= 1u << bit % 8;
		bit++;
	}
	msgpack_packer_init(&pk, out, append);
	msgpack_pack_array(&pk, 2);
	msgpack_pack_uint64(&pk, settings);
	msgpack_pack_bin(&pk, len);
	msgpack_pack_bin_body(&pk, bits, len);
	g_free(bits);
}

void
mem_apply_map(struct mem *mem, uint64_t settings, struct slice map)
{
	struct mem_entry *e;
	size_t bit = 0;
	guint i;

	if (map.len != (mem->alive + 7) / 8)
		return;
	for (i = 0; i < mem->by_id->len; i++) {
		e = g_ptr_array_index(mem->by_id, i);
		if (e->member.state == MEM_DEAD)
			continue;
		if ((map.data[bit / 8] >> bit % 8 & 1) != 0 && e != mem->self)
			mem_record_settings(mem, e, settings);
		bit++;
	}
}
