#ifndef SERVE_RATE_H
#define SERVE_RATE_H

/*
 * rate: how a gateway applies the rate limit that an overloaded target states
 * in its answers: the requests a second that it takes from all gateways
 * together, for as long as it does so.
 *
 * Each gateway that knows of a limit needs a permit for each request. One place
 * issues permits for all gateways (permit.h), so that the limit holds for their
 * sum however uneven their traffic is: the target's sidecar or, where it has
 * none, a sidecar on which the gateways agree. While that is not responding,
 * each gateway sends in time slots of its own. Pure.
 */

#include <stdbool.h>
#include <stdint.h>

/* A limit of zero is applied as this many requests a second, so that its end
 * is noticed. */
#define RATE_MIN 0.25

/* Between processes a limit is sent in thousandths of a request a second. */
uint64_t rate_to_milli(double limit);
double rate_of_milli(uint64_t milli);

struct rate {
	double limit; /* requests a second; 0: no limit */
	/*
	 * What answers to this gateway stated last, and the time as of which
	 * that holds: when the answer with a limit came in, or when the request
	 * was sent whose answer had none. 0: no answer yet.
	 */
	double local_limit;
	int64_t local_us;
	bool side_known; /* the sidecar has reported the limit */
	double side_limit; /* as last reported by the sidecar */
	int64_t permit_us; /* a permit is available until then; 0: none */
	int64_t asked_us; /* last request for a permit */
	int64_t sent_us; /* last request to the target */
};

/* Gateways that share a target while no sidecar issues permits for it. */
struct rate_share {
	unsigned int gateways;
	double phase; /* of this gateway's time slots, in [0, 1) */
};

/*
 * An answer arrived to a request that was sent at `asked_us`. `limit` is what
 * it states; 0: none. True if the limit applied here changed. While the
 * target's own sidecar is alive, the sidecar decides when a limit has ended.
 */
bool rate_answered(struct rate *r, double limit, int64_t asked_us,
    bool side_alive, int64_t now_us);
/* The sidecar's report of the limit, 0: none; not called while the sidecar
 * does not know it. True if the limit applied here changed. */
bool rate_side_reported(struct rate *r, double limit, int64_t now_us);
/* Another gateway's report of a limit; ignored once an answer to this
 * gateway stated one or none. True if the limit applied here changed. */
bool rate_relayed(struct rate *r, double limit);
/* Whether answers to this gateway differ from what the sidecar knows, so
 * that it should be sent a report. */
bool rate_needs_report(const struct rate *r);

/* Whether a request may be sent now. `share` NULL: a sidecar issues permits. */
bool rate_allows(
    const struct rate *r, const struct rate_share *share, int64_t now_us);
void rate_sent(struct rate *r, int64_t now_us);

/* Whether to request a permit from the sidecar; if so, the request is
 * counted as sent. */
bool rate_ask(struct rate *r, int64_t now_us);
void rate_permit(struct rate *r, int64_t now_us);

#endif
