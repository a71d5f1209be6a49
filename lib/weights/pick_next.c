/* The choice of the next fetch. */

#include "weights/bits.h"
#include "weights/pick.h"

/* The rarest of so many, from a random start on: bounds the time of a choice
 * in versions of many thousand chunks, and is as good as the rarest of all. */
#define SCAN_CANDIDATES 1024

/* ------------------------------------------------------------------ */
/* Reading from the origin                                             */
/* ------------------------------------------------------------------ */

/* When this host may read `index`, by its rank and the claims heard of. */
static int64_t
read_due_us(const struct pick *p, uint64_t index, unsigned int rank)
{
	const struct pick_chunk *c = &p->chunks[index];
	int64_t timeout_us = pick_claim_timeout_us(p);
	int64_t due =
	    MAX(p->start_us + (int64_t)rank * timeout_us, p->settle_until_us);
	unsigned int lower_rank;

	if (c->corrupt_reads > 0 || p->read_failures > 0)
		due = MAX(due, p->read_backoff_until_us);
	/* Claimed and not seen since: its reader may have died with it. A
	 * read that failed here is repeated without that wait, or an origin
	 * that is back would hear of the last tried chunks a second later. */
	if (c->claimed &&
	    !(rank == 0 && (c->corrupt_reads > 0 || c->read_failed)))
		due = MAX(due, c->claimed_us + MAX(rank, 1) * timeout_us);
	for (lower_rank = 0; lower_rank < MIN(rank, PICK_RANK_UNKNOWN);
	     lower_rank++) {
		int64_t claim = p->claims_us[c->reader][lower_rank];

		if (claim != 0)
			due =
			    MAX(due, claim + (rank - lower_rank) * timeout_us);
	}
	return due;
}

/*
 * A reader whose link is slow shows with each claim that it lives, so nobody
 * steps in for it, and all hosts wait for its chunks while the origin idles. So
 * whoever is through with its own chunks takes over those that such a reader has
 * not begun, or began so long ago that they would be here. Claims keep two others
 * from reading the same; it costs a second copy of the few that are on their way.
 */
#define SLOW_FACTOR 2 /* times this host's own time a chunk */
#define SLOW_CLAIMS 2 /* before a pace is known */
#define SLOW_READS 4 /* times this host's own read */
#define SLOW_CHECK_US 50000 /* until paces are compared again */

/* `left`: its chunks that no host is known to have. A silent reader is given a
 * time; one that will take longer than that is not waited for, either. */
static bool
is_slow_reader(
    const struct pick *p, unsigned int reader, uint64_t missing, int64_t now_us)
{
	const struct pick_reader_rate *own, *other = &p->reader_rates[reader];
	int64_t own_us, other_us;

	if (p->rank.self == reader)
		return false;
	own = &p->reader_rates[p->rank.self];
	if (own->claims < SLOW_CLAIMS || other->claims < SLOW_CLAIMS)
		return false;
	own_us = (own->last_us - own->first_us) / (own->claims - 1);
	other_us = (now_us - other->first_us) / other->claims;
	return other_us > SLOW_FACTOR * own_us &&
	    other_us * (int64_t)missing > pick_claim_timeout_us(p);
}

static bool
is_in_flight(const struct pick *p, const struct pick_chunk *c, int64_t now_us)
{
	return c->claimed &&
	    now_us - c->claimed_us <= SLOW_READS * p->read_time_us;
}

static bool
is_origin_only(const struct pick_chunk *c)
{
	return c->state == PICK_MISSING && c->holders == 0;
}

/* Which readers are slow; false while this host has chunks of its own to read. */
static bool
find_slow_readers(const struct pick *p, int64_t now_us, bool slow[RANK_READERS])
{
	uint64_t missing[RANK_READERS] = { 0 };
	unsigned int reader;
	uint64_t i;

	for (i = 0; i < p->conf.chunks; i++)
		missing[p->chunks[i].reader] += is_origin_only(&p->chunks[i]);
	if (missing[p->rank.self] > 0)
		return false;
	for (reader = 0; reader < RANK_READERS; reader++)
		slow[reader] =
		    is_slow_reader(p, reader, missing[reader], now_us);
	return true;
}

/* A chunk that a slow reader does not bring. */
static bool
find_takeover(const struct pick *p, int64_t now_us, struct rng *rng,
    struct pick_action *out)
{
	bool slow[RANK_READERS];
	const struct pick_chunk *c;
	unsigned int ties = 0;
	uint64_t i;

	if (!find_slow_readers(p, now_us, slow))
		return false;
	for (i = 0; i < p->conf.chunks; i++) {
		c = &p->chunks[i];
		if (is_origin_only(c) && slow[c->reader] &&
		    !is_in_flight(p, c, now_us) && rng_below(rng, ++ties) == 0)
			out->index = i;
	}
	if (ties == 0)
		return false;
	out->kind = PICK_READ;
	out->rank = rank_self(&p->rank, out->index);
	return true;
}

/* Extra copies are split evenly; this is one host's part. */
static uint64_t
extra_read_quota(const struct pick *p)
{
	uint64_t extra = (uint64_t)(p->conf.origin_copies - 1) * p->conf.chunks;

	return (extra + p->conf.members - 1) / p->conf.members;
}

/*
 * Finds a missing chunk that no connected peer has and that this host may
 * read now: one of its lowest rank, as after a time without the origin it may
 * read others' chunks, too, and would leave its own to them. Otherwise gives
 * the earliest time at which one may be, and keeps it: claims only put it off,
 * so the scan need not be made again before, unless an event below resets it.
 */
static bool
find_read(struct pick *p, int64_t now_us, struct rng *rng,
    struct pick_action *out, int64_t *due_us)
{
	uint64_t words = bits_words(p->conf.chunks);
	uint64_t first = rng_below(rng, words);
	uint64_t i;
	bool found = false;

	*due_us = p->next_read_us;
	if (now_us < p->next_read_us)
		return false;
	*due_us = INT64_MAX;
	for (i = 0; i < words; i++) {
		uint64_t at = (first + i) % words;
		uint64_t missing = p->need[at];

		for (; missing != 0; missing &= missing - 1) {
			uint64_t index =
			    at * BITS_WORD + (uint64_t)__builtin_ctzll(missing);
			unsigned int rank;
			int64_t due;

			if (p->chunks[index].holders > 0)
				continue;
			rank = rank_self(&p->rank, index);
			due = read_due_us(p, index, rank);
			*due_us = MIN(*due_us, due);
			if (due > now_us || (found && rank >= out->rank))
				continue;
			found = true;
			out->kind = PICK_READ;
			out->index = index;
			out->rank = rank;
			if (rank == 0)
				return true;
		}
	}
	if (found)
		return true;
	if (p->rank.self != RANK_NONE && p->read_failures == 0 &&
	    p->reader_rates[p->rank.self].claims >= SLOW_CLAIMS) {
		if (find_takeover(p, now_us, rng, out))
			return true;
		*due_us = MIN(*due_us, now_us + SLOW_CHECK_US);
	}
	p->next_read_us = *due_us;
	return false;
}

/* With more than one copy allowed: once the first copy is under way the
 * origin's link is idle, and hosts with nothing to ask for may use it. */
static bool
find_extra_read(const struct pick *p, int64_t now_us, struct rng *rng,
    struct pick_action *out)
{
	uint64_t words = bits_words(p->conf.chunks);
	uint64_t first = rng_below(rng, words);
	uint64_t i;

	if (p->conf.origin_copies < 2 || p->unclaimed > 0 ||
	    p->extra_reads >= extra_read_quota(p) ||
	    now_us < p->read_backoff_until_us)
		return false;
	for (i = 0; i < words; i++) {
		uint64_t at = (first + i) % words;

		if (p->need[at] == 0)
			continue;
		out->kind = PICK_READ;
		out->index =
		    at * BITS_WORD + (uint64_t)__builtin_ctzll(p->need[at]);
		out->rank = PICK_RANK_UNKNOWN;
		out->extra = true;
		return true;
	}
	return false;
}

/* ------------------------------------------------------------------ */
/* Asking peers                                                        */
/* ------------------------------------------------------------------ */

/* A peer that failed twice in a row looks idle and would be asked first,
 * and each ask would wait out the patience. */
static bool
is_last_resort(const struct pick_peer *peer)
{
	return peer->failures >= PICK_FAILURES_LAST_RESORT;
}

/*
 * Uploads that an ask would wait behind. What the peer last said wears off by
 * one a chunk time: it is not told again by peers that have nothing to say,
 * and taken for lasting, a peer once busy would never be asked again.
 */
static unsigned int
estimated_load(
    const struct pick *p, const struct pick_peer *peer, int64_t now_us)
{
	int64_t done = (now_us - peer->load_at_us) / pick_chunk_us(p);

	return peer->open_requests +
	    (done < peer->load ? peer->load - (unsigned int)done : 0);
}

static bool
can_request(const struct pick *p, const struct pick_peer *peer, int64_t now_us)
{
	if (is_last_resort(peer) && p->open_requests > 0)
		return false;
	return peer->open_requests < PICK_REQUESTS_PER_PEER &&
	    peer->backoff_until_us <= now_us &&
	    estimated_load(p, peer, now_us) < PICK_LOAD_MAX;
}

/* A chunk that is in this domain is asked of others only when it has been
 * there for so many steps without coming: near hosts are busy or gone. */
#define STEPS_IF_IN_DOMAIN 6

/* Whether another domain may be asked for `index` now. */
static bool
cross_domain_is_due(struct pick *p, uint64_t index, int64_t now_us)
{
	const struct pick_chunk *c = &p->chunks[index];
	int64_t steps = c->cross_domain_rank;
	int64_t due_us;

	if (p->conf.cross_domain_step_us == 0)
		return true;
	if (c->domain_holders > 0)
		steps += STEPS_IF_IN_DOMAIN;
	due_us =
	    c->cross_domain_since_us + steps * p->conf.cross_domain_step_us;
	if (due_us <= now_us)
		return true;
	p->cross_domain_due_us = MIN(p->cross_domain_due_us, due_us);
	return false;
}

/* The rarest missing chunk that `peer` has, or one of the rarest. */
static bool
find_rarest(struct pick *p, const struct pick_peer *peer, int64_t now_us,
    struct rng *rng, uint64_t *index_out)
{
	uint64_t words = bits_words(p->conf.chunks);
	uint64_t first = rng_below(rng, words);
	uint32_t best = UINT32_MAX;
	unsigned int ties = 0;
	unsigned int candidates = 0;
	uint64_t i;

	for (i = 0; i < words && candidates < SCAN_CANDIDATES; i++) {
		uint64_t at = (first + i) % words;
		uint64_t missing = p->need[at] & peer->bits[at];

		for (; missing != 0; missing &= missing - 1) {
			uint64_t index =
			    at * BITS_WORD + (uint64_t)__builtin_ctzll(missing);
			uint32_t holders = p->chunks[index].holders;

			if (!peer->same_domain &&
			    !cross_domain_is_due(p, index, now_us))
				continue;
			candidates++;
			if (holders < best)
				ties = 0;
			if (holders > best || rng_below(rng, ++ties) != 0)
				continue;
			best = holders;
			*index_out = index;
		}
	}
	return best != UINT32_MAX;
}

static bool
better_peer(const struct pick *p, const struct pick_peer *a,
    const struct pick_peer *b, int64_t now_us)
{
	if (is_last_resort(a) != is_last_resort(b))
		return is_last_resort(b);
	if (a->same_domain != b->same_domain)
		return a->same_domain;
	return estimated_load(p, a, now_us) < estimated_load(p, b, now_us);
}

static bool
find_request(
    struct pick *p, int64_t now_us, struct rng *rng, struct pick_action *out)
{
	const struct pick_peer *peer;
	const struct pick_peer *best = NULL;
	unsigned int ties = 0;
	uint64_t index;

	TAILQ_FOREACH (peer, &p->peers, link) {
		if (!can_request(p, peer, now_us))
			continue;
		if (best != NULL && better_peer(p, best, peer, now_us))
			continue;
		if (best == NULL || better_peer(p, peer, best, now_us))
			ties = 0;
		if (rng_below(rng, ++ties) != 0 ||
		    !find_rarest(p, peer, now_us, rng, &index))
			continue;
		best = peer;
		out->index = index;
	}
	if (best == NULL)
		return false;
	out->kind = PICK_REQUEST;
	out->peer = (struct pick_peer *)best;
	return true;
}

/* ------------------------------------------------------------------ */
/* The choice                                                          */
/* ------------------------------------------------------------------ */

static bool
find_stalled(const struct pick *p, int64_t now_us, struct pick_action *out)
{
	int64_t timeout_us = pick_stall_timeout_us(p);
	struct pick_fetch *fetch;

	TAILQ_FOREACH (fetch, &p->fetches, link) {
		/* Reads of the origin have their own stall limit. */
		if (fetch->peer == NULL)
			continue;
		if (now_us - fetch->last_byte_us >= timeout_us) {
			out->kind = PICK_EXPIRE;
			out->index = fetch->index;
			out->peer = fetch->peer;
			return true;
		}
		out->until_us =
		    MIN(out->until_us, fetch->last_byte_us + timeout_us);
	}
	return false;
}

static const char *
wait_reason(const struct pick *p)
{
	if (p->open_requests + p->open_reads > 0)
		return "";
	if (!p->ranked)
		return "waits for the list of members";
	if (p->read_failures > 0)
		return "the origin does not answer";
	if (TAILQ_EMPTY(&p->peers))
		return "no peer is connected";
	return "no connected peer has the missing chunks free to send";
}

static void
limit_wait_to_backoffs(
    const struct pick *p, int64_t now_us, struct pick_action *out)
{
	const struct pick_peer *peer;

	TAILQ_FOREACH (peer, &p->peers, link) {
		int64_t due = peer->backoff_until_us;

		if (due <= now_us &&
		    estimated_load(p, peer, now_us) >= PICK_LOAD_MAX)
			due = now_us + pick_chunk_us(p);
		if (due > now_us)
			out->until_us = MIN(out->until_us, due);
	}
}

static bool
may_read(const struct pick *p)
{
	return p->ranked && p->conf.origin_copies > 0 &&
	    p->open_reads < p->conf.max_reads;
}

static unsigned int
max_requests(const struct pick *p)
{
	return pick_is_link_slow(p) ? 1 : PICK_REQUESTS_MAX;
}

void
pick_next(struct pick *p, bool may_fetch, int64_t now_us, struct rng *rng,
    struct pick_action *out)
{
	int64_t due_us = INT64_MAX;

	*out = (struct pick_action){ .kind = PICK_WAIT, .until_us = INT64_MAX };
	if (p->have == p->conf.chunks) {
		out->kind = PICK_DONE;
		return;
	}
	if (find_stalled(p, now_us, out))
		return;
	if (may_fetch && may_read(p) && find_read(p, now_us, rng, out, &due_us))
		return;
	if (may_fetch && p->open_requests + p->open_reads < max_requests(p) &&
	    now_us < p->pause_until_us) {
		out->until_us = MIN(out->until_us, p->pause_until_us);
	} else if (may_fetch &&
	    p->open_requests + p->open_reads < max_requests(p)) {
		p->cross_domain_due_us = INT64_MAX;
		if (find_request(p, now_us, rng, out))
			return;
		out->until_us = MIN(out->until_us, p->cross_domain_due_us);
		if (may_read(p) && find_extra_read(p, now_us, rng, out))
			return;
		limit_wait_to_backoffs(p, now_us, out);
	}
	out->until_us = MIN(out->until_us, due_us);
	out->why = wait_reason(p);
}
