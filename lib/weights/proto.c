/* Message tables of the weights package. */

#include "weights/proto.h"

static const struct msg_field join_fields[] = {
	MSG_FIELD(struct proto_join, root, MSG_DIGEST, 0),
	MSG_FIELD(struct proto_join, domain, MSG_STR, PROTO_DOMAIN_MAX),
};
const struct msg_desc proto_join_desc =
    MSG_DESC(PROTO_JOIN, "join", struct proto_join, join_fields);

static const struct msg_field have_fields[] = {
	MSG_FIELD(struct proto_have, bits, MSG_BIN, 0),
	MSG_FIELD(struct proto_have, load, MSG_U64, UINT32_MAX),
	MSG_FIELD(struct proto_have, known, MSG_BIN, 0),
};
const struct msg_desc proto_have_desc =
    MSG_DESC(PROTO_HAVE, "have", struct proto_have, have_fields);

static const struct msg_field update_fields[] = {
	MSG_FIELD(struct proto_update, gained, MSG_BIN, 0),
	MSG_FIELD(struct proto_update, claims, MSG_BIN, 0),
	MSG_FIELD(struct proto_update, load, MSG_U64, UINT32_MAX),
};
const struct msg_desc proto_update_desc =
    MSG_DESC(PROTO_UPDATE, "news", struct proto_update, update_fields);

static const struct msg_field get_fields[] = {
	MSG_FIELD(struct proto_get, index, MSG_U64, UINT32_MAX),
	MSG_FIELD(struct proto_get, have, MSG_U64, 0),
};
const struct msg_desc proto_get_desc =
    MSG_DESC(PROTO_GET, "get", struct proto_get, get_fields);

static const struct msg_field data_fields[] = {
	MSG_FIELD(struct proto_data, index, MSG_U64, UINT32_MAX),
	MSG_FIELD(struct proto_data, offset, MSG_U64, 0),
	MSG_FIELD(struct proto_data, load, MSG_U64, UINT32_MAX),
	MSG_FIELD(struct proto_data, bytes, MSG_BIN, PROTO_SLICE_MAX),
};
const struct msg_desc proto_data_desc =
    MSG_DESC(PROTO_DATA, "data", struct proto_data, data_fields);

static const struct msg_field none_fields[] = {
	MSG_FIELD(struct proto_none, index, MSG_U64, UINT32_MAX),
	MSG_FIELD(struct proto_none, busy, MSG_U64, 1),
	MSG_FIELD(struct proto_none, load, MSG_U64, UINT32_MAX),
};
const struct msg_desc proto_none_desc =
    MSG_DESC(PROTO_NONE, "none", struct proto_none, none_fields);

static const struct msg_field bye_fields[] = {
	MSG_FIELD(struct proto_bye, reserved, MSG_U64, 0),
};
const struct msg_desc proto_bye_desc =
    MSG_DESC(PROTO_BYE, "bye", struct proto_bye, bye_fields);

#define INDEX_BITS 7 /* per byte; the top bit indicates that more follow */
#define INDEX_MORE (1u << INDEX_BITS)

void
proto_add_index(GByteArray *out, uint32_t index)
{
	uint8_t byte;

	for (; index >= INDEX_MORE; index >>= INDEX_BITS) {
		byte = (uint8_t)(index | INDEX_MORE);
		g_byte_array_append(out, &byte, 1);
	}
	byte = (uint8_t)index;
	g_byte_array_append(out, &byte, 1);
}

bool
proto_next_index(struct slice *in, uint32_t *out)
{
	unsigned int shift;
	uint32_t index = 0;

	for (shift = 0; shift < 32 && in->len > 0; shift += INDEX_BITS) {
		uint8_t byte = *in->data++;

		in->len--;
		index |= (uint32_t)(byte & (INDEX_MORE - 1)) << shift;
		if ((byte & INDEX_MORE) != 0)
			continue;
		*out = index;
		return true;
	}
	return false;
}
