#ifndef STANDIN_ENGINE_H
#define STANDIN_ENGINE_H

/* The parts of the model engine's stand-in, for its own files only. */

#include "standin/standin.h"

#define DIGEST_SHORT 8 /* hex digits of the digest in a token's text */
#define PREFIX_BYTES 256 /* of the contents, what a prefix is known by */
#define TOKEN_BYTES 4 /* of content that count as one token */

/* ------------------------------------------------------------------ */
/* Prefix cache                                                        */
/* ------------------------------------------------------------------ */

struct cache;
struct cache *cache_new(const struct engine_options *options);
void cache_free(struct cache *c);
/* FNV-1a 64 over the first PREFIX_BYTES. */
uint64_t cache_prefix(const char *text, size_t len);
/* True for a hit, which also makes the prefix the youngest. Counted. */
bool cache_use(struct cache *c, uint64_t prefix);
void cache_add(struct cache *c, uint64_t prefix, int64_t tokens);
int64_t cache_tokens(const struct cache *c);
int64_t cache_hits(const struct cache *c);
int64_t cache_misses(const struct cache *c);
/* Puts `next` and `events` with seq > since: late, and with gaps. */
void cache_put_events(const struct cache *c, uint64_t since, JsonBuilder *b);

/* ------------------------------------------------------------------ */
/* What is loaded                                                      */
/* ------------------------------------------------------------------ */

struct weights {
	char *model;
	char *version;
	char digest[DIGEST_HEX]; /* "": nothing */
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
