#ifndef SERVE_SIDE_H
#define SERVE_SIDE_H

/*
 * side: what gateways and keepers tell each other, by datagrams. A gateway
 * tells every keeper what should be loaded and who else loads it (`view`);
 * keepers answer to each gateway that did so lately how full their engine is
 * (`load`). Lost datagrams are made up for by the next.
 */

#include "common/common.h"

enum {
	SIDE_VIEW = 90,
	SIDE_LOAD = 91,
};

/* Bytes of a peer in a view: IPv4, port, index of its domain. */
#define SIDE_PEER_BYTES 7
#define SIDE_PEERS_MAX 140 /* what one datagram holds beside the rest */
#define SIDE_DOMAINS_MAX 200 /* bytes of all their names */

struct side_view {
	struct slice region; /* of the gateway */
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
	struct slice domains; /* names, with commas between */
	struct slice peers; /* keepers of the same model */
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
	struct slice root; /* as read from the origin; empty: not here */
	uint64_t gateways; /* that the keeper hears */
	uint64_t without_store; /* of these, that the store does not answer */
};

extern const struct msg_desc side_view_desc;
extern const struct msg_desc side_load_desc;

#endif
