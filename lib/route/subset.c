/* Which sides an entry connects to. */

#include <string.h>

#include "route/route.h"

/* Rank of an entry for a side; lower is taken first. */
struct rank {
	bool elsewhere; /* in another region */
	uint64_t hash;
};

static struct rank
rank_of(const struct rt_peer *entry, const struct rt_peer *side)
{
	uint64_t seed = hash64(0, side->id, strlen(side->id));

	return (struct rank){
		.elsewhere = strcmp(entry->region, side->region) != 0,
		.hash = hash64(seed, entry->id, strlen(entry->id)),
	};
}

static bool
is_before(const struct rank *a, const struct rank *b)
{
	if (a->elsewhere != b->elsewhere)
		return !a->elsewhere;
	return a->hash < b->hash;
}

static bool
ranks_first(const struct rt_peer *self, const struct rt_peer *entries,
    size_t nentries, const struct rt_peer *side)
{
	struct rank own = rank_of(self, side), other;
	unsigned int before = 0;
	size_t i;

	for (i = 0; i < nentries && before < RT_SUBSET_GATEWAYS; i++) {
		other = rank_of(&entries[i], side);
		if (is_before(&other, &own))
			before++;
	}
	return before < RT_SUBSET_GATEWAYS;
}

/* ------------------------------------------------------------------ */
/* Enough sides for each group of targets                              */
/* ------------------------------------------------------------------ */

struct counting {
	GHashTable *sides; /* group -> number of sides wanted */
	bool lacks; /* some group of the side has too few */
	bool add;
};

static void
look_at(const struct rt_target_info *target, void *ctx)
{
	struct counting *c = ctx;
	char *key =
	    g_strjoin("\n", target->team, target->pool, target->service, NULL);
	guint n = GPOINTER_TO_UINT(g_hash_table_lookup(c->sides, key));

	if (n < RT_SUBSET_SIDECARS)
		c->lacks = true;
	if (c->add)
		g_hash_table_replace(c->sides, key, GUINT_TO_POINTER(n + 1));
	else
		g_free(key);
}

static void
count_side(struct counting *c, const struct rt_peer *side)
{
	c->add = true;
	rt_info_each(side->info, look_at, c);
}

static bool
is_lacking(struct counting *c, const struct rt_peer *side)
{
	c->add = false;
	c->lacks = false;
	rt_info_each(side->info, look_at, c);
	return c->lacks;
}

struct candidate {
	struct rt_peer *side;
	struct rank rank;
};

static gint
by_rank(gconstpointer a, gconstpointer b)
{
	const struct candidate *x = a, *y = b;

	if (is_before(&x->rank, &y->rank))
		return -1;
	return is_before(&y->rank, &x->rank) ? 1 : 0;
}

static void
fill_up(const struct rt_peer *self, struct rt_peer *sides, size_t nsides)
{
	struct counting c = { g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, NULL) };
	GArray *rest = g_array_new(FALSE, FALSE, sizeof(struct candidate));
	struct candidate *next;
	size_t i;

	for (i = 0; i < nsides; i++) {
		struct candidate other = { &sides[i],
			rank_of(self, &sides[i]) };

		if (sides[i].wanted)
			count_side(&c, &sides[i]);
		else
			g_array_append_val(rest, other);
	}
	g_array_sort(rest, by_rank);
	for (i = 0; i < rest->len; i++) {
		next = &g_array_index(rest, struct candidate, i);
		if (!is_lacking(&c, next->side))
			continue;
		next->side->wanted = true;
		count_side(&c, next->side);
	}
	g_array_unref(rest);
	g_hash_table_unref(c.sides);
}

void
rt_subset(const char *self, const struct rt_peer *entries, size_t nentries,
    struct rt_peer *sides, size_t nsides)
{
	const struct rt_peer *own = NULL;
	size_t i;

	for (i = 0; i < nentries; i++) {
		if (strcmp(entries[i].id, self) == 0)
			own = &entries[i];
	}
	for (i = 0; i < nsides; i++) {
		sides[i].wanted = own != NULL &&
		    ranks_first(own, entries, nentries, &sides[i]);
	}
	if (own != NULL)
		fill_up(own, sides, nsides);
}
