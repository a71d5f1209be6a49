#ifndef KEEPER_H
#define KEEPER_H

/*
 * keeper: the side process for a deployment whose engines load from a staging
 * place beside them. It brings wanted versions' pieces by the swarm, stages
 * and checks them, gives its engine's orders, and tells gateways how full the
 * engine is. Gateways call the engine directly.
 */

#include "common/evt.h"
#include "http/fetch.h"
#include "platform/adapter.h"
#include "serve/permit.h"
#include "serve/roster.h"
#include "serve/side.h"
#include "shared/station.h"
#include "stage/stage.h"
#include "weights/weights.h"

#define KEEPER_NAME_MAX 64
#define KEEPER_ADDRESS_MAX 24
/* Gateways that a keeper tells its load, 200 bytes each; more are counted and
 * know the engine by its answers alone. */
#define KEEPER_GATEWAYS_MAX 4096

/* A gateway that has told its view lately. */
struct keeper_gateway {
	char address[KEEPER_ADDRESS_MAX];
	uint64_t start; /* which one of its starts */
	bool near; /* in this keeper's region */
	int64_t heard_us;
	int64_t told_us; /* the last load */
	bool store_away; /* the store does not answer it */
};

/* Another keeper of the same model. */
struct keeper_peer {
	char address[KEEPER_ADDRESS_MAX]; /* its id, too */
	char region[KEEPER_NAME_MAX];
};

struct keeper;

/* A version that is wanted, and what of it is here. */
struct keeper_copy {
	struct keeper *keeper;
	int64_t version;
	int64_t heard_us; /* its name, by any gateway */
	int64_t due_us; /* nothing older serves from then on; 0: no bound */
	/* Its digests. */
	uint64_t chunks, chunk_bytes;
	struct digest told_root; /* that gateways say others found */
	struct hfetch *manifest;
	int64_t manifest_rest_us; /* the origin is not asked before */
	int64_t asked_us; /* the digests were needed first; 0: not yet */
	bool own_root; /* read from the origin here */
	bool has_root; /* `wts` is filled in and wanted of the swarm */
	struct wts_version wts;
	GBytes *list; /* NULL: not known yet */
	/* Its pieces. */
	uint64_t logged; /* pieces held, as last logged */
	int64_t logged_us;
	bool whole; /* all are held and checked */
	bool *placed; /* those that lie in the staging place */
	bool looked; /* the staging place was looked through */
	bool put; /* all are placed, as far as is known */
	int64_t checked_us; /* all were read back and good; 0: not yet */
};

/* What a load says that a gateway decides by. */
struct keeper_told {
	uint64_t engine; /* enum side_engine */
	int64_t loaded, wanted;
	bool own_root;
	unsigned int running, waiting;
	bool slow_link; /* what comes to this host comes slowly */
	bool limit_known;
	double limit; /* the engine's rate limit */
};

struct keeper {
	struct daemon st;
	struct wts *wts;
	struct conn_server *server;
	struct dgram *dgram;
	struct evl_timer tick;
	GArray *gateways; /* struct keeper_gateway */
	/* What gateways say. */
	char model[KEEPER_NAME_MAX];
	char origin[KEEPER_ADDRESS_MAX];
	char origin_region[KEEPER_NAME_MAX];
	struct roster *roster; /* of the keepers of the model */
	int64_t lacks_us; /* a newer one is known of since; 0: none */
	int64_t asked_us; /* a gateway was asked for it, last */
	GArray *peers; /* struct keeper_peer, of the roster */
	unsigned int slots; /* of the engine */
	bool may_cut; /* requests that the engine cuts go on elsewhere */
	/* The newest wanted version; and one before it that is not loaded yet
	 * and may be whole sooner, or NULL. */
	struct keeper_copy *newest, *older;
	struct stg_deadlines dues;
	struct permits permits; /* by the engine's rate limit */
	GHashTable *pools; /* address of another target -> keeper_pool */
	struct sus *suspects; /* requests under which targets ended */
	GArray *ends_again; /* struct again: held ones, to be told again */
	/* The engine. */
	struct hfetch *report;
	struct sv_report engine;
	unsigned int report_failures;
	bool had_engine; /* it answered at least once */
	bool up;
	int64_t loaded; /* version; 0: none */
	int64_t ordered_us; /* an order was accepted; 0: none under way */
	int64_t refused_us; /* the last order was refused; 0: no */
	int64_t closed_us; /* gateways were told to leave it; 0: no */
	enum stg_step step; /* as last logged */
	/* The call to the engine that a step waits for. */
	struct hfetch *call;
	struct keeper_copy *busy; /* that the call is for */
	uint64_t index; /* of the piece it is about */
	uint64_t bad; /* pieces found spoilt or missing in this pass */
	int64_t look_us; /* the staging place was last looked through from */
	int64_t rest_until_us; /* after a call that failed */
	/* What gateways were told last. */
	struct keeper_told told;
	uint64_t load_seq; /* of the last load */
	guint named_gateway; /* the one that the last load named */
};

static inline int64_t
keeper_now(const struct keeper *k)
{
	return evl_now_us(k->st.loop);
}

/* Region of a failure domain, by the settings; the domain itself if none. */
const char *keeper_region(const struct keeper *k, const char *domain);

/* keeper_copy.c: wanted versions and their digests */
struct keeper_named {
	int64_t version;
	int64_t heard_us, due_us;
	uint64_t chunks, chunk_bytes;
};
/* A newer version is wanted; the one before may stay beside it. */
void keeper_want(struct keeper *k, const struct keeper_named *named);
/* Drops all wanted versions (another model). */
void keeper_forget(struct keeper *k);
void keeper_drop_older(struct keeper *k);
/* Learns a version's digests: from the origin in turn, or from other keepers
 * once enough agree on their root. */
void keeper_learn(struct keeper_copy *c);

/* keeper_weights.c: the swarm */
bool keeper_weights_open(struct keeper *k, struct err *err);
/* Begins to fetch; `root` is that of the copy's digests. */
void keeper_begin_transfer(struct keeper_copy *c, const struct digest *root);
void keeper_set_peers(struct keeper_copy *c);
/* Logs how far versions have come, now and then while they move. */
void keeper_log_progress(struct keeper *k);

/* keeper_origin.c: pieces from the origin */
extern const struct wts_source keeper_origin; /* its context is the keeper */

/* keeper_engine.c: the engine's reports, and the next step */
void keeper_ask_report(struct keeper *k);
void keeper_step(struct keeper *k); /* carries out what is next */

/* keeper_stage.c: the engine's staging place, and orders */
void keeper_look(struct keeper_copy *c);
void keeper_put(struct keeper_copy *c);
void keeper_check(struct keeper_copy *c);
void keeper_order(struct keeper_copy *c);
/* Gateways send the engine nothing more, or send to it again. */
void keeper_close(struct keeper *k);
void keeper_reopen(struct keeper *k, const char *why);

/* keeper_views.c: what gateways say is wanted, and who else loads it */
void keeper_take_view(
    struct keeper *k, const char *from, const struct side_desired *view);
void keeper_take_page(struct keeper *k, const struct side_roster_page *page);

/* keeper_rate.c: rate limits, and permits for gateways */
void keeper_rate_open(struct keeper *k);
void keeper_take_rate(
    struct keeper *k, const char *from, const struct side_rate *rate);
void keeper_rate_tick(struct keeper *k);
/* A gateway that was not heard before is told the limits of targets without
 * keepers; loads tell the own engine's. */
void keeper_greet_rates(struct keeper *k, const char *gateway);

/* keeper_ends.c: requests under which targets ended */
void keeper_ends_open(struct keeper *k);
void keeper_take_ends(struct keeper *k, const struct side_terminations *ends);
/* A gateway that was not heard before is told what is held. */
void keeper_greet_ends(struct keeper *k, const char *gateway);
void keeper_ends_tick(struct keeper *k);

/* keeper_gateways.c: gateways, and loads for them */
void keeper_tell_all(
    struct keeper *k, const struct msg_desc *desc, const void *message);
bool keeper_gateways_open(struct keeper *k, struct err *err);
void keeper_tell_load(struct keeper *k);
bool keeper_is_heard(const struct keeper *k); /* some gateway wants loads */
unsigned int keeper_near_gateways(const struct keeper *k);

int keeper_main(const char *settings);

#endif
