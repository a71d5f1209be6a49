/* The state from which fetches are chosen, and the events that change it. */

#include <string.h>

#include "weights/bits.h"
#include "weights/pick.h"

#define SECOND_US 1000000
/* Exceeds scheduling and TCP delays. */
#define STALL_TIMEOUT_MIN_US (SECOND_US / 2)
#define STALL_TIMEOUT_MAX_US (30 * (int64_t)SECOND_US)
#define STALL_TIMEOUT_GAPS 4 /* times the average longest gap */
#define FIRST_GAP_CHUNKS 8 /* initial value, in chunk times */
/* Added to the propagation time of a claim. */
#define CLAIM_TIMEOUT_MIN_US SECOND_US
#define CLAIM_TIMEOUT_MAX_US (60 * (int64_t)SECOND_US)
/* Times the transfer time of a chunk on this host's link. */
#define CLAIM_TIMEOUT_CHUNKS 16
#define CLAIM_TIMEOUT_READS 4 /* times the measured duration of a read */
/* Chunk times before a busy peer is asked again. */
#define BUSY_BACKOFF_CHUNKS 2
#define FAILURE_BACKOFF_US (SECOND_US / 4)
#define FAILURES_MAX 8
#define READ_BACKOFF_US (SECOND_US / 4)
/* Few hosts read, so retrying an unavailable origin often costs little. Any
 * delay between the origin's return and the next retry prolongs the time in
 * which engines that need the weights are idle. */
#define READ_BACKOFF_MAX_US (SECOND_US * 15 / 100)
/* Busy peers can halve the received rate at times; on a link limited to an
 * eighth of its rate the fraction stays far below this value. */
#define SLOW_LINK_FRACTION 0.3
#define RATE_FRACTION_MIN 0.01 /* of an average that only tends to zero */
#define RATE_SMOOTHING 0.25 /* weight of the newest chunk */
#define PAUSE_MAX_US SECOND_US
#define AVERAGE_DIVISOR 8 /* the newest sample has a weight of one eighth */

int64_t
pick_chunk_us(const struct pick *p)
{
	return 1 +
	    (int64_t)((double)p->conf.chunk_bytes * SECOND_US /
		(double)p->conf.rate);
}

static void
update_average(int64_t *value, int64_t sample)
{
	*value += (sample - *value) / AVERAGE_DIVISOR;
}

int64_t
pick_stall_timeout_us(const struct pick *p)
{
	int64_t us = STALL_TIMEOUT_MIN_US + STALL_TIMEOUT_GAPS * p->gap_us;

	return MIN(us, STALL_TIMEOUT_MAX_US);
}

int64_t
pick_claim_timeout_us(const struct pick *p)
{
	int64_t us = MAX(CLAIM_TIMEOUT_CHUNKS * pick_chunk_us(p),
	    CLAIM_TIMEOUT_READS * p->read_time_us);

	us += p->conf.claim_timeout_min_us > 0 ? p->conf.claim_timeout_min_us
					       : CLAIM_TIMEOUT_MIN_US;
	us += PICK_UPDATE_HOPS * p->conf.update_interval_us;
	return MIN(us, CLAIM_TIMEOUT_MAX_US);
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
	pick_set_reads(p, conf->max_reads);
	p->start_us = now_us;
	p->rate_fraction = 1;
	p->unclaimed = conf->chunks;
	p->chunks = g_new0(struct pick_chunk, conf->chunks);
	p->need = bits_new(conf->chunks);
	for (i = 0; i < conf->chunks; i++)
		bits_set(p->need, i);
	TAILQ_INIT(&p->peers);
	TAILQ_INIT(&p->fetches);
	p->gap_us = FIRST_GAP_CHUNKS * pick_chunk_us(p);
	return p;
}

static void
remove_fetch(struct pick *p, struct pick_fetch *fetch)
{
	TAILQ_REMOVE(&p->fetches, fetch, link);
	if (fetch->peer != NULL) {
		fetch->peer->open_requests--;
		p->open_requests--;
	} else {
		p->open_reads--;
	}
	g_free(fetch);
}

void
pick_free(struct pick *p)
{
	struct pick_fetch *fetch;

	if (p == NULL)
		return;
	g_assert(TAILQ_EMPTY(&p->peers));
	while ((fetch = TAILQ_FIRST(&p->fetches)) != NULL)
		remove_fetch(p, fetch);
	g_free(p->chunks);
	g_free(p->need);
	g_free(p);
}

static bool
same_readers(const struct rank *a, const struct rank *b)
{
	return a->nreaders == b->nreaders &&
	    memcmp(a->reader_hash, b->reader_hash, sizeof(a->reader_hash)) == 0;
}

void
pick_set_rank(
    struct pick *p, const struct rank *rank, size_t members, int64_t now_us)
{
	uint64_t i;

	p->conf.members = members;
	if (p->ranked && same_readers(&p->rank, rank)) {
		p->rank = *rank;
		p->next_read_us = 0;
		return;
	}
	p->rank = *rank;
	p->ranked = true;
	/* The readers changed, so each gets the full claim timeout again. */
	p->start_us = now_us;
	memset(p->claims_us, 0, sizeof(p->claims_us));
	memset(p->reader_rates, 0, sizeof(p->reader_rates));
	p->next_read_us = 0;
	for (i = 0; i < p->conf.chunks; i++)
		p->chunks[i].reader = (uint8_t)rank_first_reader(rank, i);
}

void
pick_settle(struct pick *p, int64_t until_us)
{
	p->settle_until_us = until_us;
	p->next_read_us = 0;
}

void
pick_set_cross_domain(
    struct pick *p, uint64_t index, unsigned int rank, int64_t step_us)
{
	p->conf.cross_domain_step_us = step_us;
	p->chunks[index].cross_domain_rank = (uint8_t)MIN(rank, UINT8_MAX);
}

void
pick_set_claim_timeout(struct pick *p, int64_t min_us)
{
	p->conf.claim_timeout_min_us = min_us;
}

void
pick_set_copies(struct pick *p, unsigned int copies)
{
	p->conf.origin_copies = copies;
}

void
pick_set_reads(struct pick *p, unsigned int reads)
{
	p->conf.max_reads = MAX(1, reads);
}

void
pick_add_peer(struct pick *p, struct pick_peer *peer, bool same_domain)
{
	peer->bits = bits_new(p->conf.chunks);
	peer->have = 0;
	peer->same_domain = same_domain;
	peer->open_requests = 0;
	TAILQ_INSERT_TAIL(&p->peers, peer, link);
}

void
pick_remove_peer(struct pick *p, struct pick_peer *peer, int64_t now_us)
{
	struct pick_fetch *fetch = TAILQ_FIRST(&p->fetches);
	uint64_t i;

	while (fetch != NULL) {
		struct pick_fetch *next = TAILQ_NEXT(fetch, link);

		if (fetch->peer == peer)
			pick_failed(
			    p, fetch->index, peer, PICK_CANCELLED, now_us);
		fetch = next;
	}
	for (i = 0; i < p->conf.chunks; i++) {
		if (!bits_get(peer->bits, i))
			continue;
		p->chunks[i].holders--;
		p->chunks[i].domain_holders -= peer->same_domain;
	}
	TAILQ_REMOVE(&p->peers, peer, link);
	p->next_read_us = 0;
	g_clear_pointer(&peer->bits, g_free);
}

static void
note_claim_time(struct pick_reader_rate *rate, int64_t now_us)
{
	if (rate->claims++ == 0)
		rate->first_us = now_us;
	rate->last_us = now_us;
}

static bool
mark_claimed(struct pick *p, uint64_t index, unsigned int rank, int64_t now_us)
{
	struct pick_chunk *c = &p->chunks[index];
	bool is_new = !c->claimed;

	c->claimed = true;
	c->claim_seen = true;
	c->claimed_us = now_us;
	c->claimed_rank = (uint8_t)MIN(rank, PICK_RANK_UNKNOWN);
	p->unclaimed -= is_new;
	if (is_new && rank == 0)
		note_claim_time(&p->reader_rates[c->reader], now_us);
	p->claims_us[c->reader][MIN(rank, PICK_RANK_UNKNOWN)] = now_us;
	return is_new;
}

/* A chunk that no peer had has appeared at a peer, so the origin responds. Ends
 * the backoff after failed reads of this host; otherwise the last chunks of a
 * version would be delayed by the rest of the backoff. */
static void
clear_read_backoff(struct pick *p)
{
	if (p->read_failures == 0)
		return;
	p->read_failures = 0;
	p->read_backoff_until_us = 0;
	p->next_read_us = 0;
}

bool
pick_peer_has(
    struct pick *p, struct pick_peer *peer, uint64_t index, int64_t now_us)
{
	struct pick_chunk *c = &p->chunks[index];

	if (bits_get(peer->bits, index))
		return false;
	if (c->holders == 0 && c->state < PICK_VERIFYING)
		clear_read_backoff(p);
	bits_set(peer->bits, index);
	peer->have++;
	c->holders++;
	c->domain_holders += peer->same_domain;
	if (!peer->same_domain && c->cross_domain_since_us == 0)
		c->cross_domain_since_us = now_us;
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
	peer->load_at_us = now_us;
}

bool
pick_claimed(struct pick *p, uint64_t index, unsigned int rank, int64_t now_us)
{
	const struct pick_chunk *c = &p->chunks[index];

	/*
	 * A claim of a higher rank means that its host takes over the chunk;
	 * this is forwarded. A claim also shows that the reader is alive, even
	 * if the chunk itself was seen before the claim. Ignoring such a claim
	 * would make a reader whose chunks arrive before its claims appear to
	 * have failed.
	 */
	if (c->claim_seen && MIN(rank, PICK_RANK_UNKNOWN) <= c->claimed_rank &&
	    now_us - c->claimed_us < pick_claim_timeout_us(p))
		return false;
	mark_claimed(p, index, rank, now_us);
	return true;
}

bool
pick_mark_known(struct pick *p, uint64_t index, int64_t now_us)
{
	if (p->chunks[index].claimed)
		return false;
	return mark_claimed(p, index, PICK_RANK_UNKNOWN, now_us);
}

void
pick_begin(struct pick *p, const struct pick_action *a, int64_t now_us)
{
	struct pick_chunk *c = &p->chunks[a->index];
	struct pick_fetch *fetch = g_new0(struct pick_fetch, 1);

	g_assert(c->state == PICK_MISSING);
	bits_clear(p->need, a->index);
	fetch->index = a->index;
	fetch->start_us = now_us;
	fetch->last_byte_us = now_us;
	TAILQ_INSERT_TAIL(&p->fetches, fetch, link);
	if (a->kind == PICK_REQUEST) {
		c->state = PICK_REQUESTED;
		fetch->peer = a->peer;
		a->peer->open_requests++;
		p->open_requests++;
		return;
	}
	g_assert(a->kind == PICK_READ);
	c->state = PICK_READING;
	c->read_failed = false;
	p->next_read_us = 0;
	p->open_reads++;
	p->extra_reads += a->extra;
	mark_claimed(p, a->index, a->rank, now_us);
}

struct pick_fetch *
pick_find(const struct pick *p, uint64_t index)
{
	struct pick_fetch *fetch;

	TAILQ_FOREACH (fetch, &p->fetches, link) {
		if (fetch->index == index)
			return fetch;
	}
	return NULL;
}

static void
note_bytes(struct pick_fetch *fetch, int64_t now_us)
{
	fetch->gap_us = MAX(fetch->gap_us, now_us - fetch->last_byte_us);
	fetch->last_byte_us = now_us;
}

void
pick_progress(struct pick *p, uint64_t index, int64_t now_us)
{
	struct pick_fetch *fetch = pick_find(p, index);

	if (fetch != NULL)
		note_bytes(fetch, now_us);
}

bool
pick_is_link_slow(const struct pick *p)
{
	return p->rate_fraction < SLOW_LINK_FRACTION;
}

/* The last request that was sent to a peer and is open, or NULL. */
static const struct pick_fetch *
last_request(const struct pick *p)
{
	const struct pick_fetch *fetch, *last = NULL;

	TAILQ_FOREACH (fetch, &p->fetches, link) {
		if (fetch->peer != NULL)
			last = fetch;
	}
	return last;
}

/* Received fraction of the download budget. What arrives too slowly for any chunk
 * to be complete shows in the requests that are open: by the age of the last one,
 * as a single peer may be slow itself. */
static double
received_fraction(const struct pick *p, int64_t now_us)
{
	const struct pick_fetch *fetch = last_request(p);
	double bytes = (double)p->open_requests * (double)p->conf.chunk_bytes;
	double open_s;

	if (fetch == NULL)
		return p->rate_fraction;
	open_s = (double)MAX(1, now_us - fetch->start_us) / SECOND_US;
	return MIN(p->rate_fraction, bytes / open_s / (double)p->conf.rate);
}

bool
pick_arrives_slowly(const struct pick *p, int64_t now_us)
{
	return received_fraction(p, now_us) < SLOW_LINK_FRACTION;
}

int64_t
pick_inbound_us(const struct pick *p, int64_t now_us)
{
	double bytes = (double)(p->open_requests + p->open_reads) *
	    (double)p->conf.chunk_bytes;
	double fraction = MAX(received_fraction(p, now_us), RATE_FRACTION_MIN);

	return (int64_t)(bytes * SECOND_US / ((double)p->conf.rate * fraction));
}

uint64_t
pick_count_origin_only(const struct pick *p)
{
	uint64_t count = 0;
	uint64_t i;

	for (i = 0; i < p->conf.chunks; i++)
		count += p->chunks[i].holders == 0 &&
		    p->chunks[i].state < PICK_VERIFYING;
	return count;
}

/* Updates the received fraction of the download budget when a chunk arrives
 * from a peer; the chunks requested in parallel are counted too. */
static void
update_rate_fraction(
    struct pick *p, const struct pick_fetch *fetch, int64_t now_us)
{
	int64_t elapsed_us = MAX(1, now_us - fetch->start_us);
	double bytes = (double)(p->open_requests * p->conf.chunk_bytes);
	double fraction =
	    bytes * SECOND_US / (double)elapsed_us / (double)p->conf.rate;

	p->rate_fraction +=
	    (MIN(fraction, 1) - p->rate_fraction) * RATE_SMOOTHING;
	if (pick_is_link_slow(p))
		p->pause_until_us = now_us + MIN(elapsed_us, PAUSE_MAX_US);
}

void
pick_received(struct pick *p, uint64_t index, int64_t now_us)
{
	struct pick_fetch *fetch = pick_find(p, index);

	g_assert(fetch != NULL);
	note_bytes(fetch, now_us);
	if (fetch->peer != NULL) {
		update_average(&p->gap_us, fetch->gap_us);
		update_rate_fraction(p, fetch, now_us);
	} else if (p->read_time_us == 0) {
		p->read_time_us = now_us - fetch->start_us;
	} else {
		update_average(&p->read_time_us, now_us - fetch->start_us);
	}
	remove_fetch(p, fetch);
	p->chunks[index].state = PICK_VERIFYING;
}

void
pick_complete(struct pick *p, uint64_t index)
{
	struct pick_chunk *c = &p->chunks[index];
	struct pick_fetch *fetch = pick_find(p, index);

	if (fetch != NULL)
		remove_fetch(p, fetch);
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
back_off_peer(struct pick *p, struct pick_peer *peer, enum pick_failure reason,
    int64_t now_us)
{
	if (reason == PICK_BUSY) {
		peer->backoff_until_us =
		    now_us + BUSY_BACKOFF_CHUNKS * pick_chunk_us(p);
		return;
	}
	if (reason == PICK_CANCELLED)
		return;
	/* The backoff doubles with each failure; a valid chunk resets the
	 * count. */
	peer->failures = MIN(peer->failures + 1, FAILURES_MAX);
	peer->backoff_until_us =
	    now_us + ((int64_t)FAILURE_BACKOFF_US << peer->failures);
}

static void
back_off_origin(struct pick *p, int64_t now_us)
{
	int64_t backoff_us = READ_BACKOFF_US
	    << MIN(p->read_failures, FAILURES_MAX);

	p->read_failures++;
	p->read_backoff_until_us =
	    now_us + MIN(backoff_us, READ_BACKOFF_MAX_US);
}

static void
note_corrupt_read(struct pick *p, uint64_t index)
{
	struct pick_chunk *c = &p->chunks[index];

	if (c->corrupt_reads < UINT8_MAX)
		c->corrupt_reads++;
	p->corrupt_read_index = index;
	p->corrupt_reads = c->corrupt_reads;
}

void
pick_failed(struct pick *p, uint64_t index, struct pick_peer *peer,
    enum pick_failure reason, int64_t now_us)
{
	struct pick_chunk *c = &p->chunks[index];
	struct pick_fetch *fetch = pick_find(p, index);

	if (fetch != NULL)
		remove_fetch(p, fetch);
	if (c->state == PICK_HAVE)
		return;
	c->state = PICK_MISSING;
	bits_set(p->need, index);
	p->next_read_us = 0;
	if (peer != NULL) {
		/* A peer that sent wrong bytes does not have the chunk. If it
		 * stayed a holder, the chunk would never be read from the
		 * origin and would be requested from this peer forever. */
		if ((reason == PICK_REFUSED || reason == PICK_CORRUPT) &&
		    bits_get(peer->bits, index)) {
			bits_clear(peer->bits, index);
			peer->have--;
			c->holders--;
			c->domain_holders -= peer->same_domain;
		}
		back_off_peer(p, peer, reason, now_us);
		return;
	}
	if (reason == PICK_CORRUPT)
		note_corrupt_read(p, index);
	c->read_failed = reason == PICK_FAILED;
	if (reason != PICK_CANCELLED)
		back_off_origin(p, now_us);
}
