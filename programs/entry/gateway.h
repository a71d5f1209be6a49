#ifndef GATEWAY_H
#define GATEWAY_H

/*
 * gateway: the entry process for a deployment whose store names targets and
 * holds the operators' settings. It needs no other process: each gateway
 * watches the store itself and calls targets directly.
 */

#include "platform/adapter.h"
#include "common/evt.h"
#include "serve/fwd.h"
#include "serve/roster.h"
#include "shared/station.h"

struct gateway {
	struct daemon st;
	struct store *store;
	struct store_cache *config, *targets, *versions;
	struct tgt_set *set;
	struct vers *named;
	struct fwd *fwd;
	struct hlimits limits;
	struct hserver *callers, *ready;
	struct dgram *peers;
	struct evl_timer tick, tell, relay, ends;
	int64_t told_near_us, told_far_us; /* views, last */
	bool store_away; /* as keepers were told */
	bool news; /* all keepers are to be told at once */
	GHashTable *rosters; /* model -> struct roster */
	GHashTable *mates; /* address -> struct gateway_mate */
	uint64_t seed; /* of what this gateway draws among others */
	bool is_ready;
	int64_t stopping_us; /* 0: not asked to stop */
	unsigned int gateways; /* that share the targets, as keepers say */
	unsigned int near_gateways; /* of these, in this region */
	int64_t all_away_us; /* a keeper last said that none has the store */
};

/* gateway_views.c: what keepers are told */
void gateway_views_open(struct gateway *g);
/* Something that decides has changed: all keepers hear of it once after all
 * events of this wake-up. */
void gateway_views_news(struct gateway *g);
/* Keepers that were not told anything yet are told then. */
void gateway_views_greet(struct gateway *g);
void gateway_views_asked(
    struct gateway *g, const char *from, const struct side_roster_request *ask);
/* Address of the keeper beside a target, whether there is one or not. */
bool gateway_keeper_of(
    const struct gateway *g, const struct tgt *t, char to[SV_ADDRESS_MAX]);
/* Root digest that enough keepers found for a version; none otherwise. */
struct digest gateway_agreed_root(
    const struct tgt_service *service, int64_t version);
#define GATEWAY_FIRST_VERSION 1 /* of weights; engines may have it unnamed */
/* Keepers that read the same digests from the origin before others take them
 * over without reading: a single answer may have been spoilt on its way. */
#define GATEWAY_ROOT_VOTES 2

/* gateway_relay.c: how full this region's engines are, told to other regions */
void gateway_relay_open(struct gateway *g);
/* A keeper of this region names a gateway of another. */
void gateway_relay_mate(struct gateway *g, const struct side_report *load);
void gateway_relay_take(struct gateway *g, const struct side_relay *loads);

/* gateway_rate.c: rate limits of targets, and keepers' permits */
void gateway_rate_open(struct gateway *g);
void gateway_rate_load(
    struct gateway *g, struct tgt *t, const struct side_report *load);
/* A keeper passes on the limit of a target without one. */
void gateway_rate_told(struct gateway *g, const struct side_rate *rate);
void gateway_rate_permit(struct gateway *g, const struct side_permit *permit);

/* gateway_peers.c: messages of keepers and other gateways */
bool gateway_peers_open(struct gateway *g, struct err *err);

/* gateway_ends.c: requests under which targets ended */
void gateway_ends_open(struct gateway *g);
void gateway_ends_tell(const struct sus_termination *ends, size_t n, void *ctx);
void gateway_ends_take(struct gateway *g, const struct side_terminations *ends);

/* gateway.c */
/* `now` stands where `before` did, NULL: nothing. Kept connections to another
 * start of a target are dead, and answers on them belong to nobody. */
struct tgt *gateway_renew(
    struct gateway *g, const struct tgt *before, struct tgt *now);
int gateway_main(const char *settings);

/* explain.c */
int explain_main(int argc, char **argv);

#endif
