#ifndef WEIGHTS_HOLD_H
#define WEIGHTS_HOLD_H

/*
 * hold: the in-memory store of this host's chunks, keyed by digest and length.
 * Each version that needs a chunk holds a reference to it; a chunk is freed with
 * its last reference. Memory for all chunks of a version is reserved when it is
 * opened, so that a running transfer cannot run out of memory.
 */

#include "weights/weights.h"

struct hold;
struct hold_version;

/* Chunk `index` of `version` is now available, stored through this version or
 * another. */
typedef void hold_filled_cb(
    struct hold_version *version, uint64_t index, void *ctx);

struct hold *hold_new(uint64_t memory_bytes);
void hold_free(struct hold *hold); /* every version must be closed */

/*
 * Reserves memory for the chunks of `v` that are not stored yet; `list` is its
 * verified chunk list. Returns NULL if they do not fit, and stores the number
 * of missing bytes in `missing_out` (may be NULL). `filled` is not called for
 * chunks that are stored already.
 */
struct hold_version *hold_open(struct hold *hold, const struct wts_version *v,
    GBytes *list, hold_filled_cb *filled, void *ctx, uint64_t *missing_out);
void hold_close(struct hold_version *version);
/* As hold_close, but the chunks are retained until hold_release_retired, or
 * until another version needs the memory, so that a version opened in the
 * meantime can reuse them. */
void hold_retire(struct hold_version *version);
void hold_release_retired(struct hold *hold);
bool hold_has(const struct hold_version *version, uint64_t index);
/* Borrowed; NULL if not stored. */
GBytes *hold_get(const struct hold_version *version, uint64_t index);
/* Stores bytes whose digest and length were verified and calls `filled` for
 * every use of the chunk, including this one. A chunk that is stored already is
 * unchanged. */
void hold_put(struct hold_version *version, uint64_t index, GBytes *bytes);
uint64_t hold_reserved(const struct hold *hold); /* bytes */

#endif
