/* The choice of the next fetch, for constructed states. */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <stdio.h>
#include <string.h>

#include "weights/bits.h"
#include "weights/pick.h"

#define CHUNKS 64
#define HOSTS 9
#define SECOND 1000000

static struct rank ranks[HOSTS];
static struct digest root = { { 7 } };
static struct rng rng;

static int
setup(void **state)
{
	static char ids[HOSTS][8];
	static const char *const domains[] = { "a", "b", "c" };
	struct rank_member members[HOSTS];
	size_t i;

	for (i = 0; i < HOSTS; i++) {
		snprintf(ids[i], sizeof(ids[i]), "h%zu", i);
		members[i] = (struct rank_member){ ids[i], domains[i % 3] };
	}
	for (i = 0; i < HOSTS; i++)
		rank_build(&ranks[i], &root, members, HOSTS, i);
	rng_seed(&rng, 1);
	return 0;
}

static struct pick *
new_pick(const struct rank *rank)
{
	struct pick_conf conf = {
		.chunks = CHUNKS,
		.chunk_bytes = 1 << 20,
		.rate = 100 << 20, /* ten milliseconds per chunk */
		.origin_copies = 1,
		.members = HOSTS,
	};
	struct pick *p = pick_new(&conf, 0);

	if (rank != NULL)
		pick_set_rank(p, rank, HOSTS, 0);
	return p;
}

static struct pick_action
next(struct pick *p, int64_t now_us)
{
	struct pick_action a;

	pick_next(p, true, now_us, &rng, &a);
	return a;
}

/* Starts all fetches that are possible now; returns the first other action. */
static struct pick_action
start_all(struct pick *p, int64_t now_us)
{
	struct pick_action a = next(p, now_us);

	while (a.kind == PICK_REQUEST || a.kind == PICK_READ) {
		pick_begin(p, &a, now_us);
		a = next(p, now_us);
	}
	return a;
}

/* A host that does not read from the origin while the readers are alive. */
static const struct rank *
not_reader(void)
{
	size_t i;

	for (i = 0; ranks[i].self != RANK_NONE; i++)
		continue;
	return &ranks[i];
}

static const struct rank *
reader(unsigned int index)
{
	size_t i;

	for (i = 0; i < HOSTS; i++) {
		if (ranks[i].self == index)
			return &ranks[i];
	}
	fail_msg("no reader %u", index);
	return NULL;
}

static void
add_all_chunks(struct pick *p, struct pick_peer *peer)
{
	uint64_t i;

	for (i = 0; i < CHUNKS; i++)
		pick_peer_has(p, peer, i, 0);
}

/* Every host computes the same readers, at least one in each domain, and
 * exactly one of them is the first reader of a chunk. */
static void
test_ranking_is_the_same_everywhere(void **state)
{
	unsigned int firsts, readers = 0;
	uint64_t chunk;
	size_t i;

	for (i = 0; i < HOSTS; i++) {
		assert_int_equal(ranks[i].nreaders, RANK_READERS);
		assert_memory_equal(ranks[i].reader_hash, ranks[0].reader_hash,
		    sizeof(ranks[0].reader_hash));
		readers += ranks[i].self != RANK_NONE;
	}
	assert_int_equal(readers, RANK_READERS);
	for (chunk = 0; chunk < CHUNKS; chunk++) {
		firsts = 0;
		for (i = 0; i < HOSTS; i++)
			firsts += rank_self(&ranks[i], chunk) == 0;
		assert_int_equal(firsts, 1);
	}
}

/* Before the members are known, a host would consider itself the only one, and
 * every host would read a complete copy. */
static void
test_no_read_before_members_are_known(void **state)
{
	struct pick *p = new_pick(NULL);

	assert_int_equal(next(p, 3600 * (int64_t)SECOND).kind, PICK_WAIT);
	pick_free(p);
}

/* A reader begins with the chunks for which it is the first reader, one at a
 * time, and skips chunks claimed by others. Chunks of other readers follow only
 * after the claim timeout. */
static void
test_reads_in_turn(void **state)
{
	struct pick *p = new_pick(reader(0));
	unsigned int own = 0, read = 0;
	struct pick_action a;
	uint64_t i;

	for (i = 0; i < CHUNKS; i++)
		own += rank_self(reader(0), i) == 0;
	for (i = 0; i < CHUNKS; i++) {
		if (rank_self(reader(0), i) == 0 && i % 2 == 0) {
			assert_true(pick_claimed(p, i, 1, 0));
			own--;
		}
	}
	for (a = next(p, 0); a.kind == PICK_READ; a = next(p, 0)) {
		assert_int_equal(a.rank, 0);
		assert_int_equal(a.index % 2, 1);
		pick_begin(p, &a, 0);
		assert_int_equal(next(p, 0).kind, PICK_WAIT);
		pick_received(p, a.index, 0);
		pick_complete(p, a.index);
		read++;
	}
	assert_int_equal(read, own);
	assert_int_equal(a.kind, PICK_WAIT);
	assert_int_equal(a.until_us, pick_claim_timeout_us(p));
	pick_free(p);
}

/* Begins the first read and fails it; its chunk and `other` are then the only
 * missing ones (CHUNKS: no other). */
static uint64_t
fail_read(struct pick *p, uint64_t other)
{
	struct pick_action a = next(p, 0);
	uint64_t i;

	assert_int_equal(a.kind, PICK_READ);
	for (i = 0; i < CHUNKS; i++) {
		if (i != a.index && i != other)
			pick_complete(p, i);
	}
	pick_begin(p, &a, 0);
	pick_failed(p, a.index, NULL, PICK_FAILED, 0);
	assert_int_equal(next(p, SECOND / 10).kind, PICK_WAIT);
	return a.index;
}

/*
 * The origin is down, and a first reader's read of a chunk fails. It retries
 * the same chunk as soon as the origin may have recovered, not after the claim
 * timeout: every host waits for that chunk, and engines that need the weights
 * are idle.
 */
static void
test_failed_read_is_retried_soon(void **state)
{
	struct pick *p = new_pick(reader(0));
	uint64_t index = fail_read(p, CHUNKS);
	struct pick_action a = next(p, SECOND / 2);

	assert_int_equal(a.kind, PICK_READ);
	assert_int_equal(a.index, index);
	pick_free(p);
}

/* The origin is down, and the reader's repeated reads of a chunk fail. Another
 * host takes the chunk over, and its read fails as well, which no claim tells.
 * Guards against a reader that waits for that read until the claim times out,
 * seconds after the origin has recovered. */
static void
test_failed_read_is_retried_after_a_takeover(void **state)
{
	struct pick *p = new_pick(reader(0));
	uint64_t index = fail_read(p, CHUNKS);
	struct pick_action a;

	p->read_time_us = SECOND / 10;
	assert_true(pick_claimed(p, index, 1, SECOND / 2));
	/* The other host's read may be in progress. */
	a = next(p, SECOND / 2 + SECOND / 20);
	assert_true(a.kind != PICK_READ || a.index != index);
	a = next(p, SECOND / 2 + SECOND / 10);
	assert_int_equal(a.kind, PICK_READ);
	assert_int_equal(a.index, index);
	pick_free(p);
}

/* The origin recovers after an outage in which all claims have expired, so a
 * reader may also read chunks of other readers. It reads its own first: others
 * leave those to it, and all hosts would wait for them. */
static void
test_own_chunks_are_read_first(void **state)
{
	struct pick *p = new_pick(reader(0));
	int64_t later_us = 100 * (int64_t)SECOND;
	struct pick_action a;
	unsigned int before = 0;
	uint64_t read = 0;

	for (a = next(p, later_us); a.kind == PICK_READ;
	     a = next(p, later_us)) {
		assert_true(a.rank >= before);
		before = a.rank;
		pick_begin(p, &a, later_us);
		pick_received(p, a.index, later_us);
		pick_complete(p, a.index);
		read++;
	}
	assert_true(read > CHUNKS / HOSTS);
	pick_free(p);
}

/* A reader's own link delays the last bytes of a chunk; with a second open read
 * the origin continues to send meanwhile. */
static void
test_max_reads_open(void **state)
{
	struct pick *p = new_pick(reader(0));
	struct pick_action a;
	int i;

	pick_set_reads(p, 2);
	for (i = 0; i < 2; i++) {
		a = next(p, 0);
		assert_int_equal(a.kind, PICK_READ);
		pick_begin(p, &a, 0);
	}
	assert_int_equal(next(p, 0).kind, PICK_WAIT);
	pick_set_reads(p, 1);
	pick_received(p, a.index, 0);
	assert_int_equal(next(p, 0).kind, PICK_WAIT);
	pick_free(p);
}

/* The origin was down, and every reader is in backoff after a failed read.
 * When one of them succeeds and reports its chunk, the backoff of the others
 * ends. */
static void
test_origin_chunk_at_peer_ends_backoff(void **state)
{
	struct pick *p = new_pick(reader(0));
	struct pick_peer peer = { 0 };
	struct pick_action a;
	uint64_t index;

	pick_add_peer(p, &peer, true);
	index = fail_read(p, CHUNKS - 1);
	pick_peer_has(p, &peer, CHUNKS - 1, SECOND / 10);
	a = next(p, SECOND / 10);
	assert_int_equal(a.kind, PICK_READ);
	assert_int_equal(a.index, index);
	pick_remove_peer(p, &peer, 0);
	pick_free(p);
}

/* Only chunks that no peer has count as still needed from the origin, so that
 * other versions can use the origin otherwise. */
static void
test_count_origin_only(void **state)
{
	struct pick *p = new_pick(reader(0));
	struct pick_peer peer = { 0 };
	uint64_t i;

	pick_add_peer(p, &peer, true);
	for (i = 0; i < CHUNKS - 1; i++)
		pick_peer_has(p, &peer, i, 0);
	assert_int_equal(pick_count_origin_only(p), 1);
	pick_complete(p, CHUNKS - 1);
	assert_int_equal(pick_count_origin_only(p), 0);
	pick_remove_peer(p, &peer, 0);
	pick_free(p);
}

/* The first reader of some chunks fails. The second takes over after one claim
 * timeout and then continues without further waits; a host that is not a reader
 * waits longer. A claim by the first restarts the timeout for all of them. */
static void
test_next_rank_reads_after_claim_timeout(void **state)
{
	struct pick *p = new_pick(reader(1));
	int64_t now = pick_claim_timeout_us(p);
	struct pick_action a;
	uint64_t i;

	for (i = 0; i < CHUNKS; i++) {
		if (rank_self(reader(1), i) != 1)
			pick_complete(p, i);
	}
	assert_int_equal(next(p, now - 1).kind, PICK_WAIT);
	a = next(p, now);
	assert_int_equal(a.kind, PICK_READ);
	assert_int_equal(a.rank, 1);
	pick_begin(p, &a, now);
	pick_received(p, a.index, now);
	pick_complete(p, a.index);
	a = next(p, now);
	assert_int_equal(a.kind, PICK_READ);
	for (i = 0; i < CHUNKS; i++) {
		if (p->chunks[i].state == PICK_MISSING)
			pick_claimed(p, i, 0, now);
	}
	assert_int_equal(next(p, now).kind, PICK_WAIT);
	pick_free(p);
}

/*
 * One reader's link is slow: it claims a chunk every 0.6 s, so the claim
 * timeout does not expire, and all hosts wait for the rest of its chunks. A
 * reader that has read its own chunks takes over those that the slow one has
 * not begun or began long ago. Chunks of a reader of similar speed are left to
 * that reader.
 */
static void
test_takeover_from_slow_reader(void **state)
{
	struct pick *p = new_pick(reader(0));
	unsigned int slow = 0, fast = 0, taken = 0;
	int64_t now = 0;
	struct pick_action a;
	uint64_t i;

	for (i = 0; i < CHUNKS; i++) {
		if (rank_first_reader(reader(0), i) > 2)
			pick_complete(p, i);
	}
	for (i = 0; i < CHUNKS; i++) {
		switch (rank_first_reader(reader(0), i)) {
		case 0: /* one of this host's chunks every 0.1 s */
			a = next(p, now += SECOND / 10);
			assert_int_equal(a.rank, 0);
			pick_begin(p, &a, now);
			pick_received(p, a.index, now);
			pick_complete(p, a.index);
			break;
		case 1:
			if (now >= (int64_t)slow * SECOND * 6 / 10 &&
			    ++slow > 0)
				pick_claimed(p, i, 0, now);
			break;
		case 2:
			if (++fast == CHUNKS / RANK_READERS)
				break;
			pick_claimed(p, i, 0, now);
			pick_complete(p, i); /* received */
			break;
		}
	}
	/* The rest of its chunks would then arrive sooner than the claim
	 * timeout, but does not arrive. */
	while ((now += SECOND * 4 / 10) < 3 * SECOND) {
		for (a = next(p, now); a.kind == PICK_READ; a = next(p, now)) {
			assert_int_equal(
			    rank_first_reader(reader(0), a.index), 1);
			pick_begin(p, &a, now);
			pick_received(p, a.index, now);
			pick_complete(p, a.index);
			taken++;
		}
		assert_true(taken > 0);
	}
	assert_int_equal(slow, 2);
	assert_int_equal(taken, CHUNKS / RANK_READERS);
	pick_free(p);
}

/* A reader's chunks are seen at a peer before its claims arrive. The claims
 * still show that it is alive, and no other host takes over. */
static void
test_late_claim_resets_claim_timeout(void **state)
{
	struct pick *p = new_pick(reader(1));
	int64_t timeout_us = pick_claim_timeout_us(p);
	struct pick_peer peer = { 0 };
	struct pick_action a;
	uint64_t i, seen = CHUNKS;

	pick_add_peer(p, &peer, true);
	for (i = 0; i < CHUNKS; i++) {
		if (rank_self(reader(1), i) != 1 ||
		    rank_first_reader(reader(1), i) != 0)
			pick_complete(p, i);
		else
			seen = i;
	}
	pick_peer_has(p, &peer, seen, timeout_us - 1);
	assert_true(pick_claimed(p, seen, 0, timeout_us - 1));
	assert_false(pick_claimed(p, seen, 0, timeout_us - 1));
	pick_complete(p, seen);
	a = next(p, timeout_us);
	assert_int_equal(a.kind, PICK_WAIT);
	assert_int_equal(a.until_us, 2 * timeout_us - 1);
	pick_remove_peer(p, &peer, 0);
	pick_free(p);
}

/* Peers of the same failure domain come first, then the least loaded, then the
 * rarest of its chunks. */
static void
test_same_domain_then_idle_then_rarest(void **state)
{
	struct pick *p = new_pick(&ranks[0]);
	struct pick_peer same_domain = { 0 }, loaded = { 0 },
			 cross_domain = { 0 };
	struct pick_action a;
	uint64_t i;

	pick_add_peer(p, &same_domain, true);
	pick_add_peer(p, &loaded, true);
	pick_add_peer(p, &cross_domain, false);
	add_all_chunks(p, &same_domain);
	for (i = 0; i < CHUNKS; i++) {
		if (i != 17)
			pick_peer_has(p, &loaded, i, 0);
	}
	add_all_chunks(p, &cross_domain);
	pick_peer_load(&loaded, 1, 0);
	a = next(p, 0);
	assert_int_equal(a.kind, PICK_REQUEST);
	assert_ptr_equal(a.peer, &same_domain);
	assert_int_equal(a.index, 17);
	pick_remove_peer(p, &same_domain, 0);
	pick_remove_peer(p, &loaded, 0);
	assert_ptr_equal(next(p, 0).peer, &cross_domain);
	pick_remove_peer(p, &cross_domain, 0);
	pick_free(p);
}

/* The chunks that are requested at once delay other inbound traffic by the time
 * that they take on the link together. */
static void
test_inbound_wait_behind_requests(void **state)
{
	struct pick *p = new_pick(not_reader());
	struct pick_peer a = { 0 }, b = { 0 };

	assert_int_equal(pick_inbound_us(p, 0), 0);
	pick_add_peer(p, &a, true);
	pick_add_peer(p, &b, true);
	add_all_chunks(p, &a);
	add_all_chunks(p, &b);
	(void)start_all(p, 0);
	assert_int_equal(p->open_requests, PICK_REQUESTS_MAX);
	assert_in_range(pick_inbound_us(p, 0), PICK_REQUESTS_MAX * 10000 - 1,
	    PICK_REQUESTS_MAX * 10000 + 1);
	p->rate_fraction = 0.5;
	assert_in_range(pick_inbound_us(p, 0), PICK_REQUESTS_MAX * 20000 - 1,
	    PICK_REQUESTS_MAX * 20000 + 1);
	pick_remove_peer(p, &a, 0);
	pick_remove_peer(p, &b, 0);
	pick_free(p);
}

/* Guards against a link that counts as fast, and as free of queues, for as long as
 * it is too slow for one chunk to arrive. */
static void
test_slow_link_shows_before_a_chunk_arrives(void **state)
{
	struct pick *p = new_pick(not_reader());
	struct pick_peer a = { 0 }, b = { 0 };

	pick_add_peer(p, &a, true);
	pick_add_peer(p, &b, true);
	add_all_chunks(p, &a);
	add_all_chunks(p, &b);
	(void)start_all(p, 0);
	assert_false(pick_arrives_slowly(p, PICK_REQUESTS_MAX * 10000));
	assert_true(pick_arrives_slowly(p, PICK_REQUESTS_MAX * 40000));
	assert_true(pick_inbound_us(p, 1000000) >= 1000000);
	pick_remove_peer(p, &a, 0);
	pick_remove_peer(p, &b, 0);
	assert_false(pick_arrives_slowly(p, 1000000));
	pick_free(p);
}

/* Guards against the same for one peer that sends nothing, while another one's
 * chunks arrive. */
static void
test_one_silent_peer_is_no_slow_link(void **state)
{
	struct pick *p = new_pick(not_reader());
	struct pick_peer silent = { 0 }, quick = { 0 };
	struct pick_fetch *fetch;
	int64_t now_us;

	pick_add_peer(p, &silent, true);
	pick_add_peer(p, &quick, true);
	add_all_chunks(p, &silent);
	add_all_chunks(p, &quick);
	for (now_us = 0; now_us < 500000; now_us += 10000) {
		(void)start_all(p, now_us);
		TAILQ_FOREACH (fetch, &p->fetches, link) {
			if (fetch->peer == &quick)
				break;
		}
		if (fetch == NULL)
			break;
		assert_false(pick_arrives_slowly(p, now_us + 10000));
		pick_received(p, fetch->index, now_us + 10000);
	}
	assert_true(now_us >= 50000);
	pick_remove_peer(p, &silent, 0);
	pick_remove_peer(p, &quick, 0);
	pick_free(p);
}

/* Near the end several peers have the last chunk. It is requested from only one
 * peer, and from another after the first has sent nothing for the stall
 * timeout. */
static void
test_no_duplicate_before_stall_timeout(void **state)
{
	struct pick *p = new_pick(&ranks[0]);
	int64_t timeout_us = pick_stall_timeout_us(p);
	struct pick_peer one = { 0 }, two = { 0 };
	struct pick_action a;
	uint64_t i;

	for (i = 1; i < CHUNKS; i++)
		pick_complete(p, i);
	pick_add_peer(p, &one, true);
	pick_add_peer(p, &two, true);
	add_all_chunks(p, &one);
	add_all_chunks(p, &two);
	pick_peer_load(&two, 1, 0);
	a = start_all(p, 0);
	assert_int_equal(one.open_requests, 1);
	assert_int_equal(two.open_requests, 0);
	assert_int_equal(a.kind, PICK_WAIT);
	assert_int_equal(a.until_us, timeout_us);
	a = next(p, timeout_us);
	assert_int_equal(a.kind, PICK_EXPIRE);
	pick_failed(p, a.index, a.peer, PICK_STALLED, timeout_us);
	a = next(p, timeout_us);
	assert_ptr_equal(a.peer, &two);
	pick_remove_peer(p, &one, timeout_us);
	pick_remove_peer(p, &two, timeout_us);
	pick_free(p);
}

/* A peer reported that it was busy, and nothing since. The reported load must
 * decrease with time; otherwise hosts whose peers had all been busy once, and
 * had no changes to report since, would wait forever. */
static void
test_busy_peer_is_retried(void **state)
{
	struct pick *p = new_pick(not_reader());
	struct pick_peer one = { 0 };
	struct pick_action a;

	pick_add_peer(p, &one, true);
	pick_peer_has(p, &one, 3, 0);
	pick_peer_load(&one, PICK_LOAD_MAX, 0);
	a = next(p, 0);
	assert_int_equal(a.kind, PICK_WAIT);
	assert_in_range(a.until_us, 1, SECOND / 10);
	assert_int_equal(next(p, a.until_us).kind, PICK_REQUEST);
	pick_remove_peer(p, &one, 0);
	pick_free(p);
}

/* Received bytes extend the deadline: a slow link is not a stalled one. */
static void
test_progress_extends_stall_timeout(void **state)
{
	struct pick *p = new_pick(&ranks[0]);
	int64_t timeout_us = pick_stall_timeout_us(p);
	struct pick_peer one = { 0 };
	struct pick_action a;

	pick_add_peer(p, &one, true);
	pick_peer_has(p, &one, 3, 0);
	start_all(p, 0);
	pick_progress(p, 3, timeout_us - 1);
	a = next(p, timeout_us);
	assert_int_not_equal(a.kind, PICK_EXPIRE);
	pick_remove_peer(p, &one, timeout_us);
	pick_free(p);
}

/* A peer sends wrong bytes for a chunk that no other peer has. It no longer
 * counts as a holder, so that the chunk can be read from the origin and is not
 * requested from this peer again. */
static void
test_corrupt_chunk_removes_holder(void **state)
{
	struct pick *p = new_pick(reader(0));
	struct pick_peer corrupt = { 0 };
	struct pick_action a;
	uint64_t own;
	uint64_t i;

	for (own = 0; rank_self(reader(0), own) != 0; own++)
		;
	for (i = 0; i < CHUNKS; i++) {
		if (i != own)
			pick_complete(p, i);
	}
	pick_add_peer(p, &corrupt, true);
	add_all_chunks(p, &corrupt);
	a = start_all(p, 0);
	assert_int_equal(corrupt.open_requests, 1);
	pick_received(p, own, 0);
	pick_failed(p, own, &corrupt, PICK_CORRUPT, 0);
	a = next(p, pick_claim_timeout_us(p));
	assert_int_equal(a.kind, PICK_READ);
	pick_remove_peer(p, &corrupt, 0);
	pick_free(p);
}

/* Further copies are read only once all chunks of the first are claimed, and
 * each host reads at most its share of them. */
static void
test_extra_copies_are_bounded(void **state)
{
	struct pick *p = new_pick(&ranks[0]);
	struct pick_action a;
	unsigned int extra = 0;
	uint64_t i;

	pick_set_copies(p, 2);
	for (i = 1; i < CHUNKS; i++)
		pick_claimed(p, i, 0, 0);
	a = next(p, 0);
	assert_true(a.kind == PICK_WAIT || !a.extra);
	pick_claimed(p, 0, 0, 0);
	for (a = next(p, 0); a.kind == PICK_READ; a = next(p, 0)) {
		assert_true(a.extra);
		pick_begin(p, &a, 0);
		pick_received(p, a.index, 0);
		pick_complete(p, a.index);
		extra++;
	}
	assert_int_equal(extra, (CHUNKS + HOSTS - 1) / HOSTS);
	pick_free(p);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_ranking_is_the_same_everywhere),
		cmocka_unit_test(test_no_read_before_members_are_known),
		cmocka_unit_test(test_reads_in_turn),
		cmocka_unit_test(test_failed_read_is_retried_soon),
		cmocka_unit_test(test_failed_read_is_retried_after_a_takeover),
		cmocka_unit_test(test_own_chunks_are_read_first),
		cmocka_unit_test(test_max_reads_open),
		cmocka_unit_test(test_origin_chunk_at_peer_ends_backoff),
		cmocka_unit_test(test_count_origin_only),
		cmocka_unit_test(test_next_rank_reads_after_claim_timeout),
		cmocka_unit_test(test_takeover_from_slow_reader),
		cmocka_unit_test(test_inbound_wait_behind_requests),
		cmocka_unit_test(test_slow_link_shows_before_a_chunk_arrives),
		cmocka_unit_test(test_one_silent_peer_is_no_slow_link),
		cmocka_unit_test(test_late_claim_resets_claim_timeout),
		cmocka_unit_test(test_same_domain_then_idle_then_rarest),
		cmocka_unit_test(test_no_duplicate_before_stall_timeout),
		cmocka_unit_test(test_busy_peer_is_retried),
		cmocka_unit_test(test_progress_extends_stall_timeout),
		cmocka_unit_test(test_corrupt_chunk_removes_holder),
		cmocka_unit_test(test_extra_copies_are_bounded),
	};

	return cmocka_run_group_tests(tests, setup, NULL);
}
