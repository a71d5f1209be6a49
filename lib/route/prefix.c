/* Which targets are believed to hold which prefix of a prompt. */

#include "route/fleet_internal.h"

#define FNV_START 0xcbf29ce484222325ULL
#define FNV_PRIME 0x100000001b3ULL

#define PREFIXES_MAX 16384 /* the least recently used one goes first */
/* A belief ends by itself: the event that ends it may be lost in a gap. */
#define KEEP_US (120 * G_USEC_PER_SEC)

struct holder {
	struct rt_target *target; /* NULL: none */
	uint32_t cache; /* its count when the belief began */
	int64_t until_us;
};

struct belief {
	TAILQ_ENTRY(belief) link;
	uint64_t prefix;
	struct holder holder[PREFIX_HOLDERS];
};

struct prefix_map {
	GHashTable *beliefs; /* prefix -> struct belief */
	TAILQ_HEAD(belief_list, belief) by_use; /* least recent first */
};

/* ------------------------------------------------------------------ */
/* The hash                                                            */
/* ------------------------------------------------------------------ */

void
rt_prefix_begin(struct rt_prefix *prefix)
{
	prefix->hash = FNV_START;
	prefix->len = 0;
}

void
rt_prefix_add(struct rt_prefix *prefix, const char *content)
{
	for (; *content != '\0' && prefix->len < RT_PREFIX_BYTES; content++) {
		prefix->hash ^= (uint8_t)*content;
		prefix->hash *= FNV_PRIME;
		prefix->len++;
	}
}

uint64_t
rt_prefix_end(const struct rt_prefix *prefix)
{
	return prefix->len < RT_PREFIX_MIN_BYTES ? 0 : prefix->hash;
}

/* ------------------------------------------------------------------ */
/* Beliefs                                                             */
/* ------------------------------------------------------------------ */

struct prefix_map *
prefix_map_new(void)
{
	struct prefix_map *map = g_new0(struct prefix_map, 1);

	map->beliefs =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	TAILQ_INIT(&map->by_use);
	return map;
}

void
prefix_map_free(struct prefix_map *map)
{
	g_hash_table_unref(map->beliefs);
	g_free(map);
}

static struct belief *
find(struct prefix_map *map, uint64_t prefix)
{
	struct belief *b = g_hash_table_lookup(map->beliefs, &prefix);

	if (b == NULL)
		return NULL;
	TAILQ_REMOVE(&map->by_use, b, link);
	TAILQ_INSERT_TAIL(&map->by_use, b, link);
	return b;
}

static struct belief *
find_or_add(struct prefix_map *map, uint64_t prefix)
{
	struct belief *b = find(map, prefix);

	if (b != NULL)
		return b;
	if (g_hash_table_size(map->beliefs) >= PREFIXES_MAX) {
		b = TAILQ_FIRST(&map->by_use);
		TAILQ_REMOVE(&map->by_use, b, link);
		g_hash_table_remove(map->beliefs, &b->prefix);
	}
	b = g_new0(struct belief, 1);
	b->prefix = prefix;
	TAILQ_INSERT_TAIL(&map->by_use, b, link);
	g_hash_table_insert(map->beliefs, &b->prefix, b);
	return b;
}

static bool
holds(const struct holder *h, int64_t now_us)
{
	return h->target != NULL && h->until_us > now_us &&
	    h->cache == h->target->cache_epoch;
}

/* The target's own place, else the one whose belief ends first. */
static struct holder *
place_for(struct belief *b, const struct rt_target *target, int64_t now_us)
{
	struct holder *oldest = &b->holder[0];
	size_t i;

	for (i = 0; i < PREFIX_HOLDERS; i++) {
		if (b->holder[i].target == target)
			return &b->holder[i];
	}
	for (i = 0; i < PREFIX_HOLDERS; i++) {
		if (!holds(&b->holder[i], now_us))
			return &b->holder[i];
		if (b->holder[i].until_us < oldest->until_us)
			oldest = &b->holder[i];
	}
	return oldest;
}

void
rt_fleet_prefix_sent(struct rt_fleet *fleet, struct rt_target *target,
    uint64_t prefix, int64_t now_us)
{
	if (prefix == 0)
		return;
	*place_for(find_or_add(fleet->prefixes, prefix), target, now_us) =
	    (struct holder){
		    .target = target,
		    .cache = target->cache_epoch,
		    .until_us = now_us + KEEP_US,
	    };
}

void
rt_fleet_prefix_event(struct rt_fleet *fleet, struct rt_target *target,
    uint64_t prefix, bool present, int64_t now_us)
{
	struct belief *b;
	size_t i;

	if (present) {
		rt_fleet_prefix_sent(fleet, target, prefix, now_us);
		return;
	}
	b = g_hash_table_lookup(fleet->prefixes->beliefs, &prefix);
	for (i = 0; b != NULL && i < PREFIX_HOLDERS; i++) {
		if (b->holder[i].target == target)
			b->holder[i].target = NULL;
	}
}

size_t
prefix_map_holders(struct prefix_map *map, uint64_t prefix, int64_t now_us,
    struct rt_target *out[PREFIX_HOLDERS])
{
	struct belief *b = find(map, prefix);
	size_t n = 0, i;

	for (i = 0; b != NULL && i < PREFIX_HOLDERS; i++) {
		if (holds(&b->holder[i], now_us))
			out[n++] = b->holder[i].target;
	}
	return n;
}
