#ifndef REQUEST_H
#define REQUEST_H

/* A request as request.c and answer.c share it. */

#include "entry/entry.h"

#define MAX_ATTEMPTS 4
#define REQUEST_ID_LEN 40

struct request {
	struct entry *entry;
	SoupServerMessage *message;
	struct att att;
	struct adm_ticket ticket;
	char id[REQUEST_ID_LEN];
	char team[RT_NAME_MAX + 1];
	char model[RT_NAME_MAX + 1]; /* "" for a plain service */
	char service[RT_NAME_MAX + 1];
	char *method;
	char *path;
	char *headers;
	GBytes *body;
	bool streamed;
	unsigned int stall_ms;
	unsigned int priority;
	uint64_t prefix; /* of the prompt; 0: none */
	int64_t deadline_us;
	guint deadline_timer;
	guint event_idle; /* an event that must not be taken within a step */
	enum att_event event;
	gulong finished_signal;
	gulong wrote_signal;
	GSource *gone_source;
	bool gone; /* the exchange with the caller is over */
	bool told; /* its answer or error is on the way */

	/* The attempt that runs now. */
	struct entry_side *side; /* NULL: none */
	struct rt_target *target;
	int64_t stream;
	int64_t sent_us;
	bool heard; /* the target gave a sign of an answer */
	const struct rt_target *tried[MAX_ATTEMPTS];

	/* The answer. */
	struct rt_head head; /* headers are in `type` */
	char *type;
	bool begun; /* the caller has seen the head */
	GByteArray *held;
	struct err last;
	enum adm_outcome outcome;

	/* Of a keyed request. */
	char *key; /* TEAM/SERVICE/KEY; NULL: not keyed */
	char *asker;
	struct claim *claim; /* while it is asked for */
	struct digest_stream *hash; /* of the answer so far */
	bool answered; /* whole */
	const struct clm_outcome *recorded; /* an earlier try's, to be told */
};

void request_count(const struct request *r, const char *name);
/* Takes an event of charts/attempt; may free the request. */
void request_take(struct request *r, enum att_event event);
int64_t request_left_ms(const struct request *r); /* to its deadline */

/* keyed.c. The last three are actions of the chart. */
void keyed_init(struct request *r, const char *key);
void keyed_claim(void *request);
void keyed_detach(void *request);
void keyed_settle(void *request);

/* answer.c. None of these does anything once the caller is gone. */
/* Sends the head and lets the body follow piece by piece. */
void answer_begin(struct request *r);
void answer_append(struct request *r, const uint8_t *bytes, size_t len);
/* The whole answer, or the end of one that has begun. */
void answer_finish(struct request *r);
/* `r->recorded`, the outcome of an earlier try. */
void answer_recorded(struct request *r);
/* `r->last` instead of an answer. */
void answer_fail(struct request *r);
/* The visible error inside an answer that has begun. */
void answer_cut(struct request *r);
/* The request ends; if the caller was told nothing, it is gone. */
void answer_let_go(struct request *r);

#endif
