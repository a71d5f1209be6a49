/* Phases of a graceful shutdown. */

#include "serve/stop.h"

/*
 * The load balancer needs two health checks, one second apart, to stop sending
 * callers here; new connections are accepted until LISTEN_US after the request
 * to stop. A request that arrives later could not complete within the grace
 * period. So from then on connections are rejected unread, which lets callers
 * go elsewhere, and a request that was being read is refused once it is complete.
 */
#define LISTEN_US 2600000
/* Requests still running this long before the end of the grace period are cut
 * off. */
#define MARGIN_US 400000

enum stop_step
stop_next(const struct stop_state *s, int64_t now_us)
{
	int64_t since_us = now_us - s->since_us;

	if (since_us >= s->grace_us - MARGIN_US)
		return STOP_EXIT;
	if (since_us < LISTEN_US)
		return STOP_SERVE;
	/* The last bytes of a finished answer may not have been sent yet; they
	 * would be lost if the process exited. The connection stays open until
	 * the caller has received them. */
	if (s->active > 0 || s->connections > 0)
		return STOP_REJECT;
	return STOP_EXIT;
}
