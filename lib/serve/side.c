/* Messages between gateways and keepers. */

#include <arpa/inet.h>
#include <string.h>

#include "http/sock.h"
#include "serve/side.h"

#define TEXT_MAX 63
#define COUNT_MAX (1u << 20)
#define LIMIT_MILLI_MAX UINT32_MAX
#define PAGES_MAX 1000 /* of a roster: 120,000 keepers */

static const struct msg_field view_fields[] = {
	MSG_FIELD(struct side_view, region, MSG_STR, TEXT_MAX),
	MSG_FIELD(struct side_view, start, MSG_U64, 0),
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
	MSG_FIELD(struct side_view, roster_revision, MSG_U64, INT64_MAX),
	MSG_FIELD(struct side_view, roster_digest, MSG_U64, 0),
	MSG_FIELD(struct side_view, roster_count, MSG_U64, COUNT_MAX),
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
	MSG_FIELD(struct side_load, near, MSG_U64, COUNT_MAX),
	MSG_FIELD(struct side_load, seq, MSG_U64, INT64_MAX),
	MSG_FIELD(struct side_load, older, MSG_U64, INT64_MAX),
	MSG_FIELD(struct side_load, older_age_ms, MSG_U64, INT64_MAX / 1000),
	MSG_FIELD(struct side_load, gateway, MSG_STR, TEXT_MAX),
	MSG_FIELD(struct side_load, limit_known, MSG_U64, 1),
	MSG_FIELD(struct side_load, limit_milli, MSG_U64, LIMIT_MILLI_MAX),
	MSG_FIELD(struct side_load, slow_link, MSG_U64, 1),
};
const struct msg_desc side_load_desc =
    MSG_DESC(SIDE_LOAD, "load", struct side_load, load_fields);

static const struct msg_field ask_fields[] = {
	MSG_FIELD(struct side_ask, model, MSG_STR, TEXT_MAX),
};
const struct msg_desc side_ask_desc =
    MSG_DESC(SIDE_ASK, "ask", struct side_ask, ask_fields);

static const struct msg_field page_fields[] = {
	MSG_FIELD(struct side_page, model, MSG_STR, TEXT_MAX),
	MSG_FIELD(struct side_page, revision, MSG_U64, INT64_MAX),
	MSG_FIELD(struct side_page, digest, MSG_U64, 0),
	MSG_FIELD(struct side_page, count, MSG_U64, COUNT_MAX),
	MSG_FIELD(struct side_page, page, MSG_U64, PAGES_MAX),
	MSG_FIELD(struct side_page, pages, MSG_U64, PAGES_MAX),
	MSG_FIELD(struct side_page, domains, MSG_STR, SIDE_DOMAINS_MAX),
	MSG_FIELD(
	    struct side_page, peers, MSG_BIN, SIDE_PAGE_PEERS *SIDE_PEER_BYTES),
};
const struct msg_desc side_page_desc =
    MSG_DESC(SIDE_PAGE, "page", struct side_page, page_fields);

static const struct msg_field loads_fields[] = {
	MSG_FIELD(struct side_loads, entries, MSG_BIN,
	    SIDE_LOADS_MAX *SIDE_RELAYED_BYTES),
};
const struct msg_desc side_loads_desc =
    MSG_DESC(SIDE_LOADS, "loads", struct side_loads, loads_fields);

static const struct msg_field rate_fields[] = {
	MSG_FIELD(struct side_rate, address, MSG_STR, TEXT_MAX),
	MSG_FIELD(struct side_rate, limit_milli, MSG_U64, LIMIT_MILLI_MAX),
	MSG_FIELD(struct side_rate, own, MSG_U64, 1),
	MSG_FIELD(struct side_rate, age_ms, MSG_U64, INT64_MAX / 1000),
	MSG_FIELD(struct side_rate, ask, MSG_U64, 1),
};
const struct msg_desc side_rate_desc =
    MSG_DESC(SIDE_RATE, "rate", struct side_rate, rate_fields);

static const struct msg_field permit_fields[] = {
	MSG_FIELD(struct side_permit, address, MSG_STR, TEXT_MAX),
};
const struct msg_desc side_permit_desc =
    MSG_DESC(SIDE_PERMIT, "permit", struct side_permit, permit_fields);

static const struct msg_field ends_fields[] = {
	MSG_FIELD(
	    struct side_ends, entries, MSG_BIN, SIDE_ENDS_MAX *SIDE_END_BYTES),
};
const struct msg_desc side_ends_desc =
    MSG_DESC(SIDE_ENDS, "ends", struct side_ends, ends_fields);

/* ------------------------------------------------------------------ */
/* Entries of `loads`                                                  */
/* ------------------------------------------------------------------ */

/* An entry as it is sent. */
struct wire_relayed {
	struct in_addr ip;
	uint16_t port;
	uint32_t seq;
	uint16_t total;
	uint16_t pace_permille;
	uint16_t flags;
} __attribute__((packed));

#define FLAG_SLOW_LINK 1

G_STATIC_ASSERT(sizeof(struct wire_relayed) == SIDE_RELAYED_BYTES);

bool
side_relayed_put(GByteArray *entries, const struct side_relayed *one)
{
	struct sockaddr_in at;
	struct wire_relayed wire;

	if (!sock_address(one->address, &at))
		return false;
	wire = (struct wire_relayed){
		.ip = at.sin_addr,
		.port = at.sin_port,
		.seq = htonl(one->seq),
		.total = htons((uint16_t)MIN(one->total, UINT16_MAX)),
		.pace_permille =
		    htons((uint16_t)MIN(one->pace_permille, UINT16_MAX)),
		.flags = htons(one->slow_link ? FLAG_SLOW_LINK : 0),
	};
	g_byte_array_append(entries, (const guint8 *)&wire, sizeof(wire));
	return true;
}

size_t
side_relayed_count(const struct side_loads *loads)
{
	return loads->entries.len / SIDE_RELAYED_BYTES;
}

void
side_relayed_get(
    const struct side_loads *loads, size_t i, struct side_relayed *out)
{
	struct wire_relayed wire;
	struct sockaddr_in at = { .sin_family = AF_INET };

	memcpy(
	    &wire, loads->entries.data + i * SIDE_RELAYED_BYTES, sizeof(wire));
	at.sin_addr = wire.ip;
	at.sin_port = wire.port;
	sock_text(&at, out->address, sizeof(out->address));
	out->seq = ntohl(wire.seq);
	out->total = ntohs(wire.total);
	out->pace_permille = ntohs(wire.pace_permille);
	out->slow_link = (ntohs(wire.flags) & FLAG_SLOW_LINK) != 0;
}

/* ------------------------------------------------------------------ */
/* Entries of `ends`                                                   */
/* ------------------------------------------------------------------ */

/* An entry as it is sent. */
struct wire_end {
	uint64_t content, target;
	uint32_t age_ms;
	uint8_t weight;
} __attribute__((packed));

G_STATIC_ASSERT(sizeof(struct wire_end) == SIDE_END_BYTES);

void
side_end_put(
    GByteArray *entries, const struct sus_termination *end, int64_t now_us)
{
	int64_t age_ms = MAX(0, now_us - end->at_us) / 1000;
	struct wire_end wire = {
		.content = GUINT64_TO_BE(end->fingerprint),
		.target = GUINT64_TO_BE(end->target),
		.age_ms = htonl((uint32_t)MIN(age_ms, UINT32_MAX)),
		.weight = (uint8_t)end->weight,
	};

	g_byte_array_append(entries, (const guint8 *)&wire, sizeof(wire));
}

size_t
side_ends_count(const struct side_ends *ends)
{
	return ends->entries.len / SIDE_END_BYTES;
}

void
side_end_get(const struct side_ends *ends, size_t i, int64_t now_us,
    struct sus_termination *out)
{
	struct wire_end wire;

	memcpy(&wire, ends->entries.data + i * SIDE_END_BYTES, sizeof(wire));
	out->fingerprint = GUINT64_FROM_BE(wire.content);
	out->target = GUINT64_FROM_BE(wire.target);
	out->at_us = now_us - (int64_t)ntohl(wire.age_ms) * 1000;
	out->weight = MIN(wire.weight, SUS_SILENT);
}

bool
side_seq_after(uint32_t a, uint32_t b)
{
	return (int32_t)(a - b) > 0;
}
