#ifndef STANDIN_H
#define STANDIN_H

/*
 * Stand-ins for the systems outside: small HTTP servers that speak section 1
 * of docs/INTERFACES.md, with faults to order, and counts and logs that say
 * what truly happened. Each runs on the default main loop, so a test can hold
 * several in its own process. Nothing is kept beyond the process.
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

/* Listens on 127.0.0.1; port 0 picks one. Takes over `ctx`, also on failure,
 * when it returns NULL. */
struct standin *standin_new(SoupServer *server, unsigned int port, void *ctx,
    void (*ctx_free)(void *ctx), struct err *err);
/* Closes all connections, open ones too. */
void standin_free(struct standin *s);

/* Prints `ready PORT` and runs until SIGTERM or SIGINT; frees `s`. Returns
 * the exit status; a NULL `s` prints `err` and fails. */
int standin_serve(struct standin *s, const struct err *err);

/* Parses all of the command line by `table`. False after printing what is
 * wrong. */
bool standin_options(
    int argc, const char **argv, const struct poptOption *table);

/* ------------------------------------------------------------------ */
/* The stand-ins                                                       */
/* ------------------------------------------------------------------ */

struct objects_options {
	unsigned int port;
	const struct clk *clock; /* NULL: the system's, here and below */
};
struct standin *objects_start(
    const struct objects_options *options, struct err *err);
int objects_main(int argc, const char **argv);

struct origin_options {
	unsigned int port;
	const char *dir;
	int64_t bytes_s; /* over all connections together; 0: not paced */
	uint64_t seed; /* of the choice of corrupted answers */
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
	int64_t prefill_tokens_per_step; /* shared by all prompts of a step */
	int64_t cache_tokens;
	int64_t report_lag_ms;
	int64_t event_lag_ms;
	int event_gap; /* one in so many cache events is missing; 0: none */
	int64_t keep_ms; /* how long a run lives on without a connection */
	bool check_fence;
	const char *loaded; /* "MODEL:VERSION:DIGEST" loaded at the start */
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
/* Compares the logs of the stand-ins with what a caller received. */
int truth_main(int argc, const char **argv);
/* One line of a bench case, from the same two sources. */
int tally_main(int argc, const char **argv);
/* The JSON object at a stand-in's path; NULL after printing why. Free with
 * json_node_unref. */
JsonNode *standin_fetch(
    SoupSession *session, const char *base, const char *path);

/* ------------------------------------------------------------------ */
/* JSON and HTTP helpers                                               */
/* ------------------------------------------------------------------ */

/* The body as a JSON object; NULL after answering 400 when it is none. Free
 * with json_object_unref. */
JsonObject *body_object(SoupServerMessage *msg);
/* Members with a fallback for an absent one or one of another type. */
int64_t member_int(JsonObject *object, const char *name, int64_t fallback);
bool member_bool(JsonObject *object, const char *name, bool fallback);
const char *member_str(
    JsonObject *object, const char *name, const char *fallback);
/* Overwrites *value when the member is there. */
void member_int_into(JsonObject *object, const char *name, int64_t *value);

/* A builder with an object begun. */
JsonBuilder *json_begin(void);
void put_int(JsonBuilder *b, const char *name, int64_t value);
void put_bool(JsonBuilder *b, const char *name, bool value);
void put_str(JsonBuilder *b, const char *name, const char *value);
/* Ends the object; frees the builder. */
char *json_end(JsonBuilder *b, size_t *len);
/* Ends the object and makes it the answer. */
void reply_json(SoupServerMessage *msg, unsigned int status, JsonBuilder *b);
/* `{"error":TEXT}`. */
void reply_error(SoupServerMessage *msg, unsigned int status, const char *text);
/* 503 with `X-Not-Run: 1`: a refusal that had no effect. */
void reply_not_run(
    SoupServerMessage *msg, unsigned int status, const char *text);

const char *query_str(
    GHashTable *query, const char *name, const char *fallback);
int64_t query_int(GHashTable *query, const char *name, int64_t fallback);
int64_t header_int(SoupServerMessage *msg, const char *name, int64_t fallback);
bool is_method(SoupServerMessage *msg, const char *method);

/* Closes the connection as it stands, without (the rest of) an answer. */
void hang_up(SoupServerMessage *msg);

/*
 * A message whose answer comes later. libsoup does not look at the
 * connection of a paused message, so a caller that went away would be
 * noticed only by the next write; this looks.
 */
struct held;
typedef void held_gone(void *ctx);
/* Pauses the message. `gone` (may be NULL) is called once at most, when the
 * connection is done with: it broke, or the answer is out. It may free the
 * held message. */
struct held *held_new(SoupServerMessage *msg, held_gone *gone, void *ctx);
SoupServerMessage *held_msg(const struct held *h);
/* Lets libsoup write what the answer has by now. */
void held_write(struct held *h);
/* Lets go of the message; what is in its body is still sent. */
void held_free(struct held *h);
/* Breaks the connection and frees; `gone` is not called. */
void held_hang_up(struct held *h);

#endif
