/*
 * Creates a model for the weights bench: DIR/NAME.weights of random bytes and
 * the chunk list DIR/NAME.chunks; prints the model's line of the versions file.
 * With EVERY, one in EVERY chunks differs from those that SEED alone gives.
 */

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

#include "weights/weights.h"

static void
write_random(FILE *file, uint64_t bytes, uint64_t seed)
{
	struct rng rng;
	uint64_t words_left;

	rng_seed(&rng, seed);
	for (words_left = bytes / sizeof(uint64_t); words_left > 0;
	     words_left--) {
		uint64_t value = rng_next(&rng);

		if (fwrite(&value, sizeof(value), 1, file) != 1)
			g_error("cannot write the weights file");
	}
}

int
main(int argc, char **argv)
{
	uint64_t bytes, chunk_bytes, seed, every, offset;
	GByteArray *list;
	struct wts_version v;
	char hex[DIGEST_HEX];
	struct err err;
	char *path;
	FILE *file;

	if (argc < 6) {
		fprintf(stderr,
		    "weights_model DIR NAME BYTES CHUNK SEED [EVERY]\n");
		return 2;
	}
	list = g_byte_array_new();
	bytes = g_ascii_strtoull(argv[3], NULL, 10);
	chunk_bytes = g_ascii_strtoull(argv[4], NULL, 10);
	seed = g_ascii_strtoull(argv[5], NULL, 10);
	every = argc > 6 ? g_ascii_strtoull(argv[6], NULL, 10) : 0;
	path = g_strdup_printf("%s/%s.weights", argv[1], argv[2]);
	file = fopen(path, "wb");
	if (file == NULL)
		g_error("%s cannot be written", path);
	for (offset = 0; offset < bytes; offset += chunk_bytes) {
		uint64_t chunk = offset / chunk_bytes;
		bool changed = every > 0 && chunk % every == 0;

		write_random(file, MIN(chunk_bytes, bytes - offset),
		    seed * 1000003 + 2 * chunk + changed);
	}
	fclose(file);
	if (!wts_digest_file(path, chunk_bytes, list, &v, &err))
		g_error("%s", err.message);
	g_free(path);
	path = g_strdup_printf("%s/%s.chunks", argv[1], argv[2]);
	g_file_set_contents(
	    path, (const char *)list->data, (gssize)list->len, NULL);
	digest_to_hex(&v.root, hex);
	printf("%s %s %" PRIu64 " %" PRIu64 "\n", argv[2], hex, v.bytes,
	    v.chunk_bytes);
	g_free(path);
	g_byte_array_unref(list);
	return 0;
}
