#ifndef SIDE_H
#define SIDE_H

/*
 * The sidecar process: runs on each host with targets. It transfers weights to
 * the host, and all requests and orders for the targets pass through it: it
 * does admission, the fencing check of orders, drain, and the check that the
 * requested version is the loaded one.
 */

#include "agree/agree.h"
#include "route/route.h"
#include "shared/proc.h"
#include "weights/weights.h"

struct side;

/* One engine or plain service of this host. */
struct side_target {
	TAILQ_ENTRY(side_target) link;
	struct side *side;
	struct rt_target_info info;
	const char *url;
	struct digest loaded; /* as the engine reports it; zero: none */
	unsigned int running; /* requests forwarded and not ended */
	unsigned int slots;
	bool drain_ordered; /* an RT_ORDER_DRAIN is active */
	bool reported_accepting; /* as last sent to watching gateways */
	bool polling; /* an engine_loaded call is pending */
	struct side_order *loading; /* pending load order, or NULL */
};

TAILQ_HEAD(side_targets, side_target);

/* A connection accepted from a gateway or another sidecar. */
struct side_peer {
	TAILQ_ENTRY(side_peer) link;
	struct side *side;
	struct conn *conn;
	GHashTable *streams; /* stream number -> struct proxy_stream */
	bool watching; /* receives changes of the targets (RT_WATCH) */
};

struct side {
	struct proc proc;
	struct wts *wts;
	struct agr_fencing *fencing;
	struct conn_server *server;
	SoupServer *loopback;
	unsigned int loopback_port;
	struct side_targets targets;
	TAILQ_HEAD(side_peers, side_peer) peers;
	GHashTable *workspaces; /* branch name -> struct rt_workspace */
	GHashTable *requested; /* roots passed to wts_want: struct digest */
	bool leaving; /* a graceful stop has begun */
	bool draining; /* drained by the settings: this host or its domain */
	guint place_timer;
	guint poll_timer;
	guint stop_timer;
};

/* door.c: the request proxy. */
void proxy_request(struct side_peer *peer, const struct msg *m);
void proxy_cancel(struct side_peer *peer, const struct msg *m);
void proxy_window_update(struct side_peer *peer, const struct msg *m);
/* Cancels the gateway's idempotent requests. The others run to their end, and
 * their responses are discarded. */
void proxy_peer_closed(struct side_peer *peer);

/* targets.c: the targets, their loaded versions, and orders. */
bool targets_read(struct side *side, struct err *err);
struct side_target *targets_find(struct side *side, struct slice name);
bool targets_accepting(const struct side_target *target);
void targets_watch(struct side_peer *peer);
/* Reports targets that began or stopped accepting requests to the watching
 * gateways. */
void targets_announce(struct side *side);
/* A request at the target ended. */
void targets_request_ended(struct side_target *target);
void targets_order(struct side_peer *peer, const struct msg *m);
void targets_peer_closed(struct side_peer *peer);
void targets_poll(struct side *side);
unsigned int targets_running(const struct side *side);

/* place.c: which versions the settings place on this host, and its peers. */
void place_schedule(struct side *side);
void place_branch(struct side *side, const struct inf_branch *branch);
/* Reports the transfer progress of a version to the watching gateways. */
void place_notify(struct side *side, const struct digest *root);
void place_status(struct side_peer *peer, const struct msg *m);

/* loopback.c: the HTTP server for engines on this host. */
bool loopback_open(struct side *side, struct err *err);

#endif
