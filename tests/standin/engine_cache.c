/* The engine's prefix cache and its cache events, delayed and with gaps. */

#include <stdio.h>

#include "standin/engine.h"

#define EVENTS_MAX 4096

struct prefix {
	TAILQ_ENTRY(prefix) entry;
	uint64_t hash;
	int64_t tokens;
};
TAILQ_HEAD(prefix_list, prefix);

struct event {
	STAILQ_ENTRY(event) entry;
	uint64_t seq;
	uint64_t hash;
	int64_t at_ms;
	bool present;
};
STAILQ_HEAD(event_list, event);

struct cache {
	const struct clk *clock;
	int64_t capacity;
	int64_t tokens;
	int64_t hits, misses;
	GHashTable *by_hash; /* &prefix->hash -> struct prefix * */
	struct prefix_list prefixes; /* least recently used first */
	int64_t event_lag_ms;
	int event_gap;
	uint64_t seq;
	struct event_list events; /* oldest first */
	size_t nevents;
};

struct cache *
cache_new(const struct engine_options *options)
{
	struct cache *c = g_new0(struct cache, 1);

	c->clock = options->clock;
	c->capacity = options->cache_tokens;
	c->event_lag_ms = options->event_lag_ms;
	c->event_gap = options->event_gap;
	c->by_hash = g_hash_table_new(g_int64_hash, g_int64_equal);
	TAILQ_INIT(&c->prefixes);
	STAILQ_INIT(&c->events);
	return c;
}

static void
drop_event(struct cache *c)
{
	struct event *e = STAILQ_FIRST(&c->events);

	STAILQ_REMOVE_HEAD(&c->events, entry);
	g_free(e);
	c->nevents--;
}

/* An omitted event consumes its sequence number, so that the client can detect
 * the gap. */
static void
add_event(struct cache *c, uint64_t hash, bool present)
{
	struct event *e;

	c->seq++;
	if (c->event_gap > 0 && c->seq % (uint64_t)c->event_gap == 0)
		return;
	e = g_new0(struct event, 1);
	e->seq = c->seq;
	e->hash = hash;
	e->at_ms = clk_now_ms(c->clock);
	e->present = present;
	STAILQ_INSERT_TAIL(&c->events, e, entry);
	if (++c->nevents > EVENTS_MAX)
		drop_event(c);
}

static void
drop_prefix(struct cache *c, struct prefix *p)
{
	TAILQ_REMOVE(&c->prefixes, p, entry);
	g_hash_table_remove(c->by_hash, &p->hash);
	c->tokens -= p->tokens;
	g_free(p);
}

void
cache_free(struct cache *c)
{
	while (!TAILQ_EMPTY(&c->prefixes))
		drop_prefix(c, TAILQ_FIRST(&c->prefixes));
	while (!STAILQ_EMPTY(&c->events))
		drop_event(c);
	g_hash_table_destroy(c->by_hash);
	g_free(c);
}

uint64_t
cache_prefix(const char *text, size_t len)
{
	uint64_t h = 0xcbf29ce484222325ULL;
	size_t i;

	for (i = 0; i < MIN(len, PREFIX_BYTES); i++)
		h = (h ^ (uint8_t)text[i]) * 0x100000001b3ULL;
	return h;
}

bool
cache_lookup(struct cache *c, uint64_t hash)
{
	struct prefix *p = g_hash_table_lookup(c->by_hash, &hash);

	if (p == NULL) {
		c->misses++;
		return false;
	}
	c->hits++;
	TAILQ_REMOVE(&c->prefixes, p, entry);
	TAILQ_INSERT_TAIL(&c->prefixes, p, entry);
	return true;
}

void
cache_add(struct cache *c, uint64_t hash, int64_t tokens)
{
	struct prefix *p = g_hash_table_lookup(c->by_hash, &hash);

	if (p != NULL || tokens > c->capacity)
		return;
	while (c->tokens + tokens > c->capacity) {
		p = TAILQ_FIRST(&c->prefixes);
		add_event(c, p->hash, false);
		drop_prefix(c, p);
	}
	p = g_new0(struct prefix, 1);
	p->hash = hash;
	p->tokens = tokens;
	c->tokens += tokens;
	TAILQ_INSERT_TAIL(&c->prefixes, p, entry);
	g_hash_table_insert(c->by_hash, &p->hash, p);
	add_event(c, hash, true);
}

int64_t
cache_tokens(const struct cache *c)
{
	return c->tokens;
}

int64_t
cache_hits(const struct cache *c)
{
	return c->hits;
}

int64_t
cache_misses(const struct cache *c)
{
	return c->misses;
}

void
cache_put_events(const struct cache *c, uint64_t since, JsonBuilder *b)
{
	int64_t horizon = clk_now_ms(c->clock) - c->event_lag_ms;
	uint64_t next = since;
	const struct event *e;
	char hex[17];

	json_builder_set_member_name(b, "events");
	json_builder_begin_array(b);
	for (e = STAILQ_FIRST(&c->events); e != NULL && e->at_ms <= horizon;
	     e = STAILQ_NEXT(e, entry)) {
		if (e->seq <= since)
			continue;
		next = e->seq;
		snprintf(hex, sizeof(hex), "%016" G_GINT64_MODIFIER "x",
		    (guint64)e->hash);
		json_builder_begin_object(b);
		put_int(b, "seq", (int64_t)e->seq);
		put_str(b, "prefix", hex);
		put_bool(b, "present", e->present);
		json_builder_end_object(b);
	}
	json_builder_end_array(b);
	put_int(b, "next", (int64_t)next);
}
