/* SHA-256 digests, HMAC, portable 64-bit hashes, random numbers. */

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>
#include <string.h>

#include "common/common.h"

void
digest_of(const void *data, size_t len, struct digest *out)
{
	unsigned int size = DIGEST_BYTES;

	if (EVP_Digest(data, len, out->bytes, &size, EVP_sha256(), NULL) != 1)
		g_error("SHA-256 failed");
}

bool
digest_equal(const struct digest *a, const struct digest *b)
{
	return memcmp(a->bytes, b->bytes, DIGEST_BYTES) == 0;
}

bool
digest_is_none(const struct digest *d)
{
	static const struct digest none;

	return digest_equal(d, &none);
}

void
digest_to_hex(const struct digest *d, char out[DIGEST_HEX])
{
	static const char digits[] = "0123456789abcdef";
	size_t i;

	for (i = 0; i < DIGEST_BYTES; i++) {
		out[2 * i] = digits[d->bytes[i] >> 4];
		out[2 * i + 1] = digits[d->bytes[i] & 15];
	}
	out[2 * DIGEST_BYTES] = '\0';
}

bool
digest_from_hex(const char *hex, struct digest *out)
{
	size_t i;
	int high, low;

	if (hex == NULL || strlen(hex) != DIGEST_HEX - 1)
		return false;
	for (i = 0; i < DIGEST_BYTES; i++) {
		high = g_ascii_xdigit_value(hex[2 * i]);
		low = g_ascii_xdigit_value(hex[2 * i + 1]);
		if (high < 0 || low < 0)
			return false;
		out->bytes[i] = (uint8_t)(high << 4 | low);
	}
	return true;
}

guint
digest_hash(gconstpointer d)
{
	guint value;

	memcpy(&value, d, sizeof(value));
	return value;
}

gboolean
digest_equal_ptr(gconstpointer a, gconstpointer b)
{
	return digest_equal(a, b);
}

/* ------------------------------------------------------------------ */
/* Incremental hashing                                                 */
/* ------------------------------------------------------------------ */

struct digest_stream {
	EVP_MD_CTX *md;
};

struct digest_stream *
digest_stream_new(void)
{
	struct digest_stream *s = g_new0(struct digest_stream, 1);

	s->md = EVP_MD_CTX_new();
	if (s->md == NULL || EVP_DigestInit_ex(s->md, EVP_sha256(), NULL) != 1)
		g_error("SHA-256 failed");
	return s;
}

void
digest_stream_add(struct digest_stream *s, const void *data, size_t len)
{
	if (EVP_DigestUpdate(s->md, data, len) != 1)
		g_error("SHA-256 failed");
}

void
digest_stream_end(struct digest_stream *s, struct digest *out)
{
	unsigned int size = DIGEST_BYTES;

	if (EVP_DigestFinal_ex(s->md, out->bytes, &size) != 1)
		g_error("SHA-256 failed");
	digest_stream_free(s);
}

void
digest_stream_free(struct digest_stream *s)
{
	if (s == NULL)
		return;
	EVP_MD_CTX_free(s->md);
	g_free(s);
}

/* ------------------------------------------------------------------ */
/* HMAC, 64-bit hashes, random numbers                                 */
/* ------------------------------------------------------------------ */

void
hmac_of(const void *key, size_t key_len, const void *data, size_t len,
    struct digest *out)
{
	unsigned int size = DIGEST_BYTES;

	if (HMAC(EVP_sha256(), key, (int)key_len, data, len, out->bytes,
		&size) == NULL)
		g_error("HMAC failed");
}

bool
digest_equal_secret(const struct digest *a, const struct digest *b)
{
	return CRYPTO_memcmp(a->bytes, b->bytes, DIGEST_BYTES) == 0;
}

void
random_bytes(void *out, size_t len)
{
	if (RAND_bytes(out, (int)len) != 1)
		g_error("the random number generator failed");
}

/* The splitmix64 finaliser: every input bit affects every output bit. */
static uint64_t
mix64(uint64_t z)
{
	z = (z ^ z >> 30) * 0xbf58476d1ce4e5b9ULL;
	z = (z ^ z >> 27) * 0x94d049bb133111ebULL;
	return z ^ z >> 31;
}

uint64_t
hash64(uint64_t seed, const void *data, size_t len)
{
	const uint8_t *p = data;
	uint64_t h = 0xcbf29ce484222325ULL ^ mix64(seed);
	size_t i;

	for (i = 0; i < len; i++)
		h = (h ^ p[i]) * 0x100000001b3ULL; /* FNV-1a */
	return mix64(h);
}

void
rng_seed(struct rng *r, uint64_t seed)
{
	r->state = seed;
}

uint64_t
rng_next(struct rng *r)
{
	r->state += 0x9e3779b97f4a7c15ULL;
	return mix64(r->state);
}

uint64_t
rng_below(struct rng *r, uint64_t bound)
{
	g_assert(bound > 0);
	return rng_next(r) % bound;
}
