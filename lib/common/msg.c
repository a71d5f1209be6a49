/* Table-driven message codec for msgpack. */

#include <msgpack.h>
#include <string.h>

#include "common/common.h"

#define MSG_HEADER_FIELDS 2 /* type, stamp */

struct slice
slice_str(const char *s)
{
	if (s == NULL)
		return (struct slice){ NULL, 0 };
	return (struct slice){ (const uint8_t *)s, strlen(s) };
}

void
slice_copy(struct slice s, char *out, size_t size)
{
	size_t n = MIN(s.len, size - 1);

	if (n > 0)
		memcpy(out, s.data, n);
	out[n] = '\0';
}

char *
slice_dup(struct slice s)
{
	return s.len == 0 ? g_strdup("")
			  : g_strndup((const char *)s.data, s.len);
}

static int
append(void *data, const char *bytes, size_t len)
{
	g_byte_array_append(data, (const guint8 *)bytes, (guint)len);
	return 0;
}

static void
pack_field(msgpack_packer *pk, const struct msg_field *field, const void *at)
{
	const struct slice *s = at;

	switch (field->kind) {
	case MSG_U64:
		msgpack_pack_uint64(pk, *(const uint64_t *)at);
		break;
	case MSG_I64:
		msgpack_pack_int64(pk, *(const int64_t *)at);
		break;
	case MSG_BIN:
		msgpack_pack_bin(pk, s->len);
		msgpack_pack_bin_body(pk, s->data, s->len);
		break;
	case MSG_STR:
		msgpack_pack_str(pk, s->len);
		msgpack_pack_str_body(pk, s->data, s->len);
		break;
	case MSG_DIGEST:
		msgpack_pack_bin(pk, DIGEST_BYTES);
		msgpack_pack_bin_body(pk, at, DIGEST_BYTES);
		break;
	}
}

void
msg_pack(GByteArray *out, uint64_t hlc, const struct msg_desc *desc,
    const void *message)
{
	msgpack_packer pk;
	size_t i;

	msgpack_packer_init(&pk, out, append);
	msgpack_pack_array(&pk, MSG_HEADER_FIELDS + desc->nfields);
	msgpack_pack_uint32(&pk, desc->type);
	msgpack_pack_uint64(&pk, hlc);
	for (i = 0; i < desc->nfields; i++) {
		pack_field(&pk, &desc->fields[i],
		    (const uint8_t *)message + desc->fields[i].offset);
	}
}

/* ------------------------------------------------------------------ */
/* Bounds checks before the msgpack library parses the input           */
/* ------------------------------------------------------------------ */

/* Size of a scalar: `fixed` bytes including the type byte, of which the last
 * `len_bytes` (big endian) hold the length of the data that follows. */
struct scalar {
	uint8_t fixed;
	uint8_t len_bytes;
};

/* By type byte, 0xc0 to 0xdf; an entry of zeros is not a scalar type. */
static const struct scalar scalars[32] = {
	[0xc0 - 0xc0] = { 1, 0 }, /* nil */
	[0xc2 - 0xc0] = { 1, 0 }, /* false */
	[0xc3 - 0xc0] = { 1, 0 }, /* true */
	[0xc4 - 0xc0] = { 2, 1 }, /* bin 8 */
	[0xc5 - 0xc0] = { 3, 2 }, /* bin 16 */
	[0xc6 - 0xc0] = { 5, 4 }, /* bin 32 */
	[0xca - 0xc0] = { 5, 0 }, /* float 32 */
	[0xcb - 0xc0] = { 9, 0 }, /* float 64 */
	[0xcc - 0xc0] = { 2, 0 }, /* uint 8 */
	[0xcd - 0xc0] = { 3, 0 }, /* uint 16 */
	[0xce - 0xc0] = { 5, 0 }, /* uint 32 */
	[0xcf - 0xc0] = { 9, 0 }, /* uint 64 */
	[0xd0 - 0xc0] = { 2, 0 }, /* int 8 */
	[0xd1 - 0xc0] = { 3, 0 }, /* int 16 */
	[0xd2 - 0xc0] = { 5, 0 }, /* int 32 */
	[0xd3 - 0xc0] = { 9, 0 }, /* int 64 */
	[0xd9 - 0xc0] = { 2, 1 }, /* str 8 */
	[0xda - 0xc0] = { 3, 2 }, /* str 16 */
	[0xdb - 0xc0] = { 5, 4 }, /* str 32 */
};

/* Size of the scalar at `p`; 0 if there is none or if it is longer than
 * `left`. */
static size_t
scalar_size(const uint8_t *p, size_t left)
{
	const struct scalar *s;
	size_t size, len = 0, i;

	if (left == 0)
		return 0;
	if (p[0] < 0x80 || p[0] >= 0xe0)
		return 1; /* small integers */
	if (p[0] >= 0xa0 && p[0] < 0xc0) {
		size = 1 + (p[0] & 31u); /* short string */
		return size <= left ? size : 0;
	}
	if (p[0] < 0xc0)
		return 0; /* a map or an array */
	s = &scalars[p[0] - 0xc0];
	if (s->fixed == 0 || s->fixed > left)
		return 0;
	for (i = 0; i < s->len_bytes; i++)
		len = len << 8 | p[1 + i];
	return len <= left - s->fixed ? s->fixed + len : 0;
}

/* Reads an array header: its size and the number of elements that it claims.
 * False if there is none at `p`. Maps, which no message contains, and arrays of
 * more than 65535 elements are not accepted. */
static bool
array_header(const uint8_t *p, size_t left, size_t *size, size_t *claimed)
{
	if (left >= 1 && (p[0] & 0xf0) == 0x90) {
		*size = 1;
		*claimed = p[0] & 0x0f;
		return true;
	}
	if (left >= 3 && p[0] == 0xdc) {
		*size = 3;
		*claimed = (size_t)p[1] << 8 | p[2];
		return true;
	}
	return false;
}

/* Size of the value at `p`, with arrays nested at most `depth` deep; 0 if it is
 * malformed or incomplete. */
static size_t
value_size(const uint8_t *p, size_t left, unsigned int depth)
{
	size_t at, claimed, size;

	if (!array_header(p, left, &at, &claimed))
		return scalar_size(p, left);
	if (depth == 0)
		return 0;
	for (; claimed > 0; claimed--) {
		size = value_size(p + at, left - at, depth - 1);
		if (size == 0)
			return 0;
		at += size;
	}
	return at;
}

bool
msg_bounded(struct slice s)
{
	size_t at = 0, size;

	while (at < s.len) {
		size = value_size(s.data + at, s.len - at, MSG_DEPTH_MAX);
		if (size == 0)
			return false;
		at += size;
	}
	return true;
}

/* A parsed message; its strings and byte arrays point into the input. */
struct parsed {
	msgpack_unpacked unpacked;
};

bool
msg_open(struct msg *m, const void *data, size_t len, struct err *err)
{
	struct parsed *p;
	const msgpack_object *o;
	size_t at = 0;
	msgpack_unpack_return got;

	m->priv = NULL;
	if (value_size(data, len, 1) != len) {
		return err_set(
		    err, ERR_INVALID, VERDICT_NOT_RUN, "malformed message");
	}
	p = g_new0(struct parsed, 1);
	o = &p->unpacked.data;
	msgpack_unpacked_init(&p->unpacked);
	got = msgpack_unpack_next(&p->unpacked, data, len, &at);
	m->priv = p;
	if (got == MSGPACK_UNPACK_SUCCESS && at == len &&
	    o->type == MSGPACK_OBJECT_ARRAY &&
	    o->via.array.size >= MSG_HEADER_FIELDS &&
	    o->via.array.ptr[0].type == MSGPACK_OBJECT_POSITIVE_INTEGER &&
	    o->via.array.ptr[1].type == MSGPACK_OBJECT_POSITIVE_INTEGER) {
		m->type = (unsigned int)o->via.array.ptr[0].via.u64;
		m->hlc = o->via.array.ptr[1].via.u64;
		return true;
	}
	msg_close(m);
	return err_set(err, ERR_INVALID, VERDICT_NOT_RUN, "malformed message");
}

static bool
read_bytes(const struct msg_field *field, const msgpack_object *o, void *at)
{
	struct slice s;

	if (o->type == MSGPACK_OBJECT_BIN)
		s = (struct slice){ (const uint8_t *)o->via.bin.ptr,
			o->via.bin.size };
	else if (o->type == MSGPACK_OBJECT_STR)
		s = (struct slice){ (const uint8_t *)o->via.str.ptr,
			o->via.str.size };
	else
		return false;
	if (field->kind == MSG_DIGEST) {
		if (s.len != DIGEST_BYTES)
			return false;
		memcpy(at, s.data, DIGEST_BYTES);
		return true;
	}
	if (field->max != 0 && s.len > field->max)
		return false;
	if (field->kind == MSG_STR && s.len > 0 &&
	    (memchr(s.data, '\0', s.len) != NULL ||
		!g_utf8_validate((const char *)s.data, (gssize)s.len, NULL)))
		return false;
	*(struct slice *)at = s;
	return true;
}

static bool
read_field(const struct msg_field *field, const msgpack_object *o, void *at)
{
	switch (field->kind) {
	case MSG_U64:
		if (o->type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
		    (field->max != 0 && o->via.u64 > field->max))
			return false;
		*(uint64_t *)at = o->via.u64;
		return true;
	case MSG_I64:
		if (o->type == MSGPACK_OBJECT_POSITIVE_INTEGER &&
		    o->via.u64 <= INT64_MAX)
			*(int64_t *)at = (int64_t)o->via.u64;
		else if (o->type == MSGPACK_OBJECT_NEGATIVE_INTEGER)
			*(int64_t *)at = o->via.i64;
		else
			return false;
		return true;
	case MSG_BIN:
	case MSG_STR:
	case MSG_DIGEST:
		return read_bytes(field, o, at);
	}
	return false;
}

bool
msg_read(const struct msg *m, const struct msg_desc *desc, void *out,
    struct err *err)
{
	const struct parsed *p = m->priv;
	const msgpack_object_array *a = &p->unpacked.data.via.array;
	size_t i;

	if (m->type != desc->type) {
		return err_set(err, ERR_INVALID, VERDICT_NOT_RUN,
		    "message type %u is not %s", m->type, desc->name);
	}
	memset(out, 0, desc->size);
	for (i = 0; i < desc->nfields; i++) {
		if (MSG_HEADER_FIELDS + i >= a->size)
			break;
		if (!read_field(&desc->fields[i],
			&a->ptr[MSG_HEADER_FIELDS + i],
			(uint8_t *)out + desc->fields[i].offset)) {
			return err_set(err, ERR_INVALID, VERDICT_NOT_RUN,
			    "%s: field %zu has a wrong type or size",
			    desc->name, i);
		}
	}
	return true;
}

void
msg_close(struct msg *m)
{
	struct parsed *p = m->priv;

	if (p == NULL)
		return;
	msgpack_unpacked_destroy(&p->unpacked);
	g_free(p);
	m->priv = NULL;
}
