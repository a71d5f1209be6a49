#ifndef STANDIN_CALLER_H
#define STANDIN_CALLER_H

/* The parts of the load generator: the check of an answer, and what is
 * counted and measured. */

#include "standin/standin.h"

/* ------------------------------------------------------------------ */
/* Checking an answer                                                  */
/* ------------------------------------------------------------------ */

/* How a request ended; each ends in exactly one way. */
enum outcome {
	OUTCOME_ANSWERED, /* whole and right */
	OUTCOME_REFUSED, /* an error status */
	OUTCOME_CUT, /* tokens missing, or no end */
	OUTCOME_MIXED, /* from two versions, or not from the one named */
	OUTCOME_SWAPPED, /* of another request */
	OUTCOME_DUPLICATED, /* a token twice, or more than asked for */
	OUTCOME_UNANSWERED, /* the connection failed before a status */
	OUTCOME_UNFINISHED, /* still open when the caller gave up */
	OUTCOMES,
};
const char *outcome_name(enum outcome outcome);

#define CHECK_DIGEST 8 /* hex digits of the digest in a token's text */

struct check {
	char *request_id; /* NULL until known */
	char digest[CHECK_DIGEST + 1]; /* "" until known */
	int64_t max_tokens;
	int64_t next; /* index of the token to come */
	bool gap, mixed, swapped, duplicated;
	bool error; /* an `event: error` came */
	bool done; /* the end came */
	GString *line; /* of a stream, not yet whole */
	JsonParser *parser;
};

/* Headers that are missing (NULL) are taken from the first token. */
void check_init(struct check *c, const char *request_id,
    const char *model_digest, int64_t max_tokens);
void check_clear(struct check *c);
/* Bytes of an event stream as they come; returns the tokens in them. */
size_t check_stream(struct check *c, const char *data, size_t len);
/* The whole body of an answer that is no stream. */
void check_body(struct check *c, const char *data, size_t len);
enum outcome check_outcome(const struct check *c);

/* ------------------------------------------------------------------ */
/* Measuring                                                           */
/* ------------------------------------------------------------------ */

/* Counts of values in buckets that widen with the value, to within 3 %. */
#define HIST_STEPS 32 /* buckets from one power of two to the next */
#define HIST_BUCKETS (HIST_STEPS * 40)

struct hist {
	uint64_t count;
	uint64_t max;
	uint64_t buckets[HIST_BUCKETS];
};
void hist_add(struct hist *h, int64_t value);
/* The value that `permille` of all stay at or below; 0 when empty. */
uint64_t hist_at(const struct hist *h, unsigned int permille);

struct stats {
	int64_t sent;
	int64_t by_outcome[OUTCOMES];
	int64_t by_verdict[3]; /* of refusals, by enum verdict */
	int64_t without_verdict; /* refusals that named none */
	int64_t cut_with_error;
	int64_t repeated_ids; /* answers under an id seen before */
	int64_t without_id; /* answers that came without X-Request-Id */
	int64_t tokens;
	struct hist first_token, between_tokens, whole,
	    refusal; /* microseconds */
	GHashTable *digests; /* char * -> count of answers */
	GHashTable *errors; /* char * -> count */
	GHashTable *ids; /* request ids seen */
	GString *list; /* JSON items, when asked for */
};
void stats_init(struct stats *s, bool list);
void stats_clear(struct stats *s);
void stats_error(struct stats *s, const char *text);

struct stats_end { /* of a request */
	enum outcome outcome;
	const struct check *check;
	bool named; /* it came with X-Request-Id */
	const char *verdict; /* X-Verdict, NULL without */
	const char *attempts; /* X-Attempts, NULL without */
	int64_t took_us;
};
void stats_add(struct stats *s, const struct stats_end *end);
/* One JSON object; g_free. */
char *stats_print(const struct stats *s, int64_t sending_ms);

#endif
