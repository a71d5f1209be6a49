#ifndef STANDIN_ENGINE_RUN_H
#define STANDIN_ENGINE_RUN_H

/* A request at the engine, and the batch that it runs in. */

#include "standin/engine.h"

enum run_state {
	RUN_WAITING, /* not started, so it counts as not run */
	RUN_RUNNING,
	RUN_DONE,
	RUN_CANCELLED,
};

struct run {
	TAILQ_ENTRY(run) entry; /* in `waiting` or `running` */
	STAILQ_ENTRY(run) logged; /* in `log`, once started */
	struct batch *batch;
	struct deferred *deferred; /* NULL: no client is connected */
	enum run_state state;
	char *id;
	int64_t attempt;
	int64_t priority; /* 0 is most urgent */
	bool stream;
	bool breaks; /* in the middle of an event, after BREAK_TOKENS */
	bool crashes; /* terminates the engine with its first token */
	/* Digest required by the request; "": any. */
	char expected_digest[DIGEST_HEX];
	char digest[DIGEST_HEX]; /* loaded when the run started */
	uint64_t prefix;
	int64_t prompt_tokens;
	int64_t prefill_left;
	int64_t tokens; /* generated so far */
	int64_t sent; /* on this connection, counted from token 0 */
	int64_t max_tokens;
	int64_t detached_ms; /* when the client disconnected or the run ended */
	int64_t start_ms, end_ms; /* wall clock */
};
TAILQ_HEAD(run_list, run);
STAILQ_HEAD(run_log, run);

struct snapshot { /* state reported once it is `report_lag_ms` old */
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
	uint64_t generated_ids; /* for requests without one */
	int64_t frozen_until_ms;
	bool refuse;
	/* Faults of the next streams: how many have no framing, and how many
	 * end their body in order in the middle of an event. */
	int64_t unframed, break_in_event;
	char *crash_on; /* a request with this text crashes; NULL: none */
};

/* Parses and validates a chat request; if it is invalid, answers it and
 * returns NULL. */
struct run *run_parse(struct batch *b, SoupServerMessage *msg);
void run_free(struct run *run);

/* Sends the headers of the answer, which tell the client that the run has
 * started. */
void run_send_head(struct run *run);
/* Sends the tokens that were not sent yet; completes the answer of a run that
 * has ended. */
void run_send(struct run *run);
/* Refuses a run that did not start. */
void run_refuse(struct run *run, unsigned int status, const char *why);

#endif
