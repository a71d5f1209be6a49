/* The table-driven message codec over msgpack. */

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

/* Bytes of the value after its first byte `head`: `*len_bytes` of length,
 * then `*body` bytes or as many as the length says. False when nested. */
static bool
flat_value(uint8_t head, unsigned int *len_bytes, size_t *body)
{
	static const uint8_t sizes[16] = { /* 0xc4 to 0xd3 */
		0, 0, 0, 0, 0, 0, 4, 8, 1, 2, 4, 8, 1, 2, 4, 8
	};

	*len_bytes = 0;
	*body = 0;
	if (head < 0x80 || head >= 0xe0 || (head >= 0xc0 && head <= 0xc3))
		return true; /* the value is the byte itself */
	if (head >= 0xa0 && head <= 0xbf)
		*body = head & 0x1f;
	else if (head >= 0xc4 && head <= 0xc6)
		*len_bytes = 1u << (head - 0xc4);
	else if (head >= 0xca && head <= 0xd3)
		*body = sizes[head - 0xc4];
	else if (head >= 0xd9 && head <= 0xdb)
		*len_bytes = 1u << (head - 0xd9);
	else
		return false;
	return true;
}

/*
 * The parser allocates for as many elements as an array claims to have, so
 * that five bytes could ask for 100 GB, or nested ones exhaust the stack.
 * Our messages are flat; everything else is refused before it is parsed.
 */
size_t
msg_flat_len(const void *data, size_t len)
{
	const uint8_t *p = data;
	size_t at = 1, n, body, i, j;
	unsigned int len_bytes;

	if (len == 0)
		return 0;
	n = p[0] & 0x0f;
	if (p[0] == 0xdc && len >= 3) {
		n = (size_t)p[1] << 8 | p[2];
		at = 3;
	} else if ((p[0] & 0xf0) != 0x90) {
		return 0;
	}
	for (i = 0; i < n; i++) {
		if (at >= len || !flat_value(p[at], &len_bytes, &body) ||
		    len - at <= len_bytes)
			return 0;
		for (j = 1; j <= len_bytes; j++)
			body = body << 8 | p[at + j];
		at += 1 + len_bytes;
		if (body > len - at)
			return 0;
		at += body;
	}
	return at;
}

/* The parsed form; strings and bins borrow from the input bytes. */
struct parsed {
	msgpack_unpacked unpacked;
};

bool
msg_open(struct msg *m, const void *data, size_t len, struct err *err)
{
	struct parsed *p = g_new0(struct parsed, 1);
	const msgpack_object *o = &p->unpacked.data;
	size_t at = 0;
	msgpack_unpack_return got;

	msgpack_unpacked_init(&p->unpacked);
	got = MSGPACK_UNPACK_PARSE_ERROR;
	if (msg_flat_len(data, len) == len)
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
