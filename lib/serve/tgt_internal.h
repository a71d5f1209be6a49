#ifndef SERVE_TGT_INTERNAL_H
#define SERVE_TGT_INTERNAL_H

/*
 * Shared by the files of tgt: tgt.c holds what is believed of targets,
 * tgt_rate.c their rate limits, tgt_choose.c how full they are and the choice of
 * one.
 */

#include "serve/tgt.h"

struct tgt_set {
	char *region;
	struct tgt_policy policy;
	GHashTable *regions; /* failure domain -> region */
	GHashTable *services; /* name -> struct tgt_service */
	GHashTable *by_id;
	GHashTable *by_address;
};

/* A side speaks several times a second; one that was heard and is silent for
 * this long has lost its host or the way here. */
#define TGT_SIDE_SILENT_US 900000

bool tgt_side_is_heard(const struct tgt *t, int64_t now_us);
/* Whether the target's rate limit lets a request through now. */
bool tgt_rate_is_left(struct tgt_set *s, const struct tgt *t, int64_t now_us);

/* Random bits as a number from 0 up to 1. */
static inline double
tgt_part_of(uint64_t bits)
{
	return (double)(bits >> 11) / (double)(UINT64_C(1) << 53);
}

#endif
