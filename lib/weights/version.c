/* Versions: their chunks, chunk list and root digest. */

#include <errno.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "weights/version.h"

#define FILE_SLICE (1u << 20)

uint64_t
wts_chunk_count(const struct wts_version *v)
{
	if (v->chunk_bytes == 0)
		return 0;
	return v->bytes / v->chunk_bytes + (v->bytes % v->chunk_bytes != 0);
}

bool
version_is_sane(const struct wts_version *v)
{
	return v->bytes > 0 && v->chunk_bytes >= WTS_CHUNK_MIN &&
	    v->chunk_bytes <= WTS_CHUNK_MAX &&
	    wts_chunk_count(v) <= WTS_LIST_MAX / DIGEST_BYTES;
}

uint64_t
version_chunk_len(const struct wts_version *v, uint64_t index)
{
	uint64_t at = index * v->chunk_bytes;

	g_assert(at < v->bytes);
	return MIN(v->chunk_bytes, v->bytes - at);
}

uint64_t
version_list_len(const struct wts_version *v)
{
	return wts_chunk_count(v) * DIGEST_BYTES;
}

const struct digest *
version_chunk_digest(GBytes *list, uint64_t index)
{
	gsize len;
	const uint8_t *raw = g_bytes_get_data(list, &len);

	g_assert((index + 1) * DIGEST_BYTES <= len);
	return (const struct digest *)(raw + index * DIGEST_BYTES);
}

struct digest_stream *
version_root_stream(uint64_t bytes, uint64_t chunk_bytes)
{
	struct digest_stream *s = digest_stream_new();
	char preamble[96];
	int len = snprintf(preamble, sizeof(preamble),
	    "currantchute-version-1\n%" PRIu64 "\n%" PRIu64 "\n", bytes,
	    chunk_bytes);

	digest_stream_add(s, preamble, (size_t)len);
	return s;
}

void
wts_root(uint64_t bytes, uint64_t chunk_bytes, const uint8_t *list,
    size_t list_len, struct digest *out)
{
	struct digest_stream *s = version_root_stream(bytes, chunk_bytes);

	digest_stream_add(s, list, list_len);
	digest_stream_end(s, out);
}

/* Appends the digest of the next chunk and returns the chunk's length; 0 at the
 * end of the file. */
static size_t
digest_next_chunk(
    FILE *file, uint64_t chunk_bytes, uint8_t *buffer, GByteArray *list)
{
	struct digest_stream *s = digest_stream_new();
	struct digest digest;
	size_t got = 0;
	size_t n;

	while (got < chunk_bytes) {
		n = fread(buffer, 1, MIN(FILE_SLICE, chunk_bytes - got), file);
		if (n == 0)
			break;
		digest_stream_add(s, buffer, n);
		got += n;
	}
	digest_stream_end(s, &digest);
	if (got > 0)
		g_byte_array_append(list, digest.bytes, DIGEST_BYTES);
	return got;
}

bool
wts_digest_file(const char *path, uint64_t chunk_bytes, GByteArray *list_out,
    struct wts_version *version_out, struct err *err)
{
	FILE *file;
	uint8_t *buffer;
	size_t n;
	bool bad;

	if (chunk_bytes < WTS_CHUNK_MIN || chunk_bytes > WTS_CHUNK_MAX) {
		return err_set(err, ERR_INVALID, VERDICT_NOT_RUN,
		    "chunk_bytes %" PRIu64 " is not within %u..%u", chunk_bytes,
		    WTS_CHUNK_MIN, WTS_CHUNK_MAX);
	}
	file = fopen(path, "rb");
	if (file == NULL) {
		return err_set(err, ERR_NOT_FOUND, VERDICT_NOT_RUN, "%s: %s",
		    path, strerror(errno));
	}
	memset(version_out, 0, sizeof(*version_out));
	version_out->chunk_bytes = chunk_bytes;
	g_byte_array_set_size(list_out, 0);
	buffer = g_malloc(FILE_SLICE);
	do {
		n = digest_next_chunk(file, chunk_bytes, buffer, list_out);
		version_out->bytes += n;
	} while (n == chunk_bytes);
	bad = ferror(file) != 0;
	g_free(buffer);
	fclose(file);
	if (bad) {
		return err_set(err, ERR_UNAVAILABLE, VERDICT_NOT_RUN,
		    "%s: read error", path);
	}
	wts_root(version_out->bytes, chunk_bytes, list_out->data, list_out->len,
	    &version_out->root);
	return true;
}
