/* Fingerprints of requests and of the parts of their prompts. */

#include <string.h>

#include "serve/fingerprint.h"

/* The kind is stored in the highest bits. */
#define KIND_SHIFT 62

/* Prefixes each item with its length, which separates it from the next one. */
static void
add_item(struct digest_stream *s, const void *data, size_t len)
{
	uint64_t size = GUINT64_TO_BE((uint64_t)len);

	digest_stream_add(s, &size, sizeof(size));
	if (len > 0)
		digest_stream_add(s, data, len);
}

static void
add_text(struct digest_stream *s, const char *text)
{
	add_item(s, text, text == NULL ? 0 : strlen(text));
}

static uint64_t
fingerprint_of(struct digest_stream *s, enum fpr_kind kind)
{
	struct digest digest;
	uint64_t bits;

	digest_stream_end(s, &digest);
	memcpy(&bits, digest.bytes, sizeof(bits));
	bits = GUINT64_FROM_BE(bits) >> (64 - KIND_SHIFT);
	return ((uint64_t)kind << KIND_SHIFT) | (bits == 0 ? 1 : bits);
}

uint64_t
fpr_of(const struct fpr_content *c)
{
	struct digest_stream *s = digest_stream_new();

	add_text(s, c->host);
	add_text(s, c->workspace);
	add_item(s, c->target.p, c->target.n);
	add_item(s, c->body, c->body_len);
	return fingerprint_of(s, FPR_CONTENT);
}

uint64_t
fpr_of_part(struct slice id)
{
	struct digest_stream *s = digest_stream_new();
	char *lower = g_ascii_strdown((const char *)id.data, (gssize)id.len);

	add_item(s, lower, id.len);
	g_free(lower);
	return fingerprint_of(s, FPR_PART);
}

enum fpr_kind
fpr_kind_of(uint64_t fingerprint)
{
	uint64_t kind = fingerprint >> KIND_SHIFT;

	return kind < FPR_KINDS ? (enum fpr_kind)kind : FPR_CONTENT;
}

const char *
fpr_kind_name(uint64_t fingerprint)
{
	static const char *const names[] = {
		[FPR_CONTENT] = "content",
		[FPR_PART] = "part",
	};

	return names[fpr_kind_of(fingerprint)];
}
