#ifndef SERVE_FWD_INTERNAL_H
#define SERVE_FWD_INTERNAL_H

#include "common/evt.h"
#include "common/sse.h"
#include "serve/flow.h"
#include "serve/fingerprint.h"
#include "serve/fwd.h"
#include "serve/hist.h"

#define FWD_TRIED_MAX 8
#define FWD_ID_MAX 64 /* buffer for a request id, as in log lines */

struct fwd_service;

/* A request at a target. */
struct fwd_attempt {
	TAILQ_ENTRY(fwd_attempt) link; /* in fwd_req.attempts */
	struct fwd_req *req;
	struct hcall *call; /* NULL: ended */
	struct tgt *target; /* holds a reference and a slot */
	int64_t sent_us;
	int64_t heard_us; /* last byte from the target; 0: none yet */
	int64_t sent_version; /* of the target's weights then */
	bool prompt_pending; /* counted as not yet read by the target */
	bool is_probe; /* sent to a target that had failed */
	bool silent; /* for too long, and counted in flow_state.runs */
	struct evl_timer stall_timer; /* for the target's next event */
	struct evl_timer begin_timer; /* the answer must have begun by then */
	int64_t closed_us; /* cancelled to be recalled; 0: it was not */
	/* Its answer. */
	unsigned int status;
	bool is_matched; /* the answer's head belongs to this request */
	bool not_run; /* the target says that it did not run the request */
	bool unusable; /* the answer cannot be relayed */
	bool sealed; /* the answer has the seal header */
	bool has_begun; /* the first event has arrived */
	bool has_events; /* the answer's type is that of events */
	struct sse sse; /* position in the answer's events */
	enum hframing framing; /* of the answer, if is_matched */
	const char *end; /* how the attempt ended, for the log */
	GString *headers; /* of the answer, to relay */
	struct hbuf answer; /* the complete answer, or incomplete events */
	size_t buffered; /* bytes of it that fwd.buffered includes */
};

/*
 * A caller's request, from its arrival until it is answered. It has several
 * attempts while their targets are silent: none is given up for that before
 * another one's answer is to be relayed, since its target may go on.
 */
struct fwd_req {
	TAILQ_ENTRY(fwd_req) link; /* in fwd_service.waiting */
	TAILQ_ENTRY(fwd_req) open; /* in fwd.open */
	struct fwd *fwd;
	struct hreq *caller;
	struct rtab *routes;
	const struct sv_route *route;
	const struct sv_workspace *workspace; /* NULL: anonymous */
	struct fwd_service *service;
	char id[FWD_ID_MAX];
	char *model; /* NULL: none requested */
	uint64_t prompt; /* tokens; 0: unknown */
	int64_t started_us; /* first byte received */
	int64_t deadline_us; /* for the complete answer */
	bool is_denied; /* the retry budget denied its last attempt */
	bool is_client_retry; /* inferred from the caller's deadline header */
	int priority;
	struct evl_timer deadline;
	struct clk_catch_up catch_up; /* of `deadline` */
	struct evl_timer wait_timer; /* for a slot */
	bool queued; /* in fwd_service.waiting */
	bool queued_as_hedge; /* while silent targets have it */
	TAILQ_HEAD(fwd_attempts, fwd_attempt) attempts; /* oldest first */
	/* Ended with a failure that its target answered, while others were in
	 * flight; NULL: none. */
	struct fwd_attempt *failure;
	/* The last attempt that ended, for the log. */
	char last_target[SV_ID_MAX];
	int64_t last_version; /* of its weights when it was sent; 0: not sent */
	const char *last_end;
	const char *last_framing;
	size_t last_rest;
	int64_t sent_us; /* last sent; 0: not sent */
	int64_t heard_us; /* last byte from any target; 0: none yet */
	int64_t cut_us; /* last cut off by a target; 0: never */
	/* Across all attempts. */
	uint64_t content; /* fingerprint; 0: not computed yet */
	uint64_t *parts; /* fingerprints of the prompt's shared parts */
	size_t nparts;
	bool parts_read;
	uint64_t blocked_by; /* identity; 0: none */
	const struct tgt *tried[FWD_TRIED_MAX]; /* never dereferenced */
	unsigned int ntried;
	struct flow_state flow;
	int64_t last_event; /* id of the last one relayed, if has_event */
	bool has_event;
	uint64_t events;
	int64_t first_event_us, last_event_us;
};

/* Requests for one service at this gateway. */
struct fwd_service {
	struct fwd *fwd;
	struct tgt_service *targets;
	struct spend budget;
	int64_t denied_logged_us; /* last log line of a denial; 0: none */
	unsigned int denied; /* since then */
	TAILQ_HEAD(fwd_waiting_list, fwd_req) waiting; /* most urgent first */
	unsigned int nwaiting; /* without those that silent targets have */
	/* Completed requests per second, moving average: the rate at which
	 * slots become free. */
	double completion_rate;
	int64_t rate_updated_us;
	unsigned int completed;
	/* Time from sending to the first event, moving average. */
	int64_t first_event_us;
	double retry_share; /* of client retries, moving average */
	int64_t full_us; /* when a new caller last found all slots taken */
};

struct fwd {
	struct fwd_conf conf;
	struct rtab *routes;
	GHashTable *services; /* name -> struct fwd_service */
	struct evl_task pump;
	struct evl_timer pump_timer; /* a deferred target takes requests */
	struct rng rng;
	TAILQ_HEAD(fwd_open_list, fwd_req) open;
	unsigned int active, waiting;
	bool draining; /* see fwd_drain() */
	int64_t pause_us; /* see fwd_set_pause() */
	size_t buffered; /* bytes of all answers in memory */
	struct sus *suspects;
	struct ctr *done, *refused, *failed, *disconnected, *retries, *resumes,
	    *unexpected;
	struct ctr *charged, *denied; /* by the retry budget */
	struct ctr *limited, *limited_again; /* sent to rate-limited targets */
	/* Cut off by their targets before and after the first event. */
	struct ctr *cut_before_answer, *cut_midway;
	struct ctr *dropped; /* callers' connections closed with bytes left */
	struct ctr *blocked[FPR_KINDS], *recalled;
	struct ctr *excessive; /* numbers of callers that were cut off */
	struct ctr *choices; /* scans over all targets of a service */
	struct hist wait, first_event, gap, total;
};

/* fwd.c */
struct fwd_service *fwd_service(struct fwd *f, const char *name);
int64_t fwd_now(const struct fwd_req *r);
/* Ends the request with an answer made by the gateway. */
void fwd_refuse(struct fwd_req *r, const char *why); /* 503: it did not run */
/* The same, with a Retry-After that ends at `until_us`. */
void fwd_refuse_until(struct fwd_req *r, const char *why, int64_t until_us);
/* Refuses a request that no target has run while the forwarder drains; returns
 * whether it did. To be called without an attempt in flight. */
bool fwd_refuse_if_draining(struct fwd_req *r);
void fwd_fail(struct fwd_req *r, unsigned int status, const char *why);
void fwd_abort(struct fwd_req *r, const char *why); /* close mid-answer */
void fwd_finish(struct fwd_req *r); /* frees it, but not the hreq */
/* Time since the last target that it was sent to wrote anything, or since it was
 * sent there; -1: not sent. */
int64_t fwd_silent_ms(const struct fwd_req *r);
void fwd_log_end(const struct fwd_req *r, enum evt_name ev, unsigned int status,
    const char *why);

/* fwd_identity.c: what a request may share with others. Fingerprints are
 * computed on first use. */
#define FWD_IDENTITIES_MAX (1 + FWD_PARTS_MAX)
#define FWD_PARTS_MAX 64 /* of a request; further ones are ignored */
uint64_t fwd_content(struct fwd_req *r);
/* Content and parts; returns their number. */
size_t fwd_identities(
    struct fwd_req *r, uint64_t identities[FWD_IDENTITIES_MAX]);
bool fwd_has_identity(struct fwd_req *r, uint64_t fingerprint);
void fwd_read_parts(struct fwd_req *r);
#define FWD_BLOCKED_BY_TEXT 64 /* buffer for the identity in a log line */
/* The identity that blocks the request, for a log line; "-": none does. */
void fwd_blocked_by_text(
    const struct fwd_req *r, char out[FWD_BLOCKED_BY_TEXT]);
#define FWD_PARTS_TEXT 128 /* buffer for the parts in a log line */
/* Ids of the shared parts of its prompt for a log line, separated by commas, as
 * many as fit; "-": it has none. */
void fwd_parts_text(const struct fwd_req *r, char out[FWD_PARTS_TEXT]);

/* fwd_wait.c: queueing for a slot */
/* Updates the service's share of client retries; clears is_client_retry where
 * that share is so high that the remaining time does not indicate one. */
void fwd_note_client_retry(struct fwd_req *r);
void fwd_dispatch(struct fwd_req *r); /* sends, queues or refuses it */
void fwd_dequeue(struct fwd_req *r);
void fwd_count_completion(struct fwd_service *service, int64_t now_us);
/* Seconds until a slot is likely to be free. */
double fwd_retry_after(struct fwd_req *r);

/* Schedules a pass over the queues at `at_us`, when a target that asked for no
 * requests takes some again. */
void fwd_pump_at(struct fwd *f, int64_t at_us);

/* fwd_call.c: attempts */
void fwd_send(struct fwd_req *r, struct tgt *target);
/* Whether it may be recalled from a target that has not begun it. */
bool fwd_may_recall(const struct fwd_req *r);
/* Time by which this process may be late to do what is due: as it was before, or as
 * its share of a CPU allows. */
int64_t fwd_late_us(const struct fwd *f);
/* Whether one more attempt may begin while others are in flight. */
bool fwd_may_hedge(struct fwd_req *r);
/* Looks again for another target once the stall timeout has passed anew. */
void fwd_hedge_later(struct fwd_req *r);
void fwd_drop_attempts(struct fwd_req *r); /* cancels all of them */
/* The answer of this one is relayed: cancels the others. */
void fwd_choose_attempt(struct fwd_attempt *a);
void fwd_prompt_read(struct fwd_attempt *a); /* the target has read it */
void fwd_note_progress(struct fwd_attempt *a); /* restarts the stall timer */
/* The caller takes bytes again. */
void fwd_resume_reading(struct fwd_req *r);

/* fwd_budget.c: the retry budget */
/* Charges it with an attempt; false if it denies one. */
bool fwd_may_spend(struct fwd_req *r);

/* fwd_notice.c: what targets state about themselves in answers */
/* To be called with the head of any answer of the attempt's target. */
void fwd_read_notices(struct fwd_attempt *a, const struct hmsg *m);

/* fwd_answer.c: answers from targets */
const struct hheader *fwd_find_header(
    const struct fwd_req *r, const struct hmsg *m, enum sv_field f);
void fwd_read_head(struct fwd_attempt *a, const struct hmsg *m);
void fwd_read_body(struct fwd_attempt *a, const void *data, size_t len);
void fwd_drop_answer(struct fwd_attempt *a); /* frees its buffered bytes */
/* Whether an answer whose message has ended is complete. */
bool fwd_answer_is_complete(const struct fwd_attempt *a);
/* Whether the answer that is to be relayed whole has begun to arrive. */
bool fwd_is_receiving_whole(const struct fwd_req *r);
void fwd_answer_complete(struct fwd_attempt *a);
const char *fwd_framing_name(const struct fwd_attempt *a); /* "-": no answer */
/* Bytes of an incomplete event: received and not relayed. */
size_t fwd_event_rest(const struct fwd_attempt *a);

/* fwd_suspect.c: requests under which targets terminated */
/* Whether it must not be sent before `*until_us`. Sets `blocked_by`. */
bool fwd_is_blocked(struct fwd_req *r, int64_t *until_us);
/* Ends a blocked request. If it did not run, its caller may return at
 * `until_us`. */
void fwd_end_blocked(struct fwd_req *r, int64_t until_us);
void fwd_note_sent(struct fwd_req *r); /* see sus_sent() */
void fwd_void_probe(struct fwd_req *r); /* see sus_void_probe() */
void fwd_note_cut(struct fwd_attempt *a); /* its target cut it off */
void fwd_note_answered(struct fwd_attempt *a); /* its answer is complete */

/* fwd_head.c: message heads for targets and callers */
GString *fwd_request_head(struct fwd_req *r, struct tgt *target);
void fwd_answer_headers(const struct hmsg *m, GString *out);

#endif
