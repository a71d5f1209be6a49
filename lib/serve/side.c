/* Messages between gateways and keepers. */

#include "serve/side.h"

#define TEXT_MAX 63
#define COUNT_MAX (1u << 20)

static const struct msg_field view_fields[] = {
	MSG_FIELD(struct side_view, region, MSG_STR, TEXT_MAX),
	MSG_FIELD(struct side_view, model, MSG_STR, TEXT_MAX),
	MSG_FIELD(struct side_view, version, MSG_U64, INT64_MAX),
	MSG_FIELD(struct side_view, age_ms, MSG_U64, INT64_MAX / 1000),
	MSG_FIELD(struct side_view, due_ms, MSG_U64, INT64_MAX / 1000),
	MSG_FIELD(struct side_view, older, MSG_U64, INT64_MAX),
	MSG_FIELD(struct side_view, older_age_ms, MSG_U64, INT64_MAX / 1000),
	MSG_FIELD(struct side_view, older_root, MSG_DIGEST, 0),
	MSG_FIELD(struct side_view, root, MSG_DIGEST, 0),
	MSG_FIELD(struct side_view, origin, MSG_STR, TEXT_MAX),
	MSG_FIELD(struct side_view, origin_domain, MSG_STR, TEXT_MAX),
	MSG_FIELD(struct side_view, chunks, MSG_U64, COUNT_MAX),
	MSG_FIELD(struct side_view, chunk_bytes, MSG_U64, COUNT_MAX),
	MSG_FIELD(struct side_view, slots, MSG_U64, COUNT_MAX),
	MSG_FIELD(struct side_view, may_cut, MSG_U64, 1),
	MSG_FIELD(struct side_view, store_away, MSG_U64, 1),
	MSG_FIELD(struct side_view, domains, MSG_STR, SIDE_DOMAINS_MAX),
	MSG_FIELD(
	    struct side_view, peers, MSG_BIN, SIDE_PEERS_MAX *SIDE_PEER_BYTES),
};
const struct msg_desc side_view_desc =
    MSG_DESC(SIDE_VIEW, "view", struct side_view, view_fields);

static const struct msg_field load_fields[] = {
	MSG_FIELD(struct side_load, address, MSG_STR, TEXT_MAX),
	MSG_FIELD(struct side_load, engine, MSG_U64, SIDE_ENGINE_UP),
	MSG_FIELD(struct side_load, born_ms, MSG_U64, INT64_MAX),
	MSG_FIELD(struct side_load, running, MSG_U64, COUNT_MAX),
	MSG_FIELD(struct side_load, waiting, MSG_U64, COUNT_MAX),
	MSG_FIELD(struct side_load, version, MSG_U64, INT64_MAX),
	MSG_FIELD(struct side_load, pace_permille, MSG_U64, COUNT_MAX),
	MSG_FIELD(struct side_load, wanted, MSG_U64, INT64_MAX),
	MSG_FIELD(struct side_load, wanted_age_ms, MSG_U64, INT64_MAX / 1000),
	MSG_FIELD(struct side_load, root, MSG_BIN, DIGEST_BYTES),
	MSG_FIELD(struct side_load, gateways, MSG_U64, COUNT_MAX),
	MSG_FIELD(struct side_load, without_store, MSG_U64, COUNT_MAX),
};
const struct msg_desc side_load_desc =
    MSG_DESC(SIDE_LOAD, "load", struct side_load, load_fields);
