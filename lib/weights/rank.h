#ifndef WEIGHTS_RANK_H
#define WEIGHTS_RANK_H

/*
 * rank: who reads which chunk from the origin, as every host computes it
 * alike from the members of the rollout (rendezvous hashing).
 *
 * A few members, spread over the failure domains, are the readers. Each
 * chunk has a first reader, and the others step in by turn; the other members
 * follow in one order that is the same for all chunks. Few readers keep the
 * origin's link to few reads at a time: with all members reading at once
 * every first chunk would be whole only when almost all are, and no host
 * could pass anything on until then.
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
	unsigned int self; /* this host's place among the readers, RANK_NONE */
	unsigned int rank_behind; /* places behind the readers, when not one */
};

/*
 * `members` are all members, this host (`self` is its index) included. Where
 * some are in `domain` (may be NULL), the readers are of these alone: what the
 * origin sends then crosses no link between domains.
 */
void rank_build(struct rank *r, const struct digest *root,
    const struct rank_member *members, size_t n, size_t self);
void rank_build_in(struct rank *r, const struct digest *root,
    const struct rank_member *members, size_t n, size_t self,
    const char *domain);
/* How many of the members in `self`'s domain come before it in fetching
 * `chunk` from other domains. */
unsigned int rank_cross_domain(const struct digest *root,
    const struct rank_member *members, size_t n, size_t self, uint64_t chunk);
/* Place of the first reader of a chunk. */
unsigned int rank_first_reader(const struct rank *r, uint64_t chunk);
/* This host's rank for a chunk; 0 reads it in turn. */
unsigned int rank_self(const struct rank *r, uint64_t chunk);
/* Whether member `id` is a reader. */
bool rank_is_reader(
    const struct rank *r, const struct digest *root, const char *id);

#endif
