#ifndef WEIGHTS_MISMATCH_H
#define WEIGHTS_MISMATCH_H

/*
 * mismatch: copies of chunks from the origin that do not match the chunk list. A
 * corrupt copy differs from the next one; the same bytes twice indicate that
 * the digest in the list is corrupt.
 */

#include "weights/weights.h"

struct mismatches;

struct mismatches *mismatches_new(void);
void mismatches_free(struct mismatches *m);
/* A copy of chunk `index` with this digest did not match. */
void mismatches_add(
    struct mismatches *m, uint64_t index, const struct digest *got);
/* The chunk arrived. */
void mismatches_remove(struct mismatches *m, uint64_t index);
/* The chunk with the most equal copies, of those with WTS_MISMATCH_COPIES. */
bool mismatches_worst(const struct mismatches *m, struct wts_mismatch *out);
/* Whether there are chunks with so many equal copies, and `list` has the digest
 * of each. */
bool mismatches_explained(const struct mismatches *m, GBytes *list);

#endif
