#ifndef SIDE_H
#define SIDE_H

/*
 * The side process: one slot beside the targets of a host. It brings weights
 * to the host, and it is the only door to its targets: admission, order
 * gate, drain and the check that the version asked for is the one loaded.
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
	struct digest loaded; /* as the engine named it; zero: none */
	unsigned int running; /* requests passed on and not ended */
	unsigned int slots;
	bool drain_ordered; /* a drain order is in force */
	bool reported_accepting; /* as last sent to the watching entries */
	bool polling; /* an engine_loaded call is open */
	struct side_order *loading; /* a load order at the engine; or NULL */
};

TAILQ_HEAD(side_targets, side_target);

/* A connection accepted from an entry or another side. */
struct side_peer {
	TAILQ_ENTRY(side_peer) link;
	struct side *side;
	struct conn *conn;
	GHashTable *streams; /* stream number -> struct door_stream */
	bool watching; /* wants to hear of changes of the targets */
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
	GHashTable *requested; /* roots asked of wts: struct digest -> itself */
	bool leaving; /* told to stop */
	bool draining; /* the settings drain this host or its domain */
	guint place_timer;
	guint poll_timer;
	guint stop_timer;
};

/* door.c: requests from entries. */
void proxy_request(struct side_peer *peer, const struct msg *m);
void proxy_cancel(struct side_peer *peer, const struct msg *m);
void proxy_window_update(struct side_peer *peer, const struct msg *m);
/* The entry is gone: idempotent work is cancelled, the rest runs on unheard. */
void proxy_peer_closed(struct side_peer *peer);

/* targets.c: the targets, what is loaded, and orders. */
bool targets_read(struct side *side, struct err *err);
struct side_target *targets_find(struct side *side, struct slice name);
bool targets_accepting(const struct side_target *target);
void targets_watch(struct side_peer *peer);
/* Tells the watching entries when a target changed. */
void targets_announce(struct side *side);
/* A request of the target ended. */
void targets_request_ended(struct side_target *target);
void targets_order(struct side_peer *peer, const struct msg *m);
void targets_peer_closed(struct side_peer *peer);
void targets_poll(struct side *side);
unsigned int targets_running(const struct side *side);

/* place.c: which versions the settings want on this host, and with whom. */
void place_schedule(struct side *side);
void place_branch(struct side *side, const struct inf_branch *branch);
/* Tells the watching entries how far a version has come. */
void place_notify(struct side *side, const struct digest *root);
void place_status(struct side_peer *peer, const struct msg *m);

/* loopback.c: HTTP for the engine beside. */
bool loopback_open(struct side *side, struct err *err);

#endif
