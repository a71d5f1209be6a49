#ifndef SERVE_ACCT_H
#define SERVE_ACCT_H

/*
 * acct: retry accounts that outlive their gateways' processes. The slack of the
 * retry budget is divided by the number of gateways, and what a gateway has
 * retried stays in the window when its process ends or others no longer hear
 * it. So each gateway sends copies of its account to a few sidecars, and the
 * next process at its address gets them back and continues the account. Until
 * an account has had all retries for one window, and while no sidecar could take
 * a copy, a gateway retries only by the ratio of its own requests. The number of
 * gateways includes those that sent something in the last minute. Pure.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "serve/side.h"

#define ACCT_GATEWAY_MAX 24 /* fits "ip:port" */
#define ACCT_GATEWAYS_MAX 4096
/* A gateway that has sent nothing for longer no longer shares the slack. */
#define ACCT_RETAIN_US 60000000
/* Without a retry, a gateway sends copies at this interval. */
#define ACCT_REFRESH_US 1000000

/* ------------------------------------------------------------------ */
/* The gateway's side                                                  */
/* ------------------------------------------------------------------ */

/* Which copy an account was continued from. */
struct acct_origin {
	uint64_t start; /* of the gateway process that made it; 0: none */
	uint64_t seq; /* of the copies of that process */
	int64_t made_us;
	int64_t known_us; /* from then on it has all retries */
	unsigned int sharers; /* that it knew of; 0: none */
};

struct acct {
	int64_t started_us;
	int64_t known_us; /* from then on the account has all retries */
	struct acct_origin origin;
	unsigned int sharers; /* 0: not known */
	int64_t sharers_us; /* when they were last reported */
};

/* Whether a gateway may use its share of the slack, and if not, why. */
enum acct_state {
	ACCT_UNKNOWN, /* earlier processes may have retries in the window */
	ACCT_ALONE, /* no sidecar is there to take a copy */
	ACCT_NOT_COUNTED, /* the number of sharers is not known */
	ACCT_USABLE,
};

void acct_start(struct acct *a, int64_t now_us);
/* A sidecar's count of the gateways that share the slack. True if the number
 * applied here changed; a lower one applies once no sidecar has reported more
 * for ACCT_RETAIN_US. */
bool acct_reported(struct acct *a, unsigned int sharers, int64_t now_us);
/* Whether the account is to be continued from this copy in place of the one
 * before; if so, notes that it is. `is_current`: no retries came after it. */
bool acct_offered(struct acct *a, const struct acct_origin *origin,
    bool is_current, int64_t now_us);
/* True until the retries of earlier processes are known or have expired. */
bool acct_wants_copy(const struct acct *a, int64_t window_us, int64_t now_us);
/* Whether to send copies. Not while that of the process before may still arrive,
 * as they replace it. */
bool acct_may_copy(const struct acct *a, int64_t window_us, int64_t now_us);
enum acct_state acct_state(
    const struct acct *a, int64_t window_us, bool has_sidecar, int64_t now_us);
const char *acct_state_name(enum acct_state state);

/* ------------------------------------------------------------------ */
/* The sidecar's side                                                  */
/* ------------------------------------------------------------------ */

/* The last copy of each gateway's account. */
struct acct_copies {
	GHashTable *gateways; /* address -> struct acct_gateway */
	int64_t swept_us;
};

void acct_copies_init(struct acct_copies *c);
void acct_copies_clear(struct acct_copies *c);
/* A sign of life of the process `start` of a gateway. */
void acct_copies_heard(
    struct acct_copies *c, const char *gateway, uint64_t start, int64_t now_us);
/* Replaces the copy of the gateway's account. */
void acct_copies_put(struct acct_copies *c, const char *gateway,
    const struct side_account *message, int64_t now_us);
/* The message for the process `start` of the gateway with the copy that an
 * earlier one made, valid until the next call; false: there is none. */
bool acct_copies_get(const struct acct_copies *c, const char *gateway,
    uint64_t start, int64_t now_us, struct side_account *out);
/* Number of gateways that share the slack. */
unsigned int acct_copies_sharers(struct acct_copies *c, int64_t now_us);

#endif
