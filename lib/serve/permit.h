#ifndef SERVE_PERMIT_H
#define SERVE_PERMIT_H

/*
 * permit: a sidecar issues permits for a target with a rate limit, one for each
 * request, to the gateways in the order in which they asked. There is one pool
 * for all gateways: a limit holds however uneven their traffic is, and a
 * gateway that starts, stalls or is cut off uses none of it. Where the target
 * has a sidecar the pool is there: a gateway that can reach the target can
 * reach it, too. Pure.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define PERMIT_GATEWAY_MAX 24 /* fits "ip:port" */

struct permits {
	bool known; /* a gateway has reported the limit */
	double limit; /* requests a second; 0: none */
	int64_t since_us; /* the time as of which that holds, see rate.h */
	/* Since then an answer stated no limit; 0: none did. */
	int64_t ended_us;
	double tokens; /* permits available now */
	int64_t filled_us;
	GArray *requests; /* struct permit_request, oldest first */
};

/* A gateway's report of the limit. */
struct permit_report {
	double limit; /* 0: no limit */
	int64_t since_us;
	bool direct; /* from an answer to this gateway; else relayed */
};

void permits_init(struct permits *p);
void permits_clear(struct permits *p);
/* The target restarted: discards what is known of it. */
void permits_reset(struct permits *p);

/* True if the limit to be reported to gateways changed. */
bool permits_reported(
    struct permits *p, const struct permit_report *report, int64_t now_us);
/* The same, by the passing of time: a limit that has ended is lifted step by
 * step. */
bool permits_advance(struct permits *p, int64_t now_us);

/* `gateway` requests a permit. */
void permits_ask(struct permits *p, const char *gateway, int64_t now_us);
/* Issues the next permit, if one is available, and stores the address of the
 * gateway that gets it. */
bool permits_next(
    struct permits *p, char gateway[PERMIT_GATEWAY_MAX], int64_t now_us);

#endif
