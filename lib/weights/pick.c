/* The choice of the next fetch, and the state it is made from. */

#include <string.h>

#include "weights/bits.h"
#include "weights/pick.h"

#define SECOND_US 1000000
#define PATIENCE_MIN_US (SECOND_US / 2) /* above scheduling and TCP hiccups */
#define PATIENCE_MAX_US (30 * (int64_t)SECOND_US)
#define PATIENCE_GAPS 4 /* times the usual longest gap */
#define FIRST_GAP_CHUNKS 8 /* before anything was measured, in chunk times */
#define SILENCE_MIN_US SECOND_US /* a claim passes all hosts well within */
#define SILENCE_MAX_US (60 * (int64_t)SECOND_US)
#define SILENCE_CHUNKS 16 /* times a chunk takes on this host's link */
#define SILENCE_READS 4 /* times a read was measured to take */
#define BUSY_REST_CHUNKS 2 /* chunk times until a busy peer is asked again */
#define STRIKE_REST_US (SECOND_US / 4)
#define STRIKES_MAX 8
#define READ_REST_US (SECOND_US / 4)
#define READ_REST_MAX_US (8 * (int64_t)SECOND_US)
/* The rarest of so many, from a random start on: bounds the time of a choice
 * in versions of many thousand chunks, and is as good as the rarest of all. */
#define SCAN_CANDIDATES 1024
#define AVERAGE_SHARE 8 /* of the newest sample: one eighth */

static int64_t
chunk_time_us(const struct pick *p)
{
	return 1 +
	    (int64_t)((double)p->conf.chunk_bytes * SECOND_US /
		(double)p->conf.rate);
}

static void
average(int64_t *value, int64_t sample)
{
	*value += (sample - *value) / AVERAGE_SHARE;
}

int64_t
pick_patience_us(const struct pick *p)
{
	int64_t us = PATIENCE_MIN_US + PATIENCE_GAPS * p->gap_us;

	return MIN(us, PATIENCE_MAX_US);
}

int64_t
pick_silence_us(const struct pick *p)
{
	int64_t us =
	    MAX(SILENCE_CHUNKS * chunk_time_us(p), SILENCE_READS * p->read_us);

	return MIN(SILENCE_MIN_US + us, SILENCE_MAX_US);
}

/* ------------------------------------------------------------------ */
/* Events                                                              */
/* ------------------------------------------------------------------ */

struct pick *
pick_new(const struct pick_conf *conf, int64_t now_us)
{
	struct pick *p = g_new0(struct pick, 1);
	uint64_t i;

	p->conf = *conf;
	p->start_us = now_us;
	p->unclaimed = conf->chunks;
	p->chunks = g_new0(struct pick_chunk, conf->chunks);
	p->need = bits_new(conf->chunks);
	for (i = 0; i < conf->chunks; i++)
		bits_set(p->need, i);
	TAILQ_INIT(&p->peers);
	TAILQ_INIT(&p->asks);
	p->gap_us = FIRST_GAP_CHUNKS * chunk_time_us(p);
	return p;
}

static void
remove_ask(struct pick *p, struct pick_ask *ask)
{
	TAILQ_REMOVE(&p->asks, ask, link);
	if (ask->peer != NULL) {
		ask->peer->open--;
		p->open_asks--;
	} else {
		p->open_reads--;
	}
	g_free(ask);
}

void
pick_free(struct pick *p)
{
	struct pick_ask *ask;

	if (p == NULL)
		return;
	g_assert(TAILQ_EMPTY(&p->peers));
	while ((ask = TAILQ_FIRST(&p->asks)) != NULL)
		remove_ask(p, ask);
	g_free(p->chunks);
	g_free(p->need);
	g_free(p);
}

static bool
same_readers(const struct rank *a, const struct rank *b)
{
	return a->nreaders == b->nreaders &&
	    memcmp(a->reader, b->reader, sizeof(a->reader)) == 0;
}

void
pick_set_rank(
    struct pick *p, const struct rank *rank, size_t members, int64_t now_us)
{
	uint64_t i;

	p->conf.members = members;
	if (p->ranked && same_readers(&p->rank, rank)) {
		p->rank = *rank;
		p->no_read_us = 0;
		return;
	}
	p->rank = *rank;
	p->ranked = true;
	/* Readers have changed places; each gets its time again. */
	p->start_us = now_us;
	memset(p->claims_us, 0, sizeof(p->claims_us));
	p->no_read_us = 0;
	for (i = 0; i < p->conf.chunks; i++)
		p->chunks[i].reader = (uint8_t)rank_first(rank, i);
}

void
pick_settle(struct pick *p, int64_t until_us)
{
	p->settle_us = until_us;
	p->no_read_us = 0;
}

void
pick_set_copies(struct pick *p, unsigned int copies)
{
	p->conf.copies = copies;
}

void
pick_add_peer(struct pick *p, struct pick_peer *peer, bool near)
{
	peer->bits = bits_new(p->conf.chunks);
	peer->have = 0;
	peer->near = near;
	peer->open = 0;
	TAILQ_INSERT_TAIL(&p->peers, peer, link);
}

void
pick_remove_peer(struct pick *p, struct pick_peer *peer, int64_t now_us)
{
	struct pick_ask *ask = TAILQ_FIRST(&p->asks);
	uint64_t i;

	while (ask != NULL) {
		struct pick_ask *next = TAILQ_NEXT(ask, link);

		if (ask->peer == peer)
			pick_ended(p, ask->index, peer, PICK_GONE, now_us);
		ask = next;
	}
	for (i = 0; i < p->conf.chunks; i++) {
		if (bits_get(peer->bits, i))
			p->chunks[i].holders--;
	}
	TAILQ_REMOVE(&p->peers, peer, link);
	p->no_read_us = 0;
	g_clear_pointer(&peer->bits, g_free);
}

static bool
mark_claimed(struct pick *p, uint64_t index, unsigned int rank, int64_t now_us)
{
	struct pick_chunk *c = &p->chunks[index];
	bool news = !c->claimed;

	c->claimed = true;
	c->claimed_us = now_us;
	p->unclaimed -= news;
	p->claims_us[c->reader][MIN(rank, PICK_RANK_UNKNOWN)] = now_us;
	return news;
}

bool
pick_peer_has(
    struct pick *p, struct pick_peer *peer, uint64_t index, int64_t now_us)
{
	struct pick_chunk *c = &p->chunks[index];

	if (bits_get(peer->bits, index))
		return false;
	bits_set(peer->bits, index);
	peer->have++;
	c->holders++;
	if (c->claimed)
		return false;
	c->claimed = true;
	c->claimed_us = now_us;
	p->unclaimed--;
	return true;
}

void
pick_peer_load(struct pick_peer *peer, unsigned int load, int64_t now_us)
{
	peer->load = load;
	peer->load_us = now_us;
}

bool
pick_claimed(struct pick *p, uint64_t index, unsigned int rank, int64_t now_us)
{
	if (p->chunks[index].claimed &&
	    now_us - p->chunks[index].claimed_us < pick_silence_us(p))
		return false;
	mark_claimed(p, index, rank, now_us);
	return true;
}

bool
pick_known(struct pick *p, uint64_t index, int64_t now_us)
{
	if (p->chunks[index].claimed)
		return false;
	return mark_claimed(p, index, PICK_RANK_UNKNOWN, now_us);
}

void
pick_begin(struct pick *p, const struct pick_action *a, int64_t now_us)
{
	struct pick_chunk *c = &p->chunks[a->index];
	struct pick_ask *ask = g_new0(struct pick_ask, 1);

	g_assert(c->state == PICK_MISSING);
	bits_clear(p->need, a->index);
	ask->index = a->index;
	ask->since_us = now_us;
	ask->moved_us = now_us;
	TAILQ_INSERT_TAIL(&p->asks, ask, link);
	if (a->kind == PICK_ASK) {
		c->state = PICK_ASKED;
		ask->peer = a->peer;
		a->peer->open++;
		p->open_asks++;
		return;
	}
	g_assert(a->kind == PICK_READ);
	c->state = PICK_READING;
	p->open_reads++;
	p->extra_reads += a->extra;
	mark_claimed(p, a->index, a->rank, now_us);
}

struct pick_ask *
pick_find(const struct pick *p, uint64_t index)
{
	struct pick_ask *ask;

	TAILQ_FOREACH (ask, &p->asks, link) {
		if (ask->index == index)
			return ask;
	}
	return NULL;
}

static void
note_gap(struct pick_ask *ask, int64_t now_us)
{
	ask->gap_us = MAX(ask->gap_us, now_us - ask->moved_us);
	ask->moved_us = now_us;
}

void
pick_moved(struct pick *p, uint64_t index, int64_t now_us)
{
	struct pick_ask *ask = pick_find(p, index);

	if (ask != NULL)
		note_gap(ask, now_us);
}

void
pick_arrived(struct pick *p, uint64_t index, int64_t now_us)
{
	struct pick_ask *ask = pick_find(p, index);

	g_assert(ask != NULL);
	note_gap(ask, now_us);
	if (ask->peer != NULL) {
		average(&p->gap_us, ask->gap_us);
	} else if (p->read_us == 0) {
		p->read_us = now_us - ask->since_us;
	} else {
		average(&p->read_us, now_us - ask->since_us);
	}
	remove_ask(p, ask);
	p->chunks[index].state = PICK_CHECKING;
}

void
pick_got(struct pick *p, uint64_t index)
{
	struct pick_chunk *c = &p->chunks[index];
	struct pick_ask *ask = pick_find(p, index);

	if (ask != NULL)
		remove_ask(p, ask);
	if (c->state == PICK_HAVE)
		return;
	c->state = PICK_HAVE;
	bits_clear(p->need, index);
	p->have++;
	if (!c->claimed) {
		c->claimed = true;
		p->unclaimed--;
	}
}

static void
rest_peer(struct pick *p, struct pick_peer *peer, enum pick_reason reason,
    int64_t now_us)
{
	if (reason == PICK_BUSY) {
		peer->rest_us = now_us + BUSY_REST_CHUNKS * chunk_time_us(p);
		return;
	}
	if (reason == PICK_GONE)
		return;
	/* Each failure doubles the rest; a good chunk ends the row. */
	peer->strikes = MIN(peer->strikes + 1, STRIKES_MAX);
	peer->rest_us = now_us + ((int64_t)STRIKE_REST_US << peer->strikes);
}

static void
rest_origin(struct pick *p, int64_t now_us)
{
	int64_t rest = READ_REST_US << MIN(p->read_failures, STRIKES_MAX);

	p->read_failures++;
	p->read_after_us = now_us + MIN(rest, READ_REST_MAX_US);
}

static void
note_bad_read(struct pick *p, uint64_t index)
{
	struct pick_chunk *c = &p->chunks[index];

	if (c->bad_reads < UINT8_MAX)
		c->bad_reads++;
	p->bad_read_index = index;
	p->bad_reads = c->bad_reads;
}

void
pick_ended(struct pick *p, uint64_t index, struct pick_peer *peer,
    enum pick_reason reason, int64_t now_us)
{
	struct pick_chunk *c = &p->chunks[index];
	struct pick_ask *ask = pick_find(p, index);

	if (ask != NULL)
		remove_ask(p, ask);
	if (c->state == PICK_HAVE)
		return;
	c->state = PICK_MISSING;
	bits_set(p->need, index);
	p->no_read_us = 0;
	if (peer != NULL) {
		/* One that sent wrong bytes does not have the chunk. Left
		 * as its holder, it would keep the chunk from being read
		 * from the origin, and be asked for it for ever. */
		if ((reason == PICK_REFUSED || reason == PICK_CORRUPT) &&
		    bits_get(peer->bits, index)) {
			bits_clear(peer->bits, index);
			peer->have--;
			c->holders--;
		}
		rest_peer(p, peer, reason, now_us);
		return;
	}
	if (reason == PICK_CORRUPT)
		note_bad_read(p, index);
	if (reason != PICK_GONE)
		rest_origin(p, now_us);
}

/* ------------------------------------------------------------------ */
/* Reading from the origin                                             */
/* ------------------------------------------------------------------ */

/* When this host may read `index`, by its rank and the claims heard of. */
static int64_t
read_due_us(const struct pick *p, uint64_t index, unsigned int rank)
{
	const struct pick_chunk *c = &p->chunks[index];
	int64_t silence = pick_silence_us(p);
	int64_t due = MAX(p->start_us + (int64_t)rank * silence, p->settle_us);
	unsigned int ahead;

	if (c->bad_reads > 0 || p->read_failures > 0)
		due = MAX(due, p->read_after_us);
	/* Claimed and not seen since: its reader may have died with it. A
	 * read that failed here is repeated without that wait. */
	if (c->claimed && !(rank == 0 && c->bad_reads > 0))
		due = MAX(due, c->claimed_us + MAX(rank, 1) * silence);
	for (ahead = 0; ahead < MIN(rank, PICK_RANK_UNKNOWN); ahead++) {
		int64_t claim = p->claims_us[c->reader][ahead];

		if (claim != 0)
			due = MAX(due, claim + (rank - ahead) * silence);
	}
	return due;
}

/* Extra copies are split evenly; this is one host's part. */
static uint64_t
extra_share(const struct pick *p)
{
	uint64_t extra = (uint64_t)(p->conf.copies - 1) * p->conf.chunks;

	return (extra + p->conf.members - 1) / p->conf.members;
}

/*
 * Finds a missing chunk that no connected peer has and that this host may
 * read now. Otherwise gives the earliest time at which one may be, and keeps
 * it: claims only put it off, so the scan need not be made again before,
 * unless an event below resets it.
 */
static bool
find_read(struct pick *p, int64_t now_us, struct rng *rng,
    struct pick_action *out, int64_t *due_us)
{
	uint64_t words = bits_words(p->conf.chunks);
	uint64_t first = rng_below(rng, words);
	uint64_t i;

	*due_us = p->no_read_us;
	if (now_us < p->no_read_us)
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
			if (due > now_us)
				continue;
			out->kind = PICK_READ;
			out->index = index;
			out->rank = rank;
			return true;
		}
	}
	p->no_read_us = *due_us;
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

	if (p->conf.copies < 2 || p->unclaimed > 0 ||
	    p->extra_reads >= extra_share(p) || now_us < p->read_after_us)
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
	return peer->strikes >= PICK_STRIKES_DOUBT;
}

/*
 * Uploads that an ask would wait behind. What the peer last said wears off by
 * one a chunk time: it is not told again by peers that have nothing to say,
 * and taken for lasting, a peer once busy would never be asked again.
 */
static unsigned int
load_of(const struct pick *p, const struct pick_peer *peer, int64_t now_us)
{
	int64_t done = (now_us - peer->load_us) / chunk_time_us(p);

	return peer->open +
	    (done < peer->load ? peer->load - (unsigned int)done : 0);
}

static bool
can_ask(const struct pick *p, const struct pick_peer *peer, int64_t now_us)
{
	if (is_doubtful(peer) && p->open_asks > 0)
		return false;
	return peer->open < PICK_ASKS_PER_PEER && peer->rest_us <= now_us &&
	    load_of(p, peer, now_us) < PICK_LOAD_MAX;
}

/* The rarest missing chunk that `peer` has, or one of the rarest. */
static bool
rarest_of(const struct pick *p, const struct pick_peer *peer, struct rng *rng,
    uint64_t *index_out)
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
	if (a->near != b->near)
		return a->near;
	return load_of(p, a, now_us) < load_of(p, b, now_us);
}

static bool
find_ask(const struct pick *p, int64_t now_us, struct rng *rng,
    struct pick_action *out)
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
		    !rarest_of(p, peer, rng, &index))
			continue;
		best = peer;
		out->index = index;
	}
	if (best == NULL)
		return false;
	out->kind = PICK_ASK;
	out->peer = (struct pick_peer *)best;
	return true;
}

/* ------------------------------------------------------------------ */
/* The choice                                                          */
/* ------------------------------------------------------------------ */

static bool
find_expired(const struct pick *p, int64_t now_us, struct pick_action *out)
{
	int64_t patience = pick_patience_us(p);
	struct pick_ask *ask;

	TAILQ_FOREACH (ask, &p->asks, link) {
		/* Reads of the origin have their own stall limit. */
		if (ask->peer == NULL)
			continue;
		if (now_us - ask->moved_us >= patience) {
			out->kind = PICK_EXPIRE;
			out->index = ask->index;
			out->peer = ask->peer;
			return true;
		}
		out->until_us = MIN(out->until_us, ask->moved_us + patience);
	}
	return false;
}

static const char *
why_waiting(const struct pick *p)
{
	if (p->open_asks + p->open_reads > 0)
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
		int64_t due = peer->rest_us;

		if (due <= now_us && load_of(p, peer, now_us) >= PICK_LOAD_MAX)
			due = now_us + chunk_time_us(p);
		if (due > now_us)
			out->until_us = MIN(out->until_us, due);
	}
}

static bool
may_read(const struct pick *p)
{
	return p->ranked && p->conf.copies > 0 && p->open_reads < PICK_READS;
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
	if (may_fetch && p->open_asks + p->open_reads < PICK_ASKS) {
		if (find_ask(p, now_us, rng, out))
			return;
		if (may_read(p) && find_extra_read(p, now_us, rng, out))
			return;
		earliest_rest(p, now_us, out);
	}
	out->until_us = MIN(out->until_us, due_us);
	out->why = why_waiting(p);
}
