/* Rosters: pages of any number of sidecars, and which roster replaces which. */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <arpa/inet.h>
#include <string.h>

#include "serve/roster.h"

#define PORT 7700
#define ZONES 5

static GArray *
some_peers(unsigned int n)
{
	GArray *peers = g_array_new(FALSE, TRUE, sizeof(struct roster_peer));
	unsigned int i;

	for (i = 0; i < n; i++) {
		struct roster_peer p = { .ip = { 10, (uint8_t)(i % ZONES),
					     (uint8_t)(i >> 8), (uint8_t)i },
			.port = htons(PORT) };

		g_snprintf(p.domain, sizeof(p.domain), "zone-%u", i % ZONES);
		g_array_append_val(peers, p);
	}
	return peers;
}

static struct roster *
roster_at(unsigned int n, int64_t revision)
{
	struct roster *r = roster_new();

	assert_true(roster_set(r, some_peers(n), 1, revision));
	return r;
}

/* Encodes one page as a datagram, and adds it at the receiver. */
static bool
pass_page(const struct roster *from, unsigned int index, struct roster *to)
{
	GByteArray *bytes = g_byte_array_new();
	GByteArray *wire = g_byte_array_new();
	struct side_roster_page page, read;
	struct msg m = { 0 };
	bool done;

	roster_page(from, index, bytes, &page);
	page.model = slice_str("model");
	msg_pack(wire, 0, &side_roster_page_desc, &page);
	/* 16 bytes of authentication precede it. */
	assert_true(wire->len + 16 <= DGRAM_MAX);
	assert_true(msg_open(&m, wire->data, wire->len, NULL));
	assert_true(msg_read(&m, &side_roster_page_desc, &read, NULL));
	done = roster_add_page(to, &read);
	msg_close(&m);
	g_byte_array_unref(wire);
	g_byte_array_unref(bytes);
	return done;
}

static void
assert_same(const struct roster *a, const struct roster *b)
{
	const GArray *x = roster_peers(a);
	const GArray *y = roster_peers(b);

	assert_int_equal(x->len, y->len);
	assert_memory_equal(
	    x->data, y->data, x->len * sizeof(struct roster_peer));
}

/*
 * Guards against a roster that must fit in one datagram: in a deployment that
 * grew from 120 hosts to 204, hosts beyond the 140th were in no roster, so
 * nobody fetched from them, and no switch schedule counted them.
 */
static void
test_any_number_of_peers(void **state)
{
	static const unsigned int sizes[] = { 1, 140, 141, 204, 300, 600,
		2000 };
	struct roster *from, *to;
	unsigned int i, page;

	for (i = 0; i < G_N_ELEMENTS(sizes); i++) {
		from = roster_at(sizes[i], 7);
		to = roster_new();
		for (page = 0; page < roster_pages(from); page++)
			assert_int_equal(pass_page(from, page, to),
			    page + 1 == roster_pages(from));
		assert_same(from, to);
		assert_int_equal(roster_id(to).revision, 7);
		roster_free(from);
		roster_free(to);
	}
}

/* The second of three pages is lost and the roster is requested again, from
 * another gateway: its pages complete the roster, in any order. */
static void
test_lost_page(void **state)
{
	struct roster *a = roster_at(300, 7);
	struct roster *b = roster_at(300, 9); /* the same, read later */
	struct roster *to = roster_new();

	assert_false(pass_page(a, 0, to));
	assert_false(pass_page(a, 2, to));
	assert_false(pass_page(b, 2, to)); /* a duplicate */
	assert_true(pass_page(b, 1, to));
	assert_same(a, to);
	roster_free(a);
	roster_free(b);
	roster_free(to);
}

/*
 * Guards against sidecars that accept whichever roster came last. A gateway
 * that is cut off from the store knows fewer hosts than the others: each
 * desired state would change the sidecars' peers, drop connections and change
 * the switch schedule, several times a second.
 */
static void
test_older_roster_is_not_taken(void **state)
{
	struct roster *cut_off = roster_at(120, 50);
	struct roster *fresh = roster_at(204, 80);
	struct roster_id old_id = roster_id(cut_off);
	struct roster_id new_id = roster_id(fresh);
	struct roster *to = roster_new();

	assert_true(roster_is_newer(&new_id, &old_id));
	assert_false(roster_is_newer(&old_id, &new_id));
	assert_false(pass_page(fresh, 0, to));
	/* Does not interrupt a newer one. */
	assert_false(pass_page(cut_off, 0, to));
	assert_true(pass_page(fresh, 1, to));
	assert_false(pass_page(cut_off, 0, to));
	assert_same(fresh, to);
	roster_free(cut_off);
	roster_free(fresh);
	roster_free(to);
}

/*
 * Guards against sidecars that keep the roster of before for as long as a store
 * that was restored from an older copy has lower revisions: new hosts would get
 * their weights from nobody. A gateway that tells no history, of an earlier
 * release, is older than any that does.
 */
static void
test_roster_of_a_newer_history(void **state)
{
	struct roster *before = roster_at(120, 80);
	struct roster *after = roster_new(), *untold = roster_new();
	struct roster *to = roster_new();
	struct roster_id before_id, after_id, untold_id;

	assert_true(roster_set(after, some_peers(130), 2, 9));
	assert_true(roster_set(untold, some_peers(140), 0, 90));
	before_id = roster_id(before);
	after_id = roster_id(after);
	untold_id = roster_id(untold);
	assert_true(roster_is_newer(&after_id, &before_id));
	assert_false(roster_is_newer(&before_id, &after_id));
	assert_false(roster_is_newer(&untold_id, &before_id));
	assert_true(pass_page(before, 0, to));
	assert_false(pass_page(after, 0, to));
	assert_true(pass_page(after, 1, to));
	assert_false(pass_page(before, 0, to));
	assert_same(after, to);
	assert_int_equal(roster_id(to).history, 2);
	roster_free(before);
	roster_free(after);
	roster_free(untold);
	roster_free(to);
}

/* The store's list is read page by page at one revision: the longer roster
 * is newer. The same peers at another revision are the same roster. */
static void
test_roster_grows_at_one_revision(void **state)
{
	struct roster *r = roster_at(50, 0);
	struct roster_id before = roster_id(r), after;

	assert_true(roster_set(r, some_peers(100), 1, 0));
	after = roster_id(r);
	assert_true(roster_is_newer(&after, &before));
	assert_false(roster_is_newer(&before, &after));
	assert_false(roster_set(r, some_peers(100), 1, 30));
	assert_int_equal(roster_id(r).revision, 0);
	roster_free(r);
}

/* A page with inconsistent counts has no effect. */
static void
test_malformed_page(void **state)
{
	struct roster *to = roster_new();
	struct side_roster_page page = {
		.revision = 1, .digest = 1, .count = 1, .page = 1, .pages = 1
	};

	assert_false(roster_add_page(to, &page));
	page.pages = 0;
	page.page = 0;
	assert_false(roster_add_page(to, &page));
	assert_int_equal(roster_peers(to)->len, 0);
	roster_free(to);
}

/* Passes on a page of `from` after `change` altered it. */
static bool
pass_changed(const struct roster *from, unsigned int index,
    void (*change)(struct side_roster_page *page), struct roster *to)
{
	GByteArray *bytes = g_byte_array_new();
	struct side_roster_page page;
	bool done;

	roster_page(from, index, bytes, &page);
	change(&page);
	done = roster_add_page(to, &page);
	g_byte_array_unref(bytes);
	return done;
}

static void
drop_a_peer(struct side_roster_page *page)
{
	page->peers.len -= SIDE_PEER_BYTES;
}

static void
cut_a_peer(struct side_roster_page *page)
{
	page->peers.len--;
}

static void
count_more(struct side_roster_page *page)
{
	page->count += 1000;
}

static void
claim_more_pages(struct side_roster_page *page)
{
	page->pages = 1000;
}

static void
claim_fewer_pages(struct side_roster_page *page)
{
	page->pages = 1;
	page->page = 0;
}

/*
 * Guards against a roster of another number of peers than it says: it would
 * replace the whole one and count as newer than it, so that sidecars never ask
 * for the missing peers.
 */
static void
test_page_that_does_not_fit(void **state)
{
	static void (*const changes[])(
	    struct side_roster_page *) = { drop_a_peer, cut_a_peer, count_more,
		claim_more_pages, claim_fewer_pages };
	struct roster *from = roster_at(130, 7);
	struct roster *to;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(changes); i++) {
		to = roster_new();
		assert_false(pass_changed(from, 0, changes[i], to));
		assert_false(pass_changed(from, 1, changes[i], to));
		assert_int_equal(roster_peers(to)->len, 0);
		/* Nor does it stand in the way of the sound pages. */
		assert_false(pass_page(from, 0, to));
		assert_true(pass_page(from, 1, to));
		assert_same(from, to);
		roster_free(to);
	}
	roster_free(from);
}

static void
drop_domains(struct side_roster_page *page)
{
	page->domains.len = 0;
}

/* A domain that is not among the page's names is not known; the peer counts. */
static void
test_domain_out_of_range(void **state)
{
	struct roster *from = roster_at(30, 7);
	struct roster *to = roster_new();
	const GArray *peers;
	guint i;

	assert_true(pass_changed(from, 0, drop_domains, to));
	peers = roster_peers(to);
	assert_int_equal(peers->len, 30);
	for (i = 0; i < peers->len; i++)
		assert_string_equal(
		    g_array_index(peers, struct roster_peer, i).domain, "");
	roster_free(from);
	roster_free(to);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_any_number_of_peers),
		cmocka_unit_test(test_lost_page),
		cmocka_unit_test(test_older_roster_is_not_taken),
		cmocka_unit_test(test_roster_of_a_newer_history),
		cmocka_unit_test(test_roster_grows_at_one_revision),
		cmocka_unit_test(test_malformed_page),
		cmocka_unit_test(test_page_that_does_not_fit),
		cmocka_unit_test(test_domain_out_of_range),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
