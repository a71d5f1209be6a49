/* Chunks whose copies contradict the list. */

#include "weights/misfit.h"
#include "weights/version.h"

struct misfits {
	GHashTable *chunks; /* index (in the value) -> struct wts_misfit */
};

struct misfits *
misfits_new(void)
{
	struct misfits *m = g_new0(struct misfits, 1);

	m->chunks =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	return m;
}

void
misfits_free(struct misfits *m)
{
	g_hash_table_unref(m->chunks);
	g_free(m);
}

void
misfits_add(struct misfits *m, uint64_t index, const struct digest *got)
{
	struct wts_misfit *chunk = g_hash_table_lookup(m->chunks, &index);

	if (chunk == NULL) {
		chunk = g_new0(struct wts_misfit, 1);
		chunk->index = index;
		g_hash_table_insert(m->chunks, &chunk->index, chunk);
	}
	if (!digest_equal(&chunk->digest, got))
		chunk->copies = 0;
	chunk->digest = *got;
	chunk->copies++;
}

void
misfits_remove(struct misfits *m, uint64_t index)
{
	g_hash_table_remove(m->chunks, &index);
}

bool
misfits_worst(const struct misfits *m, struct wts_misfit *out)
{
	const struct wts_misfit *worst = NULL, *chunk;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, m->chunks);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		chunk = value;
		if (chunk->copies >= WTS_MISFIT_COPIES &&
		    (worst == NULL || chunk->copies > worst->copies))
			worst = chunk;
	}
	if (worst != NULL)
		*out = *worst;
	return worst != NULL;
}

bool
misfits_match(const struct misfits *m, GBytes *list)
{
	const struct wts_misfit *chunk;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, m->chunks);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		chunk = value;
		if (chunk->copies >= WTS_MISFIT_COPIES &&
		    !digest_equal(&chunk->digest,
			version_chunk_digest(list, chunk->index)))
			return false;
	}
	return true;
}
