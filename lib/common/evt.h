#ifndef COMMON_EVT_H
#define COMMON_EVT_H

/*
 * evt: structured log lines on standard output, one a decision that touches a
 * request or changes what the process believes:
 *
 *   t=1700000000.123 node=edge-a-1 ev=refused req=9c41 why=full wait_ms=140
 *
 * `t` is wall time in seconds, `ev` a name of the table below; the rest are
 * key=value pairs documented in docs/LOGS.md. Volume is bounded by a bucket a
 * class; what exceeds it is counted and the count logged. Nothing blocks:
 * when the pipe is full, lines are dropped and counted.
 */

#include "common/common.h"

/* X(symbol, name, class, when it is written) */
#define EVT_TABLE(X)                                                           \
	X(EVT_START, "start", EVT_STATE, "the process serves from now on")     \
	X(EVT_STOP, "stop", EVT_STATE, "a planned stop began, or ended")       \
	X(EVT_RELOAD, "reload", EVT_STATE, "the settings file was read again") \
	X(EVT_STORE_LOST, "store_lost", EVT_STATE,                             \
	    "the store stopped answering about a kind of objects")             \
	X(EVT_STORE_BACK, "store_back", EVT_STATE, "the store answers again")  \
	X(EVT_CONFIG, "config", EVT_STATE, "operators' settings are in force") \
	X(EVT_TARGET, "target", EVT_STATE, "a target is new or has changed")   \
	X(EVT_TARGET_GONE, "target_gone", EVT_STATE, "a target was removed")   \
	X(EVT_TARGET_REST, "target_rest", EVT_STATE,                           \
	    "a target is left alone after failures")                           \
	X(EVT_LIMIT, "limit", EVT_STATE,                                       \
	    "a target names another rate limit, or none any more")             \
	X(EVT_VERSION, "version", EVT_STATE, "new weights were named")         \
	X(EVT_READY, "ready", EVT_STATE, "readiness changed")                  \
	X(EVT_SIDE, "side", EVT_STATE, "a side's word changed what is known")  \
	X(EVT_WEIGHTS, "weights", EVT_STATE, "a step of bringing weights")     \
	X(EVT_ORDER, "order", EVT_STATE, "an order was given to the engine")   \
	X(EVT_ENGINE, "engine", EVT_STATE, "the engine beside changed state")  \
	X(EVT_DONE, "done", EVT_WELL, "a request was answered by a target")    \
	X(EVT_REFUSED, "refused", EVT_BAD, "a request was refused: not run")   \
	X(EVT_FAILED, "failed", EVT_BAD, "a request failed")                   \
	X(EVT_LEFT, "left", EVT_BAD, "the caller left before its answer")      \
	X(EVT_RETRY, "retry", EVT_BAD, "a request goes to another target")     \
	X(EVT_SUSPECT, "suspect", EVT_STATE,                                   \
	    "targets ended under a request: held back, or cleared")            \
	X(EVT_ODD, "odd", EVT_BAD, "an answer that is not ours was dropped")   \
	X(EVT_DROPPED, "lines_dropped", EVT_STATE, "lines were left out")

enum evt_class {
	EVT_STATE, /* changes of belief: rare */
	EVT_BAD, /* requests that did not go well */
	EVT_WELL, /* requests that did */
	EVT_CLASSES,
};

enum evt_name {
#define X(symbol, name, class, when) symbol,
	EVT_TABLE(X)
#undef X
	EVT_NAMES,
};

const char *evt_name(enum evt_name n);

/* Opens standard output for lines of `node`; once a process. */
void evt_open(const struct clk *clock, const char *program, const char *node);
void evt_close(void);
/* `format` gives the pairs after `ev`; values hold no blanks. */
void evt(enum evt_name n, const char *format, ...) G_GNUC_PRINTF(2, 3);
int64_t evt_dropped(void); /* lines left out so far */
int64_t evt_written(void);
/* Markdown table of all names, for docs/LOGS.md. */
void evt_print_names(GString *out);

#endif
