#ifndef WEIGHTS_MISFIT_H
#define WEIGHTS_MISFIT_H

/*
 * misfit: copies of chunks from the origin that do not match the chunk list. A
 * corrupt copy differs from the next one; the same bytes twice indicate that
 * the digest in the list is corrupt.
 */

#include "weights/weights.h"

struct misfits;

struct misfits *misfits_new(void);
void misfits_free(struct misfits *m);
/* A copy of chunk `index` with this digest did not match. */
void misfits_add(struct misfits *m, uint64_t index, const struct digest *got);
/* The chunk arrived. */
void misfits_remove(struct misfits *m, uint64_t index);
/* The chunk with the most equal copies, of those with WTS_MISFIT_COPIES. */
bool misfits_worst(const struct misfits *m, struct wts_misfit *out);
/* Whether `list` has the digest of each chunk with so many equal copies. */
bool misfits_match(const struct misfits *m, GBytes *list);

#endif
