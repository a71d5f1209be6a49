/* Request fingerprints. */

#include <string.h>

#include "serve/fingerprint.h"

/* Prefixes each part with its length, which separates it from the next one. */
static void
add_part(struct digest_stream *s, const void *data, size_t len)
{
	uint64_t size = GUINT64_TO_BE((uint64_t)len);

	digest_stream_add(s, &size, sizeof(size));
	if (len > 0)
		digest_stream_add(s, data, len);
}

static void
add_text(struct digest_stream *s, const char *text)
{
	add_part(s, text, text == NULL ? 0 : strlen(text));
}

uint64_t
fpr_of(const struct fpr_content *c)
{
	struct digest_stream *s = digest_stream_new();
	struct digest digest;
	uint64_t bits;

	add_text(s, c->host);
	add_text(s, c->workspace);
	add_part(s, c->target.p, c->target.n);
	add_part(s, c->body, c->body_len);
	digest_stream_end(s, &digest);
	memcpy(&bits, digest.bytes, sizeof(bits));
	bits = GUINT64_FROM_BE(bits);
	return bits == 0 ? 1 : bits;
}
