/* Rosters: identity, division into pages, and reassembly. */

#include <string.h>

#include "serve/roster.h"

/* Index of a peer whose domain is not among the page's names. */
#define NO_DOMAIN UINT8_MAX

/* Pages received of one roster. */
struct reassembly {
	struct roster_id id;
	GPtrArray *pages; /* GArray of struct roster_peer; NULL: missing */
	guint missing;
};

struct roster {
	struct roster_id id;
	GArray *peers;
	struct reassembly reassembly;
};

static void
reassembly_clear(struct reassembly *in)
{
	g_clear_pointer(&in->pages, g_ptr_array_unref);
	in->missing = 0;
}

struct roster *
roster_new(void)
{
	struct roster *r = g_new0(struct roster, 1);

	r->peers = g_array_new(FALSE, TRUE, sizeof(struct roster_peer));
	return r;
}

void
roster_free(struct roster *r)
{
	if (r == NULL)
		return;
	reassembly_clear(&r->reassembly);
	g_array_unref(r->peers);
	g_free(r);
}

struct roster_id
roster_id(const struct roster *r)
{
	return r->id;
}

const GArray *
roster_peers(const struct roster *r)
{
	return r->peers;
}

/* ------------------------------------------------------------------ */
/* Identity                                                            */
/* ------------------------------------------------------------------ */

static gint
by_address(gconstpointer a, gconstpointer b)
{
	const struct roster_peer *x = a;
	const struct roster_peer *y = b;
	int order = memcmp(x->ip, y->ip, sizeof(x->ip));

	return order != 0 ? order : memcmp(&x->port, &y->port, sizeof(x->port));
}

static uint64_t
digest_of_peers(const GArray *peers)
{
	const struct roster_peer *p;
	uint64_t digest = 0;
	guint i;

	for (i = 0; i < peers->len; i++) {
		p = &g_array_index(peers, struct roster_peer, i);
		digest = hash64(digest, p->ip, sizeof(p->ip));
		digest = hash64(digest, &p->port, sizeof(p->port));
		digest = hash64(digest, p->domain, strlen(p->domain));
	}
	return digest;
}

bool
roster_is_newer(const struct roster_id *a, const struct roster_id *b)
{
	if (a->digest == b->digest && a->count == b->count)
		return false;
	if (a->history != b->history)
		return a->history > b->history;
	if (a->revision != b->revision)
		return a->revision > b->revision;
	return a->count > b->count;
}

bool
roster_set(struct roster *r, GArray *peers, int64_t history, int64_t revision)
{
	uint64_t digest;

	g_array_sort(peers, by_address);
	digest = digest_of_peers(peers);
	if (digest == r->id.digest && peers->len == r->id.count) {
		g_array_unref(peers);
		return false;
	}
	g_array_unref(r->peers);
	r->peers = peers;
	r->id = (struct roster_id){ history, revision, digest, peers->len };
	return true;
}

/* ------------------------------------------------------------------ */
/* Division into pages                                                 */
/* ------------------------------------------------------------------ */

static unsigned int
pages_of(uint64_t npeers)
{
	return (unsigned int)((npeers + SIDE_PAGE_PEERS - 1) / SIDE_PAGE_PEERS);
}

unsigned int
roster_pages(const struct roster *r)
{
	return pages_of(r->peers->len);
}

/* Index of `domain` among a page's names; appends it if there is room. */
static uint8_t
domain_index(GString *names, const char *domain)
{
	char **known = g_strsplit(names->str, ",", -1);
	guint n = g_strv_length(known), i;

	for (i = 0; i < n && strcmp(known[i], domain) != 0; i++)
		continue;
	g_strfreev(known);
	if (i < n)
		return (uint8_t)i;
	if (names->len + strlen(domain) + 1 >= SIDE_DOMAINS_MAX)
		return NO_DOMAIN;
	if (names->len > 0)
		g_string_append_c(names, ',');
	g_string_append(names, domain);
	return (uint8_t)n;
}

void
roster_page(const struct roster *r, unsigned int index, GByteArray *bytes,
    struct side_roster_page *out)
{
	guint from = index * SIDE_PAGE_PEERS;
	guint to = MIN(from + SIDE_PAGE_PEERS, r->peers->len);
	GString *names = g_string_new(NULL);
	const struct roster_peer *p;
	uint8_t domain;
	guint i, peers_len;

	g_byte_array_set_size(bytes, 0);
	for (i = from; i < to; i++) {
		p = &g_array_index(r->peers, struct roster_peer, i);
		domain = domain_index(names, p->domain);
		g_byte_array_append(bytes, p->ip, sizeof(p->ip));
		g_byte_array_append(
		    bytes, (const guint8 *)&p->port, sizeof(p->port));
		g_byte_array_append(bytes, &domain, 1);
	}
	peers_len = bytes->len;
	g_byte_array_append(
	    bytes, (const guint8 *)names->str, (guint)names->len);
	*out = (struct side_roster_page){
		.history = (uint64_t)r->id.history,
		.revision = (uint64_t)r->id.revision,
		.digest = r->id.digest,
		.count = r->id.count,
		.page = index,
		.pages = roster_pages(r),
		.domains = { bytes->data + peers_len, names->len },
		.peers = { bytes->data, peers_len },
	};
	g_string_free(names, TRUE);
}

/* ------------------------------------------------------------------ */
/* Reassembly                                                          */
/* ------------------------------------------------------------------ */

static void
free_page(gpointer page)
{
	if (page != NULL)
		g_array_unref(page);
}

static void
reassembly_begin(struct reassembly *in, const struct roster_id *id, guint pages)
{
	reassembly_clear(in);
	in->id = *id;
	in->pages = g_ptr_array_new_with_free_func(free_page);
	g_ptr_array_set_size(in->pages, (gint)pages);
	in->missing = pages;
}

static bool
is_same(const struct roster_id *a, const struct roster_id *b)
{
	return a->digest == b->digest && a->count == b->count;
}

static GArray *
read_page(const struct side_roster_page *page)
{
	GArray *peers = g_array_new(FALSE, TRUE, sizeof(struct roster_peer));
	char *names = slice_dup(page->domains);
	char **domains = g_strsplit(names, ",", -1);
	guint n = g_strv_length(domains);
	const uint8_t *raw = page->peers.data;
	size_t at;

	for (at = 0; at + SIDE_PEER_BYTES <= page->peers.len;
	     at += SIDE_PEER_BYTES) {
		struct roster_peer peer = { 0 };

		memcpy(peer.ip, raw + at, sizeof(peer.ip));
		memcpy(&peer.port, raw + at + 4, sizeof(peer.port));
		if (raw[at + 6] < n)
			g_strlcpy(peer.domain, domains[raw[at + 6]],
			    sizeof(peer.domain));
		g_array_append_val(peers, peer);
	}
	g_strfreev(domains);
	g_free(names);
	return peers;
}

static void
replace_roster(struct roster *r)
{
	struct reassembly *in = &r->reassembly;
	GArray *peers = g_array_new(FALSE, TRUE, sizeof(struct roster_peer));
	const GArray *page;
	guint i;

	for (i = 0; i < in->pages->len; i++) {
		page = in->pages->pdata[i];
		g_array_append_vals(peers, page->data, page->len);
	}
	g_array_unref(r->peers);
	r->peers = peers;
	r->id = in->id;
	reassembly_clear(in);
}

/* Whether the page is one of a roster of that many peers, and holds its share of
 * them. */
static bool
is_consistent(const struct side_roster_page *page)
{
	uint64_t from = page->page * SIDE_PAGE_PEERS;

	return page->pages == pages_of(page->count) &&
	    page->page < page->pages &&
	    page->peers.len ==
	    MIN(page->count - from, SIDE_PAGE_PEERS) * SIDE_PEER_BYTES;
}

bool
roster_add_page(struct roster *r, const struct side_roster_page *page)
{
	struct roster_id id = { (int64_t)page->history, (int64_t)page->revision,
		page->digest, page->count };
	struct reassembly *in = &r->reassembly;

	if (!is_consistent(page) || !roster_is_newer(&id, &r->id))
		return false;
	if (in->pages == NULL || !is_same(&in->id, &id) ||
	    in->pages->len != page->pages) {
		/* Pages of an older roster may still arrive. */
		if (in->pages != NULL && !roster_is_newer(&id, &in->id))
			return false;
		reassembly_begin(in, &id, (guint)page->pages);
	}
	if (in->pages->pdata[page->page] != NULL)
		return false;
	in->pages->pdata[page->page] = read_page(page);
	in->missing--;
	if (in->missing > 0)
		return false;
	replace_roster(r);
	return true;
}
