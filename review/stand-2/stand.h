#ifndef STAND_H
#define STAND_H

/*
 * stand: a small stand-in for the platform, for the cases in review/6 to 10:
 * its store, model engines with a staging area, the origin of weights, and
 * callers. One process, a thread for each connection. What the pages leave open
 * is done as a sound server would do it.
 */

#include <pthread.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define ST_TEXT 256
#define ST_CHUNKS 96
#define ST_CHUNK_BYTES 24576
#define ST_LAYERS 16
#define ST_UNNOTICED_MS 3000
#define ST_MODEL "model-a"
#define ST_LLM "writer"
#define ST_PLAIN "desk"
#define ST_KEY "key-of-tenant-a"
#define ST_TENANT "tenant-a"

/* ------------------------------------------------------------------ */
/* Time and record                                                     */
/* ------------------------------------------------------------------ */

int64_t st_now_ms(void); /* since the begin of the process */
void st_sleep_until(int64_t at_ms);
/* Opens the record; lines bear the time since the begin. */
bool st_record_open(const char *path);
void st_record(const char *format, ...) __attribute__((format(printf, 1, 2)));

/* ------------------------------------------------------------------ */
/* HTTP messages                                                       */
/* ------------------------------------------------------------------ */

#define ST_HEAD_MAX 16384

struct st_conn {
	int fd;
	char in[65536];
	size_t have; /* bytes in `in` */
};

struct st_message {
	char head[ST_HEAD_MAX + 1];
	char method[16], target[ST_TEXT];
	int status;
	char *body;
	size_t body_len;
};

/* The value of a header, or "". */
const char *st_header(
    const struct st_message *m, const char *name, char out[ST_TEXT]);
/* Reads a message with its body; false at the end of the connection. */
bool st_read(struct st_conn *c, struct st_message *m, bool is_answer);
void st_message_free(struct st_message *m);
bool st_write(int fd, const void *data, size_t len);
/* Writes an answer with a length; `headers` are whole lines. */
bool st_answer(
    int fd, int status, const char *headers, const void *body, size_t len);
bool st_has_left(int fd);
/* A connection to IP:PORT; -1: refused. */
int st_dial(const char *address);

typedef void st_handler(struct st_conn *c, struct st_message *m, void *ctx);
/* Serves the address in threads of its own; false if it is taken. */
bool st_serve(const char *address, st_handler *handler, void *ctx);

/* ------------------------------------------------------------------ */
/* The store                                                           */
/* ------------------------------------------------------------------ */

bool st_store_open(const char *address);
/* Returns the time of the store's acknowledgement. */
int64_t st_store_put(const char *kind, const char *name, const char *spec);
int64_t st_store_remove(const char *kind, const char *name);
/* Watches from before this moment get 410. */
void st_store_discard_history(void);
/* Closes the channels of the watches of a kind that wait now; returns their
 * number. */
unsigned int st_store_cut_watches(const char *kind);

/* ------------------------------------------------------------------ */
/* Engines and the origin                                              */
/* ------------------------------------------------------------------ */

struct st_engine {
	char id[ST_TEXT], address[ST_TEXT], zone[ST_TEXT];
	const char *service;
	int slots, queue;
	int first_ms, event_ms; /* to the first event, and between events */
	bool keeps; /* requests whose channel was closed, too */
	/* Set by the stand-in. */
	pthread_mutex_t lock;
	pthread_cond_t changed;
	int64_t version, loading;
	int from, to; /* the layers that it holds, and that are loaded */
	int loading_from, loading_to;
	/* Layers that were taken with a piece that had been spoilt for longer than
	 * ST_UNNOTICED_MS, or that is of another version. */
	bool unsound[ST_LAYERS];
	bool preempts;
	unsigned int preempted; /* orders that cut what was running */
	unsigned int sequence;
	int running, waiting;
	unsigned int next_ticket, served_ticket;
	uint8_t *staged[ST_CHUNKS];
	int64_t spoilt_ms[ST_CHUNKS]; /* since when; 0: it is sound */
	bool draining;
	bool frozen; /* the machine stands still: set by the case */
	int64_t reached_ms; /* last request that reached it */
};

/* A request begins to run at an engine, with its first event. */
typedef void st_begun(
    const struct st_engine *e, const char *id, int64_t version);
extern st_begun *st_on_begun; /* NULL: none */
/* A request reached an engine. */
typedef void st_reached(const struct st_engine *e, const char *id);
extern st_reached *st_on_reached;
/* An order has arrived at an engine, which has not looked at it yet. */
typedef void st_ordered(struct st_engine *e);
extern st_ordered *st_on_ordered;

/* A bit of a staged piece turns. */
void st_engine_spoil(struct st_engine *e, int piece);
bool st_engine_is_unsound(const struct st_engine *e);

void st_engine_publish(struct st_engine *e);

struct st_platform {
	const char *net; /* the first three numbers of the addresses */
	bool resumable; /* the route of streams */
	struct st_engine *engines;
	int nengines;
};

/* The origin's process ends, or starts again. */
void st_origin_set_down(bool down);

/* Opens the store at NET.9, the origin at NET.8 and engine i at NET.(10 + i), and
 * writes the settings. False if an address is taken. */
bool st_platform_open(const struct st_platform *p);

/* ------------------------------------------------------------------ */
/* Callers                                                             */
/* ------------------------------------------------------------------ */

struct st_call {
	char gateway[ST_TEXT], host[ST_TEXT], path[ST_TEXT], id[ST_TEXT];
	const char *method;
	int events; /* of a stream that is asked for */
	int deadline_ms;
	int64_t sent_ms, ended_ms;
	int status; /* 0: none */
	bool whole;
	pthread_t thread;
};

/* A request for a stream of so many events, to gateway `gateway`, from 1. */
void st_call_stream(
    struct st_call *c, const char *net, int gateway, int number, int events);
/* Sends the request in a thread of its own; st_call_wait() joins it. */
void st_call_start(struct st_call *c);
void st_call_wait(struct st_call *c);
/* Waits until gateway `gateway` says that it is ready; false after `ms`. */
bool st_await_ready(const char *net, int gateway, int ms);

#endif
