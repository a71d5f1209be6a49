#ifndef SERVE_FINGERPRINT_H
#define SERVE_FINGERPRINT_H

/*
 * fingerprint: identifies a request by its content. A request id names one
 * attempt of a caller; the same request may be retried under another id and at
 * any gateway, and all gateways compute the same fingerprint for it.
 */

#include <stddef.h>
#include <stdint.h>

#include "http/http.h"

/* Two requests are the same if these are equal. Nothing of it is retained. */
struct fpr_content {
	const char *host; /* of the route */
	struct hslice target; /* path and query */
	const char *workspace; /* that the key belongs to; NULL: anonymous */
	const void *body;
	size_t body_len;
};

/* Never 0. SHA-256 truncated to 64 bits, so that a caller cannot craft a
 * request with the fingerprint of another caller's. */
uint64_t fpr_of(const struct fpr_content *c);

#endif
