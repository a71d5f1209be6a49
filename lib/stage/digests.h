#ifndef STAGE_DIGESTS_H
#define STAGE_DIGESTS_H

/*
 * dgs: whether a version's list of digests can be right. The origin may
 * send a corrupted list, so its sizes are compared with those that operators
 * set, and its digests are in doubt until the chunks match them. Pure.
 */

#include "common/common.h"

/* The size of a version's weights. */
struct dgs_size {
	uint64_t chunks;
	uint64_t chunk_bytes;
};

/*
 * Compares a list's sizes with the announced ones, of which 0 is not known.
 * Returns the name of the first field that differs, or NULL if none does.
 */
const char *dgs_contradiction(
    const struct dgs_size *announced, const struct dgs_size *listed);

/* A list in use of which a chunk is missing. */
struct dgs_doubt {
	/* Equal copies of a chunk from the origin do not match it. */
	bool contradicted;
	/* Reads of the list from the origin since it is in use, and the last
	 * one. */
	unsigned int rereads;
	int64_t reread_us;
};

/* Whether the list is read again from the origin now. */
bool dgs_is_reread(const struct dgs_doubt *d, int64_t now_us);

/* Roots of a version's lists; zero: none. */
struct dgs_roots {
	struct digest own; /* of the list in use */
	struct digest agreed; /* that several other sidecars read */
	struct digest rejected; /* of the list in use before */
};

/* Whether an incomplete version goes on with the root that others agree on:
 * independent reads of equal bytes outweigh one read. */
bool dgs_follows_others(const struct dgs_roots *r);

#endif
