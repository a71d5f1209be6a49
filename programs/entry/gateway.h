#ifndef GATEWAY_H
#define GATEWAY_H

/*
 * gateway: the entry process for a deployment whose store lists the targets and
 * holds the operators' settings. It depends on no other process: each gateway
 * watches the store itself and calls targets directly.
 */

#include "platform/adapter.h"
#include "common/evt.h"
#include "serve/acct.h"
#include "serve/fwd.h"
#include "serve/hist.h"
#include "serve/roster.h"
#include "shared/station.h"

/* State of an outage of the store, as this process and the sidecars see it. */
struct gateway_outage {
	bool down; /* the store answers no call; as last sent to the sidecars */
	int64_t down_us; /* when that was noticed */
	/* Last report of a sidecar that no gateway has a working connection to
	 * the store, the address of its target, and its number of gateways. */
	int64_t all_down_us;
	char all_down_from[SV_ADDRESS_MAX];
	unsigned int all_down_gateways;
	/* By how much deadlines of versions were put off in this outage, and in
	 * all of them. */
	int64_t put_off_us, total_us;
};

struct gateway {
	struct daemon st;
	struct store *store;
	struct store_cache *config, *targets, *versions;
	struct tgt_set *set;
	struct vers *announced;
	struct fwd *fwd;
	struct hlimits limits;
	struct hserver *callers, *ready;
	struct dgram *peers;
	struct evl_timer tick, desired_timer, relay_timer, terminations_timer,
	    account_timer;
	/* Last time the desired state was sent to the sidecars of the local and
	 * of the remote regions. */
	int64_t desired_local_us, desired_remote_us;
	struct gateway_outage outage;
	/* The desired state must be sent to all sidecars at the end of this
	 * wake-up. */
	bool desired_changed;
	GHashTable *rosters; /* model -> struct roster */
	/* Of remote regions: address -> struct gateway_remote. */
	GHashTable *remote_gateways;
	uint64_t seed; /* random; differs between gateways */
	bool is_ready;
	bool callers_full; /* as last logged */
	int64_t held_up_us; /* end of the last hold-up that was counted */
	struct hist late; /* how late the loop ran */
	int64_t stopping_us; /* start of the planned stop; 0: none */
	/* Gateways that share the targets, as sidecars report. */
	unsigned int gateways;
	unsigned int local_gateways; /* of these, in this region */
	/* The retry accounts, which outlive the process. */
	struct acct acct;
	enum acct_state acct_state; /* as last logged */
	uint64_t account_seq; /* of the last copies sent */
	struct evl_task account_task; /* sends copies after this wake-up */
};

/* gateway_views.c: the desired state and rosters, sent to sidecars */
void gateway_desired_open(struct gateway *g);
/* The desired state has changed: it is sent to all sidecars once, after all
 * events of this wake-up. */
void gateway_desired_changed(struct gateway *g);
/* Sidecars that were sent no desired state yet get it after all events of this
 * wake-up. */
void gateway_desired_new_target(struct gateway *g);
void gateway_roster_requested(struct gateway *g, const char *from,
    const struct side_roster_request *request);
/* Address that a target's sidecar has, whether there is one or not. */
bool gateway_sidecar_address(
    const struct gateway *g, const struct tgt *t, char to[SV_ADDRESS_MAX]);
/* Root digest of a version on which enough sidecars agree; none otherwise. */
struct digest gateway_agreed_root(
    const struct tgt_service *service, int64_t version);
/* Sidecars that must read the same digests from the origin before others adopt
 * them without reading: a single answer may be corrupted in transit. */
#define GATEWAY_ROOT_VOTES 2

/* gateway_relay.c: load of this region's engines, relayed to other regions */
void gateway_relay_open(struct gateway *g);
/* A sidecar of this region reports a gateway of a remote one. */
void gateway_relay_add_gateway(
    struct gateway *g, const struct side_report *report);
void gateway_relay_received(struct gateway *g, const struct side_relay *relay);

/* gateway_rate.c: rate limits of targets, and permits issued by sidecars */
void gateway_rate_open(struct gateway *g);
void gateway_rate_reported(
    struct gateway *g, struct tgt *t, const struct side_report *report);
/* A sidecar relays the limit of a target that has no sidecar. */
void gateway_rate_relayed(struct gateway *g, const struct side_rate *rate);
void gateway_rate_permit(struct gateway *g, const struct side_permit *permit);

/* gateway_peers.c: messages from sidecars and other gateways */
bool gateway_peers_open(struct gateway *g, struct err *err);

/* gateway_ends.c: terminations of targets, and the requests in flight there */
void gateway_terminations_open(struct gateway *g);
void gateway_terminations_send(
    const struct sus_termination *terminations, size_t n, void *ctx);
void gateway_terminations_received(
    struct gateway *g, const struct side_terminations *terminations);

/* gateway_account.c: retry accounts that outlive the process */
void gateway_account_open(struct gateway *g);
/* Applies the share of the slack that may be used now. */
void gateway_account_update(struct gateway *g);
void gateway_account_reported(
    struct gateway *g, const struct tgt *t, const struct side_report *report);
void gateway_account_received(
    struct gateway *g, const char *from, const struct side_account *copy);
/* Whether a copy of the earlier process's account is wanted. */
bool gateway_account_is_wanted(const struct gateway *g);
void gateway_account_changed(void *ctx); /* ctx: struct gateway */

/* gateway_outage.c: outages of the store, and deadlines that they put off */
/* Sends the sidecars a change of the store's state, and extends deadlines while the
 * store is down for all gateways. */
void gateway_outage_update(struct gateway *g);
void gateway_outage_reported(
    struct gateway *g, const struct side_report *report);

/* gateway.c */
/* `now` has replaced `before` (NULL: it is new). Pooled connections to the
 * previous start of a target are dead, and answers on them match no request. */
struct tgt *gateway_target_replaced(
    struct gateway *g, const struct tgt *before, struct tgt *now);
int gateway_main(const char *settings);

/* explain.c */
int explain_main(int argc, char **argv);

#endif
