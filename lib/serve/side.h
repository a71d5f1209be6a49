#ifndef SERVE_SIDE_H
#define SERVE_SIDE_H

/*
 * side: what gateways and keepers tell each other, by datagrams. Lost ones are
 * made up for by the next.
 *
 * A gateway tells every keeper what should be loaded (`view`). A keeper that
 * lacks the roster named there asks for it (`ask`) and gets it (`page`).
 * Keepers tell gateways that spoke to them lately what their engine does and
 * how full it is (`load`): those of their region each change, others only what
 * decides whether requests can go there at all. How full a region's engines
 * are, its gateways tell those of other regions for all of them at once
 * (`loads`): were each keeper to tell each gateway, that would grow with the
 * square of the deployment and fill the thin links between regions.
 *
 * While a target names a rate limit, gateways tell a keeper of it and ask for
 * permits (`rate`), and the keeper gives them (`permit`), one a request. It is
 * the keeper beside the target; for one without, a keeper on which the gateways
 * agree. A keeper's loads name its own engine's limit, so that all gateways hold
 * to it.
 *
 * When a target ends, gateways tell of the requests that were under way there
 * (`ends`), by their fingerprints, to a few keepers on which they agree for each
 * content. These count over all gateways, and tell all of them of a request that
 * is to be held, and each gateway that they have not heard before.
 */

#include "common/common.h"
#include "serve/suspect.h"

enum {
	SIDE_VIEW = 90,
	SIDE_LOAD = 91,
	SIDE_ASK = 92,
	SIDE_PAGE = 93,
	SIDE_LOADS = 97, /* 94 had no flags in its entries */
	SIDE_RATE = 95,
	SIDE_PERMIT = 96,
	SIDE_ENDS = 98,
};

/* Bytes of a peer in a page: IPv4, port, index of its domain. */
#define SIDE_PEER_BYTES 7
#define SIDE_PAGE_PEERS 120 /* what one datagram holds beside the rest */
#define SIDE_DOMAINS_MAX 200 /* bytes of all their names */

struct side_view {
	struct slice region; /* of the gateway */
	uint64_t start; /* of the gateway: another number each time */
	struct slice model;
	uint64_t version; /* to be loaded */
	uint64_t age_ms; /* since its name was heard of first */
	uint64_t due_ms; /* from then on, no request begins on older ones */
	/* The one named before it, while that is not due yet; 0: none. A
	 * keeper that has just started helps to bring it, too. */
	uint64_t older;
	uint64_t older_age_ms;
	struct digest older_root; /* or none */
	struct digest root; /* of that version, as keepers found; or none */
	struct slice origin; /* "ip:port", or empty */
	struct slice origin_domain;
	uint64_t chunks, chunk_bytes;
	uint64_t slots; /* of an engine */
	uint64_t may_cut; /* 1: requests that an engine cuts go on elsewhere */
	uint64_t store_away; /* 1: the store does not answer this gateway */
	/* The keepers of the same model, as this gateway knows them. */
	uint64_t roster_revision, roster_digest, roster_count;
};

/* A keeper wants the roster of its model. */
struct side_ask {
	struct slice model;
};

/* A part of a roster. */
struct side_page {
	struct slice model;
	uint64_t revision, digest, count; /* of the whole */
	uint64_t page, pages;
	struct slice domains; /* names, with commas between */
	struct slice peers;
};

enum side_engine {
	SIDE_ENGINE_DOWN, /* does not answer */
	SIDE_ENGINE_LOADING, /* takes no requests now */
	SIDE_ENGINE_UP,
};

struct side_load {
	struct slice address; /* of the engine */
	uint64_t engine; /* enum side_engine */
	uint64_t born_ms; /* the engine's start, Unix time; 0: not told */
	uint64_t running, waiting;
	uint64_t version; /* of the service's model, loaded; 0: none */
	uint64_t pace_permille; /* of its steps against the stated */
	uint64_t wanted; /* the newest version that it was told of; 0: none */
	uint64_t wanted_age_ms; /* since its name was heard of first */
	uint64_t older; /* the one named before it, also when due; 0: none */
	uint64_t older_age_ms;
	struct slice root; /* as read from the origin; empty: not here */
	uint64_t gateways; /* that the keeper hears */
	uint64_t without_store; /* of these, that the store does not answer */
	uint64_t near; /* of these, in the keeper's region */
	uint64_t seq; /* grows with each load while the keeper runs */
	/* A gateway of another region, another each time, to gateways of the keeper's
	 * region: so they come to know all that they have to tell. Empty: none. */
	struct slice gateway; /* "ip:port" */
	/* The engine's rate limit, in thousandths of a request a second; 0:
	 * none. Not known while the keeper was told nothing. */
	uint64_t limit_known, limit_milli;
	uint64_t
	    slow_link; /* 1: what comes to the keeper's host comes slowly */
};

/* A gateway tells of a target's rate limit. */
struct side_rate {
	struct slice address; /* of the target */
	uint64_t limit_milli; /* as in a load */
	uint64_t own; /* 1: an answer to it said so; 0: it heard of it */
	uint64_t age_ms; /* since the moment for which that holds */
	uint64_t ask; /* 1: it wants a permit */
};

/* The gateway may send the target one request more. */
struct side_permit {
	struct slice address; /* of the target */
};

/* How full one engine is, as its keeper told a gateway of its region. */
struct side_relayed {
	char address[24]; /* of the engine */
	uint32_t seq; /* low bits of the load's */
	unsigned int total; /* running and waiting */
	unsigned int pace_permille;
	bool slow_link;
};

/* Bytes of one of them: IPv4, port, seq, total, pace, flags; network order. */
#define SIDE_RELAYED_BYTES 16
#define SIDE_LOADS_MAX 65 /* what one datagram holds */

struct side_loads {
	struct slice entries;
};

/* Requests that were under way at targets that ended, or were cleared. */
struct side_ends {
	struct slice entries;
};

/* Bytes of one: content, target, age in ms, weight; network order. */
#define SIDE_END_BYTES 21
#define SIDE_ENDS_MAX 48 /* what one datagram holds */

extern const struct msg_desc side_view_desc;
extern const struct msg_desc side_load_desc;
extern const struct msg_desc side_ask_desc;
extern const struct msg_desc side_page_desc;
extern const struct msg_desc side_loads_desc;
extern const struct msg_desc side_rate_desc;
extern const struct msg_desc side_permit_desc;
extern const struct msg_desc side_ends_desc;

/* Appends one entry to those of a `loads`; false: malformed address. */
bool side_relayed_put(GByteArray *entries, const struct side_relayed *one);
size_t side_relayed_count(const struct side_loads *loads);
void side_relayed_get(
    const struct side_loads *loads, size_t i, struct side_relayed *out);
void side_end_put(
    GByteArray *entries, const struct sus_termination *end, int64_t now_us);
size_t side_ends_count(const struct side_ends *ends);
void side_end_get(const struct side_ends *ends, size_t i, int64_t now_us,
    struct sus_termination *out);
/* Whether load `a` was told after load `b`; sequences may wrap around. */
bool side_seq_after(uint32_t a, uint32_t b);

#endif
