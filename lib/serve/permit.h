#ifndef SERVE_PERMIT_H
#define SERVE_PERMIT_H

/*
 * permit: a side hands out permits for a target that names a rate limit, one a
 * request, to the entries that ask, in the order in which they asked. One pool
 * for all entries: a limit holds however uneven their traffic is, and an entry
 * that starts, stands still or is cut off uses none. Where the target has a side
 * the pool stands there: whoever can reach the target can reach it. Pure.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define PERMIT_ENTRY_MAX 24 /* "ip:port" with room */

struct permits {
	bool knows; /* some entry has told */
	double limit; /* requests a second; 0: none */
	int64_t since_us; /* the moment for which that holds, see rate.h */
	int64_t ended_us; /* an answer named none since then; 0: no */
	double tokens; /* permits that could be given now */
	int64_t filled_us;
	GArray *asks; /* struct permit_ask, oldest first */
};

/* What an entry tells of the limit. */
struct permit_word {
	double limit; /* 0: none is named */
	int64_t since_us;
	bool own; /* by an answer to it; else it only passes on what it heard */
};

void permits_init(struct permits *p);
void permits_clear(struct permits *p);
/* The target started again: nothing is known of it. */
void permits_forget(struct permits *p);

/* True when what entries should be told has changed. */
bool permits_heard(
    struct permits *p, const struct permit_word *word, int64_t now_us);
/* The same, as time goes by: a limit that has ended is lifted step by step. */
bool permits_settle(struct permits *p, int64_t now_us);

/* `entry` wants to send a request. */
void permits_ask(struct permits *p, const char *entry, int64_t now_us);
/* Whether there is a permit for some entry now; its address. */
bool permits_next(
    struct permits *p, char entry[PERMIT_ENTRY_MAX], int64_t now_us);

#endif
