#ifndef STANDIN_H
#define STANDIN_H

/*
 * Stand-ins for the external systems: small HTTP servers that implement
 * section 1 of docs/INTERFACES.md, with fault injection, and with counters and
 * logs of what was actually run. Each runs on the default main loop, so a test
 * can run several in its own process. All state is in memory.
 */

#include <json-glib/json-glib.h>
#include <libsoup/soup.h>
#include <popt.h>

#include "common/common.h"

/* ------------------------------------------------------------------ */
/* A running stand-in                                                  */
/* ------------------------------------------------------------------ */

struct standin {
	SoupServer *server;
	unsigned int port; /* on 127.0.0.1 */
	void *ctx;
	void (*ctx_free)(void *ctx);
};

/* Listens on 127.0.0.1; port 0 picks a free port. Takes ownership of `server`
 * and `ctx`, also on failure, when it returns NULL. */
struct standin *standin_new(SoupServer *server, unsigned int port, void *ctx,
    void (*ctx_free)(void *ctx), struct err *err);
/* Closes all connections, including those with requests in progress. */
void standin_free(struct standin *s);

/* Prints `ready PORT`, runs until SIGTERM or SIGINT and frees `s`. Returns the
 * exit status. If `s` is NULL, prints `err` and fails. */
int standin_serve(struct standin *s, const struct err *err);

/* Parses the command line according to `table`. Prints an error and returns
 * false if it is invalid. */
bool standin_options(
    int argc, const char **argv, const struct poptOption *table);

/* ------------------------------------------------------------------ */
/* The stand-ins                                                       */
/* ------------------------------------------------------------------ */

struct objects_options {
	unsigned int port;
	const struct clk *clock; /* NULL: system clock, here and below */
};
struct standin *objects_start(
    const struct objects_options *options, struct err *err);
int objects_main(int argc, const char **argv);

struct origin_options {
	unsigned int port;
	const char *dir;
	int64_t bytes_s; /* rate limit of all connections; 0: unlimited */
	uint64_t seed; /* for the choice of corrupted answers */
	const struct clk *clock;
};
struct standin *origin_start(
    const struct origin_options *options, struct err *err);
int origin_main(int argc, const char **argv);

struct hosts_options {
	unsigned int port;
	int64_t lag_ms;
	const struct clk *clock;
};
struct standin *hosts_start(
    const struct hosts_options *options, struct err *err);
int hosts_main(int argc, const char **argv);

struct engine_options {
	unsigned int port;
	int slots;
	int step_ms;
	int max_queue; /* waiting requests before a refusal */
	int64_t prefill_tokens_per_step; /* shared by all prompts in a step */
	int64_t cache_tokens;
	int64_t report_lag_ms;
	int64_t event_lag_ms;
	int event_gap; /* every n-th cache event is omitted; 0: none */
	int64_t keep_ms; /* how long a disconnected run continues */
	bool check_fence;
	const char *loaded; /* "MODEL:VERSION:DIGEST" loaded at startup */
	const struct clk *clock;
};
#define ENGINE_OPTIONS_DEFAULT                                            \
	{                                                                 \
		.slots = 32, .step_ms = 7, .max_queue = 64,               \
		.prefill_tokens_per_step = 2048, .cache_tokens = 1 << 18, \
		.keep_ms = 3000                                           \
	}
struct standin *engine_start(
    const struct engine_options *options, struct err *err);
int engine_main(int argc, const char **argv);

struct service_options {
	unsigned int port;
	const char *name;
	const struct clk *clock;
};
struct standin *service_start(
    const struct service_options *options, struct err *err);
int service_main(int argc, const char **argv);

int caller_main(int argc, const char **argv);
/* Compares the logs of the stand-ins with the answers that a caller
 * received. */
int truth_main(int argc, const char **argv);
/* Prints one line for a bench case, from the same logs and summaries. */
int tally_main(int argc, const char **argv);
/* Fetches the JSON object at a stand-in's path; prints an error and returns
 * NULL on failure. Free with json_node_unref. */
JsonNode *standin_fetch(
    SoupSession *session, const char *base, const char *path);

/* ------------------------------------------------------------------ */
/* JSON and HTTP helpers                                               */
/* ------------------------------------------------------------------ */

/* Parses the body as a JSON object; answers 400 and returns NULL if it is
 * none. Free with json_object_unref. */
JsonObject *body_object(SoupServerMessage *msg);
/* Return a member's value, or `fallback` if the member is absent or has
 * another type. */
int64_t member_int(JsonObject *object, const char *name, int64_t fallback);
bool member_bool(JsonObject *object, const char *name, bool fallback);
const char *member_str(
    JsonObject *object, const char *name, const char *fallback);
/* Overwrites *value if the member is present. */
void member_int_into(JsonObject *object, const char *name, int64_t *value);

/* Decrements the remaining count of an injected fault; false if it is zero. */
bool consume_fault(int64_t *count);

/* Returns a builder with an open object. */
JsonBuilder *json_begin(void);
void put_int(JsonBuilder *b, const char *name, int64_t value);
void put_bool(JsonBuilder *b, const char *name, bool value);
void put_str(JsonBuilder *b, const char *name, const char *value);
/* Closes the object, frees the builder and returns the text. */
char *json_end(JsonBuilder *b, size_t *len);
/* Closes the object and sends it as the answer; frees the builder. */
void reply_json(SoupServerMessage *msg, unsigned int status, JsonBuilder *b);
/* Answers `{"error":TEXT}`. */
void reply_error(SoupServerMessage *msg, unsigned int status, const char *text);
/* Like reply_error, with `X-Not-Run: 1`: the request had no effect. */
void reply_not_run(
    SoupServerMessage *msg, unsigned int status, const char *text);

const char *query_str(
    GHashTable *query, const char *name, const char *fallback);
int64_t query_int(GHashTable *query, const char *name, int64_t fallback);
int64_t header_int(SoupServerMessage *msg, const char *name, int64_t fallback);
bool is_method(SoupServerMessage *msg, const char *method);

/* The answer has neither a length nor chunks. */
void end_by_close(SoupServerMessage *msg);

/* Closes the connection at once, without completing the answer. */
void hang_up(SoupServerMessage *msg);

/*
 * A paused message, answered later. libsoup does not poll the connection of a
 * paused message, so it would notice a disconnected caller only at the next
 * write; a deferred message polls the connection itself.
 */
struct deferred;
typedef void deferred_closed(void *ctx);
/* Pauses the message. `on_closed` (may be NULL) is called at most once, when
 * the connection has failed or the answer is complete. It may free the
 * deferred message. */
struct deferred *deferred_new(
    SoupServerMessage *msg, deferred_closed *on_closed, void *ctx);
SoupServerMessage *deferred_msg(const struct deferred *d);
/* Lets libsoup write the part of the answer that is available. */
void deferred_write(struct deferred *d);
/* Releases the message; data already in its body is still sent. */
void deferred_free(struct deferred *d);
/* Closes the connection and frees `d`; `on_closed` is not called. */
void deferred_hang_up(struct deferred *d);

#endif
