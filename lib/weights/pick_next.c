/* Chooses the next fetch. */

#include "weights/bits.h"
#include "weights/pick.h"

/* Chunks considered for the rarest, from a random start. Bounds the time of a
 * choice for versions of many thousand chunks; the result is as good as the
 * rarest of all chunks. */
#define SCAN_CANDIDATES 1024

/* ------------------------------------------------------------------ */
/* Reading from the origin                                             */
/* ------------------------------------------------------------------ */

/*
 * How long a claim keeps this host from reading the chunk: its reader may have
 * failed. The first reader retries its own failed read without this wait, or
 * the chunks tried last would be retried a second after the origin has
 * recovered. To another host that took over it only leaves the time of a read:
 * claims do not tell that a read failed.
 */
static int64_t
claim_wait_us(const struct pick *p, const struct pick_chunk *c,
    unsigned int rank, int64_t timeout_us)
{
	if (rank > 0 || !(c->corrupt_reads > 0 || c->read_failed))
		return MAX(rank, 1) * timeout_us;
	return c->claimed_rank > 0 ? p->read_time_us : 0;
}

/* Earliest time at which this host may read `index`, given its rank and the
 * claims received. */
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
	if (c->claimed)
		due = MAX(
		    due, c->claimed_us + claim_wait_us(p, c, rank, timeout_us));
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
 * A reader with a slow link still sends claims, so no other host takes over,
 * and all hosts wait for its chunks while the origin is idle. A reader that has
 * read all of its own chunks therefore takes over those that a slow reader has
 * not begun, or began so long ago that they should have arrived. Claims keep
 * two hosts from taking over the same chunk. The cost is a second copy of the
 * few chunks in transit.
 */
#define SLOW_FACTOR 2 /* times this host's own time per chunk */
#define SLOW_CLAIMS 2 /* needed before a rate is known */
#define SLOW_READS 4 /* times the duration of this host's reads */
#define SLOW_CHECK_US 50000 /* interval of the comparison of rates */

/* `missing` is the number of the reader's chunks that no host is known to have.
 * A reader is slow if it would take longer for these than the timeout after
 * which a failed reader is replaced. */
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

/* Finds the slow readers. False while this host has own chunks to read. */
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

/* Finds a chunk to take over from a slow reader. */
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

/* Extra copies are divided evenly among the hosts; this is the number of chunks
 * of one host. */
static uint64_t
extra_read_quota(const struct pick *p)
{
	uint64_t extra = (uint64_t)(p->conf.origin_copies - 1) * p->conf.chunks;

	return (extra + p->conf.members - 1) / p->conf.members;
}

/*
 * Finds a missing chunk that no connected peer has and that this host may read
 * now. The lowest rank is preferred: after an outage of the origin this host
 * may also read chunks of other readers, and would otherwise leave its own to
 * them. If there is no such chunk, stores the earliest time at which there may
 * be one. Claims only postpone that time, so the scan isn't repeated before it
 * unless an event resets next_read_us.
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

/* If more than one copy is allowed, the origin's link is idle once all chunks
 * of the first copy have been claimed; hosts that have no peer to request from
 * may use it. */
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
/* Requests to peers                                                   */
/* ------------------------------------------------------------------ */

/* A peer that failed twice in a row appears idle and would be chosen first, and
 * each request to it would last until the stall timeout. */
static bool
is_last_resort(const struct pick_peer *peer)
{
	return peer->failures >= PICK_FAILURES_LAST_RESORT;
}

/*
 * Estimates the uploads that a request would wait for. The reported load
 * decreases by one per chunk time: peers without changes send no updates, so if
 * the last value were kept, a peer that was busy once would never be asked
 * again.
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

/* A chunk that some host of this domain has is requested from another domain
 * only after this number of additional steps: the hosts of this domain are then
 * busy or unavailable. */
#define STEPS_IF_IN_DOMAIN 6

/* Whether `index` may be requested from another domain now. */
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

/* Finds a missing chunk of `peer` with the fewest holders. */
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
		/* Reads of the origin have their own stall timeout. */
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
		return "waiting for the member list";
	if (p->read_failures > 0)
		return "the origin does not answer";
	if (TAILQ_EMPTY(&p->peers))
		return "no peer is connected";
	return "no connected peer can send the missing chunks now";
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
