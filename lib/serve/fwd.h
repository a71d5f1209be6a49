#ifndef SERVE_FWD_H
#define SERVE_FWD_H

/*
 * fwd: carries callers' requests to targets and the answers back. What to do
 * is decided by rtab, tgt, flow, spend and vers; this module does it: waits for
 * a place, sends, passes whole answers and whole events on, cancels.
 */

#include "http/http.h"
#include "common/spend.h"
#include "serve/rtab.h"
#include "serve/suspect.h"
#include "serve/tgt.h"
#include "serve/vers.h"

struct fwd;

struct fwd_conf {
	struct evl *loop;
	struct hpool *pool;
	struct tgt_set *targets;
	struct vers *versions;
	const struct sv_dialect *dialect;
	struct spend_conf budget;
	struct ctr_set *counters;
	uint64_t seed;
	/* Others are to be told of these. NULL: there is nobody to tell. */
	void (*publish_terminations)(
	    const struct sus_termination *ends, size_t n, void *ctx);
	void *publish_ctx;
};

struct fwd *fwd_new(const struct fwd_conf *conf);
void fwd_free(struct fwd *f);
/* Settings in force from now on; takes the reference. */
void fwd_set_routes(struct fwd *f, struct rtab *routes);
struct rtab *fwd_routes(struct fwd *f); /* NULL: none yet */
struct spend_conf *fwd_budget(struct fwd *f);
/* Ops for the callers' server; its context is the forwarder. */
extern const struct hserver_ops fwd_server_ops;
/* Places may have become free at some target. */
void fwd_pump(struct fwd *f);
/* A target's process has ended: what was cut there may be the cause. */
void fwd_target_terminated(struct fwd *f, const struct tgt *t);
/* Others know of a request that was under way at a target that ended. */
void fwd_report_termination(struct fwd *f, const struct sus_termination *end);
/* Appends all ends of what is held, those of a content together. */
void fwd_blocked_terminations(const struct fwd *f, GArray *out);
/* Forgets what is old; to be called now and then. */
void fwd_sweep(struct fwd *f);
unsigned int fwd_active(const struct fwd *f); /* requests not yet answered */
unsigned int fwd_waiting(const struct fwd *f);
/* Histograms and gauges for the metrics page. */
void fwd_print(const struct fwd *f, GString *out);

#endif
