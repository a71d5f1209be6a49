#ifndef WEIGHTS_HOLD_H
#define WEIGHTS_HOLD_H

/*
 * hold: the chunks in this host's memory, keyed by digest. Each version that
 * needs a chunk holds a reference to it; a chunk goes with its last
 * reference. Room for all chunks of a version is reserved when it is opened,
 * so that a transfer that began cannot run out of memory half way.
 */

#include "weights/weights.h"

struct hold;
struct hold_version;

/* Chunk `index` of `version` has become available, by whichever version. */
typedef void hold_filled_cb(
    struct hold_version *version, uint64_t index, void *ctx);

struct hold *hold_new(uint64_t memory_bytes);
void hold_free(struct hold *hold); /* every version must be closed */

/*
 * Reserves room for the chunks of `v` that are not held yet; `list` is its
 * verified chunk list. NULL when they do not fit: `missing_out` (may be NULL)
 * then says by how many bytes. `filled` is not called for chunks held already.
 */
struct hold_version *hold_open(struct hold *hold, const struct wts_version *v,
    GBytes *list, hold_filled_cb *filled, void *ctx, uint64_t *missing_out);
void hold_close(struct hold_version *version);
/* As hold_close, but the chunks stay until hold_release_retired or until another
 * version needs the room: a version about to be opened may share them. */
void hold_retire(struct hold_version *version);
void hold_release_retired(struct hold *hold);
bool hold_has(const struct hold_version *version, uint64_t index);
/* Borrowed; NULL when not held. */
GBytes *hold_get(const struct hold_version *version, uint64_t index);
/* Keeps verified bytes; calls `filled` for every use of the chunk, this
 * one included. A chunk held already is left as it is. */
void hold_put(struct hold_version *version, uint64_t index, GBytes *bytes);
uint64_t hold_reserved(const struct hold *hold); /* bytes */

#endif
