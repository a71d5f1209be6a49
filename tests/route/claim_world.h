#ifndef CLAIM_WORLD_H
#define CLAIM_WORLD_H

/* Entries that own buckets, an object with faults, askers; for the tests of
 * claims. Time and the API move only when told to. */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <string.h>

#include "route/claim.h"

#define MS 1000
#define OWNERS 3
#define PENDING (-1)

/* The object, and what the owners have asked for and not been answered. */
struct world {
	int64_t now_us;
	uint64_t version;
	char *value;
	bool down;
	struct owner {
		struct world *world;
		char id[4];
		struct clm *clm;
		struct clm_pace pace;
		bool live;
		bool reads;
		char *writes; /* NULL: none */
		uint64_t if_version;
		unsigned int passed_on;
	} owner[OWNERS];
};

struct
try {
	struct clm_ask ask; /* first: the callback gets its address */
	int result;
	struct clm_outcome outcome;
	char answer[64];
	char owner[8];
};

static void
on_read(struct clm *clm, void *ctx)
{
	struct owner *o = ctx;

	assert_false(o->reads);
	o->reads = true;
}

static void
on_write(struct clm *clm, const char *value, uint64_t if_version, void *ctx)
{
	struct owner *o = ctx;

	assert_null(o->writes);
	assert_true(strlen(value) <= CLM_VALUE_MAX);
	o->writes = g_strdup(value);
	o->if_version = if_version;
}

static void
on_answer(struct clm_ask *ask, enum clm_result result,
    const struct clm_outcome *outcome, const char *owner, void *ctx)
{
	struct try *t = (struct try *)ask;

	assert_int_equal(t->result, PENDING);
	t->result = (int)result;
	g_strlcpy(t->owner, owner, sizeof(t->owner));
	if (outcome == NULL)
		return;
	t->outcome = *outcome;
	g_strlcpy(t->answer, outcome->answer == NULL ? "" : outcome->answer,
	    sizeof(t->answer));
}

static bool
on_is_live(const char *entry, void *ctx)
{
	struct owner *o = ctx;
	size_t i;

	for (i = 0; i < OWNERS; i++) {
		if (strcmp(o->world->owner[i].id, entry) == 0)
			return o->world->owner[i].live;
	}
	return false;
}

static void
on_pass_on(const char *key, const char *asker,
    const struct clm_outcome *outcome, const char *owner, void *ctx)
{
	struct owner *o = ctx;

	o->passed_on++;
}

static const struct clm_ops ops = {
	.read = on_read,
	.write = on_write,
	.answer = on_answer,
	.is_live = on_is_live,
	.pass_on = on_pass_on,
};

G_GNUC_UNUSED static void
start_owner(struct world *w, unsigned int i)
{
	struct owner *o = &w->owner[i];

	o->world = w;
	o->live = true;
	o->pace.writes_s = 1000;
	g_snprintf(o->id, sizeof(o->id), "e%u", i);
	o->clm = clm_new(o->id, &o->pace, &ops, o);
}

G_GNUC_UNUSED static void
stop_owner(struct world *w, unsigned int i)
{
	struct owner *o = &w->owner[i];

	clm_free(o->clm);
	g_clear_pointer(&o->writes, g_free);
	o->reads = false;
	o->live = false;
	o->clm = NULL;
}

G_GNUC_UNUSED static void
open_world(struct world *w)
{
	unsigned int i;

	memset(w, 0, sizeof(*w));
	w->now_us = 50000 * MS;
	for (i = 0; i < OWNERS; i++)
		start_owner(w, i);
}

G_GNUC_UNUSED static void
close_world(struct world *w)
{
	unsigned int i;

	for (i = 0; i < OWNERS; i++)
		stop_owner(w, i);
	g_free(w->value);
}

/* Whether the write is taken by the object now. */
G_GNUC_UNUSED static bool
land(struct world *w, const char *value, uint64_t if_version)
{
	if (w->version != if_version)
		return false;
	g_free(w->value);
	w->value = g_strdup(value);
	w->version++;
	return true;
}

G_GNUC_UNUSED static void
serve_read(struct owner *o)
{
	struct world *w = o->world;

	if (!o->reads)
		return;
	o->reads = false;
	clm_read_done(o->clm, w->down, w->version, w->value, w->now_us);
}

G_GNUC_UNUSED static void
serve_write(struct owner *o)
{
	struct world *w = o->world;
	char *value = g_steal_pointer(&o->writes);
	bool in;

	if (value == NULL)
		return;
	in = !w->down && land(w, value, o->if_version);
	clm_write_done(o->clm,
	    w->down  ? CLM_WRITE_UNKNOWN
		: in ? CLM_WRITE_IN
		     : CLM_WRITE_LOST,
	    w->version, w->now_us);
	g_free(value);
}

/* The answer to a write never comes; `lands`: the write took effect. */
G_GNUC_UNUSED static void
lose_answer(struct owner *o, bool lands)
{
	char *value = g_steal_pointer(&o->writes);

	assert_non_null(value);
	if (lands)
		assert_true(land(o->world, value, o->if_version));
	clm_write_done(o->clm, CLM_WRITE_UNKNOWN, 0, o->world->now_us);
	g_free(value);
}

G_GNUC_UNUSED static void
pass(struct world *w, int64_t ms)
{
	unsigned int i;

	w->now_us += ms * MS;
	for (i = 0; i < OWNERS; i++) {
		if (w->owner[i].clm != NULL)
			clm_tick(w->owner[i].clm, w->now_us);
	}
}

/* Time and the API go on for `ms`. */
G_GNUC_UNUSED static void
run(struct world *w, unsigned int ms)
{
	unsigned int i;

	for (; ms > 0; ms -= MIN(ms, 10)) {
		for (i = 0; i < OWNERS; i++) {
			serve_read(&w->owner[i]);
			serve_write(&w->owner[i]);
		}
		pass(w, MIN(ms, 10));
	}
}

G_GNUC_UNUSED static void
ask(struct world *w, unsigned int at, struct try *t, const char *key,
    const char *asker, const char *body)
{
	memset(t, 0, sizeof(*t));
	t->result = PENDING;
	t->ask.key = key;
	t->ask.asker = asker;
	t->ask.keep_ms = 30000;
	t->ask.until_us = w->now_us + 5000 * MS;
	digest_of(body, strlen(body), &t->ask.body);
	clm_ask(w->owner[at].clm, &t->ask, w->now_us);
}

G_GNUC_UNUSED static void
settle(struct world *w, unsigned int at, const char *key, const char *asker,
    enum verdict verdict)
{
	const struct clm_outcome outcome = {
		.verdict = verdict,
		.status = 200,
		.type = "text/plain",
		.answer = "booked \"run\" 7\n",
	};

	clm_settle(w->owner[at].clm, key, asker, &outcome, w->now_us);
}

G_GNUC_UNUSED static unsigned int
writes(const struct world *w, unsigned int at)
{
	struct clm_stats stats;

	clm_stats(w->owner[at].clm, &stats);
	return (unsigned int)stats.writes;
}

#endif
