#ifndef STANDIN_CALLER_H
#define STANDIN_CALLER_H

/* Internal interfaces of the load generator: validation of answers, counters
 * and latency histograms. */

#include "standin/standin.h"

/* ------------------------------------------------------------------ */
/* Checking an answer                                                  */
/* ------------------------------------------------------------------ */

/* Outcome of a request; each request has exactly one. */
enum outcome {
	OUTCOME_ANSWERED, /* complete and correct */
	OUTCOME_REFUSED, /* an error status */
	OUTCOME_CUT, /* tokens or the end marker are missing */
	OUTCOME_MIXED, /* several versions, or another than X-Model-Digest */
	OUTCOME_SWAPPED, /* tokens of another request */
	OUTCOME_DUPLICATED, /* a repeated token, or more than max_tokens */
	OUTCOME_UNANSWERED, /* the connection failed before a status */
	OUTCOME_UNFINISHED, /* still open when the load generator gave up */
	OUTCOMES,
};
const char *outcome_name(enum outcome outcome);

#define CHECK_DIGEST 8 /* hex digits of the digest in a token's text */

struct check {
	char *request_id; /* NULL until known */
	char digest[CHECK_DIGEST + 1]; /* "" until known */
	int64_t max_tokens;
	int64_t next; /* expected index of the next token */
	bool gap, mixed, swapped, duplicated;
	bool error; /* an `event: error` was received */
	bool done; /* the end marker was received */
	GString *line; /* incomplete line of a stream */
	JsonParser *parser;
};

/* If `request_id` or `model_digest` is NULL, because the answer lacks the
 * header, the value is taken from the first token. */
void check_init(struct check *c, const char *request_id,
    const char *model_digest, int64_t max_tokens);
void check_clear(struct check *c);
/* Processes the next bytes of an event stream; returns the number of tokens
 * that they complete. */
size_t check_stream(struct check *c, const char *data, size_t len);
/* Processes the complete body of an answer that is not a stream. */
void check_body(struct check *c, const char *data, size_t len);
enum outcome check_outcome(const struct check *c);

/* ------------------------------------------------------------------ */
/* Measuring                                                           */
/* ------------------------------------------------------------------ */

/* Histogram with logarithmic buckets; a value is known to within 3 %. */
#define HIST_STEPS 32 /* buckets from one power of two to the next */
#define HIST_BUCKETS (HIST_STEPS * 40)

struct hist {
	uint64_t count;
	uint64_t max;
	uint64_t buckets[HIST_BUCKETS];
};
void hist_add(struct hist *h, int64_t value);
/* Returns an upper bound that `permille` of all values do not exceed; 0 if the
 * histogram is empty. */
uint64_t hist_at(const struct hist *h, unsigned int permille);

struct stats {
	int64_t sent;
	int64_t by_outcome[OUTCOMES];
	int64_t by_verdict[3]; /* of refusals, by enum verdict */
	int64_t without_verdict; /* refusals without X-Verdict */
	int64_t cut_with_error;
	int64_t repeated_ids; /* answers with a request id used before */
	int64_t without_id; /* answers without X-Request-Id */
	int64_t tokens;
	struct hist first_token, between_tokens, complete,
	    refusal; /* microseconds */
	GHashTable *digests; /* char * -> count of answers */
	GHashTable *errors; /* char * -> count */
	GHashTable *ids; /* request ids seen */
	GString *list; /* JSON items if a list was requested, else NULL */
};
void stats_init(struct stats *s, bool list);
void stats_clear(struct stats *s);
void stats_error(struct stats *s, const char *text);

struct stats_result { /* result of one request */
	enum outcome outcome;
	const struct check *check;
	bool has_id; /* the answer has X-Request-Id */
	const char *verdict; /* X-Verdict, or NULL */
	const char *attempts; /* X-Attempts, or NULL */
	int64_t took_us;
};
void stats_add(struct stats *s, const struct stats_result *result);
/* Returns the summary as a JSON object; free with g_free. */
char *stats_print(const struct stats *s, int64_t sending_ms);

#endif
