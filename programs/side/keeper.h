#ifndef KEEPER_H
#define KEEPER_H

/*
 * keeper: the sidecar for engines that load weights from a staging area on
 * their host. It transfers the chunks of the wanted versions from the origin
 * and other keepers, writes them to the staging area and verifies them there,
 * orders its engine to load them, and reports the engine's load to gateways.
 * Gateways send callers' requests to the engine directly.
 */

#include "common/evt.h"
#include "http/fetch.h"
#include "platform/adapter.h"
#include "serve/acct.h"
#include "serve/permit.h"
#include "serve/roster.h"
#include "serve/side.h"
#include "shared/station.h"
#include "stage/proof.h"
#include "stage/stage.h"
#include "weights/weights.h"

#define KEEPER_NAME_MAX 64
#define KEEPER_ADDRESS_MAX 24
/* Gateways that get status reports, 200 bytes each. Further ones are counted
 * and know the engine's state from its answers only. */
#define KEEPER_GATEWAYS_MAX 4096

/* A gateway that has sent its desired state recently. */
struct keeper_gateway {
	char address[KEEPER_ADDRESS_MAX];
	uint64_t start; /* of the gateway process; differs at each start */
	bool local; /* in this keeper's region */
	int64_t received_us; /* its last desired state */
	int64_t reported_us; /* the last status report to it */
	bool store_down; /* the store does not answer it */
};

/* A keeper of the same model. */
struct keeper_peer {
	char address[KEEPER_ADDRESS_MAX]; /* also its id */
	char region[KEEPER_NAME_MAX];
};

struct keeper;

/* A wanted version, and how much of it is on this host. */
struct keeper_copy {
	struct keeper *keeper;
	int64_t version;
	int64_t announced_us; /* first announcement, by any gateway */
	/* No request begins on older versions after this; 0: no deadline. */
	int64_t deadline_us;
	/* Its size by the operators' settings, as gateways announce it. */
	uint64_t announced_chunks, announced_chunk_bytes;
	/* Its digests. */
	uint64_t chunks, chunk_bytes;
	/* Root on which enough other keepers agree, as gateways report it. */
	struct digest reported_root;
	struct digest rejected_root; /* of the list that was replaced */
	struct hfetch *manifest;
	/* No manifest request to the origin before. */
	int64_t manifest_backoff_us;
	int64_t needed_us; /* the digests were first needed; 0: not yet */
	bool origin_root; /* this keeper read the digests from the origin */
	bool has_root; /* `wts` is set and the transfer has started */
	struct wts_version wts;
	GBytes *list; /* NULL: not known yet */
	/* Chunks contradict the list, and it is being read again. */
	bool doubted;
	unsigned int rereads;
	int64_t reread_us;
	/* Its chunks. */
	uint64_t logged_chunks; /* number of stored chunks, as last logged */
	int64_t logged_us;
	bool complete; /* all chunks are stored and verified */
	bool *chunk_staged; /* one a chunk: it is in the staging area */
	bool scanned; /* the staging area was searched for its chunks */
	bool staged; /* all chunks are in the staging area, as far as known */
	/* Begin of the read-back in which all chunks were valid; 0: none. */
	int64_t checked_us;
};

/* The part of a status report by which a gateway decides. */
struct keeper_status {
	uint64_t engine; /* enum side_engine */
	int64_t loaded, wanted;
	struct digest root; /* read from the origin; zero: none */
	unsigned int running, waiting;
	bool slow_link; /* inbound traffic of this host is slow */
	unsigned int inbound_ms; /* and may wait this long behind chunks */
	bool limit_known;
	double limit; /* the engine's rate limit */
	bool silent; /* the engine leaves reports unanswered */
	bool uncertain; /* it may hold weights without a proof */
	bool starting; /* a doubt of the process before may not be known yet */
};

/* What a call to the engine does. */
enum keeper_call {
	KEEPER_READ, /* reads a chunk of the staging area */
	KEEPER_WRITE, /* writes one */
	KEEPER_ORDER,
};

struct keeper {
	struct daemon st;
	struct wts *wts;
	struct conn_server *server;
	struct dgram *dgram;
	struct evl_timer tick;
	GArray *gateways; /* struct keeper_gateway */
	/* From the gateways' desired state. */
	char model[KEEPER_NAME_MAX];
	char origin[KEEPER_ADDRESS_MAX];
	char origin_region[KEEPER_NAME_MAX];
	struct roster *roster; /* of the keepers of the model */
	int64_t missing_roster_us; /* a newer one is known since; 0: no */
	int64_t roster_request_us; /* the last request for it */
	GArray *peers; /* struct keeper_peer, from the roster */
	unsigned int slots; /* of the engine */
	unsigned int layers; /* of the model; 0: not known */
	bool may_cut; /* requests that the engine cuts continue elsewhere */
	/* The newest wanted version; and the one before it, while that is not
	 * loaded and may be complete earlier, or NULL. */
	struct keeper_copy *newest, *older;
	struct stg_deadlines deadlines;
	struct stg_inbound inbound;
	struct permits permits; /* by the engine's rate limit */
	GHashTable *pools; /* address of another target -> keeper_pool */
	struct acct_copies accounts; /* of gateways */
	/* Requests in flight at targets that terminated. */
	struct sus *suspects;
	/* struct repeat: blocked requests to be reported again. */
	GArray *repeats;
	/* The engine. */
	struct hfetch *report;
	struct sv_report engine;
	int64_t report_requested_us;
	unsigned int report_failures; /* in a row */
	unsigned int reports_unanswered; /* the same, without any answer */
	bool had_engine; /* it answered at least once */
	int64_t answered_us; /* its last report */
	bool up;
	bool silent; /* it leaves reports unanswered, and may go on */
	/* By then all gateways have reported what the previous process
	 * doubted; 0: none has sent anything. */
	int64_t settled_us;
	int64_t desired_us; /* arrival of the first desired state */
	bool has_doubted; /* gateways were sent a doubt of this process */
	struct prf proof; /* of the weights that it holds */
	struct prf proof_logged; /* as last logged */
	int64_t loaded; /* version, complete and proved; 0: none */
	int64_t ordered_us; /* an order was accepted; 0: none in progress */
	int64_t refused_us; /* the last order was refused; 0: no */
	int64_t drain_us; /* gateways were asked to send nothing; 0: no */
	enum stg_step step; /* as last logged */
	/* The call to the engine on which the step waits. */
	struct hfetch *call;
	enum keeper_call call_kind;
	struct keeper_copy *call_copy; /* the version of the call */
	uint64_t call_chunk; /* index of the chunk of the call */
	uint64_t bad_chunks; /* found corrupt or missing in this pass */
	int64_t pass_us; /* begin of the last pass over the staging area */
	bool proving; /* the pass is to prove what the engine has loaded */
	int64_t backoff_until_us; /* after a failed call */
	/* The last status report. */
	struct keeper_status reported;
	uint64_t report_seq;
	guint remote_gateway; /* index of the gateway that it named */
};

static inline int64_t
keeper_now(const struct keeper *k)
{
	return evl_now_us(k->st.loop);
}

/* Region of a failure domain, by the settings; the domain itself if none. */
const char *keeper_region(const struct keeper *k, const char *domain);

/* keeper_copy.c: wanted versions */
struct keeper_announced {
	int64_t version;
	int64_t announced_us, deadline_us;
	uint64_t chunks, chunk_bytes;
};
/* Adds a newer wanted version; the one before may stay wanted. */
void keeper_want(struct keeper *k, const struct keeper_announced *announced);
/* Corrects the size that was announced, until the digests are known. */
void keeper_set_announced_size(
    struct keeper_copy *c, uint64_t chunks, uint64_t chunk_bytes);
/* Ends the transfer and cancels its calls. */
void keeper_stop_copy(struct keeper_copy *c);
/* Drops all wanted versions: the model changed. */
void keeper_drop_all(struct keeper *k);
void keeper_drop_older(struct keeper *k);

/* keeper_digests.c: digests of wanted versions */
/* Gets a version's digests: from other keepers once enough of them agree on
 * its root, or from the origin when it is this keeper's turn. */
void keeper_get_digests(struct keeper_copy *c);
/* Replaces a list that other keepers or the chunks contradict. */
void keeper_check_digests(struct keeper_copy *c);

/* keeper_weights.c: transfers between keepers */
bool keeper_weights_open(struct keeper *k, struct err *err);
/* Starts the transfer; `root` is the root of the copy's digests. */
void keeper_begin_transfer(struct keeper_copy *c, const struct digest *root);
void keeper_set_peers(struct keeper_copy *c);
/* Logs the progress of transfers at intervals while they advance. */
void keeper_log_progress(struct keeper *k);

/* keeper_origin.c: chunks from the origin */
extern const struct wts_source keeper_origin; /* its context is the keeper */

/* keeper_engine.c: the engine's reports, and the next step */
void keeper_poll_engine(struct keeper *k);
void keeper_step(struct keeper *k); /* carries out the next step */
/* What is known of the engine's weights has changed: notes what is usable. */
void keeper_proof_changed(struct keeper *k);

/* keeper_stage.c: the engine's staging area, and orders */
void keeper_scan(struct keeper_copy *c);
void keeper_put(struct keeper_copy *c);
void keeper_check(struct keeper_copy *c);
void keeper_prove(struct keeper_copy *c); /* what the engine has loaded */
void keeper_order(struct keeper_copy *c);
/* Gives up the call in progress, which may still take effect. */
void keeper_abandon_call(struct keeper *k);
/* Asks gateways to send the engine no new requests, or to send them again. */
void keeper_drain(struct keeper *k);
void keeper_undrain(struct keeper *k, const char *why);

/* keeper_views.c: the gateways' desired state, and the roster */
void keeper_take_desired(
    struct keeper *k, const char *from, const struct side_desired *desired);
/* Some gateways may still report what the previous process doubted. */
bool keeper_is_starting(const struct keeper *k);
void keeper_take_page(struct keeper *k, const struct side_roster_page *page);

/* keeper_rate.c: rate limits, and permits for gateways */
void keeper_rate_open(struct keeper *k);
void keeper_take_rate(
    struct keeper *k, const char *from, const struct side_rate *rate);
void keeper_rate_tick(struct keeper *k);
/* Sends a new gateway the limits of targets without keepers; the limit of this
 * keeper's engine is in the status reports. */
void keeper_send_rates(struct keeper *k, const char *gateway);

/* keeper_ends.c: requests that were in flight at targets that terminated */
void keeper_terminations_open(struct keeper *k);
void keeper_take_terminations(
    struct keeper *k, const struct side_terminations *terminations);
/* Sends a new gateway the requests that are to be blocked. */
void keeper_send_terminations(struct keeper *k, const char *gateway);
void keeper_terminations_tick(struct keeper *k);

/* keeper_gateways.c: gateways, and status reports to them */
void keeper_send_all(
    struct keeper *k, const struct msg_desc *desc, const void *message);
bool keeper_gateways_open(struct keeper *k, struct err *err);
void keeper_send_status(struct keeper *k);
bool keeper_has_gateways(
    const struct keeper *k); /* some gateway gets reports */
unsigned int keeper_local_gateways(const struct keeper *k);

int keeper_main(const char *settings);

#endif
