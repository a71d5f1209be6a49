#ifndef COMMON_EVT_H
#define COMMON_EVT_H

/*
 * evt: structured log lines on standard output, one per decision that affects
 * a request or changes the process's state:
 *
 *   t=1700000000.123 node=edge-a-1 ev=refused req=9c41 why=full wait_ms=140
 *
 * `t` is the wall-clock time in seconds, `ev` a name from the table below; the
 * other key=value pairs are documented in docs/LOGS.md. A token bucket per
 * class limits the volume. Writing never blocks: lines that exceed the limit
 * or do not fit in the pipe are dropped, and their number is logged.
 */

#include "common/common.h"

/* X(symbol, name, class, when it is written) */
#define EVT_TABLE(X)                                                             \
	X(EVT_START, "start", EVT_STATE, "the process started to serve")         \
	X(EVT_STOP, "stop", EVT_STATE, "a planned stop began or ended")          \
	X(EVT_RELOAD, "reload", EVT_STATE, "the settings file was reloaded")     \
	X(EVT_STORE_LOST, "store_lost", EVT_STATE,                               \
	    "the store stopped responding for one kind of object")               \
	X(EVT_STORE_BACK, "store_back", EVT_STATE, "the store responds again")   \
	X(EVT_STORE_WATCH, "store_watch", EVT_STATE,                             \
	    "the store ended a watch early, or answered a later one")            \
	X(EVT_STORE_DOWN, "store_down", EVT_STATE,                               \
	    "the store answers no call of this process, or does again")          \
	X(EVT_STORE_STALE, "store_stale", EVT_STATE,                             \
	    "an answer of the store was older than what is known")               \
	X(EVT_STORE_READ, "store_read", EVT_STATE,                               \
	    "an answer of the store had values that later ones in it replace")   \
	X(EVT_STORE_ENTRY, "store_entry", EVT_STATE,                             \
	    "an object of the store cannot be read, and counts for nothing")     \
	X(EVT_STORE_LIST, "store_list", EVT_STATE,                               \
	    "a list of the store leads to no end, or could be read again")       \
	X(EVT_STORE_HISTORY, "store_history", EVT_STATE,                         \
	    "the store was restored from an older copy; it is listed again")     \
	X(EVT_CONFIG, "config", EVT_STATE,                                       \
	    "operators' settings became active")                                 \
	X(EVT_TARGET, "target", EVT_STATE, "a target was added or changed")      \
	X(EVT_TARGET_REMOVED, "target_gone", EVT_STATE,                          \
	    "a target was removed")                                              \
	X(EVT_TARGET_BACKOFF, "target_rest", EVT_STATE,                          \
	    "a target is in backoff after failures")                             \
	X(EVT_TARGET_HEARD, "target_heard", EVT_STATE,                           \
	    "a target sends again after a request reached its stall timeout")    \
	X(EVT_LIMIT, "limit", EVT_STATE,                                         \
	    "a target announced another rate limit, or none")                    \
	X(EVT_NOTICE, "notice", EVT_STATE,                                       \
	    "a target announced in an answer that it stops, or when to retry")   \
	X(EVT_VERSION, "version", EVT_STATE, "a new version was announced")      \
	X(EVT_DEADLINE, "deadline", EVT_STATE,                                   \
	    "an outage of the store puts deadlines of versions off, or ended")   \
	X(EVT_READY, "ready", EVT_STATE, "readiness changed")                    \
	X(EVT_CALLERS, "callers", EVT_STATE,                                     \
	    "the limit of caller connections was reached, or no longer is")      \
	X(EVT_CLOSED, "closed", EVT_FAILURE,                                     \
	    "a caller's connection was closed with bytes not read or not sent")  \
	X(EVT_HELD_UP, "held_up", EVT_STATE,                                     \
	    "the process ran late: it stood still or had too much to do")        \
	X(EVT_SIDE, "side", EVT_STATE,                                           \
	    "a sidecar's report changed the local state")                        \
	X(EVT_WEIGHTS, "weights", EVT_STATE,                                     \
	    "a step of the transfer of weights")                                 \
	X(EVT_ORDER, "order", EVT_STATE, "an order was sent to the engine")      \
	X(EVT_ENGINE, "engine", EVT_STATE,                                       \
	    "the engine on this host changed state")                             \
	X(EVT_DONE, "done", EVT_SUCCESS, "a target answered a request")          \
	X(EVT_REFUSED, "refused", EVT_FAILURE,                                   \
	    "a request was refused and not executed")                            \
	X(EVT_FAILED, "failed", EVT_FAILURE, "a request failed")                 \
	X(EVT_DISCONNECTED, "left", EVT_FAILURE,                                 \
	    "the caller disconnected before the response")                       \
	X(EVT_RETRY, "retry", EVT_FAILURE,                                       \
	    "a request is sent to another target")                               \
	X(EVT_RECALL, "recall", EVT_FAILURE,                                     \
	    "a request was cancelled at a target whose weights become too old")  \
	X(EVT_BUDGET, "budget", EVT_FAILURE,                                     \
	    "the retry budget was charged with an attempt, or denied one")       \
	X(EVT_SHARERS, "sharers", EVT_STATE,                                     \
	    "another number of gateways shares the retry budget")                \
	X(EVT_ACCOUNT, "account", EVT_STATE,                                     \
	    "an earlier process's retries are known, or the share of the slack " \
	    "may be used, or not")                                               \
	X(EVT_SUSPECT, "suspect", EVT_STATE,                                     \
	    "a request suspected of terminating targets was blocked or cleared") \
	X(EVT_UNEXPECTED, "odd", EVT_FAILURE,                                    \
	    "a response to another request was dropped")                         \
	X(EVT_DROPPED, "lines_dropped", EVT_STATE, "log lines were dropped")

enum evt_class {
	EVT_STATE, /* state changes, which are rare */
	EVT_FAILURE, /* unsuccessful requests */
	EVT_SUCCESS, /* successful requests */
	EVT_CLASSES,
};

enum evt_name {
#define X(symbol, name, class, when) symbol,
	EVT_TABLE(X)
#undef X
	EVT_NAMES,
};

const char *evt_name(enum evt_name n);

/* Opens standard output for log lines of `node`; to be called once. */
void evt_open(const struct clk *clock, const char *node);
void evt_close(void);
/* `format` produces the pairs after `ev`; values contain no blanks. Control
 * characters are written as '?'. */
void evt(enum evt_name n, const char *format, ...) G_GNUC_PRINTF(2, 3);
int64_t evt_dropped(void); /* lines dropped so far */
int64_t evt_written(void);
/* Prints all names as a Markdown table, for docs/LOGS.md. */
void evt_print_names(GString *out);

#endif
