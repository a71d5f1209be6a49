#ifndef SERVE_STOP_H
#define SERVE_STOP_H

/* stop: phases of a graceful shutdown. Does no I/O. */

#include <stdbool.h>
#include <stdint.h>

enum stop_step {
	STOP_SERVE, /* serve requests, but close connections after the answer */
	/* No new connections, and no request begins; those in flight
	 * continue. */
	STOP_REJECT,
	STOP_EXIT, /* the process may exit */
};

struct stop_state {
	int64_t since_us; /* when the stop was requested */
	int64_t grace_us; /* from since_us until the process must exit */
	unsigned int active; /* unanswered requests */
	unsigned int connections; /* from callers */
};

enum stop_step stop_next(const struct stop_state *s, int64_t now_us);

#endif
