#ifndef WEIGHTS_RANK_H
#define WEIGHTS_RANK_H

/*
 * rank: which host reads which chunk from the origin. Every host computes the
 * same result from the members of the rollout by rendezvous hashing.
 *
 * A few members, spread over the failure domains, are the readers. Each chunk
 * has a first reader, and the other readers follow in rotation; the other
 * members follow in an order that is the same for all chunks. Having few
 * readers limits the concurrent reads on the origin's link: if all members read
 * at once, the first chunks would be complete only when almost all are, and no
 * host could forward anything until then.
 */

#include "weights/weights.h"

#define RANK_READERS 8
#define RANK_NONE UINT32_MAX

struct rank_member {
	const char *id;
	const char *domain;
};

struct rank {
	unsigned int nreaders;
	uint64_t reader_hash[RANK_READERS]; /* hash of the reader's id */
	/* Index of this host among the readers, or RANK_NONE. */
	unsigned int self;
	/* Position after the readers, if not a reader. */
	unsigned int rank_behind;
};

/* `members` are all members, including this host (`self` is its index). If some
 * are in `domain` (may be NULL), only these become readers, so that data from
 * the origin crosses no link between domains. */
void rank_build(struct rank *r, const struct digest *root,
    const struct rank_member *members, size_t n, size_t self);
void rank_build_in(struct rank *r, const struct digest *root,
    const struct rank_member *members, size_t n, size_t self,
    const char *domain);
/* Number of members in the domain of `self` that precede it in fetching `chunk`
 * from other domains. */
unsigned int rank_cross_domain(const struct digest *root,
    const struct rank_member *members, size_t n, size_t self, uint64_t chunk);
/* Index of the first reader of a chunk. */
unsigned int rank_first_reader(const struct rank *r, uint64_t chunk);
/* This host's rank for a chunk; 0 is the first reader. */
unsigned int rank_self(const struct rank *r, uint64_t chunk);
bool rank_is_reader(
    const struct rank *r, const struct digest *root, const char *id);

#endif
