#ifndef SERVE_TGT_INTERNAL_H
#define SERVE_TGT_INTERNAL_H

/* Shared by the files of tgt: tgt.c holds the targets' state, tgt_rate.c
 * their rate limits, tgt_notice.c their announcements, tgt_choose.c the load estimate and the selection. */

#include "serve/tgt.h"

struct tgt_set {
	char *region;
	struct tgt_policy policy;
	GHashTable *regions; /* failure domain -> region */
	GHashTable *services; /* name -> struct tgt_service */
	GHashTable *by_id;
	GHashTable *by_address;
	/* Records whose address a later one took over: id -> struct sv_target.
	 * One of them gets it back if the later record is removed first. */
	GHashTable *displaced;
	TAILQ_HEAD(tgt_kept_list, tgt_kept) kept; /* see tgt_notice.c */
	unsigned int nkept;
	int64_t restored_us; /* the store, from an older copy; 0: never */
	/* By then the set has the targets that were listed before it; 0: none was
	 * added yet. */
	int64_t learn_until_us;
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

/* Announcements of a target that is dropped, its removal, and the uncertainty of
 * its weights are kept and apply again when the same start of it is added again. */
void tgt_notice_keep(struct tgt_set *s, const struct tgt *t);
void tgt_notice_restore(struct tgt_set *s, struct tgt *t, int64_t now_us);
/* The store was restored: what records said holds as announced. */
void tgt_notice_restored(struct tgt_set *s);
void tgt_notice_discard(struct tgt_set *s, const char *id);
void tgt_notice_free(struct tgt_set *s);

#endif
