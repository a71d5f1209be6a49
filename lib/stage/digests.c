/* Checks of a version's list of digests. */

#include "stage/digests.h"

const char *
dgs_contradiction(
    const struct dgs_size *announced, const struct dgs_size *listed)
{
	if (announced->chunk_bytes != 0 &&
	    announced->chunk_bytes != listed->chunk_bytes)
		return "chunk_bytes";
	if (announced->chunks != 0 && announced->chunks != listed->chunks)
		return "chunks";
	return NULL;
}
