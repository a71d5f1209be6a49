/* Targets assumed to have a prompt prefix cached. */

#include "route/fleet_internal.h"

#define FNV_OFFSET_BASIS 0xcbf29ce484222325ULL
#define FNV_PRIME 0x100000001b3ULL

#define PREFIXES_MAX 16384 /* the least recently used is evicted */
/* Holders expire, as the event for the removal of a prefix may be lost. */
#define HOLDER_TTL_US (120 * G_USEC_PER_SEC)

struct holder {
	struct rt_target *target; /* NULL: none */
	uint32_t cache_epoch; /* of the target, at insertion */
	int64_t expires_us;
};

struct prefix_entry {
	TAILQ_ENTRY(prefix_entry) link;
	uint64_t prefix;
	struct holder holder[PREFIX_HOLDERS];
};

struct prefix_map {
	GHashTable *entries; /* prefix -> struct prefix_entry */
	TAILQ_HEAD(prefix_entries, prefix_entry) lru; /* oldest use first */
};

/* ------------------------------------------------------------------ */
/* The hash                                                            */
/* ------------------------------------------------------------------ */

void
rt_prefix_begin(struct rt_prefix *prefix)
{
	prefix->hash = FNV_OFFSET_BASIS;
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
/* Map of prefixes to targets                                          */
/* ------------------------------------------------------------------ */

struct prefix_map *
prefix_map_new(void)
{
	struct prefix_map *map = g_new0(struct prefix_map, 1);

	map->entries =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	TAILQ_INIT(&map->lru);
	return map;
}

void
prefix_map_free(struct prefix_map *map)
{
	g_hash_table_unref(map->entries);
	g_free(map);
}

static struct prefix_entry *
lookup(struct prefix_map *map, uint64_t prefix)
{
	struct prefix_entry *entry = g_hash_table_lookup(map->entries, &prefix);

	if (entry == NULL)
		return NULL;
	TAILQ_REMOVE(&map->lru, entry, link);
	TAILQ_INSERT_TAIL(&map->lru, entry, link);
	return entry;
}

static struct prefix_entry *
lookup_or_add(struct prefix_map *map, uint64_t prefix)
{
	struct prefix_entry *entry = lookup(map, prefix);

	if (entry != NULL)
		return entry;
	if (g_hash_table_size(map->entries) >= PREFIXES_MAX) {
		entry = TAILQ_FIRST(&map->lru);
		TAILQ_REMOVE(&map->lru, entry, link);
		g_hash_table_remove(map->entries, &entry->prefix);
	}
	entry = g_new0(struct prefix_entry, 1);
	entry->prefix = prefix;
	TAILQ_INSERT_TAIL(&map->lru, entry, link);
	g_hash_table_insert(map->entries, &entry->prefix, entry);
	return entry;
}

static bool
is_valid(const struct holder *h, int64_t now_us)
{
	return h->target != NULL && h->expires_us > now_us &&
	    h->cache_epoch == h->target->cache_epoch;
}

/* The slot of the target, else a free one, else the first to expire. */
static struct holder *
holder_slot(
    struct prefix_entry *entry, const struct rt_target *target, int64_t now_us)
{
	struct holder *oldest = &entry->holder[0];
	size_t i;

	for (i = 0; i < PREFIX_HOLDERS; i++) {
		if (entry->holder[i].target == target)
			return &entry->holder[i];
	}
	for (i = 0; i < PREFIX_HOLDERS; i++) {
		if (!is_valid(&entry->holder[i], now_us))
			return &entry->holder[i];
		if (entry->holder[i].expires_us < oldest->expires_us)
			oldest = &entry->holder[i];
	}
	return oldest;
}

void
rt_fleet_prefix_sent(struct rt_fleet *fleet, struct rt_target *target,
    uint64_t prefix, int64_t now_us)
{
	if (prefix == 0)
		return;
	*holder_slot(lookup_or_add(fleet->prefixes, prefix), target, now_us) =
	    (struct holder){
		    .target = target,
		    .cache_epoch = target->cache_epoch,
		    .expires_us = now_us + HOLDER_TTL_US,
	    };
}

void
rt_fleet_prefix_event(struct rt_fleet *fleet, struct rt_target *target,
    uint64_t prefix, bool present, int64_t now_us)
{
	struct prefix_entry *entry;
	size_t i;

	if (present) {
		rt_fleet_prefix_sent(fleet, target, prefix, now_us);
		return;
	}
	entry = g_hash_table_lookup(fleet->prefixes->entries, &prefix);
	for (i = 0; entry != NULL && i < PREFIX_HOLDERS; i++) {
		if (entry->holder[i].target == target)
			entry->holder[i].target = NULL;
	}
}

size_t
prefix_map_holders(struct prefix_map *map, uint64_t prefix, int64_t now_us,
    struct rt_target *out[PREFIX_HOLDERS])
{
	struct prefix_entry *entry = lookup(map, prefix);
	size_t n = 0, i;

	for (i = 0; entry != NULL && i < PREFIX_HOLDERS; i++) {
		if (is_valid(&entry->holder[i], now_us))
			out[n++] = entry->holder[i].target;
	}
	return n;
}
