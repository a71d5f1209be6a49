/* Checks of a version's list of digests. */

#include "stage/digests.h"

/* Time between two reads of a list. It doubles while the copies of a chunk
 * still contradict the list. */
#define REREAD_MIN_US 300000
#define REREAD_MAX_US 5000000
#define REREAD_DOUBLINGS 5

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

bool
dgs_is_reread(const struct dgs_doubt *d, int64_t now_us)
{
	int64_t pause_us = (int64_t)REREAD_MIN_US
	    << MIN(d->rereads, REREAD_DOUBLINGS);

	if (!d->contradicted)
		return false;
	return d->reread_us == 0 ||
	    now_us - d->reread_us >= MIN(pause_us, REREAD_MAX_US);
}

bool
dgs_follows_others(const struct dgs_roots *r)
{
	return !digest_is_none(&r->own) && !digest_is_none(&r->agreed) &&
	    !digest_equal(&r->agreed, &r->own) &&
	    !digest_equal(&r->agreed, &r->rejected);
}
