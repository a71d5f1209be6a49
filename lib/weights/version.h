#ifndef WEIGHTS_VERSION_H
#define WEIGHTS_VERSION_H

/* Shapes of a version that only this package needs. */

#include "weights/weights.h"

/* A list larger than this (two million chunks) is refused unread. */
#define WTS_LIST_MAX (64u << 20)

/* Bounds of bytes and chunk_bytes that a transfer accepts. */
bool version_is_sane(const struct wts_version *v);
uint64_t version_chunk_len(const struct wts_version *v, uint64_t index);
uint64_t version_list_len(const struct wts_version *v);
/* The digest of chunk `index` within the raw list. */
const struct digest *version_chunk_digest(GBytes *list, uint64_t index);
/* A digest stream fed with the root's preamble: the list's bytes added in
 * any slices give the root. */
struct digest_stream *version_root_stream(uint64_t bytes, uint64_t chunk_bytes);

#endif
