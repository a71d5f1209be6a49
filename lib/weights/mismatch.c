/* Chunks whose copies contradict the list. */

#include "weights/mismatch.h"
#include "weights/version.h"

struct mismatches {
	GHashTable *chunks; /* index (in the value) -> struct wts_mismatch */
};

struct mismatches *
mismatches_new(void)
{
	struct mismatches *m = g_new0(struct mismatches, 1);

	m->chunks =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	return m;
}

void
mismatches_free(struct mismatches *m)
{
	g_hash_table_unref(m->chunks);
	g_free(m);
}

void
mismatches_add(struct mismatches *m, uint64_t index, const struct digest *got)
{
	struct wts_mismatch *chunk = g_hash_table_lookup(m->chunks, &index);

	if (chunk == NULL) {
		chunk = g_new0(struct wts_mismatch, 1);
		chunk->index = index;
		g_hash_table_insert(m->chunks, &chunk->index, chunk);
	}
	if (!digest_equal(&chunk->digest, got))
		chunk->copies = 0;
	chunk->digest = *got;
	chunk->copies++;
}

void
mismatches_remove(struct mismatches *m, uint64_t index)
{
	g_hash_table_remove(m->chunks, &index);
}

bool
mismatches_worst(const struct mismatches *m, struct wts_mismatch *out)
{
	const struct wts_mismatch *worst = NULL, *chunk;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, m->chunks);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		chunk = value;
		if (chunk->copies >= WTS_MISMATCH_COPIES &&
		    (worst == NULL || chunk->copies > worst->copies))
			worst = chunk;
	}
	if (worst != NULL)
		*out = *worst;
	return worst != NULL;
}

bool
mismatches_explained(const struct mismatches *m, GBytes *list)
{
	const struct wts_mismatch *chunk;
	bool any = false;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, m->chunks);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		chunk = value;
		if (chunk->copies < WTS_MISMATCH_COPIES)
			continue;
		if (!digest_equal(&chunk->digest,
			version_chunk_digest(list, chunk->index)))
			return false;
		any = true;
	}
	return any;
}
