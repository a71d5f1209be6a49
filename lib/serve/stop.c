/* The course of a planned stop. */

#include "serve/stop.h"

/*
 * The balancer needs two questions, a second apart, to send nobody here any
 * more; until LISTEN_US connections are still taken. A request that came
 * later could not end within the grace, so from then on callers are turned
 * away unread, which lets them go elsewhere.
 */
#define LISTEN_US 2600000
/* So long before the end of the grace what still runs is broken off. */
#define MARGIN_US 400000

enum stop_step
stop_next(const struct stop_state *s, int64_t now_us)
{
	int64_t since_us = now_us - s->since_us;

	if (since_us < LISTEN_US)
		return STOP_SERVE;
	if (since_us >= s->grace_us - MARGIN_US)
		return STOP_EXIT;
	/* A request that is answered may still be on its way out: ended with
	 * the process, its last bytes would be lost, and the answer cut. Its
	 * connection is there until the caller has it. */
	if (s->active > 0 || s->connections > 0)
		return STOP_REJECT;
	return STOP_EXIT;
}
