#ifndef SERVE_FINGERPRINT_H
#define SERVE_FINGERPRINT_H

/*
 * fingerprint: identifies what a request may share with other requests, so that
 * all gateways recognise it: its content, as the same request may be retried
 * under another id, or a part of its prompt, which may be common to requests
 * that differ in all else. The kind is part of the fingerprint.
 */

#include <stddef.h>
#include <stdint.h>

#include "http/http.h"

enum fpr_kind {
	FPR_CONTENT,
	FPR_PART,
	FPR_KINDS,
};

/* Two requests are the same if these are equal. Nothing of it is retained. */
struct fpr_content {
	const char *host; /* of the route */
	struct hslice target; /* path and query */
	const char *workspace; /* that the key belongs to; NULL: anonymous */
	const void *body;
	size_t body_len;
};

/* Never 0. SHA-256 truncated to 62 bits, so that a caller cannot craft a
 * request with the fingerprint of another caller's. */
uint64_t fpr_of(const struct fpr_content *c);
/* Never 0. Of a part's id, which is compared without regard to case. Callers
 * of all workspaces that use a part have the same fingerprint for it. */
uint64_t fpr_of_part(struct slice id);
/* FPR_CONTENT for kinds that are not known here. */
enum fpr_kind fpr_kind_of(uint64_t fingerprint);
const char *fpr_kind_name(uint64_t fingerprint); /* for log lines */

#endif
