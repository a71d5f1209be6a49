#ifndef SERVE_TGT_INTERNAL_H
#define SERVE_TGT_INTERNAL_H

/* Shared by the files of tgt: tgt.c holds the targets' state, tgt_rate.c
 * their rate limits, tgt_choose.c the load estimate and the selection. */

#include "serve/tgt.h"

struct tgt_set {
	char *region;
	struct tgt_policy policy;
	GHashTable *regions; /* failure domain -> region */
	GHashTable *services; /* name -> struct tgt_service */
	GHashTable *by_id;
	GHashTable *by_address;
};

/* A sidecar reports several times a second. One that sent no report for this
 * long has lost its host or its network path to this gateway. */
#define TGT_SIDE_TIMEOUT_US 900000

bool tgt_side_is_alive(const struct tgt *t, int64_t now_us);
/* Whether the target's rate limit admits a request now. */
bool tgt_rate_allows(struct tgt_set *s, const struct tgt *t, int64_t now_us);

/* Maps random bits to the interval [0, 1). */
static inline double
tgt_unit_hash(uint64_t bits)
{
	return (double)(bits >> 11) / (double)(UINT64_C(1) << 53);
}

#endif
