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
	int64_t silence = pick_claim_timeout_us(p);
	int64_t due =
	    MAX(p->start_us + (int64_t)rank * silence, p->settle_until_us);
	unsigned int ahead;

	if (c->corrupt_reads > 0 || p->read_failures > 0)
		due = MAX(due, p->read_backoff_until_us);
	/* Claimed and not seen since: its reader may have died with it. A
	 * read that failed here is repeated without that wait, or an origin
	 * that is back would hear of the last tried chunks a second later. */
	if (c->claimed &&
	    !(rank == 0 && (c->corrupt_reads > 0 || c->read_failed)))
		due = MAX(due, c->claimed_us + MAX(rank, 1) * silence);
	for (ahead = 0; ahead < MIN(rank, PICK_RANK_UNKNOWN); ahead++) {
		int64_t claim = p->claims_us[c->reader][ahead];

		if (claim != 0)
			due = MAX(due, claim + (rank - ahead) * silence);
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
#define SLOW_PACE 2 /* times this host's own time a chunk */
#define SLOW_CLAIMS 2 /* before a pace is known */
#define SLOW_READS 4 /* times this host's own read */
#define SLOW_LOOK_US 50000 /* until paces are compared again */

/* `left`: its chunks that no host is known to have. A silent reader is given a
 * time; one that will take longer than that is not waited for, either. */
static bool
is_slow_reader(
    const struct pick *p, unsigned int reader, uint64_t left, int64_t now_us)
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
	return other_us > SLOW_PACE * own_us &&
	    other_us * (int64_t)left > pick_claim_timeout_us(p);
}

static bool
is_on_its_way(const struct pick *p, const struct pick_chunk *c, int64_t now_us)
{
	return c->claimed &&
	    now_us - c->claimed_us <= SLOW_READS * p->read_time_us;
}

static bool
is_nowhere(const struct pick_chunk *c)
{
	return c->state == PICK_MISSING && c->holders == 0;
}

/* Which readers are slow; false while this host has chunks of its own to read. */
static bool
find_slow_readers(const struct pick *p, int64_t now_us, bool slow[RANK_READERS])
{
	uint64_t left[RANK_READERS] = { 0 };
	unsigned int reader;
	uint64_t i;

	for (i = 0; i < p->conf.chunks; i++)
		left[p->chunks[i].reader] += is_nowhere(&p->chunks[i]);
	if (left[p->rank.self] > 0)
		return false;
	for (reader = 0; reader < RANK_READERS; reader++)
		slow[reader] = is_slow_reader(p, reader, left[reader], now_us);
	return true;
}

/* A chunk that a slow reader does not bring. */
static bool
find_take_over(const struct pick *p, int64_t now_us, struct rng *rng,
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
		if (is_nowhere(c) && slow[c->reader] &&
		    !is_on_its_way(p, c, now_us) && rng_below(rng, ++ties) == 0)
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
extra_share(const struct pick *p)
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
		uint64_t left = p->need[at];

		for (; left != 0; left &= left - 1) {
			uint64_t index =
			    at * BITS_WORD + (uint64_t)__builtin_ctzll(left);
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
		if (find_take_over(p, now_us, rng, out))
			return true;
		*due_us = MIN(*due_us, now_us + SLOW_LOOK_US);
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
	    p->extra_reads >= extra_share(p) ||
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
is_doubtful(const struct pick_peer *peer)
{
	return peer->failures >= PICK_FAILURES_LAST_RESORT;
}

/*
 * Uploads that an ask would wait behind. What the peer last said wears off by
 * one a chunk time: it is not told again by peers that have nothing to say,
 * and taken for lasting, a peer once busy would never be asked again.
 */
static unsigned int
load_of(const struct pick *p, const struct pick_peer *peer, int64_t now_us)
{
	int64_t done = (now_us - peer->load_at_us) / pick_chunk_us(p);

	return peer->open_requests +
	    (done < peer->load ? peer->load - (unsigned int)done : 0);
}

static bool
can_ask(const struct pick *p, const struct pick_peer *peer, int64_t now_us)
{
	if (is_doubtful(peer) && p->open_requests > 0)
		return false;
	return peer->open_requests < PICK_REQUESTS_PER_PEER &&
	    peer->backoff_until_us <= now_us &&
	    load_of(p, peer, now_us) < PICK_LOAD_MAX;
}

/* A chunk that is in this domain is asked of others only when it has been
 * there for so many steps without coming: near hosts are busy or gone. */
#define FAR_STEPS_NEAR 6

/* Whether another domain may be asked for `index` now. */
static bool
far_is_due(struct pick *p, uint64_t index, int64_t now_us)
{
	const struct pick_chunk *c = &p->chunks[index];
	int64_t steps = c->cross_domain_rank;
	int64_t due_us;

	if (p->conf.cross_domain_step_us == 0)
		return true;
	if (c->domain_holders > 0)
		steps += FAR_STEPS_NEAR;
	due_us =
	    c->cross_domain_since_us + steps * p->conf.cross_domain_step_us;
	if (due_us <= now_us)
		return true;
	p->cross_domain_due_us = MIN(p->cross_domain_due_us, due_us);
	return false;
}

/* The rarest missing chunk that `peer` has, or one of the rarest. */
static bool
rarest_of(struct pick *p, const struct pick_peer *peer, int64_t now_us,
    struct rng *rng, uint64_t *index_out)
{
	uint64_t words = bits_words(p->conf.chunks);
	uint64_t first = rng_below(rng, words);
	uint32_t best = UINT32_MAX;
	unsigned int ties = 0;
	unsigned int seen = 0;
	uint64_t i;

	for (i = 0; i < words && seen < SCAN_CANDIDATES; i++) {
		uint64_t at = (first + i) % words;
		uint64_t left = p->need[at] & peer->bits[at];

		for (; left != 0; left &= left - 1) {
			uint64_t index =
			    at * BITS_WORD + (uint64_t)__builtin_ctzll(left);
			uint32_t holders = p->chunks[index].holders;

			if (!peer->same_domain && !far_is_due(p, index, now_us))
				continue;
			seen++;
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
	if (is_doubtful(a) != is_doubtful(b))
		return is_doubtful(b);
	if (a->same_domain != b->same_domain)
		return a->same_domain;
	return load_of(p, a, now_us) < load_of(p, b, now_us);
}

static bool
find_ask(
    struct pick *p, int64_t now_us, struct rng *rng, struct pick_action *out)
{
	const struct pick_peer *peer;
	const struct pick_peer *best = NULL;
	unsigned int ties = 0;
	uint64_t index;

	TAILQ_FOREACH (peer, &p->peers, link) {
		if (!can_ask(p, peer, now_us))
			continue;
		if (best != NULL && better_peer(p, best, peer, now_us))
			continue;
		if (best == NULL || better_peer(p, peer, best, now_us))
			ties = 0;
		if (rng_below(rng, ++ties) != 0 ||
		    !rarest_of(p, peer, now_us, rng, &index))
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
find_expired(const struct pick *p, int64_t now_us, struct pick_action *out)
{
	int64_t patience = pick_stall_timeout_us(p);
	struct pick_fetch *ask;

	TAILQ_FOREACH (ask, &p->fetches, link) {
		/* Reads of the origin have their own stall limit. */
		if (ask->peer == NULL)
			continue;
		if (now_us - ask->last_byte_us >= patience) {
			out->kind = PICK_EXPIRE;
			out->index = ask->index;
			out->peer = ask->peer;
			return true;
		}
		out->until_us =
		    MIN(out->until_us, ask->last_byte_us + patience);
	}
	return false;
}

static const char *
why_waiting(const struct pick *p)
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
earliest_rest(const struct pick *p, int64_t now_us, struct pick_action *out)
{
	const struct pick_peer *peer;

	TAILQ_FOREACH (peer, &p->peers, link) {
		int64_t due = peer->backoff_until_us;

		if (due <= now_us && load_of(p, peer, now_us) >= PICK_LOAD_MAX)
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
asks_max(const struct pick *p)
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
	if (find_expired(p, now_us, out))
		return;
	if (may_fetch && may_read(p) && find_read(p, now_us, rng, out, &due_us))
		return;
	if (may_fetch && p->open_requests + p->open_reads < asks_max(p) &&
	    now_us < p->pause_until_us) {
		out->until_us = MIN(out->until_us, p->pause_until_us);
	} else if (may_fetch &&
	    p->open_requests + p->open_reads < asks_max(p)) {
		p->cross_domain_due_us = INT64_MAX;
		if (find_ask(p, now_us, rng, out))
			return;
		out->until_us = MIN(out->until_us, p->cross_domain_due_us);
		if (may_read(p) && find_extra_read(p, now_us, rng, out))
			return;
		earliest_rest(p, now_us, out);
	}
	out->until_us = MIN(out->until_us, due_us);
	out->why = why_waiting(p);
}
