#ifndef SERVE_RATE_H
#define SERVE_RATE_H

/*
 * rate: what an entry makes of the rate limit that a target in need names in
 * its answers: requests a second that it takes from all entries together, for
 * as long as it names it.
 *
 * Each entry that knows of a limit needs a permit for each request. Permits are
 * handed out in one place for all entries (permit.h), so that one limit holds
 * for all of them however uneven their traffic is: by the side of the target,
 * or, where it has none, by a side on which the entries agree. While that is not
 * heard, each entry has its turns by the clock. Pure.
 */

#include <stdbool.h>
#include <stdint.h>

/* A limit of nothing is taken as this many requests a second, so that its end
 * is found out. */
#define RATE_LEAST 0.25

/* Between processes a limit goes in thousandths of a request a second. */
uint64_t rate_to_milli(double limit);
double rate_of_milli(uint64_t milli);

struct rate {
	double limit; /* requests a second; 0: none */
	/*
	 * What this entry's own answers told last, and the moment for which it
	 * holds: when the answer that named a limit came in, or when the request
	 * was sent whose answer named none. 0: no word yet.
	 */
	double own;
	int64_t own_us;
	bool side_knows;
	double side_limit; /* the side's last word */
	int64_t permit_us; /* there is a permit until then; 0: none */
	int64_t asked_us; /* for a permit, last */
	int64_t sent_us; /* the last request */
};

/* Entries that share a target while nobody gives permits for it. */
struct rate_share {
	unsigned int entries;
	double phase; /* of this entry's turns, 0 up to 1 */
};

/*
 * An answer came to a request that was sent at `asked_us`. `limit` is what it
 * names; 0: none. True when what this entry holds to has changed. While the
 * target's own side is heard, it decides when a limit has ended.
 */
bool rate_answered(struct rate *r, double limit, int64_t asked_us,
    bool side_heard, int64_t now_us);
/* The side's word about the limit, 0: none; not given while the side does not
 * know. True when what this entry holds to has changed. */
bool rate_told(struct rate *r, double limit, int64_t now_us);
/* Another's word that there is a limit, while no answer here has told. True
 * when what this entry holds to has changed. */
bool rate_heard(struct rate *r, double limit);
/* Whether the side should be told of this entry's answers. */
bool rate_is_news(const struct rate *r);

/* Whether a request may be sent now. `share` NULL: a side gives permits. */
bool rate_allows(
    const struct rate *r, const struct rate_share *share, int64_t now_us);
void rate_sent(struct rate *r, int64_t now_us);

/* Whether to ask the side for a permit; counts as asked if so. */
bool rate_ask(struct rate *r, int64_t now_us);
void rate_permit(struct rate *r, int64_t now_us);

#endif
