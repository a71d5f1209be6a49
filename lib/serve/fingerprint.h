#ifndef SERVE_FINGERPRINT_H
#define SERVE_FINGERPRINT_H

/*
 * fingerprint: knows a request again by its content. Its id names one attempt
 * of its caller; the same request may come again under another id, at any
 * entry, and all entries compute the same for it. Pure.
 */

#include <stddef.h>
#include <stdint.h>

#include "http/http.h"

/* What makes two requests the same. Nothing of it is kept. */
struct fpr_content {
	const char *host; /* of the route */
	struct hslice target; /* path and query */
	const char *workspace; /* workspace of its key; NULL: anonymous */
	const void *body;
	size_t body_len;
};

/* Never 0. SHA-256, cut to 64 bits: a caller cannot make a request that is
 * taken for another caller's. */
uint64_t fpr_of(const struct fpr_content *c);

#endif
