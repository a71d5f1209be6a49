#ifndef SERVE_FWD_INTERNAL_H
#define SERVE_FWD_INTERNAL_H

#include "common/evt.h"
#include "serve/flow.h"
#include "serve/fingerprint.h"
#include "serve/fwd.h"
#include "serve/hist.h"

#define FWD_TRIED_MAX 8
#define FWD_ID_MAX 64 /* of a request, in log lines */

struct fwd_service;

enum fwd_state {
	FWD_WAITING, /* for a place at a target */
	FWD_CALLING, /* sent; no byte passed on yet */
	FWD_STREAMING, /* events are passed on */
};

/* A caller's request until it is answered. */
struct fwd_req {
	TAILQ_ENTRY(fwd_req) link; /* among the waiting of its service */
	TAILQ_ENTRY(fwd_req) open; /* among all that are not answered yet */
	struct fwd *fwd;
	struct hreq *caller;
	struct rtab *routes;
	const struct sv_route *route;
	const struct sv_workspace *workspace; /* NULL: anonymous */
	struct fwd_service *service;
	enum fwd_state state;
	char id[FWD_ID_MAX];
	char *model; /* NULL: none asked for */
	uint64_t prompt; /* tokens; 0: unknown */
	bool reading; /* the target has them to read */
	int64_t started_us; /* first byte read */
	int64_t deadline_us; /* final answer by then */
	bool is_client_retry; /* its caller was refused before, by its time */
	int priority;
	struct evl_timer deadline;
	struct evl_timer wait_timer; /* waiting, silence of the target */
	struct evl_timer begin_timer; /* it must have begun by then */
	/* The attempt under way. */
	struct hcall *call;
	struct tgt *target; /* counted */
	int64_t sent_us;
	unsigned int status;
	bool is_matched; /* the answer's head is checked */
	bool not_run; /* it says that it did not run */
	bool unusable; /* it cannot be passed on */
	bool sealed;
	bool has_begun; /* its first event has come */
	GString *headers; /* of the answer, to pass on */
	struct hbuf answer; /* a whole answer, or events not whole yet */
	/* Over all attempts. */
	uint64_t fingerprint; /* fingerprint; 0: not computed yet */
	const struct tgt *tried[FWD_TRIED_MAX]; /* compared, never followed */
	unsigned int ntried;
	struct flow_state flow;
	int64_t last_event; /* passed on; -1: none */
	bool has_event;
	uint64_t events;
	int64_t first_event_us, last_event_us;
};

/* One service's requests here. */
struct fwd_service {
	struct fwd *fwd;
	struct tgt_service *targets;
	struct spend budget;
	TAILQ_HEAD(fwd_waiting_list, fwd_req) waiting; /* urgent first */
	unsigned int nwaiting;
	/* Ends of requests a second, moving average: how fast places free. */
	double rate;
	int64_t rate_us;
	unsigned int completed;
	int64_t
	    first_event_us; /* to a first event after sending, moving average */
	double retry_share; /* of requests that came back, moving average */
	int64_t full_us; /* a new caller last found all places taken */
};

struct fwd {
	struct fwd_conf conf;
	struct rtab *routes;
	GHashTable *services; /* name -> struct fwd_service */
	struct evl_task pump;
	struct rng rng;
	TAILQ_HEAD(fwd_open_list, fwd_req) open;
	unsigned int active, waiting;
	struct sus *suspects;
	struct ctr *done, *refused, *failed, *disconnected, *retries, *resumes,
	    *unexpected;
	struct ctr *limited, *limited_again; /* sent to targets with a limit */
	/* Cut by their targets before, after a first event. */
	struct ctr *cut_silent, *cut_answering;
	struct ctr *blocked, *recalled;
	struct ctr *choices; /* looks through all targets */
	struct hist wait, first_event, gap, total;
};

/* fwd.c */
int64_t fwd_now(const struct fwd_req *r);
/* Fingerprint of its content. */
uint64_t fwd_fingerprint(struct fwd_req *r);
/* Ends the request here with an answer of our own. */
void fwd_refuse(struct fwd_req *r, const char *why); /* 503: not run */
/* The same, told to come back at that moment and not sooner. */
void fwd_refuse_until(struct fwd_req *r, const char *why, int64_t until_us);
void fwd_fail(struct fwd_req *r, unsigned int status, const char *why);
void fwd_abort(struct fwd_req *r, const char *why); /* close mid-answer */
void fwd_finish(struct fwd_req *r); /* frees; the caller was answered */
void fwd_log_end(const struct fwd_req *r, enum evt_name ev, unsigned int status,
    const char *why);

/* fwd_wait.c: waiting for a place */
/* Counts a new request; whether its time left tells that it came back. */
void fwd_note_client_retry(struct fwd_req *r);
void fwd_dispatch(struct fwd_req *r); /* send now, wait, or refuse */
void fwd_dequeue(struct fwd_req *r);
void fwd_count_completion(struct fwd_service *service, int64_t now_us);
/* Seconds until a place is likely. */
double fwd_retry_after(struct fwd_req *r);

/* fwd_call.c: an attempt */
void fwd_send(struct fwd_req *r, struct tgt *target);
/* Whether it may be taken back from a target that has not begun it. */
bool fwd_may_recall(const struct fwd_req *r);
void fwd_drop_call(struct fwd_req *r); /* cancels what is under way */
void fwd_prompt_read(struct fwd_req *r); /* the target has read the prompt */
void fwd_note_progress(
    struct fwd_req *r); /* the target has given a sign of life */

/* fwd_answer.c: what comes back */
void fwd_read_head(struct fwd_req *r, const struct hmsg *m);
void fwd_read_body(struct fwd_req *r, const void *data, size_t len);
void fwd_answer_complete(struct fwd_req *r);
bool fwd_is_stream(const struct fwd_req *r); /* the answer is passed on live */

/* fwd_suspect.c: requests under which targets ended */
/* Whether it must not be sent now; until when. */
bool fwd_is_blocked(struct fwd_req *r, int64_t *until_us);
void fwd_note_cut(struct fwd_req *r); /* its target broke off */
void fwd_note_answered(struct fwd_req *r); /* its answer is whole */

/* fwd_head.c: heads to targets and callers */
GString *fwd_request_head(struct fwd_req *r, struct tgt *target);
void fwd_answer_headers(const struct hmsg *m, GString *out);

#endif
