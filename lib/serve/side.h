#ifndef SERVE_SIDE_H
#define SERVE_SIDE_H

/*
 * side: datagrams between gateways and sidecars. The next datagram replaces one
 * that is lost.
 *
 * A gateway sends every sidecar its desired state, which includes the identity
 * of the roster. A sidecar that lacks this roster requests it and gets it in
 * pages. Sidecars send status reports on their engine and its load to the
 * gateways that sent them something lately: to those of their region at each
 * change, to others only what decides whether requests can go there at all. The
 * load of a region's engines is relayed by its gateways to those of other
 * regions, for all engines together: if each sidecar reported to each gateway,
 * the traffic would grow with the square of the deployment and fill the narrow
 * links between regions.
 *
 * While a target has a rate limit, gateways report it to a sidecar and request
 * permits, and the sidecar grants them, one for each request. It is the sidecar
 * beside the target or, for a target without one, a sidecar on which the
 * gateways agree. A sidecar's status reports state its own engine's limit, so
 * that all gateways apply it.
 *
 * Gateways send copies of their retry accounts to a few sidecars. These send a
 * copy back to the gateway's next process, which says in its desired state that
 * it lacks the account of the one before.
 *
 * When a target terminates, gateways report the requests that were in flight
 * there, by their fingerprints, to a few sidecars on which they agree for each
 * fingerprint. These count over all gateways, and notify all gateways, and each
 * new one, of a request that is to be blocked.
 */

#include "common/common.h"
#include "common/spend.h"
#include "serve/records.h"
#include "serve/suspect.h"

enum {
	SIDE_DESIRED = 90,
	SIDE_REPORT = 91,
	SIDE_ROSTER_REQUEST = 92,
	SIDE_ROSTER_PAGE = 93,
	SIDE_RELAY = 97, /* 94: earlier format, entries without flags */
	SIDE_RATE = 95,
	SIDE_PERMIT = 96,
	SIDE_TERMINATIONS = 98,
	SIDE_ACCOUNT = 99,
};

/* Bytes of a peer in a page: IPv4 address, port, index of its domain. */
#define SIDE_PEER_BYTES 7
#define SIDE_PAGE_PEERS 120 /* fit in one datagram with the other fields */
#define SIDE_DOMAINS_MAX 200 /* bytes of all names together */

struct side_desired {
	struct slice region; /* of the gateway */
	uint64_t start; /* of the gateway process; differs at each start */
	struct slice model;
	uint64_t version; /* to be loaded */
	uint64_t age_ms; /* since it was first announced */
	/* Until its deadline, after which no request begins on older ones. */
	uint64_t deadline_ms;
	/* The version announced before it, until its deadline; 0: none. A
	 * sidecar that has just started helps to distribute it, too. */
	uint64_t older;
	uint64_t older_age_ms;
	struct digest older_root; /* root of `older`; zero: not known */
	/* Root of `version` on which the sidecars agree; zero: not known. */
	struct digest root;
	struct slice origin; /* "ip:port", or empty */
	struct slice origin_domain;
	uint64_t chunks, chunk_bytes;
	uint64_t slots; /* of an engine */
	uint64_t layers; /* of the model; 0: not known */
	/* 1: requests that an engine cuts continue elsewhere. */
	uint64_t may_cut;
	uint64_t store_down; /* 1: the store does not answer this gateway */
	/* The sidecars of the same model, as this gateway knows them. */
	uint64_t roster_revision, roster_digest, roster_count;
	uint64_t roster_history;
	/* 1: send this process the retry account of the gateway's previous
	 * process. */
	uint64_t wants_account;
	/* 1: the sidecar's last report stated `uncertain`, and `proved` as the
	 * loaded version. A process that starts learns so of the one before. */
	uint64_t doubted;
	uint64_t proved;
	/* 1: this gateway, or a sidecar that reported to it, has run for some time
	 * and may remember a doubt. */
	uint64_t may_remember;
};

/* A sidecar requests the roster of its model. */
struct side_roster_request {
	struct slice model;
};

/* A page of a roster. */
struct side_roster_page {
	struct slice model;
	uint64_t revision, digest, count; /* of the complete roster */
	uint64_t page, pages;
	struct slice domains; /* names, separated by commas */
	struct slice peers;
	uint64_t history; /* of the store, in which `revision` counts */
};

enum side_engine {
	SIDE_ENGINE_DOWN, /* terminated, or silent for too long */
	SIDE_ENGINE_LOADING, /* takes no requests now */
	SIDE_ENGINE_UP,
};

struct side_report {
	struct slice address; /* of the engine */
	uint64_t engine; /* enum side_engine */
	uint64_t start_ms; /* the engine's start, Unix time; 0: not known */
	uint64_t running, waiting;
	uint64_t version; /* loaded version of the service's model; 0: none */
	/* Step time relative to the configured one; 0: not known. */
	uint64_t slowdown_permille;
	uint64_t wanted; /* newest version announced to it; 0: none */
	uint64_t wanted_age_ms; /* since it was first announced */
	/* The version announced before `wanted`, also past its deadline; 0:
	 * none. */
	uint64_t older;
	uint64_t older_age_ms;
	struct slice root; /* as read from the origin; empty: not read */
	/* Number of gateways that the sidecar receives from. */
	uint64_t gateways;
	/* Of these, those that the store does not answer. */
	uint64_t without_store;
	uint64_t local_gateways; /* of these, those in the sidecar's region */
	uint64_t seq; /* grows with each report while the sidecar runs */
	/* Address of a gateway of a remote region, a different one in each
	 * report to gateways of the sidecar's region, so that these learn
	 * all gateways to which they relay. Empty: none. */
	struct slice remote_gateway; /* "ip:port" */
	/* The engine's rate limit, in thousandths of a request a second; 0:
	 * none. Not known while no gateway has reported it. */
	uint64_t limit_known, limit_milli;
	/* 1: inbound traffic of the sidecar's host is slow. */
	uint64_t slow_link;
	/* How long inbound traffic may wait there behind chunks of weights. */
	uint64_t inbound_ms;
	/* 1: the engine leaves reports unanswered, for less than
	 * SV_SILENCE_MAX_US; `engine` and the load are as of the last one. */
	uint64_t silent;
	/* 1: the engine may hold weights without a proof, now or as soon as an
	 * order takes effect. */
	uint64_t uncertain;
	/* 1: the sidecar has just started. What the process before it reported
	 * as uncertain remains so, as it may not have learned of it yet. */
	uint64_t starting;
	/* Gateways that share the slack of the retry budget, also those that
	 * have gone lately; 0: the sidecar does not count them. */
	uint64_t sharers;
};

/* A gateway reports a target's rate limit. */
struct side_rate {
	struct slice address; /* of the target */
	uint64_t limit_milli; /* as in a status report */
	uint64_t direct; /* 1: from an answer to this gateway; 0: relayed */
	uint64_t age_ms; /* since the time as of which that holds */
	uint64_t want_permit; /* 1: also requests a permit */
};

/* The gateway may send the target one more request. */
struct side_permit {
	struct slice address; /* of the target */
};

/* Load of one engine, as its sidecar reported it to a gateway of its region. */
struct side_relayed {
	char address[24]; /* of the engine */
	uint32_t seq; /* low bits of the status report's */
	unsigned int total; /* running and waiting */
	unsigned int slowdown_permille;
	bool slow_link;
	unsigned int inbound_ms; /* rounded up to SIDE_INBOUND_STEP_MS */
};

#define SIDE_INBOUND_STEP_MS 16

/* Encoded size: IPv4 address, port, seq, total, slowdown, flags; network
 * order. */
#define SIDE_RELAYED_BYTES 16
#define SIDE_RELAY_MAX 65 /* fit in one datagram */

struct side_relay {
	struct slice entries;
};

/* Requests that were in flight at targets that terminated, or were cleared or
 * probed. */
struct side_terminations {
	struct slice entries;
};

/* Encoded size: fingerprint, target, age in ms, evidence; network order. */
#define SIDE_TERMINATION_BYTES 21
#define SIDE_TERMINATIONS_MAX 48 /* fit in one datagram */

#define SIDE_ACCOUNT_ENTRIES_MAX 1000 /* bytes; fit in one datagram */

/* A gateway's retry account, and a copy of it that a sidecar sends back. */
struct side_account {
	uint64_t start; /* of the gateway process */
	uint64_t seq; /* grows with each that the process sends */
	uint64_t sharers; /* of the slack, as the gateway knows; 0: not known */
	uint64_t window_ms;
	struct slice entries; /* of services */
	uint64_t known_ms; /* how long it has had all retries */
	/* Of a copy: since the sidecar got it; and 1 if the process can hardly
	 * have retried since. */
	uint64_t age_ms, current;
};

extern const struct msg_desc side_desired_desc;
extern const struct msg_desc side_report_desc;
extern const struct msg_desc side_roster_request_desc;
extern const struct msg_desc side_roster_page_desc;
extern const struct msg_desc side_relay_desc;
extern const struct msg_desc side_rate_desc;
extern const struct msg_desc side_permit_desc;
extern const struct msg_desc side_terminations_desc;
extern const struct msg_desc side_account_desc;

/* Appends one entry to those of a `side_relay`; false: malformed address. */
bool side_relayed_put(GByteArray *entries, const struct side_relayed *one);
size_t side_relayed_count(const struct side_relay *relay);
void side_relayed_get(
    const struct side_relay *relay, size_t i, struct side_relayed *out);
void side_termination_put(GByteArray *entries,
    const struct sus_termination *termination, int64_t now_us);
size_t side_terminations_count(const struct side_terminations *terminations);
void side_termination_get(const struct side_terminations *terminations,
    size_t i, int64_t now_us, struct sus_termination *out);
/* Appends the account of one service to the entries of a `side_account`; false:
 * it does not fit. */
bool side_account_put(
    GByteArray *entries, const char *service, const struct spend_copy *account);
/* Reads the entry at `*at`, and moves `*at` to the next one; false: there is
 * none. */
bool side_account_get(const struct side_account *message, size_t *at,
    char service[SV_ID_MAX], struct spend_copy *out);
/* Whether sequence number `a` is after `b`; they may wrap around. */
bool side_seq_after(uint32_t a, uint32_t b);

#endif
