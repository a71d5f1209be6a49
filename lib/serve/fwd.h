#ifndef SERVE_FWD_H
#define SERVE_FWD_H

/*
 * fwd: forwards callers' requests to targets and the answers back. rtab, tgt,
 * flow, spend and vers make the decisions; this module carries them out: it
 * queues requests for a slot, sends them, relays complete answers and complete
 * events, and cancels.
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
	/* Bytes of incomplete answers in memory, all requests. Above it long
	 * answers fail. 0: no limit. */
	size_t answers_max;
	struct ctr_set *counters;
	uint64_t seed;
	/* Publishes terminations to the other gateways. NULL: there is nobody
	 * to notify. */
	void (*publish_terminations)(
	    const struct sus_termination *ends, size_t n, void *ctx);
	/* Retry accounts have changed; called for each charge. NULL: they are
	 * not copied. */
	void (*account_changed)(void *ctx);
	void *publish_ctx;
};

struct fwd *fwd_new(const struct fwd_conf *conf);
void fwd_free(struct fwd *f);
/* Activates new settings; takes over the reference. */
void fwd_set_routes(struct fwd *f, struct rtab *routes);
struct rtab *fwd_routes(struct fwd *f); /* NULL: no settings yet */
struct spend_conf *fwd_budget(struct fwd *f);
/* Calls `each` with the retry account of every service that had requests or
 * retries in the window. */
void fwd_each_account(struct fwd *f,
    void (*each)(const char *service, const struct spend_copy *copy, void *ctx),
    void *ctx);
/* Continues a service's account from a copy that an earlier process made
 * `age_us` ago, in place of the one before. */
void fwd_inherit_account(struct fwd *f, const char *service,
    const struct spend_copy *copy, int64_t age_us);
/* Callbacks of the server that callers connect to; ctx: struct fwd. */
extern const struct hserver_ops fwd_server_ops;
/* Schedules a pass over the queues: slots may have become free. */
void fwd_pump(struct fwd *f);
/* A target's process has terminated: requests that it cut off may have caused
 * it. */
void fwd_target_terminated(struct fwd *f, const struct tgt *t);
/* Another process reported a request that was in flight at a terminated
 * target. */
void fwd_report_termination(
    struct fwd *f, const struct sus_termination *termination);
/* Appends the terminations of all blocked requests, grouped by fingerprint. */
void fwd_blocked_terminations(const struct fwd *f, GArray *out);
/* Longest time for which the platform stops the process, as its share of a CPU is
 * used up. */
void fwd_set_pause(struct fwd *f, int64_t us);
/* The process will be busy for `us`: what would have to be recalled from its target
 * in this time is cancelled now. */
void fwd_expect_hold_up(struct fwd *f, int64_t us);
/* A version was announced, or its time is known better: looks again at what is
 * to be recalled before the deadline. */
void fwd_versions_changed(struct fwd *f);
/* Drops expired suspects; to be called periodically. */
void fwd_sweep(struct fwd *f);
/* The process will exit soon: from now on requests that no target has run are
 * refused, queued ones at once, as their answers may not be complete by then.
 * Those in flight go on, also at other targets. */
void fwd_drain(struct fwd *f);
/* Ends all requests, as the process is about to exit. Callers whose answer has
 * not begun are told whether their request may have run. */
void fwd_end_all(struct fwd *f);
unsigned int fwd_active(const struct fwd *f); /* unanswered requests */
unsigned int fwd_waiting(const struct fwd *f);
/* Appends histograms and gauges for the metrics page. */
void fwd_print(const struct fwd *f, GString *out);

#endif
