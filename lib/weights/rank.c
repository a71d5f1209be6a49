/* Rendezvous ranking of origin readers. */

#include <string.h>

#include "weights/rank.h"

struct candidate {
	uint64_t hash;
	const char *domain;
	size_t index;
	bool reader;
};

static uint64_t
member_hash(const struct digest *root, const char *id)
{
	uint64_t seed;

	memcpy(&seed, root->bytes, sizeof(seed));
	return hash64(seed, id, strlen(id));
}

static int
by_hash(const void *a, const void *b)
{
	const struct candidate *x = a, *y = b;

	return (x->hash < y->hash) - (x->hash > y->hash);
}

static bool
domain_has_reader(const struct candidate *c, size_t n, const char *domain)
{
	size_t i;

	for (i = 0; i < n; i++) {
		if (c[i].reader && strcmp(c[i].domain, domain) == 0)
			return true;
	}
	return false;
}

/* Chooses the members with the highest hashes in the origin's domain. */
static void
choose_readers_in_domain(
    struct rank *r, struct candidate *c, size_t n, const char *domain)
{
	size_t i;

	for (i = 0; i < n && r->nreaders < RANK_READERS; i++) {
		if (strcmp(c[i].domain, domain) != 0)
			continue;
		c[i].reader = true;
		r->reader_hash[r->nreaders++] = c[i].hash;
	}
}

/* Chooses one member of each failure domain first, so that after the loss of a
 * domain there are readers that know what was read; then the remaining members
 * with the highest hashes. */
static void
choose_readers(struct rank *r, struct candidate *c, size_t n)
{
	int round;
	size_t i;

	for (round = 0; round < 2; round++) {
		for (i = 0; i < n && r->nreaders < RANK_READERS; i++) {
			if (c[i].reader)
				continue;
			if (round == 0 && domain_has_reader(c, n, c[i].domain))
				continue;
			c[i].reader = true;
			r->reader_hash[r->nreaders++] = c[i].hash;
		}
	}
}

void
rank_build(struct rank *r, const struct digest *root,
    const struct rank_member *members, size_t n, size_t self)
{
	rank_build_in(r, root, members, n, self, NULL);
}

void
rank_build_in(struct rank *r, const struct digest *root,
    const struct rank_member *members, size_t n, size_t self,
    const char *domain)
{
	struct candidate *c = g_new0(struct candidate, n);
	uint64_t self_hash = member_hash(root, members[self].id);
	unsigned int i;
	size_t at;

	memset(r, 0, sizeof(*r));
	for (at = 0; at < n; at++) {
		c[at] = (struct candidate){
			.hash = member_hash(root, members[at].id),
			.domain = members[at].domain,
			.index = at,
		};
	}
	qsort(c, n, sizeof(c[0]), by_hash);
	if (domain != NULL)
		choose_readers_in_domain(r, c, n, domain);
	if (r->nreaders == 0)
		choose_readers(r, c, n);
	for (at = 0; c[at].index != self; at++)
		r->rank_behind += !c[at].reader;
	r->self = RANK_NONE;
	for (i = 0; i < r->nreaders; i++) {
		if (r->reader_hash[i] == self_hash)
			r->self = i;
	}
	g_free(c);
}

/* Chunks are assigned to the readers in rotation, so that all read the same
 * number. A reader with more chunks would finish last, and all hosts would wait
 * for it. */
unsigned int
rank_first_reader(const struct rank *r, uint64_t chunk)
{
	return r->nreaders == 0 ? 0 : (unsigned int)(chunk % r->nreaders);
}

unsigned int
rank_self(const struct rank *r, uint64_t chunk)
{
	unsigned int first = rank_first_reader(r, chunk);

	if (r->self == RANK_NONE)
		return r->nreaders + r->rank_behind;
	return (r->self + r->nreaders - first) % r->nreaders;
}

unsigned int
rank_cross_domain(const struct digest *root, const struct rank_member *members,
    size_t n, size_t self, uint64_t chunk)
{
	uint64_t self_hash =
	    hash64(member_hash(root, members[self].id), &chunk, sizeof(chunk));
	unsigned int before = 0;
	size_t i;

	for (i = 0; i < n; i++) {
		if (i != self &&
		    strcmp(members[i].domain, members[self].domain) == 0)
			before += hash64(member_hash(root, members[i].id),
				      &chunk, sizeof(chunk)) > self_hash;
	}
	return before;
}

bool
rank_is_reader(const struct rank *r, const struct digest *root, const char *id)
{
	uint64_t hash = member_hash(root, id);
	unsigned int i;

	for (i = 0; i < r->nreaders; i++) {
		if (r->reader_hash[i] == hash)
			return true;
	}
	return false;
}
