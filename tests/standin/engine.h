#ifndef STANDIN_ENGINE_H
#define STANDIN_ENGINE_H

/* Internal interfaces of the model engine's stand-in. */

#include "standin/standin.h"

#define DIGEST_SHORT 8 /* hex digits of the digest in a token's text */
#define PREFIX_BYTES 256 /* leading content bytes that identify a prefix */
#define TOKEN_BYTES 4 /* content bytes counted as one token */

/* ------------------------------------------------------------------ */
/* Prefix cache                                                        */
/* ------------------------------------------------------------------ */

struct cache;
struct cache *cache_new(const struct engine_options *options);
void cache_free(struct cache *c);
/* 64-bit FNV-1a hash of the first PREFIX_BYTES. */
uint64_t cache_prefix(const char *text, size_t len);
/* Looks up a prefix and counts a hit or a miss. A hit returns true and makes
 * the prefix the most recently used. */
bool cache_lookup(struct cache *c, uint64_t hash);
void cache_add(struct cache *c, uint64_t hash, int64_t tokens);
int64_t cache_tokens(const struct cache *c);
int64_t cache_hits(const struct cache *c);
int64_t cache_misses(const struct cache *c);
/* Adds `next` and the `events` with seq > since, subject to the configured
 * delay and gaps. */
void cache_put_events(const struct cache *c, uint64_t since, JsonBuilder *b);

/* ------------------------------------------------------------------ */
/* Loaded weights                                                      */
/* ------------------------------------------------------------------ */

struct weights {
	char *model;
	char *version;
	char digest[DIGEST_HEX]; /* "": nothing is loaded */
	int64_t fence;
};

struct loader;
struct loader *loader_new(
    const struct engine_options *options, struct weights *loaded);
void loader_free(struct loader *l);
void loader_on_load(SoupServer *server, SoupServerMessage *msg,
    const char *path, GHashTable *query, void *loader);
void loader_faults(struct loader *l, JsonObject *body);
void loader_put_log(const struct loader *l, JsonBuilder *b);

/* ------------------------------------------------------------------ */
/* Runs                                                                */
/* ------------------------------------------------------------------ */

struct batch;
struct batch *batch_new(const struct engine_options *options,
    const struct weights *loaded, struct cache *cache);
void batch_free(struct batch *b);
void batch_on_chat(SoupServer *server, SoupServerMessage *msg, const char *path,
    GHashTable *query, void *batch);
void batch_on_cancel(SoupServer *server, SoupServerMessage *msg,
    const char *path, GHashTable *query, void *batch);
void batch_on_stream(SoupServer *server, SoupServerMessage *msg,
    const char *path, GHashTable *query, void *batch);
void batch_on_report(SoupServer *server, SoupServerMessage *msg,
    const char *path, GHashTable *query, void *batch);
void batch_faults(struct batch *b, JsonObject *body);
void batch_put_log(const struct batch *b, JsonBuilder *json);

#endif
