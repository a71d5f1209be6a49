#ifndef WEIGHTS_VERSION_H
#define WEIGHTS_VERSION_H

/* Properties of a version that only this package needs. */

#include "weights/weights.h"

/* A larger list (more than two million chunks) is rejected without reading
 * it. */
#define WTS_LIST_MAX (64u << 20)

/* Checks the bounds of bytes and chunk_bytes that a transfer accepts. */
bool version_is_sane(const struct wts_version *v);
uint64_t version_chunk_len(const struct wts_version *v, uint64_t index);
uint64_t version_list_len(const struct wts_version *v);
/* The digest of chunk `index` in the raw list. */
const struct digest *version_chunk_digest(GBytes *list, uint64_t index);
/* A digest stream to which the preamble of the root has been added. Adding the
 * list's bytes, in slices of any size, gives the root. */
struct digest_stream *version_root_stream(uint64_t bytes, uint64_t chunk_bytes);

#endif
