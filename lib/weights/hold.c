/* Chunks in memory, shared by the versions that need them. */

#include "weights/hold.h"
#include "weights/version.h"

struct hold_chunk;

/* One position in one version that needs a chunk. */
struct hold_use {
	LIST_ENTRY(hold_use) link;
	struct hold_version *version;
	struct hold_chunk *chunk;
};

/* Versions share a chunk only if both agree: a list may be corrupt until its
 * chunks have arrived. */
struct hold_key {
	struct digest digest;
	uint64_t len;
};

struct hold_chunk {
	struct hold_key key;
	GBytes *bytes; /* NULL until received */
	LIST_HEAD(use_list, hold_use) uses;
};

struct hold_version {
	LIST_ENTRY(hold_version) retired;
	struct hold *hold;
	uint64_t nuses;
	hold_filled_cb *filled;
	void *ctx;
	struct hold_use uses[];
};

struct hold {
	GHashTable *chunks; /* key (inside the chunk) -> struct hold_chunk */
	uint64_t limit;
	uint64_t reserved;
	LIST_HEAD(retired_list, hold_version) retired;
};

static guint
key_hash(gconstpointer key)
{
	return digest_hash(&((const struct hold_key *)key)->digest);
}

static gboolean
key_equal(gconstpointer a, gconstpointer b)
{
	const struct hold_key *x = a, *y = b;

	return x->len == y->len && digest_equal(&x->digest, &y->digest);
}

static void
free_chunk(gpointer data)
{
	struct hold_chunk *chunk = data;

	g_clear_pointer(&chunk->bytes, g_bytes_unref);
	g_free(chunk);
}

struct hold *
hold_new(uint64_t memory_bytes)
{
	struct hold *hold = g_new0(struct hold, 1);

	hold->chunks =
	    g_hash_table_new_full(key_hash, key_equal, NULL, free_chunk);
	hold->limit = memory_bytes;
	LIST_INIT(&hold->retired);
	return hold;
}

void
hold_free(struct hold *hold)
{
	if (hold == NULL)
		return;
	hold_release_retired(hold);
	g_assert(g_hash_table_size(hold->chunks) == 0);
	g_hash_table_unref(hold->chunks);
	g_free(hold);
}

static void
add_use(struct hold_version *version, uint64_t index,
    const struct digest *digest, uint64_t len)
{
	struct hold *hold = version->hold;
	struct hold_use *use = &version->uses[index];
	struct hold_key key = { .digest = *digest, .len = len };
	struct hold_chunk *chunk = g_hash_table_lookup(hold->chunks, &key);

	if (chunk == NULL) {
		chunk = g_new0(struct hold_chunk, 1);
		chunk->key = key;
		LIST_INIT(&chunk->uses);
		g_hash_table_insert(hold->chunks, &chunk->key, chunk);
		hold->reserved += len;
	}
	use->version = version;
	use->chunk = chunk;
	LIST_INSERT_HEAD(&chunk->uses, use, link);
}

struct hold_version *
hold_open(struct hold *hold, const struct wts_version *v, GBytes *list,
    hold_filled_cb *filled, void *ctx, uint64_t *missing_out)
{
	uint64_t n = wts_chunk_count(v);
	struct hold_version *version =
	    g_malloc0(sizeof(*version) + n * sizeof(version->uses[0]));
	uint64_t i;

	version->hold = hold;
	version->nuses = n;
	for (i = 0; i < n; i++) {
		add_use(version, i, version_chunk_digest(list, i),
		    version_chunk_len(v, i));
	}
	/* A chunk that occurs twice, or in another version too, is counted
	 * once. */
	if (hold->reserved > hold->limit)
		hold_release_retired(hold);
	if (hold->reserved > hold->limit) {
		if (missing_out != NULL)
			*missing_out = hold->reserved - hold->limit;
		hold_close(version);
		return NULL;
	}
	version->filled = filled;
	version->ctx = ctx;
	return version;
}

void
hold_close(struct hold_version *version)
{
	struct hold *hold;
	uint64_t i;

	if (version == NULL)
		return;
	hold = version->hold;
	for (i = 0; i < version->nuses; i++) {
		struct hold_chunk *chunk = version->uses[i].chunk;

		LIST_REMOVE(&version->uses[i], link);
		if (!LIST_EMPTY(&chunk->uses))
			continue;
		hold->reserved -= chunk->key.len;
		g_hash_table_remove(hold->chunks, &chunk->key);
	}
	g_free(version);
}

void
hold_retire(struct hold_version *version)
{
	version->filled = NULL;
	LIST_INSERT_HEAD(&version->hold->retired, version, retired);
}

void
hold_release_retired(struct hold *hold)
{
	struct hold_version *version;

	while ((version = LIST_FIRST(&hold->retired)) != NULL) {
		LIST_REMOVE(version, retired);
		hold_close(version);
	}
}

GBytes *
hold_get(const struct hold_version *version, uint64_t index)
{
	g_assert(index < version->nuses);
	return version->uses[index].chunk->bytes;
}

bool
hold_has(const struct hold_version *version, uint64_t index)
{
	return hold_get(version, index) != NULL;
}

void
hold_put(struct hold_version *version, uint64_t index, GBytes *bytes)
{
	struct hold_chunk *chunk;
	struct hold_use *use;

	g_assert(index < version->nuses);
	chunk = version->uses[index].chunk;
	if (chunk->bytes != NULL)
		return;
	g_assert(g_bytes_get_size(bytes) == chunk->key.len);
	chunk->bytes = g_bytes_ref(bytes);
	LIST_FOREACH (use, &chunk->uses, link) {
		struct hold_version *user = use->version;

		if (user->filled != NULL)
			user->filled(
			    user, (uint64_t)(use - user->uses), user->ctx);
	}
}

uint64_t
hold_reserved(const struct hold *hold)
{
	return hold->reserved;
}
