#ifndef SERVE_STOP_H
#define SERVE_STOP_H

/* stop: how far a planned stop has come, and what is next. Pure. */

#include <stdbool.h>
#include <stdint.h>

enum stop_step {
	STOP_SERVE, /* as before, but each answer ends its connection */
	STOP_REJECT, /* no new connections; what is under way goes on */
	STOP_EXIT, /* the process may go */
};

struct stop_state {
	int64_t since_us; /* the stop was asked for */
	int64_t grace_us; /* from then to the end of the process */
	unsigned int active; /* requests not yet answered */
	unsigned int connections; /* callers' */
};

enum stop_step stop_next(const struct stop_state *s, int64_t now_us);

#endif
