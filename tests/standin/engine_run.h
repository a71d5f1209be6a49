#ifndef STANDIN_ENGINE_RUN_H
#define STANDIN_ENGINE_RUN_H

/* One request at the engine, and the batch it runs in. */

#include "standin/engine.h"

enum run_state {
	RUN_WAITING, /* not begun: nobody can say that it ran */
	RUN_RUNNING,
	RUN_DONE,
	RUN_CANCELLED,
};

struct run {
	TAILQ_ENTRY(run) entry; /* of `waiting` or `running` */
	STAILQ_ENTRY(run) logged; /* once begun */
	struct batch *batch;
	struct held *held; /* NULL: nobody is connected */
	enum run_state state;
	char *id;
	int64_t attempt;
	int64_t priority; /* 0 is most urgent */
	bool stream;
	char expect[DIGEST_HEX]; /* refuse another digest; "": any */
	char digest[DIGEST_HEX]; /* what it began with */
	uint64_t prefix;
	int64_t prompt_tokens;
	int64_t prefill_left;
	int64_t tokens; /* made so far */
	int64_t sent; /* on this connection, counted from token 0 */
	int64_t max_tokens;
	int64_t lost_ms; /* when the connection broke */
	int64_t start_ms, end_ms; /* wall clock */
};
TAILQ_HEAD(run_list, run);
STAILQ_HEAD(run_log, run);

struct snapshot { /* a report, shown once it is old enough */
	STAILQ_ENTRY(snapshot) entry;
	int64_t at_ms;
	int64_t running, waiting, cache_tokens, step_ms;
};
STAILQ_HEAD(snapshot_list, snapshot);

struct batch {
	const struct clk *clock;
	const struct weights *loaded;
	struct cache *cache;
	int slots, max_queue;
	int64_t step_ms;
	int64_t prefill_tokens_per_step;
	int64_t keep_ms;
	int64_t report_lag_ms;
	struct run_list waiting, running;
	int64_t nwaiting, nrunning;
	struct run_log log;
	GHashTable *by_id; /* the latest run of a request */
	struct snapshot_list snapshots; /* oldest first */
	GSource *stepper;
	int64_t next_step_us; /* 0: the batch is idle */
	uint64_t names; /* given to requests that came without */
	int64_t frozen_until_ms;
	bool refuse;
};

/* Parses and checks a chat request; NULL after answering it. */
struct run *run_parse(struct batch *b, SoupServerMessage *msg);
void run_free(struct run *run);

/* Sends the head of an answer: from here on the request has begun. */
void run_send_head(struct run *run);
/* Sends what there is and was not sent yet; ends the answer of a run that
 * is over. */
void run_send(struct run *run);
/* Answers a run that did not begin. */
void run_refuse(struct run *run, unsigned int status, const char *why);

#endif
