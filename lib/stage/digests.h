#ifndef STAGE_DIGESTS_H
#define STAGE_DIGESTS_H

/*
 * dgs: what a sidecar believes of a version's list of digests. The origin may
 * send a corrupted list, so its sizes are compared with those that operators
 * set. Pure.
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

#endif
