#ifndef REQUEST_H
#define REQUEST_H

/* The request, shared by request.c, body.c, answer.c and keyed.c. */

#include "common/sse.h"
#include "entry/entry.h"

#define MAX_ATTEMPTS 4
#define REQUEST_ID_LEN 40

/* An attempt whose target is silent, see parked.c. */
struct parked {
	struct entry_sidecar *sidecar; /* NULL: the place is free */
	struct rt_target *target;
	int64_t stream;
	int64_t sent_us;
};

struct request {
	struct entry *entry;
	SoupServerMessage *message;
	struct att att;
	struct adm_ticket ticket;
	char id[REQUEST_ID_LEN];
	char workspace[RT_NAME_MAX + 1];
	char model[RT_NAME_MAX + 1]; /* "" for a plain service */
	char service[RT_NAME_MAX + 1];
	char *method;
	char *path;
	char *headers;
	GBytes *body;
	bool streamed;
	unsigned int stall_ms;
	unsigned int priority;
	uint64_t prefix; /* hash of the prompt's first bytes; 0: none */
	uint64_t content; /* fingerprint; 0: not computed yet */
	uint64_t *parts; /* fingerprints of messages */
	size_t nparts;
	int64_t deadline_us;
	guint deadline_timer;
	struct clk_catch_up catch_up; /* of deadline_timer */
	guint event_idle; /* raises `event` outside of a step */
	enum att_event event;
	gulong finished_signal;
	gulong wrote_signal;
	GSource *hangup_source;
	bool exchange_over; /* libsoup finished the message */
	bool answer_sent; /* an answer or an error was handed to libsoup */

	/* The current attempt. */
	struct entry_sidecar *sidecar; /* NULL: no attempt */
	struct rt_target *target;
	int64_t stream;
	int64_t sent_us;
	bool responded; /* the target sent a head or data */
	bool answering; /* the target sent data */
	const struct rt_target *tried[MAX_ATTEMPTS];
	struct parked parked[MAX_ATTEMPTS];

	/* The answer. */
	struct rt_head head; /* headers are in `type` */
	char *type;
	bool head_sent; /* to the caller */
	bool has_events; /* its type is that of an event stream */
	struct sse sse; /* position in its events */
	bool has_end_event; /* of an engine's stream */
	GByteArray *held_back; /* bytes of an event that is not complete */
	size_t credit_ahead; /* returned for bytes that are not written yet */
	GByteArray *buffer; /* body of an answer that is not yet sent */
	struct err last_err;
	enum adm_outcome outcome;

	/* A request with an idempotency key. */
	/* WORKSPACE/service:NAME/KEY or .../model:...; NULL: no key. */
	char *key;
	char *claimant;
	struct claim *claim; /* while it is pending */
	struct digest_stream *answer_hash; /* of the bytes received so far */
	bool complete; /* the answer */
	/* Of an earlier request, to repeat. */
	const struct clm_outcome *recorded;
};

void request_count(const struct request *r, const char *name);
/* Steps the state machine of charts/attempt; may free the request. */
void request_step(struct request *r, enum att_event event);
int64_t request_remaining_ms(const struct request *r); /* to its deadline */

/* keyed.c. The last three are actions of the state machine. */
void keyed_init(struct request *r, const char *key);
void keyed_claim(void *request);
void keyed_detach(void *request);
void keyed_settle(void *request);

/* parked.c: attempts whose targets are silent */
bool parked_any(const struct request *r);
/* When the oldest attempt that is not over was sent. */
int64_t parked_since_us(const struct request *r);
/* Parks the current attempt; there is none afterwards. */
void parked_add(struct request *r);
/* Makes the first parked attempt the current one. */
void parked_resume(struct request *r);
/* The attempt has begun to answer: it becomes the current one, and all others
 * are cancelled. */
void parked_responded(struct request *r, int64_t stream);
/* Returns false if the attempt is not parked. */
bool parked_ended(struct request *r, int64_t stream, const struct err *err);
void parked_cancel(struct request *r); /* all of them */
/* The target of a parked attempt or of the current one. */
struct rt_target *parked_target(struct request *r, int64_t stream);

/* body.c: the body of an answer, from the sidecar to the caller */
void body_begin(struct request *r); /* the head of an answer was received */
/* Passes bytes on, or holds them back until their event is complete. Returns
 * false if that event is too large. */
bool body_add(struct request *r, const uint8_t *bytes, size_t len);
void body_written(struct request *r, size_t len); /* to the caller */
/* Whether an answer whose message has ended is complete. */
bool body_is_complete(const struct request *r);

/* answer.c. These send nothing once the exchange is over. */
/* Sends the head; the body follows in chunks. */
void answer_begin(struct request *r);
void answer_append(struct request *r, const uint8_t *bytes, size_t len);
/* Sends the complete answer, or ends one whose head was sent. */
void answer_finish(struct request *r);
/* Sends `r->recorded`, the outcome of an earlier request with this key. */
void answer_recorded(struct request *r);
/* Sends `r->last_err` instead of an answer. */
void answer_fail(struct request *r);
/* Ends an answer whose head was sent with an error the caller can see. */
void answer_abort(struct request *r);
/* Unpauses the message when the request ends without an answer, which happens
 * only after the caller disconnected. */
void answer_release(struct request *r);

#endif
