#ifndef FLEET_INTERNAL_H
#define FLEET_INTERNAL_H

/* Definitions shared by fleet.c, choose.c and prefix.c. */

#include "route/estimate.h"
#include "route/fleet.h"

/* Targets that are interchangeable for every request. */
struct rt_group {
	char *key;
	GPtrArray *targets;
	/* Sums over the reachable and accepting targets. */
	unsigned int slots;
	unsigned int running;
	struct est_time first; /* until the first response data */
};

struct prefix_map;

struct rt_fleet {
	GHashTable *groups; /* key -> struct rt_group */
	struct prefix_map *prefixes;
};

/* The group that matches; `root` is for engines only. NULL if none. */
struct rt_group *rt_group_find(struct rt_fleet *fleet,
    const struct rt_criteria *criteria, const struct digest *root);

struct prefix_map *prefix_map_new(void);
void prefix_map_free(struct prefix_map *map);
/* Targets assumed to have the prefix cached; returns their number. */
#define PREFIX_HOLDERS 4
size_t prefix_map_holders(struct prefix_map *map, uint64_t prefix,
    int64_t now_us, struct rt_target *out[PREFIX_HOLDERS]);

#endif
