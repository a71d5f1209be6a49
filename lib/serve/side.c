/* Messages between gateways and sidecars. */

#include <arpa/inet.h>
#include <string.h>

#include "http/sock.h"
#include "serve/side.h"

#define STRING_MAX 63
#define COUNT_MAX (1u << 20)
#define LIMIT_MILLI_MAX UINT32_MAX
/* A thousand years: above any age, and sums of some fit in microseconds. */
#define TIME_MAX_MS (UINT64_C(1000) * 365 * 24 * 3600 * 1000)
#define PAGES_MAX 1000 /* of a roster: 120,000 sidecars */

static const struct msg_field desired_fields[] = {
	MSG_FIELD(struct side_desired, region, MSG_STR, STRING_MAX),
	MSG_FIELD(struct side_desired, start, MSG_U64, 0),
	MSG_FIELD(struct side_desired, model, MSG_STR, STRING_MAX),
	MSG_FIELD(struct side_desired, version, MSG_U64, INT64_MAX),
	MSG_FIELD(struct side_desired, age_ms, MSG_U64, TIME_MAX_MS),
	MSG_FIELD(struct side_desired, deadline_ms, MSG_U64, TIME_MAX_MS),
	MSG_FIELD(struct side_desired, older, MSG_U64, INT64_MAX),
	MSG_FIELD(struct side_desired, older_age_ms, MSG_U64, TIME_MAX_MS),
	MSG_FIELD(struct side_desired, older_root, MSG_DIGEST, 0),
	MSG_FIELD(struct side_desired, root, MSG_DIGEST, 0),
	MSG_FIELD(struct side_desired, origin, MSG_STR, STRING_MAX),
	MSG_FIELD(struct side_desired, origin_domain, MSG_STR, STRING_MAX),
	MSG_FIELD(struct side_desired, chunks, MSG_U64, COUNT_MAX),
	MSG_FIELD(struct side_desired, chunk_bytes, MSG_U64, COUNT_MAX),
	MSG_FIELD(struct side_desired, slots, MSG_U64, COUNT_MAX),
	MSG_FIELD(struct side_desired, may_cut, MSG_U64, 1),
	MSG_FIELD(struct side_desired, store_down, MSG_U64, 1),
	MSG_FIELD(struct side_desired, roster_revision, MSG_U64, INT64_MAX),
	MSG_FIELD(struct side_desired, roster_digest, MSG_U64, 0),
	MSG_FIELD(struct side_desired, roster_count, MSG_U64, COUNT_MAX),
	MSG_FIELD(struct side_desired, roster_history, MSG_U64, INT64_MAX),
	MSG_FIELD(struct side_desired, wants_account, MSG_U64, 1),
	MSG_FIELD(struct side_desired, layers, MSG_U64, COUNT_MAX),
	MSG_FIELD(struct side_desired, doubted, MSG_U64, 1),
	MSG_FIELD(struct side_desired, proved, MSG_U64, INT64_MAX),
	MSG_FIELD(struct side_desired, may_remember, MSG_U64, 1),
};
const struct msg_desc side_desired_desc =
    MSG_DESC(SIDE_DESIRED, "view", struct side_desired, desired_fields);

static const struct msg_field status_fields[] = {
	MSG_FIELD(struct side_report, address, MSG_STR, STRING_MAX),
	MSG_FIELD(struct side_report, engine, MSG_U64, SIDE_ENGINE_UP),
	MSG_FIELD(struct side_report, start_ms, MSG_U64, INT64_MAX),
	MSG_FIELD(struct side_report, running, MSG_U64, COUNT_MAX),
	MSG_FIELD(struct side_report, waiting, MSG_U64, COUNT_MAX),
	MSG_FIELD(struct side_report, version, MSG_U64, INT64_MAX),
	MSG_FIELD(struct side_report, slowdown_permille, MSG_U64, COUNT_MAX),
	MSG_FIELD(struct side_report, wanted, MSG_U64, INT64_MAX),
	MSG_FIELD(struct side_report, wanted_age_ms, MSG_U64, TIME_MAX_MS),
	MSG_FIELD(struct side_report, root, MSG_BIN, DIGEST_BYTES),
	MSG_FIELD(struct side_report, gateways, MSG_U64, COUNT_MAX),
	MSG_FIELD(struct side_report, without_store, MSG_U64, COUNT_MAX),
	MSG_FIELD(struct side_report, local_gateways, MSG_U64, COUNT_MAX),
	MSG_FIELD(struct side_report, seq, MSG_U64, INT64_MAX),
	MSG_FIELD(struct side_report, older, MSG_U64, INT64_MAX),
	MSG_FIELD(struct side_report, older_age_ms, MSG_U64, TIME_MAX_MS),
	MSG_FIELD(struct side_report, remote_gateway, MSG_STR, STRING_MAX),
	MSG_FIELD(struct side_report, limit_known, MSG_U64, 1),
	MSG_FIELD(struct side_report, limit_milli, MSG_U64, LIMIT_MILLI_MAX),
	MSG_FIELD(struct side_report, slow_link, MSG_U64, 1),
	MSG_FIELD(struct side_report, inbound_ms, MSG_U64, COUNT_MAX),
	MSG_FIELD(struct side_report, silent, MSG_U64, 1),
	MSG_FIELD(struct side_report, sharers, MSG_U64, COUNT_MAX),
	MSG_FIELD(struct side_report, uncertain, MSG_U64, 1),
	MSG_FIELD(struct side_report, starting, MSG_U64, 1),
};
const struct msg_desc side_report_desc =
    MSG_DESC(SIDE_REPORT, "load", struct side_report, status_fields);

static const struct msg_field roster_request_fields[] = {
	MSG_FIELD(struct side_roster_request, model, MSG_STR, STRING_MAX),
};
const struct msg_desc side_roster_request_desc = MSG_DESC(SIDE_ROSTER_REQUEST,
    "ask", struct side_roster_request, roster_request_fields);

static const struct msg_field roster_page_fields[] = {
	MSG_FIELD(struct side_roster_page, model, MSG_STR, STRING_MAX),
	MSG_FIELD(struct side_roster_page, revision, MSG_U64, INT64_MAX),
	MSG_FIELD(struct side_roster_page, digest, MSG_U64, 0),
	MSG_FIELD(struct side_roster_page, count, MSG_U64, COUNT_MAX),
	MSG_FIELD(struct side_roster_page, page, MSG_U64, PAGES_MAX),
	MSG_FIELD(struct side_roster_page, pages, MSG_U64, PAGES_MAX),
	MSG_FIELD(struct side_roster_page, domains, MSG_STR, SIDE_DOMAINS_MAX),
	MSG_FIELD(struct side_roster_page, peers, MSG_BIN,
	    SIDE_PAGE_PEERS *SIDE_PEER_BYTES),
	MSG_FIELD(struct side_roster_page, history, MSG_U64, INT64_MAX),
};
const struct msg_desc side_roster_page_desc = MSG_DESC(
    SIDE_ROSTER_PAGE, "page", struct side_roster_page, roster_page_fields);

static const struct msg_field relay_fields[] = {
	MSG_FIELD(struct side_relay, entries, MSG_BIN,
	    SIDE_RELAY_MAX *SIDE_RELAYED_BYTES),
};
const struct msg_desc side_relay_desc =
    MSG_DESC(SIDE_RELAY, "loads", struct side_relay, relay_fields);

static const struct msg_field rate_fields[] = {
	MSG_FIELD(struct side_rate, address, MSG_STR, STRING_MAX),
	MSG_FIELD(struct side_rate, limit_milli, MSG_U64, LIMIT_MILLI_MAX),
	MSG_FIELD(struct side_rate, direct, MSG_U64, 1),
	MSG_FIELD(struct side_rate, age_ms, MSG_U64, TIME_MAX_MS),
	MSG_FIELD(struct side_rate, want_permit, MSG_U64, 1),
};
const struct msg_desc side_rate_desc =
    MSG_DESC(SIDE_RATE, "rate", struct side_rate, rate_fields);

static const struct msg_field permit_fields[] = {
	MSG_FIELD(struct side_permit, address, MSG_STR, STRING_MAX),
};
const struct msg_desc side_permit_desc =
    MSG_DESC(SIDE_PERMIT, "permit", struct side_permit, permit_fields);

static const struct msg_field termination_fields[] = {
	MSG_FIELD(struct side_terminations, entries, MSG_BIN,
	    SIDE_TERMINATIONS_MAX *SIDE_TERMINATION_BYTES),
};
const struct msg_desc side_terminations_desc = MSG_DESC(
    SIDE_TERMINATIONS, "ends", struct side_terminations, termination_fields);

static const struct msg_field account_fields[] = {
	MSG_FIELD(struct side_account, start, MSG_U64, 0),
	MSG_FIELD(struct side_account, seq, MSG_U64, INT64_MAX),
	MSG_FIELD(struct side_account, sharers, MSG_U64, COUNT_MAX),
	MSG_FIELD(struct side_account, window_ms, MSG_U64, TIME_MAX_MS),
	MSG_FIELD(
	    struct side_account, entries, MSG_BIN, SIDE_ACCOUNT_ENTRIES_MAX),
	MSG_FIELD(struct side_account, known_ms, MSG_U64, TIME_MAX_MS),
	MSG_FIELD(struct side_account, age_ms, MSG_U64, TIME_MAX_MS),
	MSG_FIELD(struct side_account, current, MSG_U64, 1),
};
const struct msg_desc side_account_desc =
    MSG_DESC(SIDE_ACCOUNT, "account", struct side_account, account_fields);

/* ------------------------------------------------------------------ */
/* Entries of `side_relay`                                             */
/* ------------------------------------------------------------------ */

/* Wire format of an entry. */
struct wire_relayed {
	struct in_addr ip;
	uint16_t port;
	uint32_t seq;
	uint16_t total;
	uint16_t slowdown_permille;
	uint16_t flags;
} __attribute__((packed));

#define FLAG_SLOW_LINK 1
/* The rest of the flags: inbound_ms, in steps. */
#define INBOUND_SHIFT 4
#define INBOUND_STEPS_MAX (UINT16_MAX >> INBOUND_SHIFT)

G_STATIC_ASSERT(sizeof(struct wire_relayed) == SIDE_RELAYED_BYTES);

static uint16_t
pack_flags(const struct side_relayed *one)
{
	unsigned int steps =
	    (one->inbound_ms + SIDE_INBOUND_STEP_MS - 1) / SIDE_INBOUND_STEP_MS;

	return (uint16_t)(MIN(steps, INBOUND_STEPS_MAX) << INBOUND_SHIFT |
	    (one->slow_link ? FLAG_SLOW_LINK : 0));
}

bool
side_relayed_put(GByteArray *entries, const struct side_relayed *one)
{
	struct sockaddr_in at;
	struct wire_relayed wire;

	if (!sock_parse(one->address, &at))
		return false;
	wire = (struct wire_relayed){
		.ip = at.sin_addr,
		.port = at.sin_port,
		.seq = htonl(one->seq),
		.total = htons((uint16_t)MIN(one->total, UINT16_MAX)),
		.slowdown_permille =
		    htons((uint16_t)MIN(one->slowdown_permille, UINT16_MAX)),
		.flags = htons(pack_flags(one)),
	};
	g_byte_array_append(entries, (const guint8 *)&wire, sizeof(wire));
	return true;
}

size_t
side_relayed_count(const struct side_relay *relay)
{
	return relay->entries.len / SIDE_RELAYED_BYTES;
}

void
side_relayed_get(
    const struct side_relay *relay, size_t i, struct side_relayed *out)
{
	struct wire_relayed wire;
	struct sockaddr_in at = { .sin_family = AF_INET };

	memcpy(
	    &wire, relay->entries.data + i * SIDE_RELAYED_BYTES, sizeof(wire));
	at.sin_addr = wire.ip;
	at.sin_port = wire.port;
	sock_format(&at, out->address, sizeof(out->address));
	out->seq = ntohl(wire.seq);
	out->total = ntohs(wire.total);
	out->slowdown_permille = ntohs(wire.slowdown_permille);
	out->slow_link = (ntohs(wire.flags) & FLAG_SLOW_LINK) != 0;
	out->inbound_ms =
	    (ntohs(wire.flags) >> INBOUND_SHIFT) * SIDE_INBOUND_STEP_MS;
}

/* ------------------------------------------------------------------ */
/* Entries of `side_terminations`                                      */
/* ------------------------------------------------------------------ */

/* Wire format of an entry. */
struct wire_termination {
	uint64_t fingerprint, target;
	uint32_t age_ms;
	uint8_t evidence;
} __attribute__((packed));

/* `evidence`: the weight, and for how long the request was in flight, in steps;
 * longer times are sent as the longest. */
#define WEIGHT_BITS 2
#define WEIGHT_MASK ((1u << WEIGHT_BITS) - 1)
#define IN_FLIGHT_STEP_US 4000
#define IN_FLIGHT_STEPS_MAX (UINT8_MAX >> WEIGHT_BITS)

static uint8_t
pack_evidence(const struct sus_termination *termination)
{
	int64_t steps = CLAMP(termination->in_flight_us / IN_FLIGHT_STEP_US, 0,
	    IN_FLIGHT_STEPS_MAX);

	return (uint8_t)(((unsigned int)steps << WEIGHT_BITS) |
	    termination->weight);
}

G_STATIC_ASSERT(sizeof(struct wire_termination) == SIDE_TERMINATION_BYTES);

void
side_termination_put(GByteArray *entries,
    const struct sus_termination *termination, int64_t now_us)
{
	int64_t age_ms = MAX(0, now_us - termination->at_us) / 1000;
	struct wire_termination wire = {
		.fingerprint = GUINT64_TO_BE(termination->fingerprint),
		.target = GUINT64_TO_BE(termination->target),
		.age_ms = htonl((uint32_t)MIN(age_ms, UINT32_MAX)),
		.evidence = pack_evidence(termination),
	};

	g_byte_array_append(entries, (const guint8 *)&wire, sizeof(wire));
}

size_t
side_terminations_count(const struct side_terminations *terminations)
{
	return terminations->entries.len / SIDE_TERMINATION_BYTES;
}

void
side_termination_get(const struct side_terminations *terminations, size_t i,
    int64_t now_us, struct sus_termination *out)
{
	struct wire_termination wire;

	memcpy(&wire, terminations->entries.data + i * SIDE_TERMINATION_BYTES,
	    sizeof(wire));
	out->fingerprint = GUINT64_FROM_BE(wire.fingerprint);
	out->target = GUINT64_FROM_BE(wire.target);
	out->at_us = now_us - (int64_t)ntohl(wire.age_ms) * 1000;
	out->weight = wire.evidence & WEIGHT_MASK;
	out->in_flight_us =
	    (int64_t)(wire.evidence >> WEIGHT_BITS) * IN_FLIGHT_STEP_US;
}

/* ------------------------------------------------------------------ */
/* Entries of `side_account`                                           */
/* ------------------------------------------------------------------ */

/* Wire format of an entry; the service's name follows, without a terminator. */
struct wire_account {
	uint32_t phase_us;
	uint16_t requests[SPEND_SLOTS], extra[SPEND_SLOTS];
	uint8_t name_len;
} __attribute__((packed));

bool
side_account_put(
    GByteArray *entries, const char *service, const struct spend_copy *account)
{
	struct wire_account wire = { .phase_us =
					 htonl((uint32_t)account->phase_us),
		.name_len = (uint8_t)strlen(service) };
	int i;

	if (entries->len + sizeof(wire) + wire.name_len >
	    SIDE_ACCOUNT_ENTRIES_MAX)
		return false;
	for (i = 0; i < SPEND_SLOTS; i++) {
		wire.requests[i] = htons(
		    (uint16_t)MIN(account->counts.requests[i], UINT16_MAX));
		wire.extra[i] =
		    htons((uint16_t)MIN(account->counts.extra[i], UINT16_MAX));
	}
	g_byte_array_append(entries, (const guint8 *)&wire, sizeof(wire));
	g_byte_array_append(entries, (const guint8 *)service, wire.name_len);
	return true;
}

bool
side_account_get(const struct side_account *message, size_t *at,
    char service[SV_ID_MAX], struct spend_copy *out)
{
	size_t left = message->entries.len - *at;
	struct wire_account wire;
	int i;

	if (left < sizeof(wire))
		return false;
	memcpy(&wire, message->entries.data + *at, sizeof(wire));
	if (left - sizeof(wire) < wire.name_len)
		return false;
	slice_copy((struct slice){ message->entries.data + *at + sizeof(wire),
		       wire.name_len },
	    service, SV_ID_MAX);
	out->phase_us = ntohl(wire.phase_us);
	for (i = 0; i < SPEND_SLOTS; i++) {
		out->counts.requests[i] = ntohs(wire.requests[i]);
		out->counts.extra[i] = ntohs(wire.extra[i]);
	}
	*at += sizeof(wire) + wire.name_len;
	return true;
}

bool
side_seq_after(uint32_t a, uint32_t b)
{
	return (int32_t)(a - b) > 0;
}
