#ifndef KEEPER_H
#define KEEPER_H

/*
 * keeper: the side process for a deployment whose engines load from a staging
 * place beside them. It brings the wanted version's pieces by the swarm,
 * stages and checks them, gives its engine's orders, and tells gateways how
 * full the engine is. Gateways call the engine directly.
 */

#include "platform/adapter.h"
#include "common/evt.h"
#include "http/fetch.h"
#include "shared/station.h"
#include "stage/stage.h"
#include "weights/weights.h"

#define KEEPER_MODEL_MAX 64
#define KEEPER_ADDRESS_MAX 24
#define KEEPER_GATEWAYS_MAX 512

/* A gateway that has told its view lately. */
struct keeper_gateway {
	char address[KEEPER_ADDRESS_MAX];
	bool near; /* in this keeper's region */
	int64_t heard_us;
	int64_t told_us; /* the last load */
};

/* Another keeper of the same model. */
struct keeper_peer {
	char address[KEEPER_ADDRESS_MAX]; /* its id, too */
	char region[KEEPER_MODEL_MAX];
};

struct keeper {
	struct station st;
	struct wts *wts;
	struct conn_server *server;
	struct dgram *dgram;
	struct evl_timer tick;
	GArray *gateways; /* struct keeper_gateway */
	/* The view: what gateways say is wanted. */
	char model[KEEPER_MODEL_MAX];
	char origin[KEEPER_ADDRESS_MAX];
	char origin_region[KEEPER_MODEL_MAX];
	uint64_t chunks, chunk_bytes;
	int64_t heard_us; /* of the wanted version */
	int64_t due_us; /* it is due then; 0: no bound */
	GArray *peers; /* struct keeper_peer, by address */
	struct stg_state stage;
	enum stg_step step; /* as last logged */
	struct wts_version version; /* the wanted one, once known */
	bool has_root; /* `version` is filled in and wanted of the swarm */
	bool own_root; /* read from the origin here */
	GBytes *list; /* its digests */
	struct digest told_root; /* that gateways say others found */
	/* The engine. */
	struct hfetch *report;
	struct sv_report engine;
	unsigned int report_failures;
	bool had_engine; /* it answered at least once */
	/* What gateways were told last. */
	struct sv_report told;
	enum stg_step told_step;
	bool told_own_root, told_up;
	/* The call that a step waits for. */
	struct hfetch *call;
	struct hfetch *manifest;
	int64_t manifest_rest_us;
	int64_t wanted_us, asked_us; /* wanted; its digests first needed */
	uint64_t index; /* of the piece it is about */
	uint64_t bad; /* pieces found spoilt or missing in this pass */
	bool *placed; /* pieces that lie in the staging place */
	int64_t rest_until_us; /* after a call that failed */
};

static inline int64_t
keeper_now(const struct keeper *k)
{
	return evl_now_us(k->st.loop);
}

/* keeper_weights.c: manifest, swarm, origin */
bool keeper_weights_open(struct keeper *k, struct err *err);
void keeper_want(struct keeper *k, int64_t version);
void keeper_set_peers(struct keeper *k);
/* Learns the wanted version's digests: from the origin in turn, or from other
 * keepers once enough agree on their root. */
void keeper_learn_digests(struct keeper *k);
extern const struct conn_ops keeper_conn_ops;

/* keeper_engine.c: the engine's staging place, orders and reports */
void keeper_step(struct keeper *k); /* carries out what is next */
void keeper_ask_report(struct keeper *k);

/* Region of a failure domain, by the settings; the domain itself if none. */
const char *keeper_region(const struct keeper *k, const char *domain);

/* keeper_gateways.c: views and loads */
bool keeper_gateways_open(struct keeper *k, struct err *err);
void keeper_tell_load(struct keeper *k);
bool keeper_is_heard(const struct keeper *k); /* some gateway wants loads */

int keeper_main(const char *settings);

#endif
