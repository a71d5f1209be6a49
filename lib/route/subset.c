/* Selection of the sidecars that a gateway connects to. */

#include <string.h>

#include "route/route.h"

/* Rank of a gateway for a sidecar; the lowest comes first. */
struct rank {
	bool remote; /* the gateway is in another region */
	uint64_t hash;
};

static struct rank
rank_of(const struct rt_peer *gateway, const struct rt_peer *sidecar)
{
	uint64_t seed = hash64(0, sidecar->id, strlen(sidecar->id));

	return (struct rank){
		.remote = strcmp(gateway->region, sidecar->region) != 0,
		.hash = hash64(seed, gateway->id, strlen(gateway->id)),
	};
}

static bool
is_before(const struct rank *a, const struct rank *b)
{
	if (a->remote != b->remote)
		return !a->remote;
	return a->hash < b->hash;
}

static bool
ranks_first(const struct rt_peer *self, const struct rt_peer *gateways,
    size_t ngateways, const struct rt_peer *sidecar)
{
	struct rank self_rank = rank_of(self, sidecar), other;
	unsigned int before = 0;
	size_t i;

	for (i = 0; i < ngateways && before < RT_SUBSET_GATEWAYS; i++) {
		other = rank_of(&gateways[i], sidecar);
		if (is_before(&other, &self_rank))
			before++;
	}
	return before < RT_SUBSET_GATEWAYS;
}

/* ------------------------------------------------------------------ */
/* Minimum number of sidecars for each group of targets                */
/* ------------------------------------------------------------------ */

struct group_counts {
	GHashTable *sidecars; /* group -> number of sidecars wanted */
	bool below_min; /* a group of the sidecar is below the minimum */
	bool add;
};

static void
count_target(const struct rt_target_info *target, void *ctx)
{
	struct group_counts *c = ctx;
	char *key = g_strjoin(
	    "\n", target->workspace, target->pool, target->service, NULL);
	guint n = GPOINTER_TO_UINT(g_hash_table_lookup(c->sidecars, key));

	if (n < RT_SUBSET_SIDECARS)
		c->below_min = true;
	if (c->add)
		g_hash_table_replace(c->sidecars, key, GUINT_TO_POINTER(n + 1));
	else
		g_free(key);
}

static void
count_sidecar(struct group_counts *c, const struct rt_peer *sidecar)
{
	c->add = true;
	rt_info_each(sidecar->info, count_target, c);
}

static bool
is_needed(struct group_counts *c, const struct rt_peer *sidecar)
{
	c->add = false;
	c->below_min = false;
	rt_info_each(sidecar->info, count_target, c);
	return c->below_min;
}

struct candidate {
	struct rt_peer *sidecar;
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
add_needed(
    const struct rt_peer *self, struct rt_peer *sidecars, size_t nsidecars)
{
	struct group_counts c = { g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, NULL) };
	GArray *remaining = g_array_new(FALSE, FALSE, sizeof(struct candidate));
	struct candidate *next;
	size_t i;

	for (i = 0; i < nsidecars; i++) {
		struct candidate other = { &sidecars[i],
			rank_of(self, &sidecars[i]) };

		if (sidecars[i].wanted)
			count_sidecar(&c, &sidecars[i]);
		else
			g_array_append_val(remaining, other);
	}
	g_array_sort(remaining, by_rank);
	for (i = 0; i < remaining->len; i++) {
		next = &g_array_index(remaining, struct candidate, i);
		if (!is_needed(&c, next->sidecar))
			continue;
		next->sidecar->wanted = true;
		count_sidecar(&c, next->sidecar);
	}
	g_array_unref(remaining);
	g_hash_table_unref(c.sidecars);
}

void
rt_subset(const char *self, const struct rt_peer *gateways, size_t ngateways,
    struct rt_peer *sidecars, size_t nsidecars)
{
	const struct rt_peer *self_peer = NULL;
	size_t i;

	for (i = 0; i < ngateways; i++) {
		if (strcmp(gateways[i].id, self) == 0)
			self_peer = &gateways[i];
	}
	for (i = 0; i < nsidecars; i++) {
		sidecars[i].wanted = self_peer != NULL &&
		    ranks_first(self_peer, gateways, ngateways, &sidecars[i]);
	}
	if (self_peer != NULL)
		add_needed(self_peer, sidecars, nsidecars);
}
